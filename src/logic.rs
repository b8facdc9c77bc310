//! Every decision of a front, with its state and its tuned constants. Call [`Front::start`] once with the
//! [`FrontConfig`] read at start-up, then the method named after each event (`roster_updated`,
//! `rpc_received`, `pick_ended`, `timer_fired`, ...) in the order of events. Each call gets an [`Actions`],
//! through which the decisions take effect. The types and `Actions` are in `interface.rs`, the random
//! number generator in `rng.rs`, time windows in `time_buckets.rs`, counts in `tally.rs`.
use crate::failure_odds::chance_of;
use crate::interface::*;
use crate::latency_histogram::LatencyHistogram;
use crate::rank_sum::RankSum;
use crate::rng::Rng;
use crate::tally::*;
use crate::time_buckets::TimeBuckets;
use std::collections::{BTreeMap, BTreeSet};

const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;

/// Number of intervals for which outcomes are kept, 12 s in all: long enough for a front with little
/// traffic, short enough that a build which starts to fail late still shows.
const EVIDENCE_INTERVALS: i64 = 24;
/// Width of a time bucket, and the interval between tests: the shortest in which a front with little
/// traffic still gathers outcomes.
const INTERVAL: Ns = SEC / 2;

impl<T: Clone + Default> Default for TimeBuckets<T> {
    fn default() -> Self {
        TimeBuckets::new(INTERVAL, EVIDENCE_INTERVALS as usize)
    }
}

/// Whether `new` has more failures than chance explains at the failure rate of `old`; `odds` is the
/// accepted probability of a false alarm.
pub fn deviates(new: Count, old: Count, odds: f64) -> bool {
    // The margin: a single failure, or a difference of under one percentage point, does not justify a
    // rollback to an older build.
    failure_rate(new) >= failure_rate(old) + 0.01 && chance_of(new, old) < odds
}

/// Describes a row of the platform's counts in which the new build fails far more often than the old one,
/// by more than `margin` and beyond chance.
fn large_gap([new, old]: [Counts; 2], margin: f64) -> Option<String> {
    let exceeds =
        |r: &usize| failure_rate(new[*r]) > 3.0 * failure_rate(old[*r]) + margin && old[ALL][0] >= 100;
    let row = (0..ROWS).filter(exceeds).find(|r| chance_of(new[*r], old[*r]) < 1e-6)?;
    Some(format!("row {row}: {:?} against {:?}", new[row], old[row]))
}

/// Tells a machine's current process from an earlier one under the same name, by build and start time.
type ProcessId = (u32, Option<Ns>);

#[derive(Default)]
struct Machine {
    member: Member,
    /// RPCs of this front that it holds.
    open_rpcs: f64,
    /// Latency relative to the mean of the method; 1 is usual.
    slowness: f64,
    /// How consistently it fails this front, from 0 to 1.
    failure_score: f64,
    /// When it last answered ok; long ago if a failure followed.
    last_ok: Ns,
    /// Random draw, made once per process, that decides which machines a front with a small share
    /// concentrates on.
    affinity: f64,
    counts: TimeBuckets<Counts>,
    /// Picks that this front may still send while the machine is cold, and the time this was computed for.
    warmup_credit: (f64, Ns),
}

impl Machine {
    /// Load relative to capacity, with `more` additional RPCs.
    fn load_ratio(&self, more: f64, now: Ns, limits: &SafetyLimits) -> f64 {
        (self.open_rpcs + more) / self.capacity(now, limits) * self.slowness.max(0.1).sqrt()
    }

    fn is_up(&self) -> bool {
        self.member.state == State::Up
    }

    /// How far it has warmed up since its start, from 0 to 1.
    fn warm_fraction(&self, now: Ns, limits: &SafetyLimits) -> f64 {
        let age = self.member.started.map_or(limits.cold_time, |at| (now - at).clamp(0, limits.cold_time));
        age as f64 / limits.cold_time.max(1) as f64
    }

    /// Its weight, scaled by the least it can serve at its current warmth.
    fn capacity(&self, now: Ns, limits: &SafetyLimits) -> f64 {
        let warmth = limits.cold_from + (1.0 - limits.cold_from) * self.warm_fraction(now, limits);
        (self.member.weight * warmth).max(1e-6)
    }
}

/// Called when a pick ends, with its outcome, its duration and whether it closed the RPC.
type PickEndHandler = Box<dyn FnOnce(&mut Front, &mut dyn Actions, Outcome, Ns, bool)>;

#[derive(Default)]
struct Rpc {
    method: usize,
    key: Option<u64>,
    received: Ns,
    deadline: Ns,
    open: bool,
    /// The machine of the last pick.
    last_machine: usize,
    /// Zone, cell and time of the first pick that may have run.
    first_run: Option<(u32, u32, Ns)>,
    handlers: Vec<Option<PickEndHandler>>,
}

#[derive(Default)]
pub struct Front {
    config: FrontConfig,
    rng: Rng,
    started: Ns,
    min_soft_deadline: Ns,
    /// One of so many fronts that its own RPCs say nothing about the load of a machine.
    small_share: bool,
    machines: Vec<Machine>,
    rpcs: Vec<Rpc>,
    /// Open RPCs by the time they were received, over the last one and a half soft deadlines.
    open_rpcs: TimeBuckets<u32>,
    /// RPCs received, ok answers, and ok answers within the soft deadline.
    throughput: TimeBuckets<[u32; 3]>,
    /// The highest rate that machines have served, per second and unit of capacity.
    peak_served_rate: f64,
    /// The same while nearly all answers were in time: with the newest build, and before its trial.
    sustained_rate: [f64; 2],
    /// Whether the rate in time is far below the sustained one.
    below_sustained: bool,
    /// Picks, and those not answered within half their soft deadline.
    late_picks: TimeBuckets<Count>,
    /// The share of RPCs admitted now.
    admit_share: f64,
    /// Its slowly adapting part; below 1 while this front is overloaded.
    base_admit_share: f64,
    /// Mean latency of ok picks by method.
    mean_latency: Vec<f64>,
    /// Latency by zone, relative to the mean.
    zone_slowness: Vec<f64>,
    /// Recent share of picks that got no connection.
    unreachable_share: f64,
    rollout: Option<RolloutStatus>,
    /// The last build that was announced as released.
    last_released: u32,
    /// The last build that was not released when the next one was announced.
    last_withdrawn: u32,
    /// Whether a current roster was received since the start.
    roster_heard: bool,
    watching: bool,
    /// When the last watch ended, if none has served since.
    watch_ended: Option<Ns>,
    /// Late refusals by discovery in a row since the roster was last heard.
    late_refusals: usize,
    /// When the roster was last requested.
    roster_requested: Ns,
    /// When it was last certain that no change of the roster was missed.
    roster_confirmed: Ns,
    /// When the roster service last moved to another address, and whether a watch there has served since.
    service_moved: Option<Ns>,
    moved_service_heard: bool,
    /// RPCs received and picks at builds on trial: one entry per method, or a single one if the cap is for all.
    exposure: Vec<TimeBuckets<Count>>,
    /// One-way keys and the newest build that answered each.
    pub(crate) bound_keys: BTreeMap<u64, u32>,
    /// Whether peers may know of more keys.
    keys_incomplete: bool,
    newest_build: u32,
    /// Latencies of the newest build (side 0) and of earlier ones (side 1), by method and load.
    latencies: Vec<[TimeBuckets<LatencyHistogram>; 2]>,
    /// Counts and latencies from before this trial.
    baseline_counts: Counts,
    baseline_latencies: Vec<LatencyHistogram>,
    /// The platform's counts by side, and its largest for the earlier build.
    platform_counts: [TimeBuckets<Counts>; 2],
    platform_baseline: Counts,
    /// Each peer's last note: when it came, the build it is about, and its counts.
    peer_notes: BTreeMap<usize, (Ns, u32, Tally)>,
    /// This front's vote, when it was cast, and whether the platform has counted it.
    vote: Option<((u32, u32, Verdict), Ns, bool)>,
    /// Refusals of votes in a row.
    vote_refusals: u32,
    /// The verdict that must not be sent again before a time.
    vote_backoff: Option<(Verdict, Ns)>,
    /// The build that this front found harmful.
    rejected_build: u32,
    /// For how many intervals in a row each latency test has shown harm.
    harm_streaks: [u32; 2],
}

/// How much fuller first picks may keep machines on trial than an idle machine, so that caps are used up.
const TRIAL_FILL_RATIO: f64 = 1.6;

/// After this long without calls the platform takes a burst of that many seconds' worth at once: 32 calls
/// at 16 a second, measured on each of seven days.
const PLATFORM_BURST: Ns = 2 * SEC;

/// How many machines a front with a small share of the load concentrates on: machines per RPC a second (so
/// that it meets each every two seconds), and the minimum.
const AFFINITY_SET: [f64; 2] = [2.0, 4.0];

/// Intervals of the platform's counts that describe the present: congestion in the first seconds of a stage
/// is over by then.
const RECENT_INTERVALS: i64 = 8;

/// Window of rates: some dozens of RPCs on a front with little traffic.
const RATE_WINDOW: Ns = 8 * INTERVAL;

/// Latencies are compared only between picks at similar load: 0, 1, 2, or more RPCs of this front on the
/// machine.
const LOAD_CLASSES: usize = 4;

/// Where several fronts must agree on a verdict, the agreement itself guards against false alarms, so each
/// front needs only the usual z of 2.6.
const Z_WITH_VOTES: f64 = 2.6;

/// Intervals of late answers that count as passing: twice the ten with which none of 162 good builds was
/// sent back.
const TRANSIENT_INTERVALS: u32 = 20;

/// Fronts that receive the notes of all others. Notes to everybody would grow with the square of the tier;
/// with three receivers, one may stall while another restarts.
const NOTE_RECEIVERS: u32 = 3;

/// Most one-way keys remembered, which takes some megabytes; the configuration may name fewer. Once this is
/// reached, an unknown key counts as answered by the build last announced, so that no key goes back to an
/// earlier build; such RPCs wait for room within the cap instead.
pub const MAX_BOUND_KEYS: usize = 1 << 18;

/// Longest restart of a front: changes made meanwhile are not on the roster it starts with.
const MAX_RESTART: Ns = 5 * SEC;

/// Longest delay between deciding a pick and sending it: its connection may have to be set up, and the
/// process may be delayed.
const MAX_SEND_DELAY: Ns = 400 * MS;

/// Longest waits before the roster is requested again, in eighths of `ask_within`, by the number of late
/// refusals since it was last heard; the first is for a lost watch.
const ROSTER_RETRY: [Ns; 4] = [1, 2, 4, 8];
/// The same for a front that has not heard the roster since its start, as many fronts may have started
/// together.
const ROSTER_RETRY_AT_START: [Ns; 4] = [1, 6, 8, 16];
/// The same after an immediate refusal, which costs discovery no work.
const ROSTER_RETRY_FAST: Ns = 2;
/// The wait and the longest random wait before a lost watch is requested again where rosters are pushed: well
/// within the drain grace, which is all that is left to a front without a watch.
const ROSTER_RETRY_PUSHED: [Ns; 2] = [100 * MS, 200 * MS];

/// How full the queue may be for RPCs of a client that asks on although it is pushed back; the rest is for others.
const INSISTENT_FULLNESS: f64 = 0.5;

/// Tag of the timer that calls `tick`; any other tag requests the roster.
const TICK_TIMER: u64 = 0;

impl Front {
    pub fn start(config: FrontConfig, actions: &mut dyn Actions) -> Front {
        let rows = config.methods.len();
        let scopes = if config.rollout.cap_per_method { rows } else { 1 };
        if config.ask_roster {
            actions.watch(true);
        }
        actions.wake_at(actions.now() + INTERVAL, TICK_TIMER);
        // RPCs received count over 32 whole buckets of the cap's window, picks over one more, so the cap is
        // never exceeded.
        let exposure = (0..scopes).map(|_| TimeBuckets::new(config.rollout.window / 32, 33)).collect();
        let soft = config.methods.iter().map(|m| m.soft_deadline).min().unwrap_or(SEC).max(MS);
        Front {
            rng: Rng(config.seed | 1),
            started: actions.now(),
            roster_requested: actions.now(),
            roster_confirmed: actions.now(),
            admit_share: 1.0,
            base_admit_share: 1.0,
            exposure,
            open_rpcs: TimeBuckets::new(soft / 8, 12),
            min_soft_deadline: soft,
            // With more than a dozen fronts each sees under a tenth of the load.
            small_share: config.fronts > 12,
            mean_latency: vec![0.0; rows],
            latencies: (0..rows * LOAD_CLASSES).map(|_| Default::default()).collect(),
            config,
            ..Front::default()
        }
    }

    pub fn timer_fired(&mut self, actions: &mut dyn Actions, tag: u64) {
        if tag == TICK_TIMER {
            self.tick(actions);
            actions.wake_at(actions.now() + INTERVAL, TICK_TIMER);
        } else if !self.watching {
            self.roster_requested = actions.now();
            actions.watch(true);
        }
    }

    pub fn roster_updated(&mut self, actions: &mut dyn Actions, update: RosterUpdate, entries: &[Member]) {
        let now = actions.now();
        if update == RosterUpdate::Failed {
            // A change counts as known to this front even if it failed to get the list, so it asks again,
            // at a random time to avoid a rush of requests.
            let [pause, spread] = self.roster_retry_wait(now);
            let drawn = self.rng.below(spread.max(1) as usize) as Ns;
            return actions.wake_at(now + pause + drawn, TICK_TIMER + 1);
        }
        if update != RosterUpdate::Saved {
            (self.roster_heard, self.watching, self.roster_confirmed) = (true, true, now);
            self.watch_ended = None;
        }
        self.machines
            .iter_mut()
            .filter(|_| update != RosterUpdate::Changes)
            .for_each(|m| m.member.state = State::Gone);
        for entry in entries {
            self.machines.resize_with(self.machines.len().max(entry.machine + 1), Machine::default);
            let known = &mut self.machines[entry.machine];
            // A random credit spreads the times at which fronts with a small share first pick a cold
            // machine: hundreds of them must not do so at once.
            let credit = if self.small_share { self.rng.fraction() } else { 1.0 };
            let known_process = (known.member.build, known.member.started);
            if known.slowness == 0.0 || known_process != (entry.build, entry.started) {
                // A different process under this name: everything learned about the previous one is void,
                // including the outcomes of its open picks.
                let warmup_credit = (credit, entry.started.unwrap_or(now));
                let affinity = self.rng.fraction();
                *known =
                    Machine { last_ok: now, slowness: 1.0, affinity, warmup_credit, ..Machine::default() };
            }
            known.member = entry.clone();
        }
        self.track_newest_build(now);
    }

    /// The watch has shown that it still serves: no change of the roster was missed.
    pub fn roster_confirmed(&mut self, now: Ns) {
        self.roster_confirmed = now;
    }

    /// The roster service has moved to another address: what it has to tell counts as known soon, although the
    /// watch at the former address may go on for a while.
    pub fn roster_service_moved(&mut self, at: Ns) {
        // Until a watch serves again, the first of several moves is the one that counts.
        let unheard = self.service_moved.filter(|_| self.moved_service_unheard());
        (self.service_moved, self.moved_service_heard) = (unheard.or(Some(at)), false);
    }

    /// A watch at the service's present address has begun to serve.
    pub fn moved_service_heard(&mut self) {
        self.moved_service_heard = true;
    }

    /// When all changes count as known that were made until some time after a move of the roster service.
    fn known_after_move(&self) -> Option<Ns> {
        self.service_moved.map(|at| at + self.config.limits.told_within_after_move)
    }

    /// Whether the service has moved and changes that count as known since may have been missed.
    fn moved_service_unheard(&self) -> bool {
        let hears = self.watching && self.moved_service_heard;
        !hears && self.known_after_move().is_some_and(|known| self.roster_confirmed < known)
    }

    /// For how long the roster has not been confirmed.
    pub fn roster_age(&self, now: Ns) -> Ns {
        now - self.roster_confirmed
    }

    /// The wait until the roster is requested again, and the longest random wait added to it. A call that is
    /// refused late has already cost discovery its work: if all fronts retried at a constant pace, they
    /// would keep it overloaded and none would be served.
    fn roster_retry_wait(&mut self, now: Ns) -> [Ns; 2] {
        let eighth = self.config.limits.ask_within / 8;
        let served = std::mem::take(&mut self.watching);
        if served {
            self.watch_ended = Some(now);
        }
        if served && !self.config.ask_roster {
            self.late_refusals = 0;
            return ROSTER_RETRY_PUSHED;
        }
        if !served && now - self.roster_requested < INTERVAL {
            return [INTERVAL, ROSTER_RETRY_FAST * eighth];
        }
        self.late_refusals = if served { 0 } else { self.late_refusals + 1 };
        let waits: &[Ns] = if self.roster_heard { &ROSTER_RETRY } else { &ROSTER_RETRY_AT_START };
        [INTERVAL, waits[self.late_refusals.min(waits.len() - 1)] * eighth]
    }

    pub fn rollout_updated(&mut self, actions: &mut dyn Actions, reply: Reply, news: Option<RolloutStatus>) {
        match (reply, self.vote) {
            (Reply::Counted, Some(v)) => (self.vote, self.vote_refusals) = (Some((v.0, v.1, true)), 0),
            (Reply::Refused, Some(((.., verdict), ..))) => self.vote_refused(actions.now(), verdict),
            // A vote that timed out may have been counted; casting it again replaces it.
            (Reply::TimedOut, _) => self.vote = None,
            _ => {}
        }
        let news = news.filter(|status| reply == Reply::News || !self.is_outdated(status));
        if let Some((new, old)) = news.zip(self.rollout).filter(|(new, old)| new.build > old.build) {
            // A build last seen on trial, or one in between, may have been released without this front
            // hearing of it.
            let missed = old.phase == Phase::OnTrial || new.build > old.build + 1;
            self.last_released = if missed { 0 } else { self.last_released };
            self.last_withdrawn = if old.phase.stays() { self.last_withdrawn } else { old.build };
        }
        self.last_released =
            news.filter(|t| t.phase == Phase::Released).map_or(self.last_released, |t| t.build);
        self.rollout = news.or(self.rollout);
        self.track_newest_build(actions.now());
        if let Some(t) = news {
            // Only an announcement from the platform frees the keys of a build; a newer build on the roster
            // does not.
            self.bound_keys.retain(|_, build| *build > t.build || *build == t.build && t.phase.stays());
        }
    }

    /// Whether the reply to a vote was written before an announcement that has overtaken it: builds only follow
    /// each other, and one that is sent back does not come again.
    fn is_outdated(&self, status: &RolloutStatus) -> bool {
        self.rollout.is_some_and(|known| {
            let returned = status.phase.stays() && !known.phase.stays();
            status.build < known.build || status.build == known.build && returned
        })
    }

    /// Starts a new comparison when a newer build appears: its outcomes count as new from now on, and
    /// everything before is the baseline.
    fn track_newest_build(&mut self, now: Ns) {
        let listed = self.up().map(|m| m.member.build);
        let newest = listed.chain(self.rollout.map(|t| t.build)).max().unwrap_or(0);
        if newest > self.newest_build {
            let tally = self.own_tally(now);
            self.baseline_counts =
                merge_rows(self.trimmed_counts(&tally, 0), &self.trimmed_counts(&tally, 1));
            self.newest_build = newest;
            (self.platform_counts, self.platform_baseline) = Default::default();
            self.sustained_rate = [0.0, self.sustained_rate[0].max(self.sustained_rate[1])];
            let all_latencies = |[new, old]: [TimeBuckets<LatencyHistogram>; 2]| {
                LatencyHistogram::sum(new.buckets.iter().chain(&old.buckets))
            };
            self.baseline_latencies =
                self.latencies.iter_mut().map(|sides| all_latencies(std::mem::take(sides))).collect();
        }
    }

    /// Rule 4: the picks that a cold machine may get from this front. They accrue at the highest rate that
    /// its machines were seen to serve, scaled by weight and warmth, times three quarters of the overload
    /// factor. That never exceeds the capacity, so the sum over all fronts is safe, even where a front has
    /// less than one pick to give. Returns the credit, whether it suffices for a pick, and the share of
    /// fronts for which it does.
    fn warmup_credit(&self, m: &Machine, now: Ns) -> (f64, bool, f64) {
        let limits = &self.config.limits;
        let age = m.member.started.map_or(i64::MAX, |at| now - at);
        if age > limits.cold_time + limits.fall_time {
            return (1.0, true, 1.0);
        }
        let multiple = 0.75 * limits.overload_factor;
        let rate = multiple * self.peak_served_rate * m.capacity(now, limits);
        let accrued = rate * (now - m.warmup_credit.1) as f64 / SEC as f64;
        // Where a front sees much of the load, a third of the window's picks may come at once.
        let burst = rate * limits.fall_time as f64 / SEC as f64 / 3.0;
        let share = rate * age as f64 / SEC as f64 * (1.0 - 1.0 / multiple);
        let (burst, share) = if self.small_share { (0.0, share.clamp(0.05, 1.0)) } else { (burst, 1.0) };
        let credit = (m.warmup_credit.0 + accrued).min(1.0);
        (credit, credit + burst >= 1.0, share)
    }

    /// Expected cost of a pick at this machine, by its load and its recent failures.
    fn pick_cost(&self, m: &Machine, now: Ns, more: f64) -> f64 {
        // A machine that fails or cannot be reached gets fewer picks, but still some, so that its recovery
        // is noticed.
        let mut cost = (1.0 + 40.0 * m.failure_score * m.failure_score)
            * if self.small_share { m.slowness.max(0.1) } else { 1.0 };
        // Where new connections are often refused, machines that answered lately probably still have one
        // open.
        if now - m.last_ok > 5 * SEC {
            cost *= 1.0 + 8000.0 * self.unreachable_share * self.unreachable_share;
        }
        // A slow or lossy link, or an overloaded zone, shows in the latency of the zone long before it
        // shows in that of a single machine.
        let slowness = |zone: u32| self.zone_slowness.get(zone as usize).copied().unwrap_or(1.0).max(0.5);
        if m.member.zone != self.config.zone {
            let ratio = (slowness(m.member.zone) / slowness(self.config.zone)).max(1.2) - 0.2;
            cost *= (1.0 + 25.0 * self.config.cross_zone_price) * ratio * ratio;
        }
        // The few fronts with a small share that may already pick a cold machine make up for those that may
        // not yet.
        cost * m.load_ratio(more, now, &self.config.limits) * self.warmup_credit(m, now).2
    }

    fn up(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|m| m.is_up())
    }

    /// Whether picks may rely on the roster. A drain that this front has not heard of counts as known to it after
    /// a while all the same, be it that it was down, or that it has no watch. Calls that fail extend nothing: they
    /// do not tell whether the service is down, or refuses this front while it serves others.
    pub fn trusts_roster(&self, now: Ns) -> bool {
        let SafetyLimits { told_within, drain_grace, .. } = self.config.limits;
        // A roster saved before the start may miss changes that were made while this front was down. Where
        // changes are pushed, those count as known from the start on.
        let certain_until = match (self.roster_heard, self.config.ask_roster) {
            (true, _) => self.roster_confirmed + told_within,
            (false, true) => self.started + told_within - MAX_RESTART,
            (false, false) => self.started,
        };
        let known_after_move = self.known_after_move().filter(|_| self.moved_service_unheard());
        let certain_until = certain_until.min(known_after_move.unwrap_or(Ns::MAX));
        // Pushed changes count as known at once, whether or not a watch is open; some time later if the watch ended
        // because the service has moved, until it is heard.
        let watch_ended = self.watch_ended.filter(|_| !self.config.ask_roster);
        let ended_by_move =
            |ended: Ns| !self.moved_service_heard && self.service_moved.is_some_and(|moved| moved <= ended);
        let pushed_until = watch_ended.map_or(Ns::MAX, |ended| {
            let moved = known_after_move.filter(|_| ended_by_move(ended));
            ended.max(moved.unwrap_or(ended))
        });
        let certain_until = certain_until.min(pushed_until);
        let trusted_until = certain_until.saturating_add(drain_grace) - MAX_SEND_DELAY;
        told_within == 0 || now < trusted_until
    }

    fn best_machine(&mut self, now: Ns, fits: impl Fn(&Member) -> bool) -> Option<usize> {
        if !self.trusts_roster(now) {
            return None;
        }
        let count = self.machines.len();
        let first = self.rng.below(count.max(1));
        let fits = |m: &Machine| m.is_up() && fits(&m.member) && self.warmup_credit(m, now).1;
        let all = (0..count).map(|i| (first + i) % count);
        let mut candidates: Vec<usize> = all.filter(|&i| fits(&self.machines[i])).collect();
        // The random term stands for the load that other fronts bring, which a front with a small share
        // cannot see. The minimum over random draws chooses machines in proportion to their capacity;
        // without it all such fronts would crowd on the machines that look best.
        let random_load = |draw: f64| -4.0 * count as f64 * draw.ln();
        // A new connection is costly, so such a front concentrates on a few machines, chosen by a draw that
        // is fixed for each process of a machine. The choice must not favour the machines of a stage that
        // came up first.
        let share = candidates.len() as f64 / self.up().count().max(1) as f64;
        let set_size = (AFFINITY_SET[0] * self.rates(now)[1] * share).max(AFFINITY_SET[1]) as usize;
        let concentrates = self.small_share && self.config.handshake_price > 0.0;
        // Latency varies from pick to pick, so it only decides among these few, together with the RPCs that
        // each still holds.
        let slow = |m: &Machine| m.slowness.max(0.1).powf(1.5);
        if concentrates {
            let cost = |m: &Machine| self.pick_cost(m, now, random_load(m.affinity)) / slow(m);
            candidates.sort_by_cached_key(|&i| cost(&self.machines[i]).to_bits());
            candidates.truncate(set_size);
        }
        let each = candidates.into_iter().map(|i| {
            let more = if self.small_share { random_load(self.rng.fraction()) } else { 1.0 };
            let m = &self.machines[i];
            let cost = more
                * slow(m)
                * (1.0 + 40.0 * m.failure_score * m.failure_score)
                * (1.0 + m.open_rpcs).powi(2);
            (if concentrates { cost } else { self.pick_cost(m, now, more) }, i)
        });
        each.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, i)| i)
    }

    pub fn rpc_received(
        &mut self, actions: &mut dyn Actions, rpc: usize, method: usize, key: Option<u64>, deadline: Ns,
    ) {
        let now = actions.now();
        let scope = self.cap_scope(method);
        self.exposure[scope].current(now)[0] += 1;
        self.rpcs.resize_with(self.rpcs.len().max(rpc + 1), Rpc::default);
        self.rpcs[rpc] = Rpc {
            method,
            key,
            received: now,
            deadline,
            open: true,
            last_machine: usize::MAX,
            ..Rpc::default()
        };
        *self.open_rpcs.current(now) += 1;
        self.throughput.current(now)[0] += 1;
        let admit = self.admit_share.powf(1.0 / self.relative_yield(method));
        // While overloaded, RPCs whose client will not wait for the mean latency of the method are rejected
        // first: the work would be lost.
        let lost = self.base_admit_share < 1.0 && now + self.mean_latency[method] as Ns > deadline;
        if lost || self.queue_fullness(now, method, 0) > 1.0 || self.rng.fraction() > admit {
            return self.give_up(actions, rpc);
        }
        self.first_pick(actions, rpc);
    }

    /// RPCs received, ok answers and ok answers within the soft deadline, per second.
    fn rates(&self, now: Ns) -> [f64; 3] {
        let span = (now - self.started).clamp(SEC / 4, RATE_WINDOW) as f64 / SEC as f64;
        [0, 1, 2].map(|i| {
            f64::from(self.throughput.recent(now, RATE_WINDOW / INTERVAL).map(|l| l[i]).sum::<u32>()) / span
        })
    }

    /// Utility of a method per unit of its mean latency, relative to the best method. A method without any
    /// ok pick yet has no known latency and counts as 1.
    fn relative_yield(&self, method: usize) -> f64 {
        let measured = |row: &usize| self.mean_latency[*row] > 0.0;
        let utility_rate =
            |row: usize| self.config.methods[row].utility / self.mean_latency[row].max(MS as f64);
        let best = (0..self.mean_latency.len()).filter(measured).map(utility_rate).fold(0.0, f64::max);
        Some(method).filter(measured).map_or(1.0, |method| utility_rate(method) / best)
    }

    /// Open RPCs relative to the number served within 0.4 (least useful method) to 0.8 (most useful) of the
    /// shortest soft deadline. RPCs open for over one and a half times that deadline are expensive ones or
    /// sit on a lost machine; they say nothing about the queue and are left out.
    fn queue_fullness(&self, now: Ns, method: usize, more: u32) -> f64 {
        let limit = self.rates(now)[1] * self.min_soft_deadline as f64 / SEC as f64
            * (0.4 + 0.4 * self.relative_yield(method));
        f64::from(self.open_rpcs.recent(now, 12).sum::<u32>() + more) / limit.max(self.up().count() as f64)
    }

    /// Whether one more RPC would be admitted. An RPC that waits behind an open one of its connection can
    /// wait for room; no other can.
    pub fn has_room(&self, now: Ns, method: usize) -> bool {
        self.queue_fullness(now, method, 1) <= 1.0
    }

    /// Whether one more RPC would be admitted from a client that asks on although it is pushed back. While none is open
    /// it would, however small the fleet.
    pub fn admits_insistent(&self, now: Ns, method: usize) -> bool {
        self.queue_fullness(now, method, 0) < INSISTENT_FULLNESS
    }

    /// The wait suggested to a client that is pushed back. It is short, as longer waits lost more utility.
    pub fn pushback_wait(&self, method: usize) -> Ns {
        (self.config.methods[method].soft_deadline / 8).min(self.config.permissions.longest_wait)
    }

    /// The share of its first picks that a front with a small share of the load sends to `build`. Beside
    /// the earlier machines the new ones get what they must bear after the release; while the fleet is fully
    /// loaded, the share goes by capacity.
    fn trial_share(&self, build: u32, now: Ns) -> f64 {
        // Fronts limit their picks at cold machines, and the machines that were up before must not take the
        // remainder.
        let capacity =
            |m: &Machine| m.capacity(now, &self.config.limits) * m.warm_fraction(now, &self.config.limits);
        let [ours, others] = [true, false]
            .map(|on| self.up().filter(|m| (m.member.build == build) == on).map(capacity).sum::<f64>());
        match (self.base_admit_share < 1.0, self.config.rollout.parallel) {
            (true, _) => ours / (ours + others).max(1e-6),
            (_, true) => ours / others.max(1e-6),
            _ => ours / (ours + others / TRIAL_FILL_RATIO).max(1e-6),
        }
    }

    /// Sends the first pick to the build on trial while its cap and machines have room, else to an earlier
    /// build.
    fn first_pick(&mut self, actions: &mut dyn Actions, rpc: usize) {
        let now = actions.now();
        let (method, key, build) = (self.rpcs[rpc].method, self.rpcs[rpc].key, self.newest_build);
        let wanted = self.bound_build(key) == build
            || !self.small_share
            || self.trial_share(build, now) >= self.rng.fraction();
        let room = wanted && self.cap_has_room(build, method, now);
        let trial = if room { self.best_machine(now, |m| m.build == build) } else { None };
        let earlier = self.best_earlier(rpc, now, |_| true);
        let full = trial.zip(earlier).is_some_and(|(t, e)| {
            let ([t, e], limits) = ([t, e].map(|i| &self.machines[i]), &self.config.limits);
            t.load_ratio(1.0, now, limits)
                > e.load_ratio(1.0, now, limits) + (TRIAL_FILL_RATIO - 1.0) / e.capacity(now, limits)
        });
        self.send_pick(actions, rpc, if full && !self.small_share { earlier } else { trial.or(earlier) });
    }

    fn max_bound_keys(&self) -> usize {
        self.config.max_bound_keys.map_or(MAX_BOUND_KEYS, |max| max.min(MAX_BOUND_KEYS))
    }

    /// The build that a one-way key is bound to; the key goes to no earlier one. An unknown key counts as
    /// bound to the newest build while peers may know of more keys, and to the build last announced once
    /// there is no room to remember more.
    fn bound_build(&self, key: Option<u64>) -> u32 {
        let unknown = match self.rollout {
            // No key stays bound to a build that is being sent back.
            Some(t) if self.keys_incomplete && t.build == self.newest_build && !t.phase.stays() => 0,
            _ if self.keys_incomplete => self.newest_build,
            Some(t) if self.bound_keys.len() >= self.max_bound_keys() => t.build,
            _ => 0,
        };
        key.map_or(0, |key| self.bound_keys.get(&key).copied().unwrap_or(unknown))
    }

    /// Remembers the build that answered a key; returns whether that is news.
    pub(crate) fn bind(&mut self, key: u64, build: u32) -> bool {
        let room = self.bound_keys.len() < self.max_bound_keys() || self.bound_keys.contains_key(&key);
        let news = room && self.bound_keys.get(&key).is_none_or(|known| *known < build);
        if news {
            self.bound_keys.insert(key, build);
        }
        news
    }

    /// A peer reports which build answered a key. This can only restrict where the key may go, never widen
    /// it.
    pub fn key_bound_by_peer(&mut self, key: u64, build: u32) {
        let over = self.rollout.is_some_and(|t| build < t.build || build == t.build && !t.phase.stays());
        if self.config.rollout.one_way && !over {
            self.bind(key, build);
        }
    }

    /// Tells whether this front has all keys that its peers know; used where fronts exchange keys.
    pub fn set_keys_known(&mut self, known: bool) {
        self.keys_incomplete = !known;
    }

    /// Whether a pick that had to wait for its connection may still be sent, given the announcements and
    /// answers that came meanwhile.
    pub fn may_send(&self, rpc: usize, machine: usize) -> bool {
        let (m, key) = (&self.machines[machine], self.rpcs[rpc].key);
        let admits = self.trial_stage(m.member.build).is_none_or(|(_, cap)| cap > 0.0);
        m.is_up() && admits && self.bound_build(key) <= m.member.build
    }

    /// The best machine of an earlier build, or of a build on trial within its cap if a newer one is
    /// already listed.
    fn best_earlier(&mut self, rpc: usize, now: Ns, fits: impl Fn(&Member) -> bool) -> Option<usize> {
        let (method, min_build) = (self.rpcs[rpc].method, self.bound_build(self.rpcs[rpc].key));
        let (newest, announced) = (self.newest_build, self.rollout.map_or(0, |t| t.build));
        let end = if self.cap_has_room(announced, method, now) { announced + 1 } else { announced };
        let surviving = (!self.watching).then(|| self.surviving_build());
        let certain =
            |build: u32| build >= announced || surviving.is_none_or(|surviving| surviving == Some(build));
        self.best_machine(now, |m| {
            (min_build..newest.min(end)).contains(&m.build) && certain(m.build) && fits(m)
        })
    }

    /// The earlier build that certainly stays while drains cannot be heard: the one released last. A front
    /// that was down at that release can tell it from its old roster only if no build other than a
    /// withdrawn one came in between.
    fn surviving_build(&self) -> Option<u32> {
        let before = self.rollout.map_or(0, |t| t.build).saturating_sub(1);
        let earlier = self.up().map(|m| m.member.build).filter(|b| *b <= before && *b != self.last_withdrawn);
        let listed: BTreeSet<u32> = earlier.collect();
        let only =
            listed.first().filter(|b| listed.len() == 1 && [**b, self.last_withdrawn].contains(&before));
        Some(self.last_released).filter(|build| *build > 0).or(only.copied())
    }

    fn send_pick(&mut self, actions: &mut dyn Actions, rpc: usize, machine: Option<usize>) {
        let (now, step) = (actions.now(), self.config.step);
        let Some(machine) = machine else { return self.give_up(actions, rpc) };
        let r = &mut self.rpcs[rpc];
        let row = r.method;
        let time_left = r.deadline - now - step;
        r.last_machine = machine;
        let (credit, ..) = self.warmup_credit(&self.machines[machine], now);
        let m = &mut self.machines[machine];
        let target = (m.member.zone, m.member.cell, now);
        let (build, class) =
            (m.member.build, row * LOAD_CLASSES + (m.open_rpcs as usize).min(LOAD_CLASSES - 1));
        let process = (build, m.member.started);
        m.open_rpcs += 1.0;
        m.warmup_credit = (credit - 1.0, now);
        let late_picks = self.late_picks.current(now);
        *late_picks = add_counts(*late_picks, [1, 1]);
        if self.trial_stage(build).is_some() {
            let scope = self.cap_scope(row);
            self.exposure[scope].current(now)[1] += 1;
        }
        self.rpcs[rpc].handlers.push(Some(Box::new(move |front, actions, outcome, took, last| {
            front.record_outcome(actions.now(), machine, process, class, outcome, took);
            let r = &mut front.rpcs[rpc];
            if outcome.may_have_run() {
                r.first_run = r.first_run.or(Some(target));
            }
            // An answer that was lost on its way still binds the key.
            let answered = matches!(outcome, Outcome::Ok | Outcome::Broken) && front.config.rollout.one_way;
            let open = r.open;
            if let Some(key) = r.key.filter(|_| answered) {
                if front.bind(key, build) {
                    actions.key_bound(key, build);
                }
            }
            if last {
                front.rpc_closed(rpc);
            } else if open {
                front.retry(actions, rpc);
            }
        })));
        // A machine keeps working on a pick after an early time-out, and during congestion the retry
        // doubles that work. Therefore only the first pick of an idempotent RPC ends early, and only after
        // far more than the mean latency while under a tenth of the picks are late: then it is lost or
        // unusually expensive.
        let soft = self.config.methods[row].soft_deadline;
        let early = (6.0 * self.mean_latency[row]).max(soft as f64 / 2.0) as Ns;
        let first = self.rpcs[rpc].handlers.len() == 1
            && self.config.methods[row].idempotency == Idempotency::Idempotent;
        let has_mean = self.mean_latency[row] > 0.0 && early < soft;
        let [all, late] = sum_counts(self.late_picks.recent(now - 2 * INTERVAL, 4));
        let ends_early = first
            && has_mean
            && !self.small_share
            && 10 * late < all
            && self.queue_fullness(now, row, 0) < 0.5;
        actions.pick(rpc, machine, if ends_early { early.min(time_left) } else { time_left }.max(step));
    }

    /// Sends another pick, if the method and the remaining time allow one.
    fn retry(&mut self, actions: &mut dyn Actions, rpc: usize) {
        let now = actions.now();
        let r = &self.rpcs[rpc];
        let (row, first_run, last, build) = (r.method, r.first_run, r.last_machine, self.newest_build);
        let Method { idempotency, dedup_scope, dedup_window, .. } = self.config.methods[row];
        // A retry that cannot end in time, or goes to a fully loaded fleet, only adds load.
        let ends = now + self.mean_latency[row] as Ns / 2 + self.config.step;
        let useful = ends <= r.deadline && self.queue_fullness(now, row, 0) <= 1.0;
        let picks_left = r.handlers.len() < self.config.permissions.most_picks as usize;
        // Rule 2: after a pick that may have run, only what the method allows.
        let harmless = match (first_run, idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some((.., sent)), Idempotency::Tokened) => now < sent + dedup_window - 2 * self.config.step,
            (_, Idempotency::NonIdempotent) => false,
        };
        if !useful || !picks_left || !harmless {
            return self.give_up(actions, rpc);
        }
        let other = move |m: &Member| {
            let inside = match (idempotency, dedup_scope, first_run) {
                (Idempotency::Tokened, DedupScope::Zone, Some((zone, ..))) => m.zone == zone,
                (Idempotency::Tokened, DedupScope::Cell, Some((_, cell, _))) => m.cell == cell,
                _ => true,
            };
            m.machine != last && inside
        };
        let mut machine = self.best_earlier(rpc, now, other);
        if machine.is_none() && self.cap_has_room(build, row, now) {
            machine = self.best_machine(now, |m| m.build == build && other(m));
        }
        self.send_pick(actions, rpc, machine);
    }

    /// Answers at once: pushes back where the client may safely retry, else aborts.
    fn give_up(&mut self, actions: &mut dyn Actions, rpc: usize) {
        let r = &self.rpcs[rpc];
        let method = &self.config.methods[r.method];
        let repeatable = matches!(
            (method.idempotency, method.dedup_scope),
            (Idempotency::Idempotent, _) | (Idempotency::Tokened, DedupScope::All)
        );
        if (repeatable || r.first_run.is_none()) && r.deadline > actions.now() {
            actions.push_back(rpc, self.pushback_wait(r.method));
        } else {
            actions.abort(rpc);
        }
        self.rpc_closed(rpc);
    }

    pub fn pick_ended(
        &mut self, actions: &mut dyn Actions, rpc: usize, pick: usize, outcome: Outcome, took: Ns, last: bool,
    ) {
        if let Some(handler) = self.rpcs[rpc].handlers.get_mut(pick).and_then(Option::take) {
            handler(self, actions, outcome, took, last);
        }
    }

    /// The RPC needs no further answer: it was answered, its client has left, or a streamed answer has
    /// begun.
    pub fn rpc_closed(&mut self, rpc: usize) {
        let was_open = std::mem::take(&mut self.rpcs[rpc].open);
        if let Some(open) = self.open_rpcs.bucket_at(self.rpcs[rpc].received).filter(|_| was_open) {
            *open -= 1;
        }
    }

    /// No answer is possible after `latest`, as the process ends then: lowers the deadlines of the open RPCs.
    pub fn limit_deadlines(&mut self, latest: Ns) {
        self.rpcs.iter_mut().filter(|rpc| rpc.open).for_each(|rpc| rpc.deadline = rpc.deadline.min(latest));
    }

    fn cap_scope(&self, method: usize) -> usize {
        method.min(self.exposure.len() - 1)
    }

    /// The stage and cap of a build on trial; a build that is not announced yet counts as in the first
    /// stage.
    fn trial_stage(&self, build: u32) -> Option<(u32, f64)> {
        match self.rollout {
            Some(t) if build < t.build || build == t.build && t.phase == Phase::Released => None,
            Some(t) if build == t.build && t.phase == Phase::OnTrial => Some((t.stage, t.cap)),
            Some(t) if build == t.build => Some((t.stage, 0.0)),
            _ => Some((0, self.config.rollout.caps.first().copied().unwrap_or(0.0))),
        }
    }

    /// Rule 5: whether this method may have one more pick at this build.
    fn cap_has_room(&self, build: u32, method: usize, now: Ns) -> bool {
        let rollout = &self.config.rollout;
        let Some((stage, cap)) = self.trial_stage(build) else { return true };
        let guarded = (stage as usize) < rollout.guarded_stages;
        if cap <= 0.0 || guarded && self.config.methods[method].idempotency != Idempotency::Idempotent {
            return false;
        }
        let (scope, free) = (self.cap_scope(method), rollout.free);
        let received: u32 = self.exposure[scope].recent(now, 32).map(|c| c[0]).sum();
        let exposed: u32 = self.exposure[scope].recent(now, 33).map(|c| c[1]).sum();
        f64::from(exposed) + 1.0 <= free + cap * f64::from(received) + 1e-9
    }

    /// 0 for the newest build, 1 for earlier ones.
    fn side(&self, build: u32) -> usize {
        usize::from(build < self.newest_build)
    }

    fn record_outcome(
        &mut self, now: Ns, machine: usize, process: ProcessId, class: usize, outcome: Outcome, took: Ns,
    ) {
        let (row, side, soft) = (
            class / LOAD_CLASSES,
            self.side(process.0),
            self.config.methods[class / LOAD_CLASSES].soft_deadline,
        );
        let m = &mut self.machines[machine];
        if (m.member.build, m.member.started) != process {
            return;
        }
        m.open_rpcs = (m.open_rpcs - 1.0).max(0.0);
        if matches!(outcome, Outcome::Cancelled | Outcome::Void) {
            return;
        }
        // Time-outs and broken connections point to a machine or the network, not to the answers of the
        // build.
        let (ok, error) = (outcome == Outcome::Ok, outcome == Outcome::Error);
        let failed = !ok && !matches!(outcome, Outcome::TimedOut | Outcome::Full);
        if ok || outcome == Outcome::TimedOut {
            let (took, mean) = (took as f64, &mut self.mean_latency[row]);
            *mean += if *mean == 0.0 { took } else { 0.02 * f64::from(u8::from(ok)) * (took - *mean) };
            let slow = (took / *mean).min(8.0);
            m.slowness += if self.small_share { 0.3 } else { 0.1 } * (slow - m.slowness);
            let zone = m.member.zone as usize;
            self.zone_slowness.resize(self.zone_slowness.len().max(zone + 1), 1.0);
            self.zone_slowness[zone] += 0.05 * (slow - self.zone_slowness[zone]);
        }
        // A pick counts as late until it is answered within half its soft deadline. Failures, and clients
        // that left before then, are not counted at all.
        let ignored = failed || outcome == Outcome::TimedOut && took < soft / 2;
        if let Some([all, late]) = self.late_picks.bucket_at(now - took) {
            *all -= u32::from(ignored).min(*all);
            *late -= u32::from(ignored || ok && took <= soft / 2).min(*late);
        }
        // After two failures in a row a machine is used only as a last resort, also by a front with a small
        // share of the load. Time-outs count as slowness instead.
        if ok {
            (m.last_ok, m.failure_score) = (now, 0.8 * m.failure_score);
        } else if failed {
            (m.last_ok, m.failure_score) = (i64::MIN / 2, m.failure_score + 0.4 * (1.0 - m.failure_score));
        }
        self.unreachable_share +=
            0.1 * (f64::from(u8::from(outcome == Outcome::Unreachable)) - self.unreachable_share);
        let rates = self.throughput.current(now);
        *rates = [rates[0], rates[1] + u32::from(ok), rates[2] + u32::from(ok && took <= soft)];
        // The first second of each machine is not held against its build.
        let age = m.member.started.map_or(i64::MAX, |at| now - took - at);
        if age < SEC {
            return;
        }
        let counts = m.counts.current(now);
        let mut count = |row: usize, bad: bool| counts[row] = add_counts(counts[row], [1, u32::from(bad)]);
        count(ALL, error);
        count(method_row(row), error);
        count(DISPUTES, false);
        // Latencies count only from warm machines, to compare like with like. Rejections and network
        // failures have no latency.
        if age >= self.config.limits.cold_time && (ok || error || outcome == Outcome::TimedOut) {
            count(LATE, !ok || took > soft);
            self.latencies[class][side].current(now).add(ok.then_some(took));
        }
    }

    /// A client found an answer to be wrong. It counts as a failure, unless the machine has been restarted
    /// since.
    pub fn answer_disputed(&mut self, actions: &mut dyn Actions, machine: usize, sent: Ns) {
        let m = self.machines.get_mut(machine);
        if let Some(m) = m.filter(|m| m.member.started.is_none_or(|at| at < sent)) {
            m.counts.current(actions.now())[DISPUTES][1] += 1;
        }
    }

    pub fn note_received(&mut self, actions: &mut dyn Actions, from: usize, note: &[u8]) {
        self.peer_notes
            .extend(Tally::decode(note).map(|(build, tally)| (from, (actions.now(), build, tally))));
    }

    pub fn platform_counted(
        &mut self, actions: &mut dyn Actions, build: u32, method: usize, picks: u32, not_ok: u32,
    ) {
        let counts = self.platform_counts[self.side(build)].current(actions.now());
        for row in [ALL, method_row(method)] {
            counts[row] = add_counts(counts[row], [picks, not_ok]);
        }
    }

    fn own_tally(&self, now: Ns) -> Tally {
        let mut tally = Tally::default();
        for m in &self.machines {
            let counts = m.counts.recent(now, EVIDENCE_INTERVALS).fold(Counts::default(), merge_rows);
            tally.add_machine(self.side(m.member.build), m.member.tag, counts);
        }
        tally
    }

    /// Counts of one side, row by row without the worst third of its machines: a faulty machine does not
    /// make a faulty build, and faulty machines of the earlier build must not hide a bad new one.
    fn trimmed_counts(&self, tally: &Tally, side: usize) -> Counts {
        let ours = self.machines.iter().filter(|m| self.side(m.member.build) == side);
        let tags: Vec<u32> = ours.filter(|m| m.is_up() || m.open_rpcs > 0.0).map(|m| m.member.tag).collect();
        std::array::from_fn(|row| {
            let picks = tally.values[ROWS * side + row];
            let failures = |tag: &u32| tally.failures.get(&(*tag, row)).copied().unwrap_or(0);
            let mut failed: Vec<u32> = tags.iter().map(failures).collect();
            failed.sort_unstable();
            let reached = failed.len().min(picks as usize); // few picks reach few machines
            let dropped = (reached + 1) / 3;
            let kept = picks * (reached - dropped) as f32 / reached.max(1) as f32;
            [kept as u32, failed[..failed.len() - dropped].iter().sum()]
        })
    }

    fn tick(&mut self, actions: &mut dyn Actions) {
        let now = actions.now();
        // A machine without recent answers slowly loses its slowness: without picks the measured value
        // would never improve.
        let unheard = self.machines.iter_mut().filter(|m| now - m.last_ok > RATE_WINDOW);
        unheard.for_each(|m| m.slowness += 0.1 * (1.0 - m.slowness));
        // A failure score halves in eleven seconds, the slowness of a zone in seventeen.
        self.machines.iter_mut().for_each(|m| m.failure_score *= 0.97);
        self.zone_slowness.iter_mut().for_each(|slow| *slow += 0.02 * (1.0 - *slow));
        if now - self.started > RATE_WINDOW {
            // A served rate that was reached once is taken to be possible again; the memory of it halves in
            // half a minute.
            let capacity: f64 = self.up().map(|m| m.capacity(now, &self.config.limits)).sum();
            let [received, ok, in_time] = self.rates(now).map(|rate| rate / capacity.max(1e-6));
            self.peak_served_rate = (0.99 * self.peak_served_rate).max(ok);
            let settled = |t: RolloutStatus| t.phase == Phase::Released && now - t.since > RATE_WINDOW;
            if in_time >= 0.9 * received && self.rollout.is_some_and(settled) {
                self.sustained_rate[0] = self.sustained_rate[0].max(in_time);
            }
            // Under half of what is asked, and of what the earlier build sustained, is answered in time.
            // Excluded are an overload or a burst, in which more is answered than was ever sustained, and a
            // build that has sustained nearly as much itself, since a later slowdown is then not its fault.
            let [new, old] = self.sustained_rate;
            self.below_sustained = in_time < 0.5 * received.min(old) && ok <= 1.1 * old && new < 0.8 * old;
        }
        // A front with a small share detects congestion by more than four in ten picks taking over half
        // their soft deadline. The short-term term keeps the integral from oscillating.
        if self.small_share {
            // With under four picks congestion could not be told from chance, so a front with few picks
            // looks further back.
            let windows = [2, 4, 8].map(|n| sum_counts(self.late_picks.recent(now - 2 * INTERVAL, n)));
            let [picks, late] = windows.into_iter().find(|seen| seen[0] >= 4).unwrap_or(windows[2]);
            let late = f64::from(late) / f64::from(picks.max(4));
            self.base_admit_share = (self.base_admit_share + 0.1 * (0.4 - late)).clamp(0.1, 1.0);
            self.admit_share = (self.base_admit_share + 1.2 * (0.4 - late)).clamp(0.1, 1.0);
        }
        let Some(status) = self.rollout else { return };
        let trial = status.phase == Phase::OnTrial;
        if status.build != self.newest_build || !status.phase.stays() {
            self.vote = None;
            return;
        }
        let (fronts, rank) = (self.config.fronts, self.config.rank);
        let receivers = [0, 1, 2].map(|i| (status.build + i * fronts / NOTE_RECEIVERS) % fronts.max(1));
        let receives_notes =
            !self.config.permissions.notes || fronts <= NOTE_RECEIVERS || receivers.contains(&rank);
        let mut tally = self.own_tally(now);
        let tests = self.latency_tests(now, trial).into_iter().flat_map(|test| test.to_array());
        tally.values[2 * ROWS..].iter_mut().zip(tests).for_each(|(value, x)| *value = x as f32);
        let own = [0, 1].map(|side| self.trimmed_counts(&tally, side));
        // After a release only every fourth interval: this reveals a build that fails only under full load.
        if self.config.permissions.notes && (trial || now / INTERVAL % 4 == i64::from(rank % 4)) {
            let note = tally.encode(status.build);
            receivers
                .iter()
                .filter(|receiver| **receiver != rank)
                .for_each(|receiver| actions.send_note(Some(*receiver), &note));
        }
        // Older notes are out of date.
        self.peer_notes.retain(|_, n| n.1 == status.build && now - n.0 < 6 * INTERVAL);
        self.peer_notes.values().for_each(|n| tally.add(&n.2));
        let pooled = [0, 1].map(|side| self.trimmed_counts(&tally, side));
        // The largest counts of the earlier build stay the baseline when its machines go.
        let larger = |new: Counts, kept: Counts| std::cmp::max_by_key(new, kept, |c| c[ALL][0]);
        self.platform_baseline =
            larger(self.platform_totals(now, 1, RECENT_INTERVALS), self.platform_baseline);
        self.baseline_counts = larger(pooled[1], self.baseline_counts);
        let why =
            self.find_harm(now, trial, [own, pooled], [0, 1, 2].map(|i| RankSum::from(tally.rank_test(i))));
        if let Some(why) = why.filter(|_| self.rejected_build != status.build) {
            self.rejected_build = status.build;
            actions.log(&format!("back {}: {why}", status.build));
        }
        // Of this stage alone: a build that was clean on a tenth of the fleet may fail on most of it.
        let tallied =
            self.platform_totals(now, 0, ((now - status.since) / INTERVAL).min(EVIDENCE_INTERVALS))[ALL][0];
        let baked = trial && self.bake_passed(now, status, pooled[0][ALL][0] + tallied, receives_notes);
        let verdict = match self.config.rollout.control {
            _ if self.rejected_build == status.build => Verdict::Back,
            Control::Automatic if baked => Verdict::NoVote,
            Control::Automatic if trial => Verdict::Hold,
            _ if baked => Verdict::On,
            _ => return,
        };
        self.cast_vote(actions, status, verdict);
    }

    fn platform_totals(&self, now: Ns, side: usize, over: i64) -> Counts {
        self.platform_counts[side].recent(now, over).fold(Counts::default(), merge_rows)
    }

    /// Describes how the newest build does harm, if it does.
    fn find_harm(
        &mut self, now: Ns, trial: bool, counts: [[Counts; 2]; 2], times: [RankSum; 3],
    ) -> Option<String> {
        // The accepted probability of a false alarm, one in a thousand for the whole tier, is divided among
        // fronts and methods. Where k of n fronts must agree, each may err with probability p as long as k
        // seldom do so together, which (e n p / k)^k bounds.
        let (n, k) = (f64::from(self.config.fronts.max(1)), f64::from(self.config.rollout.back_votes.max(1)));
        let odds =
            k / (n * std::f64::consts::E) * 1e-3f64.powf(1.0 / k) / (self.mean_latency.len() + 1) as f64;
        let ours = self.machines.iter().filter(|m| self.side(m.member.build) == 0);
        let saw_error =
            sum_counts(ours.flat_map(|m| m.counts.recent(now, EVIDENCE_INTERVALS)).map(|c| &c[ALL]))[1] > 0;
        // The platform also counts time-outs caused by congestion or a bad network, so an error seen by
        // this front is required as well.
        let seen = [0, 1].map(|side| self.platform_totals(now, side, EVIDENCE_INTERVALS));
        if let Some(why) = large_gap(seen, 0.003).filter(|_| trial && saw_error) {
            return Some(format!("tallied, {why}"));
        }
        for (source, [new, old]) in ["own", "pooled"].into_iter().zip(counts) {
            let old = if old[ALL][0] < self.baseline_counts[ALL][0] {
                merge_rows(old, &self.baseline_counts)
            } else {
                old
            };
            let harmed = |&r: &usize| r != LATE && old[ALL][0] >= 30 && deviates(new[r], old[r], odds);
            if let Some(row) = (0..ROWS).find(harmed) {
                return Some(format!("{source} failures, row {row}: {:?} against {:?}", new[row], old[row]));
            }
        }
        // Rank test of new against earlier latencies, by method, time and load. A dozen tests would need z
        // 3.4, but latencies of picks that queue together count for only a third as many, hence 6. Slower
        // answers within the soft deadline do no harm: the share of late ones must be a tenth higher, and
        // not only on the worst third of machines.
        let ([new, old], [times, past, less]) = (counts[1].map(|side| side[LATE]), times);
        let min_z = |alone: f64| if self.config.rollout.back_votes > 1 { Z_WITH_VOTES } else { alone };
        // If a fifth of the earlier build's answers are late too, or this front is pushing back, the fuller
        // machines merely congest first.
        let late = failure_rate(new) > failure_rate(old) + 0.1
            && failure_rate(old) < 0.2
            && self.base_admit_share >= 1.0;
        let seen = new[0].min(old[0]) >= 20;
        // Where machines are replaced in place, a false alarm costs a whole fleet of cold machines, so
        // after a release failures alone decide.
        let late = if trial { late && seen } else { self.below_sustained && self.config.rollout.parallel };
        // Needs three machines, as with fewer a faulty machine could pass for a faulty build, and a note
        // from a peer, as otherwise congestion at a single front would send the build back.
        let enough_machines = self.up().filter(|m| self.side(m.member.build) == 0).count() > 2;
        let peer_heard = !self.config.permissions.notes || !self.peer_notes.is_empty();
        let slow =
            times.z() > min_z(6.0) && times.effect_size() > 0.17 && late && enough_machines && peer_heard;
        // If the earlier build fails more often than the new one, it is faulty itself and its latencies
        // prove nothing.
        let earlier_faulty = deviates(counts[1][1][ALL], counts[1][0][ALL], odds);
        // The earlier build is a quarter slower (an effect size of 0.06) in the last three seconds; the
        // slowdown came with the trial and has not eased since.
        let moved = less.z() > if self.harm_streaks[1] > 0 { -2.6 } else { 2.6 };
        let worse = past.pairs >= 400.0 && past.z() > min_z(7.0) && past.effect_size() > 0.06 && moved;
        let worse = worse && trial && !earlier_faulty && self.config.rollout.parallel;
        // A queue drains within four intervals, most slowness shared by all builds within twenty. On votes
        // are held back for as long.
        self.harm_streaks =
            [(slow, 0), (worse, 1)].map(|(harms, i)| if harms { self.harm_streaks[i] + 1 } else { 0 });
        let describe =
            |whose: &str, t: RankSum| format!("{whose} times, z {:.1}, lead {:.2}", t.z(), t.effect_size());
        let slow = self.harm_streaks[0] > if trial { 3 } else { TRANSIENT_INTERVALS };
        slow.then(|| describe("its", times))
            .or((self.harm_streaks[1] > 19).then(|| describe("earlier build's", past)))
    }

    /// A build that slows down every machine cannot be found by a comparison with the earlier build.
    /// Therefore the latencies of the earlier build are also ranked, at similar load, against those before
    /// the trial, and against those from when the trial had less than half of its present share: a burst
    /// does not move with that share. Where machines are replaced in place, capacity does move with it, so
    /// this is not used there.
    fn latency_tests(&self, now: Ns, trial: bool) -> [RankSum; 3] {
        const PRESENT: usize = EVIDENCE_INTERVALS as usize - 6; // the last six buckets
        let mut seen = [[0; 2]; EVIDENCE_INTERVALS as usize]; // all picks, and those at the new build
        for (new, buckets) in self.latencies.iter().flat_map(|[new, old]| [(1, new), (0, old)]) {
            buckets
                .recent(now, EVIDENCE_INTERVALS)
                .zip(&mut seen)
                .for_each(|(s, c)| *c = add_counts(*c, [s.count(), new * s.count()]));
        }
        let present_share = failure_rate(sum_counts(seen[PRESENT..].iter()));
        let latencies = |side: usize, kept: &dyn Fn(usize) -> bool| -> Vec<LatencyHistogram> {
            let classes =
                self.latencies.iter().map(|sides| sides[side].recent(now, EVIDENCE_INTERVALS).enumerate());
            classes.map(|class| LatencyHistogram::sum(class.filter(|s| kept(s.0)).map(|s| s.1))).collect()
        };
        let (present, less) = (
            latencies(1, &|i| i >= PRESENT),
            latencies(1, &|i| i < PRESENT && failure_rate(seen[i]) < 0.5 * present_share),
        );
        let past = |latencies: &[LatencyHistogram]| {
            RankSum::of_pairs(latencies.iter().zip(&self.baseline_latencies))
        };
        let pairs = self
            .latencies
            .iter()
            .flat_map(|[a, b]| a.recent(now, EVIDENCE_INTERVALS).zip(b.recent(now, EVIDENCE_INTERVALS)));
        // After a release the build stands alone, and its latencies are compared with those before its
        // trial.
        let first = if trial { RankSum::of_pairs(pairs) } else { past(&latencies(0, &|_| true)) };
        [first, past(&present), RankSum::of_pairs(present.iter().zip(&less))]
    }

    /// Whether the build was clean for long enough: the newest machine of this stage has run for the bake
    /// time, and outcomes were seen.
    fn bake_passed(&self, now: Ns, status: RolloutStatus, seen: u32, receives_notes: bool) -> bool {
        let bake = (self.config.rollout.dwell + SEC).max(2 * SEC);
        let ours = self.up().filter(|m| m.member.build == status.build);
        let newest = ours.filter_map(|m| m.member.started).max().unwrap_or(i64::MIN / 2);
        // Machines start after their stage begins.
        let fresh = newest > status.since || now - status.since > 8 * SEC;
        let extra = if receives_notes { 0 } else { 10 * SEC }; // fronts that receive notes vote first
        let [new, old] = [0, 1].map(|side| self.platform_totals(now, side, RECENT_INTERVALS));
        let old = if old[ALL][0] < 100 { self.platform_baseline } else { old };
        // In the last stage, which gets all first picks, waiting costs least, and a build that starts to
        // fail late does so on its oldest machines only. A suspicion too weak to send a build back is still
        // strong enough not to vote it on.
        let last = new[ALL][0] > 0 && status.cap >= 1.0;
        // New machines need new connections, which a bad network refuses; the platform's counts prove
        // nothing then.
        let unsuspicious = |margin| self.unreachable_share > 0.01 || large_gap([new, old], margin).is_none();
        // A weaker suspicion either fades with the congestion that caused it or grows with the number of
        // failing machines; waiting twice as long tells which.
        let wait = if last && !unsuspicious(0.003) { 4 * bake } else { 2 * bake };
        let enough = if receives_notes && seen >= 20 && !last { bake } else { wait + extra };
        fresh && unsuspicious(0.01) && self.harm_streaks == [0, 0] && now - newest.max(status.since) >= enough
    }

    /// How long the platform takes to serve one call from every front.
    fn voting_round(&self) -> Ns {
        let rate =
            Some(self.config.rollout.platform_call_rate).filter(|rate| *rate > 0.0).unwrap_or(f64::INFINITY);
        (f64::from(self.config.fronts) / rate * SEC as f64) as Ns
    }

    /// The platform takes no more calls for now. Waits double, each drawn at random between half and the
    /// full value. A back vote waits for a quarter of its lifetime at most, so that freed calls are used;
    /// any other waits up to one voting round.
    fn vote_refused(&mut self, now: Ns, verdict: Verdict) {
        let most =
            if verdict == Verdict::Back { self.config.rollout.vote_life / 4 } else { self.voting_round() };
        let wait = (INTERVAL << self.vote_refusals).min(most.max(INTERVAL));
        self.vote_refusals = (self.vote_refusals + 1).min(6);
        let drawn = self.rng.below((wait / 2) as usize) as Ns;
        (self.vote, self.vote_backoff) = (None, Some((verdict, now + wait / 2 + drawn)));
    }

    /// Keeps this front's vote valid: casts it again after half its lifetime, as late as is safe if the
    /// platform cannot serve all fronts that often, or when no reply came.
    fn cast_vote(&mut self, actions: &mut dyn Actions, status: RolloutStatus, verdict: Verdict) {
        let (now, rollout) = (actions.now(), &self.config.rollout);
        // On votes that can never be valid at the same time would only crowd out back votes: the platform
        // takes fewer calls within a vote's lifetime, plus the two seconds' worth that it was measured to
        // take as a burst.
        let max_valid = rollout.platform_call_rate * (rollout.vote_life + PLATFORM_BURST) as f64 / SEC as f64;
        if verdict == Verdict::On
            && rollout.platform_call_rate > 0.0
            && f64::from(rollout.on_votes) > max_valid
        {
            self.vote = None;
            return;
        }
        let vote = (status.build, status.stage, verdict);
        let renew_after = self.voting_round().max(rollout.vote_life / 2).min(rollout.vote_life - INTERVAL);
        let still_valid = self.vote.is_some_and(|(current, cast, counted)| {
            let life = if counted { renew_after } else { rollout.call_timeout + INTERVAL };
            current == vote && now - cast < life
        });
        let backing_off = self.vote_backoff.is_some_and(|(refused, until)| refused == verdict && now < until);
        if !still_valid && !backing_off {
            actions.vote(status.build, status.stage, verdict);
            self.vote = Some((vote, now, false));
        }
    }
}
