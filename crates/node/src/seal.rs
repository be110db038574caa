//! Event ids of streams, which are also what a caller resumes with.
//!
//! An event id names the stream, its target and the token, under a seal: the
//! node that a caller resumes through needs no state of the node that died,
//! and a caller can't make up an id that leads to another account's stream.

use hickory_unit::id;
use hickory_wire::proof::Key;

/// Hexadecimal digits of the seal that are kept: 128 bits.
const SEAL_LEN: usize = 32;

/// Where a caller stands in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) stream: id::Stream,
    pub(crate) target: id::Target,
    pub(crate) seq: u64,
}

/// The event id of a position, for an account.
pub(crate) fn seal_position(key: &Key, account: &id::Account, position: &Position) -> String {
    let text = format!("{}:{}:{}", position.seq, position.target, position.stream);
    let seal = key.compute_mac(&format!("{account}\n{text}")).to_hex();
    format!("{}:{text}", &seal[..SEAL_LEN])
}

/// Reads an event id; `None` where it is malformed or not this account's.
pub(crate) fn open_position(key: &Key, account: &id::Account, sealed: &str) -> Option<Position> {
    let (seal, text) = sealed.split_once(':')?;
    let wanted = key.compute_mac(&format!("{account}\n{text}")).to_hex();
    let same = subtle::ConstantTimeEq::ct_eq(seal.as_bytes(), wanted[..SEAL_LEN].as_bytes());
    if !bool::from(same) {
        return None;
    }
    let mut parts = text.splitn(3, ':');
    let seq = parts.next()?.parse().ok()?;
    let target = id::Target::from(parts.next()?);
    let stream = parts.next()?.parse().ok()?;
    Some(Position { stream, target, seq })
}
