//! What copies say to each other; each letter fits a datagram.
use crate::shelf::Dot;
use crate::tables::{Key, Row, Table};
use serde::{Deserialize, Serialize};

pub const MOST_LETTER: usize = 1_200;
/// Origins of one letter's versions; more go in further letters.
pub const MOST_VERSIONS: usize = 50;

pub type Rows = Vec<(Key, Row, Dot)>;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// A number for each table. Where ours differ, we tell what we have.
    Hello {
        wholes: [u64; 5],
    },
    /// My versions of origins from the first to before the second; to be answered by what goes beyond them.
    Have {
        part: (u64, u64),
        versions: Vec<(u64, u64)>,
        answer: bool,
    },
    /// Changes beyond your versions; `up_to` with the last of them.
    Delta {
        rows: Rows,
        up_to: Option<Vec<(u64, u64)>>,
    },
    /// Versions alike and content not: digests of a table's ranges.
    Digests {
        table: Table,
        digests: Vec<u64>,
        answer: bool,
    },
    /// Rows of ranges that differ.
    Range {
        rows: Rows,
    },
    /// Give me your versions, from this origin on.
    PullVersions {
        serial: u32,
        from: u64,
        any: bool,
    },
    Versions {
        serial: u32,
        versions: Vec<(u64, u64)>,
        next: Option<u64>,
    },
    /// Give me a table from this key on; `any`: also where yours is not whole.
    Pull {
        serial: u32,
        from: Key,
        any: bool,
    },
    Chunk {
        serial: u32,
        rows: Rows,
        next: Option<Key>,
    },
    /// Ask another: too much to do, or not whole itself.
    Busy {
        serial: u32,
        whole: bool,
    },
}

impl Word {
    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Word> {
        if bytes.len() > MOST_LETTER {
            return None;
        }
        let (word, rest) = postcard::take_from_bytes::<Word>(bytes).ok()?;
        rest.is_empty().then_some(word)
    }
}

/// What is left for rows in a letter, beside its own words.
pub const FOR_ROWS: usize = MOST_LETTER - 60;
/// A row in a letter is no longer than this.
const ROOM: usize = 80;

/// How long a row is in a letter.
pub fn size(row: &(Key, Row, Dot)) -> usize {
    postcard::to_slice(row, &mut [0; ROOM]).map_or(ROOM, |bytes| bytes.len())
}
