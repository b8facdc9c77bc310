//! A node's configuration, as read at its start and again at a reload.
use rockpick::{FrontConfig, Ns};
use rockpick_front_settings::{parse_front_config, FieldError, SettingsMap};
use rockpick_net::MS;
use rockpick_platform::rollout_api::{self, BuildStatus};
use rockpick_platform::roster;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Largest configuration file that is read; a list of some ten thousand machines fits in.
const MAX_FILE_LEN: u64 = 8 * 1024 * 1024;
/// Fewest descriptors that a node uses.
const MIN_SOCKETS: usize = 64;
const MAX_SOCKETS: usize = 4_096;

pub struct Config {
    pub file: Option<PathBuf>,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub rollout_api: Option<SocketAddr>,
    pub initial_status: Option<BuildStatus>,
    pub initial_roster: Value,
    pub sockets: usize,
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
        let config = file.as_deref().map_or(Ok(Value::Null), load)?;
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
        Ok(Config {
            name: text_field("name", "PROXY_NAME")?,
            listen: address("listen", &text_field("listen", "PROXY_LISTEN")?)?,
            discovery: address("discovery", &text_field("discovery", "PROXY_DISCOVERY")?)?,
            rollout_api,
            initial_status: rollout_api::initial_status(&config["platform"]["news"]),
            initial_roster: config["known"].clone(),
            sockets: sockets.clamp(MIN_SOCKETS, MAX_SOCKETS),
            front_config,
            methods: names.into_iter().zip(deadlines.iter().map(max_deadline)).collect(),
            zones: settings.strings("zones"),
            connect_timeout: if grace > 0 { dial.min(grace) } else { dial },
            machine_idle_timeout: settings
                .parse("permissions.idleCloseMs", 10_000 * MS, rockpick_front_settings::nanos)
                .map_err(settings_error)?,
            file,
            peers: None,
        })
    }
}

fn load(file: &Path) -> Result<Value, String> {
    let in_file = |why: String| format!("{}: {why}", file.display());
    let len = std::fs::metadata(file).map_err(|err| in_file(err.to_string()))?.len();
    if len > MAX_FILE_LEN {
        return Err(in_file(format!("{len} bytes, at most {MAX_FILE_LEN} are read")));
    }
    let text = std::fs::read(file).map_err(|err| in_file(err.to_string()))?;
    serde_json::from_slice(&text).map_err(|err| in_file(err.to_string()))
}
