//! The agent on each server: the controller orders, the agent acts and reports what is. [`mind`] decides
//! without I/O; `hand` has the downloads, the processes and the calls.
mod fetch;
mod hand;
pub mod mind;
mod proc;

pub use hand::Agent;
