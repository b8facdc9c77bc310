//! The one layer through which all that must outlive a process is written and read. As it stands it is the system's files.
//! Where a storm asks for it ([`inject_faults_from`], a hidden option), it lies as disks do: what is not synced is held back as if in a
//! page cache that a power cut takes, syncs that say they succeed keep nothing, calls fail, take long, or bring other bytes.
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::time::Duration;

/// How disks lie, by the names that a storm's plan gives.
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

/// A call that hangs, for so long.
const HANGS: Duration = Duration::from_secs(5);

static LIE: OnceLock<PathBuf> = OnceLock::new();

/// From now on this file's text is how the disk lies; none, or nothing in it: it does not. Said once, at start.
pub fn inject_faults_from(file: PathBuf) {
    let _ = LIE.set(file);
}

/// The lie that is on now, looked at once a call; one that is slow has taken its time by then.
fn lie() -> Option<String> {
    let text = fs::read_to_string(LIE.get()?).ok()?;
    let name = text.trim();
    if name == "slow" {
        std::thread::sleep(HANGS);
    }
    Some(name.to_string())
}

fn fails(kind: io::ErrorKind) -> io::Error {
    io::Error::new(kind, "the disk says so")
}

/// A new file, or one written anew.
pub struct File {
    real: fs::File,
    /// Not synced yet, where the layer may lie: gone with the process.
    held: Vec<u8>,
}

impl File {
    /// # Errors
    /// Those of the file system.
    pub fn create(path: &Path) -> io::Result<File> {
        Ok(File { real: fs::File::create(path)?, held: Vec::new() })
    }

    /// # Errors
    /// Those of the file system; a part may have been written then.
    pub fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        if LIE.get().is_none() {
            return self.real.write_all(bytes);
        }
        let half = &bytes[..bytes.len() / 2];
        match lie().as_deref() {
            Some("write-fails") => return Err(fails(io::ErrorKind::Other)),
            Some("no-space") => {
                self.held.extend_from_slice(half);
                return Err(fails(io::ErrorKind::StorageFull));
            }
            Some("write-short") => self.held.extend_from_slice(half),
            _ => self.held.extend_from_slice(bytes),
        }
        Ok(())
    }

    /// # Errors
    /// Those of the file system. What was written since the last sync that succeeded is not to be relied on from then on.
    pub fn sync(&mut self) -> io::Result<()> {
        if LIE.get().is_some() {
            let lie = lie();
            if lie.as_deref() == Some("sync-lies") {
                return Ok(());
            }
            let held = std::mem::take(&mut self.held);
            if lie.as_deref() == Some("sync-fails") {
                return Err(fails(io::ErrorKind::Other));
            }
            self.real.write_all(&held)?;
        }
        self.real.sync_all()
    }
}

/// # Errors
/// Those of the file system; both files then stand as they were.
pub fn rename(from: &Path, to: &Path) -> io::Result<()> {
    if lie().as_deref() == Some("rename-fails") {
        return Err(fails(io::ErrorKind::Other));
    }
    fs::rename(from, to)
}

/// # Errors
/// Those of the file system; a rename may be lost by a power cut then.
pub fn sync_folder(dir: &Path) -> io::Result<()> {
    if lie().as_deref() == Some("sync-lies") {
        return Ok(());
    }
    fs::File::open(dir)?.sync_all()
}

/// # Errors
/// Those of the file system, also that there is no such file.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = fs::read(path)?;
    match lie().as_deref() {
        Some("read-fails") => return Err(fails(io::ErrorKind::Other)),
        // One bit, in the middle of what is there.
        Some("read-flips") if !bytes.is_empty() => {
            let at = bytes.len() / 2;
            bytes[at] ^= 0x10;
        }
        _ => {}
    }
    Ok(bytes)
}

/// Replaces a file as a whole, so that a reader finds the old text or the new one, also after a power cut: writes beside it,
/// syncs, renames over it, syncs the folder. The file stays open for what is to be written behind.
///
/// # Errors
/// Those of the file system; the old file then stands as it was.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync()?;
    rename(&beside, path)?;
    if let Some(dir) = path.parent().filter(|dir| !dir.as_os_str().is_empty()) {
        sync_folder(dir)?;
    }
    Ok(file)
}

/// A file's bytes; none when there is no such file.
///
/// # Errors
/// Those of the file system.
pub fn load(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(err) => Err(err),
    }
}
