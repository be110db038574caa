//! Group commit on one page of the ledger, without input or output.
//!
//! A [`GroupCommit`] collects what this node wants to change on a page, names the
//! next call to the service and takes its answer. One call is open at a time;
//! what comes meanwhile goes into the next write together.

use crate::claim::{Answer, Claim, LedgerError};
use crate::operation::{Decision, Operation, Task};
use crate::page::{Name, Options, Outcome, Page};
use crate::retry::Backoff;
use hickory_store::store::{Entry, Error, Expect, Lease, Revision, Write};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// The waits after a lost race and after a failed call: a race is won within
/// a few round trips, an outage takes longer.
const RACE_DELAYS: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(100));
const FAILURE_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// A page known for longer is read before it is written: others write it in turn, so
/// a write on what is known from the last one would mostly be lost and made again,
/// and the service bears several times more reads than writes.
const MAX_PAGE_AGE: Duration = Duration::from_millis(25);

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
pub enum Completion {
    /// Of a claim.
    Claimed(Answer),
    /// Of an outcome to be stored.
    Settled(Result<(), LedgerError>),
}

/// What is known of the page in the service.
#[derive(Clone, Debug)]
enum KnownPage {
    Unread,
    Absent,
    Present(Revision, Page),
    /// It was there and is gone: what it held is not known any more.
    Lost,
}

/// The open write.
#[derive(Clone, Debug)]
struct PendingWrite {
    /// The operations in it; set for those that store an outcome.
    written: Vec<(Ticket, bool)>,
    page: Page,
}

/// Group commit on one page.
#[derive(Debug)]
pub struct GroupCommit {
    name: Name,
    options: Options,
    known_page: KnownPage,
    /// When the page was last read or written.
    known_at: Option<Instant>,
    /// The last call read it, for what is to be written next: however long
    /// that took, another read would only put the write off for good.
    is_just_read: bool,
    read_count: u64,
    operations: Vec<Operation>,
    pending_write: Option<PendingWrite>,
    is_call_in_flight: bool,
    lease: Option<Lease>,
    retry_at: Option<Instant>,
    conflict_backoff: Backoff,
    failure_backoff: Backoff,
    next_ticket: Ticket,
    completions: Vec<(Ticket, Completion)>,
}

impl GroupCommit {
    /// A group that knows nothing of its page.
    pub fn new(name: Name, options: Options, seed: u64) -> Self {
        Self {
            name,
            options,
            known_page: KnownPage::Unread,
            known_at: None,
            is_just_read: false,
            read_count: 0,
            operations: Vec::new(),
            pending_write: None,
            is_call_in_flight: false,
            lease: None,
            retry_at: None,
            conflict_backoff: Backoff::new(RACE_DELAYS.0, RACE_DELAYS.1, seed),
            failure_backoff: Backoff::new(FAILURE_DELAYS.0, FAILURE_DELAYS.1, seed ^ 1),
            next_ticket: 1,
            completions: Vec::new(),
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
        self.add(key, claim, Task::Claim { fingerprint, send_by }, now, send_by)
    }

    /// Asks to store the outcome of a claim of this node, which can't be sent
    /// under any more: a resend may run once "not run" is stored.
    pub fn settle(&mut self, now: Instant, claim: &Claim, outcome: Outcome) -> Ticket {
        claim.mark_used();
        // A resend may come at once after "not run" was said, so that is
        // stored at once; for an answer the caller does not wait.
        let not_before = match outcome {
            Outcome::NotRun => now,
            Outcome::Answered { .. } => now + self.options.settle_delay,
        };
        let deadline = now + self.options.settle_timeout;
        self.add(claim.key(), claim.id(), Task::Settle(outcome), not_before, deadline)
    }

    fn add(
        &mut self,
        key: Uuid,
        claim: Uuid,
        task: Task,
        not_before: Instant,
        deadline: Instant,
    ) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let read_count = self.read_count;
        self.operations.push(Operation {
            ticket,
            key,
            claim,
            task,
            not_before,
            deadline,
            read_count,
            is_sent: false,
            is_detached: false,
        });
        ticket
    }

    /// Whether the page was seen to vanish before its time.
    pub fn is_page_lost(&self) -> bool {
        matches!(self.known_page, KnownPage::Lost)
    }

    /// Whether nothing is asked and no call is open.
    pub fn is_idle(&self) -> bool {
        self.operations.is_empty() && !self.is_call_in_flight
    }

    /// When [`GroupCommit::next_call`] has something to do at the latest, if nothing
    /// else happens.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let due = self.operations.iter().map(|op| op.not_before).min();
        let work = due.map(|due| self.retry_at.map_or(due, |at| at.max(due)));
        let deadline = self.operations.iter().map(|op| op.deadline).min();
        if self.is_call_in_flight { deadline } else { work.into_iter().chain(deadline).min() }
    }

    /// What has ended since the last call.
    pub fn take_completions(&mut self) -> Vec<(Ticket, Completion)> {
        std::mem::take(&mut self.completions)
    }

    /// Ends what has passed its deadline, also while a call is open.
    pub fn tick(&mut self, now: Instant) {
        self.expire(now);
    }

    /// The next call to the service, if one is to be made now.
    pub fn next_call(&mut self, now: Instant, wall_ms: u64) -> Option<Call> {
        self.expire(now);
        if self.is_call_in_flight || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        if !self.operations.iter().any(|op| op.not_before <= now) {
            return None;
        }
        let call = self.choose_call(now, wall_ms);
        self.is_just_read = false;
        self.is_call_in_flight = call.is_some();
        call
    }

    fn choose_call(&mut self, now: Instant, wall_ms: u64) -> Option<Call> {
        let is_fresh = self.is_just_read || self.known_at.is_some_and(|at| now < at + MAX_PAGE_AGE);
        let mut page = match &self.known_page {
            KnownPage::Unread => return Some(Call::Get),
            KnownPage::Present(..) if !is_fresh => return Some(Call::Get),
            KnownPage::Lost => {
                self.fail_all_page_lost();
                return None;
            }
            KnownPage::Present(_, page) => page.clone(),
            KnownPage::Absent => match self.lease {
                Some(lease) => Page { lease, claims: Default::default() },
                None => return Some(Call::Grant(self.name.ttl(wall_ms, &self.options))),
            },
        };
        let mut page_size = serialize_page(&page).len();
        let mut written = Vec::new();
        let mut has_deferred = false;
        let mut completions = Vec::new();
        for op in &mut self.operations {
            match op.evaluate(now, &page, page_size, self.read_count) {
                Decision::Write => {
                    op.is_sent = true;
                    page_size += op.apply(&mut page, page_size);
                    written.push((op.ticket, matches!(op.task, Task::Settle(_))));
                }
                Decision::Defer => has_deferred = true,
                Decision::Complete(completion) => completions.push((op.ticket, completion)),
            }
        }
        for (ticket, completion) in completions {
            self.complete(ticket, completion);
        }
        if written.is_empty() {
            return has_deferred.then_some(Call::Get);
        }
        let expect = match &self.known_page {
            KnownPage::Present(revision, _) => Expect::At(*revision),
            _ => Expect::Absent,
        };
        let write = Write {
            key: self.name.to_string(),
            value: Some(serialize_page(&page)),
            expect,
            lease: Some(page.lease),
        };
        self.pending_write = Some(PendingWrite { written, page });
        Some(Call::Write(write))
    }

    /// Takes the answer to the open call.
    pub fn on_reply(&mut self, now: Instant, reply: Reply) {
        self.is_call_in_flight = false;
        self.retry_at = None;
        self.known_at = Some(now);
        self.is_just_read = matches!(reply, Reply::Got(Ok(_)));
        match reply {
            Reply::Got(result) => self.on_read_result(now, result),
            Reply::Granted(Ok(lease)) => self.lease = Some(lease),
            Reply::Granted(Err(_)) => self.retry_after_failure(now),
            Reply::Wrote(result) => self.on_write_result(now, result),
        }
        self.expire(now);
    }

    fn on_read_result(&mut self, now: Instant, result: Result<Option<Entry>, Error>) {
        match result {
            Ok(Some(entry)) => self.adopt_page(now, &entry),
            // A page that was there and is not found may be a stale read;
            // the next write's condition tells.
            Ok(None) => {
                self.read_count += 1;
                if matches!(self.known_page, KnownPage::Unread) {
                    self.known_page = KnownPage::Absent;
                }
            }
            Err(_) => {
                self.complete_from_known_page();
                self.retry_after_failure(now);
            }
        }
    }

    fn on_write_result(&mut self, now: Instant, result: Result<Revision, Error>) {
        let Some(PendingWrite { written, page }) = self.pending_write.take() else {
            return;
        };
        match result {
            Ok(revision) => {
                self.conflict_backoff.reset();
                self.failure_backoff.reset();
                self.read_count += 1;
                self.known_page = KnownPage::Present(revision, page);
                for (ticket, is_settle) in written {
                    self.complete_written(now, ticket, is_settle);
                }
            }
            Err(Error::Conflict(Some(entry))) => {
                self.adopt_page(now, &entry);
                self.retry_at = Some(now + self.conflict_backoff.next_delay());
            }
            Err(Error::Conflict(None)) => match self.known_page {
                KnownPage::Present(..) => self.known_page = KnownPage::Lost,
                _ => self.known_page = KnownPage::Unread,
            },
            Err(Error::LeaseLapsed) => match self.known_page {
                KnownPage::Present(..) => self.known_page = KnownPage::Lost,
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
    fn adopt_page(&mut self, now: Instant, entry: &Entry) {
        let known = match &self.known_page {
            KnownPage::Present(revision, _) => *revision,
            _ => Revision::default(),
        };
        if entry.revision < known {
            self.retry_after_failure(now);
            return;
        }
        match serde_json::from_str(&entry.value) {
            Ok(page) => {
                self.read_count += 1;
                self.known_page = KnownPage::Present(entry.revision, page);
            }
            Err(_) => self.retry_after_failure(now),
        }
    }

    fn retry_after_failure(&mut self, now: Instant) {
        self.retry_at = Some(now + self.failure_backoff.next_delay());
    }

    fn complete_written(&mut self, now: Instant, ticket: Ticket, is_settle: bool) {
        let Some(op) = self.operations.iter().find(|op| op.ticket == ticket) else {
            return;
        };
        match op.task {
            Task::Settle(_) if is_settle => self.complete(ticket, Completion::Settled(Ok(()))),
            // Given up while its claim was on the way: not run still has to
            // be stored.
            Task::Settle(_) => {}
            Task::Claim { send_by, .. } => {
                let answer = op.grant(now, send_by);
                self.complete(ticket, Completion::Claimed(answer));
            }
        }
    }

    /// Ends an operation. A claim that may stand in the ledger, and under
    /// which this node will not send, is stored as not run.
    fn complete(&mut self, ticket: Ticket, completion: Completion) {
        let Some(index) = self.operations.iter().position(|op| op.ticket == ticket) else {
            return;
        };
        let is_unused =
            matches!(&completion, Completion::Claimed(Answer::NotDone(_) | Answer::Unknown(_)));
        let op = &mut self.operations[index];
        let is_detached = op.is_detached;
        if is_unused && op.is_sent && !matches!(self.known_page, KnownPage::Lost) {
            op.deadline += self.options.settle_timeout;
            op.task = Task::Settle(Outcome::NotRun);
            op.read_count = self.read_count;
            op.is_detached = true;
        } else {
            self.operations.remove(index);
        }
        if !is_detached {
            self.completions.push((ticket, completion));
        }
    }

    fn expire(&mut self, now: Instant) {
        let expired = self.operations.iter().filter(|op| op.deadline <= now);
        let expired = expired.map(|op| {
            let text = "the service did not answer in time".into();
            let error = if op.is_sent {
                LedgerError::Unanswered(text)
            } else {
                LedgerError::ReadFailed(text)
            };
            (op.ticket, op.give_up(error))
        });
        for (ticket, completion) in expired.collect::<Vec<_>>() {
            self.complete(ticket, completion);
        }
    }

    fn fail_all_page_lost(&mut self) {
        let lost = |op: &Operation| {
            (op.ticket, op.give_up(LedgerError::ReadFailed("the page is gone".into())))
        };
        for (ticket, completion) in self.operations.iter().map(lost).collect::<Vec<_>>() {
            self.complete(ticket, completion);
        }
    }

    /// Answers repeated keys by what is known, since no later reading comes.
    fn complete_from_known_page(&mut self) {
        let KnownPage::Present(_, page) = &self.known_page else {
            return;
        };
        let known = self.operations.iter().filter_map(|op| {
            let record = page.claims.get(&op.key)?;
            let Task::Claim { fingerprint, .. } = op.task else {
                return None;
            };
            let is_repeat = record.claim != op.claim
                && record.fingerprint == fingerprint
                && record.outcome != Some(Outcome::NotRun);
            let outcome = record.outcome.clone();
            is_repeat.then_some((op.ticket, Completion::Claimed(Answer::Repeated { outcome })))
        });
        for (ticket, completion) in known.collect::<Vec<_>>() {
            self.complete(ticket, completion);
        }
    }
}

fn serialize_page(page: &Page) -> String {
    serde_json::to_string(page).unwrap_or_default()
}
