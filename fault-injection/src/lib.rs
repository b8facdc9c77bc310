//! Fault injection for systems of several processes. A [`Plan`] is a list of faults, each with a start and an end. It is
//! drawn from a seed, written as text that can be edited and replayed, and reduced to the faults that matter when it
//! reveals a failure ([`shrink`]). The same plan runs against state machines in virtual time ([`simulation`]), and with
//! the [`relay`] and signals against real processes. Nothing here depends on the system under test.
pub mod plan;
pub mod relay;
pub mod shrink;
pub mod simulation;

pub use plan::{Fault, LinkConditions, Plan, PlannedFault, RestartState};
pub use shrink::shrink;

/// A time or a duration, in nanoseconds.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
