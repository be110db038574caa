//! A whole small platform within one process.

use crate::control::Switchboard;
use crate::{engine, hosts, service, store, weights};
use hickory_store::host::{Host, Kind, Standing};
use hickory_store::http::Address;
use hickory_store::weight::Limit;
use hickory_unit::{id, size};
use std::net::{Ipv4Addr, SocketAddr};

/// What to start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where everything listens; each part takes a free port.
    pub listen: std::net::IpAddr,
    /// Zones; targets are spread over them in turn.
    pub zones: Vec<id::Zone>,
    /// Engines.
    pub engines: usize,
    /// How each engine behaves.
    pub engine: engine::Options,
    /// Replicas of the plain service.
    pub replicas: usize,
    /// The name of the plain service.
    pub service: id::Service,
    /// How each replica behaves.
    pub replica: service::Options,
    /// What the weight store bears.
    pub weights: Limit,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: Ipv4Addr::LOCALHOST.into(),
            zones: ["a", "b", "c"].map(id::Zone::from).into(),
            engines: 3,
            engine: engine::Options::default(),
            replicas: 2,
            service: id::Service::from("orders"),
            replica: service::Options::default(),
            weights: Limit { loads: 2, bytes_per_second: size::Bytes(4_000_000_000) },
        }
    }
}

/// The running platform; stops when dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The key-value service.
    pub store: store::Handle,
    /// The host list.
    pub hosts: hosts::Handle,
    /// The weight store.
    pub weights: weights::Handle,
    /// The engines: `engine-0`, `engine-1` and so on.
    pub engines: Vec<engine::Handle>,
    /// The replicas: `orders-0`, `orders-1` and so on.
    pub replicas: Vec<service::Handle>,
    service: id::Service,
}

impl Fleet {
    /// Starts all parts.
    pub fn spawn(options: Options) -> std::io::Result<Self> {
        let any = SocketAddr::new(options.listen, 0);
        let weights = weights::spawn(any, options.weights)?;
        let engine = engine::Options {
            weights: Some(options.engine.weights.unwrap_or(weights.address())),
            ..options.engine.clone()
        };
        let engines: Vec<_> = (0..options.engines)
            .map(|_| engine::spawn(any, engine.clone()))
            .collect::<Result<_, _>>()?;
        let replicas: Vec<_> = (0..options.replicas)
            .map(|_| service::spawn(any, options.replica.clone()))
            .collect::<Result<_, _>>()?;
        let listed = list_hosts(&options, &engines, &replicas);
        let hosts = hosts::spawn(any, listed)?;
        let (store, service) = (store::spawn(any)?, options.service);
        Ok(Self { store, hosts, weights, engines, replicas, service })
    }

    /// Where each part listens, by name.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let mut all = vec![
            ("store".to_owned(), self.store.address()),
            ("hosts".to_owned(), self.hosts.address()),
            ("weights".to_owned(), self.weights.address()),
        ];
        let targets = self.hosts.service().current().into_iter();
        all.extend(targets.map(|host| (host.target.to_string(), host.address)));
        all
    }

    /// A switchboard of the faults of all parts, by name.
    pub fn switchboard(&self) -> Switchboard {
        let mut switchboard = Switchboard::default();
        switchboard.add("store", &self.store);
        switchboard.add("hosts", &self.hosts);
        switchboard.add("weights", &self.weights);
        let engines = self.engines.iter().enumerate();
        engines.for_each(|(n, engine)| switchboard.add(&format!("engine-{n}"), engine));
        let replicas = self.replicas.iter().enumerate();
        replicas
            .for_each(|(n, replica)| switchboard.add(&format!("{}-{n}", self.service), replica));
        switchboard
    }

    /// Where the platform's services listen.
    pub fn platform(&self) -> Address {
        let (store, hosts) = (self.store.address(), self.hosts.address());
        Address { store, hosts, weights: self.weights.address() }
    }
}

fn list_hosts(
    options: &Options,
    engines: &[engine::Handle],
    replicas: &[service::Handle],
) -> Vec<Host> {
    let engines = engines.iter().map(server_address).enumerate();
    let replicas = replicas.iter().map(server_address).enumerate();
    let engines = engines.map(|(i, at)| (i, at, format!("engine-{i}"), Kind::Engine));
    let kind = Kind::Service(options.service.clone());
    let name = options.service.as_str();
    let replicas = replicas.map(|(i, at)| (i, at, format!("{name}-{i}"), kind.clone()));
    engines
        .chain(replicas)
        .map(|(i, address, target, kind)| Host {
            target: target.as_str().into(),
            address,
            zone: options.zones[i % options.zones.len()].clone(),
            kind,
            standing: Standing::Live,
        })
        .collect()
}

fn server_address<S>(handle: &crate::server::Handle<S>) -> SocketAddr {
    handle.address()
}
