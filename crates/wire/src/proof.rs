//! Mutual authentication of nodes by a shared fleet key.
//!
//! Each side computes a keyed hash over both nonces. The hash also covers the side, so that a proof
//! can't be reflected back to its sender.

use std::str::FromStr;

/// Length of a nonce in bytes.
const NONCE_LEN: usize = 16;

/// The key that all nodes of a fleet share.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The error of parsing a key that is not 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a fleet key is 64 hexadecimal digits")]
pub struct Malformed;

impl FromStr for Key {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| Malformed)?;
        Ok(Self(*hash.as_bytes()))
    }
}

/// The side of a connection that a proof authenticates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// The side that opened the connection.
    Client,
    /// The side that accepted the connection.
    Server,
}

impl Key {
    /// Returns a keyed hash of `text`, which authenticates text that callers present again later.
    pub fn compute_mac(&self, text: &str) -> blake3::Hash {
        blake3::keyed_hash(&self.0, text.as_bytes())
    }

    pub(crate) fn compute_proof(
        &self,
        side: Side,
        client_nonce: &[u8],
        server_nonce: &[u8],
    ) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(match side {
            Side::Client => b"peer asker",
            Side::Server => b"peer answr",
        });
        hasher.update(&(client_nonce.len() as u64).to_le_bytes());
        hasher.update(client_nonce);
        hasher.update(server_nonce);
        hasher.finalize()
    }
}

/// Returns a random nonce.
pub(crate) fn generate_nonce() -> [u8; NONCE_LEN] {
    rand::random()
}

/// Returns whether a proof equals the expected one, compared in constant time.
pub(crate) fn is_valid_proof(proof: &[u8], expected: blake3::Hash) -> bool {
    <[u8; 32]>::try_from(proof).is_ok_and(|proof| blake3::Hash::from(proof) == expected)
}
