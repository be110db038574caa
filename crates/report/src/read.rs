//! Reads logs line by line.

use crate::line::{Fault, read_line};
use crate::tally::Tally;
use std::io::{self, BufRead};

/// The longest line that is read: a node's lines are far shorter.
pub const LINE_MAX_BYTES: usize = 65_536;

/// Reads a log to its end; `name` is what its places are named by. Lines that
/// can't be read are counted and passed over.
///
/// # Errors
///
/// The log can't be read.
pub fn read_lines(mut log: impl BufRead, name: &str, tally: &mut Tally) -> io::Result<()> {
    let mut line = Vec::new();
    let mut number = 0u64;
    while let Some(whole) = take_line(&mut log, &mut line)? {
        number += 1;
        if whole && line.trim_ascii().is_empty() {
            continue;
        }
        let place = format!("{name}:{number}");
        let read = if whole { read_line(&line) } else { Err(Fault::Length(LINE_MAX_BYTES)) };
        match read {
            Ok(line) => tally.add(&place, &line),
            Err(fault) => tally.skip(&place, &fault),
        }
    }
    Ok(())
}

/// Takes a line, and says whether it is whole: of one that is too long, only the
/// beginning is kept. `None` at the end.
fn take_line(log: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<Option<bool>> {
    line.clear();
    let mut length = 0;
    loop {
        let bytes = match log.fill_buf() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            bytes => bytes?,
        };
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let part = end.unwrap_or(bytes.len());
        let is_over = bytes.is_empty();
        let room = LINE_MAX_BYTES - line.len();
        line.extend_from_slice(&bytes[..part.min(room)]);
        length += part;
        log.consume(part + usize::from(end.is_some()));
        if end.is_some() || (is_over && length > 0) {
            return Ok(Some(length <= LINE_MAX_BYTES));
        }
        if is_over {
            return Ok(None);
        }
    }
}
