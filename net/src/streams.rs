//! Streams of bytes in both directions, for protocols other than HTTP: dialled, or taken by a listener of
//! their own. What crosses them is the caller's; bounds, back-pressure and closing are here.
use crate::net::{connecting, spare, would_block, BoundListener, Event, Id, Net, Sock, Stream};
use crate::net::{ACCEPTS, LINGER, MAX_BACKLOG};
use crate::{Ns, SEC};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Streams open at once unless told otherwise; one more is not dialled, or closed as it comes.
pub const MAX_STREAMS: usize = 1_024;
/// Room that an empty buffer keeps.
const KEPT: usize = 1_024;
/// What a closing stream's peer may still send before it is closed for good: reading on for longer would let it
/// hold the loop, and closing at once would reset the connection and lose the last words on it.
const MOST_DROPPED: usize = 512 * 1_024;
/// Streams that are closing at once, unless told otherwise; one more is closed for good: a flood of them must not hold
/// descriptors.
pub const MAX_CLOSING_STREAMS: usize = 16;
/// What is read of a stream that is refused as it comes: first words, and no flood.
const MOST_READ_OF_REFUSED: usize = 16 * 1_024;
/// Last words on their way to a slow reader are waited for so long: after it few clients still wait for an answer.
const LAST_WORDS: Ns = 3 * SEC;

impl Net {
    /// Listens for streams; each that comes is told as [`Event::StreamOpened`].
    ///
    /// # Errors
    /// An address that can't be had.
    pub fn listen_streams(&mut self, at: SocketAddr) -> io::Result<(Id, SocketAddr)> {
        let bound = BoundListener::bind(at)?;
        let taken = bound.at;
        Ok((self.listen_streams_on(bound)?, taken))
    }

    /// Listens for streams on an address that was taken before.
    ///
    /// # Errors
    /// A socket that can't listen, or be waited for.
    pub fn listen_streams_on(&mut self, bound: BoundListener) -> io::Result<Id> {
        self.add(Sock::Streams(bound.listen()?), EventFlags::IN)
    }

    /// Dials; [`Event::StreamOpened`] tells that it is there, [`Event::StreamClosed`] that it is not within the time given.
    ///
    /// # Errors
    /// Too many streams, no descriptor, an address that can't be reached at all.
    pub fn dial(&mut self, to: SocketAddr, within: Ns) -> io::Result<Id> {
        if self.streams >= self.max_streams {
            return Err(ErrorKind::OutOfMemory.into());
        }
        let io = connecting(&to)?;
        let until = self.now() + within;
        let stream = Stream::new(io, false, until);
        let id = self.add(Sock::Stream(stream), EventFlags::OUT | EventFlags::RDHUP)?;
        self.streams += 1;
        self.wake_inner(until);
        Ok(id)
    }

    /// Sends on a stream; false, and closed without an event, if its peer takes too little.
    pub fn send(&mut self, conn: Id, bytes: &[u8]) -> bool {
        let Some(stream) = self.stream_of(conn) else { return false };
        if stream.out.len() - stream.sent + bytes.len() > MAX_BACKLOG {
            self.drop_sock(conn);
            return false;
        }
        stream.out.extend_from_slice(bytes);
        if stream.up && self.flush_stream(conn).is_err() {
            self.drop_sock(conn);
            return false;
        }
        true
    }

    /// Bytes that wait to be sent on a stream; none: it is gone.
    pub fn backlog(&mut self, conn: Id) -> Option<usize> {
        self.stream_of(conn).map(|s| s.out.len() - s.sent)
    }

    /// Streams open now.
    pub fn streams(&self) -> usize {
        self.streams
    }

    /// Reads no more of a stream, or reads on: its caller has as much as it keeps. One whose peer closes while it is paused
    /// is gone, with what was not read.
    pub fn pause(&mut self, conn: Id, paused: bool) {
        if let Some(stream) = self.stream_of(conn) {
            stream.paused = paused;
            self.want_stream(conn);
        }
    }

    /// Closes a stream once all is sent and its peer has closed too, or after a bound of time and bytes; no
    /// event follows.
    pub fn close_gracefully(&mut self, conn: Id) {
        let (now, many) = (self.now(), self.closing >= self.max_closing);
        let Some(stream) = self.stream_of(conn) else { return };
        let (again, over) = (stream.closing, stream.sent == stream.out.len());
        if many && !again {
            // One whose words are all out gives way to one that still has some to say.
            let spare = if over { conn } else { self.said_all().unwrap_or(conn) };
            self.drop_sock(spare);
        }
        let Some(stream) = self.stream_of(conn) else { return };
        let until = now + if over { LINGER } else { LAST_WORDS };
        (stream.closing, stream.paused, stream.until) = (true, false, until);
        let shut = !over || stream.io.shutdown(Shutdown::Write).is_ok();
        self.closing += usize::from(!again);
        if !shut {
            return self.drop_sock(conn);
        }
        self.wake_inner(until);
        self.want_stream(conn);
    }

    fn ids_closing(&self, said_all: bool) -> impl Iterator<Item = Id> + '_ {
        self.ids_of(move |sock| match sock {
            Sock::Stream(s) => s.closing && (s.sent == s.out.len()) == said_all,
            _ => false,
        })
    }

    /// A closing stream all of whose words are out.
    fn said_all(&self) -> Option<Id> {
        self.ids_closing(true).next()
    }

    /// Closing streams whose last words are not all out.
    pub fn unflushed_closing(&self) -> usize {
        self.ids_closing(false).count()
    }

    /// Has something come on a stream that was not read, and will be in the next turn?
    pub fn has_unread(&mut self, conn: Id) -> bool {
        self.stream_of(conn).is_some_and(|s| s.up && !s.paused) && !self.nothing_unread(conn)
    }

    /// Is a stream open, with nothing come that was not read?
    pub fn nothing_unread(&mut self, conn: Id) -> bool {
        let Some(stream) = self.stream_of(conn) else { return false };
        stream.up && matches!(stream.io.peek(&mut [0]), Err(err) if would_block(&err))
    }

    pub(crate) fn stream_of(&mut self, id: Id) -> Option<&mut Stream> {
        match &mut self.get(id)?.sock {
            Sock::Stream(s) => Some(s),
            _ => None,
        }
    }

    fn flush_stream(&mut self, id: Id) -> io::Result<()> {
        let Some(stream) = self.stream_of(id) else { return Ok(()) };
        while stream.sent < stream.out.len() {
            match stream.io.write(&stream.out[stream.sent..]) {
                Ok(n) if n > 0 => stream.sent += n,
                Err(err) if would_block(&err) => break,
                Ok(_) => return Err(ErrorKind::WriteZero.into()),
                Err(err) => return Err(err),
            }
        }
        if stream.sent == stream.out.len() {
            stream.out.clear();
            stream.out.shrink_to(KEPT);
            stream.sent = 0;
        }
        self.want_stream(id);
        Ok(())
    }

    fn want_stream(&mut self, id: Id) {
        let Some(stream) = self.stream_of(id).filter(|s| s.up) else { return };
        // That its peer has closed is heard also while nothing is read: what it has sent is nobody's any more.
        let mut flags = EventFlags::RDHUP;
        if !stream.paused {
            flags |= EventFlags::IN;
        }
        if stream.sent < stream.out.len() {
            flags |= EventFlags::OUT;
        }
        self.want(id, flags);
    }

    /// Takes what waits at a listener of streams now, as many as one turn takes.
    pub fn accept_streams(&mut self, events: &mut Vec<Event>, listener: Id) {
        for _ in 0..ACCEPTS {
            let Some(Sock::Streams(l)) = self.get(listener).map(|s| &s.sock) else { return };
            let io = match l.accept() {
                Ok((io, _)) => io,
                Err(err) if matches!(Errno::from_io_error(&err), Some(Errno::MFILE | Errno::NFILE)) => {
                    // Out of descriptors: one is closed in the spare's room, else the listener would wake the loop
                    // for ever.
                    self.spare = None;
                    if let Some(Sock::Streams(l)) = self.get(listener).map(|s| &s.sock) {
                        if let Ok((io, _)) = l.accept() {
                            refuse(io, &self.stream_refusal);
                        }
                    }
                    self.refused += 1;
                    self.spare = spare();
                    return;
                }
                Err(_) => return,
            };
            if self.streams >= self.max_streams || io.set_nonblocking(true).is_err() {
                self.refused += 1;
                refuse(io, &self.stream_refusal);
                continue;
            }
            let _ = io.set_nodelay(true);
            let stream = Stream::new(io, true, Ns::MAX);
            if let Ok(conn) = self.add(Sock::Stream(stream), EventFlags::IN | EventFlags::RDHUP) {
                self.streams += 1;
                events.push(Event::StreamOpened { conn });
            }
        }
    }

    pub(crate) fn stream_ready(&mut self, events: &mut Vec<Event>, id: Id, flags: EventFlags) {
        let Some(stream) = self.stream_of(id) else { return };
        if !stream.up {
            let failed = flags.intersects(EventFlags::ERR | EventFlags::HUP)
                || !matches!(stream.io.take_error(), Ok(None));
            if failed {
                return self.stream_gone(events, id);
            }
            stream.up = true;
            events.push(Event::StreamOpened { conn: id });
        }
        let waited = stream.sent < stream.out.len();
        if self.flush_stream(id).is_err() {
            return self.stream_gone(events, id);
        }
        let Some(stream) = self.stream_of(id) else { return };
        if waited && stream.out.is_empty() {
            if stream.closing {
                return self.close_gracefully(id);
            }
            events.push(Event::StreamFlushed { conn: id });
        }
        let over = flags.intersects(EventFlags::HUP | EventFlags::ERR | EventFlags::RDHUP);
        let Some(stream) = self.stream_of(id) else { return };
        if !over && (stream.paused || !flags.contains(EventFlags::IN)) {
            return;
        }
        if stream.paused {
            // Closed or broken off: it would wake the loop for ever.
            return self.stream_gone(events, id);
        }
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(stream) = self.stream_of(id) {
            match stream.io.read(&mut scratch) {
                Ok(0) => self.stream_gone(events, id),
                Ok(n) if stream.closing => {
                    stream.dropped += n;
                    if stream.dropped > MOST_DROPPED {
                        self.drop_sock(id);
                    }
                }
                Ok(n) => events.push(Event::StreamData { conn: id, bytes: scratch[..n].to_vec() }),
                Err(err) if would_block(&err) => {}
                Err(_) => self.stream_gone(events, id),
            }
        }
        self.scratch = scratch;
    }

    pub(crate) fn stream_gone(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(stream) = self.stream_of(id) else { return };
        let (unsent, closing) = (!stream.up || stream.sent < stream.out.len(), stream.closing);
        self.drop_sock(id);
        if !closing {
            events.push(Event::StreamClosed { conn: id, unsent });
        }
    }
}

/// Closes a stream that finds no room with words that say so. What has come is read first: a close upon unread bytes
/// resets the connection, and the words may be lost.
fn refuse(mut io: TcpStream, words: &[u8]) {
    if io.set_nonblocking(true).is_err() {
        return;
    }
    let mut scratch = [0; 4_096];
    let mut read = 0;
    while read < MOST_READ_OF_REFUSED {
        match io.read(&mut scratch) {
            Ok(n) if n > 0 => read += n,
            _ => break,
        }
    }
    // A peer that takes no words, on a new connection, is gone.
    let _ = io.write(words);
}

impl Stream {
    fn new(io: TcpStream, up: bool, until: Ns) -> Stream {
        Stream { io, out: Vec::new(), sent: 0, up, until, paused: false, closing: false, dropped: 0 }
    }

    /// Dialled and not there in time, or closing for long enough.
    pub(crate) fn late(&self, now: Ns) -> bool {
        (!self.up || self.closing) && self.until <= now
    }
}
