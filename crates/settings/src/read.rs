//! Reading of settings from JSON documents.
//!
//! A field that is missing or invalid gets a finding and is replaced by a default, so that the
//! other fields are checked as well. Settings with findings are never used.

use crate::node::{Level, Logs, Platform, Settings, Times};
use hickory_document::field::Fields;
use hickory_document::read::{self, Read, read_parsed};
use hickory_unit::finding::Finding;
use hickory_unit::id;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Replaces an address that is missing or invalid.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

impl Read for Settings {
    fn read(node: &read::Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let node_name = fields.required("node");
        let zone = fields.required("zone");
        let callers = fields.required("callers");
        let admin = fields.required("admin");
        let peers = fields.required("peers");
        let platform = fields.required("platform");
        let fleet_key = fields.required("fleet_key");
        let first_operator = fields.optional("first_operator");
        let times = fields.optional("times").unwrap_or_default();
        let logs = fields.optional("logs").unwrap_or_default();
        fields.close();
        Some(Self {
            node: node_name.unwrap_or_else(|| id::Node::from("")),
            zone: zone.unwrap_or_else(|| id::Zone::from("")),
            callers: callers.unwrap_or(PLACEHOLDER_ADDRESS),
            admin: admin.unwrap_or(PLACEHOLDER_ADDRESS),
            peers: peers.unwrap_or(PLACEHOLDER_ADDRESS),
            platform: platform.unwrap_or(Platform {
                store: PLACEHOLDER_ADDRESS,
                hosts: PLACEHOLDER_ADDRESS,
                weights: PLACEHOLDER_ADDRESS,
            }),
            fleet_key: fleet_key.unwrap_or_default(),
            first_operator,
            times,
            logs,
        })
    }
}

impl Read for Platform {
    fn read(node: &read::Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let store = fields.required("store");
        let hosts = fields.required("hosts");
        let weights = fields.required("weights");
        fields.close();
        Some(Self {
            store: store.unwrap_or(PLACEHOLDER_ADDRESS),
            hosts: hosts.unwrap_or(PLACEHOLDER_ADDRESS),
            weights: weights.unwrap_or(PLACEHOLDER_ADDRESS),
        })
    }
}

impl Read for Logs {
    fn read(node: &read::Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let level = fields.optional("level").unwrap_or_default();
        let file = fields.optional::<String>("file").map(PathBuf::from);
        fields.close();
        Some(Self { level, file })
    }
}

impl Read for Level {
    fn read(node: &read::Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        read_parsed(node, findings, "one of off, error, warn, info, debug, trace")
    }
}

impl Read for Times {
    fn read(node: &read::Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let default = Self::default();
        let mut fields = Fields::open(node, findings)?;
        let mut time = |name, default| fields.optional(name).unwrap_or(default);
        let times = Self {
            lease_ms: time("lease_ms", default.lease_ms),
            permit_ms: time("permit_ms", default.permit_ms),
            gossip_ms: time("gossip_ms", default.gossip_ms),
            report_ms: time("report_ms", default.report_ms),
            hosts_ms: time("hosts_ms", default.hosts_ms),
            entry_keep_ms: time("entry_keep_ms", default.entry_keep_ms),
            resume_ms: time("resume_ms", default.resume_ms),
            progress_ms: time("progress_ms", default.progress_ms),
            platform_ms: time("platform_ms", default.platform_ms),
        };
        fields.close();
        Some(times)
    }
}
