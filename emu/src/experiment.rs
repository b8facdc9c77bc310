//! Choices compared on the emulator: the same seeds for both sides, differences by pair, a bootstrap interval,
//! and a stop once the question is settled or the budget is spent.
//!
//! The interval is the percentile bootstrap of the mean difference (Efron, 1979) over pairs: days differ far more
//! from each other than choices do, so only pairs compare like with like, and differences of service are skewed
//! (a jam tips or doesn't), which rules a normal interval out. Looking again and again would find something by
//! chance sooner or later: each of the looks gets its part of the 5% (Bonferroni), so that all together err
//! in 1 of 20 experiments at most.
use crate::world::{Day, Wires, World};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_control::Charter;
use rockpick_rehearse::judge;
use rockpick_rehearse::Plan;
use rockpick_standin::{Arrivals, Load};
use serde::Serialize;
use serde_json::Value;

/// Resamples of a bootstrap: enough for the 0.1% quantile that the strictest look asks for.
const RESAMPLES: usize = 10_000;
/// The chance of an interval that misses, over all looks.
const ALPHA: f64 = 0.05;
/// Pairs before the first look, and between looks.
pub const FIRST_LOOK: usize = 8;

/// One day's result, as it is kept: a line of JSON each.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    pub choice: String,
    pub seed: u64,
    pub service: f64,
    pub asked: f64,
    pub ok: u64,
    pub late: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub unanswered: u64,
    /// RPCs at builds on trial, as a share of all picks.
    pub exposure: f64,
    /// Seconds from the offer of the first build that was sent back to that; none: none was.
    pub back_after: Option<f64>,
    pub broken: usize,
    pub events: u64,
    /// Service by second, for charts.
    pub by_second: Vec<f64>,
    /// Stage moves: second, build, stage, what.
    pub stages: Vec<(f64, u32, u32, String)>,
}

/// Sets fields of a charter by path: `rollout.dwell_ms=3000`.
///
/// # Errors
/// Names the path or the field that can't be had.
pub fn vary(charter: &Charter, changes: &[String]) -> Result<Charter, String> {
    let mut json = serde_json::to_value(charter).map_err(|err| err.to_string())?;
    for change in changes {
        let (path, value) = change.split_once('=').ok_or(format!("{change}: PATH=VALUE is wanted"))?;
        let value: Value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        let mut at = &mut json;
        for part in path.split('.') {
            let next = match part.parse::<usize>() {
                Ok(i) => at.get_mut(i),
                Err(_) => at.get_mut(part),
            };
            at = next.ok_or(format!("{path}: no such field"))?;
        }
        *at = value;
    }
    Charter::read(json.to_string().as_bytes()).map_err(|w| format!("{}: {}", w[0].field, w[0].why))
}

/// The day of a plan with a seed.
///
/// # Errors
/// A plan that makes no sense.
pub fn day(plan: &Plan, changes: &[String], seed: u64, check: bool) -> Result<Day, String> {
    let plan = Plan { seed, ..plan.clone() };
    let (script, seconds) = rockpick_rehearse::day::script(&plan)?;
    let charter = vary(&rockpick_rehearse::day::charter(&plan)?, changes)?;
    let load = Load { rate: plan.rate, ..Load::default() };
    Ok(Day {
        charter,
        load,
        work_ms: plan.work_ms,
        retries: 2,
        script,
        seconds,
        seed,
        check,
        plain: false,
        arrivals: Arrivals::Poisson,
        wires: Wires::default(),
    })
}

/// Plays one day and sums it up; the rules are checked in every run.
///
/// # Errors
/// A day that can't be set up.
pub fn play(
    choice: &str, plan: &Plan, changes: &[String], seed: u64,
) -> Result<(Line, judge::Judgement), String> {
    let day = day(plan, changes, seed, true)?;
    let (charter, seconds) = (day.charter.clone(), day.seconds);
    let outcome = World::new(day)?.run();
    let judgement = judge::judge(&charter, &outcome.evidence);
    let picks: u64 = judgement.rows.values().map(|r| r.picks).sum();
    let second = |t: i64| (t - 1_000_000_000) as f64 / 1e9;
    let moves: Vec<(f64, u32, u32, String)> = (outcome.evidence.told.windows(2))
        .filter(|p| (p[0].build, p[0].stage, p[0].phase) != (p[1].build, p[1].stage, p[1].phase))
        .map(|p| {
            (
                second(p[1].t),
                p[1].build,
                p[1].stage,
                ["on trial", "released", "back"][p[1].phase as usize].into(),
            )
        })
        .collect();
    let back = moves.iter().find(|m| m.3 == "back").map(|m| (m.1, m.0));
    let back_after = back.and_then(|(build, at)| Some(at - moves.iter().find(|m| m.1 == build)?.0));
    let t = &outcome.tolls;
    let line = Line {
        choice: choice.into(),
        seed,
        service: judgement.service,
        asked: t.asked,
        ok: t.ok,
        late: t.late,
        pushed_back: t.pushed_back,
        aborted: t.aborted,
        unanswered: t.unanswered,
        exposure: judgement.trial_picks as f64 / picks.max(1) as f64,
        back_after,
        broken: judgement.breaches.len(),
        events: outcome.events,
        by_second: by_second(&charter, &outcome.evidence, seconds),
        stages: moves,
    };
    Ok((line, judgement))
}

/// Utility served in time over utility asked for, by the second in which the RPC was first sent.
fn by_second(charter: &Charter, evidence: &judge::Evidence, seconds: f64) -> Vec<f64> {
    let mut sums = vec![[0.0f64; 2]; seconds.ceil() as usize + 1];
    let mut first = std::collections::BTreeMap::new();
    for l in &evidence.clients {
        let row = &charter.methods[l.method as usize];
        if matches!(l.saw, judge::Saw::Sent { .. }) {
            first.entry(l.rpc).or_insert_with(|| {
                let bucket = ((l.t - 1_000_000_000) / 1_000_000_000).max(0) as usize;
                let bucket = bucket.min(sums.len() - 1);
                sums[bucket][0] += row.utility;
                (l.t, bucket)
            });
        } else if l.saw == (judge::Saw::Ok { right: true }) {
            if let Some((began, bucket)) = first.get(&l.rpc) {
                if l.t - began <= row.soft_deadline_ms as i64 * 1_000_000 {
                    sums[*bucket][1] += row.utility;
                }
            }
        }
    }
    sums.into_iter().filter(|s| s[0] > 0.0).map(|[asked, served]| served / asked).collect()
}

/// The mean, and the ends of its bootstrap interval that misses with the chance `alpha`.
///
/// ```
/// let (mean, low, high) = rockpick_emu::experiment::interval(&[1.0, 2.0, 3.0, 2.0, 1.0, 3.0], 0.05, 1);
/// assert!(mean == 2.0 && low > 1.0 && low < 2.0 && high > 2.0 && high < 3.0);
/// ```
pub fn interval(values: &[f64], alpha: f64, seed: u64) -> (f64, f64, f64) {
    let n = values.len().max(1);
    let mean = values.iter().sum::<f64>() / n as f64;
    let mut chance = StdRng::seed_from_u64(seed);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            (0..n).map(|_| values.get(chance.random_range(0..n)).copied().unwrap_or(0.0)).sum::<f64>()
                / n as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |q: f64| means[((q * RESAMPLES as f64) as usize).min(RESAMPLES - 1)];
    (mean, at(alpha / 2.0), at(1.0 - alpha / 2.0))
}

/// What a comparison came to.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub pairs: usize,
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    /// Why it ended there.
    pub why: String,
}

/// A question between two choices.
pub struct Question {
    pub plan: Plan,
    /// Names and changes of the two sides.
    pub sides: [(String, Vec<String>); 2],
    pub seeds: usize,
    /// A difference of service smaller than this does not matter.
    pub matters: f64,
    pub threads: usize,
}

impl Question {
    /// Plays pairs until the interval leaves 0 out, lies within what matters, or the seeds are spent.
    ///
    /// # Errors
    /// A side that can't be set up.
    pub fn answer(&self, mut heard: impl FnMut(&Line)) -> Result<(Verdict, Vec<Line>), String> {
        let looks = (self.seeds.div_ceil(FIRST_LOOK)).max(1);
        let alpha = ALPHA / looks as f64;
        let (mut lines, mut pairs): (Vec<Line>, Vec<f64>) = (Vec::new(), Vec::new());
        let mut next = 0;
        loop {
            let batch: Vec<u64> =
                (next..self.seeds.min(next + FIRST_LOOK)).map(|s| self.plan.seed + s as u64).collect();
            next += batch.len();
            for pair in self.batch(&batch)? {
                pairs.push(pair[1].service - pair[0].service);
                pair.iter().for_each(&mut heard);
                lines.extend(pair);
            }
            let (mean, low, high) = interval(&pairs, alpha, self.plan.seed);
            let why = match () {
                () if low > 0.0 || high < 0.0 => "settled: the interval leaves 0 out",
                () if low > -self.matters && high < self.matters => "settled: no difference that matters",
                () if next >= self.seeds => "the seeds are spent",
                () => continue,
            };
            return Ok((Verdict { pairs: pairs.len(), mean, low, high, why: why.into() }, lines));
        }
    }

    /// Pairs of days spread over threads, one run a thread; in the order of their seeds.
    fn batch(&self, seeds: &[u64]) -> Result<Vec<[Line; 2]>, String> {
        let share = seeds.len().div_ceil(self.threads.max(1)).max(1);
        let play_all = |seeds: &[u64]| -> Result<Vec<[Line; 2]>, String> {
            let pair = |seed: &u64| {
                let [a, b] = &self.sides;
                Ok([play(&a.0, &self.plan, &a.1, *seed)?.0, play(&b.0, &self.plan, &b.1, *seed)?.0])
            };
            seeds.iter().map(pair).collect()
        };
        let results: Vec<Result<Vec<[Line; 2]>, String>> = std::thread::scope(|scope| {
            let parts: Vec<_> = seeds.chunks(share).map(|part| scope.spawn(move || play_all(part))).collect();
            let joined = parts.into_iter().map(|p| p.join());
            joined.map(|r| r.unwrap_or_else(|_| Err("a run has panicked".into()))).collect()
        });
        let mut pairs = Vec::new();
        for part in results {
            pairs.extend(part?);
        }
        Ok(pairs)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_path_is_set_checked_and_named_when_wrong() {
        let charter = Charter::example(2, 4);
        let longer =
            vary(&charter, &["rollout.dwell_ms=3000".into(), "rollout.stages.0=0.25".into()]).unwrap();
        assert_eq!((longer.rollout.dwell_ms, longer.rollout.stages[0]), (3_000, 0.25));
        assert!(vary(&charter, &["rollout.dwel_ms=1".into()]).unwrap_err().contains("rollout.dwel_ms"));
        assert!(vary(&charter, &["guard.cold_from=9".into()]).unwrap_err().contains("guard.cold_from"));
    }

    #[test]
    fn the_interval_holds_in_nineteen_of_twenty_skewed_samples() {
        let mut chance = StdRng::seed_from_u64(7);
        let held = (0..200)
            .filter(|i| {
                // Exponential: as skewed as service is.
                let sample: Vec<f64> = (0..40).map(|_| -(1.0 - chance.random::<f64>()).ln()).collect();
                let (_, low, high) = interval(&sample, 0.05, *i);
                low <= 1.0 && 1.0 <= high
            })
            .count();
        assert!((180..=199).contains(&held), "{held} of 200");
    }
}
