//! Storms upon real processes: fronts that keep company, faults between them by a plan, and a judge that knows who runs
//! because it started and stopped them. What each front holds of the others is held against that.
use crate::Bad2;
use rockpick_fault_injection::plan::PlanLimits;
use rockpick_fault_injection::relay::Relay;
use rockpick_fault_injection::{shrink, Fault, LinkConditions, Plan};
use rockpick_net::SEC;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How fast the fronts probe each other; a suspicion lasts from 0.5 to 3 s then.
const PERIOD_MS: u64 = 100;
/// After the last fault all must agree within this: a suspicion's longest, those gone asked for again by slow probes, and
/// a whole exchange.
const SETTLES: Duration = Duration::from_secs(20);
/// Plays of smaller plans after a breach.
const MOST_PLAYS: usize = 20;
const KEY: &str = "the key of a storm's fronts";

pub struct Storms {
    pub fronts: usize,
    pub first: u64,
    pub seeds: u64,
    pub lanes: usize,
    pub plan: Option<Plan>,
    /// Shrinks the first that breaks something.
    pub shrinks: bool,
}

/// What a storm came to.
struct Came {
    /// Time from the last fault until all agreed.
    agreed: Duration,
}

fn range(fronts: usize) -> PlanLimits {
    PlanLimits {
        max_faults: 8,
        parts: fronts,
        fault_window: 6 * SEC,
        max_duration: 4 * SEC,
        settle_time: 0,
        kills: true,
        // Processes read the system's own clock.
        clocks: false,
        // Nothing of peers is kept.
        disks: &[],
    }
}

impl Storms {
    /// Plays them all; true when none broke anything.
    pub fn run(self) -> Result<bool, Bad2> {
        if let Some(plan) = &self.plan {
            let came = play(plan);
            match &came {
                Ok(came) => println!("all agreed {} ms after the last fault", came.agreed.as_millis()),
                Err(why) => println!("broken: {why}"),
            }
            return Ok(came.is_ok());
        }
        let next = AtomicU64::new(self.first);
        let (agreed, broken) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
        std::thread::scope(|scope| {
            for _ in 0..self.lanes.max(1) {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= self.first + self.seeds {
                        break;
                    }
                    let plan = Plan::draw(seed, range(self.fronts));
                    match play(&plan) {
                        Ok(came) => lock(&agreed).push(came.agreed.as_millis() as u64),
                        Err(why) => lock(&broken).push((seed, why, plan)),
                    }
                });
            }
        });
        let mut agreed = agreed.into_inner().unwrap_or_default();
        agreed.sort_unstable();
        let at = |share: f64| {
            agreed.get(((agreed.len().max(1) - 1) as f64 * share) as usize).copied().unwrap_or(0)
        };
        println!(
            "{} storms upon {} fronts: {} broken; after the last fault all agreed within {} ms (p50), {} ms (p99), {} ms (most)",
            self.seeds,
            self.fronts,
            lock(&broken).len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
        let broken = broken.into_inner().unwrap_or_default();
        for (seed, why, _) in &broken {
            println!("seed {seed}: {why}");
        }
        if let Some((seed, _, plan)) = broken.first().filter(|_| self.shrinks) {
            println!("seed {seed}, shrunk:");
            print!("{}", shrink(plan, MOST_PLAYS, |plan| play(plan).is_err()).write());
        }
        Ok(broken.is_empty())
    }
}

fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A front's seat in the storm.
struct Seat {
    child: Option<Child>,
    at: Option<SocketAddr>,
    stopped: u32,
    down: u32,
}

struct Crew {
    relay: Relay,
    seats: Vec<Seat>,
    key: tempfile::NamedTempFile,
}

impl Drop for Crew {
    fn drop(&mut self) {
        for child in self.seats.iter_mut().filter_map(|s| s.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Crew {
    fn start(&mut self, who: usize) -> Result<(), String> {
        let say = |err: std::io::Error| err.to_string();
        let exe = std::env::current_exe().map_err(say)?;
        let others = (0..self.seats.len()).filter(|i| *i != who).take(3);
        let join: Vec<String> = others.map(|i| self.relay.addresses[i].to_string()).collect();
        let mut child = Command::new(exe)
            .args(["front", "--controller", "127.0.0.1:9", "--name", &format!("f{who}")])
            .args(["--peers-listen", "127.0.0.1:0", "--peers-at", &self.relay.addresses[who].to_string()])
            .args(["--peers", &join.join(","), "--peers-period-ms", &PERIOD_MS.to_string()])
            .args(["--peers-key", &self.key.path().display().to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(say)?;
        let mut line = String::new();
        let out = child.stdout.take().ok_or("no output")?;
        BufReader::new(out).read_line(&mut line).map_err(say)?;
        let at: Option<SocketAddr> = line.trim().strip_prefix("listening ").and_then(|a| a.parse().ok());
        let seat = &mut self.seats[who];
        (seat.child, seat.at) = (Some(child), at);
        let at = at.ok_or(format!("f{who} did not come up: {line:?}"))?;
        let shown = peers(at).ok_or(format!("f{who} shows no peers"))?;
        let listen =
            shown["listen"].as_str().and_then(|a| a.parse().ok()).ok_or("no address of its peers")?;
        self.relay.set_address(who, listen);
        Ok(())
    }

    fn signal(&self, who: usize, signal: Signal) {
        if let Some(child) = &self.seats[who].child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    fn end(&mut self, who: usize, gently: bool) {
        if gently {
            self.signal(who, Signal::TERM);
        }
        if let Some(mut child) = self.seats[who].child.take() {
            let began = Instant::now();
            while gently && began.elapsed() < Duration::from_secs(3) && matches!(child.try_wait(), Ok(None)) {
                std::thread::sleep(Duration::from_millis(5));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn fault(&mut self, fault: &Fault, begins: bool) -> Result<(), String> {
        match fault {
            Fault::Stop { who } => {
                let seat = &mut self.seats[*who];
                seat.stopped = if begins { seat.stopped + 1 } else { seat.stopped.saturating_sub(1) };
                let stopped = seat.stopped > 0;
                self.signal(*who, if stopped { Signal::STOP } else { Signal::CONT });
            }
            Fault::Kill { who, .. } | Fault::Leave { who } => {
                let seat = &mut self.seats[*who];
                seat.down = if begins { seat.down + 1 } else { seat.down.saturating_sub(1) };
                if begins {
                    // One that is stopped hears no word of leaving.
                    let gently = matches!(fault, Fault::Leave { .. }) && seat.stopped == 0;
                    self.end(*who, gently);
                } else if seat.down == 0 {
                    self.start(*who)?;
                    if self.seats[*who].stopped > 0 {
                        self.signal(*who, Signal::STOP);
                    }
                }
            }
            Fault::Links { .. } | Fault::Clock { .. } | Fault::Disk { .. } => {}
        }
        Ok(())
    }

    /// What is wrong in what the fronts hold of each other; none: all agree with what runs.
    fn wrong(&self) -> Option<String> {
        let shown: Vec<Option<Value>> = self.seats.iter().map(|s| s.at.and_then(peers)).collect();
        let life = |v: &Value| v["life"].as_str().unwrap_or("").to_string();
        for (me, mine) in shown.iter().enumerate() {
            let Some(mine) = mine else { return Some(format!("f{me} does not answer")) };
            for (who, theirs) in shown.iter().enumerate().filter(|(who, _)| *who != me) {
                let name = format!("f{who}");
                let rows = mine["members"].as_array().map_or(&[][..], Vec::as_slice);
                let row = rows.iter().find(|r| r["name"] == name.as_str());
                let there = row.is_some_and(|r| r["status"] == "alive");
                let same = row.zip(theirs.as_ref()).is_some_and(|(r, t)| life(r) == life(&t["self"]));
                if !there || !same {
                    return Some(format!("f{me} holds of {name}: {}", row.unwrap_or(&Value::Null)));
                }
            }
        }
        None
    }
}

fn peers(at: SocketAddr) -> Option<Value> {
    let answer = rockpick_rehearse::call(at, "GET", "/peers", "").ok()?;
    serde_json::from_slice(&answer.body).ok()
}

fn play(plan: &Plan) -> Result<Came, String> {
    let say = |err: std::io::Error| err.to_string();
    let mut key = tempfile::NamedTempFile::new().map_err(say)?;
    key.write_all(KEY.as_bytes()).map_err(say)?;
    let relay = Relay::start(plan.parts, plan.seed).map_err(say)?;
    let seats = (0..plan.parts).map(|_| Seat { child: None, at: None, stopped: 0, down: 0 }).collect();
    let mut crew = Crew { relay, seats, key };
    for who in 0..plan.parts {
        crew.start(who)?;
    }
    let began = Instant::now();
    let mut on: Vec<usize> = Vec::new();
    for (at, act, begins) in plan.edges() {
        let due = Duration::from_nanos(at as u64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        if begins {
            on.push(act);
        } else {
            on.retain(|i| *i != act);
        }
        for from in 0..plan.parts {
            for to in (0..plan.parts).filter(|to| *to != from) {
                crew.relay.set_link(from, to, plan.way(&on, from, to, LinkConditions::default()));
            }
        }
        crew.fault(&plan.acts[act].fault, begins)?;
    }
    let over = Instant::now();
    loop {
        match crew.wrong() {
            None => return Ok(Came { agreed: over.elapsed() }),
            Some(why) if over.elapsed() > SETTLES => return Err(why),
            Some(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}
