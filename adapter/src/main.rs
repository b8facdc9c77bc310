//! The simulator's wire on standard input and output; every decision is the module's.
mod read;
mod seat;

use read::{Bad, Line};
use seat::{Listed, Seat};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Write};
use std::process::ExitCode;

#[derive(Default)]
struct Host {
    now: i64,
    lists: BTreeMap<u8, Vec<Listed>>,
    filling: Option<(u8, usize)>,
    seats: BTreeMap<u32, Seat>,
    unknown: BTreeSet<String>,
    out: String,
}

impl Host {
    /// Takes one line; true when a batch is complete and its reply stands in `out`.
    fn line(&mut self, text: &str) -> Result<bool, Bad> {
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
                let entry = Listed::read(&mut line)?;
                let Some((list, left)) = self.filling.as_mut().filter(|(_, left)| *left > 0) else {
                    return Err(line.bad("membersList", "an entry without a list"));
                };
                *left -= 1;
                self.lists.entry(*list).or_default().push(entry);
            }
            "POWER_ON" => {
                let front = line.int("frontId")?;
                let seat = Seat::start(self.now, front, &mut line, &mut self.out)?;
                self.seats.insert(front, seat);
            }
            "STOP" => {
                self.seats.remove(&line.int("frontId")?);
            }
            "PEERS_KNOWN" | "REQ" | "ACCEPTED" | "RESULT" | "ABANDONED" | "WAKE" | "HEALTH" | "INBOX"
            | "PHASE_TOLD" | "PLATFORM_SAW" | "DISPUTED" => {
                let front = line.int("frontId")?;
                let Some(seat) = self.seats.get_mut(&front) else {
                    return Err(line.bad("frontId", "no such front runs"));
                };
                seat.event(self.now, name, &mut line, &self.lists, &mut self.out)?;
            }
            other => {
                if self.unknown.insert(other.to_string()) {
                    eprintln!("unknown message {other}: skipped");
                }
            }
        }
        Ok(false)
    }
}

fn main() -> ExitCode {
    let mut host = Host::default();
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
                eprintln!("standard input: {err}");
                return ExitCode::from(2);
            }
        }
        number += 1;
        match host.line(text.trim_end_matches(['\n', '\r'])) {
            Ok(false) => {}
            Ok(true) => {
                if output.write_all(host.out.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return ExitCode::SUCCESS;
                }
                host.out.clear();
            }
            Err(bad) => {
                eprintln!("line {number}: {bad}");
                return ExitCode::from(2);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn feed(host: &mut Host, text: &str) -> Result<(), String> {
        text.lines().try_for_each(|line| host.line(line).map(drop).map_err(|bad| bad.to_string()))
    }

    const START: &str = "TICK 1000.0\nPOWER_ON 3 7 balancers=2 lanes.count=1 lanes.0.aimMs=100.0 \
        lanes.0.importance=1.0 lanes.0.idempotency=free novel.key=x\nLIST 0 1\n\
        ITEM 0 - 0 41 U 0 1 machine_a\nPEERS_KNOWN 3 SAVED 0 1\nPHASE_TOLD 3 0 0.0 0 1.0 41 success 2\n";

    #[test]
    fn an_rpc_is_picked_and_its_slot_freed_after_its_last_result() {
        let mut host = Host::default();
        let events = format!("{START}REQ 3 00000000000000aa 0 0 - 1500.0 - 0\n");
        feed(&mut host, &events).unwrap();
        assert!(host.out.contains("PASS_ON 3 00000000000000aa "), "{}", host.out);
        assert_eq!(host.seats[&3].open(), 1);
        feed(&mut host, "RESULT 3 00000000000000aa 0 machine_a success 18.5 1 -").unwrap();
        assert_eq!(host.seats[&3].open(), 0);
    }

    #[test]
    fn a_malformed_field_is_named() {
        let mut host = Host::default();
        feed(&mut host, START).unwrap();
        let said = feed(&mut host, "REQ 3 zz 0 0 - 1500.0 - 0").unwrap_err();
        assert!(said.contains("REQ") && said.contains("req"), "{said}");
    }

    #[test]
    fn unknown_messages_are_skipped_and_a_stopped_front_is_forgotten() {
        let mut host = Host::default();
        feed(&mut host, START).unwrap();
        feed(&mut host, "NOVELTY 3 1 2\nSTOP 3").unwrap();
        assert!(host.seats.is_empty());
    }
}
