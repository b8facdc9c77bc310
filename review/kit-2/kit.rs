//! Stand-ins for the second review: machines, discovery, the platform, clients, and the starter of a front node.
//! Standard library only, a thread for each connection. They follow the given pages.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of a run, with times in ms since its start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|err| cannot_run(&format!("record: {err}")));
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn at(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    pub fn write(&self, line: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:10.2} {line}", self.at());
    }
}

/// Started nodes that have not been ended yet, with their folders.
static STARTED: Mutex<Vec<(u32, PathBuf)>> = Mutex::new(Vec::new());

/// Ends the run with the code for a case that can't run. No started process and no folder is left.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("can't run: {why}");
    for (pid, folder) in std::mem::take(&mut *STARTED.lock().unwrap_or_else(|err| err.into_inner())) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(2)
}

/// A generator of random numbers (splitmix64).
#[derive(Clone)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

// ---- PostgreSQL messages ----

pub fn put_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

pub fn welcome() -> Vec<u8> {
    let mut out = Vec::new();
    put_message(&mut out, b'R', &[0; 4]);
    put_message(&mut out, b'S', b"server_version\x0014.0\0");
    put_message(&mut out, b'K', &[0; 8]);
    put_message(&mut out, b'Z', b"I");
    out
}

/// A whole answer of one value, up to ReadyForQuery.
pub fn row(value: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let mut description = vec![0, 1];
    description.extend(b"blob\0");
    // Table, column, type bytea, its size, modifier, binary.
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    put_message(&mut out, b'T', &description);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    put_message(&mut out, b'D', &data);
    put_message(&mut out, b'C', b"SELECT 1\0");
    put_message(&mut out, b'Z', b"I");
    out
}

pub fn error(code: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let body = format!("SERROR\0VERROR\0C{code}\0Mno\0\0");
    put_message(&mut out, b'E', body.as_bytes());
    put_message(&mut out, b'Z', b"I");
    out
}

pub fn startup() -> Vec<u8> {
    let words = b"user\0api\0database\0ledger\0\0";
    let mut out = Vec::new();
    out.extend((words.len() as u32 + 8).to_be_bytes());
    out.extend(196_608u32.to_be_bytes());
    out.extend(words);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_message(&mut out, b'Q', format!("{text}\0").as_bytes());
    out
}

/// Reads one message; `None` if the connection has ended or the read has timed out.
pub fn read_message(io: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    io.read_exact(&mut head).ok()?;
    let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; len.checked_sub(4)?];
    io.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// Reads a startup message.
pub fn read_startup(io: &mut impl Read) -> Option<()> {
    let mut len = [0; 4];
    io.read_exact(&mut len).ok()?;
    let mut body = vec![0; (u32::from_be_bytes(len) as usize).checked_sub(4)?];
    io.read_exact(&mut body).ok()
}

/// The value of a name in a statement's comment.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split("/* ").nth(1)?.split(" */").next()?;
    comment.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// The value that any machine makes for a request.
pub fn value_of(id: &str) -> Vec<u8> {
    format!("value made for {id}").into_bytes()
}

pub fn lookup(id: u64, key: u64, class: &str, d: u64) -> String {
    format!("SELECT blob FROM rows WHERE handle = '{key:016x}' /* id={id:016x},c={class},t=firm-a,d={d} */")
}

pub fn insert(id: u64, key: u64, class: &str, d: u64) -> String {
    format!("INSERT INTO rows (handle, blob) VALUES ('{key:016x}', '\\x9f03') RETURNING blob /* id={id:016x},c={class},t=firm-a,d={d} */")
}

// ---- Clients ----

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    /// The code of an error.
    Error(String),
    Empty,
    /// The connection ended before a whole answer.
    Closed,
    /// No whole answer came in the time of the read.
    Silent,
}

pub struct Client {
    pub io: TcpStream,
}

impl Client {
    /// Connects and sends the startup message.
    pub fn connect(to: SocketAddr) -> Option<Client> {
        let mut io = TcpStream::connect_timeout(&to, ms(1_000)).ok()?;
        io.set_nodelay(true).ok()?;
        io.set_read_timeout(Some(ms(6_000))).ok()?;
        io.write_all(&startup()).ok()?;
        let mut client = Client { io };
        loop {
            match read_message(&mut client.io)? {
                (b'Z', _) => return Some(client),
                (b'E', _) => return None,
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, statement: &str) -> bool {
        self.io.write_all(&query(statement)).is_ok()
    }

    pub fn read_answer(&mut self) -> Answer {
        let mut answer = None;
        loop {
            let mut head = [0; 1];
            match self.io.peek(&mut head) {
                Ok(0) => return answer.unwrap_or(Answer::Closed),
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Answer::Silent,
                Err(_) => return answer.unwrap_or(Answer::Closed),
                Ok(_) => {}
            }
            match read_message(&mut self.io) {
                Some((b'Z', _)) => return answer.unwrap_or(Answer::Closed),
                Some((b'D', body)) => answer = Some(Answer::Value(body.get(6..).unwrap_or_default().to_vec())),
                Some((b'I', _)) => answer = Some(Answer::Empty),
                Some((b'E', body)) => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let code = text.split('\0').find_map(|f| f.strip_prefix('C')).unwrap_or("?").to_string();
                    answer = Some(Answer::Error(code));
                }
                Some(_) => {}
                None => return Answer::Closed,
            }
        }
    }

    pub fn rpc(&mut self, statement: &str) -> Answer {
        if !self.ask(statement) {
            return Answer::Closed;
        }
        self.read_answer()
    }
}

// ---- Discovery ----

/// An entry of the list.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub site: &'static str,
    pub block: u32,
    pub health: &'static str,
    pub born_ms: u64,
    pub build: u32,
}

impl Host {
    pub fn new(name: &str, dial: SocketAddr) -> Host {
        Host { name: name.into(), dial, site: "a", block: 1, health: "active", born_ms: 0, build: 41 }
    }

    pub fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"m2\",\"block\":{},\"health\":\"{}\",\"share\":1.0,\"born_ms\":{},\"version_no\":{}}}",
            self.name, self.dial, self.site, self.block, self.health, self.born_ms, self.build
        )
    }
}

pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", hosts.join(","))
}

#[derive(Clone)]
pub struct Discovery {
    pub at: SocketAddr,
    /// Version and whole list, and the change that led to each version.
    state: Arc<Mutex<(u64, Vec<Host>, BTreeMap<u64, Vec<Host>>)>>,
}

impl Discovery {
    pub fn start(hosts: &[Host]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let found = Discovery { at, state: Arc::new(Mutex::new((41, hosts.to_vec(), BTreeMap::new()))) };
        let served = found.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(io));
            }
        });
        found
    }

    /// The address and the list of a discovery that a case serves by itself.
    pub fn at_address(at: SocketAddr, hosts: &[Host]) -> Discovery {
        Discovery { at, state: Arc::new(Mutex::new((41, hosts.to_vec(), BTreeMap::new()))) }
    }

    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.0, true, &state.1)
    }

    /// Changes or adds entries.
    pub fn change(&self, changed: &[Host]) {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        for host in changed {
            state.1.retain(|h| h.name != host.name);
            if host.health != "left" {
                state.1.push(host.clone());
            }
        }
        let seq = state.0;
        state.2.insert(seq, changed.to_vec());
    }

    fn serve(&self, io: TcpStream) -> Option<()> {
        let mut out = io.try_clone().ok()?;
        let mut lines = BufReader::new(io);
        loop {
            let mut request = String::new();
            if lines.read_line(&mut request).ok()? == 0 {
                return None;
            }
            loop {
                let mut line = String::new();
                if lines.read_line(&mut line).ok()? == 0 {
                    return None;
                }
                if line == "\r\n" {
                    break;
                }
            }
            if !request.contains("watch=1") {
                let body = self.known();
                write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
                continue;
            }
            let after = request.split("after=").nth(1).and_then(|n| n.split([' ', '&']).next()).and_then(|n| n.parse().ok());
            let mut sent: u64 = after.unwrap_or(0);
            write!(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            let mut quiet_since: Option<Instant> = None;
            loop {
                let lines: Vec<String> = {
                    let state = self.state.lock().unwrap();
                    if sent < 41 {
                        sent = state.0;
                        vec![list_json(state.0, true, &state.1)]
                    } else {
                        let news: Vec<String> =
                            state.2.range(sent + 1..).map(|(seq, hosts)| list_json(*seq, false, hosts)).collect();
                        sent = sent.max(state.0);
                        news
                    }
                };
                let idle = quiet_since.is_none_or(|since| since.elapsed() >= ms(2_000));
                let lines = if lines.is_empty() && idle { vec![String::new()] } else { lines };
                for line in &lines {
                    write!(out, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
                }
                if !lines.is_empty() {
                    quiet_since = Some(Instant::now());
                }
                thread::sleep(ms(2));
            }
        }
    }
}

// ---- The platform ----

#[derive(Clone)]
pub struct Platform {
    pub at: SocketAddr,
    /// Build, stage, phase and cap.
    pub state: Arc<Mutex<(u32, u32, &'static str, f64)>>,
}

impl Platform {
    pub fn start(build: u32) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let platform = Platform { at, state: Arc::new(Mutex::new((build, 2, "stable", 1.0))) };
        let served = platform.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(io));
            }
        });
        platform
    }

    fn words(&self) -> String {
        let (build, stage, phase, cap) = *self.state.lock().unwrap();
        format!("{build} {stage} {phase} {cap} 60000")
    }

    fn serve(&self, io: TcpStream) -> Option<()> {
        let mut out = io.try_clone().ok()?;
        let mut lines = BufReader::new(io);
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if line.starts_with("BALLOT") {
                write!(out, "OK {}\r\n", self.words()).ok()?;
            } else {
                write!(out, "OK\r\n* progress {}\r\n", self.words()).ok()?;
                let mut told = self.words();
                loop {
                    thread::sleep(ms(1_000));
                    let now = self.words();
                    if now == told {
                        write!(out, "*\r\n").ok()?;
                    } else {
                        write!(out, "* progress {now}\r\n").ok()?;
                        told = now;
                    }
                }
            }
        }
    }
}

// ---- The front node ----

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| cannot_run("ROOT is not set")))
}

/// The value of a line `name = "..."` of the deploy file.
pub fn deploy_line(name: &str) -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml"))
        .unwrap_or_else(|err| cannot_run(&format!("deploy file: {err}")));
    text.lines()
        .find_map(|line| line.strip_prefix(name)?.trim_start().strip_prefix('=')?.trim().strip_prefix('"')?.split('"').next())
        .unwrap_or_else(|| cannot_run("a line is missing in the deploy file"))
        .to_string()
}

/// A folder that is removed with its value.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("review-2-{}-{unique}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|err| cannot_run(&format!("folder: {err}")));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running front node. It is killed with its value.
pub struct Node {
    pub at: SocketAddr,
    pub child: Child,
    folder: Folder,
}

impl Drop for Node {
    fn drop(&mut self) {
        STARTED.lock().unwrap_or_else(|err| err.into_inner()).retain(|(pid, _)| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    /// Starts a node with the command `run`, and waits until it answers an empty query.
    pub fn start(discovery: &Discovery, platform: &Platform, settings: &str, memory_mb: u64, sockets: u64) -> Node {
        let folder = Folder::create();
        let at = free_address();
        let (build, stage, phase, cap) = *platform.state.lock().unwrap();
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{at}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\
             \"platform\":{{\"address\":\"{}\",\"news\":{{\"version\":{build},\"step\":{stage},\"status\":\"{phase}\",\"maxWeight\":{cap},\"observedAgoMs\":60000}}}},\
             \"known\":{},\"settings\":{settings}}}",
            discovery.at,
            platform.at,
            discovery.known()
        );
        let file = folder.0.join("config.json");
        std::fs::write(&file, config).unwrap_or_else(|err| cannot_run(&format!("configuration: {err}")));
        let log = File::create(folder.0.join("node.log")).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy_line("run"))
            .current_dir(root())
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", at.to_string())
            .env("PROXY_DISCOVERY", discovery.at.to_string())
            .env("PROXY_CONFIG", &file)
            .env("TMPDIR", &folder.0)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|err| cannot_run(&format!("run: {err}")));
        STARTED.lock().unwrap_or_else(|err| err.into_inner()).push((child.id(), folder.0.clone()));
        let node = Node { at, child, folder };
        let began = Instant::now();
        while began.elapsed() < ms(10_000) {
            if let Some(mut client) = Client::connect(at) {
                if client.rpc("") == Answer::Empty {
                    return node;
                }
            }
            thread::sleep(ms(50));
        }
        eprintln!("{}", node.log());
        drop(node);
        cannot_run("the node did not get ready")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.0.join("node.log")).unwrap_or_default()
    }

    pub fn config_file(&self) -> PathBuf {
        self.folder.0.join("config.json")
    }

    /// Sends a signal, by its name for `kill`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Memory of its own in KiB: resident pages that are neither those of its program file nor of libraries.
    pub fn own_memory_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let value = |name: &str| -> u64 {
            let line = text.lines().find(|l| l.starts_with(name));
            line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse().ok()).unwrap_or(0)
        };
        value("RssAnon:") + value("RssShmem:")
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

/// One class for the settings.
pub fn lane(name: &str, idempotency: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"aimMs\":800.0,\"deadlineMs\":{deadline_ms}.0,\"idempotency\":\"{idempotency}\",\"importance\":2.0,\"keyScope\":\"all\",\"lateWorth\":0.2{more}}}"
    )
}

/// Settings of a small deployment of `shared-returns`.
pub fn settings(lanes: &[String]) -> String {
    format!(
        "{{\"balancers\":2,\"rank\":0,\"locality\":0,\"zones\":[\"a\",\"b\"],\"discovery\":\"subscribe\",\"stepMs\":5.0,\
         \"family\":\"rollout\",\"lanes\":[{}],\
         \"extra\":{{\"apiRate\":80.0,\"apiTimeoutMs\":800.0,\"ballotTtlMs\":4000.0,\"capScope\":\"all\",\"control\":\"by_count\",\
         \"exposureCaps\":[0.14,0.49,1.0],\"free\":2.0,\"layout\":\"parallel\",\"minDwellMs\":1000.0,\"oneWay\":false,\"rings\":[0.1,0.35,1.0],\
         \"safeOnlyStages\":0,\"tallyEveryMs\":1000.0,\"toAbort\":1,\"toldEveryMs\":2000.0,\"votesToGo\":2,\"windowMs\":3000.0}},\
         \"invariants\":{{\"askWithinMs\":10000.0,\"coldFrom\":0.42,\"coldMs\":5000.0,\"drainGraceMs\":1000.0,\"fallMs\":1000.0,\"graceToAnswerMs\":20.0,\"overloadFactor\":3.0}},\
         \"permissions\":{{\"attemptsCap\":5,\"cancel\":true,\"dialTimeoutMs\":250.0,\"idleCloseMs\":30000.0,\"maxRetryAfterMs\":2000.0,\"peers\":false,\"probing\":true,\"retryAfter\":true,\"parallelTries\":true}},\
         \"charges\":{{\"crossZone\":0.01,\"handshake\":0.0}}}}",
        lanes.join(",")
    )
}

// ---- Counters ----

#[derive(Clone, Default)]
pub struct Flag(pub Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

#[derive(Clone, Default)]
pub struct Counter(pub Arc<AtomicU64>);

impl Counter {
    pub fn add(&self) -> u64 {
        self.0.fetch_add(1, Ordering::SeqCst)
    }

    pub fn get(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}
