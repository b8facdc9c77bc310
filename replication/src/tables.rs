//! The tables, their rows, and how rows of one key join.
//!
//! | table | what acting on an old copy costs |
//! | --- | --- |
//! | builds | picks at a build that was withdrawn, within the cap that the desk told this front itself |
//! | machines | a pick at a machine that drains, until this front's own watch tells it |
//! | bindings | nothing while the table is whole; an unknown key counts as bound before that |
//! | evidence | a later verdict |
//! | spent | a tenant's share, not more than what it would have had without |
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Table {
    Builds,
    Machines,
    Bindings,
    Evidence,
    Spent,
}

pub const TABLES: [Table; 5] =
    [Table::Builds, Table::Machines, Table::Bindings, Table::Evidence, Table::Spent];

/// A key of any table, in one order: tables one after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    Build(u32),
    /// The hash of a machine's name.
    Machine(u64),
    Bound(u64),
    /// Of one life of one front: build and method.
    Seen {
        origin: u64,
        build: u32,
        method: u16,
    },
    /// Of one life of one front: tenant's hash, and window.
    Spent {
        origin: u64,
        tenant: u64,
        window: u32,
    },
}

impl Key {
    pub fn table(&self) -> Table {
        match self {
            Key::Build(_) => Table::Builds,
            Key::Machine(_) => Table::Machines,
            Key::Bound(_) => Table::Bindings,
            Key::Seen { .. } => Table::Evidence,
            Key::Spent { .. } => Table::Spent,
        }
    }

    /// The life that alone may count in this row.
    pub fn origin(&self) -> Option<u64> {
        match self {
            Key::Seen { origin, .. } | Key::Spent { origin, .. } => Some(*origin),
            _ => None,
        }
    }

    pub fn least(table: Table) -> Key {
        match table {
            Table::Builds => Key::Build(0),
            Table::Machines => Key::Machine(0),
            Table::Bindings => Key::Bound(0),
            Table::Evidence => Key::Seen { origin: 0, build: 0, method: 0 },
            Table::Spent => Key::Spent { origin: 0, tenant: 0, window: 0 },
        }
    }

    /// As a word for a place to go on from.
    pub fn write(&self) -> String {
        postcard::to_stdvec(self).unwrap_or_default().iter().map(|b| format!("{b:02x}")).collect()
    }

    pub fn read(word: &str) -> Option<Key> {
        if word.len() > 80 || !word.is_ascii() {
            return None;
        }
        let byte = |i: usize| u8::from_str_radix(word.get(2 * i..2 * i + 2)?, 16).ok();
        let bytes: Vec<u8> = (0..word.len().div_ceil(2)).map(byte).collect::<Option<_>>()?;
        let (key, rest) = postcard::take_from_bytes(&bytes).ok()?;
        rest.is_empty().then_some(key)
    }

    /// FNV: the same at every front and in every version.
    pub fn hash(&self) -> u64 {
        let mut hash = Fnv::default();
        Hash::hash(self, &mut hash);
        hash.finish()
    }
}

/// Spread at the end, so that all bits of the key tell in the high ones.
pub struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    fn finish(&self) -> u64 {
        let mut x = self.0;
        x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        x ^ (x >> 33)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    OnTrial,
    Released,
}

/// A build: withdrawn absorbs all; else what the desk told later counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Build {
    pub withdrawn: bool,
    /// The desk's term, and its serial therein.
    pub term: u64,
    pub serial: u64,
    pub phase: Phase,
    pub stage: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Up,
    Draining,
    Gone,
}

/// A machine: the later run counts; within it up, draining, gone; and whether it was seen failing to come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    pub run: u64,
    pub state: State,
    pub failing: bool,
}

/// A count of one origin: its own serial tells which is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Count {
    pub serial: u64,
    pub all: u64,
    pub bad: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Row {
    Build(Build),
    Machine(Machine),
    /// The two newest builds that answered the key; the second counts where the first has been withdrawn.
    Bound([u32; 2]),
    Count(Count),
}

impl Row {
    /// Does a row of this kind belong under the key, and is it one that can be?
    pub fn fits(&self, key: &Key) -> bool {
        match (key, self) {
            (Key::Build(_), Row::Build(_)) | (Key::Machine(_), Row::Machine(_)) => true,
            (Key::Bound(_), Row::Bound([new, old])) => new > old,
            (Key::Seen { .. } | Key::Spent { .. }, Row::Count(c)) => c.bad <= c.all,
            _ => false,
        }
    }

    /// The join of two rows of one key.
    pub fn join(self, other: Row) -> Row {
        match (self, other) {
            (Row::Build(a), Row::Build(b)) => {
                let order = |x: &Build| (x.term, x.serial, x.phase, x.stage);
                let later = if order(&b) > order(&a) { b } else { a };
                Row::Build(Build { withdrawn: a.withdrawn || b.withdrawn, ..later })
            }
            (Row::Machine(a), Row::Machine(b)) => {
                if a.run == b.run {
                    let state = a.state.max(b.state);
                    Row::Machine(Machine { run: a.run, state, failing: a.failing || b.failing })
                } else {
                    Row::Machine(if b.run > a.run { b } else { a })
                }
            }
            (Row::Bound(a), Row::Bound(b)) => {
                let mut all = [a[0], a[1], b[0], b[1]];
                all.sort_unstable_by(|x, y| y.cmp(x));
                let first = all[0];
                let second = all.into_iter().find(|x| *x < first).unwrap_or(0);
                Row::Bound([first, second])
            }
            // One origin never gives a serial twice; where it has all the same (a lying disk, a restored folder), all
            // agree on the greater.
            (Row::Count(a), Row::Count(b)) => Row::Count(a.max(b)),
            // Rows that don't fit their key are not let in.
            (a, _) => a,
        }
    }
}
