//! Tests of the drivers against an in-memory service with faults. They wait for
//! conditions, with a timeout that only a hang reaches.

use hickory_release::configuration::Configuration;
use hickory_release::note::Note;
use hickory_standin::store::Memory;
use hickory_state::claim::{Answer, Ledger, LedgerError, Options, Outcome};
use hickory_state::config::{Manager, Rejection};
use hickory_state::member::{Info, Member};
use hickory_state::owner::{Allowance, Owned, Owners, Probe};
use hickory_store::store::Store;
use hickory_unit::clock::{Clock, System};
use hickory_unit::id::{self, Incarnation};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use uuid::Uuid;

const MAX_WAIT: Duration = Duration::from_secs(20);

async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(tokio::time::timeout(MAX_WAIT, wait).await.is_ok(), "not reached: {what}");
}

fn open_ledger(store: &Memory) -> Ledger<Memory, System> {
    Ledger::new(store.clone(), System, "a".into(), Options::default())
}

/// One request is sent to nine nodes at once, over a thousand times, while some replies
/// of the service are lost. One attempt is granted; all others learn that the request may
/// have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn same_key_at_all_nodes() {
    let service = Memory::default();
    let key = Uuid::now_v7();
    let deadline = System.now() + MAX_WAIT;
    let mut claims = JoinSet::new();
    for node in 0..9 {
        let store = service.new_client();
        store.set(|faults| {
            faults.delay = Duration::from_millis(2);
            faults.lose_answers = node % 3;
            faults.lose_writes = node % 2;
        });
        let ledger = open_ledger(&store);
        for _ in 0..112 {
            let ledger = ledger.clone();
            claims.spawn(async move { ledger.claim(key, 7, deadline).await });
        }
    }
    let answers = claims.join_all().await;
    let granted = answers.iter().filter(|a| matches!(a, Answer::Granted(_))).count();
    let repeated = answers.iter().filter(|a| matches!(a, Answer::Repeated { outcome: None }));
    assert_eq!((granted, repeated.count()), (1, 9 * 112 - 1));
}

/// A resend through another node gets the stored outcome, and a request that did not run
/// can be claimed again.
#[tokio::test]
async fn stored_outcomes() {
    let service = Memory::default();
    let (a, b) = (open_ledger(&service.new_client()), open_ledger(&service.new_client()));
    let key = Uuid::now_v7();
    let deadline = System.now() + MAX_WAIT;
    let Answer::Granted(claim) = a.claim(key, 7, deadline).await else {
        panic!("not granted");
    };
    a.settle(&claim, Outcome::NotRun).await.unwrap();
    assert!(!claim.can_send(System.now()));
    let Answer::Granted(claim) = b.claim(key, 7, deadline).await else {
        panic!("not granted again");
    };
    let answered = Outcome::Answered { status: 200, body: Some("taken".into()) };
    b.settle(&claim, answered.clone()).await.unwrap();
    let answer = a.claim(key, 7, deadline).await;
    assert!(matches!(answer, Answer::Repeated { outcome: Some(o) } if o == answered));
    assert!(matches!(a.claim(key, 8, deadline).await, Answer::Reused));
}

/// The service doesn't reply before the deadline: the claim is refused at the deadline,
/// not later, and the answer doesn't say that nothing ran.
#[tokio::test]
async fn silent_service() {
    let store = Memory::default();
    store.set(|faults| faults.delay = MAX_WAIT);
    let ledger = open_ledger(&store);
    let deadline = System.now() + Duration::from_millis(200);
    let claim = ledger.claim(Uuid::now_v7(), 7, deadline);
    let answer = tokio::time::timeout(MAX_WAIT / 2, claim).await.expect("answered at the deadline");
    assert!(matches!(answer, Answer::Unknown(LedgerError::ReadFailed(_))), "{answer:?}");
}

/// A note accepted at one node, whose first reply is lost, comes into force at a second
/// node through its watch, and at a third, which has lost the service, through a peer. A
/// second note against the same version conflicts.
#[tokio::test]
async fn accepted_note_reaches_all_nodes() {
    let service = Memory::default();
    let (near, far, cut) = (service.new_client(), service.new_client(), service.new_client());
    cut.set(|faults| faults.down = true);
    near.set(|faults| faults.lose_answers = 1);
    let a = Manager::spawn(near, System);
    let b = Manager::spawn(far, System);
    let c = Manager::spawn(cut, System);
    let note = |operation: &str| Note { operation: operation.into(), ..Note::default() };
    let accepted = a.accept(&note("first")).await.unwrap();
    assert_eq!(accepted.version, id::Release(1));
    let version = |manager: &Manager<Memory, System>| manager.current().map(|c| c.version.0);
    wait_for("the watch delivers the note", || version(&b) == Some(1)).await;
    let rejection = b.accept(&note("second")).await.unwrap_err();
    assert!(matches!(rejection, Rejection::Conflict { present } if present.version.0 == 1));
    assert_eq!(version(&c), None);
    assert!(c.apply_if_newer((*accepted).clone()));
    assert!(!c.apply_if_newer(Configuration::default()));
    assert_eq!(version(&c), Some(1));
}

/// Reports all nodes as running until `dead` is set.
#[derive(Clone, Default)]
struct Fleet {
    dead: Arc<AtomicBool>,
}

impl Probe for Fleet {
    async fn is_alive(&self, _: &Info) -> bool {
        !self.dead.load(Ordering::SeqCst)
    }
}

type Node = (Member<Memory, System>, Owners<Memory, System, Fleet>);

fn spawn_node(store: Memory, name: &str, fleet: &Fleet) -> Node {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let info = Info {
        node: name.into(),
        zone: "z".into(),
        callers: address,
        peers: address,
        admin: address,
        incarnation: Incarnation(1),
        draining: false,
    };
    let member = Member::spawn(store.clone(), System, info, Duration::from_secs(2));
    let permit = Duration::from_millis(200);
    let owners = Owners::spawn(store, System, member.clone(), fleet.clone(), permit);
    owners.set_targets(&["t1", "t2", "t3", "t4", "t5"].map(id::Target::from));
    (member, owners)
}

fn count_full(node: &Node) -> usize {
    node.1.owned().iter().filter(|owned| owned.allowance == Allowance::Full).count()
}

/// Three nodes share five targets. One stops as planned, hands its targets over in one
/// write, and is then no longer registered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop() {
    let service = Memory::default();
    let fleet = Fleet::default();
    let nodes = ["a", "b", "c"].map(|name| spawn_node(service.new_client(), name, &fleet));
    let total = || nodes.iter().map(count_full).sum::<usize>();
    wait_for("all targets are served", || total() == 5).await;
    let most = nodes.iter().max_by_key(|node| count_full(node)).unwrap();
    most.0.set_draining().await;
    assert!(most.1.release_all().await);
    assert!(most.1.owned().is_empty());
    most.0.deregister().await;
    wait_for("the others serve all", || total() == 5 && count_full(most) == 0).await;
    // The stopped node no longer follows the registrations, so only the others are
    // checked.
    let others = || nodes.iter().filter(|node| !std::ptr::eq(*node, most));
    wait_for("the node is gone", || others().all(|(m, _)| m.nodes().len() == 2)).await;
    let entry = service.get("owners").await.unwrap().unwrap();
    let known = || others().all(|(_, owners)| entry.revision.short() <= owners.revision());
    wait_for("the others know the document", known).await;
}

/// A node dies: its lease expires, a probe fails, and the other node takes its targets
/// over. It gets half the allowance at first, since it can't tell a dead node from one
/// that is cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn takeover() {
    let service = Memory::default();
    let fleet = Fleet::default();
    let stores = [service.new_client(), service.new_client()];
    let nodes = [("a", 0), ("b", 1)].map(|(n, s)| spawn_node(stores[s].clone(), n, &fleet));
    wait_for("both serve", || nodes.iter().map(count_full).sum::<usize>() == 5).await;
    let lost = usize::from(count_full(&nodes[1]) > 0);
    stores[lost].set(|faults| faults.down = true);
    fleet.dead.store(true, Ordering::SeqCst);
    let successor = &nodes[1 - lost];
    let waits = |owned: &Owned| matches!(owned.allowance, Allowance::WaitUntil(_));
    let serves = || successor.1.owned().iter().filter(|owned| !waits(owned)).count() == 5;
    wait_for("the successor serves all", serves).await;
}
