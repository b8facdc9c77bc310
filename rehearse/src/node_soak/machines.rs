//! Machines of a soak: they serve, misbehave as told, and note each request that comes to them.
use super::checker::{value_of, Attempt};
use super::fault_plan::Conduct;
use super::{lock, Clock};
use rockpick::Ns;
use rockpick_fakes::scripted::{machine_served_by, row, MachineConnection};
use rockpick_net::MS;
use rockpick_pg as pg;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Work of a request, by its id: from this up to so much more.
const SHORTEST_WORK: Duration = Duration::from_millis(3);
const WORK_STEPS: u64 = 30;
const WORK_STEP: Duration = Duration::from_millis(1);
/// A machine that closes what rests closes it after this.
const RESTS: Duration = Duration::from_millis(20);
/// How often a machine that stands still looks whether it may go on.
const LOOKS: Duration = Duration::from_millis(10);

/// The end of a connection; the machine closes it.
type Closed = Option<()>;

pub struct Machine {
    pub name: String,
    pub at: SocketAddr,
    state: Arc<State>,
}

struct State {
    number: usize,
    clock: Clock,
    up: AtomicBool,
    conduct: Mutex<Conduct>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Machine {
    pub fn begin(number: usize, clock: Clock, attempts: Arc<Mutex<Vec<Attempt>>>) -> Machine {
        let (up, conduct) = (AtomicBool::new(true), Mutex::new(Conduct::Usual));
        let state = Arc::new(State { number, clock, up, conduct, attempts });
        let theirs = state.clone();
        let at = machine_served_by(move |_, line| theirs.serve(line));
        Machine { name: format!("m{number}"), at, state }
    }

    pub fn set_up(&self, up: bool) {
        self.state.up.store(up, Ordering::SeqCst);
    }

    pub fn behaves(&self, conduct: Conduct) {
        *lock(&self.state.conduct) = conduct;
    }
}

/// What a statement's comment says: the request's id, and the time it was told.
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

    fn conduct(&self) -> Conduct {
        *lock(&self.conduct)
    }

    fn serve(&self, mut line: MachineConnection) -> Closed {
        line.hello()?;
        self.is_up().then_some(())?;
        line.welcome()?;
        loop {
            let rests = (self.conduct() == Conduct::ClosesResting).then_some(RESTS);
            line.io.set_read_timeout(rests).ok()?;
            let statement = line.query()?;
            let conduct = self.conduct();
            let Some((request, time_left)) = read_comment(&statement) else { continue };
            let (machine, may_have_run) = (self.number, conduct != Conduct::Refuses);
            let at = self.clock.now();
            lock(&self.attempts).push(Attempt { request, at, machine, may_have_run, time_left });
            self.is_up().then_some(())?;
            self.answer(&mut line, conduct, request)?;
        }
    }

    fn answer(&self, line: &mut MachineConnection, conduct: Conduct, request: u64) -> Closed {
        let mut words = row(&value_of(request));
        match conduct {
            Conduct::Usual | Conduct::ClosesResting => {
                std::thread::sleep(SHORTEST_WORK + WORK_STEP * (request % WORK_STEPS) as u32);
            }
            Conduct::Hangs => {
                self.wait_while(conduct);
                return None;
            }
            Conduct::Pauses => self.wait_while(conduct),
            Conduct::Resets => return None,
            Conduct::Refuses => words = error(pg::TOO_MANY_CONNECTIONS),
            Conduct::Errs => words = error(pg::INTERNAL_ERROR),
            Conduct::Halves => {
                line.io.write_all(&words[..words.len() / 2]).ok()?;
                return None;
            }
        }
        line.io.write_all(&words).ok()
    }

    fn wait_while(&self, conduct: Conduct) {
        while self.conduct() == conduct && self.is_up() {
            std::thread::sleep(LOOKS);
        }
    }
}

fn error(code: &str) -> Vec<u8> {
    let mut words = Vec::new();
    pg::put_error(&mut words, false, code, "no", None);
    pg::put_ready(&mut words);
    words
}
