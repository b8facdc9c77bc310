//! Small faulty fronts, each of which breaks one rule that the rehearsal's checker must detect. Number 0 breaks no rule
//! on purpose: it picks machines at random without any limit, and breaks whatever rules that violates.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_net::http::{self, Request};
use rockpick_net::{take_line, Call, CallEnd, Event, Id, Net, Ns, MS, SEC};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

pub struct Faulty {
    pub name: String,
    pub listen: SocketAddr,
    pub controller: SocketAddr,
    /// The number of the rule to break; 0: none.
    pub breaks: u8,
    pub seed: u64,
}

/// A machine of the roster.
struct RosterEntry {
    addr: SocketAddr,
    build: u64,
    up: bool,
    started: Ns,
}

/// Every RPC with a multiple of this number is left unanswered under rule 1.
const IGNORED_EVERY: u64 = 10;

impl Faulty {
    /// Runs until a signal.
    ///
    /// # Errors
    /// Sockets cannot be opened.
    pub fn run(self, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
        let say = |err: std::io::Error| err.to_string();
        let mut net = Net::new(10_000).map_err(say)?;
        net.on_signal(15).map_err(say)?;
        let (_, at) = net.listen(self.listen).map_err(say)?;
        ready(at);
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut machines: BTreeMap<String, RosterEntry> = BTreeMap::new();
        let mut calls: HashMap<Id, (Id, Request, bool)> = HashMap::new();
        let (mut events, mut new_events, mut line) = (Vec::new(), Vec::new(), Vec::new());
        let mut watch = 0;
        let mut trial = 0;
        let mut received = 0u64;
        net.wake_at(0, 1);
        loop {
            events.append(&mut new_events);
            net.turn(&mut events, SEC).map_err(say)?;
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Timer { .. } => {
                        let target = format!("/watch?front={}&http={at}&notes={at}", self.name);
                        let request = http::encode_request("GET", &target, "c", &[], b"");
                        let to = self.controller;
                        let call = Call {
                            to,
                            request: &request,
                            connect_within: SEC,
                            stream: true,
                            head_only: false,
                        };
                        watch = net.call(&mut new_events, call);
                    }
                    Event::CallData { call, bytes, .. } if call == watch => {
                        line.extend_from_slice(&bytes);
                        while let Some(complete) = take_line(&mut line) {
                            let said: Value = serde_json::from_slice(&complete).unwrap_or(Value::Null);
                            if let Some(build) = said["stage"]["build"].as_u64() {
                                trial = build;
                            }
                            for m in said["roster"]["members"].as_array().into_iter().flatten() {
                                let Some(addr) = m["addr"].as_str().and_then(|a| a.parse().ok()) else {
                                    continue;
                                };
                                let age = m["age_ms"].as_f64().unwrap_or(0.0);
                                let listed = RosterEntry {
                                    addr,
                                    build: m["build"].as_u64().unwrap_or(0),
                                    up: m["state"] == "up",
                                    started: net.now() - (age * MS as f64) as Ns,
                                };
                                machines.insert(m["name"].as_str().unwrap_or("").into(), listed);
                            }
                        }
                    }
                    Event::Request { conn, request } => {
                        received += 1;
                        if self.breaks == 1 && received.is_multiple_of(IGNORED_EVERY) {
                            continue; // Breaks rule 1: no answer.
                        }
                        let to = pick(&machines, self.breaks, trial, &mut rng);
                        send(&mut net, &mut new_events, &mut calls, &self.name, to, conn, request, 0);
                    }
                    Event::CallEnded { call, .. } if call == watch => {
                        net.wake_at(net.now() + SEC / 2, 1);
                    }
                    Event::CallEnded { call, end } => {
                        let Some((conn, request, repeated)) = calls.remove(&call) else { continue };
                        match end {
                            CallEnd::Answer(r) if r.status < 500 => {
                                if self.breaks == 2 && !repeated && request.target == "/rpc/lodge" {
                                    // Breaks rule 2: repeats a call that is not idempotent.
                                    let to = pick(&machines, 0, trial, &mut rng);
                                    send(
                                        &mut net,
                                        &mut new_events,
                                        &mut calls,
                                        &self.name,
                                        to,
                                        conn,
                                        request,
                                        1,
                                    );
                                    continue;
                                }
                                let build = r.headers.get("standin-build").unwrap_or("").to_string();
                                let lines = [("Rockpick-Answer", "ok"), ("Rockpick-Build", &*build)];
                                net.answer(conn, r.status, &lines, &r.body);
                            }
                            CallEnd::Answer(r) if r.headers.get("rockpick-never-ran").is_some() => {
                                net.answer(conn, 503, &[("Rockpick-Answer", "pushed-back")], b"");
                            }
                            CallEnd::Unreachable | CallEnd::Unsent => {
                                net.answer(conn, 503, &[("Rockpick-Answer", "pushed-back")], b"");
                            }
                            _ => net.answer(conn, 502, &[("Rockpick-Answer", "aborted")], b""),
                        }
                    }
                    Event::Signal { .. } => return Ok(()),
                    _ => {}
                }
            }
        }
    }
}

fn pick(
    machines: &BTreeMap<String, RosterEntry>, breaks: u8, trial: u64, rng: &mut StdRng,
) -> Option<SocketAddr> {
    let all: Vec<&RosterEntry> = machines.values().collect();
    let candidates: Vec<&&RosterEntry> = match breaks {
        3 => all.iter().filter(|m| !m.up).collect(),
        5 => all.iter().filter(|m| m.up && m.build == trial).collect(),
        4 => {
            let youngest = all.iter().filter(|m| m.up).map(|m| m.started).max();
            all.iter().filter(|m| Some(m.started) == youngest).collect()
        }
        // The other fronts keep rule 5 by sending nothing to the build on trial.
        _ => all.iter().filter(|m| m.up && m.build < trial).collect(),
    };
    let up: Vec<&&RosterEntry> = all.iter().filter(|m| m.up).collect();
    let from = if candidates.is_empty() { up } else { candidates };
    (!from.is_empty()).then(|| from[rng.random_range(0..from.len())].addr)
}

#[allow(clippy::too_many_arguments)]
fn send(
    net: &mut Net, new_events: &mut Vec<Event>, calls: &mut HashMap<Id, (Id, Request, bool)>, name: &str,
    to: Option<SocketAddr>, conn: Id, request: Request, pick: u32,
) {
    let Some(to) = to else { return net.answer(conn, 503, &[("Rockpick-Answer", "pushed-back")], b"") };
    let nth = pick.to_string();
    let skip = ["host", "content-length"];
    let mut lines: Vec<(&str, &str)> =
        request.headers.iter().filter(|(n, _)| !skip.iter().any(|s| n.eq_ignore_ascii_case(s))).collect();
    lines.push(("Rockpick-Front", name));
    lines.push(("Rockpick-Pick", &nth));
    let text = http::encode_request("POST", &request.target, "m", &lines, &request.body);
    let call = Call { to, request: &text, connect_within: SEC / 4, stream: false, head_only: false };
    let id = net.call(new_events, call);
    calls.insert(id, (conn, request, pick > 0));
}
