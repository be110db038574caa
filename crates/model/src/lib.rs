//! A cost model of a model engine, and the answers that it gives.
//!
//! No input or output and no threads; the time is passed in. The stand-in
//! engine runs it against the real clock, experiments run it against theirs.
//!
//! [`engine::Engine`] joins the parts: [`memory`] shares KV memory between
//! streams and the prefix cache, [`warmth`] says how much of its speed an
//! engine has after a start, [`batch`] makes steps, [`loading`] holds weights.
//!
//! A prompt greater than one engine is prefilled in parts. Engine A gets the
//! leading part with [`engine::Job::keep_as`] and holds its KV cache under that
//! handle; engine B imports the handle and gets the prompt up to the end of
//! the second part with [`engine::Job::import`], and so on; the last engine
//! imports the last handle, gets the whole prompt and generates. A handle
//! that would take more than half of an engine is linked, not copied: its
//! memory stays where it is, and the stream that uses it fails when it goes.

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
