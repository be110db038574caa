//! A simulation of a language-model engine: a cost model and deterministic
//! answers.
//!
//! It does no I/O, starts no threads, and receives the time as an argument. The
//! stand-in engine runs it on the real clock, experiments on a simulated one.
//!
//! [`engine::Engine`] combines the parts: [`memory`] divides the KV memory
//! between streams and the prefix cache, [`warmth`] models the reduced speed
//! after a start, [`batch`] plans steps, and [`loading`] tracks weights.
//!
//! A prompt that exceeds the memory of one engine is prefilled in parts. Engine
//! A receives the leading part with [`engine::Job::keep_as`] and keeps its KV
//! cache under that handle. Engine B imports the handle with
//! [`engine::Job::import`] and receives the prompt up to the end of the second
//! part, and so on. The last engine imports the last handle, receives the whole
//! prompt and generates. A KV cache that would fill more than half of the
//! importing engine is linked instead of copied: its memory stays on the first
//! engine, and streams that use it fail if it is lost.

pub mod answer;
pub mod batch;
pub mod engine;
pub mod event;
pub mod handle;
mod history;
pub mod job;
pub mod loading;
pub mod memory;
pub mod option;
pub mod read_limiter;
mod step;
mod transfer;
pub mod warmth;

pub use hickory_target::prefix;
