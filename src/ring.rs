//! Two plain helpers of the module, without a decision: chance, and buckets of time in a ring.
use crate::interface::Ns;

/// Multiply-with-carry.
#[derive(Default)]
pub struct Chance(pub u64);

impl Chance {
    pub fn below(&mut self, n: usize) -> usize {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        // Spans in nanoseconds go beyond 32 bits: 64 would run over, and long waits come out short.
        ((u128::from(self.0 & 0xffff_ffff) * n as u128) >> 32) as usize
    }

    /// Above 0, at most 1.
    pub fn part(&mut self) -> f64 {
        (self.below(1 << 20) + 1) as f64 / f64::from(1 << 20)
    }
}

/// Buckets of time, used again in a ring; the newest one is still filling. They are made at first use: most of a
/// large fleet's machines are met by few fronts.
pub struct Ring<T> {
    width: Ns,
    newest: i64,
    size: usize,
    pub cells: Vec<T>,
}

impl<T: Clone + Default> Ring<T> {
    pub fn new(width: Ns, cells: usize) -> Self {
        Ring { width: width.max(1), newest: i64::MIN / 2, size: cells, cells: Vec::new() }
    }

    /// The bucket of `now`; those that were skipped come up empty.
    pub fn at(&mut self, now: Ns) -> &mut T {
        let (bucket, size) = (now.div_euclid(self.width), self.size as i64);
        if self.cells.is_empty() {
            self.cells = vec![T::default(); self.size];
        }
        for b in (self.newest + 1).max(bucket + 1 - size)..=bucket {
            self.cells[b.rem_euclid(size) as usize] = T::default();
        }
        self.newest = self.newest.max(bucket);
        &mut self.cells[self.newest.rem_euclid(size) as usize]
    }

    /// The bucket of a time gone by, if it is still kept.
    pub fn then(&mut self, at: Ns) -> Option<&mut T> {
        let (bucket, size) = (at.div_euclid(self.width), self.size as i64);
        (!self.cells.is_empty() && bucket > self.newest - size)
            .then(|| &mut self.cells[bucket.rem_euclid(size) as usize])
    }

    /// The newest `n` buckets, that of `now` among them.
    pub fn last(&self, now: Ns, n: i64) -> impl Iterator<Item = &T> {
        let (bucket, size) = (now.div_euclid(self.width), self.size as i64);
        let kept = (bucket - n).max(self.newest - size) + 1..=bucket.min(self.newest);
        kept.map(move |b| &self.cells[b.rem_euclid(size) as usize])
    }
}
