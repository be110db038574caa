//! The failures and answers of targets, as this node saw them or peers reported them, and the doubt
//! about zones that follows from them.

use crate::core::Core;
use crate::dialect::Dialect;
use crate::placement::{Answer, Decision};
use crate::view::{Tag, Target};
use hickory_policy::doubt::{self, Failure, Service};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    /// Records whether a target served or failed a request.
    pub(crate) fn record_outcome(&self, now: Instant, tag: Tag, served: bool) {
        self.ejection().record_outcome(now, tag, served);
        match served {
            true => self.note_answer(now, tag),
            false => self.note_zone_failure(now, tag, Failure::Request),
        }
    }

    /// Records that a target refuses connections.
    pub(crate) fn record_unreachable(&self, now: Instant, tag: Tag) {
        self.ejection().record_unreachable(now, tag);
        self.note_zone_failure(now, tag, Failure::Unreachable);
    }

    fn note_zone_failure(&self, now: Instant, tag: Tag, failure: Failure) {
        if !self.bounds().is_contended {
            return;
        }
        let view = self.view();
        // A target that is gone from the view isn't chosen any more, nor is its failure news.
        let Some(target) = view.find_target(tag) else { return };
        if self.doubt().record_failure(now, &zone_of(target), tag, failure) {
            log::warn!(
                service = target.entry.service.as_str(),
                zone = target.entry.zone.as_str(),
                target_id = target.id.as_str();
                "zone in doubt: several of its targets failed"
            );
            self.metrics.count_zone_doubt();
        }
    }

    fn note_answer(&self, now: Instant, tag: Tag) {
        if self.doubt().is_empty() {
            return;
        }
        let view = self.view();
        let Some(target) = view.find_target(tag) else { return };
        if self.doubt().record_answer(now, &zone_of(target)) {
            log::info!(
                service = target.entry.service.as_str(),
                zone = target.entry.zone.as_str(),
                target_id = target.id.as_str();
                "zone no longer in doubt: a target answered"
            );
            self.queue_notify.notify_one();
        }
    }

    /// Returns for each of a service's targets whether it is in doubt; empty if none is.
    pub(crate) fn doubted_targets(&self, now: Instant, targets: &[Arc<Target>]) -> Vec<bool> {
        let doubt = self.doubt();
        if doubt.is_empty() || !self.bounds().is_contended {
            return Vec::new();
        }
        let zones: Vec<_> = targets.iter().map(|target| zone_of(target)).collect();
        doubt.doubted(now, &zones)
    }
}

fn zone_of(target: &Target) -> (id::Service, id::Zone) {
    (target.entry.service.clone(), target.entry.zone.clone())
}

/// Decides for the trusted targets, or for all if those can't serve the request in time.
pub(crate) fn decide(
    trusted: Decision,
    all: impl FnOnce() -> Decision,
    goal_left: Duration,
) -> Decision {
    doubt::choose(trusted, all, |decision| match decision {
        Decision::Wait(..) => Service::InTime,
        Decision::Answered(Answer::Placed(grant)) if grant.expected_time > goal_left => {
            Service::Late
        }
        Decision::Answered(Answer::Placed(_)) => Service::InTime,
        Decision::Answered(_) => Service::None,
    })
}
