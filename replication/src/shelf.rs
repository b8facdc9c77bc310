//! All rows of one front, with the dot of each one's last change, versions, and digests by range.
use crate::tables::{Count, Fnv, Key, Row, Table};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Ranges of a table's digest, by the high bits of the key's hash.
pub const RANGES: usize = 64;
/// Most rows of each table: bindings as the module remembers them, with room for those of builds that go.
pub fn most(table: Table) -> usize {
    match table {
        Table::Builds => 4_096,
        Table::Machines => 65_536,
        Table::Bindings => 1 << 20,
        Table::Evidence => 1 << 18,
        Table::Spent => 1 << 18,
    }
}
/// Most origins that a version vector names.
pub const MOST_ORIGINS: usize = 20_000;

/// Which change of which life made a row what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dot {
    pub origin: u64,
    pub serial: u64,
}

/// What came of a row that was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Changed ours.
    New,
    Same,
    /// Ours joins to more: the other side lacks it.
    Less,
    /// The same dot with another content: somebody's copy lies.
    Differs,
    /// Does not fit, or no room.
    Refused,
}

#[derive(Default)]
pub struct Shelf {
    life: u64,
    serial: u64,
    rows: BTreeMap<Key, (Row, Dot)>,
    /// Rows by the dot of their last change.
    dots: BTreeMap<Dot, Key>,
    /// By origin: all its changes up to this are here, or overridden.
    pub versions: BTreeMap<u64, u64>,
    digests: BTreeMap<(Table, usize), u64>,
    sizes: BTreeMap<Table, usize>,
}

/// Which range of its table's digest a key falls into.
pub fn range(key: &Key) -> usize {
    (key.hash() >> 58) as usize
}

/// One hash over both: of key and row apart, xored, two rows that have changed places would leave the digest as it was.
fn print(key: &Key, row: &Row) -> u64 {
    let mut hash = Fnv::default();
    Hash::hash(key, &mut hash);
    Hash::hash(row, &mut hash);
    hash.finish()
}

impl Shelf {
    pub fn new(life: u64) -> Shelf {
        Shelf { life, ..Shelf::default() }
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
            .range(Key::least(table)..)
            .take_while(move |(k, _)| k.table() == table)
            .map(|(k, (r, _))| (k, r))
    }

    /// Rows of a table from a key on, with their dots.
    pub fn from(&self, first: Key) -> impl Iterator<Item = (&Key, &Row, &Dot)> {
        let table = first.table();
        self.rows.range(first..).take_while(move |(k, _)| k.table() == table).map(|(k, (r, d))| (k, r, d))
    }

    /// Rows whose last change is beyond the other side's versions.
    pub fn beyond<'a>(
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

    /// One number for all of a table.
    pub fn whole(&self, table: Table) -> u64 {
        (0..RANGES).fold(self.len(table) as u64, |sum, r| {
            sum.rotate_left(5).wrapping_mul(0x9e37_79b9) ^ self.digest(table, r)
        })
    }

    fn put(&mut self, key: Key, row: Row, dot: Dot) {
        let at = (key.table(), range(&key));
        let digest = self.digests.entry(at).or_default();
        if let Some((old, old_dot)) = self.rows.insert(key, (row, dot)) {
            *digest ^= print(&key, &old);
            self.dots.remove(&old_dot);
        } else {
            *self.sizes.entry(at.0).or_default() += 1;
        }
        *digest ^= print(&key, &row);
        self.dots.insert(dot, key);
    }

    fn next(&mut self) -> Dot {
        self.serial += 1;
        self.versions.insert(self.life, self.serial);
        Dot { origin: self.life, serial: self.serial }
    }

    /// A change that this front makes itself; true where it changed anything.
    pub fn change(&mut self, key: Key, row: Row) -> bool {
        if !row.fits(&key) || !self.rows.contains_key(&key) && self.len(key.table()) >= most(key.table()) {
            return false;
        }
        let joined = self.get(&key).map_or(row, |ours| ours.join(row));
        if self.get(&key) == Some(&joined) {
            return false;
        }
        let dot = self.next();
        self.put(key, joined, dot);
        true
    }

    /// Another front's row. Versions are not advanced here: a delta counts once it is whole.
    pub fn take(&mut self, key: Key, row: Row, dot: Dot) -> Taken {
        if !row.fits(&key) {
            return Taken::Refused;
        }
        // This life's counts are nobody else's to tell: where somebody has them greater, they are told anew beyond that.
        if let (true, Row::Count(theirs)) = (key.origin() == Some(self.life), row) {
            let ours = self.get(&key).copied();
            if ours.is_none_or(|ours| ours.join(row) != ours) {
                let Row::Count(mine) = ours.unwrap_or(Row::Count(Count::default())) else {
                    return Taken::Refused;
                };
                let dot = self.next();
                self.put(key, Row::Count(Count { serial: theirs.serial + 1, ..mine }), dot);
                return Taken::Differs;
            }
        }
        let Some((ours, our_dot)) = self.rows.get(&key).copied() else {
            if self.len(key.table()) >= most(key.table()) {
                return Taken::Refused;
            }
            self.put(key, row, dot);
            return Taken::New;
        };
        let joined = ours.join(row);
        if dot == our_dot && row != ours {
            // The rule is the join all the same; a dot of our own tells everyone of what came of it.
            let dot = self.next();
            self.put(key, joined, dot);
            return Taken::Differs;
        }
        if joined == ours {
            return if row == ours { Taken::Same } else { Taken::Less };
        }
        if joined == row {
            self.put(key, row, dot);
        } else {
            let dot = self.next();
            self.put(key, joined, dot);
        }
        Taken::New
    }

    /// All changes up to these versions are here.
    pub fn advance(&mut self, versions: &BTreeMap<u64, u64>) {
        for (origin, serial) in versions {
            if *origin == self.life {
                continue;
            }
            if self.versions.len() >= MOST_ORIGINS && !self.versions.contains_key(origin) {
                continue;
            }
            let known = self.versions.entry(*origin).or_default();
            *known = (*known).max(*serial);
        }
    }

    /// Forgets a row for good, as its owner may where nobody can bring it back (see `Copies::forget`).
    pub fn forget(&mut self, key: &Key) {
        if let Some((row, dot)) = self.rows.remove(key) {
            let at = (key.table(), range(key));
            *self.digests.entry(at).or_default() ^= print(key, &row);
            *self.sizes.entry(at.0).or_default() -= 1;
            self.dots.remove(&dot);
        }
    }

    /// Spoils a row's content under its dot, as a bad bit would: for tests of what finds that.
    #[doc(hidden)]
    pub fn spoil(&mut self, key: &Key, row: Row) {
        if let Some((_, dot)) = self.rows.get(key).copied() {
            self.put(*key, row, dot);
        }
    }
}
