//! The snapshot from which a front comes up at once, controller present or not. Written by a thread of its
//! own, so that a slow disk never holds an RPC.
use rockpick_control::keep;
use rockpick_control::Charter;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone, Serialize, Deserialize)]
pub struct Saved {
    pub settings_version: u64,
    pub settings: Charter,
    /// The stage as last told, `age_ms` as of saving.
    pub stage: Option<Value>,
    /// The roster's lines, `age_ms` as of saving.
    pub members: Vec<Value>,
    /// By the wall clock, in ms; only to guess how old the list is.
    pub saved_ms: u64,
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Saved {
    /// How old it is; a wall clock that was set back counts as no time.
    pub fn age_ms(&self) -> f64 {
        wall_ms().saturating_sub(self.saved_ms) as f64
    }
}

/// Reads the snapshot of this front.
///
/// # Errors
/// Names the file and what is wrong with it.
pub fn load(file: &std::path::Path) -> Result<Option<Saved>, String> {
    let at = |why: String| format!("{}: {why}", file.display());
    let Some(text) = keep::load(file).map_err(|err| at(err.to_string()))? else { return Ok(None) };
    let saved: Saved = serde_json::from_slice(&text).map_err(|err| at(err.to_string()))?;
    match saved.settings.check().first() {
        Some(wrong) => Err(at(format!("{}: {}", wrong.field, wrong.why))),
        None => Ok(Some(saved)),
    }
}

/// Writes snapshots, the newest that it is given.
pub struct Writer {
    to: SyncSender<Saved>,
    thread: std::thread::JoinHandle<()>,
}

impl Writer {
    pub fn new(file: PathBuf) -> Writer {
        // One is written while one waits.
        let (to, from) = sync_channel::<Saved>(1);
        let thread = std::thread::spawn(move || {
            for saved in from {
                let kept = serde_json::to_vec(&saved)
                    .map_err(|err| err.to_string())
                    .and_then(|text| keep::replace(&file, &text).map_err(|err| err.to_string()));
                if let Err(why) = kept {
                    tracing::error!(event = "snapshot not kept", file = %file.display(), why);
                }
            }
        });
        Writer { to, thread }
    }

    /// False when the disk is behind: to be given again later.
    pub fn keep(&self, saved: Saved) -> bool {
        !matches!(self.to.try_send(saved), Err(TrySendError::Full(_)))
    }

    /// Writes a last one and waits for it.
    pub fn close(self, last: Option<Saved>) {
        if let Some(last) = last {
            let _ = self.to.send(last);
        }
        drop(self.to);
        let _ = self.thread.join();
    }
}
