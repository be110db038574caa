//! Proofs between processes: real nodes and stand-ins on loopback, under the
//! failures that the brief names. Waits are on conditions, never on guessed
//! times.

mod burst;
mod cold;
mod config;
mod death;
mod logs;
mod long;
mod once;
mod passage;
mod path;
mod poison;
mod process;
mod stop;
mod support;
mod versions;
mod whole;
mod zone;
