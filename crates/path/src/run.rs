//! Runs a request: makes attempts until a target answers or the request is refused.

use crate::ask;
use crate::attempt::{self, Failure, OpenResponse, Parameters, Start};
use crate::body::{self, Blocks};
use crate::core::{ActiveRequest, Core, Stage};
use crate::death::{identify_path, identify_request};
use crate::dialect::Dialect;
use crate::drain;
use crate::part;
use crate::place::Place;
use crate::placement::{RejectReason, Rejection};
use crate::refusal::Refusal;
use crate::reply::{self, Reply};
use crate::reservation::Reservations;
use crate::serve::Job;
use crate::silence::Winner;
use crate::stream;
use crate::trial::Trial;
use crate::view::Tag;
use hickory_client::Exchange;
use hickory_policy::part::Part;
use hickory_policy::refuse::{Ran, Reason};
use hickory_policy::resume;
use hickory_policy::stall::Wait;
use hickory_store::store::Store;
use hickory_telemetry::label::Work;
use hickory_telemetry::metrics::InFlightGuard;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use http::{Response, StatusCode};
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request in flight.
#[derive(Debug)]
pub(crate) struct Run<D: Dialect, S: Store, C: Clock> {
    pub(crate) core: Arc<Core<D, S, C>>,
    pub(crate) job: Arc<Job>,
    pub(crate) service: id::Service,
    /// The whole request, which its repetitions share.
    pub(crate) whole: Part,
    /// The requests of the account with the same path and body, whatever their query.
    pub(crate) path: Part,
    /// The parts of the prompt that other prompts may share, the whole request, and its path.
    pub(crate) parts: Vec<Part>,
    pub(crate) work: Work,
    /// The number of sends that count against the route's limit of targets.
    pub(crate) counted_sends: u32,
    pub(crate) unsent_attempts: u32,
    pub(crate) not_run_attempts: u32,
    pub(crate) tried: Vec<Tag>,
    /// Targets that are silent and may still answer.
    pub(crate) silent: Vec<Tag>,
    /// Whether a send was not counted because its target ended or may have.
    pub(crate) has_spared_send: bool,
    /// Whether the request may have run.
    pub(crate) may_have_run: bool,
    /// When the request was last sent to a target.
    pub(crate) sent_at: Instant,
    /// When the target began to write the answer, in the current attempt.
    pub(crate) writing_since: Option<Instant>,
    /// Whether a target crashed under the request, so that an answer doesn't show that it is sound.
    pub(crate) has_crashed_target: bool,
    /// Whether the answer was resumed, so that no target runs all of it.
    pub(crate) was_resumed: bool,
    /// The trial of the request, if it is a suspect.
    pub(crate) trial: Option<Trial<D, S, C>>,
    /// Whether the parts that other prompts may share are known to be sound.
    pub(crate) are_parts_sound: bool,
    /// The ID of the last event that the caller has received.
    pub(crate) resume_after: Option<u64>,
    /// The time from the arrival to the first event.
    pub(crate) first_event_time: Option<Duration>,
    /// Counts the request as in flight until it is dropped.
    _in_flight: InFlightGuard,
    /// The total time that the request waited in queues for a place.
    pub(crate) queue_wait: Duration,
    /// The longest time between two events so far.
    pub(crate) longest_pause: Duration,
    /// When the latest event arrived.
    pub(crate) last_event_at: Option<Instant>,
}

/// Runs a request until the head of its response is available; the rest follows in the response
/// body.
pub(crate) async fn run<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    job: Job,
    active: ActiveRequest<D, S, C>,
) -> Result<Response<Reply>, Refusal> {
    let service = job.route.pick_service(rand::random());
    let service = service.ok_or_else(|| Refusal::new(Reason::NoTarget, "the route has none"))?;
    let service = service.clone();
    let (whole, path) = (identify_request(&job), identify_path(&job));
    let mut parts = part::identify_parts(&service, &job);
    parts.extend([whole, path]);
    let resume_after = job.head.resume_after;
    let work = match (job.route.kind.is_stream(), resume_after) {
        (true, Some(_)) => Work::Resume,
        (true, None) => Work::Completion,
        (false, _) => Work::Service,
    };
    let run = Run {
        core: core.clone(),
        job: Arc::new(job),
        service,
        whole,
        path,
        parts,
        work,
        counted_sends: 0,
        unsent_attempts: 0,
        not_run_attempts: 0,
        tried: Vec::new(),
        silent: Vec::new(),
        has_spared_send: false,
        may_have_run: false,
        sent_at: core.now(),
        writing_since: None,
        has_crashed_target: false,
        was_resumed: resume_after.is_some(),
        trial: None,
        are_parts_sound: false,
        resume_after,
        first_event_time: None,
        _in_flight: core.metrics.begin_request(work),
        queue_wait: Duration::ZERO,
        longest_pause: Duration::ZERO,
        last_event_at: None,
    };
    if let Some(refusal) = run.refuse_quarantined() {
        return Err(refusal);
    }
    core.earn_retry(&run.service);
    match run.job.route.kind.is_stream() {
        true => stream::run(run, active).await,
        false => run.run_buffered().await,
    }
}

impl<D: Dialect, S: Store, C: Clock> Run<D, S, C> {
    /// Runs a request whose answer is buffered and passed on in one piece.
    async fn run_buffered(mut self) -> Result<Response<Reply>, Refusal> {
        loop {
            let (start, place) = self.begin_answer().await?;
            let Start::Head(response) = start else {
                let refusal = Refusal::new(Reason::TargetFailed, "events outside of a stream");
                return Err(refusal.after_possible_run(true));
            };
            self.writing_since = Some(self.core.now());
            match self.read_body(response, &place).await {
                Ok((exchange, keep_alive, body)) => {
                    let status = exchange.head.status;
                    self.note_response(&place, status);
                    if !status.is_server_error() {
                        self.note_complete();
                    }
                    if status.is_server_error() && self.can_retry() && self.spend_retry() {
                        self.log_failed_attempt(&place, &format!("status {status}"));
                        exchange.release(keep_alive);
                        continue;
                    }
                    return self.build_response(exchange, keep_alive, body, &place);
                }
                Err(failure) => self.handle_failure(&place, failure).await?,
            }
        }
    }

    /// Sends the request to targets until one answers. A failed attempt is repeated at another
    /// target if that is allowed.
    pub(crate) async fn begin_answer(&mut self) -> Result<(Start, Place<D, S, C>), Refusal> {
        loop {
            let place = self.choose_place().await?;
            // Parts may have been quarantined since the request arrived or was last sent.
            if let Some(refusal) = self.refuse_quarantined() {
                return Err(refusal);
            }
            // Targets may have crashed under copies of it meanwhile.
            if self.needs_trial() {
                continue;
            }
            // The request may have waited for its place.
            if !self.may_have_run && self.first_event_time.is_none() {
                drain::check_time(&self.core, &self.job)?;
            }
            let time_left = self.time_left();
            if time_left.is_zero() {
                return Err(self.refuse_deadline_exceeded());
            }
            // It is granted again if no other target is left.
            if self.silent.contains(&place.target.tag) {
                let refusal = Refusal::rejected(RejectReason::NoTarget);
                return Err(refusal.after_possible_run(self.may_have_run));
            }
            self.log_placed(&place);
            let reservations = match Reservations::reserve(&self.core, &place).await {
                Ok(reservations) => reservations,
                Err(failure) => {
                    self.counted_sends += 1;
                    self.handle_failure(&place, failure).await?;
                    continue;
                }
            };
            let (core, job) = (self.core.clone(), self.job.clone());
            let helpers = reservations.helpers(&place);
            let parameters = Parameters {
                attempt: &job.head.attempt,
                account: job.account.as_ref().map(|account| &account.name),
                time_left,
                urgency: Some(self.urgency(&place)),
                resume_after: self.resume_after,
                helpers: &helpers,
                names_version: job.head.names_version,
                is_non_repeatable: !job.route.kind.is_repeatable(),
                is_resumed: self.first_event_time.is_some(),
            };
            self.counted_sends += 1;
            self.tried.push(place.target.tag);
            (self.sent_at, self.writing_since) = (self.core.now(), None);
            let outcome = {
                let mut answer = pin!(attempt::begin(&core, &job, &place, &parameters));
                match self.wait_until_stalled(&place, answer.as_mut()).await {
                    Some(outcome) => outcome.map(Winner::Same),
                    None => self.race(&place, answer).await,
                }
            };
            match outcome {
                Ok(Winner::Same(start)) => {
                    return Ok((start, place.with_reservations(reservations)));
                }
                Ok(Winner::Other(other)) => return Ok(*other),
                Err(failure) => self.handle_failure(&place, failure).await?,
            }
        }
    }

    /// Finds a place, and waits in the queue if necessary.
    async fn choose_place(&mut self) -> Result<Place<D, S, C>, Refusal> {
        let began = self.core.now();
        self.wait_for_decision().await?;
        let core = self.core.clone();
        tokio::select! {
            obtained = self.obtain_trial() => obtained?,
            () = core.wait_for_stage(Stage::Interrupting) => {
                return Err(drain::interrupted().after_possible_run(self.may_have_run));
            }
        }
        let tried = self.tried.clone();
        let placed = tokio::select! {
            placed = ask::place(self, &tried) => placed,
            refusal = self.wait_for_quarantine() => return Err(refusal),
            () = self.core.wait_for_stage(Stage::Interrupting) => {
                return Err(drain::interrupted().after_possible_run(self.may_have_run));
            }
        };
        match placed {
            Ok(place) => {
                self.queue_wait += self.core.now().saturating_duration_since(began);
                self.core.metrics.observe_permit_wait(self.queue_wait);
                Ok(place)
            }
            Err(rejection) => Err(self.refuse_placement(rejection, began)),
        }
    }

    /// Returns the urgency at the engine: the caller's priority comes first. Within a priority,
    /// short prompts go first, since they occupy an engine for the least time.
    fn urgency(&self, place: &Place<D, S, C>) -> u8 {
        let priority = self.priority().min(MAX_URGENCY_PRIORITY) as u8;
        priority * 2 + u8::from(!place.helpers.is_empty())
    }

    /// Returns the priority of the caller's account, which goes before that of the route.
    pub(crate) fn priority(&self) -> u32 {
        let priority = self.job.account.as_ref().and_then(|account| account.priority);
        priority.unwrap_or(self.job.route.priority)
    }

    fn refuse_placement(&self, rejection: Rejection, began: Instant) -> Refusal {
        let queue_wait = self.queue_wait + self.core.now().saturating_duration_since(began);
        let decision_context = self.decision_context(queue_wait, rejection.survey);
        Refusal {
            decision_context: Some(Box::new(decision_context)),
            ..Refusal::rejected(rejection.reason).after_possible_run(self.may_have_run)
        }
    }

    pub(crate) fn refuse_deadline_exceeded(&self) -> Refusal {
        Refusal::deadline_exceeded(self.may_have_run)
    }

    /// Returns when the next token is due.
    pub(crate) fn next_token_due(&self) -> Instant {
        match self.first_event_time {
            Some(_) => resume::resume_deadline(
                self.core.now(),
                self.job.route.event_gap_goal,
                self.job.deadline,
            ),
            None => self.job.arrived + self.job.route.goal,
        }
    }

    /// Returns the time since the latest event.
    pub(crate) fn pause(&self) -> Duration {
        let last_event_at = self.last_event_at;
        last_event_at.map_or(Duration::ZERO, |at| self.core.now().saturating_duration_since(at))
    }

    /// Returns when the caller gives up on a first event.
    pub(crate) fn first_event_deadline(&self) -> Instant {
        let caller_timeout =
            self.job.route.abandonment_timeout().filter(|_| self.first_event_time.is_none());
        let deadline = caller_timeout.map(|timeout| self.job.arrived + timeout);
        deadline.map_or(self.job.deadline, |at| at.min(self.job.deadline))
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.job.deadline.saturating_duration_since(self.core.now())
    }

    /// Waits for the beginning of an answer until the deadline; returns `None` if another target is
    /// to be tried before.
    async fn wait_until_stalled(
        &self,
        place: &Place<D, S, C>,
        mut answer: Pin<&mut impl Future<Output = Result<Start, Failure>>>,
    ) -> Option<Result<Start, Failure>> {
        let wait = Wait {
            expected_time: place.expected_time,
            goal: self.job.route.goal,
            is_patient: self.job.route.is_patient(),
            time_left: self.time_left(),
        };
        if let Some(stall_timeout) = wait.stall_timeout() {
            if let Ok(outcome) = tokio::time::timeout(stall_timeout, answer.as_mut()).await {
                return Some(outcome);
            }
            if self.spend_retry_for_silent() {
                return None;
            }
        }
        let outcome = tokio::time::timeout(self.time_left(), answer).await;
        Some(outcome.unwrap_or(Err(Failure::DeadlineExceeded)))
    }

    /// Decides whether to try another target beside a silent one, and spends a retry if so.
    pub(crate) fn spend_retry_for_silent(&self) -> bool {
        self.can_retry() && self.spend_retry()
    }

    /// Returns whether a request that may have run may be sent to a further target.
    pub(crate) fn can_retry(&self) -> bool {
        self.job.route.kind.is_repeatable() && self.counted_sends < self.job.route.max_targets
    }

    pub(crate) fn spend_retry(&self) -> bool {
        let spent = self.core.spend_retry(&self.service);
        if !spent {
            log::warn!(request = self.job.head.attempt.as_str(); "no repeat left to spend");
        }
        spent
    }

    pub(crate) fn age(&self) -> Duration {
        self.core.now().saturating_duration_since(self.job.arrived)
    }

    /// Records that a target responded with this status.
    pub(crate) fn note_response(&self, place: &Place<D, S, C>, status: StatusCode) {
        place.note_outcome(!status.is_server_error());
    }

    /// Reads the body of a target's response. On failure its connection is closed.
    pub(crate) async fn read_body(
        &self,
        response: OpenResponse,
        place: &Place<D, S, C>,
    ) -> Result<(Exchange, Option<Duration>, Blocks), Failure> {
        let OpenResponse { mut exchange, head } = response;
        let relay = exchange.relay();
        let bound = self.core.bounds().sizes.max_body;
        let body = body::read(&mut exchange.body, bound, &self.job.holder);
        match tokio::time::timeout(self.time_left(), body).await {
            Ok(Ok(body)) => Ok((exchange, head.keep_alive, body)),
            Ok(Err(body::Error::TooLong)) => Err(Failure::InvalidAnswer("its body is too long")),
            Ok(Err(body::Error::Broken(error))) => {
                let failure = Failure::broken(&error);
                failure.note_relay(&self.core, &place.target, relay);
                Err(failure)
            }
            Err(_) => Err(Failure::DeadlineExceeded),
        }
    }

    /// Builds the caller's response from a target's buffered response.
    pub(crate) fn build_response(
        &self,
        mut exchange: Exchange,
        keep_alive: Option<Duration>,
        body: Blocks,
        place: &Place<D, S, C>,
    ) -> Result<Response<Reply>, Refusal> {
        let status = exchange.head.status;
        let implies_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if implies_not_run && !self.job.route.kind.is_repeatable() {
            // The target didn't state that the request was not run, but the status would imply it.
            let detail = format!("target said {status} and not whether it ran");
            let refusal = Refusal::new(Reason::TargetFailed, detail);
            return Err(Refusal { ran: Ran::Unknown, ..refusal });
        }
        self.log_answered(place, status);
        let mut head = take_head(&mut exchange);
        exchange.release(keep_alive);
        D::strip_connection_headers(&mut head.headers);
        Ok(reply::with_head(head, body))
    }
}

/// The numerically largest priority that engines distinguish. With two urgencies for each, these
/// are the ten urgencies of an engine.
const MAX_URGENCY_PRIORITY: u32 = 4;

/// Takes the head out of an exchange.
pub(crate) fn take_head(exchange: &mut Exchange) -> http::response::Parts {
    let mut head = Response::new(()).into_parts().0;
    head.status = exchange.head.status;
    head.headers = std::mem::take(&mut exchange.head.headers);
    head
}
