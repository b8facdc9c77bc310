//! The snapshot from which a front comes up at once, controller present or not.
use rockpick_control::atomic_file;
use rockpick_control::Settings;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone, Serialize, Deserialize)]
pub struct Saved {
    pub settings_version: u64,
    pub settings: Settings,
    /// The stage as last told, `age_ms` as of saving.
    pub stage: Option<Value>,
    /// The roster's lines, `age_ms` as of saving.
    pub members: Vec<Value>,
    /// By the wall clock, in ms: for people. Nothing goes by it, as it may be set.
    pub saved_ms: u64,
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Reads the snapshot of this front. One that a disk has damaged, or can't read, is set aside: all of it can be had anew,
/// from the controller, and a front must come up without. One of settings that this version can't take is left as it is.
///
/// # Errors
/// Names the file and what this version can't take in it.
pub fn load(file: &Path) -> Result<Option<Saved>, String> {
    let at = |why: String| format!("{}: {why}", file.display());
    let text = match atomic_file::load_checked(file) {
        Ok(Some(text)) => text,
        Ok(None) => return Ok(None),
        Err(err) => {
            let aside = file.with_extension("damaged");
            let moved = std::fs::rename(file, &aside).is_ok();
            tracing::error!(event = "snapshot not read", why = at(err.to_string()), moved, to = %aside.display());
            return Ok(None);
        }
    };
    let saved: Saved = serde_json::from_slice(&text).map_err(|err| at(err.to_string()))?;
    match saved.settings.validate().first() {
        Some(wrong) => Err(at(format!("{}: {}", wrong.field, wrong.why))),
        None => Ok(Some(saved)),
    }
}
