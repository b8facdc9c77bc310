//! The client workflow of the TUF specification, section 5, as a state machine without I/O: it says which
//! file it wants next and how long that may be; its caller fetches, and hands over what came. What it has
//! come to trust is in [`Trusted`], to be kept between refreshes.
//!
//! Delegations are not followed: the top-level targets role signs all builds. The clock is the caller's word,
//! taken once a refresh (section 5.1).
use crate::meta::{malformed, seconds, sha256, File, Index, Refused, Root, Signed, Targets};
use std::collections::BTreeMap;

/// Longest root and timestamp that are fetched, whose lengths nobody signs; and the most for the others.
pub const MOST_ROOT: usize = 512 * 1024;
pub const MOST_TIMESTAMP: usize = 16 * 1024;
pub const MOST_OTHER: usize = 1024 * 1024;
/// Roots looked for in one refresh (section 5.3: Y, some bound): two years of weekly rotation.
const MOST_ROOTS: u64 = 128;

/// What is trusted, byte for byte as it came. Only the root must be there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trusted {
    pub root: Vec<u8>,
    pub timestamp: Option<Vec<u8>>,
    pub snapshot: Option<Vec<u8>>,
    pub targets: Option<Vec<u8>>,
}

/// What the refresh wants next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Want {
    /// This metadata file, at most so long; `may_miss`: that it is not there is an answer.
    File {
        name: String,
        most: usize,
        may_miss: bool,
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
    first: u64,
    timestamp: Option<Index>,
    snapshot: Option<Index>,
    targets: Option<Targets>,
}

fn fresh(role: &str, expires: &str, now: i64) -> Result<(), Refused> {
    match seconds(expires) {
        Some(at) if now < at => Ok(()),
        Some(_) => Err(Refused::Expired { role: role.into(), at: expires.into() }),
        None => Err(malformed(format!("{role}: expires '{expires}'"))),
    }
}

/// Is this the file that was told of?
fn same(name: &str, bytes: &[u8], told: &File) -> Result<(), Refused> {
    if told.length.is_some_and(|l| l != bytes.len() as u64) {
        return Err(Refused::Other(format!("{name}: its length")));
    }
    match told.hashes.get("sha256") {
        Some(hash) if *hash != sha256(bytes) => Err(Refused::Other(format!("{name}: its hash"))),
        _ => Ok(()),
    }
}

impl Refresh {
    /// Begins with what is trusted, at a time in seconds since 1970.
    ///
    /// # Errors
    /// The trusted root itself must be one that its own keys have signed.
    pub fn begin(trusted: Trusted, now: i64) -> Result<Refresh, Refused> {
        let signed = Signed::read(&trusted.root)?;
        let root: Root = signed.part("root")?;
        signed.signed_by(&root, "root")?;
        let first = root.version;
        let mut refresh = Refresh {
            trusted,
            now,
            step: Step::Root,
            root,
            first,
            timestamp: None,
            snapshot: None,
            targets: None,
        };
        refresh.recall();
        Ok(refresh)
    }

    /// Reads what was trusted before, for the checks against rollback; what the root no longer vouches for
    /// is left out. Its expiry does not matter here.
    fn recall(&mut self) {
        let read = |bytes: &Option<Vec<u8>>, role: &str| -> Option<Signed> {
            let signed = Signed::read(bytes.as_ref()?).ok()?;
            signed.signed_by(&self.root, role).ok()?;
            Some(signed)
        };
        let timestamp = read(&self.trusted.timestamp, "timestamp").and_then(|s| s.part("timestamp").ok());
        let snapshot = read(&self.trusted.snapshot, "snapshot").and_then(|s| s.part("snapshot").ok());
        (self.timestamp, self.snapshot) = (timestamp, snapshot);
    }

    pub fn want(&self) -> Want {
        let told = |index: &Option<Index>, name: &str| {
            index.as_ref().and_then(|i| i.meta.get(name)).cloned().unwrap_or(File {
                version: None,
                length: None,
                hashes: BTreeMap::new(),
                custom: None,
            })
        };
        let file = |name: &str, told: File| {
            let prefix = match told.version.filter(|_| self.root.consistent_snapshot) {
                Some(version) => format!("{version}."),
                None => String::new(),
            };
            let most = told.length.map_or(MOST_OTHER, |l| (l as usize).min(MOST_OTHER));
            Want::File { name: format!("{prefix}{name}"), most, may_miss: false }
        };
        match self.step {
            Step::Root => {
                let name = format!("{}.root.json", self.root.version + 1);
                Want::File { name, most: MOST_ROOT, may_miss: true }
            }
            Step::Timestamp => {
                Want::File { name: "timestamp.json".into(), most: MOST_TIMESTAMP, may_miss: false }
            }
            Step::Snapshot => file("snapshot.json", told(&self.timestamp, "snapshot.json")),
            Step::Targets => file("targets.json", told(&self.snapshot, "targets.json")),
            Step::Done => Want::Done,
        }
    }

    /// Takes what came for the present want; none: it is not there.
    ///
    /// # Errors
    /// The check that failed. What was trusted stays trusted, and the refresh ends there.
    pub fn given(&mut self, bytes: Option<&[u8]>) -> Result<(), Refused> {
        match (self.step, bytes) {
            (Step::Root, None) => self.roots_done(),
            (Step::Root, Some(bytes)) => self.next_root(bytes),
            (Step::Timestamp, Some(bytes)) => self.next_timestamp(bytes),
            (Step::Snapshot, Some(bytes)) => self.next_snapshot(bytes),
            (Step::Targets, Some(bytes)) => self.next_targets(bytes),
            (Step::Done, _) => Ok(()),
            (_, None) => match self.want() {
                Want::File { name, .. } => Err(Refused::Missing(name)),
                Want::Done => Ok(()),
            },
        }
    }

    /// Section 5.3.3 to 5.3.8: signed by the trusted root's keys and by its own, and the very next version.
    fn next_root(&mut self, bytes: &[u8]) -> Result<(), Refused> {
        let signed = Signed::read(bytes)?;
        let root: Root = signed.part("root")?;
        signed.signed_by(&self.root, "root")?;
        signed.signed_by(&root, "root")?;
        let wanted = self.root.version + 1;
        if root.version != wanted {
            return Err(Refused::Version { role: "root".into(), got: root.version, wanted });
        }
        // Section 5.3.11: new keys for these roles recover from a fast-forward attack.
        let moved = |role: &str| {
            let keys = |r: &Root| r.roles.get(role).cloned();
            keys(&self.root) != keys(&root)
        };
        if moved("timestamp") || moved("snapshot") {
            (self.trusted.timestamp, self.trusted.snapshot) = (None, None);
            (self.timestamp, self.snapshot) = (None, None);
        }
        self.root = root;
        self.trusted.root = bytes.to_vec();
        if self.root.version >= self.first + MOST_ROOTS {
            return self.roots_done();
        }
        Ok(())
    }

    /// Section 5.3.10: the last root must not have expired.
    fn roots_done(&mut self) -> Result<(), Refused> {
        fresh("root", &self.root.expires, self.now)?;
        self.recall();
        self.step = Step::Timestamp;
        Ok(())
    }

    /// Section 5.4.
    fn next_timestamp(&mut self, bytes: &[u8]) -> Result<(), Refused> {
        let signed = Signed::read(bytes)?;
        signed.signed_by(&self.root, "timestamp")?;
        let new: Index = signed.part("timestamp")?;
        let snapshot = |i: &Index| i.meta.get("snapshot.json").and_then(|f| f.version);
        let Some(told) = snapshot(&new) else { return Err(malformed("timestamp: no snapshot.json")) };
        if let Some(old) = &self.timestamp {
            if new.version < old.version {
                return Err(Refused::Rollback(format!("timestamp {} after {}", new.version, old.version)));
            }
            if snapshot(old).is_some_and(|v| told < v) {
                return Err(Refused::Rollback(format!("snapshot {told} told of after {:?}", snapshot(old))));
            }
        }
        fresh("timestamp", &new.expires, self.now)?;
        self.timestamp = Some(new);
        self.trusted.timestamp = Some(bytes.to_vec());
        self.step = Step::Snapshot;
        Ok(())
    }

    /// Section 5.5.
    fn next_snapshot(&mut self, bytes: &[u8]) -> Result<(), Refused> {
        let told = self.timestamp.as_ref().and_then(|t| t.meta.get("snapshot.json")).cloned();
        let Some(told) = told else { return Err(Refused::Missing("snapshot.json in the timestamp".into())) };
        same("snapshot", bytes, &told)?;
        let signed = Signed::read(bytes)?;
        signed.signed_by(&self.root, "snapshot")?;
        let new: Index = signed.part("snapshot")?;
        let wanted = told.version.unwrap_or(0);
        if new.version != wanted {
            return Err(Refused::Version { role: "snapshot".into(), got: new.version, wanted });
        }
        for (name, old) in self.snapshot.iter().flat_map(|s| &s.meta) {
            match new.meta.get(name) {
                None => return Err(Refused::Rollback(format!("{name} is no longer told of"))),
                Some(now) if now.version < old.version => {
                    return Err(Refused::Rollback(format!(
                        "{name} {:?} after {:?}",
                        now.version, old.version
                    )));
                }
                _ => {}
            }
        }
        fresh("snapshot", &new.expires, self.now)?;
        self.snapshot = Some(new);
        self.trusted.snapshot = Some(bytes.to_vec());
        self.step = Step::Targets;
        Ok(())
    }

    /// Section 5.6.
    fn next_targets(&mut self, bytes: &[u8]) -> Result<(), Refused> {
        let told = self.snapshot.as_ref().and_then(|s| s.meta.get("targets.json")).cloned();
        let Some(told) = told else { return Err(Refused::Missing("targets.json in the snapshot".into())) };
        same("targets", bytes, &told)?;
        let signed = Signed::read(bytes)?;
        signed.signed_by(&self.root, "targets")?;
        let new: Targets = signed.part("targets")?;
        let wanted = told.version.unwrap_or(0);
        if new.version != wanted {
            return Err(Refused::Version { role: "targets".into(), got: new.version, wanted });
        }
        fresh("targets", &new.expires, self.now)?;
        self.targets = Some(new);
        self.trusted.targets = Some(bytes.to_vec());
        self.step = Step::Done;
        Ok(())
    }

    /// Once done: a target's line, and the path to fetch it under (section 5.7, consistent snapshots).
    pub fn target(&self, name: &str) -> Option<(File, String)> {
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
