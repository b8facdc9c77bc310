//! Ids of RPCs that a machine may have executed and that must not run again. An id that comes again, for instance after its
//! client has left, is the same RPC.
use rockpick::Ns;
use rockpick_net::SEC;
use std::collections::{HashMap, VecDeque};

/// How long an id is remembered.
const LIFETIME: Ns = 60 * SEC;
/// Most ids remembered; beyond, the oldest is forgotten.
const MAX_IDS: usize = 16 * 1024;

#[derive(Default)]
pub struct ExecutedIds {
    /// When each id was last recorded.
    recorded: HashMap<u64, Ns>,
    order: VecDeque<(u64, Ns)>,
}

impl ExecutedIds {
    pub fn record(&mut self, id: u64, now: Ns) {
        self.forget_old(now);
        self.recorded.insert(id, now);
        self.order.push_back((id, now));
        if self.order.len() > MAX_IDS {
            self.forget_first();
        }
    }

    pub fn contains(&self, id: u64, now: Ns) -> bool {
        self.recorded.get(&id).is_some_and(|at| now - at < LIFETIME)
    }

    fn forget_old(&mut self, now: Ns) {
        while self.order.front().is_some_and(|(_, at)| now - at >= LIFETIME) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((id, at)) = self.order.pop_front() else { return };
        if self.recorded.get(&id) == Some(&at) {
            self.recorded.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_are_remembered_for_a_while_and_their_number_is_bounded() {
        let mut ids = ExecutedIds::default();
        ids.record(7, 0);
        ids.record(7, SEC);
        assert!(ids.contains(7, LIFETIME) && !ids.contains(7, LIFETIME + SEC) && !ids.contains(8, 0));
        (0..2 * MAX_IDS as u64).for_each(|id| ids.record(1_000 + id, 2 * SEC));
        assert_eq!((ids.recorded.len(), ids.order.len()), (MAX_IDS, MAX_IDS));
        ids.record(8, 3 * LIFETIME);
        assert_eq!((ids.recorded.len(), ids.order.len()), (1, 1));
    }
}
