//! Keeps a kind of log line from flooding: so many a second, and how many were left out.
use crate::{Ns, SEC};

pub struct LogLimiter {
    most: u32,
    second: i64,
    said: u32,
    left_out: u64,
}

impl LogLimiter {
    pub fn new(most: u32) -> LogLimiter {
        LogLimiter { most, second: i64::MIN, said: 0, left_out: 0 }
    }

    /// May one more line be said? If so, how many were left out before it.
    ///
    /// ```
    /// let mut limiter = rockpick_net::LogLimiter::new(1);
    /// assert_eq!((limiter.allow(0), limiter.allow(1), limiter.allow(1_000_000_000)), (Some(0), None, Some(1)));
    /// ```
    pub fn allow(&mut self, now: Ns) -> Option<u64> {
        if self.second != now / SEC {
            (self.second, self.said) = (now / SEC, 0);
        }
        if self.said >= self.most {
            self.left_out += 1;
            return None;
        }
        self.said += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
