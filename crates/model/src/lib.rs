//! A cost model of a model engine, and the answers that it gives.
//!
//! No input or output and no threads; the time is passed in. The stand-in
//! engine runs it against the real clock, experiments run it against theirs.

pub mod answer;
pub mod engine;
