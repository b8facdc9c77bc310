//! The snapshot that a front starts from at once, whether the controller is reachable or not.
use rockpick_control::atomic_file;
use rockpick_control::Settings;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone, Serialize, Deserialize)]
pub struct Snapshot {
    pub settings_version: u64,
    pub settings: Settings,
    /// The last stage received; `age_ms` is its age at the time of saving.
    pub stage: Option<Value>,
    /// The roster entries; `age_ms` is the age at the time of saving.
    pub members: Vec<Value>,
    /// Wall clock time in milliseconds, for operators only: the clock may be set, so nothing depends on it.
    pub saved_ms: u64,
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Reads the snapshot of this front. A damaged or unreadable file is renamed and ignored: the controller has
/// all of its content, and the front must start without it. A file with settings that this version rejects is
/// left as it is.
///
/// # Errors
/// Names the file and the part that this version rejects.
pub fn load(file: &Path) -> Result<Option<Snapshot>, String> {
    let with_path = |why: String| format!("{}: {why}", file.display());
    let text = match atomic_file::load_checked(file) {
        Ok(Some(text)) => text,
        Ok(None) => return Ok(None),
        Err(err) => {
            let damaged = file.with_extension("damaged");
            let moved = std::fs::rename(file, &damaged).is_ok();
            tracing::error!(event = "snapshot not read", why = with_path(err.to_string()), moved, to = %damaged.display());
            return Ok(None);
        }
    };
    let snapshot: Snapshot = serde_json::from_slice(&text).map_err(|err| with_path(err.to_string()))?;
    match snapshot.settings.validate().first() {
        Some(wrong) => Err(with_path(format!("{}: {}", wrong.field, wrong.why))),
        None => Ok(Some(snapshot)),
    }
}
