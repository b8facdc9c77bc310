//! Checks the rules of a rehearsal against what clients and machines recorded at their ends of the connections, what the
//! controller sent to a watcher, and what the rehearsal did to processes. What fronts say of themselves is not used. A
//! rehearsal's records are read from JSON ([`parse_records`]); the emulator builds [`Evidence`] directly.
//!
//! Times are in ns of one clock: the machine's monotonic clock, which all processes share, or the emulator's. Two
//! processes record the same event at different times because of scheduling; [`RECORDING_SKEW`] allows for that.
use rockpick_control::settings::{GroupKind, RepeatKind};
use rockpick_control::Settings;
use rockpick_fakes::machine_model::JobEvent;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

pub type Ns = i64;
const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;
/// The largest difference between two processes' records of one event on a loaded machine.
const RECORDING_SKEW: Ns = 150 * MS;
/// After the controller was stopped, fronts may need this long to open a new watch.
const WATCH_RECOVERY: Ns = 4 * SEC;
/// Peered fronts know the keys bound by another front after this time: each contacts a random peer at least every half
/// second.
const PEER_PROPAGATION: Ns = 4 * SEC;
/// After the last fault, peered fronts need this long to rediscover the members and fetch what they missed: some rounds of
/// the slowest probes.
const PEER_RECOVERY: Ns = 10 * SEC;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub rule: u8,
    pub description: String,
}

/// What a client recorded about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// Sent. `leaves`: the client will close before its deadline without having announced that.
    Sent {
        leaves: bool,
    },
    Ok {
        right: bool,
    },
    PushedBack,
    Aborted,
    /// Refused as malformed or unknown.
    Rejected,
    /// An answer that does not state its kind.
    Unlabelled,
    Unreachable,
    ConnectionLost,
    GaveUp,
}

#[derive(Clone, Copy, Debug)]
pub struct ClientRecord {
    pub t: Ns,
    pub rpc: u64,
    pub attempt: u32,
    /// Indices into the settings.
    pub method: u16,
    pub front: u16,
    pub event: ClientEvent,
    /// The event came after the deadline and its grace.
    pub late: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct MachineRecord {
    pub t: Ns,
    pub machine: u32,
    pub build: u32,
    pub rpc: u64,
    pub attempt: u32,
    pub method: u16,
    pub front: u16,
    pub key: Option<u64>,
    pub event: JobEvent,
}

/// A stage as the controller announced it.
#[derive(Clone, Copy, Debug)]
pub struct StageRecord {
    pub t: Ns,
    pub build: u32,
    pub stage: u32,
    /// 0: on trial, 1: released, 2: going back or withdrawn.
    pub phase: u8,
    pub cap: f64,
}

/// What the rehearsal did to a process or link.
#[derive(Clone, Debug)]
pub struct ProcessAction {
    pub t: Ns,
    pub action: String,
    pub target: String,
}

/// All records of a day, parsed.
#[derive(Default)]
pub struct Evidence {
    /// Name and place of each machine, by index.
    pub machine_names: Vec<(String, Option<usize>)>,
    pub clients: Vec<ClientRecord>,
    pub machines: Vec<MachineRecord>,
    /// Descriptions of machines that failed under overload.
    pub failed_machines: Vec<String>,
    pub stages: Vec<StageRecord>,
    /// When the roster announced each machine as up or as not up.
    pub roster_changes: Vec<(Ns, u32, bool)>,
    pub actions: Vec<ProcessAction>,
    /// Messages that clients received after an answer.
    pub extra_messages: u64,
    /// The clients' record reaches its end marker.
    pub clients_complete: bool,
    /// The fronts are peers: bindings of keys hold across fronts and restarts.
    pub peers_enabled: bool,
}

/// Outcomes of the RPCs of a method.
#[derive(Clone, Debug, Default)]
pub struct MethodSummary {
    pub rpcs: u64,
    pub ok: u64,
    pub in_time: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub unanswered: u64,
    pub picks: u64,
}

pub struct Judgement {
    pub breaches: Vec<Breach>,
    pub methods: BTreeMap<String, MethodSummary>,
    pub service: f64,
    /// Time, build, stage and phase of each announced change.
    pub stages: Vec<(Ns, u32, u32, String)>,
    pub trial_picks: u64,
}

/// A span in which a process did not run or was stopped, or a link was cut.
struct Outage {
    from: Ns,
    until: Ns,
    killed: bool,
}

impl Outage {
    fn overlaps(&self, from: Ns, until: Ns) -> bool {
        self.from <= until && self.until >= from
    }
}

/// Outages by process or link.
#[derive(Default)]
struct Outages(BTreeMap<String, Vec<Outage>>);

impl Outages {
    fn from_actions(actions: &[ProcessAction]) -> Outages {
        let mut outages = Outages::default();
        for action in actions {
            let spans = outages.0.entry(action.target.clone()).or_default();
            let begin = |killed| Outage { from: action.t, until: Ns::MAX, killed };
            match action.action.as_str() {
                "kill" => spans.push(begin(true)),
                "stop" | "cut" => spans.push(begin(false)),
                "start" | "cont" | "join" => {
                    if let Some(open) = spans.last_mut().filter(|s| s.until == Ns::MAX) {
                        open.until = action.t;
                    }
                }
                _ => {}
            }
        }
        outages
    }

    fn of(&self, target: &str) -> &[Outage] {
        self.0.get(target).map_or(&[][..], |spans| spans)
    }

    /// Whether the target was down at any moment of a span.
    fn any_of(&self, target: &str, from: Ns, until: Ns) -> bool {
        self.of(target).iter().any(|o| o.overlaps(from, until))
    }

    /// Whether the target was killed, not merely stopped, in a span.
    fn killed_in(&self, target: &str, from: Ns, until: Ns) -> bool {
        self.of(target).iter().any(|o| o.killed && o.overlaps(from, until))
    }

    /// When the last outage before `at` ended; none while an outage lasts.
    fn quiet_since(&self, at: Ns) -> Option<Ns> {
        let before = self.0.values().flatten().filter(|o| o.from <= at);
        before.map(|o| o.until).max().map_or(Some(Ns::MIN / 2), |last| (last <= at).then_some(last))
    }

    /// Whether anything was down or cut in a span.
    fn any(&self, from: Ns, until: Ns) -> bool {
        self.0.values().flatten().any(|o| o.overlaps(from, until))
    }

    /// When the target could handle an event of time `at`: then, or at the end of the outage in which it falls.
    fn handled_at(&self, target: &str, at: Ns) -> Ns {
        self.of(target).iter().find(|o| o.overlaps(at, at)).map_or(at, |o| o.until)
    }
}

/// The announced stages, and which of them may be in force at a front.
struct StageHistory<'a> {
    records: Vec<StageRecord>,
    first_cap: f64,
    grace: Ns,
    outages: &'a Outages,
}

impl StageHistory<'_> {
    fn count_until(&self, at: Ns) -> usize {
        self.records.partition_point(|l| l.t <= at)
    }

    /// How late an announcement may reach a front around a time.
    fn announcement_delay(&self, front: &str, at: Ns) -> Ns {
        let was_down = |target| self.outages.any_of(target, at - WATCH_RECOVERY - self.grace, at);
        if was_down("controller") || was_down(front) {
            WATCH_RECOVERY
        } else {
            0
        }
    }

    /// The stages that may be in force at a front around a time, newest last.
    fn possibly_in_force(&self, front: &str, at: Ns) -> &[StageRecord] {
        let from = self
            .count_until(at - self.grace - RECORDING_SKEW - self.announcement_delay(front, at))
            .saturating_sub(1);
        let to = self.count_until(at + RECORDING_SKEW);
        &self.records[from.min(to)..to]
    }

    /// The highest cap that may be in force for a build at a time; none if it is not on trial.
    fn cap(&self, front: &str, build: u32, at: Ns) -> Option<f64> {
        let lines = self.possibly_in_force(front, at);
        if lines.is_empty() {
            return Some(self.first_cap);
        }
        let mut cap: f64 = 0.0;
        for l in lines {
            match () {
                () if build < l.build || build == l.build && l.phase == 1 => return None,
                () if build > l.build => cap = cap.max(self.first_cap),
                () if l.phase == 0 => cap = cap.max(l.cap),
                () => {}
            }
        }
        Some(cap)
    }

    /// When the last lowered cap of a build came into force; only picks after that count against it.
    fn cap_lowered_at(&self, build: u32, at: Ns) -> Ns {
        let records = &self.records[..self.count_until(at)];
        let cap = |l: &StageRecord| if l.phase == 0 { l.cap } else { 0.0 };
        let reductions = records
            .windows(2)
            .filter(|p| p[1].build == build && p[0].build == build && cap(&p[1]) < cap(&p[0]));
        reductions.map(|p| p[1].t + self.grace).filter(|l| *l <= at).max().unwrap_or(Ns::MIN / 2)
    }

    /// The latest stage of a build that may be in force.
    fn stage(&self, front: &str, build: u32, at: Ns) -> Option<u32> {
        let lines = self.possibly_in_force(front, at);
        // The latest stage that may be in force is the most permissive one.
        lines.iter().filter(|l| l.build == build && l.phase == 0).map(|l| l.stage).max()
    }
}

/// The records of a rehearsal as parsed from its files, before interpretation.
#[derive(Default)]
pub struct RawRecords {
    pub clients: Vec<Value>,
    pub machines: Vec<Value>,
    /// Lines of a watch of the controller; `t` is when each was received.
    pub watch: Vec<Value>,
    /// What the rehearsal did: kill, stop, cont or start of a front or the controller, and faults.
    pub actions: Vec<Value>,
}

fn text<'a>(v: &'a Value, name: &str) -> &'a str {
    v[name].as_str().unwrap_or("")
}

fn time(v: &Value) -> Ns {
    v["t"].as_i64().unwrap_or(0)
}

/// Interprets the records of a rehearsal's processes; lines of other kinds are ignored.
pub fn parse_records(settings: &Settings, records: &RawRecords) -> Evidence {
    let mut evidence = Evidence::default();
    let fronts: BTreeMap<&str, u16> =
        settings.fronts.iter().zip(0..).map(|(f, i)| (f.name.as_str(), i)).collect();
    let front = |v: &Value| fronts.get(text(v, "front")).copied();
    let method = |v: &Value| settings.method_index(text(v, "method")).map(|m| m as u16);
    let mut rpcs: BTreeMap<String, u64> = BTreeMap::new();
    let mut rpc = |v: &Value| {
        let next = rpcs.len() as u64;
        *rpcs.entry(text(v, "rpc").to_string()).or_insert(next)
    };
    let attempt = |v: &Value| text(v, "try").parse().unwrap_or(0);
    for v in &records.clients {
        let event = match (text(v, "event"), text(v, "answer")) {
            ("sent", _) => ClientEvent::Sent { leaves: v["leaves"] == true },
            ("answer", "ok") => ClientEvent::Ok { right: v["right"] != false },
            ("answer", "pushed-back") => ClientEvent::PushedBack,
            ("answer", "aborted") => ClientEvent::Aborted,
            ("answer", "not-taken") => ClientEvent::Rejected,
            ("answer", _) => ClientEvent::Unlabelled,
            ("not taken", _) => ClientEvent::Unreachable,
            ("broken", _) => ClientEvent::ConnectionLost,
            ("gave up", _) => ClientEvent::GaveUp,
            ("end", _) => {
                (evidence.clients_complete, evidence.extra_messages) =
                    (true, v["stray"].as_u64().unwrap_or(0));
                continue;
            }
            _ => continue,
        };
        let (Some(front), Some(method)) = (front(v), method(v)) else { continue };
        let late = v["late"] == true;
        evidence.clients.push(ClientRecord {
            t: time(v),
            rpc: rpc(v),
            attempt: attempt(v),
            method,
            front,
            event,
            late,
        });
    }
    let mut known: BTreeMap<String, u32> = BTreeMap::new();
    let mut names = Vec::new();
    let mut machine = |name: &str| {
        *known.entry(name.to_string()).or_insert_with(|| {
            let place = name.split("..").next().unwrap_or(name);
            names.push((name.to_string(), settings.places.iter().position(|p| p.name == place)));
            names.len() as u32 - 1
        })
    };
    for v in &records.machines {
        let event = match text(v, "event") {
            "arrived" => JobEvent::Arrived,
            "began" => JobEvent::Began,
            "ok" => JobEvent::Ok,
            "error" => JobEvent::Error,
            "full" => JobEvent::Full,
            "dropped" => JobEvent::Dropped,
            "left" => JobEvent::Left,
            "unheard" => JobEvent::Unheard,
            "fell" => {
                let (sent, budget) = (&v["sent"], &v["budget"]);
                let description = format!(
                    "{} failed from overload at {} ms: sent {sent} of {budget}",
                    text(v, "machine"),
                    v["age_ms"]
                );
                evidence.failed_machines.push(description);
                continue;
            }
            _ => continue,
        };
        let (Some(front), Some(method)) = (front(v), method(v)) else { continue };
        let build = v["build"].as_u64().unwrap_or(0) as u32;
        let key = text(v, "key").parse().ok();
        let machine = machine(text(v, "machine"));
        let (rpc, attempt) = (rpc(v), attempt(v));
        evidence.machines.push(MachineRecord {
            t: time(v),
            machine,
            build,
            rpc,
            attempt,
            method,
            front,
            key,
            event,
        });
    }
    for v in &records.watch {
        let l = &v["line"]["stage"];
        if let (Some(build), Some(stage), Some(cap)) =
            (l["build"].as_u64(), l["stage"].as_u64(), l["cap"].as_f64())
        {
            let phase = match text(l, "phase") {
                "on-trial" => 0,
                "released" => 1,
                _ => 2,
            };
            evidence.stages.push(StageRecord {
                t: time(v),
                build: build as u32,
                stage: stage as u32,
                phase,
                cap,
            });
        }
        for m in v["line"]["roster"]["members"].as_array().into_iter().flatten() {
            evidence.roster_changes.push((time(v), machine(text(m, "name")), text(m, "state") == "up"));
        }
    }
    evidence.machine_names = names;
    let action = |v: &Value| ProcessAction {
        t: time(v),
        action: text(v, "act").into(),
        target: text(v, "who").into(),
    };
    evidence.actions = records.actions.iter().map(action).collect();
    evidence.peers_enabled = evidence.actions.iter().any(|a| a.action == "company");
    evidence
}

/// Keys that the newest build answered on trial while nothing was down: at the end of the day every front must have them.
pub fn trial_answered_keys(settings: &Settings, evidence: &Evidence) -> BTreeMap<u64, u32> {
    let outages = Outages::from_actions(&evidence.actions);
    let Some(newest) = evidence.stages.iter().max_by_key(|l| l.t).filter(|l| l.phase < 2) else {
        return BTreeMap::new();
    };
    let on_trial = |at: Ns| {
        let latest = evidence.stages.iter().filter(|l| l.t + RECORDING_SKEW < at).max_by_key(|l| l.t);
        latest.is_some_and(|l| l.build == newest.build && l.phase == 0)
    };
    let end = evidence.machines.iter().map(|l| l.t).max().unwrap_or(0);
    let lines = evidence
        .machines
        .iter()
        .filter(|l| l.event == JobEvent::Ok && l.build == newest.build && settings.rollout.one_way);
    let lasting = lines.filter(|l| {
        l.t + PEER_PROPAGATION < end
            && on_trial(l.t)
            && !outages.any(l.t - RECORDING_SKEW, l.t + PEER_PROPAGATION)
    });
    lasting.filter_map(|l| Some((l.key?, l.build))).collect()
}

pub fn judge(settings: &Settings, evidence: &Evidence) -> Judgement {
    let outages = Outages::from_actions(&evidence.actions);
    let grace = settings.guard.drain_grace_ms as Ns * MS;
    let first_cap = settings.rollout.caps.first().copied().unwrap_or(0.0);
    let mut records = evidence.stages.clone();
    records.sort_by_key(|l| l.t);
    records.dedup_by(|b, a| (a.build, a.stage, a.phase) == (b.build, b.stage, b.phase));
    let stages = StageHistory { records, first_cap, grace, outages: &outages };
    let mut machines: Vec<&MachineRecord> = evidence.machines.iter().collect();
    machines.sort_by_key(|l| l.t);
    let mut judge = Judge { settings, evidence, machines, outages: &outages, breaches: Vec::new() };
    judge.check_single_answer();
    judge.check_single_effect();
    judge.check_drains();
    for description in &evidence.failed_machines {
        judge.report(4, description.clone());
    }
    let trial_picks = judge.check_exposure(&stages);
    let (methods, service) = judge.summarize_methods();
    let began = evidence.clients.iter().map(|l| l.t).min().unwrap_or(0);
    let phase = ["on trial", "released", "back"];
    let changes =
        stages.records.iter().map(|l| (l.t - began, l.build, l.stage, phase[l.phase as usize].to_string()));
    Judgement { breaches: judge.breaches, methods, service, stages: changes.collect(), trial_picks }
}

struct Judge<'a> {
    settings: &'a Settings,
    evidence: &'a Evidence,
    /// Sorted by time.
    machines: Vec<&'a MachineRecord>,
    outages: &'a Outages,
    breaches: Vec<Breach>,
}

/// A pick as its machine recorded it.
#[derive(Clone, Copy)]
struct MachinePick {
    machine: u32,
    arrived: Ns,
    began: Option<Ns>,
    ended: Option<Ns>,
    attempt: u32,
    front: u16,
}

impl Judge<'_> {
    fn report(&mut self, rule: u8, description: String) {
        self.breaches.push(Breach { rule, description });
    }

    fn front(&self, front: u16) -> &str {
        &self.settings.fronts[front as usize].name
    }

    fn machine(&self, machine: u32) -> &str {
        &self.evidence.machine_names[machine as usize].0
    }

    fn check_single_answer(&mut self) {
        let mut sent: BTreeMap<(u64, u32), &ClientRecord> = BTreeMap::new();
        let evidence = self.evidence;
        if evidence.extra_messages > 0 {
            self.report(1, format!("{} messages came after an answer", evidence.extra_messages));
        }
        if !evidence.clients_complete {
            self.report(1, "the clients' record is incomplete".into());
        }
        for l in &evidence.clients {
            if matches!(l.event, ClientEvent::Sent { .. }) {
                sent.insert((l.rpc, l.attempt), l);
                continue;
            }
            let Some(began) = sent.remove(&(l.rpc, l.attempt)) else {
                self.report(1, format!("second outcome for RPC {} attempt {}", l.rpc, l.attempt));
                continue;
            };
            let front = self.front(l.front);
            let fault = match l.event {
                ClientEvent::GaveUp => began.event != (ClientEvent::Sent { leaves: true }),
                ClientEvent::ConnectionLost | ClientEvent::Unlabelled => true,
                ClientEvent::Unreachable => false,
                _ => l.late,
            };
            let excused = match l.event {
                ClientEvent::ConnectionLost => {
                    self.outages.killed_in(front, began.t - RECORDING_SKEW, l.t + RECORDING_SKEW)
                }
                _ => self.outages.any_of(front, began.t - RECORDING_SKEW, l.t),
            };
            if fault && !excused {
                let took = (l.t - began.t) / MS;
                self.report(
                    1,
                    format!("RPC {} attempt {} at {front}: {:?} after {took} ms", l.rpc, l.attempt, l.event),
                );
            }
        }
        for (rpc, attempt) in sent.into_keys() {
            self.report(1, format!("RPC {rpc} attempt {attempt}: no outcome recorded"));
        }
    }

    fn check_single_effect(&mut self) {
        let mut rpcs: BTreeMap<u64, (u16, Vec<MachinePick>)> = BTreeMap::new();
        for l in &self.machines {
            let (_, picks) = rpcs.entry(l.rpc).or_insert_with(|| (l.method, Vec::new()));
            if l.event == JobEvent::Arrived {
                let (machine, attempt, front) = (l.machine, l.attempt, l.front);
                picks.push(MachinePick { machine, arrived: l.t, began: None, ended: None, attempt, front });
                continue;
            }
            let open = |p: &&mut MachinePick| p.machine == l.machine && p.ended.is_none();
            let Some(p) = picks.iter_mut().rev().find(open) else { continue };
            match l.event {
                JobEvent::Began => p.began = Some(l.t),
                JobEvent::Unheard | JobEvent::Arrived => {}
                _ => p.ended = Some(l.t),
            }
        }
        let settings = self.settings;
        let place = |m: u32| self.evidence.machine_names[m as usize].1.map(|p| &settings.places[p]);
        let mut breaches = Vec::new();
        for (rpc, (method, picks)) in &rpcs {
            let row = &settings.methods[*method as usize];
            let started: Vec<&MachinePick> = picks.iter().filter(|p| p.began.is_some()).collect();
            if row.repeat == RepeatKind::NonIdempotent && started.len() > 1 {
                let at: Vec<&str> = started.iter().map(|p| self.machine(p.machine)).collect();
                breaches.push(format!(
                    "RPC {rpc} ({}, non-idempotent) ran at {}",
                    row.name,
                    at.join(" and ")
                ));
            }
            if let (RepeatKind::Tokened, Some(first)) = (row.repeat, started.first()) {
                for p in picks.iter().filter(|p| p.arrived > first.arrived) {
                    let inside = match (row.group, place(first.machine), place(p.machine)) {
                        (GroupKind::Zone, Some(a), Some(b)) => a.zone == b.zone,
                        (GroupKind::Cell, Some(a), Some(b)) => a.cell == b.cell,
                        _ => true,
                    };
                    if !inside || p.arrived - first.arrived > row.remembered_ms as Ns * MS + RECORDING_SKEW {
                        let at = self.machine(p.machine);
                        breaches.push(format!(
                            "RPC {rpc} ({}, tokened) went to {at} outside its group or window",
                            row.name
                        ));
                    }
                }
            }
            // Picks of one front overlap if the next arrives while the connection of the previous one is still open.
            for pair in picks.windows(2).filter(|p| p[0].front == p[1].front && p[0].attempt == p[1].attempt)
            {
                if pair[0].ended.is_some_and(|end| end > pair[1].arrived + RECORDING_SKEW) {
                    let [a, b] = [0, 1].map(|i| self.machine(pair[i].machine));
                    breaches.push(format!("RPC {rpc}: picks at {a} and {b} overlap"));
                }
            }
        }
        for l in self.evidence.clients.iter().filter(|l| l.event == ClientEvent::PushedBack) {
            let Some((method, picks)) = rpcs.get(&l.rpc) else { continue };
            let row = &settings.methods[*method as usize];
            let limited_group = row.repeat == RepeatKind::Tokened && row.group != GroupKind::All;
            let ran = picks.iter().any(|p| p.attempt == l.attempt && p.began.is_some_and(|b| b < l.t));
            if ran && (row.repeat == RepeatKind::NonIdempotent || limited_group) {
                breaches.push(format!("RPC {} ({}) was pushed back although it had run", l.rpc, row.name));
            }
        }
        breaches.into_iter().for_each(|description| self.report(2, description));
    }

    fn check_drains(&mut self) {
        let grace = self.settings.guard.drain_grace_ms as Ns * MS;
        let mut states: BTreeMap<u32, Vec<(Ns, bool)>> = BTreeMap::new();
        for (at, machine, up) in &self.evidence.roster_changes {
            let changes = states.entry(*machine).or_default();
            if changes.last().is_none_or(|l| l.1 != *up) {
                changes.push((*at, *up));
            }
        }
        let (mut reported, mut breaches) = (BTreeSet::new(), Vec::new());
        for l in self.machines.iter().filter(|l| l.event == JobEvent::Arrived) {
            let Some(changes) = states.get(&l.machine) else { continue };
            let n = changes.partition_point(|m| m.0 <= l.t);
            let Some((since, false)) = n.checked_sub(1).map(|i| changes[i]) else { continue };
            if l.t <= since + grace + RECORDING_SKEW {
                continue;
            }
            // A front that was down, or that had no running controller, may learn of the drain late.
            let was_down = |target| {
                self.outages.any_of(target, since - WATCH_RECOVERY, l.t)
                    && self.outages.any_of(target, l.t - WATCH_RECOVERY, l.t)
            };
            let front = self.front(l.front);
            if !was_down(front) && !was_down("controller") && reported.insert((l.machine, l.front)) {
                let late = (l.t - since - grace) / MS;
                breaches.push(format!(
                    "{front} sent to {} {late} ms after the grace of its drain",
                    self.machine(l.machine)
                ));
            }
        }
        breaches.into_iter().for_each(|description| self.report(3, description));
    }

    fn check_exposure(&mut self, stages: &StageHistory) -> u64 {
        let r = &self.settings.rollout;
        let window = r.window_ms as Ns * MS;
        let scope_of = |method: u16| if r.cap_per_method { method } else { 0 };
        // When each front took the RPCs that clients sent to it.
        let mut taken: BTreeMap<(u16, u16), Vec<Ns>> = BTreeMap::new();
        for l in self.evidence.clients.iter().filter(|l| matches!(l.event, ClientEvent::Sent { .. })) {
            let at = self.outages.handled_at(self.front(l.front), l.t);
            taken.entry((l.front, scope_of(l.method))).or_default().push(at);
        }
        taken.values_mut().for_each(|times| times.sort_unstable());
        let mut picks: BTreeMap<(u16, u16, u32), Vec<Ns>> = BTreeMap::new();
        let (mut reported, mut breaches) = (BTreeSet::new(), Vec::new());
        let mut trial_picks = 0;
        let mut bound_by_front: BTreeMap<(u16, u64), (u32, Ns)> = BTreeMap::new();
        // Keys bound by any front or an earlier process of it, if fronts are peers. Left out if a fault came before the binding
        // could reach the others.
        let mut bound_by_any: BTreeMap<u64, (u32, Ns)> = BTreeMap::new();
        for l in &self.machines {
            let (front, build, at) = (self.front(l.front), l.build, l.t);
            if let Some(key) = l.key.filter(|_| r.one_way && l.event == JobEvent::Ok) {
                let kept = bound_by_front.entry((l.front, key)).or_insert((build, at));
                if build > kept.0 {
                    *kept = (build, at);
                }
                if self.evidence.peers_enabled
                    && !self.outages.any(at - RECORDING_SKEW, at + PEER_PROPAGATION)
                {
                    let kept = bound_by_any.entry(key).or_insert((build, at));
                    *kept = if build > kept.0 { (build, at) } else { *kept };
                }
            }
            if l.event != JobEvent::Arrived {
                continue;
            }
            if let Some((b, since)) = l.key.and_then(|key| bound_by_front.get(&(l.front, key))) {
                let in_force =
                    stages.possibly_in_force(front, at).iter().all(|s| s.build == *b && s.phase < 2);
                if in_force
                    && build < *b
                    && at > since + RECORDING_SKEW
                    && !self.outages.any_of(front, *since, at)
                    && reported.insert((l.front, *b, "one_way"))
                {
                    breaches.push(format!("{front} sent a key bound to build {b} to build {build}"));
                }
            }
            if let Some((b, since)) = l.key.and_then(|key| bound_by_any.get(&key)) {
                let in_force =
                    stages.possibly_in_force(front, at).iter().all(|s| s.build == *b && s.phase < 2);
                let propagated = self
                    .outages
                    .quiet_since(at)
                    .is_some_and(|quiet| at > (quiet + PEER_RECOVERY).max(since + PEER_PROPAGATION));
                if in_force && build < *b && propagated && reported.insert((l.front, *b, "peers")) {
                    breaches.push(format!(
                        "{front} sent a key that another front or process bound to build {b} to build {build}"
                    ));
                }
            }
            let Some(cap) = stages.cap(front, build, at) else { continue };
            trial_picks += 1;
            let guarded = (stages.stage(front, build, at).unwrap_or(0) as usize) < r.guarded_stages;
            let row = &self.settings.methods[l.method as usize];
            if guarded && row.repeat != RepeatKind::Idempotent && reported.insert((l.front, build, "guard")) {
                breaches.push(format!("{front} sent {} to build {build} in a guarded stage", row.name));
            }
            let times = picks.entry((l.front, scope_of(l.method), build)).or_default();
            times.push(at);
            let from = (at - window).max(stages.cap_lowered_at(build, at));
            let count = times.len() - times.partition_point(|p| *p <= from);
            let taken_in_window = taken.get(&(l.front, scope_of(l.method))).map_or(0, |times| {
                times.partition_point(|p| *p <= at + RECORDING_SKEW)
                    - times.partition_point(|p| *p <= at - window - RECORDING_SKEW)
            });
            // Cap 0 allows nothing; any other cap adds the free allowance.
            let allowed = if cap <= 0.0 { 0.0 } else { r.free + cap * taken_in_window as f64 };
            if count as f64 > allowed + 1e-9 && reported.insert((l.front, build, "cap")) {
                breaches.push(format!(
                    "{front}: {count} picks at build {build} in a window, {allowed:.1} allowed (cap {cap})"
                ));
            }
        }
        breaches.into_iter().for_each(|description| self.report(5, description));
        trial_picks
    }

    fn summarize_methods(&self) -> (BTreeMap<String, MethodSummary>, f64) {
        let mut rows: Vec<MethodSummary> = vec![MethodSummary::default(); self.settings.methods.len()];
        let mut first: BTreeMap<u64, (u16, Ns)> = BTreeMap::new();
        let mut last: BTreeMap<u64, &ClientRecord> = BTreeMap::new();
        for l in &self.evidence.clients {
            match l.event {
                ClientEvent::Sent { .. } => drop(first.entry(l.rpc).or_insert((l.method, l.t))),
                _ => drop(last.insert(l.rpc, l)),
            }
        }
        let (mut requested, mut served) = (0.0, 0.0);
        for (rpc, (method, began)) in &first {
            let m = &self.settings.methods[*method as usize];
            let row = &mut rows[*method as usize];
            row.rpcs += 1;
            requested += m.utility;
            let Some(l) = last.get(rpc) else { continue };
            match l.event {
                ClientEvent::Ok { right } => {
                    row.ok += 1;
                    if l.t - began <= m.soft_deadline_ms as Ns * MS && right {
                        row.in_time += 1;
                        served += m.utility;
                    }
                }
                ClientEvent::PushedBack | ClientEvent::Rejected => row.pushed_back += 1,
                ClientEvent::Aborted => row.aborted += 1,
                _ => row.unanswered += 1,
            }
        }
        for l in self.machines.iter().filter(|l| l.event == JobEvent::Arrived) {
            rows[l.method as usize].picks += 1;
        }
        let named = self.settings.methods.iter().map(|m| m.name.clone()).zip(rows);
        (named.filter(|(_, r)| r.rpcs > 0).collect(), if requested > 0.0 { served / requested } else { 0.0 })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn client(t: Ns, event: &str, rpc: &str, front: &str) -> Value {
        json!({ "t": t, "event": event, "rpc": rpc, "try": "1", "method": "lodge", "front": front, "answer": "ok" })
    }

    fn machine(t: Ns, event: &str, machine: &str, rpc: &str) -> Value {
        json!({ "t": t, "event": event, "machine": machine, "build": 1, "rpc": rpc, "try": "1", "method": "lodge",
            "front": "f0", "pick": "0", "key": "7" })
    }

    fn stage(t: Ns, build: u64, phase: &str, cap: f64) -> Value {
        json!({ "t": t, "line": { "stage": { "build": build, "stage": 0, "phase": phase, "cap": cap } } })
    }

    fn rules(records: &RawRecords) -> Vec<u8> {
        let mut rules: Vec<u8> =
            judge(&Settings::example(2, 4), &parse_records(&Settings::example(2, 4), records))
                .breaches
                .iter()
                .map(|b| b.rule)
                .collect();
        rules.dedup();
        rules
    }

    const NO_RULES: [u8; 0] = [];

    fn records_without_breach() -> RawRecords {
        RawRecords {
            clients: vec![
                client(SEC, "sent", "a", "f0"),
                client(2 * SEC, "answer", "a", "f0"),
                json!({ "t": 3 * SEC, "event": "end", "stray": 0 }),
            ],
            machines: vec![
                machine(SEC + MS, "arrived", "p0..1", "a"),
                machine(SEC + 2 * MS, "began", "p0..1", "a"),
            ],
            watch: vec![stage(0, 1, "released", 1.0)],
            actions: Vec::new(),
        }
    }

    #[test]
    fn a_missing_answer_is_a_breach_unless_the_front_was_killed() {
        let mut day = records_without_breach();
        assert_eq!(rules(&day), NO_RULES);
        day.clients[1] = client(4 * SEC, "gave up", "a", "f0");
        assert_eq!(rules(&day), [1]);
        day.actions = vec![json!({ "t": 2 * SEC, "act": "kill", "who": "f0" })];
        assert_eq!(rules(&day), NO_RULES);
        day.actions[0]["who"] = "f1".into();
        day.clients[1] = client(4 * SEC, "broken", "a", "f0");
        assert_eq!(rules(&day), [1]);
    }

    #[test]
    fn a_second_effect_and_a_pushback_after_an_effect_are_found() {
        let mut day = records_without_breach();
        day.machines.push(machine(SEC + 5 * MS, "arrived", "p1..1", "a"));
        assert_eq!(rules(&day), NO_RULES, "arrived, but did not begin");
        day.machines.push(machine(SEC + 6 * MS, "began", "p1..1", "a"));
        assert_eq!(rules(&day), [2]);
        let mut day = records_without_breach();
        day.clients[1]["answer"] = "pushed-back".into();
        assert_eq!(rules(&day), [2]);
    }

    #[test]
    fn the_announced_cap_limits_picks_and_a_withdrawn_build_gets_none() {
        let mut day = records_without_breach();
        day.watch.push(stage(SEC / 2, 2, "on-trial", 0.14));
        for i in 0..4 {
            let mut v = machine(SEC + i * MS, "arrived", "p2..2", &format!("x{i}"));
            v["build"] = 2.into();
            day.machines.push(v);
            assert_eq!(rules(&day), if i < 2 { vec![] } else { vec![5] }, "{i}");
        }
        day.machines.truncate(2);
        day.watch.push(stage(SEC, 2, "going-back", 0.0));
        let mut v = machine(SEC + 500 * MS, "arrived", "p2..2", "y");
        v["build"] = 2.into();
        day.machines.push(v.clone());
        assert_eq!(rules(&day), NO_RULES, "within the grace");
        v["t"] = (SEC + 1_500 * MS).into();
        day.machines.push(v);
        assert_eq!(rules(&day), [5]);
    }

    /// Guards against a front sending a key to an earlier build although a build on trial has answered it at a peer.
    #[test]
    fn bindings_hold_across_peers_unless_a_fault_came_before_they_could_propagate() {
        let one_way_settings = || {
            let mut settings = Settings::example(2, 4);
            settings.rollout.one_way = true;
            settings
        };
        let rules = |day: &RawRecords| -> Vec<String> {
            judge(&one_way_settings(), &parse_records(&one_way_settings(), day))
                .breaches
                .iter()
                .map(|b| b.description.clone())
                .collect()
        };
        let mut day = records_without_breach();
        day.watch.push(stage(SEC / 2, 2, "on-trial", 1.0));
        let mut at = |t: Ns, event: &str, front: &str, build: u64, rpc: &str| {
            let mut line = machine(t, event, &format!("p{build}..{build}"), rpc);
            (line["build"], line["front"], line["method"]) = (build.into(), front.into(), "lookup".into());
            day.machines.push(line);
        };
        at(2 * SEC, "arrived", "f0", 2, "k");
        at(2 * SEC + MS, "ok", "f0", 2, "k");
        at(4 * SEC, "arrived", "f1", 1, "soon");
        at(20 * SEC, "arrived", "f1", 1, "late");
        assert_eq!(rules(&day), [""; 0], "the fronts are not peers");
        let action = |t: Ns, act: &str, who: &str| json!({ "t": t, "act": act, "who": who });
        day.actions.push(action(0, "company", "fronts"));
        assert!(rules(&day).len() == 1 && rules(&day)[0].contains("another front"), "{:?}", rules(&day));
        day.actions.extend([action(15 * SEC, "cut", "link 0"), action(16 * SEC, "join", "link 0")]);
        assert_eq!(rules(&day), [""; 0], "the link was restored a moment ago");
        day.actions.truncate(1);
        day.actions.extend([action(3 * SEC, "kill", "f0"), action(4 * SEC, "start", "f0")]);
        assert_eq!(rules(&day), [""; 0], "killed before the binding could propagate");
    }

    #[test]
    fn picks_after_the_grace_of_a_drain_are_found_unless_the_front_was_stopped() {
        let mut day = records_without_breach();
        let member = json!({ "name": "p0..1", "state": "draining" });
        day.watch.push(json!({ "t": SEC, "line": { "roster": { "kind": "changes", "members": [member] } } }));
        assert_eq!(rules(&day), NO_RULES);
        let mut late = machine(SEC + 1_200 * MS, "arrived", "p0..1", "z");
        late["method"] = "lookup".into();
        day.machines.push(late);
        assert_eq!(rules(&day), [3]);
        day.actions = vec![
            json!({ "t": SEC, "act": "stop", "who": "f0" }),
            json!({ "t": SEC + 1_150 * MS, "act": "cont", "who": "f0" }),
        ];
        assert_eq!(rules(&day), NO_RULES);
    }
}
