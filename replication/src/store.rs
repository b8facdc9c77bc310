//! The rows of one replica, with the dot of each row's last change, the version vector and digests of key ranges.
use crate::tables::{Count, Fnv, Key, Row, Table};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Ranges of a table's digest, by the high bits of the key's hash.
pub const RANGES: usize = 64;
/// Most rows of each table. For bindings, as many as the module remembers, with room for those of builds that end.
pub fn max_rows(table: Table) -> usize {
    match table {
        Table::Builds => 4_096,
        Table::Machines => 65_536,
        Table::Bindings => 1 << 20,
        Table::Evidence => 1 << 18,
        Table::Spent => 1 << 18,
    }
}
/// Most origins in a version vector.
pub const MAX_ORIGINS: usize = 20_000;

/// Identifies a change: the origin that made it and that origin's serial number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dot {
    pub origin: u64,
    pub serial: u64,
}

/// Result of merging a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The local row changed.
    Changed,
    Same,
    /// The local row contains more than the one received.
    Stale,
    /// The same dot with different content: one of the copies is corrupt.
    Conflict,
    /// Invalid for its key, or no space.
    Rejected,
}

#[derive(Default)]
pub struct Store {
    origin: u64,
    serial: u64,
    rows: BTreeMap<Key, (Row, Dot)>,
    /// Rows by the dot of their last change.
    dots: BTreeMap<Dot, Key>,
    /// Per origin, all its changes up to this serial are present or superseded.
    pub versions: BTreeMap<u64, u64>,
    digests: BTreeMap<(Table, usize), u64>,
    sizes: BTreeMap<Table, usize>,
}

/// The range of its table's digest that a key belongs to.
pub fn range_of(key: &Key) -> usize {
    (key.hash() >> 58) as usize
}

/// Hashes key and row together. If they were hashed separately and XORed, swapping the content of two rows would not
/// change the digest.
fn row_hash(key: &Key, row: &Row) -> u64 {
    let mut hash = Fnv::default();
    Hash::hash(key, &mut hash);
    Hash::hash(row, &mut hash);
    hash.finish()
}

impl Store {
    pub fn new(origin: u64) -> Store {
        Store { origin, ..Store::default() }
    }

    pub fn get(&self, key: &Key) -> Option<&Row> {
        self.rows.get(key).map(|(row, _)| row)
    }

    pub fn row(&self, key: &Key) -> Option<(Row, Dot)> {
        self.rows.get(key).copied()
    }

    pub fn len(&self, table: Table) -> usize {
        self.sizes.get(&table).copied().unwrap_or(0)
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub fn table(&self, table: Table) -> impl Iterator<Item = (&Key, &Row)> {
        self.rows
            .range(Key::first_of(table)..)
            .take_while(move |(k, _)| k.table() == table)
            .map(|(k, (r, _))| (k, r))
    }

    /// Rows of a table with their dots, starting at a key.
    pub fn rows_from(&self, first: Key) -> impl Iterator<Item = (&Key, &Row, &Dot)> {
        let table = first.table();
        self.rows.range(first..).take_while(move |(k, _)| k.table() == table).map(|(k, (r, d))| (k, r, d))
    }

    /// Rows whose last change is beyond the given versions.
    pub fn changes_after<'a>(
        &'a self, theirs: &'a BTreeMap<u64, u64>,
    ) -> impl Iterator<Item = (&'a Key, &'a Row, &'a Dot)> {
        self.versions.keys().flat_map(move |origin| {
            let known = theirs.get(origin).copied().unwrap_or(0);
            let from = Dot { origin: *origin, serial: known + 1 };
            let to = Dot { origin: *origin, serial: u64::MAX };
            self.dots.range(from..=to).map(|(dot, key)| (key, &self.rows[key].0, dot))
        })
    }

    pub fn digest(&self, table: Table, which: usize) -> u64 {
        self.digests.get(&(table, which)).copied().unwrap_or(0)
    }

    /// The digest of a whole table.
    pub fn table_digest(&self, table: Table) -> u64 {
        (0..RANGES).fold(self.len(table) as u64, |sum, r| {
            sum.rotate_left(5).wrapping_mul(0x9e37_79b9) ^ self.digest(table, r)
        })
    }

    fn insert(&mut self, key: Key, row: Row, dot: Dot) {
        let at = (key.table(), range_of(&key));
        let digest = self.digests.entry(at).or_default();
        if let Some((old, old_dot)) = self.rows.insert(key, (row, dot)) {
            *digest ^= row_hash(&key, &old);
            self.dots.remove(&old_dot);
        } else {
            *self.sizes.entry(at.0).or_default() += 1;
        }
        *digest ^= row_hash(&key, &row);
        self.dots.insert(dot, key);
    }

    fn next_dot(&mut self) -> Dot {
        self.serial += 1;
        self.versions.insert(self.origin, self.serial);
        Dot { origin: self.origin, serial: self.serial }
    }

    /// Applies a local change; returns whether it changed anything.
    pub fn update(&mut self, key: Key, row: Row) -> bool {
        if !row.fits(&key) || !self.rows.contains_key(&key) && self.len(key.table()) >= max_rows(key.table())
        {
            return false;
        }
        let joined = self.get(&key).map_or(row, |ours| ours.join(row));
        if self.get(&key) == Some(&joined) {
            return false;
        }
        let dot = self.next_dot();
        self.insert(key, joined, dot);
        true
    }

    /// Merges another front's row. Versions are not advanced here, as a delta counts only once it is complete.
    pub fn merge(&mut self, key: Key, row: Row, dot: Dot) -> MergeOutcome {
        if !row.fits(&key) {
            return MergeOutcome::Rejected;
        }
        // Only this instance may change its own counts: if a peer holds greater ones, they are published again with a higher
        // serial.
        if let (true, Row::Count(theirs)) = (key.origin() == Some(self.origin), row) {
            let ours = self.get(&key).copied();
            if ours.is_none_or(|ours| ours.join(row) != ours) {
                let Row::Count(mine) = ours.unwrap_or(Row::Count(Count::default())) else {
                    return MergeOutcome::Rejected;
                };
                let dot = self.next_dot();
                self.insert(key, Row::Count(Count { serial: theirs.serial + 1, ..mine }), dot);
                return MergeOutcome::Conflict;
            }
        }
        let Some((ours, our_dot)) = self.rows.get(&key).copied() else {
            if self.len(key.table()) >= max_rows(key.table()) {
                return MergeOutcome::Rejected;
            }
            self.insert(key, row, dot);
            return MergeOutcome::Changed;
        };
        let joined = ours.join(row);
        if dot == our_dot && row != ours {
            // The rows are joined nevertheless; a new local dot distributes the result to all.
            let dot = self.next_dot();
            self.insert(key, joined, dot);
            return MergeOutcome::Conflict;
        }
        if joined == ours {
            return if row == ours { MergeOutcome::Same } else { MergeOutcome::Stale };
        }
        if joined == row {
            self.insert(key, row, dot);
        } else {
            let dot = self.next_dot();
            self.insert(key, joined, dot);
        }
        MergeOutcome::Changed
    }

    /// Records that all changes up to these versions are present.
    pub fn advance_versions(&mut self, versions: &BTreeMap<u64, u64>) {
        for (origin, serial) in versions {
            if *origin == self.origin {
                continue;
            }
            if self.versions.len() >= MAX_ORIGINS && !self.versions.contains_key(origin) {
                continue;
            }
            let known = self.versions.entry(*origin).or_default();
            *known = (*known).max(*serial);
        }
    }

    /// Removes a row for good. The caller must know that no peer can bring it back (see `Replica::retire_origin`).
    pub fn remove(&mut self, key: &Key) {
        if let Some((row, dot)) = self.rows.remove(key) {
            let at = (key.table(), range_of(key));
            *self.digests.entry(at).or_default() ^= row_hash(key, &row);
            *self.sizes.entry(at.0).or_default() -= 1;
            self.dots.remove(&dot);
        }
    }

    /// Changes the content of a row under its dot, like a flipped bit. For tests of the detection.
    #[doc(hidden)]
    pub fn corrupt(&mut self, key: &Key, row: Row) {
        if let Some((_, dot)) = self.rows.get(key).copied() {
            self.insert(*key, row, dot);
        }
    }
}
