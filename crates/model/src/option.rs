//! What an engine bears and how fast it is.

use hickory_target::engine::Weights;
use hickory_unit::size;
use std::time::Duration;

/// What an engine bears, how fast it is when warm, and how it behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// KV memory, shared by streams, handles, pins and the prefix cache.
    pub kv_capacity: size::Tokens,
    /// Prompt tokens prefilled a second at the start of a prompt.
    pub prefill_rate: u64,
    /// Context at which a prompt token costs twice as much as at the start.
    pub double_cost_context: size::Tokens,
    /// Streams in the batch at once.
    pub max_streams: u32,
    /// Prompt tokens prefilled at most in one step.
    pub prefill_chunk: size::Tokens,
    /// Time of a step that decodes one stream.
    pub step_time: Duration,
    /// Time that each further stream adds to a step.
    pub step_time_per_stream: Duration,
    /// Time that reading a million tokens of KV cache adds to a step.
    pub step_time_per_million_kv_tokens: Duration,
    /// KV cache copied from another engine, tokens a second.
    pub transfer_rate: u64,
    /// How warm the engine is at its start, from 0 to 100.
    pub warmth: u8,
    /// Time from cold to warm under work; four times as long when idle.
    pub warm_up_time: Duration,
    /// Part of its speed that a cold engine has.
    pub cold_speed_fraction: f64,
    /// Part of `streams_max` that a cold engine bears.
    pub cold_streams_fraction: f64,
    /// Whether it crashes when it is given more than it bears while not warm.
    pub crashes_on_overload: bool,
    /// How long after a silent return to cold it does not yet fall over.
    pub cold_detection_time: Duration,
    /// How far the load report lags behind.
    pub report_lag: Duration,
    /// How late cache events come.
    pub event_lag: Duration,
    /// Each so-many-th cache event is lost; 0 for none.
    pub event_loss_interval: u64,
    /// How long an ended stream still answers a resume.
    pub ended_retention: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Weights held at once.
    pub max_weights: usize,
    /// Bytes of a model's weights.
    pub model_bytes: size::Bytes,
    /// Bytes of an adapter.
    pub adapter_bytes: size::Bytes,
    /// Weights held at the start.
    pub loaded: Vec<Weights>,
    /// Time is divided by this, lags apart, so that tests run fast.
    pub speed: f64,
}

impl Default for Options {
    /// An engine of today: a prompt of a million tokens is more than twice
    /// its memory; warm at the start.
    fn default() -> Self {
        Self {
            kv_capacity: size::Tokens(450_000),
            prefill_rate: 40_000,
            double_cost_context: size::Tokens(500_000),
            max_streams: 64,
            prefill_chunk: size::Tokens(2_048),
            step_time: Duration::from_millis(12),
            step_time_per_stream: Duration::from_micros(150),
            step_time_per_million_kv_tokens: Duration::from_millis(20),
            transfer_rate: 400_000,
            warmth: 100,
            warm_up_time: Duration::from_secs(30),
            cold_speed_fraction: 0.2,
            cold_streams_fraction: 0.1,
            crashes_on_overload: true,
            cold_detection_time: Duration::from_secs(1),
            report_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(300),
            event_loss_interval: 50,
            ended_retention: Duration::from_secs(5),
            checks_fence: true,
            max_weights: 4,
            model_bytes: size::Bytes(16_000_000_000),
            adapter_bytes: size::Bytes(200_000_000),
            loaded: Vec::new(),
            speed: 1.0,
        }
    }
}

impl Options {
    /// `time` as it passes on the scaled clock.
    pub(crate) fn scale(&self, time: Duration) -> Duration {
        time.div_f64(self.speed)
    }
}
