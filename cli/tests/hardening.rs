//! Regression tests of the hardening review's findings, on the running programs. The numbers are the review's.
mod peers;

use peers::*;
use rockpick_control::atomic_file::strip_checksum;
use rockpick_control::Settings;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

fn settings() -> Settings {
    let mut settings = Settings::example(1, 4);
    settings.rollout.told_every_ms = 100;
    settings.rollout.tally_every_ms = 0;
    settings
}

fn controller_with_machines(machines: &[(&str, SocketAddr, u32, &str)]) -> ScriptedController {
    let controller = ScriptedController::start(settings());
    controller.stage(1, 0, "released", 1.0);
    controller.roster("whole", machines);
    controller
}

fn wait_for_settings(front: &Proc, version: u64) {
    wait_until("the front uses the settings", || get(front.at, "/status")["settings_version"] == version);
}

fn wait_for_success(proc: &mut Proc) {
    wait_until("the process ends", || proc.child.try_wait().unwrap().is_some());
    assert!(proc.child.wait().unwrap().success());
}

fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// 1: a front that was down while the settings changed uses the new ones.
#[test]
fn settings_changed_while_a_front_was_down_reach_it() {
    let dir = tempfile::tempdir().unwrap();
    let state = dir.path().to_string_lossy().into_owned();
    let controller = start(&["controller"]);
    assert_eq!(put(controller.at, &settings()).status, 200);
    let one = front(controller.at, &["--state", &state]);
    wait_for_settings(&one, 1);
    wait_until("the snapshot is written", || dir.path().join("f0.json").exists());
    drop(one);
    assert_eq!(put(controller.at, &settings()).status, 200);
    wait_for_settings(&front(controller.at, &["--state", &state]), 2);
}

/// 2, 17: settings are requested again after an invalid answer, without another notification.
#[test]
fn settings_are_requested_again_after_an_invalid_answer() {
    // The controller sends data a minute apart, so that the watch is not considered dead and restarted meanwhile.
    let mut settings = settings();
    settings.rollout.told_every_ms = 60_000;
    let controller = ScriptedController::start(settings.clone());
    let front = front(controller.at, &[]);
    wait_for_settings(&front, 1);
    let version = controller.set_settings(settings, 2);
    wait_for_settings(&front, version);
}

/// 4: numbers out of range neither crash the front (limited to 4 GB) nor affect the rest of the line.
#[test]
fn a_malformed_roster_line_affects_no_others() {
    let machine = ScriptedMachine::start(Behavior::Responds);
    let controller = controller_with_machines(&[]);
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
    controller.push_line(json!({ "roster": { "kind": "whole", "serial": 1, "members": members } }));
    controller.push_line(json!({ "stage": { "build": 4_294_967_295u32, "stage": 0, "phase": "released", "cap": 1.0, "age_ms": 1 } }));
    controller.push_line(json!({ "tally": [[1, 0, u64::MAX, 0], [1, 0, u64::MAX, u64::MAX]] }));
    let at = controller.at.to_string();
    let front = start_under("ulimit -v 4000000;", &["front", "--name", "f0", "--controller", &at]);
    wait_for_machines(&front, 1);
    for _ in 0..20 {
        assert_eq!(rpc(front.at, "lookup", "").0, 200);
    }
    assert_eq!(get(front.at, "/status")["stage"]["build"], 1);
}

/// 5: a hung disk, simulated by a pipe without a reader at the path of the snapshot.
#[test]
fn a_hung_disk_does_not_delay_a_shutdown() {
    let dir = tempfile::tempdir().unwrap();
    create_fifo(&dir.path().join("f0.new"));
    let machine = ScriptedMachine::start(Behavior::Responds);
    let controller = controller_with_machines(&[("m", machine.at, 1, "up")]);
    let mut front = front(controller.at, &["--state", &dir.path().to_string_lossy()]);
    wait_for_machines(&front, 1);
    assert_eq!(rpc(front.at, "lookup", "").0, 200);
    signal(&front, Signal::TERM);
    wait_for_success(&mut front);
}

/// 6: standard error is a pipe that nobody reads, and more is logged than it can hold.
#[test]
fn a_log_that_nobody_reads_delays_no_rpc() {
    let machine = ScriptedMachine::start(Behavior::Responds);
    let controller = controller_with_machines(&[("m", machine.at, 1, "up")]);
    let at = controller.at.to_string();
    let mut front = start_with("", &["front", "--name", "f0", "--controller", &at], Stdio::piped());
    wait_for_machines(&front, 1);
    let names: Vec<String> = (0..3_000).map(|i| format!("a-machine-that-goes-{i}")).collect();
    let lines: Vec<_> = names.iter().map(|n| (n.as_str(), machine.at, 1, "draining")).collect();
    controller.roster("changes", &lines);
    wait_for_machines(&front, 3_001);
    assert_eq!(rpc(front.at, "lookup", "").0, 200);
    signal(&front, Signal::TERM);
    wait_for_success(&mut front);
}

/// 7: the reader of standard output is closed.
#[test]
fn a_closed_standard_output_is_an_error_and_no_panic() {
    for args in [&["settings", "example"][..], &["rehearse", "--trouble", "list"]] {
        let (reader, writer) = std::io::pipe().unwrap();
        drop(reader);
        let mut command = Command::new(env!("CARGO_BIN_EXE_rockpick"));
        let out = command.args(args).stdout(writer).stderr(Stdio::piped()).output().unwrap();
        let output = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.code() == Some(2) && output.contains("standard output"), "{output}");
        assert!(!output.contains("panicked"), "{output}");
    }
}

/// 13: the wall clock was set years ahead while a front was down; machines must not age by that.
#[test]
fn a_wall_clock_set_ahead_makes_no_cold_machine_warm() {
    let dir = tempfile::tempdir().unwrap();
    let (state, file) = (dir.path().to_string_lossy().into_owned(), dir.path().join("f0.json"));
    let controller = ScriptedController::start(settings());
    controller.stage(1, 0, "released", 1.0);
    controller.push_line(
        json!({ "roster": { "kind": "whole", "serial": 1, "members": [{ "name": "m", "addr": "127.0.0.1:1",
        "zone": 0, "cell": 0, "build": 1, "run": 1, "weight": 1.0, "state": "up", "age_ms": 5.0 }] } }),
    );
    let one = front(controller.at, &["--state", &state]);
    wait_for_machines(&one, 1);
    let snapshot = || -> Value {
        std::fs::read(&file)
            .map_or(Value::Null, |t| serde_json::from_slice(&strip_checksum(t).unwrap()).unwrap())
    };
    wait_until("the snapshot is written", || snapshot()["members"][0]["name"] == "m");
    drop(one);
    let mut old = snapshot();
    old["saved_ms"] = json!(1);
    std::fs::write(&file, old.to_string()).unwrap();
    let mut two = front(unused_address(), &["--state", &state]);
    wait_for_machines(&two, 1);
    signal(&two, Signal::TERM);
    wait_for_success(&mut two);
    let age = snapshot()["members"][0]["age_ms"].as_f64().unwrap();
    assert!(age < 600_000.0, "{age}");
}

/// 14: RPCs of former settings are answered by their own deadlines, even if the new ones are shorter.
#[test]
fn a_shutdown_waits_for_rpcs_of_former_settings() {
    let machine = ScriptedMachine::start(Behavior::Hangs);
    let controller = controller_with_machines(&[("m", machine.at, 1, "up")]);
    let mut front = front(controller.at, &[]);
    wait_for_machines(&front, 1);
    let at = front.at;
    let open = std::thread::spawn(move || rpc(at, "lodge", "Rockpick-Time-Left-Ms: 2500\r\n"));
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    let mut short = settings();
    short.methods.iter_mut().for_each(|m| (m.soft_deadline_ms, m.deadline_ms) = (50, 100));
    let version = controller.set_settings(short, 0);
    wait_for_settings(&front, version);
    signal(&front, Signal::TERM);
    signal(&front, Signal::TERM); // a second one changes nothing
    assert_eq!(open.join().unwrap().0, 504);
    wait_for_success(&mut front);
}

/// Guards against requests that are taken in a shutdown and not answered: one behind an open RPC of its connection is not taken,
/// which the open one's answer tells by closing the connection.
#[test]
fn a_request_behind_an_open_one_is_not_taken_in_a_shutdown() {
    let machine = ScriptedMachine::start(Behavior::Hangs);
    let controller = controller_with_machines(&[("m", machine.at, 1, "up")]);
    let mut front = front(controller.at, &[]);
    wait_for_machines(&front, 1);
    let mut io = TcpStream::connect(front.at).unwrap();
    io.set_read_timeout(Some(TIMEOUT)).unwrap();
    let request =
        "POST /rpc/lodge HTTP/1.1\r\nHost: f\r\nRockpick-Time-Left-Ms: 1500\r\nContent-Length: 0\r\n\r\n";
    io.write_all(request.as_bytes()).unwrap();
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    signal(&front, Signal::TERM);
    wait_until("the listener is closed", || TcpStream::connect(front.at).is_err());
    let _ = io.write_all(request.as_bytes());
    let mut answers = String::new();
    let _ = io.read_to_string(&mut answers);
    assert!(answers.starts_with("HTTP/1.1 504") && answers.contains("Connection: close"), "{answers}");
    assert_eq!(answers.matches("HTTP/1.1").count(), 1, "{answers}");
    wait_for_success(&mut front);
    assert!(machine.requests.try_recv().is_err(), "the second went nowhere");
}

/// A connection with a small receive window.
fn slow_connection(to: SocketAddr) -> TcpStream {
    use rustix::net::{connect, socket, sockopt, AddressFamily, SocketType};
    let fd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    sockopt::set_socket_recv_buffer_size(&fd, 4_096).unwrap();
    connect(&fd, &to).unwrap();
    TcpStream::from(fd)
}

/// A client with a small receive window that has sent an RPC with a long answer, and has not read it yet.
fn slow_reader(front: &Proc) -> TcpStream {
    let mut io = slow_connection(front.at);
    io.write_all(b"POST /rpc/lookup HTTP/1.1\r\nHost: f\r\nContent-Length: 0\r\n\r\n").unwrap();
    wait_until("the front has the answer", || get(front.at, "/status")["ok"] == 1);
    io
}

/// 14: answers to a slow reader are still sent in a shutdown, and a client that reads nothing does not block it.
#[test]
fn a_shutdown_sends_pending_answers_and_does_not_wait_for_ever() {
    for reads in [true, false] {
        let machine = ScriptedMachine::start(Behavior::RespondsLong);
        let controller = controller_with_machines(&[("m", machine.at, 1, "up")]);
        let mut front = front(controller.at, &[]);
        wait_for_machines(&front, 1);
        let mut io = slow_reader(&front);
        signal(&front, Signal::TERM);
        wait_until("the listener is closed", || TcpStream::connect(front.at).is_err());
        if reads {
            let mut received = Vec::new();
            io.set_read_timeout(Some(TIMEOUT)).unwrap();
            let end = io.read_to_end(&mut received);
            assert!(received.len() > LONG_BODY_LEN && end.is_ok(), "{} bytes, {end:?}", received.len());
        }
        wait_for_success(&mut front);
    }
}

/// Guards against answers that the controller's stop cuts off, as it ends before a caller has read them.
#[test]
fn a_controllers_stop_sends_the_rest_of_its_answers() {
    const FILE_LEN: usize = 6 << 20;
    let repo = tempfile::tempdir().unwrap();
    std::fs::create_dir(repo.path().join("targets")).unwrap();
    std::fs::write(repo.path().join("targets/build"), vec![b'x'; FILE_LEN]).unwrap();
    let mut controller = start(&["controller", "--repo", &repo.path().display().to_string()]);
    let mut io = slow_connection(controller.at);
    io.set_read_timeout(Some(TIMEOUT)).unwrap();
    io.write_all(b"GET /repo/targets/build HTTP/1.1\r\nHost: c\r\n\r\n").unwrap();
    let mut first = [0; 1];
    io.read_exact(&mut first).unwrap();
    signal(&controller, Signal::TERM);
    wait_until("the listener is closed", || TcpStream::connect(controller.at).is_err());
    let mut rest = Vec::new();
    let end = io.read_to_end(&mut rest);
    assert!(rest.len() > FILE_LEN && end.is_ok(), "{} bytes, {end:?}", rest.len());
    wait_for_success(&mut controller);
}

/// 15: a change that could not be saved is not answered as a success, and is saved once the disk works again.
#[test]
fn a_change_that_is_not_on_disk_is_reported_and_saved_later() {
    let dir = tempfile::tempdir().unwrap();
    let obstacle = dir.path().join("controller.new");
    std::fs::create_dir(&obstacle).unwrap();
    let controller = start(&["controller", "--state", &dir.path().to_string_lossy()]);
    let answer = put(controller.at, &settings());
    let output: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((answer.status, output["errors"][0]["field"].as_str()), (500, Some("state")), "{output}");
    std::fs::remove_dir(&obstacle).unwrap();
    wait_until("the snapshot", || dir.path().join("controller.json").exists());
}

/// 19: names are used in paths and headers.
#[test]
fn unsafe_names_are_refused() {
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
            at: unused_address(),
            child: {
                child.stdin.take();
                child
            },
        };
        wait_until("the process exits", || proc.child.try_wait().unwrap().is_some());
        let mut output = String::new();
        proc.child.stderr.take().unwrap().read_to_string(&mut output).unwrap();
        assert!(
            proc.child.wait().unwrap().code() == Some(2) && output.contains("--name"),
            "{name}: {output}"
        );
    }
}

/// 21: settings that change faster than RPCs end are delayed.
#[test]
fn the_number_of_module_instances_is_limited() {
    let machine = ScriptedMachine::start(Behavior::Hangs);
    let controller = controller_with_machines(&[("m", machine.at, 1, "up")]);
    let front = front(controller.at, &[]);
    wait_for_machines(&front, 1);
    let mut open = Vec::new();
    for _ in 0..12 {
        let at = front.at;
        open.push(std::thread::spawn(move || rpc(at, "lodge", "Rockpick-Time-Left-Ms: 2500\r\n").0));
        let began = Instant::now();
        let taken = open.len() as u64;
        wait_until("the RPC", || get(front.at, "/status")["taken"] == taken);
        let version = controller.set_settings(settings(), 0);
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
    wait_for_settings(&front, 13);
}

/// 30, 31: outcomes are reported by the method numbers of the settings in force; those of former settings are not
/// reported.
#[test]
fn outcomes_of_former_settings_are_not_reported_under_new_ones() {
    let machine = ScriptedMachine::start(Behavior::Hangs);
    let mut settings = settings();
    (settings.rollout.tally_every_ms, settings.rollout.tally_sample) = (100, 1.0);
    let controller = ScriptedController::start(settings.clone());
    controller.stage(1, 0, "released", 1.0);
    controller.roster("whole", &[("m", machine.at, 1, "up")]);
    let front = front(controller.at, &[]);
    wait_for_machines(&front, 1);
    let at = front.at;
    let former = std::thread::spawn(move || rpc(at, "lodge", "Rockpick-Time-Left-Ms: 900\r\n").0);
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    settings.methods.truncate(1);
    let version = controller.set_settings(settings, 0);
    wait_for_settings(&front, version);
    assert_eq!(former.join().unwrap(), 504);
    assert_eq!(rpc(front.at, "lookup", "Rockpick-Time-Left-Ms: 100\r\n").0, 503);
    wait_until("outcomes are reported", || !controller.counts.lock().unwrap().is_empty());
    assert_eq!(controller.counts.lock().unwrap()[0]["rows"], json!([[1, 0, 1, 1]]));
}

/// Rule 1: a front that was paused beyond a client's deadline sends it nothing.
#[test]
fn an_answer_that_would_come_after_the_deadline_is_not_sent() {
    let machine = ScriptedMachine::start(Behavior::Hangs);
    let controller = controller_with_machines(&[("m", machine.at, 1, "up")]);
    let front = front(controller.at, &[]);
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

/// Rule 4: a machine that has just started gets only the few picks that the decision module allows it.
#[test]
fn a_cold_machine_gets_few_picks() {
    let (warm, cold) =
        (ScriptedMachine::start(Behavior::Responds), ScriptedMachine::start(Behavior::Responds));
    let controller = controller_with_machines(&[("warm", warm.at, 1, "up")]);
    controller.push_line(json!({ "roster": { "kind": "changes", "serial": 2, "members": [{ "name": "cold", "zone": 0, "cell": 0,
        "addr": cold.at.to_string(), "build": 1, "run": 1, "weight": 1.0, "state": "up", "age_ms": 0.0 }] } }));
    let front = front(controller.at, &[]);
    wait_for_machines(&front, 2);
    for _ in 0..40 {
        assert_eq!(rpc(front.at, "lookup", "").0, 200);
    }
    let picks = cold.requests.try_iter().count();
    assert!(picks <= 8, "{picks} of 40");
}

/// Rule 5: the cap holds over sockets.
#[test]
fn picks_over_sockets_respect_the_cap() {
    let (old, new) = (ScriptedMachine::start(Behavior::Responds), ScriptedMachine::start(Behavior::Responds));
    let mut settings = settings();
    (settings.rollout.free, settings.rollout.window_ms) = (0.0, 400);
    let controller = ScriptedController::start(settings);
    controller.stage(2, 0, "on-trial", 0.2);
    controller.roster("whole", &[("old", old.at, 1, "up"), ("new", new.at, 2, "up")]);
    let front = front(controller.at, &[]);
    wait_for_machines(&front, 2);
    let (mut taken, mut picks) = (0.0, 0.0);
    // Some hundreds of RPCs are accepted before the first window ends; many more must follow to measure the cap.
    wait_until("picks at the trial", || {
        taken += f64::from(u8::from(rpc(front.at, "lookup", "").0 == 200));
        picks += new.requests.try_iter().count() as f64;
        taken >= 2_000.0
    });
    assert!(picks > 0.0 && picks <= 0.2 * taken + 1.0, "{picks} of {taken}");
}

/// Compatibility with later versions: a front ignores unknown fields, and keeps its settings if it can't read newer
/// ones. A snapshot with unreadable settings is left unchanged.
#[test]
fn unknown_fields_of_later_versions_are_ignored_except_in_settings() {
    let dir = tempfile::tempdir().unwrap();
    let (state, file) = (dir.path().to_string_lossy().into_owned(), dir.path().join("f0.json"));
    let machine = ScriptedMachine::start(Behavior::Responds);
    let controller = ScriptedController::start(settings());
    controller.push_line(
        json!({ "later": [1], "stage": { "build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age_ms": 1,
        "later": 1 } }),
    );
    controller.push_line(
        json!({ "roster": { "kind": "whole", "members": [{ "name": "m", "addr": machine.at.to_string(),
        "build": 1, "run": 1, "state": "up", "later": 1 }] } }),
    );
    // Finding 41: neither is an empty roster.
    controller.push_line(json!({ "roster": { "kind": "later", "members": [] } }));
    controller.push_line(json!({ "roster": { "kind": "whole" } }));
    controller.stage(1, 0, "released", 0.5);
    let mut one = front(controller.at, &["--state", &state]);
    wait_until("the last line", || get(one.at, "/status")["stage"]["cap"] == 0.5);
    wait_for_machines(&one, 1);
    assert_eq!(rpc(one.at, "lookup", "Rockpick-Later: 1\r\n").0, 200);
    wait_until("the snapshot is written", || file.exists());
    signal(&one, Signal::TERM);
    wait_for_success(&mut one);
    let mut snapshot: Value =
        serde_json::from_slice(&strip_checksum(std::fs::read(&file).unwrap()).unwrap()).unwrap();
    snapshot["later"] = json!(1);
    std::fs::write(&file, snapshot.to_string()).unwrap();
    drop(front(unused_address(), &["--state", &state]));
    snapshot["settings"]["guard"]["later"] = json!(1);
    std::fs::write(&file, snapshot.to_string()).unwrap();
    let args = ["front", "--name", "f0", "--controller", "127.0.0.1:1", "--state", &state];
    let out = Command::new(env!("CARGO_BIN_EXE_rockpick")).args(args).output().unwrap();
    let output = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        out.status.code() == Some(2) && output.contains("f0.json") && output.contains("later"),
        "{output}"
    );
    assert_eq!(std::fs::read(&file).unwrap(), snapshot.to_string().as_bytes());
}

/// A machine that is killed and restarted under its name is a new one, with its own run, and cold. One that gets
/// SIGTERM is drained first, and exits with success.
#[test]
fn a_machine_is_new_after_a_kill_and_drained_at_a_sigterm() {
    let controller = start(&["controller"]);
    assert_eq!(put(controller.at, &Settings::example(1, 1)).status, 200);
    let at = controller.at.to_string();
    let machine = || start(&["machine", "--controller", &at, "--name", "m", "--place", "p0", "--build", "1"]);
    let listed_machine = || get(controller.at, "/roster")["roster"]["members"][0].clone();
    let one = machine();
    wait_until("the machine", || listed_machine()["state"] == "up");
    let former = listed_machine();
    drop(one);
    let began = Instant::now();
    let mut two = machine();
    wait_until("the new machine", || {
        listed_machine()["state"] == "up" && listed_machine()["run"] != former["run"]
    });
    assert_ne!(listed_machine()["addr"], former["addr"]);
    assert!(listed_machine()["age_ms"].as_f64().unwrap() <= began.elapsed().as_secs_f64() * 1e3 + 50.0);
    signal(&two, Signal::TERM);
    wait_until("the machine drains", || listed_machine()["state"] == "draining");
    wait_for_success(&mut two);
    wait_until("the machine is gone", || listed_machine().is_null());
}

/// Partial snapshots left by a kill are never read, and are overwritten.
#[test]
fn partial_snapshots_are_ignored() {
    let dir = tempfile::tempdir().unwrap();
    let state = dir.path().to_string_lossy().into_owned();
    for name in ["controller.new", "f0.new"] {
        std::fs::write(dir.path().join(name), b"{\"half").unwrap();
    }
    let controller = start(&["controller", "--state", &state]);
    assert_eq!(put(controller.at, &settings()).status, 200);
    let mut one = front(controller.at, &["--state", &state]);
    wait_for_settings(&one, 1);
    signal(&one, Signal::TERM);
    wait_for_success(&mut one);
    drop(controller);
    wait_for_settings(&front(unused_address(), &["--state", &state]), 1);
    assert_eq!(get(start(&["controller", "--state", &state]).at, "/status")["settings_version"], 1);
}

/// 27: a controller's hung disk blocks only the requester of a change.
#[test]
fn a_hung_disk_blocks_only_the_requester_of_a_change() {
    let dir = tempfile::tempdir().unwrap();
    create_fifo(&dir.path().join("controller.new"));
    let mut controller = start(&["controller", "--state", &dir.path().to_string_lossy()]);
    let mut io = TcpStream::connect(controller.at).unwrap();
    let settings = serde_json::to_string(&settings()).unwrap();
    write!(io, "PUT /settings HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{settings}", settings.len())
        .unwrap();
    wait_until("the settings", || get(controller.at, "/status")["settings_version"] == 1);
    io.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    assert!(io.read(&mut [0; 1]).is_err(), "no answer before the change is saved");
    signal(&controller, Signal::TERM);
    let mut output = String::new();
    io.set_read_timeout(Some(TIMEOUT)).unwrap();
    let _ = io.read_to_string(&mut output);
    assert!(output.starts_with("HTTP/1.1 500 ") && output.contains("does not answer"), "{output}");
    wait_until("the process ends", || controller.child.try_wait().unwrap().is_some());
    assert_eq!(controller.child.wait().unwrap().code(), Some(2));
}

/// Guards against RPCs that are sent on after their client has closed: it pipelines hundreds, the first of which is open as it
/// closes.
#[test]
fn rpcs_that_a_client_left_unread_are_not_sent_once_it_has_closed() {
    const PIPELINED: usize = 300;
    /// A pick may begin this long after the close.
    const TOLERANCE: Duration = Duration::from_millis(100);
    let machine = ScriptedMachine::start(Behavior::Responds);
    let controller = controller_with_machines(&[("m", machine.at, 1, "up")]);
    let front = front(controller.at, &[]);
    wait_for_machines(&front, 1);
    let mut client = TcpStream::connect(front.at).unwrap();
    let one = "POST /rpc/lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    client.write_all(one.repeat(PIPELINED).as_bytes()).unwrap();
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    drop(client);
    std::thread::sleep(TOLERANCE);
    let in_time = machine.requests.try_iter().count();
    std::thread::sleep(5 * TOLERANCE);
    assert_eq!(machine.requests.try_iter().count(), 0, "{in_time} before");
    assert!(in_time < PIPELINED - 1);
}
