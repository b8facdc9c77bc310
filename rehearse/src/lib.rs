//! A rehearsal: controller, fronts, machines and clients as processes of their own on loopback, a scripted
//! day of troubles, and a judgement by [`judge`] of what crossed the sockets.

/// In place of the standard one, which ends the process by a panic when nobody reads.
macro_rules! println {
    ($($words:tt)*) => { crate::write_stdout(format_args!("{}\n", format_args!($($words)*))) };
}

mod books;
mod crew;
pub mod day;
pub mod judge;
pub mod node_soak;
mod watch;

pub use crew::{print_judgement, read_records};
pub use day::Plan;
use rockpick_net::http::{self, Response};
use rockpick_net::{Call, CallEnd, Event, Net, MS, SEC};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// What became of standard output, if something could not be written there.
static LOST: Mutex<Option<std::io::ErrorKind>> = Mutex::new(None);

/// Writes to standard output; what can't be written is remembered, and what runs goes on.
pub fn write_stdout(words: std::fmt::Arguments) {
    let mut out = std::io::stdout().lock();
    if let Err(err) = out.write_fmt(words).and_then(|()| out.flush()) {
        LOST.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(err.kind());
    }
}

/// Why something could not be written to standard output, if it could not.
pub fn stdout_error() -> Option<std::io::ErrorKind> {
    *LOST.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One call to an HTTP server, waited for: five seconds at most.
///
/// # Errors
/// Says what became of the call.
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

/// Makes the folder of a day's records.
///
/// # Errors
/// It can't be made, or is not empty.
fn begin_folder(out: &Path) -> Result<(), String> {
    std::fs::create_dir_all(out).map_err(|err| format!("{}: {err}", out.display()))?;
    if std::fs::read_dir(out).map_err(|err| err.to_string())?.next().is_some() {
        return Err(format!("--out {}: not empty", out.display()));
    }
    Ok(())
}

/// Plays a day; true when no rule was broken.
///
/// # Errors
/// A plan that makes no sense, processes that can't be started.
pub fn run(plan: Plan) -> Result<bool, String> {
    if plan.is_node_soak() {
        plan.check()?;
        return node_soak::run(plan.seed, plan.seconds, plan.out);
    }
    crew::play(plan)
}
