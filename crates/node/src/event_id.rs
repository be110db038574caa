//! Event ids of streams, with which a caller can resume a stream.
//!
//! An event id contains the stream, its target and the token's position, and is authenticated
//! with the fleet key. Any node can therefore resume a stream without state of the node that
//! failed, and a caller can't forge an id of another account's stream.

use hickory_unit::id;
use hickory_wire::proof::Key;

/// Number of hexadecimal digits kept of the authentication code: 128 bits.
const SEAL_HEX_DIGITS: usize = 32;

/// A caller's position in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) stream: id::Stream,
    pub(crate) target: id::Target,
    pub(crate) seq: u64,
}

/// Encodes a position as an event id that is valid for this account only.
pub(crate) fn encode_event_id(key: &Key, account: &id::Account, position: &Position) -> String {
    let text = format!("{}:{}:{}", position.seq, position.target, position.stream);
    let seal = key.compute_mac(&format!("{account}\n{text}")).to_hex();
    format!("{}:{text}", &seal[..SEAL_HEX_DIGITS])
}

/// Decodes an event id; returns `None` if it is malformed or belongs to another account.
pub(crate) fn decode_event_id(
    key: &Key,
    account: &id::Account,
    event_id: &str,
) -> Option<Position> {
    let (seal, text) = event_id.split_once(':')?;
    let wanted = key.compute_mac(&format!("{account}\n{text}")).to_hex();
    let same = subtle::ConstantTimeEq::ct_eq(seal.as_bytes(), wanted[..SEAL_HEX_DIGITS].as_bytes());
    if !bool::from(same) {
        return None;
    }
    let mut parts = text.splitn(3, ':');
    let seq = parts.next()?.parse().ok()?;
    let target = id::Target::from(parts.next()?);
    let stream = parts.next()?.parse().ok()?;
    Some(Position { stream, target, seq })
}
