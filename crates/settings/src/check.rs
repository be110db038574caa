//! What must hold of settings beyond their types.

use crate::node::{Settings, Times};
use derive_more::Display;
use hickory_document::read_document;
use hickory_document::rule::{HEX_DIGITS, check_digest, check_name, is_hex};
use hickory_unit::finding::{self, Finding};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A field of [`Times`] and the range that it may lie in.
struct Range {
    name: &'static str,
    read: fn(&Times) -> u64,
    min: u64,
    max: u64,
}

impl Range {
    fn field(&self) -> String {
        format!("times.{}", self.name)
    }
}

/// The bounds keep a node from flooding the platform or its targets at the
/// one end, and from noticing faults too late to end requests in time at the
/// other.
const RANGES: &[Range] = &[
    Range { name: "lease_ms", read: |t| t.lease_ms, min: 500, max: 60_000 },
    Range { name: "permit_ms", read: |t| t.permit_ms, min: 50, max: 10_000 },
    Range { name: "gossip_ms", read: |t| t.gossip_ms, min: 20, max: 5_000 },
    Range { name: "report_ms", read: |t| t.report_ms, min: 20, max: 5_000 },
    Range { name: "hosts_ms", read: |t| t.hosts_ms, min: 50, max: 30_000 },
    Range { name: "entry_keep_ms", read: |t| t.entry_keep_ms, min: 100, max: 600_000 },
    Range { name: "resume_ms", read: |t| t.resume_ms, min: 0, max: 60_000 },
    Range { name: "progress_ms", read: |t| t.progress_ms, min: 100, max: 600_000 },
    Range { name: "platform_ms", read: |t| t.platform_ms, min: 50, max: 30_000 },
];

/// All that a check of settings found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// The settings, where nothing is wrong.
    pub settings: Option<Settings>,
    /// What keeps a node from starting.
    pub findings: Vec<Finding>,
    /// What a node starts with, though it is probably not meant.
    pub warnings: Vec<Finding>,
}

/// Settings that a node can't start with: each finding on a line of its own,
/// with file, line and field.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Error)]
pub struct Invalid {
    /// The file.
    pub file: PathBuf,
    /// What is wrong.
    pub findings: Vec<Finding>,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        write!(f, "{file}: {}", finding::count_text(&self.findings))?;
        self.findings.iter().try_for_each(|finding| write!(f, "\n{}", finding.in_file(&file)))
    }
}

/// Why settings could not be opened.
#[derive(Debug, Display, derive_more::Error)]
pub enum Error {
    /// The file can't be read.
    #[display("{}: can't be read", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        #[error(source)]
        error: std::io::Error,
    },
    /// The file is invalid.
    #[display("{_0}")]
    #[error(ignore)]
    Invalid(Invalid),
}

/// Reads the settings of a node from a file.
pub fn open(file: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Error::Unreadable { file: file.to_owned(), error })?;
    let invalid = |findings| Error::Invalid(Invalid { file: file.to_owned(), findings });
    parse_settings(&text).map_err(invalid)
}

/// Reads settings from JSON with comments, with every finding.
pub fn parse_settings(text: &str) -> Result<Settings, Vec<Finding>> {
    let check = check_settings(text);
    check.settings.ok_or(check.findings)
}

/// Checks settings, with every finding and warning.
pub fn check_settings(text: &str) -> Check {
    let mut parsed = read_document::<Settings>(text);
    let mut later = Vec::new();
    let mut warnings = Vec::new();
    if let Some(settings) = &parsed.value {
        check_name("node", settings.node.as_str(), &mut later);
        check_name("zone", settings.zone.as_str(), &mut later);
        check_addresses(settings, &mut later, &mut warnings);
        check_secrets(settings, &mut later, &mut warnings);
        check_ranges(&settings.times, &mut later);
        // A time that can't be read would be compared by its default.
        if !RANGES.iter().any(|range| parsed.has_finding(&range.field())) {
            check_contradictions(&settings.times, &mut later, &mut warnings);
        }
    }
    // What stands in for a field that can't be read is no choice of anybody's.
    warnings.retain(|warning| !parsed.has_finding(&warning.field));
    parsed.add_findings(later);
    parsed.locations.locate(&mut warnings);
    match parsed.into_result() {
        Ok(settings) => Check { settings: Some(settings), findings: Vec::new(), warnings },
        Err(findings) => Check { settings: None, findings, warnings },
    }
}

fn check_addresses(settings: &Settings, findings: &mut Vec<Finding>, warnings: &mut Vec<Finding>) {
    let listeners =
        [("callers", settings.callers), ("admin", settings.admin), ("peers", settings.peers)];
    let services = [
        ("platform.store", settings.platform.store),
        ("platform.hosts", settings.platform.hosts),
        ("platform.weights", settings.platform.weights),
    ];
    // A listener may take any free port, which the node prints when it is
    // ready; a service of the platform can't be found at port 0.
    for (field, _) in listeners.iter().filter(|(_, address)| address.port() == 0) {
        warnings.push(Finding::at(*field, "port 0: another port is taken at each start"));
    }
    for (field, _) in services.iter().filter(|(_, address)| address.port() == 0) {
        findings.push(Finding::at(*field, "the port must not be 0"));
    }
    for (field, address) in listeners.iter().chain(&services) {
        // Callers and other nodes are told these addresses.
        if address.ip().is_unspecified() && *field != "admin" {
            findings.push(Finding::at(*field, "must be an address that others can connect to"));
        }
    }
    for (index, (field, address)) in listeners.iter().enumerate() {
        for (other, taken) in &listeners[..index] {
            if overlaps(*address, *taken) {
                findings.push(Finding::at(*field, format!("{address} is the address of {other}")));
            }
        }
        for (other, taken) in &services {
            if address == taken {
                findings.push(Finding::at(*other, format!("{taken} is the address of {field}")));
            }
        }
    }
    let remote = services.iter().any(|(_, address)| !address.ip().is_loopback());
    for (field, address) in listeners.iter().filter(|_| remote) {
        if address.ip().is_loopback() && *field != "admin" {
            warnings.push(Finding::at(*field, "only this host can connect to a loopback address"));
        }
    }
}

/// Whether two listeners would stand in each other's way.
fn overlaps(one: SocketAddr, other: SocketAddr) -> bool {
    let (a, b) = (one.ip(), other.ip());
    one.port() == other.port()
        && one.port() != 0
        && (a == b || a.is_unspecified() || b.is_unspecified())
}

fn check_secrets(settings: &Settings, findings: &mut Vec<Finding>, warnings: &mut Vec<Finding>) {
    if !is_hex(&settings.fleet_key) {
        let message = format!("expected 32 bytes: {HEX_DIGITS} hexadecimal digits");
        findings.push(Finding::at("fleet_key", message));
    } else if settings
        .fleet_key
        .bytes()
        .all(|digit| Some(digit) == settings.fleet_key.bytes().next())
    {
        warnings.push(Finding::at("fleet_key", "is one digit repeated; draw it at random"));
    }
    if let Some(digest) = &settings.first_operator {
        check_digest("first_operator", digest, findings);
    }
}

fn check_ranges(times: &Times, findings: &mut Vec<Finding>) {
    for range in RANGES {
        let time = (range.read)(times);
        if time < range.min || time > range.max {
            let message = format!("must be from {} to {}", range.min, range.max);
            findings.push(Finding::at(range.field(), message));
        }
    }
}

/// Times that contradict each other. Each would break a guarantee without
/// any error at run time, so that a node must not start with them.
fn check_contradictions(times: &Times, findings: &mut Vec<Finding>, warnings: &mut Vec<Finding>) {
    // A new owner waits for one permit's life after the old lease: permits
    // must not outlive the lease under which they are given.
    if times.permit_ms >= times.lease_ms {
        let message = format!("must be less than lease_ms ({})", times.lease_ms);
        findings.push(Finding::at("times.permit_ms", message));
    }
    // One slow call must leave time to renew the lease by another.
    if times.platform_ms.saturating_mul(2) > times.lease_ms {
        let message = format!("must be at most half of lease_ms ({})", times.lease_ms);
        findings.push(Finding::at("times.platform_ms", message));
    }
    // Nodes that hear of each other less often than a lease lasts would take
    // a live owner for gone.
    if times.gossip_ms >= times.lease_ms {
        let message = format!("must be less than lease_ms ({})", times.lease_ms);
        findings.push(Finding::at("times.gossip_ms", message));
    }
    if times.report_ms > times.permit_ms {
        let message = "load is reported less often than a permit lives; a target that turns \
                       cold is noticed late";
        warnings.push(Finding::at("times.report_ms", message));
    }
}
