//! The settings of a node, in JSON with comments.
//!
//! The settings are validated strictly. If the name of a time were misspelt, for example, a node
//! would use the default, and the error would only show under load. All findings are reported at once with their
//! lines and fields, so that one edit of the file can fix them all.

pub mod check;
pub mod node;
pub(crate) mod read;

pub use check::{Check, Error, Invalid, check_settings, open, parse_settings};
pub use node::{Level, Logs, Platform, Settings, Times};
