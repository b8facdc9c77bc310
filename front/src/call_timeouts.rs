//! Timeouts of calls. Only one timer of the event loop is set, for the earliest timeout. No I/O, no clock.
use rockpick_net::{Id, Ns};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Number of ended calls that may stay in the heap: small enough to cost little memory, large enough to make
/// clearing rare.
const MAX_STALE: usize = 1_024;

#[derive(Default)]
pub struct CallTimeouts {
    heap: BinaryHeap<Reverse<(Ns, Id)>>,
    /// The earliest timer that is set. Later ones may be set too; they set no further timer when they fire.
    timer: Option<Ns>,
}

impl CallTimeouts {
    /// Adds a call that times out at `at`; `is_open` tells whether a call is still open, `open_count` how
    /// many are. Returns the time for which a timer must be set, unless an earlier one is set already.
    pub fn add(&mut self, at: Ns, call: Id, open_count: usize, is_open: impl Fn(Id) -> bool) -> Option<Ns> {
        // Calls rarely time out. Without this step a deadline of a day would keep all calls of that day.
        if self.heap.len() >= 2 * open_count + MAX_STALE {
            self.heap.retain(|Reverse((_, call))| is_open(*call));
        }
        self.heap.push(Reverse((at, call)));
        self.want_timer(at)
    }

    fn want_timer(&mut self, at: Ns) -> Option<Ns> {
        let wanted = self.timer.is_none_or(|set| at < set);
        self.timer = if wanted { Some(at) } else { self.timer };
        wanted.then_some(at)
    }

    /// A timer has fired.
    pub fn timer_fired(&mut self, now: Ns) {
        self.timer = self.timer.filter(|set| *set > now);
    }

    /// Removes and returns an open call that has timed out. After `None`, [`CallTimeouts::next_timer`] tells
    /// whether a timer must be set.
    pub fn pop_expired(&mut self, now: Ns, is_open: impl Fn(Id) -> bool) -> Option<Id> {
        while let Some(Reverse((at, call))) = self.heap.peek().copied() {
            let open = is_open(call);
            if open && at > now {
                return None;
            }
            self.heap.pop();
            if open {
                return Some(call);
            }
        }
        None
    }

    /// The time for which a timer must be set, unless an earlier one is set already. Without this check each
    /// timer that fired set another one while any call was open, and their number only grew.
    pub fn next_timer(&mut self) -> Option<Ns> {
        let Reverse((at, _)) = self.heap.peek()?;
        self.want_timer(*at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rockpick_net::{MS, SEC};
    use std::collections::BTreeMap;

    /// Guards against timers and ended calls piling up: an hour of RPCs, most answered in 30 ms, with
    /// timeouts of 3 s, 0.3 s and a day.
    #[test]
    fn timers_and_ended_calls_do_not_pile_up() {
        let (mut timeouts, mut open, mut timers) = (CallTimeouts::default(), BTreeMap::new(), Vec::new());
        let (mut max_timers, mut expired) = (0, 0);
        for i in 0..360_000_i64 {
            let now = i * 10 * MS;
            open.retain(|_, end: &mut Ns| *end > now);
            let call = i as Id;
            open.insert(call, now + if i % 1_000 == 0 { 100 * SEC } else { 30 * MS });
            let at = now + [3 * SEC, 300 * MS, 86_400 * SEC][(i % 3) as usize];
            timers.extend(timeouts.add(at, call, open.len(), |c| open.contains_key(&c)));
            let due = timers.len();
            timers.retain(|at| *at > now);
            for _ in timers.len()..due {
                timeouts.timer_fired(now);
                while let Some(call) = timeouts.pop_expired(now, |c| open.contains_key(&c)) {
                    open.remove(&call);
                    expired += 1;
                }
                timers.extend(timeouts.next_timer());
            }
            max_timers = max_timers.max(timers.len());
        }
        assert!(
            max_timers < 20 && timeouts.heap.len() < 2_000,
            "{max_timers} timers, {} calls",
            timeouts.heap.len()
        );
        assert_eq!(expired, 240, "the calls that took 100 s and had a timeout of 3 s or 0.3 s");
    }
}
