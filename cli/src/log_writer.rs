//! Log lines on their way to standard error: a thread writes them, so that a reader who stands still holds no
//! RPC. Lines that find too many before them are left out, and counted.
use crate::Log;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// Lines that may wait: some seconds of a busy start, about a MiB.
const WAITING: usize = 8_192;
/// The end waits this long for the reader.
const LAST: Duration = Duration::from_secs(1);

enum Word {
    Line(Vec<u8>),
    End(Sender<()>),
}

#[derive(Clone)]
pub struct LogWriter {
    to: SyncSender<Word>,
    left_out: Arc<AtomicU64>,
}

impl LogWriter {
    pub fn begin(log: Log) -> LogWriter {
        let (to, from) = sync_channel(WAITING);
        let writer = LogWriter { to, left_out: Arc::default() };
        let left_out = writer.left_out.clone();
        std::thread::spawn(move || write(log, &from, &left_out));
        writer
    }

    /// Waits until what was said is written, but not for ever.
    pub fn end(&self) {
        let (to, over) = channel();
        if self.to.try_send(Word::End(to)).is_ok() {
            // Nobody to tell if it does not come: that is why it is waited for no longer.
            let _ = over.recv_timeout(LAST);
        }
    }
}

fn write(log: Log, from: &Receiver<Word>, left_out: &AtomicU64) {
    // Standard error that is gone takes no word of it either.
    for word in from {
        match word {
            Word::End(to) => {
                let _ = to.send(());
            }
            Word::Line(line) => {
                let mut out = io::stderr().lock();
                let n = left_out.swap(0, Ordering::Relaxed);
                if n > 0 {
                    let _ = match log {
                        Log::Json => {
                            writeln!(out, "{{\"level\":\"WARN\",\"event\":\"log behind\",\"left_out\":{n}}}")
                        }
                        Log::Text => writeln!(out, "WARN event=\"log behind\" left_out={n}"),
                    };
                }
                let _ = out.write_all(&line);
            }
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.to.try_send(Word::Line(line.to_vec())).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
