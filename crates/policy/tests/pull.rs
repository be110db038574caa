//! How often a node asks for the records that it lacks.

use hickory_policy::gossip::{Exchange, Message};
use hickory_policy::member::{Capacity, Contact, Record, State};
use hickory_policy::membership::Membership;
use hickory_unit::id;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A digest that differs from the one of any table here.
const OTHER_DIGEST: u64 = 7;

fn record(number: u16) -> Record {
    let address = SocketAddr::from(([10, 0, 0, 1], number));
    let contact = Contact {
        peer_address: address,
        caller_address: address,
        sync_address: address,
        is_ready: true,
        is_synced: true,
        is_store_unreachable: false,
        capacity: Capacity(1),
    };
    let node = format!("n-{number}").as_str().into();
    Record { node, incarnation: id::Incarnation(1), version: 0, state: State::Alive, contact }
}

/// Returns whether a node that is past its start pulls again 300 ms after a pull that brought this
/// number of new records.
fn pulls_again(gained: u16) -> bool {
    let (start, peer) = (Instant::now(), record(1));
    let mut membership = Membership::new(start, record(0), Vec::new(), 1);
    let mut receive = |ms: u64, message: Message| {
        let now = start + Duration::from_millis(ms);
        let out = membership.receive(now, &peer.node, peer.contact.peer_address, message);
        out.iter().any(|(_, message)| matches!(message, Message::Sync { .. } | Message::Pull(_)))
    };
    let differs =
        || Message::Ack(Exchange { sequence: 0, digest: OTHER_DIGEST, records: Vec::new() });
    assert!(receive(10_000, differs()), "the first difference is not pulled");
    receive(10_010, Message::Members((2..2 + gained).map(record).collect()));
    receive(10_300, differs())
}

/// Guards against a large fleet whose nodes know each other only after many seconds: a table takes
/// longer to fill than the start phase lasts, and later a node waits seconds between two pulls.
#[test]
fn a_table_fills_at_full_speed_after_the_start_phase() {
    assert!(pulls_again(100));
    assert!(!pulls_again(1), "each change of a node costs a pull from every node");
}
