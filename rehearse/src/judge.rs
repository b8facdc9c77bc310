//! Judges a day by what clients and machines saw at their ends of the sockets, what the controller told a
//! watcher, and what the rehearsal itself did to processes. A front's own word counts for nothing. A rehearsal's
//! records are read from JSON ([`read`]); the emulator hands over the same lines as they happen.
//!
//! Times are one clock's, in ns: the machine's monotonic one, which all records share, or the emulator's. What
//! two processes saw of one thing differs by their scheduling: [`SKEW`] is granted for that, never more.
use rockpick_control::settings::{GroupKind, RepeatKind};
use rockpick_control::Settings;
use rockpick_fakes::machine_model::JobEvent;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

pub type Ns = i64;
const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;
/// Two processes' records of one thing lie apart by this at most on a loaded machine.
const SKEW: Ns = 150 * MS;
/// After a controller stood still, fronts may have to ask for a new watch: this long.
const NEWS: Ns = 4 * SEC;
/// Fronts that keep company know what another has bound after this: each greets a drawn one every half a second at most.
const TELLS: Ns = 4 * SEC;
/// After the last fault they know who is there again, and what they missed: some rounds of the slowest probes.
const HEALS: Ns = 10 * SEC;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub rule: u8,
    pub what: String,
}

/// What a client saw of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Saw {
    /// Sent; `leaves`: it will leave before its deadline without having said so.
    Sent {
        leaves: bool,
    },
    Ok {
        right: bool,
    },
    PushedBack,
    Aborted,
    /// Refused as malformed or unknown.
    NotTaken,
    /// An answer that does not say which it is.
    Nameless,
    Unreachable,
    Broken,
    GaveUp,
}

#[derive(Clone, Copy, Debug)]
pub struct ClientLine {
    pub t: Ns,
    pub rpc: u64,
    pub attempt: u32,
    /// Indices into the charter.
    pub method: u16,
    pub front: u16,
    pub saw: Saw,
    /// It came after the deadline and the grace.
    pub late: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct MachineLine {
    pub t: Ns,
    pub machine: u32,
    pub build: u32,
    pub rpc: u64,
    pub attempt: u32,
    pub method: u16,
    pub front: u16,
    pub key: Option<u64>,
    pub did: JobEvent,
}

/// A stage as it was told.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub t: Ns,
    pub build: u32,
    pub stage: u32,
    /// 0 on trial, 1 released, 2 on its way back or withdrawn.
    pub phase: u8,
    pub cap: f64,
}

/// What was done to a process.
#[derive(Clone, Debug)]
pub struct Deed {
    pub t: Ns,
    pub act: String,
    pub who: String,
}

/// All records of a day.
#[derive(Default)]
pub struct Evidence {
    /// Machines by index: name and place.
    pub names: Vec<(String, Option<usize>)>,
    pub clients: Vec<ClientLine>,
    pub machines: Vec<MachineLine>,
    /// Machines that fell over, with how.
    pub fell: Vec<String>,
    pub told: Vec<Told>,
    /// When each machine was told as up, or as not.
    pub moves: Vec<(Ns, u32, bool)>,
    pub acts: Vec<Deed>,
    /// Words that clients got after an answer; whether their record came to its end.
    pub stray: u64,
    pub whole: bool,
    /// The fronts keep company: keys hold over fronts and lives.
    pub company: bool,
}

/// Service by method.
#[derive(Clone, Debug, Default)]
pub struct Row {
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
    pub rows: BTreeMap<String, Row>,
    pub service: f64,
    /// Time, build, stage and phase of each move that was told.
    pub stages: Vec<(Ns, u32, u32, String)>,
    pub trial_picks: u64,
}

/// Spans in which something did not run or stood still.
#[derive(Default)]
struct Downs(BTreeMap<String, Vec<(Ns, Ns, bool)>>);

impl Downs {
    fn of(acts: &[Deed]) -> Downs {
        let mut downs = Downs::default();
        for act in acts {
            let spans = downs.0.entry(act.who.clone()).or_default();
            match act.act.as_str() {
                "kill" => spans.push((act.t, Ns::MAX, true)),
                "stop" | "cut" => spans.push((act.t, Ns::MAX, false)),
                "start" | "cont" | "join" => {
                    if let Some(open) = spans.last_mut().filter(|s| s.1 == Ns::MAX) {
                        open.1 = act.t;
                    }
                }
                _ => {}
            }
        }
        downs
    }

    /// Was it down at any moment of this span?
    fn within(&self, who: &str, from: Ns, to: Ns) -> bool {
        self.0.get(who).is_some_and(|spans| spans.iter().any(|d| d.0 <= to && d.1 >= from))
    }

    /// Killed, not merely stopped, in this span.
    fn killed(&self, who: &str, from: Ns, to: Ns) -> bool {
        self.0.get(who).is_some_and(|spans| spans.iter().any(|d| d.2 && d.0 <= to && d.1 >= from))
    }

    /// Since when nothing has been down or cut at that time; none while something is.
    fn calm(&self, at: Ns) -> Option<Ns> {
        let before = self.0.values().flatten().filter(|d| d.0 <= at);
        before.map(|d| d.1).max().map_or(Some(Ns::MIN / 2), |last| (last <= at).then_some(last))
    }

    /// Was anything down or cut in this span?
    fn any(&self, from: Ns, to: Ns) -> bool {
        self.0.values().flatten().any(|d| d.0 <= to && d.1 >= from)
    }

    /// When a thing of that time was really met: after the stop in which it falls.
    fn after(&self, who: &str, at: Ns) -> Ns {
        let spans = self.0.get(who).map_or(&[][..], |s| s);
        spans.iter().find(|d| d.0 <= at && at <= d.1).map_or(at, |d| d.1)
    }
}

struct Stages<'a> {
    told: Vec<Told>,
    first: f64,
    grace: Ns,
    downs: &'a Downs,
}

impl Stages<'_> {
    fn index(&self, at: Ns) -> usize {
        self.told.partition_point(|l| l.t <= at)
    }

    /// How late news may reach a front around a time.
    fn late(&self, front: &str, at: Ns) -> Ns {
        let late = |who| self.downs.within(who, at - NEWS - self.grace, at);
        if late("controller") || late(front) {
            NEWS
        } else {
            0
        }
    }

    /// What may have been told to a front at a time, as far as rules still bind by it: newest last.
    fn around(&self, front: &str, at: Ns) -> &[Told] {
        let from = self.index(at - self.grace - SKEW - self.late(front, at)).saturating_sub(1);
        let to = self.index(at + SKEW);
        &self.told[from.min(to)..to]
    }

    /// The highest cap that may bind for a build at a time; none: it is not on trial.
    fn cap(&self, front: &str, build: u32, at: Ns) -> Option<f64> {
        let lines = self.around(front, at);
        if lines.is_empty() {
            return Some(self.first);
        }
        let mut cap: f64 = 0.0;
        for l in lines {
            match () {
                () if build < l.build || build == l.build && l.phase == 1 => return None,
                () if build > l.build => cap = cap.max(self.first),
                () if l.phase == 0 => cap = cap.max(l.cap),
                () => {}
            }
        }
        Some(cap)
    }

    /// Since when the present, lowered cap of a build binds: picks count anew from there.
    fn lowered(&self, build: u32, at: Ns) -> Ns {
        let lines = &self.told[..self.index(at)];
        let cap = |l: &Told| if l.phase == 0 { l.cap } else { 0.0 };
        let falls = lines
            .windows(2)
            .filter(|p| p[1].build == build && p[0].build == build && cap(&p[1]) < cap(&p[0]));
        falls.map(|p| p[1].t + self.grace).filter(|l| *l <= at).max().unwrap_or(Ns::MIN / 2)
    }

    fn stage(&self, front: &str, build: u32, at: Ns) -> Option<u32> {
        let lines = self.around(front, at);
        // The latest stage that may bind is the laxest.
        lines.iter().filter(|l| l.build == build && l.phase == 0).map(|l| l.stage).max()
    }
}

/// The records of a rehearsal as they were written.
#[derive(Default)]
pub struct Written {
    pub clients: Vec<Value>,
    pub machines: Vec<Value>,
    /// Lines of a watch of the controller, `t` when each came.
    pub watch: Vec<Value>,
    /// What the rehearsal did: kill, stop, cont, start, of a front or the controller.
    pub acts: Vec<Value>,
}

fn s<'a>(v: &'a Value, name: &str) -> &'a str {
    v[name].as_str().unwrap_or("")
}

fn t(v: &Value) -> Ns {
    v["t"].as_i64().unwrap_or(0)
}

/// Reads what a rehearsal's processes have written; lines of other kinds are passed over.
pub fn read(charter: &Settings, written: &Written) -> Evidence {
    let mut day = Evidence::default();
    let fronts: BTreeMap<&str, u16> =
        charter.fronts.iter().zip(0..).map(|(f, i)| (f.name.as_str(), i)).collect();
    let front = |v: &Value| fronts.get(s(v, "front")).copied();
    let method = |v: &Value| charter.method_index(s(v, "method")).map(|m| m as u16);
    let mut rpcs: BTreeMap<String, u64> = BTreeMap::new();
    let mut rpc = |v: &Value| {
        let next = rpcs.len() as u64;
        *rpcs.entry(s(v, "rpc").to_string()).or_insert(next)
    };
    let attempt = |v: &Value| s(v, "try").parse().unwrap_or(0);
    for v in &written.clients {
        let saw = match (s(v, "event"), s(v, "answer")) {
            ("sent", _) => Saw::Sent { leaves: v["leaves"] == true },
            ("answer", "ok") => Saw::Ok { right: v["right"] != false },
            ("answer", "pushed-back") => Saw::PushedBack,
            ("answer", "aborted") => Saw::Aborted,
            ("answer", "not-taken") => Saw::NotTaken,
            ("answer", _) => Saw::Nameless,
            ("not taken", _) => Saw::Unreachable,
            ("broken", _) => Saw::Broken,
            ("gave up", _) => Saw::GaveUp,
            ("end", _) => {
                (day.whole, day.stray) = (true, v["stray"].as_u64().unwrap_or(0));
                continue;
            }
            _ => continue,
        };
        let (Some(front), Some(method)) = (front(v), method(v)) else { continue };
        let late = v["late"] == true;
        day.clients.push(ClientLine { t: t(v), rpc: rpc(v), attempt: attempt(v), method, front, saw, late });
    }
    let mut known: BTreeMap<String, u32> = BTreeMap::new();
    let mut names = Vec::new();
    let mut machine = |name: &str| {
        *known.entry(name.to_string()).or_insert_with(|| {
            let place = name.split("..").next().unwrap_or(name);
            names.push((name.to_string(), charter.places.iter().position(|p| p.name == place)));
            names.len() as u32 - 1
        })
    };
    for v in &written.machines {
        let did = match s(v, "event") {
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
                let what =
                    format!("{} fell over at {} ms: sent {sent} of {budget}", s(v, "machine"), v["age_ms"]);
                day.fell.push(what);
                continue;
            }
            _ => continue,
        };
        let (Some(front), Some(method)) = (front(v), method(v)) else { continue };
        let build = v["build"].as_u64().unwrap_or(0) as u32;
        let key = s(v, "key").parse().ok();
        let machine = machine(s(v, "machine"));
        let (rpc, attempt) = (rpc(v), attempt(v));
        day.machines.push(MachineLine { t: t(v), machine, build, rpc, attempt, method, front, key, did });
    }
    for v in &written.watch {
        let l = &v["line"]["stage"];
        if let (Some(build), Some(stage), Some(cap)) =
            (l["build"].as_u64(), l["stage"].as_u64(), l["cap"].as_f64())
        {
            let phase = match s(l, "phase") {
                "on-trial" => 0,
                "released" => 1,
                _ => 2,
            };
            day.told.push(Told { t: t(v), build: build as u32, stage: stage as u32, phase, cap });
        }
        for m in v["line"]["roster"]["members"].as_array().into_iter().flatten() {
            day.moves.push((t(v), machine(s(m, "name")), s(m, "state") == "up"));
        }
    }
    day.names = names;
    let deed = |v: &Value| Deed { t: t(v), act: s(v, "act").into(), who: s(v, "who").into() };
    day.acts = written.acts.iter().map(deed).collect();
    day.company = day.acts.iter().any(|act| act.act == "company");
    day
}

/// Keys that the newest build answered while it was on trial, in calm: no front may have lost them at the end of the day.
pub fn kept_keys(charter: &Settings, day: &Evidence) -> BTreeMap<u64, u32> {
    let downs = Downs::of(&day.acts);
    let Some(newest) = day.told.iter().max_by_key(|l| l.t).filter(|l| l.phase < 2) else {
        return BTreeMap::new();
    };
    let on_trial = |at: Ns| {
        let told = day.told.iter().filter(|l| l.t + SKEW < at).max_by_key(|l| l.t);
        told.is_some_and(|l| l.build == newest.build && l.phase == 0)
    };
    let end = day.machines.iter().map(|l| l.t).max().unwrap_or(0);
    let lines = day
        .machines
        .iter()
        .filter(|l| l.did == JobEvent::Ok && l.build == newest.build && charter.rollout.one_way);
    let kept = lines.filter(|l| l.t + TELLS < end && on_trial(l.t) && !downs.any(l.t - SKEW, l.t + TELLS));
    kept.filter_map(|l| Some((l.key?, l.build))).collect()
}

pub fn judge(charter: &Settings, day: &Evidence) -> Judgement {
    let downs = Downs::of(&day.acts);
    let grace = charter.guard.drain_grace_ms as Ns * MS;
    let first = charter.rollout.caps.first().copied().unwrap_or(0.0);
    let mut told = day.told.clone();
    told.sort_by_key(|l| l.t);
    told.dedup_by(|b, a| (a.build, a.stage, a.phase) == (b.build, b.stage, b.phase));
    let stages = Stages { told, first, grace, downs: &downs };
    let mut machines: Vec<&MachineLine> = day.machines.iter().collect();
    machines.sort_by_key(|l| l.t);
    let mut judge = Judge { charter, day, machines, downs: &downs, breaches: Vec::new() };
    judge.one_answer();
    judge.no_second_effect();
    judge.drains();
    for what in &day.fell {
        judge.broke(4, what.clone());
    }
    let trial_picks = judge.exposure(&stages);
    let (rows, service) = judge.rows();
    let began = day.clients.iter().map(|l| l.t).min().unwrap_or(0);
    let phase = ["on trial", "released", "back"];
    let moves =
        stages.told.iter().map(|l| (l.t - began, l.build, l.stage, phase[l.phase as usize].to_string()));
    Judgement { breaches: judge.breaches, rows, service, stages: moves.collect(), trial_picks }
}

struct Judge<'a> {
    charter: &'a Settings,
    day: &'a Evidence,
    /// In order of time.
    machines: Vec<&'a MachineLine>,
    downs: &'a Downs,
    breaches: Vec<Breach>,
}

/// A pick as its machine saw it.
#[derive(Clone, Copy)]
struct Seen {
    machine: u32,
    arrived: Ns,
    began: Option<Ns>,
    ended: Option<Ns>,
    attempt: u32,
    front: u16,
}

impl Judge<'_> {
    fn broke(&mut self, rule: u8, what: String) {
        self.breaches.push(Breach { rule, what });
    }

    fn front(&self, front: u16) -> &str {
        &self.charter.fronts[front as usize].name
    }

    fn machine(&self, machine: u32) -> &str {
        &self.day.names[machine as usize].0
    }

    fn one_answer(&mut self) {
        let mut sent: BTreeMap<(u64, u32), &ClientLine> = BTreeMap::new();
        let day = self.day;
        if day.stray > 0 {
            self.broke(1, format!("{} words came after an answer", day.stray));
        }
        if !day.whole {
            self.broke(1, "the clients' record is cut short".into());
        }
        for l in &day.clients {
            if matches!(l.saw, Saw::Sent { .. }) {
                sent.insert((l.rpc, l.attempt), l);
                continue;
            }
            let Some(began) = sent.remove(&(l.rpc, l.attempt)) else {
                self.broke(1, format!("a second end for {} try {}", l.rpc, l.attempt));
                continue;
            };
            let front = self.front(l.front);
            let fault = match l.saw {
                Saw::GaveUp => began.saw != (Saw::Sent { leaves: true }),
                Saw::Broken | Saw::Nameless => true,
                Saw::Unreachable => false,
                _ => l.late,
            };
            let excused = match l.saw {
                Saw::Broken => self.downs.killed(front, began.t - SKEW, l.t + SKEW),
                _ => self.downs.within(front, began.t - SKEW, l.t),
            };
            if fault && !excused {
                let took = (l.t - began.t) / MS;
                self.broke(1, format!("{} try {} at {front}: {:?} after {took} ms", l.rpc, l.attempt, l.saw));
            }
        }
        for (rpc, attempt) in sent.into_keys() {
            self.broke(1, format!("{rpc} try {attempt}: no end on record"));
        }
    }

    fn no_second_effect(&mut self) {
        let mut rpcs: BTreeMap<u64, (u16, Vec<Seen>)> = BTreeMap::new();
        for l in &self.machines {
            let (_, picks) = rpcs.entry(l.rpc).or_insert_with(|| (l.method, Vec::new()));
            if l.did == JobEvent::Arrived {
                let (machine, attempt, front) = (l.machine, l.attempt, l.front);
                picks.push(Seen { machine, arrived: l.t, began: None, ended: None, attempt, front });
                continue;
            }
            let ours = |p: &&mut Seen| p.machine == l.machine && p.ended.is_none();
            let Some(p) = picks.iter_mut().rev().find(ours) else { continue };
            match l.did {
                JobEvent::Began => p.began = Some(l.t),
                JobEvent::Unheard | JobEvent::Arrived => {}
                _ => p.ended = Some(l.t),
            }
        }
        let charter = self.charter;
        let place = |m: u32| self.day.names[m as usize].1.map(|p| &charter.places[p]);
        let mut found = Vec::new();
        for (rpc, (method, picks)) in &rpcs {
            let row = &charter.methods[*method as usize];
            let began: Vec<&Seen> = picks.iter().filter(|p| p.began.is_some()).collect();
            if row.repeat == RepeatKind::NonIdempotent && began.len() > 1 {
                let at: Vec<&str> = began.iter().map(|p| self.machine(p.machine)).collect();
                found.push(format!("{rpc} ({}, non-idempotent) ran at {}", row.name, at.join(" and ")));
            }
            if let (RepeatKind::Tokened, Some(one)) = (row.repeat, began.first()) {
                for p in picks.iter().filter(|p| p.arrived > one.arrived) {
                    let inside = match (row.group, place(one.machine), place(p.machine)) {
                        (GroupKind::Zone, Some(a), Some(b)) => a.zone == b.zone,
                        (GroupKind::Cell, Some(a), Some(b)) => a.cell == b.cell,
                        _ => true,
                    };
                    if !inside || p.arrived - one.arrived > row.remembered_ms as Ns * MS + SKEW {
                        let at = self.machine(p.machine);
                        found.push(format!(
                            "{rpc} ({}, tokened) went to {at} outside group or window",
                            row.name
                        ));
                    }
                }
            }
            // Overlap is judged by what one front held open: its next pick while the last one's connection stood.
            for pair in picks.windows(2).filter(|p| p[0].front == p[1].front && p[0].attempt == p[1].attempt)
            {
                if pair[0].ended.is_some_and(|end| end > pair[1].arrived + SKEW) {
                    let [a, b] = [0, 1].map(|i| self.machine(pair[i].machine));
                    found.push(format!("{rpc}: picks at {a} and {b} overlap"));
                }
            }
        }
        for l in self.day.clients.iter().filter(|l| l.saw == Saw::PushedBack) {
            let Some((method, picks)) = rpcs.get(&l.rpc) else { continue };
            let row = &charter.methods[*method as usize];
            let narrow = row.repeat == RepeatKind::Tokened && row.group != GroupKind::All;
            let ran = picks.iter().any(|p| p.attempt == l.attempt && p.began.is_some_and(|b| b < l.t));
            if ran && (row.repeat == RepeatKind::NonIdempotent || narrow) {
                found.push(format!("{} ({}) was pushed back though it had run", l.rpc, row.name));
            }
        }
        found.into_iter().for_each(|what| self.broke(2, what));
    }

    fn drains(&mut self) {
        let grace = self.charter.guard.drain_grace_ms as Ns * MS;
        let mut told: BTreeMap<u32, Vec<(Ns, bool)>> = BTreeMap::new();
        for (at, machine, up) in &self.day.moves {
            let moves = told.entry(*machine).or_default();
            if moves.last().is_none_or(|l| l.1 != *up) {
                moves.push((*at, *up));
            }
        }
        let (mut said, mut found) = (BTreeSet::new(), Vec::new());
        for l in self.machines.iter().filter(|l| l.did == JobEvent::Arrived) {
            let Some(moves) = told.get(&l.machine) else { continue };
            let n = moves.partition_point(|m| m.0 <= l.t);
            let Some((since, false)) = n.checked_sub(1).map(|i| moves[i]) else { continue };
            if l.t <= since + grace + SKEW {
                continue;
            }
            // One that hears late, for having been down or the controller's standing still, is given the time.
            let heard =
                |who| self.downs.within(who, since - NEWS, l.t) && self.downs.within(who, l.t - NEWS, l.t);
            let front = self.front(l.front);
            if !heard(front) && !heard("controller") && said.insert((l.machine, l.front)) {
                let late = (l.t - since - grace) / MS;
                found.push(format!("{front} sent to {} {late} ms past the grace", self.machine(l.machine)));
            }
        }
        found.into_iter().for_each(|what| self.broke(3, what));
    }

    fn exposure(&mut self, stages: &Stages) -> u64 {
        let r = &self.charter.rollout;
        let window = r.window_ms as Ns * MS;
        let scope = |method: u16| if r.cap_per_method { method } else { 0 };
        // What each front took: all that clients sent it, when it ran.
        let mut taken: BTreeMap<(u16, u16), Vec<Ns>> = BTreeMap::new();
        for l in self.day.clients.iter().filter(|l| matches!(l.saw, Saw::Sent { .. })) {
            let at = self.downs.after(self.front(l.front), l.t);
            taken.entry((l.front, scope(l.method))).or_default().push(at);
        }
        taken.values_mut().for_each(|times| times.sort_unstable());
        let mut picks: BTreeMap<(u16, u16, u32), Vec<Ns>> = BTreeMap::new();
        let (mut said, mut found) = (BTreeSet::new(), Vec::new());
        let mut trial_picks = 0;
        let mut bound: BTreeMap<(u16, u64), (u32, Ns)> = BTreeMap::new();
        // By any front in any of its lives, where fronts keep company: kept unless something was amiss before it was told.
        let mut known: BTreeMap<u64, (u32, Ns)> = BTreeMap::new();
        for l in &self.machines {
            let (front, build, at) = (self.front(l.front), l.build, l.t);
            if let Some(key) = l.key.filter(|_| r.one_way && l.did == JobEvent::Ok) {
                let kept = bound.entry((l.front, key)).or_insert((build, at));
                if build > kept.0 {
                    *kept = (build, at);
                }
                if self.day.company && !self.downs.any(at - SKEW, at + TELLS) {
                    let kept = known.entry(key).or_insert((build, at));
                    *kept = if build > kept.0 { (build, at) } else { *kept };
                }
            }
            if l.did != JobEvent::Arrived {
                continue;
            }
            if let Some((b, since)) = l.key.and_then(|key| bound.get(&(l.front, key))) {
                let stands = stages.around(front, at).iter().all(|s| s.build == *b && s.phase < 2);
                if stands
                    && build < *b
                    && at > since + SKEW
                    && !self.downs.within(front, *since, at)
                    && said.insert((l.front, *b, "way"))
                {
                    found.push(format!("{front} sent a key of build {b} to build {build}"));
                }
            }
            if let Some((b, since)) = l.key.and_then(|key| known.get(&key)) {
                let stands = stages.around(front, at).iter().all(|s| s.build == *b && s.phase < 2);
                let told = self.downs.calm(at).is_some_and(|calm| at > (calm + HEALS).max(since + TELLS));
                if stands && build < *b && told && said.insert((l.front, *b, "company")) {
                    found.push(format!(
                        "{front} sent a key that another front, or life, has of build {b} to build {build}"
                    ));
                }
            }
            let Some(cap) = stages.cap(front, build, at) else { continue };
            trial_picks += 1;
            let guarded = (stages.stage(front, build, at).unwrap_or(0) as usize) < r.guarded_stages;
            let row = &self.charter.methods[l.method as usize];
            if guarded && row.repeat != RepeatKind::Idempotent && said.insert((l.front, build, "guard")) {
                found.push(format!("{front} sent {} to build {build} in a guarded stage", row.name));
            }
            let times = picks.entry((l.front, scope(l.method), build)).or_default();
            times.push(at);
            let from = (at - window).max(stages.lowered(build, at));
            let many = times.len() - times.partition_point(|p| *p <= from);
            let took = taken.get(&(l.front, scope(l.method))).map_or(0, |times| {
                times.partition_point(|p| *p <= at + SKEW)
                    - times.partition_point(|p| *p <= at - window - SKEW)
            });
            // At cap 0 nothing may go; above it the free allowance counts.
            let most = if cap <= 0.0 { 0.0 } else { r.free + cap * took as f64 };
            if many as f64 > most + 1e-9 && said.insert((l.front, build, "cap")) {
                found.push(format!(
                    "{front}: {many} picks at build {build} in a window, {most:.1} allowed (cap {cap})"
                ));
            }
        }
        found.into_iter().for_each(|what| self.broke(5, what));
        trial_picks
    }

    fn rows(&self) -> (BTreeMap<String, Row>, f64) {
        let mut rows: Vec<Row> = vec![Row::default(); self.charter.methods.len()];
        let mut first: BTreeMap<u64, (u16, Ns)> = BTreeMap::new();
        let mut last: BTreeMap<u64, &ClientLine> = BTreeMap::new();
        for l in &self.day.clients {
            match l.saw {
                Saw::Sent { .. } => drop(first.entry(l.rpc).or_insert((l.method, l.t))),
                _ => drop(last.insert(l.rpc, l)),
            }
        }
        let (mut asked, mut served) = (0.0, 0.0);
        for (rpc, (method, began)) in &first {
            let m = &self.charter.methods[*method as usize];
            let row = &mut rows[*method as usize];
            row.rpcs += 1;
            asked += m.utility;
            let Some(l) = last.get(rpc) else { continue };
            match l.saw {
                Saw::Ok { right } => {
                    row.ok += 1;
                    if l.t - began <= m.soft_deadline_ms as Ns * MS && right {
                        row.in_time += 1;
                        served += m.utility;
                    }
                }
                Saw::PushedBack | Saw::NotTaken => row.pushed_back += 1,
                Saw::Aborted => row.aborted += 1,
                _ => row.unanswered += 1,
            }
        }
        for l in self.machines.iter().filter(|l| l.did == JobEvent::Arrived) {
            rows[l.method as usize].picks += 1;
        }
        let named = self.charter.methods.iter().map(|m| m.name.clone()).zip(rows);
        (named.filter(|(_, r)| r.rpcs > 0).collect(), if asked > 0.0 { served / asked } else { 0.0 })
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

    fn rules(written: &Written) -> Vec<u8> {
        let mut rules: Vec<u8> = judge(&Settings::example(2, 4), &read(&Settings::example(2, 4), written))
            .breaches
            .iter()
            .map(|b| b.rule)
            .collect();
        rules.dedup();
        rules
    }

    const NONE: [u8; 0] = [];

    fn clean() -> Written {
        Written {
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
            acts: Vec::new(),
        }
    }

    #[test]
    fn a_clean_day_keeps_the_rules_and_a_missing_answer_is_excused_by_a_kill_alone() {
        let mut day = clean();
        assert_eq!(rules(&day), NONE);
        day.clients[1] = client(4 * SEC, "gave up", "a", "f0");
        assert_eq!(rules(&day), [1]);
        day.acts = vec![json!({ "t": 2 * SEC, "act": "kill", "who": "f0" })];
        assert_eq!(rules(&day), NONE);
        day.acts[0]["who"] = "f1".into();
        day.clients[1] = client(4 * SEC, "broken", "a", "f0");
        assert_eq!(rules(&day), [1]);
    }

    #[test]
    fn a_second_effect_and_a_pushback_after_one_are_found() {
        let mut day = clean();
        day.machines.push(machine(SEC + 5 * MS, "arrived", "p1..1", "a"));
        assert_eq!(rules(&day), NONE, "arrived, but turned away");
        day.machines.push(machine(SEC + 6 * MS, "began", "p1..1", "a"));
        assert_eq!(rules(&day), [2]);
        let mut day = clean();
        day.clients[1]["answer"] = "pushed-back".into();
        assert_eq!(rules(&day), [2]);
    }

    #[test]
    fn the_cap_counts_what_was_told_and_a_withdrawn_build_gets_nothing() {
        let mut day = clean();
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
        assert_eq!(rules(&day), NONE, "within the grace");
        v["t"] = (SEC + 1_500 * MS).into();
        day.machines.push(v);
        assert_eq!(rules(&day), [5]);
    }

    /// A key that one front's build on trial has answered goes to no earlier build at another, once that can know.
    #[test]
    fn keys_hold_over_fronts_that_keep_company_unless_a_fault_came_before_they_were_told() {
        let charter = || {
            let mut charter = Settings::example(2, 4);
            charter.rollout.one_way = true;
            charter
        };
        let rules = |day: &Written| -> Vec<String> {
            judge(&charter(), &read(&charter(), day)).breaches.iter().map(|b| b.what.clone()).collect()
        };
        let mut day = clean();
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
        assert_eq!(rules(&day), [""; 0], "they keep no company");
        let deed = |t: Ns, act: &str, who: &str| json!({ "t": t, "act": act, "who": who });
        day.acts.push(deed(0, "company", "fronts"));
        assert!(rules(&day).len() == 1 && rules(&day)[0].contains("another front"), "{:?}", rules(&day));
        day.acts.extend([deed(15 * SEC, "cut", "link 0"), deed(16 * SEC, "join", "link 0")]);
        assert_eq!(rules(&day), [""; 0], "the cut has just ended");
        day.acts.truncate(1);
        day.acts.extend([deed(3 * SEC, "kill", "f0"), deed(4 * SEC, "start", "f0")]);
        assert_eq!(rules(&day), [""; 0], "killed before it was told");
    }

    #[test]
    fn sends_past_the_grace_of_a_drain_are_found_unless_the_front_could_not_hear() {
        let mut day = clean();
        let member = json!({ "name": "p0..1", "state": "draining" });
        day.watch.push(json!({ "t": SEC, "line": { "roster": { "kind": "changes", "members": [member] } } }));
        assert_eq!(rules(&day), NONE);
        let mut late = machine(SEC + 1_200 * MS, "arrived", "p0..1", "z");
        late["method"] = "lookup".into();
        day.machines.push(late);
        assert_eq!(rules(&day), [3]);
        day.acts = vec![
            json!({ "t": SEC, "act": "stop", "who": "f0" }),
            json!({ "t": SEC + 1_150 * MS, "act": "cont", "who": "f0" }),
        ];
        assert_eq!(rules(&day), NONE);
    }
}
