//! The contract of the platform's interfaces over HTTP: the result of each call under each fault,
//! and whether a write took effect.
//!
//! `NotDone` for a write that took effect would let a caller send an order twice or report it as
//! not run. `Unknown` for a write without effect only costs time.

use hickory_standin::fault::{Faults, Loss};
use hickory_standin::{hosts, store, weights};
use hickory_store::host::{Host, Kind, List, Standing};
use hickory_store::http::{Address, Platform};
use hickory_store::store::{Entry, Error, Expect, Lease, Revision, Store, Write};
use hickory_store::weight::{Limit, Weights};
use hickory_unit::size;
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout for calls without a response. Other calls have [`LONG_TIMEOUT`], so that a busy
/// machine doesn't change the result.
const SHORT_TIMEOUT: Duration = Duration::from_millis(250);

/// A timeout that never expires during a test.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The process is killed.
    Killed,
    /// The process was killed and is running again.
    Restarted,
    /// The process accepts connections and sends nothing.
    Frozen,
    /// The process was frozen and is running again.
    Thawed,
    /// Responses take longer than the caller's timeout.
    Slow,
    /// The call is lost when its connection breaks.
    CallLost,
    /// The response is lost when its connection breaks.
    ResponseLost,
    /// No response is sent, and the connection stays open.
    NoResponse,
    /// No data arrives any more on the connections that were open.
    ConnectionsSilenced,
}

impl Fault {
    /// Returns the timeout of a call under this fault.
    fn timeout(self) -> Duration {
        match self {
            Self::Frozen | Self::Slow | Self::NoResponse | Self::ConnectionsSilenced => {
                SHORT_TIMEOUT
            }
            _ => LONG_TIMEOUT,
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
            Self::Slow => faults.slow(LONG_TIMEOUT),
            Self::CallLost => faults.lose(Loss::Call, "/", 1),
            Self::ResponseLost => faults.lose(Loss::Answer, "/", 1),
            Self::NoResponse => faults.lose(Loss::Silence, "/", 1),
            Self::ConnectionsSilenced => faults.silence(),
        }
    }
}

/// The outcome of a call for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Done,
    Absent,
    Conflict,
    LeaseLapsed,
    NotDone,
    Unknown,
}

impl<T> From<Result<T, Error>> for Outcome {
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
enum Operation {
    Get,
    GetAbsent,
    List,
    /// Creates the key `new`.
    Write,
    /// Creates a key that exists.
    WriteOver,
    /// Writes at a revision that is not current.
    WriteStale,
    /// Writes a value above the maximum size.
    WriteLarge,
    /// Creates the key `new` under an unknown lease.
    WriteUnknownLease,
    WatchUnchanged,
    WatchOldRevision,
    Grant,
    Renew,
    RenewUnknownLease,
    Revoke,
    RevokeUnknownLease,
}

struct Setup {
    store: store::Handle,
    platform: Platform,
    lease: Lease,
}

const UNKNOWN_LEASE: Lease = Lease(u64::MAX);

impl Setup {
    async fn open() -> Self {
        Self::open_with(LONG_TIMEOUT).await
    }

    /// Opens a service with the key `old` at revision 1, a lease, and a used connection.
    async fn open_with(timeout: Duration) -> Self {
        let store = store::spawn("127.0.0.1:0".parse().unwrap()).unwrap();
        let platform = open_platform(store.address(), timeout);
        let shared = store.service();
        shared.write(write("old", Expect::Absent)).unwrap();
        let lease = shared.grant(LONG_TIMEOUT);
        while platform.get("old").await.is_err() {}
        Self { store, platform, lease }
    }

    async fn run(&self, operation: Operation) -> Outcome {
        let platform = &self.platform;
        match operation {
            Operation::Get => platform.get("old").await.into(),
            Operation::GetAbsent => match platform.get("new").await {
                Ok(None) => Outcome::Absent,
                other => other.into(),
            },
            Operation::List => platform.list("o").await.into(),
            Operation::Write => platform.write(write("new", Expect::Absent)).await.into(),
            Operation::WriteOver => platform.write(write("old", Expect::Absent)).await.into(),
            Operation::WriteStale => {
                platform.write(write("old", Expect::At(Revision(7)))).await.into()
            }
            Operation::WriteLarge => {
                let value = Some("x".repeat(max_value_bytes() + 1));
                platform.write(Write { value, ..write("new", Expect::Any) }).await.into()
            }
            Operation::WriteUnknownLease => {
                let lease = Some(UNKNOWN_LEASE);
                platform.write(Write { lease, ..write("new", Expect::Any) }).await.into()
            }
            Operation::WatchUnchanged => {
                platform.watch("o", Revision(1), Duration::ZERO).await.into()
            }
            Operation::WatchOldRevision => {
                platform.watch("o", Revision(0), LONG_TIMEOUT).await.into()
            }
            Operation::Grant => platform.grant(LONG_TIMEOUT).await.into(),
            Operation::Renew => platform.renew(self.lease).await.into(),
            Operation::RenewUnknownLease => platform.renew(UNKNOWN_LEASE).await.into(),
            Operation::Revoke => platform.revoke(self.lease).await.into(),
            Operation::RevokeUnknownLease => platform.revoke(UNKNOWN_LEASE).await.into(),
        }
    }

    /// Returns whether the key `new` was written.
    fn is_written(&self) -> bool {
        self.store.service().with_core(|core, now| core.get(now, "new")).is_some()
    }
}

fn max_value_bytes() -> usize {
    hickory_store::store::MAX_VALUE_SIZE.0 as usize
}

fn open_platform(at: SocketAddr, timeout: Duration) -> Platform {
    Platform::open(Address { store: at, hosts: at, weights: at }, timeout)
}

fn write(key: &str, expect: Expect) -> Write {
    Write { key: key.into(), value: Some("v".into()), expect, lease: None }
}

/// Fault, operation, outcome for the caller, and whether the key `new` exists afterwards.
const STORE_CASES: &[(Fault, Operation, Outcome, bool)] = &[
    (Fault::None, Operation::Get, Outcome::Done, false),
    (Fault::None, Operation::GetAbsent, Outcome::Absent, false),
    (Fault::None, Operation::List, Outcome::Done, false),
    (Fault::None, Operation::Write, Outcome::Done, true),
    (Fault::None, Operation::WriteOver, Outcome::Conflict, false),
    (Fault::None, Operation::WriteStale, Outcome::Conflict, false),
    (Fault::None, Operation::WriteLarge, Outcome::NotDone, false),
    (Fault::None, Operation::WriteUnknownLease, Outcome::LeaseLapsed, false),
    (Fault::None, Operation::WatchUnchanged, Outcome::Done, false),
    (Fault::None, Operation::WatchOldRevision, Outcome::Done, false),
    (Fault::None, Operation::Grant, Outcome::Done, false),
    (Fault::None, Operation::Renew, Outcome::Done, false),
    (Fault::None, Operation::RenewUnknownLease, Outcome::LeaseLapsed, false),
    (Fault::None, Operation::Revoke, Outcome::Done, false),
    (Fault::None, Operation::RevokeUnknownLease, Outcome::LeaseLapsed, false),
    (Fault::Killed, Operation::Get, Outcome::NotDone, false),
    (Fault::Killed, Operation::List, Outcome::NotDone, false),
    (Fault::Killed, Operation::Write, Outcome::NotDone, false),
    (Fault::Killed, Operation::WatchOldRevision, Outcome::NotDone, false),
    (Fault::Killed, Operation::Renew, Outcome::NotDone, false),
    (Fault::Restarted, Operation::Get, Outcome::Done, false),
    (Fault::Restarted, Operation::Write, Outcome::Done, true),
    (Fault::Restarted, Operation::Renew, Outcome::Done, false),
    (Fault::Frozen, Operation::Get, Outcome::Unknown, false),
    (Fault::Frozen, Operation::Write, Outcome::Unknown, false),
    (Fault::Frozen, Operation::Grant, Outcome::Unknown, false),
    (Fault::Thawed, Operation::Write, Outcome::Done, true),
    (Fault::Slow, Operation::Get, Outcome::Unknown, false),
    (Fault::Slow, Operation::Write, Outcome::Unknown, false),
    (Fault::CallLost, Operation::Get, Outcome::Unknown, false),
    (Fault::CallLost, Operation::Write, Outcome::Unknown, false),
    (Fault::CallLost, Operation::Renew, Outcome::Unknown, false),
    (Fault::ResponseLost, Operation::Write, Outcome::Unknown, true),
    (Fault::ResponseLost, Operation::WriteOver, Outcome::Unknown, false),
    (Fault::ResponseLost, Operation::Grant, Outcome::Unknown, false),
    (Fault::NoResponse, Operation::Write, Outcome::Unknown, true),
    (Fault::NoResponse, Operation::Get, Outcome::Unknown, false),
    (Fault::ConnectionsSilenced, Operation::Get, Outcome::Unknown, false),
    (Fault::ConnectionsSilenced, Operation::Write, Outcome::Unknown, false),
];

#[tokio::test]
async fn store_errors_match_the_effect_of_each_call() {
    for case in STORE_CASES {
        let (fault, operation, outcome, written) = *case;
        let setup = Setup::open_with(fault.timeout()).await;
        fault.apply(setup.store.faults());
        assert_eq!(setup.run(operation).await, outcome, "{case:?}");
        assert_eq!(setup.is_written(), written, "{case:?}");
    }
}

/// After a call that failed, the next one succeeds: the adapter keeps no broken connection.
#[tokio::test]
async fn store_calls_succeed_after_a_transient_fault() {
    let passing =
        [Fault::CallLost, Fault::ResponseLost, Fault::NoResponse, Fault::ConnectionsSilenced];
    for fault in passing {
        let setup = Setup::open_with(Duration::from_secs(1)).await;
        fault.apply(setup.store.faults());
        assert_eq!(setup.run(Operation::Get).await, Outcome::Unknown, "{fault:?}");
        assert_eq!(setup.run(Operation::Get).await, Outcome::Done, "{fault:?}");
    }
}

/// A caller whose write got no response can read the key to distinguish a lost response from a lost
/// write.
#[tokio::test]
async fn a_write_with_a_lost_response_can_be_read_back() {
    let setup = Setup::open().await;
    setup.store.faults().lose_write_answers(1);
    assert_eq!(setup.run(Operation::Write).await, Outcome::Unknown);
    let entry = setup.platform.get("new").await.unwrap().unwrap();
    assert_eq!(entry.value, "v");
    let conflict = setup.platform.write(write("new", Expect::Absent)).await;
    assert_eq!(conflict, Err(Error::Conflict(Some(entry))), "the current entry is returned");
}

#[tokio::test]
async fn a_conflict_on_an_absent_key_has_no_entry() {
    let setup = Setup::open().await;
    let conflict = setup.platform.write(write("new", Expect::At(Revision(1)))).await;
    assert_eq!(conflict, Err(Error::Conflict(None)));
}

#[tokio::test]
async fn keys_with_special_characters_are_escaped() {
    let setup = Setup::open().await;
    for key in ["ledger/7/12", "a b", "a+b&c=d", "ä/ö%20", "x?y#z"] {
        setup.platform.write(write(key, Expect::Absent)).await.unwrap();
        assert_eq!(setup.platform.get(key).await.unwrap().unwrap().key, key);
        assert_eq!(setup.platform.list(key).await.unwrap().0.len(), 1);
    }
}

/// Consecutive watches return each change once and in order, including changes between two watches.
#[tokio::test]
async fn a_watch_returns_each_change_once() {
    let setup = Setup::open().await;
    let (mut after, mut watched_keys) = (Revision(1), Vec::new());
    let writer = {
        let platform = setup.platform.clone();
        tokio::spawn(async move {
            for n in 0..20 {
                platform.write(write(&format!("w/{n:02}"), Expect::Absent)).await.unwrap();
                platform.write(write(&format!("other/{n}"), Expect::Absent)).await.unwrap();
            }
        })
    };
    while watched_keys.len() < 20 {
        let batch = setup.platform.watch("w/", after, LONG_TIMEOUT).await.unwrap();
        assert!(!batch.compacted);
        watched_keys.extend(batch.events.into_iter().map(|event| event.key));
        after = batch.revision;
    }
    writer.await.unwrap();
    let expected: Vec<String> = (0..20).map(|n| format!("w/{n:02}")).collect();
    assert_eq!(watched_keys, expected);
}

#[tokio::test]
async fn a_watch_from_before_the_history_reports_compaction() {
    let setup = Setup::open().await;
    setup.store.service().with_core(|core, _| core.compact());
    let batch = setup.platform.watch("o", Revision(0), LONG_TIMEOUT).await.unwrap();
    assert!(batch.compacted);
    let (entries, revision) = setup.platform.list("o").await.unwrap();
    assert_eq!((entries.len(), revision), (1, batch.revision));
}

/// A lapsed lease removes its keys, and watches return the removals.
#[tokio::test]
async fn keys_are_removed_when_their_lease_expires() {
    let setup = Setup::open().await;
    let lease = setup.platform.grant(Duration::from_millis(100)).await.unwrap();
    let leased_write = Write { lease: Some(lease), ..write("bound", Expect::Absent) };
    let revision = setup.platform.write(leased_write).await.unwrap();
    let batch = setup.platform.watch("bound", revision, LONG_TIMEOUT).await.unwrap();
    assert_eq!(batch.events[0].value, None);
    assert_eq!(setup.platform.get("bound").await, Ok(None));
    assert_eq!(setup.platform.renew(lease).await, Err(Error::LeaseLapsed));
}

#[tokio::test]
async fn keys_are_removed_when_their_lease_is_revoked() {
    let setup = Setup::open().await;
    let leased_write = Write { lease: Some(setup.lease), ..write("bound", Expect::Absent) };
    setup.platform.write(leased_write).await.unwrap();
    setup.platform.revoke(setup.lease).await.unwrap();
    assert_eq!(setup.platform.get("bound").await, Ok(None));
}

#[tokio::test]
async fn stale_reads_return_old_values_but_writes_check_current_ones() {
    let setup = Setup::open().await;
    setup.store.service().set_stale(true);
    let revision = setup.platform.write(write("new", Expect::Absent)).await.unwrap();
    assert_eq!(setup.platform.get("new").await, Ok(None));
    let conflict = setup.platform.write(write("new", Expect::Absent)).await;
    assert!(
        matches!(conflict, Err(Error::Conflict(Some(Entry { revision: at, .. }))) if at == revision)
    );
    setup.store.service().set_stale(false);
    assert!(setup.platform.get("new").await.unwrap().is_some());
}

/// Fault and outcome for a caller of the host list and of the weight store.
const READ_CASES: &[(Fault, Outcome)] = &[
    (Fault::None, Outcome::Done),
    (Fault::Killed, Outcome::NotDone),
    (Fault::Restarted, Outcome::Done),
    (Fault::Frozen, Outcome::Unknown),
    (Fault::Thawed, Outcome::Done),
    (Fault::Slow, Outcome::Unknown),
    (Fault::CallLost, Outcome::Unknown),
    (Fault::ResponseLost, Outcome::Unknown),
    (Fault::NoResponse, Outcome::Unknown),
    (Fault::ConnectionsSilenced, Outcome::Unknown),
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
async fn host_list_errors_match_the_fault() {
    for case in READ_CASES {
        let host_list = hosts::spawn("127.0.0.1:0".parse().unwrap(), vec![host()]).unwrap();
        let platform = open_platform(host_list.address(), case.0.timeout());
        while platform.hosts().await.is_err() {}
        case.0.apply(host_list.faults());
        assert_eq!(Outcome::from(platform.hosts().await), case.1, "{case:?}");
    }
}

#[tokio::test]
async fn host_list_lags_behind() {
    let host_list = hosts::spawn("127.0.0.1:0".parse().unwrap(), vec![host()]).unwrap();
    let platform = open_platform(host_list.address(), LONG_TIMEOUT);
    host_list.service().set_lag(LONG_TIMEOUT);
    host_list.service().set_standing(&host().target, Standing::Leaving);
    assert_eq!(platform.hosts().await.unwrap()[0].standing, Standing::Live);
    host_list.service().set_lag(Duration::ZERO);
    assert_eq!(platform.hosts().await.unwrap()[0].standing, Standing::Leaving);
    host_list.service().remove(&host().target);
    assert_eq!(platform.hosts().await, Ok(Vec::new()));
}

#[tokio::test]
async fn weight_store_errors_match_the_fault() {
    let limit = Limit { loads: 2, bytes_per_second: size::Bytes(1_000) };
    for case in READ_CASES {
        let weights = weights::spawn("127.0.0.1:0".parse().unwrap(), limit).unwrap();
        let platform = open_platform(weights.address(), case.0.timeout());
        while platform.limit().await != Ok(limit) {}
        case.0.apply(weights.faults());
        assert_eq!(Outcome::from(platform.limit().await), case.1, "{case:?}");
    }
}
