//! How far the loop falls behind its clock: turns that last long, and timers that come late. A request that was answered too
//! late can be traced by these lines alone to a process that was held up.
use rockpick::Ns;
use rockpick_net::{LogLimiter, MS};

/// A turn or a timer is logged from so much on: deadlines leave 20 ms for it.
const LOGGED_FROM: Ns = 50 * MS;
/// Lines in the log, a second.
const LOG_LINES: u32 = 5;

/// The longest delays since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Longest {
    pub turn: Ns,
    pub timer: Ns,
}

pub struct Lateness {
    longest: Longest,
    often: LogLimiter,
}

impl Default for Lateness {
    fn default() -> Lateness {
        Lateness { longest: Longest::default(), often: LogLimiter::new(LOG_LINES) }
    }
}

impl Lateness {
    /// A turn has handled so many events.
    pub fn turn_over(&mut self, began: Ns, ended: Ns, events: usize) {
        let lasted = ended - began;
        self.longest.turn = self.longest.turn.max(lasted);
        if lasted < LOGGED_FROM {
            return;
        }
        if let Some(left_out) = self.often.allow(ended) {
            tracing::warn!(event = "long turn", lasted_ms = lasted / MS, events, left_out);
        }
    }

    /// A timer that was due has come up.
    pub fn timer_came(&mut self, due: Ns, now: Ns) {
        let late = now - due;
        self.longest.timer = self.longest.timer.max(late);
        if late < LOGGED_FROM {
            return;
        }
        if let Some(left_out) = self.often.allow(now) {
            tracing::warn!(event = "late timer", late_ms = late / MS, left_out);
        }
    }

    /// The longest delays since the last call.
    pub fn take_longest(&mut self) -> Longest {
        std::mem::take(&mut self.longest)
    }
}
