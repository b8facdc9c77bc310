//! A soak test of the live node, which runs among scripted machines, discovery and clients under faults drawn from a seed.
//! The rules are checked against what those peers recorded.
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

const CLIENTS: u64 = 12;
const CROWD: u64 = 120;
const DEFAULT_LENGTH: Duration = Duration::from_secs(20);
/// Bounds the peers' records, which are kept in memory until they are checked.
const MAX_LENGTH: Duration = Duration::from_secs(300);
/// The longest deadline of a method, and the specified time from SIGTERM to SIGKILL: 700 ms more.
const LONGEST_DEADLINE_MS: u64 = 1_200;
const KILL_AFTER: Duration = Duration::from_millis(LONGEST_DEADLINE_MS + 700);
/// Clients still connect to a node for this long after SIGTERM.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(300);
/// Between the signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(15);
/// How long SIGSTOP pauses the process.
const PAUSE: Duration = Duration::from_millis(150);
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

/// Runs a soak test and prints the breaches; true if there were none.
///
/// # Errors
/// The node can't be started, or a file of the folder can't be written.
pub fn run(seed: u64, seconds: Option<f64>, out: Option<PathBuf>) -> Result<bool, String> {
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
    let evidence = Soak::start(folder.clone())?.run(seed, length)?;
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
    DiscoveryBack,
}

struct Soak {
    clock: Clock,
    folder: PathBuf,
    fleet: Fleet,
    shared: Arc<Shared>,
    node: NodeProcess,
    runs: Vec<NodeRun>,
    /// When each is due, in the order of scheduling.
    schedule: Vec<(Instant, ScheduledStep)>,
}

impl Soak {
    fn start(folder: PathBuf) -> Result<Soak, String> {
        let clock = Clock::begin();
        let fleet = Fleet::start(clock);
        let shared = Shared::new(clock);
        let node = NodeProcess::start(&folder, 0, &fleet.configuration())?;
        let runs = vec![NodeRun { began: clock.now(), ..NodeRun::default() }];
        *lock(&shared.node) = Some((0, node.at));
        Ok(Soak { clock, folder, fleet, shared, node, runs, schedule: Vec::new() })
    }

    fn run(mut self, seed: u64, length: Duration) -> Result<Evidence, String> {
        let faults = fault_plan::draw(seed, length, fleet::STABLE_MACHINES);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|i| {
                let shared = self.shared.clone();
                std::thread::spawn(move || clients::run(&shared, seed << 16 | i))
            })
            .collect();
        for (number, fault) in faults.iter().enumerate() {
            self.wait(fault.after);
            self.inject(fault, seed << 32 | number as u64)?;
        }
        self.wait(Duration::from_secs(1));
        self.shared.over.store(true, Ordering::SeqCst);
        for client in clients {
            client.join().map_err(|_| "a client panicked")?;
        }
        Ok(self.evidence())
    }

    fn evidence(self) -> Evidence {
        let (listings, caps, attempts) = self.fleet.evidence();
        let (requests, stalled_clients) =
            (lock(&self.shared.requests).clone(), lock(&self.shared.stalled_clients).clone());
        Evidence { requests, attempts, listings, caps, runs: self.runs, stalled_clients }
    }

    /// Waits, and runs the scheduled steps that fall due.
    fn wait(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let due =
                self.schedule.iter().enumerate().min_by_key(|(_, (at, _))| *at).map(|(i, (at, _))| (i, *at));
            let Some((index, at)) = due.filter(|(_, at)| *at <= until) else { break };
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let (_, what) = self.schedule.remove(index);
            self.run_step(what);
        }
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    fn schedule(&mut self, after: Duration, what: ScheduledStep) {
        self.schedule.push((Instant::now() + after, what));
    }

    fn run_step(&mut self, what: ScheduledStep) {
        match what {
            ScheduledStep::Drain(step) => {
                if let Some((after, next)) = self.fleet.continue_drain(step) {
                    self.schedule(after, ScheduledStep::Drain(next));
                }
            }
            ScheduledStep::RestoreMachine(machine) => {
                self.fleet.machines[machine].set_behavior(Behavior::Normal)
            }
            ScheduledStep::DiscoveryBack => {
                self.fleet.platform.down.store(false, Ordering::SeqCst);
                self.fleet.platform.mute.store(false, Ordering::SeqCst);
            }
        }
    }

    fn inject(&mut self, scheduled: &ScheduledFault, seed: u64) -> Result<(), String> {
        match scheduled.fault {
            Fault::Reload { times } => {
                for _ in 0..times {
                    self.fleet.move_platform();
                    self.node.configure(&self.fleet.configuration())?;
                    self.node.signal(Signal::HUP)?;
                    self.wait(SIGNAL_INTERVAL);
                }
            }
            Fault::Stop { series } => self.stop(series)?,
            Fault::Kill => self.kill_and_restart()?,
            Fault::Pause => {
                self.node.signal(Signal::STOP)?;
                self.wait(PAUSE);
                self.node.signal(Signal::CONT)?;
            }
            Fault::DiscoveryDown => {
                self.fleet.platform.down.store(true, Ordering::SeqCst);
                self.schedule(scheduled.duration, ScheduledStep::DiscoveryBack);
            }
            Fault::DiscoverySilent => {
                self.fleet.platform.mute.store(true, Ordering::SeqCst);
                self.schedule(scheduled.duration, ScheduledStep::DiscoveryBack);
            }
            Fault::Restart { machine } => {
                if let Some((after, next)) = self.fleet.drain(machine) {
                    self.schedule(after, ScheduledStep::Drain(next));
                }
            }
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

    /// Sends SIGTERM. Clients keep their connections until SIGKILL, at the earliest time that is specified.
    fn stop(&mut self, series: bool) -> Result<(), String> {
        let terminated = Instant::now();
        self.node.signal(Signal::TERM)?;
        if let Some(run) = self.runs.last_mut() {
            run.terminated = Some(self.clock.at(terminated));
        }
        if series {
            for signal in [Signal::HUP, Signal::TERM, Signal::HUP] {
                self.wait(SIGNAL_INTERVAL);
                // The process may have ended already.
                let _ = self.node.signal(signal);
            }
        }
        self.wait(CONNECTS_AFTER_TERM);
        *lock(&self.shared.node) = None;
        self.wait(KILL_AFTER.saturating_sub(terminated.elapsed()));
        self.kill_and_restart()
    }

    fn kill_and_restart(&mut self) -> Result<(), String> {
        *lock(&self.shared.node) = None;
        let killed = self.clock.now();
        self.node.kill();
        if let Some(run) = self.runs.last_mut() {
            run.killed = Some(killed);
        }
        self.fleet.record_configured_start();
        self.runs.push(NodeRun { began: self.clock.now(), ..NodeRun::default() });
        let number = self.runs.len() - 1;
        self.node = NodeProcess::start(&self.folder, number, &self.fleet.configuration())?;
        *lock(&self.shared.node) = Some((number, self.node.at));
        Ok(())
    }
}
