//! Runs replicas in virtual time under generated fault plans while they make changes, and compares their tables with a record
//! of these changes that is kept outside of the replicas.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_fault_injection::plan::{PlanLimits, PlannedFault};
use rockpick_fault_injection::simulation::{Output, SimulatedProcess, Simulation};
use rockpick_fault_injection::{shrink, Fault, LinkConditions, Plan, RestartState};
use rockpick_replication::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A bug planted in part 0, to check that the tests detect it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bug {
    None,
    /// The later row of a build replaces the earlier one, even if that was withdrawn.
    LastWriteWins,
    /// A restarted process continues with the origin of its earlier instance.
    ReusesOrigin,
    /// Counts received are added to the local ones.
    AddsCounts,
    /// Advances versions without merging their rows, and ignores digests.
    DropsRows,
    /// Reports all tables as complete at the start.
    CompleteAtStart,
    /// Keeps the older of two bindings.
    OldestBinding,
}

/// The changes that were made, by origin, and facts that all must agree on.
#[derive(Default)]
struct Expected {
    /// By origin: bindings, and its own counts by build.
    bound: BTreeMap<u64, BTreeMap<u64, u32>>,
    seen: BTreeMap<u64, BTreeMap<u32, (u64, u64)>>,
    /// Withdrawn builds. Each front hears of them from the controller sooner or later.
    withdrawn: BTreeMap<u32, Ns>,
    notices: BTreeMap<u64, Vec<Notice>>,
}

struct TestReplica {
    replica: Replica,
    origin: u64,
    bug: Bug,
    parts: usize,
    me: usize,
    rng: StdRng,
    expected: Rc<RefCell<Expected>>,
    /// No changes are made after this time of the part's own clock.
    until: Ns,
    next: Ns,
    makes_changes: bool,
}

struct TestActions<'a> {
    out: &'a mut Output,
    notices: Vec<Notice>,
}

impl Actions for TestActions<'_> {
    fn send(&mut self, to: u64, bytes: &[u8]) {
        assert!(bytes.len() <= MAX_MESSAGE_LEN, "{} bytes", bytes.len());
        self.out.messages.push((to as usize - 1, bytes.to_vec()));
    }
    fn wake_at(&mut self, at: Ns) {
        self.out.timers.push(at);
    }
    fn notify(&mut self, notice: Notice) {
        self.notices.push(notice);
    }
}

const KEYS: u64 = 40;
const BUILDS: u32 = 5;

impl TestReplica {
    fn handle(&mut self, now: Ns, event: Event, out: &mut Output) {
        let mut actions = TestActions { out, notices: Vec::new() };
        self.replica.handle(now, event, &mut actions);
        let notices = actions.notices;
        self.expected.borrow_mut().notices.entry(self.origin).or_default().extend(notices);
    }

    /// Makes one local change, as traffic would.
    fn make_change(&mut self) {
        let (key, build) = (self.rng.random_range(0..KEYS), self.rng.random_range(1..=BUILDS));
        let mut expected = self.expected.borrow_mut();
        match self.rng.random_range(0..10) {
            0..=4 => {
                let bound = expected.bound.entry(self.origin).or_default().entry(key).or_default();
                *bound = build.max(*bound);
                self.replica.update(Key::Bound(key), Row::Bound([build, 0]));
            }
            5..=7 => {
                let seen = expected.seen.entry(self.origin).or_default().entry(build).or_default();
                *seen = (seen.0 + 1, seen.1 + u64::from(key % 7 == 0));
                let count = Count { serial: seen.0, all: seen.0, bad: seen.1 };
                self.replica.update(Key::Seen { origin: self.origin, build, method: 0 }, Row::Count(count));
            }
            8 => {
                let withdrawn = build == 3 && expected.withdrawn.is_empty();
                if withdrawn {
                    expected.withdrawn.entry(build).or_insert(0);
                }
                let serial = self.rng.random_range(0..50);
                let row =
                    Build { withdrawn, term: 1, serial, phase: Phase::OnTrial, stage: (serial % 3) as u32 };
                self.replica.update(Key::Build(build), Row::Build(row));
            }
            _ => {
                let run = self.rng.random_range(0..3);
                let state = [State::Up, State::Draining, State::Gone][self.rng.random_range(0..3)];
                let row = Row::Machine(Machine { run, state, failing: false });
                self.replica.update(Key::Machine(key % 10), row);
            }
        }
    }
}

impl SimulatedProcess for TestReplica {
    fn start(&mut self, now: Ns, out: &mut Output) {
        let present: Vec<Peer> = (0..self.parts)
            .filter(|i| *i != self.me)
            .map(|i| Peer { id: i as u64 + 1, same_zone: i % 2 == self.me % 2 })
            .collect();
        self.handle(now, Event::Peers(&present), out);
        self.handle(now, Event::Start, out);
        self.next = now;
        out.timers.push(now + 1);
    }

    fn receive(&mut self, now: Ns, from: usize, bytes: &[u8], out: &mut Output) {
        let mut bytes = bytes.to_vec();
        if let (Some(mut message), true) = (Message::decode(&bytes), self.bug != Bug::None) {
            match (&mut message, self.bug) {
                (
                    Message::Delta { rows, .. } | Message::RangeRows { rows } | Message::Chunk { rows, .. },
                    Bug::LastWriteWins,
                ) => {
                    for (key, row, _) in rows.iter().filter(|(k, ..)| k.table() == Table::Builds) {
                        self.replica.store_mut().corrupt(key, *row);
                    }
                }
                (Message::Chunk { rows, .. } | Message::Delta { rows, .. }, Bug::AddsCounts) => {
                    for (key, row, _) in rows.iter() {
                        if let (Row::Count(theirs), Some(Row::Count(ours))) =
                            (row, self.replica.store().get(key).copied())
                        {
                            let all = ours.all + theirs.all;
                            let sum = Count { serial: ours.serial + 1, all, bad: ours.bad + theirs.bad };
                            self.replica.store_mut().corrupt(key, Row::Count(sum));
                        }
                    }
                }
                (Message::Delta { rows, .. }, Bug::DropsRows) => rows.clear(),
                (Message::RangeDigests { .. } | Message::RangeRows { .. }, Bug::DropsRows) => return,
                (
                    Message::Delta { rows, .. } | Message::RangeRows { rows } | Message::Chunk { rows, .. },
                    Bug::OldestBinding,
                ) => {
                    for (key, row, _) in rows.iter_mut() {
                        if let (Row::Bound(theirs), Some(Row::Bound(ours))) =
                            (&mut *row, self.replica.store().get(key))
                        {
                            *theirs = if theirs[0] > ours[0] { *ours } else { *theirs };
                        }
                    }
                }
                _ => {}
            }
            bytes = message.encode();
        }
        self.handle(now, Event::Message { from: from as u64 + 1, bytes: &bytes }, out);
    }

    fn wake(&mut self, now: Ns, out: &mut Output) {
        if self.makes_changes && now >= self.next && now < self.until {
            self.make_change();
            self.next = now + 50 * MS;
            out.timers.push(self.next);
        }
        self.handle(now, Event::Timer, out);
    }

    fn leave(&mut self, _: Ns, _: &mut Output) {}
}

fn range(parts: usize) -> PlanLimits {
    PlanLimits {
        max_faults: 6,
        parts,
        fault_window: 15 * SEC,
        max_duration: 8 * SEC,
        settle_time: 60 * SEC,
        kills: true,
        clocks: true,
        disks: &[],
    }
}

type Rows = Vec<(Key, Row, Dot)>;

struct RunResult {
    expected: Rc<RefCell<Expected>>,
    world: Simulation<TestReplica>,
    /// Time from the last change, after all faults, until all tables were equal.
    equal: Option<Ns>,
}

fn run_with(
    plan: &Plan, bug: Bug, mut look: impl FnMut(&Simulation<TestReplica>, &Expected) -> Result<(), String>,
) -> Result<RunResult, String> {
    let expected = Rc::new(RefCell::new(Expected::default()));
    let base = LinkConditions { delay: MS, jitter: 2 * MS, ..LinkConditions::default() };
    let mut world: Simulation<TestReplica> = Simulation::new(plan.clone(), base);
    let fault_window = plan.length - 50 * SEC;
    // Saved rows of an earlier time, by part.
    let saved_rows: Rc<RefCell<BTreeMap<usize, Rows>>> = Rc::default();
    let (shared, saved) = (expected.clone(), saved_rows.clone());
    let make = move |me: usize, number: u32, back: RestartState| {
        let mut rng = StdRng::seed_from_u64(plan.seed << 8 ^ me as u64 ^ u64::from(number) << 32);
        let bug = if me == 0 { bug } else { Bug::None };
        let origin = if bug == Bug::ReusesOrigin { 77 } else { rng.random::<u64>() >> 1 };
        let expected_fronts = if bug == Bug::CompleteAtStart { 1 } else { plan.parts as u32 };
        let mut replica = Replica::new(origin, rng.random(), expected_fronts);
        if back == RestartState::Former {
            for (key, row, dot) in saved.borrow().get(&me).into_iter().flatten() {
                replica.restore(*key, *row, *dot);
            }
        }
        if bug == Bug::ReusesOrigin {
            shared.borrow_mut().seen.remove(&origin);
        }
        let (until, expected) = (fault_window, shared.clone());
        TestReplica {
            replica,
            origin,
            bug,
            parts: plan.parts,
            me,
            rng,
            expected,
            until,
            next: 0,
            makes_changes: true,
        }
    };
    let seen = expected.clone();
    world.run(50 * MS, make, |world| {
        if (world.now() / SEC) % 7 == 3 && world.now() % SEC == 0 {
            for who in 0..world.process_count() {
                if let Some(part) = world.process(who) {
                    let tables =
                        TABLES.into_iter().flat_map(|t| part.replica.store().rows_from(Key::first_of(t)));
                    saved_rows.borrow_mut().insert(who, tables.map(|(k, r, d)| (*k, *r, *d)).collect());
                }
            }
        }
        look(world, &seen.borrow())
    })?;
    let result = RunResult { expected, world, equal: None };
    check_result(&result)?;
    Ok(result)
}

/// At the end, all running parts must have the same tables, and these must contain the recorded changes.
fn check_result(result: &RunResult) -> Result<(), String> {
    let (world, expected) = (&result.world, result.expected.borrow());
    let running: Vec<&TestReplica> =
        (0..world.process_count()).filter(|w| world.status(*w).2).filter_map(|w| world.process(w)).collect();
    let Some(first) = running.first() else { return Ok(()) };
    for part in &running {
        for table in TABLES {
            if part.replica.store().table_digest(table) != first.replica.store().table_digest(table) {
                return Err(format!("{} and {} differ in {table:?}", first.me, part.me));
            }
        }
        // Changes made by a running front must be neither lost nor counted twice.
        for (key, build) in expected.bound.get(&part.origin).into_iter().flatten() {
            match first.replica.store().get(&Key::Bound(*key)) {
                Some(Row::Bound(b)) if b[0] >= *build => {}
                row => return Err(format!("{key} was bound to {build} at {}, all have {row:?}", part.me)),
            }
        }
        for (build, (all, bad)) in expected.seen.get(&part.origin).into_iter().flatten() {
            let row = first.replica.store().get(&Key::Seen { origin: part.origin, build: *build, method: 0 });
            match row {
                Some(Row::Count(c)) if (c.all, c.bad) == (*all, *bad) => {}
                row => return Err(format!("{} counted {all}, {bad} of {build}; all have {row:?}", part.me)),
            }
        }
        if !part.replica.is_complete(Table::Bindings) && running.len() == world.process_count() {
            return Err(format!("{} is not complete", part.me));
        }
    }
    // Nobody may hold more than an origin counted, nor a binding that nobody made.
    for (key, row) in first.replica.store().table(Table::Evidence) {
        let (Key::Seen { origin, build, .. }, Row::Count(c)) = (key, row) else { continue };
        let most = expected.seen.get(origin).and_then(|s| s.get(build)).copied().unwrap_or((0, 0));
        if c.all > most.0 || c.bad > most.1 {
            return Err(format!("{origin:x} counted {most:?} of {build}, all have {c:?}"));
        }
    }
    for (key, row) in first.replica.store().table(Table::Bindings) {
        let (Key::Bound(key), Row::Bound(b)) = (key, row) else { continue };
        let made = expected.bound.values().filter_map(|m| m.get(key)).max().copied().unwrap_or(0);
        if b[0] > made {
            return Err(format!("{key} was bound to {made} at most, all have {b:?}"));
        }
    }
    Ok(())
}

/// Within one instance, a withdrawn build must never become valid again.
fn check_withdrawals(
    world: &Simulation<TestReplica>, was: &mut BTreeMap<(u64, u32), bool>,
) -> Result<(), String> {
    for part in (0..world.process_count()).filter_map(|w| world.process(w)) {
        for build in 1..=BUILDS {
            let now = part.replica.is_withdrawn(build);
            if was.insert((part.origin, build), now) == Some(true) && !now {
                return Err(format!("{} considers the withdrawn build {build} valid again", part.me));
            }
        }
    }
    Ok(())
}

fn run_checked(plan: &Plan, bug: Bug) -> Result<RunResult, String> {
    let mut was = BTreeMap::new();
    // A replica that reports a complete table must have every binding that others have had for long.
    let (mut quiet, mut equal) = (None, None);
    let result = run_with(plan, bug, |world, _| {
        check_withdrawals(world, &mut was)?;
        // Each instance makes changes up to a time of its own clock.
        let done = |w: usize| world.process(w).is_none_or(|p| world.status(w).1 >= p.until);
        if world.now() >= plan.length - 50 * SEC && quiet.is_none() && (0..world.process_count()).all(done) {
            quiet = Some(world.now());
        }
        if let (Some(quiet), None) = (quiet, equal) {
            let digests = |part: &TestReplica| TABLES.map(|table| part.replica.store().table_digest(table));
            let all: Vec<_> =
                (0..world.process_count()).filter_map(|w| world.process(w)).map(digests).collect();
            equal = all.iter().all(|w| *w == all[0]).then(|| world.now() - quiet);
        }
        let parts: Vec<&TestReplica> = (0..world.process_count()).filter_map(|w| world.process(w)).collect();
        for part in &parts {
            let (start, own, _) = world.status(part.me);
            let fresh = start > 1 && own < 200 * MS && part.replica.is_complete(Table::Bindings);
            let empty = part.replica.store().len(Table::Bindings) == 0;
            if fresh && empty && parts.iter().any(|p| p.replica.store().len(Table::Bindings) > 10) {
                return Err(format!("{} reports that it is complete, but is empty", part.me));
            }
        }
        Ok(())
    })?;
    Ok(RunResult { equal, ..result })
}

#[test]
fn replicas_converge_to_the_recorded_changes_after_generated_faults() {
    let env_or = |name: &str, or: u64| std::env::var(name).map_or(or, |n| n.parse().expect("a number"));
    let (first, seeds) = (env_or("FIRST", 0), env_or("STORMS", 60));
    let mut equal: Vec<Ns> = Vec::new();
    for seed in first..first + seeds {
        let plan = Plan::draw(seed, range(2 + seed as usize % 5));
        match run_checked(&plan, Bug::None) {
            Ok(result) => equal.extend(result.equal),
            Err(why) => {
                let less = shrink(&plan, 200, |plan| run_checked(plan, Bug::None).is_err());
                panic!("seed {seed}: {why}\n{}{:?}", less.write(), run_checked(&less, Bug::None).err());
            }
        }
    }
    equal.sort_unstable();
    let at = |share: f64| equal[((equal.len() - 1) as f64 * share) as usize] / MS;
    println!("{seeds} plans; equal {} ms (p50), {} ms (p99) after the last change", at(0.5), at(0.99));
}

#[test]
fn planted_bugs_are_detected() {
    for bug in [
        Bug::LastWriteWins,
        Bug::ReusesOrigin,
        Bug::AddsCounts,
        Bug::DropsRows,
        Bug::CompleteAtStart,
        Bug::OldestBinding,
    ] {
        let found = (0..40).find(|seed| {
            let mut plan = Plan::draw(*seed, range(4));
            let kill = Fault::Kill { who: 0, back: RestartState::Empty };
            plan.acts.push(PlannedFault { from: 6 * SEC, until: 7 * SEC + 950 * MS, fault: kill });
            run_checked(&plan, bug).is_err()
        });
        assert!(found.is_some(), "{bug:?} was not detected");
        println!("{bug:?}: detected by plan {found:?}");
    }
}

fn plan(parts: usize, faults: &[(Ns, Ns, Fault)]) -> Plan {
    Plan::new(9, parts, 70 * SEC, faults)
}

#[test]
fn replicas_all_restarted_at_once_are_complete_after_copying_from_each_other() {
    let kills: Vec<_> =
        (0..5).map(|who| (10 * SEC, 11 * SEC, Fault::Kill { who, back: RestartState::Empty })).collect();
    run_checked(&plan(5, &kills), Bug::None).unwrap();
}

#[test]
fn another_source_continues_a_transfer_when_the_first_is_killed() {
    let lossy = LinkConditions { lost: 0.4, ..LinkConditions::default() };
    let lossy = Fault::Links { from: vec![], to: vec![3], way: lossy };
    let dies = |who| Fault::Kill { who, back: RestartState::Empty };
    let faults = [
        (10 * SEC, 12 * SEC, dies(3)),
        (11 * SEC, 30 * SEC, lossy),
        (12 * SEC + 150 * MS, 14 * SEC, dies(1)),
    ];
    run_checked(&plan(4, &faults), Bug::None).unwrap();
}

/// One front's row was corrupted under an unchanged version: its digest must reveal it, it must be reported, and all tables must
/// be equal afterwards.
#[test]
fn a_corrupt_row_is_reported_and_repaired() {
    let plan = plan(3, &[]);
    let corrupted = std::cell::Cell::new(false);
    let expected = Rc::new(RefCell::new(Expected::default()));
    let mut world: Simulation<TestReplica> =
        Simulation::new(plan.clone(), LinkConditions { delay: MS, ..LinkConditions::default() });
    let t = expected.clone();
    let make = |me: usize, _, _: RestartState| {
        let mut replica = Replica::new(100 + me as u64, 5 + me as u64, 3);
        // All three start with the same rows, of which the second has one corrupted.
        for key in 0..20 {
            let (row, dot) = (
                Row::Bound([if key == 7 && me == 1 { 1 } else { 4 }, 0]),
                Dot { origin: 1, serial: key + 1 },
            );
            replica.store_mut().merge(Key::Bound(key), row, dot);
        }
        replica.store_mut().advance_versions(&BTreeMap::from([(1, 20)]));
        corrupted.set(true);
        TestReplica {
            replica,
            origin: 100 + me as u64,
            bug: Bug::None,
            parts: 3,
            me,
            rng: StdRng::seed_from_u64(me as u64),
            expected: t.clone(),
            until: 0,
            next: 0,
            makes_changes: false,
        }
    };
    world.run(SEC, make, |_| Ok(())).unwrap();
    let reported =
        expected.borrow().notices.values().flatten().any(|f| *f == Notice::Conflict(Key::Bound(7)));
    assert!(reported && corrupted.get());
    for who in 0..3 {
        assert_eq!(world.process(who).unwrap().replica.bound_build(7), Some(4), "{who}");
    }
}

/// A withdrawn build must stay withdrawn when an outdated row calls it released.
#[test]
fn an_outdated_row_reverts_nothing() {
    let (mut ours, build) = (Store::new(1), |withdrawn, serial| {
        Row::Build(Build { withdrawn, term: 3, serial, phase: Phase::Released, stage: 2 })
    });
    ours.update(Key::Build(5), build(true, 7));
    ours.merge(Key::Build(5), build(false, 9), Dot { origin: 2, serial: 40 });
    assert!(matches!(ours.get(&Key::Build(5)), Some(Row::Build(b)) if b.withdrawn && b.serial == 9));
    // Only the instance itself may change its own counts.
    let key = Key::Seen { origin: 1, build: 5, method: 0 };
    ours.update(key, Row::Count(Count { serial: 3, all: 3, bad: 0 }));
    let theirs = Row::Count(Count { serial: 90, all: 90, bad: 1 });
    assert_eq!(ours.merge(key, theirs, Dot { origin: 1, serial: 999 }), MergeOutcome::Conflict);
    assert_eq!(ours.get(&key), Some(&Row::Count(Count { serial: 91, all: 3, bad: 0 })));
}

/// A duplicated chunk that arrived while the next request was pending passed for the last chunk of the next table. Plan 202,695,
/// shrunk.
#[test]
fn a_duplicated_chunk_completes_no_table() {
    let text = r#"{"seed":202695,"parts":2,"length":74822900357}
{"from":177572329,"until":3013146057,"fault":{"links":{"from":[0],"to":[],"way":{"doubled":0.27,"overtaken":0.18,"delay":73886031,"jitter":116067350}}}}
{"from":6108382402,"until":10688271744,"fault":{"leave":{"who":0}}}
{"from":10698963634,"until":10763400145,"fault":{"links":{"from":[1],"to":[],"way":{"doubled":0.11,"overtaken":0.05,"delay":76069187,"jitter":18773096}}}}"#;
    run_checked(&Plan::read(text).unwrap(), Bug::None).unwrap();
}
