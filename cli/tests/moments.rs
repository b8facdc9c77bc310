//! Races in the running node: events that arrive between two of its steps. Each test forces the unfavourable order.
mod peers;
#[path = "peers/platform.rs"]
mod platform;

use peers::wait_until;
use platform::*;
use rustix::process::Signal;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const VALUE: &[u8] = b"value";

fn value() -> Answer {
    Answer::Value(VALUE.to_vec())
}

/// Waits until the node accepts no more connections; from then on it closes those that are idle.
fn wait_for_listener_closed(node: &Node) {
    wait_until("the listener is closed", || TcpStream::connect(node.proc.at).is_err());
}

/// A machine that answers no startup message before its gate is open, with the number of its connections and queries.
fn gated_machine(value: &'static [u8]) -> (SocketAddr, Gate, [Arc<AtomicUsize>; 2]) {
    let (gate, counts) = (Gate::default(), [(); 2].map(|()| Arc::new(AtomicUsize::new(0))));
    let (held, [connections, queries]) = (gate.clone(), counts.clone());
    let at = machine_served_by(move |_, mut line| {
        line.read_startup()?;
        connections.fetch_add(1, Ordering::SeqCst);
        held.pass();
        line.send_startup_response()?;
        line.query()?;
        queries.fetch_add(1, Ordering::SeqCst);
        line.answers(value)
    });
    (at, gate, counts)
}

/// Sends RPCs until a machine has served one.
fn wait_until_served(client: &mut Client, machine: &Machine) {
    let mut id = 1 << 40;
    wait_until("the machine has served", || {
        id += 1;
        client.rpc(&lookup(id, 900));
        machine.queries() > 0
    });
}

#[test]
fn pushed_rosters_are_received_though_the_module_requests_none() {
    let (a, b) = (machine(&[QueryAction::Answer]), machine(&[QueryAction::Answer]));
    let platform = Platform::begin();
    let mut config = configuration(&platform, &[("a", a.at, 1, "active")]);
    config["settings"]["discovery"] = "automatic".into();
    let node = Node::start(&config);
    platform.list(false, &[("a", a.at, 1, "leaving"), ("b", b.at, 1, "active")]);
    wait_until_served(&mut node.client(), &b);
}

#[test]
fn indented_rosters_are_parsed() {
    let (a, b) = (machine(&[QueryAction::Answer]), machine(&[QueryAction::Answer]));
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    wait_until_polled(&platform);
    platform.list_indented(&[("a", a.at, 1, "leaving"), ("b", b.at, 1, "active")]);
    wait_until_served(&mut node.client(), &b);
    assert_eq!(platform.asked.lock().unwrap()[0], 1, "still the first watch");
}

/// Guards against a restarted node that treats a watch without news as not connected, and rejects RPCs for good.
#[test]
fn a_watch_with_only_heartbeats_confirms_the_initial_roster() {
    let a = machine(&[QueryAction::Answer]);
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    wait_until("the watch sends data", || platform.last_sign.lock().unwrap().is_some());
    // The initial roster alone would be used for 1.6 s.
    std::thread::sleep(Duration::from_millis(1_800));
    assert_eq!(node.client().rpc(&lookup(1, 900)), value());
}

/// Changes that a silent watch misses count 6 s after it fell silent. By then another one must serve, at the second
/// attempt at the latest; and if watches never send data, the list must be requested as well.
#[test]
fn a_silent_watch_is_replaced_in_time_and_a_list_is_fetched_if_the_next_is_silent_too() {
    let (a, b) = (machine(&[QueryAction::Answer]), machine(&[QueryAction::Answer]));
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    wait_until("the watch sends data", || platform.last_sign.lock().unwrap().is_some());
    platform.answer_list(1, &[("b", b.at, 1, "active")]);
    platform.mute.store(true, Ordering::SeqCst);
    wait_until("the watch is requested again", || platform.asked.lock().unwrap()[0] == 2);
    // It is considered dead after 2.5 s, and requested again three quarters of a second later. One second more, and
    // the second attempt would be too late.
    let silent = platform.last_sign.lock().unwrap().unwrap().elapsed();
    assert!(silent < Duration::from_millis(3_950), "{silent:?}");
    wait_until_served(&mut node.client(), &b);
}

#[test]
fn a_pick_that_connects_after_the_grace_of_a_drain_is_not_sent() {
    let (at, gate, [connections, queries]) = gated_machine(VALUE);
    let platform = Platform::begin();
    let mut config = configuration(&platform, &[("a", at, 1, "active")]);
    config["settings"]["permissions"]["dialTimeoutMs"] = 1_500.into();
    config["settings"]["invariants"]["drainGraceMs"] = 300.into();
    let node = Node::start(&config);
    wait_until_polled(&platform);
    let mut client = node.client();
    client.ask(&save(1, 1_900));
    wait_until("the pick connects", || connections.load(Ordering::SeqCst) == 1);
    platform.list(false, &[("a", at, 1, "leaving")]);
    let opens_gate = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(700));
        gate.open();
    });
    assert!(pushed_back(&client.read_answer()), "it never ran");
    opens_gate.join().unwrap();
    assert_eq!(queries.load(Ordering::SeqCst), 0);
}

#[test]
fn a_pick_whose_machine_is_replaced_while_it_connects_is_not_sent() {
    let ((at, gate, [connections, old]), new) = (gated_machine(b"old"), machine(&[QueryAction::Answer]));
    let platform = Platform::begin();
    let mut config = configuration(&platform, &[("a", at, 1, "active")]);
    config["settings"]["permissions"]["dialTimeoutMs"] = 1_500.into();
    config["settings"]["invariants"]["drainGraceMs"] = 10_000.into();
    let node = Node::start(&config);
    let mut client = node.client();
    client.ask(&save(1, 1_900));
    wait_until("the pick connects", || connections.load(Ordering::SeqCst) == 1);
    platform.list(false, &[("a", new.at, 1, "active")]);
    wait_until_served(&mut node.client(), &new);
    gate.open();
    assert!(pushed_back(&client.read_answer()), "it never ran");
    assert_eq!(old.load(Ordering::SeqCst), 0);
    assert_eq!(client.rpc(&save(2, 900)), value());
}

/// The pick was decided for a build on trial that is withdrawn before the connection is ready.
#[test]
fn a_pick_whose_build_is_withdrawn_while_it_connects_is_not_sent() {
    let ((new, gate, [connections, queries]), old) = (gated_machine(b"new"), machine(&[QueryAction::Answer]));
    let platform = Platform::begin();
    let mut config = configuration(&platform, &[("a", old.at, 1, "active"), ("b", new, 2, "active")]);
    config["settings"]["permissions"]["dialTimeoutMs"] = 1_800.into();
    config["settings"]["invariants"]["drainGraceMs"] = 10_000.into();
    let node = Node::start(&config);
    wait_until_polled(&platform);
    platform.news("* progress 2 0 canary 1 20000");
    let mut client = node.client();
    client.ask(&save(1, 1_900));
    wait_until("the pick connects", || connections.load(Ordering::SeqCst) > 0);
    platform.news("* progress 2 0 reverting 0 0");
    wait_until("the withdrawal is received", || node.log_contains("phase=GoingBack"));
    gate.open();
    assert_eq!(client.read_answer(), value(), "answered by the earlier build");
    assert_eq!(queries.load(Ordering::SeqCst), 0);
}

/// The new build has answered a key of a one-way release, and the answer is lost: no earlier build may get that key.
#[test]
fn a_key_whose_answer_is_lost_goes_to_no_earlier_build() {
    let (old, new) = (machine(&[QueryAction::Answer]), machine(&[QueryAction::Close]));
    let platform = Platform::begin();
    let mut config = configuration(&platform, &[("a", old.at, 1, "active"), ("b", new.at, 2, "active")]);
    config["settings"]["extra"]["oneWay"] = true.into();
    let node = Node::start(&config);
    wait_until_polled(&platform);
    platform.news("* progress 2 0 canary 1 20000");
    let mut client = node.client();
    let mut id = 0;
    wait_until("the new build has the key", || {
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
fn a_repeat_that_connects_after_the_window_is_not_sent() {
    let (gate, connections, queries) =
        (Gate::default(), Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(0)));
    let serve = |gate: Gate, connections: Arc<AtomicUsize>, queries: Arc<Mutex<usize>>| {
        move |_: usize, mut line: MachineConnection| {
            line.read_startup()?;
            // The first connection is closed after the query; that of the repeat is ready late.
            let first = connections.fetch_add(1, Ordering::SeqCst) == 0;
            if !first {
                gate.pass();
            }
            line.send_startup_response()?;
            line.query()?;
            *queries.lock().unwrap() += 1;
            if first {
                return None;
            }
            line.answers(VALUE)
        }
    };
    let machines =
        [(); 2].map(|()| machine_served_by(serve(gate.clone(), connections.clone(), queries.clone())));
    let platform = Platform::begin();
    let mut config =
        configuration(&platform, &[("a", machines[0], 1, "active"), ("b", machines[1], 1, "active")]);
    let lane = &mut config["settings"]["lanes"][1];
    (lane["idempotency"], lane["windowMs"]) = ("guarded".into(), 400.into());
    config["settings"]["permissions"]["dialTimeoutMs"] = 1_000.into();
    let node = Node::start(&config);
    let mut client = node.client();
    client.ask(&save(1, 1_900));
    wait_until("the repeat connects", || connections.load(Ordering::SeqCst) == 2);
    let opens_gate = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(600));
        gate.open();
    });
    assert!(!matches!(client.read_answer(), Answer::Value(_)));
    opens_gate.join().unwrap();
    assert_eq!(*queries.lock().unwrap(), 1, "the effect happens once");
}

/// A duplicate of an answer that arrives some milliseconds late must not be taken for the next answer.
#[test]
fn a_late_copy_of_an_answer_is_not_taken_for_another() {
    let at = machine_served_by(|number, mut line| {
        line.read_startup()?;
        line.send_startup_response()?;
        line.query()?;
        let value = number.to_string();
        line.answers(value.as_bytes())?;
        let answered = Instant::now();
        line.query()?;
        // The next query has arrived: the duplicate is sent before its answer, if duplicates still occur this late.
        if answered.elapsed() < Duration::from_millis(5) {
            line.answers(value.as_bytes())?;
        }
        line.answers(b"next")
    });
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", at, 1, "active")]));
    let mut client = node.client();
    assert_eq!(client.rpc(&save(1, 900)), Answer::Value(b"0".to_vec()));
    let answer = client.rpc(&save(2, 900));
    assert!([&b"1"[..], b"next"].iter().any(|good| answer == Answer::Value(good.to_vec())), "{answer:?}");
}

/// A query that a machine has received: the machine, the RPC's id, and the connection.
type ReceivedQuery = (usize, u64, TcpStream);

/// A machine whose answers are the ids of the RPCs. While it holds them, the test answers in its place.
fn machine_that_records(
    index: usize, received: &Arc<Mutex<Vec<ReceivedQuery>>>, hold: &Arc<AtomicBool>,
) -> SocketAddr {
    let (received, hold) = (received.clone(), hold.clone());
    machine_served_by(move |_, mut line| {
        // A copy must not wait in the kernel for the acknowledgement of the answer.
        line.io.set_nodelay(true).ok()?;
        line.read_startup()?;
        line.send_startup_response()?;
        while let Some(text) = line.query() {
            let id = u64::from_str_radix(&text.split_once("id=")?.1[..16], 16).ok()?;
            let holds = hold.load(Ordering::SeqCst);
            received.lock().unwrap().push((index, id, line.io.try_clone().ok()?));
            if !holds {
                line.answers(&id.to_be_bytes())?;
            }
        }
        None
    })
}

/// Rejects the last query, and sends the other machine's last answer once more.
fn reject_then_copy(queries: &[ReceivedQuery]) {
    let (rejecting, _, mut connection) =
        queries.last().map(|q| (q.0, q.1, q.2.try_clone().unwrap())).unwrap();
    let (_, id, mut other) = queries
        .iter()
        .rfind(|(machine, ..)| *machine != rejecting)
        .map(|q| (q.0, q.1, q.2.try_clone().unwrap()))
        .unwrap();
    let mut rejection = Vec::new();
    rockpick_pg::put_error(&mut rejection, false, rockpick_pg::TOO_MANY_CONNECTIONS, "full", None);
    connection.write_all(&rejection).unwrap();
    // Both are read in the order in which they have arrived.
    std::thread::sleep(Duration::from_millis(5));
    other.write_all(&row(&id.to_be_bytes())).unwrap();
    std::thread::sleep(Duration::from_millis(5));
}

/// Guards against serving a request with another client's value: the node, held up, reads a rejection by one machine and
/// behind it a late copy of an answer from the other in the same turn. The retry must not use the copy's connection.
#[test]
fn a_late_copy_that_is_read_but_not_handled_yet_is_not_taken_for_another_answer() {
    const ROUNDS: usize = 10;
    /// Longer than the time for which a connection is not reused after an answer.
    const REUSE_DELAY: Duration = Duration::from_millis(25);
    let (received, hold) = (Arc::<Mutex<Vec<ReceivedQuery>>>::default(), Arc::<AtomicBool>::default());
    let [a, b] = [0, 1].map(|index| machine_that_records(index, &received, &hold));
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", a, 1, "active"), ("b", b, 1, "active")]));
    let mut client = node.client();
    let (mut id, mut served) = (0, [0, 0]);
    wait_until("both machines have served and are idle", || {
        id += 1;
        assert_eq!(client.rpc(&save(id, 900)), Answer::Value(id.to_be_bytes().to_vec()));
        std::thread::sleep(REUSE_DELAY);
        served[received.lock().unwrap().last().unwrap().0] += 1;
        served.iter().all(|count| *count >= 2)
    });
    for _ in 0..ROUNDS {
        std::thread::sleep(REUSE_DELAY);
        hold.store(true, Ordering::SeqCst);
        id += 1;
        client.ask(&save(id, 1_900));
        wait_until("one machine holds the RPC", || received.lock().unwrap().last().unwrap().1 == id);
        node.signal(Signal::STOP);
        hold.store(false, Ordering::SeqCst);
        reject_then_copy(&received.lock().unwrap());
        node.signal(Signal::CONT);
        assert_eq!(client.read_answer(), Answer::Value(id.to_be_bytes().to_vec()));
    }
}

/// The node is paused while a new connection and then an RPC on the eviction candidate arrive: it reads both in the
/// same turn, the new connection first.
#[test]
fn a_connection_with_unread_bytes_is_not_evicted_for_a_new_one() {
    let a = machine(&[QueryAction::Answer]);
    let platform = Platform::begin();
    let mut config = configuration(&platform, &[("a", a.at, 1, "active")]);
    config["limits"]["sockets"] = 64.into();
    let node = Node::start(&config);
    let mut clients: Vec<Client> = (0..10)
        .map(|id| {
            let mut client = node.client();
            assert_eq!(client.rpc(&lookup(id, 900)), value());
            client
        })
        .collect();
    // Only connections that were idle for half a second are evicted.
    std::thread::sleep(Duration::from_millis(600));
    node.signal(Signal::STOP);
    let mut new = node.connect();
    clients[0].ask(&save(100, 1_900));
    node.signal(Signal::CONT);
    assert_eq!(clients[0].read_answer(), value());
    new.startup();
    assert_eq!(new.rpc(&save(101, 900)), value());
    assert_eq!(clients[1].read_answer(), Answer::Closed, "the next candidate is evicted");
}

#[test]
fn pipelined_commands_are_answered_in_a_shutdown() {
    let gate = Gate::default();
    let machine_gate = gate.clone();
    let at = machine_served_by(move |_, mut line| {
        line.read_startup()?;
        line.send_startup_response()?;
        while line.query().is_some() {
            machine_gate.pass();
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
    wait_for_listener_closed(&node);
    gate.open();
    assert_eq!(
        [client.read_answer(), client.read_answer(), client.read_answer()],
        [value(), value(), Answer::Closed]
    );
}

#[test]
fn a_connection_that_came_before_the_listener_closed_is_served() {
    let a = machine(&[QueryAction::Answer]);
    let platform = Platform::begin();
    let mut node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    let (mut ready, mut new) = (node.client(), node.connect());
    node.signal(Signal::TERM);
    wait_for_listener_closed(&node);
    assert_eq!([ready.rpc(&save(1, 900)), ready.read_answer()], [value(), Answer::Closed]);
    new.startup();
    assert_eq!([new.rpc(&save(2, 900)), new.read_answer()], [value(), Answer::Closed]);
    assert!(node.proc.child.wait().unwrap().success());
}

#[test]
fn answers_to_a_slow_reader_are_not_cut_off_by_a_shutdown() {
    const MANY: u64 = 100;
    let large = vec![b'x'; 64 * 1024];
    let answer = row(&large);
    let at = machine_served_by(move |_, mut line| {
        line.read_startup()?;
        line.send_startup_response()?;
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
    wait_for_listener_closed(&node);
    // Without waiting for the reader it would have ended by now.
    std::thread::sleep(Duration::from_millis(300));
    for id in 0..MANY {
        assert!(client.read_answer() == Answer::Value(large.clone()), "answer {id}");
    }
    assert_eq!(client.read_answer(), Answer::Closed);
    assert!(node.proc.child.wait().unwrap().success());
}

#[test]
fn a_shutdown_ends_in_time_though_a_client_is_never_idle() {
    let a = machine(&[QueryAction::Answer]);
    let platform = Platform::begin();
    let mut node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    let mut client = node.client();
    // Commands without end, so that the next one is always there.
    let mut writer = client.io.try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        for id in 1.. {
            let mut out = Vec::new();
            rockpick_pg::put_query(&mut out, &lookup(id, 1_900));
            if writer.write_all(&out).is_err() {
                return;
            }
        }
    });
    assert!(!matches!(client.read_answer(), Answer::Closed));
    let began = Instant::now();
    node.signal(Signal::TERM);
    while !matches!(client.read_answer(), Answer::Closed) {
        assert!(began.elapsed() < Duration::from_secs(6), "the shutdown does not end");
    }
    assert!(node.proc.child.wait().unwrap().success());
    writing.join().unwrap();
}

#[test]
fn a_configuration_that_is_complete_only_after_the_signal_is_read() {
    let a = machine(&[QueryAction::Answer]);
    let (platform, other) = (Platform::begin(), Platform::begin());
    let node = Node::start(&configuration(&platform, &[("a", a.at, 1, "active")]));
    wait_until_polled(&platform);
    node.rewrite_config("{ half");
    node.signal(Signal::HUP);
    // The node has read the partial file, as it serves after the signal.
    assert_eq!(node.client().rpc(&lookup(1, 900)), value());
    node.rewrite_config(&configuration(&other, &[]).to_string());
    wait_until_polled(&other);
}

/// At the limit of buffered bytes of all clients, a client that sends little is not closed.
#[test]
fn a_flood_of_partial_commands_closes_no_client_that_sends_little() {
    const PART: usize = 128 * 1024;
    let a = machine(&[QueryAction::Answer]);
    let platform = Platform::begin();
    let mut config = configuration(&platform, &[("a", a.at, 1, "active")]);
    config["limits"]["sockets"] = 512.into();
    let node = Node::start(&config);
    let (mut good, mut probe) = (node.client(), node.client());
    assert_eq!(good.rpc(&lookup(1, 900)), value());
    let mut head = vec![b'Q'];
    head.extend_from_slice(&(rockpick_pg::MAX_QUERY_LEN as u32 - 8).to_be_bytes());
    let mut partial = head;
    partial.resize(PART, b'x');
    let mut flood: Vec<Client> = (0..64).map(|_| node.client()).collect();
    for (i, client) in flood.iter_mut().enumerate() {
        // In total a few bytes less than the limit.
        client.io.write_all(&partial[..PART - if i == 0 { 64 } else { 0 }]).unwrap();
    }
    // Each answer takes a turn, and a turn reads from all clients.
    (0..10).for_each(|_| assert_eq!(probe.rpc(""), Answer::Empty));
    assert_eq!(good.rpc(&lookup(2, 900)), value());
}

/// A machine that answers with the id of each RPC. Once a query has arrived behind an answer, it sends that answer once more,
/// `delay` before the one that is asked for.
fn machine_with_late_copies(delay: Duration) -> SocketAddr {
    machine_served_by(move |_, mut line| {
        line.io.set_nodelay(true).ok()?;
        line.read_startup()?;
        line.send_startup_response()?;
        let mut last: Option<[u8; 8]> = None;
        while let Some(text) = line.query() {
            let id = u64::from_str_radix(&text.split_once("id=")?.1[..16], 16).ok()?.to_be_bytes();
            if let Some(copy) = last.replace(id) {
                line.answers(&copy)?;
                std::thread::sleep(delay);
            }
            line.answers(&id)?;
        }
        None
    })
}

/// Guards against serving a request with the value of another one: a late copy of an answer arrives once the connection is in
/// use again, however long it rested.
#[test]
fn a_copy_that_comes_after_the_next_query_is_not_served_to_it() {
    for delay in [Duration::ZERO, Duration::from_millis(30)] {
        let platform = Platform::begin();
        let machine = machine_with_late_copies(delay);
        let node = Node::start(&configuration(&platform, &[("a", machine, 1, "active")]));
        let mut client = node.client();
        for id in 1..=20u64 {
            assert_eq!(client.rpc(&save(id, 900)), Answer::Value(id.to_be_bytes().to_vec()), "{delay:?}");
            // Longer than a connection rests, so that it is used again.
            std::thread::sleep(Duration::from_millis(12));
        }
    }
}

/// Guards against taking an answer for a late copy because it has the same value: all are served, on one connection.
#[test]
fn answers_of_the_same_value_are_all_served() {
    let machine = machine(&[QueryAction::Answer]);
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", machine.at, 1, "active")]));
    let mut client = node.client();
    for id in 1..=20 {
        assert_eq!(client.rpc(&save(id, 900)), value());
        std::thread::sleep(Duration::from_millis(12));
    }
    assert_eq!(machine.queries(), 20);
    let connections = machine.got.lock().unwrap().iter().map(|(number, _)| *number).max();
    assert!(connections < Some(3), "{connections:?}");
}

/// Guards against an effect that happens twice: the id of an RPC comes again after its client has left and its machine has
/// answered. What may run twice runs again.
#[test]
fn an_id_that_comes_again_after_its_client_left_does_not_run_twice() {
    let gate = Gate::default();
    let received = Arc::<Mutex<Vec<String>>>::default();
    let (held, queries) = (gate.clone(), received.clone());
    let machine = machine_served_by(move |_, mut line| {
        line.read_startup()?;
        line.send_startup_response()?;
        while let Some(text) = line.query() {
            queries.lock().unwrap().push(text);
            held.pass();
            line.answers(VALUE)?;
        }
        None
    });
    let platform = Platform::begin();
    let node = Node::start(&configuration(&platform, &[("a", machine, 1, "active")]));
    let runs = || received.lock().unwrap().len();
    let mut leaves = node.client();
    leaves.ask(&save(7, 900));
    wait_until("the machine has the RPC", || runs() == 1);
    drop(leaves);
    let mut other = node.client();
    assert!(failed(&other.rpc(&save(7, 900))), "while its pick is open");
    gate.open();
    std::thread::sleep(Duration::from_millis(50));
    assert!(failed(&other.rpc(&save(7, 900))), "after its pick");
    assert_eq!(runs(), 1);
    assert_eq!([other.rpc(&lookup(8, 900)), other.rpc(&lookup(8, 900))], [value(), value()]);
}
