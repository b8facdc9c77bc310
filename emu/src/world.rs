//! Discrete-event simulation of a fleet: fronts, machines, clients, a controller and the events between them.
use crate::front_node::{Action, ActionBuffer, FrontNode, OpenRpc, Pick};
use crate::profile::{Component, Profiler};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick::{
    Front, Member, Ns, Outcome as PickOutcome, Phase, Reply as ControllerReply, RolloutStatus, RosterUpdate,
    State, Verdict,
};
use rockpick_control::release::{Release, Running};
use rockpick_control::roster::{Heartbeat, Order, Roster};
use rockpick_control::Settings;
use rockpick_fakes::client_model::{AttemptOutcome, ClientModel, ClientTotals, Load, NextStep, Rpc};
use rockpick_fakes::machine_model::{
    Defect, Environment, Fault, Job, JobEvent, MachineModel, MachineSettings, Reply, DELAYED,
};
use rockpick_fakes::schedule::Arrivals;
use rockpick_fault_injection::Fault as StormFault;
use rockpick_front::restart;
use rockpick_ldap::message::{Attribute, Entry as LdapEntry};
use rockpick_ldap::ContentUpdate;
use rockpick_net::{MS, SEC};
use rockpick_rehearse::day::{Action as ScriptAction, DatagramFaults};
use rockpick_rehearse::judge::{
    ClientEvent, ClientRecord, Evidence, MachineRecord, ProcessAction, StageRecord,
};
use rockpick_tenant::{Directory, EntryMapping, Limits, Tenants, UnknownCallers};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

/// Base latencies in ns. Each use adds uniform jitter of up to half the base.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Latencies {
    /// One way between a front and a machine of the same zone.
    pub same: Ns,
    /// One way between zones.
    pub cross: Ns,
    /// One way between a client and a front.
    pub client: Ns,
    /// One way between the controller and a front.
    #[serde(rename = "told")]
    pub controller: Ns,
    /// Timer overhead on a machine's core, on top of an RPC's work; not jittered.
    pub over: Ns,
}

impl Default for Latencies {
    /// Two zones of one site, with clients near it.
    fn default() -> Latencies {
        Latencies { same: MS / 5, cross: MS, client: MS / 2, controller: 20 * MS, over: 0 }
    }
}

/// Periods of the controller's tick and of machine heartbeats, the same as in deployments on sockets.
const CONTROLLER_PERIOD: Ns = 50 * MS;
const HEARTBEAT_PERIOD: Ns = SEC / 2;
/// Delay between the decision to start a machine's process and its start.
const MACHINE_START_TIME: Ns = SEC / 2;
/// Time until a pick at a machine without a process fails.
const REFUSED_AFTER: Ns = MS;
/// Connect timeout towards a machine that accepts no more connections.
const CONNECT_TIMEOUT: Ns = 250 * MS;

/// Tuple variants of a front begin with the front and its incarnation; those of a machine with the machine and
/// its run.
enum Event {
    ClientArrival,
    /// The id of the delayed retry.
    ClientRetry(u64),
    /// Front, attempt.
    RequestArrives(u32, u64),
    FrontTimer(u32, u32, u64),
    PickArrives {
        front: u32,
        call: u64,
        machine: u32,
        run: u32,
    },
    MachineTimer(u32, u32, u64),
    PickEnded {
        front: u32,
        incarnation: u32,
        call: u64,
        outcome: PickOutcome,
        right: bool,
    },
    PickTimeout(u32, u32, u64),
    ClientReply(u64, AttemptOutcome, Ns),
    ClientTimeout(u64),
    ClientDisconnected(u32, u32, u64),
    PickAbandoned(u32, u32, u64),
    ControllerTick,
    Heartbeats,
    RolloutUpdate(u32, u32, RolloutStatus),
    RosterUpdate(u32, u32, RosterUpdate, Rc<Vec<Member>>),
    PickCounts(u32, u32, Rc<Vec<[u32; 4]>>),
    TenantSums(u32, u32, Ns, Rc<Vec<(u32, [u32; 3])>>),
    Vote(u32, u32, u32, u32, Verdict, u64),
    VoteReply(u32, u32, ControllerReply, Option<RolloutStatus>, u64),
    /// Sender, receiver, the receiver's incarnation.
    Note(u32, u32, u32, Rc<Vec<u8>>),
    Dispute(u32, u32, u32, Ns),
    /// Index into the script.
    ScriptAct(usize),
    FrontStart(u32),
    /// Place, build.
    MachineStart(usize, u32),
    MachineKill(u32),
}

/// The component that the time spent on an event is charged to.
fn component(event: &Event) -> Component {
    match event {
        Event::ClientArrival | Event::ClientRetry(_) | Event::ClientReply(..) | Event::ClientTimeout(_) => {
            Component::Clients
        }
        Event::PickArrives { .. } | Event::MachineTimer(..) | Event::PickAbandoned(..) => Component::Machines,
        Event::ControllerTick | Event::Heartbeats | Event::Vote(..) | Event::ScriptAct(_) => {
            Component::Controller
        }
        Event::MachineStart(..) | Event::MachineKill(_) => Component::Machines,
        _ => Component::Fronts,
    }
}

/// Ordered by time, then by serial, so that events of the same time run in the order they were scheduled in.
struct QueuedEvent(Ns, u64, Event);

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &QueuedEvent) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &QueuedEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &QueuedEvent) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// What a machine needs of a pick: the fields of its record and the front that its reply goes to.
#[derive(Clone, Copy)]
struct PickTag {
    rpc: u64,
    attempt: u32,
    method: u16,
    front: u32,
    incarnation: u32,
    key: u64,
}

struct Machine {
    name: String,
    tag: u32,
    place: usize,
    zone: usize,
    build: u32,
    /// Increases with every start and kill of the process.
    run: u32,
    model: Option<MachineModel<PickTag>>,
    /// Unreachable though its process runs: it accepts picks, but sends neither replies nor heartbeats.
    silent: bool,
    leaving: bool,
    member: Member,
}

/// One attempt of a client's RPC at a front.
struct Attempt {
    rpc: Rpc,
    front: u32,
    incarnation: u32,
    /// The deadline sent to the front.
    announced_deadline: Ns,
    /// When the client abandons the attempt.
    client_deadline: Ns,
    /// When the simulation checks for that: with a grace for the front's reply, unless the client leaves early.
    timeout_at: Ns,
}

/// The configuration of one run.
#[derive(Clone)]
pub struct Day {
    pub settings: Settings,
    pub load: Load,
    /// Mean work of an RPC, ms.
    pub work_ms: f64,
    pub retries: u32,
    /// Acts and their times in seconds from the first client arrival.
    pub script: Vec<(f64, ScriptAction)>,
    pub seconds: f64,
    pub seed: u64,
    /// Record all client and machine events for the checker.
    pub check: bool,
    /// Baseline for comparison: fronts with plain round robin over all machines, three retries and no votes.
    pub plain: bool,
    pub arrivals: Arrivals,
    pub latencies: Latencies,
    /// Profile the real time by component.
    pub profile: bool,
    /// Limits by tenant; none: tenants are not limited.
    pub limits: Option<TenantLimits>,
}

/// Tenant limits.
#[derive(Clone, Debug, Default)]
pub struct TenantLimits {
    /// RPCs a second over all fronts, for each of the three tenants; none: no rate limit.
    pub rates: [Option<f64>; 3],
    /// Whether the controller sums the demand of all fronts and sends it to them.
    pub share_sums: bool,
}

/// The three tenants of the clients, loaded as from an LDAP directory.
fn tenants(rates: &[Option<f64>; 3]) -> Rc<Tenants> {
    let mut directory = Directory::new(EntryMapping::default());
    directory.apply(0, ContentUpdate::RefreshStarted);
    for (i, rate) in rates.iter().enumerate() {
        let attribute = |kind: &str, value: String| Attribute {
            kind: kind.as_bytes().to_vec().into(),
            values: vec![value.into_bytes().into()].into(),
        };
        let mut attributes =
            vec![attribute("objectClass", "organization".into()), attribute("o", format!("firm-{i}"))];
        attributes.extend(rate.map(|r| attribute("rockpickRate", r.to_string())));
        let entry = LdapEntry { dn: format!("o=firm-{i}").into_bytes().into(), attributes };
        directory.apply(0, ContentUpdate::Entry { uuid: [i as u8; 16], entry });
    }
    directory.apply(0, ContentUpdate::RefreshCompleted { complete: true });
    Rc::new((**directory.version()).clone())
}

/// A simulated fleet and the day it runs through.
pub struct World {
    pub settings: Settings,
    pub clients: ClientModel,
    now: Ns,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    serial: u64,
    rng: StdRng,
    fronts: Vec<FrontNode>,
    machines: Vec<Machine>,
    /// Index into `machines` by place and build.
    machine_index: HashMap<(usize, u32), u32>,
    last_call: u64,
    /// Picks in flight by call id: front, RPC's slot, index of the pick, machine.
    open_picks: HashMap<u64, (u32, usize, usize, u32)>,
    attempts: HashMap<u64, Attempt>,
    /// The last id given to an attempt, a delayed retry or a vote.
    last_id: u64,
    delayed_retries: HashMap<u64, Rpc>,
    release: Release,
    roster: Roster,
    wanted: Running,
    /// Machines about to start, by place and build.
    starting: BTreeMap<(usize, u32), Ns>,
    /// The roster's serial as of the last update sent to the fronts.
    sent_roster_serial: u64,
    status_sent_at: Ns,
    counts_sent_at: Ns,
    /// Picks and failed picks by build and method, summed since the last update sent.
    pick_counts: BTreeMap<(u32, usize), [u32; 2]>,
    /// Token bucket that limits the votes taken a second.
    vote_tokens: f64,
    vote_tokens_at: Ns,
    controller_stopped_until: Ns,
    bad_builds: BTreeMap<u32, Defect>,
    shared_slowdown: f64,
    note_delivery: DatagramFaults,
    partitioned: bool,
    latencies: Latencies,
    /// The tenants; none if they are not limited.
    tenants: Option<Rc<Tenants>>,
    share_tenant_sums: bool,
    tenant_sums: BTreeMap<u32, [u32; 3]>,
    /// Utility requested and utility served in time, by tenant.
    tenant_utility: [[f64; 2]; 3],
    /// The same by second of the RPC's first attempt.
    tenant_utility_by_second: Vec<[[f64; 2]; 3]>,
    profile: Profiler,
    fleet_fault: Option<Fault>,
    script: Vec<(f64, ScriptAction)>,
    duration: Ns,
    check: bool,
    plain: bool,
    pub evidence: Evidence,
    pub events: u64,
    /// Log lines of the decision modules.
    pub log: Vec<String>,
    /// Whether machines start cold. The initial ones are taken to have run for long.
    start_cold: bool,
}

/// The result of a run.
pub struct Outcome {
    pub totals: ClientTotals,
    pub evidence: Evidence,
    pub events: u64,
    pub virtual_seconds: f64,
    /// Log lines of the decision modules.
    pub log: Vec<String>,
    /// Latency of ok RPCs from the time when they were due, in us.
    pub times: Histogram<u64>,
    pub profile: Profiler,
    /// Utility requested and utility served in time, by tenant.
    pub tenant_utility: [[f64; 2]; 3],
    pub tenant_utility_by_second: Vec<[[f64; 2]; 3]>,
}

/// Collects the output of one call into a machine's model.
struct MachineContext<'a> {
    now: Ns,
    machine: u32,
    run: u32,
    build: u32,
    lines: Option<&'a mut Vec<MachineRecord>>,
    replies: Vec<(u64, PickTag, Reply)>,
    wakes: Vec<(Ns, u64)>,
    fell: Option<(f64, f64, Ns)>,
}

impl Environment<PickTag> for MachineContext<'_> {
    fn record(&mut self, did: JobEvent, tag: &PickTag) {
        if let Some(lines) = &mut self.lines {
            lines.push(MachineRecord {
                t: self.now,
                machine: self.machine,
                build: self.build,
                rpc: tag.rpc,
                attempt: tag.attempt,
                method: tag.method,
                front: tag.front as u16,
                key: Some(tag.key),
                event: did,
            });
        }
    }
    fn collapsed(&mut self, sent: f64, budget: f64, age: Ns) {
        self.fell = Some((sent, budget, age));
    }
    fn reply(&mut self, conn: u64, tag: &PickTag, reply: Reply) {
        self.replies.push((conn, *tag, reply));
    }
    fn set_timer(&mut self, at: Ns, serial: u64) {
        self.wakes.push((at, serial));
    }
}

impl World {
    /// Sets up a fleet at the settings' places, running the first build with warm machines, and the day's script.
    ///
    /// # Errors
    /// Invalid settings, or clients that can't be set up.
    pub fn new(day: Day) -> Result<World, String> {
        let Day {
            settings,
            load,
            work_ms,
            retries,
            script,
            seconds,
            seed,
            check,
            plain,
            arrivals,
            latencies,
            profile,
            limits,
        } = day;
        if let Some(wrong) = settings.validate().first() {
            return Err(format!("{}: {}", wrong.field, wrong.why));
        }
        let fronts = settings.fronts.len();
        let clients = ClientModel::new(settings.clone(), load, arrivals, fronts, retries, work_ms, seed)?;
        let release = Release::new(&settings);
        let mut world = World {
            clients,
            now: 0,
            queue: BinaryHeap::new(),
            serial: 0,
            rng: StdRng::seed_from_u64(seed ^ 0xe311),
            fronts: (0..fronts).map(|_| FrontNode::default()).collect(),
            machines: Vec::new(),
            machine_index: HashMap::new(),
            last_call: 0,
            open_picks: HashMap::new(),
            attempts: HashMap::new(),
            last_id: 0,
            delayed_retries: HashMap::new(),
            release,
            roster: Roster::default(),
            wanted: Running::new(),
            starting: BTreeMap::new(),
            sent_roster_serial: 0,
            status_sent_at: 0,
            counts_sent_at: 0,
            pick_counts: BTreeMap::new(),
            vote_tokens: f64::MAX,
            vote_tokens_at: 0,
            controller_stopped_until: 0,
            bad_builds: BTreeMap::new(),
            shared_slowdown: 0.0,
            note_delivery: DatagramFaults::default(),
            partitioned: false,
            latencies,
            tenants: limits.as_ref().map(|l| tenants(&l.rates)),
            share_tenant_sums: limits.is_some_and(|l| l.share_sums),
            tenant_sums: BTreeMap::new(),
            tenant_utility: [[0.0; 2]; 3],
            tenant_utility_by_second: Vec::new(),
            profile: if profile { Profiler::started() } else { Profiler::default() },
            fleet_fault: None,
            script,
            duration: (seconds * SEC as f64) as Ns,
            check,
            plain,
            evidence: Evidence { clients_complete: true, ..Evidence::default() },
            events: 0,
            log: Vec::new(),
            start_cold: false,
            settings,
        };
        for place in 0..world.settings.places.len() {
            world.start_machine(place, world.settings.first_build);
        }
        world.start_cold = true;
        world.controller_tick();
        for front in 0..fronts as u32 {
            world.fronts[front as usize].zone =
                world.settings.zone_index(&world.settings.fronts[front as usize].zone) as usize;
            world.start_front(front);
        }
        world.send_status();
        // Clients begin after the roster and the rollout status have reached all fronts.
        world.clients.schedule.begin_at(SEC);
        world.schedule(SEC, Event::ClientArrival);
        world.schedule(CONTROLLER_PERIOD, Event::ControllerTick);
        world.schedule(HEARTBEAT_PERIOD, Event::Heartbeats);
        for i in 0..world.script.len() {
            let at = SEC + (world.script[i].0 * SEC as f64) as Ns;
            world.schedule(at, Event::ScriptAct(i));
        }
        Ok(world)
    }

    fn schedule(&mut self, at: Ns, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse(QueuedEvent(at, self.serial, event)));
    }

    fn with_jitter(&mut self, base: Ns) -> Ns {
        base + self.rng.random_range(0..=base / 2)
    }

    fn machine_latency(&mut self, front: u32, machine: u32) -> Ns {
        let same = self.fronts[front as usize].zone == self.machines[machine as usize].zone;
        self.with_jitter(if same { self.latencies.same } else { self.latencies.cross })
    }

    /// Runs the day to its end, and on for up to 60 s until all open RPCs have ended.
    pub fn run(mut self) -> Outcome {
        let end = SEC + self.duration;
        while let Some(Reverse(QueuedEvent(at, _, event))) = self.queue.pop() {
            let finished = at > end && self.attempts.is_empty() && self.delayed_retries.is_empty();
            if finished || at > end + 60 * SEC {
                break;
            }
            self.now = self.now.max(at);
            self.events += 1;
            let component = component(&event);
            self.profile.charge(Component::Heap);
            self.handle(event);
            self.profile.charge(component);
        }
        if !self.attempts.is_empty() {
            self.evidence.clients_complete = false;
        }
        self.evidence.machine_names = self.machines.iter().map(|m| (m.name.clone(), Some(m.place))).collect();
        Outcome {
            totals: self.clients.totals.clone(),
            evidence: self.evidence,
            events: self.events,
            virtual_seconds: self.now as f64 / SEC as f64,
            log: self.log,
            times: self.clients.times,
            profile: self.profile,
            tenant_utility: self.tenant_utility,
            tenant_utility_by_second: self.tenant_utility_by_second,
        }
    }

    fn handle(&mut self, event: Event) {
        // Events for a stopped front are delayed until it continues.
        let front = match &event {
            Event::RequestArrives(f, _)
            | Event::FrontTimer(f, ..)
            | Event::PickTimeout(f, ..)
            | Event::ClientDisconnected(f, ..)
            | Event::RolloutUpdate(f, ..) => Some(*f),
            Event::PickEnded { front, .. } => Some(*front),
            Event::RosterUpdate(f, ..)
            | Event::TenantSums(f, ..)
            | Event::PickCounts(f, ..)
            | Event::VoteReply(f, ..)
            | Event::Dispute(f, ..) => Some(*f),
            Event::Note(_, f, ..) => Some(*f),
            _ => None,
        };
        if let Some(resume_at) =
            front.map(|f| self.fronts[f as usize].stopped_until).filter(|s| *s > self.now)
        {
            return self.schedule(resume_at, event);
        }
        match event {
            Event::ClientArrival => self.arrive(),
            Event::ClientRetry(id) => {
                if let Some(rpc) = self.delayed_retries.remove(&id) {
                    self.send(rpc);
                }
            }
            Event::RequestArrives(front, attempt) => self.request_arrives(front, attempt),
            Event::FrontTimer(front, incarnation, tag) => {
                self.with_module(front, incarnation, |f, ctl| f.timer_fired(ctl, tag))
            }
            Event::PickArrives { front, call, machine, run } => self.pick_arrives(front, call, machine, run),
            Event::MachineTimer(machine, run, serial) => {
                self.with_machine(machine, run, |model, now, context| {
                    if serial & DELAYED != 0 {
                        model.send_delayed(context, serial)
                    } else {
                        model.finish(now, context, serial)
                    }
                })
            }
            Event::PickEnded { front, incarnation, call, outcome, right } => {
                self.pick_ended(front, incarnation, call, outcome, right)
            }
            Event::PickTimeout(front, incarnation, call) => {
                if let Some((f, _, _, machine)) = self.open_picks.get(&call).copied().filter(|p| p.0 == front)
                {
                    let run = self.machines[machine as usize].run;
                    let latency = self.machine_latency(f, machine);
                    self.schedule(self.now + latency, Event::PickAbandoned(machine, run, call));
                    self.pick_ended(front, incarnation, call, PickOutcome::TimedOut, false);
                }
            }
            Event::ClientReply(attempt, how, wait) => self.reply_received(attempt, how, wait),
            Event::ClientTimeout(attempt) => self.client_timed_out(attempt),
            Event::ClientDisconnected(front, incarnation, attempt) => {
                let node = &mut self.fronts[front as usize];
                if let Some(rpc) = node
                    .rpc_ids
                    .rpc(attempt)
                    .filter(|r| node.incarnation == incarnation && !node.rpc_ids.finished(*r))
                {
                    node.rpc_ids.finish(rpc);
                    self.with_module(front, incarnation, |f, _| f.rpc_closed(rpc));
                    self.release_rpc(front, rpc);
                }
            }
            Event::PickAbandoned(machine, run, call) => {
                self.with_machine(machine, run, |model, _, context| model.connection_closed(context, call))
            }
            Event::ControllerTick => {
                self.controller_tick();
                self.schedule(self.now + CONTROLLER_PERIOD, Event::ControllerTick);
            }
            Event::Heartbeats => {
                self.heartbeats();
                self.schedule(self.now + HEARTBEAT_PERIOD, Event::Heartbeats);
            }
            Event::RolloutUpdate(front, incarnation, status) => {
                self.rollout_updated(front, incarnation, ControllerReply::News, Some(status))
            }
            Event::RosterUpdate(front, incarnation, kind, members) => {
                self.roster_updated(front, incarnation, kind, &members)
            }
            Event::PickCounts(front, incarnation, rows) => {
                for row in rows.iter() {
                    let [build, method, picks, bad] = *row;
                    self.with_module(front, incarnation, |f, ctl| {
                        f.platform_counted(ctl, build, method as usize, picks, bad)
                    });
                }
            }
            Event::TenantSums(front, incarnation, span, rows) => {
                let (now, node) = (self.now, &mut self.fronts[front as usize]);
                if let Some(limits) = node.limits.as_mut().filter(|_| node.incarnation == incarnation) {
                    limits.apply_global_counts(now, span, &rows);
                }
            }
            Event::Vote(front, incarnation, build, stage, verdict, id) => {
                self.vote(front, incarnation, build, stage, verdict, id)
            }
            Event::VoteReply(front, incarnation, reply, status, id) => {
                if self.fronts[front as usize].vote_in_flight == id {
                    self.fronts[front as usize].vote_in_flight = 0;
                    self.rollout_updated(front, incarnation, reply, status);
                }
            }
            Event::Note(from, to, incarnation, note) => {
                self.with_module(to, incarnation, |f, ctl| f.note_received(ctl, from as usize, &note));
            }
            Event::Dispute(front, incarnation, machine, sent) => {
                self.with_module(front, incarnation, |f, ctl| f.answer_disputed(ctl, machine as usize, sent));
            }
            Event::ScriptAct(i) => {
                let act = self.script[i].1.clone();
                self.run_act(&act);
            }
            Event::FrontStart(front) => {
                self.record_act("start", &self.settings.fronts[front as usize].name.clone());
                self.start_front(front);
            }
            Event::MachineStart(place, build) => self.start_machine(place, build),
            Event::MachineKill(machine) => self.kill_machine(machine),
        }
    }

    // Clients

    fn record_client(&mut self, rpc: &Rpc, front: u32, event: ClientEvent, late: bool) {
        if self.check {
            let (t, attempt, method) = (self.now, rpc.tries, rpc.method as u16);
            let front = front as u16;
            self.evidence.clients.push(ClientRecord { t, rpc: rpc.id, attempt, method, front, event, late });
        }
    }

    fn arrive(&mut self) {
        if self.now >= SEC + self.duration {
            return;
        }
        let rpc = self.clients.arrive();
        let (utility, tenant_index) = (self.clients.method(&rpc).utility, rpc.tenant % 3);
        self.tenant_utility[tenant_index][0] += utility;
        let second = ((self.now - SEC) / SEC).max(0) as usize;
        self.tenant_utility_by_second
            .resize(self.tenant_utility_by_second.len().max(second + 1), [[0.0; 2]; 3]);
        self.tenant_utility_by_second[second][tenant_index][0] += utility;
        // Ns::MAX: a replay has ended and has no further arrivals.
        if self.clients.schedule.due < Ns::MAX {
            self.schedule(self.clients.schedule.due, Event::ClientArrival);
        }
        self.send(rpc);
    }

    fn send(&mut self, mut rpc: Rpc) {
        let Some(sending) = self.clients.start_attempt(self.now, &mut rpc) else { return };
        let front = rpc.front as u32;
        self.record_client(&rpc, front, ClientEvent::Sent { leaves: rpc.leave }, false);
        self.last_id += 1;
        let id = self.last_id;
        let incarnation = self.fronts[front as usize].incarnation;
        let timeout_at = sending.check_at;
        let latency = self.with_jitter(self.latencies.client);
        if self.fronts[front as usize].front.is_none() {
            self.schedule(self.now + 2 * latency, Event::ClientReply(id, AttemptOutcome::Unreachable, -1));
        } else {
            self.schedule(self.now + latency, Event::RequestArrives(front, id));
            self.schedule(timeout_at, Event::ClientTimeout(id));
        }
        self.attempts.insert(
            id,
            Attempt {
                rpc,
                front,
                incarnation,
                announced_deadline: sending.stated_deadline,
                client_deadline: sending.give_up_at,
                timeout_at,
            },
        );
    }

    fn reply_received(&mut self, attempt: u64, how: AttemptOutcome, wait: Ns) {
        let Some(t) = self.attempts.remove(&attempt) else { return };
        let saw = match how {
            AttemptOutcome::Ok { right } => ClientEvent::Ok { right },
            AttemptOutcome::PushedBack => ClientEvent::PushedBack,
            AttemptOutcome::Aborted => ClientEvent::Aborted,
            AttemptOutcome::NotTaken => ClientEvent::Rejected,
            AttemptOutcome::Unreachable => ClientEvent::Unreachable,
            AttemptOutcome::Broken => ClientEvent::ConnectionLost,
            AttemptOutcome::GaveUp => ClientEvent::GaveUp,
        };
        let row = self.clients.method(&t.rpc);
        if how == (AttemptOutcome::Ok { right: true })
            && self.now - t.rpc.began <= row.soft_deadline_ms as Ns * MS
        {
            let (utility, tenant_index) = (row.utility, t.rpc.tenant % 3);
            self.tenant_utility[tenant_index][1] += utility;
            let second = ((t.rpc.began - SEC) / SEC).max(0) as usize;
            if let Some(row) = self.tenant_utility_by_second.get_mut(second) {
                row[tenant_index][1] += utility;
            }
        }
        self.record_client(&t.rpc, t.front, saw, self.now > t.timeout_at.max(t.client_deadline));
        self.attempt_ended(t.rpc, how, (wait >= 0).then_some(wait));
    }

    fn attempt_ended(&mut self, rpc: Rpc, how: AttemptOutcome, wait: Option<Ns>) {
        match self.clients.attempt_ended(self.now, rpc, how, wait) {
            NextStep::Done => {}
            NextStep::RetryAt(at, rpc) if at <= self.now => self.send(rpc),
            NextStep::RetryAt(at, rpc) => {
                self.last_id += 1;
                self.delayed_retries.insert(self.last_id, rpc);
                self.schedule(at, Event::ClientRetry(self.last_id));
            }
        }
    }

    fn client_timed_out(&mut self, attempt: u64) {
        let Some(t) = self.attempts.remove(&attempt) else { return };
        self.record_client(&t.rpc, t.front, ClientEvent::GaveUp, false);
        let latency = self.with_jitter(self.latencies.client);
        self.schedule(self.now + latency, Event::ClientDisconnected(t.front, t.incarnation, attempt));
        self.attempt_ended(t.rpc, AttemptOutcome::GaveUp, None);
    }

    // Fronts

    fn start_front(&mut self, front: u32) {
        let name = self.settings.fronts[front as usize].name.clone();
        let seed = self.rng.random();
        let Some(config) = self.settings.front_config(&name, seed) else { return };
        let now = self.now;
        let node = &mut self.fronts[front as usize];
        let (last_status, roster, zone) = (node.last_status, std::mem::take(&mut node.roster), node.zone);
        *node =
            FrontNode { incarnation: node.incarnation + 1, started_at: now, zone, ..FrontNode::default() };
        let common = UnknownCallers::Common { share: 1.0, rate: None };
        node.limits = self.tenants.is_some().then(|| {
            let utilities = self.settings.methods.iter().map(|m| m.utility).collect();
            Limits::new(now, self.settings.fronts.len(), common, utilities)
        });
        let incarnation = node.incarnation;
        let (mut actions, mut log) = (Vec::new(), Vec::new());
        node.front =
            Some(Front::start(config, &mut ActionBuffer { now, actions: &mut actions, log: &mut log }));
        self.carry_out(front, actions);
        if let Some(status) = last_status {
            self.rollout_updated(front, incarnation, ControllerReply::News, Some(status));
        }
        if !roster.is_empty() {
            self.roster_updated(front, incarnation, RosterUpdate::Saved, &roster);
        }
    }

    /// Calls a front's decision module and carries out the actions it returns.
    fn with_module(
        &mut self, front: u32, incarnation: u32, call: impl FnOnce(&mut Front, &mut ActionBuffer),
    ) {
        let node = &mut self.fronts[front as usize];
        if node.incarnation != incarnation || self.plain {
            return;
        }
        let Some(module) = &mut node.front else { return };
        let mut actions = Vec::new();
        self.profile.charge(Component::Fronts);
        call(module, &mut ActionBuffer { now: self.now, actions: &mut actions, log: &mut self.log });
        self.profile.charge(Component::Decisions);
        self.carry_out(front, actions);
    }

    fn carry_out(&mut self, front: u32, actions: Vec<Action>) {
        for action in actions {
            let incarnation = self.fronts[front as usize].incarnation;
            match action {
                Action::Pick(rpc, machine, time_out) => self.send_pick(front, rpc, machine, time_out),
                Action::Cancel(rpc, pick) => {
                    let open = self.fronts[front as usize].open[rpc].as_ref();
                    let call =
                        open.and_then(|o| o.picks.get(pick as usize)).filter(|p| p.in_flight).map(|p| p.call);
                    if let Some(call) = call {
                        self.schedule(
                            self.now,
                            Event::PickEnded {
                                front,
                                incarnation,
                                call,
                                outcome: PickOutcome::Cancelled,
                                right: false,
                            },
                        );
                    }
                }
                Action::PushBack(rpc, wait) => self.reply(front, rpc, AttemptOutcome::PushedBack, wait),
                Action::Abort(rpc) => self.reply(front, rpc, AttemptOutcome::Aborted, -1),
                Action::WakeAt(at, tag) => self.schedule(at, Event::FrontTimer(front, incarnation, tag)),
                Action::SendNote(peer, note) => {
                    let note = Rc::new(note);
                    for to in 0..self.fronts.len() as u32 {
                        if peer.map_or(to != front, |p| p == to) {
                            self.send_note(front, to, &note);
                        }
                    }
                }
                Action::Watch | Action::Fetch => {
                    let up = self.controller_stopped_until <= self.now;
                    let latency = self.with_jitter(self.latencies.controller);
                    if up {
                        let (status, members) = (self.status(), Rc::new(self.roster_members(None)));
                        self.schedule(self.now + latency, Event::RolloutUpdate(front, incarnation, status));
                        self.schedule(
                            self.now + latency,
                            Event::RosterUpdate(front, incarnation, RosterUpdate::Full, members),
                        );
                    } else {
                        self.schedule(
                            self.now + SEC,
                            Event::RosterUpdate(front, incarnation, RosterUpdate::Failed, Rc::default()),
                        );
                    }
                }
                Action::Vote(build, stage, verdict) => {
                    self.last_id += 1;
                    let id = self.last_id;
                    self.fronts[front as usize].vote_in_flight = id;
                    let latency = self.with_jitter(self.latencies.controller);
                    self.schedule(
                        self.now + latency,
                        Event::Vote(front, incarnation, build, stage, verdict, id),
                    );
                    let within = self.settings.rollout.call_timeout_ms as Ns * MS;
                    self.schedule(
                        self.now + within,
                        Event::VoteReply(front, incarnation, ControllerReply::TimedOut, None, id),
                    );
                }
            }
        }
    }

    /// Sends a note between fronts with the loss, duplication and delay in force.
    fn send_note(&mut self, front: u32, to: u32, note: &Rc<Vec<u8>>) {
        let (from, node) = (&self.fronts[front as usize], &self.fronts[to as usize]);
        if self.partitioned && from.zone != node.zone {
            return;
        }
        let incarnation = node.incarnation;
        for late in self.note_delivery.copies(&mut self.rng).into_iter().flatten() {
            let latency = self.with_jitter(self.latencies.cross);
            self.schedule(self.now + latency + late, Event::Note(front, to, incarnation, note.clone()));
        }
    }

    /// Sets which fronts can't reach a machine because of a partition.
    fn apply_partition(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        let Some(model) = &mut m.model else { return };
        let unreachable = self
            .fronts
            .iter()
            .zip(&self.settings.fronts)
            .filter(|(s, _)| self.partitioned && s.zone != m.zone);
        model.fault.cut = unreachable.map(|(_, f)| f.name.clone()).collect();
    }

    fn request_arrives(&mut self, front: u32, attempt: u64) {
        let Some(t) = self.attempts.get(&attempt) else { return };
        let margin = self.settings.guard.answer_margin_ms as Ns * MS;
        let in_time = restart::can_answer_in_time(t.announced_deadline - self.now, margin);
        let node = &mut self.fronts[front as usize];
        if node.incarnation != t.incarnation || node.front.is_none() {
            return self.reply_received(attempt, AttemptOutcome::Unreachable, -1);
        }
        let (method, key, tenant_key) = (t.rpc.method, t.rpc.key, t.rpc.tenant as u32);
        if !in_time {
            let latency = self.with_jitter(self.latencies.client);
            return self.schedule(
                self.now + latency,
                Event::ClientReply(attempt, AttemptOutcome::PushedBack, SEC / 4),
            );
        }
        let (deadline, incarnation, now) = (t.announced_deadline, node.incarnation, self.now);
        let mut tenant = None;
        if let (Some(limits), Some(tenants)) = (&mut node.limits, &self.tenants) {
            match limits.admit(now, tenants, Some(tenant_key), method) {
                Ok(id) => tenant = Some(id),
                Err(wait) => {
                    let latency = self.with_jitter(self.latencies.client);
                    return self.schedule(
                        self.now + latency,
                        Event::ClientReply(attempt, AttemptOutcome::PushedBack, wait),
                    );
                }
            }
        }
        let rpc = node.rpc_ids.open(attempt);
        if node.open.len() <= rpc {
            node.open.resize_with(rpc + 1, || None);
        }
        node.open[rpc] = Some(OpenRpc { attempt, method, deadline, picks: Vec::new(), tenant });
        self.with_module(front, incarnation, |f, ctl| {
            f.rpc_received(ctl, rpc, method, Some(key), deadline - margin)
        });
        if self.plain {
            self.plain_pick(front, rpc);
        }
        self.release_rpc(front, rpc);
    }

    fn send_pick(&mut self, front: u32, rpc: usize, machine: usize, time_out: Ns) {
        let (now, run) = (self.now, self.machines[machine].run);
        self.last_call += 1;
        let call = self.last_call;
        let build = self.machines[machine].member.build;
        let node = &mut self.fronts[front as usize];
        let incarnation = node.incarnation;
        let finished = node.rpc_ids.finished(rpc);
        let Some(open) = node.open[rpc].as_mut() else { return };
        let number = open.picks.len();
        open.picks.push(Pick { call, build, sent: now, in_flight: true });
        node.rpc_ids.pick_sent(rpc);
        self.open_picks.insert(call, (front, rpc, number, machine as u32));
        if finished || time_out <= 0 {
            return self.schedule(
                now,
                Event::PickEnded { front, incarnation, call, outcome: PickOutcome::Void, right: false },
            );
        }
        let latency = self.machine_latency(front, machine as u32);
        self.schedule(now + latency, Event::PickArrives { front, call, machine: machine as u32, run });
        self.schedule(now + time_out, Event::PickTimeout(front, incarnation, call));
    }

    /// A plain front's pick: the next machine in round-robin order, or an abort if the deadline has passed.
    fn plain_pick(&mut self, front: u32, rpc: usize) {
        let margin = self.settings.guard.answer_margin_ms as Ns * MS;
        let node = &mut self.fronts[front as usize];
        let up: Vec<usize> = node.roster.iter().filter(|m| m.state == State::Up).map(|m| m.machine).collect();
        let left = node.open[rpc].as_ref().map_or(0, |o| o.deadline - margin - self.now);
        if up.is_empty() || left <= 0 {
            return self.reply(front, rpc, AttemptOutcome::Aborted, -1);
        }
        node.next_machine += 1;
        let machine = up[(node.next_machine + front as usize) % up.len()];
        self.send_pick(front, rpc, machine, left);
    }

    fn reply(&mut self, front: u32, rpc: usize, how: AttemptOutcome, wait: Ns) {
        let node = &mut self.fronts[front as usize];
        let Some(open) = node.open[rpc].as_ref().filter(|_| !node.rpc_ids.finished(rpc)) else { return };
        let (attempt, tenant) = (open.attempt, open.tenant);
        let served = match how {
            AttemptOutcome::Ok { .. } => Some(true),
            AttemptOutcome::PushedBack => Some(false),
            _ => None,
        };
        if let (Some(limits), Some(tenant), Some(served)) = (&mut node.limits, tenant, served) {
            limits.finish(self.now, tenant, served);
        }
        node.rpc_ids.finish(rpc);
        // No reply is sent once the deadline has passed.
        if self.now < open.deadline {
            let latency = self.with_jitter(self.latencies.client);
            self.schedule(self.now + latency, Event::ClientReply(attempt, how, wait));
        }
    }

    fn pick_ended(&mut self, front: u32, incarnation: u32, call: u64, outcome: PickOutcome, right: bool) {
        let Some((f, rpc, number, _)) = self.open_picks.get(&call).copied() else { return };
        if f != front || self.fronts[front as usize].incarnation != incarnation {
            return;
        }
        self.open_picks.remove(&call);
        let (now, sample) = (self.now, self.rng.random::<f64>() < self.settings.rollout.tally_sample);
        let node = &mut self.fronts[front as usize];
        let Some(open) = node.open[rpc].as_mut() else { return };
        let method = open.method;
        let p = &mut open.picks[number];
        p.in_flight = false;
        let (took, build) = (now - p.sent, p.build);
        node.rpc_ids.pick_ended(rpc);
        if sample && outcome != PickOutcome::Cancelled {
            let count = node.pick_counts.entry((build, method)).or_default();
            *count = [count[0] + 1, count[1] + u32::from(outcome != PickOutcome::Ok)];
        }
        if outcome == PickOutcome::Ok {
            self.reply(front, rpc, AttemptOutcome::Ok { right }, -1);
        }
        let last = self.fronts[front as usize].rpc_ids.finished(rpc);
        self.with_module(front, incarnation, |f, ctl| f.pick_ended(ctl, rpc, number, outcome, took, last));
        if self.plain && !last {
            if number < PLAIN_RETRIES {
                self.plain_pick(front, rpc)
            } else {
                self.reply(front, rpc, AttemptOutcome::Aborted, -1)
            }
        }
        self.release_rpc(front, rpc);
    }

    fn release_rpc(&mut self, front: u32, rpc: usize) {
        let node = &mut self.fronts[front as usize];
        if node.rpc_ids.release(rpc) {
            node.open[rpc] = None;
        }
    }

    fn rollout_updated(
        &mut self, front: u32, incarnation: u32, reply: ControllerReply, status: Option<RolloutStatus>,
    ) {
        let window = self.settings.rollout.window_ms as Ns * MS;
        let now = self.now;
        let node = &mut self.fronts[front as usize];
        if node.incarnation != incarnation {
            return;
        }
        node.last_status = status.or(node.last_status);
        let mut effective = status;
        if let Some(status) = status {
            let (limited, recheck) = restart::limit_cap(status, node.started_at, now, window);
            effective = Some(limited);
            if let Some(at) = recheck.filter(|_| !node.recheck_scheduled) {
                node.recheck_scheduled = true;
                self.schedule(at, Event::RolloutUpdate(front, incarnation, status));
            }
        }
        self.with_module(front, incarnation, |f, ctl| f.rollout_updated(ctl, reply, effective));
    }

    fn roster_updated(&mut self, front: u32, incarnation: u32, kind: RosterUpdate, members: &[Member]) {
        let node = &mut self.fronts[front as usize];
        if node.incarnation != incarnation {
            return;
        }
        match kind {
            RosterUpdate::Failed => {}
            RosterUpdate::Changes => {
                for member in members {
                    match node.roster.iter_mut().find(|m| m.machine == member.machine) {
                        Some(m) => *m = member.clone(),
                        None => node.roster.push(member.clone()),
                    }
                }
                node.roster.retain(|m| m.state != State::Gone);
            }
            _ => node.roster = members.to_vec(),
        }
        self.with_module(front, incarnation, |f, ctl| f.roster_updated(ctl, kind, members));
    }

    // Machines

    fn with_machine(
        &mut self, machine: u32, run: u32,
        act: impl FnOnce(&mut MachineModel<PickTag>, Ns, &mut MachineContext),
    ) {
        let now = self.now;
        let m = &mut self.machines[machine as usize];
        if m.run != run || m.silent {
            return;
        }
        let Some(mut model) = m.model.take() else { return };
        let lines = self.check.then_some(&mut self.evidence.machines);
        let (replies, wakes) = (Vec::new(), Vec::new());
        let mut context =
            MachineContext { now, machine, run, build: m.build, lines, replies, wakes, fell: None };
        act(&mut model, now, &mut context);
        let MachineContext { replies, wakes, fell, run, .. } = context;
        m.model = Some(model);
        if let Some((sent, budget, age)) = fell {
            let name = &self.machines[machine as usize].name;
            let text = format!("{name} fell over at {} ms: sent {sent:.3} of {budget:.3}", age / MS);
            self.evidence.failed_machines.push(text);
        }
        for (at, serial) in wakes {
            self.schedule(at, Event::MachineTimer(machine, run, serial));
        }
        for (call, tag, reply) in replies {
            let (outcome, right) = match reply {
                Reply::Ok { right } => (PickOutcome::Ok, right),
                Reply::Error => (PickOutcome::Error, true),
                Reply::NeverRan => (PickOutcome::Full, true),
                Reply::Silence => continue,
                Reply::Reset | Reply::Half | Reply::WrongLength => (PickOutcome::Broken, true),
            };
            let latency = self.machine_latency(tag.front, machine);
            let (front, incarnation) = (tag.front, tag.incarnation);
            self.schedule(now + latency, Event::PickEnded { front, incarnation, call, outcome, right });
            if !right && self.rng.random::<f64>() < DISPUTE_SHARE {
                let later = self.rng.random_range(SEC / 2..2 * SEC);
                self.schedule(now + later, Event::Dispute(front, incarnation, machine, now));
            }
        }
    }

    fn pick_arrives(&mut self, front: u32, call: u64, machine: u32, run: u32) {
        let Some((_, rpc, ..)) = self.open_picks.get(&call).copied() else { return };
        let node = &self.fronts[front as usize];
        let incarnation = node.incarnation;
        let Some(open) = node.open[rpc].as_ref() else { return };
        let Some(t) = self.attempts.get(&open.attempt) else { return };
        let tag = PickTag {
            rpc: t.rpc.id,
            attempt: t.rpc.tries,
            method: t.rpc.method as u16,
            front,
            incarnation,
            key: t.rpc.key,
        };
        let last_method = t.rpc.method + 1 == self.settings.methods.len();
        let work = t.rpc.work_ms / 1e3 + self.latencies.over as f64 / SEC as f64;
        let until = open.deadline;
        let m = &mut self.machines[machine as usize];
        if m.run != run || m.model.is_none() {
            let outcome = PickOutcome::Unreachable;
            return self.schedule(
                self.now + REFUSED_AFTER,
                Event::PickEnded { front, incarnation, call, outcome, right: false },
            );
        }
        let name = &self.settings.fronts[front as usize].name;
        let Some(model) = &m.model else { return };
        if model.fault.is_partitioned_from(name) {
            return; // the pick ends by its timeout
        }
        let faulty = model.fault.affects(name);
        // Connections are limited; each RPC at the machine holds one.
        let at_connection_limit =
            model.fault.connections.is_some_and(|most| model.busy + model.waiting() >= most);
        if at_connection_limit {
            let outcome = PickOutcome::Unreachable;
            return self.schedule(
                self.now + CONNECT_TIMEOUT.min(REFUSED_AFTER),
                Event::PickEnded { front, incarnation, call, outcome, right: false },
            );
        }
        let job = Job::new(call, tag, work, until, last_method, faulty);
        self.with_machine(machine, run, |model, now, context| model.arrive(now, context, job));
    }

    fn start_machine(&mut self, place: usize, build: u32) {
        self.starting.remove(&(place, build));
        let zone = self.settings.zone_index(&self.settings.places[place].zone);
        let index = *self.machine_index.entry((place, build)).or_insert_with(|| {
            let name = format!("{}..{build}", self.settings.places[place].name);
            let tag = rockpick_id_table::tag(&name);
            self.machines.push(Machine {
                name,
                tag,
                place,
                zone: zone as usize,
                build,
                run: 0,
                model: None,
                silent: false,
                leaving: false,
                member: Member::default(),
            });
            self.machines.len() as u32 - 1
        });
        let g = &self.settings.guard;
        let p = &self.settings.places[place];
        let warm = !self.start_cold;
        let kind = MachineSettings {
            cores: p.weight.round().max(1.0) as usize,
            speed: 1.0,
            bad: self.bad_builds.get(&build).copied(),
            cold_from: g.cold_from,
            cold_time: if warm { 0 } else { g.cold_time_ms as Ns * MS },
            multiple: g.overload_factor,
            fall_time: g.fall_time_ms as Ns * MS,
        };
        let started = if warm { -3_600 * SEC } else { self.now };
        let seed = self.rng.random();
        let m = &mut self.machines[index as usize];
        if m.model.is_some() {
            return;
        }
        let mut model = MachineModel::new(kind, started, seed);
        if let Some(fault) = &self.fleet_fault {
            model.fault = fault.clone();
        }
        (m.run, m.model, m.silent, m.leaving) = (m.run + 1, Some(model), false, false);
        m.member = Member {
            machine: index as usize,
            tag: m.tag,
            zone,
            cell: p.cell,
            build,
            state: State::Up,
            weight: p.weight,
            started: Some(started),
        };
        self.apply_partition(index as usize);
        self.heartbeat(index);
    }

    fn kill_machine(&mut self, machine: u32) {
        let m = &mut self.machines[machine as usize];
        m.model = None;
        m.silent = false;
        m.run += 1;
        let mut open: Vec<(u64, u32)> =
            self.open_picks.iter().filter(|(_, p)| p.3 == machine).map(|(call, p)| (*call, p.0)).collect();
        open.sort_unstable();
        for (call, front) in open {
            let incarnation = self.fronts[front as usize].incarnation;
            let latency = self.machine_latency(front, machine);
            self.schedule(
                self.now + latency,
                Event::PickEnded { front, incarnation, call, outcome: PickOutcome::Broken, right: false },
            );
        }
    }

    // Controller

    fn status(&self) -> RolloutStatus {
        let (build, stage, phase, cap, since) = self.release.announcement(&self.settings);
        RolloutStatus { build, stage, phase, cap, since }
    }

    /// The roster's members: all that are present, or those changed after a serial.
    fn roster_members(&self, since: Option<u64>) -> Vec<Member> {
        let included = |m: &rockpick_control::roster::Machine| match since {
            Some(serial) => m.changed_serial > serial,
            None => m.state != State::Gone,
        };
        let member = |m: &rockpick_control::roster::Machine| {
            let index = self.machine_index[&(m.place, m.build)] as usize;
            let (state, started) = (m.state, Some(m.started));
            Member { state, started, ..self.machines[index].member.clone() }
        };
        self.roster.machines.values().filter(|m| included(m)).map(member).collect()
    }

    /// Slows all machines in proportion to the share of them that run a bad build.
    fn apply_shared_slowdown(&mut self) {
        let up = self.machines.iter().filter(|m| m.model.is_some()).count().max(1);
        let bad = |m: &&Machine| m.model.is_some() && self.bad_builds.contains_key(&m.build);
        let share = self.machines.iter().filter(bad).count() as f64 / up as f64;
        for model in self.machines.iter_mut().filter_map(|m| m.model.as_mut()) {
            model.fault.slow = 1.0 + 2.0 * self.shared_slowdown * share;
        }
    }

    fn heartbeats(&mut self) {
        if self.shared_slowdown > 0.0 {
            self.apply_shared_slowdown();
        }
        if self.controller_stopped_until > self.now {
            return;
        }
        for machine in 0..self.machines.len() as u32 {
            self.heartbeat(machine);
        }
    }

    fn heartbeat(&mut self, machine: u32) {
        let m = &self.machines[machine as usize];
        let Some(model) = m.model.as_ref().filter(|_| !m.silent && self.controller_stopped_until <= self.now)
        else {
            return;
        };
        let (name, place) = (m.name.clone(), self.settings.places[m.place].name.clone());
        let all = Running::from([(m.place, m.build)]);
        let want = if self.wanted.is_empty() { &all } else { &self.wanted };
        let heartbeat = Heartbeat {
            name: &name,
            addr: "",
            place: &place,
            build: m.build,
            run: u64::from(m.run),
            age: self.now - model.started,
            leaving: m.leaving,
            open_rpcs: (model.busy + model.waiting()) as u32,
        };
        if self.roster.heartbeat(self.now, &self.settings, want, heartbeat) == Ok(Order::Stop) {
            let run = u64::from(m.run);
            self.roster.mark_gone(&name, run);
            self.kill_machine(machine);
        }
    }

    fn controller_tick(&mut self) {
        let now = self.now;
        if self.controller_stopped_until > now {
            return;
        }
        let running = self.roster.running();
        self.wanted = self.release.wanted(&self.settings, &running);
        self.roster.sweep(now, &self.wanted);
        let running = self.roster.running();
        self.release.cold = self.roster.cold_machines(now, self.settings.guard.cold_time_ms as Ns * MS);
        let changed = self.release.tick(now, &self.settings, &running).is_some();
        let present = self.roster.present();
        let missing: Vec<(usize, u32)> =
            self.wanted.iter().filter(|w| !present.contains(w)).copied().collect();
        for (place, build) in missing {
            let runs = self
                .machine_index
                .get(&(place, build))
                .is_some_and(|m| self.machines[*m as usize].model.is_some());
            if !runs && !self.starting.contains_key(&(place, build)) {
                self.starting.insert((place, build), now + MACHINE_START_TIME);
                self.schedule(now + MACHINE_START_TIME, Event::MachineStart(place, build));
            }
        }
        let every = self.settings.rollout.told_every_ms as Ns * MS;
        if changed || now - self.status_sent_at >= every {
            self.send_status();
        }
        if self.roster.serial != self.sent_roster_serial {
            let members = Rc::new(self.roster_members(Some(self.sent_roster_serial)));
            self.sent_roster_serial = self.roster.serial;
            if self.check {
                let moves = members.iter().map(|l| (now, l.machine as u32, l.state == State::Up));
                self.evidence.roster_changes.extend(moves);
            }
            for front in 0..self.fronts.len() as u32 {
                let (incarnation, latency) =
                    (self.fronts[front as usize].incarnation, self.with_jitter(self.latencies.controller));
                self.schedule(
                    now + latency,
                    Event::RosterUpdate(front, incarnation, RosterUpdate::Changes, members.clone()),
                );
            }
        }
        let every = self.settings.rollout.tally_every_ms as Ns * MS;
        if every > 0 && now - self.counts_sent_at >= every {
            self.counts_sent_at = now;
            for node in &mut self.fronts {
                for (at, [picks, bad]) in std::mem::take(&mut node.pick_counts) {
                    let count = self.pick_counts.entry(at).or_default();
                    *count = [count[0] + picks, count[1] + bad];
                }
            }
            for node in self.fronts.iter_mut().filter(|_| self.share_tenant_sums) {
                for (id, s) in node.limits.as_mut().map_or(Vec::new(), Limits::take_counts) {
                    let sums = self.tenant_sums.entry(id).or_default();
                    (0..3).for_each(|i| sums[i] += s[i]);
                }
            }
            if !self.tenant_sums.is_empty() {
                let rows = Rc::new(std::mem::take(&mut self.tenant_sums).into_iter().collect::<Vec<_>>());
                for front in 0..self.fronts.len() as u32 {
                    let (incarnation, latency) = (
                        self.fronts[front as usize].incarnation,
                        self.with_jitter(self.latencies.controller),
                    );
                    self.schedule(now + latency, Event::TenantSums(front, incarnation, every, rows.clone()));
                }
            }
            let row = |((b, m), [picks, bad]): ((u32, usize), [u32; 2])| [b, m as u32, picks, bad];
            let rows: Rc<Vec<[u32; 4]>> =
                Rc::new(std::mem::take(&mut self.pick_counts).into_iter().map(row).collect());
            for front in 0..self.fronts.len() as u32 {
                let (incarnation, latency) =
                    (self.fronts[front as usize].incarnation, self.with_jitter(self.latencies.controller));
                self.schedule(now + latency, Event::PickCounts(front, incarnation, rows.clone()));
            }
        }
    }

    fn send_status(&mut self) {
        let status = self.status();
        self.status_sent_at = self.now;
        let phase = match status.phase {
            Phase::OnTrial => 0,
            Phase::Released => 1,
            _ => 2,
        };
        let (t, build, stage, cap) = (self.now, status.build, status.stage, status.cap);
        self.evidence.stages.push(StageRecord { t, build, stage, phase, cap });
        for front in 0..self.fronts.len() as u32 {
            let (incarnation, latency) =
                (self.fronts[front as usize].incarnation, self.with_jitter(self.latencies.controller));
            self.schedule(self.now + latency, Event::RolloutUpdate(front, incarnation, status));
        }
    }

    fn vote(&mut self, front: u32, incarnation: u32, build: u32, stage: u32, verdict: Verdict, id: u64) {
        if self.controller_stopped_until > self.now {
            return; // no reply: the vote ends by its timeout
        }
        let rate = self.settings.rollout.votes_a_second;
        let refill = (self.now - self.vote_tokens_at) as f64 / SEC as f64 * rate;
        self.vote_tokens = (self.vote_tokens + refill).min(2.0 * rate);
        self.vote_tokens_at = self.now;
        let name = self.settings.fronts[front as usize].name.clone();
        let control = self.settings.rollout.control();
        let counted = self.vote_tokens >= 1.0 && {
            self.vote_tokens -= 1.0;
            self.release.vote(self.now, control, &name, build, stage, verdict).is_ok()
        };
        let reply = if counted { ControllerReply::Counted } else { ControllerReply::Refused };
        let (status, latency) = (self.status(), self.with_jitter(self.latencies.controller));
        self.schedule(self.now + latency, Event::VoteReply(front, incarnation, reply, Some(status), id));
    }

    // The day's script

    fn record_act(&mut self, act: &str, who: &str) {
        self.evidence.actions.push(ProcessAction { t: self.now, action: act.into(), target: who.into() });
    }

    /// Machines with a running process, ordered by name.
    fn running_machines(&self) -> Vec<u32> {
        let mut up: Vec<u32> =
            (0..self.machines.len() as u32).filter(|m| self.machines[*m as usize].model.is_some()).collect();
        up.sort_by(|a, b| self.machines[*a as usize].name.cmp(&self.machines[*b as usize].name));
        up
    }

    fn run_act(&mut self, act: &ScriptAction) {
        let now = self.now;
        match act {
            ScriptAction::Offer { build, bad } => {
                if let Some(bad) = bad.as_deref().and_then(Defect::parse) {
                    self.bad_builds.insert(*build, bad);
                    if let Defect::Shared(size) = bad {
                        self.shared_slowdown = size;
                    }
                }
                if self.release.offer(now, *build).is_ok() {
                    self.send_status();
                }
            }
            ScriptAction::DrainMachine(nth) => {
                let up = self.running_machines();
                if let Some(m) = up.get(nth % up.len().max(1)) {
                    self.machines[*m as usize].leaving = true;
                    self.heartbeat(*m);
                }
            }
            ScriptAction::KillFront { front, down_ms } => {
                let name = self.settings.fronts[*front].name.clone();
                self.record_act("kill", &name);
                let node = &mut self.fronts[*front];
                node.front = None;
                let (incarnation, stopped_until) = (node.incarnation, node.stopped_until);
                node.incarnation += 1;
                node.stopped_until = stopped_until.min(now);
                // Connections of its clients and to machines are closed.
                let mut open: Vec<u64> = (self.attempts.iter())
                    .filter(|(_, t)| t.front == *front as u32 && t.incarnation == incarnation)
                    .map(|(id, _)| *id)
                    .collect();
                open.sort_unstable();
                for attempt in open {
                    let latency = self.with_jitter(self.latencies.client);
                    self.schedule(now + latency, Event::ClientReply(attempt, AttemptOutcome::Broken, -1));
                }
                let mut calls: Vec<(u64, u32)> = (self.open_picks.iter())
                    .filter(|(_, p)| p.0 == *front as u32)
                    .map(|(call, p)| (*call, p.3))
                    .collect();
                calls.sort_unstable();
                for (call, machine) in calls {
                    self.open_picks.remove(&call);
                    let (run, latency) =
                        (self.machines[machine as usize].run, self.machine_latency(*front as u32, machine));
                    self.schedule(now + latency, Event::PickAbandoned(machine, run, call));
                }
                self.schedule(now + *down_ms as Ns * MS, Event::FrontStart(*front as u32));
            }
            ScriptAction::StopFront { front, ms } => {
                let name = self.settings.fronts[*front].name.clone();
                let until = now + *ms as Ns * MS;
                self.record_act("stop", &name);
                self.evidence.actions.push(ProcessAction { t: until, action: "cont".into(), target: name });
                self.fronts[*front].stopped_until = until;
            }
            ScriptAction::StopController { ms } | ScriptAction::KillController { down_ms: ms } => {
                let until = now + *ms as Ns * MS;
                self.record_act("stop", "controller");
                self.evidence.actions.push(ProcessAction {
                    t: until,
                    action: "cont".into(),
                    target: "controller".into(),
                });
                self.controller_stopped_until = until;
            }
            // Agents are not emulated: builds keep running without them.
            ScriptAction::KillAgents { .. } => {}
            ScriptAction::Vanish { machine, ms } => {
                let up = self.running_machines();
                if let Some(m) = up.get(machine % up.len().max(1)).copied() {
                    self.machines[m as usize].silent = true;
                    self.schedule(now + *ms as Ns * MS, Event::MachineKill(m));
                }
            }
            ScriptAction::Fault { share, fault } => {
                let Ok(fault) = Fault::parse(fault) else { return };
                let up = self.running_machines();
                let count = (share * up.len() as f64).ceil() as usize;
                for m in up.into_iter().take(count) {
                    if let Some(model) = &mut self.machines[m as usize].model {
                        model.fault = fault.clone();
                    }
                    self.apply_partition(m as usize);
                }
                self.fleet_fault = (*share >= 1.0).then_some(fault);
            }
            ScriptAction::Heal => {
                self.fleet_fault = None;
                for m in 0..self.machines.len() {
                    if let Some(model) = &mut self.machines[m].model {
                        model.fault = Fault::default();
                    }
                    self.apply_partition(m);
                }
            }
            ScriptAction::Load(load) => {
                let _ = self.clients.schedule.load.change(load);
            }
            // The emulator's fronts form no peer group: of a storm's faults only stops and kills apply.
            ScriptAction::Storm { fault, begins: true, .. } => {
                let ms = ((fault.until - fault.from) / MS) as u64;
                match fault.fault {
                    StormFault::Stop { who } => self.run_act(&ScriptAction::StopFront { front: who, ms }),
                    StormFault::Kill { who, .. } | StormFault::Leave { who } => {
                        self.run_act(&ScriptAction::KillFront { front: who, down_ms: ms })
                    }
                    StormFault::Links { .. } | StormFault::Clock { .. } | StormFault::Disk { .. } => {}
                }
            }
            ScriptAction::Storm { begins: false, .. } => {}
            // Directory failures have no effect: there is no directory server in the emulator.
            ScriptAction::Directory(_) => {}
            ScriptAction::Datagrams(delivery) => self.note_delivery = *delivery,
            ScriptAction::Partition(partitioned) => {
                self.partitioned = *partitioned;
                for m in 0..self.machines.len() {
                    self.apply_partition(m);
                }
            }
        }
    }
}

/// Retries of a plain front, a common setting of proxies.
const PLAIN_RETRIES: usize = 3;
/// Share of wrong answers that clients dispute.
const DISPUTE_SHARE: f64 = 0.3;
