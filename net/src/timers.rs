//! Timers in a heap, in whole nanoseconds; equal times come up in the order they were set.
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A point in time or a span, in whole nanoseconds.
pub type Ns = i64;

#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Ns, u64, u64)>>,
    set: u64,
}

impl Timers {
    /// Not revocable: a tag that is no longer wanted is to be passed over by whoever set it.
    pub fn set(&mut self, at: Ns, tag: u64) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, tag)));
    }

    pub fn next(&self) -> Option<Ns> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// The tag of a timer that is due.
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
