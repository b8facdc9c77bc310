//! rockpick supervises software updates from a tier of fronts: each front routes RPCs between the builds of a
//! fleet and votes on the build on trial. [`Front`] (in `logic`) takes every decision and acts through
//! [`Actions`]; `interface` holds the types shared with callers, and nothing else.
//!
//! ```
//! use rockpick::{RankSum, LatencyHistogram};
//! let (mut new, mut old) = (LatencyHistogram::default(), LatencyHistogram::default());
//! for ms in 0..30 {
//!     old.add(Some((50 + ms) * 1_000_000));
//!     new.add(Some((90 + ms) * 1_000_000));
//! }
//! assert!(RankSum::of_pairs([(&new, &old)].into_iter()).z() > 2.6);
//! ```
mod failure_odds;
mod interface;
mod latency_histogram;
mod logic;
mod rank_sum;
mod rng;
mod tally;
#[cfg(test)]
mod tests;
mod time_buckets;

pub use interface::*;
pub use latency_histogram::LatencyHistogram;
pub use logic::{deviates, Front, MAX_BOUND_KEYS};
pub use rank_sum::RankSum;
