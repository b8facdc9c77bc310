//! Tests of the log writer with a slow reader.
use super::*;
use std::sync::mpsc::{channel, Receiver, Sender};

/// An output that blocks each write until the test permits it.
struct BlockingOutput {
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for BlockingOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let _ = self.permits.recv();
        let _ = self.written.send(String::from_utf8_lossy(line).into_owned());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_writer() -> (LogWriter, Sender<()>, Receiver<String>) {
    let ((permit, permits), (written, lines)) = (channel(), channel());
    (LogWriter::start_with(BlockingOutput { permits, written }, LogFormat::Json), permit, lines)
}

fn log_line(writer: &mut LogWriter, line: &str) {
    writer.write_all(line.as_bytes()).unwrap();
}

/// Guards against a stalled reader that blocks the process or makes the queue grow without bound, and against lines
/// that are dropped without a notice.
#[test]
fn lines_beyond_the_bound_are_dropped_and_counted() {
    let (mut writer, permit, lines) = blocked_writer();
    log_line(&mut writer, "first\n");
    // Once the thread has taken the first line, the queue has room for its full number of others.
    while !writer.shared.lock().lines.is_empty() {
        std::thread::yield_now();
    }
    (0..MAX_QUEUED + 3).for_each(|_| log_line(&mut writer, "more\n"));
    (0..MAX_QUEUED + 2).for_each(|_| permit.send(()).unwrap());
    assert_eq!(lines.recv().unwrap(), "first\n");
    assert_eq!(lines.recv().unwrap(), "{\"level\":\"WARN\",\"event\":\"log behind\",\"left_out\":3}\n");
    assert_eq!(lines.iter().take(MAX_QUEUED).filter(|line| line == "more\n").count(), MAX_QUEUED);
    writer.finish();
    assert!(lines.try_recv().is_err());
}

/// Guards against last lines that are lost at the end of the process, and against a process that never ends because
/// its reader has stalled.
#[test]
fn finish_waits_for_the_last_line_until_its_timeout() {
    let (mut writer, permit, lines) = blocked_writer();
    log_line(&mut writer, "last\n");
    let began = std::time::Instant::now();
    writer.finish();
    assert!(began.elapsed() >= FLUSH_TIMEOUT);
    assert!(lines.try_recv().is_err());
    permit.send(()).unwrap();
    writer.finish();
    assert_eq!(lines.try_recv().unwrap(), "last\n");
}
