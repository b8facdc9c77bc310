//! One thread: its own event loop and connections, its part of the schedule.
use crate::{micros, second, LoadTest, Result, Times};
use rockpick_fakes::client::{encode_attempt, end_line, parse_answer, sent_line};
use rockpick_fakes::client_model::{AttemptOutcome, ClientModel, NextStep, Rpc, ANSWER_GRACE};
use rockpick_fakes::record::Record;
use rockpick_net::{Call, CallEnd, Event, Id, Net, Ns, MS, SEC};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// A connection that takes longer was not taken.
const CONNECT: Ns = 500 * MS;
/// It polls without sleep for the last of the way to the next RPC: epoll's waits are whole milliseconds,
/// rounded up, and lateness counts in what is measured.
const SPIN: Ns = 1_100_000;
/// What is open when the schedule ends is waited for this long at most, beyond any deadline.
const LINGER: Ns = 60 * SEC;

const GIVE_UP: u64 = 1 << 61;
const AGAIN: u64 = 1 << 60;

struct Try {
    call: Id,
    rpc: Rpc,
    sent: Ns,
    gives_up: Ns,
}

struct Thread<'a> {
    course: &'a LoadTest,
    nth: usize,
    net: Net,
    crowd: ClientModel,
    record: Record,
    begin: Ns,
    tries: HashMap<u64, Try>,
    waiting: BTreeMap<u64, Rpc>,
    serial: u64,
    /// RPCs of the schedule so far, of all threads.
    due: usize,
    made: Vec<Event>,
    result: Result,
}

pub fn run(course: &LoadTest, nth: usize, begin: Instant) -> std::result::Result<Result, String> {
    let say = |err: std::io::Error| err.to_string();
    let net = Net::new(1).map_err(say)?;
    let begin = net.clock() + begin.saturating_duration_since(Instant::now()).as_nanos() as Ns;
    let c = course.clone();
    let mut crowd =
        ClientModel::new(c.settings, c.load, c.arrivals, c.fronts.len(), c.retries, c.work_ms, c.seed)?;
    crowd.schedule.begin_at(begin);
    let times = || Ok::<Times, String>(Times { due: micros()?, sent: micros()? });
    let result = Result {
        tolls: Default::default(),
        tries: 0,
        times: course.settings.methods.iter().map(|_| times()).collect::<std::result::Result<_, _>>()?,
        lag: micros()?,
        by_second: Vec::new(),
        builds: BTreeMap::new(),
        busy: Vec::new(),
        threads: 1,
    };
    let record = Record::open(course.record.as_deref()).map_err(say)?;
    let (tries, waiting, made) = (HashMap::new(), BTreeMap::new(), Vec::new());
    let mut thread =
        Thread { course, nth, net, crowd, record, begin, tries, waiting, serial: 0, due: 0, made, result };
    thread.work()?;
    let Thread { mut result, crowd, net, .. } = thread;
    result.tolls = crowd.totals;
    result.tolls.stray = net.unexpected_data;
    Ok(result)
}

impl Thread<'_> {
    fn work(&mut self) -> std::result::Result<(), String> {
        let ends = self.begin + self.course.duration;
        let (mut events, mut idle) = (Vec::new(), 0);
        loop {
            let now = self.net.clock();
            let sending = self.crowd.schedule.due < ends;
            if !sending && self.tries.is_empty() && self.waiting.is_empty() || now > ends + LINGER {
                let all = (now - self.begin).max(1) as f64;
                self.result.busy = vec![1.0 - idle as f64 / all];
                return Ok(());
            }
            while self.crowd.schedule.due <= now && self.crowd.schedule.due < ends {
                self.arrive();
            }
            events.append(&mut self.made);
            let before = self.net.clock();
            let next = if sending { self.crowd.schedule.due - before } else { SEC };
            let wait = if next > SPIN { (next - SPIN).min(SEC) } else { 0 };
            let ready = !events.is_empty() || next <= 0;
            self.net.turn(&mut events, wait).map_err(|err| err.to_string())?;
            // Waiting is not work: until something came, or all of it if nothing did.
            if now > self.begin && !ready {
                idle += if events.is_empty() { self.net.clock() } else { self.net.now() } - before;
            }
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Timer { tag } if tag & GIVE_UP != 0 => self.give_up(tag & !GIVE_UP),
                    Event::Timer { tag } if tag & AGAIN != 0 => {
                        if let Some(rpc) = self.waiting.remove(&(tag & !AGAIN)) {
                            self.send(rpc);
                        }
                    }
                    Event::CallEnded { call, end } => self.ended(call, end),
                    _ => {}
                }
            }
        }
    }

    /// Takes the RPC that is due from the schedule, and sends it if it is this thread's.
    fn arrive(&mut self) {
        let rpc = self.crowd.schedule.arrive();
        self.due += 1;
        if self.due % self.course.threads != self.nth {
            return;
        }
        self.crowd.count_asked(&rpc);
        let at = second(rpc.began - self.begin);
        if self.result.by_second.len() <= at {
            self.result.by_second.resize(at + 1, [0.0; 2]);
        }
        self.result.by_second[at][0] += self.crowd.method(&rpc).utility;
        let lag = self.net.clock() - rpc.began;
        let _ = self.result.lag.record((lag / 1_000).max(1) as u64);
        if self.tries.len() + self.waiting.len() >= self.course.max_open / self.course.threads {
            self.crowd.totals.not_sent += 1;
            return;
        }
        self.send(rpc);
    }

    fn send(&mut self, mut rpc: Rpc) {
        let now = self.net.clock();
        let Some(sending) = self.crowd.start_attempt(now, &mut rpc) else { return };
        self.result.tries += 1;
        let (gives_up, to) = (sending.give_up_at, self.course.fronts[rpc.front]);
        let row = self.crowd.method(&rpc);
        let (id, request) = encode_attempt(row, &rpc, self.course.seed, sending.stated_deadline - now, to);
        let connect_within = CONNECT.min(gives_up - now);
        let call = Call { to, request: &request, connect_within, stream: false, head_only: false };
        let call = self.net.call(&mut self.made, call);
        if self.course.record.is_some() {
            let (row, front) = (self.crowd.method(&rpc), &self.course.names[rpc.front]);
            self.record.write(sent_line(row, &rpc, &id, front, gives_up - now));
        }
        // A timer's tag has no room for all of a call's generation; what is left tells calls of one slot apart.
        let short = call & (AGAIN - 1);
        self.net.wake_at(sending.check_at, GIVE_UP | short);
        self.tries.insert(short, Try { call, rpc, sent: now, gives_up });
    }

    fn give_up(&mut self, short: u64) {
        let Some(t) = self.tries.remove(&short) else { return };
        self.net.cancel(t.call);
        self.say(&t, "gave up", "");
        self.after(t.rpc, AttemptOutcome::GaveUp, None);
    }

    fn ended(&mut self, call: Id, end: CallEnd) {
        let Some(t) = self.tries.remove(&(call & (AGAIN - 1))) else { return };
        let now = self.net.now();
        let (how, wait) = match end {
            CallEnd::Answer(r) => {
                let said: Value = serde_json::from_slice(&r.body).unwrap_or(Value::Null);
                let (how, wait) = parse_answer(&r, said["right"].as_bool().unwrap_or(true));
                if let AttemptOutcome::Ok { right } = how {
                    let build = r.headers.get("rockpick-build").and_then(|b| b.parse().ok());
                    self.ok(now, &t, right, build);
                }
                self.say(&t, "answer", r.headers.get("rockpick-answer").unwrap_or("none"));
                (how, wait)
            }
            CallEnd::Unreachable | CallEnd::Unsent => {
                self.say(&t, "not taken", "");
                (AttemptOutcome::Unreachable, None)
            }
            CallEnd::Broken(_) => {
                self.say(&t, "broken", "");
                (AttemptOutcome::Broken, None)
            }
        };
        self.after(t.rpc, how, wait);
    }

    fn ok(&mut self, now: Ns, t: &Try, right: bool, build: Option<u32>) {
        let row = self.crowd.method(&t.rpc);
        let (soft, utility) = (row.soft_deadline_ms as Ns * MS, row.utility);
        if right && now - t.rpc.began <= soft {
            self.result.by_second[second(t.rpc.began - self.begin)][1] += utility;
        }
        let times = &mut self.result.times[t.rpc.method];
        let _ = times.due.record(((now - t.rpc.began) / 1_000).max(1) as u64);
        let _ = times.sent.record(((now - t.sent) / 1_000).max(1) as u64);
        if let Some(build) = build {
            *self.result.builds.entry(build).or_default() += 1;
        }
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

    fn say(&mut self, t: &Try, event: &str, answer: &str) {
        if self.course.record.is_none() {
            return;
        }
        let (now, row, front) = (self.net.now(), self.crowd.method(&t.rpc), &self.course.names[t.rpc.front]);
        let (took, late) = (now - t.sent, now > t.gives_up + ANSWER_GRACE);
        let line = json!({ "event": event, "answer": answer });
        self.record.write(end_line(line, row, &t.rpc, self.course.seed, front, took, late));
    }
}
