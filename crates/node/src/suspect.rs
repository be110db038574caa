//! Requests that may crash the targets that run them, and the budgets that
//! keep retries from multiplying.

use crate::core::Core;
use crate::parse::{Completion, hash_parts, refuse};
use crate::peers;
use hickory_policy::poison::{DEATHS, Suspect, Suspects, Verdict};
use hickory_policy::refuse::{Reason, Refusal, Retry};
use hickory_policy::retry::Budget;
use hickory_unit::id;
use hickory_wire::message;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Shards of the retry budgets.
const SHARDS: usize = 8;

/// Between two looks at whether a suspect's trial has ended.
const TRIAL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a host may take to say that nothing listens at a port.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a change of suspicion is told to peers that know this node
/// already: many exchanges, so that lost ones don't matter.
const TOLD_FOR: Duration = Duration::from_secs(30);

/// Suspects told in one exchange at most; the latest go first.
const TOLD_MAX: usize = 128;

/// The node's suspects and retry budgets.
#[derive(Debug, Default)]
pub(crate) struct Record {
    suspects: Mutex<Suspects>,
    budgets: [Mutex<Budget>; SHARDS],
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Record {
    fn budget(&self, account: &id::Account) -> MutexGuard<'_, Budget> {
        let index = hash_parts(&[account.as_str().as_bytes()]) as usize % SHARDS;
        lock(&self.budgets[index])
    }

    /// Notes a request, which earns its account part of a retry.
    pub(crate) fn earn(&self, account: &id::Account) {
        self.budget(account).earn(account);
    }

    /// Takes one retry out of the account's budget.
    pub(crate) fn spend(&self, account: &id::Account) -> Result<(), Refusal> {
        match self.budget(account).spend(account) {
            true => Ok(()),
            false => Err(Refusal {
                retry_after: Some(Duration::from_secs(1)),
                ..refuse(Reason::RetryBudget, "the account has no retries left")
            }),
        }
    }

    /// A target died, and these ran on it.
    pub(crate) fn note_death(&self, now: Instant, ran: Vec<u64>) {
        lock(&self.suspects).note_death(now, ran);
    }

    /// Contents under suspicion or in quarantine; those that were cleared are
    /// only kept to be told.
    pub(crate) fn suspects(&self, now: Instant) -> usize {
        lock(&self.suspects).tell(now).iter().filter(|suspect| suspect.deaths > 0).count()
    }

    /// A request ran to its end.
    pub(crate) fn note_success(&self, now: Instant, fingerprint: u64) {
        lock(&self.suspects).note_success(now, fingerprint);
    }

    /// Takes in what a peer knows.
    pub(crate) fn merge(&self, now: Instant, told: &[message::Suspect]) {
        let suspects = told.iter().map(|suspect| Suspect {
            fingerprint: suspect.fingerprint,
            deaths: suspect.deaths,
            age: suspect.age,
        });
        lock(&self.suspects).merge(now, suspects);
    }

    /// What a peer is told; one that knows nothing of this node yet gets what
    /// is old as well.
    pub(crate) fn tell(&self, now: Instant, is_new: bool) -> Vec<message::Suspect> {
        let mut told = lock(&self.suspects).tell(now);
        told.retain(|suspect| is_new || suspect.age < TOLD_FOR);
        told.sort_unstable_by_key(|suspect| suspect.age);
        told.truncate(TOLD_MAX);
        let suspects = told.into_iter().map(|suspect| message::Suspect {
            fingerprint: suspect.fingerprint,
            deaths: suspect.deaths,
            age: suspect.age,
        });
        suspects.collect()
    }
}

/// Whether a completion runs beside others or alone, or is refused. Waits
/// while another trial of the same content is under way.
pub(crate) async fn judge(core: &Core, completion: &Completion) -> Result<bool, Refusal> {
    let fingerprint = completion.fingerprint;
    loop {
        let now = core.now();
        if now >= completion.deadline {
            return Err(refuse(Reason::Deadline, "the deadline passed before it could be sent"));
        }
        {
            let mut suspects = lock(&core.record.suspects);
            match suspects.judge(now, fingerprint) {
                Verdict::Clear => return Ok(false),
                Verdict::Alone => {
                    suspects.begin_trial(fingerprint, completion.deadline);
                    return Ok(true);
                }
                Verdict::Quarantined => return Err(refuse_quarantined()),
                Verdict::Wait => {}
            }
        }
        tokio::time::sleep(TRIAL_INTERVAL).await;
    }
}

fn refuse_quarantined() -> Refusal {
    refuse(Reason::Quarantined, "targets died while they ran this content")
}

/// Whether the host answers that nothing listens there: the process is gone.
/// A host that says nothing may be cut off or frozen, with all it runs.
pub(crate) async fn is_port_closed(at: SocketAddr) -> bool {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(at));
    matches!(connect.await, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Quarantines a request under which two targets died, and tells all peers
/// before the caller is answered: a resend through another node must not cost
/// a third target.
pub(crate) async fn condemn(core: &Arc<Core>, fingerprint: u64) -> Refusal {
    let now = core.now();
    let condemned = Suspect { fingerprint, deaths: DEATHS, age: Duration::ZERO };
    lock(&core.record.suspects).merge(now, [condemned]);
    core.metrics.count_quarantine();
    peers::tell_all(core).await;
    refuse_quarantined()
}

/// Ends the trial of a suspect that said nothing about it.
pub(crate) fn drop_trial(core: &Core, fingerprint: u64) {
    lock(&core.record.suspects).drop_trial(fingerprint);
}

/// Notes why an attempt is made again. It counts against the account's budget
/// unless the last one never began: that cost no target anything.
pub(crate) fn spend_retry(
    core: &Core,
    account: &id::Account,
    reason: Retry,
) -> Result<(), Refusal> {
    core.metrics.count_retry(reason);
    match reason {
        Retry::NotSent | Retry::Refused => Ok(()),
        _ => core.record.spend(account),
    }
}
