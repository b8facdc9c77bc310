//! The event loop: level-triggered epoll over a slab of sockets. Ids carry a generation, so that an event for
//! a closed socket never reaches the socket that has taken its slot.
mod calls;
mod requests;

use crate::http::{self, Body, Refusal, Request, Response};
use crate::poller::Poller;
use crate::socket_calls;
use crate::timers::{Ns, Timers};
use crate::SEC;
use rustix::event::epoll;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use slab::Slab;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};

/// Identifies a socket of this loop: the slot in the low half, the generation in the high half.
pub type Id = u64;

/// Maximum number of bytes waiting to be sent on a connection; a stream whose reader is slower is closed.
pub const MAX_BACKLOG: usize = 4 * 1024 * 1024;
/// Maximum number of open calls; a further one ends as `Unreachable` without a socket.
pub const MAX_CALLS: usize = 16 * 1024;
/// Maximum number of idle connections kept to an address; further ones are closed.
pub const MAX_IDLE: usize = 256;
/// Maximum memory for requests of all clients that are incomplete or not answered yet, beyond their allowances.
pub const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;
/// Memory for requests that each client may take, whatever others take: small requests are never rejected for want of it.
const REQUEST_ALLOWANCE: usize = 2 * 1024;
/// How long a closing connection waits for the peer to read the last response.
pub const LINGER: Ns = SEC;
/// Maximum number of lingering connections; a further one is closed at once.
const MAX_LINGERING: usize = 64;
/// Default time limits for receiving a head and a body, similar to those of other servers, so that slow
/// senders don't hold a connection for long.
const HEAD_TIMEOUT: Ns = 10 * SEC;
const BODY_TIMEOUT: Ns = 30 * SEC;
/// Idle timeouts of client connections and of pooled connections to servers. The pool's is shorter, so that
/// the server seldom closes first and a request is seldom sent on a connection that is being closed.
const CLIENT_IDLE: Ns = 300 * SEC;
const POOL_IDLE: Ns = 10 * SEC;
/// A client that reads nothing of its response for this long is disconnected.
const WRITE_TIMEOUT: Ns = 30 * SEC;
/// Number of bytes read at once.
const READ_SIZE: usize = 64 * 1024;
/// Fewest bytes that one read asks for, however many sockets share the limit of a turn.
const MIN_READ_SIZE: usize = 2 * 1024;
/// Maximum number of sockets accepted in one turn, so that new connections do not starve the others.
pub(crate) const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Length of the accept queue: about a second's stall at some thousand new connections per second. If it is
/// full, clients retry only a second later (the standard library asks for 128). The system may grant less.
const ACCEPT_BACKLOG: i32 = 4_096;
/// How often expired connections are looked for.
const SWEEP_INTERVAL: Ns = SEC / 2;
/// How long a socket that the system can't open at the moment is waited for at the start, and how often it is tried.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum size of a datagram.
const MAX_DATAGRAM: usize = 2048;

/// An event reported by the loop.
#[derive(Debug)]
pub enum Event {
    /// A complete request; the connection waits for [`Net::answer`] or [`Net::open_stream`].
    Request {
        conn: Id,
        request: Request,
    },
    /// The client closed its side before it was answered; nothing can be sent any more.
    ClientClosed {
        conn: Id,
    },
    /// A call has ended; no further event follows for it.
    CallEnded {
        call: Id,
        end: CallEnd,
    },
    /// A part of a streamed response.
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
    /// A stream is open: either dialled or accepted by a listener for streams.
    StreamOpened {
        conn: Id,
    },
    StreamData {
        conn: Id,
        bytes: Vec<u8>,
    },
    /// A stream was closed by its peer or could not be opened; not reported for streams closed locally.
    /// `unsent`: part of the output had not been written.
    StreamClosed {
        conn: Id,
        unsent: bool,
    },
    /// All pending output of a stream has been written.
    StreamFlushed {
        conn: Id,
    },
}

/// How a call ended.
#[derive(Debug)]
pub enum CallEnd {
    Answer(Response),
    /// There was no connection; the request provably never ran.
    Unreachable,
    /// The connection closed before any byte was sent; the request provably never ran.
    Unsent,
    /// The connection closed, or its response was malformed, after part of the request was sent; the request
    /// may have run.
    Broken(&'static str),
}

/// The peer has closed the connection in the middle of its answer.
const CLOSED_MIDWAY: &str = "half an answer";

impl CallEnd {
    /// Whether all that the peer sent was received: it has answered, or closed its end in order. After a reset or a
    /// malformed answer more may have been sent.
    pub fn received_all(&self) -> bool {
        matches!(self, CallEnd::Answer(_) | CallEnd::Broken(CLOSED_MIDWAY))
    }
}

/// A request to send.
pub struct Call<'a> {
    pub to: SocketAddr,
    /// The request as encoded by [`http::encode_request`].
    pub request: &'a [u8],
    pub connect_within: Ns,
    /// The response is handed on in parts as it arrives, without a limit on its total size.
    pub stream: bool,
    /// The response to a HEAD request has no body, whatever its length header says.
    pub head_only: bool,
}

enum ClientState {
    /// Waiting for a head.
    Head,
    Body(Box<(Request, Body)>),
    /// The caller must answer the request.
    AwaitingAnswer {
        keep_alive: bool,
        head_only: bool,
    },
    Streaming,
    /// The last response is sent; further input is dropped.
    Lingering,
}

pub(crate) struct Client {
    io: TcpStream,
    buf: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    state: ClientState,
    /// The file that is sent as the body of the response, and the number of bytes still to read.
    file: Option<(std::fs::File, u64)>,
    /// When the connection expires.
    expires_at: Ns,
    close: bool,
    /// Memory of the request that awaits its answer.
    request_bytes: usize,
    /// Its part of [`Net::request_bytes`].
    counted: usize,
}

impl Client {
    /// Memory that the client makes the process hold for requests.
    fn request_memory(&self) -> usize {
        let incomplete = if let ClientState::Body(state) = &self.state { state.0.body.capacity() } else { 0 };
        let unanswered = matches!(self.state, ClientState::AwaitingAnswer { .. });
        self.buf.capacity() + incomplete + if unanswered { self.request_bytes } else { 0 }
    }

    /// Whether part of a response is still unsent.
    fn has_unsent(&self) -> bool {
        self.sent < self.out.len() || self.file.is_some()
    }

    /// Reads the next part of the file once all output is sent; returns false on failure.
    fn refill(&mut self) -> bool {
        let Some((file, left)) = &mut self.file else { return true };
        let piece = (*left).min(READ_SIZE as u64);
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

enum CallState {
    Connecting,
    /// Sending the request or waiting for the head of the response.
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
    state: CallState,
    expires_at: Ns,
    stream: bool,
    head_only: bool,
}

pub(crate) struct Stream {
    pub(crate) io: TcpStream,
    pub(crate) out: Vec<u8>,
    pub(crate) sent: usize,
    pub(crate) connected: bool,
    /// The time limit for connecting or closing.
    pub(crate) expires_at: Ns,
    /// Reading is paused by the caller.
    pub(crate) paused: bool,
    /// Most bytes that one read takes.
    pub(crate) read_limit: usize,
    /// Closing: pending output is still sent; further input is dropped, up to a limit.
    pub(crate) closing: bool,
    pub(crate) dropped: usize,
    /// Whether the peer opened the stream.
    pub(crate) accepted: bool,
    /// Its part of the bytes in [`UnsentBytes`].
    pub(crate) counted: usize,
}

/// Memory taken by the unsent output of streams, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnsentBytes {
    /// Of streams that peers opened.
    pub accepted: usize,
    /// Of streams that this process dialled.
    pub dialled: usize,
}

pub(crate) enum Socket {
    Listener(TcpListener),
    Streams(TcpListener),
    Stream(Stream),
    Client(Client),
    Server(Server),
    Datagrams(UdpSocket),
    Signals(OwnedFd, i32),
}

impl Socket {
    fn fd(&self) -> rustix::fd::BorrowedFd<'_> {
        match self {
            Socket::Listener(s) | Socket::Streams(s) => s.as_fd(),
            Socket::Stream(s) => s.io.as_fd(),
            Socket::Client(c) => c.io.as_fd(),
            Socket::Server(s) => s.io.as_fd(),
            Socket::Datagrams(s) => s.as_fd(),
            Socket::Signals(s, _) => s.as_fd(),
        }
    }
}

pub(crate) struct Slot {
    generation: u32,
    /// The generation under which the socket is registered with epoll; later calls on a pooled connection
    /// have newer generations.
    registered: u32,
    flags: epoll::EventFlags,
    pub(crate) socket: Socket,
}

pub struct Net {
    poller: Poller,
    sockets: Slab<Slot>,
    generation: u32,
    timers: Timers,
    started: Instant,
    now: Ns,
    swept_at: Ns,
    pools: HashMap<SocketAddr, Vec<Id>>,
    clients: usize,
    calls: usize,
    lingering: usize,
    pub(crate) streams: usize,
    pub(crate) closing: usize,
    /// Maximum number of streams; further ones are neither dialled nor accepted.
    pub max_streams: usize,
    /// Maximum number of closing streams.
    pub max_closing: usize,
    /// Sent to an accepted stream over the limit before it is closed.
    pub stream_refusal: Vec<u8>,
    /// Most bytes that the first read of an accepted stream takes; [`Net::limit_read`] changes it.
    pub accepted_read_limit: usize,
    /// Most bytes that the streams and calls of one turn hand over together. Sockets that are ready at the same time
    /// share it equally, but each may hand over 2 KiB.
    pub max_read_per_turn: usize,
    /// Most bytes that one read of this turn asks for.
    pub(crate) read_size: usize,
    /// Most unsent bytes of all dialled streams; a stream whose output would exceed it is closed.
    pub max_unsent_dialled: usize,
    pub(crate) unsent_bytes: UnsentBytes,
    /// Connections whose response has been sent, and whose next request may already be in the buffer.
    answered: Vec<Id>,
    /// Maximum number of client connections; further ones get a 503 response at once.
    pub max_clients: usize,
    /// Time limits for a head, from its first byte, and for a body, from its head; status 408 if exceeded.
    pub head_timeout: Ns,
    pub body_timeout: Ns,
    /// Time after which a client that reads nothing of its response is disconnected.
    pub write_timeout: Ns,
    /// A reserved descriptor, used to send a refusal when no other descriptors are left.
    pub(crate) spare_fd: Option<OwnedFd>,
    pub(crate) read_buf: Vec<u8>,
    pub refused: u64,
    /// Number of times that data came after a response or on a connection without a call.
    pub unexpected_data: u64,
    /// The response to a connection over the limit.
    full_response: Vec<u8>,
    /// Memory for requests of all clients, incomplete or not answered yet. A request that needs more than
    /// [`REQUEST_ALLOWANCE`] is rejected while all together take more than [`MAX_REQUEST_BYTES`].
    request_bytes: usize,
}

pub(crate) fn would_block(err: &io::Error) -> bool {
    err.kind() == ErrorKind::WouldBlock || err.kind() == ErrorKind::Interrupted
}

/// A bound TCP socket that does not listen yet: a connection that comes before it listens is refused, so that
/// the client can try elsewhere.
pub struct BoundListener {
    socket: TcpListener,
    pub at: SocketAddr,
}

impl BoundListener {
    /// Binds an address; with port 0 the system chooses the port. Waits a while if the system lacks something for it.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn bind(at: SocketAddr) -> io::Result<BoundListener> {
        let began = Instant::now();
        loop {
            match BoundListener::try_bind(at) {
                Err(err) if socket_calls::is_transient(&err) && began.elapsed() < BIND_TIMEOUT => {
                    std::thread::sleep(BIND_RETRY_DELAY);
                }
                result => return result,
            }
        }
    }

    fn try_bind(at: SocketAddr) -> io::Result<BoundListener> {
        use rustix::net::{bind, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
        let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let fd = socket_with(family, SocketType::STREAM, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC, None)?;
        // Allows to bind an address at once after its former process has ended.
        sockopt::set_socket_reuseaddr(&fd, true)?;
        bind(&fd, &at)?;
        let socket = TcpListener::from(fd);
        let at = socket.local_addr()?;
        Ok(BoundListener { socket, at })
    }

    pub(crate) fn listen(self) -> io::Result<TcpListener> {
        rustix::net::listen(&self.socket, ACCEPT_BACKLOG)?;
        Ok(self.socket)
    }
}

/// Starts a non-blocking connect.
pub(crate) fn start_connect(to: &SocketAddr) -> io::Result<TcpStream> {
    use rustix::net::{socket_with, AddressFamily, SocketFlags, SocketType};
    socket_calls::connect_fault()?;
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

pub(crate) fn open_spare_fd() -> Option<OwnedFd> {
    std::fs::File::open("/dev/null").ok().map(OwnedFd::from)
}

/// The rate error of the process's clock in parts per million.
static CLOCK_SKEW_PPM: AtomicI64 = AtomicI64::new(0);

/// Sets the rate error that the clocks of all event loops show, for fault tests. This is the only place where
/// time is altered.
pub fn set_clock_skew(ppm: i64) {
    CLOCK_SKEW_PPM.store(ppm, Ordering::Relaxed);
}

impl Net {
    pub fn new(max_clients: usize) -> io::Result<Net> {
        let mut full = Vec::new();
        let headers =
            [("Rockpick-Answer", "pushed-back"), ("Retry-After", "1"), ("Rockpick-Retry-After-Ms", "250")];
        http::write_response(&mut full, 503, &headers, Some(b"too many connections\n"), false, false);
        Ok(Net {
            poller: Poller::new()?,
            sockets: Slab::new(),
            generation: 0,
            timers: Timers::default(),
            started: Instant::now(),
            now: 0,
            swept_at: 0,
            pools: HashMap::new(),
            clients: 0,
            calls: 0,
            lingering: 0,
            streams: 0,
            closing: 0,
            max_streams: crate::MAX_STREAMS,
            max_closing: crate::MAX_CLOSING_STREAMS,
            stream_refusal: Vec::new(),
            accepted_read_limit: usize::MAX,
            max_read_per_turn: usize::MAX,
            read_size: READ_SIZE,
            max_unsent_dialled: usize::MAX,
            unsent_bytes: UnsentBytes::default(),
            answered: Vec::new(),
            max_clients,
            head_timeout: HEAD_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            spare_fd: open_spare_fd(),
            read_buf: vec![0; READ_SIZE],
            refused: 0,
            unexpected_data: 0,
            full_response: full,
            request_bytes: 0,
        })
    }

    /// The time at the start of this turn, in nanoseconds since the loop was created.
    pub fn now(&self) -> Ns {
        self.now
    }

    /// The present time.
    pub fn clock(&self) -> Ns {
        let elapsed = self.started.elapsed().as_nanos() as Ns;
        elapsed + elapsed / 1_000_000 * CLOCK_SKEW_PPM.load(Ordering::Relaxed)
    }

    pub fn wake_at(&mut self, at: Ns, tag: u64) {
        self.timers.set(at, tag);
    }

    /// Number of client connections with unsent output.
    pub fn unsent(&self) -> usize {
        self.ids_of(|s| matches!(s, Socket::Client(c) if c.has_unsent())).count()
    }

    /// Number of open client connections and of open calls.
    pub fn open(&self) -> (usize, usize) {
        (self.clients, self.calls)
    }

    pub(crate) fn set_internal_timer(&mut self, at: Ns) {
        self.timers.set(at, INTERNAL_TAG);
    }

    pub(crate) fn add(&mut self, socket: Socket, flags: epoll::EventFlags) -> io::Result<Id> {
        self.generation = self.generation.wrapping_add(1);
        let generation = self.generation;
        let slot = self.sockets.vacant_entry();
        let id = u64::from(generation) << 32 | slot.key() as u64;
        self.poller.register(socket.fd(), id, flags)?;
        slot.insert(Slot { generation, registered: generation, flags, socket });
        Ok(id)
    }

    pub(crate) fn get(&mut self, id: Id) -> Option<&mut Slot> {
        self.sockets.get_mut((id & 0xffff_ffff) as usize).filter(|s| s.generation == (id >> 32) as u32)
    }

    fn client(&mut self, id: Id) -> Option<&mut Client> {
        match &mut self.get(id)?.socket {
            Socket::Client(c) => Some(c),
            _ => None,
        }
    }

    fn server(&mut self, id: Id) -> Option<&mut Server> {
        match &mut self.get(id)?.socket {
            Socket::Server(s) => Some(s),
            _ => None,
        }
    }

    pub(crate) fn close_socket(&mut self, id: Id) {
        if self.get(id).is_none() {
            return;
        }
        let slot = self.sockets.remove((id & 0xffff_ffff) as usize);
        if let Socket::Client(client) = &slot.socket {
            self.request_bytes -= client.counted;
        }
        let _ = self.poller.remove(slot.socket.fd());
        match slot.socket {
            Socket::Client(c) if matches!(c.state, ClientState::Lingering) => self.lingering -= 1,
            Socket::Client(_) => self.clients -= 1,
            Socket::Server(s) if matches!(s.state, CallState::Idle) => {
                if let Some(pool) = self.pools.get_mut(&s.to) {
                    pool.retain(|i| *i != id);
                    if pool.is_empty() {
                        self.pools.remove(&s.to);
                    }
                }
            }
            Socket::Server(_) => self.calls -= 1,
            Socket::Stream(s) => {
                self.streams -= 1;
                self.closing -= usize::from(s.closing);
                self.unsent_bytes.uncount(&s);
            }
            _ => {}
        }
    }

    pub(crate) fn set_interest(&mut self, id: Id, flags: epoll::EventFlags) {
        let index = (id & 0xffff_ffff) as usize;
        if let Some(slot) = self.sockets.get_mut(index).filter(|s| s.flags != flags) {
            slot.flags = flags;
            let token = u64::from(slot.registered) << 32 | index as u64;
            let _ = self.poller.change(slot.socket.fd(), token, flags);
        }
    }

    /// Listens on an address; with port 0 the system chooses the port. Returns the bound address.
    pub fn listen(&mut self, at: SocketAddr) -> io::Result<(Id, SocketAddr)> {
        let bound = BoundListener::bind(at)?;
        let bound_addr = bound.at;
        Ok((self.listen_on(bound)?, bound_addr))
    }

    /// Listens on an address that was bound before.
    ///
    /// # Errors
    /// The socket can't listen or can't be registered with epoll.
    pub fn listen_on(&mut self, bound: BoundListener) -> io::Result<Id> {
        self.add(Socket::Listener(bound.listen()?), epoll::EventFlags::IN)
    }

    /// Stops accepting connections and closes those that are idle.
    pub fn stop_listening(&mut self) {
        let idle = |socket: &Socket| match socket {
            Socket::Listener(_) => true,
            Socket::Client(c) => matches!(c.state, ClientState::Head) && c.buf.is_empty() && c.out.is_empty(),
            _ => false,
        };
        let gone: Vec<Id> = self.ids(idle);
        gone.into_iter().for_each(|id| self.close_socket(id));
        for (_, slot) in &mut self.sockets {
            if let Socket::Client(c) = &mut slot.socket {
                c.close = true;
            }
        }
    }

    pub(crate) fn ids_of<'a>(
        &'a self, which: impl Fn(&Socket) -> bool + 'a,
    ) -> impl Iterator<Item = Id> + 'a {
        let id = |(i, s): (usize, &Slot)| u64::from(s.generation) << 32 | i as u64;
        self.sockets.iter().filter(move |(_, s)| which(&s.socket)).map(id)
    }

    fn ids(&self, which: impl Fn(&Socket) -> bool) -> Vec<Id> {
        self.ids_of(which).collect()
    }

    /// Opens a datagram socket on an address.
    pub fn datagrams(&mut self, at: SocketAddr) -> io::Result<(Id, SocketAddr)> {
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        let bound_addr = socket.local_addr()?;
        Ok((self.add(Socket::Datagrams(socket), epoll::EventFlags::IN)?, bound_addr))
    }

    /// Sends a datagram; errors are ignored, as it may get lost anyway.
    pub fn send_datagram(&mut self, from: Id, to: SocketAddr, bytes: &[u8]) {
        if let Some(Slot { socket: Socket::Datagrams(socket), .. }) = self.get(from) {
            let _ = socket.send_to(bytes, to);
        }
    }

    /// Reports a signal as an event.
    pub fn on_signal(&mut self, number: i32) -> io::Result<()> {
        use rustix::pipe::{pipe_with, PipeFlags};
        let (read_end, write_end) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
        signal_hook::low_level::pipe::register(number, write_end)?;
        self.add(Socket::Signals(read_end, number), epoll::EventFlags::IN).map(drop)
    }

    /// Closes a connection without an answer.
    pub fn close(&mut self, conn: Id) {
        self.close_socket(conn);
    }

    /// Waits for events, at most for `most`. Socket events come before timers, so that a response that has
    /// arrived when its deadline expires still counts.
    pub fn turn(&mut self, events: &mut Vec<Event>, most: Ns) -> io::Result<()> {
        self.now = self.clock();
        for conn in std::mem::take(&mut self.answered) {
            self.resume(events, conn);
        }
        let due = self.timers.next().unwrap_or(Ns::MAX).min(self.swept_at + SWEEP_INTERVAL);
        let wait = if events.is_empty() { (due - self.now).clamp(0, most) } else { 0 };
        let ready = self.poller.wait(wait)?;
        self.now = self.clock();
        let readable = ready.iter().filter(|event| event.flags.contains(epoll::EventFlags::IN)).count();
        self.read_size = (self.max_read_per_turn / readable.max(1)).clamp(MIN_READ_SIZE, READ_SIZE);
        for event in ready {
            self.ready(events, event.token, event.flags);
        }
        if self.now >= self.swept_at + SWEEP_INTERVAL {
            self.expire_idle(events);
        }
        while let Some(tag) = self.timers.due(self.now) {
            if tag == INTERNAL_TAG {
                self.expire_connects(events);
            } else {
                events.push(Event::Timer { tag });
            }
        }
        Ok(())
    }

    /// Handles an epoll event; `known` holds the slot and the generation under which the socket is
    /// registered.
    fn ready(&mut self, events: &mut Vec<Event>, known: u64, flags: epoll::EventFlags) {
        let index = (known & 0xffff_ffff) as usize;
        let registered = |s: &&mut Slot| s.registered == (known >> 32) as u32;
        let Some(slot) = self.sockets.get_mut(index).filter(registered) else { return };
        let id = u64::from(slot.generation) << 32 | index as u64;
        match &mut slot.socket {
            Socket::Listener(_) => self.accept(id),
            Socket::Streams(_) => {
                self.accept_streams(events, id);
            }
            Socket::Stream(_) => self.stream_ready(events, id, flags),
            Socket::Client(_) => self.client_ready(events, id, flags),
            Socket::Server(_) => self.call_ready(events, id, flags),
            Socket::Datagrams(socket) => {
                let mut buf = [0; MAX_DATAGRAM];
                for _ in 0..MAX_ACCEPTS_PER_TURN {
                    let Ok((n, from)) = socket.recv_from(&mut buf) else { break };
                    events.push(Event::Datagram { from, bytes: buf[..n].to_vec() });
                }
            }
            Socket::Signals(socket, number) => {
                let _ = rustix::io::read(&*socket, &mut [0; 16]);
                events.push(Event::Signal { number: *number });
            }
        }
    }

    fn expire_connects(&mut self, events: &mut Vec<Event>) {
        let now = self.now;
        let overdue = |s: &Socket| matches!(s, Socket::Server(c) if matches!(c.state, CallState::Connecting) && c.expires_at <= now);
        for id in self.ids(overdue) {
            self.call_failed(events, id, "");
        }
        for id in self.ids(|s| matches!(s, Socket::Stream(s) if s.timed_out(now))) {
            self.stream_closed(events, id);
        }
    }

    fn expire_idle(&mut self, events: &mut Vec<Event>) {
        let now = self.now;
        self.swept_at = now;
        self.expire_connects(events);
        let idle = |s: &Socket| matches!(s, Socket::Server(c) if matches!(c.state, CallState::Idle) && c.expires_at <= now);
        self.ids(idle).into_iter().for_each(|id| self.close_socket(id));
        for id in self.ids(|s| matches!(s, Socket::Client(c) if c.expires_at <= now)) {
            let Some(client) = self.client(id) else { continue };
            let slow = match client.state {
                ClientState::Head => !client.buf.is_empty() && client.out.is_empty(),
                ClientState::Body(_) => true,
                _ => false,
            };
            if slow {
                self.reject(id, Refusal { status: 408, why: "the request came too slowly" });
                if let Some(client) = self.client(id) {
                    client.expires_at = now + LINGER;
                }
            } else {
                self.close_socket(id);
            }
        }
    }
}

/// The tag of the loop's internal timers.
const INTERNAL_TAG: u64 = u64::MAX;

const _: () = assert!(MAX_BACKLOG > http::MAX_BODY);
