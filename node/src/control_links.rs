//! Links to the platform: discovery's watch and list, and the rollout API's notifications and votes. At a reload new
//! links are established while the old ones still serve.
use crate::effects::{Effects, ROLLOUT_API_TIMER};
use crate::start_times::Source;
use rand::Rng;
use rockpick::{Member, Ns, Outcome, Reply, RolloutStatus, RosterUpdate, State, Verdict};
use rockpick_net::http;
use rockpick_net::{take_line, Call, CallEnd, Id, MS, SEC};
use rockpick_platform::rollout_api::{self, BuildStatus, Line};
use rockpick_platform::roster::{self, RosterMessage};
use std::net::SocketAddr;

/// A link without any data for this long is considered dead. The rollout API sends something every second, but its
/// first reply may be delayed by a queue.
const LINK_TIMEOUT: Ns = 3 * SEC + SEC / 2;
/// The same for a watch that has sent data: its heartbeats come every two seconds. Changes that it misses count 6 s
/// after it fell silent; by then another one must serve, at the second attempt at the latest.
const WATCH_TIMEOUT: Ns = 2 * SEC + SEC / 2;
const CONNECT_TIMEOUT: Ns = SEC;
/// Most watches, and most subscriptions, at a time: one that serves and one that is being established.
const MAX_LINKS: usize = 2;
/// Delay before the rollout API is dialled again. It doubles each time, and the wait is drawn at random between half of it
/// and all of it.
const MIN_REDIAL_DELAY: Ns = 100 * MS;
const MAX_REDIAL_DELAY: Ns = 2 * SEC;

struct Watch {
    call: Id,
    addr: SocketAddr,
    requested_at: Ns,
    buffer: Vec<u8>,
    /// Lines of an incomplete update.
    partial: Vec<u8>,
    /// Whether it has sent any data, even a heartbeat only.
    has_data: bool,
    /// Since when it serves.
    active_since: Option<Ns>,
}

impl Watch {
    fn is_active(&self) -> bool {
        self.active_since.is_some()
    }

    /// Whether a change that it reports now has only just been made.
    fn is_live(&self, now: Ns) -> bool {
        self.active_since.is_some_and(|since| now - since > roster::CHANGE_KNOWN_WITHIN)
    }

    /// Takes the complete lines that are there with these further bytes; what follows them is kept.
    fn take_complete_lines(&mut self, bytes: &[u8]) -> Vec<u8> {
        let Some(end) = bytes.iter().rposition(|b| *b == b'\n').map(|at| at + 1) else {
            self.buffer.extend_from_slice(bytes);
            return Vec::new();
        };
        let mut complete = std::mem::replace(&mut self.buffer, bytes[end..].to_vec());
        complete.extend_from_slice(&bytes[..end]);
        complete
    }

    /// Bytes of an update that is not complete yet.
    fn incomplete_len(&self) -> usize {
        self.buffer.len() + self.partial.len()
    }

    /// Processes a line, and returns the update that it completes, if any. An update may be indented and span many
    /// lines.
    ///
    /// # Errors
    /// Malformed data.
    fn parse_line(&mut self, line: &[u8], zones: &mut Vec<String>) -> Result<Option<RosterMessage>, ()> {
        let blank = line.trim_ascii().is_empty();
        if blank || self.partial.is_empty() && !line.trim_ascii_start().starts_with(b"{") {
            // Heartbeats come between updates, never within one.
            return if blank && self.partial.is_empty() { Ok(None) } else { Err(()) };
        }
        // Parse only after a line that may end the update; parsing after each line would take quadratic time.
        if !line.trim_ascii_end().ends_with(b"}") {
            self.partial.extend_from_slice(line);
            return Ok(None);
        }
        // Usually the update is this line, which needs no copy then.
        if self.partial.is_empty() {
            return self.parse_update(line, zones);
        }
        let mut partial = std::mem::take(&mut self.partial);
        partial.extend_from_slice(line);
        self.parse_update(&partial, zones)
    }

    /// Parses what may be a whole update; if it is not, it is kept as the beginning of one.
    fn parse_update(&mut self, json: &[u8], zones: &mut Vec<String>) -> Result<Option<RosterMessage>, ()> {
        match roster::parse_update_bytes(json, zones) {
            Ok(update) => Ok(Some(update)),
            Err(err) if err.is_eof() => {
                self.partial = json.to_vec();
                Ok(None)
            }
            Err(_) => Err(()),
        }
    }
}

pub struct Discovery {
    pub addr: SocketAddr,
    watches: Vec<Watch>,
    /// The last watch timed out without any data: the list is requested along with the next one.
    last_watch_silent: bool,
    fetch: Option<Id>,
    pub seq: u64,
    pub updates: u64,
}

impl Discovery {
    pub fn new(at: SocketAddr) -> Discovery {
        Discovery { addr: at, watches: Vec::new(), last_watch_silent: false, fetch: None, seq: 0, updates: 0 }
    }

    pub fn owns(&self, id: Id) -> bool {
        self.fetch == Some(id) || self.watches.iter().any(|w| w.call == id)
    }

    pub fn is_watching(&self) -> bool {
        self.watches.iter().any(Watch::is_active)
    }
}

struct Subscription {
    conn: Id,
    buffer: Vec<u8>,
    active: bool,
}

struct Vote {
    conn: Id,
    line: String,
    buffer: Vec<u8>,
    connected: bool,
}

pub struct RolloutApi {
    pub addr: Option<SocketAddr>,
    subscriptions: Vec<Subscription>,
    vote: Option<Vote>,
    redial_delay: Ns,
    redial_scheduled: bool,
    pub dialled: u64,
    pub lines_received: u64,
}

impl RolloutApi {
    pub fn new(at: Option<SocketAddr>) -> RolloutApi {
        RolloutApi {
            addr: at,
            subscriptions: Vec::new(),
            vote: None,
            redial_delay: MIN_REDIAL_DELAY,
            redial_scheduled: false,
            dialled: 0,
            lines_received: 0,
        }
    }

    pub fn owns(&self, id: Id) -> bool {
        self.subscriptions.iter().any(|n| n.conn == id) || self.vote.as_ref().is_some_and(|v| v.conn == id)
    }

    pub fn is_subscribed(&self) -> bool {
        self.subscriptions.iter().any(|n| n.active)
    }
}

/// A link's news for the decision module.
pub enum ModuleEvent {
    Members(RosterUpdate, Vec<Member>),
    /// A watch at the service's present address has begun to serve.
    RosterServiceHeard,
    /// The watch has sent a heartbeat, or has ended after all that it had to say.
    RosterConfirmed,
    Status(Reply, Option<RolloutStatus>),
    Tallied {
        build: u32,
        method: usize,
        picks: u32,
        not_ok: u32,
    },
    Disputed {
        machine: usize,
        sent: Ns,
    },
}

pub fn to_rollout_status(now: Ns, status: BuildStatus) -> RolloutStatus {
    let BuildStatus { build, stage, phase, cap, age } = status;
    RolloutStatus { build, stage, phase, cap, since: now - age }
}

impl Effects {
    fn call_discovery(&mut self, target: &str, stream: bool) -> Id {
        let to = self.discovery.addr;
        // A kept connection may just be closed by the server, and the request would be lost on it.
        self.net.close_idle(to);
        let request = http::encode_request("GET", target, &to.to_string(), &[], b"");
        let call = Call { to, request: &request, connect_within: CONNECT_TIMEOUT, stream, head_only: false };
        let id = self.net.call(&mut self.queued_events, call);
        let at = self.net.now() + LINK_TIMEOUT;
        self.set_deadline(id, at);
        id
    }

    pub fn watch_roster(&mut self, on: bool) {
        let keep = if on { MAX_LINKS - 1 } else { 0 };
        // Prefer to end a watch that does not serve yet.
        while self.discovery.watches.len() > keep {
            let at = self.discovery.watches.iter().position(|w| !w.is_active()).unwrap_or(0);
            let old = self.discovery.watches.remove(at);
            self.end_call(old.call);
        }
        if on {
            let target = format!("/v1/endpoints?watch=1&after={}", self.discovery.seq);
            let call = self.call_discovery(&target, true);
            self.discovery.watches.push(Watch {
                call,
                addr: self.discovery.addr,
                requested_at: self.net.now(),
                buffer: Vec::new(),
                partial: Vec::new(),
                has_data: false,
                active_since: None,
            });
            if self.discovery.last_watch_silent {
                self.fetch_roster();
            }
        }
    }

    pub fn fetch_roster(&mut self) {
        if let Some(old) = self.discovery.fetch.take() {
            self.end_call(old);
        }
        self.discovery.fetch = Some(self.call_discovery("/v1/endpoints", false));
    }

    fn end_call(&mut self, call: Id) {
        self.deadlines.clear(call);
        self.net.cancel(call);
    }

    /// Processes data of a watch.
    pub fn watch_bytes(&mut self, call: Id, status: u16, bytes: &[u8]) -> Vec<ModuleEvent> {
        let mut events = Vec::new();
        let now = self.net.now();
        let Some(at) = self.discovery.watches.iter().position(|w| w.call == call) else {
            return events;
        };
        self.set_deadline(call, now + WATCH_TIMEOUT);
        self.discovery.last_watch_silent = false;
        let watch = &mut self.discovery.watches[at];
        watch.has_data = true;
        let received = watch.take_complete_lines(bytes);
        let mut malformed = status != 200 || watch.incomplete_len() > self.config.memory_budget.update_len;
        for line in received.split_inclusive(|b| *b == b'\n') {
            if malformed {
                break;
            }
            let heartbeat = line.trim_ascii().is_empty();
            match self.discovery.watches[at].parse_line(line, &mut self.config.zones) {
                // A heartbeat first: nothing has changed since the list that the watch continues from, so that list
                // is current.
                Ok(None) if heartbeat && !self.discovery.watches[at].is_active() => {
                    events.extend(self.watch_active(at));
                    events.push(ModuleEvent::Members(RosterUpdate::Changes, Vec::new()));
                }
                Ok(None) if heartbeat => events.push(ModuleEvent::RosterConfirmed),
                Ok(None) => {}
                Ok(Some(update)) => {
                    events.extend(self.watch_active(at));
                    let roll = if update.whole { RosterUpdate::Full } else { RosterUpdate::Changes };
                    let live = !update.whole && self.discovery.watches[at].is_live(now);
                    let source = if live { Source::LiveChange } else { Source::List };
                    events.push(self.apply_update(roll, update, source));
                }
                Err(()) => malformed = true,
            }
        }
        if malformed {
            if let Some(left_out) = self.log_limit.allow(now) {
                tracing::warn!(event = "malformed data on the discovery watch", status, left_out);
            }
            events.extend(self.end_watch(call));
        } else if at > 0 && self.discovery.watches[at].is_active() {
            // The newer watch serves; older ones are ended.
            for old in self.discovery.watches.drain(..at).collect::<Vec<_>>() {
                self.end_call(old.call);
            }
        }
        events
    }

    /// Records that a watch serves; reports the first time of a watch at the present address.
    fn watch_active(&mut self, at: usize) -> Option<ModuleEvent> {
        let now = self.net.now();
        let watch = &mut self.discovery.watches[at];
        if watch.active_since.replace(watch.active_since.unwrap_or(now)).is_some() {
            return None;
        }
        tracing::info!(event = "watch serves", after_ms = (now - watch.requested_at) / MS);
        (watch.addr == self.discovery.addr).then_some(ModuleEvent::RosterServiceHeard)
    }

    /// Handles the end of a call to discovery; `end` is `None` if it timed out.
    pub fn discovery_ended(&mut self, call: Id, end: Option<CallEnd>) -> Vec<ModuleEvent> {
        if self.discovery.fetch != Some(call) {
            let silent = self.discovery.watches.iter().any(|w| w.call == call && !w.has_data);
            self.discovery.last_watch_silent |= silent && end.is_none();
            // What is sent before an end in order has been received whole; what a silent watch missed is not known, nor
            // what a reset has cut off.
            let whole = |w: &Watch| w.is_active() && w.buffer.is_empty() && w.partial.is_empty();
            let served = self.discovery.watches.iter().any(|w| w.call == call && whole(w));
            let received_all = end.is_some_and(|end| end.received_all());
            let confirmed = (served && received_all).then_some(ModuleEvent::RosterConfirmed);
            return confirmed.into_iter().chain(self.end_watch(call)).collect();
        }
        self.discovery.fetch = None;
        self.end_call(call);
        let update = match end {
            Some(CallEnd::Answer(answer)) if answer.status == 200 => {
                roster::parse_update_bytes(&answer.body, &mut self.config.zones).ok()
            }
            _ => None,
        };
        // A list that is older than a watch's updates must not undo them. In that case a watch is being established
        // and will report the current state.
        let update = update.filter(|t| t.whole && t.seq >= self.discovery.seq);
        update.map(|update| self.apply_update(RosterUpdate::Full, update, Source::List)).into_iter().collect()
    }

    fn end_watch(&mut self, call: Id) -> Option<ModuleEvent> {
        let at = self.discovery.watches.iter().position(|w| w.call == call)?;
        let newest = at + 1 == self.discovery.watches.len();
        let watch = self.discovery.watches.remove(at);
        let after_ms = (self.net.now() - watch.requested_at) / MS;
        if let Some(left_out) = self.log_limit.allow(self.net.now()) {
            tracing::info!(event = "watch over", served = watch.is_active(), after_ms, left_out);
        }
        self.end_call(call);
        // The end of an older watch does not matter while a newer one is being established.
        newest.then(|| ModuleEvent::Members(RosterUpdate::Failed, Vec::new()))
    }

    /// Applies an update to the tables, and converts it for the module.
    pub fn apply_update(&mut self, roll: RosterUpdate, update: RosterMessage, source: Source) -> ModuleEvent {
        let now = self.net.now();
        let RosterMessage { seq, whole, records, malformed } = update;
        self.discovery.updates += 1;
        if malformed > 0 {
            tracing::warn!(event = "skipped malformed roster records", odd = malformed, seq);
        }
        // An update that is older than the known state, from a link that lags behind, must not undo newer changes.
        if !whole && seq < self.discovery.seq {
            return ModuleEvent::Members(RosterUpdate::Changes, Vec::new());
        }
        self.discovery.seq = seq;
        let mut members = Vec::with_capacity(records.len());
        for record in records {
            if !self.may_list(&record.name) {
                continue;
            }
            let machine = self.ids.intern_machine(&record.name);
            let started = self.start_times.started(machine, record.started_ms, now, source);
            let gone = record.member.state == State::Gone;
            self.update_machine(machine, record.addr, record.member.build, started, gone);
            members.push(Member { machine, started, ..record.member });
        }
        if whole {
            let there: Vec<usize> = members.iter().map(|m| m.machine).collect();
            self.mark_absent_gone(&there);
        }
        ModuleEvent::Members(roll, members)
    }

    /// Subscribes to the rollout API's notifications, unless a subscription exists.
    pub fn subscribe(&mut self) {
        self.rollout_api.redial_scheduled = false;
        let Some(at) = self.rollout_api.addr.filter(|_| self.rollout_api.subscriptions.is_empty()) else {
            return;
        };
        self.dial_subscription(at);
    }

    fn dial_subscription(&mut self, at: SocketAddr) {
        let now = self.net.now();
        self.rollout_api.dialled += 1;
        match self.net.dial(at, CONNECT_TIMEOUT) {
            Ok(conn) => {
                self.net.send(conn, rollout_api::SUBSCRIBE);
                self.set_deadline(conn, now + LINK_TIMEOUT);
                self.rollout_api.subscriptions.push(Subscription { conn, buffer: Vec::new(), active: false });
            }
            Err(_) => self.schedule_redial(),
        }
    }

    fn schedule_redial(&mut self) {
        if self.rollout_api.redial_scheduled || !self.rollout_api.subscriptions.is_empty() {
            return;
        }
        let wait = self.rng.random_range(self.rollout_api.redial_delay / 2..=self.rollout_api.redial_delay);
        self.rollout_api.redial_delay = (self.rollout_api.redial_delay * 2).min(MAX_REDIAL_DELAY);
        self.rollout_api.redial_scheduled = true;
        self.net.wake_at(self.net.now() + wait, ROLLOUT_API_TIMER);
    }

    /// Establishes links to changed addresses while the old ones still serve. Returns whether discovery has moved.
    pub fn move_links(&mut self, discovery: SocketAddr, rollout_api: Option<SocketAddr>) -> bool {
        let discovery_moved = std::mem::replace(&mut self.discovery.addr, discovery) != discovery;
        if discovery_moved {
            self.watch_roster(true);
        }
        if std::mem::replace(&mut self.rollout_api.addr, rollout_api) != rollout_api {
            while self.rollout_api.subscriptions.len() >= MAX_LINKS {
                let old = self.rollout_api.subscriptions.remove(0);
                self.close_rollout_api(old.conn);
            }
            self.rollout_api.redial_delay = MIN_REDIAL_DELAY;
            if let Some(at) = rollout_api {
                self.dial_subscription(at);
            }
        }
        discovery_moved
    }

    fn close_rollout_api(&mut self, conn: Id) {
        self.deadlines.clear(conn);
        self.net.close(conn);
    }

    pub fn cast_vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        if let Some(old) = self.rollout_api.vote.take() {
            self.close_rollout_api(old.conn);
        }
        let timeout = self.config.front_config.rollout.call_timeout.max(100 * MS);
        tracing::info!(event = "vote", build, stage, verdict = ?verdict);
        // Each vote has its own connection: a kept one may just be closed by the server, and a vote that is lost on
        // it may have been counted.
        let dialled = self.rollout_api.addr.and_then(|at| self.net.dial(at, timeout).ok());
        match dialled {
            Some(conn) => {
                let at = self.net.now() + timeout;
                self.set_deadline(conn, at);
                let line = rollout_api::vote_line(build, stage, verdict);
                self.rollout_api.vote = Some(Vote { conn, line, buffer: Vec::new(), connected: false });
            }
            // Nothing was sent; the module casts the vote again later.
            None => tracing::warn!(event = "vote not sent", build),
        }
    }

    pub fn rollout_api_connected(&mut self, conn: Id) {
        if let Some(vote) = self.rollout_api.vote.as_mut().filter(|v| v.conn == conn) {
            vote.connected = true;
            let line = vote.line.clone();
            self.net.send(conn, line.as_bytes());
        }
    }

    pub fn rollout_api_bytes(&mut self, conn: Id, bytes: &[u8]) -> Vec<ModuleEvent> {
        let now = self.net.now();
        let mut events = Vec::new();
        if let Some(vote) = self.rollout_api.vote.as_mut().filter(|v| v.conn == conn) {
            vote.buffer.extend_from_slice(bytes);
            let line = take_line(&mut vote.buffer);
            if line.is_none() && vote.buffer.len() < rollout_api::MAX_LINE_LEN {
                return events;
            }
            self.rollout_api.vote = None;
            self.close_rollout_api(conn);
            let reply =
                line.as_deref().and_then(|l| l.strip_suffix(b"\r\n")).and_then(rollout_api::parse_line);
            events.push(match reply {
                Some(Line::Ok(status)) => {
                    ModuleEvent::Status(Reply::Counted, status.map(|s| to_rollout_status(now, s)))
                }
                Some(Line::Err(why)) => {
                    tracing::info!(event = "vote refused", why);
                    ModuleEvent::Status(Reply::Refused, None)
                }
                // The reply is malformed, and the vote may have been counted.
                _ => ModuleEvent::Status(Reply::TimedOut, None),
            });
            return events;
        }
        let Some(at) = self.rollout_api.subscriptions.iter().position(|n| n.conn == conn) else {
            return events;
        };
        self.set_deadline(conn, now + LINK_TIMEOUT);
        self.rollout_api.subscriptions[at].buffer.extend_from_slice(bytes);
        let mut malformed = false;
        while let Some(line) = take_line(&mut self.rollout_api.subscriptions[at].buffer) {
            let line = line.strip_suffix(b"\r\n").unwrap_or(b"");
            self.rollout_api.lines_received += 1;
            match rollout_api::parse_line(line) {
                Some(Line::Ok(_)) => {
                    self.rollout_api.subscriptions[at].active = true;
                    self.rollout_api.redial_delay = MIN_REDIAL_DELAY;
                }
                Some(Line::Progress(status)) => {
                    events.push(ModuleEvent::Status(Reply::News, Some(to_rollout_status(now, status))))
                }
                Some(Line::Tally { build, method, picks, not_ok }) => {
                    let method = self.config.method(method);
                    events.extend(method.map(|method| ModuleEvent::Tallied { build, method, picks, not_ok }));
                }
                Some(Line::Dispute { machine, age }) => {
                    let machine = self.ids.machine_index(machine);
                    events.extend(machine.map(|machine| ModuleEvent::Disputed { machine, sent: now - age }));
                }
                Some(Line::Heartbeat | Line::Unknown) => {}
                Some(Line::Err(_)) | None => {
                    malformed = true;
                    break;
                }
            }
        }
        if malformed || self.rollout_api.subscriptions[at].buffer.len() >= rollout_api::MAX_LINE_LEN {
            if let Some(left_out) = self.log_limit.allow(now) {
                tracing::warn!(event = "malformed data from the rollout API", left_out);
            }
            self.rollout_api_closed(conn, false);
        } else if at > 0 && self.rollout_api.subscriptions[at].active {
            for old in self.rollout_api.subscriptions.drain(..at).collect::<Vec<_>>() {
                self.close_rollout_api(old.conn);
            }
        }
        events
    }

    /// Handles the close or expiry of a connection to the rollout API; returns the outcome of a vote on it.
    pub fn rollout_api_closed(&mut self, conn: Id, unsent: bool) -> Option<ModuleEvent> {
        self.close_rollout_api(conn);
        if let Some(vote) = self.rollout_api.vote.take_if(|v| v.conn == conn) {
            let never_sent = unsent || !vote.connected;
            return Some(ModuleEvent::Status(
                if never_sent { Reply::Refused } else { Reply::TimedOut },
                None,
            ));
        }
        self.rollout_api.subscriptions.retain(|n| n.conn != conn);
        self.schedule_redial();
        None
    }
}

/// Names of the outcomes in the log, in the order of the enum.
pub const OUTCOME_NAMES: [(&str, Outcome); 8] = [
    ("ok", Outcome::Ok),
    ("error", Outcome::Error),
    ("full", Outcome::Full),
    ("timed out", Outcome::TimedOut),
    ("unreachable", Outcome::Unreachable),
    ("broken", Outcome::Broken),
    ("cancelled", Outcome::Cancelled),
    ("void", Outcome::Void),
];
