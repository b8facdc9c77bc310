//! Which server to ask, and when: in order of preference, with backoff and jitter. What is bounded is how
//! many fronts come at once when a directory returns: each draws its time over a window in which all fronts
//! together make no more than so many binds a second.
use rand::rngs::StdRng;
use rand::Rng;
use rockpick_net::{Ns, SEC};

/// The first wait after all servers have failed, and the longest: changes are to be in force within a minute
/// of a directory's return.
const FIRST: Ns = SEC / 2;
const LONGEST: Ns = 20 * SEC;
/// On a server that is not the first choice: how long until a better one is tried again.
const BACK: Ns = 300 * SEC;

#[derive(Clone, Debug)]
pub struct Source {
    servers: usize,
    /// All fronts together make this many binds a second at most.
    binds_a_second: f64,
    fronts: usize,
    /// The server to be tried, or in use.
    pub at: usize,
    tried: usize,
    wait: Ns,
    /// When the next try is due; never, while one is in use.
    pub due: Ns,
    back: Ns,
}

impl Source {
    /// The first try is spread like any other: fronts of a site start together.
    pub fn new(now: Ns, servers: usize, fronts: usize, binds_a_second: f64, chance: &mut StdRng) -> Source {
        let mut source = Source {
            servers: servers.max(1),
            binds_a_second: binds_a_second.max(0.1),
            fronts: fronts.max(1),
            at: 0,
            tried: 0,
            wait: FIRST,
            due: 0,
            back: Ns::MAX,
        };
        source.due = now + source.draw(0, chance);
        source
    }

    /// The window over which all fronts together keep to their rate.
    fn window(&self) -> Ns {
        (self.fronts as f64 / self.binds_a_second * SEC as f64) as Ns
    }

    fn draw(&self, wait: Ns, chance: &mut StdRng) -> Ns {
        let span = self.window().max(wait);
        // Full jitter: evenly over all of it.
        if span == 0 {
            0
        } else {
            chance.random_range(0..span)
        }
    }

    /// Is it time to dial? The server to dial.
    pub fn dial(&mut self, now: Ns) -> Option<usize> {
        if self.due > now {
            return None;
        }
        self.due = Ns::MAX;
        Some(self.at)
    }

    /// The server in use answers as it should.
    pub fn good(&mut self, now: Ns) {
        (self.tried, self.wait) = (0, FIRST);
        self.back = if self.at == 0 { Ns::MAX } else { now + BACK };
    }

    /// The server in use has failed: the next one, after a wait once all have. One that was just lost by
    /// all fronts at once is no reason to come to the next one at once either.
    pub fn failed(&mut self, now: Ns, chance: &mut StdRng) {
        self.tried += 1;
        self.back = Ns::MAX;
        let wait = if self.tried >= self.servers {
            self.tried = 0;
            self.at = 0;
            let wait = self.wait;
            self.wait = (2 * wait).min(LONGEST);
            wait
        } else {
            self.at = (self.at + 1) % self.servers;
            0
        };
        self.due = now + self.draw(wait, chance);
    }

    /// Is it time to try a better server than the one in use?
    pub fn better(&mut self, now: Ns, chance: &mut StdRng) -> bool {
        if self.back > now {
            return false;
        }
        (self.at, self.tried, self.back) = (0, 0, Ns::MAX);
        self.due = now + self.draw(0, chance);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    /// A directory of 120 fronts is gone for a while and returns: binds in each second stay near the bound.
    #[test]
    fn a_return_is_not_met_by_all_at_once() {
        let mut chance = StdRng::seed_from_u64(3);
        let mut fronts: Vec<Source> = (0..120).map(|_| Source::new(0, 2, 120, 20.0, &mut chance)).collect();
        let back = 60 * SEC;
        let mut binds = vec![0; 200];
        let mut last = 0;
        for step in 0..2_000 {
            let now = step * SEC / 10;
            for s in &mut fronts {
                if s.dial(now).is_some() {
                    if now < back {
                        s.failed(now, &mut chance);
                    } else {
                        binds[(now / SEC) as usize] += 1;
                        last = last.max(now);
                        s.good(now);
                    }
                }
            }
        }
        assert_eq!(binds.iter().sum::<i32>(), 120);
        assert!(binds.iter().all(|b| *b <= 30), "{binds:?}");
        assert!(last < back + LONGEST + 7 * SEC, "{}", last / SEC);
    }

    #[test]
    fn servers_are_tried_in_their_order_and_the_first_again_later() {
        let mut chance = StdRng::seed_from_u64(3);
        let mut s = Source::new(0, 3, 1, 1e6, &mut chance);
        assert_eq!(s.dial(SEC), Some(0));
        s.failed(SEC, &mut chance);
        assert_eq!(s.dial(SEC + SEC / 10), Some(1));
        s.good(2 * SEC);
        assert!(!s.better(3 * SEC, &mut chance));
        assert!(s.better(2 * SEC + BACK, &mut chance) && s.at == 0);
        for _ in 0..3 {
            let now = s.due;
            s.dial(now).unwrap();
            s.failed(now, &mut chance);
        }
        assert!(s.at == 0 && s.due != Ns::MAX);
    }
}
