//! The running front against scripted peers: the failures that its rules are for.
mod peers;

use peers::*;
use rockpick_control::Settings;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn charter() -> Settings {
    let mut charter = Settings::example(1, 4);
    charter.rollout.told_every_ms = 100;
    charter.rollout.tally_every_ms = 0;
    charter.rollout.free = 0.0;
    charter
}

#[test]
fn an_rpc_is_passed_on_whole_and_its_answer_says_who_gave_it() {
    let (teller, machine) =
        (ScriptedController::start(charter()), ScriptedMachine::start(Behavior::Responds));
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
    assert_eq!(header_value(&got, "x-gone"), "", "named by Connection: it ends here");
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
fn what_may_have_run_is_aborted_and_what_never_ran_is_pushed_back_or_goes_on() {
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
        let (teller, machine) = (ScriptedController::start(charter()), ScriptedMachine::start(does));
        teller.stage(1, 0, "released", 1.0);
        teller.roster("whole", &[("m", machine.at, 1, "up")]);
        let front = front(teller.at, &[]);
        wait_for_machines(&front, 1);
        let began = Instant::now();
        let (status, said) = rpc(front.at, method, "Rockpick-Time-Left-Ms: 500\r\n");
        assert!(status == wanted && said.contains(&format!("Rockpick-Answer: {answer}")), "{method}: {said}");
        assert!(began.elapsed() < Duration::from_millis(500), "before the deadline");
        assert_eq!(machine.requests.try_iter().count(), 1);
    }
    // A second machine takes what the first provably never ran, or what may run again.
    for does in [Behavior::Truncates, Behavior::NeverRuns] {
        let (teller, bad, good) = (
            ScriptedController::start(charter()),
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
        assert!(bad.requests.try_iter().count() > 0, "the bad one was tried");
    }
}

/// A kill between a machine's effect and the client's answer: no second effect, ever.
#[test]
fn a_front_killed_in_mid_effect_does_not_send_it_again() {
    let (teller, machine) = (ScriptedController::start(charter()), ScriptedMachine::start(Behavior::Hangs));
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
    assert_eq!(client.join().unwrap().0, 0, "the client hears nothing, and must not send it again");
    drop(one);
    // Back from its snapshot, with no controller to be found; it serves at once, and nothing was sent again.
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let two = front(nobody, &["--state", &state]);
    assert_eq!(get(two.at, "/status")["machines"], 1);
    let (status, _) = rpc(two.at, "lookup", "Rockpick-Time-Left-Ms: 300\r\n");
    assert!(status == 504 || status == 503);
    let heads: Vec<String> = machine.requests.try_iter().collect();
    assert!(heads.iter().all(|h| h.starts_with("POST /rpc/lookup")), "{heads:?}");
    let _ = std::fs::remove_dir_all(state);
}

/// The window's count is lost with the process: the cap must hold all the same.
#[test]
fn a_front_restarted_in_mid_window_keeps_within_the_cap() {
    let mut charter = charter();
    (charter.rollout.window_ms, charter.rollout.free) = (2_000, 2.0);
    let (teller, old, new) = (
        ScriptedController::start(charter),
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
        let began = Instant::now();
        let mut again = 0;
        while began.elapsed() < Duration::from_millis(500) {
            again += u32::from(rpc(one.at, "lookup", "").0 == 200);
        }
        assert!(again > 0, "it serves meanwhile");
        assert_eq!(new.requests.try_iter().count(), 0, "nothing goes to the trial until a window has passed");
    }
    wait_until("the trial gets picks again", || {
        rpc(one.at, "lookup", "");
        new.requests.try_iter().count() > 0
    });
    let _ = std::fs::remove_dir_all(state);
}

/// A machine whose connections hang while its drain is told: nothing reaches it after the grace.
#[test]
fn a_drain_told_while_a_pick_is_being_connected_holds() {
    use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
    let full = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&full, &std::net::SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    listen(&full, 0).unwrap();
    let full = TcpListener::from(full);
    let at = full.local_addr().unwrap();
    // One connection fills the queue of none; further ones hang.
    let filler = TcpStream::connect(at).unwrap();
    let mut charter = charter();
    charter.methods.iter_mut().for_each(|m| m.deadline_ms = 8_000);
    let (teller, good) = (ScriptedController::start(charter), ScriptedMachine::start(Behavior::Responds));
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
    // The watch, and a pick that hangs.
    wait_until("a pick that hangs", || get(front.at, "/status")["calls"].as_u64() >= Some(2));
    teller.roster("changes", &[("good", good.at, 1, "up"), ("hangs", at, 1, "draining")]);
    // Past the grace the machine takes connections again: those that hung until now would come through at the
    // system's next try, three seconds after the first.
    let told = Instant::now();
    wait_until("the grace is over", || told.elapsed() > Duration::from_millis(1_100));
    drop(filler);
    full.set_nonblocking(true).unwrap();
    while told.elapsed() < Duration::from_millis(3_500) {
        if let Ok((mut io, _)) = full.accept() {
            io.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
            let mut buf = [0; 16];
            assert_eq!(io.read(&mut buf).unwrap_or(0), 0, "an RPC after the drain");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    for client in clients {
        let status = client.join().unwrap();
        assert!(
            status == 200 || status == 503,
            "a connection that never was proves that nothing ran: {status}"
        );
    }
}

/// The controller falls silent and comes back with a later stage.
#[test]
fn a_silent_controller_is_left_and_a_later_stage_is_taken_from_it_on_return() {
    let (teller, machine) =
        (ScriptedController::start(charter()), ScriptedMachine::start(Behavior::Responds));
    teller.stage(2, 0, "on-trial", 0.1);
    teller.roster("whole", &[("m", machine.at, 1, "up")]);
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    // Nothing more is told on this watch: the front drops it and asks again, and goes on serving.
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
fn sigterm_takes_nothing_new_answers_all_that_is_open_and_leaves() {
    let (teller, machine) = (ScriptedController::start(charter()), ScriptedMachine::start(Behavior::Hangs));
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", &[("m", machine.at, 1, "up")]);
    let mut front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    let at = front.at;
    let open = std::thread::spawn(move || rpc(at, "lodge", "Rockpick-Time-Left-Ms: 800\r\n"));
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    signal(&front, Signal::TERM);
    wait_until("the door is closed", || TcpStream::connect(at).is_err());
    let (status, said) = open.join().unwrap();
    assert!(status == 504 && said.contains("aborted"), "{said}");
    assert!(front.child.wait().unwrap().success());
}

#[test]
fn out_of_descriptors_it_refuses_in_words_and_recovers() {
    let (teller, machine) =
        (ScriptedController::start(charter()), ScriptedMachine::start(Behavior::Responds));
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
    assert!(refused > 0, "some were refused in words");
    // Those that got in are still answered: pushed back for want of a connection to the machine, or ok.
    let _ = held[0].write_all(b"POST /rpc/lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    held[0].set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut buf = [0; 12];
    held[0].read_exact(&mut buf).unwrap();
    assert!(buf.starts_with(b"HTTP/1.1 "));
    drop(held);
    wait_until("it serves again", || rpc(front.at, "lookup", "").0 == 200);
}

#[test]
fn a_client_that_hangs_up_frees_its_rpc() {
    let (teller, machine) = (ScriptedController::start(charter()), ScriptedMachine::start(Behavior::Hangs));
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", &[("m", machine.at, 1, "up")]);
    let front = front(teller.at, &[]);
    wait_for_machines(&front, 1);
    let mut io = TcpStream::connect(front.at).unwrap();
    io.write_all(b"POST /rpc/lodge HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").unwrap();
    machine.requests.recv_timeout(TIMEOUT).unwrap();
    drop(io);
    wait_until("it has left", || get(front.at, "/status")["left"] == 1);
    assert_eq!(machine.requests.try_iter().count(), 0);
    wait_until("its slot is free once the pick's time is over", || get(front.at, "/status")["open"] == 0);
}
