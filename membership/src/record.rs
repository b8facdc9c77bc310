//! What is told of a member, and which of two records counts.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name of a member.
pub const MOST_NAME: usize = 64;
/// Turns grow by one a refutation; one beyond this is no turn that was ever reached.
pub const MOST_TURN: u32 = 1 << 30;

/// In the order in which one overrides another of the same turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    Alive,
    Suspect,
    Gone,
    /// Has said so itself.
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub name: String,
    pub at: SocketAddr,
    /// One run of a process under the name.
    pub life: u64,
    /// The member's own count of what it refuted (SWIM's incarnation); a new life goes on beyond the former's.
    pub turn: u32,
    pub status: Status,
}

impl Record {
    /// The order in which records of one name override each other: total, so that copies join alike in any order.
    fn rank(&self) -> (u32, Status, u64, SocketAddr) {
        (self.turn, self.status, self.life, self.at)
    }

    pub fn beats(&self, other: &Record) -> bool {
        self.rank() > other.rank()
    }

    pub fn there(&self) -> bool {
        self.status < Status::Gone
    }

    pub fn sound(&self) -> bool {
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        !self.name.is_empty()
            && self.name.len() <= MOST_NAME
            && self.name.chars().all(plain)
            && self.turn <= MOST_TURN
            && self.at.port() != 0
    }
}
