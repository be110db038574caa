//! Seeded callers and the experiments that measure a fleet.

pub mod experiment;
pub mod sheet;
pub mod stream_server;
