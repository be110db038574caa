//! The ownership document.

use crate::member::Info;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A process that holds, or held, a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub node: id::Node,
    /// Which process of that name.
    pub incarnation: id::Incarnation,
}

/// The ownership of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The owner.
    #[serde(flatten)]
    pub holder: Holder,
    /// Rises with each change; the fencing number of orders.
    pub epoch: id::Epoch,
    /// Former owners that have not handed over and may not know that they
    /// are owners no more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub before: Vec<Holder>,
}

/// All ownerships, as they stand under one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The last epoch given. It counts the changes of all targets, so that a
    /// target that was forgotten and comes back does not begin anew.
    pub epoch: id::Epoch,
    /// The ownerships by target.
    pub owners: BTreeMap<id::Target, Entry>,
    /// Where the holders are reached: a node that started after one of them
    /// was lost must still be able to probe it.
    pub holders: BTreeMap<id::Node, Info>,
}

impl Holder {
    /// The process that tells of itself.
    pub fn of(info: &Info) -> Self {
        Self { node: info.node.clone(), incarnation: info.incarnation }
    }
}

impl Document {
    /// Gives a target to a node; `before` are the former owners that may not
    /// know of it.
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

    /// Whether a node that is not registered any more left by a planned stop:
    /// it said that it was stopping, and holds nothing.
    pub(crate) fn has_left(&self, info: &Info) -> bool {
        info.draining && !self.owners.values().any(|entry| entry.holder == Holder::of(info))
    }

    fn remove_unused_holders(&mut self) {
        let owners = &self.owners;
        self.holders.retain(|node, _| owners.values().any(|entry| entry.holder.node == *node));
    }
}
