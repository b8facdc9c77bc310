//! The Mann–Whitney U test over histograms; arithmetic without decisions.

/// Sum of rank-sum tests. Each method, load class and front is ranked on its own, so that only comparable
/// outcomes are compared.
#[derive(Clone, Copy, Default)]
pub struct RankSum {
    /// U minus its expected value: above 0 if the new side is slower.
    pub excess: f64,
    pub variance: f64,
    /// Number of pairs of a new and an earlier outcome that were compared.
    pub pairs: f64,
}

impl RankSum {
    /// Ranks pairs of histograms (new, earlier) with ascending buckets; ties share the mean rank. A pair
    /// with an empty side contributes nothing.
    pub fn of_pairs<'a, H: AsRef<[u32]> + 'a>(pairs: impl Iterator<Item = (&'a H, &'a H)>) -> RankSum {
        pairs.fold(RankSum::default(), |sum, (new, old)| sum.plus(new.as_ref(), old.as_ref()))
    }

    fn plus(self, new: &[u32], old: &[u32]) -> RankSum {
        let total = |histogram: &[u32]| f64::from(histogram.iter().sum::<u32>());
        let (n, m) = (total(new), total(old));
        if n == 0.0 || m == 0.0 {
            return self;
        }
        let (mut below, mut ranks) = (0.0, 0.0);
        for (a, b) in new.iter().zip(old) {
            let tied = f64::from(a + b);
            ranks += f64::from(*a) * (below + (tied + 1.0) / 2.0);
            below += tied;
        }
        let u = ranks - n * (n + 1.0) / 2.0;
        RankSum {
            excess: self.excess + u - n * m / 2.0,
            variance: self.variance + n * m * (n + m + 1.0) / 12.0,
            pairs: self.pairs + n * m,
        }
    }

    /// Standard deviations above the expected value.
    pub fn z(self) -> f64 {
        self.excess / self.variance.max(1e-9).sqrt()
    }

    /// By how much the probability that the new side is slower exceeds one half, from -0.5 to 0.5.
    pub fn effect_size(self) -> f64 {
        self.excess / self.pairs.max(1.0)
    }

    /// The components in the order of the note format.
    pub fn to_array(self) -> [f64; 3] {
        [self.excess, self.variance, self.pairs]
    }
}

impl From<[f64; 3]> for RankSum {
    fn from([excess, variance, pairs]: [f64; 3]) -> RankSum {
        RankSum { excess, variance, pairs }
    }
}
