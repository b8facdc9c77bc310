//! Records of what a fake saw at its end of the sockets: JSON lines stamped with the host's monotonic clock, which all
//! processes of a rehearsal share. Each line is written without buffering, so that a killed process loses at most its
//! last line.
use serde_json::Value;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// The host's monotonic clock, in nanoseconds.
pub fn monotonic_ns() -> i64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    time.tv_sec * 1_000_000_000 + time.tv_nsec
}

#[derive(Default)]
pub struct Record(Option<File>);

impl Record {
    pub fn open(path: Option<&Path>) -> io::Result<Record> {
        let open = |p| OpenOptions::new().create(true).append(true).open(p);
        Ok(Record(path.map(open).transpose()?))
    }

    /// Writes one line, with `t` set to the current time.
    pub fn write(&mut self, mut line: Value) {
        let Some(file) = &mut self.0 else { return };
        line["t"] = monotonic_ns().into();
        let mut text = line.to_string();
        text.push('\n');
        // Exits rather than go on without a record: the checker would read missing lines as correct behavior.
        if let Err(err) = file.write_all(text.as_bytes()) {
            eprintln!("cannot write the record: {err}");
            std::process::exit(1);
        }
    }
}
