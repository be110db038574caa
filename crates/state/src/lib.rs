//! State that the nodes of a fleet agree on through the platform's key-value service:
//! membership, configuration, ownership of targets, and the claims of requests that must
//! not run twice.
//!
//! Each part consists of a pure state machine, which turns replies, events and the time
//! into the next call, and a thin driver that makes the calls:
//!
//! | part          | driver     | pure state machine                             |
//! |---------------|------------|------------------------------------------------|
//! | membership    | [`member`] | [`lease`]                                      |
//! | configuration | [`config`] | [`head`]                                       |
//! | ownership     | [`owner`]  | [`assign`], [`plan`], [`allowance`], [`table`] |
//! | claims        | [`claim`]  | [`group_commit`], [`page`]                     |
//!
//! [`follow`] keeps a local copy of watched keys for the first three, [`retry`]
//! implements the backoff, and [`rank`] orders the nodes for each target.

pub mod allowance;
pub mod assign;
pub mod claim;
pub mod config;
pub mod follow;
pub mod group_commit;
pub mod head;
pub mod lease;
pub mod member;
mod operation;
pub mod owner;
pub mod page;
pub mod plan;
pub mod rank;
pub mod retry;
pub mod table;
