//! Limits the number of log lines of one kind per second, and counts those that were left out.
use crate::{Ns, SEC};

pub struct LogLimiter {
    max_per_second: u32,
    second: i64,
    written: u32,
    left_out: u64,
}

impl LogLimiter {
    pub fn new(max_per_second: u32) -> LogLimiter {
        LogLimiter { max_per_second, second: i64::MIN, written: 0, left_out: 0 }
    }

    /// Whether another line may be logged; if so, returns how many were left out before it.
    ///
    /// ```
    /// let mut limiter = rockpick_net::LogLimiter::new(1);
    /// assert_eq!((limiter.allow(0), limiter.allow(1), limiter.allow(1_000_000_000)), (Some(0), None, Some(1)));
    /// ```
    pub fn allow(&mut self, now: Ns) -> Option<u64> {
        if self.second != now / SEC {
            (self.second, self.written) = (now / SEC, 0);
        }
        if self.written >= self.max_per_second {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
