//! The pseudo-random number generator of a front.

/// A multiply-with-carry generator. The inner value is its state; it must not be 0.
#[derive(Default)]
pub struct Rng(pub u64);

impl Rng {
    /// A number below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        // Durations in nanoseconds exceed 32 bits, so the product needs 128: in 64 it overflowed, and long
        // waits came out short.
        ((u128::from(self.0 & 0xffff_ffff) * n as u128) >> 32) as usize
    }

    /// A number above 0 and at most 1.
    pub fn fraction(&mut self) -> f64 {
        (self.below(1 << 20) + 1) as f64 / f64::from(1 << 20)
    }
}
