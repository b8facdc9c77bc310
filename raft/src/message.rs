//! Messages between nodes, and the entries of the log. The encoding is positional, so names of fields and variants are not on the
//! wire, but their order is.
use serde::{Deserialize, Serialize};

/// Longest body of a call, and most bytes of entries or of a snapshot in a message.
pub const MAX_BODY_LEN: usize = 16 * 1024;
pub const MAX_BATCH_LEN: usize = 48 * 1024;
/// Longest message: a batch and its other fields.
pub const MAX_MESSAGE_LEN: usize = MAX_BATCH_LEN + MAX_BODY_LEN + 1024;

/// A position in the log. The order decides which of two logs is more up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    pub term: u64,
    pub index: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Appended by a new leader to commit the entries before it.
    Noop,
    /// Sets the voters from here on.
    Voters(Vec<u32>),
    /// Opens a session, which is identified by the index of this entry.
    OpenSession,
    Call {
        session: u64,
        serial: u64,
        body: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub command: Command,
}

impl Entry {
    /// Upper bound of its encoded length.
    pub fn max_encoded_len(&self) -> usize {
        40 + match &self.command {
            Command::Call { body, .. } => body.len(),
            Command::Voters(voters) => 5 * voters.len(),
            _ => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Requests a vote, or with `pre` asks whether it would be granted. The message's term is the one requested.
    RequestVote {
        pre: bool,
        last: Position,
    },
    VoteReply {
        pre: bool,
        granted: bool,
    },
    /// Entries after `before`; `instance` is the receiver's, as known to the leader.
    Append {
        before: Position,
        entries: Vec<Entry>,
        commit: u64,
        instance: u64,
    },
    /// On success, the leader's log is persisted up to `up_to`; otherwise the entry at `before` is missing, and `up_to` is where to
    /// continue.
    AppendReply {
        success: bool,
        up_to: u64,
        instance: u64,
    },
    /// A part of the snapshot that ends at `at`.
    SnapshotChunk {
        at: Position,
        total_len: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// The snapshot has been received up to this offset.
    SnapshotAck {
        at: Position,
        offset: u64,
    },
    /// Sent at the start with the new instance: asks what the receiver holds and who the voters are, and since which index.
    RecoveryRequest {
        instance: u64,
    },
    RecoveryReply {
        instance: u64,
        last: Position,
        voters: Vec<u32>,
        since: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub term: u64,
    pub payload: Payload,
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Returns `None` for a message that is too long or incomplete.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE_LEN {
            return None;
        }
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes).ok()?;
        rest.is_empty().then_some(message)
    }
}
