//! The thread on which entries become versions. Making one of 100,000 entries takes a good part of a second,
//! which is no RPC's business: the event loop hands over what a session has learnt, and reads the version in
//! force without waiting (`arc-swap`).
use crate::model::{Directory, Kept, Suspicion, Tenancy, Tenants};
use arc_swap::ArcSwap;
use rockpick_ldap::News;
use rockpick_net::{Ns, SEC};
use std::sync::mpsc::{channel, sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// News that wait at most: more than come while a version of the largest directory is made.
const MOST_WAITING: usize = 200_000;
/// Between two snapshots.
const SAVE_EVERY: Ns = 5 * SEC;

/// The end waits this long for a disk, and then goes without it.
const LAST: Duration = Duration::from_secs(1);

enum Word {
    News(Ns, News),
    Confirm(Ns),
    Tick(Ns),
    End(Ns),
}

/// What the keeper says of itself.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub suspicion: Option<Suspicion>,
    pub left_out: u64,
    pub fresh: Option<Ns>,
    pub cookie: Option<Vec<u8>>,
}

pub struct Keeper {
    to: SyncSender<Word>,
    version: Arc<ArcSwap<Tenants>>,
    view: Arc<Mutex<View>>,
    /// Hears nothing; it closes when the thread has ended.
    over: Receiver<()>,
}

/// Writes a snapshot; false if it could not, and it is to be tried again.
pub type Save = Box<dyn FnMut(&Kept) -> bool + Send>;

impl Keeper {
    /// Begins, with what a snapshot kept `older_ms` ago.
    pub fn begin(now: Ns, tenancy: Tenancy, kept: Option<(Kept, u64)>, save: Option<Save>) -> Keeper {
        let mut directory = Directory::new(tenancy);
        if let Some((kept, older_ms)) = kept {
            directory.restore(now, kept, older_ms);
        }
        let (to, from) = sync_channel(MOST_WAITING);
        let version = Arc::new(ArcSwap::new(directory.version().clone()));
        let view = Arc::new(Mutex::new(View::of(&directory)));
        let (shared, seen) = (version.clone(), view.clone());
        let (ended, over) = channel::<()>();
        std::thread::spawn(move || {
            let _ended = ended;
            work(directory, &from, &shared, &seen, save);
        });
        Keeper { to, version, view, over }
    }

    /// The version in force; an RPC keeps the one that it began with.
    pub fn version(&self) -> Arc<Tenants> {
        self.version.load_full()
    }

    pub fn view(&self) -> View {
        self.view.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// False: the keeper is too far behind, and what was told is lost; the session must begin anew.
    pub fn tell(&self, now: Ns, news: News) -> bool {
        self.to.try_send(Word::News(now, news)).is_ok()
    }

    /// An operator's word; false: it could not be taken, and must be said again.
    pub fn confirm(&self, now: Ns) -> bool {
        self.to.try_send(Word::Confirm(now)).is_ok()
    }

    pub fn tick(&self, now: Ns) {
        // One that is behind hears of time by what it is behind with.
        let _ = self.to.try_send(Word::Tick(now));
    }

    /// Writes a last snapshot and ends; waits for the disk, but not for ever. False: it did not answer.
    pub fn end(self, now: Ns) -> bool {
        // A keeper too far behind for one more word ends with what it has been told.
        let _ = self.to.try_send(Word::End(now));
        drop(self.to);
        self.over.recv_timeout(LAST) != Err(RecvTimeoutError::Timeout)
    }
}

impl View {
    fn of(d: &Directory) -> View {
        View {
            suspicion: d.suspicion.clone(),
            left_out: d.left_out,
            fresh: d.fresh,
            cookie: d.cookie.clone(),
        }
    }
}

fn work(
    mut directory: Directory, from: &Receiver<Word>, version: &ArcSwap<Tenants>, view: &Mutex<View>,
    mut save: Option<Save>,
) {
    // The first version is kept at once: a front that is killed soon after must not come up without it.
    let (mut saved, mut saved_at) = (directory.version().version, -SAVE_EVERY);
    for word in from {
        let (now, fresh, end) = match word {
            Word::News(now, news) => {
                let ends = matches!(news, News::End { .. } | News::Cookie(_));
                (now, directory.take(now, news) || ends, false)
            }
            Word::Confirm(now) => (now, directory.confirm(now), false),
            Word::Tick(now) => (now, true, false),
            Word::End(now) => (now, true, true),
        };
        if fresh {
            if !Arc::ptr_eq(&version.load(), directory.version()) {
                version.store(directory.version().clone());
            }
            *view.lock().unwrap_or_else(PoisonError::into_inner) = View::of(&directory);
        }
        let due = directory.version().version != saved && (now - saved_at >= SAVE_EVERY || end);
        if let Some(save) = save.as_mut().filter(|_| due) {
            saved_at = now;
            // What is suspected is not kept: a restart must not believe it either.
            if directory.suspicion.is_none() && save(&directory.save(now)) {
                saved = directory.version().version;
            }
        }
        if end {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Finding 43: a keeper whose thread has ended takes no word, and says so.
    #[test]
    fn a_confirmation_that_nobody_takes_is_none() {
        let save: Save = Box::new(|_| panic!("on purpose"));
        let keeper = Keeper::begin(0, Tenancy::default(), None, Some(save));
        let kind = |name: &str| rockpick_ldap::message::Attribute {
            kind: name.as_bytes().to_vec().into(),
            values: vec![b"organization".to_vec().into()].into(),
        };
        let entry = rockpick_ldap::message::Entry {
            dn: b"o=x".to_vec().into(),
            attributes: vec![kind("objectClass"), kind("o")],
        };
        for news in [News::Begin, News::Entry { uuid: [1; 16], entry }, News::End { whole: true }] {
            assert!(keeper.tell(0, news));
        }
        // The thread ends in the panic of its snapshot; what closes then is waited for.
        assert!(keeper.over.recv().is_err());
        assert!(!keeper.confirm(0));
    }
}
