//! One file, replaced atomically: a reader finds the old text or the new one, whole, also after a power cut. A
//! [`BackgroundWriter`] does so on a thread of its own, so that a slow disk holds nobody.
use rockpick_files as files;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, TryRecvError};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A write that failed is tried again after this.
const AGAIN: Duration = Duration::from_secs(1);
/// An end waits this long for a disk, and then goes without it.
const LAST: Duration = Duration::from_secs(1);

/// Replaces a file as a whole (see [`files::replace`]).
///
/// # Errors
/// Those of the file system; the old file then stands as it was.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    files::replace(path, bytes).map(drop)
}

pub use files::load;

/// Stands before the checksum, on a line of its own after the text.
const MARK: &[u8] = b"\ncrc32c ";

/// A text with its checksum: a disk's word that this is what was written is not believed.
pub fn add_checksum(mut text: Vec<u8>) -> Vec<u8> {
    let sum = crc32c::crc32c(&text);
    text.extend_from_slice(MARK);
    text.extend_from_slice(format!("{sum:08x}\n").as_bytes());
    text
}

/// The text of a sealed file; one of a former version has no checksum, and is taken as it is.
///
/// # Errors
/// The text is not what was written, or ends in its middle.
pub fn strip_checksum(mut bytes: Vec<u8>) -> io::Result<Vec<u8>> {
    let spoilt = || {
        io::Error::new(
            io::ErrorKind::InvalidData,
            "the snapshot is damaged: its checksum is another, or it was cut",
        )
    };
    let at = bytes.len().saturating_sub(MARK.len() + 9);
    let Some(sum) = bytes[at..].strip_prefix(MARK) else {
        // JSON without a checksum ends with a brace; all else was sealed once.
        return if bytes.last() == Some(&b'}') { Ok(bytes) } else { Err(spoilt()) };
    };
    let told = std::str::from_utf8(sum).ok().and_then(|s| u32::from_str_radix(s.trim_end(), 16).ok());
    if told != Some(crc32c::crc32c(&bytes[..at])) {
        return Err(spoilt());
    }
    bytes.truncate(at);
    Ok(bytes)
}

/// The text of a sealed file; none when there is no such file.
///
/// # Errors
/// Those of the file system; the text is not what was written.
pub fn load_checked(path: &Path) -> io::Result<Option<Vec<u8>>> {
    load(path)?.map(strip_checksum).transpose()
}

/// What the thread is to do, and what has come of it. Snapshots are numbered from 1.
struct Task<T> {
    /// The newest alone: it takes the place of one that still waits.
    next: Option<(u64, T)>,
    ends: bool,
    given: u64,
    /// The newest whose write has ended, and why it failed, if it did.
    done: (u64, Option<String>),
}

/// Writes snapshots, the newest that it is given.
pub struct BackgroundWriter<T> {
    file: PathBuf,
    task: Arc<(Mutex<Task<T>>, Condvar)>,
    /// Hears nothing; it closes when the thread has ended.
    over: Receiver<()>,
}

fn lock<T>(task: &Mutex<T>) -> MutexGuard<'_, T> {
    task.lock().unwrap_or_else(PoisonError::into_inner)
}

fn work<T>(file: &Path, (task, woken): &(Mutex<Task<T>>, Condvar), text: impl Fn(&T) -> io::Result<Vec<u8>>) {
    let mut again = None;
    loop {
        let mut now = lock(task);
        while now.next.is_none() && !now.ends && again.is_none() {
            now = woken.wait(now).unwrap_or_else(PoisonError::into_inner);
        }
        if now.next.is_none() && !now.ends {
            now = woken.wait_timeout(now, AGAIN).unwrap_or_else(PoisonError::into_inner).0;
        }
        let ends = now.ends;
        let Some((number, what)) = now.next.take().or(again.take()) else { return };
        drop(now);
        let end =
            text(&what).and_then(|text| replace(file, &add_checksum(text))).map_err(|err| err.to_string());
        if let Err(why) = &end {
            tracing::error!(event = "snapshot not kept", file = %file.display(), why);
            again = Some((number, what)).filter(|_| !ends);
        }
        lock(task).done = (number, end.err());
    }
}

impl<T: Send + 'static> BackgroundWriter<T> {
    /// Begins the thread; `text` makes the file's bytes, on it.
    pub fn new(
        file: PathBuf, text: impl Fn(&T) -> io::Result<Vec<u8>> + Send + 'static,
    ) -> BackgroundWriter<T> {
        let (ended, over) = channel::<()>();
        let first = Task { next: None, ends: false, given: 0, done: (0, None) };
        let task = Arc::new((Mutex::new(first), Condvar::new()));
        let (theirs, to) = (task.clone(), file.clone());
        std::thread::spawn(move || {
            let _ended = ended;
            work(&to, &theirs, text);
        });
        BackgroundWriter { file, task, over }
    }

    fn lost(&self, why: &str) -> String {
        tracing::error!(event = "snapshot not kept", file = %self.file.display(), why);
        format!("{}: {why}", self.file.display())
    }

    /// To be written as soon as the disk is there; returns its number.
    pub fn submit(&self, what: T) -> u64 {
        let mut task = lock(&self.task.0);
        task.given += 1;
        let number = task.given;
        task.next = Some((number, what));
        if self.over.try_recv() == Err(TryRecvError::Disconnected) {
            task.done = (number, Some(self.lost("the writer has ended")));
        }
        self.task.1.notify_one();
        number
    }

    /// The newest whose write has ended (those before it are kept with it), and why it failed, if it did; it is
    /// tried again then.
    pub fn progress(&self) -> (u64, Option<String>) {
        lock(&self.task.0).done.clone()
    }

    /// Writes a last one, and waits for it, but not for ever.
    ///
    /// # Errors
    /// Why it is not on disk.
    pub fn close(self, last: Option<T>) -> Result<(), String> {
        if let Some(last) = last {
            self.submit(last);
        }
        lock(&self.task.0).ends = true;
        self.task.1.notify_one();
        if self.over.recv_timeout(LAST) == Err(RecvTimeoutError::Timeout) {
            return Err(self.lost("the disk does not answer"));
        }
        self.progress().1.map_or(Ok(()), |why| Err(format!("{}: {why}", self.file.display())))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_sealed_text_cut_or_changed_anywhere_is_refused() {
        let sealed = add_checksum(br#"{"version":7}"#.to_vec());
        assert_eq!(strip_checksum(sealed.clone()).unwrap(), br#"{"version":7}"#);
        // A file of a former version has no checksum.
        assert_eq!(strip_checksum(br#"{"version":7}"#.to_vec()).unwrap(), br#"{"version":7}"#);
        for at in 0..sealed.len() {
            // A cut right after the text leaves what a former version wrote: whole.
            let cut = strip_checksum(sealed[..at].to_vec());
            assert!(cut.is_err() || at == 13, "cut at {at}");
            for bit in 0..8 {
                let mut flipped = sealed.clone();
                flipped[at] ^= 1 << bit;
                let read = strip_checksum(flipped);
                assert!(read.is_err() || read.unwrap() == br#"{"version":7}"#, "bit {bit} of {at}");
            }
        }
    }

    /// Finding 16: a snapshot given to nobody is not kept.
    #[test]
    fn a_writer_whose_thread_has_ended_says_so() {
        let writer = BackgroundWriter::new(PathBuf::from("/nonexistent"), |_: &u8| panic!("on purpose"));
        writer.submit(1);
        assert!(writer.over.recv().is_err(), "the thread's end");
        let number = writer.submit(2);
        assert!(matches!(writer.progress(), (n, Some(why)) if n == number && why.contains("ended")));
        assert!(writer.close(None).is_err());
    }
}
