//! Log lines about requests: each names its request, attempt, account, target
//! and zone, as far as they are known.

use crate::core::Core;
use crate::permit::Placement;
use hickory_policy::refuse::{Ran, Refusal, Retry};
use hickory_telemetry::logs::Subject;
use hickory_unit::id;
use log::Level;

/// An attempt failed, and another one follows.
pub(crate) fn log_retry(core: &Core, account: &id::Account, placement: &Placement, reason: Retry) {
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

/// An admitted request is given up on. One that has not run tells of load and
/// is counted; one that may have run tells of a fault and is worth a line.
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
