//! The credentials of client accounts.

use hickory_unit::id;

/// A client account with its token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credential {
    /// The account.
    pub account: id::Account,
    /// The token.
    pub token: String,
}
