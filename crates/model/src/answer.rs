//! Deterministic answers that a caller can verify byte by byte: each token is
//! derived from the prompt and its index.
//!
//! ```
//! use hickory_model::answer::{Answer, token};
//!
//! let answer = Answer::for_prompt("which primer for lime plaster?");
//! assert_eq!(answer.token(3), token("which primer for lime plaster?", 3));
//! assert_ne!(answer.token(3), answer.token(4));
//! ```

use compact_str::{CompactString, format_compact};

/// The answer to one prompt. Stores the prompt's hash, not the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Answer(u64);

impl Answer {
    /// Returns the answer to `prompt`; reads the whole prompt once.
    pub fn for_prompt(prompt: &str) -> Self {
        let hash = blake3::hash(prompt.as_bytes());
        let (head, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
        Self(u64::from_le_bytes(*head))
    }

    /// Returns the token with index `seq`: a space and six hexadecimal digits.
    pub fn token(self, seq: u64) -> CompactString {
        format_compact!(" {:06x}", mix_bits(self.0, seq) >> 40)
    }

    /// Returns the text of the first `count` tokens.
    pub fn text(self, count: u64) -> String {
        (0..count).map(|seq| self.token(seq)).collect()
    }
}

/// Returns the token with index `seq` of the answer to `prompt`.
///
/// Hashes the whole prompt; use an [`Answer`] if many tokens are needed.
pub fn token(prompt: &str, seq: u64) -> CompactString {
    Answer::for_prompt(prompt).token(seq)
}

/// Applies the finalizer of SplitMix64 to the hash and the index.
fn mix_bits(hash: u64, seq: u64) -> u64 {
    let mut z = hash.wrapping_add(seq.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
