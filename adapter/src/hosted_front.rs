//! One front of the simulator: translates its events to calls of the decision module, and the module's actions
//! to lines of output. Ids become small indices on the way.
use crate::line_reader::{decode_base64, encode_base64, Line, LineError};
use rockpick::{
    Actions, Front, FrontConfig, Member, Ns, Outcome, Phase, Reply, RolloutStatus, RosterUpdate, State,
    Verdict,
};
use rockpick_front_settings::{nanos, number, SettingsMap};
use rockpick_id_table::{tag, IdTable};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// An entry of a roster list; the fronts of the process share the lists.
pub struct RosterEntry {
    name: String,
    entry: Member,
}

impl RosterEntry {
    pub fn read(line: &mut Line) -> Result<Self, LineError> {
        let zone = line.optional("zone", |w| w.parse().ok())?.unwrap_or(0);
        let started = line.optional("readyAtMs", nanos)?.filter(|at| *at != 0);
        line.optional("type", |w| w.parse::<u32>().ok())?;
        let build = line.optional("runs", |w| w.parse().ok())?.unwrap_or(0);
        let state = line.required("availability", |text| match text {
            "U" => Some(State::Up),
            "L" => Some(State::Draining),
            "D" => Some(State::Gone),
            _ => None,
        })?;
        let cell = line.optional("block", |w| w.parse().ok())?.unwrap_or(0);
        let weight = line.optional("powerHint", number)?.unwrap_or(1.0);
        let name = line.field("machine")?.to_string();
        let tag = tag(&name);
        Ok(RosterEntry { name, entry: Member { machine: 0, tag, zone, cell, build, state, weight, started } })
    }
}

/// Writes the actions of one call as lines of output.
struct ActionWriter<'a> {
    now: Ns,
    front: u32,
    ids: &'a mut IdTable,
    out: &'a mut String,
}

/// Prints a time in milliseconds with three decimals.
struct Ms(Ns);

impl std::fmt::Display for Ms {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        let micros = self.0.div_euclid(1000);
        write!(out, "{}.{:03}", micros.div_euclid(1000), micros.rem_euclid(1000))
    }
}

macro_rules! write_line {
    ($writer:ident, $($format:tt)*) => {{
        let _ = writeln!($writer.out, $($format)*);
    }};
}

impl ActionWriter<'_> {
    /// Marks the RPC as answered and returns its id.
    fn finish(&mut self, rpc: usize) -> u64 {
        self.ids.finish(rpc);
        self.ids.id(rpc)
    }
}

impl Actions for ActionWriter<'_> {
    fn now(&self) -> Ns {
        self.now
    }

    fn pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        self.ids.pick_sent(rpc);
        let (id, name) = (self.ids.id(rpc), self.ids.machine_name(machine));
        write_line!(self, "PASS_ON {} {id:016x} {} {name}", self.front, Ms(time_out));
    }

    fn cancel(&mut self, rpc: usize, pick: u32) {
        let id = self.ids.id(rpc);
        write_line!(self, "REVOKE {} {id:016x} {pick}", self.front);
    }

    fn push_back(&mut self, rpc: usize, wait: Ns) {
        let id = self.finish(rpc);
        write_line!(self, "NOT_NOW {} {id:016x} {}", self.front, Ms(wait));
    }

    fn abort(&mut self, rpc: usize) {
        let id = self.finish(rpc);
        write_line!(self, "LOSE {} {id:016x}", self.front);
    }

    fn wake_at(&mut self, at: Ns, tag: u64) {
        write_line!(self, "WAKE_AT {} {} {tag}", self.front, Ms(at));
    }

    fn probe(&mut self, machine: usize) {
        let name = self.ids.machine_name(machine);
        write_line!(self, "PROBE {} {name}", self.front);
    }

    fn send_note(&mut self, peer: Option<u32>, note: &[u8]) {
        let mut text = String::new();
        encode_base64(note, &mut text);
        match peer {
            Some(peer) => write_line!(self, "MEMO_TO {} {peer} {text}", self.front),
            None => write_line!(self, "MEMO_TO {} * {text}", self.front),
        }
    }

    fn watch(&mut self, on: bool) {
        write_line!(self, "OBSERVE {} {}", self.front, u8::from(on));
    }

    fn fetch(&mut self) {
        write_line!(self, "FETCH {}", self.front);
    }

    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        let code = match verdict {
            Verdict::NoVote => 0,
            Verdict::On => 1,
            Verdict::Hold => 2,
            Verdict::Back => 3,
        };
        write_line!(self, "OPINION {} {build} {stage} {code}", self.front);
    }

    fn log(&mut self, text: &str) {
        write_line!(self, "TRACE {} {}", self.front, text.replace('\n', " "));
    }
}

pub struct HostedFront {
    number: u32,
    ids: IdTable,
    front: Option<Front>,
}

fn parse_outcome(text: &str) -> Option<Outcome> {
    Some(match text {
        "success" => Outcome::Ok,
        "failure" => Outcome::Error,
        "overloaded" => Outcome::Full,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::Broken,
        "withdrawn" => Outcome::Cancelled,
        "void" => Outcome::Void,
        _ => return None,
    })
}

/// Checks the syntax of a load report; the decision module does not use its values.
fn check_load_report(text: &str) -> Option<()> {
    text.split(',').all(|w| w == "-" || number(w).is_some()).then_some(())
}

fn read_config(line: &mut Line) -> Result<FrontConfig, LineError> {
    let seed = line
        .required("rngSeed", |w| w.parse::<u64>().ok().or_else(|| w.parse::<i64>().ok().map(|x| x as u64)))?;
    Ok(rockpick_front_settings::parse_front_config(seed, &SettingsMap::from_pairs(line.rest())?)?)
}

impl HostedFront {
    pub fn start(now: Ns, number: u32, line: &mut Line, out: &mut String) -> Result<Self, LineError> {
        let config = read_config(line)?;
        let mut hosted = HostedFront { number, ids: IdTable::default(), front: None };
        hosted.call(now, out, |front, actions| *front = Some(Front::start(config, actions)));
        Ok(hosted)
    }

    #[cfg(test)]
    pub fn open(&self) -> usize {
        self.ids.open_rpcs()
    }

    /// Calls the decision module. If it panics, BAIL_OUT is written and the front takes no further events.
    fn call(&mut self, now: Ns, out: &mut String, f: impl FnOnce(&mut Option<Front>, &mut ActionWriter)) {
        let (front, ids, number) = (&mut self.front, &mut self.ids, self.number);
        let call = AssertUnwindSafe(|| f(front, &mut ActionWriter { now, front: number, ids, out }));
        if let Err(panic) = catch_unwind(call) {
            let text = (panic.downcast_ref::<String>().map(String::as_str))
                .or(panic.downcast_ref::<&str>().copied())
                .unwrap_or("panic");
            if !out.is_empty() && !out.ends_with('\n') {
                out.push('\n');
            }
            let _ = writeln!(out, "BAIL_OUT {number} {}", text.replace('\n', " "));
            self.front = None;
        }
    }

    pub fn event(
        &mut self, now: Ns, name: &str, line: &mut Line, lists: &BTreeMap<u8, Vec<RosterEntry>>,
        out: &mut String,
    ) -> Result<(), LineError> {
        macro_rules! notify {
            ($call:ident ( $($arg:expr),* )) => {
                self.call(now, out, |front, actions| {
                    if let Some(front) = front { front.$call(actions, $($arg),*) }
                })
            };
        }
        match name {
            "PEERS_KNOWN" => {
                let update = line.required("form", |text| match text {
                    "INCREMENTAL" => Some(RosterUpdate::Changes),
                    "FULL" => Some(RosterUpdate::Full),
                    "SAVED" => Some(RosterUpdate::Saved),
                    "FAILED" => Some(RosterUpdate::Failed),
                    _ => None,
                })?;
                let mut members = Vec::new();
                if update != RosterUpdate::Failed {
                    let set = line.int::<u8>("setId")?;
                    let list = lists
                        .get(&set)
                        .ok_or_else(|| line.error("setId", format!("no list with id {set}")))?;
                    members.extend(
                        list.iter()
                            .map(|l| Member { machine: self.ids.intern_machine(&l.name), ..l.entry.clone() }),
                    );
                }
                notify!(roster_updated(update, &members));
            }
            "REQ" => {
                let id = line.hex("req")?;
                let method = line.int::<usize>("service")?;
                line.optional("party", |w| w.parse::<usize>().ok())?;
                let key = line.optional("subject", |w| w.parse::<u64>().ok())?;
                let deadline = line.time("deadlineMs")?;
                line.optional("workHintMs", number)?;
                let rpc = self.ids.open(id);
                notify!(rpc_received(rpc, method, key, deadline));
                self.ids.release(rpc);
            }
            "RESULT" => {
                if let Some(rpc) = self.ids.rpc(line.hex("req")?) {
                    let pick = line.int::<usize>("try")?;
                    line.field("machine")?;
                    let outcome = line.required("how", parse_outcome)?;
                    let elapsed = line.time("elapsedMs")?;
                    let last = line.flag("last")?;
                    line.optional("report", check_load_report)?;
                    self.ids.pick_ended(rpc);
                    if last {
                        self.ids.finish(rpc);
                    }
                    notify!(pick_ended(rpc, pick, outcome, elapsed, last));
                    self.ids.release(rpc);
                }
            }
            "ACCEPTED" | "ABANDONED" => {
                if let Some(rpc) = self.ids.rpc(line.hex("req")?) {
                    if name == "ABANDONED" {
                        self.ids.finish(rpc);
                    }
                    self.call(now, out, |front, _| {
                        if let Some(front) = front {
                            front.rpc_closed(rpc)
                        }
                    });
                    self.ids.release(rpc);
                }
            }
            "WAKE" => {
                let tag = line.int("tag")?;
                notify!(timer_fired(tag));
            }
            // The decision module never sends probes.
            "HEALTH" => {}
            "PLATFORM_SAW" => {
                let (build, method) = (line.int("buildNo")?, line.int("service")?);
                let picks = line.int("attempts")?;
                line.optional("elapsedMs", number)?;
                let not_ok = line.int("notOk")?;
                line.optional("oldMs", nanos)?;
                notify!(platform_counted(build, method, picks, not_ok));
            }
            "INBOX" => {
                let from = line.int("srcPeer")?;
                let note = line.optional("content", decode_base64)?.unwrap_or_default();
                notify!(note_received(from, &note));
            }
            "PHASE_TOLD" => {
                let stage = line.optional("tranche", |w| w.parse::<u32>().ok())?.unwrap_or(0);
                let age = line.optional("oldMs", nanos)?.unwrap_or(0);
                let is_reply = line.flag("how")?;
                let cap = line.optional("allowed", number)?.unwrap_or(0.0);
                let build = line.optional("buildNo", |w| w.parse::<u32>().ok())?.unwrap_or(0);
                let status = line.required("status", parse_outcome)?;
                let phase = line.optional("phase", |text| match text {
                    "0" => Some(Phase::OnTrial),
                    "1" => Some(Phase::GoingBack),
                    "2" => Some(Phase::Released),
                    "3" => Some(Phase::Withdrawn),
                    _ => None,
                })?;
                let reply = match (is_reply, status) {
                    (false, _) => Reply::News,
                    (true, Outcome::Ok) => Reply::Counted,
                    (true, Outcome::TimedOut) => Reply::TimedOut,
                    _ => Reply::Refused,
                };
                let news = phase.filter(|_| status == Outcome::Ok);
                notify!(rollout_updated(
                    reply,
                    news.map(|phase| RolloutStatus { build, stage, phase, cap, since: now - age })
                ));
            }
            "DISPUTED" => {
                let age = line.optional("oldMs", nanos)?.unwrap_or(0);
                let machine = self.ids.intern_machine(line.field("machine")?);
                notify!(answer_disputed(machine, now - age));
            }
            _ => {}
        }
        Ok(())
    }
}
