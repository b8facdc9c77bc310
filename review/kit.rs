//! Stand-ins for the cases of this review: clients, machines, discovery and platform, as the users' pages describe them, and
//! one process of the product, started by the `run` command of the deploy file. Standard library only; built by `build.sh`.
//! Everything listens on 127.0.0.1 at free ports.
#![allow(dead_code)]
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod copies;
mod drain;
mod stop;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
pub const SIGHUP: i32 = 1;

// ---------------------------------------------------------------- clock and record

static BEGAN: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Vec<(f64, String)>> = Mutex::new(Vec::new());

/// Milliseconds since the run began.
pub fn now() -> f64 {
    BEGAN.get_or_init(Instant::now).elapsed().as_secs_f64() * 1e3
}

/// Adds a line to the record.
pub fn note(text: String) {
    let at = now();
    RECORD.lock().unwrap().push((at, text));
}

pub fn write_record(path: &Path) {
    let mut lines = RECORD.lock().unwrap().clone();
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut out = String::new();
    for (at, line) in lines {
        let _ = writeln!(out, "{at:10.1} {line}");
    }
    let _ = std::fs::write(path, out);
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        thread::sleep(Duration::from_secs_f64(ms / 1e3));
    }
}

pub fn sleep_until(at: f64) {
    sleep_ms(at - now());
}

/// A small generator of random numbers (xorshift), one a thread.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.fraction()
    }
}

// ---------------------------------------------------------------- PostgreSQL's protocol, version 3

fn message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

fn startup_message() -> Vec<u8> {
    let body = b"user\0api\0database\0ledger\0\0";
    let mut out = (body.len() as u32 + 8).to_be_bytes().to_vec();
    out.extend(196_608u32.to_be_bytes());
    out.extend(body);
    out
}

fn query_message(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    message(&mut out, b'Q', &[text.as_bytes(), b"\0"].concat());
    out
}

fn welcome() -> Vec<u8> {
    let mut out = Vec::new();
    message(&mut out, b'R', &[0; 4]);
    message(&mut out, b'S', b"server_version\x0014.0\0");
    message(&mut out, b'K', &[0; 8]);
    message(&mut out, b'Z', b"I");
    out
}

/// A served request: RowDescription, one DataRow of one binary column, CommandComplete, ReadyForQuery.
fn row(value: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let mut described = 1u16.to_be_bytes().to_vec();
    described.extend(b"blob\0");
    described.extend([0; 6]);
    described.extend(17u32.to_be_bytes());
    described.extend((-1i16).to_be_bytes());
    described.extend((-1i32).to_be_bytes());
    described.extend(1u16.to_be_bytes());
    message(&mut out, b'T', &described);
    let mut data = 1u16.to_be_bytes().to_vec();
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    message(&mut out, b'D', &data);
    message(&mut out, b'C', b"SELECT 1\0");
    message(&mut out, b'Z', b"I");
    out
}

fn error(code: &str) -> Vec<u8> {
    let mut out = Vec::new();
    message(&mut out, b'E', format!("SERROR\0VERROR\0C{code}\0Mstand-in\0\0").as_bytes());
    message(&mut out, b'Z', b"I");
    out
}

fn read_exact(io: &mut TcpStream, len: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; len];
    io.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Reads a startup message.
fn read_startup(io: &mut TcpStream) -> io::Result<()> {
    let len = u32::from_be_bytes(read_exact(io, 4)?.try_into().unwrap()) as usize;
    read_exact(io, len.clamp(4, 10_000) - 4).map(drop)
}

/// Reads one message.
fn read_message(io: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let tag = read_exact(io, 1)?[0];
    let len = u32::from_be_bytes(read_exact(io, 4)?.try_into().unwrap()) as usize;
    Ok((tag, read_exact(io, len.clamp(4, 1 << 22) - 4)?))
}

/// The value that a machine makes for a request.
pub fn value_of(id: u64) -> String {
    format!("value-made-for-{id:016x}")
}

pub fn lookup(id: u64, deadline_ms: u32) -> String {
    format!("SELECT blob FROM rows WHERE handle = '{id:016x}' /* id={id:016x},c=return-lookup,t=firm-a,d={deadline_ms} */")
}

pub fn write_statement(class: &str, id: u64, deadline_ms: u32) -> String {
    format!("INSERT INTO rows (handle, blob) VALUES ('{id:016x}', '\\x9f03') RETURNING blob /* id={id:016x},c={class},t=firm-a,d={deadline_ms} */")
}

fn id_in(text: &str) -> Option<u64> {
    let from = text.find("id=")? + 3;
    u64::from_str_radix(text.get(from..from + 16)?, 16).ok()
}

// ---------------------------------------------------------------- machines

/// What reached the machines.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub at: f64,
    pub id: u64,
    pub machine: usize,
    /// What the machine did with it.
    pub outcome: &'static str,
}

pub static ATTEMPTS: Mutex<Vec<Attempt>> = Mutex::new(Vec::new());

/// How a machine behaves.
pub struct Behaviour {
    /// Time of work of a request, in ms, drawn evenly.
    pub work: (f64, f64),
    /// Takes requests and gives no answer to any: 'nothing' in the table of outcomes.
    pub hangs: AtomicBool,
    /// Share of answers that are followed by a second copy, and how many ms later it comes.
    pub copies: f64,
    pub copy_after: (f64, f64),
    /// Share of requests that end with XX000 after their work.
    pub errors: f64,
    /// Share of requests that are turned away at once with 53300 (queue full).
    pub full: f64,
    /// Time of the way there and back, in ms.
    pub way: (f64, f64),
}

impl Behaviour {
    pub fn sound(work: (f64, f64)) -> Behaviour {
        Behaviour {
            work,
            hangs: AtomicBool::new(false),
            copies: 0.0,
            copy_after: (0.0, 0.0),
            errors: 0.0,
            full: 0.0,
            way: (0.0, 0.0),
        }
    }
}

#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub at: SocketAddr,
    pub behaviour: Arc<Behaviour>,
    pub copies_sent: Arc<AtomicUsize>,
}

static SEEDS: AtomicU64 = AtomicU64::new(1);

fn random() -> Random {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
    Random::new(SEEDS.fetch_add(1, SeqCst) << 32 | u64::from(nanos))
}

pub fn start_machine(index: usize, behaviour: Behaviour) -> Machine {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let machine = Machine {
        name: format!("s-{index}"),
        at: listener.local_addr().unwrap(),
        behaviour: Arc::new(behaviour),
        copies_sent: Arc::default(),
    };
    let serving = machine.clone();
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let machine = serving.clone();
            thread::spawn(move || {
                let _ = serve(index, &machine, io);
            });
        }
    });
    machine
}

fn serve(index: usize, machine: &Machine, mut io: TcpStream) -> io::Result<()> {
    let behaviour = &machine.behaviour;
    let mut random = random();
    let hang_if_told = || {
        while behaviour.hangs.load(SeqCst) {
            thread::sleep(Duration::from_millis(50));
        }
    };
    io.set_nodelay(true)?;
    read_startup(&mut io)?;
    io.write_all(&welcome())?;
    loop {
        let (tag, body) = read_message(&mut io)?;
        if tag != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
        let Some(id) = id_in(&text) else {
            let mut out = Vec::new();
            if text.trim().is_empty() {
                message(&mut out, b'I', &[]);
                message(&mut out, b'Z', b"I");
            } else {
                out = error("08P01");
            }
            io.write_all(&out)?;
            continue;
        };
        let attempt = |at, outcome| {
            ATTEMPTS.lock().unwrap().push(Attempt { at, id, machine: index, outcome });
            note(format!("machine s-{index}: {id:016x} {outcome}"));
        };
        let at = now();
        if behaviour.hangs.load(SeqCst) {
            attempt(at, "begun, hangs");
            hang_if_told();
            return Ok(());
        }
        if random.fraction() < behaviour.full {
            attempt(at, "turned away, 53300");
            sleep_ms(random.between(behaviour.way.0, behaviour.way.1));
            io.write_all(&error("53300"))?;
            continue;
        }
        sleep_ms(random.between(behaviour.work.0, behaviour.work.1));
        if behaviour.hangs.load(SeqCst) {
            attempt(at, "begun, hangs");
            hang_if_told();
            return Ok(());
        }
        if random.fraction() < behaviour.errors {
            attempt(at, "run, XX000");
            io.write_all(&error("XX000"))?;
            continue;
        }
        let answer = row(value_of(id).as_bytes());
        attempt(at, "run, served");
        io.write_all(&answer)?;
        if random.fraction() < behaviour.copies {
            sleep_ms(random.between(behaviour.copy_after.0, behaviour.copy_after.1));
            // The copy comes only when nothing else waits on the connection.
            io.set_nonblocking(true)?;
            let nothing_waits =
                matches!(io.peek(&mut [0]), Err(err) if err.kind() == io::ErrorKind::WouldBlock);
            io.set_nonblocking(false)?;
            if nothing_waits {
                note(format!("machine s-{index}: second copy of the answer to {id:016x}"));
                machine.copies_sent.fetch_add(1, SeqCst);
                io.write_all(&answer)?;
            }
        }
    }
}

// ---------------------------------------------------------------- discovery

pub struct Platform {
    pub discovery: SocketAddr,
    pub desk: SocketAddr,
}

pub fn hosts(machines: &[Machine]) -> String {
    let entries: Vec<String> = machines
        .iter()
        .map(|m| {
            format!(
                r#"{{"host":"{}","dial":"{}","site":"dub-north","class":"full-core","block":1,"health":"active","share":1.0,"born_ms":0,"version_no":41}}"#,
                m.name, m.at
            )
        })
        .collect();
    format!(r#"{{"seq":41,"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

/// Discovery, whose list never changes, and the platform, whose newest build is released.
pub fn start_platform(machines: &[Machine]) -> Platform {
    let whole = hosts(machines);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = listener.local_addr().unwrap();
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let whole = whole.clone();
            thread::spawn(move || {
                let _ = serve_discovery(io, &whole);
            });
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let desk = listener.local_addr().unwrap();
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = serve_desk(io);
            });
        }
    });
    Platform { discovery, desk }
}

fn serve_discovery(mut io: TcpStream, whole: &str) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(read_exact(&mut io, 1)?[0]);
    }
    let head = String::from_utf8_lossy(&head).to_string();
    if !head.contains("watch=1") {
        return write!(
            io,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{whole}",
            whole.len()
        );
    }
    write!(io, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    if !head.contains("after=41") {
        write!(io, "{:x}\r\n{whole}\n\r\n", whole.len() + 1)?;
    }
    loop {
        write!(io, "1\r\n\n\r\n")?;
        thread::sleep(Duration::from_secs(2));
    }
}

const STATE: &str = "41 2 stable 1.0 600000";

fn serve_desk(io: TcpStream) -> io::Result<()> {
    let mut reading = io.try_clone()?;
    let mut io = io;
    let mut line = Vec::new();
    loop {
        line.push(read_exact(&mut reading, 1)?[0]);
        if !line.ends_with(b"\r\n") {
            continue;
        }
        if line.starts_with(b"NOTIFY") {
            write!(io, "OK\r\n* progress {STATE}\r\n")?;
            loop {
                thread::sleep(Duration::from_secs(1));
                write!(io, "*\r\n")?;
            }
        }
        write!(io, "OK {STATE}\r\n")?;
        line.clear();
    }
}

// ---------------------------------------------------------------- the product

pub struct Node {
    pub child: Child,
    pub at: SocketAddr,
    folder: PathBuf,
}

/// The settings of a small deployment, with the figures of the users' brief for the return servers.
fn settings() -> String {
    let lane = |name: &str, aim: u32, importance: u32, kind: &str| {
        format!(
            r#"{{"name":"{name}","aimMs":{aim},"deadlineMs":3000,"idempotency":"{kind}","importance":{importance},"keyScope":"all","lateWorth":0.2,"streamed":false,"windowMs":5000}}"#
        )
    };
    let lanes = [
        lane("return-lookup", 800, 2, "free"),
        lane("draft-save", 800, 2, "free"),
        lane("return-lodge", 1000, 6, "single_shot"),
    ];
    format!(
        r#"{{"balancers":2,"rank":0,"locality":0,"family":"rollout","discovery":"subscribe","stepMs":5.0,
"zones":["dub-north","dub-west"],"weights":"nominal","flavors":["full-core","slow-core"],"tiers":["return-servers"],"tier":0,
"lanes":[{}],
"tenants":[{{"name":"firm-a","quotaPerS":64,"share":0.64}},{{"name":"firm-b","quotaPerS":36,"share":0.36}}],
"extra":{{"apiRate":80,"apiTimeoutMs":800,"autoAfterMs":0,"ballotTtlMs":4000,"capScope":"all","control":"by_count","exposureCaps":[0.14,0.49,1.0],"foundShare":0.15,"free":2,"harmFee":5,"layout":"parallel","minDwellMs":1000,"oneWay":false,"rings":[0.1,0.35,1.0],"safeOnlyStages":0,"sample":0.4,"staleBuildPrice":0.45,"tallyEveryMs":1000,"toAbort":1,"toPause":0,"toldEveryMs":2000,"votesToGo":2,"windowMs":3000}},
"invariants":{{"askWithinMs":10000,"coldFrom":0.42,"coldMs":5000,"drainGraceMs":1000,"fallMs":1000,"graceToAnswerMs":20,"overloadFactor":3}},
"permissions":{{"attemptsCap":5,"cancel":true,"cpuUsPerRequest":0,"cpuUsPerS":750000,"dialTimeoutMs":250,"idleCloseMs":30000,"maxOpen":30000,"maxRetryAfterMs":2000,"parallelTries":true,"peers":false,"probing":true,"retryAfter":true,"streamsPerConn":1}},
"charges":{{"crossZone":0.01,"handshake":0.0,"waste":0.08}},"reporting":{{"how":"probe","columns":["tps"]}},"clients":{{"marksRetry":true}}}}"#,
        lanes.join(",")
    )
}

/// The `run` command of the deploy file.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))
        .unwrap_or_else(|err| cannot(&err.to_string()));
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("run = \""))
        .unwrap_or_else(|| cannot("no run in the deploy file"));
    line[..line.find('"').unwrap()].to_string()
}

/// Ends the script: the case could not run.
pub fn cannot(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}

impl Node {
    pub fn start(root: &Path, machines: &[Machine], platform: &Platform) -> Node {
        let folder = std::env::temp_dir().join(format!(
            "rockpick-review-{}-{}",
            std::process::id(),
            SEEDS.fetch_add(1, SeqCst)
        ));
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        let free = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = free.local_addr().unwrap();
        drop(free);
        let config = format!(
            r#"{{"name":"n0","listen":"{at}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"platform":{{"address":"{}","news":{{"version":41,"step":2,"status":"stable","maxWeight":1.0,"observedAgoMs":600000}}}},
"known":{},"settings":{}}}"#,
            platform.discovery,
            random().0,
            platform.desk,
            hosts(machines),
            settings()
        );
        let file = folder.join("config.json");
        std::fs::write(&file, config).unwrap();
        let log = std::fs::File::create(folder.join("log")).unwrap();
        let mut command = Command::new("/bin/sh");
        // The process ends with this program, however that ends.
        // SAFETY: one plain system call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .args(["-c", &run_command(root)])
            .current_dir(root)
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", at.to_string())
            .env("PROXY_DISCOVERY", platform.discovery.to_string())
            .env("PROXY_CONFIG", &file)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|err| cannot(&err.to_string()));
        let mut node = Node { child, at, folder };
        let began = now();
        // The front admits a front node once it has answered an empty query.
        while !Client::connect(at).is_ok_and(|mut client| client.empty_query()) {
            if now() - began > 30_000.0 || node.ended() {
                cannot("the node does not become ready");
            }
            sleep_ms(20.0);
        }
        note(format!("node ready at {at}"));
        node
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a plain system call, for a process that this program started and has not yet waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Lines of the node's log that contain a text.
    pub fn log_lines(&self, text: &str) -> usize {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value(String),
    /// 53300 or 57P03: trying again is harmless.
    Refused,
    Failed(String),
    /// The connection ended without an answer: by a reset, or by a close.
    Reset,
    Closed,
    /// No answer within the time.
    Silent,
}

pub struct Client {
    pub io: TcpStream,
    pub welcomed: bool,
}

impl Client {
    /// Connects and writes the startup message.
    pub fn connect(at: SocketAddr) -> io::Result<Client> {
        let mut io = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
        io.set_nodelay(true)?;
        io.write_all(&startup_message())?;
        Ok(Client { io, welcomed: false })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.io.write_all(&query_message(text))
    }

    /// Reads the answer to one command, for `within` ms at most.
    pub fn answer(&mut self, within: f64) -> Answer {
        let until = now() + within;
        let mut seen = None;
        loop {
            let left = until - now();
            if left <= 0.0 {
                return Answer::Silent;
            }
            let _ = self.io.set_read_timeout(Some(Duration::from_secs_f64(left.max(1.0) / 1e3)));
            match read_message(&mut self.io) {
                Ok((b'D', body)) => {
                    seen = Some(Answer::Value(String::from_utf8_lossy(&body[6..]).to_string()))
                }
                Ok((b'I', _)) => seen = Some(Answer::Value(String::new())),
                Ok((b'E', body)) => {
                    let text = String::from_utf8_lossy(&body).to_string();
                    let code =
                        text.split('\0').find_map(|field| field.strip_prefix('C')).unwrap_or("").to_string();
                    let fatal = text.starts_with("SFATAL");
                    let answer = if code == "53300" || code == "57P03" {
                        Answer::Refused
                    } else {
                        Answer::Failed(code)
                    };
                    if fatal {
                        return answer;
                    }
                    seen = Some(answer);
                }
                Ok((b'Z', _)) if !self.welcomed => self.welcomed = true,
                Ok((b'Z', _)) => {
                    return seen.unwrap_or(Answer::Failed("no answer before ReadyForQuery".into()))
                }
                Ok(_) => {}
                Err(_) if seen.is_some() && self.welcomed => return seen.unwrap(),
                Err(err) => {
                    return match err.kind() {
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Answer::Silent,
                        io::ErrorKind::UnexpectedEof => Answer::Closed,
                        _ => Answer::Reset,
                    }
                }
            }
        }
    }

    /// Waits for the answer to the startup message.
    pub fn wait_welcome(&mut self, within: f64) -> bool {
        let _ = self.io.set_read_timeout(Some(Duration::from_secs_f64(within / 1e3)));
        while !self.welcomed {
            match read_message(&mut self.io) {
                Ok((b'Z', _)) => self.welcomed = true,
                Ok((b'E', _)) | Err(_) => return false,
                Ok(_) => {}
            }
        }
        true
    }

    fn empty_query(&mut self) -> bool {
        self.send("").is_ok() && self.answer(1_000.0) == Answer::Value(String::new())
    }
}

pub fn attempts_by_id() -> HashMap<u64, Vec<Attempt>> {
    let mut by_id: HashMap<u64, Vec<Attempt>> = HashMap::new();
    for attempt in ATTEMPTS.lock().unwrap().iter() {
        by_id.entry(attempt.id).or_default().push(attempt.clone());
    }
    by_id
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A new id of a request.
pub fn new_id() -> u64 {
    let n = IDS.fetch_add(1, SeqCst);
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn main() {
    now();
    let mut words = std::env::args().skip(1);
    let (case, root, folder) = (words.next(), words.next(), words.next());
    let (Some(case), Some(root), Some(folder)) = (case, root, folder) else {
        cannot("usage: kit CASE ROOT FOLDER");
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_default() != "0";
    let root = PathBuf::from(root);
    let broken = match case.as_str() {
        "stop" => stop::run(&root, trouble),
        "copies" => copies::run(&root, trouble),
        "drain" => drain::run(&root, trouble),
        _ => cannot("no such case"),
    };
    write_record(&Path::new(&folder).join("record.txt"));
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}
