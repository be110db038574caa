//! Reading of release notes from JSON documents.
//!
//! A field that is missing or invalid gets a finding and is replaced by a default, so that the
//! other fields are checked as well. A note with findings is never used.

use crate::configuration::{
    Account, Model, Partner, Service, Target, Weight, Zone, default_weight,
};
use crate::note::{Entries, Names, Note};
use hickory_document::field::Fields;
use hickory_document::read::{Node, Read};
use hickory_unit::finding::Finding;
use hickory_unit::id;

impl Read for Note {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let against = fields.required("against");
        let operation = fields.optional("operation").unwrap_or_default();
        let added = fields.optional("added").unwrap_or_default();
        let changed = fields.optional("changed").unwrap_or_default();
        let withdrawn = fields.optional("withdrawn").unwrap_or_default();
        fields.close();
        Some(Self { against: against.unwrap_or_default(), operation, added, changed, withdrawn })
    }
}

macro_rules! read_sections {
    ($($type:ty)*) => {$(
        impl Read for $type {
            fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
                let mut fields = Fields::open(node, findings)?;
                let read = Self {
                    partners: fields.optional("partners").unwrap_or_default(),
                    accounts: fields.optional("accounts").unwrap_or_default(),
                    models: fields.optional("models").unwrap_or_default(),
                    zones: fields.optional("zones").unwrap_or_default(),
                    services: fields.optional("services").unwrap_or_default(),
                    targets: fields.optional("targets").unwrap_or_default(),
                    operators: fields.optional("operators").unwrap_or_default(),
                };
                fields.close();
                Some(read)
            }
        }
    )*};
}

read_sections!(Entries Names);

impl Read for Partner {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let share = fields.required("share");
        fields.close();
        Some(Self { share: share.unwrap_or_default() })
    }
}

impl Read for Account {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let partner = fields.required("partner").unwrap_or_else(|| id::Partner::from(""));
        let token_digest = fields.required("token_digest").unwrap_or_default();
        let weight = fields.optional("weight").unwrap_or_else(default_weight);
        let models = fields.optional("models").unwrap_or_default();
        let services = fields.optional("services").unwrap_or_default();
        fields.close();
        Some(Self { partner, token_digest, weight, models, services })
    }
}

impl Read for Model {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let current = fields.required("current").unwrap_or_else(|| id::Version::from(""));
        let versions = fields.required("versions").unwrap_or_default();
        let adapters = fields.optional("adapters").unwrap_or_default();
        fields.close();
        Some(Self { current, versions, adapters })
    }
}

impl Read for Weight {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let bytes = fields.required("bytes");
        fields.close();
        Some(Self { bytes: bytes.unwrap_or_default() })
    }
}

impl Read for Zone {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let out = fields.optional("out").unwrap_or_default();
        fields.close();
        Some(Self { out })
    }
}

impl Read for Service {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let once = fields.optional("once").unwrap_or_default();
        fields.close();
        Some(Self { once })
    }
}

impl Read for Target {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let mut fields = Fields::open(node, findings)?;
        let checks_fence = fields.optional("checks_fence").unwrap_or_default();
        fields.close();
        Some(Self { checks_fence })
    }
}
