//! The up-link of a source, shared by its answers.

use hickory_policy::spread::Ticket;
use std::time::Duration;

/// An answer with fewer remaining bytes is complete; the rest is a rounding error of times.
const ROUNDING_BYTES: f64 = 0.01;

/// An answer in transit.
#[derive(Clone, Debug)]
pub struct Answer {
    pub requester: usize,
    /// Number of the request that it answers.
    pub number: u64,
    pub version: u32,
    /// Bytes still to be sent.
    pub remaining: f64,
    /// Rate of the requester's down-link, in bytes per second. A requester asks one source at a
    /// time, so it does not share this link.
    pub down_rate: f64,
    /// When the answer stalled; `None` while bytes are transmitted.
    pub silent_since: Option<Duration>,
    /// Ticket of the source's upload meter.
    pub ticket: Option<Ticket>,
}

/// A link and the answers on it.
#[derive(Clone, Debug)]
pub struct Link {
    /// Bytes per second.
    pub rate: f64,
    /// Bytes of documents sent.
    pub sent: f64,
    pub answers: Vec<Answer>,
    /// Incremented by every change; scheduled ends of an older generation are ignored.
    pub generation: u64,
    /// Bytes of queued short answers, which are sent first.
    short_bytes: f64,
    last_run: Duration,
}

impl Link {
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            sent: 0.0,
            answers: Vec::new(),
            generation: 0,
            short_bytes: 0.0,
            last_run: Duration::ZERO,
        }
    }

    /// Transmits until `now`.
    pub fn run(&mut self, now: Duration) {
        let time = (now - self.last_run).as_secs_f64();
        let short_time = (self.short_bytes / self.rate).min(time);
        self.short_bytes -= short_time * self.rate;
        self.last_run = now;
        let rate = self.rate_per_answer();
        for answer in self.answers.iter_mut().filter(|answer| answer.silent_since.is_none()) {
            let bytes = (rate.min(answer.down_rate) * (time - short_time)).min(answer.remaining);
            answer.remaining -= bytes;
            self.sent += bytes;
        }
    }

    /// Adds a short answer; returns how long its transmission takes.
    pub fn add_short(&mut self, now: Duration, bytes: f64) -> Duration {
        self.run(now);
        self.short_bytes += bytes;
        self.generation += 1;
        Duration::from_secs_f64(self.short_bytes / self.rate)
    }

    /// Adds an answer.
    pub fn add(&mut self, now: Duration, answer: Answer) {
        self.run(now);
        self.answers.push(answer);
        self.generation += 1;
    }

    /// Removes the answer to a request.
    pub fn remove(&mut self, now: Duration, number: u64) -> Option<Answer> {
        self.run(now);
        let index = self.answers.iter().position(|answer| answer.number == number)?;
        self.generation += 1;
        Some(self.answers.remove(index))
    }

    /// Removes and returns the completed answers.
    pub fn remove_sent(&mut self, now: Duration) -> Vec<Answer> {
        self.run(now);
        self.generation += 1;
        self.answers.extract_if(.., |answer| answer.remaining < ROUNDING_BYTES).collect()
    }

    /// Stops and resumes answers depending on whether their requesters can receive bytes.
    pub fn update_silence(&mut self, now: Duration, is_silent: impl Fn(usize) -> bool) {
        self.run(now);
        self.generation += 1;
        for answer in &mut self.answers {
            answer.silent_since =
                is_silent(answer.requester).then(|| answer.silent_since.unwrap_or(now));
        }
    }

    /// Returns when the next answer will be complete if nothing changes before.
    pub fn next_end(&self) -> Option<Duration> {
        let rate = self.rate_per_answer();
        let flowing = self.answers.iter().filter(|answer| answer.silent_since.is_none());
        let time = flowing
            .map(|answer| answer.remaining / rate.min(answer.down_rate))
            .min_by(f64::total_cmp);
        let after = Duration::from_secs_f64(time? + self.short_bytes / self.rate);
        Some(self.last_run + after + Duration::from_nanos(1))
    }

    fn rate_per_answer(&self) -> f64 {
        let flowing = self.answers.iter().filter(|answer| answer.silent_since.is_none()).count();
        self.rate / flowing.max(1) as f64
    }
}
