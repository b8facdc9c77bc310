//! `rockpick emulate` and `rockpick experiment`: days in virtual time.
use crate::Bad2;
use clap::Args;
use rockpick_emu::experiment::{self, Line, Question};
use rockpick_emu::{report, World};
use rockpick_rehearse::Plan;
use std::io::Write;
use std::path::PathBuf;
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
    /// Only the time that it takes: nothing is kept for the checker.
    #[arg(long)]
    speed: bool,
}

#[derive(Args)]
pub struct Experiment {
    #[command(flatten)]
    plan: Plan,
    /// What differs on the second side: PATH=VALUE, as rollout.dwell_ms=3000.
    #[arg(long, required = true)]
    vary: Vec<String>,
    /// What differs from the example on both sides.
    #[arg(long)]
    set: Vec<String>,
    /// Most pairs of days.
    #[arg(long, default_value_t = 40)]
    seeds: usize,
    /// A difference of service below this does not matter.
    #[arg(long, default_value_t = 0.01)]
    matters: f64,
    /// File for the results, a line of JSON a day.
    #[arg(long)]
    lines: Option<PathBuf>,
    /// File for a page with tables and charts.
    #[arg(long)]
    page: Option<PathBuf>,
}

/// Resident memory, bytes.
fn memory() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
}

impl Emulate {
    pub fn run(self) -> Result<ExitCode, Bad2> {
        let began = Instant::now();
        if self.speed || self.plain {
            let mut day = experiment::day(&self.plan, &self.set, self.plan.seed, false).map_err(Bad2)?;
            day.plain = self.plain;
            let outcome = World::new(day).map_err(Bad2)?.run();
            let took = began.elapsed().as_secs_f64();
            let (t, held) = (outcome.tolls, memory());
            println!("{} fronts, {} machines, {} RPCs in {:.0} virtual s: {took:.1} s, {:.0} events/s, {:.1} real s a \
                 virtual s, {:.0} MiB at most, service {:.3}", self.plan.fronts, self.plan.machines, t.rpcs,
                outcome.virtual_seconds, outcome.events as f64 / took, took / outcome.virtual_seconds,
                held / 1_048_576.0, t.served / t.asked.max(1e-9));
            return Ok(ExitCode::SUCCESS);
        }
        let (line, judgement) =
            experiment::play("emulated", &self.plan, &self.set, self.plan.seed).map_err(Bad2)?;
        let took = began.elapsed().as_secs_f64();
        rockpick_rehearse::print(&judgement, "emulated");
        eprintln!("{} events in {took:.2} s", line.events);
        Ok(if judgement.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
    }
}

impl Experiment {
    pub fn run(self) -> Result<ExitCode, Bad2> {
        if !(2..=100_000).contains(&self.seeds) || !(0.0..1.0).contains(&self.matters) {
            return Err(Bad2("--seeds: 2 to 100000; --matters: 0 to 1".into()));
        }
        let other: Vec<String> = self.set.iter().chain(&self.vary).cloned().collect();
        let name = self.vary.join(" ");
        let question = Question {
            plan: self.plan.clone(),
            sides: [("as it is".into(), self.set.clone()), (name.clone(), other)],
            seeds: self.seeds,
            matters: self.matters,
            threads: std::thread::available_parallelism().map_or(1, |n| n.get()),
        };
        let mut file = match &self.lines {
            Some(at) => {
                Some(std::fs::File::create(at).map_err(|err| Bad2(format!("{}: {err}", at.display())))?)
            }
            None => None,
        };
        let mut lost = None;
        let heard = |line: &Line| {
            let text = serde_json::to_string(line).unwrap_or_default();
            if let Some(Err(err)) = file.as_mut().map(|f| writeln!(f, "{text}")) {
                lost = Some(err.to_string());
            }
        };
        let (verdict, lines) = question.answer(heard).map_err(Bad2)?;
        if let Some(why) = lost {
            return Err(Bad2(format!("the lines can't be written: {why}")));
        }
        print!("{}", report::table(&lines));
        println!("service of '{name}' less 'as it is', by pairs: {:+.4}, interval {:+.4} to {:+.4} ({} pairs, emulated)",
            verdict.mean, verdict.low, verdict.high, verdict.pairs);
        println!("{}", verdict.why);
        if let Some(at) = &self.page {
            let page = report::page(&name, &self.plan, &verdict, &lines).map_err(Bad2)?;
            std::fs::write(at, page).map_err(|err| Bad2(format!("{}: {err}", at.display())))?;
        }
        let broken: usize = lines.iter().map(|l| l.broken).sum();
        println!("rules: {}", if broken == 0 { "kept".into() } else { format!("broken {broken}") });
        Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
    }
}
