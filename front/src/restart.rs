//! The rules for a front whose memory was lost in a restart, and for RPCs with too little time left. No I/O,
//! no clock.
//!
//! The module counts picks at a build on trial over a window, and a restart empties that count. Picks made
//! before the restart may lie in the same window (rule 5 applies to the front, not to its process), so the
//! cap counts as 0 until a whole window has passed. The price is one window of trial traffic at one front per
//! restart. This holds for restarts in mid-window, also for several in a row. It may delay a stage if most
//! fronts restart more often than the window is long, as the trial then sees little traffic.
use rockpick::{Ns, Phase, RolloutStatus};

/// The shortest pick of the module, its `Post::step`: five milliseconds on sockets.
const SHORTEST_PICK: Ns = 5_000_000;

/// Whether an RPC with this much time left can still be answered in time. If hardly more than the answer
/// margin is left, it is pushed back without being taken: a pick for it would end after its client has given
/// up, and so would the answer.
///
/// ```
/// assert!(rockpick_front::restart::can_answer_in_time(60_000_000, 40_000_000));
/// assert!(!rockpick_front::restart::can_answer_in_time(44_000_000, 40_000_000));
/// ```
pub fn can_answer_in_time(left: Ns, margin: Ns) -> bool {
    left > margin + SHORTEST_PICK
}

/// Limits the received stage for a front that started at `started`. Also returns when the stage must be
/// applied again.
///
/// ```
/// use rockpick::{Phase, RolloutStatus};
/// let status = RolloutStatus { build: 2, stage: 0, phase: Phase::OnTrial, cap: 0.14, since: 0 };
/// let (limited, due) = rockpick_front::restart::limit_cap(status, 1_000, 2_000, 5_000);
/// assert_eq!((limited.cap, due), (0.0, Some(6_000)));
/// assert_eq!(rockpick_front::restart::limit_cap(status, 1_000, 6_000, 5_000).0.cap, 0.14);
/// ```
pub fn limit_cap(status: RolloutStatus, started: Ns, now: Ns, window: Ns) -> (RolloutStatus, Option<Ns>) {
    if now - started >= window || status.phase != Phase::OnTrial {
        return (status, None);
    }
    (RolloutStatus { cap: 0.0, ..status }, Some(started + window))
}
