//! The sockets of one thread: epoll, timers, HTTP/1.1 client and server, datagrams, signals. It reports what
//! happens as [`Event`]s and carries out commands; decisions are up to the caller.
//!
//! Limits, and what happens when they are reached, are documented at their constants here and in [`http`].
mod deadline_queue;
pub mod http;
mod log_limiter;
mod net;
mod poller;
mod socket_calls;
mod streams;
mod timers;
pub mod tls;
mod wall_clock;

pub use deadline_queue::DeadlineQueue;
pub use log_limiter::LogLimiter;
pub use net::{
    set_clock_skew, BoundListener, Call, CallEnd, Event, Id, Net, UnsentBytes, LINGER, MAX_BACKLOG,
    MAX_CALLS, MAX_IDLE,
};
pub use socket_calls::inject_call_faults;
pub use streams::{MAX_CLOSING_STREAMS, MAX_STREAMS};
pub use timers::{Ns, Timers};
pub use wall_clock::{step_wall_clock, wall_time};

/// Removes a complete line, including its line feed, from the front of the received data.
///
/// ```
/// let mut buf = b"one\ntw".to_vec();
/// assert_eq!(rockpick_net::take_line(&mut buf).as_deref(), Some(&b"one\n"[..]));
/// assert_eq!((rockpick_net::take_line(&mut buf), buf), (None, b"tw".to_vec()));
/// ```
pub fn take_line(buf: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = buf.iter().position(|b| *b == b'\n')?;
    let rest = buf.split_off(end + 1);
    Some(std::mem::replace(buf, rest))
}

pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
