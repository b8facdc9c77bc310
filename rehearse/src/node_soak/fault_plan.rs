//! The faults of a soak, drawn from its seed.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// One seed in so many has crowds.
const CROWDED_SEEDS: u64 = 3;

/// How a machine behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    Usual,
    /// Reads and never answers.
    Hangs,
    /// Resets connections under queries.
    Resets,
    /// Stands still, then answers all.
    Pauses,
    /// Turns queries away.
    Refuses,
    /// Sends a part of its answers, then closes.
    Halves,
    /// Answers with an error.
    Errs,
    /// Closes connections that rest.
    ClosesResting,
}

const CONDUCTS: [Conduct; 7] = [
    Conduct::Hangs,
    Conduct::Resets,
    Conduct::Pauses,
    Conduct::Refuses,
    Conduct::Halves,
    Conduct::Errs,
    Conduct::ClosesResting,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A new configuration with discovery and platform at other addresses, then SIGHUP, so many times in a row.
    Reload {
        times: u32,
    },
    /// SIGTERM, with SIGHUP and SIGTERM behind it in a series; SIGKILL at the page's earliest, then a restart.
    Stop {
        series: bool,
    },
    /// SIGKILL, then a restart.
    Kill,
    /// The process is held up.
    Pause,
    DiscoveryDown,
    DiscoverySilent,
    /// A machine drains, goes, and returns cold; with another build while none is on trial.
    Restart {
        machine: usize,
    },
    Misconduct {
        machine: usize,
        conduct: Conduct,
    },
    /// Many clients at once, each on a connection of its own.
    Crowd,
    /// The next step of a release: announced, raised, ended.
    ReleaseStep,
}

/// A fault, and how long after the one before it.
#[derive(Clone, Debug)]
pub struct Act {
    pub after: Duration,
    pub fault: Fault,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
}

/// Acts until `length` is over.
pub fn draw(seed: u64, length: Duration, machines: usize) -> Vec<Act> {
    let mut chance = StdRng::seed_from_u64(seed);
    let crowds = seed.is_multiple_of(CROWDED_SEEDS);
    let mut acts = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let after = Duration::from_millis(chance.random_range(200..1_200));
        let lasts = Duration::from_millis(chance.random_range(300..2_500));
        acts.push(Act { after, fault: draw_fault(&mut chance, crowds, machines), lasts });
        at += after;
    }
    acts
}

fn draw_fault(chance: &mut StdRng, crowds: bool, machines: usize) -> Fault {
    let machine = chance.random_range(0..machines);
    let conduct = CONDUCTS[chance.random_range(0..CONDUCTS.len())];
    match chance.random_range(0..20) {
        0..2 => Fault::Reload { times: chance.random_range(1..4) },
        2..5 => Fault::Stop { series: chance.random_bool(0.5) },
        5 => Fault::Kill,
        6 => Fault::Pause,
        7 => Fault::DiscoveryDown,
        8 => Fault::DiscoverySilent,
        9..12 => Fault::Restart { machine },
        12..14 => Fault::ReleaseStep,
        14..16 if crowds => Fault::Crowd,
        _ => Fault::Misconduct { machine, conduct },
    }
}
