//! One front's seat in the emulator: the module, its open RPCs, and what its actions come to.
use rockpick::{Ctl, Front, Ns, Standing, Verdict};
use rockpick_id_table::IdTable;

/// What the module wants done; carried out once its call is over.
pub enum Do {
    Pick(usize, usize, Ns),
    Cancel(usize, u32),
    PushBack(usize, Ns),
    Abort(usize),
    Wake(Ns, u64),
    Tell(Option<u32>, Vec<u8>),
    Watch,
    Fetch,
    Vote(u32, u32, Verdict),
}

/// The wire of one call: it gathers actions.
pub struct Gather<'a> {
    pub now: Ns,
    pub acts: &'a mut Vec<Do>,
    pub notes: &'a mut Vec<String>,
}

impl Ctl for Gather<'_> {
    fn now(&self) -> Ns {
        self.now
    }
    fn pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        self.acts.push(Do::Pick(rpc, machine, time_out));
    }
    fn cancel(&mut self, rpc: usize, pick: u32) {
        self.acts.push(Do::Cancel(rpc, pick));
    }
    fn push_back(&mut self, rpc: usize, wait: Ns) {
        self.acts.push(Do::PushBack(rpc, wait));
    }
    fn abort(&mut self, rpc: usize) {
        self.acts.push(Do::Abort(rpc));
    }
    fn wake_at(&mut self, at: Ns, tag: u64) {
        self.acts.push(Do::Wake(at, tag));
    }
    // The module probes nothing, and nothing would come of it.
    fn probe(&mut self, _machine: usize) {}
    fn tell(&mut self, peer: Option<u32>, note: &[u8]) {
        self.acts.push(Do::Tell(peer, note.to_vec()));
    }
    fn watch(&mut self, on: bool) {
        if on {
            self.acts.push(Do::Watch);
        }
    }
    fn fetch(&mut self) {
        self.acts.push(Do::Fetch);
    }
    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        self.acts.push(Do::Vote(build, stage, verdict));
    }
    fn note(&mut self, text: &str) {
        self.notes.push(text.to_string());
    }
}

pub struct Pick {
    pub call: u64,
    pub build: u32,
    pub sent: Ns,
    pub out: bool,
}

/// An RPC that this front has taken.
pub struct Open {
    pub attempt: u64,
    pub method: usize,
    pub gives_up: Ns,
    pub picks: Vec<Pick>,
    /// Whose it is, where limits are kept.
    pub tenant: Option<u32>,
}

#[derive(Default)]
pub struct Seat {
    pub front: Option<Front>,
    /// Differs with every start: words for an earlier life reach nobody.
    pub life: u32,
    pub born: Ns,
    pub zone: usize,
    pub door: IdTable,
    pub open: Vec<Option<Open>>,
    /// It stands still until then; what comes meanwhile waits.
    pub still: Ns,
    pub standing: Option<Standing>,
    pub again: bool,
    /// The roster as it last had it: what a restart comes up from.
    pub roster: Vec<rockpick::Member>,
    pub voting: u64,
    pub limits: Option<rockpick_tenant::Limits>,
    /// A plain front's turn.
    pub turn: usize,
    /// Sampled picks and those not ok, by build and method.
    pub counts: std::collections::BTreeMap<(u32, usize), [u32; 2]>,
}
