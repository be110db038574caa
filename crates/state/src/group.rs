//! Group commit on one page of the ledger, without input or output.
//!
//! A [`Group`] collects what this node wants to change on a page, names the
//! next call to the service and takes its answer. One call is open at a time;
//! what comes meanwhile goes into the next write together.

use crate::claim::{Answer, Claim, Doubt};
use crate::op::{Op, Standing, Task};
use crate::page::{Name, Options, Outcome, Page};
use crate::retry::Backoff;
use hickory_store::store::{Entry, Error, Expect, Lease, Revision, Write};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// The waits after a lost race and after a failed call: a race is won within
/// a few round trips, an outage takes longer.
const RACE_WAIT: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(100));
const FAILURE_WAIT: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// A page known for longer is read before it is written: others write it in turn, so
/// a write on what is known from the last one would mostly be lost and made again,
/// and the service bears several times more reads than writes.
const PAGE_AGE: Duration = Duration::from_millis(25);

/// Names something asked of a group.
pub type Ticket = u64;

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the page.
    Get,
    /// Open a lease for the page.
    Grant(Duration),
    /// Write the page.
    Write(Write),
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// To [`Call::Get`].
    Got(Result<Option<Entry>, Error>),
    /// To [`Call::Grant`].
    Granted(Result<Lease, Error>),
    /// To [`Call::Write`].
    Wrote(Result<Revision, Error>),
}

/// The end of something asked of a group.
#[derive(Clone, Debug)]
pub enum End {
    /// Of a claim.
    Claimed(Answer),
    /// Of an outcome to be stored.
    Settled(Result<(), Doubt>),
}

/// What is known of the page in the service.
#[derive(Clone, Debug)]
enum Base {
    Unread,
    Absent,
    Present(Revision, Page),
    /// It was there and is gone: what it held is not known any more.
    Gone,
}

/// The open write.
#[derive(Clone, Debug)]
struct Flight {
    /// The operations in it; set for those that store an outcome.
    written: Vec<(Ticket, bool)>,
    page: Page,
}

/// Group commit on one page.
#[derive(Debug)]
pub struct Group {
    name: Name,
    options: Options,
    base: Base,
    /// When the page was last read or written.
    base_at: Option<Instant>,
    /// The last call read it, for what is to be written next: however long
    /// that took, another read would only put the write off for good.
    just_read: bool,
    reading: u64,
    ops: Vec<Op>,
    flight: Option<Flight>,
    calling: bool,
    lease: Option<Lease>,
    retry_at: Option<Instant>,
    races: Backoff,
    failures: Backoff,
    next: Ticket,
    ended: Vec<(Ticket, End)>,
}

impl Group {
    /// A group that knows nothing of its page.
    pub fn open(name: Name, options: Options, seed: u64) -> Self {
        Self {
            name,
            options,
            base: Base::Unread,
            base_at: None,
            just_read: false,
            reading: 0,
            ops: Vec::new(),
            flight: None,
            calling: false,
            lease: None,
            retry_at: None,
            races: Backoff::open(RACE_WAIT.0, RACE_WAIT.1, seed),
            failures: Backoff::open(FAILURE_WAIT.0, FAILURE_WAIT.1, seed ^ 1),
            next: 1,
            ended: Vec::new(),
        }
    }

    /// Asks for a claim; `claim` is its unique id.
    ///
    /// The time by which the request must be sent counts from `now`, which is
    /// before any write of the claim was sent and no later than the check of
    /// the key's age. Failure: this process stands still between that check
    /// and its write until the page has gone; the write then makes a new,
    /// empty page and succeeds, though the request ran elsewhere. It is
    /// enough because the page outlives the send window of every accepted key.
    pub fn claim(
        &mut self,
        now: Instant,
        key: Uuid,
        fingerprint: u64,
        claim: Uuid,
        deadline: Instant,
    ) -> Ticket {
        let send_by = deadline.min(now + self.options.send_window);
        self.push(key, claim, Task::Claim { fingerprint, send_by }, now, send_by)
    }

    /// Asks to store the outcome of a claim of this node, which can't be sent
    /// under any more: a resend may run once "not run" is stored.
    pub fn settle(&mut self, now: Instant, claim: &Claim, outcome: Outcome) -> Ticket {
        claim.spend();
        // A resend may come at once after "not run" was said, so that is
        // stored at once; for an answer the caller does not wait.
        let due = match outcome {
            Outcome::NotRun => now,
            Outcome::Answered { .. } => now + self.options.settle_delay,
        };
        let deadline = now + self.options.settle_time;
        self.push(claim.key(), claim.id(), Task::Settle(outcome), due, deadline)
    }

    fn push(
        &mut self,
        key: Uuid,
        claim: Uuid,
        task: Task,
        due: Instant,
        deadline: Instant,
    ) -> Ticket {
        let ticket = self.next;
        self.next += 1;
        let reading = self.reading;
        self.ops.push(Op {
            ticket,
            key,
            claim,
            task,
            due,
            deadline,
            reading,
            sent: false,
            detached: false,
        });
        ticket
    }

    /// Whether the page was seen to vanish before its time.
    pub fn gone(&self) -> bool {
        matches!(self.base, Base::Gone)
    }

    /// Whether nothing is asked and no call is open.
    pub fn idle(&self) -> bool {
        self.ops.is_empty() && !self.calling
    }

    /// When [`Group::next`] has something to do at the latest, if nothing
    /// else happens.
    pub fn wake(&self) -> Option<Instant> {
        let due = self.ops.iter().map(|op| op.due).min();
        let work = due.map(|due| self.retry_at.map_or(due, |at| at.max(due)));
        let deadline = self.ops.iter().map(|op| op.deadline).min();
        if self.calling { deadline } else { work.into_iter().chain(deadline).min() }
    }

    /// What has ended since the last call.
    pub fn take_ended(&mut self) -> Vec<(Ticket, End)> {
        std::mem::take(&mut self.ended)
    }

    /// Ends what has passed its deadline, also while a call is open.
    pub fn tick(&mut self, now: Instant) {
        self.expire(now);
    }

    /// The next call to the service, if one is to be made now.
    pub fn next(&mut self, now: Instant, wall_ms: u64) -> Option<Call> {
        self.expire(now);
        if self.calling || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        if !self.ops.iter().any(|op| op.due <= now) {
            return None;
        }
        let call = self.choose_call(now, wall_ms);
        self.just_read = false;
        self.calling = call.is_some();
        call
    }

    fn choose_call(&mut self, now: Instant, wall_ms: u64) -> Option<Call> {
        let fresh = self.just_read || self.base_at.is_some_and(|at| now < at + PAGE_AGE);
        let mut page = match &self.base {
            Base::Unread => return Some(Call::Get),
            Base::Present(..) if !fresh => return Some(Call::Get),
            Base::Gone => {
                self.end_all_lost();
                return None;
            }
            Base::Present(_, page) => page.clone(),
            Base::Absent => match self.lease {
                Some(lease) => Page { lease, claims: Default::default() },
                None => return Some(Call::Grant(self.name.time_left(wall_ms, &self.options))),
            },
        };
        let mut size = write_text(&page).len();
        let mut written = Vec::new();
        let mut later = false;
        let mut ended = Vec::new();
        for op in &mut self.ops {
            match op.judge(now, &page, size, self.reading) {
                Standing::Open => {
                    op.sent = true;
                    size += op.apply(&mut page, size);
                    written.push((op.ticket, matches!(op.task, Task::Settle(_))));
                }
                Standing::Later => later = true,
                Standing::Ended(end) => ended.push((op.ticket, end)),
            }
        }
        for (ticket, end) in ended {
            self.end(ticket, end);
        }
        if written.is_empty() {
            return later.then_some(Call::Get);
        }
        let expect = match &self.base {
            Base::Present(revision, _) => Expect::At(*revision),
            _ => Expect::Absent,
        };
        let write = Write {
            key: self.name.to_string(),
            value: Some(write_text(&page)),
            expect,
            lease: Some(page.lease),
        };
        self.flight = Some(Flight { written, page });
        Some(Call::Write(write))
    }

    /// Takes the answer to the open call.
    pub fn answered(&mut self, now: Instant, reply: Reply) {
        self.calling = false;
        self.retry_at = None;
        self.base_at = Some(now);
        self.just_read = matches!(reply, Reply::Got(Ok(_)));
        match reply {
            Reply::Got(result) => self.on_got(now, result),
            Reply::Granted(Ok(lease)) => self.lease = Some(lease),
            Reply::Granted(Err(_)) => self.retry_after_failure(now),
            Reply::Wrote(result) => self.on_wrote(now, result),
        }
        self.expire(now);
    }

    fn on_got(&mut self, now: Instant, result: Result<Option<Entry>, Error>) {
        match result {
            Ok(Some(entry)) => self.read(now, &entry),
            // A page that was there and is not found may be a stale read;
            // the next write's condition tells.
            Ok(None) => {
                self.reading += 1;
                if matches!(self.base, Base::Unread) {
                    self.base = Base::Absent;
                }
            }
            Err(_) => {
                self.end_with_known_outcomes();
                self.retry_after_failure(now);
            }
        }
    }

    fn on_wrote(&mut self, now: Instant, result: Result<Revision, Error>) {
        let Some(Flight { written, page }) = self.flight.take() else {
            return;
        };
        match result {
            Ok(revision) => {
                self.races.reset();
                self.failures.reset();
                self.reading += 1;
                self.base = Base::Present(revision, page);
                for (ticket, settled) in written {
                    self.end_written(now, ticket, settled);
                }
            }
            Err(Error::Conflict(Some(entry))) => {
                self.read(now, &entry);
                self.retry_at = Some(now + self.races.fail());
            }
            Err(Error::Conflict(None)) => match self.base {
                Base::Present(..) => self.base = Base::Gone,
                _ => self.base = Base::Unread,
            },
            Err(Error::LeaseLapsed) => match self.base {
                Base::Present(..) => self.base = Base::Gone,
                _ => self.lease = None,
            },
            // No answer: the same claims go into a write with the same
            // condition. If the lost one took effect, the new one fails its
            // condition and the page returned holds them; if not, the new one
            // takes effect and the lost one never can. A mere read could not
            // tell this: the lost write may still be on its way.
            Err(Error::Unknown(_) | Error::NotDone(_)) => self.retry_after_failure(now),
        }
    }

    /// Adopts a page from the service, never one older than the known.
    fn read(&mut self, now: Instant, entry: &Entry) {
        let known = match &self.base {
            Base::Present(revision, _) => *revision,
            _ => Revision::default(),
        };
        if entry.revision < known {
            self.retry_after_failure(now);
            return;
        }
        match serde_json::from_str(&entry.value) {
            Ok(page) => {
                self.reading += 1;
                self.base = Base::Present(entry.revision, page);
            }
            Err(_) => self.retry_after_failure(now),
        }
    }

    fn retry_after_failure(&mut self, now: Instant) {
        self.retry_at = Some(now + self.failures.fail());
    }

    fn end_written(&mut self, now: Instant, ticket: Ticket, settled: bool) {
        let Some(op) = self.ops.iter().find(|op| op.ticket == ticket) else {
            return;
        };
        match op.task {
            Task::Settle(_) if settled => self.end(ticket, End::Settled(Ok(()))),
            // Given up while its claim was on the way: not run still has to
            // be stored.
            Task::Settle(_) => {}
            Task::Claim { send_by, .. } => {
                let answer = op.grant(now, send_by);
                self.end(ticket, End::Claimed(answer));
            }
        }
    }

    /// Ends an operation. A claim that may stand in the ledger, and under
    /// which this node will not send, is stored as not run.
    fn end(&mut self, ticket: Ticket, end: End) {
        let Some(index) = self.ops.iter().position(|op| op.ticket == ticket) else {
            return;
        };
        let unused = matches!(&end, End::Claimed(Answer::NotDone(_) | Answer::Unknown(_)));
        let op = &mut self.ops[index];
        let detached = op.detached;
        if unused && op.sent && !matches!(self.base, Base::Gone) {
            op.deadline += self.options.settle_time;
            op.task = Task::Settle(Outcome::NotRun);
            op.reading = self.reading;
            op.detached = true;
        } else {
            self.ops.remove(index);
        }
        if !detached {
            self.ended.push((ticket, end));
        }
    }

    fn expire(&mut self, now: Instant) {
        let late = self.ops.iter().filter(|op| op.deadline <= now);
        let late = late.map(|op| {
            let text = "the service did not answer in time".into();
            let doubt = if op.sent { Doubt::Unanswered(text) } else { Doubt::Unread(text) };
            (op.ticket, op.give_up(doubt))
        });
        for (ticket, end) in late.collect::<Vec<_>>() {
            self.end(ticket, end);
        }
    }

    fn end_all_lost(&mut self) {
        let lost = |op: &Op| (op.ticket, op.give_up(Doubt::Unread("the page is gone".into())));
        for (ticket, end) in self.ops.iter().map(lost).collect::<Vec<_>>() {
            self.end(ticket, end);
        }
    }

    /// Answers repeated keys by what is known, since no later reading comes.
    fn end_with_known_outcomes(&mut self) {
        let Base::Present(_, page) = &self.base else {
            return;
        };
        let known = self.ops.iter().filter_map(|op| {
            let record = page.claims.get(&op.key)?;
            let Task::Claim { fingerprint, .. } = op.task else {
                return None;
            };
            let taken = record.claim != op.claim
                && record.fingerprint == fingerprint
                && record.outcome != Some(Outcome::NotRun);
            let outcome = record.outcome.clone();
            taken.then_some((op.ticket, End::Claimed(Answer::Repeated { outcome })))
        });
        for (ticket, end) in known.collect::<Vec<_>>() {
            self.end(ticket, end);
        }
    }
}

fn write_text(page: &Page) -> String {
    serde_json::to_string(page).unwrap_or_default()
}
