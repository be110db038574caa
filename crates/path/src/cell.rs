//! Cells of nodes, which use the engines in one order.
//!
//! Load: 79 nodes place 200 short prompts a second. A placement reaches the last
//! of 78 peers ten milliseconds late on a host with an eighth of a core, and
//! nodes that all prefer the same engine put there all that arrives meanwhile:
//! eight prompts at once, each waiting for the others. Harm prevented: short
//! prompts that are late although most engines have room. Nodes are divided
//! into cells by their names, which all know; the nodes of a cell prefer the
//! engines in an order of their own, and are told first.

use crate::view::Tag;
use hickory_unit::id;

/// Nodes in a cell. Some twenty short prompts a second are placed by so many,
/// which are told within a millisecond.
const NODES: usize = 9;

/// A cell of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell(pub u64);

impl Cell {
    /// The cell of a node among all nodes that are known, in any order.
    pub fn of<'a>(node: &id::Node, nodes: impl Iterator<Item = &'a id::Node>) -> Self {
        Self::at(nodes.filter(|other| *other < node).count())
    }

    /// The cell of the node at this place among all, by name.
    pub fn at(place: usize) -> Self {
        Self((place / NODES) as u64)
    }

    /// A cell of this node alone, whose order no other node has.
    pub fn own(node: &id::Node) -> Self {
        let hash = blake3::hash(node.as_str().as_bytes());
        Self(u64::from_le_bytes(*hash.as_bytes().first_chunk().unwrap_or(&[0; 8])))
    }

    /// The place of an engine in the cell's order, the least first.
    pub fn prefer(self, engine: Tag) -> u64 {
        let mixed = (engine.0 ^ self.0.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed ^ (mixed >> 31)
    }
}
