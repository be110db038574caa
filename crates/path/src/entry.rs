//! Which addresses callers are told to use.

use crate::core::Core;
use crate::dialect::Dialect;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::net::SocketAddr;
use std::time::Duration;

/// How long callers may keep the answer. Some keep it three times as long; a
/// node that dies is out of use after that and the time it takes to be missed.
const KEEP: Duration = Duration::from_secs(1);

/// Addresses in one answer at most.
const ADDRESSES_MAX: usize = 64;

/// The answer to a caller who asks where to connect; `None` where no node
/// takes callers.
pub(crate) fn answer<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> Option<String> {
    let own = core.is_ready().then_some(core.settings.callers);
    let mut addresses: Vec<SocketAddr> = own.into_iter().collect();
    addresses.extend(core.caller_addresses().into_iter().take(ADDRESSES_MAX - addresses.len()));
    let keep = KEEP.min(core.bounds().keep);
    (!addresses.is_empty()).then(|| D::write_directory(&addresses, keep))
}
