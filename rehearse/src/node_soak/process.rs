//! Starts, signals and kills a process of the node.
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
    /// Starts this program as a node, with more options, and waits until it prints its address. Configuration and log are
    /// files in `folder`.
    ///
    /// # Errors
    /// A file can't be written, or the node prints no address.
    pub fn start(
        folder: &Path, number: usize, configuration_json: &Value, options: &[String],
    ) -> Result<NodeProcess, String> {
        let describe = |err: std::io::Error| format!("node {number}: {err}");
        let configuration = folder.join(format!("node-{number}.json"));
        std::fs::write(&configuration, configuration_json.to_string()).map_err(describe)?;
        let log = File::create(folder.join(format!("node-{number}.log"))).map_err(describe)?;
        let mut child = Command::new(std::env::current_exe().map_err(describe)?)
            .args(options)
            .arg("node")
            .env("PROXY_CONFIG", &configuration)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(describe)?;
        let mut line = String::new();
        let out = child.stdout.take().ok_or("no standard output")?;
        BufReader::new(out).read_line(&mut line).map_err(describe)?;
        let at = line.trim().strip_prefix("listening ").and_then(|at| at.parse().ok());
        let at = at.ok_or_else(|| format!("node {number} did not start: '{}'", line.trim()))?;
        Ok(NodeProcess { child, configuration, at })
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn configure(&self, configuration_json: &Value) -> Result<(), String> {
        let new_file = self.configuration.with_extension("new");
        std::fs::write(&new_file, configuration_json.to_string()).map_err(|err| err.to_string())?;
        std::fs::rename(&new_file, &self.configuration).map_err(|err| err.to_string())
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
