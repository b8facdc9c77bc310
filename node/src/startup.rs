//! What a node is told at its start, and again at a reload.
use rockpick::{Ns, Post};
use rockpick_front_settings::{post, Terms, Wrong};
use rockpick_net::MS;
use rockpick_platform::desk::{self, Stood};
use rockpick_platform::roster;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Largest configuration that is read: a list of some ten thousand machines.
const MOST_FILE: u64 = 8 * 1024 * 1024;
/// Fewest descriptors that a node can work with, and most that it makes use of.
const SOCKETS: (usize, usize) = (64, 4_096);

pub struct Startup {
    pub file: Option<PathBuf>,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub desk: Option<SocketAddr>,
    pub stood: Option<Stood>,
    pub known: Value,
    pub sockets: usize,
    pub post: Post,
    /// Names of methods, and the longest that a client waits for each.
    pub methods: Vec<(String, Ns)>,
    pub zones: Vec<String>,
    /// Longest that a connection to a machine may take: never beyond the grace of a drain, as a pick that was decided before
    /// a drain was told leaves when its connection is there.
    pub connect_within: Ns,
    /// Machines close a connection that was idle for this.
    pub idle: Ns,
    /// The company that it keeps; a platform that forbids it, or tells nothing of it, gets none.
    pub circle: Option<rockpick_peers::Circle>,
}

impl Startup {
    pub fn method(&self, name: &str) -> Option<usize> {
        self.methods.iter().position(|(known, _)| known == name)
    }

    /// Reads the variables and the file that one of them names.
    ///
    /// # Errors
    /// The field that can't be read, and why.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Startup, String> {
        let file = var("PROXY_CONFIG").filter(|f| !f.is_empty()).map(PathBuf::from);
        let told = file.as_deref().map_or(Ok(Value::Null), load)?;
        let said = |field: &str, name: &str| match &told[field] {
            Value::String(word) => Ok(word.clone()),
            Value::Null => var(name).ok_or(format!("{field}: neither in the configuration nor in {name}")),
            other => Err(format!("{field}: {other} is no text")),
        };
        let address = |field: &str, word: &str| -> Result<SocketAddr, String> {
            word.parse().map_err(|_| format!("{field}: {word:?} is no address"))
        };
        let seed = match &told["seed"] {
            Value::Null => 1,
            Value::Number(n) => n.as_u64().ok_or("seed: no number that is taken")?,
            Value::String(hex) => u64::from_str_radix(hex, 16).map_err(|_| "seed: no hex number")?,
            _ => return Err("seed: no number".into()),
        };
        let terms = Terms::of_json(&told["settings"]);
        let of = |wrong: Wrong| format!("settings.{}: {}", wrong.field, wrong.why);
        let longest = terms.column("lanes", "deadlineMs").map_err(of)?;
        let names = terms.column("lanes", "name").map_err(of)?;
        let most =
            |word: &String| rockpick_front_settings::nanos(word).filter(|ns| *ns > 0).unwrap_or(Ns::MAX / 4);
        let sockets = match &told["limits"]["sockets"] {
            Value::Null => SOCKETS.1,
            n => n.as_u64().ok_or("limits.sockets: no number")? as usize,
        };
        let desk = match &told["platform"]["address"] {
            Value::Null => None,
            Value::String(word) => Some(address("platform.address", word)?),
            _ => return Err("platform.address: no text".into()),
        };
        let dial =
            terms.get("permissions.dialTimeoutMs", 250 * MS, rockpick_front_settings::nanos).map_err(of)?;
        let grace =
            terms.get("invariants.drainGraceMs", Ns::MAX, rockpick_front_settings::nanos).map_err(of)?;
        let mut post = post(seed, &terms).map_err(of)?;
        post.guard.told_within = roster::TOLD_WITHIN;
        Ok(Startup {
            name: said("name", "PROXY_NAME")?,
            listen: address("listen", &said("listen", "PROXY_LISTEN")?)?,
            discovery: address("discovery", &said("discovery", "PROXY_DISCOVERY")?)?,
            desk,
            stood: desk::news(&told["platform"]["news"]),
            known: told["known"].clone(),
            sockets: sockets.clamp(SOCKETS.0, SOCKETS.1),
            post,
            methods: names.into_iter().zip(longest.iter().map(most)).collect(),
            zones: terms.words("zones"),
            connect_within: if grace > 0 { dial.min(grace) } else { dial },
            idle: terms
                .get("permissions.idleCloseMs", 10_000 * MS, rockpick_front_settings::nanos)
                .map_err(of)?,
            file,
            circle: None,
        })
    }
}

fn load(file: &Path) -> Result<Value, String> {
    let named = |why: String| format!("{}: {why}", file.display());
    let long = std::fs::metadata(file).map_err(|err| named(err.to_string()))?.len();
    if long > MOST_FILE {
        return Err(named(format!("{long} bytes, at most {MOST_FILE} are read")));
    }
    let text = std::fs::read(file).map_err(|err| named(err.to_string()))?;
    serde_json::from_slice(&text).map_err(|err| named(err.to_string()))
}
