//! The controller without its sockets: it handles requests and, on each tick, returns the lines to send to watchers.
//! The caller passes the time and writes the snapshot that [`Api::snapshot`] returns.
use crate::release::{Release, Running, Transition, VoteRejection, MAX_BUILD};
use crate::roster::{Heartbeat, Order, Roster, SETTLE_TIME};
use crate::settings::{is_valid_name, FieldError, Settings, MAX_STAGES};
use rockpick::{Ns, Phase, State, Verdict};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;
/// Most tenants whose counts are summed at a time; the rates of those beyond are still split by earlier sums.
const MAX_TENANTS: usize = 10_000;
/// Most rows in a report of counts: all methods of a few builds.
pub const MAX_COUNT_ROWS: usize = 512;
/// Most builds in an agent's report.
const MAX_BUILDS: usize = 16;
/// Most watchers: three times the fronts allowed, as old connections may be closed late.
const MAX_WATCHERS: usize = 15_000;

pub enum Response {
    Json(u16, Value),
    /// The connection becomes a watcher.
    Watch,
}

struct Watcher {
    pub front: String,
    serial: Option<u64>,
    stage_known: bool,
    fronts: u64,
    settings: u64,
}

#[derive(Clone, Serialize, Deserialize)]
struct SavedTrial {
    build: u32,
    stage: u32,
    phase: String,
    age_ms: f64,
    ran_ms: f64,
}

/// The state that survives a restart.
#[derive(Clone, Serialize, Deserialize)]
struct Snapshot {
    version: u64,
    #[serde(rename = "charter")]
    settings: Settings,
    earlier: u32,
    newest: Option<SavedTrial>,
    /// Generation of the last order; no later order may have a lower one.
    #[serde(default)]
    generation: u64,
}

/// An agent's last report.
#[derive(Clone, Default)]
struct AgentReport {
    last_heard: Ns,
    generation: u64,
    /// Build, state, and the reason for it if there is one.
    builds: Vec<(u32, String, String)>,
}

#[derive(Clone, Default, Serialize)]
struct FrontAddresses {
    http: String,
    notes: String,
}

#[derive(Default)]
pub struct Api {
    pub settings: Option<Settings>,
    pub version: u64,
    pub release: Option<Release>,
    pub roster: Roster,
    watchers: BTreeMap<u64, Watcher>,
    fronts: BTreeMap<String, FrontAddresses>,
    fronts_serial: u64,
    /// Token bucket that limits the rate of votes: tokens left, and when it was last refilled.
    vote_tokens: (f64, Ns),
    counts: BTreeMap<(u32, usize), [u64; 2]>,
    /// Counts by tenant: asked, served, refused.
    tenants: BTreeMap<String, [u64; 3]>,
    last_tally: Ns,
    stage_sent: Ns,
    stage_changed: bool,
    started: Ns,
    /// The machines that should run as of the last tick, and the generation of that order.
    wanted: Running,
    generation: u64,
    agents: BTreeMap<String, AgentReport>,
    /// Whether something changed that the snapshot must contain.
    pub dirty: bool,
    pub calls: u64,
    pub votes: [u64; 3],
}

pub fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::OnTrial => "on-trial",
        Phase::GoingBack => "going-back",
        Phase::Released => "released",
        Phase::Withdrawn => "withdrawn",
    }
}

pub fn parse_phase(name: &str) -> Option<Phase> {
    [Phase::OnTrial, Phase::GoingBack, Phase::Released, Phase::Withdrawn]
        .into_iter()
        .find(|p| phase_name(*p) == name)
}

pub fn state_name(state: State) -> &'static str {
    match state {
        State::Up => "up",
        State::Draining => "draining",
        State::Gone => "gone",
    }
}

pub fn parse_state(name: &str) -> Option<State> {
    [State::Up, State::Draining, State::Gone].into_iter().find(|s| state_name(*s) == name)
}

pub fn verdict_name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::NoVote => "none",
        Verdict::On => "on",
        Verdict::Hold => "hold",
        Verdict::Back => "back",
    }
}

fn parse_verdict(name: &str) -> Option<Verdict> {
    [Verdict::NoVote, Verdict::On, Verdict::Hold, Verdict::Back]
        .into_iter()
        .find(|v| verdict_name(*v) == name)
}

fn ms(span: Ns) -> f64 {
    span as f64 / MS as f64
}

fn error(status: u16, field: &str, why: impl Into<String>) -> Response {
    Response::Json(status, json!({ "errors": [FieldError { field: field.into(), why: why.into() }] }))
}

fn log_transition(transition: &Transition) {
    let Transition { build, stage, phase, why } = transition;
    tracing::info!(event = "stage", build, stage, phase = phase_name(*phase), why);
}

/// A number that fits 32 bits; a larger one must not be truncated to another value.
fn as_u32(value: &Value) -> Option<u32> {
    value.as_u64()?.try_into().ok()
}

/// A valid build number.
fn as_build(value: &Value) -> Option<u32> {
    as_u32(value).filter(|n| *n <= MAX_BUILD)
}

/// Reads a field of the body, or returns an error response that names it.
macro_rules! field {
    ($body:expr, $name:literal, $read:expr) => {
        match $body.get($name).and_then($read) {
            Some(value) => value,
            None => return error(400, $name, "missing, or not of the kind wanted"),
        }
    };
}

impl Api {
    /// Restores the state from a snapshot, if there is one.
    ///
    /// # Errors
    /// The snapshot is invalid; the message says why. Its file is left as it was.
    pub fn restore(now: Ns, snapshot: Option<&[u8]>) -> Result<Api, String> {
        let vote_tokens = (f64::MAX, now);
        let mut api = Api { started: now, last_tally: now, stage_sent: now, vote_tokens, ..Api::default() };
        let Some(text) = snapshot else { return Ok(api) };
        let snapshot: Snapshot =
            serde_json::from_slice(text).map_err(|err| format!("the snapshot: {err}"))?;
        if let Some(FieldError { field, why }) = snapshot.settings.validate().first() {
            return Err(format!("the snapshot: {field}: {why}"));
        }
        let mut release = Release::new(&snapshot.settings);
        let newest = match &snapshot.newest {
            None => None,
            Some(k) => {
                let phase = parse_phase(&k.phase).ok_or("the snapshot: newest.phase: not known")?;
                let span = |ms: f64| (0.0..=1e12).contains(&ms);
                for (good, field) in [
                    ((1..=MAX_BUILD).contains(&k.build), "build"),
                    ((k.stage as usize) < MAX_STAGES, "stage"),
                    (span(k.age_ms), "age_ms"),
                    (span(k.ran_ms), "ran_ms"),
                ] {
                    if !good {
                        return Err(format!("the snapshot: newest.{field}: out of its bounds"));
                    }
                }
                Some((k.build, k.stage, phase, (k.age_ms * MS as f64) as Ns, (k.ran_ms * MS as f64) as Ns))
            }
        };
        release.restore(now, snapshot.earlier, newest);
        api.generation = snapshot.generation;
        (api.settings, api.version, api.release) = (Some(snapshot.settings), snapshot.version, Some(release));
        Ok(api)
    }

    /// The snapshot's text; `None` before the first settings.
    pub fn snapshot(&mut self, now: Ns) -> Option<Vec<u8>> {
        let (settings, release) = (self.settings.clone()?, self.release.as_ref()?);
        self.dirty = false;
        let newest = release.newest.as_ref().map(|t| SavedTrial {
            build: t.build,
            stage: t.stage,
            phase: phase_name(t.phase).into(),
            age_ms: ms(now - t.since),
            ran_ms: ms(t.run_time),
        });
        let (version, earlier, generation) = (self.version, release.earlier, self.generation);
        let snapshot = Snapshot { version, settings, earlier, newest, generation };
        serde_json::to_vec_pretty(&snapshot).ok()
    }

    fn settled(&self, now: Ns) -> bool {
        now - self.started >= SETTLE_TIME
    }

    /// Recomputes what should run; each change increments the order's generation.
    fn update_order(&mut self) {
        let (Some(release), Some(settings)) = (&self.release, &self.settings) else { return };
        let wanted = release.wanted(settings, &self.roster.running());
        if wanted != self.wanted {
            (self.wanted, self.dirty) = (wanted, true);
            self.generation += 1;
        }
    }

    fn stage_json(&self, now: Ns) -> Value {
        let (Some(release), Some(settings)) = (&self.release, &self.settings) else { return Value::Null };
        let (build, stage, phase, cap, since) = release.announcement(settings);
        json!({ "build": build, "stage": stage, "phase": phase_name(phase), "cap": cap, "age_ms": ms(now - since),
            "earlier": release.earlier })
    }

    fn member_json(&self, now: Ns, name: &str) -> Value {
        let (m, settings) = (&self.roster.machines[name], self.settings.as_ref());
        let place = settings.and_then(|c| c.places.get(m.place));
        let zone = place.and_then(|p| settings.map(|c| c.zone_index(&p.zone))).unwrap_or(0);
        json!({ "name": name, "addr": m.addr, "place": place.map(|p| &p.name), "zone": zone,
            "cell": place.map_or(0, |p| p.cell), "weight": place.map_or(1.0, |p| p.weight), "build": m.build,
            "run": m.run, "state": state_name(m.state), "age_ms": ms(now - m.started) })
    }

    fn roster_json(&self, now: Ns, since: Option<u64>) -> Value {
        let fits = |changed: u64, state: State| match since {
            Some(serial) => changed > serial,
            None => state != State::Gone,
        };
        let named = self.roster.machines.iter().filter(|(_, m)| fits(m.changed_serial, m.state));
        let members: Vec<Value> = named.map(|(name, _)| self.member_json(now, name)).collect();
        json!({ "roster": { "kind": if since.is_some() { "changes" } else { "whole" },
            "serial": self.roster.serial, "members": members } })
    }

    /// Handles a request; `conn` identifies the connection if it becomes a watcher.
    pub fn request(&mut self, now: Ns, conn: u64, method: &str, target: &str, body: &[u8]) -> Response {
        self.calls += 1;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query_value = |name: &str| {
            query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        if (method, parts.as_slice()) == ("PUT", &["settings"]) {
            return self.put_settings(body);
        }
        let json: Value = match serde_json::from_slice(body) {
            Ok(json) => json,
            Err(_) if body.is_empty() => Value::Null,
            Err(err) => return error(400, ".", err.to_string()),
        };
        if method == "GET" {
            return match parts.as_slice() {
                ["settings"] => match &self.settings {
                    Some(settings) => {
                        Response::Json(200, json!({ "version": self.version, "settings": settings }))
                    }
                    None => error(404, "settings", "none were given yet"),
                },
                ["status"] => Response::Json(200, self.status_json(now)),
                ["stage"] if self.settings.is_some() => Response::Json(200, self.stage_json(now)),
                ["roster"] if self.settings.is_some() => Response::Json(200, self.roster_json(now, None)),
                ["wanted"] if self.settings.is_some() => Response::Json(200, self.wanted_json()),
                ["watch"] => {
                    self.watch(conn, query_value("front"), query_value("http"), query_value("notes"))
                }
                ["stage" | "roster" | "wanted"] => error(409, "settings", "none were given yet"),
                _ => error(404, "path", "no such thing here"),
            };
        }
        if method != "POST" {
            return error(405, "method", "GET, POST and PUT are known");
        }
        if self.settings.is_none() {
            return error(409, "settings", "none were given yet");
        }
        match parts.as_slice() {
            ["builds"] => self.offer_build(now, &json),
            ["builds", build, "back"] => self.roll_back(now, build),
            ["votes"] => self.vote(now, &json),
            ["counts"] => self.add_counts(&json),
            ["machines", name] => self.heartbeat(now, name, &json),
            ["agents", place] => self.agent_report(now, place, &json),
            _ => error(404, "path", "no such thing here"),
        }
    }

    fn put_settings(&mut self, body: &[u8]) -> Response {
        let settings = match Settings::parse(body) {
            Ok(settings) => settings,
            Err(errors) => {
                tracing::info!(event = "settings refused", field = errors[0].field, why = errors[0].why);
                return Response::Json(422, json!({ "errors": errors }));
            }
        };
        match &mut self.release {
            None => self.release = Some(Release::new(&settings)),
            Some(release) => {
                // Machines refer to places by index, so existing places must keep theirs.
                let old = self.settings.as_ref().map_or(&[][..], |c| &c.places);
                let same = old.iter().zip(&settings.places).all(|(a, b)| a.name == b.name);
                if !same || old.len() > settings.places.len() {
                    return error(409, "places", "places may be added at the end, not moved or taken away");
                }
                if let Err(why) = release.apply_settings(&settings) {
                    return error(409, "rollout.stages", why);
                }
            }
        }
        // Otherwise names of fronts that were removed from the settings would accumulate.
        let named: BTreeSet<&String> = settings.fronts.iter().map(|f| &f.name).collect();
        self.fronts.retain(|name, _| named.contains(name));
        self.fronts_serial += 1;
        self.settings = Some(settings);
        self.version += 1;
        self.dirty = true;
        tracing::info!(event = "settings", version = self.version);
        Response::Json(200, json!({ "version": self.version }))
    }

    fn offer_build(&mut self, now: Ns, json: &Value) -> Response {
        let build = field!(json, "build", as_u32);
        let Some(release) = &mut self.release else { return error(409, "settings", "none were given yet") };
        match release.offer(now, build) {
            Ok(withdrawn) => {
                withdrawn.iter().for_each(log_transition);
                tracing::info!(event = "offer", build);
                (self.dirty, self.stage_changed) = (true, true);
                Response::Json(201, self.stage_json(now))
            }
            Err(why) => error(409, "build", why),
        }
    }

    fn roll_back(&mut self, now: Ns, build: &str) -> Response {
        let Ok(build) = build.parse() else { return error(400, "build", "not a number") };
        match self.release.as_mut().map(|r| r.roll_back(now, build, "an operator's word")) {
            Some(Ok(transition)) => {
                log_transition(&transition);
                (self.dirty, self.stage_changed) = (true, true);
                Response::Json(200, self.stage_json(now))
            }
            _ => error(409, "build", "not a build that can be sent back"),
        }
    }

    fn vote(&mut self, now: Ns, json: &Value) -> Response {
        let front = field!(json, "front", Value::as_str);
        let (build, stage) = (field!(json, "build", as_build), field!(json, "stage", as_u32));
        let Some(verdict) = parse_verdict(field!(json, "verdict", Value::as_str)) else {
            return error(400, "verdict", "on, hold, back or none");
        };
        let (Some(release), Some(settings)) = (&mut self.release, &self.settings) else {
            return error(409, "settings", "none were given yet");
        };
        if !settings.fronts.iter().any(|f| f.name == front) {
            return error(403, "front", "not among the fronts");
        }
        let rate = settings.rollout.votes_a_second;
        let refill = (now - self.vote_tokens.1) as f64 / SEC as f64 * rate;
        self.vote_tokens = ((self.vote_tokens.0 + refill).min(2.0 * rate), now);
        if self.vote_tokens.0 < 1.0 {
            self.votes[2] += 1;
            return error(429, "votes", "too many a second");
        }
        self.vote_tokens.0 -= 1.0;
        match release.vote(now, settings.rollout.control(), front, build, stage, verdict) {
            Ok(()) => {
                self.votes[0] += 1;
                tracing::info!(event = "vote", front, build, stage, verdict = verdict_name(verdict));
                Response::Json(200, json!({ "counted": true, "stage": self.stage_json(now) }))
            }
            Err(rejection) => {
                self.votes[1] += 1;
                let field = match rejection {
                    VoteRejection::Build => "build",
                    VoteRejection::Stage => "stage",
                    VoteRejection::Verdict => "verdict",
                };
                let errors = [FieldError { field: field.into(), why: "moot: not the present one".into() }];
                Response::Json(
                    409,
                    json!({ "counted": false, "errors": errors, "stage": self.stage_json(now) }),
                )
            }
        }
    }

    fn add_counts(&mut self, json: &Value) -> Response {
        let Some(rows) = json.get("rows").and_then(Value::as_array).filter(|r| r.len() <= MAX_COUNT_ROWS)
        else {
            return error(400, "rows", "a list of at most 512 is wanted");
        };
        let methods = self.settings.as_ref().map_or(0, |c| c.methods.len());
        let mut read = Vec::new();
        for (i, row) in rows.iter().enumerate() {
            let at = |j: usize| row.get(j).and_then(Value::as_u64).filter(|n| *n < 1 << 32);
            match (at(0), at(1), at(2), at(3)) {
                (Some(b), Some(m), Some(picks), Some(failed))
                    if (m as usize) < methods && failed <= picks =>
                {
                    read.push(((b as u32, m as usize), picks, failed));
                }
                _ => return error(400, &format!("rows[{i}]"), "build, method, picks and not ok are wanted"),
            }
        }
        let mut tenants = Vec::new();
        let none = Vec::new();
        for (i, row) in json.get("tenants").and_then(Value::as_array).unwrap_or(&none).iter().enumerate() {
            let n = |j: usize| row.get(j).and_then(Value::as_u64).filter(|n| *n < 1 << 32);
            let name = row.get(0).and_then(Value::as_str).filter(|n| n.len() <= 36 && i < MAX_TENANTS);
            let (Some(name), Some(asked), Some(served), Some(refused)) = (name, n(1), n(2), n(3)) else {
                return error(
                    400,
                    &format!("tenants[{i}]"),
                    "entryUUID, asked, served and refused are wanted",
                );
            };
            tenants.push((name, [asked, served, refused]));
        }
        for (at, picks, failed) in read {
            if self.counts.len() < MAX_COUNT_ROWS || self.counts.contains_key(&at) {
                let count = self.counts.entry(at).or_default();
                *count = [count[0] + picks, count[1] + failed];
            }
        }
        for (name, row) in tenants {
            if self.tenants.len() < MAX_TENANTS || self.tenants.contains_key(name) {
                let totals = self.tenants.entry(name.to_string()).or_default();
                (0..3).for_each(|i| totals[i] += row[i]);
            }
        }
        Response::Json(200, json!({}))
    }

    fn heartbeat(&mut self, now: Ns, name: &str, json: &Value) -> Response {
        if !is_valid_name(name) {
            return error(400, "name", "1 to 64 letters, digits, '-', '_' or '.'");
        }
        let addr = field!(json, "addr", Value::as_str);
        if addr.parse::<std::net::SocketAddr>().is_err() {
            return error(400, "addr", "an address and a port are wanted");
        }
        let heartbeat = Heartbeat {
            name,
            addr,
            place: field!(json, "place", Value::as_str),
            build: field!(json, "build", as_build),
            run: field!(json, "run", Value::as_u64),
            age: (field!(json, "age_ms", Value::as_f64).clamp(0.0, 1e12) * MS as f64) as Ns,
            leaving: json.get("leaving").and_then(Value::as_bool).unwrap_or(false),
            open_rpcs: json.get("held").and_then(Value::as_u64).unwrap_or(0).min(1 << 20) as u32,
        };
        if json.get("left").and_then(Value::as_bool).unwrap_or(false) {
            self.roster.mark_gone(name, heartbeat.run);
            tracing::info!(event = "machine left", machine = name);
            return Response::Json(200, json!({ "order": "stop" }));
        }
        let known = self.roster.machines.get(name).map(|m| (m.run, m.state));
        let Some(settings) = &self.settings else { return error(409, "settings", "none were given yet") };
        let run = heartbeat.run;
        // Before the first order after a start no machine is told to drain or stop.
        let all = Running::from([(
            settings.places.iter().position(|p| p.name == heartbeat.place).unwrap_or(0),
            heartbeat.build,
        )]);
        let wanted = if self.wanted.is_empty() { &all } else { &self.wanted };
        match self.roster.heartbeat(now, settings, wanted, heartbeat) {
            Err(why) => error(409, "place", why),
            Ok(order) => {
                let state = self.roster.machines[name].state;
                if known != Some((run, state)) {
                    tracing::info!(event = "machine", machine = name, state = state_name(state));
                }
                let name = match order {
                    Order::Serve => "serve",
                    Order::Drain => "drain",
                    Order::Stop => "stop",
                };
                Response::Json(200, json!({ "order": name }))
            }
        }
    }

    /// Handles an agent's report and answers with the order for its place. The agent is the authority on what runs, the
    /// order on what should run. The report includes the heartbeats of machines that serve or drain.
    fn agent_report(&mut self, now: Ns, place: &str, json: &Value) -> Response {
        let Some(settings) = &self.settings else { return error(409, "settings", "none were given yet") };
        let Some(index) = settings.places.iter().position(|p| p.name == place) else {
            return error(404, "place", "no such place");
        };
        let generation = field!(json, "generation", Value::as_u64);
        let Some(builds) = json.get("builds").and_then(Value::as_array).filter(|b| b.len() <= MAX_BUILDS)
        else {
            return error(400, "builds", "a list of at most 16 is wanted");
        };
        let mut orders = serde_json::Map::new();
        // The whole report is parsed before any of it is applied, so that a rejected one changes nothing.
        let mut parsed = Vec::new();
        for (i, b) in builds.iter().enumerate() {
            let Some(build) = as_build(&b["build"]) else {
                return error(400, &format!("builds[{i}].build"), "a number below 65536 is wanted");
            };
            let text = |name: &str, max: usize| b[name].as_str().unwrap_or("").chars().take(max).collect();
            parsed.push((build, text("state", 16), text("why", 200)));
        }
        for (b, (build, _, why)) in builds.iter().zip(&parsed) {
            let build = *build;
            let newest = self.release.as_ref().and_then(|r| r.newest.as_ref()).map(|t| t.build);
            if let Some(release) = self.release.as_mut().filter(|_| newest == Some(build)) {
                let unfit = b["unfit"] == true;
                if unfit && release.unfit.insert(index) {
                    tracing::warn!(event = "unfit", place, build, why);
                } else if !unfit {
                    release.unfit.remove(&index);
                }
            }
            if b["addr"].is_string() {
                let mut heartbeat = b.clone();
                heartbeat["place"] = place.into();
                heartbeat["leaving"] = false.into();
                match self.heartbeat(now, b["name"].as_str().unwrap_or(""), &heartbeat) {
                    Response::Json(200, response) => {
                        orders.insert(build.to_string(), response["order"].clone());
                    }
                    refused => return refused,
                }
            }
        }
        let agent = self.agents.entry(place.into()).or_default();
        (agent.last_heard, agent.builds) = (now, parsed);
        agent.generation = generation;
        if !self.settled(now) || self.wanted.is_empty() {
            // A controller that has just started doesn't know yet what runs, so it gives no order.
            return Response::Json(200, json!({ "orders": orders }));
        }
        let builds: Vec<u32> = self.wanted.iter().filter(|(p, _)| *p == index).map(|(_, b)| *b).collect();
        let newest = self.release.as_ref().and_then(|r| r.newest.as_ref()).map(|t| t.build);
        let earlier = self.release.as_ref().map(|r| r.earlier);
        let keep: Vec<u32> = earlier.into_iter().chain(newest).collect();
        Response::Json(
            200,
            json!({ "generation": self.generation, "builds": builds, "keep": keep, "orders": orders }),
        )
    }

    fn watch(&mut self, conn: u64, front: Option<&str>, http: Option<&str>, notes: Option<&str>) -> Response {
        if self.watchers.len() >= MAX_WATCHERS {
            return error(503, "watch", "too many watchers");
        }
        let front = front.unwrap_or("").to_string();
        let known = self.settings.as_ref().is_some_and(|c| c.fronts.iter().any(|f| f.name == front));
        if !front.is_empty() && known {
            let at = FrontAddresses { http: http.unwrap_or("").into(), notes: notes.unwrap_or("").into() };
            let fits = |a: &str| a.is_empty() || a.parse::<std::net::SocketAddr>().is_ok();
            if !fits(&at.http) || !fits(&at.notes) {
                return error(400, "notes", "an address and a port are wanted");
            }
            self.fronts.insert(front.clone(), at);
            self.fronts_serial += 1;
            tracing::info!(event = "watch opened", front);
        }
        // Version 0 makes the next tick send the settings' version: they may have changed while the front was away.
        let watcher = Watcher { front, serial: None, stage_known: false, fronts: 0, settings: 0 };
        self.watchers.insert(conn, watcher);
        Response::Watch
    }

    pub fn unwatch(&mut self, conn: u64) {
        self.watchers.remove(&conn);
    }

    fn wanted_json(&self) -> Value {
        let (wanted, present) = (&self.wanted, self.roster.present());
        let places = self.settings.as_ref().map_or(&[][..], |c| &c.places);
        let line = |(p, b): &(usize, u32)| json!({ "place": places.get(*p).map(|p| &p.name), "build": b, "present": present.contains(&(*p, *b)) });
        json!({ "wanted": wanted.iter().map(line).collect::<Vec<_>>() })
    }

    fn status_json(&self, now: Ns) -> Value {
        let names = self.roster.machines.keys();
        let machines: Vec<Value> = names.map(|name| self.member_json(now, name)).collect();
        let votes: Vec<Value> = (self.release.iter().flat_map(Release::votes))
            .map(|(front, v)| json!({ "front": front, "verdict": verdict_name(v) }))
            .collect();
        let watching: Vec<&String> =
            self.watchers.values().map(|w| &w.front).filter(|f| !f.is_empty()).collect();
        let agent = |(place, a): (&String, &AgentReport)| {
            let builds: Vec<Value> = a
                .builds
                .iter()
                .map(|(b, state, why)| json!({ "build": b, "state": state, "why": why }))
                .collect();
            json!({ "place": place, "heard_ms_ago": ms(now - a.last_heard), "generation": a.generation, "builds": builds })
        };
        let agents: Vec<Value> = self.agents.iter().map(agent).collect();
        json!({ "settings_version": self.version, "stage": self.stage_json(now), "machines": machines,
            "agents": agents, "generation": self.generation, "votes": votes,
            "fronts": self.fronts, "watching": watching, "calls": self.calls,
            "votes_taken": self.votes[0], "votes_moot": self.votes[1], "votes_over_rate": self.votes[2] })
    }

    /// Addresses of the fronts that have opened a watch, in the order of the settings.
    fn fronts_line(&self, settings: &Settings) -> String {
        let watched = settings.fronts.iter().zip(0..).filter_map(|(f, rank)| {
            let at = self.fronts.get(&f.name)?;
            Some(json!({ "name": f.name, "rank": rank, "http": at.http, "notes": at.notes }))
        });
        json!({ "fronts": watched.collect::<Vec<Value>>() }).to_string()
    }

    /// Advances to `now`; returns the lines to send to watchers, by connection.
    pub fn tick(&mut self, now: Ns) -> Vec<(u64, String)> {
        if self.settled(now) {
            self.update_order();
            for (name, state) in self.roster.sweep(now, &self.wanted) {
                tracing::info!(event = "machine", machine = name, state = state_name(state));
            }
            let running = self.roster.running();
            if let (Some(release), Some(settings)) = (&mut self.release, &self.settings) {
                release.cold = self.roster.cold_machines(now, settings.guard.cold_time_ms as Ns * MS);
                if let Some(transition) = release.tick(now, settings, &running) {
                    log_transition(&transition);
                    (self.dirty, self.stage_changed) = (true, true);
                }
            }
        }
        let Some(settings) = &self.settings else { return Vec::new() };
        let r = &settings.rollout;
        let stage_interval = r.told_every_ms as Ns * MS;
        let send_stage = std::mem::take(&mut self.stage_changed) || now - self.stage_sent >= stage_interval;
        if send_stage {
            self.stage_sent = now;
        }
        let mut tally = None;
        let mut totals = None;
        if r.tally_every_ms > 0 && now - self.last_tally >= r.tally_every_ms as Ns * MS {
            let span = ms(now - self.last_tally);
            self.last_tally = now;
            let rows: Vec<Value> =
                self.tenants.iter().map(|(name, [a, s, r])| json!([name, a, s, r])).collect();
            totals = (!rows.is_empty())
                .then(|| json!({ "tenants": { "span_ms": span, "rows": rows } }).to_string());
            self.tenants.clear();
            let row = |((b, m), [picks, failed]): (&(u32, usize), &[u64; 2])| json!([b, m, picks, failed]);
            let rows: Vec<Value> = self.counts.iter().map(row).collect();
            tally = (!rows.is_empty()).then(|| json!({ "tally": rows }).to_string());
            self.counts.clear();
        }
        let settled = self.settled(now);
        // Each text is built at most once a tick, and only if a watcher needs it.
        let [mut stage, mut fronts, mut whole] = [const { None::<String> }; 3];
        let mut watchers = std::mem::take(&mut self.watchers);
        let mut lines = Vec::new();
        let mut changes: BTreeMap<u64, String> = BTreeMap::new();
        for (conn, w) in &mut watchers {
            // The stage is sent before the roster: a front takes a listed build of unknown stage to be in its first.
            if send_stage || !w.stage_known {
                let line = stage.get_or_insert_with(|| json!({ "stage": self.stage_json(now) }).to_string());
                lines.push((*conn, line.clone()));
                w.stage_known = true;
            }
            if w.settings != self.version {
                lines.push((*conn, json!({ "settings_version": self.version }).to_string()));
                w.settings = self.version;
            }
            if w.fronts != self.fronts_serial {
                lines.push((*conn, fronts.get_or_insert_with(|| self.fronts_line(settings)).clone()));
                w.fronts = self.fronts_serial;
            }
            match w.serial {
                None if settled => {
                    let line = whole.get_or_insert_with(|| self.roster_json(now, None).to_string());
                    lines.push((*conn, line.clone()));
                }
                Some(since) if since != self.roster.serial => {
                    let line = changes
                        .entry(since)
                        .or_insert_with(|| self.roster_json(now, Some(since)).to_string());
                    lines.push((*conn, line.clone()));
                }
                _ => {}
            }
            if settled {
                w.serial = Some(self.roster.serial);
            }
            lines.extend(tally.iter().chain(&totals).map(|t| (*conn, t.clone())));
        }
        self.watchers = watchers;
        lines
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(api: &mut Api, now: Ns, method: &str, path: &str, body: Value) -> (u16, Value) {
        let text = if body.is_null() { String::new() } else { body.to_string() };
        match api.request(now, 9, method, path, text.as_bytes()) {
            Response::Json(status, value) => (status, value),
            Response::Watch => (0, Value::Null),
        }
    }

    fn with_settings() -> Api {
        let mut api = Api::restore(0, None).unwrap();
        let settings = serde_json::to_value(Settings::example(2, 4)).unwrap();
        assert_eq!(call(&mut api, 0, "PUT", "/settings", settings).0, 200);
        api
    }

    #[test]
    fn refused_settings_change_nothing_and_the_error_names_the_field() {
        let mut api = with_settings();
        let mut settings = serde_json::to_value(Settings::example(2, 4)).unwrap();
        settings["guard"]["cold_from"] = json!(7);
        let (status, response) = call(&mut api, 0, "PUT", "/settings", settings.clone());
        assert_eq!((status, response["errors"][0]["field"].as_str()), (422, Some("guard.cold_from")));
        settings["guard"]["cold_from"] = json!(0.5);
        settings["places"].as_array_mut().unwrap().pop();
        assert_eq!(call(&mut api, 0, "PUT", "/settings", settings).0, 409);
        assert_eq!((api.version, api.settings.clone().unwrap()), (1, Settings::example(2, 4)));
    }

    #[test]
    fn bad_calls_get_a_4xx_each() {
        let mut api = with_settings();
        for (method, path, body, wanted) in [
            ("POST", "/votes", json!({}), 400),
            ("POST", "/votes", json!({"front":"f9","build":1,"stage":0,"verdict":"on"}), 403),
            ("POST", "/votes", json!({"front":"f0","build":1,"stage":0,"verdict":"maybe"}), 400),
            ("POST", "/votes", json!({"front":"f0","build":1,"stage":0,"verdict":"on"}), 409),
            ("POST", "/votes", json!({"front":"f0","build":4294967297u64,"stage":0,"verdict":"none"}), 400),
            ("POST", "/votes", json!({"front":"f0","build":1,"stage":4294967296u64,"verdict":"none"}), 400),
            ("POST", "/builds", json!({"build":1}), 409),
            ("POST", "/builds", json!({"build":4294967298u64}), 400),
            ("POST", "/builds", json!({"build":"x"}), 400),
            ("POST", "/builds/x/back", json!(null), 400),
            ("POST", "/counts", json!({"rows":[[1,99,1,0]]}), 400),
            ("POST", "/counts", json!({"rows":[],"tenants":[["unknown",1,1]]}), 400),
            ("POST", "/counts", json!({"rows":[],"tenants":[["unknown",1,1,0]],"later":1}), 200),
            ("POST", "/machines/a b", json!({}), 400),
            ("POST", "/machines/a", json!({"addr":"nowhere"}), 400),
            (
                "POST",
                "/machines/a",
                json!({"addr":"127.0.0.1:1","place":"p0","build":70000,"run":1,"age_ms":1}),
                400,
            ),
            ("DELETE", "/stage", json!(null), 405),
            ("GET", "/nothing", json!(null), 404),
        ] {
            assert_eq!(call(&mut api, 0, method, path, body.clone()).0, wanted, "{method} {path} {body}");
        }
        assert!(matches!(api.request(0, 9, "POST", "/votes", b"{"), Response::Json(400, _)));
    }

    #[test]
    fn after_a_restart_the_stage_is_sent_at_once_and_the_roster_only_after_the_settle_time() {
        let mut api = with_settings();
        assert_eq!(call(&mut api, 0, "POST", "/builds", json!({"build":2})).0, 201);
        let snapshot = api.snapshot(SEC).unwrap();
        let mut api = Api::restore(10 * SEC, Some(&snapshot)).unwrap();
        assert_eq!(call(&mut api, 10 * SEC, "GET", "/watch?front=f0&notes=127.0.0.1:9", json!(null)).0, 0);
        let kinds = |lines: Vec<(u64, String)>| -> Vec<String> {
            lines.iter().map(|(_, l)| l[2..].split('"').next().unwrap().to_string()).collect()
        };
        assert_eq!(kinds(api.tick(10 * SEC)), ["stage", "settings_version", "fronts"]);
        let heartbeat = json!({"addr":"127.0.0.1:1","place":"p0","build":1,"run":5,"age_ms":60000.0});
        assert_eq!(call(&mut api, 11 * SEC, "POST", "/machines/m", heartbeat).1["order"], "serve");
        assert_eq!(kinds(api.tick(11 * SEC)), Vec::<String>::new());
        assert_eq!(kinds(api.tick(12 * SEC)), ["stage", "roster"]);
        assert!(Api::restore(0, Some(&snapshot[..snapshot.len() / 2])).is_err());
    }

    /// Compatibility rule: unknown fields of later versions are ignored in calls and snapshots, rejected in settings.
    #[test]
    fn unknown_fields_are_ignored_in_calls_and_snapshots_and_refused_in_settings() {
        let mut api = with_settings();
        call(&mut api, 0, "POST", "/builds", json!({"build":2,"later":1}));
        let vote = json!({"front":"f0","build":2,"stage":0,"verdict":"on","later":1});
        assert_eq!(call(&mut api, 0, "POST", "/votes", vote).0, 200);
        let mut settings = serde_json::to_value(Settings::example(2, 4)).unwrap();
        settings["guard"]["later"] = json!(1);
        let (status, response) = call(&mut api, 0, "PUT", "/settings", settings);
        assert_eq!((status, response["errors"][0]["field"].as_str()), (422, Some("guard.later")));
        let mut snapshot: Value = serde_json::from_slice(&api.snapshot(0).unwrap()).unwrap();
        snapshot["later"] = json!(1);
        assert_eq!(Api::restore(0, Some(snapshot.to_string().as_bytes())).unwrap().version, 1);
        // Finding 42: numbers of the snapshot that are out of range are rejected.
        for (field, invalid) in [("build", json!(70_000)), ("stage", json!(99)), ("age_ms", json!(-1e300))] {
            let mut snapshot = snapshot.clone();
            snapshot["newest"][field] = invalid;
            assert!(
                Api::restore(0, Some(snapshot.to_string().as_bytes())).is_err_and(|why| why.contains(field))
            );
        }
        snapshot["charter"]["later"] = json!(1);
        assert!(
            Api::restore(0, Some(snapshot.to_string().as_bytes())).is_err_and(|why| why.contains("later"))
        );
    }

    /// Finding 23: the valid part of a rejected report had already marked a place as unfit.
    #[test]
    fn a_refused_report_of_an_agent_changes_nothing() {
        let mut api = with_settings();
        call(&mut api, 0, "POST", "/builds", json!({"build":2}));
        let report = json!({"generation":0,"builds":[{"build":2,"unfit":true},{"build":"x"}]});
        assert_eq!(call(&mut api, 0, "POST", "/agents/p0", report).0, 400);
        assert!(api.release.unwrap().unfit.is_empty());
    }

    /// Finding 22: names of fronts stayed after the settings had dropped them.
    #[test]
    fn names_of_fronts_that_the_settings_no_longer_contain_are_removed() {
        let mut api = with_settings();
        for i in 0..100 {
            let mut settings = Settings::example(2, 4);
            settings.fronts[0].name = format!("g{i}");
            assert_eq!(call(&mut api, 0, "PUT", "/settings", serde_json::to_value(settings).unwrap()).0, 200);
            call(&mut api, 0, "GET", &format!("/watch?front=g{i}"), json!(null));
        }
        assert_eq!(api.fronts.len(), 1);
    }

    #[test]
    fn votes_over_the_rate_do_not_count() {
        let mut api = with_settings();
        call(&mut api, 0, "POST", "/builds", json!({"build":2}));
        let vote = json!({"front":"f0","build":2,"stage":0,"verdict":"on"});
        let statuses: Vec<u16> =
            (0..200).map(|_| call(&mut api, SEC, "POST", "/votes", vote.clone()).0).collect();
        assert_eq!(
            statuses.iter().filter(|s| **s == 200).count(),
            160,
            "a burst of twice the rate is allowed"
        );
        assert_eq!(call(&mut api, 2 * SEC, "POST", "/votes", vote).0, 200);
    }
}
