//! Rare moments of the running node: what comes between two of its steps. Each test makes the bad order happen.
mod peers;
#[path = "peers/platform.rs"]
mod platform;

use peers::wait_until;
use platform::*;
use rustix::process::Signal;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const VALUE: &[u8] = b"value";

fn value() -> Said {
    Said::Value(VALUE.to_vec())
}

/// The node takes no new connections any more: it closes between two RPCs from now on.
fn door_closed(node: &Node) {
    wait_until("the door is closed", || TcpStream::connect(node.proc.at).is_err());
}

/// A machine that welcomes nobody before its gate is open; connections that came to it, queries that it got.
fn gated(value: &'static [u8]) -> (SocketAddr, Gate, [Arc<AtomicUsize>; 2]) {
    let (gate, counts) = (Gate::default(), [(); 2].map(|()| Arc::new(AtomicUsize::new(0))));
    let (held, [came, queries]) = (gate.clone(), counts.clone());
    let at = served(move |_, mut line| {
        line.hello()?;
        came.fetch_add(1, Ordering::SeqCst);
        held.pass();
        line.welcome()?;
        line.query()?;
        queries.fetch_add(1, Ordering::SeqCst);
        line.answers(value)
    });
    (at, gate, counts)
}

/// Asks until a machine has served.
fn serves(client: &mut Client, machine: &Machine) {
    let mut id = 1 << 40;
    wait_until("it serves", || {
        id += 1;
        client.rpc(&lookup(id, 900));
        machine.queries() > 0
    });
}

#[test]
fn pushed_lists_are_heard_though_the_module_asks_for_none() {
    let (a, b) = (machine(&[Does::Answers]), machine(&[Does::Answers]));
    let platform = Platform::begin();
    let mut told = configuration(&platform, &[("a", a.at, 1, "active")]);
    told["settings"]["discovery"] = "automatic".into();
    let node = Node::start(&told);
    platform.list(false, &[("a", a.at, 1, "leaving"), ("b", b.at, 1, "active")]);
    serves(&mut node.client(), &b);
}

#[test]
fn lists_that_come_indented_are_heard() {
    let (a, b) = (machine(&[Does::Answers]), machine(&[Does::Answers]));
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    wait_until_polled(&platform);
    platform.list_indented(&[("a", a.at, 1, "leaving"), ("b", b.at, 1, "active")]);
    serves(&mut node.client(), &b);
    assert_eq!(platform.asked.lock().unwrap()[0], 1, "on the first watch");
}

/// Guards against a restarted node that takes a roster without news for one that it does not hear, and rejects for good.
#[test]
fn a_watch_that_only_lives_tells_that_the_roster_at_start_is_true() {
    let a = machine(&[Does::Answers]);
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    wait_until("the watch speaks", || platform.last_sign.lock().unwrap().is_some());
    // An old roster alone would serve for 1.6 s.
    std::thread::sleep(Duration::from_millis(1_800));
    assert_eq!(node.client().rpc(&lookup(1, 900)), value());
}

/// What a silent watch misses counts 6 s after it fell silent: another must be had in that time at the second try, and one
/// that never speaks must not be all that is tried.
#[test]
fn a_silent_watch_is_asked_for_again_in_time_and_a_mute_one_is_passed_by() {
    let (a, b) = (machine(&[Does::Answers]), machine(&[Does::Answers]));
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    wait_until("the watch speaks", || platform.last_sign.lock().unwrap().is_some());
    platform.answer_list(1, &[("b", b.at, 1, "active")]);
    platform.mute.store(true, Ordering::SeqCst);
    wait_until("it is asked for again", || platform.asked.lock().unwrap()[0] == 2);
    // Silent for 2.5 s, then three quarters of a second until it is asked: a second more and the second try is too late.
    let silent = platform.last_sign.lock().unwrap().unwrap().elapsed();
    assert!(silent < Duration::from_millis(3_950), "{silent:?}");
    serves(&mut node.client(), &b);
}

#[test]
fn a_pick_whose_connection_comes_after_the_grace_of_a_drain_is_not_sent() {
    let (at, gate, [_, queries]) = gated(VALUE);
    let platform = Platform::begin();
    let mut told = configuration(&platform, &[("a", at, 1, "active")]);
    told["settings"]["permissions"]["dialTimeoutMs"] = 1_500.into();
    told["settings"]["invariants"]["drainGraceMs"] = 300.into();
    let node = Node::start(&told);
    wait_until_polled(&platform);
    let mut client = node.client();
    client.ask(&save(1, 1_900));
    platform.list(false, &[("a", at, 1, "leaving")]);
    let after_the_grace = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(700));
        gate.open();
    });
    assert!(pushed_back(&client.hear()), "it never ran");
    after_the_grace.join().unwrap();
    assert_eq!(queries.load(Ordering::SeqCst), 0);
}

#[test]
fn a_pick_whose_machine_is_another_by_the_time_its_connection_is_there_is_not_sent() {
    let ((at, gate, [_, old]), new) = (gated(b"old"), machine(&[Does::Answers]));
    let platform = Platform::begin();
    let mut told = configuration(&platform, &[("a", at, 1, "active")]);
    told["settings"]["permissions"]["dialTimeoutMs"] = 1_500.into();
    told["settings"]["invariants"]["drainGraceMs"] = 10_000.into();
    let node = Node::start(&told);
    let mut client = node.client();
    client.ask(&save(1, 1_900));
    platform.list(false, &[("a", new.at, 1, "active")]);
    serves(&mut node.client(), &new);
    gate.open();
    assert!(pushed_back(&client.hear()), "it never ran");
    assert_eq!(old.load(Ordering::SeqCst), 0);
    assert_eq!(client.rpc(&save(2, 900)), value());
}

/// It was decided for a build on trial, which is sent back before the connection is there.
#[test]
fn a_pick_whose_build_is_sent_back_while_its_connection_comes_up_is_not_sent() {
    let ((new, gate, [met, queries]), old) = (gated(b"new"), machine(&[Does::Answers]));
    let platform = Platform::begin();
    let mut told = configuration(&platform, &[("a", old.at, 1, "active"), ("b", new, 2, "active")]);
    told["settings"]["permissions"]["dialTimeoutMs"] = 1_800.into();
    told["settings"]["invariants"]["drainGraceMs"] = 10_000.into();
    let node = Node::start(&told);
    wait_until_polled(&platform);
    platform.news("* progress 2 0 canary 1 20000");
    let mut waits = node.client();
    waits.ask(&save(1, 1_900));
    wait_until("its connection comes up", || met.load(Ordering::SeqCst) > 0);
    platform.news("* progress 2 0 reverting 0 0");
    wait_until("it is told", || node.log_contains("phase=GoingBack"));
    gate.open();
    assert_eq!(waits.hear(), value(), "by the earlier build");
    assert_eq!(queries.load(Ordering::SeqCst), 0);
}

/// The new build has answered a one-way key, and the answer is lost: no earlier build gets that key.
#[test]
fn a_key_whose_answer_is_lost_goes_to_no_earlier_build() {
    let (old, new) = (machine(&[Does::Answers]), machine(&[Does::Closes]));
    let platform = Platform::begin();
    let mut told = configuration(&platform, &[("a", old.at, 1, "active"), ("b", new.at, 2, "active")]);
    told["settings"]["extra"]["oneWay"] = true.into();
    let node = Node::start(&told);
    wait_until_polled(&platform);
    platform.news("* progress 2 0 canary 1 20000");
    let mut client = node.client();
    let mut id = 0;
    wait_until("the new build has it", || {
        id += 1;
        client.rpc(&lookup(id, 900));
        new.queries() > 0
    });
    let before = old.queries();
    for id in 100..110 {
        assert!(pushed_back(&client.rpc(&lookup(id, 900))));
    }
    assert_eq!(old.queries(), before);
}

#[test]
fn a_repeat_whose_connection_comes_after_the_window_is_not_sent() {
    let (gate, met, queries) = (Gate::default(), Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(0)));
    let by = |gate: Gate, met: Arc<AtomicUsize>, queries: Arc<Mutex<usize>>| {
        move |_: usize, mut line: Line| {
            line.hello()?;
            // The first breaks off once it has the query; the one of the repeat comes up late.
            let first = met.fetch_add(1, Ordering::SeqCst) == 0;
            if !first {
                gate.pass();
            }
            line.welcome()?;
            line.query()?;
            *queries.lock().unwrap() += 1;
            if first {
                return None;
            }
            line.answers(VALUE)
        }
    };
    let machines = [(); 2].map(|()| served(by(gate.clone(), met.clone(), queries.clone())));
    let platform = Platform::begin();
    let mut told =
        configuration(&platform, &[("a", machines[0], 1, "active"), ("b", machines[1], 1, "active")]);
    let lane = &mut told["settings"]["lanes"][1];
    (lane["idempotency"], lane["windowMs"]) = ("guarded".into(), 400.into());
    told["settings"]["permissions"]["dialTimeoutMs"] = 1_000.into();
    let node = Node::start(&told);
    let mut client = node.client();
    client.ask(&save(1, 1_900));
    wait_until("the repeat waits for its connection", || met.load(Ordering::SeqCst) == 2);
    let after_the_window = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(600));
        gate.open();
    });
    assert!(!matches!(client.hear(), Said::Value(_)));
    after_the_window.join().unwrap();
    assert_eq!(*queries.lock().unwrap(), 1, "no effect twice");
}

/// A second copy of an answer that comes some milliseconds late must not be taken for the next one's.
#[test]
fn a_late_copy_of_an_answer_is_nobody_elses() {
    let at = served(|number, mut line| {
        line.hello()?;
        line.welcome()?;
        line.query()?;
        let value = number.to_string();
        line.answers(value.as_bytes())?;
        let answered = Instant::now();
        line.query()?;
        // The next query is here already: the copy comes before its answer, if that is in the time in which copies come.
        if answered.elapsed() < Duration::from_millis(5) {
            line.answers(value.as_bytes())?;
        }
        line.answers(b"next")
    });
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", at, 1, "active")]));
    let mut client = node.client();
    assert_eq!(client.rpc(&save(1, 900)), Said::Value(b"0".to_vec()));
    let said = client.rpc(&save(2, 900));
    assert!([&b"1"[..], b"next"].iter().any(|good| said == Said::Value(good.to_vec())), "{said:?}");
}

/// The node stands still while a new connection comes, and then an RPC on the one that would give way: both are there in the
/// same turn, the new one first.
#[test]
fn who_gives_way_to_a_new_connection_has_said_nothing_that_is_here() {
    let a = machine(&[Does::Answers]);
    let platform = Platform::begin();
    let mut told = configuration(&platform, &[("a", a.at, 1, "active")]);
    told["limits"]["sockets"] = 64.into();
    let node = Node::start(&told);
    let mut clients: Vec<Client> = (0..10)
        .map(|id| {
            let mut client = node.client();
            assert_eq!(client.rpc(&lookup(id, 900)), value());
            client
        })
        .collect();
    // Only who has rested for half a second gives way.
    std::thread::sleep(Duration::from_millis(600));
    node.signal(Signal::STOP);
    let mut new = node.connect();
    clients[0].ask(&save(100, 1_900));
    node.signal(Signal::CONT);
    assert_eq!(clients[0].hear(), value());
    new.startup();
    assert_eq!(new.rpc(&save(101, 900)), value());
    assert_eq!(clients[1].hear(), Said::Closed, "the next one gave way");
}

#[test]
fn commands_behind_an_answer_are_answered_in_a_stop() {
    let gate = Gate::default();
    let theirs = gate.clone();
    let at = served(move |_, mut line| {
        line.hello()?;
        line.welcome()?;
        while line.query().is_some() {
            theirs.pass();
            line.answers(VALUE)?;
        }
        None
    });
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", at, 1, "active")]));
    let mut client = node.client();
    client.ask(&save(1, 1_900));
    client.ask(&save(2, 1_900));
    node.signal(Signal::TERM);
    door_closed(&node);
    gate.open();
    assert_eq!([client.hear(), client.hear(), client.hear()], [value(), value(), Said::Closed]);
}

#[test]
fn a_connection_that_came_before_the_door_closed_may_still_speak() {
    let a = machine(&[Does::Answers]);
    let platform = Platform::begin();
    let mut node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    let (mut ready, mut new) = (node.client(), node.connect());
    node.signal(Signal::TERM);
    door_closed(&node);
    assert_eq!([ready.rpc(&save(1, 900)), ready.hear()], [value(), Said::Closed]);
    new.startup();
    assert_eq!([new.rpc(&save(2, 900)), new.hear()], [value(), Said::Closed]);
    assert!(node.proc.child.wait().unwrap().success());
}

#[test]
fn answers_on_their_way_to_a_slow_reader_are_not_cut_off_by_a_stop() {
    const MANY: u64 = 100;
    let large = vec![b'x'; 64 * 1024];
    let answer = row(&large);
    let at = served(move |_, mut line| {
        line.hello()?;
        line.welcome()?;
        while line.query().is_some() {
            line.io.write_all(&answer).ok()?;
        }
        None
    });
    let platform = Platform::begin();
    let mut node = Node::start(&configuration(&platform, &[("a", at, 1, "active")]));
    let mut client = node.client();
    (0..MANY).for_each(|id| client.ask(&lookup(id, 1_900)));
    node.signal(Signal::TERM);
    door_closed(&node);
    // It would be gone by now, had it not waited.
    std::thread::sleep(Duration::from_millis(300));
    for id in 0..MANY {
        assert!(client.hear() == Said::Value(large.clone()), "answer {id}");
    }
    assert_eq!(client.hear(), Said::Closed);
    assert!(node.proc.child.wait().unwrap().success());
}

#[test]
fn a_stop_ends_in_its_time_though_a_client_never_rests() {
    let a = machine(&[Does::Answers]);
    let platform = Platform::begin();
    let mut node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    let mut client = node.client();
    // Commands without end, so that a next one is always here.
    let mut ahead = client.io.try_clone().unwrap();
    let writes = std::thread::spawn(move || {
        for id in 1.. {
            let mut out = Vec::new();
            rockpick_pg::put_query(&mut out, &lookup(id, 1_900));
            if ahead.write_all(&out).is_err() {
                return;
            }
        }
    });
    assert!(!matches!(client.hear(), Said::Closed));
    let began = Instant::now();
    node.signal(Signal::TERM);
    while !matches!(client.hear(), Said::Closed) {
        assert!(began.elapsed() < Duration::from_secs(6), "it goes on for ever");
    }
    assert!(node.proc.child.wait().unwrap().success());
    writes.join().unwrap();
}

#[test]
fn a_configuration_that_is_whole_a_moment_after_the_signal_is_read() {
    let a = machine(&[Does::Answers]);
    let (platform, other) = (Platform::begin(), Platform::begin());
    let node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    wait_until_polled(&platform);
    node.rewrite_config("{ half");
    node.signal(Signal::HUP);
    // It has read the half: it goes on serving after that signal.
    assert_eq!(node.client().rpc(&lookup(1, 900)), value());
    node.rewrite_config(&configuration(&other, &[]).to_string());
    wait_until_polled(&other);
}

/// At the bound of what is kept of all clients, one that sends little is not the one to go.
#[test]
fn a_flood_of_half_commands_turns_away_none_that_sends_little() {
    const PART: usize = 128 * 1024;
    let a = machine(&[Does::Answers]);
    let platform = Platform::begin();
    let mut told = configuration(&platform, &[("a", a.at, 1, "active")]);
    told["limits"]["sockets"] = 512.into();
    let node = Node::start(&told);
    let (mut good, mut looks) = (node.client(), node.client());
    assert_eq!(good.rpc(&lookup(1, 900)), value());
    let mut head = vec![b'Q'];
    head.extend_from_slice(&(rockpick_pg::MOST_QUERY as u32 - 8).to_be_bytes());
    let mut half = head;
    half.resize(PART, b'x');
    let mut flood: Vec<Client> = (0..64).map(|_| node.client()).collect();
    for (i, client) in flood.iter_mut().enumerate() {
        // In all some bytes less than are kept.
        client.io.write_all(&half[..PART - if i == 0 { 64 } else { 0 }]).unwrap();
    }
    // Each answer is a turn, and a turn reads from all.
    (0..10).for_each(|_| assert_eq!(looks.rpc(""), Said::Empty));
    assert_eq!(good.rpc(&lookup(2, 900)), value());
}
