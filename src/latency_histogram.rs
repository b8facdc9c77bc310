//! Histograms of pick latencies; no decisions.
use crate::interface::Ns;

const MS: f64 = 1e6;
/// Upper end of the first bucket.
const SHORTEST_MS: f64 = 4.0;
const BUCKETS_PER_DOUBLING: f64 = 3.0;
/// Buckets up to 5 s, and a last one for failures, which rank slowest.
const BUCKETS: usize = 32;

/// Counts of outcomes by latency, in logarithmic buckets.
#[derive(Clone, Default)]
pub struct LatencyHistogram([u32; BUCKETS]);

impl AsRef<[u32]> for LatencyHistogram {
    fn as_ref(&self) -> &[u32] {
        &self.0
    }
}

impl LatencyHistogram {
    /// Adds an outcome; `None` is a failure.
    pub fn add(&mut self, took: Option<Ns>) {
        self.0[took.map_or(BUCKETS - 1, Self::bucket)] += 1;
    }

    /// Outcomes in all buckets.
    pub fn count(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Sums several histograms bucket by bucket.
    pub fn sum<'a>(histograms: impl Iterator<Item = &'a LatencyHistogram>) -> LatencyHistogram {
        histograms.fold(LatencyHistogram::default(), |sum, other| {
            LatencyHistogram(std::array::from_fn(|i| sum.0[i] + other.0[i]))
        })
    }

    fn bucket(time: Ns) -> usize {
        let doublings = (time.max(1) as f64 / (SHORTEST_MS * MS)).log2();
        (doublings * BUCKETS_PER_DOUBLING).clamp(0.0, (BUCKETS - 2) as f64) as usize
    }
}
