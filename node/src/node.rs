//! The event loop: passes events to the decision module.
use crate::clients::{ClientInput, ANSWER_MARGIN};
use crate::connection_pool::PickEvent;
use crate::control_links::{to_rollout_status, ModuleEvent, OUTCOME_NAMES};
use crate::effects::{
    Effects, OpenRpc, DEADLINE_TIMER, MODULE_TIMER, PEERS_TIMER, RELOAD_TIMER, ROLLOUT_API_TIMER, STOP_TIMER,
    TICK_TIMER,
};
use crate::lateness::Lateness;
use crate::shutdown::{Shutdown, LINGER};
use crate::start_times::Source;
use crate::Config;
use rockpick::{Front, Ns, Outcome, Reply, RosterUpdate};
use rockpick_net::{BoundListener, Event, Id, Net, MS, SEC};
use rockpick_peers::{PeerService, Peers};
use rockpick_pg as pg;
use rockpick_platform::statement;
use std::net::SocketAddr;

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
/// Delay between attempts to read an invalid configuration again: the file may just be being written.
const RELOAD_RETRY_DELAY: Ns = 100 * MS;
const MAX_RELOAD_RETRIES: u32 = 20;
/// Interval of the counts in the log and of forgetting machines that are gone.
const TICK_INTERVAL: Ns = SEC;
/// How often connections are accepted before the listener is closed, each time as many as a turn accepts.
const MAX_LAST_ACCEPTS: u32 = 1_000;
const KIB: usize = 1024;

pub struct Node {
    pub(crate) effects: Effects,
    front: Front,
    pub at: SocketAddr,
    /// The bound socket until `listen` is called; no client can connect to it.
    bound: Option<BoundListener>,
    listener: Option<Id>,
    shutdown: Option<Shutdown>,
    /// When a new configuration was last announced.
    reload_requested: Ns,
    /// Remaining attempts to read an invalid configuration again.
    reload_retries: u32,
    /// When the next tick is due.
    next_tick: Ns,
    lateness: Lateness,
    /// The other fronts, if the node was configured to join them.
    peers: Option<Peers>,
}

/// Runs a node until SIGTERM ends it; `ready` is called with its address once it listens.
///
/// # Errors
/// An address that can't be bound, signal handlers that can't be installed, or a failure of the event loop.
pub fn run(config: Config, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
    let mut node = Node::prepare(config)?;
    node.listen()?;
    ready(node.at);
    tracing::info!(event = "node up", at = %node.at, sockets = node.effects.config.sockets, machines = node.effects.ids.machine_count());
    node.run_loop()
}

fn error_text(err: std::io::Error) -> String {
    err.to_string()
}

impl Node {
    /// Does everything to start a node except accepting connections.
    ///
    /// # Errors
    /// An address that can't be bound, signal handlers that can't be installed, or a failure of the event loop.
    pub fn prepare(config: Config) -> Result<Node, String> {
        let mut net = Net::new(0).map_err(error_text)?;
        net.max_streams = config.sockets - crate::connection_pool::OWN_DESCRIPTORS / 2;
        net.stream_refusal = crate::clients::too_many_connections();
        for signal in [SIGHUP, SIGTERM, SIGINT] {
            net.on_signal(signal).map_err(error_text)?;
        }
        let wall_offset = rockpick_net::wall_time() - i128::from(net.clock());
        let bound = BoundListener::bind(config.listen).map_err(|err| format!("{}: {err}", config.listen))?;
        let (front_config, initial_status) = (config.front_config.clone(), config.initial_status);
        let mut effects = Effects::new(net, config, wall_offset);
        let mut events = Vec::new();
        effects.net.turn(&mut events, 0).map_err(error_text)?;
        // The watch continues from the sequence number of the initial roster. If it began at 0, discovery would not
        // report a machine that came and left in between, and an initial roster that lists it as up would never be
        // corrected.
        let initial_roster = effects.config.initial_roster.take();
        effects.discovery.seq = initial_roster.as_ref().map_or(0, |update| update.seq);
        // If rosters are pushed, the module does not request a watch; this node receives them through one all the
        // same.
        if !front_config.ask_roster {
            effects.watch_roster(true);
        }
        let mut front = Front::start(front_config, &mut effects);
        let peers = match effects.config.peers.clone() {
            Some(peers_config) => {
                let (name, fronts) = (effects.config.name.clone(), effects.config.front_config.fronts);
                Some(Peers::start(&mut effects.net, &name, fronts, &peers_config, PEERS_TIMER)?)
            }
            None => None,
        };
        if let Some(peers) = &peers {
            peers.replay_to(&mut front);
        }
        let next_tick = effects.net.now() + TICK_INTERVAL;
        let mut node = Node {
            effects,
            front,
            at: bound.at,
            bound: Some(bound),
            listener: None,
            shutdown: None,
            reload_requested: 0,
            reload_retries: 0,
            next_tick,
            lateness: Lateness::default(),
            peers,
        };
        if let Some(update) = initial_roster {
            let event = node.effects.apply_update(RosterUpdate::Saved, update, Source::List);
            node.deliver(event);
        }
        if let Some(initial_status) = initial_status {
            let status = to_rollout_status(node.effects.net.now(), initial_status);
            node.deliver(ModuleEvent::Status(Reply::News, Some(status)));
        }
        node.effects.subscribe();
        node.effects.net.wake_at(next_tick, TICK_TIMER);
        node.effects.queued_events.append(&mut events);
        Ok(node)
    }

    /// Starts to accept connections. This is the last step of a start: if the process is delayed while it starts,
    /// clients that had connected would wait beyond their deadlines, whereas refused ones go to another node.
    ///
    /// # Errors
    /// A socket that can't listen.
    pub fn listen(&mut self) -> Result<(), String> {
        let bound = self.bound.take().ok_or("already listening")?;
        let at = bound.at;
        let listener = self.effects.net.listen_streams_on(bound).map_err(|err| format!("{at}: {err}"))?;
        self.listener = Some(listener);
        Ok(())
    }

    fn run_loop(mut self) -> Result<(), String> {
        let mut events = Vec::new();
        loop {
            self.run_turn(&mut events).map_err(error_text)?;
            if self.shutdown_done() {
                let (open, clients) = (self.effects.ids.open_rpcs(), self.effects.clients.count());
                let unsent = self.effects.net.unflushed_closing();
                let violations = self.effects.rules.violations();
                tracing::info!(event = "node down", open, clients, unsent, violations);
                return Ok(());
            }
        }
    }

    /// Waits for events, at most for a second, and handles them. `events` is empty before and after it.
    ///
    /// # Errors
    /// A failure of the event loop.
    pub(crate) fn run_turn(&mut self, events: &mut Vec<Event>) -> std::io::Result<()> {
        events.append(&mut self.effects.queued_events);
        self.effects.net.turn(events, SEC)?;
        let count = events.len();
        events
            .sort_by_cached_key(|event| (self.effects.event_priority(event), self.effects.event_rank(event)));
        self.effects.turn_began(events);
        for event in events.drain(..) {
            self.handle(event);
            self.process_pending();
        }
        self.lateness.turn_ended(self.effects.net.now(), self.effects.net.clock(), count);
        Ok(())
    }

    /// Reports to the module what ended while it was processing an event.
    fn process_pending(&mut self) {
        while let Some((rpc, pick, how)) = self.effects.pending_ends.pop_front() {
            self.end_pick(rpc, pick, how, None);
        }
        while let Some(rpc) = self.effects.disconnected.pop_front() {
            self.client_disconnected(rpc);
        }
        self.exchange_with_peers();
    }

    /// Publishes the key bindings of this front's RPCs to its peers, and passes their news to the module.
    fn exchange_with_peers(&mut self) {
        let Some(peers) = &mut self.peers else { return };
        self.effects.bound_keys.drain(..).for_each(|(key, build)| peers.record_binding(key, build));
        let Some(news) = peers.take_updates() else { return };
        news.apply_to(&mut self.front);
        // This node's own connection to the rollout API may be silent or down, so a withdrawal reported by a peer
        // counts at once.
        if let Some(s) = news.withdrawn {
            tracing::info!(event = "build withdrawn by another front", build = s.build);
            self.deliver(ModuleEvent::Status(Reply::News, Some(s)));
        }
    }

    fn end_pick(&mut self, rpc: usize, pick: usize, how: Outcome, row: Option<Vec<u8>>) {
        if let Some((took, last)) = self.effects.pick_ended(rpc, pick, how, row) {
            self.front.pick_ended(&mut self.effects, rpc, pick, how, took, last);
            self.effects.release_rpc(rpc);
        }
    }

    fn machine_bytes(&mut self, conn: Id, bytes: &[u8]) {
        for (rpc, pick, event) in self.effects.machine_bytes(conn, bytes) {
            match event {
                PickEvent::Ended(how, row) => self.end_pick(rpc, pick, how, row),
                PickEvent::ConnectionReady => {
                    let machine = self.effects.open[rpc].as_ref().map(|open| open.picks[pick].machine);
                    let valid = machine.is_some_and(|machine| self.front.may_send(rpc, machine));
                    if self.effects.use_opened(conn, rpc, pick, valid) {
                        // Processes what the machine sent after its startup response.
                        self.machine_bytes(conn, &[]);
                    } else {
                        let how = if valid { Outcome::Unreachable } else { Outcome::Void };
                        self.end_pick(rpc, pick, how, None);
                    }
                }
            }
        }
    }

    fn deliver(&mut self, event: ModuleEvent) {
        let (front, effects) = (&mut self.front, &mut self.effects);
        match event {
            ModuleEvent::Members(roll, members) => front.roster_updated(effects, roll, &members),
            ModuleEvent::RosterServiceHeard => front.moved_service_heard(),
            ModuleEvent::RosterConfirmed => front.roster_confirmed(effects.net.now()),
            ModuleEvent::Status(reply, news) => {
                let news = match &mut self.peers {
                    Some(peers) => news.map(|s| peers.merge_status(s)),
                    None => news,
                };
                if let Some(s) = news {
                    tracing::info!(event = "build status", build = s.build, stage = s.stage, phase = ?s.phase, cap = s.cap, reply = ?reply);
                }
                front.rollout_updated(effects, reply, news);
            }
            ModuleEvent::Tallied { build, method, picks, not_ok } => {
                front.platform_counted(effects, build, method, picks, not_ok)
            }
            ModuleEvent::Disputed { machine, sent } => front.answer_disputed(effects, machine, sent),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StreamOpened { conn } => {
                if self.effects.rollout_api.owns(conn) {
                    self.effects.rollout_api_connected(conn);
                } else if !self.effects.pool.owns(conn) {
                    self.effects.client_connected(conn);
                }
            }
            Event::StreamData { conn, bytes } => {
                self.effects.data_handled(conn);
                if self.effects.clients.owns(conn) {
                    self.effects.client_bytes(conn, &bytes);
                    self.read_client(conn);
                } else if self.effects.pool.owns(conn) {
                    self.machine_bytes(conn, &bytes);
                } else {
                    self.effects
                        .rollout_api_bytes(conn, &bytes)
                        .into_iter()
                        .for_each(|event| self.deliver(event));
                }
            }
            Event::StreamFlushed { conn } => self.read_client(conn),
            Event::StreamClosed { conn, unsent } => {
                if self.effects.clients.owns(conn) {
                    self.effects.forget_client(conn);
                } else if let Some((rpc, pick, how)) = self.effects.machine_closed(conn, unsent) {
                    self.end_pick(rpc, pick, how, None);
                } else if self.effects.rollout_api.owns(conn) {
                    self.effects
                        .rollout_api_closed(conn, unsent)
                        .into_iter()
                        .for_each(|event| self.deliver(event));
                }
            }
            Event::CallData { call, status, bytes } => {
                self.effects
                    .watch_bytes(call, status, &bytes)
                    .into_iter()
                    .for_each(|event| self.deliver(event));
            }
            Event::CallEnded { call, end } => {
                self.effects
                    .discovery_ended(call, Some(end))
                    .into_iter()
                    .for_each(|event| self.deliver(event));
            }
            Event::Timer { tag } if tag & MODULE_TIMER != 0 => {
                self.front.timer_fired(&mut self.effects, tag & !MODULE_TIMER)
            }
            Event::Timer { tag: DEADLINE_TIMER } => self.expire_deadlines(),
            Event::Timer { tag: PEERS_TIMER } => {
                if let Some(peers) = &mut self.peers {
                    peers.handle_timer(&mut self.effects.net);
                }
            }
            Event::Datagram { from, bytes } => {
                if let Some(peers) = &mut self.peers {
                    peers.handle_datagram(&mut self.effects.net, from, &bytes);
                }
            }
            Event::Timer { tag: TICK_TIMER } => self.tick(),
            Event::Timer { tag: ROLLOUT_API_TIMER } => self.effects.subscribe(),
            Event::Timer { tag: STOP_TIMER } => self.continue_shutdown(),
            Event::Signal { number: SIGHUP } => {
                // While a configuration can't be read yet, the first signal is the one that counts.
                if self.reload_retries == 0 {
                    self.reload_requested = self.effects.net.now();
                }
                self.reload_retries = MAX_RELOAD_RETRIES;
                self.reload();
            }
            Event::Timer { tag: RELOAD_TIMER } => self.reload(),
            Event::Signal { number } => self.begin_shutdown(number),
            _ => {}
        }
    }

    fn expire_deadlines(&mut self) {
        let now = self.effects.net.now();
        while let Some(id) = self.effects.deadlines.pop_expired(now) {
            if self.effects.clients.owns(id) {
                self.effects.client_timed_out(id);
            } else if self.effects.pool.owns(id) {
                if let Some((rpc, pick, how)) = self.effects.machine_timed_out(id) {
                    self.end_pick(rpc, pick, how, None);
                }
            } else if self.effects.rollout_api.owns(id) {
                self.effects.rollout_api_closed(id, false).into_iter().for_each(|event| self.deliver(event));
            } else {
                self.effects.discovery_ended(id, None).into_iter().for_each(|event| self.deliver(event));
            }
            self.process_pending();
        }
        if let Some(at) = self.effects.deadlines.timer_fired(now) {
            self.effects.net.wake_at(at, DEADLINE_TIMER);
        }
    }

    fn read_client(&mut self, conn: Id) {
        loop {
            let (front, now) = (&self.front, self.effects.net.now());
            let room = |config: &Config, text: &str| {
                let method = statement::parse(text).ok().and_then(|s| config.method(s.method));
                method.is_none_or(|method| front.has_room(now, method))
            };
            let ClientInput::Statement(text, received) = self.effects.read_commands(conn, room) else {
                return;
            };
            self.accept_statement(conn, text, received);
            self.process_pending();
        }
    }

    /// Parses a client's statement and starts its RPC, or rejects it.
    fn accept_statement(&mut self, conn: Id, text: String, received: Ns) {
        let read = statement::parse(&text).map_err(str::to_string).and_then(|s| {
            let method = self.effects.config.method(s.method).ok_or_else(|| "no such method".to_string())?;
            let (id_is_open, now) = (self.effects.ids.rpc(s.id).is_some(), self.effects.net.now());
            let settings = &self.effects.config.front_config.methods[method];
            let start = self.effects.rules.start(s.id, settings, id_is_open, now);
            start.map_err(|refusal| refusal.text().to_string())?;
            Ok((s.id, method, s.key_id(), s.deadline_ms, s.deadline_range.clone()))
        });
        let (id, method, key, deadline_ms, deadline_range) = match read {
            Ok(read) => read,
            Err(why) => return self.effects.reject_command(conn, &format!("not taken: {why}")),
        };
        // The deadline runs from the arrival of the statement, including the time that it waited behind others of its
        // connection. It does not outlast the process.
        let answer_by = self.shutdown.as_ref().map_or(Ns::MAX, |shutdown| shutdown.answer_by);
        let wait = ((deadline_ms * MS as f64) as Ns).min(self.effects.config.methods[method].1);
        let client_deadline = (received + wait).min(answer_by);
        let rpc = self.effects.ids.open(id);
        if self.effects.open.len() <= rpc {
            self.effects.open.resize_with(rpc + 1, || None);
        }
        let bytes = text.len();
        self.effects.open[rpc] = Some(OpenRpc {
            id,
            conn,
            method,
            text,
            deadline_range,
            client_deadline,
            picks: Vec::new(),
            reserved: 0,
        });
        self.effects.counters.taken += 1;
        self.effects.rpc_opened(conn, rpc, bytes);
        let now = self.effects.net.now();
        let too_late = client_deadline <= now + ANSWER_MARGIN;
        if too_late || self.effects.lacks_room_for_answers(conn) {
            // There is no time left for a pick and the way back, or no room for its answer. Nothing was sent, so the
            // client may safely repeat the RPC.
            rockpick::Actions::push_back(&mut self.effects, rpc, 0);
        } else if self.effects.is_insistent(conn) && !self.front.admits_insistent(now, method) {
            let wait = self.front.pushback_wait(method);
            rockpick::Actions::push_back(&mut self.effects, rpc, wait);
        } else {
            self.front.rpc_received(
                &mut self.effects,
                rpc,
                method,
                Some(key),
                client_deadline - ANSWER_MARGIN,
            );
            self.process_pending();
        }
        self.effects.release_rpc(rpc);
    }

    fn client_disconnected(&mut self, rpc: usize) {
        if !self.effects.ids.finished(rpc) {
            self.effects.counters.left += 1;
            self.effects.finish_rpc(rpc);
            self.front.rpc_closed(rpc);
        }
        self.effects.release_rpc(rpc);
    }

    fn tick(&mut self) {
        let now = self.effects.net.now();
        self.lateness.timer_fired(self.next_tick, now);
        self.next_tick = now + TICK_INTERVAL;
        self.effects.net.wake_at(self.next_tick, TICK_TIMER);
        self.effects.forget_machines();
        let worst = self.lateness.take_worst();
        let t = &self.effects.counters;
        let by_build = format!("{:?}", t.by_build);
        let ends = OUTCOME_NAMES.map(|(name, how)| format!("{name} {}", t.ends[how as usize])).join(", ");
        let (conns, idle) = self.effects.pool.count();
        let closed = &self.effects.clients.closed;
        let memory = self.effects.clients_memory();
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
            violations = self.effects.rules.violations(),
            odd = t.bad_commands,
            picks = t.picks,
            ends,
            by_build,
            open = self.effects.ids.open_rpcs(),
            longest_turn_ms = worst.turn / MS,
            latest_timer_ms = worst.timer / MS,
            clients = self.effects.clients.count(),
            turned_away = self.effects.clients.refused,
            large_commands_kib = memory.large_commands / KIB,
            waiting = memory.waiting,
            no_room = memory.refused,
            incoming_kib = self.effects.pool.large_answers.used() / KIB,
            outgoing_kib = memory.outgoing_answers / KIB,
            closed_for_room = closed.for_room,
            closed_idle = closed.idle,
            closed_in_stop = closed.in_stop,
            conns,
            idle,
            dialled = self.effects.pool.dialled,
            scarce = self.effects.pool.exhausted,
            spoilt = self.effects.pool.malformed,
            doubtful_answers = self.effects.pool.doubtful_answers,
            late_copies = self.effects.pool.late_copies,
            streams = self.effects.net.streams(),
            watching = self.effects.discovery.is_watching(),
            roster_age_ms = self.front.roster_age(now) / MS,
            roster_trusted = self.front.trusts_roster(now),
            tellings = self.effects.discovery.updates,
            desk = self.effects.rollout_api.is_subscribed(),
            heard = self.effects.rollout_api.lines_received
        );
    }

    /// Reads the configuration again. An invalid file changes nothing and is read again a few times, as the signal
    /// may arrive while it is being written.
    fn reload(&mut self) {
        let file = self.effects.config.file.clone();
        let var = |name: &str| match name {
            "PROXY_CONFIG" => file.as_ref().map(|f| f.display().to_string()),
            _ => std::env::var(name).ok(),
        };
        match Config::read(var) {
            Ok(fresh) => {
                tracing::info!(event = "reload", discovery = %fresh.discovery, desk = ?fresh.rollout_api);
                self.reload_retries = 0;
                if self.effects.move_links(fresh.discovery, fresh.rollout_api) {
                    self.front.roster_service_moved(self.reload_requested);
                }
            }
            Err(why) => {
                tracing::error!(event = "reload failed", why, again = self.reload_retries);
                if let Some(left) = self.reload_retries.checked_sub(1) {
                    self.reload_retries = left;
                    self.effects.net.wake_at(self.effects.net.now() + RELOAD_RETRY_DELAY, RELOAD_TIMER);
                }
            }
        }
    }

    fn begin_shutdown(&mut self, number: i32) {
        if self.shutdown.is_some() {
            return;
        }
        let now = self.effects.net.now();
        let longest = self.effects.config.methods.iter().map(|(_, longest)| *longest).max().unwrap_or(0);
        let shutdown = Shutdown::begin(now, longest);
        let (open, answer_within_ms) = (self.effects.ids.open_rpcs(), (shutdown.answer_by - now) / MS);
        tracing::info!(event = "stopping", number, open, answer_within_ms);
        self.effects.limit_deadlines(shutdown.answer_by);
        self.front.limit_deadlines(shutdown.answer_by - ANSWER_MARGIN);
        for at in [shutdown.close_listener, shutdown.answer_by, shutdown.end_by] {
            self.effects.net.wake_at(at, STOP_TIMER);
        }
        self.shutdown = Some(shutdown);
        if let Some(peers) = &mut self.peers {
            peers.leave(&mut self.effects.net);
        }
    }

    /// Accepts what is already waiting at the listener, and closes it. From now on connections are closed between two
    /// RPCs.
    fn close_listener(&mut self) {
        let Some(listener) = self.listener.take() else { return };
        let mut events = Vec::new();
        let mut attempts = 0;
        while self.effects.net.accept_streams(&mut events, listener) && attempts < MAX_LAST_ACCEPTS {
            attempts += 1;
        }
        self.effects.net.close(listener);
        self.effects.queued_events.append(&mut events);
        // No more connections are accepted, so no descriptors need to be reserved for them.
        self.effects.net.max_closing = self.effects.net.max_streams;
    }

    /// Does what a shutdown asks for by now, and sets the time of the next check.
    fn continue_shutdown(&mut self) {
        let now = self.effects.net.now();
        let Some(shutdown) = &mut self.shutdown else { return };
        if shutdown.should_close_listener(now) {
            self.close_listener();
        }
        let Some(shutdown) = self.shutdown.as_ref().filter(|s| s.listener_is_closed()) else { return };
        self.effects.net.wake_at(now + LINGER, STOP_TIMER);
        if shutdown.stop_reading().is_some_and(|at| now >= at) {
            self.effects.stop_reading_clients();
        }
        if now >= shutdown.answer_by {
            self.effects.reject_incomplete_commands();
        }
    }

    /// Whether a shutdown is complete: everything is answered, and slow readers have received it.
    fn shutdown_done(&mut self) -> bool {
        let now = self.effects.net.now();
        let Some(shutdown) = &mut self.shutdown else { return false };
        let Some(first_commands_until) = shutdown.first_commands_until() else { return false };
        self.effects.close_idle_clients(now >= first_commands_until);
        let unfinished = self.effects.clients.count() > 0
            || self.effects.net.unflushed_closing() > 0
            || !self.effects.queued_events.is_empty();
        shutdown.is_complete(now, unfinished)
    }
}

const _: () = assert!(pg::MAX_QUERY_LEN > 2 * pg::MAX_VALUE_LEN);
