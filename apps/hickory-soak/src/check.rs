//! Checks the promises to callers against what callers and replicas recorded.

use crate::run::Run;
use hickory_adapter_standin::caller::Response;
use hickory_adapter_standin::pace::Pace;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A request that may be repeated.
    Read,
    /// A request that may run only once.
    Once,
    /// A request with a large answer that may be repeated.
    Large,
    /// A stream that may be resumed.
    Stream,
    /// A stream that may be resumed and lasts up to most of the grace period.
    LongStream,
    /// A stream that may run only once.
    OnceStream,
    /// A request to the route that moves between services.
    Moved,
    /// A request to the route that is added and removed.
    Added,
    /// A request to the route that this configuration version added.
    Version(u64),
}

impl Kind {
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::LongStream | Self::OnceStream)
    }
}

/// A request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) attempt: String,
    pub(crate) kind: Kind,
    /// The answer that it asks for, if it does.
    pub(crate) pace: Option<Pace>,
    /// The time that its caller gives it.
    pub(crate) deadline: Duration,
    /// Whether its caller reads the answer slowly.
    pub(crate) is_read_slowly: bool,
    pub(crate) host: usize,
    pub(crate) incarnation: u32,
    pub(crate) sent_at: Instant,
}

/// A request with its answer.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) request: Request,
    pub(crate) answer: Response,
    pub(crate) ended_at: Instant,
}

/// Tolerance for late answers, since some dozen processes share the machine.
const SCHEDULING_TOLERANCE: Duration = Duration::from_millis(700);

/// Statuses that promise that the request has not run.
pub(crate) const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Returns a description of each broken promise.
pub(crate) fn check(run: &Run) -> Vec<String> {
    let records = run.records();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for seen in run.replicas.iter().flat_map(|(replica, _)| replica.requests()) {
        *runs.entry(seen.attempt_id().to_owned()).or_default() += usize::from(seen.was_run);
    }
    let mut violations: Vec<String> = Vec::new();
    let mut newest: HashMap<(usize, u32), u64> = HashMap::new();
    for record in &records {
        let ran = runs.get(&record.request.attempt).copied().unwrap_or(0);
        let findings = [
            check_answer(record, run.events_per_stream),
            check_runs(record, ran),
            check_duration(record, run),
            check_version(record, &mut newest),
        ];
        let name =
            |finding| format!("{} {:?}: {finding}", record.request.attempt, record.request.kind);
        violations.extend(findings.into_iter().flatten().map(name));
    }
    violations
}

/// Checks that each answer is either complete or recognisably incomplete, and that
/// it answers the caller's own request.
fn check_answer(record: &Record, events: u64) -> Option<String> {
    let answer = &record.answer;
    let is_success = (200..300).contains(&answer.status);
    if !is_success {
        return None;
    }
    if !answer.is_signed_response_to(&record.request.attempt) {
        return Some("the answer belongs to another request or is not signed".into());
    }
    let is_stream = record.request.kind.is_stream();
    let ids = if is_stream { answer.event_ids() } else { Vec::new() };
    let events = record.request.pace.and_then(|pace| pace.events()).unwrap_or(events);
    match record.request.kind {
        _ if is_stream && !ids.iter().copied().eq(1..=ids.len() as u64) => {
            Some(format!("events out of order: {ids:?}"))
        }
        _ if is_stream && answer.is_complete && ids.len() as u64 != events => {
            Some(format!("looks complete with {} events of {events}", ids.len()))
        }
        _ if is_stream => None,
        Kind::Large if answer.body.bytes().all(|byte| byte == b'x') => None,
        _ if answer.is_complete && !answer.body.starts_with("plain-") => {
            Some(format!("the body was sent by no replica: {:?}", answer.body))
        }
        _ => None,
    }
}

/// Checks that a request that may run once ran at most once, and that no request
/// ran whose status says that it didn't.
fn check_runs(record: &Record, ran: usize) -> Option<String> {
    if !matches!(record.request.kind, Kind::Once | Kind::OnceStream) {
        return None;
    }
    if ran > 1 {
        return Some(format!("ran {ran} times"));
    }
    let status = record.answer.status;
    let is_refused = NOT_RUN.contains(&status) && ran > 0;
    is_refused.then(|| format!("status {status} although it ran"))
}

/// Checks that every request got its final answer in time, unless its host was
/// disturbed or its caller read slowly.
fn check_duration(record: &Record, run: &Run) -> Option<String> {
    let took = record.ended_at.duration_since(record.request.sent_at);
    let is_late = took > record.request.deadline + SCHEDULING_TOLERANCE;
    let host = &run.hosts[record.request.host];
    let is_excused = record.request.is_read_slowly
        || host.was_disturbed(record.request.sent_at, record.ended_at);
    (is_late && !is_excused).then(|| format!("the answer took {took:?}"))
}

/// Checks that a process that has served a configuration never serves an older one.
fn check_version(record: &Record, newest: &mut HashMap<(usize, u32), u64>) -> Option<String> {
    let Kind::Version(version) = record.request.kind else { return None };
    let known = newest.entry((record.request.host, record.request.incarnation)).or_default();
    match record.answer.status {
        200 => *known = (*known).max(version),
        404 if version <= *known => {
            return Some(format!("version {version} is unknown after {known} was served"));
        }
        _ => {}
    }
    None
}
