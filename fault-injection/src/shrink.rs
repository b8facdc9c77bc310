//! Reduces a plan that reveals a failure to the faults that are needed to reveal it.
use crate::plan::{Plan, PlannedFault};
use crate::{Ns, MS};

/// The minimum duration to which a fault is shortened.
const MIN_DURATION: Ns = 50 * MS;

/// Tries smaller plans as long as one still `fails`, with at most `max_runs` runs: first it removes groups of faults, from
/// half of them down to single ones, then it shortens the remaining faults. Each fault of the returned plan is needed,
/// unless the number of runs was exhausted.
pub fn shrink(plan: &Plan, max_runs: usize, mut fails: impl FnMut(&Plan) -> bool) -> Plan {
    let mut best = plan.clone();
    let mut runs = 0;
    let mut try_plan = |acts: Vec<PlannedFault>, best: &mut Plan| {
        if runs >= max_runs {
            return false;
        }
        runs += 1;
        let smaller = Plan { acts, ..best.clone() };
        let failed = fails(&smaller);
        if failed {
            *best = smaller;
        }
        failed
    };
    let mut size = best.acts.len().div_ceil(2).max(1);
    loop {
        let mut at = 0;
        let mut less = false;
        while at < best.acts.len() {
            let mut acts = best.acts.clone();
            acts.drain(at..(at + size).min(acts.len()));
            if try_plan(acts, &mut best) {
                less = true;
            } else {
                at += size;
            }
        }
        if size == 1 && !less {
            break;
        }
        size = (size / 2).max(1);
    }
    for at in 0..best.acts.len() {
        loop {
            let mut acts = best.acts.clone();
            let half = (acts[at].until - acts[at].from) / 2;
            if half < MIN_DURATION {
                break;
            }
            acts[at].until = acts[at].from + half;
            if !try_plan(acts, &mut best) {
                break;
            }
        }
    }
    best
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::{Fault, PlanLimits};
    use crate::SEC;

    #[test]
    fn the_shrunk_plan_keeps_only_the_faults_that_cause_the_failure() {
        let range = PlanLimits {
            max_faults: 30,
            parts: 5,
            fault_window: 60 * SEC,
            max_duration: 9 * SEC,
            settle_time: SEC,
            kills: true,
            clocks: true,
            disks: &[],
        };
        // Fails if process 3 is stopped for at least 2 s and process 1 is killed.
        let breaks = |plan: &Plan| {
            let stop =
                |a: &PlannedFault| matches!(a.fault, Fault::Stop { who: 3 }) && a.until - a.from >= 2 * SEC;
            let kill = |a: &PlannedFault| matches!(a.fault, Fault::Kill { who: 1, .. });
            plan.acts.iter().any(stop) && plan.acts.iter().any(kill)
        };
        let mut failing_plans = 0;
        for plan in (0..400).map(|seed| Plan::draw(seed, range)).filter(|plan| breaks(plan)) {
            let less = shrink(&plan, 1_000, breaks);
            assert!(breaks(&less) && less.acts.len() == 2, "{less:?}");
            assert!(less.acts.iter().all(|a| a.until - a.from < 4 * SEC));
            failing_plans += 1;
        }
        assert!(failing_plans > 3);
    }
}
