//! What a request weighs: tokens to prefill, tokens to generate, and KV
//! memory over time, never a count of requests.

use hickory_unit::size;

/// Who waits for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A person waits.
    Interactive,
    /// It may wait, but must arrive.
    Batch,
}

/// The weight of a request on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens to prefill.
    pub prefill: size::Tokens,
    /// Tokens to generate at most.
    pub decode: size::Tokens,
}

impl Cost {
    /// KV cache at its greatest: the prompt and the whole answer.
    pub fn kv(self) -> size::Tokens {
        self.prefill + self.decode
    }
}
