//! `rockpick load`: open-loop load at real fronts.
use crate::{ask, lab, Bad2};
use clap::Args;
use rockpick_emu::summary::QUANTILES;
use rockpick_emu::DaySummary;
use rockpick_fakes::{Arrivals, Load};
use rockpick_loadgen::{LoadTest, Result as Came};
use rockpick_net::SEC;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub struct Loading {
    /// The controller's address: settings come from there, and addresses of fronts if none are given.
    #[arg(long)]
    controller: SocketAddr,
    /// Addresses of fronts, in the order of the settings' fronts.
    #[arg(long, value_delimiter = ',')]
    fronts: Vec<SocketAddr>,
    /// RPCs a second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// How arrivals follow each other: poisson, or bursts:ON_MS/OFF_MS/TIMES.
    #[arg(long, default_value = "poisson")]
    arrivals: String,
    /// Plays a record of clients again, to its end or --seconds, in place of --rate and --arrivals.
    #[arg(long, conflicts_with = "arrivals")]
    replay: Option<PathBuf>,
    /// Keys, drawn by Zipf with this exponent.
    #[arg(long, default_value_t = 2_000)]
    keys: usize,
    #[arg(long, default_value_t = 0.9)]
    zipf: f64,
    /// What else of the load differs: hot=0.2, hot_keys=2, caller, shift, heavier, tail, tail_times, hasty, patience,
    /// leave; NAME=NUMBER, may be given several times.
    #[arg(long)]
    shape: Vec<String>,
    /// Tries after the first, as each method allows.
    #[arg(long, default_value_t = 2)]
    retries: u32,
    /// Mean work of an RPC at stand-in machines, ms.
    #[arg(long, default_value_t = 50.0)]
    work_ms: f64,
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// RPCs open at once, over all threads; one more is not sent, and told.
    #[arg(long, default_value_t = 10_000)]
    most_open: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File for a record of each try; --replay plays it again.
    #[arg(long)]
    record: Option<PathBuf>,
    /// File for the result, a line of JSON put to its end; `experiment compare` and `report` read it.
    #[arg(long)]
    lines: Option<PathBuf>,
    /// The name of the result in that file.
    #[arg(long, default_value = "load")]
    choice: String,
}

impl Loading {
    pub fn run(self) -> Result<ExitCode, Bad2> {
        let fits = self.rate > 0.0 && self.rate <= 1e6 && (0.1..=86_400.0).contains(&self.seconds);
        if !fits || !(1..=100_000_000).contains(&self.keys) || !(0.0..=5.0).contains(&self.zipf) {
            let why =
                "--rate: above 0 to 1000000; --seconds: 0.1 to 86400; --keys: 1 to 100000000; --zipf: 0 to 5";
            return Err(Bad2(why.into()));
        }
        if !(self.work_ms > 0.0 && self.work_ms <= 6e4) || self.most_open > 1_000_000 {
            return Err(Bad2("--work-ms: above 0 to 60000; --most-open: 1000000 at most".into()));
        }
        let charter = ask::settings(self.controller)?;
        let (names, fronts) = match self.fronts.is_empty() {
            true => ask::fronts(self.controller)?,
            false => {
                let names = charter.fronts.iter().map(|f| f.name.clone());
                (names.take(self.fronts.len()).collect(), self.fronts)
            }
        };
        let arrivals = match &self.replay {
            None => Arrivals::parse(&self.arrivals).map_err(|why| Bad2(format!("--arrivals {why}")))?,
            Some(path) => {
                let say = |why: String| Bad2(format!("{}: {why}", path.display()));
                let text = std::fs::read_to_string(path).map_err(|err| say(err.to_string()))?;
                Arrivals::replay(&text, &charter, &names).map_err(say)?
            }
        };
        let mut load = Load { rate: self.rate, keys: self.keys, zipf: self.zipf, ..Load::default() };
        for shape in &self.shape {
            let parts = shape.split_once('=').and_then(|(name, v)| Some((name, v.parse::<f64>().ok()?)));
            let (name, value) = parts.ok_or(Bad2(format!("--shape {shape}: NAME=NUMBER is wanted")))?;
            load.change(&json!({ name: value })).map_err(|why| Bad2(format!("--shape {why}")))?;
        }
        let course = LoadTest {
            fronts,
            names,
            settings: charter,
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
        let came = course.run().map_err(Bad2)?;
        let line = line(&came, self.choice, self.seed).map_err(Bad2)?;
        show(&course, &came, &line)?;
        if let Some(path) = &self.lines {
            lab::append(path, &line)?;
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn line(came: &Came, choice: String, seed: u64) -> Result<DaySummary, String> {
    let (t, all) = (&came.totals, came.all()?);
    Ok(DaySummary {
        choice,
        seed,
        how: "loopback".into(),
        service: t.served / t.asked.max(1e-9),
        asked: t.asked,
        ok: t.ok,
        late: t.late,
        pushed_back: t.pushed_back,
        aborted: t.aborted,
        // One that the tool could not send was asked for and not served.
        unanswered: t.unanswered + t.not_sent,
        times: QUANTILES.iter().map(|q| all.value_at_quantile(*q) as f64 / 1e3).collect(),
        exposure: came.newest(),
        by_second: came.by_second.iter().map(|[asked, served]| served / f64::max(*asked, 1e-9)).collect(),
        ..DaySummary::default()
    })
}

fn show(course: &LoadTest, came: &Came, line: &DaySummary) -> Result<(), Bad2> {
    let t = &came.totals;
    println!(
        "service {:.4} (utility within the soft deadline over utility asked for); {} RPCs, {} tries, {} threads",
        line.service, t.rpcs, came.tries, came.threads
    );
    println!(
        "ok {}  late {}  pushed back {}  aborted {}  unanswered {}  not sent {}  words after an answer {}",
        t.ok, t.late, t.pushed_back, t.aborted, t.unanswered, t.not_sent, t.stray
    );
    println!(
        "{:<12} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>14}",
        "method, ms", "ok", "p50", "p90", "p99", "p99.9", "most", "p99 from sent"
    );
    let ms = |us: u64| us as f64 / 1e3;
    for (row, times) in course.settings.methods.iter().zip(&came.times) {
        let at = |q: f64| ms(times.due.value_at_quantile(q));
        println!(
            "{:<12} {:>9} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>14.1}",
            row.name,
            times.due.len(),
            at(0.5),
            at(0.9),
            at(0.99),
            at(0.999),
            ms(times.due.max()),
            ms(times.sent.value_at_quantile(0.99))
        );
    }
    let builds: Vec<String> = came.builds.iter().map(|(build, n)| format!("{build}: {n}")).collect();
    println!("ok by build: {}", if builds.is_empty() { "none".into() } else { builds.join(", ") });
    let busiest = came.busy.iter().copied().fold(0.0, f64::max);
    println!(
        "sends late by p50 {:.3} ms, p99 {:.3} ms, at most {:.1} ms; busiest thread worked {:.0}% of the time",
        ms(came.lag.value_at_quantile(0.5)),
        ms(came.lag.value_at_quantile(0.99)),
        ms(came.lag.max()),
        100.0 * busiest
    );
    match came.limits().as_slice() {
        [] => println!("the tool was no limit"),
        limits => println!("the tool was a limit: {}", limits.join("; ")),
    }
    Ok(())
}
