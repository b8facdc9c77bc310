//! Stand-in clients as a process: [`crate::client_model`] behind sockets, with disputes, and a record of every try
//! and its answer.
use crate::client_model::{AttemptOutcome, ClientModel, ClientTotals, Load, NextStep, Rpc, ANSWER_GRACE};
use crate::record::Record;
use crate::schedule::Arrivals;
use hdrhistogram::Histogram;
use rand::Rng;
use rockpick_control::settings::{MethodSettings, RepeatKind};
use rockpick_control::Settings;
use rockpick_net::http::{self, Response};
use rockpick_net::{Call, CallEnd, Event, Id, Net, Ns, MS, SEC};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Most RPCs open at once; one more is not sent and told as the tool's own limit.
const MOST_OPEN: usize = 8_000;
/// A connection that takes longer was not taken.
const CONNECT: Ns = 500 * MS;

pub struct Clients {
    pub fronts: Vec<SocketAddr>,
    pub names: Vec<String>,
    pub settings: Settings,
    pub load: Load,
    pub listen: SocketAddr,
    pub duration: Ns,
    /// Tries after the first; waits before them are drawn.
    pub retries: u32,
    /// Mean work of an RPC, in ms.
    pub work_ms: f64,
    pub disputes: f64,
    pub record: Option<PathBuf>,
    pub seed: u64,
}

struct Try {
    rpc: Rpc,
    sent: Ns,
    gives_up: Ns,
}

struct Process {
    net: Net,
    clients: Clients,
    crowd: ClientModel,
    record: Record,
    tries: HashMap<Id, Try>,
    waiting: BTreeMap<u64, Rpc>,
    serial: u64,
    disputes: BTreeMap<u64, (usize, String, Ns)>,
    made: Vec<Event>,
    done: bool,
}

/// A try as it goes over the wire: its RPC's name and the request. `left`: the time that the front is told.
pub fn encode_attempt(
    row: &MethodSettings, rpc: &Rpc, seed: u64, left: Ns, to: SocketAddr,
) -> (String, Vec<u8>) {
    let id = format!("{seed}-{}", rpc.id);
    let (key, left) = (rpc.key.to_string(), (left as f64 / MS as f64).to_string());
    let (work, attempt) = (format!("{:.3}", rpc.work_ms), rpc.tries.to_string());
    let tenant = format!("firm-{}", rpc.tenant);
    let mut lines = vec![
        ("X-Request-Id", &*id),
        ("Rockpick-Key", &*key),
        ("Rockpick-Tenant", &*tenant),
        ("Rockpick-Time-Left-Ms", &*left),
        ("Standin-Work-Ms", &*work),
        ("Standin-Try", &*attempt),
    ];
    if row.repeat == RepeatKind::Tokened {
        lines.push(("Idempotency-Key", &*id));
    }
    if rpc.tries > 1 {
        lines.push(("Rockpick-Repeat", "1"));
    }
    let request = http::encode_request("POST", &format!("/rpc/{}", row.name), &to.to_string(), &lines, b"{}");
    (id, request)
}

/// A record's line of a try that was sent; `left`: what time its client has for it.
pub fn sent_line(row: &MethodSettings, rpc: &Rpc, id: &str, front: &str, left: Ns) -> Value {
    json!({ "event": "sent", "rpc": id, "try": rpc.tries.to_string(), "method": row.name,
        "key": rpc.key.to_string(), "front": front, "left_ms": left / MS, "leaves": rpc.leave,
        "tenant": rpc.tenant, "work_ms": rpc.work_ms })
}

/// A record's line of how a try ended, around what is particular to that.
pub fn end_line(
    mut line: Value, row: &MethodSettings, rpc: &Rpc, seed: u64, front: &str, took: Ns, late: bool,
) -> Value {
    line["rpc"] = format!("{seed}-{}", rpc.id).into();
    line["try"] = rpc.tries.to_string().into();
    line["method"] = row.name.clone().into();
    line["front"] = front.into();
    line["took_ms"] = (took as f64 / MS as f64).into();
    line["late"] = late.into();
    line["key"] = rpc.key.to_string().into();
    line
}

/// What an answer says, and when to return if it tells that.
pub fn parse_answer(r: &Response, right: bool) -> (AttemptOutcome, Option<Ns>) {
    let how = match r.headers.get("rockpick-answer") {
        Some("ok") => AttemptOutcome::Ok { right },
        Some("pushed-back") => AttemptOutcome::PushedBack,
        Some("aborted") => AttemptOutcome::Aborted,
        _ => AttemptOutcome::NotTaken,
    };
    let wait = r.headers.get("rockpick-retry-after-ms").and_then(|v| v.parse::<i64>().ok());
    // An hour at most: nothing waits longer.
    (how, wait.map(|ms| ms.clamp(0, 3_600_000) * MS))
}

const ARRIVE: u64 = 1;
const AGAIN: u64 = 1 << 60;
const GIVE_UP: u64 = 1 << 61;
const DISPUTE: u64 = 1 << 62;

impl Clients {
    /// Sends for as long as told, waits for what is open, and sums up. A signal ends the sending.
    ///
    /// # Errors
    /// Sockets or the record that can't be had.
    pub fn run(self, ready: impl FnOnce(SocketAddr)) -> Result<(ClientTotals, Histogram<u64>), String> {
        let say = |err: std::io::Error| err.to_string();
        let mut net = Net::new(64).map_err(say)?;
        for signal in [15, 2] {
            net.on_signal(signal).map_err(say)?;
        }
        let (_, at) = net.listen(self.listen).map_err(say)?;
        ready(at);
        let record = Record::open(self.record.as_deref()).map_err(say)?;
        let (settings, load, fronts) = (self.settings.clone(), self.load.clone(), self.fronts.len());
        let crowd = ClientModel::new(
            settings,
            load,
            Arrivals::Poisson,
            fronts,
            self.retries,
            self.work_ms,
            self.seed,
        )?;
        let process = Process {
            net,
            crowd,
            record,
            tries: HashMap::new(),
            waiting: BTreeMap::new(),
            serial: 0,
            disputes: BTreeMap::new(),
            made: Vec::new(),
            done: false,
            clients: self,
        };
        process.work()
    }
}

impl Process {
    fn work(mut self) -> Result<(ClientTotals, Histogram<u64>), String> {
        let ends = self.clients.duration;
        self.net.wake_at(0, ARRIVE);
        let mut events = Vec::new();
        loop {
            events.append(&mut self.made);
            self.net.turn(&mut events, SEC).map_err(|err| err.to_string())?;
            self.done |= self.net.now() >= ends;
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Timer { tag: ARRIVE } => self.arrive(),
                    Event::Timer { tag } if tag & DISPUTE != 0 => self.dispute(tag & !DISPUTE),
                    Event::Timer { tag } if tag & GIVE_UP != 0 => self.give_up(tag & !GIVE_UP),
                    Event::Timer { tag } if tag & AGAIN != 0 => {
                        if let Some(rpc) = self.waiting.remove(&(tag & !AGAIN)) {
                            self.send(rpc);
                        }
                    }
                    Event::CallEnded { call, end } => self.ended(call, end),
                    Event::Request { conn, request } => {
                        let said = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
                        match (request.path(), self.crowd.schedule.load.change(&said)) {
                            ("/load", Ok(())) => self.net.answer(conn, 200, &[], b"{}\n"),
                            ("/load", Err(why)) => self.net.answer(conn, 400, &[], why.as_bytes()),
                            _ => self.net.answer(conn, 404, &[], b"POST /load is known\n"),
                        }
                    }
                    Event::Signal { .. } => self.done = true,
                    _ => {}
                }
            }
            if self.done && self.tries.is_empty() && self.waiting.is_empty() && self.disputes.is_empty() {
                self.crowd.totals.stray = self.net.unexpected_data;
                self.record.write(
                    json!({ "event": "end", "stray": self.net.unexpected_data, "not_sent": self.crowd.totals.not_sent }),
                );
                return Ok((self.crowd.totals, self.crowd.times));
            }
        }
    }

    fn arrive(&mut self) {
        let now = self.net.now();
        // Arrivals that were due while this turn was late are all made now: the loop stays open.
        while self.crowd.schedule.due <= now && !self.done {
            let rpc = self.crowd.arrive();
            if self.tries.len() + self.waiting.len() >= MOST_OPEN {
                self.crowd.totals.not_sent += 1;
                continue;
            }
            self.send(rpc);
        }
        if !self.done {
            self.net.wake_at(self.crowd.schedule.due, ARRIVE);
        }
    }

    fn send(&mut self, mut rpc: Rpc) {
        let now = self.net.now();
        let Some(sending) = self.crowd.start_attempt(now, &mut rpc) else { return };
        let (gives_up, told) = (sending.give_up_at, sending.stated_deadline);
        let to = self.clients.fronts[rpc.front];
        let row = self.crowd.method(&rpc);
        let (id, request) = encode_attempt(row, &rpc, self.clients.seed, told - now, to);
        let connect_within = CONNECT.min(gives_up - now);
        let call = Call { to, request: &request, connect_within, stream: false, head_only: false };
        let call = self.net.call(&mut self.made, call);
        let (row, front) = (self.crowd.method(&rpc), &self.clients.names[rpc.front]);
        self.record.write(sent_line(row, &rpc, &id, front, gives_up - now));
        self.net.wake_at(sending.check_at, GIVE_UP | (call & (GIVE_UP - 1)));
        self.tries.insert(call & (GIVE_UP - 1), Try { rpc, sent: now, gives_up });
    }

    fn give_up(&mut self, call: Id) {
        let Some(t) = self.tries.remove(&call) else { return };
        // Its upper bits were cut for the tag: generations stay far below them.
        self.net.cancel(call);
        self.say(&t, json!({ "event": "gave up" }));
        self.after(t.rpc, AttemptOutcome::GaveUp, None);
    }

    fn after(&mut self, rpc: Rpc, how: AttemptOutcome, wait: Option<Ns>) {
        let now = self.net.now();
        match self.crowd.attempt_ended(now, rpc, how, wait) {
            NextStep::Done => {}
            NextStep::RetryAt(at, rpc) if at <= now => self.send(rpc),
            NextStep::RetryAt(at, rpc) => {
                self.serial += 1;
                self.waiting.insert(self.serial, rpc);
                self.net.wake_at(at, AGAIN | self.serial);
            }
        }
    }

    fn say(&mut self, t: &Try, line: Value) {
        let (now, row, front) = (self.net.now(), self.crowd.method(&t.rpc), &self.clients.names[t.rpc.front]);
        let (took, late) = (now - t.sent, now > t.gives_up + ANSWER_GRACE);
        self.record.write(end_line(line, row, &t.rpc, self.clients.seed, front, took, late));
    }

    fn ended(&mut self, call: Id, end: CallEnd) {
        let Some(t) = self.tries.remove(&(call & (GIVE_UP - 1))) else { return };
        match end {
            CallEnd::Answer(r) => self.answered(t, r),
            CallEnd::Unreachable | CallEnd::Unsent => {
                self.say(&t, json!({ "event": "not taken" }));
                self.after(t.rpc, AttemptOutcome::Unreachable, None);
            }
            CallEnd::Broken(why) => {
                self.say(&t, json!({ "event": "broken", "why": why }));
                self.after(t.rpc, AttemptOutcome::Broken, None);
            }
        }
    }

    fn answered(&mut self, t: Try, r: Response) {
        let now = self.net.now();
        let answer = r.headers.get("rockpick-answer").unwrap_or("none").to_string();
        let said: Value = serde_json::from_slice(&r.body).unwrap_or(Value::Null);
        let build = r.headers.get("rockpick-build").unwrap_or("").to_string();
        let right = said["right"].as_bool().unwrap_or(true);
        self.say(
            &t,
            json!({ "event": "answer", "answer": answer, "status": r.status, "build": build,
                "machine": said["machine"], "right": right }),
        );
        let (how, wait) = parse_answer(&r, right);
        if how == (AttemptOutcome::Ok { right: false })
            && self.crowd.rng.random::<f64>() < self.clients.disputes
        {
            self.serial += 1;
            let machine = said["machine"].as_str().unwrap_or("").to_string();
            self.disputes.insert(self.serial, (t.rpc.front, machine, t.sent));
            let wait = self.crowd.rng.random_range(SEC / 2..2 * SEC);
            self.net.wake_at(now + wait, DISPUTE | self.serial);
        }
        self.after(t.rpc, how, wait);
    }

    fn dispute(&mut self, serial: u64) {
        let Some((front, machine, sent)) = self.disputes.remove(&serial) else { return };
        let to = self.clients.fronts[front];
        let age = (self.net.now() - sent) as f64 / MS as f64;
        let body = json!({ "machine": machine, "age_ms": age }).to_string();
        let request = http::encode_request("POST", "/dispute", &to.to_string(), &[], body.as_bytes());
        let call = Call { to, request: &request, connect_within: CONNECT, stream: false, head_only: false };
        self.net.call(&mut self.made, call);
    }
}
