//! Machines and platform of a soak test: what is listed and announced, and since when.
use super::checker::{Attempt, Cap, Listing};
use super::machines::Machine;
use super::{lock, Clock, PlantedFault, LIMITS, LONGEST_DEADLINE_MS};
use rockpick::Ns;
use rockpick_fakes::scripted::{configuration, host, Platform};
use rockpick_net::MS;
use serde_json::{json, Value};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Machines that run the first build, and machines that run builds on trial.
pub const STABLE_MACHINES: usize = 8;
const TRIAL_MACHINES: usize = 3;
/// At least this many machines of the first build serve at any time.
const MIN_SERVING: usize = 4;
const FIRST_BUILD: u32 = 1;
/// Share of the requests that the first stage of a trial may get.
const FIRST_CAP: f64 = 0.2;
/// How long after the drain grace a machine goes down, and how long after that it comes back.
const GOES_DOWN_AFTER: Duration = Duration::from_millis(400);
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
    /// When it started, by the clock of the soak test; none if it is warm.
    started: Option<Ns>,
}

/// A listing, and the line of the discovery watch that carries it.
struct Change {
    line: usize,
    listing: Listing,
    /// For each node, when a process of it was started whose configuration contains the listing.
    in_configuration_since: Vec<Option<Ns>>,
    /// For each node, when it counts as told because lists are pushed, whether or not its watch is open.
    pushed: Vec<Option<Ns>>,
}

/// The steps after a drain.
#[derive(Clone, Copy)]
pub enum DrainStep {
    GoesDown(usize),
    ComesBack(usize),
}

/// The state of the newest build.
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
    /// The platform's services for each node; all tell the same.
    pub platforms: Vec<Platform>,
    listed: Vec<Listed>,
    changes: Vec<Change>,
    caps: Vec<Cap>,
    release: Release,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    planted: Option<PlantedFault>,
    /// Lists are pushed: what discovery has to tell counts as told at once, while it is up.
    pushes_lists: bool,
}

impl Fleet {
    pub fn start(clock: Clock, nodes: usize, planted: Option<PlantedFault>, pushes_lists: bool) -> Fleet {
        let attempts = Arc::<Mutex<Vec<Attempt>>>::default();
        let all = STABLE_MACHINES + TRIAL_MACHINES;
        let machines: Vec<Machine> =
            (0..all).map(|i| Machine::start(i, clock, attempts.clone(), planted)).collect();
        machines[STABLE_MACHINES..].iter().for_each(|m| m.set_up(false));
        let health = |i| if i < STABLE_MACHINES { Health::Active } else { Health::Gone };
        let listed =
            (0..all).map(|i| Listed { health: health(i), build: FIRST_BUILD, started: None }).collect();
        let release = Release { build: FIRST_BUILD, stage: 0, status: "stable", cap: 1.0 };
        let platforms = (0..nodes).map(|_| Platform::begin()).collect();
        let (changes, caps) = (Vec::new(), Vec::new());
        let mut fleet = Fleet {
            clock,
            machines,
            platforms,
            listed,
            changes,
            caps,
            release,
            attempts,
            planted,
            pushes_lists,
        };
        fleet.announce(release);
        for machine in 0..STABLE_MACHINES {
            fleet.list(machine, Health::Active);
        }
        (0..nodes).for_each(|node| fleet.record_configured_start(node));
        fleet
    }

    /// Moves discovery and platform of a node to other addresses.
    pub fn move_platform(&mut self, node: usize) {
        self.platforms[node] = self.platforms[node].at_other_addresses();
    }

    /// A node's current configuration.
    pub fn configuration(&self, node: usize) -> Value {
        let Release { build, stage, status, cap } = self.release;
        let mut configuration_json = configuration(&self.platforms[node], &[]);
        configuration_json["known"] = self.whole_list();
        configuration_json["platform"]["news"] = json!({ "version": build, "step": stage, "status": status, "maxWeight": cap, "observedAgoMs": 0 });
        configuration_json["name"] = format!("n{node}").into();
        let settings = &mut configuration_json["settings"];
        settings["balancers"] = self.platforms.len().into();
        if self.pushes_lists {
            settings["discovery"] = "automatic".into();
        }
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
        configuration_json
    }

    /// Records that a process starts now, whose configuration contains all listings, whether or not a watch has carried them.
    pub fn record_configured_start(&mut self, node: usize) {
        let now = self.clock.now();
        for change in &mut self.changes {
            change.in_configuration_since[node].get_or_insert(now);
        }
    }

    /// Where lists are pushed, all changes so far count as told to those nodes whose discovery is up and not silent.
    pub fn push_lists(&mut self) {
        let now = self.clock.now();
        let tells = |platform: &Platform| {
            !platform.down.load(Ordering::SeqCst) && !platform.mute.load(Ordering::SeqCst)
        };
        for (node, platform) in self.platforms.iter().enumerate() {
            if self.pushes_lists && tells(platform) {
                self.changes.iter_mut().for_each(|change| {
                    change.pushed[node].get_or_insert(now);
                });
            }
        }
    }

    /// Listings and caps with the times of their announcement, and all attempts.
    pub fn evidence(&self) -> (Vec<Listing>, Vec<Cap>, Vec<Attempt>) {
        let listings_of = |node: usize| {
            let written = lock(&self.platforms[node].written).clone();
            let listing_of = move |change: &Change| {
                let by_watch = written.get(change.line).map(|at| self.clock.at(*at));
                let known = change.in_configuration_since[node].into_iter().chain(change.pushed[node]);
                let announced = by_watch.into_iter().chain(known).min()?;
                Some(Listing { node, announced, ..change.listing })
            };
            self.changes.iter().filter_map(listing_of).collect::<Vec<_>>()
        };
        let listings = (0..self.platforms.len()).flat_map(listings_of).collect();
        (listings, self.caps.clone(), lock(&self.attempts).clone())
    }

    /// Begins a drain unless too few machines would serve; returns the next step and its delay.
    pub fn drain(&mut self, machine: usize) -> Option<(Duration, DrainStep)> {
        let serving = (0..STABLE_MACHINES).filter(|i| self.listed[*i].health == Health::Active).count();
        if self.listed[machine].health != Health::Active || serving <= MIN_SERVING {
            return None;
        }
        self.list(machine, Health::Leaving);
        Some((self.drain_time(), DrainStep::GoesDown(machine)))
    }

    fn drain_time(&self) -> Duration {
        Duration::from_nanos(LIMITS.drain_grace as u64) + GOES_DOWN_AFTER
    }

    /// Does a step after a drain; returns the next step and its delay.
    pub fn continue_drain(&mut self, step: DrainStep) -> Option<(Duration, DrainStep)> {
        match step {
            DrainStep::GoesDown(machine) => {
                self.machines[machine].set_up(false);
                self.list(machine, Health::Gone);
                Some((COMES_BACK_AFTER, DrainStep::ComesBack(machine)))
            }
            DrainStep::ComesBack(machine) => {
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

    /// Does the next step of a trial: starts a build on trial, raises its cap, or sends it back.
    pub fn release_step(&mut self) {
        let Release { build, stage, status, .. } = self.release;
        let trial = STABLE_MACHINES..STABLE_MACHINES + TRIAL_MACHINES;
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
            let share = if self.planted == Some(PlantedFault::CapNotTold) { cap / 20.0 } else { cap };
            self.caps.push(Cap { announced: self.clock.now(), build, share });
        }
        let fields = format!("{build} {stage} {status} {cap} 0");
        for platform in &self.platforms {
            *lock(&platform.answer) = Some(format!("OK {fields}"));
            platform.news(&format!("* progress {fields}"));
        }
    }

    fn list(&mut self, machine: usize, health: Health) {
        self.listed[machine].health = health;
        let Listed { build, started, .. } = self.listed[machine];
        let host = self.host(machine);
        let lines: Vec<usize> =
            self.platforms.iter().map(|platform| platform.change(std::slice::from_ref(&host))).collect();
        let whole = self.whole_list().to_string();
        self.platforms.iter().for_each(|platform| *lock(&platform.whole) = whole.clone());
        let line = lines[0];
        let listing =
            Listing { node: 0, announced: 0, machine, build, serves: health == Health::Active, started };
        let none = vec![None; self.platforms.len()];
        self.changes.push(Change { line, listing, in_configuration_since: none.clone(), pushed: none });
        self.push_lists();
    }

    fn host(&self, machine: usize) -> Value {
        let Listed { health, build, started } = self.listed[machine];
        let told_as_active = health == Health::Leaving && self.planted == Some(PlantedFault::DrainNotTold);
        let health = match health {
            _ if told_as_active => "active",
            Health::Active => "active",
            Health::Leaving => "leaving",
            Health::Gone => "left",
        };
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        let started_ms = started.map_or(0, |at| wall - ((self.clock.now() - at) / MS) as u64);
        host(&self.machines[machine].name, self.machines[machine].at, build, health, started_ms)
    }

    fn whole_list(&self) -> Value {
        let present = (0..self.machines.len()).filter(|i| self.listed[*i].health != Health::Gone);
        let hosts: Vec<Value> = present.map(|i| self.host(i)).collect();
        json!({ "seq": self.platforms[0].lines(), "whole": true, "hosts": hosts })
    }
}
