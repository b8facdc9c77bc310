//! What a day holds: its acts by the second, from a name or from troubles.
use clap::Args;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_fault_injection::plan::{Plan as Storm, PlanLimits, PlannedFault as StormFault};
use rockpick_fault_injection::SEC;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::path::PathBuf;

#[derive(Args, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// morning (a bad build, a burst on a drain, a killed front, a silent machine, a controller that stands
    /// still), quiet (one good build), short (eleven seconds, one build on trial), calm (no build) or stop (no
    /// build; all machines stand still for five seconds) cold (no build; all machines are lost and come back) or directory
    /// (tenants from a directory that is lost in a burst and returns with changes) or peers (fronts that keep company under
    /// a storm drawn from the seed) or node (the live node among scripted peers, under faults drawn from the seed; only --seed,
    /// --seconds and --out count).
    #[arg(long, default_value = "morning")]
    pub day: String,
    /// A kind of trouble, for a day of its own; may be given several times. `list` names them.
    #[arg(long)]
    pub trouble: Vec<String>,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, default_value_t = 3)]
    pub fronts: usize,
    /// Machines at the start; two builds side by side take as many again.
    #[arg(long, default_value_t = 20)]
    pub machines: usize,
    /// RPCs a second.
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// Mean work of an RPC, ms.
    #[arg(long, default_value_t = 60.0)]
    pub work_ms: f64,
    /// Seconds of traffic; the day's own if left out.
    #[arg(long)]
    pub seconds: Option<f64>,
    /// Folder for the record; a new one under the system's temporary folder if left out.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// How builds come in.
    #[arg(long, default_value = "by-count")]
    pub control: String,
    /// Machines are replaced in place.
    #[arg(long)]
    pub in_place: bool,
    /// Keys may not go back to the earlier build.
    #[arg(long)]
    pub one_way: bool,
    /// The bad build of the day: errors, method, slow, load, late, wrong or shared, and how much.
    #[arg(long, default_value = "late:0.4")]
    pub bad: String,
    /// An agent at each place starts the builds, from a repository of signed ones.
    #[arg(long)]
    pub agents: bool,
    /// On a day of peers the fronts keep no company all the same, to see that the checker finds what is lost by that.
    #[arg(long, hide = true)]
    pub alone: bool,
    /// Puts small faulty fronts in place of real ones, to see that the checker catches rule 1 to 5.
    #[arg(long, hide = true)]
    pub faulty: Option<u8>,
    /// Says less while it runs.
    #[arg(long)]
    pub quiet: bool,
}

/// One thing that the rehearsal does.
#[derive(Clone, Debug)]
pub enum Action {
    Offer {
        build: u32,
        bad: Option<String>,
    },
    /// A machine is asked to leave (a drain); a front to go down and come up.
    DrainMachine(usize),
    KillFront {
        front: usize,
        down_ms: u64,
    },
    StopFront {
        front: usize,
        ms: u64,
    },
    StopController {
        ms: u64,
    },
    KillController {
        down_ms: u64,
    },
    /// Kills agents, whose builds run on without them.
    KillAgents {
        share: f64,
        down_ms: u64,
    },
    /// A machine goes silent: accepts, never answers, and comes back cold.
    Vanish {
        machine: usize,
        ms: u64,
    },
    /// A fault for a share of the machines; `Null` for all ends it.
    Fault {
        share: f64,
        fault: Value,
    },
    Heal,
    Load(Value),
    /// What becomes of notes between fronts from now on.
    Datagrams(DatagramFaults),
    /// Fronts and machines of different zones reach each other no more, or again.
    Partition(bool),
    /// The directory is killed; or is back, with other content.
    Directory(bool),
    /// A fault of the day's storm begins, or ends.
    Storm {
        act: usize,
        fault: StormFault,
        begins: bool,
    },
}

/// How notes between fronts, datagrams, are carried.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    /// Shares lost and sent twice.
    pub loss: f64,
    pub duplication: f64,
    /// Each comes up to this much later, ms, so that they overtake each other.
    pub max_delay_ms: u64,
}

impl DatagramFaults {
    /// What becomes of one note: how much later each copy comes that gets through, ns.
    pub fn copies(&self, chance: &mut StdRng) -> [Option<i64>; 2] {
        let mut odds = |p: f64| p > 0.0 && chance.random::<f64>() < p;
        let twice = odds(self.duplication);
        [true, twice].map(|sent| {
            let lost = !sent || self.loss > 0.0 && chance.random::<f64>() < self.loss;
            let span = 0..=self.max_delay_ms as i64 * 1_000_000;
            (!lost).then(|| if self.max_delay_ms > 0 { chance.random_range(span) } else { 0 })
        })
    }
}

/// What each kind of trouble is, for `list`.
pub const TROUBLES: [(&str, &str); 24] = [
    ("agent_down", "half the agents are killed for three seconds (--agents)"),
    ("answer_lost", "a fifth of the answers of most machines get lost on the way, by silence or reset"),
    ("bad_build", "the build of the day is bad (--bad)"),
    ("balancer_roll", "fronts are killed and restarted in batches"),
    ("balancer_stall", "most fronts stand still for a second, again and again"),
    ("burst", "traffic doubles for five seconds"),
    ("conn_squeeze", "machines take few connections"),
    ("control_down", "the controller stands still for nine seconds"),
    ("datagrams", "notes between fronts are lost, late, out of order and doubled"),
    ("fast_errors", "a fifth of the machines quickly fail most RPCs"),
    ("give_up", "most clients leave early and come back at once"),
    ("heavy_tail", "two in a hundred RPCs of a method cost fifteen times the work"),
    ("hot_caller", "one front carries a quarter more of the traffic"),
    ("hot_key", "two keys draw a fifth of the traffic"),
    ("neighbour", "on half the machines others take half the machine, on and off"),
    ("one_sided", "half the machines lose most answers to one front alone"),
    ("partition", "the zones are cut off from each other for eight seconds, but for the controller"),
    ("peer_down", "notes between fronts are lost"),
    ("probe_fail", "probes fail while machines serve"),
    ("shared_slow", "all machines are twice as slow"),
    ("shift", "half the traffic moves to the fronts of one zone"),
    ("slow", "a fifth of the machines are five times slower"),
    ("slow_link", "half the machines are far away for half the fronts, and some answers get lost"),
    ("vanish", "a tenth of the machines go silent and come back cold"),
];

pub fn troubles() -> impl Iterator<Item = &'static str> {
    TROUBLES.iter().map(|(name, _)| *name)
}

impl Plan {
    /// A day of fronts that keep company, under a storm.
    pub fn is_peers_day(&self) -> bool {
        self.day == "peers" && self.trouble.is_empty()
    }

    /// A soak of the live node.
    pub fn is_node_soak(&self) -> bool {
        self.day == "node" && self.trouble.is_empty()
    }

    /// # Errors
    /// Names the argument that makes no sense.
    pub fn check(&self) -> Result<(), String> {
        if !(1..=10_000).contains(&self.fronts) || !(2..=10_000).contains(&self.machines) {
            return Err("--fronts: 1 to 10000; --machines: 2 to 10000".into());
        }
        if !(0.1..=1e6).contains(&self.rate) || !(0.001..=6e4).contains(&self.work_ms) {
            return Err("--rate: 0.1 to 1000000; --work-ms: 0.001 to 60000".into());
        }
        if self.seconds.is_some_and(|s| !(1.0..=86_400.0).contains(&s)) {
            return Err("--seconds: 1 to 86400".into());
        }
        if rockpick_fakes::Defect::parse(&self.bad).is_none() {
            return Err(format!("--bad {}: KIND:SIZE is wanted", self.bad));
        }
        Ok(())
    }
}

pub fn days() -> [&'static str; 9] {
    ["morning", "quiet", "short", "calm", "stop", "cold", "directory", "peers", "node"]
}

/// The storm of a day of peers: it begins with the traffic, and leaves time for a second build after it.
pub fn storm(plan: &Plan) -> Storm {
    let (fault_window, longest) = (14 * SEC, 4 * SEC);
    let range = PlanLimits {
        max_faults: 8,
        parts: plan.fronts,
        fault_window,
        max_duration: longest,
        settle_time: 30 * SEC,
        kills: true,
        // Each front's clock has a pace of its own all day (see `clock_ppm`).
        clocks: false,
        disks: &rockpick_files::FAULT_NAMES,
    };
    Storm::draw(plan.seed, range)
}

/// By how many parts of a million a front's clock runs fast on a day of peers: up to a hundredth, or slow.
pub fn clock_ppm(plan: &Plan, front: usize) -> i64 {
    StdRng::seed_from_u64(plan.seed ^ (front as u64 + 1) << 40).random_range(-10_000..=10_000)
}

/// The settings that a plan asks for.
///
/// # Errors
/// Names the argument that makes no sense.
pub fn settings(plan: &Plan) -> Result<rockpick_control::Settings, String> {
    let mut charter = rockpick_control::Settings::example(plan.fronts, plan.machines);
    let control = serde_json::from_value(json!(plan.control));
    let unknown = |_| format!("--control {}: first-voice, by-count or automatic", plan.control);
    charter.rollout.control = control.map_err(unknown)?;
    charter.rollout.step_ms = 4_000;
    let one_way = plan.one_way || plan.is_peers_day();
    (charter.rollout.parallel, charter.rollout.one_way) = (!plan.in_place, one_way);
    Ok(charter)
}

/// The acts of a trouble from second `at`, and when it is over.
fn trouble(name: &str, plan: &Plan, at: f64, chance: &mut StdRng) -> Option<Vec<(f64, Action)>> {
    let fault =
        |share: f64, fault: Value| vec![(at, Action::Fault { share, fault }), (at + 10.0, Action::Heal)];
    let load =
        |on: Value, off: Value, long: f64| vec![(at, Action::Load(on)), (at + long, Action::Load(off))];
    let machines = plan.machines.max(1);
    let some: usize = chance.random_range(0..machines);
    let names: Vec<String> = (0..plan.fronts).map(|i| format!("f{i}")).collect();
    Some(match name {
        "answer_lost" => fault(0.6, json!({ "lost": 0.2, "reset": chance.random::<bool>() })),
        "agent_down" => vec![(at, Action::KillAgents { share: 0.5, down_ms: 3_000 })],
        "bad_build" => Vec::new(),
        "balancer_roll" => {
            let batch = plan.fronts.div_ceil(3);
            let down_ms = chance.random_range(200..1_200);
            let kill = |f: usize| (at + 4.0 * (f / batch) as f64, Action::KillFront { front: f, down_ms });
            (0..plan.fronts).map(kill).collect()
        }
        "balancer_stall" => {
            let most = (plan.fronts * 3).div_ceil(4);
            let turn =
                |i: usize| (at + 3.0 * (i / most) as f64, Action::StopFront { front: i % most, ms: 1_000 });
            (0..3 * most).map(turn).collect()
        }
        "burst" => load(json!({ "rate": 2.0 * plan.rate }), json!({ "rate": plan.rate }), 5.0),
        "conn_squeeze" => fault(0.8, json!({ "connections": 2 * plan.fronts })),
        "control_down" => vec![(at, Action::StopController { ms: 9_000 })],
        "fast_errors" => fault(0.2, json!({ "errors": 0.8 })),
        "give_up" => load(json!({ "hasty": 0.6, "patience": 0.4, "leave": 1 }), json!({ "hasty": 0 }), 10.0),
        "heavy_tail" => load(json!({ "tail": 0.02, "tail_times": 15 }), json!({ "tail": 0 }), 10.0),
        "hot_caller" => load(json!({ "caller": 0.25 }), json!({ "caller": 0 }), 10.0),
        "hot_key" => load(json!({ "hot": 0.2, "hot_keys": 2 }), json!({ "hot": 0 }), 10.0),
        "neighbour" => fault(0.5, json!({ "neighbour": 0.55, "turn_ms": 2_000 })),
        "one_sided" => fault(0.5, json!({ "lost": 0.8, "fronts": [names[0]] })),
        "datagrams" => {
            let carried = DatagramFaults { loss: 0.3, duplication: 0.2, max_delay_ms: 400 };
            vec![(at, Action::Datagrams(carried)), (at + 12.0, Action::Datagrams(DatagramFaults::default()))]
        }
        "partition" => vec![(at, Action::Partition(true)), (at + 8.0, Action::Partition(false))],
        "peer_down" => {
            let lost = DatagramFaults { loss: 1.0, ..DatagramFaults::default() };
            vec![(at, Action::Datagrams(lost)), (at + 12.0, Action::Datagrams(DatagramFaults::default()))]
        }
        "probe_fail" => fault(0.7, json!({ "probes": 1.0 })),
        "shared_slow" => fault(1.0, json!({ "slow": 2.0 })),
        "shift" => load(json!({ "shift": 0.5 }), json!({ "shift": 0 }), 12.0),
        "slow" => fault(0.2, json!({ "slow": 5.0 })),
        "slow_link" => {
            let far: Vec<&String> = names.iter().step_by(2).collect();
            fault(0.5, json!({ "delay_ms": 300, "lost": 0.1, "fronts": far }))
        }
        "vanish" => {
            let many = machines.div_ceil(10);
            (0..many).map(|i| (at, Action::Vanish { machine: (some + i) % machines, ms: 8_000 })).collect()
        }
        _ => return None,
    })
}

/// The acts of a plan in order of time, and how long its traffic lasts, s.
pub fn script(plan: &Plan) -> Result<(Vec<(f64, Action)>, f64), String> {
    let mut chance = StdRng::seed_from_u64(plan.seed);
    let offer =
        |at: f64, build: u32, bad: bool| (at, Action::Offer { build, bad: bad.then(|| plan.bad.clone()) });
    let (mut acts, lasts) = if !plan.trouble.is_empty() {
        let mut acts = vec![offer(3.0, 2, plan.trouble.iter().any(|t| t == "bad_build"))];
        for name in &plan.trouble {
            let at = chance.random_range(6.0..9.0);
            let list = || troubles().collect::<Vec<_>>().join(", ");
            acts.extend(
                trouble(name, plan, at, &mut chance)
                    .ok_or_else(|| format!("--trouble {name}: one of {}", list()))?,
            );
        }
        (acts, 26.0)
    } else {
        match plan.day.as_str() {
            "morning" => {
                let front = plan.fronts - 1;
                let burst = json!({ "rate": 2.0 * plan.rate });
                (
                    vec![
                        offer(3.0, 2, false),
                        // A burst arrives just as a machine drains.
                        (10.0, Action::DrainMachine(0)),
                        (10.0, Action::Load(burst)),
                        (14.0, Action::Load(json!({ "rate": plan.rate }))),
                        (22.0, Action::Vanish { machine: 1, ms: 8_000 }),
                        offer(26.0, 3, true),
                        (31.0, Action::KillFront { front, down_ms: 800 }),
                        (35.0, Action::KillAgents { share: 0.5, down_ms: 3_000 }),
                        (46.0, Action::StopController { ms: 6_000 }),
                        offer(54.0, 4, false),
                        (58.0, Action::KillFront { front: 0, down_ms: 300 }),
                        (61.0, Action::KillController { down_ms: 1_000 }),
                    ],
                    70.0,
                )
            }
            "quiet" => (vec![offer(3.0, 2, false)], 26.0),
            "calm" => (Vec::new(), 26.0),
            "stop" => {
                let stop = Action::Fault { share: 1.0, fault: json!({ "slow": 100 }) };
                (vec![(8.0, stop), (13.0, Action::Heal)], 40.0)
            }
            "cold" => {
                // All machines are gone at once and come back cold; the tier has to bring them up.
                let vanish = |machine: usize| (8.0, Action::Vanish { machine, ms: 1_000 });
                ((0..plan.machines).map(vanish).collect(), 40.0)
            }
            "directory" => {
                let burst = json!({ "rate": 2.0 * plan.rate });
                let acts = vec![
                    (8.0, Action::Load(burst)),
                    // In the middle of a burst.
                    (9.0, Action::Directory(false)),
                    (12.0, Action::Load(json!({ "rate": plan.rate }))),
                    offer(13.0, 2, false),
                    (16.0, Action::KillFront { front: 0, down_ms: 300 }),
                    (20.0, Action::Directory(true)),
                ];
                (acts, 50.0)
            }
            "peers" => {
                // Few keys draw most of the traffic, so that many fronts meet each of them.
                let keys = json!({ "hot": 0.6, "hot_keys": 60 });
                let mut acts = vec![(0.0, Action::Load(keys)), offer(2.0, 2, false), offer(25.0, 3, false)];
                let storm = storm(plan);
                for (at, act, begins) in storm.edges() {
                    let fault = storm.acts[act].clone();
                    acts.push((4.0 + at as f64 / SEC as f64, Action::Storm { act, fault, begins }));
                }
                (acts, 44.0)
            }
            "short" => (vec![offer(2.0, 2, false), (4.0, Action::DrainMachine(0))], 11.0),
            other => return Err(format!("--day {other}: one of {}", days().join(", "))),
        }
    };
    acts.sort_by(|a, b| a.0.total_cmp(&b.0));
    Ok((acts, plan.seconds.unwrap_or(lasts)))
}
