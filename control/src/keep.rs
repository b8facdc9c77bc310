//! One file, replaced atomically: a reader finds the old text or the new one, whole, also after a power cut.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Writes beside the file, syncs, renames over it, syncs the folder.
///
/// # Errors
/// Those of the file system; the old file then stands as it was.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    match path.parent() {
        Some(dir) if !dir.as_os_str().is_empty() => File::open(dir)?.sync_all(),
        _ => Ok(()),
    }
}

/// The file's text; none when there is no such file.
pub fn load(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(err) => Err(err),
    }
}
