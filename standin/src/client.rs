//! Stand-in clients, many in one process: an open loop of arrivals fixed by the seed, keys by Zipf, tenants,
//! deadlines, retries as each method allows, disputes, and a record of every try and its answer.
use crate::record::Record;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_control::charter::Repeats;
use rockpick_control::Charter;
use rockpick_net::http::{self, Response};
use rockpick_net::{Call, End, Event, Id, Net, Ns, MS, SEC};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;

/// An answer that is here within this after the client's deadline still counts: what its own scheduling may
/// cost (the bench grants fronts the same).
pub const GRACE: Ns = 20 * MS;
/// Most RPCs open at once; one more is not sent and told as the tool's own limit.
const MOST_OPEN: usize = 8_000;
/// A wait after a pushback that names none.
const WAIT: Ns = 50 * MS;
/// A connection that takes longer was not taken.
const CONNECT: Ns = 500 * MS;

#[derive(Clone, Debug)]
pub struct Load {
    pub rate: f64,
    /// Keys drawn by Zipf; the first few draw `hot` of all traffic besides.
    pub keys: usize,
    pub hot: f64,
    pub hot_keys: usize,
    /// Share of traffic to one front, the first; the rest goes evenly.
    pub caller: f64,
    /// Share of traffic that moves to the fronts of the first zone (even numbers).
    pub shift: f64,
    /// Share of RPCs that become the last method.
    pub heavier: f64,
    /// Share of the first method's RPCs that cost `tail_times` the work.
    pub tail: f64,
    pub tail_times: f64,
    /// Share of clients with little patience, and what part of the soft deadline they wait.
    pub hasty: f64,
    pub patience: f64,
    /// They leave early and come back at once; else they come with little time left.
    pub leave: bool,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 100.0,
            keys: 2_000,
            hot: 0.0,
            hot_keys: 1,
            caller: 0.0,
            shift: 0.0,
            heavier: 0.0,
            tail: 0.0,
            tail_times: 1.0,
            hasty: 0.0,
            patience: 1.0,
            leave: false,
        }
    }
}

impl Load {
    /// Takes over the fields that a call names.
    fn change(&mut self, json: &Value) -> Result<(), String> {
        for (name, value) in json.as_object().ok_or("an object is wanted")? {
            let number = value.as_f64().filter(|x| *x >= 0.0).ok_or(format!("{name}: a number is wanted"));
            match name.as_str() {
                "rate" => self.rate = number?.min(1e6),
                "hot" => self.hot = number?,
                "hot_keys" => self.hot_keys = number? as usize,
                "caller" => self.caller = number?,
                "shift" => self.shift = number?,
                "heavier" => self.heavier = number?,
                "tail" => self.tail = number?,
                "tail_times" => self.tail_times = number?,
                "hasty" => self.hasty = number?,
                "patience" => self.patience = number?,
                "leave" => self.leave = number? > 0.0,
                _ => return Err(format!("{name}: not known")),
            }
        }
        Ok(())
    }
}

pub struct Clients {
    pub fronts: Vec<SocketAddr>,
    pub names: Vec<String>,
    pub charter: Charter,
    pub load: Load,
    pub listen: SocketAddr,
    pub lasts: Ns,
    /// Tries after the first; waits before them are drawn.
    pub retries: u32,
    /// Mean work of an RPC, in ms.
    pub work_ms: f64,
    pub disputes: f64,
    pub record: Option<PathBuf>,
    pub seed: u64,
}

/// What came of it all.
#[derive(Clone, Debug, Default)]
pub struct Tolls {
    pub asked: f64,
    pub served: f64,
    pub rpcs: u64,
    pub ok: u64,
    pub late: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub unanswered: u64,
    pub not_sent: u64,
    pub stray: u64,
}

struct Rpc {
    id: u64,
    method: usize,
    key: u64,
    tenant: usize,
    work_ms: f64,
    began: Ns,
    deadline: Ns,
    tries: u32,
    front: usize,
    patience: Ns,
    leave: bool,
}

struct Try {
    rpc: Rpc,
    sent: Ns,
    gives_up: Ns,
}

struct Crowd {
    net: Net,
    clients: Clients,
    record: Record,
    chance: StdRng,
    zipf: Vec<f64>,
    next: u64,
    tries: HashMap<Id, Try>,
    waiting: BTreeMap<u64, Rpc>,
    serial: u64,
    disputes: BTreeMap<u64, (usize, String, Ns)>,
    made: Vec<Event>,
    tolls: Tolls,
    times: Histogram<u64>,
    due: Ns,
    done: bool,
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
    pub fn run(self, ready: impl FnOnce(SocketAddr)) -> Result<(Tolls, Histogram<u64>), String> {
        let say = |err: std::io::Error| err.to_string();
        let mut net = Net::new(64).map_err(say)?;
        for signal in [15, 2] {
            net.on_signal(signal).map_err(say)?;
        }
        let (_, at) = net.listen(self.listen).map_err(say)?;
        ready(at);
        let record = Record::open(self.record.as_deref()).map_err(say)?;
        let keys = self.load.keys.max(1);
        // Zipf with exponent 0.9, as a running sum to search in.
        let mut sum = 0.0;
        let zipf = (1..=keys).map(|i| (sum += (i as f64).powf(-0.9), sum).1).collect();
        let crowd = Crowd {
            net,
            record,
            chance: StdRng::seed_from_u64(self.seed),
            zipf,
            next: 0,
            tries: HashMap::new(),
            waiting: BTreeMap::new(),
            serial: 0,
            disputes: BTreeMap::new(),
            made: Vec::new(),
            tolls: Tolls::default(),
            times: Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?,
            due: 0,
            done: false,
            clients: self,
        };
        crowd.work()
    }
}

impl Crowd {
    fn work(mut self) -> Result<(Tolls, Histogram<u64>), String> {
        let ends = self.clients.lasts;
        self.net.wake_at(0, ARRIVE);
        let mut events = Vec::new();
        loop {
            events.append(&mut self.made);
            self.net.turn(&mut events, SEC).map_err(|err| err.to_string())?;
            self.done |= self.net.now() >= ends;
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Woke { tag: ARRIVE } => self.arrive(),
                    Event::Woke { tag } if tag & DISPUTE != 0 => self.dispute(tag & !DISPUTE),
                    Event::Woke { tag } if tag & GIVE_UP != 0 => self.give_up(tag & !GIVE_UP),
                    Event::Woke { tag } if tag & AGAIN != 0 => {
                        if let Some(rpc) = self.waiting.remove(&(tag & !AGAIN)) {
                            self.send(rpc);
                        }
                    }
                    Event::Ended { call, end } => self.ended(call, end),
                    Event::Request { conn, request } => {
                        let said = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
                        match (request.path(), self.clients.load.change(&said)) {
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
                self.tolls.stray = self.net.stray;
                self.record
                    .put(json!({ "event": "end", "stray": self.net.stray, "not_sent": self.tolls.not_sent }));
                return Ok((self.tolls, self.times));
            }
        }
    }

    fn arrive(&mut self) {
        let now = self.net.now();
        // Arrivals that were due while this turn was late are all made now: the loop stays open.
        while self.due <= now && !self.done {
            let gap = -(1.0 - self.chance.random::<f64>()).ln() / self.clients.load.rate.max(0.01);
            self.due += (gap * SEC as f64) as Ns;
            if self.tries.len() + self.waiting.len() >= MOST_OPEN {
                self.tolls.not_sent += 1;
                continue;
            }
            let rpc = self.draw(now);
            self.tolls.rpcs += 1;
            self.tolls.asked += self.clients.charter.methods[rpc.method].utility;
            self.send(rpc);
        }
        if !self.done {
            self.net.wake_at(self.due, ARRIVE);
        }
    }

    fn draw(&mut self, now: Ns) -> Rpc {
        self.next += 1;
        let load = self.clients.load.clone();
        let mut odds = |p: f64| p > 0.0 && self.chance.random::<f64>() < p;
        let (hot, heavier, tail, hasty) =
            (odds(load.hot), odds(load.heavier), odds(load.tail), odds(load.hasty));
        let (caller, shift) = (odds(load.caller), odds(load.shift));
        let at = self.chance.random::<f64>() * self.zipf[self.zipf.len() - 1];
        let key = if hot {
            self.chance.random_range(0..load.hot_keys.max(1)) as u64
        } else {
            self.zipf.partition_point(|s| *s < at) as u64
        };
        let methods = self.clients.charter.methods.len();
        let method = if heavier { methods - 1 } else { self.chance.random_range(0..methods) };
        let fronts = self.clients.fronts.len();
        let front = match () {
            () if caller => 0,
            () if shift => 2 * self.chance.random_range(0..fronts.div_ceil(2)),
            () => self.chance.random_range(0..fronts),
        };
        let exp = -(1.0 - self.chance.random::<f64>()).ln();
        let times = if tail && method == 0 { load.tail_times } else { 1.0 };
        let row = &self.clients.charter.methods[method];
        let whole = row.deadline_ms as Ns * MS;
        let share: f64 = self.chance.random_range(0.6..1.0);
        let patience = if hasty {
            row.soft_deadline_ms as f64 * MS as f64 * load.patience
        } else {
            whole as f64 * share
        };
        Rpc {
            id: self.next,
            method,
            key,
            tenant: self.chance.random_range(0..3),
            // Half of the work is the same for all, half is drawn: a few ms at the least.
            work_ms: self.clients.work_ms * (0.5 + 0.5 * exp).min(4.0) * times,
            began: now,
            deadline: now + whole,
            tries: 0,
            front,
            patience: patience as Ns,
            leave: hasty && load.leave,
        }
    }

    fn send(&mut self, mut rpc: Rpc) {
        let now = self.net.now();
        let row = &self.clients.charter.methods[rpc.method];
        let gives_up = rpc.deadline.min(now + rpc.patience);
        if gives_up <= now + MS {
            return self.over(rpc, "unanswered");
        }
        rpc.tries += 1;
        // Those who leave early say nothing of it; the others tell what time they have.
        let told = if rpc.leave { rpc.deadline } else { gives_up };
        let id = format!("{}-{}", self.clients.seed, rpc.id);
        let (key, left) = (rpc.key.to_string(), ((told - now) as f64 / MS as f64).to_string());
        let (work, attempt) = (format!("{:.3}", rpc.work_ms), rpc.tries.to_string());
        let tenant = format!("firm-{}", rpc.tenant);
        let to = self.clients.fronts[rpc.front];
        let mut lines = vec![
            ("X-Request-Id", &*id),
            ("Rockpick-Key", &*key),
            ("Rockpick-Tenant", &*tenant),
            ("Rockpick-Time-Left-Ms", &*left),
            ("Standin-Work-Ms", &*work),
            ("Standin-Try", &*attempt),
        ];
        if row.repeat == Repeats::Tokened {
            lines.push(("Idempotency-Key", &*id));
        }
        if rpc.tries > 1 {
            lines.push(("Rockpick-Repeat", "1"));
        }
        let request = http::ask("POST", &format!("/rpc/{}", row.name), &to.to_string(), &lines, b"{}");
        let connect_within = CONNECT.min(gives_up - now);
        let call = Call { to, request: &request, connect_within, stream: false, head_only: false };
        let call = self.net.call(&mut self.made, call);
        self.record.put(json!({ "event": "sent", "rpc": id, "try": attempt, "method": row.name, "key": key,
            "front": self.clients.names[rpc.front], "left_ms": (gives_up - now) / MS, "leaves": rpc.leave }));
        let grace = if rpc.leave { 0 } else { GRACE };
        self.net.wake_at(gives_up + grace, GIVE_UP | (call & (GIVE_UP - 1)));
        self.tries.insert(call & (GIVE_UP - 1), Try { rpc, sent: now, gives_up });
    }

    fn give_up(&mut self, call: Id) {
        let Some(t) = self.tries.remove(&call) else { return };
        // Its upper bits were cut for the tag: generations stay far below them.
        self.net.cancel(call);
        self.say(&t, json!({ "event": "gave up" }));
        let Try { mut rpc, .. } = t;
        if rpc.leave && rpc.tries <= self.clients.retries && self.may_again(&rpc, "left") {
            rpc.patience *= 2;
            return self.send(rpc);
        }
        self.again(rpc, "unanswered", None);
    }

    fn say(&mut self, t: &Try, mut line: Value) {
        let rpc = &t.rpc;
        line["rpc"] = format!("{}-{}", self.clients.seed, rpc.id).into();
        line["try"] = rpc.tries.to_string().into();
        line["method"] = self.clients.charter.methods[rpc.method].name.clone().into();
        line["front"] = self.clients.names[rpc.front].clone().into();
        line["took_ms"] = ((self.net.now() - t.sent) as f64 / MS as f64).into();
        line["late"] = (self.net.now() > t.gives_up + GRACE).into();
        line["key"] = rpc.key.to_string().into();
        self.record.put(line);
    }

    fn ended(&mut self, call: Id, end: End) {
        let Some(t) = self.tries.remove(&(call & (GIVE_UP - 1))) else { return };
        match end {
            End::Answer(r) => self.answered(t, r),
            End::Unreachable | End::Unsent => {
                self.say(&t, json!({ "event": "not taken" }));
                self.again(t.rpc, "unreachable", None);
            }
            End::Broken(why) => {
                self.say(&t, json!({ "event": "broken", "why": why }));
                self.again(t.rpc, "broken", None);
            }
        }
    }

    fn answered(&mut self, t: Try, r: Response) {
        let now = self.net.now();
        let answer = r.lines.get("rockpick-answer").unwrap_or("none").to_string();
        let said: Value = serde_json::from_slice(&r.body).unwrap_or(Value::Null);
        let build = r.lines.get("rockpick-build").unwrap_or("").to_string();
        let right = said["right"].as_bool().unwrap_or(true);
        self.say(
            &t,
            json!({ "event": "answer", "answer": answer, "status": r.status, "build": build,
                "machine": said["machine"], "right": right }),
        );
        if answer != "ok" {
            let wait = r.lines.get("rockpick-retry-after-ms").and_then(|v| v.parse::<i64>().ok());
            return self.again(t.rpc, &answer, wait.map(|ms| ms * MS));
        }
        let rpc = t.rpc;
        let took = now - rpc.began;
        let row = &self.clients.charter.methods[rpc.method];
        let _ = self.times.record((took / 1_000).max(1) as u64);
        self.tolls.ok += 1;
        if took > row.soft_deadline_ms as Ns * MS {
            self.tolls.late += 1;
        } else if right {
            self.tolls.served += row.utility;
        }
        if !right && self.chance.random::<f64>() < self.clients.disputes {
            self.serial += 1;
            let machine = said["machine"].as_str().unwrap_or("").to_string();
            self.disputes.insert(self.serial, (rpc.front, machine, t.sent));
            let wait = self.chance.random_range(SEC / 2..2 * SEC);
            self.net.wake_at(now + wait, DISPUTE | self.serial);
        }
    }

    fn dispute(&mut self, serial: u64) {
        let Some((front, machine, sent)) = self.disputes.remove(&serial) else { return };
        let to = self.clients.fronts[front];
        let age = (self.net.now() - sent) as f64 / MS as f64;
        let body = json!({ "machine": machine, "age_ms": age }).to_string();
        let request = http::ask("POST", "/dispute", &to.to_string(), &[], body.as_bytes());
        let call = Call { to, request: &request, connect_within: CONNECT, stream: false, head_only: false };
        self.net.call(&mut self.made, call);
    }

    /// May the client send it again after this? As its method and what it was told allow.
    fn may_again(&self, rpc: &Rpc, how: &str) -> bool {
        let row = &self.clients.charter.methods[rpc.method];
        let harmless = matches!(how, "pushed-back" | "unreachable" | "not-taken");
        match row.repeat {
            Repeats::Idempotent => true,
            Repeats::Tokened => {
                let window = row.remembered_ms as Ns * MS;
                harmless
                    || row.group == rockpick_control::charter::GroupOf::All
                        && self.net.now() - rpc.began < window
            }
            Repeats::NonIdempotent => harmless,
        }
    }

    fn again(&mut self, mut rpc: Rpc, how: &str, wait: Option<Ns>) {
        if rpc.tries > self.clients.retries || !self.may_again(&rpc, how) {
            return self.over(rpc, how);
        }
        let spread = self.chance.random_range(0..WAIT);
        let at = self.net.now() + wait.unwrap_or(WAIT) + spread;
        if at >= rpc.deadline {
            return self.over(rpc, how);
        }
        if how == "unreachable" || how == "broken" {
            rpc.front = self.chance.random_range(0..self.clients.fronts.len());
        }
        self.serial += 1;
        self.waiting.insert(self.serial, rpc);
        self.net.wake_at(at, AGAIN | self.serial);
    }

    fn over(&mut self, _rpc: Rpc, how: &str) {
        match how {
            "pushed-back" | "not-taken" => self.tolls.pushed_back += 1,
            "aborted" => self.tolls.aborted += 1,
            _ => self.tolls.unanswered += 1,
        }
    }
}
