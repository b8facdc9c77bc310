//! `rockpick bench front`: compares one front on one core with direct calls and with a plain hyper proxy. All are measured
//! in one run; only the ratios are meaningful.
//!
//! Also holds the process helpers that other benchmarks share.
use crate::CliError;
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
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Number of concurrent RPCs while throughput is measured.
    #[arg(long, default_value_t = 64)]
    open: usize,
    /// Number of idle client connections for the memory measurement.
    #[arg(long, default_value_t = 10_000)]
    idle: usize,
    /// Program of the plain proxy to compare with (cargo build --release -p rockpick-proxy); by default the one next
    /// to this program. Without one, the table has no row for it.
    #[arg(long)]
    proxy: Option<std::path::PathBuf>,
    /// Number of rounds; the median of each figure is printed.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Also measure a front with a peer that holds this many bindings.
    #[arg(long)]
    peers: Option<u64>,
}

/// Starts a peer of the measured front, on a core of its own, that holds this many bindings; returns its address.
fn start_peer(key: &std::path::Path, listen: SocketAddr, bindings: u64) -> Result<SocketAddr, CliError> {
    let io_error = |err: std::io::Error| CliError(err.to_string());
    let mut net = Net::new(1).map_err(io_error)?;
    let config = Config {
        join: Vec::new(),
        listen,
        advertised: None,
        key: std::fs::read(key).map_err(io_error)?,
        probe_period: SEC / 10,
        row_log: None,
    };
    let mut peers = Peers::start(&mut net, "companion", 1, &config, 1).map_err(CliError)?;
    peers.preload_bindings(bindings, 1);
    let listen = peers.status(0)["listen"].as_str().and_then(|at| at.parse().ok());
    std::thread::spawn(move || {
        pin(None, MACHINE_CORE + 2);
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
    listen.ok_or(CliError("the peer has no address".into()))
}

/// A child process and the address it listens on; it is killed when dropped.
pub struct Proc(pub Child, pub SocketAddr);

impl Drop for Proc {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Pins a process (or, without one, this thread) to one core, if the system permits it. Otherwise the scheduler
/// occasionally puts both ends of a busy connection on the same core.
fn pin(pid: Option<u32>, core: usize) {
    let mut set = rustix::thread::CpuSet::new();
    set.set(core % std::thread::available_parallelism().map_or(1, |n| n.get()));
    let pid = pid.and_then(|p| rustix::process::Pid::from_raw(p as i32));
    let _ = rustix::thread::sched_setaffinity(pid, &set);
}

/// Cores of the load generator, of the measured process and of the first machine.
const LOAD_CORE: usize = 0;
const MEASURED_CORE: usize = 1;
const MACHINE_CORE: usize = 2;

/// Starts a process on the core of the measured one and reads its address from standard output.
pub fn spawn(mut command: Command) -> Result<Proc, CliError> {
    let io_error = |err: std::io::Error| CliError(err.to_string());
    let mut child = command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .map_err(io_error)?;
    let mut line = String::new();
    if let Some(out) = child.stdout.take() {
        BufReader::new(out).read_line(&mut line).map_err(io_error)?;
    }
    match line.trim().strip_prefix("listening ").and_then(|at| at.parse().ok()) {
        Some(at) => {
            pin(Some(child.id()), MEASURED_CORE);
            Ok(Proc(child, at))
        }
        None => Err(CliError("a process did not print its address".into())),
    }
}

/// Starts a machine that answers at once, on a thread of its own. It sends heartbeats if a controller is given.
fn start_machine(
    name: &'static str, core: usize, controller: Option<SocketAddr>,
) -> Result<SocketAddr, CliError> {
    let mut net = Net::new(20_000).map_err(|err| CliError(err.to_string()))?;
    let (_, at) =
        net.listen(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(|err| CliError(err.to_string()))?;
    std::thread::spawn(move || {
        pin(None, core);
        let (mut events, mut new_events) = (Vec::new(), Vec::new());
        net.wake_at(0, 1);
        loop {
            events.append(&mut new_events);
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
                        net.call(&mut new_events, call);
                        net.wake_at(net.now() + SEC / 2, 1);
                    }
                    _ => {}
                }
            }
        }
    });
    Ok(at)
}

/// Times on a schedule are grouped by when they were due, in intervals of this length.
const INTERVAL: Ns = 200 * MS;
/// RPCs due before this are not recorded on a schedule: they wait for connections to be opened, and would be 1% of a
/// short load.
const WARM_UP: Ns = 100 * MS;
/// Maximum number of open RPCs on a schedule; RPCs due meanwhile are sent late and timed from when they were due.
const MAX_OPEN: usize = 1_024;

struct Measurement {
    rpcs_per_second: f64,
    times: Histogram<u64>,
    /// On a schedule: times by the interval in which the RPC was due.
    intervals: Vec<Histogram<u64>>,
    failed: u64,
}

/// Sends RPCs to these addresses in turn. With a rate, on a schedule fixed in advance, timed from when each RPC was due;
/// without one, with a constant number of open RPCs.
fn run_load(
    to: &[SocketAddr], open: usize, rate: Option<f64>, duration: Ns,
) -> Result<Measurement, CliError> {
    let mut net = Net::new(1).map_err(|err| CliError(err.to_string()))?;
    let mut times =
        Histogram::new_with_bounds(1, 60_000_000_000, 3).map_err(|err| CliError(err.to_string()))?;
    let count = rate.map_or(0, |_| (duration / INTERVAL) as usize + 1);
    let mut intervals: Vec<Histogram<u64>> = (0..count).map(|_| times.clone()).collect();
    let headers = [("Rockpick-Key", "7")];
    let requests: Vec<Vec<u8>> = to
        .iter()
        .map(|at| http::encode_request("POST", "/rpc/lookup", &at.to_string(), &headers, b"hello"))
        .collect();
    let (mut events, mut new_events) = (Vec::new(), Vec::new());
    let mut due_at: std::collections::HashMap<u64, Ns> = std::collections::HashMap::new();
    let (mut sent, mut ok, mut failed) = (0usize, 0u64, 0u64);
    let mut next_due: Ns = 0;
    let gap = rate.map_or(0, |r| (SEC as f64 / r) as Ns);
    loop {
        let now = net.clock();
        let sending = now < duration;
        if !sending && due_at.is_empty() {
            break;
        }
        while sending
            && due_at.len() < if rate.is_some() { MAX_OPEN } else { open }
            && (rate.is_none() || next_due <= now)
        {
            let index = sent % to.len();
            sent += 1;
            let request = &requests[index];
            let call = Call { to: to[index], request, connect_within: SEC, stream: false, head_only: false };
            let id = net.call(&mut new_events, call);
            due_at.insert(id, if rate.is_some() { next_due } else { now });
            next_due += gap;
        }
        events.append(&mut new_events);
        // On a schedule this loop polls without waiting, as a sleep may last a millisecond too long.
        let wait = if rate.is_some() && sending { 0 } else { 10 * MS };
        net.turn(&mut events, wait).map_err(|err| CliError(err.to_string()))?;
        let now = net.clock();
        for event in events.drain(..) {
            let Event::CallEnded { call, end } = event else { continue };
            let Some(at) = due_at.remove(&call) else { continue };
            match end {
                CallEnd::Answer(r) if r.status == 200 => {
                    ok += 1;
                    let elapsed = (now - at).max(1) as u64;
                    if at >= WARM_UP || rate.is_none() {
                        let _ = times.record(elapsed);
                    }
                    if let Some(interval) = intervals.get_mut((at / INTERVAL) as usize) {
                        let _ = interval.record(elapsed);
                    }
                }
                _ => failed += 1,
            }
        }
        if now > duration + 10 * SEC {
            return Err(CliError("some RPCs had no answer 10 s after the end of the load".into()));
        }
    }
    Ok(Measurement { rpcs_per_second: ok as f64 / (duration as f64 / SEC as f64), times, intervals, failed })
}

/// User and system CPU time of a process so far, in clock ticks of 10 ms.
pub fn cpu(pid: u32) -> [f64; 2] {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    [11, 12].map(|i| rest.get(i).and_then(|v| v.parse().ok()).unwrap_or(0.0))
}

/// A memory figure of a process in bytes: VmRSS (current) or VmHWM (peak).
pub fn memory(pid: u32, field: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(field)?.strip_prefix(':'));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}

/// RPCs per second at a front while it fetches bindings from a new peer.
const CATCH_UP_RATE: f64 = 5_000.0;
/// Delay from the start of that load to the start of the peer.
const PEER_STARTS_AFTER: Duration = Duration::from_secs(2);

impl Front {
    /// Prints the p99 of each interval before a peer starts and while the front fetches its bindings.
    fn measure_catch_up(
        &self, bindings: u64, start_front: impl Fn(SocketAddr) -> Result<Proc, CliError>,
        key: &std::path::Path,
    ) -> Result<(), CliError> {
        let io_error = |err: std::io::Error| CliError(err.to_string());
        let peer_at =
            std::net::UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).map_err(io_error)?;
        let front = start_front(peer_at)?;
        run_load(&[front.1], self.open, None, 2 * SEC)?;
        let key = key.to_path_buf();
        let peer = std::thread::spawn(move || {
            std::thread::sleep(PEER_STARTS_AFTER);
            start_peer(&key, peer_at, bindings)
        });
        let measured = run_load(&[front.1], self.open, Some(CATCH_UP_RATE), 8 * SEC)?;
        peer.join().map_err(|_| CliError("the thread that starts the peer panicked".into()))??;
        let answer = crate::api_client::call(front.1, "GET", "/peers", "")?;
        let status: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let p99: Vec<u64> = measured.intervals.iter().map(|i| i.value_at_quantile(0.99) / 1_000).collect();
        println!(
            "catching up on {bindings} bindings at {CATCH_UP_RATE:.0} RPCs/s, p99 us per {} ms; the peer starts after {} s: {p99:?}; \
             bindings at the end: {}",
            INTERVAL / MS,
            PEER_STARTS_AFTER.as_secs(),
            status["copies"]["rows"]["Bindings"]
        );
        Ok(())
    }

    pub fn run(self) -> Result<ExitCode, CliError> {
        if !((0.5..=3_600.0).contains(&self.seconds) && self.open > 0 && (1..=99).contains(&self.rounds)) {
            return Err(CliError(
                "--seconds: must be 0.5 to 3600; --open: must be 1 or more; --rounds: must be 1 to 99".into(),
            ));
        }
        let (sender, receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let listen = SocketAddr::from(([127, 0, 0, 1], 0));
            Controller { listen, state: None, repo: None }.run(|at| {
                let _ = sender.send(at);
            })
        });
        let controller = receiver.recv().map_err(|err| CliError(err.to_string()))?;
        // A front that is alone in the settings has no peers to fetch from.
        let mut settings = Settings::example(if self.peers.is_some() { 2 } else { 1 }, 2);
        settings.rollout.tally_sample = 0.0;
        settings.rollout.one_way = self.peers.is_some();
        let document = serde_json::to_string(&settings).map_err(|err| CliError(err.to_string()))?;
        crate::api_client::call(controller, "PUT", "/settings", &document)?;
        let machines = vec![
            start_machine("p0", MACHINE_CORE, Some(controller))?,
            start_machine("p1", MACHINE_CORE + 1, Some(controller))?,
        ];
        let program = std::env::current_exe().map_err(|err| CliError(err.to_string()))?;
        let key = tempfile::NamedTempFile::new().map_err(|err| CliError(err.to_string()))?;
        std::fs::write(key.path(), "the key of a measurement").map_err(|err| CliError(err.to_string()))?;
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let peer_args = |join: SocketAddr| -> Vec<String> {
            let (join, file) = (join.to_string(), key.path().display().to_string());
            let args = ["--peers-listen", "127.0.0.1:0", "--peers-key", &file, "--peers", &join];
            args.into_iter().chain(["--peers-period-ms", "100"]).map(String::from).collect()
        };
        let start_front = |profile: bool, args: &[String]| -> Result<Proc, CliError> {
            let mut command = Command::new(&program);
            command.args(["front", "--name", "f0", "--controller", &controller.to_string()]);
            if profile {
                command.arg("--profile");
            }
            command.args(args);
            let front = spawn(command)?;
            let deadline = Instant::now() + Duration::from_secs(10);
            while status(front.1)?["machines"] != 2 {
                if Instant::now() > deadline {
                    return Err(CliError("the front received no roster of machines within 10 s".into()));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            Ok(front)
        };
        let front = start_front(false, &[])?;
        let peered = match self.peers {
            Some(bindings) => {
                Some(start_front(false, &peer_args(start_peer(key.path(), any_port, bindings)?))?)
            }
            None => None,
        };
        let default_proxy = program.parent().map(|dir| dir.join("rockpick-proxy"));
        let proxy = match self.proxy.clone().or(default_proxy).filter(|p| p.exists()) {
            Some(path) => {
                let mut command = Command::new(path);
                command.args(machines.iter().map(SocketAddr::to_string));
                Some(spawn(command)?)
            }
            None => None,
        };
        pin(None, LOAD_CORE);
        let duration = (self.seconds * SEC as f64) as Ns;
        let paths: Vec<(&str, Vec<SocketAddr>)> =
            [("direct", Some(machines.clone())), ("front", Some(vec![front.1]))]
                .into_iter()
                .chain([("proxy", proxy.as_ref().map(|p| vec![p.1]))])
                .chain([("peers", peered.as_ref().map(|f| vec![f.1]))])
                .filter_map(|(name, to)| Some((name, to?)))
                .collect();
        // Warms up: a front that has served nothing yet accepts little load at first.
        for (_, to) in &paths {
            run_load(to, self.open, None, SEC)?;
        }
        let mut throughput: Vec<Vec<f64>> = vec![Vec::new(); paths.len()];
        let mut failed = 0;
        for _ in 0..self.rounds {
            for (i, (_, to)) in paths.iter().enumerate() {
                let measured = run_load(to, self.open, None, duration)?;
                failed += measured.failed;
                throughput[i].push(measured.rpcs_per_second);
            }
        }
        let throughput: Vec<f64> = throughput.into_iter().map(median).collect();
        // Latency is measured for all at half the throughput of the slowest, direct calls aside.
        let half = throughput[1..].iter().copied().fold(f64::MAX, f64::min) / 2.0;
        let mut latency: Vec<[Vec<f64>; 2]> = paths.iter().map(|_| Default::default()).collect();
        for _ in 0..self.rounds {
            for (i, (_, to)) in paths.iter().enumerate() {
                let measured = run_load(to, self.open, Some(half), duration)?;
                failed += measured.failed;
                for (j, q) in [0.5, 0.99].into_iter().enumerate() {
                    latency[i][j].push(measured.times.value_at_quantile(q) as f64 / 1e3);
                }
            }
        }
        let latency: Vec<[f64; 2]> = latency.into_iter().map(|[a, b]| [median(a), median(b)]).collect();
        println!(
            "loopback, one run, {} rounds of {} s, {} open RPCs; half load is {half:.0} RPCs/s",
            self.rounds, self.seconds, self.open
        );
        println!(
            "{:<8} {:>10} {:>10} {:>12} {:>12}",
            "path", "RPCs/s", "of direct", "p50 us half", "p99 us half"
        );
        for (i, (name, _)) in paths.iter().enumerate() {
            println!(
                "{name:<8} {:>10.0} {:>10.2} {:>12.0} {:>12.0}",
                throughput[i],
                throughput[i] / throughput[0],
                latency[i][0],
                latency[i][1]
            );
        }
        println!(
            "front adds p50 {:.0} us, p99 {:.0} us to direct",
            latency[1][0] - latency[0][0],
            latency[1][1] - latency[0][1]
        );
        if let Some(bindings) = self.peers {
            self.measure_catch_up(bindings, |join| start_front(false, &peer_args(join)), key.path())?;
        }
        match throughput.get(2).filter(|_| proxy.is_some()) {
            Some(proxy) => println!(
                "front compared with the plain proxy: {:.2} times its throughput (target 1.5)",
                throughput[1] / proxy
            ),
            None => println!("no proxy was measured: build it with cargo build --release -p rockpick-proxy"),
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
        let deadline = Instant::now() + Duration::from_secs(10);
        while status(front.1)?["clients"].as_u64().unwrap_or(0) < idle.len() as u64
            && Instant::now() < deadline
        {
            std::thread::sleep(Duration::from_millis(50));
        }
        let added = memory(pid, "VmRSS") - before;
        println!(
            "{} idle client connections: {:.1} MiB, {:.0} bytes each (kernel memory not counted)",
            idle.len(),
            added / 1_048_576.0,
            added / idle.len().max(1) as f64
        );
        drop(idle);
        drop(front);
        // The share of the decision module is measured separately, as reading the clock around each call takes time too.
        let front = start_front(true, &[])?;
        run_load(&[front.1], self.open, None, SEC)?;
        let (cpu_before, module_before) =
            (cpu(front.0.id()), status(front.1)?["module_ms"].as_f64().unwrap_or(0.0));
        let measured = run_load(&[front.1], self.open, None, duration)?;
        let cpu_after = cpu(front.0.id());
        let module = status(front.1)?["module_ms"].as_f64().unwrap_or(0.0) - module_before;
        let [user, system] = [0, 1].map(|i| (cpu_after[i] - cpu_before[i]) * 10.0);
        let total = (user + system).max(1.0);
        println!("CPU of the front: {:.1} us per RPC; system calls {:.0}%, module {:.0}%, parsing, buffers and the rest {:.0}%",
            total * 1e3 / (measured.rpcs_per_second * self.seconds).max(1.0), 100.0 * system / total, 100.0 * module / total,
            100.0 * (user - module) / total);
        println!("RPCs that did not end ok: {failed}");
        Ok(ExitCode::SUCCESS)
    }
}

fn status(front: SocketAddr) -> Result<Value, CliError> {
    let answer = crate::api_client::call(front, "GET", "/status", "")?;
    Ok(serde_json::from_slice(&answer.body).unwrap_or(Value::Null))
}
