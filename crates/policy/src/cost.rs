//! What a request weighs: tokens to prefill, tokens to generate, and KV
//! memory over time, never a count of requests.

use hickory_unit::size;

/// Prompts longer than this are long work.
///
/// A long prompt holds an engine's prefill for seconds. At 32k tokens and
/// the tens of thousands of tokens a second that engines prefill, that is
/// about the longest that a person can be kept waiting behind.
pub const LONG_PROMPT: size::Tokens = size::Tokens(32_768);

/// Prefill tokens that one generated token weighs. A decode step of a busy
/// batch takes about a fifth of a millisecond for each stream, in which an
/// engine could prefill eight tokens.
const DECODE_TOKEN_WEIGHT: u64 = 8;

/// Token-steps of KV memory that weigh as much as one prefilled token. A
/// stream that holds 64k tokens of KV cache makes each decode step of its
/// engine longer, and keeps the memory from others, as long as it decodes.
const KV_TOKEN_STEPS_PER_PREFILL_TOKEN: u64 = 65_536;

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

    /// Whether this is long work, which is kept to few engines and to a part
    /// of each.
    pub fn is_long(self) -> bool {
        self.prefill > LONG_PROMPT
    }

    /// What is charged to the share that pays, in prefill tokens: prefill,
    /// decode, and KV memory over the steps of the decode. At least one, so
    /// that a call of a plain service weighs something too.
    pub fn work(self) -> u64 {
        let decode = self.decode.0.saturating_mul(DECODE_TOKEN_WEIGHT);
        let memory = self.kv().0.saturating_mul(self.decode.0) / KV_TOKEN_STEPS_PER_PREFILL_TOKEN;
        self.prefill.0.saturating_add(decode).saturating_add(memory).max(1)
    }
}
