//! A soak test of live nodes, a few dozen processes, which run among scripted machines, discovery and clients under overlapping
//! faults drawn from a seed; system calls fail and wall clocks are stepped in some of them. The rules are checked against
//! what those peers recorded.
pub mod checker;
mod clients;
mod fault_plan;
mod fleet;
mod machines;
mod process;
#[cfg(test)]
mod tests;

use checker::{judge, Breach, Evidence, Limits, NodeRun};
use clients::Shared;
use fault_plan::{Behavior, Fault, ScheduledFault};
use fleet::Fleet;
use process::NodeProcess;
use rockpick::Ns;
use rockpick_net::{MS, SEC};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Processes of the node that run at a time.
const NODES: usize = 24;
const CLIENTS: u64 = 60;
const CROWD: u64 = 240;
const DEFAULT_LENGTH: Duration = Duration::from_secs(20);
/// Bounds the peers' records, which are kept in memory until they are checked.
const MAX_LENGTH: Duration = Duration::from_secs(300);
/// The longest deadline of a method, and the specified time from SIGTERM to SIGKILL: 700 ms more.
const LONGEST_DEADLINE_MS: u64 = 1_200;
const KILL_AFTER: Duration = Duration::from_millis(LONGEST_DEADLINE_MS + 700);
/// Clients still connect to a node for this long after SIGTERM.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(300);
/// In seeds that are multiples of this nodes ask for their lists; in others lists are pushed.
const PULLED_LISTS_DIVISOR: u64 = 2;
/// Between the signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(15);
/// How long SIGSTOP pauses a process, and the least time between two pauses of it.
const PAUSE: Duration = Duration::from_millis(150);
const PAUSE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_PRINTED_BREACHES: usize = 20;

/// The limits that the rules check, which are also set in the node's configuration.
const LIMITS: Limits = Limits {
    drain_grace: SEC,
    window: 3 * SEC,
    free: 2.0,
    cold_from: 0.4,
    cold_time: 3 * SEC,
    overload_factor: 3.0,
    fall_time: SEC,
};

/// Measures time since the soak test began.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    fn begin() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(self) -> Ns {
        self.at(Instant::now())
    }

    pub fn at(self, instant: Instant) -> Ns {
        instant.saturating_duration_since(self.0).as_nanos() as Ns
    }
}

/// Locks a mutex, also after a thread that held it has panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A fault of the stand-ins or of the records, planted to test that the checker reports a breach of the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// Nodes are killed, and the records do not tell it: requests are lost.
    Lost,
    /// A machine turns requests away after it has run them, so that nodes repeat them.
    RunTwice,
    /// Nodes are told of no drain that the records tell.
    DrainNotTold,
    /// The records tell lower caps than the nodes were told.
    CapNotTold,
}

impl PlantedFault {
    /// The fault that breaks a rule, by its number.
    ///
    /// # Errors
    /// There is none for this rule.
    pub fn of_rule(rule: u8) -> Result<PlantedFault, String> {
        match rule {
            1 => Ok(PlantedFault::Lost),
            2 => Ok(PlantedFault::RunTwice),
            3 => Ok(PlantedFault::DrainNotTold),
            5 => Ok(PlantedFault::CapNotTold),
            _ => Err(format!("--faulty {rule}: on the day node 1, 2, 3 or 5")),
        }
    }
}

/// Runs a soak test and prints the breaches; true if there were none.
///
/// # Errors
/// A node can't be started or has ended by itself, or a file of the folder can't be written.
pub fn run(
    seed: u64, seconds: Option<f64>, out: Option<PathBuf>, planted: Option<PlantedFault>,
) -> Result<bool, String> {
    let length = seconds.map_or(DEFAULT_LENGTH, Duration::from_secs_f64);
    if length > MAX_LENGTH {
        return Err(format!("--seconds: a soak test lasts at most {} s", MAX_LENGTH.as_secs()));
    }
    let kept = out.is_some();
    let folder = match out {
        Some(out) => out,
        None => tempfile::tempdir().map_err(|err| err.to_string())?.keep(),
    };
    crate::create_folder(&folder)?;
    let evidence = Soak::start(folder.clone(), seed, planted)?.run(seed, length)?;
    let breaches = judge(&LIMITS, &evidence);
    report(seed, &evidence, &breaches);
    if breaches.is_empty() && !kept {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("node logs: {}", folder.display());
    }
    Ok(breaches.is_empty())
}

fn report(seed: u64, evidence: &Evidence, breaches: &[Breach]) {
    let mut ends = BTreeMap::new();
    for request in &evidence.requests {
        let end = match (request.answers.first(), request.end) {
            (Some((_, checker::Answer::Value(_))), _) => "served",
            (Some((_, checker::Answer::Rejected)), _) => "rejected",
            (Some((_, checker::Answer::Failed)), _) => "failed",
            (None, Some(checker::ConnectionEnd::Left(_))) => "left",
            (None, Some(checker::ConnectionEnd::Unread(_))) => "unread",
            (None, _) => "no answer",
        };
        *ends.entry(end).or_insert(0) += 1;
    }
    let (runs, attempts) = (evidence.runs.len(), evidence.attempts.len());
    println!(
        "seed {seed}: {runs} starts, {} requests {ends:?}, {attempts} attempts",
        evidence.requests.len()
    );
    for Breach { rule, request, at, what } in breaches.iter().take(MAX_PRINTED_BREACHES) {
        println!("rule {rule}: seed {seed}, request {request:016x}, at {} ms: {what}", at / MS);
    }
    match breaches.len() {
        0 => println!("rules: kept"),
        n => println!("rules: broken {n} times"),
    }
}

/// A step that is scheduled for a later time.
enum ScheduledStep {
    Drain(fleet::DrainStep),
    RestoreMachine(usize),
    /// Discovery is up again, and takes a machine out at once.
    DiscoveryBack(usize),
    WatchBack(usize),
    Signal(usize, Signal),
    Reload(usize),
    /// Clients connect to the node no more.
    StopConnects(usize),
    KillAndRestart(usize),
}

/// A node, whose processes follow each other.
struct Node {
    process: NodeProcess,
    run: usize,
    /// It was sent SIGTERM and will be killed.
    stopping: bool,
    paused_at: Option<Instant>,
}

struct Soak {
    clock: Clock,
    folder: PathBuf,
    seed: u64,
    planted: Option<PlantedFault>,
    fleet: Fleet,
    shared: Arc<Shared>,
    nodes: Vec<Node>,
    runs: Vec<NodeRun>,
    /// When each is due, in the order of scheduling.
    schedule: Vec<(Instant, ScheduledStep)>,
}

/// Options of a process: in some of them system calls fail, in some the wall clock is stepped.
fn fault_options(seed: u64, run: usize) -> Vec<String> {
    let drawn = (seed << 16 | run as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 8;
    let mut options = Vec::new();
    if drawn & 1 == 0 {
        options.push(format!("--call-faults={}", drawn >> 8));
    }
    if drawn & 2 == 0 {
        options.push(format!("--wall-clock-steps={}", drawn >> 8));
    }
    options
}

impl Soak {
    fn start(folder: PathBuf, seed: u64, planted: Option<PlantedFault>) -> Result<Soak, String> {
        let clock = Clock::begin();
        let pushes_lists = !seed.is_multiple_of(PULLED_LISTS_DIVISOR);
        let fleet = Fleet::start(clock, NODES, planted, pushes_lists);
        let shared = Shared::new(clock, NODES);
        let (nodes, runs, schedule) = (Vec::new(), Vec::new(), Vec::new());
        let mut soak = Soak { clock, folder, seed, planted, fleet, shared, nodes, runs, schedule };
        for node in 0..NODES {
            let (process, run) = soak.start_process(node)?;
            soak.nodes.push(Node { process, run, stopping: false, paused_at: None });
        }
        Ok(soak)
    }

    /// Starts a process of a node, and lets clients connect to it.
    fn start_process(&mut self, node: usize) -> Result<(NodeProcess, usize), String> {
        let run = self.runs.len();
        self.fleet.record_configured_start(node);
        self.runs.push(NodeRun { node, began: self.clock.now(), ..NodeRun::default() });
        let options = fault_options(self.seed, run);
        let process = NodeProcess::start(&self.folder, run, &self.fleet.configuration(node), &options)?;
        lock(&self.shared.nodes)[node] = Some((run, process.at));
        Ok((process, run))
    }

    fn run(mut self, seed: u64, length: Duration) -> Result<Evidence, String> {
        let faults = fault_plan::draw(seed, length, NODES, fleet::STABLE_MACHINES);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|i| {
                let shared = self.shared.clone();
                std::thread::spawn(move || clients::run(&shared, seed << 16 | i))
            })
            .collect();
        for (number, fault) in faults.iter().enumerate() {
            self.wait(fault.after)?;
            self.inject(fault, seed << 32 | number as u64)?;
        }
        self.wait(KILL_AFTER + Duration::from_secs(1))?;
        self.shared.over.store(true, Ordering::SeqCst);
        for client in clients {
            client.join().map_err(|_| "a client panicked")?;
        }
        self.evidence()
    }

    fn evidence(self) -> Result<Evidence, String> {
        let (listings, caps, attempts) = self.fleet.evidence();
        let (requests, stalled_clients) =
            (lock(&self.shared.requests).clone(), lock(&self.shared.stalled_clients).clone());
        let violations = self.violations()?;
        Ok(Evidence { requests, attempts, listings, caps, runs: self.runs, stalled_clients, violations })
    }

    /// What the nodes' logs tell of rules that they were about to break.
    fn violations(&self) -> Result<Vec<String>, String> {
        let mut violations = Vec::new();
        for run in 0..self.runs.len() {
            let log = self.folder.join(format!("node-{run}.log"));
            let text = std::fs::read_to_string(&log).map_err(|err| format!("{}: {err}", log.display()))?;
            let lines = text.lines().filter(|line| line.contains("rule violated"));
            violations.extend(lines.map(|line| format!("process {run}: {line}")));
        }
        Ok(violations)
    }

    /// Waits, and runs the scheduled steps that fall due.
    fn wait(&mut self, time: Duration) -> Result<(), String> {
        let until = Instant::now() + time;
        loop {
            let due =
                self.schedule.iter().enumerate().min_by_key(|(_, (at, _))| *at).map(|(i, (at, _))| (i, *at));
            let Some((index, at)) = due.filter(|(_, at)| *at <= until) else { break };
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let (_, what) = self.schedule.remove(index);
            self.run_step(what)?;
        }
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        Ok(())
    }

    fn schedule(&mut self, after: Duration, what: ScheduledStep) {
        self.schedule.push((Instant::now() + after, what));
    }

    fn run_step(&mut self, what: ScheduledStep) -> Result<(), String> {
        match what {
            ScheduledStep::Drain(step) => {
                if let Some((after, next)) = self.fleet.continue_drain(step) {
                    self.schedule(after, ScheduledStep::Drain(next));
                }
            }
            ScheduledStep::RestoreMachine(machine) => {
                self.fleet.machines[machine].set_behavior(Behavior::Normal)
            }
            ScheduledStep::DiscoveryBack(machine) => {
                self.set_discovery_down(false);
                self.fleet.push_lists();
                self.drain(machine);
            }
            ScheduledStep::WatchBack(node) => {
                self.fleet.platforms[node].mute.store(false, Ordering::SeqCst);
                self.fleet.push_lists();
            }
            ScheduledStep::Signal(node, signal) => self.signal(node, signal)?,
            ScheduledStep::Reload(node) => self.reload(node)?,
            ScheduledStep::StopConnects(node) => lock(&self.shared.nodes)[node] = None,
            ScheduledStep::KillAndRestart(node) => self.kill_and_restart(node)?,
        }
        Ok(())
    }

    fn drain(&mut self, machine: usize) {
        if let Some((after, next)) = self.fleet.drain(machine) {
            self.schedule(after, ScheduledStep::Drain(next));
        }
    }

    fn set_discovery_down(&self, down: bool) {
        self.fleet.platforms.iter().for_each(|platform| platform.down.store(down, Ordering::SeqCst));
    }

    /// Sends a signal. A node that is stopping may have ended already; any other has crashed then.
    fn signal(&mut self, node: usize, signal: Signal) -> Result<(), String> {
        let node = &mut self.nodes[node];
        if node.process.has_ended() {
            return if node.stopping { Ok(()) } else { Err(format!("process {} has crashed", node.run)) };
        }
        node.process.signal(signal)
    }

    /// A new configuration with other addresses, then SIGHUP.
    fn reload(&mut self, node: usize) -> Result<(), String> {
        self.fleet.move_platform(node);
        self.nodes[node].process.configure(&self.fleet.configuration(node))?;
        self.signal(node, Signal::HUP)
    }

    fn inject(&mut self, scheduled: &ScheduledFault, seed: u64) -> Result<(), String> {
        match scheduled.fault {
            Fault::Reload { node, times } => {
                for i in 0..times {
                    self.schedule(SIGNAL_INTERVAL * i, ScheduledStep::Reload(node));
                }
            }
            Fault::Stop { node, series } => self.stop(node, series)?,
            Fault::Kill { node } => self.kill_and_restart(node)?,
            Fault::Pause { node } => self.pause(node)?,
            Fault::DiscoveryDown { machine } => {
                self.set_discovery_down(true);
                self.schedule(scheduled.duration, ScheduledStep::DiscoveryBack(machine));
            }
            Fault::DiscoverySilent { node } => {
                self.fleet.platforms[node].mute.store(true, Ordering::SeqCst);
                self.schedule(scheduled.duration, ScheduledStep::WatchBack(node));
            }
            Fault::Restart { machine } => self.drain(machine),
            Fault::MachineBehavior { machine, behavior } => {
                self.fleet.machines[machine].set_behavior(behavior);
                self.schedule(scheduled.duration, ScheduledStep::RestoreMachine(machine));
            }
            Fault::ReleaseStep => self.fleet.release_step(),
            Fault::Crowd => {
                for i in 0..CROWD {
                    let shared = self.shared.clone();
                    std::thread::spawn(move || clients::run_once(&shared, seed ^ i << 48));
                }
            }
        }
        Ok(())
    }

    /// Holds a process up, for no longer than the specification allows.
    fn pause(&mut self, node: usize) -> Result<(), String> {
        if self.nodes[node].paused_at.is_some_and(|at| at.elapsed() < PAUSE_INTERVAL) {
            return Ok(());
        }
        self.nodes[node].paused_at = Some(Instant::now());
        self.signal(node, Signal::STOP)?;
        self.schedule(PAUSE, ScheduledStep::Signal(node, Signal::CONT));
        Ok(())
    }

    /// Sends SIGTERM. Clients keep their connections until SIGKILL, at the earliest time that is specified.
    fn stop(&mut self, node: usize, series: bool) -> Result<(), String> {
        if self.nodes[node].stopping {
            return Ok(());
        }
        let terminated = self.clock.now();
        self.signal(node, Signal::TERM)?;
        self.nodes[node].stopping = true;
        self.runs[self.nodes[node].run].terminated = Some(terminated);
        self.schedule(KILL_AFTER, ScheduledStep::KillAndRestart(node));
        self.schedule(CONNECTS_AFTER_TERM, ScheduledStep::StopConnects(node));
        if series {
            for (i, signal) in [Signal::HUP, Signal::TERM, Signal::HUP].into_iter().enumerate() {
                self.schedule(SIGNAL_INTERVAL * (i as u32 + 1), ScheduledStep::Signal(node, signal));
            }
        }
        Ok(())
    }

    fn kill_and_restart(&mut self, node: usize) -> Result<(), String> {
        self.schedule.retain(|(_, step)| {
            !matches!(step, ScheduledStep::StopConnects(of) | ScheduledStep::KillAndRestart(of) if *of == node)
        });
        lock(&self.shared.nodes)[node] = None;
        let killed = self.clock.now();
        let ended = &mut self.nodes[node];
        if !ended.stopping && ended.process.has_ended() {
            return Err(format!("process {} has crashed", ended.run));
        }
        ended.process.kill();
        if self.planted != Some(PlantedFault::Lost) {
            self.runs[ended.run].killed = Some(killed);
        }
        let (process, run) = self.start_process(node)?;
        self.nodes[node] = Node { process, run, stopping: false, paused_at: None };
        Ok(())
    }
}
