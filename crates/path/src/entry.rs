//! Which addresses callers are told to use.

use crate::core::Core;
use crate::dialect::Dialect;
use hickory_policy::entry;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::time::Duration;

/// How long callers may keep the answer. Some keep it three times as long; a
/// node that dies is out of use after that and the time it takes to be missed.
const KEEP: Duration = Duration::from_secs(1);

/// The answer to a caller who asks where to connect; `None` where no node
/// takes callers.
pub(crate) fn answer<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    query: &str,
) -> Option<String> {
    let (near, far) = core.callers(D::read_caller_zone(query).as_ref());
    let addresses = entry::choose(near, far, &mut rand::rng());
    let keep = KEEP.min(core.bounds().keep);
    (!addresses.is_empty()).then(|| D::write_directory(&addresses, keep))
}
