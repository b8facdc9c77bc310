//! What membership costs and how fast it is, at several sizes, in virtual time: printed, not judged. By hand:
//! `cargo test --release -p rockpick-membership --test figures -- --ignored --nocapture`.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_membership::*;
use rockpick_storm::plan::Act as Deed;
use rockpick_storm::virt::{Out, Part, World};
use rockpick_storm::{Fault, Plan, Return, Way};
use std::net::SocketAddr;

fn at(who: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + who as u16))
}

struct Seat {
    members: Members,
    told: Vec<(Ns, Change)>,
}

struct Acts<'a>(&'a mut Out, &'a mut Vec<(Ns, Change)>, Ns);

impl Act for Acts<'_> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.0.letters.push((usize::from(to.port()) - 10_000, bytes.to_vec()));
    }
    fn wake_at(&mut self, at: Ns) {
        self.0.wakes.push(at);
    }
    fn tell(&mut self, change: Change) {
        if !matches!(change, Change::There(_)) {
            self.1.push((self.2, change));
        }
    }
}

impl Part for Seat {
    fn begin(&mut self, now: Ns, out: &mut Out) {
        self.members.event(now, Event::Begin, &mut Acts(out, &mut self.told, now));
    }
    fn letter(&mut self, now: Ns, from: usize, bytes: &[u8], out: &mut Out) {
        self.members.event(now, Event::Letter { from: at(from), bytes }, &mut Acts(out, &mut self.told, now));
    }
    fn woke(&mut self, now: Ns, out: &mut Out) {
        self.members.event(now, Event::Woke, &mut Acts(out, &mut self.told, now));
    }
    fn leave(&mut self, _: Ns, _: &mut Out) {}
}

fn row(parts: usize, lost: f64, seconds: Ns) {
    // All know each other at the beginning; one dies a third through.
    let dies = seconds / 3 * SEC;
    let kill =
        Deed { from: dies, until: seconds * SEC, fault: Fault::Kill { who: parts - 1, back: Return::Never } };
    let plan = Plan { seed: 7, parts, length: seconds * SEC, acts: vec![kill] };
    let base = Way { delay: MS, jitter: MS, lost, ..Way::default() };
    let mut world: World<Seat> = World::new(plan, base);
    let all: Vec<News> = (0..parts)
        .map(|i| News {
            record: Record { name: format!("f{i}"), at: at(i), life: 1, turn: 0, status: Status::Alive },
            by: 0,
        })
        .collect();
    let make = |who: usize, _, _: Return| {
        let mut chance = StdRng::seed_from_u64(who as u64);
        let place = Place {
            name: format!("f{who}"),
            at: at(who),
            life: 1,
            seed: chance.random(),
            join: vec![],
            told: parts as u32,
        };
        let mut seat = Seat {
            members: Members::new(place, Pace { exchange: 3_600 * SEC, ..Pace::default() }),
            told: vec![],
        };
        seat.members.know(&all);
        seat
    };
    let began = std::time::Instant::now();
    let mut sent = (0u64, 0u64);
    let mut from = (0u64, 0u64);
    world
        .play(SEC, make, |world| {
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
    let (mut false_ones, mut gone) = (0, 0);
    for who in 0..last {
        let told = &world.part(who).unwrap().told;
        let when = told.iter().find(|(at, c)| *at > dies && matches!(c, Change::Gone(r) if r.name == name));
        found.extend(when.map(|(at, _)| (*at - dies) as f64 / SEC as f64));
        let others = |c: &Change, gone: bool| match c {
            Change::Suspected(r) => !gone && r.name != name,
            Change::Gone(r) => gone && r.name != name,
            _ => false,
        };
        false_ones += told.iter().filter(|(_, c)| others(c, false)).count();
        gone += told.iter().filter(|(_, c)| others(c, true)).count();
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
        false_ones as f64 / parts as f64 / hours,
        gone as f64 / parts as f64 / hours,
        began.elapsed().as_secs_f64()
    );
}

#[test]
#[ignore = "a measurement of minutes"]
fn figures() {
    println!("| members | loss | letters a second | bytes a second | found p50 s | p99 s | found by | suspicions heard an hour | gone wrongly an hour | real s |");
    let most: usize = std::env::var("MOST").map_or(1_000, |n| n.parse().expect("a number"));
    let least: usize = std::env::var("LEAST").map_or(0, |n| n.parse().expect("a number"));
    let losses: &[f64] = if std::env::var("LOSSLESS").is_ok() { &[0.0] } else { &[0.0, 0.1, 0.3] };
    for parts in [10, 100, 300, 1_000, 5_000].into_iter().filter(|n| (least..=most).contains(n)) {
        let seconds = if parts <= 300 { 600 } else { 180 };
        for lost in losses {
            row(parts, *lost, seconds);
        }
    }
}
