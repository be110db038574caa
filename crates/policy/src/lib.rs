//! The load management decisions of hickoryrun. The crate does no input or output and starts no
//! threads, and callers pass the time in.
//!
//! A request passes through [`cost`], [`place`], [`limit`] (which uses [`fair`], [`room`], [`ramp`]
//! and [`throughput`]), then [`retry`] and [`poison`]. [`reserve`] and [`preempt`] handle long
//! prompts, [`layout`] the placement of weights on engines. [`spread`] distributes large documents between
//! nodes, [`membership`] tracks which nodes are alive (with `isolation` for the death of most), [`directory`] names nodes to callers,
//! [`queue`] orders waiting prompts, [`replica`] chooses a replica of a plain service, [`capacity`]
//! learns the speed and the concurrency limit of each target, and [`ejection`] avoids failing
//! targets, [`doubt`] zones that fail. [`rate_limit`] keeps to the request rates that targets state,
//! and [`links`] tells a node's own broken links from broken targets.
//! [`leave`] keeps the targets that state that they leave, [`misdirection`] says what their refusals mean,
//! [`recheck`] when they are asked again,
//! and [`rest`] those that ask a node for rest. [`stall`] says when a silent target is given up.
//! [`drain`] says which requests a stopping node still takes.
//! [`part`] quarantines prompt parts under which engines crash.
//! [`schedule`] plans the long prompts of patient services over time.
//! [`survey`] summarizes a choice for the logs. [`baseline`] holds the simpler policies that the
//! others are compared with.

pub mod answer;
pub mod baseline;
pub mod capacity;
mod cause;
pub mod cold;
pub mod cost;
pub mod crash;
mod curve;
pub mod directory;
pub mod doubt;
pub mod drain;
pub mod ejection;
pub mod engine;
pub mod fair;
mod flow;
pub mod gossip;
mod grant;
pub mod holding;
mod isolation;
pub mod iteration;
mod join;
mod lane;
pub mod layout;
pub mod leave;
pub mod limit;
pub mod links;
pub mod member;
pub mod membership;
pub mod misdirection;
pub mod part;
pub mod permit;
pub mod place;
pub mod plan;
pub mod poison;
pub mod preempt;
mod probe;
mod pull;
pub mod queue;
pub mod ramp;
pub mod rate_limit;
pub mod recheck;
pub mod refuse;
pub mod replica;
pub mod reserve;
pub mod rest;
pub mod resume;
pub mod retry;
pub mod room;
mod roster;
mod rumor;
pub mod schedule;
pub mod share;
mod shedding;
pub mod spread;
pub mod stall;
pub mod survey;
pub mod throughput;
mod timeline;
pub mod trial;
