//! Tables that are replicated to all fronts, so that a front's knowledge survives its loss. Rows of a table are merged by a
//! join that is associative, commutative and idempotent and uses no wall clock ([`tables`]). Fronts exchange changes by
//! version vectors, and compare digests of key ranges to find rows that these missed. A front that returns copies all tables
//! in chunks from others and tracks which tables are complete ([`Replica`]). No I/O and no clock.
mod message;
mod replica;
mod store;
pub mod tables;

pub use message::{Message, MAX_MESSAGE_LEN};
pub use replica::{Actions, Counters, Event, Notice, Peer, Replica};
pub use store::{Dot, MergeOutcome, Store};
pub use tables::{Build, Count, Key, Machine, Phase, Row, State, Table, TABLES};

/// A point in time or a duration in nanoseconds, by this process's own monotonic clock.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
