//! Summarizes the nodes' logs over time, as an HTML page and as a JSON document.
//!
//! [`read::read_lines`] reads a log line by line into a [`tally::Tally`], whose
//! memory is bounded regardless of the size of the logs. [`summary::Summary`]
//! holds the result, [`page::render_page`] renders it, and
//! [`atomic_file::write()`] writes the page to a file atomically.

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
