//! What crosses the border of the decision module: types and the trait [`Actions`], no decisions.

/// A point in time or a span, in whole nanoseconds.
pub type Ns = i64;

/// May an RPC of this method run again?
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// Repeats are recognised, inside a group of machines and for a time.
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

/// One row a method.
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

/// How a build comes in, as told at start.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    pub control: Control,
    /// Earlier machines stay until the release.
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
    /// Fronts that send a build on, or back, together.
    pub on_votes: u32,
    pub back_votes: u32,
    /// Calls a second that the platform takes of all fronts; 0: not told.
    pub platform_call_rate: f64,
}

/// The figures of the five rules.
#[derive(Clone, Debug, Default)]
pub struct SafetyLimits {
    /// Without a watch, news must be asked for this often.
    pub ask_within: Ns,
    /// A change of the roster counts as told so long after it was made, heard or not; 0: only what is heard counts.
    pub told_within: Ns,
    /// New picks may go to a machine for so long after its drain was told.
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
    /// Longest wait that a client obeys after a pushback; 0: none is told.
    pub longest_wait: Ns,
}

/// All that a front is told at start.
#[derive(Clone, Debug, Default)]
pub struct FrontConfig {
    pub fronts: u32,
    /// This front's place among them, from 0.
    pub rank: u32,
    pub zone: u32,
    pub seed: u64,
    /// The roster answers only when asked.
    pub ask_roster: bool,
    pub step: Ns,
    pub cross_zone_price: f64,
    /// Of a new connection, for each RPC.
    pub handshake_price: f64,
    pub methods: Vec<Method>,
    pub rollout: Rollout,
    pub limits: SafetyLimits,
    pub permissions: Permissions,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    Up,
    Draining,
    #[default]
    Gone,
}

/// One line of the roster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    pub machine: usize,
    /// The same at every front: 16 bits drawn from its name.
    pub tag: u32,
    pub zone: u32,
    pub cell: u32,
    pub build: u32,
    pub state: State,
    pub weight: f64,
    /// Its last start; none: long ago.
    pub started: Option<Ns>,
}

/// Kinds of roster news.
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
    /// Whether the machine may have run what it was sent; all others provably never ran.
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
    /// Whether a build may stay, as far as is told: it is not being taken back.
    pub fn stays(self) -> bool {
        matches!(self, Phase::OnTrial | Phase::Released)
    }
}

/// Where the newest build stands, as the platform last told.
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

/// What a call to the platform came to, or news that it sent by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    News,
    Counted,
    TimedOut,
    Refused,
}

/// Through this the decisions act. RPCs and machines are the small indices given at the door.
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
    /// A build has answered a one-way key for the first time here: other fronts may want to know.
    fn key_bound(&mut self, _key: u64, _build: u32) {}
    fn log(&mut self, text: &str);
}
