//! Members in virtual time, under drawn storms; what each holds of the others at the end is judged by who runs.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_membership::*;
use rockpick_storm::plan::{Act as Deed, Range};
use rockpick_storm::virt::{Out, Part, World};
use rockpick_storm::{shrink, Fault, Plan, Return, Way};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const BASE: u16 = 10_000;

fn at(who: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], BASE + who as u16))
}

/// What is wrong with a part, on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Plant {
    None,
    /// Passes over what is said of itself.
    RefutesNot,
    /// Tells of gone ones that they are there, a turn later.
    Resurrects,
    /// Answers no ping.
    Deaf,
    /// Holds for gone for ever whom it once held for gone.
    KeepsGone,
    /// Divides a bound among those that seem to be there.
    CountsLiving,
    /// Tells of everyone that it suspects them, in the turn that they are in.
    Slanders,
}

struct Sitter {
    members: Members,
    plant: Plant,
    told: Vec<(Ns, Change)>,
}

struct Acts<'a> {
    out: &'a mut Out,
    told: &'a mut Vec<(Ns, Change)>,
    now: Ns,
    plant: Plant,
}

impl Act for Acts<'_> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        let mut bytes = bytes.to_vec();
        assert!(bytes.len() <= MOST_LETTER, "{} bytes", bytes.len());
        if matches!(self.plant, Plant::Resurrects | Plant::Slanders) {
            let mut letter = Letter::read(&bytes).expect("a letter of ours");
            for news in &mut letter.news {
                match self.plant {
                    Plant::Resurrects if news.record.status == Status::Gone => {
                        news.record.status = Status::Alive;
                        news.record.turn += 1;
                    }
                    Plant::Slanders if news.record.status == Status::Alive => {
                        news.record.status = Status::Gone;
                    }
                    _ => {}
                }
            }
            bytes = letter.write();
        }
        self.out.letters.push((usize::from(to.port() - BASE), bytes));
    }
    fn wake_at(&mut self, at: Ns) {
        self.out.wakes.push(at);
    }
    fn tell(&mut self, change: Change) {
        if self.told.len() < 10_000 {
            self.told.push((self.now, change));
        }
    }
}

impl Sitter {
    fn event(&mut self, now: Ns, event: Event, out: &mut Out) {
        let mut acts = Acts { out, told: &mut self.told, now, plant: self.plant };
        self.members.event(now, event, &mut acts);
    }
}

impl Part for Sitter {
    fn begin(&mut self, now: Ns, out: &mut Out) {
        self.event(now, Event::Begin, out);
    }
    fn letter(&mut self, now: Ns, from: usize, bytes: &[u8], out: &mut Out) {
        let mut bytes = bytes.to_vec();
        if let Some(mut letter) = Letter::read(&bytes) {
            let own = self.members.own().name;
            match self.plant {
                Plant::RefutesNot => letter.news.retain(|n| n.record.name != own),
                Plant::KeepsGone
                    if letter.news.iter().chain([&News { record: letter.from.clone(), by: 0 }]).any(
                        |n| {
                            self.members.record(&n.record.name).is_some_and(|r| r.status == Status::Gone)
                                && n.record.there()
                        },
                    ) =>
                {
                    return
                }
                Plant::Deaf if matches!(letter.word, Word::Ping { .. }) => return,
                _ => {}
            }
            bytes = letter.write();
        }
        self.event(now, Event::Letter { from: at(from), bytes: &bytes }, out);
    }
    fn woke(&mut self, now: Ns, out: &mut Out) {
        self.event(now, Event::Woke, out);
    }
    fn leave(&mut self, now: Ns, out: &mut Out) {
        self.event(now, Event::Leave, out);
    }
}

fn name(who: usize) -> String {
    format!("f{who}")
}

fn sitter(plan: &Plan, who: usize, life: u32, plant: Plant) -> Sitter {
    let mut chance = StdRng::seed_from_u64(plan.seed ^ (who as u64) << 32 ^ u64::from(life) << 16);
    let told = plan.parts as u32;
    let place = Place {
        name: name(who),
        at: at(who),
        life: chance.random(),
        seed: chance.random(),
        join: (0..plan.parts.min(3)).filter(|i| *i != who).map(at).collect(),
        told,
    };
    Sitter { members: Members::new(place, Pace::default()), plant, told: Vec::new() }
}

fn range(parts: usize) -> Range {
    // Longest suspicion of five: 30 s; then gone ones are asked for again.
    Range {
        acts: 8,
        parts,
        stormy: 40 * SEC,
        longest: 20 * SEC,
        settles: 150 * SEC,
        kills: true,
        clocks: true,
        disks: &[],
    }
}

/// Plays a plan; part 0 has the plant.
fn play(plan: &Plan, plant: Plant) -> Result<World<Sitter>, String> {
    let base = Way { delay: MS, jitter: 2 * MS, ..Way::default() };
    let mut world: World<Sitter> = World::new(plan.clone(), base);
    let mut seen: BTreeMap<(usize, u32, String), (u32, Status, u64)> = BTreeMap::new();
    let make =
        |who: usize, life, _: Return| sitter(plan, who, life, if who == 0 { plant } else { Plant::None });
    world.play(SEC, make, |world| {
        for who in 0..world.parts() {
            let (life, ..) = world.seat(who);
            let Some(part) = world.part(who) else { continue };
            let living = part.plant == Plant::CountsLiving;
            let counted = if living { part.members.there() as u32 } else { part.members.at_least() };
            if counted < plan.parts as u32 && world.now() > 3 * SEC {
                return Err(format!("{who} counts {counted} fronts, the settings {}", plan.parts));
            }
            // A record never goes back to one that it has overridden.
            for record in part.members.others() {
                let rank = (record.turn, record.status, record.life);
                let was = seen.insert((who, life, record.name.clone()), rank);
                if was.is_some_and(|was| was > rank) {
                    return Err(format!("{who} went back on {record:?} from {was:?}"));
                }
            }
        }
        Ok(())
    })?;
    settled(&world)?;
    Ok(world)
}

/// At the end: all that run hold each other for there, in their present lives, and nobody else.
fn settled(world: &World<Sitter>) -> Result<(), String> {
    let running: Vec<usize> = (0..world.parts()).filter(|w| world.seat(*w).2).collect();
    for me in &running {
        let members = &world.part(*me).expect("running").members;
        for who in (0..world.parts()).filter(|w| w != me) {
            let record = members.record(&name(who));
            let life = world.part(who).map(|p| p.members.own().life);
            match (running.contains(&who), record) {
                (true, Some(r)) if r.status == Status::Alive && Some(r.life) == life => {}
                (false, Some(r)) if !r.there() => {}
                (false, None) => {}
                (there, record) => {
                    let held = |m: &usize| {
                        let row = |r: &Record| format!("{} {:?} turn {}", r.name, r.status, r.turn);
                        let members = &world.part(*m).expect("running").members;
                        let all: Vec<String> = members.others().map(row).collect();
                        format!("\n  {m}: {}, troubles {}", all.join(", "), members.troubles())
                    };
                    let held: String = running.iter().map(held).collect();
                    return Err(format!("{me} holds of {who} (there: {there}): {record:?}{held}"));
                }
            }
        }
    }
    Ok(())
}

#[test]
fn all_that_run_know_each_other_after_a_storm() {
    let told = |name: &str, or: u64| std::env::var(name).map_or(or, |n| n.parse().expect("a number"));
    let (first, seeds) = (told("FIRST", 0), told("STORMS", 150));
    let mut events = 0;
    for seed in first..first + seeds {
        let parts = 3 + seed as usize % 5;
        let plan = Plan::draw(seed, range(parts));
        match play(&plan, Plant::None) {
            Ok(world) => events += world.events,
            Err(why) => {
                let less = shrink(&plan, 200, |plan| play(plan, Plant::None).is_err());
                panic!(
                    "seed {seed}: {why}\n{}{}",
                    less.write(),
                    play(&less, Plant::None).err().unwrap_or_default()
                );
            }
        }
    }
    println!("{seeds} storms, {events} events");
}

/// Each wrong thing on purpose is found within a few storms.
#[test]
fn what_is_wrong_on_purpose_is_found() {
    for plant in [
        Plant::RefutesNot,
        Plant::Resurrects,
        Plant::Deaf,
        Plant::KeepsGone,
        Plant::CountsLiving,
        Plant::Slanders,
    ] {
        let found = (0..60).find(|seed| {
            let mut plan = Plan::draw(*seed, range(5));
            // One that never returns, for what is told of it afterwards.
            plan.acts.push(Deed {
                from: SEC,
                until: 2 * SEC,
                fault: Fault::Kill { who: 4, back: Return::Never },
            });
            play(&plan, plant).is_err()
        });
        assert!(found.is_some(), "{plant:?} was not found");
        println!("{plant:?}: found by storm {found:?}");
    }
}

fn plan(parts: usize, length: Ns, faults: &[(Ns, Ns, Fault)]) -> Plan {
    Plan::of(5, parts, length, faults)
}

fn cut(from: &[usize], to: &[usize]) -> Fault {
    Fault::Links { from: from.to_vec(), to: to.to_vec(), way: Way { cut: true, ..Way::default() } }
}

fn changes(world: &World<Sitter>, me: usize, who: usize) -> Vec<String> {
    let told = world.part(me).expect("running").told.iter();
    let of = |record: &Record, what: &str| (record.name == name(who)).then(|| what.to_string());
    told.filter_map(|(_, change)| match change {
        Change::There(r) => of(r, "there"),
        Change::Suspected(r) => of(r, "suspected"),
        Change::Gone(r) => of(r, "gone"),
        Change::Left(r) => of(r, "left"),
        Change::NameTaken(_) => None,
    })
    .collect()
}

#[test]
fn a_one_way_cut_between_two_of_five_takes_nobody_out() {
    let world = play(&plan(5, 120 * SEC, &[(5 * SEC, 65 * SEC, cut(&[0], &[1]))]), Plant::None).unwrap();
    for (me, who) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        assert!(!changes(&world, me, who).contains(&"gone".to_string()), "{me} of {who}");
    }
}

/// It must not hold the others for gone by the time that it slept through, and it refutes what was said of it.
#[test]
fn one_stopped_for_twenty_seconds_wakes_to_a_backlog_and_judges_nobody() {
    let world =
        play(&plan(5, 160 * SEC, &[(5 * SEC, 25 * SEC, Fault::Stop { who: 2 })]), Plant::None).unwrap();
    for who in [0, 1, 3, 4] {
        assert!(!changes(&world, 2, who).contains(&"gone".to_string()), "{:?}", changes(&world, 2, who));
        assert_eq!(changes(&world, who, 2).last().unwrap(), "there");
    }
}

/// A probe fails with all three helpers in some of ten thousand, and a suspicion must then be refuted through the same
/// loss: in 13 of 200 such minutes somebody is held for gone, wrongly and for a while; all agree at the end of each.
#[test]
fn a_minute_of_thirty_percent_loss_takes_out_hardly_anybody() {
    let way = Way { lost: 0.3, ..Way::default() };
    let loss = Fault::Links { from: vec![], to: vec![], way };
    let minutes = (0..200).filter(|seed| {
        let plan = Plan { seed: *seed, ..plan(5, 180 * SEC, &[(5 * SEC, 65 * SEC, loss.clone())]) };
        let world = play(&plan, Plant::None).unwrap();
        let mut pairs = (0..5).flat_map(|a| (0..5).filter(move |b| *b != a).map(move |b| (a, b)));
        pairs.any(|(a, b)| changes(&world, a, b).contains(&"gone".to_string()))
    });
    let minutes = minutes.count();
    println!("{minutes} of 200");
    assert!(minutes <= 20, "{minutes}");
}

#[test]
fn leaving_is_told_and_a_return_is_a_new_life() {
    let world =
        play(&plan(5, 120 * SEC, &[(5 * SEC, 20 * SEC, Fault::Leave { who: 3 })]), Plant::None).unwrap();
    for me in [0, 1, 2, 4] {
        assert_eq!(changes(&world, me, 3), ["there", "left", "there"], "{me}");
    }
}

#[test]
fn all_restarted_within_a_second_find_each_other() {
    let kills: Vec<_> = (0..5)
        .map(|who| (20 * SEC + who as Ns * 200 * MS, 21 * SEC, Fault::Kill { who, back: Return::Empty }))
        .collect();
    play(&plan(5, 150 * SEC, &kills), Plant::None).unwrap();
}

#[test]
fn a_name_taken_by_two_living_processes_stays_with_one() {
    // Two parts of one name: the world has four parts, 3 calls itself f2.
    let plan = plan(4, 200 * SEC, &[]);
    let base = Way { delay: MS, ..Way::default() };
    let mut world: World<Sitter> = World::new(plan.clone(), base);
    let make = |who: usize, life, _: Return| {
        let mut sitter = sitter(&plan, who, life, Plant::None);
        if who == 3 {
            let join = vec![at(0)];
            let place = Place { name: name(2), at: at(3), life: 77, seed: 9, join, told: 4 };
            sitter.members = Members::new(place, Pace::default());
        }
        sitter
    };
    world.play(SEC, make, |_| Ok(())).unwrap();
    let taken = |who: usize| {
        world.part(who).unwrap().told.iter().filter(|(_, c)| matches!(c, Change::NameTaken(_))).count()
    };
    assert_eq!(
        (taken(2), taken(3)),
        if world.part(2).unwrap().members.own().life > 77 { (0, 1) } else { (1, 0) }
    );
    let kept = world.part(0).unwrap().members.record("f2").unwrap();
    assert_eq!((kept.status, kept.at), (Status::Alive, if taken(2) == 0 { at(2) } else { at(3) }));
}

/// Datagrams that make no sense, or speak in another's name, are counted and change nothing.
#[test]
fn nonsense_changes_nothing() {
    let plan = plan(3, 30 * SEC, &[]);
    let mut sitter = sitter(&plan, 0, 0, Plant::None);
    let mut out = Out::default();
    sitter.begin(0, &mut out);
    let mut chance = StdRng::seed_from_u64(1);
    let good = out.letters[0].1.clone();
    for _ in 0..20_000 {
        let mut bytes = good.clone();
        match chance.random_range(0..3) {
            0 => bytes.truncate(chance.random_range(0..bytes.len())),
            1 => bytes = (0..chance.random_range(0..1_300)).map(|_| chance.random()).collect(),
            _ => bytes.push(0),
        }
        sitter.event(SEC, Event::Letter { from: at(1), bytes: &bytes }, &mut out);
    }
    assert!(sitter.members.odd > 15_000);
    assert!(sitter.members.others().count() == 0);
}

/// Found by storm 7,378 of 100,000, shrunk: two that left returned while each knew the other alone; the rest held both
/// for left, and asked them no more.
#[test]
fn two_circles_side_by_side_find_each_other() {
    let text = r#"{"seed":7378,"parts":6,"length":197130409786}
{"from":6305668696,"until":20958838275,"fault":{"stop":{"who":4}}}
{"from":16530332089,"until":30018480732,"fault":{"links":{"from":[0,3,4],"to":[1,2,5],"way":{"lost":0.0,"doubled":0.0,"overtaken":0.0,"flipped":0.0,"delay":0,"jitter":0,"cut":true,"stalled":false,"reset":false,"narrow":0}}}}
{"from":17333283404,"until":28411485852,"fault":{"leave":{"who":0}}}
{"from":24738352861,"until":32289058711,"fault":{"leave":{"who":2}}}
{"from":28214000265,"until":47130409786,"fault":{"links":{"from":[3,5],"to":[0],"way":{"lost":0.0,"doubled":0.0,"overtaken":0.0,"flipped":0.0,"delay":0,"jitter":0,"cut":true,"stalled":false,"reset":false,"narrow":0}}}}
{"from":31656234141,"until":43739710321,"fault":{"links":{"from":[1],"to":[0,1,2,4,5],"way":{"lost":0.0,"doubled":0.0,"overtaken":0.0,"flipped":0.0,"delay":0,"jitter":0,"cut":false,"stalled":true,"reset":false,"narrow":0}}}}"#;
    play(&Plan::read(text).unwrap(), Plant::None).unwrap();
}
