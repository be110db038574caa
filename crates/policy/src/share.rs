//! A node's share of a bound that all nodes keep together: its part by the number
//! of nodes, of what was done within a window.
//!
//! Load pattern: targets fail, and every node has requests to send again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The part of a common bound that the nodes use between them. The rest is for
/// nodes that count fewer peers than there are, for a second or so after a
/// partition.
const USED_EXTRA_PART: f64 = 0.7;

/// The part of the per-request allowance that is used: the window of whoever
/// judges may begin anywhere, also just after a burst of requests.
const USED_RATIO_PART: f64 = 0.6;

/// A bound on repeats: so many for each request, and so many besides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, of all nodes together.
    pub extra: f64,
    /// The window that both are counted in.
    pub window: Duration,
}

/// What one node did within the window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Budget {
    /// Notes a request.
    pub fn record_request(&mut self, now: Instant, bound: &Limit) {
        self.expire(now, bound.window);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if this node's share has one left.
    pub fn try_spend(&mut self, now: Instant, bound: &Limit, nodes: usize) -> bool {
        self.expire(now, bound.window);
        let earned = self.requests.len() as f64 * bound.ratio * USED_RATIO_PART;
        let extra = bound.extra * USED_EXTRA_PART / nodes.max(1) as f64;
        let is_allowed = (self.repeats.len() as f64) + 1.0 <= earned + extra;
        if is_allowed {
            self.repeats.push_back(now);
        }
        is_allowed
    }

    fn expire(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
