//! Ports to the platform: the key-value service, the host list and the weight
//! store.
//!
//! Everything that must last, or that nodes must agree on, goes through
//! [`store::Store`]. The HTTP adapters are thin; no decision is made in them.

pub mod host;
pub mod http;
pub mod store;
pub mod weight;
