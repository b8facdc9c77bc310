//! The summary of a day, stored as a line of JSON. Emulated days, rehearsals and load runs share the format; all
//! figures are computed from the records of clients and machines.
use rockpick_control::Settings;
use rockpick_fakes::machine_model::JobEvent;
use rockpick_rehearse::day::Action;
use rockpick_rehearse::judge::{ClientEvent, Evidence, Judgement};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The quantiles of latency in a summary.
pub const QUANTILES: [f64; 8] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999];
pub const P50: usize = 2;
pub const P99: usize = 6;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaySummary {
    pub choice: String,
    pub seed: u64,
    /// Source of the figures: emulated or loopback.
    pub how: String,
    pub service: f64,
    pub asked: f64,
    pub ok: u64,
    pub late: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub unanswered: u64,
    /// Latency of ok RPCs from the time when they were due, in ms, at [`QUANTILES`].
    pub times: Vec<f64>,
    /// RPCs at builds on trial, as a share of all picks.
    pub exposure: f64,
    /// Seconds from the offer of the first build that was sent back until that happened; none: none was.
    pub back_after: Option<f64>,
    /// Good builds offered, good ones sent back, bad builds offered, bad ones released.
    pub good: u32,
    pub good_back: u32,
    pub bad: u32,
    pub bad_released: u32,
    /// Breaches of the checker's rules; none: not checked, as in load runs.
    pub broken: Option<usize>,
    pub events: u64,
    /// Service by second, for charts.
    pub by_second: Vec<f64>,
    /// Share of picks at the newest build, by second.
    pub newest: Vec<f64>,
    /// Cap as announced to the fronts: second and share; 0 once sent back, 1 once released.
    pub caps: Vec<(f64, f64)>,
    /// Changes of stage: second, build, stage, phase.
    pub stages: Vec<(f64, u32, u32, String)>,
}

const PHASES: [&str; 3] = ["on trial", "released", "back"];

impl DaySummary {
    /// Number of RPCs that ended, at least 1.
    pub fn rpcs(&self) -> f64 {
        (self.ok + self.pushed_back + self.aborted + self.unanswered).max(1) as f64
    }

    /// Summarizes a judged day; `script` says which builds were bad.
    pub fn from_evidence(
        settings: &Settings, evidence: &Evidence, judgement: &Judgement, script: &[(f64, Action)],
    ) -> DaySummary {
        // Twelve decimal places survive the round trip through text unchanged, so that a resumed experiment gives
        // the same result as an uninterrupted one.
        let service = (judgement.service * 1e12).round() / 1e12;
        let mut summary =
            DaySummary { service, broken: Some(judgement.breaches.len()), ..DaySummary::default() };
        let picks: u64 = judgement.methods.values().map(|r| r.picks).sum();
        summary.exposure = judgement.trial_picks as f64 / picks.max(1) as f64;
        for (name, row) in &judgement.methods {
            let utility = settings.method_index(name).map_or(0.0, |m| settings.methods[m].utility);
            summary.asked += utility * row.rpcs as f64;
            summary.ok += row.ok;
            summary.late += row.ok - row.in_time.min(row.ok);
            summary.pushed_back += row.pushed_back;
            summary.aborted += row.aborted;
            summary.unanswered += row.unanswered;
        }
        let begin = evidence.clients.iter().map(|l| l.t).min().unwrap_or(0);
        let second = |t: i64| (t - begin) as f64 / 1e9;
        summary.add_clients(settings, evidence, begin);
        let mut newest: Vec<[f64; 2]> = Vec::new();
        let mut stages = evidence.stages.iter().peekable();
        let mut build = settings.first_build;
        let mut arrived: Vec<_> = evidence.machines.iter().filter(|m| m.event == JobEvent::Arrived).collect();
        arrived.sort_by_key(|m| m.t);
        for m in arrived {
            while let Some(t) = stages.next_if(|t| t.t <= m.t) {
                build = t.build;
            }
            let at = second(m.t).max(0.0) as usize;
            if newest.len() <= at {
                newest.resize(at + 1, [0.0; 2]);
            }
            let newest_pick = f64::from(u8::from(m.build == build && build != settings.first_build));
            newest[at] = [newest[at][0] + 1.0, newest[at][1] + newest_pick];
        }
        summary.newest = newest.into_iter().map(|[all, picks]| picks / f64::max(all, 1.0)).collect();
        for p in evidence.stages.windows(2) {
            if (p[0].build, p[0].stage, p[0].phase) != (p[1].build, p[1].stage, p[1].phase) {
                let cap = [p[1].cap, 1.0, 0.0][usize::from(p[1].phase).min(2)];
                summary.caps.push((second(p[1].t), cap));
                let phase = PHASES[usize::from(p[1].phase).min(2)];
                summary.stages.push((second(p[1].t), p[1].build, p[1].stage, phase.into()));
            }
        }
        let first_change = |build: u32, phase: Option<&str>| {
            let matches = |m: &&(f64, u32, u32, String)| m.1 == build && phase.is_none_or(|p| m.3 == p);
            summary.stages.iter().find(matches).map(|m| m.0)
        };
        for (_, act) in script {
            let Action::Offer { build, bad } = act else { continue };
            let (back_at, released_at) =
                (first_change(*build, Some("back")), first_change(*build, Some("released")));
            if summary.back_after.is_none() {
                summary.back_after = back_at.and_then(|at| Some(at - first_change(*build, None)?));
            }
            match bad {
                Some(_) => {
                    (summary.bad, summary.bad_released) =
                        (summary.bad + 1, summary.bad_released + u32::from(released_at.is_some()))
                }
                None => {
                    (summary.good, summary.good_back) =
                        (summary.good + 1, summary.good_back + u32::from(back_at.is_some()))
                }
            }
        }
        summary
    }

    /// Computes service by the second in which RPCs were first sent, and the latencies of ok RPCs.
    fn add_clients(&mut self, settings: &Settings, evidence: &Evidence, begin: i64) {
        let mut sums: Vec<[f64; 2]> = Vec::new();
        let (mut first_sent, mut times) = (BTreeMap::new(), Vec::new());
        for l in &evidence.clients {
            let row = &settings.methods[l.method as usize];
            if matches!(l.event, ClientEvent::Sent { .. }) {
                first_sent.entry(l.rpc).or_insert_with(|| {
                    let bucket = ((l.t - begin) / 1_000_000_000).max(0) as usize;
                    if sums.len() <= bucket {
                        sums.resize(bucket + 1, [0.0; 2]);
                    }
                    sums[bucket][0] += row.utility;
                    (l.t, bucket)
                });
            } else if let (ClientEvent::Ok { right }, Some((began, bucket))) =
                (l.event, first_sent.get(&l.rpc))
            {
                times.push((l.t - began) as f64 / 1e6);
                if right && l.t - began <= row.soft_deadline_ms as i64 * 1_000_000 {
                    sums[*bucket][1] += row.utility;
                }
            }
        }
        self.by_second =
            sums.into_iter().map(|[asked, served]| if asked > 0.0 { served / asked } else { 1.0 }).collect();
        times.sort_by(f64::total_cmp);
        let quantile =
            |q: f64| times.get(((q * times.len() as f64) as usize).min(times.len().saturating_sub(1)));
        self.times = QUANTILES.iter().filter_map(|q| quantile(*q).copied()).collect();
    }
}
