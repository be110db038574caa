//! Reads bodies within a bound, and counts what is held of them.

use crate::holding::Holder;
use bytes::Bytes;
use derive_more::Display;
use hickory_unit::size;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::collections::VecDeque;

/// Why a body was not read.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// The body exceeds the bound.
    #[display("its body is too long")]
    TooLong,
    /// The connection broke.
    #[display("{_0}")]
    Broken(hyper::Error),
}

/// The smallest and the largest block that a body is read into. A single buffer would be copied
/// while it grows and take up to twice the size of the body; the parts as received may each occupy
/// a much larger buffer.
const BLOCK_BYTES: (usize, usize) = (4 << 10, 64 << 10);

/// A body in blocks.
#[derive(Debug, Default)]
pub struct Blocks(VecDeque<Bytes>);

impl Blocks {
    /// Removes and returns the first block.
    pub(crate) fn pop_front(&mut self) -> Option<Bytes> {
        self.0.pop_front()
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> u64 {
        self.0.iter().map(|block| block.len() as u64).sum()
    }

    /// Returns whether no block is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Joins the blocks of a small body.
    pub(crate) fn join(mut self, holder: &Holder) -> Bytes {
        match self.0.len() {
            0 | 1 => self.pop_front().unwrap_or_default(),
            _ => {
                let blocks: Vec<Bytes> = self.0.into();
                holder.hold_bytes(blocks.concat().into())
            }
        }
    }
}

/// Reads a body of at most `bound`. One that states a greater length is not read at all.
pub(crate) async fn read(
    body: &mut Incoming,
    bound: size::Bytes,
    holder: &Holder,
) -> Result<Blocks, Error> {
    if body.size_hint().lower() > bound.0 {
        return Err(Error::TooLong);
    }
    let (mut blocks, mut hold) = (VecDeque::new(), holder.hold());
    let stated = body.size_hint().lower() as usize;
    let mut capacity = stated.clamp(BLOCK_BYTES.0, BLOCK_BYTES.1);
    let (mut block, mut length) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(mut data) = frame.map_err(Error::Broken)?.into_data() else { continue };
        length += data.len();
        if length as u64 > bound.0 {
            return Err(Error::TooLong);
        }
        hold.set(length);
        while !data.is_empty() {
            if block.capacity() == 0 {
                block.reserve_exact(capacity);
                capacity = (capacity * 2).min(BLOCK_BYTES.1);
            }
            block.extend_from_slice(&data.split_to(data.len().min(block.capacity() - block.len())));
            if block.len() == block.capacity() {
                blocks.push_back(Bytes::from(std::mem::take(&mut block)));
            }
        }
    }
    if !block.is_empty() {
        blocks.push_back(block.into());
    }
    drop(hold);
    Ok(Blocks(blocks.into_iter().map(|block| holder.hold_bytes(block)).collect()))
}
