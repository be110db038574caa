//! Reads a log line by line.

use crate::line::{LineError, parse_line};
use crate::tally::Tally;
use std::io::{self, BufRead};

/// Maximum length of a line. The lines that nodes write are far shorter.
pub const MAX_LINE_BYTES: usize = 65_536;

/// Reads a log to its end and counts its lines in `tally`. Unreadable lines are
/// counted and skipped; they are reported by `name` and line number.
///
/// # Errors
///
/// Fails if the log can't be read.
pub fn read_lines(mut log: impl BufRead, name: &str, tally: &mut Tally) -> io::Result<()> {
    let mut line = Vec::new();
    let mut number = 0u64;
    while let Some(is_complete) = read_raw_line(&mut log, &mut line)? {
        number += 1;
        if is_complete && line.trim_ascii().is_empty() {
            continue;
        }
        let place = format!("{name}:{number}");
        let parsed =
            if is_complete { parse_line(&line) } else { Err(LineError::TooLong(MAX_LINE_BYTES)) };
        match parsed {
            Ok(line) => tally.add(&place, &line),
            Err(error) => tally.add_unreadable(&place, &error),
        }
    }
    Ok(())
}

/// Reads the next line into `line` and returns whether it is complete. A line that
/// is too long is truncated. Returns `None` at the end of the log.
fn read_raw_line(log: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<Option<bool>> {
    line.clear();
    let mut length = 0;
    loop {
        let bytes = match log.fill_buf() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            bytes => bytes?,
        };
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let segment_length = end.unwrap_or(bytes.len());
        let is_at_end = bytes.is_empty();
        let capacity = MAX_LINE_BYTES - line.len();
        line.extend_from_slice(&bytes[..segment_length.min(capacity)]);
        length += segment_length;
        log.consume(segment_length + usize::from(end.is_some()));
        if end.is_some() || (is_at_end && length > 0) {
            return Ok(Some(length <= MAX_LINE_BYTES));
        }
        if is_at_end {
            return Ok(None);
        }
    }
}
