//! The settings of a deployment: one JSON document that an operator puts by an API call, validated as a whole. Times
//! are whole milliseconds here and whole nanoseconds everywhere else.
use rockpick::{
    Control, DedupScope, FrontConfig, Idempotency, Method, Ns, Permissions, Rollout, SafetyLimits,
};
use rockpick_tenant::DirectorySettings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

const MS: Ns = 1_000_000;

/// Most methods, zones, fronts and places: five times the largest fleet that was required.
const MAX_METHODS: usize = 64;
pub const MAX_ZONES: usize = 64;
pub const MAX_WEIGHT: f64 = 1e6;
const MAX_FRONTS: usize = 5_000;
const MAX_PLACES: usize = 5_000;
pub const MAX_STAGES: usize = 32;
/// Longest time that a field accepts: a day.
const MAX_MS: u64 = 86_400_000;

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub methods: Vec<MethodSettings>,
    pub rollout: RolloutSettings,
    pub guard: GuardSettings,
    pub rights: RightsSettings,
    pub zones: Vec<String>,
    pub fronts: Vec<FrontSettings>,
    pub places: Vec<Place>,
    /// The build that all places run before the first offer.
    pub first_build: u32,
    /// Share of the service that would be lost if every pick crossed zones.
    #[serde(default)]
    pub cross_zone_price: f64,
    /// The directory of tenants; without it all callers are treated alike.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<DirectorySettings>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MethodSettings {
    pub name: String,
    pub soft_deadline_ms: u64,
    pub deadline_ms: u64,
    pub utility: f64,
    pub repeat: RepeatKind,
    #[serde(default)]
    pub group: GroupKind,
    #[serde(default)]
    pub remembered_ms: u64,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatKind {
    Idempotent,
    Tokened,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum GroupKind {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ControlKind {
    FirstVoice,
    ByCount,
    Automatic,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutSettings {
    pub control: ControlKind,
    /// Whether machines of the earlier build keep running until the release.
    pub parallel: bool,
    /// Share of the places that run the build on trial, by stage; it must not decrease.
    pub stages: Vec<f64>,
    pub caps: Vec<f64>,
    pub free: f64,
    pub window_ms: u64,
    #[serde(default)]
    pub cap_per_method: bool,
    #[serde(default)]
    pub guarded_stages: usize,
    #[serde(default)]
    pub one_way: bool,
    pub dwell_ms: u64,
    /// Under automatic control: how long a stage lasts.
    #[serde(default)]
    pub step_ms: u64,
    pub vote_life_ms: u64,
    pub call_timeout_ms: u64,
    pub votes_a_second: f64,
    #[serde(default = "one")]
    pub on_votes: u32,
    #[serde(default = "one")]
    pub hold_votes: u32,
    #[serde(default = "one")]
    pub back_votes: u32,
    pub told_every_ms: u64,
    /// For a rollout in place: the share of places that keep serving, warm, while others are replaced.
    #[serde(default = "three_quarters")]
    pub serving_share: f64,
    /// 0 turns tallies off.
    #[serde(default)]
    pub tally_every_ms: u64,
    #[serde(default)]
    pub tally_sample: f64,
}

fn three_quarters() -> f64 {
    0.75
}

fn one() -> u32 {
    1
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GuardSettings {
    pub drain_grace_ms: u64,
    pub cold_from: f64,
    pub cold_time_ms: u64,
    pub overload_factor: f64,
    pub fall_time_ms: u64,
    pub ask_within_ms: u64,
    /// Subtracted from the time a client has left, for the answer's way back.
    pub answer_margin_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RightsSettings {
    pub most_picks: u32,
    pub notes: bool,
    pub longest_wait_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    pub name: String,
    pub zone: String,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Place {
    pub name: String,
    pub zone: String,
    #[serde(default)]
    pub cell: u32,
    pub weight: f64,
}

/// An invalid field, named by its path.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct FieldError {
    pub field: String,
    pub why: String,
}

/// Names are used in paths, headers and logs, so only a few characters are allowed.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= 64 && name.bytes().all(allowed)
}

impl Settings {
    /// Parses and validates a document; every error names its field.
    pub fn parse(text: &[u8]) -> Result<Settings, Vec<FieldError>> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut json).map_err(|err| {
            vec![FieldError { field: err.path().to_string(), why: err.inner().to_string() }]
        })?;
        json.end().map_err(|err| vec![FieldError { field: ".".into(), why: err.to_string() }])?;
        let errors = settings.validate();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(errors)
        }
    }

    /// Returns all errors, not just the first.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut require = |valid: bool, field: String, why: &str| {
            if !valid {
                errors.push(FieldError { field, why: why.into() });
            }
        };
        let share = |x: f64| (0.0..=1.0).contains(&x);
        require((1..=MAX_METHODS).contains(&self.methods.len()), "methods".into(), "1 to 64 are wanted");
        let mut names = BTreeSet::new();
        for (i, m) in self.methods.iter().enumerate() {
            let at = |f: &str| format!("methods[{i}].{f}");
            require(is_valid_name(&m.name), at("name"), "1 to 64 letters, digits, '-', '_' or '.'");
            require(names.insert(&m.name), at("name"), "given twice");
            let aim = (1..=m.deadline_ms).contains(&m.soft_deadline_ms);
            require(aim, at("soft_deadline_ms"), "1 to deadline_ms");
            require(m.deadline_ms <= MAX_MS, at("deadline_ms"), "a day at most");
            require(m.utility > 0.0 && m.utility <= 1e9, at("utility"), "above 0, at most 1e9");
            let window = m.repeat != RepeatKind::Tokened || (1..=MAX_MS).contains(&m.remembered_ms);
            require(window, at("remembered_ms"), "wanted for a tokened method");
        }
        let r = &self.rollout;
        let at = |f: &str| format!("rollout.{f}");
        require((1..=MAX_STAGES).contains(&r.stages.len()), at("stages"), "1 to 32 are wanted");
        require(r.caps.len() == r.stages.len(), at("caps"), "one a stage is wanted");
        for (i, pair) in r.stages.windows(2).enumerate() {
            require(pair[0] <= pair[1], format!("rollout.stages[{}]", i + 1), "lower than the stage before");
        }
        for (i, s) in r.stages.iter().enumerate() {
            require(*s > 0.0 && *s <= 1.0, format!("rollout.stages[{i}]"), "above 0, at most 1");
        }
        for (i, c) in r.caps.iter().enumerate() {
            require(share(*c), format!("rollout.caps[{i}]"), "0 to 1");
        }
        require((0.0..=1e6).contains(&r.free), at("free"), "0 to 1e6");
        require((32..=MAX_MS).contains(&r.window_ms), at("window_ms"), "32 ms to a day");
        require(r.guarded_stages <= r.stages.len(), at("guarded_stages"), "more than there are stages");
        require(r.dwell_ms <= MAX_MS, at("dwell_ms"), "a day at most");
        let steps = r.control != ControlKind::Automatic || (1..=MAX_MS).contains(&r.step_ms);
        require(steps, at("step_ms"), "wanted under automatic control, a day at most");
        require((100..=MAX_MS).contains(&r.vote_life_ms), at("vote_life_ms"), "100 ms to a day");
        require((10..=60_000).contains(&r.call_timeout_ms), at("call_timeout_ms"), "10 ms to a minute");
        require(r.votes_a_second >= 1.0 && r.votes_a_second <= 1e6, at("votes_a_second"), "1 to 1e6");
        let fronts = self.fronts.len() as u32;
        for (name, n) in
            [("on_votes", r.on_votes), ("hold_votes", r.hold_votes), ("back_votes", r.back_votes)]
        {
            require((1..=fronts.max(1)).contains(&n), at(name), "1 to the count of fronts");
        }
        require((100..=60_000).contains(&r.told_every_ms), at("told_every_ms"), "100 ms to a minute");
        let tallies = r.tally_every_ms == 0 || (100..=60_000).contains(&r.tally_every_ms);
        require(tallies, at("tally_every_ms"), "0, or 100 ms to a minute");
        require(share(r.tally_sample), at("tally_sample"), "0 to 1");
        require((0.0..1.0).contains(&r.serving_share), at("serving_share"), "0 to under 1");
        let g = &self.guard;
        let at = |f: &str| format!("guard.{f}");
        require(g.drain_grace_ms <= MAX_MS, at("drain_grace_ms"), "a day at most");
        require(g.cold_from > 0.0 && g.cold_from <= 1.0, at("cold_from"), "above 0, at most 1");
        require(g.cold_time_ms <= MAX_MS, at("cold_time_ms"), "a day at most");
        require(g.overload_factor >= 1.0 && g.overload_factor <= 1e3, at("overload_factor"), "1 to 1000");
        require((1..=MAX_MS).contains(&g.fall_time_ms), at("fall_time_ms"), "1 ms to a day");
        require((100..=MAX_MS).contains(&g.ask_within_ms), at("ask_within_ms"), "100 ms to a day");
        require(g.answer_margin_ms <= 10_000, at("answer_margin_ms"), "10 s at most");
        require((1..=64).contains(&self.rights.most_picks), "rights.most_picks".into(), "1 to 64");
        require(self.rights.longest_wait_ms <= MAX_MS, "rights.longest_wait_ms".into(), "a day at most");
        require((1..=MAX_ZONES).contains(&self.zones.len()), "zones".into(), "1 to 64 are wanted");
        let zones: BTreeSet<&String> = self.zones.iter().collect();
        require(zones.len() == self.zones.len(), "zones".into(), "one given twice");
        for (i, z) in self.zones.iter().enumerate() {
            require(is_valid_name(z), format!("zones[{i}]"), "1 to 64 letters, digits, '-', '_' or '.'");
        }
        require((1..=MAX_FRONTS).contains(&self.fronts.len()), "fronts".into(), "1 to 5000 are wanted");
        require((1..=MAX_PLACES).contains(&self.places.len()), "places".into(), "1 to 5000 are wanted");
        let (fronts, places) = (self.fronts.iter().enumerate(), self.places.iter().enumerate());
        let named = fronts.map(|(i, f)| (format!("fronts[{i}]"), &f.name, &f.zone));
        let mut names = BTreeSet::new();
        for (at, name, zone) in named.chain(places.map(|(i, p)| (format!("places[{i}]"), &p.name, &p.zone))) {
            require(is_valid_name(name), format!("{at}.name"), "1 to 64 letters, digits, '-', '_' or '.'");
            require(names.insert(name), format!("{at}.name"), "given twice");
            require(zones.contains(zone), format!("{at}.zone"), "not among zones");
        }
        for (i, p) in self.places.iter().enumerate() {
            require(
                p.weight > 0.0 && p.weight <= MAX_WEIGHT,
                format!("places[{i}].weight"),
                "above 0, at most 1e6",
            );
        }
        require(
            (1..=crate::release::MAX_BUILD).contains(&self.first_build),
            "first_build".into(),
            "1 to 65535",
        );
        require(share(self.cross_zone_price), "cross_zone_price".into(), "0 to 1");
        for (field, why) in self.directory.iter().flat_map(DirectorySettings::check) {
            require(false, format!("directory.{field}"), &why);
        }
        errors
    }

    pub fn zone_index(&self, name: &str) -> u32 {
        self.zones.iter().position(|z| z == name).unwrap_or(0) as u32
    }

    pub fn method_index(&self, name: &str) -> Option<usize> {
        self.methods.iter().position(|m| m.name == name)
    }

    /// The configuration that the front of this name gets at its start.
    pub fn front_config(&self, front: &str, seed: u64) -> Option<FrontConfig> {
        let rank = self.fronts.iter().position(|f| f.name == front)?;
        let ms = |n: u64| n as Ns * MS;
        let (r, g) = (&self.rollout, &self.guard);
        Some(FrontConfig {
            fronts: self.fronts.len() as u32,
            rank: rank as u32,
            zone: self.zone_index(&self.fronts[rank].zone),
            seed,
            ask_roster: true,
            // Turns of the event loop are far shorter; this is how late a timeout may fire on a busy machine.
            step: 5 * MS,
            cross_zone_price: self.cross_zone_price,
            handshake_price: 0.0,
            methods: self
                .methods
                .iter()
                .map(|m| Method {
                    soft_deadline: ms(m.soft_deadline_ms),
                    utility: m.utility,
                    idempotency: match m.repeat {
                        RepeatKind::Idempotent => Idempotency::Idempotent,
                        RepeatKind::Tokened => Idempotency::Tokened,
                        RepeatKind::NonIdempotent => Idempotency::NonIdempotent,
                    },
                    dedup_scope: match m.group {
                        GroupKind::All => DedupScope::All,
                        GroupKind::Zone => DedupScope::Zone,
                        GroupKind::Cell => DedupScope::Cell,
                    },
                    dedup_window: ms(m.remembered_ms),
                })
                .collect(),
            rollout: Rollout {
                control: r.control(),
                parallel: r.parallel,
                caps: r.caps.clone(),
                free: r.free,
                window: ms(r.window_ms),
                cap_per_method: r.cap_per_method,
                guarded_stages: r.guarded_stages,
                one_way: r.one_way,
                dwell: ms(r.dwell_ms),
                vote_life: ms(r.vote_life_ms),
                call_timeout: ms(r.call_timeout_ms),
                on_votes: r.on_votes,
                back_votes: r.back_votes,
                platform_call_rate: 0.0,
            },
            limits: SafetyLimits {
                ask_within: ms(g.ask_within_ms),
                told_within: 0,
                told_within_after_move: 0,
                drain_grace: ms(g.drain_grace_ms),
                cold_from: g.cold_from,
                cold_time: ms(g.cold_time_ms),
                overload_factor: g.overload_factor,
                fall_time: ms(g.fall_time_ms),
            },
            max_bound_keys: None,
            permissions: Permissions {
                most_picks: self.rights.most_picks,
                notes: self.rights.notes,
                longest_wait: ms(self.rights.longest_wait_ms),
            },
        })
    }

    /// Settings of a small deployment, for `rockpick settings --example`, rehearsals and tests.
    pub fn example(fronts: usize, places: usize) -> Settings {
        let zones = ["north", "south"];
        let method = |name: &str, soft, deadline, utility, repeat| MethodSettings {
            name: name.into(),
            soft_deadline_ms: soft,
            deadline_ms: deadline,
            utility,
            repeat,
            group: GroupKind::All,
            remembered_ms: 5_000,
        };
        let zone = |i: usize| zones[i % 2].to_string();
        let share = |part: f64| ((fronts as f64 * part).ceil() as u32).max(1);
        Settings {
            methods: vec![
                method("lookup", 800, 3_000, 2.0, RepeatKind::Idempotent),
                method("save", 800, 3_000, 2.0, RepeatKind::Tokened),
                method("lodge", 1_000, 3_000, 6.0, RepeatKind::NonIdempotent),
            ],
            rollout: RolloutSettings {
                control: ControlKind::ByCount,
                parallel: true,
                stages: vec![0.1, 0.35, 1.0],
                caps: vec![0.14, 0.49, 1.0],
                free: 2.0,
                window_ms: 3_000,
                cap_per_method: false,
                guarded_stages: 0,
                one_way: false,
                dwell_ms: 1_000,
                step_ms: 0,
                vote_life_ms: 4_000,
                call_timeout_ms: 800,
                votes_a_second: 80.0,
                on_votes: share(0.6),
                hold_votes: 1,
                back_votes: share(0.25),
                told_every_ms: 2_000,
                serving_share: 0.75,
                tally_every_ms: 1_000,
                tally_sample: 0.4,
            },
            guard: GuardSettings {
                drain_grace_ms: 1_000,
                cold_from: 0.42,
                cold_time_ms: 5_000,
                overload_factor: 3.0,
                fall_time_ms: 1_000,
                ask_within_ms: 10_000,
                answer_margin_ms: 40,
            },
            rights: RightsSettings { most_picks: 3, notes: true, longest_wait_ms: 2_000 },
            zones: zones.map(String::from).to_vec(),
            fronts: (0..fronts).map(|i| FrontSettings { name: format!("f{i}"), zone: zone(i) }).collect(),
            places: (0..places)
                .map(|i| Place { name: format!("p{i}"), zone: zone(i), cell: (i / 4) as u32, weight: 1.0 })
                .collect(),
            first_build: 1,
            cross_zone_price: 0.01,
            directory: None,
        }
    }
}

impl RolloutSettings {
    pub fn control(&self) -> Control {
        match self.control {
            ControlKind::FirstVoice => Control::FirstVoice,
            ControlKind::ByCount => Control::ByCount,
            ControlKind::Automatic => Control::Automatic,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn errors_name_their_fields_by_path_and_all_at_once() {
        let mut settings = Settings::example(2, 4);
        assert_eq!(settings.validate(), []);
        settings.methods[1].utility = -1.0;
        settings.rollout.caps.pop();
        settings.places[3].zone = "west".into();
        settings.guard.overload_factor = f64::NAN;
        let fields: Vec<String> = settings.validate().into_iter().map(|w| w.field).collect();
        assert_eq!(fields, ["methods[1].utility", "rollout.caps", "guard.overload_factor", "places[3].zone"]);
        let mut json = serde_json::to_value(Settings::example(2, 4)).unwrap();
        json["methods"][2]["repeat"] = "perhaps".into();
        let errors = Settings::parse(json.to_string().as_bytes()).unwrap_err();
        assert_eq!(errors[0].field, "methods[2].repeat");
        assert!(Settings::parse(b"{\"zoness\":1}").is_err() && Settings::parse(b"[").is_err());
    }
}
