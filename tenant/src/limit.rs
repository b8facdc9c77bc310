//! What a tenant may take at a front. Fronts may share nothing: each knows its own RPCs, and, where the
//! controller carries them, sums over all fronts that are a second or two old.
//!
//! A rate holds over all fronts: each hands out the part of it that lies with its own part of the tenant's
//! RPCs. The parts sum to one as long as all divide by the same sum, and stay as they were while no sums come,
//! so a rate is kept without any of them; a small floor is everyone's, for a tenant that comes to a new front.
//!
//! Shares hold where there is not enough for all: while the decision module pushes back, what is served is
//! divided by weight, and what a tenant leaves is lent to the others (max-min fairness by filling up). Each
//! tenant is then thinned to its part before the module sees it; the module's own input stays as it is.
use crate::model::{Id, Tenants};
use rockpick_net::{Ns, MS, SEC};
use std::collections::BTreeMap;

/// What is measured over time sits in so many buckets of this length: short enough to settle in seconds,
/// long enough that a front with ten RPCs a second sees a score of them.
const BUCKETS: usize = 4;
const BUCKET: Ns = 500 * MS;
/// Part of a rate that is split evenly over all fronts, whoever is busy: a tenant's first second at a new
/// front. All of it is lost to the others while it is not used there.
const FLOOR: f64 = 0.1;
/// Sums from the controller are taken for this long; beyond it a front goes by its own.
const FRESH: Ns = 5 * SEC;
/// Refused by the module, of all that ended, from which there is not enough for all; below half of it there is.
const SCARCE: f64 = 0.03;
/// Ends in the window below which a front says nothing about that.
const FEWEST: f64 = 12.0;
/// What is divided, of the most that was lately served: a little more, so that the module goes on finding out
/// what there is. Dividing what is served at present would lead down: the module, once it has met a jam, takes
/// a part of what it is offered that rises by 0.04 each half second at most, and thinning would take from
/// that again (measured: a tenth of the utility served with 30 fronts).
const WHOLE: f64 = 1.05;
/// By what the most lately served fades in each bucket: a half in about a minute.
const FADE: f64 = 0.994;
/// What is taken of a method at the least, where its tenant is thinned.
const LEAST: f64 = 0.02;
/// A bucket of tokens holds this long of a rate, or one RPC.
const BURST: f64 = 0.5;
/// A row is kept so long at the most while its tokens fill: rates are seldom below some an hour.
const LONGEST: Ns = 3_600 * SEC;
/// Callers that belong to no tenant are counted as one of this number.
pub const UNKNOWN: Id = Id::MAX;
/// When one that was pushed back should return: a new measure is there by then.
const RETURN: Ns = BUCKET;

/// What callers of no tenant may take together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unknown {
    Refused,
    /// As a tenant of this weight, and this rate over all fronts.
    Common {
        share: f64,
        rate: Option<f64>,
    },
}

/// Counts of one tenant: asked, served, refused by the module.
pub type Sums = [u32; 3];

#[derive(Clone, Debug)]
struct Row {
    ring: [Sums; BUCKETS],
    /// Counts since they were last told to the controller.
    tell: Sums,
    /// This front's part of the tenant's RPCs.
    part: f64,
    tokens: f64,
    filled: Ns,
    /// When its bucket is full again, and may be forgotten.
    full: Ns,
    /// What part of its RPCs is taken.
    keep: f64,
    /// By method: RPCs lately asked for, fading; what part of them is taken, and what has gathered of it.
    methods: Vec<[f64; 3]>,
}

impl Row {
    fn sums(&self) -> [f64; 3] {
        let mut sums = [0.0; 3];
        for bucket in &self.ring {
            (0..3).for_each(|i| sums[i] += f64::from(bucket[i]));
        }
        sums
    }
}

pub struct Limits {
    fronts: usize,
    pub unknown: Unknown,
    /// Of each method.
    utilities: Vec<f64>,
    rows: BTreeMap<Id, Row>,
    at: usize,
    turned: Ns,
    /// Sums over all fronts, by tenant, a second, and when they came.
    told: BTreeMap<Id, [f64; 3]>,
    told_at: Option<Ns>,
    /// The most RPCs a second that were lately served.
    peak: f64,
    /// RPCs a second that are divided among tenants; none: enough for all.
    whole: Option<f64>,
    pub thinned: u64,
    pub over_rate: u64,
}

/// Divides `whole` by weight among demands; what one leaves is lent to the others. All as rates.
///
/// ```
/// let parts = rockpick_tenant::limit::fill(100.0, &[(10.0, 1.0), (200.0, 1.0), (200.0, 2.0)]);
/// assert_eq!(parts, [10.0, 30.0, 60.0]);
/// ```
pub fn fill(whole: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut parts = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).collect();
    // By demand over weight: those who need least are filled first, and leave the rest to the others.
    let need = |i: &usize| demands[*i].0 / demands[*i].1.max(1e-9);
    open.sort_by(|a, b| need(a).total_cmp(&need(b)).then(a.cmp(b)));
    let (mut left, mut weights) = (whole.max(0.0), open.iter().map(|i| demands[*i].1).sum::<f64>());
    for i in open {
        let (demand, weight) = demands[i];
        parts[i] = demand.min(left * weight / weights.max(1e-9));
        left -= parts[i];
        weights -= weight;
    }
    parts
}

impl Limits {
    pub fn new(now: Ns, fronts: usize, unknown: Unknown, utilities: Vec<f64>) -> Limits {
        Limits {
            fronts: fronts.max(1),
            unknown,
            utilities,
            rows: BTreeMap::new(),
            at: 0,
            turned: now,
            told: BTreeMap::new(),
            told_at: None,
            peak: 0.0,
            whole: None,
            thinned: 0,
            over_rate: 0,
        }
    }

    fn row(&mut self, id: Id, now: Ns) -> &mut Row {
        let (part, methods) = (1.0 / self.fronts as f64, self.utilities.len());
        self.rows.entry(id).or_insert_with(|| Row {
            ring: Default::default(),
            tell: Default::default(),
            part,
            tokens: f64::MAX,
            filled: now,
            full: now,
            keep: 1.0,
            methods: vec![[0.0, 1.0, 0.0]; methods],
        })
    }

    fn count(&mut self, id: Id, now: Ns, what: usize) {
        let at = self.at;
        let row = self.row(id, now);
        row.ring[at][what] = row.ring[at][what].saturating_add(1);
        row.tell[what] = row.tell[what].saturating_add(1);
    }

    /// An RPC has come; `tenant` none: unknown. Taken, or when it should return.
    ///
    /// # Errors
    /// The time after which to return.
    pub fn take(&mut self, now: Ns, tenants: &Tenants, tenant: Option<Id>, method: usize) -> Result<Id, Ns> {
        self.turn(now, tenants);
        let known = tenant.filter(|t| tenants.tenant(*t).is_some());
        let id = known.unwrap_or(UNKNOWN);
        if known.is_none() && self.unknown == Unknown::Refused {
            return Err(RETURN);
        }
        self.count(id, now, 0);
        let rate = self.rate(tenants, id);
        let row = self.row(id, now);
        if let Some(rate) = rate {
            let mine = rate * row.part;
            let most = (mine * BURST).max(1.0);
            row.tokens = (row.tokens + mine * (now - row.filled) as f64 / SEC as f64).min(most);
            row.filled = now;
            // As if the RPC that is decided here were taken: kept a little too long at the most.
            let filling = (most + 1.0 - row.tokens) / mine.max(1e-9) * SEC as f64;
            row.full = now + (filling as Ns).min(LONGEST);
            if row.tokens < 1.0 || rate <= 0.0 {
                let wait = (1.0 - row.tokens).max(0.0) / mine.max(1e-3) * SEC as f64;
                self.over_rate += 1;
                return Err((wait as Ns).clamp(MS, 10 * SEC));
            }
        }
        // Thinned evenly, not by chance: the small ones are not to have bad luck.
        if let Some([asked, keep, gathered]) = row.methods.get_mut(method) {
            *asked += 1.0;
            *gathered = (*gathered + *keep).min(2.0);
            if *gathered < 1.0 {
                self.thinned += 1;
                return Err(RETURN);
            }
            *gathered -= 1.0;
        }
        if rate.is_some() {
            row.tokens -= 1.0;
        }
        Ok(id)
    }

    /// An RPC that was taken is over: served, or refused by the module for want of room.
    pub fn over(&mut self, now: Ns, id: Id, served: bool) {
        self.count(id, now, if served { 1 } else { 2 });
    }

    fn rate(&self, tenants: &Tenants, id: Id) -> Option<f64> {
        match (tenants.tenant(id), self.unknown) {
            (Some(tenant), _) => tenant.rate,
            (None, Unknown::Common { rate, .. }) => rate,
            (None, Unknown::Refused) => Some(0.0),
        }
    }

    fn share(&self, tenants: &Tenants, id: Id) -> f64 {
        match (tenants.tenant(id), self.unknown) {
            (Some(tenant), _) => tenant.share,
            (None, Unknown::Common { share, .. }) => share,
            (None, Unknown::Refused) => 1e-9,
        }
    }

    /// What this front has counted since it was last asked, for the controller to sum.
    pub fn tell(&mut self) -> Vec<(Id, Sums)> {
        let rows = self.rows.iter_mut().filter(|(_, r)| r.tell != [0; 3]);
        rows.map(|(id, r)| (*id, std::mem::take(&mut r.tell))).collect()
    }

    /// Sums over all fronts that were gathered over `span`.
    pub fn told(&mut self, now: Ns, span: Ns, sums: &[(Id, Sums)]) {
        let seconds = span.max(MS) as f64 / SEC as f64;
        // Half of what was known: two sums' worth of smoothing.
        for old in self.told.values_mut() {
            old.iter_mut().for_each(|x| *x /= 2.0);
        }
        let first = self.told_at.is_none();
        for (id, s) in sums {
            let new = s.map(|n| f64::from(n) / seconds);
            let row = self.told.entry(*id).or_default();
            (0..3).for_each(|i| row[i] += if first { new[i] } else { new[i] / 2.0 });
        }
        self.told.retain(|_, s| s.iter().sum::<f64>() > 1e-3);
        self.told_at = Some(now);
    }

    fn turn(&mut self, now: Ns, tenants: &Tenants) {
        if now - self.turned < BUCKET {
            return;
        }
        let many = ((now - self.turned) / BUCKET) as usize;
        self.turned += many as Ns * BUCKET;
        self.measure(now, tenants);
        for _ in 0..many.min(BUCKETS) {
            self.at = (self.at + 1) % BUCKETS;
            let at = self.at;
            self.rows.values_mut().for_each(|r| r.ring[at] = [0; 3]);
        }
        // Tenants that have asked for nothing cost nothing; their part is kept while their tokens fill, else a
        // slow tenant would find a full bucket each time it comes.
        self.rows.retain(|_, r| r.ring != [[0; 3]; BUCKETS] || r.tell != [0; 3] || r.full > now);
    }

    fn measure(&mut self, now: Ns, tenants: &Tenants) {
        let window = BUCKETS as f64 * BUCKET as f64 / SEC as f64;
        let fresh = self.told_at.is_some_and(|at| now - at <= FRESH);
        let own: BTreeMap<Id, [f64; 3]> =
            self.rows.iter().map(|(id, r)| (*id, r.sums().map(|n| n / window))).collect();
        if fresh {
            let even = 1.0 / self.fronts as f64;
            for (id, row) in &mut self.rows {
                let (mine, all) = (own[id][0], self.told.get(id).map_or(0.0, |s| s[0]));
                let part = if all > 0.0 { (mine / all).min(1.0) } else { even };
                row.part = FLOOR * even + (1.0 - FLOOR) * part;
            }
        }
        // All fronts' sums where they are there: a front with few RPCs sees too little by itself.
        let seen = if fresh { &self.told } else { &own };
        let sum = |i: usize| seen.values().map(|s| s[i]).sum::<f64>();
        let (asked, served, refused) = (sum(0), sum(1), sum(2));
        let ended = served + refused;
        self.peak = (self.peak * FADE).max(served);
        let scarce = ended * window >= FEWEST && refused > SCARCE * ended;
        let enough = asked < 0.9 * self.peak;
        self.whole = (scarce || self.whole.is_some() && !enough).then_some(WHOLE * self.peak);
        let Some(whole) = self.whole else {
            for row in self.rows.values_mut() {
                row.keep = 1.0;
                row.methods.iter_mut().for_each(|m| (m[0], m[1]) = (m[0] / 2.0, 1.0));
            }
            return;
        };
        let ids: Vec<Id> = seen.keys().copied().collect();
        let demand = |id: &Id| {
            let rate = self.rate(tenants, *id).unwrap_or(f64::MAX);
            (seen[id][0].min(rate), self.share(tenants, *id))
        };
        let demands: Vec<(f64, f64)> = ids.iter().map(demand).collect();
        for ((id, part), (demand, _)) in ids.iter().zip(fill(whole, &demands)).zip(&demands) {
            if let Some(row) = self.rows.get_mut(id) {
                row.keep = if *demand > 0.0 { (part / demand).min(1.0) } else { 1.0 };
            }
        }
        let mut order: Vec<usize> = (0..self.utilities.len()).collect();
        order.sort_by(|a, b| self.utilities[*b].total_cmp(&self.utilities[*a]).then(a.cmp(b)));
        for row in self.rows.values_mut() {
            // Of what a tenant may take, the most useful first: of equally useful methods each its part.
            let mut left = row.keep * row.methods.iter().map(|m| m[0]).sum::<f64>();
            let useful = |a: &usize, b: &usize| self.utilities[*a] == self.utilities[*b];
            for alike in order.chunk_by(useful) {
                let asked: f64 = alike.iter().map(|m| row.methods[*m][0]).sum();
                let keep = if asked > 0.0 { (left / asked).min(1.0) } else { row.keep };
                left -= asked * keep;
                for m in alike {
                    // None is shut out whole: a method of which nothing is taken would never be seen again.
                    row.methods[*m] = [row.methods[*m][0] / 2.0, keep.max(LEAST), row.methods[*m][2]];
                }
            }
        }
    }

    /// For the status: RPCs a second that are divided, and what part of each tenant's is taken.
    pub fn view(&self) -> (Option<f64>, Vec<(Id, f64, f64)>) {
        (self.whole, self.rows.iter().map(|(id, r)| (*id, r.part, r.keep)).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::{Directory, Tenancy};
    use rockpick_ldap::message::{Attribute, Entry};
    use rockpick_ldap::News;

    fn tenants(rates: &[Option<f64>]) -> Directory {
        let mut d = Directory::new(Tenancy::default());
        d.take(0, News::Begin);
        for (i, rate) in rates.iter().enumerate() {
            let pair = |k: &str, v: String| Attribute {
                kind: k.as_bytes().to_vec().into(),
                values: vec![v.into_bytes().into()].into(),
            };
            let mut attributes = vec![pair("objectClass", "organization".into()), pair("o", format!("t{i}"))];
            attributes.extend(rate.map(|r| pair("rockpickRate", r.to_string())));
            let entry = Entry { dn: format!("o=t{i}").into_bytes().into(), attributes };
            d.take(0, News::Entry { uuid: [i as u8; 16], entry });
        }
        d.take(0, News::End { whole: true });
        d
    }

    const COMMON: Unknown = Unknown::Common { share: 1.0, rate: None };

    #[test]
    fn a_rate_holds_over_fronts_that_share_nothing_and_is_used_up_where_they_know_the_sum() {
        let d = tenants(&[Some(100.0)]);
        for (exchange, low, high) in [(false, 20.0, 30.0), (true, 88.0, 102.0)] {
            // Four fronts; all of the tenant's 400 RPCs a second come to the first.
            let mut fronts: Vec<Limits> = (0..4).map(|_| Limits::new(0, 4, COMMON, vec![1.0])).collect();
            let mut taken = 0;
            for ms in 0..20_000_i64 {
                let now = ms * MS;
                let asks = if ms % 5 < 2 { 1 } else { 0 };
                for _ in 0..asks {
                    taken += i32::from(fronts[0].take(now, d.version(), Some(0), 0).is_ok() && ms >= 10_000);
                }
                if exchange && ms % 1_000 == 0 && ms > 0 {
                    let sums: Vec<Vec<(Id, Sums)>> = fronts.iter_mut().map(Limits::tell).collect();
                    let all: Vec<(Id, Sums)> = sums.concat();
                    fronts.iter_mut().for_each(|f| f.told(now, SEC, &all));
                }
            }
            let a_second = f64::from(taken) / 10.0;
            assert!((low..high).contains(&a_second), "{exchange}: {a_second}");
        }
    }

    /// One tenant asks ten times its share; the front can serve 100 a second.
    #[test]
    fn what_is_scarce_is_divided_by_weight_and_what_is_left_is_lent() {
        let d = tenants(&[None, None, None]);
        let mut limits = Limits::new(0, 1, COMMON, vec![1.0]);
        let mut served = [0.0; 3];
        let (mut budget, mut gathered) = (0.0, [0.0; 3]);
        for ms in 0..30_000_i64 {
            let now = ms * MS;
            budget = f64::min(budget + 0.1, 5.0);
            for (tenant, rate) in [(0, 0.33), (1, 0.033), (2, 0.02)] {
                gathered[tenant] += rate;
                if gathered[tenant] < 1.0 {
                    continue;
                }
                gathered[tenant] -= 1.0;
                let Ok(id) = limits.take(now, d.version(), Some(tenant as Id), 0) else { continue };
                let room = budget >= 1.0;
                if room {
                    budget -= 1.0;
                    served[tenant] += f64::from(u8::from(ms >= 10_000));
                }
                limits.over(now, id, room);
            }
        }
        let a_second = served.map(|n| n / 20.0);
        // The small ones get all but what the module refuses while the whole is felt out.
        assert!(a_second[1] > 0.88 * 33.0 && a_second[2] > 0.88 * 20.0, "{a_second:?}");
        assert!(a_second[0] > 35.0 && a_second[0] < 55.0, "{a_second:?}");
    }

    #[test]
    fn of_a_thinned_tenant_the_most_useful_is_taken_first() {
        let d = tenants(&[None]);
        let mut limits = Limits::new(0, 1, COMMON, vec![1.0, 5.0]);
        let (mut taken, mut budget) = ([0; 2], 0.0);
        for i in 0..60_000_i64 {
            let (now, method) = (i * MS / 2, (i % 2) as usize);
            budget = f64::min(budget + 0.6, 5.0);
            let Ok(id) = limits.take(now, d.version(), Some(0), method) else { continue };
            let room = budget >= 1.0;
            budget -= f64::from(u8::from(room));
            limits.over(now, id, room);
            taken[method] += i32::from(i >= 20_000);
        }
        // 20,000 of each were asked, three fifths can be served: all of the useful, a fifth of the other.
        assert!(taken[1] > 19_000 && taken[0] < 8_000, "{taken:?}");
    }

    /// Finding 37: a tenant that asks slowly finds no full bucket each time; a rate of none is none.
    #[test]
    fn a_rate_below_one_in_two_seconds_is_kept_too() {
        for (rate, low, high) in [(0.1, 24, 32), (0.0, 0, 0)] {
            let d = tenants(&[Some(rate)]);
            let mut limits = Limits::new(0, 1, COMMON, vec![1.0]);
            let ask = |s: &i64| {
                limits.tell();
                limits.take(s * 3 * SEC, d.version(), Some(0), 0).is_ok()
            };
            let taken = (0..100).filter(ask).count();
            assert!((low..=high).contains(&taken), "{rate}: {taken}");
        }
    }

    #[test]
    fn unknown_callers_share_one_row_however_many_they_are() {
        let d = tenants(&[None]);
        let mut limits = Limits::new(0, 1, Unknown::Common { share: 1.0, rate: Some(10.0) }, vec![1.0]);
        let taken =
            (0..1_000).filter(|i| limits.take(i * MS, d.version(), Some(50 + *i as Id), 0).is_ok()).count();
        assert!((10..=16).contains(&taken) && limits.rows.len() == 1, "{taken}");
        let mut limits = Limits::new(0, 1, Unknown::Refused, vec![1.0]);
        assert!(limits.take(0, d.version(), None, 0).is_err() && limits.rows.is_empty());
        // Nothing of long ago stays.
        for s in 0..10 {
            let _ = limits.take(s * SEC, d.version(), Some(0), 0);
            limits.tell();
        }
        assert!(limits.take(100 * SEC, d.version(), None, 0).is_err() && limits.rows.is_empty());
    }
}
