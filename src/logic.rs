//! Every decision of a front, its tables and its tuned values. How to call it: [`Front::start`] once with the
//! [`FrontConfig`] read at start, then the method that bears the name of what happened (`roster_updated`, `rpc_received`,
//! `pick_ended`, `timer_fired`, ...), in the order of events. Each call gets an [`Actions`], through which the decisions act;
//! types and `Actions` are in `interface.rs`, chance and rings of time in `ring.rs`, counts in `tally.rs`.
use crate::failure_odds::chance_of;
use crate::interface::*;
use crate::latency_histogram::LatencyHistogram;
use crate::rank_sum::RankSum;
use crate::ring::{Chance, Ring};
use crate::tally::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;

/// Evidence is kept for 12 s: long enough for a quiet front, short enough for late badness to show.
const KEPT: i64 = 24;
/// Its buckets, and the interval of the tests: the shortest that still gathers outcomes on a quiet front.
const INTERVAL: Ns = SEC / 2;

impl<T: Clone + Default> Default for Ring<T> {
    fn default() -> Self {
        Ring::new(INTERVAL, KEPT as usize)
    }
}

/// Are `new`'s failures too many to be chance at `old`'s rate? `odds` is the chance allowed.
pub fn deviates(new: Count, old: Count, odds: f64) -> bool {
    // The margin: one failure, or under a point of difference, is not worth a rollback's staleness.
    share(new) >= share(old) + 0.01 && chance_of(new, old) < odds
}

/// A row that was tallied to fail far oftener at the new build, beyond `margin` and chance, in words.
fn wide([new, old]: [Counts; 2], margin: f64) -> Option<String> {
    let beyond = |r: &usize| share(new[*r]) > 3.0 * share(old[*r]) + margin && old[ALL][0] >= 100;
    let row = (0..ROWS).filter(beyond).find(|r| chance_of(new[*r], old[*r]) < 1e-6)?;
    Some(format!("row {row}: {:?} against {:?}", new[row], old[row]))
}

/// Tells a machine's process from the one before it under the same name: its build and its start.
type Run = (u32, Option<Ns>);

#[derive(Default)]
struct Machine {
    member: Member,
    held: f64, // RPCs of this front that it holds
    /// How slow it is, 1 as usual; how surely it fails this front, 0 to 1; its last ok if not failed since.
    slow: f64,
    ill: f64,
    reached: Ns,
    lot: f64, // drawn once for each run; by it a quiet front keeps to some machines
    counts: Ring<Counts>,
    credit: (f64, Ns), // picks that a cold one may still get from this front, as of a time
}

impl Machine {
    /// How full it is for its size, with `more` RPCs.
    fn busy(&self, more: f64, now: Ns, limits: &SafetyLimits) -> f64 {
        (self.held + more) / self.size(now, limits) * self.slow.max(0.1).sqrt()
    }

    fn up(&self) -> bool {
        self.member.state == State::Up
    }

    /// How old it is, against what it takes to be warm: 0 to 1.
    fn age(&self, now: Ns, limits: &SafetyLimits) -> f64 {
        let age = self.member.started.map_or(limits.cold_time, |at| (now - at).clamp(0, limits.cold_time));
        age as f64 / limits.cold_time.max(1) as f64
    }

    /// Its weight, by how warm it is at the least.
    fn size(&self, now: Ns, limits: &SafetyLimits) -> f64 {
        let warmth = limits.cold_from + (1.0 - limits.cold_from) * self.age(now, limits);
        (self.member.weight * warmth).max(1e-6)
    }
}

/// What to do with a pick's end: its outcome, the time it took, whether it closed the RPC.
type Then = Box<dyn FnOnce(&mut Front, &mut dyn Actions, Outcome, Ns, bool)>;

#[derive(Default)]
struct Rpc {
    method: usize,
    key: Option<u64>,
    taken: Ns,
    deadline: Ns,
    open: bool,
    /// The machine of the last pick; zone, cell and time of the first pick that may have run.
    last: usize,
    mark: Option<(u32, u32, Ns)>,
    then: Vec<Option<Then>>,
}

#[derive(Default)]
pub struct Front {
    post: FrontConfig,
    chance: Chance,
    born: Ns,
    soft: Ns,    // the shortest soft deadline
    quiet: bool, // one of so many fronts that what it holds tells nothing of a machine's load
    machines: Vec<Machine>,
    rpcs: Vec<Rpc>,
    /// Open RPCs by when they were taken, as far back as one and a half soft deadlines.
    open: Ring<u32>,
    /// RPCs taken, ok answers, those in time; the most that machines have served, a second and size.
    load: Ring<[u32; 3]>,
    carry: f64,
    /// The same while nearly all were in time, at this build and before its trial; is it far short of that?
    borne: [f64; 2],
    sinks: bool,
    /// Picks, and those not answered within half of their soft deadline; the share of RPCs taken on.
    queued: Ring<Count>,
    admit: f64,
    base: f64,
    /// Mean time of a method's ok picks; how slow each zone is against them; picks without a connection.
    means: Vec<f64>,
    zones: Vec<f64>,
    scarce: f64,
    told: Option<RolloutStatus>,
    released: u32,  // the last build that was told to be released
    taken_off: u32, // the last one that was not, when the next was told of
    heard: bool,    // the roster was heard since the start
    watching: bool,
    refused: usize, // calls to discovery that failed late since the roster was last heard
    asked: Ns,      // when it was last called
    /// RPCs taken and picks at builds on trial: a row a method, or one where the cap is for all.
    exposure: Vec<Ring<Count>>,
    pub(crate) bound: BTreeMap<u64, u32>, // one-way keys and the newest build that answered them
    unsure: bool,                         // others may know of more
    /// The newest build; its times and the earlier ones' (sides 0 and 1), by method and load.
    watched: u32,
    samples: Vec<[Ring<LatencyHistogram>; 2]>,
    /// Counts and times before this trial, the platform's tallies, each peer's last note and when it came.
    before: Counts,
    past: Vec<LatencyHistogram>,
    platform: [Ring<Counts>; 2],
    /// Its fullest tallies of the earlier build.
    standard: Counts,
    notes: BTreeMap<usize, (Ns, u32, Tally)>,
    /// This front's vote, when it was cast, whether it counts; refusals in a row; what rests until when.
    ballot: Option<((u32, u32, Verdict), Ns, bool)>,
    refusals: u32,
    rests: Option<(Verdict, Ns)>,
    /// The build that this front is against.
    condemned: u32,
    lasts: [u32; 2], // intervals that each test of times has shown harm
}

/// How much fuller first picks may keep machines on trial than an idle one: enough to fill caps.
const FILL: f64 = 1.6;

/// Calls of so long a platform that hears none takes at once: 32 of 16 a second, on each of seven days.
const SAVED_UP: Ns = 2 * SEC;

/// Machines that a quiet front keeps to, for each RPC a second: it meets each every two seconds. The least.
const NEAR: [f64; 2] = [2.0, 4.0];

/// Intervals of tallies that speak of the present: a jam of the stage's first seconds is past after them.
const LATELY: i64 = 8;

const SPAN: Ns = 8 * INTERVAL; // of rates: some dozens of RPCs on a quiet front

/// Times are held only against those of picks at like load: 0, 1, 2, or more of our RPCs on the machine.
const LOADS: usize = 4;

/// Where several fronts must agree, the agreement is the proof: each needs but the usual z of 2.6.
const VOTED: f64 = 2.6;

const PASSING: u32 = 20; // intervals of late answers: twice the ten at which no good build of 162 went back

const HEARERS: u32 = 3; // hear the others, as notes to all grow with the square; one may stall, one restart

/// Most one-way keys remembered: some megabytes. At the bound a key not among them counts as answered by the
/// build last told of, so that none goes back: it waits for room within the cap instead.
pub const MOST_KEYS: usize = 1 << 18;

/// A restart may take so long: what changed meanwhile is not on the roster that a front starts with.
const RESTART: Ns = 5 * SEC;

/// A pick may leave so much later than it is decided: its connection comes up, the process is held up.
const HELD_UP: Ns = 400 * MS;

/// The longest waits for the roster, in eighths of its time: after a loss, and after so many late refusals.
const ASK_AGAIN: [Ns; 4] = [1, 2, 4, 8];
/// The same of a front that has heard none since its start: many may have started together.
const ASK_AGAIN_AT_START: [Ns; 4] = [1, 6, 8, 16];
/// The same after a refusal at once, which costs discovery no work.
const ASK_AGAIN_SOON: Ns = 2;

const BEAT: u64 = 0; // the timer of the beat; any other asks for the roster

impl Front {
    pub fn start(post: FrontConfig, ctl: &mut dyn Actions) -> Front {
        let rows = post.methods.len();
        let scopes = if post.rollout.cap_per_method { rows } else { 1 };
        if post.ask_roster {
            ctl.watch(true);
        }
        ctl.wake_at(ctl.now() + INTERVAL, BEAT);
        // 32 whole buckets of the cap's window count as taken, one more as exposed: never too many.
        let exposure = (0..scopes).map(|_| Ring::new(post.rollout.window / 32, 33)).collect();
        let soft = post.methods.iter().map(|m| m.soft_deadline).min().unwrap_or(SEC).max(MS);
        Front {
            chance: Chance(post.seed | 1),
            born: ctl.now(),
            asked: ctl.now(),
            admit: 1.0,
            base: 1.0,
            exposure,
            open: Ring::new(soft / 8, 12),
            soft,
            // From a dozen on each sees under a tenth of the load.
            quiet: post.fronts > 12,
            means: vec![0.0; rows],
            samples: (0..rows * LOADS).map(|_| Default::default()).collect(),
            post,
            ..Front::default()
        }
    }

    pub fn timer_fired(&mut self, ctl: &mut dyn Actions, tag: u64) {
        if tag == BEAT {
            self.beat(ctl);
            ctl.wake_at(ctl.now() + INTERVAL, BEAT);
        } else if !self.watching {
            self.asked = ctl.now();
            ctl.watch(true);
        }
    }

    pub fn roster_updated(&mut self, ctl: &mut dyn Actions, roll: RosterUpdate, entries: &[Member]) {
        let now = ctl.now();
        if roll == RosterUpdate::Failed {
            // A list not heard counts as known all the same: ask again, spread over a while.
            let spread = self.post.limits.ask_within / 8 * self.ask_again(now);
            let drawn = self.chance.below(spread.max(1) as usize) as Ns;
            return ctl.wake_at(now + INTERVAL + drawn, BEAT + 1);
        }
        self.heard |= roll != RosterUpdate::Saved;
        self.watching |= roll != RosterUpdate::Saved;
        self.machines
            .iter_mut()
            .filter(|_| roll != RosterUpdate::Changes)
            .for_each(|m| m.member.state = State::Gone);
        for entry in entries {
            self.machines.resize_with(self.machines.len().max(entry.machine + 1), Machine::default);
            let known = &mut self.machines[entry.machine];
            // Chance sets when a quiet front may first pick a cold machine: hundreds must not at once.
            let credit = if self.quiet { self.chance.part() } else { 1.0 };
            let known_run = (known.member.build, known.member.started);
            if known.slow == 0.0 || known_run != (entry.build, entry.started) {
                // Another process under this name: what was known of the former one is void, also its ends.
                let credit = (credit, entry.started.unwrap_or(now));
                let lot = self.chance.part();
                *known = Machine { reached: now, slow: 1.0, lot, credit, ..Machine::default() };
            }
            known.member = entry.clone();
        }
        self.watch_newest(now);
    }

    /// The longest wait until the roster is asked for again, in eighths of its time. A call refused late has
    /// cost discovery its work: at one pace a crowd would keep itself up, and none be served.
    fn ask_again(&mut self, now: Ns) -> Ns {
        let served = std::mem::take(&mut self.watching);
        if !served && now - self.asked < INTERVAL {
            return ASK_AGAIN_SOON;
        }
        self.refused = if served { 0 } else { self.refused + 1 };
        let waits: &[Ns] = if self.heard { &ASK_AGAIN } else { &ASK_AGAIN_AT_START };
        waits[self.refused.min(waits.len() - 1)]
    }

    pub fn rollout_updated(&mut self, ctl: &mut dyn Actions, reply: Reply, news: Option<RolloutStatus>) {
        match (reply, self.ballot) {
            (Reply::Counted, Some(b)) => (self.ballot, self.refusals) = (Some((b.0, b.1, true)), 0),
            (Reply::Refused, Some(((.., verdict), ..))) => self.refused(ctl.now(), verdict),
            // One that timed out may count: it is cast again all the same, which replaces it.
            (Reply::TimedOut, _) => self.ballot = None,
            _ => {}
        }
        if let Some((new, old)) = news.zip(self.told).filter(|(new, old)| new.build > old.build) {
            // What was last heard of on trial, or a build between, may have been released unheard.
            let missed = old.phase == Phase::OnTrial || new.build > old.build + 1;
            self.released = if missed { 0 } else { self.released };
            self.taken_off = if old.phase.stays() { self.taken_off } else { old.build };
        }
        self.released = news.filter(|t| t.phase == Phase::Released).map_or(self.released, |t| t.build);
        self.told = news.or(self.told);
        self.watch_newest(ctl.now());
        if let Some(t) = news {
            // Only this word frees the keys of a build; that a newer one is listed does not.
            self.bound.retain(|_, build| *build > t.build || *build == t.build && t.phase.stays());
        }
    }

    /// A newer build than any before: its outcomes are new from here on, all others are the reference.
    fn watch_newest(&mut self, now: Ns) {
        let listed = self.up().map(|m| m.member.build);
        let newest = listed.chain(self.told.map(|t| t.build)).max().unwrap_or(0);
        if newest > self.watched {
            let tally = self.tally(now);
            self.before = merge(self.counted(&tally, 0), &self.counted(&tally, 1));
            self.watched = newest;
            (self.platform, self.standard) = Default::default();
            self.borne = [0.0, self.borne[0].max(self.borne[1])];
            let both = |[new, old]: [Ring<LatencyHistogram>; 2]| {
                LatencyHistogram::sum(new.cells.iter().chain(&old.cells))
            };
            self.past = self.samples.iter_mut().map(|sides| both(std::mem::take(sides))).collect();
        }
    }

    /// Rule 4: picks that a cold machine may get from this front: what its machines were seen to serve, by
    /// size and warmth, times three quarters of the multiple. That is never above capacity, so the sum of
    /// fronts is safe, also for less than one pick each. Then: is it enough, and for what part of fronts?
    fn credit(&self, m: &Machine, now: Ns) -> (f64, bool, f64) {
        let limits = &self.post.limits;
        let age = m.member.started.map_or(i64::MAX, |at| now - at);
        if age > limits.cold_time + limits.fall_time {
            return (1.0, true, 1.0);
        }
        let multiple = 0.75 * limits.overload_factor;
        let a_second = multiple * self.carry * m.size(now, limits);
        let saved = a_second * (now - m.credit.1) as f64 / SEC as f64;
        // Where a front sees much of the load, a third of the span's picks may come at once.
        let burst = a_second * limits.fall_time as f64 / SEC as f64 / 3.0;
        let part = a_second * age as f64 / SEC as f64 * (1.0 - 1.0 / multiple);
        let (burst, part) = if self.quiet { (0.0, part.clamp(0.05, 1.0)) } else { (burst, 1.0) };
        let credit = (m.credit.0 + saved).min(1.0);
        (credit, credit + burst >= 1.0, part)
    }

    /// What a pick there is expected to cost: how busy it is, and how sick it seems.
    fn cost(&self, m: &Machine, now: Ns, more: f64) -> f64 {
        // A machine that fails or can't be reached draws fewer picks, not none: it must be seen to recover.
        let mut cost = (1.0 + 40.0 * m.ill * m.ill) * if self.quiet { m.slow.max(0.1) } else { 1.0 };
        // Where connections are scarce, those that answered lately still hold one.
        if now - m.reached > 5 * SEC {
            cost *= 1.0 + 8000.0 * self.scarce * self.scarce;
        }
        // A slow or lossy link, or a zone that is full, shows in a zone's times long before a machine's.
        let slow = |zone: u32| self.zones.get(zone as usize).copied().unwrap_or(1.0).max(0.5);
        if m.member.zone != self.post.zone {
            let ratio = (slow(m.member.zone) / slow(self.post.zone)).max(1.2) - 0.2;
            cost *= (1.0 + 25.0 * self.post.cross_zone_price) * ratio * ratio;
        }
        // The few quiet fronts that may pick a cold machine by now make up for those that may not.
        cost * m.busy(more, now, &self.post.limits) * self.credit(m, now).2
    }

    fn up(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|m| m.up())
    }

    /// May picks go by the roster? On one from the start a machine may stand that went while this front was
    /// down, which counts as told after a while, heard or not; where changes are pushed, from the start on.
    fn trusts_roster(&self, now: Ns) -> bool {
        let SafetyLimits { told_within, drain_grace, .. } = self.post.limits;
        let told = if self.post.ask_roster { told_within - RESTART } else { 0 };
        let serves = told.saturating_add(drain_grace) - HELD_UP;
        self.heard || told_within == 0 || now - self.born < serves
    }

    fn best(&mut self, now: Ns, fits: impl Fn(&Member) -> bool) -> Option<usize> {
        if !self.trusts_roster(now) {
            return None;
        }
        let size = self.machines.len();
        let from = self.chance.below(size.max(1));
        let fits = |m: &Machine| m.up() && fits(&m.member) && self.credit(m, now).1;
        let all = (0..size).map(|i| (from + i) % size);
        let mut fit: Vec<usize> = all.filter(|&i| fits(&self.machines[i])).collect();
        // Chance stands for the load that other fronts bring: quiet ones choose by size alone, as the least
        // of draws over sizes does, else all would crowd on the machines that look best.
        let drawn = |lot: f64| -4.0 * size as f64 * lot.ln();
        // A new connection costs work: it keeps to few by such a draw over lots, not to a stage's first ones.
        let part = fit.len() as f64 / self.up().count().max(1) as f64;
        let near = (NEAR[0] * self.rates(now)[1] * part).max(NEAR[1]) as usize;
        let keeps = self.quiet && self.post.handshake_price > 0.0;
        // Times swing from pick to pick: by them, and by what each still holds, it chooses among these alone.
        let slow = |m: &Machine| m.slow.max(0.1).powf(1.5);
        if keeps {
            let cost = |m: &Machine| self.cost(m, now, drawn(m.lot)) / slow(m);
            fit.sort_by_cached_key(|&i| cost(&self.machines[i]).to_bits());
            fit.truncate(near);
        }
        let each = fit.into_iter().map(|i| {
            let more = if self.quiet { drawn(self.chance.part()) } else { 1.0 };
            let m = &self.machines[i];
            let near = more * slow(m) * (1.0 + 40.0 * m.ill * m.ill) * (1.0 + m.held).powi(2);
            (if keeps { near } else { self.cost(m, now, more) }, i)
        });
        each.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, i)| i)
    }

    pub fn rpc_received(
        &mut self, ctl: &mut dyn Actions, rpc: usize, method: usize, key: Option<u64>, deadline: Ns,
    ) {
        let now = ctl.now();
        let scope = self.scope(method);
        self.exposure[scope].at(now)[0] += 1;
        self.rpcs.resize_with(self.rpcs.len().max(rpc + 1), Rpc::default);
        self.rpcs[rpc] =
            Rpc { method, key, taken: now, deadline, open: true, last: usize::MAX, ..Rpc::default() };
        *self.open.at(now) += 1;
        self.load.at(now)[0] += 1;
        let admit = self.admit.powf(1.0 / self.yields(method));
        // In a jam, whose client won't wait as long as its method takes goes first: the work would be lost.
        let lost = self.base < 1.0 && now + self.means[method] as Ns > deadline;
        if lost || self.fullness(now, method, 0) > 1.0 || self.chance.part() > admit {
            return self.give_up(ctl, rpc);
        }
        self.first(ctl, rpc);
    }

    /// RPCs taken, ok answers and those in time, a second.
    fn rates(&self, now: Ns) -> [f64; 3] {
        let span = (now - self.born).clamp(SEC / 4, SPAN) as f64 / SEC as f64;
        [0, 1, 2].map(|i| f64::from(self.load.last(now, SPAN / INTERVAL).map(|l| l[i]).sum::<u32>()) / span)
    }

    /// What a method is worth for its time, against the most of all; one never met tells of no time yet.
    fn yields(&self, method: usize) -> f64 {
        let met = |row: &usize| self.means[*row] > 0.0;
        let worth = |row: usize| self.post.methods[row].utility / self.means[row].max(MS as f64);
        let most = (0..self.means.len()).filter(met).map(worth).fold(0.0, f64::max);
        Some(method).filter(met).map_or(1.0, |method| worth(method) / most)
    }

    /// Open RPCs against those served in four (least useful) to eight tenths of the shortest soft deadline.
    /// Those open for one and a half of it, heavy or on a lost machine, say nothing of the queue: left out.
    fn fullness(&self, now: Ns, method: usize, more: u32) -> f64 {
        let limit = self.rates(now)[1] * self.soft as f64 / SEC as f64 * (0.4 + 0.4 * self.yields(method));
        f64::from(self.open.last(now, 12).sum::<u32>() + more) / limit.max(self.up().count() as f64)
    }

    /// Would one more be taken on? An RPC behind an open one of its connection waits for that; no other can.
    pub fn has_room(&self, now: Ns, method: usize) -> bool {
        self.fullness(now, method, 1) <= 1.0
    }

    /// The part of a quiet front's first picks for `build`: beside earlier machines what each of these bears,
    /// as after the release; by size in a full fleet.
    fn kept(&self, build: u32, now: Ns) -> f64 {
        // Fronts are held back from cold ones, and those that were up before must not bear their share.
        let size = |m: &Machine| m.size(now, &self.post.limits) * m.age(now, &self.post.limits);
        let [ours, others] = [true, false]
            .map(|on| self.up().filter(|m| (m.member.build == build) == on).map(size).sum::<f64>());
        match (self.base < 1.0, self.post.rollout.parallel) {
            (true, _) => ours / (ours + others).max(1e-6),
            (_, true) => ours / others.max(1e-6),
            _ => ours / (ours + others / FILL).max(1e-6),
        }
    }

    /// The first pick: the build on trial while cap and machines have room, else the earlier.
    fn first(&mut self, ctl: &mut dyn Actions, rpc: usize) {
        let now = ctl.now();
        let (method, key, build) = (self.rpcs[rpc].method, self.rpcs[rpc].key, self.watched);
        let fills = self.bound_to(key) == build || !self.quiet || self.kept(build, now) >= self.chance.part();
        let room = fills && self.room(build, method, now);
        let trial = if room { self.best(now, |m| m.build == build) } else { None };
        let earlier = self.earlier(rpc, now, |_| true);
        let full = trial.zip(earlier).is_some_and(|(t, e)| {
            let ([t, e], limits) = ([t, e].map(|i| &self.machines[i]), &self.post.limits);
            t.busy(1.0, now, limits) > e.busy(1.0, now, limits) + (FILL - 1.0) / e.size(now, limits)
        });
        self.pick(ctl, rpc, if full && !self.quiet { earlier } else { trial.or(earlier) });
    }

    /// The build that a one-way key is bound to; it goes to no earlier one. An unknown one counts as answered
    /// by the newest build where other fronts may know of more, by that last told of where there is no room.
    fn bound_to(&self, key: Option<u64>) -> u32 {
        let unknown = match self.told {
            // Nobody is bound to a build that is taken back.
            Some(t) if self.unsure && t.build == self.watched && !t.phase.stays() => 0,
            _ if self.unsure => self.watched,
            Some(t) if self.bound.len() >= MOST_KEYS => t.build,
            _ => 0,
        };
        key.map_or(0, |key| self.bound.get(&key).copied().unwrap_or(unknown))
    }

    /// Remembers who answered a key; true where that is news.
    pub(crate) fn bind(&mut self, key: u64, build: u32) -> bool {
        let room = self.bound.len() < MOST_KEYS || self.bound.contains_key(&key);
        let news = room && self.bound.get(&key).is_none_or(|known| *known < build);
        if news {
            self.bound.insert(key, build);
        }
        news
    }

    /// Another front knows who answered a key. It may make this one more careful, never less.
    pub fn key_bound_by_peer(&mut self, key: u64, build: u32) {
        let over = self.told.is_some_and(|t| build < t.build || build == t.build && !t.phase.stays());
        if self.post.rollout.one_way && !over {
            self.bind(key, build);
        }
    }

    /// Is all that other fronts know of keys here? Told where fronts know each other.
    pub fn set_keys_known(&mut self, known: bool) {
        self.unsure = !known;
    }

    /// May a pick that waited for its connection still leave, by what was told and answered meanwhile?
    pub fn may_send(&self, rpc: usize, machine: usize) -> bool {
        let (m, key) = (&self.machines[machine], self.rpcs[rpc].key);
        let open = self.on_trial(m.member.build).is_none_or(|(_, cap)| cap > 0.0);
        m.up() && open && self.bound_to(key) <= m.member.build
    }

    /// The best machine of earlier builds, also of one on trial within its cap where a newer one is listed.
    fn earlier(&mut self, rpc: usize, now: Ns, fits: impl Fn(&Member) -> bool) -> Option<usize> {
        let (method, least) = (self.rpcs[rpc].method, self.bound_to(self.rpcs[rpc].key));
        let (newest, told) = (self.watched, self.told.map_or(0, |t| t.build));
        let most = if self.room(told, method, now) { told + 1 } else { told };
        let stays = (!self.watching).then(|| self.surely_stays());
        let known = |build: u32| build >= told || stays.is_none_or(|stays| stays == Some(build));
        self.best(now, |m| (least..newest.min(most)).contains(&m.build) && known(m.build) && fits(m))
    }

    /// The earlier build that surely stays while no drain is heard: that last released. A front that was not
    /// up then knows it by its old roster only where no build but one taken off came between.
    fn surely_stays(&self) -> Option<u32> {
        let before = self.told.map_or(0, |t| t.build).saturating_sub(1);
        let earlier = self.up().map(|m| m.member.build).filter(|b| *b <= before && *b != self.taken_off);
        let listed: BTreeSet<u32> = earlier.collect();
        let alone = listed.first().filter(|b| listed.len() == 1 && [**b, self.taken_off].contains(&before));
        Some(self.released).filter(|build| *build > 0).or(alone.copied())
    }

    fn pick(&mut self, ctl: &mut dyn Actions, rpc: usize, machine: Option<usize>) {
        let (now, step) = (ctl.now(), self.post.step);
        let Some(machine) = machine else { return self.give_up(ctl, rpc) };
        let r = &mut self.rpcs[rpc];
        let row = r.method;
        let left = r.deadline - now - step;
        r.last = machine;
        let (credit, ..) = self.credit(&self.machines[machine], now);
        let m = &mut self.machines[machine];
        let mark = (m.member.zone, m.member.cell, now);
        let (build, cell) = (m.member.build, row * LOADS + (m.held as usize).min(LOADS - 1));
        let run = (build, m.member.started);
        m.held += 1.0;
        m.credit = (credit - 1.0, now);
        let queued = self.queued.at(now);
        *queued = add(*queued, [1, 1]);
        if self.on_trial(build).is_some() {
            let scope = self.scope(row);
            self.exposure[scope].at(now)[1] += 1;
        }
        self.rpcs[rpc].then.push(Some(Box::new(move |front, ctl, outcome, took, last| {
            front.learn(ctl.now(), machine, run, cell, outcome, took);
            let r = &mut front.rpcs[rpc];
            if outcome.may_have_run() {
                r.mark = r.mark.or(Some(mark));
            }
            // An answer that was lost on its way counts for the key all the same.
            let answered = matches!(outcome, Outcome::Ok | Outcome::Broken) && front.post.rollout.one_way;
            let open = r.open;
            if let Some(key) = r.key.filter(|_| answered) {
                if front.bind(key, build) {
                    ctl.key_bound(key, build);
                }
            }
            if last {
                front.rpc_closed(rpc);
            } else if open {
                front.repeat(ctl, rpc);
            }
        })));
        // Work goes on behind an early time-out, and in a jam its repeat doubles it: so only the first pick
        // of an idempotent RPC, far beyond the usual, while under a tenth are late: it is lost or heavy.
        let soft = self.post.methods[row].soft_deadline;
        let early = (6.0 * self.means[row]).max(soft as f64 / 2.0) as Ns;
        let first =
            self.rpcs[rpc].then.len() == 1 && self.post.methods[row].idempotency == Idempotency::Idempotent;
        let known = self.means[row] > 0.0 && early < soft;
        let [all, late] = sum(self.queued.last(now - 2 * INTERVAL, 4));
        let room = first && known && !self.quiet && 10 * late < all && self.fullness(now, row, 0) < 0.5;
        ctl.pick(rpc, machine, if room { early.min(left) } else { left }.max(step));
    }

    /// Another pick, if the method and the time left allow one.
    fn repeat(&mut self, ctl: &mut dyn Actions, rpc: usize) {
        let now = ctl.now();
        let r = &self.rpcs[rpc];
        let (row, mark, last, build) = (r.method, r.mark, r.last, self.watched);
        let Method { idempotency, dedup_scope, dedup_window, .. } = self.post.methods[row];
        // A repeat that cannot end in time, or goes to a full fleet, only adds load.
        let ends = now + self.means[row] as Ns / 2 + self.post.step;
        let useful = ends <= r.deadline && self.fullness(now, row, 0) <= 1.0;
        let left = r.then.len() < self.post.permissions.most_picks as usize;
        // Rule 2: after a pick that may have run, only what the method allows.
        let harmless = match (mark, idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some((.., sent)), Idempotency::Tokened) => now < sent + dedup_window - 2 * self.post.step,
            (_, Idempotency::NonIdempotent) => false,
        };
        if !useful || !left || !harmless {
            return self.give_up(ctl, rpc);
        }
        let other = move |m: &Member| {
            let inside = match (idempotency, dedup_scope, mark) {
                (Idempotency::Tokened, DedupScope::Zone, Some((zone, ..))) => m.zone == zone,
                (Idempotency::Tokened, DedupScope::Cell, Some((_, cell, _))) => m.cell == cell,
                _ => true,
            };
            m.machine != last && inside
        };
        let mut machine = self.earlier(rpc, now, other);
        if machine.is_none() && self.room(build, row, now) {
            machine = self.best(now, |m| m.build == build && other(m));
        }
        self.pick(ctl, rpc, machine);
    }

    /// The final answer at once: a pushback where harmless, to come back soon: longer waits lost more.
    fn give_up(&mut self, ctl: &mut dyn Actions, rpc: usize) {
        let r = &self.rpcs[rpc];
        let method = &self.post.methods[r.method];
        let always = matches!(
            (method.idempotency, method.dedup_scope),
            (Idempotency::Idempotent, _) | (Idempotency::Tokened, DedupScope::All)
        );
        if (always || r.mark.is_none()) && r.deadline > ctl.now() {
            ctl.push_back(rpc, (method.soft_deadline / 8).min(self.post.permissions.longest_wait));
        } else {
            ctl.abort(rpc);
        }
        self.rpc_closed(rpc);
    }

    pub fn pick_ended(
        &mut self, ctl: &mut dyn Actions, rpc: usize, pick: usize, how: Outcome, took: Ns, last: bool,
    ) {
        if let Some(then) = self.rpcs[rpc].then.get_mut(pick).and_then(Option::take) {
            then(self, ctl, how, took, last);
        }
    }

    /// Answered, or the client has gone, or owns a streamed answer that has begun: nothing is owed now.
    pub fn rpc_closed(&mut self, rpc: usize) {
        let was = std::mem::take(&mut self.rpcs[rpc].open);
        if let Some(open) = self.open.then(self.rpcs[rpc].taken).filter(|_| was) {
            *open -= 1;
        }
    }

    fn scope(&self, method: usize) -> usize {
        method.min(self.exposure.len() - 1)
    }

    /// The stage and cap of a build on trial; one not yet announced counts as in the first stage.
    fn on_trial(&self, build: u32) -> Option<(u32, f64)> {
        match self.told {
            Some(t) if build < t.build || build == t.build && t.phase == Phase::Released => None,
            Some(t) if build == t.build && t.phase == Phase::OnTrial => Some((t.stage, t.cap)),
            Some(t) if build == t.build => Some((t.stage, 0.0)),
            _ => Some((0, self.post.rollout.caps.first().copied().unwrap_or(0.0))),
        }
    }

    /// Rule 5: may this method have one more pick at this build?
    fn room(&self, build: u32, method: usize, now: Ns) -> bool {
        let rollout = &self.post.rollout;
        let Some((stage, cap)) = self.on_trial(build) else { return true };
        let guarded = (stage as usize) < rollout.guarded_stages;
        if cap <= 0.0 || guarded && self.post.methods[method].idempotency != Idempotency::Idempotent {
            return false;
        }
        let (scope, free) = (self.scope(method), rollout.free);
        let taken: u32 = self.exposure[scope].last(now, 32).map(|c| c[0]).sum();
        let exposed: u32 = self.exposure[scope].last(now, 33).map(|c| c[1]).sum();
        f64::from(exposed) + 1.0 <= free + cap * f64::from(taken) + 1e-9
    }

    /// 0 for the build under watch, 1 for the earlier ones.
    fn side(&self, build: u32) -> usize {
        usize::from(build < self.watched)
    }

    fn learn(&mut self, now: Ns, machine: usize, run: Run, cell: usize, outcome: Outcome, took: Ns) {
        let (row, side, soft) =
            (cell / LOADS, self.side(run.0), self.post.methods[cell / LOADS].soft_deadline);
        let m = &mut self.machines[machine];
        if (m.member.build, m.member.started) != run {
            return;
        }
        m.held = (m.held - 1.0).max(0.0);
        if matches!(outcome, Outcome::Cancelled | Outcome::Void) {
            return;
        }
        // Time-outs and broken connections tell of a machine or the net, not of what the build answers.
        let (ok, error) = (outcome == Outcome::Ok, outcome == Outcome::Error);
        let failed = !ok && !matches!(outcome, Outcome::TimedOut | Outcome::Full);
        if ok || outcome == Outcome::TimedOut {
            let (took, mean) = (took as f64, &mut self.means[row]);
            *mean += if *mean == 0.0 { took } else { 0.02 * f64::from(u8::from(ok)) * (took - *mean) };
            let slow = (took / *mean).min(8.0);
            m.slow += if self.quiet { 0.3 } else { 0.1 } * (slow - m.slow);
            let zone = m.member.zone as usize;
            self.zones.resize(self.zones.len().max(zone + 1), 1.0);
            self.zones[zone] += 0.05 * (slow - self.zones[zone]);
        }
        // Late until answered within half its soft deadline; failures and clients in a hurry tell nothing.
        let untold = failed || outcome == Outcome::TimedOut && took < soft / 2;
        if let Some([all, late]) = self.queued.then(now - took) {
            *all -= u32::from(untold).min(*all);
            *late -= u32::from(untold || ok && took <= soft / 2).min(*late);
        }
        // Two failures in a row make it a last resort, for a quiet front too; time-outs are slowness.
        if ok {
            (m.reached, m.ill) = (now, 0.8 * m.ill);
        } else if failed {
            (m.reached, m.ill) = (i64::MIN / 2, m.ill + 0.4 * (1.0 - m.ill));
        }
        self.scarce += 0.1 * (f64::from(u8::from(outcome == Outcome::Unreachable)) - self.scarce);
        let load = self.load.at(now);
        *load = [load[0], load[1] + u32::from(ok), load[2] + u32::from(ok && took <= soft)];
        // Each machine's first second is left out of what is held against a build.
        let age = m.member.started.map_or(i64::MAX, |at| now - took - at);
        if age < SEC {
            return;
        }
        let counts = m.counts.at(now);
        let mut count = |row: usize, bad: bool| counts[row] = add(counts[row], [1, u32::from(bad)]);
        count(ALL, error);
        count(row_of(row), error);
        count(DISPUTES, false);
        // Times count from warm machines alone, like with like; refusals and a broken net are no times.
        if age >= self.post.limits.cold_time && (ok || error || outcome == Outcome::TimedOut) {
            count(LATE, !ok || took > soft);
            self.samples[cell][side].at(now).add(ok.then_some(took));
        }
    }

    /// A client found an answer wrong: a failure like others, seen late; not the fault of a later start.
    pub fn answer_disputed(&mut self, ctl: &mut dyn Actions, machine: usize, sent: Ns) {
        let m = self.machines.get_mut(machine);
        if let Some(m) = m.filter(|m| m.member.started.is_none_or(|at| at < sent)) {
            m.counts.at(ctl.now())[DISPUTES][1] += 1;
        }
    }

    pub fn note_received(&mut self, ctl: &mut dyn Actions, from: usize, note: &[u8]) {
        self.notes.extend(Tally::read(note).map(|(build, tally)| (from, (ctl.now(), build, tally))));
    }

    pub fn platform_counted(
        &mut self, ctl: &mut dyn Actions, build: u32, method: usize, picks: u32, not_ok: u32,
    ) {
        let counts = self.platform[self.side(build)].at(ctl.now());
        for row in [ALL, row_of(method)] {
            counts[row] = add(counts[row], [picks, not_ok]);
        }
    }

    fn tally(&self, now: Ns) -> Tally {
        let mut tally = Tally::default();
        for m in &self.machines {
            let counts = m.counts.last(now, KEPT).fold(Counts::default(), merge);
            tally.count(self.side(m.member.build), m.member.tag, counts);
        }
        tally
    }

    /// Counts of a side, row by row without the worst third of its machines: a sick machine is not a sick
    /// build, and sick earlier ones must not hide a bad one.
    fn counted(&self, tally: &Tally, side: usize) -> Counts {
        let ours = self.machines.iter().filter(|m| self.side(m.member.build) == side);
        let tags: Vec<u32> = ours.filter(|m| m.up() || m.held > 0.0).map(|m| m.member.tag).collect();
        std::array::from_fn(|row| {
            let picks = tally.words[ROWS * side + row];
            let failures = |tag: &u32| tally.failed.get(&(*tag, row)).copied().unwrap_or(0);
            let mut failed: Vec<u32> = tags.iter().map(failures).collect();
            failed.sort_unstable();
            let met = failed.len().min(picks as usize); // few picks meet few machines
            let out = (met + 1) / 3;
            let kept = picks * (met - out) as f32 / met.max(1) as f32;
            [kept as u32, failed[..failed.len() - out].iter().sum()]
        })
    }

    fn beat(&mut self, ctl: &mut dyn Actions) {
        let now = ctl.now();
        // What seemed slow is tried again: without picks the measure would never mend.
        let unheard = self.machines.iter_mut().filter(|m| now - m.reached > SPAN);
        unheard.for_each(|m| m.slow += 0.1 * (1.0 - m.slow));
        // Half of an illness is forgotten in eleven seconds, of a slow zone in seventeen.
        self.machines.iter_mut().for_each(|m| m.ill *= 0.97);
        self.zones.iter_mut().for_each(|slow| *slow += 0.02 * (1.0 - *slow));
        if now - self.born > SPAN {
            // What machines once carried they can carry again; forgotten by half in half a minute.
            let sizes: f64 = self.up().map(|m| m.size(now, &self.post.limits)).sum();
            let [taken, ok, timely] = self.rates(now).map(|rate| rate / sizes.max(1e-6));
            self.carry = (0.99 * self.carry).max(ok);
            let alone = |t: RolloutStatus| t.phase == Phase::Released && now - t.since > SPAN;
            if timely >= 0.9 * taken && self.told.is_some_and(alone) {
                self.borne[0] = self.borne[0].max(timely);
            }
            // Half of what it is asked and the earlier build bore comes late or not at all. An overload or a
            // burst answers more than was ever borne; what this build bore once is not its fault later.
            let [new, old] = self.borne;
            self.sinks = timely < 0.5 * taken.min(old) && ok <= 1.1 * old && new < 0.8 * old;
        }
        // A quiet front's jam: over four in ten take half their soft deadline. A sum alone would swing.
        if self.quiet {
            // With under four picks a jam would pass for chance: a front of a large tier looks further back.
            let looks = [2, 4, 8].map(|n| sum(self.queued.last(now - 2 * INTERVAL, n)));
            let [picks, late] = looks.into_iter().find(|seen| seen[0] >= 4).unwrap_or(looks[2]);
            let late = f64::from(late) / f64::from(picks.max(4));
            self.base = (self.base + 0.1 * (0.4 - late)).clamp(0.1, 1.0);
            self.admit = (self.base + 1.2 * (0.4 - late)).clamp(0.1, 1.0);
        }
        let Some(told) = self.told else { return };
        let trial = told.phase == Phase::OnTrial;
        if told.build != self.watched || !told.phase.stays() {
            self.ballot = None;
            return;
        }
        let (fronts, rank) = (self.post.fronts, self.post.rank);
        let hearers = [0, 1, 2].map(|i| (told.build + i * fronts / HEARERS) % fronts.max(1));
        let hears = !self.post.permissions.notes || fronts <= HEARERS || hearers.contains(&rank);
        let mut tally = self.tally(now);
        let tests = self.times(now, trial).into_iter().flat_map(|test| test.to_array());
        tally.words[2 * ROWS..].iter_mut().zip(tests).for_each(|(word, x)| *word = x as f32);
        let own = [0, 1].map(|side| self.counted(&tally, side));
        // After a release every fourth interval: a build that fails only when full shows then.
        if self.post.permissions.notes && (trial || now / INTERVAL % 4 == i64::from(rank % 4)) {
            let note = tally.note(told.build);
            hearers.iter().filter(|h| **h != rank).for_each(|h| ctl.send_note(Some(*h), &note));
        }
        self.notes.retain(|_, n| n.1 == told.build && now - n.0 < 6 * INTERVAL); // older ones say nothing
        self.notes.values().for_each(|n| tally.add(&n.2));
        let pooled = [0, 1].map(|side| self.counted(&tally, side));
        // The fullest counts of the earlier build stay the reference when its machines go.
        let fuller = |new: Counts, kept: Counts| std::cmp::max_by_key(new, kept, |c| c[ALL][0]);
        self.standard = fuller(self.tallies(now, 1, LATELY), self.standard);
        self.before = fuller(pooled[1], self.before);
        let why = self.harm(now, trial, [own, pooled], [0, 1, 2].map(|i| RankSum::from(tally.test(i))));
        if let Some(why) = why.filter(|_| self.condemned != told.build) {
            self.condemned = told.build;
            ctl.log(&format!("back {}: {why}", told.build));
        }
        // Of this stage alone: what was clean at a tenth of the fleet may fail once most of it is full.
        let tallied = self.tallies(now, 0, ((now - told.since) / INTERVAL).min(KEPT))[ALL][0];
        let baked = trial && self.baked(now, told, pooled[0][ALL][0] + tallied, hears);
        let verdict = match self.post.rollout.control {
            _ if self.condemned == told.build => Verdict::Back,
            Control::Automatic if baked => Verdict::NoVote,
            Control::Automatic if trial => Verdict::Hold,
            _ if baked => Verdict::On,
            _ => return,
        };
        self.cast(ctl, told, verdict);
    }

    fn tallies(&self, now: Ns, side: usize, over: i64) -> Counts {
        self.platform[side].last(now, over).fold(Counts::default(), merge)
    }

    /// A harmful deviation of the watched build, in words.
    fn harm(
        &mut self, now: Ns, trial: bool, counts: [[Counts; 2]; 2], times: [RankSum; 3],
    ) -> Option<String> {
        // The chance of a false alarm, one in a thousand for the tier, is shared by fronts and methods. Where
        // it takes k of n fronts, each may err as often as k seldom do together: (e n p / k)^k bounds that.
        let (n, k) = (f64::from(self.post.fronts.max(1)), f64::from(self.post.rollout.back_votes.max(1)));
        let odds = k / (n * std::f64::consts::E) * 1e-3f64.powf(1.0 / k) / (self.means.len() + 1) as f64;
        let ours = self.machines.iter().filter(|m| self.side(m.member.build) == 0);
        let erred = sum(ours.flat_map(|m| m.counts.last(now, KEPT)).map(|c| &c[ALL]))[1] > 0;
        // The platform counts time-outs of a jam or a bad net too: so an error seen by this front as well.
        let seen = [0, 1].map(|side| self.tallies(now, side, KEPT));
        if let Some(why) = wide(seen, 0.003).filter(|_| trial && erred) {
            return Some(format!("tallied, {why}"));
        }
        for (source, [new, old]) in ["own", "pooled"].into_iter().zip(counts) {
            let old = if old[ALL][0] < self.before[ALL][0] { merge(old, &self.before) } else { old };
            let harmed = |&r: &usize| r != LATE && old[ALL][0] >= 30 && deviates(new[r], old[r], odds);
            if let Some(row) = (0..ROWS).find(harmed) {
                return Some(format!("{source} failures, row {row}: {:?} against {:?}", new[row], old[row]));
            }
        }
        // The rank test of new against earlier times, by method, time and load: z 3.4 for a dozen tests, but
        // times that queue together count for a third as many, so 6. Slower within the soft deadline harms
        // nobody: a tenth more must be late, and not for the worst third of machines alone.
        let ([new, old], [times, past, less]) = (counts[1].map(|side| side[LATE]), times);
        let bar = |alone: f64| if self.post.rollout.back_votes > 1 { VOTED } else { alone };
        // Where a fifth of the earlier are late too, or this front pushes back, fuller machines jam first.
        let late = share(new) > share(old) + 0.1 && share(old) < 0.2 && self.base >= 1.0;
        let seen = new[0].min(old[0]) >= 20;
        // In place a false alarm costs a fleet of cold machines: failures alone judge there after a release.
        let late = if trial { late && seen } else { self.sinks && self.post.rollout.parallel };
        // Three machines, else a sick one may be the build; a peer heard, else one front's jam sends it back.
        let many = self.up().filter(|m| self.side(m.member.build) == 0).count() > 2;
        let heard = !self.post.permissions.notes || !self.notes.is_empty();
        let slow = times.z() > bar(6.0) && times.effect_size() > 0.17 && late && many && heard;
        // An earlier build that fails oftener than the new one is sick itself: its times say nothing.
        let sick = deviates(counts[1][1][ALL], counts[1][0][ALL], odds);
        // Three seconds a quarter slower (a lead of 0.06) that move at the onset and then do not ease.
        let moved = less.z() > if self.lasts[1] > 0 { -2.6 } else { 2.6 };
        let worse = past.pairs >= 400.0 && past.z() > bar(7.0) && past.effect_size() > 0.06 && moved;
        let worse = worse && trial && !sick && self.post.rollout.parallel;
        // A queue passes within four intervals, most shared slowness within twenty; on votes wait as long.
        self.lasts = [(slow, 0), (worse, 1)].map(|(harms, i)| if harms { self.lasts[i] + 1 } else { 0 });
        let told =
            |whose: &str, t: RankSum| format!("{whose} times, z {:.1}, lead {:.2}", t.z(), t.effect_size());
        let slow = self.lasts[0] > if trial { 3 } else { PASSING };
        slow.then(|| told("its", times)).or((self.lasts[1] > 19).then(|| told("earlier build's", past)))
    }

    /// A build that slows every machine hides from a test against the earlier one: so the earlier one's times
    /// are ranked, at like load, against those before the trial, and against those of when the trial had less
    /// than half of its present share: a burst does not move with that. In place, capacity does; not there.
    fn times(&self, now: Ns, trial: bool) -> [RankSum; 3] {
        const PRESENT: usize = KEPT as usize - 6; // the last six buckets
        let mut seen = [[0; 2]; KEPT as usize]; // all picks, those at the new build
        for (new, ring) in self.samples.iter().flat_map(|[new, old]| [(1, new), (0, old)]) {
            ring.last(now, KEPT).zip(&mut seen).for_each(|(s, c)| *c = add(*c, [s.count(), new * s.count()]));
        }
        let today = share(sum(seen[PRESENT..].iter()));
        let times = |side: usize, kept: &dyn Fn(usize) -> bool| -> Vec<LatencyHistogram> {
            let cells = self.samples.iter().map(|sides| sides[side].last(now, KEPT).enumerate());
            cells.map(|cell| LatencyHistogram::sum(cell.filter(|s| kept(s.0)).map(|s| s.1))).collect()
        };
        let (olds, less) =
            (times(1, &|i| i >= PRESENT), times(1, &|i| i < PRESENT && share(seen[i]) < 0.5 * today));
        let past = |times: &[LatencyHistogram]| RankSum::of_pairs(times.iter().zip(&self.past));
        let both = self.samples.iter().flat_map(|[a, b]| a.last(now, KEPT).zip(b.last(now, KEPT)));
        // Released, it stands alone: its own times are held against those before its trial.
        let first = if trial { RankSum::of_pairs(both) } else { past(&times(0, &|_| true)) };
        [first, past(&olds), RankSum::of_pairs(olds.iter().zip(&less))]
    }

    /// Clean long enough: the newest machine of this stage has run for the bake, and outcomes were seen.
    fn baked(&self, now: Ns, told: RolloutStatus, seen: u32, hears: bool) -> bool {
        let bake = (self.post.rollout.dwell + SEC).max(2 * SEC);
        let ours = self.up().filter(|m| m.member.build == told.build);
        let newest = ours.filter_map(|m| m.member.started).max().unwrap_or(i64::MIN / 2);
        let fresh = newest > told.since || now - told.since > 8 * SEC; // machines start after their stage
        let more = if hears { 0 } else { 10 * SEC }; // the first word is theirs who hear others
        let [new, old] = [0, 1].map(|side| self.tallies(now, side, LATELY));
        let old = if old[ALL][0] < 100 { self.standard } else { old };
        // In the last stage, which has all first picks, waiting costs least, and what fails late shows at its
        // oldest machines alone; a doubt too small to send a build back is one too many to send it on.
        let last = new[ALL][0] > 0 && told.cap >= 1.0;
        // New machines need new connections, which a bad net refuses: then tallies say nothing.
        let sure = |margin| self.scarce > 0.01 || wide([new, old], margin).is_none();
        // A smaller doubt passes with a jam, or grows with the machines that fail late: twice as long tells.
        let long = if last && !sure(0.003) { 4 * bake } else { 2 * bake };
        let enough = if hears && seen >= 20 && !last { bake } else { long + more };
        fresh && sure(0.01) && self.lasts == [0, 0] && now - newest.max(told.since) >= enough
    }

    /// How long the platform takes to hear all fronts once.
    fn round(&self) -> Ns {
        let calls =
            Some(self.post.rollout.platform_call_rate).filter(|calls| *calls > 0.0).unwrap_or(f64::INFINITY);
        (f64::from(self.post.fronts) / calls * SEC as f64) as Ns
    }

    /// The platform takes no more calls now. Waits double, each drawn from half to whole: a back vote's up to
    /// a quarter of its life, so that calls that come free are used; any other's up to a round of all fronts.
    fn refused(&mut self, now: Ns, verdict: Verdict) {
        let most = if verdict == Verdict::Back { self.post.rollout.vote_life / 4 } else { self.round() };
        let wait = (INTERVAL << self.refusals).min(most.max(INTERVAL));
        self.refusals = (self.refusals + 1).min(6);
        let drawn = self.chance.below((wait / 2) as usize) as Ns;
        (self.ballot, self.rests) = (None, Some((verdict, now + wait / 2 + drawn)));
    }

    /// Keeps this front's vote standing: cast again once half its life is over, or as late as is safe where
    /// the platform can't hear all fronts as often, or no answer came.
    fn cast(&mut self, ctl: &mut dyn Actions, told: RolloutStatus, verdict: Verdict) {
        let (now, rollout) = (ctl.now(), &self.post.rollout);
        // On votes that can't ever stand together would only keep the back votes out: more than the platform
        // takes in a life, and in the two seconds that it was seen to save up while nobody votes.
        let stand = rollout.platform_call_rate * (rollout.vote_life + SAVED_UP) as f64 / SEC as f64;
        if verdict == Verdict::On && rollout.platform_call_rate > 0.0 && f64::from(rollout.on_votes) > stand {
            self.ballot = None;
            return;
        }
        let vote = (told.build, told.stage, verdict);
        let late = self.round().max(rollout.vote_life / 2).min(rollout.vote_life - INTERVAL);
        let stands = self.ballot.is_some_and(|(standing, cast, counted)| {
            let life = if counted { late } else { rollout.call_timeout + INTERVAL };
            standing == vote && now - cast < life
        });
        let rests = self.rests.is_some_and(|(refused, until)| refused == verdict && now < until);
        if !stands && !rests {
            ctl.vote(told.build, told.stage, verdict);
            self.ballot = Some((vote, now, false));
        }
    }
}
