//! Counts of outcomes, and the note that carries them to peers; no decisions.
use std::collections::BTreeMap;

/// Picks and failures.
pub type Count = [u32; 2];

/// Adds with saturation: counts reported by others may be arbitrarily large and must not wrap around.
pub fn add_counts(a: Count, b: Count) -> Count {
    [a[0].saturating_add(b[0]), a[1].saturating_add(b[1])]
}

pub fn sum_counts<'a>(counts: impl Iterator<Item = &'a Count>) -> Count {
    counts.fold([0, 0], |sum, c| add_counts(sum, *c))
}

pub fn failure_rate(c: Count) -> f64 {
    f64::from(c[1]) / f64::from(c[0].max(1))
}

/// Counts by row: all picks, disputed answers, answers of warm machines after the soft deadline, then one
/// row per method; surplus methods share the last row.
pub const ROWS: usize = 9;
pub const ALL: usize = 0;
pub const DISPUTES: usize = 1;
pub const LATE: usize = 2;
pub type Counts = [Count; ROWS];

pub fn method_row(method: usize) -> usize {
    (method + 3).min(ROWS - 1)
}

pub fn merge_rows(a: Counts, b: &Counts) -> Counts {
    std::array::from_fn(|row| add_counts(a[row], b[row]))
}

/// Counts of one or several fronts. `values` holds picks by side and row, followed by three rank tests of
/// latencies: new against earlier build; earlier build against the time before the trial; earlier build
/// against the time when the trial had a smaller share. `failures` holds failures by machine tag and row.
#[derive(Clone, Default)]
pub struct Tally {
    pub values: [f32; VALUES],
    pub failures: BTreeMap<(u32, usize), u32>,
}

pub const VALUES: usize = 2 * ROWS + 9;

impl Tally {
    /// Adds the counts of one machine.
    pub fn add_machine(&mut self, side: usize, tag: u32, counts: Counts) {
        for (row, [picks, failed]) in counts.into_iter().enumerate() {
            self.values[ROWS * side + row] += picks as f32;
            if failed > 0 {
                *self.failures.entry((tag, row)).or_default() += failed;
            }
        }
    }

    pub fn add(&mut self, other: &Tally) {
        self.values.iter_mut().zip(&other.values).for_each(|(a, b)| *a += b);
        other.failures.iter().for_each(|(at, n)| *self.failures.entry(*at).or_default() += n);
    }

    /// The three components of a rank test.
    pub fn rank_test(&self, i: usize) -> [f64; 3] {
        std::array::from_fn(|j| self.values[2 * ROWS + 3 * i + j].into())
    }

    /// Encodes a note: the build, the upper 16 bits of each value, then the machines that failed.
    pub fn encode(&self, build: u32) -> Vec<u8> {
        let values = self.values.iter().map(|w| (w.to_bits() >> 16) as u16);
        let mut note: Vec<u8> = [build as u16].into_iter().chain(values).flat_map(u16::to_be_bytes).collect();
        for ((tag, row), n) in self.failures.iter().take((256 - note.len()) / 4) {
            note.extend([(tag >> 8) as u8, *tag as u8, *row as u8, (*n).min(255) as u8]);
        }
        note
    }

    pub fn decode(note: &[u8]) -> Option<(u32, Tally)> {
        let (head, tail) = note.split_at_checked(2 + 2 * VALUES)?;
        let word = |b: &[u8]| u32::from(b[0]) << 8 | u32::from(b[1]);
        let values: [f32; VALUES] = std::array::from_fn(|i| f32::from_bits(word(&head[2 * i + 2..]) << 16));
        // An infinite value would persist in every sum it is added to.
        if !values.iter().all(|w| w.is_finite()) {
            return None;
        }
        let failures = tail.chunks_exact(4).map(|b| ((word(b), b[2].into()), b[3].into())).collect();
        Some((word(head), Tally { values, failures }))
    }
}
