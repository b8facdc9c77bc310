//! Clients of a soak test. They send single or pipelined requests, close early, stop in the middle of a request, or connect in
//! crowds, and record their requests and the answers.
use super::checker::{request_id, Answer, ConnectionEnd, Request, StalledClient};
use super::{lock, Clock};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick::Ns;
use rockpick_fakes::scripted::{lookup, save};
use rockpick_net::MS;
use rockpick_pg as pg;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeouts of requests.
const TIMEOUTS_MS: [u32; 5] = [30, 120, 400, 800, 1_200];
/// Clients read this long beyond the timeout, so that late answers are recorded.
const EXTRA_WAIT: Duration = Duration::from_millis(900);
/// How long clients wait for the node to be ready for a query, or for an error instead.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a client that stops in the middle of a request keeps the connection open.
const STALL_TIME: Duration = Duration::from_millis(3_500);
/// The most requests on one connection, and in one write.
const MAX_REQUESTS: u32 = 40;
const MAX_PIPELINED: usize = 5;
/// Between attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);

/// State that all clients share.
pub struct Shared {
    pub clock: Clock,
    /// Of each node the number of its process and its address, while clients should connect to it.
    pub nodes: Mutex<Vec<Option<(usize, SocketAddr)>>>,
    pub requests: Mutex<Vec<Request>>,
    pub stalled_clients: Mutex<Vec<StalledClient>>,
    pub over: AtomicBool,
    next_id: AtomicU64,
}

impl Shared {
    pub fn new(clock: Clock, nodes: usize) -> Arc<Shared> {
        Arc::new(Shared {
            clock,
            nodes: Mutex::new(vec![None; nodes]),
            requests: Mutex::default(),
            stalled_clients: Mutex::default(),
            over: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
        })
    }
}

/// Runs a client that opens one connection after another until the soak test is over.
pub fn run(shared: &Shared, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !shared.over.load(Ordering::SeqCst) {
        if connection(shared, &mut rng, MAX_REQUESTS).is_none() {
            std::thread::sleep(RECONNECT_DELAY);
        }
    }
}

/// Runs a client of a crowd: a single action on a new connection.
pub fn run_once(shared: &Shared, seed: u64) {
    connection(shared, &mut StdRng::seed_from_u64(seed), 1);
}

/// What was received while waiting for an answer.
enum Received {
    Answer(Answer),
    Ready,
    End(ConnectionEnd),
}

struct Connection<'a> {
    shared: &'a Shared,
    io: TcpStream,
    run: usize,
    received: Vec<u8>,
    /// An answer whose final message has not arrived yet.
    partial: Option<Answer>,
    /// The node closed its side while the last requests were being written.
    closed_during_write: bool,
}

fn connection(shared: &Shared, rng: &mut StdRng, requests: u32) -> Option<()> {
    let (run, to) = {
        let nodes = lock(&shared.nodes);
        nodes[rng.random_range(0..nodes.len())]?
    };
    let io = TcpStream::connect(to).ok()?;
    io.set_nodelay(true).ok()?;
    let mut connection =
        Connection { shared, io, run, received: Vec::new(), partial: None, closed_during_write: false };
    let mut startup = Vec::new();
    pg::put_startup(&mut startup, "api", "ledger");
    connection.io.write_all(&startup).ok()?;
    if let Received::Ready = connection.receive(Instant::now() + STARTUP_TIMEOUT) {
        for _ in 0..rng.random_range(1..=requests) {
            connection.act(rng)?;
        }
    }
    Some(())
}

impl Connection<'_> {
    /// Does one random action; none if the connection is over.
    fn act(&mut self, rng: &mut StdRng) -> Option<()> {
        match rng.random_range(0..100) {
            0..78 => self.send_and_wait(rng, 1),
            78..86 => {
                let count = rng.random_range(2..=MAX_PIPELINED);
                self.send_and_wait(rng, count)
            }
            86..90 => self.send_and_close(rng),
            90..92 => self.stall(rng),
            _ => {
                std::thread::sleep(Duration::from_millis(rng.random_range(1..400)));
                Some(())
            }
        }
    }

    fn draw_request(&self, rng: &mut StdRng) -> (Request, String) {
        let id = request_id(self.run, self.shared.next_id.fetch_add(1, Ordering::SeqCst));
        let timeout_ms = TIMEOUTS_MS[rng.random_range(0..TIMEOUTS_MS.len())];
        let at_most_once = rng.random_bool(0.3);
        let statement = if at_most_once { save(id, timeout_ms) } else { lookup(id, timeout_ms) };
        let (answers, end, timeout) = (Vec::new(), None, Ns::from(timeout_ms) * MS);
        (Request { id, run: self.run, at_most_once, sent: 0, due_from: 0, timeout, answers, end }, statement)
    }

    /// Whether the node has closed its side; what it sent before may still be unread.
    fn node_has_closed(&self) -> bool {
        let mut sockets = [PollFd::new(&self.io, PollFlags::RDHUP)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        matches!(poll(&mut sockets, Some(&no_wait)), Ok(1..))
    }

    /// Writes requests; none if the write failed, so that the node took none of them.
    fn send(&mut self, rng: &mut StdRng, count: usize) -> Option<Vec<Request>> {
        let mut bytes = Vec::new();
        let mut requests = Vec::new();
        for _ in 0..count {
            let (request, statement) = self.draw_request(rng);
            pg::put_query(&mut bytes, &statement);
            requests.push(request);
        }
        if self.node_has_closed() {
            return None;
        }
        let sent = self.shared.clock.now();
        self.io.write_all(&bytes).ok()?;
        // On loopback the node has received the write by now: a close that is not visible yet came after it.
        self.closed_during_write = self.node_has_closed();
        requests.iter_mut().for_each(|r| (r.sent, r.due_from) = (sent, sent));
        Some(requests)
    }

    fn send_and_wait(&mut self, rng: &mut StdRng, count: usize) -> Option<()> {
        let mut requests = self.send(rng, count)?;
        let mut ended = None;
        for i in 0..requests.len() {
            // Time that it spends waiting for requests before it does not count.
            let before = i.checked_sub(1).map_or(0, |before| requests[before].answered_by());
            let request = &mut requests[i];
            request.due_from = request.due_from.max(before);
            if let Some(end) = ended {
                request.end = Some(end);
                continue;
            }
            let timeout = Duration::from_nanos(request.timeout as u64);
            match self.receive(Instant::now() + timeout + EXTRA_WAIT) {
                Received::Answer(answer) => {
                    request.answers.push((self.shared.clock.now(), answer));
                }
                Received::Ready => ended = Some(ConnectionEnd::Silent(self.shared.clock.now())),
                Received::End(end) => ended = Some(end),
            }
            requests[i].end = ended;
        }
        // Anything after the last answer is a duplicate answer.
        if ended.is_none() {
            let last = requests.last_mut()?;
            if let Received::Answer(answer) = self.receive(Instant::now() + Duration::from_millis(1)) {
                last.answers.push((self.shared.clock.now(), answer));
            }
        }
        lock(&self.shared.requests).extend(requests);
        ended.is_none().then_some(())
    }

    /// Sends a request and closes, mostly before the answer.
    fn send_and_close(&mut self, rng: &mut StdRng) -> Option<()> {
        let mut requests = self.send(rng, 1)?;
        std::thread::sleep(Duration::from_millis(rng.random_range(0..60)));
        let _ = self.io.shutdown(std::net::Shutdown::Both);
        let end = ConnectionEnd::Left(self.shared.clock.now());
        requests.iter_mut().for_each(|r| r.end = Some(end));
        lock(&self.shared.requests).extend(requests);
        None
    }

    /// Writes a part of a request, then closes, or keeps the connection open without writing more.
    fn stall(&mut self, rng: &mut StdRng) -> Option<()> {
        let (_, statement) = self.draw_request(rng);
        let mut bytes = Vec::new();
        pg::put_query(&mut bytes, &statement);
        self.io.write_all(&bytes[..rng.random_range(1..bytes.len())]).ok()?;
        if rng.random_bool(0.5) {
            return None;
        }
        let since = self.shared.clock.now();
        let ended = match self.receive(Instant::now() + STALL_TIME) {
            Received::End(ConnectionEnd::Silent(_)) | Received::Ready => None,
            _ => Some(self.shared.clock.now()),
        };
        lock(&self.shared.stalled_clients).push(StalledClient { run: self.run, since, ended });
        None
    }

    /// Waits for the next answer, for the node to be ready, or for the end of the connection.
    fn receive(&mut self, until: Instant) -> Received {
        let mut buffer = [0; 4096];
        loop {
            if let Some(received) = self.next_message() {
                return received;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.io.set_read_timeout(Some(left)).is_err() {
                return Received::End(ConnectionEnd::Silent(self.shared.clock.now()));
            }
            match self.io.read(&mut buffer) {
                Ok(0) => return self.handle_close(),
                Ok(n) => self.received.extend_from_slice(&buffer[..n]),
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return Received::End(ConnectionEnd::Unread(self.shared.clock.now())),
            }
        }
    }

    /// The node closed its side; a fatal error may have come just before.
    fn handle_close(&mut self) -> Received {
        if let Some(answer) = self.partial.take().filter(|a| !matches!(a, Answer::Value(_))) {
            return Received::Answer(answer);
        }
        let at = self.shared.clock.now();
        Received::End(if self.closed_during_write {
            ConnectionEnd::Unread(at)
        } else {
            ConnectionEnd::AfterRead(at)
        })
    }

    /// Takes received messages up to the end of an answer.
    fn next_message(&mut self) -> Option<Received> {
        while let Ok(pg::Frame::Complete { tag, body, used }) =
            pg::read_frame(&self.received, pg::MAX_ROW_LEN)
        {
            let body = body.to_vec();
            self.received.drain(..used);
            match tag {
                b'Z' => return Some(self.partial.take().map_or(Received::Ready, Received::Answer)),
                b'D' => self.partial = Some(Answer::Value(body.get(6..).unwrap_or_default().to_vec())),
                b'E' => {
                    let code = pg::error_field(&body, b'C').unwrap_or_default();
                    let rejected = [pg::TOO_MANY_CONNECTIONS, pg::CANNOT_CONNECT_NOW].contains(&code);
                    self.partial = Some(if rejected { Answer::Rejected } else { Answer::Failed });
                }
                _ => {}
            }
        }
        None
    }
}
