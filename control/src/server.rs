//! The controller's sockets and files: HTTP with JSON, watch streams, the repository, the snapshot.
use crate::api::{Api, Response};
use crate::atomic_file::{self, BackgroundWriter};
use rockpick_net::{Event, Id, Net, Ns, MS};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Interval of [`Api::tick`]: stage and roster changes are sent to watchers at most this late.
const TICK: Ns = 20 * MS;
/// Most connections: one of each machine, one of each front, and those of callers.
const MAX_CONNECTIONS: usize = 20_000;
/// How long a stop waits for callers that have not read their answers yet.
const FLUSH_TIMEOUT: Ns = 3_000 * MS;
/// While a build is on trial, its run time is written to the snapshot this often.
const SAVE_INTERVAL: Ns = 1_000 * MS;

pub struct Controller {
    pub listen: SocketAddr,
    pub state: Option<PathBuf>,
    /// The repository of signed builds, served under `/repo`.
    pub repo: Option<PathBuf>,
}

const SIGTERM: i32 = 15;
const SIGINT: i32 = 2;

impl Controller {
    /// Runs until a signal ends it; `ready` is called with the address it listens on.
    ///
    /// # Errors
    /// The snapshot can't be read or is invalid, or the address can't be bound.
    pub fn run(self, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
        let mut net = Net::new(MAX_CONNECTIONS).map_err(|err| err.to_string())?;
        let file = self.state.as_ref().map(|dir| dir.join("controller.json"));
        if let Some(dir) = &self.state {
            std::fs::create_dir_all(dir).map_err(|err| format!("{}: {err}", dir.display()))?;
        }
        let stored = match &file {
            Some(file) => {
                atomic_file::load_checked(file).map_err(|err| format!("{}: {err}", file.display()))?
            }
            None => None,
        };
        let mut api = Api::restore(net.now(), stored.as_deref())?;
        for signal in [SIGTERM, SIGINT] {
            net.on_signal(signal).map_err(|err| err.to_string())?;
        }
        let (_, at) = net.listen(self.listen).map_err(|err| format!("{}: {err}", self.listen))?;
        ready(at);
        tracing::info!(event = "controller up", at = %at, settings_version = api.version);
        // A change is acknowledged only when it is durable: its response waits here until the snapshot is on disk.
        let writer = file.map(|file| BackgroundWriter::new(file, |text: &Vec<u8>| Ok(text.clone())));
        let mut pending: Vec<PendingResponse> = Vec::new();
        let (mut events, mut last_tick, mut last_save) = (Vec::new(), Ns::MIN / 2, 0);
        let mut stopping = false;
        loop {
            net.turn(&mut events, if pending.is_empty() { TICK } else { 2 * MS })
                .map_err(|err| err.to_string())?;
            let now = net.now();
            if let Some(writer) = &writer {
                let (done, why) = writer.progress();
                let (written, rest) = pending.into_iter().partition(|w| w.number <= done);
                pending = rest;
                send_responses(&mut net, written, why.as_deref());
            }
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Request { conn, request } if request.path().starts_with("/repo/") => {
                        use crate::repo_files::FileResponse;
                        fn borrowed<'a>(headers: &'a [(&'static str, String)]) -> Vec<(&'a str, &'a str)> {
                            headers.iter().map(|(n, v)| (*n, v.as_str())).collect()
                        }
                        match crate::repo_files::serve(self.repo.as_deref(), &request) {
                            FileResponse::Text(status, headers, body) => {
                                net.answer(conn, status, &borrowed(&headers), body.as_bytes());
                            }
                            FileResponse::File(status, headers, file, length) => {
                                net.answer_file(conn, status, &borrowed(&headers), file, length);
                            }
                        }
                    }
                    Event::Request { conn, request } => {
                        match api.request(now, conn, &request.method, &request.target, &request.body) {
                            Response::Json(status, value) => {
                                let changed = api.dirty.then(|| api.snapshot(now)).flatten();
                                let number = writer.as_ref().zip(changed).map(|(w, text)| w.submit(text));
                                let response =
                                    PendingResponse { number: number.unwrap_or(0), conn, status, value };
                                match number {
                                    Some(_) => pending.push(response),
                                    None => send_responses(&mut net, vec![response], None),
                                }
                            }
                            Response::Watch => {
                                net.open_stream(conn, &[("Content-Type", "application/x-ndjson")])
                            }
                        }
                    }
                    Event::ClientClosed { conn } => api.unwatch(conn),
                    Event::Signal { .. } => stopping = true,
                    _ => {}
                }
            }
            if stopping {
                let stored = writer.map_or(Ok(()), |writer| writer.close(api.snapshot(now)));
                send_responses(&mut net, pending, stored.as_ref().err().map(String::as_str));
                finish_responses(&mut net)?;
                tracing::info!(event = "controller down", unsent = net.unsent());
                return stored;
            }
            if now - last_tick >= TICK {
                last_tick = now;
                for (conn, mut line) in api.tick(now) {
                    line.push('\n');
                    if !net.stream(conn, line.as_bytes()) {
                        api.unwatch(conn);
                    }
                }
            }
            let on_trial =
                api.release.as_ref().and_then(|r| r.newest.as_ref()).is_some_and(|t| t.run_time > 0);
            if api.dirty || on_trial && now - last_save >= SAVE_INTERVAL {
                last_save = now;
                if let (Some(text), Some(writer)) = (api.snapshot(now), &writer) {
                    writer.submit(text);
                }
            }
        }
    }
}

/// A response that waits for the snapshot with the change it acknowledges, and that snapshot's number.
struct PendingResponse {
    number: u64,
    conn: Id,
    status: u16,
    value: Value,
}

/// Waits until callers have read their responses, within a time limit. Requests that come now are not carried out.
///
/// # Errors
/// A failure of the event loop.
fn finish_responses(net: &mut Net) -> Result<(), String> {
    net.stop_listening();
    let by = net.now() + FLUSH_TIMEOUT;
    let mut events = Vec::new();
    while net.unsent() > 0 && net.now() < by {
        net.turn(&mut events, TICK).map_err(|err| err.to_string())?;
        for event in events.drain(..) {
            if let Event::Request { conn, .. } = event {
                let body = json!({ "errors": [{ "field": "", "why": "the controller is stopping" }] });
                net.answer(
                    conn,
                    503,
                    &[("Content-Type", "application/json")],
                    format!("{body}\n").as_bytes(),
                );
            }
        }
    }
    Ok(())
}

/// Sends responses, or an error if their snapshot could not be written (`why`).
fn send_responses(net: &mut Net, responses: Vec<PendingResponse>, why: Option<&str>) {
    for PendingResponse { conn, status, value, .. } in responses {
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
