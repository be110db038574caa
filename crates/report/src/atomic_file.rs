//! Atomic writing of files.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Writes a temporary file in the same directory and renames it to `path` once it
/// is complete, so that an existing file is kept until then.
///
/// # Errors
///
/// Fails if the file can't be written or renamed; the temporary file is removed.
pub fn write(path: &Path, text: &str) -> io::Result<()> {
    let temporary = temporary_path(path)?;
    let file = OpenOptions::new().write(true).create_new(true).open(&temporary)?;
    let result = write_all(file, text).and_then(|()| fs::rename(&temporary, path));
    if result.is_err() {
        // The caller gets the first error, not one of the cleanup.
        let _ = fs::remove_file(&temporary);
    }
    result
}

fn temporary_path(path: &Path) -> io::Result<PathBuf> {
    let Some(name) = path.file_name() else {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "the path has no file name"));
    };
    let name = format!(".{}.{}.part", name.to_string_lossy(), std::process::id());
    Ok(path.with_file_name(name))
}

fn write_all(mut file: File, text: &str) -> io::Result<()> {
    file.write_all(text.as_bytes())?;
    file.sync_all()
}
