//! The running node among scripted peers.
#![allow(dead_code)]
use super::peers::{start_with, wait_until, Proc};
pub use rockpick_fakes::scripted::*;
use serde_json::Value;
use std::process::Stdio;

/// A running node and its configuration file.
pub struct Node {
    pub proc: Proc,
    file: tempfile::NamedTempFile,
    log: tempfile::NamedTempFile,
}

impl Drop for Node {
    /// No test may bring a node to the point of breaking a rule.
    fn drop(&mut self) {
        let log = std::fs::read_to_string(self.log.path()).unwrap_or_default();
        let violation = log.lines().find(|line| line.contains("rule violated"));
        assert!(violation.is_none() || std::thread::panicking(), "{violation:?}");
    }
}

impl Node {
    pub fn start(config: &Value) -> Node {
        Node::start_with(config, &[])
    }

    pub fn start_with(config: &Value, more: &[&str]) -> Node {
        let file = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(file.path(), config.to_string()).unwrap();
        let prefix = format!("PROXY_CONFIG='{}'", file.path().display());
        let args = [&["node"], more].concat();
        let log = tempfile::NamedTempFile::new().unwrap();
        let errors = Stdio::from(log.reopen().unwrap());
        Node { proc: start_with(&prefix, &args, errors), file, log }
    }

    /// Whether the log contains this text.
    pub fn log_contains(&self, text: &str) -> bool {
        std::fs::read_to_string(self.log.path()).unwrap().contains(text)
    }

    pub fn rewrite_config(&self, config: &str) {
        std::fs::write(self.file.path(), config).unwrap();
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        rustix::process::kill_process(rustix::process::Pid::from_child(&self.proc.child), signal).unwrap();
    }

    /// Number of open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.proc.child.id())).unwrap().count()
    }

    pub fn client(&self) -> Client {
        let mut client = self.connect();
        client.startup();
        client
    }

    /// A connection on which nothing has been sent.
    pub fn connect(&self) -> Client {
        Client::connect(self.proc.at).unwrap()
    }
}

/// Waits until the node has polled discovery and the controller.
pub fn wait_until_polled(platform: &Platform) {
    wait_until("the node polls discovery and the controller", || {
        platform.asked.lock().unwrap().iter().all(|n| *n > 0)
    });
}
