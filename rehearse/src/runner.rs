//! Runs a rehearsal: starts its processes, stops and kills them by the script, starts the machines that the controller wants,
//! and checks the rules at the end.
use crate::day::{self, Action, Plan};
use crate::directory;
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
/// How often the main loop runs.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often the controller is asked which machines it wants.
const WANTED_INTERVAL: i64 = SEC / 4;
/// The delay before a machine's process is started, which stands for the boot time of a build.
const BOOT_DELAY: i64 = SEC / 2;
/// All fronts and machines must be up within this.
const STARTUP_TIMEOUT: i64 = 20 * SEC;
/// On a peers day: the probe period of fronts, and how long after the day they may take to hold equal copies.
const PROBE_PERIOD_MS: u64 = 100;
const SETTLE_TIMEOUT: i64 = 20 * SEC;
/// The most breaches printed of each rule.
const MAX_PRINTED_BREACHES: usize = 8;
/// Time after the last arrival in which clients must end: the longest deadline and a margin.
const END_TIMEOUT: i64 = 12 * SEC;

struct Proc {
    child: Child,
    at: SocketAddr,
}

impl Drop for Rehearsal {
    fn drop(&mut self) {
        self.end_agents();
    }
}

impl Proc {
    fn start(args: &[String], log: &Path) -> Result<Proc, String> {
        Proc::start_with_env(args, log, &[])
    }

    fn start_with_env(args: &[String], log: &Path, env: &[(&str, PathBuf)]) -> Result<Proc, String> {
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
            // Reads and discards the rest of the output, so that the pipe does not fill up.
            std::thread::spawn(move || {
                let mut rest = String::new();
                while out.read_line(&mut rest).is_ok_and(|n| n > 0) {
                    rest.clear();
                }
            });
        }
        // An agent has no listener.
        let no_address = (line.trim() == "agent up").then_some(SocketAddr::from(([127, 0, 0, 1], 0)));
        let at = line.trim().strip_prefix("listening ").and_then(|at| at.parse().ok()).or(no_address);
        match at {
            Some(at) => Ok(Proc { child, at }),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                Err(format!("'rockpick {}' did not start", args.join(" ")))
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

    fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Rehearsal {
    plan: Plan,
    settings: Settings,
    out: PathBuf,
    actions: Record,
    controller: Option<Proc>,
    control_at: SocketAddr,
    fronts: Vec<Option<Proc>>,
    front_at: Vec<SocketAddr>,
    machines: BTreeMap<String, Proc>,
    clients: Option<Proc>,
    /// By place; empty unless agents start the builds.
    agents: Vec<Option<Proc>>,
    /// When the process of each machine that is booting starts.
    booting: BTreeMap<(String, u32), i64>,
    bad: BTreeMap<u32, String>,
    fault: Option<Value>,
    /// The fault that was injected at each machine.
    faults: BTreeMap<String, Value>,
    partitioned: bool,
    /// How much a bad build slows all machines by its share of them.
    shared: f64,
    /// Relays datagrams between fronts; it has a seat for the notes of each front (datagrams outside the peer protocol), then
    /// a seat for the peer protocol of each.
    relay: Relay,
    /// The faults of datagrams, and the fronts' zones during a partition.
    datagram_faults: day::DatagramFaults,
    zones: Vec<u32>,
    /// The storm of a peers day, its active faults, and how many of them stop or keep down each front.
    storm: Option<rockpick_fault_injection::Plan>,
    active: Vec<usize>,
    stopped: Vec<u32>,
    down: Vec<u32>,
    wanted_asked_at: i64,
    pending: Vec<(i64, Pending)>,
    warm: bool,
    starts: u64,
    /// The directory: its addresses, its process, when it came back, and after how many seconds all fronts had its changes.
    directory_at: Option<[SocketAddr; 2]>,
    directory: Option<Proc>,
    directory_back_at: Option<i64>,
    changes_after_s: Option<f64>,
    directory_checked_at: i64,
}

enum Pending {
    StartFront(usize),
    ContFront(usize),
    ContController,
    StartController,
    KillMachine(String),
    StartAgent(usize),
}

fn strings(args: &[&str]) -> Vec<String> {
    args.iter().map(|a| a.to_string()).collect()
}

pub fn run(plan: Plan) -> Result<bool, String> {
    if plan.trouble.iter().any(|t| t == "list") {
        day::TROUBLES.iter().for_each(|(name, what)| println!("{name:<15} {what}"));
        return Ok(true);
    }
    plan.check()?;
    if plan.fronts > 200 || plan.machines > 500 || plan.rate > 1e5 {
        return Err(
            "on loopback, at most --fronts 200, --machines 500 and --rate 100000 are supported".into()
        );
    }
    let (script, seconds) = day::script(&plan)?;
    let settings = day::settings(&plan)?;
    let out = plan.out.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!(
            "rockpick-rehearsal-{}-{}",
            std::process::id(),
            monotonic_ns() / SEC
        ))
    });
    crate::create_folder(&out)?;
    let text = serde_json::to_string(&plan).map_err(|err| err.to_string())?;
    std::fs::write(out.join("plan.json"), text).map_err(|err| format!("plan.json: {err}"))?;
    let mut rehearsal = Rehearsal::start(plan, settings, out)?;
    rehearsal.run_day(&script, seconds)
}

impl Rehearsal {
    fn log(&self, name: &str) -> PathBuf {
        self.out.join(format!("{name}.log"))
    }

    fn start(plan: Plan, settings: Settings, out: PathBuf) -> Result<Rehearsal, String> {
        let describe = |err: std::io::Error| err.to_string();
        let actions = Record::open(Some(&out.join("acts.jsonl"))).map_err(describe)?;
        let relay = Relay::start(2 * plan.fronts, plan.seed).map_err(describe)?;
        let storm = plan.is_peers_day().then(|| day::storm(&plan));
        if let Some(storm) = &storm {
            std::fs::write(out.join("storm.jsonl"), storm.write()).map_err(describe)?;
            std::fs::write(out.join("peers.key"), "the key of a rehearsal's fronts").map_err(describe)?;
        }
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut rehearsal = Rehearsal {
            stopped: vec![0; plan.fronts],
            down: vec![0; plan.fronts],
            fronts: (0..plan.fronts).map(|_| None).collect(),
            front_at: vec![unset; plan.fronts],
            plan,
            settings,
            out,
            actions,
            controller: None,
            control_at: unset,
            machines: BTreeMap::new(),
            clients: None,
            agents: Vec::new(),
            booting: BTreeMap::new(),
            bad: BTreeMap::new(),
            fault: None,
            shared: 0.0,
            relay,
            datagram_faults: day::DatagramFaults::default(),
            zones: Vec::new(),
            storm,
            active: Vec::new(),
            faults: BTreeMap::new(),
            partitioned: false,
            wanted_asked_at: 0,
            pending: Vec::new(),
            warm: true,
            starts: 0,
            directory_at: None,
            directory: None,
            directory_back_at: None,
            changes_after_s: None,
            directory_checked_at: 0,
        };
        if rehearsal.plan.day == "directory" && rehearsal.plan.trouble.is_empty() {
            let at = directory::reserve_addresses().map_err(describe)?;
            rehearsal.settings.directory = Some(directory::settings(at[0]));
            rehearsal.directory_at = Some(at);
            rehearsal.start_directory(false)?;
        }
        if rehearsal.plan.agents {
            rehearsal.make_repo()?;
        }
        rehearsal.start_controller()?;
        let settings_json = serde_json::to_string(&rehearsal.settings).map_err(|err| err.to_string())?;
        let put = call(rehearsal.control_at, "PUT", "/settings", &settings_json)?;
        if put.status != 200 {
            return Err(format!("settings: {}", String::from_utf8_lossy(&put.body)));
        }
        for front in 0..rehearsal.fronts.len() {
            rehearsal.start_front(front)?;
        }
        if rehearsal.plan.agents {
            rehearsal.agents = (0..rehearsal.plan.machines).map(|_| None).collect();
            for place in 0..rehearsal.plan.machines {
                rehearsal.start_agent(place)?;
            }
        }
        let by = monotonic_ns() + STARTUP_TIMEOUT;
        loop {
            rehearsal.start_wanted_machines()?;
            let status = call(rehearsal.control_at, "GET", "/status", "")?;
            let status: Value = serde_json::from_slice(&status.body).unwrap_or(Value::Null);
            let up = status["machines"].as_array().map_or(0, Vec::len);
            let watching = status["watching"].as_array().map_or(0, Vec::len);
            if up >= rehearsal.plan.machines && watching >= rehearsal.plan.fronts {
                break;
            }
            if monotonic_ns() > by {
                return Err(format!("only {up} machines and {watching} fronts came up in time"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        rehearsal.warm = false;
        Ok(rehearsal)
    }

    fn start_directory(&mut self, back: bool) -> Result<(), String> {
        let Some([at, control]) = self.directory_at else { return Ok(()) };
        let args = strings(&["directory", "--listen", &at.to_string(), "--control", &control.to_string()]);
        let proc = Proc::start(&args, &self.log("directory"))?;
        let put = call(control, "POST", "/entries", &directory::entries(back).to_string())?;
        if put.status != 200 {
            return Err(format!("the directory's entries: {}", String::from_utf8_lossy(&put.body)));
        }
        self.directory = Some(proc);
        Ok(())
    }

    /// Records when all fronts have the changes with which the directory came back.
    fn check_directory(&mut self) {
        let now = monotonic_ns();
        let Some(returned) = self
            .directory_back_at
            .filter(|_| self.changes_after_s.is_none() && now - self.directory_checked_at > SEC / 5)
        else {
            return;
        };
        self.directory_checked_at = now;
        let has_changes = |at: &SocketAddr| {
            let Ok(answer) = call(*at, "GET", "/status", "") else { return false };
            let status: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
            let directory = &status["directory"];
            directory["tenants"] == directory::TENANTS_AFTER && directory["settled"] == true
        };
        if self.front_at.iter().all(has_changes) {
            self.changes_after_s = Some((now - returned) as f64 / SEC as f64);
        }
    }

    fn start_controller(&mut self) -> Result<(), String> {
        let state = self.out.join("controller");
        let mut args = strings(&[
            "controller",
            "--listen",
            &self.control_at.to_string(),
            "--state",
            &state.to_string_lossy(),
            "--log",
            "json",
        ]);
        if self.plan.agents {
            args.extend(strings(&["--repo", &self.out.join("repo").to_string_lossy()]));
        }
        let proc = Proc::start(&args, &self.log("controller"))?;
        self.control_at = proc.at;
        self.controller = Some(proc);
        Ok(())
    }

    fn start_front(&mut self, front: usize) -> Result<(), String> {
        let name = self.settings.fronts[front].name.clone();
        let (listen, controller) = (self.front_at[front].to_string(), self.control_at.to_string());
        let seed = (self.plan.seed.wrapping_mul(1_000) + front as u64 + self.starts * 7_919).to_string();
        self.starts += 1;
        let state = self.out.join(&name);
        let (state, notes) = (state.to_string_lossy().into_owned(), self.relay.addresses[front].to_string());
        let mut args = match self.plan.faulty {
            Some(rule) => strings(&[
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
            None => strings(&[
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
            args.extend(strings(&["--disk-lies", &lies.to_string_lossy()]));
            args.push(format!("--clock-ppm={}", day::clock_ppm(&self.plan, front)));
        }
        let peered = self.storm.is_some() && !self.plan.alone;
        let seat = |front: usize| self.relay.addresses[self.plan.fronts + front].to_string();
        if peered {
            let others: Vec<String> =
                (0..self.plan.fronts).filter(|i| *i != front).take(3).map(seat).collect();
            let key = self.out.join("peers.key");
            args.extend(strings(&["--peers-listen", "127.0.0.1:0", "--peers-at", &seat(front)]));
            args.extend(strings(&["--peers", &others.join(","), "--peers-key", &key.to_string_lossy()]));
            args.extend(strings(&["--peers-period-ms", &PROBE_PERIOD_MS.to_string()]));
        }
        let proc = Proc::start(&args, &self.log(&name))?;
        self.front_at[front] = proc.at;
        self.fronts[front] = Some(proc);
        // Sets the front's real addresses in the relay; other fronts only know the relay's seats.
        let address = |target: &str, field: &str| -> Option<SocketAddr> {
            let answer = call(self.front_at[front], "GET", target, "").ok()?;
            serde_json::from_slice::<Value>(&answer.body).ok()?[field].as_str()?.parse().ok()
        };
        if let Some(at) = address("/status", "notes") {
            self.relay.set_address(front, at);
        }
        if let (true, Some(at)) = (peered, address("/peers", "listen")) {
            self.relay.set_address(self.plan.fronts + front, at);
        }
        Ok(())
    }

    /// Sets the faults of each link between fronts, for both kinds of datagrams.
    fn apply_link_faults(&self) {
        let fronts = self.plan.fronts;
        let base = LinkConditions {
            lost: self.datagram_faults.loss,
            doubled: self.datagram_faults.duplication,
            jitter: self.datagram_faults.max_delay_ms as i64 * 1_000_000,
            ..LinkConditions::default()
        };
        for (from, to) in (0..fronts).flat_map(|a| (0..fronts).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            let partition = LinkConditions {
                cut: self.zones.get(from) != self.zones.get(to),
                ..LinkConditions::default()
            };
            let storm = self.storm.as_ref().map_or(base, |s| s.way(&self.active, from, to, base));
            let way = storm.with(&partition);
            self.relay.set_link(from, to, way);
            self.relay.set_link(fronts + from, fronts + to, way);
        }
    }

    /// Begins or ends a fault of the storm.
    fn apply_storm_fault(&mut self, act: usize, begins: bool) -> Result<(), String> {
        let Some(fault) = self.storm.as_ref().map(|s| s.acts[act].fault.clone()) else { return Ok(()) };
        self.active.retain(|i| *i != act);
        if begins {
            self.active.push(act);
        }
        let count = |n: &mut u32| *n = if begins { *n + 1 } else { n.saturating_sub(1) };
        match fault {
            Fault::Links { .. } => {
                self.apply_link_faults();
                self.record(if begins { "cut" } else { "join" }, &format!("link {act}"));
            }
            Fault::Stop { who } => {
                count(&mut self.stopped[who]);
                self.apply_stop(who);
            }
            Fault::Kill { who, back } => {
                count(&mut self.down[who]);
                self.apply_kill(who, begins, back)?;
            }
            // A front that leaves would have to announce that to its clients; here it is killed.
            Fault::Leave { who } => {
                count(&mut self.down[who]);
                self.apply_kill(who, begins, RestartState::Same)?;
            }
            Fault::Disk { who, how } => {
                let name = self.settings.fronts[who].name.clone();
                let text = if begins { how.as_str() } else { "" };
                std::fs::write(self.out.join(format!("{name}.lies")), text).map_err(|err| err.to_string())?;
                self.record(&format!("disk {text}"), &name);
            }
            Fault::Clock { .. } => {}
        }
        Ok(())
    }

    /// Stops or continues a front's process, depending on whether any active fault stops it.
    fn apply_stop(&mut self, who: usize) {
        let stopped = self.stopped[who] > 0;
        if let Some(proc) = &self.fronts[who] {
            proc.signal(if stopped { Signal::STOP } else { Signal::CONT });
            let name = self.settings.fronts[who].name.clone();
            self.record(if stopped { "stop" } else { "cont" }, &name);
        }
    }

    fn apply_kill(&mut self, who: usize, begins: bool, back: RestartState) -> Result<(), String> {
        let name = self.settings.fronts[who].name.clone();
        let files = ["json", "peers.rows"].map(|kind| {
            let file = self.out.join(&name).join(format!("{name}.{kind}"));
            (file, self.out.join(format!("{name}.{kind}.former")))
        });
        if begins {
            if self.fronts[who].is_none() {
                return Ok(());
            }
            if self.stopped[who] > 0 {
                self.record("cont", &name);
            }
            self.record("kill", &name);
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
            self.record("start", &name);
            // A later fault may restore this state as the former content of the folder.
            files.iter().for_each(|(file, former)| drop(std::fs::copy(file, former)));
            if self.stopped[who] > 0 {
                self.apply_stop(who);
            }
        }
        Ok(())
    }

    /// The first difference between the fronts' copies after the day, or between them and the keys that machines on trial have
    /// answered.
    fn copy_difference(&self, bound: &BTreeMap<u64, u32>) -> Option<String> {
        let mut whole: Vec<Value> = Vec::new();
        for (at, front) in self.front_at.iter().zip(&self.settings.fronts) {
            let answer = call(*at, "GET", "/peers", "").ok();
            let shown: Value =
                answer.and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or(Value::Null);
            if shown["copies"]["whole"].as_array().is_none_or(|w| w.len() < 5) {
                return Some(format!("{} is incomplete", front.name));
            }
            whole.push(shown["copies"]["digests"].clone());
        }
        if let Some(at) = whole.iter().position(|d| *d != whole[0]) {
            return Some(format!(
                "{} and {} differ",
                self.settings.fronts[0].name, self.settings.fronts[at].name
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
            format!("key {key} was answered by build {build}, but the fronts hold {:?}", held.get(key))
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
        self.add_build(self.settings.first_build, true)
    }

    /// Adds a signed build to the repository: a script that executes a stand-in machine.
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
        let name = self.settings.places[place].name.clone();
        let state = self.out.join("agents").join(&name);
        let root = self.out.join("repo").join("metadata").join("1.root.json");
        let seed = (self.plan.seed + self.starts * 104_729).to_string();
        self.starts += 1;
        let args = strings(&[
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
        self.agents[place] = Some(Proc::start_with_env(&args, &self.log("agents"), &env)?);
        Ok(())
    }

    /// The addresses of the machines: of own child processes, or from the roster if agents run them.
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

    /// Signals a machine's process: a child process, or the one whose pid its agent has stored.
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

    fn controller_is_down(&self) -> bool {
        self.pending.iter().any(|(_, p)| matches!(p, Pending::ContController | Pending::StartController))
    }

    /// Starts the machines that the controller wants and that don't run; forgets those that have ended.
    fn start_wanted_machines(&mut self) -> Result<(), String> {
        let now = monotonic_ns();
        self.machines.retain(|_, m| !m.has_ended());
        if self.plan.agents || now - self.wanted_asked_at < WANTED_INTERVAL {
            return Ok(());
        }
        self.wanted_asked_at = now;
        // Machines are not started while the controller is down.
        if self.controller_is_down() {
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
            let due = *self
                .booting
                .entry((place.clone(), build))
                .or_insert(now + if self.warm { 0 } else { BOOT_DELAY });
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
        let mut args = strings(&[
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
        let fault = self.with_partition(name, self.fault.as_ref().unwrap_or(&json!({})));
        if fault != json!({}) {
            let _ = call(proc.at, "POST", "/fault", &fault.to_string());
        }
        self.machines.insert(name.into(), proc);
        Ok(())
    }

    fn record(&mut self, act: &str, who: &str) {
        self.actions.write(json!({ "act": act, "who": who }));
    }

    fn perform(&mut self, act: &Action) -> Result<(), String> {
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
                self.record("offer", &format!("build {build}"));
            }
            Action::DrainMachine(nth) => {
                let names: Vec<String> = self.machines().into_keys().collect();
                if let Some(name) = names.get(nth % names.len().max(1)) {
                    self.signal(name, Signal::TERM);
                    self.record("leave", name);
                }
            }
            Action::KillAgents { share, down_ms } => {
                let count = (share * self.agents.len() as f64).ceil() as usize;
                for place in 0..count {
                    if let Some(mut agent) = self.agents[place].take() {
                        agent.kill();
                        self.pending.push((after(*down_ms), Pending::StartAgent(place)));
                    }
                }
                self.record("kill", &format!("{count} agents"));
            }
            Action::KillFront { front, down_ms } => {
                let name = self.settings.fronts[*front].name.clone();
                self.record("kill", &name);
                self.fronts[*front] = None;
                self.pending.push((after(*down_ms), Pending::StartFront(*front)));
            }
            Action::StopFront { front, ms } => {
                if let Some(proc) = &self.fronts[*front] {
                    proc.signal(Signal::STOP);
                    let name = self.settings.fronts[*front].name.clone();
                    self.record("stop", &name);
                    self.pending.push((after(*ms), Pending::ContFront(*front)));
                }
            }
            Action::StopController { ms } => {
                if let Some(proc) = &self.controller {
                    proc.signal(Signal::STOP);
                    self.record("stop", "controller");
                    self.pending.push((after(*ms), Pending::ContController));
                }
            }
            Action::KillController { down_ms } => {
                self.record("kill", "controller");
                self.controller = None;
                self.pending.push((after(*down_ms), Pending::StartController));
            }
            Action::Vanish { machine, ms } => {
                let names: Vec<String> = self.machines().into_keys().collect();
                if let Some(name) = names.get(machine % names.len().max(1)).cloned() {
                    self.signal(&name, Signal::STOP);
                    self.record("vanish", &name);
                    self.pending.push((after(*ms), Pending::KillMachine(name)));
                }
            }
            Action::Fault { share, fault } => {
                let machines = self.machines();
                let count = (share * machines.len() as f64).ceil() as usize;
                self.record("fault", &fault.to_string());
                for (name, at) in machines.into_iter().take(count) {
                    let _ = call(at, "POST", "/fault", &self.with_partition(&name, fault).to_string());
                    self.faults.insert(name, fault.clone());
                }
                self.fault = (*share >= 1.0).then(|| fault.clone());
            }
            Action::Heal => {
                self.fault = None;
                self.faults.clear();
                self.record("heal", "all");
                for (name, at) in self.machines() {
                    let _ = call(at, "POST", "/fault", &self.with_partition(&name, &json!({})).to_string());
                }
            }
            Action::Load(load) => {
                self.record("load", &load.to_string());
                if let Some(clients) = &self.clients {
                    let _ = call(clients.at, "POST", "/load", &load.to_string());
                }
            }
            Action::Datagrams(faults) => {
                // The record keeps the names that it had before the type was renamed.
                let day::DatagramFaults { loss, duplication, max_delay_ms } = faults;
                let text =
                    format!("Carried {{ lost: {loss:?}, twice: {duplication:?}, late_ms: {max_delay_ms} }}");
                self.record(&text, "fronts");
                self.datagram_faults = *faults;
                self.apply_link_faults();
            }
            Action::Directory(back) => {
                self.record(if *back { "start" } else { "kill" }, "directory");
                if *back {
                    self.start_directory(true)?;
                    self.directory_back_at = Some(monotonic_ns());
                } else {
                    self.directory = None;
                }
            }
            Action::Storm { act, begins, .. } => self.apply_storm_fault(*act, *begins)?,
            Action::Partition(begins) => {
                self.record(if *begins { "part" } else { "join" }, "zones");
                let zones = self.settings.fronts.iter().map(|f| self.settings.zone_index(&f.zone));
                let zones = if *begins { zones.collect() } else { Vec::new() };
                self.zones = zones;
                self.apply_link_faults();
                self.partitioned = *begins;
                for (name, at) in self.machines() {
                    let fault = self.faults.get(&name).cloned().unwrap_or_else(|| json!({}));
                    let _ = call(at, "POST", "/fault", &self.with_partition(&name, &fault).to_string());
                }
            }
        }
        Ok(())
    }

    /// A machine's fault, with the fronts that a partition cuts off from it.
    fn with_partition(&self, machine: &str, fault: &Value) -> Value {
        let mut fault = fault.clone();
        if self.partitioned {
            let place = machine.split("..").next().unwrap_or(machine);
            let zone = self.settings.places.iter().find(|p| p.name == place).map(|p| p.zone.as_str());
            let far = self.settings.fronts.iter().filter(|f| Some(f.zone.as_str()) != zone);
            fault["cut"] = far.map(|f| f.name.as_str()).collect();
        }
        fault
    }

    fn run_due(&mut self) -> Result<(), String> {
        let now = monotonic_ns();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|p| p.0 <= now);
        self.pending = later;
        for (_, pending) in due {
            match pending {
                Pending::StartFront(front) => {
                    self.start_front(front)?;
                    let name = self.settings.fronts[front].name.clone();
                    self.record("start", &name);
                }
                Pending::StartAgent(place) => self.start_agent(place)?,
                Pending::ContFront(front) => {
                    if let Some(proc) = &self.fronts[front] {
                        proc.signal(Signal::CONT);
                        let name = self.settings.fronts[front].name.clone();
                        self.record("cont", &name);
                    }
                }
                Pending::ContController => {
                    if let Some(proc) = &self.controller {
                        proc.signal(Signal::CONT);
                        self.record("cont", "controller");
                    }
                }
                Pending::StartController => {
                    self.start_controller()?;
                    self.record("start", "controller");
                }
                Pending::KillMachine(name) => {
                    self.signal(&name, Signal::KILL);
                    self.machines.remove(&name);
                    self.record("kill", &name);
                }
            }
        }
        Ok(())
    }

    /// Slows all machines by the share of them that runs a bad build of kind `shared`.
    fn apply_shared_slowness(&mut self) {
        if self.shared <= 0.0 {
            return;
        }
        let machines = self.machines();
        let bad = |name: &String| self.bad.keys().any(|b| name.ends_with(&format!("..{b}")));
        let share = machines.keys().filter(|n| bad(n)).count() as f64 / machines.len().max(1) as f64;
        let fault = json!({ "slow": 1.0 + 2.0 * self.shared * share });
        for at in machines.into_values() {
            let _ = call(at, "POST", "/fault", &fault.to_string());
        }
    }

    fn run_day(&mut self, script: &[(f64, Action)], seconds: f64) -> Result<bool, String> {
        let stop = Arc::new(AtomicBool::new(false));
        let (at, file, flag) = (self.control_at, self.out.join("watch.jsonl"), stop.clone());
        let watcher = std::thread::spawn(move || watch::watch(at, &file, flag));
        let fronts: Vec<String> = self.front_at.iter().map(SocketAddr::to_string).collect();
        let record = self.out.join("clients.jsonl");
        let args = strings(&[
            "client",
            "--controller",
            &self.control_at.to_string(),
            "--fronts",
            &fronts.join(","),
            "--rate",
            &self.plan.rate.to_string(),
            "--seconds",
            &seconds.to_string(),
            "--work-ms",
            &self.plan.work_ms.to_string(),
            "--record",
            &record.to_string_lossy(),
            "--seed",
            &self.plan.seed.to_string(),
        ]);
        if self.storm.is_some() {
            self.record("company", "fronts");
        }
        self.clients = Some(Proc::start(&args, &self.log("clients"))?);
        let began = monotonic_ns();
        self.print(&format!(
            "{} fronts, {} machines, {} RPCs/s for {seconds} s; record in {}",
            self.plan.fronts,
            self.plan.machines,
            self.plan.rate,
            self.out.display()
        ));
        let mut remaining = script.iter().peekable();
        let (mut printed, mut slowed) = (0, began);
        let by = began + (seconds * SEC as f64) as i64 + END_TIMEOUT;
        loop {
            let now = monotonic_ns();
            let at = (now - began) as f64 / SEC as f64;
            while let Some((_, act)) = remaining.next_if(|(due, _)| *due <= at) {
                self.print(&format!("{at:5.1} s  {act:?}"));
                self.perform(act)?;
            }
            self.run_due()?;
            self.start_wanted_machines()?;
            self.check_directory();
            if now - slowed > SEC {
                slowed = now;
                self.apply_shared_slowness();
            }
            if at as u64 / 5 > printed {
                printed = at as u64 / 5;
                self.progress(at);
            }
            if self.clients.as_mut().is_none_or(Proc::has_ended) {
                break;
            }
            if now > by {
                return Err("the clients did not end in time".into());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.clients = None;
        // Gives machines time to finish their RPCs before all processes are ended.
        std::thread::sleep(Duration::from_millis(300));
        let mut differ = None;
        if self.storm.is_some() && !self.plan.alone {
            let evidence = judge::parse_records(&self.settings, &read_records(&self.out)?);
            let bound = judge::trial_answered_keys(&self.settings, &evidence);
            let by = monotonic_ns() + SETTLE_TIMEOUT;
            loop {
                differ = self.copy_difference(&bound);
                if differ.is_none() || monotonic_ns() > by {
                    break;
                }
                std::thread::sleep(POLL_INTERVAL);
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
        let evidence = judge::parse_records(&self.settings, &read_records(&self.out)?);
        let judgement = judge::judge(&self.settings, &evidence);
        print_judgement(&judgement, "loopback");
        let mut good = judgement.breaches.is_empty() && differ.is_none();
        if let Some([_, control]) = self.directory_at {
            let status = call(control, "GET", "/status", "")?;
            let status: Value = serde_json::from_slice(&status.body).unwrap_or(Value::Null);
            match self.changes_after_s {
                Some(s) => println!(
                    "directory: changes in force at all {} fronts {s:.1} s after its return; \
                    {} binds in a second at most",
                    self.fronts.len(),
                    status["most_binds_a_second"]
                ),
                None => println!("directory: its changes did not come into force at all fronts"),
            }
            good &= self.changes_after_s.is_some();
        }
        Ok(good)
    }

    /// Ends the agents, which end their builds.
    fn end_agents(&mut self) {
        self.agents.iter().flatten().for_each(|a| a.signal(Signal::TERM));
        for agent in self.agents.iter_mut().flatten() {
            let by = monotonic_ns() + 2 * SEC;
            while !agent.has_ended() && monotonic_ns() < by {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        self.agents.clear();
    }

    fn print(&self, text: &str) {
        if !self.plan.quiet {
            println!("{text}");
        }
    }

    fn progress(&self, at: f64) {
        if self.plan.quiet || self.controller_is_down() {
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

/// Reads all records of a rehearsal's folder.
///
/// # Errors
/// Names the file and line that can't be parsed.
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
                // A killed machine may leave an incomplete last line; all other lines must be complete.
                Err(_) if i + 1 == lines.len() && name.starts_with("machine-") => {}
                Err(err) => return Err(format!("{name}, line {}: {err}", i + 1)),
            }
        }
    }
    Ok(evidence)
}

/// Prints stages, outcomes by method, and breaches; `how` says how the day was run, such as on loopback.
pub fn print_judgement(judgement: &Judgement, how: &str) {
    println!("\nstages as announced:");
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
    println!("\nservice {:.3} (utility served within the soft deadline over utility requested, {how}); {} picks at builds on trial",
        judgement.service, judgement.trial_picks);
    let many = judgement.breaches.len();
    for rule in 1..=5u8 {
        let of_rule: Vec<&judge::Breach> = judgement.breaches.iter().filter(|b| b.rule == rule).collect();
        of_rule.iter().take(MAX_PRINTED_BREACHES).for_each(|b| println!("rule {rule}: {}", b.description));
        if of_rule.len() > MAX_PRINTED_BREACHES {
            println!("rule {rule}: ... and {} more", of_rule.len() - MAX_PRINTED_BREACHES);
        }
    }
    match many {
        0 => println!("rules: kept"),
        n => println!("rules: broken {n}"),
    }
}
