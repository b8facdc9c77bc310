//! Fetches one build: refreshes the trusted metadata, then downloads the artefact in ranges. A state machine over HTTP
//! responses; the caller makes the requests.
use rockpick_control::atomic_file;
use rockpick_trust::client::{Refresh, Request, Trusted};
use rockpick_trust::meta::FileInfo;
use rockpick_trust::repo::MAX_ARTEFACT;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Bytes requested at a time: below the event loop's longest body.
pub const CHUNK_SIZE: u64 = 256 * 1024;
const ROLES: [&str; 4] = ["root", "timestamp", "snapshot", "targets"];

/// The next request to the repository.
#[derive(Debug, PartialEq)]
pub enum Next {
    Metadata(String),
    /// A range of a target: path, first byte, last byte.
    Range(String, u64, u64),
    /// All bytes have been received; [`install`] verifies, unpacks and installs them.
    Complete,
}

pub struct Fetch {
    pub build: u32,
    dir: PathBuf,
    refresh: Refresh,
    target: Option<(FileInfo, String)>,
    received: u64,
}

/// Loads the trusted metadata from the agent's folder.
///
/// # Errors
/// There is no trusted root, or a file can't be read.
pub fn load_trusted(dir: &Path) -> Result<Trusted, String> {
    let load = |role: &str| {
        let at = dir.join(format!("{role}.json"));
        atomic_file::load(&at).map_err(|err| format!("{}: {err}", at.display()))
    };
    let root = load("root")?.ok_or("there is no trusted root yet: give one with --root")?;
    Ok(Trusted {
        root,
        timestamp: load("timestamp")?,
        snapshot: load("snapshot")?,
        targets: load("targets")?,
    })
}

fn store_trusted(dir: &Path, trusted: &Trusted, before: &Trusted) -> Result<(), String> {
    let new_files = [
        Some(&trusted.root),
        trusted.timestamp.as_ref(),
        trusted.snapshot.as_ref(),
        trusted.targets.as_ref(),
    ];
    let old_files =
        [Some(&before.root), before.timestamp.as_ref(), before.snapshot.as_ref(), before.targets.as_ref()];
    for ((role, new), old) in ROLES.iter().zip(new_files).zip(old_files) {
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
    /// Starts from the folder's trusted metadata; `now` is in seconds since 1970.
    pub fn new(build: u32, dir: &Path, now: i64) -> Result<Fetch, String> {
        let refresh = Refresh::new(load_trusted(&dir.join("trust"))?, now).map_err(|r| r.to_string())?;
        Ok(Fetch { build, dir: dir.into(), refresh, target: None, received: 0 })
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
            Some((file, path)) if self.received < file.length.unwrap_or(0) => {
                let last = (self.received + CHUNK_SIZE).min(file.length.unwrap_or(0)) - 1;
                Next::Range(path.clone(), self.received, last)
            }
            _ => Next::Complete,
        }
    }

    /// Handles the response to [`Fetch::next`].
    ///
    /// # Errors
    /// The fetch can't go on and must be restarted.
    pub fn receive(&mut self, status: u16, body: &[u8]) -> Result<(), String> {
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
                // Metadata accepted so far stays trusted even if a later step fails.
                store_trusted(&self.dir.join("trust"), &self.refresh.trusted, &before)?;
                end?;
                if self.refresh.next_request() == Request::Done {
                    self.select_target()?;
                }
                Ok(())
            }
            Next::Range(path, from, last) => {
                let wanted = last - from + 1;
                if status != 206 || body.len() as u64 != wanted {
                    return Err(format!(
                        "{path}: status {status} and {} bytes where {wanted} were requested",
                        body.len()
                    ));
                }
                let Some((file, _)) = &self.target else { return Ok(()) };
                let at = self.part(file);
                let open = OpenOptions::new().create(true).append(true).open(&at);
                open.and_then(|mut f| f.write_all(body)).map_err(|err| format!("{}: {err}", at.display()))?;
                self.received += wanted;
                Ok(())
            }
            Next::Complete => Ok(()),
        }
    }

    /// Looks up the build among the targets, and how much of it is on disk already.
    fn select_target(&mut self) -> Result<(), String> {
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
        self.received = fs::metadata(&at).map_or(0, |m| m.len());
        if self.received > length {
            fs::remove_file(&at).map_err(|err| format!("{}: {err}", at.display()))?;
            self.received = 0;
        }
        self.target = Some((file, path));
        Ok(())
    }

    /// The signed metadata of the build, and the file with the downloaded bytes.
    pub fn download(&self) -> Option<(FileInfo, PathBuf)> {
        self.target.as_ref().map(|(file, _)| (file.clone(), self.part(file)))
    }
}

/// Paths of a build's artefact and of the record of its hash.
pub fn artefact_paths(dir: &Path, build: u32) -> (PathBuf, PathBuf) {
    let dir = dir.join("artefacts");
    (dir.join(format!("build-{build}")), dir.join(format!("build-{build}.json")))
}

/// Verifies and unpacks a download and installs it, executable by its owner only.
pub fn install(dir: &Path, build: u32, file: &FileInfo, part: &Path) -> Result<(), String> {
    use std::os::unix::fs::PermissionsExt;
    let describe = |err: std::io::Error| err.to_string();
    let bytes = fs::read(part).map_err(describe)?;
    // The download is complete, so if its bytes are wrong it can't be resumed.
    fs::remove_file(part).map_err(|err| format!("{}: {err}", part.display()))?;
    rockpick_trust::repo::verify_artefact(file, &bytes).map_err(|r| r.to_string())?;
    let plain = rockpick_trust::repo::unpack(file, &bytes).map_err(|r| r.to_string())?;
    let (at, record) = artefact_paths(dir, build);
    if let Some(folder) = at.parent() {
        fs::create_dir_all(folder).map_err(describe)?;
    }
    let _ = fs::remove_file(&at);
    atomic_file::replace(&at, &plain).map_err(describe)?;
    fs::set_permissions(&at, fs::Permissions::from_mode(0o500)).map_err(describe)?;
    let text = serde_json::json!({ "sha256": rockpick_trust::meta::sha256(&plain) }).to_string();
    atomic_file::replace(&record, text.as_bytes()).map_err(describe)
}

/// Verifies an installed artefact before a start.
pub fn verify_installed(dir: &Path, build: u32) -> Result<PathBuf, String> {
    let (at, record) = artefact_paths(dir, build);
    let describe = |at: &Path, err: std::io::Error| format!("{}: {err}", at.display());
    let text = fs::read(&record).map_err(|err| describe(&record, err))?;
    let record: serde_json::Value =
        serde_json::from_slice(&text).map_err(|err| describe(&record, err.into()))?;
    let bytes = fs::read(&at).map_err(|err| describe(&at, err))?;
    match record["sha256"] == rockpick_trust::meta::sha256(&bytes) {
        true => Ok(at),
        false => Err("the artefact has changed on disk".into()),
    }
}
