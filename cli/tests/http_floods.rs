//! The front and the controller under floods of HTTP clients, as processes: their memory stays bounded, and usual clients are
//! served meanwhile.
mod peers;

use peers::{front, start, Proc};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: usize = 400;
const CLIENTS_PER_THREAD: usize = 8;
/// Memory for requests that are incomplete or not answered yet, of all clients, and what the program itself takes.
const MEMORY_LIMIT_KIB: u64 = (64 + 32) * 1024;
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// How long a usual client waits for its answer.
const ANSWER_TIME: Duration = Duration::from_secs(1);

fn own_memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Sends the beginning of a request and keeps the connection; returns none if the server has refused it.
fn stalls(at: SocketAddr, head: &[u8], body: &[u8]) -> Option<TcpStream> {
    let mut io = TcpStream::connect(at).ok()?;
    io.set_write_timeout(Some(Duration::from_millis(500))).ok()?;
    io.write_all(head).ok()?;
    for piece in body.chunks(64 * 1024) {
        io.write_all(piece).ok()?;
    }
    Some(io)
}

/// Asks for a small page, and returns whether an answer came in time.
fn is_served(at: SocketAddr, path: &str) -> bool {
    let Ok(mut io) = TcpStream::connect(at) else { return false };
    io.set_read_timeout(Some(ANSWER_TIME)).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut answer = [0; 64];
    io.write_all(request.as_bytes()).is_ok() && matches!(io.read(&mut answer), Ok(1..))
}

/// What was seen of a server beside a flood: its largest memory, and how many usual requests were served of those asked.
#[derive(Debug, Default)]
struct Seen {
    memory_kib: u64,
    served: usize,
    asked: usize,
}

impl Seen {
    fn assert_unharmed(&self, what: &str) {
        println!("{what}: {self:?}");
        assert!(self.memory_kib < MEMORY_LIMIT_KIB, "{what}: {self:?}");
        assert_eq!(self.served, self.asked, "{what}");
    }
}

/// Runs a flood until it is over, and watches the server meanwhile.
fn watch<T: Send>(server: &Proc, path: &str, flood: impl FnOnce(&AtomicBool) -> T + Send) -> (Seen, T) {
    let over = AtomicBool::new(false);
    let mut seen = Seen::default();
    let result = std::thread::scope(|scope| {
        let flood = scope.spawn(|| flood(&over));
        let began = Instant::now();
        while began.elapsed() < FLOOD_TIME {
            seen.memory_kib = seen.memory_kib.max(own_memory_kib(server.child.id()));
            seen.asked += 1;
            seen.served += usize::from(is_served(server.at, path));
            std::thread::sleep(Duration::from_millis(20));
        }
        over.store(true, Ordering::SeqCst);
        flood.join().unwrap()
    });
    (seen, result)
}

/// Hundreds of clients that stop in the middle of a request.
fn stall_clients(at: SocketAddr, over: &AtomicBool, head: &[u8], body: &[u8]) {
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS / CLIENTS_PER_THREAD {
            scope.spawn(|| {
                let mut held = Vec::new();
                while !over.load(Ordering::SeqCst) {
                    if held.len() < CLIENTS_PER_THREAD {
                        held.extend(stalls(at, head, body));
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
}

fn assert_unharmed_by_incomplete_requests(server: &Proc, path: &str) {
    let large = b"PUT /settings HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n";
    let fields: String = (0..1_300).map(|_| "a:b\r\n").collect();
    let short_fields = format!("GET / HTTP/1.1\r\nHost: a\r\n{fields}");
    for (head, body) in [(&large[..], vec![b' '; 990_000]), (short_fields.as_bytes(), Vec::new())] {
        let (seen, ()) = watch(server, path, |over| stall_clients(server.at, over, head, &body));
        seen.assert_unharmed(path);
    }
}

/// Guards against a controller that is killed for its memory by clients that stop in the middle of a large request.
#[test]
fn hundreds_of_incomplete_requests_do_not_fill_the_memory_of_a_controller() {
    let controller = start(&["controller", "--listen", "127.0.0.1:0"]);
    assert_unharmed_by_incomplete_requests(&controller, "/stage");
}

/// The same for a front.
#[test]
fn hundreds_of_incomplete_requests_do_not_fill_the_memory_of_a_front() {
    let controller = start(&["controller", "--listen", "127.0.0.1:0"]);
    let front = front(controller.at, &[]);
    assert_unharmed_by_incomplete_requests(&front, "/status");
}

/// Sends requests on one connection at full speed, reading what comes, and opens another one where it is closed. Returns how
/// many were sent.
fn send_at_full_speed(at: SocketAddr, over: &AtomicBool, request: impl Fn(u64) -> String) -> u64 {
    let mut sent = 0;
    while !over.load(Ordering::SeqCst) {
        let Ok(mut io) = TcpStream::connect(at) else { continue };
        io.set_read_timeout(Some(ANSWER_TIME)).unwrap();
        let mut answer = [0; 4096];
        while !over.load(Ordering::SeqCst) {
            let requests: String = (sent..sent + 16).map(&request).collect();
            if io.write_all(requests.as_bytes()).is_err() || !matches!(io.read(&mut answer), Ok(1..)) {
                break;
            }
            sent += 16;
        }
    }
    sent
}

/// Guards against a server that one client at full speed keeps from serving the others, or whose memory grows with each new
/// name: unknown pages, malformed heads, bodies and votes, new fronts, places, methods and keys each time.
#[test]
fn one_client_at_full_speed_neither_delays_others_nor_fills_the_memory() {
    let controller = start(&["controller", "--listen", "127.0.0.1:0"]);
    let front = front(controller.at, &[]);
    let post = |path: &str, headers: &str, body: &str| {
        format!("POST {path} HTTP/1.1\r\nHost: a\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    let malformed = |i: u64| match i % 4 {
        0 => format!("GET /page-{i} HTTP/1.1\r\nHost: a\r\n\r\n"),
        1 => post("/votes", "", "{\"front\":"),
        2 => post("/counts", "", &format!("{{\"front\":\"f{i}\",\"rows\":[[1,\"m{i}\",1,0]]}}")),
        _ => {
            post("/machines", "", &format!("{{\"name\":\"m{i}\",\"place\":\"p{i}\",\"at\":\"127.0.0.1:9\"}}"))
        }
    };
    let rpcs = |i: u64| match i % 3 {
        0 => post(&format!("/rpc/m{i}"), &format!("Rockpick-Key: k{i}\r\n"), "{}"),
        1 => post("/rpc/lookup", &format!("Rockpick-Key: k{i}\r\nRockpick-Tenant: t{i}\r\n"), "{}"),
        _ => post("/dispute", "", &format!("{{\"machine\":\"m{i}\"}}")),
    };
    let malformed_head = |i: u64| format!("GET /{i} HTTP/1.1\r\nHost a\r\n\r\n");
    type Requests<'a> = &'a (dyn Fn(u64) -> String + Sync);
    let plays: [(&Proc, &str, Requests); 4] = [
        (&controller, "/stage", &malformed),
        (&controller, "/stage", &malformed_head),
        (&front, "/status", &rpcs),
        (&front, "/status", &malformed_head),
    ];
    for (server, path, requests) in plays {
        let (seen, sent) = watch(server, path, |over| send_at_full_speed(server.at, over, requests));
        seen.assert_unharmed(&format!("{path}, {sent} sent"));
        assert!(sent > 0, "{path}");
    }
}

/// The same by datagrams to the port for peers: noise, and messages that nobody has signed, of any length.
#[test]
fn datagrams_at_full_speed_neither_delay_clients_nor_fill_the_memory_of_a_peered_front() {
    let free = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let peers_at = free.local_addr().unwrap();
    drop(free);
    let key = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(key.path(), "a key of sixteen bytes or more").unwrap();
    let controller = start(&["controller", "--listen", "127.0.0.1:0"]);
    let (address, key) = (peers_at.to_string(), key.path().to_str().unwrap());
    let front = front(controller.at, &["--peers-listen", &address, "--peers-key", key]);
    let (seen, sent) = watch(&front, "/peers", |over| {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut sent = 0u64;
        while !over.load(Ordering::SeqCst) {
            let noise =
                sent.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes().repeat(1 + sent as usize % 170);
            sent += u64::from(socket.send_to(&noise, peers_at).is_ok());
        }
        sent
    });
    seen.assert_unharmed(&format!("/peers, {sent} datagrams"));
    assert!(sent > 0);
}
