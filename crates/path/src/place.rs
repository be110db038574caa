//! The place of a request: its granted targets and its allocation.

use crate::attempt::Failure;
use crate::core::Core;
use crate::datagram::Event;
use crate::dialect::Dialect;
use crate::group::Group;
use crate::ledger::{Allocation, AllocationId};
use crate::links;
use crate::placement::Grant;
use crate::reservation::Reservations;
use crate::view::{Tag, Target, View};
use hickory_policy::survey::Survey;
use hickory_store::store::Store;
use hickory_telemetry::label::Decider;
use hickory_unit::clock::Clock;
use hickory_unit::size::Tokens;
use std::sync::Arc;
use std::time::Duration;

/// The place of a request. Dropping it ends the allocation.
pub(crate) struct Place<D: Dialect, S: Store, C: Clock> {
    core: Arc<Core<D, S, C>>,
    group: Group,
    id: AllocationId,
    allocation: Allocation,
    pub(crate) target: Arc<Target>,
    pub(crate) helpers: Vec<Arc<Target>>,
    /// Memory to reserve, by target; empty if the request's target holds all of it.
    pub(crate) memory: Vec<(Arc<Target>, Tokens)>,
    /// Whether the prompt is short, or the request has none.
    pub(crate) is_short: bool,
    /// The time that each engine spends on its part of the prefill.
    pub(crate) prefill_time: Duration,
    /// The expected time to the first token or to the answer.
    pub(crate) expected_time: Duration,
    /// The state of the targets that the choice was based on.
    pub(crate) survey: Survey,
    /// Whether the owner, its successor or this node made the choice.
    pub(crate) decider: Decider,
    /// Released when the place is dropped.
    reservations: Option<Reservations<D, S, C>>,
}

impl<D: Dialect, S: Store, C: Clock> Place<D, S, C> {
    /// Opens the place of a grant; `None` if one of its targets is missing from the view.
    pub(crate) fn open(
        core: &Arc<Core<D, S, C>>,
        view: &View,
        group: Group,
        id: AllocationId,
        grant: Grant,
        decider: Decider,
    ) -> Option<Self> {
        let Grant { allocation, expected_time, survey } = grant;
        let find = |tag: Tag| view.find_target(tag).cloned();
        let memory = allocation.memory.iter().map(|&(tag, tokens)| Some((find(tag)?, tokens)));
        Some(Self {
            core: core.clone(),
            group,
            id,
            target: find(allocation.target)?,
            helpers: allocation.helpers.iter().map(|&tag| find(tag)).collect::<Option<_>>()?,
            memory: memory.collect::<Option<_>>()?,
            is_short: allocation.is_short || allocation.prefill_time.is_zero(),
            prefill_time: allocation.prefill_time,
            expected_time,
            survey,
            decider,
            allocation,
            reservations: None,
        })
    }

    /// Records the allocation in the ledger, and reports it to the owners of the group.
    pub(crate) fn publish(&self) {
        self.core.ledger().record(self.core.now(), self.id, self.allocation.clone());
        self.notify_owners(&Event::Placed(self.id, self.allocation.clone()));
    }

    /// Returns the place together with the reservations that it needs.
    pub(crate) fn with_reservations(mut self, reservations: Reservations<D, S, C>) -> Self {
        self.reservations = Some(reservations);
        self
    }

    /// Returns whether this node's own links to all targets of the service are presumed down.
    pub(crate) fn are_links_down(&self) -> bool {
        let service = &self.target.entry.service;
        self.core.with_links(service, |links| links.are_all_down())
    }

    fn notify_owners(&self, event: &Event) {
        self.core.send_to_owners(&self.group, event);
    }

    /// Returns the engine that prevented the prefill, if it isn't the target of the request.
    pub(crate) fn find_refusing_target(&self, failure: &Failure) -> Option<Tag> {
        match failure {
            Failure::NotReserved { target, .. } => Some(*target),
            Failure::NotRun { refusing_target, .. }
            | Failure::RequestRejected { refusing_target, .. } => {
                let is_refusing =
                    |target: &&Arc<Target>| Some(target.entry.address) == *refusing_target;
                self.helpers.iter().find(is_refusing).map(|target| target.tag)
            }
            _ => None,
        }
    }

    /// Records the first token.
    pub(crate) fn begin_decode(&self) {
        self.core.ledger().begin_decode(self.core.now(), self.id);
        self.core.queue_notify.notify_one();
        self.notify_owners(&Event::FirstToken(self.id));
    }

    /// Records whether the target served or failed the request.
    pub(crate) fn note_outcome(&self, served: bool) {
        note_outcome(&self.core, &self.group, self.target.tag, served);
    }

    /// Records that the target has been silent, unless the link to it turns out to be down.
    pub(crate) fn note_silence(&self) {
        let (core, group, target) = (self.core.clone(), self.group.clone(), self.target.clone());
        tokio::spawn(async move {
            if links::is_working(&core, &target).await {
                note_outcome(&core, &group, target.tag, false);
            }
        });
    }

    /// Records that the target refused the connection.
    pub(crate) fn note_connection_refused(&self) {
        let target = self.target.tag;
        self.core.record_unreachable(self.core.now(), target);
        self.notify_owners(&Event::Down(target));
    }

    /// Records that a target refused to prefill a part of the prompt.
    pub(crate) fn note_prefill_refused(&self, target: Tag) {
        self.core.ejection().record_chunk_refusal(self.core.now(), target);
        self.notify_owners(&Event::PrefillRefused(target));
    }
}

fn note_outcome<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    group: &Group,
    target: Tag,
    served: bool,
) {
    core.record_outcome(core.now(), target, served);
    core.ledger().learned_mut().note_outcome(None, target, served);
    core.send_to_owners(group, &Event::Outcome { target, served });
}

impl<D: Dialect, S: Store, C: Clock> Drop for Place<D, S, C> {
    fn drop(&mut self) {
        self.core.ledger().finish(self.core.now(), self.id);
        self.core.queue_notify.notify_one();
        self.notify_owners(&Event::Ended(self.id));
    }
}
