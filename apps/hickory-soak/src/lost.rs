//! Checks that planned stops, reloads and changes of the configuration lose no request: what a
//! target answers whole reaches the caller whole.

use crate::check::{Kind, NOT_RUN, Record};
use crate::episode;
use crate::host::Stop;
use crate::run::{Faults, Run, Scope};
use hickory_adapter_standin::replica::Request as Arrival;
use std::collections::HashMap;
use std::time::Duration;

/// A fault excuses what it disturbs for this time.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A connection that a node closes as a request arrives ends within this time.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// Requests sent later than this after SIGTERM must be answered whatever their length, or not be
/// passed on.
const MAX_EXCUSED_DELAY: Duration = Duration::from_secs(3);

/// The part of the grace period in which a target may still be at work on an earlier request.
const EXCUSED_GRACE_FRACTION: f64 = 1.0 / 6.0;

/// Time before a deadline at which a request may already be ended.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);

/// A stop during which the soak itself was held up longer isn't judged.
const MAX_LAG: Duration = Duration::from_millis(100);

/// A stream of at most this length is a small part of any grace period.
const SHORT_STREAM: Duration = Duration::from_millis(300);

/// Times after SIGTERM between which a node must serve short streams.
const SERVING_TIME: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// Number of streams after which a node knows how long those of a route last. A node serves about 30
/// requests a second at the peak.
const MIN_SERVED: usize = 100;

/// Least number of short streams to a stopping node that show something.
const MIN_SHORT_STREAMS: usize = 10;

/// Fraction of these that must be served.
const MIN_SERVED_FRACTION: f64 = 0.9;

/// Returns a description of each broken promise.
pub(crate) fn check(run: &Run) -> Vec<String> {
    let records = run.records();
    let mut arrivals: HashMap<String, Vec<(usize, Arrival)>> = HashMap::new();
    for (index, (replica, _)) in run.replicas.iter().enumerate() {
        for arrival in replica.requests() {
            arrivals.entry(arrival.attempt_id().to_owned()).or_default().push((index, arrival));
        }
    }
    let lost = records.iter().filter_map(|record| {
        let arrivals = arrivals.get(&record.request.attempt);
        let finding = find_loss(run, record, arrivals.map_or(&[], Vec::as_slice))?;
        let (request, at) = (&record.request, run.format_time(record.request.sent_at));
        let (node, ended) = (&run.hosts[request.host].settings.node, record.ended_at);
        let ended = run.format_time(ended);
        let pace = request.pace.map_or_else(String::new, |pace| format!(" {pace}"));
        let (attempt, kind) = (&request.attempt, request.kind);
        let stop = describe_stop(run, record);
        Some(format!("{attempt} {kind:?}{pace} to {node} at {at}, until {ended}{stop}: {finding}"))
    });
    lost.chain(check_processes(run)).chain(check_short_streams(run, &records)).collect()
}

/// Returns the stops of the request's host that overlap the request.
fn stops_around(run: &Run, record: &Record) -> Vec<Stop> {
    let overlaps = |stop: &Stop| {
        stop.begin <= record.ended_at && stop.end.is_none_or(|end| end >= record.request.sent_at)
    };
    run.hosts[record.request.host].stops().into_iter().filter(overlaps).collect()
}

fn describe_stop(run: &Run, record: &Record) -> String {
    let stop = stops_around(run, record).pop();
    let describe = |stop: Stop| {
        let sent = record.request.sent_at;
        let delay = match sent.checked_duration_since(stop.begin) {
            Some(after) => format!("{:.3} s after", after.as_secs_f64()),
            None => format!("{:.3} s before", (stop.begin - sent).as_secs_f64()),
        };
        format!(", sent {delay} SIGTERM with grace {:?}", stop.grace)
    };
    stop.map_or_else(String::new, describe)
}

/// Checks that a request gets a whole answer, a refusal included, if it was passed on to a sound
/// target, or if its connection was closed some time after it was sent.
fn find_loss(run: &Run, record: &Record, arrivals: &[(usize, Arrival)]) -> Option<String> {
    let request = &record.request;
    if record.answer.is_complete || run.hosts[request.host].is_other_version {
        return None;
    }
    let took = record.ended_at.duration_since(request.sent_at);
    let is_timed_out = took + DEADLINE_TOLERANCE >= request.deadline.min(min_timeout(request.kind));
    if is_timed_out || was_disturbed(run, record) {
        return None;
    }
    let Some(last) = arrivals.iter().max_by_key(|(_, arrival)| arrival.received_at) else {
        let lag = run.lag.max_between(request.sent_at, record.ended_at);
        let took = record.answer.closed_at?.duration_since(request.sent_at);
        let is_late = took > CROSSING_TIME + lag * 2;
        return is_late.then(|| format!("read, closed after {took:?}, not passed on"));
    };
    let from = request.sent_at.checked_sub(CONTACT_TIME).unwrap_or(request.sent_at);
    let breaks_off = |(target, arrival): &(usize, Arrival)| {
        let (replica, link) = &run.replicas[*target];
        let scope = Scope::Target(replica.name.clone());
        arrival.breaks_off
            || link.was_disturbed(from, record.ended_at)
            || run.had_outage(&scope, from, record.ended_at)
    };
    let (target, arrival) = last;
    // A stream that broke off may find no other target, or only one when a stop has begun.
    let stops = stops_around(run, record);
    let has_no_other = !arrival.was_run || !stops.is_empty();
    if breaks_off(last) || has_no_other && arrivals.iter().any(breaks_off) {
        return None;
    }
    let is_excused = |stop: &Stop| {
        let late = stop.begin + stop.grace.mul_f64(1.0 - EXCUSED_GRACE_FRACTION);
        let was_at_work = arrival.finished_at.is_none_or(|at| at >= late);
        let is_early = request.sent_at <= stop.begin + MAX_EXCUSED_DELAY;
        record.ended_at >= late && (request.is_read_slowly || (is_early && was_at_work))
    };
    if stops.iter().any(is_excused) {
        return None;
    }
    let finished = arrival.finished_at.map(|at| run.format_time(at));
    let finished = finished.unwrap_or_else(|| "not yet".to_owned());
    let (name, status) = (&run.replicas[*target].0.name, record.answer.status);
    Some(format!("status {status}, not whole, though {name} finished it at {finished}"))
}

/// Returns the shortest timeout that any configuration of the run gives the route.
fn min_timeout(kind: Kind) -> Duration {
    let seconds = match kind {
        Kind::Once => 1,
        Kind::Read | Kind::Large | Kind::Moved | Kind::Added | Kind::Version(_) => 2,
        Kind::Stream | Kind::OnceStream => 5,
        Kind::LongStream => 12,
    };
    Duration::from_secs(seconds)
}

/// Returns whether a fault that wasn't planned disturbed the host, its links or the store.
fn was_disturbed(run: &Run, record: &Record) -> bool {
    let (host, end) = (record.request.host, record.ended_at);
    let begin = record.request.sent_at;
    let begin = begin.checked_sub(CONTACT_TIME).unwrap_or(begin);
    let is_cut = |episode: &episode::Episode| {
        // Nodes learn of targets from each other, at the addresses of the other node's links.
        matches!(episode.kind, episode::Kind::Cut { .. })
            && episode.begin <= end
            && episode.end >= begin
    };
    run.hosts[host].was_disturbed_unplanned(begin, end)
        || run.store_links[host].was_disturbed(begin, end)
        || run.had_outage(&Scope::Store, begin, end)
        || run.episodes().iter().any(is_cut)
}

/// Checks that stopped processes exit within their grace period, and no others do.
fn check_processes(run: &Run) -> Vec<String> {
    let hosts = run.hosts.iter().filter(|host| !host.is_other_version);
    let findings = hosts.flat_map(|host| {
        let node = &host.settings.node;
        let outlived = host.stops().into_iter().filter(|stop| {
            let end = stop.end.unwrap_or(stop.begin);
            stop.was_killed
                && !host.was_disturbed_unplanned(stop.begin, end)
                && run.lag.max_between(stop.begin, end) < MAX_LAG
        });
        let outlived = outlived.map(|stop| {
            let (at, grace) = (run.format_time(stop.begin), stop.grace);
            format!("{node} outlived its grace period of {grace:?} from {at}")
        });
        let exited = host.has_exited().then(|| format!("{node} exited by itself"));
        outlived.chain(exited).collect::<Vec<_>>()
    });
    findings.collect()
}

/// Checks that nodes serve short streams for a while after SIGTERM, if they have served many. Other
/// faults prolong streams, so that a node may be right to refuse them.
fn check_short_streams(run: &Run, records: &[Record]) -> Option<String> {
    if run.faults != Faults::Planned {
        return None;
    }
    let is_whole = |record: &Record| record.answer.is_complete && record.answer.status == 200;
    let is_due = |record: &&Record| {
        let request = &record.request;
        let is_short = request.pace.is_none_or(|pace| pace.duration() <= SHORT_STREAM);
        let stops = run.hosts[request.host].stops();
        let stop = stops.into_iter().find(|stop| stop.incarnation == request.incarnation);
        let Some(stop) = stop.filter(|_| request.kind == Kind::Stream && is_short) else {
            return false;
        };
        // Neither a connection that closes as the request arrives nor a missing key counts.
        let status = record.answer.status;
        let is_answered = status == 200 || NOT_RUN.contains(&status);
        let (from, to) = (stop.begin + SERVING_TIME.0, stop.begin + SERVING_TIME.1);
        let served = records.iter().filter(|other| {
            other.request.host == request.host
                && other.request.incarnation == request.incarnation
                && other.request.kind == Kind::Stream
                && other.ended_at < stop.begin
                && is_whole(other)
        });
        is_answered && (from..to).contains(&request.sent_at) && served.count() >= MIN_SERVED
    };
    let due: Vec<&Record> = records.iter().filter(is_due).collect();
    let is_refused = |record: &&&Record| NOT_RUN.contains(&record.answer.status);
    let refused = due.iter().filter(is_refused).count();
    let served = due.len() - refused;
    run.print_event(&format!("{served} of {} short streams served soon after SIGTERM", due.len()));
    let is_enough = served as f64 >= due.len() as f64 * MIN_SERVED_FRACTION;
    (due.len() >= MIN_SHORT_STREAMS && !is_enough).then(|| {
        format!(
            "stopping nodes refused {refused} of {} short streams soon after SIGTERM",
            due.len()
        )
    })
}
