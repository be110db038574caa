//! Small stand-ins for the platform and the targets, with faults on request.
//!
//! Each `spawn` listens on a real socket and returns a handle that stops the
//! stand-in when dropped. All run on one runtime of the process, so a handle
//! can be made and used with or without an executor at hand.

pub mod control;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod hosts;
pub mod memory;
mod peer;
mod reader;
pub mod server;
pub mod service;
pub mod store;
pub mod weights;
