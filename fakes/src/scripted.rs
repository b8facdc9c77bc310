//! Scripted peers of a live node: machines, discovery, the platform and clients, with one thread per connection. They
//! follow the instructions of a test or a soak; a panic in one ends only its thread.
use rockpick_pg as pg;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How long a client waits for data from the node.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// What a machine does with a query.
#[derive(Clone, PartialEq, Debug)]
pub enum QueryAction {
    Answer,
    /// An error with this code.
    Error(&'static str),
    /// Closes the connection after receiving the query.
    Close,
    /// Reads the query and sends nothing.
    Ignore,
    /// Sends these bytes in place of an answer.
    Send(Vec<u8>),
    /// Sends a valid answer, followed by these bytes.
    AnswerThenSend(Vec<u8>),
}

/// What a machine does with a connection.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ConnectionAction {
    Accept,
    /// Closes the connection before the startup response.
    Close,
    /// Sends nothing.
    Ignore,
    /// Rejects the connection with `too many connections`.
    Reject,
}

type ReceivedQueries = Arc<Mutex<Vec<(usize, String)>>>;

/// A machine that follows its script and repeats the last action forever.
#[derive(Clone)]
pub struct Machine {
    pub at: SocketAddr,
    /// The queries received, each with the number of its connection.
    pub got: ReceivedQueries,
    pub script: Arc<Mutex<Vec<QueryAction>>>,
}

pub fn machine(script: &[QueryAction]) -> Machine {
    machine_with_connection_action(ConnectionAction::Accept, script)
}

pub fn machine_with_connection_action(opens: ConnectionAction, script: &[QueryAction]) -> Machine {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let machine =
        Machine { at, got: ReceivedQueries::default(), script: Arc::new(Mutex::new(script.to_vec())) };
    let served_machine = machine.clone();
    std::thread::spawn(move || {
        for (number, io) in listener.incoming().flatten().enumerate() {
            let machine = served_machine.clone();
            std::thread::spawn(move || machine.serve(io, opens, number));
        }
    });
    machine
}

/// Starts a machine whose connections are served by a function of the caller, which gets the connection's number.
pub fn machine_served_by(
    by: impl Fn(usize, MachineConnection) -> Option<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let by = Arc::new(by);
    std::thread::spawn(move || {
        for (number, io) in listener.incoming().flatten().enumerate() {
            let by = by.clone();
            std::thread::spawn(move || by(number, MachineConnection { io, received: Vec::new() }));
        }
    });
    at
}

/// The machine's end of a connection from the node.
pub struct MachineConnection {
    pub io: TcpStream,
    received: Vec<u8>,
}

impl MachineConnection {
    /// Reads the startup message.
    pub fn read_startup(&mut self) -> Option<()> {
        let used = loop {
            match pg::read_startup(&self.received) {
                Ok(pg::StartupMessage::Startup { used }) => break used,
                _ => read_more(&mut self.io, &mut self.received)?,
            }
        };
        self.received.drain(..used);
        Some(())
    }

    pub fn send_startup_response(&mut self) -> Option<()> {
        let mut out = Vec::new();
        pg::put_startup_response(&mut out);
        self.io.write_all(&out).ok()
    }

    /// Reads the text of the next query. Empty queries are answered at once and not returned.
    pub fn query(&mut self) -> Option<String> {
        loop {
            let (_, body) = read_message(&mut self.io, &mut self.received)?;
            let text = pg::read_cstr(&body)?;
            if !text.is_empty() {
                return Some(text.to_string());
            }
            answer_empty_query(&mut self.io)?;
        }
    }

    pub fn answers(&mut self, value: &[u8]) -> Option<()> {
        self.io.write_all(&row(value)).ok()
    }
}

/// Blocks the threads that pass until it is opened.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    pub fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    pub fn pass(&self) {
        drop(self.0 .1.wait_while(self.0 .0.lock().unwrap(), |open| !*open).unwrap());
    }
}

/// Reads one complete message; none if the connection has ended.
fn read_message(io: &mut TcpStream, received: &mut Vec<u8>) -> Option<(u8, Vec<u8>)> {
    loop {
        if let Ok(pg::Frame::Complete { tag, body, used }) = pg::read_frame(received, 1 << 20) {
            let whole = (tag, body.to_vec());
            received.drain(..used);
            return Some(whole);
        }
        read_more(io, received)?;
    }
}

fn read_more(io: &mut TcpStream, received: &mut Vec<u8>) -> Option<()> {
    let mut buf = [0; 4096];
    match io.read(&mut buf) {
        Ok(n) if n > 0 => {
            received.extend_from_slice(&buf[..n]);
            Some(())
        }
        _ => None,
    }
}

fn answer_empty_query(io: &mut TcpStream) -> Option<()> {
    let mut out = Vec::new();
    pg::put_empty_query_response(&mut out);
    io.write_all(&out).ok()
}

pub fn row(value: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    pg::put_row(&mut out, "blob", value, "SELECT 1");
    pg::put_ready(&mut out);
    out
}

impl Machine {
    fn serve(&self, mut io: TcpStream, opens: ConnectionAction, number: usize) -> Option<()> {
        let mut received = Vec::new();
        let used = loop {
            match pg::read_startup(&received) {
                Ok(pg::StartupMessage::Startup { used }) => break used,
                _ => read_more(&mut io, &mut received)?,
            }
        };
        received.drain(..used);
        let mut out = Vec::new();
        match opens {
            ConnectionAction::Accept => pg::put_startup_response(&mut out),
            ConnectionAction::Close => return None,
            ConnectionAction::Ignore => {
                read_more(&mut io, &mut received);
                return None;
            }
            ConnectionAction::Reject => {
                pg::put_error(&mut out, true, pg::TOO_MANY_CONNECTIONS, "too many connections", None)
            }
        }
        io.write_all(&out).ok()?;
        while let Some((b'Q', body)) = read_message(&mut io, &mut received) {
            if body == [0] {
                answer_empty_query(&mut io)?;
                continue;
            }
            self.got.lock().unwrap().push((number, pg::read_cstr(&body).unwrap().to_string()));
            let does = {
                let mut script = self.script.lock().unwrap();
                if script.len() > 1 {
                    script.remove(0)
                } else {
                    script[0].clone()
                }
            };
            let mut out = Vec::new();
            match does {
                QueryAction::Answer => out = row(b"value"),
                QueryAction::Error(code) => pg::put_error(&mut out, false, code, "no", None),
                QueryAction::Close => return None,
                QueryAction::Ignore => {}
                QueryAction::Send(bytes) => out = bytes,
                QueryAction::AnswerThenSend(bytes) => out = [row(b"value"), bytes].concat(),
            }
            io.write_all(&out).ok()?;
        }
        None
    }

    pub fn queries(&self) -> usize {
        self.got.lock().unwrap().len()
    }
}

/// Fake discovery and rollout API of the platform: each sends the test's lines, from the first one on, to whoever connects.
#[derive(Clone)]
pub struct Platform {
    pub discovery: SocketAddr,
    pub rollout_api: SocketAddr,
    lists: Arc<Mutex<Vec<String>>>,
    news: Arc<Mutex<Vec<String>>>,
    /// The votes received.
    pub votes: Arc<Mutex<Vec<String>>>,
    /// The answer to each vote; none: the connection is closed.
    pub answer: Arc<Mutex<Option<String>>>,
    /// The number of watches and of news connections that were opened.
    pub asked: Arc<Mutex<[usize; 2]>>,
    /// All watches, including new ones, send nothing.
    pub mute: Arc<AtomicBool>,
    /// When a watch last sent data.
    pub last_sign: Arc<Mutex<Option<Instant>>>,
    /// The answer to requests for the full list.
    pub whole: Arc<Mutex<String>>,
    /// Discovery is down: it ends its watches and closes every connection.
    pub down: Arc<AtomicBool>,
    /// When each line was first written to a watch.
    pub written: Arc<Mutex<Vec<Instant>>>,
}

impl Platform {
    pub fn begin() -> Platform {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform {
            discovery: nowhere,
            rollout_api: nowhere,
            lists: Arc::default(),
            news: Arc::default(),
            votes: Arc::default(),
            answer: Arc::new(Mutex::new(Some("OK 1 0 stable 1 0".into()))),
            asked: Arc::default(),
            mute: Arc::default(),
            last_sign: Arc::default(),
            whole: Arc::default(),
            down: Arc::default(),
            written: Arc::default(),
        };
        platform.at_other_addresses()
    }

    /// Serves the same platform at additional addresses, for a changed configuration.
    pub fn at_other_addresses(&self) -> Platform {
        let (discovery, rollout_api) =
            (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
        let platform = Platform {
            discovery: discovery.local_addr().unwrap(),
            rollout_api: rollout_api.local_addr().unwrap(),
            ..self.clone()
        };
        for (listener, is_rollout_api) in [(discovery, false), (rollout_api, true)] {
            let platform = platform.clone();
            std::thread::spawn(move || {
                for io in listener.incoming().flatten() {
                    let platform = platform.clone();
                    std::thread::spawn(move || platform.serve(io, is_rollout_api));
                }
            });
        }
        platform
    }

    /// Adds a line to the watch, with hosts as [`host`] writes them; returns the line's index.
    pub fn change(&self, hosts: &[Value]) -> usize {
        let mut lists = self.lists.lock().unwrap();
        let seq = lists.len() + 1;
        lists.push(json!({ "seq": seq, "whole": false, "hosts": hosts }).to_string());
        seq - 1
    }

    /// The number of lines of the watch so far.
    pub fn lines(&self) -> usize {
        self.lists.lock().unwrap().len()
    }

    /// Adds a line to the watch.
    pub fn list(&self, whole: bool, machines: &[(&str, SocketAddr, u32, &str)]) {
        let mut lists = self.lists.lock().unwrap();
        let seq = lists.len() as u64 + 1;
        lists.push(list(seq, whole, machines).to_string());
    }

    /// Adds a line to the watch as indented JSON, which spans several lines of text.
    pub fn list_indented(&self, machines: &[(&str, SocketAddr, u32, &str)]) {
        let mut lists = self.lists.lock().unwrap();
        let seq = lists.len() as u64 + 1;
        lists.push(serde_json::to_string_pretty(&list(seq, false, machines)).unwrap());
    }

    /// Sets the answer to requests for the full list.
    pub fn answer_list(&self, seq: u64, machines: &[(&str, SocketAddr, u32, &str)]) {
        *self.whole.lock().unwrap() = list(seq, true, machines).to_string();
    }

    /// Adds a line of news at the rollout API.
    pub fn news(&self, line: &str) {
        self.news.lock().unwrap().push(line.to_string());
    }

    fn serve(&self, io: TcpStream, is_rollout_api: bool) -> Option<()> {
        let down = || !is_rollout_api && self.down.load(Ordering::SeqCst);
        if down() {
            return None;
        }
        let mut read = BufReader::new(io.try_clone().ok()?);
        let mut io = io;
        let mut line = String::new();
        read.read_line(&mut line).ok()?;
        if is_rollout_api && line.starts_with("BALLOT") {
            self.votes.lock().unwrap().push(line.trim_end().to_string());
            let answer = self.answer.lock().unwrap().clone()?;
            return io.write_all(format!("{answer}\r\n").as_bytes()).ok();
        }
        if !is_rollout_api && !line.contains("watch=1") {
            let whole = self.whole.lock().unwrap().clone();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
            return io.write_all(format!("{head}{whole}").as_bytes()).ok();
        }
        let lines_to_send = if is_rollout_api { &self.news } else { &self.lists };
        self.asked.lock().unwrap()[usize::from(is_rollout_api)] += 1;
        if is_rollout_api {
            io.write_all(b"OK\r\n").ok()?;
        } else {
            io.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        }
        // A watch resumes after a version. Hosts that appeared and left in between are omitted, as in any such watch.
        let after = line
            .split_once("after=")
            .map_or(0, |(_, n)| n.split(' ').next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(0));
        let mut lines_sent = 0;
        let mute = || !is_rollout_api && self.mute.load(Ordering::SeqCst);
        let mut sent_first = false;
        for turn in 0.. {
            if down() {
                return None;
            }
            if !mute() && !is_rollout_api && !sent_first && lines_to_send.lock().unwrap().len() > 1 {
                let lines = lines_to_send.lock().unwrap().clone();
                lines_sent = lines.len();
                let net = net_change(&lines[after.min(lines.len())..], lines.len());
                io.write_all(format!("{:x}\r\n{net}\n\r\n", net.len() + 1).as_bytes()).ok()?;
                self.record_written(lines_sent);
            }
            sent_first |= !mute();
            std::thread::sleep(Duration::from_millis(2));
            if mute() {
                continue;
            }
            let lines: Vec<String> = lines_to_send.lock().unwrap()[lines_sent..].to_vec();
            lines_sent += lines.len();
            let alive =
                (turn % 100 == 0).then(|| if is_rollout_api { "*".to_string() } else { String::new() });
            for line in lines.into_iter().chain(alive) {
                let framed = match is_rollout_api {
                    true => format!("{line}\r\n"),
                    false => format!("{:x}\r\n{line}\n\r\n", line.len() + 1),
                };
                io.write_all(framed.as_bytes()).ok()?;
                if !is_rollout_api {
                    *self.last_sign.lock().unwrap() = Some(Instant::now());
                }
            }
            if !is_rollout_api {
                self.record_written(lines_sent);
            }
        }
        None
    }

    /// Records the time at which lines up to this number were first written.
    fn record_written(&self, lines: usize) {
        let mut written = self.written.lock().unwrap();
        let known = written.len();
        written.resize(lines.max(known), Instant::now());
    }
}

/// Merges lines of a watch into one: the last state of each machine, without those that appeared and left in them.
fn net_change(lines: &[String], seq: usize) -> String {
    let mut met: BTreeMap<String, (bool, Value)> = BTreeMap::new();
    for line in lines {
        let change: Value = serde_json::from_str(line).unwrap();
        for host in change["hosts"].as_array().unwrap() {
            let appeared = host["health"] == "active";
            let name = host["host"].as_str().unwrap().to_string();
            met.entry(name).or_insert_with(|| (appeared, host.clone())).1 = host.clone();
        }
    }
    let hosts: Vec<Value> = met
        .into_values()
        .filter(|(appeared, last)| !appeared || last["health"] != "left")
        .map(|m| m.1)
        .collect();
    json!({ "seq": seq, "whole": false, "hosts": hosts }).to_string()
}

/// A machine in the format of discovery.
pub fn host(name: &str, at: SocketAddr, build: u32, health: &str, born_ms: u64) -> Value {
    json!({ "host": name, "dial": at.to_string(), "site": "a", "class": "m", "block": 0,
        "health": health, "share": 1.0, "born_ms": born_ms, "version_no": build })
}

fn list(seq: u64, whole: bool, machines: &[(&str, SocketAddr, u32, &str)]) -> Value {
    let hosts: Vec<Value> =
        machines.iter().map(|(name, at, build, health)| host(name, *at, *build, health, 0)).collect();
    json!({ "seq": seq, "whole": whole, "hosts": hosts })
}

pub const SOCKETS: usize = 128;

/// A node's configuration, in which `save` is non-idempotent and `lookup` is idempotent.
pub fn configuration(platform: &Platform, machines: &[(&str, SocketAddr, u32, &str)]) -> Value {
    json!({ "name": "n0", "listen": "127.0.0.1:0", "discovery": platform.discovery.to_string(), "seed": "8c1f",
        "limits": { "cores": 1.0, "memory_mb": 64, "sockets": SOCKETS },
        "platform": { "address": platform.rollout_api.to_string(),
            "news": { "version": 1, "step": 0, "status": "stable", "maxWeight": 1.0, "observedAgoMs": 60000 } },
        "known": list(0, true, machines),
        "settings": { "balancers": 1, "rank": 0, "locality": 0, "discovery": "subscribe", "stepMs": 1.0,
            "zones": ["a"], "lanes": [
                { "name": "lookup", "aimMs": 300.0, "deadlineMs": 2000.0, "idempotency": "free", "importance": 1.0, "keyScope": "all", "windowMs": 5000.0 },
                { "name": "save", "aimMs": 300.0, "deadlineMs": 2000.0, "idempotency": "single_shot", "importance": 1.0, "keyScope": "all", "windowMs": 5000.0 }],
            "extra": { "control": "first_voice", "layout": "parallel", "exposureCaps": [1.0], "free": 2.0,
                "windowMs": 3000.0, "minDwellMs": 500.0, "ballotTtlMs": 4000.0, "apiTimeoutMs": 800.0, "toAbort": 1 },
            "invariants": { "askWithinMs": 2000.0, "coldFrom": 1.0, "coldMs": 1.0, "overloadFactor": 3.0, "fallMs": 1000.0, "drainGraceMs": 1000.0 },
            "permissions": { "attemptsCap": 3, "retryAfter": true, "maxRetryAfterMs": 2000.0, "dialTimeoutMs": 250.0, "idleCloseMs": 30000.0 } } })
}

pub struct Client {
    pub io: TcpStream,
    received: Vec<u8>,
}

/// The answer that a client received.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    /// The error code, and the detail field D.
    Error(String, Option<String>),
    Empty,
    Closed,
}

impl Client {
    /// Opens a connection without sending anything.
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        Ok(Client::from_stream(TcpStream::connect(to)?))
    }

    /// A client on a connection on which nothing has been sent.
    pub fn from_stream(io: TcpStream) -> Client {
        io.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { io, received: Vec::new() }
    }

    /// Sends the startup message and reads the response.
    pub fn startup(&mut self) {
        let mut startup = Vec::new();
        pg::put_startup(&mut startup, "api", "ledger");
        self.io.write_all(&startup).unwrap();
        while self.message().expect("a startup response").0 != b'Z' {}
    }

    pub fn message(&mut self) -> Option<(u8, Vec<u8>)> {
        read_message(&mut self.io, &mut self.received)
    }

    pub fn ask(&mut self, statement: &str) {
        let mut out = Vec::new();
        pg::put_query(&mut out, statement);
        self.io.write_all(&out).unwrap();
    }

    /// Reads the next answer, up to ReadyForQuery.
    pub fn read_answer(&mut self) -> Answer {
        let mut answer = Answer::Closed;
        loop {
            match self.message() {
                Some((b'Z', _)) => return answer,
                Some((b'D', body)) => answer = Answer::Value(body[6..].to_vec()),
                Some((b'I', _)) => answer = Answer::Empty,
                Some((b'E', body)) => {
                    let field = |f| pg::error_field(&body, f).map(str::to_string);
                    answer = Answer::Error(field(b'C').unwrap(), field(b'D'));
                }
                Some(_) => {}
                None => return answer,
            }
        }
    }

    pub fn rpc(&mut self, statement: &str) -> Answer {
        self.ask(statement);
        self.read_answer()
    }
}

pub fn lookup(id: u64, wait_ms: u32) -> String {
    format!("SELECT blob FROM rows WHERE handle = '00000000000000aa' /* id={id:016x},c=lookup,t=acme,d={wait_ms} */")
}

pub fn save(id: u64, wait_ms: u32) -> String {
    format!("INSERT INTO rows (handle, blob) VALUES ('00000000000000aa', '\\x9f03') RETURNING blob /* id={id:016x},c=save,t=acme,d={wait_ms} */")
}

pub fn failed(answer: &Answer) -> bool {
    matches!(answer, Answer::Error(code, _) if code != "53300" && code != "57P03")
}

pub fn pushed_back(answer: &Answer) -> bool {
    matches!(answer, Answer::Error(code, _) if code == "53300")
}
