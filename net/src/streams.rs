//! Streams of bytes in both directions, for protocols other than HTTP: dialled, or taken by a listener of
//! their own. What crosses them is the caller's; bounds and closing are here.
use crate::net::{bind, connecting, would_block, Event, Id, Net, Sock, Stream, MAX_BACKLOG, READ};
use crate::Ns;
use rustix::event::epoll::EventFlags;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

/// Streams open at once; one more is not dialled, or closed as it comes.
pub const MAX_STREAMS: usize = 1_024;

impl Net {
    /// Listens for streams; each that comes is told as [`Event::Came`].
    ///
    /// # Errors
    /// An address that can't be had.
    pub fn listen_streams(&mut self, at: SocketAddr) -> io::Result<(Id, SocketAddr)> {
        let (listener, taken) = bind(at)?;
        Ok((self.add(Sock::Streams(listener), EventFlags::IN)?, taken))
    }

    /// Dials; [`Event::Came`] tells that it is there, [`Event::Gone`] that it is not within the time given.
    ///
    /// # Errors
    /// Too many streams, no descriptor, an address that can't be reached at all.
    pub fn dial(&mut self, to: SocketAddr, within: Ns) -> io::Result<Id> {
        if self.streams >= MAX_STREAMS {
            return Err(ErrorKind::OutOfMemory.into());
        }
        let io = connecting(&to)?;
        let until = self.now() + within;
        let stream = Stream { io, out: Vec::new(), sent: 0, up: false, until };
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
        let mut flags = EventFlags::IN | EventFlags::RDHUP;
        if stream.sent == stream.out.len() {
            stream.out.clear();
            stream.out.shrink_to(READ);
            stream.sent = 0;
        } else {
            flags |= EventFlags::OUT;
        }
        self.want(id, flags);
        Ok(())
    }

    pub(crate) fn accept_streams(&mut self, events: &mut Vec<Event>, listener: Id) {
        loop {
            let Some(Sock::Streams(l)) = self.get(listener).map(|s| &s.sock) else { return };
            let Ok((io, _)) = l.accept() else { return };
            if self.streams >= MAX_STREAMS || io.set_nonblocking(true).is_err() {
                continue;
            }
            let _ = io.set_nodelay(true);
            let stream = Stream { io, out: Vec::new(), sent: 0, up: true, until: Ns::MAX };
            if let Ok(conn) = self.add(Sock::Stream(stream), EventFlags::IN | EventFlags::RDHUP) {
                self.streams += 1;
                events.push(Event::Came { conn });
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
            events.push(Event::Came { conn: id });
        }
        if self.flush_stream(id).is_err() {
            return self.stream_gone(events, id);
        }
        let Some(stream) = self.stream_of(id) else { return };
        if !flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
            return;
        }
        let mut bytes = vec![0; READ];
        match stream.io.read(&mut bytes) {
            Ok(0) => self.stream_gone(events, id),
            Ok(n) => {
                bytes.truncate(n);
                events.push(Event::Bytes { conn: id, bytes });
            }
            Err(err) if would_block(&err) => {}
            Err(_) => self.stream_gone(events, id),
        }
    }

    pub(crate) fn stream_gone(&mut self, events: &mut Vec<Event>, id: Id) {
        self.drop_sock(id);
        events.push(Event::Gone { conn: id });
    }
}

impl Stream {
    /// Dialled and not there in time.
    pub(crate) fn late(&self, now: Ns) -> bool {
        !self.up && self.until <= now
    }
}
