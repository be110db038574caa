//! Seeded callers and the experiments that measure a fleet.
//!
//! [`mix::plan_requests`] generates the workload, [`run::run()`] sends it in an
//! open loop and [`report::Report`] summarizes the results as the callers saw
//! them. [`experiment`] starts small fleets of processes and measures them.

pub mod call;
pub mod caller;
mod configuration;
pub mod content;
mod control_cost;
mod credential;
pub mod direct;
pub mod entry;
pub mod experiment;
mod first_token;
pub mod fleet;
pub mod http;
pub mod mix;
pub mod outcome;
mod overload;
pub mod process;
mod relay;
pub mod report;
pub mod run;
mod share;
pub mod sheet;
mod short_beside_long;
pub mod socket;
pub mod spread;
pub mod sse;
mod stream;
pub mod stream_server;
pub mod wire;
mod zone_change;
