//! A seeded random walk over two nodes, their calls to the service and one key. It covers
//! combinations that the scripts don't: pauses, lost and late calls, expired leases.

use hickory_standin::store::Core;
use hickory_state::claim::{Answer, Claim};
use hickory_state::group_commit::{Call, Completion, GroupCommit, Reply};
use hickory_state::page::{Options, Outcome, find_page};
use hickory_store::store::{Entry, Error, Write};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Number of seeds; each takes about 0.1 ms.
const SEEDS: u64 = 20_000;

const STEPS: usize = 80;

const MINUTE: u64 = 1_440;

/// The state of the caller's attempt at a node.
enum Attempt {
    /// The node has read its clock and accepted the key.
    Checked(Instant),
    Pending,
    Granted(Claim),
    Idle,
}

struct Node {
    group: GroupCommit,
    /// How far its wall clock is ahead, at most by `max_clock_skew`, so that the two nodes'
    /// clocks differ by no more than that.
    skew_ms: u64,
    attempt: Attempt,
    pending_reply: Option<Reply>,
}

struct Walk {
    random: SmallRng,
    now: Instant,
    wall_ms: u64,
    steps: &'static [u64],
    service: Core,
    late_writes: Vec<Write>,
    /// The result of the last read, for a stale read.
    last_read: Option<Entry>,
    nodes: Vec<Node>,
    runs: u32,
    claims: u128,
}

fn key() -> Uuid {
    Uuid::from_u128((u128::from(MINUTE * 60_000 + 59_000) << 80) | (7 << 76) | (2 << 62))
}

impl Walk {
    /// Creates a walk whose key has the given age, and whose clock advances by one of the
    /// steps, in milliseconds.
    fn new(seed: u64, age_ms: u64, steps: &'static [u64]) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let page = find_page(key(), MINUTE * 60_000 + 59_000, &Options::default()).unwrap();
        let nodes = (0..2).map(|_| Node {
            group: GroupCommit::new(page, Options::default(), random.random()),
            skew_ms: random.random_range(0..=5_000),
            attempt: Attempt::Idle,
            pending_reply: None,
        });
        Self {
            now: Instant::now(),
            wall_ms: MINUTE * 60_000 + 59_000 + age_ms,
            steps,
            service: Core::default(),
            late_writes: Vec::new(),
            last_read: None,
            nodes: nodes.collect(),
            runs: 0,
            claims: 0,
            random,
        }
    }

    fn step(&mut self) {
        let index = self.random.random_range(0..2);
        match self.random.random_range(0..12) {
            0 => {
                let step = self.steps[self.random.random_range(0..self.steps.len())];
                self.now += Duration::from_millis(step);
                self.wall_ms += step;
                self.service.expire(self.now);
            }
            1 if !self.late_writes.is_empty() => {
                let write = self
                    .late_writes
                    .swap_remove(self.random.random_range(0..self.late_writes.len()));
                let _ = self.service.write(self.now, write);
            }
            2..=4 => self.step_attempt(index),
            _ => self.step_call(index),
        }
        self.take_completions(index);
    }

    /// Advances the caller's attempt at a node by one step. Any time may pass before each
    /// step, as if the process was paused.
    fn step_attempt(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let wall_ms = self.wall_ms + node.skew_ms;
        node.attempt = match std::mem::replace(&mut node.attempt, Attempt::Idle) {
            Attempt::Idle => match find_page(key(), wall_ms, &Options::default()) {
                Ok(_) => Attempt::Checked(now),
                Err(_) => Attempt::Idle,
            },
            Attempt::Checked(at) => {
                self.claims += 1;
                let deadline = at + Duration::from_secs(self.random.random_range(1..60));
                node.group.claim(at, key(), 1, Uuid::from_u128(self.claims), deadline);
                Attempt::Pending
            }
            Attempt::Pending => Attempt::Pending,
            Attempt::Granted(claim) => {
                let has_run = self.random.random_bool(0.7) && claim.try_begin_send(now);
                if has_run {
                    self.runs += 1;
                }
                let answered = Outcome::Answered { status: 200, body: None };
                let outcome = if has_run { answered } else { Outcome::NotRun };
                if self.random.random_bool(0.7) {
                    node.group.settle(now, &claim, outcome);
                }
                // A second use of the claim must not run the request.
                self.runs += u32::from(claim.try_begin_send(now));
                Attempt::Idle
            }
        };
    }

    fn step_call(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(reply) = node.pending_reply.take() {
            node.group.on_reply(self.now, reply);
            return;
        }
        let wall_ms = self.wall_ms + node.skew_ms;
        let Some(call) = node.group.next_call(self.now, wall_ms) else {
            return;
        };
        let unknown = Err(Error::Unknown("lost".into()));
        node.pending_reply = Some(match call {
            Call::Get => {
                let fresh = self.service.get(self.now, &format!("ledger/0/{MINUTE}"));
                let stale = std::mem::replace(&mut self.last_read, fresh.clone());
                Reply::Got(Ok(if self.random.random_bool(0.2) { stale } else { fresh }))
            }
            Call::Grant(ttl) => Reply::Granted(Ok(self.service.grant(self.now, ttl))),
            Call::Write(write) => Reply::Wrote(match self.random.random_range(0..6) {
                0 => self.service.write(self.now, write).and(unknown),
                1 => unknown,
                2 => {
                    self.late_writes.push(write);
                    unknown
                }
                3 => Err(Error::NotDone("down".into())),
                _ => self.service.write(self.now, write),
            }),
        });
    }

    fn take_completions(&mut self, index: usize) {
        for (_, end) in self.nodes[index].group.take_completions() {
            let Completion::Claimed(answer) = end else {
                continue;
            };
            self.nodes[index].attempt = match answer {
                Answer::Granted(claim) => Attempt::Granted(claim),
                Answer::NotDone(_) => {
                    assert_eq!(self.runs, 0, "a request that ran was answered as not run");
                    Attempt::Idle
                }
                _ => Attempt::Idle,
            };
        }
    }
}

/// Walks all seeds; returns how many requests ran.
fn walk_all(age_ms: u64, steps: &'static [u64]) -> u64 {
    let mut ran = 0;
    for seed in 0..SEEDS {
        let mut walk = Walk::new(seed, age_ms, steps);
        for step in 0..STEPS {
            walk.step();
            assert!(walk.runs <= 1, "seed {seed} ran twice by step {step}");
        }
        ran += u64::from(walk.runs);
    }
    ran
}

#[test]
fn at_most_once() {
    let ran = walk_all(0, &[10, 10, 100, 100, 300, 300, 5_000, 21_000, 300_000, 600_000]);
    assert!(ran > SEEDS / 4, "too few requests ran: {ran}");
}

/// Guards against a second run near the end of a key's retention, when the page is about
/// to be removed: a node that still accepts the key must still find the page.
#[test]
fn at_most_once_at_key_expiry() {
    let ran = walk_all(570_000, &[10, 300, 5_000, 5_000, 10_000, 20_000]);
    assert!(ran > SEEDS / 4, "too few requests ran: {ran}");
}
