//! What breaks the parts of the program that live together. A storm is a [`Plan`]: faults with a beginning and an end,
//! drawn from a seed, written as text that can be read and replayed, and shrunk when something breaks
//! ([`shrink`]). The same plan is played by [`simulation`] upon state machines in virtual time, and by [`relay`] and
//! signals upon real processes. Nothing here knows what it breaks.
pub mod plan;
pub mod relay;
pub mod shrink;
pub mod simulation;

pub use plan::{Fault, LinkConditions, Plan, PlannedFault, RestartState};
pub use shrink::shrink;

/// A point in time or a span, in whole nanoseconds.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
