//! What a front may do whose memory was lost in a restart, and what it can't take. No I/O, no clock.
//!
//! The module counts picks at a build on trial over a window, and a restart empties that count. The picks of
//! the life before may stand in the same window (rule 5 speaks of the front, not of its process), so until
//! a whole window has passed the cap counts as 0. What it costs: one window of trial traffic at one front a
//! restart. It guards against restarts in mid-window, also in a row; it may delay a stage where most fronts
//! restart oftener than the window is long, as the trial then sees little traffic.
use rockpick::{Ns, Phase, Standing};

/// The module's shortest pick: its `Post::step`, five milliseconds on sockets.
const PICK: Ns = 5_000_000;

/// Can an RPC with so much time left still be answered in time? One that has hardly more than the way back takes
/// is pushed back untaken: a pick for it would end after its client has given up, and so would the answer.
///
/// ```
/// assert!(rockpick_front::restart::can_answer_in_time(60_000_000, 40_000_000));
/// assert!(!rockpick_front::restart::can_answer_in_time(44_000_000, 40_000_000));
/// ```
pub fn can_answer_in_time(left: Ns, margin: Ns) -> bool {
    left > margin + PICK
}

/// The news as a front may act on it that began at `born`, and when to be told again.
///
/// ```
/// use rockpick::{Phase, Standing};
/// let news = Standing { build: 2, stage: 0, phase: Phase::OnTrial, cap: 0.14, since: 0 };
/// let (held, again) = rockpick_front::restart::limit_cap(news, 1_000, 2_000, 5_000);
/// assert_eq!((held.cap, again), (0.0, Some(6_000)));
/// assert_eq!(rockpick_front::restart::limit_cap(news, 1_000, 6_000, 5_000).0.cap, 0.14);
/// ```
pub fn limit_cap(news: Standing, born: Ns, now: Ns, window: Ns) -> (Standing, Option<Ns>) {
    if now - born >= window || news.phase != Phase::OnTrial {
        return (news, None);
    }
    (Standing { cap: 0.0, ..news }, Some(born + window))
}
