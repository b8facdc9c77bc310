//! The layer through which all persistent files are written and read. Normally it passes calls on to the file
//! system. For fault tests ([`inject_faults_from`], a hidden option) it simulates failing disks: writes that
//! are not synced are held back, as if in a page cache that a power cut loses, syncs report success without
//! effect, calls fail or take long, and reads return altered bytes.
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::time::Duration;

/// The names of the injected faults, as used in the plans of fault tests.
pub const FAULT_NAMES: [&str; 9] = [
    "sync-lies",
    "sync-fails",
    "write-short",
    "write-fails",
    "no-space",
    "rename-fails",
    "read-fails",
    "read-flips",
    "slow",
];

/// How long a slow call takes.
const SLOW_CALL: Duration = Duration::from_secs(5);

static FAULT_FILE: OnceLock<PathBuf> = OnceLock::new();

/// Sets the file whose text names the current fault; an empty or missing file means none. Called once, at
/// start.
pub fn inject_faults_from(file: PathBuf) {
    let _ = FAULT_FILE.set(file);
}

/// The current fault, read once per call. A slow call sleeps here.
fn current_fault() -> Option<String> {
    let text = fs::read_to_string(FAULT_FILE.get()?).ok()?;
    let name = text.trim();
    if name == "slow" {
        std::thread::sleep(SLOW_CALL);
    }
    Some(name.to_string())
}

fn fault_error(kind: io::ErrorKind) -> io::Error {
    io::Error::new(kind, "injected disk fault")
}

/// A file that is created or truncated for writing.
pub struct File {
    inner: fs::File,
    /// Data that is not synced yet, if faults may be injected; lost with the process.
    unsynced: Vec<u8>,
}

impl File {
    /// # Errors
    /// Errors of the file system.
    pub fn create(path: &Path) -> io::Result<File> {
        Ok(File { inner: fs::File::create(path)?, unsynced: Vec::new() })
    }

    /// # Errors
    /// Errors of the file system; part of the data may have been written.
    pub fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        if FAULT_FILE.get().is_none() {
            return self.inner.write_all(bytes);
        }
        let half = &bytes[..bytes.len() / 2];
        match current_fault().as_deref() {
            Some("write-fails") => return Err(fault_error(io::ErrorKind::Other)),
            Some("no-space") => {
                self.unsynced.extend_from_slice(half);
                return Err(fault_error(io::ErrorKind::StorageFull));
            }
            Some("write-short") => self.unsynced.extend_from_slice(half),
            _ => self.unsynced.extend_from_slice(bytes),
        }
        Ok(())
    }

    /// # Errors
    /// Errors of the file system. Data written since the last successful sync can no longer be relied on.
    pub fn sync(&mut self) -> io::Result<()> {
        if FAULT_FILE.get().is_some() {
            let fault = current_fault();
            if fault.as_deref() == Some("sync-lies") {
                return Ok(());
            }
            let unsynced = std::mem::take(&mut self.unsynced);
            if fault.as_deref() == Some("sync-fails") {
                return Err(fault_error(io::ErrorKind::Other));
            }
            self.inner.write_all(&unsynced)?;
        }
        self.inner.sync_all()
    }
}

/// # Errors
/// Errors of the file system; both files are then unchanged.
pub fn rename(from: &Path, to: &Path) -> io::Result<()> {
    if current_fault().as_deref() == Some("rename-fails") {
        return Err(fault_error(io::ErrorKind::Other));
    }
    fs::rename(from, to)
}

/// # Errors
/// Errors of the file system; a power cut may then undo a rename.
pub fn sync_dir(dir: &Path) -> io::Result<()> {
    if current_fault().as_deref() == Some("sync-lies") {
        return Ok(());
    }
    fs::File::open(dir)?.sync_all()
}

/// # Errors
/// Errors of the file system, including that the file does not exist.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = fs::read(path)?;
    match current_fault().as_deref() {
        Some("read-fails") => return Err(fault_error(io::ErrorKind::Other)),
        // Flips one bit in the middle of the data.
        Some("read-flips") if !bytes.is_empty() => {
            let at = bytes.len() / 2;
            bytes[at] ^= 0x10;
        }
        _ => {}
    }
    Ok(bytes)
}

/// Replaces a file atomically, so that a reader finds the old or the new content, also after a power cut:
/// writes a temporary file beside it, syncs it, renames it over the old file and syncs the directory. The
/// returned file is open for appending.
///
/// # Errors
/// Errors of the file system; the old file is then unchanged.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync()?;
    rename(&temporary, path)?;
    if let Some(dir) = path.parent().filter(|dir| !dir.as_os_str().is_empty()) {
        sync_dir(dir)?;
    }
    Ok(file)
}

/// Reads a file; returns `None` if it does not exist.
///
/// # Errors
/// Errors of the file system.
pub fn load(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(err) => Err(err),
    }
}
