//! Scripted failures of ownership, on its pure state machine.

use goldenscript::Context;
use hickory_state::owner::KEY;
use std::fmt::Write as _;
use std::time::Duration;
use world::{Loss, World};

mod world;

#[derive(goldenscript::Command)]
enum Command {
    Targets(Vec<String>),
    /// Starts or restarts nodes.
    Start(Vec<String>),
    Run(f64),
    Kill(Vec<String>),
    Pause(Vec<String>),
    Resume(Vec<String>),
    /// Nodes lose the service only.
    CutService(Vec<String>),
    /// Nodes lose the service and the other nodes, but reach each other.
    Partition(Vec<String>),
    /// The same, as a second group.
    PartitionSecond(Vec<String>),
    /// Nodes lose the other nodes and no longer read the document, but renew their
    /// leases.
    HideDocument(Vec<String>),
    /// New connections to the nodes fail, although they are running.
    RefuseConnections(Vec<String>),
    Heal(Vec<String>),
    /// Saves the document for stale reads.
    Remember,
    /// The nodes read the saved document.
    ReadStale(Vec<String>),
    /// Shows what was granted in the last step.
    LastGrants,
    /// The service goes down.
    Down,
    Up,
    /// All leases expire at once.
    ExpireLeases,
    Drain(Vec<String>),
    /// The node's next write fails in the given way.
    Lose {
        node: String,
        what: String,
    },
    /// Runs until a write is held back.
    RunUntilLate,
    DeliverLate,
    Show,
}

struct Runner(World);

impl Runner {
    fn each(&mut self, names: &[String], change: impl Fn(&mut world::Node)) {
        for name in names {
            self.0.nodes.get_mut(name).into_iter().for_each(&change);
        }
    }
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _: &Context,
    ) -> Result<String, Box<dyn std::error::Error>> {
        let mut output = String::new();
        match command {
            Command::Targets(names) => {
                self.0.targets = names.iter().map(|name| name.as_str().into()).collect();
            }
            Command::Start(names) => names.iter().for_each(|name| self.0.start(name)),
            Command::Run(seconds) => self.0.run(Duration::from_secs_f64(*seconds)),
            Command::Kill(names) => self.each(names, |node| node.is_alive = false),
            Command::Pause(names) => self.each(names, |node| node.is_paused = true),
            Command::Resume(names) => self.each(names, |node| node.is_paused = false),
            Command::CutService(names) => self.each(names, |node| node.has_service = false),
            Command::Partition(names) => self.each(names, |node| {
                node.has_service = false;
                node.group = 1;
            }),
            Command::PartitionSecond(names) => self.each(names, |node| {
                node.has_service = false;
                node.group = 2;
            }),
            Command::HideDocument(names) => self.each(names, |node| {
                node.is_document_hidden = true;
                node.group = 1;
            }),
            Command::RefuseConnections(names) => {
                self.each(names, |node| node.refuses_connections = true)
            }
            Command::Remember => self.0.remembered = self.0.core.get(self.0.now, KEY),
            Command::ReadStale(names) => {
                let (now, entry) = (self.0.now, self.0.remembered.clone());
                self.each(names, |node| {
                    node.assigner.on_read(now, now, entry.as_ref());
                });
            }
            Command::LastGrants => writeln!(output, "{}", self.0.last_grants())?,
            Command::Heal(names) => self.each(names, |node| {
                node.has_service = true;
                node.refuses_connections = false;
                node.is_document_hidden = false;
                node.group = 0;
            }),
            Command::Down => self.0.is_service_up = false,
            Command::Up => self.0.is_service_up = true,
            Command::ExpireLeases => self.0.expire_all_leases(),
            Command::Drain(names) => names.iter().for_each(|name| self.0.drain(name)),
            Command::Lose { node, what } => {
                let loss = match what.as_str() {
                    "answer" => Loss::Answer,
                    "call" => Loss::Call,
                    "late" => Loss::Late,
                    other => return Err(format!("unknown loss {other}").into()),
                };
                self.each(std::slice::from_ref(node), |node| node.loss = Some(loss));
            }
            Command::RunUntilLate => {
                for _ in 0..300 {
                    if self.0.late_writes.is_empty() {
                        self.0.step();
                    }
                }
            }
            Command::DeliverLate => {
                writeln!(output, "took effect: {}", self.0.deliver_late_write())?
            }
            Command::Show => writeln!(output, "{}", self.0.show())?,
        }
        Ok(output)
    }
}

fn run(script: &str) {
    goldenscript::run(&mut Runner(World::new()), format!("tests/scripts/owner/{script}")).unwrap();
}

#[test]
fn killed() {
    run("killed");
}

#[test]
fn paused() {
    run("paused");
}

#[test]
fn cut_off() {
    run("cut_off");
}

#[test]
fn partitioned() {
    run("partitioned");
}

#[test]
fn platform_down() {
    run("platform_down");
}

#[test]
fn late_takeover() {
    run("late_takeover");
}

#[test]
fn late_takeover_unseen() {
    run("late_takeover_unseen");
}

#[test]
fn late_registration() {
    run("late_registration");
}

#[test]
fn two_possible_grantors() {
    run("two_possible_grantors");
}

#[test]
fn stale_read() {
    run("stale_read");
}

#[test]
fn join() {
    run("join");
}

#[test]
fn planned_stop() {
    run("planned_stop");
}

#[test]
fn lost_answers() {
    run("lost_answers");
}

#[test]
fn restart() {
    run("restart");
}
