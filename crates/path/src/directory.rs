//! The directory response, which lists the addresses that callers may connect to.

use crate::core::Core;
use crate::dialect::Dialect;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::time::Duration;

/// The maximum age of a cached response. Some callers cache it three times as long; a dead node is
/// out of use after that time plus the time to detect its death.
const MAX_ADDRESS_AGE: Duration = Duration::from_secs(1);

/// The maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Returns the directory response; `None` if no node accepts callers.
pub(crate) fn render<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> Option<String> {
    let addresses = core.caller_addresses(MAX_ADDRESSES);
    let max_age = MAX_ADDRESS_AGE.min(core.bounds().keep);
    (!addresses.is_empty()).then(|| D::write_directory(&addresses, max_age))
}
