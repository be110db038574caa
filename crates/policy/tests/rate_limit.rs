//! Request rates that targets state: the order of statements, and replays of fleets whose nodes
//! exchange statements over a simulated network.

use hickory_policy::rate_limit::{Change, RateLimits, Statement};
use hickory_unit::rate::RequestsPerSecond;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn statement(limit: Option<f64>, sent_at: Instant, received_at: Instant) -> Statement {
    Statement { limit: limit.map(RequestsPerSecond), sent_at, received_at }
}

/// Guards against relaxing a limit by an answer that was under way when the limit was stated.
#[test]
fn an_older_request_does_not_relax_a_limit() {
    let start = Instant::now();
    let mut limits = RateLimits::default();
    limits.record(1, statement(Some(2.0), start, start + ms(100)));
    for relaxed in [None, Some(5.0)] {
        let late = statement(relaxed, start + ms(50), start + ms(900));
        assert_eq!(limits.record(1, late), None, "{relaxed:?}");
    }
    let stricter = statement(Some(1.0), start + ms(50), start + ms(900));
    assert!(limits.record(1, stricter).is_some(), "a stricter limit applies at once");
    let change = limits.record(1, statement(Some(5.0), start + ms(1_000), start + ms(1_100)));
    let rate = RequestsPerSecond;
    assert_eq!(change, Some(Change { before: Some(rate(1.0)), after: Some(rate(5.0)) }));
}

/// Guards against a stale statement of a peer that brings an ended limit back.
#[test]
fn a_stale_statement_does_not_bring_a_limit_back() {
    let start = Instant::now();
    let mut limits = RateLimits::default();
    let stated = statement(Some(2.0), start, start + ms(100));
    limits.record(1, stated);
    limits.record(1, statement(None, start + ms(200), start + ms(300)));
    assert_eq!(limits.merge(1, stated), None);
    assert_eq!(limits.stated_limit(start + ms(400), 1), None);
}

/// Guards against the full load hitting a target the moment it stops stating a limit.
#[test]
fn the_rate_grows_step_by_step_after_a_limit() {
    let start = Instant::now();
    let mut limits = RateLimits::default();
    limits.record(1, statement(Some(2.0), start, start));
    limits.record(1, statement(None, start + ms(100), start + ms(200)));
    let mut sent_per_second = Vec::new();
    for second in 0..8 {
        let mut sent = 0;
        for step in 0..1_000 {
            let now = start + ms(200 + second * 1_000 + step);
            if limits.time_until_send(now, 1, 1).is_zero() {
                limits.record_send(now, 1);
                sent += 1;
            }
        }
        limits.expire(start + ms(1_200 + second * 1_000));
        sent_per_second.push(sent);
    }
    assert!(sent_per_second[0] <= 4, "{sent_per_second:?}");
    assert!(sent_per_second.windows(2).all(|two| two[0] <= two[1]), "{sent_per_second:?}");
    assert_eq!(sent_per_second[7], 1_000, "no longer limited");
}

/// Guards against a limit of zero that no answer could ever end.
#[test]
fn a_target_without_any_rate_still_gets_a_request_now_and_then() {
    let start = Instant::now();
    let mut limits = RateLimits::default();
    limits.record(1, statement(Some(0.0), start, start));
    let sends = (0..20_000).filter(|step| {
        let now = start + ms(*step);
        let is_due = limits.time_until_send(now, 1, 1).is_zero();
        if is_due {
            limits.record_send(now, 1);
        }
        is_due
    });
    assert_eq!(sends.count(), 5);
}

/// Guards against limits that are not numbers.
#[test]
fn only_finite_rates_are_parsed() {
    for text in ["", "fast", "-1", "NaN", "inf", "1e999", "2 per second"] {
        let error = text.parse::<RequestsPerSecond>().unwrap_err().to_string();
        assert!(error.starts_with("expected a decimal number of at least 0"), "{text}: {error}");
    }
    assert_eq!(" 1.5 ".parse(), Ok(RequestsPerSecond(1.5)));
}

/// Requests that all nodes together get per second.
const LOAD: f64 = 40.0;

/// Length of a replay.
const REPLAY_TIME: Duration = Duration::from_secs(40);

/// When the target first states a limit.
const LIMIT_START: Duration = Duration::from_secs(4);

/// When the target stops stating a limit.
const LIMIT_END: Duration = Duration::from_secs(28);

/// Time from the first statement until the limit binds.
const BINDING_DELAY: Duration = Duration::from_secs(3);

/// Time from a statement's receipt until the receiving node is bound by it.
const TOLD_DELAY: Duration = Duration::from_millis(500);

/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Interval at which nodes repeat statements.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a statement is repeated.
const REPEAT_TIME: Duration = Duration::from_secs(2);

/// Longest time that a request runs.
const MAX_WORK: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The owner restarts every five seconds, without any knowledge.
    OwnerRestarts,
    /// The owner changes every five seconds.
    OwnerChanges,
    /// Nodes reach neither the owner nor its successor for two seconds in every six.
    OwnersCut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Decide { node: usize },
    Grant { node: usize },
    Serve { node: usize, sent_at: Duration },
    Answer { node: usize, sent_at: Duration, limit_milli: Option<u64> },
    Repeat,
    OwnerFault,
}

/// Nodes that decide on one target, which they prefer over all others whenever they may use it.
struct Replay {
    origin: Instant,
    now: Duration,
    nodes: Vec<RateLimits<u8>>,
    owner: usize,
    fault: Fault,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    random: StdRng,
    /// When each request reached the target, and through which node.
    arrivals: Vec<(Duration, usize)>,
    /// When each node first received a statement of a limit.
    told_at: Vec<Option<Duration>>,
}

impl Replay {
    fn run(nodes: usize, fault: Fault, seed: u64) -> Self {
        let mut replay = Self {
            origin: Instant::now(),
            now: Duration::ZERO,
            nodes: vec![RateLimits::default(); nodes],
            owner: 0,
            fault,
            events: BinaryHeap::new(),
            event_count: 0,
            random: StdRng::seed_from_u64(seed),
            arrivals: Vec::new(),
            told_at: vec![None; nodes],
        };
        for event in [Event::Arrive, Event::Repeat, Event::OwnerFault] {
            replay.schedule(Duration::ZERO, event);
        }
        while let Some(Reverse((at, _, event))) = replay.events.pop()
            && at < REPLAY_TIME
        {
            replay.now = at;
            replay.handle(event);
        }
        replay
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + delay, self.event_count, event)));
    }

    fn clock(&self) -> Instant {
        self.origin + self.now
    }

    fn link_delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..3_000))
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_bool(0.1)
    }

    fn successor(&self) -> usize {
        (self.owner + 1) % self.nodes.len()
    }

    fn are_owners_cut(&self) -> bool {
        self.fault == Fault::OwnersCut && self.now.as_millis() % 6_000 >= 4_000
    }

    /// Returns the limit that the target states at a time, in thousandths.
    fn limit_milli(now: Duration) -> Option<u64> {
        match now {
            now if now < LIMIT_START || now >= LIMIT_END => None,
            now if now < Duration::from_secs(14) => Some(3_000),
            now if now < Duration::from_secs(20) => Some(1_200),
            _ => Some(6_500),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let node = self.random.random_range(0..self.nodes.len());
                let delay = self.link_delay();
                self.schedule(delay, Event::Decide { node });
                let gap = -self.random.random_range(f64::EPSILON..1.0).ln() / LOAD;
                self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
            }
            Event::Decide { node } => self.decide(node),
            Event::Grant { node } => {
                let delay = self.link_delay();
                self.schedule(delay, Event::Serve { node, sent_at: self.now });
            }
            Event::Serve { node, sent_at } => {
                self.arrivals.push((self.now, node));
                let work = self.random.random_range(ms(20)..MAX_WORK);
                // The answer states the limit at its start, which is when the work has ended.
                let limit_milli = Self::limit_milli(self.now + work);
                self.schedule(work, Event::Answer { node, sent_at, limit_milli });
            }
            Event::Answer { node, sent_at, limit_milli } => {
                self.receive(node, sent_at, limit_milli);
            }
            Event::Repeat => {
                self.repeat_statements();
                self.schedule(REPEAT_INTERVAL, Event::Repeat);
            }
            Event::OwnerFault => {
                match self.fault {
                    Fault::OwnerRestarts => self.nodes[self.owner] = RateLimits::default(),
                    Fault::OwnerChanges => self.owner = self.successor(),
                    Fault::None | Fault::OwnersCut => {}
                }
                self.schedule(Duration::from_secs(5), Event::OwnerFault);
            }
        }
    }

    /// Decides on a request of a node, at the owner or alone; if the target may not get it, another
    /// one does.
    fn decide(&mut self, node: usize) {
        let now = self.clock();
        let (decider, nodes) =
            if self.are_owners_cut() { (node, self.nodes.len()) } else { (self.owner, 1) };
        if !self.nodes[decider].time_until_send(now, 0, nodes).is_zero() {
            return;
        }
        let mut informed = BTreeSet::from([decider, node]);
        if !self.are_owners_cut() && !self.is_lost() {
            informed.insert(self.successor());
        }
        for informed in informed {
            self.nodes[informed].record_send(now, 0);
        }
        let delay = self.link_delay();
        self.schedule(delay, Event::Grant { node });
    }

    fn receive(&mut self, node: usize, sent_at: Duration, limit_milli: Option<u64>) {
        let limit = limit_milli.map(|milli| milli as f64 / 1e3);
        if limit.is_some() {
            self.told_at[node].get_or_insert(self.now);
        }
        let statement = statement(limit, self.origin + sent_at, self.clock());
        if self.nodes[node].record(0, statement).is_some() {
            self.tell_owners(statement);
        }
    }

    fn tell_owners(&mut self, statement: Statement) {
        for owner in [self.owner, self.successor()] {
            if !self.are_owners_cut() && !self.is_lost() {
                self.nodes[owner].merge(0, statement);
            }
        }
    }

    fn repeat_statements(&mut self) {
        let now = self.clock();
        // A new owner is told of all statements, for two seconds.
        let is_owner_new = self.now.as_millis() % 5_000 < REPEAT_TIME.as_millis();
        let max_age = if is_owner_new { Duration::from_secs(60) } else { REPEAT_TIME };
        let statements: Vec<Statement> = self
            .nodes
            .iter()
            .flat_map(|limits| limits.direct_statements(now, max_age).map(|(_, s)| s))
            .collect();
        statements.into_iter().for_each(|statement| self.tell_owners(statement));
        self.nodes.iter_mut().for_each(|limits| limits.expire(now));
    }

    /// Returns the greatest excess over what the limit allows, in requests within a window.
    fn max_excess(&self) -> f64 {
        let is_bound = |&(at, node): &(Duration, usize)| {
            self.told_at[node].is_some_and(|told| told + TOLD_DELAY <= at)
        };
        let bound: Vec<Duration> =
            self.arrivals.iter().filter(|a| is_bound(a)).map(|a| a.0).collect();
        let first = LIMIT_START + BINDING_DELAY;
        let starts = bound.iter().filter(|at| **at >= first && **at + WINDOW < LIMIT_END);
        let excess = starts.map(|&start| {
            let sent = bound.iter().filter(|at| **at >= start && **at < start + WINDOW).count();
            // Statements of the limit before may be under way for as long as a request runs.
            let since = start.saturating_sub(MAX_WORK).max(LIMIT_START);
            let limits = (0..=60)
                .filter_map(|step| Self::limit_milli(since + (start + WINDOW - since) * step / 60));
            let limit = limits.max().unwrap_or_default() as f64 / 1e3;
            sent as f64 - (1.5 * limit * WINDOW.as_secs_f64() + 5.0)
        });
        excess.fold(f64::MIN, f64::max)
    }
}

/// Guards against nodes that keep to a limit one by one and exceed it together, at the size of the
/// largest fleet and twice that, while owners restart, change or are cut off.
#[test]
fn a_fleet_keeps_to_a_limit_through_changes_of_the_owner() {
    for nodes in [9, 195, 390] {
        for fault in [Fault::None, Fault::OwnerRestarts, Fault::OwnerChanges, Fault::OwnersCut] {
            for seed in 1..=5 {
                let replay = Replay::run(nodes, fault, seed);
                let excess = replay.max_excess();
                assert!(excess <= 0.0, "{nodes} nodes, {fault:?}, seed {seed}: {excess} too many");
                let after = replay.arrivals.iter().filter(|a| a.0 > LIMIT_END + ms(8_000)).count();
                assert!(after > 50, "{nodes} nodes, {fault:?}, seed {seed}: {after} after its end");
            }
        }
    }
}
