//! A crowd at discovery that ends, and a machine that is drained after it.
use crate::*;

/// Front nodes side by side. They share nothing: each is a trial of its own.
const NODES: usize = 60;
const ROUNDS: usize = 3;
/// Calls to discovery wait for so long in the crowd, and end with 503.
const CALL_WAITS: f64 = 2_000.0;
const CROWD_LASTS: f64 = 13_500.0;
/// A change counts as told at the latest so long after discovery had it and could be reached.
const TOLD_WITHIN: f64 = 6_000.0;
const GRACE: f64 = 1_000.0;
/// Slack of every time limit, and as much again for the stand-ins' own clock.
const SLACK: f64 = 100.0;

#[derive(Default)]
struct Listing {
    /// Versions of the list, each with the machine that is leaving from then on.
    changes: Vec<usize>,
    crowded: bool,
}

static LISTING: Mutex<Listing> = Mutex::new(Listing { changes: Vec::new(), crowded: false });
/// When the drain of a machine was written to a node.
static WRITTEN: Mutex<Vec<(usize, usize, f64)>> = Mutex::new(Vec::new());

fn entry(machine: &Machine, leaving: bool) -> String {
    let health = if leaving { "leaving" } else { "active" };
    format!(
        r#"{{"host":"{}","dial":"{}","site":"dub-north","class":"full-core","block":1,"health":"{health}","share":1.0,"born_ms":0,"version_no":41}}"#,
        machine.name, machine.at
    )
}

/// Discovery as one node reaches it.
fn start_discovery(node: usize, machines: &[Machine]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let machines = machines.to_vec();
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let machines = machines.clone();
            thread::spawn(move || {
                let _ = answer_call(node, io, &machines);
            });
        }
    });
    at
}

fn answer_call(node: usize, mut io: TcpStream, machines: &[Machine]) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(read_exact(&mut io, 1)?[0]);
    }
    let asked = now();
    let crowded = || LISTING.lock().unwrap().crowded;
    while crowded() {
        if now() >= asked + CALL_WAITS {
            note(format!("discovery: a call of node {node} ends with 503"));
            return io.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        sleep_ms(10.0);
    }
    let watch = String::from_utf8_lossy(&head).contains("watch=1");
    // The whole list first, then changes.
    let (mut told, whole) = {
        let listing = LISTING.lock().unwrap();
        let hosts: Vec<String> =
            machines.iter().enumerate().map(|(i, m)| entry(m, listing.changes.contains(&i))).collect();
        let seq = 41 + listing.changes.len();
        (listing.changes.len(), format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, hosts.join(",")))
    };
    let write_told = |from: usize, to: usize| {
        let listing = LISTING.lock().unwrap();
        for machine in &listing.changes[from..to] {
            WRITTEN.lock().unwrap().push((node, *machine, now()));
        }
    };
    write_told(0, told);
    if !watch {
        return write!(io, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
    }
    write!(
        io,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{whole}\n\r\n",
        whole.len() + 1
    )?;
    note(format!("discovery: a watch of node {node} serves"));
    let mut sign = now();
    loop {
        sleep_ms(10.0);
        let changes = {
            let listing = LISTING.lock().unwrap();
            // Watches end when discovery goes down.
            if listing.crowded {
                return Ok(());
            }
            listing.changes.clone()
        };
        if changes.len() > told {
            let hosts: Vec<String> = changes[told..].iter().map(|m| entry(&machines[*m], true)).collect();
            let line = format!(
                "{{\"seq\":{},\"whole\":false,\"hosts\":[{}]}}\n",
                41 + changes.len(),
                hosts.join(",")
            );
            write_told(told, changes.len());
            write!(io, "{:x}\r\n{line}\r\n", line.len())?;
            told = changes.len();
            sign = now();
        } else if now() >= sign + 2_000.0 {
            write!(io, "1\r\n\n\r\n")?;
            sign = now();
        }
    }
}

pub fn run(root: &Path, trouble: bool) -> bool {
    let machines: Vec<Machine> = (0..8).map(|i| start_machine(i, Behaviour::sound((20.0, 40.0)))).collect();
    let desk = start_platform(&machines).desk;
    let nodes: Vec<Node> = (0..NODES)
        .map(|n| Node::start(root, &machines, &Platform { discovery: start_discovery(n, &machines), desk }))
        .collect();
    let done = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(n, node)| {
            let (at, done) = (node.at, done.clone());
            thread::spawn(move || {
                let mut random = random();
                let mut client: Option<Client> = None;
                for number in 1u64.. {
                    if done.load(SeqCst) {
                        return;
                    }
                    sleep_ms(random.between(30.0, 90.0));
                    let id = (n as u64 + 1) << 48 | number;
                    let Some(mut open) = client.take().or_else(|| Client::connect(at).ok()) else { continue };
                    let class = ["draft-save", "return-lodge"][number as usize % 2];
                    if open.send(&write_statement(class, id, 3_000)).is_err() {
                        continue;
                    }
                    note(format!("client of node {n}: {id:016x} {class} sent, d=3000"));
                    let answer = open.answer(3_550.0);
                    note(format!("client of node {n}: {id:016x} {answer:?}"));
                    if !matches!(answer, Answer::Reset | Answer::Closed | Answer::Silent) {
                        client = Some(open);
                    }
                }
            })
        })
        .collect();
    sleep_ms(3_000.0);
    // When a machine was listed as leaving, with discovery in reach.
    let mut drained = Vec::new();
    for round in 0..ROUNDS {
        if trouble {
            LISTING.lock().unwrap().crowded = true;
            note("discovery: watches end, and calls wait too long".into());
        }
        sleep_ms(CROWD_LASTS);
        LISTING.lock().unwrap().crowded = false;
        note("discovery: calls are served".into());
        sleep_ms(200.0);
        let machine = 2 + round;
        LISTING.lock().unwrap().changes.push(machine);
        drained.push((machine, now()));
        note(format!("discovery: s-{machine} is leaving"));
        sleep_ms(12_500.0);
    }
    done.store(true, SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    drop(nodes);
    let (attempts, written) = (ATTEMPTS.lock().unwrap().clone(), WRITTEN.lock().unwrap().clone());
    let mut late: HashMap<(usize, usize), (usize, f64)> = HashMap::new();
    for attempt in &attempts {
        let Some((_, since)) = drained.iter().find(|(machine, _)| *machine == attempt.machine) else {
            continue;
        };
        let node = (attempt.id >> 48) as usize - 1;
        let told = written.iter().filter(|w| (w.0, w.1) == (node, attempt.machine)).map(|w| w.2);
        let told = told.fold(since + TOLD_WITHIN, f64::min);
        if attempt.at > told + GRACE + SLACK {
            let (count, last) = late.entry((node, attempt.machine)).or_default();
            *count += 1;
            *last = attempt.at - told;
            note(format!(
                "DRAIN node {node} sends {:016x} to s-{} {:.0} ms after it was told",
                attempt.id, attempt.machine, last
            ));
        }
    }
    let mut lines: Vec<String> = late
        .iter()
        .map(|((n, m), (count, last))| {
            format!("node {n}, s-{m}: {count}, the last {last:.0} ms after it was told")
        })
        .collect();
    lines.sort();
    lines.iter().cloned().for_each(note);
    let total: usize = late.values().map(|(count, _)| count).sum();
    println!(
        "{} attempts, {total} at machines that were drained, by {} of {} nodes and rounds",
        attempts.len(),
        late.len(),
        NODES * ROUNDS
    );
    if attempts.len() < 5_000 {
        cannot("too few attempts");
    }
    total > 0
}
