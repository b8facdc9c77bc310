//! The live node's shutdown: each request that it takes gets an answer before the platform may kill the process.
mod peers;
#[path = "peers/platform.rs"]
mod platform;

use peers::wait_until;
use platform::*;
use rustix::process::Signal;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The platform sends SIGKILL no sooner than this time, and the longest deadline, after SIGTERM.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// The platform counts longer deadlines as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// A shutdown that leaves less time than this before SIGKILL has no reserve for a process that is held up.
const HOLD_UP: Duration = Duration::from_millis(150);

/// A configuration whose methods have this deadline.
fn configuration_with_deadline(platform: &Platform, machine: &Machine, deadline_ms: u32) -> Value {
    let mut config = configuration(platform, &[("a", machine.at, 1, "active")]);
    for lane in config["settings"]["lanes"].as_array_mut().unwrap() {
        lane["deadlineMs"] = deadline_ms.into();
    }
    config
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Waits for the process's end, and checks that it ended in time.
fn assert_ended_before_kill(node: &mut Node, stopped: Instant, deadline_ms: u32) {
    assert!(node.proc.child.wait().unwrap().success());
    let longest = Duration::from_millis(deadline_ms.into()).min(MAX_COUNTED_DEADLINE);
    let (took, limit) = (stopped.elapsed(), longest + KILL_AFTER_DEADLINE);
    assert!(took < limit, "ended {took:?} after SIGTERM, SIGKILL may come after {limit:?}");
}

/// Guards against requests without an answer: those that a hanging machine held as the process ended by itself, taken late in
/// the shutdown or with a deadline that lies beyond its end.
#[test]
fn a_request_that_a_hanging_machine_holds_is_answered_before_the_process_ends() {
    for deadline_ms in [3_000, 1_000, 8_000] {
        let (machine, platform) = (machine(&[QueryAction::Ignore]), Platform::begin());
        let mut node = Node::start(&configuration_with_deadline(&platform, &machine, deadline_ms));
        let mut early = node.client();
        early.ask(&save(1, deadline_ms));
        wait_until("the machine holds the first", || machine.queries() == 1);
        node.signal(Signal::TERM);
        let stopped = Instant::now();
        sleep_until(stopped + Duration::from_millis(300));
        let mut late = node.client();
        sleep_until(stopped + Duration::from_millis(870));
        late.ask(&lookup(2, deadline_ms));
        wait_until("the machine holds the second", || machine.queries() == 2);
        let told = machine.got.lock().unwrap()[1].1.clone();
        let answers = [early.read_answer(), late.read_answer()];
        assert!(
            answers.iter().all(|answer| failed(answer) || pushed_back(answer)),
            "{deadline_ms}: {answers:?}"
        );
        let answered = stopped.elapsed();
        assert_ended_before_kill(&mut node, stopped, deadline_ms);
        // The machine was told no more time than the second had.
        let told_ms: u64 = told.split_once(",d=").unwrap().1.trim_end_matches(" */").parse().unwrap();
        let had = answered - Duration::from_millis(870);
        assert!(Duration::from_millis(told_ms) <= had + Duration::from_millis(50), "{told_ms} of {had:?}");
        let limit = Duration::from_millis(deadline_ms.into()).min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE;
        assert!(answered + HOLD_UP < limit, "{deadline_ms}: answered {answered:?} after SIGTERM");
    }
}

/// Guards against requests without an answer from clients that always have another request outstanding: their connections never
/// rest, and the last requests that were read were still open as the process ended.
#[test]
fn requests_of_a_client_that_never_rests_are_answered_in_a_shutdown() {
    const DEADLINE_MS: u32 = 1_500;
    let received: Arc<Mutex<BTreeSet<u64>>> = Arc::default();
    let seen = received.clone();
    let at = machine_served_by(move |_, mut line| {
        line.read_startup()?;
        line.send_startup_response()?;
        while let Some(text) = line.query() {
            let id = u64::from_str_radix(&text.split_once("id=")?.1[..16], 16).ok()?;
            seen.lock().unwrap().insert(id);
            std::thread::sleep(Duration::from_millis(80));
            line.answers(&id.to_be_bytes())?;
        }
        None
    });
    let platform = Platform::begin();
    let names: Vec<String> = (0..8).map(|i| format!("m{i}")).collect();
    let machines: Vec<_> = names.iter().map(|name| (name.as_str(), at, 1, "active")).collect();
    let mut config = configuration(&platform, &machines);
    for lane in config["settings"]["lanes"].as_array_mut().unwrap() {
        lane["deadlineMs"] = DEADLINE_MS.into();
    }
    let mut node = Node::start(&config);
    let clients: Vec<_> = (0..4u64)
        .map(|client| {
            let mut client_io = node.client();
            let mut writer = client_io.io.try_clone().unwrap();
            std::thread::spawn(move || {
                let writing = std::thread::spawn(move || {
                    for number in 0.. {
                        let mut out = Vec::new();
                        rockpick_pg::put_query(&mut out, &save(client << 32 | number, DEADLINE_MS));
                        // In two parts, so that the end of what was read is seldom the end of a command.
                        let (first, second) = out.split_at(out.len() / 2);
                        if writer.write_all(first).is_err() {
                            return;
                        }
                        std::thread::sleep(Duration::from_millis(10));
                        if writer.write_all(second).is_err() {
                            return;
                        }
                        std::thread::sleep(Duration::from_millis(10));
                    }
                });
                let mut answered = 0;
                while !matches!(client_io.read_answer(), Answer::Closed) {
                    answered += 1;
                }
                drop(client_io);
                writing.join().unwrap();
                (client, answered)
            })
        })
        .collect();
    wait_until("all clients are served", || received.lock().unwrap().len() > 40);
    node.signal(Signal::TERM);
    let stopped = Instant::now();
    assert_ended_before_kill(&mut node, stopped, DEADLINE_MS);
    let answered: Vec<(u64, u64)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let received = received.lock().unwrap();
    // Answers come in the order of the requests.
    for (client, answered) in answered {
        let sent = received
            .range(client << 32..(client + 1) << 32)
            .next_back()
            .map_or(0, |id| (id & 0xffff_ffff) + 1);
        assert!(
            sent <= answered,
            "client {client}: {answered} answers, the machine received request {}",
            sent - 1
        );
    }
}
