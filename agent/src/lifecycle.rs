//! What the agent of one place decides: no I/O, no clock. Orders say which builds should run here; events say
//! what became of what was done; [`Lifecycle::step`] says what to do next.
//!
//! Who is right when agent, controller and roster disagree: about what *runs*, the agent, which looks at its
//! processes and reports what is; about what *should* run, the order of the highest generation; about who may
//! still be sent RPCs, the roster, as fronts know nothing else. So an agent never ends a build that has served
//! before the controller says that its drain is over, whatever the order.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Whole nanoseconds.
pub type Ns = i64;
const SEC: Ns = 1_000_000_000;

/// A build that is not ready within this has failed.
const START_WITHIN: Ns = 10 * SEC;
/// A process that was asked to end and has not is killed after this.
const KILL_AFTER: Ns = 5 * SEC;
/// Waits after failures double from here to there, and are drawn from their upper half, so that a fleet whose
/// fetches fail together does not come again together.
const FIRST_WAIT: Ns = SEC / 2;
const LONGEST_WAIT: Ns = 30 * SEC;
/// Failures in a row after which the place is told of as unfit for the build; tries go on.
pub const UNFIT_FAILURES: u32 = 3;
/// A build that has run this long has left its earlier failures behind.
const STEADY: Ns = 60 * SEC;
/// Artefacts kept that nobody wants now; the one to go back to is kept besides.
const MOST_KEPT: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Fetching,
    Verified,
    Starting,
    Warming,
    Serving,
    Draining,
    Stopping,
    /// Waits to be tried again.
    Failed,
}

pub fn state_name(state: State) -> &'static str {
    match state {
        State::Fetching => "fetching",
        State::Verified => "verified",
        State::Starting => "starting",
        State::Warming => "warming",
        State::Serving => "serving",
        State::Draining => "draining",
        State::Stopping => "stopping",
        State::Failed => "failed",
    }
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fetch the build and check it against what was signed.
    Fetch(u32),
    /// Leave a fetch; what has come of it may stay for a later one.
    CancelFetch(u32),
    /// Check the artefact once more, then start it.
    Start(u32),
    /// Ask the process to end; then kill its whole group.
    Terminate(u32),
    Kill(u32),
    /// Throw an artefact away.
    Delete(u32),
}

#[derive(Clone, Debug)]
pub struct Job {
    pub state: State,
    since: Ns,
    failures: u32,
    retry: Ns,
    killed: bool,
    pub why: String,
}

pub struct Lifecycle {
    pub generation: u64,
    pub wanted: BTreeSet<u32>,
    pub keep: BTreeSet<u32>,
    pub jobs: BTreeMap<u32, Job>,
    /// Artefacts that are here and were checked.
    pub artefacts: BTreeSet<u32>,
    chance: StdRng,
}

impl Lifecycle {
    pub fn new(seed: u64) -> Lifecycle {
        Lifecycle {
            generation: 0,
            wanted: BTreeSet::new(),
            keep: BTreeSet::new(),
            jobs: BTreeMap::new(),
            artefacts: BTreeSet::new(),
            chance: StdRng::seed_from_u64(seed),
        }
    }

    /// An order; one older than the last taken changes nothing.
    pub fn apply_order(&mut self, generation: u64, wanted: BTreeSet<u32>, keep: BTreeSet<u32>) -> bool {
        if generation < self.generation {
            return false;
        }
        (self.generation, self.wanted, self.keep) = (generation, wanted, keep);
        true
    }

    fn job(&mut self, build: u32, state: State, now: Ns) {
        let fresh = Job { state, since: now, failures: 0, retry: 0, killed: false, why: String::new() };
        let job = self.jobs.entry(build).or_insert(fresh);
        (job.state, job.since, job.killed) = (state, now, false);
    }

    /// A process of this build was found running when the agent came up. What is, not what was ordered.
    pub fn adopt(&mut self, now: Ns, build: u32, state: State) {
        self.job(build, state, now);
        self.artefacts.insert(build);
    }

    pub fn fetched(&mut self, now: Ns, build: u32, end: Result<(), String>) {
        match end {
            Ok(()) => {
                self.artefacts.insert(build);
                if self.jobs.get(&build).is_some_and(|j| j.state == State::Fetching) {
                    self.job(build, State::Verified, now);
                }
            }
            Err(why) => self.failed(now, build, why),
        }
    }

    /// The process listens; then it is ready for RPCs.
    pub fn listens(&mut self, now: Ns, build: u32) {
        self.moved(now, build, State::Starting, State::Warming);
    }

    pub fn ready(&mut self, now: Ns, build: u32) {
        self.moved(now, build, State::Warming, State::Serving);
    }

    fn moved(&mut self, now: Ns, build: u32, from: State, to: State) {
        if let Some(job) = self.jobs.get_mut(&build).filter(|j| j.state == from) {
            (job.state, job.since) = (to, now);
        }
    }

    /// The artefact is not what was signed for any more: fetched anew.
    pub fn artefact_damaged(&mut self, now: Ns, build: u32, why: String) {
        self.artefacts.remove(&build);
        self.failed(now, build, why);
    }

    /// The process has ended, by itself or as asked.
    pub fn exited(&mut self, now: Ns, build: u32, how: String) {
        match self.jobs.get(&build).map(|j| j.state) {
            Some(State::Stopping) => drop(self.jobs.remove(&build)),
            Some(State::Draining) if !self.wanted.contains(&build) => drop(self.jobs.remove(&build)),
            Some(_) => self.failed(now, build, how),
            None => {}
        }
    }

    /// The controller's word that fronts have left it and its drain is over.
    pub fn drained(&mut self, now: Ns, build: u32) -> Vec<Action> {
        match self.jobs.get_mut(&build).filter(|j| j.state == State::Draining) {
            Some(job) => {
                (job.state, job.since) = (State::Stopping, now);
                vec![Action::Terminate(build)]
            }
            None => Vec::new(),
        }
    }

    pub fn failed(&mut self, now: Ns, build: u32, why: String) {
        let draw = self.chance.random_range(0.5..1.0);
        let Some(job) = self.jobs.get_mut(&build) else { return };
        if matches!(job.state, State::Serving | State::Draining) && now - job.since > STEADY {
            job.failures = 0;
        }
        job.failures += 1;
        let wait = (FIRST_WAIT << (job.failures - 1).min(16)).min(LONGEST_WAIT);
        (job.state, job.since, job.why) = (State::Failed, now, why);
        job.retry = now + (wait as f64 * draw) as Ns;
    }

    /// Failed so often in a row that the place should not be counted on for this build.
    pub fn unfit(&self, build: u32) -> bool {
        self.jobs
            .get(&build)
            .is_some_and(|j| j.failures >= UNFIT_FAILURES && !matches!(j.state, State::Serving))
    }

    pub fn step(&mut self, now: Ns) -> Vec<Action> {
        let mut todo = Vec::new();
        for build in self.wanted.clone() {
            let have = self.artefacts.contains(&build);
            let state = self.jobs.get(&build).map(|j| j.state);
            let again = self.jobs.get(&build).is_some_and(|j| j.state == State::Failed && j.retry <= now);
            match state {
                None if have => self.job(build, State::Verified, now),
                Some(State::Failed) if again && have => self.job(build, State::Verified, now),
                None => {
                    self.job(build, State::Fetching, now);
                    todo.push(Action::Fetch(build));
                }
                Some(State::Failed) if again => {
                    self.job(build, State::Fetching, now);
                    todo.push(Action::Fetch(build));
                }
                // Wanted again before its drain was over: it never stopped serving.
                Some(State::Draining) => self.job(build, State::Serving, now),
                _ => {}
            }
            if self.jobs.get(&build).is_some_and(|j| j.state == State::Verified) {
                // Its start is in hand: the event of it moves the state on.
                self.job(build, State::Starting, now);
                todo.push(Action::Start(build));
            }
        }
        let unwanted: Vec<u32> = self.jobs.keys().copied().filter(|b| !self.wanted.contains(b)).collect();
        for build in unwanted {
            match self.jobs[&build].state {
                State::Fetching => {
                    self.jobs.remove(&build);
                    todo.push(Action::CancelFetch(build));
                }
                State::Verified | State::Failed => drop(self.jobs.remove(&build)),
                // It has never served, so nobody has to be told first.
                State::Starting | State::Warming => {
                    self.job(build, State::Stopping, now);
                    todo.push(Action::Terminate(build));
                }
                State::Serving => self.job(build, State::Draining, now),
                State::Draining | State::Stopping => {}
            }
        }
        for (build, job) in &mut self.jobs {
            let waited = now - job.since;
            let starts = matches!(job.state, State::Starting | State::Warming) && waited > START_WITHIN;
            let stops = job.state == State::Stopping && waited > KILL_AFTER;
            if (starts || stops) && !job.killed {
                job.killed = true;
                todo.push(Action::Kill(*build));
            }
        }
        // The lowest artefacts go first: the newest are the likeliest to be wanted again.
        let needed = |b: &u32| self.wanted.contains(b) || self.keep.contains(b) || self.jobs.contains_key(b);
        let idle: Vec<u32> = self.artefacts.iter().copied().filter(|b| !needed(b)).collect();
        for build in idle.iter().take(idle.len().saturating_sub(MOST_KEPT)) {
            self.artefacts.remove(build);
            todo.push(Action::Delete(*build));
        }
        todo
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn serving(builds: &[u32]) -> Lifecycle {
        let mut lifecycle = Lifecycle::new(1);
        builds.iter().for_each(|b| lifecycle.adopt(0, *b, State::Serving));
        lifecycle.apply_order(1, builds.iter().copied().collect(), BTreeSet::new());
        lifecycle
    }

    fn set(builds: &[u32]) -> BTreeSet<u32> {
        builds.iter().copied().collect()
    }

    #[test]
    fn a_build_is_fetched_checked_started_and_serves_only_when_ready() {
        let mut lifecycle = Lifecycle::new(1);
        lifecycle.apply_order(1, set(&[2]), set(&[]));
        assert_eq!(lifecycle.step(0), [Action::Fetch(2)]);
        assert_eq!(lifecycle.step(SEC), []);
        lifecycle.fetched(SEC, 2, Ok(()));
        assert_eq!(lifecycle.step(SEC), [Action::Start(2)]);
        assert_eq!(lifecycle.step(SEC), [], "once");
        lifecycle.ready(SEC, 2);
        assert_eq!(lifecycle.jobs[&2].state, State::Starting, "not before it listens");
        lifecycle.listens(SEC, 2);
        lifecycle.ready(SEC, 2);
        assert_eq!((lifecycle.jobs[&2].state, lifecycle.step(60 * SEC)), (State::Serving, vec![]));
    }

    #[test]
    fn an_older_order_undoes_nothing_and_a_rollback_meets_every_state() {
        let mut lifecycle = serving(&[1, 2]);
        assert!(lifecycle.apply_order(7, set(&[1]), set(&[1])));
        assert!(!lifecycle.apply_order(6, set(&[1, 2]), set(&[1])));
        assert_eq!((lifecycle.step(0), lifecycle.jobs[&2].state), (vec![], State::Draining));
        assert_eq!(lifecycle.step(60 * SEC), [], "it goes on until its drain is over, however long");
        assert_eq!(lifecycle.drained(60 * SEC, 2), [Action::Terminate(2)]);
        assert_eq!(lifecycle.drained(60 * SEC, 1), [], "one that serves is not ended by a word for another");
        assert_eq!(lifecycle.step(66 * SEC), [Action::Kill(2)]);
        assert_eq!(lifecycle.step(67 * SEC), [], "once");
        lifecycle.exited(67 * SEC, 2, "killed".into());
        assert!(!lifecycle.jobs.contains_key(&2));
        for state in [State::Starting, State::Warming] {
            let mut lifecycle = serving(&[1]);
            lifecycle.adopt(0, 2, state);
            lifecycle.apply_order(2, set(&[1]), set(&[]));
            assert_eq!(lifecycle.step(0), [Action::Terminate(2)], "{state:?}: never served, so at once");
        }
        let mut lifecycle = serving(&[1]);
        lifecycle.apply_order(2, set(&[1, 2]), set(&[]));
        assert_eq!(lifecycle.step(0), [Action::Fetch(2)]);
        lifecycle.apply_order(3, set(&[1]), set(&[]));
        assert_eq!(lifecycle.step(0), [Action::CancelFetch(2)]);
        lifecycle.fetched(SEC, 2, Ok(()));
        assert_eq!(lifecycle.step(SEC), [], "what comes late starts nothing");
    }

    #[test]
    fn failures_wait_longer_each_time_and_make_the_place_unfit() {
        let mut lifecycle = Lifecycle::new(1);
        lifecycle.apply_order(1, set(&[2]), set(&[]));
        let (mut now, mut waits) = (0, Vec::new());
        for _ in 0..9 {
            let began = now;
            while !lifecycle.step(now).contains(&Action::Fetch(2)) {
                now += SEC / 100;
            }
            waits.push(now - began);
            lifecycle.fetched(now, 2, Err("no".into()));
        }
        assert!(waits[1] >= FIRST_WAIT / 2 && waits[4] >= 2 * SEC && waits[8] <= LONGEST_WAIT, "{waits:?}");
        assert!(lifecycle.unfit(2));
        // One that does not come up in time is killed, and its end counts as a failure.
        let mut lifecycle = serving(&[]);
        lifecycle.apply_order(2, set(&[3]), set(&[]));
        lifecycle.artefacts.insert(3);
        assert_eq!(lifecycle.step(0), [Action::Start(3)]);
        assert_eq!(lifecycle.step(11 * SEC), [Action::Kill(3)]);
        lifecycle.exited(11 * SEC, 3, "killed".into());
        assert_eq!(lifecycle.jobs[&3].state, State::Failed);
    }

    #[test]
    fn the_one_to_go_back_to_is_never_thrown_away() {
        let mut lifecycle = serving(&[9]);
        lifecycle.artefacts.extend([1, 2, 3, 4, 5]);
        lifecycle.apply_order(2, set(&[9]), set(&[1, 9]));
        assert_eq!(lifecycle.step(0), [Action::Delete(2), Action::Delete(3)]);
        assert!(lifecycle.artefacts.contains(&1));
    }

    #[test]
    fn a_drain_taken_back_serves_on_and_a_crash_while_draining_is_an_end() {
        let mut lifecycle = serving(&[1, 2]);
        lifecycle.apply_order(2, set(&[1]), set(&[]));
        lifecycle.step(0);
        lifecycle.apply_order(3, set(&[1, 2]), set(&[]));
        assert_eq!((lifecycle.step(0), lifecycle.jobs[&2].state), (vec![], State::Serving));
        lifecycle.apply_order(4, set(&[1]), set(&[]));
        lifecycle.step(0);
        lifecycle.exited(0, 2, "crashed".into());
        assert!(!lifecycle.jobs.contains_key(&2));
    }
}
