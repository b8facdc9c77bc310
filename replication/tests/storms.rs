//! Copies in virtual time, under drawn storms, with changes made all the while; judged by what each part itself was
//! asked to note down, kept outside of it.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_replication::*;
use rockpick_storm::plan::{Act as Deed, Range};
use rockpick_storm::virt::{Out, Part, World};
use rockpick_storm::{shrink, Fault, Plan, Return, Way};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What is wrong with part 0, on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Plant {
    None,
    /// A build's row that comes later counts, withdrawn or not.
    LastWriter,
    /// Goes on with the counts' origin of its former life.
    LifeGoesOn,
    /// A chunk's counts are added to those that are there.
    ChunkTwice,
    /// Versions are taken as here, their rows are not, and digests are passed over.
    VersionsAlone,
    /// Says that it is whole as it begins.
    WholeAtOnce,
    /// Keeps the older of two bindings.
    OldestBinding,
}

/// What was noted down, by life; and what all agree on.
#[derive(Default)]
struct Truth {
    /// By life: bindings, and its own counts by build.
    bound: BTreeMap<u64, BTreeMap<u64, u32>>,
    seen: BTreeMap<u64, BTreeMap<u32, (u64, u64)>>,
    /// Builds withdrawn, and when; each front hears of it from the desk sooner or later.
    withdrawn: BTreeMap<u32, Ns>,
    told: BTreeMap<u64, Vec<Fact>>,
}

struct Sitter {
    copies: Copies,
    life: u64,
    plant: Plant,
    parts: usize,
    me: usize,
    chance: StdRng,
    truth: Rc<RefCell<Truth>>,
    /// Makes no more changes after this, by its own clock.
    until: Ns,
    next: Ns,
    busy: bool,
}

struct Acts<'a> {
    out: &'a mut Out,
    told: Vec<Fact>,
}

impl Act for Acts<'_> {
    fn send(&mut self, to: u64, bytes: &[u8]) {
        assert!(bytes.len() <= MOST_LETTER, "{} bytes", bytes.len());
        self.out.letters.push((to as usize - 1, bytes.to_vec()));
    }
    fn wake_at(&mut self, at: Ns) {
        self.out.wakes.push(at);
    }
    fn tell(&mut self, fact: Fact) {
        self.told.push(fact);
    }
}

const KEYS: u64 = 40;
const BUILDS: u32 = 5;

impl Sitter {
    fn event(&mut self, now: Ns, event: Event, out: &mut Out) {
        let mut acts = Acts { out, told: Vec::new() };
        self.copies.event(now, event, &mut acts);
        let told = acts.told;
        self.truth.borrow_mut().told.entry(self.life).or_default().extend(told);
    }

    /// One change of this front's own, as its traffic would bring.
    fn works(&mut self) {
        let (key, build) = (self.chance.random_range(0..KEYS), self.chance.random_range(1..=BUILDS));
        let mut truth = self.truth.borrow_mut();
        match self.chance.random_range(0..10) {
            0..=4 => {
                let bound = truth.bound.entry(self.life).or_default().entry(key).or_default();
                *bound = build.max(*bound);
                self.copies.change(Key::Bound(key), Row::Bound([build, 0]));
            }
            5..=7 => {
                let seen = truth.seen.entry(self.life).or_default().entry(build).or_default();
                *seen = (seen.0 + 1, seen.1 + u64::from(key % 7 == 0));
                let count = Count { serial: seen.0, all: seen.0, bad: seen.1 };
                self.copies.change(Key::Seen { origin: self.life, build, method: 0 }, Row::Count(count));
            }
            8 => {
                let withdrawn = build == 3 && truth.withdrawn.is_empty();
                if withdrawn {
                    truth.withdrawn.entry(build).or_insert(0);
                }
                let serial = self.chance.random_range(0..50);
                let told =
                    Build { withdrawn, term: 1, serial, phase: Phase::OnTrial, stage: (serial % 3) as u32 };
                self.copies.change(Key::Build(build), Row::Build(told));
            }
            _ => {
                let run = self.chance.random_range(0..3);
                let state = [State::Up, State::Draining, State::Gone][self.chance.random_range(0..3)];
                let row = Row::Machine(Machine { run, state, failing: false });
                self.copies.change(Key::Machine(key % 10), row);
            }
        }
    }
}

impl Part for Sitter {
    fn begin(&mut self, now: Ns, out: &mut Out) {
        let there: Vec<Near> = (0..self.parts)
            .filter(|i| *i != self.me)
            .map(|i| Near { id: i as u64 + 1, near: i % 2 == self.me % 2 })
            .collect();
        self.event(now, Event::Peers(&there), out);
        self.event(now, Event::Begin, out);
        self.next = now;
        out.wakes.push(now + 1);
    }

    fn letter(&mut self, now: Ns, from: usize, bytes: &[u8], out: &mut Out) {
        let mut bytes = bytes.to_vec();
        if let (Some(mut word), true) = (Word::read(&bytes), self.plant != Plant::None) {
            match (&mut word, self.plant) {
                (
                    Word::Delta { rows, .. } | Word::Range { rows } | Word::Chunk { rows, .. },
                    Plant::LastWriter,
                ) => {
                    for (key, row, _) in rows.iter().filter(|(k, ..)| k.table() == Table::Builds) {
                        self.copies.shelf_mut().spoil(key, *row);
                    }
                }
                (Word::Chunk { rows, .. } | Word::Delta { rows, .. }, Plant::ChunkTwice) => {
                    for (key, row, _) in rows.iter() {
                        if let (Row::Count(theirs), Some(Row::Count(ours))) =
                            (row, self.copies.shelf().get(key).copied())
                        {
                            let all = ours.all + theirs.all;
                            let sum = Count { serial: ours.serial + 1, all, bad: ours.bad + theirs.bad };
                            self.copies.shelf_mut().spoil(key, Row::Count(sum));
                        }
                    }
                }
                (Word::Delta { rows, .. }, Plant::VersionsAlone) => rows.clear(),
                (Word::Digests { .. } | Word::Range { .. }, Plant::VersionsAlone) => return,
                (
                    Word::Delta { rows, .. } | Word::Range { rows } | Word::Chunk { rows, .. },
                    Plant::OldestBinding,
                ) => {
                    for (key, row, _) in rows.iter_mut() {
                        if let (Row::Bound(theirs), Some(Row::Bound(ours))) =
                            (&mut *row, self.copies.shelf().get(key))
                        {
                            *theirs = if theirs[0] > ours[0] { *ours } else { *theirs };
                        }
                    }
                }
                _ => {}
            }
            bytes = word.write();
        }
        self.event(now, Event::Letter { from: from as u64 + 1, bytes: &bytes }, out);
    }

    fn woke(&mut self, now: Ns, out: &mut Out) {
        if self.busy && now >= self.next && now < self.until {
            self.works();
            self.next = now + 50 * MS;
            out.wakes.push(self.next);
        }
        self.event(now, Event::Woke, out);
    }

    fn leave(&mut self, _: Ns, _: &mut Out) {}
}

fn range(parts: usize) -> Range {
    Range {
        acts: 6,
        parts,
        stormy: 15 * SEC,
        longest: 8 * SEC,
        settles: 60 * SEC,
        kills: true,
        clocks: true,
        disks: &[],
    }
}

type Rows = Vec<(Key, Row, Dot)>;

struct Played {
    truth: Rc<RefCell<Truth>>,
    world: World<Sitter>,
    /// From the last change, all faults over, until all tables were equal.
    equal: Option<Ns>,
}

fn play_with(
    plan: &Plan, plant: Plant, mut look: impl FnMut(&World<Sitter>, &Truth) -> Result<(), String>,
) -> Result<Played, String> {
    let truth = Rc::new(RefCell::new(Truth::default()));
    let base = Way { delay: MS, jitter: 2 * MS, ..Way::default() };
    let mut world: World<Sitter> = World::new(plan.clone(), base);
    let stormy = plan.length - 50 * SEC;
    // Folders of some time before, by part.
    let folders: Rc<RefCell<BTreeMap<usize, Rows>>> = Rc::default();
    let (t, f) = (truth.clone(), folders.clone());
    let make = move |me: usize, number: u32, back: Return| {
        let mut chance = StdRng::seed_from_u64(plan.seed << 8 ^ me as u64 ^ u64::from(number) << 32);
        let plant = if me == 0 { plant } else { Plant::None };
        let life = if plant == Plant::LifeGoesOn { 77 } else { chance.random::<u64>() >> 1 };
        let told = if plant == Plant::WholeAtOnce { 1 } else { plan.parts as u32 };
        let mut copies = Copies::new(life, chance.random(), told);
        if back == Return::Former {
            for (key, row, dot) in f.borrow().get(&me).into_iter().flatten() {
                copies.recall(*key, *row, *dot);
            }
        }
        if plant == Plant::LifeGoesOn {
            t.borrow_mut().seen.remove(&life);
        }
        let (until, truth) = (stormy, t.clone());
        Sitter { copies, life, plant, parts: plan.parts, me, chance, truth, until, next: 0, busy: true }
    };
    let seen = truth.clone();
    world.play(50 * MS, make, |world| {
        if (world.now() / SEC) % 7 == 3 && world.now() % SEC == 0 {
            for who in 0..world.parts() {
                if let Some(part) = world.part(who) {
                    let tables = TABLES.into_iter().flat_map(|t| part.copies.shelf().from(Key::least(t)));
                    folders.borrow_mut().insert(who, tables.map(|(k, r, d)| (*k, *r, *d)).collect());
                }
            }
        }
        look(world, &seen.borrow())
    })?;
    let played = Played { truth, world, equal: None };
    judge(&played)?;
    Ok(played)
}

/// At the end all that run have the same tables, and those say what was noted down.
fn judge(played: &Played) -> Result<(), String> {
    let (world, truth) = (&played.world, played.truth.borrow());
    let running: Vec<&Sitter> =
        (0..world.parts()).filter(|w| world.seat(*w).2).filter_map(|w| world.part(w)).collect();
    let Some(first) = running.first() else { return Ok(()) };
    for part in &running {
        for table in TABLES {
            if part.copies.shelf().whole(table) != first.copies.shelf().whole(table) {
                return Err(format!("{} and {} differ in {table:?}", first.me, part.me));
            }
        }
        // What a front that runs has noted down is not lost, nor made more of.
        for (key, build) in truth.bound.get(&part.life).into_iter().flatten() {
            match first.copies.shelf().get(&Key::Bound(*key)) {
                Some(Row::Bound(b)) if b[0] >= *build => {}
                row => return Err(format!("{key} was bound to {build} at {}, all hold {row:?}", part.me)),
            }
        }
        for (build, (all, bad)) in truth.seen.get(&part.life).into_iter().flatten() {
            let row = first.copies.shelf().get(&Key::Seen { origin: part.life, build: *build, method: 0 });
            match row {
                Some(Row::Count(c)) if (c.all, c.bad) == (*all, *bad) => {}
                row => return Err(format!("{} counted {all}, {bad} of {build}; all hold {row:?}", part.me)),
            }
        }
        if !part.copies.is_whole(Table::Bindings) && running.len() == world.parts() {
            return Err(format!("{} is not whole", part.me));
        }
    }
    // Nobody holds more than an origin counted, nor a binding that nobody made.
    for (key, row) in first.copies.shelf().table(Table::Evidence) {
        let (Key::Seen { origin, build, .. }, Row::Count(c)) = (key, row) else { continue };
        let most = truth.seen.get(origin).and_then(|s| s.get(build)).copied().unwrap_or((0, 0));
        if c.all > most.0 || c.bad > most.1 {
            return Err(format!("{origin:x} counted {most:?} of {build}, all hold {c:?}"));
        }
    }
    for (key, row) in first.copies.shelf().table(Table::Bindings) {
        let (Key::Bound(key), Row::Bound(b)) = (key, row) else { continue };
        let made = truth.bound.values().filter_map(|m| m.get(key)).max().copied().unwrap_or(0);
        if b[0] > made {
            return Err(format!("{key} was bound to {made} at most, all hold {b:?}"));
        }
    }
    Ok(())
}

/// A build that a front has held for withdrawn is never less to it, in one life.
fn never_back(world: &World<Sitter>, was: &mut BTreeMap<(u64, u32), bool>) -> Result<(), String> {
    for part in (0..world.parts()).filter_map(|w| world.part(w)) {
        for build in 1..=BUILDS {
            let now = part.copies.withdrawn(build);
            if was.insert((part.life, build), now) == Some(true) && !now {
                return Err(format!("{} holds {build} for good again", part.me));
            }
        }
    }
    Ok(())
}

fn checked(plan: &Plan, plant: Plant) -> Result<Played, String> {
    let mut was = BTreeMap::new();
    // One that says it is whole has every binding that others have had for long.
    let (mut quiet, mut equal) = (None, None);
    let played = play_with(plan, plant, |world, _| {
        never_back(world, &mut was)?;
        // Each life makes changes up to a time of its own clock.
        let done = |w: usize| world.part(w).is_none_or(|p| world.seat(w).1 >= p.until);
        if world.now() >= plan.length - 50 * SEC && quiet.is_none() && (0..world.parts()).all(done) {
            quiet = Some(world.now());
        }
        if let (Some(quiet), None) = (quiet, equal) {
            let wholes = |part: &Sitter| TABLES.map(|table| part.copies.shelf().whole(table));
            let all: Vec<_> = (0..world.parts()).filter_map(|w| world.part(w)).map(wholes).collect();
            equal = all.iter().all(|w| *w == all[0]).then(|| world.now() - quiet);
        }
        let parts: Vec<&Sitter> = (0..world.parts()).filter_map(|w| world.part(w)).collect();
        for part in &parts {
            let (life, own, _) = world.seat(part.me);
            let fresh = life > 1 && own < 200 * MS && part.copies.is_whole(Table::Bindings);
            let empty = part.copies.shelf().len(Table::Bindings) == 0;
            if fresh && empty && parts.iter().any(|p| p.copies.shelf().len(Table::Bindings) > 10) {
                return Err(format!("{} says that it is whole, and has nothing", part.me));
            }
        }
        Ok(())
    })?;
    Ok(Played { equal, ..played })
}

#[test]
fn copies_are_equal_after_a_storm_and_say_what_was_noted_down() {
    let told = |name: &str, or: u64| std::env::var(name).map_or(or, |n| n.parse().expect("a number"));
    let (first, seeds) = (told("FIRST", 0), told("STORMS", 60));
    let mut equal: Vec<Ns> = Vec::new();
    for seed in first..first + seeds {
        let plan = Plan::draw(seed, range(2 + seed as usize % 5));
        match checked(&plan, Plant::None) {
            Ok(played) => equal.extend(played.equal),
            Err(why) => {
                let less = shrink(&plan, 200, |plan| checked(plan, Plant::None).is_err());
                panic!("seed {seed}: {why}\n{}{:?}", less.write(), checked(&less, Plant::None).err());
            }
        }
    }
    equal.sort_unstable();
    let at = |share: f64| equal[((equal.len() - 1) as f64 * share) as usize] / MS;
    println!("{seeds} storms; equal {} ms (p50), {} ms (p99) after the last change", at(0.5), at(0.99));
}

#[test]
fn what_is_wrong_on_purpose_is_found() {
    for plant in [
        Plant::LastWriter,
        Plant::LifeGoesOn,
        Plant::ChunkTwice,
        Plant::VersionsAlone,
        Plant::WholeAtOnce,
        Plant::OldestBinding,
    ] {
        let found = (0..40).find(|seed| {
            let mut plan = Plan::draw(*seed, range(4));
            let kill = Fault::Kill { who: 0, back: Return::Empty };
            plan.acts.push(Deed { from: 6 * SEC, until: 7 * SEC + 950 * MS, fault: kill });
            checked(&plan, plant).is_err()
        });
        assert!(found.is_some(), "{plant:?} was not found");
        println!("{plant:?}: found by storm {found:?}");
    }
}

fn plan(parts: usize, faults: &[(Ns, Ns, Fault)]) -> Plan {
    Plan::of(9, parts, 70 * SEC, faults)
}

#[test]
fn all_restarted_at_once_are_whole_when_each_has_had_all_of_the_others() {
    let kills: Vec<_> =
        (0..5).map(|who| (10 * SEC, 11 * SEC, Fault::Kill { who, back: Return::Empty })).collect();
    checked(&plan(5, &kills), Plant::None).unwrap();
}

#[test]
fn a_giver_that_dies_in_the_middle_is_gone_on_from_by_another() {
    let lossy = Way { lost: 0.4, ..Way::default() };
    let lossy = Fault::Links { from: vec![], to: vec![3], way: lossy };
    let dies = |who| Fault::Kill { who, back: Return::Empty };
    let faults = [
        (10 * SEC, 12 * SEC, dies(3)),
        (11 * SEC, 30 * SEC, lossy),
        (12 * SEC + 150 * MS, 14 * SEC, dies(1)),
    ];
    checked(&plan(4, &faults), Plant::None).unwrap();
}

/// A bit flipped in one front's table, under the same version: found by digest, named, and all are equal after.
#[test]
fn a_spoilt_row_is_named_and_mended() {
    let plan = plan(3, &[]);
    let spoilt = std::cell::Cell::new(false);
    let truth = Rc::new(RefCell::new(Truth::default()));
    let mut world: World<Sitter> = World::new(plan.clone(), Way { delay: MS, ..Way::default() });
    let t = truth.clone();
    let make = |me: usize, _, _: Return| {
        let mut copies = Copies::new(100 + me as u64, 5 + me as u64, 3);
        // All three begin with the same rows, one of them spoilt in the second.
        for key in 0..20 {
            let (row, dot) = (
                Row::Bound([if key == 7 && me == 1 { 1 } else { 4 }, 0]),
                Dot { origin: 1, serial: key + 1 },
            );
            copies.shelf_mut().take(Key::Bound(key), row, dot);
        }
        copies.shelf_mut().advance(&BTreeMap::from([(1, 20)]));
        spoilt.set(true);
        Sitter {
            copies,
            life: 100 + me as u64,
            plant: Plant::None,
            parts: 3,
            me,
            chance: StdRng::seed_from_u64(me as u64),
            truth: t.clone(),
            until: 0,
            next: 0,
            busy: false,
        }
    };
    world.play(SEC, make, |_| Ok(())).unwrap();
    let named = truth.borrow().told.values().flatten().any(|f| *f == Fact::Differs(Key::Bound(7)));
    assert!(named && spoilt.get());
    for who in 0..3 {
        assert_eq!(world.part(who).unwrap().copies.bound(7), Some(4), "{who}");
    }
}

/// A withdrawn build that an old copy calls released stays withdrawn.
#[test]
fn an_old_copy_brings_nothing_back() {
    let (mut ours, told) = (Shelf::new(1), |withdrawn, serial| {
        Row::Build(Build { withdrawn, term: 3, serial, phase: Phase::Released, stage: 2 })
    });
    ours.change(Key::Build(5), told(true, 7));
    ours.take(Key::Build(5), told(false, 9), Dot { origin: 2, serial: 40 });
    assert!(matches!(ours.get(&Key::Build(5)), Some(Row::Build(b)) if b.withdrawn && b.serial == 9));
    // Its own life's counts are nobody else's to tell.
    let key = Key::Seen { origin: 1, build: 5, method: 0 };
    ours.change(key, Row::Count(Count { serial: 3, all: 3, bad: 0 }));
    let theirs = Row::Count(Count { serial: 90, all: 90, bad: 1 });
    assert_eq!(ours.take(key, theirs, Dot { origin: 1, serial: 999 }), Taken::Differs);
    assert_eq!(ours.get(&key), Some(&Row::Count(Count { serial: 91, all: 3, bad: 0 })));
}

/// Found by storm 202,695, shrunk: a chunk that came doubled, while the next ask waited, passed for the next table's last.
#[test]
fn a_chunk_that_comes_doubled_makes_no_table_whole() {
    let text = r#"{"seed":202695,"parts":2,"length":74822900357}
{"from":177572329,"until":3013146057,"fault":{"links":{"from":[0],"to":[],"way":{"doubled":0.27,"overtaken":0.18,"delay":73886031,"jitter":116067350}}}}
{"from":6108382402,"until":10688271744,"fault":{"leave":{"who":0}}}
{"from":10698963634,"until":10763400145,"fault":{"links":{"from":[1],"to":[],"way":{"doubled":0.11,"overtaken":0.05,"delay":76069187,"jitter":18773096}}}}"#;
    checked(&Plan::read(text).unwrap(), Plant::None).unwrap();
}
