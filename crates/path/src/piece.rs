//! Large values in pieces, as nodes pass them on.
//!
//! A value is cut where its content says so, so that two versions that differ
//! in a few places have most pieces in common. Whoever has an older version
//! asks for the pieces that it lacks, of any node that has them, and keeps what
//! it got of a node that broke off.

use bytes::Bytes;
use derive_more::Display;
use fastcdc::v2020::FastCDC;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::str::FromStr;
use std::sync::Arc;

/// Bytes of a piece: the least, those aimed at, and the most. Smaller ones would
/// make the outline large, greater ones send more for a small change.
const PIECE_BYTES: [usize; 3] = [1 << 10, 4 << 10, 16 << 10];

/// Names a piece by its content.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Id(u64);

impl Id {
    fn of(bytes: &[u8]) -> Self {
        let hash = blake3::hash(bytes);
        Self(u64::from_le_bytes(*hash.as_bytes().first_chunk().unwrap_or(&[0; 8])))
    }
}

impl FromStr for Id {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// What a value consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outline {
    /// Its pieces, in order.
    pieces: Vec<Id>,
    /// The whole.
    whole: Id,
}

/// A value and its pieces.
#[derive(Clone, Debug)]
pub struct Cut {
    text: Arc<str>,
    outline: Outline,
    places: HashMap<Id, Range<usize>>,
}

impl Cut {
    /// Cuts a value.
    pub fn of(text: Arc<str>) -> Self {
        let [least, aimed, most] = PIECE_BYTES;
        let mut pieces = Vec::new();
        let mut places = HashMap::new();
        for chunk in FastCDC::new(text.as_bytes(), least, aimed, most) {
            let place = chunk.offset..chunk.offset + chunk.length;
            let id = Id::of(&text.as_bytes()[place.clone()]);
            pieces.push(id);
            places.insert(id, place);
        }
        let whole = Id::of(text.as_bytes());
        Self { text, outline: Outline { pieces, whole }, places }
    }

    /// What it consists of.
    pub fn outline(&self) -> &Outline {
        &self.outline
    }

    /// A piece.
    pub fn piece(&self, id: Id) -> Option<&[u8]> {
        self.places.get(&id).map(|place| &self.text.as_bytes()[place.clone()])
    }
}

/// A gathered value that is not what its outline says.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("the pieces don't make the value")]
pub struct Mismatch;

/// A value on its way to this node.
#[derive(Clone, Debug)]
pub struct Gathering {
    outline: Outline,
    pieces: HashMap<Id, Bytes>,
}

impl Gathering {
    /// Begins with the pieces that an older value has in common.
    pub fn open(outline: Outline, older: Option<&Cut>) -> Self {
        let mut gathering = Self { outline, pieces: HashMap::new() };
        if let Some(older) = older {
            gathering.take_known(|id| older.piece(id).map(Bytes::copy_from_slice));
        }
        gathering
    }

    /// Turns to another outline of the same value; pieces in common are kept.
    pub fn turn(self, outline: Outline, older: Option<&Cut>) -> Self {
        let mut next = Self::open(outline, older);
        next.take_known(|id| self.pieces.get(&id).cloned());
        next
    }

    /// The pieces that are still missing, each once.
    pub fn missing(&self) -> Vec<Id> {
        let mut named = HashSet::new();
        let is_missing = |id: &&Id| !self.pieces.contains_key(id) && named.insert(**id);
        self.outline.pieces.iter().filter(is_missing).copied().collect()
    }

    /// Takes a piece; whether it was missing.
    pub fn take(&mut self, piece: Bytes) -> bool {
        let id = Id::of(&piece);
        let wanted = self.outline.pieces.contains(&id);
        wanted && self.pieces.insert(id, piece).is_none()
    }

    /// The value, once nothing is missing.
    pub fn assemble(&self) -> Result<String, Mismatch> {
        let pieces = self.outline.pieces.iter().map(|id| self.pieces.get(id));
        let pieces: Option<Vec<&Bytes>> = pieces.collect();
        let bytes = pieces.ok_or(Mismatch)?.into_iter().flatten().copied().collect::<Vec<u8>>();
        if Id::of(&bytes) != self.outline.whole {
            return Err(Mismatch);
        }
        String::from_utf8(bytes).map_err(|_| Mismatch)
    }

    fn take_known(&mut self, find: impl Fn(Id) -> Option<Bytes>) {
        for id in &self.outline.pieces {
            if let Some(piece) = find(*id) {
                self.pieces.insert(*id, piece);
            }
        }
    }
}
