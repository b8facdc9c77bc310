//! A node's configuration, as read at its start and again at a reload.
use crate::clients::max_clients;
use crate::config_file::ConfigFile;
use crate::memory::{self, MemoryBudget};
use rockpick::{FrontConfig, Ns};
use rockpick_front_settings::{parse_front_config, FieldError, SettingsMap};
use rockpick_net::MS;
use rockpick_platform::rollout_api::{self, BuildStatus};
use rockpick_platform::roster::{self, RosterMessage};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Fewest descriptors that a node uses.
const MIN_SOCKETS: usize = 64;
const MAX_SOCKETS: usize = 4_096;
/// The platform counts a limit of 48 MB as 49,152 KiB.
const BYTES_PER_MB: f64 = 1_048_576.0;

pub struct Config {
    pub file: Option<PathBuf>,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub rollout_api: Option<SocketAddr>,
    pub initial_status: Option<BuildStatus>,
    /// The list of machines as the node last held it. It is taken at the start.
    pub initial_roster: Option<RosterMessage>,
    pub sockets: usize,
    pub memory_budget: MemoryBudget,
    pub front_config: FrontConfig,
    /// Name of each method, and the longest deadline of its clients.
    pub methods: Vec<(String, Ns)>,
    pub zones: Vec<String>,
    /// Longest time to connect to a machine. It never exceeds the drain grace: a pick that was decided before a drain
    /// became known is sent when its connection is up, and must not be sent after the grace.
    pub connect_timeout: Ns,
    /// Machines close a connection that was idle for this long.
    pub machine_idle_timeout: Ns,
    /// The peers to join. There are none on a platform that forbids or does not configure them.
    pub peers: Option<rockpick_peers::Config>,
}

impl Config {
    pub fn method(&self, name: &str) -> Option<usize> {
        self.methods.iter().position(|(known, _)| known == name)
    }

    /// Reads the environment variables, and the file that `PROXY_CONFIG` names.
    ///
    /// # Errors
    /// The first field that can't be read, and why.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file = var("PROXY_CONFIG").filter(|f| !f.is_empty()).map(PathBuf::from);
        let text = file.as_deref().map(ConfigFile::read).transpose()?;
        let config = match &text {
            Some(text) => text.fields()?,
            None => Value::Null,
        };
        let text_field = |field: &str, name: &str| match &config[field] {
            Value::String(text) => Ok(text.clone()),
            Value::Null => var(name).ok_or(format!("{field}: neither in the configuration nor in {name}")),
            other => Err(format!("{field}: {other} is not a string")),
        };
        let address = |field: &str, text: &str| -> Result<SocketAddr, String> {
            text.parse().map_err(|_| format!("{field}: {text:?} is not an address"))
        };
        let seed = match &config["seed"] {
            Value::Null => 1,
            Value::Number(n) => n.as_u64().ok_or("seed: not an unsigned 64-bit integer")?,
            Value::String(hex) => {
                u64::from_str_radix(hex, 16).map_err(|_| "seed: not a hexadecimal number")?
            }
            _ => return Err("seed: not a number".into()),
        };
        let settings = SettingsMap::from_json(&config["settings"]);
        let settings_error = |error: FieldError| format!("settings.{}: {}", error.field, error.why);
        let deadlines = settings.column("lanes", "deadlineMs").map_err(settings_error)?;
        let names = settings.column("lanes", "name").map_err(settings_error)?;
        let max_deadline =
            |text: &String| rockpick_front_settings::nanos(text).filter(|ns| *ns > 0).unwrap_or(Ns::MAX / 4);
        let sockets = match &config["limits"]["sockets"] {
            Value::Null => MAX_SOCKETS,
            n => n.as_u64().ok_or("limits.sockets: no number")? as usize,
        };
        let sockets = sockets.clamp(MIN_SOCKETS, MAX_SOCKETS);
        let memory_limit = match &config["limits"]["memory_mb"] {
            Value::Null => memory::DEFAULT_LIMIT,
            n => {
                (n.as_f64().filter(|mb| *mb > 0.0).ok_or("limits.memory_mb: not a positive number")?
                    * BYTES_PER_MB) as usize
            }
        };
        let memory_budget = MemoryBudget::new(memory_limit, max_clients(sockets));
        let rollout_api = match &config["platform"]["address"] {
            Value::Null => None,
            Value::String(text) => Some(address("platform.address", text)?),
            _ => return Err("platform.address: no text".into()),
        };
        let dial = settings
            .parse("permissions.dialTimeoutMs", 250 * MS, rockpick_front_settings::nanos)
            .map_err(settings_error)?;
        let grace = settings
            .parse("invariants.drainGraceMs", Ns::MAX, rockpick_front_settings::nanos)
            .map_err(settings_error)?;
        let mut front_config = parse_front_config(seed, &settings).map_err(settings_error)?;
        front_config.limits.told_within = roster::CHANGE_KNOWN_WITHIN;
        front_config.limits.told_within_after_move = roster::CHANGE_KNOWN_AFTER_MOVE;
        front_config.max_bound_keys = Some(memory_budget.bound_keys);
        let mut zones = settings.strings("zones");
        let initial_roster = text.and_then(|text| text.roster(&mut zones));
        Ok(Config {
            name: text_field("name", "PROXY_NAME")?,
            listen: address("listen", &text_field("listen", "PROXY_LISTEN")?)?,
            discovery: address("discovery", &text_field("discovery", "PROXY_DISCOVERY")?)?,
            rollout_api,
            initial_status: rollout_api::initial_status(&config["platform"]["news"]),
            initial_roster,
            sockets,
            memory_budget,
            front_config,
            methods: names.into_iter().zip(deadlines.iter().map(max_deadline)).collect(),
            zones,
            connect_timeout: if grace > 0 { dial.min(grace) } else { dial },
            machine_idle_timeout: settings
                .parse("permissions.idleCloseMs", 10_000 * MS, rockpick_front_settings::nanos)
                .map_err(settings_error)?,
            file,
            peers: None,
        })
    }
}
