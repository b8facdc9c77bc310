//! The epoll instance of an event loop.
//!
//! The kernel's event record is packed on some architectures (x86-64) and not on others, and a reference to a field of a
//! packed record does not compile. This is the only place that touches it: it copies each record into a [`Readiness`].
use crate::socket_calls::wait_is_interrupted;
use crate::{Ns, SEC};
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::fd::{BorrowedFd, OwnedFd};
use rustix::io::Errno;
use std::io;
use std::mem::MaybeUninit;

/// Maximum number of sockets that one wait reports, so that no side starves the other.
const MAX_EVENTS_PER_WAIT: usize = 256;

/// What a socket is ready for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Readiness {
    /// The token with which the socket was registered.
    pub(crate) token: u64,
    pub(crate) flags: EventFlags,
}

pub(crate) struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    pub(crate) fn new() -> io::Result<Poller> {
        Ok(Poller { epoll: epoll::create(epoll::CreateFlags::CLOEXEC)? })
    }

    pub(crate) fn register(&self, socket: BorrowedFd, token: u64, flags: EventFlags) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, socket, EventData::new_u64(token), flags)?)
    }

    pub(crate) fn change(&self, socket: BorrowedFd, token: u64, flags: EventFlags) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, socket, EventData::new_u64(token), flags)?)
    }

    pub(crate) fn remove(&self, socket: BorrowedFd) -> io::Result<()> {
        Ok(epoll::delete(&self.epoll, socket)?)
    }

    /// Waits for ready sockets, at most for `most`. A wait that a signal interrupts reports none.
    ///
    /// # Errors
    /// Errors of the system call other than an interruption.
    pub(crate) fn wait(&self, most: Ns) -> io::Result<Vec<Readiness>> {
        if wait_is_interrupted() {
            return Ok(Vec::new());
        }
        let timeout = rustix::event::Timespec { tv_sec: most / SEC, tv_nsec: most % SEC };
        let mut space = [const { MaybeUninit::<epoll::Event>::uninit() }; MAX_EVENTS_PER_WAIT];
        match epoll::wait(&self.epoll, &mut space[..], Some(&timeout)) {
            Ok((records, _)) => Ok(records.iter().map(copy_record).collect()),
            Err(Errno::INTR) => Ok(Vec::new()),
            Err(err) => Err(err.into()),
        }
    }
}

/// Copies the fields of a kernel record, each by value.
fn copy_record(record: &epoll::Event) -> Readiness {
    let (data, flags) = (record.data, record.flags);
    Readiness { token: data.u64(), flags }
}
