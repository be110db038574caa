//! The configuration in force.

use hickory_unit::{id, size};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The greatest configuration as JSON: it is one value of the platform's
/// key-value service, which holds values of up to this size.
pub const MAX_SIZE: size::Bytes = size::Bytes(1 << 20);

/// All that governs, as the last accepted release note left it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Counts the accepted notes; zero before the first.
    pub version: id::Release,
    /// Ids of the last accepted operations, newest last: an operator whose
    /// write got no answer reads here whether it took effect.
    pub operations: Vec<String>,
    /// The partners and the shares they have bought.
    pub partners: BTreeMap<id::Partner, Partner>,
    /// The client accounts.
    pub accounts: BTreeMap<id::Account, Account>,
    /// The models.
    pub models: BTreeMap<id::Model, Model>,
    /// The availability zones.
    pub zones: BTreeMap<id::Zone, Zone>,
    /// The plain services.
    pub services: BTreeMap<id::Service, Service>,
    /// What is known of single targets.
    pub targets: BTreeMap<id::Target, Target>,
    /// Digests of operators' tokens, in hexadecimal.
    pub operators: BTreeSet<String>,
}

/// A partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// Its share of the fleet, relative to the others'.
    pub share: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The partner whose share pays.
    pub partner: id::Partner,
    /// Digest of the account's token (BLAKE3, hexadecimal).
    pub token_digest: String,
    /// Its weight among the partner's accounts.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Models it may use.
    #[serde(default)]
    pub models: BTreeSet<id::Model>,
    /// Plain services it may call.
    #[serde(default)]
    pub services: BTreeSet<id::Service>,
}

pub(crate) fn default_weight() -> f64 {
    1.0
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version that requests get which name none.
    pub current: id::Version,
    /// All versions, with the size of their weights.
    pub versions: BTreeMap<id::Version, Weight>,
    /// Adapters that may be laid over it, with the size of their weights.
    #[serde(default)]
    pub adapters: BTreeMap<id::Adapter, Weight>,
}

/// The size of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weight {
    /// Bytes in the weight store.
    pub bytes: size::Bytes,
}

/// An availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Whether operators have taken it out of service.
    #[serde(default)]
    pub out: bool,
}

/// A plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Paths, with their leading slash, whose calls must not be repeated.
    #[serde(default)]
    pub once: BTreeSet<String>,
}

/// A target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

impl Configuration {
    /// The version that an operation made; `None` where it had no effect, or
    /// is older than what is kept.
    ///
    /// Each accepted note adds one version and one operation, so that the
    /// operation's place from the end tells its version.
    pub fn find_operation(&self, operation: &str) -> Option<id::Release> {
        if operation.is_empty() {
            return None;
        }
        let later = self.operations.iter().rev().position(|known| known == operation)?;
        Some(id::Release(self.version.0.saturating_sub(later as u64)))
    }

    /// The size as JSON.
    pub fn json_size(&self) -> size::Bytes {
        size::Bytes(serde_json::to_string(self).map_or(u64::MAX, |text| text.len() as u64))
    }

    /// Whether operators have taken the zone out.
    pub fn is_zone_out(&self, zone: &id::Zone) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.out)
    }

    /// The account that a token belongs to, and the account's entry.
    ///
    /// The token is hashed first and the digests are compared in constant
    /// time, so that the time taken says nothing of how much matched.
    pub fn find_account(&self, token: &str) -> Option<(&id::Account, &Account)> {
        let digest = digest_token(token);
        self.accounts.iter().find(|(_, account)| same_digest(&account.token_digest, &digest))
    }

    /// Whether a token is an operator's.
    pub fn is_operator(&self, token: &str) -> bool {
        let digest = digest_token(token);
        self.operators.iter().any(|known| same_digest(known, &digest))
    }
}

/// The digest under which a token is kept.
pub fn digest_token(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}

fn same_digest(known: &str, digest: &str) -> bool {
    use subtle::ConstantTimeEq;
    bool::from(known.as_bytes().ct_eq(digest.as_bytes()))
}
