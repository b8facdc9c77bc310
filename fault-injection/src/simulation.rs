//! Virtual time: state machines without I/O, each with a clock of its own, under a plan's faults. What each is told
//! and does goes through [`SimulatedProcess`]; the world keeps the record that checkers read.
use crate::plan::{Fault, LinkConditions, Plan, RestartState};
use crate::{Ns, MS};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events of one play; a machine that makes more of them is broken.
pub const MAX_EVENTS: u64 = 50_000_000;

/// What a part does: letters to others by index, and the times at which it wants to be woken, by its own clock.
#[derive(Default)]
pub struct Output {
    pub messages: Vec<(usize, Vec<u8>)>,
    pub timers: Vec<Ns>,
}

/// A state machine, as the world sees it. Times are of its own clock, which begins anew with each life.
pub trait SimulatedProcess {
    fn start(&mut self, now: Ns, out: &mut Output);
    fn receive(&mut self, now: Ns, from: usize, bytes: &[u8], out: &mut Output);
    fn wake(&mut self, now: Ns, out: &mut Output);
    /// Is asked to go; it is killed some time after.
    fn leave(&mut self, now: Ns, out: &mut Output);
}

enum Due {
    Letter { to: usize, from: usize, bytes: Vec<u8> },
    Wake { who: usize, life: u32, own: Ns },
    Begins(usize),
    Ends(usize),
    Look,
}

struct Seat<P> {
    part: Option<P>,
    life: u32,
    /// Lives begin with a clock at 0; it runs at a pace and may have jumped.
    born: Ns,
    ppm: i64,
    jumped: Ns,
    /// Stands still: what comes waits, as in a socket's buffer.
    stopped: u32,
    waits: Vec<(usize, Vec<u8>)>,
    woken: bool,
    /// Kills that it has not come back from.
    down: u32,
}

/// Letters that wait for a part that stands still; more are lost.
const MOST_WAITING: usize = 200;

pub struct Simulation<P> {
    seats: Vec<Seat<P>>,
    heap: BinaryHeap<Reverse<(Ns, u64, usize)>>,
    dues: Vec<Option<Due>>,
    free: Vec<usize>,
    serial: u64,
    now: Ns,
    chance: StdRng,
    /// The plan's acts that are on now.
    on: Vec<usize>,
    plan: Plan,
    pub events: u64,
    /// Letters and bytes that were sent, by part.
    pub sent: Vec<(u64, u64)>,
    /// The way of every link without a fault.
    pub base: LinkConditions,
}

impl<P: SimulatedProcess> Simulation<P> {
    /// All parts begin together.
    pub fn new(plan: Plan, base: LinkConditions) -> Simulation<P> {
        let seat = |_| Seat {
            part: None,
            life: 0,
            born: 0,
            ppm: 0,
            jumped: 0,
            stopped: 0,
            waits: Vec::new(),
            woken: false,
            down: 0,
        };
        let mut world = Simulation {
            seats: (0..plan.parts).map(seat).collect(),
            heap: BinaryHeap::new(),
            dues: Vec::new(),
            free: Vec::new(),
            serial: 0,
            now: 0,
            chance: StdRng::seed_from_u64(plan.seed ^ 0x5707),
            on: Vec::new(),
            sent: vec![(0, 0); plan.parts],
            plan,
            events: 0,
            base,
        };
        for (at, act) in world.plan.acts.clone().iter().enumerate() {
            world.put(act.from, Due::Begins(at));
            world.put(act.until, Due::Ends(at));
        }
        world
    }

    pub fn now(&self) -> Ns {
        self.now
    }

    pub fn part(&self, who: usize) -> Option<&P> {
        self.seats[who].part.as_ref()
    }

    pub fn parts(&self) -> usize {
        self.seats.len()
    }

    /// The lives that a seat has had; its part's clock now; does it run?
    pub fn status(&self, who: usize) -> (u32, Ns, bool) {
        let seat = &self.seats[who];
        (seat.life, self.clock(who), seat.part.is_some() && seat.stopped == 0)
    }

    fn put(&mut self, at: Ns, due: Due) {
        self.serial += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.dues.push(None);
            self.dues.len() - 1
        });
        self.dues[slot] = Some(due);
        self.heap.push(Reverse((at, self.serial, slot)));
    }

    /// A part's own clock.
    fn clock(&self, who: usize) -> Ns {
        let seat = &self.seats[who];
        let lived = self.now - seat.born;
        lived + (i128::from(lived) * i128::from(seat.ppm) / 1_000_000) as Ns + seat.jumped
    }

    /// When a part's clock will show a time.
    fn when(&self, who: usize, own: Ns) -> Ns {
        let left = (own - self.clock(who)).max(0);
        self.now + (i128::from(left) * 1_000_000 / i128::from(1_000_000 + self.seats[who].ppm)) as Ns
    }

    /// Plays to the plan's end: `make` gives a part's next life (its number, and how it returns), `look` sees the world
    /// every `step`; it ends the play by an error.
    ///
    /// # Errors
    /// What `look` found, or too many events.
    pub fn play(
        &mut self, step: Ns, mut make: impl FnMut(usize, u32, RestartState) -> P,
        mut look: impl FnMut(&Simulation<P>) -> Result<(), String>,
    ) -> Result<(), String> {
        for who in 0..self.seats.len() {
            self.begin(who, make(who, 0, RestartState::Empty));
        }
        self.put(step, Due::Look);
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
            match self.dues[slot].take() {
                Some(Due::Letter { to, from, bytes }) => self.arrives(to, from, bytes),
                Some(Due::Wake { who, life, own }) => self.wakes(who, life, own),
                Some(Due::Begins(act)) => self.fault(act, true, &mut make),
                Some(Due::Ends(act)) => self.fault(act, false, &mut make),
                Some(Due::Look) => {
                    look(self)?;
                    self.put(at + step, Due::Look);
                }
                None => {}
            }
        }
        look(self)
    }

    fn begin(&mut self, who: usize, part: P) {
        let seat = &mut self.seats[who];
        seat.life += 1;
        (seat.part, seat.born, seat.jumped, seat.woken) = (Some(part), self.now, 0, false);
        seat.waits.clear();
        self.with(who, |part, now, out| part.start(now, out));
    }

    fn with(&mut self, who: usize, act: impl FnOnce(&mut P, Ns, &mut Output)) {
        let now = self.clock(who);
        let Some(part) = self.seats[who].part.as_mut() else { return };
        let mut out = Output::default();
        act(part, now, &mut out);
        let life = self.seats[who].life;
        for own in out.timers {
            let own = own.max(now + 1);
            self.put(self.when(who, own), Due::Wake { who, life, own });
        }
        for (to, bytes) in out.messages {
            self.send(who, to, bytes);
        }
    }

    fn way(&self, from: usize, to: usize) -> LinkConditions {
        self.plan.way(&self.on, from, to, self.base)
    }

    fn send(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes.len() as u64;
        if to >= self.seats.len() {
            return;
        }
        let way = self.way(from, to);
        let chance = &mut self.chance;
        if way.cut || way.stalled || chance.random_bool(way.lost.clamp(0.0, 1.0)) {
            return;
        }
        if chance.random_bool(way.flipped.clamp(0.0, 1.0)) && !bytes.is_empty() {
            let bit = chance.random_range(0..bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
        let copies = 1 + usize::from(chance.random_bool(way.doubled.clamp(0.0, 1.0)));
        for _ in 0..copies {
            let late = if self.chance.random_bool(way.overtaken.clamp(0.0, 1.0)) { 50 * MS } else { 0 };
            let jitter = if way.jitter > 0 { self.chance.random_range(0..way.jitter) } else { 0 };
            let due = Due::Letter { to, from, bytes: bytes.clone() };
            self.put(self.now + way.delay + late + jitter + 1, due);
        }
    }

    fn arrives(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        let seat = &mut self.seats[to];
        if seat.stopped > 0 {
            if seat.part.is_some() && seat.waits.len() < MOST_WAITING {
                seat.waits.push((from, bytes));
            }
            return;
        }
        self.with(to, |part, now, out| part.receive(now, from, &bytes, out));
    }

    fn wakes(&mut self, who: usize, life: u32, own: Ns) {
        let short = self.clock(who) < own;
        let seat = &mut self.seats[who];
        if seat.life != life {
            return;
        }
        // A loop holds its timers against the process's own clock: one whose pace has changed since is waited for.
        if short {
            let at = self.when(who, own).max(self.now + 1);
            return self.put(at, Due::Wake { who, life, own });
        }
        if seat.stopped > 0 {
            seat.woken = true;
            return;
        }
        self.with(who, |part, now, out| part.wake(now, out));
    }

    fn fault(&mut self, act: usize, begins: bool, make: &mut impl FnMut(usize, u32, RestartState) -> P) {
        if begins {
            self.on.push(act);
        } else {
            self.on.retain(|on| *on != act);
        }
        match self.plan.acts[act].fault.clone() {
            Fault::Links { .. } | Fault::Disk { .. } => {}
            Fault::Stop { who } => {
                let seat = &mut self.seats[who];
                seat.stopped = if begins { seat.stopped + 1 } else { seat.stopped.saturating_sub(1) };
                if !begins && seat.stopped == 0 {
                    // It wakes to what has waited, in the order that a loop takes: sockets before timers.
                    let (waits, woken) = (std::mem::take(&mut seat.waits), std::mem::take(&mut seat.woken));
                    for (from, bytes) in waits {
                        self.with(who, |part, now, out| part.receive(now, from, &bytes, out));
                    }
                    if woken {
                        self.with(who, |part, now, out| part.wake(now, out));
                    }
                }
            }
            Fault::Kill { who, back } => self.kill(who, begins, back, make),
            Fault::Leave { who } => {
                if begins && self.seats[who].stopped == 0 {
                    self.with(who, |part, now, out| part.leave(now, out));
                }
                self.kill(who, begins, RestartState::Same, make);
            }
            Fault::Clock { who, ppm, jump } => {
                let own = self.clock(who);
                let seat = &mut self.seats[who];
                seat.ppm = if begins { ppm } else { 0 };
                seat.jumped += if begins { jump } else { 0 };
                // A pace that changes moves no time that has been.
                let lived = self.now - seat.born;
                let shows =
                    lived + (i128::from(lived) * i128::from(seat.ppm) / 1_000_000) as Ns + seat.jumped;
                let jump = if begins { jump } else { 0 };
                seat.jumped += own + jump - shows;
            }
        }
    }

    fn kill(
        &mut self, who: usize, begins: bool, back: RestartState,
        make: &mut impl FnMut(usize, u32, RestartState) -> P,
    ) {
        let seat = &mut self.seats[who];
        if begins {
            seat.down += 1;
            seat.part = None;
            seat.waits.clear();
        } else {
            seat.down = seat.down.saturating_sub(1);
            if seat.down == 0 && back != RestartState::Never {
                let life = seat.life;
                let part = make(who, life, back);
                self.begin(who, part);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SEC;

    /// Sends its clock to the next part every second.
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
        world.play(SEC, |me, _, _| Ticker { me, heard: Vec::new() }, |_| Ok(())).unwrap();
        [0, 1].map(|i| world.part(i).map_or(Vec::new(), |p| p.heard.clone()))
    }

    #[test]
    fn each_fault_does_what_its_name_says() {
        let cut = |from| Fault::Links {
            from: vec![from],
            to: vec![],
            way: LinkConditions { cut: true, ..LinkConditions::default() },
        };
        let counts = |heard: [Vec<(Ns, usize)>; 2]| heard.map(|h| h.len());
        assert_eq!(counts(heard(&[])), [10, 10]);
        // One way alone.
        assert_eq!(counts(heard(&[(2 * SEC + 1, 6 * SEC + 1, cut(0))])), [10, 6]);
        let stop = heard(&[(2 * SEC + 1, 6 * SEC + 1, Fault::Stop { who: 1 })]);
        // It wakes to what came, and to one of its own timers.
        assert_eq!(stop[1].iter().filter(|(at, _)| (*at - 6 * SEC).abs() < MS).count(), 5);
        assert_eq!(stop[0].len(), 7);
        let kill = Fault::Kill { who: 1, back: RestartState::Empty };
        assert_eq!(counts(heard(&[(2 * SEC + 1, 6 * SEC + 1, kill)])), [6, 5]);
        let fast = heard(&[(0, 10 * SEC, Fault::Clock { who: 0, ppm: 10_000, jump: 3 * SEC })]);
        // Its clock has jumped and runs fast; timers that were set go by the time that passes.
        assert!(fast[0].last().is_some_and(|(at, _)| *at > 13 * SEC) && fast[1].len() == 10, "{fast:?}");
        let doubled = LinkConditions { doubled: 1.0, ..LinkConditions::default() };
        let doubled = Fault::Links { from: vec![], to: vec![], way: doubled };
        assert_eq!(counts(heard(&[(0, 10 * SEC, doubled)])).iter().sum::<usize>(), 38);
    }
}
