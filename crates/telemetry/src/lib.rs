//! Logs as JSON lines and metrics in the Prometheus text format.

pub mod label;
mod lines;
pub mod logs;
pub mod metered;
pub mod metrics;
