//! Deserialization of figures from other processes within their ranges, for
//! `#[serde(deserialize_with = "...")]`.

use crate::clock::MAX_TIME;
use crate::size::Tokens;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::time::Duration;

/// Reads a time of at most [`MAX_TIME`].
///
/// # Errors
///
/// Returns an error if the time is longer or malformed.
pub fn time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let time = Duration::deserialize(deserializer)?;
    check(time, time <= MAX_TIME, "a time", MAX_TIME.as_secs())
}

/// Reads a time of at most [`MAX_TIME`], if there is one.
///
/// # Errors
///
/// Returns an error if the time is longer or malformed.
pub fn optional_time<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    let time = Option::<Duration>::deserialize(deserializer)?;
    check(time, time.is_none_or(|time| time <= MAX_TIME), "a time", MAX_TIME.as_secs())
}

/// Reads a number of tokens of at most [`Tokens::MAX`].
///
/// # Errors
///
/// Returns an error if the number is greater or malformed.
pub fn tokens<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Tokens, D::Error> {
    let tokens = Tokens::deserialize(deserializer)?;
    check(tokens, tokens <= Tokens::MAX, "a number of tokens", Tokens::MAX.0)
}

/// Reads a number of tokens of at most [`Tokens::MAX`], if there is one.
///
/// # Errors
///
/// Returns an error if the number is greater or malformed.
pub fn optional_tokens<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Tokens>, D::Error> {
    let tokens = Option::<Tokens>::deserialize(deserializer)?;
    let is_in_range = tokens.is_none_or(|tokens| tokens <= Tokens::MAX);
    check(tokens, is_in_range, "a number of tokens", Tokens::MAX.0)
}

/// Reads a finite number of at least 0.
///
/// # Errors
///
/// Returns an error if the number is negative, infinite, not a number or malformed.
pub fn finite<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f32, D::Error> {
    let number = f32::deserialize(deserializer)?;
    check(number, (0.0..=f32::MAX).contains(&number), "a finite number", u64::MAX)
}

fn check<T, E: Error>(value: T, is_in_range: bool, what: &str, most: u64) -> Result<T, E> {
    match is_in_range {
        true => Ok(value),
        false => Err(E::custom(format_args!("expected {what} of 0 to {most}"))),
    }
}
