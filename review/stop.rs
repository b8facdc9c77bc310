//! A planned restart under load while a machine hangs.
use crate::*;

const DEADLINE_MS: u32 = 3_000;
/// Half a second after its time an answer only earns nothing; 50 ms are the slack of every limit.
const LATE: f64 = 550.0;

struct Sent {
    id: u64,
    /// When it was written whole.
    at: f64,
    ended: f64,
    answer: Answer,
}

static SENT: Mutex<Vec<Sent>> = Mutex::new(Vec::new());

/// One request on a connection, with its answer.
fn ask(client: &mut Client, who: &str, class: &str) -> Answer {
    let id = new_id();
    let text = if class == "return-lookup" {
        lookup(id, DEADLINE_MS)
    } else {
        write_statement(class, id, DEADLINE_MS)
    };
    if client.send(&text).is_err() {
        return Answer::Reset;
    }
    let at = now();
    note(format!("{who}: {id:016x} {class} sent, d={DEADLINE_MS}"));
    let answer = client.answer(f64::from(DEADLINE_MS) + LATE);
    note(format!("{who}: {id:016x} {answer:?}"));
    SENT.lock().unwrap().push(Sent { id, at, ended: now(), answer: answer.clone() });
    answer
}

pub fn run(root: &Path, trouble: bool) -> bool {
    if std::env::var("CLIENTS").is_ok_and(|kind| kind == "pipelined") {
        return run_pipelined(root, trouble);
    }
    // For a look at the parts: TROUBLE=stop leaves out the hanging machine, TROUBLE=hang the stop.
    let only = std::env::var("TROUBLE").unwrap_or_default();
    let (stops, hangs) = (trouble && only != "hang", trouble && only != "stop");
    let machines: Vec<Machine> = (0..8).map(|i| start_machine(i, Behaviour::sound((60.0, 100.0)))).collect();
    let platform = start_platform(&machines);
    let mut node = Node::start(root, &machines, &platform);
    let (at, done) = (node.at, Arc::new(AtomicBool::new(false)));
    // Thirty clients with a connection each and all classes; they go elsewhere once the node takes no connection.
    let began = now();
    let clients: Vec<_> = (0..30)
        .map(|n| {
            let done = done.clone();
            thread::spawn(move || {
                let mut random = random();
                let mut client: Option<Client> = None;
                while !done.load(SeqCst) {
                    sleep_ms(random.between(100.0, 300.0));
                    let class = ["return-lookup", "draft-save", "return-lodge"]
                        [(random.fraction() * 3.0) as usize % 3];
                    let Some(mut open) = client.take().or_else(|| Client::connect(at).ok()) else { return };
                    let answer = ask(&mut open, &format!("client {n}"), class);
                    if !matches!(answer, Answer::Reset | Answer::Closed | Answer::Silent) {
                        client = Some(open);
                    }
                }
            })
        })
        .collect();
    sleep_until(began + 6_250.0);
    if hangs {
        machines[3].behaviour.hangs.store(true, SeqCst);
        note("machine s-3 hangs from now on".into());
    }
    if stops {
        node.signal(SIGTERM);
        note("SIGTERM".into());
    }
    let stopped = now();
    // New connections continue to come for 0.2 to 0.4 s. Their clients are welcomed and send some hundred ms later.
    let late: Vec<_> = (0..40)
        .map(|n| {
            thread::spawn(move || {
                sleep_until(stopped + 200.0 + f64::from(n) * 4.0);
                let Ok(mut client) = Client::connect(at) else { return };
                if !client.wait_welcome(400.0) {
                    return;
                }
                sleep_until(stopped + 870.0 + f64::from(n) * 0.5);
                ask(&mut client, &format!("new client {n}"), "return-lodge");
            })
        })
        .collect();
    // SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM. The program ends before that by itself.
    let mut ended = None;
    while now() < stopped + 4_200.0 {
        if ended.is_none() && node.ended() {
            ended = Some(now());
            note(format!("the node has ended, {:.0} ms after SIGTERM", now() - stopped));
        }
        sleep_ms(5.0);
    }
    done.store(true, SeqCst);
    late.into_iter().for_each(|l| drop(l.join()));
    clients.into_iter().for_each(|c| drop(c.join()));
    drop(node);
    let (attempts, sent) = (attempts_by_id(), SENT.lock().unwrap());
    let mut lost = 0;
    let mut judged = 0;
    for request in sent.iter() {
        // With a stop two groups are judged: what came more than 0.7 s after SIGTERM (20 ms of slack), whatever its deadline, and
        // what came so early that its deadline lies before the earliest SIGKILL. What came between them is excused.
        let late_one = stops && request.at > stopped + 700.0 + 20.0;
        let early_one = !stops || request.at + f64::from(DEADLINE_MS) < stopped + 3_600.0;
        if !late_one && !early_one {
            continue;
        }
        judged += 1;
        let tried = attempts.get(&request.id).map_or(0, Vec::len);
        // A request that crossed the close of its connection unread was not taken; one that a machine has received was.
        if matches!(request.answer, Answer::Reset | Answer::Closed | Answer::Silent) && tried > 0 {
            lost += 1;
            note(format!(
                "LOST {:016x}: sent {:.0} ms after SIGTERM, {tried} attempts, {:?} after {:.0} ms of its {DEADLINE_MS}",
                request.id,
                request.at - stopped,
                request.answer,
                request.ended - request.at
            ));
        }
    }
    let summary = format!("{} requests, {judged} judged, {lost} lost", sent.len());
    note(summary.clone());
    println!("{summary}");
    if judged < 100 {
        cannot("too few requests");
    }
    lost > 0
}

/// A look beside the case (CLIENTS=pipelined): four clients that write a further request every 40 ms on one connection each
/// without waiting for answers; no machine hangs, and the stop is the only trouble.
fn run_pipelined(root: &Path, trouble: bool) -> bool {
    let machines: Vec<Machine> = (0..8).map(|i| start_machine(i, Behaviour::sound((60.0, 100.0)))).collect();
    let platform = start_platform(&machines);
    let mut node = Node::start(root, &machines, &platform);
    let (at, until) = (node.at, now() + 9_000.0);
    let clients: Vec<_> = (0..4)
        .map(|n| {
            thread::spawn(move || {
                let mut client = Client::connect(at).unwrap_or_else(|err| cannot(&err.to_string()));
                client.wait_welcome(1_000.0);
                let mut io = client.io.try_clone().unwrap();
                let writer = thread::spawn(move || {
                    let mut written = Vec::new();
                    while now() < until {
                        let id = new_id();
                        if io.write_all(&query_message(&lookup(id, DEADLINE_MS))).is_err() {
                            break;
                        }
                        written.push((id, now()));
                        note(format!("client {n}: {id:016x} sent, d={DEADLINE_MS}"));
                        sleep_ms(40.0);
                    }
                    written
                });
                let mut answers = 0;
                loop {
                    let answer = client.answer(f64::from(DEADLINE_MS) + LATE);
                    if matches!(answer, Answer::Reset | Answer::Closed | Answer::Silent) {
                        note(format!("client {n}: {answer:?}"));
                        break;
                    }
                    answers += 1;
                }
                // Answers come in the order of the requests: those behind the last answer got none.
                writer.join().unwrap().split_off(answers)
            })
        })
        .collect();
    sleep_ms(4_000.0);
    if trouble {
        node.signal(SIGTERM);
        note("SIGTERM".into());
    }
    let stopped = now();
    while now() < stopped + 4_500.0 && !node.ended() {
        sleep_ms(5.0);
    }
    note(format!("the node has ended or is waited for no longer, {:.0} ms after SIGTERM", now() - stopped));
    let unanswered: Vec<(u64, f64)> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    drop(node);
    let attempts = attempts_by_id();
    let lost = unanswered.iter().filter(|(id, _)| attempts.contains_key(id));
    let lost: Vec<String> =
        lost.map(|(id, at)| format!("LOST {id:016x}: sent {:.0} ms after SIGTERM", at - stopped)).collect();
    println!("pipelined: {} requests that a machine has received got no answer", lost.len());
    lost.iter().cloned().for_each(note);
    !lost.is_empty()
}
