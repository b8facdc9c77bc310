//! The thread that builds versions from entries. Building a version of 100,000 entries takes a good part of a
//! second and must not delay RPCs: the event loop queues the updates of a session and reads the current version
//! without blocking (`arc-swap`).
use crate::model::{Directory, DirectorySnapshot, EntryMapping, Suspicion, Tenants};
use arc_swap::ArcSwap;
use rockpick_ldap::ContentUpdate;
use rockpick_net::{Ns, SEC};
use std::sync::mpsc::{channel, sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Capacity of the command queue: more updates than arrive while a version of the largest directory is built.
const QUEUE_CAPACITY: usize = 200_000;
/// Minimum time between two snapshots.
const SAVE_INTERVAL: Ns = 5 * SEC;

/// Maximum time to wait for the last snapshot when stopping, in case the disk does not respond.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

enum Command {
    Update(Ns, ContentUpdate),
    Confirm(Ns),
    Tick(Ns),
    Stop(Ns),
}

/// State of the directory for status reports.
#[derive(Clone, Debug, Default)]
pub struct DirectoryStatus {
    pub suspicion: Option<Suspicion>,
    pub ignored_entries: u64,
    pub refreshed_at: Option<Ns>,
    pub cookie: Option<Vec<u8>>,
}

pub struct DirectoryWorker {
    commands: SyncSender<Command>,
    version: Arc<ArcSwap<Tenants>>,
    status: Arc<Mutex<DirectoryStatus>>,
    /// Receives no message; disconnected when the thread has ended.
    exited: Receiver<()>,
}

/// Writes a snapshot; returns false if that failed and must be retried.
pub type SaveSnapshot = Box<dyn FnMut(&DirectorySnapshot) -> bool + Send>;

impl DirectoryWorker {
    /// Starts the thread, with the content of a snapshot and its age in milliseconds.
    pub fn start(
        now: Ns, tenancy: EntryMapping, snapshot: Option<(DirectorySnapshot, u64)>,
        save: Option<SaveSnapshot>,
    ) -> DirectoryWorker {
        let mut directory = Directory::new(tenancy);
        if let Some((snapshot, older_ms)) = snapshot {
            directory.restore(now, snapshot, older_ms);
        }
        let (commands, receiver) = sync_channel(QUEUE_CAPACITY);
        let version = Arc::new(ArcSwap::new(directory.version().clone()));
        let status = Arc::new(Mutex::new(DirectoryStatus::of(&directory)));
        let (shared_version, shared_status) = (version.clone(), status.clone());
        let (exit_guard, exited) = channel::<()>();
        std::thread::spawn(move || {
            let _exit_guard = exit_guard;
            run(directory, &receiver, &shared_version, &shared_status, save);
        });
        DirectoryWorker { commands, version, status, exited }
    }

    /// The current version; an RPC keeps the one that it started with.
    pub fn version(&self) -> Arc<Tenants> {
        self.version.load_full()
    }

    pub fn status(&self) -> DirectoryStatus {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Queues an update. Returns false if the queue is full: the update is lost and the session must be restarted.
    pub fn submit(&self, now: Ns, update: ContentUpdate) -> bool {
        self.commands.try_send(Command::Update(now, update)).is_ok()
    }

    /// Queues an operator's confirmation. Returns false if it could not be queued and must be repeated.
    pub fn confirm(&self, now: Ns) -> bool {
        self.commands.try_send(Command::Confirm(now)).is_ok()
    }

    pub fn tick(&self, now: Ns) {
        // If the queue is full, the commands in it carry the time.
        let _ = self.commands.try_send(Command::Tick(now));
    }

    /// Writes a last snapshot and stops the thread. Returns false if the disk does not respond in time.
    pub fn stop(self, now: Ns) -> bool {
        // If the queue is full, the thread ends after the commands in it.
        let _ = self.commands.try_send(Command::Stop(now));
        drop(self.commands);
        self.exited.recv_timeout(STOP_TIMEOUT) != Err(RecvTimeoutError::Timeout)
    }
}

impl DirectoryStatus {
    fn of(d: &Directory) -> DirectoryStatus {
        DirectoryStatus {
            suspicion: d.suspicion.clone(),
            ignored_entries: d.ignored_entries,
            refreshed_at: d.refreshed_at,
            cookie: d.cookie.clone(),
        }
    }
}

fn run(
    mut directory: Directory, commands: &Receiver<Command>, version: &ArcSwap<Tenants>,
    status: &Mutex<DirectoryStatus>, mut save: Option<SaveSnapshot>,
) {
    // The first version is saved at once, for a front that is killed soon after its start.
    let (mut saved, mut saved_at) = (directory.version().version, -SAVE_INTERVAL);
    for command in commands {
        let (now, refresh_status, stop) = match command {
            Command::Update(now, update) => {
                let changes_status =
                    matches!(update, ContentUpdate::RefreshCompleted { .. } | ContentUpdate::Cookie(_));
                (now, directory.apply(now, update) || changes_status, false)
            }
            Command::Confirm(now) => (now, directory.confirm(now), false),
            Command::Tick(now) => (now, true, false),
            Command::Stop(now) => (now, true, true),
        };
        if refresh_status {
            if !Arc::ptr_eq(&version.load(), directory.version()) {
                version.store(directory.version().clone());
            }
            *status.lock().unwrap_or_else(PoisonError::into_inner) = DirectoryStatus::of(&directory);
        }
        let due = directory.version().version != saved && (now - saved_at >= SAVE_INTERVAL || stop);
        if let Some(save) = save.as_mut().filter(|_| due) {
            saved_at = now;
            // A suspicious state is not saved: a restart must not accept it either.
            if directory.suspicion.is_none() && save(&directory.save(now)) {
                saved = directory.version().version;
            }
        }
        if stop {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Finding 43: a confirmation was reported as accepted although the thread had ended.
    #[test]
    fn confirmation_fails_after_the_thread_has_ended() {
        let save: SaveSnapshot = Box::new(|_| panic!("on purpose"));
        let worker = DirectoryWorker::start(0, EntryMapping::default(), None, Some(save));
        let kind = |name: &str| rockpick_ldap::message::Attribute {
            kind: name.as_bytes().to_vec().into(),
            values: vec![b"organization".to_vec().into()].into(),
        };
        let entry = rockpick_ldap::message::Entry {
            dn: b"o=x".to_vec().into(),
            attributes: vec![kind("objectClass"), kind("o")],
        };
        for update in [
            ContentUpdate::RefreshStarted,
            ContentUpdate::Entry { uuid: [1; 16], entry },
            ContentUpdate::RefreshCompleted { complete: true },
        ] {
            assert!(worker.submit(0, update));
        }
        // The thread panics while saving its snapshot, which disconnects the channel.
        assert!(worker.exited.recv().is_err());
        assert!(!worker.confirm(0));
    }
}
