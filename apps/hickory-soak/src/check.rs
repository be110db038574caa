//! Checks the promises to callers against what callers and replicas recorded.

use crate::caller::ANSWER_TIMEOUT;
use crate::run::Run;
use hickory_adapter_standin::caller::Response;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A request that may be repeated.
    Read,
    /// A request that may run only once.
    Once,
    /// A stream that may be resumed.
    Stream,
    /// A request to the route that this configuration version added.
    Version(u64),
}

/// A request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) attempt: String,
    pub(crate) kind: Kind,
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
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

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
    let ids = answer.event_ids();
    match record.request.kind {
        Kind::Stream if !ids.iter().copied().eq(1..=ids.len() as u64) => {
            Some(format!("events out of order: {ids:?}"))
        }
        Kind::Stream if answer.is_complete && ids.len() as u64 != events => {
            Some(format!("looks complete with {} events of {events}", ids.len()))
        }
        Kind::Stream => None,
        _ if answer.is_complete && !answer.body.starts_with("plain-") => {
            Some(format!("the body was sent by no replica: {:?}", answer.body))
        }
        _ => None,
    }
}

/// Checks that a request that may run once ran at most once, and that no request
/// ran whose status says that it didn't.
fn check_runs(record: &Record, ran: usize) -> Option<String> {
    match record.request.kind {
        Kind::Once if ran > 1 => Some(format!("ran {ran} times")),
        Kind::Once if NOT_RUN.contains(&record.answer.status) && ran > 0 => {
            Some(format!("status {} although it ran", record.answer.status))
        }
        _ => None,
    }
}

/// Checks that every request got its final answer in time, unless its host was
/// disturbed.
fn check_duration(record: &Record, run: &Run) -> Option<String> {
    let took = record.ended_at.duration_since(record.request.sent_at);
    let is_late = took > ANSWER_TIMEOUT + SCHEDULING_TOLERANCE;
    let host = &run.hosts[record.request.host];
    let is_excused = host.was_disturbed(record.request.sent_at, record.ended_at);
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
