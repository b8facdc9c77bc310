//! Validation of the emulator against rehearsals. Its latencies are fitted to the record of one rehearsal on
//! loopback; with them it predicts, with error bars, the results of further rehearsals.
use crate::experiment::{day_of_plan, run_day, run_parallel};
use crate::summary::{DaySummary, P50, P99};
use crate::world::Latencies;
use rockpick_net::{Ns, MS};
use rockpick_rehearse::judge::{self, RawRecords};
use rockpick_rehearse::Plan;
use serde_json::Value;
use std::collections::BTreeMap;

/// The smallest number of RPCs that a fit accepts.
const MIN_RPCS: usize = 100;
/// Emulated days behind each prediction, and Student's t for a two-sided 99% with one degree of freedom fewer.
pub const DAYS: u64 = 24;
const T99: f64 = 2.807;
/// The first seed of these days, apart from those of any rehearsal.
const FIRST_SEED: u64 = 1 << 40;
/// Mean jitter factor: emulated latencies are jittered by up to half the base, by a quarter on average.
const MEAN_JITTER: f64 = 1.25;

fn median(mut times: Vec<Ns>) -> Ns {
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or(0)
}

/// Fits latencies to a rehearsal's record, from RPCs with a single pick. Half of the round trip is attributed to
/// the way between client and front and half to the way between front and machine; what machines take beyond the
/// work is attributed to their timers.
///
/// # Errors
/// A record with too few such RPCs.
pub fn latencies(written: &RawRecords) -> Result<Latencies, String> {
    let id = |v: &Value| -> Option<(String, String)> {
        Some((v["rpc"].as_str()?.to_string(), v["try"].as_str()?.to_string()))
    };
    let t = |v: &Value| v["t"].as_i64().unwrap_or(0);
    // Times of sent, arrived, began, ok at the machine and ok at the client; number of picks; work in ms.
    let mut rpcs: BTreeMap<(String, String), ([Ns; 5], u32, f64)> = BTreeMap::new();
    for v in written.clients.iter().chain(&written.machines) {
        let Some(id) = id(v) else { continue };
        let client = v.get("machine").is_none() || v["event"] == "answer";
        let at = match (v["event"].as_str().unwrap_or(""), client) {
            ("sent", _) => 0,
            ("arrived", _) => 1,
            ("began", _) => 2,
            ("ok", _) => 3,
            ("answer", _) if v["answer"] == "ok" => 4,
            _ => continue,
        };
        let entry = rpcs.entry(id).or_insert(([0; 5], 0, f64::NAN));
        entry.0[at] = t(v);
        entry.1 += u32::from(at == 1);
        if at == 0 {
            entry.2 = v["work_ms"].as_f64().unwrap_or(f64::NAN);
        }
    }
    let complete = |r: &&([Ns; 5], u32, f64)| r.1 == 1 && r.0.iter().all(|t| *t > 0) && r.2.is_finite();
    let samples: Vec<_> = rpcs.values().filter(complete).collect();
    if samples.len() < MIN_RPCS {
        return Err(format!("{} RPCs with one pick each, {MIN_RPCS} are wanted", samples.len()));
    }
    let one_way = samples.iter().map(|(t, ..)| (t[1] - t[0] + t[4] - t[3]) / 2).collect();
    let overheads = samples.iter().map(|(t, _, work)| t[3] - t[2] - (work * MS as f64) as Ns).collect();
    let latency = (median(one_way) as f64 / 2.0 / MEAN_JITTER) as Ns;
    Ok(Latencies {
        same: latency,
        cross: latency,
        client: latency,
        over: median(overheads).max(0),
        ..Latencies::default()
    })
}

/// Summarizes a rehearsal's records.
pub fn summarize(plan: &Plan, written: &RawRecords) -> Result<DaySummary, String> {
    let settings = rockpick_rehearse::day::settings(plan)?;
    let (script, _) = rockpick_rehearse::day::script(plan)?;
    let evidence = judge::parse_records(&settings, written);
    let judgement = judge::judge(&settings, &evidence);
    let summary = DaySummary::from_evidence(&settings, &evidence, &judgement, &script);
    Ok(DaySummary { how: "loopback".into(), seed: plan.seed, ..summary })
}

/// The names of the predicted figures.
pub const FIGURES: [&str; 4] = ["service", "p50 ms", "p99 ms", "pushed back"];

pub fn figures(summary: &DaySummary) -> [f64; 4] {
    let time = |at: usize| summary.times.get(at).copied().unwrap_or(0.0);
    [summary.service, time(P50), time(P99), summary.pushed_back as f64 / summary.rpcs()]
}

/// A prediction: mean, lower and upper bound for each of [`FIGURES`].
#[derive(Clone, Debug)]
pub struct Prediction(pub [[f64; 3]; 4]);

impl Prediction {
    /// Widens the bars of all figures by the prediction error of the fitted day, which is a systematic error of the
    /// emulator and not chance.
    pub fn widen(mut self, by: &[f64; 4]) -> Prediction {
        for (bars, by) in self.0.iter_mut().zip(by) {
            *bars = [bars[0], bars[1] - by, bars[2] + by];
        }
        self
    }

    /// How far each figure lies outside its bounds.
    pub fn misses(&self, figures: &[f64; 4]) -> [f64; 4] {
        std::array::from_fn(|i| (self.0[i][1] - figures[i]).max(figures[i] - self.0[i][2]).max(0.0))
    }
}

/// Runs a plan's day [`DAYS`] times. The bars are the 99% prediction interval of one more day (normal, Student's
/// t); for shares they are at least three RPCs wide to each side (the rule of three, for events never seen).
///
/// # Errors
/// A day that can't be set up.
pub fn predict(plan: &Plan, latencies: Latencies, threads: usize) -> Result<Prediction, String> {
    let seeds: Vec<u64> = (FIRST_SEED..FIRST_SEED + DAYS).collect();
    let play = |seed: &u64| -> Result<[f64; 5], String> {
        let mut day = day_of_plan(plan, &[], *seed, true)?;
        day.latencies = latencies;
        let (summary, _) = run_day(day)?;
        let f = figures(&summary);
        Ok([f[0], f[1], f[2], f[3], summary.rpcs()])
    };
    let days = run_parallel(threads, &seeds, play)?;
    let n = days.len() as f64;
    let mean = |i: usize| days.iter().map(|d| d[i]).sum::<f64>() / n;
    let rpcs = mean(4);
    Ok(Prediction(std::array::from_fn(|i| {
        let m = mean(i);
        let s = (days.iter().map(|d| (d[i] - m).powi(2)).sum::<f64>() / (n - 1.0)).sqrt();
        let bar = T99 * s * (1.0 + 1.0 / n).sqrt();
        let bar = if i == 0 || i == 3 { bar.max(3.0 / rpcs) } else { bar };
        [m, m - bar, m + bar]
    })))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn latencies_are_fitted_to_rpcs_with_one_pick() {
        let mut written = RawRecords::default();
        for i in 0..200 {
            let (t, rpc) = (1_000 * MS + i * 10 * MS, format!("1-{i}"));
            let line = |event: &str, at: Ns| json!({ "event": event, "rpc": rpc, "try": "1", "t": t + at });
            let mut sent = line("sent", 0);
            sent["work_ms"] = 5.0.into();
            let mut answer = line("answer", 8 * MS + MS / 2);
            answer["answer"] = "ok".into();
            written.clients.extend([sent, answer]);
            let machine = |event: &str, at: Ns| {
                let mut line = line(event, at);
                line["machine"] = "p0..1".into();
                line
            };
            // Every tenth has two picks, so its times don't show the latency.
            let picks = if i % 10 == 0 { 2 } else { 1 };
            let arrival = if i % 10 == 0 { 40 * MS } else { MS };
            written.machines.extend(vec![machine("arrived", arrival); picks]);
            written.machines.extend([machine("began", MS), machine("ok", 6 * MS + MS / 2)]);
        }
        let latencies = latencies(&written).unwrap();
        // 1 ms there and 2 ms back: 1.5 ms one way, in two equal parts, divided by the mean jitter.
        assert_eq!((latencies.client, latencies.same, latencies.over), (600_000, 600_000, MS / 2));
        written.clients.truncate(50);
        assert!(super::latencies(&written).unwrap_err().contains("are wanted"));
    }

    #[test]
    fn bars_are_widened_and_errors_measured_from_them() {
        let prediction = Prediction([[1.0, 0.9, 1.1], [5.0, 4.0, 6.0], [9.0, 8.0, 10.0], [0.0, -0.1, 0.1]]);
        let prediction = prediction.widen(&[0.0, 1.0, 0.0, 0.0]);
        assert_eq!(prediction.misses(&[1.0, 6.5, 10.5, 0.0]), [0.0, 0.0, 0.5, 0.0]);
    }
}
