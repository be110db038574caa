//! The administration API of a node.
//!
//! [`server::Server`] serves it for a [`control::Control`], which the node implements. [`view`] and
//! [`problem`] define the response bodies, which the command line tool parses.
//!
//! The API is served by `oxhttp` with one thread per connection. That suits a few operators and a
//! metrics scraper; callers are served by another server.

pub mod control;
pub mod problem;
pub(crate) mod route;
pub mod server;
pub mod view;

pub use server::{Handle, Server};

/// The header with the operation id of a note that does not contain one.
pub const OPERATION_HEADER: &str = "idempotency-key";
