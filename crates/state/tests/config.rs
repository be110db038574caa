//! Scripted failures of the configuration, on its pure state machine, and a seeded random
//! walk over two operators at two nodes.
//!
//! The prefix of a command is the node. `call` makes the next call of its acceptance:
//! with `lost=answer` it takes effect but gets no reply, with `lost=call` it never
//! arrives, with `lost=late` it arrives only at `deliver_late`, with `lost=stale` it reads the
//! entry saved by `remember`, with `lost=down` the service refuses it.

use goldenscript::Context;
use hickory_release::configuration::Configuration;
use hickory_release::note::Note;
use hickory_standin::store::Core;
use hickory_state::config::{KEY, Rejection};
use hickory_state::head::{Acceptance, AcceptanceResult, Call, Reply, supersedes};
use hickory_store::store::{Entry, Error, Write};
use hickory_unit::id;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(goldenscript::Command)]
enum Command {
    /// Starts to accept a note against a version.
    Accept {
        operation: String,
        against: u64,
    },
    /// Makes the next call of the acceptance.
    Call {
        #[arg(key)]
        lost: Option<String>,
    },
    /// A late write arrives; it takes effect if its condition still holds.
    DeliverLate,
    /// Saves the head key for stale reads.
    Remember,
    /// The node reads the head key, as its watch would.
    Read {
        #[arg(key, optional)]
        stale: bool,
    },
    /// The node gets the configuration of a peer.
    Peer(String),
    /// The node restarts without any state.
    Restart,
    Advance(u64),
    Show,
}

#[derive(Default)]
struct Node {
    current: Option<Arc<Configuration>>,
    acceptance: Option<Acceptance>,
}

struct World {
    now: Instant,
    service: Core,
    nodes: BTreeMap<String, Node>,
    late_writes: Vec<Write>,
    remembered: Option<Entry>,
}

type Output = Result<String, Box<dyn std::error::Error>>;

fn apply_entry(current: &mut Option<Arc<Configuration>>, entry: Option<&Entry>) {
    let read = entry.and_then(|entry| serde_json::from_str::<Configuration>(&entry.value).ok());
    if let Some(next) = read
        && supersedes(&next, current.as_deref())
    {
        *current = Some(Arc::new(next));
    }
}

impl World {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            service: Core::default(),
            nodes: BTreeMap::new(),
            late_writes: Vec::new(),
            remembered: None,
        }
    }

    fn accept(&mut self, name: &str, operation: &str, against: u64) {
        let node = self.nodes.entry(name.into()).or_default();
        let against = id::Release(against);
        let note = Note { against, operation: operation.into(), ..Note::default() };
        node.acceptance = Some(Acceptance::new(self.now, note, node.current.clone(), 1));
    }

    /// Makes a call; returns its name and the result of the acceptance.
    fn call(&mut self, name: &str, lost: &str) -> Option<(&'static str, Option<AcceptanceResult>)> {
        let node = self.nodes.get_mut(name)?;
        let acceptance = node.acceptance.as_mut()?;
        let unknown = || Error::Unknown("lost".into());
        let (text, reply) = match (acceptance.next_call(), lost) {
            (Call::Get, "stale") => ("stale get", Reply::Got(Ok(self.remembered.clone()))),
            (Call::Get, "" | "answer" | "late") => {
                ("get", Reply::Got(Ok(self.service.get(self.now, KEY))))
            }
            (Call::Get, _) => ("lost get", Reply::Got(Err(unknown()))),
            (Call::Write(write), "answer") => {
                let result = self.service.write(self.now, write);
                ("unanswered write", Reply::Wrote(result.and(Err(unknown()))))
            }
            (Call::Write(write), "late") => {
                self.late_writes.push(write);
                ("late write", Reply::Wrote(Err(unknown())))
            }
            (Call::Write(_), "call") => ("lost write", Reply::Wrote(Err(unknown()))),
            (Call::Write(_), "down") => {
                ("refused write", Reply::Wrote(Err(Error::NotDone("down".into()))))
            }
            (Call::Write(write), _) => ("write", Reply::Wrote(self.service.write(self.now, write))),
        };
        let end = acceptance.on_reply(self.now, reply);
        if let Some(end) = &end {
            node.acceptance = None;
            if let Ok(next) = end
                && supersedes(next, node.current.as_deref())
            {
                node.current = Some(next.clone());
            }
        }
        Some((text, end))
    }
}

impl goldenscript::Runner for World {
    type Command = Command;

    fn run(&mut self, command: &Command, context: &Context) -> Output {
        let name = context.prefix.clone().unwrap_or_default();
        let mut output = String::new();
        match command {
            Command::Accept { operation, against } => self.accept(&name, operation, *against),
            Command::Call { lost } => {
                let (text, end) =
                    self.call(&name, lost.as_deref().unwrap_or("")).ok_or("no call")?;
                match end {
                    None => writeln!(output, "{text}")?,
                    Some(Ok(next)) => writeln!(output, "{text}: accepted as {}", next.version)?,
                    Some(Err(rejection)) => writeln!(output, "{text}: {rejection}")?,
                }
            }
            Command::DeliverLate => {
                let write = self.late_writes.pop().ok_or("no late write")?;
                let took_effect = self.service.write(self.now, write).is_ok();
                writeln!(output, "took effect: {took_effect}")?;
            }
            Command::Remember => self.remembered = self.service.get(self.now, KEY),
            Command::Read { stale } => {
                let fresh = self.service.get(self.now, KEY);
                let entry = if *stale { self.remembered.clone() } else { fresh };
                apply_entry(&mut self.nodes.entry(name).or_default().current, entry.as_ref());
            }
            Command::Peer(peer) => {
                let peer_current = self.nodes.get(peer).and_then(|node| node.current.clone());
                let node = self.nodes.entry(name).or_default();
                if let Some(peer_current) = peer_current
                    && supersedes(&peer_current, node.current.as_deref())
                {
                    node.current = Some(peer_current);
                }
            }
            Command::Restart => drop(self.nodes.remove(&name)),
            Command::Advance(seconds) => self.now += Duration::from_secs(*seconds),
            Command::Show => {
                let node = self.nodes.get(&name).and_then(|node| node.current.as_ref());
                let text = node.map_or("not ready".into(), |current| {
                    format!("version {} {:?}", current.version, current.operations)
                });
                writeln!(output, "{text}")?;
            }
        }
        Ok(output)
    }
}

fn run(script: &str) {
    let path = format!("tests/scripts/config/{script}");
    goldenscript::run(&mut World::new(), path).unwrap();
}

#[test]
fn lost_answer() {
    run("lost_answer");
}

#[test]
fn racing_operators() {
    run("racing_operators");
}

#[test]
fn stale_read() {
    run("stale_read");
}

#[test]
fn service_down() {
    run("service_down");
}

/// Two operators send notes through two nodes, with lost, late and stale calls at random.
/// Guards against a configuration that reverts: each version has a single content, no
/// node's version decreases, an accepted note is in force, and a rejected one never is.
#[test]
fn never_reverts() {
    let mut accepted = 0;
    for seed in 0..5_000 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut world = World::new();
        let mut seen: BTreeMap<u64, Vec<String>> = BTreeMap::new();
        let mut ends: Vec<(String, bool)> = Vec::new();
        let mut requested: BTreeMap<&str, String> = BTreeMap::new();
        for step in 0..60 {
            let name = ["a", "b"][random.random_range(0..2)];
            let before = version(&world, name);
            match random.random_range(0..10) {
                0 if !world.late_writes.is_empty() => {
                    let write = world.late_writes.remove(0);
                    let _ = world.service.write(world.now, write);
                }
                1 => world.remembered = world.service.get(world.now, KEY),
                2 => {
                    let stale = random.random_bool(0.3);
                    let fresh = world.service.get(world.now, KEY);
                    let entry = if stale { world.remembered.clone() } else { fresh };
                    apply_entry(
                        &mut world.nodes.entry(name.into()).or_default().current,
                        entry.as_ref(),
                    );
                }
                3 => world.now += Duration::from_millis(random.random_range(0..3_000)),
                _ => {
                    let is_idle = world.nodes.get(name).is_none_or(|n| n.acceptance.is_none());
                    if is_idle {
                        requested.insert(name, format!("op{step}"));
                        world.accept(name, &format!("op{step}"), before);
                    }
                    let losses = ["", "", "", "", "answer", "call", "late", "stale", "down"];
                    let lost = losses[random.random_range(0..losses.len())];
                    match world.call(name, lost) {
                        Some((_, Some(Ok(_)))) => ends.push((requested[name].clone(), true)),
                        Some((_, Some(Err(Rejection::Unknown(_)))) | (_, None)) | None => {}
                        Some((_, Some(Err(_)))) => ends.push((requested[name].clone(), false)),
                    }
                }
            }
            assert!(before <= version(&world, name), "seed {seed}: {name} reverted");
            let head = world.service.get(world.now, KEY);
            let head = head.and_then(|e| serde_json::from_str::<Configuration>(&e.value).ok());
            let known = world.nodes.values().filter_map(|node| node.current.as_deref());
            for next in known.chain(head.as_ref()) {
                let first = seen.entry(next.version.0).or_insert_with(|| next.operations.clone());
                assert_eq!(*first, next.operations, "seed {seed}: two contents of one version");
            }
        }
        let head = world.service.get(world.now, KEY);
        let head = head.and_then(|e| serde_json::from_str::<Configuration>(&e.value).ok());
        let operations = head.unwrap_or_default().operations;
        for (operation, took_effect) in ends {
            assert_eq!(operations.contains(&operation), took_effect, "seed {seed}: {operation}");
            accepted += u32::from(took_effect);
        }
    }
    assert!(accepted > 5_000, "too few notes accepted: {accepted}");
}

fn version(world: &World, name: &str) -> u64 {
    let current = world.nodes.get(name).and_then(|node| node.current.as_ref());
    current.map_or(0, |current| current.version.0)
}
