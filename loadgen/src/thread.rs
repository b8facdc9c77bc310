//! One thread of the load generator, with its own event loop, connections and share of the schedule.
use crate::{latency_histogram, second, LoadTest, Result, Times};
use rockpick_fakes::client::{encode_attempt, end_line, parse_answer, sent_line};
use rockpick_fakes::client_model::{AttemptOutcome, ClientModel, NextStep, Rpc, ANSWER_GRACE};
use rockpick_fakes::record::Record;
use rockpick_net::{Call, CallEnd, Event, Id, Net, Ns, MS, SEC};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// A connection that is not established within this time counts as refused.
const CONNECT_TIMEOUT: Ns = 500 * MS;
/// The thread polls without sleeping for this long before the next RPC is due: epoll rounds its timeouts up to whole
/// milliseconds, and that delay would count in the measured latency.
const SPIN: Ns = 1_100_000;
/// How long to wait for open RPCs after the end of the schedule; longer than any deadline.
const DRAIN_TIMEOUT: Ns = 60 * SEC;

const TIMER_GIVE_UP: u64 = 1 << 61;
const TIMER_RETRY: u64 = 1 << 60;

struct Try {
    call: Id,
    rpc: Rpc,
    sent: Ns,
    give_up_at: Ns,
}

struct Thread<'a> {
    test: &'a LoadTest,
    index: usize,
    net: Net,
    model: ClientModel,
    record: Record,
    begin: Ns,
    tries: HashMap<u64, Try>,
    waiting: BTreeMap<u64, Rpc>,
    serial: u64,
    /// The number of RPCs of the schedule so far, over all threads.
    due_count: usize,
    new_events: Vec<Event>,
    result: Result,
}

pub fn run(test: &LoadTest, index: usize, begin: Instant) -> std::result::Result<Result, String> {
    let say = |err: std::io::Error| err.to_string();
    let net = Net::new(1).map_err(say)?;
    let begin = net.clock() + begin.saturating_duration_since(Instant::now()).as_nanos() as Ns;
    let c = test.clone();
    let mut model =
        ClientModel::new(c.settings, c.load, c.arrivals, c.fronts.len(), c.retries, c.work_ms, c.seed)?;
    model.schedule.begin_at(begin);
    let times = || Ok::<Times, String>(Times { due: latency_histogram()?, sent: latency_histogram()? });
    let result = Result {
        totals: Default::default(),
        tries: 0,
        times: test.settings.methods.iter().map(|_| times()).collect::<std::result::Result<_, _>>()?,
        lag: latency_histogram()?,
        by_second: Vec::new(),
        builds: BTreeMap::new(),
        busy: Vec::new(),
        threads: 1,
    };
    let record = Record::open(test.record.as_deref()).map_err(say)?;
    let (tries, waiting, new_events) = (HashMap::new(), BTreeMap::new(), Vec::new());
    let mut thread = Thread {
        test,
        index,
        net,
        model,
        record,
        begin,
        tries,
        waiting,
        serial: 0,
        due_count: 0,
        new_events,
        result,
    };
    thread.run()?;
    let Thread { mut result, model, net, .. } = thread;
    result.totals = model.totals;
    result.totals.stray = net.unexpected_data;
    Ok(result)
}

impl Thread<'_> {
    fn run(&mut self) -> std::result::Result<(), String> {
        let ends = self.begin + self.test.duration;
        let (mut events, mut idle) = (Vec::new(), 0);
        loop {
            let now = self.net.clock();
            let sending = self.model.schedule.due < ends;
            if !sending && self.tries.is_empty() && self.waiting.is_empty() || now > ends + DRAIN_TIMEOUT {
                let all = (now - self.begin).max(1) as f64;
                self.result.busy = vec![1.0 - idle as f64 / all];
                return Ok(());
            }
            while self.model.schedule.due <= now && self.model.schedule.due < ends {
                self.arrive();
            }
            events.append(&mut self.new_events);
            let before = self.net.clock();
            let next = if sending { self.model.schedule.due - before } else { SEC };
            let wait = if next > SPIN { (next - SPIN).min(SEC) } else { 0 };
            let ready = !events.is_empty() || next <= 0;
            self.net.turn(&mut events, wait).map_err(|err| err.to_string())?;
            // The time until the first event, or the whole turn without events, counts as idle.
            if now > self.begin && !ready {
                idle += if events.is_empty() { self.net.clock() } else { self.net.now() } - before;
            }
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Timer { tag } if tag & TIMER_GIVE_UP != 0 => self.give_up(tag & !TIMER_GIVE_UP),
                    Event::Timer { tag } if tag & TIMER_RETRY != 0 => {
                        if let Some(rpc) = self.waiting.remove(&(tag & !TIMER_RETRY)) {
                            self.send(rpc);
                        }
                    }
                    Event::CallEnded { call, end } => self.call_ended(call, end),
                    _ => {}
                }
            }
        }
    }

    /// Takes the RPC that is due from the schedule, and sends it if it belongs to this thread.
    fn arrive(&mut self) {
        let rpc = self.model.schedule.arrive();
        self.due_count += 1;
        if self.due_count % self.test.threads != self.index {
            return;
        }
        self.model.count_asked(&rpc);
        let at = second(rpc.began - self.begin);
        if self.result.by_second.len() <= at {
            self.result.by_second.resize(at + 1, [0.0; 2]);
        }
        self.result.by_second[at][0] += self.model.method(&rpc).utility;
        let lag = self.net.clock() - rpc.began;
        let _ = self.result.lag.record((lag / 1_000).max(1) as u64);
        if self.tries.len() + self.waiting.len() >= self.test.max_open / self.test.threads {
            self.model.totals.not_sent += 1;
            return;
        }
        self.send(rpc);
    }

    fn send(&mut self, mut rpc: Rpc) {
        let now = self.net.clock();
        let Some(attempt) = self.model.start_attempt(now, &mut rpc) else { return };
        self.result.tries += 1;
        let (give_up_at, to) = (attempt.give_up_at, self.test.fronts[rpc.front]);
        let row = self.model.method(&rpc);
        let (id, request) = encode_attempt(row, &rpc, self.test.seed, attempt.stated_deadline - now, to);
        let connect_within = CONNECT_TIMEOUT.min(give_up_at - now);
        let call = Call { to, request: &request, connect_within, stream: false, head_only: false };
        let call = self.net.call(&mut self.new_events, call);
        if self.test.record.is_some() {
            let (row, front) = (self.model.method(&rpc), &self.test.names[rpc.front]);
            self.record.write(sent_line(row, &rpc, &id, front, give_up_at - now));
        }
        // A timer's tag cannot hold the whole generation of a call; the remaining bits still distinguish calls of one slot.
        let call_key = call & (TIMER_RETRY - 1);
        self.net.wake_at(attempt.check_at, TIMER_GIVE_UP | call_key);
        self.tries.insert(call_key, Try { call, rpc, sent: now, give_up_at });
    }

    fn give_up(&mut self, call_key: u64) {
        let Some(t) = self.tries.remove(&call_key) else { return };
        self.net.cancel(t.call);
        self.record_end(&t, "gave up", "");
        self.next_step(t.rpc, AttemptOutcome::GaveUp, None);
    }

    fn call_ended(&mut self, call: Id, end: CallEnd) {
        let Some(t) = self.tries.remove(&(call & (TIMER_RETRY - 1))) else { return };
        let now = self.net.now();
        let (outcome, wait) = match end {
            CallEnd::Answer(r) => {
                let said: Value = serde_json::from_slice(&r.body).unwrap_or(Value::Null);
                let (outcome, wait) = parse_answer(&r, said["right"].as_bool().unwrap_or(true));
                if let AttemptOutcome::Ok { right } = outcome {
                    let build = r.headers.get("rockpick-build").and_then(|b| b.parse().ok());
                    self.count_ok(now, &t, right, build);
                }
                self.record_end(&t, "answer", r.headers.get("rockpick-answer").unwrap_or("none"));
                (outcome, wait)
            }
            CallEnd::Unreachable | CallEnd::Unsent => {
                self.record_end(&t, "not taken", "");
                (AttemptOutcome::Unreachable, None)
            }
            CallEnd::Broken(_) => {
                self.record_end(&t, "broken", "");
                (AttemptOutcome::Broken, None)
            }
        };
        self.next_step(t.rpc, outcome, wait);
    }

    fn count_ok(&mut self, now: Ns, t: &Try, right: bool, build: Option<u32>) {
        let row = self.model.method(&t.rpc);
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

    fn record_end(&mut self, t: &Try, event: &str, answer: &str) {
        if self.test.record.is_none() {
            return;
        }
        let (now, row, front) = (self.net.now(), self.model.method(&t.rpc), &self.test.names[t.rpc.front]);
        let (took, late) = (now - t.sent, now > t.give_up_at + ANSWER_GRACE);
        let line = json!({ "event": event, "answer": answer });
        self.record.write(end_line(line, row, &t.rpc, self.test.seed, front, took, late));
    }
}
