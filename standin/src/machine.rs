//! A stand-in machine: cores, a queue, warmth after its start, falling over when pushed past its multiple,
//! builds with each form of badness, faults by call, and a record of what arrived and what ran.
use crate::record::Record;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_net::http::{self, Request};
use rockpick_net::{Call, End, Event, Id, Net, Ns, MS, SEC};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A beat to the controller; six fit into the silence after which it counts a machine as gone.
const BEAT: Ns = SEC / 2;
/// Work of an RPC that names none.
const WORK: f64 = 0.05;
/// RPCs waiting, for each core; one more is refused unseen.
const QUEUE: usize = 24;
/// Room for chance in the push: so many mean RPCs on top of the budget.
const SLACK: f64 = 4.0;
/// A machine told to leave that hears nothing from a controller ends after this.
const LEAVE_WITHIN: Ns = 15 * SEC;

pub struct Machine {
    pub name: String,
    pub place: String,
    pub build: u32,
    pub listen: SocketAddr,
    pub controller: SocketAddr,
    pub cores: usize,
    pub speed: f64,
    pub bad: Option<Bad>,
    pub record: Option<PathBuf>,
    pub seed: u64,
    /// A machine that has run for long: warm at once.
    pub warm: bool,
    /// An agent speaks for it: it beats to nobody, and ends when asked, once what runs has ended.
    pub agent: bool,
}

/// How a build is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bad {
    Errors(f64),
    /// Of the last method alone.
    Method(f64),
    Slow(f64),
    /// Slow and failing only while most cores are busy.
    Load(f64),
    /// Slow and failing some seconds after its start.
    Late(f64),
    Wrong(f64),
    /// Slows all machines in step with its traffic; whoever runs the rehearsal makes that so.
    Shared(f64),
}

impl Bad {
    /// Reads `errors:0.3`.
    pub fn read(text: &str) -> Option<Bad> {
        let (kind, size) = text.split_once(':')?;
        let size: f64 = size.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0)?;
        Some(match kind {
            "errors" => Bad::Errors(size),
            "method" => Bad::Method(size),
            "slow" => Bad::Slow(size),
            "load" => Bad::Load(size),
            "late" => Bad::Late(size),
            "wrong" => Bad::Wrong(size),
            "shared" => Bad::Shared(size),
            _ => return None,
        })
    }
}

/// What is wrong with a machine by call, perhaps for some fronts alone.
#[derive(Clone, Default)]
struct Fault {
    /// Share of RPCs that fail quickly, and of answers that get lost.
    errors: f64,
    lost: f64,
    /// Lost answers reset the connection instead of staying away.
    reset: bool,
    /// How many times slower; a wait each way; share of the machine taken by others, on and off by turns.
    slow: f64,
    delay: Ns,
    neighbour: f64,
    turn: Ns,
    /// Half an answer, a wrong length, in place of every answer.
    half: bool,
    wrong_length: bool,
    refuse: bool,
    probes: f64,
    fronts: Vec<String>,
}

impl Fault {
    fn read(json: &Value) -> Result<Fault, String> {
        let mut fault = Fault { slow: 1.0, ..Fault::default() };
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
                "connections" => {}
                "fronts" => {
                    let names = value.as_array().ok_or("fronts: a list is wanted")?;
                    fault.fronts = names.iter().filter_map(|n| n.as_str().map(String::from)).collect();
                }
                _ => return Err(format!("{name}: not known")),
            }
        }
        Ok(fault)
    }

    fn meets(&self, front: &str) -> bool {
        self.fronts.is_empty() || self.fronts.iter().any(|f| f == front)
    }
}

struct Job {
    conn: Id,
    rpc: String,
    attempt: String,
    method: String,
    front: String,
    pick: String,
    key: String,
    work: f64,
    until: Ns,
    gone: bool,
}

/// What a job's end comes to.
struct Ending {
    job: Job,
    status: u16,
    wrong: bool,
    how: How,
}

#[derive(Clone, Copy, PartialEq)]
enum How {
    Answer,
    Silence,
    Reset,
    Half,
    WrongLength,
}

struct Shop {
    net: Net,
    machine: Machine,
    record: Record,
    chance: StdRng,
    run: u64,
    cold_from: f64,
    cold_time: Ns,
    multiple: f64,
    fall_time: Ns,
    queue: VecDeque<Job>,
    busy: usize,
    running: BTreeMap<u64, Ending>,
    /// Answers that wait for their delay.
    held: BTreeMap<u64, Ending>,
    serial: u64,
    pushed: VecDeque<(Ns, f64)>,
    fallen: bool,
    fault: Fault,
    beat: Option<(Id, Ns)>,
    settings: Option<Id>,
    leaving: Option<Ns>,
    drained: bool,
    made: Vec<Event>,
}

const TAG_BEAT: u64 = 1 << 60;
const TAG_HELD: u64 = 1 << 61;

impl Machine {
    /// Runs until it is told to stop; `ready` hears the address taken.
    ///
    /// # Errors
    /// An address that can't be listened on, a record that can't be opened.
    pub fn run(self, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
        let say = |err: std::io::Error| err.to_string();
        let mut net = Net::new(20_000).map_err(say)?;
        for signal in [15, 2] {
            net.on_signal(signal).map_err(say)?;
        }
        let (_, at) = net.listen(self.listen).map_err(|err| format!("{}: {err}", self.listen))?;
        let record = Record::open(self.record.as_deref()).map_err(say)?;
        let chance = StdRng::seed_from_u64(self.seed);
        // Differs with every start: the clock's low bits and the process.
        let run = crate::record::clock() as u64 >> 10 ^ u64::from(std::process::id()) << 40;
        ready(at);
        let mut shop = Shop {
            net,
            machine: self,
            record,
            chance,
            run: run & 0xffff_ffff_ffff,
            cold_from: 1.0,
            cold_time: 0,
            multiple: f64::MAX,
            fall_time: SEC,
            queue: VecDeque::new(),
            busy: 0,
            running: BTreeMap::new(),
            held: BTreeMap::new(),
            serial: 0,
            pushed: VecDeque::new(),
            fallen: false,
            fault: Fault { slow: 1.0, ..Fault::default() },
            beat: None,
            settings: None,
            leaving: None,
            drained: false,
            made: Vec::new(),
        };
        let build = shop.machine.build;
        shop.record.put(json!({ "event": "up", "machine": shop.machine.name, "build": build }));
        shop.ask_settings();
        shop.work(at)
    }
}

impl Shop {
    fn work(mut self, at: SocketAddr) -> Result<(), String> {
        let mut events = Vec::new();
        loop {
            events.append(&mut self.made);
            self.net.turn(&mut events, SEC).map_err(|err| err.to_string())?;
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Request { conn, request } => self.request(conn, request),
                    Event::Left { conn } => self.left(conn),
                    Event::Woke { tag: TAG_BEAT } => self.beat(at),
                    Event::Woke { tag } if tag & TAG_HELD != 0 => {
                        if let Some(ending) = self.held.remove(&(tag & !TAG_HELD)) {
                            self.answer(ending);
                        }
                    }
                    Event::Woke { tag } => self.done(tag),
                    Event::Ended { call, end } => {
                        if self.beat.is_some_and(|(id, _)| id == call) {
                            self.beat = None;
                            if let End::Answer(r) = end {
                                if self.ordered(&r.body) {
                                    return Ok(());
                                }
                            }
                        } else if self.settings == Some(call) {
                            self.settings = None;
                            match end {
                                End::Answer(r) if r.status == 200 => {
                                    self.read_settings(&r.body);
                                    self.beat(at);
                                }
                                _ => self.net.wake_at(self.net.now() + BEAT, TAG_BEAT),
                            }
                        }
                    }
                    Event::Signal { .. } => {
                        if self.leaving.is_some() {
                            return Ok(());
                        }
                        self.leaving = Some(self.net.now() + LEAVE_WITHIN);
                        if self.machine.agent {
                            self.net.stop_listening();
                        }
                        self.beat(at);
                    }
                    _ => {}
                }
            }
            let done = self.machine.agent && self.running.is_empty() && self.queue.is_empty();
            if self.leaving.is_some_and(|by| done || self.net.now() > by) {
                return Ok(());
            }
        }
    }

    fn ask(&mut self, method: &str, target: &str, body: &str) -> Id {
        let to = self.machine.controller;
        let request = http::ask(method, target, &to.to_string(), &[], body.as_bytes());
        let call = Call { to, request: &request, connect_within: BEAT, stream: false, head_only: false };
        self.net.call(&mut self.made, call)
    }

    fn ask_settings(&mut self) {
        self.settings = Some(self.ask("GET", "/settings", ""));
    }

    fn read_settings(&mut self, body: &[u8]) {
        let said: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let number = |name: &str, none: f64| said["settings"]["guard"][name].as_f64().unwrap_or(none);
        self.cold_from = number("cold_from", 1.0);
        self.cold_time = if self.machine.warm { 0 } else { (number("cold_time_ms", 0.0) * MS as f64) as Ns };
        self.multiple = number("overload_factor", 1e9);
        self.fall_time = (number("fall_time_ms", 1e3) * MS as f64) as Ns;
    }

    fn beat(&mut self, at: SocketAddr) {
        let now = self.net.now();
        if let Some((old, since)) = self.beat {
            // One that got no answer in two beats is given up.
            if now - since < 2 * BEAT {
                return self.net.wake_at(now + BEAT, TAG_BEAT);
            }
            self.net.cancel(old);
        }
        if self.machine.agent {
            if self.settings.is_none() && self.multiple == f64::MAX {
                self.ask_settings();
            }
            return;
        }
        if self.cold_time == 0 && self.multiple == f64::MAX && self.settings.is_none() {
            return self.ask_settings();
        }
        // One that fell over beats on: the roster knows only whether a process runs.
        let age = if self.machine.warm { 3_600_000.0 } else { now as f64 / MS as f64 };
        let body = json!({ "addr": at.to_string(), "place": self.machine.place, "build": self.machine.build,
            "run": self.run, "age_ms": age, "leaving": self.leaving.is_some(),
            "held": self.busy + self.queue.len() })
        .to_string();
        let target = format!("/machines/{}", self.machine.name);
        let id = self.ask("POST", &target, &body);
        self.beat = Some((id, now));
        self.net.wake_at(now + BEAT, TAG_BEAT);
    }

    /// Does as the controller says; true: stop.
    fn ordered(&mut self, body: &[u8]) -> bool {
        let said: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let order = said["order"].as_str().unwrap_or("");
        if order == "drain" && !self.drained {
            self.record.put(json!({ "event": "drain", "machine": self.machine.name }));
        }
        self.drained = order == "drain" || order == "stop";
        if order == "stop" {
            self.record.put(json!({ "event": "stop", "machine": self.machine.name }));
            let body = json!({ "addr": "127.0.0.1:0", "place": self.machine.place, "build": self.machine.build,
                "run": self.run, "age_ms": 0.0, "left": true });
            let target = format!("/machines/{}", self.machine.name);
            self.ask("POST", &target, &body.to_string());
            let by = self.net.now() + SEC / 4;
            let mut events = Vec::new();
            while self.net.now() < by && !events.iter().any(|e| matches!(e, Event::Ended { .. })) {
                if self.net.turn(&mut events, SEC / 20).is_err() {
                    break;
                }
            }
        }
        order == "stop"
    }

    /// The part of its capacity that it has by now.
    fn warmth(&self) -> f64 {
        let part = self.net.now() as f64 / self.cold_time.max(1) as f64;
        self.cold_from + (1.0 - self.cold_from) * part.min(1.0)
    }

    fn request(&mut self, conn: Id, request: Request) {
        let path = request.path().to_string();
        match (request.method.as_str(), path.as_str()) {
            ("POST", "/fault") => return self.set_fault(conn, &request.body),
            ("GET", "/probe") => {
                let fails = self.chance.random::<f64>() < self.fault.probes;
                return self.net.answer(conn, if fails { 500 } else { 200 }, &[], b"");
            }
            ("GET", "/status") => {
                let body = json!({ "machine": self.machine.name, "build": self.machine.build, "busy": self.busy,
                    "queue": self.queue.len(), "warmth": self.warmth(), "fallen": self.fallen, "ran": self.serial });
                return self.net.answer(conn, 200, &[], format!("{body}\n").as_bytes());
            }
            _ => {}
        }
        let Some(method) = path.strip_prefix("/rpc/").filter(|_| request.method == "POST") else {
            return self.net.answer(conn, 404, &[], b"POST /rpc/METHOD is known\n");
        };
        let line = |name: &str| request.lines.get(name).unwrap_or("").to_string();
        let left = line("rockpick-time-left-ms").parse::<f64>().unwrap_or(60_000.0).clamp(0.0, 1e9);
        let work = line("standin-work-ms").parse::<f64>().map_or(WORK, |ms| ms.clamp(0.0, 60_000.0) / 1e3);
        let job = Job {
            conn,
            rpc: line("x-request-id"),
            attempt: line("standin-try"),
            method: method.into(),
            front: line("rockpick-front"),
            pick: line("rockpick-pick"),
            key: line("rockpick-key"),
            work,
            until: self.net.now() + (left * MS as f64) as Ns,
            gone: false,
        };
        self.say("arrived", &job);
        if self.fallen || self.fault.refuse && self.fault.meets(&job.front) {
            return self.net.close(conn);
        }
        self.push(&job);
        if self.fallen || self.busy + self.queue.len() >= self.machine.cores * (QUEUE + 1) {
            self.say("full", &job);
            return self.net.answer(conn, 503, &[("Rockpick-Never-Ran", "1")], b"full\n");
        }
        self.queue.push_back(job);
        self.start();
    }

    fn say(&mut self, event: &str, job: &Job) {
        let line = json!({ "event": event, "machine": self.machine.name, "build": self.machine.build,
            "rpc": job.rpc, "try": job.attempt, "method": job.method, "front": job.front, "pick": job.pick,
            "key": job.key });
        self.record.put(line);
    }

    /// Rule 4's budget: work sent within the span against the multiple of what it can do at present.
    fn push(&mut self, job: &Job) {
        let now = self.net.now();
        if now > self.cold_time + self.fall_time {
            return;
        }
        self.pushed.push_back((now, job.work));
        while self.pushed.front().is_some_and(|(at, _)| *at < now - self.fall_time) {
            self.pushed.pop_front();
        }
        let sent: f64 = self.pushed.iter().map(|(_, w)| w).sum();
        let mean = sent / self.pushed.len() as f64;
        let can = self.machine.cores as f64 * self.machine.speed * self.warmth();
        let budget = self.multiple * can * self.fall_time as f64 / SEC as f64 + SLACK * mean;
        if sent > budget {
            self.fallen = true;
            self.queue.clear();
            self.record
                .put(json!({ "event": "fell", "machine": self.machine.name, "sent": sent, "budget": budget,
                "age_ms": now / MS }));
        }
    }

    fn start(&mut self) {
        let now = self.net.now();
        while self.busy < self.machine.cores {
            let Some(job) = self.queue.pop_front() else { return };
            if job.until <= now {
                // Its time is over: not begun.
                self.say("dropped", &job);
                self.net.answer(job.conn, 503, &[("Rockpick-Never-Ran", "1")], b"its time is over\n");
                continue;
            }
            self.say("began", &job);
            let ending = self.fate(job);
            let fault = &self.fault;
            let on = fault.turn == 0 || (now / fault.turn.max(1)) % 2 == 0;
            let taken = if on { fault.neighbour } else { 0.0 };
            let mut speed = self.machine.speed * self.warmth() * (1.0 - taken) / fault.slow;
            let full = self.busy + 1 + self.queue.len() >= 2 * self.machine.cores;
            match self.machine.bad {
                Some(Bad::Slow(x)) => speed /= x.max(1.0),
                Some(Bad::Load(x)) if full => speed /= 1.0 + x,
                Some(Bad::Late(x)) if now > 7 * SEC => speed /= 1.0 + 2.0 * x,
                _ => {}
            }
            let quick = ending.status >= 500 && self.fault.errors > 0.0;
            let took = if quick { MS } else { (ending.job.work / speed.max(1e-3) * SEC as f64) as Ns };
            self.serial += 1;
            self.busy += 1;
            self.net.wake_at(now + took, self.serial);
            self.running.insert(self.serial, ending);
        }
    }

    /// Draws how a job will end.
    fn fate(&mut self, job: Job) -> Ending {
        let (now, meets) = (self.net.now(), self.fault.meets(&job.front));
        let mut draw = |p: f64| p > 0.0 && self.chance.random::<f64>() < p;
        let full = self.busy + 1 + self.queue.len() >= 2 * self.machine.cores;
        let bad = match self.machine.bad {
            Some(Bad::Errors(p)) => draw(p),
            Some(Bad::Method(p)) => job.method == "lodge" && draw(p),
            Some(Bad::Load(p)) => full && draw(p),
            Some(Bad::Late(p)) => now > 7 * SEC && draw(p),
            _ => false,
        };
        let wrong = matches!(self.machine.bad, Some(Bad::Wrong(p)) if draw(p));
        let fails = bad || meets && draw(self.fault.errors);
        let lost = meets && draw(self.fault.lost);
        let how = match () {
            () if lost && self.fault.reset => How::Reset,
            () if lost => How::Silence,
            () if meets && self.fault.half => How::Half,
            () if meets && self.fault.wrong_length => How::WrongLength,
            () => How::Answer,
        };
        Ending { job, status: if fails { 500 } else { 200 }, wrong, how }
    }

    fn done(&mut self, serial: u64) {
        let Some(ending) = self.running.remove(&serial) else { return };
        self.busy -= 1;
        if self.fault.delay > 0 && self.fault.meets(&ending.job.front) {
            self.net.wake_at(self.net.now() + 2 * self.fault.delay, TAG_HELD | serial);
            self.held.insert(serial, ending);
        } else {
            self.answer(ending);
        }
        self.start();
    }

    fn answer(&mut self, ending: Ending) {
        let Ending { job, status, wrong, how } = ending;
        if self.fallen || job.gone {
            return self.say("unheard", &job);
        }
        self.say(if status == 200 { "ok" } else { "error" }, &job);
        let build = self.machine.build.to_string();
        let body = json!({ "machine": self.machine.name, "build": self.machine.build, "rpc": job.rpc,
            "right": !wrong })
        .to_string();
        let lines = [("Content-Type", "application/json"), ("Standin-Build", &*build)];
        match how {
            How::Answer => self.net.answer(job.conn, status, &lines, body.as_bytes()),
            How::Silence => {}
            How::Reset => self.net.close(job.conn),
            How::Half => {
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{{\"ha", body.len());
                self.net.raw(job.conn, text.as_bytes(), true);
            }
            How::WrongLength => {
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len() + 7);
                self.net.raw(job.conn, text.as_bytes(), true);
            }
        }
    }

    /// The front closed the connection: waiting work is dropped, running work goes on.
    fn left(&mut self, conn: Id) {
        if let Some(at) = self.queue.iter().position(|j| j.conn == conn) {
            if let Some(job) = self.queue.remove(at) {
                self.say("dropped", &job);
            }
        }
        let jobs = self.running.values_mut().chain(self.held.values_mut());
        let mut left = None;
        for ending in jobs.filter(|e| e.job.conn == conn) {
            ending.job.gone = true;
            left = Some((ending.job.rpc.clone(), ending.job.pick.clone(), ending.job.front.clone()));
        }
        if let Some((rpc, pick, front)) = left {
            self.record
                .put(json!({ "event": "left", "machine": self.machine.name, "build": self.machine.build,
                "rpc": rpc, "pick": pick, "front": front }));
        }
    }

    fn set_fault(&mut self, conn: Id, body: &[u8]) {
        let json: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match Fault::read(&json) {
            Ok(fault) => {
                self.fault = fault;
                self.net.most_clients = json["connections"].as_u64().map_or(20_000, |n| n as usize);
                self.net.answer(conn, 200, &[], b"{}\n");
            }
            Err(why) => self.net.answer(conn, 400, &[], format!("{why}\n").as_bytes()),
        }
    }
}
