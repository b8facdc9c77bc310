//! Machines and platform of a soak: what is listed and told, and since when.
use super::checker::{Attempt, Cap, Listing};
use super::machines::Machine;
use super::{lock, Clock, LIMITS, LONGEST_DEADLINE_MS};
use rockpick::Ns;
use rockpick_fakes::scripted::{configuration, host, Platform};
use rockpick_net::MS;
use serde_json::{json, Value};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Machines that run the build of the start, and those that run builds on trial.
pub const USUAL_MACHINES: usize = 4;
const TRIAL_MACHINES: usize = 2;
/// So many usual machines serve at any time.
const LEAST_SERVING: usize = 2;
const FIRST_BUILD: u32 = 1;
/// Share of the requests that the first stage of a trial may get.
const FIRST_CAP: f64 = 0.2;
/// A machine goes so long after its drain, beyond the grace, and comes back so long after that.
const GOES_AFTER: Duration = Duration::from_millis(400);
const COMES_BACK_AFTER: Duration = Duration::from_millis(700);

#[derive(Clone, Copy, PartialEq)]
enum Health {
    Active,
    Leaving,
    Gone,
}

/// A machine as it is listed now.
#[derive(Clone, Copy)]
struct Listed {
    health: Health,
    build: u32,
    /// When it started, by the soak's clock; none: long ago.
    started: Option<Ns>,
}

/// A listing, and the line of the watch that tells it.
struct Change {
    line: usize,
    listing: Listing,
    /// A process that started since was told by its configuration.
    told_at_start: Option<Ns>,
}

/// What follows a drain.
#[derive(Clone, Copy)]
pub enum Later {
    Goes(usize),
    ComesBack(usize),
}

/// Where the newest build stands.
#[derive(Clone, Copy)]
struct Release {
    build: u32,
    stage: u32,
    status: &'static str,
    cap: f64,
}

pub struct Fleet {
    clock: Clock,
    pub machines: Vec<Machine>,
    pub platform: Platform,
    listed: Vec<Listed>,
    changes: Vec<Change>,
    caps: Vec<Cap>,
    release: Release,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Fleet {
    pub fn begin(clock: Clock) -> Fleet {
        let attempts = Arc::<Mutex<Vec<Attempt>>>::default();
        let all = USUAL_MACHINES + TRIAL_MACHINES;
        let machines: Vec<Machine> = (0..all).map(|i| Machine::begin(i, clock, attempts.clone())).collect();
        machines[USUAL_MACHINES..].iter().for_each(|m| m.set_up(false));
        let health = |i| if i < USUAL_MACHINES { Health::Active } else { Health::Gone };
        let listed =
            (0..all).map(|i| Listed { health: health(i), build: FIRST_BUILD, started: None }).collect();
        let release = Release { build: FIRST_BUILD, stage: 0, status: "stable", cap: 1.0 };
        let platform = Platform::begin();
        let (changes, caps) = (Vec::new(), Vec::new());
        let mut fleet = Fleet { clock, machines, platform, listed, changes, caps, release, attempts };
        fleet.announce(release);
        for machine in 0..USUAL_MACHINES {
            fleet.list(machine, Health::Active);
        }
        fleet.told_by_configuration();
        fleet
    }

    /// Discovery and platform move to other addresses.
    pub fn move_platform(&mut self) {
        self.platform = self.platform.at_other_addresses();
    }

    /// A node's configuration as of now.
    pub fn configuration(&self) -> Value {
        let Release { build, stage, status, cap } = self.release;
        let mut told = configuration(&self.platform, &[]);
        told["known"] = self.whole_list();
        told["platform"]["news"] = json!({ "version": build, "step": stage, "status": status, "maxWeight": cap, "observedAgoMs": 0 });
        let settings = &mut told["settings"];
        for lane in settings["lanes"].as_array_mut().into_iter().flatten() {
            lane["deadlineMs"] = LONGEST_DEADLINE_MS.into();
        }
        let ms = |time: Ns| time / MS;
        settings["extra"]["exposureCaps"] = json!([FIRST_CAP, 1.0]);
        settings["extra"]["free"] = LIMITS.free.into();
        settings["extra"]["windowMs"] = ms(LIMITS.window).into();
        let invariants = &mut settings["invariants"];
        invariants["coldFrom"] = LIMITS.cold_from.into();
        invariants["coldMs"] = ms(LIMITS.cold_time).into();
        invariants["overloadFactor"] = LIMITS.overload_factor.into();
        invariants["fallMs"] = ms(LIMITS.fall_time).into();
        invariants["drainGraceMs"] = ms(LIMITS.drain_grace).into();
        told
    }

    /// A process that starts now knows all that is listed, written to a watch or not.
    pub fn told_by_configuration(&mut self) {
        let now = self.clock.now();
        self.changes
            .iter_mut()
            .filter(|c| c.told_at_start.is_none())
            .for_each(|c| c.told_at_start = Some(now));
    }

    /// Listings and caps by when they were told, and all attempts.
    pub fn evidence(&self) -> (Vec<Listing>, Vec<Cap>, Vec<Attempt>) {
        let written = lock(&self.platform.written);
        let told = |change: &Change| {
            let by_watch = written.get(change.line).map(|at| self.clock.at(*at));
            let told = by_watch.into_iter().chain(change.told_at_start).min()?;
            Some(Listing { told, ..change.listing })
        };
        let listings = self.changes.iter().filter_map(told).collect();
        (listings, self.caps.clone(), lock(&self.attempts).clone())
    }

    /// Begins a drain, unless too few would serve; gives what follows it.
    pub fn drain(&mut self, machine: usize) -> Option<(Duration, Later)> {
        let serving = (0..USUAL_MACHINES).filter(|i| self.listed[*i].health == Health::Active).count();
        if self.listed[machine].health != Health::Active || serving <= LEAST_SERVING {
            return None;
        }
        self.list(machine, Health::Leaving);
        Some((self.drain_time(), Later::Goes(machine)))
    }

    fn drain_time(&self) -> Duration {
        Duration::from_nanos(LIMITS.drain_grace as u64) + GOES_AFTER
    }

    /// The next step after a drain; gives what follows it.
    pub fn go_on(&mut self, step: Later) -> Option<(Duration, Later)> {
        match step {
            Later::Goes(machine) => {
                self.machines[machine].set_up(false);
                self.list(machine, Health::Gone);
                Some((COMES_BACK_AFTER, Later::ComesBack(machine)))
            }
            Later::ComesBack(machine) => {
                self.start_cold(machine, FIRST_BUILD);
                None
            }
        }
    }

    fn start_cold(&mut self, machine: usize, build: u32) {
        self.machines[machine].set_up(true);
        (self.listed[machine].build, self.listed[machine].started) = (build, Some(self.clock.now()));
        self.list(machine, Health::Active);
    }

    /// A build on trial comes up, gets more, or is sent back.
    pub fn release_step(&mut self) {
        let Release { build, stage, status, .. } = self.release;
        let trial = USUAL_MACHINES..USUAL_MACHINES + TRIAL_MACHINES;
        match (status, stage) {
            ("canary", 0) => self.announce(Release { build, stage: 1, status, cap: 1.0 }),
            ("canary", _) => {
                self.announce(Release { build, stage, status: "reverting", cap: 0.0 });
                trial.for_each(|machine| self.list(machine, Health::Leaving));
            }
            ("reverting", _) => {
                trial.for_each(|machine| {
                    self.machines[machine].set_up(false);
                    self.list(machine, Health::Gone);
                });
                self.announce(Release { build, stage, status: "reverted", cap: 0.0 });
            }
            _ => {
                self.announce(Release { build: build + 1, stage: 0, status: "canary", cap: FIRST_CAP });
                trial.for_each(|machine| self.start_cold(machine, build + 1));
            }
        }
    }

    fn announce(&mut self, release: Release) {
        let Release { build, stage, status, cap } = release;
        self.release = release;
        if build > FIRST_BUILD {
            self.caps.push(Cap { told: self.clock.now(), build, share: cap });
        }
        let words = format!("{build} {stage} {status} {cap} 0");
        *lock(&self.platform.answer) = Some(format!("OK {words}"));
        self.platform.news(&format!("* progress {words}"));
    }

    fn list(&mut self, machine: usize, health: Health) {
        self.listed[machine].health = health;
        let Listed { build, started, .. } = self.listed[machine];
        let line = self.platform.change(&[self.host(machine)]);
        *lock(&self.platform.whole) = self.whole_list().to_string();
        let listing = Listing { told: 0, machine, build, serves: health == Health::Active, started };
        self.changes.push(Change { line, listing, told_at_start: None });
    }

    fn host(&self, machine: usize) -> Value {
        let Listed { health, build, started } = self.listed[machine];
        let health = match health {
            Health::Active => "active",
            Health::Leaving => "leaving",
            Health::Gone => "left",
        };
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        let born = started.map_or(0, |at| wall - ((self.clock.now() - at) / MS) as u64);
        host(&self.machines[machine].name, self.machines[machine].at, build, health, born)
    }

    fn whole_list(&self) -> Value {
        let present = (0..self.machines.len()).filter(|i| self.listed[*i].health != Health::Gone);
        let hosts: Vec<Value> = present.map(|i| self.host(i)).collect();
        json!({ "seq": self.platform.lines(), "whole": true, "hosts": hosts })
    }
}
