//! What the module's actions do: picks become HTTP requests, answers go to clients, votes to the controller,
//! notes out as datagrams. It decides nothing.
use crate::lapses::Lapses;
use crate::Options;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick::{Ctl, Ns, Outcome, Standing, Verdict};
use rockpick_control::desk::verdict_word;
use rockpick_control::Charter;
use rockpick_door::Door;
use rockpick_net::http::{self, Headers, Request, Response};
use rockpick_net::{Call, Event, Id, LogLimiter, Net, MS, SEC};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A connection to a machine that takes longer is given up. Shorter than any drain grace in use, so that a
/// pick that was connecting when a drain was told never leaves after the grace; shorter ones cut it further.
const CONNECT: Ns = 250 * MS;
/// Says who sent a note: four letters, the sender's rank, then the note.
const NOTE: &[u8; 4] = b"RPN1";
/// Lines of one kind in the log, a second.
pub const LOG_LINES: u32 = 20;

/// Lines that concern one connection only (RFC 9110 section 7.6.1), or that this front writes itself.
fn stays(name: &str) -> bool {
    const HOP: [&str; 13] = [
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
    HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Lines to pass on: not those of the hop, nor those that the peer's Connection line names.
fn passed(lines: &Headers) -> impl Iterator<Item = (&str, &str)> {
    let named = move |name: &str| {
        lines.all("connection").any(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(name)))
    };
    let named: Vec<&str> = lines.iter().map(|(n, _)| n).filter(|n| !stays(n) && named(n)).collect();
    lines.iter().filter(move |(n, _)| !stays(n) && !named.contains(n))
}

/// An RPC whose slot is in use.
pub struct Open {
    pub life: u64,
    pub conn: Id,
    pub method: usize,
    /// When the client gives up, and when it must have left here to be there by then.
    pub gives_up: Ns,
    request: Request,
    picks: Vec<Pick>,
    late: bool,
    /// Whose it is, and whether it was served or refused.
    pub tenant: Option<u32>,
    served: Option<bool>,
}

struct Pick {
    call: Id,
    machine: usize,
    build: u32,
    sent: Ns,
    out: bool,
}

/// What a call was for.
#[derive(Clone, Copy)]
pub enum What {
    Pick(usize, usize),
    Vote,
    Watch,
    Fetch,
    Settings,
    Else,
}

/// A machine as the roster shows it.
#[derive(Clone, Default)]
pub struct Place {
    pub addr: Option<SocketAddr>,
    pub build: u32,
    pub run: u64,
    pub started: Option<Ns>,
    /// Since when it has been gone; picks that are out there.
    pub gone: Option<Ns>,
    out: u32,
    /// Its start is a snapshot's word: the first telling puts it right.
    pub guess: bool,
    /// Its line, for the snapshot, and when that came.
    pub line: Value,
    pub at: Ns,
}

#[derive(Default)]
pub struct Tolls {
    pub taken: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub left: u64,
    pub picks: u64,
    pub not_taken: u64,
    pub late: u64,
}

pub struct Wire {
    pub net: Net,
    pub door: Door,
    pub opening: Options,
    pub charter: Charter,
    pub life: u64,
    /// The life whose call is being made.
    pub acting: u64,
    pub open: Vec<Option<Open>>,
    pub places: Vec<Place>,
    pub calls: HashMap<Id, What>,
    /// Time-outs of picks and of calls to the controller.
    pub lapses: Lapses,
    /// Ends that came while the module was at work: told to it next.
    pub owed: Vec<(usize, usize, Outcome, Ns)>,
    pub made: Vec<Event>,
    pub peers: BTreeMap<u32, SocketAddr>,
    pub notes: Id,
    pub at: String,
    pub notes_at: String,
    /// Where notes come in, whatever the others are told.
    pub notes_real: SocketAddr,
    pub watch: Option<Id>,
    pub voting: Option<Id>,
    /// Sampled picks and those not ok, by build and method.
    pub counts: BTreeMap<(u32, usize), [u32; 2]>,
    pub chance: StdRng,
    pub tolls: Tolls,
    /// RPCs of tenants that are over: whose, and whether served.
    pub over: Vec<(u32, bool)>,
    /// Keys that a build has answered here for the first time.
    pub bound: Vec<(u64, u32)>,
    pub standing: Option<Standing>,
    pub often: LogLimiter,
    /// Time spent in the module, and of that in carrying its actions out, where it is asked for.
    pub in_module: Ns,
    pub in_actions: Ns,
}

/// Tags of the loop's timers: the module's carry the life that set them.
pub const MODULE: u64 = 1 << 62;
pub const LAPSE: u64 = 1;
pub const TICK: u64 = 2;
pub const PEERS: u64 = 3;

impl Wire {
    pub fn new(
        opening: Options, charter: Charter, net: Net, notes: Id, at: SocketAddr, notes_at: SocketAddr,
    ) -> Wire {
        let notes_real = notes_at;
        let notes_at = opening.notes_at.unwrap_or(notes_at).to_string();
        Wire {
            notes_real,
            net,
            door: Door::default(),
            chance: StdRng::seed_from_u64(opening.seed),
            opening,
            charter,
            life: 0,
            acting: 0,
            open: Vec::new(),
            places: Vec::new(),
            calls: HashMap::new(),
            lapses: Lapses::default(),
            owed: Vec::new(),
            made: Vec::new(),
            peers: BTreeMap::new(),
            notes,
            at: at.to_string(),
            notes_at,
            watch: None,
            voting: None,
            counts: BTreeMap::new(),
            over: Vec::new(),
            bound: Vec::new(),
            tolls: Tolls::default(),
            standing: None,
            often: LogLimiter::new(LOG_LINES),
            in_module: 0,
            in_actions: 0,
        }
    }

    /// Takes an RPC: a slot for it. The client's deadline and the one for the module come from its time left.
    pub fn take(&mut self, conn: Id, method: usize, left: Ns, request: Request) -> (usize, Ns) {
        self.tolls.taken += 1;
        let rpc = self.door.open(conn);
        if self.open.len() <= rpc {
            self.open.resize_with(rpc + 1, || None);
        }
        let gives_up = self.net.now() + left;
        let margin = self.charter.guard.answer_margin_ms as Ns * MS;
        let life = self.life;
        self.open[rpc] = Some(Open {
            life,
            conn,
            method,
            gives_up,
            request,
            picks: Vec::new(),
            late: false,
            tenant: None,
            served: None,
        });
        (rpc, gives_up - margin)
    }

    /// Calls the controller; its end comes back as `what`, at the latest as a lapse after `within`.
    pub fn ask(&mut self, what: What, method: &str, target: &str, body: &str, within: Option<Ns>) -> Id {
        let to = self.opening.controller;
        let lines = [("Content-Type", "application/json")];
        let request = http::encode_request(method, target, &to.to_string(), &lines, body.as_bytes());
        let stream = matches!(what, What::Watch);
        let call = Call { to, request: &request, connect_within: SEC, stream, head_only: false };
        let id = self.net.call(&mut self.made, call);
        self.calls.insert(id, what);
        if let Some(within) = within {
            self.lapse_at(self.net.now() + within, id);
        }
        id
    }

    fn lapse_at(&mut self, at: Ns, call: Id) {
        let calls = &self.calls;
        if let Some(at) = self.lapses.add(at, call, calls.len(), |c| calls.contains_key(&c)) {
            self.net.wake_at(at, LAPSE);
        }
    }

    /// A call whose time is over; after the last one the next timer is set.
    pub fn lapsed(&mut self) -> Option<Id> {
        let calls = &self.calls;
        let over = self.lapses.over(self.net.now(), |c| calls.contains_key(&c));
        if over.is_none() {
            if let Some(at) = self.lapses.next() {
                self.net.wake_at(at, LAPSE);
            }
        }
        over
    }

    /// A pick has ended: forwards the first ok answer, and returns what the module is to be told.
    pub fn pick_ended(
        &mut self, rpc: usize, pick: usize, outcome: Outcome, response: Option<Response>,
    ) -> Option<(u64, Ns, bool)> {
        let now = self.net.now();
        let open = self.open.get_mut(rpc)?.as_mut()?;
        let p = open.picks.get_mut(pick).filter(|p| p.out)?;
        p.out = false;
        let (took, machine, build, method, life) = (now - p.sent, p.machine, p.build, open.method, open.life);
        open.late |= outcome == Outcome::TimedOut;
        let picks = open.picks.len();
        self.door.came_back(rpc);
        self.places[machine].out = self.places[machine].out.saturating_sub(1);
        // Methods of former settings have other numbers; where nothing is told nothing is gathered.
        let r = &self.charter.rollout;
        let tells = r.tally_every_ms > 0 && life == self.life && outcome != Outcome::Cancelled;
        if tells && self.chance.random::<f64>() < r.tally_sample {
            let count = self.counts.entry((build, method)).or_default();
            let bad = u32::from(outcome != Outcome::Ok);
            *count = [count[0].saturating_add(1), count[1].saturating_add(bad)];
        }
        if let Some(response) = response.filter(|_| outcome == Outcome::Ok && !self.door.finished(rpc)) {
            self.tolls.ok += 1;
            open.served = Some(true);
            let (build, picks) = (build.to_string(), picks.to_string());
            let own = |n: &str| n.len() > 9 && n[..9].eq_ignore_ascii_case("rockpick-");
            let mut lines: Vec<(&str, &str)> = passed(&response.headers).filter(|(n, _)| !own(n)).collect();
            lines.push(("Rockpick-Answer", "ok"));
            lines.push(("Rockpick-Build", &build));
            lines.push(("Rockpick-Machine", self.door.name(machine)));
            lines.push(("Rockpick-Picks", &picks));
            let (conn, gives_up) = (open.conn, open.gives_up);
            send(&mut self.net, &mut self.tolls, conn, gives_up, response.status, &lines, &response.body);
            self.door.finish(rpc);
        }
        Some((life, took, self.door.finished(rpc)))
    }

    /// Frees an RPC's slot once nothing more can come of it.
    pub fn sweep(&mut self, rpc: usize) {
        if self.door.sweep(rpc) {
            let over = self.open[rpc].take().and_then(|o| Some((o.tenant?, o.served?)));
            self.over.extend(over);
        }
    }

    /// Forgets machines that have been gone for so long and owe no pick's end: others get their numbers.
    pub fn forget(&mut self, longer: Ns) {
        forget(&mut self.places, &mut self.door, self.net.now(), longer);
    }

    /// RPCs that are owed an answer, and picks that are out by build.
    pub fn in_flight(&self) -> (usize, BTreeMap<u32, usize>) {
        let mut out = BTreeMap::new();
        let open = || self.open.iter().flatten();
        for pick in open().flat_map(|o| &o.picks).filter(|p| p.out) {
            *out.entry(pick.build).or_default() += 1;
        }
        (self.open.iter().zip(0..).filter(|(o, rpc)| o.is_some() && !self.door.finished(*rpc)).count(), out)
    }

    /// Is no RPC of a life open any more?
    pub fn idle(&self, life: u64) -> bool {
        !self.open.iter().flatten().any(|o| o.life == life)
    }
}

fn forget(places: &mut [Place], door: &mut Door, now: Ns, longer: Ns) {
    for (machine, place) in places.iter_mut().enumerate() {
        if place.out == 0 && place.gone.is_some_and(|since| now - since >= longer) {
            door.forget(machine);
            *place = Place::default();
        }
    }
}

impl Wire {
    fn send_pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        let Some(open) = self.open.get_mut(rpc).and_then(Option::as_mut) else { return };
        let place = &mut self.places[machine];
        let number = open.picks.len();
        self.door.sent(rpc);
        place.out += 1;
        self.tolls.picks += 1;
        let now = self.net.now();
        let mut pick = Pick { call: 0, machine, build: place.build, sent: now, out: true };
        let Some(to) = place.addr.filter(|_| time_out > 0 && !self.door.finished(rpc)) else {
            open.picks.push(pick);
            let none = if time_out > 0 { Outcome::Unreachable } else { Outcome::Void };
            return self.owed.push((rpc, number, none, 0));
        };
        let (left, nth) = ((time_out / MS).to_string(), number.to_string());
        let mut lines: Vec<(&str, &str)> = passed(&open.request.headers)
            .filter(|(n, _)| {
                !n.eq_ignore_ascii_case("rockpick-time-left-ms")
                    && !n.eq_ignore_ascii_case("rockpick-pick")
                    && !n.eq_ignore_ascii_case("rockpick-front")
            })
            .collect();
        lines.push(("Rockpick-Time-Left-Ms", &left));
        lines.push(("Rockpick-Pick", &nth));
        lines.push(("Rockpick-Front", &self.opening.name));
        let request =
            http::encode_request("POST", &open.request.target, &to.to_string(), &lines, &open.request.body);
        let grace = self.charter.guard.drain_grace_ms as Ns * MS;
        let connect_within = CONNECT.min(grace).min(time_out);
        let call = Call { to, request: &request, connect_within, stream: false, head_only: false };
        pick.call = self.net.call(&mut self.made, call);
        let id = pick.call;
        open.picks.push(pick);
        self.calls.insert(id, What::Pick(rpc, number));
        self.lapse_at(now + time_out, id);
    }
}

/// An answer that would come after the client has given up is not sent: the connection is closed.
fn send(
    net: &mut Net, tolls: &mut Tolls, conn: Id, by: Ns, status: u16, lines: &[(&str, &str)], body: &[u8],
) {
    if net.clock() >= by {
        tolls.late += 1;
        return net.close(conn);
    }
    net.answer(conn, status, lines, body);
}

/// Lines of a pushback, around what [`wait_lines`] has made.
pub fn back_lines<'a>(seconds: &'a str, ms: &'a str) -> [(&'static str, &'a str); 3] {
    [("Rockpick-Answer", "pushed-back"), ("Retry-After", seconds), ("Rockpick-Retry-After-Ms", ms)]
}

/// A pushback's lines: when to return, in whole seconds for any client and in ms for those that know.
pub fn wait_lines(wait: Ns) -> [String; 2] {
    [((wait + SEC - 1) / SEC).max(1).to_string(), ((wait + MS - 1) / MS).max(0).to_string()]
}

impl Ctl for Wire {
    fn now(&self) -> Ns {
        self.net.now()
    }

    fn pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        let began = self.opening.profile.then(|| self.net.clock());
        self.send_pick(rpc, machine, time_out);
        if let Some(began) = began {
            self.in_actions += self.net.clock() - began;
        }
    }
    fn cancel(&mut self, rpc: usize, pick: u32) {
        let open = self.open.get(rpc).and_then(Option::as_ref);
        if let Some(p) = open.and_then(|o| o.picks.get(pick as usize)).filter(|p| p.out) {
            let (call, took) = (p.call, self.net.now() - p.sent);
            self.calls.remove(&call);
            self.net.cancel(call);
            self.owed.push((rpc, pick as usize, Outcome::Cancelled, took));
        }
    }

    fn push_back(&mut self, rpc: usize, wait: Ns) {
        let done = self.door.finished(rpc);
        let Some(open) = self.open[rpc].as_mut().filter(|_| !done) else { return };
        open.served = Some(false);
        let [seconds, ms] = wait_lines(wait);
        let lines = back_lines(&seconds, &ms);
        self.tolls.pushed_back += 1;
        send(&mut self.net, &mut self.tolls, open.conn, open.gives_up, 503, &lines, b"pushed back\n");
        self.door.finish(rpc);
    }

    fn abort(&mut self, rpc: usize) {
        let Some(open) = self.open[rpc].as_ref().filter(|_| !self.door.finished(rpc)) else { return };
        let status = if open.late { 504 } else { 502 };
        self.tolls.aborted += 1;
        let lines = [("Rockpick-Answer", "aborted")];
        send(&mut self.net, &mut self.tolls, open.conn, open.gives_up, status, &lines, b"aborted\n");
        self.door.finish(rpc);
    }

    fn wake_at(&mut self, at: Ns, tag: u64) {
        self.net.wake_at(at, MODULE | self.acting << 8 | tag & 0xff);
    }

    fn probe(&mut self, machine: usize) {
        let Some(to) = self.places[machine].addr else { return };
        let request = http::encode_request("GET", "/probe", &to.to_string(), &[], b"");
        let call = Call { to, request: &request, connect_within: CONNECT, stream: false, head_only: false };
        let id = self.net.call(&mut self.made, call);
        self.calls.insert(id, What::Else);
        self.lapse_at(self.net.now() + SEC, id);
    }

    fn tell(&mut self, peer: Option<u32>, note: &[u8]) {
        let own = self.charter.fronts.iter().position(|f| f.name == self.opening.name).unwrap_or(0) as u32;
        let mut bytes = NOTE.to_vec();
        bytes.extend(own.to_be_bytes());
        bytes.extend(note);
        let to = self.peers.iter().filter(|(rank, _)| peer.map_or(**rank != own, |p| p == **rank));
        for (_, at) in to {
            self.net.send_datagram(self.notes, *at, &bytes);
        }
    }

    fn watch(&mut self, on: bool) {
        if self.acting != self.life {
            return; // the newest life watches for all
        }
        if let Some(old) = self.watch.take() {
            self.calls.remove(&old);
            self.net.cancel(old);
        }
        if on {
            let target =
                format!("/watch?front={}&http={}&notes={}", self.opening.name, self.at, self.notes_at);
            self.watch = Some(self.ask(What::Watch, "GET", &target, "", None));
        }
    }

    fn fetch(&mut self) {
        self.ask(What::Fetch, "GET", "/roster", "", Some(2 * SEC));
    }

    fn bound(&mut self, key: u64, build: u32) {
        self.bound.push((key, build));
    }

    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        if self.acting != self.life {
            return; // a life that is on its way out has no voice
        }
        if let Some(old) = self.voting.take() {
            self.calls.remove(&old);
            self.net.cancel(old);
        }
        let word = verdict_word(verdict);
        if let Some(left_out) = self.often.allow(self.net.now()) {
            tracing::info!(event = "vote", build, stage, verdict = word, left_out);
        }
        let body = json!({ "front": self.opening.name, "build": build, "stage": stage, "verdict": word })
            .to_string();
        let within = self.charter.rollout.call_timeout_ms as Ns * MS;
        self.voting = Some(self.ask(What::Vote, "POST", "/votes", &body, Some(within)));
    }

    fn note(&mut self, text: &str) {
        tracing::info!(event = "verdict", text);
    }
}

/// The sender's rank and the note, if the datagram is one.
pub fn read_note(bytes: &[u8]) -> Option<(u32, &[u8])> {
    let rest = bytes.strip_prefix(NOTE)?;
    let (rank, note) = rest.split_first_chunk::<4>()?;
    Some((u32::from_be_bytes(*rank), note))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_note_of_another_version_is_none() {
        assert_eq!(read_note(b"RPN1\0\0\0\x07note"), Some((7, &b"note"[..])));
        assert!(read_note(b"RPN2\0\0\0\x07note").is_none() && read_note(b"RPN1\0").is_none());
    }

    /// Finding 10: names come and go for years; one whose pick is still out keeps its number.
    #[test]
    fn machines_that_have_gone_are_forgotten_but_for_those_that_owe_an_end() {
        let (mut places, mut door): (Vec<Place>, Door) = (Vec::new(), Door::default());
        for i in 0..100_000 {
            let machine = door.machine(&format!("m{i}"));
            places.resize_with(places.len().max(machine + 1), Place::default);
            assert_eq!(places[machine].out, 0, "not the number of one that owes an end");
            places[machine] = Place { gone: Some(i * SEC), out: u32::from(i == 7), ..Place::default() };
            forget(&mut places, &mut door, i * SEC, 60 * SEC);
        }
        assert!(door.machines() <= 61 && places.len() <= 62, "{} names", door.machines());
        assert_eq!(door.name(door.known("m7").unwrap()), "m7");
    }
}
