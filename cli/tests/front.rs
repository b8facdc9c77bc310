//! Tests of the front process against scripted controllers and machines, for the failures that its rules cover.
mod peers;

use peers::*;
use rockpick_control::Settings;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn settings() -> Settings {
    let mut settings = Settings::example(1, 4);
    settings.rollout.told_every_ms = 100;
    settings.rollout.tally_every_ms = 0;
    settings.rollout.free = 0.0;
    settings
}

#[test]
fn an_rpc_is_forwarded_whole_and_its_answer_names_the_machine() {
    let (teller, machine) =
        (ScriptedController::start(settings()), ScriptedMachine::start(Behavior::Responds));
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", &[("m", machine.at, 1, "up")]);
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    let (status, said) =
        rpc(front.at, "save", "Idempotency-Key: k1\r\nX-Own: kept\r\nConnection: x-gone\r\nX-Gone: 1\r\n");
    assert_eq!((status, said.ends_with("good")), (200, true), "{said}");
    for line in ["Rockpick-Answer: ok", "Rockpick-Build: 1", "Rockpick-Machine: m", "Rockpick-Picks: 1"] {
        assert!(said.contains(line), "{said}");
    }
    let got = machine.requests.recv_timeout(TIMEOUT).unwrap();
    assert_eq!(
        (header_value(&got, "x-own"), header_value(&got, "idempotency-key")),
        ("kept".into(), "k1".into())
    );
    assert_eq!(header_value(&got, "x-gone"), "", "a header named by Connection is not forwarded");
    assert!(header_value(&got, "rockpick-time-left-ms").parse::<u32>().unwrap() <= 3_000);
    for (method, lines, wanted) in [
        ("save", "", 400),
        ("nothing", "", 404),
        ("lookup", "Rockpick-Time-Left-Ms: -4\r\n", 400),
        ("lookup", "Rockpick-Time-Left-Ms: soon\r\n", 400),
    ] {
        let (status, said) = rpc(front.at, method, lines);
        assert!(status == wanted && said.contains("Rockpick-Answer: not-taken"), "{said}");
    }
}

#[test]
fn rpcs_that_may_have_run_are_aborted_and_others_pushed_back_or_retried() {
    for (does, method, wanted, answer) in [
        (Behavior::Truncates, "lodge", 502, "aborted"),
        (Behavior::WrongLength, "lodge", 502, "aborted"),
        (Behavior::Closes, "lodge", 502, "aborted"),
        (Behavior::Fails, "lodge", 502, "aborted"),
        (Behavior::Unavailable, "lodge", 502, "aborted"),
        (Behavior::NeverRuns, "lodge", 503, "pushed-back"),
        (Behavior::Hangs, "lodge", 504, "aborted"),
        (Behavior::Fails, "lookup", 503, "pushed-back"),
    ] {
        let (teller, machine) = (ScriptedController::start(settings()), ScriptedMachine::start(does));
        teller.stage(1, 0, "released", 1.0);
        teller.roster("whole", &[("m", machine.at, 1, "up")]);
        let front = front(teller.at, &[]);
        wait_for_machines(&front, 1);
        let started = Instant::now();
        let (status, said) = rpc(front.at, method, "Rockpick-Time-Left-Ms: 500\r\n");
        assert!(status == wanted && said.contains(&format!("Rockpick-Answer: {answer}")), "{method}: {said}");
        assert!(started.elapsed() < Duration::from_millis(500), "before the deadline");
        assert_eq!(machine.requests.try_iter().count(), 1);
    }
    // A second machine gets RPCs that the first provably never ran, and idempotent ones.
    for does in [Behavior::Truncates, Behavior::NeverRuns] {
        let (teller, bad, good) = (
            ScriptedController::start(settings()),
            ScriptedMachine::start(does),
            ScriptedMachine::start(Behavior::Responds),
        );
        teller.stage(1, 0, "released", 1.0);
        teller.roster("whole", &[("a", bad.at, 1, "up"), ("b", good.at, 1, "up")]);
        let front = front(teller.at, &[]);
        wait_for_machines(&front, 2);
        let method = if does == Behavior::NeverRuns { "lodge" } else { "lookup" };
        let said: Vec<u16> = (0..8).map(|_| rpc(front.at, method, "").0).collect();
        assert_eq!(said, [200; 8]);
        assert!(bad.requests.try_iter().count() > 0, "the failing machine was tried");
    }
}

/// Guards against a second effect: the front is killed after a machine has run an RPC and before the client has its
/// answer.
#[test]
fn a_front_killed_during_an_rpc_does_not_send_it_again() {
    let (teller, machine) = (ScriptedController::start(settings()), ScriptedMachine::start(Behavior::Hangs));
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", &[("m", machine.at, 1, "up")]);
    let state = std::env::temp_dir().join(format!("rockpick-test-kill-{}", std::process::id()));
    let state = state.to_string_lossy().into_owned();
    let mut one = front(teller.at, &["--state", &state]);
    wait_for_machines(&one, 1);
    wait_until("its snapshot", || std::path::Path::new(&state).join("f0.json").exists());
    let at = one.at;
    let client = std::thread::spawn(move || rpc(at, "lodge", ""));
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    one.child.kill().unwrap();
    assert_eq!(client.join().unwrap().0, 0, "the client gets no answer, and must not send the RPC again");
    drop(one);
    // Restarted from its snapshot without a controller, the front serves at once and has sent nothing again.
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let two = front(nobody, &["--state", &state]);
    assert_eq!(get(two.at, "/status")["machines"], 1);
    let (status, _) = rpc(two.at, "lookup", "Rockpick-Time-Left-Ms: 300\r\n");
    assert!(status == 504 || status == 503);
    let heads: Vec<String> = machine.requests.try_iter().collect();
    assert!(heads.iter().all(|h| h.starts_with("POST /rpc/lookup")), "{heads:?}");
    let _ = std::fs::remove_dir_all(state);
}

/// Guards against exceeding the cap after a restart, which loses the count of the window.
#[test]
fn a_front_restarted_in_mid_window_keeps_within_the_cap() {
    let mut settings = settings();
    (settings.rollout.window_ms, settings.rollout.free) = (2_000, 2.0);
    let (teller, old, new) = (
        ScriptedController::start(settings),
        ScriptedMachine::start(Behavior::Responds),
        ScriptedMachine::start(Behavior::Responds),
    );
    teller.stage(2, 0, "on-trial", 0.1);
    teller.roster("whole", &[("old", old.at, 1, "up"), ("new", new.at, 2, "up")]);
    let state = std::env::temp_dir().join(format!("rockpick-test-window-{}", std::process::id()));
    let state = state.to_string_lossy().into_owned();
    let (mut taken, mut picks) = (0, 0);
    let mut one = front(teller.at, &["--state", &state]);
    wait_for_machines(&one, 2);
    wait_until("a whole window and picks at the trial", || {
        taken += u32::from(rpc(one.at, "lookup", "").0 == 200);
        picks += new.requests.try_iter().count();
        picks >= 2
    });
    wait_until("its snapshot", || std::path::Path::new(&state).join("f0.json").exists());
    for _ in 0..3 {
        one.child.kill().unwrap();
        one = front(teller.at, &["--state", &state]);
        let started = Instant::now();
        let mut served = 0;
        while started.elapsed() < Duration::from_millis(500) {
            served += u32::from(rpc(one.at, "lookup", "").0 == 200);
        }
        assert!(served > 0, "the front serves during the window");
        assert_eq!(
            new.requests.try_iter().count(),
            0,
            "a pick went to the build on trial before a window had passed"
        );
    }
    wait_until("the trial gets picks again", || {
        rpc(one.at, "lookup", "");
        new.requests.try_iter().count() > 0
    });
    let _ = std::fs::remove_dir_all(state);
}

/// Guards against picks after the drain grace: connections to a machine hang while its drain is announced.
#[test]
fn a_drain_announced_while_a_pick_connects_is_kept() {
    use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
    let full = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&full, &std::net::SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    listen(&full, 0).unwrap();
    let full = TcpListener::from(full);
    let at = full.local_addr().unwrap();
    // One connection fills the accept queue; further ones hang.
    let filler = TcpStream::connect(at).unwrap();
    let mut settings = settings();
    settings.methods.iter_mut().for_each(|m| m.deadline_ms = 8_000);
    let (teller, good) = (ScriptedController::start(settings), ScriptedMachine::start(Behavior::Responds));
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", &[("hangs", at, 1, "up")]);
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    let clients: Vec<_> = (0..6)
        .map(|_| {
            let at = front.at;
            std::thread::spawn(move || rpc(at, "lodge", "").0)
        })
        .collect();
    // Two calls are open: the watch, and a pick that hangs.
    wait_until("a pick that hangs", || get(front.at, "/status")["calls"].as_u64() >= Some(2));
    teller.roster("changes", &[("good", good.at, 1, "up"), ("hangs", at, 1, "draining")]);
    // After the grace the machine accepts connections again: hanging ones would succeed with the next SYN retry,
    // three seconds after the first.
    let draining_at = Instant::now();
    wait_until("the grace is over", || draining_at.elapsed() > Duration::from_millis(1_100));
    drop(filler);
    full.set_nonblocking(true).unwrap();
    while draining_at.elapsed() < Duration::from_millis(3_500) {
        if let Ok((mut io, _)) = full.accept() {
            io.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
            let mut buf = [0; 16];
            assert_eq!(io.read(&mut buf).unwrap_or(0), 0, "an RPC after the drain");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    for client in clients {
        let status = client.join().unwrap();
        assert!(status == 200 || status == 503, "without a connection nothing can have run: {status}");
    }
}

/// The controller becomes silent and returns with a later stage.
#[test]
fn a_silent_watch_is_dropped_and_a_later_stage_applied_on_return() {
    let (teller, machine) =
        (ScriptedController::start(settings()), ScriptedMachine::start(Behavior::Responds));
    teller.stage(2, 0, "on-trial", 0.1);
    teller.roster("whole", &[("m", machine.at, 1, "up")]);
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    // The watch stays silent: the front drops it, opens another one and keeps serving.
    let first = teller.watches.load(std::sync::atomic::Ordering::SeqCst);
    teller.clear_lines();
    wait_until("a second watch", || {
        assert_eq!(rpc(front.at, "lookup", "").0, 200);
        teller.watches.load(std::sync::atomic::Ordering::SeqCst) > first
    });
    teller.stage(2, 2, "on-trial", 1.0);
    wait_until("the later stage", || get(front.at, "/status")["stage"]["stage"] == 2);
}

#[test]
fn sigterm_stops_listening_answers_open_rpcs_and_exits() {
    let (teller, machine) = (ScriptedController::start(settings()), ScriptedMachine::start(Behavior::Hangs));
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", &[("m", machine.at, 1, "up")]);
    let mut front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    let at = front.at;
    let open = std::thread::spawn(move || rpc(at, "lodge", "Rockpick-Time-Left-Ms: 800\r\n"));
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    signal(&front, Signal::TERM);
    wait_until("the listener is closed", || TcpStream::connect(at).is_err());
    let (status, said) = open.join().unwrap();
    assert!(status == 504 && said.contains("aborted"), "{said}");
    assert!(front.child.wait().unwrap().success());
}

#[test]
fn without_descriptors_the_front_answers_503_and_recovers() {
    let (teller, machine) =
        (ScriptedController::start(settings()), ScriptedMachine::start(Behavior::Responds));
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", &[("m", machine.at, 1, "up")]);
    let controller = teller.at.to_string();
    let args = ["front", "--name", "f0", "--controller", &controller];
    let front = start_under("ulimit -n 32;", &args);
    wait_for_machines(&front, 1);
    let mut held: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(front.at).unwrap()).collect();
    let mut refused = 0;
    for io in &mut held {
        io.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        let mut buf = [0; 512];
        let n = io.read(&mut buf).unwrap_or(0);
        refused += u32::from(buf[..n].starts_with(b"HTTP/1.1 503 "));
    }
    assert!(refused > 0, "some connections got a 503 response");
    // Accepted connections are still answered: ok, or pushed back without a connection to the machine.
    let _ = held[0].write_all(b"POST /rpc/lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    held[0].set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut buf = [0; 12];
    held[0].read_exact(&mut buf).unwrap();
    assert!(buf.starts_with(b"HTTP/1.1 "));
    drop(held);
    wait_until("the front serves again", || rpc(front.at, "lookup", "").0 == 200);
}

#[test]
fn a_client_that_disconnects_frees_its_rpc() {
    let (teller, machine) = (ScriptedController::start(settings()), ScriptedMachine::start(Behavior::Hangs));
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", &[("m", machine.at, 1, "up")]);
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    let mut io = TcpStream::connect(front.at).unwrap();
    io.write_all(b"POST /rpc/lodge HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").unwrap();
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    drop(io);
    wait_until("the disconnect is counted", || get(front.at, "/status")["left"] == 1);
    assert_eq!(machine.requests.try_iter().count(), 0);
    wait_until("its slot is free after the pick has timed out", || get(front.at, "/status")["open"] == 0);
}
