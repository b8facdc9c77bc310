//! Case: while a crowd at discovery turns a node's calls away, it goes on giving new work to machines that were taken out.
#[path = "../kit-2/kit.rs"]
mod kit;
use kit::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Front nodes side by side; they share nothing, so each is a trial of its own.
const NODES: usize = 12;
const MACHINES: usize = 8;
/// `herd+mass`: "discovery is down for 8 s", then it "has too many callers".
const DOWN_AT: u64 = 3_000;
const DOWN_FOR: u64 = 8_000;
const CROWD_FOR: u64 = 16_000;
/// Machines taken out, with the time since discovery is back.
const DRAINS: [(usize, u64); 2] = [(0, 1_000), (1, 3_000)];
/// In the crowd one call of four is served, the others end with 503 after this time.
const GIVEN_UP_AFTER: u64 = 2_000;
const SERVED_SHARE: f64 = 0.25;
/// A change counts as told 6 s after discovery had it and could be reached; then the grace, the slack of 50 ms, and 100 ms
/// for the stand-ins' own clock.
const LATE_AFTER: u64 = 6_000 + 1_000 + 50 + 100;
const END_AT: u64 = DOWN_AT + DOWN_FOR + CROWD_FOR + 2_000;

#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Serves,
    Down,
    Crowded,
}

struct Lists {
    mode: Mode,
    hosts: Vec<Host>,
    /// The change that led to each version.
    changes: BTreeMap<u64, Host>,
    seq: u64,
    rng: Rng,
}

#[derive(Clone)]
struct Service {
    at: SocketAddr,
    lists: Arc<Mutex<Lists>>,
}

impl Service {
    fn start(hosts: &[Host], record: &Record) -> Service {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let lists = Lists { mode: Mode::Serves, hosts: hosts.to_vec(), changes: BTreeMap::new(), seq: 41, rng: Rng(std::process::id().into()) };
        let service = Service { at, lists: Arc::new(Mutex::new(lists)) };
        let (served, record) = (service.clone(), record.clone());
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let (served, record) = (served.clone(), record.clone());
                thread::spawn(move || served.serve(io, &record));
            }
        });
        service
    }

    fn mode(&self) -> Mode {
        self.lists.lock().unwrap().mode
    }

    fn serve(&self, io: TcpStream, record: &Record) -> Option<()> {
        let mut out = io.try_clone().ok()?;
        let mut lines = BufReader::new(io);
        let mut request = String::new();
        lines.read_line(&mut request).ok()?;
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if line == "\r\n" {
                break;
            }
        }
        let caller = if request.contains("watch=1") { "a node" } else { "another caller" };
        match self.mode() {
            Mode::Serves => {}
            // The connection ends without an answer.
            Mode::Down => return None,
            Mode::Crowded => {
                let served = self.lists.lock().unwrap().rng.fraction() < SERVED_SHARE;
                thread::sleep(ms(GIVEN_UP_AFTER - if served { 100 } else { 0 }));
                record.write(&format!("discovery {} the call of {caller}", if served { "serves" } else { "gives up (503)" }));
                if !served {
                    return out.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok();
                }
            }
        }
        if !request.contains("watch=1") {
            let body = { let lists = self.lists.lock().unwrap(); list_json(lists.seq, true, &lists.hosts) };
            return write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok();
        }
        write!(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let after = request.split("after=").nth(1).and_then(|n| n.split([' ', '&']).next()).and_then(|n| n.parse().ok());
        let (mut sent, mut quiet_since): (u64, Option<Instant>) = (after.unwrap_or(0), None);
        loop {
            if self.mode() == Mode::Down {
                return None;
            }
            let news: Vec<String> = {
                let lists = self.lists.lock().unwrap();
                let news = lists.changes.range(sent + 1..).map(|(seq, h)| list_json(*seq, false, &[h.clone()])).collect();
                sent = sent.max(lists.seq);
                news
            };
            let idle = quiet_since.is_none_or(|since| since.elapsed() >= ms(2_000));
            let news = if news.is_empty() && idle { vec![String::new()] } else { news };
            for line in &news {
                write!(out, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
            }
            if !news.is_empty() {
                quiet_since = Some(Instant::now());
            }
            thread::sleep(ms(2));
        }
    }
}

type Arrivals = Arc<Mutex<Vec<(usize, Instant, String)>>>;

/// A sound machine. One that is being drained completes what it gets.
fn machine(number: usize, arrivals: Arrivals, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let (arrivals, record) = (arrivals.clone(), record.clone());
            thread::spawn(move || {
                let mut io = io;
                io.set_nodelay(true).ok()?;
                read_startup(&mut io)?;
                io.write_all(&welcome()).ok()?;
                while let Some((b'Q', body)) = read_message(&mut io) {
                    let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
                    let id = field(&text, "id").unwrap_or("?").to_string();
                    arrivals.lock().unwrap().push((number, Instant::now(), id.clone()));
                    record.write(&format!("s-{number} got {id} and runs it"));
                    thread::sleep(ms(20));
                    io.write_all(&row(&value_of(&id))).ok()?;
                }
                None::<()>
            });
        }
    });
    at
}

fn main() {
    let folder = std::path::PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder")));
    let record = Record::create(&folder.join("record.txt"));
    let arrivals: Arrivals = Arc::default();
    let hosts: Vec<Host> = (0..MACHINES).map(|i| Host::new(&format!("s-{i}"), machine(i, arrivals.clone(), record.clone()))).collect();
    let service = Service::start(&hosts, &record);
    let platform = Platform::start(41);
    // The kit's starter wants a discovery for address and list.
    let known = Discovery::at_address(service.at, &hosts);
    let lanes = [lane("return-lookup", "free", 3_000, ""), lane("return-lodge", "single_shot", 3_000, "")];
    let conf = settings(&lanes).replace("\"balancers\":2", &format!("\"balancers\":{NODES}"));
    let nodes: Vec<Node> = (0..NODES).map(|_| Node::start(&known, &platform, &conf, 192, 1_024)).collect();
    let began = Instant::now();
    let end = began + ms(END_AT);
    let (served, other) = (Counter::default(), Counter::default());
    for (n, node) in nodes.iter().enumerate() {
        for c in 0..2u64 {
            let (at, served, other, record) = (node.at, served.clone(), other.clone(), record.clone());
            thread::spawn(move || {
                let (mut rng, mut client) = (Rng(n as u64 * 10 + c), None);
                // The node's number is in the id.
                let mut id = 0x8000_0000_0000_0000 + ((n as u64) << 48) + (c << 40);
                while Instant::now() < end {
                    let Some(io) = client.as_mut() else {
                        client = Client::connect(at);
                        thread::sleep(ms(20));
                        continue;
                    };
                    id += 1;
                    record.write(&format!("client {c} of node {n} sends {id:016x}"));
                    let answer = io.rpc(&lookup(id, rng.next(), "return-lookup", 3_000));
                    record.write(&format!("client {c} of node {n} answer to {id:016x}: {}", match &answer {
                        Answer::Value(value) => String::from_utf8_lossy(value).into_owned(),
                        answer => format!("{answer:?}"),
                    }));
                    match answer {
                        Answer::Value(_) => served.add(),
                        Answer::Closed | Answer::Silent => {
                            client = None;
                            other.add()
                        }
                        _ => other.add(),
                    };
                    thread::sleep(ms(40 + rng.next() % 60));
                }
            });
        }
    }
    // Another caller of discovery, which shows that it can be reached.
    let (other_at, other_record) = (service.at, record.clone());
    thread::spawn(move || {
        while Instant::now() < end {
            thread::sleep(ms(400));
            let record = other_record.clone();
            thread::spawn(move || {
                let mut io = TcpStream::connect(other_at).ok()?;
                io.write_all(b"GET /v1/endpoints HTTP/1.1\r\nHost: d\r\n\r\n").ok()?;
                let mut line = String::new();
                BufReader::new(io).read_line(&mut line).ok()?;
                record.write(&format!("another caller is answered: {}", line.trim()));
                None::<()>
            });
        }
    });
    let set_mode = |mode: Mode, what: &str| {
        record.write(what);
        service.lists.lock().unwrap().mode = mode;
    };
    let until = |at: u64| thread::sleep((began + ms(at)).saturating_duration_since(Instant::now()));
    until(DOWN_AT);
    if trouble() {
        set_mode(Mode::Down, "discovery goes down");
    }
    until(DOWN_AT + DOWN_FOR);
    if trouble() {
        set_mode(Mode::Crowded, "discovery is back, and has too many callers");
    }
    let mut drained = Vec::new();
    for (number, after) in DRAINS {
        until(DOWN_AT + DOWN_FOR + after);
        let mut lists = service.lists.lock().unwrap();
        lists.hosts[number].health = "leaving";
        lists.seq += 1;
        let (seq, host) = (lists.seq, lists.hosts[number].clone());
        lists.changes.insert(seq, host);
        drained.push((number, Instant::now()));
        record.write(&format!("discovery lists s-{number} as leaving"));
    }
    until(DOWN_AT + DOWN_FOR + CROWD_FOR);
    set_mode(Mode::Serves, "discovery serves every call");
    until(END_AT);
    drop(nodes);
    let arrivals = arrivals.lock().unwrap();
    let (mut late, mut by_node, mut latest) = (0, std::collections::BTreeSet::new(), Duration::ZERO);
    for (number, listed) in &drained {
        for (_, at, id) in arrivals.iter().filter(|a| a.0 == *number && a.1 > *listed) {
            let after = *at - *listed;
            let is_late = after > ms(LATE_AFTER);
            record.write(&format!("s-{number} got {id} {} ms after it was listed as leaving{}", after.as_millis(), if is_late { ": LATE" } else { "" }));
            if is_late {
                late += 1;
                latest = latest.max(after);
                by_node.insert(u64::from_str_radix(id, 16).unwrap_or(0) >> 48 & 0xff);
            }
        }
    }
    let line = format!(
        "served {}, other answers {}; new work for machines taken out, later than the rule allows: {late}, by {} of {NODES} nodes, up to {} ms after it was listed",
        served.get(), other.get(), by_node.len(), latest.as_millis()
    );
    record.write(&line);
    println!("{line}");
    if served.get() < 500 {
        cannot_run("too few requests were served");
    }
    std::process::exit(i32::from(late > 0));
}
