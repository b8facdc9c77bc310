//! The record of a member, and which of two records takes precedence.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name of a member, in bytes.
pub const MAX_NAME_LEN: usize = 64;
/// The incarnation grows by one with each refutation; a value beyond this was never reached and is invalid.
pub const MAX_INCARNATION: u32 = 1 << 30;

/// Later variants override earlier ones of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    Alive,
    Suspect,
    Gone,
    /// Announced by the member itself.
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub name: String,
    pub address: SocketAddr,
    /// Identifies one run of a process under the name.
    pub instance: u64,
    /// SWIM's incarnation number: counts the member's refutations. A new instance continues beyond the earlier one's.
    pub incarnation: u32,
    pub status: Status,
}

impl Record {
    /// Order in which records of one name override each other. It is total, so that merging is independent of the order.
    fn precedence(&self) -> (u32, Status, u64, SocketAddr) {
        (self.incarnation, self.status, self.instance, self.address)
    }

    pub fn supersedes(&self, other: &Record) -> bool {
        self.precedence() > other.precedence()
    }

    pub fn is_present(&self) -> bool {
        self.status < Status::Gone
    }

    pub fn is_valid(&self) -> bool {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        !self.name.is_empty()
            && self.name.len() <= MAX_NAME_LEN
            && self.name.chars().all(allowed)
            && self.incarnation <= MAX_INCARNATION
            && self.address.port() != 0
    }
}
