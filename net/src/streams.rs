//! Byte streams for protocols other than HTTP, either dialled or accepted by a listener of their own. Their
//! content is the caller's concern; limits, back-pressure and closing are handled here.
use crate::net::UnsentBytes;
use crate::net::{open_spare_fd, start_connect, would_block, BoundListener, Event, Id, Net, Socket, Stream};
use crate::net::{LINGER, MAX_ACCEPTS_PER_TURN, MAX_BACKLOG};
use crate::socket_calls::{self, accept_may_succeed};
use crate::{Ns, SEC};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Default maximum number of open streams; further ones are neither dialled nor accepted.
pub const MAX_STREAMS: usize = 1_024;
/// Most bytes by which an output buffer grows beyond what it has to hold.
const MAX_BUFFER_GROWTH: usize = 16 * 1_024;
/// Number of bytes that the peer of a closing stream may still send before the stream is closed: reading
/// without a limit would let it occupy the loop, and closing at once would reset the connection and lose the
/// last output.
const MAX_DROPPED_BYTES: usize = 512 * 1_024;
/// Default maximum number of closing streams; a further one is closed at once, so that a flood of them can't
/// use up the descriptors.
pub const MAX_CLOSING_STREAMS: usize = 16;
/// Number of bytes read from a stream that is refused on arrival: enough for a first message, but bounded.
const MAX_READ_FROM_REFUSED: usize = 16 * 1_024;
/// How long a closing stream may take to send its last output; after it few clients still wait for an answer.
const FLUSH_TIMEOUT: Ns = 3 * SEC;

impl Net {
    /// Listens for streams; each accepted one is reported as [`Event::StreamOpened`].
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn listen_streams(&mut self, at: SocketAddr) -> io::Result<(Id, SocketAddr)> {
        let bound = BoundListener::bind(at)?;
        let bound_addr = bound.at;
        Ok((self.listen_streams_on(bound)?, bound_addr))
    }

    /// Listens for streams on an address that was bound before.
    ///
    /// # Errors
    /// The socket can't listen or can't be registered with epoll.
    pub fn listen_streams_on(&mut self, bound: BoundListener) -> io::Result<Id> {
        self.add(Socket::Streams(bound.listen()?), EventFlags::IN)
    }

    /// Opens a connection. [`Event::StreamOpened`] reports success, and [`Event::StreamClosed`] failure
    /// within the given time.
    ///
    /// # Errors
    /// There are too many streams, no descriptors, or the address can't be reached at all.
    pub fn dial(&mut self, to: SocketAddr, within: Ns) -> io::Result<Id> {
        if self.streams >= self.max_streams {
            return Err(ErrorKind::OutOfMemory.into());
        }
        let io = start_connect(&to)?;
        let expires_at = self.now() + within;
        let stream = Stream::new(io, false, expires_at);
        let id = self.add(Socket::Stream(stream), EventFlags::OUT | EventFlags::RDHUP)?;
        self.streams += 1;
        self.set_internal_timer(expires_at);
        Ok(id)
    }

    /// Sends on a stream. Returns false if the stream is closed. One whose peer reads too slowly, or whose output
    /// would exceed [`Net::max_unsent_dialled`], is closed without an event; the last byte was not sent then.
    pub fn send(&mut self, conn: Id, bytes: &[u8]) -> bool {
        let Some(stream) = self.stream_of(conn) else { return false };
        if stream.backlog() + bytes.len() > MAX_BACKLOG {
            self.close_socket(conn);
            return false;
        }
        // Without output before it, what the kernel takes goes out at once, and only the rest is stored.
        let written = if stream.connected && stream.backlog() == 0 { stream.write(bytes) } else { Ok(0) };
        let stored = written.is_ok_and(|written| self.store_output(conn, &bytes[written..]));
        if !stored {
            self.close_socket(conn);
        }
        stored
    }

    /// Stores output until the kernel takes it. Returns false if there is no room for it.
    fn store_output(&mut self, conn: Id, bytes: &[u8]) -> bool {
        let room = self.max_unsent_dialled.saturating_sub(self.unsent_bytes.dialled);
        let Some(stream) = self.stream_of(conn) else { return false };
        if bytes.is_empty() {
            return true;
        }
        if !stream.accepted && bytes.len() > room {
            return false;
        }
        stream.push_output(bytes);
        self.count_output(conn);
        self.update_stream_interest(conn);
        true
    }

    /// Updates the count of unsent bytes after a change of a stream's output.
    fn count_output(&mut self, conn: Id) {
        let mut unsent_bytes = self.unsent_bytes;
        if let Some(stream) = self.stream_of(conn) {
            unsent_bytes.count(stream);
        }
        self.unsent_bytes = unsent_bytes;
    }

    /// Memory taken by the unsent output of all streams.
    pub fn unsent_bytes(&self) -> UnsentBytes {
        self.unsent_bytes
    }

    /// Number of bytes waiting to be sent on a stream, or `None` if it is closed.
    pub fn backlog(&mut self, conn: Id) -> Option<usize> {
        self.stream_of(conn).map(|s| s.backlog())
    }

    /// Number of open streams.
    pub fn streams(&self) -> usize {
        self.streams
    }

    /// Pauses or resumes reading from a stream. If the peer closes while reading is paused, the stream is
    /// closed and its unread input is lost.
    pub fn pause(&mut self, conn: Id, paused: bool) {
        if let Some(stream) = self.stream_of(conn) {
            stream.paused = paused;
            self.update_stream_interest(conn);
        }
    }

    /// Limits how many bytes one turn reads from a stream; the rest stays unread. At least one byte is read.
    pub fn limit_read(&mut self, conn: Id, bytes: usize) {
        if let Some(stream) = self.stream_of(conn) {
            stream.read_limit = bytes.max(1);
        }
    }

    /// Closes a stream once all output is sent and its peer has closed too, or after a limit of time and
    /// bytes; further input is read and dropped, and no event follows.
    pub fn close_gracefully(&mut self, conn: Id) {
        self.pause(conn, false);
        self.limit_read(conn, usize::MAX);
        self.close_after_output(conn);
    }

    /// The same, but further input stays unread.
    pub fn close_without_reading(&mut self, conn: Id) {
        self.pause(conn, true);
        self.close_after_output(conn);
    }

    fn close_after_output(&mut self, conn: Id) {
        let (now, at_limit) = (self.now(), self.closing >= self.max_closing);
        let Some(stream) = self.stream_of(conn) else { return };
        let (already_closing, flushed) = (stream.closing, stream.sent == stream.out.len());
        if at_limit && !already_closing {
            // Closes a stream without pending output, if there is one, in favour of one that still has some.
            let victim = if flushed { conn } else { self.flushed_closing().unwrap_or(conn) };
            self.close_socket(victim);
        }
        let Some(stream) = self.stream_of(conn) else { return };
        let expires_at = now + if flushed { LINGER } else { FLUSH_TIMEOUT };
        (stream.closing, stream.expires_at) = (true, expires_at);
        let shut = !flushed || stream.io.shutdown(Shutdown::Write).is_ok();
        self.closing += usize::from(!already_closing);
        if !shut {
            return self.close_socket(conn);
        }
        self.set_internal_timer(expires_at);
        self.update_stream_interest(conn);
    }

    fn ids_closing(&self, flushed: bool) -> impl Iterator<Item = Id> + '_ {
        self.ids_of(move |socket| match socket {
            Socket::Stream(s) => s.closing && (s.sent == s.out.len()) == flushed,
            _ => false,
        })
    }

    /// A closing stream without pending output.
    fn flushed_closing(&self) -> Option<Id> {
        self.ids_closing(true).next()
    }

    /// Number of closing streams with pending output.
    pub fn unflushed_closing(&self) -> usize {
        self.ids_closing(false).count()
    }

    /// Whether a stream has unread input that the next turn will read.
    pub fn has_unread(&mut self, conn: Id) -> bool {
        self.stream_of(conn).is_some_and(|s| s.connected && !s.paused) && !self.nothing_unread(conn)
    }

    /// Whether a stream is open and has no unread input.
    pub fn nothing_unread(&mut self, conn: Id) -> bool {
        let Some(stream) = self.stream_of(conn) else { return false };
        // An interrupted call tells nothing.
        stream.connected
            && matches!(stream.io.peek(&mut [0]), Err(err) if err.kind() == ErrorKind::WouldBlock)
    }

    pub(crate) fn stream_of(&mut self, id: Id) -> Option<&mut Stream> {
        match &mut self.get(id)?.socket {
            Socket::Stream(s) => Some(s),
            _ => None,
        }
    }

    fn flush_stream(&mut self, id: Id) -> io::Result<()> {
        let Some(stream) = self.stream_of(id) else { return Ok(()) };
        if !stream.out.is_empty() {
            stream.flush()?;
            self.count_output(id);
        }
        self.update_stream_interest(id);
        Ok(())
    }

    fn update_stream_interest(&mut self, id: Id) {
        let Some(stream) = self.stream_of(id).filter(|s| s.connected) else { return };
        // A close by the peer is reported also while reading is paused, since unread input is then worthless.
        let mut flags = EventFlags::RDHUP;
        if !stream.paused {
            flags |= EventFlags::IN;
        }
        if stream.sent < stream.out.len() {
            flags |= EventFlags::OUT;
        }
        self.set_interest(id, flags);
    }

    /// Accepts the connections that wait at a listener for streams, at most as many as one turn allows. Returns whether
    /// more may wait, also because the system could not accept one at the moment.
    pub fn accept_streams(&mut self, events: &mut Vec<Event>, listener: Id) -> bool {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(Socket::Streams(l)) = self.get(listener).map(|s| &s.socket) else { return false };
            let io = match socket_calls::accept(l) {
                Ok((io, _)) => io,
                Err(err) if accept_may_succeed(&err) => continue,
                Err(err) if matches!(Errno::from_io_error(&err), Some(Errno::MFILE | Errno::NFILE)) => {
                    // Out of descriptors: refuses one connection with the reserved descriptor; otherwise the
                    // listener would wake the loop continuously.
                    self.spare_fd = None;
                    if let Some(Socket::Streams(l)) = self.get(listener).map(|s| &s.socket) {
                        if let Ok((io, _)) = l.accept() {
                            refuse(io, &self.stream_refusal);
                        }
                    }
                    self.refused += 1;
                    self.spare_fd = open_spare_fd();
                    return true;
                }
                Err(err) => return err.kind() != ErrorKind::WouldBlock,
            };
            if self.streams >= self.max_streams || io.set_nonblocking(true).is_err() {
                self.refused += 1;
                refuse(io, &self.stream_refusal);
                continue;
            }
            let _ = io.set_nodelay(true);
            let mut stream = Stream::new(io, true, Ns::MAX);
            stream.read_limit = self.accepted_read_limit.max(1);
            if let Ok(conn) = self.add(Socket::Stream(stream), EventFlags::IN | EventFlags::RDHUP) {
                self.streams += 1;
                events.push(Event::StreamOpened { conn });
            }
        }
        true
    }

    pub(crate) fn stream_ready(&mut self, events: &mut Vec<Event>, id: Id, flags: EventFlags) {
        let Some(stream) = self.stream_of(id) else { return };
        if !stream.connected {
            let failed = flags.intersects(EventFlags::ERR | EventFlags::HUP)
                || !matches!(stream.io.take_error(), Ok(None));
            if failed {
                return self.stream_closed(events, id);
            }
            stream.connected = true;
            events.push(Event::StreamOpened { conn: id });
        }
        let had_backlog = stream.sent < stream.out.len();
        if self.flush_stream(id).is_err() {
            return self.stream_closed(events, id);
        }
        let Some(stream) = self.stream_of(id) else { return };
        if had_backlog && stream.out.is_empty() {
            if stream.closing {
                return self.close_after_output(id);
            }
            events.push(Event::StreamFlushed { conn: id });
        }
        let hung_up = flags.intersects(EventFlags::HUP | EventFlags::ERR | EventFlags::RDHUP);
        let Some(stream) = self.stream_of(id) else { return };
        if !hung_up && (stream.paused || !flags.contains(EventFlags::IN)) {
            return;
        }
        // A client that has closed waits for no answer, so what it left unread is dropped. A stream that is not read, and was
        // closed or reset by its peer, would wake the loop continuously.
        if stream.paused || stream.accepted && hung_up && !stream.closing {
            return self.stream_closed(events, id);
        }
        let mut read_buf = std::mem::take(&mut self.read_buf);
        let read_size = self.read_size;
        if let Some(stream) = self.stream_of(id) {
            let limit = stream.read_limit.min(read_size);
            match socket_calls::read(&stream.io, &mut read_buf[..limit], !stream.accepted) {
                Ok(0) => self.stream_closed(events, id),
                Ok(n) if stream.closing => {
                    stream.dropped += n;
                    if stream.dropped > MAX_DROPPED_BYTES {
                        self.close_socket(id);
                    }
                }
                Ok(n) => events.push(Event::StreamData { conn: id, bytes: read_buf[..n].to_vec() }),
                Err(err) if would_block(&err) => {}
                Err(_) => self.stream_closed(events, id),
            }
        }
        self.read_buf = read_buf;
    }

    pub(crate) fn stream_closed(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(stream) = self.stream_of(id) else { return };
        let (unsent, closing) = (!stream.connected || stream.sent < stream.out.len(), stream.closing);
        self.close_socket(id);
        if !closing {
            events.push(Event::StreamClosed { conn: id, unsent });
        }
    }
}

/// Refuses a stream over the limit with a message. Received input is read first: a close with unread input
/// resets the connection, and the message might be lost.
fn refuse(mut io: TcpStream, message: &[u8]) {
    if io.set_nonblocking(true).is_err() {
        return;
    }
    let mut read_buf = [0; 4_096];
    let mut read = 0;
    while read < MAX_READ_FROM_REFUSED {
        match io.read(&mut read_buf) {
            Ok(n) if n > 0 => read += n,
            _ => break,
        }
    }
    // A write that fails on a new connection means that the peer has disconnected.
    let _ = io.write(message);
}

impl Stream {
    fn new(io: TcpStream, connected: bool, expires_at: Ns) -> Stream {
        Stream {
            io,
            out: Vec::new(),
            sent: 0,
            connected,
            expires_at,
            paused: false,
            read_limit: usize::MAX,
            closing: false,
            dropped: 0,
            accepted: connected,
            counted: 0,
        }
    }

    /// Number of bytes waiting to be sent.
    fn backlog(&self) -> usize {
        self.out.len() - self.sent
    }

    /// Writes what the kernel takes, and returns how much that was.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        while written < bytes.len() {
            match socket_calls::write(&self.io, &bytes[written..]) {
                Ok(n) if n > 0 => written += n,
                Err(err) if would_block(&err) => break,
                Ok(_) => return Err(ErrorKind::WriteZero.into()),
                Err(err) => return Err(err),
            }
        }
        Ok(written)
    }

    /// Writes what the kernel takes of the stored output.
    fn flush(&mut self) -> io::Result<()> {
        let out = std::mem::take(&mut self.out);
        let result = self.write(&out[self.sent..]);
        self.out = out;
        self.sent += result?;
        if self.sent == self.out.len() {
            (self.out, self.sent) = (Vec::new(), 0);
        }
        Ok(())
    }

    /// Appends output. The buffer takes little more memory than its unsent bytes.
    fn push_output(&mut self, bytes: &[u8]) {
        self.out.drain(..self.sent);
        self.sent = 0;
        let missing = (self.out.len() + bytes.len()).saturating_sub(self.out.capacity());
        if missing > 0 {
            self.out.reserve_exact(bytes.len() + self.out.len().min(MAX_BUFFER_GROWTH));
        }
        self.out.extend_from_slice(bytes);
    }

    /// Whether connecting or closing has exceeded its time limit.
    pub(crate) fn timed_out(&self, now: Ns) -> bool {
        (!self.connected || self.closing) && self.expires_at <= now
    }
}

impl UnsentBytes {
    fn total_of(&mut self, stream: &Stream) -> &mut usize {
        match stream.accepted {
            true => &mut self.accepted,
            false => &mut self.dialled,
        }
    }

    fn count(&mut self, stream: &mut Stream) {
        let memory = stream.out.capacity();
        let total = self.total_of(stream);
        *total = *total + memory - stream.counted;
        stream.counted = memory;
    }

    /// Takes a stream that is closed out of the count.
    pub(crate) fn uncount(&mut self, stream: &Stream) {
        *self.total_of(stream) -= stream.counted;
    }
}
