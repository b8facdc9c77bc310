//! What the module's actions do, and the tables that they need.
use crate::clients::Clients;
use crate::connection_pool::Pool;
use crate::control_links::{Desk, Discovery};
use crate::Startup;
use rand::rngs::StdRng;
use rand::SeedableRng;
use rockpick::{Ctl, Ns, Outcome, Verdict};
use rockpick_id_table::IdTable;
use rockpick_net::{DeadlineQueue, Event, Id, LogLimiter, Net, MS};
use rockpick_pg as pg;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

/// Tags of the loop's timers; the module's own carry a bit of their own.
pub const MODULE: u64 = 1 << 62;
pub const DUE: u64 = 1;
pub const TICK: u64 = 2;
pub const DESK: u64 = 3;
pub const STOP: u64 = 4;
pub const RELOAD: u64 = 5;
pub const PEERS: u64 = 7;

/// Builds whose ends are counted apart.
const MOST_BUILDS: usize = 4;
/// Lines of one kind in the log, a second.
const LOG_LINES: u32 = 10;
/// An answer that comes so long after its client's time is told in the log.
const LATE_LOGGED_FROM: Ns = 50 * MS;

/// An RPC whose slot is in use.
pub struct Open {
    pub id: u64,
    /// Its client's connection.
    pub conn: Id,
    pub method: usize,
    pub text: String,
    pub wait: Range<usize>,
    /// When the client gives up.
    pub gives_up: Ns,
    pub picks: Vec<Pick>,
}

pub struct Pick {
    pub machine: usize,
    pub sent: Ns,
    /// The machine is waited for until then.
    pub until: Ns,
    pub out: bool,
    /// It has ended, and may have run.
    pub ran: bool,
    pub conn: Option<Id>,
}

#[derive(Default)]
pub struct Tolls {
    pub taken: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub left: u64,
    pub late: u64,
    pub odd: u64,
    pub picks: u64,
    /// Ends of picks, by outcome.
    pub ends: [u64; 8],
    /// The same by build, of the newest few.
    pub by_build: BTreeMap<u32, [u64; 8]>,
}

pub struct Effects {
    pub net: Net,
    pub door: IdTable,
    pub startup: Startup,
    pub open: Vec<Option<Open>>,
    pub clients: Clients,
    pub pool: Pool,
    pub discovery: Discovery,
    pub desk: Desk,
    pub dues: DeadlineQueue,
    /// Ends that came while the module was at work: told to it next.
    pub owed: VecDeque<(usize, usize, Outcome)>,
    /// Open RPCs whose client's connection is gone: told to the module next.
    pub left: VecDeque<usize>,
    /// Events for the next turn.
    pub made: Vec<Event>,
    pub chance: StdRng,
    pub tolls: Tolls,
    pub often: LogLimiter,
    /// Keys that a build has answered here for the first time, where it keeps company.
    pub bound: Vec<(u64, u32)>,
    /// Nanoseconds from 1970 to the loop's beginning.
    pub wall: i128,
}

impl Effects {
    pub fn new(net: Net, startup: Startup, wall: i128) -> Effects {
        Effects {
            clients: Clients::new(startup.sockets),
            pool: Pool::new(startup.sockets),
            discovery: Discovery::new(startup.discovery),
            desk: Desk::new(startup.desk),
            chance: StdRng::seed_from_u64(startup.post.seed),
            net,
            door: IdTable::default(),
            startup,
            open: Vec::new(),
            dues: DeadlineQueue::default(),
            owed: VecDeque::new(),
            left: VecDeque::new(),
            made: Vec::new(),
            tolls: Tolls::default(),
            often: LogLimiter::new(LOG_LINES),
            bound: Vec::new(),
            wall,
        }
    }

    /// The order of a turn's events. What the platform tells counts from when it wrote it, and what a machine has answered
    /// may bind the next pick: both come before any RPC of this turn. A new client may have another give way, so what has
    /// come from those who are here is heard before; what has come from the new one, where it is here as well, after. Time
    /// that is up comes last: what this turn has read of a connection is no longer unread, and would go to nobody.
    pub fn rank(&self, event: &Event) -> u8 {
        match event {
            Event::CallData { call, .. } | Event::CallEnded { call, .. } if self.discovery.owns(*call) => 0,
            Event::StreamData { conn, .. } if self.desk.owns(*conn) => 0,
            Event::StreamData { conn, .. }
            | Event::StreamClosed { conn, .. }
            | Event::StreamOpened { conn }
                if self.desk.owns(*conn) || self.pool.owns(*conn) =>
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
            Event::Timer { tag: DUE } => 5,
            _ => 1,
        }
    }

    /// Something is to become of a connection at a time, unless it is moved or cleared before.
    pub fn due(&mut self, id: Id, at: Ns) {
        if let Some(at) = self.dues.set(id, at) {
            self.net.wake_at(at, DUE);
        }
    }

    /// A pick has ended. Hands the first ok answer to the client; returns the time that it took, and whether
    /// the RPC has its final answer.
    pub fn pick_ended(
        &mut self, rpc: usize, pick: usize, how: Outcome, row: Option<&[u8]>,
    ) -> Option<(Ns, bool)> {
        let now = self.net.now();
        let open = self.open.get_mut(rpc)?.as_mut()?;
        let p = open.picks.get_mut(pick).filter(|p| p.out)?;
        (p.out, p.conn) = (false, None);
        p.ran = how.may_have_run();
        let took = now - p.sent;
        self.pool.came_back(p.machine);
        self.door.came_back(rpc);
        self.tolls.ends[how as usize] += 1;
        let build = self.pool.places[p.machine].build;
        self.tolls.by_build.entry(build).or_default()[how as usize] += 1;
        if self.tolls.by_build.len() > MOST_BUILDS {
            self.tolls.by_build.pop_first();
        }
        if let Some(row) = row.filter(|_| how == Outcome::Ok && !self.door.finished(rpc)) {
            let mut out = Vec::with_capacity(row.len() + 6);
            out.extend_from_slice(row);
            pg::put_ready(&mut out);
            if self.answer(rpc, &out) {
                self.tolls.ok += 1;
            }
        }
        Some((took, self.door.finished(rpc)))
    }

    /// The final answer of an RPC, unless it has one; false where it came too late.
    fn answer(&mut self, rpc: usize, bytes: &[u8]) -> bool {
        let Some(open) = self.open[rpc].as_ref().filter(|_| !self.door.finished(rpc)) else { return false };
        let late_by = self.net.clock() - open.gives_up;
        if late_by >= LATE_LOGGED_FROM {
            if let Some(left_out) = self.often.allow(self.net.now()) {
                let id = format!("{:016x}", open.id);
                let (late_ms, picks) = (late_by / MS, open.picks.len());
                tracing::warn!(event = "late answer", id, late_ms, picks, left_out);
            }
        }
        let (conn, late) = (open.conn, late_by >= 0);
        self.door.finish(rpc);
        // A client that has given up closes its connection; one that has not is owed its answer, however late: a
        // close without one leaves it to guess what became of its RPC.
        self.tolls.late += u64::from(late);
        self.answered(conn, rpc, bytes) && !late
    }

    /// Frees an RPC's slot once nothing more can come of it.
    pub fn sweep(&mut self, rpc: usize) {
        if self.door.sweep(rpc) {
            self.open[rpc] = None;
        }
    }
}

impl Ctl for Effects {
    fn now(&self) -> Ns {
        self.net.now()
    }

    fn pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        self.send_pick(rpc, machine, time_out);
    }

    fn cancel(&mut self, rpc: usize, pick: u32) {
        let open = self.open.get(rpc).and_then(Option::as_ref);
        let Some(p) = open.and_then(|o| o.picks.get(pick as usize)).filter(|p| p.out) else { return };
        if let Some(conn) = p.conn {
            self.drop_machine_conn(conn);
        }
        self.owed.push_back((rpc, pick as usize, Outcome::Cancelled));
    }

    fn push_back(&mut self, rpc: usize, wait: Ns) {
        let mut out = Vec::new();
        let ms = ((wait + MS - 1) / MS).to_string();
        pg::put_error(&mut out, false, pg::TOO_MANY, "pushed back", (wait > 0).then_some(ms.as_str()));
        if self.answer(rpc, &out) {
            self.tolls.pushed_back += 1;
        }
    }

    fn abort(&mut self, rpc: usize) {
        let mut out = Vec::new();
        pg::put_error(&mut out, false, pg::INTERNAL, "aborted", None);
        if self.answer(rpc, &out) {
            self.tolls.aborted += 1;
        }
    }

    fn wake_at(&mut self, at: Ns, tag: u64) {
        self.net.wake_at(at, MODULE | tag);
    }

    /// The module asks for none, and has no ear for their ends.
    fn probe(&mut self, _machine: usize) {}

    /// The platform lets no notes pass between fronts.
    fn tell(&mut self, _peer: Option<u32>, _note: &[u8]) {}

    fn watch(&mut self, on: bool) {
        self.watch_roster(on);
    }

    fn fetch(&mut self) {
        self.fetch_roster();
    }

    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        self.cast_vote(build, stage, verdict);
    }

    fn bound(&mut self, key: u64, build: u32) {
        if self.startup.circle.is_some() {
            self.bound.push((key, build));
        }
    }

    fn note(&mut self, text: &str) {
        tracing::info!(event = "verdict", text);
    }
}
