//! Release notes and the configuration that they create.
//!
//! Operators send a [`note::Note`]; [`configuration::Configuration`] is in force on the nodes. A
//! note is applied atomically, and all its findings are reported with their locations. [`accept`]
//! decides whether to accept a note, and [`diff`] compares configurations.

pub mod accept;
pub(crate) mod check;
pub mod configuration;
pub mod diff;
pub mod note;
pub(crate) mod read;
