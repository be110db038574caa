//! Faults whose effect is checked over their time: what replicas state of themselves, parts of
//! prompts under which engines crash, and hosts that lose their links to all replicas.

use crate::check::{self, Record};
use crate::run::{COLD_RATE, Run};
use hickory_adapter_standin::replica::Request;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time from the begin of an episode until all nodes must have reacted.
const REACTION_TIME: Duration = Duration::from_secs(3);

/// Time from the begin of an outage of the store until all nodes must know which engines are cold.
const OUTAGE_REACTION_TIME: Duration = Duration::from_millis(4_500);

/// Time from a node's answer with a limit until the node must keep to it.
const TOLD_DELAY: Duration = Duration::from_millis(500);

/// Time from a node's answer with the statement that its replica leaves until the node must send it
/// nothing more.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Number of requests that a replica may get from a host within its rest.
const MAX_REQUESTS_IN_REST: usize = 2;

/// Number of crashes after which requests with a part must be refused.
const MAX_CRASHES: usize = 5;

/// Number of requests with the part that may reach engines then.
const MAX_LATE_REQUESTS: usize = 3;

/// Window over which requests to a limited replica are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// What a replica may get beyond its limit, as a factor and a number of requests.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Least number of requests by which callers of hosts are compared.
const MIN_REQUESTS: usize = 10;

/// Part of the share served elsewhere that callers of a cut host must be served.
const MIN_SERVED_FRACTION: f64 = 2.0 / 3.0;

/// What happens in an episode. Replicas and hosts are named by their index.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// A replica states a limit of requests per second.
    RateLimit { replica: usize, limit: f64 },
    /// A replica states that it leaves.
    Leave { replica: usize },
    /// A replica turns requests away and asks for rest.
    Rest { replica: usize, seconds: f64 },
    /// An engine turns cold while the store is down.
    Cold { replica: usize },
    /// Engines crash under a part of prompts.
    CrashingPart { part: u32 },
    /// A host loses its links to all replicas.
    Cut { host: usize },
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Episode {
    pub(crate) kind: Kind,
    pub(crate) begin: Instant,
    pub(crate) end: Instant,
}

/// Returns a description of each broken promise.
pub(crate) fn check(run: &Run, episodes: &[Episode]) -> Vec<String> {
    let records = run.records();
    let checks = episodes.iter().filter_map(|episode| match episode.kind {
        Kind::RateLimit { replica, limit } => {
            check_rate_limit(run, &records, episode, replica, limit)
        }
        Kind::Leave { replica } => check_leave(run, &records, episode, replica),
        Kind::Rest { replica, seconds } => {
            check_rest(run, &records, episodes, episode, replica, seconds)
        }
        Kind::Cold { replica } => check_cold(run, episode, replica),
        Kind::CrashingPart { part } => check_crashing_part(run, &records, episode, part),
        Kind::Cut { host } => check_cut(run, &records, episodes, episode, host),
    });
    checks.collect()
}

/// Returns whether a request, by its attempt and arrival, is bound by what a replica states: its host
/// had passed on an answer that states it for `delay`, and wasn't disturbed since.
fn bound_requests<'a>(
    run: &'a Run,
    records: &'a [Record],
    episode: &'a Episode,
    delay: Duration,
    has_told: impl Fn(&Record) -> bool,
) -> impl Fn(&str, Instant) -> bool + 'a {
    let hosts = hosts_by_attempt(records);
    let told_at = |host: usize| {
        let is_first = |record: &&Record| {
            record.request.host == host && record.ended_at >= episode.begin && has_told(record)
        };
        records.iter().find(is_first).map(|record| record.ended_at)
    };
    let told: Vec<Option<Instant>> = (0..run.hosts.len()).map(told_at).collect();
    move |attempt, at| {
        hosts.get(attempt).is_some_and(|&host| {
            !run.hosts[host].is_other_version
                && told[host].is_some_and(|told| told + delay <= at)
                && !run.hosts[host].was_disturbed(episode.begin, at)
        })
    }
}

/// Checks that a replica gets no more than it states that it takes, from hosts that had passed on
/// such an answer and weren't disturbed since.
fn check_rate_limit(
    run: &Run,
    records: &[Record],
    episode: &Episode,
    replica: usize,
    limit: f64,
) -> Option<String> {
    let (replica, _) = &run.replicas[replica];
    let has_told = |record: &Record| record.answer.states_rate_limit_of(&replica.name);
    let is_bound = bound_requests(run, records, episode, TOLD_DELAY, has_told);
    let in_time = episode.begin + REACTION_TIME..episode.end;
    let requests = replica.requests();
    let bound = requests.iter().filter(|request| {
        in_time.contains(&request.received_at)
            && is_bound(request.attempt_id(), request.received_at)
    });
    let times: Vec<Instant> = bound.map(|request| request.received_at).collect();
    let count_from =
        |start: &Instant| times.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count();
    let max = times.iter().map(count_from).max().unwrap_or_default();
    let allowed = (limit * TOLERANCE.0 * WINDOW.as_secs_f64() + TOLERANCE.1) as usize;
    (max > allowed).then(|| {
        format!("{} states {limit:.1} requests per second and got {max} in 4 s", replica.name)
    })
}

/// Checks that a replica gets nothing from hosts that have passed on its statement that it leaves
/// and weren't disturbed since.
fn check_leave(run: &Run, records: &[Record], episode: &Episode, replica: usize) -> Option<String> {
    let (replica, _) = &run.replicas[replica];
    let has_told = |record: &Record| record.answer.states_leave_of(&replica.name);
    let is_late = bound_requests(run, records, episode, DRAIN_TIME, has_told);
    let requests = replica.requests();
    let in_episode = requests.iter().filter(|request| request.received_at < episode.end);
    let late = in_episode.filter(|r| is_late(r.attempt_id(), r.received_at)).count();
    (late > 0).then(|| format!("{} states that it leaves and got {late} requests", replica.name))
}

/// Checks that a replica gets no more than a few requests from a host within the rest that it has
/// asked this host for. Links that are cut may deliver earlier requests late.
fn check_rest(
    run: &Run,
    records: &[Record],
    episodes: &[Episode],
    episode: &Episode,
    replica: usize,
    seconds: f64,
) -> Option<String> {
    let (replica, link) = &run.replicas[replica];
    let hosts = hosts_by_attempt(records);
    let rest = Duration::from_secs_f64(seconds);
    let is_in_episode = |at: Instant| at >= episode.begin && at + rest < episode.end;
    let requests = replica.requests();
    let host_of = |request: &Request| hosts.get(request.attempt_id()).copied();
    let asked = requests.iter().filter(|r| !r.was_run && is_in_episode(r.received_at));
    let is_cut = |host: usize, from: Instant, to: Instant| {
        let mut cuts =
            episodes.iter().filter(|e| matches!(e.kind, Kind::Cut { host: h } if h == host));
        cuts.any(|cut| cut.begin <= to && cut.end + REACTION_TIME >= from)
    };
    let late = asked.filter_map(|asked| {
        let (host, at) = (host_of(asked)?, asked.received_at);
        let is_disturbed = run.hosts[host].was_disturbed(at, at + rest)
            || link.was_disturbed(at, at + rest)
            || is_cut(host, at, at + rest);
        if run.hosts[host].is_other_version || is_disturbed {
            return None;
        }
        let resting = at + TOLD_DELAY..at + rest;
        let is_late = |r: &&Request| resting.contains(&r.received_at) && host_of(r) == Some(host);
        Some(requests.iter().filter(is_late).count())
    });
    let max = late.max().unwrap_or_default();
    (max > MAX_REQUESTS_IN_REST).then(|| {
        let name = &replica.name;
        format!("{name} asked a host for {seconds:.1} s of rest and got {max} requests from it")
    })
}

/// Checks that a cold engine gets no more than it takes within a second, while no host was
/// disturbed, so that the owner of its group is the same, and neither was its link.
fn check_cold(run: &Run, episode: &Episode, replica: usize) -> Option<String> {
    let (replica, link) = &run.replicas[replica];
    let (begin, end) = (episode.begin, episode.end);
    let is_disturbed = run.hosts.iter().any(|host| host.was_disturbed(begin, end))
        || run.hosts.iter().any(|host| host.is_other_version)
        || link.was_disturbed(begin, end);
    let in_time = begin + OUTAGE_REACTION_TIME..end;
    let requests = replica.requests();
    let times: Vec<Instant> = requests.iter().map(|request| request.received_at).collect();
    let times = times.into_iter().filter(|at| in_time.contains(at));
    let times: Vec<Instant> = times.filter(|_| !is_disturbed).collect();
    let second = Duration::from_secs(1);
    let count_from =
        |start: &Instant| times.iter().filter(|at| (*start..*start + second).contains(at)).count();
    let max = times.iter().map(count_from).max().unwrap_or_default();
    (max > COLD_RATE).then(|| format!("{} is cold and got {max} requests in 1 s", replica.name))
}

/// Checks that few requests with the part reach engines after the fifth crash, and that sound
/// prompts aren't refused.
fn check_crashing_part(
    run: &Run,
    records: &[Record],
    episode: &Episode,
    part: u32,
) -> Option<String> {
    let name = format!("{part:x}");
    let requests = run.replicas.iter().flat_map(|(replica, _)| replica.requests());
    let has_part = |request: &Request| request.shared_parts().any(|id| id == name);
    let mut sends: Vec<Request> = requests.filter(has_part).collect();
    sends.sort_by_key(|request| request.received_at);
    let fifth = sends.get(MAX_CRASHES - 1).map(|request| request.received_at);
    let is_late = |request: &&Request| {
        let host = request.attempt_id().split('-').nth(1).and_then(|host| host.parse().ok());
        let is_bound = host.is_some_and(|host: usize| {
            let at = request.received_at;
            !run.hosts[host].is_other_version && !run.hosts[host].was_disturbed(at, at)
        });
        is_bound && fifth.is_some_and(|fifth| request.received_at > fifth + REACTION_TIME)
    };
    let late = sends.iter().filter(is_late).count();
    let refused = records.iter().filter(|record| {
        let is_in_time = (episode.begin..episode.end).contains(&record.request.sent_at);
        is_in_time && record.answer.body.contains("engines crashed under parts")
    });
    let refused = refused.count();
    let sound = records.iter().filter(|record| {
        record.request.kind == check::Kind::Stream
            && (episode.begin..episode.end).contains(&record.request.sent_at)
    });
    let sound = sound.count();
    if late > MAX_LATE_REQUESTS {
        return Some(format!("part {name}: {late} requests reached engines after five crashes"));
    }
    (refused * 2 > sound).then(|| format!("part {name}: {refused} of {sound} sound ones refused"))
}

fn hosts_by_attempt(records: &[Record]) -> HashMap<&str, usize> {
    records.iter().map(|r| (r.request.attempt.as_str(), r.request.host)).collect()
}

/// Checks that callers of a host without links are served nearly as often as others, while another
/// host has links and neither was disturbed.
fn check_cut(
    run: &Run,
    records: &[Record],
    episodes: &[Episode],
    episode: &Episode,
    cut: usize,
) -> Option<String> {
    let from = episode.begin + REACTION_TIME;
    let is_cut_too = |host: usize| {
        let overlaps = |other: &&Episode| other.begin < episode.end && other.end > episode.begin;
        let others = episodes.iter().filter(overlaps);
        others.into_iter().any(|other| matches!(other.kind, Kind::Cut { host: h } if h == host))
    };
    let is_calm = |host: usize| {
        !run.hosts[host].is_other_version
            && !run.hosts[host].was_disturbed(episode.begin, episode.end)
    };
    if !is_calm(cut) || !(0..run.hosts.len()).any(|host| is_calm(host) && !is_cut_too(host)) {
        return None;
    }
    let share_of = |is_chosen: &dyn Fn(usize) -> bool| {
        let sent = records.iter().filter(|record| {
            let request = &record.request;
            request.kind == check::Kind::Read
                && is_chosen(request.host)
                && request.sent_at >= from
                && record.ended_at < episode.end
        });
        let served: Vec<bool> = sent.map(|record| record.answer.status == 200).collect();
        let count = served.iter().filter(|served| **served).count();
        (count, served.len())
    };
    let (served, sent) = share_of(&|host| host == cut);
    let (served_elsewhere, sent_elsewhere) = share_of(&|host| !is_cut_too(host) && is_calm(host));
    if sent < MIN_REQUESTS || sent_elsewhere < MIN_REQUESTS {
        return None;
    }
    let share = served as f64 / sent as f64;
    let share_elsewhere = served_elsewhere as f64 / sent_elsewhere as f64;
    (share < share_elsewhere * MIN_SERVED_FRACTION).then(|| {
        let name = &run.hosts[cut].settings.node;
        format!("{name} without links served {served} of {sent}, others {served_elsewhere} of {sent_elsewhere}")
    })
}
