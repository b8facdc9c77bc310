//! What the agent does: beats to the controller, fetches, processes. It decides nothing; see [`crate::mind`].
use crate::fetch::{self, Fetch, Next};
use crate::mind::{word, Do, Mind, Ns, State};
use crate::proc::{clock, Kept, Proc};
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

/// A beat to the controller; six fit into the silence after which it counts machines as gone. Up to a fifth of
/// it is drawn, so that agents of a fleet don't beat in step.
const BEAT: Ns = 500 * MS;
/// Processes are looked at this often.
const TICK: Ns = 50 * MS;
/// A call that takes longer is given up.
const CALL: Ns = 2 * SEC;
/// A readiness check.
const PROBE: Ns = 500 * MS;

pub struct Agent {
    pub place: String,
    pub controller: SocketAddr,
    pub state: PathBuf,
    /// A root to trust, where none is trusted yet.
    pub root: Option<PathBuf>,
    /// Bytes a second that a fetch may take.
    pub rate: f64,
    pub seed: u64,
    /// Processes end with the agent (tests); else they outlive it.
    pub take_down: bool,
}

enum What {
    Beat,
    Fetch,
    Ready(u32),
    Held(u32),
}

/// What a thread has found.
enum Found {
    Fetched(u32, Result<(), String>),
    Sound(u32, Result<PathBuf, String>),
}

struct Hand {
    agent: Agent,
    net: Net,
    mind: Mind,
    procs: BTreeMap<u32, Proc>,
    held: BTreeMap<u32, u64>,
    fetch: Option<Fetch>,
    /// Fetches that wait for the one before.
    queue: BTreeSet<u32>,
    fetch_at: Ns,
    calls: BTreeMap<Id, (What, Ns)>,
    asking: BTreeSet<u32>,
    made: Vec<Event>,
    chance: StdRng,
    beat_at: Ns,
    beating: bool,
    to: Sender<Found>,
    from: Receiver<Found>,
    run: u64,
    told: BTreeMap<u32, State>,
    heard: Option<Ns>,
}

const FLAG: u64 = 1;

/// An order's generation, the builds wanted, and those to keep.
type Ordered = (u64, BTreeSet<u32>, BTreeSet<u32>);

/// Reads an order; none: no order for now. A build that is none makes it no order: without it, what it meant would
/// be drained.
fn read_order(said: &Value) -> Result<Option<Ordered>, &'static str> {
    let Some(generation) = said.get("generation") else { return Ok(None) };
    let list = |name: &'static str| -> Result<BTreeSet<u32>, &'static str> {
        let builds = said[name].as_array().ok_or(name)?;
        builds.iter().map(|b| b.as_u64().and_then(|b| b.try_into().ok()).ok_or(name)).collect()
    };
    Ok(Some((generation.as_u64().ok_or("generation")?, list("builds")?, list("keep")?)))
}

/// Works on a thread and says what came of it, also when the work ends in a panic: a build whose check is never
/// heard of would wait for ever.
fn aside<T: 'static>(
    to: Sender<Found>, found: impl FnOnce(Result<T, String>) -> Found + Send + 'static,
    work: impl FnOnce() -> Result<T, String> + Send + 'static,
) {
    std::thread::spawn(move || {
        let end = std::panic::catch_unwind(std::panic::AssertUnwindSafe(work));
        // An agent that has ended listens no more.
        let _ = to.send(found(end.unwrap_or_else(|_| Err("the thread at work on it has ended".into()))));
    });
}

impl Agent {
    /// Runs until a signal; builds go on running without it.
    ///
    /// # Errors
    /// A folder that can't be used, or no root to trust.
    pub fn run(self, ready: impl FnOnce()) -> Result<(), String> {
        use std::os::unix::fs::DirBuilderExt;
        let say = |err: std::io::Error| err.to_string();
        let trust = self.state.join("trust");
        fs::DirBuilder::new().recursive(true).mode(0o700).create(&trust).map_err(say)?;
        if let Some(root) = &self.root {
            let at = trust.join("root.json");
            if !at.exists() {
                let bytes = fs::read(root).map_err(|err| format!("{}: {err}", root.display()))?;
                rockpick_control::keep::replace(&at, &bytes).map_err(say)?;
            }
        }
        fetch::trusted(&trust)?;
        let mut net = Net::new(1).map_err(say)?;
        for signal in [15, 2] {
            net.on_signal(signal).map_err(say)?;
        }
        let (to, from) = channel();
        let seed = self.seed;
        let mut hand = Hand {
            net,
            mind: Mind::new(seed),
            procs: BTreeMap::new(),
            held: BTreeMap::new(),
            fetch: None,
            queue: BTreeSet::new(),
            fetch_at: 0,
            calls: BTreeMap::new(),
            asking: BTreeSet::new(),
            made: Vec::new(),
            chance: StdRng::seed_from_u64(seed ^ 0x5eed),
            beat_at: 0,
            beating: false,
            to,
            from,
            run: clock() as u64 >> 10 & 0xffff_ffff_ffff,
            told: BTreeMap::new(),
            heard: None,
            agent: self,
        };
        hand.recall()?;
        ready();
        hand.work()
    }
}

impl Hand {
    fn runs(&self) -> PathBuf {
        self.agent.state.join("runs")
    }

    /// Comes back: what was ordered last, the artefacts, and the processes that still run, as they are.
    fn recall(&mut self) -> Result<(), String> {
        let file = self.agent.state.join("order.json");
        if let Some(text) = rockpick_control::keep::load(&file).map_err(|err| err.to_string())? {
            let kept: Value =
                serde_json::from_slice(&text).map_err(|err| format!("{}: {err}", file.display()))?;
            read_order(&kept).map_err(|field| format!("{}: {field}", file.display()))?;
            self.order(&kept);
        }
        let folder = self.agent.state.join("artefacts");
        for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
            let name = entry.file_name();
            let build = name.to_str().and_then(|n| n.strip_prefix("build-")).and_then(|n| n.parse().ok());
            self.mind
                .have
                .extend(build.into_iter().filter(|b: &u32| fetch::place(&self.agent.state, *b).1.exists()));
        }
        for build in Proc::recorded(&self.runs()) {
            match Proc::find(&self.runs(), build)? {
                Some(proc) => {
                    // One that has served is taken for serving; if it is not ordered any more, it drains.
                    let state = if proc.kept.served { State::Serving } else { State::Starting };
                    tracing::info!(event = "found", build, state = word(state));
                    self.mind.found(self.net.now(), build, state);
                    self.procs.insert(build, proc);
                }
                None => Proc::forget(&self.runs(), build),
            }
        }
        Ok(())
    }

    fn order(&mut self, said: &Value) -> bool {
        match read_order(said) {
            Ok(Some((generation, builds, keep))) => {
                let fresh = generation > self.mind.generation;
                self.mind.ordered(generation, builds, keep) && fresh
            }
            Ok(None) => false,
            Err(field) => {
                tracing::warn!(event = "order not read", why = field);
                false
            }
        }
    }

    fn work(mut self) -> Result<(), String> {
        let mut events = Vec::new();
        self.net.wake_at(0, FLAG);
        loop {
            events.append(&mut self.made);
            self.net.turn(&mut events, TICK).map_err(|err| err.to_string())?;
            for event in std::mem::take(&mut events) {
                match event {
                    Event::CallEnded { call, end } => self.ended(call, end),
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
        while let Ok(found) = self.from.try_recv() {
            match found {
                Found::Fetched(build, end) => {
                    if let Err(why) = &end {
                        tracing::warn!(event = "refused", build, why);
                    }
                    self.mind.fetched(now, build, end);
                }
                Found::Sound(build, Ok(artefact)) => self.start(build, &artefact),
                Found::Sound(build, Err(why)) => {
                    tracing::warn!(event = "spoilt", build, why);
                    self.mind.spoilt(now, build, why);
                }
            }
        }
        let builds: Vec<u32> = self.procs.keys().copied().collect();
        for build in builds {
            let Some(proc) = self.procs.get_mut(&build) else { continue };
            if let Some(how) = proc.ended() {
                tracing::info!(event = "ended", build, how);
                // What it has left behind of its group goes with it.
                proc.signal(Signal::KILL);
                Proc::forget(&self.agent.state.join("runs"), build);
                self.procs.remove(&build);
                self.held.remove(&build);
                self.mind.exited(now, build, how);
                continue;
            }
            if proc.listens().is_some() {
                self.mind.listens(now, build);
            }
            let warming = self.mind.jobs.get(&build).is_some_and(|j| j.state == State::Warming);
            if warming && self.asking.insert(build) {
                self.look(build, What::Ready(build), "/probe");
            }
        }
        let late: Vec<Id> = self.calls.iter().filter(|(_, (_, by))| *by <= now).map(|(id, _)| *id).collect();
        for id in late {
            self.net.cancel(id);
            self.ended(id, CallEnd::Unreachable);
        }
        for todo in self.mind.step(now) {
            self.carry_out(todo);
        }
        self.fetching();
        for (build, job) in &self.mind.jobs {
            if self.told.insert(*build, job.state) != Some(job.state) {
                tracing::info!(event = "build", build, state = word(job.state), why = job.why);
            }
        }
        self.told.retain(|b, _| self.mind.jobs.contains_key(b));
        if now >= self.beat_at && !self.beating {
            self.beat();
        }
    }

    /// Calls `what` of an address with a body or a range.
    fn ask(&mut self, why: What, to: SocketAddr, what: (&str, &str), range: &str, body: &str, within: Ns) {
        let lines = [("Content-Type", "application/json"), ("Range", range)];
        let lines = if range.is_empty() { &lines[..1] } else { &lines[..] };
        let request = http::encode_request(what.0, what.1, &to.to_string(), lines, body.as_bytes());
        let call = Call { to, request: &request, connect_within: within, stream: false, head_only: false };
        let id = self.net.call(&mut self.made, call);
        self.calls.insert(id, (why, self.net.now() + within));
    }

    fn look(&mut self, build: u32, what: What, target: &str) {
        if let Some(at) = self.procs.get(&build).and_then(|p| p.at) {
            self.ask(what, at, ("GET", target), "", "", PROBE);
        }
    }

    fn carry_out(&mut self, todo: Do) {
        let dir = self.agent.state.clone();
        match todo {
            Do::Fetch(build) => drop(self.queue.insert(build)),
            Do::Leave(build) => {
                self.queue.remove(&build);
                if self.fetch.as_ref().is_some_and(|f| f.build == build) {
                    self.fetch = None;
                }
            }
            Do::Start(build) => {
                aside(
                    self.to.clone(),
                    move |end| Found::Sound(build, end),
                    move || fetch::sound(&dir, build),
                );
            }
            Do::Ask(build) => match self.procs.get_mut(&build) {
                Some(proc) => {
                    proc.asked = true;
                    proc.signal(Signal::TERM);
                }
                // Its start was still in hand: there is nothing to end.
                None => self.mind.exited(self.net.now(), build, "never started".into()),
            },
            Do::Kill(build) => match self.procs.get(&build) {
                Some(proc) => proc.signal(Signal::KILL),
                None => self.mind.exited(self.net.now(), build, "never started".into()),
            },
            Do::Discard(build) => {
                let (at, told) = fetch::place(&dir, build);
                // First the record: an artefact without one is never started.
                if let Err(err) = fs::remove_file(told).and_then(|()| fs::remove_file(at)) {
                    tracing::warn!(event = "not thrown away", build, why = %err);
                }
            }
        }
    }

    fn start(&mut self, build: u32, artefact: &std::path::Path) {
        let now = self.net.now();
        // A rollback may have come while the artefact was looked at.
        if self.mind.jobs.get(&build).is_none_or(|j| j.state != State::Starting)
            || self.procs.contains_key(&build)
        {
            return;
        }
        let name = format!("{}..{build}", self.agent.place);
        let kept = Kept {
            build,
            name: name.clone(),
            run: clock() as u64 >> 10 & 0xffff_ffff_ffff,
            started: clock(),
            served: false,
        };
        let env = [
            ("ROCKPICK_NAME", name),
            ("ROCKPICK_PLACE", self.agent.place.clone()),
            ("ROCKPICK_BUILD", build.to_string()),
            ("ROCKPICK_CONTROLLER", self.agent.controller.to_string()),
            ("ROCKPICK_LISTEN", "127.0.0.1:0".into()),
        ];
        match Proc::start(&self.runs(), kept, artefact, &env) {
            Ok(proc) => drop(self.procs.insert(build, proc)),
            Err(err) => self.mind.failed(now, build, err.to_string()),
        }
    }

    /// Goes on with the fetch in hand, or with the next; one at a time, no faster than its rate.
    fn fetching(&mut self) {
        let now = self.net.now();
        if self.calls.values().any(|(w, _)| matches!(w, What::Fetch)) || now < self.fetch_at {
            return;
        }
        if self.fetch.is_none() {
            let Some(build) = self.queue.pop_first() else { return };
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs() as i64);
            match Fetch::begin(build, &self.agent.state, wall) {
                Ok(fetch) => self.fetch = Some(fetch),
                Err(why) => return self.mind.fetched(now, build, Err(why)),
            }
        }
        let Some(next) = self.fetch.as_ref().map(Fetch::next) else { return };
        let to = self.agent.controller;
        match next {
            Next::Metadata(name) => {
                self.ask(What::Fetch, to, ("GET", &format!("/repo/metadata/{name}")), "", "", CALL);
            }
            Next::Piece(path, from, last) => {
                let range = format!("bytes={from}-{last}");
                self.fetch_at = now + ((last - from + 1) as f64 / self.agent.rate * SEC as f64) as Ns;
                self.ask(What::Fetch, to, ("GET", &format!("/repo/targets/{path}")), &range, "", CALL);
            }
            Next::Whole => {
                let Some(fetch) = self.fetch.take() else { return };
                let (build, dir) = (fetch.build, self.agent.state.clone());
                let Some((file, part)) = fetch.whole() else { return };
                let work = move || fetch::finish(&dir, build, &file, &part);
                aside(self.to.clone(), move |end| Found::Fetched(build, end), work);
            }
        }
    }

    fn beat(&mut self) {
        let now = self.net.now();
        self.beating = true;
        let mut builds = Vec::new();
        for (build, job) in &self.mind.jobs {
            let proc = self.procs.get(build);
            let serves = matches!(job.state, State::Serving | State::Draining);
            builds.push(json!({ "build": build, "state": word(job.state), "why": job.why,
                "unfit": self.mind.unfit(*build),
                "name": proc.map(|p| &p.kept.name), "run": proc.map(|p| p.kept.run),
                "addr": proc.and_then(|p| p.at).filter(|_| serves).map(|a| a.to_string()),
                "age_ms": proc.map_or(0.0, |p| (clock() - p.kept.started) as f64 / MS as f64),
                "held": self.held.get(build).copied().unwrap_or(0) }));
        }
        let body =
            json!({ "run": self.run, "generation": self.mind.generation, "builds": builds }).to_string();
        let (to, target) = (self.agent.controller, format!("/agents/{}", self.agent.place));
        self.ask(What::Beat, to, ("POST", &target), "", &body, CALL);
        // What each build holds is asked between beats, for the next one.
        let draining = self.mind.jobs.iter().filter(|(_, j)| j.state == State::Draining).map(|(b, _)| *b);
        for build in draining.collect::<Vec<_>>() {
            self.look(build, What::Held(build), "/status");
        }
        self.beat_at = now + BEAT - (BEAT as f64 * self.chance.random_range(0.0..0.2)) as Ns;
    }

    fn ended(&mut self, call: Id, end: CallEnd) {
        let Some((what, _)) = self.calls.remove(&call) else { return };
        let now = self.net.now();
        match (what, end) {
            (What::Beat, CallEnd::Answer(r)) if r.status == 200 => {
                self.beating = false;
                self.heard = Some(now);
                match serde_json::from_slice(&r.body) {
                    Ok(said) => self.ordered(&said),
                    Err(err) => tracing::warn!(event = "order not read", why = %err),
                }
            }
            (What::Beat, end) => {
                self.beating = false;
                // Without a controller everything goes on as it is; the next beat waits a little longer.
                self.beat_at = now + BEAT + (BEAT as f64 * self.chance.random_range(0.0..2.0)) as Ns;
                if let CallEnd::Answer(r) = end {
                    tracing::warn!(event = "beat refused", status = r.status);
                }
            }
            (What::Ready(build), end) => {
                self.asking.remove(&build);
                if matches!(end, CallEnd::Answer(r) if r.status == 200) {
                    self.mind.ready(now, build);
                    if let Some(proc) = self.procs.get_mut(&build) {
                        proc.note_served();
                    }
                    self.beat_at = now;
                }
            }
            (What::Held(build), CallEnd::Answer(r)) => {
                let said: Value = serde_json::from_slice(&r.body).unwrap_or(Value::Null);
                let held = said["busy"].as_u64().unwrap_or(0) + said["queue"].as_u64().unwrap_or(0);
                self.held.insert(build, held);
            }
            (What::Held(build), _) => drop(self.held.insert(build, 1)),
            (What::Fetch, end) => {
                let Some(fetch) = &mut self.fetch else { return };
                let build = fetch.build;
                let went = match end {
                    CallEnd::Answer(r) => fetch.given(r.status, &r.body),
                    _ => Err("the repository is not to be reached".into()),
                };
                if let Err(why) = went {
                    tracing::warn!(event = "fetch failed", build, why);
                    self.fetch = None;
                    self.mind.fetched(now, build, Err(why));
                }
            }
        }
    }

    fn ordered(&mut self, said: &Value) {
        if self.order(said) {
            let kept = json!({ "generation": self.mind.generation, "builds": self.mind.wanted, "keep": self.mind.keep });
            tracing::info!(event = "order", generation = self.mind.generation, builds = ?self.mind.wanted);
            let file = self.agent.state.join("order.json");
            if let Err(err) = rockpick_control::keep::replace(&file, kept.to_string().as_bytes()) {
                tracing::error!(event = "order not kept", why = %err);
            }
        }
        for (build, order) in said["orders"].as_object().into_iter().flatten() {
            if let (Ok(build), Some("stop")) = (build.parse::<u32>(), order.as_str()) {
                for todo in self.mind.drained(self.net.now(), build) {
                    self.carry_out(todo);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Finding 40.
    #[test]
    fn an_order_with_a_build_that_is_none_is_no_order() {
        let order = json!({"generation":5,"builds":[1,2],"keep":[1],"later":1});
        assert_eq!(read_order(&order), Ok(Some((5, BTreeSet::from([1, 2]), BTreeSet::from([1])))));
        assert_eq!(read_order(&json!({"orders":{}})), Ok(None));
        for (field, bad) in
            [("builds", json!([1, "x"])), ("builds", json!([1u64 << 40])), ("keep", json!(null))]
        {
            let mut order = order.clone();
            order[field] = bad;
            assert_eq!(read_order(&order), Err(field));
        }
    }

    /// Finding 34.
    #[test]
    fn work_that_panics_is_heard_of() {
        let (to, from) = channel();
        aside(to, |end| Found::Fetched(7, end), || panic!("on purpose"));
        assert!(matches!(from.recv(), Ok(Found::Fetched(7, Err(_)))));
    }
}
