//! Findings of the hardening review, each as a test of the running programs. The numbers are the review's.
mod peers;

use peers::*;
use rockpick_control::keep::open;
use rockpick_control::Charter;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

fn charter() -> Charter {
    let mut charter = Charter::example(1, 4);
    charter.rollout.told_every_ms = 100;
    charter.rollout.tally_every_ms = 0;
    charter
}

fn teller(machines: &[(&str, SocketAddr, u32, &str)]) -> ScriptedController {
    let teller = ScriptedController::start(charter());
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", machines);
    teller
}

fn in_force(front: &Proc, version: u64) {
    wait_until("the settings at the front", || get(front.at, "/status")["settings_version"] == version);
}

fn ended_well(proc: &mut Proc) {
    wait_until("its end", || proc.child.try_wait().unwrap().is_some());
    assert!(proc.child.wait().unwrap().success());
}

fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// 1: a front that was down while the settings changed goes by the new ones.
#[test]
fn settings_changed_while_a_front_was_away_reach_it() {
    let dir = tempfile::tempdir().unwrap();
    let state = dir.path().to_string_lossy().into_owned();
    let controller = start(&["controller"]);
    assert_eq!(put(controller.at, &charter()).status, 200);
    let one = front(controller.at, &["--state", &state]);
    in_force(&one, 1);
    wait_until("its snapshot", || dir.path().join("f0.json").exists());
    drop(one);
    assert_eq!(put(controller.at, &charter()).status, 200);
    in_force(&front(controller.at, &["--state", &state]), 2);
}

/// 2, 17: an answer that makes no sense is asked for again, though nothing more is told.
#[test]
fn settings_asked_for_in_vain_are_asked_for_again() {
    // Told a minute apart: the watch is not given up for its silence, and begun anew, meanwhile.
    let mut charter = charter();
    charter.rollout.told_every_ms = 60_000;
    let teller = ScriptedController::start(charter.clone());
    let front = front(teller.at, &[]);
    in_force(&front, 1);
    let version = teller.set_settings(charter, 2);
    in_force(&front, version);
}

/// 4: numbers out of all bounds end neither the front (within 4 GB) nor what else the line says.
#[test]
fn a_roster_line_that_makes_no_sense_harms_itself_alone() {
    let machine = ScriptedMachine::start(Behavior::Responds);
    let teller = teller(&[]);
    let line = |name: &str, field: &str, value: Value| {
        let mut line = json!({ "name": name, "addr": machine.at.to_string(), "zone": 0, "cell": 0, "build": 1,
            "run": 1, "weight": 1.0, "state": "up", "age_ms": 1e9 });
        line[field] = value;
        line
    };
    let bad = [
        line("a", "zone", json!(4_000_000_000u32)),
        line("b", "build", json!(4_294_967_295u32)),
        line("c", "weight", json!(1e308)),
        line("d\r\nX: y", "cell", json!(0)),
    ];
    let members: Vec<Value> = bad.into_iter().chain([line("good", "cell", json!(1))]).collect();
    teller.push_line(json!({ "roster": { "kind": "whole", "serial": 1, "members": members } }));
    teller.push_line(json!({ "stage": { "build": 4_294_967_295u32, "stage": 0, "phase": "released", "cap": 1.0, "age_ms": 1 } }));
    teller.push_line(json!({ "tally": [[1, 0, u64::MAX, 0], [1, 0, u64::MAX, u64::MAX]] }));
    let at = teller.at.to_string();
    let front = start_under("ulimit -v 4000000;", &["front", "--name", "f0", "--controller", &at]);
    wait_for_machines(&front, 1);
    for _ in 0..20 {
        assert_eq!(rpc(front.at, "lookup", "").0, 200);
    }
    assert_eq!(get(front.at, "/status")["stage"]["build"], 1);
}

/// 5: a disk that does not answer, played by a pipe that nobody reads where the snapshot is written.
#[test]
fn a_disk_that_does_not_answer_holds_no_stop() {
    let dir = tempfile::tempdir().unwrap();
    create_fifo(&dir.path().join("f0.new"));
    let machine = ScriptedMachine::start(Behavior::Responds);
    let teller = teller(&[("m", machine.at, 1, "up")]);
    let mut front = front(teller.at, &["--state", &dir.path().to_string_lossy()]);
    wait_for_machines(&front, 1);
    assert_eq!(rpc(front.at, "lookup", "").0, 200);
    signal(&front, Signal::TERM);
    ended_well(&mut front);
}

/// 6: standard error goes to a reader that stands still; more is logged than a pipe holds.
#[test]
fn a_log_that_nobody_reads_holds_no_rpc() {
    let machine = ScriptedMachine::start(Behavior::Responds);
    let teller = teller(&[("m", machine.at, 1, "up")]);
    let at = teller.at.to_string();
    let mut front = start_with("", &["front", "--name", "f0", "--controller", &at], Stdio::piped());
    wait_for_machines(&front, 1);
    let names: Vec<String> = (0..3_000).map(|i| format!("a-machine-that-goes-{i}")).collect();
    let lines: Vec<_> = names.iter().map(|n| (n.as_str(), machine.at, 1, "draining")).collect();
    teller.roster("changes", &lines);
    wait_for_machines(&front, 3_001);
    assert_eq!(rpc(front.at, "lookup", "").0, 200);
    signal(&front, Signal::TERM);
    ended_well(&mut front);
}

/// 7: whoever read standard output has gone.
#[test]
fn a_closed_standard_output_is_an_error_and_no_panic() {
    for args in [&["settings", "example"][..], &["rehearse", "--trouble", "list"]] {
        let (reader, writer) = std::io::pipe().unwrap();
        drop(reader);
        let mut command = Command::new(env!("CARGO_BIN_EXE_rockpick"));
        let out = command.args(args).stdout(writer).stderr(Stdio::piped()).output().unwrap();
        let said = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.code() == Some(2) && said.contains("standard output"), "{said}");
        assert!(!said.contains("panicked"), "{said}");
    }
}

/// 13: the wall clock was set years ahead while a front was down: no machine ages by that.
#[test]
fn a_wall_clock_set_ahead_makes_no_cold_machine_warm() {
    let dir = tempfile::tempdir().unwrap();
    let (state, file) = (dir.path().to_string_lossy().into_owned(), dir.path().join("f0.json"));
    let teller = ScriptedController::start(charter());
    teller.stage(1, 0, "released", 1.0);
    teller.push_line(
        json!({ "roster": { "kind": "whole", "serial": 1, "members": [{ "name": "m", "addr": "127.0.0.1:1",
        "zone": 0, "cell": 0, "build": 1, "run": 1, "weight": 1.0, "state": "up", "age_ms": 5.0 }] } }),
    );
    let one = front(teller.at, &["--state", &state]);
    wait_for_machines(&one, 1);
    let kept = || -> Value {
        std::fs::read(&file).map_or(Value::Null, |t| serde_json::from_slice(&open(t).unwrap()).unwrap())
    };
    wait_until("its snapshot", || kept()["members"][0]["name"] == "m");
    drop(one);
    let mut old = kept();
    old["saved_ms"] = json!(1);
    std::fs::write(&file, old.to_string()).unwrap();
    let mut two = front(nobody(), &["--state", &state]);
    wait_for_machines(&two, 1);
    signal(&two, Signal::TERM);
    ended_well(&mut two);
    let age = kept()["members"][0]["age_ms"].as_f64().unwrap();
    assert!(age < 600_000.0, "{age}");
}

/// 14: RPCs of former settings are answered by their own deadline, however short the new ones are.
#[test]
fn a_stop_waits_for_rpcs_of_former_settings() {
    let machine = ScriptedMachine::start(Behavior::Hangs);
    let teller = teller(&[("m", machine.at, 1, "up")]);
    let mut front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    let at = front.at;
    let open = std::thread::spawn(move || rpc(at, "lodge", "Rockpick-Time-Left-Ms: 2500\r\n"));
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    let mut short = charter();
    short.methods.iter_mut().for_each(|m| (m.soft_deadline_ms, m.deadline_ms) = (50, 100));
    let version = teller.set_settings(short, 0);
    in_force(&front, version);
    signal(&front, Signal::TERM);
    signal(&front, Signal::TERM); // a second one changes nothing
    assert_eq!(open.join().unwrap().0, 504);
    ended_well(&mut front);
}

/// A client with a small window that has sent an RPC whose answer is long, and not read yet.
fn slow_reader(front: &Proc) -> TcpStream {
    use rustix::net::{connect, socket, sockopt, AddressFamily, SocketType};
    let fd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    sockopt::set_socket_recv_buffer_size(&fd, 4_096).unwrap();
    connect(&fd, &front.at).unwrap();
    let mut io = TcpStream::from(fd);
    io.write_all(b"POST /rpc/lookup HTTP/1.1\r\nHost: f\r\nContent-Length: 0\r\n\r\n").unwrap();
    wait_until("its answer at the front", || get(front.at, "/status")["ok"] == 1);
    io
}

/// 14: what a slow reader has not taken yet is still sent; one that reads nothing holds no stop.
#[test]
fn a_stop_sends_answers_out_and_waits_for_no_reader_for_ever() {
    for reads in [true, false] {
        let machine = ScriptedMachine::start(Behavior::RespondsLong);
        let teller = teller(&[("m", machine.at, 1, "up")]);
        let mut front = front(teller.at, &[]);
        wait_for_machines(&front, 1);
        let mut io = slow_reader(&front);
        signal(&front, Signal::TERM);
        wait_until("the door is closed", || TcpStream::connect(front.at).is_err());
        if reads {
            let mut said = Vec::new();
            io.set_read_timeout(Some(TIMEOUT)).unwrap();
            let end = io.read_to_end(&mut said);
            assert!(said.len() > LONG_BODY_LEN && end.is_ok(), "{} bytes, {end:?}", said.len());
        }
        ended_well(&mut front);
    }
}

/// 15: what could not be kept is not answered with the words of success, and is kept once the disk can.
#[test]
fn a_change_that_is_not_on_disk_is_told_of_and_kept_later() {
    let dir = tempfile::tempdir().unwrap();
    let in_the_way = dir.path().join("controller.new");
    std::fs::create_dir(&in_the_way).unwrap();
    let controller = start(&["controller", "--state", &dir.path().to_string_lossy()]);
    let answer = put(controller.at, &charter());
    let said: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((answer.status, said["errors"][0]["field"].as_str()), (500, Some("state")), "{said}");
    std::fs::remove_dir(&in_the_way).unwrap();
    wait_until("the snapshot", || dir.path().join("controller.json").exists());
}

/// 19: names go into paths and headers.
#[test]
fn names_that_lead_elsewhere_are_refused() {
    let dir = tempfile::tempdir().unwrap();
    let state = dir.path().join("in").to_string_lossy().into_owned();
    for name in ["../x", "a b", "", "controller", "f0.tenants", "f0.peers"] {
        let args = ["front", "--name", name, "--controller", "127.0.0.1:1", "--state", &state];
        let mut child = Command::new(env!("CARGO_BIN_EXE_rockpick"))
            .args(args)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut proc = Proc {
            at: nobody(),
            child: {
                child.stdin.take();
                child
            },
        };
        wait_until("its refusal", || proc.child.try_wait().unwrap().is_some());
        let mut said = String::new();
        proc.child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
        assert!(proc.child.wait().unwrap().code() == Some(2) && said.contains("--name"), "{name}: {said}");
    }
}

/// 21: settings that change faster than RPCs end wait their turn.
#[test]
fn lives_of_the_module_are_bounded() {
    let machine = ScriptedMachine::start(Behavior::Hangs);
    let teller = teller(&[("m", machine.at, 1, "up")]);
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    let mut open = Vec::new();
    for _ in 0..12 {
        let at = front.at;
        open.push(std::thread::spawn(move || rpc(at, "lodge", "Rockpick-Time-Left-Ms: 2500\r\n").0));
        let began = Instant::now();
        let taken = open.len() as u64;
        wait_until("the RPC", || get(front.at, "/status")["taken"] == taken);
        let version = teller.set_settings(charter(), 0);
        while get(front.at, "/status")["settings_version"] != version
            && began.elapsed() < Duration::from_millis(60)
        {}
    }
    let version = get(front.at, "/status")["settings_version"].as_u64().unwrap();
    assert!(version <= 9, "{version}");
    let answers: Vec<u16> = open.into_iter().map(|o| o.join().unwrap()).collect();
    assert!(
        answers.iter().all(|status| [503, 504].contains(status)),
        "{answers:?} {}",
        get(front.at, "/status")
    );
    in_force(&front, 13);
}

/// 30, 31: outcomes are told by the method numbers of the settings in force, those of former ones not at all.
#[test]
fn outcomes_of_former_settings_are_not_told_under_new_ones() {
    let machine = ScriptedMachine::start(Behavior::Hangs);
    let mut charter = charter();
    (charter.rollout.tally_every_ms, charter.rollout.tally_sample) = (100, 1.0);
    let teller = ScriptedController::start(charter.clone());
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", &[("m", machine.at, 1, "up")]);
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    let at = front.at;
    let former = std::thread::spawn(move || rpc(at, "lodge", "Rockpick-Time-Left-Ms: 900\r\n").0);
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    charter.methods.truncate(1);
    let version = teller.set_settings(charter, 0);
    in_force(&front, version);
    assert_eq!(former.join().unwrap(), 504);
    assert_eq!(rpc(front.at, "lookup", "Rockpick-Time-Left-Ms: 100\r\n").0, 503);
    wait_until("a count", || !teller.counts.lock().unwrap().is_empty());
    assert_eq!(teller.counts.lock().unwrap()[0]["rows"], json!([[1, 0, 1, 1]]));
}

/// Rule 1: a front that stood still past a client's deadline sends it nothing any more.
#[test]
fn an_answer_that_would_come_after_the_deadline_is_not_sent() {
    let machine = ScriptedMachine::start(Behavior::Hangs);
    let teller = teller(&[("m", machine.at, 1, "up")]);
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    let (at, began) = (front.at, Instant::now());
    let open = std::thread::spawn(move || rpc(at, "lodge", "Rockpick-Time-Left-Ms: 400\r\n"));
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    signal(&front, Signal::STOP);
    wait_until("the deadline has passed", || began.elapsed() > Duration::from_millis(800));
    signal(&front, Signal::CONT);
    assert_eq!(open.join().unwrap(), (0, String::new()));
    assert_eq!(get(front.at, "/status")["late"], 1);
}

/// Rule 4: a machine told as just started is spared, with the same few picks that it gets by the module alone.
#[test]
fn a_machine_told_as_cold_is_spared() {
    let (warm, cold) =
        (ScriptedMachine::start(Behavior::Responds), ScriptedMachine::start(Behavior::Responds));
    let teller = teller(&[("warm", warm.at, 1, "up")]);
    teller.push_line(json!({ "roster": { "kind": "changes", "serial": 2, "members": [{ "name": "cold", "zone": 0, "cell": 0,
        "addr": cold.at.to_string(), "build": 1, "run": 1, "weight": 1.0, "state": "up", "age_ms": 0.0 }] } }));
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 2);
    for _ in 0..40 {
        assert_eq!(rpc(front.at, "lookup", "").0, 200);
    }
    let picks = cold.requests.try_iter().count();
    assert!(picks <= 8, "{picks} of 40");
}

/// Rule 5: the cap as told, over sockets.
#[test]
fn picks_over_sockets_keep_to_the_told_cap() {
    let (old, new) = (ScriptedMachine::start(Behavior::Responds), ScriptedMachine::start(Behavior::Responds));
    let mut charter = charter();
    (charter.rollout.free, charter.rollout.window_ms) = (0.0, 400);
    let teller = ScriptedController::start(charter);
    teller.stage(2, 0, "on-trial", 0.2);
    teller.roster("whole", &[("old", old.at, 1, "up"), ("new", new.at, 2, "up")]);
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 2);
    let (mut taken, mut picks) = (0.0, 0.0);
    // Some hundreds are taken before the first window is over; far more have to follow to tell the cap.
    wait_until("picks at the trial", || {
        taken += f64::from(u8::from(rpc(front.at, "lookup", "").0 == 200));
        picks += new.requests.try_iter().count() as f64;
        taken >= 2_000.0
    });
    assert!(picks > 0.0 && picks <= 0.2 * taken + 1.0, "{picks} of {taken}");
}

/// What the freeze covers: a front passes over what later versions tell, and goes on under its settings where it
/// can't read newer ones; a snapshot of settings that it can't read is left as it is.
#[test]
fn what_a_later_version_tells_a_front_is_passed_over_but_for_settings() {
    let dir = tempfile::tempdir().unwrap();
    let (state, file) = (dir.path().to_string_lossy().into_owned(), dir.path().join("f0.json"));
    let machine = ScriptedMachine::start(Behavior::Responds);
    let teller = ScriptedController::start(charter());
    teller.push_line(
        json!({ "later": [1], "stage": { "build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age_ms": 1,
        "later": 1 } }),
    );
    teller.push_line(
        json!({ "roster": { "kind": "whole", "members": [{ "name": "m", "addr": machine.at.to_string(),
        "build": 1, "run": 1, "state": "up", "later": 1 }] } }),
    );
    // Finding 41: neither is a list of nobody.
    teller.push_line(json!({ "roster": { "kind": "later", "members": [] } }));
    teller.push_line(json!({ "roster": { "kind": "whole" } }));
    teller.stage(1, 0, "released", 0.5);
    let mut one = front(teller.at, &["--state", &state]);
    wait_until("the last line", || get(one.at, "/status")["stage"]["cap"] == 0.5);
    wait_for_machines(&one, 1);
    assert_eq!(rpc(one.at, "lookup", "Rockpick-Later: 1\r\n").0, 200);
    wait_until("its snapshot", || file.exists());
    signal(&one, Signal::TERM);
    ended_well(&mut one);
    let mut kept: Value = serde_json::from_slice(&open(std::fs::read(&file).unwrap()).unwrap()).unwrap();
    kept["later"] = json!(1);
    std::fs::write(&file, kept.to_string()).unwrap();
    drop(front(nobody(), &["--state", &state]));
    kept["settings"]["guard"]["later"] = json!(1);
    std::fs::write(&file, kept.to_string()).unwrap();
    let args = ["front", "--name", "f0", "--controller", "127.0.0.1:1", "--state", &state];
    let out = Command::new(env!("CARGO_BIN_EXE_rockpick")).args(args).output().unwrap();
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(out.status.code() == Some(2) && said.contains("f0.json") && said.contains("later"), "{said}");
    assert_eq!(std::fs::read(&file).unwrap(), kept.to_string().as_bytes());
}

/// A machine killed outright and started again under its name is another one: its own run, and cold. One told to
/// leave is drained first, and ends well.
#[test]
fn a_machine_is_new_after_a_kill_and_drained_at_a_sigterm() {
    let controller = start(&["controller"]);
    assert_eq!(put(controller.at, &Charter::example(1, 1)).status, 200);
    let at = controller.at.to_string();
    let machine = || start(&["machine", "--controller", &at, "--name", "m", "--place", "p0", "--build", "1"]);
    let listed = || get(controller.at, "/roster")["roster"]["members"][0].clone();
    let one = machine();
    wait_until("the machine", || listed()["state"] == "up");
    let former = listed();
    drop(one);
    let began = Instant::now();
    let mut two = machine();
    wait_until("the machine anew", || listed()["state"] == "up" && listed()["run"] != former["run"]);
    assert_ne!(listed()["addr"], former["addr"]);
    assert!(listed()["age_ms"].as_f64().unwrap() <= began.elapsed().as_secs_f64() * 1e3 + 50.0);
    signal(&two, Signal::TERM);
    wait_until("its drain", || listed()["state"] == "draining");
    ended_well(&mut two);
    wait_until("its end", || listed().is_null());
}

/// What a kill leaves half written is never read, and written over.
#[test]
fn half_written_snapshots_are_passed_over() {
    let dir = tempfile::tempdir().unwrap();
    let state = dir.path().to_string_lossy().into_owned();
    for name in ["controller.new", "f0.new"] {
        std::fs::write(dir.path().join(name), b"{\"half").unwrap();
    }
    let controller = start(&["controller", "--state", &state]);
    assert_eq!(put(controller.at, &charter()).status, 200);
    let mut one = front(controller.at, &["--state", &state]);
    in_force(&one, 1);
    signal(&one, Signal::TERM);
    ended_well(&mut one);
    drop(controller);
    in_force(&front(nobody(), &["--state", &state]), 1);
    assert_eq!(get(start(&["controller", "--state", &state]).at, "/status")["settings_version"], 1);
}

/// 27: a controller's disk that does not answer holds whoever changes something, and nobody else.
#[test]
fn a_disk_that_does_not_answer_holds_no_controller() {
    let dir = tempfile::tempdir().unwrap();
    create_fifo(&dir.path().join("controller.new"));
    let mut controller = start(&["controller", "--state", &dir.path().to_string_lossy()]);
    let mut io = TcpStream::connect(controller.at).unwrap();
    let settings = serde_json::to_string(&charter()).unwrap();
    write!(io, "PUT /settings HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{settings}", settings.len())
        .unwrap();
    wait_until("the settings", || get(controller.at, "/status")["settings_version"] == 1);
    io.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    assert!(io.read(&mut [0; 1]).is_err(), "no word before it is kept");
    signal(&controller, Signal::TERM);
    let mut said = String::new();
    io.set_read_timeout(Some(TIMEOUT)).unwrap();
    let _ = io.read_to_string(&mut said);
    assert!(said.starts_with("HTTP/1.1 500 ") && said.contains("does not answer"), "{said}");
    wait_until("its end", || controller.child.try_wait().unwrap().is_some());
    assert_eq!(controller.child.wait().unwrap().code(), Some(2));
}
