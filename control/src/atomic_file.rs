//! Files that are replaced atomically: a reader finds either the old content or the new one, complete, also after a
//! power failure. A [`BackgroundWriter`] writes on its own thread, so that a slow disk blocks nobody.
use rockpick_files as files;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, TryRecvError};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long [`BackgroundWriter::close`] waits for the disk.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Replaces a file as a whole (see [`files::replace`]).
///
/// # Errors
/// Errors of the file system; the old file is left as it was.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    files::replace(path, bytes).map(drop)
}

pub use files::load;

/// Precedes the checksum, on a separate line after the text.
const CHECKSUM_PREFIX: &[u8] = b"\ncrc32c ";

/// Appends a checksum to a text, by which a reader detects content that the disk has damaged.
pub fn add_checksum(mut text: Vec<u8>) -> Vec<u8> {
    let sum = crc32c::crc32c(&text);
    text.extend_from_slice(CHECKSUM_PREFIX);
    text.extend_from_slice(format!("{sum:08x}\n").as_bytes());
    text
}

/// Verifies and removes the checksum. Files of former versions have none and are returned as they are.
///
/// # Errors
/// The checksum does not match, or the file is truncated.
pub fn strip_checksum(mut bytes: Vec<u8>) -> io::Result<Vec<u8>> {
    let damaged = || {
        io::Error::new(
            io::ErrorKind::InvalidData,
            "the snapshot is damaged: its checksum does not match, or it is truncated",
        )
    };
    let at = bytes.len().saturating_sub(CHECKSUM_PREFIX.len() + 9);
    let Some(sum) = bytes[at..].strip_prefix(CHECKSUM_PREFIX) else {
        // A former version's JSON without a checksum ends with a brace; any other file had a checksum.
        return if bytes.last() == Some(&b'}') { Ok(bytes) } else { Err(damaged()) };
    };
    let expected = std::str::from_utf8(sum).ok().and_then(|s| u32::from_str_radix(s.trim_end(), 16).ok());
    if expected != Some(crc32c::crc32c(&bytes[..at])) {
        return Err(damaged());
    }
    bytes.truncate(at);
    Ok(bytes)
}

/// Reads a file with a checksum; `None` if it does not exist.
///
/// # Errors
/// Errors of the file system, or a checksum that does not match.
pub fn load_checked(path: &Path) -> io::Result<Option<Vec<u8>>> {
    load(path)?.map(strip_checksum).transpose()
}

/// State shared with the writer thread. Snapshots are numbered from 1.
struct WriterState<T> {
    /// The newest snapshot submitted; it replaces one that is still waiting.
    next: Option<(u64, T)>,
    closing: bool,
    submitted: u64,
    /// The last snapshot whose write has finished, and the error if it failed.
    finished: (u64, Option<String>),
}

/// Writes the newest snapshot that was submitted to a file.
pub struct BackgroundWriter<T> {
    file: PathBuf,
    state: Arc<(Mutex<WriterState<T>>, Condvar)>,
    /// Receives nothing; it is disconnected when the thread ends.
    thread_end: Receiver<()>,
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write_loop<T>(
    file: &Path, (state, wakeup): &(Mutex<WriterState<T>>, Condvar),
    serialize: impl Fn(&T) -> io::Result<Vec<u8>>,
) {
    let mut retry = None;
    loop {
        let mut locked = lock(state);
        while locked.next.is_none() && !locked.closing && retry.is_none() {
            locked = wakeup.wait(locked).unwrap_or_else(PoisonError::into_inner);
        }
        if locked.next.is_none() && !locked.closing {
            locked = wakeup.wait_timeout(locked, RETRY_DELAY).unwrap_or_else(PoisonError::into_inner).0;
        }
        let closing = locked.closing;
        let Some((number, what)) = locked.next.take().or(retry.take()) else { return };
        drop(locked);
        let end = serialize(&what)
            .and_then(|text| replace(file, &add_checksum(text)))
            .map_err(|err| err.to_string());
        if let Err(why) = &end {
            tracing::error!(event = "snapshot not kept", file = %file.display(), why);
            retry = Some((number, what)).filter(|_| !closing);
        }
        lock(state).finished = (number, end.err());
    }
}

impl<T: Send + 'static> BackgroundWriter<T> {
    /// Starts the thread, on which `serialize` turns a snapshot into the file's bytes.
    pub fn new(
        file: PathBuf, serialize: impl Fn(&T) -> io::Result<Vec<u8>> + Send + 'static,
    ) -> BackgroundWriter<T> {
        let (ended, thread_end) = channel::<()>();
        let first = WriterState { next: None, closing: false, submitted: 0, finished: (0, None) };
        let state = Arc::new((Mutex::new(first), Condvar::new()));
        let (shared, to) = (state.clone(), file.clone());
        std::thread::spawn(move || {
            let _ended = ended;
            write_loop(&to, &shared, serialize);
        });
        BackgroundWriter { file, state, thread_end }
    }

    fn log_failure(&self, why: &str) -> String {
        tracing::error!(event = "snapshot not kept", file = %self.file.display(), why);
        format!("{}: {why}", self.file.display())
    }

    /// Submits a snapshot to be written; returns its number.
    pub fn submit(&self, what: T) -> u64 {
        let mut state = lock(&self.state.0);
        state.submitted += 1;
        let number = state.submitted;
        state.next = Some((number, what));
        if self.thread_end.try_recv() == Err(TryRecvError::Disconnected) {
            state.finished = (number, Some(self.log_failure("the writer has ended")));
        }
        self.state.1.notify_one();
        number
    }

    /// The last snapshot whose write has finished, and the error if it failed; a failed write is retried. A snapshot on
    /// disk includes the changes of all before it.
    pub fn progress(&self) -> (u64, Option<String>) {
        lock(&self.state.0).finished.clone()
    }

    /// Writes a last snapshot and waits for it, at most a second.
    ///
    /// # Errors
    /// Why the snapshot is not on disk.
    pub fn close(self, last: Option<T>) -> Result<(), String> {
        if let Some(last) = last {
            self.submit(last);
        }
        lock(&self.state.0).closing = true;
        self.state.1.notify_one();
        if self.thread_end.recv_timeout(CLOSE_TIMEOUT) == Err(RecvTimeoutError::Timeout) {
            return Err(self.log_failure("the disk does not answer"));
        }
        self.progress().1.map_or(Ok(()), |why| Err(format!("{}: {why}", self.file.display())))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_text_with_checksum_cut_or_changed_anywhere_is_refused() {
        let text = add_checksum(br#"{"version":7}"#.to_vec());
        assert_eq!(strip_checksum(text.clone()).unwrap(), br#"{"version":7}"#);
        // Files of former versions have no checksum.
        assert_eq!(strip_checksum(br#"{"version":7}"#.to_vec()).unwrap(), br#"{"version":7}"#);
        for at in 0..text.len() {
            // A cut right after the text leaves a complete file of a former version.
            let cut = strip_checksum(text[..at].to_vec());
            assert!(cut.is_err() || at == 13, "cut at {at}");
            for bit in 0..8 {
                let mut flipped = text.clone();
                flipped[at] ^= 1 << bit;
                let read = strip_checksum(flipped);
                assert!(read.is_err() || read.unwrap() == br#"{"version":7}"#, "bit {bit} of {at}");
            }
        }
    }

    /// Finding 16: a snapshot submitted after the writer thread had ended counted as written.
    #[test]
    fn a_writer_whose_thread_has_ended_says_so() {
        let writer = BackgroundWriter::new(PathBuf::from("/nonexistent"), |_: &u8| panic!("on purpose"));
        writer.submit(1);
        assert!(writer.thread_end.recv().is_err(), "the thread's end");
        let number = writer.submit(2);
        assert!(matches!(writer.progress(), (n, Some(why)) if n == number && why.contains("ended")));
        assert!(writer.close(None).is_err());
    }
}
