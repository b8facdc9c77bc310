//! The processes of a rehearsal: started, stopped and killed by the script; a host that starts the machines
//! which the controller wants; the clients; and the judgement at the end.
use crate::books;
use crate::day::{self, Action, Plan};
use crate::judge::{self, Judgement, RawRecords};
use crate::{call, watch};
use rockpick_control::Settings;
use rockpick_fakes::record::{monotonic_ns, Record};
use rockpick_fault_injection::relay::Relay;
use rockpick_fault_injection::{Fault, LinkConditions, RestartState};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const SEC: i64 = 1_000_000_000;
/// The rehearsal looks after its processes this often.
const BEAT: Duration = Duration::from_millis(20);
/// The host asks what is wanted this often.
const HOST: i64 = SEC / 4;
/// A machine's process starts after a while, as builds do.
const BOOT: i64 = SEC / 2;
/// All must be up within this.
const UP_WITHIN: i64 = 20 * SEC;
/// On a day of peers: how fast fronts probe each other, and how long after the day they may take to agree.
const PERIOD_MS: u64 = 100;
const SETTLES: i64 = 20 * SEC;
/// Breaches printed of each rule.
const SHOWN: usize = 8;
/// After the last arrival: the longest deadline and the time to end.
const END_WITHIN: i64 = 12 * SEC;

struct Proc {
    child: Child,
    at: SocketAddr,
}

impl Drop for Crew {
    fn drop(&mut self) {
        self.end_agents();
    }
}

impl Proc {
    fn start(args: &[String], log: &Path) -> Result<Proc, String> {
        Proc::begin(args, log, &[])
    }

    fn begin(args: &[String], log: &Path, env: &[(&str, PathBuf)]) -> Result<Proc, String> {
        let program = std::env::current_exe().map_err(|err| err.to_string())?;
        let log = File::options().create(true).append(true).open(log).map_err(|err| err.to_string())?;
        let mut child = Command::new(program)
            .args(args)
            .envs(env.iter().map(|(name, value)| (*name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|err| err.to_string())?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            let mut out = BufReader::new(out);
            let _ = out.read_line(&mut line);
            // What it still prints is let go; the pipe must not fill.
            std::thread::spawn(move || {
                let mut rest = String::new();
                while out.read_line(&mut rest).is_ok_and(|n| n > 0) {
                    rest.clear();
                }
            });
        }
        // An agent listens nowhere.
        let nowhere = (line.trim() == "agent up").then_some(SocketAddr::from(([127, 0, 0, 1], 0)));
        let at = line.trim().strip_prefix("listening ").and_then(|at| at.parse().ok()).or(nowhere);
        match at {
            Some(at) => Ok(Proc { child, at }),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                Err(format!("'rockpick {}' did not come up", args.join(" ")))
            }
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Crew {
    plan: Plan,
    charter: Settings,
    out: PathBuf,
    acts: Record,
    controller: Option<Proc>,
    control_at: SocketAddr,
    fronts: Vec<Option<Proc>>,
    front_at: Vec<SocketAddr>,
    machines: BTreeMap<String, Proc>,
    clients: Option<Proc>,
    /// By place, where agents start the builds.
    agents: Vec<Option<Proc>>,
    /// Machines on their way: when their process starts.
    booting: BTreeMap<(String, u32), i64>,
    bad: BTreeMap<u32, String>,
    fault: Option<Value>,
    /// By machine, what was told to each; and are the zones parted?
    faults: BTreeMap<String, Value>,
    parted: bool,
    shared: f64,
    /// Seats for notes, by front, and then for peers.
    relay: Relay,
    /// What becomes of notes, and the fronts' zones while they are parted.
    carried: day::DatagramFaults,
    zones: Vec<u32>,
    /// The storm of a day of peers: which acts are on; by front, how often it is stopped and down.
    storm: Option<rockpick_fault_injection::Plan>,
    on: Vec<usize>,
    stopped: Vec<u32>,
    down: Vec<u32>,
    hosted: i64,
    pending: Vec<(i64, Pending)>,
    warm: bool,
    starts: u64,
    /// The directory: its addresses, its process, when it came back, and what that took all fronts, s.
    books: Option<[SocketAddr; 2]>,
    directory: Option<Proc>,
    returned: Option<i64>,
    in_force: Option<f64>,
    looked: i64,
}

enum Pending {
    StartFront(usize),
    ContFront(usize),
    ContController,
    StartController,
    KillMachine(String),
    StartAgent(usize),
}

fn words(args: &[&str]) -> Vec<String> {
    args.iter().map(|a| a.to_string()).collect()
}

pub fn play(plan: Plan) -> Result<bool, String> {
    if plan.trouble.iter().any(|t| t == "list") {
        day::TROUBLES.iter().for_each(|(name, what)| println!("{name:<15} {what}"));
        return Ok(true);
    }
    plan.check()?;
    if plan.fronts > 200 || plan.machines > 500 || plan.rate > 1e5 {
        return Err("on loopback --fronts 200, --machines 500 and --rate 100000 at most".into());
    }
    let (script, lasts) = day::script(&plan)?;
    let charter = day::settings(&plan)?;
    let out = plan.out.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!(
            "rockpick-rehearsal-{}-{}",
            std::process::id(),
            monotonic_ns() / SEC
        ))
    });
    crate::begin_folder(&out)?;
    let text = serde_json::to_string(&plan).map_err(|err| err.to_string())?;
    std::fs::write(out.join("plan.json"), text).map_err(|err| format!("plan.json: {err}"))?;
    let mut crew = Crew::assemble(plan, charter, out)?;
    crew.day(&script, lasts)
}

impl Crew {
    fn log(&self, name: &str) -> PathBuf {
        self.out.join(format!("{name}.log"))
    }

    fn assemble(plan: Plan, charter: Settings, out: PathBuf) -> Result<Crew, String> {
        let say = |err: std::io::Error| err.to_string();
        let acts = Record::open(Some(&out.join("acts.jsonl"))).map_err(say)?;
        let relay = Relay::start(2 * plan.fronts, plan.seed).map_err(say)?;
        let storm = plan.is_peers_day().then(|| day::storm(&plan));
        if let Some(storm) = &storm {
            std::fs::write(out.join("storm.jsonl"), storm.write()).map_err(say)?;
            std::fs::write(out.join("peers.key"), "the key of a rehearsal's fronts").map_err(say)?;
        }
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut crew = Crew {
            stopped: vec![0; plan.fronts],
            down: vec![0; plan.fronts],
            fronts: (0..plan.fronts).map(|_| None).collect(),
            front_at: vec![nowhere; plan.fronts],
            plan,
            charter,
            out,
            acts,
            controller: None,
            control_at: nowhere,
            machines: BTreeMap::new(),
            clients: None,
            agents: Vec::new(),
            booting: BTreeMap::new(),
            bad: BTreeMap::new(),
            fault: None,
            shared: 0.0,
            relay,
            carried: day::DatagramFaults::default(),
            zones: Vec::new(),
            storm,
            on: Vec::new(),
            faults: BTreeMap::new(),
            parted: false,
            hosted: 0,
            pending: Vec::new(),
            warm: true,
            starts: 0,
            books: None,
            directory: None,
            returned: None,
            in_force: None,
            looked: 0,
        };
        if crew.plan.day == "directory" && crew.plan.trouble.is_empty() {
            let at = books::addresses().map_err(say)?;
            crew.charter.directory = Some(books::books(at[0]));
            crew.books = Some(at);
            crew.start_directory(false)?;
        }
        if crew.plan.agents {
            crew.make_repo()?;
        }
        crew.start_controller()?;
        let settings = serde_json::to_string(&crew.charter).map_err(|err| err.to_string())?;
        let put = call(crew.control_at, "PUT", "/settings", &settings)?;
        if put.status != 200 {
            return Err(format!("settings: {}", String::from_utf8_lossy(&put.body)));
        }
        for front in 0..crew.fronts.len() {
            crew.start_front(front)?;
        }
        if crew.plan.agents {
            crew.agents = (0..crew.plan.machines).map(|_| None).collect();
            for place in 0..crew.plan.machines {
                crew.start_agent(place)?;
            }
        }
        let by = monotonic_ns() + UP_WITHIN;
        loop {
            crew.host()?;
            let status = call(crew.control_at, "GET", "/status", "")?;
            let status: Value = serde_json::from_slice(&status.body).unwrap_or(Value::Null);
            let up = status["machines"].as_array().map_or(0, Vec::len);
            let watching = status["watching"].as_array().map_or(0, Vec::len);
            if up >= crew.plan.machines && watching >= crew.plan.fronts {
                break;
            }
            if monotonic_ns() > by {
                return Err(format!("only {up} machines and {watching} fronts came up"));
            }
            std::thread::sleep(BEAT);
        }
        crew.warm = false;
        Ok(crew)
    }

    fn start_directory(&mut self, back: bool) -> Result<(), String> {
        let Some([at, control]) = self.books else { return Ok(()) };
        let args = words(&["directory", "--listen", &at.to_string(), "--control", &control.to_string()]);
        let proc = Proc::start(&args, &self.log("directory"))?;
        let put = call(control, "POST", "/entries", &books::entries(back).to_string())?;
        if put.status != 200 {
            return Err(format!("the directory's entries: {}", String::from_utf8_lossy(&put.body)));
        }
        self.directory = Some(proc);
        Ok(())
    }

    /// Do all fronts know what the directory has come back with?
    fn look(&mut self) {
        let now = monotonic_ns();
        let Some(returned) = self.returned.filter(|_| self.in_force.is_none() && now - self.looked > SEC / 5)
        else {
            return;
        };
        self.looked = now;
        let knows = |at: &SocketAddr| {
            let Ok(answer) = call(*at, "GET", "/status", "") else { return false };
            let status: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
            let d = &status["directory"];
            d["tenants"] == books::AFTER && d["settled"] == true
        };
        if self.front_at.iter().all(knows) {
            self.in_force = Some((now - returned) as f64 / SEC as f64);
        }
    }

    fn start_controller(&mut self) -> Result<(), String> {
        let state = self.out.join("controller");
        let mut args = words(&[
            "controller",
            "--listen",
            &self.control_at.to_string(),
            "--state",
            &state.to_string_lossy(),
            "--log",
            "json",
        ]);
        if self.plan.agents {
            args.extend(words(&["--repo", &self.out.join("repo").to_string_lossy()]));
        }
        let proc = Proc::start(&args, &self.log("controller"))?;
        self.control_at = proc.at;
        self.controller = Some(proc);
        Ok(())
    }

    fn start_front(&mut self, front: usize) -> Result<(), String> {
        let name = self.charter.fronts[front].name.clone();
        let (listen, controller) = (self.front_at[front].to_string(), self.control_at.to_string());
        let seed = (self.plan.seed.wrapping_mul(1_000) + front as u64 + self.starts * 7_919).to_string();
        self.starts += 1;
        let state = self.out.join(&name);
        let (state, notes) = (state.to_string_lossy().into_owned(), self.relay.addresses[front].to_string());
        let mut args = match self.plan.faulty {
            Some(rule) => words(&[
                "faulty",
                "--listen",
                &listen,
                "--controller",
                &controller,
                "--name",
                &name,
                "--breaks",
                &rule.to_string(),
                "--seed",
                &seed,
            ]),
            None => words(&[
                "front",
                "--listen",
                &listen,
                "--controller",
                &controller,
                "--name",
                &name,
                "--state",
                &state,
                "--seed",
                &seed,
                "--notes-at",
                &notes,
                "--log",
                "json",
            ]),
        };
        if self.storm.is_some() && self.plan.faulty.is_none() {
            let lies = self.out.join(format!("{name}.lies"));
            args.extend(words(&["--disk-lies", &lies.to_string_lossy()]));
            args.push(format!("--clock-ppm={}", day::clock_ppm(&self.plan, front)));
        }
        let company = self.storm.is_some() && !self.plan.alone;
        let seat = |front: usize| self.relay.addresses[self.plan.fronts + front].to_string();
        if company {
            let others: Vec<String> =
                (0..self.plan.fronts).filter(|i| *i != front).take(3).map(seat).collect();
            let key = self.out.join("peers.key");
            args.extend(words(&["--peers-listen", "127.0.0.1:0", "--peers-at", &seat(front)]));
            args.extend(words(&["--peers", &others.join(","), "--peers-key", &key.to_string_lossy()]));
            args.extend(words(&["--peers-period-ms", &PERIOD_MS.to_string()]));
        }
        let proc = Proc::start(&args, &self.log(&name))?;
        self.front_at[front] = proc.at;
        self.fronts[front] = Some(proc);
        // Where its sockets really are; the others know the relay's seats alone.
        let told = |target: &str, field: &str| -> Option<SocketAddr> {
            let answer = call(self.front_at[front], "GET", target, "").ok()?;
            serde_json::from_slice::<Value>(&answer.body).ok()?[field].as_str()?.parse().ok()
        };
        if let Some(at) = told("/status", "notes") {
            self.relay.set_address(front, at);
        }
        if let (true, Some(at)) = (company, told("/peers", "listen")) {
            self.relay.set_address(self.plan.fronts + front, at);
        }
        Ok(())
    }

    /// What each link between fronts does now, for notes and for peers.
    fn links(&self) {
        let fronts = self.plan.fronts;
        let carried = LinkConditions {
            lost: self.carried.loss,
            doubled: self.carried.duplication,
            jitter: self.carried.max_delay_ms as i64 * 1_000_000,
            ..LinkConditions::default()
        };
        for (from, to) in (0..fronts).flat_map(|a| (0..fronts).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            let parted = LinkConditions {
                cut: self.zones.get(from) != self.zones.get(to),
                ..LinkConditions::default()
            };
            let storm = self.storm.as_ref().map_or(carried, |s| s.way(&self.on, from, to, carried));
            let way = storm.with(&parted);
            self.relay.set_link(from, to, way);
            self.relay.set_link(fronts + from, fronts + to, way);
        }
    }

    /// A fault of the storm begins or ends.
    fn storm(&mut self, act: usize, begins: bool) -> Result<(), String> {
        let Some(fault) = self.storm.as_ref().map(|s| s.acts[act].fault.clone()) else { return Ok(()) };
        self.on.retain(|i| *i != act);
        if begins {
            self.on.push(act);
        }
        let count = |n: &mut u32| *n = if begins { *n + 1 } else { n.saturating_sub(1) };
        match fault {
            Fault::Links { .. } => {
                self.links();
                self.note(if begins { "cut" } else { "join" }, &format!("link {act}"));
            }
            Fault::Stop { who } => {
                count(&mut self.stopped[who]);
                self.hold(who);
            }
            Fault::Kill { who, back } => {
                count(&mut self.down[who]);
                self.take_down(who, begins, back)?;
            }
            // Its clients would have to be told; here a front that leaves is killed.
            Fault::Leave { who } => {
                count(&mut self.down[who]);
                self.take_down(who, begins, RestartState::Same)?;
            }
            Fault::Disk { who, how } => {
                let name = self.charter.fronts[who].name.clone();
                let text = if begins { how.as_str() } else { "" };
                std::fs::write(self.out.join(format!("{name}.lies")), text).map_err(|err| err.to_string())?;
                self.note(&format!("disk {text}"), &name);
            }
            Fault::Clock { .. } => {}
        }
        Ok(())
    }

    /// Stops a front's process, or lets it go on, by how often it is stopped now.
    fn hold(&mut self, who: usize) {
        let stopped = self.stopped[who] > 0;
        if let Some(proc) = &self.fronts[who] {
            proc.signal(if stopped { Signal::STOP } else { Signal::CONT });
            let name = self.charter.fronts[who].name.clone();
            self.note(if stopped { "stop" } else { "cont" }, &name);
        }
    }

    fn take_down(&mut self, who: usize, begins: bool, back: RestartState) -> Result<(), String> {
        let name = self.charter.fronts[who].name.clone();
        let files = ["json", "peers.rows"].map(|kind| {
            let file = self.out.join(&name).join(format!("{name}.{kind}"));
            (file, self.out.join(format!("{name}.{kind}.former")))
        });
        if begins {
            if self.fronts[who].is_none() {
                return Ok(());
            }
            if self.stopped[who] > 0 {
                self.note("cont", &name);
            }
            self.note("kill", &name);
            self.fronts[who] = None;
            for (file, former) in &files {
                match back {
                    RestartState::Empty => drop(std::fs::remove_file(file)),
                    RestartState::Former => drop(std::fs::copy(former, file)),
                    RestartState::Same | RestartState::Never => {}
                }
            }
        } else if self.down[who] == 0 && self.fronts[who].is_none() {
            self.start_front(who)?;
            self.note("start", &name);
            // What it has kept by now is a former folder's later on.
            files.iter().for_each(|(file, former)| drop(std::fs::copy(file, former)));
            if self.stopped[who] > 0 {
                self.hold(who);
            }
        }
        Ok(())
    }

    /// What is wrong in the copies that the fronts hold after the day: held against each other, and against the keys that a
    /// trial's machines have answered.
    fn copies(&self, bound: &BTreeMap<u64, u32>) -> Option<String> {
        let mut whole: Vec<Value> = Vec::new();
        for (at, front) in self.front_at.iter().zip(&self.charter.fronts) {
            let answer = call(*at, "GET", "/peers", "").ok();
            let shown: Value =
                answer.and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or(Value::Null);
            if shown["copies"]["whole"].as_array().is_none_or(|w| w.len() < 5) {
                return Some(format!("{} is not whole", front.name));
            }
            whole.push(shown["copies"]["digests"].clone());
        }
        if let Some(at) = whole.iter().position(|d| *d != whole[0]) {
            return Some(format!(
                "{} and {} differ",
                self.charter.fronts[0].name, self.charter.fronts[at].name
            ));
        }
        let (mut held, mut from) = (BTreeMap::new(), String::new());
        loop {
            let page =
                call(self.front_at[0], "GET", &format!("/peers/rows?table=bindings{from}"), "").ok()?;
            let page: Value = serde_json::from_slice(&page.body).unwrap_or(Value::Null);
            for row in page["rows"].as_array().into_iter().flatten() {
                let inner = |word: &str| {
                    word.split(['(', '[', ',', ']', ')']).find_map(|n| n.trim().parse::<u64>().ok())
                };
                if let (Some(key), Some(build)) =
                    (row["key"].as_str().and_then(inner), row["row"].as_str().and_then(inner))
                {
                    held.insert(key, build as u32);
                }
            }
            match page["next"].as_str() {
                Some(next) => from = format!("&from={next}"),
                None => break,
            }
        }
        let lost = bound.iter().find(|(key, build)| held.get(key).is_none_or(|b| b < build));
        lost.map(|(key, build)| {
            format!("key {key} was answered by build {build}, all hold {:?}", held.get(key))
        })
    }

    fn repo(&self, args: &[&str]) -> Result<(), String> {
        let program = std::env::current_exe().map_err(|err| err.to_string())?;
        let (dir, keys) = (self.out.join("repo"), self.out.join("keys"));
        let out = Command::new(program)
            .args(["repo", args[0], "--dir"])
            .arg(dir)
            .arg("--keys")
            .arg(keys)
            .args(&args[1..])
            .output()
            .map_err(|err| err.to_string())?;
        if out.status.success() {
            Ok(())
        } else {
            Err(String::from_utf8_lossy(&out.stderr).into_owned())
        }
    }

    fn make_repo(&self) -> Result<(), String> {
        self.repo(&["init"])?;
        self.add_build(self.charter.first_build, true)
    }

    /// Signs a stand-in machine as a build: a script that becomes one.
    fn add_build(&self, build: u32, warm: bool) -> Result<(), String> {
        let bad = self.bad.get(&build).map_or(String::new(), |bad| format!("--bad {bad}"));
        let script = format!(
            "#!/bin/sh\nexec \"$REHEARSAL_PROGRAM\" machine --agent --controller \"$ROCKPICK_CONTROLLER\" --name \
             \"$ROCKPICK_NAME\" --place \"$ROCKPICK_PLACE\" --build {build} --record \
             \"$REHEARSAL_OUT/machine-$ROCKPICK_NAME.jsonl\" --seed $$ {bad} {}\n",
            if warm { "--warm" } else { "" }
        );
        let at = self.out.join(format!("build-{build}.sh"));
        std::fs::write(&at, script).map_err(|err| err.to_string())?;
        self.repo(&["add", "--build", &build.to_string(), "--pack", &at.to_string_lossy()])
    }

    fn start_agent(&mut self, place: usize) -> Result<(), String> {
        let name = self.charter.places[place].name.clone();
        let state = self.out.join("agents").join(&name);
        let root = self.out.join("repo").join("metadata").join("1.root.json");
        let seed = (self.plan.seed + self.starts * 104_729).to_string();
        self.starts += 1;
        let args = words(&[
            "agent",
            "--machine",
            &name,
            "--controller",
            &self.control_at.to_string(),
            "--state",
            &state.to_string_lossy(),
            "--root",
            &root.to_string_lossy(),
            "--seed",
            &seed,
            "--take-down",
            "--log",
            "json",
        ]);
        let program = std::env::current_exe().map_err(|err| err.to_string())?;
        let env = [("REHEARSAL_PROGRAM", program), ("REHEARSAL_OUT", self.out.clone())];
        self.agents[place] = Some(Proc::begin(&args, &self.log("agents"), &env)?);
        Ok(())
    }

    /// Where machines listen: of the host's own, or as the roster has it.
    fn machines(&self) -> BTreeMap<String, SocketAddr> {
        if !self.plan.agents {
            return self.machines.iter().map(|(name, m)| (name.clone(), m.at)).collect();
        }
        let Ok(answer) = call(self.control_at, "GET", "/status", "") else { return BTreeMap::new() };
        let status: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let listed = status["machines"].as_array().into_iter().flatten().filter(|m| m["state"] != "gone");
        let at = |m: &Value| Some((m["name"].as_str()?.to_string(), m["addr"].as_str()?.parse().ok()?));
        listed.filter_map(at).collect()
    }

    /// Signals a machine's process: the host's own child, or the one that its agent has written down.
    fn signal(&mut self, name: &str, signal: Signal) {
        if let Some(m) = self.machines.get(name) {
            return m.signal(signal);
        }
        let Some((place, build)) = name.split_once("..") else { return };
        let file = self.out.join("agents").join(place).join("runs").join(format!("{build}.pid"));
        let pid =
            std::fs::read_to_string(file).ok().and_then(|t| t.trim().parse().ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    fn still(&self) -> bool {
        self.pending.iter().any(|(_, p)| matches!(p, Pending::ContController | Pending::StartController))
    }

    /// Starts what the controller wants and is not there; clears away what has ended.
    fn host(&mut self) -> Result<(), String> {
        let now = monotonic_ns();
        self.machines.retain(|_, m| !m.ended());
        if self.plan.agents || now - self.hosted < HOST {
            return Ok(());
        }
        self.hosted = now;
        // While the controller stands still, nothing is started.
        if self.still() {
            return Ok(());
        }
        let Ok(answer) = call(self.control_at, "GET", "/wanted", "") else { return Ok(()) };
        let wanted: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        for w in wanted["wanted"].as_array().into_iter().flatten() {
            let (place, build) =
                (w["place"].as_str().unwrap_or("").to_string(), w["build"].as_u64().unwrap_or(0) as u32);
            let name = format!("{place}..{build}");
            if w["present"] == true || self.machines.contains_key(&name) {
                self.booting.remove(&(place, build));
                continue;
            }
            let due =
                *self.booting.entry((place.clone(), build)).or_insert(now + if self.warm { 0 } else { BOOT });
            if due <= now {
                self.start_machine(&name, &place, build)?;
            }
        }
        Ok(())
    }

    fn start_machine(&mut self, name: &str, place: &str, build: u32) -> Result<(), String> {
        let seed = (self.plan.seed + self.starts * 104_729).to_string();
        self.starts += 1;
        let record = self.out.join(format!("machine-{name}.jsonl"));
        let mut args = words(&[
            "machine",
            "--controller",
            &self.control_at.to_string(),
            "--name",
            name,
            "--place",
            place,
            "--build",
            &build.to_string(),
            "--record",
            &record.to_string_lossy(),
            "--seed",
            &seed,
        ]);
        if self.warm {
            args.push("--warm".into());
        }
        if let Some(bad) = self.bad.get(&build) {
            args.extend(["--bad".into(), bad.clone()]);
        }
        let proc = Proc::start(&args, &self.log("machines"))?;
        let fault = self.behind(name, self.fault.as_ref().unwrap_or(&json!({})));
        if fault != json!({}) {
            let _ = call(proc.at, "POST", "/fault", &fault.to_string());
        }
        self.machines.insert(name.into(), proc);
        Ok(())
    }

    fn note(&mut self, act: &str, who: &str) {
        self.acts.write(json!({ "act": act, "who": who }));
    }

    fn act(&mut self, act: &Action) -> Result<(), String> {
        let now = monotonic_ns();
        let after = |ms: u64| now + ms as i64 * 1_000_000;
        match act {
            Action::Offer { build, bad } => {
                if let Some(bad) = bad {
                    self.bad.insert(*build, bad.clone());
                    if let Some(size) = bad.strip_prefix("shared:") {
                        self.shared = size.parse().unwrap_or(0.0);
                    }
                }
                if self.plan.agents {
                    self.add_build(*build, false)?;
                }
                let body = json!({ "build": build }).to_string();
                let _ = call(self.control_at, "POST", "/builds", &body);
                self.note("offer", &format!("build {build}"));
            }
            Action::DrainMachine(nth) => {
                let names: Vec<String> = self.machines().into_keys().collect();
                if let Some(name) = names.get(nth % names.len().max(1)) {
                    self.signal(name, Signal::TERM);
                    self.note("leave", name);
                }
            }
            Action::KillAgents { share, down_ms } => {
                let many = (share * self.agents.len() as f64).ceil() as usize;
                for place in 0..many {
                    if let Some(mut agent) = self.agents[place].take() {
                        agent.kill();
                        self.pending.push((after(*down_ms), Pending::StartAgent(place)));
                    }
                }
                self.note("kill", &format!("{many} agents"));
            }
            Action::KillFront { front, down_ms } => {
                let name = self.charter.fronts[*front].name.clone();
                self.note("kill", &name);
                self.fronts[*front] = None;
                self.pending.push((after(*down_ms), Pending::StartFront(*front)));
            }
            Action::StopFront { front, ms } => {
                if let Some(proc) = &self.fronts[*front] {
                    proc.signal(Signal::STOP);
                    let name = self.charter.fronts[*front].name.clone();
                    self.note("stop", &name);
                    self.pending.push((after(*ms), Pending::ContFront(*front)));
                }
            }
            Action::StopController { ms } => {
                if let Some(proc) = &self.controller {
                    proc.signal(Signal::STOP);
                    self.note("stop", "controller");
                    self.pending.push((after(*ms), Pending::ContController));
                }
            }
            Action::KillController { down_ms } => {
                self.note("kill", "controller");
                self.controller = None;
                self.pending.push((after(*down_ms), Pending::StartController));
            }
            Action::Vanish { machine, ms } => {
                let names: Vec<String> = self.machines().into_keys().collect();
                if let Some(name) = names.get(machine % names.len().max(1)).cloned() {
                    self.signal(&name, Signal::STOP);
                    self.note("vanish", &name);
                    self.pending.push((after(*ms), Pending::KillMachine(name)));
                }
            }
            Action::Fault { share, fault } => {
                let machines = self.machines();
                let many = (share * machines.len() as f64).ceil() as usize;
                self.note("fault", &fault.to_string());
                for (name, at) in machines.into_iter().take(many) {
                    let _ = call(at, "POST", "/fault", &self.behind(&name, fault).to_string());
                    self.faults.insert(name, fault.clone());
                }
                self.fault = (*share >= 1.0).then(|| fault.clone());
            }
            Action::Heal => {
                self.fault = None;
                self.faults.clear();
                self.note("heal", "all");
                for (name, at) in self.machines() {
                    let _ = call(at, "POST", "/fault", &self.behind(&name, &json!({})).to_string());
                }
            }
            Action::Load(load) => {
                self.note("load", &load.to_string());
                if let Some(clients) = &self.clients {
                    let _ = call(clients.at, "POST", "/load", &load.to_string());
                }
            }
            Action::Datagrams(carried) => {
                // The record keeps the names that it had before the type was renamed.
                let day::DatagramFaults { loss, duplication, max_delay_ms } = carried;
                let text =
                    format!("Carried {{ lost: {loss:?}, twice: {duplication:?}, late_ms: {max_delay_ms} }}");
                self.note(&text, "fronts");
                self.carried = *carried;
                self.links();
            }
            Action::Directory(back) => {
                self.note(if *back { "start" } else { "kill" }, "directory");
                if *back {
                    self.start_directory(true)?;
                    self.returned = Some(monotonic_ns());
                } else {
                    self.directory = None;
                }
            }
            Action::Storm { act, begins, .. } => self.storm(*act, *begins)?,
            Action::Partition(parted) => {
                self.note(if *parted { "part" } else { "join" }, "zones");
                let zones = self.charter.fronts.iter().map(|f| self.charter.zone_index(&f.zone));
                let zones = if *parted { zones.collect() } else { Vec::new() };
                self.zones = zones;
                self.links();
                self.parted = *parted;
                for (name, at) in self.machines() {
                    let fault = self.faults.get(&name).cloned().unwrap_or_else(|| json!({}));
                    let _ = call(at, "POST", "/fault", &self.behind(&name, &fault).to_string());
                }
            }
        }
        Ok(())
    }

    /// A machine's fault, and the fronts that a partition keeps from it.
    fn behind(&self, machine: &str, fault: &Value) -> Value {
        let mut fault = fault.clone();
        if self.parted {
            let place = machine.split("..").next().unwrap_or(machine);
            let zone = self.charter.places.iter().find(|p| p.name == place).map(|p| p.zone.as_str());
            let far = self.charter.fronts.iter().filter(|f| Some(f.zone.as_str()) != zone);
            fault["cut"] = far.map(|f| f.name.as_str()).collect();
        }
        fault
    }

    fn due(&mut self) -> Result<(), String> {
        let now = monotonic_ns();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|p| p.0 <= now);
        self.pending = later;
        for (_, pending) in due {
            match pending {
                Pending::StartFront(front) => {
                    self.start_front(front)?;
                    let name = self.charter.fronts[front].name.clone();
                    self.note("start", &name);
                }
                Pending::StartAgent(place) => self.start_agent(place)?,
                Pending::ContFront(front) => {
                    if let Some(proc) = &self.fronts[front] {
                        proc.signal(Signal::CONT);
                        let name = self.charter.fronts[front].name.clone();
                        self.note("cont", &name);
                    }
                }
                Pending::ContController => {
                    if let Some(proc) = &self.controller {
                        proc.signal(Signal::CONT);
                        self.note("cont", "controller");
                    }
                }
                Pending::StartController => {
                    self.start_controller()?;
                    self.note("start", "controller");
                }
                Pending::KillMachine(name) => {
                    self.signal(&name, Signal::KILL);
                    self.machines.remove(&name);
                    self.note("kill", &name);
                }
            }
        }
        Ok(())
    }

    /// A build that slows all machines in step with its traffic: as long as it runs, by its share.
    fn share_slowness(&mut self) {
        if self.shared <= 0.0 {
            return;
        }
        let machines = self.machines();
        let bad = |name: &String| self.bad.keys().any(|b| name.ends_with(&format!("..{b}")));
        let part = machines.keys().filter(|n| bad(n)).count() as f64 / machines.len().max(1) as f64;
        let fault = json!({ "slow": 1.0 + 2.0 * self.shared * part });
        for at in machines.into_values() {
            let _ = call(at, "POST", "/fault", &fault.to_string());
        }
    }

    fn day(&mut self, script: &[(f64, Action)], lasts: f64) -> Result<bool, String> {
        let stop = Arc::new(AtomicBool::new(false));
        let (at, file, flag) = (self.control_at, self.out.join("watch.jsonl"), stop.clone());
        let watcher = std::thread::spawn(move || watch::watch(at, &file, flag));
        let fronts: Vec<String> = self.front_at.iter().map(SocketAddr::to_string).collect();
        let record = self.out.join("clients.jsonl");
        let args = words(&[
            "client",
            "--controller",
            &self.control_at.to_string(),
            "--fronts",
            &fronts.join(","),
            "--rate",
            &self.plan.rate.to_string(),
            "--seconds",
            &lasts.to_string(),
            "--work-ms",
            &self.plan.work_ms.to_string(),
            "--record",
            &record.to_string_lossy(),
            "--seed",
            &self.plan.seed.to_string(),
        ]);
        if self.storm.is_some() {
            self.note("company", "fronts");
        }
        self.clients = Some(Proc::start(&args, &self.log("clients"))?);
        let began = monotonic_ns();
        self.say(&format!(
            "{} fronts, {} machines, {} RPCs/s for {lasts} s; record in {}",
            self.plan.fronts,
            self.plan.machines,
            self.plan.rate,
            self.out.display()
        ));
        let mut left = script.iter().peekable();
        let (mut told, mut slowed) = (0, began);
        let by = began + (lasts * SEC as f64) as i64 + END_WITHIN;
        loop {
            let now = monotonic_ns();
            let at = (now - began) as f64 / SEC as f64;
            while let Some((_, act)) = left.next_if(|(due, _)| *due <= at) {
                self.say(&format!("{at:5.1} s  {act:?}"));
                self.act(act)?;
            }
            self.due()?;
            self.host()?;
            self.look();
            if now - slowed > SEC {
                slowed = now;
                self.share_slowness();
            }
            if at as u64 / 5 > told {
                told = at as u64 / 5;
                self.progress(at);
            }
            if self.clients.as_mut().is_none_or(Proc::ended) {
                break;
            }
            if now > by {
                return Err("the clients did not come to an end".into());
            }
            std::thread::sleep(BEAT);
        }
        self.clients = None;
        // Machines finish what runs on them; then all may go.
        std::thread::sleep(Duration::from_millis(300));
        let mut differ = None;
        if self.storm.is_some() && !self.plan.alone {
            let evidence = judge::parse_records(&self.charter, &read_records(&self.out)?);
            let bound = judge::trial_answered_keys(&self.charter, &evidence);
            let by = monotonic_ns() + SETTLES;
            loop {
                differ = self.copies(&bound);
                if differ.is_none() || monotonic_ns() > by {
                    break;
                }
                std::thread::sleep(BEAT);
            }
            match &differ {
                None => println!(
                    "copies: all fronts hold the same, {} keys answered by a trial among them",
                    bound.len()
                ),
                Some(why) => println!("copies: {why}"),
            }
        }
        stop.store(true, Ordering::Relaxed);
        let _ = watcher.join();
        for proc in self.fronts.iter().flatten() {
            proc.signal(Signal::TERM);
        }
        self.machines.clear();
        self.end_agents();
        self.controller = None;
        self.fronts.iter_mut().for_each(|f| *f = None);
        let evidence = judge::parse_records(&self.charter, &read_records(&self.out)?);
        let judgement = judge::judge(&self.charter, &evidence);
        print_judgement(&judgement, "loopback");
        let mut good = judgement.breaches.is_empty() && differ.is_none();
        if let Some([_, control]) = self.books {
            let status = call(control, "GET", "/status", "")?;
            let status: Value = serde_json::from_slice(&status.body).unwrap_or(Value::Null);
            match self.in_force {
                Some(s) => println!(
                    "directory: changes in force at all {} fronts {s:.1} s after its return; \
                    {} binds in a second at most",
                    self.fronts.len(),
                    status["most_binds_a_second"]
                ),
                None => println!("directory: changes never came into force at all fronts"),
            }
            good &= self.in_force.is_some();
        }
        Ok(good)
    }

    /// Agents end with their builds.
    fn end_agents(&mut self) {
        self.agents.iter().flatten().for_each(|a| a.signal(Signal::TERM));
        for agent in self.agents.iter_mut().flatten() {
            let by = monotonic_ns() + 2 * SEC;
            while !agent.ended() && monotonic_ns() < by {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        self.agents.clear();
    }

    fn say(&self, text: &str) {
        if !self.plan.quiet {
            println!("{text}");
        }
    }

    fn progress(&self, at: f64) {
        if self.plan.quiet || self.still() {
            return;
        }
        let Ok(answer) = call(self.control_at, "GET", "/stage", "") else { return };
        let stage: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let machines = self.machines().len();
        println!(
            "{at:5.1} s  build {} stage {} {}; {machines} machines",
            stage["build"],
            stage["stage"],
            stage["phase"].as_str().unwrap_or("")
        );
    }
}

/// All records of a rehearsal's folder, as they were written.
///
/// # Errors
/// Names the file and the line that is none.
pub fn read_records(out: &Path) -> Result<RawRecords, String> {
    let mut evidence = RawRecords::default();
    let entries = std::fs::read_dir(out).map_err(|err| err.to_string())?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|e| e.path()).collect();
    files.sort();
    for file in files {
        let name = file.file_name().and_then(|n| n.to_str()).unwrap_or("").to_string();
        let into = match name.as_str() {
            "clients.jsonl" => &mut evidence.clients,
            "acts.jsonl" => &mut evidence.actions,
            "watch.jsonl" => &mut evidence.watch,
            _ if name.starts_with("machine-") && name.ends_with(".jsonl") => &mut evidence.machines,
            _ => continue,
        };
        let text = std::fs::read(&file).map_err(|err| err.to_string())?;
        let lines: Vec<&[u8]> = text.split(|b| *b == b'\n').filter(|l| !l.is_empty()).collect();
        for (i, line) in lines.iter().enumerate() {
            match serde_json::from_slice(line) {
                Ok(value) => into.push(value),
                // A killed machine may leave its last line torn; any other must be whole.
                Err(_) if i + 1 == lines.len() && name.starts_with("machine-") => {}
                Err(err) => return Err(format!("{name}, line {}: {err}", i + 1)),
            }
        }
    }
    Ok(evidence)
}

/// Prints stages, the table of methods, and breaches; `how` says where the figures come from.
pub fn print_judgement(judgement: &Judgement, how: &str) {
    println!("\nstages as told:");
    for (at, build, stage, phase) in &judgement.stages {
        println!("{:6.1} s  build {build} stage {stage} {phase}", *at as f64 / SEC as f64);
    }
    println!(
        "\n{:<10} {:>7} {:>7} {:>8} {:>12} {:>8} {:>11} {:>7}",
        "method", "RPCs", "ok", "in time", "pushed back", "aborted", "unanswered", "picks"
    );
    for (method, r) in &judgement.methods {
        println!(
            "{method:<10} {:>7} {:>7} {:>8} {:>12} {:>8} {:>11} {:>7}",
            r.rpcs, r.ok, r.in_time, r.pushed_back, r.aborted, r.unanswered, r.picks
        );
    }
    println!("\nservice {:.3} (utility within the soft deadline over utility asked for, {how}); {} picks at builds on trial",
        judgement.service, judgement.trial_picks);
    let many = judgement.breaches.len();
    for rule in 1..=5u8 {
        let ours: Vec<&judge::Breach> = judgement.breaches.iter().filter(|b| b.rule == rule).collect();
        ours.iter().take(SHOWN).for_each(|b| println!("rule {rule}: {}", b.description));
        if ours.len() > SHOWN {
            println!("rule {rule}: ... and {} more", ours.len() - SHOWN);
        }
    }
    match many {
        0 => println!("rules: kept"),
        n => println!("rules: broken {n}"),
    }
}
