//! Streams of events: relayed as they arrive, whole events only, and taken up
//! at another target where one breaks off.

use crate::attempt::{Failure, Opened};
use crate::core::Active;
use crate::dialect::Dialect;
use crate::place::Place;
use crate::refusal::Refusal;
use crate::reply::{Broken, Reply};
use crate::run::{Run, take_head};
use bytes::{Bytes, BytesMut};
use hickory_client::Exchange;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::sync::mpsc;

/// Events written ahead of a slow caller.
const EVENTS_AHEAD: usize = 4;

/// Pauses at which a stream counts as stalled, as a multiple of the longest
/// wanted one. Callers give up at eight.
const STALLED_PAUSES: u32 = 4;

/// The least pause at which a stream counts as stalled. Callers give up at two
/// seconds at the earliest.
const STALLED_LEAST: Duration = Duration::from_millis(1_000);

/// Whole events as they arrive.
#[derive(Debug)]
struct Chunk {
    bytes: Bytes,
    first: Option<u64>,
    last: Option<u64>,
}

/// What comes next of a stream.
#[derive(Debug)]
enum Next {
    Chunk(Chunk),
    /// The target ended it.
    End,
}

/// Reads whole events from a target.
#[derive(Debug)]
struct Reader {
    exchange: Exchange,
    keep: Option<Duration>,
    buffer: BytesMut,
}

impl Reader {
    fn open(opened: Opened) -> Self {
        let Opened { exchange, answer } = opened;
        Self { exchange, keep: answer.keep, buffer: BytesMut::new() }
    }

    async fn next(&mut self) -> Result<Next, Failure> {
        loop {
            if let Some(end) = find_last_end(&self.buffer) {
                let bytes = self.buffer.split_to(end).freeze();
                let (first, last) = read_ids(&bytes);
                return Ok(Next::Chunk(Chunk { bytes, first, last }));
            }
            match self.exchange.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(Failure::Unknown(error.to_string())),
                None if self.buffer.is_empty() => return Ok(Next::End),
                None => return Err(Failure::Unknown("ended within an event".into())),
            }
        }
    }
}

/// The end of the last whole event.
fn find_last_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2)
}

/// The ids of the first and last event.
fn read_ids(events: &[u8]) -> (Option<u64>, Option<u64>) {
    let mut ids = events.split(|&byte| byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    });
    let first = ids.next();
    let last = ids.next_back().or(first);
    (first, last)
}

/// Runs a stream to its first event; the rest follows in the answer's body.
pub(crate) async fn run<D: Dialect, S: Store, C: Clock>(
    mut run: Run<D, S, C>,
    active: Active<D, S, C>,
) -> Result<Response<Reply>, Refusal> {
    loop {
        let (opened, place) = run.open().await?;
        let status = opened.exchange.head.status;
        if !status.is_success() {
            match deliver_failure(&mut run, opened, &place, status).await {
                Some(answer) => return answer,
                None => continue,
            }
        }
        let mut reader = Reader::open(opened);
        let first = match run.wait_first(&place, reader.next()).await {
            Ok(first) => first,
            Err(failure) => {
                run.settle(&place, failure).await?;
                continue;
            }
        };
        place.begin_writing();
        run.first_event = Some(run.age());
        if let Some(prompt) = run.job.demand.prompt {
            run.core.metrics.first_token(prompt.tokens, run.age());
        }
        let mut head = take_head(&mut reader.exchange);
        D::strip_answer(&mut head.headers);
        // A stream that another target takes up has another length.
        head.headers.remove(header::CONTENT_LENGTH);
        let (out, events) = mpsc::channel(EVENTS_AHEAD);
        let relay = Relay { run, out, active };
        tokio::spawn(relay.run(reader, place, first));
        return Ok(Response::from_parts(head, Reply::Events(events)));
    }
}

/// Passes a target's failure on, unless another target may be tried.
async fn deliver_failure<D: Dialect, S: Store, C: Clock>(
    run: &mut Run<D, S, C>,
    opened: Opened,
    place: &Place<D, S, C>,
    status: StatusCode,
) -> Option<Result<Response<Reply>, Refusal>> {
    run.note_answer(place, status);
    if status.is_server_error() && run.may_repeat() && run.spend() {
        run.log_repeat(place, &format!("status {status}"));
        return None;
    }
    let Opened { mut exchange, answer } = opened;
    let body = tokio::time::timeout(run.time_left(), (&mut exchange.body).collect()).await;
    match body {
        Ok(Ok(body)) => Some(run.deliver(exchange, answer.keep, body.to_bytes(), place)),
        Ok(Err(error)) => {
            let failure = Failure::Unknown(error.to_string());
            run.settle(place, failure).await.err().map(Err)
        }
        Err(_) => run.settle(place, Failure::Late).await.err().map(Err),
    }
}

/// A stream on its way to a caller.
struct Relay<D: Dialect, S: Store, C: Clock> {
    run: Run<D, S, C>,
    out: mpsc::Sender<Result<Bytes, Broken>>,
    /// Counts the request as under way until the stream ends.
    active: Active<D, S, C>,
}

/// How reading from one target ended.
enum End {
    /// The stream is whole.
    Whole,
    /// The caller is gone.
    Gone,
    /// The deadline passed.
    Deadline,
    /// The target broke off.
    Failed(Failure),
}

impl<D: Dialect, S: Store, C: Clock> Relay<D, S, C> {
    async fn run(mut self, mut reader: Reader, mut place: Place<D, S, C>, first: Next) {
        let mut next = Some(first);
        loop {
            match self.relay(&mut reader, next.take()).await {
                End::Whole => {
                    self.run.note_answer(&place, StatusCode::OK);
                    self.run.log_end(&place, StatusCode::OK);
                    reader.exchange.release(reader.keep);
                    break;
                }
                End::Gone => {
                    self.log(&place, "the caller is gone");
                    break;
                }
                End::Deadline => {
                    self.log(&place, "the deadline passed within the stream");
                    let _ = self.out.send(Err(Broken)).await;
                    break;
                }
                End::Failed(failure) => {
                    let out = self.out.clone();
                    let taken_up = tokio::select! {
                        taken_up = self.take_up(&place, failure) => taken_up,
                        () = out.closed() => None,
                    };
                    let Some((other, at, first)) = taken_up else {
                        // It fails where the caller is gone.
                        let _ = self.out.send(Err(Broken)).await;
                        break;
                    };
                    reader = other;
                    place = at;
                    next = Some(first);
                }
            }
        }
        drop(self.active);
    }

    fn log(&self, place: &Place<D, S, C>, what: &str) {
        log::info!(
            request = self.run.job.demand.attempt.as_str(),
            route = self.run.job.route.name.as_str(),
            target_id = place.target.id.as_str(),
            prompt = self.run.job.demand.prompt.map_or(0, |prompt| prompt.tokens.0),
            last_event = self.run.resume_after.unwrap_or_default(),
            age_ms = self.run.age().as_millis() as u64;
            "{what}"
        );
    }

    /// Relays from one target.
    async fn relay(&mut self, reader: &mut Reader, first: Option<Next>) -> End {
        let mut ready = first;
        let mut last = self.run.core.now();
        loop {
            let next = match ready.take() {
                Some(next) => next,
                None => match self.read(reader).await {
                    Ok(next) => next,
                    Err(end) => return end,
                },
            };
            let now = self.run.core.now();
            self.run.longest_pause = self.run.longest_pause.max(now.duration_since(last));
            last = now;
            let chunk = match next {
                Next::Chunk(chunk) => chunk,
                Next::End => return End::Whole,
            };
            if let (Some(first), Some(last)) = (chunk.first, self.run.resume_after)
                && first != last + 1
            {
                return End::Failed(Failure::Spoiled("its events don't follow on"));
            }
            if self.out.send(Ok(chunk.bytes)).await.is_err() {
                return End::Gone;
            }
            self.run.resume_after = chunk.last.or(self.run.resume_after);
        }
    }

    async fn read(&self, reader: &mut Reader) -> Result<Next, End> {
        let wanted = self.run.job.route.gap.unwrap_or(STALLED_LEAST);
        let mut stalled = Some((wanted * STALLED_PAUSES).max(STALLED_LEAST));
        loop {
            let left = self.run.time_left();
            let limit = stalled.map_or(left, |stalled| left.min(stalled));
            tokio::select! {
                next = reader.next() => return next.map_err(End::Failed),
                () = self.out.closed() => return Err(End::Gone),
                () = tokio::time::sleep(limit) => {}
            }
            if limit == left {
                return Err(End::Deadline);
            }
            if self.run.may_leave() {
                return Err(End::Failed(Failure::Stalled));
            }
            stalled = None;
        }
    }

    /// Takes the stream up at another target.
    async fn take_up(
        &mut self,
        place: &Place<D, S, C>,
        failure: Failure,
    ) -> Option<(Reader, Place<D, S, C>, Next)> {
        let mut failed = self.run.settle(place, failure).await;
        loop {
            if let Err(refusal) = failed {
                self.log(place, &format!("given up on: {}", refusal.detail));
                return None;
            }
            let (opened, other) = match self.run.open().await {
                Ok(opened) => opened,
                Err(refusal) => {
                    failed = Err(refusal);
                    continue;
                }
            };
            if !opened.exchange.head.status.is_success() {
                let failure = Failure::Spoiled("it failed the resume");
                failed = self.run.settle(&other, failure).await;
                continue;
            }
            let mut reader = Reader::open(opened);
            match self.run.wait_first(&other, reader.next()).await {
                Ok(first) => {
                    other.begin_writing();
                    return Some((reader, other, first));
                }
                Err(failure) => failed = self.run.settle(&other, failure).await,
            }
        }
    }
}
