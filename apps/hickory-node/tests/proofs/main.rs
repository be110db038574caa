//! Proofs between processes: real nodes and stand-ins on loopback, under the
//! failures that the brief names. Waits are on conditions, never on guessed
//! times.

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
