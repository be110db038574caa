//! Release notes and the configuration they build.
//!
//! [`note::Note`] is what operators send, [`configuration::Configuration`]
//! what is in force. A note is applied whole or not at all, and every finding
//! is reported with its place. [`accept`] decides about a note against the present
//! configuration, [`diff`] shows what changes.

pub mod accept;
pub(crate) mod check;
pub mod configuration;
pub mod diff;
pub mod note;
pub(crate) mod read;
