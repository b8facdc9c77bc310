//! The log as one node holds it in memory, and the part of it that must be written to disk.
use crate::message::{Command, Entry, Position, MAX_BATCH_LEN};
use std::collections::VecDeque;

/// The state up to a log position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    pub at: Position,
    pub voters: Vec<u32>,
    /// Sessions and the state machine's state, encoded together.
    pub bytes: Vec<u8>,
}

/// What a node finds on its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    pub term: u64,
    pub vote: Option<u32>,
    pub snapshot: Snapshot,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

/// Changes to be written to disk atomically, before their number is reported as persisted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    pub term: u64,
    pub vote: Option<u32>,
    /// Replaces everything up to its position; later entries stay.
    pub snapshot: Option<Snapshot>,
    /// Entries from this index on are replaced by `entries`.
    pub from: u64,
    pub entries: Vec<Entry>,
}

impl PersistentState {
    pub fn apply(&mut self, write: Write) {
        (self.term, self.vote) = (write.term, write.vote);
        // Entries first, as a snapshot of the same event may include some of them.
        if write.from > 0 {
            self.entries.truncate(write.from.saturating_sub(self.snapshot.at.index + 1) as usize);
            self.entries.extend(write.entries);
        }
        if let Some(snapshot) = write.snapshot {
            let gone = snapshot.at.index.saturating_sub(self.snapshot.at.index) as usize;
            self.entries.drain(..gone.min(self.entries.len()));
            self.snapshot = snapshot;
        }
    }
}

pub struct Log {
    pub snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// Entries that change the voters, with their indices: few, and needed at each event.
    configurations: Vec<(u64, Vec<u32>)>,
    pub bytes: usize,
}

impl Log {
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log { snapshot, entries: VecDeque::new(), configurations: Vec::new(), bytes: 0 };
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    pub fn last(&self) -> Position {
        let index = self.snapshot.at.index + self.entries.len() as u64;
        self.entries.back().map_or(self.snapshot.at, |entry| Position { term: entry.term, index })
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `None` before the snapshot's position and beyond the end.
    pub fn position(&self, index: u64) -> Option<Position> {
        if index == self.snapshot.at.index {
            return Some(self.snapshot.at);
        }
        self.get(index).map(|entry| Position { term: entry.term, index })
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.snapshot.at.index + 1)?;
        self.entries.get(at as usize)
    }

    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.max_encoded_len();
        if let Command::Voters(voters) = &entry.command {
            self.configurations.push((self.last().index + 1, voters.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Entries starting at an index, as many as fit into a message, but at least one.
    pub fn batch(&self, from: u64) -> Vec<Entry> {
        let mut space = MAX_BATCH_LEN;
        let at = from.saturating_sub(self.snapshot.at.index + 1) as usize;
        let fits = |entry: &&Entry| {
            let first = space == MAX_BATCH_LEN;
            let fits = first || entry.max_encoded_len() <= space;
            space = space.saturating_sub(entry.max_encoded_len());
            fits
        };
        self.entries.iter().skip(at).take_while(fits).cloned().collect()
    }

    /// Removes the entries starting at an index.
    pub fn truncate(&mut self, from: u64) {
        let kept_len = from.saturating_sub(self.snapshot.at.index + 1) as usize;
        self.configurations.retain(|(index, _)| *index < from);
        while self.entries.len() > kept_len {
            let gone = self.entries.pop_back();
            self.bytes -= gone.map_or(0, |entry| entry.max_encoded_len());
        }
    }

    /// Replaces everything up to the snapshot's position. Later entries stay if they continue from it.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        if self.position(snapshot.at.index) == Some(snapshot.at) {
            while self.snapshot.at.index < snapshot.at.index {
                let gone = self.entries.pop_front();
                self.bytes -= gone.map_or(0, |entry| entry.max_encoded_len());
                self.snapshot.at.index += 1;
            }
        } else {
            self.entries.clear();
            self.configurations.clear();
            self.bytes = 0;
        }
        self.configurations.retain(|(index, _)| *index > snapshot.at.index);
        self.snapshot = snapshot;
    }

    /// The voters by the newest entry that sets them, committed or not, and the index of that entry.
    pub fn voters(&self) -> (&[u32], u64) {
        let newest = self.configurations.last().map(|(index, voters)| (&voters[..], *index));
        newest.unwrap_or((&self.snapshot.voters, self.snapshot.at.index))
    }

    /// The voters as of an index.
    pub fn voters_at(&self, index: u64) -> Vec<u32> {
        let said = self.configurations.iter().rev().find(|(since, _)| *since <= index);
        said.map_or_else(|| self.snapshot.voters.clone(), |(_, voters)| voters.clone())
    }
}
