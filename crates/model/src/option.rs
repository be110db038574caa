//! Capacity, speed and behaviour of an engine.

use hickory_target::engine::Weights;
use hickory_unit::size;
use std::time::Duration;

/// Options of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// KV memory, used by streams, handles, pins and the prefix cache.
    pub kv_capacity: size::Tokens,
    /// Prompt tokens prefilled per second at the start of a prompt.
    pub prefill_rate: u64,
    /// Context length at which a prompt token costs twice as much as at the start.
    pub double_cost_context: size::Tokens,
    /// Maximum number of streams in the batch.
    pub max_streams: u32,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk: size::Tokens,
    /// Duration of a step that decodes one stream.
    pub step_time: Duration,
    /// Time that each additional stream adds to a step.
    pub step_time_per_stream: Duration,
    /// Time that reading a million tokens of KV cache adds to a step.
    pub step_time_per_million_kv_tokens: Duration,
    /// Transfer rate of a KV cache from another engine, in tokens per second.
    pub transfer_rate: u64,
    /// Warmth at the start, from 0 to 100.
    pub warmth: u8,
    /// Time to warm up under load; four times as long when idle.
    pub warm_up_time: Duration,
    /// Fraction of the speed that a cold engine reaches.
    pub cold_speed_fraction: f64,
    /// Fraction of `max_streams` that a cold engine can handle.
    pub cold_streams_fraction: f64,
    /// Whether the engine crashes when it is overloaded before it is warm.
    pub crashes_on_overload: bool,
    /// Time after an unreported return to cold in which an overload doesn't
    /// crash the engine, since no caller can have detected the change.
    pub cold_detection_time: Duration,
    /// Lag of the load report.
    pub report_lag: Duration,
    /// Delay of cache events.
    pub event_lag: Duration,
    /// Every n-th cache event is lost; 0 loses none.
    pub event_loss_interval: u64,
    /// Time in which an ended stream can still be resumed.
    pub ended_retention: Duration,
    /// Whether orders with a stale fencing epoch are refused.
    pub checks_fence: bool,
    /// Maximum number of weights held at once.
    pub max_weights: usize,
    /// Size of a model's weights.
    pub model_bytes: size::Bytes,
    /// Size of an adapter.
    pub adapter_bytes: size::Bytes,
    /// Weights loaded at the start.
    pub loaded: Vec<Weights>,
    /// Divisor of all times except lags, so that tests run fast.
    pub speed: f64,
}

impl Default for Options {
    /// A current engine, warm at the start. A prompt of a million tokens needs more
    /// than twice its memory.
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
    /// Returns `time` on the accelerated clock.
    pub(crate) fn scale(&self, time: Duration) -> Duration {
        time.div_f64(self.speed)
    }
}
