//! The planned stop of a node.
//!
//! Callers may cache this node's address, so the node keeps serving after it has announced the
//! stop, and closes each connection after the next response. It refuses requests that are expected
//! to last longer than the rest of the grace period.

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::refusal::Refusal;
use crate::serve::Job;
use crate::supervisor;
use hickory_policy::drain::{Answer, Nominal, Stop};
use hickory_policy::refuse::{Ran, Reason};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// How long a stopping node remains in cached directory responses: three times their maximum age,
/// plus the time until its peers know of the stop.
const CACHED_ADDRESS_LIFETIME: Duration = Duration::from_millis(3_400);

/// The part of the grace period that is reserved for the process to exit by itself before it is
/// killed.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(500);

/// The part of that reserve in which interrupted requests get their final answers.
const INTERRUPTION_TIME: Duration = Duration::from_millis(150);

/// The retry delay of a request that is refused; the caller then connects to another node.
const RETRY_AFTER: Duration = Duration::from_millis(20);

/// The interval for checking whether the last request has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Begins a planned stop; later calls have no effect.
pub(crate) fn begin<D: Dialect, S: Store, C: Clock>(core: &Arc<Core<D, S, C>>) {
    let has_begun = core.stage.send_if_modified(|stage| {
        let is_serving = *stage == Stage::Serving;
        if is_serving {
            *stage = Stage::Draining;
        }
        is_serving
    });
    if has_begun {
        core.begin_draining();
        log::info!(active = core.active_requests(); "planned stop begun");
        core.update_contact();
        supervisor::spawn(core, "planned stop", finish(core.clone()));
    }
}

async fn finish<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    if let Some(member) = core.member.get().cloned() {
        // The store may be unreachable, and the stop doesn't wait for it.
        tokio::spawn(async move { member.deregister().await });
    }
    let is_idle = || {
        let elapsed = core.draining_time().unwrap_or_default();
        elapsed >= CACHED_ADDRESS_LIFETIME && core.active_requests() == 0
    };
    wait_until(&core, is_idle).await;
    core.stage.send_replace(Stage::Closing);
    // Slow callers may not have received the answers of requests that have ended.
    wait_until(&core, || core.open_connections() == 0).await;
    let (active, connections) = (core.active_requests(), core.open_connections());
    if connections > 0 {
        core.stage.send_replace(Stage::Interrupting);
        tokio::time::sleep(INTERRUPTION_TIME).await;
    }
    log::info!(active, connections; "planned stop done");
    core.stage.send_replace(Stage::Closed);
}

/// Waits for a condition, at most until the grace period has passed.
async fn wait_until<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    is_met: impl Fn() -> bool,
) {
    while let Some(left) = grace_left(core).filter(|left| !left.is_zero()) {
        if is_met() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL.min(left)).await;
    }
}

/// Returns how long requests may go on after a planned stop has begun; `None` before it.
fn grace_left<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> Option<Duration> {
    let max_drain_time = core.bounds().grace.saturating_sub(SHUTDOWN_RESERVE);
    core.draining_time().map(|elapsed| max_drain_time.saturating_sub(elapsed))
}

/// Checks that a request can be expected to end before the node does.
///
/// # Errors
///
/// Returns the refusal of a request that can't.
pub(crate) fn check_time<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    job: &Job,
) -> Result<(), Refusal> {
    let (Some(elapsed), Some(left)) = (core.draining_time(), grace_left(core)) else {
        return Ok(());
    };
    let time_left = job.deadline.saturating_duration_since(core.now());
    let (nominal, slowness) = (job.nominal(), core.slowness(&job.route));
    if (Stop { elapsed, left }).fits(nominal, slowness, time_left) {
        return Ok(());
    }
    let expected_ms = nominal.expected_time(slowness, time_left).as_millis();
    let left_ms = left.as_millis();
    let detail = format!("this node stops in {left_ms} ms, the request may take {expected_ms} ms");
    Err(Refusal::new(Reason::Draining, detail).with_retry_after(RETRY_AFTER))
}

impl Job {
    /// Returns what is known of the time that the request takes, at the slowest service of its route.
    pub(crate) fn nominal(&self) -> Nominal {
        if !self.route.kind.is_stream() {
            return Nominal::Answer(self.route.goal);
        }
        let Some(prompt) = self.head.prompt else { return Nominal::Unknown };
        let profile = |name| self.configuration.services.get(name)?.engine.as_ref();
        let answer = Answer {
            prompt: prompt.tokens,
            max: prompt.max_answer,
            estimate: prompt.expected_answer,
        };
        let services = self.route.split.iter().map(|(name, _)| match profile(name) {
            Some(profile) => Nominal::stream(self.route.goal, profile, answer),
            None => Nominal::Unknown,
        });
        services.max().unwrap_or(Nominal::Unknown)
    }
}

/// Runs a part of a request unless the grace period ends first, and the request is then refused.
///
/// # Errors
///
/// Returns the refusal, or that of the request's part.
pub(crate) async fn run_until_interrupted<D: Dialect, S: Store, C: Clock, T>(
    core: &Core<D, S, C>,
    ran: Ran,
    part: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        result = part => result,
        () = core.wait_for_stage(Stage::Interrupting) => {
            core.metrics.count_stop_interruption();
            Err(interrupted().after_possible_run(ran == Ran::Unknown))
        }
    }
}

/// Creates the refusal of a request that is in flight when the grace period ends.
pub(crate) fn interrupted() -> Refusal {
    let refusal = Refusal::new(Reason::Draining, "interrupted by the stop of this node");
    refusal.with_retry_after(RETRY_AFTER)
}
