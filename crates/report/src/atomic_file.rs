//! Puts a file down whole or not at all.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Writes a file beside its place and moves it there once it is whole, so that
/// a file that was there before stays until then.
///
/// # Errors
///
/// The file can't be written or moved; nothing is left of it.
pub fn write(path: &Path, text: &str) -> io::Result<()> {
    let temporary = temporary_path(path)?;
    let file = OpenOptions::new().write(true).create_new(true).open(&temporary)?;
    let result = write_all(file, text).and_then(|()| fs::rename(&temporary, path));
    if result.is_err() {
        // The first error is the one to tell of.
        let _ = fs::remove_file(&temporary);
    }
    result
}

fn temporary_path(path: &Path) -> io::Result<PathBuf> {
    let Some(name) = path.file_name() else {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "it names no file"));
    };
    let name = format!(".{}.{}.part", name.to_string_lossy(), std::process::id());
    Ok(path.with_file_name(name))
}

fn write_all(mut file: File, text: &str) -> io::Result<()> {
    file.write_all(text.as_bytes())?;
    file.sync_all()
}
