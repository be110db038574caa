//! Choosing targets for one attempt, and booking them.

use crate::attempt::Failure;
use crate::books::{Booking, Number, Stage};
use crate::cell::Cell;
use crate::config::{Configuration, Route};
use crate::core::Core;
use crate::demand::Prompt;
use crate::dialect::Dialect;
use crate::peer::Event;
use crate::reservation::Reservations;
use crate::view::{Tag, Target, View};
use hickory_policy::claim::Turn;
use hickory_policy::engine::Profile;
use hickory_policy::plan::{self, Choice, Load, Plan, Query, Refused};
use hickory_policy::survey::Survey;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use hickory_unit::size::Tokens;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests a second that a cold target is given, as a part of what it is
/// configured to bear: peers hear of a sending some milliseconds late.
const COLD_PART: f64 = 0.8;

/// Requests that may wait at a replica of a plain service, as a multiple of
/// those it runs: beyond it, a request waits longer than callers do.
const WAITING: u32 = 3;

/// The part of an answer's bound that answers have at the mean, where nothing
/// better is known.
const USUAL_PART: u64 = 2;

/// Over how many times as long as news takes the rate of placements counts, by
/// which what is unseen is guessed. Over one time alone, prompts that come
/// together by chance look like a surge.
const SEEN: u32 = 4;

/// When to come back where nothing is known of when room will be.
const RELIEF: Duration = Duration::from_millis(200);

/// What is to be placed.
pub(crate) struct Want<'a> {
    pub(crate) route: &'a Route,
    pub(crate) service: &'a id::Service,
    pub(crate) prompt: Option<Prompt>,
    /// When its first token is wanted.
    pub(crate) due: Instant,
    /// When its caller gives up on a first token.
    pub(crate) limit: Instant,
    /// Targets that were tried.
    pub(crate) tried: &'a [Tag],
}

/// What a request has met so far in its search for a place.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Search {
    turn: Turn,
    /// What the last choice found.
    pub(crate) survey: Survey,
}

/// Where a request goes. Dropping it ends its booking.
pub(crate) struct Place<D: Dialect, S: Store, C: Clock> {
    core: Arc<Core<D, S, C>>,
    number: Number,
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
    /// Released with the place.
    reservations: Option<Reservations<D, S, C>>,
}

impl<D: Dialect, S: Store, C: Clock> Place<D, S, C> {
    /// The place with the reservations that it needs.
    pub(crate) fn with_reservations(mut self, reservations: Reservations<D, S, C>) -> Self {
        self.reservations = Some(reservations);
        self
    }

    fn tell(&self, event: Event) {
        match self.short {
            true => self.core.tell_later(event),
            false => self.core.tell(event),
        }
    }

    /// Whether another node's prompt comes before it on the same engines; asked
    /// once both nodes must have heard of it.
    pub(crate) fn is_contested(&self) -> bool {
        let window = self.core.settle_time();
        self.core.books().is_contested(&self.core.settings.node, self.number, window)
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
        self.core.books().begin_writing(self.core.now(), self.number);
        self.tell(Event::Writing(self.number));
    }
}

impl<D: Dialect, S: Store, C: Clock> Drop for Place<D, S, C> {
    fn drop(&mut self) {
        self.core.books().end(self.number);
        self.tell(Event::Ended(self.number));
    }
}

/// Tells the other nodes that a prompt waits. Dropping it ends that.
pub(crate) struct Waiting<D: Dialect, S: Store, C: Clock> {
    core: Arc<Core<D, S, C>>,
    number: Number,
}

impl<D: Dialect, S: Store, C: Clock> Waiting<D, S, C> {
    pub(crate) fn begin(core: &Arc<Core<D, S, C>>, service: &id::Service, read: Duration) -> Self {
        let booking = Booking { part: read, ..empty_booking(service, Stage::Waiting) };
        let number = core.books().place(core.now(), booking.clone());
        core.tell(Event::Placed(number, booking));
        Self { core: core.clone(), number }
    }
}

impl<D: Dialect, S: Store, C: Clock> Drop for Waiting<D, S, C> {
    fn drop(&mut self) {
        self.core.books().end(self.number);
        self.core.tell(Event::Ended(self.number));
    }
}

fn empty_booking(service: &id::Service, stage: Stage) -> Booking {
    Booking {
        service: service.clone(),
        first: Tag(0),
        helpers: Vec::new(),
        part: Duration::ZERO,
        prompt: Tokens(0),
        answer: Tokens(0),
        memory: Vec::new(),
        gap: None,
        short: false,
        stage,
        age: Duration::ZERO,
    }
}

/// Why nothing is free: when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// No target takes work.
    NoTarget,
    /// The prompt is greater than the fleet holds.
    TooLong,
    /// There may be room after this time.
    Busy(Duration),
    /// Its turn may come after this time; reading it takes one engine so long.
    Wait(Duration, Duration),
}

/// Chooses targets and books them.
pub(crate) fn choose<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    view: &View,
    configuration: &Configuration,
    want: &Want<'_>,
    search: &mut Search,
) -> Result<Place<D, S, C>, NoPlace> {
    let now = core.now();
    let candidates = find_candidates(core, view, configuration, want, now);
    search.survey = Survey::default();
    if candidates.is_empty() {
        return Err(NoPlace::NoTarget);
    }
    let profile = configuration.engine_of(want.service);
    let mut loads = core.books().loads(now, &candidates, profile);
    mark(core, now, &candidates, &mut loads);
    let limit = want.limit.saturating_duration_since(now);
    match (profile, want.prompt) {
        (Some(profile), Some(prompt)) => {
            let read = profile.read_time(prompt.tokens);
            let settle = core.settle_time();
            let ahead = core.books().ahead(now, want.service, read);
            search.survey = Survey::read(Some(profile), &loads, ahead.read);
            let query = Query {
                prompt: prompt.tokens,
                answer: guess_answer(profile, prompt),
                short: plan::is_short(profile, prompt.tokens, want.route.goal),
                goal: want.due.saturating_duration_since(now),
                limit,
                ahead: ahead.read,
                unseen: core.books().placed_lately(now, want.service, settle * SEEN) / SEEN,
            };
            let plan = match plan::choose_engines(&query, profile, &loads).map_err(read_refused)? {
                Choice::Go(plan) => plan,
                Choice::Wait(time) => return Err(NoPlace::Wait(time, read)),
            };
            // Smaller prompts that wait choose first; all see the same engines idle.
            if !query.short && !search.turn.wait(now, ahead.count, settle).is_zero() {
                return Err(NoPlace::Wait(settle, read));
            }
            let mut place = book_plan(core, now, &candidates, want, &query, &plan);
            place.survey = search.survey;
            Ok(place)
        }
        _ => {
            search.survey = Survey::read(profile, &loads, Duration::ZERO);
            let place = choose_replica(&candidates, &loads)?;
            let booking = Booking {
                first: candidates[place].tag,
                ..empty_booking(want.service, Stage::Reading)
            };
            let plan = Plan {
                first: place,
                helpers: Vec::new(),
                memory: Vec::new(),
                part: Duration::ZERO,
                first_token: want.route.goal,
            };
            let mut place = book(core, now, &candidates, booking, &plan);
            place.survey = search.survey;
            Ok(place)
        }
    }
}

fn read_refused(refused: Refused) -> NoPlace {
    match refused {
        Refused::NoEngine => NoPlace::NoTarget,
        Refused::TooLong => NoPlace::TooLong,
        Refused::Busy(time) => NoPlace::Busy(time),
    }
}

/// Targets that may be sent the request. Those that were tried are left out
/// while there are others.
fn find_candidates<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    view: &View,
    configuration: &Configuration,
    want: &Want<'_>,
    now: Instant,
) -> Vec<Arc<Target>> {
    let cold_rate = configuration.services.get(want.service).and_then(|s| s.cold_rate);
    let books = core.books();
    let bears = |target: &Target| match cold_rate {
        Some(rate) if target.is_cold(now) => {
            (books.sent_lately(now, target.tag) as f64) < rate * COLD_PART
        }
        _ => true,
    };
    let all = view.targets_of(want.service).iter();
    let able: Vec<Arc<Target>> = all
        .filter(|target| target.takes_work(now) && !view.zones_out.contains(&target.entry.zone))
        .filter(|target| bears(target))
        .cloned()
        .collect();
    let is_new = |target: &&Arc<Target>| !want.tried.contains(&target.tag);
    let new: Vec<Arc<Target>> = able.iter().filter(is_new).cloned().collect();
    if new.is_empty() { able } else { new }
}

fn mark<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    now: Instant,
    targets: &[Arc<Target>],
    loads: &mut [Load],
) {
    let doubts = core.doubts();
    let cell = core.peers().cell(&core.settings.node);
    let own = Cell::own(&core.settings.node);
    for (target, load) in targets.iter().zip(loads) {
        load.near = target.entry.zone == core.settings.zone;
        load.preference = cell.prefer(target.tag);
        load.own_preference = own.prefer(target.tag);
        load.doubt = doubts.cost(now, target.tag);
        load.shut = doubts.is_shut(now, target.tag);
    }
}

fn guess_answer(profile: &Profile, prompt: Prompt) -> Tokens {
    let guess = prompt.answer_guess.unwrap_or(Tokens(prompt.answer_max.0 / USUAL_PART));
    guess.max(profile.usual_answer).min(prompt.answer_max)
}

/// The replica of a plain service with the fewest requests for its slots.
fn choose_replica(targets: &[Arc<Target>], loads: &[Load]) -> Result<usize, NoPlace> {
    let share = |place: &usize| {
        let (load, slots) = (&loads[*place], targets[*place].entry.slots.max(1));
        // In thousandths, since keys must be ordered; beyond some, the way to
        // another zone is shorter than the wait.
        let busy = load.requests * 1_000 / slots;
        (load.doubt, busy, !load.near)
    };
    let place = (0..targets.len()).min_by_key(share).ok_or(NoPlace::NoTarget)?;
    let slots = targets[place].entry.slots.max(1);
    match loads[place].requests >= slots * WAITING {
        true => Err(NoPlace::Busy(RELIEF)),
        false => Ok(place),
    }
}

fn book_plan<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    now: Instant,
    targets: &[Arc<Target>],
    want: &Want<'_>,
    query: &Query,
    plan: &Plan,
) -> Place<D, S, C> {
    let tag = |place: usize| targets[place].tag;
    let booking = Booking {
        first: tag(plan.first),
        helpers: plan.helpers.iter().map(|&place| tag(place)).collect(),
        part: plan.part,
        prompt: query.prompt,
        answer: query.answer,
        memory: plan.memory.iter().map(|&(place, tokens)| (tag(place), tokens)).collect(),
        gap: want.route.gap,
        short: query.short,
        ..empty_booking(want.service, Stage::Reading)
    };
    book(core, now, targets, booking, plan)
}

fn book<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    now: Instant,
    targets: &[Arc<Target>],
    booking: Booking,
    plan: &Plan,
) -> Place<D, S, C> {
    let short = booking.short || plan.part.is_zero();
    let number = core.books().place(now, booking.clone());
    core.tell(Event::Placed(number, booking));
    let target = |place: usize| targets[place].clone();
    Place {
        core: core.clone(),
        number,
        target: target(plan.first),
        helpers: plan.helpers.iter().map(|&place| target(place)).collect(),
        memory: plan.memory.iter().map(|&(place, tokens)| (target(place), tokens)).collect(),
        short,
        part: plan.part,
        expected: plan.first_token,
        survey: Survey::default(),
        reservations: None,
    }
}
