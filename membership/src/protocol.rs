//! The state machine of the membership protocol.
use crate::message::{Body, Message, Update, MAX_MESSAGE_LEN, MAX_UPDATES};
use crate::record::{Record, Status, MAX_INCARNATION};
use crate::{Ns, MS, SEC};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Most members, including dead ones. At the limit the one gone for longest is forgotten; if none is gone, no new one is added.
pub const MAX_MEMBERS: usize = 10_000;
/// Most probes carried out on behalf of others at once; further requests are ignored.
const MAX_PROXY_PROBES: usize = 64;
/// Helpers asked after a missing ack (SWIM's k). At 30% loss each way, three leave one probe in sixteen without an ack.
const INDIRECT_PROBES: usize = 3;
/// Members that a refutation is sent to at once.
const REFUTATION_FANOUT: usize = 12;
/// Confirmations by others that reduce a suspicion to its shortest timeout (Lifeguard's K).
const SUSPICION_CONFIRMATIONS: usize = 3;
/// Upper bound of the health penalty (Lifeguard's S): probes become up to nine times as slow and patient.
const MAX_HEALTH_PENALTY: u32 = 8;
/// A gone member is probed again every so many periods, to notice when a partition has ended.
const GONE_PROBE_PERIODS: u32 = 5;
/// This many conflicts within `NAME_CONFLICT_WINDOW` mean that two running processes use the same name.
const MAX_NAME_CONFLICTS: u32 = 4;
const NAME_CONFLICT_WINDOW: Ns = 60 * SEC;

/// Timing of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// One member is probed in each period.
    pub probe_period: Ns,
    /// Wait for an ack before indirect probes are requested.
    pub ack_timeout: Ns,
    /// Shortest suspicion timeout in periods, times the logarithm of the group size, and the factor from there to the
    /// longest one, which applies before others confirm (Lifeguard's alpha and beta).
    pub suspicion_factor: f64,
    pub longest_suspicion_factor: f64,
    /// Each update is sent this often, times the logarithm of the group size.
    pub transmit_factor: f64,
    /// Interval between full exchanges with a random member.
    pub sync_interval: Ns,
    /// Time for which members that have gone or left are remembered.
    pub retention: Ns,
}

impl Default for Timing {
    /// Lifeguard's own settings, so that results are comparable.
    fn default() -> Timing {
        Timing {
            probe_period: SEC,
            ack_timeout: SEC / 2,
            suspicion_factor: 5.0,
            longest_suspicion_factor: 6.0,
            transmit_factor: 4.0,
            sync_interval: 30 * SEC,
            retention: 3_600 * SEC,
        }
    }
}

/// Settings of the local member.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub address: SocketAddr,
    /// Drawn at each start, to distinguish a restart under the same name.
    pub instance: u64,
    pub seed: u64,
    /// Seed addresses, contacted at the start.
    pub join: Vec<SocketAddr>,
    /// Number of fronts in the settings.
    pub expected_fronts: u32,
}

pub enum Event<'a> {
    Start,
    Datagram {
        from: SocketAddr,
        bytes: &'a [u8],
    },
    Timer,
    /// Announces that this member leaves.
    Leave,
}

pub trait Actions {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]);
    /// Requests an [`Event::Timer`] at this time, in addition to any requested earlier.
    fn wake_at(&mut self, at: Ns);
    fn notify(&mut self, change: Change);
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is new or has returned, or a suspicion was refuted.
    Present(Record),
    Suspected(Record),
    Gone(Record),
    Left(Record),
    /// Another running process uses this one's name and keeps it; this one sends nothing from now on.
    NameTaken(Record),
}

struct Member {
    record: Record,
    /// Since when the record has been as it is.
    since: Ns,
    suspicion: Option<Suspicion>,
}

struct Suspicion {
    deadline: Ns,
    /// Hashes of the names of the members that suspect it.
    reporters: BTreeSet<u32>,
}

/// The probe in progress.
struct Probe {
    name: String,
    sequence: u32,
    /// When indirect probes are requested, and when the period ends.
    indirect_at: Ns,
    deadline: Ns,
    indirect_sent: bool,
    /// Helpers that have not sent a nack.
    unanswered: usize,
}

/// A probe on behalf of another member.
struct ProxyProbe {
    requester: SocketAddr,
    requester_sequence: u32,
    nack_at: Ns,
    deadline: Ns,
    nack_sent: bool,
}

pub struct Membership {
    config: Config,
    timing: Timing,
    rng: StdRng,
    incarnation: u32,
    members: BTreeMap<String, Member>,
    /// Names of the suspected members.
    suspects: BTreeSet<String>,
    /// Names to probe, in random order; refilled when empty.
    probe_order: Vec<String>,
    sequence: u32,
    probe: Option<Probe>,
    /// When the next probe starts.
    next_probe: Ns,
    proxy_probes: HashMap<u32, ProxyProbe>,
    /// Names whose records are to be sent: how often each has been sent, and who suspects it.
    broadcasts: BTreeMap<String, (u32, u32)>,
    /// Lifeguard's local health count.
    health_penalty: u32,
    next_sync: Ns,
    /// The pending timer.
    timer_at: Ns,
    period_count: u32,
    name_conflicts: (u32, Ns),
    silent: bool,
    /// Suspicions of this member that it refuted, and messages that were invalid.
    pub refutations: u64,
    pub invalid_messages: u64,
}

/// Identifies a name among the reporters of a suspicion.
fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

impl Membership {
    pub fn new(config: Config, timing: Timing) -> Membership {
        Membership {
            rng: StdRng::seed_from_u64(config.seed),
            config,
            timing,
            incarnation: 0,
            members: BTreeMap::new(),
            suspects: BTreeSet::new(),
            probe_order: Vec::new(),
            sequence: 0,
            probe: None,
            next_probe: 0,
            proxy_probes: HashMap::new(),
            broadcasts: BTreeMap::new(),
            health_penalty: 0,
            next_sync: 0,
            timer_at: Ns::MAX,
            period_count: 0,
            name_conflicts: (0, 0),
            silent: false,
            refutations: 0,
            invalid_messages: 0,
        }
    }

    pub fn own_record(&self) -> Record {
        let Config { name, address, instance, .. } = self.config.clone();
        Record { name, address, instance, incarnation: self.incarnation, status: Status::Alive }
    }

    /// The other members, by name.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|m| &m.record)
    }

    pub fn record(&self, name: &str) -> Option<&Record> {
        self.members.get(name).map(|m| &m.record)
    }

    /// Number of members that are present, including this one.
    pub fn present_count(&self) -> usize {
        1 + self.others().filter(|r| r.is_present()).count()
    }

    /// The divisor for limits that all fronts share: at least the number in the settings, and at least the number known by
    /// name. Gone members count, as one that seems to be gone may still serve behind a partition.
    pub fn minimum_count(&self) -> u32 {
        let known = 1 + self.others().filter(|r| r.status != Status::Left).count();
        self.config.expected_fronts.max(known as u32)
    }

    /// Sets the number of fronts in the settings.
    pub fn set_expected_fronts(&mut self, fronts: u32) {
        self.config.expected_fronts = fronts;
    }

    pub fn health_penalty(&self) -> u32 {
        self.health_penalty
    }

    /// Adds members that are known before the start, for example from a file, without announcing them.
    pub fn preload(&mut self, all: &[Update]) {
        for Update { record, .. } in
            all.iter().filter(|n| n.record.is_valid() && n.record.name != self.config.name)
        {
            let member = Member { record: record.clone(), since: 0, suspicion: None };
            self.members.insert(record.name.clone(), member);
        }
    }

    pub fn handle(&mut self, now: Ns, event: Event, actions: &mut impl Actions) {
        if self.silent {
            return;
        }
        self.resume_after_pause(now);
        match event {
            Event::Start => {
                self.next_probe = now;
                self.next_sync = now + self.timing.sync_interval;
                for to in self.config.join.clone() {
                    self.send_message(to, None, Body::SyncRequest { from: String::new() }, actions);
                }
            }
            Event::Datagram { from, bytes } => match Message::decode(bytes) {
                Some(message) => self.handle_message(now, from, message, actions),
                None => self.invalid_messages += 1,
            },
            Event::Timer => {}
            Event::Leave => return self.announce_leave(actions),
        }
        if !self.silent {
            self.run_timers(now, actions);
        }
    }

    /// After this process was suspended, it must not judge others by the time that it did not run.
    fn resume_after_pause(&mut self, now: Ns) {
        let late = now.saturating_sub(self.timer_at);
        if late < self.timing.probe_period {
            return;
        }
        self.timer_at = Ns::MAX;
        self.health_penalty = MAX_HEALTH_PENALTY;
        self.probe = None;
        self.proxy_probes.clear();
        self.next_probe = now;
        for name in &self.suspects {
            if let Some(suspicion) = self.members.get_mut(name).and_then(|m| m.suspicion.as_mut()) {
                suspicion.deadline += late;
            }
        }
    }

    fn announce_leave(&mut self, actions: &mut impl Actions) {
        self.incarnation += 1;
        let own = self.own_record();
        let updates = vec![Update { record: Record { status: Status::Left, ..own.clone() }, reporter: 0 }];
        let message = Message { from: own, body: Body::Updates, updates }.encode();
        let mut to: Vec<SocketAddr> = self.others().filter(|r| r.is_present()).map(|r| r.address).collect();
        to.shuffle(&mut self.rng);
        // Only some members are told; they tell the others.
        to.truncate(4 * INDIRECT_PROBES);
        to.into_iter().for_each(|to| actions.send(to, &message));
        self.silent = true;
    }

    // Messages.

    /// Updates to send, the least sent ones first, as many as fit.
    fn select_updates(&mut self, first: Option<&str>, mut remaining: usize) -> Vec<Update> {
        let max_sends =
            (self.timing.transmit_factor * (self.members.len() as f64 + 2.0).log10()).ceil() as u32;
        let mut due: Vec<(u32, String)> =
            self.broadcasts.iter().map(|(name, (n, _))| (*n, name.clone())).collect();
        due.sort_unstable();
        // A suspected member is told of the suspicion first, so that it can refute it in time.
        if let Some(first) =
            first.filter(|name| self.members.get(*name).is_some_and(|m| m.suspicion.is_some()))
        {
            due.insert(0, (0, first.to_string()));
        }
        let mut updates: Vec<Update> = Vec::new();
        for (_, name) in due {
            let Some(record) = self.record(&name).cloned() else {
                self.broadcasts.remove(&name);
                continue;
            };
            let len = Message::max_update_len(&record);
            if len > remaining
                || updates.len() >= MAX_UPDATES
                || updates.iter().any(|n| n.record.name == name)
            {
                continue;
            }
            remaining -= len;
            let reporter = match self.broadcasts.get_mut(&name) {
                Some((n, reporter)) => {
                    *n += 1;
                    let (n, reporter) = (*n, *reporter);
                    if n >= max_sends {
                        self.broadcasts.remove(&name);
                    }
                    reporter
                }
                None => name_hash(&self.config.name),
            };
            updates.push(Update { record, reporter });
        }
        updates
    }

    /// Sends a message with as many updates as fit; `first` is the name of the recipient, if known.
    fn send_message(&mut self, to: SocketAddr, first: Option<&str>, body: Body, actions: &mut impl Actions) {
        let mut message = Message { from: self.own_record(), body, updates: Vec::new() };
        let remaining = MAX_MESSAGE_LEN.saturating_sub(message.encode().len() + 8);
        message.updates = self.select_updates(first, remaining);
        actions.send(to, &message.encode());
    }

    fn handle_message(&mut self, now: Ns, from: SocketAddr, message: Message, actions: &mut impl Actions) {
        let Message { from: sender, body, updates } = message;
        // A member reports only its own address, so a record with another one is not from this sender.
        if sender.address != from {
            self.invalid_messages += 1;
            return;
        }
        let name = sender.name.clone();
        self.apply(now, Update { record: sender, reporter: 0 }, actions);
        for item in updates {
            self.apply(now, item, actions);
        }
        if self.silent {
            return;
        }
        match body {
            Body::Ping { sequence, instance } => {
                if instance == self.config.instance || instance == 0 {
                    self.send_message(from, Some(&name), Body::Ack { sequence }, actions);
                } else {
                    // Addressed to an earlier instance: the sender's record shows that a new one is running.
                    self.send_message(from, Some(&name), Body::Updates, actions);
                }
            }
            Body::Ack { sequence } => self.handle_ack(&name, sequence, actions),
            Body::ProbeRequest { sequence, name } => {
                let Some(record) = self.record(&name).cloned() else { return };
                if self.proxy_probes.len() < MAX_PROXY_PROBES {
                    let ours = self.next_sequence();
                    let (nack_at, deadline) =
                        (now + self.timing.ack_timeout * 4 / 5, now + self.timing.probe_period);
                    let proxy_probe = ProxyProbe {
                        requester: from,
                        requester_sequence: sequence,
                        nack_at,
                        deadline,
                        nack_sent: false,
                    };
                    self.proxy_probes.insert(ours, proxy_probe);
                    let ping = Body::Ping { sequence: ours, instance: record.instance };
                    self.send_message(record.address, Some(&record.name), ping, actions);
                }
            }
            Body::Nack { sequence } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.sequence == sequence) {
                    probe.unanswered = probe.unanswered.saturating_sub(1);
                }
            }
            Body::SyncRequest { from: first } => self.send_page(from, &first, actions),
            Body::SyncPage { next: Some(next) } => {
                self.send_message(from, None, Body::SyncRequest { from: next }, actions)
            }
            Body::SyncPage { next: None } | Body::Updates => {}
        }
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    fn handle_ack(&mut self, name: &str, sequence: u32, actions: &mut impl Actions) {
        if let Some(proxy_probe) = self.proxy_probes.remove(&sequence) {
            self.send_message(
                proxy_probe.requester,
                None,
                Body::Ack { sequence: proxy_probe.requester_sequence },
                actions,
            );
            return;
        }
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence) {
            let indirect = self.probe.take().is_some_and(|p| p.name != name);
            // A direct ack in time indicates good local health.
            self.health_penalty = self.health_penalty.saturating_sub(u32::from(!indirect));
        }
    }

    /// Sends records starting at a name, as many as fit into one message.
    fn send_page(&mut self, to: SocketAddr, first: &str, actions: &mut impl Actions) {
        let mut message =
            Message { from: self.own_record(), body: Body::SyncPage { next: None }, updates: Vec::new() };
        let mut remaining = MAX_MESSAGE_LEN - message.encode().len() - 80;
        let mut next = None;
        for (name, member) in self.members.range(first.to_string()..) {
            let len = Message::max_update_len(&member.record);
            if len > remaining || message.updates.len() >= MAX_UPDATES {
                next = Some(name.clone());
                break;
            }
            remaining -= len;
            message
                .updates
                .push(Update { record: member.record.clone(), reporter: name_hash(&self.config.name) });
        }
        message.body = Body::SyncPage { next };
        actions.send(to, &message.encode());
    }

    // Updates.

    fn apply(&mut self, now: Ns, update: Update, actions: &mut impl Actions) {
        let Update { record, reporter } = update;
        if !record.is_valid() {
            return;
        }
        if record.name == self.config.name {
            return self.apply_own_update(now, record, actions);
        }
        let previous = self.record(&record.name).cloned();
        if let Some(known) = &previous {
            if !record.supersedes(known) {
                // Another member's suspicion of the same record shortens the timeout.
                if record == *known && record.status == Status::Suspect {
                    self.confirm_suspicion(now, &record.name, reporter);
                }
                return;
            }
        } else if self.members.len() >= MAX_MEMBERS && !self.make_room() {
            return;
        }
        let name = record.name.clone();
        let suspicion = (record.status == Status::Suspect).then(|| self.new_suspicion(now, reporter));
        self.members.insert(name.clone(), Member { record: record.clone(), since: now, suspicion });
        if record.status == Status::Suspect {
            self.suspects.insert(name.clone());
        } else {
            self.suspects.remove(&name);
        }
        if previous.is_none() && record.is_present() {
            let at = self.rng.random_range(0..=self.probe_order.len());
            self.probe_order.insert(at, name.clone());
        }
        self.broadcasts.insert(name, (0, reporter));
        let same = previous.is_some_and(|w| {
            w.status == record.status && w.instance == record.instance && w.address == record.address
        });
        match record.status {
            Status::Alive if !same => actions.notify(Change::Present(record)),
            Status::Suspect => actions.notify(Change::Suspected(record)),
            Status::Gone => actions.notify(Change::Gone(record)),
            Status::Left => actions.notify(Change::Left(record)),
            Status::Alive => {}
        }
    }

    fn make_room(&mut self) -> bool {
        let gone = self.members.iter().filter(|(_, m)| !m.record.is_present());
        let Some(oldest) = gone.min_by_key(|(_, m)| m.since).map(|(name, _)| name.clone()) else {
            return false;
        };
        self.members.remove(&oldest);
        self.broadcasts.remove(&oldest);
        true
    }

    /// Handles an update about this process: refutes a wrong status and overrides an earlier instance.
    fn apply_own_update(&mut self, now: Ns, record: Record, actions: &mut impl Actions) {
        let own = self.own_record();
        if record.instance == own.instance && record.address == own.address {
            if record.is_present() && record.status == Status::Alive || record.incarnation < self.incarnation
            {
                return;
            }
            // Suspected or declared gone, perhaps because this process was suspended or its link is bad: counts against
            // its health.
            self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
            self.refutations += 1;
        } else {
            if !record.supersedes(&own) {
                return;
            }
            if record.status == Status::Alive {
                let (n, since) = self.name_conflicts;
                self.name_conflicts =
                    if now - since > NAME_CONFLICT_WINDOW { (1, now) } else { (n + 1, since) };
                // Two processes running under one name would outbid each other forever. The one with the greater instance
                // number keeps the name; both know both numbers, so they agree.
                if self.name_conflicts.0 >= MAX_NAME_CONFLICTS && record.instance > own.instance {
                    self.silent = true;
                    return actions.notify(Change::NameTaken(record));
                }
            }
        }
        if record.incarnation < MAX_INCARNATION {
            self.incarnation = self.incarnation.max(record.incarnation + 1);
        }
        // Members contacted later also learn of it, as every message carries the sender's record. With three messages to members
        // drawn with replacement, one of five was declared gone in 23 of 200 minutes at 30% loss; with messages to all, in 13.
        let mut others: Vec<SocketAddr> =
            self.others().filter(|r| r.is_present()).map(|r| r.address).collect();
        others.shuffle(&mut self.rng);
        for to in others.into_iter().take(REFUTATION_FANOUT) {
            self.send_message(to, None, Body::Updates, actions);
        }
    }

    // Suspicion.

    fn log_size(&self) -> f64 {
        (self.present_count() as f64).log10().max(1.0)
    }

    /// Lifeguard's timeout: the longest at first, the shortest once enough others have confirmed.
    fn suspicion_timeout(&self, confirmations: usize) -> Ns {
        let shortest = self.timing.suspicion_factor * self.log_size() * self.timing.probe_period as f64;
        // With too few others to confirm, the shortest timeout applies.
        let needed = SUSPICION_CONFIRMATIONS.min(self.present_count().saturating_sub(2));
        if needed == 0 {
            return shortest as Ns;
        }
        let longest = self.timing.longest_suspicion_factor * shortest;
        let share = ((confirmations + 1) as f64).ln() / ((needed + 1) as f64).ln();
        (longest - (longest - shortest) * share).max(shortest) as Ns
    }

    fn new_suspicion(&mut self, now: Ns, reporter: u32) -> Suspicion {
        Suspicion { deadline: now + self.suspicion_timeout(0), reporters: BTreeSet::from([reporter]) }
    }

    fn confirm_suspicion(&mut self, now: Ns, name: &str, reporter: u32) {
        let before =
            self.members.get(name).and_then(|m| m.suspicion.as_ref()).map_or(0, |s| s.reporters.len());
        if before == 0 || before > SUSPICION_CONFIRMATIONS {
            return;
        }
        let (shorter, longer) = (self.suspicion_timeout(before), self.suspicion_timeout(before - 1));
        let Some(member) = self.members.get_mut(name) else { return };
        let Some(suspicion) = &mut member.suspicion else { return };
        if suspicion.reporters.insert(reporter) {
            suspicion.deadline = (suspicion.deadline - (longer - shorter)).max(now);
            // Sent on, so that others count the confirmation too.
            self.broadcasts.insert(name.to_string(), (0, reporter));
        }
    }

    fn declare(&mut self, now: Ns, name: &str, status: Status, actions: &mut impl Actions) {
        let Some(member) = self.members.get(name) else { return };
        let record = Record { status, ..member.record.clone() };
        let reporter = name_hash(&self.config.name);
        self.apply(now, Update { record, reporter }, actions);
    }

    // Timers.

    fn health_factor(&self) -> Ns {
        Ns::from(self.health_penalty + 1)
    }

    fn run_timers(&mut self, now: Ns, actions: &mut impl Actions) {
        let deadline =
            |name: &String| self.members.get(name).and_then(|m| m.suspicion.as_ref()).map(|s| s.deadline);
        let over: Vec<String> =
            self.suspects.iter().filter(|n| deadline(n).is_some_and(|at| at <= now)).cloned().collect();
        over.iter().for_each(|name| self.declare(now, name, Status::Gone, actions));
        self.update_proxy_probes(now, actions);
        if self.probe.as_ref().is_some_and(|p| !p.indirect_sent && p.indirect_at <= now) {
            self.request_indirect_probes(actions);
        }
        if let Some(probe) = self.probe.take_if(|p| p.deadline <= now) {
            // Helpers that do not respond either point to a problem with this process's own link.
            self.health_penalty = (self.health_penalty + 1 + probe.unanswered as u32).min(MAX_HEALTH_PENALTY);
            let alive = self.record(&probe.name).is_some_and(|r| r.status == Status::Alive);
            if alive {
                self.declare(now, &probe.name, Status::Suspect, actions);
            } else {
                self.confirm_suspicion(now, &probe.name, name_hash(&self.config.name));
            }
        }
        if self.next_probe <= now && self.probe.is_none() {
            self.start_period(now, actions);
        }
        if self.next_sync <= now {
            self.next_sync = now
                + self.timing.sync_interval / 2
                + self.rng.random_range(0..=self.timing.sync_interval / 2);
            let present: Vec<SocketAddr> =
                self.others().filter(|r| r.is_present()).map(|r| r.address).collect();
            let to = present.get(self.rng.random_range(0..present.len().max(1))).copied();
            // A seed address that no present member uses. When some members left or returned while those they knew were
            // down, two groups can form that each hold the other's members for left, so that neither contacts the other.
            let unknown = |at: &SocketAddr| self.others().all(|r| r.address != *at || !r.is_present());
            let unreached: Vec<SocketAddr> = self.config.join.iter().copied().filter(unknown).collect();
            let other = unreached.get(self.rng.random_range(0..unreached.len().max(1))).copied();
            for to in to.into_iter().chain(other) {
                self.send_message(to, None, Body::SyncRequest { from: String::new() }, actions);
            }
        }
        let probe = self.probe.iter().map(|p| if p.indirect_sent { p.deadline } else { p.indirect_at });
        let proxy_probes =
            self.proxy_probes.values().map(|e| if e.nack_sent { e.deadline } else { e.nack_at });
        let deadline =
            |name: &String| self.members.get(name).and_then(|m| m.suspicion.as_ref()).map(|s| s.deadline);
        let suspicions = self.suspects.iter().filter_map(deadline);
        let next = if self.probe.is_some() { Ns::MAX } else { self.next_probe };
        let first = probe.chain(proxy_probes).chain(suspicions).chain([self.next_sync, next]).min();
        let at = first.unwrap_or(Ns::MAX).max(now + MS);
        // Only one timer is pending at a time, as one for each message would accumulate.
        if self.timer_at <= now || at < self.timer_at {
            self.timer_at = at;
            actions.wake_at(at);
        }
    }

    fn update_proxy_probes(&mut self, now: Ns, actions: &mut impl Actions) {
        self.proxy_probes.retain(|_, e| e.deadline > now);
        let due: Vec<(SocketAddr, u32)> = self
            .proxy_probes
            .values_mut()
            .filter(|e| !e.nack_sent && e.nack_at <= now)
            .map(|e| {
                e.nack_sent = true;
                (e.requester, e.requester_sequence)
            })
            .collect();
        for (to, sequence) in due {
            self.send_message(to, None, Body::Nack { sequence }, actions);
        }
    }

    fn request_indirect_probes(&mut self, actions: &mut impl Actions) {
        let Some(probe) = &mut self.probe else { return };
        probe.indirect_sent = true;
        let (sequence, name) = (probe.sequence, probe.name.clone());
        let mut helpers: Vec<SocketAddr> = self
            .others()
            .filter(|r| r.status == Status::Alive && r.name != name)
            .map(|r| r.address)
            .collect();
        helpers.shuffle(&mut self.rng);
        helpers.truncate(INDIRECT_PROBES);
        if let Some(probe) = &mut self.probe {
            probe.unanswered = helpers.len();
        }
        for to in helpers {
            self.send_message(to, None, Body::ProbeRequest { sequence, name: name.clone() }, actions);
        }
    }

    /// Starts a period: probes the next member of the round and forgets those that have been gone for long.
    fn start_period(&mut self, now: Ns, actions: &mut impl Actions) {
        self.period_count = self.period_count.wrapping_add(1);
        self.next_probe = now + self.timing.probe_period * self.health_factor();
        let remember = self.timing.retention;
        let old = |m: &Member| !m.record.is_present() && now - m.since > remember;
        if self.period_count.is_multiple_of(64) {
            self.members.retain(|_, m| !old(m));
            self.broadcasts.retain(|name, _| self.members.contains_key(name));
        }
        if self.period_count.is_multiple_of(GONE_PROBE_PERIODS) {
            let gone: Vec<Record> = self.others().filter(|r| r.status == Status::Gone).cloned().collect();
            if !gone.is_empty() {
                let record = &gone[self.rng.random_range(0..gone.len())];
                // The member learns what it is held for, and refutes that if it is running.
                let own = self.own_record();
                let updates = vec![Update { record: record.clone(), reporter: name_hash(&own.name) }];
                let sequence = self.next_sequence();
                let message = Message { from: own, body: Body::Ping { sequence, instance: 0 }, updates };
                actions.send(record.address, &message.encode());
            }
        }
        let target = loop {
            match self.probe_order.pop() {
                Some(name) => {
                    if self.record(&name).is_some_and(Record::is_present) {
                        break Some(name);
                    }
                }
                None => {
                    self.probe_order =
                        self.others().filter(|r| r.is_present()).map(|r| r.name.clone()).collect();
                    self.probe_order.shuffle(&mut self.rng);
                    if self.probe_order.is_empty() {
                        break None;
                    }
                }
            }
        };
        let Some(record) = target.and_then(|name| self.record(&name).cloned()) else {
            // No other member is present: the seed addresses are contacted again every few periods.
            if self.period_count.is_multiple_of(GONE_PROBE_PERIODS) {
                for to in self.config.join.clone() {
                    self.send_message(to, None, Body::SyncRequest { from: String::new() }, actions);
                }
            }
            return;
        };
        let sequence = self.next_sequence();
        let indirect_at = now + self.timing.ack_timeout * self.health_factor();
        let deadline = now + self.timing.probe_period * self.health_factor();
        let name = record.name;
        self.probe = Some(Probe {
            name: name.clone(),
            sequence,
            indirect_at,
            deadline,
            indirect_sent: false,
            unanswered: 0,
        });
        self.send_message(
            record.address,
            Some(&name),
            Body::Ping { sequence, instance: record.instance },
            actions,
        );
    }
}
