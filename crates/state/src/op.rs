//! One change that a node wants on a page of the ledger: a claim, or the
//! outcome of one.

use crate::claim::{Answer, Claim, Doubt};
use crate::group::{End, Ticket};
use crate::page::{CLAIMS_MAX, Outcome, Page, RECORD_MAX, Record};
use std::time::Instant;
use uuid::Uuid;

#[derive(Clone, Debug)]
pub(crate) enum Task {
    Claim { fingerprint: u64, send_by: Instant },
    Settle(Outcome),
}

#[derive(Clone, Debug)]
pub(crate) struct Op {
    pub(crate) ticket: Ticket,
    pub(crate) key: Uuid,
    pub(crate) claim: Uuid,
    pub(crate) task: Task,
    /// Not written before.
    pub(crate) due: Instant,
    /// Given up after.
    pub(crate) deadline: Instant,
    /// The reading of the page that was the latest when this was asked; a
    /// later one is evidence of the page within the life of the request.
    pub(crate) reading: u64,
    /// Set once it went into a write.
    pub(crate) sent: bool,
    /// Nobody waits for its end.
    pub(crate) detached: bool,
}

/// What a page says of an operation.
pub(crate) enum Standing {
    /// It has still to be written.
    Open,
    /// It waits for the write that is about to go, or for a later reading.
    Later,
    /// It has ended.
    Ended(End),
}

impl Op {
    /// The end of an operation that is given up on.
    pub(crate) fn give_up(&self, doubt: Doubt) -> End {
        match self.task {
            Task::Claim { .. } => End::Claimed(Answer::Unknown(doubt)),
            Task::Settle(_) => End::Settled(Err(doubt)),
        }
    }

    /// What the page, of `size` bytes and read as number `reading`, says of
    /// this operation.
    pub(crate) fn judge(&self, now: Instant, page: &Page, size: usize, reading: u64) -> Standing {
        let record = page.claims.get(&self.key);
        let fresh = self.reading < reading;
        match (&self.task, record) {
            (Task::Claim { send_by, .. }, Some(record)) if record.claim == self.claim => {
                Standing::Ended(End::Claimed(self.grant(now, *send_by)))
            }
            (Task::Claim { fingerprint, .. }, Some(record))
                if record.fingerprint != *fingerprint =>
            {
                Standing::Ended(End::Claimed(Answer::Reused))
            }
            (Task::Claim { .. }, None) if size > CLAIMS_MAX => {
                Standing::Ended(End::Claimed(Answer::Unknown(Doubt::Full)))
            }
            (Task::Claim { .. }, None) => Standing::Open,
            (Task::Claim { .. }, Some(record)) if record.outcome == Some(Outcome::NotRun) => {
                Standing::Open
            }
            // What was read before this was asked may lack the outcome.
            (Task::Claim { .. }, Some(_)) if !fresh => Standing::Later,
            (Task::Claim { .. }, Some(record)) => {
                let outcome = record.outcome.clone();
                Standing::Ended(End::Claimed(Answer::Repeated { outcome }))
            }
            (Task::Settle(_), Some(record)) if record.claim == self.claim => match record.outcome {
                None => Standing::Open,
                Some(_) => Standing::Ended(End::Settled(Ok(()))),
            },
            (Task::Settle(_), None) if !fresh => Standing::Later,
            (Task::Settle(_), _) => Standing::Ended(End::Settled(Ok(()))),
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
    pub(crate) fn apply(&self, page: &mut Page, size: usize) -> usize {
        match &self.task {
            Task::Claim { fingerprint, .. } => {
                let record = Record { fingerprint: *fingerprint, claim: self.claim, outcome: None };
                page.claims.insert(self.key, record);
                RECORD_MAX
            }
            Task::Settle(outcome) => {
                let outcome = outcome.clone().trim(size);
                let added = outcome.size();
                if let Some(record) = page.claims.get_mut(&self.key) {
                    record.outcome = Some(outcome);
                }
                added
            }
        }
    }
}
