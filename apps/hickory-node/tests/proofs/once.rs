//! A non-idempotent request runs at most once, and "not run" is true.

use crate::support::{PATIENCE, Scene, eventually, options};
use hickory_standin::fault::Loss;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(10);

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

impl Scene {
    /// Whether a claim stands in the ledger.
    fn is_claimed(&self, key: &str) -> bool {
        let pages = self.standins.store.service().with_core(|core, now| core.list(now, "ledger/"));
        pages.0.iter().any(|page| page.value.contains(key))
    }

    /// Sends an order to every node and notes what was said.
    async fn order_everywhere(&self, key: &str, wait: Duration) -> Vec<(u16, Value)> {
        let mut said = Vec::new();
        for node in &self.nodes {
            said.extend(self.call(node.callers, "/place", key, wait).await);
        }
        said
    }

    /// What was said must agree with what ran.
    fn assert_once(&self, key: &str, said: &[(u16, Value)]) {
        let runs = self.runs(key);
        assert!(runs <= 1, "ran {runs} times");
        let all_not_run = said.iter().all(|(_, answer)| answer["ran"] == json!("no"));
        assert!(runs == 0 || !all_not_run, "ran although every answer said not run: {said:?}");
        let answered = said.iter().any(|(status, _)| *status == 200);
        assert!(runs == 1 || !answered, "answered without a run: {said:?}");
    }
}

/// A thousand sends of one order reach all nodes at once, as from a client
/// that retries without mercy. One runs; the others get its answer or are told
/// at once that it was sent before.
#[tokio::test(flavor = "multi_thread")]
async fn a_thousand_sends_of_one_order_run_once() {
    let scene = Scene::start(3, options()).await;
    let key = new_key();
    let calls = (0..1000).map(|i| scene.call(scene.nodes[i % 3].callers, "/place", &key, WAIT));
    let said: Vec<_> = futures::future::join_all(calls).await.into_iter().flatten().collect();
    assert_eq!(said.len(), 1000);
    assert_eq!(scene.runs(&key), 1);
    scene.assert_once(&key, &said);
}

/// The write that claims an order takes effect and its answer is lost. The
/// node reads the claim back; the order runs once or not at all, and resends
/// through all nodes agree with that.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_to_a_claim_runs_nothing_twice() {
    let scene = Scene::start(3, options()).await;
    for _ in 0..5 {
        let key = new_key();
        scene.standins.store.faults().lose_write_answers(2);
        let said = scene.order_everywhere(&key, WAIT).await;
        assert_eq!(said.len(), 3);
        scene.assert_once(&key, &said);
    }
}

/// The claimant is killed while its order is at the target, which has begun
/// to run it. The caller resends through the other nodes and is told that it
/// may have run; it does not run again.
#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_killed_after_sending_leaves_one_run() {
    let mut scene = Scene::start(3, options()).await;
    let key = new_key();
    scene.standins.replicas.iter().for_each(|replica| replica.faults().freeze());
    let at = scene.nodes[0].callers;
    let said = {
        let first = scene.call(at, "/place", &key, WAIT);
        let claimed =
            eventually("the claim stands", || async { scene.is_claimed(&key).then_some(()) });
        let (first, ()) = tokio::join!(
            async { tokio::time::timeout(Duration::from_millis(500), first).await.ok().flatten() },
            claimed
        );
        first
    };
    assert!(said.is_none(), "a frozen service answered: {said:?}");
    scene.nodes[0].kill();
    scene.standins.replicas.iter().for_each(|replica| replica.faults().thaw());
    let said = scene.order_everywhere(&key, WAIT).await;
    assert!(said.iter().all(|(_, answer)| answer["ran"] == json!("unknown")), "{said:?}");
    assert!(scene.runs(&key) <= 1);
}

/// The claimant is frozen between its claim and the send, its caller resends
/// through another node, and then the claimant goes on. The resend is told
/// that it may have run; the order runs at most once.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_claimant_that_goes_on_runs_nothing_twice() {
    let scene = Scene::start(3, options()).await;
    let key = new_key();
    scene.standins.store.faults().slow(Duration::from_millis(150));
    let at = scene.nodes[0].callers;
    let first = scene.call(at, "/place", &key, WAIT);
    let freeze = async {
        eventually("the claim stands", || async { scene.is_claimed(&key).then_some(()) }).await;
        scene.nodes[0].signal(Signal::STOP);
        scene.standins.store.faults().slow(Duration::ZERO);
        let resent = scene.call(scene.nodes[1].callers, "/place", &key, WAIT).await;
        scene.nodes[0].signal(Signal::CONT);
        resent
    };
    let (first, resent) = tokio::join!(first, freeze);
    let resent = resent.expect("the other node answers");
    assert_eq!(resent.1["ran"], json!("unknown"), "{resent:?}");
    let said: Vec<_> = first.into_iter().chain([resent]).collect();
    scene.assert_once(&key, &said);
}

/// The key-value service is down for the whole time of an order: it is refused
/// at once and does not run. Whether an earlier attempt ran can't be read, so
/// the refusal does not claim that none did. After the outage the key works.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_during_an_outage_is_refused_at_once() {
    let scene = Scene::start(2, options()).await;
    let key = new_key();
    scene.standins.store.faults().kill();
    let said = scene.order_everywhere(&key, Duration::from_secs(2)).await;
    assert_eq!(said.len(), 2);
    for (status, answer) in &said {
        assert_eq!((*status, &answer["reason"]), (503, &json!("ledger-down")), "{answer}");
        assert!(answer["retry_after_ms"].as_u64().is_some(), "{answer}");
    }
    assert_eq!(scene.runs(&key), 0);
    scene.assert_once(&key, &said);
    scene.standins.store.faults().restart();
    let at = scene.nodes[0].callers;
    eventually("orders are taken again", || async {
        let (status, _) = scene.call(at, "/place", &key, WAIT).await?;
        (status == 200).then_some(())
    })
    .await;
    assert_eq!(scene.runs(&key), 1);
}

/// The target takes the bytes of an order and its connection breaks before the
/// answer. The caller is told that it may have run; resends don't run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_dies_with_the_order_is_not_sent_it_again() {
    let scene = Scene::start(2, options()).await;
    for loss in [Loss::Call, Loss::Answer] {
        let key = new_key();
        for replica in &scene.standins.replicas {
            replica.faults().lose(loss, "/call", 1);
        }
        let said = scene.order_everywhere(&key, WAIT).await;
        assert_eq!(said[0].1["ran"], json!("unknown"), "{said:?}");
        scene.assert_once(&key, &said);
        scene.standins.replicas.iter().for_each(|replica| replica.faults().clear());
    }
}

/// A key older than the ledger keeps can't be looked up any more: it is
/// refused, without the claim that it has not run, and does not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_old_key_is_refused_and_not_run() {
    let scene = Scene::start(1, options()).await;
    let hours_ago = std::time::SystemTime::now() - 2 * Duration::from_secs(3600);
    let since = hours_ago.duration_since(std::time::UNIX_EPOCH).expect("after the epoch");
    let time = uuid::Timestamp::from_unix(uuid::NoContext, since.as_secs(), since.subsec_nanos());
    let key = uuid::Uuid::new_v7(time).to_string();
    let (status, answer) =
        scene.call(scene.nodes[0].callers, "/place", &key, PATIENCE).await.expect("an answer");
    assert_eq!((status, &answer["reason"]), (400, &json!("key-too-old")));
    assert_eq!(answer["ran"], json!("unknown"));
    assert_eq!(scene.runs(&key), 0);
}

/// The key-value service answers, but later than the order has time. The
/// caller gets its final answer, which does not say more than is known; the
/// order does not run, and not after the service is well again either.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_during_slowness_is_refused_and_not_run() {
    let scene = Scene::start(2, options()).await;
    let key = new_key();
    scene.standins.store.faults().slow(Duration::from_secs(3));
    let said = scene.order_everywhere(&key, Duration::from_secs(1)).await;
    assert_eq!(said.len(), 2);
    for (status, answer) in &said {
        assert_eq!((*status, &answer["reason"]), (503, &json!("ledger-down")), "{answer}");
    }
    assert_eq!(scene.runs(&key), 0);
    scene.standins.store.faults().clear();
    let next = new_key();
    let at = scene.nodes[0].callers;
    eventually("orders are taken again", || async {
        let (status, _) = scene.call(at, "/place", &next, WAIT).await?;
        (status == 200).then_some(())
    })
    .await;
    assert_eq!(scene.runs(&key), 0);
}

/// A caller sends one order to all nodes again and again, while the node that
/// claimed it is killed with the order at the target. It runs once at most,
/// and no answer says that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_killed_among_resends_leaves_one_run() {
    let mut scene = Scene::start(3, options()).await;
    let key = new_key();
    scene.standins.replicas.iter().for_each(|replica| replica.faults().freeze());
    {
        let first = scene.call(scene.nodes[0].callers, "/place", &key, WAIT);
        let claimed =
            eventually("the claim stands", || async { scene.is_claimed(&key).then_some(()) });
        tokio::select! {
            said = first => panic!("a frozen service answered: {said:?}"),
            () = claimed => {}
        }
    }
    let at = [scene.nodes[1].callers, scene.nodes[2].callers];
    let mut dying = scene.nodes.remove(0);
    let resends = (0..100).map(|i| scene.call(at[i % 2], "/place", &key, WAIT));
    let kill = async {
        dying.kill();
        scene.standins.replicas.iter().for_each(|replica| replica.faults().thaw());
    };
    let (said, ()) = tokio::join!(futures::future::join_all(resends), kill);
    let said: Vec<_> = said.into_iter().flatten().collect();
    assert_eq!(said.len(), 100);
    assert!(said.iter().all(|(_, answer)| answer["ran"] == json!("unknown")), "{said:?}");
    assert!(scene.runs(&key) <= 1);
}
