//! What becomes of connections when their time is up: at most one time each, which may be moved at will. One timer
//! of the loop stands for the earliest. No I/O, no clock.
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
    /// Sets or moves the time of `id`; a timer is wanted at the time returned.
    pub fn set(&mut self, id: Id, at: Ns) -> Option<Ns> {
        self.clear(id);
        self.at.insert(id, at);
        self.order.insert((at, id));
        self.wanted()
    }

    pub fn clear(&mut self, id: Id) {
        if let Some(at) = self.at.remove(&id) {
            self.order.remove(&(at, id));
        }
    }

    /// A timer has come up; another may be wanted.
    pub fn timer_fired(&mut self, now: Ns) -> Option<Ns> {
        self.timer = self.timer.filter(|set| *set > now);
        self.wanted()
    }

    fn wanted(&mut self) -> Option<Ns> {
        let (at, _) = *self.order.first()?;
        let wanted = self.timer.is_none_or(|set| at < set);
        self.timer = if wanted { Some(at) } else { self.timer };
        wanted.then_some(at)
    }

    /// One whose time is up.
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
    fn a_time_is_moved_and_one_timer_stands_for_all() {
        let mut dues = DeadlineQueue::default();
        assert_eq!(dues.set(1, 100), Some(100));
        assert_eq!(dues.set(2, 200), None);
        assert_eq!(dues.set(1, 50), Some(50));
        assert_eq!(
            (dues.pop_expired(49), dues.pop_expired(50), dues.pop_expired(150)),
            (None, Some(1), None)
        );
        assert_eq!(dues.timer_fired(50), Some(200));
        dues.clear(2);
        assert!(dues.pop_expired(1_000).is_none() && dues.is_empty() && dues.timer_fired(200).is_none());
    }
}
