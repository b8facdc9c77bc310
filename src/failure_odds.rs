//! Probability that a number of failures arises by chance; arithmetic without decisions.
use crate::tally::Count;

/// Added to the earlier build's failures and picks: an earlier build without failures is assumed to fail
/// once in 300 picks, as few picks without a failure do not show a failure rate of zero.
const PRIOR_FAILURES: f64 = 0.5;
const PRIOR_PICKS: f64 = 150.0;

/// Probability of at least as many failures as `new` has, at the failure rate of `old` (the upper tail of a
/// Poisson distribution). A single failure can always be chance.
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
