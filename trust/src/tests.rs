//! Attacks named in the specification, against a real repository in a folder.
use crate::client::{Refresh, Request, Trusted};
use crate::meta::{Root, Signed, VerifyError};
use crate::repo::{load_keys, sign, unpack, Repo};
use std::fs;
use std::path::PathBuf;

const NOW: i64 = 1_796_130_000;
const DAY: i64 = 86_400;

struct TestRepo {
    _dir: tempfile::TempDir,
    repo: Repo,
    keydir: PathBuf,
}

impl TestRepo {
    fn new(keys_per_role: usize) -> TestRepo {
        let dir = tempfile::tempdir().unwrap();
        let repo = Repo { dir: dir.path().join("repo"), now: NOW };
        let keydir = dir.path().join("keys");
        repo.init(&keydir, keys_per_role).unwrap();
        TestRepo { _dir: dir, repo, keydir }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.repo.dir.join("metadata").join(name)
    }

    fn trusted(&self) -> Trusted {
        Trusted { root: fs::read(self.file("1.root.json")).unwrap(), ..Trusted::default() }
    }

    /// Runs a refresh against the files in the folder.
    fn refresh(&self, trusted: Trusted, now: i64) -> Result<Refresh, VerifyError> {
        let mut refresh = Refresh::new(trusted, now)?;
        while let Request::File { name, .. } = refresh.next_request() {
            refresh.receive(fs::read(self.file(&name)).ok().as_deref())?;
        }
        Ok(refresh)
    }

    fn add(&self, build: u32) {
        let artefact = self.repo.dir.join("artefact");
        fs::write(&artefact, format!("build {build}")).unwrap();
        self.repo.add(&self.keydir, build, &artefact, build.is_multiple_of(2)).unwrap();
    }
}

#[test]
fn a_refresh_finds_the_builds_and_a_rotation_of_every_role_is_followed() {
    let test_repo = TestRepo::new(2);
    test_repo.add(1);
    let kept = test_repo.refresh(test_repo.trusted(), NOW).unwrap().trusted;
    for role in ["timestamp", "snapshot", "targets", "root", "root"] {
        test_repo.repo.rotate(&test_repo.keydir, role).unwrap();
    }
    test_repo.add(2);
    for from in [test_repo.trusted(), kept] {
        let refresh = test_repo.refresh(from, NOW).unwrap();
        assert_eq!((refresh.root_version(), refresh.targets().count()), (6, 2));
        let (file, path) = refresh.target("build-2").unwrap();
        let bytes = fs::read(test_repo.repo.dir.join("targets").join(path)).unwrap();
        assert_eq!(unpack(&file, &bytes).unwrap(), b"build 2");
    }
    assert_eq!(test_repo.repo.verify(&test_repo.trusted().root).unwrap(), ["build-1", "build-2"]);
}

#[test]
fn one_signature_short_of_the_threshold_or_doubled_is_refused() {
    let test_repo = TestRepo::new(2);
    let mut timestamp = Signed::read(&fs::read(test_repo.file("timestamp.json")).unwrap()).unwrap();
    timestamp.signatures[1] = timestamp.signatures[0].clone();
    fs::write(test_repo.file("timestamp.json"), serde_json::to_vec(&timestamp).unwrap()).unwrap();
    let refused = test_repo.refresh(test_repo.trusted(), NOW).err().unwrap();
    assert_eq!(refused, VerifyError::Threshold { role: "timestamp".into(), valid: 1, wanted: 2 });
}

#[test]
fn every_byte_of_signed_metadata_counts() {
    let test_repo = TestRepo::new(1);
    test_repo.add(1);
    for name in ["timestamp.json", "2.snapshot.json", "2.targets.json"] {
        let good = fs::read(test_repo.file(name)).unwrap();
        let mut accepted = 0;
        for at in (0..good.len()).step_by(3) {
            let mut bad = good.clone();
            bad[at] ^= 1;
            fs::write(test_repo.file(name), &bad).unwrap();
            // The bytes of a timestamp are not hashed, so white space may change, but not the content.
            if let Ok(refresh) = test_repo.refresh(test_repo.trusted(), NOW) {
                let meaning = |bytes: &[u8]| Signed::read(bytes).unwrap().signed;
                assert_eq!(meaning(&bad), meaning(&good), "{name} at {at}");
                assert_eq!(refresh.targets().count(), 1);
                accepted += 1;
            }
        }
        assert!(name == "timestamp.json" || accepted == 0, "{name}: its hash is signed");
        fs::write(test_repo.file(name), &good).unwrap();
    }
}

#[test]
fn rollback_freeze_and_mix_and_match_are_refused() {
    let test_repo = TestRepo::new(1);
    test_repo.add(1);
    let older =
        ["timestamp.json", "2.snapshot.json", "2.targets.json"].map(|n| fs::read(test_repo.file(n)).unwrap());
    test_repo.add(3);
    let kept = test_repo.refresh(test_repo.trusted(), NOW).unwrap().trusted;
    let newer = fs::read(test_repo.file("timestamp.json")).unwrap();
    // An older timestamp, then one of a higher version that lists an older snapshot.
    fs::write(test_repo.file("timestamp.json"), &older[0]).unwrap();
    assert!(matches!(test_repo.refresh(kept.clone(), NOW), Err(VerifyError::Rollback(_))));
    let signers = load_keys(&test_repo.keydir, "timestamp").unwrap();
    let mut index = Signed::read(&older[0]).unwrap().signed;
    index["version"] = 9.into();
    fs::write(test_repo.file("timestamp.json"), sign(&index, &signers).unwrap()).unwrap();
    assert!(matches!(test_repo.refresh(kept.clone(), NOW), Err(VerifyError::Rollback(_))));
    // Freeze: no new timestamp until the last has expired.
    fs::write(test_repo.file("timestamp.json"), &newer).unwrap();
    assert!(matches!(test_repo.refresh(kept.clone(), NOW + 3 * DAY), Err(VerifyError::Expired { .. })));
    // An older targets file under the name of the newer one.
    let good = fs::read(test_repo.file("3.targets.json")).unwrap();
    fs::write(test_repo.file("3.targets.json"), &older[2]).unwrap();
    assert!(matches!(test_repo.refresh(kept.clone(), NOW), Err(VerifyError::Mismatch(_))));
    // What was trusted stays trusted: a good repository is accepted again.
    fs::write(test_repo.file("3.targets.json"), good).unwrap();
    assert!(test_repo.refresh(kept, NOW).is_ok());
}

#[test]
fn a_root_must_be_the_next_one_and_signed_by_old_and_new_keys() {
    let test_repo = TestRepo::new(1);
    let other_repo = TestRepo::new(1);
    test_repo.repo.rotate(&test_repo.keydir, "root").unwrap();
    let good = fs::read(test_repo.file("2.root.json")).unwrap();
    // Signed by the new keys alone.
    let new = load_keys(&test_repo.keydir, "root").unwrap().pop().unwrap();
    let part = Signed::read(&good).unwrap().signed;
    fs::write(test_repo.file("2.root.json"), sign(&part, std::slice::from_ref(&new)).unwrap()).unwrap();
    assert!(matches!(test_repo.refresh(test_repo.trusted(), NOW), Err(VerifyError::Threshold { .. })));
    // A skipped version.
    let mut part = part;
    part["version"] = 3.into();
    let both = load_keys(&test_repo.keydir, "root").unwrap();
    fs::write(test_repo.file("2.root.json"), sign(&part, &both).unwrap()).unwrap();
    assert!(matches!(
        test_repo.refresh(test_repo.trusted(), NOW),
        Err(VerifyError::Version { got: 3, wanted: 2, .. })
    ));
    // The root of another repository.
    fs::write(test_repo.file("2.root.json"), fs::read(other_repo.file("1.root.json")).unwrap()).unwrap();
    assert!(test_repo.refresh(test_repo.trusted(), NOW).is_err());
    // A year later the root itself has expired.
    fs::write(test_repo.file("2.root.json"), good).unwrap();
    let late = test_repo.refresh(test_repo.trusted(), NOW + 366 * DAY).err().unwrap();
    assert!(matches!(late, VerifyError::Expired { role, .. } if role == "root"));
}

#[test]
fn new_timestamp_keys_recover_from_a_fast_forward_attack() {
    let test_repo = TestRepo::new(1);
    let signers = load_keys(&test_repo.keydir, "timestamp").unwrap();
    let good = fs::read(test_repo.file("timestamp.json")).unwrap();
    let mut index = Signed::read(&good).unwrap().signed;
    index["version"] = 1_000_000.into();
    fs::write(test_repo.file("timestamp.json"), sign(&index, &signers).unwrap()).unwrap();
    let kept = test_repo.refresh(test_repo.trusted(), NOW).unwrap().trusted;
    fs::write(test_repo.file("timestamp.json"), &good).unwrap();
    assert!(matches!(test_repo.refresh(kept.clone(), NOW), Err(VerifyError::Rollback(_))));
    test_repo.repo.rotate(&test_repo.keydir, "timestamp").unwrap();
    assert!(test_repo.refresh(kept, NOW).is_ok());
}

#[test]
fn a_packed_build_is_bounded_when_unpacked_and_keys_are_readable_by_their_owner_only() {
    let test_repo = TestRepo::new(1);
    test_repo.add(2);
    let refresh = test_repo.refresh(test_repo.trusted(), NOW).unwrap();
    let (mut file, _) = refresh.target("build-2").unwrap();
    let bomb = zstd::encode_all(vec![0u8; 1 << 26].as_slice(), 3).unwrap();
    assert!(matches!(unpack(&file, &bomb), Err(VerifyError::Mismatch(_))));
    file.custom.as_mut().unwrap()["unpacked_length"] = (1u64 << 40).into();
    assert!(matches!(unpack(&file, &bomb), Err(VerifyError::Missing(_))));
    let key = test_repo.keydir.join("root-1.key");
    use std::os::unix::fs::PermissionsExt;
    assert_eq!(fs::metadata(&key).unwrap().permissions().mode() & 0o777, 0o600);
    fs::set_permissions(&key, fs::Permissions::from_mode(0o644)).unwrap();
    assert!(test_repo.repo.rotate(&test_repo.keydir, "root").unwrap_err().contains("others may read it"));
    // Without the key of a role, adding a build fails and writes nothing.
    fs::remove_file(test_repo.keydir.join("timestamp-1.key")).unwrap();
    let artefact = test_repo.repo.dir.join("artefact");
    // Finding 32: build numbers that a controller can't offer are rejected.
    assert!([0, 65_536].iter().all(|b| test_repo
        .repo
        .add(&test_repo.keydir, *b, &artefact, false)
        .unwrap_err()
        .contains("65535")));
    let before = fs::read_dir(test_repo.repo.dir.join("metadata")).unwrap().count();
    assert!(test_repo.repo.add(&test_repo.keydir, 4, &artefact, false).unwrap_err().contains("timestamp"));
    assert_eq!(fs::read_dir(test_repo.repo.dir.join("metadata")).unwrap().count(), before);
}

/// Finding 38: a repository whose root can't be read must not be overwritten by a new one.
#[test]
fn a_repository_with_a_broken_root_is_not_overwritten() {
    let test_repo = TestRepo::new(1);
    let at = test_repo.repo.dir.join("metadata/1.root.json");
    fs::write(&at, b"torn").unwrap();
    assert!(test_repo.repo.init(&test_repo.keydir, 1).unwrap_err().contains("already"));
    assert_eq!(fs::read(&at).unwrap(), b"torn");
}

/// Compatibility rule: another major version of the specification is rejected; unknown fields are kept and
/// covered by the signatures.
#[test]
fn another_major_version_is_refused_and_unknown_fields_are_kept() {
    let test_repo = TestRepo::new(1);
    let mut root: serde_json::Value = serde_json::from_slice(&test_repo.trusted().root).unwrap();
    root["signed"]["later"] = 1.into();
    let read = |root: &serde_json::Value| Signed::read(root.to_string().as_bytes());
    let signed = read(&root).unwrap();
    assert!(signed.parse_signed::<Root>("root").is_ok() && signed.signed["later"] == 1);
    root["signed"]["spec_version"] = "2.0.0".into();
    assert!(matches!(read(&root), Err(VerifyError::Malformed(_))));
}
