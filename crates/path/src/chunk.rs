//! Large values in chunks, as nodes exchange them.
//!
//! A value is split by content-defined chunking, so that two versions with a few
//! differences share most chunks. A node that has an older version requests only the
//! missing chunks, from any node that has them, and keeps the chunks it received if a
//! source disconnects.

use bytes::Bytes;
use derive_more::Display;
use fastcdc::v2020::FastCDC;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::str::FromStr;
use std::sync::Arc;

/// The minimum, average and maximum size of a chunk. Smaller chunks would make the manifest
/// large; larger ones would send more data for a small change.
const CHUNK_BYTES: [usize; 3] = [1 << 10, 4 << 10, 16 << 10];

/// The id of a chunk: a hash of its content.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Id(u64);

impl Id {
    fn hash(bytes: &[u8]) -> Self {
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

/// The chunks that make up a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The ids of the chunks, in order.
    #[serde(rename = "pieces")]
    chunks: Vec<Id>,
    /// The hash of the complete value.
    #[serde(rename = "whole")]
    digest: Id,
}

/// A value that is split into chunks.
#[derive(Clone, Debug)]
pub struct ChunkedValue {
    text: Arc<str>,
    manifest: Manifest,
    ranges: HashMap<Id, Range<usize>>,
}

impl ChunkedValue {
    /// Splits a value into chunks.
    pub fn split(text: Arc<str>) -> Self {
        let [min, target, max] = CHUNK_BYTES;
        let mut chunks = Vec::new();
        let mut ranges = HashMap::new();
        for chunk in FastCDC::new(text.as_bytes(), min, target, max) {
            let range = chunk.offset..chunk.offset + chunk.length;
            let id = Id::hash(&text.as_bytes()[range.clone()]);
            chunks.push(id);
            ranges.insert(id, range);
        }
        let digest = Id::hash(text.as_bytes());
        Self { text, manifest: Manifest { chunks, digest }, ranges }
    }

    /// Returns the manifest of the value.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns the chunk with an id.
    pub fn chunk(&self, id: Id) -> Option<&[u8]> {
        self.ranges.get(&id).map(|range| &self.text.as_bytes()[range.clone()])
    }
}

/// The assembled value doesn't match its manifest.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("the assembled chunks don't match the digest in the manifest")]
pub struct Mismatch;

/// Assembles a value from chunks as they arrive.
#[derive(Clone, Debug)]
pub struct Assembler {
    manifest: Manifest,
    chunks: HashMap<Id, Bytes>,
}

impl Assembler {
    /// Creates an assembler that already holds the chunks shared with an older value.
    pub fn new(manifest: Manifest, older: Option<&ChunkedValue>) -> Self {
        let mut assembler = Self { manifest, chunks: HashMap::new() };
        if let Some(older) = older {
            assembler.add_known(|id| older.chunk(id).map(Bytes::copy_from_slice));
        }
        assembler
    }

    /// Switches to another manifest of the same value, and keeps the chunks they share.
    pub fn switch_to(self, manifest: Manifest, older: Option<&ChunkedValue>) -> Self {
        let mut next = Self::new(manifest, older);
        next.add_known(|id| self.chunks.get(&id).cloned());
        next
    }

    /// Returns the ids of the missing chunks, each once.
    pub fn missing(&self) -> Vec<Id> {
        let mut named = HashSet::new();
        let is_missing = |id: &&Id| !self.chunks.contains_key(id) && named.insert(**id);
        self.manifest.chunks.iter().filter(is_missing).copied().collect()
    }

    /// Adds a chunk. Returns whether it was missing.
    pub fn add(&mut self, chunk: Bytes) -> bool {
        let id = Id::hash(&chunk);
        let is_wanted = self.manifest.chunks.contains(&id);
        is_wanted && self.chunks.insert(id, chunk).is_none()
    }

    /// Returns the value, once no chunk is missing.
    pub fn assemble(&self) -> Result<String, Mismatch> {
        let chunks = self.manifest.chunks.iter().map(|id| self.chunks.get(id));
        let chunks: Option<Vec<&Bytes>> = chunks.collect();
        let bytes = chunks.ok_or(Mismatch)?.into_iter().flatten().copied().collect::<Vec<u8>>();
        if Id::hash(&bytes) != self.manifest.digest {
            return Err(Mismatch);
        }
        String::from_utf8(bytes).map_err(|_| Mismatch)
    }

    fn add_known(&mut self, find: impl Fn(Id) -> Option<Bytes>) {
        for id in &self.manifest.chunks {
            if let Some(chunk) = find(*id) {
                self.chunks.insert(*id, chunk);
            }
        }
    }
}
