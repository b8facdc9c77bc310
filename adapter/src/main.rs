//! Speaks the simulator's line protocol on standard input and output. All decisions are made by the decision
//! module.
mod hosted_front;
mod line_reader;

use hosted_front::{HostedFront, RosterEntry};
use line_reader::{Line, LineError};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Write};
use std::process::ExitCode;

#[derive(Default)]
struct Adapter {
    now: i64,
    lists: BTreeMap<u8, Vec<RosterEntry>>,
    /// The list being received: its id, and how many entries are still to come.
    filling: Option<(u8, usize)>,
    fronts: BTreeMap<u32, HostedFront>,
    /// Names of unknown messages that were reported.
    unknown: BTreeSet<String>,
    out: String,
}

impl Adapter {
    /// Handles one line; returns true at the end of a batch, when `out` holds the reply.
    fn handle_line(&mut self, text: &str) -> Result<bool, LineError> {
        let mut line = Line::new(text);
        let name = line.name();
        match name {
            "" => {}
            "TICK" => self.now = line.time("momentMs")?,
            "GO" => {
                self.out.push_str("ACK\n");
                return Ok(true);
            }
            "LIST" => {
                let (list, entries) = (line.int("setId")?, line.int("membersList")?);
                self.lists.insert(list, Vec::with_capacity(entries));
                self.filling = Some((list, entries));
            }
            "ITEM" => {
                let entry = RosterEntry::read(&mut line)?;
                let Some((list, left)) = self.filling.as_mut().filter(|(_, left)| *left > 0) else {
                    return Err(line.error("membersList", "entry outside of a list"));
                };
                *left -= 1;
                self.lists.entry(*list).or_default().push(entry);
            }
            "POWER_ON" => {
                let front = line.int("frontId")?;
                let hosted = HostedFront::start(self.now, front, &mut line, &mut self.out)?;
                self.fronts.insert(front, hosted);
            }
            "STOP" => {
                self.fronts.remove(&line.int("frontId")?);
            }
            "PEERS_KNOWN" | "REQ" | "ACCEPTED" | "RESULT" | "ABANDONED" | "WAKE" | "HEALTH" | "INBOX"
            | "PHASE_TOLD" | "PLATFORM_SAW" | "DISPUTED" => {
                let front = line.int("frontId")?;
                let Some(hosted) = self.fronts.get_mut(&front) else {
                    return Err(line.error("frontId", "front is not running"));
                };
                hosted.event(self.now, name, &mut line, &self.lists, &mut self.out)?;
            }
            other => {
                if self.unknown.insert(other.to_string()) {
                    eprintln!("ignoring unknown message {other}");
                }
            }
        }
        Ok(false)
    }
}

fn main() -> ExitCode {
    let mut adapter = Adapter::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut text = String::new();
    let mut number = 0u64;
    loop {
        text.clear();
        match input.read_line(&mut text) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(err) => {
                eprintln!("failed to read standard input: {err}");
                return ExitCode::from(2);
            }
        }
        number += 1;
        match adapter.handle_line(text.trim_end_matches(['\n', '\r'])) {
            Ok(false) => {}
            Ok(true) => {
                if output.write_all(adapter.out.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return ExitCode::SUCCESS;
                }
                adapter.out.clear();
            }
            Err(err) => {
                eprintln!("line {number}: {err}");
                return ExitCode::from(2);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn feed(adapter: &mut Adapter, text: &str) -> Result<(), String> {
        text.lines().try_for_each(|line| adapter.handle_line(line).map(drop).map_err(|err| err.to_string()))
    }

    const START: &str = "TICK 1000.0\nPOWER_ON 3 7 balancers=2 lanes.count=1 lanes.0.aimMs=100.0 \
        lanes.0.importance=1.0 lanes.0.idempotency=free novel.key=x\nLIST 0 1\n\
        ITEM 0 - 0 41 U 0 1 machine_a\nPEERS_KNOWN 3 SAVED 0 1\nPHASE_TOLD 3 0 0.0 0 1.0 41 success 2\n";

    #[test]
    fn an_rpc_is_picked_and_its_slot_freed_after_its_last_result() {
        let mut adapter = Adapter::default();
        let events = format!("{START}REQ 3 00000000000000aa 0 0 - 1500.0 - 0\n");
        feed(&mut adapter, &events).unwrap();
        assert!(adapter.out.contains("PASS_ON 3 00000000000000aa "), "{}", adapter.out);
        assert_eq!(adapter.fronts[&3].open(), 1);
        feed(&mut adapter, "RESULT 3 00000000000000aa 0 machine_a success 18.5 1 -").unwrap();
        assert_eq!(adapter.fronts[&3].open(), 0);
    }

    #[test]
    fn the_error_names_the_malformed_field() {
        let mut adapter = Adapter::default();
        feed(&mut adapter, START).unwrap();
        let error = feed(&mut adapter, "REQ 3 zz 0 0 - 1500.0 - 0").unwrap_err();
        assert!(error.contains("REQ") && error.contains("req"), "{error}");
    }

    #[test]
    fn unknown_messages_are_ignored_and_a_stopped_front_is_removed() {
        let mut adapter = Adapter::default();
        feed(&mut adapter, START).unwrap();
        feed(&mut adapter, "NOVELTY 3 1 2\nSTOP 3").unwrap();
        assert!(adapter.fronts.is_empty());
    }
}
