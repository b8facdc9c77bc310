//! The repository: a folder of metadata and targets, and keys kept apart from it, each readable by its owner
//! only. Roles are separable: a command needs only the keys of the roles that it signs.
use crate::client::{Refresh, Trusted, Want};
use crate::meta::{
    canonical, date, malformed, sha256, File, Index, Key, Refused, Role, Root, Sig, Signed, Targets,
};
use crate::meta::{ROLES, SPEC};
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

/// How long each role's metadata is good, in days: roots by hand once a year, timestamps by a nightly job.
const GOOD_DAYS: [(&str, i64); 4] = [("root", 365), ("targets", 90), ("snapshot", 14), ("timestamp", 2)];
/// Largest artefact taken in, before and after unpacking.
pub const MOST_ARTEFACT: u64 = 1 << 30;

pub struct Repo {
    pub dir: PathBuf,
    /// Seconds since 1970.
    pub now: i64,
}

fn io(at: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |err| format!("{}: {err}", at.display())
}

fn refused(refused: Refused) -> String {
    refused.to_string()
}

/// The signing keys of a role, from `DIR/ROLE-N.key`: a seed of 32 bytes in hex.
pub fn keys(dir: &Path, role: &str) -> Result<Vec<SigningKey>, String> {
    let mut files: Vec<PathBuf> = fs::read_dir(dir).map_err(io(dir))?.flatten().map(|e| e.path()).collect();
    files.sort();
    let ours = |p: &PathBuf| {
        let name = p.file_name().and_then(|n| n.to_str()).unwrap_or("");
        let nth =
            name.strip_suffix(".key").and_then(|n| n.strip_prefix(role)).and_then(|n| n.strip_prefix('-'));
        nth.is_some_and(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()))
    };
    let mut keys = Vec::new();
    for file in files.into_iter().filter(ours) {
        let mode = fs::metadata(&file).map_err(io(&file))?.permissions().mode();
        if mode & 0o077 != 0 {
            return Err(format!(
                "{}: others may read it (mode {:o}); chmod 600 it",
                file.display(),
                mode & 0o777
            ));
        }
        let text = fs::read_to_string(&file).map_err(io(&file))?;
        let seed: Option<[u8; 32]> = hex::decode(text.trim()).ok().and_then(|b| b.try_into().ok());
        keys.push(SigningKey::from_bytes(&seed.ok_or(format!("{}: not a key", file.display()))?));
    }
    Ok(keys)
}

/// Makes keys for a role beside those it has; returns all new ones.
fn make_keys(dir: &Path, role: &str, many: usize) -> Result<Vec<SigningKey>, String> {
    fs::DirBuilder::new().recursive(true).mode(0o700).create(dir).map_err(io(dir))?;
    let mut made = Vec::new();
    let mut nth = 1;
    while made.len() < many {
        let file = dir.join(format!("{role}-{nth}.key"));
        nth += 1;
        if file.exists() {
            continue;
        }
        let mut seed = [0u8; 32];
        getrandom::fill(&mut seed).map_err(|err| err.to_string())?;
        let open = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&file);
        let mut out = open.map_err(io(&file))?;
        out.write_all(hex::encode(seed).as_bytes()).and_then(|()| out.sync_all()).map_err(io(&file))?;
        made.push(SigningKey::from_bytes(&seed));
    }
    Ok(made)
}

fn public(key: &SigningKey) -> Key {
    Key::ed25519(&key.verifying_key().to_bytes())
}

/// Signs with all keys given.
pub fn sign(part: &impl Serialize, keys: &[SigningKey]) -> Result<Vec<u8>, String> {
    let signed = serde_json::to_value(part).map_err(|err| err.to_string())?;
    let bytes = canonical(&signed).map_err(refused)?;
    let sig = |key: &SigningKey| -> Result<Sig, Refused> {
        Ok(Sig { keyid: public(key).id()?, sig: hex::encode(key.sign(&bytes).to_bytes()) })
    };
    let signatures = keys.iter().map(sig).collect::<Result<Vec<_>, _>>().map_err(refused)?;
    serde_json::to_vec_pretty(&Signed { signatures, signed }).map_err(|err| err.to_string())
}

impl Repo {
    fn metadata(&self, name: &str) -> PathBuf {
        self.dir.join("metadata").join(name)
    }

    fn expires(&self, role: &str) -> String {
        let days = GOOD_DAYS.iter().find(|(r, _)| *r == role).map_or(1, |(_, d)| *d);
        date(self.now + days * 86_400)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> Result<(), String> {
        let at = self.metadata(name);
        atomic_file::replace(&at, bytes).map_err(io(&at))
    }

    /// The newest root.
    pub fn root(&self) -> Result<Root, String> {
        let dir = self.dir.join("metadata");
        let names = fs::read_dir(&dir).map_err(io(&dir))?.flatten();
        let version = |name: String| name.strip_suffix(".root.json")?.parse::<u64>().ok();
        let newest = names.filter_map(|e| version(e.file_name().to_string_lossy().into_owned())).max();
        let newest = newest.ok_or(format!("{}: no root", dir.display()))?;
        let at = self.metadata(&format!("{newest}.root.json"));
        Signed::read(&fs::read(&at).map_err(io(&at))?).and_then(|s| s.part("root")).map_err(refused)
    }

    fn read<T: for<'a> serde::Deserialize<'a>>(&self, file: &str, role: &str) -> Result<T, String> {
        let at = self.metadata(file);
        Signed::read(&fs::read(&at).map_err(io(&at))?).and_then(|s| s.part(role)).map_err(refused)
    }

    /// A new repository, with keys of its own: `many` a role, all of which must sign.
    pub fn init(&self, keydir: &Path, many: usize) -> Result<(), String> {
        if !(1..=16).contains(&many) {
            return Err("1 to 16 keys a role".into());
        }
        for sub in ["metadata", "targets"] {
            let at = self.dir.join(sub);
            fs::create_dir_all(&at).map_err(io(&at))?;
        }
        // Also one whose root can't be read: it must not be written over for that.
        if self.newest("root").is_ok() {
            return Err(format!("{}: there is a repository already", self.dir.display()));
        }
        let (mut listed, mut roles, mut held) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for role in ROLES {
            let keys = make_keys(keydir, role, many)?;
            let mut keyids = Vec::new();
            for key in &keys {
                let id = public(key).id().map_err(refused)?;
                listed.insert(id.clone(), public(key));
                keyids.push(id);
            }
            roles.insert(role.to_string(), Role { keyids, threshold: many });
            held.insert(role, keys);
        }
        let root = Root {
            kind: "root".into(),
            spec_version: SPEC.into(),
            consistent_snapshot: true,
            version: 1,
            expires: self.expires("root"),
            keys: listed,
            roles,
        };
        self.write("1.root.json", &sign(&root, &held["root"])?)?;
        let targets = Targets {
            kind: "targets".into(),
            spec_version: SPEC.into(),
            version: 1,
            expires: self.expires("targets"),
            targets: BTreeMap::new(),
        };
        self.write("1.targets.json", &sign(&targets, &held["targets"])?)?;
        self.snapshot(keydir, 1, 1)?;
        self.timestamp(keydir, 1)
    }

    fn may_sign(&self, keydir: &Path, role: &str) -> Result<Vec<SigningKey>, String> {
        let root = self.root()?;
        let known = root.roles.get(role).ok_or(format!("{role}: no such role"))?;
        let ours = |key: &SigningKey| public(key).id().is_ok_and(|id| known.keyids.contains(&id));
        let keys: Vec<SigningKey> = keys(keydir, role)?.into_iter().filter(ours).collect();
        if keys.len() < known.threshold {
            return Err(format!(
                "{role}: {} of its keys are here, {} must sign",
                keys.len(),
                known.threshold
            ));
        }
        Ok(keys)
    }

    fn snapshot(&self, keydir: &Path, version: u64, targets: u64) -> Result<(), String> {
        let at = self.metadata(&format!("{targets}.targets.json"));
        let bytes = fs::read(&at).map_err(io(&at))?;
        let index = self.index("snapshot", version, "targets.json", targets, &bytes);
        let keys = self.may_sign(keydir, "snapshot")?;
        self.write(&format!("{version}.snapshot.json"), &sign(&index, &keys)?)
    }

    /// The last step of any change: until it is done, clients see the state before.
    fn timestamp(&self, keydir: &Path, version: u64) -> Result<(), String> {
        let keys = self.may_sign(keydir, "timestamp")?;
        let snapshot = self.newest("snapshot")?;
        let at = self.metadata(&format!("{snapshot}.snapshot.json"));
        let bytes = fs::read(&at).map_err(io(&at))?;
        let index = self.index("timestamp", version, "snapshot.json", snapshot, &bytes);
        self.write("timestamp.json", &sign(&index, &keys)?)
    }

    fn index(&self, role: &str, version: u64, file: &str, of: u64, bytes: &[u8]) -> Index {
        let hashes = BTreeMap::from([("sha256".to_string(), sha256(bytes))]);
        let told = File { version: Some(of), length: Some(bytes.len() as u64), hashes, custom: None };
        Index {
            kind: role.into(),
            spec_version: SPEC.into(),
            version,
            expires: self.expires(role),
            meta: BTreeMap::from([(file.to_string(), told)]),
        }
    }

    /// The newest version of a role's numbered files.
    fn newest(&self, role: &str) -> Result<u64, String> {
        let dir = self.dir.join("metadata");
        let suffix = format!(".{role}.json");
        let version = |name: String| name.strip_suffix(&suffix)?.parse::<u64>().ok();
        let names = fs::read_dir(&dir).map_err(io(&dir))?.flatten();
        let all = names.filter_map(|e| version(e.file_name().to_string_lossy().into_owned()));
        all.max().ok_or(format!("{}: no {role}", dir.display()))
    }

    /// Takes a build in, as target `build-N`, packed if told; all roles below root sign.
    pub fn add(&self, keydir: &Path, build: u32, artefact: &Path, pack: bool) -> Result<String, String> {
        // What no controller can offer must not be signed for.
        if !(1..=MAX_BUILD).contains(&build) {
            return Err(format!("build {build}: 1 to {MAX_BUILD}"));
        }
        let size = fs::metadata(artefact).map_err(io(artefact))?.len();
        if size == 0 || size > MOST_ARTEFACT {
            return Err(format!("{}: empty, or over 1 GiB", artefact.display()));
        }
        let plain = fs::read(artefact).map_err(io(artefact))?;
        let kept = match pack {
            true => zstd::encode_all(plain.as_slice(), 3).map_err(io(artefact))?,
            false => plain.clone(),
        };
        let custom = json!({ "build": build, "packed": if pack { "zstd" } else { "no" },
            "unpacked_length": plain.len(), "unpacked_sha256": sha256(&plain) });
        let name = format!("build-{build}");
        let newest = self.newest("targets")?;
        let mut targets: Targets = self.read(&format!("{newest}.targets.json"), "targets")?;
        if targets.targets.contains_key(&name) {
            return Err(format!("{name}: it is there already, and a build never changes"));
        }
        // All keys must be at hand before anything is written.
        let signers = self.may_sign(keydir, "targets")?;
        self.may_sign(keydir, "snapshot")?;
        self.may_sign(keydir, "timestamp")?;
        let hash = sha256(&kept);
        let at = self.dir.join("targets").join(format!("{hash}.{name}"));
        atomic_file::replace(&at, &kept).map_err(io(&at))?;
        let hashes = BTreeMap::from([("sha256".to_string(), hash)]);
        let file = File { version: None, length: Some(kept.len() as u64), hashes, custom: Some(custom) };
        targets.targets.insert(name.clone(), file);
        (targets.version, targets.expires) = (newest + 1, self.expires("targets"));
        self.write(&format!("{}.targets.json", targets.version), &sign(&targets, &signers)?)?;
        self.publish(keydir)?;
        Ok(name)
    }

    /// A snapshot of the newest targets, then a timestamp of that.
    fn publish(&self, keydir: &Path) -> Result<(), String> {
        self.snapshot(keydir, self.newest("snapshot")? + 1, self.newest("targets")?)?;
        let timestamp: Index = self.read("timestamp.json", "timestamp")?;
        self.timestamp(keydir, timestamp.version + 1)
    }

    /// Signs a role anew, with a new version and expiry; what rests on it is told where the keys are here.
    pub fn sign(&self, keydir: &Path, role: &str) -> Result<(), String> {
        match role {
            "timestamp" => {
                let timestamp: Index = self.read("timestamp.json", "timestamp")?;
                self.timestamp(keydir, timestamp.version + 1)
            }
            "snapshot" => self.publish(keydir),
            "targets" => {
                let newest = self.newest("targets")?;
                let mut targets: Targets = self.read(&format!("{newest}.targets.json"), "targets")?;
                (targets.version, targets.expires) = (newest + 1, self.expires("targets"));
                let keys = self.may_sign(keydir, "targets")?;
                self.write(&format!("{}.targets.json", newest + 1), &sign(&targets, &keys)?)?;
                self.publish(keydir)
            }
            "root" => {
                let old = self.root()?;
                let root = Root { version: old.version + 1, expires: self.expires("root"), ..old };
                let keys = self.may_sign(keydir, "root")?;
                self.write(&format!("{}.root.json", root.version), &sign(&root, &keys)?)
            }
            other => Err(format!("{other}: root, targets, snapshot or timestamp")),
        }
    }

    /// New keys for a role in place of its old ones, by a new root that old and new root keys sign.
    pub fn rotate(&self, keydir: &Path, role: &str) -> Result<(), String> {
        let old = self.root()?;
        let mut signers = self.may_sign(keydir, "root")?;
        let known =
            old.roles.get(role).ok_or(format!("{role}: root, targets, snapshot or timestamp"))?.clone();
        let made = make_keys(keydir, role, known.threshold)?;
        let mut root = Root { version: old.version + 1, expires: self.expires("root"), ..old };
        root.keys.retain(|id, _| {
            !known.keyids.contains(id) || root.roles.iter().any(|(r, k)| r != role && k.keyids.contains(id))
        });
        let mut keyids = Vec::new();
        for key in &made {
            let id = public(key).id().map_err(refused)?;
            root.keys.insert(id.clone(), public(key));
            keyids.push(id);
        }
        root.roles.insert(role.into(), Role { keyids, threshold: known.threshold });
        if role == "root" {
            signers.extend(made);
        }
        self.write(&format!("{}.root.json", root.version), &sign(&root, &signers)?)?;
        // What the old keys had signed is signed by the new ones.
        match role {
            "root" => Ok(()),
            role => self.sign(keydir, role),
        }
    }

    /// Walks the client's way from a trusted root through all metadata and every target.
    pub fn verify(&self, root: &[u8]) -> Result<Vec<String>, String> {
        let trusted = Trusted { root: root.to_vec(), ..Trusted::default() };
        let mut refresh = Refresh::begin(trusted, self.now).map_err(refused)?;
        while let Want::File { name, most, may_miss } = refresh.want() {
            let at = self.metadata(&name);
            let bytes = match atomic_file::load(&at).map_err(io(&at))? {
                Some(bytes) if bytes.len() > most => return Err(format!("{name}: longer than {most} bytes")),
                None if !may_miss => return Err(format!("{name}: missing")),
                bytes => bytes,
            };
            refresh.given(bytes.as_deref()).map_err(refused)?;
        }
        let names: Vec<String> = refresh.targets().cloned().collect();
        for name in &names {
            let Some((file, path)) = refresh.target(name) else { return Err(format!("{name}: no sha256")) };
            let at = self.dir.join("targets").join(&path);
            let bytes = fs::read(&at).map_err(io(&at))?;
            check(&file, &bytes).map_err(|why| format!("{name}: {why}"))?;
            unpack(&file, &bytes).map_err(|why| format!("{name}: {why}"))?;
        }
        Ok(names)
    }
}

/// Are these the bytes that were signed for?
pub fn check(file: &File, bytes: &[u8]) -> Result<(), Refused> {
    if file.length != Some(bytes.len() as u64) {
        return Err(Refused::Other("its length".into()));
    }
    match file.hashes.get("sha256") {
        Some(hash) if *hash == sha256(bytes) => Ok(()),
        Some(_) => Err(Refused::Other("its hash".into())),
        None => Err(Refused::Missing("sha256".into())),
    }
}

/// The artefact in plain; a packed one is bounded by the length that was signed for.
pub fn unpack(file: &File, bytes: &[u8]) -> Result<Vec<u8>, Refused> {
    let custom = file.custom.as_ref().unwrap_or(&Value::Null);
    let packed = match custom["packed"].as_str() {
        None | Some("no") => return Ok(bytes.to_vec()),
        Some("zstd") => zstd::Decoder::new(bytes).map_err(malformed)?,
        Some(other) => return Err(malformed(format!("packed by '{other}'"))),
    };
    let length = custom["unpacked_length"].as_u64().filter(|l| *l <= MOST_ARTEFACT);
    let length = length.ok_or_else(|| Refused::Missing("unpacked_length".into()))?;
    let mut plain = Vec::new();
    packed.take(length + 1).read_to_end(&mut plain).map_err(malformed)?;
    if plain.len() as u64 != length || custom["unpacked_sha256"] != sha256(&plain) {
        return Err(Refused::Other("the unpacked artefact".into()));
    }
    Ok(plain)
}
