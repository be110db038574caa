//! The rate-limited weight store. Engines read from it when they load weights. Nodes read only its
//! limits, to bound the number of concurrent loads.

use hickory_unit::size;
use serde::{Deserialize, Serialize};
use std::future::Future;

/// The limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The maximum number of concurrent loads.
    pub loads: u32,
    /// The total rate of all loads in bytes per second.
    pub bytes_per_second: size::Bytes,
}

/// The weight store.
pub trait Weights: Clone + Send + Sync + 'static {
    /// Returns the current limits.
    fn limit(&self) -> impl Future<Output = Result<Limit, super::store::Error>> + Send;
}
