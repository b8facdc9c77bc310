//! The live node while discovery can't be reached, and after it: by which roster it works.
mod peers;
#[path = "peers/platform.rs"]
mod platform;

use platform::*;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A change counts as known to a node at the latest so long after discovery had it and could be reached.
const KNOWN_WITHIN: Duration = Duration::from_secs(6);
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Slack of the platform's time limits.
const SLACK: Duration = Duration::from_millis(50);
/// Longest time that a node of this test waits before it asks discovery again, so that it seldom does in time.
const ASK_WITHIN_MS: u32 = 200_000;
const NODES: usize = 6;

/// Guards against a node that goes by the roster of a former discovery address for as long as after an outage: all that discovery
/// has to tell counts as known 4 s after the signal that moves it.
#[test]
fn a_node_whose_discovery_has_moved_stops_using_its_roster_in_time() {
    const KNOWN_AFTER_MOVE: Duration = Duration::from_secs(4);
    let (machine, platform) = (machine(&[QueryAction::Answer]), Platform::begin());
    let list = [("a", machine.at, 1, "active")];
    let node = Node::start(&configuration(&platform, &list));
    wait_until_polled(&platform);
    let moved = Platform::begin();
    moved.down.store(true, Ordering::SeqCst);
    node.rewrite_config(&configuration(&moved, &list).to_string());
    node.signal(rustix::process::Signal::HUP);
    let began = Instant::now();
    let mut client = node.client();
    let mut id = 0;
    let mut ask = || {
        id += 1;
        client.rpc(&lookup(id, 900))
    };
    std::thread::sleep(Duration::from_millis(1_500));
    platform.down.store(true, Ordering::SeqCst);
    while began.elapsed() < KNOWN_AFTER_MOVE {
        assert!(matches!(ask(), Answer::Value(_)), "{:?}", began.elapsed());
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep((KNOWN_AFTER_MOVE + DRAIN_GRACE + SLACK).saturating_sub(began.elapsed()));
    let queries = machine.queries();
    assert!((0..10).all(|_| pushed_back(&ask())));
    assert_eq!(machine.queries(), queries);
    moved.down.store(false, Ordering::SeqCst);
    peers::wait_until("the moved discovery is heard", || matches!(ask(), Answer::Value(_)));
}

/// Where lists are pushed, a change counts as told whether or not a watch is open. Guards against a node that lost its watch in
/// a short outage and gives new work to a machine that is taken out right after it.
#[test]
fn a_node_whose_pushed_lists_are_cut_off_stops_using_its_roster_within_the_grace() {
    let (machine, platform) = (machine(&[QueryAction::Answer]), Platform::begin());
    let mut config = configuration(&platform, &[("a", machine.at, 1, "active")]);
    config["settings"]["discovery"] = "automatic".into();
    config["settings"]["invariants"]["askWithinMs"] = ASK_WITHIN_MS.into();
    let node = Node::start(&config);
    wait_until_polled(&platform);
    let (mut client, mut id) = (node.client(), 0);
    let mut ask = || {
        id += 1;
        client.rpc(&lookup(id, 900))
    };
    assert!(matches!(ask(), Answer::Value(_)));
    platform.down.store(true, Ordering::SeqCst);
    // Longer than until the first further call, which is refused; the next one comes late.
    std::thread::sleep(Duration::from_secs(1));
    platform.down.store(false, Ordering::SeqCst);
    platform.list(false, &[("a", machine.at, 1, "leaving")]);
    std::thread::sleep(DRAIN_GRACE + SLACK);
    let queries = machine.queries();
    for _ in 0..20 {
        assert!(pushed_back(&ask()));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(machine.queries(), queries, "nothing goes to a drained machine");
}

/// Guards against a node that lost its watch and works by its old roster until it asks discovery again, however late that is: a
/// machine that drains meanwhile gets nothing after the drain counts as known and its grace is over.
#[test]
fn a_node_without_a_watch_stops_using_its_roster_in_time() {
    let nodes: Vec<(Machine, Platform, Node)> = (0..NODES)
        .map(|i| {
            let (machine, platform) = (machine(&[QueryAction::Answer]), Platform::begin());
            let mut config = configuration(&platform, &[("a", machine.at, 1, "active")]);
            config["settings"]["invariants"]["askWithinMs"] = ASK_WITHIN_MS.into();
            config["seed"] = format!("{:016x}", 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(i as u64 + 1)).into();
            let node = Node::start(&config);
            wait_until_polled(&platform);
            (machine, platform, node)
        })
        .collect();
    let mut clients: Vec<Client> = nodes.iter().map(|(.., node)| node.client()).collect();
    let mut id = 0;
    let mut ask_all = || -> Vec<Answer> {
        id += 1;
        clients.iter_mut().map(|client| client.rpc(&lookup(id, 900))).collect()
    };
    assert!(ask_all().iter().all(|answer| matches!(answer, Answer::Value(_))));
    // The watches end, and discovery can be reached again at once.
    nodes.iter().for_each(|(_, platform, _)| platform.down.store(true, Ordering::SeqCst));
    std::thread::sleep(Duration::from_millis(100));
    nodes.iter().for_each(|(_, platform, _)| platform.down.store(false, Ordering::SeqCst));
    let drained = Instant::now();
    nodes.iter().for_each(|(machine, platform, _)| platform.list(false, &[("a", machine.at, 1, "leaving")]));
    let mut served_late = 0;
    while drained.elapsed() < KNOWN_WITHIN + DRAIN_GRACE + SLACK {
        let late = drained.elapsed() > KNOWN_WITHIN - Duration::from_secs(1);
        let served = ask_all().iter().filter(|answer| matches!(answer, Answer::Value(_))).count();
        served_late += if late { served } else { 0 };
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(served_late > 0, "the old roster is used for as long as it may be");
    let queries = || nodes.iter().map(|(machine, ..)| machine.queries()).collect::<Vec<_>>();
    let before = queries();
    for _ in 0..10 {
        assert!(ask_all().iter().all(pushed_back));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(queries(), before, "nothing goes to a drained machine");
}
