//! Validates that an answer is complete and belongs to its request.
//!
//! Stand-in engines derive each token from the prompt and the token's index, so a
//! caller can detect lost and repeated tokens and those of another answer.

use compact_str::CompactString;
use derive_more::{Display, Error};
use serde::Serialize;

/// Number of tokens before and after the expected one that are compared with an
/// unexpected token, to distinguish a gap or a repetition from foreign text.
const SEARCH_WINDOW: u64 = 16;

/// An error in an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Tokens before this one are missing.
    #[display("tokens {expected} to {got} are missing")]
    Gap {
        /// The expected index.
        expected: u64,
        /// The received index.
        got: u64,
    },
    /// A token was repeated.
    #[display("token {got} came again, {expected} was due")]
    Repeated {
        /// The expected index.
        expected: u64,
        /// The received index.
        got: u64,
    },
    /// The text matches no nearby token of this answer.
    #[display("token {expected} is not of this answer")]
    Foreign {
        /// The expected index.
        expected: u64,
    },
    /// The answer has more tokens than requested.
    #[display("more tokens than the {count} asked for")]
    Surplus {
        /// Number of tokens requested.
        count: u64,
    },
    /// The end marker arrived before the last token.
    #[display("ended after {got} of {count} tokens")]
    Short {
        /// Number of tokens requested.
        count: u64,
        /// Number of tokens received.
        got: u64,
    },
    /// The server's token count differs from the number of tokens received.
    #[display("the server counts {told} tokens, {got} came")]
    Miscounted {
        /// The server's token count.
        told: u64,
        /// Number of tokens received.
        got: u64,
    },
    /// More data arrived after the end marker.
    #[display("text after the end")]
    AfterEnd,
}

/// Validates the tokens of one answer in the order of arrival.
#[derive(Clone, Debug)]
pub struct Check<F> {
    token_at: F,
    count: u64,
    received: u64,
    ended: bool,
}

impl<F: Fn(u64) -> CompactString> Check<F> {
    /// Creates a check for an answer of `count` tokens. `token_at` returns the
    /// expected text of the token with the given index.
    pub fn open(count: u64, token_at: F) -> Self {
        Self { token_at, count, received: 0, ended: false }
    }

    /// Returns the number of correct tokens received.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns whether the end marker has arrived.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Validates the next token.
    pub fn token(&mut self, text: &str) -> Result<(), Fault> {
        if self.ended {
            return Err(Fault::AfterEnd);
        }
        if self.received == self.count {
            return Err(Fault::Surplus { count: self.count });
        }
        if (self.token_at)(self.received) != text {
            return Err(self.classify_mismatch(text));
        }
        self.received += 1;
        Ok(())
    }

    /// Validates the text of a complete answer token by token.
    pub fn text(&mut self, text: &str) -> Result<(), Fault> {
        let mut rest = text;
        while !rest.is_empty() {
            let length = (self.token_at)(self.received).len().min(rest.len());
            let cut = (length..=rest.len()).find(|cut| rest.is_char_boundary(*cut));
            let (token, tail) = rest.split_at(cut.unwrap_or(rest.len()));
            self.token(token)?;
            rest = tail;
        }
        Ok(())
    }

    /// Validates the end marker and the server's token count, if it sends one.
    pub fn end(&mut self, server_count: Option<u64>) -> Result<(), Fault> {
        if std::mem::replace(&mut self.ended, true) {
            return Err(Fault::AfterEnd);
        }
        match server_count {
            _ if self.received < self.count => {
                Err(Fault::Short { count: self.count, got: self.received })
            }
            Some(told) if told != self.received => {
                Err(Fault::Miscounted { told, got: self.received })
            }
            _ => Ok(()),
        }
    }

    fn classify_mismatch(&self, text: &str) -> Fault {
        let expected = self.received;
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
