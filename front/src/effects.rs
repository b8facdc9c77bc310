//! Carries out the actions of the decision module: picks become HTTP requests, answers go to clients, votes
//! to the controller, and notes are sent as datagrams. It decides nothing itself.
use crate::call_timeouts::CallTimeouts;
use crate::Options;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick::{Actions, Ns, Outcome, RolloutStatus, Verdict};
use rockpick_control::api::verdict_name;
use rockpick_control::Settings;
use rockpick_id_table::IdTable;
use rockpick_net::http::{self, Headers, Request, Response};
use rockpick_net::{Call, Event, Id, LogLimiter, Net, MS, SEC};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Connect timeout to a machine. It is shorter than any drain grace in use, so that a pick that was
/// connecting when a drain was announced never leaves after the grace; a shorter grace lowers it further.
const CONNECT_TIMEOUT: Ns = 250 * MS;
/// Starts a datagram with a note; the sender's rank and the note follow.
const NOTE_MAGIC: &[u8; 4] = b"RPN1";
/// Maximum number of log lines of one kind per second.
pub const LOG_LINES: u32 = 20;

/// Whether a header concerns one connection only (RFC 9110 section 7.6.1) or is written by this front itself.
fn is_hop_by_hop(name: &str) -> bool {
    const HOP_BY_HOP: [&str; 13] = [
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "content-length",
        "host",
        "expect",
        "date",
    ];
    HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// The headers to forward: without hop-by-hop headers and those that the Connection header names.
fn forwarded_headers(headers: &Headers) -> impl Iterator<Item = (&str, &str)> {
    let named = move |name: &str| {
        headers.all("connection").any(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(name)))
    };
    let named: Vec<&str> = headers.iter().map(|(n, _)| n).filter(|n| !is_hop_by_hop(n) && named(n)).collect();
    headers.iter().filter(move |(n, _)| !is_hop_by_hop(n) && !named.contains(n))
}

/// An RPC that occupies a slot.
pub struct OpenRpc {
    pub instance: u64,
    pub conn: Id,
    pub method: usize,
    /// The time at which the client gives up; an answer must be sent before.
    pub client_deadline: Ns,
    request: Request,
    picks: Vec<Pick>,
    pick_timed_out: bool,
    /// The tenant that the RPC belongs to, and whether it was served (true) or pushed back (false).
    pub tenant: Option<u32>,
    served: Option<bool>,
}

struct Pick {
    call: Id,
    machine: usize,
    build: u32,
    sent: Ns,
    outstanding: bool,
}

/// The purpose of a call.
#[derive(Clone, Copy)]
pub enum CallKind {
    Pick(usize, usize),
    Vote,
    Watch,
    Fetch,
    Settings,
    Other,
}

/// A machine of the roster.
#[derive(Clone, Default)]
pub struct Machine {
    pub addr: Option<SocketAddr>,
    pub build: u32,
    pub run: u64,
    pub started: Option<Ns>,
    /// Since when the machine has been gone.
    pub gone: Option<Ns>,
    /// Number of outstanding picks at the machine.
    outstanding: u32,
    /// The start time comes from a snapshot; the first roster from the controller corrects it.
    pub start_estimated: bool,
    /// The roster entry as received, kept for the snapshot, and the time of receipt.
    pub roster_entry: Value,
    pub received_at: Ns,
}

#[derive(Default)]
pub struct Counters {
    pub taken: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub left: u64,
    pub picks: u64,
    pub not_taken: u64,
    pub late: u64,
}

pub struct Effects {
    pub net: Net,
    pub ids: IdTable,
    pub options: Options,
    pub settings: Settings,
    pub newest_instance: u64,
    /// The instance of the module that is being called.
    pub current_instance: u64,
    pub open: Vec<Option<OpenRpc>>,
    pub machines: Vec<Machine>,
    pub calls: HashMap<Id, CallKind>,
    /// Timeouts of picks and of calls to the controller.
    pub timeouts: CallTimeouts,
    /// Ends of picks that came up while the module was running; they are delivered to it next.
    pub pending_ends: Vec<(usize, usize, Outcome, Ns)>,
    pub pending_events: Vec<Event>,
    /// The addresses for notes to other fronts, by rank.
    pub peers: BTreeMap<u32, SocketAddr>,
    pub notes_socket: Id,
    pub address: String,
    pub advertised_notes_addr: String,
    /// The local address on which notes are received; other fronts may be given another one.
    pub notes_addr: SocketAddr,
    pub watch_call: Option<Id>,
    pub vote_call: Option<Id>,
    /// Number of sampled picks and of those that were not ok, by build and method.
    pub counts: BTreeMap<(u32, usize), [u32; 2]>,
    pub rng: StdRng,
    pub counters: Counters,
    /// Finished RPCs of tenants: the tenant, and whether the RPC was served.
    pub finished_tenant_rpcs: Vec<(u32, bool)>,
    /// Keys that a build has answered for the first time at this front.
    pub new_bindings: Vec<(u64, u32)>,
    pub status: Option<RolloutStatus>,
    pub log_limiter: LogLimiter,
    /// Time spent in the module, and the part of it spent on carrying out actions; measured only if profiling
    /// is on.
    pub module_time: Ns,
    pub actions_time: Ns,
}

/// Tags of timers. Those of the module also carry the number of the instance that set them.
pub const MODULE: u64 = 1 << 62;
pub const CALL_TIMEOUT: u64 = 1;
pub const TICK: u64 = 2;
pub const PEERS: u64 = 3;

impl Effects {
    pub fn new(
        options: Options, settings: Settings, net: Net, notes_socket: Id, address: SocketAddr,
        notes_addr: SocketAddr,
    ) -> Effects {
        let advertised_notes_addr = options.notes_at.unwrap_or(notes_addr).to_string();
        Effects {
            notes_addr,
            net,
            ids: IdTable::default(),
            rng: StdRng::seed_from_u64(options.seed),
            options,
            settings,
            newest_instance: 0,
            current_instance: 0,
            open: Vec::new(),
            machines: Vec::new(),
            calls: HashMap::new(),
            timeouts: CallTimeouts::default(),
            pending_ends: Vec::new(),
            pending_events: Vec::new(),
            peers: BTreeMap::new(),
            notes_socket,
            address: address.to_string(),
            advertised_notes_addr,
            watch_call: None,
            vote_call: None,
            counts: BTreeMap::new(),
            finished_tenant_rpcs: Vec::new(),
            new_bindings: Vec::new(),
            counters: Counters::default(),
            status: None,
            log_limiter: LogLimiter::new(LOG_LINES),
            module_time: 0,
            actions_time: 0,
        }
    }

    /// Takes an RPC: assigns a slot, and returns it with the deadline for the module, which is the client's
    /// less the answer margin.
    pub fn open_rpc(&mut self, conn: Id, method: usize, time_left: Ns, request: Request) -> (usize, Ns) {
        self.counters.taken += 1;
        let rpc = self.ids.open(conn);
        if self.open.len() <= rpc {
            self.open.resize_with(rpc + 1, || None);
        }
        let client_deadline = self.net.now() + time_left;
        let margin = self.settings.guard.answer_margin_ms as Ns * MS;
        let instance = self.newest_instance;
        self.open[rpc] = Some(OpenRpc {
            instance,
            conn,
            method,
            client_deadline,
            request,
            picks: Vec::new(),
            pick_timed_out: false,
            tenant: None,
            served: None,
        });
        (rpc, client_deadline - margin)
    }

    /// Calls the controller. The result is reported with `kind`, or as a timeout after `within`.
    pub fn call_controller(
        &mut self, kind: CallKind, method: &str, target: &str, body: &str, within: Option<Ns>,
    ) -> Id {
        let to = self.options.controller;
        let headers = [("Content-Type", "application/json")];
        let request = http::encode_request(method, target, &to.to_string(), &headers, body.as_bytes());
        let stream = matches!(kind, CallKind::Watch);
        let call = Call { to, request: &request, connect_within: SEC, stream, head_only: false };
        let id = self.net.call(&mut self.pending_events, call);
        self.calls.insert(id, kind);
        if let Some(within) = within {
            self.set_call_timeout(self.net.now() + within, id);
        }
        id
    }

    fn set_call_timeout(&mut self, at: Ns, call: Id) {
        let calls = &self.calls;
        if let Some(at) = self.timeouts.add(at, call, calls.len(), |c| calls.contains_key(&c)) {
            self.net.wake_at(at, CALL_TIMEOUT);
        }
    }

    /// The next call that has timed out. After the last one the timer for the next timeout is set.
    pub fn next_timed_out(&mut self) -> Option<Id> {
        let calls = &self.calls;
        let expired = self.timeouts.pop_expired(self.net.now(), |c| calls.contains_key(&c));
        if expired.is_none() {
            if let Some(at) = self.timeouts.next_timer() {
                self.net.wake_at(at, CALL_TIMEOUT);
            }
        }
        expired
    }

    /// Handles the end of a pick: forwards the first ok answer and returns what the module must be told.
    pub fn pick_ended(
        &mut self, rpc: usize, pick: usize, outcome: Outcome, response: Option<Response>,
    ) -> Option<(u64, Ns, bool)> {
        let now = self.net.now();
        let open = self.open.get_mut(rpc)?.as_mut()?;
        let p = open.picks.get_mut(pick).filter(|p| p.outstanding)?;
        p.outstanding = false;
        let (took, machine, build, method, instance) =
            (now - p.sent, p.machine, p.build, open.method, open.instance);
        open.pick_timed_out |= outcome == Outcome::TimedOut;
        let picks = open.picks.len();
        self.ids.pick_ended(rpc);
        self.machines[machine].outstanding = self.machines[machine].outstanding.saturating_sub(1);
        // Skips picks of former settings, whose method numbers differ, and all picks if counts are not sent.
        let r = &self.settings.rollout;
        let counted =
            r.tally_every_ms > 0 && instance == self.newest_instance && outcome != Outcome::Cancelled;
        if counted && self.rng.random::<f64>() < r.tally_sample {
            let count = self.counts.entry((build, method)).or_default();
            let bad = u32::from(outcome != Outcome::Ok);
            *count = [count[0].saturating_add(1), count[1].saturating_add(bad)];
        }
        if let Some(response) = response.filter(|_| outcome == Outcome::Ok && !self.ids.finished(rpc)) {
            self.counters.ok += 1;
            open.served = Some(true);
            let (build, picks) = (build.to_string(), picks.to_string());
            let own = |n: &str| n.len() > 9 && n[..9].eq_ignore_ascii_case("rockpick-");
            let mut headers: Vec<(&str, &str)> =
                forwarded_headers(&response.headers).filter(|(n, _)| !own(n)).collect();
            headers.push(("Rockpick-Answer", "ok"));
            headers.push(("Rockpick-Build", &build));
            headers.push(("Rockpick-Machine", self.ids.machine_name(machine)));
            headers.push(("Rockpick-Picks", &picks));
            let (conn, client_deadline) = (open.conn, open.client_deadline);
            respond(
                &mut self.net,
                &mut self.counters,
                conn,
                client_deadline,
                response.status,
                &headers,
                &response.body,
            );
            self.ids.finish(rpc);
        }
        Some((instance, took, self.ids.finished(rpc)))
    }

    /// Frees the slot of an RPC once it is answered and no pick is outstanding.
    pub fn release(&mut self, rpc: usize) {
        if self.ids.release(rpc) {
            let finished = self.open[rpc].take().and_then(|o| Some((o.tenant?, o.served?)));
            self.finished_tenant_rpcs.extend(finished);
        }
    }

    /// Forgets machines that have been gone for at least `longer` and have no outstanding pick; their numbers
    /// are reused.
    pub fn forget(&mut self, longer: Ns) {
        forget(&mut self.machines, &mut self.ids, self.net.now(), longer);
    }

    /// The number of RPCs without an answer, and of outstanding picks by build.
    pub fn in_flight(&self) -> (usize, BTreeMap<u32, usize>) {
        let mut by_build = BTreeMap::new();
        let open = || self.open.iter().flatten();
        for pick in open().flat_map(|o| &o.picks).filter(|p| p.outstanding) {
            *by_build.entry(pick.build).or_default() += 1;
        }
        (
            self.open.iter().zip(0..).filter(|(o, rpc)| o.is_some() && !self.ids.finished(*rpc)).count(),
            by_build,
        )
    }

    /// Whether an instance has no open RPC.
    pub fn idle(&self, instance: u64) -> bool {
        !self.open.iter().flatten().any(|o| o.instance == instance)
    }
}

fn forget(machines: &mut [Machine], ids: &mut IdTable, now: Ns, longer: Ns) {
    for (machine, entry) in machines.iter_mut().enumerate() {
        if entry.outstanding == 0 && entry.gone.is_some_and(|since| now - since >= longer) {
            ids.forget_machine(machine);
            *entry = Machine::default();
        }
    }
}

impl Effects {
    fn send_pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        let Some(open) = self.open.get_mut(rpc).and_then(Option::as_mut) else { return };
        let entry = &mut self.machines[machine];
        let number = open.picks.len();
        self.ids.pick_sent(rpc);
        entry.outstanding += 1;
        self.counters.picks += 1;
        let now = self.net.now();
        let mut pick = Pick { call: 0, machine, build: entry.build, sent: now, outstanding: true };
        let Some(to) = entry.addr.filter(|_| time_out > 0 && !self.ids.finished(rpc)) else {
            open.picks.push(pick);
            let none = if time_out > 0 { Outcome::Unreachable } else { Outcome::Void };
            return self.pending_ends.push((rpc, number, none, 0));
        };
        let (time_left, number_text) = ((time_out / MS).to_string(), number.to_string());
        let mut headers: Vec<(&str, &str)> = forwarded_headers(&open.request.headers)
            .filter(|(n, _)| {
                !n.eq_ignore_ascii_case("rockpick-time-left-ms")
                    && !n.eq_ignore_ascii_case("rockpick-pick")
                    && !n.eq_ignore_ascii_case("rockpick-front")
            })
            .collect();
        headers.push(("Rockpick-Time-Left-Ms", &time_left));
        headers.push(("Rockpick-Pick", &number_text));
        headers.push(("Rockpick-Front", &self.options.name));
        let request =
            http::encode_request("POST", &open.request.target, &to.to_string(), &headers, &open.request.body);
        let grace = self.settings.guard.drain_grace_ms as Ns * MS;
        let connect_within = CONNECT_TIMEOUT.min(grace).min(time_out);
        let call = Call { to, request: &request, connect_within, stream: false, head_only: false };
        pick.call = self.net.call(&mut self.pending_events, call);
        let id = pick.call;
        open.picks.push(pick);
        self.calls.insert(id, CallKind::Pick(rpc, number));
        self.set_call_timeout(now + time_out, id);
    }
}

/// Sends an answer. If the client has given up already, the connection is closed instead.
fn respond(
    net: &mut Net, counters: &mut Counters, conn: Id, by: Ns, status: u16, headers: &[(&str, &str)],
    body: &[u8],
) {
    if net.clock() >= by {
        counters.late += 1;
        return net.close(conn);
    }
    net.answer(conn, status, headers, body);
}

/// The headers of a pushback, with the values of [`retry_after_values`].
pub fn pushback_headers<'a>(seconds: &'a str, ms: &'a str) -> [(&'static str, &'a str); 3] {
    [("Rockpick-Answer", "pushed-back"), ("Retry-After", seconds), ("Rockpick-Retry-After-Ms", ms)]
}

/// The time to wait before a retry: in whole seconds for any client, and in milliseconds for clients that
/// know the header.
pub fn retry_after_values(wait: Ns) -> [String; 2] {
    [((wait + SEC - 1) / SEC).max(1).to_string(), ((wait + MS - 1) / MS).max(0).to_string()]
}

impl Actions for Effects {
    fn now(&self) -> Ns {
        self.net.now()
    }

    fn pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        let started = self.options.profile.then(|| self.net.clock());
        self.send_pick(rpc, machine, time_out);
        if let Some(started) = started {
            self.actions_time += self.net.clock() - started;
        }
    }
    fn cancel(&mut self, rpc: usize, pick: u32) {
        let open = self.open.get(rpc).and_then(Option::as_ref);
        if let Some(p) = open.and_then(|o| o.picks.get(pick as usize)).filter(|p| p.outstanding) {
            let (call, took) = (p.call, self.net.now() - p.sent);
            self.calls.remove(&call);
            self.net.cancel(call);
            self.pending_ends.push((rpc, pick as usize, Outcome::Cancelled, took));
        }
    }

    fn push_back(&mut self, rpc: usize, wait: Ns) {
        let done = self.ids.finished(rpc);
        let Some(open) = self.open[rpc].as_mut().filter(|_| !done) else { return };
        open.served = Some(false);
        let [seconds, ms] = retry_after_values(wait);
        let headers = pushback_headers(&seconds, &ms);
        self.counters.pushed_back += 1;
        respond(
            &mut self.net,
            &mut self.counters,
            open.conn,
            open.client_deadline,
            503,
            &headers,
            b"pushed back\n",
        );
        self.ids.finish(rpc);
    }

    fn abort(&mut self, rpc: usize) {
        let Some(open) = self.open[rpc].as_ref().filter(|_| !self.ids.finished(rpc)) else { return };
        let status = if open.pick_timed_out { 504 } else { 502 };
        self.counters.aborted += 1;
        let headers = [("Rockpick-Answer", "aborted")];
        respond(
            &mut self.net,
            &mut self.counters,
            open.conn,
            open.client_deadline,
            status,
            &headers,
            b"aborted\n",
        );
        self.ids.finish(rpc);
    }

    fn wake_at(&mut self, at: Ns, tag: u64) {
        self.net.wake_at(at, MODULE | self.current_instance << 8 | tag & 0xff);
    }

    fn probe(&mut self, machine: usize) {
        let Some(to) = self.machines[machine].addr else { return };
        let request = http::encode_request("GET", "/probe", &to.to_string(), &[], b"");
        let call =
            Call { to, request: &request, connect_within: CONNECT_TIMEOUT, stream: false, head_only: false };
        let id = self.net.call(&mut self.pending_events, call);
        self.calls.insert(id, CallKind::Other);
        self.set_call_timeout(self.net.now() + SEC, id);
    }

    fn send_note(&mut self, peer: Option<u32>, note: &[u8]) {
        let own = self.settings.fronts.iter().position(|f| f.name == self.options.name).unwrap_or(0) as u32;
        let mut bytes = NOTE_MAGIC.to_vec();
        bytes.extend(own.to_be_bytes());
        bytes.extend(note);
        let to = self.peers.iter().filter(|(rank, _)| peer.map_or(**rank != own, |p| p == **rank));
        for (_, at) in to {
            self.net.send_datagram(self.notes_socket, *at, &bytes);
        }
    }

    fn watch(&mut self, on: bool) {
        if self.current_instance != self.newest_instance {
            return; // the newest instance watches for all
        }
        if let Some(old) = self.watch_call.take() {
            self.calls.remove(&old);
            self.net.cancel(old);
        }
        if on {
            let target = format!(
                "/watch?front={}&http={}&notes={}",
                self.options.name, self.address, self.advertised_notes_addr
            );
            self.watch_call = Some(self.call_controller(CallKind::Watch, "GET", &target, "", None));
        }
    }

    fn fetch(&mut self) {
        self.call_controller(CallKind::Fetch, "GET", "/roster", "", Some(2 * SEC));
    }

    fn key_bound(&mut self, key: u64, build: u32) {
        self.new_bindings.push((key, build));
    }

    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        if self.current_instance != self.newest_instance {
            return; // instances of former settings do not vote
        }
        if let Some(old) = self.vote_call.take() {
            self.calls.remove(&old);
            self.net.cancel(old);
        }
        let word = verdict_name(verdict);
        if let Some(left_out) = self.log_limiter.allow(self.net.now()) {
            tracing::info!(event = "vote", build, stage, verdict = word, left_out);
        }
        let body = json!({ "front": self.options.name, "build": build, "stage": stage, "verdict": word })
            .to_string();
        let within = self.settings.rollout.call_timeout_ms as Ns * MS;
        self.vote_call = Some(self.call_controller(CallKind::Vote, "POST", "/votes", &body, Some(within)));
    }

    fn log(&mut self, text: &str) {
        tracing::info!(event = "verdict", text);
    }
}

/// Parses a datagram into the rank of the sender and the note.
pub fn parse_note(bytes: &[u8]) -> Option<(u32, &[u8])> {
    let rest = bytes.strip_prefix(NOTE_MAGIC)?;
    let (rank, note) = rest.split_first_chunk::<4>()?;
    Some((u32::from_be_bytes(*rank), note))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn notes_of_another_version_are_rejected() {
        assert_eq!(parse_note(b"RPN1\0\0\0\x07note"), Some((7, &b"note"[..])));
        assert!(parse_note(b"RPN2\0\0\0\x07note").is_none() && parse_note(b"RPN1\0").is_none());
    }

    /// Guards against unbounded growth while names come and go for years. A machine with an outstanding pick
    /// must keep its number.
    #[test]
    fn gone_machines_without_outstanding_picks_are_forgotten() {
        let (mut machines, mut ids): (Vec<Machine>, IdTable) = (Vec::new(), IdTable::default());
        for i in 0..100_000 {
            let machine = ids.intern_machine(&format!("m{i}"));
            machines.resize_with(machines.len().max(machine + 1), Machine::default);
            assert_eq!(
                machines[machine].outstanding, 0,
                "the number of a machine with an outstanding pick was reused"
            );
            machines[machine] =
                Machine { gone: Some(i * SEC), outstanding: u32::from(i == 7), ..Machine::default() };
            forget(&mut machines, &mut ids, i * SEC, 60 * SEC);
        }
        assert!(ids.machine_count() <= 61 && machines.len() <= 62, "{} names", ids.machine_count());
        assert_eq!(ids.machine_name(ids.machine_index("m7").unwrap()), "m7");
    }
}
