//! Second copies of answers, some milliseconds late, at a front node that is held up now and then.
use crate::*;

static WRONG: AtomicUsize = AtomicUsize::new(0);
static ASKED: AtomicUsize = AtomicUsize::new(0);
static SERVED: AtomicUsize = AtomicUsize::new(0);

pub fn run(root: &Path, trouble: bool) -> bool {
    // The defaults are the case; the variables serve to look at its parts.
    let number =
        |name: &str, default: f64| std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(default);
    let (copies, full) = (number("COPIES", 0.5), number("FULL", 0.25));
    let (hold, every, seconds) = (number("HOLD", 25.0), number("EVERY", 80.0), number("SECONDS", 75.0));
    let machines: Vec<Machine> = (0..6)
        .map(|i| {
            let mut behaviour = Behaviour::sound((5.0, 20.0));
            (behaviour.copies, behaviour.copy_after) = (if trouble { copies } else { 0.0 }, (1.0, 5.0));
            // A quarter of the requests meet a full queue; 0.7 to 1.3 ms each way lie between node and machine.
            (behaviour.full, behaviour.way) = (full, (1.4, 2.6));
            start_machine(i, behaviour)
        })
        .collect();
    let platform = start_platform(&machines);
    let node = Node::start(root, &machines, &platform);
    let (at, done) = (node.at, Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..24)
        .map(|n| {
            let done = done.clone();
            thread::spawn(move || {
                let mut random = random();
                let mut client: Option<Client> = None;
                while !done.load(SeqCst) {
                    sleep_ms(random.between(40.0, 120.0));
                    let class = (random.fraction() * 3.0) as usize % 3;
                    let id = new_id();
                    let text = if class == 0 {
                        lookup(id, 3_000)
                    } else {
                        write_statement(["draft-save", "return-lodge"][class - 1], id, 3_000)
                    };
                    let Some(mut open) = client.take().or_else(|| Client::connect(at).ok()) else { continue };
                    if open.send(&text).is_err() {
                        continue;
                    }
                    ASKED.fetch_add(1, SeqCst);
                    note(format!("client {n}: {id:016x} sent"));
                    let answer = open.answer(3_550.0);
                    note(format!("client {n}: {id:016x} {answer:?}"));
                    if let Answer::Value(value) = &answer {
                        SERVED.fetch_add(1, SeqCst);
                        if *value != value_of(id) {
                            WRONG.fetch_add(1, SeqCst);
                            note(format!("WRONG client {n}: {id:016x} was served {value}"));
                        }
                    }
                    if !matches!(answer, Answer::Reset | Answer::Closed | Answer::Silent) {
                        client = Some(open);
                    }
                }
            })
        })
        .collect();
    let began = now();
    let mut random = random();
    while now() < began + seconds * 1e3 {
        sleep_ms(random.between(0.5 * every, 1.5 * every));
        if trouble && hold > 0.0 {
            node.signal(SIGSTOP);
            note("the node is held up".into());
            sleep_ms(hold);
            node.signal(SIGCONT);
            note("it goes on".into());
        }
    }
    done.store(true, SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    drop(node);
    let copies: usize = machines.iter().map(|m| m.copies_sent.load(SeqCst)).sum();
    let (asked, served, wrong) = (ASKED.load(SeqCst), SERVED.load(SeqCst), WRONG.load(SeqCst));
    let summary = format!("{asked} requests, {served} served, {copies} second copies, {wrong} served with the value of another request");
    note(summary.clone());
    println!("{summary}");
    if served < 500 {
        cannot("too few requests were served");
    }
    wrong > 0
}
