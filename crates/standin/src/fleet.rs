//! A small fleet in one process: the platform's services, engines and replicas.

use crate::control::Switchboard;
use crate::{engine, hosts, service, store, weights};
use hickory_store::host::{Host, Kind, Standing};
use hickory_store::http::Address;
use hickory_store::weight::Limit;
use hickory_unit::{id, size};
use std::net::{Ipv4Addr, SocketAddr};

/// The size of the fleet and the behaviour of its members.
#[derive(Clone, Debug)]
pub struct Options {
    /// IP address on which all stand-ins listen; each uses a free port.
    pub listen: std::net::IpAddr,
    /// Zones; targets are assigned to them in round-robin order.
    pub zones: Vec<id::Zone>,
    /// Number of engines.
    pub engines: usize,
    /// Behaviour of each engine.
    pub engine: engine::Options,
    /// Number of replicas of the plain service.
    pub replicas: usize,
    /// The name of the plain service.
    pub service: id::Service,
    /// Behaviour of each replica.
    pub replica: service::Options,
    /// The limit of the weight store.
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

/// The running fleet; stops when dropped.
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
    /// Starts all stand-ins.
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

    /// Returns the name and address of each stand-in.
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

    /// Creates a switchboard with the faults of all stand-ins, by name.
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

    /// Returns the addresses of the platform's services.
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
