//! Values by time, kept for a sliding window.
use crate::interface::Ns;

/// A ring buffer of fixed-width time buckets; the newest one is still being filled. The buckets are allocated
/// on first use, as each front meets only some of the machines of a large fleet.
pub struct TimeBuckets<T> {
    width: Ns,
    newest: i64,
    size: usize,
    pub buckets: Vec<T>,
}

impl<T: Clone + Default> TimeBuckets<T> {
    pub fn new(width: Ns, buckets: usize) -> Self {
        TimeBuckets { width: width.max(1), newest: i64::MIN / 2, size: buckets, buckets: Vec::new() }
    }

    /// The bucket of `now`, after clearing those that were skipped since the last call.
    pub fn current(&mut self, now: Ns) -> &mut T {
        let (bucket, size) = (now.div_euclid(self.width), self.size as i64);
        if self.buckets.is_empty() {
            self.buckets = vec![T::default(); self.size];
        }
        for b in (self.newest + 1).max(bucket + 1 - size)..=bucket {
            self.buckets[b.rem_euclid(size) as usize] = T::default();
        }
        self.newest = self.newest.max(bucket);
        &mut self.buckets[self.newest.rem_euclid(size) as usize]
    }

    /// The bucket of an earlier time, if it is still kept.
    pub fn bucket_at(&mut self, at: Ns) -> Option<&mut T> {
        let (bucket, size) = (at.div_euclid(self.width), self.size as i64);
        (!self.buckets.is_empty() && bucket > self.newest - size)
            .then(|| &mut self.buckets[bucket.rem_euclid(size) as usize])
    }

    /// The `n` newest buckets, including that of `now`, from the oldest on.
    pub fn recent(&self, now: Ns, n: i64) -> impl Iterator<Item = &T> {
        let (bucket, size) = (now.div_euclid(self.width), self.size as i64);
        let kept = (bucket - n).max(self.newest - size) + 1..=bucket.min(self.newest);
        kept.map(move |b| &self.buckets[b.rem_euclid(size) as usize])
    }
}
