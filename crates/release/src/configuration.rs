//! The configuration that release notes create.

use hickory_unit::{id, size};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum size of a configuration as JSON. It is stored as one value in the platform's key-value
/// service, which limits values to this size.
pub const MAX_SIZE: size::Bytes = size::Bytes(1 << 20);

/// The configuration in force, as created by the accepted release notes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of accepted notes; 0 before the first.
    pub version: id::Release,
    /// Ids of the last accepted operations, newest last. An operator whose request got no answer
    /// can look up here whether it took effect.
    pub operations: Vec<String>,
    /// The partners and their shares.
    pub partners: BTreeMap<id::Partner, Partner>,
    /// The client accounts.
    pub accounts: BTreeMap<id::Account, Account>,
    /// The models.
    pub models: BTreeMap<id::Model, Model>,
    /// The availability zones.
    pub zones: BTreeMap<id::Zone, Zone>,
    /// The plain services.
    pub services: BTreeMap<id::Service, Service>,
    /// Settings of individual targets.
    pub targets: BTreeMap<id::Target, Target>,
    /// Digests of operators' tokens, in hexadecimal.
    pub operators: BTreeSet<String>,
}

/// A partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// Its share of the fleet, relative to the other partners.
    pub share: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The partner whose share of the fleet it uses.
    pub partner: id::Partner,
    /// Digest of the account's token (BLAKE3, hexadecimal).
    pub token_digest: String,
    /// Its weight among the accounts of the partner.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Models that it may use.
    #[serde(default)]
    pub models: BTreeSet<id::Model>,
    /// Plain services that it may call.
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
    /// The version for requests that do not specify one.
    pub current: id::Version,
    /// The versions, with the size of their weights.
    pub versions: BTreeMap<id::Version, Weight>,
    /// The adapters for the model, with the size of their weights.
    #[serde(default)]
    pub adapters: BTreeMap<id::Adapter, Weight>,
}

/// The size of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weight {
    /// Size in the weight store.
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
    /// Paths, with a leading slash, whose calls are not idempotent and must not be repeated.
    #[serde(default)]
    pub once: BTreeSet<String>,
}

/// A target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Whether it rejects orders with a fencing epoch lower than the greatest one seen.
    #[serde(default)]
    pub checks_fence: bool,
}

impl Configuration {
    /// Returns the version that an operation created, or `None` if the operation had no effect or
    /// its id is no longer kept.
    ///
    /// Each accepted note adds one version and one operation, so the version follows from the
    /// operation's distance from the end of the list.
    pub fn find_operation(&self, operation: &str) -> Option<id::Release> {
        if operation.is_empty() {
            return None;
        }
        let later_operations = self.operations.iter().rev().position(|known| known == operation)?;
        Some(id::Release(self.version.0.saturating_sub(later_operations as u64)))
    }

    /// Returns the size of the configuration as JSON.
    pub fn json_size(&self) -> size::Bytes {
        size::Bytes(serde_json::to_string(self).map_or(u64::MAX, |text| text.len() as u64))
    }

    /// Returns whether operators have taken the zone out of service.
    pub fn is_zone_out(&self, zone: &id::Zone) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.out)
    }

    /// Returns the account that a token belongs to.
    ///
    /// The token is hashed and the digests are compared in constant time, so that the time taken
    /// does not reveal how much of a digest matched.
    pub fn find_account(&self, token: &str) -> Option<(&id::Account, &Account)> {
        let digest = digest_token(token);
        self.accounts.iter().find(|(_, account)| same_digest(&account.token_digest, &digest))
    }

    /// Returns whether a token belongs to an operator.
    pub fn is_operator(&self, token: &str) -> bool {
        let digest = digest_token(token);
        self.operators.iter().any(|known| same_digest(known, &digest))
    }
}

/// Returns the digest of a token, as configurations store it.
pub fn digest_token(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}

fn same_digest(known: &str, digest: &str) -> bool {
    use subtle::ConstantTimeEq;
    bool::from(known.as_bytes().ct_eq(digest.as_bytes()))
}
