//! Placement of prompts on engines, with the expected time to first token.
//!
//! Short prompts are packed on few engines, as long as they are predicted to meet their goal and no
//! iteration exceeds the inter-token target of the streams there: an iteration with all slots in
//! use takes little longer than one with a single stream. If all slots are in use, a short prompt
//! waits for a slot that is expected to come free in time. Long prompts are split over the
//! remaining engines in chunks that their streams don't notice. An engine prefills the chunks of
//! other engines newest first, so a long prompt waits until enough engines are idle and no engine
//! holds two chunks.
//!
//! Load pattern: prompts of a thousand to a million tokens in alternating phases. Some of them
//! occupy an engine for seconds, during which none of its streams gets an event.

use crate::capacity::Speed;
use crate::engine::Profile;
use crate::queue::Ahead;
use hickory_unit::size::Tokens;
use std::time::Duration;

/// Maximum number of engines that prefill chunks beside the primary one.
pub const MAX_HELPERS: usize = 15;

/// Prompts that one engine prefills in less time than this are short: they are prefilled whole and
/// immediately. Short streams on the same engine tolerate a pause of this length.
const MAX_SHORT_PREFILL: Duration = Duration::from_millis(100);

/// Prompts with a goal below this are placed as short ones: they can't wait for idle engines.
const MAX_URGENT_GOAL: Duration = Duration::from_millis(600);

/// Fraction of the goal that the predicted first token of a short prompt may take for it to be
/// packed on an engine or to wait for a slot. The rest allows for prediction errors.
const PACK_GOAL_FRACTION: f64 = 0.7;

/// Fraction of an engine's slots that short streams are packed into. With fewer, short streams
/// occupy more engines and leave fewer to long prompts; with more, prompts that arrive together
/// find no slot.
pub(crate) const PACK_SLOT_FRACTION: f64 = 0.9;

/// Part of the time to first token that is spent outside of the engine: network round trip and host
/// scheduling.
pub(crate) const OVERHEAD: Duration = Duration::from_millis(10);

/// First tokens that differ by less than this arrive at the same time for the caller.
const FIRST_TOKEN_RESOLUTION: Duration = Duration::from_millis(20);

/// Maximum prefill time of a chunk if there are enough engines: half of the shortest pause that
/// long streams tolerate.
pub(crate) const TARGET_PREFILL_CHUNK_TIME: Duration = Duration::from_millis(250);

/// Maximum prefill time of a chunk for which a long prompt doesn't wait for more idle engines.
const MAX_PREFILL_CHUNK_TIME: Duration = Duration::from_millis(500);

/// Fraction of the engines without short streams that is enough for a prompt to be split over,
/// whatever the chunk time. Waiting for the last engines would leave the others idle.
const MIN_CLEAR_FRACTION: f64 = 0.6;

/// Fraction of the inter-token target that one iteration may take. The rest allows for prediction
/// errors.
pub(crate) const MAX_PAUSE_FRACTION: f64 = 0.9;

/// Engines with a smaller prefill backlog count as idle: they finish before a request reaches them.
pub(crate) const MAX_IDLE_BACKLOG: Duration = Duration::from_millis(15);

/// Fraction of the engines without short streams that must be idle before a prompt that will miss
/// its goal is placed. Otherwise it would take capacity from prompts that can still meet theirs.
const MIN_IDLE_FRACTION_FOR_LATE: f64 = 0.5;

/// Fraction of the remaining time limit that the prefill of a late prompt may take.
const LATE_PREFILL_FRACTION: f64 = 0.6;

/// Minimum retry delay of a prompt that can't meet its goal: long phases don't end sooner.
const MIN_LATE_RETRY: Duration = Duration::from_millis(4_000);

/// Maximum interval between two checks for idle engines.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fraction of an engine's KV memory for new prompts. The rest is for the answers of running
/// streams.
const MAX_KV_FRACTION: f64 = 0.95;

/// Load of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Time until it has prefilled all prompts that are placed there.
    pub prefill_backlog: Duration,
    /// Time until it starts to prefill another prompt.
    pub prefill_start_delay: Duration,
    /// Prefill time of the prompts and chunks placed there that its next iteration includes.
    pub next_iteration_prefill: Duration,
    /// Requests that run or wait there.
    pub requests: u32,
    /// Requests for which it prefills a chunk as a helper.
    pub helper_chunks: u32,
    /// Short requests among those that run or wait.
    pub short_requests: u32,
    /// Streams that are decoding.
    pub decoding_streams: u32,
    /// Lowest inter-token latency target among its requests.
    pub inter_token_target: Option<Duration>,
    /// Context of the decoding streams.
    pub decode_context: Tokens,
    /// KV memory in use or reserved.
    pub kv_used: Tokens,
    /// Whether it is in the zone of the choosing node.
    pub is_same_zone: bool,
    /// Rank of the engine for short prompts; lower ranks come first.
    pub preference: u64,
    /// Expected cost of a failure, if it failed recently.
    pub penalty: Duration,
    /// Whether it recently refused to prefill a chunk for another engine.
    pub is_refusing_chunks: bool,
    /// Its speed relative to the other engines, by which its times above are scaled.
    pub speed: Speed,
}

/// A prompt to place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// Prompt tokens.
    pub prompt_tokens: Tokens,
    /// Expected answer tokens.
    pub answer_tokens: Tokens,
    /// Whether it is placed as a short prompt, by [`is_short`].
    pub is_short: bool,
    /// Time left until the first-token goal.
    pub goal_left: Duration,
    /// Time left until the caller gives up on a first token.
    pub limit_left: Duration,
    /// Prompts that wait and are placed before it.
    pub ahead: Ahead,
    /// Typical time of a short stream from its placement to its end.
    pub typical_stream_time: Duration,
}

/// Placement of a prompt. Engines are indexes into the list of loads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Engine that receives the request and decodes the answer.
    pub primary: usize,
    /// Other engines that prefill chunks of it.
    pub helpers: Vec<usize>,
    /// KV memory to reserve on each engine; empty if the primary holds all of it.
    pub kv_reservations: Vec<(usize, Tokens)>,
    /// Prefill time of the chunk on each engine.
    pub chunk_time: Duration,
    /// Expected time to first token.
    pub time_to_first_token: Duration,
}

/// Decision on a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Dispatch it now.
    Place(Plan),
    /// Try again after this time.
    Wait(Duration),
}

/// Why a prompt can't be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// There is no engine.
    NoEngine,
    /// It needs more memory than all engines have.
    TooLong,
    /// No engine has room; one is expected to have room after this time.
    Busy(Duration),
}

/// Whether a prompt is prefilled immediately on one engine.
pub fn is_short(profile: &Profile, prompt: Tokens, goal: Duration) -> bool {
    goal < MAX_URGENT_GOAL || profile.prefill_time(prompt) < MAX_SHORT_PREFILL
}

/// Chooses the engines for a prompt.
///
/// # Errors
///
/// No engines can serve it in the time left.
pub fn choose_engines(query: &Query, profile: &Profile, loads: &[Load]) -> Result<Choice, Refused> {
    if loads.is_empty() {
        return Err(Refused::NoEngine);
    }
    let planner = Planner::new(query, profile, loads);
    if planner.kv_needed.0 > planner.kv_usable.0.saturating_mul(loads.len() as u64) {
        return Err(Refused::TooLong);
    }
    match query.is_short {
        true => planner.place_short(),
        false => planner.place_long(),
    }
}

/// Inputs of one placement decision.
pub(crate) struct Planner<'a> {
    query: &'a Query,
    profile: &'a Profile,
    loads: &'a [Load],
    /// Prefill time on one engine.
    prefill_time: Duration,
    /// KV memory of the prompt and its answer.
    pub(crate) kv_needed: Tokens,
    /// KV memory of an engine that prompts may use.
    pub(crate) kv_usable: Tokens,
}

impl<'a> Planner<'a> {
    pub(crate) fn new(query: &'a Query, profile: &'a Profile, loads: &'a [Load]) -> Self {
        Self {
            query,
            profile,
            loads,
            prefill_time: profile.prefill_time(query.prompt_tokens),
            kv_needed: profile.kv_needed(query.prompt_tokens, query.answer_tokens),
            kv_usable: Tokens((profile.kv_capacity.0 as f64 * MAX_KV_FRACTION) as u64),
        }
    }

    fn has_slot(&self, engine: usize) -> bool {
        let load = &self.loads[engine];
        load.requests < self.profile.slots && load.helper_chunks < self.profile.slots
    }

    pub(crate) fn kv_free(&self, engine: usize) -> Tokens {
        self.kv_usable.saturating_sub(self.loads[engine].kv_used)
    }

    fn iteration_time(&self, engine: usize) -> Duration {
        let load = &self.loads[engine];
        load.speed.scale(self.profile.iteration_time(load.decoding_streams, load.decode_context))
    }

    /// Time until the first token of a chunk: it comes at the end of the iteration that ends the
    /// prefill.
    fn time_to_first_token(&self, engine: usize, chunk_time: Duration) -> Duration {
        let load = &self.loads[engine];
        let own_time = load.speed.scale(chunk_time) + self.iteration_time(engine);
        load.prefill_start_delay + own_time + OVERHEAD
    }

    /// Packs a short prompt on the preferred engine among those that have short streams and can
    /// meet the goal. Otherwise takes the engine with the earliest first token.
    fn place_short(&self) -> Result<Choice, Refused> {
        let fits = |&index: &usize| self.has_slot(index) && self.kv_free(index) >= self.kv_needed;
        let latest = self.query.goal_left.mul_f64(PACK_GOAL_FRACTION);
        let max_packed = (f64::from(self.profile.slots) * PACK_SLOT_FRACTION) as u32;
        let first_token_on = |engine: usize| self.time_to_first_token(engine, self.prefill_time);
        let can_pack = |&engine: &usize| {
            let load = &self.loads[engine];
            load.short_requests > 0
                && load.requests < max_packed
                && load.penalty.is_zero()
                && first_token_on(engine) <= latest
                && self.can_add_prompt(engine)
        };
        let rank = |&engine: &usize| {
            let load = &self.loads[engine];
            let bucket = (first_token_on(engine) + load.penalty).as_millis()
                / FIRST_TOKEN_RESOLUTION.as_millis();
            (!self.can_add_prompt(engine), bucket, load.preference)
        };
        let fitting = || (0..self.loads.len()).filter(fits);
        let packed = fitting().filter(can_pack).min_by_key(|&engine| self.loads[engine].preference);
        let chosen = packed.or_else(|| fitting().min_by_key(rank));
        let Some(primary) = chosen else { return self.wait_for_slot() };
        let first_token = self.time_to_first_token(primary, self.prefill_time);
        if first_token >= self.query.limit_left {
            return Err(Refused::Busy(first_token.saturating_sub(self.query.limit_left)));
        }
        Ok(Choice::Place(Plan {
            primary,
            helpers: Vec::new(),
            kv_reservations: Vec::new(),
            chunk_time: self.prefill_time,
            time_to_first_token: first_token,
        }))
    }

    /// Waits for a slot that is expected to come free in time. A prompt that can't meet its goal
    /// would also make the prompts behind it late.
    fn wait_for_slot(&self) -> Result<Choice, Refused> {
        let wait = self.estimate_slot_wait();
        let total: Duration = (0..self.loads.len()).map(|engine| self.iteration_time(engine)).sum();
        // A slot comes free at the end of an iteration; the next one starts before the prompt
        // arrives.
        let iteration = total / self.loads.len() as u32;
        let first_token = wait + iteration + self.prefill_time + iteration + OVERHEAD;
        match first_token <= self.query.goal_left.mul_f64(PACK_GOAL_FRACTION) {
            true => Ok(Choice::Wait(MAX_POLL_INTERVAL)),
            false => Err(Refused::Busy(wait)),
        }
    }

    /// Estimates the time until enough slots are free for this prompt and the short ones before it.
    /// Streams that started one by one also end one by one.
    fn estimate_slot_wait(&self) -> Duration {
        let running: u32 = self.loads.iter().map(|load| load.requests).sum();
        self.query.typical_stream_time * (self.query.ahead.short_prompts + 1) / running.max(1)
    }

    /// Splits a long prompt over idle engines, once there are enough of them. A prompt that can't
    /// meet its goal is placed only while half of the engines are idle. Otherwise it is refused,
    /// since waiting would not help it and its caller can retry.
    fn place_long(&self) -> Result<Choice, Refused> {
        let is_usable =
            |&engine: &usize| self.has_slot(engine) && !self.loads[engine].is_refusing_chunks;
        let mut engines: Vec<usize> = (0..self.loads.len()).filter(is_usable).collect();
        engines.sort_by_key(|&engine| {
            let load = &self.loads[engine];
            (load.penalty, load.short_requests, !load.is_same_zone)
        });
        let clear = engines.iter().filter(|&&index| self.loads[index].short_requests == 0).count();
        let idle: Vec<usize> = engines
            .iter()
            .copied()
            .filter(|&engine| self.loads[engine].prefill_backlog <= MAX_IDLE_BACKLOG)
            .collect();
        let wait = self.estimate_wait(&engines[..clear]);
        let own_time = self.prefill_time / clear.clamp(1, MAX_HELPERS + 1) as u32;
        if wait + own_time <= self.query.goal_left {
            let plan = self.split_in_time(&idle, clear);
            return Ok(plan.map_or_else(|| Choice::Wait(self.until_idle(&engines)), Choice::Place));
        }
        let shared = self.split_in_time(&idle, engines.len());
        if shared.is_none() && self.estimate_time_on_cleared(&engines) <= self.query.goal_left {
            return Ok(Choice::Wait(self.until_idle(&engines)));
        }
        let plan = shared.or_else(|| self.split_late(&idle, clear));
        plan.map(Choice::Place).ok_or(Refused::Busy((wait + own_time).max(MIN_LATE_RETRY)))
    }

    /// Estimates the time to prefill the prompt on the engines whose short streams will have ended:
    /// all except those that the packed short prompts need.
    fn estimate_time_on_cleared(&self, engines: &[usize]) -> Duration {
        let short: u32 = engines.iter().map(|&engine| self.loads[engine].short_requests).sum();
        let slots_per_engine = (f64::from(self.profile.slots) * PACK_SLOT_FRACTION).max(1.0);
        let needed = (f64::from(short) / slots_per_engine).ceil() as usize;
        let Some(cleared) = engines.len().checked_sub(needed).filter(|&count| count > 0) else {
            return Duration::MAX;
        };
        let stream_time = self.profile.stream_time(short / engines.len().max(1) as u32);
        let prefill_time = self.prefill_time / cleared.min(MAX_HELPERS + 1) as u32;
        stream_time.max(self.estimate_wait(&engines[..cleared])) + prefill_time
    }

    /// Estimates the time to prefill the placed and the waiting prompts ahead, spread evenly over
    /// the engines.
    fn estimate_wait(&self, engines: &[usize]) -> Duration {
        let total: Duration = engines.iter().map(|&index| self.loads[index].prefill_backlog).sum();
        (total + self.query.ahead.prefill_time) / engines.len().max(1) as u32
    }

    /// Splits the prompt over the fewest idle engines that keep the chunks small, or over most
    /// engines if chunks can't be small.
    fn split_in_time(&self, idle: &[usize], clear: usize) -> Option<Plan> {
        let most_clear = ((clear as f64 * MIN_CLEAR_FRACTION).ceil() as usize).min(MAX_HELPERS + 1);
        let mut best = None;
        for count in 1..=idle.len().min(MAX_HELPERS + 1) {
            let chunk_time = self.prefill_time / count as u32;
            let Some(plan) = self.plan_on(idle, count, chunk_time) else { continue };
            if chunk_time <= TARGET_PREFILL_CHUNK_TIME {
                return Some(plan);
            }
            let is_enough = chunk_time <= MAX_PREFILL_CHUNK_TIME || count >= most_clear;
            if is_enough && plan.time_to_first_token <= self.query.goal_left {
                best = Some(plan);
            }
        }
        best
    }

    /// Splits a late prompt over few engines if many are idle.
    fn split_late(&self, idle: &[usize], clear: usize) -> Option<Plan> {
        let min_idle = (clear as f64 * MIN_IDLE_FRACTION_FOR_LATE).ceil() as usize;
        if idle.len() < min_idle.max(1) {
            return None;
        }
        let latest = self.query.limit_left.mul_f64(LATE_PREFILL_FRACTION);
        let counts = 1..=idle.len().min(MAX_HELPERS + 1);
        let plans = counts.filter_map(|count| {
            let chunk_time = self.prefill_time / count as u32;
            self.plan_on(idle, count, chunk_time)
        });
        plans.into_iter().find(|plan| plan.time_to_first_token <= latest)
    }

    /// Plans on the first `count` engines whose streams tolerate the chunk.
    fn plan_on(&self, engines: &[usize], count: usize, chunk_time: Duration) -> Option<Plan> {
        let able = engines.iter().copied().filter(|&engine| self.can_add_chunk(engine, chunk_time));
        let chosen: Vec<usize> = able.take(count).collect();
        (chosen.len() == count).then(|| self.build_plan(&chosen, chunk_time)).flatten()
    }

    fn until_idle(&self, engines: &[usize]) -> Duration {
        let times = engines.iter().map(|&engine| self.loads[engine].prefill_backlog);
        let next = times.filter(|time| *time > MAX_IDLE_BACKLOG).min().unwrap_or(MAX_POLL_INTERVAL);
        next.saturating_sub(MAX_IDLE_BACKLOG).clamp(Duration::from_millis(2), MAX_POLL_INTERVAL)
    }

    /// Whether the chunk keeps the inter-token target of the engine's streams.
    fn can_add_chunk(&self, engine: usize, chunk_time: Duration) -> bool {
        let load = &self.loads[engine];
        match load.inter_token_target {
            Some(target) => {
                let own_time = load.speed.scale(chunk_time) + self.iteration_time(engine);
                load.prefill_backlog + own_time <= target.mul_f64(MAX_PAUSE_FRACTION)
            }
            None => true,
        }
    }

    /// Whether prefilling the prompt in the engine's next iteration keeps the inter-token target.
    fn can_add_prompt(&self, engine: usize) -> bool {
        let load = &self.loads[engine];
        let own_time = load.speed.scale(self.prefill_time) + self.iteration_time(engine);
        let time = load.next_iteration_prefill + own_time;
        load.inter_token_target.is_none_or(|target| time <= target.mul_f64(MAX_PAUSE_FRACTION))
    }

    pub(crate) fn build_plan(&self, engines: &[usize], chunk_time: Duration) -> Option<Plan> {
        let reservations = self.reserve_kv(engines)?;
        let primary = reservations.first().map(|(engine, _)| *engine)?;
        let last =
            engines.iter().map(|&index| self.time_to_first_token(index, chunk_time)).max()?;
        Some(Plan {
            primary,
            helpers: engines.iter().copied().filter(|&engine| engine != primary).collect(),
            kv_reservations: if reservations.len() > 1 { reservations } else { Vec::new() },
            chunk_time,
            time_to_first_token: last,
        })
    }

    /// Reserves KV memory for the prompt: on one engine if possible, otherwise on as few as
    /// possible, each with all of its free memory.
    fn reserve_kv(&self, engines: &[usize]) -> Option<Vec<(usize, Tokens)>> {
        let has_room = |&&engine: &&usize| self.kv_free(engine) >= self.kv_needed;
        if let Some(&engine) = engines.iter().find(has_room) {
            return Some(vec![(engine, self.kv_needed)]);
        }
        let mut by_free = engines.to_vec();
        by_free.sort_by_key(|&engine| std::cmp::Reverse(self.kv_free(engine)));
        let mut left = self.kv_needed;
        let mut reservations = Vec::new();
        for engine in by_free {
            let reserved = self.kv_free(engine).min(left);
            reservations.push((engine, reserved));
            left = left.saturating_sub(reserved);
            if left.0 == 0 {
                return Some(reservations);
            }
        }
        None
    }
}
