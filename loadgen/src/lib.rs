//! Load at real fronts, as clients make it: an open loop on a schedule fixed beforehand. An RPC's time counts
//! from when it was due, whether or not it could be sent then, so that a front that stands still is not
//! spared the RPCs that would have come meanwhile (Tene, "How not to measure latency"). Threads share one
//! schedule: each makes all of it and sends its part, so that their number changes nothing but who sends.
//!
//! The tool watches itself: how late it sends, how busy its threads are, what it could not hold open.
mod thread;

use hdrhistogram::Histogram;
use rockpick_control::Settings;
use rockpick_fakes::client_model::ClientTotals;
use rockpick_fakes::{Arrivals, Load};
use rockpick_net::{Ns, MS, SEC};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Threads at most: each makes the whole schedule, which costs some 200 ns an RPC.
pub const MAX_THREADS: usize = 64;
/// From spawning threads to the first RPC: all are up by then.
const LEAD: Duration = Duration::from_millis(100);
/// A send later than this has not kept its schedule: below it lie epoll's own wakes.
const LATE: Ns = 2 * MS;
/// A thread that works more of its time than this sends late before long.
const BUSY: f64 = 0.8;

/// What is to be sent, and where.
#[derive(Clone)]
pub struct LoadTest {
    pub fronts: Vec<SocketAddr>,
    /// Their names among the settings' fronts, in the same order.
    pub names: Vec<String>,
    pub settings: Settings,
    pub load: Load,
    pub arrivals: Arrivals,
    pub duration: Ns,
    /// Tries after the first.
    pub retries: u32,
    pub work_ms: f64,
    pub seed: u64,
    pub threads: usize,
    /// RPCs open or waiting for their next try, over all threads; one more is not sent, and told.
    pub max_open: usize,
    /// File for a record of each try, for a replay or the checker.
    pub record: Option<PathBuf>,
}

/// One method's ok RPCs.
#[derive(Clone)]
pub struct Times {
    /// From when it was due to its ok, and from the last try's sending to its ok; us.
    pub due: Histogram<u64>,
    pub sent: Histogram<u64>,
}

/// What came of it.
pub struct Result {
    pub tolls: ClientTotals,
    pub tries: u64,
    pub times: Vec<Times>,
    /// How late first tries were sent, us.
    pub lag: Histogram<u64>,
    /// Utility asked for and served in time, by the second in which RPCs were due.
    pub by_second: Vec<[f64; 2]>,
    /// Ok RPCs by build.
    pub builds: std::collections::BTreeMap<u32, u64>,
    /// Share of its time that each thread worked.
    pub busy: Vec<f64>,
    pub threads: usize,
}

/// Microseconds up to ten minutes, to three digits.
pub(crate) fn micros() -> std::result::Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|err| err.to_string())
}

impl LoadTest {
    /// Sends for as long as told and waits for what is open.
    ///
    /// # Errors
    /// A course that makes no sense, sockets or the record that can't be had, a thread that failed.
    pub fn run(&self) -> std::result::Result<Result, String> {
        if self.fronts.is_empty() || self.fronts.len() != self.names.len() {
            return Err("no fronts, or not a name for each".into());
        }
        if !(1..=MAX_THREADS).contains(&self.threads) || self.max_open < self.threads {
            return Err(format!("1 to {MAX_THREADS} threads, and an open RPC for each at the least"));
        }
        let begin = Instant::now() + LEAD;
        let parts = std::thread::scope(|scope| {
            let run = |nth| scope.spawn(move || thread::run(self, nth, begin));
            let threads: Vec<_> = (0..self.threads).map(run).collect();
            let joined = threads.into_iter().map(|t| t.join());
            joined.map(|r| r.unwrap_or_else(|_| Err("a thread has panicked".into()))).collect::<Vec<_>>()
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
        let (t, o) = (&mut self.tolls, &other.tolls);
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

    /// All methods' times from when RPCs were due.
    ///
    /// # Errors
    /// None in practice: the histograms' bounds are the same.
    pub fn all(&self) -> std::result::Result<Histogram<u64>, String> {
        let mut all = micros()?;
        self.times.iter().try_for_each(|t| all.add(&t.due)).map_err(|err| err.to_string())?;
        Ok(all)
    }

    /// Ok RPCs at the newest build, as a share of all ok; none while there is one build alone.
    pub fn newest(&self) -> f64 {
        let all: u64 = self.builds.values().sum();
        let newest = self.builds.last_key_value().filter(|_| self.builds.len() > 1).map_or(0, |(_, n)| *n);
        newest as f64 / all.max(1) as f64
    }

    /// In what the tool itself was the limit: where this says anything, the figures are not the fronts' own.
    pub fn limits(&self) -> Vec<String> {
        let mut limits = Vec::new();
        if self.tolls.not_sent > 0 {
            limits.push(format!(
                "{} RPCs were not sent, as too many were open: give --most-open or more threads",
                self.tolls.not_sent
            ));
        }
        let late = self.lag.value_at_quantile(0.99) as Ns * 1_000;
        if late > LATE {
            limits.push(format!("one in a hundred was sent {:.1} ms late or more", late as f64 / MS as f64));
        }
        let busiest = self.busy.iter().copied().fold(0.0, f64::max);
        if busiest > BUSY {
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
            tolls: ClientTotals::default(),
            tries: 0,
            times: Vec::new(),
            lag: micros().unwrap(),
            by_second: Vec::new(),
            builds: [(1, 70), (2, 30)].into(),
            busy: vec![0.2, 0.5],
            threads: 2,
        }
    }

    #[test]
    fn a_tool_in_time_is_no_limit_and_each_way_of_being_one_is_told() {
        assert_eq!((result().limits(), result().newest()), (Vec::<String>::new(), 0.3));
        let mut r = result();
        r.lag.record_n(5_000, 10).unwrap();
        (r.tolls.not_sent, r.busy[1]) = (7, 0.93);
        let said = r.limits().join("; ");
        assert!(said.contains("7 RPCs") && said.contains("5.0 ms late") && said.contains("93%"), "{said}");
    }

    #[test]
    fn parts_add_up() {
        let (mut a, mut b) = (result(), result());
        (a.tolls.ok, b.tolls.ok, b.by_second) = (3, 4, vec![[2.0, 1.0]]);
        b.lag.record(9).unwrap();
        a.add(b).unwrap();
        assert_eq!((a.tolls.ok, a.lag.len(), a.threads, a.by_second.len()), (7, 1, 4, 1));
        assert_eq!(a.builds[&2], 60);
    }
}
