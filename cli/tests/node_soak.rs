//! A short soak of the live node among scripted peers; longer ones are run by hand (docs/operations.md).
use std::process::Command;

fn soak(seed: u64) {
    let seed = seed.to_string();
    let out = Command::new(env!("CARGO_BIN_EXE_rockpick"))
        .args(["rehearse", "--day", "node", "--seconds", "20", "--seed", &seed])
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success(), "{said}{}", String::from_utf8_lossy(&out.stderr));
}

/// Guards against requests without their one answer, effects twice, picks past a drain, cold machines overloaded, caps broken.
#[test]
fn a_soak_of_the_live_node_keeps_the_rules() {
    soak(1);
}

/// Guards against requests without an answer whose connections are closed for new ones of a crowd.
#[test]
fn a_soak_with_crowds_keeps_the_rules() {
    soak(9);
}
