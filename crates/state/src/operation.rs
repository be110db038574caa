//! One change that a node wants on a page of the ledger: a claim, or the
//! outcome of one.

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
    /// Not written before.
    pub(crate) not_before: Instant,
    /// Given up after.
    pub(crate) deadline: Instant,
    /// The reading of the page that was the latest when this was asked; a
    /// later one is evidence of the page within the life of the request.
    pub(crate) read_count: u64,
    /// Set once it went into a write.
    pub(crate) is_sent: bool,
    /// Nobody waits for its end.
    pub(crate) is_detached: bool,
}

/// What a page says of an operation.
pub(crate) enum Decision {
    /// It has still to be written.
    Write,
    /// It waits for the write that is about to go, or for a later reading.
    Defer,
    /// It has ended.
    Complete(Completion),
}

impl Operation {
    /// The end of an operation that is given up on.
    pub(crate) fn give_up(&self, error: LedgerError) -> Completion {
        match self.task {
            Task::Claim { .. } => Completion::Claimed(Answer::Unknown(error)),
            Task::Settle(_) => Completion::Settled(Err(error)),
        }
    }

    /// What the page, of `size` bytes and read as number `read_count`, says of
    /// this operation.
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
            // What was read before this was asked may lack the outcome.
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

    /// The answer where the claim certainly stands in the ledger.
    ///
    /// Too late, it is this node's and stays unused: nobody has run the
    /// request, and nobody can before it is stored as not run.
    pub(crate) fn grant(&self, now: Instant, send_by: Instant) -> Answer {
        if now < send_by {
            Answer::Granted(Claim::new(self.key, self.claim, send_by))
        } else {
            Answer::NotDone("the claim came too late".into())
        }
    }

    /// Writes the operation into the page; returns how much that adds at most.
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
