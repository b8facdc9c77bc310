//! Measures how far the event loop lags: long turns and late timers. These log lines alone show whether a late answer
//! was caused by a process that was held up.
use rockpick::Ns;
use rockpick_net::{LogLimiter, MS};

/// A turn or delay of at least this much is logged; deadlines leave 20 ms for it.
const LOG_THRESHOLD: Ns = 50 * MS;
/// Most lines of each kind per second in the log.
const LOG_LINES_PER_SECOND: u32 = 5;

/// The largest delays since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorstDelays {
    pub turn: Ns,
    pub timer: Ns,
}

pub struct Lateness {
    worst: WorstDelays,
    log_limit: LogLimiter,
}

impl Default for Lateness {
    fn default() -> Lateness {
        Lateness { worst: WorstDelays::default(), log_limit: LogLimiter::new(LOG_LINES_PER_SECOND) }
    }
}

impl Lateness {
    /// Records a turn that handled `events` events.
    pub fn turn_ended(&mut self, began: Ns, ended: Ns, events: usize) {
        let lasted = ended - began;
        self.worst.turn = self.worst.turn.max(lasted);
        if lasted < LOG_THRESHOLD {
            return;
        }
        if let Some(left_out) = self.log_limit.allow(ended) {
            tracing::warn!(event = "long turn", lasted_ms = lasted / MS, events, left_out);
        }
    }

    pub fn timer_fired(&mut self, due: Ns, now: Ns) {
        let late = now - due;
        self.worst.timer = self.worst.timer.max(late);
        if late < LOG_THRESHOLD {
            return;
        }
        if let Some(left_out) = self.log_limit.allow(now) {
            tracing::warn!(event = "late timer", late_ms = late / MS, left_out);
        }
    }

    /// Returns the largest delays since the last call.
    pub fn take_worst(&mut self) -> WorstDelays {
        std::mem::take(&mut self.worst)
    }
}
