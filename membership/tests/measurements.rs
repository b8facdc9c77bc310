//! Measures cost and speed of the membership protocol at several group sizes in virtual time; prints the results and asserts
//! nothing. Run with `cargo test --release -p rockpick-membership --test measurements -- --ignored --nocapture`.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_fault_injection::plan::PlannedFault;
use rockpick_fault_injection::simulation::{Output, SimulatedProcess, Simulation};
use rockpick_fault_injection::{Fault, LinkConditions, Plan, RestartState};
use rockpick_membership::*;
use std::net::SocketAddr;

fn at(who: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + who as u16))
}

struct TestMember {
    membership: Membership,
    changes: Vec<(Ns, Change)>,
}

struct TestActions<'a>(&'a mut Output, &'a mut Vec<(Ns, Change)>, Ns);

impl Actions for TestActions<'_> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.0.messages.push((usize::from(to.port()) - 10_000, bytes.to_vec()));
    }
    fn wake_at(&mut self, at: Ns) {
        self.0.timers.push(at);
    }
    fn notify(&mut self, change: Change) {
        if !matches!(change, Change::Present(_)) {
            self.1.push((self.2, change));
        }
    }
}

impl SimulatedProcess for TestMember {
    fn start(&mut self, now: Ns, out: &mut Output) {
        self.membership.handle(now, Event::Start, &mut TestActions(out, &mut self.changes, now));
    }
    fn receive(&mut self, now: Ns, from: usize, bytes: &[u8], out: &mut Output) {
        self.membership.handle(
            now,
            Event::Datagram { from: at(from), bytes },
            &mut TestActions(out, &mut self.changes, now),
        );
    }
    fn wake(&mut self, now: Ns, out: &mut Output) {
        self.membership.handle(now, Event::Timer, &mut TestActions(out, &mut self.changes, now));
    }
    fn leave(&mut self, _: Ns, _: &mut Output) {}
}

fn measure(parts: usize, lost: f64, seconds: Ns) {
    // All members know each other at the start; one is killed after a third of the time.
    let dies = seconds / 3 * SEC;
    let kill = PlannedFault {
        from: dies,
        until: seconds * SEC,
        fault: Fault::Kill { who: parts - 1, back: RestartState::Never },
    };
    let plan = Plan { seed: 7, parts, length: seconds * SEC, acts: vec![kill] };
    let base = LinkConditions { delay: MS, jitter: MS, lost, ..LinkConditions::default() };
    let mut world: Simulation<TestMember> = Simulation::new(plan, base);
    let all: Vec<Update> = (0..parts)
        .map(|i| Update {
            record: Record {
                name: format!("f{i}"),
                address: at(i),
                instance: 1,
                incarnation: 0,
                status: Status::Alive,
            },
            reporter: 0,
        })
        .collect();
    let make = |who: usize, _, _: RestartState| {
        let mut rng = StdRng::seed_from_u64(who as u64);
        let config = Config {
            name: format!("f{who}"),
            address: at(who),
            instance: 1,
            seed: rng.random(),
            join: vec![],
            expected_fronts: parts as u32,
        };
        let mut member = TestMember {
            membership: Membership::new(config, Timing { sync_interval: 3_600 * SEC, ..Timing::default() }),
            changes: vec![],
        };
        member.membership.preload(&all);
        member
    };
    let began = std::time::Instant::now();
    let mut sent = (0u64, 0u64);
    let mut from = (0u64, 0u64);
    world
        .run(SEC, make, |world| {
            let sum = world.sent.iter().fold((0, 0), |s, (n, b)| (s.0 + n, s.1 + b));
            if world.now() == dies {
                sent = sum;
            }
            if world.now() == 10 * SEC {
                from = sum;
            }
            Ok(())
        })
        .unwrap();
    let (name, last) = (format!("f{}", parts - 1), parts - 1);
    let span = (dies / SEC - 10) as f64 * parts as f64;
    let mut found: Vec<f64> = Vec::new();
    let (mut false_suspicions, mut gone) = (0, 0);
    for who in 0..last {
        let changes = &world.process(who).unwrap().changes;
        let when =
            changes.iter().find(|(at, c)| *at > dies && matches!(c, Change::Gone(r) if r.name == name));
        found.extend(when.map(|(at, _)| (*at - dies) as f64 / SEC as f64));
        let others = |c: &Change, gone: bool| match c {
            Change::Suspected(r) => !gone && r.name != name,
            Change::Gone(r) => gone && r.name != name,
            _ => false,
        };
        false_suspicions += changes.iter().filter(|(_, c)| others(c, false)).count();
        gone += changes.iter().filter(|(_, c)| others(c, true)).count();
    }
    found.sort_by(f64::total_cmp);
    let share =
        |p: f64| found.get(((found.len().max(1) - 1) as f64 * p) as usize).copied().unwrap_or(f64::NAN);
    let hours = seconds as f64 / 3_600.0;
    println!(
        "| {parts} | {:.0}% | {:.1} | {:.0} | {:.1} | {:.1} | {}/{last} | {:.1} | {:.2} | {:.1} |",
        lost * 100.0,
        (sent.0 - from.0) as f64 / span,
        (sent.1 - from.1) as f64 / span,
        share(0.5),
        share(0.99),
        found.len(),
        false_suspicions as f64 / parts as f64 / hours,
        gone as f64 / parts as f64 / hours,
        began.elapsed().as_secs_f64()
    );
}

#[test]
#[ignore = "a measurement of minutes"]
fn measurements() {
    println!("| members | loss | messages a second | bytes a second | found p50 s | p99 s | found by | suspicions heard an hour | gone wrongly an hour | real s |");
    let max_parts: usize = std::env::var("MOST").map_or(1_000, |n| n.parse().expect("a number"));
    let min_parts: usize = std::env::var("LEAST").map_or(0, |n| n.parse().expect("a number"));
    let losses: &[f64] = if std::env::var("LOSSLESS").is_ok() { &[0.0] } else { &[0.0, 0.1, 0.3] };
    for parts in [10, 100, 300, 1_000, 5_000].into_iter().filter(|n| (min_parts..=max_parts).contains(n)) {
        let seconds = if parts <= 300 { 600 } else { 180 };
        for lost in losses {
            measure(parts, *lost, seconds);
        }
    }
}
