//! The machines that have registered, as they report themselves. It does no I/O and reads no clock.
use crate::release::Running;
use crate::settings::Settings;
use rockpick::{Ns, State};
use std::collections::BTreeMap;

const MS: Ns = 1_000_000;
/// A machine is gone after this time without a heartbeat: six heartbeat intervals.
const SILENCE_TIMEOUT: Ns = 3_000 * MS;
/// A machine that is gone is removed after this time; one that comes back later counts as new.
const FORGET_AFTER: Ns = 60_000 * MS;
/// A controller that has just started tells nobody its roster for this time, in which all machines send a heartbeat.
/// An empty roster would tell fronts that all machines are gone.
pub const SETTLE_TIME: Ns = 2_000 * MS;
/// A longer gap between sweeps means that the controller itself was stalled; it does not count as silence of machines.
const STALL_GAP: Ns = 1_000 * MS;
/// Most machines that may register: two builds at every place, and those that are draining.
const MAX_MACHINES: usize = 15_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    pub addr: String,
    pub place: usize,
    pub build: u32,
    /// Differs for each start of the process.
    pub run: u64,
    pub started: Ns,
    pub state: State,
    last_heard: Ns,
    leaving: bool,
    open_rpcs: u32,
    draining_since: Option<Ns>,
    /// The roster's serial at its last change.
    pub changed_serial: u64,
}

/// What the controller tells a machine to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Serve,
    Drain,
    Stop,
}

/// A machine's report of itself.
pub struct Heartbeat<'a> {
    pub name: &'a str,
    pub addr: &'a str,
    pub place: &'a str,
    pub build: u32,
    pub run: u64,
    pub age: Ns,
    pub leaving: bool,
    pub open_rpcs: u32,
}

#[derive(Default)]
pub struct Roster {
    pub machines: BTreeMap<String, Machine>,
    pub serial: u64,
    last_sweep: Ns,
}

impl Roster {
    pub fn heartbeat(
        &mut self, now: Ns, settings: &Settings, wanted: &Running, heartbeat: Heartbeat,
    ) -> Result<Order, &'static str> {
        let Some(place) = settings.places.iter().position(|p| p.name == heartbeat.place) else {
            return Err("no such place");
        };
        if self.machines.len() >= MAX_MACHINES && !self.machines.contains_key(heartbeat.name) {
            return Err("too many machines");
        }
        let known = self.machines.get(heartbeat.name).filter(|m| m.run == heartbeat.run);
        let duplicate = self.machines.iter().any(|(name, m)| {
            name != heartbeat.name && m.place == place && m.build == heartbeat.build && m.state == State::Up
        });
        if known.is_none() && duplicate {
            return Err("another machine runs this build at this place");
        }
        let started = now - heartbeat.age.max(0);
        // A late heartbeat of the previous process must not replace the one that now has its name.
        let present = self.machines.get(heartbeat.name).filter(|m| m.state != State::Gone);
        if known.is_none() && present.is_some_and(|m| started < m.started) {
            return Err("a later process has this name");
        }
        let mut m = known.cloned().unwrap_or(Machine {
            addr: heartbeat.addr.into(),
            place,
            build: heartbeat.build,
            run: heartbeat.run,
            started,
            state: State::Gone,
            last_heard: now,
            leaving: false,
            open_rpcs: 0,
            draining_since: None,
            changed_serial: 0,
        });
        m.last_heard = now;
        m.open_rpcs = heartbeat.open_rpcs;
        m.leaving |= heartbeat.leaving;
        let is_wanted = wanted.contains(&(place, heartbeat.build)) && !m.leaving;
        let state = if is_wanted { State::Up } else { State::Draining };
        if state != m.state {
            m.draining_since = (state == State::Draining).then_some(now);
            m.state = state;
            self.serial += 1;
            m.changed_serial = self.serial;
        }
        let grace = settings.guard.drain_grace_ms as Ns * MS;
        let deadline = settings.methods.iter().map(|r| r.deadline_ms).max().unwrap_or(0) as Ns * MS;
        let order = match m.draining_since {
            None => Order::Serve,
            // Fronts may still send during the grace after they were told, and those RPCs may run to their deadline.
            Some(at) if now - at > 2 * grace + deadline => Order::Stop,
            Some(at) if now - at > 2 * grace && m.open_rpcs == 0 => Order::Stop,
            Some(_) => Order::Drain,
        };
        self.machines.insert(heartbeat.name.into(), m);
        Ok(order)
    }

    /// Records that a machine has reported its end.
    pub fn mark_gone(&mut self, name: &str, run: u64) {
        if let Some(m) = self.machines.get_mut(name).filter(|m| m.run == run && m.state != State::Gone) {
            m.state = State::Gone;
            self.serial += 1;
            m.changed_serial = self.serial;
        }
    }

    /// Marks silent machines as gone and drains those that are no longer wanted; returns what changed.
    pub fn sweep(&mut self, now: Ns, wanted: &Running) -> Vec<(String, State)> {
        let gap = now - std::mem::replace(&mut self.last_sweep, now);
        if gap > STALL_GAP {
            self.machines.values_mut().for_each(|m| m.last_heard += gap);
        }
        let mut changes = Vec::new();
        self.machines.retain(|_, m| m.state != State::Gone || now - m.last_heard < FORGET_AFTER);
        for (name, m) in &mut self.machines {
            let silent = now - m.last_heard > SILENCE_TIMEOUT;
            let state = match m.state {
                State::Gone => continue,
                _ if silent => State::Gone,
                State::Up if !wanted.contains(&(m.place, m.build)) => State::Draining,
                State::Draining if !m.leaving && wanted.contains(&(m.place, m.build)) => State::Up,
                state => state,
            };
            if state != m.state {
                m.draining_since = (state == State::Draining).then_some(now);
                m.state = state;
                self.serial += 1;
                m.changed_serial = self.serial;
                changes.push((name.clone(), state));
            }
        }
        changes
    }

    /// Machines that are up.
    pub fn running(&self) -> Running {
        let up = self.machines.values().filter(|m| m.state == State::Up);
        up.map(|m| (m.place, m.build)).collect()
    }

    /// Machines that are up but not warm yet.
    pub fn cold_machines(&self, now: Ns, cold_time: Ns) -> Running {
        let cold = self.machines.values().filter(|m| m.state == State::Up && now - m.started < cold_time);
        cold.map(|m| (m.place, m.build)).collect()
    }

    /// Machines that are up or draining: a host must not start a second one of the same build beside them.
    pub fn present(&self) -> Running {
        let present = self.machines.values().filter(|m| m.state != State::Gone);
        present.map(|m| (m.place, m.build)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SEC: Ns = 1_000 * MS;

    fn report<'a>(name: &'a str, place: &'a str, open_rpcs: u32) -> Heartbeat<'a> {
        Heartbeat { name, addr: "127.0.0.1:1", place, build: 1, run: 7, age: 0, leaving: false, open_rpcs }
    }

    #[test]
    fn a_drained_machine_stops_after_the_grace_when_it_has_no_open_rpcs() {
        let settings = Settings::example(1, 2);
        let (mut roster, wanted) = (Roster::default(), Running::from([(0, 1)]));
        assert_eq!(roster.heartbeat(0, &settings, &wanted, report("a", "p0", 0)), Ok(Order::Serve));
        assert_eq!(roster.sweep(SEC / 2, &Running::new()), [("a".to_string(), State::Draining)]);
        let none = Running::new();
        assert_eq!(roster.heartbeat(SEC, &settings, &none, report("a", "p0", 0)), Ok(Order::Drain));
        assert_eq!(roster.heartbeat(3 * SEC, &settings, &none, report("a", "p0", 1)), Ok(Order::Drain));
        assert_eq!(roster.heartbeat(4 * SEC, &settings, &none, report("a", "p0", 0)), Ok(Order::Stop));
        assert!(roster.heartbeat(4 * SEC, &settings, &wanted, report("b", "p9", 0)).is_err());
    }

    /// Finding 25: a heartbeat of the former process arrived after the new process had registered and took its place.
    #[test]
    fn a_late_heartbeat_of_a_former_process_does_not_replace_the_new_one() {
        let settings = Settings::example(1, 2);
        let (mut roster, wanted) = (Roster::default(), Running::from([(0, 1)]));
        let former = Heartbeat { run: 6, age: 9 * SEC, addr: "127.0.0.1:6", ..report("a", "p0", 0) };
        let late = Heartbeat { age: 10 * SEC, ..report("a", "p0", 0) };
        roster.heartbeat(10 * SEC, &settings, &wanted, former).unwrap();
        assert_eq!(roster.heartbeat(11 * SEC, &settings, &wanted, report("a", "p0", 0)), Ok(Order::Serve));
        assert!(roster.heartbeat(11 * SEC, &settings, &wanted, Heartbeat { run: 6, ..late }).is_err());
        assert_eq!((roster.machines["a"].run, roster.machines["a"].started), (7, 11 * SEC));
        roster.mark_gone("a", 7);
        assert!(roster
            .heartbeat(
                12 * SEC,
                &settings,
                &wanted,
                Heartbeat { run: 5, age: 60 * SEC, ..report("a", "p0", 0) }
            )
            .is_ok());
    }

    #[test]
    fn silent_machines_are_gone_unless_the_controller_itself_stalled() {
        let settings = Settings::example(1, 2);
        let (mut roster, wanted) = (Roster::default(), Running::from([(0, 1)]));
        roster.heartbeat(0, &settings, &wanted, report("a", "p0", 0)).unwrap();
        roster.sweep(0, &wanted);
        assert_eq!(roster.sweep(60 * SEC, &wanted), [], "the controller stalled for a minute");
        for tenth in 1..40 {
            roster.sweep(60 * SEC + tenth * SEC / 10, &wanted);
        }
        assert_eq!(roster.machines["a"].state, State::Gone);
        assert_eq!(roster.heartbeat(65 * SEC, &settings, &wanted, report("a", "p0", 0)), Ok(Order::Serve));
        assert_eq!(roster.machines["a"].started, 0, "a known run keeps its start time");
    }
}
