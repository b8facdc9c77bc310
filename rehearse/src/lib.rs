//! Rehearsals: controller, fronts, machines and clients run as separate processes on loopback under a script of faults.
//! [`judge`] checks the rules against what was recorded at the ends of their connections.

/// Replaces the standard macro, which panics when standard output is closed.
macro_rules! println {
    ($($args:tt)*) => { crate::write_stdout(format_args!("{}\n", format_args!($($args)*))) };
}

pub mod day;
mod directory;
pub mod judge;
pub mod node_soak;
mod runner;
mod watch;

pub use day::Plan;
use rockpick_net::http::{self, Response};
use rockpick_net::{Call, CallEnd, Event, Net, MS, SEC};
pub use runner::{print_judgement, read_records};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// The first error of a write to standard output.
static STDOUT_ERROR: Mutex<Option<std::io::ErrorKind>> = Mutex::new(None);

/// Writes to standard output. An error is stored for [`stdout_error`] and does not stop the caller.
pub fn write_stdout(args: std::fmt::Arguments) {
    let mut out = std::io::stdout().lock();
    if let Err(err) = out.write_fmt(args).and_then(|()| out.flush()) {
        STDOUT_ERROR.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(err.kind());
    }
}

/// The first error of a write to standard output, if any failed.
pub fn stdout_error() -> Option<std::io::ErrorKind> {
    *STDOUT_ERROR.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a request to an HTTP server and waits for the response, at most five seconds.
///
/// # Errors
/// Says why there is no response.
pub fn call(to: SocketAddr, method: &str, target: &str, body: &str) -> Result<Response, String> {
    let mut net = Net::new(1).map_err(|err| err.to_string())?;
    let lines = [("Content-Type", "application/json")];
    let request = http::encode_request(method, target, &to.to_string(), &lines, body.as_bytes());
    let mut events = Vec::new();
    net.call(
        &mut events,
        Call { to, request: &request, connect_within: SEC, stream: false, head_only: false },
    );
    while net.now() < 5 * SEC {
        for event in events.drain(..) {
            if let Event::CallEnded { end, .. } = event {
                return match end {
                    CallEnd::Answer(answer) => Ok(answer),
                    CallEnd::Unreachable | CallEnd::Unsent => Err(format!("{to}: no connection")),
                    CallEnd::Broken(why) => Err(format!("{to}: {why}")),
                };
            }
        }
        net.turn(&mut events, 100 * MS).map_err(|err| err.to_string())?;
    }
    Err(format!("{to}: no answer within 5 s"))
}

/// Creates the folder of a day's records.
///
/// # Errors
/// The folder can't be created, or is not empty.
fn create_folder(out: &Path) -> Result<(), String> {
    std::fs::create_dir_all(out).map_err(|err| format!("{}: {err}", out.display()))?;
    if std::fs::read_dir(out).map_err(|err| err.to_string())?.next().is_some() {
        return Err(format!("--out {}: not empty", out.display()));
    }
    Ok(())
}

/// Runs a rehearsal; true if no rule was broken.
///
/// # Errors
/// The plan is invalid, or a process can't be started.
pub fn run(plan: Plan) -> Result<bool, String> {
    if plan.is_node_soak() {
        plan.check()?;
        let planted = plan.faulty.map(node_soak::PlantedFault::of_rule).transpose()?;
        return node_soak::run(plan.seed, plan.seconds, plan.out, planted);
    }
    runner::run(plan)
}
