//! Seeded callers and the experiments that measure a fleet.

pub mod content;
pub mod experiment;
pub mod mix;
pub mod sheet;
pub mod sse;
pub mod stream_server;
