//! Cost of a request: tokens to prefill, tokens to generate, and KV memory over time. Requests are
//! always weighted by this cost and never just counted.

use hickory_unit::size;

/// Prompts longer than this are long.
///
/// A long prompt occupies the prefill of an engine for seconds. With 32k tokens, at the tens of
/// thousands of tokens that engines prefill per second, the delay is about the longest that is
/// acceptable for an interactive request behind it.
pub const LONG_PROMPT: size::Tokens = size::Tokens(32_768);

/// Prefill tokens that cost as much as one generated token. A decode step of a busy batch takes
/// about a fifth of a millisecond per stream, in which an engine could prefill eight tokens.
const DECODE_TOKEN_WEIGHT: u64 = 8;

/// KV memory, in tokens times decode steps, that costs as much as one prefilled token. A stream
/// with 64k tokens of KV cache lengthens each decode step of its engine and occupies the memory for
/// as long as it decodes.
const KV_TOKEN_STEPS_PER_PREFILL_TOKEN: u64 = 65_536;

/// Service class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A person waits for the answer.
    Interactive,
    /// The request may wait, but must complete.
    Batch,
}

/// The cost of a request on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens to prefill.
    pub prefill: size::Tokens,
    /// Maximum number of tokens to generate.
    pub decode: size::Tokens,
}

impl Cost {
    /// Returns the maximum KV cache: the prompt and the whole answer.
    pub fn kv(self) -> size::Tokens {
        self.prefill + self.decode
    }

    /// Whether the prompt is long. Long prompts are restricted to few engines and to a part of
    /// each.
    pub fn is_long(self) -> bool {
        self.prefill > LONG_PROMPT
    }

    /// Returns the work that is charged to the partner's share, in prefill tokens: prefill, decode,
    /// and KV memory over the decode steps. It is at least one, so that calls of plain services are
    /// charged too.
    pub fn work(self) -> u64 {
        let decode = self.decode.0.saturating_mul(DECODE_TOKEN_WEIGHT);
        let memory = self.kv().0.saturating_mul(self.decode.0) / KV_TOKEN_STEPS_PER_PREFILL_TOKEN;
        self.prefill.0.saturating_add(decode).saturating_add(memory).max(1)
    }
}
