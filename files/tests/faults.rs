//! Tests the injected faults, in one test because the current fault is global to the process.
use rockpick_files::{inject_faults_from, read, rename, File, FAULT_NAMES};

#[test]
fn each_fault_has_its_effect() {
    let dir = std::env::temp_dir().join(format!("rockpick-files-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let [fault, at, to] = ["fault", "at", "to"].map(|name| dir.join(name));
    inject_faults_from(fault.clone());
    // Writes a file under a fault; returns which steps succeeded and what the file holds after the process has ended.
    let write = |name: &str| {
        std::fs::write(&fault, name).unwrap();
        let mut file = File::create(&at).unwrap();
        let succeeded =
            [file.write_all(b"whole text").is_ok(), file.sync().is_ok(), rename(&at, &to).is_ok()];
        drop(file);
        std::fs::write(&fault, "").unwrap();
        (succeeded, std::fs::read(&to).unwrap_or_default())
    };
    assert_eq!(write(""), ([true; 3], b"whole text".to_vec()));
    for (name, succeeded, left) in [
        ("sync-lies", [true; 3], &b""[..]),
        ("sync-fails", [true, false, true], b""),
        ("write-short", [true; 3], b"whole"),
        ("write-fails", [false, true, true], b""),
        ("no-space", [false, true, true], b"whole"),
    ] {
        assert_eq!(write(name), (succeeded, left.to_vec()), "{name}");
    }
    write("");
    assert_eq!(write("rename-fails"), ([true, true, false], b"whole text".to_vec()));
    let reads = |name: &str| {
        std::fs::write(&fault, name).unwrap();
        let bytes = read(&to);
        std::fs::write(&fault, "").unwrap();
        bytes.ok()
    };
    assert_eq!(reads("read-fails"), None);
    let flipped = reads("read-flips").unwrap();
    assert_eq!(flipped.iter().zip(b"whole text").filter(|(a, b)| a != b).count(), 1);
    let started = std::time::Instant::now();
    assert!(reads("slow").is_some() && started.elapsed().as_secs() >= 5);
    assert_eq!(FAULT_NAMES.len(), 9);
    std::fs::remove_dir_all(&dir).unwrap();
}
