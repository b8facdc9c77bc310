//! The system calls of the event loop on sockets. Normally they go straight to the system. For fault tests
//! ([`inject_call_faults`], a hidden option) some of them fail, or do only a part, as the system may do at any time.
use rustix::io::Errno;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};

/// State of the random draws of faults; 0 if no faults are injected.
static FAULT_STATE: AtomicU64 = AtomicU64::new(0);

/// One call in so many fails, or does only a part.
const ACCEPT_FAILURE: u64 = 20;
const CONNECT_FAILURE: u64 = 40;
const INTERRUPTION: u64 = 100;
const BROKEN_READ: u64 = 1_000;
const PARTIAL_TRANSFER: u64 = 20;
/// Most bytes that a partial transfer takes.
const MAX_PARTIAL_LEN: u64 = 16;

const ACCEPT_ERRORS: [Errno; 6] =
    [Errno::CONNABORTED, Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM, Errno::INTR];
const CONNECT_ERRORS: [Errno; 5] =
    [Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
const BROKEN_CONNECTION_ERRORS: [Errno; 3] = [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNRESET];

/// Makes system calls of all event loops fail from now on, as drawn from a seed.
pub fn inject_call_faults(seed: u64) {
    FAULT_STATE.store(seed.wrapping_mul(2) | 1, Ordering::Relaxed);
}

/// Draws a number below `bound`, or none without faults (SplitMix64).
fn draw(bound: u64) -> Option<u64> {
    const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
    if FAULT_STATE.load(Ordering::Relaxed) == 0 {
        return None;
    }
    let state = FAULT_STATE.fetch_add(STEP & !1, Ordering::Relaxed);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    Some((mixed ^ (mixed >> 31)) % bound)
}

fn fails(one_in: u64) -> bool {
    draw(one_in) == Some(0)
}

fn any_of(errors: &[Errno]) -> io::Error {
    let index = draw(errors.len() as u64).unwrap_or(0) as usize;
    errors[index].into()
}

/// How many of `len` bytes a transfer may take.
fn transfer_len(len: usize) -> usize {
    if fails(PARTIAL_TRANSFER) {
        let most = draw(MAX_PARTIAL_LEN).unwrap_or(0) as usize + 1;
        return len.min(most);
    }
    len
}

pub(crate) fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    if fails(ACCEPT_FAILURE) {
        return Err(any_of(&ACCEPT_ERRORS));
    }
    listener.accept()
}

/// Whether connecting or opening a socket fails.
pub(crate) fn connect_fault() -> io::Result<()> {
    if fails(CONNECT_FAILURE) {
        return Err(any_of(&CONNECT_ERRORS));
    }
    Ok(())
}

/// Whether a wait is interrupted.
pub(crate) fn wait_is_interrupted() -> bool {
    fails(INTERRUPTION)
}

/// Reads from a connection. `dialled`: this process has opened it; only then it may be found broken, as the peer of the
/// fault test that opened one itself would take the close for an error of this process.
pub(crate) fn read(mut io: &TcpStream, buffer: &mut [u8], dialled: bool) -> io::Result<usize> {
    if fails(INTERRUPTION) {
        return Err(Errno::INTR.into());
    }
    if dialled && fails(BROKEN_READ) {
        return Err(any_of(&BROKEN_CONNECTION_ERRORS));
    }
    let len = transfer_len(buffer.len());
    io.read(&mut buffer[..len])
}

pub(crate) fn write(mut io: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    if fails(INTERRUPTION) {
        return Err(Errno::INTR.into());
    }
    io.write(&bytes[..transfer_len(bytes.len())])
}

/// Whether a failed accept says nothing of the listener: the next one may succeed at once.
pub(crate) fn accept_may_succeed(err: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(err),
        Some(Errno::CONNABORTED | Errno::INTR | Errno::PROTO | Errno::NETDOWN | Errno::HOSTDOWN)
            | Some(Errno::HOSTUNREACH | Errno::NETUNREACH | Errno::NOPROTOOPT | Errno::PERM)
    )
}

/// Whether a call failed for want of something that may be there again in a moment.
pub(crate) fn is_transient(err: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(err),
        Some(Errno::NFILE | Errno::MFILE | Errno::NOBUFS | Errno::NOMEM | Errno::INTR | Errno::AGAIN)
    )
}
