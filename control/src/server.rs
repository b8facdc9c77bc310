//! The controller's sockets: HTTP with JSON, watch streams, the snapshot.
use crate::desk::{Answer, Desk};
use crate::keep::{self, Writer};
use rockpick_net::{Event, Id, Net, Ns, MS};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;

/// How often time passes at the desk: stages and rosters are told this late at most.
const PASS: Ns = 20 * MS;
/// Connections taken: every machine's, every front's and some callers'.
const MOST_CLIENTS: usize = 20_000;
/// While a build is on trial its time run is kept this often.
const SAVE: Ns = 1_000 * MS;

pub struct Controller {
    pub listen: SocketAddr,
    pub state: Option<PathBuf>,
    /// The repository of signed builds, served under `/repo`.
    pub repo: Option<PathBuf>,
}

const SIGTERM: i32 = 15;
const SIGINT: i32 = 2;

impl Controller {
    /// Runs until a signal ends it; `ready` hears the address taken.
    ///
    /// # Errors
    /// A snapshot that can't be read or makes no sense, an address that can't be listened on.
    pub fn run(self, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
        let mut net = Net::new(MOST_CLIENTS).map_err(|err| err.to_string())?;
        let file = self.state.as_ref().map(|dir| dir.join("controller.json"));
        if let Some(dir) = &self.state {
            std::fs::create_dir_all(dir).map_err(|err| format!("{}: {err}", dir.display()))?;
        }
        let kept = match &file {
            Some(file) => keep::load_sealed(file).map_err(|err| format!("{}: {err}", file.display()))?,
            None => None,
        };
        let mut desk = Desk::open(net.now(), kept.as_deref())?;
        for signal in [SIGTERM, SIGINT] {
            net.on_signal(signal).map_err(|err| err.to_string())?;
        }
        let (_, at) = net.listen(self.listen).map_err(|err| format!("{}: {err}", self.listen))?;
        ready(at);
        tracing::info!(event = "controller up", at = %at, settings_version = desk.version);
        // What was acknowledged is kept first: answers to changes wait here until their snapshot is on disk.
        let writer = file.map(|file| Writer::new(file, |text: &Vec<u8>| Ok(text.clone())));
        let mut waiting: Vec<Waiting> = Vec::new();
        let (mut events, mut passed, mut saved) = (Vec::new(), Ns::MIN / 2, 0);
        loop {
            net.turn(&mut events, if waiting.is_empty() { PASS } else { 2 * MS })
                .map_err(|err| err.to_string())?;
            let now = net.now();
            if let Some(writer) = &writer {
                let (done, why) = writer.done();
                let (over, rest) = waiting.into_iter().partition(|w| w.number <= done);
                waiting = rest;
                say(&mut net, over, why.as_deref());
            }
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Request { conn, request } if request.path().starts_with("/repo/") => {
                        use crate::files::Said;
                        fn plain<'a>(lines: &'a [(&'static str, String)]) -> Vec<(&'a str, &'a str)> {
                            lines.iter().map(|(n, v)| (*n, v.as_str())).collect()
                        }
                        match crate::files::serve(self.repo.as_deref(), &request) {
                            Said::Words(status, lines, body) => {
                                net.answer(conn, status, &plain(&lines), body.as_bytes());
                            }
                            Said::Bytes(status, lines, file, long) => {
                                net.answer_file(conn, status, &plain(&lines), file, long);
                            }
                        }
                    }
                    Event::Request { conn, request } => {
                        match desk.request(now, conn, &request.method, &request.target, &request.body) {
                            Answer::Now(status, value) => {
                                let changed = desk.dirty.then(|| desk.save(now)).flatten();
                                let number = writer.as_ref().zip(changed).map(|(w, text)| w.keep(text));
                                let answer = Waiting { number: number.unwrap_or(0), conn, status, value };
                                match number {
                                    Some(_) => waiting.push(answer),
                                    None => say(&mut net, vec![answer], None),
                                }
                            }
                            Answer::Watch => {
                                net.open_stream(conn, &[("Content-Type", "application/x-ndjson")])
                            }
                        }
                    }
                    Event::ClientClosed { conn } => desk.unwatch(conn),
                    Event::Signal { .. } => {
                        let last = desk.save(now);
                        let kept = writer.map_or(Ok(()), |writer| writer.close(last));
                        say(&mut net, waiting, kept.as_ref().err().map(String::as_str));
                        tracing::info!(event = "controller down");
                        return kept;
                    }
                    _ => {}
                }
            }
            if now - passed >= PASS {
                passed = now;
                for (conn, mut line) in desk.pass(now) {
                    line.push('\n');
                    if !net.stream(conn, line.as_bytes()) {
                        desk.unwatch(conn);
                    }
                }
            }
            let on_trial = desk.release.as_ref().and_then(|r| r.newest.as_ref()).is_some_and(|t| t.ran > 0);
            if desk.dirty || on_trial && now - saved >= SAVE {
                saved = now;
                if let (Some(text), Some(writer)) = (desk.save(now), &writer) {
                    writer.keep(text);
                }
            }
        }
    }
}

/// An answer, and the number of the snapshot that holds what it acknowledges.
struct Waiting {
    number: u64,
    conn: Id,
    status: u16,
    value: Value,
}

/// Gives answers; where the snapshot is not on disk, in the words of that.
fn say(net: &mut Net, answers: Vec<Waiting>, why: Option<&str>) {
    for Waiting { conn, status, value, .. } in answers {
        let (status, value) = match why {
            None => (status, value),
            Some(why) => {
                let why = format!("in force, but not on disk yet: {why}");
                (500, json!({ "errors": [{ "field": "state", "why": why }] }))
            }
        };
        let body = format!("{value}\n");
        net.answer(conn, status, &[("Content-Type", "application/json")], body.as_bytes());
    }
}
