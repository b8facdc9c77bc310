//! Small faulty fronts, one a rule: the rehearsal's checker must catch each. Number 0 breaks none on
//! purpose: random choice with no bound at all, and what that breaks it breaks.
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
    pub breaks: u8,
    pub seed: u64,
}

struct Listed {
    addr: SocketAddr,
    build: u64,
    up: bool,
    started: Ns,
}

/// Every so manieth RPC is mistreated.
const EVERY: u64 = 10;

impl Faulty {
    /// Runs until a signal.
    ///
    /// # Errors
    /// Sockets that can't be had.
    pub fn run(self, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
        let say = |err: std::io::Error| err.to_string();
        let mut net = Net::new(10_000).map_err(say)?;
        net.on_signal(15).map_err(say)?;
        let (_, at) = net.listen(self.listen).map_err(say)?;
        ready(at);
        let mut chance = StdRng::seed_from_u64(self.seed);
        let mut machines: BTreeMap<String, Listed> = BTreeMap::new();
        let mut calls: HashMap<Id, (Id, Request, bool)> = HashMap::new();
        let (mut events, mut made, mut line) = (Vec::new(), Vec::new(), Vec::new());
        let mut watch = 0;
        let mut trial = 0;
        let mut taken = 0u64;
        net.wake_at(0, 1);
        loop {
            events.append(&mut made);
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
                        watch = net.call(&mut made, call);
                    }
                    Event::CallData { call, bytes, .. } if call == watch => {
                        line.extend_from_slice(&bytes);
                        while let Some(whole) = take_line(&mut line) {
                            let said: Value = serde_json::from_slice(&whole).unwrap_or(Value::Null);
                            if let Some(build) = said["stage"]["build"].as_u64() {
                                trial = build;
                            }
                            for m in said["roster"]["members"].as_array().into_iter().flatten() {
                                let Some(addr) = m["addr"].as_str().and_then(|a| a.parse().ok()) else {
                                    continue;
                                };
                                let age = m["age_ms"].as_f64().unwrap_or(0.0);
                                let listed = Listed {
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
                        taken += 1;
                        if self.breaks == 1 && taken.is_multiple_of(EVERY) {
                            continue; // never answered
                        }
                        let to = pick(&machines, self.breaks, trial, &mut chance);
                        send(&mut net, &mut made, &mut calls, &self.name, to, conn, request, 0);
                    }
                    Event::CallEnded { call, .. } if call == watch => {
                        net.wake_at(net.now() + SEC / 2, 1);
                    }
                    Event::CallEnded { call, end } => {
                        let Some((conn, request, again)) = calls.remove(&call) else { continue };
                        match end {
                            CallEnd::Answer(r) if r.status < 500 => {
                                if self.breaks == 2 && !again && request.target == "/rpc/lodge" {
                                    // Once more, to be quite sure.
                                    let to = pick(&machines, 0, trial, &mut chance);
                                    send(&mut net, &mut made, &mut calls, &self.name, to, conn, request, 1);
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
    machines: &BTreeMap<String, Listed>, breaks: u8, trial: u64, chance: &mut StdRng,
) -> Option<SocketAddr> {
    let all: Vec<&Listed> = machines.values().collect();
    let fits: Vec<&&Listed> = match breaks {
        3 => all.iter().filter(|m| !m.up).collect(),
        5 => all.iter().filter(|m| m.up && m.build == trial).collect(),
        4 => {
            let youngest = all.iter().filter(|m| m.up).map(|m| m.started).max();
            all.iter().filter(|m| Some(m.started) == youngest).collect()
        }
        // The others keep the fifth rule by leaving the trial alone.
        _ => all.iter().filter(|m| m.up && m.build < trial).collect(),
    };
    let up: Vec<&&Listed> = all.iter().filter(|m| m.up).collect();
    let from = if fits.is_empty() { up } else { fits };
    (!from.is_empty()).then(|| from[chance.random_range(0..from.len())].addr)
}

#[allow(clippy::too_many_arguments)]
fn send(
    net: &mut Net, made: &mut Vec<Event>, calls: &mut HashMap<Id, (Id, Request, bool)>, name: &str,
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
    let id = net.call(made, call);
    calls.insert(id, (conn, request, pick > 0));
}
