//! A storm's plan: which faults, upon whom, from when to when. One act a line of JSON, so that a plan is read, cut by
//! hand, and replayed.
use crate::{Ns, MS, SEC};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Most acts of a plan, and most processes: what a plan from a file may ask for.
pub const MAX_FAULTS: usize = 1_000;
pub const MAX_PROCESSES: usize = 10_000;

/// What a link does to what it carries, one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkConditions {
    /// Datagrams lost, doubled, overtaken by later ones, with a bit flipped: shares of one.
    pub lost: f64,
    pub doubled: f64,
    pub overtaken: f64,
    pub flipped: f64,
    /// Held back for so long, and for up to so much more.
    pub delay: Ns,
    pub jitter: Ns,
    /// Nothing passes; streams stay open and silent.
    pub cut: bool,
    /// Bytes are held, and let go at once at the end; datagrams are lost.
    pub stalled: bool,
    /// Streams are reset in the middle of what they carry.
    pub reset: bool,
    /// Bytes a second, of streams; 0: no bound.
    pub narrow: u64,
}

/// With which folder a killed process returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RestartState {
    Never,
    Same,
    Empty,
    /// As it was some time before.
    Former,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Links from any of these to any of those; an empty list is everyone.
    Links { from: Vec<usize>, to: Vec<usize>, way: LinkConditions },
    /// Stands still: SIGSTOP, and SIGCONT at the end.
    Stop { who: usize },
    /// SIGKILL, and a new life at the end.
    Kill { who: usize, back: RestartState },
    /// SIGTERM, and a new life at the end.
    Leave { who: usize },
    /// Its clock runs fast or slow by parts of a million, or jumps ahead at the beginning.
    Clock { who: usize, ppm: i64, jump: Ns },
    /// Its files lie: by the name that the file layer gives a fault.
    Disk { who: usize, how: String },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannedFault {
    pub from: Ns,
    pub until: Ns,
    pub fault: Fault,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub seed: u64,
    /// Processes, by index.
    pub parts: usize,
    /// After the last act all is well for long enough to settle.
    pub length: Ns,
    pub acts: Vec<PlannedFault>,
}

/// What a drawn plan may hold.
#[derive(Clone, Copy, Debug)]
pub struct PlanLimits {
    pub max_faults: usize,
    pub parts: usize,
    /// Acts begin within this, and last so long at most.
    pub fault_window: Ns,
    pub max_duration: Ns,
    /// The quiet at the end.
    pub settle_time: Ns,
    pub kills: bool,
    pub clocks: bool,
    /// Names of how disks may lie; none: they don't.
    pub disks: &'static [&'static str],
}

impl Plan {
    pub fn draw(seed: u64, range: PlanLimits) -> Plan {
        let mut chance = StdRng::seed_from_u64(seed);
        let chance = &mut chance;
        let mut acts: Vec<PlannedFault> = (0..chance.random_range(1..=range.max_faults.max(1)))
            .map(|_| {
                let from = chance.random_range(0..range.fault_window.max(1));
                let until = from + chance.random_range(100 * MS..=range.max_duration.max(101 * MS));
                PlannedFault { from, until, fault: fault(chance, range) }
            })
            .collect();
        acts.sort_by_key(|act| act.from);
        let end = acts.iter().map(|act| act.until).max().unwrap_or(0);
        Plan { seed, parts: range.parts, length: end + range.settle_time, acts }
    }

    /// A plan by hand: faults, each with its beginning and end.
    pub fn new(seed: u64, parts: usize, length: Ns, faults: &[(Ns, Ns, Fault)]) -> Plan {
        let act = |(from, until, fault): &(Ns, Ns, Fault)| PlannedFault {
            from: *from,
            until: *until,
            fault: fault.clone(),
        };
        Plan { seed, parts, length, acts: faults.iter().map(act).collect() }
    }

    /// What the acts that are on, by index, make of a link: the worst of each, and of what it is without them.
    pub fn way(&self, on: &[usize], from: usize, to: usize, base: LinkConditions) -> LinkConditions {
        on.iter().filter_map(|act| self.acts[*act].fault.way(from, to)).fold(base, LinkConditions::with)
    }

    /// Beginnings and ends in order of time: when, which act, and whether it begins.
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

    /// # Errors
    /// The line that can't be read, and why.
    pub fn read(text: &str) -> Result<Plan, String> {
        #[derive(Deserialize)]
        struct Head {
            seed: u64,
            parts: usize,
            length: Ns,
        }
        let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        let (_, head) = lines.next().ok_or("a plan without a line")?;
        let Head { seed, parts, length } =
            serde_json::from_str(head).map_err(|err| format!("line 1: {err}"))?;
        if parts == 0 || parts > MAX_PROCESSES || !(0..=86_400 * SEC).contains(&length) {
            return Err(format!("line 1: 1 to {MAX_PROCESSES} parts, a length of up to a day"));
        }
        let mut acts = Vec::new();
        for (number, line) in lines {
            let named = |why: String| format!("line {}: {why}", number + 1);
            let act: PlannedFault = serde_json::from_str(line).map_err(|err| named(err.to_string()))?;
            if act.from < 0 || act.until < act.from || act.until > length {
                return Err(named("an act begins, and then ends, within the plan's length".into()));
            }
            if act.fault.whom().iter().any(|who| *who >= parts) {
                return Err(named(format!("processes are numbered from 0 to {}", parts - 1)));
            }
            acts.push(act);
            if acts.len() > MAX_FAULTS {
                return Err(named(format!("more than {MAX_FAULTS} acts")));
            }
        }
        Ok(Plan { seed, parts, length, acts })
    }
}

impl Fault {
    fn whom(&self) -> Vec<usize> {
        match self {
            Fault::Links { from, to, .. } => from.iter().chain(to).copied().collect(),
            Fault::Stop { who }
            | Fault::Kill { who, .. }
            | Fault::Leave { who }
            | Fault::Clock { who, .. }
            | Fault::Disk { who, .. } => vec![*who],
        }
    }

    /// Is it of the link from one process to another?
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

/// Two faults upon one link at once: the worse of each.
impl LinkConditions {
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

fn fault(chance: &mut StdRng, range: PlanLimits) -> Fault {
    let who = chance.random_range(0..range.parts);
    let kinds = 6 + 3 * usize::from(range.kills) + usize::from(range.clocks);
    let kind = chance.random_range(0..kinds + 2 * usize::from(!range.disks.is_empty()));
    if kind >= kinds {
        return Fault::Disk { who, how: range.disks[chance.random_range(0..range.disks.len())].into() };
    }
    match kind {
        0 => {
            // A part of all is cut off, both ways.
            let some = some(chance, range.parts);
            let way = LinkConditions { cut: true, ..LinkConditions::default() };
            Fault::Links { from: some.clone(), to: others(&some, range.parts), way }
        }
        1 => {
            // One way alone: sends and does not hear, or hears and is not heard.
            let (from, to) = (some(chance, range.parts), some(chance, range.parts));
            Fault::Links { from, to, way: LinkConditions { cut: true, ..LinkConditions::default() } }
        }
        2 => {
            let way = LinkConditions { lost: share(chance, 5, 60), ..LinkConditions::default() };
            Fault::Links { from: Vec::new(), to: Vec::new(), way }
        }
        3 => {
            let way = LinkConditions {
                doubled: share(chance, 0, 50),
                overtaken: share(chance, 0, 50),
                delay: chance.random_range(0..300 * MS),
                jitter: chance.random_range(0..300 * MS),
                ..LinkConditions::default()
            };
            Fault::Links { from: some(chance, range.parts), to: Vec::new(), way }
        }
        4 => {
            let way = LinkConditions { stalled: true, ..LinkConditions::default() };
            Fault::Links { from: vec![who], to: some(chance, range.parts), way }
        }
        5 => Fault::Stop { who },
        6 | 7 if range.kills => {
            let back =
                [RestartState::Same, RestartState::Empty, RestartState::Former][chance.random_range(0..3)];
            Fault::Kill { who, back }
        }
        8 if range.kills => Fault::Leave { who },
        _ => {
            let jump = if chance.random_bool(0.3) { chance.random_range(0..5 * SEC) } else { 0 };
            Fault::Clock { who, ppm: chance.random_range(-10_000..=10_000), jump }
        }
    }
}

/// Hundredths, which text keeps as they are.
fn share(chance: &mut StdRng, from: u32, to: u32) -> f64 {
    f64::from(chance.random_range(from..to)) / 100.0
}

fn some(chance: &mut StdRng, parts: usize) -> Vec<usize> {
    let some: Vec<usize> = (0..parts).filter(|_| chance.random_bool(0.4)).collect();
    if some.is_empty() || some.len() == parts {
        vec![chance.random_range(0..parts)]
    } else {
        some
    }
}

fn others(some: &[usize], parts: usize) -> Vec<usize> {
    (0..parts).filter(|i| !some.contains(i)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    pub fn range() -> PlanLimits {
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
    fn a_plan_is_drawn_written_and_read_alike() {
        for seed in 0..200 {
            let plan = Plan::draw(seed, range());
            assert_eq!(plan, Plan::draw(seed, range()));
            assert_eq!(Plan::read(&plan.write()).unwrap(), plan);
        }
    }

    #[test]
    fn what_can_t_be_read_names_its_line() {
        let good = Plan::draw(3, range()).write();
        let first = good.lines().next().unwrap();
        for (text, named) in [
            (String::new(), "without a line"),
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
