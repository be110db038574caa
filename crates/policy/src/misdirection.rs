//! What follows when a target answers that a request is misdirected.
//!
//! Load pattern: callers name a version of the weights that the targets don't have. Each target that
//! rejects such a request is sound, and rejects it in the same way as a target that has taken over
//! the address of another one. Taking the first for the second takes a whole service out of use by a
//! few requests of one caller.

/// The cause of such an answer, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misdirection {
    /// Another target has the address.
    Address,
    /// The request names something that the target doesn't have; other requests aren't concerned.
    Request,
    /// Either of them. Another request or a health check has to tell.
    Unknown,
}

impl Misdirection {
    /// Finds the cause. `is_expected_target` says whether the answer states the ID that the request
    /// was sent to; it is `None` if the answer states none. `names_version` says whether the caller
    /// named a version of the weights, which is the only other condition of a request.
    pub fn new(is_expected_target: Option<bool>, names_version: bool) -> Self {
        match (is_expected_target, names_version) {
            (Some(false), _) | (None, false) => Self::Address,
            (Some(true), _) => Self::Request,
            (None, true) => Self::Unknown,
        }
    }
}
