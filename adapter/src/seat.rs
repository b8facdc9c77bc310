//! One front's seat: ids become small indices at its door, calls go in, actions go out.
use crate::read::{armour, bytes, Bad, Line};
use rockpick::{Ctl, Front, Member, Ns, Outcome, Phase, Post, Reply, Roll, Standing, State, Verdict};
use rockpick_front_settings::{nanos, number, Terms};
use rockpick_id_table::{tag, IdTable};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// One entry of a list that the whole process shares.
pub struct Listed {
    name: String,
    entry: Member,
}

impl Listed {
    pub fn read(line: &mut Line) -> Result<Self, Bad> {
        let zone = line.may("zone", |w| w.parse().ok())?.unwrap_or(0);
        let started = line.may("readyAtMs", nanos)?.filter(|at| *at != 0);
        line.may("type", |w| w.parse::<u32>().ok())?;
        let build = line.may("runs", |w| w.parse().ok())?.unwrap_or(0);
        let state = line.must("availability", |word| match word {
            "U" => Some(State::Up),
            "L" => Some(State::Draining),
            "D" => Some(State::Gone),
            _ => None,
        })?;
        let cell = line.may("block", |w| w.parse().ok())?.unwrap_or(0);
        let weight = line.may("powerHint", number)?.unwrap_or(1.0);
        let name = line.word("machine")?.to_string();
        let tag = tag(&name);
        Ok(Listed { name, entry: Member { machine: 0, tag, zone, cell, build, state, weight, started } })
    }
}

struct Wire<'a> {
    now: Ns,
    front: u32,
    door: &'a mut IdTable,
    out: &'a mut String,
}

struct Ms(Ns);

impl std::fmt::Display for Ms {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        let micros = self.0.div_euclid(1000);
        write!(out, "{}.{:03}", micros.div_euclid(1000), micros.rem_euclid(1000))
    }
}

macro_rules! say {
    ($wire:ident, $($words:tt)*) => {{
        let _ = writeln!($wire.out, $($words)*);
    }};
}

impl Wire<'_> {
    fn done(&mut self, rpc: usize) -> u64 {
        self.door.finish(rpc);
        self.door.id(rpc)
    }
}

impl Ctl for Wire<'_> {
    fn now(&self) -> Ns {
        self.now
    }

    fn pick(&mut self, rpc: usize, machine: usize, time_out: Ns) {
        self.door.sent(rpc);
        let (id, name) = (self.door.id(rpc), self.door.name(machine));
        say!(self, "PASS_ON {} {id:016x} {} {name}", self.front, Ms(time_out));
    }

    fn cancel(&mut self, rpc: usize, pick: u32) {
        let id = self.door.id(rpc);
        say!(self, "REVOKE {} {id:016x} {pick}", self.front);
    }

    fn push_back(&mut self, rpc: usize, wait: Ns) {
        let id = self.done(rpc);
        say!(self, "NOT_NOW {} {id:016x} {}", self.front, Ms(wait));
    }

    fn abort(&mut self, rpc: usize) {
        let id = self.done(rpc);
        say!(self, "LOSE {} {id:016x}", self.front);
    }

    fn wake_at(&mut self, at: Ns, tag: u64) {
        say!(self, "WAKE_AT {} {} {tag}", self.front, Ms(at));
    }

    fn probe(&mut self, machine: usize) {
        let name = self.door.name(machine);
        say!(self, "PROBE {} {name}", self.front);
    }

    fn tell(&mut self, peer: Option<u32>, note: &[u8]) {
        let mut text = String::new();
        armour(note, &mut text);
        match peer {
            Some(peer) => say!(self, "MEMO_TO {} {peer} {text}", self.front),
            None => say!(self, "MEMO_TO {} * {text}", self.front),
        }
    }

    fn watch(&mut self, on: bool) {
        say!(self, "OBSERVE {} {}", self.front, u8::from(on));
    }

    fn fetch(&mut self) {
        say!(self, "FETCH {}", self.front);
    }

    fn vote(&mut self, build: u32, stage: u32, verdict: Verdict) {
        let how = match verdict {
            Verdict::NoVote => 0,
            Verdict::On => 1,
            Verdict::Hold => 2,
            Verdict::Back => 3,
        };
        say!(self, "OPINION {} {build} {stage} {how}", self.front);
    }

    fn note(&mut self, text: &str) {
        say!(self, "TRACE {} {}", self.front, text.replace('\n', " "));
    }
}

pub struct Seat {
    number: u32,
    door: IdTable,
    front: Option<Front>,
}

fn outcome(word: &str) -> Option<Outcome> {
    Some(match word {
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

/// A load report is checked and left: the module has no use for it.
fn report(word: &str) -> Option<()> {
    word.split(',').all(|w| w == "-" || number(w).is_some()).then_some(())
}

fn post(line: &mut Line) -> Result<Post, Bad> {
    let seed =
        line.must("rngSeed", |w| w.parse::<u64>().ok().or_else(|| w.parse::<i64>().ok().map(|x| x as u64)))?;
    Ok(rockpick_front_settings::post(seed, &Terms::of_pairs(line.rest())?)?)
}

impl Seat {
    pub fn start(now: Ns, number: u32, line: &mut Line, out: &mut String) -> Result<Self, Bad> {
        let post = post(line)?;
        let mut seat = Seat { number, door: IdTable::default(), front: None };
        seat.call(now, out, |front, ctl| *front = Some(Front::start(post, ctl)));
        Ok(seat)
    }

    #[cfg(test)]
    pub fn open(&self) -> usize {
        self.door.in_use()
    }

    /// Hands the module a call; a panic in there becomes a BAIL_OUT and the front falls silent.
    fn call(&mut self, now: Ns, out: &mut String, act: impl FnOnce(&mut Option<Front>, &mut Wire)) {
        let (front, door, number) = (&mut self.front, &mut self.door, self.number);
        let run = AssertUnwindSafe(|| act(front, &mut Wire { now, front: number, door, out }));
        if let Err(panic) = catch_unwind(run) {
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
        &mut self, now: Ns, name: &str, line: &mut Line, lists: &BTreeMap<u8, Vec<Listed>>, out: &mut String,
    ) -> Result<(), Bad> {
        macro_rules! go {
            ($call:ident ( $($arg:expr),* )) => {
                self.call(now, out, |front, ctl| {
                    if let Some(front) = front { front.$call(ctl, $($arg),*) }
                })
            };
        }
        match name {
            "PEERS_KNOWN" => {
                let form = line.must("form", |word| match word {
                    "INCREMENTAL" => Some(Roll::Changes),
                    "FULL" => Some(Roll::Whole),
                    "SAVED" => Some(Roll::Saved),
                    "FAILED" => Some(Roll::Failed),
                    _ => None,
                })?;
                let mut members = Vec::new();
                if form != Roll::Failed {
                    let set = line.int::<u8>("setId")?;
                    let list = lists.get(&set).ok_or_else(|| line.bad("setId", format!("no list {set}")))?;
                    members.extend(
                        list.iter()
                            .map(|l| Member { machine: self.door.machine(&l.name), ..l.entry.clone() }),
                    );
                }
                go!(members(form, &members));
            }
            "REQ" => {
                let id = line.hex("req")?;
                let method = line.int::<usize>("service")?;
                line.may("party", |w| w.parse::<usize>().ok())?;
                let key = line.may("subject", |w| w.parse::<u64>().ok())?;
                let deadline = line.time("deadlineMs")?;
                line.may("workHintMs", number)?;
                let rpc = self.door.open(id);
                go!(taken(rpc, method, key, deadline));
                self.door.sweep(rpc);
            }
            "RESULT" => {
                if let Some(rpc) = self.door.rpc(line.hex("req")?) {
                    let pick = line.int::<usize>("try")?;
                    line.word("machine")?;
                    let how = line.must("how", outcome)?;
                    let elapsed = line.time("elapsedMs")?;
                    let last = line.flag("last")?;
                    line.may("report", report)?;
                    self.door.came_back(rpc);
                    if last {
                        self.door.finish(rpc);
                    }
                    go!(ended(rpc, pick, how, elapsed, last));
                    self.door.sweep(rpc);
                }
            }
            "ACCEPTED" | "ABANDONED" => {
                if let Some(rpc) = self.door.rpc(line.hex("req")?) {
                    if name == "ABANDONED" {
                        self.door.finish(rpc);
                    }
                    self.call(now, out, |front, _| {
                        if let Some(front) = front {
                            front.left(rpc)
                        }
                    });
                    self.door.sweep(rpc);
                }
            }
            "WAKE" => {
                let tag = line.int("tag")?;
                go!(woke(tag));
            }
            // The module asks for no probe.
            "HEALTH" => {}
            "PLATFORM_SAW" => {
                let (build, method) = (line.int("buildNo")?, line.int("service")?);
                let picks = line.int("attempts")?;
                line.may("elapsedMs", number)?;
                let not_ok = line.int("notOk")?;
                line.may("oldMs", nanos)?;
                go!(tallied(build, method, picks, not_ok));
            }
            "INBOX" => {
                let from = line.int("srcPeer")?;
                let note = line.may("content", bytes)?.unwrap_or_default();
                go!(heard(from, &note));
            }
            "PHASE_TOLD" => {
                let stage = line.may("tranche", |w| w.parse::<u32>().ok())?.unwrap_or(0);
                let age = line.may("oldMs", nanos)?.unwrap_or(0);
                let answers = line.flag("how")?;
                let cap = line.may("allowed", number)?.unwrap_or(0.0);
                let build = line.may("buildNo", |w| w.parse::<u32>().ok())?.unwrap_or(0);
                let status = line.must("status", outcome)?;
                let phase = line.may("phase", |word| match word {
                    "0" => Some(Phase::OnTrial),
                    "1" => Some(Phase::GoingBack),
                    "2" => Some(Phase::Released),
                    "3" => Some(Phase::Withdrawn),
                    _ => None,
                })?;
                let reply = match (answers, status) {
                    (false, _) => Reply::News,
                    (true, Outcome::Ok) => Reply::Counted,
                    (true, Outcome::TimedOut) => Reply::TimedOut,
                    _ => Reply::Refused,
                };
                let news = phase.filter(|_| status == Outcome::Ok);
                go!(told(reply, news.map(|phase| Standing { build, stage, phase, cap, since: now - age })));
            }
            "DISPUTED" => {
                let age = line.may("oldMs", nanos)?.unwrap_or(0);
                let machine = self.door.machine(line.word("machine")?);
                go!(disputed(machine, now - age));
            }
            _ => {}
        }
        Ok(())
    }
}
