//! Writes log lines to standard error on a thread of its own, so that a reader that stalls delays no RPC. The queue is
//! bounded; lines that find it full are dropped and counted.
//!
//! Both sides block in the kernel only (a mutex and condition variables). The bounded channel of the standard library
//! spins while a sender is between reserving a slot and filling it, which never ends where one thread runs at a time.
use crate::LogFormat;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum length of the queue: some seconds of a busy start, about 1 MiB.
const MAX_QUEUED: usize = 8_192;
/// How long the process waits at its end for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Queue {
    lines: VecDeque<Vec<u8>>,
    /// Lines dropped since the last one that was written.
    dropped: u64,
    /// The thread has taken a line and not written it yet.
    writing: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    line_queued: Condvar,
    queue_drained: Condvar,
}

impl Shared {
    /// Ignores poisoning: each change of the queue is one step, so a panic leaves it consistent.
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a line; returns it and the number dropped before it.
    fn take(&self) -> (Vec<u8>, u64) {
        let mut queue = self.lock();
        queue.writing = false;
        loop {
            if let Some(line) = queue.lines.pop_front() {
                queue.writing = true;
                return (line, std::mem::take(&mut queue.dropped));
            }
            self.queue_drained.notify_all();
            queue = self.line_queued.wait(queue).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// The writing end of the queue; clones share it.
#[derive(Clone)]
pub struct LogWriter {
    shared: Arc<Shared>,
}

impl LogWriter {
    /// Starts the thread that writes to standard error.
    pub fn start(format: LogFormat) -> LogWriter {
        LogWriter::start_with(io::stderr(), format)
    }

    fn start_with(out: impl Write + Send + 'static, format: LogFormat) -> LogWriter {
        let shared = Arc::<Shared>::default();
        let writer = LogWriter { shared: shared.clone() };
        std::thread::spawn(move || write_lines(out, format, &shared));
        writer
    }

    /// Waits until all queued lines are written, for `FLUSH_TIMEOUT` at most.
    pub fn finish(&self) {
        let busy = |queue: &mut Queue| queue.writing || !queue.lines.is_empty();
        // A timeout is ignored: the process is ending and has nowhere to report it.
        let _ = self.shared.queue_drained.wait_timeout_while(self.shared.lock(), FLUSH_TIMEOUT, busy);
    }
}

fn write_lines(mut out: impl Write, format: LogFormat, shared: &Shared) {
    loop {
        let (line, dropped) = shared.take();
        // Write errors are ignored: if standard error is closed, there is nowhere to report them.
        if dropped > 0 {
            let _ = out.write_all(dropped_line(format, dropped).as_bytes());
        }
        let _ = out.write_all(&line);
    }
}

fn dropped_line(format: LogFormat, dropped: u64) -> String {
    match format {
        LogFormat::Json => {
            format!("{{\"level\":\"WARN\",\"event\":\"log behind\",\"left_out\":{dropped}}}\n")
        }
        LogFormat::Text => format!("WARN event=\"log behind\" left_out={dropped}\n"),
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut queue = self.shared.lock();
        if queue.lines.len() < MAX_QUEUED {
            queue.lines.push_back(line.to_vec());
            self.shared.line_queued.notify_one();
        } else {
            queue.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
