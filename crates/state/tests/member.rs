//! Scripted failures of a node's lease, on its pure state machine.
//!
//! `call` makes the next call if one is due: with `lost=answer` it takes effect but gets
//! no reply, with `lost=call` it never arrives; `slow` seconds pass before the reply.
//! `run` makes calls for a number of seconds.

use goldenscript::Context;
use hickory_standin::store::Core;
use hickory_state::lease::{Call, Registration, Reply};
use hickory_state::member::Info;
use hickory_store::store::Error;
use hickory_unit::id::Incarnation;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

#[derive(goldenscript::Command)]
enum Command {
    /// Starts a process of node `a`; the prefix is the process.
    Start {
        #[arg(key)]
        incarnation: u64,
    },
    Call {
        #[arg(key)]
        lost: Option<String>,
        #[arg(key, optional)]
        slow: f64,
        /// The node begins to drain while the call is in flight.
        #[arg(key, optional)]
        drain: bool,
    },
    Run(u64),
    /// The process is paused while time passes.
    Pause(f64),
    FleetSize(usize),
    /// The process reads the registration under its name.
    Observe,
    Show,
}

struct Runner {
    now: Instant,
    service: Core,
    registrations: BTreeMap<String, Registration>,
    calls: u32,
}

impl Runner {
    fn call(&mut self, name: &str, lost: &str, slow: f64, drain: bool) -> Option<String> {
        let sent = self.now;
        let registration = self.registrations.get_mut(name)?;
        let call = registration.next_call(sent)?;
        self.calls += 1;
        let text = format!("{call:?}");
        let text = text.split(['(', ' ']).next().unwrap_or("").to_owned();
        let unknown = || Error::Unknown("lost".into());
        let is_delivered = lost != "call";
        let is_answered = lost.is_empty();
        let reply = match call {
            Call::Grant(ttl) => {
                let lease = self.service.grant(sent, ttl);
                Reply::Granted(if is_answered { Ok(lease) } else { Err(unknown()) })
            }
            Call::Register(write) => {
                let result =
                    if is_delivered { self.service.write(sent, write) } else { Err(unknown()) };
                Reply::Registered(if is_answered { result } else { Err(unknown()) })
            }
            Call::Renew(lease) => {
                let result =
                    if is_delivered { self.service.renew(sent, lease) } else { Err(unknown()) };
                Reply::Renewed(if is_answered { result } else { Err(unknown()) })
            }
        };
        self.now += Duration::from_secs_f64(slow);
        if drain {
            registration.set_draining();
        }
        registration.on_reply(self.now, sent, reply);
        Some(text)
    }
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        context: &Context,
    ) -> Result<String, Box<dyn std::error::Error>> {
        let name = context.prefix.clone().unwrap_or_default();
        let mut output = String::new();
        match command {
            Command::Start { incarnation } => {
                let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
                let info = Info {
                    node: "a".into(),
                    zone: "z".into(),
                    callers: address,
                    peers: address,
                    admin: address,
                    incarnation: Incarnation(*incarnation),
                    draining: false,
                };
                self.registrations.insert(name, Registration::new(info, Duration::from_secs(5), 1));
            }
            Command::Call { lost, slow, drain } => {
                let call = self.call(&name, lost.as_deref().unwrap_or(""), *slow, *drain);
                writeln!(output, "{}", call.as_deref().unwrap_or("nothing due"))?;
            }
            Command::Run(seconds) => {
                let end = self.now + Duration::from_secs(*seconds);
                let mut calls: BTreeMap<String, u32> = BTreeMap::new();
                while self.now < end {
                    match self.call(&name, "", 0.0, false) {
                        Some(call) => *calls.entry(call).or_default() += 1,
                        None => self.now += Duration::from_millis(10),
                    }
                }
                writeln!(output, "{calls:?}")?;
            }
            Command::Pause(seconds) => self.now += Duration::from_secs_f64(*seconds),
            Command::FleetSize(nodes) => {
                self.registrations.get_mut(&name).ok_or("no process")?.set_fleet_size(*nodes);
            }
            Command::Observe => {
                let entry = self.service.get(self.now, "nodes/a").ok_or("not registered")?;
                let info: Info = serde_json::from_str(&entry.value)?;
                let registration = self.registrations.get_mut(&name).ok_or("no process")?;
                registration.observe(info.incarnation, entry.revision);
            }
            Command::Show => {
                let registration = self.registrations.get(&name).ok_or("no process")?;
                let entry = self.service.get(self.now, "nodes/a");
                let info = entry.and_then(|e| serde_json::from_str::<Info>(&e.value).ok());
                let seen = info.map(|info| (info.incarnation.0, info.draining));
                let confirmed = registration.is_valid(self.now);
                write!(output, "confirmed {confirmed} replaced {} ", registration.is_replaced())?;
                writeln!(output, "registered {seen:?}")?;
            }
        }
        Ok(output)
    }
}

fn run(script: &str) {
    let registrations = BTreeMap::new();
    let mut runner =
        Runner { now: Instant::now(), service: Core::default(), registrations, calls: 0 };
    goldenscript::run(&mut runner, format!("tests/scripts/member/{script}")).unwrap();
}

#[test]
fn lease() {
    run("lease");
}

#[test]
fn paused() {
    run("paused");
}

#[test]
fn fleet() {
    run("fleet");
}
