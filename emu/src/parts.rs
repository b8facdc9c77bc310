//! Profile of the real time that an emulated day takes. Reading the clock costs some 30 ns an event, so days that
//! are judged are not profiled.
use std::time::{Duration, Instant};

/// What the time is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Taking events out of the heap. Inserting them is charged to the component that does it.
    Heap,
    Clients,
    /// The decision module alone.
    Decisions,
    /// The rest of a front: open RPCs, picks, notes.
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

/// Accumulates time by component; does nothing unless it was started.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    last: Option<Instant>,
    spent: [Duration; PARTS.len()],
}

impl Watch {
    pub fn started() -> Watch {
        Watch { last: Some(Instant::now()), ..Watch::default() }
    }

    /// Charges the time since the last call to a component.
    pub fn lap(&mut self, part: Part) {
        if let Some(last) = &mut self.last {
            let now = Instant::now();
            self.spent[part as usize] += now - *last;
            *last = now;
        }
    }

    /// Each component's share of the total; none if it was never started.
    pub fn shares(&self) -> Option<[f64; PARTS.len()]> {
        let total = self.spent.iter().sum::<Duration>().as_secs_f64();
        self.last.filter(|_| total > 0.0).map(|_| self.spent.map(|s| s.as_secs_f64() / total))
    }
}
