//! What stand-in clients are, without sockets and clock: an open loop of arrivals ([`crate::schedule`]),
//! deadlines and patience, retries as each method allows. Processes on loopback and the emulator run
//! this very code.
use crate::schedule::{Arrivals, Schedule};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_control::settings::{GroupKind, MethodSettings, RepeatKind};
use rockpick_control::Settings;
use rockpick_net::{Ns, MS};
use serde_json::Value;

/// An answer that is here within this after the client's deadline still counts: what its own scheduling may
/// cost (the bench grants fronts the same).
pub const ANSWER_GRACE: Ns = 20 * MS;
/// Keeps what clients do later apart from what they send first; any number will do.
const AGAIN: u64 = 0xa6a1;
/// A wait after a pushback that names none.
const WAIT: Ns = 50 * MS;
#[derive(Clone, Debug)]
pub struct Load {
    pub rate: f64,
    /// Keys drawn by Zipf; the first few draw `hot` of all traffic besides.
    pub keys: usize,
    /// The exponent of their Zipf.
    pub zipf: f64,
    pub hot: f64,
    pub hot_keys: usize,
    /// Share of traffic to one front, the first; the rest goes evenly.
    pub caller: f64,
    /// Share of traffic that moves to the fronts of the first zone (even numbers).
    pub shift: f64,
    /// Share of RPCs that become the last method.
    pub heavier: f64,
    /// Share of the first method's RPCs that cost `tail_times` the work.
    pub tail: f64,
    pub tail_times: f64,
    /// Share of clients with little patience, and what part of the soft deadline they wait.
    pub hasty: f64,
    pub patience: f64,
    /// Share of traffic that is the first tenant's beyond its part of the three.
    pub greedy: f64,
    /// They leave early and come back at once; else they come with little time left.
    pub leave: bool,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 100.0,
            keys: 2_000,
            zipf: 0.9,
            hot: 0.0,
            hot_keys: 1,
            caller: 0.0,
            shift: 0.0,
            heavier: 0.0,
            tail: 0.0,
            tail_times: 1.0,
            hasty: 0.0,
            patience: 1.0,
            greedy: 0.0,
            leave: false,
        }
    }
}

impl Load {
    /// Takes over the fields that a call names.
    ///
    /// # Errors
    /// Names the field.
    pub fn change(&mut self, json: &Value) -> Result<(), String> {
        for (name, value) in json.as_object().ok_or("an object is wanted")? {
            let number = value.as_f64().filter(|x| *x >= 0.0).ok_or(format!("{name}: a number is wanted"));
            match name.as_str() {
                "rate" => self.rate = number?.min(1e6),
                "hot" => self.hot = number?,
                "hot_keys" => self.hot_keys = number? as usize,
                "caller" => self.caller = number?,
                "shift" => self.shift = number?,
                "heavier" => self.heavier = number?,
                "tail" => self.tail = number?,
                "tail_times" => self.tail_times = number?,
                "hasty" => self.hasty = number?,
                "greedy" => self.greedy = number?.min(1.0),
                "patience" => self.patience = number?,
                "leave" => self.leave = number? > 0.0,
                _ => return Err(format!("{name}: not known")),
            }
        }
        Ok(())
    }
}

/// What came of it all.
#[derive(Clone, Debug, Default)]
pub struct ClientTotals {
    pub asked: f64,
    pub served: f64,
    pub rpcs: u64,
    pub ok: u64,
    pub late: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub unanswered: u64,
    pub not_sent: u64,
    pub stray: u64,
}

#[derive(Clone, Debug)]
pub struct Rpc {
    pub id: u64,
    pub method: usize,
    pub key: u64,
    pub tenant: usize,
    pub work_ms: f64,
    pub began: Ns,
    pub deadline: Ns,
    pub tries: u32,
    pub front: usize,
    pub patience: Ns,
    /// Leaves early without having said so, and comes back at once.
    pub leave: bool,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Ok {
        right: bool,
    },
    PushedBack,
    Aborted,
    /// Malformed or unknown: never ran.
    NotTaken,
    /// No connection: never ran.
    Unreachable,
    Broken,
    GaveUp,
}

/// A try that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub give_up_at: Ns,
    /// The deadline that the front is told.
    pub stated_deadline: Ns,
    /// When to look whether it must be given up.
    pub check_at: Ns,
}

/// What becomes of an RPC after a try.
pub enum NextStep {
    Done,
    RetryAt(Ns, Rpc),
}

pub struct ClientModel {
    pub settings: Settings,
    pub schedule: Schedule,
    pub fronts: usize,
    pub retries: u32,
    /// Of what clients do later: waits, disputes. What they send first is the schedule's alone.
    pub rng: StdRng,
    pub totals: ClientTotals,
    pub times: Histogram<u64>,
}

impl ClientModel {
    /// # Errors
    /// None in practice: the histogram's bounds are fixed.
    pub fn new(
        settings: Settings, load: Load, arrivals: Arrivals, fronts: usize, retries: u32, work_ms: f64,
        seed: u64,
    ) -> Result<ClientModel, String> {
        Ok(ClientModel {
            schedule: Schedule::new(settings.clone(), load, arrivals, fronts, work_ms, seed),
            settings,
            fronts,
            retries,
            rng: StdRng::seed_from_u64(seed ^ AGAIN),
            totals: ClientTotals::default(),
            times: Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|e| e.to_string())?,
        })
    }

    pub fn method(&self, rpc: &Rpc) -> &MethodSettings {
        &self.settings.methods[rpc.method]
    }

    /// The RPC that is due, counted as asked for.
    pub fn arrive(&mut self) -> Rpc {
        let rpc = self.schedule.arrive();
        self.count_asked(&rpc);
        rpc
    }

    /// Counts an RPC as asked for.
    pub fn count_asked(&mut self, rpc: &Rpc) {
        self.totals.rpcs += 1;
        self.totals.asked += self.settings.methods[rpc.method].utility;
    }

    /// A try of an RPC; none when its time is over, and with it the RPC.
    pub fn start_attempt(&mut self, now: Ns, rpc: &mut Rpc) -> Option<Attempt> {
        let give_up_at = rpc.deadline.min(now + rpc.patience);
        if give_up_at <= now + MS {
            self.over(AttemptOutcome::GaveUp);
            return None;
        }
        rpc.tries += 1;
        // Those who leave early say nothing of it; the others tell what time they have.
        let stated_deadline = if rpc.leave { rpc.deadline } else { give_up_at };
        let check_at = give_up_at + if rpc.leave { 0 } else { ANSWER_GRACE };
        Some(Attempt { give_up_at, stated_deadline, check_at })
    }

    /// A try has ended; `wait`: when to return, if that was told.
    pub fn attempt_ended(
        &mut self, now: Ns, mut rpc: Rpc, how: AttemptOutcome, wait: Option<Ns>,
    ) -> NextStep {
        if let AttemptOutcome::Ok { right } = how {
            let took = now - rpc.began;
            let row = self.method(&rpc);
            let (soft, utility) = (row.soft_deadline_ms as Ns * MS, row.utility);
            let _ = self.times.record((took / 1_000).max(1) as u64);
            self.totals.ok += 1;
            if took > soft {
                self.totals.late += 1;
            } else if right {
                self.totals.served += utility;
            }
            return NextStep::Done;
        }
        if rpc.tries > self.retries || !self.may_again(now, &rpc, how) {
            self.over(how);
            return NextStep::Done;
        }
        if how == AttemptOutcome::GaveUp && rpc.leave {
            rpc.patience *= 2;
            return NextStep::RetryAt(now, rpc);
        }
        let spread = self.rng.random_range(0..WAIT);
        let at = now + wait.unwrap_or(WAIT) + spread;
        if at >= rpc.deadline {
            self.over(how);
            return NextStep::Done;
        }
        if matches!(how, AttemptOutcome::Unreachable | AttemptOutcome::Broken) {
            rpc.front = self.rng.random_range(0..self.fronts);
        }
        NextStep::RetryAt(at, rpc)
    }

    /// May the client send it again after this? As its method and what it was told allow.
    fn may_again(&self, now: Ns, rpc: &Rpc, how: AttemptOutcome) -> bool {
        let row = self.method(rpc);
        let harmless = matches!(
            how,
            AttemptOutcome::PushedBack | AttemptOutcome::Unreachable | AttemptOutcome::NotTaken
        );
        match row.repeat {
            RepeatKind::Idempotent => true,
            RepeatKind::Tokened => {
                harmless || row.group == GroupKind::All && now - rpc.began < row.remembered_ms as Ns * MS
            }
            RepeatKind::NonIdempotent => harmless,
        }
    }

    fn over(&mut self, how: AttemptOutcome) {
        match how {
            AttemptOutcome::PushedBack | AttemptOutcome::NotTaken => self.totals.pushed_back += 1,
            AttemptOutcome::Aborted => self.totals.aborted += 1,
            _ => self.totals.unanswered += 1,
        }
    }
}
