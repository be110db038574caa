//! Group commit on one page of the ledger, without input or output.
//!
//! A [`GroupCommit`] collects the operations of this node on a page, decides the next
//! call to the service and processes its reply. One call is in flight at a time;
//! operations that arrive meanwhile share the next write.

use crate::claim::{Answer, Claim, LedgerError};
use crate::operation::{Decision, Operation, Task};
use crate::page::{Name, Options, Outcome, Page};
use crate::retry::Backoff;
use hickory_store::store::{Entry, Error, Expect, Lease, Revision, Write};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Minimum and maximum retry delays after a conflict and after a failed call: a conflict
/// is resolved within a few round trips, an outage takes longer.
const RACE_DELAYS: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(100));
const FAILURE_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// A page that was read earlier is read again before it is written. Other nodes write it
/// too, so most writes based on an older read would conflict, and the service handles
/// several times more reads than writes.
const MAX_PAGE_AGE: Duration = Duration::from_millis(25);

/// Identifies an operation of a group commit.
pub type Ticket = u64;

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the page.
    Get,
    /// Open a lease for the page with this time to live.
    Grant(Duration),
    /// Write the page.
    Write(Write),
}

/// The reply to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The reply to [`Call::Get`].
    Got(Result<Option<Entry>, Error>),
    /// The reply to [`Call::Grant`].
    Granted(Result<Lease, Error>),
    /// The reply to [`Call::Write`].
    Wrote(Result<Revision, Error>),
}

/// The result of an operation.
#[derive(Clone, Debug)]
pub enum Completion {
    /// The result of a claim.
    Claimed(Answer),
    /// The result of storing an outcome.
    Settled(Result<(), LedgerError>),
}

/// What this node knows of the page in the service.
#[derive(Clone, Debug)]
enum KnownPage {
    Unread,
    Absent,
    Present(Revision, Page),
    /// The page existed and was lost; what it contained is no longer known.
    Lost,
}

/// The write in flight.
#[derive(Clone, Debug)]
struct PendingWrite {
    /// The operations in it; `true` for those that store an outcome.
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
    /// Whether the last call read the page for the next write. Even if that call was
    /// slow, another read would only delay the write again.
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
    /// Creates a group commit that has not read its page.
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

    /// Starts a claim; `claim` is its unique id.
    ///
    /// The send window counts from `now`, which precedes every write of the claim and isn't later
    /// than the check of the key's age. If the process is paused after that check until the page
    /// has expired, its write creates a new page and claims the key again, although the request ran
    /// elsewhere. By then the send window is over, because a page outlives that of all its keys.
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

    /// Starts to store the outcome of a claim of this node. Nothing can be sent under the claim
    /// afterwards, and a resend may run once "not run" is stored.
    pub fn settle(&mut self, now: Instant, claim: &Claim, outcome: Outcome) -> Ticket {
        claim.mark_used();
        // A caller that gets "not run" may resend at once, so this outcome is stored
        // without delay. The caller of an answered request doesn't wait for it.
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

    /// Whether the page was lost before its lease expired.
    pub fn is_page_lost(&self) -> bool {
        matches!(self.known_page, KnownPage::Lost)
    }

    /// Whether there are no operations and no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.operations.is_empty() && !self.is_call_in_flight
    }

    /// Returns when [`GroupCommit::next_call`] is due if nothing else happens.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let due = self.operations.iter().map(|op| op.not_before).min();
        let work = due.map(|due| self.retry_at.map_or(due, |at| at.max(due)));
        let deadline = self.operations.iter().map(|op| op.deadline).min();
        if self.is_call_in_flight { deadline } else { work.into_iter().chain(deadline).min() }
    }

    /// Returns the results since the last call.
    pub fn take_completions(&mut self) -> Vec<(Ticket, Completion)> {
        std::mem::take(&mut self.completions)
    }

    /// Completes the operations that have passed their deadline, also while a call is in
    /// flight.
    pub fn tick(&mut self, now: Instant) {
        self.expire(now);
    }

    /// Returns the next call to the service if one is due.
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

    /// Processes the reply to the call in flight.
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
            // A missing page may be a stale read; the condition of the next write settles it.
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
            // The same claims are written again under the same condition. If the write
            // without a reply took effect, the new one conflicts and gets a page with
            // these claims; otherwise the new one takes effect and the first no longer
            // can. A read can't tell, because the first write may still be in flight.
            Err(Error::Unknown(_) | Error::NotDone(_)) => self.retry_after_failure(now),
        }
    }

    /// Adopts a page from the service unless it is older than the known one.
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
            // The claim was given up while its write was in flight: "not run" must still
            // be stored.
            Task::Settle(_) => {}
            Task::Claim { send_by, .. } => {
                let answer = op.grant(now, send_by);
                self.complete(ticket, Completion::Claimed(answer));
            }
        }
    }

    /// Completes an operation. A claim that may be in the ledger, but under which this
    /// node won't send, is then stored as not run.
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

    /// Answers repeated keys from the known page, since the read failed.
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
