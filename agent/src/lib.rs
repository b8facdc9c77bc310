//! The agent on each server: it carries out the controller's orders and reports what runs. [`lifecycle`] decides and
//! does no I/O; `runtime` does the downloads, the processes and the calls.
mod fetch;
pub mod lifecycle;
mod process;
mod runtime;

pub use runtime::Agent;
