//! The behavior of fake clients, without sockets or a clock: open-loop arrivals ([`crate::schedule`]), deadlines and
//! patience, and retries as each method allows them. The processes on loopback and the emulator both run this code.
use crate::schedule::{Arrivals, Schedule};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_control::settings::{GroupKind, MethodSettings, RepeatKind};
use rockpick_control::Settings;
use rockpick_net::{Ns, MS};
use serde_json::Value;

/// An answer that arrives this long after the client's deadline still counts, to allow for delays in the client's own
/// scheduling. The bench allows fronts the same.
pub const ANSWER_GRACE: Ns = 20 * MS;
/// Separates the random numbers for retries and disputes from those of the schedule; the value is arbitrary.
const RETRY_SEED: u64 = 0xa6a1;
/// The delay before a retry when the answer states none.
const RETRY_DELAY: Ns = 50 * MS;

/// The traffic of the clients.
#[derive(Clone, Debug)]
pub struct Load {
    pub rate: f64,
    /// The number of keys, drawn from a Zipf distribution.
    pub keys: usize,
    /// The exponent of the Zipf distribution.
    pub zipf: f64,
    /// The share of traffic that is spread evenly over the first `hot_keys` keys instead.
    pub hot: f64,
    pub hot_keys: usize,
    /// The share of traffic that one caller sends to the first front; the rest is spread evenly.
    pub caller: f64,
    /// The share of traffic that moves to the fronts of the first zone (those with even numbers).
    pub shift: f64,
    /// The share of RPCs that are made calls of the last method.
    pub heavier: f64,
    /// The share of the first method's RPCs whose work is multiplied by `tail_times`.
    pub tail: f64,
    pub tail_times: f64,
    /// The share of impatient clients, and the fraction of the soft deadline that they wait.
    pub hasty: f64,
    pub patience: f64,
    /// The share of traffic that the first tenant sends on top of its third.
    pub greedy: f64,
    /// Impatient clients disconnect early without notice and retry at once; otherwise they state a short deadline.
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
    /// Updates the fields that a JSON object contains.
    ///
    /// # Errors
    /// The name of the field that is unknown or has a wrong value.
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

/// Totals over all RPCs.
#[derive(Clone, Debug, Default)]
pub struct ClientTotals {
    /// The utility of all RPCs, and of those answered correctly within their soft deadline.
    pub asked: f64,
    pub served: f64,
    pub rpcs: u64,
    pub ok: u64,
    pub late: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub unanswered: u64,
    /// RPCs that were not sent because too many were open.
    pub not_sent: u64,
    /// Data that arrived on connections without a request.
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
    /// How long the client waits for the answer of a try.
    pub patience: Ns,
    /// The client disconnects early without having stated its deadline, and retries at once.
    pub leave: bool,
}

/// The outcome of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Ok {
        right: bool,
    },
    PushedBack,
    Aborted,
    /// Rejected as malformed or unknown; it never ran.
    NotTaken,
    /// No connection; it never ran.
    Unreachable,
    Broken,
    GaveUp,
}

/// A try to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub give_up_at: Ns,
    /// The deadline stated to the front.
    pub stated_deadline: Ns,
    /// When to give up if no answer has arrived.
    pub check_at: Ns,
}

/// What follows a try.
pub enum NextStep {
    Done,
    RetryAt(Ns, Rpc),
}

pub struct ClientModel {
    pub settings: Settings,
    pub schedule: Schedule,
    pub fronts: usize,
    pub retries: u32,
    /// Random numbers for retry delays and disputes; the schedule has its own.
    pub rng: StdRng,
    pub totals: ClientTotals,
    pub times: Histogram<u64>,
}

impl ClientModel {
    /// # Errors
    /// None in practice, as the histogram's bounds are fixed.
    pub fn new(
        settings: Settings, load: Load, arrivals: Arrivals, fronts: usize, retries: u32, work_ms: f64,
        seed: u64,
    ) -> Result<ClientModel, String> {
        Ok(ClientModel {
            schedule: Schedule::new(settings.clone(), load, arrivals, fronts, work_ms, seed),
            settings,
            fronts,
            retries,
            rng: StdRng::seed_from_u64(seed ^ RETRY_SEED),
            totals: ClientTotals::default(),
            times: Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|e| e.to_string())?,
        })
    }

    pub fn method(&self, rpc: &Rpc) -> &MethodSettings {
        &self.settings.methods[rpc.method]
    }

    /// Takes the RPC that is due from the schedule and counts it.
    pub fn arrive(&mut self) -> Rpc {
        let rpc = self.schedule.arrive();
        self.count_asked(&rpc);
        rpc
    }

    /// Counts an RPC and its utility.
    pub fn count_asked(&mut self, rpc: &Rpc) {
        self.totals.rpcs += 1;
        self.totals.asked += self.settings.methods[rpc.method].utility;
    }

    /// Starts a try of an RPC; none if no time is left, which ends the RPC.
    pub fn start_attempt(&mut self, now: Ns, rpc: &mut Rpc) -> Option<Attempt> {
        let give_up_at = rpc.deadline.min(now + rpc.patience);
        if give_up_at <= now + MS {
            self.count_failure(AttemptOutcome::GaveUp);
            return None;
        }
        rpc.tries += 1;
        // Clients that disconnect early state the full deadline; the others state how long they wait.
        let stated_deadline = if rpc.leave { rpc.deadline } else { give_up_at };
        let check_at = give_up_at + if rpc.leave { 0 } else { ANSWER_GRACE };
        Some(Attempt { give_up_at, stated_deadline, check_at })
    }

    /// Decides what follows a try; `wait` is the delay that the answer asked for, if any.
    pub fn attempt_ended(
        &mut self, now: Ns, mut rpc: Rpc, outcome: AttemptOutcome, wait: Option<Ns>,
    ) -> NextStep {
        if let AttemptOutcome::Ok { right } = outcome {
            let took = now - rpc.began;
            let method = self.method(&rpc);
            let (soft, utility) = (method.soft_deadline_ms as Ns * MS, method.utility);
            let _ = self.times.record((took / 1_000).max(1) as u64);
            self.totals.ok += 1;
            if took > soft {
                self.totals.late += 1;
            } else if right {
                self.totals.served += utility;
            }
            return NextStep::Done;
        }
        if rpc.tries > self.retries || !self.may_retry(now, &rpc, outcome) {
            self.count_failure(outcome);
            return NextStep::Done;
        }
        if outcome == AttemptOutcome::GaveUp && rpc.leave {
            rpc.patience *= 2;
            return NextStep::RetryAt(now, rpc);
        }
        let spread = self.rng.random_range(0..RETRY_DELAY);
        let at = now + wait.unwrap_or(RETRY_DELAY) + spread;
        if at >= rpc.deadline {
            self.count_failure(outcome);
            return NextStep::Done;
        }
        if matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::Broken) {
            rpc.front = self.rng.random_range(0..self.fronts);
        }
        NextStep::RetryAt(at, rpc)
    }

    /// Whether the client may retry, as the method's kind and the outcome allow.
    fn may_retry(&self, now: Ns, rpc: &Rpc, outcome: AttemptOutcome) -> bool {
        let method = self.method(rpc);
        let never_ran = matches!(
            outcome,
            AttemptOutcome::PushedBack | AttemptOutcome::Unreachable | AttemptOutcome::NotTaken
        );
        match method.repeat {
            RepeatKind::Idempotent => true,
            RepeatKind::Tokened => {
                never_ran
                    || method.group == GroupKind::All && now - rpc.began < method.remembered_ms as Ns * MS
            }
            RepeatKind::NonIdempotent => never_ran,
        }
    }

    fn count_failure(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::PushedBack | AttemptOutcome::NotTaken => self.totals.pushed_back += 1,
            AttemptOutcome::Aborted => self.totals.aborted += 1,
            _ => self.totals.unanswered += 1,
        }
    }
}
