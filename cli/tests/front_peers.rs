//! Fronts that run as peers, each in a process of its own, with faults between them.
mod peers;

use peers::*;
use rockpick_control::Settings;
use rockpick_fault_injection::relay::Relay;
use rockpick_fault_injection::LinkConditions;
use rustix::process::Signal;
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;

/// Writes a group's key to a file.
fn key_file(text: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    file
}

/// Starts a front that peers reach at `at`, with the seed addresses `join`.
fn start_member(
    name: &str, at: Option<SocketAddr>, join: &[SocketAddr], key: &tempfile::NamedTempFile,
) -> Proc {
    start_front("127.0.0.1:9", name, at, join, key, &[])
}

fn start_front(
    controller: &str, name: &str, at: Option<SocketAddr>, join: &[SocketAddr], key: &tempfile::NamedTempFile,
    more: &[&str],
) -> Proc {
    let join: Vec<String> = join.iter().map(SocketAddr::to_string).collect();
    let (join, at, key) = (join.join(","), at.map(|a| a.to_string()), key.path().display().to_string());
    let mut args = vec!["front", "--name", name, "--controller", controller, "--peers-listen", "127.0.0.1:0"];
    args.extend(["--peers-period-ms", "50", "--peers-key", &key]);
    args.extend(more);
    if !join.is_empty() {
        args.extend(["--peers", &join]);
    }
    if let Some(at) = &at {
        args.extend(["--peers-at", at]);
    }
    start(&args)
}

fn peers_address(front: &Proc) -> SocketAddr {
    get(front.at, "/peers")["listen"].as_str().unwrap().parse().unwrap()
}

fn status(of: &Value, name: &str) -> String {
    let rows = of["members"].as_array().unwrap();
    let row = rows.iter().find(|r| r["name"] == name);
    row.map_or(String::new(), |r| r["status"].as_str().unwrap().to_string())
}

/// Starts three fronts that are connected through a relay.
fn three_fronts() -> (Relay, Vec<Proc>, tempfile::NamedTempFile) {
    let (relay, key) = (Relay::start(3, 1).unwrap(), key_file("the key of these three fronts"));
    let fronts: Vec<Proc> = (0..3)
        .map(|i| start_member(&format!("f{i}"), Some(relay.addresses[i]), &relay.addresses[..i], &key))
        .collect();
    fronts.iter().enumerate().for_each(|(i, front)| relay.set_address(i, peers_address(front)));
    wait_until("all fronts know each other", || fronts.iter().all(|f| get(f.at, "/peers")["there"] == 3));
    (relay, fronts, key)
}

#[test]
fn a_front_without_a_peers_address_has_no_peers() {
    let front = front("127.0.0.1:9".parse().unwrap(), &[]);
    assert!(get(front.at, "/peers")["error"].as_str().unwrap().contains("--peers-listen"));
}

#[test]
fn a_killed_front_is_gone_and_returns_as_a_new_instance() {
    let (relay, mut fronts, key) = three_fronts();
    let life = get(fronts[0].at, "/peers")["self"]["life"].clone();
    drop(fronts.remove(0));
    wait_until("the front is gone", || fronts.iter().all(|f| status(&get(f.at, "/peers"), "f0") == "gone"));
    // Shared limits are still divided by the gone member too.
    assert_eq!(get(fronts[0].at, "/peers")["counted"], 3);
    let back = start_member("f0", Some(relay.addresses[0]), &relay.addresses[1..], &key);
    relay.set_address(0, peers_address(&back));
    wait_until("the front is back", || fronts.iter().all(|f| status(&get(f.at, "/peers"), "f0") == "alive"));
    assert_ne!(get(back.at, "/peers")["self"]["life"], life);
    signal(&back, Signal::TERM);
    wait_until("the front has left", || fronts.iter().all(|f| status(&get(f.at, "/peers"), "f0") == "left"));
}

/// A member that can send but not receive from one other must not be declared gone, thanks to indirect probes.
#[test]
fn a_one_way_partition_between_two_leaves_all_present() {
    let (relay, fronts, _key) = three_fronts();
    relay.set_link(0, 1, LinkConditions { cut: true, ..LinkConditions::default() });
    let lost = || relay.counts(0, 1).lost;
    wait_until("messages are dropped", || lost() > 20);
    let saw_gone =
        |f: &Proc| get(f.at, "/peers")["changes"].as_array().unwrap().iter().any(|c| c["what"] == "gone");
    assert!(!fronts.iter().any(saw_gone));
}

#[test]
fn a_suspended_front_resumes_and_declares_nobody_gone() {
    let (_relay, fronts, _key) = three_fronts();
    signal(&fronts[2], Signal::STOP);
    wait_until("the front is gone", || {
        fronts[..2].iter().all(|f| status(&get(f.at, "/peers"), "f2") == "gone")
    });
    signal(&fronts[2], Signal::CONT);
    wait_until("the front is back", || fronts.iter().all(|f| get(f.at, "/peers")["there"] == 3));
    let changes = get(fronts[2].at, "/peers")["changes"].clone();
    assert!(changes.as_array().unwrap().iter().all(|c| c["what"] != "gone"), "{changes}");
}

#[test]
fn datagrams_without_the_key_are_counted_and_change_nothing() {
    let (_relay, fronts, _key) = three_fronts();
    let outsider =
        start_member("f9", None, &[peers_address(&fronts[0])], &key_file("another key, not the group's"));
    let sock = UdpSocket::bind("127.0.0.1:0").unwrap();
    for i in 0..200u8 {
        sock.send_to(&[b"RPpr\x01".as_slice(), &[i; 40]].concat(), peers_address(&fronts[0])).unwrap();
    }
    wait_until("the datagrams are counted", || {
        get(fronts[0].at, "/peers")["strange"].as_u64().unwrap() > 150
    });
    assert_eq!(
        (get(fronts[0].at, "/peers")["there"].clone(), get(outsider.at, "/peers")["there"].clone()),
        (3.into(), 1.into())
    );
}

#[test]
fn an_invalid_key_or_address_is_reported_at_the_start() {
    let short = key_file("short");
    for (args, named) in [
        (vec!["--peers-listen", "127.0.0.1:0"], "--peers-key"),
        (vec!["--peers-listen", "127.0.0.1:0", "--peers-key", short.path().to_str().unwrap()], "16"),
        (vec!["--peers-listen", "0.0.0.0:0", "--peers-key", "/etc/hostname"], "--peers"),
        (vec!["--peers", "127.0.0.1:9"], "--peers-listen"),
    ] {
        let run = Command::new(env!("CARGO_BIN_EXE_rockpick"))
            .args(["front", "--name", "f0", "--controller", "127.0.0.1:9"])
            .args(&args)
            .output()
            .unwrap();
        let output = String::from_utf8_lossy(&run.stderr).to_string();
        assert!(run.status.code() == Some(2) && output.contains(named), "{args:?}: {output}");
    }
}

/// A few generated fault plans for five fronts; hundreds are run by hand.
#[test]
fn fronts_agree_after_generated_faults() {
    let run = Command::new(env!("CARGO_BIN_EXE_rockpick"))
        .args(["storm", "--peers", "5", "--seeds", "4", "--first", "1", "--lanes", "4"])
        .output()
        .unwrap();
    let output = String::from_utf8_lossy(&run.stdout).to_string();
    assert!(run.status.success() && output.contains(" 0 broken"), "{output}");
}

/// A front that restarts does not remember which keys the build on trial has answered, so the other fronts must tell it.
#[test]
fn one_way_keys_stay_bound_across_restarts_and_fronts() {
    let mut settings = Settings::example(2, 4);
    settings.rollout.told_every_ms = 100;
    settings.rollout.tally_every_ms = 0;
    (settings.rollout.one_way, settings.rollout.free) = (true, 2.0);
    settings.rollout.window_ms = 500;
    let controller = ScriptedController::start(settings);
    let (old, new) = (ScriptedMachine::start(Behavior::Responds), ScriptedMachine::start(Behavior::Responds));
    controller.stage(1, 0, "released", 1.0);
    controller.roster("whole", &[("a", old.at, 1, "up"), ("b", new.at, 2, "up")]);
    controller.stage(2, 0, "on-trial", 1.0);
    let key = key_file("the key of these two fronts");
    let at = controller.at.to_string();
    let start = |name: &str, join: &[SocketAddr]| {
        let front = start_front(&at, name, None, join, &key, &[]);
        wait_for_machines(&front, 2);
        front
    };
    let build_of = |output: &str| output.split("Rockpick-Build: ").nth(1).and_then(|s| s.chars().next());
    let ask = |front: &Proc, key: u32| rpc(front.at, "lookup", &format!("Rockpick-Key: k{key}\r\n"));
    let f0 = start("f0", &[]);
    let f1 = start("f1", &[peers_address(&f0)]);
    let is_complete =
        |f: &Proc| get(f.at, "/peers")["copies"]["whole"].as_array().is_some_and(|w| w.len() == 5);
    wait_until("both are complete", || is_complete(&f0) && is_complete(&f1));
    // A key that the build on trial has answered at one front.
    let mut key = 0;
    wait_until("the trial answers a key", || {
        key += 1;
        build_of(&ask(&f0, key).1) == Some('2')
    });
    let binding_count = |f: &Proc| get(f.at, "/peers")["copies"]["rows"]["Bindings"].as_u64().unwrap();
    wait_until("the other front has the key", || binding_count(&f1) == binding_count(&f0));
    // At the other front, and at the first one after its restart, the cap of the trial is nearly 0: only bound keys go there.
    controller.stage(2, 0, "on-trial", 0.01);
    let request_bound_key = |front: &Proc| {
        let (status, output) = ask(front, key);
        assert!(status == 200 && build_of(&output) == Some('2') || status == 503, "{output}");
        status
    };
    wait_until("the bound key is answered by the trial", || request_bound_key(&f1) == 200);
    drop(f0);
    let f0 = start("f0", &[peers_address(&f1)]);
    (0..30).for_each(|_| {
        request_bound_key(&f0);
        std::thread::sleep(std::time::Duration::from_millis(20));
    });
    wait_until("the restarted front is complete", || is_complete(&f0));
    wait_until("the bound key is answered by the trial again", || request_bound_key(&f0) == 200);
}

/// A front whose own controller is silent must learn from another front that the build on trial is sent back, and keep to that
/// when an older line arrives late.
#[test]
fn a_build_withdrawn_at_another_front_gets_no_more_picks() {
    let settings = || {
        let mut settings = Settings::example(2, 4);
        (settings.rollout.told_every_ms, settings.rollout.tally_every_ms) = (5_000, 0);
        (settings.rollout.free, settings.rollout.window_ms) = (100.0, 500);
        settings
    };
    let (old, new) = (ScriptedMachine::start(Behavior::Responds), ScriptedMachine::start(Behavior::Responds));
    let controllers = [ScriptedController::start(settings()), ScriptedController::start(settings())];
    for controller in &controllers {
        controller.stage(1, 0, "released", 1.0);
        controller.roster("whole", &[("a", old.at, 1, "up"), ("b", new.at, 2, "up")]);
        controller.stage(2, 0, "on-trial", 1.0);
    }
    let key = key_file("the key of these two fronts");
    let start = |i: usize, join: &[SocketAddr]| {
        let front = start_front(&controllers[i].at.to_string(), &format!("f{i}"), None, join, &key, &[]);
        wait_for_machines(&front, 2);
        front
    };
    let first = start(0, &[]);
    let join = [peers_address(&first)];
    let fronts = [first, start(1, &join)];
    wait_until("the fronts know each other", || fronts.iter().all(|f| get(f.at, "/peers")["there"] == 2));
    let build_of = |output: &str| output.split("Rockpick-Build: ").nth(1).and_then(|s| s.chars().next());
    let asked = |key: u32| build_of(&rpc(fronts[1].at, "lookup", &format!("Rockpick-Key: k{key}\r\n")).1);
    let mut at = 0;
    wait_until("the trial gets picks", || {
        at += 1;
        asked(at) == Some('2')
    });
    // Only the first front's controller reports it.
    controllers[0].stage(2, 0, "going-back", 0.0);
    wait_until("the second front knows", || get(fronts[1].at, "/status")["stage"]["phase"] == "going-back");
    controllers[1].stage(2, 0, "on-trial", 1.0);
    assert!((0..60).all(|i| asked(1_000 + i) != Some('2')));
    assert_eq!(get(fronts[1].at, "/status")["stage"]["phase"], "going-back");
    let state = |args: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_rockpick")).arg("peers").args(args).output().unwrap()
    };
    let at = fronts[1].at.to_string();
    let rows = String::from_utf8_lossy(&state(&["state", "--front", &at]).stdout).to_string();
    assert!(rows.contains("Build(2)") && rows.contains("withdrawn: true"), "{rows}");
    let both = format!("{},{at}", fronts[0].at);
    wait_until("both have the same rows", || state(&["differ", "--fronts", &both]).status.code() == Some(0));
    assert_eq!(state(&["state", "--front", &at, "--table", "nonsense"]).status.code(), Some(2));
}

#[test]
fn clocks_off_by_one_percent_leave_all_present() {
    let key = key_file("the key of these three fronts");
    let start = |i: usize, join: &[SocketAddr], ppm: &str| {
        start_front("127.0.0.1:9", &format!("f{i}"), None, join, &key, &[ppm])
    };
    let first = start(0, &[], "--clock-ppm=10000");
    let join = [peers_address(&first)];
    let fronts = [first, start(1, &join, "--clock-ppm=-10000"), start(2, &join, "--clock-ppm=0")];
    wait_until("all fronts know each other", || fronts.iter().all(|f| get(f.at, "/peers")["there"] == 3));
    let heard = |f: &Proc| get(f.at, "/peers")["heard"]["datagrams"].as_u64().unwrap();
    wait_until("many periods have passed", || fronts.iter().all(|f| heard(f) > 100));
    let saw_gone =
        |f: &Proc| get(f.at, "/peers")["changes"].as_array().unwrap().iter().any(|c| c["what"] == "gone");
    assert!(!fronts.iter().any(saw_gone));
}

#[test]
fn fronts_agree_after_a_hundred_periods_of_thirty_percent_loss() {
    let (relay, fronts, _key) = three_fronts();
    let all = |way: LinkConditions| {
        (0..3).for_each(|a| (0..3).filter(|b| *b != a).for_each(|b| relay.set_link(a, b, way)))
    };
    all(LinkConditions { lost: 0.3, ..LinkConditions::default() });
    std::thread::sleep(std::time::Duration::from_secs(5));
    all(LinkConditions::default());
    let agreed = |f: &Proc| {
        let shown = get(f.at, "/peers");
        shown["there"] == 3 && shown["members"].as_array().unwrap().iter().all(|m| m["status"] == "alive")
    };
    wait_until("all fronts agree", || fronts.iter().all(agreed));
}

#[test]
fn one_of_two_processes_under_one_name_keeps_it() {
    let key = key_file("the key of these three fronts");
    let first = start_member("f0", None, &[], &key);
    let join = [peers_address(&first)];
    let fronts = [first, start_member("f1", None, &join, &key), start_member("f2", None, &join, &key)];
    wait_until("all fronts know each other", || fronts.iter().all(|f| get(f.at, "/peers")["there"] == 3));
    let second = start_member("f1", None, &join, &key);
    let name_taken = |f: &Proc| {
        get(f.at, "/peers")["changes"].as_array().unwrap().iter().any(|c| c["what"] == "name taken")
    };
    wait_until("one of them gives up the name", || name_taken(&fronts[1]) || name_taken(&second));
    let keeps = if name_taken(&second) { &fronts[1] } else { &second };
    assert!(!name_taken(keeps));
    let life = get(keeps.at, "/peers")["self"]["life"].clone();
    let held = |f: &Proc| {
        let shown = get(f.at, "/peers");
        let rows = shown["members"].as_array().unwrap();
        rows.iter().any(|m| m["name"] == "f1" && m["life"] == life && m["status"] == "alive")
    };
    wait_until("the others have its record", || [&fronts[0], &fronts[2]].into_iter().all(held));
}

/// Three fronts behind a relay, with a build on trial for one-way keys.
struct TrialSetup {
    relay: Relay,
    controller: ScriptedController,
    key: tempfile::NamedTempFile,
    fronts: Vec<Proc>,
    _machines: [ScriptedMachine; 2],
}

impl TrialSetup {
    fn start() -> TrialSetup {
        let mut settings = Settings::example(3, 4);
        (settings.rollout.told_every_ms, settings.rollout.tally_every_ms) = (100, 0);
        (settings.rollout.one_way, settings.rollout.free, settings.rollout.window_ms) = (true, 10_000.0, 500);
        let machines =
            [ScriptedMachine::start(Behavior::Responds), ScriptedMachine::start(Behavior::Responds)];
        let controller = ScriptedController::start(settings);
        controller.stage(1, 0, "released", 1.0);
        controller.roster("whole", &[("a", machines[0].at, 1, "up"), ("b", machines[1].at, 2, "up")]);
        controller.stage(2, 0, "on-trial", 1.0);
        let (relay, key) = (Relay::start(3, 1).unwrap(), key_file("the key of these three fronts"));
        let mut setup = TrialSetup { relay, controller, key, fronts: Vec::new(), _machines: machines };
        (0..3).for_each(|i| {
            let front = setup.front(i);
            setup.fronts.push(front);
        });
        wait_until("all are complete", || setup.fronts.iter().all(is_complete));
        setup
    }

    fn front(&self, i: usize) -> Proc {
        self.front_with(i, &[])
    }

    fn front_with(&self, i: usize, more: &[&str]) -> Proc {
        let others: Vec<SocketAddr> = (0..3).filter(|j| *j != i).map(|j| self.relay.addresses[j]).collect();
        let (controller, seat) = (self.controller.at.to_string(), Some(self.relay.addresses[i]));
        let front = start_front(&controller, &format!("f{i}"), seat, &others, &self.key, more);
        self.relay.set_address(i, peers_address(&front));
        wait_for_machines(&front, 2);
        front
    }

    /// Requests keys at a front until this many were answered by the trial.
    fn bind(&self, front: usize, from: u32, many: u64) {
        let at = self.fronts[front].at;
        let before = binding_count(&self.fronts[front]);
        let mut key = from;
        while binding_count(&self.fronts[front]) < before + many {
            (0..20).for_each(|i| drop(rpc(at, "lookup", &format!("Rockpick-Key: {}\r\n", key + i))));
            key += 20;
            assert!(key < from + 50_000);
        }
    }
}

fn is_complete(f: &Proc) -> bool {
    get(f.at, "/peers")["copies"]["whole"].as_array().is_some_and(|w| w.len() == 5)
}

fn binding_count(f: &Proc) -> u64 {
    get(f.at, "/peers")["copies"]["rows"]["Bindings"].as_u64().unwrap()
}

fn digest(f: &Proc) -> Value {
    get(f.at, "/peers")["copies"]["digests"].clone()
}

/// A returning front copies rows over a lossy link while one of its sources is killed.
#[test]
fn another_source_continues_a_transfer_when_the_first_is_killed() {
    let mut setup = TrialSetup::start();
    setup.bind(0, 0, 400);
    let all = binding_count(&setup.fronts[0]);
    wait_until("all have the keys", || setup.fronts.iter().all(|f| binding_count(f) == all));
    drop(setup.fronts.remove(2));
    let way = LinkConditions { lost: 0.2, delay: 20_000_000, ..LinkConditions::default() };
    (0..2).for_each(|i| setup.relay.set_link(i, 2, way));
    let back = setup.front(2);
    wait_until("the returning front has some keys", || binding_count(&back) > 0);
    drop(setup.fronts.remove(0));
    wait_until("the returning front is complete", || is_complete(&back) && binding_count(&back) == all);
    assert_eq!(digest(&back), digest(&setup.fronts[0]));
}

/// Keys are bound on both sides of a partition; afterwards both sides must hold all of them.
#[test]
fn keys_bound_on_both_sides_of_a_partition_are_merged() {
    let setup = TrialSetup::start();
    let cut = |on: bool| {
        for (a, b) in [(0, 1), (0, 2), (1, 0), (2, 0)] {
            setup.relay.set_link(a, b, LinkConditions { cut: on, ..LinkConditions::default() });
        }
    };
    cut(true);
    setup.bind(0, 0, 50);
    setup.bind(1, 100_000, 50);
    let sides = [binding_count(&setup.fronts[0]), binding_count(&setup.fronts[1])];
    cut(false);
    wait_until("all have the same keys", || {
        let first = digest(&setup.fronts[0]);
        setup.fronts.iter().all(|f| binding_count(f) == sides[0] + sides[1] && digest(f) == first)
    });
}

/// All fronts are killed and restarted within a second, one of them with a disk that lost its writes: the keys must be restored
/// from the others' files.
#[test]
fn fronts_all_restarted_within_a_second_restore_their_keys() {
    let mut setup = TrialSetup::start();
    setup.fronts.clear();
    let dir = tempfile::tempdir().unwrap();
    let fault_file = dir.path().join("lies");
    std::fs::write(&fault_file, "sync-lies").unwrap();
    let (state, fault_file) = (dir.path().display().to_string(), fault_file.display().to_string());
    let start = |setup: &TrialSetup| -> Vec<Proc> {
        let more = |i: usize| match i {
            0 => vec!["--state", &state, "--disk-lies", &fault_file],
            _ => vec!["--state", &state],
        };
        (0..3).map(|i| setup.front_with(i, &more(i))).collect()
    };
    setup.fronts = start(&setup);
    wait_until("all are complete", || setup.fronts.iter().all(is_complete));
    setup.bind(0, 0, 100);
    let all = binding_count(&setup.fronts[0]);
    wait_until("all have the keys", || setup.fronts.iter().all(|f| binding_count(f) == all));
    let kept = |f: &Proc| get(f.at, "/peers")["copies"]["kept"].as_u64().unwrap_or(0);
    wait_until("all have written the keys", || setup.fronts.iter().all(|f| kept(f) >= all));
    setup.fronts.clear();
    setup.fronts = start(&setup);
    wait_until("all have the keys again", || {
        setup.fronts.iter().all(|f| is_complete(f) && binding_count(f) == all)
    });
}

/// A hanging snapshot, imitated by a pipe that nobody reads, must not prevent rows from being written.
#[test]
fn rows_are_written_while_a_snapshot_hangs() {
    let (dir, key) = (tempfile::tempdir().unwrap(), key_file("the key of this front alone"));
    create_fifo(&dir.path().join("f0.new"));
    let state = dir.path().display().to_string();
    let front = start_front("127.0.0.1:9", "f0", None, &[], &key, &["--state", &state]);
    wait_until("the rows are written", || dir.path().join("f0.peers.rows").exists());
    assert_eq!(get(front.at, "/peers")["copies"]["kept"], 0);
}
