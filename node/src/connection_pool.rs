//! Connections to machines: kept, dialled, given up, within a bound. Which machine is never chosen here.
use crate::effects::{Effects, Pick};
use rockpick::{Ns, Outcome, Repeat};
use rockpick_net::{Id, MS, SEC};
use rockpick_pg::{self as pg, Answer, Heard};
use rockpick_platform::statement;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Descriptors that are neither clients' nor machines': loop, listener, signals, standard streams, desk and discovery
/// (two each at a reload, a vote, a fetch), the log, the file of a reload, and the spare; and streams that are closing.
pub const RESERVE: usize = OURS + rockpick_net::MAX_CLOSING_STREAMS;
pub const OURS: usize = 28;
/// A connection is used again so long after its answer, as a second copy of that may still come, and would be taken for the
/// answer to the next query: 32 copies came 1.1 to 3.9 ms late in six small days of the operators' bench, so twice that. At
/// 20 ms a busy node held 26 connections in place of 17, and machines pay for each.
const REST: Ns = 8 * MS;
/// An answer's connection must be ready again within this: machines say so with the answer.
const TAIL: Ns = SEC;
/// Bytes of answers that are not whole yet, of all machines together: at it the connection that brings more is given
/// up, so that large values, a hundred at once, do not fill the memory.
const MOST_HELD: usize = 8 * 1024 * 1024;
/// Fleets know no more machines than this.
const MOST_MACHINES: usize = 10_000;
/// A machine that has gone is forgotten after this: disputes may still name it.
const FORGOTTEN: Ns = 60 * SEC;

/// A machine as discovery shows it.
#[derive(Default)]
pub struct Place {
    pub addr: Option<SocketAddr>,
    pub build: u32,
    pub started: Option<Ns>,
    /// Counts its processes: connections of a former one are not used again.
    incarnation: u32,
    gone: Option<Ns>,
    /// Picks that are out there.
    out: u32,
    idle: Vec<Id>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Step {
    Opening,
    Asked,
    /// Answered; not ready yet.
    Tail,
    /// Since when.
    Idle(Ns),
}

/// What a machine's bytes mean for a pick.
pub enum Came {
    /// The connection that it waited for is there.
    Ready,
    /// It has ended, with a row where it is ok.
    Over(Outcome, Option<Vec<u8>>),
}

struct Conn {
    machine: usize,
    incarnation: u32,
    step: Step,
    answer: Answer,
    /// The pick that it carries.
    job: Option<(usize, usize)>,
    /// Its part of what the pool holds.
    held: usize,
}

pub struct Pool {
    pub places: Vec<Place>,
    conns: HashMap<Id, Conn>,
    /// Idle ones, longest idle first.
    idle: BTreeSet<(Ns, Id)>,
    most: usize,
    /// Bytes of answers that are not whole.
    held: usize,
    /// Picks for which no connection was left.
    pub scarce: u64,
    pub dialled: u64,
    pub spoilt: u64,
}

impl Pool {
    pub fn new(sockets: usize) -> Pool {
        Pool {
            places: Vec::new(),
            conns: HashMap::new(),
            idle: BTreeSet::new(),
            most: (sockets - RESERVE) / 2,
            held: 0,
            scarce: 0,
            dialled: 0,
            spoilt: 0,
        }
    }

    pub fn owns(&self, id: Id) -> bool {
        self.conns.contains_key(&id)
    }

    /// Connections, and those of them that are idle.
    pub fn count(&self) -> (usize, usize) {
        (self.conns.len(), self.idle.len())
    }

    /// Takes a machine's connection that was idle for long enough, the last one first: the others may grow old.
    fn rested(&mut self, machine: usize, now: Ns) -> Option<Id> {
        let rested = |id: &Id| {
            let step = self.conns.get(id).map(|c| c.step);
            !matches!(step, Some(Step::Idle(since)) if now - since < REST)
        };
        let idle = &mut self.places[machine].idle;
        let at = idle.iter().rposition(rested)?;
        Some(idle.remove(at))
    }

    pub fn came_back(&mut self, machine: usize) {
        let place = &mut self.places[machine];
        place.out = place.out.saturating_sub(1);
    }
}

impl Effects {
    /// A machine's record: another address, build or start is another process, whose connections are new.
    pub fn place(
        &mut self, machine: usize, addr: Option<SocketAddr>, build: u32, started: Option<Ns>, gone: bool,
    ) {
        let now = self.net.now();
        if self.pool.places.len() <= machine {
            self.pool.places.resize_with(machine + 1, Place::default);
        }
        let place = &mut self.pool.places[machine];
        let moved = (place.addr, place.build, place.started) != (addr.or(place.addr), build, started);
        place.incarnation = place.incarnation.wrapping_add(u32::from(moved));
        (place.addr, place.build, place.started) = (addr.or(place.addr), build, started);
        place.gone = if gone { place.gone.or(Some(now)) } else { None };
        if gone || moved {
            for id in std::mem::take(&mut place.idle) {
                self.drop_machine_conn(id);
            }
        }
    }

    /// A whole list names all that are there.
    pub fn gone_but(&mut self, there: &[usize]) {
        let there: BTreeSet<usize> = there.iter().copied().collect();
        let absent = (0..self.pool.places.len()).filter(|m| !there.contains(m)).collect::<Vec<_>>();
        for machine in absent {
            let place = &self.pool.places[machine];
            let (addr, build, started) = (place.addr, place.build, place.started);
            self.place(machine, addr, build, started, true);
        }
    }

    /// May a machine of this name be listed? At the bound only those that are known.
    pub fn listable(&self, name: &str) -> bool {
        self.door.known(name).is_some() || self.door.machines() < MOST_MACHINES
    }

    pub fn forget_machines(&mut self) {
        let now = self.net.now();
        for (machine, place) in self.pool.places.iter_mut().enumerate() {
            if place.out == 0 && place.gone.is_some_and(|since| now - since >= FORGOTTEN) {
                self.door.forget(machine);
                let incarnation = place.incarnation.wrapping_add(1);
                *place = Place { incarnation, ..Place::default() };
            }
        }
    }

    pub fn send_pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        let now = self.net.now();
        let done = self.door.finished(rpc);
        let Some(open) = self.open.get_mut(rpc).and_then(Option::as_mut) else { return };
        let number = open.picks.len();
        open.picks.push(Pick {
            machine,
            sent: now,
            until: now + time_out,
            out: true,
            ran: false,
            conn: None,
        });
        self.door.sent(rpc);
        self.tolls.picks += 1;
        let place = &mut self.pool.places[machine];
        place.out += 1;
        let Some(to) = place.addr.filter(|_| time_out > 0 && !done) else {
            let none = if time_out > 0 && !done { Outcome::Unreachable } else { Outcome::Void };
            return self.owed.push_back((rpc, number, none));
        };
        while let Some(id) = self.pool.rested(machine, now) {
            // Found closed, or holding bytes that nobody asked for: replaced, and no pick that ran.
            let fit =
                self.net.nothing_unread(id) && self.pool.conns.get(&id).is_some_and(|c| c.answer.clean());
            if fit && self.ask_machine(id, rpc, number) {
                return;
            }
            self.drop_machine_conn(id);
        }
        if self.pool.conns.len() >= self.pool.most {
            match self.pool.idle.first().copied() {
                Some((_, id)) => self.drop_machine_conn(id),
                None => {
                    self.pool.scarce += 1;
                    return self.owed.push_back((rpc, number, Outcome::Unreachable));
                }
            }
        }
        let within = self.connect_within(rpc).min(time_out);
        let Ok(id) = self.net.dial(to, within) else {
            self.pool.scarce += 1;
            return self.owed.push_back((rpc, number, Outcome::Unreachable));
        };
        self.pool.dialled += 1;
        let incarnation = self.pool.places[machine].incarnation;
        let job = Some((rpc, number));
        let conn =
            Conn { machine, incarnation, step: Step::Opening, answer: Answer::default(), job, held: 0 };
        self.pool.conns.insert(id, conn);
        let mut hello = Vec::new();
        pg::put_startup(&mut hello, "api", "ledger");
        self.net.send(id, &hello);
        self.due(id, now + within);
        if let Some(open) = self.open[rpc].as_mut() {
            open.picks[number].conn = Some(id);
        }
    }

    /// How long a new connection for an RPC may take. The module's word that a repeat is harmless holds for now: it must
    /// also leave in that time.
    fn connect_within(&self, rpc: usize) -> Ns {
        let most = self.startup.connect_within;
        let Some(open) = self.open[rpc].as_ref() else { return most };
        let method = &self.startup.post.methods[open.method];
        let first = open.picks.iter().filter(|p| p.ran).map(|p| p.sent).min();
        let known = first.filter(|_| method.repeat == Repeat::Tokened);
        let left = |at: Ns| at + method.remembered - 2 * self.startup.post.step - self.net.now();
        known.map_or(most, |at| left(at).min(most))
    }

    /// Writes a pick's statement on a connection that is ready; false: the connection is gone, nothing ran.
    fn ask_machine(&mut self, id: Id, rpc: usize, number: usize) -> bool {
        let now = self.net.now();
        let Some(open) = self.open[rpc].as_mut() else { return false };
        let until = open.picks[number].until;
        let mut query = Vec::with_capacity(open.text.len() + 16);
        pg::put_query(&mut query, &statement::with_wait(&open.text, &open.wait, (until - now) / MS));
        if !self.net.send(id, &query) {
            return false;
        }
        open.picks[number].conn = Some(id);
        if let Some(conn) = self.pool.conns.get_mut(&id) {
            if let Step::Idle(since) = conn.step {
                self.pool.idle.remove(&(since, id));
            }
            (conn.step, conn.job) = (Step::Asked, Some((rpc, number)));
            conn.answer.asked();
        }
        self.due(id, until);
        true
    }

    /// Closes a connection to a machine; what becomes of its pick is the caller's.
    pub fn drop_machine_conn(&mut self, id: Id) {
        let Some(conn) = self.pool.conns.remove(&id) else { return };
        self.pool.held -= conn.held;
        if let Step::Idle(since) = conn.step {
            self.pool.idle.remove(&(since, id));
            self.pool.places[conn.machine].idle.retain(|i| *i != id);
        }
        self.dues.clear(id);
        self.net.close(id);
    }

    /// A pick's connection is there; it is asked for if the pick still stands. True: its statement is on its way.
    pub fn ask_opened(&mut self, id: Id, rpc: usize, number: usize, stands: bool) -> bool {
        let sent = stands && self.ask_machine(id, rpc, number);
        if !stands {
            self.park_machine(id);
        } else if !sent {
            self.drop_machine_conn(id);
        }
        sent
    }

    /// Bytes of a machine: what they mean for picks.
    pub fn machine_bytes(&mut self, id: Id, bytes: &[u8]) -> Vec<(usize, usize, Came)> {
        let mut ends = Vec::new();
        let now = self.net.now();
        if let Some(conn) = self.pool.conns.get_mut(&id) {
            conn.answer.take(bytes);
            if let Step::Idle(since) = conn.step {
                let late_us = (now - since) / 1_000;
                if let Some(left_out) = self.often.allow(now) {
                    tracing::warn!(event = "more than an answer", late_us, bytes = bytes.len(), left_out);
                }
            }
        }
        while let Some(conn) = self.pool.conns.get_mut(&id) {
            let step = conn.step;
            let heard = conn.answer.heard();
            self.pool.held = self.pool.held - conn.held + conn.answer.holds();
            conn.held = conn.answer.holds();
            let heard = match heard {
                Ok(Heard::More) if self.pool.held > MOST_HELD => {
                    Err(pg::Odd("no room for more of an answer"))
                }
                heard => heard,
            };
            match heard {
                Ok(Heard::More) => {
                    // Words behind an answer, not whole: of no further use, and the answer stands.
                    if matches!(step, Step::Idle(_)) && !conn.answer.clean() {
                        self.drop_machine_conn(id);
                    }
                    break;
                }
                Ok(Heard::Row(row)) => {
                    conn.step = Step::Tail;
                    ends.extend(conn.job.take().map(|(rpc, n)| (rpc, n, Came::Over(Outcome::Ok, Some(row)))));
                    self.due(id, now + TAIL);
                }
                Ok(Heard::Error(code)) => {
                    let full = code == pg::TOO_MANY;
                    conn.step = Step::Tail;
                    let how = match step {
                        _ if full => Outcome::Full,
                        Step::Opening => Outcome::Unreachable,
                        _ => Outcome::Error,
                    };
                    ends.extend(conn.job.take().map(|(rpc, n)| (rpc, n, Came::Over(how, None))));
                    if step == Step::Opening {
                        self.drop_machine_conn(id);
                        break;
                    }
                    self.due(id, now + TAIL);
                }
                Ok(Heard::Ready) => {
                    if step == Step::Opening {
                        let place = &self.pool.places[conn.machine];
                        let there = conn.incarnation == place.incarnation && place.gone.is_none();
                        if let Some((rpc, n)) = conn.job {
                            let wanted = self.open[rpc].as_ref().is_some_and(|o| o.picks[n].until > now);
                            if wanted && there && !self.door.finished(rpc) {
                                ends.push((rpc, n, Came::Ready));
                                break;
                            }
                            // Over, or another process has this name by now: what was picked is no more.
                            ends.push((rpc, n, Came::Over(Outcome::Void, None)));
                        }
                    }
                    if !self.park_machine(id) {
                        break;
                    }
                }
                Err(odd) => {
                    // What was asked may have run; what was not cannot have.
                    let how = if step == Step::Opening { Outcome::Unreachable } else { Outcome::Broken };
                    let job = conn.job.take();
                    let (tag, long) = conn.answer.header().unwrap_or_default();
                    self.pool.spoilt += 1;
                    if let Some(left_out) = self.often.allow(now) {
                        tracing::warn!(event = "odd machine", why = odd.0, tag = %char::from(tag), long, step = ?step, asked = job.is_some(), left_out);
                    }
                    ends.extend(job.map(|(rpc, n)| (rpc, n, Came::Over(how, None))));
                    self.drop_machine_conn(id);
                    break;
                }
            }
        }
        ends
    }

    /// Keeps a connection that is ready, or closes it; true when it is kept.
    fn park_machine(&mut self, id: Id) -> bool {
        let now = self.net.now();
        let Some(conn) = self.pool.conns.get_mut(&id) else { return false };
        let place = &mut self.pool.places[conn.machine];
        if !conn.answer.clean() || conn.incarnation != place.incarnation || place.gone.is_some() {
            self.drop_machine_conn(id);
            return false;
        }
        (conn.step, conn.job) = (Step::Idle(now), None);
        place.idle.push(id);
        self.pool.idle.insert((now, id));
        // Well before the machine closes it: a pick written to a closed one would be a reset.
        self.due(id, now + self.startup.idle / 3 * 2);
        true
    }

    /// A machine's connection has gone by itself.
    pub fn machine_gone(&mut self, id: Id, unsent: bool) -> Option<(usize, usize, Outcome)> {
        self.machine_over(id, unsent, Outcome::Broken)
    }

    /// The time of a machine's connection is up: to come up, to answer, to be ready, or to be kept.
    pub fn machine_due(&mut self, id: Id) -> Option<(usize, usize, Outcome)> {
        let unsent = self.net.backlog(id).is_some_and(|n| n > 0);
        self.machine_over(id, unsent, Outcome::TimedOut)
    }

    /// Ends a connection; its pick, which never ran unless its statement was written whole, else came to `how`.
    fn machine_over(&mut self, id: Id, unsent: bool, how: Outcome) -> Option<(usize, usize, Outcome)> {
        let conn = self.pool.conns.get_mut(&id)?;
        let (never, job) = (unsent || conn.step == Step::Opening, conn.job.take());
        self.drop_machine_conn(id);
        job.map(|(rpc, n)| (rpc, n, if never { Outcome::Unreachable } else { how }))
    }
}
