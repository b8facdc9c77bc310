//! The state machine of membership.
use crate::record::{Record, Status, MOST_TURN};
use crate::words::{Letter, News, Word, MOST_LETTER, MOST_NEWS};
use crate::{Ns, MS, SEC};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Most members, dead ones among them: at the bound those longest gone are forgotten, then no new one is taken.
pub const MOST_MEMBERS: usize = 10_000;
/// Probes of others that this one carries out at once; more are not taken.
const MOST_ERRANDS: usize = 64;
/// Helpers of a probe that got no ack: SWIM's k; at 30% loss each way three leave one probe in sixteen without an ack.
const HELPERS: usize = 3;
/// Others that a refutation goes to at once.
const REFUTES: usize = 12;
/// Confirmations by others that bring a suspicion to its shortest time (Lifeguard's K).
const CONFIRMS: usize = 3;
/// Most of the count of one's own troubles (Lifeguard's S): probes are up to nine times as slow and patient.
const MOST_TROUBLES: u32 = 8;
/// Records that were gone are asked for again, now and then: a cut that ends must be found to have ended.
const RETRY_GONE: u32 = 5;
/// A name that another life contests so often within `CONTEST` is taken by two living processes.
const MOST_CONTESTS: u32 = 4;
const CONTEST: Ns = 60 * SEC;

/// How fast it all goes.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// One member is probed a period.
    pub period: Ns,
    /// An ack is waited for so long before others are asked to help.
    pub ack: Ns,
    /// A suspicion lasts this many periods times the logarithm of the members, before it is confirmed by others
    /// `longest` times as long (Lifeguard's alpha and beta).
    pub suspicion: f64,
    pub longest: f64,
    /// Each record is passed on this often, times the logarithm of the members.
    pub spread: f64,
    /// A whole exchange with one drawn member.
    pub exchange: Ns,
    /// Gone and left ones are remembered for so long.
    pub remember: Ns,
}

impl Default for Pace {
    /// Lifeguard's own settings, for like figures.
    fn default() -> Pace {
        Pace {
            period: SEC,
            ack: SEC / 2,
            suspicion: 5.0,
            longest: 6.0,
            spread: 4.0,
            exchange: 30 * SEC,
            remember: 3_600 * SEC,
        }
    }
}

/// This process's own place.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub at: SocketAddr,
    /// Drawn at each start, so that a return under the name is seen as one.
    pub life: u64,
    pub seed: u64,
    /// Addresses to begin with.
    pub join: Vec<SocketAddr>,
    /// Fronts that the settings tell of.
    pub told: u32,
}

pub enum Event<'a> {
    Begin,
    Letter {
        from: SocketAddr,
        bytes: &'a [u8],
    },
    Woke,
    /// Goes, and says so.
    Leave,
}

pub trait Act {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]);
    /// Wants an [`Event::Woke`] then; an earlier wish stands besides.
    fn wake_at(&mut self, at: Ns);
    fn tell(&mut self, change: Change);
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Is there: new, returned, or a suspicion was refuted.
    There(Record),
    Suspected(Record),
    Gone(Record),
    Left(Record),
    /// Another living process bears this one's name, and keeps it: this one is silent from now on.
    NameTaken(Record),
}

struct Member {
    record: Record,
    /// Since when it stands so.
    since: Ns,
    suspicion: Option<Suspicion>,
}

struct Suspicion {
    ends: Ns,
    /// By whom, as marks of names.
    by: BTreeSet<u32>,
}

/// The probe that is out.
struct Probe {
    name: String,
    serial: u32,
    /// Others are asked to help then; the period ends then.
    helps: Ns,
    ends: Ns,
    helped: bool,
    /// Helpers that have not said that they are there.
    silent: usize,
}

/// A probe on another's behalf.
struct Errand {
    to: SocketAddr,
    theirs: u32,
    nacks: Ns,
    ends: Ns,
    nacked: bool,
}

pub struct Members {
    place: Place,
    pace: Pace,
    chance: StdRng,
    turn: u32,
    all: BTreeMap<String, Member>,
    /// Names under suspicion.
    suspects: BTreeSet<String>,
    /// Names to probe, in a drawn order; begun anew when it has been gone through.
    round: Vec<String>,
    serial: u32,
    probe: Option<Probe>,
    /// When the next one begins.
    next: Ns,
    errands: HashMap<u32, Errand>,
    /// Names whose record is to be passed on, how often it has been, and who suspects.
    news: BTreeMap<String, (u32, u32)>,
    /// Lifeguard's count of what went wrong here.
    troubles: u32,
    exchange: Ns,
    /// When it wanted to be woken next.
    wakes: Ns,
    periods: u32,
    contests: (u32, Ns),
    silent: bool,
    /// Suspicions that were refuted here, and letters that made no sense.
    pub refuted: u64,
    pub odd: u64,
}

/// A name's mark, in a suspicion's list of who has it.
fn mark(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

impl Members {
    pub fn new(place: Place, pace: Pace) -> Members {
        Members {
            chance: StdRng::seed_from_u64(place.seed),
            place,
            pace,
            turn: 0,
            all: BTreeMap::new(),
            suspects: BTreeSet::new(),
            round: Vec::new(),
            serial: 0,
            probe: None,
            next: 0,
            errands: HashMap::new(),
            news: BTreeMap::new(),
            troubles: 0,
            exchange: 0,
            wakes: Ns::MAX,
            periods: 0,
            contests: (0, 0),
            silent: false,
            refuted: 0,
            odd: 0,
        }
    }

    pub fn own(&self) -> Record {
        let Place { name, at, life, .. } = self.place.clone();
        Record { name, at, life, turn: self.turn, status: Status::Alive }
    }

    /// Others, by name.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.all.values().map(|m| &m.record)
    }

    pub fn record(&self, name: &str) -> Option<&Record> {
        self.all.get(name).map(|m| &m.record)
    }

    /// Members that are there, this one among them.
    pub fn there(&self) -> usize {
        1 + self.others().filter(|r| r.there()).count()
    }

    /// What a bound is divided by that all fronts keep together: never fewer than the settings tell of, and never
    /// fewer than are known by name, gone ones too, for one that seems gone may serve on behind a cut.
    pub fn at_least(&self) -> u32 {
        let known = 1 + self.others().filter(|r| r.status != Status::Left).count();
        self.place.told.max(known as u32)
    }

    /// The settings tell of so many fronts now.
    pub fn told(&mut self, fronts: u32) {
        self.place.told = fronts;
    }

    pub fn troubles(&self) -> u32 {
        self.troubles
    }

    /// Members that are known before it begins, as from a file; they are told of to nobody.
    pub fn know(&mut self, all: &[News]) {
        for News { record, .. } in all.iter().filter(|n| n.record.sound() && n.record.name != self.place.name)
        {
            let member = Member { record: record.clone(), since: 0, suspicion: None };
            self.all.insert(record.name.clone(), member);
        }
    }

    pub fn event(&mut self, now: Ns, event: Event, act: &mut impl Act) {
        if self.silent {
            return;
        }
        self.stood_still(now);
        match event {
            Event::Begin => {
                self.next = now;
                self.exchange = now + self.pace.exchange;
                for to in self.place.join.clone() {
                    self.say(to, None, Word::Ask { from: String::new() }, act);
                }
            }
            Event::Letter { from, bytes } => match Letter::read(bytes) {
                Some(letter) => self.letter(now, from, letter, act),
                None => self.odd += 1,
            },
            Event::Woke => {}
            Event::Leave => return self.leave(act),
        }
        if !self.silent {
            self.dues(now, act);
        }
    }

    /// A process that was stopped must not judge others by the time that it slept through.
    fn stood_still(&mut self, now: Ns) {
        let late = now.saturating_sub(self.wakes);
        if late < self.pace.period {
            return;
        }
        self.wakes = Ns::MAX;
        self.troubles = MOST_TROUBLES;
        self.probe = None;
        self.errands.clear();
        self.next = now;
        for name in &self.suspects {
            if let Some(suspicion) = self.all.get_mut(name).and_then(|m| m.suspicion.as_mut()) {
                suspicion.ends += late;
            }
        }
    }

    fn leave(&mut self, act: &mut impl Act) {
        self.turn += 1;
        let own = self.own();
        let news = vec![News { record: Record { status: Status::Left, ..own.clone() }, by: 0 }];
        let letter = Letter { from: own, word: Word::News, news }.write();
        let mut to: Vec<SocketAddr> = self.others().filter(|r| r.there()).map(|r| r.at).collect();
        to.shuffle(&mut self.chance);
        // Some hear it from this one, and tell the rest.
        to.truncate(4 * HELPERS);
        to.into_iter().for_each(|to| act.send(to, &letter));
        self.silent = true;
    }

    // Letters.

    /// News that are due, the least told first, as many as there is room for.
    fn fill(&mut self, first: Option<&str>, mut room: usize) -> Vec<News> {
        let most = (self.pace.spread * (self.all.len() as f64 + 2.0).log10()).ceil() as u32;
        let mut due: Vec<(u32, String)> = self.news.iter().map(|(name, (n, _))| (*n, name.clone())).collect();
        due.sort_unstable();
        // One that is suspected must be the first to hear it, to refute it in time.
        if let Some(first) = first.filter(|name| self.all.get(*name).is_some_and(|m| m.suspicion.is_some())) {
            due.insert(0, (0, first.to_string()));
        }
        let mut news: Vec<News> = Vec::new();
        for (_, name) in due {
            let Some(record) = self.record(&name).cloned() else {
                self.news.remove(&name);
                continue;
            };
            let long = Letter::room(&record);
            if long > room || news.len() >= MOST_NEWS || news.iter().any(|n| n.record.name == name) {
                continue;
            }
            room -= long;
            let by = match self.news.get_mut(&name) {
                Some((n, by)) => {
                    *n += 1;
                    let (n, by) = (*n, *by);
                    if n >= most {
                        self.news.remove(&name);
                    }
                    by
                }
                None => mark(&self.place.name),
            };
            news.push(News { record, by });
        }
        news
    }

    /// A letter with as much news as it has room for; `first` is whom it goes to, where that is known.
    fn say(&mut self, to: SocketAddr, first: Option<&str>, word: Word, act: &mut impl Act) {
        let mut letter = Letter { from: self.own(), word, news: Vec::new() };
        let room = MOST_LETTER.saturating_sub(letter.write().len() + 8);
        letter.news = self.fill(first, room);
        act.send(to, &letter.write());
    }

    fn letter(&mut self, now: Ns, from: SocketAddr, letter: Letter, act: &mut impl Act) {
        let Letter { from: sender, word, news } = letter;
        // Who is there says so itself; whose record differs from where the letter comes from is somebody else.
        if sender.at != from {
            self.odd += 1;
            return;
        }
        let name = sender.name.clone();
        self.take(now, News { record: sender, by: 0 }, act);
        for item in news {
            self.take(now, item, act);
        }
        if self.silent {
            return;
        }
        match word {
            Word::Ping { serial, life } => {
                if life == self.place.life || life == 0 {
                    self.say(from, Some(&name), Word::Ack { serial }, act);
                } else {
                    // Meant for a former life: that this one is there is told by its record.
                    self.say(from, Some(&name), Word::News, act);
                }
            }
            Word::Ack { serial } => self.acked(&name, serial, act),
            Word::Probe { serial, name } => {
                let Some(record) = self.record(&name).cloned() else { return };
                if self.errands.len() < MOST_ERRANDS {
                    let ours = self.serial();
                    let (nacks, ends) = (now + self.pace.ack * 4 / 5, now + self.pace.period);
                    let errand = Errand { to: from, theirs: serial, nacks, ends, nacked: false };
                    self.errands.insert(ours, errand);
                    let ping = Word::Ping { serial: ours, life: record.life };
                    self.say(record.at, Some(&record.name), ping, act);
                }
            }
            Word::Nack { serial } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.serial == serial) {
                    probe.silent = probe.silent.saturating_sub(1);
                }
            }
            Word::Ask { from: first } => self.page(from, &first, act),
            Word::Page { more: Some(next) } => self.say(from, None, Word::Ask { from: next }, act),
            Word::Page { more: None } | Word::News => {}
        }
    }

    fn serial(&mut self) -> u32 {
        self.serial = self.serial.wrapping_add(1);
        self.serial
    }

    fn acked(&mut self, name: &str, serial: u32, act: &mut impl Act) {
        if let Some(errand) = self.errands.remove(&serial) {
            self.say(errand.to, None, Word::Ack { serial: errand.theirs }, act);
            return;
        }
        if self.probe.as_ref().is_some_and(|p| p.serial == serial) {
            let helped = self.probe.take().is_some_and(|p| p.name != name);
            // A direct ack in time speaks for this process's own health.
            self.troubles = self.troubles.saturating_sub(u32::from(!helped));
        }
    }

    /// Records from a name on, as many as a letter holds.
    fn page(&mut self, to: SocketAddr, first: &str, act: &mut impl Act) {
        let mut letter = Letter { from: self.own(), word: Word::Page { more: None }, news: Vec::new() };
        let mut room = MOST_LETTER - letter.write().len() - 80;
        let mut more = None;
        for (name, member) in self.all.range(first.to_string()..) {
            let long = Letter::room(&member.record);
            if long > room || letter.news.len() >= MOST_NEWS {
                more = Some(name.clone());
                break;
            }
            room -= long;
            letter.news.push(News { record: member.record.clone(), by: mark(&self.place.name) });
        }
        letter.word = Word::Page { more };
        act.send(to, &letter.write());
    }

    // What is told of a member.

    fn take(&mut self, now: Ns, news: News, act: &mut impl Act) {
        let News { record, by } = news;
        if !record.sound() {
            return;
        }
        if record.name == self.place.name {
            return self.own_news(now, record, act);
        }
        let was = self.record(&record.name).cloned();
        if let Some(known) = &was {
            if !record.beats(known) {
                // Another's suspicion of the same makes it shorter.
                if record == *known && record.status == Status::Suspect {
                    self.confirm(now, &record.name, by);
                }
                return;
            }
        } else if self.all.len() >= MOST_MEMBERS && !self.make_room() {
            return;
        }
        let name = record.name.clone();
        let suspicion = (record.status == Status::Suspect).then(|| self.suspicion(now, by));
        self.all.insert(name.clone(), Member { record: record.clone(), since: now, suspicion });
        if record.status == Status::Suspect {
            self.suspects.insert(name.clone());
        } else {
            self.suspects.remove(&name);
        }
        if was.is_none() && record.there() {
            let at = self.chance.random_range(0..=self.round.len());
            self.round.insert(at, name.clone());
        }
        self.news.insert(name, (0, by));
        let same =
            was.is_some_and(|w| w.status == record.status && w.life == record.life && w.at == record.at);
        match record.status {
            Status::Alive if !same => act.tell(Change::There(record)),
            Status::Suspect => act.tell(Change::Suspected(record)),
            Status::Gone => act.tell(Change::Gone(record)),
            Status::Left => act.tell(Change::Left(record)),
            Status::Alive => {}
        }
    }

    fn make_room(&mut self) -> bool {
        let gone = self.all.iter().filter(|(_, m)| !m.record.there());
        let Some(oldest) = gone.min_by_key(|(_, m)| m.since).map(|(name, _)| name.clone()) else {
            return false;
        };
        self.all.remove(&oldest);
        self.news.remove(&oldest);
        true
    }

    /// News of this very process: what is wrong is refuted, a former life overridden.
    fn own_news(&mut self, now: Ns, record: Record, act: &mut impl Act) {
        let own = self.own();
        if record.life == own.life && record.at == own.at {
            if record.there() && record.status == Status::Alive || record.turn < self.turn {
                return;
            }
            // Suspected, or taken for gone: perhaps for standing still, or for a bad line, so it is a trouble of ours.
            self.troubles = (self.troubles + 1).min(MOST_TROUBLES);
            self.refuted += 1;
        } else {
            if !record.beats(&own) {
                return;
            }
            if record.status == Status::Alive {
                let (n, since) = self.contests;
                self.contests = if now - since > CONTEST { (1, now) } else { (n + 1, since) };
                // Two processes that live under one name would outbid each other for ever. The greater life keeps
                // the name: both know both, so they agree.
                if self.contests.0 >= MOST_CONTESTS && record.life > own.life {
                    self.silent = true;
                    return act.tell(Change::NameTaken(record));
                }
            }
        }
        if record.turn < MOST_TURN {
            self.turn = self.turn.max(record.turn + 1);
        }
        // Those met next hear it, too, as every letter bears the sender's own record. Of 200 minutes at 30% loss three
        // letters, drawn with return, left 23 in which one of five was held for gone; letters to all of them, 13.
        let mut others: Vec<SocketAddr> = self.others().filter(|r| r.there()).map(|r| r.at).collect();
        others.shuffle(&mut self.chance);
        for to in others.into_iter().take(REFUTES) {
            self.say(to, None, Word::News, act);
        }
    }

    // Suspicion.

    fn log(&self) -> f64 {
        (self.there() as f64).log10().max(1.0)
    }

    /// Lifeguard's time: the longest at first, the shortest once enough others confirm.
    fn lasts(&self, confirms: usize) -> Ns {
        let shortest = self.pace.suspicion * self.log() * self.pace.period as f64;
        // With too few others to confirm, the shortest.
        let needed = CONFIRMS.min(self.there().saturating_sub(2));
        if needed == 0 {
            return shortest as Ns;
        }
        let longest = self.pace.longest * shortest;
        let share = ((confirms + 1) as f64).ln() / ((needed + 1) as f64).ln();
        (longest - (longest - shortest) * share).max(shortest) as Ns
    }

    fn suspicion(&mut self, now: Ns, by: u32) -> Suspicion {
        Suspicion { ends: now + self.lasts(0), by: BTreeSet::from([by]) }
    }

    fn confirm(&mut self, now: Ns, name: &str, by: u32) {
        let before = self.all.get(name).and_then(|m| m.suspicion.as_ref()).map_or(0, |s| s.by.len());
        if before == 0 || before > CONFIRMS {
            return;
        }
        let (now_lasts, lasted) = (self.lasts(before), self.lasts(before - 1));
        let Some(member) = self.all.get_mut(name) else { return };
        let Some(suspicion) = &mut member.suspicion else { return };
        if suspicion.by.insert(by) {
            suspicion.ends = (suspicion.ends - (lasted - now_lasts)).max(now);
            // Passed on, so that others count it too.
            self.news.insert(name.to_string(), (0, by));
        }
    }

    fn judge(&mut self, now: Ns, name: &str, status: Status, act: &mut impl Act) {
        let Some(member) = self.all.get(name) else { return };
        let record = Record { status, ..member.record.clone() };
        let by = mark(&self.place.name);
        self.take(now, News { record, by }, act);
    }

    // What is due.

    fn slow(&self) -> Ns {
        Ns::from(self.troubles + 1)
    }

    fn dues(&mut self, now: Ns, act: &mut impl Act) {
        let ends = |name: &String| self.all.get(name).and_then(|m| m.suspicion.as_ref()).map(|s| s.ends);
        let over: Vec<String> =
            self.suspects.iter().filter(|n| ends(n).is_some_and(|at| at <= now)).cloned().collect();
        over.iter().for_each(|name| self.judge(now, name, Status::Gone, act));
        self.errands_due(now, act);
        if self.probe.as_ref().is_some_and(|p| !p.helped && p.helps <= now) {
            self.ask_helpers(act);
        }
        if let Some(probe) = self.probe.take_if(|p| p.ends <= now) {
            // Helpers that are not there either speak against this process's own line.
            self.troubles = (self.troubles + 1 + probe.silent as u32).min(MOST_TROUBLES);
            let alive = self.record(&probe.name).is_some_and(|r| r.status == Status::Alive);
            if alive {
                self.judge(now, &probe.name, Status::Suspect, act);
            } else {
                self.confirm(now, &probe.name, mark(&self.place.name));
            }
        }
        if self.next <= now && self.probe.is_none() {
            self.period(now, act);
        }
        if self.exchange <= now {
            self.exchange =
                now + self.pace.exchange / 2 + self.chance.random_range(0..=self.pace.exchange / 2);
            let there: Vec<SocketAddr> = self.others().filter(|r| r.there()).map(|r| r.at).collect();
            let to = there.get(self.chance.random_range(0..there.len().max(1))).copied();
            // An address to begin with that none of those there has: where some left or returned while the ones they
            // knew were down, two circles stand side by side, each with others held for left, and nobody asks there.
            let apart = |at: &SocketAddr| self.others().all(|r| r.at != *at || !r.there());
            let strange: Vec<SocketAddr> = self.place.join.iter().copied().filter(apart).collect();
            let other = strange.get(self.chance.random_range(0..strange.len().max(1))).copied();
            for to in to.into_iter().chain(other) {
                self.say(to, None, Word::Ask { from: String::new() }, act);
            }
        }
        let probe = self.probe.iter().map(|p| if p.helped { p.ends } else { p.helps });
        let errands = self.errands.values().map(|e| if e.nacked { e.ends } else { e.nacks });
        let ends = |name: &String| self.all.get(name).and_then(|m| m.suspicion.as_ref()).map(|s| s.ends);
        let suspicions = self.suspects.iter().filter_map(ends);
        let next = if self.probe.is_some() { Ns::MAX } else { self.next };
        let first = probe.chain(errands).chain(suspicions).chain([self.exchange, next]).min();
        let at = first.unwrap_or(Ns::MAX).max(now + MS);
        // One timer is out at a time: one for each letter would breed.
        if self.wakes <= now || at < self.wakes {
            self.wakes = at;
            act.wake_at(at);
        }
    }

    fn errands_due(&mut self, now: Ns, act: &mut impl Act) {
        self.errands.retain(|_, e| e.ends > now);
        let due: Vec<(SocketAddr, u32)> = self
            .errands
            .values_mut()
            .filter(|e| !e.nacked && e.nacks <= now)
            .map(|e| {
                e.nacked = true;
                (e.to, e.theirs)
            })
            .collect();
        for (to, serial) in due {
            self.say(to, None, Word::Nack { serial }, act);
        }
    }

    fn ask_helpers(&mut self, act: &mut impl Act) {
        let Some(probe) = &mut self.probe else { return };
        probe.helped = true;
        let (serial, name) = (probe.serial, probe.name.clone());
        let mut helpers: Vec<SocketAddr> =
            self.others().filter(|r| r.status == Status::Alive && r.name != name).map(|r| r.at).collect();
        helpers.shuffle(&mut self.chance);
        helpers.truncate(HELPERS);
        if let Some(probe) = &mut self.probe {
            probe.silent = helpers.len();
        }
        for to in helpers {
            self.say(to, None, Word::Probe { serial, name: name.clone() }, act);
        }
    }

    /// A period begins: the next of the round is probed, and what is long gone is forgotten.
    fn period(&mut self, now: Ns, act: &mut impl Act) {
        self.periods = self.periods.wrapping_add(1);
        self.next = now + self.pace.period * self.slow();
        let remember = self.pace.remember;
        let old = |m: &Member| !m.record.there() && now - m.since > remember;
        if self.periods.is_multiple_of(64) {
            self.all.retain(|_, m| !old(m));
            self.news.retain(|name, _| self.all.contains_key(name));
        }
        if self.periods.is_multiple_of(RETRY_GONE) {
            let gone: Vec<Record> = self.others().filter(|r| r.status == Status::Gone).cloned().collect();
            if !gone.is_empty() {
                let record = &gone[self.chance.random_range(0..gone.len())];
                // It hears what is thought of it, and refutes that, if it is there.
                let own = self.own();
                let news = vec![News { record: record.clone(), by: mark(&own.name) }];
                let serial = self.serial();
                let letter = Letter { from: own, word: Word::Ping { serial, life: 0 }, news };
                act.send(record.at, &letter.write());
            }
        }
        let target = loop {
            match self.round.pop() {
                Some(name) => {
                    if self.record(&name).is_some_and(Record::there) {
                        break Some(name);
                    }
                }
                None => {
                    self.round = self.others().filter(|r| r.there()).map(|r| r.name.clone()).collect();
                    self.round.shuffle(&mut self.chance);
                    if self.round.is_empty() {
                        break None;
                    }
                }
            }
        };
        let Some(record) = target.and_then(|name| self.record(&name).cloned()) else {
            // Alone: the addresses at start are asked again, now and then.
            if self.periods.is_multiple_of(RETRY_GONE) {
                for to in self.place.join.clone() {
                    self.say(to, None, Word::Ask { from: String::new() }, act);
                }
            }
            return;
        };
        let serial = self.serial();
        let helps = now + self.pace.ack * self.slow();
        let ends = now + self.pace.period * self.slow();
        let name = record.name;
        self.probe = Some(Probe { name: name.clone(), serial, helps, ends, helped: false, silent: 0 });
        self.say(record.at, Some(&name), Word::Ping { serial, life: record.life }, act);
    }
}
