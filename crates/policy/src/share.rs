//! A node's share of a fleet-wide limit on repeated requests. A node may repeat a fraction of its
//! own requests, plus its share of the extra repeats of all nodes, within a sliding window.
//!
//! Load pattern: targets fail, and every node has requests to send again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the common extra repeats that the nodes use in total. The rest is a reserve for
/// nodes that count too few peers for about a second after a partition.
const USED_EXTRA_FRACTION: f64 = 0.7;

/// Fraction of the per-request allowance that is used. The window over which the limit is checked
/// can begin at any time, also right after a burst of requests.
const USED_RATIO_FRACTION: f64 = 0.6;

/// A limit on repeats: a number per request, plus an extra number for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats per request.
    pub ratio: f64,
    /// Additional repeats of all nodes together.
    pub extra: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

/// Requests and repeats of one node within the window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Budget {
    /// Records a request.
    pub fn record_request(&mut self, now: Instant, limit: &Bound) {
        self.expire(now, limit.window);
        self.requests.push_back(now);
    }

    /// Spends one repeat; returns false if this node's share is used up.
    pub fn try_spend(&mut self, now: Instant, limit: &Bound, nodes: usize) -> bool {
        self.expire(now, limit.window);
        let earned = self.requests.len() as f64 * limit.ratio * USED_RATIO_FRACTION;
        let extra = limit.extra * USED_EXTRA_FRACTION / nodes.max(1) as f64;
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
