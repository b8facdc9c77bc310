//! What all must agree on: one log, held by a few keepers, after Ongaro's thesis on Raft (2014): terms, pre-vote,
//! check-quorum, one change of keepers at a time, snapshots in chunks, calls taken once by session and serial.
//!
//! No I/O and no clock: [`Ledger::event`] takes what happened with the time of this process's own clock, and acts through
//! [`Act`]. What calls mean is not known here: [`Act::apply`] knows.
//!
//! No disk is taken at its word. A keeper that comes up may have lost what it acknowledged: a tail, a vote, all of it, or its
//! folder is last hour's. So it neither votes nor counts before so many of the others have told what they hold and what it
//! acknowledged to them that every majority it was ever part of has one among them; see [`Ledger`].
mod ledger;
mod log;
mod words;

pub use ledger::{Act, Event, Ledger, Pace, Role, View};
pub use log::{Folder, Keep, Snapshot};
pub use words::{Entry, Letter, Mark, What, Word, MOST_BATCH, MOST_BODY, MOST_LETTER};

/// A point in time or a span, in whole nanoseconds, of this process's own monotonic clock.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;

/// Most keepers of a log: each commit waits for a majority.
pub const MOST_KEEPERS: usize = 7;

/// Why a call was not taken, and what to do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("another keeper leads ({0:?}): call that one with the same serial; none: ask again after an election's time")]
    Elsewhere(Option<u32>),
    #[error("too many calls wait for their majority: ask again later with the same serial")]
    Busy,
    #[error("the lead was lost before the majority had it, it may still be taken: call again with the same session and serial")]
    Unknown,
    #[error("no such session, or it was forgotten for newer ones: open another, and look at what the last call did first")]
    NoSession,
    #[error("a later call of this session was taken: the answer is not kept any more")]
    Old,
    #[error("{0} bytes, at most {MOST_BODY} are taken: make the call smaller")]
    Long(usize),
    #[error("one keeper comes or goes at a time, after the last change is agreed, and 1 to {MOST_KEEPERS} stay: ask again later, or for less")]
    Change,
}
