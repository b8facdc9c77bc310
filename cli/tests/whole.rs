//! Whole programs as processes: rehearsals, violations found by the checker, fronts that reconnect, usage errors.
mod peers;

use peers::*;
use rockpick_control::Settings;
use std::process::Command;

/// Runs a rehearsal; returns its exit code and standard output.
fn rehearse(args: &[&str]) -> (i32, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_rockpick")).arg("rehearse").args(args).output().unwrap();
    (out.status.code().unwrap_or(-1), String::from_utf8_lossy(&out.stdout).into_owned())
}

const SHORT_DAY: [&str; 8] = ["--day", "short", "--machines", "6", "--fronts", "2", "--rate", "40"];

#[test]
fn a_short_day_keeps_the_rules() {
    let (code, output) = rehearse(&SHORT_DAY);
    assert_eq!((code, output.lines().last()), (0, Some("rules: kept")), "{output}");
    assert!(output.contains("build 2 stage 1 on trial"), "the trial advanced: {output}");
}

#[test]
fn each_faulty_front_is_found_by_the_rule_it_violates() {
    let days: Vec<_> = (1..=5)
        .map(|rule| {
            std::thread::spawn(move || {
                let number = rule.to_string();
                let mut args = SHORT_DAY.to_vec();
                args.extend(["--quiet", "--faulty", &number]);
                (rule, rehearse(&args))
            })
        })
        .collect();
    for day in days {
        let (rule, (code, output)) = day.join().unwrap();
        assert_eq!(code, 1, "{output}");
        assert!(
            output.contains(&format!("\nrule {rule}: ")) && output.contains("\nrules: broken "),
            "rule {rule}: {output}"
        );
    }
}

#[test]
fn thirty_fronts_reconnect_to_a_restarted_controller() {
    let state = std::env::temp_dir().join(format!("rockpick-test-fronts-{}", std::process::id()));
    let state = state.to_string_lossy().into_owned();
    let controller = start(&["controller", "--state", &state]);
    let at = controller.at.to_string();
    let settings = serde_json::to_string(&Settings::example(30, 2)).unwrap();
    assert_eq!(rockpick_rehearse::call(controller.at, "PUT", "/settings", &settings).unwrap().status, 200);
    let names: Vec<String> = (0..30).map(|i| format!("f{i}")).collect();
    let fronts: Vec<Proc> =
        names.iter().map(|n| start(&["front", "--name", n, "--controller", &at])).collect();
    let all_watch = |at| get(at, "/status")["watching"].as_array().map_or(0, Vec::len) == 30;
    wait_until("all watch", || all_watch(controller.at));
    drop(controller);
    let controller = start(&["controller", "--state", &state, "--listen", &at]);
    wait_until("all watch again", || all_watch(controller.at));
    assert_eq!(get(controller.at, "/status")["settings_version"], 1, "the settings survive the restart");
    // New settings reach every running front.
    let mut changed = Settings::example(30, 2);
    changed.rollout.free = 3.0;
    let settings = serde_json::to_string(&changed).unwrap();
    assert_eq!(rockpick_rehearse::call(controller.at, "PUT", "/settings", &settings).unwrap().status, 200);
    for front in &fronts {
        wait_until("the new settings", || get(front.at, "/status")["settings_version"] == 2);
    }
    drop(fronts);
    let _ = std::fs::remove_dir_all(state);
}

#[test]
fn usage_errors_exit_with_2_and_a_message() {
    for args in [
        &["rehearse", "--day", "never"][..],
        &["rehearse", "--trouble", "none-such"],
        &["rehearse", "--rate", "0"],
        &["front", "--name", "f0"],
        &[
            "machine",
            "--controller",
            "127.0.0.1:1",
            "--name",
            "m",
            "--place",
            "p",
            "--build",
            "1",
            "--bad",
            "x",
        ],
        &["controller", "--listen", "here"],
        &["status", "--controller", "127.0.0.1:1"],
        &["settings", "check", "/nonexistent"],
        &["nothing"],
    ] {
        let out = Command::new(env!("CARGO_BIN_EXE_rockpick")).args(args).output().unwrap();
        assert_eq!(out.status.code(), Some(2), "{args:?}");
        assert!(
            !out.stderr.is_empty() && !String::from_utf8_lossy(&out.stderr).contains("panicked"),
            "{args:?}"
        );
    }
    let state = std::env::temp_dir().join(format!("rockpick-test-truncated-{}", std::process::id()));
    std::fs::create_dir_all(&state).unwrap();
    std::fs::write(state.join("controller.json"), b"{\"version\":1,").unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_rockpick"))
        .args(["controller", "--state"])
        .arg(&state)
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("snapshot"));
    assert_eq!(
        std::fs::read(state.join("controller.json")).unwrap(),
        b"{\"version\":1,",
        "the damaged snapshot is left unchanged"
    );
    let _ = std::fs::remove_dir_all(state);
}

/// Guards against one-way keys that are not copied to other fronts or lost at a restart, and against a checker that
/// misses it. Three fronts run under generated faults, with peers and without; only the run with peers may pass.
#[test]
fn a_day_of_peers_keeps_rules_and_copies_and_the_checker_finds_fronts_without_peers() {
    let day = ["--day", "peers", "--machines", "8", "--rate", "60", "--quiet"];
    let alone = std::thread::spawn(move || rehearse(&[&day[..], &["--seed", "3", "--alone"]].concat()));
    let (code, output) = rehearse(&[&day[..], &["--seed", "1"]].concat());
    assert!(code == 0 && output.contains("copies: all fronts hold the same"), "{output}");
    let (code, output) = alone.join().unwrap();
    assert!(code == 1 && output.contains("that another front, or life, has"), "{output}");
}
