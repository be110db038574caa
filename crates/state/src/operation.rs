//! One change that a node wants to make to a page of the ledger: a claim, or the outcome
//! of one.

use crate::claim::{Answer, Claim, LedgerError};
use crate::group_commit::{Completion, Ticket};
use crate::page::{MAX_PAGE_BYTES_FOR_CLAIMS, MAX_RECORD_BYTES, Outcome, Page, Record};
use std::time::Instant;
use uuid::Uuid;

#[derive(Clone, Debug)]
pub(crate) enum Task {
    Claim { fingerprint: u64, send_by: Instant },
    Settle(Outcome),
}

#[derive(Clone, Debug)]
pub(crate) struct Operation {
    pub(crate) ticket: Ticket,
    pub(crate) key: Uuid,
    pub(crate) claim: Uuid,
    pub(crate) task: Task,
    /// Earliest time at which it is written.
    pub(crate) not_before: Instant,
    /// Time at which it is given up.
    pub(crate) deadline: Instant,
    /// The number of reads of the page before this operation started. A later read shows
    /// the page as it was during the operation.
    pub(crate) read_count: u64,
    /// Whether a write that contains it was sent.
    pub(crate) is_sent: bool,
    /// Whether its result is no longer awaited.
    pub(crate) is_detached: bool,
}

/// What to do with an operation, given the page.
pub(crate) enum Decision {
    /// Include it in the next write.
    Write,
    /// Wait for the next read of the page.
    Defer,
    /// It is complete.
    Complete(Completion),
}

impl Operation {
    /// Returns the result of an operation that is given up.
    pub(crate) fn give_up(&self, error: LedgerError) -> Completion {
        match self.task {
            Task::Claim { .. } => Completion::Claimed(Answer::Unknown(error)),
            Task::Settle(_) => Completion::Settled(Err(error)),
        }
    }

    /// Decides what to do with the operation, given the page, its size in bytes and the
    /// number of reads so far.
    pub(crate) fn evaluate(
        &self,
        now: Instant,
        page: &Page,
        page_size: usize,
        read_count: u64,
    ) -> Decision {
        let record = page.claims.get(&self.key);
        let has_newer_read = self.read_count < read_count;
        match (&self.task, record) {
            (Task::Claim { send_by, .. }, Some(record)) if record.claim == self.claim => {
                Decision::Complete(Completion::Claimed(self.grant(now, *send_by)))
            }
            (Task::Claim { fingerprint, .. }, Some(record))
                if record.fingerprint != *fingerprint =>
            {
                Decision::Complete(Completion::Claimed(Answer::Reused))
            }
            (Task::Claim { .. }, None) if page_size > MAX_PAGE_BYTES_FOR_CLAIMS => {
                Decision::Complete(Completion::Claimed(Answer::Unknown(LedgerError::PageFull)))
            }
            (Task::Claim { .. }, None) => Decision::Write,
            (Task::Claim { .. }, Some(record)) if record.outcome == Some(Outcome::NotRun) => {
                Decision::Write
            }
            // A page that was read before the claim started may not have the outcome yet.
            (Task::Claim { .. }, Some(_)) if !has_newer_read => Decision::Defer,
            (Task::Claim { .. }, Some(record)) => {
                let outcome = record.outcome.clone();
                Decision::Complete(Completion::Claimed(Answer::Repeated { outcome }))
            }
            (Task::Settle(_), Some(record)) if record.claim == self.claim => match record.outcome {
                None => Decision::Write,
                Some(_) => Decision::Complete(Completion::Settled(Ok(()))),
            },
            (Task::Settle(_), None) if !has_newer_read => Decision::Defer,
            (Task::Settle(_), _) => Decision::Complete(Completion::Settled(Ok(()))),
        }
    }

    /// Returns the answer if the claim is certainly stored in the ledger.
    ///
    /// If that is too late to send, the claim belongs to this node and stays unused: the
    /// request has not run, and can't run before the claim is stored as not run.
    pub(crate) fn grant(&self, now: Instant, send_by: Instant) -> Answer {
        if now < send_by {
            Answer::Granted(Claim::new(self.key, self.claim, send_by))
        } else {
            Answer::NotDone("the claim came too late".into())
        }
    }

    /// Applies the operation to the page; returns the maximum number of bytes that this
    /// adds.
    pub(crate) fn apply(&self, page: &mut Page, page_size: usize) -> usize {
        match &self.task {
            Task::Claim { fingerprint, .. } => {
                let record = Record { fingerprint: *fingerprint, claim: self.claim, outcome: None };
                page.claims.insert(self.key, record);
                MAX_RECORD_BYTES
            }
            Task::Settle(outcome) => {
                let outcome = outcome.clone().without_large_body(page_size);
                let added_bytes = outcome.max_encoded_bytes();
                if let Some(record) = page.claims.get_mut(&self.key) {
                    record.outcome = Some(outcome);
                }
                added_bytes
            }
        }
    }
}
