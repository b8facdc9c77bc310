//! Measures the initial transfer in virtual time; prints the results and asserts nothing. Run with
//! `cargo test --release -p rockpick-replication --test measurements -- --ignored --nocapture`.
use rockpick_fault_injection::plan::PlannedFault;
use rockpick_fault_injection::simulation::{Output, SimulatedProcess, Simulation};
use rockpick_fault_injection::{Fault, LinkConditions, Plan, RestartState};
use rockpick_replication::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

struct TestReplica {
    replica: Replica,
    parts: usize,
    me: usize,
    completed: Rc<RefCell<Vec<(usize, Ns)>>>,
}

struct TestActions<'a>(&'a mut Output, bool);

impl Actions for TestActions<'_> {
    fn send(&mut self, to: u64, bytes: &[u8]) {
        self.0.messages.push((to as usize - 1, bytes.to_vec()));
    }
    fn wake_at(&mut self, at: Ns) {
        self.0.timers.push(at);
    }
    fn notify(&mut self, notice: Notice) {
        self.1 |= notice == Notice::Complete(Table::Bindings);
    }
}

impl TestReplica {
    fn handle(&mut self, now: Ns, event: Event, out: &mut Output) {
        let mut actions = TestActions(out, false);
        self.replica.handle(now, event, &mut actions);
        if actions.1 {
            self.completed.borrow_mut().push((self.me, now));
        }
    }
}

impl SimulatedProcess for TestReplica {
    fn start(&mut self, now: Ns, out: &mut Output) {
        let present: Vec<Peer> = (0..self.parts)
            .filter(|i| *i != self.me)
            .map(|i| Peer { id: i as u64 + 1, same_zone: false })
            .collect();
        self.handle(now, Event::Peers(&present), out);
        self.handle(now, Event::Start, out);
    }
    fn receive(&mut self, now: Ns, from: usize, bytes: &[u8], out: &mut Output) {
        self.handle(now, Event::Message { from: from as u64 + 1, bytes }, out);
    }
    fn wake(&mut self, now: Ns, out: &mut Output) {
        self.handle(now, Event::Timer, out);
    }
    fn leave(&mut self, _: Ns, _: &mut Output) {}
}

fn measure(parts: usize, return_at_once: usize, keys: u64, lost: f64) {
    let kills = (0..return_at_once)
        .map(|who| PlannedFault {
            from: SEC,
            until: 2 * SEC,
            fault: Fault::Kill { who, back: RestartState::Empty },
        })
        .collect();
    let plan = Plan { seed: 3, parts, length: 400 * SEC, acts: kills };
    let mut world: Simulation<TestReplica> = Simulation::new(
        plan,
        LinkConditions { delay: MS / 10, jitter: MS / 10, lost, ..LinkConditions::default() },
    );
    let completed = Rc::new(RefCell::new(Vec::new()));
    let seen = completed.clone();
    let make = |me: usize, restarts: u32, _: RestartState| {
        let mut replica = Replica::new(
            me as u64 + 1 + u64::from(restarts) * 1_000,
            me as u64,
            if restarts == 0 { 1 } else { parts as u32 },
        );
        if restarts == 0 {
            for key in 0..keys {
                let (row, dot) = (Row::Bound([2, 0]), Dot { origin: 7, serial: key + 1 });
                replica.store_mut().merge(Key::Bound(key.wrapping_mul(0x9e37_79b9_7f4a_7c15)), row, dot);
            }
            replica.store_mut().advance_versions(&BTreeMap::from([(7, keys)]));
        }
        TestReplica { replica, parts, me, completed: completed.clone() }
    };
    let mut before = (0, 0);
    let sent =
        |world: &Simulation<TestReplica>| world.sent.iter().fold((0, 0), |s, (n, b)| (s.0 + n, s.1 + b));
    let began = std::time::Instant::now();
    let done = world.run(SEC, make, |world| {
        if world.now() <= 2 * SEC {
            before = sent(world);
        }
        let back = seen.borrow().iter().filter(|(who, at)| *who < return_at_once && *at > 0).count();
        if back >= 2 * return_at_once {
            Err("done".into())
        } else {
            Ok(())
        }
    });
    let after = sent(&world);
    let mut times: Vec<f64> =
        seen.borrow().iter().skip(parts).map(|(_, at)| *at as f64 / SEC as f64).collect();
    times.sort_by(f64::total_cmp);
    println!(
        "| {parts} | {return_at_once} | {keys} | {:.0}% | {} | {:.2} | {:.2} | {:.1} | {} | {:.1} |",
        lost * 100.0,
        times.len(),
        times.first().copied().unwrap_or(f64::NAN),
        times.last().copied().unwrap_or(f64::NAN),
        (after.1 - before.1) as f64 / 1e6 / return_at_once as f64,
        done.is_err(),
        began.elapsed().as_secs_f64()
    );
}

#[test]
#[ignore = "a measurement of minutes"]
fn measurements() {
    println!(
        "| fronts | return at once | bindings | loss | complete | first s | last s | MB each | all | real s |"
    );
    for (parts, back, keys, lost) in [
        (5, 1, 10_000, 0.0),
        (5, 1, 10_000, 0.1),
        (5, 1, 1_000_000, 0.0),
        (10, 5, 10_000, 0.0),
        (30, 15, 10_000, 0.0),
    ] {
        measure(parts, back, keys, lost);
    }
}
