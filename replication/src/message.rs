//! Messages between replicas; each fits into a datagram. The encoding is positional, so names of fields and variants are not on
//! the wire, but their order is.
use crate::store::Dot;
use crate::tables::{Key, Row, Table};
use serde::{Deserialize, Serialize};

pub const MAX_MESSAGE_LEN: usize = 1_200;
/// Most origins in one message of versions; more follow in further messages.
pub const MAX_VERSIONS: usize = 50;

pub type Rows = Vec<(Key, Row, Dot)>;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A digest for each table. Where they differ, the receiver sends its versions.
    Hello {
        digests: [u64; 5],
    },
    /// The sender's versions for origins from the first to before the second; the receiver sends changes beyond them.
    VersionVector {
        part: (u64, u64),
        versions: Vec<(u64, u64)>,
        wants_reply: bool,
    },
    /// Changes beyond the receiver's versions; `up_to` comes with the last of them.
    Delta {
        rows: Rows,
        up_to: Option<Vec<(u64, u64)>>,
    },
    /// Sent when versions are equal and content is not: digests of a table's ranges.
    RangeDigests {
        table: Table,
        digests: Vec<u64>,
        wants_reply: bool,
    },
    /// Rows of ranges whose digests differ.
    RangeRows {
        rows: Rows,
    },
    /// Requests the versions, starting at this origin.
    VersionsRequest {
        request_id: u32,
        from: u64,
        any: bool,
    },
    Versions {
        request_id: u32,
        versions: Vec<(u64, u64)>,
        next: Option<u64>,
    },
    /// Requests rows of a table, starting at this key; `any` also accepts a table that is incomplete.
    ChunkRequest {
        request_id: u32,
        from: Key,
        any: bool,
    },
    Chunk {
        request_id: u32,
        rows: Rows,
        next: Option<Key>,
    },
    /// Refuses a request: the sender is overloaded, or not complete itself.
    Busy {
        request_id: u32,
        complete: bool,
    },
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE_LEN {
            return None;
        }
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes).ok()?;
        rest.is_empty().then_some(message)
    }
}

/// Space for rows in a message, besides its other fields.
pub const MAX_ROWS_LEN: usize = MAX_MESSAGE_LEN - 60;
/// Upper bound of the encoded length of a row.
const MAX_ROW_LEN: usize = 80;

/// Encoded length of a row.
pub fn encoded_len(row: &(Key, Row, Dot)) -> usize {
    postcard::to_slice(row, &mut [0; MAX_ROW_LEN]).map_or(MAX_ROW_LEN, |bytes| bytes.len())
}
