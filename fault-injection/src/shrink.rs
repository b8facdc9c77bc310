//! From a plan that breaks something to one that needs each fault left in it.
use crate::plan::{Plan, PlannedFault};
use crate::{Ns, MS};

/// Acts are not made shorter than this.
const SHORTEST: Ns = 50 * MS;

/// Plays smaller plans as long as one `breaks`, up to `most` plays: first without halves, then without single acts,
/// then with shorter ones. Each act of what is returned is needed, unless the plays ran out.
pub fn shrink(plan: &Plan, most: usize, mut breaks: impl FnMut(&Plan) -> bool) -> Plan {
    let mut best = plan.clone();
    let mut plays = 0;
    let mut try_with = |acts: Vec<PlannedFault>, best: &mut Plan| {
        if plays >= most {
            return false;
        }
        plays += 1;
        let less = Plan { acts, ..best.clone() };
        let broke = breaks(&less);
        if broke {
            *best = less;
        }
        broke
    };
    let mut size = best.acts.len().div_ceil(2).max(1);
    loop {
        let mut at = 0;
        let mut less = false;
        while at < best.acts.len() {
            let mut acts = best.acts.clone();
            acts.drain(at..(at + size).min(acts.len()));
            if try_with(acts, &mut best) {
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
            if half < SHORTEST {
                break;
            }
            acts[at].until = acts[at].from + half;
            if !try_with(acts, &mut best) {
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
    fn what_is_left_is_what_breaks() {
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
        // Breaks by a stop of 2 s and more, of 3, with any kill of 1.
        let breaks = |plan: &Plan| {
            let stop =
                |a: &PlannedFault| matches!(a.fault, Fault::Stop { who: 3 }) && a.until - a.from >= 2 * SEC;
            let kill = |a: &PlannedFault| matches!(a.fault, Fault::Kill { who: 1, .. });
            plan.acts.iter().any(stop) && plan.acts.iter().any(kill)
        };
        let mut met = 0;
        for plan in (0..400).map(|seed| Plan::draw(seed, range)).filter(|plan| breaks(plan)) {
            let less = shrink(&plan, 1_000, breaks);
            assert!(breaks(&less) && less.acts.len() == 2, "{less:?}");
            assert!(less.acts.iter().all(|a| a.until - a.from < 4 * SEC));
            met += 1;
        }
        assert!(met > 3);
    }
}
