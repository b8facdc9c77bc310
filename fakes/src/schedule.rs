//! When RPCs are due and what each is: fixed by the seed before the first is sent, whatever becomes of them.
//! Poisson arrivals, bursts, or a former record played again.
use crate::client_model::{Load, Rpc};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_control::Settings;
use rockpick_net::{Ns, MS, SEC};
use serde_json::Value;

/// Lines of a record at most: a replay is held in memory, some 64 bytes a line.
pub const MAX_LINES: usize = 20_000_000;

/// An RPC of a former record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordedRpc {
    /// Since the record's first.
    pub at: Ns,
    pub method: usize,
    pub key: u64,
    pub tenant: usize,
    pub work_ms: f64,
    pub front: usize,
    /// What time its client had for it.
    pub patience: Ns,
    pub leave: bool,
}

/// How arrivals follow each other.
#[derive(Clone, Debug, Default)]
pub enum Arrivals {
    /// Independent of each other, at the load's rate.
    #[default]
    Poisson,
    /// Poisson with two rates by turns: for `on` the load's rate times `times`, for `off` the rate itself.
    Bursts {
        on: Ns,
        off: Ns,
        times: f64,
    },
    Replay(Vec<RecordedRpc>),
}

impl Arrivals {
    /// Reads `poisson` or `bursts:ON_MS/OFF_MS/TIMES`.
    ///
    /// # Errors
    /// Says what is wanted.
    ///
    /// ```
    /// use rockpick_fakes::schedule::Arrivals;
    /// assert!(matches!(Arrivals::parse("bursts:200/800/4"), Ok(Arrivals::Bursts { times: 4.0, .. })));
    /// assert!(Arrivals::parse("bursts:0/0/4").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Arrivals, String> {
        if text == "poisson" {
            return Ok(Arrivals::Poisson);
        }
        let numbers: Option<Vec<f64>> =
            text.strip_prefix("bursts:").and_then(|t| t.split('/').map(|n| n.parse().ok()).collect());
        match numbers.as_deref() {
            Some([on, off, times])
                if (1.0..=3.6e6).contains(on)
                    && (1.0..=3.6e6).contains(off)
                    && (0.0..=1e3).contains(times) =>
            {
                let [on, off] = [on, off].map(|ms| (ms * MS as f64) as Ns);
                Ok(Arrivals::Bursts { on, off, times: *times })
            }
            _ => Err(format!("{text}: poisson, or bursts:ON_MS/OFF_MS/TIMES as bursts:200/800/4")),
        }
    }

    /// Reads what was sent first of each RPC in a client's record (JSON lines); a torn last line is left out.
    ///
    /// # Errors
    /// A line that is none, named by its number; a record without RPCs.
    pub fn replay(text: &str, settings: &Settings, fronts: &[String]) -> Result<Arrivals, String> {
        let mut pasts: Vec<(Ns, RecordedRpc)> = Vec::new();
        let whole = text.rfind('\n').map_or(0, |end| end + 1);
        for (nth, line) in text[..whole].lines().enumerate() {
            let v: Value = serde_json::from_str(line).map_err(|err| format!("line {}: {err}", nth + 1))?;
            if v["event"] != "sent" || v["try"] != "1" {
                continue;
            }
            if pasts.len() == MAX_LINES {
                return Err(format!("line {}: more than {MAX_LINES} RPCs", nth + 1));
            }
            let missing = |what: &str| format!("line {}: {what} is missing or not known", nth + 1);
            let text = |name: &str| v[name].as_str().ok_or_else(|| missing(name));
            let number = |name: &str| v[name].as_f64().filter(|x| *x >= 0.0).ok_or_else(|| missing(name));
            let method = settings.method_index(text("method")?).ok_or_else(|| missing("method"))?;
            let front = fronts.iter().position(|f| v["front"] == f.as_str());
            let past = RecordedRpc {
                at: 0,
                method,
                key: text("key")?.parse().map_err(|_| missing("key"))?,
                tenant: number("tenant")? as usize,
                work_ms: number("work_ms")?,
                front: front.ok_or_else(|| missing("front"))?,
                patience: (number("left_ms")? * MS as f64) as Ns,
                leave: v["leaves"] == true,
            };
            pasts.push((number("t")? as Ns, past));
        }
        pasts.sort_by_key(|(t, _)| *t);
        let begin = pasts.first().ok_or("no RPC was sent in this record")?.0;
        Ok(Arrivals::Replay(pasts.into_iter().map(|(t, p)| RecordedRpc { at: t - begin, ..p }).collect()))
    }
}

pub struct Schedule {
    pub load: Load,
    arrivals: Arrivals,
    settings: Settings,
    fronts: usize,
    work_ms: f64,
    chance: StdRng,
    zipf: Vec<f64>,
    begin: Ns,
    /// RPCs so far: the next one's number less one.
    many: u64,
    /// When the next RPC is due; never, once a replay is over.
    pub due: Ns,
}

impl Schedule {
    pub fn new(
        settings: Settings, load: Load, arrivals: Arrivals, fronts: usize, work_ms: f64, seed: u64,
    ) -> Schedule {
        let mut sum = 0.0;
        let zipf = (1..=load.keys.max(1)).map(|i| (sum += (i as f64).powf(-load.zipf), sum).1).collect();
        let chance = StdRng::seed_from_u64(seed);
        Schedule { load, arrivals, settings, fronts, work_ms, chance, zipf, begin: 0, many: 0, due: 0 }
    }

    /// The first RPC is due then.
    pub fn begin_at(&mut self, at: Ns) {
        (self.begin, self.due) = (at, at);
    }

    /// The RPC that is due; the next one's time is drawn.
    pub fn arrive(&mut self) -> Rpc {
        let at = self.due;
        self.many += 1;
        if let Arrivals::Replay(pasts) = &self.arrivals {
            let past = pasts[self.many as usize - 1];
            self.due = pasts.get(self.many as usize).map_or(Ns::MAX, |next| self.begin + next.at);
            let whole = self.settings.methods[past.method].deadline_ms as Ns * MS;
            let (front, id) = (past.front % self.fronts, self.many);
            let RecordedRpc { method, key, tenant, work_ms, patience, leave, .. } = past;
            let deadline = at + whole;
            return Rpc {
                id,
                method,
                key,
                tenant,
                work_ms,
                began: at,
                deadline,
                tries: 0,
                front,
                patience,
                leave,
            };
        }
        self.due += self.gap();
        self.draw(at)
    }

    /// From an arrival to the next: the time in which an exponential number of mean arrivals passes.
    fn gap(&mut self) -> Ns {
        let mut left = -(1.0 - self.chance.random::<f64>()).ln();
        let rate = self.load.rate.max(0.01) / SEC as f64;
        let Arrivals::Bursts { on, off, times } = self.arrivals else { return (left / rate) as Ns };
        let mut at = self.due - self.begin;
        loop {
            let into = at % (on + off);
            let (now, lasts) = if into < on { (rate * times, on - into) } else { (rate, on + off - into) };
            if left <= now * lasts as f64 {
                return at + (left / now) as Ns - (self.due - self.begin);
            }
            left -= now * lasts as f64;
            at += lasts;
        }
    }

    fn draw(&mut self, now: Ns) -> Rpc {
        let load = self.load.clone();
        let mut odds = |p: f64| p > 0.0 && self.chance.random::<f64>() < p;
        let (hot, heavier, tail, hasty) =
            (odds(load.hot), odds(load.heavier), odds(load.tail), odds(load.hasty));
        let (caller, shift, greedy) = (odds(load.caller), odds(load.shift), odds(load.greedy));
        let at = self.chance.random::<f64>() * self.zipf[self.zipf.len() - 1];
        let key = if hot {
            self.chance.random_range(0..load.hot_keys.max(1)) as u64
        } else {
            self.zipf.partition_point(|s| *s < at) as u64
        };
        let methods = self.settings.methods.len();
        let method = if heavier { methods - 1 } else { self.chance.random_range(0..methods) };
        let fronts = self.fronts;
        let front = match () {
            () if caller => 0,
            () if shift => 2 * self.chance.random_range(0..fronts.div_ceil(2)),
            () => self.chance.random_range(0..fronts),
        };
        let exp = -(1.0 - self.chance.random::<f64>()).ln();
        let times = if tail && method == 0 { load.tail_times } else { 1.0 };
        let row = &self.settings.methods[method];
        let whole = row.deadline_ms as Ns * MS;
        let share: f64 = self.chance.random_range(0.6..1.0);
        let patience = if hasty {
            row.soft_deadline_ms as f64 * MS as f64 * load.patience
        } else {
            whole as f64 * share
        };
        Rpc {
            id: self.many,
            method,
            key,
            tenant: if greedy { 0 } else { self.chance.random_range(0..3) },
            // Half of the work is the same for all, half is drawn: a few ms at the least.
            work_ms: self.work_ms * (0.5 + 0.5 * exp).min(4.0) * times,
            began: now,
            deadline: now + whole,
            tries: 0,
            front,
            patience: patience as Ns,
            leave: hasty && load.leave,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn schedule(arrivals: Arrivals) -> Schedule {
        let load = Load { rate: 1_000.0, ..Load::default() };
        Schedule::new(Settings::example(2, 2), load, arrivals, 2, 10.0, 3)
    }

    #[test]
    fn bursts_come_in_their_turns_at_their_rates() {
        let mut s = schedule(Arrivals::Bursts { on: SEC / 5, off: SEC, times: 5.0 });
        s.begin_at(7 * SEC);
        let mut counts = [0; 2];
        while s.due < 19 * SEC {
            counts[usize::from((s.due - 7 * SEC) % (6 * SEC / 5) >= SEC / 5)] += 1;
            s.arrive();
        }
        // Ten turns: 10 x 0.2 s x 5,000 and 10 x 1 s x 1,000, each within four standard deviations.
        assert!(counts.iter().all(|n: &i32| (9_600..10_400).contains(n)), "{counts:?}");
    }

    #[test]
    fn a_record_plays_again_as_it_was_and_a_torn_end_is_left_out() {
        let settings = Settings::example(2, 2);
        let names: Vec<String> = settings.fronts.iter().map(|f| f.name.clone()).collect();
        let line = |t: u64, nth: &str, key: u64| {
            serde_json::json!({ "t": t, "event": "sent", "rpc": "1-1", "try": nth, "front": "f1", "key": key.to_string(),
                "method": settings.methods[0].name, "tenant": 2, "work_ms": 5.5, "left_ms": 900, "leaves": true })
            .to_string()
        };
        let text =
            format!("{}\n{}\n{}\n{{\"t\":9,\"ev", line(50, "1", 8), line(60, "2", 8), line(30, "1", 4));
        let mut s = schedule(Arrivals::replay(&text, &settings, &names).unwrap());
        s.begin_at(SEC);
        let first = s.arrive();
        assert_eq!((first.began, first.key, first.front, first.work_ms), (SEC, 4, 1, 5.5));
        assert_eq!((first.patience, first.leave, s.due), (900 * MS, true, SEC + 20));
        assert_eq!((s.arrive().key, s.due), (8, Ns::MAX));
        let wrong = format!("{}\n", line(1, "1", 4).replace("work_ms", "wark"));
        assert!(Arrivals::replay(&wrong, &settings, &names).unwrap_err().contains("line 1: work_ms"));
        assert!(Arrivals::replay("", &settings, &names).is_err());
    }
}
