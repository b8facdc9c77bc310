//! The decisions of one place's agent, without I/O or a clock. Orders say which builds should run here, events report
//! the results of actions, and [`Lifecycle::step`] returns the next actions.
//!
//! Which source is authoritative when agent, controller and roster disagree: on what *runs*, the agent, which observes
//! its processes; on what *should* run, the order of the highest generation; on which machines may still receive RPCs,
//! the roster, as fronts know nothing else. So an agent never ends a build that has served before the controller
//! reports that its drain is over, whatever the order says.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Time in nanoseconds.
pub type Ns = i64;
const SEC: Ns = 1_000_000_000;

/// A build that is not ready after this time has failed.
const START_TIMEOUT: Ns = 10 * SEC;
/// Delay between SIGTERM and SIGKILL.
const KILL_DELAY: Ns = 5 * SEC;
/// Bounds of the retry delay, which doubles with each failure. It is drawn from its upper half, so that a fleet whose
/// fetches fail together does not retry together.
const MIN_RETRY_DELAY: Ns = SEC / 2;
const MAX_RETRY_DELAY: Ns = 30 * SEC;
/// Consecutive failures after which the place is reported as unfit for the build; retries go on.
pub const UNFIT_FAILURES: u32 = 3;
/// When a build has run this long, its earlier failures no longer count.
const STABLE_TIME: Ns = 60 * SEC;
/// Most artefacts kept that are not wanted now, besides the one for a rollback.
const MAX_IDLE_ARTEFACTS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Fetching,
    Verified,
    Starting,
    Warming,
    Serving,
    Draining,
    Stopping,
    /// Waits for a retry.
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

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fetch the build and verify it against the signed metadata.
    Fetch(u32),
    /// Cancel a fetch; bytes received so far may be kept for a later one.
    CancelFetch(u32),
    /// Verify the artefact again, then start it.
    Start(u32),
    /// Send SIGTERM to the process group.
    Terminate(u32),
    /// Send SIGKILL to the process group.
    Kill(u32),
    /// Delete an artefact.
    Delete(u32),
}

#[derive(Clone, Debug)]
pub struct Job {
    pub state: State,
    since: Ns,
    failures: u32,
    retry_at: Ns,
    killed: bool,
    pub why: String,
}

pub struct Lifecycle {
    pub generation: u64,
    pub wanted: BTreeSet<u32>,
    pub keep: BTreeSet<u32>,
    pub jobs: BTreeMap<u32, Job>,
    /// Builds whose artefact is on disk and was verified.
    pub artefacts: BTreeSet<u32>,
    rng: StdRng,
}

impl Lifecycle {
    pub fn new(seed: u64) -> Lifecycle {
        Lifecycle {
            generation: 0,
            wanted: BTreeSet::new(),
            keep: BTreeSet::new(),
            jobs: BTreeMap::new(),
            artefacts: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Applies an order; one of a lower generation than the last is ignored. Returns whether it was applied.
    pub fn apply_order(&mut self, generation: u64, wanted: BTreeSet<u32>, keep: BTreeSet<u32>) -> bool {
        if generation < self.generation {
            return false;
        }
        (self.generation, self.wanted, self.keep) = (generation, wanted, keep);
        true
    }

    fn set_state(&mut self, build: u32, state: State, now: Ns) {
        let new_job = Job { state, since: now, failures: 0, retry_at: 0, killed: false, why: String::new() };
        let job = self.jobs.entry(build).or_insert(new_job);
        (job.state, job.since, job.killed) = (state, now, false);
    }

    /// Takes over a process of this build that was found running at the agent's start, whatever the order says.
    pub fn adopt(&mut self, now: Ns, build: u32, state: State) {
        self.set_state(build, state, now);
        self.artefacts.insert(build);
    }

    pub fn fetched(&mut self, now: Ns, build: u32, end: Result<(), String>) {
        match end {
            Ok(()) => {
                self.artefacts.insert(build);
                if self.jobs.get(&build).is_some_and(|j| j.state == State::Fetching) {
                    self.set_state(build, State::Verified, now);
                }
            }
            Err(why) => self.failed(now, build, why),
        }
    }

    /// The process listens, but is not ready for RPCs yet.
    pub fn listens(&mut self, now: Ns, build: u32) {
        self.advance(now, build, State::Starting, State::Warming);
    }

    pub fn ready(&mut self, now: Ns, build: u32) {
        self.advance(now, build, State::Warming, State::Serving);
    }

    fn advance(&mut self, now: Ns, build: u32, from: State, to: State) {
        if let Some(job) = self.jobs.get_mut(&build).filter(|j| j.state == from) {
            (job.state, job.since) = (to, now);
        }
    }

    /// The artefact no longer matches its recorded hash; it will be fetched again.
    pub fn artefact_damaged(&mut self, now: Ns, build: u32, why: String) {
        self.artefacts.remove(&build);
        self.failed(now, build, why);
    }

    /// The process has ended, by itself or on request.
    pub fn exited(&mut self, now: Ns, build: u32, how: String) {
        match self.jobs.get(&build).map(|j| j.state) {
            Some(State::Stopping) => drop(self.jobs.remove(&build)),
            Some(State::Draining) if !self.wanted.contains(&build) => drop(self.jobs.remove(&build)),
            Some(_) => self.failed(now, build, how),
            None => {}
        }
    }

    /// The controller reports that the build's drain is over and fronts no longer use it.
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
        let draw = self.rng.random_range(0.5..1.0);
        let Some(job) = self.jobs.get_mut(&build) else { return };
        if matches!(job.state, State::Serving | State::Draining) && now - job.since > STABLE_TIME {
            job.failures = 0;
        }
        job.failures += 1;
        let wait = (MIN_RETRY_DELAY << (job.failures - 1).min(16)).min(MAX_RETRY_DELAY);
        (job.state, job.since, job.why) = (State::Failed, now, why);
        job.retry_at = now + (wait as f64 * draw) as Ns;
    }

    /// Whether the build has failed so often in a row that the place should not be relied on for it.
    pub fn unfit(&self, build: u32) -> bool {
        self.jobs
            .get(&build)
            .is_some_and(|j| j.failures >= UNFIT_FAILURES && !matches!(j.state, State::Serving))
    }

    /// Compares the order with the state of each build and returns the actions to take.
    pub fn step(&mut self, now: Ns) -> Vec<Action> {
        let mut actions = Vec::new();
        for build in self.wanted.clone() {
            let has_artefact = self.artefacts.contains(&build);
            let state = self.jobs.get(&build).map(|j| j.state);
            let retry_due =
                self.jobs.get(&build).is_some_and(|j| j.state == State::Failed && j.retry_at <= now);
            match state {
                None if has_artefact => self.set_state(build, State::Verified, now),
                Some(State::Failed) if retry_due && has_artefact => {
                    self.set_state(build, State::Verified, now)
                }
                None => {
                    self.set_state(build, State::Fetching, now);
                    actions.push(Action::Fetch(build));
                }
                Some(State::Failed) if retry_due => {
                    self.set_state(build, State::Fetching, now);
                    actions.push(Action::Fetch(build));
                }
                // Wanted again before its drain was over, so it never stopped serving.
                Some(State::Draining) => self.set_state(build, State::Serving, now),
                _ => {}
            }
            if self.jobs.get(&build).is_some_and(|j| j.state == State::Verified) {
                // The start is under way; the event that reports it changes the state.
                self.set_state(build, State::Starting, now);
                actions.push(Action::Start(build));
            }
        }
        let unwanted: Vec<u32> = self.jobs.keys().copied().filter(|b| !self.wanted.contains(b)).collect();
        for build in unwanted {
            match self.jobs[&build].state {
                State::Fetching => {
                    self.jobs.remove(&build);
                    actions.push(Action::CancelFetch(build));
                }
                State::Verified | State::Failed => drop(self.jobs.remove(&build)),
                // It has never served, so no drain is needed.
                State::Starting | State::Warming => {
                    self.set_state(build, State::Stopping, now);
                    actions.push(Action::Terminate(build));
                }
                State::Serving => self.set_state(build, State::Draining, now),
                State::Draining | State::Stopping => {}
            }
        }
        for (build, job) in &mut self.jobs {
            let elapsed = now - job.since;
            let start_timed_out =
                matches!(job.state, State::Starting | State::Warming) && elapsed > START_TIMEOUT;
            let stop_timed_out = job.state == State::Stopping && elapsed > KILL_DELAY;
            if (start_timed_out || stop_timed_out) && !job.killed {
                job.killed = true;
                actions.push(Action::Kill(*build));
            }
        }
        // The lowest builds are deleted first: the newest are the most likely to be wanted again.
        let needed = |b: &u32| self.wanted.contains(b) || self.keep.contains(b) || self.jobs.contains_key(b);
        let idle: Vec<u32> = self.artefacts.iter().copied().filter(|b| !needed(b)).collect();
        for build in idle.iter().take(idle.len().saturating_sub(MAX_IDLE_ARTEFACTS)) {
            self.artefacts.remove(build);
            actions.push(Action::Delete(*build));
        }
        actions
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
    fn a_build_is_fetched_verified_started_and_serves_only_when_ready() {
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
    fn an_older_order_is_ignored_and_a_rollback_works_in_every_state() {
        let mut lifecycle = serving(&[1, 2]);
        assert!(lifecycle.apply_order(7, set(&[1]), set(&[1])));
        assert!(!lifecycle.apply_order(6, set(&[1, 2]), set(&[1])));
        assert_eq!((lifecycle.step(0), lifecycle.jobs[&2].state), (vec![], State::Draining));
        assert_eq!(lifecycle.step(60 * SEC), [], "it keeps serving until its drain is over, however long");
        assert_eq!(lifecycle.drained(60 * SEC, 2), [Action::Terminate(2)]);
        assert_eq!(
            lifecycle.drained(60 * SEC, 1),
            [],
            "a serving build ignores a report that its drain is over"
        );
        assert_eq!(lifecycle.step(66 * SEC), [Action::Kill(2)]);
        assert_eq!(lifecycle.step(67 * SEC), [], "once");
        lifecycle.exited(67 * SEC, 2, "killed".into());
        assert!(!lifecycle.jobs.contains_key(&2));
        for state in [State::Starting, State::Warming] {
            let mut lifecycle = serving(&[1]);
            lifecycle.adopt(0, 2, state);
            lifecycle.apply_order(2, set(&[1]), set(&[]));
            assert_eq!(
                lifecycle.step(0),
                [Action::Terminate(2)],
                "{state:?}: never served, so terminated at once"
            );
        }
        let mut lifecycle = serving(&[1]);
        lifecycle.apply_order(2, set(&[1, 2]), set(&[]));
        assert_eq!(lifecycle.step(0), [Action::Fetch(2)]);
        lifecycle.apply_order(3, set(&[1]), set(&[]));
        assert_eq!(lifecycle.step(0), [Action::CancelFetch(2)]);
        lifecycle.fetched(SEC, 2, Ok(()));
        assert_eq!(lifecycle.step(SEC), [], "a late fetch starts nothing");
    }

    #[test]
    fn failures_double_the_retry_delay_and_make_the_place_unfit() {
        let mut lifecycle = Lifecycle::new(1);
        lifecycle.apply_order(1, set(&[2]), set(&[]));
        let (mut now, mut waits) = (0, Vec::new());
        for _ in 0..9 {
            let started = now;
            while !lifecycle.step(now).contains(&Action::Fetch(2)) {
                now += SEC / 100;
            }
            waits.push(now - started);
            lifecycle.fetched(now, 2, Err("no".into()));
        }
        assert!(
            waits[1] >= MIN_RETRY_DELAY / 2 && waits[4] >= 2 * SEC && waits[8] <= MAX_RETRY_DELAY,
            "{waits:?}"
        );
        assert!(lifecycle.unfit(2));
        // A build that is not ready in time is killed, and its exit counts as a failure.
        let mut lifecycle = serving(&[]);
        lifecycle.apply_order(2, set(&[3]), set(&[]));
        lifecycle.artefacts.insert(3);
        assert_eq!(lifecycle.step(0), [Action::Start(3)]);
        assert_eq!(lifecycle.step(11 * SEC), [Action::Kill(3)]);
        lifecycle.exited(11 * SEC, 3, "killed".into());
        assert_eq!(lifecycle.jobs[&3].state, State::Failed);
    }

    #[test]
    fn the_build_to_roll_back_to_is_never_deleted() {
        let mut lifecycle = serving(&[9]);
        lifecycle.artefacts.extend([1, 2, 3, 4, 5]);
        lifecycle.apply_order(2, set(&[9]), set(&[1, 9]));
        assert_eq!(lifecycle.step(0), [Action::Delete(2), Action::Delete(3)]);
        assert!(lifecycle.artefacts.contains(&1));
    }

    #[test]
    fn a_cancelled_drain_serves_again_and_a_crash_while_draining_ends_the_job() {
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
