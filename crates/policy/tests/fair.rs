//! Tests of weighted fair queueing by partner, account and class.

mod common;

use common::ms;
use hickory_policy::cost::Class;
use hickory_policy::fair::{Lane, Lanes, MAX_BATCH_OVERTAKING, Queue};
use hickory_unit::id;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const SHORT: Lane = Lane { class: Class::Interactive, is_long: false };
const SHORT_BATCH: Lane = Lane { class: Class::Batch, is_long: false };
const LONG: Lane = Lane { class: Class::Interactive, is_long: true };

/// A queue that counts the work granted to each partner.
struct Fixture {
    queue: Queue,
    now: Instant,
    last_ticket: u64,
    items: BTreeMap<u64, (&'static str, Lane, u64)>,
    granted_work: BTreeMap<&'static str, u64>,
}

impl Fixture {
    fn open(shares: &[(&str, f64)]) -> Self {
        let mut queue = Queue::open();
        queue.set_shares(shares.iter().map(|&(name, share)| (name.into(), share)));
        let now = Instant::now();
        Self { queue, now, last_ticket: 0, items: BTreeMap::new(), granted_work: BTreeMap::new() }
    }

    fn push(&mut self, partner: &'static str, lane: Lane, work: u64) {
        self.last_ticket += 1;
        let flow = (id::Partner::from(partner), id::Account::from(partner));
        self.queue.push(self.now, (&flow.0, &flow.1), lane, work, self.last_ticket);
        self.items.insert(self.last_ticket, (partner, lane, work));
    }

    /// Grants the next request and queues another one of the same kind.
    fn serve_next(&mut self) -> (&'static str, Lane, u64) {
        let (ticket, _) = self.queue.peek(self.now, Lanes::ALL).expect("a request is waiting");
        assert!(self.queue.grant(ticket));
        let (partner, lane, work) =
            self.items.remove(&ticket).expect("the ticket was granted before");
        *self.granted_work.entry(partner).or_default() += work;
        self.push(partner, lane, work);
        (partner, lane, work)
    }

    fn serve(&mut self) {
        self.serve_next();
    }

    fn work_fraction(&self, partner: &str) -> f64 {
        self.granted_work[partner] as f64 / self.granted_work.values().sum::<u64>() as f64
    }
}

/// The target is saturated, and the partner with the smaller share sends ten times as many
/// requests, each a tenth as long. Shares must hold by work, not by number of requests.
#[test]
fn shares_are_independent_of_request_size() {
    let mut fixture = Fixture::open(&[("mawe", 3.0), ("caucao", 1.0)]);
    fixture.push("mawe", SHORT, 10_000);
    (0..10).for_each(|_| fixture.push("caucao", SHORT, 1_000));
    (0..2_000).for_each(|_| fixture.serve());
    assert!(
        (fixture.work_fraction("mawe") - 0.75).abs() < 0.02,
        "{}",
        fixture.work_fraction("mawe")
    );
}

/// The shares change while both partners have queued requests; grants must follow the new shares
/// from then on.
#[test]
fn replaced_shares_apply_to_queued_requests() {
    let mut fixture = Fixture::open(&[("mawe", 3.0), ("caucao", 1.0)]);
    fixture.push("mawe", SHORT, 1_000);
    fixture.push("caucao", SHORT, 1_000);
    (0..1_000).for_each(|_| fixture.serve());
    fixture.granted_work.clear();
    fixture.queue.set_shares([("mawe".into(), 1.0), ("caucao".into(), 3.0)]);
    (0..1_000).for_each(|_| fixture.serve());
    assert!(
        (fixture.work_fraction("caucao") - 0.75).abs() < 0.02,
        "{}",
        fixture.work_fraction("caucao")
    );
}

/// One partner used the whole target while the other was idle. When the other one returns, it must
/// get its share from the first grant, but no credit for the unused time.
#[test]
fn idle_share_returns_immediately_without_credit() {
    let mut fixture = Fixture::open(&[("mawe", 1.0), ("caucao", 1.0)]);
    fixture.push("mawe", SHORT, 1_000);
    (0..500).for_each(|_| fixture.serve());
    fixture.push("caucao", SHORT, 1_000);
    fixture.granted_work.clear();
    let first: Vec<_> = (0..10).map(|_| fixture.serve_next().0).collect();
    assert_eq!(first.iter().filter(|&&p| p == "caucao").count(), 5, "{first:?}");
}

/// Guards against a long prompt of a million tokens that blocks the short requests of its own
/// partner. These must get at least half of the partner's share while the debt is paid off. The
/// other partner still gets its half overall, and further long prompts are granted.
#[test]
fn long_prompt_does_not_block_its_own_partner() {
    let mut fixture = Fixture::open(&[("mawe", 1.0), ("caucao", 1.0)]);
    fixture.push("mawe", LONG, 1_000_000);
    fixture.push("mawe", SHORT, 1_000);
    fixture.push("caucao", SHORT, 1_000);
    let (mut long_grants, mut short_grants, mut other_grants) = (0, 0, 0);
    for _ in 0..1_000 {
        match fixture.serve_next() {
            ("mawe", LONG, _) => long_grants += 1,
            ("mawe", ..) => short_grants += 1,
            _ => other_grants += 1,
        }
    }
    assert_eq!(long_grants, 1);
    assert!(
        short_grants * 2 >= other_grants - 2,
        "{short_grants} short grants beside {other_grants} of the other partner"
    );
    for _ in 0..20_000 {
        fixture.serve();
    }
    assert!(fixture.granted_work["mawe"] > 5_000_000, "no further long prompt was granted");
    assert!(
        (fixture.work_fraction("mawe") - 0.5).abs() < 0.05,
        "{}",
        fixture.work_fraction("mawe")
    );
}

/// Guards against batch requests that starve behind an endless sequence of interactive requests of
/// the same account.
#[test]
fn batch_is_overtaken_for_a_bounded_time() {
    let mut fixture = Fixture::open(&[]);
    fixture.push("mawe", SHORT_BATCH, 1_000);
    fixture.push("mawe", SHORT, 1_000);
    let mut turns = 0;
    while fixture.serve_next().1 != SHORT_BATCH {
        fixture.now += ms(100);
        turns += 1;
        assert!(turns < 1_000, "the batch request starved");
    }
    assert_eq!(turns, MAX_BATCH_OVERTAKING.as_millis() / 100);
}

/// Guards against a lane without capacity that blocks the others: it is skipped, and its first
/// request keeps its position.
#[test]
fn blocked_lane_is_skipped() {
    let mut fixture = Fixture::open(&[]);
    fixture.push("mawe", LONG, 100_000);
    fixture.push("caucao", SHORT, 1_000);
    let open = Lanes::ALL.without(LONG);
    assert_eq!(fixture.queue.peek(fixture.now, open).map(|(t, _)| t), Some(2));
    assert!(fixture.queue.grant(2));
    assert_eq!(fixture.queue.peek(fixture.now, open), None);
    assert_eq!(fixture.queue.peek(fixture.now, Lanes::ALL).map(|(t, _)| t), Some(1));
}

/// An account moves to another partner while it has queued requests. The old requests stay charged
/// to the old partner, new ones to the new partner, and none is lost.
#[test]
fn account_changes_partner() {
    let mut queue = Queue::open();
    let account = id::Account::from("shop");
    let now = Instant::now();
    queue.push(now, (&"mawe".into(), &account), SHORT, 1, 1);
    queue.push(now, (&"caucao".into(), &account), SHORT, 1, 2);
    assert_eq!(queue.waiting_requests_of(&"mawe".into()), 1);
    assert!(queue.grant(1) && queue.grant(2));
    assert!(queue.is_empty());
}

proptest! {
    /// Each request is granted or removed exactly once, for any sequence of arrivals and
    /// departures.
    #[test]
    fn no_request_is_lost_or_served_twice(ops in prop::collection::vec((0u8..4, 0usize..4, 0usize..5, 1u64..50_000), 1..400)) {
        let partners = ["a", "b", "c"].map(id::Partner::from);
        let mut queue = Queue::open();
        queue.set_shares([(partners[0].clone(), 3.0), (partners[1].clone(), 0.5)]);
        let mut now = Instant::now();
        let mut waiting = BTreeSet::new();
        for (i, (op, lane, who, work)) in ops.into_iter().enumerate() {
            now += Duration::from_millis(work % 700);
            if op < 2 {
                let partner = &partners[who % 3];
                let account = id::Account::from(format!("{}-{}", partner, who / 3).as_str());
                queue.push(now, (partner, &account), Lane::ALL[lane], work, i as u64);
                waiting.insert(i as u64);
            } else if op == 2 {
                let lanes = Lanes::ALL.without(Lane::ALL[lane]);
                if let Some((ticket, got)) = queue.peek(now, lanes) {
                    prop_assert!(lanes.contains(got));
                    prop_assert!(queue.grant(ticket));
                    prop_assert!(waiting.remove(&ticket));
                }
            } else if let Some(&ticket) = waiting.first() {
                prop_assert!(queue.remove(ticket));
                waiting.remove(&ticket);
            }
            prop_assert_eq!(queue.len(), waiting.len());
        }
        while let Some((ticket, _)) = queue.peek(now, Lanes::ALL) {
            prop_assert!(queue.grant(ticket) && !queue.grant(ticket));
            prop_assert!(waiting.remove(&ticket));
        }
        prop_assert!(waiting.is_empty());
    }

    /// The work of backlogged partners with short requests of any size differs from their shares by
    /// no more than the largest requests.
    #[test]
    fn share_error_is_bounded(
        shares in prop::collection::vec(1u64..20, 2..6),
        sizes in prop::collection::vec(100u64..30_000, 6),
    ) {
        const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
        let named: Vec<_> = shares.iter().zip(NAMES).map(|(&s, n)| (n, s as f64)).collect();
        let mut fixture = Fixture::open(&named);
        for (i, &(name, _)) in named.iter().enumerate() {
            fixture.push(name, SHORT, sizes[i]);
        }
        let total = 10_000_000;
        while fixture.granted_work.values().sum::<u64>() < total {
            fixture.serve_next();
        }
        let sum: f64 = named.iter().map(|&(_, s)| s).sum();
        for (name, share) in named {
            let error = (fixture.work_fraction(name) - share / sum).abs();
            prop_assert!(error < 0.02, "{}: {} off", name, error);
        }
    }
}
