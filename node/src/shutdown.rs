//! The schedule of a shutdown. It has no clock and does no I/O: the caller passes the time.
//!
//! The platform kills the process some time after SIGTERM. Until then, in this order: new connections are accepted, idle
//! ones are closed, busy ones are read no further, all RPCs are answered, and slow readers are waited for.
use rockpick::Ns;
use rockpick_net::{MS, SEC};

/// How long new connections are accepted: the platform keeps sending them for up to 0.4 s after SIGTERM.
const ACCEPT_FOR: Ns = 450 * MS;
/// The platform sends SIGKILL no sooner than the longest deadline and this time after SIGTERM.
const KILL_AFTER_DEADLINE: Ns = 700 * MS;
/// The platform counts longer deadlines as this.
const MAX_COUNTED_DEADLINE: Ns = 3 * SEC;
/// How long before SIGKILL every RPC is answered. The process may be held up for 150 ms, and lives on for `LINGER`.
const ANSWER_RESERVE: Ns = 250 * MS;
/// How long before SIGKILL the process ends, even if clients have not read their answers.
const END_RESERVE: Ns = 100 * MS;
/// How long the first command of a connection is awaited after the listener is closed: clients send it together with the
/// startup message.
const FIRST_COMMAND_GRACE: Ns = SEC / 2;
/// How long before the last answers are due connections are read no further. A client that always has another request
/// outstanding leaves no moment at which its connection is idle, so nothing else would end it.
const DRAIN_TIME: Ns = SEC;
/// How long the process lives on after its last answer, so that the client can read it; also the interval at which a
/// shutdown checks whether connections can be closed.
pub const LINGER: Ns = 100 * MS;

/// A shutdown that is under way.
pub struct Shutdown {
    /// No connections are accepted from then on.
    pub close_listener: Ns,
    /// Every RPC that was taken has its final answer by then.
    pub answer_by: Ns,
    /// The process ends at the latest.
    pub end_by: Ns,
    /// When the listener was closed.
    listener_closed: Option<Ns>,
    /// Since when no work is left.
    idle_since: Option<Ns>,
}

impl Shutdown {
    /// A shutdown after a signal at `now`, where clients wait for the given time at most.
    pub fn begin(now: Ns, longest_deadline: Ns) -> Shutdown {
        let kill = now + longest_deadline.clamp(0, MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE;
        Shutdown {
            close_listener: now + ACCEPT_FOR,
            answer_by: kill - ANSWER_RESERVE,
            end_by: kill - END_RESERVE,
            listener_closed: None,
            idle_since: None,
        }
    }

    /// Whether it is time to close the listener; true once.
    pub fn should_close_listener(&mut self, now: Ns) -> bool {
        let due = self.listener_closed.is_none() && now >= self.close_listener;
        self.listener_closed = self.listener_closed.or(due.then_some(now));
        due
    }

    pub fn listener_is_closed(&self) -> bool {
        self.listener_closed.is_some()
    }

    /// Until when the first command of a connection is awaited, once the listener is closed.
    pub fn first_commands_until(&self) -> Option<Ns> {
        self.listener_closed.map(|closed| closed + FIRST_COMMAND_GRACE)
    }

    /// When further commands are no longer read, except for the rest of an incomplete one.
    pub fn stop_reading(&self) -> Option<Ns> {
        self.first_commands_until().map(|until| until.max(self.answer_by - DRAIN_TIME).min(self.answer_by))
    }

    /// Whether the process may end: nothing has been `unfinished` for a while, or it is time.
    pub fn is_complete(&mut self, now: Ns, unfinished: bool) -> bool {
        if now >= self.end_by {
            return true;
        }
        if unfinished {
            self.idle_since = None;
            return false;
        }
        now - *self.idle_since.get_or_insert(now) >= LINGER
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Where requests are answered and the process ends depends on the earliest SIGKILL alone.
    #[test]
    fn everything_ends_before_the_earliest_kill() {
        for (longest, kill) in [(0, 700), (1_000, 1_700), (3_000, 3_700), (60_000, 3_700)] {
            let mut shutdown = Shutdown::begin(SEC, longest * MS);
            let kill = SEC + kill * MS;
            assert!(shutdown.answer_by + 150 * MS + LINGER <= kill && shutdown.end_by + LINGER <= kill);
            assert!(!shutdown.should_close_listener(SEC + 449 * MS) && shutdown.stop_reading().is_none());
            assert!(shutdown.should_close_listener(SEC + 450 * MS) && !shutdown.should_close_listener(kill));
            assert!(shutdown.stop_reading().is_some_and(|at| at <= shutdown.answer_by));
        }
    }

    #[test]
    fn a_shutdown_is_complete_after_a_while_without_work_or_when_its_time_is_up() {
        let mut shutdown = Shutdown::begin(0, 3 * SEC);
        assert!(!shutdown.is_complete(500 * MS, false));
        assert!(!shutdown.is_complete(550 * MS, true) && !shutdown.is_complete(640 * MS, false));
        assert!(shutdown.is_complete(740 * MS, false));
        assert!(!shutdown.is_complete(3_590 * MS, true) && shutdown.is_complete(3_600 * MS, true));
    }
}
