//! The schedule of RPCs: when each is due and what it calls. The seed determines it before the first RPC is sent,
//! whatever the outcomes are. Arrivals are Poisson, in bursts, or replayed from a record.
use crate::client_model::{Load, Rpc};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rockpick_control::Settings;
use rockpick_net::{Ns, MS, SEC};
use serde_json::Value;

/// The maximum number of lines of a record: a replay is held in memory, at about 64 bytes a line.
pub const MAX_LINES: usize = 20_000_000;

/// An RPC read from a record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordedRpc {
    /// The time since the record's first RPC.
    pub at: Ns,
    pub method: usize,
    pub key: u64,
    pub tenant: usize,
    pub work_ms: f64,
    pub front: usize,
    /// How long its client waited for the answer.
    pub patience: Ns,
    pub leave: bool,
}

/// The process by which RPCs arrive.
#[derive(Clone, Debug, Default)]
pub enum Arrivals {
    /// A Poisson process at the load's rate.
    #[default]
    Poisson,
    /// A Poisson process with two alternating rates: the load's rate times `times` for `on`, then the rate itself for
    /// `off`.
    Bursts {
        on: Ns,
        off: Ns,
        times: f64,
    },
    Replay(Vec<RecordedRpc>),
}

impl Arrivals {
    /// Parses `poisson` or `bursts:ON_MS/OFF_MS/TIMES`.
    ///
    /// # Errors
    /// The expected forms, if the text has neither.
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

    /// Reads the first try of each RPC from a client's record (JSON lines); an incomplete last line is skipped.
    ///
    /// # Errors
    /// The number of a malformed line; a record without RPCs.
    pub fn replay(text: &str, settings: &Settings, fronts: &[String]) -> Result<Arrivals, String> {
        let mut recorded: Vec<(Ns, RecordedRpc)> = Vec::new();
        let whole = text.rfind('\n').map_or(0, |end| end + 1);
        for (nth, line) in text[..whole].lines().enumerate() {
            let v: Value = serde_json::from_str(line).map_err(|err| format!("line {}: {err}", nth + 1))?;
            if v["event"] != "sent" || v["try"] != "1" {
                continue;
            }
            if recorded.len() == MAX_LINES {
                return Err(format!("line {}: more than {MAX_LINES} RPCs", nth + 1));
            }
            let missing = |what: &str| format!("line {}: {what} is missing or not known", nth + 1);
            let text = |name: &str| v[name].as_str().ok_or_else(|| missing(name));
            let number = |name: &str| v[name].as_f64().filter(|x| *x >= 0.0).ok_or_else(|| missing(name));
            let method = settings.method_index(text("method")?).ok_or_else(|| missing("method"))?;
            let front = fronts.iter().position(|f| v["front"] == f.as_str());
            let rpc = RecordedRpc {
                at: 0,
                method,
                key: text("key")?.parse().map_err(|_| missing("key"))?,
                tenant: number("tenant")? as usize,
                work_ms: number("work_ms")?,
                front: front.ok_or_else(|| missing("front"))?,
                patience: (number("left_ms")? * MS as f64) as Ns,
                leave: v["leaves"] == true,
            };
            recorded.push((number("t")? as Ns, rpc));
        }
        recorded.sort_by_key(|(t, _)| *t);
        let begin = recorded.first().ok_or("no RPC was sent in this record")?.0;
        Ok(Arrivals::Replay(recorded.into_iter().map(|(t, p)| RecordedRpc { at: t - begin, ..p }).collect()))
    }
}

pub struct Schedule {
    pub load: Load,
    arrivals: Arrivals,
    settings: Settings,
    fronts: usize,
    work_ms: f64,
    rng: StdRng,
    zipf: Vec<f64>,
    begin: Ns,
    /// The number of RPCs so far, which is the id of the latest one.
    count: u64,
    /// When the next RPC is due; never, once a replay has ended.
    pub due: Ns,
}

impl Schedule {
    pub fn new(
        settings: Settings, load: Load, arrivals: Arrivals, fronts: usize, work_ms: f64, seed: u64,
    ) -> Schedule {
        let mut sum = 0.0;
        let zipf = (1..=load.keys.max(1)).map(|i| (sum += (i as f64).powf(-load.zipf), sum).1).collect();
        let rng = StdRng::seed_from_u64(seed);
        Schedule { load, arrivals, settings, fronts, work_ms, rng, zipf, begin: 0, count: 0, due: 0 }
    }

    /// Sets the time at which the first RPC is due.
    pub fn begin_at(&mut self, at: Ns) {
        (self.begin, self.due) = (at, at);
    }

    /// Takes the RPC that is due, and draws when the next one is due.
    pub fn arrive(&mut self) -> Rpc {
        let at = self.due;
        self.count += 1;
        if let Arrivals::Replay(recorded) = &self.arrivals {
            let rpc = recorded[self.count as usize - 1];
            self.due = recorded.get(self.count as usize).map_or(Ns::MAX, |next| self.begin + next.at);
            let whole = self.settings.methods[rpc.method].deadline_ms as Ns * MS;
            let (front, id) = (rpc.front % self.fronts, self.count);
            let RecordedRpc { method, key, tenant, work_ms, patience, leave, .. } = rpc;
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
        self.due += self.draw_interval();
        self.draw_rpc(at)
    }

    /// The time until the next arrival: the time in which the expected number of arrivals reaches an exponentially
    /// distributed value.
    fn draw_interval(&mut self) -> Ns {
        let mut left = -(1.0 - self.rng.random::<f64>()).ln();
        let rate = self.load.rate.max(0.01) / SEC as f64;
        let Arrivals::Bursts { on, off, times } = self.arrivals else { return (left / rate) as Ns };
        let mut at = self.due - self.begin;
        loop {
            let into = at % (on + off);
            let (rate_now, remaining) =
                if into < on { (rate * times, on - into) } else { (rate, on + off - into) };
            if left <= rate_now * remaining as f64 {
                return at + (left / rate_now) as Ns - (self.due - self.begin);
            }
            left -= rate_now * remaining as f64;
            at += remaining;
        }
    }

    fn draw_rpc(&mut self, now: Ns) -> Rpc {
        let load = self.load.clone();
        let mut happens = |p: f64| p > 0.0 && self.rng.random::<f64>() < p;
        let (hot, heavier, tail, hasty) =
            (happens(load.hot), happens(load.heavier), happens(load.tail), happens(load.hasty));
        let (caller, shift, greedy) = (happens(load.caller), happens(load.shift), happens(load.greedy));
        let at = self.rng.random::<f64>() * self.zipf[self.zipf.len() - 1];
        let key = if hot {
            self.rng.random_range(0..load.hot_keys.max(1)) as u64
        } else {
            self.zipf.partition_point(|s| *s < at) as u64
        };
        let methods = self.settings.methods.len();
        let method = if heavier { methods - 1 } else { self.rng.random_range(0..methods) };
        let fronts = self.fronts;
        let front = match () {
            () if caller => 0,
            () if shift => 2 * self.rng.random_range(0..fronts.div_ceil(2)),
            () => self.rng.random_range(0..fronts),
        };
        let exp = -(1.0 - self.rng.random::<f64>()).ln();
        let times = if tail && method == 0 { load.tail_times } else { 1.0 };
        let row = &self.settings.methods[method];
        let whole = row.deadline_ms as Ns * MS;
        let share: f64 = self.rng.random_range(0.6..1.0);
        let patience = if hasty {
            row.soft_deadline_ms as f64 * MS as f64 * load.patience
        } else {
            whole as f64 * share
        };
        Rpc {
            id: self.count,
            method,
            key,
            tenant: if greedy { 0 } else { self.rng.random_range(0..3) },
            // Half of the work is constant and half is exponential, so that no RPC takes less than a few ms.
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
    fn bursts_alternate_between_their_two_rates() {
        let mut s = schedule(Arrivals::Bursts { on: SEC / 5, off: SEC, times: 5.0 });
        s.begin_at(7 * SEC);
        let mut counts = [0; 2];
        while s.due < 19 * SEC {
            counts[usize::from((s.due - 7 * SEC) % (6 * SEC / 5) >= SEC / 5)] += 1;
            s.arrive();
        }
        // Ten cycles: 10 x 0.2 s x 5,000 and 10 x 1 s x 1,000, each within four standard deviations.
        assert!(counts.iter().all(|n: &i32| (9_600..10_400).contains(n)), "{counts:?}");
    }

    #[test]
    fn a_replay_repeats_the_record_and_skips_an_incomplete_last_line() {
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
