//! One keeper.
//!
//! **A keeper that comes up** knows nothing for sure: its folder may be older than what it acknowledged. Of n keepers, any
//! majority that it was part of has one among any n - majority + 1 of the others; so it asks all what they hold, and waits for
//! so many. What the furthest of them holds, or has its acknowledgement for, is its *floor*: it votes for nobody below, stands
//! for nothing below, and not in the terms they know. A leader that knows this life, and has brought it to all that it counts as
//! agreed, lifts the floor. Acknowledgements of a former life count for nothing. One of three that was away for good thus has to
//! be replaced before another one restarts; of five, one may be away.
use crate::log::{Folder, Keep, Log, Snapshot};
use crate::words::{Entry, Letter, Mark, What, Word, MOST_BATCH, MOST_BODY};
use crate::{Ns, Refused, MOST_KEEPERS, MS, SEC};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Entries behind what is agreed that a leader takes; more calls are pushed back.
const MOST_OPEN: u64 = 1024;
/// Sessions; at the bound the one not called for longest is forgotten, the same at all keepers.
const MOST_SESSIONS: usize = 4096;
/// Letters that wait for a disk; at the bound the oldest is lost, as on a net.
const MOST_WAITING: usize = 256;

/// How fast it goes.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// A leader is heard so often, and a lead is missed after one to two elections' time.
    pub beat: Ns,
    pub election: Ns,
    /// Entries and bytes behind a snapshot before the next is made.
    pub entries: usize,
    pub bytes: usize,
}

impl Default for Pace {
    /// Raft's paper counts on elections of ten times a beat and more.
    fn default() -> Pace {
        Pace { beat: 100 * MS, election: SEC, entries: 8192, bytes: 4 * 1024 * 1024 }
    }
}

pub enum Event<'a> {
    Begin,
    Letter {
        from: u32,
        bytes: &'a [u8],
    },
    Woke,
    /// What was numbered so is on disk, synced, and all before it.
    Kept(u64),
    /// A sync failed: nothing is trusted until the folder was opened anew, by another `Ledger`.
    Unkept,
    /// Answered under the ticket, perhaps much later.
    Open {
        ticket: u64,
    },
    Call {
        ticket: u64,
        session: u64,
        serial: u64,
        body: &'a [u8],
    },
    Keepers {
        ticket: u64,
        keepers: &'a [u32],
    },
}

pub trait Act {
    fn send(&mut self, to: u32, bytes: &[u8]);
    /// Wants an [`Event::Woke`] then; an earlier wish stands besides.
    fn wake_at(&mut self, at: Ns);
    /// To be put on disk and synced, in order, each as a whole; then [`Event::Kept`].
    fn keep(&mut self, number: u64, keep: Keep);
    /// An agreed call, once, in the order of all; gives its answer.
    fn apply(&mut self, index: u64, body: &[u8]) -> Vec<u8>;
    /// The state that calls have made, and the same put back.
    fn snapshot(&mut self) -> Vec<u8>;
    fn restore(&mut self, bytes: &[u8]);
    fn answer(&mut self, ticket: u64, answer: Result<Vec<u8>, Refused>);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Came up, and doesn't know yet what it had acknowledged.
    Unsure,
    Follower,
    /// Would stand, if asked; stands.
    Canvasses,
    Candidate,
    Leader,
    /// Its disk failed.
    Stopped,
}

/// What operators are shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    pub role: Role,
    pub term: u64,
    pub leader: Option<u32>,
    pub keepers: Vec<u32>,
    pub last: Mark,
    pub agreed: u64,
    pub applied: u64,
    /// It votes for nobody below this.
    pub floor: Mark,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Session {
    serial: u64,
    answer: Vec<u8>,
    /// The index of its last call.
    used: u64,
}

/// What a leader knows of another keeper.
#[derive(Clone, Debug, Default)]
struct Other {
    life: u64,
    next: u64,
    matched: u64,
    heard: Ns,
    /// A snapshot is under way: what it has of it.
    chunk: Option<(Mark, u64)>,
}

pub struct Ledger {
    me: u32,
    life: u64,
    pace: Pace,
    chance: StdRng,
    role: Role,
    term: u64,
    vote: Option<u32>,
    log: Log,
    agreed: u64,
    applied: u64,
    leader: Option<u32>,
    /// The lead was last heard; what is due, an election or a beat.
    heard: Ns,
    due: Ns,
    /// The one wish to be woken that stands: a wish for each letter would breed timers.
    wished: Ns,
    votes: BTreeSet<u32>,
    others: BTreeMap<u32, Other>,
    floor: Mark,
    /// Of those that answered the question after a start.
    told: BTreeMap<u32, Mark>,
    /// Who keeps the log, by the newest entry that it or they know; and that entry's index.
    circle: (Vec<u32>, u64),
    sessions: BTreeMap<u64, Session>,
    tickets: BTreeMap<u64, u64>,
    /// A snapshot that comes in parts.
    coming: Option<(Mark, Vec<u8>)>,
    /// Kept on disk: numbers given and said to be done, what they hold of the log, what waits for them.
    number: u64,
    done: u64,
    ends: VecDeque<(u64, u64, Ns)>,
    synced: u64,
    waiting: VecDeque<(u64, u32, Letter)>,
    dirty: Option<Keep>,
}

impl Ledger {
    /// Comes up with what its folder holds; `first` are the keepers that a log begins with.
    pub fn new(me: u32, life: u64, seed: u64, first: &[u32], pace: Pace, folder: Folder) -> Ledger {
        let Folder { term, vote, mut snapshot, entries } = folder;
        if snapshot.at == Mark::default() {
            snapshot.keepers = first.to_vec();
        }
        let log = Log::new(snapshot, entries);
        let synced = log.last().index;
        let circle = (log.keepers().0.to_vec(), log.keepers().1);
        Ledger {
            me,
            life,
            pace,
            chance: StdRng::seed_from_u64(seed),
            role: Role::Unsure,
            term,
            vote,
            agreed: 0,
            applied: 0,
            log,
            leader: None,
            heard: Ns::MIN / 2,
            due: 0,
            wished: Ns::MIN,
            votes: BTreeSet::new(),
            others: BTreeMap::new(),
            floor: Mark::default(),
            told: BTreeMap::new(),
            circle,
            sessions: BTreeMap::new(),
            tickets: BTreeMap::new(),
            coming: None,
            number: 0,
            done: 0,
            ends: VecDeque::new(),
            synced,
            waiting: VecDeque::new(),
            dirty: None,
        }
    }

    pub fn view(&self) -> View {
        View {
            role: self.role,
            term: self.term,
            leader: self.leader,
            keepers: self.log.keepers().0.to_vec(),
            last: self.log.last(),
            agreed: self.agreed,
            applied: self.applied,
            floor: self.floor,
        }
    }

    pub fn event(&mut self, now: Ns, event: Event, act: &mut impl Act) {
        if self.role == Role::Stopped {
            return self.refuse(event, act);
        }
        match event {
            Event::Begin => self.begin(now, act),
            Event::Letter { from, bytes } => {
                if let Some(letter) = Letter::read(bytes) {
                    self.letter(now, from, letter, act);
                }
            }
            Event::Woke => self.woke(now, act),
            Event::Kept(number) => self.kept(number),
            Event::Unkept => {
                self.fall(now, self.term, None, act);
                self.role = Role::Stopped;
                self.waiting.clear();
                return;
            }
            Event::Open { ticket } => self.call(ticket, What::Open, act),
            Event::Call { ticket, body, .. } if body.len() > MOST_BODY => {
                act.answer(ticket, Err(Refused::Long(body.len())));
            }
            Event::Call { ticket, session, serial, body } => {
                self.call(ticket, What::Call { session, serial, body: body.to_vec() }, act);
            }
            Event::Keepers { ticket, keepers } => self.change(ticket, keepers, act),
        }
        self.count();
        self.apply(now, act);
        self.flush(now, act);
    }

    fn refuse(&self, event: Event, act: &mut impl Act) {
        if let Event::Open { ticket } | Event::Call { ticket, .. } | Event::Keepers { ticket, .. } = event {
            act.answer(ticket, Err(Refused::Elsewhere(None)));
        }
    }

    fn majority(&self) -> usize {
        self.log.keepers().0.len() / 2 + 1
    }

    fn peers(&self) -> Vec<u32> {
        self.log.keepers().0.iter().copied().filter(|k| *k != self.me).collect()
    }

    fn begin(&mut self, now: Ns, act: &mut impl Act) {
        let snapshot = self.log.snapshot.clone();
        if snapshot.at.index > 0 {
            self.restore(&snapshot, act);
        }
        self.ask_all(now, act);
    }

    /// What did I acknowledge? Asked again each beat.
    fn ask_all(&mut self, now: Ns, act: &mut impl Act) {
        for to in self.circle.0.iter().filter(|k| **k != self.me) {
            self.say(*to, Word::Hello { life: self.life }, act);
        }
        self.due = now + self.pace.beat;
        self.wish(now, act);
        self.grow_sure(now, act);
    }

    /// So many of the others that any majority with this keeper in it has one among them.
    fn grow_sure(&mut self, now: Ns, act: &mut impl Act) {
        let peers: Vec<u32> = self.circle.0.iter().copied().filter(|k| *k != self.me).collect();
        let enough = (self.circle.0.len() - self.circle.0.len() / 2).min(peers.len());
        if self.role != Role::Unsure || self.told.keys().filter(|k| peers.contains(k)).count() < enough {
            return;
        }
        self.floor = self.told.values().copied().max().unwrap_or_default();
        if !peers.is_empty() {
            // A vote of this term may have been given and forgotten.
            self.vote = self.vote.or(Some(self.me));
            self.mark_dirty();
        }
        self.role = Role::Follower;
        self.wait(now, act);
    }

    /// Waits for a lead for one to two elections' time.
    fn wait(&mut self, now: Ns, act: &mut impl Act) {
        self.due = now + self.pace.election + self.chance.random_range(0..self.pace.election.max(1));
        self.wish(now, act);
    }

    fn wish(&mut self, now: Ns, act: &mut impl Act) {
        if self.wished <= now || self.due < self.wished {
            self.wished = self.due;
            act.wake_at(self.due);
        }
    }

    fn woke(&mut self, now: Ns, act: &mut impl Act) {
        if now < self.due {
            return self.wish(now, act);
        }
        match self.role {
            Role::Unsure => self.ask_all(now, act),
            Role::Leader => self.beat(now, act),
            Role::Follower | Role::Canvasses | Role::Candidate => {
                self.wait(now, act);
                let stands = self.log.keepers().0.contains(&self.me) && self.log.last() >= self.floor;
                if stands {
                    self.leader = None;
                    self.stand(now, true, act);
                }
            }
            Role::Stopped => {}
        }
    }

    /// Asks for votes; first (`pre`) whether they would be given, so that one that was cut off disturbs no lead.
    fn stand(&mut self, now: Ns, pre: bool, act: &mut impl Act) {
        self.votes = BTreeSet::from([self.me]);
        self.role = if pre { Role::Canvasses } else { Role::Candidate };
        if !pre {
            (self.term, self.vote) = (self.term + 1, Some(self.me));
            self.mark_dirty();
        }
        let term = self.term + u64::from(pre);
        let word = Word::Ask { pre, last: self.log.last() };
        for to in self.peers() {
            self.promise(to, Letter { term, word: word.clone() });
        }
        self.won(now, act);
    }

    fn won(&mut self, now: Ns, act: &mut impl Act) {
        let keepers = self.log.keepers().0;
        if self.votes.iter().filter(|v| keepers.contains(v)).count() < self.majority() {
            return;
        }
        if self.role == Role::Canvasses {
            return self.stand(now, false, act);
        }
        // Its own vote counts once it is on disk.
        if self.role == Role::Candidate && (self.done == self.number && self.dirty.is_none()) {
            self.lead(now, act);
        }
    }

    fn lead(&mut self, now: Ns, act: &mut impl Act) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.floor = Mark::default();
        self.synced = self.log.last().index;
        let next = self.log.last().index + 1;
        for other in self.others.values_mut() {
            *other = Other { life: other.life, next, heard: now, ..Other::default() };
        }
        self.push(What::Nothing);
        self.beat(now, act);
    }

    fn beat(&mut self, now: Ns, act: &mut impl Act) {
        let peers = self.peers();
        self.others.retain(|k, _| peers.contains(k));
        let next = self.log.last().index + 1;
        for k in &peers {
            self.others.entry(*k).or_insert(Other { next, heard: now, ..Other::default() });
        }
        // A lead that a majority does not hear any more, or whose disk hangs, is none.
        let fresh = |at: Ns| now - at < self.pace.election;
        let heard = 1 + peers.iter().filter(|k| fresh(self.others[k].heard)).count();
        let hangs = self.ends.front().is_some_and(|(.., at)| !fresh(*at));
        if heard < self.majority() || hangs {
            return self.fall(now, self.term, None, act);
        }
        for to in peers {
            self.feed(to, act);
        }
        self.due = now + self.pace.beat;
        self.wish(now, act);
    }

    /// What this one does not have yet: entries, or the snapshot that they went into.
    fn feed(&mut self, to: u32, act: &mut impl Act) {
        let Some(other) = self.others.get(&to) else { return };
        let Some(before) = self.log.mark(other.next.max(1) - 1) else {
            let at = self.log.snapshot.at;
            let offset = other.chunk.filter(|(of, _)| *of == at).map_or(0, |(_, offset)| offset);
            let whole = self.snapshot_text();
            let part = &whole[(offset as usize).min(whole.len())..];
            let part = part[..part.len().min(MOST_BATCH)].to_vec();
            let word = Word::Chunk { at, whole: whole.len() as u64, offset, bytes: part };
            return self.say(to, word, act);
        };
        let (entries, life) = (self.log.batch(other.next), other.life);
        self.say(to, Word::Append { before, entries, commit: self.agreed, life }, act);
    }

    /// The snapshot as it goes over the net: its keepers, then its bytes.
    fn snapshot_text(&self) -> Vec<u8> {
        let Snapshot { keepers, bytes, .. } = &self.log.snapshot;
        postcard::to_stdvec(&(keepers, bytes)).unwrap_or_default()
    }

    /// Follows, in this term or a newer one.
    fn fall(&mut self, now: Ns, term: u64, leader: Option<u32>, act: &mut impl Act) {
        if term > self.term {
            (self.term, self.vote) = (term, None);
            self.mark_dirty();
        }
        if self.role == Role::Leader {
            for ticket in std::mem::take(&mut self.tickets).into_values() {
                act.answer(ticket, Err(Refused::Unknown));
            }
        }
        self.leader = leader;
        if self.role != Role::Unsure {
            self.role = Role::Follower;
            self.wait(now, act);
        }
    }

    fn letter(&mut self, now: Ns, from: u32, letter: Letter, act: &mut impl Act) {
        let Letter { term, word } = letter;
        // What is asked before standing, and its answer, move no term.
        let pre = matches!(word, Word::Ask { pre: true, .. } | Word::Vote { pre: true, granted: true });
        // Nor does one that stands while a lead is heard: it was cut off, and may not be a keeper any more.
        let stands = matches!(word, Word::Ask { .. });
        let led = self.role == Role::Leader || now - self.heard < self.pace.election;
        if stands && led && !(self.role != Role::Leader && self.leader == Some(from)) {
            return;
        }
        if term > self.term && !pre {
            self.fall(now, term, None, act);
        }
        match word {
            Word::Hello { life } => self.hello(from, life),
            Word::Recall { life, last, keepers, since } if life == self.life && self.role == Role::Unsure => {
                if self.circle.0.contains(&from) {
                    self.told.insert(from, last);
                }
                if since > self.circle.1 && !keepers.is_empty() {
                    self.circle = (keepers, since);
                }
                self.grow_sure(now, act);
            }
            Word::Recall { .. } => {}
            Word::Ask { pre, last } => self.asked(now, from, term, pre, last, act),
            Word::Vote { pre, granted } => {
                let asked = match self.role {
                    Role::Canvasses => pre && term == self.term + 1,
                    Role::Candidate => !pre && term == self.term,
                    _ => false,
                };
                if asked && granted {
                    self.votes.insert(from);
                    self.won(now, act);
                }
            }
            // A former lead is told of the term by any answer.
            Word::Append { life, .. } if term < self.term => {
                self.say(from, Word::Held { holds: false, upto: 0, life }, act);
            }
            Word::Chunk { .. } if term < self.term => {}
            Word::Append { before, entries, commit, life } => {
                self.led(now, from, act);
                self.append(from, before, entries, commit, life, act);
            }
            Word::Chunk { at, whole, offset, bytes } => {
                self.led(now, from, act);
                self.chunk(from, at, whole, offset, &bytes, act);
            }
            Word::Held { holds, upto, life } => self.held(now, term, from, holds, upto, life, act),
            Word::Got { at, offset } => {
                if let Some(other) = self.others.get_mut(&from).filter(|_| self.role == Role::Leader) {
                    (other.heard, other.chunk) = (now, Some((at, offset)));
                    self.feed(from, act);
                }
            }
        }
    }

    fn hello(&mut self, from: u32, life: u64) {
        // Against names without number: keepers are few.
        if self.others.len() >= 4 * MOST_KEEPERS && !self.others.contains_key(&from) {
            return;
        }
        let last = self.log.last();
        let other = self.others.entry(from).or_default();
        // What its former life acknowledged is its floor, and counts for nothing more here.
        if other.life != life {
            *other = Other { life, next: last.index + 1, heard: other.heard, ..Other::default() };
        }
        let (keepers, since) = self.log.keepers();
        let word = Word::Recall { life, last, keepers: keepers.to_vec(), since };
        // It relies on what is told here, so that is on disk first.
        self.promise(from, Letter { term: self.term, word });
    }

    fn asked(&mut self, now: Ns, from: u32, term: u64, pre: bool, last: Mark, act: &mut impl Act) {
        let newer = last >= self.log.last() && last >= self.floor;
        let free = if pre { term > self.term } else { self.vote.is_none_or(|v| v == from) };
        let granted = newer && free && term >= self.term && self.role != Role::Unsure;
        if granted && !pre {
            self.vote = Some(from);
            self.mark_dirty();
            self.wait(now, act);
        }
        let term = if granted { term } else { self.term };
        self.promise(from, Letter { term, word: Word::Vote { pre, granted } });
    }

    /// Hears of this term's lead.
    fn led(&mut self, now: Ns, from: u32, act: &mut impl Act) {
        self.fall(now, self.term, Some(from), act);
        self.heard = now;
    }

    fn append(
        &mut self, from: u32, before: Mark, entries: Vec<Entry>, commit: u64, life: u64, act: &mut impl Act,
    ) {
        if life != self.life {
            self.say(from, Word::Hello { life: self.life }, act);
        }
        // It may have promised more to a later lead, and lost that.
        if self.role == Role::Unsure {
            return;
        }
        let answer = |holds, upto, life| Word::Held { holds, upto, life };
        // What is agreed here is the same everywhere: it may stand before the snapshot.
        let known = before.index <= self.agreed || self.log.mark(before.index) == Some(before);
        let letter = if known {
            let upto = before.index + entries.len() as u64;
            for (index, entry) in (before.index + 1..).zip(entries) {
                if index <= self.agreed || self.log.get(index).is_some_and(|own| own.term == entry.term) {
                    continue;
                }
                if index <= self.log.last().index {
                    self.cut(index);
                }
                self.push_entry(entry);
            }
            self.agreed = self.agreed.max(commit.min(upto));
            // A leader that counts nothing of a former life has brought this one to all that is agreed.
            if life == self.life && commit <= upto {
                self.floor = Mark::default();
            }
            answer(true, upto, self.life)
        } else {
            answer(false, self.log.last().index.min(before.index - 1), self.life)
        };
        self.promise(from, Letter { term: self.term, word: letter });
    }

    #[allow(clippy::too_many_arguments)]
    fn held(&mut self, now: Ns, term: u64, from: u32, holds: bool, upto: u64, life: u64, act: &mut impl Act) {
        if self.role != Role::Leader || term != self.term {
            return;
        }
        let last = self.log.last().index;
        let Some(other) = self.others.get_mut(&from) else { return };
        other.heard = now;
        // A former life counts for nothing; one that is not known yet is taken as told.
        if other.life != life && other.life != 0 {
            return;
        }
        other.life = life;
        if holds {
            other.matched = other.matched.max(upto.min(last));
            other.next = other.next.max(other.matched + 1);
            other.chunk = None;
        } else {
            other.next = (upto + 1).clamp(other.matched + 1, last + 1);
        }
        if other.next <= last {
            self.feed(from, act);
        }
    }

    fn chunk(&mut self, from: u32, at: Mark, whole: u64, offset: u64, bytes: &[u8], act: &mut impl Act) {
        if self.role == Role::Unsure {
            return;
        }
        if at.index <= self.agreed {
            let word = Word::Held { holds: true, upto: at.index, life: self.life };
            return self.promise(from, Letter { term: self.term, word });
        }
        if self.coming.as_ref().is_none_or(|(of, _)| *of != at) {
            self.coming = Some((at, Vec::new()));
        }
        let Some((_, text)) = &mut self.coming else { return };
        if text.len() as u64 == offset && (text.len() + bytes.len()) as u64 <= whole {
            text.extend_from_slice(bytes);
        }
        if (text.len() as u64) < whole {
            let offset = text.len() as u64;
            return self.say(from, Word::Got { at, offset }, act);
        }
        let read = postcard::from_bytes::<(Vec<u32>, Vec<u8>)>(text);
        self.coming = None;
        let Ok((keepers, bytes)) = read else { return };
        let snapshot = Snapshot { at, keepers, bytes };
        self.restore(&snapshot, act);
        self.log.replace(snapshot.clone());
        let from_index = self.log.last().index + 1;
        let keep = self.keep();
        keep.snapshot = Some(snapshot);
        if keep.from == 0 || keep.from > from_index {
            (keep.from, keep.entries) = (from_index, Vec::new());
        }
        let word = Word::Held { holds: true, upto: at.index, life: self.life };
        self.promise(from, Letter { term: self.term, word });
    }

    fn restore(&mut self, snapshot: &Snapshot, act: &mut impl Act) {
        let (sessions, state) =
            postcard::from_bytes::<(BTreeMap<u64, Session>, Vec<u8>)>(&snapshot.bytes).unwrap_or_default();
        self.sessions = sessions;
        act.restore(&state);
        self.applied = snapshot.at.index;
        self.agreed = self.agreed.max(snapshot.at.index);
    }

    /// A leader counts who holds what, itself once its disk has it; only an entry of its own term agrees those before it.
    fn count(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let keepers = self.log.keepers().0;
        let mut held: Vec<u64> = keepers
            .iter()
            .map(|k| if *k == self.me { self.synced } else { self.others.get(k).map_or(0, |o| o.matched) })
            .collect();
        held.sort_unstable();
        let upto = held[held.len() - self.majority()];
        if upto > self.agreed && self.log.mark(upto).is_some_and(|m| m.term == self.term) {
            self.agreed = upto;
        }
    }

    fn apply(&mut self, now: Ns, act: &mut impl Act) {
        while self.applied < self.agreed {
            let index = self.applied + 1;
            let Some(entry) = self.log.get(index).cloned() else { break };
            let answer = match entry.what {
                What::Nothing | What::Keepers(_) => Ok(Vec::new()),
                What::Open => {
                    self.sessions.insert(index, Session { used: index, ..Session::default() });
                    if self.sessions.len() > MOST_SESSIONS {
                        let oldest = self.sessions.iter().min_by_key(|(_, s)| s.used).map(|(id, _)| *id);
                        oldest.and_then(|id| self.sessions.remove(&id));
                    }
                    Ok(index.to_be_bytes().to_vec())
                }
                What::Call { session, serial, body } => match self.sessions.get_mut(&session) {
                    None => Err(Refused::NoSession),
                    Some(known) if serial < known.serial => Err(Refused::Old),
                    Some(known) => {
                        if serial > known.serial {
                            *known = Session { serial, answer: act.apply(index, &body), used: index };
                        }
                        Ok(known.answer.clone())
                    }
                },
            };
            self.applied = index;
            if let Some(ticket) = self.tickets.remove(&index) {
                act.answer(ticket, answer);
            }
        }
        // One that is no keeper by what is agreed leads no more.
        let (keepers, since) = self.log.keepers();
        if self.role == Role::Leader && since <= self.agreed && !keepers.contains(&self.me) {
            self.fall(now, self.term, None, act);
        }
        if self.log.len() > self.pace.entries || self.log.bytes > self.pace.bytes {
            self.pack(act);
        }
    }

    /// All that is applied becomes a snapshot.
    fn pack(&mut self, act: &mut impl Act) {
        let Some(at) = self.log.mark(self.applied).filter(|at| at.index > self.log.snapshot.at.index) else {
            return;
        };
        let bytes = postcard::to_stdvec(&(&self.sessions, act.snapshot())).unwrap_or_default();
        let snapshot = Snapshot { at, keepers: self.log.keepers_at(at.index), bytes };
        self.log.replace(snapshot.clone());
        self.keep().snapshot = Some(snapshot);
    }

    fn call(&mut self, ticket: u64, what: What, act: &mut impl Act) {
        if self.role != Role::Leader {
            return act.answer(ticket, Err(Refused::Elsewhere(self.leader)));
        }
        if self.log.last().index - self.agreed >= MOST_OPEN {
            return act.answer(ticket, Err(Refused::Busy));
        }
        self.push(what);
        self.tickets.insert(self.log.last().index, ticket);
        for to in self.peers() {
            let news = self.others.get(&to).is_some_and(|o| o.next == self.log.last().index);
            if news {
                self.feed(to, act);
                if let Some(other) = self.others.get_mut(&to) {
                    other.next += 1;
                }
            }
        }
    }

    fn change(&mut self, ticket: u64, keepers: &[u32], act: &mut impl Act) {
        if self.role != Role::Leader {
            return act.answer(ticket, Err(Refused::Elsewhere(self.leader)));
        }
        let (now, since) = self.log.keepers();
        let (now, new): (BTreeSet<u32>, BTreeSet<u32>) =
            (now.iter().copied().collect(), keepers.iter().copied().collect());
        let one = now.symmetric_difference(&new).count() == 1;
        // The last change is agreed, and something of this term is: else two changes may be under way.
        let settled = since <= self.agreed && self.log.mark(self.agreed).is_some_and(|m| m.term == self.term);
        if !one || !settled || new.is_empty() || new.len() > MOST_KEEPERS {
            return act.answer(ticket, Err(Refused::Change));
        }
        self.push(What::Keepers(new.into_iter().collect()));
        self.tickets.insert(self.log.last().index, ticket);
    }

    fn push(&mut self, what: What) {
        let entry = Entry { term: self.term, what };
        self.push_entry(entry);
    }

    fn push_entry(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        let index = self.log.last().index;
        let keep = self.keep();
        if keep.from == 0 {
            keep.from = index;
        }
        keep.entries.push(entry);
    }

    fn cut(&mut self, from: u64) {
        self.log.cut(from);
        self.synced = self.synced.min(from - 1);
        let keep = self.keep();
        if keep.from == 0 || keep.from > from {
            (keep.from, keep.entries) = (from, Vec::new());
        } else {
            keep.entries.truncate((from - keep.from) as usize);
        }
    }

    fn keep(&mut self) -> &mut Keep {
        self.dirty.get_or_insert_with(Keep::default)
    }

    fn mark_dirty(&mut self) {
        self.keep();
    }

    /// What this event changed goes to the disk as one, and what relies on it waits.
    fn flush(&mut self, now: Ns, act: &mut impl Act) {
        if let Some(mut keep) = self.dirty.take() {
            (keep.term, keep.vote) = (self.term, self.vote);
            self.number += 1;
            self.ends.push_back((self.number, self.log.last().index, now));
            act.keep(self.number, keep);
        }
        for (number, ..) in self.waiting.iter_mut().filter(|(number, ..)| *number == u64::MAX) {
            *number = self.number;
        }
        while self.waiting.front().is_some_and(|(number, ..)| *number <= self.done) {
            if let Some((_, to, letter)) = self.waiting.pop_front() {
                act.send(to, &letter.write());
            }
        }
        if self.role == Role::Candidate {
            self.won(now, act);
            if self.dirty.is_some() {
                self.flush(now, act);
            }
        }
    }

    fn kept(&mut self, number: u64) {
        self.done = self.done.max(number);
        while let Some((_, last, _)) = self.ends.front().copied().filter(|(n, ..)| *n <= self.done) {
            self.ends.pop_front();
            self.synced = last.min(self.log.last().index);
        }
    }

    /// A letter that others rely on: sent once all that was changed before it is on disk.
    fn promise(&mut self, to: u32, letter: Letter) {
        if self.waiting.len() >= MOST_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back((u64::MAX, to, letter));
    }

    fn say(&self, to: u32, word: Word, act: &mut impl Act) {
        act.send(to, &Letter { term: self.term, word }.write());
    }
}
