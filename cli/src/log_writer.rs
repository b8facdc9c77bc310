//! Log lines on their way to standard error: a thread writes them, so that a reader who stands still holds no
//! RPC. Lines that find too many before them are left out, and counted.
//!
//! Both sides wait in the kernel alone (a mutex and condition variables). The bounded channel of the standard library
//! spins while a sender stands between taking a slot and filling it; where only one thread runs at a time, that is for ever.
use crate::Log;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Lines that may wait: some seconds of a busy start, about a MiB.
const MAX_WAITING: usize = 8_192;
/// The end waits this long for the reader.
const END_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Queue {
    lines: VecDeque<Vec<u8>>,
    /// Lines that found no room since the last one that was written.
    left_out: u64,
    /// The thread holds a line that it has not written yet.
    writing: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    arrived: Condvar,
    written: Condvar,
}

impl Shared {
    /// A holder that panicked leaves the queue whole: each change of it is one step.
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a line; returns it, and how many were left out.
    fn take(&self) -> (Vec<u8>, u64) {
        let mut queue = self.lock();
        queue.writing = false;
        loop {
            if let Some(line) = queue.lines.pop_front() {
                queue.writing = true;
                return (line, std::mem::take(&mut queue.left_out));
            }
            self.written.notify_all();
            queue = self.arrived.wait(queue).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// The sending side; clones share one queue.
#[derive(Clone)]
pub struct LogWriter {
    shared: Arc<Shared>,
}

impl LogWriter {
    /// Starts the thread that writes to standard error.
    pub fn begin(log: Log) -> LogWriter {
        LogWriter::begin_to(io::stderr(), log)
    }

    fn begin_to(out: impl Write + Send + 'static, log: Log) -> LogWriter {
        let shared = Arc::<Shared>::default();
        let writer = LogWriter { shared: shared.clone() };
        std::thread::spawn(move || write_all(out, log, &shared));
        writer
    }

    /// Waits until what was said is written, but not for ever.
    pub fn end(&self) {
        let busy = |queue: &mut Queue| queue.writing || !queue.lines.is_empty();
        // Nobody to tell if it takes longer: that is why it is waited for no longer.
        let _ = self.shared.written.wait_timeout_while(self.shared.lock(), END_TIMEOUT, busy);
    }
}

fn write_all(mut out: impl Write, log: Log, shared: &Shared) {
    loop {
        let (line, left_out) = shared.take();
        // Standard error that is gone takes no word of it either.
        if left_out > 0 {
            let _ = out.write_all(left_out_line(log, left_out).as_bytes());
        }
        let _ = out.write_all(&line);
    }
}

fn left_out_line(log: Log, left_out: u64) -> String {
    match log {
        Log::Json => {
            format!("{{\"level\":\"WARN\",\"event\":\"log behind\",\"left_out\":{left_out}}}\n")
        }
        Log::Text => format!("WARN event=\"log behind\" left_out={left_out}\n"),
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut queue = self.shared.lock();
        if queue.lines.len() < MAX_WAITING {
            queue.lines.push_back(line.to_vec());
            self.shared.arrived.notify_one();
        } else {
            queue.left_out += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
