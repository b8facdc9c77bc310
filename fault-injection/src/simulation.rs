//! A simulation in virtual time: state machines without I/O, each with its own clock, under the faults of a plan. All
//! their input and output goes through [`SimulatedProcess`]; checkers inspect the simulation.
use crate::plan::{Fault, LinkConditions, Plan, RestartState};
use crate::{Ns, MS};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The maximum number of events of one run; a state machine that causes more is considered faulty.
pub const MAX_EVENTS: u64 = 50_000_000;

/// The output of a process: messages to others by index, and the times, by its own clock, at which to wake it.
#[derive(Default)]
pub struct Output {
    pub messages: Vec<(usize, Vec<u8>)>,
    pub timers: Vec<Ns>,
}

/// A state machine under simulation. Times are those of its own clock, which starts at 0 with each instance.
pub trait SimulatedProcess {
    fn start(&mut self, now: Ns, out: &mut Output);
    fn receive(&mut self, now: Ns, from: usize, bytes: &[u8], out: &mut Output);
    fn wake(&mut self, now: Ns, out: &mut Output);
    /// Asks the process to stop; it is killed some time later.
    fn leave(&mut self, now: Ns, out: &mut Output);
}

enum Event {
    Message { to: usize, from: usize, bytes: Vec<u8> },
    Wake { who: usize, instance: u32, own: Ns },
    FaultStarts(usize),
    FaultEnds(usize),
    Check,
}

/// A place in the system, and the process instance that occupies it.
struct Slot<P> {
    process: Option<P>,
    /// The number of instances so far.
    instance: u32,
    /// Clock: it started at 0 at this time, runs fast or slow by `ppm`, and has jumped.
    started: Ns,
    ppm: i64,
    jumped: Ns,
    /// The number of active stops; meanwhile messages wait, as in a socket's buffer.
    stopped: u32,
    waiting: Vec<(usize, Vec<u8>)>,
    /// A timer expired while the process was stopped.
    woken: bool,
    /// The number of kills from which it has not restarted.
    down: u32,
}

/// The maximum number of messages that wait for a stopped process; further ones are lost.
const MAX_WAITING: usize = 200;

pub struct Simulation<P> {
    slots: Vec<Slot<P>>,
    heap: BinaryHeap<Reverse<(Ns, u64, usize)>>,
    pending: Vec<Option<Event>>,
    free: Vec<usize>,
    serial: u64,
    now: Ns,
    rng: StdRng,
    /// The indices of the plan's active faults.
    active: Vec<usize>,
    plan: Plan,
    pub events: u64,
    /// The number of messages and bytes sent, by process.
    pub sent: Vec<(u64, u64)>,
    /// The conditions of a link without faults.
    pub base: LinkConditions,
}

impl<P: SimulatedProcess> Simulation<P> {
    /// Creates a simulation in which all processes start together.
    pub fn new(plan: Plan, base: LinkConditions) -> Simulation<P> {
        let slot = |_| Slot {
            process: None,
            instance: 0,
            started: 0,
            ppm: 0,
            jumped: 0,
            stopped: 0,
            waiting: Vec::new(),
            woken: false,
            down: 0,
        };
        let mut world = Simulation {
            slots: (0..plan.parts).map(slot).collect(),
            heap: BinaryHeap::new(),
            pending: Vec::new(),
            free: Vec::new(),
            serial: 0,
            now: 0,
            rng: StdRng::seed_from_u64(plan.seed ^ 0x5707),
            active: Vec::new(),
            sent: vec![(0, 0); plan.parts],
            plan,
            events: 0,
            base,
        };
        for (at, act) in world.plan.acts.clone().iter().enumerate() {
            world.schedule(act.from, Event::FaultStarts(at));
            world.schedule(act.until, Event::FaultEnds(at));
        }
        world
    }

    pub fn now(&self) -> Ns {
        self.now
    }

    pub fn process(&self, who: usize) -> Option<&P> {
        self.slots[who].process.as_ref()
    }

    pub fn process_count(&self) -> usize {
        self.slots.len()
    }

    /// The number of instances a process has had, its current clock, and whether it runs.
    pub fn status(&self, who: usize) -> (u32, Ns, bool) {
        let slot = &self.slots[who];
        (slot.instance, self.clock(who), slot.process.is_some() && slot.stopped == 0)
    }

    fn schedule(&mut self, at: Ns, event: Event) {
        self.serial += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.pending.push(None);
            self.pending.len() - 1
        });
        self.pending[slot] = Some(event);
        self.heap.push(Reverse((at, self.serial, slot)));
    }

    /// The current time of a process's own clock.
    fn clock(&self, who: usize) -> Ns {
        let slot = &self.slots[who];
        let elapsed = self.now - slot.started;
        elapsed + (i128::from(elapsed) * i128::from(slot.ppm) / 1_000_000) as Ns + slot.jumped
    }

    /// The simulation time at which a process's clock will show `own`.
    fn when(&self, who: usize, own: Ns) -> Ns {
        let left = (own - self.clock(who)).max(0);
        self.now + (i128::from(left) * 1_000_000 / i128::from(1_000_000 + self.slots[who].ppm)) as Ns
    }

    /// Runs the plan to its end. `make` creates the next instance of a process, from its index, the number of earlier
    /// instances, and the state to restart with. `check` inspects the simulation at every `step`; its error ends the run.
    ///
    /// # Errors
    /// The error of `check`, or too many events.
    pub fn run(
        &mut self, step: Ns, mut make: impl FnMut(usize, u32, RestartState) -> P,
        mut check: impl FnMut(&Simulation<P>) -> Result<(), String>,
    ) -> Result<(), String> {
        for who in 0..self.slots.len() {
            self.begin(who, make(who, 0, RestartState::Empty));
        }
        self.schedule(step, Event::Check);
        while let Some(Reverse((at, _, slot))) = self.heap.pop() {
            if at > self.plan.length {
                break;
            }
            self.now = at;
            self.events += 1;
            if self.events > MAX_EVENTS {
                return Err(format!("more than {MAX_EVENTS} events"));
            }
            self.free.push(slot);
            match self.pending[slot].take() {
                Some(Event::Message { to, from, bytes }) => self.deliver(to, from, bytes),
                Some(Event::Wake { who, instance, own }) => self.expire_timer(who, instance, own),
                Some(Event::FaultStarts(act)) => self.fault(act, true, &mut make),
                Some(Event::FaultEnds(act)) => self.fault(act, false, &mut make),
                Some(Event::Check) => {
                    check(self)?;
                    self.schedule(at + step, Event::Check);
                }
                None => {}
            }
        }
        check(self)
    }

    fn begin(&mut self, who: usize, process: P) {
        let slot = &mut self.slots[who];
        slot.instance += 1;
        (slot.process, slot.started, slot.jumped, slot.woken) = (Some(process), self.now, 0, false);
        slot.waiting.clear();
        self.with(who, |process, now, out| process.start(now, out));
    }

    fn with(&mut self, who: usize, act: impl FnOnce(&mut P, Ns, &mut Output)) {
        let now = self.clock(who);
        let Some(process) = self.slots[who].process.as_mut() else { return };
        let mut out = Output::default();
        act(process, now, &mut out);
        let instance = self.slots[who].instance;
        for own in out.timers {
            let own = own.max(now + 1);
            self.schedule(self.when(who, own), Event::Wake { who, instance, own });
        }
        for (to, bytes) in out.messages {
            self.send(who, to, bytes);
        }
    }

    fn way(&self, from: usize, to: usize) -> LinkConditions {
        self.plan.way(&self.active, from, to, self.base)
    }

    fn send(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes.len() as u64;
        if to >= self.slots.len() {
            return;
        }
        let way = self.way(from, to);
        let rng = &mut self.rng;
        if way.cut || way.stalled || rng.random_bool(way.lost.clamp(0.0, 1.0)) {
            return;
        }
        if rng.random_bool(way.flipped.clamp(0.0, 1.0)) && !bytes.is_empty() {
            let bit = rng.random_range(0..bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
        let copies = 1 + usize::from(rng.random_bool(way.doubled.clamp(0.0, 1.0)));
        for _ in 0..copies {
            let late = if self.rng.random_bool(way.overtaken.clamp(0.0, 1.0)) { 50 * MS } else { 0 };
            let jitter = if way.jitter > 0 { self.rng.random_range(0..way.jitter) } else { 0 };
            let due = Event::Message { to, from, bytes: bytes.clone() };
            self.schedule(self.now + way.delay + late + jitter + 1, due);
        }
    }

    fn deliver(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        let slot = &mut self.slots[to];
        if slot.stopped > 0 {
            if slot.process.is_some() && slot.waiting.len() < MAX_WAITING {
                slot.waiting.push((from, bytes));
            }
            return;
        }
        self.with(to, |process, now, out| process.receive(now, from, &bytes, out));
    }

    fn expire_timer(&mut self, who: usize, instance: u32, own: Ns) {
        let short = self.clock(who) < own;
        let slot = &mut self.slots[who];
        if slot.instance != instance {
            return;
        }
        // Event loops compare timers with the process's own clock: if its rate has changed since, wait for the rest.
        if short {
            let at = self.when(who, own).max(self.now + 1);
            return self.schedule(at, Event::Wake { who, instance, own });
        }
        if slot.stopped > 0 {
            slot.woken = true;
            return;
        }
        self.with(who, |process, now, out| process.wake(now, out));
    }

    fn fault(&mut self, act: usize, begins: bool, make: &mut impl FnMut(usize, u32, RestartState) -> P) {
        if begins {
            self.active.push(act);
        } else {
            self.active.retain(|on| *on != act);
        }
        match self.plan.acts[act].fault.clone() {
            Fault::Links { .. } | Fault::Disk { .. } => {}
            Fault::Stop { who } => {
                let slot = &mut self.slots[who];
                slot.stopped = if begins { slot.stopped + 1 } else { slot.stopped.saturating_sub(1) };
                if !begins && slot.stopped == 0 {
                    // Delivers what has waited in the order of an event loop: sockets before timers.
                    let (waiting, woken) =
                        (std::mem::take(&mut slot.waiting), std::mem::take(&mut slot.woken));
                    for (from, bytes) in waiting {
                        self.with(who, |process, now, out| process.receive(now, from, &bytes, out));
                    }
                    if woken {
                        self.with(who, |process, now, out| process.wake(now, out));
                    }
                }
            }
            Fault::Kill { who, back } => self.kill(who, begins, back, make),
            Fault::Leave { who } => {
                if begins && self.slots[who].stopped == 0 {
                    self.with(who, |process, now, out| process.leave(now, out));
                }
                self.kill(who, begins, RestartState::Same, make);
            }
            Fault::Clock { who, ppm, jump } => {
                let own = self.clock(who);
                let slot = &mut self.slots[who];
                slot.ppm = if begins { ppm } else { 0 };
                slot.jumped += if begins { jump } else { 0 };
                // A change of rate must not alter the time that the clock has shown so far.
                let elapsed = self.now - slot.started;
                let shows =
                    elapsed + (i128::from(elapsed) * i128::from(slot.ppm) / 1_000_000) as Ns + slot.jumped;
                let jump = if begins { jump } else { 0 };
                slot.jumped += own + jump - shows;
            }
        }
    }

    fn kill(
        &mut self, who: usize, begins: bool, back: RestartState,
        make: &mut impl FnMut(usize, u32, RestartState) -> P,
    ) {
        let slot = &mut self.slots[who];
        if begins {
            slot.down += 1;
            slot.process = None;
            slot.waiting.clear();
        } else {
            slot.down = slot.down.saturating_sub(1);
            if slot.down == 0 && back != RestartState::Never {
                let instance = slot.instance;
                let process = make(who, instance, back);
                self.begin(who, process);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SEC;

    /// Sends a message to the other process every second.
    struct Ticker {
        me: usize,
        heard: Vec<(Ns, usize)>,
    }

    impl SimulatedProcess for Ticker {
        fn start(&mut self, now: Ns, out: &mut Output) {
            out.timers.push(now + SEC);
        }
        fn receive(&mut self, now: Ns, from: usize, _: &[u8], _: &mut Output) {
            self.heard.push((now, from));
        }
        fn wake(&mut self, now: Ns, out: &mut Output) {
            out.messages.push((1 - self.me, vec![0]));
            out.timers.push(now + SEC);
        }
        fn leave(&mut self, _: Ns, _: &mut Output) {}
    }

    fn heard(faults: &[(Ns, Ns, Fault)]) -> [Vec<(Ns, usize)>; 2] {
        let plan = Plan::new(1, 2, 10 * SEC + MS, faults);
        let mut world = Simulation::new(plan, LinkConditions::default());
        world.run(SEC, |me, _, _| Ticker { me, heard: Vec::new() }, |_| Ok(())).unwrap();
        [0, 1].map(|i| world.process(i).map_or(Vec::new(), |p| p.heard.clone()))
    }

    #[test]
    fn each_fault_has_its_effect() {
        let cut = |from| Fault::Links {
            from: vec![from],
            to: vec![],
            way: LinkConditions { cut: true, ..LinkConditions::default() },
        };
        let counts = |heard: [Vec<(Ns, usize)>; 2]| heard.map(|h| h.len());
        assert_eq!(counts(heard(&[])), [10, 10]);
        // One direction only.
        assert_eq!(counts(heard(&[(2 * SEC + 1, 6 * SEC + 1, cut(0))])), [10, 6]);
        let stop = heard(&[(2 * SEC + 1, 6 * SEC + 1, Fault::Stop { who: 1 })]);
        // It receives what has waited, and one of its own timers expires.
        assert_eq!(stop[1].iter().filter(|(at, _)| (*at - 6 * SEC).abs() < MS).count(), 5);
        assert_eq!(stop[0].len(), 7);
        let kill = Fault::Kill { who: 1, back: RestartState::Empty };
        assert_eq!(counts(heard(&[(2 * SEC + 1, 6 * SEC + 1, kill)])), [6, 5]);
        let fast = heard(&[(0, 10 * SEC, Fault::Clock { who: 0, ppm: 10_000, jump: 3 * SEC })]);
        // Its clock has jumped and runs fast; timers that were already set follow the elapsed time.
        assert!(fast[0].last().is_some_and(|(at, _)| *at > 13 * SEC) && fast[1].len() == 10, "{fast:?}");
        let doubled = LinkConditions { doubled: 1.0, ..LinkConditions::default() };
        let doubled = Fault::Links { from: vec![], to: vec![], way: doubled };
        assert_eq!(counts(heard(&[(0, 10 * SEC, doubled)])).iter().sum::<usize>(), 38);
    }
}
