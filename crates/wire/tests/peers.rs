//! Tests of the protocol between nodes: authentication by the fleet key, broken and silent links,
//! and withdrawn permit requests.

use hickory_unit::{id, size};
use hickory_wire::link::{Error, Handler, Links};
use hickory_wire::message::{
    Adoption, Cost, Document, Ending, Gossip, Outcome, Permit, PermitRequest, Refusal, Suspect,
    TargetState, Weights,
};
use hickory_wire::proof::Key;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

const TIMEOUT: Duration = Duration::from_secs(10);

/// A handler that returns fixed answers and records the outcomes it receives.
#[derive(Clone, Debug, Default)]
struct Node {
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    /// Number of permit requests in progress.
    pending: Arc<AtomicUsize>,
    /// Signals that a blocked permit request may be granted.
    grant: Arc<Notify>,
    /// Whether permit requests block until `grant` is signalled.
    blocks_permits: bool,
}

/// Counts a permit request while it is in progress.
struct PendingRequest(Arc<AtomicUsize>);

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Node {
    fn exchange(&self, gossip: Gossip) -> Gossip {
        gossip
    }

    async fn permit(&self, request: PermitRequest) -> Result<Permit, Refusal> {
        self.pending.fetch_add(1, Ordering::SeqCst);
        let _pending = PendingRequest(self.pending.clone());
        if self.blocks_permits {
            self.grant.notified().await;
        }
        match request.is_batch {
            false => Ok(Permit { id: 7, epoch: id::Epoch(3), lifetime: TIMEOUT, priority: 2 }),
            true => Err(Refusal {
                reason: "overloaded".into(),
                retry_after: Duration::from_millis(250),
                is_not_owner: true,
            }),
        }
    }

    fn outcome(&self, outcome: Outcome) {
        self.outcomes.lock().expect("no test panics with the lock").push(outcome);
    }

    fn adopt(&self, adoption: Adoption) -> Result<Permit, Refusal> {
        let id = u64::from(adoption.is_renewal);
        Ok(Permit { id, epoch: id::Epoch(1), lifetime: TIMEOUT, priority: 0 })
    }

    fn configuration(&self) -> Option<Document> {
        Some(Document { version: 4, text: "{}".into() })
    }

    fn owners(&self) -> Option<Document> {
        None
    }
}

fn key(byte: &str) -> Key {
    byte.repeat(32).parse().expect("a key")
}

fn listen(node: Node, byte: &str) -> Links {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    Links::spawn(listener, key(byte), node).expect("the links start")
}

fn stream() -> id::Stream {
    id::Stream {
        request: id::Request(uuid::Uuid::now_v7()),
        attempt: 2,
        sender: "node-1".into(),
        deadline_ms: 99,
    }
}

fn permit_request(batch: bool) -> PermitRequest {
    PermitRequest {
        stream: stream(),
        target: "engine-1".into(),
        partner: "mawe".into(),
        account: "shop".into(),
        is_batch: batch,
        cost: Cost { prefill: size::Tokens(1), decode: size::Tokens(2), kv: size::Tokens(3) },
        weights: Some(Weights { model: "m".into(), version: "1".into(), adapter: None }),
        time_left: TIMEOUT,
        runs_alone: true,
        fingerprint: 5,
        prefix: 6,
        must_not_queue: true,
    }
}

fn gossip() -> Gossip {
    let ready = vec![Weights { model: "m".into(), version: "1".into(), adapter: Some("a".into()) }];
    let state = TargetState {
        target: "engine-1".into(),
        epoch: id::Epoch(1),
        queued_prefill: size::Tokens(2),
        queued_long: size::Tokens(3),
        kv_free: size::Tokens(4),
        kv_capacity: size::Tokens(5),
        prefill_rate: 6,
        stream_limit: 7,
        running: 8,
        incarnation: id::Incarnation(9),
        waiting: 10,
        ready,
        is_accepting: true,
        prefixes: vec![11, 12],
    };
    Gossip {
        node: "node-1".into(),
        incarnation: id::Incarnation(1),
        configuration_version: id::Release(2),
        owners_revision: 3,
        is_draining: true,
        version: 4,
        acknowledged_version: 5,
        targets: vec![state],
        suspects: vec![Suspect { fingerprint: 6, deaths: 1, age: Duration::from_millis(7) }],
        active_requests: 8,
    }
}

/// Guards against fields that are lost or mixed up in encoding: every message must arrive as it was
/// sent.
#[tokio::test]
async fn every_message_arrives_unchanged() {
    let node = Node::default();
    let server = listen(node.clone(), "2a");
    let client = listen(Node::default(), "2a");
    let to = server.address();
    assert_eq!(client.exchange(to, gossip(), TIMEOUT).await, Ok(gossip()));
    let granted =
        client.request_permit(to, permit_request(false), TIMEOUT).await.expect("an answer");
    assert_eq!(granted.map(|permit| (permit.id, permit.epoch.0, permit.priority)), Ok((7, 3, 2)));
    let refused =
        client.request_permit(to, permit_request(true), TIMEOUT).await.expect("an answer");
    assert!(refused.is_err_and(|refusal| refusal.is_not_owner && refusal.reason == "overloaded"));
    for ending in
        [Ending::Finished, Ending::Cancelled, Ending::TargetDied, Ending::CallerDisconnected]
    {
        let outcome = Outcome {
            target: "engine-1".into(),
            permit: 7,
            epoch: id::Epoch(3),
            ending,
            time_to_first_token: Some(Duration::from_millis(9)),
            stream: Some(stream()),
        };
        assert_eq!(client.report_outcome(to, outcome.clone(), TIMEOUT).await, Ok(()));
        assert_eq!(node.outcomes.lock().expect("no panic").pop(), Some(outcome));
    }
    let document = client.fetch_configuration(to, TIMEOUT).await.expect("an answer");
    assert_eq!(document, Some(Document { version: 4, text: "{}".into() }));
    assert_eq!(client.fetch_owners(to, TIMEOUT).await, Ok(None));
    for is_renewal in [false, true] {
        let adoption =
            Adoption { target: "t".into(), stream: stream(), node: "node-1".into(), is_renewal };
        let permit = client.adopt(to, adoption, TIMEOUT).await.expect("an answer");
        assert_eq!(permit.map(|permit| permit.id), Ok(u64::from(is_renewal)));
    }
}

/// Guards against links that authenticate only one side: a process with another fleet key must be
/// rejected both as client and as server.
#[tokio::test]
async fn peers_without_the_fleet_key_are_rejected() {
    let server = listen(Node::default(), "2a");
    let foreign_node = listen(Node::default(), "2b");
    for (from, to) in [(&foreign_node, &server), (&server, &foreign_node)] {
        let answer = from.exchange(to.address(), gossip(), TIMEOUT).await;
        assert!(matches!(answer, Err(Error::Connect(_))), "{answer:?}");
        let probe = from.probe(to.address(), TIMEOUT).await;
        assert!(matches!(probe, Err(Error::Connect(_))), "{probe:?}");
    }
}

/// Guards against connecting without a timeout: a peer that accepts connections but never answers
/// must fail with a login timeout, and one that does not listen must fail immediately.
#[tokio::test]
async fn connecting_to_a_silent_or_absent_peer_fails() {
    let client = listen(Node::default(), "2a");
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let to = silent.local_addr().expect("it is bound");
    let answer = client.exchange(to, gossip(), TIMEOUT).await;
    assert_eq!(answer, Err(Error::Connect("timeout".into())));
    drop(silent);
    let answer = client.exchange(to, gossip(), TIMEOUT).await;
    assert!(matches!(answer, Err(Error::Connect(_))), "{answer:?}");
}

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, wait).await.is_ok(), "timed out waiting: {what}");
}

/// Guards against requests that stay queued after their sender stopped waiting. The link must stay
/// usable for the next call.
#[tokio::test]
async fn a_dropped_permit_request_is_withdrawn_from_its_owner() {
    let node = Node { blocks_permits: true, ..Node::default() };
    let server = listen(node.clone(), "2a");
    let client = listen(Node::default(), "2a");
    let to: SocketAddr = server.address();
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.request_permit(to, permit_request(false), TIMEOUT).await }
    });
    eventually("the request is queued", || node.pending.load(Ordering::SeqCst) == 1).await;
    waiting.abort();
    eventually("the request is withdrawn", || node.pending.load(Ordering::SeqCst) == 0).await;
    assert_eq!(client.exchange(to, gossip(), TIMEOUT).await, Ok(gossip()));
}

/// Guards against waiting for the timeout when the owner's process ends while a permit request is
/// queued there.
#[tokio::test]
async fn a_queued_permit_request_fails_when_the_peer_closes() {
    let node = Node { blocks_permits: true, ..Node::default() };
    let server = listen(node.clone(), "2a");
    let client = listen(Node::default(), "2a");
    let to = server.address();
    let closing = async {
        eventually("the request is queued", || node.pending.load(Ordering::SeqCst) == 1).await;
        server.close();
    };
    let (answer, ()) =
        tokio::join!(client.request_permit(to, permit_request(false), TIMEOUT * 100), closing);
    assert!(matches!(answer, Err(Error::NoAnswer(_))), "{answer:?}");
}
