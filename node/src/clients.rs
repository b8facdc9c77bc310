//! Clients' connections: commands may come many at once (pipelined). They are taken as they come, up to a bound, and
//! answered in their order. What can't be read is owed an error or a close, soon, and must not slow the others.
use crate::connection_pool::RESERVE;
use crate::effects::Effects;
use crate::Startup;
use rockpick::Ns;
use rockpick_net::{Event, Id, MS, SEC};
use rockpick_pg::{self as pg, Cut, Start};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// One that has said nothing whole by then is closed: hundreds connect and stay silent.
const SILENT: Ns = 2 * SEC + SEC / 4;
/// Half a command must be whole within this.
const HALF: Ns = 2 * SEC;
/// A connection between two RPCs is kept for so long; clients open new ones at will.
const IDLE: Ns = 20 * SEC;
/// Bytes that have come are read in the next turn: until then a connection whose time is up is left alone.
const SOON: Ns = 10 * MS;
/// Once the door is closed, a connection that came last may still bring its first RPC for so long: clients send it with
/// their first words.
const FIRST_WORDS: Ns = SEC / 2;
/// A connection that was welcomed or answered so recently may have its next request on the way: it gives way to no new one.
pub const MIN_REST: Ns = SEC / 2;
/// RPCs of one connection that are open at once; those behind them wait. So many answers of the largest value that the
/// platform promises (64 KiB) are half of what a stream may leave unsent.
const MOST_OPEN: usize = 32;
/// Bytes kept of a client that waits for room, and of its open statements beside the last; more is not read until one of
/// them is answered.
const MOST_AHEAD: usize = 16 * 1024;
/// Bytes of answers that wait, of one connection (for an answer before them, or for a slow reader) and of all (for an answer
/// before them); beyond it an RPC is aborted in place of its answer. A stream that leaves 4 MiB unsent is closed.
const MOST_HELD_BACK: (usize, usize) = (3 * 1024 * 1024, 8 * 1024 * 1024);
/// Times of arrival that are kept for a client's unread bytes: of more, some count as come with those before them.
const MOST_ARRIVALS: usize = 64;
/// Commands of one connection in one turn, so that hundreds at once hold nobody.
const MOST_AT_ONCE: usize = 8;
/// Commands that could not be read, after which a connection is closed: one that sends them at full speed must come
/// anew for more.
const MOST_ODD: u32 = 16;
/// Bytes kept of all clients together; one that sends more than its part while it is full is turned away.
const MOST_KEPT: usize = 8 * 1024 * 1024;

/// What is owed for a command.
enum Reply {
    /// The RPC, and its statement's bytes.
    Open(usize, usize),
    /// It is there, and waits for those before it.
    Held(Vec<u8>),
}

#[derive(Default)]
struct Client {
    /// Its startup message has been answered.
    started: bool,
    /// Replies that are not out, in the order of their commands.
    owed: VecDeque<Reply>,
    /// Nothing more is read: it is closed once its replies are out.
    ends: bool,
    came: Vec<u8>,
    /// Where the bytes of a turn end in `came`, and when they came.
    arrivals: VecDeque<(usize, Ns)>,
    /// When it connected, or was last answered, and whether it has sent a command that could be read.
    since: Ns,
    spoke: bool,
    /// When its last bytes came.
    heard: Ns,
    odd: u32,
}

impl Client {
    /// Has a command come whole, or what is none, that was not read yet?
    fn holds_whole(&self) -> bool {
        let next = || pg::frame(&self.came, pg::MOST_QUERY);
        self.started && self.owed.is_empty() && matches!(next(), Ok(Cut::Whole { .. }) | Err(_))
    }

    /// May it give way to a new connection? One that was never welcomed may at once: nothing was said on either side.
    fn has_rested(&self, now: Ns) -> bool {
        !self.started && self.came.is_empty() || now - self.since.max(self.heard) >= MIN_REST
    }

    fn came(&mut self, bytes: &[u8], now: Ns) {
        self.heard = now;
        self.came.extend_from_slice(bytes);
        let (end, room) = (self.came.len(), self.arrivals.len() < MOST_ARRIVALS);
        match self.arrivals.back_mut() {
            // What came late counts as early at the bound, so that no client is kept waiting beyond its time.
            Some(last) if last.1 == now || !room => last.0 = end,
            _ => self.arrivals.push_back((end, now)),
        }
    }

    /// Takes the first bytes away; returns when the last of them came.
    fn used(&mut self, used: usize) -> Option<Ns> {
        self.came.drain(..used);
        let at = self.arrivals.iter().find(|(end, _)| *end >= used).map(|(_, at)| *at);
        while self.arrivals.front().is_some_and(|(end, _)| *end <= used) {
            self.arrivals.pop_front();
        }
        self.arrivals.iter_mut().for_each(|(end, _)| *end -= used);
        if self.came.is_empty() {
            self.came = Vec::new();
        }
        at
    }

    fn held_back(&self) -> usize {
        self.owed.iter().map(|reply| if let Reply::Held(bytes) = reply { bytes.len() } else { 0 }).sum()
    }

    /// May another of its commands be taken, by the bounds of a connection?
    fn takes(&self) -> bool {
        let open = |reply: &Reply| if let Reply::Open(_, bytes) = reply { *bytes } else { 0 };
        self.owed.len() < MOST_OPEN && self.owed.iter().map(open).sum::<usize>() < MOST_AHEAD
    }
}

pub struct Clients {
    all: HashMap<Id, Client>,
    /// Those that may be closed for a new one: silent ones before those between RPCs, longest first.
    quiet: BTreeSet<(bool, Ns, Id)>,
    most: usize,
    kept: usize,
    /// Bytes of replies that wait for those before them.
    held_back: usize,
    pub turned_away: u64,
    /// Connections that were closed while nothing was owed on them.
    pub closed: ClosedAtRest,
}

/// Why resting connections were closed, and how many.
#[derive(Default)]
pub struct ClosedAtRest {
    /// For a new connection.
    pub for_room: u64,
    /// Their time was up.
    pub idle: u64,
    /// In a stop.
    pub in_stop: u64,
}

impl Clients {
    pub fn new(sockets: usize) -> Clients {
        Clients {
            all: HashMap::new(),
            quiet: BTreeSet::new(),
            most: sockets - RESERVE - (sockets - RESERVE) / 2,
            kept: 0,
            held_back: 0,
            turned_away: 0,
            closed: ClosedAtRest::default(),
        }
    }

    pub fn owns(&self, id: Id) -> bool {
        self.all.contains_key(&id)
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    fn hush(&mut self, id: Id) {
        if let Some(client) = self.all.get(&id) {
            self.quiet.remove(&(client.spoke, client.since, id));
        }
    }
}

/// What a new connection is told for which there is no room.
pub fn too_many_connections() -> Vec<u8> {
    let mut out = Vec::new();
    pg::put_error(&mut out, true, pg::TOO_MANY, "too many connections", None);
    out
}

/// What a client's bytes came to.
pub enum Asked {
    Nothing,
    /// A whole statement, and when its last byte came.
    Statement(String, Ns),
}

impl Effects {
    pub fn client_came(&mut self, id: Id) {
        let now = self.net.now();
        if self.clients.all.len() >= self.clients.most && !self.make_room() {
            self.clients.turned_away += 1;
            self.net.send(id, &too_many_connections());
            return self.net.close_gracefully(id);
        }
        let client = Client { since: now, ..Client::default() };
        self.clients.all.insert(id, client);
        self.clients.quiet.insert((false, now, id));
        self.due(id, now + SILENT);
    }

    /// Closes the longest silent connection for a new one, else that which has been longest between two RPCs, else one that
    /// has sent half a command; none that has not rested, or whose next RPC is here already.
    fn make_room(&mut self) -> bool {
        let now = self.net.now();
        let (net, all) = (&mut self.net, &self.clients.all);
        let rested = |id: &Id| all.get(id).filter(|client| client.has_rested(now));
        let idle = |id: &Id| rested(id).is_some_and(|c| c.came.is_empty());
        let half = |id: &Id| rested(id).is_some_and(|c| !c.came.is_empty() && !c.holds_whole());
        let ids = || self.clients.quiet.iter().map(|(.., id)| *id);
        if let Some(old) = ids().find(|id| idle(id) && net.nothing_unread(*id)) {
            self.clients.closed.for_room += 1;
            self.close_resting(old);
            return true;
        }
        let found = ids().find(|id| half(id) && net.nothing_unread(*id));
        if let Some(old) = found {
            self.end_client(old, pg::NOT_NOW, "too many connections");
        }
        found.is_some()
    }

    /// Forgets a connection; those of its RPCs that are open have no client any more.
    pub fn forget_client(&mut self, id: Id) {
        self.clients.hush(id);
        self.dues.clear(id);
        let Some(client) = self.clients.all.remove(&id) else { return };
        self.clients.kept -= client.came.len();
        for reply in client.owed {
            match reply {
                Reply::Open(rpc, _) => self.left.push_back(rpc),
                Reply::Held(bytes) => self.clients.held_back -= bytes.len(),
            }
        }
    }

    /// Closes a client's connection once all that it is owed is out.
    pub fn close_client(&mut self, id: Id) {
        let Some(client) = self.clients.all.get_mut(&id) else { return };
        client.ends = true;
        if !client.owed.is_empty() {
            // Nothing of it is read any more; that it goes away is still heard.
            self.clients.kept -= std::mem::take(&mut client.came).len();
            client.arrivals = VecDeque::new();
            self.clients.hush(id);
            return self.net.pause(id, false);
        }
        self.forget_client(id);
        self.net.close_gracefully(id);
    }

    /// Closes a connection on which nothing is owed and nothing is to be said. A request may come after the look for unread
    /// bytes: the kernel then resets the connection in place of ending it, which tells the client that it was not read.
    pub fn close_resting(&mut self, id: Id) {
        // A reset would lose an answer that is still on its way to a slow reader.
        if self.net.backlog(id).is_some_and(|unsent| unsent > 0) {
            return self.close_client(id);
        }
        self.forget_client(id);
        self.net.close(id);
    }

    /// The last words to a client that makes no sense, behind what else it is owed.
    fn end_client(&mut self, id: Id, code: &str, why: &str) {
        self.tolls.odd += 1;
        let mut out = Vec::new();
        pg::put_error(&mut out, true, code, why, None);
        if self.reply(id, out) {
            self.close_client(id);
        }
    }

    /// Replies to a command that is no RPC, once those before it are answered; false: the connection is gone.
    fn reply(&mut self, id: Id, out: Vec<u8>) -> bool {
        let Some(client) = self.clients.all.get_mut(&id) else { return false };
        if !client.owed.is_empty() {
            self.clients.held_back += out.len();
            client.owed.push_back(Reply::Held(out));
            return true;
        }
        let sent = self.net.send(id, &out);
        if !sent {
            self.forget_client(id);
        }
        sent
    }

    /// The time of a client's connection is up.
    pub fn client_due(&mut self, id: Id) {
        // What has come since this turn's bytes were read is heard first.
        if self.net.has_unread(id) {
            return self.due(id, self.net.now() + SOON);
        }
        let Some(client) = self.clients.all.get(&id) else { return };
        if !client.owed.is_empty() {
            return;
        }
        if client.came.is_empty() {
            self.clients.closed.idle += 1;
            self.close_resting(id);
        } else {
            self.end_client(id, pg::NOT_NOW, "no whole command in time");
        }
    }

    pub fn client_bytes(&mut self, id: Id, bytes: &[u8]) {
        let now = self.net.now();
        let Some(client) = self.clients.all.get_mut(&id).filter(|c| !c.ends) else { return };
        client.came(bytes, now);
        self.clients.kept += bytes.len();
        // Against a flood: who sends little may go on, as it fills nothing.
        if self.clients.kept > MOST_KEPT && client.came.len() > MOST_AHEAD {
            self.end_client(id, pg::TOO_MANY, "too much at once");
        }
    }

    /// Reads on where a client's bytes have come to; a statement among them is the caller's to take. One behind an RPC that
    /// is open waits while there is no `room` for it.
    pub fn client_reads(&mut self, id: Id, room: impl Fn(&Startup, &str) -> bool) -> Asked {
        for _ in 0..MOST_AT_ONCE {
            let backlog = self.net.backlog(id).unwrap_or(0);
            let Some(client) = self.clients.all.get_mut(&id).filter(|c| !c.ends) else {
                return Asked::Nothing;
            };
            // Answers that are not taken would fill the memory.
            if backlog > 0 || !client.takes() {
                return self.client_waits(id);
            }
            let mut out = Vec::new();
            let mut odd = None;
            let mut asked = None;
            let mut last = None;
            let used = if !client.started {
                match pg::startup(&client.came) {
                    Ok(Start::More) => break,
                    Ok(Start::Encrypt { used }) => {
                        out.push(b'N');
                        client.odd += 4; // three times is no start
                        used
                    }
                    Ok(Start::Cancel) => {
                        self.close_client(id);
                        return Asked::Nothing;
                    }
                    Ok(Start::Begin { used }) => {
                        pg::put_welcome(&mut out);
                        client.started = true;
                        used
                    }
                    Err(why) => {
                        last = Some(why.0);
                        0
                    }
                }
            } else {
                match pg::frame(&client.came, pg::MOST_QUERY) {
                    Ok(Cut::More) => break,
                    Ok(Cut::Whole { tag: b'Q', body, used }) => {
                        match pg::text(body) {
                            Some(text) if text.trim().is_empty() => pg::put_empty(&mut out),
                            Some(text) if !client.owed.is_empty() && !room(&self.startup, text) => {
                                return self.client_waits(id);
                            }
                            Some(text) => asked = Some(text.to_string()),
                            None => odd = Some("a query that is no text"),
                        }
                        used
                    }
                    Ok(Cut::Whole { tag: b'X', .. }) => {
                        self.close_client(id);
                        return Asked::Nothing;
                    }
                    Ok(Cut::Whole { .. }) => {
                        last = Some("only simple queries are taken");
                        0
                    }
                    Err(why) => {
                        last = Some(why.0);
                        0
                    }
                }
            };
            if let Some(why) = last {
                self.end_client(id, pg::PROTOCOL, why);
                return Asked::Nothing;
            }
            let came = client.used(used);
            self.clients.kept -= used;
            let hopeless = client.odd >= MOST_ODD;
            if let Some(text) = asked {
                self.net.pause(id, false);
                return Asked::Statement(text, came.unwrap_or(self.net.now()));
            }
            if let Some(why) = odd {
                self.odd_command(id, why);
                continue;
            }
            if hopeless {
                self.end_client(id, pg::PROTOCOL, "no start");
                return Asked::Nothing;
            }
            if !out.is_empty() && !self.reply(id, out) {
                return Asked::Nothing;
            }
        }
        self.net.pause(id, false);
        self.client_rests(id);
        Asked::Nothing
    }

    /// Its next command waits until one before it is answered, or what was sent is taken.
    fn client_waits(&mut self, id: Id) -> Asked {
        let ahead = self.clients.all.get(&id).is_some_and(|c| c.came.len() >= MOST_AHEAD);
        self.net.pause(id, ahead);
        Asked::Nothing
    }

    /// When a client that has no RPC open is closed; more of its commands may wait for the next turn.
    fn client_rests(&mut self, id: Id) {
        let now = self.net.now();
        let Some(client) = self.clients.all.get_mut(&id).filter(|c| c.owed.is_empty()) else { return };
        if client.holds_whole() {
            self.made.push(Event::StreamFlushed { conn: id });
        }
        let at = match (client.spoke, client.came.is_empty()) {
            (false, _) => client.since + SILENT,
            (true, true) => now + IDLE,
            (true, false) => now + HALF,
        };
        self.due(id, at);
    }

    /// A command that can't be taken is told so, and the connection goes on, for a while.
    pub fn odd_command(&mut self, id: Id, why: &str) {
        let Some(client) = self.clients.all.get_mut(&id) else { return };
        client.odd += 1;
        if client.odd >= MOST_ODD {
            return self.end_client(id, pg::PROTOCOL, why);
        }
        self.tolls.odd += 1;
        let mut out = Vec::new();
        pg::put_error(&mut out, false, pg::SYNTAX, why, None);
        self.reply(id, out);
    }

    /// A client's RPC is taken, by a statement of so many bytes.
    pub fn client_opens(&mut self, id: Id, rpc: usize, bytes: usize) {
        self.clients.hush(id);
        if let Some(client) = self.clients.all.get_mut(&id) {
            client.owed.push_back(Reply::Open(rpc, bytes));
            client.spoke = true;
        }
        self.dues.clear(id);
    }

    /// Its final answer goes out, with those behind it that waited for it, or waits for those before it. False: there is
    /// no room for it to wait, and the RPC is aborted in its place.
    pub fn answered(&mut self, id: Id, rpc: usize, bytes: &[u8]) -> bool {
        let (now, backlog) = (self.net.now(), self.net.backlog(id).unwrap_or(0));
        let Some(client) = self.clients.all.get_mut(&id) else { return true };
        let this = |reply: &Reply| matches!(reply, Reply::Open(open, _) if *open == rpc);
        let Some(at) = client.owed.iter().position(this) else { return true };
        let waits = backlog + client.held_back();
        let room = at == 0 && backlog == 0
            || waits + bytes.len() <= MOST_HELD_BACK.0
                && self.clients.held_back + bytes.len() <= MOST_HELD_BACK.1;
        let mut reply = Vec::new();
        if room {
            reply.extend_from_slice(bytes);
        } else {
            pg::put_error(&mut reply, false, pg::INTERNAL, "aborted", None);
        }
        self.clients.held_back += reply.len();
        client.owed[at] = Reply::Held(reply);
        let mut out = Vec::new();
        while let Some(Reply::Held(next)) = client.owed.front() {
            out.extend_from_slice(next);
            client.owed.pop_front();
        }
        self.clients.held_back -= out.len();
        let (rests, ends, more) = (client.owed.is_empty(), client.ends, !client.came.is_empty());
        client.since = now;
        if !self.net.send(id, &out) {
            self.forget_client(id);
        } else if rests && ends {
            self.close_client(id);
        } else if rests {
            self.clients.quiet.insert((true, now, id));
            self.due(id, now + IDLE);
        }
        if more {
            self.made.push(Event::StreamFlushed { conn: id });
        }
        room
    }

    /// In a stop: ends each connection between two RPCs, unless more of it is here, or its first RPC may be on its way.
    pub fn close_clients(&mut self, door_closed: Ns) {
        let first_over = self.net.now() - door_closed >= FIRST_WORDS;
        let net = &mut self.net;
        let rests = |(id, c): (&Id, &Client)| {
            let none = c.owed.is_empty() && c.came.is_empty();
            (none && (c.spoke || first_over) && !net.has_unread(*id)).then_some(*id)
        };
        let rest: Vec<Id> = self.clients.all.iter().filter_map(rests).collect();
        self.clients.closed.in_stop += rest.len() as u64;
        rest.into_iter().for_each(|id| self.close_resting(id));
    }
}

/// An answer must have left by then, to be with the client before it gives up: the way back, and a busy turn of
/// this loop. Ways measured between clients and fronts took up to 2 ms.
pub const MARGIN: Ns = 20 * MS;
