//! Does the emulator predict? Its wires are fitted to the record of one rehearsal on loopback; from then on it
//! says, with error bars, what further rehearsals will come to.
use crate::experiment::{day, played, spread};
use crate::line::{Line, P50, P99};
use crate::world::Wires;
use rockpick_net::{Ns, MS};
use rockpick_rehearse::judge::{self, RawRecords};
use rockpick_rehearse::Plan;
use serde_json::Value;
use std::collections::BTreeMap;

/// RPCs that a fit needs at the least.
const FEWEST: usize = 100;
/// Emulated days behind each prediction, and Student's t for 99% with as many less one (two-sided).
pub const DAYS: u64 = 24;
const T99: f64 = 2.807;
/// Their seeds lie away from those of any rehearsal.
const SEEDS: u64 = 1 << 40;
/// Emulated and real ways are drawn up to half as much again: on average a quarter.
const DRAWN: f64 = 1.25;

fn median(mut times: Vec<Ns>) -> Ns {
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or(0)
}

/// Wires as a rehearsal's record shows them, from RPCs with a single pick: half of the way there and back is
/// put to clients and half to picks, and what machines take beyond the work to their timers.
///
/// # Errors
/// A record with too few such RPCs.
pub fn wires(written: &RawRecords) -> Result<Wires, String> {
    let id = |v: &Value| -> Option<(String, String)> {
        Some((v["rpc"].as_str()?.to_string(), v["try"].as_str()?.to_string()))
    };
    let t = |v: &Value| v["t"].as_i64().unwrap_or(0);
    // Sent, arrived, began, ok at the machine, ok at the client; picks; work.
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
    let whole = |r: &&([Ns; 5], u32, f64)| r.1 == 1 && r.0.iter().all(|t| *t > 0) && r.2.is_finite();
    let good: Vec<_> = rpcs.values().filter(whole).collect();
    if good.len() < FEWEST {
        return Err(format!("{} RPCs with one pick each, {FEWEST} are wanted", good.len()));
    }
    let ways = good.iter().map(|(t, ..)| (t[1] - t[0] + t[4] - t[3]) / 2).collect();
    let over = good.iter().map(|(t, _, work)| t[3] - t[2] - (work * MS as f64) as Ns).collect();
    let way = (median(ways) as f64 / 2.0 / DRAWN) as Ns;
    Ok(Wires { same: way, cross: way, client: way, over: median(over).max(0), ..Wires::default() })
}

/// What a rehearsal's records come to, as a line.
pub fn line(plan: &Plan, written: &RawRecords) -> Result<Line, String> {
    let charter = rockpick_rehearse::day::settings(plan)?;
    let (script, _) = rockpick_rehearse::day::script(plan)?;
    let evidence = judge::parse_records(&charter, written);
    let judgement = judge::judge(&charter, &evidence);
    let line = Line::of(&charter, &evidence, &judgement, &script);
    Ok(Line { how: "loopback".into(), seed: plan.seed, ..line })
}

/// What is predicted of each day.
pub const FIGURES: [&str; 4] = ["service", "p50 ms", "p99 ms", "pushed back"];

pub fn figures(line: &Line) -> [f64; 4] {
    let time = |at: usize| line.times.get(at).copied().unwrap_or(0.0);
    [line.service, time(P50), time(P99), line.pushed_back as f64 / line.rpcs()]
}

/// A prediction: mean and both ends, for each of [`FIGURES`].
#[derive(Clone, Debug)]
pub struct Stated(pub [[f64; 3]; 4]);

impl Stated {
    /// The fitted day's own miss widens the bars of all others: what the emulator leaves out is not chance.
    pub fn widened(mut self, by: &[f64; 4]) -> Stated {
        for (bars, by) in self.0.iter_mut().zip(by) {
            *bars = [bars[0], bars[1] - by, bars[2] + by];
        }
        self
    }

    /// How far each figure lies outside.
    pub fn misses(&self, figures: &[f64; 4]) -> [f64; 4] {
        std::array::from_fn(|i| (self.0[i][1] - figures[i]).max(figures[i] - self.0[i][2]).max(0.0))
    }
}

/// Plays a plan's day many times; the bars are where one more day lies with 99% (normal, Student's t), and for
/// shares not less than three RPCs (the rule of three, for what never happened).
///
/// # Errors
/// A day that can't be set up.
pub fn predict(plan: &Plan, wires: Wires, threads: usize) -> Result<Stated, String> {
    let seeds: Vec<u64> = (SEEDS..SEEDS + DAYS).collect();
    let play = |seed: &u64| -> Result<[f64; 5], String> {
        let mut day = day(plan, &[], *seed, true)?;
        day.wires = wires;
        let (line, _) = played(day)?;
        let f = figures(&line);
        Ok([f[0], f[1], f[2], f[3], line.rpcs()])
    };
    let days = spread(threads, &seeds, play)?;
    let n = days.len() as f64;
    let mean = |i: usize| days.iter().map(|d| d[i]).sum::<f64>() / n;
    let rpcs = mean(4);
    Ok(Stated(std::array::from_fn(|i| {
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
    fn wires_are_read_from_rpcs_with_one_pick() {
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
            // Every tenth was sent twice: its times say nothing of the wire.
            let picks = if i % 10 == 0 { 2 } else { 1 };
            let there = if i % 10 == 0 { 40 * MS } else { MS };
            written.machines.extend(vec![machine("arrived", there); picks]);
            written.machines.extend([machine("began", MS), machine("ok", 6 * MS + MS / 2)]);
        }
        let wires = wires(&written).unwrap();
        // There 1 ms, back 2 ms: 1.5 ms a way, in two equal parts, less what is drawn on top.
        assert_eq!((wires.client, wires.same, wires.over), (600_000, 600_000, MS / 2));
        written.clients.truncate(50);
        assert!(super::wires(&written).unwrap_err().contains("are wanted"));
    }

    #[test]
    fn bars_are_widened_and_misses_told() {
        let stated = Stated([[1.0, 0.9, 1.1], [5.0, 4.0, 6.0], [9.0, 8.0, 10.0], [0.0, -0.1, 0.1]]);
        let stated = stated.widened(&[0.0, 1.0, 0.0, 0.0]);
        assert_eq!(stated.misses(&[1.0, 6.5, 10.5, 0.0]), [0.0, 0.0, 0.5, 0.0]);
    }
}
