//! Findings of the hardening review, each as a test of the running programs. The numbers are the review's.
#![allow(dead_code, unused_imports)]
mod peers;

use peers::*;
use rockpick_control::Charter;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

fn charter() -> Charter {
    let mut charter = Charter::example(1, 4);
    charter.rollout.told_every_ms = 100;
    charter.rollout.tally_every_ms = 0;
    charter
}

fn teller(machines: &[(&str, SocketAddr, u32, &str)]) -> Teller {
    let teller = Teller::begin(charter());
    teller.stage(1, 0, "released", 1.0);
    teller.roster("whole", machines);
    teller
}

fn listed(front: &Proc, machines: u64) {
    until("the roster at the front", || get(front.at, "/status")["machines"] == machines);
}

fn in_force(front: &Proc, version: u64) {
    until("the settings at the front", || get(front.at, "/status")["settings_version"] == version);
}

fn ended_well(proc: &mut Proc) {
    until("its end", || proc.child.try_wait().unwrap().is_some());
    assert!(proc.child.wait().unwrap().success());
}

fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn fifo(at: &Path) {
    assert!(Command::new("mkfifo").arg(at).status().unwrap().success());
}

/// 1: a front that was down while the settings changed goes by the new ones.
#[test]
fn settings_changed_while_a_front_was_away_reach_it() {
    let dir = tempfile::tempdir().unwrap();
    let state = dir.path().to_string_lossy().into_owned();
    let controller = start(&["controller"]);
    assert_eq!(put(controller.at, &charter()).status, 200);
    let one = front(controller.at, &["--state", &state]);
    in_force(&one, 1);
    until("its snapshot", || dir.path().join("f0.json").exists());
    drop(one);
    assert_eq!(put(controller.at, &charter()).status, 200);
    in_force(&front(controller.at, &["--state", &state]), 2);
}
