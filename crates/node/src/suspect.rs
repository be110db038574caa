//! Limits on retries: tracks requests that may crash the targets that run them, and keeps a
//! retry budget for each account.

use crate::core::Core;
use crate::parse::{Completion, hash_parts, refuse};
use crate::peers;
use hickory_policy::poison::{QUARANTINE_DEATHS, Suspect, Suspects, Verdict};
use hickory_policy::refuse::{Reason, Refusal, RetryReason};
use hickory_policy::retry::Budget;
use hickory_unit::id;
use hickory_wire::message;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Number of shards of the retry budgets.
const SHARDS: usize = 8;

/// Poll interval while another trial of the same content is running.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for a host to report that a port is closed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a changed suspicion is sent to peers that have already received this node's
/// state. It spans many gossip exchanges, so that lost ones don't matter.
const SUSPICION_GOSSIP_DURATION: Duration = Duration::from_secs(30);

/// Maximum number of suspects in one exchange; the most recent ones are sent.
const MAX_GOSSIPED_SUSPECTS: usize = 128;

/// Suspects and retry budgets of the node.
#[derive(Debug, Default)]
pub(crate) struct RetryControl {
    suspects: Mutex<Suspects>,
    budgets: [Mutex<Budget>; SHARDS],
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RetryControl {
    fn budget(&self, account: &id::Account) -> MutexGuard<'_, Budget> {
        let index = hash_parts(&[account.as_str().as_bytes()]) as usize % SHARDS;
        lock(&self.budgets[index])
    }

    /// Credits the account's retry budget for a new request.
    pub(crate) fn earn(&self, account: &id::Account) {
        self.budget(account).record_request(account);
    }

    /// Charges one retry to the account's budget.
    pub(crate) fn spend(&self, account: &id::Account) -> Result<(), Refusal> {
        match self.budget(account).try_spend(account) {
            true => Ok(()),
            false => Err(Refusal {
                retry_after: Some(Duration::from_secs(1)),
                ..refuse(Reason::RetryBudget, "the account has no retries left")
            }),
        }
    }

    /// Records that a target died while these requests ran on it.
    pub(crate) fn note_death(&self, now: Instant, ran: Vec<u64>) {
        lock(&self.suspects).record_death(now, ran);
    }

    /// Counts the contents that are suspected or quarantined. Cleared ones are kept only for
    /// gossip and don't count.
    pub(crate) fn count_suspects(&self, now: Instant) -> usize {
        lock(&self.suspects).snapshot(now).iter().filter(|suspect| suspect.deaths > 0).count()
    }

    /// Records that a request ran to its end.
    pub(crate) fn note_success(&self, now: Instant, fingerprint: u64) {
        lock(&self.suspects).record_success(now, fingerprint);
    }

    /// Merges the suspects known to a peer.
    pub(crate) fn merge(&self, now: Instant, suspects: &[message::Suspect]) {
        let suspects = suspects.iter().map(|suspect| Suspect {
            fingerprint: suspect.fingerprint,
            deaths: suspect.deaths,
            age: suspect.age,
        });
        lock(&self.suspects).merge(now, suspects);
    }

    /// Returns the suspects to send to a peer. A peer that has no state of this node yet also
    /// receives the old ones.
    pub(crate) fn suspects_for_peer(&self, now: Instant, is_new: bool) -> Vec<message::Suspect> {
        let mut suspects = lock(&self.suspects).snapshot(now);
        suspects.retain(|suspect| is_new || suspect.age < SUSPICION_GOSSIP_DURATION);
        suspects.sort_unstable_by_key(|suspect| suspect.age);
        suspects.truncate(MAX_GOSSIPED_SUSPECTS);
        let suspects = suspects.into_iter().map(|suspect| message::Suspect {
            fingerprint: suspect.fingerprint,
            deaths: suspect.deaths,
            age: suspect.age,
        });
        suspects.collect()
    }
}

/// Decides whether a completion may run; returns whether it must run exclusively. Waits while
/// another trial of the same content is running.
pub(crate) async fn judge(core: &Core, completion: &Completion) -> Result<bool, Refusal> {
    let fingerprint = completion.fingerprint;
    loop {
        let now = core.now();
        if now >= completion.deadline {
            return Err(refuse(Reason::Deadline, "the deadline passed before it could be sent"));
        }
        {
            let mut suspects = lock(&core.retry_control.suspects);
            match suspects.verdict(now, fingerprint) {
                Verdict::Clear => return Ok(false),
                Verdict::RunAlone => {
                    suspects.begin_trial(fingerprint, completion.deadline);
                    return Ok(true);
                }
                Verdict::Quarantined => return Err(refuse_quarantined()),
                Verdict::Wait => {}
            }
        }
        tokio::time::sleep(TRIAL_POLL_INTERVAL).await;
    }
}

fn refuse_quarantined() -> Refusal {
    refuse(Reason::Quarantined, "targets died while they ran this content")
}

/// Returns whether the host refuses connections to this port, so that the process is gone. A
/// host that doesn't answer may be partitioned or frozen, with its streams intact.
pub(crate) async fn is_port_closed(at: SocketAddr) -> bool {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(at));
    matches!(connect.await, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Quarantines a request that was running on two targets when they died. All peers are informed
/// before the caller is answered: a resend through another node must not kill a third target.
pub(crate) async fn quarantine(core: &Arc<Core>, fingerprint: u64) -> Refusal {
    let now = core.now();
    let quarantined = Suspect { fingerprint, deaths: QUARANTINE_DEATHS, age: Duration::ZERO };
    lock(&core.retry_control.suspects).merge(now, [quarantined]);
    core.metrics.count_quarantine();
    peers::gossip_with_all_peers(core).await;
    refuse_quarantined()
}

/// Ends the trial of a suspect whose outcome is inconclusive.
pub(crate) fn drop_trial(core: &Core, fingerprint: u64) {
    lock(&core.retry_control.suspects).cancel_trial(fingerprint);
}

/// Records the reason of a retry, and charges it to the account's budget unless the last
/// attempt never started: that cost no target any work.
pub(crate) fn spend_retry(
    core: &Core,
    account: &id::Account,
    reason: RetryReason,
) -> Result<(), Refusal> {
    core.metrics.count_retry(reason);
    match reason {
        RetryReason::NotSent | RetryReason::Refused => Ok(()),
        _ => core.retry_control.spend(account),
    }
}
