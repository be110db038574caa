//! Tests of the ledger: own allocations, those that peers report, and the loads computed from both.

use hickory_path::dialect::Entry;
use hickory_path::ledger::{Allocation, AllocationId, Ledger, Phase};
use hickory_path::view::{Tag, Target};
use hickory_policy::engine::Profile;
use hickory_store::store::Revision;
use hickory_unit::id;
use hickory_unit::size::Tokens;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn profile() -> Profile {
    Profile {
        slots: 16,
        kv_capacity: Tokens(315_000),
        base_step_time: ms(1),
        step_time_per_stream: Duration::ZERO,
        step_time_per_kilotoken: Duration::ZERO,
        prefill_rate: 177_000.0,
        attention_time_per_megapair: Duration::ZERO,
        steps_per_iteration: 51,
        remote_kv_step_time: Duration::ZERO,
        mean_answer: Tokens(100),
    }
}

fn targets() -> Vec<Arc<Target>> {
    let target = |id: u64| Target {
        id: format!("t-{id}").as_str().into(),
        tag: Tag(id),
        entry: Entry {
            service: "s".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z".into(),
            slots: 16,
            is_draining: false,
            cold_time_left: Duration::ZERO,
            incarnation: 1,
        },
        cold_until: None,
        lapsed_until: None,
        withheld_until: None,
        revision: Revision::default(),
    };
    (1..=3).map(target).map(Arc::new).collect()
}

fn allocation(target: u64, helpers: &[u64], prefill_ms: u64) -> Allocation {
    Allocation {
        service: "s".into(),
        target: Tag(target),
        helpers: helpers.iter().map(|&tag| Tag(tag)).collect(),
        prefill_time: ms(prefill_ms),
        prompt: Tokens(1_000),
        expected_answer: Tokens(100),
        memory: Vec::new(),
        max_token_gap: Some(ms(250)),
        is_short: true,
        phase: Phase::Prefill,
        age: Duration::ZERO,
    }
}

fn record(ledger: &mut Ledger, now: Instant, allocation: Allocation) -> AllocationId {
    let id = ledger.next_id();
    ledger.record(now, id, allocation);
    id
}

#[test]
fn own_and_peer_allocations_add_to_the_prefill_backlog() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let node: id::Node = "other".into();
    record(&mut ledger, now, allocation(1, &[2], 100));
    ledger.record_peer(now, &node, AllocationId(1), allocation(1, &[], 50));
    let loads = ledger.loads(now, &targets(), Some(&profile()));
    assert_eq!(
        [loads[0].prefill_backlog, loads[1].prefill_backlog, loads[2].prefill_backlog],
        [ms(150), ms(100), ms(0)]
    );
    assert_eq!((loads[0].requests, loads[0].short_requests, loads[1].helper_chunks), (2, 2, 1));
    let later = ledger.loads(now + ms(60), &targets(), Some(&profile()));
    assert_eq!([later[0].prefill_backlog, later[1].prefill_backlog], [ms(90), ms(40)]);
}

#[test]
fn first_token_ends_prefill_and_finish_removes_the_allocation() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let id = record(&mut ledger, now, allocation(1, &[2], 100));
    ledger.begin_decode(now, id);
    let loads = ledger.loads(now, &targets(), Some(&profile()));
    assert_eq!(
        (loads[0].prefill_backlog, loads[0].decoding_streams, loads[1].helper_chunks),
        (ms(0), 1, 0)
    );
    assert_eq!((loads[0].decode_context, loads[0].kv_used), (Tokens(1_100), Tokens(1_100)));
    ledger.finish(now, id);
    assert_eq!(ledger.loads(now, &targets(), Some(&profile()))[0].requests, 0);
}

/// Guards against an engine that looks full forever because the node that placed work there died,
/// or because the datagram that reported the end was lost. An allocation must expire when its
/// reports stop.
#[test]
fn peer_allocations_expire_unless_refreshed() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let node: id::Node = "other".into();
    ledger.record_peer(now, &node, AllocationId(1), allocation(1, &[], 50));
    ledger.record_peer(now, &node, AllocationId(2), allocation(1, &[], 50));
    ledger.record_peer(now + ms(1_500), &node, AllocationId(2), allocation(1, &[], 50));
    let requests = |at| ledger.loads(at, &targets(), None)[0].requests;
    assert_eq!(requests(now + ms(1_900)), 2);
    assert_eq!(requests(now + ms(2_100)), 1);
    assert_eq!(requests(now + ms(4_000)), 0);
}

/// Guards against allocations from before a restart: a killed node numbers its requests from one
/// again, and its old requests must not count beside the new ones.
#[test]
fn restarted_node_has_no_allocations() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let node: id::Node = "other".into();
    ledger.record_peer(now, &node, AllocationId(1), allocation(1, &[], 50));
    ledger.forget_node(&node);
    assert_eq!(ledger.loads(now, &targets(), None)[0].requests, 0);
}

/// Guards against overload of a target that returns cold: if each of nine nodes observed the rate
/// on its own, they would send nine times as much. The requests of all nodes count, including those
/// that have ended.
#[test]
fn sends_of_all_nodes_count_for_one_second() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let node: id::Node = "other".into();
    let id = record(&mut ledger, now, allocation(1, &[], 50));
    ledger.finish(now, id);
    ledger.record_peer(now, &node, AllocationId(1), allocation(1, &[], 50));
    ledger.record_peer(now + ms(500), &node, AllocationId(1), allocation(1, &[], 50));
    assert_eq!(ledger.recent_sends(now + ms(900), Tag(1)), 2);
    assert_eq!(ledger.recent_sends(now + ms(1_100), Tag(1)), 0);
}

/// Guards against requests that count twice at a cold target, because the requesting node reports
/// an allocation to the owner that granted and recorded it.
#[test]
fn recording_an_allocation_twice_counts_one_send() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let id = record(&mut ledger, now, allocation(1, &[], 50));
    ledger.record(now + ms(1), id, allocation(1, &[], 50));
    assert_eq!(ledger.recent_sends(now + ms(10), Tag(1)), 1);
    assert_eq!(ledger.loads(now + ms(10), &targets(), None)[0].requests, 1);
}

#[test]
fn typical_time_follows_plain_service_requests() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let plain = || Allocation { prompt: Tokens(0), ..allocation(1, &[], 0) };
    assert_eq!(ledger.typical_time(&"s".into()), None);
    let id = record(&mut ledger, now, plain());
    ledger.finish(now + ms(60), id);
    assert_eq!(ledger.typical_time(&"s".into()), Some(ms(60)));
    ledger.record_peer(now, &"other".into(), AllocationId(1), plain());
    ledger.finish_peer(now + ms(220), &"other".into(), AllocationId(1));
    assert_eq!(ledger.typical_time(&"s".into()), Some(ms(70)));
    let id = record(&mut ledger, now, allocation(1, &[], 50));
    ledger.finish(now + ms(900), id);
    assert_eq!(ledger.typical_time(&"s".into()), Some(ms(70)), "a prompt's answer");
}
