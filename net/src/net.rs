//! The event loop. Level-triggered epoll over a slab of sockets; ids carry a generation, so that word for
//! a socket that has gone reaches nobody else.
use crate::http::{self, Body, Framing, Refusal, Request, Response};
use crate::timers::{Ns, Timers};
use crate::SEC;
use rustix::event::epoll;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use slab::Slab;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Instant;

/// A socket of this loop: slot in the low half, generation in the high one.
pub type Id = u64;

/// Most bytes waiting to be sent on one connection; a stream whose reader is slower is closed.
pub const MAX_BACKLOG: usize = 4 * 1024 * 1024;
/// Most calls open at once; one more ends as `Unreachable` without a socket.
pub const MAX_CALLS: usize = 16 * 1024;
/// Idle connections kept to one address; one more is closed.
pub const MAX_IDLE: usize = 256;
/// How long a closing connection waits for the peer to read its last answer.
pub const LINGER: Ns = SEC;
/// Refused connections that may linger at once; one more is closed unanswered.
const MAX_LINGERING: usize = 64;
/// How long a head and a body may take unless told otherwise: slow senders hold a connection no longer than
/// other servers let them.
const HEAD_TIME: Ns = 10 * SEC;
const BODY_TIME: Ns = 30 * SEC;
/// An idle client connection is closed after this; machines' idle ones sooner, so that the machine seldom
/// closes first and a pick is seldom sent on a connection that is closing.
const CLIENT_IDLE: Ns = 300 * SEC;
const POOL_IDLE: Ns = 10 * SEC;
/// An answer's reader that takes nothing for this long is gone.
const WRITE_TIME: Ns = 30 * SEC;
/// Bytes read at once.
const READ: usize = 64 * 1024;
/// Sockets accepted, and events handled, in one turn, so that no side starves the other.
pub(crate) const ACCEPTS: usize = 64;
const EVENTS: usize = 256;
/// Connections that the system holds until they are taken: a standstill of a second at some thousand new
/// ones. Past it their senders try again only a second later (std asks for 128). The system may grant less.
const WAITING: i32 = 4_096;
/// How often stale connections are looked for.
const SWEEP: Ns = SEC / 2;
/// Largest datagram taken.
const MAX_DATAGRAM: usize = 2048;

/// What has happened.
#[derive(Debug)]
pub enum Event {
    /// A whole request; the connection waits for [`Net::answer`] or [`Net::open_stream`].
    Request {
        conn: Id,
        request: Request,
    },
    /// The client closed its side while an answer was owed: nothing can be sent any more.
    ClientClosed {
        conn: Id,
    },
    /// A call has ended; nothing more comes of it.
    CallEnded {
        call: Id,
        end: CallEnd,
    },
    /// A piece of a streamed answer.
    CallData {
        call: Id,
        status: u16,
        bytes: Vec<u8>,
    },
    Timer {
        tag: u64,
    },
    Datagram {
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Signal {
        number: i32,
    },
    /// A stream is there: dialled, or come to a listener of streams.
    StreamOpened {
        conn: Id,
    },
    StreamData {
        conn: Id,
        bytes: Vec<u8>,
    },
    /// A stream was closed by its peer, or could not be made; not told of those closed here. `unsent`: not all
    /// that was to be sent had been written.
    StreamClosed {
        conn: Id,
        unsent: bool,
    },
    /// What waited to be sent on a stream is written now.
    StreamFlushed {
        conn: Id,
    },
}

/// How a call ended.
#[derive(Debug)]
pub enum CallEnd {
    Answer(Response),
    /// No connection; provably never ran.
    Unreachable,
    /// The connection closed before a byte left; provably never ran.
    Unsent,
    /// The connection closed, or its answer made no sense, with the request on its way; it may have run.
    Broken(&'static str),
}

/// A request to make.
pub struct Call<'a> {
    pub to: SocketAddr,
    /// As [`http::encode_request`] writes it.
    pub request: &'a [u8],
    pub connect_within: Ns,
    /// Pieces are handed on as they come, without a bound on their sum.
    pub stream: bool,
    /// The answer to a HEAD has no body, whatever its length says.
    pub head_only: bool,
}

enum Serve {
    /// Waiting for a head, or for the rest of a body.
    Head,
    Body(Box<(Request, Body)>),
    /// The caller owes the answer.
    Work {
        keep: bool,
        bare: bool,
    },
    Stream,
    /// The last answer is sent; what still comes is dropped.
    Lingering,
}

pub(crate) struct Client {
    io: TcpStream,
    buf: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    serve: Serve,
    /// What is still to come of a file that is the answer's body.
    file: Option<(std::fs::File, u64)>,
    /// When it goes stale.
    until: Ns,
    close: bool,
}

impl Client {
    /// Is something of an answer still on its way out?
    fn owes(&self) -> bool {
        self.sent < self.out.len() || self.file.is_some()
    }

    /// Once all is sent, takes the next piece of the file; false when it can't be had.
    fn refill(&mut self) -> bool {
        let Some((file, left)) = &mut self.file else { return true };
        let piece = (*left).min(READ as u64);
        self.out.clear();
        self.sent = 0;
        let read = file.take(piece).read_to_end(&mut self.out);
        if read.is_err() || self.out.len() as u64 != piece {
            return false;
        }
        *left -= piece;
        if *left == 0 {
            self.file = None;
        }
        true
    }
}

enum Step {
    Connecting,
    /// Request on its way or answer awaited.
    Head,
    Body(Box<(Response, Body)>),
    Idle,
}

pub(crate) struct Server {
    io: TcpStream,
    to: SocketAddr,
    buf: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    step: Step,
    until: Ns,
    stream: bool,
    head_only: bool,
}

pub(crate) struct Stream {
    pub(crate) io: TcpStream,
    pub(crate) out: Vec<u8>,
    pub(crate) sent: usize,
    pub(crate) up: bool,
    /// When a dialled one must be there, or a closing one is closed.
    pub(crate) until: Ns,
    /// Not read for now: its caller has enough.
    pub(crate) paused: bool,
    /// Closing: all is sent, or about to be; what still comes is dropped, up to a bound.
    pub(crate) closing: bool,
    pub(crate) dropped: usize,
}

pub(crate) enum Sock {
    Listener(TcpListener),
    Streams(TcpListener),
    Stream(Stream),
    Client(Client),
    Server(Server),
    Datagrams(UdpSocket),
    Signals(OwnedFd, i32),
}

impl Sock {
    fn fd(&self) -> rustix::fd::BorrowedFd<'_> {
        match self {
            Sock::Listener(s) | Sock::Streams(s) => s.as_fd(),
            Sock::Stream(s) => s.io.as_fd(),
            Sock::Client(c) => c.io.as_fd(),
            Sock::Server(s) => s.io.as_fd(),
            Sock::Datagrams(s) => s.as_fd(),
            Sock::Signals(s, _) => s.as_fd(),
        }
    }
}

pub(crate) struct Slot {
    generation: u32,
    /// The generation under which epoll knows the socket; a kept connection's calls have later ones.
    born: u32,
    flags: epoll::EventFlags,
    pub(crate) sock: Sock,
}

pub struct Net {
    poll: OwnedFd,
    socks: Slab<Slot>,
    generation: u32,
    timers: Timers,
    born: Instant,
    now: Ns,
    swept: Ns,
    pools: HashMap<SocketAddr, Vec<Id>>,
    clients: usize,
    calls: usize,
    lingering: usize,
    pub(crate) streams: usize,
    pub(crate) closing: usize,
    /// Most streams; one more is not dialled, or closed as it comes.
    pub max_streams: usize,
    /// Most streams that are closing.
    pub max_closing: usize,
    /// What a stream that finds no room is told before it is closed.
    pub stream_refusal: Vec<u8>,
    /// Connections whose answer is out, and whose next request may be waiting.
    answered: Vec<Id>,
    /// Most client connections; one more is answered 503 at once.
    pub max_clients: usize,
    /// A head must be whole this long after its first byte, and a body after its head, else 408.
    pub head_time: Ns,
    pub body_time: Ns,
    /// A reader that takes nothing of its answer for this long is gone.
    pub write_time: Ns,
    /// Held back so that a connection can be refused in words when descriptors have run out.
    pub(crate) spare: Option<OwnedFd>,
    pub(crate) scratch: Vec<u8>,
    pub refused: u64,
    /// Words that came after an answer, or with no call on the connection.
    pub unexpected_data: u64,
    /// Answer to a connection over the bound.
    full: Vec<u8>,
}

pub(crate) fn would_block(err: &io::Error) -> bool {
    err.kind() == ErrorKind::WouldBlock || err.kind() == ErrorKind::Interrupted
}

/// An address that is taken, and takes no connection yet: one that comes before it listens is refused, and goes elsewhere.
pub struct BoundListener {
    socket: TcpListener,
    pub at: SocketAddr,
}

impl BoundListener {
    /// Takes an address; port 0 takes one from the system.
    ///
    /// # Errors
    /// An address that can't be had.
    pub fn bind(at: SocketAddr) -> io::Result<BoundListener> {
        use rustix::net::{bind, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
        let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let fd = socket_with(family, SocketType::STREAM, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC, None)?;
        // An address whose former process has just ended can be had at once.
        sockopt::set_socket_reuseaddr(&fd, true)?;
        bind(&fd, &at)?;
        let socket = TcpListener::from(fd);
        let at = socket.local_addr()?;
        Ok(BoundListener { socket, at })
    }

    pub(crate) fn listen(self) -> io::Result<TcpListener> {
        rustix::net::listen(&self.socket, WAITING)?;
        Ok(self.socket)
    }
}

/// A connection that has begun to be made.
pub(crate) fn connecting(to: &SocketAddr) -> io::Result<TcpStream> {
    use rustix::net::{socket_with, AddressFamily, SocketFlags, SocketType};
    let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let fd = socket_with(family, SocketType::STREAM, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC, None)?;
    match rustix::net::connect(&fd, to) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(err) => return Err(err.into()),
    }
    let io = TcpStream::from(fd);
    let _ = io.set_nodelay(true);
    Ok(io)
}

pub(crate) fn spare() -> Option<OwnedFd> {
    std::fs::File::open("/dev/null").ok().map(OwnedFd::from)
}

/// By how many parts of a million the process's clock runs fast.
static SKEW: AtomicI64 = AtomicI64::new(0);

/// The one seam of time: from now on clocks of loops run fast, or slow, by so many parts of a million, as a storm asks.
pub fn set_clock_skew(ppm: i64) {
    SKEW.store(ppm, Ordering::Relaxed);
}

impl Net {
    pub fn new(max_clients: usize) -> io::Result<Net> {
        let mut full = Vec::new();
        let lines =
            [("Rockpick-Answer", "pushed-back"), ("Retry-After", "1"), ("Rockpick-Retry-After-Ms", "250")];
        http::write_response(&mut full, 503, &lines, Some(b"too many connections\n"), false, false);
        Ok(Net {
            poll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            socks: Slab::new(),
            generation: 0,
            timers: Timers::default(),
            born: Instant::now(),
            now: 0,
            swept: 0,
            pools: HashMap::new(),
            clients: 0,
            calls: 0,
            lingering: 0,
            streams: 0,
            closing: 0,
            max_streams: crate::MAX_STREAMS,
            max_closing: crate::MAX_CLOSING_STREAMS,
            stream_refusal: Vec::new(),
            answered: Vec::new(),
            max_clients,
            head_time: HEAD_TIME,
            body_time: BODY_TIME,
            write_time: WRITE_TIME,
            spare: spare(),
            scratch: vec![0; READ],
            refused: 0,
            unexpected_data: 0,
            full,
        })
    }

    /// The time of this turn, in nanoseconds since the loop began.
    pub fn now(&self) -> Ns {
        self.now
    }

    /// The time at this very moment.
    pub fn clock(&self) -> Ns {
        let lived = self.born.elapsed().as_nanos() as Ns;
        lived + lived / 1_000_000 * SKEW.load(Ordering::Relaxed)
    }

    pub fn wake_at(&mut self, at: Ns, tag: u64) {
        self.timers.set(at, tag);
    }

    /// Connections on which an answer is still on its way out.
    pub fn unsent(&self) -> usize {
        self.ids_of(|s| matches!(s, Sock::Client(c) if c.owes())).count()
    }

    /// Client connections now open, and calls now open.
    pub fn open(&self) -> (usize, usize) {
        (self.clients, self.calls)
    }

    pub(crate) fn wake_inner(&mut self, at: Ns) {
        self.timers.set(at, INNER);
    }

    pub(crate) fn add(&mut self, sock: Sock, flags: epoll::EventFlags) -> io::Result<Id> {
        self.generation = self.generation.wrapping_add(1);
        let generation = self.generation;
        let slot = self.socks.vacant_entry();
        let id = u64::from(generation) << 32 | slot.key() as u64;
        epoll::add(&self.poll, sock.fd(), epoll::EventData::new_u64(id), flags)?;
        slot.insert(Slot { generation, born: generation, flags, sock });
        Ok(id)
    }

    pub(crate) fn get(&mut self, id: Id) -> Option<&mut Slot> {
        self.socks.get_mut((id & 0xffff_ffff) as usize).filter(|s| s.generation == (id >> 32) as u32)
    }

    fn client(&mut self, id: Id) -> Option<&mut Client> {
        match &mut self.get(id)?.sock {
            Sock::Client(c) => Some(c),
            _ => None,
        }
    }

    fn server(&mut self, id: Id) -> Option<&mut Server> {
        match &mut self.get(id)?.sock {
            Sock::Server(s) => Some(s),
            _ => None,
        }
    }

    pub(crate) fn drop_sock(&mut self, id: Id) {
        if self.get(id).is_none() {
            return;
        }
        let slot = self.socks.remove((id & 0xffff_ffff) as usize);
        let _ = epoll::delete(&self.poll, slot.sock.fd());
        match slot.sock {
            Sock::Client(c) if matches!(c.serve, Serve::Lingering) => self.lingering -= 1,
            Sock::Client(_) => self.clients -= 1,
            Sock::Server(s) if matches!(s.step, Step::Idle) => {
                if let Some(pool) = self.pools.get_mut(&s.to) {
                    pool.retain(|i| *i != id);
                    if pool.is_empty() {
                        self.pools.remove(&s.to);
                    }
                }
            }
            Sock::Server(_) => self.calls -= 1,
            Sock::Stream(s) => {
                self.streams -= 1;
                self.closing -= usize::from(s.closing);
            }
            _ => {}
        }
    }

    pub(crate) fn want(&mut self, id: Id, flags: epoll::EventFlags) {
        let index = (id & 0xffff_ffff) as usize;
        if let Some(slot) = self.socks.get_mut(index).filter(|s| s.flags != flags) {
            slot.flags = flags;
            let data = epoll::EventData::new_u64(u64::from(slot.born) << 32 | index as u64);
            let _ = epoll::modify(&self.poll, slot.sock.fd(), data, flags);
        }
    }

    /// Listens; port 0 takes one from the system. Returns the address taken.
    pub fn listen(&mut self, at: SocketAddr) -> io::Result<(Id, SocketAddr)> {
        let bound = BoundListener::bind(at)?;
        let taken = bound.at;
        Ok((self.listen_on(bound)?, taken))
    }

    /// Listens on an address that was taken before.
    ///
    /// # Errors
    /// A socket that can't listen, or be waited for.
    pub fn listen_on(&mut self, bound: BoundListener) -> io::Result<Id> {
        self.add(Sock::Listener(bound.listen()?), epoll::EventFlags::IN)
    }

    /// Takes no more connections, and closes those that owe nothing.
    pub fn stop_listening(&mut self) {
        let idle = |sock: &Sock| match sock {
            Sock::Listener(_) => true,
            Sock::Client(c) => matches!(c.serve, Serve::Head) && c.buf.is_empty() && c.out.is_empty(),
            _ => false,
        };
        let gone: Vec<Id> = self.ids(idle);
        gone.into_iter().for_each(|id| self.drop_sock(id));
        for (_, slot) in &mut self.socks {
            if let Sock::Client(c) = &mut slot.sock {
                c.close = true;
            }
        }
    }

    pub(crate) fn ids_of<'a>(&'a self, which: impl Fn(&Sock) -> bool + 'a) -> impl Iterator<Item = Id> + 'a {
        let id = |(i, s): (usize, &Slot)| u64::from(s.generation) << 32 | i as u64;
        self.socks.iter().filter(move |(_, s)| which(&s.sock)).map(id)
    }

    fn ids(&self, which: impl Fn(&Sock) -> bool) -> Vec<Id> {
        self.ids_of(which).collect()
    }

    /// Datagrams to and from this address.
    pub fn datagrams(&mut self, at: SocketAddr) -> io::Result<(Id, SocketAddr)> {
        let sock = UdpSocket::bind(at)?;
        sock.set_nonblocking(true)?;
        let taken = sock.local_addr()?;
        Ok((self.add(Sock::Datagrams(sock), epoll::EventFlags::IN)?, taken))
    }

    /// Sends a datagram; like the net, it may lose it.
    pub fn send_datagram(&mut self, from: Id, to: SocketAddr, bytes: &[u8]) {
        if let Some(Slot { sock: Sock::Datagrams(sock), .. }) = self.get(from) {
            let _ = sock.send_to(bytes, to);
        }
    }

    /// Reports a signal as an event.
    pub fn on_signal(&mut self, number: i32) -> io::Result<()> {
        use rustix::pipe::{pipe_with, PipeFlags};
        let (ours, theirs) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
        signal_hook::low_level::pipe::register(number, theirs)?;
        self.add(Sock::Signals(ours, number), epoll::EventFlags::IN).map(drop)
    }

    /// Answers the request that a connection waits with; nothing happens when the client has gone.
    pub fn answer(&mut self, conn: Id, status: u16, lines: &[(&str, &str)], body: &[u8]) {
        let by = self.now + self.write_time;
        let Some(client) = self.client(conn) else { return };
        let Serve::Work { keep, bare } = client.serve else { return };
        let keep = keep && !client.close;
        http::write_response(&mut client.out, status, lines, Some(body), keep, bare);
        client.close = !keep;
        client.serve = Serve::Head;
        client.until = by;
        self.flush_client(conn);
    }

    /// Answers with a part of a file, which is read as the client takes it.
    pub fn answer_file(
        &mut self, conn: Id, status: u16, lines: &[(&str, &str)], file: std::fs::File, long: u64,
    ) {
        let by = self.now + self.write_time;
        let Some(client) = self.client(conn) else { return };
        let Serve::Work { keep, bare } = client.serve else { return };
        client.close |= !keep;
        let length = long.to_string();
        let mut lines = lines.to_vec();
        lines.push(("Content-Length", &length));
        http::write_head(&mut client.out, status, &lines, !client.close);
        client.file = (!bare && long > 0).then_some((file, long));
        client.serve = Serve::Head;
        client.until = by;
        self.flush_client(conn);
    }

    /// Opens a stream as the answer; pieces follow by [`Net::stream`].
    pub fn open_stream(&mut self, conn: Id, lines: &[(&str, &str)]) {
        if let Some(client) = self.client(conn).filter(|c| matches!(c.serve, Serve::Work { .. })) {
            http::write_response(&mut client.out, 200, lines, None, true, false);
            client.serve = Serve::Stream;
            client.until = Ns::MAX;
            self.flush_client(conn);
        }
    }

    /// A piece of a stream; false when the connection has gone, also for being too slow.
    pub fn stream(&mut self, conn: Id, bytes: &[u8]) -> bool {
        let Some(client) = self.client(conn).filter(|c| matches!(c.serve, Serve::Stream)) else {
            return false;
        };
        if client.out.len() - client.sent + bytes.len() > MAX_BACKLOG {
            self.drop_sock(conn);
            return false;
        }
        let _ = write!(client.out, "{:x}\r\n", bytes.len());
        client.out.extend_from_slice(bytes);
        client.out.extend_from_slice(b"\r\n");
        self.flush_client(conn);
        self.get(conn).is_some()
    }

    /// Closes a connection at once, without an answer (stand-ins play broken peers with it).
    pub fn close(&mut self, conn: Id) {
        self.drop_sock(conn);
    }

    /// Sends raw bytes in place of an answer, and closes after them when told (for broken peers).
    pub fn send_raw(&mut self, conn: Id, bytes: &[u8], close: bool) {
        if let Some(client) = self.client(conn) {
            client.out.extend_from_slice(bytes);
            client.close = close;
            if close {
                client.serve = Serve::Head;
            }
            self.flush_client(conn);
        }
    }

    fn flush_client(&mut self, id: Id) {
        let by = self.now + self.write_time;
        let Some(client) = self.client(id) else { return };
        let owed = client.owes();
        loop {
            if client.sent == client.out.len() && !client.refill() {
                return self.drop_sock(id); // the file ended before its told length
            }
            if client.sent == client.out.len() {
                break;
            }
            match client.io.write(&client.out[client.sent..]) {
                Ok(0) => return self.drop_sock(id),
                Ok(n) => client.sent += n,
                Err(err) if would_block(&err) => break,
                Err(_) => return self.drop_sock(id),
            }
            if matches!(client.serve, Serve::Head) {
                client.until = by;
            }
        }
        let flushed = client.sent == client.out.len();
        if flushed {
            client.out.clear();
            client.sent = 0;
            // Large answers must not keep memory on idle connections.
            if client.out.capacity() > READ {
                client.out.shrink_to(0);
            }
        }
        let over = flushed && client.close && matches!(client.serve, Serve::Head);
        // Once for each answer, so that the time for the next head runs from here and is not set anew.
        let answered = owed && flushed && matches!(client.serve, Serve::Head);
        let mut flags = epoll::EventFlags::RDHUP;
        if client.buf.len() < http::MAX_HEAD || matches!(client.serve, Serve::Body(_)) {
            flags |= epoll::EventFlags::IN;
        }
        if !flushed {
            flags |= epoll::EventFlags::OUT;
        }
        if over {
            return self.linger(id);
        }
        if answered {
            self.answered.push(id);
        }
        self.want(id, flags);
    }

    /// The last answer is out: wait a little for the peer to read it, as closing with unread input resets.
    fn linger(&mut self, id: Id) {
        let (now, many) = (self.now, self.lingering >= MAX_LINGERING);
        let Some(client) = self.client(id) else { return };
        if many || client.io.shutdown(Shutdown::Write).is_err() {
            return self.drop_sock(id);
        }
        client.serve = Serve::Lingering;
        client.buf = Vec::new();
        client.until = now + LINGER;
        self.clients -= 1;
        self.lingering += 1;
        self.want(id, epoll::EventFlags::IN | epoll::EventFlags::RDHUP);
    }

    /// Makes a call; its end comes as an event, also when it could not begin.
    pub fn call(&mut self, events: &mut Vec<Event>, call: Call) -> Id {
        while let Some(id) = self.pools.get_mut(&call.to).and_then(Vec::pop) {
            let Some(server) = self.server(id) else { continue };
            server.out.extend_from_slice(call.request);
            (server.sent, server.stream, server.head_only) = (0, call.stream, call.head_only);
            server.step = Step::Head;
            server.until = Ns::MAX;
            self.calls += 1;
            self.flush_server(events, id);
            return id;
        }
        match self.connect(&call) {
            Ok(id) => id,
            Err(_) => {
                // An id that no socket has: the event is the call's only trace.
                self.generation = self.generation.wrapping_add(1);
                let id = u64::from(self.generation) << 32 | 0xffff_ffff;
                events.push(Event::CallEnded { call: id, end: CallEnd::Unreachable });
                id
            }
        }
    }

    fn connect(&mut self, call: &Call) -> io::Result<Id> {
        if self.calls >= MAX_CALLS {
            return Err(ErrorKind::OutOfMemory.into());
        }
        let io = connecting(&call.to)?;
        let server = Server {
            io,
            to: call.to,
            buf: Vec::new(),
            out: call.request.to_vec(),
            sent: 0,
            step: Step::Connecting,
            until: self.now + call.connect_within,
            stream: call.stream,
            head_only: call.head_only,
        };
        self.timers.set(server.until, INNER);
        let id = self.add(Sock::Server(server), epoll::EventFlags::OUT | epoll::EventFlags::RDHUP)?;
        self.calls += 1;
        Ok(id)
    }

    /// Gives a call up: its connection is closed, and no event follows.
    pub fn cancel(&mut self, call: Id) {
        if self.server(call).is_some_and(|s| !matches!(s.step, Step::Idle)) {
            self.drop_sock(call);
        }
    }

    fn flush_server(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(server) = self.server(id) else { return };
        while server.sent < server.out.len() {
            match server.io.write(&server.out[server.sent..]) {
                Ok(n) if n > 0 => server.sent += n,
                Err(err) if would_block(&err) => break,
                _ => return self.lost(events, id, "closed while the request was sent"),
            }
        }
        let mut flags = epoll::EventFlags::IN | epoll::EventFlags::RDHUP;
        if server.sent < server.out.len() {
            flags |= epoll::EventFlags::OUT;
        }
        self.want(id, flags);
    }

    /// A call's connection has closed or speaks nonsense.
    fn lost(&mut self, events: &mut Vec<Event>, id: Id, why: &'static str) {
        let Some(server) = self.server(id) else { return };
        let end = match server.step {
            Step::Idle => None,
            Step::Connecting => Some(CallEnd::Unreachable),
            _ if server.sent == 0 => Some(CallEnd::Unsent),
            _ => Some(CallEnd::Broken(why)),
        };
        self.drop_sock(id);
        if let Some(end) = end {
            events.push(Event::CallEnded { call: id, end });
        }
    }

    /// Waits for what happens next, at most `most`; sockets come before timers, so that an answer that is
    /// here when its deadline strikes still counts.
    pub fn turn(&mut self, events: &mut Vec<Event>, most: Ns) -> io::Result<()> {
        self.now = self.clock();
        for conn in std::mem::take(&mut self.answered) {
            self.resume(events, conn);
        }
        let due = self.timers.next().unwrap_or(Ns::MAX).min(self.swept + SWEEP);
        let wait = if events.is_empty() { (due - self.now).clamp(0, most) } else { 0 };
        let wait = rustix::event::Timespec { tv_sec: wait / SEC, tv_nsec: wait % SEC };
        let mut space = [const { std::mem::MaybeUninit::<epoll::Event>::uninit() }; EVENTS];
        let ready: &[epoll::Event] = match epoll::wait(&self.poll, &mut space[..], Some(&wait)) {
            Ok((ready, _)) => ready,
            Err(Errno::INTR) => &[],
            Err(err) => return Err(err.into()),
        };
        self.now = self.clock();
        for event in ready {
            self.ready(events, event.data.u64(), event.flags);
        }
        if self.now >= self.swept + SWEEP {
            self.sweep(events);
        }
        while let Some(tag) = self.timers.due(self.now) {
            if tag == INNER {
                self.sweep_calls(events);
            } else {
                events.push(Event::Timer { tag });
            }
        }
        Ok(())
    }

    /// Word of a socket, by its slot and the generation under which epoll knows it.
    fn ready(&mut self, events: &mut Vec<Event>, known: u64, flags: epoll::EventFlags) {
        let index = (known & 0xffff_ffff) as usize;
        let ours = |s: &&mut Slot| s.born == (known >> 32) as u32;
        let Some(slot) = self.socks.get_mut(index).filter(ours) else { return };
        let id = u64::from(slot.generation) << 32 | index as u64;
        match &mut slot.sock {
            Sock::Listener(_) => self.accept(id),
            Sock::Streams(_) => self.accept_streams(events, id),
            Sock::Stream(_) => self.stream_ready(events, id, flags),
            Sock::Client(_) => self.serve(events, id, flags),
            Sock::Server(_) => self.fetch(events, id, flags),
            Sock::Datagrams(sock) => {
                let mut buf = [0; MAX_DATAGRAM];
                for _ in 0..ACCEPTS {
                    let Ok((n, from)) = sock.recv_from(&mut buf) else { break };
                    events.push(Event::Datagram { from, bytes: buf[..n].to_vec() });
                }
            }
            Sock::Signals(sock, number) => {
                let _ = rustix::io::read(&*sock, &mut [0; 16]);
                events.push(Event::Signal { number: *number });
            }
        }
    }

    fn accept(&mut self, id: Id) {
        for _ in 0..ACCEPTS {
            let Some(Slot { sock: Sock::Listener(listener), .. }) = self.get(id) else { return };
            match listener.accept() {
                Ok((io, _)) => self.admit(io),
                Err(err) if matches!(Errno::from_io_error(&err), Some(Errno::MFILE | Errno::NFILE)) => {
                    // Out of descriptors: refuse one in words with the spare, and go on later.
                    self.spare = None;
                    if let Some(Slot { sock: Sock::Listener(listener), .. }) = self.get(id) {
                        if let Ok((mut io, _)) = listener.accept() {
                            let _ = io.set_nonblocking(true);
                            let _ = io.write(&self.full);
                        }
                    }
                    self.refused += 1;
                    self.spare = spare();
                    return;
                }
                Err(_) => return,
            }
        }
    }

    fn admit(&mut self, io: TcpStream) {
        if io.set_nonblocking(true).is_err() {
            return;
        }
        let _ = io.set_nodelay(true);
        let full = self.clients >= self.max_clients;
        let client = Client {
            io,
            buf: Vec::new(),
            out: if full { self.full.clone() } else { Vec::new() },
            sent: 0,
            serve: Serve::Head,
            file: None,
            until: self.now + CLIENT_IDLE,
            close: full,
        };
        self.refused += u64::from(full);
        self.clients += 1;
        match self.add(Sock::Client(client), epoll::EventFlags::IN | epoll::EventFlags::RDHUP) {
            Ok(id) if full => self.flush_client(id),
            Ok(_) => {}
            Err(_) => self.clients -= 1,
        }
    }

    fn serve(&mut self, events: &mut Vec<Event>, id: Id, flags: epoll::EventFlags) {
        if flags.contains(epoll::EventFlags::OUT) {
            self.flush_client(id);
        }
        let by = self.now + self.head_time;
        let mut scratch = std::mem::take(&mut self.scratch);
        let Some(client) = self.client(id) else {
            self.scratch = scratch;
            return;
        };
        let hung_up = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
        let reads = flags.intersects(epoll::EventFlags::IN | epoll::EventFlags::RDHUP);
        let read = if reads || hung_up { client.io.read(&mut scratch) } else { Ok(usize::MAX) };
        match read {
            Ok(usize::MAX) => {}
            Ok(0) => self.hung_up(events, id),
            Ok(n) => {
                if !matches!(client.serve, Serve::Lingering | Serve::Stream) {
                    let fresh = client.buf.is_empty();
                    client.buf.extend_from_slice(&scratch[..n]);
                    if matches!(client.serve, Serve::Head) && fresh {
                        client.until = by;
                    }
                    self.parse(events, id);
                }
            }
            Err(err) if would_block(&err) => {}
            Err(_) => self.hung_up(events, id),
        }
        self.scratch = scratch;
    }

    fn hung_up(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(client) = self.client(id) else { return };
        if matches!(client.serve, Serve::Work { .. } | Serve::Stream) {
            events.push(Event::ClientClosed { conn: id });
        } else if client.file.is_none() && client.sent < client.out.len() && !client.close {
            // Half-closed with an answer still on its way out: it is finished first.
            client.close = true;
            return self.want(id, epoll::EventFlags::OUT);
        }
        self.drop_sock(id);
    }

    /// Reads requests from the buffer, one at a time: the next waits until this one is answered.
    fn parse(&mut self, events: &mut Vec<Event>, id: Id) {
        let by = self.now + self.body_time;
        let Some(client) = self.client(id) else { return };
        let step: Result<(), Refusal> = (|| {
            if let Serve::Head = client.serve {
                if client.close || client.buf.is_empty() || client.owes() {
                    return Ok(());
                }
                let Some(head) = http::request_head(&client.buf)? else { return Ok(()) };
                client.buf.drain(..head.long);
                if head.expects && head.framing != Framing::Length(0) && client.buf.is_empty() {
                    client.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                client.until = by;
                client.serve = Serve::Body(Box::new((head.message, Body::new(head.framing, http::MAX_BODY))));
            }
            if let Serve::Body(state) = &mut client.serve {
                let (request, body) = &mut **state;
                let used = body.take(&client.buf, &mut request.body)?;
                client.buf.drain(..used);
                if body.done() {
                    let request = std::mem::take(request);
                    client.serve = Serve::Work { keep: request.keep, bare: request.head_only };
                    client.until = Ns::MAX;
                    events.push(Event::Request { conn: id, request });
                }
            }
            Ok(())
        })();
        if client.buf.is_empty() && client.buf.capacity() > 4096 {
            client.buf = Vec::new();
        }
        match step {
            Ok(()) => {
                let Some(client) = self.client(id) else { return };
                let full = client.buf.len() >= http::MAX_HEAD;
                if !client.out.is_empty() {
                    self.flush_client(id);
                } else if full {
                    self.want(id, epoll::EventFlags::RDHUP);
                }
            }
            Err(refusal) => self.refuse(id, refusal),
        }
    }

    fn refuse(&mut self, id: Id, refusal: Refusal) {
        if let Some(client) = self.client(id) {
            client.close = true;
            client.serve = Serve::Head;
            let lines = [("Rockpick-Answer", "not-taken"), ("Content-Type", "text/plain")];
            let body = format!("{}\n", refusal.why);
            http::write_response(
                &mut client.out,
                refusal.status.max(400),
                &lines,
                Some(body.as_bytes()),
                false,
                false,
            );
            self.flush_client(id);
        }
    }

    /// After an answer: pipelined requests that wait in the buffer come up now.
    fn resume(&mut self, events: &mut Vec<Event>, conn: Id) {
        let (now, head) = (self.now, self.head_time);
        // Not before the last byte of the answer is out: a client that sends and never reads would fill the
        // memory with answers, and be let stay as an idle one.
        if let Some(client) = self.client(conn).filter(|c| matches!(c.serve, Serve::Head) && !c.owes()) {
            client.until = now + if client.buf.is_empty() { CLIENT_IDLE } else { head };
            if !client.buf.is_empty() {
                self.parse(events, conn);
                self.flush_client(conn);
            }
        }
    }

    fn fetch(&mut self, events: &mut Vec<Event>, id: Id, flags: epoll::EventFlags) {
        let Some(server) = self.server(id) else { return };
        if matches!(server.step, Step::Connecting) {
            let failed = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
            if failed || server.io.take_error().ok().flatten().is_some() {
                return self.lost(events, id, "");
            }
            if flags.contains(epoll::EventFlags::OUT) {
                server.step = Step::Head;
                server.until = Ns::MAX;
                return self.flush_server(events, id);
            }
            return;
        }
        if flags.contains(epoll::EventFlags::OUT) {
            self.flush_server(events, id);
        }
        if !flags.intersects(!epoll::EventFlags::OUT) {
            return;
        }
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(server) = self.server(id) {
            match server.io.read(&mut scratch) {
                Ok(0) => self.closed(events, id),
                Ok(n) => {
                    server.buf.extend_from_slice(&scratch[..n]);
                    self.digest(events, id);
                }
                Err(err) if would_block(&err) => {}
                Err(_) => self.lost(events, id, "reset"),
            }
        }
        self.scratch = scratch;
    }

    /// The peer has closed: that ends some answers, and breaks the rest.
    fn closed(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(server) = self.server(id) else { return };
        if let Step::Body(state) = &mut server.step {
            if state.1.closes() && !server.stream {
                let response = std::mem::take(&mut state.0);
                self.drop_sock(id);
                return events.push(Event::CallEnded { call: id, end: CallEnd::Answer(response) });
            }
            return self.lost(events, id, "half an answer");
        }
        self.lost(events, id, "closed without an answer");
    }

    fn digest(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(server) = self.server(id) else { return };
        if matches!(server.step, Step::Idle) {
            self.unexpected_data += 1;
            return self.drop_sock(id);
        }
        let most = if server.stream { usize::MAX } else { http::MAX_BODY };
        let step: Result<bool, Refusal> = (|| loop {
            match &mut server.step {
                Step::Head => {
                    let Some(head) = http::response_head(&server.buf)? else { return Ok(false) };
                    server.buf.drain(..head.long);
                    if head.message.status == 101 {
                        return Err(Refusal { status: 0, why: "another protocol" });
                    }
                    if head.message.status >= 200 {
                        let framing = if server.head_only { Framing::Length(0) } else { head.framing };
                        server.step = Step::Body(Box::new((head.message, Body::new(framing, most))));
                    }
                }
                Step::Body(state) => {
                    let used = state.1.take(&server.buf, &mut state.0.body)?;
                    server.buf.drain(..used);
                    return Ok(state.1.done());
                }
                Step::Connecting | Step::Idle => return Ok(false),
            }
        })();
        let done = match step {
            Err(refusal) => return self.lost(events, id, refusal.why),
            Ok(done) => done,
        };
        let Some(server) = self.server(id) else { return };
        let Step::Body(state) = &mut server.step else { return };
        if server.stream && !state.0.body.is_empty() {
            let bytes = std::mem::take(&mut state.0.body);
            events.push(Event::CallData { call: id, status: state.0.status, bytes });
        }
        if done {
            let response = std::mem::take(&mut state.0);
            // Words beyond the answer, or an answer before the request was whole: not a connection to keep.
            let stray = !server.buf.is_empty();
            let keep = response.keep && server.buf.is_empty() && server.sent == server.out.len();
            self.unexpected_data += u64::from(stray);
            self.park(id, keep);
            events.push(Event::CallEnded { call: id, end: CallEnd::Answer(response) });
        }
    }

    /// Keeps a connection for the next call to its address, or closes it.
    fn park(&mut self, id: Id, keep: bool) {
        let now = self.now;
        let Some(server) = self.server(id) else { return };
        let to = server.to;
        let kept = self.pools.get(&to).map_or(0, Vec::len);
        if !keep || kept >= MAX_IDLE {
            return self.drop_sock(id);
        }
        // Its next call must not have this one's id.
        self.generation = self.generation.wrapping_add(1);
        let generation = self.generation;
        let index = (id & 0xffff_ffff) as usize;
        let fresh = u64::from(generation) << 32 | index as u64;
        let Some(slot) = self.socks.get_mut(index) else { return };
        slot.generation = generation;
        if let Sock::Server(server) = &mut slot.sock {
            server.step = Step::Idle;
            server.out.clear();
            server.until = now + POOL_IDLE;
        }
        self.calls -= 1;
        self.pools.entry(to).or_default().push(fresh);
    }

    /// Closes pooled connections to an address.
    pub fn close_idle(&mut self, to: SocketAddr) {
        for id in self.pools.get(&to).cloned().unwrap_or_default() {
            self.drop_sock(id);
        }
    }

    fn sweep_calls(&mut self, events: &mut Vec<Event>) {
        let now = self.now;
        let late =
            |s: &Sock| matches!(s, Sock::Server(c) if matches!(c.step, Step::Connecting) && c.until <= now);
        for id in self.ids(late) {
            self.lost(events, id, "");
        }
        for id in self.ids(|s| matches!(s, Sock::Stream(s) if s.late(now))) {
            self.stream_gone(events, id);
        }
    }

    fn sweep(&mut self, events: &mut Vec<Event>) {
        let now = self.now;
        self.swept = now;
        self.sweep_calls(events);
        let idle = |s: &Sock| matches!(s, Sock::Server(c) if matches!(c.step, Step::Idle) && c.until <= now);
        self.ids(idle).into_iter().for_each(|id| self.drop_sock(id));
        for id in self.ids(|s| matches!(s, Sock::Client(c) if c.until <= now)) {
            let Some(client) = self.client(id) else { continue };
            let slow = match client.serve {
                Serve::Head => !client.buf.is_empty() && client.out.is_empty(),
                Serve::Body(_) => true,
                _ => false,
            };
            if slow {
                self.refuse(id, Refusal { status: 408, why: "the request came too slowly" });
                if let Some(client) = self.client(id) {
                    client.until = now + LINGER;
                }
            } else {
                self.drop_sock(id);
            }
        }
    }
}

/// The tag of the loop's own timers.
const INNER: u64 = u64::MAX;

const _: () = assert!(MAX_BACKLOG > http::MAX_BODY);
