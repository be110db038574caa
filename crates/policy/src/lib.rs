//! The decisions of hickoryrun under load: no input or output, no threads,
//! and the time passed in.
//!
//! The modules stand in the order in which a request meets them.

pub mod cost;
pub mod limit;
pub mod place;
pub mod refuse;
