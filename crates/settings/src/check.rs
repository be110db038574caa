//! Validation of settings beyond the types of their fields.

use crate::node::{Settings, Times};
use derive_more::Display;
use hickory_document::read_document;
use hickory_document::rule::{HEX_DIGITS, check_digest, check_name, is_hex};
use hickory_unit::finding::{self, Finding};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The allowed range of a field of [`Times`].
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

/// The allowed ranges. With values that are too small, a node would flood the platform or its
/// targets with requests. With values that are too large, it would detect faults too late to finish
/// requests in time.
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

/// The result of checking settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// The settings, if there are no findings.
    pub settings: Option<Settings>,
    /// Errors that keep a node from starting.
    pub findings: Vec<Finding>,
    /// Settings that are valid but probably not intended.
    pub warnings: Vec<Finding>,
}

/// Invalid settings. The displayed text has one line per finding, with file, line and field.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Error)]
pub struct Invalid {
    /// The file.
    pub file: PathBuf,
    /// The findings.
    pub findings: Vec<Finding>,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        write!(f, "{file}: {}", finding::count_text(&self.findings))?;
        self.findings.iter().try_for_each(|finding| write!(f, "\n{}", finding.in_file(&file)))
    }
}

/// Why settings could not be loaded.
#[derive(Debug, Display, derive_more::Error)]
pub enum Error {
    /// The file can't be read.
    #[display("{}: can't be read", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The I/O error.
        #[error(source)]
        error: std::io::Error,
    },
    /// The file is invalid.
    #[display("{_0}")]
    #[error(ignore)]
    Invalid(Invalid),
}

/// Loads the settings of a node from a file.
pub fn open(file: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Error::Unreadable { file: file.to_owned(), error })?;
    let invalid = |findings| Error::Invalid(Invalid { file: file.to_owned(), findings });
    parse_settings(&text).map_err(invalid)
}

/// Parses settings from JSON with comments and returns either the settings or all findings.
pub fn parse_settings(text: &str) -> Result<Settings, Vec<Finding>> {
    let check = check_settings(text);
    check.settings.ok_or(check.findings)
}

/// Parses and checks settings and returns all findings and warnings.
pub fn check_settings(text: &str) -> Check {
    let mut parsed = read_document::<Settings>(text);
    let mut value_findings = Vec::new();
    let mut warnings = Vec::new();
    if let Some(settings) = &parsed.value {
        check_name("node", settings.node.as_str(), &mut value_findings);
        check_name("zone", settings.zone.as_str(), &mut value_findings);
        check_addresses(settings, &mut value_findings, &mut warnings);
        check_secrets(settings, &mut value_findings, &mut warnings);
        check_ranges(&settings.times, &mut value_findings);
        // Skipped if any time is invalid, since the comparison would use its default.
        if !RANGES.iter().any(|range| parsed.has_finding(&range.field())) {
            check_contradictions(&settings.times, &mut value_findings, &mut warnings);
        }
    }
    // Drops warnings about defaults that replace invalid fields, because the user did not choose
    // these values.
    warnings.retain(|warning| !parsed.has_finding(&warning.field));
    parsed.add_findings(value_findings);
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
    // A listener may use port 0; the node prints the port that it bound when it is ready. A service
    // of the platform can't be reached at port 0.
    for (field, _) in listeners.iter().filter(|(_, address)| address.port() == 0) {
        warnings.push(Finding::at(*field, "port 0: a free port is chosen at each start"));
    }
    for (field, _) in services.iter().filter(|(_, address)| address.port() == 0) {
        findings.push(Finding::at(*field, "the port must not be 0"));
    }
    for (field, address) in listeners.iter().chain(&services) {
        // Callers and other nodes receive these addresses to connect to.
        if address.ip().is_unspecified() && *field != "admin" {
            findings.push(Finding::at(
                *field,
                "must be an address that callers and other nodes can connect to",
            ));
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

/// Returns whether two listeners can't be bound at the same time.
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
        warnings.push(Finding::at("fleet_key", "is one digit repeated; generate a random key"));
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

/// Checks times against each other. Each contradiction would break a guarantee without any error at
/// run time, so a node must not start with it.
fn check_contradictions(times: &Times, findings: &mut Vec<Finding>, warnings: &mut Vec<Finding>) {
    // A new owner waits for the lifetime of one permit after the previous lease has expired, so a
    // permit must not outlive the lease in which it was granted.
    if times.permit_ms >= times.lease_ms {
        let message = format!("must be less than lease_ms ({})", times.lease_ms);
        findings.push(Finding::at("times.permit_ms", message));
    }
    // After one slow call there must be time left to renew the lease with another.
    if times.platform_ms.saturating_mul(2) > times.lease_ms {
        let message = format!("must be at most half of lease_ms ({})", times.lease_ms);
        findings.push(Finding::at("times.platform_ms", message));
    }
    // If nodes exchange gossip less often than a lease lasts, they would consider a live owner
    // dead.
    if times.gossip_ms >= times.lease_ms {
        let message = format!("must be less than lease_ms ({})", times.lease_ms);
        findings.push(Finding::at("times.gossip_ms", message));
    }
    if times.report_ms > times.permit_ms {
        let message = "longer than permit_ms; a target that turns cold is detected late";
        warnings.push(Finding::at("times.report_ms", message));
    }
}
