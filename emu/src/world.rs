//! The fleet: fronts, machines, clients and a controller, and the events between them.
use crate::parts::{Part, Watch};
use crate::seat::{Do, Gather, Open, Pick, Seat};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick::{
    Front, Member, Ns, Outcome as End, Phase, Reply as Word, RolloutStatus, RosterUpdate, State, Verdict,
};
use rockpick_control::release::{Release, Running};
use rockpick_control::roster::{Heartbeat, Order, Roster};
use rockpick_control::Settings;
use rockpick_front::restart;
use rockpick_ldap::message::{Attribute, Entry as Record};
use rockpick_ldap::ContentUpdate;
use rockpick_net::{MS, SEC};
use rockpick_rehearse::day::{Act, Carried};
use rockpick_rehearse::judge::{ClientLine, Deed, Evidence, MachineLine, Saw, Told};
use rockpick_standin::crowd::{Crowd, How, Load, Next, Rpc, Tolls};
use rockpick_standin::schedule::Arrivals;
use rockpick_standin::shop::{Bad, Did, Fault, Job, Kind, Reply, Shop, Yard, HELD};
use rockpick_storm::Fault as Fate;
use rockpick_tenant::{Directory, EntryMapping, Limits, Tenants, UnknownCallers};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

/// What things take on their way, each drawn up to half as much again.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Wires {
    /// One way between front and machine inside a zone, and across; from clients to fronts; from the
    /// controller to fronts, and back. Ns.
    pub same: Ns,
    pub cross: Ns,
    pub client: Ns,
    pub told: Ns,
    /// What a machine's timers take beyond the work, on its core. Ns.
    pub over: Ns,
}

impl Default for Wires {
    /// Two zones of one site, clients near it.
    fn default() -> Wires {
        Wires { same: MS / 5, cross: MS, client: MS / 2, told: 20 * MS, over: 0 }
    }
}

/// How often time passes at the controller, and how often machines beat: as on sockets.
const PASS: Ns = 50 * MS;
const BEAT: Ns = SEC / 2;
/// A machine's process starts after a while.
const BOOT: Ns = SEC / 2;
/// A pick at a machine that is not there comes back after this.
const REFUSED: Ns = MS;
/// Connections to a machine that hang are given up after this.
const CONNECT: Ns = 250 * MS;

enum Ev {
    Arrive,
    Again(u64),
    Take(u32, u64),
    Wake(u32, u32, u64),
    PickArrives { front: u32, call: u64, machine: u32, run: u32 },
    MachineWake(u32, u32, u64),
    Ended { front: u32, life: u32, call: u64, end: End, right: bool },
    TimeOut(u32, u32, u64),
    Answer(u64, How, Ns),
    GiveUp(u64),
    Gone(u32, u32, u64),
    Left(u32, u32, u64),
    Pass,
    Beats,
    Stage(u32, u32, RolloutStatus),
    Members(u32, u32, RosterUpdate, Rc<Vec<Member>>),
    Tally(u32, u32, Rc<Vec<[u32; 4]>>),
    Sums(u32, u32, Ns, Rc<Vec<(u32, [u32; 3])>>),
    Vote(u32, u32, u32, u32, Verdict, u64),
    Voted(u32, u32, Word, Option<RolloutStatus>, u64),
    Note(u32, u32, u32, Rc<Vec<u8>>),
    Dispute(u32, u32, u32, Ns),
    Act(usize),
    Start(u32),
    Boot(usize, u32),
    Kill(u32),
}

/// Whose work an event is.
fn part(ev: &Ev) -> Part {
    match ev {
        Ev::Arrive | Ev::Again(_) | Ev::Answer(..) | Ev::GiveUp(_) => Part::Clients,
        Ev::PickArrives { .. } | Ev::MachineWake(..) | Ev::Left(..) => Part::Machines,
        Ev::Pass | Ev::Beats | Ev::Vote(..) | Ev::Act(_) => Part::Controller,
        Ev::Boot(..) | Ev::Kill(_) => Part::Machines,
        _ => Part::Fronts,
    }
}

struct Entry(Ns, u64, Ev);

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// What of a pick goes into the record, and where its end goes.
#[derive(Clone, Copy)]
struct Tag {
    rpc: u64,
    attempt: u32,
    method: u16,
    front: u32,
    life: u32,
    key: u64,
}

struct Machine {
    name: String,
    tag: u32,
    place: usize,
    zone: usize,
    build: u32,
    /// Differs with every start.
    run: u32,
    shop: Option<Shop<Tag>>,
    /// Silent: takes picks, answers none, beats no more.
    silent: bool,
    leaving: bool,
    line: Member,
}

struct Try {
    rpc: Rpc,
    front: u32,
    life: u32,
    told: Ns,
    gives_up: Ns,
    look: Ns,
}

/// What is played.
#[derive(Clone)]
pub struct Day {
    pub charter: Settings,
    pub load: Load,
    /// Mean work of an RPC, ms.
    pub work_ms: f64,
    pub retries: u32,
    /// Acts by the second, from when clients begin.
    pub script: Vec<(f64, Act)>,
    pub seconds: f64,
    pub seed: u64,
    /// Keep all lines for the checker.
    pub check: bool,
    /// Plain fronts in place of ours, to set beside: round robin over all machines, three repeats, no vote.
    pub plain: bool,
    pub arrivals: Arrivals,
    pub wires: Wires,
    /// Measure where the real time goes.
    pub watch: bool,
    /// Limits by tenant, and whether fronts hear sums.
    pub limits: Option<Kept>,
}

/// How limits by tenant are kept: rates of the three tenants, and the controller's sums.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    pub rates: [Option<f64>; 3],
    pub sums: bool,
}

/// The three tenants of clients, as a directory would have them.
fn tenants(rates: &[Option<f64>; 3]) -> Rc<Tenants> {
    let mut directory = Directory::new(EntryMapping::default());
    directory.apply(0, ContentUpdate::RefreshStarted);
    for (i, rate) in rates.iter().enumerate() {
        let pair = |kind: &str, value: String| Attribute {
            kind: kind.as_bytes().to_vec().into(),
            values: vec![value.into_bytes().into()].into(),
        };
        let mut attributes = vec![pair("objectClass", "organization".into()), pair("o", format!("firm-{i}"))];
        attributes.extend(rate.map(|r| pair("rockpickRate", r.to_string())));
        let entry = Record { dn: format!("o=firm-{i}").into_bytes().into(), attributes };
        directory.apply(0, ContentUpdate::Entry { uuid: [i as u8; 16], entry });
    }
    directory.apply(0, ContentUpdate::RefreshCompleted { complete: true });
    Rc::new((**directory.version()).clone())
}

/// A fleet and its day.
pub struct World {
    pub charter: Settings,
    pub crowd: Crowd,
    now: Ns,
    heap: BinaryHeap<Reverse<Entry>>,
    serial: u64,
    chance: StdRng,
    seats: Vec<Seat>,
    machines: Vec<Machine>,
    named: HashMap<(usize, u32), u32>,
    calls: u64,
    /// Open calls: front, RPC's slot, pick.
    picks: HashMap<u64, (u32, usize, usize, u32)>,
    tries: HashMap<u64, Try>,
    attempts: u64,
    waiting: HashMap<u64, Rpc>,
    release: Release,
    roster: Roster,
    want: Running,
    booting: BTreeMap<(usize, u32), Ns>,
    told_serial: u64,
    told_at: Ns,
    tallied: Ns,
    counts: BTreeMap<(u32, usize), [u32; 2]>,
    bucket: f64,
    bucket_at: Ns,
    controller_still: Ns,
    bad: BTreeMap<u32, Bad>,
    shared: f64,
    carried: Carried,
    parted: bool,
    wires: Wires,
    /// The tenants, where limits are kept; sums of them on their way.
    tenants: Option<Rc<Tenants>>,
    sums: bool,
    summed: BTreeMap<u32, [u32; 3]>,
    /// Utility asked for and served in time, by tenant.
    firms: [[f64; 2]; 3],
    /// The same by second.
    firm_seconds: Vec<[[f64; 2]; 3]>,
    watch: Watch,
    fault_all: Option<Fault>,
    script: Vec<(f64, Act)>,
    lasts: Ns,
    check: bool,
    plain: bool,
    pub evidence: Evidence,
    pub events: u64,
    pub notes: Vec<String>,
    /// Machines start cold from now on; the first ones have run for long.
    cold: bool,
}

/// What came of a day.
pub struct Outcome {
    pub tolls: Tolls,
    pub evidence: Evidence,
    pub events: u64,
    pub virtual_seconds: f64,
    pub notes: Vec<String>,
    /// Times to ok, from when the RPC was due, us.
    pub times: Histogram<u64>,
    pub watch: Watch,
    /// Utility asked for and served in time, by tenant.
    pub firms: [[f64; 2]; 3],
    pub firm_seconds: Vec<[[f64; 2]; 3]>,
}

/// The machine's surroundings during one call.
struct Street<'a> {
    now: Ns,
    machine: u32,
    run: u32,
    build: u32,
    lines: Option<&'a mut Vec<MachineLine>>,
    replies: Vec<(u64, Tag, Reply)>,
    wakes: Vec<(Ns, u64)>,
    fell: Option<(f64, f64, Ns)>,
}

impl Yard<Tag> for Street<'_> {
    fn say(&mut self, did: Did, tag: &Tag) {
        if let Some(lines) = &mut self.lines {
            lines.push(MachineLine {
                t: self.now,
                machine: self.machine,
                build: self.build,
                rpc: tag.rpc,
                attempt: tag.attempt,
                method: tag.method,
                front: tag.front as u16,
                key: Some(tag.key),
                did,
            });
        }
    }
    fn fell(&mut self, sent: f64, budget: f64, age: Ns) {
        self.fell = Some((sent, budget, age));
    }
    fn reply(&mut self, conn: u64, tag: &Tag, reply: Reply) {
        self.replies.push((conn, *tag, reply));
    }
    fn wake(&mut self, at: Ns, serial: u64) {
        self.wakes.push((at, serial));
    }
}

impl World {
    /// A fleet on the charter's places, warm with its first build, and a day's script.
    ///
    /// # Errors
    /// A charter that does not hold, clients that can't be set up.
    pub fn new(day: Day) -> Result<World, String> {
        let Day {
            charter,
            load,
            work_ms,
            retries,
            script,
            seconds,
            seed,
            check,
            plain,
            arrivals,
            wires,
            watch,
            limits,
        } = day;
        if let Some(wrong) = charter.validate().first() {
            return Err(format!("{}: {}", wrong.field, wrong.why));
        }
        let fronts = charter.fronts.len();
        let crowd = Crowd::new(charter.clone(), load, arrivals, fronts, retries, work_ms, seed)?;
        let release = Release::new(&charter);
        let mut world = World {
            crowd,
            now: 0,
            heap: BinaryHeap::new(),
            serial: 0,
            chance: StdRng::seed_from_u64(seed ^ 0xe311),
            seats: (0..fronts).map(|_| Seat::default()).collect(),
            machines: Vec::new(),
            named: HashMap::new(),
            calls: 0,
            picks: HashMap::new(),
            tries: HashMap::new(),
            attempts: 0,
            waiting: HashMap::new(),
            release,
            roster: Roster::default(),
            want: Running::new(),
            booting: BTreeMap::new(),
            told_serial: 0,
            told_at: 0,
            tallied: 0,
            counts: BTreeMap::new(),
            bucket: f64::MAX,
            bucket_at: 0,
            controller_still: 0,
            bad: BTreeMap::new(),
            shared: 0.0,
            carried: Carried::default(),
            parted: false,
            wires,
            tenants: limits.as_ref().map(|l| tenants(&l.rates)),
            sums: limits.is_some_and(|l| l.sums),
            summed: BTreeMap::new(),
            firms: [[0.0; 2]; 3],
            firm_seconds: Vec::new(),
            watch: if watch { Watch::started() } else { Watch::default() },
            fault_all: None,
            script,
            lasts: (seconds * SEC as f64) as Ns,
            check,
            plain,
            evidence: Evidence { whole: true, ..Evidence::default() },
            events: 0,
            notes: Vec::new(),
            cold: false,
            charter,
        };
        for place in 0..world.charter.places.len() {
            world.boot(place, world.charter.first_build);
        }
        world.cold = true;
        world.pass();
        for front in 0..fronts as u32 {
            world.seats[front as usize].zone =
                world.charter.zone_index(&world.charter.fronts[front as usize].zone) as usize;
            world.start(front);
        }
        world.tell_stage();
        // Clients begin once all have heard of all.
        world.crowd.schedule.begin_at(SEC);
        world.at(SEC, Ev::Arrive);
        world.at(PASS, Ev::Pass);
        world.at(BEAT, Ev::Beats);
        for i in 0..world.script.len() {
            let at = SEC + (world.script[i].0 * SEC as f64) as Ns;
            world.at(at, Ev::Act(i));
        }
        Ok(world)
    }

    fn at(&mut self, at: Ns, ev: Ev) {
        self.serial += 1;
        self.heap.push(Reverse(Entry(at, self.serial, ev)));
    }

    fn jitter(&mut self, base: Ns) -> Ns {
        base + self.chance.random_range(0..=base / 2)
    }

    fn wire(&mut self, front: u32, machine: u32) -> Ns {
        let same = self.seats[front as usize].zone == self.machines[machine as usize].zone;
        self.jitter(if same { self.wires.same } else { self.wires.cross })
    }

    /// Plays the day to its end.
    pub fn run(mut self) -> Outcome {
        let end = SEC + self.lasts;
        while let Some(Reverse(Entry(at, _, ev))) = self.heap.pop() {
            let over = at > end && self.tries.is_empty() && self.waiting.is_empty();
            if over || at > end + 60 * SEC {
                break;
            }
            self.now = self.now.max(at);
            self.events += 1;
            let part = part(&ev);
            self.watch.lap(Part::Heap);
            self.event(ev);
            self.watch.lap(part);
        }
        if !self.tries.is_empty() {
            self.evidence.whole = false;
        }
        self.evidence.names = self.machines.iter().map(|m| (m.name.clone(), Some(m.place))).collect();
        Outcome {
            tolls: self.crowd.tolls.clone(),
            evidence: self.evidence,
            events: self.events,
            virtual_seconds: self.now as f64 / SEC as f64,
            notes: self.notes,
            times: self.crowd.times,
            watch: self.watch,
            firms: self.firms,
            firm_seconds: self.firm_seconds,
        }
    }

    fn event(&mut self, ev: Ev) {
        // A front that stands still meets what is for it once it goes on.
        let front = match &ev {
            Ev::Take(f, _) | Ev::Wake(f, ..) | Ev::TimeOut(f, ..) | Ev::Gone(f, ..) | Ev::Stage(f, ..) => {
                Some(*f)
            }
            Ev::Ended { front, .. } => Some(*front),
            Ev::Members(f, ..)
            | Ev::Sums(f, ..)
            | Ev::Tally(f, ..)
            | Ev::Voted(f, ..)
            | Ev::Dispute(f, ..) => Some(*f),
            Ev::Note(_, f, ..) => Some(*f),
            _ => None,
        };
        if let Some(still) = front.map(|f| self.seats[f as usize].still).filter(|s| *s > self.now) {
            return self.at(still, ev);
        }
        match ev {
            Ev::Arrive => self.arrive(),
            Ev::Again(id) => {
                if let Some(rpc) = self.waiting.remove(&id) {
                    self.send(rpc);
                }
            }
            Ev::Take(front, attempt) => self.take(front, attempt),
            Ev::Wake(front, life, tag) => self.call(front, life, |f, ctl| f.timer_fired(ctl, tag)),
            Ev::PickArrives { front, call, machine, run } => self.pick_arrives(front, call, machine, run),
            Ev::MachineWake(machine, run, serial) => self.shop(machine, run, |shop, now, street| {
                if serial & HELD != 0 {
                    shop.held_over(street, serial)
                } else {
                    shop.done(now, street, serial)
                }
            }),
            Ev::Ended { front, life, call, end, right } => self.ended(front, life, call, end, right),
            Ev::TimeOut(front, life, call) => {
                if let Some((f, _, _, machine)) = self.picks.get(&call).copied().filter(|p| p.0 == front) {
                    let run = self.machines[machine as usize].run;
                    let wire = self.wire(f, machine);
                    self.at(self.now + wire, Ev::Left(machine, run, call));
                    self.ended(front, life, call, End::TimedOut, false);
                }
            }
            Ev::Answer(attempt, how, wait) => self.answered(attempt, how, wait),
            Ev::GiveUp(attempt) => self.give_up(attempt),
            Ev::Gone(front, life, attempt) => {
                let seat = &mut self.seats[front as usize];
                if let Some(rpc) =
                    seat.door.rpc(attempt).filter(|r| seat.life == life && !seat.door.finished(*r))
                {
                    seat.door.finish(rpc);
                    self.call(front, life, |f, _| f.rpc_closed(rpc));
                    self.sweep(front, rpc);
                }
            }
            Ev::Left(machine, run, call) => {
                self.shop(machine, run, |shop, _, street| shop.left(street, call))
            }
            Ev::Pass => {
                self.pass();
                self.at(self.now + PASS, Ev::Pass);
            }
            Ev::Beats => {
                self.beats();
                self.at(self.now + BEAT, Ev::Beats);
            }
            Ev::Stage(front, life, news) => self.told(front, life, Word::News, Some(news)),
            Ev::Members(front, life, roll, lines) => self.members(front, life, roll, &lines),
            Ev::Tally(front, life, rows) => {
                for row in rows.iter() {
                    let [build, method, picks, bad] = *row;
                    self.call(front, life, |f, ctl| {
                        f.platform_counted(ctl, build, method as usize, picks, bad)
                    });
                }
            }
            Ev::Sums(front, life, span, rows) => {
                let (now, seat) = (self.now, &mut self.seats[front as usize]);
                if let Some(limits) = seat.limits.as_mut().filter(|_| seat.life == life) {
                    limits.apply_global_counts(now, span, &rows);
                }
            }
            Ev::Vote(front, life, build, stage, verdict, id) => {
                self.vote(front, life, build, stage, verdict, id)
            }
            Ev::Voted(front, life, word, news, id) => {
                if self.seats[front as usize].voting == id {
                    self.seats[front as usize].voting = 0;
                    self.told(front, life, word, news);
                }
            }
            Ev::Note(from, to, life, note) => {
                self.call(to, life, |f, ctl| f.note_received(ctl, from as usize, &note));
            }
            Ev::Dispute(front, life, machine, sent) => {
                self.call(front, life, |f, ctl| f.answer_disputed(ctl, machine as usize, sent));
            }
            Ev::Act(i) => {
                let act = self.script[i].1.clone();
                self.act(&act);
            }
            Ev::Start(front) => {
                self.deed("start", &self.charter.fronts[front as usize].name.clone());
                self.start(front);
            }
            Ev::Boot(place, build) => self.boot(place, build),
            Ev::Kill(machine) => self.kill_machine(machine),
        }
    }

    // ---- clients

    fn line(&mut self, rpc: &Rpc, front: u32, saw: Saw, late: bool) {
        if self.check {
            let (t, attempt, method) = (self.now, rpc.tries, rpc.method as u16);
            let front = front as u16;
            self.evidence.clients.push(ClientLine { t, rpc: rpc.id, attempt, method, front, saw, late });
        }
    }

    fn arrive(&mut self) {
        if self.now >= SEC + self.lasts {
            return;
        }
        let rpc = self.crowd.arrive();
        let (utility, firm) = (self.crowd.row(&rpc).utility, rpc.tenant % 3);
        self.firms[firm][0] += utility;
        let second = ((self.now - SEC) / SEC).max(0) as usize;
        self.firm_seconds.resize(self.firm_seconds.len().max(second + 1), [[0.0; 2]; 3]);
        self.firm_seconds[second][firm][0] += utility;
        // A replay that is over has nothing due any more.
        if self.crowd.schedule.due < Ns::MAX {
            self.at(self.crowd.schedule.due, Ev::Arrive);
        }
        self.send(rpc);
    }

    fn send(&mut self, mut rpc: Rpc) {
        let Some(sending) = self.crowd.begin(self.now, &mut rpc) else { return };
        let front = rpc.front as u32;
        self.line(&rpc, front, Saw::Sent { leaves: rpc.leave }, false);
        self.attempts += 1;
        let id = self.attempts;
        let life = self.seats[front as usize].life;
        let (told, gives_up, look) = (sending.told, sending.gives_up, sending.look);
        let wire = self.jitter(self.wires.client);
        if self.seats[front as usize].front.is_none() {
            self.at(self.now + 2 * wire, Ev::Answer(id, How::Unreachable, -1));
        } else {
            self.at(self.now + wire, Ev::Take(front, id));
            self.at(look, Ev::GiveUp(id));
        }
        self.tries.insert(id, Try { rpc, front, life, told, gives_up, look });
    }

    fn answered(&mut self, attempt: u64, how: How, wait: Ns) {
        let Some(t) = self.tries.remove(&attempt) else { return };
        let saw = match how {
            How::Ok { right } => Saw::Ok { right },
            How::PushedBack => Saw::PushedBack,
            How::Aborted => Saw::Aborted,
            How::NotTaken => Saw::NotTaken,
            How::Unreachable => Saw::Unreachable,
            How::Broken => Saw::Broken,
            How::GaveUp => Saw::GaveUp,
        };
        let row = self.crowd.row(&t.rpc);
        if how == (How::Ok { right: true }) && self.now - t.rpc.began <= row.soft_deadline_ms as Ns * MS {
            let (utility, firm) = (row.utility, t.rpc.tenant % 3);
            self.firms[firm][1] += utility;
            let second = ((t.rpc.began - SEC) / SEC).max(0) as usize;
            if let Some(row) = self.firm_seconds.get_mut(second) {
                row[firm][1] += utility;
            }
        }
        self.line(&t.rpc, t.front, saw, self.now > t.look.max(t.gives_up));
        self.after(t.rpc, how, (wait >= 0).then_some(wait));
    }

    fn after(&mut self, rpc: Rpc, how: How, wait: Option<Ns>) {
        match self.crowd.after(self.now, rpc, how, wait) {
            Next::Over => {}
            Next::At(at, rpc) if at <= self.now => self.send(rpc),
            Next::At(at, rpc) => {
                self.attempts += 1;
                self.waiting.insert(self.attempts, rpc);
                self.at(at, Ev::Again(self.attempts));
            }
        }
    }

    fn give_up(&mut self, attempt: u64) {
        let Some(t) = self.tries.remove(&attempt) else { return };
        self.line(&t.rpc, t.front, Saw::GaveUp, false);
        let wire = self.jitter(self.wires.client);
        self.at(self.now + wire, Ev::Gone(t.front, t.life, attempt));
        self.after(t.rpc, How::GaveUp, None);
    }

    // ---- fronts

    fn start(&mut self, front: u32) {
        let name = self.charter.fronts[front as usize].name.clone();
        let seed = self.chance.random();
        let Some(post) = self.charter.front_config(&name, seed) else { return };
        let now = self.now;
        let seat = &mut self.seats[front as usize];
        let (standing, roster, zone) = (seat.standing, std::mem::take(&mut seat.roster), seat.zone);
        *seat = Seat { life: seat.life + 1, born: now, zone, ..Seat::default() };
        let common = UnknownCallers::Common { share: 1.0, rate: None };
        seat.limits = self.tenants.is_some().then(|| {
            let utilities = self.charter.methods.iter().map(|m| m.utility).collect();
            Limits::new(now, self.charter.fronts.len(), common, utilities)
        });
        let life = seat.life;
        let (mut acts, mut notes) = (Vec::new(), Vec::new());
        seat.front = Some(Front::start(post, &mut Gather { now, acts: &mut acts, notes: &mut notes }));
        self.carry_out(front, acts);
        if let Some(news) = standing {
            self.told(front, life, Word::News, Some(news));
        }
        if !roster.is_empty() {
            self.members(front, life, RosterUpdate::Saved, &roster);
        }
    }

    /// Makes a call to a front's module and carries out what it says.
    fn call(&mut self, front: u32, life: u32, call: impl FnOnce(&mut Front, &mut Gather)) {
        let seat = &mut self.seats[front as usize];
        if seat.life != life || self.plain {
            return;
        }
        let Some(module) = &mut seat.front else { return };
        let mut acts = Vec::new();
        self.watch.lap(Part::Fronts);
        call(module, &mut Gather { now: self.now, acts: &mut acts, notes: &mut self.notes });
        self.watch.lap(Part::Decisions);
        self.carry_out(front, acts);
    }

    fn carry_out(&mut self, front: u32, acts: Vec<Do>) {
        for act in acts {
            let life = self.seats[front as usize].life;
            match act {
                Do::Pick(rpc, machine, time_out) => self.pick(front, rpc, machine, time_out),
                Do::Cancel(rpc, pick) => {
                    let open = self.seats[front as usize].open[rpc].as_ref();
                    let call =
                        open.and_then(|o| o.picks.get(pick as usize)).filter(|p| p.out).map(|p| p.call);
                    if let Some(call) = call {
                        self.at(self.now, Ev::Ended { front, life, call, end: End::Cancelled, right: false });
                    }
                }
                Do::PushBack(rpc, wait) => self.answer(front, rpc, How::PushedBack, wait),
                Do::Abort(rpc) => self.answer(front, rpc, How::Aborted, -1),
                Do::Wake(at, tag) => self.at(at, Ev::Wake(front, life, tag)),
                Do::Tell(peer, note) => {
                    let note = Rc::new(note);
                    for to in 0..self.seats.len() as u32 {
                        if peer.map_or(to != front, |p| p == to) {
                            self.carry(front, to, &note);
                        }
                    }
                }
                Do::Watch | Do::Fetch => {
                    let up = self.controller_still <= self.now;
                    let wire = self.jitter(self.wires.told);
                    if up {
                        let (news, lines) = (self.standing(), Rc::new(self.lines(None)));
                        self.at(self.now + wire, Ev::Stage(front, life, news));
                        self.at(self.now + wire, Ev::Members(front, life, RosterUpdate::Full, lines));
                    } else {
                        self.at(
                            self.now + SEC,
                            Ev::Members(front, life, RosterUpdate::Failed, Rc::default()),
                        );
                    }
                }
                Do::Vote(build, stage, verdict) => {
                    self.attempts += 1;
                    let id = self.attempts;
                    self.seats[front as usize].voting = id;
                    let wire = self.jitter(self.wires.told);
                    self.at(self.now + wire, Ev::Vote(front, life, build, stage, verdict, id));
                    let within = self.charter.rollout.call_timeout_ms as Ns * MS;
                    self.at(self.now + within, Ev::Voted(front, life, Word::TimedOut, None, id));
                }
            }
        }
    }

    /// A note on its way from front to front, as datagrams go at present.
    fn carry(&mut self, front: u32, to: u32, note: &Rc<Vec<u8>>) {
        let (from, seat) = (&self.seats[front as usize], &self.seats[to as usize]);
        if self.parted && from.zone != seat.zone {
            return;
        }
        let life = seat.life;
        for late in self.carried.copies(&mut self.chance).into_iter().flatten() {
            let wire = self.jitter(self.wires.cross);
            self.at(self.now + wire + late, Ev::Note(front, to, life, note.clone()));
        }
    }

    /// Sets which fronts a partition keeps from a machine.
    fn cut_off(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        let Some(shop) = &mut m.shop else { return };
        let far =
            self.seats.iter().zip(&self.charter.fronts).filter(|(s, _)| self.parted && s.zone != m.zone);
        shop.fault.cut = far.map(|(_, f)| f.name.clone()).collect();
    }

    fn take(&mut self, front: u32, attempt: u64) {
        let Some(t) = self.tries.get(&attempt) else { return };
        let margin = self.charter.guard.answer_margin_ms as Ns * MS;
        let in_time = restart::can_answer_in_time(t.told - self.now, margin);
        let seat = &mut self.seats[front as usize];
        if seat.life != t.life || seat.front.is_none() {
            return self.answered(attempt, How::Unreachable, -1);
        }
        let (method, key, firm) = (t.rpc.method, t.rpc.key, t.rpc.tenant as u32);
        if !in_time {
            let wire = self.jitter(self.wires.client);
            return self.at(self.now + wire, Ev::Answer(attempt, How::PushedBack, SEC / 4));
        }
        let (gives_up, life, now) = (t.told, seat.life, self.now);
        let mut tenant = None;
        if let (Some(limits), Some(tenants)) = (&mut seat.limits, &self.tenants) {
            match limits.admit(now, tenants, Some(firm), method) {
                Ok(id) => tenant = Some(id),
                Err(wait) => {
                    let wire = self.jitter(self.wires.client);
                    return self.at(self.now + wire, Ev::Answer(attempt, How::PushedBack, wait));
                }
            }
        }
        let rpc = seat.door.open(attempt);
        if seat.open.len() <= rpc {
            seat.open.resize_with(rpc + 1, || None);
        }
        seat.open[rpc] = Some(Open { attempt, method, gives_up, picks: Vec::new(), tenant });
        self.call(front, life, |f, ctl| f.rpc_received(ctl, rpc, method, Some(key), gives_up - margin));
        if self.plain {
            self.plain_pick(front, rpc);
        }
        self.sweep(front, rpc);
    }

    fn pick(&mut self, front: u32, rpc: usize, machine: usize, time_out: Ns) {
        let (now, run) = (self.now, self.machines[machine].run);
        self.calls += 1;
        let call = self.calls;
        let build = self.machines[machine].line.build;
        let seat = &mut self.seats[front as usize];
        let life = seat.life;
        let finished = seat.door.finished(rpc);
        let Some(open) = seat.open[rpc].as_mut() else { return };
        let number = open.picks.len();
        open.picks.push(Pick { call, build, sent: now, out: true });
        seat.door.pick_sent(rpc);
        self.picks.insert(call, (front, rpc, number, machine as u32));
        if finished || time_out <= 0 {
            return self.at(now, Ev::Ended { front, life, call, end: End::Void, right: false });
        }
        let wire = self.wire(front, machine as u32);
        self.at(now + wire, Ev::PickArrives { front, call, machine: machine as u32, run });
        self.at(now + time_out, Ev::TimeOut(front, life, call));
    }

    /// A plain front's pick: the next machine in turn, as long as there is time.
    fn plain_pick(&mut self, front: u32, rpc: usize) {
        let margin = self.charter.guard.answer_margin_ms as Ns * MS;
        let seat = &mut self.seats[front as usize];
        let up: Vec<usize> = seat.roster.iter().filter(|m| m.state == State::Up).map(|m| m.machine).collect();
        let left = seat.open[rpc].as_ref().map_or(0, |o| o.gives_up - margin - self.now);
        if up.is_empty() || left <= 0 {
            return self.answer(front, rpc, How::Aborted, -1);
        }
        seat.turn += 1;
        let machine = up[(seat.turn + front as usize) % up.len()];
        self.pick(front, rpc, machine, left);
    }

    fn answer(&mut self, front: u32, rpc: usize, how: How, wait: Ns) {
        let seat = &mut self.seats[front as usize];
        let Some(open) = seat.open[rpc].as_ref().filter(|_| !seat.door.finished(rpc)) else { return };
        let (attempt, tenant) = (open.attempt, open.tenant);
        let served = match how {
            How::Ok { .. } => Some(true),
            How::PushedBack => Some(false),
            _ => None,
        };
        if let (Some(limits), Some(tenant), Some(served)) = (&mut seat.limits, tenant, served) {
            limits.finish(self.now, tenant, served);
        }
        seat.door.finish(rpc);
        // One that would come after the client has given up is not sent.
        if self.now < open.gives_up {
            let wire = self.jitter(self.wires.client);
            self.at(self.now + wire, Ev::Answer(attempt, how, wait));
        }
    }

    fn ended(&mut self, front: u32, life: u32, call: u64, end: End, right: bool) {
        let Some((f, rpc, number, _)) = self.picks.get(&call).copied() else { return };
        if f != front || self.seats[front as usize].life != life {
            return;
        }
        self.picks.remove(&call);
        let (now, sample) = (self.now, self.chance.random::<f64>() < self.charter.rollout.tally_sample);
        let seat = &mut self.seats[front as usize];
        let Some(open) = seat.open[rpc].as_mut() else { return };
        let method = open.method;
        let p = &mut open.picks[number];
        p.out = false;
        let (took, build) = (now - p.sent, p.build);
        seat.door.pick_ended(rpc);
        if sample && end != End::Cancelled {
            let count = seat.counts.entry((build, method)).or_default();
            *count = [count[0] + 1, count[1] + u32::from(end != End::Ok)];
        }
        if end == End::Ok {
            self.answer(front, rpc, How::Ok { right }, -1);
        }
        let last = self.seats[front as usize].door.finished(rpc);
        self.call(front, life, |f, ctl| f.pick_ended(ctl, rpc, number, end, took, last));
        if self.plain && !last {
            if number < PLAIN_REPEATS {
                self.plain_pick(front, rpc)
            } else {
                self.answer(front, rpc, How::Aborted, -1)
            }
        }
        self.sweep(front, rpc);
    }

    fn sweep(&mut self, front: u32, rpc: usize) {
        let seat = &mut self.seats[front as usize];
        if seat.door.release(rpc) {
            seat.open[rpc] = None;
        }
    }

    fn told(&mut self, front: u32, life: u32, word: Word, news: Option<RolloutStatus>) {
        let window = self.charter.rollout.window_ms as Ns * MS;
        let now = self.now;
        let seat = &mut self.seats[front as usize];
        if seat.life != life {
            return;
        }
        seat.standing = news.or(seat.standing);
        let mut held = news;
        if let Some(news) = news {
            let (may, again) = restart::limit_cap(news, seat.born, now, window);
            held = Some(may);
            if let Some(at) = again.filter(|_| !seat.again) {
                seat.again = true;
                self.at(at, Ev::Stage(front, life, news));
            }
        }
        self.call(front, life, |f, ctl| f.rollout_updated(ctl, word, held));
    }

    fn members(&mut self, front: u32, life: u32, roll: RosterUpdate, lines: &[Member]) {
        let seat = &mut self.seats[front as usize];
        if seat.life != life {
            return;
        }
        match roll {
            RosterUpdate::Failed => {}
            RosterUpdate::Changes => {
                for line in lines {
                    match seat.roster.iter_mut().find(|m| m.machine == line.machine) {
                        Some(m) => *m = line.clone(),
                        None => seat.roster.push(line.clone()),
                    }
                }
                seat.roster.retain(|m| m.state != State::Gone);
            }
            _ => seat.roster = lines.to_vec(),
        }
        self.call(front, life, |f, ctl| f.roster_updated(ctl, roll, lines));
    }

    // ---- machines

    fn shop(&mut self, machine: u32, run: u32, act: impl FnOnce(&mut Shop<Tag>, Ns, &mut Street)) {
        let now = self.now;
        let m = &mut self.machines[machine as usize];
        if m.run != run || m.silent {
            return;
        }
        let Some(mut shop) = m.shop.take() else { return };
        let lines = self.check.then_some(&mut self.evidence.machines);
        let (replies, wakes) = (Vec::new(), Vec::new());
        let mut street = Street { now, machine, run, build: m.build, lines, replies, wakes, fell: None };
        act(&mut shop, now, &mut street);
        let Street { replies, wakes, fell, run, .. } = street;
        m.shop = Some(shop);
        if let Some((sent, budget, age)) = fell {
            let name = &self.machines[machine as usize].name;
            let what = format!("{name} fell over at {} ms: sent {sent:.3} of {budget:.3}", age / MS);
            self.evidence.fell.push(what);
        }
        for (at, serial) in wakes {
            self.at(at, Ev::MachineWake(machine, run, serial));
        }
        for (call, tag, reply) in replies {
            let (end, right) = match reply {
                Reply::Ok { right } => (End::Ok, right),
                Reply::Error => (End::Error, true),
                Reply::NeverRan => (End::Full, true),
                Reply::Silence => continue,
                Reply::Reset | Reply::Half | Reply::WrongLength => (End::Broken, true),
            };
            let wire = self.wire(tag.front, machine);
            let (front, life) = (tag.front, tag.life);
            self.at(now + wire, Ev::Ended { front, life, call, end, right });
            if !right && self.chance.random::<f64>() < DISPUTED {
                let later = self.chance.random_range(SEC / 2..2 * SEC);
                self.at(now + later, Ev::Dispute(front, life, machine, now));
            }
        }
    }

    fn pick_arrives(&mut self, front: u32, call: u64, machine: u32, run: u32) {
        let Some((_, rpc, ..)) = self.picks.get(&call).copied() else { return };
        let seat = &self.seats[front as usize];
        let life = seat.life;
        let Some(open) = seat.open[rpc].as_ref() else { return };
        let Some(t) = self.tries.get(&open.attempt) else { return };
        let tag = Tag {
            rpc: t.rpc.id,
            attempt: t.rpc.tries,
            method: t.rpc.method as u16,
            front,
            life,
            key: t.rpc.key,
        };
        let last_method = t.rpc.method + 1 == self.charter.methods.len();
        let work = t.rpc.work_ms / 1e3 + self.wires.over as f64 / SEC as f64;
        let until = open.gives_up;
        let m = &mut self.machines[machine as usize];
        if m.run != run || m.shop.is_none() {
            let end = End::Unreachable;
            return self.at(self.now + REFUSED, Ev::Ended { front, life, call, end, right: false });
        }
        let name = &self.charter.fronts[front as usize].name;
        let Some(shop) = &m.shop else { return };
        if shop.fault.cuts(name) {
            return; // the pick's time-out tells
        }
        let met = shop.fault.meets(name);
        // Connections are bounded: one for each RPC that it holds.
        let crowded = shop.fault.connections.is_some_and(|most| shop.busy + shop.waiting() >= most);
        if crowded {
            let end = End::Unreachable;
            return self
                .at(self.now + CONNECT.min(REFUSED), Ev::Ended { front, life, call, end, right: false });
        }
        let job = Job::new(call, tag, work, until, last_method, met);
        self.shop(machine, run, |shop, now, street| shop.arrived(now, street, job));
    }

    fn boot(&mut self, place: usize, build: u32) {
        self.booting.remove(&(place, build));
        let zone = self.charter.zone_index(&self.charter.places[place].zone);
        let index = *self.named.entry((place, build)).or_insert_with(|| {
            let name = format!("{}..{build}", self.charter.places[place].name);
            let tag = rockpick_id_table::tag(&name);
            self.machines.push(Machine {
                name,
                tag,
                place,
                zone: zone as usize,
                build,
                run: 0,
                shop: None,
                silent: false,
                leaving: false,
                line: Member::default(),
            });
            self.machines.len() as u32 - 1
        });
        let g = &self.charter.guard;
        let p = &self.charter.places[place];
        let warm = !self.cold;
        let kind = Kind {
            cores: p.weight.round().max(1.0) as usize,
            speed: 1.0,
            bad: self.bad.get(&build).copied(),
            cold_from: g.cold_from,
            cold_time: if warm { 0 } else { g.cold_time_ms as Ns * MS },
            multiple: g.overload_factor,
            fall_time: g.fall_time_ms as Ns * MS,
        };
        let born = if warm { -3_600 * SEC } else { self.now };
        let seed = self.chance.random();
        let m = &mut self.machines[index as usize];
        if m.shop.is_some() {
            return;
        }
        let mut shop = Shop::new(kind, born, seed);
        if let Some(fault) = &self.fault_all {
            shop.fault = fault.clone();
        }
        (m.run, m.shop, m.silent, m.leaving) = (m.run + 1, Some(shop), false, false);
        m.line = Member {
            machine: index as usize,
            tag: m.tag,
            zone,
            cell: p.cell,
            build,
            state: State::Up,
            weight: p.weight,
            started: Some(born),
        };
        self.cut_off(index as usize);
        self.beat(index);
    }

    fn kill_machine(&mut self, machine: u32) {
        let m = &mut self.machines[machine as usize];
        m.shop = None;
        m.silent = false;
        m.run += 1;
        let mut open: Vec<(u64, u32)> =
            self.picks.iter().filter(|(_, p)| p.3 == machine).map(|(call, p)| (*call, p.0)).collect();
        open.sort_unstable();
        for (call, front) in open {
            let life = self.seats[front as usize].life;
            let wire = self.wire(front, machine);
            self.at(self.now + wire, Ev::Ended { front, life, call, end: End::Broken, right: false });
        }
    }

    // ---- controller

    fn standing(&self) -> RolloutStatus {
        let (build, stage, phase, cap, since) = self.release.announcement(&self.charter);
        RolloutStatus { build, stage, phase, cap, since }
    }

    /// The roster's lines, whole or those that changed after a serial.
    fn lines(&self, since: Option<u64>) -> Vec<Member> {
        let fits = |m: &rockpick_control::roster::Machine| match since {
            Some(serial) => m.changed_serial > serial,
            None => m.state != State::Gone,
        };
        let line = |m: &rockpick_control::roster::Machine| {
            let index = self.named[&(m.place, m.build)] as usize;
            let (state, started) = (m.state, Some(m.started));
            Member { state, started, ..self.machines[index].line.clone() }
        };
        self.roster.machines.values().filter(|m| fits(m)).map(line).collect()
    }

    /// A build that slows all machines in step with its share of them.
    fn share_slowness(&mut self) {
        let up = self.machines.iter().filter(|m| m.shop.is_some()).count().max(1);
        let bad = |m: &&Machine| m.shop.is_some() && self.bad.contains_key(&m.build);
        let part = self.machines.iter().filter(bad).count() as f64 / up as f64;
        for shop in self.machines.iter_mut().filter_map(|m| m.shop.as_mut()) {
            shop.fault.slow = 1.0 + 2.0 * self.shared * part;
        }
    }

    fn beats(&mut self) {
        if self.shared > 0.0 {
            self.share_slowness();
        }
        if self.controller_still > self.now {
            return;
        }
        for machine in 0..self.machines.len() as u32 {
            self.beat(machine);
        }
    }

    fn beat(&mut self, machine: u32) {
        let m = &self.machines[machine as usize];
        let Some(shop) = m.shop.as_ref().filter(|_| !m.silent && self.controller_still <= self.now) else {
            return;
        };
        let (name, place) = (m.name.clone(), self.charter.places[m.place].name.clone());
        let all = Running::from([(m.place, m.build)]);
        let want = if self.want.is_empty() { &all } else { &self.want };
        let heartbeat = Heartbeat {
            name: &name,
            addr: "",
            place: &place,
            build: m.build,
            run: u64::from(m.run),
            age: self.now - shop.born,
            leaving: m.leaving,
            open_rpcs: (shop.busy + shop.waiting()) as u32,
        };
        if self.roster.heartbeat(self.now, &self.charter, want, heartbeat) == Ok(Order::Stop) {
            let run = u64::from(m.run);
            self.roster.mark_gone(&name, run);
            self.kill_machine(machine);
        }
    }

    fn pass(&mut self) {
        let now = self.now;
        if self.controller_still > now {
            return;
        }
        let running = self.roster.running();
        self.want = self.release.wanted(&self.charter, &running);
        self.roster.sweep(now, &self.want);
        let running = self.roster.running();
        self.release.cold = self.roster.cold_machines(now, self.charter.guard.cold_time_ms as Ns * MS);
        let moved = self.release.tick(now, &self.charter, &running).is_some();
        let present = self.roster.present();
        let missing: Vec<(usize, u32)> = self.want.iter().filter(|w| !present.contains(w)).copied().collect();
        for (place, build) in missing {
            let runs =
                self.named.get(&(place, build)).is_some_and(|m| self.machines[*m as usize].shop.is_some());
            if !runs && !self.booting.contains_key(&(place, build)) {
                self.booting.insert((place, build), now + BOOT);
                self.at(now + BOOT, Ev::Boot(place, build));
            }
        }
        let every = self.charter.rollout.told_every_ms as Ns * MS;
        if moved || now - self.told_at >= every {
            self.tell_stage();
        }
        if self.roster.serial != self.told_serial {
            let lines = Rc::new(self.lines(Some(self.told_serial)));
            self.told_serial = self.roster.serial;
            if self.check {
                let moves = lines.iter().map(|l| (now, l.machine as u32, l.state == State::Up));
                self.evidence.moves.extend(moves);
            }
            for front in 0..self.seats.len() as u32 {
                let (life, wire) = (self.seats[front as usize].life, self.jitter(self.wires.told));
                self.at(now + wire, Ev::Members(front, life, RosterUpdate::Changes, lines.clone()));
            }
        }
        let every = self.charter.rollout.tally_every_ms as Ns * MS;
        if every > 0 && now - self.tallied >= every {
            self.tallied = now;
            for seat in &mut self.seats {
                for (at, [picks, bad]) in std::mem::take(&mut seat.counts) {
                    let count = self.counts.entry(at).or_default();
                    *count = [count[0] + picks, count[1] + bad];
                }
            }
            for seat in self.seats.iter_mut().filter(|_| self.sums) {
                for (id, s) in seat.limits.as_mut().map_or(Vec::new(), Limits::take_counts) {
                    let sums = self.summed.entry(id).or_default();
                    (0..3).for_each(|i| sums[i] += s[i]);
                }
            }
            if !self.summed.is_empty() {
                let rows = Rc::new(std::mem::take(&mut self.summed).into_iter().collect::<Vec<_>>());
                for front in 0..self.seats.len() as u32 {
                    let (life, wire) = (self.seats[front as usize].life, self.jitter(self.wires.told));
                    self.at(now + wire, Ev::Sums(front, life, every, rows.clone()));
                }
            }
            let row = |((b, m), [picks, bad]): ((u32, usize), [u32; 2])| [b, m as u32, picks, bad];
            let rows: Rc<Vec<[u32; 4]>> =
                Rc::new(std::mem::take(&mut self.counts).into_iter().map(row).collect());
            for front in 0..self.seats.len() as u32 {
                let (life, wire) = (self.seats[front as usize].life, self.jitter(self.wires.told));
                self.at(now + wire, Ev::Tally(front, life, rows.clone()));
            }
        }
    }

    fn tell_stage(&mut self) {
        let news = self.standing();
        self.told_at = self.now;
        let phase = match news.phase {
            Phase::OnTrial => 0,
            Phase::Released => 1,
            _ => 2,
        };
        let (t, build, stage, cap) = (self.now, news.build, news.stage, news.cap);
        self.evidence.told.push(Told { t, build, stage, phase, cap });
        for front in 0..self.seats.len() as u32 {
            let (life, wire) = (self.seats[front as usize].life, self.jitter(self.wires.told));
            self.at(self.now + wire, Ev::Stage(front, life, news));
        }
    }

    fn vote(&mut self, front: u32, life: u32, build: u32, stage: u32, verdict: Verdict, id: u64) {
        if self.controller_still > self.now {
            return; // no answer: the time-out tells
        }
        let rate = self.charter.rollout.votes_a_second;
        let saved = (self.now - self.bucket_at) as f64 / SEC as f64 * rate;
        self.bucket = (self.bucket + saved).min(2.0 * rate);
        self.bucket_at = self.now;
        let name = self.charter.fronts[front as usize].name.clone();
        let control = self.charter.rollout.control();
        let counted = self.bucket >= 1.0 && {
            self.bucket -= 1.0;
            self.release.vote(self.now, control, &name, build, stage, verdict).is_ok()
        };
        let word = if counted { Word::Counted } else { Word::Refused };
        let (news, wire) = (self.standing(), self.jitter(self.wires.told));
        self.at(self.now + wire, Ev::Voted(front, life, word, Some(news), id));
    }

    // ---- the day

    fn deed(&mut self, act: &str, who: &str) {
        self.evidence.acts.push(Deed { t: self.now, act: act.into(), who: who.into() });
    }

    /// Machines that run, in order of their names.
    fn running(&self) -> Vec<u32> {
        let mut up: Vec<u32> =
            (0..self.machines.len() as u32).filter(|m| self.machines[*m as usize].shop.is_some()).collect();
        up.sort_by(|a, b| self.machines[*a as usize].name.cmp(&self.machines[*b as usize].name));
        up
    }

    fn act(&mut self, act: &Act) {
        let now = self.now;
        match act {
            Act::Offer { build, bad } => {
                if let Some(bad) = bad.as_deref().and_then(Bad::read) {
                    self.bad.insert(*build, bad);
                    if let Bad::Shared(size) = bad {
                        self.shared = size;
                    }
                }
                if self.release.offer(now, *build).is_ok() {
                    self.tell_stage();
                }
            }
            Act::Leave(nth) => {
                let up = self.running();
                if let Some(m) = up.get(nth % up.len().max(1)) {
                    self.machines[*m as usize].leaving = true;
                    self.beat(*m);
                }
            }
            Act::KillFront { front, down_ms } => {
                let name = self.charter.fronts[*front].name.clone();
                self.deed("kill", &name);
                let seat = &mut self.seats[*front];
                seat.front = None;
                let (life, still) = (seat.life, seat.still);
                seat.life += 1;
                seat.still = still.min(now);
                // Its clients see their connections close; machines see theirs close.
                let mut open: Vec<u64> = (self.tries.iter())
                    .filter(|(_, t)| t.front == *front as u32 && t.life == life)
                    .map(|(id, _)| *id)
                    .collect();
                open.sort_unstable();
                for attempt in open {
                    let wire = self.jitter(self.wires.client);
                    self.at(now + wire, Ev::Answer(attempt, How::Broken, -1));
                }
                let mut calls: Vec<(u64, u32)> = (self.picks.iter())
                    .filter(|(_, p)| p.0 == *front as u32)
                    .map(|(call, p)| (*call, p.3))
                    .collect();
                calls.sort_unstable();
                for (call, machine) in calls {
                    self.picks.remove(&call);
                    let (run, wire) =
                        (self.machines[machine as usize].run, self.wire(*front as u32, machine));
                    self.at(now + wire, Ev::Left(machine, run, call));
                }
                self.at(now + *down_ms as Ns * MS, Ev::Start(*front as u32));
            }
            Act::StopFront { front, ms } => {
                let name = self.charter.fronts[*front].name.clone();
                let until = now + *ms as Ns * MS;
                self.deed("stop", &name);
                self.evidence.acts.push(Deed { t: until, act: "cont".into(), who: name });
                self.seats[*front].still = until;
            }
            Act::StopController { ms } | Act::KillController { down_ms: ms } => {
                let until = now + *ms as Ns * MS;
                self.deed("stop", "controller");
                self.evidence.acts.push(Deed { t: until, act: "cont".into(), who: "controller".into() });
                self.controller_still = until;
            }
            // Builds run on without their agents; nothing else of them is emulated.
            Act::KillAgents { .. } => {}
            Act::Vanish { machine, ms } => {
                let up = self.running();
                if let Some(m) = up.get(machine % up.len().max(1)).copied() {
                    self.machines[m as usize].silent = true;
                    self.at(now + *ms as Ns * MS, Ev::Kill(m));
                }
            }
            Act::Fault { share, fault } => {
                let Ok(fault) = Fault::read(fault) else { return };
                let up = self.running();
                let many = (share * up.len() as f64).ceil() as usize;
                for m in up.into_iter().take(many) {
                    if let Some(shop) = &mut self.machines[m as usize].shop {
                        shop.fault = fault.clone();
                    }
                    self.cut_off(m as usize);
                }
                self.fault_all = (*share >= 1.0).then_some(fault);
            }
            Act::Heal => {
                self.fault_all = None;
                for m in 0..self.machines.len() {
                    if let Some(shop) = &mut self.machines[m].shop {
                        shop.fault = Fault::default();
                    }
                    self.cut_off(m);
                }
            }
            Act::Load(load) => {
                let _ = self.crowd.schedule.load.change(load);
            }
            // The emulator's fronts keep no company: of a storm they are stopped and killed.
            Act::Storm { deed, begins: true, .. } => {
                let ms = ((deed.until - deed.from) / MS) as u64;
                match deed.fault {
                    Fate::Stop { who } => self.act(&Act::StopFront { front: who, ms }),
                    Fate::Kill { who, .. } | Fate::Leave { who } => {
                        self.act(&Act::KillFront { front: who, down_ms: ms })
                    }
                    Fate::Links { .. } | Fate::Clock { .. } | Fate::Disk { .. } => {}
                }
            }
            Act::Storm { begins: false, .. } => {}
            // Fronts go on with what they have; the emulator has no directory to lose.
            Act::Directory(_) => {}
            Act::Notes(carried) => self.carried = *carried,
            Act::Part(parted) => {
                self.parted = *parted;
                for m in 0..self.machines.len() {
                    self.cut_off(m);
                }
            }
        }
    }
}

/// Repeats of a plain front, as common proxies have them set.
const PLAIN_REPEATS: usize = 3;
/// Share of wrong answers that clients dispute.
const DISPUTED: f64 = 0.3;
