//! One emulated front: its decision module, its open RPCs and the actions that the module asked for.
use rockpick::{Actions, Front, Ns, RolloutStatus, Verdict};
use rockpick_id_table::IdTable;

/// An action of the decision module, carried out once the call into the module has returned.
pub enum Action {
    Pick(usize, usize, Ns),
    Cancel(usize, u32),
    PushBack(usize, Ns),
    Abort(usize),
    WakeAt(Ns, u64),
    SendNote(Option<u32>, Vec<u8>),
    Watch,
    Fetch,
    Vote(u32, u32, Verdict),
}

/// Collects the actions and log lines of one call into the decision module.
pub struct ActionBuffer<'a> {
    pub now: Ns,
    pub actions: &'a mut Vec<Action>,
    pub log: &'a mut Vec<String>,
}

impl Actions for ActionBuffer<'_> {
    fn now(&self) -> Ns {
        self.now
    }
    fn pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        self.actions.push(Action::Pick(rpc, machine, time_out));
    }
    fn cancel(&mut self, rpc: usize, pick: u32) {
        self.actions.push(Action::Cancel(rpc, pick));
    }
    fn push_back(&mut self, rpc: usize, wait: Ns) {
        self.actions.push(Action::PushBack(rpc, wait));
    }
    fn abort(&mut self, rpc: usize) {
        self.actions.push(Action::Abort(rpc));
    }
    fn wake_at(&mut self, at: Ns, tag: u64) {
        self.actions.push(Action::WakeAt(at, tag));
    }
    // The module sends no probes, and the emulator would have nothing to answer them.
    fn probe(&mut self, _machine: usize) {}
    fn send_note(&mut self, peer: Option<u32>, note: &[u8]) {
        self.actions.push(Action::SendNote(peer, note.to_vec()));
    }
    fn watch(&mut self, on: bool) {
        if on {
            self.actions.push(Action::Watch);
        }
    }
    fn fetch(&mut self) {
        self.actions.push(Action::Fetch);
    }
    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        self.actions.push(Action::Vote(build, stage, verdict));
    }
    fn log(&mut self, text: &str) {
        self.log.push(text.to_string());
    }
}

pub struct Pick {
    pub call: u64,
    pub build: u32,
    pub sent: Ns,
    pub in_flight: bool,
}

/// An RPC that this front has accepted.
pub struct OpenRpc {
    pub attempt: u64,
    pub method: usize,
    pub deadline: Ns,
    pub picks: Vec<Pick>,
    /// The tenant that it is counted for, if tenants are limited.
    pub tenant: Option<u32>,
}

#[derive(Default)]
pub struct FrontNode {
    /// The decision module; none while the process is down.
    pub front: Option<Front>,
    /// Increases with every start; events for an earlier incarnation are dropped.
    pub incarnation: u32,
    pub started_at: Ns,
    pub zone: usize,
    pub rpc_ids: IdTable,
    pub open: Vec<Option<OpenRpc>>,
    /// The process is stopped until then; events that arrive meanwhile are delayed.
    pub stopped_until: Ns,
    pub last_status: Option<RolloutStatus>,
    /// A later look at the rollout status, which a restarted front may not yet act on in full, is scheduled.
    pub recheck_scheduled: bool,
    /// The last known roster, from which a restarted front recovers.
    pub roster: Vec<rockpick::Member>,
    /// Id of the vote in flight; 0 if there is none.
    pub vote_in_flight: u64,
    pub limits: Option<rockpick_tenant::Limits>,
    /// Round-robin position of a plain front.
    pub next_machine: usize,
    /// Sampled picks and those that failed, by build and method.
    pub pick_counts: std::collections::BTreeMap<(u32, usize), [u32; 2]>,
}
