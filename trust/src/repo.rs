//! The repository: a folder of metadata and targets, and a separate folder of keys, each readable by its owner only. A
//! command needs only the keys of the roles that it signs.
use crate::client::{Refresh, Request, Trusted};
use crate::meta::{
    canonical, format_date, malformed, sha256, FileIndex, FileInfo, Key, KeySignature, Role, Root, Signed,
    Targets, VerifyError,
};
use crate::meta::{ROLES, SPEC_VERSION};
use ed25519_dalek::{Signer, SigningKey};
use rockpick_control::atomic_file;
use rockpick_control::release::MAX_BUILD;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

/// Days for which a role's metadata is valid: roots are signed by hand once a year, timestamps by a nightly job.
const VALIDITY_DAYS: [(&str, i64); 4] = [("root", 365), ("targets", 90), ("snapshot", 14), ("timestamp", 2)];
/// Largest artefact, packed and unpacked.
pub const MAX_ARTEFACT: u64 = 1 << 30;

pub struct Repo {
    pub dir: PathBuf,
    /// Seconds since 1970.
    pub now: i64,
}

fn with_path(at: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |err| format!("{}: {err}", at.display())
}

fn to_text(error: VerifyError) -> String {
    error.to_string()
}

/// Loads the signing keys of a role from `DIR/ROLE-N.key`, each a seed of 32 bytes in hex.
pub fn load_keys(dir: &Path, role: &str) -> Result<Vec<SigningKey>, String> {
    let mut files: Vec<PathBuf> =
        fs::read_dir(dir).map_err(with_path(dir))?.flatten().map(|e| e.path()).collect();
    files.sort();
    let is_of_role = |p: &PathBuf| {
        let name = p.file_name().and_then(|n| n.to_str()).unwrap_or("");
        let nth =
            name.strip_suffix(".key").and_then(|n| n.strip_prefix(role)).and_then(|n| n.strip_prefix('-'));
        nth.is_some_and(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()))
    };
    let mut keys = Vec::new();
    for file in files.into_iter().filter(is_of_role) {
        let mode = fs::metadata(&file).map_err(with_path(&file))?.permissions().mode();
        if mode & 0o077 != 0 {
            return Err(format!(
                "{}: others may read it (mode {:o}); chmod 600 it",
                file.display(),
                mode & 0o777
            ));
        }
        let text = fs::read_to_string(&file).map_err(with_path(&file))?;
        let seed: Option<[u8; 32]> = hex::decode(text.trim()).ok().and_then(|b| b.try_into().ok());
        keys.push(SigningKey::from_bytes(&seed.ok_or(format!("{}: not a key", file.display()))?));
    }
    Ok(keys)
}

/// Generates new keys for a role in addition to those it has; returns the new ones.
fn make_keys(dir: &Path, role: &str, count: usize) -> Result<Vec<SigningKey>, String> {
    fs::DirBuilder::new().recursive(true).mode(0o700).create(dir).map_err(with_path(dir))?;
    let mut new_keys = Vec::new();
    let mut nth = 1;
    while new_keys.len() < count {
        let file = dir.join(format!("{role}-{nth}.key"));
        nth += 1;
        if file.exists() {
            continue;
        }
        let mut seed = [0u8; 32];
        getrandom::fill(&mut seed).map_err(|err| err.to_string())?;
        let open = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&file);
        let mut out = open.map_err(with_path(&file))?;
        out.write_all(hex::encode(seed).as_bytes())
            .and_then(|()| out.sync_all())
            .map_err(with_path(&file))?;
        new_keys.push(SigningKey::from_bytes(&seed));
    }
    Ok(new_keys)
}

fn public_key(key: &SigningKey) -> Key {
    Key::ed25519(&key.verifying_key().to_bytes())
}

/// Signs with all of `keys`.
pub fn sign(part: &impl Serialize, keys: &[SigningKey]) -> Result<Vec<u8>, String> {
    let signed = serde_json::to_value(part).map_err(|err| err.to_string())?;
    let bytes = canonical(&signed).map_err(to_text)?;
    let sig = |key: &SigningKey| -> Result<KeySignature, VerifyError> {
        Ok(KeySignature { keyid: public_key(key).id()?, sig: hex::encode(key.sign(&bytes).to_bytes()) })
    };
    let signatures = keys.iter().map(sig).collect::<Result<Vec<_>, _>>().map_err(to_text)?;
    serde_json::to_vec_pretty(&Signed { signatures, signed }).map_err(|err| err.to_string())
}

impl Repo {
    fn metadata(&self, name: &str) -> PathBuf {
        self.dir.join("metadata").join(name)
    }

    fn expires(&self, role: &str) -> String {
        let days = VALIDITY_DAYS.iter().find(|(r, _)| *r == role).map_or(1, |(_, d)| *d);
        format_date(self.now + days * 86_400)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> Result<(), String> {
        let at = self.metadata(name);
        atomic_file::replace(&at, bytes).map_err(with_path(&at))
    }

    /// Reads the newest root.
    pub fn root(&self) -> Result<Root, String> {
        let dir = self.dir.join("metadata");
        let names = fs::read_dir(&dir).map_err(with_path(&dir))?.flatten();
        let version = |name: String| name.strip_suffix(".root.json")?.parse::<u64>().ok();
        let newest = names.filter_map(|e| version(e.file_name().to_string_lossy().into_owned())).max();
        let newest = newest.ok_or(format!("{}: no root", dir.display()))?;
        let at = self.metadata(&format!("{newest}.root.json"));
        Signed::read(&fs::read(&at).map_err(with_path(&at))?)
            .and_then(|s| s.parse_signed("root"))
            .map_err(to_text)
    }

    fn read<T: for<'a> serde::Deserialize<'a>>(&self, file: &str, role: &str) -> Result<T, String> {
        let at = self.metadata(file);
        Signed::read(&fs::read(&at).map_err(with_path(&at))?)
            .and_then(|s| s.parse_signed(role))
            .map_err(to_text)
    }

    /// Creates a repository and its keys: `count` for each role, all of which must sign.
    pub fn init(&self, keydir: &Path, count: usize) -> Result<(), String> {
        if !(1..=16).contains(&count) {
            return Err("1 to 16 keys a role".into());
        }
        for sub in ["metadata", "targets"] {
            let at = self.dir.join(sub);
            fs::create_dir_all(&at).map_err(with_path(&at))?;
        }
        // True also for a repository whose root can't be read, which must not be overwritten.
        if self.newest("root").is_ok() {
            return Err(format!("{}: there is a repository already", self.dir.display()));
        }
        let (mut root_keys, mut roles, mut role_keys) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for role in ROLES {
            let keys = make_keys(keydir, role, count)?;
            let mut keyids = Vec::new();
            for key in &keys {
                let id = public_key(key).id().map_err(to_text)?;
                root_keys.insert(id.clone(), public_key(key));
                keyids.push(id);
            }
            roles.insert(role.to_string(), Role { keyids, threshold: count });
            role_keys.insert(role, keys);
        }
        let root = Root {
            kind: "root".into(),
            spec_version: SPEC_VERSION.into(),
            consistent_snapshot: true,
            version: 1,
            expires: self.expires("root"),
            keys: root_keys,
            roles,
        };
        self.write("1.root.json", &sign(&root, &role_keys["root"])?)?;
        let targets = Targets {
            kind: "targets".into(),
            spec_version: SPEC_VERSION.into(),
            version: 1,
            expires: self.expires("targets"),
            targets: BTreeMap::new(),
        };
        self.write("1.targets.json", &sign(&targets, &role_keys["targets"])?)?;
        self.snapshot(keydir, 1, 1)?;
        self.timestamp(keydir, 1)
    }

    fn signing_keys(&self, keydir: &Path, role: &str) -> Result<Vec<SigningKey>, String> {
        let root = self.root()?;
        let role_info = root.roles.get(role).ok_or(format!("{role}: no such role"))?;
        let is_of_role =
            |key: &SigningKey| public_key(key).id().is_ok_and(|id| role_info.keyids.contains(&id));
        let keys: Vec<SigningKey> = load_keys(keydir, role)?.into_iter().filter(is_of_role).collect();
        if keys.len() < role_info.threshold {
            return Err(format!(
                "{role}: {} of its keys are here, {} must sign",
                keys.len(),
                role_info.threshold
            ));
        }
        Ok(keys)
    }

    fn snapshot(&self, keydir: &Path, version: u64, targets: u64) -> Result<(), String> {
        let at = self.metadata(&format!("{targets}.targets.json"));
        let bytes = fs::read(&at).map_err(with_path(&at))?;
        let index = self.index("snapshot", version, "targets.json", targets, &bytes);
        let keys = self.signing_keys(keydir, "snapshot")?;
        self.write(&format!("{version}.snapshot.json"), &sign(&index, &keys)?)
    }

    /// The last step of every change: until then clients see the previous state.
    fn timestamp(&self, keydir: &Path, version: u64) -> Result<(), String> {
        let keys = self.signing_keys(keydir, "timestamp")?;
        let snapshot = self.newest("snapshot")?;
        let at = self.metadata(&format!("{snapshot}.snapshot.json"));
        let bytes = fs::read(&at).map_err(with_path(&at))?;
        let index = self.index("timestamp", version, "snapshot.json", snapshot, &bytes);
        self.write("timestamp.json", &sign(&index, &keys)?)
    }

    fn index(&self, role: &str, version: u64, file: &str, of: u64, bytes: &[u8]) -> FileIndex {
        let hashes = BTreeMap::from([("sha256".to_string(), sha256(bytes))]);
        let info = FileInfo { version: Some(of), length: Some(bytes.len() as u64), hashes, custom: None };
        FileIndex {
            kind: role.into(),
            spec_version: SPEC_VERSION.into(),
            version,
            expires: self.expires(role),
            meta: BTreeMap::from([(file.to_string(), info)]),
        }
    }

    /// The newest version of a role's numbered files.
    fn newest(&self, role: &str) -> Result<u64, String> {
        let dir = self.dir.join("metadata");
        let suffix = format!(".{role}.json");
        let version = |name: String| name.strip_suffix(&suffix)?.parse::<u64>().ok();
        let names = fs::read_dir(&dir).map_err(with_path(&dir))?.flatten();
        let all = names.filter_map(|e| version(e.file_name().to_string_lossy().into_owned()));
        all.max().ok_or(format!("{}: no {role}", dir.display()))
    }

    /// Adds a build as target `build-N`, compressed if `pack`; signs targets, snapshot and timestamp.
    pub fn add(&self, keydir: &Path, build: u32, artefact: &Path, pack: bool) -> Result<String, String> {
        // A controller can't offer builds out of this range.
        if !(1..=MAX_BUILD).contains(&build) {
            return Err(format!("build {build}: 1 to {MAX_BUILD}"));
        }
        let size = fs::metadata(artefact).map_err(with_path(artefact))?.len();
        if size == 0 || size > MAX_ARTEFACT {
            return Err(format!("{}: empty, or over 1 GiB", artefact.display()));
        }
        let plain = fs::read(artefact).map_err(with_path(artefact))?;
        let stored = match pack {
            true => zstd::encode_all(plain.as_slice(), 3).map_err(with_path(artefact))?,
            false => plain.clone(),
        };
        let custom = json!({ "build": build, "packed": if pack { "zstd" } else { "no" },
            "unpacked_length": plain.len(), "unpacked_sha256": sha256(&plain) });
        let name = format!("build-{build}");
        let newest = self.newest("targets")?;
        let mut targets: Targets = self.read(&format!("{newest}.targets.json"), "targets")?;
        if targets.targets.contains_key(&name) {
            return Err(format!("{name}: it exists already, and a build never changes"));
        }
        // All keys must be available before anything is written.
        let signers = self.signing_keys(keydir, "targets")?;
        self.signing_keys(keydir, "snapshot")?;
        self.signing_keys(keydir, "timestamp")?;
        let hash = sha256(&stored);
        let at = self.dir.join("targets").join(format!("{hash}.{name}"));
        atomic_file::replace(&at, &stored).map_err(with_path(&at))?;
        let hashes = BTreeMap::from([("sha256".to_string(), hash)]);
        let file =
            FileInfo { version: None, length: Some(stored.len() as u64), hashes, custom: Some(custom) };
        targets.targets.insert(name.clone(), file);
        (targets.version, targets.expires) = (newest + 1, self.expires("targets"));
        self.write(&format!("{}.targets.json", targets.version), &sign(&targets, &signers)?)?;
        self.publish(keydir)?;
        Ok(name)
    }

    /// Writes a snapshot of the newest targets, then a timestamp of that snapshot.
    fn publish(&self, keydir: &Path) -> Result<(), String> {
        self.snapshot(keydir, self.newest("snapshot")? + 1, self.newest("targets")?)?;
        let timestamp: FileIndex = self.read("timestamp.json", "timestamp")?;
        self.timestamp(keydir, timestamp.version + 1)
    }

    /// Signs a role's metadata again with a new version and expiry. Signing targets or the snapshot also signs the
    /// metadata that list them.
    pub fn sign(&self, keydir: &Path, role: &str) -> Result<(), String> {
        match role {
            "timestamp" => {
                let timestamp: FileIndex = self.read("timestamp.json", "timestamp")?;
                self.timestamp(keydir, timestamp.version + 1)
            }
            "snapshot" => self.publish(keydir),
            "targets" => {
                let newest = self.newest("targets")?;
                let mut targets: Targets = self.read(&format!("{newest}.targets.json"), "targets")?;
                (targets.version, targets.expires) = (newest + 1, self.expires("targets"));
                let keys = self.signing_keys(keydir, "targets")?;
                self.write(&format!("{}.targets.json", newest + 1), &sign(&targets, &keys)?)?;
                self.publish(keydir)
            }
            "root" => {
                let old = self.root()?;
                let root = Root { version: old.version + 1, expires: self.expires("root"), ..old };
                let keys = self.signing_keys(keydir, "root")?;
                self.write(&format!("{}.root.json", root.version), &sign(&root, &keys)?)
            }
            other => Err(format!("{other}: root, targets, snapshot or timestamp")),
        }
    }

    /// Replaces a role's keys by new ones, through a new root signed with the old and, if replaced, the new root keys.
    pub fn rotate(&self, keydir: &Path, role: &str) -> Result<(), String> {
        let old = self.root()?;
        let mut signers = self.signing_keys(keydir, "root")?;
        let role_info =
            old.roles.get(role).ok_or(format!("{role}: root, targets, snapshot or timestamp"))?.clone();
        let new_keys = make_keys(keydir, role, role_info.threshold)?;
        let mut root = Root { version: old.version + 1, expires: self.expires("root"), ..old };
        root.keys.retain(|id, _| {
            !role_info.keyids.contains(id)
                || root.roles.iter().any(|(r, k)| r != role && k.keyids.contains(id))
        });
        let mut keyids = Vec::new();
        for key in &new_keys {
            let id = public_key(key).id().map_err(to_text)?;
            root.keys.insert(id.clone(), public_key(key));
            keyids.push(id);
        }
        root.roles.insert(role.into(), Role { keyids, threshold: role_info.threshold });
        if role == "root" {
            signers.extend(new_keys);
        }
        self.write(&format!("{}.root.json", root.version), &sign(&root, &signers)?)?;
        // The role's metadata is signed again with the new keys.
        match role {
            "root" => Ok(()),
            role => self.sign(keydir, role),
        }
    }

    /// Runs the client workflow from a trusted root and verifies every target; returns the targets' names.
    pub fn verify(&self, root: &[u8]) -> Result<Vec<String>, String> {
        let trusted = Trusted { root: root.to_vec(), ..Trusted::default() };
        let mut refresh = Refresh::new(trusted, self.now).map_err(to_text)?;
        while let Request::File { name, max_length, optional } = refresh.next_request() {
            let at = self.metadata(&name);
            let bytes = match atomic_file::load(&at).map_err(with_path(&at))? {
                Some(bytes) if bytes.len() > max_length => {
                    return Err(format!("{name}: longer than {max_length} bytes"))
                }
                None if !optional => return Err(format!("{name}: missing")),
                bytes => bytes,
            };
            refresh.receive(bytes.as_deref()).map_err(to_text)?;
        }
        let names: Vec<String> = refresh.targets().cloned().collect();
        for name in &names {
            let Some((file, path)) = refresh.target(name) else { return Err(format!("{name}: no sha256")) };
            let at = self.dir.join("targets").join(&path);
            let bytes = fs::read(&at).map_err(with_path(&at))?;
            verify_artefact(&file, &bytes).map_err(|why| format!("{name}: {why}"))?;
            unpack(&file, &bytes).map_err(|why| format!("{name}: {why}"))?;
        }
        Ok(names)
    }
}

/// Checks an artefact against its signed length and hash.
pub fn verify_artefact(file: &FileInfo, bytes: &[u8]) -> Result<(), VerifyError> {
    if file.length != Some(bytes.len() as u64) {
        return Err(VerifyError::Mismatch("its length".into()));
    }
    match file.hashes.get("sha256") {
        Some(hash) if *hash == sha256(bytes) => Ok(()),
        Some(_) => Err(VerifyError::Mismatch("its hash".into())),
        None => Err(VerifyError::Missing("sha256".into())),
    }
}

/// Unpacks an artefact, to at most its signed unpacked length.
pub fn unpack(file: &FileInfo, bytes: &[u8]) -> Result<Vec<u8>, VerifyError> {
    let custom = file.custom.as_ref().unwrap_or(&Value::Null);
    let packed = match custom["packed"].as_str() {
        None | Some("no") => return Ok(bytes.to_vec()),
        Some("zstd") => zstd::Decoder::new(bytes).map_err(malformed)?,
        Some(other) => return Err(malformed(format!("packed by '{other}'"))),
    };
    let length = custom["unpacked_length"].as_u64().filter(|l| *l <= MAX_ARTEFACT);
    let length = length.ok_or_else(|| VerifyError::Missing("unpacked_length".into()))?;
    let mut plain = Vec::new();
    packed.take(length + 1).read_to_end(&mut plain).map_err(malformed)?;
    if plain.len() as u64 != length || custom["unpacked_sha256"] != sha256(&plain) {
        return Err(VerifyError::Mismatch("the unpacked artefact".into()));
    }
    Ok(plain)
}
