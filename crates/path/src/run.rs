//! Running a request: attempts until there is an answer, or it is given up on.

use crate::ask;
use crate::attempt::{self, Failure, Opened, Terms};
use crate::core::{Active, Core};
use crate::death::{look_for_death, read_fingerprint};
use crate::dialect::Dialect;
use crate::place::Place;
use crate::placement::Unplaced;
use crate::refusal::{NO_TARGET_RETRY, Refusal};
use crate::reply::{self, Reply};
use crate::reservation::Reservations;
use crate::serve::Job;
use crate::stream;
use crate::view::Tag;
use bytes::Bytes;
use hickory_client::Exchange;
use hickory_policy::poison::Verdict;
use hickory_policy::refuse::{Ran, Reason};
use hickory_policy::resume;
use hickory_store::store::Store;
use hickory_telemetry::label::Work;
use hickory_telemetry::metrics::Guard;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Targets that may say that they won't run a request, or engines that won't read
/// parts of it, which does not count as sendings.
const NOT_RUN_MAX: u32 = 4;

/// Targets that may turn out to be gone before the request reached any. They cost it
/// a few milliseconds each, and the targets of a whole zone may be gone together.
const UNSENT_MAX: u32 = 24;

/// When to come back after targets that say they are full.
const FULL_RETRY: Duration = Duration::from_millis(150);

/// A request under way.
#[derive(Debug)]
pub(crate) struct Run<D: Dialect, S: Store, C: Clock> {
    pub(crate) core: Arc<Core<D, S, C>>,
    pub(crate) job: Job,
    pub(crate) service: id::Service,
    fingerprint: u64,
    pub(crate) work: Work,
    /// Targets that were sent the request.
    pub(crate) sends: u32,
    unsent: u32,
    not_run: u32,
    tried: Vec<Tag>,
    /// Whether a target died under it that does not count as a sending.
    survived_death: bool,
    /// Whether it may have run.
    ran: bool,
    /// The last event that the caller has.
    pub(crate) resume_after: Option<u64>,
    /// When the first event came, counted from the arrival.
    pub(crate) first_event: Option<Duration>,
    /// Counts it as admitted while it lives.
    _admitted: Guard,
    /// How long it waited for its turn.
    pub(crate) waited: Duration,
    /// The longest pause between two events so far.
    pub(crate) longest_pause: Duration,
}

/// Runs a request to the head of its answer; the rest follows in the answer's
/// body.
pub(crate) async fn run<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    job: Job,
    active: Active<D, S, C>,
) -> Result<Response<Reply>, Refusal> {
    let service = job.route.pick_service(rand::random());
    let service = service.ok_or_else(|| Refusal::new(Reason::NoTarget, "the route has none"))?;
    let (service, fingerprint) = (service.clone(), read_fingerprint(&job));
    let verdict = core.suspects().verdict(core.now(), fingerprint);
    if verdict == Verdict::Quarantined {
        // It has not run this time, and a caller who comes back is told again.
        let refusal = Refusal::new(Reason::Quarantined, "it crashed the targets that ran it");
        return Err(refusal.with_status(StatusCode::SERVICE_UNAVAILABLE));
    }
    core.earn_repeat(&service);
    let resume_after = job.demand.resume_after;
    let work = match (job.route.kind.is_stream(), resume_after) {
        (true, Some(_)) => Work::Resume,
        (true, None) => Work::Completion,
        (false, _) => Work::Service,
    };
    let run = Run {
        core: core.clone(),
        job,
        service,
        fingerprint,
        work,
        sends: 0,
        unsent: 0,
        not_run: 0,
        tried: Vec::new(),
        survived_death: false,
        ran: false,
        resume_after,
        first_event: None,
        _admitted: core.metrics.begin(work),
        waited: Duration::ZERO,
        longest_pause: Duration::ZERO,
    };
    match run.job.route.kind.is_stream() {
        true => stream::run(run, active).await,
        false => run.whole().await,
    }
}

impl<D: Dialect, S: Store, C: Clock> Run<D, S, C> {
    /// Runs a request whose answer is passed on whole.
    async fn whole(mut self) -> Result<Response<Reply>, Refusal> {
        loop {
            let (opened, place) = self.open().await?;
            match self.read_whole(opened).await {
                Ok((exchange, keep, body)) => {
                    let status = exchange.head.status;
                    self.note_answer(&place, status);
                    if status.is_server_error() && self.may_repeat() && self.spend() {
                        self.log_repeat(&place, &format!("status {status}"));
                        exchange.keep(keep);
                        continue;
                    }
                    return self.deliver(exchange, keep, body, &place);
                }
                Err(failure) => self.settle(&place, failure).await?,
            }
        }
    }

    /// Sends to targets until one answers; what fails is tried elsewhere where
    /// that is allowed.
    pub(crate) async fn open(&mut self) -> Result<(Opened, Place<D, S, C>), Refusal> {
        loop {
            let place = self.choose().await?;
            let time_left = self.time_left();
            if time_left.is_zero() {
                return Err(self.refuse_late());
            }
            self.log_placed(&place);
            let reservations = match Reservations::reserve(&self.core, &place).await {
                Ok(reservations) => reservations,
                Err(failure) => {
                    self.sends += 1;
                    self.settle(&place, failure).await?;
                    continue;
                }
            };
            let helpers = reservations.helpers(&place);
            let terms = Terms {
                attempt: &self.job.demand.attempt,
                account: self.job.account.as_ref().map(|account| &account.name),
                time_left,
                urgency: Some(self.urgency(&place)),
                resume_after: self.resume_after,
                helpers: &helpers,
                once: !self.job.route.kind.is_repeatable(),
            };
            self.sends += 1;
            self.tried.push(place.target.tag);
            let sent = attempt::send(&self.core, &self.job.message, &place, &terms);
            match self.wait_first(&place, sent).await {
                Ok(opened) => return Ok((opened, place.with_reservations(reservations))),
                Err(failure) => self.settle(&place, failure).await?,
            }
        }
    }

    /// Finds a place, and waits for its turn where it has to.
    async fn choose(&mut self) -> Result<Place<D, S, C>, Refusal> {
        let began = self.core.now();
        let tried = self.tried.clone();
        match ask::place(self, &tried).await {
            Ok(place) => {
                self.waited += self.core.now().saturating_duration_since(began);
                self.core.metrics.permit_waited(self.waited);
                Ok(place)
            }
            Err(unplaced) => Err(self.refuse_unplaced(unplaced, began)),
        }
    }

    /// The urgency at the engine: the caller's rank first, and of one rank the
    /// short prompts, which hold a place for the least time.
    fn urgency(&self, place: &Place<D, S, C>) -> u8 {
        let rank = self.job.account.as_ref().and_then(|account| account.priority);
        let rank = rank.unwrap_or(self.job.route.priority).min(URGENCY_RANKS) as u8;
        rank * 2 + u8::from(!place.helpers.is_empty())
    }

    fn refuse_unplaced(&self, unplaced: Unplaced, began: Instant) -> Refusal {
        let waited = self.waited + self.core.now().saturating_duration_since(began);
        let known = self.known(waited, unplaced.survey);
        Refusal {
            known: Some(Box::new(known)),
            ..Refusal::unplaced(unplaced.why).after_run(self.ran)
        }
    }

    fn refuse_late(&self) -> Refusal {
        Refusal::late(self.ran)
    }

    /// When its next token is wanted.
    pub(crate) fn due(&self) -> Instant {
        match self.first_event {
            Some(_) => {
                resume::resume_deadline(self.core.now(), self.job.route.gap, self.job.deadline)
            }
            None => self.job.arrived + self.job.route.goal,
        }
    }

    /// When the caller gives up on a first event.
    pub(crate) fn first_deadline(&self) -> Instant {
        let patience = self.job.route.patience().filter(|_| self.first_event.is_none());
        let gives_up = patience.map(|patience| self.job.arrived + patience);
        gives_up.map_or(self.job.deadline, |at| at.min(self.job.deadline))
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.job.deadline.saturating_duration_since(self.core.now())
    }

    /// Waits for a target's first word, until the deadline or until another
    /// target is to be tried.
    pub(crate) async fn wait_first<T>(
        &self,
        place: &Place<D, S, C>,
        first: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        let stalled = (place.expected * 3 + self.job.route.goal).max(FIRST_LEAST);
        let mut first = std::pin::pin!(first);
        if stalled + self.job.route.goal < self.time_left() {
            if let Ok(first) = tokio::time::timeout(stalled, &mut first).await {
                return first;
            }
            if self.may_leave() {
                return Err(Failure::Stalled);
            }
        }
        let left = self.time_left();
        tokio::time::timeout(left, first).await.unwrap_or(Err(Failure::Late))
    }

    /// Whether a target that says nothing is to be left for another one; takes
    /// a repeat for it. Where that can't be, the silence is waited out: the
    /// target may go on, and an answer that is ended for its silence is lost.
    pub(crate) fn may_leave(&self) -> bool {
        self.may_repeat() && self.spend()
    }

    /// Takes a failed attempt in: an error ends the request.
    pub(crate) async fn settle(
        &mut self,
        place: &Place<D, S, C>,
        failure: Failure,
    ) -> Result<(), Refusal> {
        let other = place.find_at_fault(&failure);
        match other {
            Some(tag) => self.note_shut(place, tag, &failure),
            None if matches!(failure, Failure::Down) => {
                place.note_down();
                self.log_repeat(place, &failure.to_string());
            }
            None => self.note_failure(place, &failure),
        }
        self.core.metrics.retried(failure.reason());
        match failure {
            Failure::Down | Failure::NotSent(_) | Failure::NotReserved { .. } => {
                self.sends -= 1;
                self.unsent += 1;
                if self.unsent > UNSENT_MAX {
                    let refusal =
                        Refusal::new(Reason::NoTarget, failure.to_string()).after(NO_TARGET_RETRY);
                    return Err(refusal.after_run(self.ran));
                }
                return Ok(());
            }
            Failure::NotRun { status, .. } => {
                // No target but the one at fault is known to be unable to run it.
                let counts = status != StatusCode::MISDIRECTED_REQUEST && other.is_none();
                self.sends -= u32::from(!counts);
                self.not_run += 1;
                if self.sends < self.job.route.targets_max
                    && self.not_run <= NOT_RUN_MAX
                    && self.spend()
                {
                    return Ok(());
                }
                let refusal = Refusal::new(Reason::Overloaded, format!("target said {status}"))
                    .with_status(StatusCode::SERVICE_UNAVAILABLE)
                    .after(FULL_RETRY);
                return Err(refusal.after_run(self.ran));
            }
            Failure::Stalled => {
                self.ran = true;
                return Ok(());
            }
            Failure::Unknown(_) => self.count_death(place).await?,
            Failure::Spoiled(_) | Failure::Late => {}
        }
        self.ran = true;
        if self.time_left().is_zero() {
            return Err(self.refuse_late());
        }
        match self.may_repeat() && self.spend() {
            true => Ok(()),
            false => {
                let refusal = Refusal::new(Reason::TargetFailed, failure.to_string());
                Err(Refusal { ran: Ran::Unknown, ..refusal })
            }
        }
    }

    /// Looks whether a target died. One that did is not among those that the request
    /// may run on; a request that targets die under again and again is ended.
    async fn count_death(&mut self, place: &Place<D, S, C>) -> Result<(), Refusal> {
        if !look_for_death(&self.core, &place.target, self.fingerprint).await {
            return Ok(());
        }
        place.note_down();
        if self.core.suspects().verdict(self.core.now(), self.fingerprint) == Verdict::Quarantined {
            let refusal = Refusal::new(Reason::Quarantined, "it crashed the targets that ran it");
            return Err(Refusal { ran: Ran::Unknown, ..refusal });
        }
        if !std::mem::replace(&mut self.survived_death, true) {
            self.sends -= 1;
        }
        Ok(())
    }

    /// Whether a further target may be sent what may have run.
    pub(crate) fn may_repeat(&self) -> bool {
        self.job.route.kind.is_repeatable() && self.sends < self.job.route.targets_max
    }

    pub(crate) fn spend(&self) -> bool {
        let spent = self.core.spend_repeat(&self.service);
        if !spent {
            log::warn!(request = self.job.demand.attempt.as_str(); "no repeat left to spend");
        }
        spent
    }

    fn note_failure(&self, place: &Place<D, S, C>, failure: &Failure) {
        place.note_outcome(false);
        self.log_repeat(place, &failure.to_string());
    }

    pub(crate) fn age(&self) -> Duration {
        self.core.now().saturating_duration_since(self.job.arrived)
    }

    /// Notes that another engine than the first kept a prompt from being read: the
    /// first is as good as before.
    fn note_shut(&mut self, place: &Place<D, S, C>, tag: Tag, failure: &Failure) {
        self.tried.retain(|tried| *tried != place.target.tag);
        self.tried.push(tag);
        place.note_shut(tag);
        self.log_repeat(place, &failure.to_string());
    }

    /// Notes that a target answered with this status.
    pub(crate) fn note_answer(&self, place: &Place<D, S, C>, status: StatusCode) {
        place.note_outcome(!status.is_server_error());
        self.core.suspects().record_success(self.core.now(), self.fingerprint);
    }

    async fn read_whole(
        &self,
        opened: Opened,
    ) -> Result<(Exchange, Option<Duration>, Bytes), Failure> {
        let Opened { mut exchange, answer } = opened;
        let body = tokio::time::timeout(self.time_left(), (&mut exchange.body).collect()).await;
        match body {
            Ok(Ok(body)) => Ok((exchange, answer.keep, body.to_bytes())),
            Ok(Err(error)) => Err(Failure::Unknown(error.to_string())),
            Err(_) => Err(Failure::Late),
        }
    }

    /// The answer of a target as the caller gets it.
    pub(crate) fn deliver(
        &self,
        mut exchange: Exchange,
        keep: Option<Duration>,
        body: Bytes,
        place: &Place<D, S, C>,
    ) -> Result<Response<Reply>, Refusal> {
        let status = exchange.head.status;
        let is_promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if is_promise && !self.job.route.kind.is_repeatable() {
            // The target doesn't say that it has not run, and the status would.
            let detail = format!("target said {status} and not whether it ran");
            let refusal = Refusal::new(Reason::TargetFailed, detail);
            return Err(Refusal { ran: Ran::Unknown, ..refusal });
        }
        self.log_end(place, status);
        let mut head = take_head(&mut exchange);
        exchange.keep(keep);
        D::strip_answer(&mut head.headers);
        Ok(reply::whole(head, body))
    }
}

/// Ranks that are told apart at an engine, of which two urgencies each fit
/// into ten.
const URGENCY_RANKS: u32 = 4;

/// The least time that a target is given for its first word where another may
/// be tried: shorter silences are passes of a busy engine.
const FIRST_LEAST: Duration = Duration::from_millis(700);

/// Takes the head out of an exchange.
pub(crate) fn take_head(exchange: &mut Exchange) -> http::response::Parts {
    let mut head = Response::new(()).into_parts().0;
    head.status = exchange.head.status;
    head.headers = std::mem::take(&mut exchange.head.headers);
    head
}
