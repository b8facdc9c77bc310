//! What a stand-in saw at its end of the sockets: JSON lines with the machine's monotonic clock, which all
//! processes of a rehearsal share. Each line is written at once, so that a killed process leaves all but
//! perhaps its last.
use serde_json::Value;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// The monotonic clock of the machine, in nanoseconds.
pub fn monotonic_ns() -> i64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    t.tv_sec * 1_000_000_000 + t.tv_nsec
}

#[derive(Default)]
pub struct Record(Option<File>);

impl Record {
    pub fn open(path: Option<&Path>) -> io::Result<Record> {
        let open = |p| OpenOptions::new().create(true).append(true).open(p);
        Ok(Record(path.map(open).transpose()?))
    }

    /// Writes one line; `t` is set to the present.
    pub fn write(&mut self, mut line: Value) {
        let Some(file) = &mut self.0 else { return };
        line["t"] = monotonic_ns().into();
        let mut text = line.to_string();
        text.push('\n');
        // A record that can't be kept must not go unseen: the checker would take silence for good.
        if let Err(err) = file.write_all(text.as_bytes()) {
            eprintln!("the record can't be written: {err}");
            std::process::exit(1);
        }
    }
}
