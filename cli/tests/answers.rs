//! The whole way of a command, from accept to final answer, cut at each step; answers are counted by its client.
mod peers;
#[path = "peers/platform.rs"]
mod platform;

use peers::wait_until;
use platform::*;
use rockpick_pg as pg;
use rustix::process::Signal;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

const VALUE: &[u8] = b"value";
const WAIT_MS: u32 = 1_900;

/// How far the command has come when it is cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Connected,
    HalfStartup,
    Welcomed,
    HalfQuery,
    /// Whole, behind an answer on the same connection.
    Again,
    /// Taken; the machine's connection is not up.
    Dialling,
    /// The machine has it.
    Sent,
    /// A part of the machine's answer is here.
    HalfAnswer,
}

const STEPS: [Step; 8] = [
    Step::Connected,
    Step::HalfStartup,
    Step::Welcomed,
    Step::HalfQuery,
    Step::Again,
    Step::Dialling,
    Step::Sent,
    Step::HalfAnswer,
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    Stop,
    Reload,
    /// Stop and reload, one upon the other.
    Series,
    /// The machine is told to drain.
    Drain,
    /// The machine closes what it has.
    MachineCloses,
    /// The process is held up.
    Pause,
    /// The client's second try goes to another node.
    Kill,
}

const CUTS: [Cut; 7] =
    [Cut::Stop, Cut::Reload, Cut::Series, Cut::Drain, Cut::MachineCloses, Cut::Pause, Cut::Kill];

/// A machine that stands still at a step until its gate is open, then goes on, or closes.
struct Gated {
    at: SocketAddr,
    gate: Gate,
    closes: Arc<AtomicUsize>,
    reached: Arc<AtomicUsize>,
}

fn gated(step: Step) -> Gated {
    let (gate, closes, reached) =
        (Gate::default(), Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let (held, closing, count) = (gate.clone(), closes.clone(), reached.clone());
    let at = served(move |_, mut line| {
        let stands = |now: Step| {
            if step == now {
                count.fetch_add(1, Ordering::SeqCst);
                held.pass();
                if closing.load(Ordering::SeqCst) > 0 {
                    return None;
                }
            }
            Some(())
        };
        line.hello()?;
        stands(Step::Dialling)?;
        line.welcome()?;
        loop {
            line.query()?;
            stands(Step::Sent)?;
            let answer = row(VALUE);
            let (first, rest) = answer.split_at(answer.len() / 2);
            line.io.write_all(first).ok()?;
            stands(Step::HalfAnswer)?;
            line.io.write_all(rest).ok()?;
        }
    });
    Gated { at, gate, closes, reached }
}

fn bytes_of(step: Step) -> (Vec<u8>, Vec<u8>) {
    let (mut startup, mut query) = (Vec::new(), Vec::new());
    pg::put_startup(&mut startup, "api", "ledger");
    pg::put_query(&mut query, &lookup(7, WAIT_MS));
    let before = match step {
        Step::Connected => 0,
        Step::HalfStartup => startup.len() / 2,
        Step::Welcomed | Step::Again => startup.len(),
        Step::HalfQuery => startup.len() + query.len() / 2,
        Step::Dialling | Step::Sent | Step::HalfAnswer => startup.len() + query.len(),
    };
    let mut all = [startup, query].concat();
    let after = all.split_off(before);
    (all, after)
}

/// Final answers that a client hears until its connection ends, or the next command is answered.
fn answers(client: &mut Client) -> Vec<Said> {
    let _ = client.io.shutdown(Shutdown::Write);
    std::iter::from_fn(|| Some(client.hear()).filter(|said| *said != Said::Closed)).collect()
}

fn cut_off(step: Step, cut: Cut) {
    let case = format!("{cut:?} at {step:?}");
    let machine = gated(step);
    let platform = Platform::begin();
    let told = configuration(&platform, &[("a", machine.at, 1, "active")]);
    let (node, other) = (Node::start(&told), Node::start(&told));
    wait_until_polled(&platform);
    let mut client = node.connect();
    let (before, after) = bytes_of(step);
    client.io.write_all(&before).unwrap();
    if step != Step::Connected && step != Step::HalfStartup {
        while client.message().expect("a welcome").0 != b'Z' {}
    }
    if step == Step::Again {
        assert_eq!(client.rpc(&lookup(6, WAIT_MS)), Said::Value(VALUE.to_vec()));
    }
    if after.is_empty() {
        wait_until("the machine is at the step", || machine.reached.load(Ordering::SeqCst) > 0);
    }
    match cut {
        Cut::Stop => node.signal(Signal::TERM),
        Cut::Reload => node.signal(Signal::HUP),
        Cut::Series => {
            for signal in [Signal::HUP, Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM] {
                node.signal(signal);
            }
        }
        Cut::Drain => platform.list(false, &[("a", machine.at, 1, "leaving")]),
        Cut::MachineCloses => machine.closes.store(1, Ordering::SeqCst),
        Cut::Pause => node.signal(Signal::STOP),
        Cut::Kill => node.signal(Signal::KILL),
    }
    let sent = client.io.write_all(&after);
    if cut == Cut::Pause {
        node.signal(Signal::CONT);
    }
    machine.gate.open();
    if cut == Cut::Kill {
        // Whatever became of the first try, the second is a new command.
        let mut client = other.client();
        assert!(matches!(client.rpc(&lookup(8, WAIT_MS)), Said::Value(_)), "{case}");
        return;
    }
    sent.unwrap();
    if step == Step::Connected || step == Step::HalfStartup {
        while client.message().unwrap_or_else(|| panic!("{case}: no welcome")).0 != b'Z' {}
    }
    let heard = client.hear();
    assert!(heard != Said::Closed, "{case}: closed without an answer");
    assert!(
        matches!(heard, Said::Value(_)) || cut == Cut::Drain || cut == Cut::MachineCloses,
        "{case}: {heard:?}"
    );
    assert_eq!(answers(&mut client), [], "{case}: more than one answer");
}

/// Guards against a command that is read and gets no answer, or two, wherever on its way something else happens.
#[test]
fn a_command_cut_at_any_step_has_one_answer() {
    std::thread::scope(|scope| {
        for cut in CUTS {
            scope.spawn(move || STEPS.into_iter().for_each(|step| cut_off(step, cut)));
        }
    });
}

/// Guards against clients that are turned away in a crowd and lose the words that say so.
#[test]
fn each_of_a_crowd_at_once_has_an_answer() {
    const CROWD: u64 = 200;
    let machine = machine(&[Does::Answers]);
    let platform = Platform::begin();
    let mut told = configuration(&platform, &[("a", machine.at, 1, "active")]);
    told["limits"]["sockets"] = 64.into();
    let node = Node::start(&told);
    wait_until_polled(&platform);
    // The process is held up, so that all are there at once.
    node.signal(Signal::STOP);
    let mut crowd: Vec<Client> = (0..CROWD)
        .map(|id| {
            let mut client = node.connect();
            let mut words = Vec::new();
            pg::put_startup(&mut words, "api", "ledger");
            pg::put_query(&mut words, &lookup(id + 1, WAIT_MS));
            client.io.write_all(&words).unwrap();
            client
        })
        .collect();
    node.signal(Signal::CONT);
    let unanswered = crowd.iter_mut().filter_map(|client| {
        // The welcome, or an error in its place; then the answer.
        let welcome = client.hear();
        let answer = if welcome == Said::Closed { client.hear() } else { welcome };
        (answer == Said::Closed).then_some(())
    });
    assert_eq!(unanswered.count(), 0);
}
