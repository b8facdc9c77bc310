//! What a front is told at start, as the simulator's pairs or the platform's JSON give it, made into the
//! module's [`Post`]: once, for the adapter and the node alike. What is not asked for is skipped.
//!
//! ```
//! let told = serde_json::json!({ "balancers": 3, "lanes": [{ "aimMs": 330.0, "idempotency": "free" }] });
//! let terms = rockpick_front_settings::Terms::of_json(&told);
//! let post = rockpick_front_settings::post(7, &terms).unwrap();
//! assert_eq!((post.fronts, post.methods[0].soft_deadline), (3, 330_000_000));
//! ```
use rockpick::{Control, Group, Guard, Method, Ns, Post, Repeat, Rights, Rollout};
use serde_json::Value;
use std::collections::BTreeMap;

/// Most methods told of: tables of the module have a row a method.
pub const MOST_METHODS: u32 = 256;

/// A field that could not be read.
#[derive(Debug)]
pub struct Wrong {
    pub field: String,
    pub why: String,
}

pub fn number(word: &str) -> Option<f64> {
    word.parse::<f64>().ok().filter(|x| x.is_finite())
}

/// Milliseconds as told, whole nanoseconds inside; the simulator counts in microseconds.
pub fn nanos(word: &str) -> Option<Ns> {
    number(word).filter(|ms| ms.abs() < 9e12).map(|ms| (ms * 1e3).round() as i64 * 1000)
}

/// The settings by path: `lanes.0.aimMs`, and `lanes.count` for a list's length.
pub struct Terms(BTreeMap<String, String>);

impl Terms {
    /// Reads pairs, split by single spaces.
    ///
    /// # Errors
    /// A pair without a value.
    pub fn of_pairs(text: &str) -> Result<Terms, Wrong> {
        let mut terms = BTreeMap::new();
        for pair in text.split(' ').filter(|pair| !pair.is_empty() && *pair != "-") {
            let wrong = || Wrong { field: "conf".into(), why: format!("no '=' in '{pair}'") };
            let (path, value) = pair.split_once('=').ok_or_else(wrong)?;
            terms.insert(path.to_string(), value.to_string());
        }
        Ok(Terms(terms))
    }

    /// Nested JSON under the same names: a list of plain values is joined by commas, as in pairs.
    pub fn of_json(told: &Value) -> Terms {
        let mut terms = BTreeMap::new();
        flatten(String::new(), told, &mut terms);
        Terms(terms)
    }

    pub fn word(&self, path: &str) -> &str {
        self.0.get(path).map_or("", String::as_str)
    }

    pub fn get<T>(&self, path: &str, none: T, read: impl Fn(&str) -> Option<T>) -> Result<T, Wrong> {
        match self.word(path) {
            "" | "-" => Ok(none),
            word => {
                read(word).ok_or_else(|| Wrong { field: path.into(), why: format!("cannot read '{word}'") })
            }
        }
    }

    pub fn num(&self, path: &str) -> Result<f64, Wrong> {
        self.get(path, 0.0, number)
    }

    pub fn int(&self, path: &str) -> Result<u32, Wrong> {
        self.get(path, 0, |word| number(word).filter(|x| *x >= 0.0).map(|x| x as u32))
    }

    pub fn time(&self, path: &str) -> Result<Ns, Wrong> {
        self.get(path, 0, nanos)
    }

    pub fn flag(&self, path: &str) -> Result<bool, Wrong> {
        self.get(path, false, |word| match word {
            "true" | "1" | "1.0" => Some(true),
            "false" | "0" | "0.0" => Some(false),
            _ => None,
        })
    }

    pub fn list(&self, path: &str) -> Result<Vec<f64>, Wrong> {
        self.get(path, Vec::new(), |word| word.split(',').map(number).collect())
    }

    /// A list of plain words.
    pub fn words(&self, path: &str) -> Vec<String> {
        self.word(path).split(',').filter(|w| !w.is_empty()).map(str::to_string).collect()
    }

    /// One word of each row of a list of objects.
    ///
    /// # Errors
    /// A length that is none.
    pub fn column(&self, list: &str, name: &str) -> Result<Vec<String>, Wrong> {
        let rows = self.int(&format!("{list}.count"))?.min(MOST_METHODS);
        Ok((0..rows).map(|row| self.word(&format!("{list}.{row}.{name}")).to_string()).collect())
    }
}

fn flatten(path: String, value: &Value, terms: &mut BTreeMap<String, String>) {
    let plain = |value: &Value| match value {
        Value::String(word) => word.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    let under = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(under(name), v, terms)),
        Value::Array(rows) if rows.iter().any(Value::is_object) => {
            terms.insert(under("count"), rows.len().to_string());
            rows.iter().enumerate().for_each(|(i, row)| flatten(under(&i.to_string()), row, terms));
        }
        Value::Array(values) => {
            terms.insert(path, values.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        value => {
            terms.insert(path, plain(value));
        }
    }
}

/// The module's post.
///
/// # Errors
/// The first field that can't be read.
pub fn post(seed: u64, terms: &Terms) -> Result<Post, Wrong> {
    let rows = terms.int("lanes.count")?;
    if rows > MOST_METHODS {
        return Err(Wrong { field: "lanes.count".into(), why: format!("{rows}, at most {MOST_METHODS}") });
    }
    let methods = (0..rows).map(|row| {
        let at = |name: &str| format!("lanes.{row}.{name}");
        Ok(Method {
            soft_deadline: terms.time(&at("aimMs"))?,
            utility: terms.num(&at("importance"))?,
            repeat: terms.get(&at("idempotency"), Repeat::NonIdempotent, |word| match word {
                "free" => Some(Repeat::Idempotent),
                "guarded" => Some(Repeat::Tokened),
                "single_shot" => Some(Repeat::NonIdempotent),
                _ => None,
            })?,
            group: terms.get(&at("keyScope"), Group::Cell, |word| match word {
                "all" => Some(Group::All),
                "zone" => Some(Group::Zone),
                "cell" => Some(Group::Cell),
                _ => None,
            })?,
            remembered: terms.time(&at("windowMs"))?,
        })
    });
    Ok(Post {
        fronts: terms.int("balancers")?,
        rank: terms.int("rank")?,
        zone: terms.int("locality")?,
        seed,
        ask_roster: terms.word("discovery") == "subscribe",
        step: terms.time("stepMs")?,
        cross_zone_price: terms.num("charges.crossZone")?,
        handshake_price: terms.num("charges.handshake")?,
        methods: methods.collect::<Result<_, Wrong>>()?,
        rollout: Rollout {
            control: terms.get("extra.control", Control::FirstVoice, |word| match word {
                "first_voice" => Some(Control::FirstVoice),
                "by_count" => Some(Control::ByCount),
                "automatic" => Some(Control::Automatic),
                _ => None,
            })?,
            parallel: terms.word("extra.layout") != "replace",
            caps: terms.list("extra.exposureCaps")?,
            free: terms.num("extra.free")?,
            window: terms.time("extra.windowMs")?,
            cap_per_method: terms.word("extra.capScope") == "each_class",
            guarded_stages: terms.int("extra.safeOnlyStages")? as usize,
            one_way: terms.flag("extra.oneWay")?,
            dwell: terms.time("extra.minDwellMs")?,
            vote_life: terms.time("extra.ballotTtlMs")?,
            call_timeout: terms.time("extra.apiTimeoutMs")?,
            on_votes: terms.int("extra.votesToGo")?,
            back_votes: terms.int("extra.toAbort")?,
            calls: terms.num("extra.apiRate")?,
        },
        guard: Guard {
            ask_within: terms.time("invariants.askWithinMs")?,
            told_within: 0,
            drain_grace: terms.time("invariants.drainGraceMs")?,
            cold_from: terms.get("invariants.coldFrom", 1.0, number)?,
            cold_time: terms.time("invariants.coldMs")?,
            overload_factor: terms.get("invariants.overloadFactor", 1.0, number)?,
            fall_time: terms.time("invariants.fallMs")?,
        },
        rights: Rights {
            most_picks: terms.get("permissions.attemptsCap", 1, |w| number(w).map(|x| x as u32))?,
            notes: terms.flag("permissions.peers")?,
            longest_wait: if terms.flag("permissions.retryAfter")? {
                terms.time("permissions.maxRetryAfterMs")?
            } else {
                0
            },
        },
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn pairs_and_json_make_the_same_post() {
        let told = json!({ "balancers": 2, "discovery": "subscribe", "lanes": [
            { "aimMs": 330.0, "importance": 2.0, "idempotency": "single_shot", "keyScope": "zone" }],
            "extra": { "exposureCaps": [0.14, 1.0], "oneWay": true }, "permissions": { "retryAfter": true, "maxRetryAfterMs": 2000 } });
        let pairs = "balancers=2 discovery=subscribe lanes.count=1 lanes.0.aimMs=330.0 lanes.0.importance=2.0 \
            lanes.0.idempotency=single_shot lanes.0.keyScope=zone extra.exposureCaps=0.14,1.0 extra.oneWay=true \
            permissions.retryAfter=true permissions.maxRetryAfterMs=2000 -";
        let a = post(7, &Terms::of_json(&told)).unwrap();
        let b = post(7, &Terms::of_pairs(pairs).unwrap()).unwrap();
        assert_eq!(format!("{a:?}"), format!("{b:?}"));
        assert_eq!((a.rollout.caps, a.rights.longest_wait), (vec![0.14, 1.0], 2_000_000_000));
    }

    #[test]
    fn a_field_that_can_t_be_read_is_named() {
        let wrong = |told: Value| post(7, &Terms::of_json(&told)).unwrap_err().field;
        assert_eq!(wrong(json!({ "lanes": [{ "aimMs": "soon" }] })), "lanes.0.aimMs");
        assert_eq!(wrong(json!({ "lanes": [{ "idempotency": "often" }] })), "lanes.0.idempotency");
        assert_eq!(wrong(json!({ "lanes": { "count": 1e9 } })), "lanes.count");
        assert!(Terms::of_pairs("a=1 b").is_err());
    }

    #[test]
    fn times_become_whole_nanoseconds() {
        assert_eq!(nanos("8412.25"), Some(8_412_250_000));
        assert_eq!(nanos("x"), None);
    }
}
