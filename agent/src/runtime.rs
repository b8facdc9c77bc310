//! The agent's I/O: heartbeats to the controller, fetches, processes. Decisions are made in [`crate::lifecycle`].
use crate::fetch::{self, Fetch, Next};
use crate::lifecycle::{state_name, Action, Lifecycle, Ns, State};
use crate::process::{boot_time, Process, ProcessRecord};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_net::{http, Call, CallEnd, Event, Id, Net, MS, SEC};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{SystemTime, UNIX_EPOCH};

/// Interval of heartbeats to the controller, a sixth of the silence after which it counts machines as gone. Up to a
/// fifth of it is subtracted at random, so that the agents of a fleet don't send theirs at the same time.
const HEARTBEAT_INTERVAL: Ns = 500 * MS;
/// Interval at which processes are checked.
const TICK_INTERVAL: Ns = 50 * MS;
/// Timeout of calls to the controller.
const CALL_TIMEOUT: Ns = 2 * SEC;
/// Timeout of readiness checks and status queries.
const PROBE_TIMEOUT: Ns = 500 * MS;

pub struct Agent {
    pub place: String,
    pub controller: SocketAddr,
    pub state: PathBuf,
    /// The root to trust if the state folder has none yet.
    pub root: Option<PathBuf>,
    /// Most bytes per second of a fetch.
    pub rate: f64,
    pub seed: u64,
    /// Whether processes are killed when the agent ends (for tests); otherwise they outlive it.
    pub take_down: bool,
}

enum Purpose {
    Heartbeat,
    Fetch,
    Ready(u32),
    OpenRpcs(u32),
}

/// The result of work on another thread.
enum WorkResult {
    Fetched(u32, Result<(), String>),
    Verified(u32, Result<PathBuf, String>),
}

struct Runtime {
    agent: Agent,
    net: Net,
    lifecycle: Lifecycle,
    procs: BTreeMap<u32, Process>,
    open_rpcs: BTreeMap<u32, u64>,
    fetch: Option<Fetch>,
    /// Builds whose fetch waits for the current one.
    queue: BTreeSet<u32>,
    fetch_at: Ns,
    /// Calls under way: purpose and deadline.
    calls: BTreeMap<Id, (Purpose, Ns)>,
    /// Builds with a readiness check under way.
    probing: BTreeSet<u32>,
    /// Events of calls that ended at once.
    immediate_events: Vec<Event>,
    rng: StdRng,
    next_heartbeat: Ns,
    heartbeat_pending: bool,
    results_tx: Sender<WorkResult>,
    results_rx: Receiver<WorkResult>,
    run: u64,
    logged_states: BTreeMap<u32, State>,
    last_answer: Option<Ns>,
}

/// Token of the timer that wakes the loop for its first tick.
const START_TIMER: u64 = 1;

/// An order's generation, the builds wanted, and those to keep.
type Order = (u64, BTreeSet<u32>, BTreeSet<u32>);

/// Parses an order; `None` if the response contains none. One malformed build makes the whole order invalid: without
/// it, the build that was meant would be drained.
fn parse_order(response: &Value) -> Result<Option<Order>, &'static str> {
    let Some(generation) = response.get("generation") else { return Ok(None) };
    let list = |name: &'static str| -> Result<BTreeSet<u32>, &'static str> {
        let builds = response[name].as_array().ok_or(name)?;
        builds.iter().map(|b| b.as_u64().and_then(|b| b.try_into().ok()).ok_or(name)).collect()
    };
    Ok(Some((generation.as_u64().ok_or("generation")?, list("builds")?, list("keep")?)))
}

/// Runs `work` on a thread and sends its result, also if it panics: a build whose result never came would wait for
/// ever.
fn spawn_work<T: 'static>(
    results_tx: Sender<WorkResult>, wrap: impl FnOnce(Result<T, String>) -> WorkResult + Send + 'static,
    work: impl FnOnce() -> Result<T, String> + Send + 'static,
) {
    std::thread::spawn(move || {
        let end = std::panic::catch_unwind(std::panic::AssertUnwindSafe(work));
        // Fails only if the agent has ended.
        let _ = results_tx.send(wrap(end.unwrap_or_else(|_| Err("the worker thread panicked".into()))));
    });
}

impl Agent {
    /// Runs until a signal ends it; builds keep running without it.
    ///
    /// # Errors
    /// The state folder can't be used, or there is no root to trust.
    pub fn run(self, ready: impl FnOnce()) -> Result<(), String> {
        use std::os::unix::fs::DirBuilderExt;
        let to_text = |err: std::io::Error| err.to_string();
        let trust = self.state.join("trust");
        fs::DirBuilder::new().recursive(true).mode(0o700).create(&trust).map_err(to_text)?;
        if let Some(root) = &self.root {
            let at = trust.join("root.json");
            if !at.exists() {
                let bytes = fs::read(root).map_err(|err| format!("{}: {err}", root.display()))?;
                rockpick_control::atomic_file::replace(&at, &bytes).map_err(to_text)?;
            }
        }
        fetch::load_trusted(&trust)?;
        let mut net = Net::new(1).map_err(to_text)?;
        for signal in [15, 2] {
            net.on_signal(signal).map_err(to_text)?;
        }
        let (results_tx, results_rx) = channel();
        let seed = self.seed;
        let mut runtime = Runtime {
            net,
            lifecycle: Lifecycle::new(seed),
            procs: BTreeMap::new(),
            open_rpcs: BTreeMap::new(),
            fetch: None,
            queue: BTreeSet::new(),
            fetch_at: 0,
            calls: BTreeMap::new(),
            probing: BTreeSet::new(),
            immediate_events: Vec::new(),
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            next_heartbeat: 0,
            heartbeat_pending: false,
            results_tx,
            results_rx,
            run: boot_time() as u64 >> 10 & 0xffff_ffff_ffff,
            logged_states: BTreeMap::new(),
            last_answer: None,
            agent: self,
        };
        runtime.restore()?;
        ready();
        runtime.run()
    }
}

impl Runtime {
    fn runs(&self) -> PathBuf {
        self.agent.state.join("runs")
    }

    /// Restores the last order, the artefacts, and the processes that still run.
    fn restore(&mut self) -> Result<(), String> {
        let file = self.agent.state.join("order.json");
        if let Some(text) = rockpick_control::atomic_file::load(&file).map_err(|err| err.to_string())? {
            let order: Value =
                serde_json::from_slice(&text).map_err(|err| format!("{}: {err}", file.display()))?;
            parse_order(&order).map_err(|field| format!("{}: {field}", file.display()))?;
            self.apply_order(&order);
        }
        let folder = self.agent.state.join("artefacts");
        for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
            let name = entry.file_name();
            let build = name.to_str().and_then(|n| n.strip_prefix("build-")).and_then(|n| n.parse().ok());
            self.lifecycle.artefacts.extend(
                build.into_iter().filter(|b: &u32| fetch::artefact_paths(&self.agent.state, *b).1.exists()),
            );
        }
        for build in Process::recorded_builds(&self.runs()) {
            match Process::find(&self.runs(), build)? {
                Some(proc) => {
                    // A process that has served counts as serving; if no longer ordered, it will be drained.
                    let state = if proc.record.served { State::Serving } else { State::Starting };
                    tracing::info!(event = "found", build, state = state_name(state));
                    self.lifecycle.adopt(self.net.now(), build, state);
                    self.procs.insert(build, proc);
                }
                None => Process::remove_record(&self.runs(), build),
            }
        }
        Ok(())
    }

    fn apply_order(&mut self, response: &Value) -> bool {
        match parse_order(response) {
            Ok(Some((generation, builds, keep))) => {
                let fresh = generation > self.lifecycle.generation;
                self.lifecycle.apply_order(generation, builds, keep) && fresh
            }
            Ok(None) => false,
            Err(field) => {
                tracing::warn!(event = "invalid order", why = field);
                false
            }
        }
    }

    fn run(mut self) -> Result<(), String> {
        let mut events = Vec::new();
        self.net.wake_at(0, START_TIMER);
        loop {
            events.append(&mut self.immediate_events);
            self.net.turn(&mut events, TICK_INTERVAL).map_err(|err| err.to_string())?;
            for event in std::mem::take(&mut events) {
                match event {
                    Event::CallEnded { call, end } => self.call_ended(call, end),
                    Event::Signal { .. } => {
                        if self.agent.take_down {
                            self.procs.values().for_each(|p| p.signal(Signal::KILL));
                        }
                        tracing::info!(event = "agent down", builds = self.procs.len());
                        return Ok(());
                    }
                    _ => {}
                }
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        let now = self.net.now();
        while let Ok(result) = self.results_rx.try_recv() {
            match result {
                WorkResult::Fetched(build, end) => {
                    if let Err(why) = &end {
                        tracing::warn!(event = "refused", build, why);
                    }
                    self.lifecycle.fetched(now, build, end);
                }
                WorkResult::Verified(build, Ok(artefact)) => self.start(build, &artefact),
                WorkResult::Verified(build, Err(why)) => {
                    tracing::warn!(event = "spoilt", build, why);
                    self.lifecycle.artefact_damaged(now, build, why);
                }
            }
        }
        let builds: Vec<u32> = self.procs.keys().copied().collect();
        for build in builds {
            let Some(proc) = self.procs.get_mut(&build) else { continue };
            if let Some(how) = proc.exit_reason() {
                tracing::info!(event = "ended", build, how);
                // Kills processes of its group that are still running.
                proc.signal(Signal::KILL);
                Process::remove_record(&self.agent.state.join("runs"), build);
                self.procs.remove(&build);
                self.open_rpcs.remove(&build);
                self.lifecycle.exited(now, build, how);
                continue;
            }
            if proc.listen_address().is_some() {
                self.lifecycle.listens(now, build);
            }
            let warming = self.lifecycle.jobs.get(&build).is_some_and(|j| j.state == State::Warming);
            if warming && self.probing.insert(build) {
                self.query(build, Purpose::Ready(build), "/probe");
            }
        }
        let timed_out: Vec<Id> =
            self.calls.iter().filter(|(_, (_, deadline))| *deadline <= now).map(|(id, _)| *id).collect();
        for id in timed_out {
            self.net.cancel(id);
            self.call_ended(id, CallEnd::Unreachable);
        }
        for action in self.lifecycle.step(now) {
            self.execute(action);
        }
        self.continue_fetch();
        for (build, job) in &self.lifecycle.jobs {
            if self.logged_states.insert(*build, job.state) != Some(job.state) {
                tracing::info!(event = "build", build, state = state_name(job.state), why = job.why);
            }
        }
        self.logged_states.retain(|b, _| self.lifecycle.jobs.contains_key(b));
        if now >= self.next_heartbeat && !self.heartbeat_pending {
            self.send_heartbeat();
        }
    }

    /// Sends a request with a body or a range.
    fn call(
        &mut self, why: Purpose, to: SocketAddr, what: (&str, &str), range: &str, body: &str, within: Ns,
    ) {
        let lines = [("Content-Type", "application/json"), ("Range", range)];
        let lines = if range.is_empty() { &lines[..1] } else { &lines[..] };
        let request = http::encode_request(what.0, what.1, &to.to_string(), lines, body.as_bytes());
        let call = Call { to, request: &request, connect_within: within, stream: false, head_only: false };
        let id = self.net.call(&mut self.immediate_events, call);
        self.calls.insert(id, (why, self.net.now() + within));
    }

    fn query(&mut self, build: u32, what: Purpose, target: &str) {
        if let Some(at) = self.procs.get(&build).and_then(|p| p.address) {
            self.call(what, at, ("GET", target), "", "", PROBE_TIMEOUT);
        }
    }

    fn execute(&mut self, action: Action) {
        let dir = self.agent.state.clone();
        match action {
            Action::Fetch(build) => drop(self.queue.insert(build)),
            Action::CancelFetch(build) => {
                self.queue.remove(&build);
                if self.fetch.as_ref().is_some_and(|f| f.build == build) {
                    self.fetch = None;
                }
            }
            Action::Start(build) => {
                spawn_work(
                    self.results_tx.clone(),
                    move |end| WorkResult::Verified(build, end),
                    move || fetch::verify_installed(&dir, build),
                );
            }
            Action::Terminate(build) => match self.procs.get_mut(&build) {
                Some(proc) => {
                    proc.term_sent = true;
                    proc.signal(Signal::TERM);
                }
                // Its artefact was still being verified, so there is no process.
                None => self.lifecycle.exited(self.net.now(), build, "never started".into()),
            },
            Action::Kill(build) => match self.procs.get(&build) {
                Some(proc) => proc.signal(Signal::KILL),
                None => self.lifecycle.exited(self.net.now(), build, "never started".into()),
            },
            Action::Delete(build) => {
                let (at, record) = fetch::artefact_paths(&dir, build);
                // The record goes first: an artefact without one is never started.
                if let Err(err) = fs::remove_file(record).and_then(|()| fs::remove_file(at)) {
                    tracing::warn!(event = "artefact not deleted", build, why = %err);
                }
            }
        }
    }

    fn start(&mut self, build: u32, artefact: &std::path::Path) {
        let now = self.net.now();
        // A rollback may have come while the artefact was verified.
        if self.lifecycle.jobs.get(&build).is_none_or(|j| j.state != State::Starting)
            || self.procs.contains_key(&build)
        {
            return;
        }
        let name = format!("{}..{build}", self.agent.place);
        let record = ProcessRecord {
            build,
            name: name.clone(),
            run: boot_time() as u64 >> 10 & 0xffff_ffff_ffff,
            started: boot_time(),
            served: false,
        };
        let env = [
            ("ROCKPICK_NAME", name),
            ("ROCKPICK_PLACE", self.agent.place.clone()),
            ("ROCKPICK_BUILD", build.to_string()),
            ("ROCKPICK_CONTROLLER", self.agent.controller.to_string()),
            ("ROCKPICK_LISTEN", "127.0.0.1:0".into()),
        ];
        match Process::start(&self.runs(), record, artefact, &env) {
            Ok(proc) => drop(self.procs.insert(build, proc)),
            Err(err) => self.lifecycle.failed(now, build, err.to_string()),
        }
    }

    /// Continues the current fetch or starts the next, one at a time and within the rate.
    fn continue_fetch(&mut self) {
        let now = self.net.now();
        if self.calls.values().any(|(w, _)| matches!(w, Purpose::Fetch)) || now < self.fetch_at {
            return;
        }
        if self.fetch.is_none() {
            let Some(build) = self.queue.pop_first() else { return };
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs() as i64);
            match Fetch::new(build, &self.agent.state, wall) {
                Ok(fetch) => self.fetch = Some(fetch),
                Err(why) => return self.lifecycle.fetched(now, build, Err(why)),
            }
        }
        let Some(next) = self.fetch.as_ref().map(Fetch::next) else { return };
        let to = self.agent.controller;
        match next {
            Next::Metadata(name) => {
                self.call(
                    Purpose::Fetch,
                    to,
                    ("GET", &format!("/repo/metadata/{name}")),
                    "",
                    "",
                    CALL_TIMEOUT,
                );
            }
            Next::Range(path, from, last) => {
                let range = format!("bytes={from}-{last}");
                self.fetch_at = now + ((last - from + 1) as f64 / self.agent.rate * SEC as f64) as Ns;
                self.call(
                    Purpose::Fetch,
                    to,
                    ("GET", &format!("/repo/targets/{path}")),
                    &range,
                    "",
                    CALL_TIMEOUT,
                );
            }
            Next::Complete => {
                let Some(fetch) = self.fetch.take() else { return };
                let (build, dir) = (fetch.build, self.agent.state.clone());
                let Some((file, part)) = fetch.download() else { return };
                let work = move || fetch::install(&dir, build, &file, &part);
                spawn_work(self.results_tx.clone(), move |end| WorkResult::Fetched(build, end), work);
            }
        }
    }

    fn send_heartbeat(&mut self) {
        let now = self.net.now();
        self.heartbeat_pending = true;
        let mut builds = Vec::new();
        for (build, job) in &self.lifecycle.jobs {
            let proc = self.procs.get(build);
            let serves = matches!(job.state, State::Serving | State::Draining);
            builds.push(json!({ "build": build, "state": state_name(job.state), "why": job.why,
                "unfit": self.lifecycle.unfit(*build),
                "name": proc.map(|p| &p.record.name), "run": proc.map(|p| p.record.run),
                "addr": proc.and_then(|p| p.address).filter(|_| serves).map(|a| a.to_string()),
                "age_ms": proc.map_or(0.0, |p| (boot_time() - p.record.started) as f64 / MS as f64),
                "held": self.open_rpcs.get(build).copied().unwrap_or(0) }));
        }
        let body =
            json!({ "run": self.run, "generation": self.lifecycle.generation, "builds": builds }).to_string();
        let (to, target) = (self.agent.controller, format!("/agents/{}", self.agent.place));
        self.call(Purpose::Heartbeat, to, ("POST", &target), "", &body, CALL_TIMEOUT);
        // The open RPCs of draining builds are queried now, for the next heartbeat.
        let draining =
            self.lifecycle.jobs.iter().filter(|(_, j)| j.state == State::Draining).map(|(b, _)| *b);
        for build in draining.collect::<Vec<_>>() {
            self.query(build, Purpose::OpenRpcs(build), "/status");
        }
        self.next_heartbeat =
            now + HEARTBEAT_INTERVAL - (HEARTBEAT_INTERVAL as f64 * self.rng.random_range(0.0..0.2)) as Ns;
    }

    fn call_ended(&mut self, call: Id, end: CallEnd) {
        let Some((what, _)) = self.calls.remove(&call) else { return };
        let now = self.net.now();
        match (what, end) {
            (Purpose::Heartbeat, CallEnd::Answer(r)) if r.status == 200 => {
                self.heartbeat_pending = false;
                self.last_answer = Some(now);
                match serde_json::from_slice(&r.body) {
                    Ok(response) => self.handle_response(&response),
                    Err(err) => tracing::warn!(event = "invalid order", why = %err),
                }
            }
            (Purpose::Heartbeat, end) => {
                self.heartbeat_pending = false;
                // Without a controller nothing changes; the next heartbeat waits a little longer.
                self.next_heartbeat = now
                    + HEARTBEAT_INTERVAL
                    + (HEARTBEAT_INTERVAL as f64 * self.rng.random_range(0.0..2.0)) as Ns;
                if let CallEnd::Answer(r) = end {
                    tracing::warn!(event = "heartbeat refused", status = r.status);
                }
            }
            (Purpose::Ready(build), end) => {
                self.probing.remove(&build);
                if matches!(end, CallEnd::Answer(r) if r.status == 200) {
                    self.lifecycle.ready(now, build);
                    if let Some(proc) = self.procs.get_mut(&build) {
                        proc.record_served();
                    }
                    self.next_heartbeat = now;
                }
            }
            (Purpose::OpenRpcs(build), CallEnd::Answer(r)) => {
                let response: Value = serde_json::from_slice(&r.body).unwrap_or(Value::Null);
                let open = response["busy"].as_u64().unwrap_or(0) + response["queue"].as_u64().unwrap_or(0);
                self.open_rpcs.insert(build, open);
            }
            (Purpose::OpenRpcs(build), _) => drop(self.open_rpcs.insert(build, 1)),
            (Purpose::Fetch, end) => {
                let Some(fetch) = &mut self.fetch else { return };
                let build = fetch.build;
                let result = match end {
                    CallEnd::Answer(r) => fetch.receive(r.status, &r.body),
                    _ => Err("the repository can't be reached".into()),
                };
                if let Err(why) = result {
                    tracing::warn!(event = "fetch failed", build, why);
                    self.fetch = None;
                    self.lifecycle.fetched(now, build, Err(why));
                }
            }
        }
    }

    fn handle_response(&mut self, response: &Value) {
        if self.apply_order(response) {
            let order = json!({ "generation": self.lifecycle.generation, "builds": self.lifecycle.wanted, "keep": self.lifecycle.keep });
            tracing::info!(event = "order", generation = self.lifecycle.generation, builds = ?self.lifecycle.wanted);
            let file = self.agent.state.join("order.json");
            if let Err(err) = rockpick_control::atomic_file::replace(&file, order.to_string().as_bytes()) {
                tracing::error!(event = "order not saved", why = %err);
            }
        }
        for (build, order) in response["orders"].as_object().into_iter().flatten() {
            if let (Ok(build), Some("stop")) = (build.parse::<u32>(), order.as_str()) {
                for action in self.lifecycle.drained(self.net.now(), build) {
                    self.execute(action);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Finding 40: a malformed build in an order was skipped, so a build that runs would have been drained.
    #[test]
    fn an_order_with_a_malformed_build_is_invalid() {
        let order = json!({"generation":5,"builds":[1,2],"keep":[1],"later":1});
        assert_eq!(parse_order(&order), Ok(Some((5, BTreeSet::from([1, 2]), BTreeSet::from([1])))));
        assert_eq!(parse_order(&json!({"orders":{}})), Ok(None));
        for (field, bad) in
            [("builds", json!([1, "x"])), ("builds", json!([1u64 << 40])), ("keep", json!(null))]
        {
            let mut order = order.clone();
            order[field] = bad;
            assert_eq!(parse_order(&order), Err(field));
        }
    }

    /// Finding 34: a panic on a worker thread left its build waiting for ever.
    #[test]
    fn work_that_panics_reports_an_error() {
        let (results_tx, results_rx) = channel();
        spawn_work(results_tx, |end| WorkResult::Fetched(7, end), || panic!("on purpose"));
        assert!(matches!(results_rx.recv(), Ok(WorkResult::Fetched(7, Err(_)))));
    }
}
