//! Fronts that keep company, each a process of its own, with faults between them.
mod peers;

use peers::*;
use rockpick_control::Charter;
use rockpick_storm::relay::Relay;
use rockpick_storm::Way;
use rustix::process::Signal;
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;

/// A group's key in a file.
fn key(words: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(words.as_bytes()).unwrap();
    file
}

/// A front of a name, reached at `at`, that begins with `join`.
fn member(name: &str, at: Option<SocketAddr>, join: &[SocketAddr], key: &tempfile::NamedTempFile) -> Proc {
    member_of("127.0.0.1:9", name, at, join, key, &[])
}

fn member_of(
    desk: &str, name: &str, at: Option<SocketAddr>, join: &[SocketAddr], key: &tempfile::NamedTempFile,
    more: &[&str],
) -> Proc {
    let join: Vec<String> = join.iter().map(SocketAddr::to_string).collect();
    let (join, at, key) = (join.join(","), at.map(|a| a.to_string()), key.path().display().to_string());
    let mut args = vec!["front", "--name", name, "--controller", desk, "--peers-listen", "127.0.0.1:0"];
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

fn listens(front: &Proc) -> SocketAddr {
    get(front.at, "/peers")["listen"].as_str().unwrap().parse().unwrap()
}

fn status(of: &Value, name: &str) -> String {
    let rows = of["members"].as_array().unwrap();
    let row = rows.iter().find(|r| r["name"] == name);
    row.map_or(String::new(), |r| r["status"].as_str().unwrap().to_string())
}

/// Three fronts that know each other through a relay.
fn three() -> (Relay, Vec<Proc>, tempfile::NamedTempFile) {
    let (relay, key) = (Relay::begin(3, 1).unwrap(), key("the key of these three fronts"));
    let fronts: Vec<Proc> =
        (0..3).map(|i| member(&format!("f{i}"), Some(relay.seats[i]), &relay.seats[..i], &key)).collect();
    fronts.iter().enumerate().for_each(|(i, front)| relay.real(i, listens(front)));
    wait_until("all know each other", || fronts.iter().all(|f| get(f.at, "/peers")["there"] == 3));
    (relay, fronts, key)
}

#[test]
fn a_front_without_an_address_for_peers_keeps_no_company() {
    let front = front("127.0.0.1:9".parse().unwrap(), &[]);
    assert!(get(front.at, "/peers")["error"].as_str().unwrap().contains("--peers-listen"));
}

#[test]
fn one_that_is_killed_is_gone_and_returns_as_a_new_life() {
    let (relay, mut fronts, key) = three();
    let life = get(fronts[0].at, "/peers")["self"]["life"].clone();
    drop(fronts.remove(0));
    wait_until("it is gone", || fronts.iter().all(|f| status(&get(f.at, "/peers"), "f0") == "gone"));
    // Gone or not, shares are counted over it still.
    assert_eq!(get(fronts[0].at, "/peers")["counted"], 3);
    let back = member("f0", Some(relay.seats[0]), &relay.seats[1..], &key);
    relay.real(0, listens(&back));
    wait_until("it is back", || fronts.iter().all(|f| status(&get(f.at, "/peers"), "f0") == "alive"));
    assert_ne!(get(back.at, "/peers")["self"]["life"], life);
    signal(&back, Signal::TERM);
    wait_until("it has left", || fronts.iter().all(|f| status(&get(f.at, "/peers"), "f0") == "left"));
}

/// Sends and does not hear: the others help it, and nobody is taken out.
#[test]
fn a_one_way_cut_between_two_takes_nobody_out() {
    let (relay, fronts, _key) = three();
    relay.set(0, 1, Way { cut: true, ..Way::default() });
    let lost = || relay.passed(0, 1).lost;
    wait_until("the cut is felt", || lost() > 20);
    let went =
        |f: &Proc| get(f.at, "/peers")["changes"].as_array().unwrap().iter().any(|c| c["what"] == "gone");
    assert!(!fronts.iter().any(went));
}

#[test]
fn one_that_is_stopped_wakes_to_a_backlog_and_judges_nobody() {
    let (_relay, fronts, _key) = three();
    signal(&fronts[2], Signal::STOP);
    wait_until("it is gone", || fronts[..2].iter().all(|f| status(&get(f.at, "/peers"), "f2") == "gone"));
    signal(&fronts[2], Signal::CONT);
    wait_until("it is back", || fronts.iter().all(|f| get(f.at, "/peers")["there"] == 3));
    let changes = get(fronts[2].at, "/peers")["changes"].clone();
    assert!(changes.as_array().unwrap().iter().all(|c| c["what"] != "gone"), "{changes}");
}

#[test]
fn a_stranger_s_datagrams_are_counted_and_change_nothing() {
    let (_relay, fronts, _key) = three();
    let stranger = member("f9", None, &[listens(&fronts[0])], &key("another key, not the group's"));
    let sock = UdpSocket::bind("127.0.0.1:0").unwrap();
    for i in 0..200u8 {
        sock.send_to(&[b"RPpr\x01".as_slice(), &[i; 40]].concat(), listens(&fronts[0])).unwrap();
    }
    wait_until("they are counted", || get(fronts[0].at, "/peers")["strange"].as_u64().unwrap() > 150);
    assert_eq!(
        (get(fronts[0].at, "/peers")["there"].clone(), get(stranger.at, "/peers")["there"].clone()),
        (3.into(), 1.into())
    );
}

#[test]
fn peers_without_a_key_or_at_no_address_are_refused_in_words() {
    let short = key("short");
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
        let said = String::from_utf8_lossy(&run.stderr).to_string();
        assert!(run.status.code() == Some(2) && said.contains(named), "{args:?}: {said}");
    }
}

/// Drawn storms upon five fronts: a few here, hundreds by hand.
#[test]
fn storms_leave_all_fronts_agreed() {
    let run = Command::new(env!("CARGO_BIN_EXE_rockpick"))
        .args(["storm", "--peers", "5", "--seeds", "4", "--first", "1", "--lanes", "4"])
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&run.stdout).to_string();
    assert!(run.status.success() && said.contains(" 0 broken"), "{said}");
}

/// The gap that was: a front that returns has forgotten which keys the build on trial has answered.
#[test]
fn one_way_keys_hold_over_lives_and_fronts() {
    let mut charter = Charter::example(2, 4);
    charter.rollout.told_every_ms = 100;
    charter.rollout.tally_every_ms = 0;
    (charter.rollout.one_way, charter.rollout.free) = (true, 2.0);
    charter.rollout.window_ms = 500;
    let teller = ScriptedController::start(charter);
    let (old, new) = (ScriptedMachine::start(Behavior::Responds), ScriptedMachine::start(Behavior::Responds));
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", &[("a", old.at, 1, "up"), ("b", new.at, 2, "up")]);
    teller.stage(2, 0, "on-trial", 1.0);
    let key = key("the key of these two fronts");
    let at = teller.at.to_string();
    let begin = |name: &str, join: &[SocketAddr]| {
        let front = member_of(&at, name, None, join, &key, &[]);
        wait_for_machines(&front, 2);
        front
    };
    let built = |said: &str| said.split("Rockpick-Build: ").nth(1).and_then(|s| s.chars().next());
    let ask = |front: &Proc, key: u32| rpc(front.at, "lookup", &format!("Rockpick-Key: k{key}\r\n"));
    let f0 = begin("f0", &[]);
    let f1 = begin("f1", &[listens(&f0)]);
    let whole = |f: &Proc| get(f.at, "/peers")["copies"]["whole"].as_array().is_some_and(|w| w.len() == 5);
    wait_until("both are whole", || whole(&f0) && whole(&f1));
    // A key that the build on trial has answered at one front.
    let mut key = 0;
    wait_until("the trial answers a key", || {
        key += 1;
        built(&ask(&f0, key).1) == Some('2')
    });
    let rows = |f: &Proc| get(f.at, "/peers")["copies"]["rows"]["Bindings"].as_u64().unwrap();
    wait_until("the other knows it", || rows(&f1) == rows(&f0));
    // At the other front, and at the first one's next life, the trial is nearly shut: only bound keys go there.
    teller.stage(2, 0, "on-trial", 0.01);
    let goes = |front: &Proc| {
        let (status, said) = ask(front, key);
        assert!(status == 200 && built(&said) == Some('2') || status == 503, "{said}");
        status
    };
    wait_until("the bound key is answered by the trial", || goes(&f1) == 200);
    drop(f0);
    let f0 = begin("f0", &[listens(&f1)]);
    (0..30).for_each(|_| {
        goes(&f0);
        std::thread::sleep(std::time::Duration::from_millis(20));
    });
    wait_until("it knows all again", || whole(&f0));
    wait_until("the bound key is answered by the trial again", || goes(&f0) == 200);
}

/// A front whose own desk is silent hears from another front that the build on trial goes back, and stays with that
/// though a line from before comes late.
#[test]
fn a_build_withdrawn_elsewhere_gets_no_more_picks_here() {
    let charter = || {
        let mut charter = Charter::example(2, 4);
        (charter.rollout.told_every_ms, charter.rollout.tally_every_ms) = (5_000, 0);
        (charter.rollout.free, charter.rollout.window_ms) = (100.0, 500);
        charter
    };
    let (old, new) = (ScriptedMachine::start(Behavior::Responds), ScriptedMachine::start(Behavior::Responds));
    let tellers = [ScriptedController::start(charter()), ScriptedController::start(charter())];
    for teller in &tellers {
        teller.stage(1, 0, "released", 1.0);
        teller.roster("whole", &[("a", old.at, 1, "up"), ("b", new.at, 2, "up")]);
        teller.stage(2, 0, "on-trial", 1.0);
    }
    let key = key("the key of these two fronts");
    let begin = |i: usize, join: &[SocketAddr]| {
        let front = member_of(&tellers[i].at.to_string(), &format!("f{i}"), None, join, &key, &[]);
        wait_for_machines(&front, 2);
        front
    };
    let first = begin(0, &[]);
    let join = [listens(&first)];
    let fronts = [first, begin(1, &join)];
    wait_until("they know each other", || fronts.iter().all(|f| get(f.at, "/peers")["there"] == 2));
    let built = |said: &str| said.split("Rockpick-Build: ").nth(1).and_then(|s| s.chars().next());
    let asked = |key: u32| built(&rpc(fronts[1].at, "lookup", &format!("Rockpick-Key: k{key}\r\n")).1);
    let mut at = 0;
    wait_until("the trial gets picks", || {
        at += 1;
        asked(at) == Some('2')
    });
    // The desk of the first alone says so.
    tellers[0].stage(2, 0, "going-back", 0.0);
    wait_until("the second knows", || get(fronts[1].at, "/status")["stage"]["phase"] == "going-back");
    tellers[1].stage(2, 0, "on-trial", 1.0);
    assert!((0..60).all(|i| asked(1_000 + i) != Some('2')));
    assert_eq!(get(fronts[1].at, "/status")["stage"]["phase"], "going-back");
    let state = |args: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_rockpick")).arg("peers").args(args).output().unwrap()
    };
    let at = fronts[1].at.to_string();
    let rows = String::from_utf8_lossy(&state(&["state", "--front", &at]).stdout).to_string();
    assert!(rows.contains("Build(2)") && rows.contains("withdrawn: true"), "{rows}");
    let both = format!("{},{at}", fronts[0].at);
    wait_until("they hold the same", || state(&["differ", "--fronts", &both]).status.code() == Some(0));
    assert_eq!(state(&["state", "--front", &at, "--table", "nonsense"]).status.code(), Some(2));
}

#[test]
fn clocks_a_hundredth_apart_take_nobody_out() {
    let key = key("the key of these three fronts");
    let begin = |i: usize, join: &[SocketAddr], ppm: &str| {
        member_of("127.0.0.1:9", &format!("f{i}"), None, join, &key, &[ppm])
    };
    let first = begin(0, &[], "--clock-ppm=10000");
    let join = [listens(&first)];
    let fronts = [first, begin(1, &join, "--clock-ppm=-10000"), begin(2, &join, "--clock-ppm=0")];
    wait_until("all know each other", || fronts.iter().all(|f| get(f.at, "/peers")["there"] == 3));
    let heard = |f: &Proc| get(f.at, "/peers")["heard"]["datagrams"].as_u64().unwrap();
    wait_until("many periods have passed", || fronts.iter().all(|f| heard(f) > 100));
    let went =
        |f: &Proc| get(f.at, "/peers")["changes"].as_array().unwrap().iter().any(|c| c["what"] == "gone");
    assert!(!fronts.iter().any(went));
}

#[test]
fn loss_of_a_third_for_a_hundred_periods_leaves_all_agreed() {
    let (relay, fronts, _key) = three();
    let all = |way: Way| (0..3).for_each(|a| (0..3).filter(|b| *b != a).for_each(|b| relay.set(a, b, way)));
    all(Way { lost: 0.3, ..Way::default() });
    std::thread::sleep(std::time::Duration::from_secs(5));
    all(Way::default());
    let agreed = |f: &Proc| {
        let shown = get(f.at, "/peers");
        shown["there"] == 3 && shown["members"].as_array().unwrap().iter().all(|m| m["status"] == "alive")
    };
    wait_until("all agree", || fronts.iter().all(agreed));
}

#[test]
fn a_name_taken_by_two_living_processes_stays_with_one() {
    let key = key("the key of these three fronts");
    let first = member("f0", None, &[], &key);
    let join = [listens(&first)];
    let fronts = [first, member("f1", None, &join, &key), member("f2", None, &join, &key)];
    wait_until("all know each other", || fronts.iter().all(|f| get(f.at, "/peers")["there"] == 3));
    let second = member("f1", None, &join, &key);
    let taken = |f: &Proc| {
        get(f.at, "/peers")["changes"].as_array().unwrap().iter().any(|c| c["what"] == "name taken")
    };
    wait_until("one of them falls silent", || taken(&fronts[1]) || taken(&second));
    let keeps = if taken(&second) { &fronts[1] } else { &second };
    assert!(!taken(keeps));
    let life = get(keeps.at, "/peers")["self"]["life"].clone();
    let held = |f: &Proc| {
        let shown = get(f.at, "/peers");
        let rows = shown["members"].as_array().unwrap();
        rows.iter().any(|m| m["name"] == "f1" && m["life"] == life && m["status"] == "alive")
    };
    wait_until("the others hold it", || [&fronts[0], &fronts[2]].into_iter().all(held));
}

/// Three fronts with a build on trial for keys of one way, behind a relay.
struct Keyed {
    relay: Relay,
    teller: ScriptedController,
    key: tempfile::NamedTempFile,
    fronts: Vec<Proc>,
    _machines: [ScriptedMachine; 2],
}

impl Keyed {
    fn begin() -> Keyed {
        let mut charter = Charter::example(3, 4);
        (charter.rollout.told_every_ms, charter.rollout.tally_every_ms) = (100, 0);
        (charter.rollout.one_way, charter.rollout.free, charter.rollout.window_ms) = (true, 10_000.0, 500);
        let machines =
            [ScriptedMachine::start(Behavior::Responds), ScriptedMachine::start(Behavior::Responds)];
        let teller = ScriptedController::start(charter);
        teller.stage(1, 0, "released", 1.0);
        teller.roster("whole", &[("a", machines[0].at, 1, "up"), ("b", machines[1].at, 2, "up")]);
        teller.stage(2, 0, "on-trial", 1.0);
        let (relay, key) = (Relay::begin(3, 1).unwrap(), key("the key of these three fronts"));
        let mut keyed = Keyed { relay, teller, key, fronts: Vec::new(), _machines: machines };
        (0..3).for_each(|i| {
            let front = keyed.front(i);
            keyed.fronts.push(front);
        });
        wait_until("all are whole", || keyed.fronts.iter().all(whole));
        keyed
    }

    fn front(&self, i: usize) -> Proc {
        self.front_with(i, &[])
    }

    fn front_with(&self, i: usize, more: &[&str]) -> Proc {
        let others: Vec<SocketAddr> = (0..3).filter(|j| *j != i).map(|j| self.relay.seats[j]).collect();
        let (desk, seat) = (self.teller.at.to_string(), Some(self.relay.seats[i]));
        let front = member_of(&desk, &format!("f{i}"), seat, &others, &self.key, more);
        self.relay.real(i, listens(&front));
        wait_for_machines(&front, 2);
        front
    }

    /// Asks for keys at a front until so many were answered by the trial.
    fn bind(&self, front: usize, from: u32, many: u64) {
        let at = self.fronts[front].at;
        let before = rows(&self.fronts[front]);
        let mut key = from;
        while rows(&self.fronts[front]) < before + many {
            (0..20).for_each(|i| drop(rpc(at, "lookup", &format!("Rockpick-Key: {}\r\n", key + i))));
            key += 20;
            assert!(key < from + 50_000);
        }
    }
}

fn whole(f: &Proc) -> bool {
    get(f.at, "/peers")["copies"]["whole"].as_array().is_some_and(|w| w.len() == 5)
}

fn rows(f: &Proc) -> u64 {
    get(f.at, "/peers")["copies"]["rows"]["Bindings"].as_u64().unwrap()
}

fn digest(f: &Proc) -> Value {
    get(f.at, "/peers")["copies"]["digests"].clone()
}

/// The one that returns takes chunks over a bad line; one of its givers is killed meanwhile.
#[test]
fn a_giver_killed_in_mid_chunk_is_gone_on_from_by_another() {
    let mut keyed = Keyed::begin();
    keyed.bind(0, 0, 400);
    let all = rows(&keyed.fronts[0]);
    wait_until("all hold them", || keyed.fronts.iter().all(|f| rows(f) == all));
    drop(keyed.fronts.remove(2));
    let way = Way { lost: 0.2, delay: 20_000_000, ..Way::default() };
    (0..2).for_each(|i| keyed.relay.set(i, 2, way));
    let back = keyed.front(2);
    wait_until("it has some", || rows(&back) > 0);
    drop(keyed.fronts.remove(0));
    wait_until("it is whole", || whole(&back) && rows(&back) == all);
    assert_eq!(digest(&back), digest(&keyed.fronts[0]));
}

/// Keys are bound on both sides of a cut; after it both hold all of them, and nothing was lost.
#[test]
fn a_cut_in_mid_stage_with_keys_bound_on_both_sides() {
    let keyed = Keyed::begin();
    let cut = |on: bool| {
        for (a, b) in [(0, 1), (0, 2), (1, 0), (2, 0)] {
            keyed.relay.set(a, b, Way { cut: on, ..Way::default() });
        }
    };
    cut(true);
    keyed.bind(0, 0, 50);
    keyed.bind(1, 100_000, 50);
    let sides = [rows(&keyed.fronts[0]), rows(&keyed.fronts[1])];
    cut(false);
    wait_until("all hold all", || {
        let first = digest(&keyed.fronts[0]);
        keyed.fronts.iter().all(|f| rows(f) == sides[0] + sides[1] && digest(f) == first)
    });
}

/// All are killed and come up again within a second, one of them from a disk that kept nothing of what it said: keys hold
/// by what the others' folders have.
#[test]
fn all_restarted_within_a_second_hold_the_keys_of_their_folders() {
    let mut keyed = Keyed::begin();
    keyed.fronts.clear();
    let dir = tempfile::tempdir().unwrap();
    let lies = dir.path().join("lies");
    std::fs::write(&lies, "sync-lies").unwrap();
    let (state, lies) = (dir.path().display().to_string(), lies.display().to_string());
    let begin = |keyed: &Keyed| -> Vec<Proc> {
        let more = |i: usize| match i {
            0 => vec!["--state", &state, "--disk-lies", &lies],
            _ => vec!["--state", &state],
        };
        (0..3).map(|i| keyed.front_with(i, &more(i))).collect()
    };
    keyed.fronts = begin(&keyed);
    wait_until("all are whole", || keyed.fronts.iter().all(whole));
    keyed.bind(0, 0, 100);
    let all = rows(&keyed.fronts[0]);
    wait_until("all hold them", || keyed.fronts.iter().all(|f| rows(f) == all));
    let kept = |f: &Proc| get(f.at, "/peers")["copies"]["kept"].as_u64().unwrap_or(0);
    wait_until("all have kept them", || keyed.fronts.iter().all(|f| kept(f) >= all));
    keyed.fronts.clear();
    keyed.fronts = begin(&keyed);
    wait_until("all hold them again", || keyed.fronts.iter().all(|f| whole(f) && rows(f) == all));
}

/// The snapshot's disk hangs, played by a pipe that nobody reads where it is written: rows are kept beside it all the same.
#[test]
fn rows_are_kept_beside_a_snapshot_that_hangs() {
    let (dir, key) = (tempfile::tempdir().unwrap(), key("the key of this front alone"));
    create_fifo(&dir.path().join("f0.new"));
    let state = dir.path().display().to_string();
    let front = member_of("127.0.0.1:9", "f0", None, &[], &key, &["--state", &state]);
    wait_until("its rows are kept", || dir.path().join("f0.peers.rows").exists());
    assert_eq!(get(front.at, "/peers")["copies"]["kept"], 0);
}
