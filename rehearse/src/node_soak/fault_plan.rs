//! The faults of a soak test, drawn from its seed.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Seeds that are multiples of this have crowds.
const CROWD_SEED_DIVISOR: u64 = 3;

/// How a machine behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Normal,
    /// Reads and never answers.
    Hangs,
    /// Closes the connection when a query arrives.
    Resets,
    /// Delays answers until the fault is over.
    Pauses,
    /// Refuses queries with an error that says that they did not run.
    Refuses,
    /// Sends the first half of an answer, then closes.
    TruncatesAnswers,
    /// Answers with an error after which the query may have run.
    Fails,
    /// Closes idle connections.
    ClosesIdle,
}

const FAULTY_BEHAVIORS: [Behavior; 7] = [
    Behavior::Hangs,
    Behavior::Resets,
    Behavior::Pauses,
    Behavior::Refuses,
    Behavior::TruncatesAnswers,
    Behavior::Fails,
    Behavior::ClosesIdle,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A new configuration with discovery and platform at other addresses, then SIGHUP, repeated `times` times.
    Reload {
        node: usize,
        times: u32,
    },
    /// SIGTERM, in a series followed by SIGHUP, SIGTERM and SIGHUP; then SIGKILL at the earliest time that is specified, and a
    /// restart.
    Stop {
        node: usize,
        series: bool,
    },
    /// SIGKILL, then a restart.
    Kill {
        node: usize,
    },
    /// SIGSTOP, then SIGCONT.
    Pause {
        node: usize,
    },
    /// Discovery is down, for all nodes; when it is back, a machine drains.
    DiscoveryDown {
        machine: usize,
    },
    /// Watches send nothing, to one node.
    DiscoverySilent {
        node: usize,
    },
    /// A machine drains, goes down, and comes back cold.
    Restart {
        machine: usize,
    },
    MachineBehavior {
        machine: usize,
        behavior: Behavior,
    },
    /// Many clients at once, each on a connection of its own.
    Crowd,
    /// The next step of a trial: announced, cap raised, sent back, gone.
    ReleaseStep,
}

/// A fault, and how long after the previous one it begins.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    pub after: Duration,
    pub fault: Fault,
    /// The duration, for faults that last.
    pub duration: Duration,
}

/// Draws faults for `length`. They follow each other faster than they end.
pub fn draw(seed: u64, length: Duration, nodes: usize, machines: usize) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let crowds = seed.is_multiple_of(CROWD_SEED_DIVISOR);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let after = Duration::from_millis(rng.random_range(20..300));
        let duration = Duration::from_millis(rng.random_range(300..2_500));
        faults.push(ScheduledFault { after, fault: draw_fault(&mut rng, crowds, nodes, machines), duration });
        at += after;
    }
    faults
}

fn draw_fault(rng: &mut StdRng, crowds: bool, nodes: usize, machines: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let machine = rng.random_range(0..machines);
    let behavior = FAULTY_BEHAVIORS[rng.random_range(0..FAULTY_BEHAVIORS.len())];
    match rng.random_range(0..24) {
        0..3 => Fault::Reload { node, times: rng.random_range(1..4) },
        3..7 => Fault::Stop { node, series: rng.random_bool(0.5) },
        7..9 => Fault::Kill { node },
        9..11 => Fault::Pause { node },
        11 => Fault::DiscoveryDown { machine },
        12..14 => Fault::DiscoverySilent { node },
        14..16 => Fault::Restart { machine },
        16 => Fault::ReleaseStep,
        17 if crowds => Fault::Crowd,
        _ => Fault::MachineBehavior { machine, behavior },
    }
}
