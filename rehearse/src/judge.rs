//! Judges a day by what clients and machines saw at their ends of the sockets, what the controller told a
//! watcher, and what the rehearsal itself did to processes. A front's own word counts for nothing.
//!
//! Times are the machine's monotonic clock in ns, which all records share. What two processes saw of one
//! thing differs by their scheduling: [`SKEW`] is granted for that, never more.
use rockpick_control::charter::{GroupOf, Repeats};
use rockpick_control::Charter;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

type Ns = i64;
const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;
/// Two processes' records of one thing lie apart by this at most on a loaded machine.
const SKEW: Ns = 150 * MS;
/// After a controller stood still, fronts may have to ask for a new watch: this long.
const NEWS: Ns = 4 * SEC;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub rule: u8,
    pub what: String,
}

/// All records of a day.
#[derive(Default)]
pub struct Evidence {
    pub clients: Vec<Value>,
    pub machines: Vec<Value>,
    /// Lines of a watch of the controller, `t` when each came.
    pub watch: Vec<Value>,
    /// What the rehearsal did: kill, stop, cont, start, of a front or the controller.
    pub acts: Vec<Value>,
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
    pub stages: Vec<(Ns, u64, u64, String)>,
    pub trial_picks: u64,
}

fn t(v: &Value) -> Ns {
    v["t"].as_i64().unwrap_or(0)
}

fn s<'a>(v: &'a Value, name: &str) -> &'a str {
    v[name].as_str().unwrap_or("")
}

/// Spans in which something did not run or stood still.
#[derive(Default)]
struct Downs(BTreeMap<String, Vec<(Ns, Ns, bool)>>);

impl Downs {
    fn of(acts: &[Value]) -> Downs {
        let mut downs = Downs::default();
        for act in acts {
            let spans = downs.0.entry(s(act, "who").to_string()).or_default();
            match s(act, "act") {
                "kill" => spans.push((t(act), Ns::MAX, true)),
                "stop" => spans.push((t(act), Ns::MAX, false)),
                "start" | "cont" => {
                    if let Some(open) = spans.last_mut().filter(|s| s.1 == Ns::MAX) {
                        open.1 = t(act);
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

    /// When a thing of that time was really met: after the stop in which it falls.
    fn after(&self, who: &str, at: Ns) -> Ns {
        let spans = self.0.get(who).map_or(&[][..], |s| s);
        spans.iter().find(|d| d.0 <= at && at <= d.1).map_or(at, |d| d.1)
    }
}

#[derive(Clone, Copy, Debug)]
struct Told {
    t: Ns,
    build: u64,
    stage: u64,
    /// 0 on trial, 1 released, 2 on its way back or withdrawn.
    phase: u8,
    cap: f64,
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
    fn cap(&self, front: &str, build: u64, at: Ns) -> Option<f64> {
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
    fn lowered(&self, build: u64, at: Ns) -> Ns {
        let lines = &self.told[..self.index(at)];
        let cap = |l: &Told| if l.phase == 0 { l.cap } else { 0.0 };
        let falls = lines
            .windows(2)
            .filter(|p| p[1].build == build && p[0].build == build && cap(&p[1]) < cap(&p[0]));
        falls.map(|p| p[1].t + self.grace).filter(|l| *l <= at).max().unwrap_or(Ns::MIN / 2)
    }

    fn stage(&self, front: &str, build: u64, at: Ns) -> Option<u64> {
        let lines = self.around(front, at);
        // The latest stage that may bind is the laxest.
        lines.iter().filter(|l| l.build == build && l.phase == 0).map(|l| l.stage).max()
    }
}

fn stages_of(watch: &[Value]) -> Vec<Told> {
    let line = |v: &Value| {
        let l = &v["line"]["stage"];
        Some(Told {
            t: t(v),
            build: l["build"].as_u64()?,
            stage: l["stage"].as_u64()?,
            phase: match l["phase"].as_str()? {
                "on-trial" => 0,
                "released" => 1,
                _ => 2,
            },
            cap: l["cap"].as_f64()?,
        })
    };
    let mut told: Vec<Told> = watch.iter().filter_map(line).collect();
    told.sort_by_key(|l| l.t);
    told.dedup_by(|b, a| (a.build, a.stage, a.phase) == (b.build, b.stage, b.phase));
    told
}

pub fn judge(charter: &Charter, evidence: &Evidence) -> Judgement {
    let downs = Downs::of(&evidence.acts);
    let grace = charter.guard.drain_grace_ms as Ns * MS;
    let first = charter.rollout.caps.first().copied().unwrap_or(0.0);
    let stages = Stages { told: stages_of(&evidence.watch), first, grace, downs: &downs };
    let mut machines: Vec<&Value> = evidence.machines.iter().collect();
    machines.sort_by_key(|v| t(v));
    let mut breaches = Vec::new();
    one_answer(evidence, &downs, &mut breaches);
    no_second_effect(charter, evidence, &machines, &mut breaches);
    drains(charter, evidence, &machines, &downs, &mut breaches);
    for v in machines.iter().filter(|v| s(v, "event") == "fell") {
        let what = format!(
            "{} fell over at {} ms: sent {} of {}",
            s(v, "machine"),
            v["age_ms"],
            v["sent"],
            v["budget"]
        );
        breaches.push(Breach { rule: 4, what });
    }
    let trial_picks = exposure(charter, evidence, &machines, &stages, &downs, &mut breaches);
    let (rows, service) = rows(charter, evidence, &machines);
    let began = evidence.clients.iter().map(t).min().unwrap_or(0);
    let phase = ["on trial", "released", "back"];
    let moves =
        stages.told.iter().map(|l| (l.t - began, l.build, l.stage, phase[l.phase as usize].to_string()));
    Judgement { breaches, rows, service, stages: moves.collect(), trial_picks }
}

fn one_answer(evidence: &Evidence, downs: &Downs, breaches: &mut Vec<Breach>) {
    let mut sent: BTreeMap<(&str, &str), &Value> = BTreeMap::new();
    let mut broke = |what: String| breaches.push(Breach { rule: 1, what });
    let mut ended = false;
    for v in &evidence.clients {
        let at = (s(v, "rpc"), s(v, "try"));
        match s(v, "event") {
            "sent" => {
                sent.insert(at, v);
            }
            "end" => {
                ended = true;
                if v["stray"].as_u64().unwrap_or(0) > 0 {
                    broke(format!("{} words came after an answer", v["stray"]));
                }
            }
            "answer" | "gave up" | "broken" | "not taken" => {
                let Some(began) = sent.remove(&at) else {
                    broke(format!("a second end for {} try {}", at.0, at.1));
                    continue;
                };
                let (front, from, to) = (s(v, "front"), t(began), t(v));
                let down = downs.within(front, from - SKEW, to);
                let how = s(v, "event");
                let fault = match how {
                    "answer" => v["late"] == true || s(v, "answer") == "none",
                    "gave up" => began["leaves"] != true,
                    "broken" => true,
                    _ => false,
                };
                let excused =
                    if how == "broken" { downs.killed(front, from - SKEW, to + SKEW) } else { down };
                if fault && !excused {
                    broke(format!("{} try {} at {front}: {how} after {} ms", at.0, at.1, v["took_ms"]));
                }
            }
            _ => {}
        }
    }
    if !ended {
        broke("the clients' record is cut short".into());
    }
    for ((rpc, attempt), _) in sent {
        broke(format!("{rpc} try {attempt}: no end on record"));
    }
}

/// A pick as its machine saw it.
#[derive(Clone, Copy)]
struct Seen<'a> {
    machine: &'a str,
    arrived: Ns,
    began: Option<Ns>,
    ended: Option<Ns>,
    attempt: &'a str,
    front: &'a str,
}

fn no_second_effect(charter: &Charter, evidence: &Evidence, machines: &[&Value], breaches: &mut Vec<Breach>) {
    let mut rpcs: BTreeMap<&str, (&str, Vec<Seen>)> = BTreeMap::new();
    for v in machines.iter().filter(|v| !s(v, "rpc").is_empty()) {
        let (_, picks) = rpcs.entry(s(v, "rpc")).or_insert_with(|| (s(v, "method"), Vec::new()));
        let machine = s(v, "machine");
        if s(v, "event") == "arrived" {
            let (attempt, front) = (s(v, "try"), s(v, "front"));
            picks.push(Seen { machine, arrived: t(v), began: None, ended: None, attempt, front });
            continue;
        }
        let Some(p) = picks.iter_mut().rev().find(|p| p.machine == machine && p.ended.is_none()) else {
            continue;
        };
        match s(v, "event") {
            "began" => p.began = Some(t(v)),
            "ok" | "error" | "full" | "dropped" | "left" => p.ended = Some(t(v)),
            _ => {}
        }
    }
    let mut broke = |what: String| breaches.push(Breach { rule: 2, what });
    let place = |machine: &str| {
        let name = machine.split("..").next().unwrap_or(machine);
        charter.places.iter().find(|p| p.name == name)
    };
    for (rpc, (method, picks)) in &rpcs {
        let Some(row) = charter.method(method).map(|m| &charter.methods[m]) else { continue };
        let began: Vec<&Seen> = picks.iter().filter(|p| p.began.is_some()).collect();
        if row.repeat == Repeats::NonIdempotent && began.len() > 1 {
            let where_: Vec<&str> = began.iter().map(|p| p.machine).collect();
            broke(format!("{rpc} ({method}, non-idempotent) ran at {}", where_.join(" and ")));
        }
        if let (Repeats::Tokened, Some(one)) = (row.repeat, began.first()) {
            for p in picks.iter().filter(|p| p.arrived > one.arrived) {
                let inside = match (row.group, place(one.machine), place(p.machine)) {
                    (GroupOf::Zone, Some(a), Some(b)) => a.zone == b.zone,
                    (GroupOf::Cell, Some(a), Some(b)) => a.cell == b.cell,
                    _ => true,
                };
                if !inside || p.arrived - one.arrived > row.remembered_ms as Ns * MS + SKEW {
                    broke(format!("{rpc} ({method}, tokened) went to {} outside group or window", p.machine));
                }
            }
        }
        // Overlap is judged by what one front held open: its next pick while the last one's connection stood.
        for pair in picks.windows(2).filter(|p| p[0].front == p[1].front && p[0].attempt == p[1].attempt) {
            if pair[0].ended.is_some_and(|end| end > pair[1].arrived + SKEW) {
                broke(format!("{rpc}: picks at {} and {} overlap", pair[0].machine, pair[1].machine));
            }
        }
    }
    for v in evidence.clients.iter().filter(|v| s(v, "event") == "answer" && s(v, "answer") == "pushed-back")
    {
        let Some((method, picks)) = rpcs.get(s(v, "rpc")) else { continue };
        let Some(row) = charter.method(method).map(|m| &charter.methods[m]) else { continue };
        let narrow = row.repeat == Repeats::Tokened && row.group != GroupOf::All;
        let ran = picks.iter().any(|p| p.attempt == s(v, "try") && p.began.is_some_and(|b| b < t(v)));
        if ran && (row.repeat == Repeats::NonIdempotent || narrow) {
            broke(format!("{} ({method}) was pushed back though it had run", s(v, "rpc")));
        }
    }
}

fn drains(
    charter: &Charter, evidence: &Evidence, machines: &[&Value], downs: &Downs, breaches: &mut Vec<Breach>,
) {
    let grace = charter.guard.drain_grace_ms as Ns * MS;
    // When each machine was told gone or draining, and up again: by the watch.
    let mut told: BTreeMap<String, Vec<(Ns, bool)>> = BTreeMap::new();
    for v in &evidence.watch {
        let roster = &v["line"]["roster"];
        let members = roster["members"].as_array().map_or(&[][..], |m| m);
        for m in members {
            let moves = told.entry(s(m, "name").into()).or_default();
            let up = s(m, "state") == "up";
            if moves.last().is_none_or(|l| l.1 != up) {
                moves.push((t(v), up));
            }
        }
    }
    let mut said = BTreeSet::new();
    for v in machines.iter().filter(|v| s(v, "event") == "arrived") {
        let (machine, front, at) = (s(v, "machine"), s(v, "front"), t(v));
        let Some(moves) = told.get(machine) else { continue };
        let n = moves.partition_point(|m| m.0 <= at);
        let Some((since, false)) = n.checked_sub(1).map(|i| moves[i]) else { continue };
        // One that hears late, for having been down or the controller's standing still, is given the time.
        let heard = |who| downs.within(who, since - NEWS, at) && downs.within(who, at - NEWS, at);
        if at > since + grace + SKEW && !heard(front) && !heard("controller") && said.insert((machine, front))
        {
            let late = (at - since - grace) / MS;
            breaches.push(Breach {
                rule: 3,
                what: format!("{front} sent to {machine} {late} ms past the grace"),
            });
        }
    }
}

fn exposure(
    charter: &Charter, evidence: &Evidence, machines: &[&Value], stages: &Stages, downs: &Downs,
    breaches: &mut Vec<Breach>,
) -> u64 {
    let r = &charter.rollout;
    let window = r.window_ms as Ns * MS;
    let scope = |method: &str| if r.cap_per_method { method.to_string() } else { String::new() };
    // What each front took: all that clients sent it, when it ran.
    let mut taken: BTreeMap<(String, String), Vec<Ns>> = BTreeMap::new();
    for v in evidence.clients.iter().filter(|v| s(v, "event") == "sent") {
        let at = downs.after(s(v, "front"), t(v));
        taken.entry((s(v, "front").into(), scope(s(v, "method")))).or_default().push(at);
    }
    taken.values_mut().for_each(|times| times.sort_unstable());
    let mut picks: BTreeMap<(String, String, u64), Vec<Ns>> = BTreeMap::new();
    let mut said = BTreeSet::new();
    let mut broke = |key: (String, u64, &'static str), what: String| {
        if said.insert(key) {
            breaches.push(Breach { rule: 5, what });
        }
    };
    let mut trial_picks = 0;
    let mut bound: BTreeMap<(&str, &str), (u64, Ns)> = BTreeMap::new();
    for v in machines {
        let (front, build, at, method) =
            (s(v, "front"), v["build"].as_u64().unwrap_or(0), t(v), s(v, "method"));
        if r.one_way && s(v, "event") == "ok" && !s(v, "key").is_empty() {
            let kept = bound.entry((front, s(v, "key"))).or_insert((build, at));
            if build > kept.0 {
                *kept = (build, at);
            }
        }
        if s(v, "event") != "arrived" || front.is_empty() {
            continue;
        }
        if let Some((b, since)) = bound.get(&(front, s(v, "key"))).filter(|_| r.one_way) {
            let stands = stages.around(front, at).iter().all(|l| l.build == *b && l.phase < 2);
            if stands && build < *b && at > since + SKEW && !downs.within(front, *since, at) {
                broke((front.into(), *b, "way"), format!("{front} sent a key of build {b} to build {build}"));
            }
        }
        let Some(cap) = stages.cap(front, build, at) else { continue };
        trial_picks += 1;
        let guarded = stages.stage(front, build, at).unwrap_or(0) < r.guarded_stages as u64;
        let kind = charter.method(method).map(|m| charter.methods[m].repeat);
        if guarded && kind != Some(Repeats::Idempotent) {
            broke(
                (front.into(), build, "guard"),
                format!("{front} sent {method} to build {build} in a guarded stage"),
            );
        }
        let times = picks.entry((front.into(), scope(method), build)).or_default();
        times.push(at);
        let from = (at - window).max(stages.lowered(build, at));
        let many = times.len() - times.partition_point(|p| *p <= from);
        let took = taken.get(&(front.to_string(), scope(method))).map_or(0, |times| {
            times.partition_point(|p| *p <= at + SKEW) - times.partition_point(|p| *p <= at - window - SKEW)
        });
        // At cap 0 nothing may go; above it the free allowance counts.
        let most = if cap <= 0.0 { 0.0 } else { r.free + cap * took as f64 };
        if many as f64 > most + 1e-9 {
            let what =
                format!("{front}: {many} picks at build {build} in a window, {most:.1} allowed (cap {cap})");
            broke((front.into(), build, "cap"), what);
        }
    }
    trial_picks
}

fn rows(charter: &Charter, evidence: &Evidence, machines: &[&Value]) -> (BTreeMap<String, Row>, f64) {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    let mut first: BTreeMap<&str, (&str, Ns)> = BTreeMap::new();
    let mut last: BTreeMap<&str, &Value> = BTreeMap::new();
    for v in &evidence.clients {
        match s(v, "event") {
            "sent" => {
                first.entry(s(v, "rpc")).or_insert((s(v, "method"), t(v)));
            }
            "answer" | "gave up" | "broken" | "not taken" => {
                last.insert(s(v, "rpc"), v);
            }
            _ => {}
        }
    }
    let (mut asked, mut served) = (0.0, 0.0);
    for (rpc, (method, began)) in &first {
        let Some(m) = charter.method(method).map(|m| &charter.methods[m]) else { continue };
        let row = rows.entry(method.to_string()).or_default();
        row.rpcs += 1;
        asked += m.utility;
        let Some(v) = last.get(rpc) else { continue };
        match (s(v, "event"), s(v, "answer")) {
            ("answer", "ok") => {
                row.ok += 1;
                if t(v) - began <= m.soft_deadline_ms as Ns * MS && v["right"] != false {
                    row.in_time += 1;
                    served += m.utility;
                }
            }
            ("answer", "pushed-back") => row.pushed_back += 1,
            ("answer", "aborted") => row.aborted += 1,
            _ => row.unanswered += 1,
        }
    }
    for v in machines.iter().filter(|v| s(v, "event") == "arrived") {
        if let Some(row) = rows.get_mut(s(v, "method")) {
            row.picks += 1;
        }
    }
    (rows, if asked > 0.0 { served / asked } else { 0.0 })
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

    fn rules(evidence: &Evidence) -> Vec<u8> {
        let mut rules: Vec<u8> =
            judge(&Charter::example(2, 4), evidence).breaches.iter().map(|b| b.rule).collect();
        rules.dedup();
        rules
    }

    const NONE: [u8; 0] = [];

    fn clean() -> Evidence {
        Evidence {
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
