//! When machines started, by the event loop's clock. Discovery tells it as wall time, and a wall clock may be stepped, so what
//! is known of the difference between the two clocks is corrected by what is certain: nobody starts in the future, and a
//! process that a watch reports while it serves has started a short time before.
use rockpick::Ns;
use rockpick_net::MS;
use std::collections::HashMap;

/// A new process is reported within this time.
const MAX_REPORT_DELAY: Ns = rockpick_platform::roster::CHANGE_KNOWN_WITHIN;

/// How a start time was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From a list, which may contain processes of any age.
    List,
    /// As a change on a watch that has served for longer than changes take to be reported.
    LiveChange,
}

/// The process of a machine.
#[derive(Clone, Copy)]
struct KnownProcess {
    started_ms: i64,
    started: Ns,
}

pub struct StartTimes {
    /// Unix time, in nanoseconds, at the origin of the event loop's clock.
    wall_offset: i128,
    /// By machine. The start time of a process is determined once: it identifies the process.
    known: HashMap<usize, KnownProcess>,
}

impl StartTimes {
    pub fn new(wall_offset: i128) -> StartTimes {
        StartTimes { wall_offset, known: HashMap::new() }
    }

    /// When the process of a machine started that reports this Unix time in milliseconds; none if that was long ago.
    pub fn started(&mut self, machine: usize, started_ms: i64, now: Ns, source: Source) -> Option<Ns> {
        if started_ms == 0 {
            self.known.remove(&machine);
            return None;
        }
        if let Some(known) = self.known.get(&machine).filter(|known| known.started_ms == started_ms) {
            return Some(known.started);
        }
        let reported = i128::from(started_ms) * i128::from(MS);
        let age = i128::from(now) - (reported - self.wall_offset);
        let too_old = source == Source::LiveChange && age > i128::from(MAX_REPORT_DELAY);
        if age < 0 || too_old {
            // One of the clocks was stepped. The youngest age is the safe one: cold machines get few picks.
            self.wall_offset = reported - i128::from(now);
        }
        let started = (reported - self.wall_offset) as Ns;
        self.known.insert(machine, KnownProcess { started_ms, started });
        Some(started)
    }

    pub fn forget(&mut self, machine: usize) {
        self.known.remove(&machine);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rockpick_net::SEC;

    const HOUR_MS: i64 = 3_600_000;
    /// Unix time at the origin of the loop's clock.
    const ORIGIN_MS: i64 = 1_000 * HOUR_MS;

    fn start_times() -> StartTimes {
        StartTimes::new(i128::from(ORIGIN_MS) * i128::from(MS))
    }

    #[test]
    fn start_times_are_converted_and_stay_the_same_for_a_process() {
        let mut times = start_times();
        assert_eq!(times.started(0, ORIGIN_MS + 4_000, 5 * SEC, Source::LiveChange), Some(4 * SEC));
        assert_eq!(times.started(1, ORIGIN_MS - HOUR_MS, 5 * SEC, Source::List), Some(-3_600 * SEC));
        assert_eq!(times.started(2, 0, 5 * SEC, Source::List), None);
        // The offset changes, and known processes keep their start.
        assert_eq!(times.started(3, ORIGIN_MS + HOUR_MS, 6 * SEC, Source::LiveChange), Some(6 * SEC));
        assert_eq!(times.started(0, ORIGIN_MS + 4_000, 9 * SEC, Source::List), Some(4 * SEC));
    }

    /// Guards against cold machines that count as warm, or as cold for an hour, because a wall clock was stepped.
    #[test]
    fn a_machine_that_a_live_watch_reports_is_cold_whichever_clock_was_stepped() {
        for step in [HOUR_MS, -HOUR_MS, 8_000, -5_000] {
            let mut times = start_times();
            let mut now = 20 * SEC;
            for machine in 0..3 {
                let reported = ORIGIN_MS + now / MS - 100 + step;
                let started = times.started(machine, reported, now, Source::LiveChange).unwrap();
                let age = now - started;
                assert!((0..=MAX_REPORT_DELAY).contains(&age), "{step} ms: {age}");
                now += 10 * SEC;
            }
        }
    }
}
