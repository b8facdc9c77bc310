//! A soak of the live node: one node after another among scripted machines, discovery and clients, under faults drawn from a
//! seed; judged by what the peers saw.
pub mod checker;
mod clients;
mod fault_plan;
mod fleet;
mod machines;
mod process;
#[cfg(test)]
mod tests;

use checker::{judge, Breach, Evidence, Life, Limits};
use clients::Shared;
use fault_plan::{Act, Conduct, Fault};
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
/// What peers note is kept in memory until it is judged.
const LONGEST: Duration = Duration::from_secs(300);
/// The longest deadline of a method, and the page's time from SIGTERM to SIGKILL beyond it.
const LONGEST_DEADLINE_MS: u64 = 1_200;
const KILL_AFTER: Duration = Duration::from_millis(LONGEST_DEADLINE_MS + 700);
/// New connections go on to a node that stops for so long.
const NEW_CONNECTIONS: Duration = Duration::from_millis(300);
/// Between the signals of a series.
const SERIES_GAP: Duration = Duration::from_millis(15);
/// A process may be held up for so long.
const HELD_UP: Duration = Duration::from_millis(150);
/// At most so many breaches are printed.
const PRINTED: usize = 20;

/// The rules' figures, which the node's configuration states too.
const LIMITS: Limits = Limits {
    drain_grace: SEC,
    window: 3 * SEC,
    free: 2.0,
    cold_from: 0.4,
    cold_time: 3 * SEC,
    overload_factor: 3.0,
    fall_time: SEC,
};

/// Time since the soak began.
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

/// A thread that panicked leaves what it held as it was.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays a soak and prints its breaches; true when no rule was broken.
///
/// # Errors
/// A node that can't be started, a folder that can't be written.
pub fn play(seed: u64, seconds: Option<f64>, out: Option<PathBuf>) -> Result<bool, String> {
    let length = seconds.map_or(DEFAULT_LENGTH, Duration::from_secs_f64);
    if length > LONGEST {
        return Err(format!("--seconds: a soak lasts {} s at most", LONGEST.as_secs()));
    }
    let kept = out.is_some();
    let folder = match out {
        Some(out) => out,
        None => tempfile::tempdir().map_err(|err| err.to_string())?.keep(),
    };
    crate::begin_folder(&folder)?;
    let evidence = Soak::begin(folder.clone())?.run(seed, length)?;
    let breaches = judge(&LIMITS, &evidence);
    report(seed, &evidence, &breaches);
    if breaches.is_empty() && !kept {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("the node's logs: {}", folder.display());
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
            (None, _) => "without an answer",
        };
        *ends.entry(end).or_insert(0) += 1;
    }
    let (lives, attempts) = (evidence.lives.len(), evidence.attempts.len());
    println!(
        "seed {seed}: {lives} starts, {} requests {ends:?}, {attempts} attempts",
        evidence.requests.len()
    );
    for Breach { rule, request, at, what } in breaches.iter().take(PRINTED) {
        println!("rule {rule}: seed {seed}, request {request:016x}, at {} ms: {what}", at / MS);
    }
    match breaches.len() {
        0 => println!("rules: kept"),
        n => println!("rules: broken {n} times"),
    }
}

/// What is done at a later time.
enum Later {
    Fleet(fleet::Later),
    Conduct(usize),
    DiscoveryBack,
}

struct Soak {
    clock: Clock,
    folder: PathBuf,
    fleet: Fleet,
    shared: Arc<Shared>,
    node: NodeProcess,
    lives: Vec<Life>,
    /// By when, in the order in which they were entered.
    later: Vec<(Instant, Later)>,
}

impl Soak {
    fn begin(folder: PathBuf) -> Result<Soak, String> {
        let clock = Clock::begin();
        let fleet = Fleet::begin(clock);
        let shared = Shared::new(clock);
        let node = NodeProcess::start(&folder, 0, &fleet.configuration())?;
        let lives = vec![Life { began: clock.now(), ..Life::default() }];
        *lock(&shared.node) = Some((0, node.at));
        Ok(Soak { clock, folder, fleet, shared, node, lives, later: Vec::new() })
    }

    fn run(mut self, seed: u64, length: Duration) -> Result<Evidence, String> {
        let acts = fault_plan::draw(seed, length, fleet::USUAL_MACHINES);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|i| {
                let shared = self.shared.clone();
                std::thread::spawn(move || clients::run(&shared, seed << 16 | i))
            })
            .collect();
        for (number, act) in acts.iter().enumerate() {
            self.wait(act.after);
            self.act(act, seed << 32 | number as u64)?;
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
        let (requests, stuck) = (lock(&self.shared.requests).clone(), lock(&self.shared.stuck).clone());
        Evidence { requests, attempts, listings, caps, lives: self.lives, stuck }
    }

    /// Lets time pass, and does what falls due in it.
    fn wait(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let due =
                self.later.iter().enumerate().min_by_key(|(_, (at, _))| *at).map(|(i, (at, _))| (i, *at));
            let Some((index, at)) = due.filter(|(_, at)| *at <= until) else { break };
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let (_, what) = self.later.remove(index);
            self.carry_out(what);
        }
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    fn enter(&mut self, after: Duration, what: Later) {
        self.later.push((Instant::now() + after, what));
    }

    fn carry_out(&mut self, what: Later) {
        match what {
            Later::Fleet(step) => {
                if let Some((after, next)) = self.fleet.go_on(step) {
                    self.enter(after, Later::Fleet(next));
                }
            }
            Later::Conduct(machine) => self.fleet.machines[machine].behaves(Conduct::Usual),
            Later::DiscoveryBack => {
                self.fleet.platform.down.store(false, Ordering::SeqCst);
                self.fleet.platform.mute.store(false, Ordering::SeqCst);
            }
        }
    }

    fn act(&mut self, act: &Act, seed: u64) -> Result<(), String> {
        match act.fault {
            Fault::Reload { times } => {
                for _ in 0..times {
                    self.fleet.move_platform();
                    self.node.configure(&self.fleet.configuration())?;
                    self.node.signal(Signal::HUP)?;
                    self.wait(SERIES_GAP);
                }
            }
            Fault::Stop { series } => self.stop(series)?,
            Fault::Kill => self.kill_and_restart()?,
            Fault::Pause => {
                self.node.signal(Signal::STOP)?;
                self.wait(HELD_UP);
                self.node.signal(Signal::CONT)?;
            }
            Fault::DiscoveryDown => {
                self.fleet.platform.down.store(true, Ordering::SeqCst);
                self.enter(act.lasts, Later::DiscoveryBack);
            }
            Fault::DiscoverySilent => {
                self.fleet.platform.mute.store(true, Ordering::SeqCst);
                self.enter(act.lasts, Later::DiscoveryBack);
            }
            Fault::Restart { machine } => {
                if let Some((after, next)) = self.fleet.drain(machine) {
                    self.enter(after, Later::Fleet(next));
                }
            }
            Fault::Misconduct { machine, conduct } => {
                self.fleet.machines[machine].behaves(conduct);
                self.enter(act.lasts, Later::Conduct(machine));
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

    /// SIGTERM; clients go on with their connections until SIGKILL at the page's earliest.
    fn stop(&mut self, series: bool) -> Result<(), String> {
        let terminated = Instant::now();
        self.node.signal(Signal::TERM)?;
        if let Some(life) = self.lives.last_mut() {
            life.terminated = Some(self.clock.at(terminated));
        }
        if series {
            for signal in [Signal::HUP, Signal::TERM, Signal::HUP] {
                self.wait(SERIES_GAP);
                // It may have ended by now.
                let _ = self.node.signal(signal);
            }
        }
        self.wait(NEW_CONNECTIONS);
        *lock(&self.shared.node) = None;
        self.wait(KILL_AFTER.saturating_sub(terminated.elapsed()));
        self.kill_and_restart()
    }

    fn kill_and_restart(&mut self) -> Result<(), String> {
        *lock(&self.shared.node) = None;
        let killed = self.clock.now();
        self.node.kill();
        if let Some(life) = self.lives.last_mut() {
            life.killed = Some(killed);
        }
        self.fleet.told_by_configuration();
        self.lives.push(Life { began: self.clock.now(), ..Life::default() });
        let number = self.lives.len() - 1;
        self.node = NodeProcess::start(&self.folder, number, &self.fleet.configuration())?;
        *lock(&self.shared.node) = Some((number, self.node.at));
        Ok(())
    }
}
