//! Splits the bytes of an event stream into complete events, within a bound for one event.

use bytes::{Bytes, BytesMut};
use hickory_unit::size;

/// An event that exceeds the bound.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
#[display("an event is too long")]
pub struct TooLong;

impl std::error::Error for TooLong {}

/// The bytes of a stream that don't form a complete event yet.
#[derive(Debug)]
pub struct Buffer {
    /// Contains no end of an event.
    bytes: BytesMut,
    max_event: size::Bytes,
}

impl Buffer {
    /// Creates an empty buffer for events of at most this size.
    pub fn new(max_event: size::Bytes) -> Self {
        Self { bytes: BytesMut::new(), max_event }
    }

    /// Adds bytes, and returns all events that are complete by now. Each byte is searched once, so
    /// that an event that arrives in many parts costs no more than one that arrives in one.
    ///
    /// # Errors
    ///
    /// Returns an error if an incomplete event exceeds the bound.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, TooLong> {
        // An end may begin with the last byte of the earlier ones.
        let searched = self.bytes.len().saturating_sub(1);
        self.bytes.extend_from_slice(data);
        let new = self.bytes.get(searched..).unwrap_or_default();
        match new.windows(2).rposition(|pair| pair == b"\n\n") {
            Some(at) => Ok(Some(self.bytes.split_to(searched + at + 2).freeze())),
            None if self.bytes.len() as u64 > self.max_event.0 => Err(TooLong),
            None => Ok(None),
        }
    }

    /// Returns the number of bytes of the incomplete event.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the bytes so far end with a complete event.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}
