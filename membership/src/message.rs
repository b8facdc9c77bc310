//! Messages between members: one per datagram, never longer than [`MAX_MESSAGE_LEN`]. The encoding is positional, so names of
//! fields and variants are not on the wire, but their order is.
use crate::record::Record;
use serde::{Deserialize, Serialize};

/// Fits into a datagram on any path, with room for the authentication header.
pub const MAX_MESSAGE_LEN: usize = 1_200;
/// Most updates in a message; messages with more are rejected.
pub const MAX_UPDATES: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Checks whether this instance is running.
    Ping {
        sequence: u32,
        instance: u64,
    },
    Ack {
        sequence: u32,
    },
    /// Asks for a ping of another member, whose ack is forwarded.
    ProbeRequest {
        sequence: u32,
        name: String,
    },
    /// Tells the requester of a probe that its helper is running.
    Nack {
        sequence: u32,
    },
    /// Requests records, starting at a name.
    SyncRequest {
        from: String,
    },
    /// The requested records; `next` is the name of the first one that did not fit.
    SyncPage {
        next: Option<String>,
    },
    /// Only the updates.
    Updates,
}

/// A record as it is passed on, with the hash of the name of the member that suspects it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub record: Record,
    pub reporter: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own record.
    pub from: Record,
    pub body: Body,
    pub updates: Vec<Update>,
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Returns `None` for a message that is too long, incomplete or has an invalid record.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE_LEN {
            return None;
        }
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes).ok()?;
        let is_valid = message.updates.len() <= MAX_UPDATES
            && message.from.is_valid()
            && message.from.is_present()
            && message.updates.iter().all(|n| n.record.is_valid());
        (is_valid && rest.is_empty()).then_some(message)
    }

    /// Upper bound of the encoded length of an update.
    pub fn max_update_len(record: &Record) -> usize {
        record.name.len() + 48
    }
}
