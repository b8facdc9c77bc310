//! What keepers say to each other, and what stands in the log.
use serde::{Deserialize, Serialize};

/// Longest body of a call, and most bytes of entries or of a snapshot in a letter.
pub const MOST_BODY: usize = 16 * 1024;
pub const MOST_BATCH: usize = 48 * 1024;
/// Longest letter: a batch, and what goes with it.
pub const MOST_LETTER: usize = MOST_BATCH + MOST_BODY + 1024;

/// A place in the log, in the order that makes one log newer than another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    pub term: u64,
    pub index: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// Of a leader that begins: what stood before it is agreed with it.
    Nothing,
    /// Who keeps the log from here on.
    Keepers(Vec<u32>),
    /// A session, named by its index.
    Open,
    Call {
        session: u64,
        serial: u64,
        body: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub what: What,
}

impl Entry {
    /// Its length in a letter, at most.
    pub fn room(&self) -> usize {
        40 + match &self.what {
            What::Call { body, .. } => body.len(),
            What::Keepers(keepers) => 5 * keepers.len(),
            _ => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Vote for me; before that (`pre`): would you? The letter's term is the one asked for.
    Ask {
        pre: bool,
        last: Mark,
    },
    Vote {
        pre: bool,
        granted: bool,
    },
    /// Entries behind `before`; `life` is the reader's, as the leader knows it.
    Append {
        before: Mark,
        entries: Vec<Entry>,
        commit: u64,
        life: u64,
    },
    /// Holds the leader's log up to `upto`, synced; or not what stands before: go back to there.
    Held {
        holds: bool,
        upto: u64,
        life: u64,
    },
    /// A part of a snapshot that ends at `at`.
    Chunk {
        at: Mark,
        whole: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// Has the snapshot's bytes up to there.
    Got {
        at: Mark,
        offset: u64,
    },
    /// I came up, with this life: what do you hold, and who keeps the log by what you know, since which index?
    Hello {
        life: u64,
    },
    Recall {
        life: u64,
        last: Mark,
        keepers: Vec<u32>,
        since: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Letter {
    pub term: u64,
    pub word: Word,
}

impl Letter {
    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None: longer than any that is sent, or not whole.
    pub fn read(bytes: &[u8]) -> Option<Letter> {
        if bytes.len() > MOST_LETTER {
            return None;
        }
        let (letter, rest) = postcard::take_from_bytes::<Letter>(bytes).ok()?;
        rest.is_empty().then_some(letter)
    }
}
