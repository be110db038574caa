//! Where a request was placed, for as long as it lasts.

use crate::attempt::Failure;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::gossip::Event;
use crate::group::Group;
use crate::ledger::{Allocation, Number};
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

/// Where a request goes. Dropping it ends its allocation.
pub(crate) struct Place<D: Dialect, S: Store, C: Clock> {
    core: Arc<Core<D, S, C>>,
    group: Group,
    number: Number,
    allocation: Allocation,
    pub(crate) target: Arc<Target>,
    pub(crate) helpers: Vec<Arc<Target>>,
    /// Memory to reserve, by target; empty where the first holds all.
    pub(crate) memory: Vec<(Arc<Target>, Tokens)>,
    /// Whether it is a short prompt, or none.
    pub(crate) short: bool,
    /// What each engine reads.
    pub(crate) part: Duration,
    /// When the first token, or the answer, is expected.
    pub(crate) expected: Duration,
    /// What it was chosen by.
    pub(crate) survey: Survey,
    /// Who chose it.
    pub(crate) decider: Decider,
    /// Released with the place.
    reservations: Option<Reservations<D, S, C>>,
}

impl<D: Dialect, S: Store, C: Clock> Place<D, S, C> {
    /// The place of a grant, all of whose targets the view has.
    pub(crate) fn open(
        core: &Arc<Core<D, S, C>>,
        view: &View,
        group: Group,
        number: Number,
        grant: Grant,
        decider: Decider,
    ) -> Option<Self> {
        let Grant { allocation, expected, survey } = grant;
        let find = |tag: Tag| view.find(tag).cloned();
        let memory = allocation.memory.iter().map(|&(tag, tokens)| Some((find(tag)?, tokens)));
        Some(Self {
            core: core.clone(),
            group,
            number,
            target: find(allocation.first)?,
            helpers: allocation.helpers.iter().map(|&tag| find(tag)).collect::<Option<_>>()?,
            memory: memory.collect::<Option<_>>()?,
            short: allocation.short || allocation.part.is_zero(),
            part: allocation.part,
            expected,
            survey,
            decider,
            allocation,
            reservations: None,
        })
    }

    /// Enters it in the ledger, and tells those who decide on its group.
    pub(crate) fn book(&self) {
        self.core.ledger().place(self.core.now(), self.number, self.allocation.clone());
        self.tell(&Event::Placed(self.number, self.allocation.clone()));
    }

    /// The place with the reservations that it needs.
    pub(crate) fn with_reservations(mut self, reservations: Reservations<D, S, C>) -> Self {
        self.reservations = Some(reservations);
        self
    }

    fn tell(&self, event: &Event) {
        self.core.tell_owners(&self.group, event);
    }

    /// The engine that kept the prompt from being read, where it isn't the one
    /// that was sent it.
    pub(crate) fn find_at_fault(&self, failure: &Failure) -> Option<Tag> {
        match failure {
            Failure::NotReserved { target, .. } => Some(*target),
            Failure::NotRun { at_fault, .. } => {
                let is_at_fault = |target: &&Arc<Target>| Some(target.entry.address) == *at_fault;
                self.helpers.iter().find(is_at_fault).map(|target| target.tag)
            }
            _ => None,
        }
    }

    /// Notes the first token.
    pub(crate) fn begin_writing(&self) {
        self.core.ledger().begin_writing(self.core.now(), self.number);
        self.core.queue_due.notify_one();
        self.tell(&Event::Writing(self.number));
    }

    /// Notes how the request ended at its target.
    pub(crate) fn note_outcome(&self, served: bool) {
        let target = self.target.tag;
        self.core.ejection().record_outcome(self.core.now(), target, served);
        self.tell(&Event::Outcome { target, served });
    }

    /// Notes that nothing listens at the target.
    pub(crate) fn note_down(&self) {
        let target = self.target.tag;
        self.core.ejection().record_unreachable(self.core.now(), target);
        self.tell(&Event::Down(target));
    }

    /// Notes that a target refused to read a part of the prompt.
    pub(crate) fn note_shut(&self, target: Tag) {
        self.core.ejection().record_part_refusal(self.core.now(), target);
        self.tell(&Event::Shut(target));
    }
}

impl<D: Dialect, S: Store, C: Clock> Drop for Place<D, S, C> {
    fn drop(&mut self) {
        self.core.ledger().end(self.core.now(), self.number);
        self.core.queue_due.notify_one();
        self.tell(&Event::Ended(self.number));
    }
}
