//! Structured logs as JSON lines, and metrics in the Prometheus text format.

mod appender;
pub mod label;
pub mod logs;
pub mod metered;
pub mod metrics;
mod register;
mod update;
