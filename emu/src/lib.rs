//! A discrete-event emulator of a fleet. The decision module, the release and roster state machines, the stand-in
//! machines, the clients and the checker are the ones used on sockets; only the clock and the network are replaced.
//! Events are kept in a heap; a run uses one thread and is deterministic for a seed.
pub mod experiment;
pub mod fit;
mod front_node;
pub mod profile;
pub mod report;
pub mod study;
pub mod summary;
pub mod world;

pub use study::Study;
pub use summary::DaySummary;
pub use world::{Day, Outcome, TenantLimits, World};
