//! Whether an answer is the whole answer to its own request.
//!
//! Stand-in engines derive each token from the prompt and its index, so a
//! caller can tell a lost, doubled or foreign token from a right one.

use compact_str::CompactString;
use derive_more::{Display, Error};
use serde::Serialize;

/// How far around the expected token a wrong one is looked for, to tell a gap
/// or a repetition from foreign text.
const SEARCH_WINDOW: u64 = 16;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Tokens before this one are missing.
    #[display("tokens {expected} to {got} are missing")]
    Gap {
        /// The index that was due.
        expected: u64,
        /// The index that came.
        got: u64,
    },
    /// A token came again.
    #[display("token {got} came again, {expected} was due")]
    Repeated {
        /// The index that was due.
        expected: u64,
        /// The index that came.
        got: u64,
    },
    /// The text belongs to no nearby token of this answer.
    #[display("token {expected} is not of this answer")]
    Foreign {
        /// The index that was due.
        expected: u64,
    },
    /// More tokens than were asked for.
    #[display("more tokens than the {count} asked for")]
    Surplus {
        /// Tokens asked for.
        count: u64,
    },
    /// The explicit end came before the last token.
    #[display("ended after {got} of {count} tokens")]
    Short {
        /// Tokens asked for.
        count: u64,
        /// Tokens that came.
        got: u64,
    },
    /// The server counts other tokens than came.
    #[display("the server counts {told} tokens, {got} came")]
    Miscounted {
        /// Tokens by the server's count.
        told: u64,
        /// Tokens that came.
        got: u64,
    },
    /// Something came after the explicit end.
    #[display("text after the end")]
    AfterEnd,
}

/// Checks the tokens of one answer in the order they arrive.
#[derive(Clone, Debug)]
pub struct Check<F> {
    token_at: F,
    count: u64,
    seen: u64,
    ended: bool,
}

impl<F: Fn(u64) -> CompactString> Check<F> {
    /// A check of an answer of `count` tokens, where `derive` gives the text
    /// of the token with an index.
    pub fn open(count: u64, token_at: F) -> Self {
        Self { token_at, count, seen: 0, ended: false }
    }

    /// Tokens that came and were right.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Whether the explicit end came.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Takes one token in.
    pub fn token(&mut self, text: &str) -> Result<(), Fault> {
        if self.ended {
            return Err(Fault::AfterEnd);
        }
        if self.seen == self.count {
            return Err(Fault::Surplus { count: self.count });
        }
        if (self.token_at)(self.seen) != text {
            return Err(self.classify_mismatch(text));
        }
        self.seen += 1;
        Ok(())
    }

    /// Takes the text of a whole answer in.
    pub fn text(&mut self, text: &str) -> Result<(), Fault> {
        let mut rest = text;
        while !rest.is_empty() {
            let length = (self.token_at)(self.seen).len().min(rest.len());
            let cut = (length..=rest.len()).find(|cut| rest.is_char_boundary(*cut));
            let (token, tail) = rest.split_at(cut.unwrap_or(rest.len()));
            self.token(token)?;
            rest = tail;
        }
        Ok(())
    }

    /// Takes the explicit end in, with the server's count if it gives one.
    pub fn end(&mut self, told: Option<u64>) -> Result<(), Fault> {
        if std::mem::replace(&mut self.ended, true) {
            return Err(Fault::AfterEnd);
        }
        match told {
            _ if self.seen < self.count => Err(Fault::Short { count: self.count, got: self.seen }),
            Some(told) if told != self.seen => Err(Fault::Miscounted { told, got: self.seen }),
            _ => Ok(()),
        }
    }

    fn classify_mismatch(&self, text: &str) -> Fault {
        let expected = self.seen;
        let matches = |seq: &u64| (self.token_at)(*seq) == text;
        let ahead = (expected + 1..expected + SEARCH_WINDOW).find(matches);
        let behind = (expected.saturating_sub(SEARCH_WINDOW)..expected).rev().find(matches);
        match (ahead, behind) {
            (Some(got), _) => Fault::Gap { expected, got },
            (None, Some(got)) => Fault::Repeated { expected, got },
            (None, None) => Fault::Foreign { expected },
        }
    }
}
