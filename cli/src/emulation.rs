//! `rockpick emulate` and `rockpick experiment`: scripted days in virtual time, and comparisons of them.
use crate::bench::memory;
use crate::CliError;
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
    /// Change to the plan's settings, as PATH=VALUE (rollout.dwell_ms=3000); repeatable.
    #[arg(long)]
    set: Vec<String>,
    /// Use plain fronts as a baseline: round robin, three retries, no votes. Prints only service.
    #[arg(long)]
    plain: bool,
    /// Rate limits per tenant, with the controller's sums (sums) or without (alone); for --plain and --speed.
    #[arg(long)]
    limits: Option<String>,
    /// Rate limit of the first tenant over all fronts, in RPCs per second.
    #[arg(long)]
    tenant_rate: Option<f64>,
    /// Change to the shape of the load, as NAME=NUMBER (greedy=0.8); repeatable.
    #[arg(long)]
    shape: Vec<String>,
    /// Second of the day at which --shape takes effect; by default the start.
    #[arg(long)]
    shape_at: Option<f64>,
    /// Measure only the emulator's speed; nothing is recorded for the checker.
    #[arg(long)]
    speed: bool,
}

#[derive(Subcommand)]
pub enum Experiment {
    /// Runs days for each choice until its difference from the baseline is settled or the seeds are used up.
    Run(Box<Run>),
    /// Prints a table of a results file, and a verdict for each choice.
    Compare { lines: PathBuf },
    /// Writes an HTML page with tables and charts of a results file.
    Report {
        lines: PathBuf,
        #[arg(long)]
        page: PathBuf,
    },
    /// Appends the results of rehearsals to a results file.
    Take {
        /// Directories of rehearsals.
        #[arg(required = true)]
        runs: Vec<PathBuf>,
        #[arg(long)]
        choice: String,
        #[arg(long)]
        lines: PathBuf,
    },
    /// Predicts the results of rehearsals after fitting the emulator's network delays to one of them.
    Predict {
        /// Directory of the rehearsal to which the delays are fitted.
        #[arg(long)]
        fit: PathBuf,
        /// Directories of the rehearsals to predict.
        #[arg(required = true)]
        runs: Vec<PathBuf>,
    },
}

#[derive(Args)]
pub struct Run {
    #[command(flatten)]
    plan: Plan,
    /// A choice to compare with the baseline: changes to the settings as PATH=VALUE, or to the day as
    /// plan.PATH=VALUE, separated by commas; repeatable.
    #[arg(long, required = true)]
    choice: Vec<String>,
    /// Change to the example settings on all sides, as PATH=VALUE; repeatable.
    #[arg(long)]
    set: Vec<String>,
    /// Maximum number of days per choice.
    #[arg(long, default_value_t = 40)]
    seeds: usize,
    /// Differences in service below this do not matter.
    #[arg(long, default_value_t = 0.01)]
    matters: f64,
    /// File for the results, one line of JSON per day; an interrupted run of the same study is resumed from it.
    #[arg(long)]
    lines: PathBuf,
}

impl Emulate {
    pub fn run(self) -> Result<ExitCode, CliError> {
        let began = Instant::now();
        if self.speed || self.plain {
            let mut day =
                experiment::day_of_plan(&self.plan, &self.set, self.plan.seed, false).map_err(CliError)?;
            (day.plain, day.profile) = (self.plain, !self.plain);
            for shape in &self.shape {
                let (name, value) = shape
                    .split_once('=')
                    .ok_or(CliError(format!("--shape {shape}: expected NAME=NUMBER")))?;
                let value: f64 =
                    value.parse().map_err(|_| CliError(format!("--shape {shape}: expected NAME=NUMBER")))?;
                let change = serde_json::json!({ name: value });
                let mut changed = day.load.clone();
                changed.change(&change).map_err(CliError)?;
                match self.shape_at {
                    None => day.load = changed,
                    Some(at) => day.script.push((at, rockpick_rehearse::day::Action::Load(change))),
                }
            }
            day.limits = match self.limits.as_deref() {
                None => None,
                Some(mode @ ("sums" | "alone")) => Some(rockpick_emu::TenantLimits {
                    rates: [self.tenant_rate, None, None],
                    share_sums: mode == "sums",
                }),
                Some(other) => return Err(CliError(format!("--limits {other}: must be sums or alone"))),
            };
            let peak_before = memory(std::process::id(), "VmHWM");
            let outcome = World::new(day).map_err(CliError)?.run();
            let elapsed = began.elapsed().as_secs_f64();
            let (totals, peak_bytes) = (outcome.totals, memory(std::process::id(), "VmHWM"));
            println!("{} fronts, {} machines, {} RPCs in {:.0} virtual s: {elapsed:.1} s, {:.0} events/s, {:.1} real s per \
                 virtual s, {:.0} MiB at peak, service {:.3}", self.plan.fronts, self.plan.machines, totals.rpcs,
                outcome.virtual_seconds, outcome.events as f64 / elapsed, elapsed / outcome.virtual_seconds,
                peak_bytes / 1_048_576.0, totals.served / totals.asked.max(1e-9));
            let by_tenant =
                outcome.tenant_utility.map(|[asked, served]| format!("{:.3}", served / asked.max(1e-9)));
            println!(
                "service by tenant: {}; served utility/s {}",
                by_tenant.join(" "),
                outcome.tenant_utility.map(|f| format!("{:.0}", f[1] / outcome.virtual_seconds)).join(" ")
            );
            if self.shape_at.is_some() {
                let second_tenant = |s: &[[f64; 2]; 3]| format!("{:.2}", s[1][1] / s[1][0].max(1e-9));
                let by_second: Vec<String> =
                    outcome.tenant_utility_by_second.iter().map(second_tenant).collect();
                println!("service of the second tenant by second: {}", by_second.join(" "));
            }
            if let Some(shares) = outcome.profile.shares() {
                let parts =
                    COMPONENTS.iter().zip(shares).map(|((_, name), s)| format!("{name} {:.0}%", 100.0 * s));
                println!("time by part: {}", parts.collect::<Vec<_>>().join(", "));
                println!(
                    "memory growth, attributed in full: {:.0} KiB per front, or {:.0} KiB per machine",
                    (peak_bytes - peak_before) / 1024.0 / self.plan.fronts as f64,
                    (peak_bytes - peak_before) / 1024.0 / self.plan.machines as f64
                );
            }
            return Ok(ExitCode::SUCCESS);
        }
        let (line, judgement) =
            experiment::run_plan("emulated", &self.plan, &self.set, self.plan.seed).map_err(CliError)?;
        let elapsed = began.elapsed().as_secs_f64();
        rockpick_rehearse::print_judgement(&judgement, "emulated");
        eprintln!("{} events in {elapsed:.2} s", line.events);
        Ok(if judgement.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
    }
}

fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}

impl Experiment {
    pub fn run(self) -> Result<ExitCode, CliError> {
        match self {
            Experiment::Run(run) => run.run(),
            Experiment::Compare { lines } => {
                let (study, lines) = study::load(&lines).map_err(CliError)?;
                print_comparison(study.as_ref(), &lines)
            }
            Experiment::Report { lines, page } => {
                let (study, lines) = study::load(&lines).map_err(CliError)?;
                if lines.is_empty() {
                    return Err(CliError("the results file has no days yet".into()));
                }
                let verdicts = study.as_ref().map_or(Vec::new(), |s| s.verdicts(&lines));
                let text = report::page(study.as_ref(), &verdicts, &lines).map_err(CliError)?;
                std::fs::write(&page, text).map_err(|err| CliError(format!("{}: {err}", page.display())))?;
                Ok(ExitCode::SUCCESS)
            }
            Experiment::Take { runs, choice, lines } => {
                for run in runs {
                    let (plan, written) = read_rehearsal(&run)?;
                    let line = fit::summarize(&plan, &written).map_err(CliError)?;
                    append(&lines, &DaySummary { choice: choice.clone(), ..line })?;
                }
                Ok(ExitCode::SUCCESS)
            }
            Experiment::Predict { fit, runs } => predict(&fit, &runs),
        }
    }
}

/// Appends a line to a results file, which is created if absent.
pub fn append(path: &Path, line: &DaySummary) -> Result<(), CliError> {
    let io_error = |err: std::io::Error| CliError(format!("{}: {err}", path.display()));
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path).map_err(io_error)?;
    let text = serde_json::to_string(line).map_err(|err| CliError(err.to_string()))?;
    file.write_all(format!("{text}\n").as_bytes()).map_err(io_error)
}

/// Reads a rehearsal's plan and records.
fn read_rehearsal(dir: &Path) -> Result<(Plan, RawRecords), CliError> {
    let file = dir.join("plan.json");
    let error = |err: &dyn std::fmt::Display| CliError(format!("{}: {err}", file.display()));
    let text = std::fs::read(&file).map_err(|err| error(&err))?;
    let plan: Plan = serde_json::from_slice(&text).map_err(|err| error(&err))?;
    plan.check().map_err(|why| error(&why))?;
    Ok((plan, rockpick_rehearse::read_records(dir).map_err(CliError)?))
}

fn print_comparison(study: Option<&Study>, lines: &[DaySummary]) -> Result<ExitCode, CliError> {
    print!("{}", report::table(lines));
    study
        .map_or(Vec::new(), |s| s.verdicts(lines))
        .iter()
        .for_each(|v| println!("{}", report::verdict_text(v)));
    let violations: Vec<usize> = lines.iter().filter_map(|l| l.broken).collect();
    let broken: usize = violations.iter().sum();
    match (violations.len(), broken) {
        (0, _) => println!("rules: not checked"),
        (n, 0) => println!("rules: kept in {n} of {} days", lines.len()),
        (_, n) => println!("rules: broken {n} times"),
    }
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

impl Run {
    fn run(self) -> Result<ExitCode, CliError> {
        if !(2..=100_000).contains(&self.seeds) || !(0.0..1.0).contains(&self.matters) {
            return Err(CliError(
                "--seeds: must be 2 to 100000; --matters: must be 0 or more and below 1".into(),
            ));
        }
        let choices: Vec<Vec<String>> =
            self.choice.iter().map(|c| c.split(',').map(|p| p.trim().to_string()).collect()).collect();
        if (1..choices.len()).any(|i| choices[..i].contains(&choices[i])) {
            return Err(CliError("--choice: given twice with the same changes".into()));
        }
        let study = Study {
            rockpick_study: 1,
            plan: Plan { out: None, ..self.plan },
            base: self.set,
            choices,
            seeds: self.seeds,
            matters: self.matters,
        };
        // Reports an invalid field before the results file is created.
        for (_, changes) in study.variants() {
            experiment::day_of_plan(&study.plan, &changes, study.plan.seed, false).map_err(CliError)?;
        }
        let (mut file, known) = ResultsFile::open(&self.lines, &study).map_err(CliError)?;
        if !known.is_empty() {
            eprintln!("resumes after {} days", known.len());
        }
        let (_, lines) = study.run(cores(), known, |line| file.put(line)).map_err(CliError)?;
        print_comparison(Some(&study), &lines)
    }
}

fn predict(fit_dir: &Path, runs: &[PathBuf]) -> Result<ExitCode, CliError> {
    let (plan, written) = read_rehearsal(fit_dir)?;
    let delays = fit::latencies(&written).map_err(|why| CliError(format!("{}: {why}", fit_dir.display())))?;
    println!(
        "fitted: one-way delay {:.3} ms, also for clients; a machine's timers fire {:.3} ms after the work ends",
        1.25 * delays.same as f64 / 1e6,
        delays.over as f64 / 1e6
    );
    let measured = fit::figures(&fit::summarize(&plan, &written).map_err(CliError)?);
    let fit_misses = fit::predict(&plan, delays, cores()).map_err(CliError)?.misses(&measured);
    println!("{:<24} {:<12} {:>10} {:>22} {:>10}", "run", "figure", "emulated", "interval (99%)", "loopback");
    let (mut figures_inside, mut runs_inside) = (0, 0);
    for run in runs {
        let (plan, written) = read_rehearsal(run)?;
        let prediction = fit::predict(&plan, delays, cores()).map_err(CliError)?.widen(&fit_misses);
        let measured = fit::figures(&fit::summarize(&plan, &written).map_err(CliError)?);
        let misses = prediction.misses(&measured);
        let name = run.file_name().map_or(String::new(), |n| n.to_string_lossy().into_owned());
        for (i, figure) in fit::FIGURES.iter().enumerate() {
            let [mean, low, high] = prediction.0[i];
            let mark = if misses[i] > 0.0 { "  outside" } else { "" };
            println!(
                "{name:<24} {figure:<12} {mean:>10.4} {low:>10.4} - {high:<9.4} {:>10.4}{mark}",
                measured[i]
            );
        }
        figures_inside += misses.iter().filter(|m| **m <= 0.0).count();
        runs_inside += usize::from(misses.iter().all(|m| *m <= 0.0));
    }
    println!(
        "{runs_inside} of {} runs inside the interval in all four figures, {figures_inside} of {} figures",
        runs.len(),
        4 * runs.len()
    );
    Ok(ExitCode::SUCCESS)
}
