//! Relays event streams as complete events arrive, and resumes an interrupted stream at another
//! target.

use crate::attempt::{Failure, OpenResponse, Start};
use crate::core::{ActiveRequest, Stage};
use crate::dialect::Dialect;
use crate::event;
use crate::holding::{Hold, Holder};
use crate::place::Place;
use crate::refusal::Refusal;
use crate::reply::{Part, Reply};
use crate::run::{Run, take_head};
use crate::silence::Winner;
use bytes::Bytes;
use hickory_client::Exchange;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::size;
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::mpsc;

/// The number of chunks buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 4;

/// A stream counts as stalled if the gap after an event exceeds this multiple of the route's goal
/// for gaps. Callers give up after eight times that goal.
const STALL_GAP_MULTIPLE: u32 = 4;

/// The minimum silence after which a stream counts as stalled. Callers give up after two seconds at
/// the earliest.
const MIN_STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Complete events that arrived together.
#[derive(Debug)]
pub(crate) struct Chunk {
    bytes: Bytes,
    first_id: Option<u64>,
    last_id: Option<u64>,
}

/// The next item of a stream.
#[derive(Debug)]
pub(crate) enum Next {
    Chunk(Chunk),
    /// The target ended the stream.
    End,
}

/// Reads complete events from a target.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) exchange: Exchange,
    keep_alive: Option<Duration>,
    buffer: event::Buffer,
    /// Counts the buffer.
    hold: Hold,
    holder: Holder,
    /// Whether the end of the body is no end of the stream.
    needs_event: bool,
}

impl Reader {
    pub(crate) fn open(
        response: OpenResponse,
        resume_after: Option<u64>,
        max_event: size::Bytes,
        holder: &Holder,
    ) -> Self {
        let OpenResponse { exchange, head } = response;
        let is_framed = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING]
            .iter()
            .any(|name| exchange.head.headers.contains_key(name));
        // Without framing, an engine that crashed before its first event looks like the end.
        let needs_event = !is_framed && resume_after.is_none();
        Self {
            exchange,
            keep_alive: head.keep_alive,
            buffer: event::Buffer::new(max_event),
            hold: holder.hold(),
            holder: holder.clone(),
            needs_event,
        }
    }

    pub(crate) async fn next(&mut self) -> Result<Next, Failure> {
        loop {
            match self.exchange.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let too_long = |_| Failure::InvalidAnswer("an event is too long");
                    let complete = self.buffer.push(&data).map_err(too_long)?;
                    self.hold.set(self.buffer.len());
                    if let Some(bytes) = complete {
                        let (first_id, last_id) = parse_event_ids(&bytes);
                        self.needs_event = false;
                        let bytes = self.holder.hold_bytes(bytes);
                        return Ok(Next::Chunk(Chunk { bytes, first_id, last_id }));
                    }
                }
                Some(Err(error)) => return Err(Failure::broken(&error)),
                None if self.needs_event && self.buffer.is_empty() => {
                    return Err(Failure::closed("ended before its first event"));
                }
                None if self.buffer.is_empty() => return Ok(Next::End),
                None => return Err(Failure::closed("ended within an event")),
            }
        }
    }
}

/// Returns the IDs of the first and the last event.
fn parse_event_ids(events: &[u8]) -> (Option<u64>, Option<u64>) {
    let mut ids = events.split(|&byte| byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    });
    let first = ids.next();
    let last = ids.next_back().or(first);
    (first, last)
}

/// Runs a stream until its first event; the rest follows in the response body.
pub(crate) async fn run<D: Dialect, S: Store, C: Clock>(
    mut run: Run<D, S, C>,
    active: ActiveRequest<D, S, C>,
) -> Result<Response<Reply>, Refusal> {
    loop {
        let (start, place) = run.begin_answer().await?;
        let (mut reader, first) = match start {
            Start::Events(reader, first) => (reader, first),
            Start::Head(response) => match deliver_error(&mut run, response, &place).await {
                Some(answer) => return answer,
                None => continue,
            },
        };
        place.begin_decode();
        run.writing_since = Some(run.core.now());
        run.first_event_time = Some(run.age());
        if let Some(prompt) = run.job.head.prompt {
            run.core.metrics.observe_first_token(prompt.tokens, run.age());
        }
        let mut head = take_head(&mut reader.exchange);
        D::strip_connection_headers(&mut head.headers);
        // The length changes if another target resumes the stream.
        head.headers.remove(header::CONTENT_LENGTH);
        let (out, events) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let relay = Relay { run, out, active };
        tokio::spawn(relay.run(reader, place, first));
        return Ok(Response::from_parts(head, Reply::Events(events)));
    }
}

/// Passes a target's error response on, unless another target may be tried.
async fn deliver_error<D: Dialect, S: Store, C: Clock>(
    run: &mut Run<D, S, C>,
    response: OpenResponse,
    place: &Place<D, S, C>,
) -> Option<Result<Response<Reply>, Refusal>> {
    let status = response.exchange.head.status;
    run.note_response(place, status);
    if status.is_server_error() && run.can_retry() && run.spend_retry() {
        run.log_failed_attempt(place, &format!("status {status}"));
        return None;
    }
    match run.read_body(response, place).await {
        Ok((exchange, keep_alive, body)) => {
            Some(run.build_response(exchange, keep_alive, body, place))
        }
        Err(failure) => run.handle_failure(place, failure).await.err().map(Err),
    }
}

/// A stream that is being relayed to a caller.
struct Relay<D: Dialect, S: Store, C: Clock> {
    run: Run<D, S, C>,
    /// The caller's response. Dropping it without an end interrupts the response.
    out: mpsc::Sender<Part>,
    /// Counts the request as in flight until the stream ends.
    active: ActiveRequest<D, S, C>,
}

/// How reading from one target ended.
enum End<D: Dialect, S: Store, C: Clock> {
    /// The stream is complete.
    Complete,
    /// The caller closed the connection.
    CallerGone,
    /// The deadline passed.
    DeadlineExceeded,
    /// The grace period of a planned stop ended.
    Stopped,
    /// The target was silent, and another one goes on.
    Replaced(Box<Resumed<D, S, C>>),
    /// The target failed.
    Failed(Failure),
}

/// A stream that another target goes on with.
struct Resumed<D: Dialect, S: Store, C: Clock> {
    reader: Reader,
    place: Place<D, S, C>,
    first: Next,
}

impl<D: Dialect, S: Store, C: Clock> Resumed<D, S, C> {
    fn new(start: Start, place: Place<D, S, C>) -> Result<Self, Failure> {
        match start {
            Start::Events(reader, first) => Ok(Self { reader, place, first }),
            Start::Head(_) => Err(Failure::InvalidAnswer("it failed the resume")),
        }
    }
}

impl<D: Dialect, S: Store, C: Clock> Relay<D, S, C> {
    async fn run(mut self, mut reader: Reader, mut place: Place<D, S, C>, first: Next) {
        let (core, mut next) = (self.run.core.clone(), first);
        loop {
            let end = tokio::select! {
                end = self.relay_from(&mut reader, &place, next) => end,
                () = core.wait_for_stage(Stage::Interrupting) => End::Stopped,
            };
            let resumed = match end {
                End::Complete => {
                    self.run.note_complete();
                    self.run.note_response(&place, StatusCode::OK);
                    self.run.log_answered(&place, StatusCode::OK);
                    reader.exchange.release(reader.keep_alive);
                    // Sending fails if the caller has closed the connection.
                    let _ = self.out.send(Part::End).await;
                    break;
                }
                End::CallerGone => {
                    self.log(&place, "the caller is gone");
                    break;
                }
                End::DeadlineExceeded => {
                    self.log(&place, "the deadline passed within the stream");
                    break;
                }
                End::Stopped => {
                    self.log_interrupted(&place);
                    break;
                }
                End::Replaced(resumed) => Some(*resumed),
                End::Failed(failure) => {
                    failure.note_relay(&core, &place.target, reader.exchange.relay());
                    let out = self.out.clone();
                    tokio::select! {
                        resumed = self.resume_elsewhere(&place, failure) => resumed,
                        () = out.closed() => None,
                        () = core.wait_for_stage(Stage::Interrupting) => {
                            self.log_interrupted(&place);
                            None
                        }
                    }
                }
            };
            let Some(resumed) = resumed else { break };
            Resumed { reader, place, first: next } = resumed;
            place.begin_decode();
            self.run.writing_since = Some(self.run.core.now());
            self.run.was_resumed = true;
        }
        drop(self.active);
    }

    /// Logs and counts that the planned stop of this node interrupts the stream.
    fn log_interrupted(&self, place: &Place<D, S, C>) {
        self.run.core.metrics.count_stop_interruption();
        self.log(place, "interrupted by the stop of this node");
    }

    fn log(&self, place: &Place<D, S, C>, what: &str) {
        log::info!(
            request = self.run.job.head.attempt.as_str(),
            route = self.run.job.route.name.as_str(),
            target_id = place.target.id.as_str(),
            prompt = self.run.job.head.prompt.map_or(0, |prompt| prompt.tokens.0),
            last_event = self.run.resume_after.unwrap_or_default(),
            age_ms = self.run.age().as_millis() as u64;
            "{what}"
        );
    }

    /// Relays events from one target.
    async fn relay_from(
        &mut self,
        reader: &mut Reader,
        place: &Place<D, S, C>,
        first: Next,
    ) -> End<D, S, C> {
        let mut next = first;
        loop {
            self.run.note_written();
            self.run.longest_pause = self.run.longest_pause.max(self.run.pause());
            self.run.last_event_at = Some(self.run.core.now());
            let chunk = match next {
                Next::Chunk(chunk) => chunk,
                Next::End => return End::Complete,
            };
            if let (Some(first), Some(last)) = (chunk.first_id, self.run.resume_after)
                && first != last + 1
            {
                return End::Failed(Failure::InvalidAnswer("its events don't follow on"));
            }
            if self.out.send(Part::Events(chunk.bytes)).await.is_err() {
                return End::CallerGone;
            }
            self.run.resume_after = chunk.last_id.or(self.run.resume_after);
            next = match self.read_next(reader, place).await {
                Ok(next) => next,
                Err(end) => return end,
            };
        }
    }

    async fn read_next(
        &mut self,
        reader: &mut Reader,
        place: &Place<D, S, C>,
    ) -> Result<Next, End<D, S, C>> {
        let max_gap = self.run.job.route.event_gap_goal.unwrap_or(MIN_STREAM_STALL_TIMEOUT);
        let mut stall_timeout = Some((max_gap * STALL_GAP_MULTIPLE).max(MIN_STREAM_STALL_TIMEOUT));
        loop {
            let left = self.run.time_left();
            let limit = stall_timeout.map_or(left, |stall_timeout| left.min(stall_timeout));
            tokio::select! {
                next = reader.next() => return next.map_err(End::Failed),
                () = self.out.closed() => return Err(End::CallerGone),
                () = tokio::time::sleep(limit) => {}
            }
            if limit == left {
                return Err(End::DeadlineExceeded);
            }
            if self.run.spend_retry_for_silent() {
                return self.race(reader, place).await;
            }
            stall_timeout = None;
        }
    }

    /// Waits for the next events of a silent target, and tries other targets meanwhile.
    async fn race(
        &mut self,
        reader: &mut Reader,
        place: &Place<D, S, C>,
    ) -> Result<Next, End<D, S, C>> {
        let next = pin!(reader.next());
        let winner = tokio::select! {
            winner = self.run.race(place, next) => winner,
            () = self.out.closed() => return Err(End::CallerGone),
        };
        match winner {
            Ok(Winner::Same(next)) => Ok(next),
            Ok(Winner::Other(other)) => {
                let (start, place) = *other;
                let resumed = Resumed::new(start, place).map(Box::new);
                Err(resumed.map_or_else(End::Failed, End::Replaced))
            }
            Err(Failure::DeadlineExceeded) => Err(End::DeadlineExceeded),
            Err(failure) => Err(End::Failed(failure)),
        }
    }

    /// Resumes the stream at another target.
    async fn resume_elsewhere(
        &mut self,
        place: &Place<D, S, C>,
        failure: Failure,
    ) -> Option<Resumed<D, S, C>> {
        let started = match self.run.handle_failure(place, failure).await {
            Ok(()) => self.run.begin_answer().await,
            Err(refusal) => Err(refusal),
        };
        match started {
            Ok((start, place)) => Resumed::new(start, place).ok(),
            Err(refusal) => {
                self.log(place, &format!("given up on: {}", refusal.detail));
                None
            }
        }
    }
}
