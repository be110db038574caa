//! Interfaces to the platform: the key-value service, the host list and the weight store.
//!
//! All persistent state, and all state that nodes must agree on, is kept in [`store::Store`]. The
//! HTTP adapters make no decisions.

pub mod host;
pub mod http;
pub mod store;
pub mod weight;
