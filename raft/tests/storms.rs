//! Keepers in virtual time under drawn storms, with clients that call all the while; judged by what each applied, told and
//! was answered, noted down outside of them. One keeper's disk lies: syncs that keep nothing, last hour's folder, none.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_raft::*;
use rockpick_storm::plan::Range;
use rockpick_storm::virt::{Out, Part, World};
use rockpick_storm::{shrink, Fault, Plan, Return, Way};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Plant {
    None,
    /// Everybody says that it is kept before it is.
    KeptAtOnce,
    /// The keeper whose disk lies takes it at its word: nobody holds more, it hears.
    TrustsDisk,
    /// Followers take what they hold for agreed.
    AgreesAll,
    /// Clients call anew, in a session of its own, what they had no answer to.
    NoSession,
    /// The vote is forgotten over a start.
    ForgetsVote,
}

#[derive(Default)]
struct Truth {
    /// What was applied, by index; where each call was; who led each term; calls that were answered.
    applied: BTreeMap<u64, Vec<u8>>,
    places: BTreeMap<Vec<u8>, u64>,
    leaders: BTreeMap<u64, usize>,
    answered: Vec<(Ns, Vec<u8>)>,
    wrong: Option<String>,
}

impl Truth {
    fn wrong(&mut self, what: String) {
        self.wrong.get_or_insert(what);
    }

    fn applies(&mut self, index: u64, body: &[u8]) {
        let known = self.applied.entry(index).or_insert_with(|| body.to_vec());
        if known != body {
            let what = format!("state machine safety: {index} is {known:?} and {body:?}");
            return self.wrong(what);
        }
        let place = *self.places.entry(body.to_vec()).or_insert(index);
        if place != index {
            self.wrong(format!("once: {body:?} at {place} and {index}"));
        }
    }
}

/// A disk: what is synced, what waits, what it said that it had and has not.
#[derive(Default)]
struct Disk {
    folder: Folder,
    lied: Vec<Keep>,
    former: Folder,
}

type State = Vec<(u64, Vec<u8>)>;

struct Keeper {
    ledger: Ledger,
    me: usize,
    plant: Plant,
    disk: Rc<RefCell<Disk>>,
    waits: VecDeque<(Ns, u64, Keep)>,
    lies: Rc<Cell<bool>>,
    state: State,
    asks: BTreeMap<u64, (usize, u64)>,
    tickets: u64,
    truth: Rc<RefCell<Truth>>,
}

/// A client, with what it calls now.
struct Client {
    keepers: usize,
    to: usize,
    session: Option<u64>,
    serial: u64,
    ticket: u64,
    sent: bool,
    /// When it calls again without an answer: one timer counts, not one for each call.
    next: Ns,
    chance: StdRng,
    plant: Plant,
    truth: Rc<RefCell<Truth>>,
    name: u8,
    world: Rc<Cell<Ns>>,
}

enum Seat {
    Keeper(Box<Keeper>),
    Client(Box<Client>),
}

struct Acts<'a> {
    out: &'a mut Out,
    keeps: Vec<(u64, Keep)>,
    state: &'a mut State,
    truth: &'a RefCell<Truth>,
    answers: Vec<(u64, Result<Vec<u8>, Refused>)>,
}

impl Act for Acts<'_> {
    fn send(&mut self, to: u32, bytes: &[u8]) {
        assert!(bytes.len() <= MOST_LETTER);
        self.out.letters.push((to as usize, [&[0], bytes].concat()));
    }
    fn wake_at(&mut self, at: Ns) {
        self.out.wakes.push(at);
    }
    fn keep(&mut self, number: u64, keep: Keep) {
        self.keeps.push((number, keep));
    }
    fn apply(&mut self, index: u64, body: &[u8]) -> Vec<u8> {
        self.truth.borrow_mut().applies(index, body);
        self.state.push((index, body.to_vec()));
        index.to_be_bytes().to_vec()
    }
    fn snapshot(&mut self) -> Vec<u8> {
        let rows: Vec<u8> = self
            .state
            .iter()
            .flat_map(|(i, b)| [&i.to_be_bytes()[..], &[b.len() as u8], b].concat())
            .collect();
        rows
    }
    fn restore(&mut self, mut bytes: &[u8]) {
        self.state.clear();
        while let Some((head, rest)) = bytes.split_at_checked(9) {
            let (body, rest) = rest.split_at(head[8] as usize);
            let index = u64::from_be_bytes(head[..8].try_into().unwrap());
            self.truth.borrow_mut().applies(index, body);
            self.state.push((index, body.to_vec()));
            bytes = rest;
        }
    }
    fn answer(&mut self, ticket: u64, answer: Result<Vec<u8>, Refused>) {
        self.answers.push((ticket, answer));
    }
}

const SYNC: Ns = 3 * MS;

impl Keeper {
    fn event(&mut self, now: Ns, event: Event, out: &mut Out) {
        let mut acts =
            Acts { out, keeps: Vec::new(), state: &mut self.state, truth: &self.truth, answers: Vec::new() };
        self.ledger.event(now, event, &mut acts);
        let (keeps, answers) = (acts.keeps, acts.answers);
        for (number, keep) in keeps {
            let sync = if self.plant == Plant::KeptAtOnce { SEC } else { SYNC };
            self.waits.push_back((now + sync, number, keep));
            out.wakes.push(now + sync);
            if self.plant == Plant::KeptAtOnce {
                self.event(now, Event::Kept(number), out);
            }
        }
        for (ticket, answer) in answers {
            let Some((to, theirs)) = self.asks.remove(&ticket) else { continue };
            let (kind, text) = match answer {
                Ok(bytes) => (0u8, bytes),
                Err(Refused::Elsewhere(who)) => (1, who.unwrap_or(99).to_be_bytes().to_vec()),
                Err(Refused::NoSession | Refused::Old) => (2, Vec::new()),
                Err(_) => (3, Vec::new()),
            };
            out.letters.push((to, [&[2, kind], &theirs.to_be_bytes()[..], &text].concat()));
        }
        let view = self.ledger.view();
        if view.role == Role::Leader {
            let mut truth = self.truth.borrow_mut();
            let who = *truth.leaders.entry(view.term).or_insert(self.me);
            if who != self.me {
                truth.wrong(format!("election safety: {who} and {} lead term {}", self.me, view.term));
            }
        }
    }

    fn syncs(&mut self, now: Ns, out: &mut Out) {
        while self.waits.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, number, keep)) = self.waits.pop_front() else { return };
            let mut disk = self.disk.borrow_mut();
            disk.lied.push(keep);
            if !self.lies.get() {
                let whole = std::mem::take(&mut disk.lied);
                whole.into_iter().for_each(|keep| disk.folder.take(keep));
            }
            drop(disk);
            if self.plant != Plant::KeptAtOnce {
                self.event(now, Event::Kept(number), out);
            }
        }
    }
}

impl Client {
    fn calls(&mut self, now: Ns, out: &mut Out) {
        let letter = match self.session {
            None => vec![1, 0],
            Some(session) => {
                let body = self.body();
                [&[1, 1], &session.to_be_bytes()[..], &self.serial.to_be_bytes(), &body].concat()
            }
        };
        if self.sent && self.plant == Plant::NoSession && self.session.is_some() {
            self.session = None;
            self.sent = false;
            return self.calls(now, out);
        }
        self.sent = self.session.is_some();
        out.letters.push((self.to, [&letter[..], &self.ticket.to_be_bytes()].concat()));
        self.next = now + 300 * MS;
        out.wakes.push(self.next);
    }

    fn body(&self) -> Vec<u8> {
        let mut body = vec![self.name];
        body.extend(self.serial.to_be_bytes());
        body
    }
}

impl Part for Seat {
    fn begin(&mut self, now: Ns, out: &mut Out) {
        match self {
            Seat::Keeper(keeper) => keeper.event(now, Event::Begin, out),
            Seat::Client(client) => client.calls(now, out),
        }
    }

    fn letter(&mut self, now: Ns, from: usize, bytes: &[u8], out: &mut Out) {
        match self {
            Seat::Keeper(keeper) if bytes[0] == 0 => {
                let mut text = bytes[1..].to_vec();
                if let Some(mut letter) = Letter::read(&text) {
                    match &mut letter.word {
                        Word::Recall { last, .. } if keeper.plant == Plant::TrustsDisk && keeper.me == 0 => {
                            *last = Mark::default();
                        }
                        Word::Append { before, entries, commit, .. } if keeper.plant == Plant::AgreesAll => {
                            *commit = before.index + entries.len() as u64;
                        }
                        _ => {}
                    }
                    text = letter.write();
                }
                keeper.event(now, Event::Letter { from: from as u32, bytes: &text }, out);
            }
            Seat::Keeper(keeper) if bytes[0] == 1 => {
                let (letter, theirs) = bytes.split_at(bytes.len() - 8);
                keeper.tickets += 1;
                let ticket = keeper.tickets;
                keeper.asks.insert(ticket, (from, u64::from_be_bytes(theirs.try_into().unwrap())));
                let number = |at: usize| u64::from_be_bytes(letter[at..at + 8].try_into().unwrap());
                let event = match letter[1] {
                    0 => Event::Open { ticket },
                    _ => Event::Call { ticket, session: number(2), serial: number(10), body: &letter[18..] },
                };
                keeper.event(now, event, out);
            }
            Seat::Client(client) if bytes[0] == 2 => {
                let ticket = u64::from_be_bytes(bytes[2..10].try_into().unwrap());
                if ticket != client.ticket {
                    return;
                }
                match bytes[1] {
                    0 if client.session.is_none() => {
                        client.session = Some(u64::from_be_bytes(bytes[10..18].try_into().unwrap()));
                    }
                    0 => {
                        let at = client.world.get();
                        client.truth.borrow_mut().answered.push((at, client.body()));
                        client.serial += 1;
                        client.sent = false;
                    }
                    1 => {
                        let who = u32::from_be_bytes(bytes[10..14].try_into().unwrap()) as usize;
                        client.to = if who < client.keepers {
                            who
                        } else {
                            client.chance.random_range(0..client.keepers)
                        };
                        return;
                    }
                    // What it called last may have been taken: that call is given up.
                    2 => (client.session, client.serial, client.sent) = (None, client.serial + 1, false),
                    _ => return,
                }
                client.ticket += 1;
                client.calls(now, out);
            }
            _ => {}
        }
    }

    fn woke(&mut self, now: Ns, out: &mut Out) {
        match self {
            Seat::Keeper(keeper) => {
                keeper.syncs(now, out);
                keeper.event(now, Event::Woke, out);
            }
            Seat::Client(client) if now < client.next => {}
            Seat::Client(client) => {
                if client.chance.random_bool(0.3) {
                    client.to = client.chance.random_range(0..client.keepers);
                }
                client.calls(now, out);
            }
        }
    }

    fn leave(&mut self, _: Ns, _: &mut Out) {}
}

const CLIENTS: usize = 2;

fn drawn(seed: u64, keepers: usize) -> Plan {
    let mut plan = Plan::draw(
        seed,
        Range {
            acts: 8,
            parts: keepers,
            stormy: 15 * SEC,
            longest: 5 * SEC,
            settles: 30 * SEC,
            kills: true,
            clocks: true,
            disks: &["sync-lies"],
        },
    );
    // The first keeper's disk lies, no other's: two that forget the same may have been all that held it.
    for act in &mut plan.acts {
        match &mut act.fault {
            Fault::Kill { who, back } if *who > 0 => *back = Return::Same,
            Fault::Disk { who, .. } => *who = 0,
            _ => {}
        }
    }
    plan.parts = keepers + CLIENTS;
    plan
}

fn play(plan: &Plan, plant: Plant) -> Result<(usize, Ns), String> {
    let keepers = plan.parts - CLIENTS;
    let truth: Rc<RefCell<Truth>> = Rc::default();
    let disks: Vec<Rc<RefCell<Disk>>> = (0..keepers).map(|_| Rc::default()).collect();
    let (lies, clock): (Rc<Cell<bool>>, Rc<Cell<Ns>>) = Default::default();
    let base = Way { delay: MS, jitter: 4 * MS, ..Way::default() };
    let mut world: World<Seat> = World::new(plan.clone(), base);
    let (t, d, l, c) = (truth.clone(), disks.clone(), lies.clone(), clock.clone());
    let seed = plan.seed;
    let make = move |me: usize, number: u32, back: Return| {
        let mut chance = StdRng::seed_from_u64(seed << 8 ^ me as u64 ^ u64::from(number) << 32);
        if me >= keepers {
            let (to, truth, world) = (chance.random_range(0..keepers), t.clone(), c.clone());
            let name = (me - keepers) as u8 + 10 * number as u8;
            return Seat::Client(Box::new(Client {
                keepers,
                to,
                session: None,
                serial: 1,
                ticket: 1,
                sent: false,
                next: 0,
                chance,
                plant,
                truth,
                name,
                world,
            }));
        }
        let mut disk = d[me].borrow_mut();
        disk.lied.clear();
        match back {
            Return::Empty if number > 0 => disk.folder = Folder::default(),
            Return::Former => disk.folder = disk.former.clone(),
            _ => {}
        }
        if plant == Plant::ForgetsVote {
            disk.folder.vote = None;
            disk.folder.term = disk.folder.term.saturating_sub(1);
        }
        let folder = disk.folder.clone();
        drop(disk);
        let pace = Pace { beat: 100 * MS, election: 500 * MS, entries: 60, bytes: 1 << 20 };
        let first: Vec<u32> = (0..keepers as u32).collect();
        let ledger = Ledger::new(me as u32, chance.random(), chance.random(), &first, pace, folder);
        let honest = Rc::new(Cell::new(false));
        Seat::Keeper(Box::new(Keeper {
            ledger,
            me,
            plant,
            disk: d[me].clone(),
            waits: VecDeque::new(),
            lies: if me == 0 { l.clone() } else { honest },
            state: Vec::new(),
            asks: BTreeMap::new(),
            tickets: 0,
            truth: t.clone(),
        }))
    };
    let seen = truth.clone();
    world.play(20 * MS, make, |world| {
        clock.set(world.now());
        let on = |act: &&rockpick_storm::Act| (act.from..act.until).contains(&world.now());
        lies.set(plan.acts.iter().filter(on).any(|act| matches!(act.fault, Fault::Disk { .. })));
        if world.now() % (5 * SEC) == 0 {
            for disk in &disks {
                let folder = disk.borrow().folder.clone();
                disk.borrow_mut().former = folder;
            }
        }
        seen.borrow().wrong.clone().map_or(Ok(()), Err)
    })?;
    let truth = truth.borrow();
    let last = truth.answered.last().map_or(0, |(at, _)| *at);
    for (_, body) in &truth.answered {
        if !truth.places.contains_key(body) {
            return Err(format!("{body:?} was answered and nobody has it"));
        }
    }
    // All have the same in the end, and all that was answered.
    let states: Vec<&Keeper> = (0..keepers)
        .filter_map(|who| match world.part(who) {
            Some(Seat::Keeper(keeper)) => Some(&**keeper),
            _ => None,
        })
        .collect();
    let most = states.iter().map(|k| k.state.len()).max().unwrap_or(0);
    for keeper in &states {
        if keeper.state.len() + 200 < most {
            return Err(format!("keeper {} has {} of {most}", keeper.me, keeper.state.len()));
        }
    }
    let longest = states.iter().max_by_key(|k| k.state.len()).ok_or("nobody")?;
    for (at, body) in &truth.answered {
        if *at < plan.length - SEC && !longest.state.iter().any(|(_, b)| b == body) {
            return Err(format!("{body:?} was answered and is gone"));
        }
    }
    if last < plan.length - 10 * SEC {
        return Err(format!("nothing is answered from {} s to {} s", last / SEC, plan.length / SEC));
    }
    Ok((truth.answered.len(), last))
}

fn storms(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let plan = drawn(seed, if seed % 3 == 0 { 5 } else { 3 });
        if let Err(why) = play(&plan, Plant::None) {
            let least = shrink(&plan, 200, |plan| play(plan, Plant::None).is_err());
            panic!("seed {seed}: {why}\n{}", least.write());
        }
    }
}

#[test]
fn keepers_agree_through_storms() {
    storms(0..60);
}

#[test]
#[ignore = "an hour's worth of storms, by hand"]
fn many_storms() {
    let from: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1_000);
    let many: u64 = std::env::var("STORMS").ok().and_then(|s| s.parse().ok()).unwrap_or(10_000);
    storms(from..from + many);
}

#[test]
fn in_quiet_calls_are_answered_and_all_hold_them() {
    let plan = Plan::of(7, 3 + CLIENTS, 20 * SEC, &[]);
    let (answered, _) = play(&plan, Plant::None).unwrap();
    assert!(answered > 1_000, "{answered}");
}

/// A disk that says too early that it keeps, and one that is taken at its word after it lied, each fork the log.
#[test]
fn planted_lies_are_found() {
    for plant in [Plant::KeptAtOnce, Plant::TrustsDisk] {
        assert!(play(&drawn(73, 3), plant).is_err(), "{plant:?}");
    }
}

/// The others that are planted, looked for over many storms.
#[test]
#[ignore = "minutes, by hand; not found yet for all"]
fn planted_faults_are_found() {
    for plant in [Plant::AgreesAll, Plant::NoSession, Plant::ForgetsVote] {
        let found = (0..400).find(|seed| play(&drawn(*seed, 3), plant).is_err());
        println!("{plant:?}: {found:?}");
        assert!(found.is_some(), "{plant:?}");
    }
}
