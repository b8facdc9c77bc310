//! A heap of timers in nanoseconds; timers of equal time fire in the order in which they were set.
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A point in time or a duration in nanoseconds.
pub type Ns = i64;

#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Ns, u64, u64)>>,
    next_seq: u64,
}

impl Timers {
    /// Sets a timer. It can't be cancelled; whoever set it must ignore a tag that is no longer wanted.
    pub fn set(&mut self, at: Ns, tag: u64) {
        self.next_seq += 1;
        self.heap.push(Reverse((at, self.next_seq, tag)));
    }

    pub fn next(&self) -> Option<Ns> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes a timer that is due and returns its tag.
    pub fn due(&mut self, now: Ns) -> Option<u64> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((.., tag))| tag)
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
