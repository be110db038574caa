//! Scripted failures of the claim ledger, on its pure state machine.
//!
//! The prefix of a command is the node. `call` makes the node's next call: with
//! `lost=answer` it takes effect but gets no reply, with `lost=call` it never arrives,
//! with `lost=late` it arrives only at `deliver_late`, with `lost=down` the service refuses it.
//! `run` makes calls until there are none.

use goldenscript::Context;
use hickory_standin::store::Core;
use hickory_state::claim::{Answer, Claim};
use hickory_state::group_commit::{Call, Completion, GroupCommit, Reply};
use hickory_state::page::{Options, Outcome, find_page};
use hickory_store::store::{Error, Expect, Write};
use hickory_unit::clock::{Clock, Manual};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::{Duration, Instant};
use uuid::Uuid;

#[derive(goldenscript::Command)]
enum Command {
    /// Advances the clock by a number of seconds.
    Advance(f64),
    /// Begins a claim: the node reads its clock and checks the key's age.
    Check(String),
    /// Starts the claim of a checked key.
    Claim {
        key: String,
        #[arg(key, optional)]
        fingerprint: u64,
        #[arg(key)]
        within: Option<u64>,
    },
    Call {
        #[arg(key)]
        lost: Option<String>,
        /// Seconds that pass before the reply.
        #[arg(key, optional)]
        slow: u64,
    },
    Run,
    DeliverLate,
    /// The service loses all pages.
    Lose,
    Send(String),
    Settle {
        key: String,
        outcome: String,
    },
    Show,
}

#[derive(Default)]
struct Node {
    group: Option<GroupCommit>,
    checked: BTreeMap<String, Instant>,
    names: BTreeMap<u64, String>,
    claims: BTreeMap<String, Claim>,
}

struct Runner {
    clock: Manual,
    service: Core,
    nodes: BTreeMap<String, Node>,
    late_writes: Vec<Write>,
    runs: BTreeMap<String, u32>,
    claims: u128,
}

type Output = Result<String, Box<dyn std::error::Error>>;

/// Returns the key named `text`, with the time at the start of the script.
fn make_key(text: &str) -> Uuid {
    let digest = text.bytes().fold(7u128, |sum, byte| sum * 31 + u128::from(byte));
    let rest = (digest * 16) & ((1 << 60) - 1);
    Uuid::from_u128((86_400_000u128 << 80) | (7 << 76) | (2 << 62) | rest)
}

impl Runner {
    fn new() -> Self {
        Self {
            clock: Manual::start(),
            service: Core::default(),
            nodes: BTreeMap::new(),
            late_writes: Vec::new(),
            runs: BTreeMap::new(),
            claims: 0,
        }
    }

    /// Makes one call of the node; returns `None` if no call is due.
    fn call(&mut self, name: &str, lost: Option<&str>, slow: u64) -> Option<String> {
        let now = self.clock.now();
        let wall = self.clock.wall_ms();
        let group = self.nodes.get_mut(name)?.group.as_mut()?;
        let call = group.next_call(now, wall)?;
        let unknown = || Error::Unknown("lost".into());
        let (text, reply) = match (call, lost) {
            (Call::Get, None) => ("get", Reply::Got(Ok(self.service.get(now, "ledger/0/1440")))),
            (Call::Get, Some(_)) => ("get", Reply::Got(Err(unknown()))),
            (Call::Grant(ttl), _) => ("grant", Reply::Granted(Ok(self.service.grant(now, ttl)))),
            (Call::Write(write), lost) => {
                let reply = match lost {
                    None => self.service.write(now, write),
                    Some("answer") => self.service.write(now, write).and(Err(unknown())),
                    Some("late") => {
                        self.late_writes.push(write);
                        Err(unknown())
                    }
                    Some("down") => Err(Error::NotDone("down".into())),
                    Some(_) => Err(unknown()),
                };
                ("write", Reply::Wrote(reply))
            }
        };
        let result = match &reply {
            Reply::Got(Ok(None)) => "none".into(),
            Reply::Got(Ok(Some(entry))) => format!("revision {}", entry.revision),
            Reply::Granted(Ok(_)) => "ok".into(),
            Reply::Wrote(Ok(revision)) => format!("revision {revision}"),
            Reply::Got(Err(e)) | Reply::Granted(Err(e)) | Reply::Wrote(Err(e)) => e.to_string(),
        };
        self.clock.advance(Duration::from_secs(slow));
        group.on_reply(self.clock.now(), reply);
        Some(format!("{text}: {result}\n"))
    }

    /// Returns the operations of the node that have completed.
    fn take_completions(&mut self, name: &str) -> String {
        let Some(node) = self.nodes.get_mut(name) else {
            return String::new();
        };
        let Some(group) = node.group.as_mut() else {
            return String::new();
        };
        let mut output = String::new();
        for (ticket, end) in group.take_completions() {
            let key = &node.names[&ticket];
            let text = match end {
                Completion::Settled(result) => format!("settled {result:?}"),
                Completion::Claimed(Answer::Granted(claim)) => {
                    node.claims.insert(key.clone(), claim);
                    "granted".into()
                }
                Completion::Claimed(Answer::NotDone(_)) => {
                    let runs = self.runs.get(key).copied().unwrap_or_default();
                    format!("not run (true: {})", runs == 0)
                }
                Completion::Claimed(answer) => format!("{answer:?}"),
            };
            let _ = writeln!(output, "{key}: {text}");
        }
        output
    }

    fn run_command(&mut self, command: &Command, name: &str) -> Output {
        let now = self.clock.now();
        let wall = self.clock.wall_ms();
        let node = self.nodes.entry(name.into()).or_default();
        let mut output = String::new();
        match command {
            Command::Advance(seconds) => self.clock.advance(Duration::from_secs_f64(*seconds)),
            Command::Check(key) => match find_page(make_key(key), wall, &Options::default()) {
                Ok(page) => {
                    node.checked.insert(key.clone(), now);
                    node.group.get_or_insert_with(|| GroupCommit::new(page, Options::default(), 1));
                }
                Err(error) => writeln!(output, "{key}: {error}")?,
            },
            Command::Claim { key, fingerprint, within } => {
                if !node.checked.contains_key(key) {
                    output = self.run_command(&Command::Check(key.clone()), name)?;
                }
                let node = self.nodes.entry(name.into()).or_default();
                if let (Some(now), Some(group)) = (node.checked.remove(key), &mut node.group) {
                    self.claims += 1;
                    let id = Uuid::from_u128(self.claims);
                    let deadline = now + Duration::from_secs(within.unwrap_or(60));
                    let ticket = group.claim(now, make_key(key), *fingerprint, id, deadline);
                    node.names.insert(ticket, key.clone());
                }
            }
            Command::Call { lost, slow } => {
                output = self.call(name, lost.as_deref(), *slow).unwrap_or_default();
            }
            Command::Run => {
                for _ in 0..20 {
                    output += &self.call(name, None, 0).unwrap_or_default();
                    self.clock.advance(Duration::from_millis(100));
                }
            }
            Command::DeliverLate => {
                let write = self.late_writes.pop().ok_or("no late write")?;
                writeln!(output, "late write: {:?}", self.service.write(now, write).is_ok())?;
            }
            Command::Lose => {
                let key = "ledger/0/1440".into();
                let removal = Write { key, value: None, expect: Expect::Any, lease: None };
                self.service.write(now, removal)?;
            }
            Command::Send(key) => {
                if node.claims.get(key).is_some_and(|claim| claim.try_begin_send(now)) {
                    let runs = self.runs.entry(key.clone()).or_default();
                    *runs += 1;
                    writeln!(output, "{key}: sent, runs {runs}")?;
                } else {
                    writeln!(output, "{key}: must not send")?;
                }
            }
            Command::Settle { key, outcome } => {
                let claim = node.claims.get(key).ok_or("no claim")?.clone();
                let outcome = match outcome.as_str() {
                    "not_run" => Outcome::NotRun,
                    body => Outcome::Answered { status: 200, body: Some(body.into()) },
                };
                let ticket = node.group.as_mut().ok_or("no page")?.settle(now, &claim, outcome);
                node.names.insert(ticket, key.clone());
            }
            Command::Show => {
                for entry in self.service.list(now, "").0 {
                    writeln!(output, "{} at {}: {}", entry.key, entry.revision, entry.value)?;
                }
            }
        }
        Ok(output + &self.take_completions(name))
    }
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, context: &Context) -> Output {
        let name = context.prefix.clone().unwrap_or_default();
        self.run_command(command, &name)
    }
}

fn run(script: &str) {
    let path = format!("tests/scripts/claim/{script}");
    goldenscript::run(&mut Runner::new(), path).unwrap();
}

#[test]
fn lost_answer() {
    run("lost_answer");
}

#[test]
fn late_write() {
    run("late_write");
}

#[test]
fn frozen_claimant() {
    run("frozen_claimant");
}

#[test]
fn frozen_before_write() {
    run("frozen_before_write");
}

#[test]
fn not_run() {
    run("not_run");
}

#[test]
fn service_down() {
    run("service_down");
}

#[test]
fn old_key() {
    run("old_key");
}

#[test]
fn page_lost() {
    run("page_lost");
}

#[test]
fn batched_claims() {
    run("batched_claims");
}
