//! The event loop of a front: passes socket and timer events to the decision module.
use crate::effects::{
    parse_note, pushback_headers, retry_after_values, CallKind, Effects, CALL_TIMEOUT, LOG_LINES, MODULE,
    PEERS, TICK,
};
use crate::snapshot::{self, Snapshot};
use crate::tenants::TenantService;
use crate::{restart, Options};
use rockpick::{Front, Member, Ns, Outcome, Reply, RolloutStatus, RosterUpdate, State};
use rockpick_control::api::{parse_phase, parse_state, phase_name, MAX_COUNT_ROWS};
use rockpick_control::atomic_file::BackgroundWriter;
use rockpick_control::release::MAX_BUILD;
use rockpick_control::settings::{is_valid_name, FieldError, RepeatKind, MAX_WEIGHT, MAX_ZONES};
use rockpick_control::Settings;
use rockpick_net::http::Request;
use rockpick_net::{take_line, BoundListener, CallEnd, Event, Id, LogLimiter, Net, MS, SEC};
use rockpick_peers::{Authenticator, PeerService, Peers};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of open RPCs; further ones are pushed back without asking the module.
const MAX_OPEN_RPCS: usize = 30_000;
/// Maximum number of known machines, four times what a controller lists. Entries of a longer roster are
/// ignored.
const MAX_MACHINES: usize = 60_000;
/// How long a machine that has gone is remembered; the controller uses the same time.
const FORGET_GONE_AFTER: Ns = 60 * SEC;
/// Maximum number of module instances; newer settings wait until the RPCs of the oldest instance have ended.
const MAX_INSTANCES: usize = 8;
/// Largest accepted age in milliseconds, about thirty years.
const MAX_AGE_MS: f64 = 1e12;
/// Longest line of a watch; a roster of 10,000 machines fits.
const MAX_WATCH_LINE: usize = 8 * 1024 * 1024;
/// Period of housekeeping: counts, snapshot, detection of a silent watch, timeouts of the directory session.
const TICK_INTERVAL: Ns = 250 * MS;
/// How often a front asks for settings while it has none or knows of newer ones.
const SETTINGS_RETRY_INTERVAL: Ns = 500 * MS;
const NO_PEERS: &str = "this front keeps no company: it has no --peers-listen";
const SIGTERM: i32 = 15;
const SIGINT: i32 = 2;

struct Server {
    effects: Effects,
    /// The instances of the module by number, oldest first. Instances of former settings stay until all their
    /// RPCs are answered.
    instances: VecDeque<(u64, Front)>,
    instance_started: Ns,
    settings_version: u64,
    watch_buf: Vec<u8>,
    watch_heard_at: Ns,
    /// The last stage received, and when it must be applied again because the restart limit ends.
    stage: Option<Value>,
    stage_due: Option<Ns>,
    writer: Option<BackgroundWriter<Snapshot>>,
    dirty: bool,
    counts_sent_at: Ns,
    ticked_at: Ns,
    shutdown_deadline: Option<Ns>,
    settings_requested: bool,
    settings_requested_at: Ns,
    /// Settings of another version were announced and are not in force yet.
    newer_settings: bool,
    no_settings: bool,
    /// Limits the log lines about malformed input.
    bad_input_log: LogLimiter,
    /// Tenants, if the settings name a directory.
    tenants: Option<TenantService>,
    /// The exchange with other fronts, if it is configured.
    peers: Option<Peers>,
}

/// Runs a front until a signal ends it; `ready` is called with the address that it listens on.
///
/// # Errors
/// The address can't be listened on, or the snapshot holds settings that this version rejects.
pub fn run(options: Options, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
    let to_text = |err: std::io::Error| err.to_string();
    let mut net = Net::new(options.max_clients).map_err(to_text)?;
    for signal in [SIGTERM, SIGINT] {
        net.on_signal(signal).map_err(to_text)?;
    }
    let file = options.state.as_ref().map(|dir| dir.join(format!("{}.json", options.name)));
    if let Some(dir) = &options.state {
        std::fs::create_dir_all(dir).map_err(|err| format!("{}: {err}", dir.display()))?;
    }
    let snapshot = match &file {
        Some(file) => snapshot::load(file)?,
        None => None,
    };
    let bound = BoundListener::bind(options.listen).map_err(|err| format!("{}: {err}", options.listen))?;
    let at = bound.at;
    let (notes_socket, notes_addr) = net.datagrams(SocketAddr::new(at.ip(), 0)).map_err(to_text)?;
    let no_settings = snapshot.is_none();
    let settings = snapshot.as_ref().map_or_else(|| Settings::example(1, 1), |s| s.settings.clone());
    // The number of fronts is unknown without settings.
    let front_count = snapshot.as_ref().map_or(0, |s| s.settings.fronts.len() as u32);
    let peers = match &options.peers {
        Some(config) => Some(Peers::start(&mut net, &options.name, front_count, config, PEERS)?),
        None => None,
    };
    let effects = Effects::new(options, settings, net, notes_socket, at, notes_addr);
    let mut server = Server {
        effects,
        instances: VecDeque::new(),
        instance_started: 0,
        settings_version: 0,
        watch_buf: Vec::new(),
        watch_heard_at: 0,
        stage: None,
        stage_due: None,
        writer: file.map(|file| {
            BackgroundWriter::new(file, |saved| serde_json::to_vec(saved).map_err(std::io::Error::other))
        }),
        dirty: false,
        counts_sent_at: 0,
        ticked_at: 0,
        shutdown_deadline: None,
        settings_requested: false,
        settings_requested_at: -SETTINGS_RETRY_INTERVAL,
        newer_settings: false,
        no_settings,
        bad_input_log: LogLimiter::new(LOG_LINES),
        tenants: None,
        peers,
    };
    if let Some(snapshot) = snapshot {
        server.restore(snapshot)?;
    }
    // Listens last: while startup is held up, a client whose connection is refused tries another front, but
    // one that is accepted would wait.
    server.effects.net.listen_on(bound).map_err(|err| format!("{at}: {err}"))?;
    ready(at);
    tracing::info!(event = "front up", at = %at, settings_version = server.settings_version, saved = !no_settings);
    server.tick();
    server.run_loop()
}

/// Calls one instance of the module and measures the time if profiling is on.
fn timed(
    effects: &mut Effects, instance: u64, front: &mut Front, call: impl FnOnce(&mut Front, &mut Effects),
) {
    effects.current_instance = instance;
    let started = effects.options.profile.then(|| effects.net.clock());
    call(front, effects);
    if let Some(started) = started {
        effects.module_time += effects.net.clock() - started;
    }
}

impl Server {
    fn run_loop(mut self) -> Result<(), String> {
        let mut events = Vec::new();
        loop {
            events.append(&mut self.effects.pending_events);
            self.effects.net.turn(&mut events, SEC).map_err(|err| err.to_string())?;
            for event in events.drain(..) {
                self.handle_event(event);
                self.deliver_pending();
            }
            if let Some(by) = self.shutdown_deadline {
                let open = self.effects.open.iter().flatten().count();
                let unsent = self.effects.net.unsent();
                if open == 0 && unsent == 0 || self.effects.net.now() > by {
                    let saved = self.snapshot();
                    if let Some(tenants) = self.tenants.take() {
                        tenants.shut_down(&mut self.effects.net);
                    }
                    if let Some(writer) = self.writer.take() {
                        // A failed write is logged by the writer; the next start uses the older snapshot.
                        let _ = writer.close(saved);
                    }
                    tracing::info!(event = "front down", open, unsent);
                    return Ok(());
                }
            }
        }
    }

    /// Calls every instance of the module, oldest first.
    fn for_each_instance(&mut self, mut call: impl FnMut(&mut Front, &mut Effects)) {
        for (number, front) in &mut self.instances {
            timed(&mut self.effects, *number, front, &mut call);
        }
    }

    fn for_instance(&mut self, instance: u64, call: impl FnOnce(&mut Front, &mut Effects)) {
        if let Some((number, front)) = self.instances.iter_mut().find(|(n, _)| *n == instance) {
            timed(&mut self.effects, *number, front, call);
        }
    }

    /// Delivers the events that came up while the module was running: ends of picks, new bindings, finished
    /// RPCs of tenants.
    fn deliver_pending(&mut self) {
        while let Some((rpc, pick, outcome, _)) = self.effects.pending_ends.pop() {
            self.pick_ended(rpc, pick, outcome, None);
        }
        self.exchange_with_peers();
        let now = self.effects.net.now();
        for (tenant, served) in self.effects.finished_tenant_rpcs.drain(..) {
            if let Some(tenants) = &mut self.tenants {
                tenants.finished(now, tenant, served);
            }
        }
    }

    /// Passes new bindings to the other fronts, and what they have learnt to the module.
    fn exchange_with_peers(&mut self) {
        let Some(peers) = &mut self.peers else { return self.effects.new_bindings.clear() };
        for (key, build) in self.effects.new_bindings.drain(..) {
            peers.record_binding(key, build);
        }
        let Some(news) = peers.take_updates() else { return };
        self.for_each_instance(|front, _| news.apply_to(front));
        // This front's own watch may be silent, or the controller unreachable, so the more careful stage
        // applies at once.
        if let Some(s) = news.withdrawn {
            tracing::info!(event = "withdrawn, by another front", build = s.build);
            self.reapply_stage();
        }
    }

    /// Applies the last received stage again with its present age.
    fn reapply_stage(&mut self) {
        let Some(mut stage) = self.stage.clone() else { return };
        let now = self.effects.net.now();
        let age = self.effects.status.map_or(0.0, |s| (now - s.since) as f64 / MS as f64);
        stage["age_ms"] = json!(age);
        self.apply_stage(Reply::News, Some(stage));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Request { conn, request } => self.handle_request(conn, request),
            Event::ClientClosed { conn } => {
                if let Some(rpc) = self.effects.ids.rpc(conn).filter(|rpc| !self.effects.ids.finished(*rpc)) {
                    self.effects.counters.left += 1;
                    self.effects.ids.finish(rpc);
                    let instance = self.effects.open[rpc].as_ref().map_or(0, |o| o.instance);
                    self.for_instance(instance, |front, _| front.rpc_closed(rpc));
                    self.effects.release(rpc);
                }
            }
            Event::CallEnded { call, end } => self.call_ended(call, end),
            Event::CallData { call, status, bytes } => {
                if self.effects.watch_call == Some(call) && status == 200 {
                    self.watch_data(&bytes);
                }
            }
            Event::Timer { tag } if tag & MODULE != 0 => {
                let (instance, tag) = ((tag & !MODULE) >> 8, tag & 0xff);
                self.for_instance(instance, |front, effects| front.timer_fired(effects, tag));
            }
            Event::Timer { tag: CALL_TIMEOUT } => {
                self.effects.timeouts.timer_fired(self.effects.net.now());
                while let Some(call) = self.effects.next_timed_out() {
                    self.call_timed_out(call);
                    self.deliver_pending();
                }
            }
            Event::Timer { tag: TICK } => self.tick(),
            Event::Timer { tag: PEERS } => {
                if let Some(peers) = &mut self.peers {
                    peers.handle_timer(&mut self.effects.net);
                }
            }
            Event::Timer { .. } => {}
            Event::Datagram { from, bytes } if Authenticator::is_peer_datagram(&bytes) => {
                if let Some(peers) = &mut self.peers {
                    peers.handle_datagram(&mut self.effects.net, from, &bytes);
                }
            }
            Event::Datagram { from, bytes } => {
                // Notes are accepted only from the addresses that the controller lists for fronts.
                if let Some((rank, note)) =
                    parse_note(&bytes).filter(|(r, _)| self.effects.peers.get(r) == Some(&from))
                {
                    self.for_each_instance(|front, effects| {
                        front.note_received(effects, rank as usize, note)
                    });
                }
            }
            Event::StreamFlushed { .. } => {}
            Event::StreamOpened { .. } | Event::StreamData { .. } | Event::StreamClosed { .. } => {
                if let Some(tenants) = &mut self.tenants {
                    tenants.handle_event(&mut self.effects.net, &event);
                }
            }
            Event::Signal { number } => {
                tracing::info!(event = "signal", number);
                // A second signal changes nothing: the first shutdown has a time limit.
                if self.shutdown_deadline.is_none() {
                    // Former settings may have allowed longer deadlines, so the open RPCs' own deadlines
                    // count.
                    let open = self.effects.open.iter().flatten();
                    let last = open.map(|o| o.client_deadline).max().unwrap_or(0).max(self.effects.net.now());
                    self.shutdown_deadline = Some(last + SEC);
                    let (owed, picks) = self.effects.in_flight();
                    tracing::info!(event = "leaving", owed, picks_by_build = ?picks);
                    self.effects.net.stop_listening();
                    if let Some(peers) = &mut self.peers {
                        peers.leave(&mut self.effects.net);
                    }
                }
            }
        }
    }

    fn handle_request(&mut self, conn: Id, request: Request) {
        let path = request.path().to_string();
        if let Some(method) = path.strip_prefix("/rpc/") {
            return self.handle_rpc(conn, method, request);
        }
        let (status, value) = match (request.method.as_str(), path.as_str()) {
            ("GET" | "HEAD", "/status") => (200, self.status()),
            ("GET" | "HEAD", "/peers") => match &self.peers {
                Some(peers) => (200, peers.status(self.effects.net.now())),
                None => (404, json!({ "error": NO_PEERS })),
            },
            ("GET" | "HEAD", "/peers/rows") => {
                let table = request.query("table").unwrap_or("bindings");
                match self.peers.as_ref().map(|peers| peers.rows(table, request.query("from"))) {
                    Some(Some(rows)) => (200, rows),
                    Some(None) => (
                        400,
                        json!({ "error": "table: builds, machines, bindings, evidence or spent; from: as told by next" }),
                    ),
                    None => (404, json!({ "error": NO_PEERS })),
                }
            }
            ("POST", "/dispute") => self.dispute(&request.body),
            ("POST", "/directory/confirm") => match &self.tenants {
                Some(tenants) => match tenants.confirm(self.effects.net.now()) {
                    Some(suspected) => (200, json!({ "suspected": suspected })),
                    None => (503, json!({ "error": "the keeper of tenants is behind; say it again" })),
                },
                None => (404, json!({ "error": "the settings name no directory" })),
            },
            (_, "/status" | "/peers" | "/peers/rows" | "/dispute" | "/directory/confirm") => (
                405,
                json!({ "error": "GET /status, /peers or /peers/rows, POST /dispute or /directory/confirm" }),
            ),
            _ => (404, json!({ "error": "POST /rpc/METHOD, POST /dispute and GET /status are known" })),
        };
        let body = format!("{value}\n");
        self.effects.net.answer(conn, status, &[("Content-Type", "application/json")], body.as_bytes());
    }

    /// Rejects an RPC that was not taken; the client may retry it at will.
    fn reject(&mut self, conn: Id, status: u16, why: &str) {
        if status == 503 {
            return self.push_back(conn, SEC / 4, why);
        }
        self.effects.counters.not_taken += 1;
        let body = format!("{why}\n");
        self.effects.net.answer(conn, status, &[("Rockpick-Answer", "not-taken")], body.as_bytes());
    }

    /// Pushes back an RPC that was not taken.
    fn push_back(&mut self, conn: Id, wait: Ns, why: &str) {
        self.effects.counters.not_taken += 1;
        let [seconds, ms] = retry_after_values(wait);
        let body = format!("{why}\n");
        self.effects.net.answer(conn, 503, &pushback_headers(&seconds, &ms), body.as_bytes());
    }

    fn handle_rpc(&mut self, conn: Id, name: &str, request: Request) {
        if request.method != "POST" {
            return self.reject(conn, 405, "RPCs are POSTed");
        }
        if self.shutdown_deadline.is_some() || self.instances.is_empty() {
            return self.reject(conn, 503, "not taking RPCs now");
        }
        if self.effects.ids.open_rpcs() >= MAX_OPEN_RPCS {
            return self.reject(conn, 503, "too many RPCs are open");
        }
        let Some(method) = self.effects.settings.method_index(name) else {
            return self.reject(conn, 404, "no such method");
        };
        let row = &self.effects.settings.methods[method];
        let deadline = row.deadline_ms as Ns * MS;
        let time_left = match request.headers.get("rockpick-time-left-ms").map(str::parse::<f64>) {
            None => deadline,
            Some(Ok(ms)) if ms.is_finite() && ms > 0.0 => ((ms * MS as f64) as Ns).min(deadline),
            Some(_) => return self.reject(conn, 400, "Rockpick-Time-Left-Ms: a number above 0 is wanted"),
        };
        if !restart::can_answer_in_time(time_left, self.effects.settings.guard.answer_margin_ms as Ns * MS) {
            return self.reject(conn, 503, "too little time is left to answer");
        }
        if row.repeat == RepeatKind::Tokened
            && request.headers.get("idempotency-key").is_none_or(str::is_empty)
        {
            return self.reject(conn, 400, "Idempotency-Key: wanted for this method");
        }
        let key = request.headers.get("rockpick-key").map(parse_key);
        let now = self.effects.net.now();
        let tenant = match self.tenants.as_mut().map(|s| s.admit(now, &request, method)) {
            None => None,
            Some(Ok(tenant)) => Some(tenant),
            Some(Err(wait)) => return self.push_back(conn, wait, "more than this tenant may take"),
        };
        let (rpc, module_deadline) = self.effects.open_rpc(conn, method, time_left, request);
        if let Some(open) = self.effects.open[rpc].as_mut() {
            open.tenant = tenant;
        }
        let instance = self.effects.newest_instance;
        self.for_instance(instance, |front, effects| {
            front.rpc_received(effects, rpc, method, key, module_deadline)
        });
        self.deliver_pending();
        self.effects.release(rpc);
    }

    fn pick_ended(
        &mut self, rpc: usize, pick: usize, outcome: Outcome, response: Option<rockpick_net::http::Response>,
    ) {
        if let Some((instance, took, last)) = self.effects.pick_ended(rpc, pick, outcome, response) {
            self.for_instance(instance, |front, effects| {
                front.pick_ended(effects, rpc, pick, outcome, took, last)
            });
            self.effects.release(rpc);
        }
    }

    fn call_ended(&mut self, call: Id, end: CallEnd) {
        let Some(kind) = self.effects.calls.remove(&call) else { return };
        match (kind, end) {
            (CallKind::Pick(rpc, pick), end) => {
                let (outcome, response) = match end {
                    CallEnd::Answer(r)
                        if r.status == 503 && r.headers.get("rockpick-never-ran") == Some("1") =>
                    {
                        (Outcome::Full, None)
                    }
                    CallEnd::Answer(r) if r.status >= 500 => (Outcome::Error, None),
                    CallEnd::Answer(r) => (Outcome::Ok, Some(r)),
                    CallEnd::Unreachable | CallEnd::Unsent => (Outcome::Unreachable, None),
                    CallEnd::Broken(_) => (Outcome::Broken, None),
                };
                self.pick_ended(rpc, pick, outcome, response);
            }
            (CallKind::Vote, end) => {
                self.effects.vote_call = None;
                let (reply, news) = match end {
                    CallEnd::Answer(r) => {
                        let body_json: Value = serde_json::from_slice(&r.body).unwrap_or(Value::Null);
                        let counted = r.status == 200;
                        // An outdated vote or one over the rate limit is normal; a malformed vote or one from
                        // an unknown front is not.
                        if matches!(r.status, 400 | 403 | 404) || r.status >= 500 {
                            self.log_skipped("vote", &String::from_utf8_lossy(&r.body));
                        }
                        (
                            if counted { Reply::Counted } else { Reply::Refused },
                            body_json.get("stage").cloned(),
                        )
                    }
                    CallEnd::Broken(_) => (Reply::TimedOut, None),
                    CallEnd::Unreachable | CallEnd::Unsent => (Reply::Refused, None),
                };
                self.apply_stage(reply, news.filter(Value::is_object));
            }
            (CallKind::Watch, end) => {
                self.effects.watch_call = None;
                self.watch_buf.clear();
                tracing::warn!(event = "watch lost", why = describe_end(&end));
                self.for_each_instance(|front, effects| {
                    front.roster_updated(effects, RosterUpdate::Failed, &[])
                });
            }
            (CallKind::Fetch, CallEnd::Answer(r)) if r.status == 200 => {
                match serde_json::from_slice::<Value>(&r.body) {
                    Ok(line) => self.watch_line(&line),
                    Err(err) => {
                        self.log_skipped("roster", &err.to_string());
                        self.for_each_instance(|front, effects| {
                            front.roster_updated(effects, RosterUpdate::Failed, &[])
                        });
                    }
                }
            }
            (CallKind::Fetch, _) => self
                .for_each_instance(|front, effects| front.roster_updated(effects, RosterUpdate::Failed, &[])),
            (CallKind::Settings, CallEnd::Answer(r)) if r.status == 200 => {
                self.settings_requested = false;
                self.apply_settings(&r.body);
            }
            (CallKind::Settings, _) => self.settings_requested = false,
            (CallKind::Other, CallEnd::Answer(r)) if r.status >= 400 => {
                self.log_skipped("counts", &String::from_utf8_lossy(&r.body));
            }
            // Probes, and counts that were not delivered: counts are samples, so the next ones carry as much.
            (CallKind::Other, _) => {}
        }
    }

    /// Handles a call that timed out.
    fn call_timed_out(&mut self, call: Id) {
        let Some(kind) = self.effects.calls.remove(&call) else { return };
        self.effects.net.cancel(call);
        match kind {
            CallKind::Pick(rpc, pick) => self.pick_ended(rpc, pick, Outcome::TimedOut, None),
            CallKind::Vote => {
                self.effects.vote_call = None;
                self.apply_stage(Reply::TimedOut, None);
            }
            CallKind::Settings => self.settings_requested = false,
            CallKind::Fetch => self
                .for_each_instance(|front, effects| front.roster_updated(effects, RosterUpdate::Failed, &[])),
            CallKind::Watch | CallKind::Other => {}
        }
    }

    fn watch_data(&mut self, bytes: &[u8]) {
        self.watch_heard_at = self.effects.net.now();
        self.watch_buf.extend_from_slice(bytes);
        if self.watch_buf.len() > MAX_WATCH_LINE {
            self.watch_buf.clear();
            return self.drop_watch("a line too long");
        }
        while let Some(line) = take_line(&mut self.watch_buf) {
            match serde_json::from_slice::<Value>(&line) {
                Ok(line) => self.watch_line(&line),
                Err(_) => return self.drop_watch("a line that is no JSON"),
            }
        }
    }

    fn drop_watch(&mut self, why: &str) {
        tracing::warn!(event = "watch dropped", why);
        if let Some(watch) = self.effects.watch_call.take() {
            self.effects.calls.remove(&watch);
            self.effects.net.cancel(watch);
        }
        self.watch_buf.clear();
        self.for_each_instance(|front, effects| front.roster_updated(effects, RosterUpdate::Failed, &[]));
    }

    /// Handles one line of the watch; unknown kinds are ignored.
    fn watch_line(&mut self, line: &Value) {
        if let Some(stage) = line.get("stage").filter(|s| s.is_object()) {
            self.apply_stage(Reply::News, Some(stage.clone()));
        }
        if let Some(roster) = line.get("roster") {
            // A roster without a list or of an unknown kind must not be taken for an empty one.
            match (roster["kind"].as_str(), roster["members"].as_array()) {
                (Some("changes"), Some(members)) => self.apply_members(RosterUpdate::Changes, members),
                (Some("whole"), Some(members)) => self.apply_members(RosterUpdate::Full, members),
                (kind, _) => self.log_skipped("roster", &format!("kind {kind:?}, or no list of members")),
            }
        }
        if let Some(rows) = line.get("tally").and_then(Value::as_array) {
            for row in rows {
                let at = |i: usize| {
                    row.get(i).and_then(Value::as_u64).map_or(0, |n| n.min(u32::MAX.into()) as u32)
                };
                let (build, method, picks, bad) = (at(0), at(1) as usize, at(2), at(3).min(at(2)));
                if build <= MAX_BUILD && method < self.effects.settings.methods.len() {
                    self.for_each_instance(|front, effects| {
                        front.platform_counted(effects, build, method, picks, bad)
                    });
                }
            }
        }
        if let (Some(sums), Some(tenants)) = (line.get("tenants"), &mut self.tenants) {
            tenants.apply_sums(self.effects.net.now(), sums);
        }
        if let Some(fronts) = line.get("fronts").and_then(Value::as_array) {
            let peer = |f: &Value| {
                let rank = f.get("rank")?.as_u64()? as u32;
                Some((rank, f.get("notes")?.as_str()?.parse().ok()?))
            };
            self.effects.peers = fronts.iter().filter_map(peer).collect();
        }
        if line.get("settings_version").and_then(Value::as_u64).is_some_and(|v| v != self.settings_version) {
            self.newer_settings = true;
            self.request_settings();
        }
    }

    /// Logs that some input was skipped and why, within the rate limit.
    fn log_skipped(&mut self, what: &str, why: &str) {
        if let Some(left_out) = self.bad_input_log.allow(self.effects.net.now()) {
            tracing::warn!(event = "line passed over", what, why, left_out);
        }
    }

    fn parse_stage(&self, stage: &Value) -> Option<RolloutStatus> {
        let now = self.effects.net.now();
        let number = |name: &str| stage.get(name).and_then(Value::as_f64);
        Some(RolloutStatus {
            build: number("build").filter(|b| (0.0..=MAX_BUILD.into()).contains(b))? as u32,
            stage: number("stage")? as u32,
            phase: parse_phase(stage.get("phase")?.as_str()?)?,
            cap: number("cap")?.clamp(0.0, 1.0),
            since: now - (number("age_ms")?.clamp(0.0, MAX_AGE_MS) * MS as f64) as Ns,
        })
    }

    fn apply_stage(&mut self, reply: Reply, stage: Option<Value>) {
        let status = stage.as_ref().and_then(|s| self.parse_stage(s));
        if let (Some(stage), None) = (&stage, &status) {
            self.log_skipped("stage", &stage.to_string());
        }
        let (now, window) = (self.effects.net.now(), self.effects.settings.rollout.window_ms as Ns * MS);
        let mut limited_stage = None;
        if let Some(status) = status {
            let status = match &mut self.peers {
                Some(peers) => peers.merge_status(status),
                None => status,
            };
            let previous = self.effects.status.replace(status);
            let changed = previous
                .is_none_or(|b| (b.build, b.stage, b.phase) != (status.build, status.stage, status.phase));
            if changed {
                let (build, stage) = (status.build, status.stage);
                tracing::info!(
                    event = "told",
                    build,
                    stage,
                    phase = phase_name(status.phase),
                    cap = status.cap
                );
                self.dirty = true;
            }
            let (limited, due) = restart::limit_cap(status, self.instance_started, now, window);
            if due.is_some() && self.stage_due.is_none() {
                self.effects.net.wake_at(self.instance_started + window, TICK);
            }
            self.stage_due = due;
            limited_stage = Some(limited);
            self.stage = stage;
        }
        // Only the newest instance sent the call that is replied to; the others get the stage as news.
        let newest = self.effects.newest_instance;
        for instance in self.instances.iter().map(|(n, _)| *n).collect::<Vec<_>>() {
            let reply = if instance == newest { reply } else { Reply::News };
            self.for_instance(instance, |front, effects| {
                front.rollout_updated(effects, reply, limited_stage)
            });
        }
    }

    fn apply_members(&mut self, roll: RosterUpdate, lines: &[Value]) {
        let now = self.effects.net.now();
        let mut entries = Vec::with_capacity(lines.len());
        // Must come before all machines are marked as gone below, including those that this roster names.
        if self.effects.ids.machine_count() + lines.len() > MAX_MACHINES {
            self.effects.forget(0);
        }
        if roll != RosterUpdate::Changes {
            self.effects.machines.iter_mut().for_each(|p| p.gone = p.gone.or(Some(now)));
        }
        for line in lines {
            let member = match parse_member(line) {
                Ok(member) => member,
                Err(field) => {
                    self.log_skipped("member", &format!("{field}: {}", line[field]));
                    continue;
                }
            };
            let known = self.effects.ids.machine_index(member.name).is_some();
            if !known && (member.state == State::Gone || self.effects.ids.machine_count() >= MAX_MACHINES) {
                continue;
            }
            let machine = self.effects.ids.intern_machine(member.name);
            if self.effects.machines.len() <= machine {
                self.effects.machines.resize_with(machine + 1, Default::default);
            }
            let entry = &mut self.effects.machines[machine];
            let former = (entry.addr, entry.run);
            // The start of a run is kept, even if the clock of the sender has changed since.
            if entry.run != member.run || entry.started.is_none() || entry.start_estimated {
                entry.started = Some(now - member.age);
                entry.start_estimated = roll == RosterUpdate::Saved;
            }
            (entry.run, entry.addr, entry.build) = (member.run, member.addr, member.build);
            entry.gone = (member.state == State::Gone).then_some(entry.gone.unwrap_or(now));
            (entry.roster_entry, entry.received_at) = (line.clone(), now);
            let started = entry.started;
            // Connections to a process that has ended must not carry picks.
            let ended = member.state == State::Gone || former != (member.addr, member.run);
            if let Some(addr) = former.0.filter(|_| ended) {
                self.effects.net.close_idle(addr);
            }
            entries.push(Member {
                machine,
                tag: rockpick_id_table::tag(member.name),
                zone: member.zone,
                cell: member.cell,
                build: member.build,
                state: member.state,
                weight: member.weight,
                started,
            });
            if member.state == State::Draining {
                tracing::info!(event = "drain", machine = member.name);
            }
        }
        self.for_each_instance(|front, effects| front.roster_updated(effects, roll, &entries));
        self.dirty |= roll != RosterUpdate::Saved;
    }

    fn request_settings(&mut self) {
        if !self.settings_requested {
            (self.settings_requested, self.settings_requested_at) = (true, self.effects.net.now());
            self.effects.call_controller(CallKind::Settings, "GET", "/settings", "", Some(2 * SEC));
        }
    }

    /// Applies settings by starting a new instance of the module; the former one finishes its RPCs. Settings
    /// that can't be applied now are requested again later.
    fn apply_settings(&mut self, body: &[u8]) {
        let body_json = match serde_json::from_slice::<Value>(body) {
            Ok(body_json) => body_json,
            Err(err) => return self.log_skipped("settings", &err.to_string()),
        };
        let (Some(version), Some(settings)) = (body_json["version"].as_u64(), body_json.get("settings"))
        else {
            return self.log_skipped("settings", "version and settings are wanted");
        };
        if version != self.settings_version {
            if self.instances.len() >= MAX_INSTANCES {
                return;
            }
            match Settings::parse(settings.to_string().as_bytes()) {
                Ok(settings) => {
                    self.start_instance(settings, version);
                    self.dirty = true;
                }
                Err(wrong) => {
                    if let Some(FieldError { field, why }) = wrong.first() {
                        tracing::warn!(event = "settings refused", field, why, version);
                    }
                }
            }
        }
        self.newer_settings = false;
    }

    fn start_instance(&mut self, settings: Settings, version: u64) {
        let options = &self.effects.options;
        let Some(front_config) =
            settings.front_config(&options.name, options.seed ^ (self.effects.newest_instance + 1))
        else {
            if !std::mem::replace(&mut self.no_settings, true) || self.settings_version != version {
                tracing::warn!(
                    event = "not among the fronts",
                    name = options.name,
                    settings_version = version
                );
            }
            self.settings_version = version;
            return;
        };
        if !self.tenants.as_ref().is_some_and(|s| s.matches_settings(&settings)) {
            if let Some(tenants) = self.tenants.take() {
                tenants.shut_down(&mut self.effects.net);
            }
            let (options, now) = (&self.effects.options, self.effects.net.now());
            self.tenants = TenantService::new(now, &settings, &options.name, &options.state, options.seed);
        }
        // Method numbers may differ in the new settings.
        self.effects.counts.clear();
        if let Some(peers) = &mut self.peers {
            let zone = settings.fronts.iter().find(|f| f.name == self.effects.options.name).map(|f| &f.zone);
            let near = settings.fronts.iter().filter(|f| Some(&f.zone) == zone).map(|f| f.name.clone());
            peers.set_fronts(&mut self.effects.net, settings.fronts.len() as u32, near.collect());
        }
        self.effects.settings = settings;
        (self.settings_version, self.no_settings) = (version, false);
        self.effects.newest_instance += 1;
        self.effects.current_instance = self.effects.newest_instance;
        // A new instance has no memory, like the module of a restarted front.
        self.instance_started = self.effects.net.now();
        let mut front = Front::start(front_config, &mut self.effects);
        if let Some(peers) = &mut self.peers {
            peers.replay_to(&mut front);
        }
        self.instances.push_back((self.effects.newest_instance, front));
        tracing::info!(event = "settings", version, life = self.effects.newest_instance);
        // The new instance starts with the known stage and roster; the watch that it has just asked for
        // brings the rest.
        if let Some(stage) = self.stage.clone() {
            self.apply_stage(Reply::News, Some(stage));
        }
        let known: Vec<Value> = self.roster_lines();
        if !known.is_empty() {
            self.apply_members(RosterUpdate::Saved, &known);
        }
    }

    /// The roster entries with their present ages.
    fn roster_lines(&self) -> Vec<Value> {
        let now = self.effects.net.now();
        let aged = |p: &crate::effects::Machine| {
            let mut line = p.roster_entry.clone();
            let age = line.get("age_ms").and_then(Value::as_f64).unwrap_or(0.0);
            line["age_ms"] = json!(age + (now - p.received_at) as f64 / MS as f64);
            line
        };
        self.effects
            .machines
            .iter()
            .filter(|p| p.gone.is_none() && p.roster_entry.is_object())
            .map(aged)
            .collect()
    }

    fn snapshot(&self) -> Option<Snapshot> {
        if self.instances.is_empty() {
            return None;
        }
        Some(Snapshot {
            settings_version: self.settings_version,
            settings: self.effects.settings.clone(),
            stage: self.stage.clone(),
            members: self.roster_lines(),
            saved_ms: snapshot::wall_ms(),
        })
    }

    fn restore(&mut self, snapshot: Snapshot) -> Result<(), String> {
        self.start_instance(snapshot.settings.clone(), snapshot.settings_version);
        if self.instances.is_empty() {
            return Ok(()); // no longer among the fronts: waits for settings that name it
        }
        // The ages are those at the time of saving. Only the wall clock tells how long ago that was, and a
        // clock set ahead would make cold machines pass for warm.
        self.apply_stage(Reply::News, snapshot.stage);
        self.apply_members(RosterUpdate::Saved, &snapshot.members);
        Ok(())
    }

    fn tick(&mut self) {
        let now = self.effects.net.now();
        if let Some(at) = self.stage_due.filter(|at| *at <= now) {
            self.stage_due = None;
            self.reapply_stage();
            tracing::info!(event = "window over", since_start_ms = (at - self.instance_started) / MS);
        }
        if now - self.ticked_at < TICK_INTERVAL && self.ticked_at > 0 {
            return;
        }
        self.ticked_at = now;
        self.effects.net.wake_at(now + TICK_INTERVAL, TICK);
        if (self.instances.is_empty() || self.newer_settings)
            && now - self.settings_requested_at >= SETTINGS_RETRY_INTERVAL
        {
            self.request_settings();
        }
        self.effects.forget(FORGET_GONE_AFTER);
        // Drops a watch that was silent for three times the period at which the controller sends the stage,
        // plus a second.
        let silent = 3 * self.effects.settings.rollout.told_every_ms as Ns * MS + SEC;
        if self.effects.watch_call.is_some()
            && now - self.watch_heard_at > silent
            && !self.instances.is_empty()
        {
            self.watch_heard_at = now;
            self.drop_watch("silent");
        }
        if let Some(tenants) = &mut self.tenants {
            tenants.tick(&mut self.effects.net);
        }
        let every = self.effects.settings.rollout.tally_every_ms as Ns * MS;
        let due = every > 0 && now - self.counts_sent_at >= every;
        let sums = self.tenants.as_mut().filter(|_| due).map_or(Vec::new(), TenantService::usage_sums);
        if due && !(self.effects.counts.is_empty() && sums.is_empty()) {
            self.counts_sent_at = now;
            let row = |((b, m), [picks, bad]): (&(u32, usize), &[u32; 2])| json!([b, m, picks, bad]);
            let rows: Vec<Value> = self.effects.counts.iter().take(MAX_COUNT_ROWS).map(row).collect();
            self.effects.counts.clear();
            let body =
                json!({ "front": self.effects.options.name, "rows": rows, "tenants": sums }).to_string();
            self.effects.call_controller(CallKind::Other, "POST", "/counts", &body, Some(SEC));
        }
        let newest = self.effects.newest_instance;
        let effects = &self.effects;
        self.instances.retain(|(instance, _)| *instance == newest || !effects.idle(*instance));
        if let (true, Some(writer)) = (self.dirty, &self.writer) {
            if let Some(saved) = self.snapshot() {
                writer.submit(saved);
                self.dirty = false;
            }
        }
    }

    fn dispute(&mut self, body: &[u8]) -> (u16, Value) {
        let body_json: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let name = body_json.get("machine").and_then(Value::as_str);
        let age = body_json.get("age_ms").and_then(Value::as_f64).filter(|a| (0.0..1e9).contains(a));
        let (Some(name), Some(age)) = (name, age) else {
            return (400, json!({ "error": "machine and age_ms are wanted" }));
        };
        let Some(machine) = self.effects.ids.machine_index(name) else {
            return (404, json!({ "error": "machine: not known" }));
        };
        let sent = self.effects.net.now() - (age * MS as f64) as Ns;
        self.for_each_instance(|front, effects| front.answer_disputed(effects, machine, sent));
        (202, json!({}))
    }

    fn status(&self) -> Value {
        let t = &self.effects.counters;
        let now = self.effects.net.now();
        let stage = self.effects.status.map(|s| {
            json!({ "build": s.build, "stage": s.stage, "phase": phase_name(s.phase), "cap": s.cap,
                "age_ms": (now - s.since) / MS })
        });
        let (clients, calls) = self.effects.net.open();
        let listed =
            self.effects.machines.iter().filter(|p| p.gone.is_none() && p.roster_entry.is_object()).count();
        json!({ "name": self.effects.options.name, "settings_version": self.settings_version, "stage": stage,
            "machines": listed, "watching": self.effects.watch_call.is_some(), "heard_ms_ago": (now - self.watch_heard_at) / MS,
            "open": self.effects.ids.open_rpcs(), "clients": clients, "calls": calls, "taken": t.taken, "ok": t.ok,
            "pushed_back": t.pushed_back, "aborted": t.aborted, "left": t.left, "late": t.late, "picks": t.picks,
            "not_taken": t.not_taken, "refused_connections": self.effects.net.refused,
            "peers": self.effects.peers.len(), "notes": self.effects.notes_addr.to_string(), "directory": self.tenants.as_ref().map(|s| s.status(now)), "module_ms": (self.effects.module_time - self.effects.actions_time) / MS, "up_ms": now / MS })
    }
}

/// Describes the end of a call for the log.
fn describe_end(end: &CallEnd) -> String {
    match end {
        CallEnd::Answer(r) => format!("status {} {}", r.status, String::from_utf8_lossy(&r.body).trim_end()),
        CallEnd::Unreachable | CallEnd::Unsent => "no connection".into(),
        CallEnd::Broken(why) => (*why).into(),
    }
}

/// A machine's entry in a roster.
struct RosterEntry<'a> {
    name: &'a str,
    addr: Option<SocketAddr>,
    state: State,
    zone: u32,
    cell: u32,
    build: u32,
    weight: f64,
    run: u64,
    age: Ns,
}

/// Parses a roster entry. An error names the field that is out of bounds: tables are sized by some fields,
/// and names are copied into headers.
fn parse_member(line: &Value) -> Result<RosterEntry<'_>, &'static str> {
    let text = |field: &'static str| line.get(field).and_then(Value::as_str).ok_or(field);
    let number = |field: &'static str, most: f64| match line.get(field) {
        None => Ok(0.0),
        Some(value) => value.as_f64().filter(|x| (0.0..=most).contains(x)).ok_or(field),
    };
    let weight = number("weight", MAX_WEIGHT)?;
    Ok(RosterEntry {
        name: text("name").ok().filter(|name| is_valid_name(name)).ok_or("name")?,
        addr: line.get("addr").and_then(Value::as_str).and_then(|a| a.parse().ok()),
        state: parse_state(text("state")?).ok_or("state")?,
        zone: number("zone", MAX_ZONES as f64 - 1.0)? as u32,
        cell: number("cell", f64::from(u32::MAX))? as u32,
        build: number("build", f64::from(MAX_BUILD))? as u32,
        weight: if weight > 0.0 { weight } else { 1.0 },
        run: line.get("run").and_then(Value::as_u64).unwrap_or(0),
        age: (number("age_ms", MAX_AGE_MS)? * MS as f64) as Ns,
    })
}

/// Converts a key for the module: numbers as they are, other text by its hash.
fn parse_key(text: &str) -> u64 {
    text.parse().unwrap_or_else(|_| rockpick_id_table::key_hash(text))
}
