//! Pool of connections to machines, with a limit on their number. It does not choose the machines.
mod responses;

use crate::effects::{Effects, Pick};
use crate::memory::{MemoryBudget, Reservation, SharedMemory};
use crate::recent_answers::RecentAnswers;
use crate::rules::{EarlierPick, Send};
use rockpick::{Idempotency, Ns, Outcome};
use rockpick_net::{Id, MS, SEC};
use rockpick_pg::{self as pg, ResponseReader};
use rockpick_platform::statement;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Descriptors that are used neither for clients nor for machines: event loop, listener, signals, standard streams,
/// rollout API and discovery (two each during a reload, a vote, a fetch), log, configuration file, and a spare; and
/// streams that are closing.
pub const RESERVED_DESCRIPTORS: usize = OWN_DESCRIPTORS + rockpick_net::MAX_CLOSING_STREAMS;
pub const OWN_DESCRIPTORS: usize = 28;
/// How long after its answer a connection is not used again. A copy of the answer that comes meanwhile ends the connection;
/// one that comes later is told apart from the next answer, which takes another round trip.
const REUSE_DELAY: Ns = 8 * MS;
/// After an answer the machine must be ready within this time; machines send both together.
const READY_TIMEOUT: Ns = SEC;
/// What follows a row is read along with it.
const MAX_ANSWER_TAIL: usize = 256;
/// A machine that is gone is forgotten after this time; until then disputes may name it.
const FORGET_AFTER: Ns = 60 * SEC;

/// A machine as discovery reports it.
#[derive(Default)]
pub struct MachineEntry {
    pub addr: Option<SocketAddr>,
    pub build: u32,
    pub started: Option<Ns>,
    /// Counts the machine's processes; connections to a former process are not used again.
    incarnation: u32,
    gone: Option<Ns>,
    /// Outstanding picks.
    outstanding: u32,
    idle: Vec<Id>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ConnState {
    Opening,
    QuerySent,
    /// The answer was received; ReadyForQuery was not.
    AwaitingReady,
    /// Idle since this time.
    Idle(Ns),
}

/// What a machine's data means for a pick.
pub enum PickEvent {
    /// The connection that it waits for is ready.
    ConnectionReady,
    /// The pick has ended; the row is set if its outcome is ok.
    Ended(Outcome, Option<Vec<u8>>),
}

struct Conn {
    machine: usize,
    incarnation: u32,
    state: ConnState,
    reader: ResponseReader,
    /// The RPC and the pick that use the connection.
    pick: Option<(usize, usize)>,
    /// Room for its next message, if that is longer than the allowance.
    reservation: Reservation,
    recent_answers: RecentAnswers,
    /// An answer to the open query that may be a late copy of an earlier answer; an empty query was sent to find out.
    doubtful_answer: Option<Vec<u8>>,
}

pub struct Pool {
    pub machines: Vec<MachineEntry>,
    conns: HashMap<Id, Conn>,
    /// Idle connections, the longest idle first.
    idle: BTreeSet<(Ns, Id)>,
    max: usize,
    /// Unread bytes of a connection, unless its next message is a large one.
    allowance: usize,
    pub large_answers: SharedMemory,
    max_machines: usize,
    /// Picks that failed for want of a connection.
    pub exhausted: u64,
    pub dialled: u64,
    pub malformed: u64,
    /// Answers that might have been late copies of earlier ones, and those that were.
    pub doubtful_answers: u64,
    pub late_copies: u64,
}

impl Pool {
    pub fn new(sockets: usize, budget: &MemoryBudget) -> Pool {
        Pool {
            machines: Vec::new(),
            conns: HashMap::new(),
            idle: BTreeSet::new(),
            max: (sockets - RESERVED_DESCRIPTORS) / 2,
            allowance: budget.machine_allowance,
            large_answers: SharedMemory::new(budget.large_answers),
            max_machines: budget.machines,
            exhausted: 0,
            dialled: 0,
            malformed: 0,
            doubtful_answers: 0,
            late_copies: 0,
        }
    }

    pub fn owns(&self, id: Id) -> bool {
        self.conns.contains_key(&id)
    }

    /// Number of connections, and of idle ones.
    pub fn count(&self) -> (usize, usize) {
        (self.conns.len(), self.idle.len())
    }

    /// Takes the machine's most recently used connection that has been idle for at least `REUSE_DELAY`, so that
    /// surplus connections expire.
    fn take_reusable(&mut self, machine: usize, now: Ns) -> Option<Id> {
        let reusable = |id: &Id| {
            let state = self.conns.get(id).map(|c| c.state);
            !matches!(state, Some(ConnState::Idle(since)) if now - since < REUSE_DELAY)
        };
        let idle = &mut self.machines[machine].idle;
        let at = idle.iter().rposition(reusable)?;
        Some(idle.remove(at))
    }

    /// Admits the connection that has waited longest for room for its answer.
    fn admit_next(&mut self) -> Option<(Id, Reservation)> {
        let conns = &self.conns;
        self.large_answers.admit_next(|id| conns.get(&id).map(|conn| conn.reservation))
    }

    pub fn pick_ended(&mut self, machine: usize) {
        let entry = &mut self.machines[machine];
        entry.outstanding = entry.outstanding.saturating_sub(1);
    }
}

impl Effects {
    /// Stores a machine's record. A different address, build or start time means another process, which needs new
    /// connections.
    pub fn update_machine(
        &mut self, machine: usize, addr: Option<SocketAddr>, build: u32, started: Option<Ns>, gone: bool,
    ) {
        let now = self.net.now();
        if self.pool.machines.len() <= machine {
            self.pool.machines.resize_with(machine + 1, MachineEntry::default);
        }
        let entry = &mut self.pool.machines[machine];
        let replaced = (entry.addr, entry.build, entry.started) != (addr.or(entry.addr), build, started);
        entry.incarnation = entry.incarnation.wrapping_add(u32::from(replaced));
        (entry.addr, entry.build, entry.started) = (addr.or(entry.addr), build, started);
        entry.gone = if gone { entry.gone.or(Some(now)) } else { None };
        if gone || replaced {
            for id in std::mem::take(&mut entry.idle) {
                self.drop_machine_conn(id);
            }
        }
    }

    /// Marks all machines as gone that a full roster does not list.
    pub fn mark_absent_gone(&mut self, listed: &[usize]) {
        let listed: BTreeSet<usize> = listed.iter().copied().collect();
        let absent = (0..self.pool.machines.len()).filter(|m| !listed.contains(m)).collect::<Vec<_>>();
        for machine in absent {
            let entry = &self.pool.machines[machine];
            let (addr, build, started) = (entry.addr, entry.build, entry.started);
            self.update_machine(machine, addr, build, started, true);
        }
    }

    /// Whether a machine of this name may be stored: at the limit only known ones are.
    pub fn may_list(&self, name: &str) -> bool {
        self.ids.machine_index(name).is_some() || self.ids.machine_count() < self.pool.max_machines
    }

    pub fn forget_machines(&mut self) {
        let now = self.net.now();
        for (machine, entry) in self.pool.machines.iter_mut().enumerate() {
            if entry.outstanding == 0 && entry.gone.is_some_and(|since| now - since >= FORGET_AFTER) {
                self.ids.forget_machine(machine);
                self.start_times.forget(machine);
                let incarnation = entry.incarnation.wrapping_add(1);
                *entry = MachineEntry { incarnation, ..MachineEntry::default() };
            }
        }
    }

    pub fn send_pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        let now = self.net.now();
        let done = self.ids.finished(rpc);
        let Some(open) = self.open.get_mut(rpc).and_then(Option::as_mut) else { return };
        let number = open.picks.len();
        open.picks.push(Pick {
            machine,
            sent: now,
            deadline: now + time_out,
            outstanding: true,
            may_have_run: false,
            conn: None,
        });
        self.ids.pick_sent(rpc);
        self.counters.picks += 1;
        let entry = &mut self.pool.machines[machine];
        entry.outstanding += 1;
        let Some(to) = entry.addr.filter(|_| time_out > 0 && !done) else {
            let how = if time_out > 0 && !done { Outcome::Unreachable } else { Outcome::Void };
            return self.pending_ends.push_back((rpc, number, how));
        };
        while let Some(id) = self.pool.take_reusable(machine, now) {
            // A connection that is closed or has unexpected bytes is replaced; the pick has not run.
            let usable = self.nothing_unhandled(id)
                && self.pool.conns.get(&id).is_some_and(|c| c.reader.is_reusable());
            if usable && self.send_statement(id, rpc, number) {
                return;
            }
            self.drop_machine_conn(id);
        }
        if self.pool.conns.len() >= self.pool.max {
            match self.pool.idle.first().copied() {
                Some((_, id)) => self.drop_machine_conn(id),
                None => {
                    self.pool.exhausted += 1;
                    return self.pending_ends.push_back((rpc, number, Outcome::Unreachable));
                }
            }
        }
        let timeout = self.connect_timeout(rpc).min(time_out);
        let Ok(id) = self.net.dial(to, timeout) else {
            self.pool.exhausted += 1;
            return self.pending_ends.push_back((rpc, number, Outcome::Unreachable));
        };
        self.pool.dialled += 1;
        let incarnation = self.pool.machines[machine].incarnation;
        let pick = Some((rpc, number));
        let conn = Conn {
            machine,
            incarnation,
            state: ConnState::Opening,
            reader: ResponseReader::default(),
            pick,
            reservation: Reservation::None,
            recent_answers: RecentAnswers::default(),
            doubtful_answer: None,
        };
        self.pool.conns.insert(id, conn);
        self.net.limit_read(id, self.pool.allowance);
        let mut startup = Vec::new();
        pg::put_startup(&mut startup, "api", "ledger");
        self.net.send(id, &startup);
        self.set_deadline(id, now + timeout);
        if let Some(open) = self.open[rpc].as_mut() {
            open.picks[number].conn = Some(id);
        }
    }

    /// How long connecting for an RPC may take. If the module allows a repeat within the method's deduplication
    /// window, the repeat must also be sent within that window.
    fn connect_timeout(&self, rpc: usize) -> Ns {
        let max = self.config.connect_timeout;
        let Some(open) = self.open[rpc].as_ref() else { return max };
        let method = &self.config.front_config.methods[open.method];
        let first = open.picks.iter().filter(|p| p.may_have_run).map(|p| p.sent).min();
        let first_run = first.filter(|_| method.idempotency == Idempotency::Tokened);
        let window_left =
            |at: Ns| at + method.dedup_window - 2 * self.config.front_config.step - self.net.now();
        first_run.map_or(max, |at| window_left(at).min(max))
    }

    /// Whether a pick's statement may be sent on a connection now.
    fn may_send(&mut self, id: Id, rpc: usize, number: usize) -> bool {
        let (Some(conn), Some(open)) = (self.pool.conns.get(&id), self.open[rpc].as_ref()) else {
            return false;
        };
        let entry = &self.pool.machines[conn.machine];
        let send = Send {
            now: self.net.now(),
            finished: self.ids.finished(rpc),
            deadline: open.picks[number].deadline,
            same_process: conn.incarnation == entry.incarnation && entry.gone.is_none(),
            method: &self.config.front_config.methods[open.method],
        };
        let others = open.picks.iter().enumerate().filter(|(other, _)| *other != number);
        self.rules.may_send(&send, others.map(|(_, pick)| EarlierPick::from(pick)))
    }

    /// Sends a pick's statement on a ready connection. Returns false if it may not be sent or the connection is closed, in
    /// which case nothing ran.
    fn send_statement(&mut self, id: Id, rpc: usize, number: usize) -> bool {
        let now = self.net.now();
        if !self.may_send(id, rpc, number) {
            return false;
        }
        let Some(open) = self.open[rpc].as_mut() else { return false };
        let deadline = open.picks[number].deadline;
        let mut query = Vec::with_capacity(open.text.len() + 16);
        pg::put_query(
            &mut query,
            &statement::with_deadline(&open.text, &open.deadline_range, (deadline - now) / MS),
        );
        if !self.net.send(id, &query) {
            return false;
        }
        open.picks[number].conn = Some(id);
        if let Some(conn) = self.pool.conns.get_mut(&id) {
            if let ConnState::Idle(since) = conn.state {
                self.pool.idle.remove(&(since, id));
            }
            (conn.state, conn.pick) = (ConnState::QuerySent, Some((rpc, number)));
            conn.reader.query_sent();
        }
        self.set_deadline(id, deadline);
        true
    }

    /// Closes a connection to a machine. Its pick is left to the caller.
    pub fn drop_machine_conn(&mut self, id: Id) {
        let Some(conn) = self.pool.conns.remove(&id) else { return };
        self.end_answer_reservation(id, conn.reservation);
        if let ConnState::Idle(since) = conn.state {
            self.pool.idle.remove(&(since, id));
            self.pool.machines[conn.machine].idle.retain(|i| *i != id);
        }
        self.deadlines.clear(id);
        self.net.close(id);
    }

    /// Uses a connection that has just become ready: sends the pick's statement if the pick is still `valid`, else
    /// keeps the connection for others. Returns whether the statement was sent.
    pub fn use_opened(&mut self, id: Id, rpc: usize, number: usize, valid: bool) -> bool {
        let sent = valid && self.send_statement(id, rpc, number);
        if !valid {
            self.park_connection(id);
        } else if !sent {
            self.drop_machine_conn(id);
        }
        sent
    }

    /// Reserves room for the next message of a machine if that is longer than the allowance, or lets it wait.
    fn reserve_large_answer(&mut self, id: Id) {
        let now = self.net.now();
        let Some(conn) = self.pool.conns.get_mut(&id) else { return };
        let bytes = conn.reader.buffered_len() + conn.reader.missing_bytes();
        if bytes <= self.pool.allowance {
            return;
        }
        if conn.reservation == Reservation::None {
            conn.reservation = self.pool.large_answers.reserve(id, bytes, now);
        }
        self.read_large_answer(id);
    }

    /// Reads the rest of a large message, or nothing while its connection waits for room.
    fn read_large_answer(&mut self, id: Id) {
        let Some(conn) = self.pool.conns.get(&id) else { return };
        self.net.limit_read(id, conn.reader.missing_bytes() + MAX_ANSWER_TAIL);
        self.net.pause(id, conn.reservation.is_waiting());
    }

    /// Gives up the room that a machine's connection holds or waits for, and lets those in that wait for it.
    fn end_answer_reservation(&mut self, id: Id, reservation: Reservation) {
        if reservation == Reservation::None {
            return;
        }
        self.pool.large_answers.end(id, reservation);
        while let Some((id, reservation)) = self.pool.admit_next() {
            if let Some(conn) = self.pool.conns.get_mut(&id) {
                conn.reservation = reservation;
            }
            self.read_large_answer(id);
        }
    }

    /// Keeps a ready connection for reuse, or closes it; returns whether it was kept.
    fn park_connection(&mut self, id: Id) -> bool {
        let now = self.net.now();
        let Some(conn) = self.pool.conns.get_mut(&id) else { return false };
        let entry = &mut self.pool.machines[conn.machine];
        if !conn.reader.is_reusable() || conn.incarnation != entry.incarnation || entry.gone.is_some() {
            self.drop_machine_conn(id);
            return false;
        }
        (conn.state, conn.pick) = (ConnState::Idle(now), None);
        entry.idle.push(id);
        self.pool.idle.insert((now, id));
        // Close it well before the machine does: a statement sent on a closed connection would be answered by a
        // reset.
        self.set_deadline(id, now + self.config.machine_idle_timeout / 3 * 2);
        true
    }

    /// Handles the close of a machine's connection by its peer.
    pub fn machine_closed(&mut self, id: Id, unsent: bool) -> Option<(usize, usize, Outcome)> {
        self.end_machine_conn(id, unsent, Outcome::Broken)
    }

    /// Handles the expiry of a machine's connection, whatever it waits for.
    pub fn machine_timed_out(&mut self, id: Id) -> Option<(usize, usize, Outcome)> {
        let unsent = self.net.backlog(id).is_some_and(|n| n > 0);
        self.end_machine_conn(id, unsent, Outcome::TimedOut)
    }

    /// Closes a machine's connection and ends its pick: as unreachable, since it never ran, if its statement was not
    /// sent completely, else by `how`.
    fn end_machine_conn(&mut self, id: Id, unsent: bool, how: Outcome) -> Option<(usize, usize, Outcome)> {
        let conn = self.pool.conns.get_mut(&id)?;
        let (never_ran, pick) = (unsent || conn.state == ConnState::Opening, conn.pick.take());
        self.drop_machine_conn(id);
        pick.map(|(rpc, n)| (rpc, n, if never_ran { Outcome::Unreachable } else { how }))
    }
}
