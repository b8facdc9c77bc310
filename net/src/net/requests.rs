//! Requests of HTTP clients and the responses to them.
use super::{open_spare_fd, would_block, Client, ClientState, Event, Id, Net, Slot, Socket};
use super::{
    CLIENT_IDLE, LINGER, MAX_ACCEPTS_PER_TURN, MAX_BACKLOG, MAX_LINGERING, MAX_REQUEST_BYTES, READ_SIZE,
    REQUEST_ALLOWANCE,
};
use crate::http::{self, Body, Framing, Refusal};
use crate::socket_calls::{self, accept_may_succeed};
use crate::Ns;
use rustix::event::epoll;
use rustix::io::Errno;
use std::io::Write;
use std::net::{Shutdown, TcpStream};

impl Net {
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

    pub(super) fn flush_client(&mut self, id: Id) {
        self.count_request_memory(id);
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
            match socket_calls::write(&client.io, &client.out[client.sent..]) {
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
    pub(super) fn linger(&mut self, id: Id) {
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

    pub(super) fn accept(&mut self, id: Id) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(Slot { socket: Socket::Listener(listener), .. }) = self.get(id) else { return };
            match socket_calls::accept(listener) {
                Ok((io, _)) => self.add_client(io),
                Err(err) if accept_may_succeed(&err) => {}
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

    pub(super) fn add_client(&mut self, io: TcpStream) {
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
            request_bytes: 0,
            counted: 0,
        };
        self.refused += u64::from(full);
        self.clients += 1;
        match self.add(Socket::Client(client), epoll::EventFlags::IN | epoll::EventFlags::RDHUP) {
            Ok(id) if full => self.flush_client(id),
            Ok(_) => {}
            Err(_) => self.clients -= 1,
        }
    }

    pub(super) fn client_ready(&mut self, events: &mut Vec<Event>, id: Id, flags: epoll::EventFlags) {
        if flags.contains(epoll::EventFlags::OUT) {
            self.flush_client(id);
        }
        let hung_up =
            flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR | epoll::EventFlags::RDHUP);
        let awaits_request =
            self.client(id).is_some_and(|c| matches!(c.state, ClientState::Head | ClientState::Body(_)));
        if flags.contains(epoll::EventFlags::IN) && (awaits_request || !hung_up) {
            self.read_client(events, id);
        }
        // What a client that has closed left unread is dropped: nobody waits for its answers.
        if hung_up {
            self.client_hung_up(events, id);
        }
    }

    fn read_client(&mut self, events: &mut Vec<Event>, id: Id) {
        let by = self.now + self.head_timeout;
        let mut read_buf = std::mem::take(&mut self.read_buf);
        let Some(client) = self.client(id) else {
            self.read_buf = read_buf;
            return;
        };
        match socket_calls::read(&client.io, &mut read_buf, false) {
            Ok(0) => self.client_hung_up(events, id),
            Ok(n) => {
                if !matches!(client.state, ClientState::Lingering | ClientState::Streaming) {
                    let fresh = client.buf.is_empty();
                    client.buf.extend_from_slice(&read_buf[..n]);
                    if matches!(client.state, ClientState::Head) && fresh {
                        client.expires_at = by;
                    }
                    self.parse(events, id);
                    self.limit_request_memory(id);
                }
            }
            Err(err) if would_block(&err) => {}
            Err(_) => self.client_hung_up(events, id),
        }
        self.read_buf = read_buf;
    }

    /// Updates the count of memory that requests take after a change of this client's.
    fn count_request_memory(&mut self, id: Id) {
        let mut all = self.request_bytes;
        if let Some(client) = self.client(id) {
            let memory = client.request_memory();
            all = all - client.counted + memory;
            client.counted = memory;
        }
        self.request_bytes = all;
    }

    /// Rejects an incomplete request if the requests of all clients together take too much memory.
    fn limit_request_memory(&mut self, id: Id) {
        self.count_request_memory(id);
        let scarce = self.request_bytes > MAX_REQUEST_BYTES;
        let Some(client) = self.client(id) else { return };
        let incomplete = matches!(client.state, ClientState::Head | ClientState::Body(_)) && !client.close;
        if scarce && incomplete && client.counted > REQUEST_ALLOWANCE {
            client.buf = Vec::new();
            self.refused += 1;
            self.reject(id, Refusal { status: 503, why: "too many large requests" });
        }
    }

    pub(super) fn client_hung_up(&mut self, events: &mut Vec<Event>, id: Id) {
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
    pub(super) fn parse(&mut self, events: &mut Vec<Event>, id: Id) {
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
                    client.request_bytes = request.body.capacity();
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

    pub(super) fn reject(&mut self, id: Id, refusal: Refusal) {
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
    pub(super) fn resume(&mut self, events: &mut Vec<Event>, conn: Id) {
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
}
