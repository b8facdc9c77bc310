//! One thread's sockets: epoll, timers, HTTP/1.1 on both sides, datagrams, signals. It reports what
//! happened as [`Event`]s and does as it is told; what to do is the caller's.
//!
//! Bounds, and the answer when one is met, stand beside their constants here and in [`http`].
mod deadline_queue;
pub mod http;
mod log_limiter;
mod net;
mod streams;
mod timers;
pub mod tls;

pub use deadline_queue::DeadlineQueue;
pub use log_limiter::LogLimiter;
pub use net::{
    set_clock_skew, BoundListener, Call, CallEnd, Event, Id, Net, LINGER, MAX_BACKLOG, MAX_CALLS, MAX_IDLE,
};
pub use streams::{MAX_CLOSING_STREAMS, MAX_STREAMS};
pub use timers::{Ns, Timers};

/// Takes a whole line, its end included, off the front of what has come of a stream.
///
/// ```
/// let mut came = b"one\ntw".to_vec();
/// assert_eq!(rockpick_net::take_line(&mut came).as_deref(), Some(&b"one\n"[..]));
/// assert_eq!((rockpick_net::take_line(&mut came), came), (None, b"tw".to_vec()));
/// ```
pub fn take_line(came: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = came.iter().position(|b| *b == b'\n')?;
    let rest = came.split_off(end + 1);
    Some(std::mem::replace(came, rest))
}

pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
