//! A zone that operators have taken out of service and a target that is leaving get
//! no new requests after a few seconds, and a note in force never reverts.

use crate::link::Mode;
use crate::support::{Cluster, MODEL, OPERATOR, eventually, expected_text, options};
use hickory_store::host::Standing;
use serde_json::{Value, json};
use std::time::Duration;

/// Time after the change in which new requests may still arrive: the note or the
/// host list has to reach the owner, and permits already granted have to expire.
const PROPAGATION_BOUND: Duration = Duration::from_secs(3);

fn zone_note(against: u64, out: bool) -> Value {
    json!({
        "against": against,
        "operation": uuid::Uuid::now_v7().to_string(),
        "changed": { "zones": { "a": { "out": out } } },
    })
}

impl Cluster {
    /// Counts the prompt tokens that the engines have received since they started.
    fn count_prompt_tokens(&self, engines: &[usize]) -> u64 {
        let engines = engines.iter().map(|i| &self.standins.engines[*i]);
        let counts = engines.map(|engine| engine.service().with_engine(|e| e.counts()));
        counts.map(|counts| counts.cache_hits + counts.cache_misses).sum()
    }

    /// Sends requests through all nodes, each of which must get a complete answer.
    async fn send_rounds(&self, rounds: usize) {
        for round in 0..rounds {
            let requests = self.nodes.iter().enumerate().map(|(i, node)| async move {
                let prompt = format!("round {round} node {i}");
                let mut stream = self.complete(node.callers, &prompt, 3).await.unwrap();
                stream.read_to_end().await;
                assert_eq!(stream.problem, None);
                assert_eq!(stream.text, expected_text(&prompt, 3));
            });
            futures::future::join_all(requests).await;
        }
    }
}

/// A zone is taken out of service under load and put back. No request fails, no
/// request reaches the zone after [`PROPAGATION_BOUND`], and requests reach it again
/// after it is put back.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_taken_out_gets_no_new_work() {
    let cluster = Cluster::start(3, options()).await;
    cluster.send_rounds(5).await;
    let note = zone_note(1, true);
    let ((), ()) = tokio::join!(cluster.apply_note(&note), cluster.send_rounds(5));
    tokio::time::sleep(PROPAGATION_BOUND).await;
    let before = cluster.count_prompt_tokens(&[0]);
    cluster.send_rounds(10).await;
    assert_eq!(cluster.count_prompt_tokens(&[0]), before);
    cluster.apply_note(&zone_note(2, false)).await;
    eventually("the zone gets requests again", || async {
        cluster.send_rounds(1).await;
        (cluster.count_prompt_tokens(&[0]) > before).then_some(())
    })
    .await;
}

/// The key-value service goes down just after a zone was taken out through one
/// node. The other nodes learn of it from their peers, and no request reaches the
/// zone after [`PROPAGATION_BOUND`].
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_taken_out_although_the_platform_goes_down() {
    let cluster = Cluster::start(3, options()).await;
    let (status, _) = cluster.post_note(&cluster.nodes[0], &zone_note(1, true)).await;
    assert_eq!(status, 200);
    cluster.standins.store.faults().kill();
    tokio::time::sleep(PROPAGATION_BOUND).await;
    let before = cluster.count_prompt_tokens(&[0]);
    cluster.send_rounds(10).await;
    assert_eq!(cluster.count_prompt_tokens(&[0]), before);
}

/// The platform lists an engine as leaving. No request reaches it after
/// [`PROPAGATION_BOUND`], and no request fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_work() {
    let cluster = Cluster::start(3, options()).await;
    cluster.send_rounds(3).await;
    cluster.standins.hosts.service().set_standing(&"engine-1".into(), Standing::Leaving);
    let ((), ()) = tokio::join!(tokio::time::sleep(PROPAGATION_BOUND), cluster.send_rounds(5));
    let before = cluster.count_prompt_tokens(&[1]);
    cluster.send_rounds(10).await;
    assert_eq!(cluster.count_prompt_tokens(&[1]), before);
}

/// Two operators change the same version through two nodes at once. One note is
/// accepted, the other is refused with the current version, and no node ever
/// reports a lower version than before.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_operators_wins_and_nothing_reverts() {
    let cluster = Cluster::start(3, options()).await;
    for version in 1..=5 {
        let (a, b) = (zone_note(version, true), zone_note(version, false));
        let (a, b) = tokio::join!(
            cluster.post_note(&cluster.nodes[0], &a),
            cluster.post_note(&cluster.nodes[1], &b)
        );
        let mut statuses = [a.0, b.0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
        for node in &cluster.nodes {
            eventually("the note is in force", || async {
                let health = cluster.get(node.admin, "/health", OPERATOR).await?;
                let shown = health["version"].as_u64()?;
                assert!(shown >= version, "{shown} after {version}");
                (shown == version + 1).then_some(())
            })
            .await;
        }
    }
}

/// A note withdraws a model during one of its streams. The stream completes; a new
/// request is refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_model_finishes_its_running_streams() {
    let mut options = options();
    options.engine.model.speed = 0.5;
    let cluster = Cluster::start(2, options).await;
    let at = cluster.nodes[0].callers;
    let mut stream = cluster.complete(at, "withdrawn", 40).await.unwrap();
    assert!(stream.next().await);
    let shop = json!({
        "partner": "mawe", "models": [], "services": ["orders"],
        "token_digest": hickory_release::configuration::digest_token(crate::support::ACCOUNT),
    });
    let note = json!({
        "against": 1,
        "operation": uuid::Uuid::now_v7().to_string(),
        "changed": { "accounts": { "shop": shop } },
        "withdrawn": { "models": [MODEL] },
    });
    cluster.apply_note(&note).await;
    let mut refused = cluster.complete(at, "too late", 3).await.unwrap();
    refused.read_to_end().await;
    assert_eq!(refused.status, 404);
    assert_eq!(refused.problem.expect("a refusal")["ran"], json!("no"));
    stream.read_to_end().await;
    assert_eq!(stream.text, expected_text("withdrawn", 40));
}

impl Cluster {
    /// Sends requests through one node, which may refuse those that it can't place.
    /// Each must get a complete answer or a refusal that says it didn't run.
    async fn send_or_expect_refusals(&self, node: usize, count: usize) {
        for i in 0..count {
            let (at, prompt) = (self.nodes[node].callers, format!("perhaps {i}"));
            let mut stream = self.complete(at, &prompt, 3).await.unwrap();
            stream.read_to_end().await;
            let refused = stream.problem.as_ref().is_some_and(|p| p["ran"] == json!("no"));
            assert!(refused || stream.text == expected_text(&prompt, 3), "{:?}", stream.problem);
        }
    }
}

/// A node loses its link to the platform and a zone is taken out of service, either
/// at once or after the node's lease has expired. The node owns the zone's engine
/// and would keep granting permits by its old configuration. After
/// [`PROPAGATION_BOUND`], neither this node nor the others send new requests there.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_cut_off_from_the_platform_sends_nothing_to_a_zone_taken_out() {
    let delays = [Duration::ZERO, Duration::from_millis(2_000)];
    futures::future::join_all(delays.map(take_out_beside_a_cut_off_node)).await;
}

async fn take_out_beside_a_cut_off_node(delay: Duration) {
    let (cluster, links) = Cluster::start_with_links(3, options()).await;
    let cut_off = cluster.owner("engine-0").await;
    let others = [(cut_off + 1) % 3, (cut_off + 2) % 3];
    links[cut_off].set(Mode::Silent);
    tokio::time::sleep(delay).await;
    let (status, answer) = cluster.post_note(&cluster.nodes[others[0]], &zone_note(1, true)).await;
    assert_eq!(status, 200, "{answer}");
    tokio::time::sleep(PROPAGATION_BOUND).await;
    let before = cluster.count_prompt_tokens(&[0]);
    for node in 0..3 {
        cluster.send_or_expect_refusals(node, 10).await;
    }
    // The owner itself reports this: it got the note from its peers.
    eventually("the owner accepts no requests for the zone", || async {
        let at = cluster.nodes[others[0]].admin;
        let targets = cluster.get(at, "/v1/admin/targets", OPERATOR).await?;
        let engine = targets.as_array()?.iter().find(|t| t["target"] == "engine-0")?;
        (engine["accepting"] == json!(false)).then_some(())
    })
    .await;
    for node in 0..3 {
        cluster.send_or_expect_refusals(node, 10).await;
    }
    assert_eq!(cluster.count_prompt_tokens(&[0]), before);
}

/// The owner of a zone's engine is killed while the zone is taken out of service.
/// Its successor takes over the engine and grants no permits for it. No request
/// fails once the other targets of the dead node have new owners.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_taken_out_while_its_owner_dies() {
    let mut cluster = Cluster::start(3, options()).await;
    let owner = cluster.owner("engine-0").await;
    let (dead, mut survivors) = (owner, vec![0, 1, 2]);
    survivors.retain(|node| *node != dead);
    let note = zone_note(1, true);
    cluster.nodes[dead].kill();
    let (status, answer) = cluster.post_note(&cluster.nodes[survivors[0]], &note).await;
    assert_eq!(status, 200, "{answer}");
    tokio::time::sleep(PROPAGATION_BOUND).await;
    let before = cluster.count_prompt_tokens(&[0]);
    for node in survivors {
        cluster.wait_until_ready(&cluster.nodes[node], 3).await;
        let at = cluster.nodes[node].callers;
        for i in 0..10 {
            let prompt = format!("node {node} ask {i}");
            let mut stream = cluster.complete(at, &prompt, 3).await.unwrap();
            stream.read_to_end().await;
            assert_eq!(stream.problem, None);
            assert_eq!(stream.text, expected_text(&prompt, 3));
        }
    }
    assert_eq!(cluster.count_prompt_tokens(&[0]), before);
}

/// One node is cut off from the platform until its lease has expired. Its peers
/// still reach it, so they don't take over its targets, which keep getting requests
/// from the other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn targets_of_an_owner_cut_off_from_the_platform_get_work() {
    let (cluster, links) = Cluster::start_with_links(3, options()).await;
    let owners = cluster.get(cluster.nodes[0].admin, "/v1/admin/owners", OPERATOR).await.unwrap();
    let owner = |target: &str| {
        let rows = owners["owners"].as_array().unwrap();
        rows.iter().find(|row| row["target"] == target).unwrap()["node"].clone()
    };
    // Cut off the node that owns the first engine.
    let cut = owner("engine-0").as_str().unwrap()["node-".len()..].parse::<usize>().unwrap();
    links[cut].set(Mode::Silent);
    let other = &cluster.nodes[(cut + 1) % 3];
    let name = format!("node-{cut}");
    eventually("its lease has expired", || async {
        let nodes = cluster.get(other.admin, "/v1/admin/nodes", OPERATOR).await?;
        nodes.as_array()?.iter().all(|node| node["node"] != name.as_str()).then_some(())
    })
    .await;
    let before = cluster.count_prompt_tokens(&[0]);
    eventually("its target gets requests from another node", || async {
        // Enough requests that using only the other targets would be slower.
        let requests = (0..24).map(|i| {
            let (cluster, at) = (&cluster, other.callers);
            async move {
                let prompt = format!("beside a cut {i} ").repeat(500);
                let mut stream = cluster.complete(at, &prompt, 3).await.unwrap();
                stream.read_to_end().await;
                assert_eq!(stream.problem, None);
            }
        });
        futures::future::join_all(requests).await;
        (cluster.count_prompt_tokens(&[0]) > before).then_some(())
    })
    .await;
}
