//! Group membership of the fronts after SWIM (Das, Gupta, Motivala 2002): probes in shuffled round-robin order, indirect
//! probes, suspicion with refutation, and updates piggybacked on messages. Two extensions come from Lifeguard (Dadgar and
//! others 2018): a health penalty that slows a member's own suspicions, and suspicion timeouts that shrink with each
//! confirmation by another member.
//!
//! No I/O and no clock: [`Membership::handle`] takes events with the time of this process's own clock and acts through
//! [`Actions`]. The five rules do not depend on what a peer reports: a report that a front has gone can make others more
//! careful, never less (see [`Membership::minimum_count`]).
mod message;
mod protocol;
mod record;

pub use message::{Body, Message, Update, MAX_MESSAGE_LEN, MAX_UPDATES};
pub use protocol::{Actions, Change, Config, Event, Membership, Timing};
pub use record::{Record, Status, MAX_INCARNATION, MAX_NAME_LEN};

/// A point in time or a duration in nanoseconds, by this process's own monotonic clock.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
