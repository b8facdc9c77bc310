//! Emulated days as experiment results: changes to settings and plans by path, running and summarizing a day,
//! and the confidence interval of a mean.
//!
//! The interval is the percentile bootstrap of the mean difference (Efron, 1979) over pairs. Days
//! differ far more from each other than choices do, so results are compared in pairs of the same seed. Differences
//! of service are skewed (congestion collapses or doesn't), which rules out a normal interval.
use crate::summary::DaySummary;
use crate::world::{Day, Latencies, World};
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

/// Bootstrap resamples: enough for the 0.1% quantile that the strictest interim analysis needs.
const RESAMPLES: usize = 10_000;
/// Prefix of changes to the plan rather than the settings: `plan.rate=200`.
const PLAN_PREFIX: &str = "plan.";

/// Sets fields of the settings by path: `rollout.dwell_ms=3000`. Changes to the plan are skipped.
///
/// # Errors
/// A change without `=`, an unknown path, or settings that are invalid after the changes.
pub fn apply_changes(settings: &Settings, changes: &[String]) -> Result<Settings, String> {
    let mut json = serde_json::to_value(settings).map_err(|err| err.to_string())?;
    set_paths(&mut json, changes.iter().filter(|c| !c.starts_with(PLAN_PREFIX)))?;
    Settings::parse(json.to_string().as_bytes()).map_err(|w| format!("{}: {}", w[0].field, w[0].why))
}

fn set_paths<'a>(json: &mut Value, changes: impl Iterator<Item = &'a String>) -> Result<(), String> {
    for change in changes {
        let (path, value) = change.split_once('=').ok_or(format!("{change}: PATH=VALUE is wanted"))?;
        let value: Value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        let mut node = &mut *json;
        for segment in path.split('.') {
            let next = match segment.parse::<usize>() {
                Ok(i) => node.get_mut(i),
                Err(_) => node.get_mut(segment),
            };
            node = next.ok_or(format!("{path}: no such field"))?;
        }
        *node = value;
    }
    Ok(())
}

/// Sets up the day of a plan, with changes applied and the given seed.
///
/// # Errors
/// An invalid plan or change.
pub fn day_of_plan(plan: &Plan, changes: &[String], seed: u64, check: bool) -> Result<Day, String> {
    let mut json = serde_json::to_value(Plan { seed, ..plan.clone() }).map_err(|err| err.to_string())?;
    let plan_changes: Vec<String> =
        changes.iter().filter_map(|c| Some(c.strip_prefix(PLAN_PREFIX)?.to_string())).collect();
    set_paths(&mut json, plan_changes.iter()).map_err(|why| format!("{PLAN_PREFIX}{why}"))?;
    let plan: Plan = serde_json::from_value(json).map_err(|err| format!("plan: {err}"))?;
    plan.check()?;
    let (script, seconds) = rockpick_rehearse::day::script(&plan)?;
    let settings = apply_changes(&rockpick_rehearse::day::settings(&plan)?, changes)?;
    let load = Load { rate: plan.rate, ..Load::default() };
    Ok(Day {
        settings,
        load,
        work_ms: plan.work_ms,
        retries: 2,
        script,
        seconds,
        seed,
        check,
        plain: false,
        arrivals: Arrivals::Poisson,
        latencies: Latencies::default(),
        profile: false,
        limits: None,
    })
}

/// Runs and summarizes one day of a plan; the checker's rules are applied in every run.
///
/// # Errors
/// A day that can't be set up.
pub fn run_plan(
    choice: &str, plan: &Plan, changes: &[String], seed: u64,
) -> Result<(DaySummary, judge::Judgement), String> {
    let (summary, judgement) = run_day(day_of_plan(plan, changes, seed, true)?)?;
    Ok((DaySummary { choice: choice.into(), ..summary }, judgement))
}

/// Runs and summarizes a day that is set up.
///
/// # Errors
/// Invalid settings.
pub fn run_day(day: Day) -> Result<(DaySummary, judge::Judgement), String> {
    let (settings, script, seed) = (day.settings.clone(), day.script.clone(), day.seed);
    let outcome = World::new(day)?.run();
    let judgement = judge::judge(&settings, &outcome.evidence);
    let summary = DaySummary::from_evidence(&settings, &outcome.evidence, &judgement, &script);
    Ok((DaySummary { seed, how: "emulated".into(), events: outcome.events, ..summary }, judgement))
}

/// Runs tasks on several threads and returns their results in the order of the tasks.
///
/// # Errors
/// The error of the first task, in that order, that failed.
pub fn run_parallel<T: Sync, R: Send>(
    threads: usize, tasks: &[T], run: impl Fn(&T) -> Result<R, String> + Sync,
) -> Result<Vec<R>, String> {
    let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let worker = || loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(task) = tasks.get(index) else { return };
        let result = run(task);
        done.lock().unwrap_or_else(PoisonError::into_inner).insert(index, result);
    };
    std::thread::scope(|scope| {
        (0..threads.clamp(1, tasks.len().max(1))).for_each(|_| {
            scope.spawn(worker);
        });
    });
    done.into_inner().unwrap_or_else(PoisonError::into_inner).into_values().collect()
}

/// The mean, and the bounds of its bootstrap confidence interval of level `1 - alpha`.
///
/// ```
/// let (mean, low, high) = rockpick_emu::experiment::interval(&[1.0, 2.0, 3.0, 2.0, 1.0, 3.0], 0.05, 1);
/// assert!(mean == 2.0 && low > 1.0 && low < 2.0 && high > 2.0 && high < 3.0);
/// ```
pub fn interval(values: &[f64], alpha: f64, seed: u64) -> (f64, f64, f64) {
    let n = values.len().max(1);
    let mean = values.iter().sum::<f64>() / n as f64;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            (0..n).map(|_| values.get(rng.random_range(0..n)).copied().unwrap_or(0.0)).sum::<f64>() / n as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let quantile = |q: f64| means[((q * RESAMPLES as f64) as usize).min(RESAMPLES - 1)];
    (mean, quantile(alpha / 2.0), quantile(1.0 - alpha / 2.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_are_applied_validated_and_named_in_errors() {
        let settings = Settings::example(2, 4);
        let changed =
            apply_changes(&settings, &["rollout.dwell_ms=3000".into(), "rollout.stages.0=0.25".into()])
                .unwrap();
        assert_eq!((changed.rollout.dwell_ms, changed.rollout.stages[0]), (3_000, 0.25));
        assert!(apply_changes(&settings, &["rollout.dwel_ms=1".into()])
            .unwrap_err()
            .contains("rollout.dwel_ms"));
        assert!(apply_changes(&settings, &["guard.cold_from=9".into()])
            .unwrap_err()
            .contains("guard.cold_from"));
    }

    #[test]
    fn the_95_percent_interval_covers_the_mean_of_skewed_samples() {
        let mut rng = StdRng::seed_from_u64(7);
        let covered = (0..200)
            .filter(|i| {
                // Exponential, to be as skewed as service is.
                let sample: Vec<f64> = (0..40).map(|_| -(1.0 - rng.random::<f64>()).ln()).collect();
                let (_, low, high) = interval(&sample, 0.05, *i);
                low <= 1.0 && 1.0 <= high
            })
            .count();
        assert!((180..=199).contains(&covered), "{covered} of 200");
    }
}
