//! The decisions of hickoryrun under load: no input or output, no threads,
//! and the time passed in.
//!
//! The modules stand in the order in which a request meets them.

pub mod ask;
pub mod baseline;
pub mod cost;
pub mod fair;
mod late;
pub mod layout;
pub mod limit;
pub mod pace;
pub mod place;
pub mod poison;
pub mod preempt;
pub mod ramp;
pub mod refuse;
pub mod reserve;
pub mod retry;
pub mod room;
