//! Hashes of the leading blocks of a prompt, which name prefixes in engines and their cache events.
//!
//! The hash of block `n` is the first eight bytes, little endian, of the BLAKE3 hash of the prompt
//! from its start to the end of the block. Equal hashes therefore mean that the prompts are equal
//! up to the end of the block.

use hickory_unit::size;

/// Number of tokens in a block.
pub const BLOCK_TOKENS: size::Tokens = size::Tokens(256);

/// Number of prompt bytes in a block.
pub const BLOCK_BYTES: usize = (BLOCK_TOKENS.0 * size::BYTES_PER_TOKEN) as usize;

/// Returns the hashes of the complete leading blocks of `prompt`; an incomplete last block is
/// ignored.
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
