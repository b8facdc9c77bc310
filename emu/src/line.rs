//! A day's result, as it is kept: a line of JSON each. Emulated days, rehearsals and load have the same lines,
//! all drawn from what clients and machines saw.
use rockpick_control::Settings;
use rockpick_fakes::machine_model::JobEvent;
use rockpick_rehearse::day::Act;
use rockpick_rehearse::judge::{Evidence, Judgement, Saw};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The quantiles of a line.
pub const QUANTILES: [f64; 8] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999];
pub const P50: usize = 2;
pub const P99: usize = 6;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub choice: String,
    pub seed: u64,
    /// Where it comes from: emulated or loopback.
    pub how: String,
    pub service: f64,
    pub asked: f64,
    pub ok: u64,
    pub late: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub unanswered: u64,
    /// Times of ok RPCs from when they were due, ms, at [`QUANTILES`].
    pub times: Vec<f64>,
    /// RPCs at builds on trial, as a share of all picks.
    pub exposure: f64,
    /// Seconds from the offer of the first build that was sent back to that; none: none was.
    pub back_after: Option<f64>,
    /// Good builds offered, and those sent back; bad ones, and those released.
    pub good: u32,
    pub good_back: u32,
    pub bad: u32,
    pub bad_released: u32,
    /// Rules broken; none: they were not looked at, as of load.
    pub broken: Option<usize>,
    pub events: u64,
    /// Service by second, for charts.
    pub by_second: Vec<f64>,
    /// Picks at the newest build by second, as a share of all.
    pub newest: Vec<f64>,
    /// Cap as told: second and share; 0 once sent back, 1 once released.
    pub caps: Vec<(f64, f64)>,
    /// Stage moves: second, build, stage, what.
    pub stages: Vec<(f64, u32, u32, String)>,
}

const PHASES: [&str; 3] = ["on trial", "released", "back"];

impl Line {
    /// RPCs that came to an end.
    pub fn rpcs(&self) -> f64 {
        (self.ok + self.pushed_back + self.aborted + self.unanswered).max(1) as f64
    }

    /// Sums up a day that was judged; `script` tells which builds were bad.
    pub fn of(charter: &Settings, evidence: &Evidence, judgement: &Judgement, script: &[(f64, Act)]) -> Line {
        // To twelve places, which are read back from text to the bit: a cut-off run goes on to the same end.
        let service = (judgement.service * 1e12).round() / 1e12;
        let mut line = Line { service, broken: Some(judgement.breaches.len()), ..Line::default() };
        let picks: u64 = judgement.rows.values().map(|r| r.picks).sum();
        line.exposure = judgement.trial_picks as f64 / picks.max(1) as f64;
        for (name, row) in &judgement.rows {
            let utility = charter.method_index(name).map_or(0.0, |m| charter.methods[m].utility);
            line.asked += utility * row.rpcs as f64;
            line.ok += row.ok;
            line.late += row.ok - row.in_time.min(row.ok);
            line.pushed_back += row.pushed_back;
            line.aborted += row.aborted;
            line.unanswered += row.unanswered;
        }
        let begin = evidence.clients.iter().map(|l| l.t).min().unwrap_or(0);
        let second = |t: i64| (t - begin) as f64 / 1e9;
        line.clients(charter, evidence, begin);
        let mut newest: Vec<[f64; 2]> = Vec::new();
        let mut told = evidence.told.iter().peekable();
        let mut build = charter.first_build;
        let mut arrived: Vec<_> = evidence.machines.iter().filter(|m| m.did == JobEvent::Arrived).collect();
        arrived.sort_by_key(|m| m.t);
        for m in arrived {
            while let Some(t) = told.next_if(|t| t.t <= m.t) {
                build = t.build;
            }
            let at = second(m.t).max(0.0) as usize;
            if newest.len() <= at {
                newest.resize(at + 1, [0.0; 2]);
            }
            let on = f64::from(u8::from(m.build == build && build != charter.first_build));
            newest[at] = [newest[at][0] + 1.0, newest[at][1] + on];
        }
        line.newest = newest.into_iter().map(|[all, on]| on / f64::max(all, 1.0)).collect();
        for p in evidence.told.windows(2) {
            if (p[0].build, p[0].stage, p[0].phase) != (p[1].build, p[1].stage, p[1].phase) {
                let cap = [p[1].cap, 1.0, 0.0][usize::from(p[1].phase).min(2)];
                line.caps.push((second(p[1].t), cap));
                let phase = PHASES[usize::from(p[1].phase).min(2)];
                line.stages.push((second(p[1].t), p[1].build, p[1].stage, phase.into()));
            }
        }
        let when = |build: u32, what: Option<&str>| {
            let fits = |m: &&(f64, u32, u32, String)| m.1 == build && what.is_none_or(|w| m.3 == w);
            line.stages.iter().find(fits).map(|m| m.0)
        };
        for (_, act) in script {
            let Act::Offer { build, bad } = act else { continue };
            let (back, released) = (when(*build, Some("back")), when(*build, Some("released")));
            if line.back_after.is_none() {
                line.back_after = back.and_then(|at| Some(at - when(*build, None)?));
            }
            match bad {
                Some(_) => {
                    (line.bad, line.bad_released) =
                        (line.bad + 1, line.bad_released + u32::from(released.is_some()))
                }
                None => {
                    (line.good, line.good_back) = (line.good + 1, line.good_back + u32::from(back.is_some()))
                }
            }
        }
        line
    }

    /// Service by the second in which RPCs were first sent, and times of those that ended ok.
    fn clients(&mut self, charter: &Settings, evidence: &Evidence, begin: i64) {
        let mut sums: Vec<[f64; 2]> = Vec::new();
        let (mut first, mut times) = (BTreeMap::new(), Vec::new());
        for l in &evidence.clients {
            let row = &charter.methods[l.method as usize];
            if matches!(l.saw, Saw::Sent { .. }) {
                first.entry(l.rpc).or_insert_with(|| {
                    let bucket = ((l.t - begin) / 1_000_000_000).max(0) as usize;
                    if sums.len() <= bucket {
                        sums.resize(bucket + 1, [0.0; 2]);
                    }
                    sums[bucket][0] += row.utility;
                    (l.t, bucket)
                });
            } else if let (Saw::Ok { right }, Some((began, bucket))) = (l.saw, first.get(&l.rpc)) {
                times.push((l.t - began) as f64 / 1e6);
                if right && l.t - began <= row.soft_deadline_ms as i64 * 1_000_000 {
                    sums[*bucket][1] += row.utility;
                }
            }
        }
        self.by_second =
            sums.into_iter().map(|[asked, served]| if asked > 0.0 { served / asked } else { 1.0 }).collect();
        times.sort_by(f64::total_cmp);
        let at = |q: f64| times.get(((q * times.len() as f64) as usize).min(times.len().saturating_sub(1)));
        self.times = QUANTILES.iter().filter_map(|q| at(*q).copied()).collect();
    }
}
