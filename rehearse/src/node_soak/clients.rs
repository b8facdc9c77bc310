//! Clients of a soak: usual ones, those that pipeline, leave, stop in the middle of a request, and crowds. Each notes what it
//! asked and what it was answered.
use super::checker::{Answer, ConnectionEnd, Request, Stuck};
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

/// Times that clients wait for an answer.
const WAITS_MS: [u32; 5] = [30, 120, 400, 800, 1_200];
/// An answer is waited for so long beyond its time, so that a late one is seen.
const PATIENCE: Duration = Duration::from_millis(900);
/// The welcome, or a word in its place.
const WELCOME_PATIENCE: Duration = Duration::from_secs(3);
/// A client that stops in the middle of a request stays for this.
const STAYS: Duration = Duration::from_millis(3_500);
/// Requests on one connection, at most, and in one write.
const MOST_REQUESTS: u32 = 40;
const MOST_PIPELINED: usize = 5;
/// Between attempts to connect.
const BETWEEN: Duration = Duration::from_millis(5);

/// What all clients of a soak share.
pub struct Shared {
    pub clock: Clock,
    /// The node's present life, and its address while it takes connections.
    pub node: Mutex<Option<(usize, SocketAddr)>>,
    pub requests: Mutex<Vec<Request>>,
    pub stuck: Mutex<Vec<Stuck>>,
    pub over: AtomicBool,
    next_id: AtomicU64,
}

impl Shared {
    pub fn new(clock: Clock) -> Arc<Shared> {
        Arc::new(Shared {
            clock,
            node: Mutex::default(),
            requests: Mutex::default(),
            stuck: Mutex::default(),
            over: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
        })
    }
}

/// A client that opens one connection after another until the soak is over.
pub fn run(shared: &Shared, seed: u64) {
    let mut chance = StdRng::seed_from_u64(seed);
    while !shared.over.load(Ordering::SeqCst) {
        if connection(shared, &mut chance, MOST_REQUESTS).is_none() {
            std::thread::sleep(BETWEEN);
        }
    }
}

/// One client of a crowd: a single request on a new connection.
pub fn run_once(shared: &Shared, seed: u64) {
    connection(shared, &mut StdRng::seed_from_u64(seed), 1);
}

/// What came of waiting for an answer.
enum Heard {
    Answer(Answer),
    Ready,
    End(ConnectionEnd),
}

struct Connection<'a> {
    shared: &'a Shared,
    io: TcpStream,
    life: usize,
    came: Vec<u8>,
    /// An answer whose last words are not here yet.
    partial: Option<Answer>,
    /// The node's close and what was written last have crossed.
    crossed: bool,
}

fn connection(shared: &Shared, chance: &mut StdRng, requests: u32) -> Option<()> {
    let (life, to) = (*lock(&shared.node))?;
    let io = TcpStream::connect(to).ok()?;
    io.set_nodelay(true).ok()?;
    let mut connection = Connection { shared, io, life, came: Vec::new(), partial: None, crossed: false };
    let mut startup = Vec::new();
    pg::put_startup(&mut startup, "api", "ledger");
    connection.io.write_all(&startup).ok()?;
    if let Heard::Ready = connection.hear(Instant::now() + WELCOME_PATIENCE) {
        for _ in 0..chance.random_range(1..=requests) {
            connection.act(chance)?;
        }
    }
    Some(())
}

impl Connection<'_> {
    /// One thing that a client does; none: the connection is over.
    fn act(&mut self, chance: &mut StdRng) -> Option<()> {
        match chance.random_range(0..100) {
            0..78 => self.ask(chance, 1),
            78..86 => {
                let many = chance.random_range(2..=MOST_PIPELINED);
                self.ask(chance, many)
            }
            86..90 => self.leave(chance),
            90..92 => self.stop_halfway(chance),
            _ => {
                std::thread::sleep(Duration::from_millis(chance.random_range(1..400)));
                Some(())
            }
        }
    }

    fn draw(&self, chance: &mut StdRng) -> (Request, String) {
        let id = self.shared.next_id.fetch_add(1, Ordering::SeqCst);
        let wait_ms = WAITS_MS[chance.random_range(0..WAITS_MS.len())];
        let once = chance.random_bool(0.3);
        let statement = if once { save(id, wait_ms) } else { lookup(id, wait_ms) };
        let (answers, end, wait) = (Vec::new(), None, Ns::from(wait_ms) * MS);
        (Request { id, life: self.life, once, sent: 0, due_from: 0, wait, answers, end }, statement)
    }

    /// Has the node closed its side? Whatever it has sent before may still be unread.
    fn node_has_closed(&self) -> bool {
        let mut asked = [PollFd::new(&self.io, PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        matches!(poll(&mut asked, Some(&at_once)), Ok(1..))
    }

    /// Writes requests; none: they were not written whole, so that none of them was taken.
    fn send(&mut self, chance: &mut StdRng, many: usize) -> Option<Vec<Request>> {
        let mut words = Vec::new();
        let mut requests = Vec::new();
        for _ in 0..many {
            let (request, statement) = self.draw(chance);
            pg::put_query(&mut words, &statement);
            requests.push(request);
        }
        if self.node_has_closed() {
            return None;
        }
        let sent = self.shared.clock.now();
        self.io.write_all(&words).ok()?;
        // On loopback what is written is with the node by now: a close that is not here yet came after it.
        self.crossed = self.node_has_closed();
        requests.iter_mut().for_each(|r| (r.sent, r.due_from) = (sent, sent));
        Some(requests)
    }

    fn ask(&mut self, chance: &mut StdRng, many: usize) -> Option<()> {
        let mut requests = self.send(chance, many)?;
        let mut ended = None;
        for i in 0..requests.len() {
            // Time that it waits for those before it does not count.
            let before = i.checked_sub(1).map_or(0, |before| requests[before].answered_by());
            let request = &mut requests[i];
            request.due_from = request.due_from.max(before);
            if let Some(end) = ended {
                request.end = Some(end);
                continue;
            }
            let wait = Duration::from_nanos(request.wait as u64);
            match self.hear(Instant::now() + wait + PATIENCE) {
                Heard::Answer(answer) => {
                    request.answers.push((self.shared.clock.now(), answer));
                }
                Heard::Ready => ended = Some(ConnectionEnd::Silent(self.shared.clock.now())),
                Heard::End(end) => ended = Some(end),
            }
            requests[i].end = ended;
        }
        // Whatever comes behind the last answer is one answer too many.
        if ended.is_none() {
            let last = requests.last_mut()?;
            if let Heard::Answer(answer) = self.hear(Instant::now() + Duration::from_millis(1)) {
                last.answers.push((self.shared.clock.now(), answer));
            }
        }
        lock(&self.shared.requests).extend(requests);
        ended.is_none().then_some(())
    }

    /// Asks and closes before the answer.
    fn leave(&mut self, chance: &mut StdRng) -> Option<()> {
        let mut requests = self.send(chance, 1)?;
        std::thread::sleep(Duration::from_millis(chance.random_range(0..60)));
        let _ = self.io.shutdown(std::net::Shutdown::Both);
        let end = ConnectionEnd::Left(self.shared.clock.now());
        requests.iter_mut().for_each(|r| r.end = Some(end));
        lock(&self.shared.requests).extend(requests);
        None
    }

    /// Writes a part of a request, then closes, or stays and says nothing more.
    fn stop_halfway(&mut self, chance: &mut StdRng) -> Option<()> {
        let (_, statement) = self.draw(chance);
        let mut words = Vec::new();
        pg::put_query(&mut words, &statement);
        self.io.write_all(&words[..chance.random_range(1..words.len())]).ok()?;
        if chance.random_bool(0.5) {
            return None;
        }
        let since = self.shared.clock.now();
        let ended = match self.hear(Instant::now() + STAYS) {
            Heard::End(ConnectionEnd::Silent(_)) | Heard::Ready => None,
            _ => Some(self.shared.clock.now()),
        };
        lock(&self.shared.stuck).push(Stuck { life: self.life, since, ended });
        None
    }

    /// Waits for the next answer, the welcome, or the end.
    fn hear(&mut self, until: Instant) -> Heard {
        let mut buffer = [0; 4096];
        loop {
            if let Some(heard) = self.next_message() {
                return heard;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.io.set_read_timeout(Some(left)).is_err() {
                return Heard::End(ConnectionEnd::Silent(self.shared.clock.now()));
            }
            match self.io.read(&mut buffer) {
                Ok(0) => return self.ended(),
                Ok(n) => self.came.extend_from_slice(&buffer[..n]),
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return Heard::End(ConnectionEnd::Unread(self.shared.clock.now())),
            }
        }
    }

    /// The node closed its side; a fatal error may stand last.
    fn ended(&mut self) -> Heard {
        if let Some(answer) = self.partial.take().filter(|a| !matches!(a, Answer::Value(_))) {
            return Heard::Answer(answer);
        }
        let at = self.shared.clock.now();
        Heard::End(if self.crossed { ConnectionEnd::Unread(at) } else { ConnectionEnd::AfterRead(at) })
    }

    /// Takes messages off what came, up to the end of an answer.
    fn next_message(&mut self) -> Option<Heard> {
        while let Ok(pg::Frame::Complete { tag, body, used }) = pg::read_frame(&self.came, pg::MAX_ROW_LEN) {
            let body = body.to_vec();
            self.came.drain(..used);
            match tag {
                b'Z' => return Some(self.partial.take().map_or(Heard::Ready, Heard::Answer)),
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
