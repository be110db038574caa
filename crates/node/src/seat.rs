//! The owner's side of targets: who may send, what runs, what waits.
//!
//! A [`Seat`] is one owned target. Seats lie in shards, each under its own
//! lock; no lock is held across an await.

use crate::core::Core;
use crate::parse::hash_parts;
use hickory_policy::cost::{Class, Cost};
use hickory_policy::limit::{self, Answer, Capacity, Limiter, Ticket};
use hickory_policy::refuse::Reason;
use hickory_telemetry::label;
use hickory_unit::clock::Clock;
use hickory_unit::{id, size};
use hickory_wire::message::{Adopt, Ask, Ending, Outcome, Permit, Refusal, State, Weights};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Shards of the seats; a node owns few targets, so few shards do.
const SHARDS: usize = 8;

/// The reason an asker gets whose ask stays in the queue: it asks again, so
/// that the life of the permit it will get begins with a fresh question.
pub(crate) const QUEUED: &str = "queued";

/// The reason a node gets that asks to keep a stream which another node has
/// taken over.
pub(crate) const TAKEN: &str = "taken";

/// How long after its deadline a stream may still be found on a target before
/// it is swept: the sender ends it at the deadline, and its message may be
/// under way.
pub(crate) const SWEEP_GRACE: Duration = Duration::from_secs(2);

/// How long an ended stream may still stand in load reports, which lag.
const REPORT_LAG: Duration = Duration::from_secs(3);

/// All seats of a node.
#[derive(Debug, Default)]
pub(crate) struct Seats {
    /// Counts the changes of what is told to peers.
    version: AtomicU64,
    shards: [Mutex<HashMap<id::Target, Seat>>; SHARDS],
}

/// One owned target.
#[derive(Debug)]
pub(crate) struct Seat {
    pub(crate) target: id::Target,
    pub(crate) epoch: id::Epoch,
    pub(crate) capacity: Capacity,
    pub(crate) accepting: bool,
    pub(crate) ready: Vec<Weights>,
    pub(crate) kv_used: size::Tokens,
    pub(crate) kv_capacity: size::Tokens,
    pub(crate) incarnation: Option<id::Incarnation>,
    limiter: Limiter,
    permits: HashMap<Ticket, Granted>,
    waiting: HashMap<id::Stream, Waiting>,
    ended: HashMap<id::Stream, Instant>,
    foreign: HashMap<id::Stream, Foreign>,
    adopted: Ticket,
    cancels: Vec<id::Stream>,
    /// What peers were told last, and its version.
    told: Option<(u64, State)>,
}

/// A stream that the target holds and this owner did not grant: a former
/// owner did.
#[derive(Clone, Copy, Debug)]
struct Foreign {
    /// When it was first seen without anybody who stands for it.
    alone: Option<Instant>,
}

/// Permits for adopted streams are numbered from here, out of the way of the
/// limiter's own: these streams are not its to count, they stand in the load
/// report.
const ADOPTED_FIRST: Ticket = 1 << 63;

/// A permit that is out.
#[derive(Clone, Debug)]
struct Granted {
    stream: id::Stream,
    until: Instant,
    /// When the caller's connection went, where it did.
    left: Option<Instant>,
    /// When it was granted, while its asker has not been told.
    untold: Option<Instant>,
    /// The node that serves it.
    node: id::Node,
}

/// An ask in the queue.
#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    asked: Instant,
    until: Instant,
    waker: Option<oneshot::Sender<Result<Permit, Refusal>>>,
}

fn refuse(reason: impl std::fmt::Display, retry_after: Duration) -> Refusal {
    Refusal { reason: reason.to_string(), retry_after, not_owner: false }
}

fn refuse_not_owner() -> Refusal {
    Refusal {
        reason: Reason::NoOwner.to_string(),
        retry_after: Duration::from_millis(200),
        not_owner: true,
    }
}

impl Seats {
    /// Opens a seat for a target under an epoch; an open one under the same
    /// epoch stays as it is.
    pub(crate) fn open(&self, target: &id::Target, epoch: id::Epoch) {
        let mut shard = self.shard(target);
        if shard.get(target).is_some_and(|seat| seat.epoch == epoch) {
            return;
        }
        shard.insert(target.clone(), Seat::open(target.clone(), epoch));
    }

    /// Closes the seats of targets that are not owned any more; who waits
    /// there is told to look the owner up again.
    pub(crate) fn retain(&self, mut keep: impl FnMut(&id::Target, id::Epoch) -> bool) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.retain(|target, seat| keep(target, seat.epoch));
        }
    }

    /// Runs `f` on a seat.
    pub(crate) fn with<T>(&self, target: &id::Target, f: impl FnOnce(&mut Seat) -> T) -> Option<T> {
        self.shard(target).get_mut(target).map(f)
    }

    /// What the seats tell a peer that has version `since`: what has changed
    /// after it, and the version that the peer then has.
    ///
    /// Telling all of it every time made two thirds of a node's control bytes,
    /// of which next to nothing was news on an idle fleet.
    pub(crate) fn states_since(&self, since: u64) -> (u64, Vec<State>) {
        let mut changed = Vec::new();
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for seat in shard.values_mut() {
                let state = seat.state();
                if seat.told.as_ref().is_none_or(|(_, told)| *told != state) {
                    let version = self.version.fetch_add(1, Ordering::AcqRel) + 1;
                    seat.told = Some((version, state));
                }
                let newer = seat.told.as_ref().filter(|(version, _)| *version > since);
                changed.extend(newer.cloned());
            }
        }
        // A version past what is told here may belong to a change that a
        // concurrent call found in a shard passed over already.
        let version = changed.iter().map(|(version, _)| *version).max().unwrap_or(since);
        (version, changed.into_iter().map(|(_, state)| state).collect())
    }

    fn shard(&self, target: &id::Target) -> MutexGuard<'_, HashMap<id::Target, Seat>> {
        let index = hash_parts(&[target.as_str().as_bytes()]) as usize % SHARDS;
        self.shards[index].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes an ask out of the queue when its asker stops waiting.
struct Withdraw<'a> {
    core: &'a Core,
    target: &'a id::Target,
    stream: Option<&'a id::Stream>,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        if let Some(stream) = self.stream {
            self.core.seats.with(self.target, |seat| seat.withdraw(stream));
        }
    }
}

/// Answers an ask for a permit as owner: at once, or when its turn comes, or
/// with [`QUEUED`] after half a permit's life.
pub(crate) async fn permit(core: &Core, ask: &Ask) -> Result<Permit, Refusal> {
    let answer = decide_permit(core, ask).await;
    core.metrics.permit(match &answer {
        Ok(_) => label::Permit::Granted,
        Err(refusal) if refusal.reason == QUEUED => label::Permit::Queued,
        Err(_) => label::Permit::Refused,
    });
    answer
}

async fn decide_permit(core: &Core, ask: &Ask) -> Result<Permit, Refusal> {
    let life = core.permit_life();
    let now = core.now();
    let begun = core.seats.with(&ask.target, |seat| seat.ask(now, life, ask));
    let wait = match begun.ok_or_else(refuse_not_owner)? {
        Begun::Answered(answer) => return answer,
        Begun::Queued(wait) => wait,
    };
    let mut guard = Withdraw { core, target: &ask.target, stream: Some(&ask.stream) };
    let answer = tokio::time::timeout(life / 2, wait).await;
    guard.stream = None;
    match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => Err(refuse_not_owner()),
        Err(_) => Err(refuse(QUEUED, Duration::ZERO)),
    }
}

/// Takes a stream over for the asking node.
pub(crate) fn adopt(core: &Core, adopt: &Adopt) -> Result<Permit, Refusal> {
    let life = core.permit_life();
    let left = adopt.stream.deadline_ms.saturating_sub(wall_ms(core));
    let until = core.now() + Duration::from_millis(left);
    let taken = core.seats.with(&adopt.target, |seat| match seat.incarnation {
        Some(_) if adopt.keep && seat.is_taken(adopt) => Err(refuse(TAKEN, Duration::ZERO)),
        Some(_) => Ok(seat.adopt(adopt, until, life)),
        // A new owner does not know yet what the target holds.
        None => Err(refuse_not_owner()),
    });
    let taken = taken.ok_or_else(refuse_not_owner)??;
    taken.ok_or_else(|| refuse(Reason::StreamLost, Duration::ZERO))
}

/// Takes in how a permitted attempt ended.
pub(crate) fn end(core: &Core, outcome: &Outcome) {
    let now = core.now();
    core.seats.with(&outcome.target, |seat| seat.end(now, outcome));
}

/// The first answer to an ask.
pub(crate) enum Begun {
    Answered(Result<Permit, Refusal>),
    Queued(oneshot::Receiver<Result<Permit, Refusal>>),
}

impl Seat {
    fn open(target: id::Target, epoch: id::Epoch) -> Self {
        let capacity = Capacity { streams: 0, kv: size::Tokens(0), prefill_rate: 0 };
        Self {
            target,
            epoch,
            capacity,
            accepting: false,
            ready: Vec::new(),
            kv_used: size::Tokens(0),
            kv_capacity: size::Tokens(0),
            incarnation: None,
            limiter: Limiter::open(capacity),
            permits: HashMap::new(),
            waiting: HashMap::new(),
            ended: HashMap::new(),
            foreign: HashMap::new(),
            adopted: ADOPTED_FIRST,
            cancels: Vec::new(),
            told: None,
        }
    }

    /// Sets what the target bears; the first report opens the seat's limiter.
    pub(crate) fn set_capacity(&mut self, capacity: Capacity) {
        if self.capacity != capacity && self.permits.is_empty() && self.waiting.is_empty() {
            self.capacity = capacity;
            self.limiter = Limiter::open(capacity);
        }
    }

    fn ask(&mut self, now: Instant, life: Duration, ask: &Ask) -> Begun {
        if !self.accepting {
            return Begun::Answered(Err(refuse(Reason::NoTarget, life)));
        }
        // The same ask again: its last answer was lost, or it stays queued.
        if let Some((ticket, granted)) =
            self.permits.iter_mut().find(|(_, granted)| granted.stream == ask.stream)
        {
            granted.untold = None;
            return Begun::Answered(Ok(make_permit(*ticket, self.epoch, life, ask)));
        }
        if let Some(waiting) = self.waiting.get_mut(&ask.stream) {
            let (waker, wait) = oneshot::channel();
            waiting.asked = now;
            waiting.waker = Some(waker);
            return Begun::Queued(wait);
        }
        let until = now + ask.time_left;
        let wanted = limit::Ask {
            partner: ask.partner.clone(),
            account: ask.account.clone(),
            class: if ask.batch { Class::Batch } else { Class::Interactive },
            cost: Cost { prefill: ask.cost.prefill, decode: ask.cost.decode },
            deadline: until,
            alone: ask.alone,
            urgent: ask.urgent,
        };
        match self.limiter.ask(now, wanted) {
            Answer::Granted(ticket) => {
                self.permits.insert(ticket, Granted::to(ask.stream.clone(), until, None));
                Begun::Answered(Ok(make_permit(ticket, self.epoch, life, ask)))
            }
            Answer::Queued(ticket) => {
                let (waker, wait) = oneshot::channel();
                let waiting = Waiting { ticket, asked: now, until, waker: Some(waker) };
                self.waiting.insert(ask.stream.clone(), waiting);
                Begun::Queued(wait)
            }
            Answer::Refused(reason, after) => Begun::Answered(Err(refuse(reason, after))),
        }
    }

    fn withdraw(&mut self, stream: &id::Stream) {
        if let Some(waiting) = self.waiting.remove(stream) {
            self.limiter.finish(waiting.ticket);
        }
    }

    /// Grants what fits now.
    pub(crate) fn poll(&mut self, now: Instant, life: Duration) {
        for (ticket, answer) in self.limiter.poll(now) {
            let found = self.waiting.iter().find(|(_, waiting)| waiting.ticket == ticket);
            let Some(stream) = found.map(|(stream, _)| stream.clone()) else { continue };
            let Some(waiting) = self.waiting.remove(&stream) else { continue };
            let answer = match answer {
                Ok(()) => Ok(Permit { id: ticket, epoch: self.epoch, life, priority: 0 }),
                Err(reason) => Err(refuse(reason, Duration::ZERO)),
            };
            let granted = answer.is_ok();
            let told = waiting.waker.is_some_and(|waker| waker.send(answer).is_ok());
            if granted {
                let untold = (!told).then_some(now);
                self.permits.insert(ticket, Granted::to(stream, waiting.until, untold));
            }
        }
    }

    /// Whether another node than the asking one serves the stream.
    fn is_taken(&self, adopt: &Adopt) -> bool {
        let found = self.permits.values().find(|granted| granted.stream == adopt.stream);
        found.is_some_and(|granted| granted.node != adopt.node)
    }

    fn adopt(&mut self, adopt: &Adopt, until: Instant, life: Duration) -> Option<Permit> {
        let found = self.permits.iter_mut().find(|(_, granted)| granted.stream == adopt.stream);
        let id = match found {
            Some((ticket, granted)) => {
                granted.left = None;
                granted.node = adopt.node.clone();
                *ticket
            }
            None => {
                self.foreign.remove(&adopt.stream)?;
                self.adopted += 1;
                let mut granted = Granted::to(adopt.stream.clone(), until, None);
                granted.node = adopt.node.clone();
                self.permits.insert(self.adopted, granted);
                self.adopted
            }
        };
        Some(Permit { id, epoch: self.epoch, life, priority: 0 })
    }

    fn end(&mut self, now: Instant, outcome: &Outcome) {
        if outcome.epoch != self.epoch {
            self.end_foreign(now, outcome);
            return;
        }
        match outcome.ending {
            Ending::Left => {
                if let Some(granted) = self.permits.get_mut(&outcome.permit) {
                    granted.left = Some(now);
                }
            }
            Ending::Lost => {
                // The memory is the target's until it confirms the cancel; the
                // permit goes then.
                if let Some(granted) = self.permits.get(&outcome.permit) {
                    self.cancels.push(granted.stream.clone());
                }
            }
            Ending::Finished | Ending::Cancelled | Ending::NotSent | Ending::TargetDied => {
                self.give_back(now, outcome.permit);
            }
        }
        self.poll(now, Duration::from_secs(1));
    }

    /// A permit of a former owner ended: its stream stands in the report and
    /// is counted and swept from there.
    fn end_foreign(&mut self, now: Instant, outcome: &Outcome) {
        let Some(stream) = &outcome.stream else { return };
        match outcome.ending {
            Ending::Lost => self.cancels.push(stream.clone()),
            Ending::Left => {
                self.foreign.insert(stream.clone(), Foreign { alone: Some(now) });
            }
            Ending::Finished | Ending::Cancelled | Ending::NotSent | Ending::TargetDied => {
                self.foreign.remove(stream);
                self.ended.insert(stream.clone(), now);
            }
        }
    }

    fn give_back(&mut self, now: Instant, ticket: Ticket) {
        self.limiter.finish(ticket);
        if let Some(granted) = self.permits.remove(&ticket) {
            self.ended.insert(granted.stream, now);
        }
    }

    /// Takes out of queue and books what nobody stands for any more, and
    /// names the streams to cancel on the target.
    pub(crate) fn sweep(&mut self, now: Instant, life: Duration, resume: Duration) {
        let silent: Vec<id::Stream> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now.saturating_duration_since(waiting.asked) > life)
            .map(|(stream, _)| stream.clone())
            .collect();
        silent.iter().for_each(|stream| self.withdraw(stream));
        let untold: Vec<Ticket> = self
            .permits
            .iter()
            .filter(|(_, granted)| granted.untold.is_some_and(|at| now - at > life))
            .map(|(ticket, _)| *ticket)
            .collect();
        untold.into_iter().for_each(|ticket| self.give_back(now, ticket));
        let overdue = self.permits.values().filter(|granted| granted.is_overdue(now, resume));
        self.cancels.extend(overdue.map(|granted| granted.stream.clone()));
        self.ended.retain(|_, at| now.saturating_duration_since(*at) < REPORT_LAG);
    }

    /// Takes in which streams the target holds, and finds those that nobody
    /// stands for: their deadline is past, or their node is gone and none has
    /// taken them up for the time of a resume.
    pub(crate) fn sweep_held(
        &mut self,
        now: Instant,
        wall_ms: u64,
        resume: Duration,
        held: &[id::Stream],
        is_live: impl Fn(&id::Node) -> bool,
    ) {
        let granted: HashSet<&id::Stream> = self.permits.values().map(|g| &g.stream).collect();
        let ended = &self.ended;
        let is_foreign =
            |stream: &&id::Stream| !granted.contains(stream) && !ended.contains_key(stream);
        let known = std::mem::take(&mut self.foreign);
        for stream in held.iter().filter(is_foreign) {
            let before = known.get(stream).and_then(|foreign| foreign.alone);
            let alone = before.or_else(|| (!is_live(&stream.sender)).then_some(now));
            self.foreign.insert(stream.clone(), Foreign { alone });
        }
        let grace = SWEEP_GRACE.as_millis() as u64;
        let orphans = self.foreign.iter().filter(|(stream, foreign)| {
            let overdue = stream.deadline_ms + grace < wall_ms;
            let alone = foreign.alone.is_some_and(|at| now.saturating_duration_since(at) > resume);
            overdue || alone
        });
        self.cancels.extend(orphans.map(|(stream, _)| stream.clone()));
    }

    /// Marks what gone nodes served, as if their callers had left: another
    /// node may take it up.
    pub(crate) fn mark_gone(&mut self, now: Instant, is_live: impl Fn(&id::Node) -> bool) {
        for granted in self.permits.values_mut() {
            if granted.left.is_none() && !is_live(&granted.node) {
                granted.left = Some(now);
            }
        }
    }

    /// The streams to cancel now, each once.
    pub(crate) fn take_cancels(&mut self) -> Vec<id::Stream> {
        let mut cancels = std::mem::take(&mut self.cancels);
        cancels.sort();
        cancels.dedup();
        cancels
    }

    /// The target confirmed that a stream is gone.
    pub(crate) fn cancelled(&mut self, now: Instant, stream: &id::Stream) {
        let found = self.permits.iter().find(|(_, granted)| granted.stream == *stream);
        if let Some(ticket) = found.map(|(ticket, _)| *ticket) {
            self.give_back(now, ticket);
        }
        if self.foreign.remove(stream).is_some() {
            self.ended.insert(stream.clone(), now);
        }
    }

    /// The target did not answer a cancel: tried again.
    pub(crate) fn cancel_again(&mut self, stream: id::Stream) {
        self.cancels.push(stream);
    }

    /// The target runs as a new process: what was granted to the old one is
    /// gone with it.
    pub(crate) fn restarted(&mut self, now: Instant) {
        let tickets: Vec<Ticket> = self.permits.keys().copied().collect();
        tickets.into_iter().for_each(|ticket| self.give_back(now, ticket));
        self.cancels.clear();
    }

    fn state(&self) -> State {
        State {
            target: self.target.clone(),
            epoch: self.epoch,
            queued_prefill: self.limiter.prefill_queued(),
            queued_batch: size::Tokens(0),
            kv_free: self.kv_capacity.saturating_sub(self.kv_used.max(self.limiter.kv_granted())),
            kv_capacity: self.kv_capacity,
            prefill_rate: self.capacity.prefill_rate,
            bound: self.capacity.streams,
            running: self.limiter.running() as u32,
            waiting: self.limiter.waiting() as u32,
            ready: self.ready.clone(),
            accepting: self.accepting,
            prefixes: Vec::new(),
        }
    }
}

impl Granted {
    fn to(stream: id::Stream, until: Instant, untold: Option<Instant>) -> Self {
        let node = stream.sender.clone();
        Self { stream, until, left: None, untold, node }
    }

    fn is_overdue(&self, now: Instant, resume: Duration) -> bool {
        let left_long = self.left.is_some_and(|at| now.saturating_duration_since(at) > resume);
        left_long || now > self.until + SWEEP_GRACE
    }
}

fn make_permit(ticket: Ticket, epoch: id::Epoch, life: Duration, ask: &Ask) -> Permit {
    let priority = if ask.batch { 0 } else { 1 };
    Permit { id: ticket, epoch, life, priority }
}

/// Wall-clock time of the node, for deadlines within stream ids.
pub(crate) fn wall_ms(core: &Core) -> u64 {
    core.clock.wall_ms()
}
