//! Carries out the decision module's actions, with the tables that they need.
use crate::clients::{Clients, ANSWER_MARGIN};
use crate::connection_pool::Pool;
use crate::control_links::{Discovery, RolloutApi};
use crate::rules::{EarlierPick, Rules};
use crate::start_times::StartTimes;
use crate::Config;
use rand::rngs::StdRng;
use rand::SeedableRng;
use rockpick::{Actions, Ns, Outcome, Verdict};
use rockpick_id_table::IdTable;
use rockpick_net::{DeadlineQueue, Event, Id, LogLimiter, Net, MS};
use rockpick_pg as pg;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::ops::Range;

/// Tags of the event loop's timers. The module's own timers are marked by `MODULE_TIMER`.
pub const MODULE_TIMER: u64 = 1 << 62;
pub const DEADLINE_TIMER: u64 = 1;
pub const TICK_TIMER: u64 = 2;
pub const ROLLOUT_API_TIMER: u64 = 3;
pub const STOP_TIMER: u64 = 4;
pub const RELOAD_TIMER: u64 = 5;
pub const PEERS_TIMER: u64 = 7;

/// Most builds whose pick outcomes are counted separately.
const MAX_BUILDS: usize = 4;
/// Most lines per second in the log, of those that are limited.
const LOG_LINES_PER_SECOND: u32 = 10;
/// An answer that is late by at least this much is logged.
const LATE_LOG_THRESHOLD: Ns = 50 * MS;

/// An RPC whose slot in the id table is in use.
pub struct OpenRpc {
    pub id: u64,
    /// The client's connection.
    pub conn: Id,
    pub method: usize,
    pub text: String,
    pub deadline_range: Range<usize>,
    pub client_deadline: Ns,
    pub picks: Vec<Pick>,
    /// Memory that is reserved for its statement, if that is a large one.
    pub reserved: usize,
}

pub struct Pick {
    pub machine: usize,
    pub sent: Ns,
    pub deadline: Ns,
    pub outstanding: bool,
    /// Whether the pick has ended and the machine may have executed it.
    pub may_have_run: bool,
    pub conn: Option<Id>,
}

impl From<&Pick> for EarlierPick {
    fn from(pick: &Pick) -> EarlierPick {
        EarlierPick { sent: pick.sent, outstanding: pick.outstanding, may_have_run: pick.may_have_run }
    }
}

#[derive(Default)]
pub struct Counters {
    pub taken: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub left: u64,
    pub late: u64,
    pub bad_commands: u64,
    pub picks: u64,
    /// Ended picks by outcome.
    pub ends: [u64; 8],
    /// Ended picks by build and outcome, of the newest builds.
    pub by_build: BTreeMap<u32, [u64; 8]>,
}

pub struct Effects {
    pub net: Net,
    pub ids: IdTable,
    pub config: Config,
    pub open: Vec<Option<OpenRpc>>,
    pub clients: Clients,
    pub pool: Pool,
    pub discovery: Discovery,
    pub rollout_api: RolloutApi,
    pub deadlines: DeadlineQueue,
    /// Picks that ended while the module was processing an event; reported to it afterwards.
    pub pending_ends: VecDeque<(usize, usize, Outcome)>,
    /// Open RPCs whose client has disconnected; reported to the module afterwards.
    pub disconnected: VecDeque<usize>,
    pub queued_events: Vec<Event>,
    /// Clients whose next commands the next turn reads.
    pub queued_reads: HashSet<Id>,
    /// Number of clients' commands that this turn has read.
    pub commands_in_turn: usize,
    /// Counts the turns of the event loop.
    pub turn: u64,
    /// Connections whose data this turn has read and not handled yet.
    pub unhandled_data: HashSet<Id>,
    pub rng: StdRng,
    pub counters: Counters,
    pub rules: Rules,
    pub log_limit: LogLimiter,
    /// Keys that a build has answered here for the first time, to be sent to the peers.
    pub bound_keys: Vec<(u64, u32)>,
    pub start_times: StartTimes,
}

impl Effects {
    pub fn new(mut net: Net, config: Config, wall_offset: i128) -> Effects {
        let budget = config.memory_budget;
        net.accepted_read_limit = budget.client_allowance;
        net.max_read_per_turn = budget.read_per_turn;
        net.max_unsent_dialled = budget.unsent_queries;
        Effects {
            clients: Clients::new(budget),
            pool: Pool::new(config.sockets, &budget),
            discovery: Discovery::new(config.discovery),
            rollout_api: RolloutApi::new(config.rollout_api),
            rng: StdRng::seed_from_u64(config.front_config.seed),
            net,
            ids: IdTable::default(),
            config,
            open: Vec::new(),
            deadlines: DeadlineQueue::default(),
            pending_ends: VecDeque::new(),
            disconnected: VecDeque::new(),
            queued_events: Vec::new(),
            queued_reads: HashSet::new(),
            commands_in_turn: 0,
            turn: 0,
            unhandled_data: HashSet::new(),
            counters: Counters::default(),
            rules: Rules::default(),
            log_limit: LogLimiter::new(LOG_LINES_PER_SECOND),
            bound_keys: Vec::new(),
            start_times: StartTimes::new(wall_offset),
        }
    }

    /// The order in which a turn's events are handled. Rollout and discovery updates take effect from when the
    /// platform wrote them, and machines' answers may bind the next pick, so both come before the RPCs of the turn.
    /// Data of existing clients comes before new connections, as a new connection may evict an idle one; data of a
    /// new connection comes after the connection itself. Expired deadlines come last: data that this turn has read
    /// from a connection no longer counts as unread, and would be lost if the connection were closed first.
    pub fn event_priority(&self, event: &Event) -> u8 {
        match event {
            Event::CallData { call, .. } | Event::CallEnded { call, .. } if self.discovery.owns(*call) => 0,
            Event::StreamData { conn, .. } if self.rollout_api.owns(*conn) => 0,
            Event::StreamData { conn, .. }
            | Event::StreamClosed { conn, .. }
            | Event::StreamOpened { conn }
                if self.rollout_api.owns(*conn) || self.pool.owns(*conn) =>
            {
                1
            }
            Event::StreamData { conn, .. }
            | Event::StreamClosed { conn, .. }
            | Event::StreamFlushed { conn }
                if self.clients.owns(*conn) =>
            {
                2
            }
            Event::StreamOpened { .. } => 3,
            Event::StreamData { .. } | Event::StreamClosed { .. } | Event::StreamFlushed { .. } => 4,
            Event::Timer { tag: DEADLINE_TIMER } => 5,
            _ => 1,
        }
    }

    /// The order of events within their priority: clients that were pushed back often come after the others, so that a turn
    /// that can't read all commands leaves theirs for the next one.
    pub fn event_rank(&self, event: &Event) -> u32 {
        match event {
            Event::StreamData { conn, .. } | Event::StreamFlushed { conn } => self.recent_pushbacks(*conn),
            _ => 0,
        }
    }

    /// Begins a turn: records the data that it has read, before its events are handled one by one.
    pub fn turn_began(&mut self, events: &[Event]) {
        self.turn += 1;
        self.queued_reads.clear();
        self.commands_in_turn = 0;
        self.unhandled_data.clear();
        self.unhandled_data.extend(events.iter().filter_map(|event| match event {
            Event::StreamData { conn, .. } => Some(*conn),
            _ => None,
        }));
    }

    /// The data that this turn has read from a connection is about to be handled.
    pub fn data_handled(&mut self, conn: Id) {
        self.unhandled_data.remove(&conn);
    }

    /// Whether all that has arrived on a connection was handled: neither the kernel nor this turn's events have more.
    pub fn nothing_unhandled(&mut self, conn: Id) -> bool {
        !self.unhandled_data.contains(&conn) && self.net.nothing_unread(conn)
    }

    /// Sets the time at which a connection expires, unless its deadline is changed or cleared before.
    pub fn set_deadline(&mut self, id: Id, at: Ns) {
        if let Some(at) = self.deadlines.set(id, at) {
            self.net.wake_at(at, DEADLINE_TIMER);
        }
    }

    /// Records the end of a pick, and sends the first ok answer to the client. Returns how long the pick took and
    /// whether the RPC has its final answer.
    pub fn pick_ended(
        &mut self, rpc: usize, pick: usize, how: Outcome, row: Option<Vec<u8>>,
    ) -> Option<(Ns, bool)> {
        let now = self.net.now();
        let open = self.open.get_mut(rpc)?.as_mut()?;
        let p = open.picks.get_mut(pick).filter(|p| p.outstanding)?;
        (p.outstanding, p.conn) = (false, None);
        p.may_have_run = how.may_have_run();
        if p.may_have_run {
            let method = &self.config.front_config.methods[open.method];
            self.rules.may_have_run(open.id, method, now);
        }
        let took = now - p.sent;
        self.pool.pick_ended(p.machine);
        self.ids.pick_ended(rpc);
        self.counters.ends[how as usize] += 1;
        let build = self.pool.machines[p.machine].build;
        self.counters.by_build.entry(build).or_default()[how as usize] += 1;
        if self.counters.by_build.len() > MAX_BUILDS {
            self.counters.by_build.pop_first();
        }
        if let Some(mut answer) = row.filter(|_| how == Outcome::Ok && !self.ids.finished(rpc)) {
            pg::put_ready(&mut answer);
            if self.send_final_answer(rpc, answer) {
                self.counters.ok += 1;
            }
        }
        Some((took, self.ids.finished(rpc)))
    }

    /// Sends an RPC's final answer; false if it was too late.
    fn send_final_answer(&mut self, rpc: usize, bytes: Vec<u8>) -> bool {
        let Some(open) = self.open[rpc].as_ref() else { return false };
        if !self.rules.may_answer(self.ids.finished(rpc)) {
            return false;
        }
        let late_by = self.net.clock() - open.client_deadline;
        if late_by >= LATE_LOG_THRESHOLD {
            if let Some(left_out) = self.log_limit.allow(self.net.now()) {
                let id = format!("{:016x}", open.id);
                let (late_ms, picks) = (late_by / MS, open.picks.len());
                tracing::warn!(event = "late answer", id, late_ms, picks, left_out);
            }
        }
        let (conn, late) = (open.conn, late_by >= 0);
        self.finish_rpc(rpc);
        // A client that has given up closes its connection. One that has not gets its answer however late it is: if
        // the connection were closed without one, the client would have to guess the outcome of its RPC.
        self.counters.late += u64::from(late);
        self.send_answer(conn, rpc, bytes) && !late
    }

    /// Marks an RPC as finished: it gets no more picks, so its statement is not needed any more.
    pub fn finish_rpc(&mut self, rpc: usize) {
        self.ids.finish(rpc);
        let Some(open) = self.open.get_mut(rpc).and_then(Option::as_mut) else { return };
        open.text = String::new();
        let reserved = std::mem::take(&mut open.reserved);
        self.release_large_command(reserved);
    }

    /// Lowers the deadlines of the open RPCs, and of their outstanding picks, to `latest`.
    pub fn limit_deadlines(&mut self, latest: Ns) {
        let mut shortened = Vec::new();
        let pick_deadline = latest - ANSWER_MARGIN;
        for open in self.open.iter_mut().flatten() {
            open.client_deadline = open.client_deadline.min(latest);
            for pick in open.picks.iter_mut().filter(|p| p.outstanding && p.deadline > pick_deadline) {
                pick.deadline = pick_deadline;
                shortened.extend(pick.conn);
            }
        }
        for conn in shortened {
            if self.deadlines.get(conn).is_some_and(|at| at > pick_deadline) {
                self.set_deadline(conn, pick_deadline);
            }
        }
    }

    /// Frees an RPC's slot if it is finished and has no outstanding picks.
    pub fn release_rpc(&mut self, rpc: usize) {
        if self.ids.release(rpc) {
            self.open[rpc] = None;
        }
    }
}

impl Actions for Effects {
    fn now(&self) -> Ns {
        self.net.now()
    }

    fn pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        self.send_pick(rpc, machine, time_out);
    }

    fn cancel(&mut self, rpc: usize, pick: u32) {
        let open = self.open.get(rpc).and_then(Option::as_ref);
        let Some(p) = open.and_then(|o| o.picks.get(pick as usize)).filter(|p| p.outstanding) else { return };
        if let Some(conn) = p.conn {
            self.drop_machine_conn(conn);
        }
        self.pending_ends.push_back((rpc, pick as usize, Outcome::Cancelled));
    }

    fn push_back(&mut self, rpc: usize, wait: Ns) {
        let Some(open) = self.open[rpc].as_ref() else { return };
        let method = &self.config.front_config.methods[open.method];
        if !self.rules.may_push_back(method, open.picks.iter().map(EarlierPick::from)) {
            return self.abort(rpc);
        }
        self.pushed_back(open.conn);
        let mut out = Vec::new();
        let ms = ((wait + MS - 1) / MS).to_string();
        pg::put_error(
            &mut out,
            false,
            pg::TOO_MANY_CONNECTIONS,
            "pushed back",
            (wait > 0).then_some(ms.as_str()),
        );
        if self.send_final_answer(rpc, out) {
            self.counters.pushed_back += 1;
        }
    }

    fn abort(&mut self, rpc: usize) {
        let mut out = Vec::new();
        pg::put_error(&mut out, false, pg::INTERNAL_ERROR, "aborted", None);
        if self.send_final_answer(rpc, out) {
            self.counters.aborted += 1;
        }
    }

    fn wake_at(&mut self, at: Ns, tag: u64) {
        self.net.wake_at(at, MODULE_TIMER | tag);
    }

    /// The module requests no probes here and does not expect their results.
    fn probe(&mut self, _machine: usize) {}

    /// The platform does not allow notes between fronts.
    fn send_note(&mut self, _peer: Option<u32>, _note: &[u8]) {}

    fn watch(&mut self, on: bool) {
        self.watch_roster(on);
    }

    fn fetch(&mut self) {
        self.fetch_roster();
    }

    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        self.cast_vote(build, stage, verdict);
    }

    fn key_bound(&mut self, key: u64, build: u32) {
        if self.config.peers.is_some() {
            self.bound_keys.push((key, build));
        }
    }

    fn log(&mut self, text: &str) {
        tracing::info!(event = "verdict", text);
    }
}
