//! Settings of a node, in JSON with comments.
//!
//! They are read strictly and whole: a node that started with a misspelt
//! time would run on its default and show the fault only under load. Every
//! finding is reported together with its line and field, so that one look at
//! the file mends it.

pub mod check;
pub mod node;
pub(crate) mod read;

pub use check::{Check, Error, Invalid, check_settings, open, parse_settings};
pub use node::{Level, Logs, Platform, Settings, Times};
