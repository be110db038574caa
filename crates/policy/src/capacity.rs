//! Speed and concurrency limit of each target, learned from the times of its requests.
//!
//! A target is modelled by two values: the time of a request while it has few of them, and the
//! number of concurrent requests (the limit) beyond which each takes proportionally longer, so that
//! more requests bring no more throughput. The time follows each request with a short memory. The
//! limit is fitted to how times grow with concurrency, with a longer memory, and is the number of
//! slots without evidence.
//!
//! What is learned ages. The time of a target without requests returns to the median of the
//! service, so that a slow target gets a request now and then, as soon as its expected time is no
//! longer above that of the others.
//!
//! Load pattern: replicas or engines of one service whose speeds differ, some of which slow down
//! for seconds or long before all their slots are in use.

use crate::curve::{self, Curve, Mean, USUAL_SPREAD, decay, median, stretch};
use crate::plan::Load;
use derive_more::Display;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Minimum number of targets of a plain service. With fewer, two slow targets shift the median with
/// which all are compared.
pub const MIN_TARGETS: usize = 7;

/// Memory of a target's time, in requests: with fewer, the random part of single requests shows.
const TIME_MEMORY: f64 = 60.0;

/// Half-life of the evidence on a target's time.
const TIME_HALF_LIFE: Duration = Duration::from_secs(1);

/// Memory of a target's recent time, in requests, by which a change is found. A fall must be
/// followed within a second, in which a target that is four times slower ends about 20 requests.
const RECENT_MEMORY: f64 = 7.0;

/// Half-life of the evidence on a target's recent time.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(300);

/// Memory of the relative spread of a target's times, in requests.
const SPREAD_MEMORY: f64 = 50.0;

/// Greatest relative difference of a single request that counts for the spread. A change of the
/// speed isn't spread.
const MAX_SPREAD_DIFFERENCE: f64 = 2.0;

/// Number of standard errors from which on a difference is a change of the target's speed.
const CHANGE_ERRORS: f64 = 4.0;

/// Number of standard errors within which a target counts as equal to the median.
const EQUAL_ERRORS: f64 = 3.0;

/// Half-life of the difference to the median of a target without requests. The difference of a
/// target that was four times slower is within [`EQUAL_RANGE`] after 2 s.
const IDLE_HALF_LIFE: Duration = Duration::from_millis(500);

/// Time without requests after which a target's time begins to return to the median.
const IDLE_TIME: Duration = Duration::from_millis(300);

/// Factor of the times above for targets with few requests, which tell less.
const SPARSE_PACE: f64 = 20.0;

/// Speeds within this factor of the median count as equal for targets with few requests, whose times
/// depend more on the moment.
const SPARSE_EQUAL_RANGE: f64 = 1.5;

/// Interval between two fits of a limit.
const FIT_INTERVAL: Duration = Duration::from_millis(100);

/// Speeds within this factor of the median count as equal: times vary that much at random.
const EQUAL_RANGE: f64 = 1.2;

/// Greatest factor by which a single request counts as slower or faster than known. It bounds the
/// effect of a request that hangs.
const MAX_RATIO: f64 = 8.0;

/// Time after which a target without requests or reports is forgotten.
const RETENTION: Duration = Duration::from_secs(30);

/// Time for which a reported load counts.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// Time for which a reported load confirms the next one. A target that is avoided because of its load
/// reports the next one only after it has got a request again.
const REPORT_MEMORY: Duration = Duration::from_secs(5);

/// Minimum time of a request, in units. A time of zero would be a speed without a bound.
const MIN_UNITS: f64 = 1e-3;

/// Factor by which the speed of a target differs from the median at most.
const MAX_SPEED_FACTOR: f64 = 16.0;

/// Speed relative to the median of the service.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
pub struct Speed(pub f64);

impl Default for Speed {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Speed {
    /// Whether it is below the median of the service.
    pub fn is_slow(self) -> bool {
        self < Self::default()
    }

    /// Returns the time of work that takes `time` at the median speed.
    pub fn scale(self, time: Duration) -> Duration {
        match self.0 == 1.0 {
            true => time,
            false => {
                Duration::try_from_secs_f64(time.as_secs_f64() / self.0).unwrap_or(Duration::MAX)
            }
        }
    }
}

impl Load {
    /// Sets the speed of the engine, and scales the times that were computed for the median speed.
    pub fn set_speed(&mut self, speed: Speed) {
        self.speed = speed;
        self.prefill_backlog = speed.scale(self.prefill_backlog);
        self.prefill_start_delay = speed.scale(self.prefill_start_delay);
        self.next_iteration_prefill = speed.scale(self.next_iteration_prefill);
    }
}

/// What is known of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Its speed.
    pub speed: Speed,
    /// Number of concurrent requests beyond which more bring no more throughput.
    pub limit: u32,
    /// Requests that it reported and that aren't placed by the nodes.
    pub foreign: u32,
}

impl Estimate {
    /// Returns the estimate of a target of which nothing is known.
    pub fn unknown(slots: u32) -> Self {
        Self { speed: Speed::default(), limit: slots.max(1), foreign: 0 }
    }

    /// Whether the target differs from one of which nothing is known.
    pub fn is_different(&self, slots: u32) -> bool {
        *self != Self { foreign: self.foreign, ..Self::unknown(slots) }
    }

    /// Returns how many more requests the target takes without delaying them, beside those that are
    /// placed there.
    pub fn room(&self, requests: u32) -> u32 {
        self.limit.saturating_sub(requests + self.foreign)
    }

    /// Returns how many times longer a request takes beside `others` than alone.
    pub fn stretch(&self, others: u32) -> f64 {
        stretch(f64::from(others + self.foreign + 1), f64::from(self.limit))
    }
}

/// A request that a target has begun.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    serial: u64,
    at: Instant,
    /// Sum of the concurrency of the target over time when it began, in seconds.
    area: f64,
}

/// Load that a target reports of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Running requests.
    pub running: f64,
    /// Waiting requests.
    pub waiting: f64,
    /// Requests that it runs at once.
    pub slots: f64,
}

#[derive(Clone, Debug, Default)]
struct Target {
    /// Time of a request, in units, with few others beside it.
    time: Mean,
    /// The same over the last requests.
    recent: Mean,
    /// Mean square of the relative differences of single requests from it.
    variance: Mean,
    /// Times by concurrency.
    curve: Curve,
    limit: Option<u32>,
    fitted_at: Option<Instant>,
    running: Vec<(u64, Instant)>,
    /// Requests that it reported and that weren't placed by the nodes, in both of the last two
    /// reports: one alone may cross the news of requests that have begun or ended.
    foreign: f64,
    last_foreign: f64,
    reported: Option<(Instant, Report)>,
    /// Sum of the concurrency over time, in seconds.
    area: f64,
    used_at: Option<Instant>,
}

/// What is learned of the targets.
#[derive(Clone, Debug)]
pub struct Capacity<K> {
    targets: HashMap<K, Target>,
    last_serial: u64,
    /// Factor of the times for which what is learned lasts.
    pace: f64,
}

impl<K> Default for Capacity<K> {
    fn default() -> Self {
        Self { targets: HashMap::new(), last_serial: 0, pace: 1.0 }
    }
}

impl<K: Copy + Eq + Hash> Capacity<K> {
    /// Returns one for targets that get about a request a second, as engines do onto which prompts
    /// are packed. What is learned lasts longer, and no target counts as faster than the median: that
    /// its few requests came at good moments is more likely.
    pub fn for_sparse_requests() -> Self {
        Self { pace: SPARSE_PACE, ..Self::default() }
    }

    /// Records that a target has got a request at `at`.
    pub fn begin(&mut self, now: Instant, at: Instant, target: K) -> Start {
        self.last_serial += 1;
        let serial = self.last_serial;
        let known = self.targets.entry(target).or_default();
        known.advance(now);
        known.running.push((serial, at));
        // It may have been there for longer than this is known.
        let earlier = now.saturating_duration_since(at).as_secs_f64();
        Start { serial, at, area: known.area - earlier * f64::from(known.concurrency(now)) }
    }

    /// Records that a request has ended. `unit` is the expected time of the request on any target,
    /// in which times are compared. Only a served request tells the time of the target; one that
    /// ended without being served tells that it takes longer, if it had taken longer than known.
    pub fn end(&mut self, now: Instant, target: K, start: Start, unit: Duration, is_served: bool) {
        let pace = self.pace;
        let Some(known) = self.targets.get_mut(&target) else { return };
        known.advance(now);
        known.running.retain(|(serial, _)| *serial != start.serial);
        let elapsed = now.saturating_duration_since(start.at);
        let requests = (known.area - start.area) / elapsed.as_secs_f64().max(1e-6);
        let units = elapsed.as_secs_f64() / unit.as_secs_f64().max(1e-6);
        if is_served || known.is_longer(units, requests) {
            known.record(now, units, requests, pace);
        }
    }

    /// Records that nothing more will be heard of a request.
    pub fn withdraw(&mut self, target: K, start: Start) {
        if let Some(known) = self.targets.get_mut(&target) {
            known.running.retain(|(serial, _)| *serial != start.serial);
        }
    }

    /// Records that a request took `units` times its expected time, which accounts for the other
    /// requests of the target.
    pub fn record(&mut self, now: Instant, target: K, units: f64) {
        let pace = self.pace;
        let known = self.targets.entry(target).or_default();
        known.used_at = Some(now);
        known.record(now, units, 1.0, pace);
    }

    /// Records the load that a target reports.
    pub fn report(&mut self, now: Instant, target: K, report: Report) {
        let known = self.targets.entry(target).or_default();
        known.advance(now);
        let foreign = (report.running + report.waiting - known.running.len() as f64).max(0.0);
        let is_known = |at: Instant| now.saturating_duration_since(at) < REPORT_MEMORY;
        let is_first = known.reported.is_none_or(|(at, _)| !is_known(at));
        let last_foreign = std::mem::replace(&mut known.last_foreign, foreign);
        known.foreign = if is_first { 0.0 } else { foreign.min(last_foreign) };
        known.reported = Some((now, report));
    }

    /// Returns the estimates of a service's targets, given with their numbers of slots.
    pub fn estimates(
        &mut self,
        now: Instant,
        targets: &[(K, u32)],
        unit: Duration,
    ) -> Vec<Estimate> {
        for (target, slots) in targets {
            if let Some(known) = self.targets.get_mut(target) {
                known.fit(now, *slots);
            }
        }
        let times: Vec<Option<f64>> = targets
            .iter()
            .map(|(target, _)| self.targets.get(target).and_then(|known| known.time(now, unit)))
            .collect();
        let Some(median) = median(times.iter().flatten().copied().collect()) else {
            return targets.iter().map(|&(_, slots)| Estimate::unknown(slots)).collect();
        };
        let max_speed = if self.pace > 1.0 { 1.0 } else { f64::INFINITY };
        let estimate = |(&(target, slots), time): (&(K, u32), &Option<f64>)| {
            let known = self.targets.get(&target);
            let known_time =
                known.zip(*time).map(|(known, time)| known.aged(now, time, median, self.pace));
            Estimate {
                speed: known.zip(known_time).map_or_else(Speed::default, |(known, time)| {
                    let range = known.equal_range(now, self.pace);
                    Speed(relative_speed(time, median, range).0.min(max_speed))
                }),
                limit: known.and_then(|known| known.limit).unwrap_or(slots).max(1),
                foreign: known.map_or(0, |known| known.foreign(now)),
            }
        };
        targets.iter().zip(&times).map(estimate).collect()
    }

    /// Returns the median time of a request of these targets, with few others beside it.
    pub fn typical_time(
        &self,
        now: Instant,
        targets: &[(K, u32)],
        unit: Duration,
    ) -> Option<Duration> {
        let times =
            targets.iter().filter_map(|(target, _)| self.targets.get(target)?.time(now, unit));
        median(times.collect()).map(|time| unit.mul_f64(time))
    }

    /// Forgets targets that have had no request for long.
    pub fn expire(&mut self, now: Instant) {
        self.targets.retain(|_, known| {
            !known.running.is_empty()
                || known.used_at.is_some_and(|at| now.saturating_duration_since(at) < RETENTION)
        });
    }
}

impl Target {
    /// Counts the time since the last request began or ended.
    fn advance(&mut self, now: Instant) {
        let elapsed = self.used_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.area += elapsed.as_secs_f64() * f64::from(self.concurrency(now));
        self.used_at = Some(now);
    }

    fn concurrency(&self, now: Instant) -> u32 {
        self.running.len() as u32 + self.foreign(now)
    }

    fn foreign(&self, now: Instant) -> u32 {
        let is_recent = self.reported.is_some_and(|(at, _)| !is_outdated(now, at));
        if is_recent { self.foreign.round() as u32 } else { 0 }
    }

    /// Returns the relative spread of the times of single requests.
    fn spread(&self) -> f64 {
        self.variance.value.sqrt().max(USUAL_SPREAD)
    }

    /// Returns the factor by which the time may differ from the median at random.
    fn equal_range(&self, now: Instant, pace: f64) -> f64 {
        let weight = self.time.weight(now, TIME_HALF_LIFE.mul_f64(pace)).max(1.0);
        let range = if pace > 1.0 { SPARSE_EQUAL_RANGE } else { EQUAL_RANGE };
        range.max(1.0 + EQUAL_ERRORS * self.spread() / weight.sqrt())
    }

    /// Whether this is longer than the request is known to take.
    fn is_longer(&self, units: f64, requests: f64) -> bool {
        self.time.at.is_some() && units > self.time.value * self.stretch(requests)
    }

    /// Returns the factor by which this many requests stretch each of them.
    fn stretch(&self, requests: f64) -> f64 {
        self.limit.map_or(1.0, |limit| stretch(requests, f64::from(limit)))
    }

    fn record(&mut self, now: Instant, units: f64, requests: f64, pace: f64) {
        let units = units.max(MIN_UNITS);
        let stretch = self.stretch(requests);
        let alone = match self.time.at {
            None => units / stretch,
            Some(_) => {
                let known = self.time.value;
                (units / stretch).clamp(known / MAX_RATIO, known * MAX_RATIO)
            }
        };
        self.curve.add(now, requests, units, self.spread());
        if self.time.at.is_some() {
            let difference = (alone / self.time.value - 1.0).min(MAX_SPREAD_DIFFERENCE);
            self.variance.add(
                now,
                difference.powi(2),
                SPREAD_MEMORY,
                curve::HALF_LIFE.mul_f64(pace),
            );
        }
        self.recent.add(now, alone, RECENT_MEMORY, RECENT_HALF_LIFE.mul_f64(pace));
        self.time.add(now, alone, TIME_MEMORY, TIME_HALF_LIFE.mul_f64(pace));
        let change = (self.recent.value / self.time.value).max(1e-3).ln().abs();
        if change > (CHANGE_ERRORS * self.spread() / self.recent.weight.sqrt()).ln_1p() {
            self.time = self.recent;
        }
    }

    /// Returns the time of a request alone, in units. Requests that still run and are overdue count
    /// as if they had ended now.
    fn time(&self, now: Instant, unit: Duration) -> Option<f64> {
        self.time.at?;
        let known = self.time.value;
        let stretch = self.stretch(f64::from(self.concurrency(now)));
        let ages = self.running.iter().map(|(_, at)| now.saturating_duration_since(*at));
        let alone = ages.map(|age| age.as_secs_f64() / unit.as_secs_f64().max(1e-6) / stretch);
        let longest = known * (1.0 + CHANGE_ERRORS * self.spread());
        let overdue = alone.filter(|time| *time > longest);
        let (sum, count) = overdue.fold((0.0, 0.0), |(sum, count), time| {
            (sum + time.min(known * MAX_RATIO), count + 1.0)
        });
        Some((known * RECENT_MEMORY + sum) / (RECENT_MEMORY + count))
    }

    /// Returns the time after it has returned to the median for as long as there were no requests.
    fn aged(&self, now: Instant, time: f64, median: f64, pace: f64) -> f64 {
        let idle = self.used_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let idle = if self.running.is_empty() {
            idle.saturating_sub(IDLE_TIME.mul_f64(pace))
        } else {
            Duration::ZERO
        };
        median * (time / median).max(1e-3).powf(decay(idle, IDLE_HALF_LIFE.mul_f64(pace)))
    }

    /// Fits the limit again if the last fit is old. The target may report fewer slots than its
    /// entry.
    fn fit(&mut self, now: Instant, slots: u32) {
        let reported = self.reported.filter(|(at, _)| !is_outdated(now, *at));
        let slots = reported.map_or(slots, |(_, report)| slots.min(report.slots.max(1.0) as u32));
        let is_recent =
            self.fitted_at.is_some_and(|at| now.saturating_duration_since(at) < FIT_INTERVAL);
        if !is_recent {
            self.limit = Some(self.curve.fit_limit(now, slots, self.spread()));
            self.fitted_at = Some(now);
        }
    }
}

fn is_outdated(now: Instant, reported_at: Instant) -> bool {
    now.saturating_duration_since(reported_at) >= REPORT_TTL
}

fn relative_speed(time: f64, median: f64, equal_range: f64) -> Speed {
    let speed = (median / time.max(MIN_UNITS)).clamp(1.0 / MAX_SPEED_FACTOR, MAX_SPEED_FACTOR);
    let is_equal = speed < equal_range && speed > 1.0 / equal_range;
    if is_equal { Speed::default() } else { Speed(speed) }
}
