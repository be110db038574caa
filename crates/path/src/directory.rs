//! Which addresses callers are told to use.

use crate::core::Core;
use crate::dialect::Dialect;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::net::SocketAddr;
use std::time::Duration;

/// How long callers may max_age the answer. Some max_age it three times as long; a
/// node that dies is out of use after that and the time it takes to be missed.
const MAX_ADDRESS_AGE: Duration = Duration::from_secs(1);

/// Addresses in one answer at most.
const MAX_ADDRESSES: usize = 64;

/// The answer to a caller who asks where to connect; `None` where no node
/// takes callers.
pub(crate) fn render<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> Option<String> {
    let own = core.is_ready().then_some(core.settings.callers);
    let mut addresses: Vec<SocketAddr> = own.into_iter().collect();
    addresses.extend(core.callers().into_iter().take(MAX_ADDRESSES - addresses.len()));
    let max_age = MAX_ADDRESS_AGE.min(core.bounds().directory_max_age);
    (!addresses.is_empty()).then(|| D::write_directory(&addresses, max_age))
}
