//! What members say to each other: one letter a datagram, never longer than [`MOST_LETTER`].
use crate::record::Record;
use serde::{Deserialize, Serialize};

/// Fits a datagram on any path, with room for the seal.
pub const MOST_LETTER: usize = 1_200;
/// Records of one letter: more are not read.
pub const MOST_NEWS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Is the life that this is addressed to there?
    Ping {
        serial: u32,
        life: u64,
    },
    Ack {
        serial: u32,
    },
    /// Please ping another, whose ack is passed on.
    Probe {
        serial: u32,
        name: String,
    },
    /// The one that asked for a probe hears that its helper at least is there.
    Nack {
        serial: u32,
    },
    /// Records from a name on.
    Ask {
        from: String,
    },
    /// Those records; `more` names the next one.
    Page {
        more: Option<String>,
    },
    /// Records alone.
    News,
}

/// A record as it is passed on; a suspicion names who has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    pub record: Record,
    pub by: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Letter {
    /// The sender's own record.
    pub from: Record,
    pub word: Word,
    pub news: Vec<News>,
}

impl Letter {
    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None: longer than any that is sent, not whole, or with a record that can't be.
    pub fn read(bytes: &[u8]) -> Option<Letter> {
        if bytes.len() > MOST_LETTER {
            return None;
        }
        let (letter, rest) = postcard::take_from_bytes::<Letter>(bytes).ok()?;
        let sound = letter.news.len() <= MOST_NEWS
            && letter.from.sound()
            && letter.from.there()
            && letter.news.iter().all(|n| n.record.sound());
        (sound && rest.is_empty()).then_some(letter)
    }

    /// How long a record is in a letter, at most.
    pub fn room(record: &Record) -> usize {
        record.name.len() + 48
    }
}
