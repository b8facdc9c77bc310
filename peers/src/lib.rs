//! Carries what the state machines of fronts that know each other say, over `net`; it decides nothing. A host has one
//! [`Peers`] in its loop and hands on what [`Company`] asks for. Off unless asked for: a front without it is as it was.
mod kept;
mod seal;

pub use seal::{Odd, Seal, LEAST_KEY};

use kept::Keeper;
use rand::Rng;
use rockpick::{Front, Standing};
use rockpick_membership::{Act, Change, Event, Members, Ns, Pace, Place, Record, Status, MS, SEC};
use rockpick_net::{Id, LogLimiter, Net};
use rockpick_replication::{self as copies, Build, Copies, Fact, Key, Near, Phase, Row, Table};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;

/// Changes kept for whoever asks how it came to this.
const MOST_CHANGES: usize = 200;
/// Lines of one kind in the log, a second.
const LOG_LINES: u32 = 10;
/// Fastest and slowest period that is taken.
const PERIODS: (Ns, Ns) = (20 * MS, 60 * SEC);

/// What a front is told of its peers at start.
#[derive(Clone)]
pub struct Circle {
    /// Addresses to begin with, also such as are not there yet.
    pub join: Vec<SocketAddr>,
    pub listen: SocketAddr,
    /// Where the others reach it, if not at the socket's own address (a relay, address translation).
    pub at: Option<SocketAddr>,
    pub key: Vec<u8>,
    pub period: Ns,
    /// Where builds and bindings are kept, for when all fronts are restarted at once.
    pub file: Option<PathBuf>,
}

impl Circle {
    /// # Errors
    /// What can't be taken, by its option.
    pub fn check(&self) -> Result<(), String> {
        Seal::new(&self.key).map_err(|why| format!("--peers-key: {why}"))?;
        if !(PERIODS.0..=PERIODS.1).contains(&self.period) {
            return Err("--peers-period: 20 ms to 60 s".into());
        }
        let told = self.at.unwrap_or(self.listen);
        if told.ip().is_unspecified() {
            return Err("--peers-listen: the others must reach this address; name one, or --peers-at".into());
        }
        Ok(())
    }
}

/// What a letter is of; other kinds are of later versions, and passed over.
const OF_MEMBERS: u8 = 0;
const OF_COPIES: u8 = 1;

/// A member's number for copies: of its name, so that a return is the same peer.
fn id(name: &str) -> u64 {
    use std::hash::Hasher;
    let mut hash = copies::tables::Fnv::default();
    hash.write(name.as_bytes());
    hash.finish() | 1
}

/// What a loop that has peers hands on to them.
pub trait Company {
    fn datagram(&mut self, net: &mut Net, from: SocketAddr, bytes: &[u8]);
    fn woke(&mut self, net: &mut Net);
    /// The settings tell of so many fronts now, and that these are of this one's own zone: the first to be asked for chunks.
    fn told(&mut self, net: &mut Net, fronts: u32, near: BTreeSet<String>);
    /// Says that this process goes.
    fn leave(&mut self, net: &mut Net);
    fn show(&self, now: Ns) -> Value;
    /// The counts alone, for a line in the log.
    fn counts(&self) -> Value;
    /// This front has bound a key.
    fn bind(&mut self, key: u64, build: u32);
    /// The desk has told this front where the newest build stands; as the front is to take it. One that any front was told
    /// goes, or went, back stays that, whatever a stalled line or a desk of old says: builds' numbers only rise.
    fn stands(&mut self, told: Standing) -> Standing;
    /// What has come from others since it was last asked, if anything has.
    fn news(&mut self) -> Option<News>;
    /// Tells a new life of the module all that is known.
    fn tell_all(&self, front: &mut Front);
    /// Rows of a table, some at a time: none where the table's name or the place to go on from makes no sense.
    fn rows(&self, table: &str, from: Option<&str>) -> Option<Value>;
}

/// What has come from other fronts.
pub struct News {
    /// Keys, and which build has answered them.
    bound: Vec<(u64, u32)>,
    /// All that any front knew of keys is here now.
    keys_known: bool,
    /// This front's newest build goes back: to be told to the module once more.
    pub withdrawn: Option<Standing>,
}

impl News {
    pub fn tell(&self, front: &mut Front) {
        self.bound.iter().for_each(|(key, build)| front.bound_elsewhere(*key, *build));
        front.keys_known(self.keys_known);
    }
}

/// Does a build of this phase get picks?
fn stays(phase: rockpick::Phase) -> bool {
    matches!(phase, rockpick::Phase::OnTrial | rockpick::Phase::Released)
}

/// Rows of one answer about a table.
const ROWS_SHOWN: usize = 1_000;

pub struct Peers {
    members: Members,
    copies: Copies,
    /// Addresses by number, of those that are there.
    near: BTreeMap<u64, SocketAddr>,
    /// Numbers of those that are in this front's own zone.
    zone: BTreeSet<u64>,
    /// Keys that others have bound, not yet handed on.
    learnt: Vec<(u64, u32)>,
    /// Builds that others know to be withdrawn, not yet handed on.
    withdrawn: Vec<u32>,
    /// Where the newest build stands, as the module was last told; and whether it was told that all keys are known.
    standing: Option<Standing>,
    keys_known: bool,
    keeper: Option<Keeper>,
    /// Keys whose rows are to be kept.
    fresh: BTreeSet<Key>,
    differs: u64,
    seal: Seal,
    sock: Id,
    tag: u64,
    listen: SocketAddr,
    changes: Vec<(Ns, Change)>,
    often: LogLimiter,
    /// Datagrams in and out, their bytes, and those passed over.
    heard: (u64, u64),
    sent: (u64, u64),
    strange: u64,
}

impl Peers {
    /// Begins; timers of the loop come up with `tag`.
    ///
    /// # Errors
    /// An address that can't be had, a key that is none.
    pub fn begin(net: &mut Net, name: &str, told: u32, circle: &Circle, tag: u64) -> Result<Peers, String> {
        circle.check()?;
        let named = |err: std::io::Error| format!("--peers-listen {}: {err}", circle.listen);
        let (sock, listen) = net.datagrams(circle.listen).map_err(named)?;
        let mut chance = rand::rng();
        let place = Place {
            name: name.to_string(),
            at: circle.at.unwrap_or(listen),
            life: chance.random(),
            seed: chance.random(),
            join: circle.join.clone(),
            told,
        };
        let pace = Pace {
            period: circle.period,
            ack: circle.period / 2,
            exchange: 30 * circle.period,
            ..Pace::default()
        };
        let mut peers = Peers {
            copies: Copies::new(place.life, chance.random(), told),
            near: BTreeMap::new(),
            zone: BTreeSet::new(),
            learnt: Vec::new(),
            withdrawn: Vec::new(),
            standing: None,
            keys_known: false,
            keeper: None,
            fresh: BTreeSet::new(),
            differs: 0,
            members: Members::new(place, pace),
            seal: Seal::new(&circle.key)?,
            sock,
            tag,
            listen,
            changes: Vec::new(),
            often: LogLimiter::new(LOG_LINES),
            heard: (0, 0),
            sent: (0, 0),
            strange: 0,
        };
        if let Some(file) = &circle.file {
            let (rows, keeper) = Keeper::begin(file.clone());
            tracing::info!(event = "copies read", rows = rows.len());
            rows.into_iter().for_each(|(key, row, dot)| peers.copies.recall(key, row, dot));
            peers.keeper = Some(keeper);
        }
        peers.copy(net, copies::Event::Begin);
        peers.event(net, Event::Begin);
        tracing::info!(event = "peers up", at = %listen, join = circle.join.len());
        Ok(peers)
    }

    /// Holds so many keys as answered by a build, for measurements.
    #[doc(hidden)]
    pub fn fill(&mut self, keys: u64, build: u32) {
        for key in 0..keys {
            self.copies.change(Key::Bound(key), Row::Bound([build, 0]));
        }
        self.copies.told(1);
    }

    fn event(&mut self, net: &mut Net, event: Event) {
        let now = net.now();
        let mut told = Vec::new();
        let (seal, sock, tag, sent) = (&self.seal, self.sock, self.tag, &mut self.sent);
        self.members.event(
            now,
            event,
            &mut Hands { net, seal, sock, tag, sent, near: &self.near, told: &mut told },
        );
        if told.is_empty() {
            return;
        }
        for change in told {
            self.note(now, change);
        }
        let there = self.members.others().filter(|r| r.there());
        self.near = there.map(|r| (id(&r.name), r.at)).collect();
        self.tell_near(net);
    }

    fn tell_near(&mut self, net: &mut Net) {
        let near = |id: &u64| Near { id: *id, near: self.zone.contains(id) };
        let near: Vec<Near> = self.near.keys().map(near).collect();
        self.copy(net, copies::Event::Peers(&near));
    }

    fn copy(&mut self, net: &mut Net, event: copies::Event) {
        let now = net.now();
        let mut told = Vec::new();
        let (seal, sock, tag, sent) = (&self.seal, self.sock, self.tag, &mut self.sent);
        self.copies.event(
            now,
            event,
            &mut Hands { net, seal, sock, tag, sent, near: &self.near, told: &mut told },
        );
        for fact in told {
            if let Fact::Learnt(key, _) = fact {
                self.note_down(key);
            }
            match fact {
                Fact::Learnt(Key::Bound(key), Row::Bound(builds)) => {
                    self.learnt.extend(builds.iter().filter(|b| **b > 0).map(|build| (key, *build)));
                }
                Fact::Learnt(Key::Build(build), Row::Build(row)) if row.withdrawn => {
                    self.withdrawn.push(build);
                }
                Fact::Learnt(..) => {}
                Fact::Whole(table) => tracing::info!(event = "copies whole", table = ?table),
                Fact::Differs(key) => {
                    self.differs += 1;
                    if let Some(left_out) = self.often.allow(now) {
                        tracing::warn!(event = "copies differ", key = ?key, left_out);
                    }
                }
            }
        }
    }

    fn copies_held(&self) -> Value {
        json!({
                "whole": copies::TABLES.iter().filter(|t| self.copies.is_whole(**t)).map(|t| format!("{t:?}")).collect::<Vec<_>>(),
                "rows": copies::TABLES.iter().map(|t| (format!("{t:?}"), json!(self.copies.shelf().len(*t)))).collect::<serde_json::Map<_, _>>(),
                "digests": copies::TABLES.iter().map(|t| (format!("{t:?}"), json!(format!("{:016x}", self.copies.shelf().whole(*t))))).collect::<serde_json::Map<_, _>>(),
                "learnt": self.copies.tolls.learnt, "differs": self.differs, "gave": self.copies.tolls.gave,
                "kept": self.keeper.as_ref().filter(|k| k.well()).map(|k| k.kept.load(Ordering::Relaxed)),
                "busy": self.copies.tolls.busy, "refused": self.copies.tolls.refused })
    }

    fn note_down(&mut self, key: Key) {
        if self.keeper.is_some() && matches!(key.table(), Table::Builds | Table::Bindings) {
            self.fresh.insert(key);
        }
    }

    /// What has changed goes to the disk's thread.
    fn keep(&mut self) {
        let Some(keeper) = self.keeper.as_mut().filter(|_| !self.fresh.is_empty()) else { return };
        let shelf = self.copies.shelf();
        let row = |key: &Key| shelf.row(key).map(|(row, dot)| (*key, row, dot));
        keeper.keep(std::mem::take(&mut self.fresh).iter().filter_map(row).collect());
    }

    fn note(&mut self, now: Ns, change: Change) {
        let (what, record) = words(&change);
        if let Some(left_out) = self.often.allow(now) {
            tracing::info!(event = "peer", what, name = record.name, at = %record.at, turn = record.turn, left_out);
        }
        if self.changes.len() >= MOST_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push((now, change));
    }
}

/// The hands of both machines; `told` is what each tells.
struct Hands<'a, T> {
    net: &'a mut Net,
    seal: &'a Seal,
    sock: Id,
    tag: u64,
    sent: &'a mut (u64, u64),
    near: &'a BTreeMap<u64, SocketAddr>,
    told: &'a mut Vec<T>,
}

impl<T> Hands<'_, T> {
    fn post(&mut self, to: SocketAddr, kind: u8, bytes: &[u8]) {
        let sealed = self.seal.close(&[&[kind], bytes].concat());
        self.sent.0 += 1;
        self.sent.1 += sealed.len() as u64;
        self.net.send_datagram(self.sock, to, &sealed);
    }
}

impl copies::Act for Hands<'_, Fact> {
    fn send(&mut self, to: u64, bytes: &[u8]) {
        if let Some(at) = self.near.get(&to).copied() {
            self.post(at, OF_COPIES, bytes);
        }
    }

    fn wake_at(&mut self, at: Ns) {
        self.net.wake_at(at, self.tag);
    }

    fn tell(&mut self, fact: Fact) {
        self.told.push(fact);
    }
}

impl Act for Hands<'_, Change> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.post(to, OF_MEMBERS, bytes);
    }

    fn wake_at(&mut self, at: Ns) {
        self.net.wake_at(at, self.tag);
    }

    fn tell(&mut self, change: Change) {
        self.told.push(change);
    }
}

impl Company for Peers {
    fn datagram(&mut self, net: &mut Net, from: SocketAddr, bytes: &[u8]) {
        self.heard.0 += 1;
        self.heard.1 += bytes.len() as u64;
        match self.seal.open(bytes) {
            Ok([OF_MEMBERS, letter @ ..]) => self.event(net, Event::Letter { from, bytes: letter }),
            Ok([OF_COPIES, letter @ ..]) => {
                // Only of one that is a member at this address.
                let sender = self.near.iter().find(|(_, at)| **at == from).map(|(id, _)| *id);
                if let Some(from) = sender {
                    self.copy(net, copies::Event::Letter { from, bytes: letter });
                }
            }
            Ok(_) => self.strange += 1,
            Err(odd) => {
                self.strange += 1;
                if let Some(left_out) = self.often.allow(net.now()) {
                    tracing::warn!(event = "strange datagram", from = %from, why = ?odd, left_out);
                }
            }
        }
    }

    fn woke(&mut self, net: &mut Net) {
        self.event(net, Event::Woke);
        self.copy(net, copies::Event::Woke);
        self.keep();
    }

    fn told(&mut self, net: &mut Net, fronts: u32, near: BTreeSet<String>) {
        self.members.told(fronts);
        self.copies.told(fronts);
        self.zone = near.iter().map(|name| id(name)).collect();
        self.tell_near(net);
    }

    fn leave(&mut self, net: &mut Net) {
        self.event(net, Event::Leave);
        self.keep();
    }

    fn bind(&mut self, key: u64, build: u32) {
        if self.copies.change(Key::Bound(key), Row::Bound([build, 0])) {
            self.note_down(Key::Bound(key));
        }
    }

    fn stands(&mut self, mut told: Standing) -> Standing {
        // The desk numbers what it says by no term yet: within a build stages only rise, and a release comes after.
        let row = Build {
            withdrawn: !stays(told.phase),
            term: 0,
            serial: 0,
            phase: if told.phase == rockpick::Phase::Released { Phase::Released } else { Phase::OnTrial },
            stage: told.stage,
        };
        if self.copies.change(Key::Build(told.build), Row::Build(row)) {
            self.note_down(Key::Build(told.build));
        }
        if stays(told.phase) && self.copies.withdrawn(told.build) {
            (told.phase, told.cap) = (rockpick::Phase::GoingBack, 0.0);
        }
        self.standing = Some(told);
        told
    }

    fn news(&mut self) -> Option<News> {
        let bound = std::mem::take(&mut self.learnt);
        let keys_known = self.copies.is_whole(Table::Bindings);
        let known = std::mem::replace(&mut self.keys_known, keys_known);
        let gone = std::mem::take(&mut self.withdrawn);
        let withdrawn = self.standing.filter(|s| stays(s.phase) && gone.contains(&s.build));
        (!bound.is_empty() || keys_known != known || withdrawn.is_some()).then_some(News {
            bound,
            keys_known,
            withdrawn,
        })
    }

    fn tell_all(&self, front: &mut Front) {
        for (key, row) in self.copies.shelf().table(Table::Bindings) {
            if let (Key::Bound(key), Row::Bound(builds)) = (key, row) {
                builds.iter().filter(|b| **b > 0).for_each(|build| front.bound_elsewhere(*key, *build));
            }
        }
        front.keys_known(self.keys_known);
    }

    fn rows(&self, table: &str, from: Option<&str>) -> Option<Value> {
        let table = copies::TABLES.into_iter().find(|t| format!("{t:?}").eq_ignore_ascii_case(table))?;
        let first = match from {
            Some(word) => Key::read(word).filter(|key| key.table() == table)?,
            None => Key::least(table),
        };
        let mut rest = self.copies.shelf().from(first);
        let row = |(key, row, dot): (&Key, &Row, &copies::Dot)| {
            json!({ "key": format!("{key:?}"), "row": format!("{row:?}"), "life": format!("{:016x}", dot.origin),
                "serial": dot.serial })
        };
        let rows: Vec<Value> = rest.by_ref().take(ROWS_SHOWN).map(row).collect();
        Some(
            json!({ "table": format!("{table:?}"), "rows": rows, "next": rest.next().map(|(key, ..)| key.write()) }),
        )
    }

    fn counts(&self) -> Value {
        json!({ "there": self.members.there(), "copies": self.copies_held(), "strange": self.strange })
    }

    fn show(&self, now: Ns) -> Value {
        let row = |r: &Record| {
            json!({ "name": r.name, "at": r.at.to_string(), "life": format!("{:016x}", r.life), "turn": r.turn,
                "status": status(r.status) })
        };
        let changes: Vec<Value> = self
            .changes
            .iter()
            .map(|(at, change)| {
                let (what, r) = words(change);
                json!({ "ago_ms": (now - at) / MS, "what": what, "name": r.name, "turn": r.turn })
            })
            .collect();
        json!({ "listen": self.listen.to_string(), "self": row(&self.members.own()),
            "members": self.members.others().map(row).collect::<Vec<_>>(),
            "there": self.members.there(), "counted": self.members.at_least(), "troubles": self.members.troubles(),
            "refuted": self.members.refuted, "odd": self.members.odd, "strange": self.strange,
            "heard": { "datagrams": self.heard.0, "bytes": self.heard.1 },
            "copies": self.copies_held(),
            "sent": { "datagrams": self.sent.0, "bytes": self.sent.1 }, "changes": changes })
    }
}

fn status(status: Status) -> &'static str {
    match status {
        Status::Alive => "alive",
        Status::Suspect => "suspect",
        Status::Gone => "gone",
        Status::Left => "left",
    }
}

fn words(change: &Change) -> (&'static str, &Record) {
    match change {
        Change::There(r) => ("there", r),
        Change::Suspected(r) => ("suspected", r),
        Change::Gone(r) => ("gone", r),
        Change::Left(r) => ("left", r),
        Change::NameTaken(r) => ("name taken", r),
    }
}
