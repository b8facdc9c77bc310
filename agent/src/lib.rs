//! The agent on each server: the controller orders, the agent acts and reports what is. [`lifecycle`] decides
//! without I/O; `runtime` has the downloads, the processes and the calls.
mod fetch;
pub mod lifecycle;
mod process;
mod runtime;

pub use runtime::Agent;
