//! `rockpick load`: sends open-loop load to real fronts and prints the result.
use crate::{api_client, emulation, CliError};
use clap::Args;
use rockpick_emu::summary::QUANTILES;
use rockpick_emu::DaySummary;
use rockpick_fakes::{Arrivals, Load};
use rockpick_loadgen::{LoadTest, Result as LoadResult};
use rockpick_net::SEC;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub struct LoadArgs {
    /// The controller's address, the source of the settings and, without --fronts, of the fronts' addresses.
    #[arg(long)]
    controller: SocketAddr,
    /// Addresses of fronts, in the order of the settings, separated by commas.
    #[arg(long, value_delimiter = ',')]
    fronts: Vec<SocketAddr>,
    /// RPCs per second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Arrival process: poisson, or bursts:ON_MS/OFF_MS/TIMES.
    #[arg(long, default_value = "poisson")]
    arrivals: String,
    /// Replays a record of clients, until its end or for --seconds, instead of --rate and --arrivals.
    #[arg(long, conflicts_with = "arrivals")]
    replay: Option<PathBuf>,
    /// Number of distinct keys, drawn from a Zipf distribution.
    #[arg(long, default_value_t = 2_000)]
    keys: usize,
    /// Exponent of the Zipf distribution.
    #[arg(long, default_value_t = 0.9)]
    zipf: f64,
    /// Change to the shape of the load, as NAME=NUMBER (hot=0.2, hot_keys=2); NAME is one of hot, hot_keys, caller,
    /// shift, heavier, tail, tail_times, hasty, patience and leave; repeatable.
    #[arg(long)]
    shape: Vec<String>,
    /// Maximum retries per RPC, where the method allows them.
    #[arg(long, default_value_t = 2)]
    retries: u32,
    /// Mean work of an RPC at stand-in machines, in milliseconds.
    #[arg(long, default_value_t = 50.0)]
    work_ms: f64,
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Maximum number of open RPCs over all threads; further RPCs are not sent and are counted.
    #[arg(long, default_value_t = 10_000)]
    most_open: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File for a record of each try, for use with --replay.
    #[arg(long)]
    record: Option<PathBuf>,
    /// File to which the result is appended as a line of JSON, for `experiment compare` and `experiment report`.
    #[arg(long)]
    lines: Option<PathBuf>,
    /// Name of the result in that file.
    #[arg(long, default_value = "load")]
    choice: String,
}

impl LoadArgs {
    pub fn run(self) -> Result<ExitCode, CliError> {
        let valid = self.rate > 0.0 && self.rate <= 1e6 && (0.1..=86_400.0).contains(&self.seconds);
        if !valid || !(1..=100_000_000).contains(&self.keys) || !(0.0..=5.0).contains(&self.zipf) {
            let why =
                "--rate: must be above 0, at most 1000000; --seconds: 0.1 to 86400; --keys: 1 to 100000000; --zipf: 0 to 5";
            return Err(CliError(why.into()));
        }
        if !(self.work_ms > 0.0 && self.work_ms <= 6e4) || self.most_open > 1_000_000 {
            return Err(CliError(
                "--work-ms: must be above 0, at most 60000; --most-open: must be at most 1000000".into(),
            ));
        }
        let settings = api_client::settings(self.controller)?;
        let (names, fronts) = match self.fronts.is_empty() {
            true => api_client::fronts(self.controller)?,
            false => {
                let names = settings.fronts.iter().map(|f| f.name.clone());
                (names.take(self.fronts.len()).collect(), self.fronts)
            }
        };
        let arrivals = match &self.replay {
            None => Arrivals::parse(&self.arrivals).map_err(|why| CliError(format!("--arrivals {why}")))?,
            Some(path) => {
                let error = |why: String| CliError(format!("{}: {why}", path.display()));
                let text = std::fs::read_to_string(path).map_err(|err| error(err.to_string()))?;
                Arrivals::replay(&text, &settings, &names).map_err(error)?
            }
        };
        let mut load = Load { rate: self.rate, keys: self.keys, zipf: self.zipf, ..Load::default() };
        for shape in &self.shape {
            let parts =
                shape.split_once('=').and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
            let (name, value) = parts.ok_or(CliError(format!("--shape {shape}: expected NAME=NUMBER")))?;
            load.change(&json!({ name: value })).map_err(|why| CliError(format!("--shape {why}")))?;
        }
        let course = LoadTest {
            fronts,
            names,
            settings,
            load,
            arrivals,
            duration: (self.seconds * SEC as f64) as i64,
            retries: self.retries,
            work_ms: self.work_ms,
            seed: self.seed,
            threads: self.threads,
            max_open: self.most_open,
            record: self.record,
        };
        let result = course.run().map_err(CliError)?;
        let line = result_line(&result, self.choice, self.seed).map_err(CliError)?;
        print_result(&course, &result, &line)?;
        if let Some(path) = &self.lines {
            emulation::append(path, &line)?;
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn result_line(result: &LoadResult, choice: String, seed: u64) -> Result<DaySummary, String> {
    let (tally, times) = (&result.totals, result.all()?);
    Ok(DaySummary {
        choice,
        seed,
        how: "loopback".into(),
        service: tally.served / tally.asked.max(1e-9),
        asked: tally.asked,
        ok: tally.ok,
        late: tally.late,
        pushed_back: tally.pushed_back,
        aborted: tally.aborted,
        // An RPC that the tool could not send counts as asked for and not served.
        unanswered: tally.unanswered + tally.not_sent,
        times: QUANTILES.iter().map(|q| times.value_at_quantile(*q) as f64 / 1e3).collect(),
        exposure: result.newest(),
        by_second: result.by_second.iter().map(|[asked, served]| served / f64::max(*asked, 1e-9)).collect(),
        ..DaySummary::default()
    })
}

fn print_result(course: &LoadTest, result: &LoadResult, line: &DaySummary) -> Result<(), CliError> {
    let tally = &result.totals;
    println!(
        "service {:.4} (utility within the soft deadline over utility asked for); {} RPCs, {} tries, {} threads",
        line.service, tally.rpcs, result.tries, result.threads
    );
    println!(
        "ok {}  late {}  pushed back {}  aborted {}  unanswered {}  not sent {}  data after an answer {}",
        tally.ok, tally.late, tally.pushed_back, tally.aborted, tally.unanswered, tally.not_sent, tally.stray
    );
    println!(
        "{:<12} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>14}",
        "method, ms", "ok", "p50", "p90", "p99", "p99.9", "max", "p99 from sent"
    );
    let ms = |us: u64| us as f64 / 1e3;
    for (row, times) in course.settings.methods.iter().zip(&result.times) {
        let quantile_ms = |q: f64| ms(times.due.value_at_quantile(q));
        println!(
            "{:<12} {:>9} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>14.1}",
            row.name,
            times.due.len(),
            quantile_ms(0.5),
            quantile_ms(0.9),
            quantile_ms(0.99),
            quantile_ms(0.999),
            ms(times.due.max()),
            ms(times.sent.value_at_quantile(0.99))
        );
    }
    let builds: Vec<String> = result.builds.iter().map(|(build, n)| format!("{build}: {n}")).collect();
    println!("ok by build: {}", if builds.is_empty() { "none".into() } else { builds.join(", ") });
    let busiest = result.busy.iter().copied().fold(0.0, f64::max);
    println!(
        "send delay p50 {:.3} ms, p99 {:.3} ms, max {:.1} ms; busiest thread worked {:.0}% of the time",
        ms(result.lag.value_at_quantile(0.5)),
        ms(result.lag.value_at_quantile(0.99)),
        ms(result.lag.max()),
        100.0 * busiest
    );
    match result.limits().as_slice() {
        [] => println!("the load tool was not a limit"),
        limits => println!("the load tool was a limit: {}", limits.join("; ")),
    }
    Ok(())
}
