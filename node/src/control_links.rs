//! Links to the platform: discovery's watch and list, the desk's news and votes. At a reload the new ones are made
//! while the old ones still serve.
use crate::effects::{Effects, DESK};
use rand::Rng;
use rockpick::{Member, Ns, Outcome, Reply, Roll, Standing, State, Verdict};
use rockpick_net::http;
use rockpick_net::{take_line, Call, CallEnd, Id, MS, SEC};
use rockpick_platform::desk::{self, Line, Stood};
use rockpick_platform::roster::{self, Telling};
use serde_json::Value;
use std::net::SocketAddr;

/// A link that gives no sign for so long is taken for dead: the desk's come every second, and a first word may wait its turn.
const SILENCE: Ns = 3 * SEC + SEC / 2;
/// The same for a watch that has spoken: its signs come every two seconds, and what it misses counts 6 s after it fell
/// silent, in which another one must be had, at the second try.
const WATCH_SILENCE: Ns = 2 * SEC + SEC / 2;
const CONNECT: Ns = SEC;
/// Longest line of a watch: ten thousand machines.
const MOST_LINE: usize = 2 * 1024 * 1024;
/// Watches, and connections for news, at once: one that serves and one that is being made.
const MOST_LINKS: usize = 2;
/// Waits before the desk is dialled again: doubled from the first to the last, each drawn from half to whole.
const AGAIN: (Ns, Ns) = (100 * MS, 2 * SEC);

struct Watch {
    call: Id,
    asked: Ns,
    came: Vec<u8>,
    /// Lines of a telling that is not whole yet.
    begun: Vec<u8>,
    /// It has said anything at all, if only that it lives; it has told something.
    spoke: bool,
    serves: bool,
}

impl Watch {
    /// Takes a line: a telling that is whole with it, if one is; tellings may come indented, over many lines.
    ///
    /// # Errors
    /// The watch makes no sense.
    fn telling(&mut self, line: &[u8]) -> Result<Option<Value>, ()> {
        let blank = line.trim_ascii().is_empty();
        if blank || self.begun.is_empty() && !line.trim_ascii_start().starts_with(b"{") {
            // A sign of life comes between two tellings, never within one.
            return if blank && self.begun.is_empty() { Ok(None) } else { Err(()) };
        }
        self.begun.extend_from_slice(line);
        // Read where it may be whole alone: at each of its lines it would take the square of its length.
        if !line.trim_ascii_end().ends_with(b"}") {
            return Ok(None);
        }
        match serde_json::from_slice(&self.begun) {
            Ok(told) => {
                self.begun = Vec::new();
                Ok(Some(told))
            }
            Err(err) if err.is_eof() => Ok(None),
            Err(_) => Err(()),
        }
    }
}

pub struct Discovery {
    pub at: SocketAddr,
    watches: Vec<Watch>,
    /// The last watch never spoke: the list is asked for beside the next.
    mute: bool,
    fetch: Option<Id>,
    pub seq: u64,
    pub tellings: u64,
}

impl Discovery {
    pub fn new(at: SocketAddr) -> Discovery {
        Discovery { at, watches: Vec::new(), mute: false, fetch: None, seq: 0, tellings: 0 }
    }

    pub fn owns(&self, id: Id) -> bool {
        self.fetch == Some(id) || self.watches.iter().any(|w| w.call == id)
    }

    pub fn watching(&self) -> bool {
        self.watches.iter().any(|w| w.serves)
    }
}

struct News {
    conn: Id,
    came: Vec<u8>,
    serves: bool,
}

struct Vote {
    conn: Id,
    line: String,
    came: Vec<u8>,
    up: bool,
}

pub struct Desk {
    pub at: Option<SocketAddr>,
    news: Vec<News>,
    vote: Option<Vote>,
    wait: Ns,
    /// A timer for dialling is set.
    waiting: bool,
    pub dialled: u64,
    pub heard: u64,
}

impl Desk {
    pub fn new(at: Option<SocketAddr>) -> Desk {
        Desk { at, news: Vec::new(), vote: None, wait: AGAIN.0, waiting: false, dialled: 0, heard: 0 }
    }

    pub fn owns(&self, id: Id) -> bool {
        self.news.iter().any(|n| n.conn == id) || self.vote.as_ref().is_some_and(|v| v.conn == id)
    }

    pub fn served(&self) -> bool {
        self.news.iter().any(|n| n.serves)
    }
}

/// What a link has to tell the module.
pub enum Tell {
    Members(Roll, Vec<Member>),
    Told(Reply, Option<Standing>),
    Tallied { build: u32, method: usize, picks: u32, not_ok: u32 },
    Disputed { machine: usize, sent: Ns },
}

pub fn standing(now: Ns, stood: Stood) -> Standing {
    let Stood { build, stage, phase, cap, age } = stood;
    Standing { build, stage, phase, cap, since: now - age }
}

impl Effects {
    fn ask_discovery(&mut self, target: &str, stream: bool) -> Id {
        let to = self.discovery.at;
        // A kept connection may be closing at the other end, and the question would be lost on it.
        self.net.close_idle(to);
        let request = http::encode_request("GET", target, &to.to_string(), &[], b"");
        let call = Call { to, request: &request, connect_within: CONNECT, stream, head_only: false };
        let id = self.net.call(&mut self.made, call);
        let at = self.net.now() + SILENCE;
        self.due(id, at);
        id
    }

    pub fn watch_roster(&mut self, on: bool) {
        let keep = if on { MOST_LINKS - 1 } else { 0 };
        // One that never told anything goes before the one that serves.
        while self.discovery.watches.len() > keep {
            let at = self.discovery.watches.iter().position(|w| !w.serves).unwrap_or(0);
            let old = self.discovery.watches.remove(at);
            self.end_call(old.call);
        }
        if on {
            let target = format!("/v1/endpoints?watch=1&after={}", self.discovery.seq);
            let call = self.ask_discovery(&target, true);
            self.discovery.watches.push(Watch {
                call,
                asked: self.net.now(),
                came: Vec::new(),
                begun: Vec::new(),
                spoke: false,
                serves: false,
            });
            if self.discovery.mute {
                self.fetch_roster();
            }
        }
    }

    pub fn fetch_roster(&mut self) {
        if let Some(old) = self.discovery.fetch.take() {
            self.end_call(old);
        }
        self.discovery.fetch = Some(self.ask_discovery("/v1/endpoints", false));
    }

    fn end_call(&mut self, call: Id) {
        self.dues.clear(call);
        self.net.cancel(call);
    }

    /// A piece of a watch.
    pub fn watch_piece(&mut self, call: Id, status: u16, bytes: &[u8]) -> Vec<Tell> {
        let mut tells = Vec::new();
        let now = self.net.now();
        let Some(at) = self.discovery.watches.iter().position(|w| w.call == call) else { return tells };
        self.due(call, now + WATCH_SILENCE);
        self.discovery.mute = false;
        let watch = &mut self.discovery.watches[at];
        watch.spoke = true;
        watch.came.extend_from_slice(bytes);
        let mut bad = status != 200 || watch.came.len() + watch.begun.len() > MOST_LINE;
        let came = std::mem::take(&mut watch.came);
        let whole = came.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        self.discovery.watches[at].came = came[whole..].to_vec();
        for line in came[..whole].split_inclusive(|b| *b == b'\n') {
            if bad {
                break;
            }
            let sign_of_life = line.trim_ascii().is_empty();
            match self.discovery.watches[at].telling(line) {
                // Nothing has changed since the list that it goes on from: that is known now.
                Ok(None) if sign_of_life && !self.discovery.watches[at].serves => {
                    self.watch_serves(at);
                    tells.push(Tell::Members(Roll::Changes, Vec::new()));
                }
                Ok(None) => {}
                Ok(Some(told)) => match roster::read(&told, &mut self.startup.zones) {
                    Some(telling) => {
                        self.watch_serves(at);
                        let roll = if telling.whole { Roll::Whole } else { Roll::Changes };
                        tells.push(self.listed(roll, telling));
                    }
                    None => bad = true,
                },
                Err(()) => bad = true,
            }
        }
        if bad {
            if let Some(left_out) = self.often.allow(now) {
                tracing::warn!(event = "watch makes no sense", status, left_out);
            }
            tells.extend(self.watch_over(call));
        } else if at > 0 && self.discovery.watches[at].serves {
            // The newer one serves: the former is let go.
            for old in self.discovery.watches.drain(..at).collect::<Vec<_>>() {
                self.end_call(old.call);
            }
        }
        tells
    }

    fn watch_serves(&mut self, at: usize) {
        let now = self.net.now();
        let watch = &mut self.discovery.watches[at];
        if !std::mem::replace(&mut watch.serves, true) {
            tracing::info!(event = "watch serves", after_ms = (now - watch.asked) / MS);
        }
    }

    /// A call to discovery has ended, or its time is up.
    pub fn discovery_over(&mut self, call: Id, end: Option<CallEnd>) -> Vec<Tell> {
        if self.discovery.fetch != Some(call) {
            let mute = self.discovery.watches.iter().any(|w| w.call == call && !w.spoke);
            self.discovery.mute |= mute && end.is_none();
            return self.watch_over(call).into_iter().collect();
        }
        self.discovery.fetch = None;
        self.end_call(call);
        let told = match end {
            Some(CallEnd::Answer(answer)) if answer.status == 200 => {
                serde_json::from_slice(&answer.body).ok()
            }
            _ => None,
        };
        let telling = told.as_ref().and_then(|t: &Value| roster::read(t, &mut self.startup.zones));
        // One that was overtaken by a watch must not take its news back; a watch is still being made, and is heard of.
        let telling = telling.filter(|t| t.whole && t.seq >= self.discovery.seq);
        telling.map(|telling| self.listed(Roll::Whole, telling)).into_iter().collect()
    }

    fn watch_over(&mut self, call: Id) -> Option<Tell> {
        let at = self.discovery.watches.iter().position(|w| w.call == call)?;
        let newest = at + 1 == self.discovery.watches.len();
        let watch = self.discovery.watches.remove(at);
        let after_ms = (self.net.now() - watch.asked) / MS;
        if let Some(left_out) = self.often.allow(self.net.now()) {
            tracing::info!(event = "watch over", served = watch.serves, after_ms, left_out);
        }
        self.end_call(call);
        // The loss of a former one, while a newer is being made, is no news.
        newest.then(|| Tell::Members(Roll::Failed, Vec::new()))
    }

    /// Takes a telling into the tables, and makes the module's lines of it.
    pub fn listed(&mut self, roll: Roll, telling: Telling) -> Tell {
        let Telling { seq, whole, records, odd } = telling;
        self.discovery.tellings += 1;
        if odd > 0 {
            tracing::warn!(event = "records not read", odd, seq);
        }
        // A telling older than what is known, from a link that is behind, must not take news back.
        if !whole && seq < self.discovery.seq {
            return Tell::Members(Roll::Changes, Vec::new());
        }
        self.discovery.seq = seq;
        let mut members = Vec::with_capacity(records.len());
        for record in records {
            if !self.listable(&record.name) {
                continue;
            }
            let machine = self.door.machine(&record.name);
            // All machines read one clock; the loop has another, which begins with it.
            let born = i128::from(record.born_ms) * i128::from(MS) - self.wall;
            let started = (record.born_ms > 0).then_some(born as Ns);
            let gone = record.member.state == State::Gone;
            self.place(machine, record.addr, record.member.build, started, gone);
            members.push(Member { machine, started, ..record.member });
        }
        if whole {
            let there: Vec<usize> = members.iter().map(|m| m.machine).collect();
            self.gone_but(&there);
        }
        Tell::Members(roll, members)
    }

    /// Sees to it that the desk's news are followed.
    pub fn follow_desk(&mut self) {
        self.desk.waiting = false;
        let Some(at) = self.desk.at.filter(|_| self.desk.news.is_empty()) else { return };
        self.dial_desk(at);
    }

    fn dial_desk(&mut self, at: SocketAddr) {
        let now = self.net.now();
        self.desk.dialled += 1;
        match self.net.dial(at, CONNECT) {
            Ok(conn) => {
                self.net.send(conn, desk::NOTIFY);
                self.due(conn, now + SILENCE);
                self.desk.news.push(News { conn, came: Vec::new(), serves: false });
            }
            Err(_) => self.follow_later(),
        }
    }

    fn follow_later(&mut self) {
        if self.desk.waiting || !self.desk.news.is_empty() {
            return;
        }
        let wait = self.chance.random_range(self.desk.wait / 2..=self.desk.wait);
        self.desk.wait = (self.desk.wait * 2).min(AGAIN.1);
        self.desk.waiting = true;
        self.net.wake_at(self.net.now() + wait, DESK);
    }

    /// Links at other addresses are made while the old ones serve.
    pub fn moved(&mut self, discovery: SocketAddr, desk: Option<SocketAddr>) {
        if std::mem::replace(&mut self.discovery.at, discovery) != discovery {
            self.watch_roster(true);
        }
        if std::mem::replace(&mut self.desk.at, desk) != desk {
            while self.desk.news.len() >= MOST_LINKS {
                let old = self.desk.news.remove(0);
                self.close_desk(old.conn);
            }
            self.desk.wait = AGAIN.0;
            if let Some(at) = desk {
                self.dial_desk(at);
            }
        }
    }

    fn close_desk(&mut self, conn: Id) {
        self.dues.clear(conn);
        self.net.close(conn);
    }

    pub fn cast_vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        if let Some(old) = self.desk.vote.take() {
            self.close_desk(old.conn);
        }
        let within = self.startup.post.rollout.call_timeout.max(100 * MS);
        tracing::info!(event = "vote", build, stage, verdict = ?verdict);
        // A connection of its own: one that was kept may be closing, and a vote lost on it may count.
        let dialled = self.desk.at.and_then(|at| self.net.dial(at, within).ok());
        match dialled {
            Some(conn) => {
                let at = self.net.now() + within;
                self.due(conn, at);
                let line = desk::vote(build, stage, verdict);
                self.desk.vote = Some(Vote { conn, line, came: Vec::new(), up: false });
            }
            // No word of it left: the module casts it again after its time.
            None => tracing::warn!(event = "vote not sent", build),
        }
    }

    pub fn desk_came(&mut self, conn: Id) {
        if let Some(vote) = self.desk.vote.as_mut().filter(|v| v.conn == conn) {
            vote.up = true;
            let line = vote.line.clone();
            self.net.send(conn, line.as_bytes());
        }
    }

    pub fn desk_bytes(&mut self, conn: Id, bytes: &[u8]) -> Vec<Tell> {
        let now = self.net.now();
        let mut tells = Vec::new();
        if let Some(vote) = self.desk.vote.as_mut().filter(|v| v.conn == conn) {
            vote.came.extend_from_slice(bytes);
            let line = take_line(&mut vote.came);
            if line.is_none() && vote.came.len() < desk::MOST_LINE {
                return tells;
            }
            self.desk.vote = None;
            self.close_desk(conn);
            let said = line.as_deref().and_then(|l| l.strip_suffix(b"\r\n")).and_then(desk::read);
            tells.push(match said {
                Some(Line::Ok(stood)) => Tell::Told(Reply::Counted, stood.map(|s| standing(now, s))),
                Some(Line::Err(why)) => {
                    tracing::info!(event = "vote refused", why);
                    Tell::Told(Reply::Refused, None)
                }
                // Spoilt: it may count.
                _ => Tell::Told(Reply::TimedOut, None),
            });
            return tells;
        }
        let Some(at) = self.desk.news.iter().position(|n| n.conn == conn) else { return tells };
        self.due(conn, now + SILENCE);
        self.desk.news[at].came.extend_from_slice(bytes);
        let mut bad = false;
        while let Some(line) = take_line(&mut self.desk.news[at].came) {
            let line = line.strip_suffix(b"\r\n").unwrap_or(b"");
            self.desk.heard += 1;
            match desk::read(line) {
                Some(Line::Ok(_)) => {
                    self.desk.news[at].serves = true;
                    self.desk.wait = AGAIN.0;
                }
                Some(Line::Progress(stood)) => {
                    tells.push(Tell::Told(Reply::News, Some(standing(now, stood))))
                }
                Some(Line::Tally { build, method, picks, not_ok }) => {
                    let method = self.startup.method(method);
                    tells.extend(method.map(|method| Tell::Tallied { build, method, picks, not_ok }));
                }
                Some(Line::Dispute { machine, age }) => {
                    let machine = self.door.known(machine);
                    tells.extend(machine.map(|machine| Tell::Disputed { machine, sent: now - age }));
                }
                Some(Line::Alive | Line::Else) => {}
                Some(Line::Err(_)) | None => {
                    bad = true;
                    break;
                }
            }
        }
        if bad || self.desk.news[at].came.len() >= desk::MOST_LINE {
            if let Some(left_out) = self.often.allow(now) {
                tracing::warn!(event = "desk makes no sense", left_out);
            }
            self.desk_over(conn, false);
        } else if at > 0 && self.desk.news[at].serves {
            for old in self.desk.news.drain(..at).collect::<Vec<_>>() {
                self.close_desk(old.conn);
            }
        }
        tells
    }

    /// A desk's connection has gone, or its time is up. What comes of a vote on it.
    pub fn desk_over(&mut self, conn: Id, unsent: bool) -> Option<Tell> {
        self.close_desk(conn);
        if let Some(vote) = self.desk.vote.take_if(|v| v.conn == conn) {
            let never = unsent || !vote.up;
            return Some(Tell::Told(if never { Reply::Refused } else { Reply::TimedOut }, None));
        }
        self.desk.news.retain(|n| n.conn != conn);
        self.follow_later();
        None
    }
}

/// Outcomes as the log names them, in their order.
pub const ENDS: [(&str, Outcome); 8] = [
    ("ok", Outcome::Ok),
    ("error", Outcome::Error),
    ("full", Outcome::Full),
    ("timed out", Outcome::TimedOut),
    ("unreachable", Outcome::Unreachable),
    ("broken", Outcome::Broken),
    ("cancelled", Outcome::Cancelled),
    ("void", Outcome::Void),
];
