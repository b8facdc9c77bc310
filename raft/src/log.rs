//! The log as one keeper holds it in memory, and what of it is to be kept on disk.
use crate::words::{Entry, Mark, What, MOST_BATCH};
use std::collections::VecDeque;

/// All that was agreed up to a mark.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    pub at: Mark,
    pub keepers: Vec<u32>,
    /// Sessions and the state of what calls mean, as one text.
    pub bytes: Vec<u8>,
}

/// What a keeper finds on its disk as it comes up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Folder {
    pub term: u64,
    pub vote: Option<u32>,
    pub snapshot: Snapshot,
    /// Those behind the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

/// What is to be on disk as one, before its number is said to be kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keep {
    pub term: u64,
    pub vote: Option<u32>,
    /// Takes the place of all up to its mark; entries behind that mark stay.
    pub snapshot: Option<Snapshot>,
    /// Entries from this index on go, and these come.
    pub from: u64,
    pub entries: Vec<Entry>,
}

impl Folder {
    pub fn take(&mut self, keep: Keep) {
        (self.term, self.vote) = (keep.term, keep.vote);
        // Entries first: a snapshot of the same event may take some of them in.
        if keep.from > 0 {
            self.entries.truncate(keep.from.saturating_sub(self.snapshot.at.index + 1) as usize);
            self.entries.extend(keep.entries);
        }
        if let Some(snapshot) = keep.snapshot {
            let gone = snapshot.at.index.saturating_sub(self.snapshot.at.index) as usize;
            self.entries.drain(..gone.min(self.entries.len()));
            self.snapshot = snapshot;
        }
    }
}

pub struct Log {
    pub snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// Entries that say who keeps the log, and their indices: asked for at each event, and few.
    circles: Vec<(u64, Vec<u32>)>,
    pub bytes: usize,
}

impl Log {
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log { snapshot, entries: VecDeque::new(), circles: Vec::new(), bytes: 0 };
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    pub fn last(&self) -> Mark {
        let index = self.snapshot.at.index + self.entries.len() as u64;
        self.entries.back().map_or(self.snapshot.at, |entry| Mark { term: entry.term, index })
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// None: before the snapshot's mark, or beyond the end.
    pub fn mark(&self, index: u64) -> Option<Mark> {
        if index == self.snapshot.at.index {
            return Some(self.snapshot.at);
        }
        self.get(index).map(|entry| Mark { term: entry.term, index })
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.snapshot.at.index + 1)?;
        self.entries.get(at as usize)
    }

    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.room();
        if let What::Keepers(keepers) = &entry.what {
            self.circles.push((self.last().index + 1, keepers.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Entries from an index on, as many as a letter bears; one at the least.
    pub fn batch(&self, from: u64) -> Vec<Entry> {
        let mut room = MOST_BATCH;
        let at = from.saturating_sub(self.snapshot.at.index + 1) as usize;
        let fits = |entry: &&Entry| {
            let first = room == MOST_BATCH;
            let fits = first || entry.room() <= room;
            room = room.saturating_sub(entry.room());
            fits
        };
        self.entries.iter().skip(at).take_while(fits).cloned().collect()
    }

    /// Entries from an index on go.
    pub fn cut(&mut self, from: u64) {
        let keep = from.saturating_sub(self.snapshot.at.index + 1) as usize;
        self.circles.retain(|(index, _)| *index < from);
        while self.entries.len() > keep {
            let gone = self.entries.pop_back();
            self.bytes -= gone.map_or(0, |entry| entry.room());
        }
    }

    /// A snapshot takes the place of all up to its mark; what stands behind stays where it goes on from there.
    pub fn replace(&mut self, snapshot: Snapshot) {
        if self.mark(snapshot.at.index) == Some(snapshot.at) {
            while self.snapshot.at.index < snapshot.at.index {
                let gone = self.entries.pop_front();
                self.bytes -= gone.map_or(0, |entry| entry.room());
                self.snapshot.at.index += 1;
            }
        } else {
            self.entries.clear();
            self.circles.clear();
            self.bytes = 0;
        }
        self.circles.retain(|(index, _)| *index > snapshot.at.index);
        self.snapshot = snapshot;
    }

    /// Who keeps the log: by the newest entry that says so, agreed or not; and its index.
    pub fn keepers(&self) -> (&[u32], u64) {
        let newest = self.circles.last().map(|(index, keepers)| (&keepers[..], *index));
        newest.unwrap_or((&self.snapshot.keepers, self.snapshot.at.index))
    }

    /// Those as of an index.
    pub fn keepers_at(&self, index: u64) -> Vec<u32> {
        let said = self.circles.iter().rev().find(|(since, _)| *since <= index);
        said.map_or_else(|| self.snapshot.keepers.clone(), |(_, keepers)| keepers.clone())
    }
}
