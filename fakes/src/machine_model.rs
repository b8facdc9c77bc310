//! What a stand-in machine is, without its sockets and its clock: cores, a queue, warmth after its start,
//! falling over when pushed past its multiple, builds with each form of badness, faults. The process on
//! loopback and the emulator run this very code.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_net::{Ns, MS, SEC};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// RPCs waiting, for each core; one more is refused unseen.
const QUEUE: usize = 24;
/// Room for chance in the push: so many mean RPCs on top of the budget.
const SLACK: f64 = 4.0;
/// When a build that is bad late turns bad, after its start.
const LATE: Ns = 7 * SEC;

/// How a build is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    Errors(f64),
    /// Of the last method alone.
    Method(f64),
    Slow(f64),
    /// Slow and failing only while most cores are busy.
    Load(f64),
    /// Slow and failing some seconds after its start.
    Late(f64),
    Wrong(f64),
    /// Slows all machines in step with its traffic; whoever runs the day makes that so.
    Shared(f64),
}

impl Defect {
    /// Reads `errors:0.3`.
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

/// What is wrong with a machine, perhaps for some fronts alone.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Share of RPCs that fail quickly, and of answers that get lost.
    pub errors: f64,
    pub lost: f64,
    /// Lost answers reset the connection instead of staying away.
    pub reset: bool,
    /// How many times slower; a wait each way; share of the machine taken by others, on and off by turns.
    pub slow: f64,
    pub delay: Ns,
    pub neighbour: f64,
    pub turn: Ns,
    /// Half an answer, a wrong length, in place of every answer.
    pub half: bool,
    pub wrong_length: bool,
    pub refuse: bool,
    pub probes: f64,
    /// Connections taken at most.
    pub connections: Option<usize>,
    pub fronts: Vec<String>,
    /// Fronts cut off by a partition: what they send never arrives.
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
    /// Reads a JSON object; fields left out are as usual.
    ///
    /// # Errors
    /// Names the field.
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

/// Limits and speeds of a machine.
#[derive(Clone, Debug)]
pub struct MachineSettings {
    pub cores: usize,
    pub speed: f64,
    pub bad: Option<Defect>,
    /// The part of its capacity that it starts with, and how long it takes to the whole.
    pub cold_from: f64,
    pub cold_time: Ns,
    /// Pushed past this multiple of what it can do for the time, it falls over while cold.
    pub multiple: f64,
    pub fall_time: Ns,
}

/// An RPC at the machine; `tag` is the caller's.
pub struct Job<T> {
    pub conn: u64,
    pub tag: T,
    /// Work, in seconds of a core at speed 1.
    pub work: f64,
    pub deadline: Ns,
    /// Is it of the last method, and does the machine's fault meet its front?
    pub last_method: bool,
    pub affected: bool,
    gone: bool,
}

impl<T> Job<T> {
    pub fn new(conn: u64, tag: T, work: f64, deadline: Ns, last_method: bool, affected: bool) -> Job<T> {
        Job { conn, tag, work, deadline, last_method, affected, gone: false }
    }
}

/// What a machine says to its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEvent {
    Arrived,
    Began,
    Ok,
    Error,
    Full,
    Dropped,
    /// The front closed the connection while it ran; nobody heard the end.
    Left,
    Unheard,
}

/// What the caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Ok {
        right: bool,
    },
    Error,
    /// Turned away, or its time was over before it began: provably never ran.
    NeverRan,
    Silence,
    Reset,
    Half,
    WrongLength,
}

/// What the machine's surroundings do for it.
pub trait Environment<T> {
    fn record(&mut self, did: JobEvent, tag: &T);
    fn collapsed(&mut self, sent: f64, budget: f64, age: Ns);
    fn reply(&mut self, conn: u64, tag: &T, reply: Reply);
    /// [`MachineModel::finish`] or [`MachineModel::send_delayed`] is to be called with `serial` then.
    fn set_timer(&mut self, at: Ns, serial: u64);
}

/// The bit that marks a wake for an answer that waited for its delay.
pub const DELAYED: u64 = 1 << 61;

pub struct MachineModel<T> {
    pub settings: MachineSettings,
    pub fault: Fault,
    /// Its start.
    pub started: Ns,
    chance: StdRng,
    queue: VecDeque<Job<T>>,
    pub busy: usize,
    running: BTreeMap<u64, (Job<T>, Reply)>,
    /// Answers that wait for their delay.
    held: BTreeMap<u64, (Job<T>, Reply)>,
    pub serial: u64,
    pushed: VecDeque<(Ns, f64)>,
    pub collapsed: bool,
}

impl<T> MachineModel<T> {
    pub fn new(settings: MachineSettings, started: Ns, seed: u64) -> MachineModel<T> {
        MachineModel {
            settings,
            fault: Fault::default(),
            started,
            chance: StdRng::seed_from_u64(seed),
            queue: VecDeque::new(),
            busy: 0,
            running: BTreeMap::new(),
            held: BTreeMap::new(),
            serial: 0,
            pushed: VecDeque::new(),
            collapsed: false,
        }
    }

    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Nothing runs or waits.
    pub fn idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty() && self.held.is_empty()
    }

    /// The part of its capacity that it has by now.
    pub fn warmth(&self, now: Ns) -> f64 {
        let part = (now - self.started) as f64 / self.settings.cold_time.max(1) as f64;
        self.settings.cold_from + (1.0 - self.settings.cold_from) * part.clamp(0.0, 1.0)
    }

    /// Does a probe fail now?
    pub fn probe_fails(&mut self) -> bool {
        self.fault.probes > 0.0 && self.chance.random::<f64>() < self.fault.probes
    }

    pub fn arrive(&mut self, now: Ns, yard: &mut impl Environment<T>, job: Job<T>) {
        yard.record(JobEvent::Arrived, &job.tag);
        if self.collapsed || self.fault.refuse && job.affected {
            return yard.reply(job.conn, &job.tag, Reply::Reset);
        }
        self.push(now, yard, job.work);
        if self.collapsed || self.busy + self.queue.len() >= self.settings.cores * (QUEUE + 1) {
            yard.record(JobEvent::Full, &job.tag);
            return yard.reply(job.conn, &job.tag, Reply::NeverRan);
        }
        self.queue.push_back(job);
        self.start(now, yard);
    }

    /// Rule 4's budget: work sent within the span against the multiple of what it can do at present.
    fn push(&mut self, now: Ns, yard: &mut impl Environment<T>, work: f64) {
        let age = now - self.started;
        if age > self.settings.cold_time + self.settings.fall_time {
            return;
        }
        self.pushed.push_back((now, work));
        while self.pushed.front().is_some_and(|(at, _)| *at < now - self.settings.fall_time) {
            self.pushed.pop_front();
        }
        let sent: f64 = self.pushed.iter().map(|(_, w)| w).sum();
        let mean = sent / self.pushed.len() as f64;
        let can = self.settings.cores as f64 * self.settings.speed * self.warmth(now);
        let budget =
            self.settings.multiple * can * self.settings.fall_time as f64 / SEC as f64 + SLACK * mean;
        if sent > budget {
            self.collapsed = true;
            self.queue.clear();
            yard.collapsed(sent, budget, age);
        }
    }

    fn start(&mut self, now: Ns, yard: &mut impl Environment<T>) {
        while self.busy < self.settings.cores {
            let Some(job) = self.queue.pop_front() else { return };
            if job.deadline <= now {
                yard.record(JobEvent::Dropped, &job.tag);
                yard.reply(job.conn, &job.tag, Reply::NeverRan);
                continue;
            }
            yard.record(JobEvent::Began, &job.tag);
            let reply = self.fate(now, &job);
            let fault = &self.fault;
            let on = fault.turn == 0 || (now / fault.turn.max(1)) % 2 == 0;
            let taken = if on { fault.neighbour } else { 0.0 };
            let mut speed = self.settings.speed * self.warmth(now) * (1.0 - taken) / fault.slow;
            match self.settings.bad {
                Some(Defect::Slow(x)) => speed /= x.max(1.0),
                Some(Defect::Load(x)) if self.full() => speed /= 1.0 + x,
                Some(Defect::Late(x)) if now - self.started > LATE => speed /= 1.0 + 2.0 * x,
                _ => {}
            }
            let quick = reply == Reply::Error && self.fault.errors > 0.0;
            let took = if quick { MS } else { (job.work / speed.max(1e-3) * SEC as f64) as Ns };
            self.serial += 1;
            self.busy += 1;
            yard.set_timer(now + took, self.serial);
            self.running.insert(self.serial, (job, reply));
        }
    }

    fn full(&self) -> bool {
        self.busy + 1 + self.queue.len() >= 2 * self.settings.cores
    }

    /// Draws how a job will end.
    fn fate(&mut self, now: Ns, job: &Job<T>) -> Reply {
        let full = self.full();
        let mut draw = |p: f64| p > 0.0 && self.chance.random::<f64>() < p;
        let late = now - self.started > LATE;
        let bad = match self.settings.bad {
            Some(Defect::Errors(p)) => draw(p),
            Some(Defect::Method(p)) => job.last_method && draw(p),
            Some(Defect::Load(p)) => full && draw(p),
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

    pub fn finish(&mut self, now: Ns, yard: &mut impl Environment<T>, serial: u64) {
        let Some((job, reply)) = self.running.remove(&serial) else { return };
        self.busy -= 1;
        if self.fault.delay > 0 && job.affected {
            yard.set_timer(now + 2 * self.fault.delay, DELAYED | serial);
            self.held.insert(serial, (job, reply));
        } else {
            self.answer(yard, job, reply);
        }
        self.start(now, yard);
    }

    pub fn send_delayed(&mut self, yard: &mut impl Environment<T>, serial: u64) {
        if let Some((job, reply)) = self.held.remove(&(serial & !DELAYED)) {
            self.answer(yard, job, reply);
        }
    }

    fn answer(&mut self, yard: &mut impl Environment<T>, job: Job<T>, reply: Reply) {
        if self.collapsed || job.gone {
            return yard.record(JobEvent::Unheard, &job.tag);
        }
        yard.record(if reply == Reply::Error { JobEvent::Error } else { JobEvent::Ok }, &job.tag);
        yard.reply(job.conn, &job.tag, reply);
    }

    /// The front closed the connection: waiting work is dropped, running work goes on.
    pub fn connection_closed(&mut self, yard: &mut impl Environment<T>, conn: u64) {
        if let Some(at) = self.queue.iter().position(|j| j.conn == conn) {
            if let Some(job) = self.queue.remove(at) {
                yard.record(JobEvent::Dropped, &job.tag);
            }
        }
        for (job, _) in
            self.running.values_mut().chain(self.held.values_mut()).filter(|(j, _)| j.conn == conn)
        {
            job.gone = true;
            yard.record(JobEvent::Left, &job.tag);
        }
    }
}
