//! A fleet in virtual time. Around the unchanged decision module, release and roster state machines, stand-in
//! machines, clients and checker there are only a clock and a wire of its own: discrete events in a heap, one
//! thread a run, deterministic from a seed.
pub mod experiment;
pub mod fit;
pub mod line;
pub mod parts;
pub mod report;
mod seat;
pub mod study;
pub mod world;

pub use line::Line;
pub use study::Study;
pub use world::{Day, Kept, Outcome, World};
