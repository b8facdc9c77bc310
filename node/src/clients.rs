//! Client connections. Commands may be pipelined: they are accepted as they arrive, up to a limit, and answered in
//! order. Malformed input is answered by an error or a close, soon, and must not slow down the others.
mod answers;
mod large_commands;
mod pushbacks;
mod shutdown;

use crate::connection_pool::RESERVED_DESCRIPTORS;
use crate::effects::Effects;
use crate::memory::{MemoryBudget, Reservation, SharedMemory};
use crate::Config;
use pushbacks::Pushbacks;
use rockpick::Ns;
use rockpick_net::{Event, Id, MS, SEC};
use rockpick_pg::{self as pg, Frame, StartupMessage};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// A connection without a complete command in this time is closed: hundreds connect and stay silent.
const FIRST_COMMAND_TIMEOUT: Ns = 2 * SEC + SEC / 4;
/// A command that has begun must be complete within this time.
const PARTIAL_COMMAND_TIMEOUT: Ns = 2 * SEC;
/// An idle connection is kept for this long; clients open new ones at will.
const IDLE_TIMEOUT: Ns = 20 * SEC;
/// Delay before a connection with unread bytes may expire: they are read in the next turn.
const UNREAD_DELAY: Ns = 10 * MS;
/// A connection whose startup message or command was answered more recently than this may have a request on the way,
/// and is not evicted.
pub const MIN_IDLE: Ns = SEC / 2;
/// Most arrival times that are stored for a client's unread bytes; at the limit, later bytes share the last one.
const MAX_ARRIVALS: usize = 64;
/// Most commands of a connection per turn, so that a client with hundreds of them does not delay the others.
pub const MAX_COMMANDS_PER_TURN: usize = 8;
/// Most commands per turn of all connections together, so that a turn stays short. The next one goes on with the connections
/// that were pushed back least.
const MAX_COMMANDS_IN_ALL: usize = 64;
/// How many malformed commands an encryption request counts as: at most three come before the startup message.
const ENCRYPTION_REQUEST_COST: u32 = 4;
/// Malformed commands after which a connection is closed: a client that sends them at full speed has to reconnect.
const MAX_BAD_COMMANDS: u32 = 16;

/// The reply to a command.
enum Reply {
    /// An open RPC, and the length of its statement.
    Open(usize, usize),
    /// A reply that waits for those before it.
    Held(Vec<u8>),
}

/// What a client's unread bytes begin with.
enum Command {
    /// Too few bytes to tell.
    Incomplete,
    /// A statement that waits for room, and is left unread.
    Waits,
    Statement(String),
    /// A command that is no RPC, with its reply.
    Answered(Vec<u8>),
    /// An invalid command; the connection goes on.
    Rejected(&'static str),
    /// The client ends the connection.
    End,
    /// A violation of the protocol, which ends the connection.
    Fatal(&'static str),
}

#[derive(Default)]
struct Client {
    started: bool,
    /// Replies that are not sent yet, in the order of their commands.
    replies: VecDeque<Reply>,
    /// Nothing more is read; the connection is closed once its replies are sent.
    closing: bool,
    buffer: Vec<u8>,
    /// End positions in `buffer` of the bytes that arrived together, and the time of their arrival.
    arrivals: VecDeque<(usize, Ns)>,
    /// When it connected or was last answered.
    since: Ns,
    sent_command: bool,
    last_received: Ns,
    bad_commands: u32,
    /// Room for its next command, if that is longer than the allowance.
    reservation: Reservation,
    /// The last turn that read commands of it, and how many.
    turn: u64,
    commands_in_turn: usize,
    /// When an answer to it was last discarded for want of room.
    answer_discarded: Option<Ns>,
    pushbacks: Pushbacks,
}

impl Client {
    /// Whether an unread command is complete, or malformed, and waits for no other.
    fn has_complete_command(&self) -> bool {
        self.replies.is_empty() && self.has_received_command()
    }

    /// Whether an unread command is complete, or malformed.
    fn has_received_command(&self) -> bool {
        let next = pg::read_frame(&self.buffer, pg::MAX_QUERY_LEN);
        self.started && matches!(next, Ok(Frame::Complete { .. }) | Err(_))
    }

    /// The next command before the startup is complete, and its length.
    fn next_startup(&mut self) -> (Command, usize) {
        match pg::read_startup(&self.buffer) {
            Ok(StartupMessage::Incomplete) => (Command::Incomplete, 0),
            Ok(StartupMessage::EncryptionRequest { used }) => {
                self.bad_commands += ENCRYPTION_REQUEST_COST;
                let tolerated = self.bad_commands < MAX_BAD_COMMANDS;
                (if tolerated { Command::Answered(b"N".to_vec()) } else { Command::Fatal("no start") }, used)
            }
            Ok(StartupMessage::CancelRequest) => (Command::End, 0),
            Ok(StartupMessage::Startup { used }) => {
                self.started = true;
                let mut reply = Vec::new();
                pg::put_startup_response(&mut reply);
                (Command::Answered(reply), used)
            }
            Err(why) => (Command::Fatal(why.0), 0),
        }
    }

    /// The next command after the startup, and its length. A statement behind an open RPC waits unless it `has_room`.
    fn next_query(&self, has_room: impl FnOnce(&str) -> bool) -> (Command, usize) {
        let (tag, body, used) = match pg::read_frame(&self.buffer, pg::MAX_QUERY_LEN) {
            Ok(Frame::Incomplete) => return (Command::Incomplete, 0),
            Ok(Frame::Complete { tag, body, used }) => (tag, body, used),
            Err(why) => return (Command::Fatal(why.0), 0),
        };
        let text = match tag {
            b'Q' => pg::read_cstr(body),
            b'X' => return (Command::End, 0),
            _ => return (Command::Fatal("only simple queries are taken"), 0),
        };
        match text {
            Some(text) if text.trim().is_empty() => {
                let mut reply = Vec::new();
                pg::put_empty_query_response(&mut reply);
                (Command::Answered(reply), used)
            }
            Some(text) if !self.replies.is_empty() && !has_room(text) => (Command::Waits, 0),
            Some(text) => (Command::Statement(text.to_string()), used),
            None => (Command::Rejected("a query that is no text"), used),
        }
    }

    /// Whether the connection may be closed for a new one. Before its startup message it may be closed at once, as
    /// nothing was exchanged.
    fn may_be_evicted(&self, now: Ns) -> bool {
        !self.started && self.buffer.is_empty() || now - self.since.max(self.last_received) >= MIN_IDLE
    }

    /// How many bytes complete the command that is being received, as far as its header tells; 0 between two commands.
    fn missing_bytes(&self) -> usize {
        match self.started {
            _ if self.buffer.is_empty() => 0,
            true => pg::missing_bytes(&self.buffer, pg::MAX_QUERY_LEN),
            false => usize::MAX,
        }
    }

    /// Stores received bytes. What arrives after a wait for room may have been sent at any time since that wait began, so
    /// it counts as having arrived then.
    fn receive(&mut self, bytes: &[u8], now: Ns) {
        self.last_received = now;
        let arrived = match self.reservation {
            Reservation::Held { since: Some(since), .. } => since,
            _ => now,
        };
        self.buffer.reserve_exact(bytes.len());
        self.buffer.extend_from_slice(bytes);
        let (end, room) = (self.buffer.len(), self.arrivals.len() < MAX_ARRIVALS);
        match self.arrivals.back_mut() {
            // At the limit, late bytes count as having arrived earlier, so that no client waits beyond its deadline.
            Some(last) if last.1 == arrived || !room => last.0 = end,
            _ => self.arrivals.push_back((end, arrived)),
        }
    }

    /// Removes the first `used` bytes, and returns when the last of them arrived.
    fn consume(&mut self, used: usize) -> Option<Ns> {
        self.buffer.drain(..used);
        let at = self.arrivals.iter().find(|(end, _)| *end >= used).map(|(_, at)| *at);
        while self.arrivals.front().is_some_and(|(end, _)| *end <= used) {
            self.arrivals.pop_front();
        }
        self.arrivals.iter_mut().for_each(|(end, _)| *end -= used);
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
        at
    }

    fn held_bytes(&self) -> usize {
        self.replies.iter().map(|reply| if let Reply::Held(bytes) = reply { bytes.len() } else { 0 }).sum()
    }

    /// Counts a command of this turn; false if there were as many as a turn may read.
    fn may_read_command(&mut self, turn: u64, most: usize) -> bool {
        if self.turn != turn {
            (self.turn, self.commands_in_turn) = (turn, 0);
        }
        self.commands_in_turn += 1;
        self.commands_in_turn <= most
    }

    /// Whether the connection's limits allow another command.
    fn accepts_command(&self, budget: &MemoryBudget) -> bool {
        let open = |reply: &Reply| if let Reply::Open(_, bytes) = reply { *bytes } else { 0 };
        self.replies.len() < budget.open_rpcs_per_client
            && self.replies.iter().map(open).sum::<usize>() < budget.client_allowance
    }

    /// How many more bytes may be read from it: up to its allowance, or the rest of a command that room is held for.
    fn readable_bytes(&self, budget: &MemoryBudget) -> usize {
        match self.reservation {
            Reservation::None => budget.client_allowance.saturating_sub(self.buffer.len()),
            Reservation::Waiting { .. } => 0,
            Reservation::Held { bytes, .. } => bytes.saturating_sub(self.buffer.len()),
        }
    }
}

pub struct Clients {
    all: HashMap<Id, Client>,
    /// Candidates to be closed for a new connection: those that sent no command first, then the longest idle.
    evictable: BTreeSet<(bool, Ns, Id)>,
    budget: MemoryBudget,
    large_commands: SharedMemory,
    refused_for_memory: u64,
    /// Bytes of held-back replies of all clients.
    held_bytes: usize,
    /// Whether only the rest of incomplete commands is read, as the process is about to end.
    reading_stopped: bool,
    pub refused: u64,
    /// Connections that were closed while no reply was outstanding on them.
    pub closed: IdleCloses,
}

/// Number of closed idle connections by cause.
#[derive(Default)]
pub struct IdleCloses {
    /// Evicted for a new connection.
    pub for_room: u64,
    /// Timed out.
    pub idle: u64,
    /// Closed in a shutdown.
    pub in_stop: u64,
}

impl Clients {
    pub fn new(budget: MemoryBudget) -> Clients {
        Clients {
            all: HashMap::new(),
            evictable: BTreeSet::new(),
            budget,
            large_commands: SharedMemory::new(budget.large_commands),
            refused_for_memory: 0,
            held_bytes: 0,
            reading_stopped: false,
            refused: 0,
            closed: IdleCloses::default(),
        }
    }

    pub fn owns(&self, id: Id) -> bool {
        self.all.contains_key(&id)
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    fn remove_evictable(&mut self, id: Id) {
        if let Some(client) = self.all.get(&id) {
            self.evictable.remove(&(client.sent_command, client.since, id));
        }
    }
}

/// Number of client connections that this many descriptors suffice for.
pub fn max_clients(sockets: usize) -> usize {
    sockets - RESERVED_DESCRIPTORS - (sockets - RESERVED_DESCRIPTORS) / 2
}

/// The refusal that is sent to a connection beyond the limit.
pub fn too_many_connections() -> Vec<u8> {
    let mut out = Vec::new();
    pg::put_error(&mut out, true, pg::TOO_MANY_CONNECTIONS, "too many connections", None);
    out
}

/// The next input of a client for the caller to process.
pub enum ClientInput {
    Nothing,
    /// A complete statement, and when its last byte arrived.
    Statement(String, Ns),
}

impl Effects {
    pub fn client_connected(&mut self, id: Id) {
        let now = self.net.now();
        if self.clients.all.len() >= self.clients.budget.clients && !self.evict_one() {
            self.clients.refused += 1;
            self.net.send(id, &too_many_connections());
            return self.net.close_gracefully(id);
        }
        let client = Client { since: now, ..Client::default() };
        self.clients.all.insert(id, client);
        self.clients.evictable.insert((false, now, id));
        self.set_deadline(id, now + FIRST_COMMAND_TIMEOUT);
    }

    /// Closes a connection to make room for a new one: the one that has been longest without a command, else the
    /// longest idle one, else one with an incomplete command. It closes none that was active within `MIN_IDLE` or has
    /// unread bytes. Returns whether it closed one.
    fn evict_one(&mut self) -> bool {
        let now = self.net.now();
        let (net, all, unhandled_data) = (&mut self.net, &self.clients.all, &self.unhandled_data);
        let mut nothing_unhandled = |id: &Id| !unhandled_data.contains(id) && net.nothing_unread(*id);
        let evictable = |id: &Id| all.get(id).filter(|client| client.may_be_evicted(now));
        let idle = |id: &Id| evictable(id).is_some_and(|c| c.buffer.is_empty());
        let partial =
            |id: &Id| evictable(id).is_some_and(|c| !c.buffer.is_empty() && !c.has_complete_command());
        let ids = || self.clients.evictable.iter().map(|(.., id)| *id);
        if let Some(old) = ids().find(|id| idle(id) && nothing_unhandled(id)) {
            self.clients.closed.for_room += 1;
            self.close_idle(old);
            return true;
        }
        let found = ids().find(|id| partial(id) && nothing_unhandled(id));
        if let Some(old) = found {
            self.close_with_error(old, pg::CANNOT_CONNECT_NOW, "too many connections");
        }
        found.is_some()
    }

    /// Removes a connection; its open RPCs have no client any more.
    pub fn forget_client(&mut self, id: Id) {
        self.clients.remove_evictable(id);
        self.deadlines.clear(id);
        let Some(client) = self.clients.all.remove(&id) else { return };
        self.end_reservation(id, client.reservation);
        for reply in client.replies {
            match reply {
                Reply::Open(rpc, _) => self.disconnected.push_back(rpc),
                Reply::Held(bytes) => self.clients.held_bytes -= bytes.len(),
            }
        }
    }

    /// Closes a client's connection once its replies are sent.
    pub fn close_client(&mut self, id: Id) {
        let Some(client) = self.clients.all.get_mut(&id) else { return };
        client.closing = true;
        if !client.replies.is_empty() {
            // What it sends from now on is read and dropped, so that its close is noticed.
            client.buffer = Vec::new();
            client.arrivals = VecDeque::new();
            self.release_reservation(id);
            self.clients.remove_evictable(id);
            self.net.limit_read(id, usize::MAX);
            return self.net.pause(id, false);
        }
        self.forget_client(id);
        self.net.close_gracefully(id);
    }

    /// Closes a connection on which no reply is outstanding. A request may still arrive after the check for unread
    /// bytes; the kernel then resets the connection instead of ending it, which tells the client that its request was
    /// not read.
    pub fn close_idle(&mut self, id: Id) {
        let outstanding = self.clients.all.get(&id).map_or(0, |client| client.replies.len());
        if !self.rules.may_close(outstanding) {
            return;
        }
        // A reset would discard an answer that a slow reader has not received yet. Where reading is stopped, requests are
        // expected to be unread.
        if self.clients.reading_stopped && !self.net.nothing_unread(id) {
            self.forget_client(id);
            return self.net.close_without_reading(id);
        }
        if self.net.backlog(id).is_some_and(|unsent| unsent > 0) {
            return self.close_client(id);
        }
        self.forget_client(id);
        self.net.close(id);
    }

    /// Sends a fatal error after the replies that are still outstanding, and closes the connection.
    fn close_with_error(&mut self, id: Id, code: &str, why: &str) {
        self.counters.bad_commands += 1;
        let mut out = Vec::new();
        pg::put_error(&mut out, true, code, why, None);
        if self.reply(id, out) {
            self.close_client(id);
        }
    }

    /// Replies to a command that is not an RPC, after the replies before it. Returns false if the connection is
    /// closed.
    fn reply(&mut self, id: Id, out: Vec<u8>) -> bool {
        let Some(client) = self.clients.all.get_mut(&id) else { return false };
        if !client.replies.is_empty() {
            self.clients.held_bytes += out.len();
            client.replies.push_back(Reply::Held(out));
            return true;
        }
        let sent = self.net.send(id, &out);
        if !sent {
            self.forget_client(id);
        }
        sent
    }

    /// Handles the expiry of a client's connection.
    pub fn client_timed_out(&mut self, id: Id) {
        // Bytes that arrived since this turn read from the connection are handled first.
        if self.net.has_unread(id) {
            return self.set_deadline(id, self.net.now() + UNREAD_DELAY);
        }
        let Some(client) = self.clients.all.get(&id) else { return };
        if client.reservation.is_waiting() {
            self.clients.refused_for_memory += 1;
            return self.close_with_error(id, pg::TOO_MANY_CONNECTIONS, "too much at once");
        }
        if !client.replies.is_empty() {
            return;
        }
        if client.buffer.is_empty() {
            self.clients.closed.idle += 1;
            self.close_idle(id);
        } else {
            self.close_with_error(id, pg::CANNOT_CONNECT_NOW, "no whole command in time");
        }
    }

    pub fn client_bytes(&mut self, id: Id, bytes: &[u8]) {
        let now = self.net.now();
        let Some(client) = self.clients.all.get_mut(&id).filter(|c| !c.closing) else { return };
        client.receive(bytes, now);
    }

    /// Reads the client's next commands; statements are returned to the caller. A statement behind an open RPC waits
    /// while there is no `room` for it.
    pub fn read_commands(&mut self, id: Id, room: impl Fn(&Config, &str) -> bool) -> ClientInput {
        loop {
            let backlog = self.net.backlog(id).unwrap_or(0);
            if !self.may_read_command(id) {
                break;
            }
            let Some(client) = self.clients.all.get_mut(&id).filter(|c| !c.closing) else {
                return ClientInput::Nothing;
            };
            // Answers that a client does not read would fill the memory.
            if backlog > 0 || !client.accepts_command(&self.clients.budget) {
                return self.pause_reading(id);
            }
            let (command, used) = match client.started {
                true => client.next_query(|text| room(&self.config, text)),
                false => client.next_startup(),
            };
            let received = client.consume(used);
            if used > 0 && !matches!(command, Command::Statement(_)) {
                self.release_reservation(id);
            }
            match command {
                Command::Incomplete => {
                    self.reserve_large_command(id);
                    break;
                }
                Command::Waits => return self.pause_reading(id),
                Command::End => {
                    self.close_client(id);
                    return ClientInput::Nothing;
                }
                Command::Fatal(why) => {
                    self.close_with_error(id, pg::PROTOCOL_VIOLATION, why);
                    return ClientInput::Nothing;
                }
                Command::Rejected(why) => self.reject_command(id, why),
                Command::Answered(reply) => {
                    if !self.reply(id, reply) {
                        return ClientInput::Nothing;
                    }
                }
                Command::Statement(text) => {
                    self.set_reading(id, true);
                    return ClientInput::Statement(text, received.unwrap_or(self.net.now()));
                }
            }
        }
        self.set_reading(id, true);
        self.set_idle_deadline(id);
        ClientInput::Nothing
    }

    /// Counts a command of this turn. Returns false if as many were read as a turn may read, of this connection or of all;
    /// the next turn goes on then. An insistent connection has one a turn.
    fn may_read_command(&mut self, id: Id) -> bool {
        let (turn, insistent) = (self.turn, self.is_insistent(id));
        let Some(client) = self.clients.all.get_mut(&id) else { return true };
        if client.buffer.is_empty() {
            return true;
        }
        let most = if insistent { 1 } else { MAX_COMMANDS_PER_TURN };
        let may_read = self.commands_in_turn < MAX_COMMANDS_IN_ALL && client.may_read_command(turn, most);
        if may_read {
            self.commands_in_turn += 1;
        } else {
            self.read_next_turn(id);
        }
        may_read
    }

    /// Reads the client's next commands in the next turn, after those of the other connections.
    fn read_next_turn(&mut self, id: Id) {
        if self.queued_reads.insert(id) {
            self.queued_events.push(Event::StreamFlushed { conn: id });
        }
    }

    /// Reads from a client as much as its limits allow, or does not. Once reading is stopped, only the rest of an
    /// incomplete command is read.
    fn set_reading(&mut self, id: Id, wanted: bool) {
        let insistent = self.is_insistent(id);
        let Some(client) = self.clients.all.get(&id) else { return };
        let mut readable = client.readable_bytes(&self.clients.budget);
        // What an insistent client sends further is read once its commands that are here are answered.
        if insistent && !client.closing && client.has_received_command() {
            readable = 0;
        }
        if self.clients.reading_stopped && !client.closing {
            readable = readable.min(client.missing_bytes());
        }
        self.net.limit_read(id, readable);
        self.net.pause(id, !wanted || readable == 0);
    }

    /// Leaves the next command unread until an earlier one is answered, or the unsent bytes are read.
    fn pause_reading(&mut self, id: Id) -> ClientInput {
        self.set_reading(id, true);
        ClientInput::Nothing
    }

    /// Sets the time at which a client without an open RPC expires. If its next command is complete, it is read in
    /// the next turn.
    fn set_idle_deadline(&mut self, id: Id) {
        let now = self.net.now();
        let waits_for_event = |c: &&mut Client| c.replies.is_empty() && !c.reservation.is_waiting();
        let Some(client) = self.clients.all.get_mut(&id).filter(waits_for_event) else { return };
        let has_complete_command = client.has_complete_command();
        let at = match (client.sent_command, client.buffer.is_empty()) {
            (false, _) => client.since + FIRST_COMMAND_TIMEOUT,
            (true, true) => now + IDLE_TIMEOUT,
            (true, false) => now + PARTIAL_COMMAND_TIMEOUT,
        };
        self.set_deadline(id, at);
        if has_complete_command {
            self.read_next_turn(id);
        }
    }

    /// Answers an invalid command by an error. The connection stays open up to a limit of such commands.
    pub fn reject_command(&mut self, id: Id, why: &str) {
        self.release_reservation(id);
        let Some(client) = self.clients.all.get_mut(&id) else { return };
        client.bad_commands += 1;
        if client.bad_commands >= MAX_BAD_COMMANDS {
            return self.close_with_error(id, pg::PROTOCOL_VIOLATION, why);
        }
        self.counters.bad_commands += 1;
        let mut out = Vec::new();
        pg::put_error(&mut out, false, pg::SYNTAX_ERROR, why, None);
        self.reply(id, out);
    }

    /// Records that an RPC of this connection is pushed back.
    pub fn pushed_back(&mut self, id: Id) {
        let now = self.net.now();
        if let Some(client) = self.clients.all.get_mut(&id) {
            client.pushbacks.record(now);
        }
    }

    /// How often RPCs of this connection were pushed back lately. Those with few come first in a turn.
    pub fn recent_pushbacks(&self, id: Id) -> u32 {
        let now = self.net.now();
        self.clients.all.get(&id).map_or(0, |client| client.pushbacks.recent(now))
    }

    /// Whether a client asks on although it is pushed back again and again.
    pub fn is_insistent(&self, id: Id) -> bool {
        let now = self.net.now();
        self.clients.all.get(&id).is_some_and(|client| client.pushbacks.are_excessive(now))
    }

    /// Records a client's new RPC, and the length of its statement.
    pub fn rpc_opened(&mut self, id: Id, rpc: usize, bytes: usize) {
        self.clients.remove_evictable(id);
        if let Some(client) = self.clients.all.get_mut(&id) {
            client.replies.push_back(Reply::Open(rpc, bytes));
            client.sent_command = true;
            let reservation = std::mem::take(&mut client.reservation);
            if let Some(open) = self.open[rpc].as_mut() {
                open.reserved = reservation.held_bytes();
            }
        }
        self.deadlines.clear(id);
    }
}

/// How long before the client's deadline an answer must be sent: for the network and a busy turn of the event loop.
/// Network delays of up to 2 ms were measured between clients and fronts.
pub const ANSWER_MARGIN: Ns = 20 * MS;
