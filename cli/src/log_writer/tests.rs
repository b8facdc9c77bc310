//! The log writer before a reader that is slow.
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
