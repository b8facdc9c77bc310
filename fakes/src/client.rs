//! Fake clients as a process: [`crate::client_model`] behind sockets, with disputes of wrong answers, and a record of
//! every try and its answer.
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

/// The maximum number of open RPCs; further ones are not sent and are reported as the tool's own limit.
const MAX_OPEN: usize = 8_000;
/// A connection that is not established within this time counts as refused.
const CONNECT_TIMEOUT: Ns = 500 * MS;

pub struct Clients {
    pub fronts: Vec<SocketAddr>,
    pub names: Vec<String>,
    pub settings: Settings,
    pub load: Load,
    pub listen: SocketAddr,
    pub duration: Ns,
    /// The number of tries after the first; the delay before each is random.
    pub retries: u32,
    /// The mean work of an RPC, in ms.
    pub work_ms: f64,
    /// The share of wrong answers that clients dispute.
    pub disputes: f64,
    pub record: Option<PathBuf>,
    pub seed: u64,
}

struct Try {
    rpc: Rpc,
    sent: Ns,
    give_up_at: Ns,
}

struct Process {
    net: Net,
    clients: Clients,
    model: ClientModel,
    record: Record,
    tries: HashMap<Id, Try>,
    /// RPCs that wait for their next try, by the serial of their timer.
    waiting: BTreeMap<u64, Rpc>,
    serial: u64,
    /// Pending disputes: front, machine, and when the disputed try was sent.
    disputes: BTreeMap<u64, (usize, String, Ns)>,
    new_events: Vec<Event>,
    done: bool,
}

/// Encodes a try; returns the RPC's id and the request. `left` is the time left that the front is told.
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

/// The record's line of a try that was sent; `left` is how long its client waits for an answer.
pub fn sent_line(row: &MethodSettings, rpc: &Rpc, id: &str, front: &str, left: Ns) -> Value {
    json!({ "event": "sent", "rpc": id, "try": rpc.tries.to_string(), "method": row.name,
        "key": rpc.key.to_string(), "front": front, "left_ms": left / MS, "leaves": rpc.leave,
        "tenant": rpc.tenant, "work_ms": rpc.work_ms })
}

/// The record's line of the end of a try: adds the common fields to `line`.
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

/// Reads the outcome from an answer, and the delay before a retry if the answer states one.
pub fn parse_answer(r: &Response, right: bool) -> (AttemptOutcome, Option<Ns>) {
    let outcome = match r.headers.get("rockpick-answer") {
        Some("ok") => AttemptOutcome::Ok { right },
        Some("pushed-back") => AttemptOutcome::PushedBack,
        Some("aborted") => AttemptOutcome::Aborted,
        _ => AttemptOutcome::NotTaken,
    };
    let wait = r.headers.get("rockpick-retry-after-ms").and_then(|v| v.parse::<i64>().ok());
    // Limited to an hour, which is longer than any deadline.
    (outcome, wait.map(|ms| ms.clamp(0, 3_600_000) * MS))
}

const TIMER_ARRIVAL: u64 = 1;
const TIMER_RETRY: u64 = 1 << 60;
const TIMER_GIVE_UP: u64 = 1 << 61;
const TIMER_DISPUTE: u64 = 1 << 62;

impl Clients {
    /// Sends RPCs for the configured duration, waits until all open ones have ended, and returns the totals. A signal
    /// stops the sending early.
    ///
    /// # Errors
    /// Sockets or the record cannot be opened.
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
        let model = ClientModel::new(
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
            model,
            record,
            tries: HashMap::new(),
            waiting: BTreeMap::new(),
            serial: 0,
            disputes: BTreeMap::new(),
            new_events: Vec::new(),
            done: false,
            clients: self,
        };
        process.run()
    }
}

impl Process {
    fn run(mut self) -> Result<(ClientTotals, Histogram<u64>), String> {
        let ends = self.clients.duration;
        self.net.wake_at(0, TIMER_ARRIVAL);
        let mut events = Vec::new();
        loop {
            events.append(&mut self.new_events);
            self.net.turn(&mut events, SEC).map_err(|err| err.to_string())?;
            self.done |= self.net.now() >= ends;
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Timer { tag: TIMER_ARRIVAL } => self.arrive(),
                    Event::Timer { tag } if tag & TIMER_DISPUTE != 0 => self.dispute(tag & !TIMER_DISPUTE),
                    Event::Timer { tag } if tag & TIMER_GIVE_UP != 0 => self.give_up(tag & !TIMER_GIVE_UP),
                    Event::Timer { tag } if tag & TIMER_RETRY != 0 => {
                        if let Some(rpc) = self.waiting.remove(&(tag & !TIMER_RETRY)) {
                            self.send(rpc);
                        }
                    }
                    Event::CallEnded { call, end } => self.call_ended(call, end),
                    Event::Request { conn, request } => {
                        let said = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
                        match (request.path(), self.model.schedule.load.change(&said)) {
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
                self.model.totals.stray = self.net.unexpected_data;
                self.record.write(
                    json!({ "event": "end", "stray": self.net.unexpected_data, "not_sent": self.model.totals.not_sent }),
                );
                return Ok((self.model.totals, self.model.times));
            }
        }
    }

    fn arrive(&mut self) {
        let now = self.net.now();
        // Sends all RPCs that became due while the loop was late, so that the load stays open-loop.
        while self.model.schedule.due <= now && !self.done {
            let rpc = self.model.arrive();
            if self.tries.len() + self.waiting.len() >= MAX_OPEN {
                self.model.totals.not_sent += 1;
                continue;
            }
            self.send(rpc);
        }
        if !self.done {
            self.net.wake_at(self.model.schedule.due, TIMER_ARRIVAL);
        }
    }

    fn send(&mut self, mut rpc: Rpc) {
        let now = self.net.now();
        let Some(attempt) = self.model.start_attempt(now, &mut rpc) else { return };
        let (give_up_at, stated_deadline) = (attempt.give_up_at, attempt.stated_deadline);
        let to = self.clients.fronts[rpc.front];
        let row = self.model.method(&rpc);
        let (id, request) = encode_attempt(row, &rpc, self.clients.seed, stated_deadline - now, to);
        let connect_within = CONNECT_TIMEOUT.min(give_up_at - now);
        let call = Call { to, request: &request, connect_within, stream: false, head_only: false };
        let call = self.net.call(&mut self.new_events, call);
        let (row, front) = (self.model.method(&rpc), &self.clients.names[rpc.front]);
        self.record.write(sent_line(row, &rpc, &id, front, give_up_at - now));
        self.net.wake_at(attempt.check_at, TIMER_GIVE_UP | (call & (TIMER_GIVE_UP - 1)));
        self.tries.insert(call & (TIMER_GIVE_UP - 1), Try { rpc, sent: now, give_up_at });
    }

    fn give_up(&mut self, call: Id) {
        let Some(t) = self.tries.remove(&call) else { return };
        // The tag has lost the id's upper bits, which are zero: generations stay far below them.
        self.net.cancel(call);
        self.record_end(&t, json!({ "event": "gave up" }));
        self.next_step(t.rpc, AttemptOutcome::GaveUp, None);
    }

    fn next_step(&mut self, rpc: Rpc, outcome: AttemptOutcome, wait: Option<Ns>) {
        let now = self.net.now();
        match self.model.attempt_ended(now, rpc, outcome, wait) {
            NextStep::Done => {}
            NextStep::RetryAt(at, rpc) if at <= now => self.send(rpc),
            NextStep::RetryAt(at, rpc) => {
                self.serial += 1;
                self.waiting.insert(self.serial, rpc);
                self.net.wake_at(at, TIMER_RETRY | self.serial);
            }
        }
    }

    fn record_end(&mut self, t: &Try, line: Value) {
        let (now, row, front) = (self.net.now(), self.model.method(&t.rpc), &self.clients.names[t.rpc.front]);
        let (took, late) = (now - t.sent, now > t.give_up_at + ANSWER_GRACE);
        self.record.write(end_line(line, row, &t.rpc, self.clients.seed, front, took, late));
    }

    fn call_ended(&mut self, call: Id, end: CallEnd) {
        let Some(t) = self.tries.remove(&(call & (TIMER_GIVE_UP - 1))) else { return };
        match end {
            CallEnd::Answer(r) => self.answered(t, r),
            CallEnd::Unreachable | CallEnd::Unsent => {
                self.record_end(&t, json!({ "event": "not taken" }));
                self.next_step(t.rpc, AttemptOutcome::Unreachable, None);
            }
            CallEnd::Broken(why) => {
                self.record_end(&t, json!({ "event": "broken", "why": why }));
                self.next_step(t.rpc, AttemptOutcome::Broken, None);
            }
        }
    }

    fn answered(&mut self, t: Try, r: Response) {
        let now = self.net.now();
        let answer = r.headers.get("rockpick-answer").unwrap_or("none").to_string();
        let said: Value = serde_json::from_slice(&r.body).unwrap_or(Value::Null);
        let build = r.headers.get("rockpick-build").unwrap_or("").to_string();
        let right = said["right"].as_bool().unwrap_or(true);
        self.record_end(
            &t,
            json!({ "event": "answer", "answer": answer, "status": r.status, "build": build,
                "machine": said["machine"], "right": right }),
        );
        let (outcome, wait) = parse_answer(&r, right);
        if outcome == (AttemptOutcome::Ok { right: false })
            && self.model.rng.random::<f64>() < self.clients.disputes
        {
            self.serial += 1;
            let machine = said["machine"].as_str().unwrap_or("").to_string();
            self.disputes.insert(self.serial, (t.rpc.front, machine, t.sent));
            let wait = self.model.rng.random_range(SEC / 2..2 * SEC);
            self.net.wake_at(now + wait, TIMER_DISPUTE | self.serial);
        }
        self.next_step(t.rpc, outcome, wait);
    }

    fn dispute(&mut self, serial: u64) {
        let Some((front, machine, sent)) = self.disputes.remove(&serial) else { return };
        let to = self.clients.fronts[front];
        let age = (self.net.now() - sent) as f64 / MS as f64;
        let body = json!({ "machine": machine, "age_ms": age }).to_string();
        let request = http::encode_request("POST", "/dispute", &to.to_string(), &[], body.as_bytes());
        let call =
            Call { to, request: &request, connect_within: CONNECT_TIMEOUT, stream: false, head_only: false };
        self.net.call(&mut self.new_events, call);
    }
}
