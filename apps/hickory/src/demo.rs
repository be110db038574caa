//! The demo.

use crate::args::Demo;
use crate::failure::Failure;

/// Runs the demo.
pub(crate) fn run(_options: &Demo) -> Result<(), Failure> {
    Err(Failure::Local("the demo is not there yet".to_owned()))
}
