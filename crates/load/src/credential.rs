//! What callers prove their account with.

use hickory_unit::id;

/// An account with its token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credential {
    /// The account.
    pub account: id::Account,
    /// The token.
    pub token: String,
}
