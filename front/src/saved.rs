//! The snapshot from which a front comes up at once, controller present or not. Written by a thread of its
//! own, so that a slow disk never holds an RPC.
use rockpick_control::keep;
use rockpick_control::Charter;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, TryRecvError};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[derive(Clone, Serialize, Deserialize)]
pub struct Saved {
    pub settings_version: u64,
    pub settings: Charter,
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

/// Reads the snapshot of this front.
///
/// # Errors
/// Names the file and what is wrong with it.
pub fn load(file: &Path) -> Result<Option<Saved>, String> {
    let at = |why: String| format!("{}: {why}", file.display());
    let Some(text) = keep::load(file).map_err(|err| at(err.to_string()))? else { return Ok(None) };
    let saved: Saved = serde_json::from_slice(&text).map_err(|err| at(err.to_string()))?;
    match saved.settings.check().first() {
        Some(wrong) => Err(at(format!("{}: {}", wrong.field, wrong.why))),
        None => Ok(Some(saved)),
    }
}

/// A write that failed is tried again after this.
const AGAIN: Duration = Duration::from_secs(1);
/// A stop waits this long for a disk, and then goes without it.
pub const LAST: Duration = Duration::from_secs(1);

/// What the writer is to do: the newest snapshot alone, and whether to end after it.
#[derive(Default)]
struct Task {
    next: Option<Saved>,
    ends: bool,
}

/// Writes snapshots, the newest that it is given.
pub struct Writer {
    file: PathBuf,
    task: Arc<(Mutex<Task>, Condvar)>,
    /// Hears nothing; it closes when the thread has ended.
    over: Receiver<()>,
}

fn lock(task: &Mutex<Task>) -> MutexGuard<'_, Task> {
    task.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write(file: &Path, task: &(Mutex<Task>, Condvar)) {
    let mut again = None;
    loop {
        let mut now = lock(&task.0);
        while now.next.is_none() && !now.ends && again.is_none() {
            now = task.1.wait(now).unwrap_or_else(PoisonError::into_inner);
        }
        if now.next.is_none() && !now.ends {
            now = task.1.wait_timeout(now, AGAIN).unwrap_or_else(PoisonError::into_inner).0;
        }
        let ends = now.ends;
        let Some(saved) = now.next.take().or(again.take()) else { return };
        drop(now);
        let text = serde_json::to_vec(&saved).map_err(std::io::Error::other);
        if let Err(why) = text.and_then(|text| keep::replace(file, &text)) {
            tracing::error!(event = "snapshot not kept", file = %file.display(), why = %why);
            again = Some(saved).filter(|_| !ends);
        }
    }
}

impl Writer {
    pub fn new(file: PathBuf) -> Writer {
        let (ended, over) = channel::<()>();
        let task: Arc<(Mutex<Task>, Condvar)> = Arc::default();
        let (theirs, to) = (task.clone(), file.clone());
        std::thread::spawn(move || {
            let _ended = ended;
            write(&to, &theirs);
        });
        Writer { file, task, over }
    }

    /// To be written as soon as the disk is there; it takes the place of one that still waits.
    pub fn keep(&self, saved: Saved) {
        if self.over.try_recv() == Err(TryRecvError::Disconnected) {
            tracing::error!(event = "snapshot not kept", file = %self.file.display(), why = "the writer has ended");
        }
        lock(&self.task.0).next = Some(saved);
        self.task.1.notify_one();
    }

    /// Writes a last one, and waits for it, but not for ever.
    pub fn close(self, last: Option<Saved>) {
        {
            let mut task = lock(&self.task.0);
            task.next = last.or(task.next.take());
            task.ends = true;
        }
        self.task.1.notify_one();
        if self.over.recv_timeout(LAST) == Err(RecvTimeoutError::Timeout) {
            tracing::error!(event = "snapshot not kept", file = %self.file.display(), why = "the disk does not answer");
        }
    }
}
