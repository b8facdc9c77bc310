//! Whole programs as processes: rehearsals, the checker's catch, a crowd that reconnects, bad use.
mod peers;

use peers::*;
use rockpick_control::Settings;
use std::process::Command;

fn rehearse(args: &[&str]) -> (i32, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_rockpick")).arg("rehearse").args(args).output().unwrap();
    (out.status.code().unwrap_or(-1), String::from_utf8_lossy(&out.stdout).into_owned())
}

const SHORT: [&str; 8] = ["--day", "short", "--machines", "6", "--fronts", "2", "--rate", "40"];

#[test]
fn a_short_day_keeps_the_rules() {
    let (code, said) = rehearse(&SHORT);
    assert_eq!((code, said.lines().last()), (0, Some("rules: kept")), "{said}");
    assert!(said.contains("build 2 stage 1 on trial"), "the trial moved: {said}");
}

#[test]
fn each_faulty_front_is_caught_by_its_rule() {
    let days: Vec<_> = (1..=5)
        .map(|rule| {
            std::thread::spawn(move || {
                let which = rule.to_string();
                let mut args = SHORT.to_vec();
                args.extend(["--quiet", "--faulty", &which]);
                (rule, rehearse(&args))
            })
        })
        .collect();
    for day in days {
        let (rule, (code, said)) = day.join().unwrap();
        assert_eq!(code, 1, "{said}");
        assert!(
            said.contains(&format!("\nrule {rule}: ")) && said.contains("\nrules: broken "),
            "rule {rule}: {said}"
        );
    }
}

#[test]
fn thirty_fronts_come_back_to_a_restarted_controller() {
    let state = std::env::temp_dir().join(format!("rockpick-test-crowd-{}", std::process::id()));
    let state = state.to_string_lossy().into_owned();
    let controller = start(&["controller", "--state", &state]);
    let at = controller.at.to_string();
    let settings = serde_json::to_string(&Settings::example(30, 2)).unwrap();
    assert_eq!(rockpick_rehearse::call(controller.at, "PUT", "/settings", &settings).unwrap().status, 200);
    let names: Vec<String> = (0..30).map(|i| format!("f{i}")).collect();
    let fronts: Vec<Proc> =
        names.iter().map(|n| start(&["front", "--name", n, "--controller", &at])).collect();
    let all = |at| get(at, "/status")["watching"].as_array().map_or(0, Vec::len) == 30;
    wait_until("all watch", || all(controller.at));
    drop(controller);
    let controller = start(&["controller", "--state", &state, "--listen", &at]);
    wait_until("all watch again", || all(controller.at));
    assert_eq!(get(controller.at, "/status")["settings_version"], 1, "its settings were kept");
    // New settings reach every front in its running.
    let mut charter = Settings::example(30, 2);
    charter.rollout.free = 3.0;
    let settings = serde_json::to_string(&charter).unwrap();
    assert_eq!(rockpick_rehearse::call(controller.at, "PUT", "/settings", &settings).unwrap().status, 200);
    for front in &fronts {
        wait_until("the new settings", || get(front.at, "/status")["settings_version"] == 2);
    }
    drop(fronts);
    let _ = std::fs::remove_dir_all(state);
}

#[test]
fn bad_use_exits_with_2_and_a_word() {
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
    let torn = std::env::temp_dir().join(format!("rockpick-test-torn-{}", std::process::id()));
    std::fs::create_dir_all(&torn).unwrap();
    std::fs::write(torn.join("controller.json"), b"{\"version\":1,").unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_rockpick"))
        .args(["controller", "--state"])
        .arg(&torn)
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("snapshot"));
    assert_eq!(
        std::fs::read(torn.join("controller.json")).unwrap(),
        b"{\"version\":1,",
        "it stands as it was"
    );
    let _ = std::fs::remove_dir_all(torn);
}

/// Three fronts under a drawn storm, keys of one way: kept over fronts and lives where they keep company, and found to be
/// lost where they don't.
#[test]
fn a_day_of_peers_keeps_rules_and_copies_and_its_checker_finds_fronts_that_keep_none() {
    let day = ["--day", "peers", "--machines", "8", "--rate", "60", "--quiet"];
    let alone = std::thread::spawn(move || rehearse(&[&day[..], &["--seed", "3", "--alone"]].concat()));
    let (code, said) = rehearse(&[&day[..], &["--seed", "1"]].concat());
    assert!(code == 0 && said.contains("copies: all fronts hold the same"), "{said}");
    let (code, said) = alone.join().unwrap();
    assert!(code == 1 && said.contains("that another front or process bound"), "{said}");
}
