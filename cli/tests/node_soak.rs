//! Runs a short soak test of live nodes among scripted peers; longer ones are run by hand (docs/operations.md).
use std::process::{Command, Output};

fn rehearse(seed: u64, seconds: u64, more: &[&str]) -> Output {
    let (seed, seconds) = (seed.to_string(), seconds.to_string());
    Command::new(env!("CARGO_BIN_EXE_rockpick"))
        .args(["rehearse", "--day", "node", "--seconds", &seconds, "--seed", &seed])
        .args(more)
        .output()
        .unwrap()
}

fn soak(seed: u64) {
    let out = rehearse(seed, 20, &[]);
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

/// Guards against a checker that is blind: requests that are lost, run twice, sent to drained machines or sent beyond a cap, each
/// planted among real processes, are reported under their rule.
#[test]
fn planted_faults_are_reported() {
    for rule in ["1", "2", "3", "5"] {
        let out = rehearse(3, 6, &["--faulty", rule]);
        let stdout = String::from_utf8_lossy(&out.stdout);
        assert!(!out.status.success() && stdout.contains(&format!("\nrule {rule}: ")), "{rule}: {stdout}");
    }
}
