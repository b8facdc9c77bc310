//! Profile of the real time that an emulated day takes. Reading the clock costs some 30 ns an event, so days that
//! are judged are not profiled.
use std::time::{Duration, Instant};

/// What the time is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
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

pub const COMPONENTS: [(Component, &str); 6] = [
    (Component::Heap, "heap"),
    (Component::Clients, "clients"),
    (Component::Decisions, "decisions"),
    (Component::Fronts, "fronts"),
    (Component::Machines, "machines"),
    (Component::Controller, "controller"),
];

/// Accumulates time by component; does nothing unless it was started.
#[derive(Clone, Debug, Default)]
pub struct Profiler {
    last: Option<Instant>,
    spent: [Duration; COMPONENTS.len()],
}

impl Profiler {
    pub fn started() -> Profiler {
        Profiler { last: Some(Instant::now()), ..Profiler::default() }
    }

    /// Charges the time since the last call to a component.
    pub fn charge(&mut self, component: Component) {
        if let Some(last) = &mut self.last {
            let now = Instant::now();
            self.spent[component as usize] += now - *last;
            *last = now;
        }
    }

    /// Each component's share of the total; none if it was never started.
    pub fn shares(&self) -> Option<[f64; COMPONENTS.len()]> {
        let total = self.spent.iter().sum::<Duration>().as_secs_f64();
        self.last.filter(|_| total > 0.0).map(|_| self.spent.map(|s| s.as_secs_f64() / total))
    }
}
