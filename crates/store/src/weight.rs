//! The rate-limited weight store. Engines read from it when ordered to load;
//! nodes only ask what it bears, to bound how many loads run at once.

use hickory_unit::size;
use serde::{Deserialize, Serialize};
use std::future::Future;

/// What the weight store bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Loads that may run at once.
    pub loads: u32,
    /// Bytes a second over all loads.
    pub bytes_per_second: size::Bytes,
}

/// The weight store.
pub trait Weights: Clone + Send + Sync + 'static {
    /// The present limit.
    fn limit(&self) -> impl Future<Output = Result<Limit, super::store::Error>> + Send;
}
