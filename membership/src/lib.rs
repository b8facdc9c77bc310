//! Who is alive among the fronts: probes by shuffled round robin, indirect probes, suspicion with timely refutation,
//! news piggybacked (after SWIM: Das, Gupta, Motivala 2002), with a count of one's own health that slows one's own
//! suspicions, and suspicions that grow shorter as others confirm them (after Lifeguard: Dadgar and others 2018).
//!
//! No I/O and no clock: [`Members::event`] takes what happened with the time of this process's own clock, and acts
//! through [`Act`]. Nobody's word is needed for the five rules: that a front has gone may make another more careful,
//! never less (see [`Members::at_least`]).
mod members;
mod record;
mod words;

pub use members::{Act, Change, Event, Members, Pace, Place};
pub use record::{Record, Status, MOST_NAME, MOST_TURN};
pub use words::{Letter, News, Word, MOST_LETTER, MOST_NEWS};

/// A point in time or a span, in whole nanoseconds, of this process's own monotonic clock.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
