//! Counts the calls that nodes make to the key-value service, for capacity planning:
//! `calls NODES SECONDS [CLAIMS_PER_SECOND]`.
//!
//! All nodes run in this process with an in-memory service. After the start the calls are
//! counted for the given time at rest, then with claims, and then during one change
//! of the configuration.

use hickory_release::note::Note;
use hickory_standin::store::Memory;
use hickory_state::claim::{self, Answer, Ledger, Outcome};
use hickory_state::config::Manager;
use hickory_state::member::{Info, Member};
use hickory_state::owner::{Owners, Probe};
use hickory_store::store::{Batch, Entry, Error, Lease, Revision, Store, Write};
use hickory_unit::clock::{Clock, System};
use hickory_unit::id::{self, Incarnation};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use uuid::Uuid;

type Counts = BTreeMap<(&'static str, String), u64>;

/// A store that counts calls by kind and by the first segment of the key.
#[derive(Clone)]
struct Counted {
    inner: Memory,
    counts: Arc<Mutex<Counts>>,
}

impl Counted {
    fn count(&self, kind: &'static str, key: &str) {
        let part = key.split('/').next().unwrap_or_default().to_owned();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry((kind, part)).or_default() += 1;
    }

    fn take(&self) -> Counts {
        std::mem::take(&mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Store for Counted {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.count("read", key);
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), Error> {
        self.count("read", prefix);
        self.inner.list(prefix).await
    }

    async fn write(&self, write: Write) -> Result<Revision, Error> {
        self.count("write", &write.key);
        self.inner.write(write).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Batch, Error> {
        self.count("read", prefix);
        self.inner.watch(prefix, after, wait).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.count("write", "lease");
        self.inner.grant(ttl).await
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        self.count("write", "lease");
        self.inner.renew(lease).await
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.count("write", "lease");
        self.inner.revoke(lease).await
    }
}

#[derive(Clone, Copy)]
struct Alive;

impl Probe for Alive {
    async fn is_alive(&self, _: &Info) -> bool {
        true
    }
}

struct Node {
    _member: Member<Counted, System>,
    _owners: Owners<Counted, System, Alive>,
    manager: Manager<Counted, System>,
    ledger: Ledger<Counted, System>,
}

fn spawn_node(store: &Counted, number: usize, targets: &[id::Target]) -> Node {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let info = Info {
        node: format!("node-{number}").as_str().into(),
        zone: "z".into(),
        callers: address,
        peers: address,
        admin: address,
        incarnation: Incarnation(1),
        draining: false,
    };
    let node = info.node.clone();
    let member = Member::spawn(store.clone(), System, info, Duration::from_secs(5));
    let permit = Duration::from_secs(1);
    let owners = Owners::spawn(store.clone(), System, member.clone(), Alive, permit);
    owners.set_targets(targets);
    let ledger = Ledger::new(store.clone(), System, node, claim::Options::default());
    let manager = Manager::spawn(store.clone(), System);
    Node { _member: member, _owners: owners, manager, ledger }
}

fn print_counts(name: &str, counts: &Counts, nodes: usize, time: Duration) {
    for ((kind, part), count) in counts {
        let rate = *count as f64 / time.as_secs_f64();
        println!("{name:14} {kind:6} {part:14} {rate:9.2}/s {:9.4}/s/node", rate / nodes as f64);
    }
}

/// Claims and settles `rate` requests per second, spread over the nodes.
async fn make_claims(nodes: &[Node], rate: f64, time: Duration) -> (usize, Vec<Duration>) {
    let start = Instant::now();
    let total = (rate * time.as_secs_f64()) as usize;
    let mut claims = tokio::task::JoinSet::new();
    for number in 0..total {
        let due = start + time.mul_f64(number as f64 / total as f64);
        tokio::time::sleep_until(due.into()).await;
        let ledger = nodes[number % nodes.len()].ledger.clone();
        claims.spawn(async move {
            let asked = Instant::now();
            let deadline = System.now() + Duration::from_secs(5);
            let answer = ledger.claim(Uuid::now_v7(), 1, deadline).await;
            let took = asked.elapsed();
            let Answer::Granted(claim) = answer else {
                return None;
            };
            let outcome = Outcome::Answered { status: 200, body: Some("done".into()) };
            ledger.settle(&claim, outcome).await.ok()?;
            Some(took)
        });
    }
    let mut times: Vec<_> = claims.join_all().await.into_iter().flatten().collect();
    times.sort_unstable();
    (total, times)
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut next = |default: f64| arguments.next().and_then(|a| a.parse().ok()).unwrap_or(default);
    let count = next(9.0) as usize;
    let time = Duration::from_secs_f64(next(20.0));
    let rate = next(0.0);
    let store = Counted { inner: Memory::default(), counts: Arc::default() };
    // The service delays each reply by one millisecond.
    store.inner.set(|faults| faults.delay = Duration::from_millis(1));
    let targets = (0..count * 630 / 380).map(|n| format!("t{n}").as_str().into());
    let targets: Vec<id::Target> = targets.collect();
    let nodes: Vec<_> = (0..count).map(|n| spawn_node(&store, n, &targets)).collect();
    // Waits until no target has moved for ten seconds.
    let begun = Instant::now();
    loop {
        tokio::time::sleep(Duration::from_secs(10)).await;
        let moved = store.take().keys().any(|(kind, part)| *kind == "write" && part == "owners");
        if !moved || begun.elapsed() > Duration::from_secs(150) {
            break;
        }
    }
    println!("settled after {:?}", begun.elapsed());
    tokio::time::sleep(time).await;
    print_counts("at rest", &store.take(), count, time);
    if rate > 0.0 {
        let (asked, times) = make_claims(&nodes, rate, time).await;
        print_counts("with claims", &store.take(), count, time);
        let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied();
        println!(
            "claims asked {asked} settled {} p50 {:?} p99 {:?}",
            times.len(),
            at(0.5),
            at(0.99)
        );
    }
    let entries = store.inner.list("").await.map(|(entries, _)| entries).unwrap_or_default();
    for prefix in ["owners", "nodes/", "ledger/"] {
        let sizes = entries.iter().filter(|e| e.key.starts_with(prefix)).map(|e| e.value.len());
        println!(
            "{prefix:8} bytes: all {} greatest {:?}",
            sizes.clone().sum::<usize>(),
            sizes.max()
        );
    }
    let begun = Instant::now();
    let note = Note { operation: "one".into(), ..Note::default() };
    let accepted = nodes[0].manager.accept(&note).await.map(|next| next.version);
    for node in &nodes {
        let mut changes = node.manager.subscribe();
        let _ = changes.wait_for(|current| current.is_some()).await;
    }
    println!("note {accepted:?} in force on {count} nodes after {:?}", begun.elapsed());
    tokio::time::sleep(Duration::from_secs(2)).await;
    println!("calls within 2 s of the change:");
    print_counts("one change", &store.take(), count, Duration::from_secs(1));
}
