//! Seeded callers and the experiments that measure a fleet.
//!
//! [`mix::plan_requests`] makes the workload, [`run::run`] sends it in an open
//! loop and [`report::Report`] sums up what the callers saw.

pub mod call;
pub mod caller;
pub mod content;
pub mod entry;
pub mod experiment;
pub mod http;
pub mod mix;
pub mod outcome;
pub mod report;
pub mod run;
pub mod sheet;
pub mod spread;
pub mod sse;
pub(crate) mod stream;
pub mod stream_server;
pub mod wire;
