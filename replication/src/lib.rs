//! What a front knows that others must not lose with it. Five tables, each with its own rule for rows that differ, a join:
//! associative, commutative, idempotent, and never by a wall clock ([`tables`]). Fronts exchange what has changed by
//! version vectors, find by digests of ranges what vectors missed, and one that returns takes the whole in chunks from
//! others and knows which tables are whole ([`Copies`]). No I/O and no clock.
mod copies;
mod shelf;
pub mod tables;
mod words;

pub use copies::{Act, Copies, Event, Fact, Near, Tolls};
pub use shelf::{Dot, Shelf, Taken};
pub use tables::{Build, Count, Key, Machine, Phase, Row, State, Table, TABLES};
pub use words::{Word, MOST_LETTER};

/// A point in time or a span, in whole nanoseconds, of this process's own monotonic clock.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
