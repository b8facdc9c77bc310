//! Clients' connections: one command at a time each, answered in order; what can't be read is owed an error or a
//! close, soon, and must not slow the others.
use crate::pool::RESERVE;
use crate::wire::Wire;
use rockpick::Ns;
use rockpick_net::{Event, Id, Net, MS, SEC};
use rockpick_pg::{self as pg, Cut, Start};
use std::collections::{BTreeSet, HashMap};

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
/// Bytes kept of a client whose RPC is open; more is not read until it is answered.
const MOST_AHEAD: usize = 16 * 1024;
/// Commands of one connection in one turn, so that hundreds at once hold nobody.
const MOST_AT_ONCE: usize = 8;
/// Commands that could not be read, after which a connection is closed: one that sends them at full speed must come
/// anew for more.
const MOST_ODD: u32 = 16;
/// Bytes kept of all clients together; one that sends more than its part while it is full is turned away.
const MOST_KEPT: usize = 8 * 1024 * 1024;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Step {
    Startup,
    Ready,
    /// Its RPC has no final answer yet.
    Open(usize),
}

struct Client {
    step: Step,
    came: Vec<u8>,
    /// When it connected, and whether it has sent a command that could be read.
    since: Ns,
    spoke: bool,
    odd: u32,
}

impl Client {
    /// Has a command come whole, or what is none, that was not read yet?
    fn holds_whole(&self) -> bool {
        let next = || pg::frame(&self.came, pg::MOST_QUERY);
        self.step == Step::Ready && matches!(next(), Ok(Cut::Whole { .. }) | Err(_))
    }
}

pub struct Clients {
    all: HashMap<Id, Client>,
    /// Those that may be closed for a new one: silent ones before those between RPCs, longest first.
    quiet: BTreeSet<(bool, Ns, Id)>,
    most: usize,
    kept: usize,
    pub turned_away: u64,
}

impl Clients {
    pub fn new(sockets: usize) -> Clients {
        Clients {
            all: HashMap::new(),
            quiet: BTreeSet::new(),
            most: sockets - RESERVE - (sockets - RESERVE) / 2,
            kept: 0,
            turned_away: 0,
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

/// What a client's bytes came to.
pub enum Asked {
    Nothing,
    /// A whole statement.
    Statement(String),
}

impl Wire {
    pub fn client_came(&mut self, id: Id) {
        let now = self.net.now();
        if self.clients.all.len() >= self.clients.most && !self.make_room() {
            self.clients.turned_away += 1;
            let mut out = Vec::new();
            pg::put_error(&mut out, true, pg::TOO_MANY, "too many connections", None);
            self.net.send(id, &out);
            return self.net.finish(id);
        }
        let client = Client { step: Step::Startup, came: Vec::new(), since: now, spoke: false, odd: 0 };
        self.clients.all.insert(id, client);
        self.clients.quiet.insert((false, now, id));
        self.due(id, now + SILENT);
    }

    /// Closes the longest silent connection for a new one, else that which has been longest between two RPCs, else one that
    /// has sent half a command; none whose next RPC is here already.
    fn make_room(&mut self) -> bool {
        let (net, all) = (&mut self.net, &self.clients.all);
        let rests = |net: &mut Net, id: &Id| all.get(id).is_some_and(|c| c.came.is_empty()) && net.quiet(*id);
        let found = self.clients.quiet.iter().map(|(.., id)| *id).find(|id| rests(net, id));
        if let Some(old) = found {
            self.close_client(old);
            return true;
        }
        let half = |id: &Id| all.get(id).is_some_and(|c| !c.came.is_empty() && !c.holds_whole());
        let found = self.clients.quiet.iter().map(|(.., id)| *id).find(|id| half(id) && net.quiet(*id));
        if let Some(old) = found {
            self.end_client(old, pg::NOT_NOW, "too many connections");
        }
        found.is_some()
    }

    fn forget_client(&mut self, id: Id) -> Option<Client> {
        self.clients.hush(id);
        self.dues.clear(id);
        let client = self.clients.all.remove(&id)?;
        self.clients.kept -= client.came.len();
        Some(client)
    }

    /// Closes a client's connection once what was sent to it is out.
    pub fn close_client(&mut self, id: Id) {
        match self.forget_client(id) {
            // Nothing was said on either side: nothing can be lost.
            Some(client) if client.step == Step::Startup && client.odd == 0 && client.came.is_empty() => {
                self.net.close(id);
            }
            Some(_) => self.net.finish(id),
            None => {}
        }
    }

    /// The last words to a client that makes no sense.
    fn end_client(&mut self, id: Id, code: &str, why: &str) {
        self.tolls.odd += 1;
        let mut out = Vec::new();
        pg::put_error(&mut out, true, code, why, None);
        self.net.send(id, &out);
        self.close_client(id);
    }

    /// A client's connection has gone by itself; the RPC that it had open.
    pub fn client_gone(&mut self, id: Id) -> Option<usize> {
        match self.forget_client(id)?.step {
            Step::Open(rpc) => Some(rpc),
            _ => None,
        }
    }

    /// The time of a client's connection is up.
    pub fn client_due(&mut self, id: Id) {
        // What has come since this turn's bytes were read is heard first.
        if self.net.unread(id) {
            return self.due(id, self.net.now() + SOON);
        }
        let Some(client) = self.clients.all.get(&id) else { return };
        match client.step {
            Step::Open(_) => {}
            _ if client.spoke && client.came.is_empty() => self.close_client(id),
            Step::Startup if client.came.is_empty() => self.close_client(id),
            _ => self.end_client(id, pg::NOT_NOW, "no whole command in time"),
        }
    }

    pub fn client_bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(client) = self.clients.all.get_mut(&id) else { return };
        client.came.extend_from_slice(bytes);
        self.clients.kept += bytes.len();
        // Against a flood: who sends little may go on, as it fills nothing.
        if self.clients.kept > MOST_KEPT && client.came.len() > MOST_AHEAD {
            self.end_client(id, pg::TOO_MANY, "too much at once");
        }
    }

    /// Reads on where a client's bytes have come to; a statement among them is the caller's to take.
    pub fn client_reads(&mut self, id: Id) -> Asked {
        for _ in 0..MOST_AT_ONCE {
            let backlog = self.net.backlog(id).unwrap_or(0);
            let Some(client) = self.clients.all.get_mut(&id) else { return Asked::Nothing };
            // Answers that are not taken would fill the memory.
            if matches!(client.step, Step::Open(_)) || backlog > 0 {
                let ahead = client.came.len() >= MOST_AHEAD;
                self.net.pause(id, ahead);
                return Asked::Nothing;
            }
            let mut out = Vec::new();
            let mut odd = None;
            let mut asked = None;
            let mut last = None;
            let used = if client.step == Step::Startup {
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
                        client.step = Step::Ready;
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
            client.came.drain(..used);
            if client.came.is_empty() {
                client.came = Vec::new();
            }
            self.clients.kept -= used;
            let hopeless = client.odd >= MOST_ODD;
            if let Some(text) = asked {
                self.net.pause(id, false);
                return Asked::Statement(text);
            }
            if let Some(why) = odd {
                self.odd_command(id, why);
                continue;
            }
            if hopeless {
                self.end_client(id, pg::PROTOCOL, "no start");
                return Asked::Nothing;
            }
            if !self.net.send(id, &out) {
                self.forget_client(id);
                return Asked::Nothing;
            }
        }
        self.net.pause(id, false);
        self.client_rests(id);
        Asked::Nothing
    }

    /// When a client that has no RPC open is closed; more of its commands may wait for the next turn.
    fn client_rests(&mut self, id: Id) {
        let now = self.net.now();
        let Some(client) = self.clients.all.get_mut(&id) else { return };
        if client.holds_whole() {
            self.made.push(Event::Flushed { conn: id });
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
        if !self.net.send(id, &out) {
            self.forget_client(id);
        }
    }

    /// A client's RPC is taken.
    pub fn client_opens(&mut self, id: Id, rpc: usize) {
        self.clients.hush(id);
        if let Some(client) = self.clients.all.get_mut(&id) {
            client.step = Step::Open(rpc);
            client.spoke = true;
        }
        self.dues.clear(id);
    }

    /// Its final answer goes out.
    pub fn answered(&mut self, id: Id, bytes: &[u8]) {
        let now = self.net.now();
        let Some(client) = self.clients.all.get_mut(&id) else { return };
        (client.step, client.since) = (Step::Ready, now);
        let more = !client.came.is_empty();
        if !self.net.send(id, bytes) {
            self.forget_client(id);
            return;
        }
        self.clients.quiet.insert((true, now, id));
        self.due(id, now + IDLE);
        if more {
            self.made.push(Event::Flushed { conn: id });
        }
    }

    /// In a stop: ends each connection between two RPCs, unless more of it is here, or its first RPC may be on its way.
    pub fn close_clients(&mut self, door_closed: Ns) {
        let first_over = self.net.now() - door_closed >= FIRST_WORDS;
        let net = &mut self.net;
        let rests = |(id, c): (&Id, &Client)| {
            let none = !matches!(c.step, Step::Open(_)) && c.came.is_empty();
            (none && (c.spoke || first_over) && !net.unread(*id)).then_some(*id)
        };
        let rest: Vec<Id> = self.clients.all.iter().filter_map(rests).collect();
        rest.into_iter().for_each(|id| self.close_client(id));
    }
}

/// An answer must have left by then, to be with the client before it gives up: the way back, and a busy turn of
/// this loop. Ways measured between clients and fronts took up to 2 ms.
pub const MARGIN: Ns = 20 * MS;
