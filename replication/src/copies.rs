//! The state machine: rounds with others, and catching up.
use crate::shelf::{range, Dot, Shelf, Taken, RANGES};
use crate::tables::{Key, Phase, Row, Table, TABLES};
use crate::words::{size, Rows, Word, FOR_ROWS, MOST_VERSIONS};
use crate::{Ns, MS, SEC};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// A round with one drawn peer, so often.
const ROUND: Ns = SEC / 2;
/// Letters of rows that one letter of another may bring about.
const MOST_LETTERS: usize = 32;
/// Rounds with one peer that brought nothing though the tables differ, after which ranges are compared.
const FRUITLESS: u32 = 2;
/// A letter of catching up is asked for again after four times what answers took lately, within these, twice as late each
/// time; after so many another is asked. With 200 ms for all, 10,000 bindings took 23 s at 10% loss.
const ANSWER: (Ns, Ns) = (10 * MS, 200 * MS);
const TRIES: u32 = 3;
/// Between a chunk and the next ask for one: RPCs come first.
const RESTS: Ns = 2 * MS;
/// Chunks that this front gives a second, all returning ones together: at 1,200 bytes 2.4 MB, a small part of a core.
const GIVES: f64 = 2_000.0;
/// Waits after everybody was busy, doubled from the first to the last, each drawn from half to whole.
const AGAIN: (Ns, Ns) = (50 * MS, 2 * SEC);
/// Lives that were forgotten, and are not let in again.
const MOST_RETIRED: usize = 20_000;
/// Rows under the floor are looked for every so many rounds, where it has risen since.
const SWEEPS: u32 = 20;
/// Rows that one letter of digests makes a front look through: about a millisecond.
const MOST_LOOKS: usize = 10_000;

/// A peer as the host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Near {
    pub id: u64,
    /// Of this front's own zone.
    pub near: bool,
}

pub enum Event<'a> {
    Begin,
    Letter {
        from: u64,
        bytes: &'a [u8],
    },
    Woke,
    /// The peers that are there now.
    Peers(&'a [Near]),
}

/// What copies tell their host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact {
    /// Another front's row changed ours.
    Learnt(Key, Row),
    /// All that any front knew of this table is here.
    Whole(Table),
    /// The same version with another content: a disk, a copy or a program lies.
    Differs(Key),
}

pub trait Act {
    fn send(&mut self, to: u64, bytes: &[u8]);
    fn wake_at(&mut self, at: Ns);
    fn tell(&mut self, fact: Fact);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolls {
    pub learnt: u64,
    pub refused: u64,
    pub differs: u64,
    pub gave: u64,
    pub busy: u64,
    pub odd: u64,
}

#[derive(Default)]
struct Peer {
    near: bool,
    fruitless: u32,
    /// Where the next letter of digests goes on looking.
    looked: Option<Key>,
}

enum Step {
    Versions(u64),
    Rows(Key),
}

/// Catching up: with whom, and where it has come to.
struct Pull {
    giver: u64,
    step: Step,
    serial: u32,
    asked: Ns,
    tries: u32,
    /// The next chunk is asked for then.
    rests: Option<Ns>,
    /// How long answers take, evened out.
    takes: Ns,
    /// Nobody is whole: all that each has is taken, one after another.
    any: bool,
    /// What all the givers had when each began.
    versions: Option<BTreeMap<u64, u64>>,
    coming: BTreeMap<u64, u64>,
}

impl Pull {
    fn again(&self) -> Ns {
        if let Some(at) = self.rests {
            return at;
        }
        self.asked + ((4 * self.takes).clamp(ANSWER.0, ANSWER.1) << self.tries)
    }
}

pub struct Copies {
    shelf: Shelf,
    chance: StdRng,
    /// Fronts that the settings tell of.
    told: u32,
    peers: BTreeMap<u64, Peer>,
    whole: BTreeSet<Table>,
    pull: Option<Pull>,
    /// Peers that were not whole themselves, whose all was taken.
    had: BTreeSet<u64>,
    /// Who said that it was busy, or did not answer, since the last wait.
    passed: BTreeSet<u64>,
    unwhole: BTreeSet<u64>,
    wait: Ns,
    next_pull: Ns,
    next_round: Ns,
    rounds: u32,
    serial: u32,
    budget: (f64, Ns),
    /// When it has asked to be woken.
    wakes: Ns,
    retired: BTreeSet<u64>,
    /// The floor, kept for all the rows that are held against it; and what the last sweep held them against.
    low: u32,
    swept: (u32, usize),
    pub tolls: Tolls,
}

impl Copies {
    /// `life` is drawn at each start: a past life's counts are another origin's.
    pub fn new(life: u64, seed: u64, told: u32) -> Copies {
        Copies {
            shelf: Shelf::new(life),
            chance: StdRng::seed_from_u64(seed),
            told,
            peers: BTreeMap::new(),
            whole: BTreeSet::new(),
            pull: None,
            had: BTreeSet::new(),
            passed: BTreeSet::new(),
            unwhole: BTreeSet::new(),
            wait: AGAIN.0,
            next_pull: 0,
            next_round: 0,
            rounds: 0,
            serial: 0,
            budget: (GIVES / 10.0, 0),
            wakes: Ns::MAX,
            retired: BTreeSet::new(),
            low: 0,
            swept: (0, 0),
            tolls: Tolls::default(),
        }
    }

    /// The settings tell of so many fronts now; before they do, others may be there.
    pub fn told(&mut self, fronts: u32) {
        self.told = fronts;
    }

    pub fn shelf(&self) -> &Shelf {
        &self.shelf
    }

    #[doc(hidden)]
    pub fn shelf_mut(&mut self) -> &mut Shelf {
        &mut self.shelf
    }

    /// A row of this front's own folder, from a former life: it counts as any row, and makes no table whole.
    pub fn recall(&mut self, key: Key, row: Row, dot: Dot) {
        if !self.obsolete(&key, &row) {
            self.shelf.take(key, row, dot);
            self.refloor(&key);
        }
    }

    pub fn is_whole(&self, table: Table) -> bool {
        self.whole.contains(&table)
    }

    /// A change of this front's own; true where it is one.
    pub fn change(&mut self, key: Key, row: Row) -> bool {
        let changed = !self.obsolete(&key, &row) && self.shelf.change(key, row);
        if changed {
            self.refloor(&key);
        }
        changed
    }

    /// The build that a key is bound to: the newest that has answered it and is not withdrawn; none is known by `None`,
    /// which is no answer as long as the table is not whole.
    pub fn bound(&self, key: u64) -> Option<u32> {
        let Some(Row::Bound(builds)) = self.shelf.get(&Key::Bound(key)) else { return None };
        builds.iter().copied().find(|b| *b > 0 && !self.withdrawn(*b))
    }

    pub fn withdrawn(&self, build: u32) -> bool {
        matches!(self.shelf.get(&Key::Build(build)), Some(Row::Build(b)) if b.withdrawn)
    }

    /// The second newest build that was released and not withdrawn: what is older serves nobody any more, also if the
    /// newest is sent back.
    fn floor(&self) -> u32 {
        let released = self.shelf.table(Table::Builds).filter_map(|(key, row)| match (key, row) {
            (Key::Build(build), Row::Build(b)) if !b.withdrawn && b.phase == Phase::Released => Some(*build),
            _ => None,
        });
        let mut newest: Vec<u32> = released.collect();
        newest.sort_unstable();
        newest.len().checked_sub(2).map_or(0, |at| newest[at])
    }

    /// A row has changed: one of a build may have moved the floor.
    fn refloor(&mut self, key: &Key) {
        if key.table() == Table::Builds {
            self.low = self.floor();
        }
    }

    /// Rows that need not be kept, and are not taken from one that still has them. All fronts come to the same word on
    /// it, as the builds' table joins.
    fn obsolete(&self, key: &Key, row: &Row) -> bool {
        match (key, row) {
            (Key::Bound(_), Row::Bound([newest, _])) => *newest < self.low,
            (Key::Seen { build, origin, .. }, _) => *build < self.low || self.retired.contains(origin),
            (Key::Spent { origin, .. }, _) => self.retired.contains(origin),
            _ => false,
        }
    }

    /// A life that is over for good: its counts go, and are not let in again. To be said once no member can still be
    /// in a cut with them, which is the host's to know.
    pub fn retire(&mut self, origin: u64) {
        while self.retired.len() >= MOST_RETIRED {
            self.retired.pop_first();
        }
        self.retired.insert(origin);
        self.sweep();
    }

    fn sweep(&mut self) {
        let against = (self.low, self.retired.len());
        if std::mem::replace(&mut self.swept, against) == against {
            return;
        }
        let old: Vec<Key> = [Table::Bindings, Table::Evidence, Table::Spent]
            .into_iter()
            .flat_map(|table| self.shelf.table(table))
            .filter(|(key, row)| self.obsolete(key, row))
            .map(|(key, _)| *key)
            .collect();
        old.iter().for_each(|key| self.shelf.forget(key));
    }

    /// Sums over all origins.
    pub fn seen(&self, build: u32, method: u16) -> (u64, u64) {
        let rows = self.shelf.table(Table::Evidence).filter_map(|(key, row)| match (key, row) {
            (Key::Seen { build: b, method: m, .. }, Row::Count(c)) if (*b, *m) == (build, method) => Some(*c),
            _ => None,
        });
        rows.fold((0, 0), |sum, c| (sum.0.saturating_add(c.all), sum.1.saturating_add(c.bad)))
    }

    pub fn event(&mut self, now: Ns, event: Event, act: &mut impl Act) {
        match event {
            Event::Begin => {
                self.next_round = now + self.drawn(ROUND);
            }
            Event::Peers(there) => self.are_there(there),
            Event::Letter { from, bytes } => match Word::read(bytes) {
                Some(word) => self.word(now, from, word, act),
                None => self.tolls.odd += 1,
            },
            Event::Woke => {}
        }
        self.dues(now, act);
    }

    fn drawn(&mut self, most: Ns) -> Ns {
        most / 2 + self.chance.random_range(0..=most / 2)
    }

    fn are_there(&mut self, there: &[Near]) {
        let ids: BTreeSet<u64> = there.iter().map(|n| n.id).collect();
        self.peers.retain(|id, _| ids.contains(id));
        for peer in there {
            self.peers.entry(peer.id).or_default().near = peer.near;
        }
        self.passed.retain(|id| ids.contains(id));
        self.unwhole.retain(|id| ids.contains(id));
        if self.pull.as_ref().is_some_and(|p| !ids.contains(&p.giver)) {
            self.leave_giver();
        }
    }

    fn all_whole(&mut self, act: &mut impl Act) {
        for table in TABLES {
            if self.whole.insert(table) {
                act.tell(Fact::Whole(table));
            }
        }
    }

    // Rows of others.

    fn rows(&mut self, rows: Rows, from: u64, act: &mut impl Act) {
        for (key, row, dot) in rows {
            if self.obsolete(&key, &row) {
                self.tolls.refused += 1;
                continue;
            }
            let taken = self.shelf.take(key, row, dot);
            self.refloor(&key);
            match taken {
                Taken::New => {
                    self.tolls.learnt += 1;
                    if let Some(peer) = self.peers.get_mut(&from) {
                        peer.fruitless = 0;
                    }
                    let row = self.shelf.get(&key).copied().unwrap_or(row);
                    act.tell(Fact::Learnt(key, row));
                }
                Taken::Differs => {
                    self.tolls.differs += 1;
                    act.tell(Fact::Differs(key));
                    let row = self.shelf.get(&key).copied().unwrap_or(row);
                    act.tell(Fact::Learnt(key, row));
                }
                Taken::Refused => self.tolls.refused += 1,
                Taken::Same | Taken::Less => {}
            }
        }
    }

    /// Letters full of rows; the first that was not sent any more, if any.
    fn send_rows(
        to: u64, rows: impl Iterator<Item = (Key, Row, Dot)>, wrap: impl Fn(Rows) -> Word, act: &mut impl Act,
    ) -> Option<Key> {
        let (mut letters, mut part, mut room) = (0, Rows::new(), FOR_ROWS);
        for row in rows {
            let long = size(&row);
            if long > room {
                if letters + 1 >= MOST_LETTERS {
                    act.send(to, &wrap(part).write());
                    return Some(row.0);
                }
                letters += 1;
                act.send(to, &wrap(std::mem::take(&mut part)).write());
                room = FOR_ROWS;
            }
            room -= long;
            part.push(row);
        }
        if !part.is_empty() {
            act.send(to, &wrap(part).write());
        }
        None
    }

    fn wholes(&self) -> [u64; 5] {
        TABLES.map(|table| self.shelf.whole(table))
    }

    /// Tells what we have, in parts.
    fn have(&mut self, to: u64, answer: bool, act: &mut impl Act) {
        let all: Vec<(u64, u64)> = self.shelf.versions.iter().map(|(o, s)| (*o, *s)).collect();
        let mut from = 0;
        let parts: Vec<&[(u64, u64)]> =
            if all.is_empty() { vec![&[][..]] } else { all.chunks(MOST_VERSIONS).collect() };
        for (i, part) in parts.iter().enumerate() {
            let until = parts.get(i + 1).and_then(|next| next.first()).map_or(u64::MAX, |next| next.0);
            act.send(to, &Word::Have { part: (from, until), versions: part.to_vec(), answer }.write());
            from = until;
        }
    }

    fn word(&mut self, now: Ns, from: u64, word: Word, act: &mut impl Act) {
        match word {
            Word::Hello { wholes } => {
                let ours = self.wholes();
                // What is about to come in chunks need not come as deltas too.
                if wholes == ours || !self.peers.contains_key(&from) || self.pulls() {
                    return;
                }
                let fruitless = match self.peers.get_mut(&from) {
                    Some(peer) => {
                        peer.fruitless += 1;
                        peer.fruitless
                    }
                    None => 0,
                };
                self.have(from, true, act);
                if fruitless > FRUITLESS {
                    let differ = TABLES.iter().zip(wholes.iter().zip(&ours)).filter(|(_, (a, b))| a != b);
                    for (table, _) in differ {
                        self.digests(from, *table, true, act);
                    }
                }
            }
            Word::Have { part, versions, answer } => {
                let theirs: BTreeMap<u64, u64> = versions.into_iter().collect();
                let ours: Vec<(u64, u64)> =
                    self.shelf.versions.range(part.0..).map(|(o, s)| (*o, *s)).collect();
                let ours: Vec<(u64, u64)> =
                    ours.into_iter().filter(|(o, _)| *o < part.1 || part.1 == u64::MAX).collect();
                let lacks = theirs.iter().any(|(o, s)| self.shelf.versions.get(o).copied().unwrap_or(0) < *s);
                let news: Vec<(u64, u64)> =
                    ours.into_iter().filter(|(o, s)| theirs.get(o).copied().unwrap_or(0) < *s).collect();
                if !news.is_empty() {
                    self.delta(from, &news, &theirs, act);
                }
                if answer && lacks {
                    self.have(from, false, act);
                }
            }
            Word::Delta { rows, up_to } => {
                self.rows(rows, from, act);
                if let Some(versions) = up_to {
                    self.shelf.advance(&versions.into_iter().collect());
                }
            }
            Word::Digests { table, digests, answer } => {
                if digests.len() != RANGES {
                    self.tolls.odd += 1;
                    return;
                }
                let differ: Vec<bool> =
                    (0..RANGES).map(|r| self.shelf.digest(table, r) != digests[r]).collect();
                if answer && differ.contains(&true) {
                    self.digests(from, table, false, act);
                }
                // A part of the table at a time, from where the last letter came to: to look through a million rows
                // at once would stand in the way of RPCs.
                let Some(peer) = self.peers.get(&from) else { return };
                let first = peer.looked.filter(|key| key.table() == table).unwrap_or(Key::least(table));
                let mut looked = self.shelf.from(first);
                let some = looked.by_ref().take(MOST_LOOKS).filter(|(key, ..)| differ[range(key)]);
                let some = some.map(|(key, row, dot)| (*key, *row, *dot));
                let stopped = Copies::send_rows(from, some, |rows| Word::Range { rows }, act);
                let next = stopped.or_else(|| looked.next().map(|(key, ..)| *key));
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.looked = next;
                }
            }
            Word::Range { rows } => self.rows(rows, from, act),
            Word::PullVersions { serial, from: first, any } => {
                if !self.gives(now, from, serial, any, TABLES.iter().all(|t| self.whole.contains(t)), act) {
                    return;
                }
                let mut rest = self.shelf.versions.range(first..);
                let versions: Vec<(u64, u64)> =
                    rest.by_ref().take(MOST_VERSIONS).map(|(o, s)| (*o, *s)).collect();
                let next = rest.next().map(|(origin, _)| *origin);
                act.send(from, &Word::Versions { serial, versions, next }.write());
            }
            Word::Pull { serial, from: first, any } => {
                if !self.gives(now, from, serial, any, self.whole.contains(&first.table()), act) {
                    return;
                }
                let (mut rows, mut room, mut next) = (Rows::new(), FOR_ROWS, None);
                for row in self.shelf.from(first).map(|(k, r, d)| (*k, *r, *d)) {
                    let long = size(&row);
                    if long > room {
                        next = Some(row.0);
                        break;
                    }
                    room -= long;
                    rows.push(row);
                }
                act.send(from, &Word::Chunk { serial, rows, next }.write());
            }
            Word::Versions { serial, versions, next } => {
                self.versions_came(now, from, serial, versions, next, act)
            }
            Word::Chunk { serial, rows, next } => self.chunk_came(now, from, serial, rows, next, act),
            Word::Busy { serial, whole } => {
                if self.pull.as_ref().is_some_and(|p| p.giver == from && p.serial == serial) {
                    if !whole {
                        self.unwhole.insert(from);
                    }
                    self.leave_giver();
                }
            }
        }
    }

    fn delta(&mut self, to: u64, news: &[(u64, u64)], theirs: &BTreeMap<u64, u64>, act: &mut impl Act) {
        for part in news.chunks(MOST_VERSIONS) {
            // Only the origins of this part are looked at: all others count as known.
            let mut seen = self.shelf.versions.clone();
            for (origin, _) in part {
                seen.insert(*origin, theirs.get(origin).copied().unwrap_or(0));
            }
            let rows = self.shelf.beyond(&seen).map(|(k, r, d)| (*k, *r, *d));
            if Copies::send_rows(to, rows, |rows| Word::Delta { rows, up_to: None }, act).is_none() {
                // The versions come last; where one of the letters before them was lost, digests find the row.
                act.send(to, &Word::Delta { rows: Vec::new(), up_to: Some(part.to_vec()) }.write());
            }
        }
    }

    fn digests(&mut self, to: u64, table: Table, answer: bool, act: &mut impl Act) {
        let digests = (0..RANGES).map(|r| self.shelf.digest(table, r)).collect();
        act.send(to, &Word::Digests { table, digests, answer }.write());
    }

    // Giving.

    fn gives(&mut self, now: Ns, to: u64, serial: u32, any: bool, whole: bool, act: &mut impl Act) -> bool {
        let (left, at) = self.budget;
        let left = (left + (now - at) as f64 / SEC as f64 * GIVES).min(GIVES / 10.0);
        let able = (whole || any) && left >= 1.0;
        self.budget = (if able { left - 1.0 } else { left }, now);
        if able {
            self.tolls.gave += 1;
        } else {
            self.tolls.busy += 1;
            act.send(to, &Word::Busy { serial, whole }.write());
        }
        able
    }

    // Catching up.

    /// Is it taking chunks?
    fn pulls(&self) -> bool {
        self.pull.as_ref().is_some_and(|p| p.giver != 0)
    }

    fn caught_up(&self) -> bool {
        self.whole.len() == TABLES.len()
    }

    fn ask(&mut self, now: Ns, act: &mut impl Act) {
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        let Some(pull) = self.pull.as_mut() else { return };
        (pull.serial, pull.asked, pull.rests) = (serial, now, None);
        let any = pull.any;
        let word = match pull.step {
            Step::Versions(from) => Word::PullVersions { serial, from, any },
            Step::Rows(from) => Word::Pull { serial, from, any },
        };
        let giver = pull.giver;
        act.send(giver, &word.write());
    }

    /// Whom to ask: near ones first, drawn; none that has been asked in vain since the last wait.
    fn giver(&mut self) -> Option<u64> {
        let fit = |id: &u64| !self.passed.contains(id) && !self.had.contains(id);
        let near: Vec<u64> =
            self.peers.iter().filter(|(id, p)| p.near && fit(id)).map(|(id, _)| *id).collect();
        let all: Vec<u64> = self.peers.keys().copied().filter(fit).collect();
        let from = if near.is_empty() { all } else { near };
        (!from.is_empty()).then(|| from[self.chance.random_range(0..from.len())])
    }

    /// This giver gives no more: another one goes on where it has come to.
    fn leave_giver(&mut self) {
        if let Some(pull) = self.pull.as_mut() {
            self.passed.insert(pull.giver);
            (pull.giver, pull.tries, pull.takes) = (0, 0, ANSWER.1);
        }
        // Of one that is not whole all is wanted, from its first row on.
        self.pull.take_if(|pull| pull.any);
        self.next_pull = 0;
    }

    fn catch_up(&mut self, now: Ns, act: &mut impl Act) {
        if self.told == 1 && !self.caught_up() {
            return self.all_whole(act);
        }
        if self.caught_up() || self.peers.is_empty() || now < self.next_pull {
            return;
        }
        if self.pulls() {
            return;
        }
        // Nobody of all the fronts that there are is whole: together they have all that is left.
        let others = self.told > 0 && self.peers.len() as u32 + 1 >= self.told;
        let none = others && self.peers.keys().all(|id| self.unwhole.contains(id) || self.had.contains(id));
        if none && self.pull.as_ref().is_none_or(|p| !p.any) {
            self.passed.clear();
            self.pull = None;
        }
        let Some(giver) = self.giver() else {
            if none && self.peers.keys().all(|id| self.had.contains(id)) {
                self.pull = None;
                return self.all_whole(act);
            }
            self.passed.clear();
            self.unwhole.clear();
            self.next_pull = now + self.drawn(self.wait);
            self.wait = (self.wait * 2).min(AGAIN.1);
            return;
        };
        match self.pull.as_mut() {
            // Another giver: its versions bound what may be said to be here, too.
            Some(pull) => {
                (pull.giver, pull.tries, pull.rests) = (giver, 0, None);
                pull.coming.clear();
            }
            None => {
                self.pull = Some(Pull {
                    giver,
                    step: Step::Versions(0),
                    serial: 0,
                    asked: now,
                    tries: 0,
                    rests: None,
                    takes: ANSWER.1,
                    any: none,
                    versions: None,
                    coming: BTreeMap::new(),
                });
            }
        }
        self.ask(now, act);
    }

    fn answered(&mut self, now: Ns, from: u64, serial: u32) -> bool {
        // One that comes doubled is of an ask that has its answer: while the next one waits, too.
        match self.pull.as_mut().filter(|p| p.giver == from && p.serial == serial && p.rests.is_none()) {
            Some(pull) => {
                pull.takes = (7 * pull.takes + (now - pull.asked)) / 8;
                pull.tries = 0;
                self.wait = AGAIN.0;
                true
            }
            None => false,
        }
    }

    fn versions_came(
        &mut self, now: Ns, from: u64, serial: u32, versions: Vec<(u64, u64)>, next: Option<u64>,
        act: &mut impl Act,
    ) {
        if !self.answered(now, from, serial) {
            return;
        }
        let Some(pull) = self.pull.as_mut() else { return };
        if !matches!(pull.step, Step::Versions(_)) {
            return;
        }
        pull.coming.extend(versions);
        match next {
            Some(origin) => pull.step = Step::Versions(origin),
            None => {
                pull.versions = Some(std::mem::take(&mut pull.coming));
                pull.step = Step::Rows(Key::least(TABLES[0]));
            }
        }
        self.ask(now, act);
    }

    fn chunk_came(
        &mut self, now: Ns, from: u64, serial: u32, rows: Rows, next: Option<Key>, act: &mut impl Act,
    ) {
        if !self.answered(now, from, serial) {
            return;
        }
        let Some(Pull { step: Step::Rows(first), any, .. }) = self.pull.as_ref() else { return };
        let (table, any) = (first.table(), *any);
        self.rows(rows, from, act);
        let at = TABLES.iter().position(|t| *t == table).unwrap_or(0);
        let step = match next {
            Some(key) if key.table() == table => Some(key),
            _ => {
                if !any && self.whole.insert(table) {
                    act.tell(Fact::Whole(table));
                }
                TABLES.get(at + 1).map(|t| Key::least(*t))
            }
        };
        match step {
            Some(key) => {
                if let Some(pull) = self.pull.as_mut() {
                    (pull.step, pull.rests) = (Step::Rows(key), Some(now + RESTS));
                }
            }
            None => {
                let pull = self.pull.take();
                // What one giver had when it began is here; of several, none is known to have given all of its own.
                if let Some(versions) =
                    pull.and_then(|p| p.versions).filter(|_| !any && self.passed.is_empty())
                {
                    self.shelf.advance(&versions);
                }
                if any {
                    self.had.insert(from);
                }
            }
        }
    }

    // What is due.

    fn dues(&mut self, now: Ns, act: &mut impl Act) {
        let late = self.pull.as_ref().filter(|p| p.giver != 0 && now >= p.again());
        let late = late.map(|p| (p.tries, p.rests.is_some()));
        match late {
            Some((_, true)) => self.ask(now, act),
            Some((tries, _)) if tries + 1 >= TRIES => self.leave_giver(),
            Some(_) => {
                if let Some(pull) = self.pull.as_mut() {
                    pull.tries += 1;
                }
                self.ask(now, act);
            }
            None => {}
        }
        self.catch_up(now, act);
        if now >= self.next_round {
            self.next_round = now + self.drawn(ROUND);
            self.rounds = self.rounds.wrapping_add(1);
            if self.rounds.is_multiple_of(SWEEPS) {
                self.sweep();
            }
            let all: Vec<u64> = self.peers.keys().copied().collect();
            if !all.is_empty() && !self.pulls() {
                let to = all[self.chance.random_range(0..all.len())];
                act.send(to, &Word::Hello { wholes: self.wholes() }.write());
            }
        }
        let pull = match &self.pull {
            Some(p) if p.giver != 0 => p.again(),
            _ if self.caught_up() || self.peers.is_empty() => Ns::MAX,
            _ => self.next_pull.max(now + MS),
        };
        let at = self.next_round.min(pull).max(now + MS);
        // One timer is out at a time: one for each letter would breed.
        if self.wakes <= now || at < self.wakes {
            self.wakes = at;
            act.wake_at(at);
        }
    }
}
