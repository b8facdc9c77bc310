//! Selects the server to connect to and the time of the attempt: in order of preference, with backoff and jitter.
//! The binds per second of all fronts together are limited for when a directory comes back: each front picks a
//! random time in a window that is long enough for all of them.
use rand::rngs::StdRng;
use rand::Rng;
use rockpick_net::{Ns, SEC};

/// The first and the maximum backoff after all servers have failed. The maximum is chosen so that changes take
/// effect within a minute after a directory comes back.
const FIRST_BACKOFF: Ns = SEC / 2;
const MAX_BACKOFF: Ns = 20 * SEC;
/// Time on a server that is not the preferred one until the preferred one is tried again.
const FAIL_BACK_DELAY: Ns = 300 * SEC;

#[derive(Clone, Debug)]
pub struct ServerSelector {
    servers: usize,
    /// Maximum binds per second of all fronts together.
    binds_a_second: f64,
    fronts: usize,
    /// Index of the server to try next, or in use.
    pub server: usize,
    failures: usize,
    backoff: Ns,
    /// When the next attempt is due; `Ns::MAX` while a server is in use.
    pub due_at: Ns,
    fail_back_at: Ns,
}

impl ServerSelector {
    /// The first attempt is delayed at random like any other, as the fronts of a site may start together.
    pub fn new(
        now: Ns, servers: usize, fronts: usize, binds_a_second: f64, rng: &mut StdRng,
    ) -> ServerSelector {
        let mut selector = ServerSelector {
            servers: servers.max(1),
            binds_a_second: binds_a_second.max(0.1),
            fronts: fronts.max(1),
            server: 0,
            failures: 0,
            backoff: FIRST_BACKOFF,
            due_at: 0,
            fail_back_at: Ns::MAX,
        };
        selector.due_at = now + selector.random_delay(0, rng);
        selector
    }

    /// The time in which all fronts can connect at the maximum rate.
    fn window(&self) -> Ns {
        (self.fronts as f64 / self.binds_a_second * SEC as f64) as Ns
    }

    fn random_delay(&self, wait: Ns, rng: &mut StdRng) -> Ns {
        let span = self.window().max(wait);
        // Full jitter: uniform over the whole span.
        if span == 0 {
            0
        } else {
            rng.random_range(0..span)
        }
    }

    /// The server to dial, if an attempt is due.
    pub fn next_dial(&mut self, now: Ns) -> Option<usize> {
        if self.due_at > now {
            return None;
        }
        self.due_at = Ns::MAX;
        Some(self.server)
    }

    /// The server in use has completed a refresh.
    pub fn succeeded(&mut self, now: Ns) {
        (self.failures, self.backoff) = (0, FIRST_BACKOFF);
        self.fail_back_at = if self.server == 0 { Ns::MAX } else { now + FAIL_BACK_DELAY };
    }

    /// The server in use has failed: continues with the next one, or with a backoff if all have failed. The next
    /// server is also tried after a random delay, as all fronts may have lost the former one at the same time.
    pub fn failed(&mut self, now: Ns, rng: &mut StdRng) {
        self.failures += 1;
        self.fail_back_at = Ns::MAX;
        let wait = if self.failures >= self.servers {
            self.failures = 0;
            self.server = 0;
            let wait = self.backoff;
            self.backoff = (2 * wait).min(MAX_BACKOFF);
            wait
        } else {
            self.server = (self.server + 1) % self.servers;
            0
        };
        self.due_at = now + self.random_delay(wait, rng);
    }

    /// Returns true if it is time to leave the server in use for the preferred one.
    pub fn fail_back(&mut self, now: Ns, rng: &mut StdRng) -> bool {
        if self.fail_back_at > now {
            return false;
        }
        (self.server, self.failures, self.fail_back_at) = (0, 0, Ns::MAX);
        self.due_at = now + self.random_delay(0, rng);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    /// A directory with 120 fronts is unavailable for a minute: once it is back, binds in each second must stay near
    /// the limit.
    #[test]
    fn reconnects_after_an_outage_are_spread() {
        let mut rng = StdRng::seed_from_u64(3);
        let mut fronts: Vec<ServerSelector> =
            (0..120).map(|_| ServerSelector::new(0, 2, 120, 20.0, &mut rng)).collect();
        let available_at = 60 * SEC;
        let mut binds = vec![0; 200];
        let mut last = 0;
        for step in 0..2_000 {
            let now = step * SEC / 10;
            for s in &mut fronts {
                if s.next_dial(now).is_some() {
                    if now < available_at {
                        s.failed(now, &mut rng);
                    } else {
                        binds[(now / SEC) as usize] += 1;
                        last = last.max(now);
                        s.succeeded(now);
                    }
                }
            }
        }
        assert_eq!(binds.iter().sum::<i32>(), 120);
        assert!(binds.iter().all(|b| *b <= 30), "{binds:?}");
        assert!(last < available_at + MAX_BACKOFF + 7 * SEC, "{}", last / SEC);
    }

    #[test]
    fn servers_are_tried_in_order_with_fail_back_to_the_first() {
        let mut rng = StdRng::seed_from_u64(3);
        let mut s = ServerSelector::new(0, 3, 1, 1e6, &mut rng);
        assert_eq!(s.next_dial(SEC), Some(0));
        s.failed(SEC, &mut rng);
        assert_eq!(s.next_dial(SEC + SEC / 10), Some(1));
        s.succeeded(2 * SEC);
        assert!(!s.fail_back(3 * SEC, &mut rng));
        assert!(s.fail_back(2 * SEC + FAIL_BACK_DELAY, &mut rng) && s.server == 0);
        for _ in 0..3 {
            let now = s.due_at;
            s.next_dial(now).unwrap();
            s.failed(now, &mut rng);
        }
        assert!(s.server == 0 && s.due_at != Ns::MAX);
    }
}
