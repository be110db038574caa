//! An upper bound of the credit that any placement can earn from a load that is known in advance.
//!
//! The bound relaxes the problem: the engines form one machine with their joint rate, any prompt
//! may be prefilled by all of them at once in any pieces, and any fraction of a prompt earns that
//! fraction of its credit. Three limits remain, each applied alone: prompts are prefilled between
//! their arrival and their goal; prefill and decode fit into the engines' time, with decode at the
//! rate of a full engine; and streams hold slots for as long as an engine with a single stream
//! takes. No time span holds more work than the engines can do in it. For such loads the maximum
//! credit is found greedily by credit per work, each prompt as far as every span around it has
//! capacity. The lowest of the three results is the bound.

use crate::engines::Request;
use crate::phases::{self, Mix};
use hickory_policy::engine::Profile;
use hickory_unit::size::Tokens;
use std::time::Duration;

/// Time resolution. Spans are rounded outwards to it, which can only raise the bound.
const SLICE: Duration = Duration::from_millis(200);

/// The limited resource.
#[derive(Clone, Copy)]
enum Limit {
    /// Prefill time until the goal.
    Prefill,
    /// Time to prefill and to decode.
    PrefillAndDecode,
    /// Stream slots.
    Slots,
}

/// Returns the maximum fraction of the total credit.
pub fn max_credit(mix: &Mix, profile: &Profile, engines: usize, requests: &[Request]) -> f64 {
    let total_credit: f64 = requests.iter().map(|request| phases::credit_of(mix, request)).sum();
    let earn = |limit: Limit| {
        let tasks = requests.iter().map(|request| Task::new(mix, profile, request, limit));
        earn(tasks.collect(), engines) / total_credit
    };
    [Limit::Prefill, Limit::PrefillAndDecode, Limit::Slots]
        .map(earn)
        .into_iter()
        .fold(1.0, f64::min)
}

struct Task {
    credit: f64,
    /// Engine time that it needs.
    work: Duration,
    /// Time slices in which it may be processed.
    first_slice: usize,
    end_slice: usize,
}

impl Task {
    fn new(mix: &Mix, profile: &Profile, request: &Request, limit: Limit) -> Self {
        let events = (request.answer.0 / u64::from(profile.steps_per_iteration)).max(1) as u32;
        let prefill_time = profile.prefill_time(request.prompt);
        let iteration = |streams| profile.iteration_time(streams, Tokens(0));
        let goal = request.arrival + request.goal;
        // It is decoded within the pauses that its caller tolerates.
        let latest_end = goal + request.inter_token_target * events;
        let (work, end) = match limit {
            Limit::Prefill => (prefill_time, goal),
            Limit::PrefillAndDecode => {
                (prefill_time + iteration(profile.slots) / profile.slots * events, latest_end)
            }
            Limit::Slots => (iteration(1) * events / profile.slots, latest_end),
        };
        Self {
            credit: phases::credit_of(mix, request),
            work,
            first_slice: (request.arrival.as_millis() / SLICE.as_millis()) as usize,
            end_slice: end.as_millis().div_ceil(SLICE.as_millis()) as usize,
        }
    }

    fn density(&self) -> f64 {
        self.credit / self.work.as_secs_f64()
    }
}

fn earn(mut tasks: Vec<Task>, engines: usize) -> f64 {
    tasks.sort_by(|one, other| other.density().total_cmp(&one.density()));
    let slices = tasks.iter().map(|task| task.end_slice).max().unwrap_or(0);
    let mut spans = Spans::new(slices, engines);
    tasks.iter().map(|task| task.credit * spans.reserve(task)).sum()
}

/// Free capacity of each span of slices.
struct Spans {
    slices: usize,
    free: Vec<f64>,
}

impl Spans {
    fn new(slices: usize, engines: usize) -> Self {
        let slice_capacity = SLICE.as_secs_f64() * engines as f64;
        let free = (0..slices).flat_map(|begin| {
            (1..=slices).map(move |end| end.saturating_sub(begin) as f64 * slice_capacity)
        });
        Self { slices, free: free.collect() }
    }

    /// Reserves as much of a task as all spans around it have capacity for, and returns that
    /// fraction.
    fn reserve(&mut self, task: &Task) -> f64 {
        let spans = (0..=task.first_slice)
            .flat_map(|begin| (task.end_slice..=self.slices).map(move |end| (begin, end)));
        let work = task.work.as_secs_f64();
        let available =
            spans.clone().map(|span| self.free[self.index_of(span)]).fold(work, f64::min);
        for span in spans {
            let index = self.index_of(span);
            self.free[index] -= available;
        }
        available / work
    }

    fn index_of(&self, (begin, end): (usize, usize)) -> usize {
        begin * self.slices + end - 1
    }
}
