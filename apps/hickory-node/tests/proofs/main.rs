//! Failure tests with nodes as real processes and stand-ins on loopback. Tests wait
//! for conditions, never for estimated times.

mod burst;
mod cold;
mod config;
mod end_to_end;
mod failover;
mod link;
mod logs;
mod long_prompts;
mod node_failure;
mod once;
mod poison;
mod process;
mod stop;
mod support;
mod versions;
mod zone;
