//! `rockpick storm`: injects planned faults between peered front processes. This process starts and stops the fronts, so
//! it knows which of them run, and compares what each front reports about the others with that.
use crate::CliError;
use rockpick_fault_injection::plan::PlanLimits;
use rockpick_fault_injection::relay::Relay;
use rockpick_fault_injection::{Fault, LinkConditions, Plan};
use rockpick_net::SEC;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Probe period of the fronts; a suspicion then lasts 0.5 to 3 s.
const PROBE_PERIOD_MS: u64 = 100;
/// Time limit for the fronts to converge after the last fault: the longest suspicion, the slow probes that find members
/// declared gone, and a full exchange.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of runs to reduce a failing plan.
const MAX_SHRINK_RUNS: usize = 20;
const GROUP_KEY: &str = "the key of a storm's fronts";

pub struct Storms {
    pub fronts: usize,
    pub first: u64,
    pub seeds: u64,
    pub lanes: usize,
    pub plan: Option<Plan>,
    /// Reduce the first failing plan.
    pub shrink: bool,
}

/// The result of a storm that passed.
struct Outcome {
    /// Time from the last fault until all fronts agreed.
    convergence: Duration,
}

/// The bounds within which plans are generated.
fn plan_range(fronts: usize) -> PlanLimits {
    PlanLimits {
        max_faults: 8,
        parts: fronts,
        fault_window: 6 * SEC,
        max_duration: 4 * SEC,
        settle_time: 0,
        kills: true,
        // Processes read the system clock, which can't be skewed here.
        clocks: false,
        // The fronts store nothing about peers.
        disks: &[],
    }
}

impl Storms {
    /// Runs the storms; returns whether the fronts converged after all of them.
    pub fn run(self) -> Result<bool, CliError> {
        if let Some(plan) = &self.plan {
            let result = run_plan(plan);
            match &result {
                Ok(outcome) => {
                    println!("all agreed {} ms after the last fault", outcome.convergence.as_millis());
                }
                Err(why) => println!("broken: {why}"),
            }
            return Ok(result.is_ok());
        }
        let next = AtomicU64::new(self.first);
        let (convergence_ms, failures) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
        std::thread::scope(|scope| {
            for _ in 0..self.lanes.max(1) {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= self.first + self.seeds {
                        break;
                    }
                    let plan = Plan::draw(seed, plan_range(self.fronts));
                    match run_plan(&plan) {
                        Ok(outcome) => lock(&convergence_ms).push(outcome.convergence.as_millis() as u64),
                        Err(why) => lock(&failures).push((seed, why, plan)),
                    }
                });
            }
        });
        let mut convergence_ms = convergence_ms.into_inner().unwrap_or_default();
        convergence_ms.sort_unstable();
        let quantile = |q: f64| {
            convergence_ms.get(((convergence_ms.len().max(1) - 1) as f64 * q) as usize).copied().unwrap_or(0)
        };
        println!(
            "{} storms on {} fronts: {} broken; after the last fault all agreed within {} ms (p50), {} ms (p99), {} ms (max)",
            self.seeds,
            self.fronts,
            lock(&failures).len(),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
        let failures = failures.into_inner().unwrap_or_default();
        for (seed, why, _) in &failures {
            println!("seed {seed}: {why}");
        }
        if let Some((seed, _, plan)) = failures.first().filter(|_| self.shrink) {
            println!("seed {seed}, reduced plan:");
            print!(
                "{}",
                rockpick_fault_injection::shrink(plan, MAX_SHRINK_RUNS, |plan| run_plan(plan).is_err())
                    .write()
            );
        }
        Ok(failures.is_empty())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// One front of the storm.
struct FrontProcess {
    child: Option<Child>,
    address: Option<SocketAddr>,
    /// Number of active faults that pause the process.
    paused_by: u32,
    /// Number of active faults that keep the process down.
    down_by: u32,
}

struct Fronts {
    relay: Relay,
    processes: Vec<FrontProcess>,
    key: tempfile::NamedTempFile,
}

impl Drop for Fronts {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().filter_map(|process| process.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fronts {
    fn start(&mut self, index: usize) -> Result<(), String> {
        let io_error = |err: std::io::Error| err.to_string();
        let exe = std::env::current_exe().map_err(io_error)?;
        let others = (0..self.processes.len()).filter(|i| *i != index).take(3);
        let join: Vec<String> = others.map(|i| self.relay.addresses[i].to_string()).collect();
        let mut child = Command::new(exe)
            .args(["front", "--controller", "127.0.0.1:9", "--name", &format!("f{index}")])
            .args(["--peers-listen", "127.0.0.1:0", "--peers-at", &self.relay.addresses[index].to_string()])
            .args(["--peers", &join.join(","), "--peers-period-ms", &PROBE_PERIOD_MS.to_string()])
            .args(["--peers-key", &self.key.path().display().to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(io_error)?;
        let mut line = String::new();
        let out = child.stdout.take().ok_or("no output")?;
        BufReader::new(out).read_line(&mut line).map_err(io_error)?;
        let address: Option<SocketAddr> =
            line.trim().strip_prefix("listening ").and_then(|address| address.parse().ok());
        let process = &mut self.processes[index];
        (process.child, process.address) = (Some(child), address);
        let address = address.ok_or(format!("f{index} did not start: {line:?}"))?;
        let status = get_peers(address).ok_or(format!("f{index} does not answer GET /peers"))?;
        let listen = status["listen"].as_str().and_then(|a| a.parse().ok()).ok_or("no address for peers")?;
        self.relay.set_address(index, listen);
        Ok(())
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(child) = &self.processes[index].child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Ends a front: gracefully by SIGTERM with 3 s to leave, or at once.
    fn stop(&mut self, index: usize, graceful: bool) {
        if graceful {
            self.signal(index, Signal::TERM);
        }
        if let Some(mut child) = self.processes[index].child.take() {
            let began = Instant::now();
            while graceful && began.elapsed() < Duration::from_secs(3) && matches!(child.try_wait(), Ok(None))
            {
                std::thread::sleep(Duration::from_millis(5));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Begins or ends a fault that concerns processes.
    fn apply(&mut self, fault: &Fault, begins: bool) -> Result<(), String> {
        match fault {
            Fault::Stop { who } => {
                let process = &mut self.processes[*who];
                process.paused_by =
                    if begins { process.paused_by + 1 } else { process.paused_by.saturating_sub(1) };
                let paused = process.paused_by > 0;
                self.signal(*who, if paused { Signal::STOP } else { Signal::CONT });
            }
            Fault::Kill { who, .. } | Fault::Leave { who } => {
                let process = &mut self.processes[*who];
                process.down_by =
                    if begins { process.down_by + 1 } else { process.down_by.saturating_sub(1) };
                if begins {
                    // A paused process can't handle SIGTERM.
                    let graceful = matches!(fault, Fault::Leave { .. }) && process.paused_by == 0;
                    self.stop(*who, graceful);
                } else if process.down_by == 0 {
                    self.start(*who)?;
                    if self.processes[*who].paused_by > 0 {
                        self.signal(*who, Signal::STOP);
                    }
                }
            }
            Fault::Links { .. } | Fault::Clock { .. } | Fault::Disk { .. } => {}
        }
        Ok(())
    }

    /// The first difference between what the fronts report about each other and what runs.
    fn disagreement(&self) -> Option<String> {
        let statuses: Vec<Option<Value>> =
            self.processes.iter().map(|process| process.address.and_then(get_peers)).collect();
        let life = |v: &Value| v["life"].as_str().unwrap_or("").to_string();
        for (index, status) in statuses.iter().enumerate() {
            let Some(status) = status else { return Some(format!("f{index} does not answer")) };
            for (peer, peer_status) in statuses.iter().enumerate().filter(|(peer, _)| *peer != index) {
                let name = format!("f{peer}");
                let rows = status["members"].as_array().map_or(&[][..], Vec::as_slice);
                let row = rows.iter().find(|r| r["name"] == name.as_str());
                let alive = row.is_some_and(|r| r["status"] == "alive");
                let same_life =
                    row.zip(peer_status.as_ref()).is_some_and(|(r, t)| life(r) == life(&t["self"]));
                if !alive || !same_life {
                    return Some(format!("f{index} reports about {name}: {}", row.unwrap_or(&Value::Null)));
                }
            }
        }
        None
    }
}

fn get_peers(address: SocketAddr) -> Option<Value> {
    let answer = rockpick_rehearse::call(address, "GET", "/peers", "").ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Runs a plan; the error says what the fronts disagree about, or which process failed.
fn run_plan(plan: &Plan) -> Result<Outcome, String> {
    let io_error = |err: std::io::Error| err.to_string();
    let mut key = tempfile::NamedTempFile::new().map_err(io_error)?;
    key.write_all(GROUP_KEY.as_bytes()).map_err(io_error)?;
    let relay = Relay::start(plan.parts, plan.seed).map_err(io_error)?;
    let processes = (0..plan.parts)
        .map(|_| FrontProcess { child: None, address: None, paused_by: 0, down_by: 0 })
        .collect();
    let mut fronts = Fronts { relay, processes, key };
    for index in 0..plan.parts {
        fronts.start(index)?;
    }
    let began = Instant::now();
    let mut active: Vec<usize> = Vec::new();
    for (at, act, begins) in plan.edges() {
        let due = Duration::from_nanos(at as u64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        if begins {
            active.push(act);
        } else {
            active.retain(|i| *i != act);
        }
        for from in 0..plan.parts {
            for to in (0..plan.parts).filter(|to| *to != from) {
                fronts.relay.set_link(from, to, plan.way(&active, from, to, LinkConditions::default()));
            }
        }
        fronts.apply(&plan.acts[act].fault, begins)?;
    }
    let ended = Instant::now();
    loop {
        match fronts.disagreement() {
            None => return Ok(Outcome { convergence: ended.elapsed() }),
            Some(why) if ended.elapsed() > CONVERGENCE_TIMEOUT => return Err(why),
            Some(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}
