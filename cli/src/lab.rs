//! `rockpick emulate` and `rockpick experiment`: days in virtual time.
use crate::bench::memory;
use crate::Bad2;
use clap::{Args, Subcommand};
use rockpick_emu::profile::COMPONENTS;
use rockpick_emu::study::{self, ResultsFile};
use rockpick_emu::{experiment, fit, report, DaySummary, Study, World};
use rockpick_rehearse::judge::RawRecords;
use rockpick_rehearse::Plan;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

#[derive(Args)]
pub struct Emulate {
    #[command(flatten)]
    plan: Plan,
    /// Settings that differ from the plan's: PATH=VALUE, as rollout.dwell_ms=3000.
    #[arg(long)]
    set: Vec<String>,
    /// Plain fronts in place of ours, to set beside: round robin, three repeats, no vote. Prints only service.
    #[arg(long)]
    plain: bool,
    /// Limits by tenant with the controller's sums (sums), without (alone); with --plain or --speed.
    #[arg(long)]
    limits: Option<String>,
    /// Rate of the first tenant over all fronts, RPCs a second.
    #[arg(long)]
    tenant_rate: Option<f64>,
    /// What else of the load differs from the start: greedy=0.8 and the like, NAME=NUMBER.
    #[arg(long)]
    shape: Vec<String>,
    /// The shape begins at this second of the day, not at its start.
    #[arg(long)]
    shape_at: Option<f64>,
    /// Only the time that it takes: nothing is kept for the checker.
    #[arg(long)]
    speed: bool,
}

#[derive(Subcommand)]
pub enum Experiment {
    /// Plays choices until each is settled against things as they are, or the seeds are spent.
    Run(Box<Run>),
    /// Says what a file of lines holds: a table, and a verdict for each choice.
    Compare { lines: PathBuf },
    /// Makes a page with tables and charts of a file of lines.
    Report {
        lines: PathBuf,
        #[arg(long)]
        page: PathBuf,
    },
    /// Takes rehearsals into a file of lines.
    Take {
        /// Folders of rehearsals.
        #[arg(required = true)]
        runs: Vec<PathBuf>,
        #[arg(long)]
        choice: String,
        #[arg(long)]
        lines: PathBuf,
    },
    /// Says what rehearsals come to before looking: the emulator's wires are fitted to one of them.
    Predict {
        /// Folder of the rehearsal that the wires are fitted to.
        #[arg(long)]
        fit: PathBuf,
        /// Folders of those that are predicted.
        #[arg(required = true)]
        runs: Vec<PathBuf>,
    },
}

#[derive(Args)]
pub struct Run {
    #[command(flatten)]
    plan: Plan,
    /// A choice: what differs from things as they are, PATH=VALUE, several with commas; plan.PATH=VALUE is of the
    /// day. May be given several times.
    #[arg(long, required = true)]
    choice: Vec<String>,
    /// What differs from the example on all sides: PATH=VALUE.
    #[arg(long)]
    set: Vec<String>,
    /// Most days a choice.
    #[arg(long, default_value_t = 40)]
    seeds: usize,
    /// A difference of service below this does not matter.
    #[arg(long, default_value_t = 0.01)]
    matters: f64,
    /// File for the results, a line of JSON a day; one with the same question goes on where it was cut off.
    #[arg(long)]
    lines: PathBuf,
}

impl Emulate {
    pub fn run(self) -> Result<ExitCode, Bad2> {
        let began = Instant::now();
        if self.speed || self.plain {
            let mut day =
                experiment::day_of_plan(&self.plan, &self.set, self.plan.seed, false).map_err(Bad2)?;
            (day.plain, day.profile) = (self.plain, !self.plain);
            for shape in &self.shape {
                let (name, value) =
                    shape.split_once('=').ok_or(Bad2(format!("--shape {shape}: NAME=NUMBER")))?;
                let value: f64 = value.parse().map_err(|_| Bad2(format!("--shape {shape}: NAME=NUMBER")))?;
                let change = serde_json::json!({ name: value });
                let mut tried = day.load.clone();
                tried.change(&change).map_err(Bad2)?;
                match self.shape_at {
                    None => day.load = tried,
                    Some(at) => day.script.push((at, rockpick_rehearse::day::Action::Load(change))),
                }
            }
            day.limits = match self.limits.as_deref() {
                None => None,
                Some(how @ ("sums" | "alone")) => Some(rockpick_emu::TenantLimits {
                    rates: [self.tenant_rate, None, None],
                    share_sums: how == "sums",
                }),
                Some(other) => return Err(Bad2(format!("--limits {other}: sums or alone"))),
            };
            let before = memory(std::process::id(), "VmHWM");
            let outcome = World::new(day).map_err(Bad2)?.run();
            let took = began.elapsed().as_secs_f64();
            let (t, held) = (outcome.tolls, memory(std::process::id(), "VmHWM"));
            println!("{} fronts, {} machines, {} RPCs in {:.0} virtual s: {took:.1} s, {:.0} events/s, {:.1} real s a \
                 virtual s, {:.0} MiB at most, service {:.3}", self.plan.fronts, self.plan.machines, t.rpcs,
                outcome.virtual_seconds, outcome.events as f64 / took, took / outcome.virtual_seconds,
                held / 1_048_576.0, t.served / t.asked.max(1e-9));
            let firms =
                outcome.tenant_utility.map(|[asked, served]| format!("{:.3}", served / asked.max(1e-9)));
            println!(
                "service by tenant: {}; served utility/s {}",
                firms.join(" "),
                outcome.tenant_utility.map(|f| format!("{:.0}", f[1] / outcome.virtual_seconds)).join(" ")
            );
            if self.shape_at.is_some() {
                let second = |s: &[[f64; 2]; 3]| format!("{:.2}", s[1][1] / s[1][0].max(1e-9));
                let all: Vec<String> = outcome.tenant_utility_by_second.iter().map(second).collect();
                println!("service of the second tenant by second: {}", all.join(" "));
            }
            if let Some(shares) = outcome.profile.shares() {
                let parts =
                    COMPONENTS.iter().zip(shares).map(|((_, name), s)| format!("{name} {:.0}%", 100.0 * s));
                println!("time by part: {}", parts.collect::<Vec<_>>().join(", "));
                println!("memory beyond the program's own: {:.0} KiB a front, {:.0} KiB a machine, were all of it theirs",
                    (held - before) / 1024.0 / self.plan.fronts as f64, (held - before) / 1024.0 / self.plan.machines as f64);
            }
            return Ok(ExitCode::SUCCESS);
        }
        let (line, judgement) =
            experiment::run_plan("emulated", &self.plan, &self.set, self.plan.seed).map_err(Bad2)?;
        let took = began.elapsed().as_secs_f64();
        rockpick_rehearse::print_judgement(&judgement, "emulated");
        eprintln!("{} events in {took:.2} s", line.events);
        Ok(if judgement.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
    }
}

fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}

impl Experiment {
    pub fn run(self) -> Result<ExitCode, Bad2> {
        match self {
            Experiment::Run(run) => run.run(),
            Experiment::Compare { lines } => {
                let (study, lines) = study::load(&lines).map_err(Bad2)?;
                show(study.as_ref(), &lines)
            }
            Experiment::Report { lines, page } => {
                let (study, lines) = study::load(&lines).map_err(Bad2)?;
                if lines.is_empty() {
                    return Err(Bad2("it holds no day yet".into()));
                }
                let verdicts = study.as_ref().map_or(Vec::new(), |s| s.verdicts(&lines));
                let text = report::page(study.as_ref(), &verdicts, &lines).map_err(Bad2)?;
                std::fs::write(&page, text).map_err(|err| Bad2(format!("{}: {err}", page.display())))?;
                Ok(ExitCode::SUCCESS)
            }
            Experiment::Take { runs, choice, lines } => {
                for run in runs {
                    let (plan, written) = rehearsal(&run)?;
                    let line = fit::summarize(&plan, &written).map_err(Bad2)?;
                    append(&lines, &DaySummary { choice: choice.clone(), ..line })?;
                }
                Ok(ExitCode::SUCCESS)
            }
            Experiment::Predict { fit, runs } => predict(&fit, &runs),
        }
    }
}

/// Puts a line to the end of a file, made if it is not there.
pub fn append(path: &Path, line: &DaySummary) -> Result<(), Bad2> {
    let say = |err: std::io::Error| Bad2(format!("{}: {err}", path.display()));
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path).map_err(say)?;
    let text = serde_json::to_string(line).map_err(|err| Bad2(err.to_string()))?;
    file.write_all(format!("{text}\n").as_bytes()).map_err(say)
}

/// A rehearsal's plan and records.
fn rehearsal(dir: &Path) -> Result<(Plan, RawRecords), Bad2> {
    let at = dir.join("plan.json");
    let say = |err: &dyn std::fmt::Display| Bad2(format!("{}: {err}", at.display()));
    let text = std::fs::read(&at).map_err(|err| say(&err))?;
    let plan: Plan = serde_json::from_slice(&text).map_err(|err| say(&err))?;
    plan.check().map_err(|why| say(&why))?;
    Ok((plan, rockpick_rehearse::read_records(dir).map_err(Bad2)?))
}

fn show(study: Option<&Study>, lines: &[DaySummary]) -> Result<ExitCode, Bad2> {
    print!("{}", report::table(lines));
    study
        .map_or(Vec::new(), |s| s.verdicts(lines))
        .iter()
        .for_each(|v| println!("{}", report::verdict_text(v)));
    let looked: Vec<usize> = lines.iter().filter_map(|l| l.broken).collect();
    let broken: usize = looked.iter().sum();
    match (looked.len(), broken) {
        (0, _) => println!("rules: not looked at"),
        (n, 0) => println!("rules: kept in {n} of {} days", lines.len()),
        (_, n) => println!("rules: broken {n} times"),
    }
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

impl Run {
    fn run(self) -> Result<ExitCode, Bad2> {
        if !(2..=100_000).contains(&self.seeds) || !(0.0..1.0).contains(&self.matters) {
            return Err(Bad2("--seeds: 2 to 100000; --matters: 0 to 1".into()));
        }
        let choices: Vec<Vec<String>> =
            self.choice.iter().map(|c| c.split(',').map(|p| p.trim().to_string()).collect()).collect();
        if (1..choices.len()).any(|i| choices[..i].contains(&choices[i])) {
            return Err(Bad2("--choice: the same one twice".into()));
        }
        let study = Study {
            rockpick_study: 1,
            plan: Plan { out: None, ..self.plan },
            base: self.set,
            choices,
            seeds: self.seeds,
            matters: self.matters,
        };
        // A field that can't be had is told before a file is made.
        for (_, changes) in study.variants() {
            experiment::day_of_plan(&study.plan, &changes, study.plan.seed, false).map_err(Bad2)?;
        }
        let (mut file, known) = ResultsFile::open(&self.lines, &study).map_err(Bad2)?;
        if !known.is_empty() {
            eprintln!("goes on after {} days", known.len());
        }
        let (_, lines) = study.run(cores(), known, |line| file.put(line)).map_err(Bad2)?;
        show(Some(&study), &lines)
    }
}

fn predict(fitted: &Path, runs: &[PathBuf]) -> Result<ExitCode, Bad2> {
    let (plan, written) = rehearsal(fitted)?;
    let latencies = fit::latencies(&written).map_err(|why| Bad2(format!("{}: {why}", fitted.display())))?;
    println!(
        "fitted: a way takes {:.3} ms and as much for clients, a machine's timers {:.3} ms beyond the work",
        1.25 * latencies.same as f64 / 1e6,
        latencies.over as f64 / 1e6
    );
    let seen = fit::figures(&fit::summarize(&plan, &written).map_err(Bad2)?);
    let missed = fit::predict(&plan, latencies, cores()).map_err(Bad2)?.misses(&seen);
    println!("{:<24} {:<12} {:>10} {:>22} {:>10}", "run", "figure", "emulated", "bars (99%)", "loopback");
    let (mut held, mut good) = (0, 0);
    for run in runs {
        let (plan, written) = rehearsal(run)?;
        let stated = fit::predict(&plan, latencies, cores()).map_err(Bad2)?.widen(&missed);
        let seen = fit::figures(&fit::summarize(&plan, &written).map_err(Bad2)?);
        let misses = stated.misses(&seen);
        let name = run.file_name().map_or(String::new(), |n| n.to_string_lossy().into_owned());
        for (i, figure) in fit::FIGURES.iter().enumerate() {
            let [mean, low, high] = stated.0[i];
            let out = if misses[i] > 0.0 { "  outside" } else { "" };
            println!("{name:<24} {figure:<12} {mean:>10.4} {low:>10.4} - {high:<9.4} {:>10.4}{out}", seen[i]);
        }
        held += misses.iter().filter(|m| **m <= 0.0).count();
        good += usize::from(misses.iter().all(|m| *m <= 0.0));
    }
    println!("{good} of {} runs in all four figures, {held} of {} figures", runs.len(), 4 * runs.len());
    Ok(ExitCode::SUCCESS)
}
