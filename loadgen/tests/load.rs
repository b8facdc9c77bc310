//! The load generator against small scripted fronts on loopback.
use rockpick_control::Settings;
use rockpick_fakes::{Arrivals, Load};
use rockpick_loadgen::LoadTest;
use rockpick_net::{Event, Net, Ns, MS, SEC};
use std::net::SocketAddr;
use std::sync::mpsc;

/// Starts a front that answers ok at once, except that it stalls for a period after its first RPC.
fn front(stall: std::ops::Range<Ns>) -> SocketAddr {
    let (to, from) = mpsc::channel();
    std::thread::spawn(move || {
        let mut net = Net::new(10_000).unwrap();
        let (_, at) = net.listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        to.send(at).unwrap();
        let (mut events, mut first) = (Vec::new(), None);
        loop {
            net.turn(&mut events, SEC).unwrap();
            for event in events.drain(..) {
                if let Event::Request { conn, .. } = event {
                    let first = *first.get_or_insert(net.now());
                    if stall.contains(&(net.now() - first)) {
                        let left = stall.end - (net.now() - first);
                        std::thread::sleep(std::time::Duration::from_nanos(left as u64));
                    }
                    net.answer(conn, 200, &[("Rockpick-Answer", "ok"), ("Rockpick-Build", "1")], b"{}");
                }
            }
        }
    });
    from.recv().unwrap()
}

fn course(fronts: Vec<SocketAddr>) -> LoadTest {
    let settings = Settings::example(fronts.len(), 2);
    LoadTest {
        names: settings.fronts.iter().map(|f| f.name.clone()).collect(),
        fronts,
        settings,
        load: Load { rate: 400.0, ..Load::default() },
        arrivals: Arrivals::Poisson,
        duration: SEC,
        retries: 0,
        work_ms: 1.0,
        seed: 5,
        threads: 2,
        max_open: 4_000,
        record: None,
    }
}

/// Guards against coordinated omission: RPCs that are due while the front stalls must count from their due time.
#[test]
fn rpcs_due_while_a_front_stalls_count_from_their_due_time() {
    // Sixty connections wait to be accepted meanwhile, fewer than any system's limit on pending connections.
    let load = Load { rate: 200.0, ..Load::default() };
    let result = LoadTest { load, ..course(vec![front(300 * MS..600 * MS)]) }.run().unwrap();
    let all = result.all().unwrap();
    assert_eq!((result.totals.ok, all.len()), (result.totals.rpcs, result.totals.ok), "{:?}", result.totals);
    // The stall lasts 0.3 s of 1 s, so waits of up to 0.3 s are spread evenly over three tenths of all RPCs.
    let slow = all.iter_recorded().filter(|v| v.value_iterated_to() > 100_000).map(|v| v.count_at_value());
    let share = slow.sum::<u64>() as f64 / all.len() as f64;
    assert!((0.12..0.5).contains(&share), "{share}");
    assert!(all.max() >= 200_000, "{}", all.max());
}

/// Guards against a schedule that depends on the number of threads, and checks that a record can be replayed.
#[test]
fn the_schedule_does_not_depend_on_the_number_of_threads_and_a_record_can_be_replayed() {
    let dir = tempfile::tempdir().unwrap();
    let at = front(0..0);
    let mut sent = Vec::new();
    let record = |threads: usize, arrivals: Arrivals| {
        let path = dir.path().join(format!("{threads}.jsonl"));
        let course = LoadTest { threads, arrivals, record: Some(path.clone()), ..course(vec![at]) };
        let result = course.run().unwrap();
        assert_eq!(result.totals.ok, result.totals.rpcs, "{:?}", result.totals);
        std::fs::read_to_string(path).unwrap()
    };
    for threads in [1, 3] {
        let text = record(threads, Arrivals::Poisson);
        let mut keys: Vec<(String, String)> = (text.lines())
            .map(|l| serde_json::from_str::<serde_json::Value>(l).unwrap())
            .filter(|v| v["event"] == "sent")
            .map(|v| (v["rpc"].to_string(), v["key"].to_string()))
            .collect();
        keys.sort();
        sent.push((keys, text));
    }
    assert!(sent[0].0.len() > 300 && sent[0].0 == sent[1].0);
    let c = course(vec![at]);
    let again = record(2, Arrivals::replay(&sent[0].1, &c.settings, &c.names).unwrap());
    assert_eq!(again.lines().count(), sent[0].1.lines().count());
}

#[test]
fn rpcs_beyond_the_limit_of_open_ones_are_reported_as_not_sent() {
    let course = LoadTest { max_open: 8, threads: 1, ..course(vec![front(100 * MS..700 * MS)]) };
    let result = course.run().unwrap();
    assert!(
        result.totals.not_sent > 50 && result.limits()[0].contains("were not sent"),
        "{:?}",
        result.limits()
    );
    assert!(LoadTest { threads: 0, ..course }.run().is_err());
}
