//! The one layer through which all that must outlive a process is written and read. As it stands it is the system's files.
//! Where a storm asks for it ([`lie_by`], a hidden option), it lies as disks do: what is not synced is held back as if in a
//! page cache that a power cut takes, syncs that say they succeed keep nothing, calls fail, take long, or bring other bytes.
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::time::Duration;

/// How disks lie, by the names that a storm's plan gives.
pub const LIES: [&str; 9] = [
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
pub fn lie_by(file: PathBuf) {
    let _ = LIE.set(file);
}

/// The lie that is on now.
fn lie() -> Option<String> {
    let text = fs::read_to_string(LIE.get()?).ok()?;
    Some(text.trim().to_string()).filter(|name| !name.is_empty())
}

fn is(name: &str) -> bool {
    match lie() {
        Some(lie) if lie == "slow" => {
            std::thread::sleep(HANGS);
            false
        }
        lie => lie.as_deref() == Some(name),
    }
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
        if is("write-fails") {
            return Err(fails(io::ErrorKind::Other));
        }
        let short = is("write-short") || is("no-space");
        self.held.extend_from_slice(if short { &bytes[..bytes.len() / 2] } else { bytes });
        if is("no-space") {
            return Err(fails(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    /// # Errors
    /// Those of the file system. What was written since the last sync that succeeded is not to be relied on from then on.
    pub fn sync(&mut self) -> io::Result<()> {
        if LIE.get().is_some() {
            if is("sync-lies") {
                return Ok(());
            }
            let held = std::mem::take(&mut self.held);
            if is("sync-fails") {
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
    if is("rename-fails") {
        return Err(fails(io::ErrorKind::Other));
    }
    fs::rename(from, to)
}

/// # Errors
/// Those of the file system; a rename may be lost by a power cut then.
pub fn sync_folder(dir: &Path) -> io::Result<()> {
    if is("sync-lies") {
        return Ok(());
    }
    fs::File::open(dir)?.sync_all()
}

/// # Errors
/// Those of the file system, also that there is no such file.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = fs::read(path)?;
    if is("read-fails") {
        return Err(fails(io::ErrorKind::Other));
    }
    if is("read-flips") && !bytes.is_empty() {
        // One bit, in the middle of what is there.
        let at = bytes.len() / 2;
        bytes[at] ^= 0x10;
    }
    Ok(bytes)
}
