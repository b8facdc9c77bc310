//! A replicated log after Ongaro's thesis on Raft (2014): terms, pre-vote, check-quorum, single-server membership changes,
//! snapshots in chunks, and calls that are applied once, identified by session and serial.
//!
//! No I/O and no clock: [`Node::handle`] takes events with the time of this process's own clock and acts through [`Actions`].
//! The content of calls is opaque here; only [`Actions::apply`] interprets it.
//!
//! The disk is not trusted. A node that starts may have lost what it acknowledged (a tail of the log, a vote, everything), or
//! its state may be an old copy. It therefore neither votes nor counts towards a majority until so many of the other voters have
//! reported what they hold, and what it acknowledged to them, that every majority it was ever part of includes one of them; see
//! [`Node`].
mod log;
mod message;
mod node;

pub use log::{PersistentState, Snapshot, Write};
pub use message::{Command, Entry, Message, Payload, Position, MAX_BATCH_LEN, MAX_BODY_LEN, MAX_MESSAGE_LEN};
pub use node::{Actions, Event, Node, Role, Status, Timing};

/// A point in time or a duration in nanoseconds, by this process's own monotonic clock.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;

/// Most voters of a log, as each commit waits for a majority.
pub const MAX_VOTERS: usize = 7;

/// Why a call was rejected, and what the caller should do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    #[error("not the leader; the leader is {0:?}: retry there with the same serial, or if unknown after an election timeout")]
    NotLeader(Option<u32>),
    #[error("too many uncommitted calls: retry later with the same serial")]
    Busy,
    #[error("leadership was lost before the call was committed, and it may still be applied: retry with the same session and serial")]
    LeadershipLost,
    #[error("no such session, or it was dropped for newer ones: check the effect of the last call, then open a new session")]
    NoSession,
    #[error("a later call of this session was applied, and the response is no longer kept")]
    StaleSerial,
    #[error("{0} bytes, at most {MAX_BODY_LEN} are accepted: send a smaller call")]
    TooLong(usize),
    #[error("voters change one at a time, after the previous change is committed, and 1 to {MAX_VOTERS} must remain: retry later")]
    VoterChange,
}
