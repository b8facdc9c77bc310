//! Where an emulated day's real time goes. Reading the clock costs some 30 ns an event; days that are judged
//! go without.
use std::time::{Duration, Instant};

/// What time is spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Taking events out of the heap; putting them in counts with what does so.
    Heap,
    Clients,
    /// The decision module alone.
    Decisions,
    /// What surrounds it at a front: open RPCs, picks, notes.
    Fronts,
    Machines,
    Controller,
}

pub const PARTS: [(Part, &str); 6] = [
    (Part::Heap, "heap"),
    (Part::Clients, "clients"),
    (Part::Decisions, "decisions"),
    (Part::Fronts, "fronts"),
    (Part::Machines, "machines"),
    (Part::Controller, "controller"),
];

/// A stopwatch that stands still unless it was started.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    since: Option<Instant>,
    spent: [Duration; PARTS.len()],
}

impl Watch {
    pub fn started() -> Watch {
        Watch { since: Some(Instant::now()), ..Watch::default() }
    }

    /// All since the last call went to this.
    pub fn lap(&mut self, part: Part) {
        if let Some(since) = &mut self.since {
            let now = Instant::now();
            self.spent[part as usize] += now - *since;
            *since = now;
        }
    }

    /// Shares of all, by part; none if it never ran.
    pub fn shares(&self) -> Option<[f64; PARTS.len()]> {
        let all = self.spent.iter().sum::<Duration>().as_secs_f64();
        self.since.filter(|_| all > 0.0).map(|_| self.spent.map(|s| s.as_secs_f64() / all))
    }
}
