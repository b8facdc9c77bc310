//! Keeps the rows of builds and bindings on disk, in case all fronts stop at once: a thread appends them to a file. A front
//! that starts merges them like rows of a peer. The file completes no table, and one that is outdated, truncated or damaged only
//! costs the rows that it lacks.
use rockpick_files as files;
use rockpick_replication::{Dot, Key, Row};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;

pub type Rows = Vec<(Key, Row, Dot)>;

/// Most batches waiting for the disk: at four per second, four minutes of a disk that hangs.
const MAX_PENDING_BATCHES: usize = 1_024;
/// The file is rewritten at each start; beyond this size, some millions of rows, nothing more is appended.
const MAX_FILE_LEN: u64 = 256 << 20;
/// Most rows in a batch, and the longest batch that is read.
const MAX_BATCH_ROWS: usize = 4_096;
const MAX_BATCH_LEN: usize = 1 << 20;

pub struct RowLog {
    to: Option<SyncSender<Rows>>,
    broken: Arc<AtomicBool>,
    /// Rows on disk, according to the disk.
    pub rows_on_disk: Arc<AtomicU64>,
}

fn encode_batch(rows: &[(Key, Row, Dot)]) -> Vec<u8> {
    let body = postcard::to_stdvec(rows).unwrap_or_default();
    let (len, sum) = (body.len() as u32, crc32c::crc32c(&body));
    [&len.to_be_bytes()[..], &sum.to_be_bytes(), &body].concat()
}

/// Reads batches up to the end or to an impossible length, and skips damaged ones in between. Returns the rows and the number of
/// damaged batches.
fn decode_batches(bytes: &[u8]) -> (Rows, u64) {
    let (mut rows, mut damaged, mut rest) = (Rows::new(), 0, bytes);
    while let Some((head, after)) = rest.split_first_chunk::<8>() {
        let len = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let sum = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
        if len > MAX_BATCH_LEN || len > after.len() {
            damaged += 1;
            break;
        }
        let (body, next) = after.split_at(len);
        match postcard::from_bytes::<Rows>(body) {
            Ok(some) if crc32c::crc32c(body) == sum => rows.extend(some),
            _ => damaged += 1,
        }
        rest = next;
    }
    (rows, damaged)
}

fn encode_batches(rows: &[(Key, Row, Dot)]) -> Vec<u8> {
    rows.chunks(MAX_BATCH_ROWS).flat_map(encode_batch).collect()
}

impl RowLog {
    /// Loads the file's rows and starts the thread that appends to it. A failing disk does not prevent the start.
    pub fn start(path: PathBuf) -> (Rows, RowLog) {
        let bytes = files::load(&path).unwrap_or_else(|err| {
            tracing::error!(event = "row log not readable", file = %path.display(), why = %err);
            None
        });
        let (rows, damaged) = decode_batches(&bytes.unwrap_or_default());
        if damaged > 0 {
            tracing::error!(event = "row log damaged", file = %path.display(), batches = damaged, rows = rows.len());
        }
        let (to, from) = sync_channel::<Rows>(MAX_PENDING_BATCHES);
        let (broken, rows_on_disk) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(rows.len() as u64)));
        let (thread_broken, thread_rows, loaded) = (broken.clone(), rows_on_disk.clone(), rows.clone());
        std::thread::spawn(move || {
            let fails = |why: io::Error| {
                thread_broken.store(true, Ordering::Relaxed);
                tracing::error!(event = "row log not written", file = %path.display(), why = %why);
            };
            let mut bytes = encode_batches(&loaded);
            drop(loaded);
            let (mut file, mut size) = match files::replace(&path, &bytes) {
                Ok(file) => (file, bytes.len() as u64),
                Err(why) => return fails(why),
            };
            for rows in from {
                if size > MAX_FILE_LEN {
                    return fails(io::Error::new(
                        io::ErrorKind::FileTooLarge,
                        "size limit reached; nothing more is written until the next start",
                    ));
                }
                // After a failed sync nothing in the file can be relied on, so no more rows are reported as persisted.
                bytes = encode_batches(&rows);
                if let Err(why) = file.write_all(&bytes).and_then(|()| file.sync()) {
                    return fails(why);
                }
                size += bytes.len() as u64;
                thread_rows.fetch_add(rows.len() as u64, Ordering::Relaxed);
            }
        });
        (rows, RowLog { to: Some(to), broken, rows_on_disk })
    }

    pub fn append(&mut self, rows: Rows) {
        let Some(to) = &self.to else { return };
        if let Err(err) = to.try_send(rows) {
            self.broken.store(true, Ordering::Relaxed);
            self.to = None;
            if matches!(err, TrySendError::Full(_)) {
                tracing::error!(event = "row log not written", why = "the disk does not respond");
            }
        }
    }

    pub fn is_healthy(&self) -> bool {
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

    /// A file truncated at any byte, or with any byte changed, must yield only rows that were written.
    #[test]
    fn a_truncated_or_changed_file_yields_only_rows_that_were_written() {
        let whole = [encode_batch(&rows(0)), encode_batch(&rows(20)), encode_batch(&rows(40))].concat();
        let all: Rows = (0..3).flat_map(|i| rows(20 * i)).collect();
        assert_eq!(decode_batches(&whole), (all.clone(), 0));
        for at in 0..whole.len() {
            let (some, _) = decode_batches(&whole[..at]);
            assert!(some.len() % 20 == 0 && some[..] == all[..some.len()], "cut at {at}");
            for bit in [0x01, 0x80] {
                let mut changed = whole.clone();
                changed[at] ^= bit;
                let (some, damaged) = decode_batches(&changed);
                assert!(damaged > 0 && some.iter().all(|row| all.contains(row)), "byte {at}");
            }
        }
    }

    #[test]
    fn a_file_is_appended_to_loaded_and_rewritten() {
        let path = std::env::temp_dir().join(format!("rockpick-row-log-{}", std::process::id()));
        for round in 0..3 {
            let (some, mut row_log) = RowLog::start(path.clone());
            assert_eq!(some.len(), 20 * round);
            row_log.append(rows(20 * round as u64));
            let began = std::time::Instant::now();
            while row_log.rows_on_disk.load(Ordering::Relaxed) < 20 * (round as u64 + 1) {
                assert!(row_log.is_healthy() && began.elapsed().as_secs() < 10);
                std::thread::sleep(std::time::Duration::from_millis(1));
            }
        }
        std::fs::remove_file(&path).unwrap();
    }
}
