//! How often a connection's RPCs were pushed back lately. One that asks on regardless, hundreds of times a second, would take
//! whatever room becomes free, so that other clients get none.
use rockpick::Ns;
use rockpick_net::SEC;

/// The time over which pushbacks are counted.
const WINDOW: Ns = SEC;
/// A connection with more pushbacks than this within the window is insistent. Clients that wait as long as they are told
/// to stay far below.
const MAX_PUSHBACKS: u32 = 32;

/// Counts in the present window and in the one before it.
#[derive(Default)]
pub struct Pushbacks {
    window: i64,
    present: u32,
    previous: u32,
}

impl Pushbacks {
    fn move_to(&mut self, window: i64) {
        self.previous = if window == self.window + 1 { self.present } else { 0 };
        (self.window, self.present) = (window, 0);
    }

    pub fn record(&mut self, now: Ns) {
        let window = now / WINDOW;
        if window != self.window {
            self.move_to(window);
        }
        self.present = self.present.saturating_add(1);
    }

    /// Number of pushbacks within about the last window.
    pub fn recent(&self, now: Ns) -> u32 {
        let left_of_window = WINDOW - now % WINDOW;
        let (present, previous) = match now / WINDOW - self.window {
            0 => (self.present, self.previous),
            1 => (0, self.present),
            _ => (0, 0),
        };
        let part_of_previous = f64::from(previous) * left_of_window as f64 / WINDOW as f64;
        present.saturating_add(part_of_previous as u32)
    }

    /// Whether there were more pushbacks within the last window than a client causes that waits as it is told.
    pub fn are_excessive(&self, now: Ns) -> bool {
        self.recent(now) > MAX_PUSHBACKS
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rockpick_net::MS;

    #[test]
    fn many_pushbacks_within_a_second_are_excessive_until_a_while_has_passed() {
        let mut pushbacks = Pushbacks::default();
        for i in 0..100 {
            pushbacks.record(5 * SEC + i * MS);
        }
        let excessive =
            [100, 1_000, 1_600, 1_700, 2_000, 60_000].map(|ms| pushbacks.are_excessive(5 * SEC + ms * MS));
        assert_eq!(excessive, [true, true, true, false, false, false]);
    }

    #[test]
    fn a_client_that_comes_again_as_it_is_told_is_not_insistent() {
        let mut pushbacks = Pushbacks::default();
        for i in 0..600 {
            pushbacks.record(i * 40 * MS);
            assert!(!pushbacks.are_excessive(i * 40 * MS));
        }
    }
}
