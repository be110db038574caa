//! A simulated fleet of engine models behind owners and nodes, with a simulated clock.

use crate::flight::{Flight, Record, stream_id};
use crate::load::Request;
use hickory_model::engine::Engine;
use hickory_model::job::State;
use hickory_model::option::Options;
use hickory_policy::baseline::{Limit, Place};
use hickory_policy::limit::{Capacity, Observed, Outcome, Ticket};
use hickory_policy::place::{Candidate, hash_target};
use hickory_policy::ramp::Sample;
use hickory_policy::refuse::Reason;
use hickory_target::engine::Weights;
use hickory_unit::{id, size};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Number of nodes, each with its own view of the targets.
pub(crate) const NODES: usize = 6;
/// Intervals between exchanges of target states and between load reports.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;
const REPORT_INTERVAL_MS: u64 = 250;
/// Interval between polls of a queue.
const POLL_INTERVAL_MS: u64 = 5;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;
/// Time from the crash of an engine to its restart.
const RESTART_DELAY_MS: u64 = 5_000;

/// An event that affects the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A zone stops accepting new work.
    ZoneOut(usize),
    /// The engines of a zone restart cold and accept work.
    ZoneBack(usize),
    /// The partners' shares change.
    Shares(&'static [(&'static str, f64)]),
}

pub(crate) struct Target<L> {
    id: id::Target,
    pub(crate) engine: Engine,
    pub(crate) limit: L,
    pub(crate) zone: usize,
    incarnation: u64,
    is_accepting: bool,
    restart_at: Option<u64>,
    pub(crate) tickets: HashMap<Ticket, usize>,
    pub(crate) running: BTreeSet<usize>,
}

pub(crate) struct Node<P> {
    pub(crate) place: P,
    pub(crate) view: Vec<(Candidate, bool)>,
}

/// The fleet, run under a policy.
pub struct Fleet<L, P> {
    options: Options,
    pub(crate) start: Instant,
    now_ms: u64,
    pub(crate) targets: Vec<Target<L>>,
    pub(crate) nodes: Vec<Node<P>>,
    pub(crate) flights: Vec<Flight>,
    pub(crate) deadlines: BTreeSet<(Duration, usize)>,
    crashes: u32,
    /// Time from taking a zone out of service to the last work sent to it, if any was sent.
    pub(crate) late_send: Option<Duration>,
    pub(crate) out_zone: Option<(usize, Duration)>,
}

/// Result of a run.
pub struct Run {
    pub records: Vec<Record>,
    pub crashes: u32,
    pub late_send: Option<Duration>,
}

pub(crate) fn weights() -> Weights {
    Weights { model: "paint".into(), version: "1".into(), adapter: None }
}

/// Returns the options of an engine with the model loaded.
pub fn options() -> Options {
    Options { loaded: vec![weights()], ..Options::default() }
}

impl<L: Limit, P: Place + Default> Fleet<L, P> {
    /// Creates `count` warm engines in three zones.
    pub fn new(count: usize, shares: &[(&str, f64)]) -> Self {
        let (options, start) = (options(), Instant::now());
        let shares: Vec<_> = shares.iter().map(|&(name, share)| (name.into(), share)).collect();
        let target = |index: usize| {
            let mut limit = L::new(capacity(&options));
            limit.set_shares(&shares);
            Target {
                id: format!("engine-{index}").as_str().into(),
                engine: Engine::new(start, id::Incarnation(1), options.clone()),
                limit,
                zone: index % 3,
                incarnation: 1,
                is_accepting: true,
                restart_at: None,
                tickets: HashMap::new(),
                running: BTreeSet::new(),
            }
        };
        let targets = (0..count).map(target).collect();
        let nodes = (0..NODES).map(|_| Node { place: P::default(), view: Vec::new() }).collect();
        Self {
            options,
            start,
            now_ms: 0,
            targets,
            nodes,
            flights: Vec::new(),
            deadlines: BTreeSet::new(),
            crashes: 0,
            late_send: None,
            out_zone: None,
        }
    }

    /// Runs the load and the events until `until`.
    pub fn run(mut self, load: &[Request], events: &[(u64, Event)], until: u64) -> Run {
        // Let the owners complete the slow start of the warm targets first.
        for _ in 0..8 {
            (0..self.targets.len()).for_each(|t| self.report(t));
            self.start += Duration::from_secs(1);
        }
        self.start = self.now();
        let mut load = load.iter().peekable();
        let mut events = events.iter().peekable();
        while self.now_ms < until {
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= self.now_ms) {
                self.apply(*event);
            }
            self.refresh();
            while let Some(request) = load.next_if(|r| r.at <= Duration::from_millis(self.now_ms)) {
                self.submit(request.clone());
            }
            (0..self.targets.len()).for_each(|target| self.advance(target));
            if self.now_ms.is_multiple_of(POLL_INTERVAL_MS) {
                (0..self.targets.len()).for_each(|target| self.poll(target));
                self.expire();
            }
            self.now_ms += 1;
        }
        let records = self.flights.into_iter().map(|flight| flight.record).collect();
        Run { records, crashes: self.crashes, late_send: self.late_send }
    }

    pub(crate) fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    pub(crate) fn elapsed(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::ZoneOut(zone) => {
                self.out_zone = Some((zone, self.elapsed()));
                let of_zone = |t: &usize| self.targets[*t].zone == zone;
                let targets: Vec<usize> = (0..self.targets.len()).filter(of_zone).collect();
                targets.into_iter().for_each(|target| self.stop_accepting(target));
            }
            Event::ZoneBack(zone) => {
                self.out_zone = None;
                for target in 0..self.targets.len() {
                    if self.targets[target].zone == zone {
                        self.restart(target);
                    }
                }
            }
            Event::Shares(shares) => {
                let shares: Vec<_> = shares.iter().map(|&(p, s)| (p.into(), s)).collect();
                self.targets.iter_mut().for_each(|t| t.limit.set_shares(&shares));
            }
        }
    }

    /// Stops new work on a target; its queued requests are placed elsewhere.
    fn stop_accepting(&mut self, target: usize) {
        let now = self.now();
        self.targets[target].is_accepting = false;
        let refused = self.targets[target].limit.set_accepting(now, false);
        for (ticket, _) in refused {
            if let Some(flight) = self.targets[target].tickets.remove(&ticket) {
                self.place(flight);
            }
        }
    }

    fn restart(&mut self, target: usize) {
        let now = self.now();
        let cold = Options { warmth: 0, ..self.options.clone() };
        let t = &mut self.targets[target];
        t.incarnation += 1;
        t.engine = Engine::new(now, id::Incarnation(t.incarnation), cold);
        t.restart_at = None;
        t.is_accepting = true;
        // The owner accepts work on a restarted target only after its report shows the new
        // incarnation.
        self.report(target);
        self.targets[target].limit.set_accepting(now, true);
    }

    /// Updates each node's view of the targets once per second, in turn.
    fn refresh(&mut self) {
        for index in 0..NODES {
            let phase = index as u64 * EXCHANGE_INTERVAL_MS / NODES as u64;
            if self.nodes[index].view.is_empty() || self.now_ms % EXCHANGE_INTERVAL_MS == phase {
                self.nodes[index].view = self.targets.iter().map(|t| self.candidate(t)).collect();
            }
        }
    }

    fn candidate(&self, target: &Target<L>) -> (Candidate, bool) {
        let state = target.limit.state();
        let candidate = Candidate {
            hash: hash_target(&target.id),
            target: target.id.clone(),
            is_same_zone: true,
            is_owned: false,
            has_cached_prefix: false,
            queued_prefill: state.queued_prefill,
            queued_long: state.queued_long,
            kv_free: self.options.kv_capacity.saturating_sub(state.kv_used),
            kv_capacity: self.options.kv_capacity,
            prefill_rate: state.prefill_rate.unwrap_or(self.options.prefill_rate),
            max_streams: state.stream_limit,
            running: state.running,
            waiting: state.waiting,
        };
        (candidate, target.is_accepting)
    }

    fn advance(&mut self, target: usize) {
        let now = self.now();
        let t = &mut self.targets[target];
        if let Some(at) = t.restart_at {
            if at <= self.now_ms {
                self.restart(target);
            }
            return;
        }
        let due = t.engine.next_step().is_none_or(|at| at <= now);
        if t.engine.is_crashed() {
            return self.crash(target);
        }
        if due && !t.running.is_empty() {
            t.engine.advance(now);
            self.collect(target);
        }
        if self.now_ms % REPORT_INTERVAL_MS == target as u64 % REPORT_INTERVAL_MS {
            self.report(target);
        }
    }

    fn collect(&mut self, target: usize) {
        let (now, elapsed) = (self.now(), self.elapsed());
        let t = &mut self.targets[target];
        let running: Vec<usize> = t.running.iter().copied().collect();
        for index in running {
            let flight = &mut self.flights[index];
            let Some(progress) = t.engine.progress(&stream_id(index, flight.attempt)) else {
                continue;
            };
            let since = elapsed - flight.record.request.at;
            if progress.generated > 0 {
                flight.record.first_token.get_or_insert(since);
                flight.first_token.get_or_insert(elapsed - flight.sent);
            }
            if progress.state == State::Ended {
                flight.record.ended_after = Some(since);
                t.running.remove(&index);
                t.tickets.remove(&flight.ticket);
                t.limit.complete(now, flight.ticket, Outcome::Completed(flight.first_token));
                let request = &flight.record.request;
                self.deadlines.remove(&(request.at + request.time_left, index));
            }
        }
    }

    fn crash(&mut self, target: usize) {
        let now = self.now();
        self.crashes += 1;
        self.targets[target].restart_at = Some(self.now_ms + RESTART_DELAY_MS);
        let running = std::mem::take(&mut self.targets[target].running);
        for &index in &running {
            let ticket = self.flights[index].ticket;
            self.targets[target].tickets.remove(&ticket);
            self.targets[target].limit.complete(now, ticket, Outcome::Failed);
        }
        self.stop_accepting(target);
        for index in running {
            let flight = &mut self.flights[index];
            (flight.target, flight.attempt) = (None, flight.attempt + 1);
            if flight.attempt < MAX_ATTEMPTS {
                self.place(index);
            } else {
                self.refuse(index, Reason::TargetFailed);
            }
        }
    }

    fn report(&mut self, target: usize) {
        let now = self.now();
        let t = &mut self.targets[target];
        let report = t.engine.report(now);
        let tickets: HashMap<id::Stream, Ticket> = t
            .running
            .iter()
            .map(|&i| (stream_id(i, self.flights[i].attempt), self.flights[i].ticket))
            .collect();
        let prefill_left = |held: &hickory_target::engine::HeldStream| {
            tickets.get(&held.stream).map(|&ticket| (ticket, held.prefill_left))
        };
        let observed = Observed {
            sample: Sample {
                incarnation: report.incarnation,
                warmth: report.warmth,
                cache_hits: report.cache_hits,
                cache_misses: report.cache_misses,
            },
            foreign_streams: 0,
            foreign_kv: size::Tokens(0),
            prefill_left: report.streams.iter().filter_map(prefill_left).collect(),
        };
        t.limit.observe(now, &observed, report.streams.len() as u32);
    }

    fn poll(&mut self, target: usize) {
        let now = self.now();
        for (ticket, answer) in self.targets[target].limit.poll(now) {
            let Some(&index) = self.targets[target].tickets.get(&ticket) else { continue };
            match answer {
                Ok(()) => self.send(index, target, ticket),
                Err(reason) => {
                    self.targets[target].tickets.remove(&ticket);
                    self.refuse(index, reason);
                }
            }
        }
    }

    /// Refuses requests whose deadline has passed and cancels their streams.
    fn expire(&mut self) {
        let (now, elapsed) = (self.now(), self.elapsed());
        while let Some(&(at, index)) = self.deadlines.first().filter(|&&(at, _)| at <= elapsed) {
            self.deadlines.remove(&(at, index));
            if let Some(target) = self.flights[index].target {
                let (ticket, attempt) = (self.flights[index].ticket, self.flights[index].attempt);
                let t = &mut self.targets[target];
                t.engine.cancel(now, &stream_id(index, attempt));
                t.running.remove(&index);
                t.tickets.remove(&ticket);
                t.limit.complete(now, ticket, Outcome::Abandoned);
            }
            self.refuse(index, Reason::Deadline);
        }
    }
}

fn capacity(options: &Options) -> Capacity {
    Capacity {
        streams: options.max_streams,
        kv: options.kv_capacity,
        prefill_rate: options.prefill_rate,
    }
}
