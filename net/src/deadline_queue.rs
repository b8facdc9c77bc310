//! Deadlines of connections: at most one per connection, which may be moved. Only one timer of the event loop
//! is set, for the earliest. No I/O, no clock.
use crate::{Id, Ns};
use std::collections::{BTreeSet, HashMap};

#[derive(Default)]
pub struct DeadlineQueue {
    order: BTreeSet<(Ns, Id)>,
    at: HashMap<Id, Ns>,
    /// The earliest timer that is set.
    timer: Option<Ns>,
}

impl DeadlineQueue {
    /// Sets or moves the deadline of `id`. Returns the time for which a timer must be set, if any.
    pub fn set(&mut self, id: Id, at: Ns) -> Option<Ns> {
        self.clear(id);
        self.at.insert(id, at);
        self.order.insert((at, id));
        self.timer_wanted()
    }

    /// The deadline of `id`, if it has one.
    pub fn get(&self, id: Id) -> Option<Ns> {
        self.at.get(&id).copied()
    }

    pub fn clear(&mut self, id: Id) {
        if let Some(at) = self.at.remove(&id) {
            self.order.remove(&(at, id));
        }
    }

    /// A timer has fired. Returns the time for which another one must be set, if any.
    pub fn timer_fired(&mut self, now: Ns) -> Option<Ns> {
        self.timer = self.timer.filter(|set| *set > now);
        self.timer_wanted()
    }

    fn timer_wanted(&mut self) -> Option<Ns> {
        let (at, _) = *self.order.first()?;
        let wanted = self.timer.is_none_or(|set| at < set);
        self.timer = if wanted { Some(at) } else { self.timer };
        wanted.then_some(at)
    }

    /// Removes and returns a connection whose deadline has passed.
    pub fn pop_expired(&mut self, now: Ns) -> Option<Id> {
        let (at, id) = *self.order.first()?;
        (at <= now).then(|| {
            self.clear(id);
            id
        })
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_can_be_moved_and_need_one_timer() {
        let mut queue = DeadlineQueue::default();
        assert_eq!(queue.set(1, 100), Some(100));
        assert_eq!(queue.set(2, 200), None);
        assert_eq!(queue.set(1, 50), Some(50));
        assert_eq!(
            (queue.pop_expired(49), queue.pop_expired(50), queue.pop_expired(150)),
            (None, Some(1), None)
        );
        assert_eq!(queue.timer_fired(50), Some(200));
        queue.clear(2);
        assert!(queue.pop_expired(1_000).is_none() && queue.is_empty() && queue.timer_fired(200).is_none());
    }
}
