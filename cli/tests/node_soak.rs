//! Runs a short soak test of the live node among scripted peers; longer ones are run by hand (docs/operations.md).
use std::process::Command;

fn soak(seed: u64) {
    let seed = seed.to_string();
    let out = Command::new(env!("CARGO_BIN_EXE_rockpick"))
        .args(["rehearse", "--day", "node", "--seconds", "20", "--seed", &seed])
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success(), "{stdout}{}", String::from_utf8_lossy(&out.stderr));
}

/// Guards against requests without exactly one answer, repeated effects, picks after the grace of a drain, overloaded cold
/// machines and exceeded caps.
#[test]
fn a_soak_of_the_live_node_keeps_the_rules() {
    soak(1);
}

/// Guards against unanswered requests on connections that the node closes to make room for new ones of a crowd.
#[test]
fn a_soak_with_crowds_keeps_the_rules() {
    soak(9);
}
