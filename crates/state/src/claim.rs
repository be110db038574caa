//! The claim ledger: a request that must not run twice is claimed by compare-and-swap
//! before its first byte is sent to a target.
//!
//! A claim stays in the ledger for as long as any node accepts its key, so that a second
//! one is granted only if the first was stored as not run. The decisions are made in
//! [`crate::group_commit`] and [`crate::page`]; this module has the tasks that make the
//! calls, one for each page in use.

use crate::group_commit::{Call, Completion, GroupCommit, Reply, Ticket};
use crate::page::{Name, SHARD_COUNT, find_page};
pub use crate::page::{Options, Outcome};
use hickory_store::store::{Error, Lease, Store};
use hickory_unit::clock::Clock;
use hickory_unit::id;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};
use uuid::Uuid;

/// A page without operations is dropped after this time, to bound memory.
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Bounds of the interval between two checks of the deadlines while a call is in flight:
/// new claims with earlier deadlines may have arrived.
const MIN_TICK: Duration = Duration::from_millis(5);
const MAX_TICK: Duration = Duration::from_millis(50);

/// Why the ledger can't tell whether a request with this key has run.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum LedgerError {
    /// The ledger could not be read. This node sends nothing, but an earlier attempt with
    /// the same key may have run.
    #[display("the ledger can't be read: {_0}")]
    ReadFailed(String),
    /// The write of the claim got no reply. This node sends nothing.
    #[display("no answer to the claim: {_0}")]
    Unanswered(String),
    /// The page accepts no more claims. This node sends nothing.
    #[display("the page of the ledger is full")]
    PageFull,
}

/// The answer to a claim.
///
/// "Not run" refers to the key, over all its attempts, because a caller that gets it may
/// send the request again under another key. If the ledger can't be read the answer is
/// therefore [`Answer::Unknown`]: this node sends nothing, but an earlier attempt, whose
/// answer the caller lost, may have run.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Only this node may send the request, once, while [`Claim::can_send`] returns
    /// `true`.
    Granted(Claim),
    /// The key was claimed before. The request is refused as `ran: unknown`, or answered
    /// with the outcome if one is stored.
    Repeated {
        /// The stored outcome.
        outcome: Option<Outcome>,
    },
    /// The key was used with different content; this content has not run.
    Reused,
    /// The key is not a UUIDv7, older than the ledger's retention, or in the future:
    /// `ran: unknown`. The page of an old key may be gone with its claim; a key in the
    /// future by this node's clock may be valid by another node's clock.
    KeyRefused,
    /// No attempt with this key has begun, and this one never will: `ran: no`.
    NotDone(String),
    /// The ledger can't tell whether a request with this key has run: `ran: unknown`.
    Unknown(LedgerError),
}

/// A claim that this node holds.
#[derive(Clone, Debug)]
pub struct Claim {
    key: Uuid,
    id: Uuid,
    send_by: Instant,
    is_used: Arc<AtomicBool>,
}

impl Claim {
    pub(crate) fn new(key: Uuid, id: Uuid, send_by: Instant) -> Self {
        Self { key, id, send_by, is_used: Arc::default() }
    }

    /// Returns the idempotency key.
    pub fn key(&self) -> Uuid {
        self.key
    }

    /// Returns the id of the claim.
    pub fn id(&self) -> Uuid {
        self.id
    }

    /// Whether the request may still be sent under this claim.
    ///
    /// It may not if the process was paused between the claim and the send: by then the
    /// caller has been refused, and the request must not run.
    pub fn can_send(&self, now: Instant) -> bool {
        now < self.send_by && !self.is_used.load(Ordering::SeqCst)
    }

    pub(crate) fn mark_used(&self) {
        self.is_used.store(true, Ordering::SeqCst);
    }

    /// Uses the claim's single permission to send; returns `true` at most once over all
    /// clones.
    pub fn try_begin_send(&self, now: Instant) -> bool {
        now < self.send_by && !self.is_used.swap(true, Ordering::SeqCst)
    }
}

/// A page in use, with the callers that wait for its operations.
#[derive(Debug)]
struct Slot {
    group: GroupCommit,
    waiters: BTreeMap<Ticket, oneshot::Sender<Completion>>,
    notify: Arc<Notify>,
}

/// The state that the ledger's tasks share.
#[derive(Debug)]
struct Inner<S, C> {
    store: S,
    clock: C,
    node: id::Node,
    options: Options,
    shards: Vec<Mutex<BTreeMap<u64, Slot>>>,
    /// One lease per minute, shared by the pages of all shards.
    leases: Mutex<BTreeMap<u64, Lease>>,
}

/// The claim ledger.
#[derive(Debug)]
pub struct Ledger<S, C> {
    inner: Arc<Inner<S, C>>,
}

impl<S, C> Clone for Ledger<S, C> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<S: Store, C: Clock> Ledger<S, C> {
    /// Creates a ledger; `node` names this node in the logs.
    pub fn new(store: S, clock: C, node: id::Node, options: Options) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        let leases = Mutex::default();
        Self { inner: Arc::new(Inner { store, clock, node, options, shards, leases }) }
    }

    /// Claims a key for a request with the given fingerprint. Returns at `deadline` or at
    /// the end of the send window at the latest.
    pub async fn claim(&self, key: Uuid, fingerprint: u64, deadline: Instant) -> Answer {
        // The monotonic clock is read before the wall clock: see `GroupCommit::claim`.
        let now = self.inner.clock.now();
        let name = match find_page(key, self.inner.clock.wall_ms(), &self.inner.options) {
            Ok(name) => name,
            Err(unfit) => {
                log::info!(node:% = self.inner.node, key:%, unfit:%; "key refused");
                return Answer::KeyRefused;
            }
        };
        let claim = Uuid::new_v4();
        let completion =
            self.submit(name, |group| group.claim(now, key, fingerprint, claim, deadline)).await;
        match completion {
            Some(Completion::Claimed(answer)) => answer,
            _ => Answer::Unknown(LedgerError::Unanswered("the ledger was closed".into())),
        }
    }

    /// Stores how a claimed request ended. [`Outcome::NotRun`] requires that certainly no
    /// byte was sent to a target. Nothing may be sent under the claim afterwards,
    /// whatever this returns.
    pub async fn settle(&self, claim: &Claim, outcome: Outcome) -> Result<(), LedgerError> {
        claim.mark_used();
        let now = self.inner.clock.now();
        let name = Name::of(claim.key);
        match self.submit(name, |group| group.settle(now, claim, outcome)).await {
            Some(Completion::Settled(result)) => result,
            _ => Err(LedgerError::Unanswered("the ledger was closed".into())),
        }
    }

    async fn submit(
        &self,
        name: Name,
        add: impl FnOnce(&mut GroupCommit) -> Ticket,
    ) -> Option<Completion> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut shard = lock(&self.inner.shards[usize::from(name.shard)]);
            let slot = shard.entry(name.minute).or_insert_with(|| self.open_slot(name));
            let ticket = add(&mut slot.group);
            slot.waiters.insert(ticket, sender);
            slot.notify.notify_one();
        }
        receiver.await.ok()
    }

    fn open_slot(&self, name: Name) -> Slot {
        let seed = Uuid::new_v4().as_u128() as u64;
        let notify = Arc::new(Notify::new());
        tokio::spawn(self.inner.clone().run(name, notify.clone()));
        Slot {
            group: GroupCommit::new(name, self.inner.options, seed),
            waiters: BTreeMap::new(),
            notify,
        }
    }
}

/// The next step of a page's task.
enum Step {
    Call(Call),
    Wait(Duration),
    Stop,
}

impl<S: Store, C: Clock> Inner<S, C> {
    /// Serves one page until it has been idle for a while.
    async fn run(self: Arc<Self>, name: Name, notify: Arc<Notify>) {
        let mut idle_since = self.clock.now();
        loop {
            match self.next_step(name, &mut idle_since) {
                Step::Call(call) => self.serve_call(name, call).await,
                Step::Wait(wait) => {
                    let _ = tokio::time::timeout(wait, notify.notified()).await;
                }
                Step::Stop => return,
            }
        }
    }

    /// Makes a call. Meanwhile it completes operations that pass their deadline, so that
    /// a slow service delays no caller beyond it.
    async fn serve_call(&self, name: Name, call: Call) {
        let call = self.call(name, call);
        tokio::pin!(call);
        loop {
            let wait = self.tick(name);
            tokio::select! {
                reply = &mut call => {
                    let mut shard = lock(&self.shards[usize::from(name.shard)]);
                    if let Some(slot) = shard.get_mut(&name.minute) {
                        slot.group.on_reply(self.clock.now(), reply);
                    }
                    return;
                }
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    /// Completes operations that passed their deadline; returns the time until the next
    /// check.
    fn tick(&self, name: Name) -> Duration {
        let mut shard = lock(&self.shards[usize::from(name.shard)]);
        let now = self.clock.now();
        let Some(slot) = shard.get_mut(&name.minute) else {
            return PAGE_IDLE_TIMEOUT;
        };
        slot.group.tick(now);
        slot.deliver_completions(now);
        let wake = slot
            .group
            .next_wakeup()
            .map_or(PAGE_IDLE_TIMEOUT, |at| at.saturating_duration_since(now));
        wake.clamp(MIN_TICK, MAX_TICK)
    }

    fn next_step(&self, name: Name, idle_since: &mut Instant) -> Step {
        let mut shard = lock(&self.shards[usize::from(name.shard)]);
        let Some(slot) = shard.get_mut(&name.minute) else {
            return Step::Stop;
        };
        let now = self.clock.now();
        let call = slot.group.next_call(now, self.clock.wall_ms());
        slot.deliver_completions(now);
        if let Some(call) = call {
            return Step::Call(call);
        }
        if !slot.group.is_idle() {
            *idle_since = now;
            let wake = slot.group.next_wakeup().unwrap_or(now);
            return Step::Wait(wake.saturating_duration_since(now));
        }
        // A page that was lost early is remembered, so that no claim is granted again on
        // the empty page that would take its place.
        let remaining = if slot.group.is_page_lost() {
            name.ttl(self.clock.wall_ms(), &self.options)
        } else {
            PAGE_IDLE_TIMEOUT.saturating_sub(now.saturating_duration_since(*idle_since))
        };
        if remaining.is_zero() {
            shard.remove(&name.minute);
            return Step::Stop;
        }
        Step::Wait(remaining)
    }

    async fn call(&self, name: Name, call: Call) -> Reply {
        match call {
            Call::Get => Reply::Got(self.store.get(&name.to_string()).await),
            Call::Grant(ttl) => Reply::Granted(self.grant(name.minute, ttl).await),
            Call::Write(write) => {
                let result = self.store.write(write).await;
                if result == Err(Error::LeaseLapsed) {
                    lock(&self.leases).remove(&name.minute);
                }
                Reply::Wrote(result)
            }
        }
    }

    async fn grant(&self, minute: u64, ttl: Duration) -> Result<Lease, Error> {
        if let Some(lease) = lock(&self.leases).get(&minute) {
            return Ok(*lease);
        }
        let lease = self.store.grant(ttl).await?;
        let mut leases = lock(&self.leases);
        let retention_minutes = self.options.key_retention.as_secs() / 60 + 2;
        leases.retain(|other, _| other + retention_minutes >= minute);
        Ok(*leases.entry(minute).or_insert(lease))
    }
}

impl Slot {
    fn deliver_completions(&mut self, now: Instant) {
        for (ticket, completion) in self.group.take_completions() {
            let Some(waiter) = self.waiters.remove(&ticket) else {
                continue;
            };
            // The caller is gone and won't send the request: a resend may claim the key
            // again.
            if let Err(Completion::Claimed(Answer::Granted(claim))) = waiter.send(completion) {
                self.group.settle(now, &claim, Outcome::NotRun);
            }
        }
    }
}
