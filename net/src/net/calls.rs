//! Outgoing HTTP calls, on new or pooled connections.
use super::{start_connect, would_block, Call, CallEnd, CallState, Event, Id, Net, Server, Socket};
use super::{CLOSED_MIDWAY, INTERNAL_TAG, MAX_CALLS, MAX_IDLE, POOL_IDLE};
use crate::http::{self, Body, Framing, Refusal};
use crate::socket_calls;
use crate::Ns;
use rustix::event::epoll;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

impl Net {
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

    pub(super) fn connect(&mut self, call: &Call) -> io::Result<Id> {
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

    pub(super) fn flush_server(&mut self, events: &mut Vec<Event>, id: Id) {
        let Some(server) = self.server(id) else { return };
        while server.sent < server.out.len() {
            match socket_calls::write(&server.io, &server.out[server.sent..]) {
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
    pub(super) fn call_failed(&mut self, events: &mut Vec<Event>, id: Id, why: &'static str) {
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

    pub(super) fn call_ready(&mut self, events: &mut Vec<Event>, id: Id, flags: epoll::EventFlags) {
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
            match socket_calls::read(&server.io, &mut read_buf[..read_size], true) {
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
    pub(super) fn call_closed(&mut self, events: &mut Vec<Event>, id: Id) {
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

    pub(super) fn parse_response(&mut self, events: &mut Vec<Event>, id: Id) {
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
    pub(super) fn return_to_pool(&mut self, id: Id, keep_alive: bool) {
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
}
