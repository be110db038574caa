//! The owner's background loops: poll load reports, grant permits that fit, cancel orphaned
//! work and send orders.

use crate::core::{Core, Stage};
use crate::orders;
use crate::suspect::is_port_closed;
use crate::sweep::SweepContext;
use hickory_policy::limit::{Capacity, Observed};
use hickory_policy::ramp::Sample;
use hickory_state::owner::Allowance;
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

/// Poll interval for the set of owned targets.
const OWNERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Poll interval while asks are queued: the free capacity changes with each engine step, which
/// takes about as long.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of consecutive failed reads of a load report after which a target gets no new work. A
/// single failure may be transient; three in a row still take less time than a dead target may
/// continue to get new work.
const MAX_MISSED_REPORTS: u32 = 3;

/// Runs one task for each owned target.
pub(crate) async fn run_owned_targets(core: Arc<Core>) {
    let mut running: HashMap<id::Target, (id::Epoch, tokio::task::AbortHandle)> = HashMap::new();
    let mut changed = core.owners.subscribe();
    loop {
        let owned = core.owners.owned();
        running.retain(|target, (epoch, task)| {
            let is_owned = owned.iter().any(|o| o.target == *target && o.epoch == *epoch);
            if !is_owned {
                task.abort();
                core.metrics.count_ownership_change(match core.stage() {
                    Stage::Serving => Ownership::Lost,
                    Stage::Draining | Stage::Closed | Stage::Ended => Ownership::Released,
                });
            }
            is_owned
        });
        core.table
            .retain(|target, epoch| owned.iter().any(|o| o.target == *target && o.epoch == epoch));
        for owned in owned {
            if running.contains_key(&owned.target) {
                continue;
            }
            core.table.open(&owned.target, owned.epoch);
            core.metrics.count_ownership_change(Ownership::Gained);
            let task =
                tokio::spawn(run_owned_target(core.clone(), owned.target.clone(), owned.epoch));
            running.insert(owned.target, (owned.epoch, task.abort_handle()));
        }
        let _ = tokio::time::timeout(OWNERSHIP_POLL_INTERVAL, changed.changed()).await;
    }
}

/// Polls one owned target until its task is aborted because it is no longer owned.
async fn run_owned_target(core: Arc<Core>, target: id::Target, epoch: id::Epoch) {
    let interval = core.duration_ms(core.settings.times.report_ms);
    let mut missed = 0;
    loop {
        if let Some(host) = core.view.hosts().get(&target) {
            let has_report = match &host.kind {
                Kind::Engine => poll_engine(&core, host, epoch).await,
                Kind::Service(_) => poll_service(&core, host).await,
            };
            missed = if has_report { 0 } else { missed + 1 };
            if missed == MAX_MISSED_REPORTS {
                core.metrics.count_target_silence();
            }
            update_accepting(&core, host, missed < MAX_MISSED_REPORTS);
        }
        let (permit_lifetime, resume_window) =
            (core.permit_lifetime(), core.duration_ms(core.settings.times.resume_ms));
        let now = core.now();
        core.table.with(&target, |owned| {
            owned.sweep(now, permit_lifetime, resume_window);
            owned.poll(now, permit_lifetime);
        });
        tokio::time::sleep(interval).await;
    }
}

/// Updates whether the target accepts new work.
fn update_accepting(core: &Core, host: &Host, is_answering: bool) {
    let configuration = core.configuration();
    let is_in_service = configuration.as_ref().is_some_and(|c| core.view.may_send(&host.target, c));
    let owned = core.owners.owned();
    let allowance =
        owned.iter().find(|owned| owned.target == host.target).map(|owned| owned.allowance);
    let is_wait_over = !matches!(allowance, None | Some(Allowance::WaitUntil(_)));
    let is_confirmed = matches!(allowance, Some(Allowance::Full));
    let now = core.now();
    core.table.with(&host.target, |owned| {
        let is_capacity_known = owned.capacity.streams > 0;
        owned.set_availability(
            now,
            is_answering && is_in_service && is_wait_over && is_capacity_known,
            is_confirmed,
        );
        if let Some(configuration) = &configuration {
            owned.apply_configuration(configuration);
        }
    });
}

async fn poll_engine(core: &Core, host: &Host, epoch: id::Epoch) -> bool {
    let report = match Engines::report(&core.targets, host.address).await {
        Ok(report) => report,
        Err(error) => {
            // A closed port means that the process died; a timeout may have other causes.
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
    apply_report(core, &host.target, &report);
    cancel_orphans(core, host).await;
    if let Some(configuration) = core.configuration() {
        orders::send_orders(core, host, epoch, &report.loaded, &configuration).await;
    }
    true
}

/// Records the requests that ran on a dead target as suspects.
fn note_death(core: &Core, target: &id::Target) {
    let ran = core.table.with(target, |owned| owned.record_death()).unwrap_or_default();
    core.retry_control.note_death(core.now(), ran);
}

fn apply_report(core: &Core, target: &id::Target, report: &Report) {
    let now = core.now();
    let nodes = core.member.nodes();
    let is_confirmed = core.member.is_lease_valid(now);
    // While the platform is unreachable, the list of nodes can't show that a node is gone.
    let is_live = |node: &id::Node| !is_confirmed || nodes.contains_key(node);
    let resume_window = core.duration_ms(core.settings.times.resume_ms);
    let context = SweepContext { now, wall_ms: core.clock.wall_ms(), resume_window, is_live };
    core.table.with(target, |owned| {
        if owned.incarnation.is_some_and(|known| known != report.incarnation) {
            core.metrics.count_target_restart();
            owned.reset_after_restart(now);
        }
        owned.apply_report(report, &context);
    });
}

/// Cancels orphaned streams and drops orphaned KV caches on the engine. What the engine doesn't
/// confirm is retried after the next report.
async fn cancel_orphans(core: &Core, host: &Host) {
    let taken = core.table.with(&host.target, |owned| (owned.take_cancels(), owned.take_drops()));
    let (cancels, drops) = taken.unwrap_or_default();
    let mut is_answering = true;
    for stream in cancels {
        let cancelled = match is_answering {
            true => core.targets.cancel(host.address, &stream).await,
            false => Err(Error::Unknown("the target did not answer the last cancel".into())),
        };
        if matches!(cancelled, Ok(Cancelled::Stopped)) {
            core.metrics.count_orphan(Orphan::Stream);
        }
        let now = core.now();
        core.table.with(&host.target, |owned| match cancelled {
            Ok(Cancelled::NeverBegun | Cancelled::Stopped | Cancelled::Ended)
            | Err(Error::NotFound) => owned.confirm_cancelled(now, &stream),
            Err(_) => {
                is_answering = false;
                owned.retry_cancel(stream);
            }
        });
    }
    // KV caches that were not dropped are found again in the next report.
    for handle in drops {
        if core.targets.drop_handle(host.address, &handle).await.is_ok() {
            core.metrics.count_orphan(Orphan::Cache);
        }
    }
}

/// Grants permits as capacity becomes free, while asks are queued.
pub(crate) async fn poll_queues(core: Arc<Core>) {
    loop {
        let waiting = core.table.poll(core.now(), core.permit_lifetime());
        if waiting == 0 {
            core.table.ask_queued.notified().await;
        }
        tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
    }
}

async fn poll_service(core: &Core, host: &Host) -> bool {
    let report: Result<service::Report, Error> =
        Services::report(&core.targets, host.address).await;
    let Ok(report) = report else { return false };
    let now = core.now();
    core.table.with(&host.target, |owned| {
        if owned.incarnation.is_some_and(|known| known != report.incarnation) {
            owned.reset_after_restart(now);
            core.metrics.count_target_restart();
        }
        owned.incarnation = Some(report.incarnation);
        // A call takes one slot and no KV cache.
        owned.kv_capacity = size::Tokens(u64::from(u32::MAX));
        owned.set_capacity(Capacity {
            streams: report.calls_max,
            kv: owned.kv_capacity,
            prefill_rate: u64::from(u32::MAX),
        });
        let (incarnation, warmth) = (report.incarnation, report.warmth);
        let sample = Sample { incarnation, warmth, cache_hits: 0, cache_misses: 0 };
        owned.observe_load(now, &Observed { sample, ..Observed::default() });
        // A service holds no state of a call, so there is nothing to cancel.
        for stream in owned.take_cancels() {
            owned.confirm_cancelled(now, &stream);
        }
    });
    true
}
