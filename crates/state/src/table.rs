//! The ownership document.

use crate::member::Info;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A process that owns, or owned, a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub node: id::Node,
    /// Identifies the process among those with this node's name.
    pub incarnation: id::Incarnation,
}

/// The ownership of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The current owner.
    #[serde(flatten)]
    pub holder: Holder,
    /// The fencing epoch of orders to the target; rises with each change of ownership.
    pub epoch: id::Epoch,
    /// Former owners that have not handed the target over and may still believe that they
    /// own it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub before: Vec<Holder>,
}

/// The ownership of all targets, stored under one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The last epoch assigned. It is shared by all targets, so that a target that was
    /// removed and comes back doesn't start again with a low epoch.
    pub epoch: id::Epoch,
    /// The ownership by target.
    pub owners: BTreeMap<id::Target, Entry>,
    /// The registrations of the owners: a node that started after an owner was lost must
    /// still be able to probe it.
    pub holders: BTreeMap<id::Node, Info>,
}

impl Holder {
    /// Returns the process of a registration.
    pub fn of(info: &Info) -> Self {
        Self { node: info.node.clone(), incarnation: info.incarnation }
    }
}

impl Document {
    /// Assigns a target to a node; `before` are the former owners that may not know of
    /// it.
    pub fn assign(&mut self, target: &id::Target, info: &Info, before: Vec<Holder>) {
        self.epoch = id::Epoch(self.epoch.0 + 1);
        let entry = Entry { holder: Holder::of(info), epoch: self.epoch, before };
        self.owners.insert(target.clone(), entry);
        self.holders.insert(info.node.clone(), info.clone());
        self.remove_unused_holders();
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &id::Target) {
        self.epoch = id::Epoch(self.epoch.0 + 1);
        self.owners.remove(target);
        self.remove_unused_holders();
    }

    /// Whether a node that is no longer registered left by a planned stop: it was
    /// draining and owns nothing.
    pub(crate) fn has_left(&self, info: &Info) -> bool {
        info.draining && !self.owners.values().any(|entry| entry.holder == Holder::of(info))
    }

    fn remove_unused_holders(&mut self) {
        let owners = &self.owners;
        self.holders.retain(|node, _| owners.values().any(|entry| entry.holder.node == *node));
    }
}
