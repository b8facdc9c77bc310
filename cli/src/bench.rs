//! `rockpick bench front`: one front on one core against direct calls and against a plain hyper proxy, all in
//! one run, so that only ratios count.
use crate::Bad2;
use clap::Args;
use hdrhistogram::Histogram;
use rockpick_control::{Controller, Settings};
use rockpick_net::{http, Call, CallEnd, Event, Net, Ns, MS, SEC};
use rockpick_peers::{Config, PeerService, Peers};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct Front {
    /// Seconds of each measurement.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// RPCs held open at once where throughput is measured.
    #[arg(long, default_value_t = 64)]
    open: usize,
    /// Idle client connections whose memory is measured.
    #[arg(long, default_value_t = 10_000)]
    idle: usize,
    /// The plain proxy to measure against (cargo build --release -p rockpick-proxy); beside this program if
    /// left out, and left out of the table if not there.
    #[arg(long)]
    proxy: Option<std::path::PathBuf>,
    /// Rounds; the median of each figure is shown.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Measures a front that keeps company too, with one that holds so many bindings.
    #[arg(long)]
    peers: Option<u64>,
}

/// The company of the front that is measured: another member, on a core of its own, that holds so many bindings.
fn companion(key: &std::path::Path, listen: SocketAddr, bindings: u64) -> Result<SocketAddr, Bad2> {
    let say = |err: std::io::Error| Bad2(err.to_string());
    let mut net = Net::new(1).map_err(say)?;
    let circle = Config {
        join: Vec::new(),
        listen,
        advertised: None,
        key: std::fs::read(key).map_err(say)?,
        probe_period: SEC / 10,
        row_log: None,
    };
    let mut peers = Peers::start(&mut net, "companion", 1, &circle, 1).map_err(Bad2)?;
    peers.preload_bindings(bindings, 1);
    let listen = peers.status(0)["listen"].as_str().and_then(|at| at.parse().ok());
    std::thread::spawn(move || {
        pin(None, MACHINES + 2);
        let mut events = Vec::new();
        while net.turn(&mut events, SEC).is_ok() {
            for event in events.drain(..) {
                match event {
                    Event::Datagram { from, bytes } => peers.handle_datagram(&mut net, from, &bytes),
                    Event::Timer { .. } => peers.handle_timer(&mut net),
                    _ => {}
                }
            }
        }
    });
    listen.ok_or(Bad2("the companion has no address".into()))
}

pub struct Proc(pub Child, pub SocketAddr);

impl Drop for Proc {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Keeps a process (or, without one, this thread) to one core, where the system lets it: else the scheduler
/// puts both ends of a busy connection on the same one now and then.
fn pin(pid: Option<u32>, core: usize) {
    let mut set = rustix::thread::CpuSet::new();
    set.set(core % std::thread::available_parallelism().map_or(1, |n| n.get()));
    let pid = pid.and_then(|p| rustix::process::Pid::from_raw(p as i32));
    let _ = rustix::thread::sched_setaffinity(pid, &set);
}

/// The cores of the load, of what is measured, and of the machines.
const LOAD: usize = 0;
const MEASURED: usize = 1;
const MACHINES: usize = 2;

pub fn spawn(mut command: Command) -> Result<Proc, Bad2> {
    let say = |err: std::io::Error| Bad2(err.to_string());
    let mut child =
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().map_err(say)?;
    let mut line = String::new();
    if let Some(out) = child.stdout.take() {
        BufReader::new(out).read_line(&mut line).map_err(say)?;
    }
    match line.trim().strip_prefix("listening ").and_then(|at| at.parse().ok()) {
        Some(at) => {
            pin(Some(child.id()), MEASURED);
            Ok(Proc(child, at))
        }
        None => Err(Bad2("a process did not come up".into())),
    }
}

/// A machine that answers at once, on a thread of its own; it beats by itself if a controller is given.
fn machine(name: &'static str, core: usize, controller: Option<SocketAddr>) -> Result<SocketAddr, Bad2> {
    let mut net = Net::new(20_000).map_err(|err| Bad2(err.to_string()))?;
    let (_, at) = net.listen(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(|err| Bad2(err.to_string()))?;
    std::thread::spawn(move || {
        pin(None, core);
        let (mut events, mut made) = (Vec::new(), Vec::new());
        net.wake_at(0, 1);
        loop {
            events.append(&mut made);
            if net.turn(&mut events, SEC).is_err() {
                return;
            }
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Request { conn, .. } => {
                        net.answer(conn, 200, &[("Content-Type", "text/plain")], b"good")
                    }
                    Event::Timer { .. } => {
                        let Some(to) = controller else { continue };
                        let body = format!(
                            "{{\"addr\":\"{at}\",\"place\":\"{name}\",\"build\":1,\"run\":1,\"age_ms\":3600000.0}}"
                        );
                        let target = format!("/machines/{name}");
                        let request = http::encode_request("POST", &target, "c", &[], body.as_bytes());
                        let call = Call {
                            to,
                            request: &request,
                            connect_within: SEC,
                            stream: false,
                            head_only: false,
                        };
                        net.call(&mut made, call);
                        net.wake_at(net.now() + SEC / 2, 1);
                    }
                    _ => {}
                }
            }
        }
    });
    Ok(at)
}

/// What is due within one of these goes together.
const SPAN: Ns = 200 * MS;
/// Times are not taken before this on a schedule.
const OPENS: Ns = 100 * MS;
/// Most RPCs open on a schedule; those due meanwhile are sent late, and count from when they were due.
const MOST_OPEN: usize = 1_024;

struct Measured {
    a_second: f64,
    times: Histogram<u64>,
    /// On a schedule, by when they were due.
    spans: Vec<Histogram<u64>>,
    failed: u64,
}

/// Sends to some addresses: with a rate, on a schedule fixed beforehand, late sends counted from when they
/// were due; without one, as many as are held open.
fn load(to: &[SocketAddr], open: usize, rate: Option<f64>, lasts: Ns) -> Result<Measured, Bad2> {
    let say = |err: String| Bad2(err);
    let mut net = Net::new(1).map_err(|err| say(err.to_string()))?;
    let mut times = Histogram::new_with_bounds(1, 60_000_000_000, 3).map_err(|err| say(err.to_string()))?;
    let many = rate.map_or(0, |_| (lasts / SPAN) as usize + 1);
    let mut spans: Vec<Histogram<u64>> = (0..many).map(|_| times.clone()).collect();
    let lines = [("Rockpick-Key", "7")];
    let requests: Vec<Vec<u8>> = to
        .iter()
        .map(|at| http::encode_request("POST", "/rpc/lookup", &at.to_string(), &lines, b"hello"))
        .collect();
    let (mut events, mut made) = (Vec::new(), Vec::new());
    let mut due: std::collections::HashMap<u64, Ns> = std::collections::HashMap::new();
    let (mut nth, mut ok, mut failed) = (0usize, 0u64, 0u64);
    let mut next: Ns = 0;
    let gap = rate.map_or(0, |r| (SEC as f64 / r) as Ns);
    loop {
        let now = net.clock();
        let sending = now < lasts;
        if !sending && due.is_empty() {
            break;
        }
        while sending
            && due.len() < if rate.is_some() { MOST_OPEN } else { open }
            && (rate.is_none() || next <= now)
        {
            let which = nth % to.len();
            nth += 1;
            let request = &requests[which];
            let call = Call { to: to[which], request, connect_within: SEC, stream: false, head_only: false };
            let id = net.call(&mut made, call);
            due.insert(id, if rate.is_some() { next } else { now });
            next += gap;
        }
        events.append(&mut made);
        // With a schedule it spins: a sleep could be a millisecond too long.
        let wait = if rate.is_some() && sending { 0 } else { 10 * MS };
        net.turn(&mut events, wait).map_err(|err| say(err.to_string()))?;
        let now = net.clock();
        for event in events.drain(..) {
            let Event::CallEnded { call, end } = event else { continue };
            let Some(at) = due.remove(&call) else { continue };
            match end {
                CallEnd::Answer(r) if r.status == 200 => {
                    ok += 1;
                    // The first connections are made meanwhile: of a short load they would be a hundredth.
                    let took = (now - at).max(1) as u64;
                    if at >= OPENS || rate.is_none() {
                        let _ = times.record(took);
                    }
                    if let Some(span) = spans.get_mut((at / SPAN) as usize) {
                        let _ = span.record(took);
                    }
                }
                _ => failed += 1,
            }
        }
        if now > lasts + 10 * SEC {
            return Err(say("answers stayed away".into()));
        }
    }
    Ok(Measured { a_second: ok as f64 / (lasts as f64 / SEC as f64), times, spans, failed })
}

/// User and system CPU time of a process so far, in clock ticks of 10 ms.
pub fn cpu(pid: u32) -> [f64; 2] {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    [11, 12].map(|i| rest.get(i).and_then(|v| v.parse().ok()).unwrap_or(0.0))
}

/// A field of a process's memory (VmRSS: now; VmHWM: the most so far), in bytes.
pub fn memory(pid: u32, field: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(field)?.strip_prefix(':'));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}

/// A front under an even load of this, while it takes bindings from one that comes up two seconds in.
const MEANWHILE: f64 = 5_000.0;
const COMES_UP: Duration = Duration::from_secs(2);

impl Front {
    /// p99 of each fifth of a second, before another comes up and while its bindings are taken.
    fn catching_up(
        &self, bindings: u64, begin: impl Fn(SocketAddr) -> Result<Proc, Bad2>, key: &std::path::Path,
    ) -> Result<(), Bad2> {
        let say = |err: std::io::Error| Bad2(err.to_string());
        let at = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).map_err(say)?;
        let front = begin(at)?;
        load(&[front.1], self.open, None, 2 * SEC)?;
        let key = key.to_path_buf();
        let company = std::thread::spawn(move || {
            std::thread::sleep(COMES_UP);
            companion(&key, at, bindings)
        });
        let m = load(&[front.1], self.open, Some(MEANWHILE), 8 * SEC)?;
        company.join().map_err(|_| Bad2("the companion ended".into()))??;
        let answer = crate::ask::call(front.1, "GET", "/peers", "")?;
        let shown: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let p99: Vec<u64> = m.spans.iter().map(|s| s.value_at_quantile(0.99) / 1_000).collect();
        println!(
            "catching up on {bindings} bindings at {MEANWHILE:.0} RPCs/s, p99 us of each {} ms; the other comes up after {} s: {p99:?}; \
             held then: {}",
            SPAN / MS,
            COMES_UP.as_secs(),
            shown["copies"]["rows"]["Bindings"]
        );
        Ok(())
    }

    pub fn run(self) -> Result<ExitCode, Bad2> {
        if !((0.5..=3_600.0).contains(&self.seconds) && self.open > 0 && (1..=99).contains(&self.rounds)) {
            return Err(Bad2("--seconds 0.5 to 3600, --open 1 or more, --rounds 1 to 99".into()));
        }
        let (to, from) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let listen = SocketAddr::from(([127, 0, 0, 1], 0));
            Controller { listen, state: None, repo: None }.run(|at| {
                let _ = to.send(at);
            })
        });
        let controller = from.recv().map_err(|err| Bad2(err.to_string()))?;
        // One that is told that it is alone has nothing to take from others.
        let mut charter = Settings::example(if self.peers.is_some() { 2 } else { 1 }, 2);
        charter.rollout.tally_sample = 0.0;
        charter.rollout.one_way = self.peers.is_some();
        let text = serde_json::to_string(&charter).map_err(|err| Bad2(err.to_string()))?;
        crate::ask::call(controller, "PUT", "/settings", &text)?;
        let machines =
            vec![machine("p0", MACHINES, Some(controller))?, machine("p1", MACHINES + 1, Some(controller))?];
        let program = std::env::current_exe().map_err(|err| Bad2(err.to_string()))?;
        let key = tempfile::NamedTempFile::new().map_err(|err| Bad2(err.to_string()))?;
        std::fs::write(key.path(), "the key of a measurement").map_err(|err| Bad2(err.to_string()))?;
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let circle = |join: SocketAddr| -> Vec<String> {
            let (join, file) = (join.to_string(), key.path().display().to_string());
            let words = ["--peers-listen", "127.0.0.1:0", "--peers-key", &file, "--peers", &join];
            words.into_iter().chain(["--peers-period-ms", "100"]).map(String::from).collect()
        };
        let begin = |profile: bool, more: &[String]| -> Result<Proc, Bad2> {
            let mut command = Command::new(&program);
            command.args(["front", "--name", "f0", "--controller", &controller.to_string()]);
            if profile {
                command.arg("--profile");
            }
            command.args(more);
            let front = spawn(command)?;
            let by = Instant::now() + Duration::from_secs(10);
            while status(front.1)?["machines"] != 2 {
                if Instant::now() > by {
                    return Err(Bad2("the front heard of no machines".into()));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            Ok(front)
        };
        let front = begin(false, &[])?;
        let kept = match self.peers {
            Some(bindings) => Some(begin(false, &circle(companion(key.path(), anywhere, bindings)?))?),
            None => None,
        };
        let beside = program.parent().map(|dir| dir.join("rockpick-proxy"));
        let proxy = match self.proxy.clone().or(beside).filter(|p| p.exists()) {
            Some(path) => {
                let mut command = Command::new(path);
                command.args(machines.iter().map(SocketAddr::to_string));
                Some(spawn(command)?)
            }
            None => None,
        };
        pin(None, LOAD);
        let lasts = (self.seconds * SEC as f64) as Ns;
        let ways: Vec<(&str, Vec<SocketAddr>)> =
            [("direct", Some(machines.clone())), ("front", Some(vec![front.1]))]
                .into_iter()
                .chain([("proxy", proxy.as_ref().map(|p| vec![p.1]))])
                .chain([("peers", kept.as_ref().map(|f| vec![f.1]))])
                .filter_map(|(name, to)| Some((name, to?)))
                .collect();
        // A front that has served nothing yet takes little at first: that is not what is measured here.
        for (_, to) in &ways {
            load(to, self.open, None, SEC)?;
        }
        let mut fast: Vec<Vec<f64>> = vec![Vec::new(); ways.len()];
        let mut failed = 0;
        for _ in 0..self.rounds {
            for (i, (_, to)) in ways.iter().enumerate() {
                let m = load(to, self.open, None, lasts)?;
                failed += m.failed;
                fast[i].push(m.a_second);
            }
        }
        let fast: Vec<f64> = fast.into_iter().map(median).collect();
        // Half of what the slower of front and proxy can do, for all.
        let half = fast[1..].iter().copied().fold(f64::MAX, f64::min) / 2.0;
        let mut slow: Vec<[Vec<f64>; 2]> = ways.iter().map(|_| Default::default()).collect();
        for _ in 0..self.rounds {
            for (i, (_, to)) in ways.iter().enumerate() {
                let m = load(to, self.open, Some(half), lasts)?;
                failed += m.failed;
                for (j, q) in [0.5, 0.99].into_iter().enumerate() {
                    slow[i][j].push(m.times.value_at_quantile(q) as f64 / 1e3);
                }
            }
        }
        let slow: Vec<[f64; 2]> = slow.into_iter().map(|[a, b]| [median(a), median(b)]).collect();
        println!(
            "loopback, one run, {} rounds of {} s, {} RPCs open; half load is {half:.0} RPCs/s",
            self.rounds, self.seconds, self.open
        );
        println!(
            "{:<8} {:>10} {:>10} {:>12} {:>12}",
            "way", "RPCs/s", "of direct", "p50 us half", "p99 us half"
        );
        for (i, (name, _)) in ways.iter().enumerate() {
            println!(
                "{name:<8} {:>10.0} {:>10.2} {:>12.0} {:>12.0}",
                fast[i],
                fast[i] / fast[0],
                slow[i][0],
                slow[i][1]
            );
        }
        println!(
            "front adds p50 {:.0} us, p99 {:.0} us to direct",
            slow[1][0] - slow[0][0],
            slow[1][1] - slow[0][1]
        );
        if let Some(bindings) = self.peers {
            self.catching_up(bindings, |join| begin(false, &circle(join)), key.path())?;
        }
        match fast.get(2).filter(|_| proxy.is_some()) {
            Some(proxy) => println!(
                "front against the plain proxy: {:.2} times its throughput (aim 1.5)",
                fast[1] / proxy
            ),
            None => println!("no proxy was measured: cargo build --release -p rockpick-proxy makes it"),
        }
        drop(proxy);
        let pid = front.0.id();
        let before = memory(pid, "VmRSS");
        let mut idle = Vec::new();
        while idle.len() < self.idle {
            match TcpStream::connect(front.1) {
                Ok(io) => idle.push(io),
                Err(err) => {
                    println!("only {} idle connections could be opened here: {err}", idle.len());
                    break;
                }
            }
        }
        let by = Instant::now() + Duration::from_secs(10);
        while status(front.1)?["clients"].as_u64().unwrap_or(0) < idle.len() as u64 && Instant::now() < by {
            std::thread::sleep(Duration::from_millis(50));
        }
        let grown = memory(pid, "VmRSS") - before;
        println!(
            "{} idle client connections: {:.1} MiB, {:.0} bytes each (kernel's part not counted)",
            idle.len(),
            grown / 1_048_576.0,
            grown / idle.len().max(1) as f64
        );
        drop(idle);
        drop(front);
        // The module's share is measured apart, as reading the clock around each call costs time itself.
        let front = begin(true, &[])?;
        load(&[front.1], self.open, None, SEC)?;
        let (began, in_module) = (cpu(front.0.id()), status(front.1)?["module_ms"].as_f64().unwrap_or(0.0));
        let m = load(&[front.1], self.open, None, lasts)?;
        let ended = cpu(front.0.id());
        let module = status(front.1)?["module_ms"].as_f64().unwrap_or(0.0) - in_module;
        let [user, system] = [0, 1].map(|i| (ended[i] - began[i]) * 10.0);
        let all = (user + system).max(1.0);
        println!("CPU of the front: {:.1} us an RPC; system calls {:.0}%, module {:.0}%, parsing, buffers and the rest {:.0}%",
            all * 1e3 / (m.a_second * self.seconds).max(1.0), 100.0 * system / all, 100.0 * module / all,
            100.0 * (user - module) / all);
        println!("RPCs that did not end ok meanwhile: {failed}");
        Ok(ExitCode::SUCCESS)
    }
}

fn status(front: SocketAddr) -> Result<Value, Bad2> {
    let answer = crate::ask::call(front, "GET", "/status", "")?;
    Ok(serde_json::from_slice(&answer.body).unwrap_or(Value::Null))
}
