//! Scripted peers for tests of the running binary: a controller and machines that respond as the test specifies, and processes
//! that end with the test.
#![allow(dead_code)]
use rockpick_control::Settings;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a condition is awaited before the test fails.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub struct Proc {
    pub child: Child,
    pub at: SocketAddr,
}

impl Drop for Proc {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the binary, optionally after a shell command in `prefix`, and waits for its address.
pub fn start_under(prefix: &str, args: &[&str]) -> Proc {
    start_with(prefix, args, Stdio::null())
}

/// The same, with the given standard error.
pub fn start_with(prefix: &str, args: &[&str], errors: Stdio) -> Proc {
    let program = env!("CARGO_BIN_EXE_rockpick");
    let mut command = Command::new("sh");
    command.arg("-c").arg(format!("{prefix} exec \"$0\" \"$@\"")).arg(program).args(args);
    let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(errors).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let at =
        line.trim().strip_prefix("listening ").unwrap_or_else(|| panic!("{args:?}: {line}")).parse().unwrap();
    Proc { child, at }
}

pub fn start(args: &[&str]) -> Proc {
    start_under("", args)
}

pub fn front(controller: SocketAddr, more: &[&str]) -> Proc {
    let controller = controller.to_string();
    let mut args = vec!["front", "--name", "f0", "--controller", &controller];
    args.extend(more);
    start(&args)
}

/// Reads a request's head and body.
fn read_request(io: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let (mut head, mut len) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if io.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            len = n.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line);
    }
    let mut body = vec![0; len];
    io.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// The value of a header.
pub fn header_value(head: &str, name: &str) -> String {
    let found = head.lines().filter_map(|l| l.split_once(':')).find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map_or(String::new(), |(_, v)| v.trim().to_string())
}

/// A controller that sends what the test specifies.
pub struct ScriptedController {
    pub at: SocketAddr,
    /// Bodies of votes and of counts.
    pub votes: Arc<Mutex<Vec<Value>>>,
    pub counts: Arc<Mutex<Vec<Value>>>,
    /// Number of connections that asked to watch.
    pub watches: Arc<AtomicU64>,
    /// The settings, their version, and how many requests for them are first answered with invalid content.
    pub settings: Arc<Mutex<(u64, Settings, u32)>>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl ScriptedController {
    pub fn start(settings: Settings) -> ScriptedController {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let controller = ScriptedController {
            at: listener.local_addr().unwrap(),
            votes: Arc::default(),
            counts: Arc::default(),
            watches: Arc::default(),
            settings: Arc::new(Mutex::new((1, settings, 0))),
            lines: Arc::default(),
        };
        let (votes, watches, lines) =
            (controller.votes.clone(), controller.watches.clone(), controller.lines.clone());
        let (settings, counts) = (controller.settings.clone(), controller.counts.clone());
        std::thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let (votes, watches, lines) = (votes.clone(), watches.clone(), lines.clone());
                let (settings, counts) = (settings.clone(), counts.clone());
                std::thread::spawn(move || serve(io, &settings, [&votes, &counts], &watches, &lines));
            }
        });
        controller
    }

    /// Replaces the settings and announces them; the first `invalid` requests for them get invalid content.
    pub fn set_settings(&self, new: Settings, invalid: u32) -> u64 {
        let mut settings = self.settings.lock().unwrap();
        *settings = (settings.0 + 1, new, invalid);
        self.push_line(json!({ "settings_version": settings.0 }));
        settings.0
    }

    /// Adds a line to the watch. Every watch gets all lines from the first on.
    pub fn push_line(&self, line: Value) {
        self.lines.lock().unwrap().push(line.to_string());
    }

    /// Drops the lines so far: watches that start from now on begin with the next.
    pub fn clear_lines(&self) {
        self.lines.lock().unwrap().clear();
    }

    pub fn stage(&self, build: u32, stage: u32, phase: &str, cap: f64) {
        self.push_line(
            json!({ "stage": { "build": build, "stage": stage, "phase": phase, "cap": cap, "age_ms": 10 } }),
        );
    }

    /// Sends the whole roster: name, address, build, state; all have been warm for long.
    pub fn roster(&self, kind: &str, members: &[(&str, SocketAddr, u32, &str)]) {
        let line = |(name, addr, build, state): &(&str, SocketAddr, u32, &str)| {
            json!({ "name": name, "addr": addr.to_string(), "zone": 0, "cell": 0, "build": build, "run": 1,
                "weight": 1.0, "state": state, "age_ms": 3_600_000.0 })
        };
        let members: Vec<Value> = members.iter().map(line).collect();
        self.push_line(json!({ "roster": { "kind": kind, "serial": 1, "members": members } }));
    }
}

fn serve(
    io: TcpStream, settings: &Mutex<(u64, Settings, u32)>, posted: [&Mutex<Vec<Value>>; 2],
    watches: &AtomicU64, lines: &Mutex<Vec<String>>,
) {
    let mut out = io.try_clone().unwrap();
    let mut io = BufReader::new(io);
    while let Some((head, body)) = read_request(&mut io) {
        let answer = if head.starts_with("GET /watch") {
            watches.fetch_add(1, Ordering::SeqCst);
            let _ = out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let mut sent = 0;
            loop {
                let fresh: Vec<String> = lines.lock().unwrap().iter().skip(sent).cloned().collect();
                sent += fresh.len();
                for line in fresh {
                    if out.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_err() {
                        return;
                    }
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        } else if head.starts_with("GET /settings") {
            let mut settings = settings.lock().unwrap();
            if settings.2 > 0 {
                settings.2 -= 1;
                json!("nonsense")
            } else {
                json!({ "version": settings.0, "settings": settings.1 })
            }
        } else {
            for (start, kept) in ["POST /votes", "POST /counts"].iter().zip(posted) {
                if head.starts_with(start) {
                    kept.lock().unwrap().push(serde_json::from_slice(&body).unwrap());
                }
            }
            json!({ "counted": true })
        };
        let text = answer.to_string();
        if write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()).is_err() {
            return;
        }
    }
}

/// A machine that responds as specified and passes the requests it receives on to `requests`.
pub struct ScriptedMachine {
    pub at: SocketAddr,
    pub requests: Receiver<String>,
}

/// What a scripted machine does with a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    Responds,
    /// Responds with 500.
    Fails,
    Hangs,
    Truncates,
    /// Announces a length greater than the body's.
    WrongLength,
    /// Closes without a response.
    Closes,
    /// Responds with 503 and states that the request never ran.
    NeverRuns,
    /// Responds with 503 alone.
    Unavailable,
    /// Responds with [`LONG_BODY_LEN`] bytes.
    RespondsLong,
}

/// More than fits into the buffers of a connection with a small window.
pub const LONG_BODY_LEN: usize = 1_000_000;

impl ScriptedMachine {
    pub fn start(behavior: Behavior) -> ScriptedMachine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (to, requests) = channel();
        std::thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let (to, long_body) = (to.clone(), vec![b'x'; LONG_BODY_LEN]);
                std::thread::spawn(move || {
                    let mut out = io.try_clone().unwrap();
                    let mut io = BufReader::new(io);
                    while let Some((head, _)) = read_request(&mut io) {
                        let _ = to.send(head);
                        let response: &[u8] = match behavior {
                            Behavior::Responds => b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
                            Behavior::Fails => b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                            Behavior::NeverRuns => {
                                b"HTTP/1.1 503 No\r\nRockpick-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                            }
                            Behavior::Unavailable => b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                            Behavior::Truncates => b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nha",
                            Behavior::WrongLength => b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngood",
                            Behavior::Hangs => continue,
                            Behavior::Closes => return,
                            Behavior::RespondsLong => {
                                let _ =
                                    write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_LEN}\r\n\r\n");
                                &long_body
                            }
                        };
                        if out.write_all(response).is_err()
                            || matches!(behavior, Behavior::Truncates | Behavior::WrongLength)
                        {
                            return;
                        }
                    }
                });
            }
        });
        ScriptedMachine { at, requests }
    }
}

/// Sends an RPC and reads the whole response: status, head and body. Status 0 means that none came.
pub fn rpc(front: SocketAddr, method: &str, lines: &str) -> (u16, String) {
    let Ok(mut io) = TcpStream::connect(front) else { return (0, String::new()) };
    io.set_read_timeout(Some(TIMEOUT)).unwrap();
    let text = format!(
        "POST /rpc/{method} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n{lines}Content-Length: 2\r\n\r\nhi"
    );
    io.write_all(text.as_bytes()).unwrap();
    let mut response = String::new();
    let _ = io.read_to_string(&mut response);
    (response.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0), response)
}

pub fn get(at: SocketAddr, target: &str) -> Value {
    let answer = rockpick_rehearse::call(at, "GET", target, "").unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

/// Creates a pipe without a reader in place of a file, to imitate a disk that does not respond.
pub fn create_fifo(at: &std::path::Path) {
    assert!(Command::new("mkfifo").arg(at).status().unwrap().success());
}

pub fn signal(proc: &Proc, signal: rustix::process::Signal) {
    let pid = rustix::process::Pid::from_raw(proc.child.id() as i32).unwrap();
    rustix::process::kill_process(pid, signal).unwrap();
}

pub fn put(at: SocketAddr, settings: &Settings) -> rockpick_net::http::Response {
    rockpick_rehearse::call(at, "PUT", "/settings", &serde_json::to_string(settings).unwrap()).unwrap()
}

/// Waits until a front lists this many machines.
pub fn wait_for_machines(front: &Proc, machines: u64) {
    wait_until("the roster at the front", || get(front.at, "/status")["machines"] == machines);
}
