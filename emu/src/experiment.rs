//! Emulated days as results: settings and plans varied by path, a day played and summed up, and the interval
//! of a mean.
//!
//! The interval is the percentile bootstrap of the mean difference (Efron, 1979) over pairs: days differ far more
//! from each other than choices do, so only pairs compare like with like, and differences of service are skewed
//! (a jam tips or doesn't), which rules a normal interval out.
use crate::line::Line;
use crate::world::{Day, Wires, World};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_control::Settings;
use rockpick_fakes::{Arrivals, Load};
use rockpick_rehearse::judge;
use rockpick_rehearse::Plan;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Resamples of a bootstrap: enough for the 0.1% quantile that the strictest look asks for.
const RESAMPLES: usize = 10_000;
/// Changes that begin so are of the day, not of the settings: `plan.rate=200`.
const PLAN: &str = "plan.";

/// Sets fields of a charter by path: `rollout.dwell_ms=3000`; those of the plan are passed over.
///
/// # Errors
/// Names the path or the field that can't be had.
pub fn vary(charter: &Settings, changes: &[String]) -> Result<Settings, String> {
    let mut json = serde_json::to_value(charter).map_err(|err| err.to_string())?;
    set(&mut json, changes.iter().filter(|c| !c.starts_with(PLAN)))?;
    Settings::parse(json.to_string().as_bytes()).map_err(|w| format!("{}: {}", w[0].field, w[0].why))
}

fn set<'a>(json: &mut Value, changes: impl Iterator<Item = &'a String>) -> Result<(), String> {
    for change in changes {
        let (path, value) = change.split_once('=').ok_or(format!("{change}: PATH=VALUE is wanted"))?;
        let value: Value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        let mut at = &mut *json;
        for part in path.split('.') {
            let next = match part.parse::<usize>() {
                Ok(i) => at.get_mut(i),
                Err(_) => at.get_mut(part),
            };
            at = next.ok_or(format!("{path}: no such field"))?;
        }
        *at = value;
    }
    Ok(())
}

/// The day of a plan with a seed.
///
/// # Errors
/// A plan that makes no sense.
pub fn day(plan: &Plan, changes: &[String], seed: u64, check: bool) -> Result<Day, String> {
    let mut json = serde_json::to_value(Plan { seed, ..plan.clone() }).map_err(|err| err.to_string())?;
    let of_plan: Vec<String> =
        changes.iter().filter_map(|c| Some(c.strip_prefix(PLAN)?.to_string())).collect();
    set(&mut json, of_plan.iter()).map_err(|why| format!("{PLAN}{why}"))?;
    let plan: Plan = serde_json::from_value(json).map_err(|err| format!("plan: {err}"))?;
    plan.check()?;
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
        watch: false,
        limits: None,
    })
}

/// Plays one day and sums it up; the rules are checked in every run.
///
/// # Errors
/// A day that can't be set up.
pub fn play(
    choice: &str, plan: &Plan, changes: &[String], seed: u64,
) -> Result<(Line, judge::Judgement), String> {
    let (line, judgement) = played(day(plan, changes, seed, true)?)?;
    Ok((Line { choice: choice.into(), ..line }, judgement))
}

/// Plays a day that is set up, and sums it up.
///
/// # Errors
/// Settings that do not hold.
pub fn played(day: Day) -> Result<(Line, judge::Judgement), String> {
    let (charter, script, seed) = (day.charter.clone(), day.script.clone(), day.seed);
    let outcome = World::new(day)?.run();
    let judgement = judge::judge(&charter, &outcome.evidence);
    let line = Line::of(&charter, &outcome.evidence, &judgement, &script);
    Ok((Line { seed, how: "emulated".into(), events: outcome.events, ..line }, judgement))
}

/// Runs spread over threads, one at a time on each; their results in the order of the tasks.
///
/// # Errors
/// The first that a run says.
pub fn spread<T: Sync, R: Send>(
    threads: usize, tasks: &[T], run: impl Fn(&T) -> Result<R, String> + Sync,
) -> Result<Vec<R>, String> {
    let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let work = || loop {
        let nth = next.fetch_add(1, Ordering::Relaxed);
        let Some(task) = tasks.get(nth) else { return };
        let result = run(task);
        done.lock().unwrap_or_else(PoisonError::into_inner).insert(nth, result);
    };
    std::thread::scope(|scope| {
        (0..threads.clamp(1, tasks.len().max(1))).for_each(|_| {
            scope.spawn(work);
        });
    });
    done.into_inner().unwrap_or_else(PoisonError::into_inner).into_values().collect()
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_path_is_set_checked_and_named_when_wrong() {
        let charter = Settings::example(2, 4);
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
