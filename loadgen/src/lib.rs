//! Open-loop load on real fronts, with a schedule fixed in advance. The latency of an RPC counts from when it was due,
//! whether or not it could be sent then, so that a front that stalls is charged for the RPCs that were due meanwhile
//! (Tene, "How NOT to Measure Latency"). All threads follow one schedule: each generates all of it and sends its
//! share, so that the number of threads does not change the load.
//!
//! The tool monitors itself: how late it sends, how busy its threads are, and how many RPCs it could not hold open.
mod thread;

use hdrhistogram::Histogram;
use rockpick_control::Settings;
use rockpick_fakes::client_model::ClientTotals;
use rockpick_fakes::{Arrivals, Load};
use rockpick_net::{Ns, MS, SEC};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The maximum number of threads: each generates the whole schedule, at a cost of about 200 ns per RPC.
pub const MAX_THREADS: usize = 64;
/// The time from spawning the threads to the first RPC, so that all have started by then.
const START_DELAY: Duration = Duration::from_millis(100);
/// A send that is later than this is off schedule. Smaller delays are caused by epoll's own wake-ups.
const MAX_LAG: Ns = 2 * MS;
/// A thread that is busy for a larger share of its time than this will soon send late.
const MAX_BUSY: f64 = 0.8;

/// The configuration of a load test.
#[derive(Clone)]
pub struct LoadTest {
    pub fronts: Vec<SocketAddr>,
    /// Their names in the settings, in the same order.
    pub names: Vec<String>,
    pub settings: Settings,
    pub load: Load,
    pub arrivals: Arrivals,
    pub duration: Ns,
    /// The number of tries after the first.
    pub retries: u32,
    pub work_ms: f64,
    pub seed: u64,
    pub threads: usize,
    /// The maximum number of RPCs that are open or waiting for a retry, over all threads; further ones are not sent, and
    /// are reported.
    pub max_open: usize,
    /// The file to record each try in, for a replay or for the checker.
    pub record: Option<PathBuf>,
}

/// Latencies of the ok RPCs of one method, in us.
#[derive(Clone)]
pub struct Times {
    /// From when the RPC was due to its answer.
    pub due: Histogram<u64>,
    /// From the sending of the last try to its answer.
    pub sent: Histogram<u64>,
}

/// The result of a load test.
pub struct Result {
    pub totals: ClientTotals,
    pub tries: u64,
    pub times: Vec<Times>,
    /// How late first tries were sent, in us.
    pub lag: Histogram<u64>,
    /// Utility requested and utility served in time, by the second in which the RPCs were due.
    pub by_second: Vec<[f64; 2]>,
    /// Ok RPCs by build.
    pub builds: std::collections::BTreeMap<u32, u64>,
    /// The share of its time that each thread was busy.
    pub busy: Vec<f64>,
    pub threads: usize,
}

/// Creates a histogram of microseconds, up to ten minutes, with three significant digits.
pub(crate) fn latency_histogram() -> std::result::Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|err| err.to_string())
}

impl LoadTest {
    /// Sends RPCs for the configured duration and waits until all open ones have ended.
    ///
    /// # Errors
    /// The configuration is invalid, sockets or the record cannot be opened, or a thread failed.
    pub fn run(&self) -> std::result::Result<Result, String> {
        if self.fronts.is_empty() || self.fronts.len() != self.names.len() {
            return Err("no fronts, or not as many names as fronts".into());
        }
        if !(1..=MAX_THREADS).contains(&self.threads) || self.max_open < self.threads {
            return Err(format!("expected 1 to {MAX_THREADS} threads, and at least one open RPC for each"));
        }
        let begin = Instant::now() + START_DELAY;
        let parts = std::thread::scope(|scope| {
            let run = |nth| scope.spawn(move || thread::run(self, nth, begin));
            let threads: Vec<_> = (0..self.threads).map(run).collect();
            let joined = threads.into_iter().map(|t| t.join());
            joined.map(|r| r.unwrap_or_else(|_| Err("a thread panicked".into()))).collect::<Vec<_>>()
        });
        let mut all: Option<Result> = None;
        for part in parts {
            let part = part?;
            match &mut all {
                Some(all) => all.add(part)?,
                None => all = Some(part),
            }
        }
        all.ok_or("no thread".into())
    }
}

impl Result {
    fn add(&mut self, other: Result) -> std::result::Result<(), String> {
        let sum = |a: &mut Histogram<u64>, b: &Histogram<u64>| a.add(b).map_err(|err| err.to_string());
        let (t, o) = (&mut self.totals, &other.totals);
        (t.asked, t.served) = (t.asked + o.asked, t.served + o.served);
        let counts: [(&mut u64, u64); 8] = [
            (&mut t.rpcs, o.rpcs),
            (&mut t.ok, o.ok),
            (&mut t.late, o.late),
            (&mut t.pushed_back, o.pushed_back),
            (&mut t.aborted, o.aborted),
            (&mut t.unanswered, o.unanswered),
            (&mut t.not_sent, o.not_sent),
            (&mut t.stray, o.stray),
        ];
        counts.into_iter().for_each(|(a, b)| *a += b);
        self.tries += other.tries;
        for (a, b) in self.times.iter_mut().zip(&other.times) {
            sum(&mut a.due, &b.due)?;
            sum(&mut a.sent, &b.sent)?;
        }
        sum(&mut self.lag, &other.lag)?;
        let longest = self.by_second.len().max(other.by_second.len());
        self.by_second.resize(longest, [0.0; 2]);
        for (a, b) in self.by_second.iter_mut().zip(&other.by_second) {
            *a = [a[0] + b[0], a[1] + b[1]];
        }
        other.builds.into_iter().for_each(|(build, n)| *self.builds.entry(build).or_default() += n);
        self.busy.extend(other.busy);
        self.threads += other.threads;
        Ok(())
    }

    /// Latencies over all methods, from when the RPCs were due.
    ///
    /// # Errors
    /// None in practice, as all histograms have the same bounds.
    pub fn all(&self) -> std::result::Result<Histogram<u64>, String> {
        let mut all = latency_histogram()?;
        self.times.iter().try_for_each(|t| all.add(&t.due)).map_err(|err| err.to_string())?;
        Ok(all)
    }

    /// The share of ok RPCs that the newest build answered; 0 if there is only one build.
    pub fn newest(&self) -> f64 {
        let all: u64 = self.builds.values().sum();
        let newest = self.builds.last_key_value().filter(|_| self.builds.len() > 1).map_or(0, |(_, n)| *n);
        newest as f64 / all.max(1) as f64
    }

    /// The ways in which the tool itself was the bottleneck. If there are any, the figures do not show the fronts' limits.
    pub fn limits(&self) -> Vec<String> {
        let mut limits = Vec::new();
        if self.totals.not_sent > 0 {
            limits.push(format!(
                "{} RPCs were not sent, as too many were open: give --most-open or more threads",
                self.totals.not_sent
            ));
        }
        let late = self.lag.value_at_quantile(0.99) as Ns * 1_000;
        if late > MAX_LAG {
            limits.push(format!("one in a hundred was sent {:.1} ms late or more", late as f64 / MS as f64));
        }
        let busiest = self.busy.iter().copied().fold(0.0, f64::max);
        if busiest > MAX_BUSY {
            limits.push(format!("its busiest thread worked {:.0}% of the time", 100.0 * busiest));
        }
        limits
    }
}

pub(crate) fn second(since: Ns) -> usize {
    (since.max(0) / SEC) as usize
}

#[cfg(test)]
mod tests {
    use super::*;

    fn result() -> Result {
        Result {
            totals: ClientTotals::default(),
            tries: 0,
            times: Vec::new(),
            lag: latency_histogram().unwrap(),
            by_second: Vec::new(),
            builds: [(1, 70), (2, 30)].into(),
            busy: vec![0.2, 0.5],
            threads: 2,
        }
    }

    #[test]
    fn each_limit_of_the_tool_is_reported_and_none_when_it_keeps_up() {
        assert_eq!((result().limits(), result().newest()), (Vec::<String>::new(), 0.3));
        let mut r = result();
        r.lag.record_n(5_000, 10).unwrap();
        (r.totals.not_sent, r.busy[1]) = (7, 0.93);
        let said = r.limits().join("; ");
        assert!(said.contains("7 RPCs") && said.contains("5.0 ms late") && said.contains("93%"), "{said}");
    }

    #[test]
    fn results_of_threads_are_summed() {
        let (mut a, mut b) = (result(), result());
        (a.totals.ok, b.totals.ok, b.by_second) = (3, 4, vec![[2.0, 1.0]]);
        b.lag.record(9).unwrap();
        a.add(b).unwrap();
        assert_eq!((a.totals.ok, a.lag.len(), a.threads, a.by_second.len()), (7, 1, 4, 1));
        assert_eq!(a.builds[&2], 60);
    }
}
