//! Short soak tests of the live node with scripted peers; longer ones are run by hand (docs/operations.md).
use std::process::Command;

fn soak(seed: u64) {
    let seed = seed.to_string();
    let out = Command::new(env!("CARGO_BIN_EXE_rockpick"))
        .args(["rehearse", "--day", "node", "--seconds", "20", "--seed", &seed])
        .output()
        .unwrap();
    let output = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success(), "{output}{}", String::from_utf8_lossy(&out.stderr));
}

/// Guards against requests without exactly one answer, duplicate effects, picks after a drain, overloaded cold machines
/// and exceeded caps.
#[test]
fn a_soak_of_the_live_node_keeps_the_rules() {
    soak(1);
}

/// Guards against unanswered requests whose connections are closed to make room for a surge of new clients.
#[test]
fn a_soak_with_surges_of_clients_keeps_the_rules() {
    soak(9);
}
