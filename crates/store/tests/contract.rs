//! The contract of the platform's ports over HTTP: what each call gives under
//! each fault, and whether a write took effect.
//!
//! A row tells what a caller may conclude. `NotDone` where the write took
//! effect would let a caller send an order twice or call it not run;
//! `Unknown` where it is known to be not done only costs time.

use hickory_standin::fault::{Faults, Loss};
use hickory_standin::{hosts, store, weights};
use hickory_store::host::{Host, Kind, List, Standing};
use hickory_store::http::{Address, Platform};
use hickory_store::store::{Entry, Error, Expect, Lease, Revision, Store, Write};
use hickory_store::weight::{Limit, Weights};
use hickory_unit::size;
use std::net::SocketAddr;
use std::time::Duration;

/// Ends the calls that no answer comes to; calls that are answered get
/// [`LONG`], so that a busy machine changes no verdict.
const SHORT: Duration = Duration::from_millis(250);

/// A wait that no test sees the end of.
const LONG: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The process is dead.
    Killed,
    /// It was dead, and runs again.
    Restarted,
    /// It accepts connections and says nothing.
    Frozen,
    /// It was frozen, and goes on.
    Thawed,
    /// It takes longer than the caller waits.
    Slow,
    /// The call is lost on a connection that breaks.
    CallLost,
    /// The answer is lost on a connection that breaks.
    AnswerLost,
    /// No answer comes, and the connection stays open.
    AnswerSilent,
    /// The connections that were open are silent for good.
    Silenced,
}

impl Fault {
    /// How long to wait for what comes under it.
    fn patience(self) -> Duration {
        match self {
            Self::Frozen | Self::Slow | Self::AnswerSilent | Self::Silenced => SHORT,
            _ => LONG,
        }
    }

    fn apply(self, faults: &Faults) {
        match self {
            Self::None => {}
            Self::Killed => faults.kill(),
            Self::Restarted => faults.restart(),
            Self::Frozen => faults.freeze(),
            Self::Thawed => {
                faults.freeze();
                faults.thaw();
            }
            Self::Slow => faults.slow(LONG),
            Self::CallLost => faults.lose(Loss::Call, "/", 1),
            Self::AnswerLost => faults.lose(Loss::Answer, "/", 1),
            Self::AnswerSilent => faults.lose(Loss::Silence, "/", 1),
            Self::Silenced => faults.silence(),
        }
    }
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Done,
    Absent,
    Conflict,
    LeaseLapsed,
    NotDone,
    Unknown,
}

impl<T> From<Result<T, Error>> for Told {
    fn from(result: Result<T, Error>) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(Error::Conflict(_)) => Self::Conflict,
            Err(Error::LeaseLapsed) => Self::LeaseLapsed,
            Err(Error::NotDone(_)) => Self::NotDone,
            Err(Error::Unknown(_)) => Self::Unknown,
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Act {
    Get,
    GetAbsent,
    List,
    /// Creates the key `new`.
    Write,
    /// Creates a key that exists.
    WriteOver,
    /// Writes at a revision that has passed.
    WriteStale,
    /// Writes a value above the greatest.
    WriteLarge,
    /// Creates the key `new` under a lease that has lapsed.
    WriteLapsed,
    WatchNothing,
    WatchPast,
    Grant,
    Renew,
    RenewLapsed,
    Revoke,
    RevokeLapsed,
}

struct Scene {
    store: store::Handle,
    platform: Platform,
    lease: Lease,
}

const LAPSED: Lease = Lease(u64::MAX);

impl Scene {
    async fn open() -> Self {
        Self::open_with(LONG).await
    }

    /// A service with the key `old` at revision 1, a lease, and a connection
    /// that has been used.
    async fn open_with(timeout: Duration) -> Self {
        let store = store::spawn("127.0.0.1:0".parse().unwrap()).unwrap();
        let platform = open_platform(store.address(), timeout);
        let shared = store.service();
        shared.write(write("old", Expect::Absent)).unwrap();
        let lease = shared.grant(LONG);
        while platform.get("old").await.is_err() {}
        Self { store, platform, lease }
    }

    async fn act(&self, act: Act) -> Told {
        let platform = &self.platform;
        match act {
            Act::Get => platform.get("old").await.into(),
            Act::GetAbsent => match platform.get("new").await {
                Ok(None) => Told::Absent,
                other => other.into(),
            },
            Act::List => platform.list("o").await.into(),
            Act::Write => platform.write(write("new", Expect::Absent)).await.into(),
            Act::WriteOver => platform.write(write("old", Expect::Absent)).await.into(),
            Act::WriteStale => platform.write(write("old", Expect::At(Revision(7)))).await.into(),
            Act::WriteLarge => {
                let value = Some("x".repeat(size_of_value() + 1));
                platform.write(Write { value, ..write("new", Expect::Any) }).await.into()
            }
            Act::WriteLapsed => {
                let lease = Some(LAPSED);
                platform.write(Write { lease, ..write("new", Expect::Any) }).await.into()
            }
            Act::WatchNothing => platform.watch("o", Revision(1), Duration::ZERO).await.into(),
            Act::WatchPast => platform.watch("o", Revision(0), LONG).await.into(),
            Act::Grant => platform.grant(LONG).await.into(),
            Act::Renew => platform.renew(self.lease).await.into(),
            Act::RenewLapsed => platform.renew(LAPSED).await.into(),
            Act::Revoke => platform.revoke(self.lease).await.into(),
            Act::RevokeLapsed => platform.revoke(LAPSED).await.into(),
        }
    }

    /// Whether the key `new` was written.
    fn is_written(&self) -> bool {
        self.store.service().with(|core, now| core.get(now, "new")).is_some()
    }
}

fn size_of_value() -> usize {
    hickory_store::store::VALUE_MAX.0 as usize
}

fn open_platform(at: SocketAddr, timeout: Duration) -> Platform {
    Platform::open(Address { store: at, hosts: at, weights: at }, timeout)
}

fn write(key: &str, expect: Expect) -> Write {
    Write { key: key.into(), value: Some("v".into()), expect, lease: None }
}

/// Fault, call, what the caller is told, whether `new` is there afterwards.
const STORE: &[(Fault, Act, Told, bool)] = &[
    (Fault::None, Act::Get, Told::Done, false),
    (Fault::None, Act::GetAbsent, Told::Absent, false),
    (Fault::None, Act::List, Told::Done, false),
    (Fault::None, Act::Write, Told::Done, true),
    (Fault::None, Act::WriteOver, Told::Conflict, false),
    (Fault::None, Act::WriteStale, Told::Conflict, false),
    (Fault::None, Act::WriteLarge, Told::NotDone, false),
    (Fault::None, Act::WriteLapsed, Told::LeaseLapsed, false),
    (Fault::None, Act::WatchNothing, Told::Done, false),
    (Fault::None, Act::WatchPast, Told::Done, false),
    (Fault::None, Act::Grant, Told::Done, false),
    (Fault::None, Act::Renew, Told::Done, false),
    (Fault::None, Act::RenewLapsed, Told::LeaseLapsed, false),
    (Fault::None, Act::Revoke, Told::Done, false),
    (Fault::None, Act::RevokeLapsed, Told::LeaseLapsed, false),
    (Fault::Killed, Act::Get, Told::NotDone, false),
    (Fault::Killed, Act::List, Told::NotDone, false),
    (Fault::Killed, Act::Write, Told::NotDone, false),
    (Fault::Killed, Act::WatchPast, Told::NotDone, false),
    (Fault::Killed, Act::Renew, Told::NotDone, false),
    (Fault::Restarted, Act::Get, Told::Done, false),
    (Fault::Restarted, Act::Write, Told::Done, true),
    (Fault::Restarted, Act::Renew, Told::Done, false),
    (Fault::Frozen, Act::Get, Told::Unknown, false),
    (Fault::Frozen, Act::Write, Told::Unknown, false),
    (Fault::Frozen, Act::Grant, Told::Unknown, false),
    (Fault::Thawed, Act::Write, Told::Done, true),
    (Fault::Slow, Act::Get, Told::Unknown, false),
    (Fault::Slow, Act::Write, Told::Unknown, false),
    (Fault::CallLost, Act::Get, Told::Unknown, false),
    (Fault::CallLost, Act::Write, Told::Unknown, false),
    (Fault::CallLost, Act::Renew, Told::Unknown, false),
    (Fault::AnswerLost, Act::Write, Told::Unknown, true),
    (Fault::AnswerLost, Act::WriteOver, Told::Unknown, false),
    (Fault::AnswerLost, Act::Grant, Told::Unknown, false),
    (Fault::AnswerSilent, Act::Write, Told::Unknown, true),
    (Fault::AnswerSilent, Act::Get, Told::Unknown, false),
    (Fault::Silenced, Act::Get, Told::Unknown, false),
    (Fault::Silenced, Act::Write, Told::Unknown, false),
];

#[tokio::test]
async fn store_tells_what_happened() {
    for row in STORE {
        let (fault, act, told, written) = *row;
        let scene = Scene::open_with(fault.patience()).await;
        fault.apply(scene.store.faults());
        assert_eq!(scene.act(act).await, told, "{row:?}");
        assert_eq!(scene.is_written(), written, "{row:?}");
    }
}

/// After the call that met the fault, the next one is served: the adapter
/// kept nothing that the fault spoilt.
#[tokio::test]
async fn store_serves_again_after_a_passing_fault() {
    let passing = [Fault::CallLost, Fault::AnswerLost, Fault::AnswerSilent, Fault::Silenced];
    for fault in passing {
        let scene = Scene::open_with(Duration::from_secs(1)).await;
        fault.apply(scene.store.faults());
        assert_eq!(scene.act(Act::Get).await, Told::Unknown, "{fault:?}");
        assert_eq!(scene.act(Act::Get).await, Told::Done, "{fault:?}");
    }
}

/// A caller whose write got no answer reads the key and finds its value: this
/// is how a lost answer is told from a lost write.
#[tokio::test]
async fn write_with_a_lost_answer_can_be_read_back() {
    let scene = Scene::open().await;
    scene.store.faults().lose_write_answers(1);
    assert_eq!(scene.act(Act::Write).await, Told::Unknown);
    let entry = scene.platform.get("new").await.unwrap().unwrap();
    assert_eq!(entry.value, "v");
    let conflict = scene.platform.write(write("new", Expect::Absent)).await;
    assert_eq!(conflict, Err(Error::Conflict(Some(entry))), "the present entry is given");
}

#[tokio::test]
async fn conflict_on_an_absent_key_gives_none() {
    let scene = Scene::open().await;
    let conflict = scene.platform.write(write("new", Expect::At(Revision(1)))).await;
    assert_eq!(conflict, Err(Error::Conflict(None)));
}

#[tokio::test]
async fn keys_with_any_text_are_read_back() {
    let scene = Scene::open().await;
    for key in ["ledger/7/12", "a b", "a+b&c=d", "ä/ö%20", "x?y#z"] {
        scene.platform.write(write(key, Expect::Absent)).await.unwrap();
        assert_eq!(scene.platform.get(key).await.unwrap().unwrap().key, key);
        assert_eq!(scene.platform.list(key).await.unwrap().0.len(), 1);
    }
}

/// A watcher sees each change once and in order, from where it left off, also
/// those made while it did not wait.
#[tokio::test]
async fn watch_gives_each_change_once() {
    let scene = Scene::open().await;
    let (mut after, mut seen) = (Revision(1), Vec::new());
    let writer = {
        let platform = scene.platform.clone();
        tokio::spawn(async move {
            for n in 0..20 {
                platform.write(write(&format!("w/{n:02}"), Expect::Absent)).await.unwrap();
                platform.write(write(&format!("other/{n}"), Expect::Absent)).await.unwrap();
            }
        })
    };
    while seen.len() < 20 {
        let batch = scene.platform.watch("w/", after, LONG).await.unwrap();
        assert!(!batch.compacted);
        seen.extend(batch.events.into_iter().map(|event| event.key));
        after = batch.revision;
    }
    writer.await.unwrap();
    let expected: Vec<String> = (0..20).map(|n| format!("w/{n:02}")).collect();
    assert_eq!(seen, expected);
}

#[tokio::test]
async fn watch_from_before_the_history_says_so() {
    let scene = Scene::open().await;
    scene.store.service().with(|core, _| core.compact());
    let batch = scene.platform.watch("o", Revision(0), LONG).await.unwrap();
    assert!(batch.compacted);
    let (entries, revision) = scene.platform.list("o").await.unwrap();
    assert_eq!((entries.len(), revision), (1, batch.revision));
}

/// A lapsed lease takes its keys with it, and the watchers see them go.
#[tokio::test]
async fn keys_go_with_their_lease() {
    let scene = Scene::open().await;
    let lease = scene.platform.grant(Duration::from_millis(100)).await.unwrap();
    let bound = Write { lease: Some(lease), ..write("bound", Expect::Absent) };
    let revision = scene.platform.write(bound).await.unwrap();
    let batch = scene.platform.watch("bound", revision, LONG).await.unwrap();
    assert_eq!(batch.events[0].value, None);
    assert_eq!(scene.platform.get("bound").await, Ok(None));
    assert_eq!(scene.platform.renew(lease).await, Err(Error::LeaseLapsed));
}

#[tokio::test]
async fn revoked_lease_takes_its_keys() {
    let scene = Scene::open().await;
    let bound = Write { lease: Some(scene.lease), ..write("bound", Expect::Absent) };
    scene.platform.write(bound).await.unwrap();
    scene.platform.revoke(scene.lease).await.unwrap();
    assert_eq!(scene.platform.get("bound").await, Ok(None));
}

#[tokio::test]
async fn stale_reads_show_the_past_and_writes_the_present() {
    let scene = Scene::open().await;
    scene.store.service().set_stale(true);
    let revision = scene.platform.write(write("new", Expect::Absent)).await.unwrap();
    assert_eq!(scene.platform.get("new").await, Ok(None));
    let conflict = scene.platform.write(write("new", Expect::Absent)).await;
    assert!(
        matches!(conflict, Err(Error::Conflict(Some(Entry { revision: at, .. }))) if at == revision)
    );
    scene.store.service().set_stale(false);
    assert!(scene.platform.get("new").await.unwrap().is_some());
}

/// Fault and what a caller of the host list and of the weight store is told.
const READS: &[(Fault, Told)] = &[
    (Fault::None, Told::Done),
    (Fault::Killed, Told::NotDone),
    (Fault::Restarted, Told::Done),
    (Fault::Frozen, Told::Unknown),
    (Fault::Thawed, Told::Done),
    (Fault::Slow, Told::Unknown),
    (Fault::CallLost, Told::Unknown),
    (Fault::AnswerLost, Told::Unknown),
    (Fault::AnswerSilent, Told::Unknown),
    (Fault::Silenced, Told::Unknown),
];

fn host() -> Host {
    Host {
        target: "engine-0".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".into(),
        kind: Kind::Engine,
        standing: Standing::Live,
    }
}

#[tokio::test]
async fn host_list_tells_what_happened() {
    for row in READS {
        let list = hosts::spawn("127.0.0.1:0".parse().unwrap(), vec![host()]).unwrap();
        let platform = open_platform(list.address(), row.0.patience());
        while platform.hosts().await.is_err() {}
        row.0.apply(list.faults());
        assert_eq!(Told::from(platform.hosts().await), row.1, "{row:?}");
    }
}

#[tokio::test]
async fn host_list_lags_behind() {
    let list = hosts::spawn("127.0.0.1:0".parse().unwrap(), vec![host()]).unwrap();
    let platform = open_platform(list.address(), LONG);
    list.service().set_lag(LONG);
    list.service().stand(&host().target, Standing::Leaving);
    assert_eq!(platform.hosts().await.unwrap()[0].standing, Standing::Live);
    list.service().set_lag(Duration::ZERO);
    assert_eq!(platform.hosts().await.unwrap()[0].standing, Standing::Leaving);
    list.service().remove(&host().target);
    assert_eq!(platform.hosts().await, Ok(Vec::new()));
}

#[tokio::test]
async fn weight_store_tells_what_happened() {
    let limit = Limit { loads: 2, bytes_per_second: size::Bytes(1_000) };
    for row in READS {
        let weights = weights::spawn("127.0.0.1:0".parse().unwrap(), limit).unwrap();
        let platform = open_platform(weights.address(), row.0.patience());
        while platform.limit().await != Ok(limit) {}
        row.0.apply(weights.faults());
        assert_eq!(Told::from(platform.limit().await), row.1, "{row:?}");
    }
}
