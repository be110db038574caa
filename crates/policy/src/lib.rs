//! The decisions of hickoryrun under load: no input or output, no threads,
//! and the time passed in.
//!
//! A request meets [`cost`], [`place`], [`limit`] (with [`fair`], [`room`],
//! [`ramp`] and [`pace`] behind it), then [`retry`] and [`poison`];
//! [`reserve`] and [`preempt`] serve the long prompts, [`layout`] the weights
//! on engines. [`spread`] is how a large document goes from node to node.
//! [`survey`] is what logs say of a choice. [`baseline`] is what all this is
//! measured against.

pub mod ask;
pub mod baseline;
pub mod claim;
pub mod cost;
pub mod engine;
pub mod fair;
mod flow;
mod grant;
mod lane;
mod late;
pub mod layout;
pub mod limit;
pub mod pace;
pub mod pass;
pub mod place;
pub mod plan;
pub mod poison;
pub mod preempt;
pub mod ramp;
pub mod refuse;
pub mod reserve;
pub mod retry;
pub mod room;
pub mod share;
pub mod spread;
pub mod survey;
