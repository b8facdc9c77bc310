//! Types at the interface of the decision module, and the trait [`Actions`]; no decisions.

/// A point in time or a duration, in whole nanoseconds.
pub type Ns = i64;

/// Whether an RPC of this method may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// Machines recognise repeats by a token, within a group of machines and for a limited time.
    Tokened,
    #[default]
    NonIdempotent,
}

/// The machines that recognise each other's repeats of a tokened RPC.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    #[default]
    Cell,
}

/// Settings of one method.
#[derive(Clone, Debug, Default)]
pub struct Method {
    pub soft_deadline: Ns,
    pub utility: f64,
    pub idempotency: Idempotency,
    pub dedup_scope: DedupScope,
    /// How long a repeat of a tokened RPC is recognised.
    pub dedup_window: Ns,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Control {
    #[default]
    FirstVoice,
    ByCount,
    Automatic,
}

/// How a build is rolled out, as configured at start-up.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    pub control: Control,
    /// Whether machines of the earlier build stay until the release.
    pub parallel: bool,
    /// The cap of each stage.
    pub caps: Vec<f64>,
    pub free: f64,
    pub window: Ns,
    pub cap_per_method: bool,
    /// Stages below this one take idempotent methods only.
    pub guarded_stages: usize,
    pub one_way: bool,
    pub dwell: Ns,
    pub vote_life: Ns,
    pub call_timeout: Ns,
    /// Number of fronts that must vote alike to send a build on, or back.
    pub on_votes: u32,
    pub back_votes: u32,
    /// Calls per second that the platform accepts from all fronts together; 0 if unknown.
    pub platform_call_rate: f64,
}

/// The parameters of the five rules.
#[derive(Clone, Debug, Default)]
pub struct SafetyLimits {
    /// Without a watch, the roster and the rollout must be requested at least this often.
    pub ask_within: Ns,
    /// How long after a change of the roster this front counts as informed of it, whether it heard of it or
    /// not; 0: only what it has heard counts.
    pub told_within: Ns,
    /// How long after a move of the roster service to another address this front counts as informed of all changes
    /// until then.
    pub told_within_after_move: Ns,
    /// How long new picks may still go to a machine after its drain was announced.
    pub drain_grace: Ns,
    pub cold_from: f64,
    pub cold_time: Ns,
    pub overload_factor: f64,
    pub fall_time: Ns,
}

/// What this front may do.
#[derive(Clone, Debug, Default)]
pub struct Permissions {
    pub most_picks: u32,
    pub notes: bool,
    /// Longest wait that clients honour after a pushback; 0: none is suggested.
    pub longest_wait: Ns,
}

/// Everything a front is configured with at start-up.
#[derive(Clone, Debug, Default)]
pub struct FrontConfig {
    pub fronts: u32,
    /// This front's index among them, from 0.
    pub rank: u32,
    pub zone: u32,
    pub seed: u64,
    /// Whether the roster must be requested instead of being pushed.
    pub ask_roster: bool,
    pub step: Ns,
    pub cross_zone_price: f64,
    /// Cost of a new connection, charged per RPC.
    pub handshake_price: f64,
    pub methods: Vec<Method>,
    pub rollout: Rollout,
    pub limits: SafetyLimits,
    pub permissions: Permissions,
    /// Most one-way keys that are remembered, where memory is short; `None`: as many as the module ever remembers.
    pub max_bound_keys: Option<usize>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    Up,
    Draining,
    #[default]
    Gone,
}

/// One entry of the roster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    pub machine: usize,
    /// A 16-bit hash of its name, the same at every front.
    pub tag: u32,
    pub zone: u32,
    pub cell: u32,
    pub build: u32,
    pub state: State,
    pub weight: f64,
    /// Its last start; `None` if that was long ago.
    pub started: Option<Ns>,
}

/// Kinds of roster updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterUpdate {
    Changes,
    Full,
    Saved,
    Failed,
}

/// How a pick or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    Cancelled,
    Void,
}

impl Outcome {
    /// Whether the machine may have run the RPC; with the other outcomes it certainly did not.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::Void)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    OnTrial,
    GoingBack,
    Released,
    Withdrawn,
}

impl Phase {
    /// Whether the build is not being sent back or withdrawn, as far as was announced.
    pub fn stays(self) -> bool {
        matches!(self, Phase::OnTrial | Phase::Released)
    }
}

/// State of the rollout of the newest build, as last announced by the platform.
#[derive(Clone, Copy, Debug)]
pub struct RolloutStatus {
    pub build: u32,
    pub stage: u32,
    pub phase: Phase,
    pub cap: f64,
    pub since: Ns,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    NoVote,
    On,
    Hold,
    Back,
}

/// Result of a call to the platform, or news that it sent on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    News,
    Counted,
    TimedOut,
    Refused,
}

/// The actions that decisions can take. RPCs and machines are given by the small indices that the caller
/// assigns.
pub trait Actions {
    fn now(&self) -> Ns;
    fn pick(&mut self, rpc: usize, machine: usize, time_out: Ns);
    fn cancel(&mut self, rpc: usize, pick: u32);
    fn push_back(&mut self, rpc: usize, wait: Ns);
    fn abort(&mut self, rpc: usize);
    fn wake_at(&mut self, at: Ns, tag: u64);
    fn probe(&mut self, machine: usize);
    /// Sends a note to one peer, or to all.
    fn send_note(&mut self, peer: Option<u32>, note: &[u8]);
    fn watch(&mut self, on: bool);
    fn fetch(&mut self);
    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict);
    /// Called when a build has answered a one-way key for the first time at this front, so that other
    /// fronts can be told.
    fn key_bound(&mut self, _key: u64, _build: u32) {}
    fn log(&mut self, text: &str);
}
