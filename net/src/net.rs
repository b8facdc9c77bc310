//! The event loop: level-triggered epoll over a slab of sockets. Ids carry a generation, so that an event for
//! a closed socket never reaches the socket that has taken its slot.
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

/// Identifies a socket of this loop: the slot in the low half, the generation in the high half.
pub type Id = u64;

/// Maximum number of bytes waiting to be sent on a connection; a stream whose reader is slower is closed.
pub const MAX_BACKLOG: usize = 4 * 1024 * 1024;
/// Maximum number of open calls; a further one ends as `Unreachable` without a socket.
pub const MAX_CALLS: usize = 16 * 1024;
/// Maximum number of idle connections kept to an address; further ones are closed.
pub const MAX_IDLE: usize = 256;
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
/// Maximum number of sockets accepted and of epoll events handled in one turn, so that no side starves the
/// other.
pub(crate) const MAX_ACCEPTS_PER_TURN: usize = 64;
const MAX_EVENTS_PER_TURN: usize = 256;
/// Length of the accept queue: about a second's stall at some thousand new connections per second. If it is
/// full, clients retry only a second later (the standard library asks for 128). The system may grant less.
const ACCEPT_BACKLOG: i32 = 4_096;
/// How often expired connections are looked for.
const SWEEP_INTERVAL: Ns = SEC / 2;
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
}

impl Client {
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
    poll: OwnedFd,
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
    /// Binds an address; with port 0 the system chooses the port.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn bind(at: SocketAddr) -> io::Result<BoundListener> {
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
            poll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
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
        epoll::add(&self.poll, socket.fd(), epoll::EventData::new_u64(id), flags)?;
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
        let _ = epoll::delete(&self.poll, slot.socket.fd());
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
            let data = epoll::EventData::new_u64(u64::from(slot.registered) << 32 | index as u64);
            let _ = epoll::modify(&self.poll, slot.socket.fd(), data, flags);
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

    /// Answers the request of a connection; does nothing if the client has disconnected.
    pub fn answer(&mut self, conn: Id, status: u16, headers: &[(&str, &str)], body: &[u8]) {
        let by = self.now + self.write_timeout;
        let Some(client) = self.client(conn) else { return };
        let ClientState::AwaitingAnswer { keep_alive, head_only } = client.state else { return };
        let keep_alive = keep_alive && !client.close;
        http::write_response(&mut client.out, status, headers, Some(body), keep_alive, head_only);
        client.close = !keep_alive;
        client.state = ClientState::Head;
        client.expires_at = by;
        self.flush_client(conn);
    }

    /// Answers with part of a file, which is read as fast as the client takes it.
    pub fn answer_file(
        &mut self, conn: Id, status: u16, headers: &[(&str, &str)], file: std::fs::File, len: u64,
    ) {
        let by = self.now + self.write_timeout;
        let Some(client) = self.client(conn) else { return };
        let ClientState::AwaitingAnswer { keep_alive, head_only } = client.state else { return };
        client.close |= !keep_alive;
        let length = len.to_string();
        let mut headers = headers.to_vec();
        headers.push(("Content-Length", &length));
        http::write_head(&mut client.out, status, &headers, !client.close);
        client.file = (!head_only && len > 0).then_some((file, len));
        client.state = ClientState::Head;
        client.expires_at = by;
        self.flush_client(conn);
    }

    /// Starts a chunked response; its parts follow by [`Net::stream`].
    pub fn open_stream(&mut self, conn: Id, headers: &[(&str, &str)]) {
        if let Some(client) =
            self.client(conn).filter(|c| matches!(c.state, ClientState::AwaitingAnswer { .. }))
        {
            http::write_response(&mut client.out, 200, headers, None, true, false);
            client.state = ClientState::Streaming;
            client.expires_at = Ns::MAX;
            self.flush_client(conn);
        }
    }

    /// Sends a part of a chunked response. Returns false if the connection is closed, also because the reader
    /// was too slow.
    pub fn stream(&mut self, conn: Id, bytes: &[u8]) -> bool {
        let Some(client) = self.client(conn).filter(|c| matches!(c.state, ClientState::Streaming)) else {
            return false;
        };
        if client.out.len() - client.sent + bytes.len() > MAX_BACKLOG {
            self.close_socket(conn);
            return false;
        }
        let _ = write!(client.out, "{:x}\r\n", bytes.len());
        client.out.extend_from_slice(bytes);
        client.out.extend_from_slice(b"\r\n");
        self.flush_client(conn);
        self.get(conn).is_some()
    }

    /// Closes a connection without an answer.
    pub fn close(&mut self, conn: Id) {
        self.close_socket(conn);
    }

    /// Sends raw bytes in place of a response and closes the connection if asked to; used to simulate broken
    /// peers.
    pub fn send_raw(&mut self, conn: Id, bytes: &[u8], close: bool) {
        if let Some(client) = self.client(conn) {
            client.out.extend_from_slice(bytes);
            client.close = close;
            if close {
                client.state = ClientState::Head;
            }
            self.flush_client(conn);
        }
    }

    fn flush_client(&mut self, id: Id) {
        let by = self.now + self.write_timeout;
        let Some(client) = self.client(id) else { return };
        let had_unsent = client.has_unsent();
        loop {
            if client.sent == client.out.len() && !client.refill() {
                return self.close_socket(id); // the file is shorter than the announced length
            }
            if client.sent == client.out.len() {
                break;
            }
            match client.io.write(&client.out[client.sent..]) {
                Ok(0) => return self.close_socket(id),
                Ok(n) => client.sent += n,
                Err(err) if would_block(&err) => break,
                Err(_) => return self.close_socket(id),
            }
            if matches!(client.state, ClientState::Head) {
                client.expires_at = by;
            }
        }
        let flushed = client.sent == client.out.len();
        if flushed {
            client.out.clear();
            client.sent = 0;
            // Idle connections must not keep the memory of a large response.
            if client.out.capacity() > READ_SIZE {
                client.out.shrink_to(0);
            }
        }
        let over = flushed && client.close && matches!(client.state, ClientState::Head);
        // Once per response: the time limit for the next head starts here and must not be extended.
        let answered = had_unsent && flushed && matches!(client.state, ClientState::Head);
        let mut flags = epoll::EventFlags::RDHUP;
        if client.buf.len() < http::MAX_HEAD || matches!(client.state, ClientState::Body(_)) {
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
        self.set_interest(id, flags);
    }

    /// After the last response, waits for the peer to read it: closing with unread input would reset the
    /// connection.
    fn linger(&mut self, id: Id) {
        let (now, at_limit) = (self.now, self.lingering >= MAX_LINGERING);
        let Some(client) = self.client(id) else { return };
        if at_limit || client.io.shutdown(Shutdown::Write).is_err() {
            return self.close_socket(id);
        }
        client.state = ClientState::Lingering;
        client.buf = Vec::new();
        client.expires_at = now + LINGER;
        self.clients -= 1;
        self.lingering += 1;
        self.set_interest(id, epoll::EventFlags::IN | epoll::EventFlags::RDHUP);
    }

    /// Starts a call. Its end is reported as an event, also if the call could not be started.
    pub fn call(&mut self, events: &mut Vec<Event>, call: Call) -> Id {
        while let Some(id) = self.pools.get_mut(&call.to).and_then(Vec::pop) {
            let Some(server) = self.server(id) else { continue };
            server.out.extend_from_slice(call.request);
            (server.sent, server.stream, server.head_only) = (0, call.stream, call.head_only);
            server.state = CallState::Head;
            server.expires_at = Ns::MAX;
            self.calls += 1;
            self.flush_server(events, id);
            return id;
        }
        match self.connect(&call) {
            Ok(id) => id,
            Err(_) => {
                // An id that no socket has; the event is the only trace of the call.
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
        let io = start_connect(&call.to)?;
        let server = Server {
            io,
            to: call.to,
            buf: Vec::new(),
            out: call.request.to_vec(),
            sent: 0,
            state: CallState::Connecting,
            expires_at: self.now + call.connect_within,
            stream: call.stream,
            head_only: call.head_only,
        };
        self.timers.set(server.expires_at, INTERNAL_TAG);
        let id = self.add(Socket::Server(server), epoll::EventFlags::OUT | epoll::EventFlags::RDHUP)?;
        self.calls += 1;
        Ok(id)
    }

    /// Cancels a call: closes its connection; no event follows.
    pub fn cancel(&mut self, call: Id) {
        if self.server(call).is_some_and(|s| !matches!(s.state, CallState::Idle)) {
            self.close_socket(call);
        }
    }

    fn flush_server(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(server) = self.server(id) else { return };
        while server.sent < server.out.len() {
            match server.io.write(&server.out[server.sent..]) {
                Ok(n) if n > 0 => server.sent += n,
                Err(err) if would_block(&err) => break,
                _ => return self.call_failed(events, id, "closed while the request was sent"),
            }
        }
        let mut flags = epoll::EventFlags::IN | epoll::EventFlags::RDHUP;
        if server.sent < server.out.len() {
            flags |= epoll::EventFlags::OUT;
        }
        self.set_interest(id, flags);
    }

    /// Ends a call whose connection has closed or sent a malformed response.
    fn call_failed(&mut self, events: &mut Vec<Event>, id: Id, why: &'static str) {
        let Some(server) = self.server(id) else { return };
        let end = match server.state {
            CallState::Idle => None,
            CallState::Connecting => Some(CallEnd::Unreachable),
            _ if server.sent == 0 => Some(CallEnd::Unsent),
            _ => Some(CallEnd::Broken(why)),
        };
        self.close_socket(id);
        if let Some(end) = end {
            events.push(Event::CallEnded { call: id, end });
        }
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
        let wait = rustix::event::Timespec { tv_sec: wait / SEC, tv_nsec: wait % SEC };
        let mut space = [const { std::mem::MaybeUninit::<epoll::Event>::uninit() }; MAX_EVENTS_PER_TURN];
        let ready: &[epoll::Event] = match epoll::wait(&self.poll, &mut space[..], Some(&wait)) {
            Ok((ready, _)) => ready,
            Err(Errno::INTR) => &[],
            Err(err) => return Err(err.into()),
        };
        self.now = self.clock();
        let readable = ready.iter().filter(|event| event.flags.contains(epoll::EventFlags::IN)).count();
        self.read_size = (self.max_read_per_turn / readable.max(1)).clamp(MIN_READ_SIZE, READ_SIZE);
        for event in ready {
            self.ready(events, event.data.u64(), event.flags);
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
            Socket::Streams(_) => self.accept_streams(events, id),
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

    fn accept(&mut self, id: Id) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(Slot { socket: Socket::Listener(listener), .. }) = self.get(id) else { return };
            match listener.accept() {
                Ok((io, _)) => self.add_client(io),
                Err(err) if matches!(Errno::from_io_error(&err), Some(Errno::MFILE | Errno::NFILE)) => {
                    // Out of descriptors: refuses one connection with the reserved descriptor and continues
                    // later.
                    self.spare_fd = None;
                    if let Some(Slot { socket: Socket::Listener(listener), .. }) = self.get(id) {
                        if let Ok((mut io, _)) = listener.accept() {
                            let _ = io.set_nonblocking(true);
                            let _ = io.write(&self.full_response);
                        }
                    }
                    self.refused += 1;
                    self.spare_fd = open_spare_fd();
                    return;
                }
                Err(_) => return,
            }
        }
    }

    fn add_client(&mut self, io: TcpStream) {
        if io.set_nonblocking(true).is_err() {
            return;
        }
        let _ = io.set_nodelay(true);
        let full = self.clients >= self.max_clients;
        let client = Client {
            io,
            buf: Vec::new(),
            out: if full { self.full_response.clone() } else { Vec::new() },
            sent: 0,
            state: ClientState::Head,
            file: None,
            expires_at: self.now + CLIENT_IDLE,
            close: full,
        };
        self.refused += u64::from(full);
        self.clients += 1;
        match self.add(Socket::Client(client), epoll::EventFlags::IN | epoll::EventFlags::RDHUP) {
            Ok(id) if full => self.flush_client(id),
            Ok(_) => {}
            Err(_) => self.clients -= 1,
        }
    }

    fn client_ready(&mut self, events: &mut Vec<Event>, id: Id, flags: epoll::EventFlags) {
        if flags.contains(epoll::EventFlags::OUT) {
            self.flush_client(id);
        }
        let by = self.now + self.head_timeout;
        let mut read_buf = std::mem::take(&mut self.read_buf);
        let Some(client) = self.client(id) else {
            self.read_buf = read_buf;
            return;
        };
        let hung_up = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
        let reads = flags.intersects(epoll::EventFlags::IN | epoll::EventFlags::RDHUP);
        let read = if reads || hung_up { client.io.read(&mut read_buf) } else { Ok(usize::MAX) };
        match read {
            Ok(usize::MAX) => {}
            Ok(0) => self.client_hung_up(events, id),
            Ok(n) => {
                if !matches!(client.state, ClientState::Lingering | ClientState::Streaming) {
                    let fresh = client.buf.is_empty();
                    client.buf.extend_from_slice(&read_buf[..n]);
                    if matches!(client.state, ClientState::Head) && fresh {
                        client.expires_at = by;
                    }
                    self.parse(events, id);
                }
            }
            Err(err) if would_block(&err) => {}
            Err(_) => self.client_hung_up(events, id),
        }
        self.read_buf = read_buf;
    }

    fn client_hung_up(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(client) = self.client(id) else { return };
        if matches!(client.state, ClientState::AwaitingAnswer { .. } | ClientState::Streaming) {
            events.push(Event::ClientClosed { conn: id });
        } else if client.file.is_none() && client.sent < client.out.len() && !client.close {
            // Half-closed with unsent output: the response is finished first.
            client.close = true;
            return self.set_interest(id, epoll::EventFlags::OUT);
        }
        self.close_socket(id);
    }

    /// Parses requests from the buffer one at a time: the next one waits until this one is answered.
    fn parse(&mut self, events: &mut Vec<Event>, id: Id) {
        let by = self.now + self.body_timeout;
        let Some(client) = self.client(id) else { return };
        let step: Result<(), Refusal> = (|| {
            if let ClientState::Head = client.state {
                if client.close || client.buf.is_empty() || client.has_unsent() {
                    return Ok(());
                }
                let Some(head) = http::request_head(&client.buf)? else { return Ok(()) };
                client.buf.drain(..head.len);
                if head.expects_continue && head.framing != Framing::Length(0) && client.buf.is_empty() {
                    client.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                client.expires_at = by;
                client.state =
                    ClientState::Body(Box::new((head.message, Body::new(head.framing, http::MAX_BODY))));
            }
            if let ClientState::Body(state) = &mut client.state {
                let (request, body) = &mut **state;
                let used = body.decode(&client.buf, &mut request.body)?;
                client.buf.drain(..used);
                if body.done() {
                    let request = std::mem::take(request);
                    client.state = ClientState::AwaitingAnswer {
                        keep_alive: request.keep_alive,
                        head_only: request.head_only,
                    };
                    client.expires_at = Ns::MAX;
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
                    self.set_interest(id, epoll::EventFlags::RDHUP);
                }
            }
            Err(refusal) => self.reject(id, refusal),
        }
    }

    fn reject(&mut self, id: Id, refusal: Refusal) {
        if let Some(client) = self.client(id) {
            client.close = true;
            client.state = ClientState::Head;
            let headers = [("Rockpick-Answer", "not-taken"), ("Content-Type", "text/plain")];
            let body = format!("{}\n", refusal.why);
            http::write_response(
                &mut client.out,
                refusal.status.max(400),
                &headers,
                Some(body.as_bytes()),
                false,
                false,
            );
            self.flush_client(id);
        }
    }

    /// After a response: parses pipelined requests that wait in the buffer.
    fn resume(&mut self, events: &mut Vec<Event>, conn: Id) {
        let (now, head) = (self.now, self.head_timeout);
        // Only after the last byte of the response is sent: otherwise a client that sends and never reads
        // would fill the memory with responses and count as idle.
        if let Some(client) =
            self.client(conn).filter(|c| matches!(c.state, ClientState::Head) && !c.has_unsent())
        {
            client.expires_at = now + if client.buf.is_empty() { CLIENT_IDLE } else { head };
            if !client.buf.is_empty() {
                self.parse(events, conn);
                self.flush_client(conn);
            }
        }
    }

    fn call_ready(&mut self, events: &mut Vec<Event>, id: Id, flags: epoll::EventFlags) {
        let Some(server) = self.server(id) else { return };
        if matches!(server.state, CallState::Connecting) {
            let failed = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
            if failed || server.io.take_error().ok().flatten().is_some() {
                return self.call_failed(events, id, "");
            }
            if flags.contains(epoll::EventFlags::OUT) {
                server.state = CallState::Head;
                server.expires_at = Ns::MAX;
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
        let mut read_buf = std::mem::take(&mut self.read_buf);
        let read_size = self.read_size;
        if let Some(server) = self.server(id) {
            match server.io.read(&mut read_buf[..read_size]) {
                Ok(0) => self.call_closed(events, id),
                Ok(n) => {
                    server.buf.extend_from_slice(&read_buf[..n]);
                    self.parse_response(events, id);
                }
                Err(err) if would_block(&err) => {}
                Err(_) => self.call_failed(events, id, "reset"),
            }
        }
        self.read_buf = read_buf;
    }

    /// The server has closed the connection: this completes responses without a length and breaks all others.
    fn call_closed(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(server) = self.server(id) else { return };
        if let CallState::Body(state) = &mut server.state {
            if state.1.ends_at_close() && !server.stream {
                let response = std::mem::take(&mut state.0);
                self.close_socket(id);
                return events.push(Event::CallEnded { call: id, end: CallEnd::Answer(response) });
            }
            return self.call_failed(events, id, CLOSED_MIDWAY);
        }
        self.call_failed(events, id, "closed without an answer");
    }

    fn parse_response(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(server) = self.server(id) else { return };
        if matches!(server.state, CallState::Idle) {
            self.unexpected_data += 1;
            return self.close_socket(id);
        }
        let most = if server.stream { usize::MAX } else { http::MAX_BODY };
        let step: Result<bool, Refusal> = (|| loop {
            match &mut server.state {
                CallState::Head => {
                    let Some(head) = http::response_head(&server.buf)? else { return Ok(false) };
                    server.buf.drain(..head.len);
                    if head.message.status == 101 {
                        return Err(Refusal { status: 0, why: "another protocol" });
                    }
                    if head.message.status >= 200 {
                        let framing = if server.head_only { Framing::Length(0) } else { head.framing };
                        server.state = CallState::Body(Box::new((head.message, Body::new(framing, most))));
                    }
                }
                CallState::Body(state) => {
                    let used = state.1.decode(&server.buf, &mut state.0.body)?;
                    server.buf.drain(..used);
                    return Ok(state.1.done());
                }
                CallState::Connecting | CallState::Idle => return Ok(false),
            }
        })();
        let done = match step {
            Err(refusal) => return self.call_failed(events, id, refusal.why),
            Ok(done) => done,
        };
        let Some(server) = self.server(id) else { return };
        let CallState::Body(state) = &mut server.state else { return };
        if server.stream && !state.0.body.is_empty() {
            let bytes = std::mem::take(&mut state.0.body);
            events.push(Event::CallData { call: id, status: state.0.status, bytes });
        }
        if done {
            let response = std::mem::take(&mut state.0);
            // A connection with data beyond the response, or with a response before the whole request was
            // sent, is not reused.
            let unexpected = !server.buf.is_empty();
            let keep_alive = response.keep_alive && server.buf.is_empty() && server.sent == server.out.len();
            self.unexpected_data += u64::from(unexpected);
            self.return_to_pool(id, keep_alive);
            events.push(Event::CallEnded { call: id, end: CallEnd::Answer(response) });
        }
    }

    /// Returns a connection to the pool for its address, or closes it.
    fn return_to_pool(&mut self, id: Id, keep_alive: bool) {
        let now = self.now;
        let Some(server) = self.server(id) else { return };
        let to = server.to;
        let kept = self.pools.get(&to).map_or(0, Vec::len);
        if !keep_alive || kept >= MAX_IDLE {
            return self.close_socket(id);
        }
        // The next call must have another id.
        self.generation = self.generation.wrapping_add(1);
        let generation = self.generation;
        let index = (id & 0xffff_ffff) as usize;
        let fresh = u64::from(generation) << 32 | index as u64;
        let Some(slot) = self.sockets.get_mut(index) else { return };
        slot.generation = generation;
        if let Socket::Server(server) = &mut slot.socket {
            server.state = CallState::Idle;
            server.out.clear();
            server.expires_at = now + POOL_IDLE;
        }
        self.calls -= 1;
        self.pools.entry(to).or_default().push(fresh);
    }

    /// Closes the pooled connections to an address.
    pub fn close_idle(&mut self, to: SocketAddr) {
        for id in self.pools.get(&to).cloned().unwrap_or_default() {
            self.close_socket(id);
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
