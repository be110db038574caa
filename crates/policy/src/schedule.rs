//! Plan over time for the long prompts that wait for engines.
//!
//! Each pass plans all waiting long prompts together, on a timeline per engine: when it has
//! prefilled what is placed there, and the intervals promised to waiting prompts. A prompt gets the
//! number of engines and the start that end its prefill first. A promise is kept in later passes,
//! so smaller prompts are placed before a larger one only if they end before its start
//! (conservative backfill). No engine ever holds two chunks.
//!
//! Load pattern: goals of several seconds and prompts of up to a million tokens on a fleet where
//! some engines are always busy. [`crate::plan::choose_engines`] waits until most engines without short
//! streams are idle at the same moment, which smaller prompts prevent by taking each engine as it
//! becomes free: large prompts are refused after seconds of waiting beside dozens of idle engines.

use crate::engine::Profile;
use crate::plan::{
    Load, MAX_HELPERS, MAX_IDLE_BACKLOG, OVERHEAD, Plan, Planner, Query, Refused,
    TARGET_PREFILL_CHUNK_TIME,
};
use crate::timeline::{Reach, Timeline, usable_engines};
use hickory_unit::size::Tokens;
use std::cmp::Reverse;
use std::time::Duration;

/// Fraction of the usable engines that prompts with much time left take only if they would be late
/// without them. Prompts of a second and short prompts that arrive meanwhile find them free.
const SPARE_ENGINE_FRACTION: f64 = 0.1;

/// Prompts with more time than this until their goal leave the spare engines to others.
const MIN_PATIENT_TIME: Duration = Duration::from_secs(2);

/// Longest delay of a promised start for which the promise is kept on its engines: an engine that
/// ends a chunk this much later than predicted is still the next one to be free.
const MAX_SLIP: Duration = Duration::from_millis(100);

/// Numbers of engines that are tried beyond the first ones differ by more than one, since chunks
/// then differ little.
const COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 13, MAX_HELPERS + 1];

/// Number of prompts for which a start is searched in one pass, so that a pass takes less than a
/// millisecond when many arrive together. The others wait for the next pass, 2 ms later.
const MAX_SEARCHES: usize = 6;

/// Number of times that a start is moved on until enough engines are free together. The start
/// moves past at least one promised interval each time.
const MAX_START_ROUNDS: usize = 6;

/// A long prompt that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The prompt, and the time left for it.
    pub query: Query,
    /// What the previous pass promised it.
    pub promise: Option<Promise>,
    /// Engines that it must not be placed on.
    pub excluded: Vec<usize>,
}

/// A start that is promised to a waiting prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Time until the start.
    pub start: Duration,
    /// The engines that prefill it; none if its start is searched in the next pass.
    pub engines: Vec<usize>,
    /// Number of prompts that the plan starts before it.
    pub ahead: u32,
}

/// What the plan has for a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Dispatch it now.
    Place(Plan),
    /// It waits for its start.
    Wait(Promise),
    /// It can't be served before its caller gives up.
    Refuse(Refused),
}

/// Plans all waiting long prompts. Returns the outcomes in the order of the prompts.
pub fn plan_prompts(prompts: &[Prompt], profile: &Profile, loads: &[Load]) -> Vec<Outcome> {
    let mut schedule = Schedule::new(prompts, profile, loads);
    schedule.keep_promises();
    schedule.advance_promised();
    schedule.plan_others();
    schedule.into_outcomes()
}

/// A time interval on some engines.
#[derive(Clone, Debug)]
struct Slice {
    start: Duration,
    chunk_time: Duration,
    engines: Vec<usize>,
}

struct Schedule<'a> {
    prompts: &'a [Prompt],
    profile: &'a Profile,
    /// The loads, with the prompts that are placed in this pass.
    loads: Vec<Load>,
    timelines: Vec<Timeline>,
    /// Engines that may hold long chunks, the preferred ones first.
    usable: Vec<usize>,
    /// The other engines, which only prompts take that would be refused without them.
    kept_free: Vec<usize>,
    is_usable: Vec<bool>,
    prefill_times: Vec<Duration>,
    slices: Vec<Option<Slice>>,
    outcomes: Vec<Option<Outcome>>,
}

impl<'a> Schedule<'a> {
    fn new(prompts: &'a [Prompt], profile: &'a Profile, loads: &[Load]) -> Self {
        let prefill_time = |prompt: &Prompt| profile.prefill_time(prompt.query.prompt_tokens);
        let (usable, kept_free) = usable_engines(profile, loads);
        let mut is_usable = vec![false; loads.len()];
        usable.iter().for_each(|&engine| is_usable[engine] = true);
        Self {
            prompts,
            profile,
            loads: loads.to_vec(),
            timelines: loads.iter().map(|load| Timeline::new(profile, load)).collect(),
            usable,
            kept_free,
            is_usable,
            prefill_times: prompts.iter().map(prefill_time).collect(),
            slices: vec![None; prompts.len()],
            outcomes: vec![None; prompts.len()],
        }
    }

    /// Reserves what earlier passes promised, if the engines can still keep it.
    fn keep_promises(&mut self) {
        for (_, index) in self.promised() {
            if let Some(slice) = self.kept_slice(index) {
                self.reserve(index, slice);
            }
        }
    }

    fn kept_slice(&self, index: usize) -> Option<Slice> {
        let prompt = &self.prompts[index];
        let Promise { start: promised, engines, .. } = prompt.promise.as_ref()?;
        let is_able = |engine: &usize| {
            self.is_usable.get(*engine) == Some(&true) && !prompt.excluded.contains(engine)
        };
        if engines.is_empty() || !engines.iter().all(is_able) {
            return None;
        }
        let chunk_time = self.prefill_times[index] / engines.len() as u32;
        let starts = |from| {
            let starts = engines.iter().map(move |&engine| (engine, from));
            starts.map(|(engine, from)| self.timelines[engine].earliest(from, chunk_time)).max()
        };
        let now = starts(Duration::ZERO).filter(|start| start.is_zero());
        let start = now.filter(|_| *promised <= MAX_IDLE_BACKLOG).or_else(|| starts(*promised))?;
        let slice = Slice { start, chunk_time, engines: engines.clone() };
        let is_in_time = self.first_token(&slice) <= prompt.query.goal_left;
        let is_kept = start <= *promised + if is_in_time { MAX_SLIP } else { MAX_IDLE_BACKLOG }
            && starts(start) == Some(start)
            && self.first_token(&slice) <= prompt.query.limit_left
            && self.with_memory(index, engines, engines.len(), start).is_some();
        is_kept.then_some(slice)
    }

    /// Starts promised prompts now if engines have become free earlier than expected.
    fn advance_promised(&mut self) {
        for (_, index) in self.promised() {
            let is_idle = |&&engine: &&usize| {
                self.timelines[engine].earliest(Duration::ZERO, Duration::ZERO).is_zero()
            };
            if self.usable.iter().find(is_idle).is_none() {
                return;
            }
            let Some(kept) = self.release(index) else { continue };
            let now = self.slice_now(index);
            let end = kept.start + kept.chunk_time;
            let chosen = now.filter(|slice| slice.chunk_time <= end).unwrap_or(kept);
            self.reserve(index, chosen);
        }
    }

    /// Plans the prompts without a promise that can be kept.
    fn plan_others(&mut self) {
        let mut others: Vec<usize> = (0..self.prompts.len())
            .filter(|&index| self.slices[index].is_none() && self.outcomes[index].is_none())
            .collect();
        others.sort_by_key(|&index| {
            let has_promise =
                self.prompts[index].promise.as_ref().is_some_and(|p| !p.engines.is_empty());
            (!has_promise, self.latest_start(index))
        });
        others.truncate(MAX_SEARCHES);
        for index in others {
            match self.choose(index) {
                Ok(slice) => self.reserve(index, slice),
                Err(refused) => self.outcomes[index] = Some(Outcome::Refuse(refused)),
            }
        }
    }

    /// Returns the promised prompts by start.
    fn promised(&self) -> Vec<(Duration, usize)> {
        let starts = self.prompts.iter().map(|prompt| prompt.promise.as_ref().map(|p| p.start));
        let mut promised: Vec<(Duration, usize)> =
            starts.zip(0..).filter_map(|(start, index)| Some((start?, index))).collect();
        promised.sort_unstable();
        promised
    }

    /// Returns the latest start with which a prompt meets its goal on the most engines.
    fn latest_start(&self, index: usize) -> Duration {
        let shortest = self.prefill_times[index] / (MAX_HELPERS + 1) as u32;
        self.prompts[index].query.goal_left.saturating_sub(shortest)
    }

    /// Chooses the slice that ends first.
    fn choose(&self, index: usize) -> Result<Slice, Refused> {
        let query = &self.prompts[index].query;
        if self.loads.is_empty() {
            return Err(Refused::NoEngine);
        }
        let planner = Planner::new(query, self.profile, &self.loads);
        if planner.kv_needed.0 > planner.kv_usable.0.saturating_mul(self.loads.len() as u64) {
            return Err(Refused::TooLong);
        }
        let is_within = |slice: &Slice, time| self.first_token(slice) <= time;
        let mut best = self.first_slice(index, self.reach(index));
        if !best.as_ref().is_some_and(|best| is_within(best, query.goal_left)) {
            best = self.first_slice(index, Reach::Usable);
        }
        if !best.as_ref().is_some_and(|best| is_within(best, query.limit_left)) {
            best = self.first_slice(index, Reach::All);
        }
        let Some(best) = best else {
            return Err(Refused::Busy(self.profile.stream_time(self.profile.slots)));
        };
        let first_token = self.first_token(&best);
        match first_token <= query.limit_left {
            true => Ok(best),
            false => Err(Refused::Busy(first_token - query.limit_left)),
        }
    }

    /// Returns the engines that a prompt tries first.
    fn reach(&self, index: usize) -> Reach {
        match self.prompts[index].query.goal_left > MIN_PATIENT_TIME {
            true => Reach::Patient,
            false => Reach::Usable,
        }
    }

    /// Returns the time to first token of a prompt with this slice.
    fn first_token(&self, slice: &Slice) -> Duration {
        slice.start + slice.chunk_time + self.profile.iteration_time(0, Tokens(0)) + OVERHEAD
    }

    /// Returns the engines that may prefill a prompt, and the numbers of engines to try, up to the
    /// number at which chunks are small.
    fn options(&self, index: usize, reach: Reach) -> (Vec<usize>, Vec<usize>) {
        let excluded = &self.prompts[index].excluded;
        let is_able = |engine: &usize| !excluded.contains(engine);
        let mut engines: Vec<usize> = self.usable.iter().copied().filter(is_able).collect();
        let planner = Planner::new(&self.prompts[index].query, self.profile, &self.loads);
        let memory = planner.kv_usable.0.saturating_mul(engines.len() as u64);
        if reach == Reach::All || memory < planner.kv_needed.0 {
            engines.extend(self.kept_free.iter().copied().filter(is_able));
        }
        if reach == Reach::Patient {
            let spare = (engines.len() as f64 * SPARE_ENGINE_FRACTION) as usize;
            engines.truncate(engines.len() - spare);
        }
        let small = TARGET_PREFILL_CHUNK_TIME.as_secs_f64();
        let enough = (self.prefill_times[index].as_secs_f64() / small).ceil() as usize;
        let most = enough.clamp(1, MAX_HELPERS + 1).min(engines.len());
        let counts = COUNTS.into_iter().filter(|&count| count < most);
        let counts = counts.chain([most]).filter(|&count| count > 0);
        (engines, counts.collect())
    }

    /// Returns the slice on the most engines that starts now.
    fn slice_now(&self, index: usize) -> Option<Slice> {
        let (engines, counts) = self.options(index, self.reach(index));
        counts.into_iter().rev().find_map(|count| {
            let chunk_time = self.prefill_times[index] / count as u32;
            self.earliest_slice(index, &engines, count, chunk_time, Duration::ZERO, 0)
        })
    }

    /// Returns the slice that ends first.
    fn first_slice(&self, index: usize, reach: Reach) -> Option<Slice> {
        let (engines, counts) = self.options(index, reach);
        let prefill_time = self.prefill_times[index];
        let smallest = prefill_time / *counts.last()? as u32;
        let earliest = |&engine: &usize| self.timelines[engine].earliest(Duration::ZERO, smallest);
        let mut earliest: Vec<Duration> = engines.iter().map(earliest).collect();
        earliest.sort_unstable();
        let mut best: Option<Slice> = None;
        for &count in counts.iter().rev() {
            let chunk_time = prefill_time / count as u32;
            // No chunk starts before the smallest one could.
            let from = earliest[count - 1];
            let end = best.as_ref().map_or(Duration::MAX, |best| best.start + best.chunk_time);
            if from + chunk_time >= end {
                continue;
            }
            let slice =
                self.earliest_slice(index, &engines, count, chunk_time, from, MAX_START_ROUNDS);
            best = slice.filter(|slice| slice.start + chunk_time < end).or(best);
        }
        best
    }

    /// Returns the earliest slice from `from` on. The start is moved on at most `rounds` times.
    fn earliest_slice(
        &self,
        index: usize,
        engines: &[usize],
        count: usize,
        chunk_time: Duration,
        from: Duration,
        rounds: usize,
    ) -> Option<Slice> {
        let mut start = from;
        for round in 0..=rounds {
            // The last round is after all that is planned, where enough engines are free together.
            let is_last = round > 0 && round == rounds;
            let earliest = |&engine: &usize| match is_last {
                true => (self.timelines[engine].end(), engine),
                false => (self.timelines[engine].earliest(start, chunk_time), engine),
            };
            let mut starts: Vec<(Duration, usize)> = engines.iter().map(earliest).collect();
            if is_last {
                let mut ends: Vec<Duration> = starts.iter().map(|(end, _)| *end).collect();
                ends.sort_unstable();
                start = start.max(*ends.get(count - 1)?);
            }
            let free = starts.iter().filter(|(at, _)| *at <= start).map(|(_, engine)| *engine);
            let free: Vec<usize> = free.collect();
            if let Some(engines) = self.with_memory(index, &free, count, start) {
                return Some(Slice { start, chunk_time, engines });
            }
            let next = if free.len() >= count { free.len() } else { count - 1 };
            if next < starts.len() {
                start = starts.select_nth_unstable(next).1.0;
            }
        }
        None
    }

    /// Returns this number of engines that hold the prompt.
    fn with_memory(
        &self,
        index: usize,
        free: &[usize],
        count: usize,
        start: Duration,
    ) -> Option<Vec<usize>> {
        if free.len() < count {
            return None;
        }
        let planner = Planner::new(&self.prompts[index].query, self.profile, &self.loads);
        let is_clear = |engine: usize| start >= self.timelines[engine].clear_at;
        let memory = |engine: usize| match !start.is_zero() && is_clear(engine) {
            true => planner.kv_usable,
            false => planner.kv_free(engine),
        };
        let fits = |engines: &[usize]| {
            engines.iter().any(|&engine| memory(engine) >= planner.kv_needed)
                || engines.iter().map(|&engine| memory(engine).0).sum::<u64>()
                    >= planner.kv_needed.0
        };
        let first = &free[..count];
        if fits(first) {
            return Some(first.to_vec());
        }
        let mut by_memory = free.to_vec();
        by_memory.sort_by_key(|&engine| Reverse(memory(engine)));
        by_memory.truncate(count);
        fits(&by_memory).then_some(by_memory)
    }

    fn release(&mut self, index: usize) -> Option<Slice> {
        let slice = self.slices[index].take()?;
        let interval = (slice.start, slice.start + slice.chunk_time);
        slice.engines.iter().for_each(|&engine| self.timelines[engine].remove(interval));
        Some(slice)
    }

    /// Plans a slice; one that starts now is placed.
    fn reserve(&mut self, index: usize, slice: Slice) {
        let is_due = slice.start.is_zero();
        let placed = is_due.then(|| self.place(index, &slice)).flatten();
        let interval = (slice.start, slice.start + slice.chunk_time);
        slice.engines.iter().for_each(|&engine| self.timelines[engine].insert(interval));
        match placed {
            Some(plan) => self.outcomes[index] = Some(Outcome::Place(plan)),
            None => self.slices[index] = Some(slice),
        }
    }

    fn place(&mut self, index: usize, slice: &Slice) -> Option<Plan> {
        let query = &self.prompts[index].query;
        let planner = Planner::new(query, self.profile, &self.loads);
        let plan = planner.build_plan(&slice.engines, slice.chunk_time)?;
        let kv_needed = planner.kv_needed;
        for &engine in &slice.engines {
            let load = &mut self.loads[engine];
            load.prefill_backlog += slice.chunk_time;
            load.prefill_start_delay += slice.chunk_time;
        }
        plan.helpers.iter().for_each(|&engine| self.loads[engine].helper_chunks += 1);
        self.loads[plan.primary].requests += 1;
        match plan.kv_reservations.is_empty() {
            true => self.loads[plan.primary].kv_used += kv_needed,
            false => {
                for &(engine, tokens) in &plan.kv_reservations {
                    self.loads[engine].kv_used += tokens;
                }
            }
        }
        Some(plan)
    }

    fn into_outcomes(self) -> Vec<Outcome> {
        let placed = self.outcomes.iter().filter(|o| matches!(o, Some(Outcome::Place(_)))).count();
        let mut starts: Vec<Duration> =
            self.slices.iter().flatten().map(|slice| slice.start).collect();
        starts.sort_unstable();
        let slices = self.slices.into_iter().zip(self.outcomes);
        let outcomes = slices.map(|(slice, outcome)| match (outcome, slice) {
            (Some(outcome), _) => outcome,
            (None, Some(Slice { start, engines, .. })) => {
                let ahead = (placed + starts.partition_point(|other| *other < start)) as u32;
                Outcome::Wait(Promise { start, engines, ahead })
            }
            (None, None) => {
                Outcome::Wait(Promise { start: Duration::ZERO, engines: Vec::new(), ahead: 0 })
            }
        });
        outcomes.collect()
    }
}
