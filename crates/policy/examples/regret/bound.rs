//! An upper bound of the credit that any placement can get from a load that it
//! knows in advance.
//!
//! Engines are taken for one machine of their joint rate, any prompt may be read
//! by all of them at once, in any pieces, and served in any part for that part of
//! its credit. Three real limits are left, each by itself: prompts are read between
//! their arrival and their goal; reading and writing fit into the engines' time,
//! writing at the rate of a full engine; and streams hold slots, for as long as an
//! engine takes that writes just one. No span of time holds more than the engines
//! do in it. For such loads the greatest credit is found by taking prompts by credit
//! for what they use, each as far as every span around it has room; the least of the
//! three is the bound.

use crate::engines::Request;
use crate::phases::{self, Mix};
use hickory_policy::engine::Profile;
use hickory_unit::size::Tokens;
use std::time::Duration;

/// The grain of time. Spans are rounded outwards to it, which can only raise the
/// bound.
const SLICE: Duration = Duration::from_millis(200);

/// What prompts use up.
#[derive(Clone, Copy)]
enum Limit {
    /// Time to read, until the goal.
    Reading,
    /// Time to read and to write.
    Work,
    /// Slots.
    Slots,
}

/// The part of all credit that could be got.
pub fn max_credit(mix: &Mix, profile: &Profile, engines: usize, requests: &[Request]) -> f64 {
    let total_credit: f64 = requests.iter().map(|request| phases::credit_of(mix, request)).sum();
    let earn = |limit: Limit| {
        let tasks = requests.iter().map(|request| Task::new(mix, profile, request, limit));
        earn(tasks.collect(), engines) / total_credit
    };
    [Limit::Reading, Limit::Work, Limit::Slots].map(earn).into_iter().fold(1.0, f64::min)
}

struct Task {
    credit: f64,
    /// What one engine needs for it.
    work: Duration,
    /// The grains in which it may be worked on.
    first_slice: usize,
    end_slice: usize,
}

impl Task {
    fn new(mix: &Mix, profile: &Profile, request: &Request, limit: Limit) -> Self {
        let events = (request.answer.0 / u64::from(profile.steps_per_iteration)).max(1) as u32;
        let prefill_time = profile.prefill_time(request.prompt);
        let iteration = |streams| profile.iteration_time(streams, Tokens(0));
        let goal = request.arrival + request.goal;
        // It is written within the pauses that its caller bears.
        let latest_end = goal + request.inter_token_target * events;
        let (work, end) = match limit {
            Limit::Reading => (prefill_time, goal),
            Limit::Work => {
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

/// What is still free in each span of grains.
struct Spans {
    slices: usize,
    free: Vec<f64>,
}

impl Spans {
    fn new(grains: usize, engines: usize) -> Self {
        let grain = SLICE.as_secs_f64() * engines as f64;
        let free = (0..grains).flat_map(|begin| {
            (1..=grains).map(move |end| end.saturating_sub(begin) as f64 * grain)
        });
        Self { slices: grains, free: free.collect() }
    }

    /// Takes as much of a task as all spans around it have room for; returns the
    /// part.
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
