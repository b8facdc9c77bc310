//! The controller's sockets: HTTP with JSON, watch streams, the snapshot.
use crate::desk::{Answer, Desk};
use crate::keep;
use rockpick_net::{Event, Net, Ns, MS};
use serde_json::json;
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
            Some(file) => keep::load(file).map_err(|err| format!("{}: {err}", file.display()))?,
            None => None,
        };
        let mut desk = Desk::open(net.now(), kept.as_deref())?;
        for signal in [SIGTERM, SIGINT] {
            net.on_signal(signal).map_err(|err| err.to_string())?;
        }
        let (_, at) = net.listen(self.listen).map_err(|err| format!("{}: {err}", self.listen))?;
        ready(at);
        tracing::info!(event = "controller up", at = %at, settings_version = desk.version);
        let (mut events, mut passed, mut saved, mut failed) = (Vec::new(), Ns::MIN / 2, 0, false);
        loop {
            net.turn(&mut events, PASS).map_err(|err| err.to_string())?;
            let now = net.now();
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
                        // Only what this very call changed is its to answer for.
                        let behind = std::mem::take(&mut desk.dirty);
                        let answer = desk.request(now, conn, &request.method, &request.target, &request.body);
                        let changed = std::mem::replace(&mut desk.dirty, behind);
                        match answer {
                            Answer::Now(mut status, mut value) => {
                                // What was acknowledged is kept first.
                                if changed {
                                    desk.dirty = true;
                                    saved = now;
                                    let kept = write(&mut desk, now, &file);
                                    failed = kept.is_err();
                                    if let Err(why) = kept {
                                        let why = format!("in force, but not on disk yet: {why}");
                                        status = 500;
                                        value = json!({ "errors": [{ "field": "state", "why": why }] });
                                    }
                                }
                                let mut body = value.to_string();
                                body.push('\n');
                                net.answer(
                                    conn,
                                    status,
                                    &[("Content-Type", "application/json")],
                                    body.as_bytes(),
                                );
                            }
                            Answer::Watch => {
                                net.open_stream(conn, &[("Content-Type", "application/x-ndjson")])
                            }
                        }
                    }
                    Event::Left { conn } => desk.unwatch(conn),
                    Event::Signal { .. } => {
                        let kept = write(&mut desk, now, &file);
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
            // What could not be kept is tried again after as long; the log has said why.
            let due = now - saved >= SAVE;
            if desk.dirty && (due || !failed) || on_trial && due {
                saved = now;
                failed = write(&mut desk, now, &file).is_err();
            }
        }
    }
}

fn write(desk: &mut Desk, now: Ns, file: &Option<PathBuf>) -> Result<(), String> {
    let (Some(file), Some(text)) = (file, desk.save(now)) else { return Ok(()) };
    keep::replace(file, &text).map_err(|err| {
        desk.dirty = true;
        tracing::error!(event = "snapshot not kept", why = %err);
        format!("{}: {err}", file.display())
    })
}
