//! A fake machine as a process: [`crate::machine_model`] behind sockets, with faults set over HTTP, and a record of
//! the RPCs that arrived and ran.
use crate::machine_model::{
    Defect, Environment, Fault, Job, JobEvent, MachineModel, MachineSettings, Reply, DELAYED,
};
use crate::record::Record;
use rockpick_net::http::{self, Request};
use rockpick_net::{Call, CallEnd, Event, Id, Net, Ns, MS, SEC};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The interval of heartbeats to the controller, a sixth of the silence after which the controller counts a machine as
/// gone.
const HEARTBEAT: Ns = SEC / 2;
/// Work of an RPC whose request does not state it, in seconds of a core.
const DEFAULT_WORK: f64 = 0.05;
/// A machine that was told to stop exits after this time if no controller answers.
const SHUTDOWN_TIMEOUT: Ns = 15 * SEC;

/// The maximum number of connections unless a fault sets another.
const MAX_CLIENTS: usize = 20_000;

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
    /// Starts with full capacity, like a machine that has run for a long time.
    pub warm: bool,
    /// An agent reports for this machine: it sends no heartbeats, and on a signal it exits once its RPCs have ended.
    pub agent: bool,
}

/// The parts of a request that the record contains.
struct RequestTag {
    rpc: String,
    attempt: String,
    method: String,
    front: String,
    pick: String,
    key: String,
}

/// Effects of the machine on its sockets and its record.
struct SocketEnvironment {
    net: Net,
    record: Record,
    name: String,
    build: u32,
}

impl Environment<RequestTag> for SocketEnvironment {
    fn record(&mut self, did: JobEvent, tag: &RequestTag) {
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

    fn reply(&mut self, conn: Id, tag: &RequestTag, reply: Reply) {
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
    env: SocketEnvironment,
    model: MachineModel<RequestTag>,
    /// Identifies this process among all that ran under the machine's name.
    run: u64,
    /// The heartbeat in flight, and when it was sent.
    heartbeat: Option<(Id, Ns)>,
    /// The request for settings in flight.
    settings_call: Option<Id>,
    settings_known: bool,
    /// When to exit at the latest, once told to stop.
    exit_by: Option<Ns>,
    drained: bool,
    new_events: Vec<Event>,
}

const TIMER_HEARTBEAT: u64 = 1 << 60;

impl Machine {
    /// Runs until it is told to stop; `ready` is called with the address it listens on.
    ///
    /// # Errors
    /// The address cannot be listened on, or the record cannot be opened.
    pub fn run(self, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
        let say = |err: std::io::Error| err.to_string();
        let mut net = Net::new(MAX_CLIENTS).map_err(say)?;
        for signal in [15, 2] {
            net.on_signal(signal).map_err(say)?;
        }
        let (_, at) = net.listen(self.listen).map_err(|err| format!("{}: {err}", self.listen))?;
        let record = Record::open(self.record.as_deref()).map_err(say)?;
        // Unique to each start: the clock's low bits and the process id.
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
        let mut process = Process {
            model: MachineModel::new(kind, 0, self.seed),
            env: SocketEnvironment { net, record, name: self.name.clone(), build: self.build },
            machine: self,
            run: run & 0xffff_ffff_ffff,
            heartbeat: None,
            settings_call: None,
            settings_known: false,
            exit_by: None,
            drained: false,
            new_events: Vec::new(),
        };
        let name = process.machine.name.clone();
        process.env.record.write(json!({ "event": "up", "machine": name, "build": process.machine.build }));
        process.request_settings();
        process.run(at)
    }
}

impl Process {
    fn run(mut self, at: SocketAddr) -> Result<(), String> {
        let mut events = Vec::new();
        loop {
            events.append(&mut self.new_events);
            self.env.net.turn(&mut events, SEC).map_err(|err| err.to_string())?;
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Request { conn, request } => self.request(conn, request),
                    Event::ClientClosed { conn } => self.model.connection_closed(&mut self.env, conn),
                    Event::Timer { tag: TIMER_HEARTBEAT } => self.send_heartbeat(at),
                    Event::Timer { tag } if tag & DELAYED != 0 => self.model.send_delayed(&mut self.env, tag),
                    Event::Timer { tag } => {
                        let now = self.env.net.now();
                        self.model.finish(now, &mut self.env, tag);
                    }
                    Event::CallEnded { call, end } => {
                        if self.heartbeat.is_some_and(|(id, _)| id == call) {
                            self.heartbeat = None;
                            if let CallEnd::Answer(r) = end {
                                if self.obey_order(&r.body) {
                                    return Ok(());
                                }
                            }
                        } else if self.settings_call == Some(call) {
                            self.settings_call = None;
                            match end {
                                CallEnd::Answer(r) if r.status == 200 => {
                                    self.read_settings(&r.body);
                                    self.send_heartbeat(at);
                                }
                                _ => self.env.net.wake_at(self.env.net.now() + HEARTBEAT, TIMER_HEARTBEAT),
                            }
                        }
                    }
                    Event::Signal { .. } => {
                        if self.exit_by.is_some() {
                            return Ok(());
                        }
                        self.exit_by = Some(self.env.net.now() + SHUTDOWN_TIMEOUT);
                        if self.machine.agent {
                            self.env.net.stop_listening();
                        }
                        self.send_heartbeat(at);
                    }
                    _ => {}
                }
            }
            let done = self.machine.agent && self.model.idle();
            if self.exit_by.is_some_and(|by| done || self.env.net.now() > by) {
                return Ok(());
            }
        }
    }

    fn call_controller(&mut self, method: &str, target: &str, body: &str) -> Id {
        let to = self.machine.controller;
        let request = http::encode_request(method, target, &to.to_string(), &[], body.as_bytes());
        let call = Call { to, request: &request, connect_within: HEARTBEAT, stream: false, head_only: false };
        self.env.net.call(&mut self.new_events, call)
    }

    fn request_settings(&mut self) {
        self.settings_call = Some(self.call_controller("GET", "/settings", ""));
    }

    fn read_settings(&mut self, body: &[u8]) {
        let said: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let number = |name: &str, none: f64| said["settings"]["guard"][name].as_f64().unwrap_or(none);
        let kind = &mut self.model.settings;
        kind.cold_from = number("cold_from", 1.0);
        kind.cold_time = if self.machine.warm { 0 } else { (number("cold_time_ms", 0.0) * MS as f64) as Ns };
        kind.multiple = number("overload_factor", 1e9);
        kind.fall_time = (number("fall_time_ms", 1e3) * MS as f64) as Ns;
        self.settings_known = true;
    }

    fn send_heartbeat(&mut self, at: SocketAddr) {
        let now = self.env.net.now();
        if let Some((old, since)) = self.heartbeat {
            // A heartbeat without an answer for two intervals is canceled.
            if now - since < 2 * HEARTBEAT {
                return self.env.net.wake_at(now + HEARTBEAT, TIMER_HEARTBEAT);
            }
            self.env.net.cancel(old);
        }
        if self.machine.agent {
            if self.settings_call.is_none() && !self.settings_known {
                self.request_settings();
            }
            return;
        }
        if !self.settings_known && self.settings_call.is_none() {
            return self.request_settings();
        }
        // A collapsed machine keeps sending heartbeats: the roster only tracks whether the process runs.
        let age = if self.machine.warm { 3_600_000.0 } else { now as f64 / MS as f64 };
        let body = json!({ "addr": at.to_string(), "place": self.machine.place, "build": self.machine.build,
            "run": self.run, "age_ms": age, "leaving": self.exit_by.is_some(),
            "held": self.model.busy + self.model.waiting() })
        .to_string();
        let target = format!("/machines/{}", self.machine.name);
        let id = self.call_controller("POST", &target, &body);
        self.heartbeat = Some((id, now));
        self.env.net.wake_at(now + HEARTBEAT, TIMER_HEARTBEAT);
    }

    /// Carries out the controller's order; returns whether the process must exit.
    fn obey_order(&mut self, body: &[u8]) -> bool {
        let said: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let order = said["order"].as_str().unwrap_or("");
        if order == "drain" && !self.drained {
            self.env.record.write(json!({ "event": "drain", "machine": self.machine.name }));
        }
        self.drained = order == "drain" || order == "stop";
        if order == "stop" {
            self.env.record.write(json!({ "event": "stop", "machine": self.machine.name }));
            let body = json!({ "addr": "127.0.0.1:0", "place": self.machine.place, "build": self.machine.build,
                "run": self.run, "age_ms": 0.0, "left": true });
            let target = format!("/machines/{}", self.machine.name);
            self.call_controller("POST", &target, &body.to_string());
            let by = self.env.net.now() + SEC / 4;
            let mut events = Vec::new();
            while self.env.net.now() < by && !events.iter().any(|e| matches!(e, Event::CallEnded { .. })) {
                if self.env.net.turn(&mut events, SEC / 20).is_err() {
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
                let fails = self.model.probe_fails();
                return self.env.net.answer(conn, if fails { 500 } else { 200 }, &[], b"");
            }
            ("GET", "/status") => {
                let (model, now) = (&self.model, self.env.net.now());
                let body = json!({ "machine": self.machine.name, "build": self.machine.build, "busy": model.busy,
                    "queue": model.waiting(), "warmth": model.warmth(now), "fallen": model.collapsed, "ran": model.serial });
                return self.env.net.answer(conn, 200, &[], format!("{body}\n").as_bytes());
            }
            _ => {}
        }
        let Some(method) = path.strip_prefix("/rpc/").filter(|_| request.method == "POST") else {
            return self.env.net.answer(conn, 404, &[], b"POST /rpc/METHOD is known\n");
        };
        let line = |name: &str| request.headers.get(name).unwrap_or("").to_string();
        let time_left_ms = line("rockpick-time-left-ms").parse::<f64>().unwrap_or(60_000.0).clamp(0.0, 1e9);
        let work =
            line("standin-work-ms").parse::<f64>().map_or(DEFAULT_WORK, |ms| ms.clamp(0.0, 60_000.0) / 1e3);
        let tag = RequestTag {
            rpc: line("x-request-id"),
            attempt: line("standin-try"),
            method: method.into(),
            front: line("rockpick-front"),
            pick: line("rockpick-pick"),
            key: line("rockpick-key"),
        };
        // Across a partition the request never arrives, and the front gets no answer.
        if self.model.fault.is_partitioned_from(&tag.front) {
            return;
        }
        let now = self.env.net.now();
        let (deadline, affected) =
            (now + (time_left_ms * MS as f64) as Ns, self.model.fault.affects(&tag.front));
        let last_method = tag.method == "lodge";
        self.model.arrive(now, &mut self.env, Job::new(conn, tag, work, deadline, last_method, affected));
    }

    fn set_fault(&mut self, conn: Id, body: &[u8]) {
        let json: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match Fault::parse(&json) {
            Ok(fault) => {
                self.env.net.max_clients = fault.connections.unwrap_or(MAX_CLIENTS);
                self.model.fault = fault;
                self.env.net.answer(conn, 200, &[], b"{}\n");
            }
            Err(why) => self.env.net.answer(conn, 400, &[], format!("{why}\n").as_bytes()),
        }
    }
}
