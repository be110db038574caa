//! The decisions of hickoryrun under load: no input or output, no threads,
//! and the time passed in.
//!
//! A request meets [`cost`], [`place`], [`limit`] (with [`fair`], [`room`],
//! [`ramp`] and [`pace`] behind it), then [`retry`] and [`poison`];
//! [`reserve`] and [`preempt`] serve the long prompts, [`layout`] the weights
//! on engines. [`spread`] is how a large document goes from node to node.
//! [`membership`] is which nodes are alive, [`queue`] the order of prompts that
//! wait, [`replica`] the choice for a plain service, [`ejection`] what is avoided.
//! [`survey`] is what logs say of a choice. [`baseline`] is what all this is
//! measured against.

pub mod baseline;
pub mod cost;
pub mod ejection;
pub mod engine;
pub mod fair;
mod flow;
pub mod gossip;
mod grant;
mod lane;
mod late;
pub mod layout;
pub mod limit;
pub mod member;
pub mod membership;
pub mod pace;
pub mod pass;
pub mod permit;
pub mod place;
pub mod plan;
pub mod poison;
pub mod preempt;
mod probe;
pub mod queue;
pub mod ramp;
pub mod refuse;
pub mod replica;
pub mod reserve;
pub mod resume;
pub mod retry;
pub mod room;
mod roster;
mod rumor;
pub mod share;
pub mod spread;
pub mod survey;
