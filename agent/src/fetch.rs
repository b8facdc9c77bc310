//! One fetch: the refresh of what is trusted, then the artefact piece by piece. A state machine over HTTP
//! answers; its caller makes the calls.
use rockpick_control::atomic_file;
use rockpick_trust::client::{Refresh, Request, Trusted};
use rockpick_trust::meta::FileInfo;
use rockpick_trust::repo::MAX_ARTEFACT;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Bytes asked for at once: under the longest body that the event loop takes.
pub const PIECE: u64 = 256 * 1024;
const ROLES: [&str; 4] = ["root", "timestamp", "snapshot", "targets"];

/// What to ask the repository for next.
#[derive(Debug, PartialEq)]
pub enum Next {
    Metadata(String),
    /// A range of a target: path, first byte, last byte.
    Piece(String, u64, u64),
    /// All bytes are here: to be checked, unpacked and put in their place by [`finish`].
    Whole,
}

pub struct Fetch {
    pub build: u32,
    dir: PathBuf,
    refresh: Refresh,
    target: Option<(FileInfo, String)>,
    got: u64,
}

/// What is trusted, from the agent's folder.
///
/// # Errors
/// A folder without a root, or one that can't be read.
pub fn trusted(dir: &Path) -> Result<Trusted, String> {
    let load = |role: &str| {
        let at = dir.join(format!("{role}.json"));
        atomic_file::load(&at).map_err(|err| format!("{}: {err}", at.display()))
    };
    let root = load("root")?.ok_or("no root is trusted here: give one with --root")?;
    Ok(Trusted {
        root,
        timestamp: load("timestamp")?,
        snapshot: load("snapshot")?,
        targets: load("targets")?,
    })
}

fn store(dir: &Path, trusted: &Trusted, before: &Trusted) -> Result<(), String> {
    let files = [
        Some(&trusted.root),
        trusted.timestamp.as_ref(),
        trusted.snapshot.as_ref(),
        trusted.targets.as_ref(),
    ];
    let olds =
        [Some(&before.root), before.timestamp.as_ref(), before.snapshot.as_ref(), before.targets.as_ref()];
    for ((role, new), old) in ROLES.iter().zip(files).zip(olds) {
        let at = dir.join(format!("{role}.json"));
        let done = match new {
            Some(bytes) if new != old => atomic_file::replace(&at, bytes),
            None if old.is_some() => fs::remove_file(&at),
            _ => Ok(()),
        };
        done.map_err(|err| format!("{}: {err}", at.display()))?;
    }
    Ok(())
}

impl Fetch {
    /// Begins with what the folder trusts; `now` in seconds since 1970.
    pub fn begin(build: u32, dir: &Path, now: i64) -> Result<Fetch, String> {
        let refresh = Refresh::new(trusted(&dir.join("trust"))?, now).map_err(|r| r.to_string())?;
        Ok(Fetch { build, dir: dir.into(), refresh, target: None, got: 0 })
    }

    fn part(&self, file: &FileInfo) -> PathBuf {
        let hash = file.hashes.get("sha256").map_or("none", |h| h.as_str());
        self.dir.join("parts").join(format!("{hash}.part"))
    }

    pub fn next(&self) -> Next {
        if let Request::File { name, .. } = self.refresh.next_request() {
            return Next::Metadata(name);
        }
        match &self.target {
            Some((file, path)) if self.got < file.length.unwrap_or(0) => {
                let last = (self.got + PIECE).min(file.length.unwrap_or(0)) - 1;
                Next::Piece(path.clone(), self.got, last)
            }
            _ => Next::Whole,
        }
    }

    /// Takes an answer: its status and body.
    ///
    /// # Errors
    /// Why the fetch can't go on; it is begun anew later.
    pub fn given(&mut self, status: u16, body: &[u8]) -> Result<(), String> {
        match self.next() {
            Next::Metadata(name) => {
                let Request::File { max_length, optional, .. } = self.refresh.next_request() else {
                    return Ok(());
                };
                let before = self.refresh.trusted.clone();
                let bytes = match status {
                    200 if body.len() <= max_length => Some(body),
                    200 => return Err(format!("{name}: longer than {max_length} bytes")),
                    404 if optional => None,
                    other => return Err(format!("{name}: status {other}")),
                };
                let end = self.refresh.receive(bytes).map_err(|r| format!("{name}: {r}"));
                // What was accepted on the way is trusted from here on, also when a later step fails.
                store(&self.dir.join("trust"), &self.refresh.trusted, &before)?;
                end?;
                if self.refresh.next_request() == Request::Done {
                    self.seek()?;
                }
                Ok(())
            }
            Next::Piece(path, from, last) => {
                let wanted = last - from + 1;
                if status != 206 || body.len() as u64 != wanted {
                    return Err(format!(
                        "{path}: status {status} and {} bytes where {wanted} were asked for",
                        body.len()
                    ));
                }
                let Some((file, _)) = &self.target else { return Ok(()) };
                let at = self.part(file);
                let open = OpenOptions::new().create(true).append(true).open(&at);
                open.and_then(|mut f| f.write_all(body)).map_err(|err| format!("{}: {err}", at.display()))?;
                self.got += wanted;
                Ok(())
            }
            Next::Whole => Ok(()),
        }
    }

    /// Finds the build among the targets, and what of it is here already.
    fn seek(&mut self) -> Result<(), String> {
        let name = format!("build-{}", self.build);
        let (file, path) = self.refresh.target(&name).ok_or(format!("{name}: not signed for"))?;
        let custom = file.custom.as_ref();
        if custom.and_then(|c| c["build"].as_u64()) != Some(u64::from(self.build)) {
            return Err(format!("{name}: signed for as another build"));
        }
        let length = file.length.filter(|l| (1..=MAX_ARTEFACT).contains(l));
        let length = length.ok_or(format!("{name}: empty, or over 1 GiB"))?;
        let at = self.part(&file);
        let parts = self.dir.join("parts");
        fs::create_dir_all(&parts).map_err(|err| format!("{}: {err}", parts.display()))?;
        self.got = fs::metadata(&at).map_or(0, |m| m.len());
        if self.got > length {
            fs::remove_file(&at).map_err(|err| format!("{}: {err}", at.display()))?;
            self.got = 0;
        }
        self.target = Some((file, path));
        Ok(())
    }

    /// What was signed for, and the file that holds the bytes.
    pub fn whole(&self) -> Option<(FileInfo, PathBuf)> {
        self.target.as_ref().map(|(file, _)| (file.clone(), self.part(file)))
    }
}

/// Where a build's artefact stands, and what it must hash to.
pub fn place(dir: &Path, build: u32) -> (PathBuf, PathBuf) {
    let dir = dir.join("artefacts");
    (dir.join(format!("build-{build}")), dir.join(format!("build-{build}.json")))
}

/// Checks the whole, unpacks it, and puts it in its place, to be run by its owner only.
pub fn finish(dir: &Path, build: u32, file: &FileInfo, part: &Path) -> Result<(), String> {
    use std::os::unix::fs::PermissionsExt;
    let say = |err: std::io::Error| err.to_string();
    let bytes = fs::read(part).map_err(say)?;
    // Right or wrong, these bytes are not gone on with.
    fs::remove_file(part).map_err(|err| format!("{}: {err}", part.display()))?;
    rockpick_trust::repo::verify_artefact(file, &bytes).map_err(|r| r.to_string())?;
    let plain = rockpick_trust::repo::unpack(file, &bytes).map_err(|r| r.to_string())?;
    let (at, told) = place(dir, build);
    if let Some(folder) = at.parent() {
        fs::create_dir_all(folder).map_err(say)?;
    }
    let _ = fs::remove_file(&at);
    atomic_file::replace(&at, &plain).map_err(say)?;
    fs::set_permissions(&at, fs::Permissions::from_mode(0o500)).map_err(say)?;
    let text = serde_json::json!({ "sha256": rockpick_trust::meta::sha256(&plain) }).to_string();
    atomic_file::replace(&told, text.as_bytes()).map_err(say)
}

/// Checks an artefact once more, before a start.
pub fn sound(dir: &Path, build: u32) -> Result<PathBuf, String> {
    let (at, told) = place(dir, build);
    let say = |at: &Path, err: std::io::Error| format!("{}: {err}", at.display());
    let text = fs::read(&told).map_err(|err| say(&told, err))?;
    let told: serde_json::Value = serde_json::from_slice(&text).map_err(|err| say(&told, err.into()))?;
    let bytes = fs::read(&at).map_err(|err| say(&at, err))?;
    match told["sha256"] == rockpick_trust::meta::sha256(&bytes) {
        true => Ok(at),
        false => Err("the artefact has changed on disk".into()),
    }
}
