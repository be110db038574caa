//! Sums up the nodes' log lines over time, as one page and as a document.
//!
//! [`read::read_lines`] reads a log line by line into a [`tally::Tally`], which
//! is bounded however long the logs are. [`summary::Summary`] is what it has
//! counted; [`page::write_page`] draws it, and [`save::save`] puts the page down
//! whole or not at all.

pub mod atomic_file;
pub mod bounded_counts;
mod distribution;
pub mod line;
pub mod outcome;
pub mod page;
mod plot;
pub mod read;
pub mod size;
pub mod summary;
mod table;
pub mod tally;
pub mod timeline;
