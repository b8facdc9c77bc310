//! Interrupts a command at each step from accept to final answer, and counts the answers that its client gets.
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
const DEADLINE_MS: u32 = 1_900;

/// How far the command has come when it is interrupted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Connected,
    HalfStartup,
    Welcomed,
    HalfQuery,
    /// Complete, on a connection that has served another command.
    Again,
    /// Accepted; the connection to the machine is not ready.
    Dialling,
    /// The machine has received it.
    Sent,
    /// A part of the machine's answer has arrived.
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
enum Interruption {
    Stop,
    Reload,
    /// Several stop and reload signals in a row.
    Series,
    Drain,
    /// The machine closes its connections.
    MachineCloses,
    /// The process is paused.
    Pause,
    /// The process is killed, and the client retries at another node.
    Kill,
}

const INTERRUPTIONS: [Interruption; 7] = [
    Interruption::Stop,
    Interruption::Reload,
    Interruption::Series,
    Interruption::Drain,
    Interruption::MachineCloses,
    Interruption::Pause,
    Interruption::Kill,
];

/// A machine that blocks at a step until its gate is open, then goes on or closes the connection.
struct Gated {
    at: SocketAddr,
    gate: Gate,
    closes: Arc<AtomicUsize>,
    reached: Arc<AtomicUsize>,
}

fn gated_machine(step: Step) -> Gated {
    let (gate, closes, reached) =
        (Gate::default(), Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let (machine_gate, closing, count) = (gate.clone(), closes.clone(), reached.clone());
    let at = machine_served_by(move |_, mut line| {
        let block_at = |now: Step| {
            if step == now {
                count.fetch_add(1, Ordering::SeqCst);
                machine_gate.pass();
                if closing.load(Ordering::SeqCst) > 0 {
                    return None;
                }
            }
            Some(())
        };
        line.read_startup()?;
        block_at(Step::Dialling)?;
        line.send_startup_response()?;
        loop {
            line.query()?;
            block_at(Step::Sent)?;
            let answer = row(VALUE);
            let (first, rest) = answer.split_at(answer.len() / 2);
            line.io.write_all(first).ok()?;
            block_at(Step::HalfAnswer)?;
            line.io.write_all(rest).ok()?;
        }
    });
    Gated { at, gate, closes, reached }
}

fn bytes_of(step: Step) -> (Vec<u8>, Vec<u8>) {
    let (mut startup, mut query) = (Vec::new(), Vec::new());
    pg::put_startup(&mut startup, "api", "ledger");
    pg::put_query(&mut query, &lookup(7, DEADLINE_MS));
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

/// All further answers that a client gets until its connection ends.
fn further_answers(client: &mut Client) -> Vec<Answer> {
    let _ = client.io.shutdown(Shutdown::Write);
    std::iter::from_fn(|| Some(client.read_answer()).filter(|answer| *answer != Answer::Closed)).collect()
}

fn interrupt(step: Step, interruption: Interruption) {
    let case = format!("{interruption:?} at {step:?}");
    let machine = gated_machine(step);
    let platform = Platform::begin();
    let config = configuration(&platform, &[("a", machine.at, 1, "active")]);
    let (node, other) = (Node::start(&config), Node::start(&config));
    wait_until_polled(&platform);
    let mut client = node.connect();
    let (before, after) = bytes_of(step);
    client.io.write_all(&before).unwrap();
    if step != Step::Connected && step != Step::HalfStartup {
        while client.message().expect("a startup response").0 != b'Z' {}
    }
    if step == Step::Again {
        assert_eq!(client.rpc(&lookup(6, DEADLINE_MS)), Answer::Value(VALUE.to_vec()));
    }
    if after.is_empty() {
        wait_until("the machine is at the step", || machine.reached.load(Ordering::SeqCst) > 0);
    }
    match interruption {
        Interruption::Stop => node.signal(Signal::TERM),
        Interruption::Reload => node.signal(Signal::HUP),
        Interruption::Series => {
            for signal in [Signal::HUP, Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM] {
                node.signal(signal);
            }
        }
        Interruption::Drain => platform.list(false, &[("a", machine.at, 1, "leaving")]),
        Interruption::MachineCloses => machine.closes.store(1, Ordering::SeqCst),
        Interruption::Pause => node.signal(Signal::STOP),
        Interruption::Kill => node.signal(Signal::KILL),
    }
    let sent = client.io.write_all(&after);
    if interruption == Interruption::Pause {
        node.signal(Signal::CONT);
    }
    machine.gate.open();
    if interruption == Interruption::Kill {
        // Whatever became of the first attempt, the second is a new command.
        let mut client = other.client();
        assert!(matches!(client.rpc(&lookup(8, DEADLINE_MS)), Answer::Value(_)), "{case}");
        return;
    }
    sent.unwrap();
    if step == Step::Connected || step == Step::HalfStartup {
        while client.message().unwrap_or_else(|| panic!("{case}: no startup response")).0 != b'Z' {}
    }
    let answer = client.read_answer();
    assert!(answer != Answer::Closed, "{case}: closed without an answer");
    assert!(
        matches!(answer, Answer::Value(_))
            || interruption == Interruption::Drain
            || interruption == Interruption::MachineCloses,
        "{case}: {answer:?}"
    );
    assert_eq!(further_answers(&mut client), [], "{case}: more than one answer");
}

/// Guards against a command that is read and gets no answer, or two, whenever something else happens meanwhile.
#[test]
fn a_command_interrupted_at_any_step_gets_one_answer() {
    std::thread::scope(|scope| {
        for interruption in INTERRUPTIONS {
            scope.spawn(move || STEPS.into_iter().for_each(|step| interrupt(step, interruption)));
        }
    });
}

/// Guards against clients that are refused when many connect, and do not receive the refusal.
#[test]
fn each_of_many_simultaneous_clients_gets_an_answer() {
    const CLIENTS: u64 = 200;
    let machine = machine(&[QueryAction::Answer]);
    let platform = Platform::begin();
    let mut config = configuration(&platform, &[("a", machine.at, 1, "active")]);
    config["limits"]["sockets"] = 64.into();
    let node = Node::start(&config);
    wait_until_polled(&platform);
    // The process is paused, so that all connections arrive at once.
    node.signal(Signal::STOP);
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|id| {
            let mut client = node.connect();
            let mut messages = Vec::new();
            pg::put_startup(&mut messages, "api", "ledger");
            pg::put_query(&mut messages, &lookup(id + 1, DEADLINE_MS));
            client.io.write_all(&messages).unwrap();
            client
        })
        .collect();
    node.signal(Signal::CONT);
    let unanswered = clients.iter_mut().filter_map(|client| {
        // The startup response, or an error in its place; then the answer.
        let startup = client.read_answer();
        let answer = if startup == Answer::Closed { client.read_answer() } else { startup };
        (answer == Answer::Closed).then_some(())
    });
    assert_eq!(unanswered.count(), 0);
}
