//! What is counted, and the note that carries it to peers; no decision.
use std::collections::BTreeMap;

/// Picks and failures.
pub type Count = [u32; 2];

/// Counts told by others may be wild, and must not run over to small ones.
pub fn add(a: Count, b: Count) -> Count {
    [a[0].saturating_add(b[0]), a[1].saturating_add(b[1])]
}

pub fn sum<'a>(counts: impl Iterator<Item = &'a Count>) -> Count {
    counts.fold([0, 0], |sum, c| add(sum, *c))
}

pub fn share(c: Count) -> f64 {
    f64::from(c[1]) / f64::from(c[0].max(1))
}

/// Counts by row: all picks, disputed answers, answers of warm machines past the soft deadline, then a row a
/// method; methods beyond share the last row.
pub const ROWS: usize = 9;
pub const ALL: usize = 0;
pub const DISPUTES: usize = 1;
pub const LATE: usize = 2;
pub type Counts = [Count; ROWS];

pub fn row_of(method: usize) -> usize {
    (method + 3).min(ROWS - 1)
}

pub fn merge(a: Counts, b: &Counts) -> Counts {
    std::array::from_fn(|row| add(a[row], b[row]))
}

/// What one front or several have counted: picks by side and row, then three rank tests of times (new against
/// earlier; earlier against those before the trial, and those of a lesser share); failures by tag and row.
#[derive(Clone, Default)]
pub struct Tally {
    pub words: [f32; WORDS],
    pub failed: BTreeMap<(u32, usize), u32>,
}

pub const WORDS: usize = 2 * ROWS + 9;

impl Tally {
    /// Adds what was counted of one machine.
    pub fn count(&mut self, side: usize, tag: u32, counts: Counts) {
        for (row, [picks, failed]) in counts.into_iter().enumerate() {
            self.words[ROWS * side + row] += picks as f32;
            if failed > 0 {
                *self.failed.entry((tag, row)).or_default() += failed;
            }
        }
    }

    pub fn add(&mut self, other: &Tally) {
        self.words.iter_mut().zip(&other.words).for_each(|(a, b)| *a += b);
        other.failed.iter().for_each(|(at, n)| *self.failed.entry(*at).or_default() += n);
    }

    /// The three figures of a rank test.
    pub fn test(&self, i: usize) -> [f64; 3] {
        std::array::from_fn(|j| self.words[2 * ROWS + 3 * i + j].into())
    }

    /// A note: the build, the upper halves of the words, then machines that failed.
    pub fn note(&self, build: u32) -> Vec<u8> {
        let words = self.words.iter().map(|w| (w.to_bits() >> 16) as u16);
        let mut note: Vec<u8> = [build as u16].into_iter().chain(words).flat_map(u16::to_be_bytes).collect();
        for ((tag, row), n) in self.failed.iter().take((256 - note.len()) / 4) {
            note.extend([(tag >> 8) as u8, *tag as u8, *row as u8, (*n).min(255) as u8]);
        }
        note
    }

    pub fn read(note: &[u8]) -> Option<(u32, Tally)> {
        let (head, tail) = note.split_at_checked(2 + 2 * WORDS)?;
        let word = |b: &[u8]| u32::from(b[0]) << 8 | u32::from(b[1]);
        let words: [f32; WORDS] = std::array::from_fn(|i| f32::from_bits(word(&head[2 * i + 2..]) << 16));
        // One infinite word would stay in whatever it is added to.
        if !words.iter().all(|w| w.is_finite()) {
            return None;
        }
        let failed = tail.chunks_exact(4).map(|b| ((word(b), b[2].into()), b[3].into())).collect();
        Some((word(head), Tally { words, failed }))
    }
}
