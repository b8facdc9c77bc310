//! Child processes that outlive their agent. Each has its own process group and is identified by its process id and
//! start time, so that a later process with the same id is not mistaken for it.
use rustix::process::{kill_process_group, Pid, Signal};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The record of a process, written to disk before it is started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProcessRecord {
    pub build: u32,
    pub name: String,
    pub run: u64,
    /// Time since the machine's boot, in ns.
    pub started: i64,
    /// Whether it has ever served.
    pub served: bool,
}

pub struct Process {
    pub record: ProcessRecord,
    dir: PathBuf,
    child: Option<Child>,
    pid: Option<i32>,
    /// Start time in clock ticks since the machine's boot, from `/proc/PID/stat`.
    start_ticks: Option<u64>,
    pub address: Option<std::net::SocketAddr>,
    pub term_sent: bool,
}

/// How long a process that has just been started may take to write its id.
const PID_FILE_TIMEOUT: i64 = 1_000_000_000;

/// Start time (field 22 of `/proc/PID/stat`), and whether the process is a zombie.
fn read_stat(pid: i32) -> Option<(u64, bool)> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    Some((rest.get(19)?.parse().ok()?, rest.first() == Some(&"Z")))
}

/// Time since the machine's boot in ns: the clock of `/proc`, which continues over a restart of the agent.
pub fn boot_time() -> i64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec * 1_000_000_000 + t.tv_nsec
}

impl Process {
    fn file(dir: &Path, build: u32, what: &str) -> PathBuf {
        dir.join(format!("{build}.{what}"))
    }

    /// Starts an artefact. The child writes its id to a file before it executes the build, so that a later agent finds
    /// the process even if this one is killed at any moment.
    pub fn start(
        dir: &Path, record: ProcessRecord, artefact: &Path, env: &[(&str, String)],
    ) -> io::Result<Process> {
        fs::create_dir_all(dir)?;
        let [pid, out, err] = ["pid", "out", "err"].map(|w| Process::file(dir, record.build, w));
        for old in [&pid, &out] {
            match fs::remove_file(old) {
                Err(err) if err.kind() != io::ErrorKind::NotFound => return Err(err),
                _ => {}
            }
        }
        let text = serde_json::to_vec(&record).map_err(io::Error::other)?;
        rockpick_control::atomic_file::replace(&Process::file(dir, record.build, "run"), &text)?;
        let script = r#"echo $$ > "$0.new" && mv "$0.new" "$0" && exec "$1""#;
        let child = Command::new("/bin/sh")
            .args(["-c", script])
            .arg(&pid)
            .arg(artefact)
            .envs(env.iter().map(|(n, v)| (*n, v.as_str())))
            .stdin(Stdio::null())
            .stdout(File::create(&out)?)
            .stderr(File::create(&err)?)
            .process_group(0)
            .spawn()?;
        let id = child.id() as i32;
        let start_ticks = read_stat(id).map(|s| s.0);
        Ok(Process {
            record,
            dir: dir.into(),
            child: Some(child),
            pid: Some(id),
            start_ticks,
            address: None,
            term_sent: false,
        })
    }

    /// Finds the process that an earlier agent started, if it still runs.
    ///
    /// # Errors
    /// The record can't be read. That must not count as no process, or the build would be started a second time beside
    /// the first.
    pub fn find(dir: &Path, build: u32) -> Result<Option<Process>, String> {
        let [run, pid_file] = ["run", "pid"].map(|what| Process::file(dir, build, what));
        let text = fs::read(&run).map_err(|err| format!("{}: {err}", run.display()))?;
        let record: ProcessRecord =
            serde_json::from_slice(&text).map_err(|err| format!("{}: {err}", run.display()))?;
        // A process that was started just now may not have written its id yet.
        let read = || match rockpick_control::atomic_file::load(&pid_file) {
            Ok(text) => Ok(text.and_then(|t| std::str::from_utf8(&t).ok()?.trim().parse::<i32>().ok())),
            Err(err) => Err(format!("{}: {err}", pid_file.display())),
        };
        let mut pid = read()?;
        while pid.is_none() && boot_time() - record.started < PID_FILE_TIMEOUT {
            std::thread::sleep(std::time::Duration::from_millis(5));
            pid = read()?;
        }
        let Some((pid, (start_ticks, zombie))) = pid.and_then(|pid| Some((pid, read_stat(pid)?))) else {
            return Ok(None);
        };
        // The process starts within 5 s of its record; another with the same id would have started at another time.
        let per_second = rustix::param::clock_ticks_per_second() as i64;
        let started = start_ticks as i64 * (1_000_000_000 / per_second.max(1));
        if zombie || (started - record.started).abs() > 5_000_000_000 {
            return Ok(None);
        }
        Ok(Some(Process {
            record,
            dir: dir.into(),
            child: None,
            pid: Some(pid),
            start_ticks: Some(start_ticks),
            address: None,
            term_sent: false,
        }))
    }

    /// How the process ended, if it has.
    pub fn exit_reason(&mut self) -> Option<String> {
        if let Some(child) = &mut self.child {
            return match child.try_wait() {
                Ok(Some(status)) => Some(status.to_string()),
                _ => None,
            };
        }
        match self.pid.and_then(read_stat) {
            Some((start_ticks, false)) if Some(start_ticks) == self.start_ticks => None,
            _ => Some("ended while no agent was running".into()),
        }
    }

    /// The address it listens on, once it has printed it.
    pub fn listen_address(&mut self) -> Option<std::net::SocketAddr> {
        if self.address.is_none() {
            let text =
                fs::read_to_string(Process::file(&self.dir, self.record.build, "out")).unwrap_or_default();
            let line = text.lines().find_map(|l| l.strip_prefix("listening "));
            self.address = line.and_then(|at| at.trim().parse().ok());
        }
        self.address
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid.and_then(Pid::from_raw) {
            let _ = kill_process_group(pid, signal);
        }
    }

    /// Records that it has served: a later agent must not end it before its drain is over.
    pub fn record_served(&mut self) {
        if !self.record.served {
            self.record.served = true;
            let at = Process::file(&self.dir, self.record.build, "run");
            let text = serde_json::to_vec(&self.record).map_err(io::Error::other);
            if let Err(err) = text.and_then(|text| rockpick_control::atomic_file::replace(&at, &text)) {
                tracing::error!(event = "record not kept", file = %at.display(), why = %err);
            }
        }
    }

    pub fn remove_record(dir: &Path, build: u32) {
        for what in ["run", "pid", "out"] {
            let _ = fs::remove_file(Process::file(dir, build, what));
        }
    }

    /// Builds with a record of an earlier agent.
    pub fn recorded_builds(dir: &Path) -> Vec<u32> {
        let file_names = fs::read_dir(dir).into_iter().flatten().flatten().map(|e| e.file_name());
        let build = |n: std::ffi::OsString| n.to_str()?.strip_suffix(".run")?.parse().ok();
        let mut builds: Vec<u32> = file_names.filter_map(build).collect();
        builds.sort_unstable();
        builds
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Finding 35: an unreadable record counted as no process, and the build was started a second time.
    #[test]
    fn a_record_that_can_not_be_read_is_an_error_and_is_kept() {
        let dir = std::env::temp_dir().join(format!("rockpick-test-record-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("7.run"), b"{\"build\":7,").unwrap();
        let why = Process::find(&dir, 7).err().unwrap();
        assert!(why.contains("7.run") && dir.join("7.run").exists(), "{why}");
        let _ = fs::remove_dir_all(dir);
    }
}
