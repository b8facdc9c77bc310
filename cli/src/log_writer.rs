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
mod tests {
    use super::*;
    use std::sync::mpsc::{channel, Receiver, Sender};

    /// A reader that takes each write only when it is let.
    struct SlowReader {
        let_on: Receiver<()>,
        seen: Sender<String>,
    }

    impl Write for SlowReader {
        fn write(&mut self, line: &[u8]) -> io::Result<usize> {
            let _ = self.let_on.recv();
            let _ = self.seen.send(String::from_utf8_lossy(line).into_owned());
            Ok(line.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    fn slow_writer() -> (LogWriter, Sender<()>, Receiver<String>) {
        let ((go, let_on), (seen, lines)) = (channel(), channel());
        (LogWriter::begin_to(SlowReader { let_on, seen }, Log::Json), go, lines)
    }

    fn say(writer: &mut LogWriter, line: &str) {
        writer.write_all(line.as_bytes()).unwrap();
    }

    /// Guards against a reader that stands still: it holds nobody, takes bounded room, and is told what it missed.
    #[test]
    fn lines_beyond_the_bound_are_left_out_and_counted() {
        let (mut writer, go, lines) = slow_writer();
        say(&mut writer, "first\n");
        // The thread holds the first line by then, so that the queue takes its full number of others.
        while !writer.shared.lock().lines.is_empty() {
            std::thread::yield_now();
        }
        (0..MAX_WAITING + 3).for_each(|_| say(&mut writer, "more\n"));
        (0..MAX_WAITING + 2).for_each(|_| go.send(()).unwrap());
        assert_eq!(lines.recv().unwrap(), "first\n");
        assert_eq!(lines.recv().unwrap(), "{\"level\":\"WARN\",\"event\":\"log behind\",\"left_out\":3}\n");
        assert_eq!(lines.iter().take(MAX_WAITING).filter(|line| line == "more\n").count(), MAX_WAITING);
        writer.end();
        assert!(lines.try_recv().is_err());
    }

    /// Guards against last lines that are lost, and against an end that waits for a reader for ever.
    #[test]
    fn the_end_waits_for_the_last_line_and_no_longer_than_its_time() {
        let (mut writer, go, lines) = slow_writer();
        say(&mut writer, "last\n");
        let began = std::time::Instant::now();
        writer.end();
        assert!(began.elapsed() >= END_TIMEOUT);
        assert!(lines.try_recv().is_err());
        go.send(()).unwrap();
        writer.end();
        assert_eq!(lines.try_recv().unwrap(), "last\n");
    }
}
