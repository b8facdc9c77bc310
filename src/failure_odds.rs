//! How likely a count of failures is by chance alone: arithmetic, no decision.
use crate::tally::Count;

/// Failures and picks that are added to the earlier build's: where it shows nothing, one failure in 300 is granted, as so
/// little is not none.
const PRIOR_FAILURES: f64 = 0.5;
const PRIOR_PICKS: f64 = 150.0;

/// The chance of so many failures of `new`, or more, at `old`'s rate (the upper tail of a Poisson distribution). One
/// failure alone may always be chance.
pub fn chance_of(new: Count, old: Count) -> f64 {
    let [picks, failures] = new;
    let rate = (f64::from(old[1]) + PRIOR_FAILURES) / (f64::from(old[0]) + PRIOR_PICKS);
    let mean = f64::from(picks) * rate;
    let (mut term, mut fewer) = ((-mean).exp(), 0.0);
    for k in 0..failures {
        fewer += term;
        term *= mean / f64::from(k + 1);
    }
    if failures < 2 {
        1.0
    } else {
        (1.0 - fewer).max(0.0)
    }
}
