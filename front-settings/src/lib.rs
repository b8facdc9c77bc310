//! Parses a front's settings, given as the simulator's key=value pairs or the platform's JSON, into the decision module's
//! [`FrontConfig`], for both the adapter and the node. Unknown settings are ignored.
//!
//! ```
//! let json = serde_json::json!({ "balancers": 3, "lanes": [{ "aimMs": 330.0, "idempotency": "free" }] });
//! let settings = rockpick_front_settings::SettingsMap::from_json(&json);
//! let front_config = rockpick_front_settings::parse_front_config(7, &settings).unwrap();
//! assert_eq!((front_config.fronts, front_config.methods[0].soft_deadline), (3, 330_000_000));
//! ```
use rockpick::{
    Control, DedupScope, FrontConfig, Idempotency, Method, Ns, Permissions, Rollout, SafetyLimits,
};
use serde_json::Value;
use std::collections::BTreeMap;

/// Most methods in the settings: the decision module's tables have a row per method.
pub const MAX_METHODS: u32 = 256;

/// A field that could not be read.
#[derive(Debug)]
pub struct FieldError {
    pub field: String,
    pub why: String,
}

pub fn number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|x| x.is_finite())
}

/// Parses milliseconds into nanoseconds, rounded to the microsecond, the simulator's resolution.
pub fn nanos(text: &str) -> Option<Ns> {
    number(text).filter(|ms| ms.abs() < 9e12).map(|ms| (ms * 1e3).round() as i64 * 1000)
}

/// Settings by path, such as `lanes.0.aimMs`; `lanes.count` is the length of the list `lanes`.
pub struct SettingsMap(BTreeMap<String, String>);

impl SettingsMap {
    /// Parses key=value pairs that are separated by single spaces.
    ///
    /// # Errors
    /// A pair without a `=`.
    pub fn from_pairs(text: &str) -> Result<SettingsMap, FieldError> {
        let mut settings = BTreeMap::new();
        for pair in text.split(' ').filter(|pair| !pair.is_empty() && *pair != "-") {
            let error = || FieldError { field: "conf".into(), why: format!("no '=' in '{pair}'") };
            let (path, value) = pair.split_once('=').ok_or_else(error)?;
            settings.insert(path.to_string(), value.to_string());
        }
        Ok(SettingsMap(settings))
    }

    /// Flattens nested JSON into the same paths; a list of plain values is joined by commas, as in the pairs.
    pub fn from_json(json: &Value) -> SettingsMap {
        let mut settings = BTreeMap::new();
        flatten(String::new(), json, &mut settings);
        SettingsMap(settings)
    }

    pub fn text(&self, path: &str) -> &str {
        self.0.get(path).map_or("", String::as_str)
    }

    pub fn parse<T>(
        &self, path: &str, default: T, read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, FieldError> {
        match self.text(path) {
            "" | "-" => Ok(default),
            text => read(text)
                .ok_or_else(|| FieldError { field: path.into(), why: format!("cannot read '{text}'") }),
        }
    }

    pub fn float(&self, path: &str) -> Result<f64, FieldError> {
        self.parse(path, 0.0, number)
    }

    pub fn integer(&self, path: &str) -> Result<u32, FieldError> {
        self.parse(path, 0, |text| number(text).filter(|x| *x >= 0.0).map(|x| x as u32))
    }

    pub fn duration(&self, path: &str) -> Result<Ns, FieldError> {
        self.parse(path, 0, nanos)
    }

    pub fn flag(&self, path: &str) -> Result<bool, FieldError> {
        self.parse(path, false, |text| match text {
            "true" | "1" | "1.0" => Some(true),
            "false" | "0" | "0.0" => Some(false),
            _ => None,
        })
    }

    pub fn numbers(&self, path: &str) -> Result<Vec<f64>, FieldError> {
        self.parse(path, Vec::new(), |text| text.split(',').map(number).collect())
    }

    /// A comma-separated list of strings.
    pub fn strings(&self, path: &str) -> Vec<String> {
        self.text(path).split(',').filter(|w| !w.is_empty()).map(str::to_string).collect()
    }

    /// One field of each object in a list.
    ///
    /// # Errors
    /// A length that is not a number.
    pub fn column(&self, list: &str, name: &str) -> Result<Vec<String>, FieldError> {
        let rows = self.integer(&format!("{list}.count"))?.min(MAX_METHODS);
        Ok((0..rows).map(|row| self.text(&format!("{list}.{row}.{name}")).to_string()).collect())
    }
}

fn flatten(path: String, value: &Value, settings: &mut BTreeMap<String, String>) {
    let plain = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    let under = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(under(name), v, settings)),
        Value::Array(rows) if rows.iter().any(Value::is_object) => {
            settings.insert(under("count"), rows.len().to_string());
            rows.iter().enumerate().for_each(|(i, row)| flatten(under(&i.to_string()), row, settings));
        }
        Value::Array(values) => {
            settings.insert(path, values.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        value => {
            settings.insert(path, plain(value));
        }
    }
}

/// Builds the decision module's [`Post`] from settings.
///
/// # Errors
/// The first field that can't be parsed.
pub fn parse_front_config(seed: u64, settings: &SettingsMap) -> Result<FrontConfig, FieldError> {
    let rows = settings.integer("lanes.count")?;
    if rows > MAX_METHODS {
        return Err(FieldError {
            field: "lanes.count".into(),
            why: format!("{rows}, at most {MAX_METHODS}"),
        });
    }
    let methods = (0..rows).map(|row| {
        let at = |name: &str| format!("lanes.{row}.{name}");
        Ok(Method {
            soft_deadline: settings.duration(&at("aimMs"))?,
            utility: settings.float(&at("importance"))?,
            idempotency: settings.parse(
                &at("idempotency"),
                Idempotency::NonIdempotent,
                |text| match text {
                    "free" => Some(Idempotency::Idempotent),
                    "guarded" => Some(Idempotency::Tokened),
                    "single_shot" => Some(Idempotency::NonIdempotent),
                    _ => None,
                },
            )?,
            dedup_scope: settings.parse(&at("keyScope"), DedupScope::Cell, |text| match text {
                "all" => Some(DedupScope::All),
                "zone" => Some(DedupScope::Zone),
                "cell" => Some(DedupScope::Cell),
                _ => None,
            })?,
            dedup_window: settings.duration(&at("windowMs"))?,
        })
    });
    Ok(FrontConfig {
        fronts: settings.integer("balancers")?,
        rank: settings.integer("rank")?,
        zone: settings.integer("locality")?,
        seed,
        ask_roster: settings.text("discovery") == "subscribe",
        step: settings.duration("stepMs")?,
        cross_zone_price: settings.float("charges.crossZone")?,
        handshake_price: settings.float("charges.handshake")?,
        methods: methods.collect::<Result<_, FieldError>>()?,
        rollout: Rollout {
            control: settings.parse("extra.control", Control::FirstVoice, |text| match text {
                "first_voice" => Some(Control::FirstVoice),
                "by_count" => Some(Control::ByCount),
                "automatic" => Some(Control::Automatic),
                _ => None,
            })?,
            parallel: settings.text("extra.layout") != "replace",
            caps: settings.numbers("extra.exposureCaps")?,
            free: settings.float("extra.free")?,
            window: settings.duration("extra.windowMs")?,
            cap_per_method: settings.text("extra.capScope") == "each_class",
            guarded_stages: settings.integer("extra.safeOnlyStages")? as usize,
            one_way: settings.flag("extra.oneWay")?,
            dwell: settings.duration("extra.minDwellMs")?,
            vote_life: settings.duration("extra.ballotTtlMs")?,
            call_timeout: settings.duration("extra.apiTimeoutMs")?,
            on_votes: settings.integer("extra.votesToGo")?,
            back_votes: settings.integer("extra.toAbort")?,
            platform_call_rate: settings.float("extra.apiRate")?,
        },
        limits: SafetyLimits {
            ask_within: settings.duration("invariants.askWithinMs")?,
            told_within: 0,
            told_within_after_move: 0,
            drain_grace: settings.duration("invariants.drainGraceMs")?,
            cold_from: settings.parse("invariants.coldFrom", 1.0, number)?,
            cold_time: settings.duration("invariants.coldMs")?,
            overload_factor: settings.parse("invariants.overloadFactor", 1.0, number)?,
            fall_time: settings.duration("invariants.fallMs")?,
        },
        max_bound_keys: None,
        permissions: Permissions {
            most_picks: settings.parse("permissions.attemptsCap", 1, |w| number(w).map(|x| x as u32))?,
            notes: settings.flag("permissions.peers")?,
            longest_wait: if settings.flag("permissions.retryAfter")? {
                settings.duration("permissions.maxRetryAfterMs")?
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
        let json = json!({ "balancers": 2, "discovery": "subscribe", "lanes": [
            { "aimMs": 330.0, "importance": 2.0, "idempotency": "single_shot", "keyScope": "zone" }],
            "extra": { "exposureCaps": [0.14, 1.0], "oneWay": true }, "permissions": { "retryAfter": true, "maxRetryAfterMs": 2000 } });
        let pairs = "balancers=2 discovery=subscribe lanes.count=1 lanes.0.aimMs=330.0 lanes.0.importance=2.0 \
            lanes.0.idempotency=single_shot lanes.0.keyScope=zone extra.exposureCaps=0.14,1.0 extra.oneWay=true \
            permissions.retryAfter=true permissions.maxRetryAfterMs=2000 -";
        let a = parse_front_config(7, &SettingsMap::from_json(&json)).unwrap();
        let b = parse_front_config(7, &SettingsMap::from_pairs(pairs).unwrap()).unwrap();
        assert_eq!(format!("{a:?}"), format!("{b:?}"));
        assert_eq!((a.rollout.caps, a.permissions.longest_wait), (vec![0.14, 1.0], 2_000_000_000));
    }

    #[test]
    fn a_field_that_can_t_be_parsed_is_named() {
        let error_field =
            |json: Value| parse_front_config(7, &SettingsMap::from_json(&json)).unwrap_err().field;
        assert_eq!(error_field(json!({ "lanes": [{ "aimMs": "soon" }] })), "lanes.0.aimMs");
        assert_eq!(error_field(json!({ "lanes": [{ "idempotency": "often" }] })), "lanes.0.idempotency");
        assert_eq!(error_field(json!({ "lanes": { "count": 1e9 } })), "lanes.count");
        assert!(SettingsMap::from_pairs("a=1 b").is_err());
    }

    #[test]
    fn times_become_whole_nanoseconds() {
        assert_eq!(nanos("8412.25"), Some(8_412_250_000));
        assert_eq!(nanos("x"), None);
    }
}
