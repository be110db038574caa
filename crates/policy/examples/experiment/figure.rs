//! Figures computed from a run.

use crate::fleet::Run;
use crate::flight::Record;
use hickory_policy::refuse::Reason;
use std::time::Duration;

/// Returns a percentile of times in milliseconds, by the nearest-rank method.
pub fn percentile(times: &mut [Duration], quantile: f64) -> f64 {
    times.sort_unstable();
    let rank = (times.len() as f64 * quantile).ceil() as usize;
    times.get(rank.max(1) - 1).map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
}

impl Run {
    /// Returns the times to first token of the matching requests that arrived within `span`, in
    /// seconds. Requests without a first token are left out.
    pub fn first_tokens(
        &self,
        span: (f64, f64),
        filter: impl Fn(&Record) -> bool,
    ) -> Vec<Duration> {
        self.within(span).filter(|r| filter(r)).filter_map(|r| r.first_token).collect()
    }

    /// Returns a percentile of the time to first token, in milliseconds.
    pub fn first_token(
        &self,
        span: (f64, f64),
        quantile: f64,
        filter: impl Fn(&Record) -> bool,
    ) -> f64 {
        percentile(&mut self.first_tokens(span, filter), quantile)
    }

    /// Returns the records of the requests that arrived within a span of seconds.
    pub fn within(&self, (from, to): (f64, f64)) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |record| {
            let at = record.request.at.as_secs_f64();
            from <= at && at < to
        })
    }

    /// Returns the work, in tokens, of the matching requests that ended within a span of seconds.
    pub fn work(&self, (from, to): (f64, f64), filter: impl Fn(&Record) -> bool) -> f64 {
        let ended = self.records.iter().filter(|record| {
            let at = record.ended_after.map(|ended| (record.request.at + ended).as_secs_f64());
            at.is_some_and(|at| from <= at && at < to)
        });
        ended.filter(|r| filter(r)).map(|r| r.request.cost.work() as f64).sum()
    }

    /// Returns the number of requests that were refused or failed for `reason`.
    pub fn count(&self, reason: Reason) -> usize {
        let reasons = self.records.iter().filter_map(|r| r.refusal.map(|(reason, _)| reason));
        reasons.filter(|r| *r == reason).count()
    }

    /// Returns the number of requests that were started and did not complete.
    pub fn broken(&self) -> usize {
        self.records.iter().filter(|r| r.was_sent && r.ended_after.is_none()).count()
    }
}
