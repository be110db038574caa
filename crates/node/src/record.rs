//! Log lines about requests. Each contains the request, attempt, account, target and zone that
//! are known.

use crate::core::Core;
use crate::permit::Placement;
use hickory_policy::refuse::{Ran, Refusal, RetryReason};
use hickory_telemetry::logs::Subject;
use hickory_unit::id;
use log::Level;

/// Logs that an attempt failed and another one follows.
pub(crate) fn log_retry(
    core: &Core,
    account: &id::Account,
    placement: &Placement,
    reason: RetryReason,
) {
    if Level::Warn > log::max_level() {
        return;
    }
    let host = core.view.hosts().get(&placement.target).map(|host| host.zone.clone());
    let subject = Subject {
        request: Some(placement.stream.request),
        attempt: Some(placement.stream.attempt),
        account: Some(account.clone()),
        target: Some(placement.target.clone()),
        zone: host,
    };
    subject.log(Level::Warn, module_path!(), format_args!("attempt failed: {reason}"));
}

/// Logs that an admitted request is refused.
///
/// A request that has not run indicates load and is counted in the metrics, so it is logged at
/// debug level. One that may have run indicates a fault and is logged as a warning.
pub(crate) fn log_refusal(request: id::Request, account: &id::Account, refusal: &Refusal) {
    let level = match refusal.ran {
        Ran::No => Level::Debug,
        Ran::Unknown => Level::Warn,
    };
    let (request, account) = (Some(request), Some(account.clone()));
    let subject = Subject { request, account, ..Subject::default() };
    let Refusal { reason, ran, detail, .. } = refusal;
    let message = format_args!("given up on: {reason}, ran: {ran}: {detail}");
    subject.log(level, module_path!(), message);
}
