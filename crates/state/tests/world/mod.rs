//! A simulation of a few nodes, with their assigners and leases, and the key-value
//! service in steps of 100 ms. Each step checks the invariant of ownership: the nodes
//! together never grant more than a target's capacity.

#![allow(dead_code, reason = "each test uses a part")]

use hickory_standin::store::Core;
use hickory_state::assign::{Assigner, Options};
use hickory_state::lease::{Call, Registration, Reply};
use hickory_state::member::{Info, Nodes, View};
use hickory_state::owner::{Allowance, KEY};
use hickory_state::plan::Plan;
use hickory_state::table::Document;
use hickory_store::store::{Entry, Error, Expect, Revision, Write};
use hickory_unit::id::{self, Incarnation};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const STEP: Duration = Duration::from_millis(100);
const PERMIT: Duration = Duration::from_secs(1);
const TTL: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    Answer,
    Call,
    /// The write takes effect only at [`World::deliver_late_write`].
    Late,
}

pub struct Node {
    pub assigner: Assigner,
    registration: Registration,
    pub is_alive: bool,
    pub is_paused: bool,
    /// Whether the node reaches the service.
    pub has_service: bool,
    /// Nodes reach those of the same group.
    pub group: u32,
    /// Whether the node fails to read the document, although it renews its lease.
    pub is_document_hidden: bool,
    /// Whether new connections to the node fail, although it is running.
    pub refuses_connections: bool,
    pub loss: Option<Loss>,
    contact_since: Option<Instant>,
    nodes: Arc<Nodes>,
    /// The revision of the service when the node last read it.
    read_at: Option<Revision>,
}

pub struct World {
    pub now: Instant,
    pub core: Core,
    pub is_service_up: bool,
    pub nodes: BTreeMap<String, Node>,
    pub late_writes: Vec<Write>,
    pub targets: Vec<id::Target>,
    /// Recent grants by target and node: when, and which share of the capacity.
    grants: BTreeMap<(id::Target, String), Vec<(Instant, f64)>>,
    pub remembered: Option<Entry>,
    epoch: id::Epoch,
    incarnations: u64,
    steps: u64,
}

impl World {
    pub fn new() -> Self {
        Self {
            now: Instant::now(),
            core: Core::default(),
            is_service_up: true,
            nodes: BTreeMap::new(),
            late_writes: Vec::new(),
            targets: Vec::new(),
            grants: BTreeMap::new(),
            remembered: None,
            epoch: id::Epoch(0),
            incarnations: 0,
            steps: 0,
        }
    }

    /// Starts a process of the node, in place of a running one.
    pub fn start(&mut self, name: &str) {
        self.incarnations += 1;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let info = Info {
            node: name.into(),
            zone: "z".into(),
            callers: address,
            peers: address,
            admin: address,
            incarnation: Incarnation(self.incarnations),
            draining: false,
        };
        let node = Node {
            assigner: Assigner::new(info.clone(), Options::new(PERMIT, TTL)),
            registration: Registration::new(info, TTL, self.incarnations),
            is_alive: true,
            is_paused: false,
            has_service: true,
            group: 0,
            is_document_hidden: false,
            refuses_connections: false,
            loss: None,
            contact_since: None,
            nodes: Arc::default(),
            read_at: None,
        };
        self.nodes.insert(name.into(), node);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        self.core.expire(self.now);
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in &names {
            if self.nodes[name].is_alive && !self.nodes[name].is_paused {
                // Grants come first: a process that was paused does not know yet what
                // happened meanwhile.
                self.grant(name);
                self.call_service(name);
                if self.steps.is_multiple_of(5) {
                    self.exchange_with_peers(name);
                }
                self.run_plan(name);
            }
        }
        self.check();
    }

    /// Passes the state of the membership to the assigner.
    fn refresh_membership(&mut self, name: &str) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(name) {
            let view = View {
                nodes: node.nodes.clone(),
                is_lease_valid: node.registration.is_valid(now),
                registered_at: node.registration.registered_at(),
                contact_since: node.contact_since,
                draining: node.registration.info().draining,
            };
            node.assigner.update_membership(now, view);
        }
    }

    fn grant(&mut self, name: &str) {
        self.refresh_membership(name);
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        for owned in node.assigner.owned(now) {
            let share = match owned.allowance {
                Allowance::WaitUntil(_) => continue,
                Allowance::Half => 0.5,
                Allowance::Full => 1.0,
            };
            let grants = self.grants.entry((owned.target, name.to_owned())).or_default();
            grants.push((now, share));
        }
    }

    fn call_service(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if !(self.is_service_up && node.has_service) {
            node.contact_since = None;
            return;
        }
        node.contact_since.get_or_insert(now);
        while let Some(call) = node.registration.next_call(now) {
            let reply = match call {
                Call::Grant(ttl) => Reply::Granted(Ok(self.core.grant(now, ttl))),
                Call::Register(write) => Reply::Registered(self.core.write(now, write)),
                Call::Renew(lease) => Reply::Renewed(self.core.renew(now, lease)),
            };
            node.registration.on_reply(now, now, reply);
        }
        if node.is_document_hidden {
            return;
        }
        node.assigner.set_targets(now, &self.targets);
        if node.read_at.replace(self.core.revision()) == Some(self.core.revision()) {
            node.assigner.confirm_document(now);
            return;
        }
        let entries = self.core.list(now, "nodes/").0;
        let infos = entries.iter().filter_map(|entry| {
            let info: Info = serde_json::from_str(&entry.value).ok()?;
            if info.node == node.registration.info().node {
                node.registration.observe(info.incarnation, entry.revision);
            }
            Some((info.node.clone(), info))
        });
        let nodes: Nodes = infos.collect();
        if nodes != *node.nodes {
            node.nodes = Arc::new(nodes);
        }
        node.assigner.on_read(now, now, self.core.get(now, KEY).as_ref());
    }

    fn reaches(&self, from: &str, to: &str) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        to.is_alive && !to.is_paused && from.group == to.group
    }

    /// Each node sends the revision that it knows to all nodes that it reaches, and they
    /// fetch the document if it is newer.
    fn exchange_with_peers(&mut self, name: &str) {
        let revision = self.nodes[name].assigner.revision();
        let peers: Vec<String> = self.nodes.keys().cloned().collect();
        for peer in peers.iter().filter(|peer| *peer != name) {
            if self.reaches(name, peer)
                && let Some(node) = self.nodes.get_mut(peer)
            {
                node.assigner.record_peer_revision(self.now, &name.into(), revision);
                if node.assigner.revision() < revision {
                    let document = self.nodes[name].assigner.document().clone();
                    if let Some(node) = self.nodes.get_mut(peer) {
                        node.assigner.apply_if_newer(self.now, revision, document);
                    }
                }
            }
        }
    }

    fn run_plan(&mut self, name: &str) {
        self.refresh_membership(name);
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let Plan { probes, write } = node.assigner.plan(now);
        for info in probes {
            let is_alive = self.nodes.contains_key(info.node.as_str())
                && self.reaches(name, info.node.as_str())
                && !self.nodes[info.node.as_str()].refuses_connections;
            if let Some(node) = self.nodes.get_mut(name) {
                node.assigner.on_probe_result(now, &info, is_alive);
            }
        }
        if let Some((write, document)) = write {
            let result = self.write(name, write);
            if let Some(node) = self.nodes.get_mut(name) {
                node.assigner.on_write_result(now, now, result, document);
            }
        }
    }

    fn write(&mut self, name: &str, write: Write) -> Result<Revision, Error> {
        let unknown = Err(Error::Unknown("lost".into()));
        let Some(node) = self.nodes.get_mut(name) else {
            return unknown;
        };
        let is_reachable = self.is_service_up && node.has_service;
        match node.loss.take() {
            _ if !is_reachable => Err(Error::NotDone("down".into())),
            None => self.core.write(self.now, write),
            Some(Loss::Answer) => self.core.write(self.now, write).and(unknown),
            Some(Loss::Call) => unknown,
            Some(Loss::Late) => {
                self.late_writes.push(write);
                unknown
            }
        }
    }

    /// Delivers a late write; returns whether it took effect.
    pub fn deliver_late_write(&mut self) -> bool {
        let write = self.late_writes.pop();
        write.is_some_and(|write| self.core.write(self.now, write).is_ok())
    }

    /// Stops a node as planned: it registers as draining and hands its targets over.
    pub fn drain(&mut self, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.registration.set_draining();
            node.assigner.release();
        }
    }

    /// The service loses all registrations and leases at once.
    pub fn expire_all_leases(&mut self) {
        for entry in self.core.list(self.now, "nodes/").0 {
            let write = Write { key: entry.key, value: None, expect: Expect::Any, lease: None };
            let _ = self.core.write(self.now, write);
        }
    }

    /// Checks the invariant. Permits live for one second, so each node counts with its
    /// largest grant of the last second.
    fn check(&mut self) {
        let epoch = self.document().epoch;
        assert!(self.epoch <= epoch, "the epoch decreased from {} to {epoch}", self.epoch);
        self.epoch = epoch;
        let (now, mut sums) = (self.now, BTreeMap::<&id::Target, f64>::new());
        for ((target, _), grants) in &mut self.grants {
            grants.retain(|(at, _)| now < *at + PERMIT);
            let max_share = grants.iter().fold(0.0, |max: f64, (_, share)| max.max(*share));
            *sums.entry(target).or_default() += max_share;
        }
        let worst = sums.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        let worst = worst.map(|(target, sum)| (target.clone(), sum));
        if let Some((target, sum)) = worst.filter(|(_, sum)| *sum > 1.0) {
            panic!("{target} is granted {sum} times its capacity:\n{}", self.show());
        }
    }

    pub fn document(&mut self) -> Document {
        let entry = self.core.get(self.now, KEY);
        entry.and_then(|e| serde_json::from_str(&e.value).ok()).unwrap_or_default()
    }

    /// Returns the number of targets that running nodes own with the full allowance.
    pub fn count_full(&mut self) -> usize {
        let now = self.now;
        let running = self.nodes.values_mut().filter(|node| node.is_alive && !node.is_paused);
        let owned = running.flat_map(|node| node.assigner.owned(now));
        owned.filter(|owned| owned.allowance == Allowance::Full).count()
    }

    /// Returns what was granted in the last step.
    pub fn last_grants(&self) -> String {
        let now = self.now;
        let last = |grants: &Vec<(Instant, f64)>| grants.last().is_some_and(|(at, _)| *at == now);
        let lines = self.grants.iter().filter(|(_, grants)| last(grants));
        lines.map(|((target, name), _)| format!("{name} {target}")).collect::<Vec<_>>().join(", ")
    }

    /// Returns each node's targets with their allowances.
    pub fn show(&mut self) -> String {
        let now = self.now;
        let mut lines = Vec::new();
        for (name, node) in &mut self.nodes {
            if !node.is_alive || node.is_paused {
                lines.push(format!("{name} {}", if node.is_alive { "paused" } else { "dead" }));
                continue;
            }
            let owned = node.assigner.owned(now).into_iter().map(|owned| {
                let allowance = match owned.allowance {
                    Allowance::WaitUntil(_) => "wait",
                    Allowance::Half => "half",
                    Allowance::Full => "full",
                };
                format!("{}@{} {allowance}", owned.target, owned.epoch)
            });
            lines.push(format!("{name} [{}]", owned.collect::<Vec<_>>().join(", ")));
        }
        lines.join("\n")
    }
}
