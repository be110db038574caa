//! The administration API of a node.
//!
//! [`server::Server`] serves it over a [`control::Control`], which the node
//! implements; [`view`] and [`problem`] have the documents that go over the
//! wire, for the command line to read.
//!
//! The API is served by `oxhttp`, a thread for each connection. That suits a
//! few operators and a scraper of metrics; callers are served elsewhere.

pub mod control;
pub mod problem;
pub(crate) mod route;
pub mod server;
pub mod view;

pub use server::{Handle, Server};

/// The header that names the operation of a note which does not name its own.
pub const OPERATION_HEADER: &str = "idempotency-key";
