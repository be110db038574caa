//! The owner's loops over its targets: read load reports, grant what fits,
//! cancel what nobody stands for, give orders.

use crate::core::{Core, Stage};
use crate::orders;
use crate::suspect::is_port_closed;
use crate::sweep::Found;
use hickory_policy::limit::{Capacity, Observed};
use hickory_policy::ramp::Sample;
use hickory_state::owner::Terms;
use hickory_store::host::{Host, Kind};
use hickory_target::Error;
use hickory_target::engine::{Cancelled, Engines, Report};
use hickory_target::service::{self, Services};
use hickory_telemetry::label::{Orphan, Ownership};
use hickory_unit::clock::Clock;
use hickory_unit::{id, size};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Between two looks at which targets are owned.
const OWNED_INTERVAL: Duration = Duration::from_millis(100);

/// Between two looks at queues where anything waits: what fits changes with
/// each step of an engine, which takes about as long.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Failed reads of a load report after which a target gets no new work: one
/// may be a hiccup, and three take less than the bound on new work to a
/// target that is gone.
const MISSED_MAX: u32 = 3;

/// Follows the ownership: one task for each owned target.
pub(crate) async fn follow_owned(core: Arc<Core>) {
    let mut running: HashMap<id::Target, (id::Epoch, tokio::task::AbortHandle)> = HashMap::new();
    let mut changed = core.owners.changed();
    loop {
        let owned = core.owners.owned();
        running.retain(|target, (epoch, task)| {
            let kept = owned.iter().any(|o| o.target == *target && o.epoch == *epoch);
            if !kept {
                task.abort();
                core.metrics.count_ownership_change(match core.stage() {
                    Stage::Serving => Ownership::Lost,
                    Stage::Draining | Stage::Closed => Ownership::Released,
                });
            }
            kept
        });
        core.table
            .retain(|target, epoch| owned.iter().any(|o| o.target == *target && o.epoch == epoch));
        for owned in owned {
            if running.contains_key(&owned.target) {
                continue;
            }
            core.table.open(&owned.target, owned.epoch);
            core.metrics.count_ownership_change(Ownership::Gained);
            let task = tokio::spawn(drive(core.clone(), owned.target.clone(), owned.epoch));
            running.insert(owned.target, (owned.epoch, task.abort_handle()));
        }
        let _ = tokio::time::timeout(OWNED_INTERVAL, changed.changed()).await;
    }
}

/// Drives one owned target until it is not owned any more.
async fn drive(core: Arc<Core>, target: id::Target, epoch: id::Epoch) {
    let interval = core.time(core.settings.times.report_ms);
    let mut missed = 0;
    loop {
        if let Some(host) = core.view.hosts().get(&target) {
            let read = match &host.kind {
                Kind::Engine => drive_engine(&core, host, epoch).await,
                Kind::Service(_) => drive_service(&core, host).await,
            };
            missed = if read { 0 } else { missed + 1 };
            if missed == MISSED_MAX {
                core.metrics.count_target_silence();
            }
            update_accepting(&core, host, missed < MISSED_MAX);
        }
        let (life, resume) = (core.permit_life(), core.time(core.settings.times.resume_ms));
        let now = core.now();
        core.table.with(&target, |owned| {
            owned.sweep(now, life, resume);
            owned.poll(now, life);
        });
        tokio::time::sleep(interval).await;
    }
}

/// Whether the target takes new work, as far as its owner knows.
fn update_accepting(core: &Core, host: &Host, answers: bool) {
    let configuration = core.configuration();
    let in_service = configuration.as_ref().is_some_and(|c| core.view.may_send(&host.target, c));
    let owned = core.owners.owned();
    let terms = owned.iter().find(|owned| owned.target == host.target).map(|owned| owned.terms);
    let waited = !matches!(terms, None | Some(Terms::Wait(_)));
    let confirmed = matches!(terms, Some(Terms::Full));
    let now = core.now();
    core.table.with(&host.target, |owned| {
        let known = owned.capacity.streams > 0;
        owned.set_terms(now, answers && in_service && waited && known, confirmed);
        if let Some(configuration) = &configuration {
            owned.follow(configuration);
        }
    });
}

async fn drive_engine(core: &Core, host: &Host, epoch: id::Epoch) -> bool {
    let report = match Engines::report(&core.targets, host.address).await {
        Ok(report) => report,
        Err(error) => {
            // A closed port is a death; silence may be anything.
            if matches!(error, Error::NotSent(_)) && is_port_closed(host.address).await {
                note_death(core, &host.target);
            }
            return false;
        }
    };
    let known = core.table.with(&host.target, |owned| owned.incarnation).flatten();
    if known.is_some_and(|known| known != report.incarnation) {
        note_death(core, &host.target);
    }
    take_report(core, &host.target, &report);
    cancel_orphans(core, host).await;
    if let Some(configuration) = core.configuration() {
        orders::give_orders(core, host, epoch, &report.loaded, &configuration).await;
    }
    true
}

/// Puts what ran on a dead target under suspicion.
fn note_death(core: &Core, target: &id::Target) {
    let ran = core.table.with(target, |owned| owned.take_death()).unwrap_or_default();
    core.record.note_death(core.now(), ran);
}

fn take_report(core: &Core, target: &id::Target, report: &Report) {
    let now = core.now();
    let nodes = core.member.nodes();
    let confirmed = core.member.confirmed(now);
    // The list of nodes says nothing while the platform can't be reached.
    let is_live = |node: &id::Node| !confirmed || nodes.contains_key(node);
    let resume = core.time(core.settings.times.resume_ms);
    let found = Found { now, wall_ms: core.clock.wall_ms(), resume, is_live };
    core.table.with(target, |owned| {
        if owned.incarnation.is_some_and(|known| known != report.incarnation) {
            core.metrics.count_target_restart();
            owned.restarted(now);
        }
        owned.take_report(report, &found);
    });
}

/// Ends on the engine what nobody stands for. What the engine does not
/// confirm is tried again after the next report.
async fn cancel_orphans(core: &Core, host: &Host) {
    let taken = core.table.with(&host.target, |owned| (owned.take_cancels(), owned.take_drops()));
    let (cancels, drops) = taken.unwrap_or_default();
    let mut answers = true;
    for stream in cancels {
        let cancelled = match answers {
            true => core.targets.cancel(host.address, &stream).await,
            false => Err(Error::Unknown("the target did not answer the last cancel".into())),
        };
        if matches!(cancelled, Ok(Cancelled::Stopped)) {
            core.metrics.count_orphan(Orphan::Stream);
        }
        let now = core.now();
        core.table.with(&host.target, |owned| match cancelled {
            Ok(Cancelled::NeverBegun | Cancelled::Stopped | Cancelled::Ended)
            | Err(Error::NotFound) => owned.cancelled(now, &stream),
            Err(_) => {
                answers = false;
                owned.cancel_again(stream);
            }
        });
    }
    // Those that stay held are found again in the next report.
    for handle in drops {
        if core.targets.drop_handle(host.address, &handle).await.is_ok() {
            core.metrics.count_orphan(Orphan::Cache);
        }
    }
}

/// Grants what comes to fit as time passes, while anything waits.
pub(crate) async fn poll_queues(core: Arc<Core>) {
    loop {
        let waiting = core.table.poll(core.now(), core.permit_life());
        if waiting == 0 {
            core.table.queued.notified().await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn drive_service(core: &Core, host: &Host) -> bool {
    let report: Result<service::Report, Error> =
        Services::report(&core.targets, host.address).await;
    let Ok(report) = report else { return false };
    let now = core.now();
    core.table.with(&host.target, |owned| {
        if owned.incarnation.is_some_and(|known| known != report.incarnation) {
            owned.restarted(now);
            core.metrics.count_target_restart();
        }
        owned.incarnation = Some(report.incarnation);
        // A call weighs one slot and no KV cache.
        owned.kv_capacity = size::Tokens(u64::from(u32::MAX));
        owned.set_capacity(Capacity {
            streams: report.calls_max,
            kv: owned.kv_capacity,
            prefill_rate: u64::from(u32::MAX),
        });
        let (incarnation, warmth) = (report.incarnation, report.warmth);
        let sample = Sample { incarnation, warmth, cache_hits: 0, cache_misses: 0 };
        owned.observe_load(now, &Observed { sample, ..Observed::default() });
        // Nothing is held on a service: a cancel has nothing to do.
        for stream in owned.take_cancels() {
            owned.cancelled(now, &stream);
        }
    });
    true
}
