//! Plans of faults: which fault affects which process, from when until when. Each fault is one line of JSON, so that a
//! plan can be read, reduced by hand, and replayed.
use crate::{Ns, MS, SEC};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// The maximum number of faults and of processes in a plan that is read from a file.
pub const MAX_FAULTS: usize = 1_000;
pub const MAX_PROCESSES: usize = 10_000;

/// The conditions of a link in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkConditions {
    /// The share of datagrams that are lost.
    pub lost: f64,
    /// The share that are duplicated.
    pub doubled: f64,
    /// The share that are delayed so that later ones overtake them.
    pub overtaken: f64,
    /// The share with a flipped bit.
    pub flipped: f64,
    /// The fixed delay, and the maximum of a random delay on top of it.
    pub delay: Ns,
    pub jitter: Ns,
    /// Drops everything; streams stay open and silent.
    pub cut: bool,
    /// Holds back the bytes of streams and releases them together at the end; drops datagrams.
    pub stalled: bool,
    /// Resets streams in the middle of their data.
    pub reset: bool,
    /// The bandwidth of streams, in bytes per second; 0: unlimited.
    pub narrow: u64,
}

/// The state with which a killed process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RestartState {
    /// It does not restart.
    Never,
    /// The state it had.
    Same,
    Empty,
    /// The state it had some time earlier.
    Former,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Changes the links from each process in `from` to each in `to`; an empty list means all processes.
    Links { from: Vec<usize>, to: Vec<usize>, way: LinkConditions },
    /// Suspends the process: SIGSTOP at the start, SIGCONT at the end.
    Stop { who: usize },
    /// SIGKILL at the start; a restart at the end.
    Kill { who: usize, back: RestartState },
    /// SIGTERM at the start; a restart at the end.
    Leave { who: usize },
    /// The process's clock runs fast or slow by `ppm` parts per million, and jumps ahead by `jump` at the start.
    Clock { who: usize, ppm: i64, jump: Ns },
    /// The process's files misbehave; `how` is the file layer's name for the fault.
    Disk { who: usize, how: String },
}

/// A fault with its start and end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannedFault {
    pub from: Ns,
    pub until: Ns,
    pub fault: Fault,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub seed: u64,
    /// The number of processes; faults refer to them by index.
    pub parts: usize,
    /// The duration of the run, with time to settle after the last fault.
    pub length: Ns,
    pub acts: Vec<PlannedFault>,
}

/// Limits of a randomly drawn plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanLimits {
    pub max_faults: usize,
    pub parts: usize,
    /// Faults start within `fault_window` and last for at most `max_duration`.
    pub fault_window: Ns,
    pub max_duration: Ns,
    /// The time without faults at the end.
    pub settle_time: Ns,
    pub kills: bool,
    pub clocks: bool,
    /// Names of the disk faults to draw from; empty: none.
    pub disks: &'static [&'static str],
}

impl Plan {
    pub fn draw(seed: u64, limits: PlanLimits) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let rng = &mut rng;
        let mut acts: Vec<PlannedFault> = (0..rng.random_range(1..=limits.max_faults.max(1)))
            .map(|_| {
                let from = rng.random_range(0..limits.fault_window.max(1));
                let until = from + rng.random_range(100 * MS..=limits.max_duration.max(101 * MS));
                PlannedFault { from, until, fault: fault(rng, limits) }
            })
            .collect();
        acts.sort_by_key(|act| act.from);
        let end = acts.iter().map(|act| act.until).max().unwrap_or(0);
        Plan { seed, parts: limits.parts, length: end + limits.settle_time, acts }
    }

    /// Builds a plan from faults, each with its start and end.
    pub fn new(seed: u64, parts: usize, length: Ns, faults: &[(Ns, Ns, Fault)]) -> Plan {
        let act = |(from, until, fault): &(Ns, Ns, Fault)| PlannedFault {
            from: *from,
            until: *until,
            fault: fault.clone(),
        };
        Plan { seed, parts, length, acts: faults.iter().map(act).collect() }
    }

    /// The conditions of a link under the active faults, given by index: the worst of each condition, including `base`.
    pub fn way(&self, on: &[usize], from: usize, to: usize, base: LinkConditions) -> LinkConditions {
        on.iter().filter_map(|act| self.acts[*act].fault.way(from, to)).fold(base, LinkConditions::with)
    }

    /// The starts and ends of all faults in order of time: the time, the fault's index, and whether it starts.
    pub fn edges(&self) -> Vec<(Ns, usize, bool)> {
        let both = |(i, act): (usize, &PlannedFault)| [(act.from, i, true), (act.until, i, false)];
        let mut edges: Vec<_> = self.acts.iter().enumerate().flat_map(both).collect();
        edges.sort_unstable();
        edges
    }

    pub fn write(&self) -> String {
        let Plan { seed, parts, length, .. } = self;
        let mut text = format!("{{\"seed\":{seed},\"parts\":{parts},\"length\":{length}}}\n");
        for act in &self.acts {
            text.push_str(&serde_json::to_string(act).unwrap_or_default());
            text.push('\n');
        }
        text
    }

    /// Parses a plan written by [`Plan::write`].
    ///
    /// # Errors
    /// The number of the malformed line, and the reason.
    pub fn read(text: &str) -> Result<Plan, String> {
        #[derive(Deserialize)]
        struct Head {
            seed: u64,
            parts: usize,
            length: Ns,
        }
        let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        let (_, head) = lines.next().ok_or("the plan is empty")?;
        let Head { seed, parts, length } =
            serde_json::from_str(head).map_err(|err| format!("line 1: {err}"))?;
        if parts == 0 || parts > MAX_PROCESSES || !(0..=86_400 * SEC).contains(&length) {
            return Err(format!(
                "line 1: expected 1 to {MAX_PROCESSES} processes and a length of at most a day"
            ));
        }
        let mut acts = Vec::new();
        for (number, line) in lines {
            let named = |why: String| format!("line {}: {why}", number + 1);
            let act: PlannedFault = serde_json::from_str(line).map_err(|err| named(err.to_string()))?;
            if act.from < 0 || act.until < act.from || act.until > length {
                return Err(named("a fault must start, and then end, within the length of the plan".into()));
            }
            if act.fault.processes().iter().any(|who| *who >= parts) {
                return Err(named(format!("processes are numbered from 0 to {}", parts - 1)));
            }
            acts.push(act);
            if acts.len() > MAX_FAULTS {
                return Err(named(format!("more than {MAX_FAULTS} faults")));
            }
        }
        Ok(Plan { seed, parts, length, acts })
    }
}

impl Fault {
    fn processes(&self) -> Vec<usize> {
        match self {
            Fault::Links { from, to, .. } => from.iter().chain(to).copied().collect(),
            Fault::Stop { who }
            | Fault::Kill { who, .. }
            | Fault::Leave { who }
            | Fault::Clock { who, .. }
            | Fault::Disk { who, .. } => vec![*who],
        }
    }

    /// The conditions that the fault sets for the link between two processes, if any.
    fn way(&self, from: usize, to: usize) -> Option<&LinkConditions> {
        match self {
            Fault::Links { from: f, to: t, way }
                if (f.is_empty() || f.contains(&from)) && (t.is_empty() || t.contains(&to)) =>
            {
                Some(way)
            }
            _ => None,
        }
    }
}

impl LinkConditions {
    /// Combines two faults of one link: the worse of each condition.
    pub fn with(self, other: &LinkConditions) -> LinkConditions {
        LinkConditions {
            lost: self.lost.max(other.lost),
            doubled: self.doubled.max(other.doubled),
            overtaken: self.overtaken.max(other.overtaken),
            flipped: self.flipped.max(other.flipped),
            delay: self.delay.max(other.delay),
            jitter: self.jitter.max(other.jitter),
            cut: self.cut || other.cut,
            stalled: self.stalled || other.stalled,
            reset: self.reset || other.reset,
            narrow: match (self.narrow, other.narrow) {
                (0, n) | (n, 0) => n,
                (a, b) => a.min(b),
            },
        }
    }
}

fn fault(rng: &mut StdRng, limits: PlanLimits) -> Fault {
    let who = rng.random_range(0..limits.parts);
    let kinds = 6 + 3 * usize::from(limits.kills) + usize::from(limits.clocks);
    let kind = rng.random_range(0..kinds + 2 * usize::from(!limits.disks.is_empty()));
    if kind >= kinds {
        return Fault::Disk { who, how: limits.disks[rng.random_range(0..limits.disks.len())].into() };
    }
    match kind {
        0 => {
            // Partitions some processes from the others, in both directions.
            let subset = subset(rng, limits.parts);
            let way = LinkConditions { cut: true, ..LinkConditions::default() };
            Fault::Links { from: subset.clone(), to: others(&subset, limits.parts), way }
        }
        1 => {
            // Cuts links in one direction only.
            let (from, to) = (subset(rng, limits.parts), subset(rng, limits.parts));
            Fault::Links { from, to, way: LinkConditions { cut: true, ..LinkConditions::default() } }
        }
        2 => {
            let way = LinkConditions { lost: share(rng, 5, 60), ..LinkConditions::default() };
            Fault::Links { from: Vec::new(), to: Vec::new(), way }
        }
        3 => {
            let way = LinkConditions {
                doubled: share(rng, 0, 50),
                overtaken: share(rng, 0, 50),
                delay: rng.random_range(0..300 * MS),
                jitter: rng.random_range(0..300 * MS),
                ..LinkConditions::default()
            };
            Fault::Links { from: subset(rng, limits.parts), to: Vec::new(), way }
        }
        4 => {
            let way = LinkConditions { stalled: true, ..LinkConditions::default() };
            Fault::Links { from: vec![who], to: subset(rng, limits.parts), way }
        }
        5 => Fault::Stop { who },
        6 | 7 if limits.kills => {
            let back =
                [RestartState::Same, RestartState::Empty, RestartState::Former][rng.random_range(0..3)];
            Fault::Kill { who, back }
        }
        8 if limits.kills => Fault::Leave { who },
        _ => {
            let jump = if rng.random_bool(0.3) { rng.random_range(0..5 * SEC) } else { 0 };
            Fault::Clock { who, ppm: rng.random_range(-10_000..=10_000), jump }
        }
    }
}

/// Draws a share in hundredths, which survive the conversion to text unchanged.
fn share(rng: &mut StdRng, from: u32, to: u32) -> f64 {
    f64::from(rng.random_range(from..to)) / 100.0
}

fn subset(rng: &mut StdRng, parts: usize) -> Vec<usize> {
    let subset: Vec<usize> = (0..parts).filter(|_| rng.random_bool(0.4)).collect();
    if subset.is_empty() || subset.len() == parts {
        vec![rng.random_range(0..parts)]
    } else {
        subset
    }
}

fn others(subset: &[usize], parts: usize) -> Vec<usize> {
    (0..parts).filter(|i| !subset.contains(i)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    pub fn limits() -> PlanLimits {
        let (fault_window, max_duration, settle_time) = (30 * SEC, 10 * SEC, 30 * SEC);
        PlanLimits {
            max_faults: 8,
            parts: 5,
            fault_window,
            max_duration,
            settle_time,
            kills: true,
            clocks: true,
            disks: &["sync-lies"],
        }
    }

    #[test]
    fn plans_are_reproducible_and_survive_conversion_to_text() {
        for seed in 0..200 {
            let plan = Plan::draw(seed, limits());
            assert_eq!(plan, Plan::draw(seed, limits()));
            assert_eq!(Plan::read(&plan.write()).unwrap(), plan);
        }
    }

    #[test]
    fn parse_errors_name_the_line() {
        let good = Plan::draw(3, limits()).write();
        let first = good.lines().next().unwrap();
        for (text, named) in [
            (String::new(), "the plan is empty"),
            ("{\"seed\":1}".into(), "line 1"),
            (format!("{first}\nnonsense"), "line 2"),
            (format!("{first}\n{{\"from\":5,\"until\":4,\"fault\":{{\"stop\":{{\"who\":0}}}}}}"), "line 2"),
            (format!("{first}\n{{\"from\":5,\"until\":6,\"fault\":{{\"stop\":{{\"who\":9}}}}}}"), "numbered"),
            (format!("{first}\n{{\"from\":5,\"until\":6,\"fault\":{{\"links\":{{\"from\":[],\"to\":[],\"way\":{{\"odd\":1}}}}}}}}"), "line 2"),
        ] {
            assert!(Plan::read(&text).unwrap_err().contains(named), "{text}");
        }
    }
}
