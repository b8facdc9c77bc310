//! The front's loop: sockets and timers in, calls to the module out.
use crate::saved::{self, Saved};
use crate::shelf::Shelf;
use crate::wire::{back_lines, read_note, wait_lines, What, Wire, LAPSE, LOG_LINES, MODULE, PEERS, TICK};
use crate::{restart, Options};
use rockpick::{Front, Member, Ns, Outcome, Reply, Roll, Standing, State};
use rockpick_control::charter::{plain, Repeats, Wrong, MOST_WEIGHT, MOST_ZONES};
use rockpick_control::desk::{phase_of, phase_word, state_of, MOST_ROWS};
use rockpick_control::keep::Writer;
use rockpick_control::release::MOST_BUILD;
use rockpick_control::Charter;
use rockpick_net::http::Request;
use rockpick_net::{take_line, BoundListener, CallEnd, Event, Id, LogLimiter, Net, MS, SEC};
use rockpick_peers::{Company, Peers, Seal};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Most RPCs open at once; one more is pushed back without the module.
const MOST_OPEN: usize = 30_000;
/// Most machines known at a time: four times what a controller lists. A roster that names more is cut there.
const MOST_MACHINES: usize = 60_000;
/// A machine that has gone is forgotten after this, as the controller does.
const FORGOTTEN: Ns = 60 * SEC;
/// Most lives of the module at once; newer settings wait until the oldest's RPCs have ended.
const MOST_LIVES: usize = 8;
/// Longest age that is believed, ms: some thirty years.
const MOST_AGE: f64 = 1e12;
/// Longest line of a watch: a roster of 10,000 machines.
const MOST_LINE: usize = 8 * 1024 * 1024;
/// The front's own beat: counts, snapshot, silence of the watch, waits of the directory's session.
const TICK_EVERY: Ns = 250 * MS;
/// A front without settings, or that was told of others, asks for them this often.
const ASK_EVERY: Ns = 500 * MS;
const NO_COMPANY: &str = "this front keeps no company: it has no --peers-listen";
const SIGTERM: i32 = 15;
const SIGINT: i32 = 2;

struct Hall {
    wire: Wire,
    /// The module, and its former lives whose RPCs are not all answered: settings came since.
    lives: VecDeque<(u64, Front)>,
    born: Ns,
    version: u64,
    line: Vec<u8>,
    heard: Ns,
    /// The stage as last told, whole, and when it is to be told to the module once more.
    stage: Option<Value>,
    again: Option<Ns>,
    writer: Option<Writer<Saved>>,
    dirty: bool,
    counted: Ns,
    ticked: Ns,
    leaving: Option<Ns>,
    asking: bool,
    asked: Ns,
    /// Settings of another version were told of, and are not in force yet.
    newer: bool,
    no_settings: bool,
    /// For lines that make no sense.
    odd: LogLimiter,
    /// Tenants, where the settings name a directory.
    shelf: Option<Shelf>,
    /// The other fronts, where it was told to keep company.
    peers: Option<Peers>,
}

/// Runs a front until a signal ends it; `ready` hears the address taken.
///
/// # Errors
/// An address that can't be listened on, a snapshot that makes no sense.
pub fn run(opening: Options, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
    let say = |err: std::io::Error| err.to_string();
    let mut net = Net::new(opening.max_clients).map_err(say)?;
    for signal in [SIGTERM, SIGINT] {
        net.on_signal(signal).map_err(say)?;
    }
    let file = opening.state.as_ref().map(|dir| dir.join(format!("{}.json", opening.name)));
    if let Some(dir) = &opening.state {
        std::fs::create_dir_all(dir).map_err(|err| format!("{}: {err}", dir.display()))?;
    }
    let kept = match &file {
        Some(file) => saved::load(file)?,
        None => None,
    };
    let bound = BoundListener::bind(opening.listen).map_err(|err| format!("{}: {err}", opening.listen))?;
    let at = bound.at;
    let (notes, notes_at) = net.datagrams(SocketAddr::new(at.ip(), 0)).map_err(say)?;
    let no_settings = kept.is_none();
    let charter = kept.as_ref().map_or_else(|| Charter::example(1, 1), |k| k.settings.clone());
    // Without settings it is not known how many there are.
    let told = kept.as_ref().map_or(0, |k| k.settings.fronts.len() as u32);
    let peers = match &opening.peers {
        Some(circle) => Some(Peers::begin(&mut net, &opening.name, told, circle, PEERS)?),
        None => None,
    };
    let wire = Wire::new(opening, charter, net, notes, at, notes_at);
    let mut hall = Hall {
        wire,
        lives: VecDeque::new(),
        born: 0,
        version: 0,
        line: Vec::new(),
        heard: 0,
        stage: None,
        again: None,
        writer: file
            .map(|file| Writer::new(file, |saved| serde_json::to_vec(saved).map_err(std::io::Error::other))),
        dirty: false,
        counted: 0,
        ticked: 0,
        leaving: None,
        asking: false,
        asked: -ASK_EVERY,
        newer: false,
        no_settings,
        odd: LogLimiter::new(LOG_LINES),
        shelf: None,
        peers,
    };
    if let Some(kept) = kept {
        hall.restore(kept)?;
    }
    // Last: a client that connects to a start which is held up would wait, where one that is refused goes elsewhere.
    hall.wire.net.listen_on(bound).map_err(|err| format!("{at}: {err}"))?;
    ready(at);
    tracing::info!(event = "front up", at = %at, settings_version = hall.version, saved = !no_settings);
    hall.tick();
    hall.work()
}

/// One call to a life of the module, its time taken where that is asked for.
fn timed(wire: &mut Wire, life: u64, front: &mut Front, call: impl FnOnce(&mut Front, &mut Wire)) {
    wire.acting = life;
    let began = wire.opening.profile.then(|| wire.net.clock());
    call(front, wire);
    if let Some(began) = began {
        wire.in_module += wire.net.clock() - began;
    }
}

impl Hall {
    fn work(mut self) -> Result<(), String> {
        let mut events = Vec::new();
        loop {
            events.append(&mut self.wire.made);
            self.wire.net.turn(&mut events, SEC).map_err(|err| err.to_string())?;
            for event in events.drain(..) {
                self.event(event);
                self.settle();
            }
            if let Some(by) = self.leaving {
                let open = self.wire.open.iter().flatten().count();
                let unsent = self.wire.net.unsent();
                if open == 0 && unsent == 0 || self.wire.net.now() > by {
                    let saved = self.snapshot();
                    if let Some(shelf) = self.shelf.take() {
                        shelf.end(&mut self.wire.net);
                    }
                    if let Some(writer) = self.writer.take() {
                        // What could not be kept is in the log; the front comes up by what was.
                        let _ = writer.close(saved);
                    }
                    tracing::info!(event = "front down", open, unsent);
                    return Ok(());
                }
            }
        }
    }

    /// Makes a call to every life of the module, oldest first.
    fn each(&mut self, mut call: impl FnMut(&mut Front, &mut Wire)) {
        for (number, front) in &mut self.lives {
            timed(&mut self.wire, *number, front, &mut call);
        }
    }

    fn one(&mut self, life: u64, call: impl FnOnce(&mut Front, &mut Wire)) {
        if let Some((number, front)) = self.lives.iter_mut().find(|(n, _)| *n == life) {
            timed(&mut self.wire, *number, front, call);
        }
    }

    /// Tells the module of ends that came while it was at work.
    fn settle(&mut self) {
        while let Some((rpc, pick, outcome, _)) = self.wire.owed.pop() {
            self.pick_over(rpc, pick, outcome, None);
        }
        self.share();
        let now = self.wire.net.now();
        for (tenant, served) in self.wire.over.drain(..) {
            if let Some(shelf) = &mut self.shelf {
                shelf.over(now, tenant, served);
            }
        }
    }

    /// What this front's RPCs have bound goes to the others, and what they know comes here.
    fn share(&mut self) {
        let Some(peers) = &mut self.peers else { return self.wire.bound.clear() };
        for (key, build) in self.wire.bound.drain(..) {
            peers.bind(key, build);
        }
        let Some(news) = peers.news() else { return };
        self.each(|front, _| news.tell(front));
        // Its own watch may be silent, or the desk cut off: more careful at once.
        if let Some(s) = news.withdrawn {
            tracing::info!(event = "withdrawn, by another front", build = s.build);
            self.told_again();
        }
    }

    /// The stage as it was last told, at its present age.
    fn told_again(&mut self) {
        let Some(mut stage) = self.stage.clone() else { return };
        let now = self.wire.net.now();
        let age = self.wire.standing.map_or(0.0, |s| (now - s.since) as f64 / MS as f64);
        stage["age_ms"] = json!(age);
        self.told(Reply::News, Some(stage));
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Request { conn, request } => self.request(conn, request),
            Event::ClientClosed { conn } => {
                if let Some(rpc) = self.wire.door.rpc(conn).filter(|rpc| !self.wire.door.finished(*rpc)) {
                    self.wire.tolls.left += 1;
                    self.wire.door.finish(rpc);
                    let life = self.wire.open[rpc].as_ref().map_or(0, |o| o.life);
                    self.one(life, |front, _| front.left(rpc));
                    self.wire.sweep(rpc);
                }
            }
            Event::CallEnded { call, end } => self.ended(call, end),
            Event::CallData { call, status, bytes } => {
                if self.wire.watch == Some(call) && status == 200 {
                    self.piece(&bytes);
                }
            }
            Event::Timer { tag } if tag & MODULE != 0 => {
                let (life, tag) = ((tag & !MODULE) >> 8, tag & 0xff);
                self.one(life, |front, wire| front.woke(wire, tag));
            }
            Event::Timer { tag: LAPSE } => {
                self.wire.lapses.woke(self.wire.net.now());
                while let Some(call) = self.wire.lapsed() {
                    self.lapsed(call);
                    self.settle();
                }
            }
            Event::Timer { tag: TICK } => self.tick(),
            Event::Timer { tag: PEERS } => {
                if let Some(peers) = &mut self.peers {
                    peers.woke(&mut self.wire.net);
                }
            }
            Event::Timer { .. } => {}
            Event::Datagram { from, bytes } if Seal::ours(&bytes) => {
                if let Some(peers) = &mut self.peers {
                    peers.datagram(&mut self.wire.net, from, &bytes);
                }
            }
            Event::Datagram { from, bytes } => {
                // A note counts only from where the controller says that this front is.
                if let Some((rank, note)) =
                    read_note(&bytes).filter(|(r, _)| self.wire.peers.get(r) == Some(&from))
                {
                    self.each(|front, wire| front.heard(wire, rank as usize, note));
                }
            }
            Event::StreamFlushed { .. } => {}
            Event::StreamOpened { .. } | Event::StreamData { .. } | Event::StreamClosed { .. } => {
                if let Some(shelf) = &mut self.shelf {
                    shelf.event(&mut self.wire.net, &event);
                }
            }
            Event::Signal { number } => {
                tracing::info!(event = "signal", number);
                // A second one changes nothing: the first has a bound.
                if self.leaving.is_none() {
                    // Former settings may have had longer deadlines: the RPCs that are open know theirs.
                    let open = self.wire.open.iter().flatten();
                    let last = open.map(|o| o.gives_up).max().unwrap_or(0).max(self.wire.net.now());
                    self.leaving = Some(last + SEC);
                    let (owed, picks) = self.wire.in_flight();
                    tracing::info!(event = "leaving", owed, picks_by_build = ?picks);
                    self.wire.net.stop_listening();
                    if let Some(peers) = &mut self.peers {
                        peers.leave(&mut self.wire.net);
                    }
                }
            }
        }
    }

    fn request(&mut self, conn: Id, request: Request) {
        let path = request.path().to_string();
        if let Some(method) = path.strip_prefix("/rpc/") {
            return self.rpc(conn, method, request);
        }
        let (status, value) = match (request.method.as_str(), path.as_str()) {
            ("GET" | "HEAD", "/status") => (200, self.status()),
            ("GET" | "HEAD", "/peers") => match &self.peers {
                Some(peers) => (200, peers.show(self.wire.net.now())),
                None => (404, json!({ "error": NO_COMPANY })),
            },
            ("GET" | "HEAD", "/peers/rows") => {
                let table = request.query("table").unwrap_or("bindings");
                match self.peers.as_ref().map(|peers| peers.rows(table, request.query("from"))) {
                    Some(Some(rows)) => (200, rows),
                    Some(None) => (
                        400,
                        json!({ "error": "table: builds, machines, bindings, evidence or spent; from: as told by next" }),
                    ),
                    None => (404, json!({ "error": NO_COMPANY })),
                }
            }
            ("POST", "/dispute") => self.dispute(&request.body),
            ("POST", "/directory/confirm") => match &self.shelf {
                Some(shelf) => match shelf.confirm(self.wire.net.now()) {
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
        self.wire.net.answer(conn, status, &[("Content-Type", "application/json")], body.as_bytes());
    }

    /// Refuses to take an RPC; the client may send it again as it likes.
    fn not_taken(&mut self, conn: Id, status: u16, why: &str) {
        if status == 503 {
            return self.untaken(conn, SEC / 4, why);
        }
        self.wire.tolls.not_taken += 1;
        let body = format!("{why}\n");
        self.wire.net.answer(conn, status, &[("Rockpick-Answer", "not-taken")], body.as_bytes());
    }

    /// Pushes an RPC back without taking it.
    fn untaken(&mut self, conn: Id, wait: Ns, why: &str) {
        self.wire.tolls.not_taken += 1;
        let [seconds, ms] = wait_lines(wait);
        let body = format!("{why}\n");
        self.wire.net.answer(conn, 503, &back_lines(&seconds, &ms), body.as_bytes());
    }

    fn rpc(&mut self, conn: Id, name: &str, request: Request) {
        if request.method != "POST" {
            return self.not_taken(conn, 405, "RPCs are POSTed");
        }
        if self.leaving.is_some() || self.lives.is_empty() {
            return self.not_taken(conn, 503, "not taking RPCs now");
        }
        if self.wire.door.in_use() >= MOST_OPEN {
            return self.not_taken(conn, 503, "too many RPCs are open");
        }
        let Some(method) = self.wire.charter.method(name) else {
            return self.not_taken(conn, 404, "no such method");
        };
        let row = &self.wire.charter.methods[method];
        let whole = row.deadline_ms as Ns * MS;
        let left = match request.headers.get("rockpick-time-left-ms").map(str::parse::<f64>) {
            None => whole,
            Some(Ok(ms)) if ms.is_finite() && ms > 0.0 => ((ms * MS as f64) as Ns).min(whole),
            Some(_) => return self.not_taken(conn, 400, "Rockpick-Time-Left-Ms: a number above 0 is wanted"),
        };
        if !restart::can_answer_in_time(left, self.wire.charter.guard.answer_margin_ms as Ns * MS) {
            return self.not_taken(conn, 503, "too little time is left to answer");
        }
        if row.repeat == Repeats::Tokened && request.headers.get("idempotency-key").is_none_or(str::is_empty)
        {
            return self.not_taken(conn, 400, "Idempotency-Key: wanted for this method");
        }
        let key = request.headers.get("rockpick-key").map(key_of);
        let now = self.wire.net.now();
        let tenant = match self.shelf.as_mut().map(|s| s.take(now, &request, method)) {
            None => None,
            Some(Ok(tenant)) => Some(tenant),
            Some(Err(wait)) => return self.untaken(conn, wait, "more than this tenant may take"),
        };
        let (rpc, by) = self.wire.take(conn, method, left, request);
        if let Some(open) = self.wire.open[rpc].as_mut() {
            open.tenant = tenant;
        }
        let life = self.wire.life;
        self.one(life, |front, wire| front.taken(wire, rpc, method, key, by));
        self.settle();
        self.wire.sweep(rpc);
    }

    fn pick_over(
        &mut self, rpc: usize, pick: usize, outcome: Outcome, response: Option<rockpick_net::http::Response>,
    ) {
        if let Some((life, took, last)) = self.wire.pick_ended(rpc, pick, outcome, response) {
            self.one(life, |front, wire| front.ended(wire, rpc, pick, outcome, took, last));
            self.wire.sweep(rpc);
        }
    }

    fn ended(&mut self, call: Id, end: CallEnd) {
        let Some(what) = self.wire.calls.remove(&call) else { return };
        match (what, end) {
            (What::Pick(rpc, pick), end) => {
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
                self.pick_over(rpc, pick, outcome, response);
            }
            (What::Vote, end) => {
                self.wire.voting = None;
                let (reply, news) = match end {
                    CallEnd::Answer(r) => {
                        let said: Value = serde_json::from_slice(&r.body).unwrap_or(Value::Null);
                        let counted = r.status == 200;
                        // Moot or over the rate is ordinary; a vote that is no vote, or nobody's, is not.
                        if matches!(r.status, 400 | 403 | 404) || r.status >= 500 {
                            self.passed_over("vote", &String::from_utf8_lossy(&r.body));
                        }
                        (if counted { Reply::Counted } else { Reply::Refused }, said.get("stage").cloned())
                    }
                    CallEnd::Broken(_) => (Reply::TimedOut, None),
                    CallEnd::Unreachable | CallEnd::Unsent => (Reply::Refused, None),
                };
                self.told(reply, news.filter(Value::is_object));
            }
            (What::Watch, end) => {
                self.wire.watch = None;
                self.line.clear();
                tracing::warn!(event = "watch lost", why = why(&end));
                self.each(|front, wire| front.members(wire, Roll::Failed, &[]));
            }
            (What::Fetch, CallEnd::Answer(r)) if r.status == 200 => {
                match serde_json::from_slice::<Value>(&r.body) {
                    Ok(line) => self.news(&line),
                    Err(err) => {
                        self.passed_over("roster", &err.to_string());
                        self.each(|front, wire| front.members(wire, Roll::Failed, &[]));
                    }
                }
            }
            (What::Fetch, _) => self.each(|front, wire| front.members(wire, Roll::Failed, &[])),
            (What::Settings, CallEnd::Answer(r)) if r.status == 200 => {
                self.asking = false;
                self.settings(&r.body);
            }
            (What::Settings, _) => self.asking = false,
            (What::Else, CallEnd::Answer(r)) if r.status >= 400 => {
                self.passed_over("counts", &String::from_utf8_lossy(&r.body));
            }
            // Probes, and counts that did not get there: they are samples, the next ones tell as much.
            (What::Else, _) => {}
        }
    }

    /// A call's time is over.
    fn lapsed(&mut self, call: Id) {
        let Some(what) = self.wire.calls.remove(&call) else { return };
        self.wire.net.cancel(call);
        match what {
            What::Pick(rpc, pick) => self.pick_over(rpc, pick, Outcome::TimedOut, None),
            What::Vote => {
                self.wire.voting = None;
                self.told(Reply::TimedOut, None);
            }
            What::Settings => self.asking = false,
            What::Fetch => self.each(|front, wire| front.members(wire, Roll::Failed, &[])),
            What::Watch | What::Else => {}
        }
    }

    fn piece(&mut self, bytes: &[u8]) {
        self.heard = self.wire.net.now();
        self.line.extend_from_slice(bytes);
        if self.line.len() > MOST_LINE {
            self.line.clear();
            return self.drop_watch("a line too long");
        }
        while let Some(line) = take_line(&mut self.line) {
            match serde_json::from_slice::<Value>(&line) {
                Ok(line) => self.news(&line),
                Err(_) => return self.drop_watch("a line that is no JSON"),
            }
        }
    }

    fn drop_watch(&mut self, why: &str) {
        tracing::warn!(event = "watch dropped", why);
        if let Some(watch) = self.wire.watch.take() {
            self.wire.calls.remove(&watch);
            self.wire.net.cancel(watch);
        }
        self.line.clear();
        self.each(|front, wire| front.members(wire, Roll::Failed, &[]));
    }

    /// One line of the watch; kinds that are not known are passed over.
    fn news(&mut self, line: &Value) {
        if let Some(stage) = line.get("stage").filter(|s| s.is_object()) {
            self.told(Reply::News, Some(stage.clone()));
        }
        if let Some(roster) = line.get("roster") {
            // One without a list, or of another kind, must not pass for a list of nobody.
            match (roster["kind"].as_str(), roster["members"].as_array()) {
                (Some("changes"), Some(members)) => self.members(Roll::Changes, members),
                (Some("whole"), Some(members)) => self.members(Roll::Whole, members),
                (kind, _) => self.passed_over("roster", &format!("kind {kind:?}, or no list of members")),
            }
        }
        if let Some(rows) = line.get("tally").and_then(Value::as_array) {
            for row in rows {
                let at = |i: usize| {
                    row.get(i).and_then(Value::as_u64).map_or(0, |n| n.min(u32::MAX.into()) as u32)
                };
                let (build, method, picks, bad) = (at(0), at(1) as usize, at(2), at(3).min(at(2)));
                if build <= MOST_BUILD && method < self.wire.charter.methods.len() {
                    self.each(|front, wire| front.tallied(wire, build, method, picks, bad));
                }
            }
        }
        if let (Some(sums), Some(shelf)) = (line.get("tenants"), &mut self.shelf) {
            shelf.told(self.wire.net.now(), sums);
        }
        if let Some(fronts) = line.get("fronts").and_then(Value::as_array) {
            let peer = |f: &Value| {
                let rank = f.get("rank")?.as_u64()? as u32;
                Some((rank, f.get("notes")?.as_str()?.parse().ok()?))
            };
            self.wire.peers = fronts.iter().filter_map(peer).collect();
        }
        if line.get("settings_version").and_then(Value::as_u64).is_some_and(|v| v != self.version) {
            self.newer = true;
            self.ask_settings();
        }
    }

    /// Says that a line was passed over, and why, if not too often.
    fn passed_over(&mut self, what: &str, why: &str) {
        if let Some(left_out) = self.odd.allow(self.wire.net.now()) {
            tracing::warn!(event = "line passed over", what, why, left_out);
        }
    }

    fn standing(&self, stage: &Value) -> Option<Standing> {
        let now = self.wire.net.now();
        let number = |name: &str| stage.get(name).and_then(Value::as_f64);
        Some(Standing {
            build: number("build").filter(|b| (0.0..=MOST_BUILD.into()).contains(b))? as u32,
            stage: number("stage")? as u32,
            phase: phase_of(stage.get("phase")?.as_str()?)?,
            cap: number("cap")?.clamp(0.0, 1.0),
            since: now - (number("age_ms")?.clamp(0.0, MOST_AGE) * MS as f64) as Ns,
        })
    }

    fn told(&mut self, reply: Reply, stage: Option<Value>) {
        let news = stage.as_ref().and_then(|s| self.standing(s));
        if let (Some(stage), None) = (&stage, &news) {
            self.passed_over("stage", &stage.to_string());
        }
        let (now, window) = (self.wire.net.now(), self.wire.charter.rollout.window_ms as Ns * MS);
        let mut held = None;
        if let Some(news) = news {
            let news = match &mut self.peers {
                Some(peers) => peers.stands(news),
                None => news,
            };
            let before = self.wire.standing.replace(news);
            let moved =
                before.is_none_or(|b| (b.build, b.stage, b.phase) != (news.build, news.stage, news.phase));
            if moved {
                let (build, stage) = (news.build, news.stage);
                tracing::info!(event = "told", build, stage, phase = phase_word(news.phase), cap = news.cap);
                self.dirty = true;
            }
            let (may, again) = restart::limit_cap(news, self.born, now, window);
            if again.is_some() && self.again.is_none() {
                self.wire.net.wake_at(self.born + window, TICK);
            }
            self.again = again;
            held = Some(may);
            self.stage = stage;
        }
        // A reply is the newest life's; the others hear the news alone.
        let newest = self.wire.life;
        for life in self.lives.iter().map(|(n, _)| *n).collect::<Vec<_>>() {
            let reply = if life == newest { reply } else { Reply::News };
            self.one(life, |front, wire| front.told(wire, reply, held));
        }
    }

    fn members(&mut self, roll: Roll, lines: &[Value]) {
        let now = self.wire.net.now();
        let mut entries = Vec::with_capacity(lines.len());
        // Before the list below marks all as gone that it is about to name.
        if self.wire.door.machines() + lines.len() > MOST_MACHINES {
            self.wire.forget(0);
        }
        if roll != Roll::Changes {
            self.wire.places.iter_mut().for_each(|p| p.gone = p.gone.or(Some(now)));
        }
        for line in lines {
            let said = match read_member(line) {
                Ok(said) => said,
                Err(field) => {
                    self.passed_over("member", &format!("{field}: {}", line[field]));
                    continue;
                }
            };
            let known = self.wire.door.known(said.name).is_some();
            if !known && (said.state == State::Gone || self.wire.door.machines() >= MOST_MACHINES) {
                continue;
            }
            let machine = self.wire.door.machine(said.name);
            if self.wire.places.len() <= machine {
                self.wire.places.resize_with(machine + 1, Default::default);
            }
            let place = &mut self.wire.places[machine];
            let former = (place.addr, place.run);
            // The same run keeps its start, whatever the clock of the telling did meanwhile.
            if place.run != said.run || place.started.is_none() || place.guess {
                place.started = Some(now - said.age);
                place.guess = roll == Roll::Saved;
            }
            (place.run, place.addr, place.build) = (said.run, said.addr, said.build);
            place.gone = (said.state == State::Gone).then_some(place.gone.unwrap_or(now));
            (place.line, place.at) = (line.clone(), now);
            let started = place.started;
            // No pick goes out on a connection to a process that is no more.
            let over = said.state == State::Gone || former != (said.addr, said.run);
            if let Some(addr) = former.0.filter(|_| over) {
                self.wire.net.close_idle(addr);
            }
            entries.push(Member {
                machine,
                tag: rockpick_door::tag(said.name),
                zone: said.zone,
                cell: said.cell,
                build: said.build,
                state: said.state,
                weight: said.weight,
                started,
            });
            if said.state == State::Draining {
                tracing::info!(event = "drain", machine = said.name);
            }
        }
        self.each(|front, wire| front.members(wire, roll, &entries));
        self.dirty |= roll != Roll::Saved;
    }

    fn ask_settings(&mut self) {
        if !self.asking {
            (self.asking, self.asked) = (true, self.wire.net.now());
            self.wire.ask(What::Settings, "GET", "/settings", "", Some(2 * SEC));
        }
    }

    /// New settings begin a new life of the module; the former one finishes its RPCs. What can't be taken now is
    /// asked for again.
    fn settings(&mut self, body: &[u8]) {
        let said = match serde_json::from_slice::<Value>(body) {
            Ok(said) => said,
            Err(err) => return self.passed_over("settings", &err.to_string()),
        };
        let (Some(version), Some(settings)) = (said["version"].as_u64(), said.get("settings")) else {
            return self.passed_over("settings", "version and settings are wanted");
        };
        if version != self.version {
            if self.lives.len() >= MOST_LIVES {
                return;
            }
            match Charter::read(settings.to_string().as_bytes()) {
                Ok(charter) => {
                    self.begin(charter, version);
                    self.dirty = true;
                }
                Err(wrong) => {
                    if let Some(Wrong { field, why }) = wrong.first() {
                        tracing::warn!(event = "settings refused", field, why, version);
                    }
                }
            }
        }
        self.newer = false;
    }

    fn begin(&mut self, charter: Charter, version: u64) {
        let opening = &self.wire.opening;
        let Some(post) = charter.post(&opening.name, opening.seed ^ (self.wire.life + 1)) else {
            if !std::mem::replace(&mut self.no_settings, true) || self.version != version {
                tracing::warn!(
                    event = "not among the fronts",
                    name = opening.name,
                    settings_version = version
                );
            }
            self.version = version;
            return;
        };
        if !self.shelf.as_ref().is_some_and(|s| s.same(&charter)) {
            if let Some(shelf) = self.shelf.take() {
                shelf.end(&mut self.wire.net);
            }
            let (opening, now) = (&self.wire.opening, self.wire.net.now());
            self.shelf = Shelf::new(now, &charter, &opening.name, &opening.state, opening.seed);
        }
        // Methods may have other numbers from here on.
        self.wire.counts.clear();
        if let Some(peers) = &mut self.peers {
            let zone = charter.fronts.iter().find(|f| f.name == self.wire.opening.name).map(|f| &f.zone);
            let near = charter.fronts.iter().filter(|f| Some(&f.zone) == zone).map(|f| f.name.clone());
            peers.told(&mut self.wire.net, charter.fronts.len() as u32, near.collect());
        }
        self.wire.charter = charter;
        (self.version, self.no_settings) = (version, false);
        self.wire.life += 1;
        self.wire.acting = self.wire.life;
        // Its memory is empty like that of a restarted front.
        self.born = self.wire.net.now();
        let mut front = Front::start(post, &mut self.wire);
        if let Some(peers) = &mut self.peers {
            peers.tell_all(&mut front);
        }
        self.lives.push_back((self.wire.life, front));
        tracing::info!(event = "settings", version, life = self.wire.life);
        // It begins with what is known; the watch that it has just asked for brings the rest.
        if let Some(stage) = self.stage.clone() {
            self.told(Reply::News, Some(stage));
        }
        let known: Vec<Value> = self.known();
        if !known.is_empty() {
            self.members(Roll::Saved, &known);
        }
    }

    /// The roster's lines with their present ages.
    fn known(&self) -> Vec<Value> {
        let now = self.wire.net.now();
        let aged = |p: &crate::wire::Place| {
            let mut line = p.line.clone();
            let age = line.get("age_ms").and_then(Value::as_f64).unwrap_or(0.0);
            line["age_ms"] = json!(age + (now - p.at) as f64 / MS as f64);
            line
        };
        self.wire.places.iter().filter(|p| p.gone.is_none() && p.line.is_object()).map(aged).collect()
    }

    fn snapshot(&self) -> Option<Saved> {
        if self.lives.is_empty() {
            return None;
        }
        Some(Saved {
            settings_version: self.version,
            settings: self.wire.charter.clone(),
            stage: self.stage.clone(),
            members: self.known(),
            saved_ms: saved::wall_ms(),
        })
    }

    fn restore(&mut self, kept: Saved) -> Result<(), String> {
        self.begin(kept.settings.clone(), kept.settings_version);
        if self.lives.is_empty() {
            return Ok(()); // not among the fronts any more: it waits for settings that name it
        }
        // Ages as of saving: how long ago that was only the wall clock knows, and one set ahead would make
        // cold machines pass for warm.
        self.told(Reply::News, kept.stage);
        self.members(Roll::Saved, &kept.members);
        Ok(())
    }

    fn tick(&mut self) {
        let now = self.wire.net.now();
        if let Some(at) = self.again.filter(|at| *at <= now) {
            self.again = None;
            self.told_again();
            tracing::info!(event = "window over", since_start_ms = (at - self.born) / MS);
        }
        if now - self.ticked < TICK_EVERY && self.ticked > 0 {
            return;
        }
        self.ticked = now;
        self.wire.net.wake_at(now + TICK_EVERY, TICK);
        if (self.lives.is_empty() || self.newer) && now - self.asked >= ASK_EVERY {
            self.ask_settings();
        }
        self.wire.forget(FORGOTTEN);
        // A watch that has gone silent is dropped: three times the period at which the stage is told.
        let silent = 3 * self.wire.charter.rollout.told_every_ms as Ns * MS + SEC;
        if self.wire.watch.is_some() && now - self.heard > silent && !self.lives.is_empty() {
            self.heard = now;
            self.drop_watch("silent");
        }
        if let Some(shelf) = &mut self.shelf {
            shelf.tick(&mut self.wire.net);
        }
        let every = self.wire.charter.rollout.tally_every_ms as Ns * MS;
        let due = every > 0 && now - self.counted >= every;
        let sums = self.shelf.as_mut().filter(|_| due).map_or(Vec::new(), Shelf::sums);
        if due && !(self.wire.counts.is_empty() && sums.is_empty()) {
            self.counted = now;
            let row = |((b, m), [picks, bad]): (&(u32, usize), &[u32; 2])| json!([b, m, picks, bad]);
            let rows: Vec<Value> = self.wire.counts.iter().take(MOST_ROWS).map(row).collect();
            self.wire.counts.clear();
            let body = json!({ "front": self.wire.opening.name, "rows": rows, "tenants": sums }).to_string();
            self.wire.ask(What::Else, "POST", "/counts", &body, Some(SEC));
        }
        let newest = self.wire.life;
        let wire = &self.wire;
        self.lives.retain(|(life, _)| *life == newest || !wire.idle(*life));
        if let (true, Some(writer)) = (self.dirty, &self.writer) {
            if let Some(saved) = self.snapshot() {
                writer.keep(saved);
                self.dirty = false;
            }
        }
    }

    fn dispute(&mut self, body: &[u8]) -> (u16, Value) {
        let said: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let name = said.get("machine").and_then(Value::as_str);
        let age = said.get("age_ms").and_then(Value::as_f64).filter(|a| (0.0..1e9).contains(a));
        let (Some(name), Some(age)) = (name, age) else {
            return (400, json!({ "error": "machine and age_ms are wanted" }));
        };
        let Some(machine) = self.wire.door.known(name) else {
            return (404, json!({ "error": "machine: not known" }));
        };
        let sent = self.wire.net.now() - (age * MS as f64) as Ns;
        self.each(|front, wire| front.disputed(wire, machine, sent));
        (202, json!({}))
    }

    fn status(&self) -> Value {
        let t = &self.wire.tolls;
        let now = self.wire.net.now();
        let stage = self.wire.standing.map(|s| {
            json!({ "build": s.build, "stage": s.stage, "phase": phase_word(s.phase), "cap": s.cap,
                "age_ms": (now - s.since) / MS })
        });
        let (clients, calls) = self.wire.net.open();
        let listed = self.wire.places.iter().filter(|p| p.gone.is_none() && p.line.is_object()).count();
        json!({ "name": self.wire.opening.name, "settings_version": self.version, "stage": stage,
            "machines": listed, "watching": self.wire.watch.is_some(), "heard_ms_ago": (now - self.heard) / MS,
            "open": self.wire.door.in_use(), "clients": clients, "calls": calls, "taken": t.taken, "ok": t.ok,
            "pushed_back": t.pushed_back, "aborted": t.aborted, "left": t.left, "late": t.late, "picks": t.picks,
            "not_taken": t.not_taken, "refused_connections": self.wire.net.refused,
            "peers": self.wire.peers.len(), "notes": self.wire.notes_real.to_string(), "directory": self.shelf.as_ref().map(|s| s.status(now)), "module_ms": (self.wire.in_module - self.wire.in_actions) / MS, "up_ms": now / MS })
    }
}

/// How a call ended, for the log.
fn why(end: &CallEnd) -> String {
    match end {
        CallEnd::Answer(r) => format!("status {} {}", r.status, String::from_utf8_lossy(&r.body).trim_end()),
        CallEnd::Unreachable | CallEnd::Unsent => "no connection".into(),
        CallEnd::Broken(why) => (*why).into(),
    }
}

/// What a roster's line says of a machine.
struct Said<'a> {
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

/// Reads a roster's line, or names the field that is out of its bounds: tables are sized by some, and names go
/// into headers.
fn read_member(line: &Value) -> Result<Said<'_>, &'static str> {
    let word = |field: &'static str| line.get(field).and_then(Value::as_str).ok_or(field);
    let number = |field: &'static str, most: f64| match line.get(field) {
        None => Ok(0.0),
        Some(value) => value.as_f64().filter(|x| (0.0..=most).contains(x)).ok_or(field),
    };
    let weight = number("weight", MOST_WEIGHT)?;
    Ok(Said {
        name: word("name").ok().filter(|name| plain(name)).ok_or("name")?,
        addr: line.get("addr").and_then(Value::as_str).and_then(|a| a.parse().ok()),
        state: state_of(word("state")?).ok_or("state")?,
        zone: number("zone", MOST_ZONES as f64 - 1.0)? as u32,
        cell: number("cell", f64::from(u32::MAX))? as u32,
        build: number("build", f64::from(MOST_BUILD))? as u32,
        weight: if weight > 0.0 { weight } else { 1.0 },
        run: line.get("run").and_then(Value::as_u64).unwrap_or(0),
        age: (number("age_ms", MOST_AGE)? * MS as f64) as Ns,
    })
}

/// A key as the module wants it: a number as it is, any other text by its hash.
fn key_of(text: &str) -> u64 {
    text.parse().unwrap_or_else(|_| rockpick_door::key_hash(text))
}
