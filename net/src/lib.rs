//! One thread's sockets: epoll, timers, HTTP/1.1 on both sides, datagrams, signals. It reports what
//! happened as [`Event`]s and does as it is told; what to do is the caller's.
//!
//! Bounds, and the answer when one is met, stand beside their constants here and in [`http`].
pub mod http;
mod net;
mod often;
mod timers;

pub use net::{Call, End, Event, Id, Net, LINGER, MAX_BACKLOG, MAX_CALLS, MAX_IDLE};
pub use often::Often;
pub use timers::{Ns, Timers};

pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
