//! The behavior of a fake machine, without sockets or a clock: cores, a queue, warm-up after the start, collapse
//! under overload, defects of its build, and injected faults. The process on loopback and the emulator both run
//! this code.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_net::{Ns, MS, SEC};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// Queue capacity per core; further RPCs are rejected without being run.
const QUEUE_PER_CORE: usize = 24;
/// Tolerance for random bursts: the overload budget is raised by this number of average RPCs.
const OVERLOAD_SLACK: f64 = 4.0;
/// Time from a machine's start until a [`Defect::Late`] takes effect.
const LATE_DEFECT_DELAY: Ns = 7 * SEC;

/// A defect of a build. The number is a probability of failure, or how much slower the build is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    Errors(f64),
    /// Errors of the last method only.
    Method(f64),
    Slow(f64),
    /// Slow, and fails, but only while most cores are busy.
    Load(f64),
    /// Slow, and fails, from some seconds after the machine's start.
    Late(f64),
    Wrong(f64),
    /// Slows all machines in proportion to the build's traffic; the caller applies this.
    Shared(f64),
}

impl Defect {
    /// Parses a defect written as `KIND:SIZE`, such as `errors:0.3`.
    pub fn parse(text: &str) -> Option<Defect> {
        let (kind, size) = text.split_once(':')?;
        let size: f64 = size.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0)?;
        Some(match kind {
            "errors" => Defect::Errors(size),
            "method" => Defect::Method(size),
            "slow" => Defect::Slow(size),
            "load" => Defect::Load(size),
            "late" => Defect::Late(size),
            "wrong" => Defect::Wrong(size),
            "shared" => Defect::Shared(size),
            _ => return None,
        })
    }
}

/// Faults injected into a machine, for all fronts or only for some.
#[derive(Clone, Debug)]
pub struct Fault {
    /// The share of RPCs that fail quickly, and the share of answers that are lost.
    pub errors: f64,
    pub lost: f64,
    /// A lost answer resets the connection; otherwise nothing is sent.
    pub reset: bool,
    /// The factor by which RPCs are slowed down.
    pub slow: f64,
    /// The network delay in each direction.
    pub delay: Ns,
    /// The share of the machine's capacity that a noisy neighbour takes.
    pub neighbour: f64,
    /// The neighbour is active and idle in turn for this long; 0: always active.
    pub turn: Ns,
    /// Every answer is truncated, or has a wrong length.
    pub half: bool,
    pub wrong_length: bool,
    pub refuse: bool,
    /// The probability that a probe fails.
    pub probes: f64,
    /// The maximum number of connections.
    pub connections: Option<usize>,
    /// Fronts whose RPCs the fault affects; empty: all.
    pub fronts: Vec<String>,
    /// Fronts on the other side of a network partition: what they send never arrives.
    pub cut: Vec<String>,
}

impl Default for Fault {
    fn default() -> Fault {
        Fault {
            errors: 0.0,
            lost: 0.0,
            reset: false,
            slow: 1.0,
            delay: 0,
            neighbour: 0.0,
            turn: 0,
            half: false,
            wrong_length: false,
            refuse: false,
            probes: 0.0,
            connections: None,
            fronts: Vec::new(),
            cut: Vec::new(),
        }
    }
}

impl Fault {
    /// Parses a JSON object; missing fields keep their defaults.
    ///
    /// # Errors
    /// The name of the field that is unknown or has a wrong value.
    pub fn parse(json: &Value) -> Result<Fault, String> {
        let mut fault = Fault::default();
        for (name, value) in json.as_object().ok_or("an object is wanted")? {
            let number = || value.as_f64().filter(|x| *x >= 0.0).ok_or(format!("{name}: a number is wanted"));
            match name.as_str() {
                "errors" => fault.errors = number()?,
                "lost" => fault.lost = number()?,
                "reset" => fault.reset = value == true,
                "slow" => fault.slow = number()?.max(0.01),
                "delay_ms" => fault.delay = (number()? * MS as f64) as Ns,
                "neighbour" => fault.neighbour = number()?.min(0.95),
                "turn_ms" => fault.turn = (number()? * MS as f64) as Ns,
                "half" => fault.half = value == true,
                "wrong_length" => fault.wrong_length = value == true,
                "refuse" => fault.refuse = value == true,
                "probes" => fault.probes = number()?,
                "connections" => fault.connections = Some(number()? as usize),
                "fronts" | "cut" => {
                    let names = value.as_array().ok_or(format!("{name}: a list is wanted"))?;
                    let names = names.iter().filter_map(|n| n.as_str().map(String::from)).collect();
                    *(if name == "cut" { &mut fault.cut } else { &mut fault.fronts }) = names;
                }
                _ => return Err(format!("{name}: not known")),
            }
        }
        Ok(fault)
    }

    pub fn affects(&self, front: &str) -> bool {
        self.fronts.is_empty() || self.fronts.iter().any(|f| f == front)
    }

    pub fn is_partitioned_from(&self, front: &str) -> bool {
        self.cut.iter().any(|f| f == front)
    }
}

/// Capacity and overload limits of a machine, and the defect of its build.
#[derive(Clone, Debug)]
pub struct MachineSettings {
    pub cores: usize,
    pub speed: f64,
    pub bad: Option<Defect>,
    /// The share of its capacity that a machine starts with, and how long it takes to warm up to all of it.
    pub cold_from: f64,
    pub cold_time: Ns,
    /// A machine that is still cold collapses when the work sent to it within `fall_time` exceeds this multiple of
    /// its present capacity.
    pub multiple: f64,
    pub fall_time: Ns,
}

/// An RPC at the machine; `tag` identifies it to the caller.
pub struct Job<T> {
    pub conn: u64,
    pub tag: T,
    /// Work, in seconds of a core at speed 1.
    pub work: f64,
    pub deadline: Ns,
    /// Whether it calls the last method, to which [`Defect::Method`] applies.
    pub last_method: bool,
    /// Whether the machine's fault affects the front that sent it.
    pub affected: bool,
    disconnected: bool,
}

impl<T> Job<T> {
    pub fn new(conn: u64, tag: T, work: f64, deadline: Ns, last_method: bool, affected: bool) -> Job<T> {
        Job { conn, tag, work, deadline, last_method, affected, disconnected: false }
    }
}

/// An event that the machine reports for its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEvent {
    Arrived,
    Began,
    Ok,
    Error,
    /// Rejected because the queue was full, or because this RPC made the machine collapse.
    Full,
    /// Removed from the queue before it began.
    Dropped,
    /// The front closed the connection while the RPC ran.
    Left,
    /// The RPC ended, but its answer could not be sent.
    Unheard,
}

/// The answer to an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Ok {
        right: bool,
    },
    Error,
    /// Rejected, or past its deadline before it began: it certainly never ran.
    NeverRan,
    /// No answer; the connection stays open.
    Silence,
    /// No answer; the connection is closed.
    Reset,
    /// A truncated answer.
    Half,
    /// An answer shorter than its declared length.
    WrongLength,
}

/// The effects of a machine: records, answers and timers.
pub trait Environment<T> {
    fn record(&mut self, event: JobEvent, tag: &T);
    /// The machine collapsed: `sent` seconds of work exceeded `budget`.
    fn collapsed(&mut self, sent: f64, budget: f64, age: Ns);
    fn reply(&mut self, conn: u64, tag: &T, reply: Reply);
    /// Arranges a call with `serial` at `at`: of [`MachineModel::send_delayed`] if it contains [`DELAYED`], of
    /// [`MachineModel::finish`] otherwise.
    fn set_timer(&mut self, at: Ns, serial: u64);
}

/// The bit of a timer's serial that marks an answer held back by [`Fault::delay`].
pub const DELAYED: u64 = 1 << 61;

pub struct MachineModel<T> {
    pub settings: MachineSettings,
    pub fault: Fault,
    pub started: Ns,
    rng: StdRng,
    queue: VecDeque<Job<T>>,
    pub busy: usize,
    running: BTreeMap<u64, (Job<T>, Reply)>,
    /// Answers held back by [`Fault::delay`].
    delayed: BTreeMap<u64, (Job<T>, Reply)>,
    /// The number of RPCs begun; the newest one's serial.
    pub serial: u64,
    /// Arrival time and work of recent RPCs, for overload detection.
    recent_work: VecDeque<(Ns, f64)>,
    /// Whether the machine has collapsed under overload; it then answers nothing.
    pub collapsed: bool,
}

impl<T> MachineModel<T> {
    pub fn new(settings: MachineSettings, started: Ns, seed: u64) -> MachineModel<T> {
        MachineModel {
            settings,
            fault: Fault::default(),
            started,
            rng: StdRng::seed_from_u64(seed),
            queue: VecDeque::new(),
            busy: 0,
            running: BTreeMap::new(),
            delayed: BTreeMap::new(),
            serial: 0,
            recent_work: VecDeque::new(),
            collapsed: false,
        }
    }

    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Whether no RPC runs, waits or has an answer that is held back.
    pub fn idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty() && self.delayed.is_empty()
    }

    /// The share of its capacity that a machine has at this time after its start.
    pub fn warmth(&self, now: Ns) -> f64 {
        let progress = (now - self.started) as f64 / self.settings.cold_time.max(1) as f64;
        self.settings.cold_from + (1.0 - self.settings.cold_from) * progress.clamp(0.0, 1.0)
    }

    /// Draws whether a probe fails.
    pub fn probe_fails(&mut self) -> bool {
        self.fault.probes > 0.0 && self.rng.random::<f64>() < self.fault.probes
    }

    pub fn arrive(&mut self, now: Ns, env: &mut impl Environment<T>, job: Job<T>) {
        env.record(JobEvent::Arrived, &job.tag);
        if self.collapsed || self.fault.refuse && job.affected {
            return env.reply(job.conn, &job.tag, Reply::Reset);
        }
        self.detect_overload(now, env, job.work);
        if self.collapsed || self.busy + self.queue.len() >= self.settings.cores * (QUEUE_PER_CORE + 1) {
            env.record(JobEvent::Full, &job.tag);
            return env.reply(job.conn, &job.tag, Reply::NeverRan);
        }
        self.queue.push_back(job);
        self.start(now, env);
    }

    /// Collapses a cold machine whose recent work exceeds the multiple of its present capacity (the budget of rule 4).
    fn detect_overload(&mut self, now: Ns, env: &mut impl Environment<T>, work: f64) {
        let age = now - self.started;
        if age > self.settings.cold_time + self.settings.fall_time {
            return;
        }
        self.recent_work.push_back((now, work));
        while self.recent_work.front().is_some_and(|(at, _)| *at < now - self.settings.fall_time) {
            self.recent_work.pop_front();
        }
        let sent: f64 = self.recent_work.iter().map(|(_, w)| w).sum();
        let mean = sent / self.recent_work.len() as f64;
        let capacity = self.settings.cores as f64 * self.settings.speed * self.warmth(now);
        let budget = self.settings.multiple * capacity * self.settings.fall_time as f64 / SEC as f64
            + OVERLOAD_SLACK * mean;
        if sent > budget {
            self.collapsed = true;
            self.queue.clear();
            env.collapsed(sent, budget, age);
        }
    }

    fn start(&mut self, now: Ns, env: &mut impl Environment<T>) {
        while self.busy < self.settings.cores {
            let Some(job) = self.queue.pop_front() else { return };
            if job.deadline <= now {
                env.record(JobEvent::Dropped, &job.tag);
                env.reply(job.conn, &job.tag, Reply::NeverRan);
                continue;
            }
            env.record(JobEvent::Began, &job.tag);
            let reply = self.draw_reply(now, &job);
            let fault = &self.fault;
            let neighbour_active = fault.turn == 0 || (now / fault.turn.max(1)) % 2 == 0;
            let taken = if neighbour_active { fault.neighbour } else { 0.0 };
            let mut speed = self.settings.speed * self.warmth(now) * (1.0 - taken) / fault.slow;
            match self.settings.bad {
                Some(Defect::Slow(x)) => speed /= x.max(1.0),
                Some(Defect::Load(x)) if self.is_loaded() => speed /= 1.0 + x,
                Some(Defect::Late(x)) if now - self.started > LATE_DEFECT_DELAY => speed /= 1.0 + 2.0 * x,
                _ => {}
            }
            let fails_quickly = reply == Reply::Error && self.fault.errors > 0.0;
            let duration = if fails_quickly { MS } else { (job.work / speed.max(1e-3) * SEC as f64) as Ns };
            self.serial += 1;
            self.busy += 1;
            env.set_timer(now + duration, self.serial);
            self.running.insert(self.serial, (job, reply));
        }
    }

    /// Whether running and queued RPCs amount to two for each core, counting one more.
    fn is_loaded(&self) -> bool {
        self.busy + 1 + self.queue.len() >= 2 * self.settings.cores
    }

    /// Draws the answer to a job.
    fn draw_reply(&mut self, now: Ns, job: &Job<T>) -> Reply {
        let loaded = self.is_loaded();
        let mut draw = |p: f64| p > 0.0 && self.rng.random::<f64>() < p;
        let late = now - self.started > LATE_DEFECT_DELAY;
        let bad = match self.settings.bad {
            Some(Defect::Errors(p)) => draw(p),
            Some(Defect::Method(p)) => job.last_method && draw(p),
            Some(Defect::Load(p)) => loaded && draw(p),
            Some(Defect::Late(p)) => late && draw(p),
            _ => false,
        };
        let wrong = matches!(self.settings.bad, Some(Defect::Wrong(p)) if draw(p));
        let fails = bad || job.affected && draw(self.fault.errors);
        let lost = job.affected && draw(self.fault.lost);
        match () {
            () if lost && self.fault.reset => Reply::Reset,
            () if lost => Reply::Silence,
            () if job.affected && self.fault.half => Reply::Half,
            () if job.affected && self.fault.wrong_length => Reply::WrongLength,
            () if fails => Reply::Error,
            () => Reply::Ok { right: !wrong },
        }
    }

    pub fn finish(&mut self, now: Ns, env: &mut impl Environment<T>, serial: u64) {
        let Some((job, reply)) = self.running.remove(&serial) else { return };
        self.busy -= 1;
        if self.fault.delay > 0 && job.affected {
            env.set_timer(now + 2 * self.fault.delay, DELAYED | serial);
            self.delayed.insert(serial, (job, reply));
        } else {
            self.answer(env, job, reply);
        }
        self.start(now, env);
    }

    pub fn send_delayed(&mut self, env: &mut impl Environment<T>, serial: u64) {
        if let Some((job, reply)) = self.delayed.remove(&(serial & !DELAYED)) {
            self.answer(env, job, reply);
        }
    }

    fn answer(&mut self, env: &mut impl Environment<T>, job: Job<T>, reply: Reply) {
        if self.collapsed || job.disconnected {
            return env.record(JobEvent::Unheard, &job.tag);
        }
        env.record(if reply == Reply::Error { JobEvent::Error } else { JobEvent::Ok }, &job.tag);
        env.reply(job.conn, &job.tag, reply);
    }

    /// Handles a connection that the front closed: a queued RPC is dropped, a running one continues.
    pub fn connection_closed(&mut self, env: &mut impl Environment<T>, conn: u64) {
        if let Some(at) = self.queue.iter().position(|j| j.conn == conn) {
            if let Some(job) = self.queue.remove(at) {
                env.record(JobEvent::Dropped, &job.tag);
            }
        }
        for (job, _) in
            self.running.values_mut().chain(self.delayed.values_mut()).filter(|(j, _)| j.conn == conn)
        {
            job.disconnected = true;
            env.record(JobEvent::Left, &job.tag);
        }
    }
}
