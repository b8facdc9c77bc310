//! Scripted peers of a live node: machines, discovery, the platform and clients, a thread a connection. They do what a test or
//! a soak tells them, and a panic in one ends only its thread.
use rockpick_pg as pg;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The longest that a client waits for words from the node.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// What a machine does with a query.
#[derive(Clone, PartialEq, Debug)]
pub enum QueryAction {
    Answer,
    /// An error with this code.
    Error(&'static str),
    /// Closes once the query is there.
    Close,
    /// Reads and says nothing.
    Ignore,
    /// These bytes in place of an answer.
    Send(Vec<u8>),
    /// A good answer, and these bytes behind it.
    AnswerThenSend(Vec<u8>),
}

/// What a machine does with a connection.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ConnectionAction {
    Accept,
    /// Closes before its welcome.
    Close,
    /// Says nothing.
    Ignore,
    /// Turns it away: too many connections.
    Reject,
}

type Got = Arc<Mutex<Vec<(usize, String)>>>;

/// A machine: does what its script says, the last act for ever.
#[derive(Clone)]
pub struct Machine {
    pub at: SocketAddr,
    /// Queries, with the number of the connection that brought each.
    pub got: Got,
    pub script: Arc<Mutex<Vec<QueryAction>>>,
}

pub fn machine(script: &[QueryAction]) -> Machine {
    machine_with_connection_action(ConnectionAction::Accept, script)
}

pub fn machine_with_connection_action(opens: ConnectionAction, script: &[QueryAction]) -> Machine {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let machine = Machine { at, got: Got::default(), script: Arc::new(Mutex::new(script.to_vec())) };
    let theirs = machine.clone();
    std::thread::spawn(move || {
        for (number, io) in listener.incoming().flatten().enumerate() {
            let machine = theirs.clone();
            std::thread::spawn(move || machine.serve(io, opens, number));
        }
    });
    machine
}

/// A machine whose every connection the test serves, told its number.
pub fn machine_served_by(
    by: impl Fn(usize, MachineConnection) -> Option<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let by = Arc::new(by);
    std::thread::spawn(move || {
        for (number, io) in listener.incoming().flatten().enumerate() {
            let by = by.clone();
            std::thread::spawn(move || by(number, MachineConnection { io, came: Vec::new() }));
        }
    });
    at
}

/// A connection from the node, as a machine has it.
pub struct MachineConnection {
    pub io: TcpStream,
    came: Vec<u8>,
}

impl MachineConnection {
    /// Reads the startup message.
    pub fn hello(&mut self) -> Option<()> {
        let used = loop {
            match pg::read_startup(&self.came) {
                Ok(pg::StartupMessage::Startup { used }) => break used,
                _ => more(&mut self.io, &mut self.came)?,
            }
        };
        self.came.drain(..used);
        Some(())
    }

    pub fn welcome(&mut self) -> Option<()> {
        let mut out = Vec::new();
        pg::put_startup_response(&mut out);
        self.io.write_all(&out).ok()
    }

    /// The next query's text.
    pub fn query(&mut self) -> Option<String> {
        let (_, body) = message(&mut self.io, &mut self.came)?;
        Some(pg::read_cstr(&body)?.to_string())
    }

    pub fn answers(&mut self, value: &[u8]) -> Option<()> {
        self.io.write_all(&row(value)).ok()
    }
}

/// Holds whoever passes until it is opened.
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

/// One message, whole; none: the connection is over.
fn message(io: &mut TcpStream, came: &mut Vec<u8>) -> Option<(u8, Vec<u8>)> {
    loop {
        if let Ok(pg::Frame::Complete { tag, body, used }) = pg::read_frame(came, 1 << 20) {
            let whole = (tag, body.to_vec());
            came.drain(..used);
            return Some(whole);
        }
        more(io, came)?;
    }
}

fn more(io: &mut TcpStream, came: &mut Vec<u8>) -> Option<()> {
    let mut buf = [0; 4096];
    match io.read(&mut buf) {
        Ok(n) if n > 0 => {
            came.extend_from_slice(&buf[..n]);
            Some(())
        }
        _ => None,
    }
}

pub fn row(value: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    pg::put_row(&mut out, "blob", value, "SELECT 1");
    pg::put_ready(&mut out);
    out
}

impl Machine {
    fn serve(&self, mut io: TcpStream, opens: ConnectionAction, number: usize) -> Option<()> {
        let mut came = Vec::new();
        let used = loop {
            match pg::read_startup(&came) {
                Ok(pg::StartupMessage::Startup { used }) => break used,
                _ => more(&mut io, &mut came)?,
            }
        };
        came.drain(..used);
        let mut out = Vec::new();
        match opens {
            ConnectionAction::Accept => pg::put_startup_response(&mut out),
            ConnectionAction::Close => return None,
            ConnectionAction::Ignore => {
                more(&mut io, &mut came);
                return None;
            }
            ConnectionAction::Reject => {
                pg::put_error(&mut out, true, pg::TOO_MANY_CONNECTIONS, "too many connections", None)
            }
        }
        io.write_all(&out).ok()?;
        while let Some((b'Q', body)) = message(&mut io, &mut came) {
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

/// Discovery and the desk: they tell what the test says, to whoever asks, from the first line on.
#[derive(Clone)]
pub struct Platform {
    pub discovery: SocketAddr,
    pub desk: SocketAddr,
    lists: Arc<Mutex<Vec<String>>>,
    news: Arc<Mutex<Vec<String>>>,
    /// Votes that came; how each is answered: none, the connection is closed.
    pub votes: Arc<Mutex<Vec<String>>>,
    pub answer: Arc<Mutex<Option<String>>>,
    /// Watches, and connections for news, that were asked for.
    pub asked: Arc<Mutex<[usize; 2]>>,
    /// Watches say nothing any more, those that are asked for neither.
    pub mute: Arc<AtomicBool>,
    /// When a watch last said something.
    pub last_sign: Arc<Mutex<Option<Instant>>>,
    /// What is answered to who asks for the list.
    pub whole: Arc<Mutex<String>>,
    /// Discovery is down: it ends its watches and closes whatever is asked.
    pub down: Arc<AtomicBool>,
    /// When each line of the list was first written to a watch.
    pub written: Arc<Mutex<Vec<Instant>>>,
}

impl Platform {
    pub fn begin() -> Platform {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform {
            discovery: nowhere,
            desk: nowhere,
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

    /// The same platform at further addresses, as a new configuration may name them.
    pub fn at_other_addresses(&self) -> Platform {
        let (discovery, desk) =
            (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
        let platform = Platform {
            discovery: discovery.local_addr().unwrap(),
            desk: desk.local_addr().unwrap(),
            ..self.clone()
        };
        for (listener, desk) in [(discovery, false), (desk, true)] {
            let platform = platform.clone();
            std::thread::spawn(move || {
                for io in listener.incoming().flatten() {
                    let platform = platform.clone();
                    std::thread::spawn(move || platform.serve(io, desk));
                }
            });
        }
        platform
    }

    /// A line of the watch, of hosts as [`host`] writes them; its number among all lines.
    pub fn change(&self, hosts: &[Value]) -> usize {
        let mut lists = self.lists.lock().unwrap();
        let seq = lists.len() + 1;
        lists.push(json!({ "seq": seq, "whole": false, "hosts": hosts }).to_string());
        seq - 1
    }

    /// Lines of the watch so far.
    pub fn lines(&self) -> usize {
        self.lists.lock().unwrap().len()
    }

    /// A line of the watch.
    pub fn list(&self, whole: bool, machines: &[(&str, SocketAddr, u32, &str)]) {
        let mut lists = self.lists.lock().unwrap();
        let seq = lists.len() as u64 + 1;
        lists.push(list(seq, whole, machines).to_string());
    }

    /// The same over many lines, as it may also come.
    pub fn list_indented(&self, machines: &[(&str, SocketAddr, u32, &str)]) {
        let mut lists = self.lists.lock().unwrap();
        let seq = lists.len() as u64 + 1;
        lists.push(serde_json::to_string_pretty(&list(seq, false, machines)).unwrap());
    }

    /// What is answered to who asks for the list.
    pub fn answer_list(&self, seq: u64, machines: &[(&str, SocketAddr, u32, &str)]) {
        *self.whole.lock().unwrap() = list(seq, true, machines).to_string();
    }

    /// A line of the desk.
    pub fn news(&self, line: &str) {
        self.news.lock().unwrap().push(line.to_string());
    }

    fn serve(&self, io: TcpStream, desk: bool) -> Option<()> {
        let down = || !desk && self.down.load(Ordering::SeqCst);
        if down() {
            return None;
        }
        let mut read = BufReader::new(io.try_clone().ok()?);
        let mut io = io;
        let mut line = String::new();
        read.read_line(&mut line).ok()?;
        if desk && line.starts_with("BALLOT") {
            self.votes.lock().unwrap().push(line.trim_end().to_string());
            let answer = self.answer.lock().unwrap().clone()?;
            return io.write_all(format!("{answer}\r\n").as_bytes()).ok();
        }
        if !desk && !line.contains("watch=1") {
            let whole = self.whole.lock().unwrap().clone();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
            return io.write_all(format!("{head}{whole}").as_bytes()).ok();
        }
        let told = if desk { &self.news } else { &self.lists };
        self.asked.lock().unwrap()[usize::from(desk)] += 1;
        if desk {
            io.write_all(b"OK\r\n").ok()?;
        } else {
            io.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        }
        // A watch goes on after a version. What began and ended in between is no change, as with any such list.
        let after = line
            .split_once("after=")
            .map_or(0, |(_, n)| n.split(' ').next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(0));
        let mut told_so_far = 0;
        let mute = || !desk && self.mute.load(Ordering::SeqCst);
        let mut spoke = false;
        for turn in 0.. {
            if down() {
                return None;
            }
            if !mute() && !desk && !spoke && told.lock().unwrap().len() > 1 {
                let lines = told.lock().unwrap().clone();
                told_so_far = lines.len();
                let net = net_change(&lines[after.min(lines.len())..], lines.len());
                io.write_all(format!("{:x}\r\n{net}\n\r\n", net.len() + 1).as_bytes()).ok()?;
                self.wrote(told_so_far);
            }
            spoke |= !mute();
            std::thread::sleep(Duration::from_millis(2));
            if mute() {
                continue;
            }
            let lines: Vec<String> = told.lock().unwrap()[told_so_far..].to_vec();
            told_so_far += lines.len();
            let alive = (turn % 100 == 0).then(|| if desk { "*".to_string() } else { String::new() });
            for line in lines.into_iter().chain(alive) {
                let said = match desk {
                    true => format!("{line}\r\n"),
                    false => format!("{:x}\r\n{line}\n\r\n", line.len() + 1),
                };
                io.write_all(said.as_bytes()).ok()?;
                if !desk {
                    *self.last_sign.lock().unwrap() = Some(Instant::now());
                }
            }
            if !desk {
                self.wrote(told_so_far);
            }
        }
        None
    }

    /// Notes when lines up to this one were first written.
    fn wrote(&self, lines: usize) {
        let mut written = self.written.lock().unwrap();
        let known = written.len();
        written.resize(lines.max(known), Instant::now());
    }
}

/// Lines of a watch as one: the last word of each machine, but for one that came and left in them.
fn net_change(lines: &[String], seq: usize) -> String {
    let mut met: BTreeMap<String, (bool, Value)> = BTreeMap::new();
    for line in lines {
        let told: Value = serde_json::from_str(line).unwrap();
        for host in told["hosts"].as_array().unwrap() {
            let came = host["health"] == "active";
            let name = host["host"].as_str().unwrap().to_string();
            met.entry(name).or_insert_with(|| (came, host.clone())).1 = host.clone();
        }
    }
    let hosts: Vec<Value> =
        met.into_values().filter(|(came, last)| !came || last["health"] != "left").map(|m| m.1).collect();
    json!({ "seq": seq, "whole": false, "hosts": hosts }).to_string()
}

/// A machine as discovery lists it.
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

/// A node's configuration; `save` may run once, `lookup` at will.
pub fn configuration(platform: &Platform, machines: &[(&str, SocketAddr, u32, &str)]) -> Value {
    json!({ "name": "n0", "listen": "127.0.0.1:0", "discovery": platform.discovery.to_string(), "seed": "8c1f",
        "limits": { "cores": 1.0, "memory_mb": 64, "sockets": SOCKETS },
        "platform": { "address": platform.desk.to_string(),
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
    came: Vec<u8>,
}

/// An answer as a client sees it.
#[derive(Debug, PartialEq)]
pub enum Said {
    Value(Vec<u8>),
    /// Code, and the field D.
    Error(String, Option<String>),
    Empty,
    Closed,
}

impl Client {
    /// A connection that has said nothing.
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let io = TcpStream::connect(to)?;
        io.set_read_timeout(Some(PATIENCE))?;
        Ok(Client { io, came: Vec::new() })
    }

    /// Says its first words, and reads the welcome.
    pub fn startup(&mut self) {
        let mut hello = Vec::new();
        pg::put_startup(&mut hello, "api", "ledger");
        self.io.write_all(&hello).unwrap();
        while self.message().expect("a welcome").0 != b'Z' {}
    }

    pub fn message(&mut self) -> Option<(u8, Vec<u8>)> {
        message(&mut self.io, &mut self.came)
    }

    pub fn ask(&mut self, statement: &str) {
        let mut out = Vec::new();
        pg::put_query(&mut out, statement);
        self.io.write_all(&out).unwrap();
    }

    /// The next answer, up to ReadyForQuery.
    pub fn hear(&mut self) -> Said {
        let mut said = Said::Closed;
        loop {
            match self.message() {
                Some((b'Z', _)) => return said,
                Some((b'D', body)) => said = Said::Value(body[6..].to_vec()),
                Some((b'I', _)) => said = Said::Empty,
                Some((b'E', body)) => {
                    let field = |f| pg::error_field(&body, f).map(str::to_string);
                    said = Said::Error(field(b'C').unwrap(), field(b'D'));
                }
                Some(_) => {}
                None => return said,
            }
        }
    }

    pub fn rpc(&mut self, statement: &str) -> Said {
        self.ask(statement);
        self.hear()
    }
}

pub fn lookup(id: u64, wait_ms: u32) -> String {
    format!("SELECT blob FROM rows WHERE handle = '00000000000000aa' /* id={id:016x},c=lookup,t=acme,d={wait_ms} */")
}

pub fn save(id: u64, wait_ms: u32) -> String {
    format!("INSERT INTO rows (handle, blob) VALUES ('00000000000000aa', '\\x9f03') RETURNING blob /* id={id:016x},c=save,t=acme,d={wait_ms} */")
}

pub fn failed(said: &Said) -> bool {
    matches!(said, Said::Error(code, _) if code != "53300" && code != "57P03")
}

pub fn pushed_back(said: &Said) -> bool {
    matches!(said, Said::Error(code, _) if code == "53300")
}
