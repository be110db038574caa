//! Release notes and the configuration they build.
//!
//! [`note::Note`] is what operators send, [`configuration::Configuration`]
//! what is in force. A note is applied whole or not at all, and every finding
//! is reported with its place.

pub mod configuration;
pub mod note;
