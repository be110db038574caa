//! Placeholder until the first slice.
