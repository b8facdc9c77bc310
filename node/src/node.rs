//! The loop: events in, calls to the module out.
use crate::clients::{Asked, MARGIN};
use crate::connection_pool::Came;
use crate::control_links::{standing, Tell, ENDS};
use crate::effects::{Effects, Open, DESK, DUE, MODULE, PEERS, RELOAD, STOP, TICK};
use crate::lateness::Lateness;
use crate::Startup;
use rockpick::{Front, Ns, Outcome, Reply, Roll};
use rockpick_net::{BoundListener, Event, Id, Net, MS, SEC};
use rockpick_peers::{Company, Peers};
use rockpick_pg as pg;
use rockpick_platform::{roster, statement};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
/// The platform goes on sending new connections for up to 0.4 s after SIGTERM: they are served.
const GOES_ON: Ns = 450 * MS;
/// After the last answer, so that it is read before the process ends; and how often a stop looks who is done.
const LAST: Ns = 100 * MS;
/// From SIGTERM on the platform waits for the longest deadline, and for this at the least, and then for a little more.
const LEAST_STOP: Ns = 3 * SEC;
/// Of that little, what is made use of: a connection that never rests must not have the process killed.
const BEYOND: Ns = 600 * MS;
/// A method without a deadline is waited for no longer than this.
const MOST_STOP: Ns = 30 * SEC;
/// A configuration that can't be read may be being written: it is read again so soon, and so often.
const READ_AGAIN: (Ns, u32) = (100 * MS, 20);
/// Counts in the log, and forgetting.
const TICK_EVERY: Ns = SEC;

pub struct Node {
    effects: Effects,
    front: Front,
    pub at: SocketAddr,
    /// Its address while nobody can connect to it yet.
    bound: Option<BoundListener>,
    listener: Option<Id>,
    /// When a stop began; when its door was closed; since when it owes nothing.
    stopping: Option<Ns>,
    door_closed: Option<Ns>,
    rested: Option<Ns>,
    /// How often a configuration that can't be read is still to be read again.
    again: u32,
    /// When the next counts are due.
    next_tick: Ns,
    lateness: Lateness,
    /// The other fronts, where it was told to join them.
    peers: Option<Peers>,
}

/// Runs a node until SIGTERM ends it; `ready` hears the address taken.
///
/// # Errors
/// An address that can't be listened on, no signals, a loop that fails.
pub fn run(startup: Startup, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
    let mut node = Node::prepare(startup)?;
    node.listen()?;
    ready(node.at);
    tracing::info!(event = "node up", at = %node.at, sockets = node.effects.startup.sockets, machines = node.effects.door.machines());
    node.work()
}

/// Says of an error what the system says of it.
fn say(err: std::io::Error) -> String {
    err.to_string()
}

impl Node {
    /// All of a start but that clients can connect.
    ///
    /// # Errors
    /// An address that can't be had, no signals, a loop that fails.
    pub fn prepare(startup: Startup) -> Result<Node, String> {
        let mut net = Net::new(0).map_err(say)?;
        net.max_streams = startup.sockets - crate::connection_pool::OURS / 2;
        net.stream_refusal = crate::clients::too_many_connections();
        for signal in [SIGHUP, SIGTERM, SIGINT] {
            net.on_signal(signal).map_err(say)?;
        }
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as i128);
        let wall = since_1970 - i128::from(net.clock());
        let bound =
            BoundListener::bind(startup.listen).map_err(|err| format!("{}: {err}", startup.listen))?;
        let (post, known, stood) = (startup.post.clone(), startup.known.clone(), startup.stood);
        let mut effects = Effects::new(net, startup, wall);
        let mut events = Vec::new();
        effects.net.turn(&mut events, 0).map_err(say)?;
        // The watch goes on from the list at start. Asked for all since the beginning, discovery has no word of a machine
        // that came and left in between, and a list that still has it up would never be put right.
        let at_start = roster::read(&known, &mut effects.startup.zones);
        effects.discovery.seq = at_start.as_ref().map_or(0, |telling| telling.seq);
        // Where lists are pushed the module asks for none; here a watch is what brings them.
        if !post.ask_roster {
            effects.watch_roster(true);
        }
        let mut front = Front::start(post, &mut effects);
        let peers = match effects.startup.circle.clone() {
            Some(circle) => {
                let (name, told) = (effects.startup.name.clone(), effects.startup.post.fronts);
                Some(Peers::begin(&mut effects.net, &name, told, &circle, PEERS)?)
            }
            None => None,
        };
        if let Some(peers) = &peers {
            peers.tell_all(&mut front);
        }
        let next_tick = effects.net.now() + TICK_EVERY;
        let mut node = Node {
            effects,
            front,
            at: bound.at,
            bound: Some(bound),
            listener: None,
            stopping: None,
            door_closed: None,
            rested: None,
            again: 0,
            next_tick,
            lateness: Lateness::default(),
            peers,
        };
        if let Some(telling) = at_start {
            let told = node.effects.listed(Roll::Saved, telling);
            node.tell(told);
        }
        if let Some(stood) = stood {
            let news = standing(node.effects.net.now(), stood);
            node.tell(Tell::Told(Reply::News, Some(news)));
        }
        node.effects.follow_desk();
        node.effects.net.wake_at(next_tick, TICK);
        node.effects.made.append(&mut events);
        Ok(node)
    }

    /// Lets clients connect. It comes last in a start: a client that connects to a process which is still
    /// held up there would wait beyond its time, where one that is refused goes to another node.
    ///
    /// # Errors
    /// A socket that can't listen.
    pub fn listen(&mut self) -> Result<(), String> {
        let bound = self.bound.take().ok_or("it listens already")?;
        let at = bound.at;
        let listener = self.effects.net.listen_streams_on(bound).map_err(|err| format!("{at}: {err}"))?;
        self.listener = Some(listener);
        Ok(())
    }

    fn work(mut self) -> Result<(), String> {
        let mut events = Vec::new();
        loop {
            events.append(&mut self.effects.made);
            self.effects.net.turn(&mut events, SEC).map_err(|err| err.to_string())?;
            let many = events.len();
            events.sort_by_cached_key(|event| self.effects.rank(event));
            for event in events.drain(..) {
                self.event(event);
                self.settle();
            }
            self.lateness.turn_over(self.effects.net.now(), self.effects.net.clock(), many);
            if self.ended() {
                tracing::info!(event = "node down");
                return Ok(());
            }
        }
    }

    /// Tells the module of ends that came while it was at work.
    fn settle(&mut self) {
        while let Some((rpc, pick, how)) = self.effects.owed.pop_front() {
            self.pick_over(rpc, pick, how, None);
        }
        while let Some(rpc) = self.effects.left.pop_front() {
            self.client_left(rpc);
        }
        self.share();
    }

    /// What this front's RPCs have bound goes to the others, and what they know comes here.
    fn share(&mut self) {
        let Some(peers) = &mut self.peers else { return };
        self.effects.bound.drain(..).for_each(|(key, build)| peers.bind(key, build));
        let Some(news) = peers.news() else { return };
        news.tell(&mut self.front);
        // Its own desk may be silent, or cut off: more careful at once.
        if let Some(s) = news.withdrawn {
            tracing::info!(event = "withdrawn, by another front", build = s.build);
            self.tell(Tell::Told(Reply::News, Some(s)));
        }
    }

    fn pick_over(&mut self, rpc: usize, pick: usize, how: Outcome, row: Option<&[u8]>) {
        if let Some((took, last)) = self.effects.pick_ended(rpc, pick, how, row) {
            self.front.ended(&mut self.effects, rpc, pick, how, took, last);
            self.effects.sweep(rpc);
        }
    }

    fn machine_bytes(&mut self, conn: Id, bytes: &[u8]) {
        for (rpc, pick, came) in self.effects.machine_bytes(conn, bytes) {
            match came {
                Came::Over(how, row) => self.pick_over(rpc, pick, how, row.as_deref()),
                Came::Ready => {
                    let machine = self.effects.open[rpc].as_ref().map(|open| open.picks[pick].machine);
                    let stands = machine.is_some_and(|machine| self.front.stands(rpc, machine));
                    if self.effects.ask_opened(conn, rpc, pick, stands) {
                        // What it has said beyond its welcome.
                        self.machine_bytes(conn, &[]);
                    } else {
                        let how = if stands { Outcome::Unreachable } else { Outcome::Void };
                        self.pick_over(rpc, pick, how, None);
                    }
                }
            }
        }
    }

    fn tell(&mut self, told: Tell) {
        let (front, effects) = (&mut self.front, &mut self.effects);
        match told {
            Tell::Members(roll, members) => front.members(effects, roll, &members),
            Tell::Told(reply, news) => {
                let news = match &mut self.peers {
                    Some(peers) => news.map(|s| peers.stands(s)),
                    None => news,
                };
                if let Some(s) = news {
                    tracing::info!(event = "standing", build = s.build, stage = s.stage, phase = ?s.phase, cap = s.cap, reply = ?reply);
                }
                front.told(effects, reply, news);
            }
            Tell::Tallied { build, method, picks, not_ok } => {
                front.tallied(effects, build, method, picks, not_ok)
            }
            Tell::Disputed { machine, sent } => front.disputed(effects, machine, sent),
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::StreamOpened { conn } => {
                if self.effects.desk.owns(conn) {
                    self.effects.desk_came(conn);
                } else if !self.effects.pool.owns(conn) {
                    self.effects.client_came(conn);
                }
            }
            Event::StreamData { conn, bytes } => {
                if self.effects.clients.owns(conn) {
                    self.effects.client_bytes(conn, &bytes);
                    self.read_client(conn);
                } else if self.effects.pool.owns(conn) {
                    self.machine_bytes(conn, &bytes);
                } else {
                    self.effects.desk_bytes(conn, &bytes).into_iter().for_each(|told| self.tell(told));
                }
            }
            Event::StreamFlushed { conn } => self.read_client(conn),
            Event::StreamClosed { conn, unsent } => {
                if self.effects.clients.owns(conn) {
                    self.effects.forget_client(conn);
                } else if let Some((rpc, pick, how)) = self.effects.machine_gone(conn, unsent) {
                    self.pick_over(rpc, pick, how, None);
                } else if self.effects.desk.owns(conn) {
                    self.effects.desk_over(conn, unsent).into_iter().for_each(|told| self.tell(told));
                }
            }
            Event::CallData { call, status, bytes } => {
                self.effects.watch_piece(call, status, &bytes).into_iter().for_each(|told| self.tell(told));
            }
            Event::CallEnded { call, end } => {
                self.effects.discovery_over(call, Some(end)).into_iter().for_each(|told| self.tell(told));
            }
            Event::Timer { tag } if tag & MODULE != 0 => self.front.woke(&mut self.effects, tag & !MODULE),
            Event::Timer { tag: DUE } => self.dues(),
            Event::Timer { tag: PEERS } => {
                if let Some(peers) = &mut self.peers {
                    peers.woke(&mut self.effects.net);
                }
            }
            Event::Datagram { from, bytes } => {
                if let Some(peers) = &mut self.peers {
                    peers.datagram(&mut self.effects.net, from, &bytes);
                }
            }
            Event::Timer { tag: TICK } => self.tick(),
            Event::Timer { tag: DESK } => self.effects.follow_desk(),
            Event::Timer { tag: STOP } => self.close_door(),
            Event::Signal { number: SIGHUP } => {
                self.again = READ_AGAIN.1;
                self.reload();
            }
            Event::Timer { tag: RELOAD } => self.reload(),
            Event::Signal { number } => self.stop(number),
            _ => {}
        }
    }

    fn dues(&mut self) {
        let now = self.effects.net.now();
        while let Some(id) = self.effects.dues.pop_expired(now) {
            if self.effects.clients.owns(id) {
                self.effects.client_due(id);
            } else if self.effects.pool.owns(id) {
                if let Some((rpc, pick, how)) = self.effects.machine_due(id) {
                    self.pick_over(rpc, pick, how, None);
                }
            } else if self.effects.desk.owns(id) {
                self.effects.desk_over(id, false).into_iter().for_each(|told| self.tell(told));
            } else {
                self.effects.discovery_over(id, None).into_iter().for_each(|told| self.tell(told));
            }
            self.settle();
        }
        if let Some(at) = self.effects.dues.timer_fired(now) {
            self.effects.net.wake_at(at, DUE);
        }
    }

    fn read_client(&mut self, conn: Id) {
        loop {
            let (front, now) = (&self.front, self.effects.net.now());
            let room = |startup: &Startup, text: &str| {
                let method = statement::read(text).ok().and_then(|s| startup.method(s.method));
                method.is_none_or(|method| front.has_room(now, method))
            };
            let Asked::Statement(text, came) = self.effects.client_reads(conn, room) else { return };
            self.take(conn, text, came);
            self.settle();
        }
    }

    /// A client's statement: an RPC, if it is one.
    fn take(&mut self, conn: Id, text: String, came: Ns) {
        let read = statement::read(&text).map_err(str::to_string).and_then(|s| {
            let method = self.effects.startup.method(s.method).ok_or_else(|| "no such method".to_string())?;
            if self.effects.door.rpc(s.id).is_some() {
                return Err("an RPC of this id is open".to_string());
            }
            Ok((s.id, method, s.key_number(), s.wait_ms, s.wait.clone()))
        });
        let (id, method, key, wait_ms, wait) = match read {
            Ok(read) => read,
            Err(why) => return self.effects.odd_command(conn, &format!("not taken: {why}")),
        };
        // The client's time runs from then on, also while the statement waited for others of its connection.
        let gives_up = came + ((wait_ms * MS as f64) as Ns).min(self.effects.startup.methods[method].1);
        let rpc = self.effects.door.open(id);
        if self.effects.open.len() <= rpc {
            self.effects.open.resize_with(rpc + 1, || None);
        }
        let bytes = text.len();
        self.effects.open[rpc] = Some(Open { id, conn, method, text, wait, gives_up, picks: Vec::new() });
        self.effects.tolls.taken += 1;
        self.effects.client_opens(conn, rpc, bytes);
        if gives_up <= self.effects.net.now() + MARGIN {
            // No time for a pick and the way back: nothing was sent, so it may come again at will.
            rockpick::Ctl::push_back(&mut self.effects, rpc, 0);
        } else {
            self.front.taken(&mut self.effects, rpc, method, Some(key), gives_up - MARGIN);
            self.settle();
        }
        self.effects.sweep(rpc);
    }

    fn client_left(&mut self, rpc: usize) {
        if !self.effects.door.finished(rpc) {
            self.effects.tolls.left += 1;
            self.effects.door.finish(rpc);
            self.front.left(rpc);
        }
        self.effects.sweep(rpc);
    }

    fn tick(&mut self) {
        let now = self.effects.net.now();
        self.lateness.timer_came(self.next_tick, now);
        self.next_tick = now + TICK_EVERY;
        self.effects.net.wake_at(self.next_tick, TICK);
        self.effects.forget_machines();
        let longest = self.lateness.take_longest();
        let t = &self.effects.tolls;
        let by_build = format!("{:?}", t.by_build);
        let ends = ENDS.map(|(name, how)| format!("{name} {}", t.ends[how as usize])).join(", ");
        let (conns, idle) = self.effects.pool.count();
        let closed = &self.effects.clients.closed;
        if let Some(peers) = &self.peers {
            tracing::info!(event = "peers", counts = %peers.counts());
        }
        tracing::info!(
            event = "counts",
            taken = t.taken,
            ok = t.ok,
            pushed_back = t.pushed_back,
            aborted = t.aborted,
            left = t.left,
            late = t.late,
            odd = t.odd,
            picks = t.picks,
            ends,
            by_build,
            open = self.effects.door.in_use(),
            longest_turn_ms = longest.turn / MS,
            latest_timer_ms = longest.timer / MS,
            clients = self.effects.clients.count(),
            turned_away = self.effects.clients.turned_away,
            closed_for_room = closed.for_room,
            closed_idle = closed.idle,
            closed_in_stop = closed.in_stop,
            conns,
            idle,
            dialled = self.effects.pool.dialled,
            scarce = self.effects.pool.scarce,
            spoilt = self.effects.pool.spoilt,
            streams = self.effects.net.streams(),
            watching = self.effects.discovery.watching(),
            tellings = self.effects.discovery.tellings,
            desk = self.effects.desk.served(),
            heard = self.effects.desk.heard
        );
    }

    /// Reads the file anew; one that can't be read changes nothing, and is read again a few times: the signal may have come
    /// while it was written.
    fn reload(&mut self) {
        let file = self.effects.startup.file.clone();
        let var = |name: &str| match name {
            "PROXY_CONFIG" => file.as_ref().map(|f| f.display().to_string()),
            _ => std::env::var(name).ok(),
        };
        match Startup::read(var) {
            Ok(fresh) => {
                tracing::info!(event = "reload", discovery = %fresh.discovery, desk = ?fresh.desk);
                self.again = 0;
                self.effects.moved(fresh.discovery, fresh.desk);
            }
            Err(why) => {
                tracing::error!(event = "reload", why, again = self.again);
                if let Some(left) = self.again.checked_sub(1) {
                    self.again = left;
                    self.effects.net.wake_at(self.effects.net.now() + READ_AGAIN.0, RELOAD);
                }
            }
        }
    }

    fn stop(&mut self, number: i32) {
        if self.stopping.is_some() {
            return;
        }
        tracing::info!(event = "stopping", number);
        let now = self.effects.net.now();
        self.stopping = Some(now);
        self.effects.net.wake_at(now + GOES_ON, STOP);
        if let Some(peers) = &mut self.peers {
            peers.leave(&mut self.effects.net);
        }
    }

    /// Takes what has come to the listener, and closes it; from now on connections end between two RPCs.
    fn close_door(&mut self) {
        let now = self.effects.net.now();
        self.effects.net.wake_at(now + LAST, STOP);
        if self.door_closed.is_some() {
            return;
        }
        self.door_closed = Some(now);
        let Some(listener) = self.listener.take() else { return };
        let mut events = Vec::new();
        loop {
            let before = events.len();
            self.effects.net.accept_streams(&mut events, listener);
            if events.len() == before {
                break;
            }
        }
        self.effects.net.close(listener);
        self.effects.made.append(&mut events);
        // Nobody comes any more for whom descriptors are to be kept.
        self.effects.net.max_closing = self.effects.net.max_streams;
    }

    /// In a stop: is everything answered, and on its way to whoever reads slowly?
    fn ended(&mut self) -> bool {
        let Some((began, door_closed)) = self.stopping.zip(self.door_closed) else { return false };
        let now = self.effects.net.now();
        self.effects.close_clients(door_closed);
        let owes = self.effects.clients.count() > 0
            || self.effects.net.unflushed_closing() > 0
            || !self.effects.made.is_empty();
        let longest = self.effects.startup.methods.iter().map(|(_, longest)| *longest).max().unwrap_or(0);
        if owes && now - began < longest.clamp(LEAST_STOP, MOST_STOP) + BEYOND {
            self.rested = None;
            return false;
        }
        now - *self.rested.get_or_insert(now) >= LAST
    }
}

const _: () = assert!(pg::MOST_QUERY > 2 * pg::MOST_VALUE);
