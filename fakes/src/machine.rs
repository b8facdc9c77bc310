//! A stand-in machine as a process: [`crate::machine_model`] behind sockets, with faults by call, and a record of what
//! arrived and what ran.
use crate::machine_model::{
    Defect, Environment, Fault, Job, JobEvent, MachineModel, MachineSettings, Reply, DELAYED,
};
use crate::record::Record;
use rockpick_net::http::{self, Request};
use rockpick_net::{Call, CallEnd, Event, Id, Net, Ns, MS, SEC};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A beat to the controller; six fit into the silence after which it counts a machine as gone.
const BEAT: Ns = SEC / 2;
/// Work of an RPC that names none.
const WORK: f64 = 0.05;
/// A machine told to leave that hears nothing from a controller ends after this.
const LEAVE_WITHIN: Ns = 15 * SEC;

/// Connections taken unless a fault says otherwise.
const MOST_CLIENTS: usize = 20_000;

pub struct Machine {
    pub name: String,
    pub place: String,
    pub build: u32,
    pub listen: SocketAddr,
    pub controller: SocketAddr,
    pub cores: usize,
    pub speed: f64,
    pub bad: Option<Defect>,
    pub record: Option<PathBuf>,
    pub seed: u64,
    /// A machine that has run for long: warm at once.
    pub warm: bool,
    /// An agent speaks for it: it beats to nobody, and ends when asked, once what runs has ended.
    pub agent: bool,
}

/// What of a request goes into the record.
struct Tag {
    rpc: String,
    attempt: String,
    method: String,
    front: String,
    pick: String,
    key: String,
}

/// The machine's surroundings: sockets and record.
struct Street {
    net: Net,
    record: Record,
    name: String,
    build: u32,
}

impl Environment<Tag> for Street {
    fn record(&mut self, did: JobEvent, tag: &Tag) {
        let event = match did {
            JobEvent::Arrived => "arrived",
            JobEvent::Began => "began",
            JobEvent::Ok => "ok",
            JobEvent::Error => "error",
            JobEvent::Full => "full",
            JobEvent::Dropped => "dropped",
            JobEvent::Left => "left",
            JobEvent::Unheard => "unheard",
        };
        self.record.write(json!({ "event": event, "machine": self.name, "build": self.build, "rpc": tag.rpc,
            "try": tag.attempt, "method": tag.method, "front": tag.front, "pick": tag.pick, "key": tag.key }));
    }

    fn collapsed(&mut self, sent: f64, budget: f64, age: Ns) {
        self.record.write(json!({ "event": "fell", "machine": self.name, "sent": sent, "budget": budget,
            "age_ms": age / MS }));
    }

    fn reply(&mut self, conn: Id, tag: &Tag, reply: Reply) {
        let build = self.build.to_string();
        let right = !matches!(reply, Reply::Ok { right: false });
        let body =
            json!({ "machine": self.name, "build": self.build, "rpc": tag.rpc, "right": right }).to_string();
        let lines = [("Content-Type", "application/json"), ("Standin-Build", &*build)];
        match reply {
            Reply::Ok { .. } => self.net.answer(conn, 200, &lines, body.as_bytes()),
            Reply::Error => self.net.answer(conn, 500, &lines, body.as_bytes()),
            Reply::NeverRan => self.net.answer(conn, 503, &[("Rockpick-Never-Ran", "1")], b"not now\n"),
            Reply::Silence => {}
            Reply::Reset => self.net.close(conn),
            Reply::Half => {
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{{\"ha", body.len());
                self.net.send_raw(conn, text.as_bytes(), true);
            }
            Reply::WrongLength => {
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len() + 7);
                self.net.send_raw(conn, text.as_bytes(), true);
            }
        }
    }

    fn set_timer(&mut self, at: Ns, serial: u64) {
        self.net.wake_at(at, serial);
    }
}

struct Process {
    machine: Machine,
    street: Street,
    shop: MachineModel<Tag>,
    run: u64,
    beat: Option<(Id, Ns)>,
    settings: Option<Id>,
    known: bool,
    leaving: Option<Ns>,
    drained: bool,
    made: Vec<Event>,
}

const TAG_BEAT: u64 = 1 << 60;

impl Machine {
    /// Runs until it is told to stop; `ready` hears the address taken.
    ///
    /// # Errors
    /// An address that can't be listened on, a record that can't be opened.
    pub fn run(self, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
        let say = |err: std::io::Error| err.to_string();
        let mut net = Net::new(MOST_CLIENTS).map_err(say)?;
        for signal in [15, 2] {
            net.on_signal(signal).map_err(say)?;
        }
        let (_, at) = net.listen(self.listen).map_err(|err| format!("{}: {err}", self.listen))?;
        let record = Record::open(self.record.as_deref()).map_err(say)?;
        // Differs with every start: the clock's low bits and the process.
        let run = crate::record::monotonic_ns() as u64 >> 10 ^ u64::from(std::process::id()) << 40;
        ready(at);
        let kind = MachineSettings {
            cores: self.cores,
            speed: self.speed,
            bad: self.bad,
            cold_from: 1.0,
            cold_time: 0,
            multiple: f64::MAX,
            fall_time: SEC,
        };
        let mut shop = Process {
            shop: MachineModel::new(kind, 0, self.seed),
            street: Street { net, record, name: self.name.clone(), build: self.build },
            machine: self,
            run: run & 0xffff_ffff_ffff,
            beat: None,
            settings: None,
            known: false,
            leaving: None,
            drained: false,
            made: Vec::new(),
        };
        let name = shop.machine.name.clone();
        shop.street.record.write(json!({ "event": "up", "machine": name, "build": shop.machine.build }));
        shop.ask_settings();
        shop.work(at)
    }
}

impl Process {
    fn work(mut self, at: SocketAddr) -> Result<(), String> {
        let mut events = Vec::new();
        loop {
            events.append(&mut self.made);
            self.street.net.turn(&mut events, SEC).map_err(|err| err.to_string())?;
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Request { conn, request } => self.request(conn, request),
                    Event::ClientClosed { conn } => self.shop.connection_closed(&mut self.street, conn),
                    Event::Timer { tag: TAG_BEAT } => self.beat(at),
                    Event::Timer { tag } if tag & DELAYED != 0 => {
                        self.shop.send_delayed(&mut self.street, tag)
                    }
                    Event::Timer { tag } => {
                        let now = self.street.net.now();
                        self.shop.finish(now, &mut self.street, tag);
                    }
                    Event::CallEnded { call, end } => {
                        if self.beat.is_some_and(|(id, _)| id == call) {
                            self.beat = None;
                            if let CallEnd::Answer(r) = end {
                                if self.ordered(&r.body) {
                                    return Ok(());
                                }
                            }
                        } else if self.settings == Some(call) {
                            self.settings = None;
                            match end {
                                CallEnd::Answer(r) if r.status == 200 => {
                                    self.read_settings(&r.body);
                                    self.beat(at);
                                }
                                _ => self.street.net.wake_at(self.street.net.now() + BEAT, TAG_BEAT),
                            }
                        }
                    }
                    Event::Signal { .. } => {
                        if self.leaving.is_some() {
                            return Ok(());
                        }
                        self.leaving = Some(self.street.net.now() + LEAVE_WITHIN);
                        if self.machine.agent {
                            self.street.net.stop_listening();
                        }
                        self.beat(at);
                    }
                    _ => {}
                }
            }
            let done = self.machine.agent && self.shop.idle();
            if self.leaving.is_some_and(|by| done || self.street.net.now() > by) {
                return Ok(());
            }
        }
    }

    fn ask(&mut self, method: &str, target: &str, body: &str) -> Id {
        let to = self.machine.controller;
        let request = http::encode_request(method, target, &to.to_string(), &[], body.as_bytes());
        let call = Call { to, request: &request, connect_within: BEAT, stream: false, head_only: false };
        self.street.net.call(&mut self.made, call)
    }

    fn ask_settings(&mut self) {
        self.settings = Some(self.ask("GET", "/settings", ""));
    }

    fn read_settings(&mut self, body: &[u8]) {
        let said: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let number = |name: &str, none: f64| said["settings"]["guard"][name].as_f64().unwrap_or(none);
        let kind = &mut self.shop.settings;
        kind.cold_from = number("cold_from", 1.0);
        kind.cold_time = if self.machine.warm { 0 } else { (number("cold_time_ms", 0.0) * MS as f64) as Ns };
        kind.multiple = number("overload_factor", 1e9);
        kind.fall_time = (number("fall_time_ms", 1e3) * MS as f64) as Ns;
        self.known = true;
    }

    fn beat(&mut self, at: SocketAddr) {
        let now = self.street.net.now();
        if let Some((old, since)) = self.beat {
            // One that got no answer in two beats is given up.
            if now - since < 2 * BEAT {
                return self.street.net.wake_at(now + BEAT, TAG_BEAT);
            }
            self.street.net.cancel(old);
        }
        if self.machine.agent {
            if self.settings.is_none() && !self.known {
                self.ask_settings();
            }
            return;
        }
        if !self.known && self.settings.is_none() {
            return self.ask_settings();
        }
        // One that fell over beats on: the roster knows only whether a process runs.
        let age = if self.machine.warm { 3_600_000.0 } else { now as f64 / MS as f64 };
        let body = json!({ "addr": at.to_string(), "place": self.machine.place, "build": self.machine.build,
            "run": self.run, "age_ms": age, "leaving": self.leaving.is_some(),
            "held": self.shop.busy + self.shop.waiting() })
        .to_string();
        let target = format!("/machines/{}", self.machine.name);
        let id = self.ask("POST", &target, &body);
        self.beat = Some((id, now));
        self.street.net.wake_at(now + BEAT, TAG_BEAT);
    }

    /// Does as the controller says; true: stop.
    fn ordered(&mut self, body: &[u8]) -> bool {
        let said: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let order = said["order"].as_str().unwrap_or("");
        if order == "drain" && !self.drained {
            self.street.record.write(json!({ "event": "drain", "machine": self.machine.name }));
        }
        self.drained = order == "drain" || order == "stop";
        if order == "stop" {
            self.street.record.write(json!({ "event": "stop", "machine": self.machine.name }));
            let body = json!({ "addr": "127.0.0.1:0", "place": self.machine.place, "build": self.machine.build,
                "run": self.run, "age_ms": 0.0, "left": true });
            let target = format!("/machines/{}", self.machine.name);
            self.ask("POST", &target, &body.to_string());
            let by = self.street.net.now() + SEC / 4;
            let mut events = Vec::new();
            while self.street.net.now() < by && !events.iter().any(|e| matches!(e, Event::CallEnded { .. })) {
                if self.street.net.turn(&mut events, SEC / 20).is_err() {
                    break;
                }
            }
        }
        order == "stop"
    }

    fn request(&mut self, conn: Id, request: Request) {
        let path = request.path().to_string();
        match (request.method.as_str(), path.as_str()) {
            ("POST", "/fault") => return self.set_fault(conn, &request.body),
            ("GET", "/probe") => {
                let fails = self.shop.probe_fails();
                return self.street.net.answer(conn, if fails { 500 } else { 200 }, &[], b"");
            }
            ("GET", "/status") => {
                let (shop, now) = (&self.shop, self.street.net.now());
                let body = json!({ "machine": self.machine.name, "build": self.machine.build, "busy": shop.busy,
                    "queue": shop.waiting(), "warmth": shop.warmth(now), "fallen": shop.collapsed, "ran": shop.serial });
                return self.street.net.answer(conn, 200, &[], format!("{body}\n").as_bytes());
            }
            _ => {}
        }
        let Some(method) = path.strip_prefix("/rpc/").filter(|_| request.method == "POST") else {
            return self.street.net.answer(conn, 404, &[], b"POST /rpc/METHOD is known\n");
        };
        let line = |name: &str| request.headers.get(name).unwrap_or("").to_string();
        let left = line("rockpick-time-left-ms").parse::<f64>().unwrap_or(60_000.0).clamp(0.0, 1e9);
        let work = line("standin-work-ms").parse::<f64>().map_or(WORK, |ms| ms.clamp(0.0, 60_000.0) / 1e3);
        let tag = Tag {
            rpc: line("x-request-id"),
            attempt: line("standin-try"),
            method: method.into(),
            front: line("rockpick-front"),
            pick: line("rockpick-pick"),
            key: line("rockpick-key"),
        };
        // Behind a partition nothing arrives; the front hears nothing either.
        if self.shop.fault.is_partitioned_from(&tag.front) {
            return;
        }
        let now = self.street.net.now();
        let (until, met) = (now + (left * MS as f64) as Ns, self.shop.fault.affects(&tag.front));
        let last = tag.method == "lodge";
        self.shop.arrive(now, &mut self.street, Job::new(conn, tag, work, until, last, met));
    }

    fn set_fault(&mut self, conn: Id, body: &[u8]) {
        let json: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match Fault::parse(&json) {
            Ok(fault) => {
                self.street.net.max_clients = fault.connections.unwrap_or(MOST_CLIENTS);
                self.shop.fault = fault;
                self.street.net.answer(conn, 200, &[], b"{}\n");
            }
            Err(why) => self.street.net.answer(conn, 400, &[], format!("{why}\n").as_bytes()),
        }
    }
}
