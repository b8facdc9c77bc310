//! The client workflow of the TUF specification, section 5, as a state machine without I/O: it names the file it needs
//! next and that file's maximum length; the caller fetches it and passes the result. The caller stores what has been
//! verified, [`Trusted`], between refreshes.
//!
//! Delegations are not followed: the top-level targets role signs all builds. The caller passes the time, once per
//! refresh (section 5.1).
use crate::meta::{malformed, parse_date, sha256, FileIndex, FileInfo, Root, Signed, Targets, VerifyError};
use std::collections::BTreeMap;

/// Maximum lengths of a root and a timestamp, whose lengths are not signed, and of other metadata.
pub const MAX_ROOT: usize = 512 * 1024;
pub const MAX_TIMESTAMP: usize = 16 * 1024;
pub const MAX_OTHER: usize = 1024 * 1024;
/// Most roots fetched in one refresh (the bound Y of section 5.3): two years of weekly rotation.
const MAX_ROOTS: u64 = 128;

/// Trusted metadata, byte for byte as received. Only the root is required.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trusted {
    pub root: Vec<u8>,
    pub timestamp: Option<Vec<u8>>,
    pub snapshot: Option<Vec<u8>>,
    pub targets: Option<Vec<u8>>,
}

/// What the refresh needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// A metadata file, at most `max_length` bytes long. An `optional` one may be missing.
    File {
        name: String,
        max_length: usize,
        optional: bool,
    },
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Root,
    Timestamp,
    Snapshot,
    Targets,
    Done,
}

pub struct Refresh {
    pub trusted: Trusted,
    now: i64,
    step: Step,
    root: Root,
    first_version: u64,
    timestamp: Option<FileIndex>,
    snapshot: Option<FileIndex>,
    targets: Option<Targets>,
}

fn check_not_expired(role: &str, expires: &str, now: i64) -> Result<(), VerifyError> {
    match parse_date(expires) {
        Some(at) if now < at => Ok(()),
        Some(_) => Err(VerifyError::Expired { role: role.into(), at: expires.into() }),
        None => Err(malformed(format!("{role}: expires '{expires}'"))),
    }
}

/// Checks a file against the length and hash listed for it.
fn check_file(name: &str, bytes: &[u8], expected: &FileInfo) -> Result<(), VerifyError> {
    if expected.length.is_some_and(|l| l != bytes.len() as u64) {
        return Err(VerifyError::Mismatch(format!("{name}: its length")));
    }
    match expected.hashes.get("sha256") {
        Some(hash) if *hash != sha256(bytes) => Err(VerifyError::Mismatch(format!("{name}: its hash"))),
        _ => Ok(()),
    }
}

impl Refresh {
    /// Starts from the trusted metadata; `now` is in seconds since 1970.
    ///
    /// # Errors
    /// The trusted root is not signed by its own keys.
    pub fn new(trusted: Trusted, now: i64) -> Result<Refresh, VerifyError> {
        let signed = Signed::read(&trusted.root)?;
        let root: Root = signed.parse_signed("root")?;
        signed.verify_role(&root, "root")?;
        let first_version = root.version;
        let mut refresh = Refresh {
            trusted,
            now,
            step: Step::Root,
            root,
            first_version,
            timestamp: None,
            snapshot: None,
            targets: None,
        };
        refresh.load_trusted();
        Ok(refresh)
    }

    /// Parses the metadata trusted before, for the checks against rollback, without what the current root's keys have
    /// not signed. Its expiry does not matter here.
    fn load_trusted(&mut self) {
        let read = |bytes: &Option<Vec<u8>>, role: &str| -> Option<Signed> {
            let signed = Signed::read(bytes.as_ref()?).ok()?;
            signed.verify_role(&self.root, role).ok()?;
            Some(signed)
        };
        let timestamp =
            read(&self.trusted.timestamp, "timestamp").and_then(|s| s.parse_signed("timestamp").ok());
        let snapshot = read(&self.trusted.snapshot, "snapshot").and_then(|s| s.parse_signed("snapshot").ok());
        (self.timestamp, self.snapshot) = (timestamp, snapshot);
    }

    pub fn next_request(&self) -> Request {
        let expected = |index: &Option<FileIndex>, name: &str| {
            index.as_ref().and_then(|i| i.meta.get(name)).cloned().unwrap_or(FileInfo {
                version: None,
                length: None,
                hashes: BTreeMap::new(),
                custom: None,
            })
        };
        let file = |name: &str, expected: FileInfo| {
            let prefix = match expected.version.filter(|_| self.root.consistent_snapshot) {
                Some(version) => format!("{version}."),
                None => String::new(),
            };
            let max_length = expected.length.map_or(MAX_OTHER, |l| (l as usize).min(MAX_OTHER));
            Request::File { name: format!("{prefix}{name}"), max_length, optional: false }
        };
        match self.step {
            Step::Root => {
                let name = format!("{}.root.json", self.root.version + 1);
                Request::File { name, max_length: MAX_ROOT, optional: true }
            }
            Step::Timestamp => {
                Request::File { name: "timestamp.json".into(), max_length: MAX_TIMESTAMP, optional: false }
            }
            Step::Snapshot => file("snapshot.json", expected(&self.timestamp, "snapshot.json")),
            Step::Targets => file("targets.json", expected(&self.snapshot, "targets.json")),
            Step::Done => Request::Done,
        }
    }

    /// Handles the file that [`Refresh::next_request`] asked for; `None` if it does not exist.
    ///
    /// # Errors
    /// The check that failed. Metadata that was trusted stays trusted, and the refresh must not be continued.
    pub fn receive(&mut self, bytes: Option<&[u8]>) -> Result<(), VerifyError> {
        match (self.step, bytes) {
            (Step::Root, None) => self.finish_roots(),
            (Step::Root, Some(bytes)) => self.next_root(bytes),
            (Step::Timestamp, Some(bytes)) => self.next_timestamp(bytes),
            (Step::Snapshot, Some(bytes)) => self.next_snapshot(bytes),
            (Step::Targets, Some(bytes)) => self.next_targets(bytes),
            (Step::Done, _) => Ok(()),
            (_, None) => match self.next_request() {
                Request::File { name, .. } => Err(VerifyError::Missing(name)),
                Request::Done => Ok(()),
            },
        }
    }

    /// Sections 5.3.3 to 5.3.8: the new root is signed by the trusted root's keys and by its own, and has the next
    /// version.
    fn next_root(&mut self, bytes: &[u8]) -> Result<(), VerifyError> {
        let signed = Signed::read(bytes)?;
        let root: Root = signed.parse_signed("root")?;
        signed.verify_role(&self.root, "root")?;
        signed.verify_role(&root, "root")?;
        let wanted = self.root.version + 1;
        if root.version != wanted {
            return Err(VerifyError::Version { role: "root".into(), got: root.version, wanted });
        }
        // Section 5.3.11: new keys for these roles allow recovery from a fast-forward attack.
        let keys_changed = |role: &str| {
            let keys = |r: &Root| r.roles.get(role).cloned();
            keys(&self.root) != keys(&root)
        };
        if keys_changed("timestamp") || keys_changed("snapshot") {
            (self.trusted.timestamp, self.trusted.snapshot) = (None, None);
            (self.timestamp, self.snapshot) = (None, None);
        }
        self.root = root;
        self.trusted.root = bytes.to_vec();
        if self.root.version >= self.first_version + MAX_ROOTS {
            return self.finish_roots();
        }
        Ok(())
    }

    /// Section 5.3.10: the last root must not have expired.
    fn finish_roots(&mut self) -> Result<(), VerifyError> {
        check_not_expired("root", &self.root.expires, self.now)?;
        self.load_trusted();
        self.step = Step::Timestamp;
        Ok(())
    }

    /// Section 5.4.
    fn next_timestamp(&mut self, bytes: &[u8]) -> Result<(), VerifyError> {
        let signed = Signed::read(bytes)?;
        signed.verify_role(&self.root, "timestamp")?;
        let new: FileIndex = signed.parse_signed("timestamp")?;
        let snapshot = |i: &FileIndex| i.meta.get("snapshot.json").and_then(|f| f.version);
        let Some(expected) = snapshot(&new) else { return Err(malformed("timestamp: no snapshot.json")) };
        if let Some(old) = &self.timestamp {
            if new.version < old.version {
                return Err(VerifyError::Rollback(format!(
                    "timestamp {} after {}",
                    new.version, old.version
                )));
            }
            if snapshot(old).is_some_and(|v| expected < v) {
                return Err(VerifyError::Rollback(format!(
                    "snapshot {expected} listed after {:?}",
                    snapshot(old)
                )));
            }
        }
        check_not_expired("timestamp", &new.expires, self.now)?;
        self.timestamp = Some(new);
        self.trusted.timestamp = Some(bytes.to_vec());
        self.step = Step::Snapshot;
        Ok(())
    }

    /// Section 5.5.
    fn next_snapshot(&mut self, bytes: &[u8]) -> Result<(), VerifyError> {
        let expected = self.timestamp.as_ref().and_then(|t| t.meta.get("snapshot.json")).cloned();
        let Some(expected) = expected else {
            return Err(VerifyError::Missing("snapshot.json in the timestamp".into()));
        };
        check_file("snapshot", bytes, &expected)?;
        let signed = Signed::read(bytes)?;
        signed.verify_role(&self.root, "snapshot")?;
        let new: FileIndex = signed.parse_signed("snapshot")?;
        let wanted = expected.version.unwrap_or(0);
        if new.version != wanted {
            return Err(VerifyError::Version { role: "snapshot".into(), got: new.version, wanted });
        }
        for (name, old) in self.snapshot.iter().flat_map(|s| &s.meta) {
            match new.meta.get(name) {
                None => return Err(VerifyError::Rollback(format!("{name} is no longer listed"))),
                Some(now) if now.version < old.version => {
                    return Err(VerifyError::Rollback(format!(
                        "{name} {:?} after {:?}",
                        now.version, old.version
                    )));
                }
                _ => {}
            }
        }
        check_not_expired("snapshot", &new.expires, self.now)?;
        self.snapshot = Some(new);
        self.trusted.snapshot = Some(bytes.to_vec());
        self.step = Step::Targets;
        Ok(())
    }

    /// Section 5.6.
    fn next_targets(&mut self, bytes: &[u8]) -> Result<(), VerifyError> {
        let expected = self.snapshot.as_ref().and_then(|s| s.meta.get("targets.json")).cloned();
        let Some(expected) = expected else {
            return Err(VerifyError::Missing("targets.json in the snapshot".into()));
        };
        check_file("targets", bytes, &expected)?;
        let signed = Signed::read(bytes)?;
        signed.verify_role(&self.root, "targets")?;
        let new: Targets = signed.parse_signed("targets")?;
        let wanted = expected.version.unwrap_or(0);
        if new.version != wanted {
            return Err(VerifyError::Version { role: "targets".into(), got: new.version, wanted });
        }
        check_not_expired("targets", &new.expires, self.now)?;
        self.targets = Some(new);
        self.trusted.targets = Some(bytes.to_vec());
        self.step = Step::Done;
        Ok(())
    }

    /// After the refresh: a target's metadata, and the path to fetch it from (section 5.7, consistent snapshots).
    pub fn target(&self, name: &str) -> Option<(FileInfo, String)> {
        let file = self.targets.as_ref().filter(|_| self.step == Step::Done)?.targets.get(name)?.clone();
        let hash = file.hashes.get("sha256")?;
        let path = match name.rsplit_once('/') {
            _ if !self.root.consistent_snapshot => name.to_string(),
            Some((dir, base)) => format!("{dir}/{hash}.{base}"),
            None => format!("{hash}.{name}"),
        };
        Some((file, path))
    }

    pub fn targets(&self) -> impl Iterator<Item = &String> {
        self.targets.iter().flat_map(|t| t.targets.keys())
    }

    pub fn root_version(&self) -> u64 {
        self.root.version
    }
}
