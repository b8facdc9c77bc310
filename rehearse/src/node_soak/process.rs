//! The node's process: started with a configuration, signalled, killed.
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct NodeProcess {
    child: Child,
    configuration: PathBuf,
    pub at: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl NodeProcess {
    /// Starts this program as a node, and waits for its address. Configuration and log stay in `folder`.
    ///
    /// # Errors
    /// Files that can't be written, a node that says no address.
    pub fn start(folder: &Path, number: usize, told: &Value) -> Result<NodeProcess, String> {
        let say = |err: std::io::Error| format!("node {number}: {err}");
        let configuration = folder.join(format!("node-{number}.json"));
        std::fs::write(&configuration, told.to_string()).map_err(say)?;
        let log = File::create(folder.join(format!("node-{number}.log"))).map_err(say)?;
        let mut child = Command::new(std::env::current_exe().map_err(say)?)
            .arg("node")
            .env("PROXY_CONFIG", &configuration)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(say)?;
        let mut line = String::new();
        let out = child.stdout.take().ok_or("no standard output")?;
        BufReader::new(out).read_line(&mut line).map_err(say)?;
        let at = line.trim().strip_prefix("listening ").and_then(|at| at.parse().ok());
        let at = at.ok_or_else(|| format!("node {number} did not start: '{}'", line.trim()))?;
        Ok(NodeProcess { child, configuration, at })
    }

    pub fn configure(&self, told: &Value) -> Result<(), String> {
        let fresh = self.configuration.with_extension("new");
        std::fs::write(&fresh, told.to_string()).map_err(|err| err.to_string())?;
        std::fs::rename(&fresh, &self.configuration).map_err(|err| err.to_string())
    }

    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), String> {
        kill_process(Pid::from_child(&self.child), signal).map_err(|err| format!("the node has ended: {err}"))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
