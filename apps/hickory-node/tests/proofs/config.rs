//! An accepted configuration is in force on all nodes within seconds and never
//! reverts.

use crate::link::Mode;
use crate::process::Node;
use crate::support::{Cluster, OPERATOR, eventually, options, times};
use serde_json::{Value, json};

fn share_note(against: u64, share: f64) -> Value {
    json!({
        "against": against,
        "operation": uuid::Uuid::now_v7().to_string(),
        "changed": { "partners": { "mawe": { "share": share } } },
    })
}

impl Cluster {
    async fn version(&self, node: &Node) -> Option<u64> {
        self.get(node.admin, "/health", OPERATOR).await?["version"].as_u64()
    }
}

/// The write of a note succeeds, but its response is lost. The operator receives an
/// answer that agrees with the configuration in force, and the note stays in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_note_whose_write_response_is_lost_is_applied_once() {
    let cluster = Cluster::start(3, options()).await;
    cluster.standins.store.faults().lose_write_answers(1);
    let note = share_note(1, 2.0);
    let (status, answer) = cluster.post_note(&cluster.nodes[0], &note).await;
    assert_eq!(status, 200, "{answer}");
    for node in &cluster.nodes {
        eventually("the note is in force", || async {
            (cluster.version(node).await? == 2).then_some(())
        })
        .await;
    }
    // Repeating the operation changes nothing.
    let (status, answer) = cluster.post_note(&cluster.nodes[1], &note).await;
    assert_eq!((status, &answer["version"]), (200, &json!(2)), "{answer}");
    assert_eq!(cluster.version(&cluster.nodes[0]).await, Some(2));
}

/// The key-value service answers reads with an old state after a note was accepted.
/// No node that has the new version reverts to the old one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_read_reverts_nothing() {
    let cluster = Cluster::start(2, options()).await;
    cluster.standins.store.service().set_stale(true);
    let (status, _) = cluster.post_note(&cluster.nodes[0], &share_note(1, 2.0)).await;
    cluster.standins.store.service().set_stale(false);
    if status == 200 {
        let after = || async { (cluster.version(&cluster.nodes[1]).await? == 2).then_some(()) };
        eventually("the note is in force", after).await;
    }
    cluster.apply_note(&share_note(if status == 200 { 2 } else { 1 }, 3.0)).await;
    cluster.standins.store.service().set_stale(true);
    for _ in 0..20 {
        for node in &cluster.nodes {
            let version = cluster.version(node).await.expect("the node answers");
            assert!(version >= if status == 200 { 3 } else { 2 });
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// A node that starts while the key-value service is down has no configuration. It
/// refuses callers as not ready, and serves them once the service is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_in_an_outage_refuses_until_it_has_a_configuration() {
    let mut cluster = Cluster::start(1, options()).await;
    cluster.standins.store.faults().kill();
    cluster.nodes.push(Node::start("node-late", "b", &cluster.standins, &times()));
    let late = &cluster.nodes[1];
    let mut refused = cluster.complete(late.callers, "too early", 3).await.unwrap();
    refused.read_to_end().await;
    let problem = refused.problem.expect("a refusal");
    assert_eq!(problem["reason"], json!("not-ready"), "{problem}");
    assert!(problem["retry_after_ms"].as_u64().is_some());
    cluster.standins.store.faults().restart();
    eventually("the late node has the configuration", || async {
        (cluster.version(late).await? == 1).then_some(())
    })
    .await;
}

/// One node can't reach the platform while two notes are accepted through another
/// node: the first at once, the second after the node's lease has expired and its
/// peers no longer list it. The node fetches both from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_cut_off_from_the_platform_learns_notes_from_its_peers() {
    let (cluster, links) = Cluster::start_with_links(3, options()).await;
    links[2].set(Mode::Silent);
    let learns = |version: u64| {
        let cluster = &cluster;
        async move {
            let note = share_note(version - 1, version as f64);
            let (status, answer) = cluster.post_note(&cluster.nodes[0], &note).await;
            assert_eq!(status, 200, "{answer}");
            eventually("the note is in force", || async {
                (cluster.version(&cluster.nodes[2]).await? == version).then_some(())
            })
            .await;
        }
    };
    learns(2).await;
    for node in &cluster.nodes[..2] {
        eventually("its lease has expired", || async {
            let nodes = cluster.get(node.admin, "/v1/admin/nodes", OPERATOR).await?;
            nodes.as_array()?.iter().all(|node| node["node"] != "node-2").then_some(())
        })
        .await;
    }
    learns(3).await;
}
