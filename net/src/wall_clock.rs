//! The machine's wall clock, which may be stepped at any time. Spans of time are measured by the loop's own clock; this one
//! only tells times that are exchanged with others.
use crate::{Ns, SEC};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// How often the clock is stepped in fault tests, and by how much.
const STEP_INTERVAL: Ns = 2 * SEC;
const STEPS: [Ns; 6] = [0, 5 * SEC, -5 * SEC, 3_600 * SEC, -3_600 * SEC, 90 * SEC];

static STEP_SEED: AtomicU64 = AtomicU64::new(0);

/// Steps the wall clock of this process every two seconds from now on, forward and back, as drawn from a seed; for fault tests.
pub fn step_wall_clock(seed: u64) {
    STEP_SEED.store(seed | 1, Ordering::Relaxed);
}

/// Unix time in nanoseconds.
pub fn wall_time() -> i128 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as i128);
    time + i128::from(step())
}

/// By how much the clock is off now.
fn step() -> Ns {
    static BEGAN: OnceLock<Instant> = OnceLock::new();
    let seed = STEP_SEED.load(Ordering::Relaxed);
    if seed == 0 {
        return 0;
    }
    let elapsed = BEGAN.get_or_init(Instant::now).elapsed().as_nanos() as Ns;
    let number = (elapsed / STEP_INTERVAL) as u64;
    let drawn = (seed ^ number).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    STEPS[drawn as usize % STEPS.len()]
}
