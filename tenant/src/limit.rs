//! Per-tenant admission at a front: rate limits and weighted fair shares. A front knows its own counts and, if
//! the controller distributes them, counts summed over all fronts that are one or two seconds old.
//!
//! A rate limit applies to all fronts together. Each front grants the fraction of the rate that corresponds to
//! its fraction of the tenant's RPCs. The fractions add up to one as long as all fronts divide by the same sum,
//! and stay unchanged while no sums arrive, so the limit holds without the controller. A small fraction is
//! split evenly over all fronts, for a tenant whose RPCs arrive at a new front.
//!
//! Shares apply under overload: while the decision module pushes back, the served rate is divided by weight,
//! and what a tenant leaves unused goes to the others (max-min fairness by progressive filling). Each tenant's
//! RPCs are then reduced to its part before they reach the module, whose other inputs are unchanged.
use crate::model::{Id, Tenants};
use rockpick_net::{Ns, MS, SEC};
use std::collections::BTreeMap;

/// The measurement window consists of this many buckets of [`BUCKET_LENGTH`] each: short enough to adapt within
/// seconds, long enough that a front with ten RPCs a second counts about twenty of them.
const BUCKETS: usize = 4;
const BUCKET_LENGTH: Ns = 500 * MS;
/// Fraction of a rate that is split evenly over all fronts regardless of traffic. It covers a tenant's first
/// second at a new front; what a front does not use of it is lost to the other fronts.
const EVEN_FRACTION: f64 = 0.1;
/// Maximum age of the controller's sums; with older ones a front uses its own counts.
const MAX_SUMS_AGE: Ns = 5 * SEC;
/// Fraction of the finished RPCs that the module refused above which the service counts as overloaded.
const OVERLOAD_REFUSED_FRACTION: f64 = 0.03;
/// Minimum number of finished RPCs in the window for detecting overload.
const MIN_FINISHED: f64 = 12.0;
/// The rate to divide, as a multiple of the recent peak of the served rate. It is slightly above one so that the
/// module keeps probing for capacity. Dividing the currently served rate would spiral down: after congestion
/// the module accepts a fraction of its offered load that rises by at most 0.04 each half second, and this
/// reduction would apply to that again (measured: a tenth of the utility served with 30 fronts).
const PEAK_HEADROOM: f64 = 1.05;
/// Decay of the peak served rate per bucket: it halves in about a minute.
const PEAK_DECAY: f64 = 0.994;
/// Minimum fraction of a method's RPCs that is admitted when its tenant is limited.
const MIN_ADMIT_FRACTION: f64 = 0.02;
/// Capacity of a token bucket: seconds of its rate, but at least one RPC.
const BURST_SECONDS: f64 = 0.5;
/// Maximum time for which an idle tenant's state is kept while its tokens refill; rates below a few RPCs an
/// hour are rare.
const MAX_IDLE_RETENTION: Ns = 3_600 * SEC;
/// Number of the tenant under which callers without a tenant are counted.
pub const UNKNOWN: Id = Id::MAX;
/// Retry delay for a rejected RPC: the next measurement is complete by then.
const RETRY_DELAY: Ns = BUCKET_LENGTH;

/// The limits of callers without a tenant, taken together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UnknownCallers {
    Refused,
    /// Treated as one tenant with this weight and this rate over all fronts.
    Common {
        share: f64,
        rate: Option<f64>,
    },
}

/// Counts of one tenant's RPCs: received, served, refused by the module.
pub type UsageCounts = [u32; 3];

#[derive(Clone, Debug)]
struct MethodState {
    /// RPCs received, halved with each measurement.
    demand: f64,
    /// Fraction of the RPCs that is admitted.
    admit_fraction: f64,
    /// Accumulated fraction; an RPC is admitted when it reaches one.
    credit: f64,
}

#[derive(Clone, Debug)]
struct TenantState {
    window: [UsageCounts; BUCKETS],
    /// Counts since the last report to the controller.
    unreported: UsageCounts,
    /// This front's fraction of the tenant's RPCs.
    front_fraction: f64,
    tokens: f64,
    refilled_at: Ns,
    /// When the token bucket is full again, so that the state may be dropped.
    full_at: Ns,
    /// Fraction of the tenant's RPCs that is admitted.
    admit_fraction: f64,
    methods: Vec<MethodState>,
}

impl TenantState {
    fn window_sums(&self) -> [f64; 3] {
        let mut sums = [0.0; 3];
        for bucket in &self.window {
            (0..3).for_each(|i| sums[i] += f64::from(bucket[i]));
        }
        sums
    }
}

pub struct Limits {
    fronts: usize,
    pub unknown: UnknownCallers,
    /// Utility by method.
    utilities: Vec<f64>,
    states: BTreeMap<Id, TenantState>,
    /// Index of the current bucket of the window.
    bucket: usize,
    bucket_started: Ns,
    /// Smoothed rates over all fronts by tenant, per second.
    global_rates: BTreeMap<Id, [f64; 3]>,
    /// When the controller's sums last arrived.
    global_rates_at: Option<Ns>,
    /// Recent peak of the served RPCs per second.
    peak: f64,
    /// RPCs per second that are divided among tenants; `None` without overload.
    divided_rate: Option<f64>,
    /// RPCs rejected because their tenant exceeds its share.
    pub thinned: u64,
    /// RPCs rejected because their tenant exceeds its rate limit.
    pub over_rate: u64,
}

/// Divides the rate `capacity` among (demand, weight) pairs by weighted max-min fairness: what one demand leaves
/// unused goes to the others.
///
/// ```
/// let parts = rockpick_tenant::limit::max_min_shares(100.0, &[(10.0, 1.0), (200.0, 1.0), (200.0, 2.0)]);
/// assert_eq!(parts, [10.0, 30.0, 60.0]);
/// ```
pub fn max_min_shares(capacity: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut parts = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    // By demand over weight: the smallest are satisfied first and leave the rest to the others.
    let relative_demand = |i: &usize| demands[*i].0 / demands[*i].1.max(1e-9);
    order.sort_by(|a, b| relative_demand(a).total_cmp(&relative_demand(b)).then(a.cmp(b)));
    let (mut left, mut weights_left) = (capacity.max(0.0), order.iter().map(|i| demands[*i].1).sum::<f64>());
    for i in order {
        let (demand, weight) = demands[i];
        parts[i] = demand.min(left * weight / weights_left.max(1e-9));
        left -= parts[i];
        weights_left -= weight;
    }
    parts
}

impl Limits {
    pub fn new(now: Ns, fronts: usize, unknown: UnknownCallers, utilities: Vec<f64>) -> Limits {
        Limits {
            fronts: fronts.max(1),
            unknown,
            utilities,
            states: BTreeMap::new(),
            bucket: 0,
            bucket_started: now,
            global_rates: BTreeMap::new(),
            global_rates_at: None,
            peak: 0.0,
            divided_rate: None,
            thinned: 0,
            over_rate: 0,
        }
    }

    fn state(&mut self, id: Id, now: Ns) -> &mut TenantState {
        let (front_fraction, methods) = (1.0 / self.fronts as f64, self.utilities.len());
        self.states.entry(id).or_insert_with(|| TenantState {
            window: Default::default(),
            unreported: Default::default(),
            front_fraction,
            tokens: f64::MAX,
            refilled_at: now,
            full_at: now,
            admit_fraction: 1.0,
            methods: vec![MethodState { demand: 0.0, admit_fraction: 1.0, credit: 0.0 }; methods],
        })
    }

    fn count(&mut self, id: Id, now: Ns, index: usize) {
        let bucket = self.bucket;
        let state = self.state(id, now);
        state.window[bucket][index] = state.window[bucket][index].saturating_add(1);
        state.unreported[index] = state.unreported[index].saturating_add(1);
    }

    /// Admits an RPC of `tenant`, where `None` is a caller without a tenant. Returns the number that the RPC is
    /// counted under.
    ///
    /// # Errors
    /// The time to wait before a retry.
    pub fn admit(&mut self, now: Ns, tenants: &Tenants, tenant: Option<Id>, method: usize) -> Result<Id, Ns> {
        self.advance(now, tenants);
        let known = tenant.filter(|t| tenants.tenant(*t).is_some());
        let id = known.unwrap_or(UNKNOWN);
        if known.is_none() && self.unknown == UnknownCallers::Refused {
            return Err(RETRY_DELAY);
        }
        self.count(id, now, 0);
        let rate = self.rate(tenants, id);
        let state = self.state(id, now);
        if let Some(rate) = rate {
            let local_rate = rate * state.front_fraction;
            let capacity = (local_rate * BURST_SECONDS).max(1.0);
            state.tokens =
                (state.tokens + local_rate * (now - state.refilled_at) as f64 / SEC as f64).min(capacity);
            state.refilled_at = now;
            // Assumes that this RPC is admitted; if it is not, the state is only kept slightly too long.
            let refill = (capacity + 1.0 - state.tokens) / local_rate.max(1e-9) * SEC as f64;
            state.full_at = now + (refill as Ns).min(MAX_IDLE_RETENTION);
            if state.tokens < 1.0 || rate <= 0.0 {
                let wait = (1.0 - state.tokens).max(0.0) / local_rate.max(1e-3) * SEC as f64;
                self.over_rate += 1;
                return Err((wait as Ns).clamp(MS, 10 * SEC));
            }
        }
        // Evenly spaced rather than random, as random rejections would hit small tenants unevenly.
        if let Some(method) = state.methods.get_mut(method) {
            method.demand += 1.0;
            method.credit = (method.credit + method.admit_fraction).min(2.0);
            if method.credit < 1.0 {
                self.thinned += 1;
                return Err(RETRY_DELAY);
            }
            method.credit -= 1.0;
        }
        if rate.is_some() {
            state.tokens -= 1.0;
        }
        Ok(id)
    }

    /// Records that an admitted RPC has ended: served, or refused by the module for lack of capacity.
    pub fn finish(&mut self, now: Ns, id: Id, served: bool) {
        self.count(id, now, if served { 1 } else { 2 });
    }

    fn rate(&self, tenants: &Tenants, id: Id) -> Option<f64> {
        match (tenants.tenant(id), self.unknown) {
            (Some(tenant), _) => tenant.rate,
            (None, UnknownCallers::Common { rate, .. }) => rate,
            (None, UnknownCallers::Refused) => Some(0.0),
        }
    }

    fn share(&self, tenants: &Tenants, id: Id) -> f64 {
        match (tenants.tenant(id), self.unknown) {
            (Some(tenant), _) => tenant.share,
            (None, UnknownCallers::Common { share, .. }) => share,
            (None, UnknownCallers::Refused) => 1e-9,
        }
    }

    /// Returns and clears this front's counts since the last call, for the controller to sum.
    pub fn take_counts(&mut self) -> Vec<(Id, UsageCounts)> {
        let changed = self.states.iter_mut().filter(|(_, s)| s.unreported != [0; 3]);
        changed.map(|(id, s)| (*id, std::mem::take(&mut s.unreported))).collect()
    }

    /// Applies counts summed over all fronts, which cover the time `span`.
    pub fn apply_global_counts(&mut self, now: Ns, span: Ns, sums: &[(Id, UsageCounts)]) {
        let seconds = span.max(MS) as f64 / SEC as f64;
        // Exponential smoothing: the old rates count half.
        for old in self.global_rates.values_mut() {
            old.iter_mut().for_each(|x| *x /= 2.0);
        }
        let first = self.global_rates_at.is_none();
        for (id, s) in sums {
            let new = s.map(|n| f64::from(n) / seconds);
            let rates = self.global_rates.entry(*id).or_default();
            (0..3).for_each(|i| rates[i] += if first { new[i] } else { new[i] / 2.0 });
        }
        self.global_rates.retain(|_, s| s.iter().sum::<f64>() > 1e-3);
        self.global_rates_at = Some(now);
    }

    /// Measures and starts a new bucket if the current one is over.
    fn advance(&mut self, now: Ns, tenants: &Tenants) {
        if now - self.bucket_started < BUCKET_LENGTH {
            return;
        }
        let elapsed_buckets = ((now - self.bucket_started) / BUCKET_LENGTH) as usize;
        self.bucket_started += elapsed_buckets as Ns * BUCKET_LENGTH;
        self.measure(now, tenants);
        for _ in 0..elapsed_buckets.min(BUCKETS) {
            self.bucket = (self.bucket + 1) % BUCKETS;
            let bucket = self.bucket;
            self.states.values_mut().for_each(|s| s.window[bucket] = [0; 3]);
        }
        // Idle tenants take no memory. Their state is kept until their tokens are refilled; otherwise a slow
        // tenant would find a full bucket with each RPC.
        self.states.retain(|_, s| s.window != [[0; 3]; BUCKETS] || s.unreported != [0; 3] || s.full_at > now);
    }

    /// Updates this front's fractions of the rates, detects overload, and divides the capacity.
    fn measure(&mut self, now: Ns, tenants: &Tenants) {
        let window = BUCKETS as f64 * BUCKET_LENGTH as f64 / SEC as f64;
        let fresh = self.global_rates_at.is_some_and(|at| now - at <= MAX_SUMS_AGE);
        let local_rates: BTreeMap<Id, [f64; 3]> =
            self.states.iter().map(|(id, s)| (*id, s.window_sums().map(|n| n / window))).collect();
        if fresh {
            let even = 1.0 / self.fronts as f64;
            for (id, state) in &mut self.states {
                let (local, global) = (local_rates[id][0], self.global_rates.get(id).map_or(0.0, |s| s[0]));
                let fraction = if global > 0.0 { (local / global).min(1.0) } else { even };
                state.front_fraction = EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * fraction;
            }
        }
        // The rates over all fronts are preferred: a front with few RPCs has too small a sample.
        let rates = if fresh { &self.global_rates } else { &local_rates };
        let sum = |i: usize| rates.values().map(|s| s[i]).sum::<f64>();
        let (received, served, refused) = (sum(0), sum(1), sum(2));
        let finished = served + refused;
        self.peak = (self.peak * PEAK_DECAY).max(served);
        let overloaded = finished * window >= MIN_FINISHED && refused > OVERLOAD_REFUSED_FRACTION * finished;
        // Overload ends once fewer RPCs arrive than could be served recently.
        let recovered = received < 0.9 * self.peak;
        self.divided_rate =
            (overloaded || self.divided_rate.is_some() && !recovered).then_some(PEAK_HEADROOM * self.peak);
        let Some(divided_rate) = self.divided_rate else {
            for state in self.states.values_mut() {
                state.admit_fraction = 1.0;
                state.methods.iter_mut().for_each(|m| (m.demand, m.admit_fraction) = (m.demand / 2.0, 1.0));
            }
            return;
        };
        let ids: Vec<Id> = rates.keys().copied().collect();
        let demand = |id: &Id| {
            let limit = self.rate(tenants, *id).unwrap_or(f64::MAX);
            (rates[id][0].min(limit), self.share(tenants, *id))
        };
        let demands: Vec<(f64, f64)> = ids.iter().map(demand).collect();
        for ((id, part), (demand, _)) in ids.iter().zip(max_min_shares(divided_rate, &demands)).zip(&demands)
        {
            if let Some(state) = self.states.get_mut(id) {
                state.admit_fraction = if *demand > 0.0 { (part / demand).min(1.0) } else { 1.0 };
            }
        }
        let mut order: Vec<usize> = (0..self.utilities.len()).collect();
        order.sort_by(|a, b| self.utilities[*b].total_cmp(&self.utilities[*a]).then(a.cmp(b)));
        for state in self.states.values_mut() {
            // Methods of higher utility are admitted first; methods of equal utility get equal fractions.
            let mut left = state.admit_fraction * state.methods.iter().map(|m| m.demand).sum::<f64>();
            let same_utility = |a: &usize, b: &usize| self.utilities[*a] == self.utilities[*b];
            for group in order.chunk_by(same_utility) {
                let demand: f64 = group.iter().map(|m| state.methods[*m].demand).sum();
                let fraction = if demand > 0.0 { (left / demand).min(1.0) } else { state.admit_fraction };
                left -= demand * fraction;
                for index in group {
                    let method = &mut state.methods[*index];
                    method.demand /= 2.0;
                    // Never zero: the served rate of a method that is not admitted at all could not be
                    // measured again.
                    method.admit_fraction = fraction.max(MIN_ADMIT_FRACTION);
                }
            }
        }
    }

    /// For the status: the divided RPCs per second, and by tenant this front's fraction and the admitted
    /// fraction.
    pub fn status(&self) -> (Option<f64>, Vec<(Id, f64, f64)>) {
        let states = self.states.iter();
        (self.divided_rate, states.map(|(id, s)| (*id, s.front_fraction, s.admit_fraction)).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::{Directory, EntryMapping};
    use rockpick_ldap::message::{Attribute, Entry};
    use rockpick_ldap::ContentUpdate;

    fn directory(rates: &[Option<f64>]) -> Directory {
        let mut d = Directory::new(EntryMapping::default());
        d.apply(0, ContentUpdate::RefreshStarted);
        for (i, rate) in rates.iter().enumerate() {
            let pair = |k: &str, v: String| Attribute {
                kind: k.as_bytes().to_vec().into(),
                values: vec![v.into_bytes().into()].into(),
            };
            let mut attributes = vec![pair("objectClass", "organization".into()), pair("o", format!("t{i}"))];
            attributes.extend(rate.map(|r| pair("rockpickRate", r.to_string())));
            let entry = Entry { dn: format!("o=t{i}").into_bytes().into(), attributes };
            d.apply(0, ContentUpdate::Entry { uuid: [i as u8; 16], entry });
        }
        d.apply(0, ContentUpdate::RefreshCompleted { complete: true });
        d
    }

    const COMMON: UnknownCallers = UnknownCallers::Common { share: 1.0, rate: None };

    #[test]
    fn rate_limit_holds_without_global_sums_and_is_used_fully_with_them() {
        let d = directory(&[Some(100.0)]);
        for (exchange, low, high) in [(false, 20.0, 30.0), (true, 88.0, 102.0)] {
            // Four fronts; all of the tenant's 400 RPCs a second arrive at the first.
            let mut fronts: Vec<Limits> = (0..4).map(|_| Limits::new(0, 4, COMMON, vec![1.0])).collect();
            let mut admitted = 0;
            for ms in 0..20_000_i64 {
                let now = ms * MS;
                let rpcs = if ms % 5 < 2 { 1 } else { 0 };
                for _ in 0..rpcs {
                    admitted +=
                        i32::from(fronts[0].admit(now, d.version(), Some(0), 0).is_ok() && ms >= 10_000);
                }
                if exchange && ms % 1_000 == 0 && ms > 0 {
                    let sums: Vec<Vec<(Id, UsageCounts)>> =
                        fronts.iter_mut().map(Limits::take_counts).collect();
                    let all: Vec<(Id, UsageCounts)> = sums.concat();
                    fronts.iter_mut().for_each(|f| f.apply_global_counts(now, SEC, &all));
                }
            }
            let rate = f64::from(admitted) / 10.0;
            assert!((low..high).contains(&rate), "{exchange}: {rate}");
        }
    }

    /// The first tenant sends far more than its share; the front can serve 100 RPCs a second.
    #[test]
    fn overloaded_capacity_is_divided_by_weight_and_unused_shares_are_redistributed() {
        let d = directory(&[None, None, None]);
        let mut limits = Limits::new(0, 1, COMMON, vec![1.0]);
        let mut served = [0.0; 3];
        let (mut budget, mut credit) = (0.0, [0.0; 3]);
        for ms in 0..30_000_i64 {
            let now = ms * MS;
            budget = f64::min(budget + 0.1, 5.0);
            for (tenant, rate) in [(0, 0.33), (1, 0.033), (2, 0.02)] {
                credit[tenant] += rate;
                if credit[tenant] < 1.0 {
                    continue;
                }
                credit[tenant] -= 1.0;
                let Ok(id) = limits.admit(now, d.version(), Some(tenant as Id), 0) else { continue };
                let has_capacity = budget >= 1.0;
                if has_capacity {
                    budget -= 1.0;
                    served[tenant] += f64::from(u8::from(ms >= 10_000));
                }
                limits.finish(now, id, has_capacity);
            }
        }
        let a_second = served.map(|n| n / 20.0);
        // The small tenants get everything except what the module refuses while it probes for capacity.
        assert!(a_second[1] > 0.88 * 33.0 && a_second[2] > 0.88 * 20.0, "{a_second:?}");
        assert!(a_second[0] > 35.0 && a_second[0] < 55.0, "{a_second:?}");
    }

    #[test]
    fn methods_of_higher_utility_are_admitted_first() {
        let d = directory(&[None]);
        let mut limits = Limits::new(0, 1, COMMON, vec![1.0, 5.0]);
        let (mut admitted, mut budget) = ([0; 2], 0.0);
        for i in 0..60_000_i64 {
            let (now, method) = (i * MS / 2, (i % 2) as usize);
            budget = f64::min(budget + 0.6, 5.0);
            let Ok(id) = limits.admit(now, d.version(), Some(0), method) else { continue };
            let has_capacity = budget >= 1.0;
            budget -= f64::from(u8::from(has_capacity));
            limits.finish(now, id, has_capacity);
            admitted[method] += i32::from(i >= 20_000);
        }
        // 20,000 RPCs of each method were sent and three fifths can be served: all of the method with the higher
        // utility, a fifth of the other.
        assert!(admitted[1] > 19_000 && admitted[0] < 8_000, "{admitted:?}");
    }

    /// Finding 37: the state of a slow tenant was dropped between its RPCs, so each found a full token bucket. A
    /// rate of zero admits nothing.
    #[test]
    fn low_rate_limits_hold_for_slow_tenants() {
        for (rate, low, high) in [(0.1, 24, 32), (0.0, 0, 0)] {
            let d = directory(&[Some(rate)]);
            let mut limits = Limits::new(0, 1, COMMON, vec![1.0]);
            let admitted = |s: &i64| {
                limits.take_counts();
                limits.admit(s * 3 * SEC, d.version(), Some(0), 0).is_ok()
            };
            let count = (0..100).filter(admitted).count();
            assert!((low..=high).contains(&count), "{rate}: {count}");
        }
    }

    #[test]
    fn unknown_callers_share_one_state() {
        let d = directory(&[None]);
        let mut limits =
            Limits::new(0, 1, UnknownCallers::Common { share: 1.0, rate: Some(10.0) }, vec![1.0]);
        let admitted =
            (0..1_000).filter(|i| limits.admit(i * MS, d.version(), Some(50 + *i as Id), 0).is_ok()).count();
        assert!((10..=16).contains(&admitted) && limits.states.len() == 1, "{admitted}");
        let mut limits = Limits::new(0, 1, UnknownCallers::Refused, vec![1.0]);
        assert!(limits.admit(0, d.version(), None, 0).is_err() && limits.states.is_empty());
        // The state of idle tenants is dropped.
        for s in 0..10 {
            let _ = limits.admit(s * SEC, d.version(), Some(0), 0);
            limits.take_counts();
        }
        assert!(limits.admit(100 * SEC, d.version(), None, 0).is_err() && limits.states.is_empty());
    }
}
