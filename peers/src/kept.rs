//! What must outlive all fronts at once: rows of builds and bindings, appended to a file by a thread of its own. A front
//! that comes up takes them as rows like any other's: its file makes no table whole, and a file that is old, torn or
//! damaged costs the rows that it lacks, nothing else.
use rockpick_files as files;
use rockpick_replication::{Dot, Key, Row};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;

pub type Rows = Vec<(Key, Row, Dot)>;

/// Batches that wait for the disk: at four a second, four minutes of a disk that hangs.
const MOST_WAITING: usize = 1_024;
/// A file is written anew at each start; past this it takes no more: some millions of rows.
const MOST_BYTES: u64 = 256 << 20;
/// Rows of a batch, and the bytes that a batch may claim when read.
const MOST_ROWS: usize = 4_096;
const MOST_BATCH: usize = 1 << 20;

pub struct Keeper {
    to: Option<SyncSender<Rows>>,
    broken: Arc<AtomicBool>,
    /// Rows that are on disk, as far as the disk says.
    pub kept: Arc<AtomicU64>,
}

fn batch(rows: &[(Key, Row, Dot)]) -> Vec<u8> {
    let body = postcard::to_stdvec(rows).unwrap_or_default();
    let (long, sum) = (body.len() as u32, crc32c::crc32c(&body));
    [&long.to_be_bytes()[..], &sum.to_be_bytes(), &body].concat()
}

/// Reads batches up to the end, or to one whose length can't be; a damaged one in the middle is passed over. Tells how many
/// were, too.
fn read(bytes: &[u8]) -> (Rows, u64) {
    let (mut rows, mut damaged, mut rest) = (Rows::new(), 0, bytes);
    while let Some((head, after)) = rest.split_first_chunk::<8>() {
        let long = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let sum = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
        if long > MOST_BATCH || long > after.len() {
            damaged += 1;
            break;
        }
        let (body, next) = after.split_at(long);
        match postcard::from_bytes::<Rows>(body) {
            Ok(some) if crc32c::crc32c(body) == sum => rows.extend(some),
            _ => damaged += 1,
        }
        rest = next;
    }
    (rows, damaged)
}

fn batches(rows: &[(Key, Row, Dot)]) -> Vec<u8> {
    rows.chunks(MOST_ROWS).flat_map(batch).collect()
}

impl Keeper {
    /// What the file holds, and one that goes on with it. A disk that refuses keeps nobody from coming up.
    pub fn begin(path: PathBuf) -> (Rows, Keeper) {
        let bytes = files::load(&path).unwrap_or_else(|err| {
            tracing::error!(event = "copies not read", file = %path.display(), why = %err);
            None
        });
        let (rows, damaged) = read(&bytes.unwrap_or_default());
        if damaged > 0 {
            tracing::error!(event = "copies damaged on disk", file = %path.display(), batches = damaged, rows = rows.len());
        }
        let (to, from) = sync_channel::<Rows>(MOST_WAITING);
        let (broken, kept) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(rows.len() as u64)));
        let (theirs, count, mine) = (broken.clone(), kept.clone(), rows.clone());
        std::thread::spawn(move || {
            let fails = |why: io::Error| {
                theirs.store(true, Ordering::Relaxed);
                tracing::error!(event = "copies not kept", file = %path.display(), why = %why);
            };
            let mut bytes = batches(&mine);
            drop(mine);
            let (mut file, mut size) = match files::replace(&path, &bytes) {
                Ok(file) => (file, bytes.len() as u64),
                Err(why) => return fails(why),
            };
            for rows in from {
                if size > MOST_BYTES {
                    return fails(io::Error::new(io::ErrorKind::FileTooLarge, "full until the next start"));
                }
                // After a sync that failed nothing of the file is to be relied on: no more is said to be kept.
                bytes = batches(&rows);
                if let Err(why) = file.write_all(&bytes).and_then(|()| file.sync()) {
                    return fails(why);
                }
                size += bytes.len() as u64;
                count.fetch_add(rows.len() as u64, Ordering::Relaxed);
            }
        });
        (rows, Keeper { to: Some(to), broken, kept })
    }

    pub fn keep(&mut self, rows: Rows) {
        let Some(to) = &self.to else { return };
        if let Err(err) = to.try_send(rows) {
            self.broken.store(true, Ordering::Relaxed);
            self.to = None;
            if matches!(err, TrySendError::Full(_)) {
                tracing::error!(event = "copies not kept", why = "the disk does not answer");
            }
        }
    }

    pub fn well(&self) -> bool {
        !self.broken.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rows(from: u64) -> Rows {
        let row = |key| (Key::Bound(key), Row::Bound([2, 0]), Dot { origin: 7, serial: key + 1 });
        (from..from + 20).map(row).collect()
    }

    /// A file cut at any byte, or with any byte changed, gives rows that were written, and no others.
    #[test]
    fn what_is_cut_or_changed_anywhere_costs_rows_and_brings_none() {
        let whole = [batch(&rows(0)), batch(&rows(20)), batch(&rows(40))].concat();
        let all: Rows = (0..3).flat_map(|i| rows(20 * i)).collect();
        assert_eq!(read(&whole), (all.clone(), 0));
        for at in 0..whole.len() {
            let (some, _) = read(&whole[..at]);
            assert!(some.len() % 20 == 0 && some[..] == all[..some.len()], "cut at {at}");
            for bit in [0x01, 0x80] {
                let mut changed = whole.clone();
                changed[at] ^= bit;
                let (some, damaged) = read(&changed);
                assert!(damaged > 0 && some.iter().all(|row| all.contains(row)), "byte {at}");
            }
        }
    }

    #[test]
    fn a_file_grows_is_read_again_and_written_anew() {
        let path = std::env::temp_dir().join(format!("rockpick-kept-{}", std::process::id()));
        for round in 0..3 {
            let (some, mut keeper) = Keeper::begin(path.clone());
            assert_eq!(some.len(), 20 * round);
            keeper.keep(rows(20 * round as u64));
            let began = std::time::Instant::now();
            while keeper.kept.load(Ordering::Relaxed) < 20 * (round as u64 + 1) {
                assert!(keeper.well() && began.elapsed().as_secs() < 10);
                std::thread::sleep(std::time::Duration::from_millis(1));
            }
        }
        std::fs::remove_file(&path).unwrap();
    }
}
