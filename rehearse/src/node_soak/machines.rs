//! Machines of a soak test. They serve, misbehave as configured, and record each request that they receive.
use super::checker::{value_of, Attempt};
use super::fault_plan::Behavior;
use super::{lock, Clock, PlantedFault};
use rockpick::Ns;
use rockpick_fakes::scripted::{machine_served_by, row, MachineConnection};
use rockpick_net::MS;
use rockpick_pg as pg;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The work of a request, by its id: the minimum plus 0 to 29 steps of 1 ms.
const MIN_WORK: Duration = Duration::from_millis(3);
const WORK_STEPS: u64 = 30;
const WORK_STEP: Duration = Duration::from_millis(1);
/// The idle timeout of a machine that closes idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_millis(20);
/// How often a paused machine checks whether it should continue.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// None if the connection is over and the machine closes it.
type Connected = Option<()>;

pub struct Machine {
    pub name: String,
    pub at: SocketAddr,
    state: Arc<State>,
}

struct State {
    number: usize,
    clock: Clock,
    up: AtomicBool,
    behavior: Mutex<Behavior>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    /// It turns all requests away, and runs them.
    lies: bool,
}

impl Machine {
    pub fn start(
        number: usize, clock: Clock, attempts: Arc<Mutex<Vec<Attempt>>>, planted: Option<PlantedFault>,
    ) -> Machine {
        let (up, behavior) = (AtomicBool::new(true), Mutex::new(Behavior::Normal));
        let state = Arc::new(State {
            number,
            clock,
            up,
            behavior,
            attempts,
            lies: planted == Some(PlantedFault::RunTwice),
        });
        let server_state = state.clone();
        let at = machine_served_by(move |_, line| server_state.serve(line));
        Machine { name: format!("m{number}"), at, state }
    }

    pub fn set_up(&self, up: bool) {
        self.state.up.store(up, Ordering::SeqCst);
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *lock(&self.state.behavior) = behavior;
    }
}

/// Reads the request's id and its time left from a statement's comment.
fn read_comment(statement: &str) -> Option<(u64, Ns)> {
    let field = |name: &str| {
        let from = statement.rfind(name)? + name.len();
        let rest = &statement[from..];
        Some(&rest[..rest.find([',', ' ']).unwrap_or(rest.len())])
    };
    let id = u64::from_str_radix(field("id=")?, 16).ok()?;
    let time_left = field(",d=").and_then(|d| d.parse::<Ns>().ok()).unwrap_or(0);
    Some((id, time_left * MS))
}

impl State {
    fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    fn behavior(&self) -> Behavior {
        *lock(&self.behavior)
    }

    fn serve(&self, mut line: MachineConnection) -> Connected {
        line.read_startup()?;
        self.is_up().then_some(())?;
        line.send_startup_response()?;
        loop {
            let timeout = (self.behavior() == Behavior::ClosesIdle).then_some(IDLE_TIMEOUT);
            line.io.set_read_timeout(timeout).ok()?;
            let statement = line.query()?;
            let behavior = if self.lies { Behavior::Refuses } else { self.behavior() };
            let Some((request, time_left)) = read_comment(&statement) else { continue };
            let (machine, may_have_run) = (self.number, behavior != Behavior::Refuses || self.lies);
            let at = self.clock.now();
            lock(&self.attempts).push(Attempt { request, at, machine, may_have_run, time_left });
            self.is_up().then_some(())?;
            self.answer(&mut line, behavior, request)?;
        }
    }

    fn answer(&self, line: &mut MachineConnection, behavior: Behavior, request: u64) -> Connected {
        let mut bytes = row(&value_of(request));
        match behavior {
            Behavior::Normal | Behavior::ClosesIdle => {
                std::thread::sleep(MIN_WORK + WORK_STEP * (request % WORK_STEPS) as u32);
            }
            Behavior::Hangs => {
                self.wait_while(behavior);
                return None;
            }
            Behavior::Pauses => self.wait_while(behavior),
            Behavior::Resets => return None,
            Behavior::Refuses => bytes = error(pg::TOO_MANY_CONNECTIONS),
            Behavior::Fails => bytes = error(pg::INTERNAL_ERROR),
            Behavior::TruncatesAnswers => {
                line.io.write_all(&bytes[..bytes.len() / 2]).ok()?;
                return None;
            }
        }
        line.io.write_all(&bytes).ok()
    }

    fn wait_while(&self, behavior: Behavior) {
        while self.behavior() == behavior && self.is_up() {
            std::thread::sleep(PAUSE_POLL_INTERVAL);
        }
    }
}

fn error(code: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::put_error(&mut bytes, false, code, "no", None);
    pg::put_ready(&mut bytes);
    bytes
}
