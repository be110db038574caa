//! Identifiers, sizes, rates and the clock that every hickoryrun package shares.
//!
//! Each identifier is a newtype with `Display` and `FromStr`, so that a zone
//! can't be passed where a target is expected.
//!
//! ```
//! use hickory_unit::{id, size};
//!
//! let zone: id::Zone = "lisbon-a".parse().unwrap();
//! assert_eq!(zone.to_string(), "lisbon-a");
//! assert_eq!(size::Tokens(3) + size::Tokens(4), size::Tokens(7));
//! ```

pub mod bounded;
pub mod clock;
pub mod finding;
pub mod hash;
pub mod id;
pub mod rate;
pub mod size;
