//! Every decision of a front, its tables and its tuned values.
//!
//! How to call it: [`Front::start`] once with the [`Post`] read at start, then the method that bears
//! the name of what happened (`members`, `told`, `taken`, `ended`, `woke`, ...), in the order of events.
//! Each call gets a [`Ctl`], through which the decisions act; types and `Ctl` are in `interface.rs`.
//!
//! From top to bottom: chance and rings, the rank test, machines and routing, the steps of an RPC,
//! exposure, evidence on the watched build, votes.
use crate::interface::*;
use std::collections::BTreeSet;

const MS: Ns = 1_000_000;
const SEC: Ns = 1_000 * MS;

/// Multiply-with-carry.
struct Chance(u64);

impl Chance {
    fn below(&mut self, n: usize) -> usize {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        ((self.0 & 0xffff_ffff) as usize * n) >> 32
    }
}

/// Buckets of time, used again in a ring; the newest one is still filling.
pub struct Ring<T> {
    width: Ns,
    newest: i64,
    cells: Vec<T>,
}

impl<T: Clone + Default> Ring<T> {
    pub fn new(width: Ns, cells: usize) -> Self {
        Ring { width: width.max(1), newest: i64::MIN / 2, cells: vec![T::default(); cells] }
    }

    /// The bucket of `now`; those that were skipped come up empty.
    pub fn at(&mut self, now: Ns) -> &mut T {
        let (bucket, size) = (now.div_euclid(self.width), self.cells.len() as i64);
        for b in (self.newest + 1).max(bucket + 1 - size)..=bucket {
            self.cells[b.rem_euclid(size) as usize] = T::default();
        }
        self.newest = self.newest.max(bucket);
        &mut self.cells[self.newest.rem_euclid(size) as usize]
    }

    /// The newest `n` buckets, that of `now` among them.
    pub fn last(&mut self, now: Ns, n: usize) -> impl Iterator<Item = &T> {
        self.at(now);
        let (cells, newest, size) = (&self.cells, self.newest, self.cells.len() as i64);
        (0..size.min(n as i64)).map(move |back| &cells[(newest - back).rem_euclid(size) as usize])
    }

    fn clear(&mut self) {
        self.cells.fill(T::default());
    }
}

/// Log buckets of time, eight to the doubling (a step of 9%: finer than any margin used) from 4 ms up to
/// 15 s; the last one holds the failures, so they rank slowest.
const BINS: usize = 97;

#[derive(Clone)]
pub struct Sample {
    bins: [u32; BINS],
    n: u32,
    /// What the machines already held at the picks, summed.
    load: f64,
}

impl Default for Sample {
    fn default() -> Self {
        Sample { bins: [0; BINS], n: 0, load: 0.0 }
    }
}

impl Sample {
    /// Adds an outcome: the time it took, or none for a failure.
    pub fn add(&mut self, took: Option<Ns>, load: f64) {
        let bin = took.map_or(BINS - 1, Self::bin);
        self.bins[bin] += 1;
        self.n += 1;
        self.load += load;
    }

    fn bin(time: Ns) -> usize {
        ((time.max(1) as f64 / (4 * MS) as f64).log2() * 8.0).clamp(0.0, (BINS - 2) as f64) as usize
    }

    fn merge(mut self, other: &Sample) -> Sample {
        self.bins.iter_mut().zip(&other.bins).for_each(|(a, b)| *a += b);
        self.n += other.n;
        self.load += other.load;
        self
    }

    /// The share that failed or took longer than `soft`.
    fn late(&self, soft: Ns) -> f64 {
        f64::from(self.bins[Self::bin(soft) + 1..].iter().sum::<u32>()) / f64::from(self.n.max(1))
    }
}

/// Mann–Whitney: z of the new side's rank sum, ties at their middle rank; 0 where a side is empty.
pub fn rank_z(new: &Sample, old: &Sample) -> f64 {
    let (n, m) = (f64::from(new.n), f64::from(old.n));
    if n * m == 0.0 {
        return 0.0;
    }
    let (mut below, mut ranks) = (0.0, 0.0);
    for (a, b) in new.bins.iter().zip(&old.bins) {
        let tied = f64::from(a + b);
        ranks += f64::from(*a) * (below + (tied + 1.0) / 2.0);
        below += tied;
    }
    let u = ranks - n * (n + 1.0) / 2.0;
    (u - n * m / 2.0) / (n * m * (n + m + 1.0) / 12.0).sqrt()
}

/// The median's bucket, as a time in units of 4 ms.
pub fn median(sample: &Sample) -> f64 {
    let mut left = sample.n / 2;
    let bin = sample.bins.iter().position(|&count| {
        let here = left < count;
        left = left.saturating_sub(count);
        here
    });
    (bin.unwrap_or(0) as f64 / 8.0).exp2()
}

/// Picks and failures.
type Count = [u32; 2];

/// Are `new`'s failures too many to be chance at `old`'s rate? `odds` is the chance allowed.
pub fn deviates(new: Count, old: Count, odds: f64) -> bool {
    // One failure in 150 is granted beyond what the earlier build shows, so that little is not taken for none.
    let rate = (f64::from(old[1]) + 1.0) / (f64::from(old[0]) + 150.0);
    let (n, failed) = (f64::from(new[0]), f64::from(new[1]));
    // The margin: under 2 points of difference is not worth a rollback's staleness.
    if failed < 2.0 || failed / n < rate + 0.02 {
        return false;
    }
    let mean = n * rate;
    let mut term = (-mean).exp();
    let mut under = 0.0;
    for k in 0..new[1] {
        under += term;
        term *= mean / f64::from(k + 1);
    }
    1.0 - under < odds
}

/// Rows for methods in counts kept by machine; more methods than this share the last row.
const ROWS: usize = 8;
type Counts = [Count; ROWS];

/// Evidence is kept for 12 s: long enough for a quiet front, short enough for lateness to show.
const KEPT: usize = 24;
const BUCKET: Ns = SEC / 2;

struct Machine {
    member: Member,
    /// RPCs of this front that it holds, and what its last report said it held, ours left out.
    held: f64,
    others: (f64, Ns),
    /// Its last answer, or the pick that found it idle.
    heard: Ns,
    /// How slow it is against the fleet, 1 as usual.
    slow: f64,
    counts: Ring<Counts>,
    picked: Ring<u32>,
}

struct Rpc {
    method: usize,
    key: Option<u64>,
    deadline: Ns,
    taken: Ns,
    open: bool,
    picks: u32,
    flying: u32,
    /// The last pick that was sent, and the first that may have run: its machine's zone and cell, its time.
    last: usize,
    mark: Option<(u32, u32, Ns)>,
    then: Vec<Option<Then>>,
}

/// What to do with a pick's end.
type Then = Box<dyn FnOnce(&mut Front, &mut dyn Ctl, Ended)>;

struct Ended {
    outcome: Outcome,
    elapsed: Ns,
    last: bool,
    held: Option<f64>,
}

/// The platform's last word on the newest build.
#[derive(Clone, Copy)]
struct Told {
    build: u32,
    stage: u32,
    phase: Phase,
    cap: f64,
    since: Ns,
}

struct Ballot {
    build: u32,
    stage: u32,
    verdict: Verdict,
    cast: Ns,
    counted: bool,
}

pub struct Front {
    post: Post,
    chance: Chance,
    machines: Vec<Machine>,
    rpcs: Vec<Option<Rpc>>,
    told: Option<Told>,
    watching: bool,
    /// By method, or one row where the cap is for all: RPCs taken, picks at builds on trial.
    taken: Vec<Ring<u32>>,
    exposed: Vec<Ring<u32>>,
    /// One-way keys that the build on trial has answered, and how often keys and bound keys come.
    bound: BTreeSet<u64>,
    keys: Ring<Vec<u16>>,
    bound_taken: Ring<Count>,
    /// The build under watch, its outcomes and the earlier build's, by method.
    watched: u32,
    samples: Vec<[Ring<Sample>; 2]>,
    /// Mean time of a method's ok picks, and the earlier build's counts before this trial.
    means: Vec<f64>,
    before: Counts,
    tallies: Ring<[Counts; 2]>,
    disputes: Ring<[Count; 2]>,
    heard: Vec<(Ns, u32, [Counts; 2])>,
    ballot: Option<Ballot>,
    budget: f64,
    /// Ok answers, and RPCs open now: how much this front can carry.
    served: Ring<u32>,
    open: u32,
}

const BEAT: u64 = 0;
const WATCH: u64 = 1;
/// The interval of the tests: the shortest that still gathers some outcomes on a quiet front.
const INTERVAL: Ns = SEC / 2;

impl Front {
    pub fn start(post: Post, ctl: &mut dyn Ctl) -> Front {
        let rows = post.methods.len();
        let scopes = if post.rollout.cap_per_method { rows } else { 1 };
        // 32 whole buckets of the cap's window are counted as taken, one more as exposed: never too many.
        let ring = || Ring::new(post.rollout.window / 32, 33);
        let front = Front {
            chance: Chance(post.seed | 1),
            machines: Vec::new(),
            rpcs: Vec::new(),
            told: None,
            watching: false,
            taken: (0..scopes).map(|_| ring()).collect(),
            exposed: (0..scopes).map(|_| ring()).collect(),
            bound: BTreeSet::new(),
            keys: Ring::new(2 * SEC, 3),
            bound_taken: Ring::new(BUCKET, 8),
            watched: 0,
            samples: (0..rows).map(|_| [0, 1].map(|_| Ring::new(BUCKET, KEPT))).collect(),
            means: vec![0.0; rows],
            before: Counts::default(),
            tallies: Ring::new(BUCKET, KEPT),
            disputes: Ring::new(BUCKET, KEPT),
            heard: vec![(i64::MIN / 2, 0, Default::default()); post.fronts as usize],
            ballot: None,
            budget: 5.0,
            served: Ring::new(post.guard.fall_time.max(SEC) / 8, 17),
            open: 0,
            post,
        };
        if front.post.ask_roster {
            ctl.watch(true);
        }
        ctl.wake_at(ctl.now() + INTERVAL, BEAT);
        front
    }

    /// Timers: the beat of the tests, and asking for the roster again after a failure.
    pub fn woke(&mut self, ctl: &mut dyn Ctl, tag: u64) {
        match tag {
            BEAT => {
                self.beat(ctl);
                ctl.wake_at(ctl.now() + INTERVAL, BEAT);
            }
            _ if !self.watching => ctl.watch(true),
            _ => {}
        }
    }

    pub fn members(&mut self, ctl: &mut dyn Ctl, roll: Roll, entries: &[Member]) {
        let now = ctl.now();
        if roll == Roll::Failed {
            // A lost watch makes the list count as known all the same: ask again, spread over a while.
            self.watching = false;
            let spread = self.chance.below((self.post.guard.ask_within / 8).max(1) as usize) as Ns;
            return ctl.wake_at(now + self.post.guard.ask_within / 16 + spread, WATCH);
        }
        self.watching |= roll != Roll::Saved;
        if roll != Roll::Changes {
            self.machines.iter_mut().for_each(|m| m.member.state = State::Gone);
        }
        for entry in entries {
            while self.machines.len() <= entry.machine {
                let (machine, state) = (self.machines.len(), State::Gone);
                let member =
                    Member { machine, state, zone: 0, cell: 0, build: 0, weight: 1.0, started: None };
                self.machines.push(Machine::new(member, now, &self.post.guard));
            }
            let known = &mut self.machines[entry.machine];
            if (known.member.build, known.member.started) != (entry.build, entry.started) {
                // A restart, or another machine under this name: what was known of it is void.
                let held = known.held;
                *known = Machine::new(entry.clone(), now, &self.post.guard);
                known.held = held;
            }
            known.member = entry.clone();
        }
        self.watch_newest(now);
    }

    pub fn told(&mut self, ctl: &mut dyn Ctl, reply: Reply, news: Option<(u32, u32, Phase, f64, Ns)>) {
        let now = ctl.now();
        match (reply, &mut self.ballot) {
            (Reply::Counted, Some(ballot)) => ballot.counted = true,
            // One that timed out may count: it is cast again all the same, which replaces it.
            (Reply::Refused | Reply::TimedOut, ballot) => *ballot = None,
            _ => {}
        }
        if let Some((build, stage, phase, cap, age)) = news {
            self.told = Some(Told { build, stage, phase, cap, since: now - age });
            self.watch_newest(now);
            if matches!(phase, Phase::GoingBack | Phase::Withdrawn) {
                self.bound.clear();
            }
        }
    }

    /// A newer build than any before: its outcomes are new from here on, all others are the reference.
    fn watch_newest(&mut self, now: Ns) {
        let told = self.told.map_or(0, |t| t.build);
        let up = self.machines.iter().filter(|m| m.member.state == State::Up);
        let newest = up.map(|m| m.member.build).max().unwrap_or(0).max(told);
        if newest > self.watched {
            for row in 0..ROWS {
                let sides = [0, 1].map(|side| self.counted(now, side, row..row + 1));
                self.before[row] = [sides[0][0] + sides[1][0], sides[0][1] + sides[1][1]];
            }
            self.watched = newest;
            self.bound.clear();
            self.samples.iter_mut().flatten().for_each(Ring::clear);
            self.tallies.clear();
            self.disputes.clear();
        }
    }

    // ---- machines and routing

    /// The share of its capacity that a machine has by now, at the least.
    fn warmth(&self, machine: &Machine, now: Ns) -> f64 {
        let guard = &self.post.guard;
        let age = machine.member.started.map_or(guard.cold_time, |at| (now - at).clamp(0, guard.cold_time));
        guard.cold_from + (1.0 - guard.cold_from) * age as f64 / guard.cold_time.max(1) as f64
    }

    /// Rule 4: of a cold machine this front takes no larger share than what it sends to warm ones, times
    /// the multiple it may be sent; when every front does so, their sum keeps within it too.
    fn cold_room(&mut self, machine: usize, now: Ns) -> bool {
        let guard = &self.post.guard;
        let m = &self.machines[machine];
        if m.member.started.is_none_or(|at| now - at > guard.cold_time + guard.fall_time) {
            return true;
        }
        let size = m.member.weight * self.warmth(m, now);
        let up = self.machines.iter().filter(|m| m.member.state == State::Up);
        let sizes: f64 = up.map(|m| m.member.weight * self.warmth(m, now)).sum();
        // What this front's machines have served in one span of a fall, by size: never above their capacity.
        let span = guard.fall_time as f64 / (2 * guard.fall_time.max(SEC)) as f64;
        let served = f64::from(self.served.last(now, 17).sum::<u32>()) * span;
        // Six tenths of the multiple: a third of slack for uneven work, and for fronts that differ.
        let most = (0.6 * guard.overload_factor * served / sizes.max(1e-9) * size).max(1.0);
        f64::from(self.machines[machine].picked.last(now, 9).sum::<u32>()) < most
    }

    /// What a pick there is expected to cost: its load and speed, and, beyond `bare`, its sickness.
    fn cost(&mut self, machine: usize, now: Ns, bare: bool) -> f64 {
        let warmth = self.warmth(&self.machines[machine], now);
        let soft = self.post.methods.iter().map(|m| m.soft_deadline).min().unwrap_or(SEC);
        let m = &mut self.machines[machine];
        // A report ages fast: what it said is forgotten within seconds, or the machine would be shunned for it.
        let others = m.others.0 * (-((now - m.others.1) as f64) / SEC as f64).exp();
        let load = (m.held + others + 1.0) / (m.member.weight.max(1e-6) * warmth);
        let mut cost = load * m.slow.max(0.1).sqrt();
        if !bare {
            // A machine that fails draws fewer picks, not none: it must be seen to recover.
            let count = m.counts.last(now, 8).fold([0, 0], |sum, rows| add(sum, total(rows, 0..ROWS)));
            cost *= 1.0 + 20.0 * f64::from(count[1]) / (f64::from(count[0]) + 3.0);
            // One that holds picks and stays silent past the shortest soft deadline may be gone.
            let silence = (now - m.heard) as f64 / soft.max(1) as f64;
            if m.held >= 1.0 && silence > 1.0 {
                cost *= 4.0 * silence;
            }
            if m.member.zone != self.post.zone {
                cost *= 1.0 + 10.0 * self.post.cross_zone_price;
            }
        }
        cost
    }

    /// The cheapest machine that `fits`, ties by chance.
    fn best(&mut self, now: Ns, fits: impl Fn(&Machine) -> bool) -> Option<usize> {
        let size = self.machines.len();
        let from = self.chance.below(size.max(1));
        let mut best: Option<(f64, usize)> = None;
        for i in (0..size).map(|i| (from + i) % size) {
            let m = &self.machines[i];
            if m.member.state == State::Up && fits(m) && self.cold_room(i, now) {
                let cost = self.cost(i, now, false);
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, i));
                }
            }
        }
        best.map(|(_, i)| i)
    }

    // ---- the steps of an RPC

    pub fn taken(
        &mut self, ctl: &mut dyn Ctl, rpc: usize, method: usize, _tenant: usize, key: Option<u64>,
        deadline: Ns,
    ) {
        let now = ctl.now();
        let scope = self.scope(method);
        *self.taken[scope].at(now) += 1;
        self.budget = (self.budget + 0.2).min(20.0);
        if let Some(key) = key {
            let bound = self.bound.contains(&key);
            let cells = self.keys.at(now);
            cells.resize(KEYS, 0);
            cells[slot(key)] = cells[slot(key)].saturating_add(1);
            let count = self.bound_taken.at(now);
            *count = add(*count, [1, u32::from(bound)]);
        }
        if self.rpcs.len() <= rpc {
            self.rpcs.resize_with(rpc + 1, || None);
        }
        self.rpcs[rpc] = Some(Rpc {
            method,
            key,
            deadline,
            taken: now,
            open: true,
            picks: 0,
            flying: 0,
            last: usize::MAX,
            mark: None,
            then: Vec::new(),
        });
        self.open += 1;
        // More open RPCs than are served within the soft deadline would only be served late: those of the
        // least utility are turned away first, and sooner.
        let rate = f64::from(self.served.last(now, 17).sum::<u32>())
            / (2 * self.post.guard.fall_time.max(SEC)) as f64;
        let most = self.post.methods.iter().map(|m| m.utility).fold(1e-9, f64::max);
        let row = &self.post.methods[method];
        let limit = rate * row.soft_deadline as f64 * (0.4 + 0.4 * row.utility / most);
        if f64::from(self.open) > limit.max(10.0) {
            return self.give_up(ctl, rpc);
        }
        self.first(ctl, rpc);
    }

    /// The first pick: the build on trial while the cap has room, else the earlier one.
    fn first(&mut self, ctl: &mut dyn Ctl, rpc: usize) {
        let now = ctl.now();
        let (method, key) = self.rpcs[rpc].as_ref().map_or((0, None), |r| (r.method, r.key));
        let build = self.watched;
        let bound = key.is_some_and(|key| self.bound.contains(&key));
        let trial = (self.room(method, now, 1.0) && (bound || self.may_bind(key, now)))
            .then(|| self.best(now, |m| m.member.build == build))
            .flatten();
        let earlier = if bound { None } else { self.best(now, |m| m.member.build < build) };
        let machine = match (trial, earlier) {
            (Some(t), Some(e)) => {
                // Full, but not past what its machines can hold: twice the load elsewhere is slack enough
                // for a cap above their share of the fleet.
                if self.cost(t, now, true) <= 1.6 * self.cost(e, now, true) {
                    Some(t)
                } else {
                    Some(e)
                }
            }
            (t, e) => t.or(e),
        };
        match machine {
            Some(machine) => self.pick(ctl, rpc, machine),
            None => self.give_up(ctl, rpc),
        }
    }

    fn pick(&mut self, ctl: &mut dyn Ctl, rpc: usize, machine: usize) {
        let now = ctl.now();
        let step = self.post.step;
        let Some(r) = self.rpcs[rpc].as_mut() else { return };
        let method = &self.post.methods[r.method];
        let left = r.deadline - now - step;
        // An idempotent RPC's pick is given up in time for another one, if the budget of repeats has room
        // and the pick is far later than usual.
        let usual = (6.0 * self.means[r.method]) as Ns;
        let again = method.repeat == Repeat::Idempotent && r.picks + 1 < self.post.rights.most_picks;
        let patience = (method.soft_deadline * 6 / 10).max(usual);
        let time_out = if again && r.picks == 0 && self.budget >= 1.0 { patience.min(left) } else { left };
        let (number, row) = (r.picks, r.method);
        r.picks += 1;
        r.flying += 1;
        r.last = machine;
        let m = &mut self.machines[machine];
        let mark = (m.member.zone, m.member.cell, now);
        // Other fronts' picks there are told, or taken to be like ours.
        let held = if self.post.report_held.is_some() {
            m.held + m.others.0
        } else {
            m.held * f64::from(self.post.fronts)
        };
        let (build, load) = (m.member.build, held / m.member.weight.max(1e-6));
        if m.held < 1.0 {
            m.heard = now;
        }
        m.held += 1.0;
        *m.picked.at(now) += 1;
        if self.on_trial(build).is_some() {
            let scope = self.scope(row);
            *self.exposed[scope].at(now) += 1;
        }
        let then: Then = Box::new(move |front, ctl, ended| {
            let now = ctl.now();
            front.learn(now, machine, build, row, load, now - ended.elapsed, &ended);
            let Some(r) = front.rpcs[rpc].as_mut() else { return };
            r.flying -= 1;
            let ran = !matches!(ended.outcome, Outcome::Full | Outcome::Unreachable | Outcome::Void);
            if ran && r.mark.is_none() {
                r.mark = Some(mark);
            }
            if ended.outcome == Outcome::Ok {
                if let Some(key) = r.key {
                    if front.post.rollout.one_way && build == front.watched {
                        front.bound.insert(key);
                    }
                }
            }
            if r.open && ended.last {
                r.open = false;
                front.open -= 1;
            }
            if r.open && r.flying == 0 {
                front.repeat(ctl, rpc);
            }
            if front.rpcs[rpc].as_ref().is_some_and(|r| !r.open && r.flying == 0) {
                front.rpcs[rpc] = None;
            }
        });
        if let Some(r) = self.rpcs[rpc].as_mut() {
            debug_assert_eq!(r.then.len(), number as usize);
            r.then.push(Some(then));
        }
        ctl.pick(rpc, machine, time_out.max(step));
    }

    /// Another pick, if the method, the time left and the budget of repeats allow one.
    fn repeat(&mut self, ctl: &mut dyn Ctl, rpc: usize) {
        let now = ctl.now();
        let Some(r) = self.rpcs[rpc].as_ref() else { return };
        let (row, mark, last, key) = (r.method, r.mark, r.last, r.key);
        let method = &self.post.methods[row];
        let group = method.group;
        let allowed = match method.repeat {
            _ if mark.is_none() => true,
            Repeat::Idempotent => true,
            Repeat::Tokened => mark.is_some_and(|m| now < m.2 + method.remembered - 2 * self.post.step),
            Repeat::NonIdempotent => false,
        };
        let tokened = method.repeat == Repeat::Tokened;
        // A repeat that cannot end in time only adds load.
        let useful = now + self.means[row] as Ns / 2 < r.deadline - self.post.step;
        if !allowed || !useful || r.picks >= self.post.rights.most_picks || self.budget < 1.0 {
            return self.give_up(ctl, rpc);
        }
        let inside = move |m: &Machine| match (mark, group) {
            (Some((zone, _, _)), Group::Zone) if tokened => m.member.zone == zone,
            (Some((_, cell, _)), Group::Cell) if tokened => m.member.cell == cell,
            _ => true,
        };
        let build = self.watched;
        let bound = key.is_some_and(|key| self.bound.contains(&key));
        let room = self.room(row, now, 1.0);
        let other = move |m: &Machine| m.member.machine != last && inside(m);
        let earlier = if bound { None } else { self.best(now, |m| m.member.build < build && other(m)) };
        let machine = match earlier {
            None if room => self.best(now, |m| m.member.build == build && other(m)),
            earlier => earlier,
        };
        match machine {
            Some(machine) => {
                self.budget -= 1.0;
                self.pick(ctl, rpc, machine);
            }
            None => self.give_up(ctl, rpc),
        }
    }

    /// The final answer at once: a pushback wherever it is harmless, with the time to come back.
    fn give_up(&mut self, ctl: &mut dyn Ctl, rpc: usize) {
        let Some(r) = self.rpcs[rpc].as_mut() else { return };
        let method = &self.post.methods[r.method];
        let harmless = r.mark.is_none() && r.flying == 0
            || match method.repeat {
                Repeat::Idempotent => true,
                Repeat::Tokened => method.group == Group::All,
                Repeat::NonIdempotent => false,
            };
        if r.open {
            r.open = false;
            self.open -= 1;
        }
        if harmless && r.deadline > ctl.now() {
            ctl.push_back(rpc, (method.soft_deadline / 2).min(self.post.rights.longest_wait));
        } else {
            ctl.abort(rpc);
        }
        if r.flying == 0 {
            self.rpcs[rpc] = None;
        }
    }

    pub fn ended(
        &mut self, ctl: &mut dyn Ctl, rpc: usize, pick: u32, outcome: Outcome, elapsed: Ns, last: bool,
        report: Option<&[f64]>,
    ) {
        let held = self.post.report_held.and_then(|at| report?.get(at).copied()).filter(|x| x.is_finite());
        let then = self
            .rpcs
            .get_mut(rpc)
            .and_then(Option::as_mut)
            .and_then(|r| r.then.get_mut(pick as usize).and_then(Option::take));
        if let Some(then) = then {
            then(self, ctl, Ended { outcome, elapsed, last, held });
        }
    }

    /// A streamed answer has begun: the client owns it, its end closes the RPC.
    pub fn begun(&mut self, _ctl: &mut dyn Ctl, rpc: usize, _pick: u32) {
        if let Some(r) = self.rpcs.get_mut(rpc).and_then(Option::as_mut) {
            self.open -= u32::from(r.open);
            r.open = false;
        }
    }

    /// The client has gone: nothing is owed, what is out still ends.
    pub fn left(&mut self, _ctl: &mut dyn Ctl, rpc: usize) {
        if let Some(slot) = self.rpcs.get_mut(rpc) {
            if let Some(r) = slot.as_mut() {
                self.open -= u32::from(r.open);
                r.open = false;
            }
            if slot.as_ref().is_some_and(|r| r.flying == 0) {
                *slot = None;
            }
        }
    }

    pub fn probed(
        &mut self, _ctl: &mut dyn Ctl, _machine: usize, _how: Outcome, _took: Ns, _report: Option<&[f64]>,
    ) {
    }

    // ---- exposure

    fn scope(&self, method: usize) -> usize {
        if self.post.rollout.cap_per_method {
            method
        } else {
            0
        }
    }

    /// The stage and cap of a build on trial; one not yet announced counts as in the first stage.
    fn on_trial(&self, build: u32) -> Option<(u32, f64)> {
        let first = self.post.rollout.caps.first().copied().unwrap_or(0.0);
        match self.told {
            Some(t) if build < t.build => None,
            Some(t) if build == t.build && t.phase == Phase::Released => None,
            Some(t) if build == t.build && t.phase == Phase::OnTrial => Some((t.stage, t.cap)),
            Some(t) if build == t.build => Some((t.stage, 0.0)),
            _ => Some((0, first)),
        }
    }

    /// Rule 5: may this method have one more pick at the watched build within `share` of the cap?
    fn room(&mut self, method: usize, now: Ns, share: f64) -> bool {
        let rollout = &self.post.rollout;
        let Some((stage, cap)) = self.on_trial(self.watched) else { return true };
        let guarded = (stage as usize) < rollout.guarded_stages;
        if cap <= 0.0 || guarded && self.post.methods[method].repeat != Repeat::Idempotent {
            return false;
        }
        let (scope, free) = (self.scope(method), rollout.free);
        let taken: u32 = self.taken[scope].last(now, 32).sum();
        let exposed: u32 = self.exposed[scope].last(now, 33).sum();
        f64::from(exposed) + 1.0 <= free + share * cap * f64::from(taken) + 1e-9
    }

    /// One-way keys must come back to the build on trial: a new one is bound only while the keys bound so
    /// far, and this one, leave the cap some room; else their own traffic would break it or be pushed back.
    fn may_bind(&mut self, key: Option<u64>, now: Ns) -> bool {
        let (Some(key), true) = (key, self.post.rollout.one_way) else { return true };
        let Some((_, cap)) = self.on_trial(self.watched) else { return true };
        if cap >= 1.0 {
            return true;
        }
        let share = |c: Count| f64::from(c[1]) / f64::from(c[0].max(1));
        let bound = share(self.bound_taken.last(now, 8).fold([0, 0], |sum, c| add(sum, *c)));
        let here = self.keys.last(now, 3).fold([0, 0], |sum, cells| {
            let all = cells.iter().map(|c| u32::from(*c)).sum();
            add(sum, [all, cells.get(slot(key)).map_or(0, |c| u32::from(*c))])
        });
        // Seven tenths: keys come unevenly, and those on their first visit take room as well.
        bound + share(here) - 1.0 / f64::from(here[0].max(1)) < 0.7 * cap
    }

    // ---- evidence

    /// What a pick's end tells of its machine and its build.
    fn learn(&mut self, now: Ns, machine: usize, build: u32, row: usize, load: f64, sent: Ns, ended: &Ended) {
        let warmth = self.warmth(&self.machines[machine], now);
        let m = &mut self.machines[machine];
        m.held = (m.held - 1.0).max(0.0);
        if let Some(held) = ended.held {
            m.others = ((held - m.held).max(0.0), now);
        }
        if matches!(ended.outcome, Outcome::Cancelled | Outcome::Void) || m.member.build != build {
            return;
        }
        let failed = ended.outcome != Outcome::Ok;
        let error = matches!(ended.outcome, Outcome::Error | Outcome::Broken);
        if !failed || error {
            m.heard = now;
        }
        // Each machine's first second is left out of what is held against a build.
        let young = m.member.started.is_some_and(|at| sent < at + SEC);
        if !young {
            let count = &mut m.counts.at(now)[row.min(ROWS - 1)];
            *count = add(*count, [1, u32::from(error)]);
        }
        // A pick that timed out tells of a slow machine, not of an error.
        if !failed || ended.outcome == Outcome::TimedOut {
            let took = ended.elapsed as f64;
            let mean = &mut self.means[row];
            if *mean == 0.0 {
                *mean = took;
            } else if !failed {
                *mean += 0.02 * (took - *mean);
            }
            let ratio = (took / *mean).min(8.0);
            m.slow += 0.1 * (ratio - m.slow);
        }
        if !young && !matches!(ended.outcome, Outcome::Full | Outcome::Unreachable) {
            // A cold machine's times are told as if it were warm: like with like.
            let took = (!failed).then_some((ended.elapsed as f64 * warmth) as Ns);
            let side = usize::from(build < self.watched);
            self.samples[row][side].at(now).add(took, load);
        }
        if !failed {
            let side = usize::from(build < self.watched);
            let count = &mut self.disputes.at(now)[side];
            *count = add(*count, [1, 0]);
            *self.served.at(now) += 1;
        }
    }

    /// A client found an answer wrong: a failure like others, seen late.
    pub fn disputed(&mut self, ctl: &mut dyn Ctl, machine: usize, _method: usize) {
        let side = self.machines.get(machine).map_or(1, |m| usize::from(m.member.build < self.watched));
        let count = &mut self.disputes.at(ctl.now())[side];
        *count = add(*count, [0, 1]);
    }

    pub fn tally(
        &mut self, ctl: &mut dyn Ctl, build: u32, method: usize, picks: u32, failed: u32, _mean: Option<Ns>,
        _age: Ns,
    ) {
        if build <= self.watched {
            let count =
                &mut self.tallies.at(ctl.now())[usize::from(build < self.watched)][method.min(ROWS - 1)];
            *count = add(*count, [picks, failed]);
        }
    }

    /// Picks and failures of a side (0 new, 1 earlier), the worst third of its machines left out: a sick
    /// machine is not a sick build, and the earlier ones must not hide a bad one.
    fn counted(&mut self, now: Ns, side: usize, rows: std::ops::Range<usize>) -> Count {
        let watched = self.watched;
        let mut each: Vec<Count> = Vec::new();
        for m in self.machines.iter_mut().filter(|m| usize::from(m.member.build < watched) == side) {
            let count =
                m.counts.last(now, KEPT).fold([0, 0], |sum, counts| add(sum, total(counts, rows.clone())));
            if count[0] > 0 {
                each.push(count);
            }
        }
        let rate = |c: &Count| f64::from(c[1]) / f64::from(c[0]);
        each.sort_by(|a, b| rate(a).total_cmp(&rate(b)));
        let kept = each.len() - each.len() / 3;
        each[..kept].iter().fold([0, 0], |sum, c| add(sum, *c))
    }

    pub fn heard(&mut self, ctl: &mut dyn Ctl, from: u32, note: &[u8]) {
        let words: Vec<u32> = note.chunks_exact(2).map(|b| u32::from(b[0]) << 8 | u32::from(b[1])).collect();
        if let (Some(slot), Some((&build, counts))) = (self.heard.get_mut(from as usize), words.split_first())
        {
            let mut sides = [Counts::default(); 2];
            for (i, pair) in counts.chunks_exact(2).enumerate().take(2 * ROWS) {
                sides[i % 2][i / 2] = [pair[0], pair[1]];
            }
            *slot = (ctl.now(), build, sides);
        }
    }

    // ---- the beat: tests and votes

    fn beat(&mut self, ctl: &mut dyn Ctl) {
        let now = ctl.now();
        let rows = self.post.methods.len().min(ROWS);
        let mut own = [Counts::default(); 2];
        for row in 0..rows {
            for (side, counts) in own.iter_mut().enumerate() {
                counts[row] = self.counted(now, side, row..row + 1);
            }
        }
        let Some(told) = self.told else { return };
        let live = told.build == self.watched && matches!(told.phase, Phase::OnTrial | Phase::Released);
        if self.post.rights.notes && live && told.phase == Phase::OnTrial {
            let counts = (0..rows).flat_map(|row| [own[0][row], own[1][row]]).flatten();
            let words = std::iter::once(self.watched).chain(counts);
            let note: Vec<u8> = words.flat_map(|word| (word.min(65535) as u16).to_be_bytes()).collect();
            ctl.tell(None, &note);
        }
        if !live {
            self.ballot = None;
            return;
        }
        let mut pooled = own;
        for (at, build, counts) in &self.heard {
            // Notes older than three intervals say nothing of now.
            if *build == self.watched && now - at < 3 * INTERVAL {
                for (side, rows) in counts.iter().enumerate() {
                    (0..ROWS).for_each(|row| pooled[side][row] = add(pooled[side][row], rows[row]));
                }
            }
        }
        if let Some(why) = self.harm(now, &own, &pooled) {
            if !self.ballot.as_ref().is_some_and(|b| b.verdict == Verdict::Back) {
                ctl.note(&format!("back {}: {why}", told.build));
            }
            return self.cast(ctl, told, Verdict::Back);
        }
        if self.ballot.as_ref().is_some_and(|b| b.verdict == Verdict::Back && b.build == told.build) {
            return self.cast(ctl, told, Verdict::Back);
        }
        if told.phase == Phase::OnTrial {
            let seen: u32 = pooled[0].iter().map(|c| c[0]).sum();
            let baked = self.baked(now, told, seen);
            match self.post.rollout.control {
                Control::Automatic if !baked => self.cast(ctl, told, Verdict::Hold),
                Control::Automatic => self.cast(ctl, told, Verdict::NoVote),
                _ if baked => self.cast(ctl, told, Verdict::On),
                _ => {}
            }
        }
    }

    /// A harmful deviation of the watched build, in words.
    fn harm(&mut self, now: Ns, own: &[Counts; 2], pooled: &[Counts; 2]) -> Option<String> {
        let rows = self.post.methods.len();
        // The chance of a false alarm, one in a thousand for the whole tier, shared by its fronts and methods.
        let odds = 1e-3 / f64::from(self.post.fronts.max(1)) / (rows + 1) as f64;
        let mut sides = [*own, *pooled].to_vec();
        sides.push(self.tallies.last(now, KEPT).fold(Default::default(), |mut sum: [Counts; 2], t| {
            for side in 0..2 {
                (0..ROWS).for_each(|row| sum[side][row] = add(sum[side][row], t[side][row]));
            }
            sum
        }));
        for (which, [new, mut old]) in sides.into_iter().enumerate() {
            // Tallies do not tell errors from time-outs: they count where an error was seen here too.
            if which == 2 && total(&pooled[0], 0..ROWS)[1] == 0 {
                continue;
            }
            if total(&old, 0..ROWS)[0] < 30 {
                old = self.before;
            }
            if total(&old, 0..ROWS)[0] < 30 {
                continue;
            }
            if deviates(total(&new, 0..ROWS), total(&old, 0..ROWS), odds) {
                return Some(format!(
                    "failures {which} {:?} {:?}",
                    total(&new, 0..ROWS),
                    total(&old, 0..ROWS)
                ));
            }
            if let Some(row) = (0..ROWS).find(|&row| deviates(new[row], old[row], odds)) {
                return Some(format!("failures {which} of method {row} {:?} {:?}", new[row], old[row]));
            }
        }
        let [new, old] =
            self.disputes.last(now, KEPT).fold([[0; 2]; 2], |sum, c| [add(sum[0], c[0]), add(sum[1], c[1])]);
        if old[0] >= 30 && deviates(new, old, odds) {
            return Some(format!("disputes {new:?} {old:?}"));
        }
        for row in 0..rows {
            let [new, old] = [0, 1]
                .map(|side| self.samples[row][side].last(now, KEPT).fold(Sample::default(), Sample::merge));
            if new.n < 20 || old.n < 20 {
                continue;
            }
            // Like with like: a machine that holds more answers later, whatever its build.
            let load = |s: &Sample| 1.0 + s.load / f64::from(s.n);
            let lean = (load(&new) / load(&old)).max(1.0);
            let slower = median(&new) > 1.25 * lean * median(&old);
            // Slower, but within the soft deadline, harms nobody; sending a good build back does.
            let soft = self.post.methods[row].soft_deadline;
            let slower = slower && new.late(soft) > old.late(soft) + 0.1;
            let z = rank_z(&new, &old);
            // 2.6 for one test; 3.4 grants the same odds to some dozen methods and fronts.
            if z > 3.4 && slower {
                return Some(format!("method {row} z {z:.1} {:.1} {:.1}", median(&new), median(&old)));
            }
        }
        None
    }

    /// Clean long enough: the newest machine of this stage has run for the bake, and outcomes were seen.
    fn baked(&self, now: Ns, told: Told, seen: u32) -> bool {
        let dwell = self.post.rollout.dwell;
        let bake = (dwell + SEC).max(2 * SEC);
        let ours =
            self.machines.iter().filter(|m| m.member.build == told.build && m.member.state == State::Up);
        let newest = ours.filter_map(|m| m.member.started).max().unwrap_or(i64::MIN / 2);
        // A stage's machines start after it began; where none seems to, it has run for as long as one may take.
        let fresh = newest > told.since || now - told.since > 8 * SEC;
        let waited = now - newest.max(told.since);
        fresh && waited >= bake && (seen >= 20 || waited >= 2 * bake)
    }

    /// Keeps this front's vote standing: cast again once half its life is over or no answer came.
    fn cast(&mut self, ctl: &mut dyn Ctl, told: Told, verdict: Verdict) {
        let (now, rollout) = (ctl.now(), &self.post.rollout);
        let stands = self.ballot.as_ref().is_some_and(|b| {
            let life = if b.counted { rollout.vote_life / 2 } else { rollout.call_timeout + INTERVAL };
            (b.build, b.stage, b.verdict) == (told.build, told.stage, verdict) && now - b.cast < life
        });
        if !stands {
            ctl.vote(told.build, told.stage, verdict);
            let (build, stage) = (told.build, told.stage);
            self.ballot = Some(Ballot { build, stage, verdict, cast: now, counted: false });
        }
    }
}

impl Machine {
    fn new(member: Member, now: Ns, guard: &Guard) -> Machine {
        Machine {
            member,
            held: 0.0,
            others: (0.0, now),
            heard: now,
            slow: 1.0,
            counts: Ring::new(BUCKET, KEPT),
            picked: Ring::new(guard.fall_time / 8, 9),
        }
    }
}

/// Cells of the key counts: many more than keys that matter, so that few hot ones share one.
const KEYS: usize = 1024;

fn slot(key: u64) -> usize {
    (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 54) as usize
}

fn add(a: Count, b: Count) -> Count {
    [a[0] + b[0], a[1] + b[1]]
}

fn total(counts: &Counts, rows: std::ops::Range<usize>) -> Count {
    counts[rows].iter().fold([0, 0], |sum, c| add(sum, *c))
}
