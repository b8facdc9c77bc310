//! When calls run out of time: one timer of the loop stands for the earliest. No I/O, no clock.
use rockpick_net::{Id, Ns};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Ended calls that may lie among the others before they are cleared out: few enough to cost nothing, and
/// clearing out is then rare.
const ENDED: usize = 1_024;

#[derive(Default)]
pub struct Lapses {
    heap: BinaryHeap<Reverse<(Ns, Id)>>,
    /// The earliest timer that is set. Later ones may be set too; they come up and set none.
    timer: Option<Ns>,
}

impl Lapses {
    /// A call's time ends at `at`; `open` knows the calls that have not ended, `many` of them. Returns when a
    /// timer is wanted, if none is set as early.
    pub fn add(&mut self, at: Ns, call: Id, many: usize, open: impl Fn(Id) -> bool) -> Option<Ns> {
        // Calls seldom run out of time: without this a day's deadline would keep a day's calls.
        if self.heap.len() >= 2 * many + ENDED {
            self.heap.retain(|Reverse((_, call))| open(*call));
        }
        self.heap.push(Reverse((at, call)));
        self.timer(at)
    }

    fn timer(&mut self, at: Ns) -> Option<Ns> {
        let wanted = self.timer.is_none_or(|set| at < set);
        self.timer = if wanted { Some(at) } else { self.timer };
        wanted.then_some(at)
    }

    /// A timer has come up.
    pub fn woke(&mut self, now: Ns) {
        self.timer = self.timer.filter(|set| *set > now);
    }

    /// An open call whose time is over; none: all such were told, and a timer may be wanted as [`Lapses::next`] says.
    pub fn over(&mut self, now: Ns, open: impl Fn(Id) -> bool) -> Option<Id> {
        while let Some(Reverse((at, call))) = self.heap.peek().copied() {
            let open = open(call);
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

    /// When a timer is wanted for the earliest, if none is set as early. Each one that came up bred another
    /// once, while any call was open: their number only grew.
    pub fn next(&mut self) -> Option<Ns> {
        let Reverse((at, _)) = self.heap.peek()?;
        self.timer(*at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rockpick_net::{MS, SEC};
    use std::collections::BTreeMap;

    /// Findings 3 and 20: an hour of RPCs, most answered in 30 ms, with 3 s, 0.3 s or a day to be answered in.
    #[test]
    fn neither_timers_nor_ended_calls_gather() {
        let (mut lapses, mut open, mut timers) = (Lapses::default(), BTreeMap::new(), Vec::new());
        let (mut most, mut lapsed) = (0, 0);
        for i in 0..360_000_i64 {
            let now = i * 10 * MS;
            open.retain(|_, end: &mut Ns| *end > now);
            let call = i as Id;
            open.insert(call, now + if i % 1_000 == 0 { 100 * SEC } else { 30 * MS });
            let at = now + [3 * SEC, 300 * MS, 86_400 * SEC][(i % 3) as usize];
            timers.extend(lapses.add(at, call, open.len(), |c| open.contains_key(&c)));
            let due = timers.len();
            timers.retain(|at| *at > now);
            for _ in timers.len()..due {
                lapses.woke(now);
                while let Some(call) = lapses.over(now, |c| open.contains_key(&c)) {
                    open.remove(&call);
                    lapsed += 1;
                }
                timers.extend(lapses.next());
            }
            most = most.max(timers.len());
        }
        assert!(most < 20 && lapses.heap.len() < 2_000, "{most} timers, {} calls", lapses.heap.len());
        assert_eq!(lapsed, 240, "those of 3 s and 0.3 s that took 100 s");
    }
}
