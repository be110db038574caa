//! Hashes of the leading blocks of a prompt, as engines and their cache
//! events name them.
//!
//! Block `n` is named by the first eight bytes, little endian, of the BLAKE3
//! hash of the prompt's bytes from its start to the end of the block, so that
//! equal names mean equal prompts up to there.

use hickory_unit::size;

/// Tokens in a block.
pub const BLOCK_TOKENS: size::Tokens = size::Tokens(256);

/// Bytes of prompt in a block.
pub const BLOCK_BYTES: usize = (BLOCK_TOKENS.0 * size::BYTES_PER_TOKEN) as usize;

/// The hashes of the whole leading blocks of `prompt`; an incomplete last
/// block has none.
pub fn hash_blocks(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let hashes = blocks.map(|block| {
        hasher.update(block);
        let hash = hasher.finalize();
        let (head, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
        u64::from_le_bytes(*head)
    });
    hashes.collect()
}
