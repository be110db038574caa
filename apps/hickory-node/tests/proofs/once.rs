//! A non-idempotent request runs at most once, and an answer that says "not run" is
//! true.

use crate::support::{Cluster, WAIT_TIMEOUT, eventually, options};
use hickory_standin::fault::Loss;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

impl Cluster {
    /// Returns whether the ledger in the store has a claim on `key`.
    fn is_claimed(&self, key: &str) -> bool {
        let pages = self.standins.store.service().with_core(|core, now| core.list(now, "ledger/"));
        pages.0.iter().any(|page| page.value.contains(key))
    }

    /// Sends an order to every node and returns the answers.
    async fn order_through_every_node(&self, key: &str, wait: Duration) -> Vec<(u16, Value)> {
        let mut answers = Vec::new();
        for node in &self.nodes {
            answers.extend(self.call(node.callers, "/place", key, wait).await);
        }
        answers
    }

    /// Checks that the order ran at most once and that the answers agree with that.
    fn assert_at_most_one_run(&self, key: &str, answers: &[(u16, Value)]) {
        let runs = self.count_runs(key);
        assert!(runs <= 1, "ran {runs} times");
        let all_not_run = answers.iter().all(|(_, answer)| answer["ran"] == json!("no"));
        assert!(runs == 0 || !all_not_run, "ran although every answer said not run: {answers:?}");
        let answered = answers.iter().any(|(status, _)| *status == 200);
        assert!(runs == 1 || !answered, "answered without a run: {answers:?}");
    }
}

/// A client retries aggressively: a thousand sends of one order reach all nodes at
/// once. One runs; the others get its answer, or learn at once that it was sent
/// before.
#[tokio::test(flavor = "multi_thread")]
async fn a_thousand_sends_of_one_order_run_once() {
    let cluster = Cluster::start(3, options()).await;
    let key = new_key();
    let calls =
        (0..1000).map(|i| cluster.call(cluster.nodes[i % 3].callers, "/place", &key, CALL_TIMEOUT));
    let answers: Vec<_> = futures::future::join_all(calls).await.into_iter().flatten().collect();
    assert_eq!(answers.len(), 1000);
    assert_eq!(cluster.count_runs(&key), 1);
    cluster.assert_at_most_one_run(&key, &answers);
}

/// The write that claims an order succeeds, but its response is lost. The node
/// reads the claim back. The order runs at most once, and the answers to resends
/// through all nodes agree with that.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_claim_response_causes_no_second_run() {
    let cluster = Cluster::start(3, options()).await;
    for _ in 0..5 {
        let key = new_key();
        cluster.standins.store.faults().lose_write_answers(2);
        let answers = cluster.order_through_every_node(&key, CALL_TIMEOUT).await;
        assert_eq!(answers.len(), 3);
        cluster.assert_at_most_one_run(&key, &answers);
    }
}

/// The claimant is killed while a target runs its order. The caller resends through
/// the other nodes, which answer that the order may have run; it doesn't run again.
#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_killed_after_sending_leaves_one_run() {
    let mut cluster = Cluster::start(3, options()).await;
    let key = new_key();
    cluster.standins.replicas.iter().for_each(|replica| replica.faults().freeze());
    let at = cluster.nodes[0].callers;
    let answers = {
        let first = cluster.call(at, "/place", &key, CALL_TIMEOUT);
        let claimed =
            eventually("the order is claimed", || async { cluster.is_claimed(&key).then_some(()) });
        let (first, ()) = tokio::join!(
            async { tokio::time::timeout(Duration::from_millis(500), first).await.ok().flatten() },
            claimed
        );
        first
    };
    assert!(answers.is_none(), "a frozen service answered: {answers:?}");
    cluster.nodes[0].kill();
    cluster.standins.replicas.iter().for_each(|replica| replica.faults().thaw());
    let answers = cluster.order_through_every_node(&key, CALL_TIMEOUT).await;
    assert!(answers.iter().all(|(_, answer)| answer["ran"] == json!("unknown")), "{answers:?}");
    assert!(cluster.count_runs(&key) <= 1);
}

/// The claimant is frozen between its claim and the send, its caller resends
/// through another node, and then the claimant resumes. The resend is answered with
/// "may have run", and the order runs at most once.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_claimant_that_resumes_causes_no_second_run() {
    let cluster = Cluster::start(3, options()).await;
    let key = new_key();
    cluster.standins.store.faults().slow(Duration::from_millis(150));
    let at = cluster.nodes[0].callers;
    let first = cluster.call(at, "/place", &key, CALL_TIMEOUT);
    let freeze = async {
        eventually("the order is claimed", || async { cluster.is_claimed(&key).then_some(()) })
            .await;
        cluster.nodes[0].signal(Signal::STOP);
        cluster.standins.store.faults().slow(Duration::ZERO);
        let resent = cluster.call(cluster.nodes[1].callers, "/place", &key, CALL_TIMEOUT).await;
        cluster.nodes[0].signal(Signal::CONT);
        resent
    };
    let (first, resent) = tokio::join!(first, freeze);
    let resent = resent.expect("the other node answers");
    assert_eq!(resent.1["ran"], json!("unknown"), "{resent:?}");
    let answers: Vec<_> = first.into_iter().chain([resent]).collect();
    cluster.assert_at_most_one_run(&key, &answers);
}

/// The key-value service is down for the whole duration of an order: the order is
/// refused at once and doesn't run. The ledger can't be read, so the refusal
/// doesn't state that no earlier attempt ran. After the outage the same key works.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_during_an_outage_is_refused_at_once() {
    let cluster = Cluster::start(2, options()).await;
    let key = new_key();
    cluster.standins.store.faults().kill();
    let answers = cluster.order_through_every_node(&key, Duration::from_secs(2)).await;
    assert_eq!(answers.len(), 2);
    for (status, answer) in &answers {
        assert_eq!((*status, &answer["reason"]), (503, &json!("ledger-down")), "{answer}");
        assert!(answer["retry_after_ms"].as_u64().is_some(), "{answer}");
    }
    assert_eq!(cluster.count_runs(&key), 0);
    cluster.assert_at_most_one_run(&key, &answers);
    cluster.standins.store.faults().restart();
    let at = cluster.nodes[0].callers;
    eventually("orders are accepted again", || async {
        let (status, _) = cluster.call(at, "/place", &key, CALL_TIMEOUT).await?;
        (status == 200).then_some(())
    })
    .await;
    assert_eq!(cluster.count_runs(&key), 1);
}

/// The target receives an order and its connection breaks before the answer. The
/// caller learns that the order may have run; resends don't run it.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_is_not_resent_after_its_target_fails() {
    let cluster = Cluster::start(2, options()).await;
    for loss in [Loss::Call, Loss::Answer] {
        let key = new_key();
        for replica in &cluster.standins.replicas {
            replica.faults().lose(loss, "/call", 1);
        }
        let answers = cluster.order_through_every_node(&key, CALL_TIMEOUT).await;
        assert_eq!(answers[0].1["ran"], json!("unknown"), "{answers:?}");
        cluster.assert_at_most_one_run(&key, &answers);
        cluster.standins.replicas.iter().for_each(|replica| replica.faults().clear());
    }
}

/// A key older than the retention time of the ledger can't be looked up any more.
/// It is refused and doesn't run, and the refusal doesn't state that it never ran.
#[tokio::test(flavor = "multi_thread")]
async fn an_old_key_is_refused_and_not_run() {
    let cluster = Cluster::start(1, options()).await;
    let hours_ago = std::time::SystemTime::now() - 2 * Duration::from_secs(3600);
    let since = hours_ago.duration_since(std::time::UNIX_EPOCH).expect("after the epoch");
    let time = uuid::Timestamp::from_unix(uuid::NoContext, since.as_secs(), since.subsec_nanos());
    let key = uuid::Uuid::new_v7(time).to_string();
    let (status, answer) = cluster
        .call(cluster.nodes[0].callers, "/place", &key, WAIT_TIMEOUT)
        .await
        .expect("an answer");
    assert_eq!((status, &answer["reason"]), (400, &json!("key-too-old")));
    assert_eq!(answer["ran"], json!("unknown"));
    assert_eq!(cluster.count_runs(&key), 0);
}

/// The key-value service responds, but only after the order's deadline. The caller
/// gets its final answer, which states no more than is known. The order doesn't
/// run, not even after the service has recovered.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_during_slowness_is_refused_and_not_run() {
    let cluster = Cluster::start(2, options()).await;
    let key = new_key();
    cluster.standins.store.faults().slow(Duration::from_secs(3));
    let answers = cluster.order_through_every_node(&key, Duration::from_secs(1)).await;
    assert_eq!(answers.len(), 2);
    for (status, answer) in &answers {
        assert_eq!((*status, &answer["reason"]), (503, &json!("ledger-down")), "{answer}");
    }
    assert_eq!(cluster.count_runs(&key), 0);
    cluster.standins.store.faults().clear();
    let next = new_key();
    let at = cluster.nodes[0].callers;
    eventually("orders are accepted again", || async {
        let (status, _) = cluster.call(at, "/place", &next, CALL_TIMEOUT).await?;
        (status == 200).then_some(())
    })
    .await;
    assert_eq!(cluster.count_runs(&key), 0);
}

/// A caller sends one order to all nodes repeatedly, and the node that claimed it
/// is killed while a target has the order. The order runs at most once, and no
/// answer states that it didn't run.
#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_killed_during_resends_leaves_one_run() {
    let mut cluster = Cluster::start(3, options()).await;
    let key = new_key();
    cluster.standins.replicas.iter().for_each(|replica| replica.faults().freeze());
    {
        let first = cluster.call(cluster.nodes[0].callers, "/place", &key, CALL_TIMEOUT);
        let claimed =
            eventually("the order is claimed", || async { cluster.is_claimed(&key).then_some(()) });
        tokio::select! {
            answers = first => panic!("a frozen service answered: {answers:?}"),
            () = claimed => {}
        }
    }
    let at = [cluster.nodes[1].callers, cluster.nodes[2].callers];
    let mut dying = cluster.nodes.remove(0);
    let resends = (0..100).map(|i| cluster.call(at[i % 2], "/place", &key, CALL_TIMEOUT));
    let kill = async {
        dying.kill();
        cluster.standins.replicas.iter().for_each(|replica| replica.faults().thaw());
    };
    let (answers, ()) = tokio::join!(futures::future::join_all(resends), kill);
    let answers: Vec<_> = answers.into_iter().flatten().collect();
    assert_eq!(answers.len(), 100);
    assert!(answers.iter().all(|(_, answer)| answer["ran"] == json!("unknown")), "{answers:?}");
    assert!(cluster.count_runs(&key) <= 1);
}
