//! Which engines a prompt is read on, and when its first token would come.
//!
//! Short prompts are packed on few engines while they are predicted to be in time
//! and no pass grows longer than the streams there bear; a pass with all slots in
//! use takes little more than one with a single stream. Where all slots are taken,
//! a short prompt waits for one that comes free in time. Long prompts are split over
//! the engines that are left, in parts that no stream there feels. Engines read the
//! parts that others ask them for newest first, so a long prompt waits until enough
//! engines are idle, and no engine has two parts to choose from.
//!
//! Load pattern: prompts of a thousand to a million tokens in alternating phases,
//! some of which take an engine for seconds, in which none of its streams gets an
//! event.

use crate::engine::Profile;
use crate::queue::Ahead;
use hickory_unit::size::Tokens;
use std::time::Duration;

/// Engines that may help the first one.
pub const MAX_HELPERS: usize = 15;

/// Prompts that are read in less than this on one engine are short: they are
/// read whole, at once. It is what a short stream beside them bears.
const MAX_SHORT_PREFILL: Duration = Duration::from_millis(100);

/// Goals below this leave no time to wait for idle engines, whatever the
/// prompt's length.
const MAX_URGENT_GOAL: Duration = Duration::from_millis(600);

/// The part of the goal within which a short prompt's first token must be
/// predicted for it to be packed on an engine, or to wait for a slot. The rest is
/// for what predictions are off.
const PACK_GOAL_FRACTION: f64 = 0.7;

/// The part of an engine's slots that short streams are packed into. With fewer,
/// more engines have short streams than are left to long prompts; with more,
/// several prompts that arrive at once find no slot.
const PACK_SLOT_FRACTION: f64 = 0.9;

/// What a first token takes beside the engine's work: the way there and back,
/// and the turns of the hosts.
const NETWORK_OVERHEAD: Duration = Duration::from_millis(10);

/// First tokens that differ by less come at the same time for the caller.
const FIRST_TOKEN_RESOLUTION: Duration = Duration::from_millis(20);

/// What each engine reads of a long prompt, at most where there are engines
/// enough: half of the shortest pause that long streams are to keep.
const TARGET_PREFILL_CHUNK_TIME: Duration = Duration::from_millis(250);

/// What each engine reads at most where a long prompt does not wait for more
/// engines to become idle.
const MAX_PREFILL_CHUNK_TIME: Duration = Duration::from_millis(500);

/// The part of the engines without short streams that is enough to begin with,
/// whatever the parts: waiting for the last ones leaves the others idle.
const MIN_CLEAR_FRACTION: f64 = 0.6;

/// The part of its streams' wanted pause that an engine may read in one pass.
/// The rest is for what a pass differs from its prediction.
const MAX_PAUSE_FRACTION: f64 = 0.9;

/// An engine that has less than this to read counts as idle: it is done by the
/// time that a request reaches it.
pub(crate) const MAX_IDLE_BACKLOG: Duration = Duration::from_millis(15);

/// The part of the engines without short streams that must be idle before a
/// prompt which is late in any case is read: what it takes is otherwise taken
/// from prompts that could be in time.
const MIN_IDLE_FRACTION_FOR_LATE: f64 = 0.5;

/// The part of the time left that reading a late prompt may take.
const LATE_PREFILL_FRACTION: f64 = 0.6;

/// The least time after which a prompt that can't be in time should come back:
/// a phase of long prompts doesn't end sooner.
const MIN_LATE_RETRY: Duration = Duration::from_millis(4_000);

/// Between two looks whether engines are idle, at the longest.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The part of an engine's memory that prompts may fill. The rest is for the
/// answers of the streams that are there already.
const MAX_KV_FRACTION: f64 = 0.95;

/// What is known of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Time until it has read all that is placed there.
    pub prefill_backlog: Duration,
    /// Time until it begins to read a further prompt.
    pub prefill_start_delay: Duration,
    /// What it reads in its next pass, of what is placed there.
    pub next_iteration_prefill: Duration,
    /// Requests that run or wait there.
    pub requests: u32,
    /// Requests for which it reads a part.
    pub helper_chunks: u32,
    /// Short requests among those that run or wait.
    pub short_requests: u32,
    /// Streams that write.
    pub decoding_streams: u32,
    /// The shortest pause that its requests are to keep.
    pub inter_token_target: Option<Duration>,
    /// Context of the streams that write.
    pub decode_context: Tokens,
    /// Memory taken or promised.
    pub kv_used: Tokens,
    /// Whether it is in the choosing node's zone.
    pub is_same_zone: bool,
    /// The order of the engines for short prompts, the least first.
    pub preference: u64,
    /// What it is expected to cost to try it, since it failed lately.
    pub penalty: Duration,
    /// Whether it refused lately to read a part for another engine.
    pub is_refusing_chunks: bool,
}

/// A prompt to place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// Its tokens.
    pub prompt_tokens: Tokens,
    /// Tokens of its answer, at a guess.
    pub answer_tokens: Tokens,
    /// Whether it is placed as a short one, by [`is_short`].
    pub is_short: bool,
    /// What is left of the time within which its first token is wanted.
    pub goal_left: Duration,
    /// The time after which it is of no use.
    pub limit_left: Duration,
    /// What waits and comes before it.
    pub ahead: Ahead,
    /// How long a short stream usually takes from its placement to its end.
    pub typical_stream_time: Duration,
}

/// Where a prompt is read; engines by their place in the list of loads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The engine that is sent the request.
    pub primary: usize,
    /// Engines that read parts of it.
    pub helpers: Vec<usize>,
    /// Memory to reserve, by engine; empty where the first holds all.
    pub kv_reservations: Vec<(usize, Tokens)>,
    /// What each engine reads.
    pub chunk_time: Duration,
    /// When the first token is expected.
    pub time_to_first_token: Duration,
}

/// What to do with a prompt now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it.
    Place(Plan),
    /// Look again after this time.
    Wait(Duration),
}

/// Why a prompt has no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No engine is there.
    NoEngine,
    /// It is greater than the fleet's memory.
    TooLong,
    /// No engine has room; one has, at a guess, after this time.
    Busy(Duration),
}

/// Whether a prompt is read at once on one engine.
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

/// One choice: a prompt before the engines.
struct Planner<'a> {
    query: &'a Query,
    profile: &'a Profile,
    loads: &'a [Load],
    /// The time to read the prompt on one engine.
    prefill_time: Duration,
    /// The memory that it takes.
    kv_needed: Tokens,
    /// The memory of an engine that prompts may fill.
    kv_usable: Tokens,
}

impl<'a> Planner<'a> {
    fn new(query: &'a Query, profile: &'a Profile, loads: &'a [Load]) -> Self {
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

    fn kv_free(&self, engine: usize) -> Tokens {
        self.kv_usable.saturating_sub(self.loads[engine].kv_used)
    }

    fn iteration_time(&self, engine: usize) -> Duration {
        let load = &self.loads[engine];
        self.profile.iteration_time(load.decoding_streams, load.decode_context)
    }

    /// When the first token of a part read here comes: with the end of the
    /// pass in which the reading ends.
    fn time_to_first_token(&self, engine: usize, chunk_time: Duration) -> Duration {
        self.loads[engine].prefill_start_delay
            + chunk_time
            + self.iteration_time(engine)
            + NETWORK_OVERHEAD
    }

    /// Packs a short prompt on the most preferred of the engines that have short
    /// streams already and on which it is in time; else takes the engine where
    /// it is first.
    fn place_short(&self) -> Result<Choice, Refused> {
        let fits =
            |&engine: &usize| self.has_slot(engine) && self.kv_free(engine) >= self.kv_needed;
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

    /// Waits for a slot that is expected to come free in time. A prompt that can't
    /// be in time would make all behind it late as well.
    fn wait_for_slot(&self) -> Result<Choice, Refused> {
        let wait = self.estimate_slot_wait();
        let total: Duration = (0..self.loads.len()).map(|engine| self.iteration_time(engine)).sum();
        // A slot comes free as a pass ends, and the next one begins before the prompt
        // is there.
        let iteration = total / self.loads.len() as u32;
        let first_token = wait + iteration + self.prefill_time + iteration + NETWORK_OVERHEAD;
        match first_token <= self.query.goal_left.mul_f64(PACK_GOAL_FRACTION) {
            true => Ok(Choice::Wait(MAX_POLL_INTERVAL)),
            false => Err(Refused::Busy(wait)),
        }
    }

    /// Time until enough slots are free for this prompt and the short ones before
    /// it. Streams that began one by one end one by one.
    fn estimate_slot_wait(&self) -> Duration {
        let running: u32 = self.loads.iter().map(|load| load.requests).sum();
        self.query.typical_stream_time * (self.query.ahead.short_prompts + 1) / running.max(1)
    }

    /// Splits a long prompt over idle engines, once there are enough of them.
    /// What can't be in time is read only while half of the engines have
    /// nothing else to do, and refused otherwise: waiting would not help it,
    /// and its caller can come back.
    fn place_long(&self) -> Result<Choice, Refused> {
        let is_usable =
            |&engine: &usize| self.has_slot(engine) && !self.loads[engine].is_refusing_chunks;
        let mut engines: Vec<usize> = (0..self.loads.len()).filter(is_usable).collect();
        engines.sort_by_key(|&engine| {
            let load = &self.loads[engine];
            (load.penalty, load.short_requests, !load.is_same_zone)
        });
        let clear =
            engines.iter().filter(|&&engine| self.loads[engine].short_requests == 0).count();
        let idle: Vec<usize> = engines
            .iter()
            .copied()
            .filter(|&engine| self.loads[engine].prefill_backlog <= MAX_IDLE_BACKLOG)
            .collect();
        let wait = self.estimate_wait(&engines[..clear]);
        let own_time = self.prefill_time / clear.clamp(1, MAX_HELPERS + 1) as u32;
        if wait + own_time <= self.query.goal_left {
            let plan = self.split_in_time(&idle, clear);
            return Ok(
                plan.map_or_else(|| Choice::Wait(self.time_until_idle(&engines)), Choice::Place)
            );
        }
        let shared = self.split_in_time(&idle, engines.len());
        if shared.is_none() && self.estimate_time_on_cleared(&engines) <= self.query.goal_left {
            return Ok(Choice::Wait(self.time_until_idle(&engines)));
        }
        let plan = shared.or_else(|| self.split_late(&idle, clear));
        plan.map(Choice::Place).ok_or(Refused::Busy((wait + own_time).max(MIN_LATE_RETRY)))
    }

    /// When the prompt would be read on engines whose short streams have ended: all
    /// but those that short prompts need if they are packed.
    fn estimate_time_on_cleared(&self, engines: &[usize]) -> Duration {
        let short_requests: u32 =
            engines.iter().map(|&engine| self.loads[engine].short_requests).sum();
        let slots_per_engine = (f64::from(self.profile.slots) * PACK_SLOT_FRACTION).max(1.0);
        let engines_for_short = (f64::from(short_requests) / slots_per_engine).ceil() as usize;
        let Some(cleared) = engines.len().checked_sub(engines_for_short).filter(|&count| count > 0)
        else {
            return Duration::MAX;
        };
        let stream_time = self.profile.stream_time(short_requests / engines.len().max(1) as u32);
        let prefill_time = self.prefill_time / cleared.min(MAX_HELPERS + 1) as u32;
        stream_time.max(self.estimate_wait(&engines[..cleared])) + prefill_time
    }

    /// Time until the engines have read what is placed and what waits before
    /// this prompt, evenly spread.
    fn estimate_wait(&self, engines: &[usize]) -> Duration {
        let backlog: Duration =
            engines.iter().map(|&engine| self.loads[engine].prefill_backlog).sum();
        (backlog + self.query.ahead.prefill_time) / engines.len().max(1) as u32
    }

    /// Splits over as few idle engines as make the parts small; over most of
    /// the engines where parts can't be small.
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

    /// Splits over few idle engines, where many are idle.
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

    /// A plan on the first of the engines whose streams bear the part.
    fn plan_on(&self, engines: &[usize], count: usize, chunk_time: Duration) -> Option<Plan> {
        let able = engines.iter().copied().filter(|&engine| self.can_add_chunk(engine, chunk_time));
        let chosen: Vec<usize> = able.take(count).collect();
        (chosen.len() == count).then(|| self.build_plan(&chosen, chunk_time)).flatten()
    }

    fn time_until_idle(&self, engines: &[usize]) -> Duration {
        let backlogs = engines.iter().map(|&engine| self.loads[engine].prefill_backlog);
        let next = backlogs
            .filter(|backlog| *backlog > MAX_IDLE_BACKLOG)
            .min()
            .unwrap_or(MAX_POLL_INTERVAL);
        next.saturating_sub(MAX_IDLE_BACKLOG).clamp(Duration::from_millis(2), MAX_POLL_INTERVAL)
    }

    /// Whether the streams of an engine bear that it reads this in a pass.
    fn can_add_chunk(&self, engine: usize, chunk_time: Duration) -> bool {
        let load = &self.loads[engine];
        match load.inter_token_target {
            Some(target) => {
                load.prefill_backlog + chunk_time + self.iteration_time(engine)
                    <= target.mul_f64(MAX_PAUSE_FRACTION)
            }
            None => true,
        }
    }

    /// Whether the streams of an engine bear that it reads the prompt with what it
    /// reads in its next pass.
    fn can_add_prompt(&self, engine: usize) -> bool {
        let load = &self.loads[engine];
        let iteration =
            load.next_iteration_prefill + self.prefill_time + self.iteration_time(engine);
        load.inter_token_target.is_none_or(|target| iteration <= target.mul_f64(MAX_PAUSE_FRACTION))
    }

    fn build_plan(&self, engines: &[usize], chunk_time: Duration) -> Option<Plan> {
        let reservations = self.reserve_kv(engines)?;
        let primary = reservations.first().map(|(engine, _)| *engine)?;
        let first_token =
            engines.iter().map(|&engine| self.time_to_first_token(engine, chunk_time)).max()?;
        Some(Plan {
            primary,
            helpers: engines.iter().copied().filter(|&engine| engine != primary).collect(),
            kv_reservations: if reservations.len() > 1 { reservations } else { Vec::new() },
            chunk_time,
            time_to_first_token: first_token,
        })
    }

    /// Which engines hold the prompt: one if one can, else as few as can, each
    /// with what it has free.
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
