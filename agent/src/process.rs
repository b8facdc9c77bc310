//! Child processes that outlive their agent: each in a group of its own, known by its id and its start time,
//! so that another process that got the same id later is not taken for it.
use rustix::process::{kill_process_group, Pid, Signal};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What is kept of a process, written before it is started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProcessRecord {
    pub build: u32,
    pub name: String,
    pub run: u64,
    /// Since the machine's boot, ns.
    pub started: i64,
    /// It was serving, or draining, when last looked at.
    pub served: bool,
}

pub struct Process {
    pub kept: ProcessRecord,
    dir: PathBuf,
    child: Option<Child>,
    pid: Option<i32>,
    /// In clock ticks since the machine's boot, from `/proc/PID/stat`.
    ticks: Option<u64>,
    pub at: Option<std::net::SocketAddr>,
    pub asked: bool,
}

/// A process that was started has written its id down within this.
const NAMED_WITHIN: i64 = 1_000_000_000;

/// Field 22 of `/proc/PID/stat`, and whether it is a zombie.
fn stat(pid: i32) -> Option<(u64, bool)> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    Some((rest.get(19)?.parse().ok()?, rest.first() == Some(&"Z")))
}

/// Time since the machine's boot, in ns: the same for an agent that comes back, and what `/proc` counts in.
pub fn clock() -> i64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec * 1_000_000_000 + t.tv_nsec
}

impl Process {
    fn file(dir: &Path, build: u32, what: &str) -> PathBuf {
        dir.join(format!("{build}.{what}"))
    }

    /// Starts an artefact. The process itself writes down its id before it becomes the build, so that an agent
    /// killed at any moment finds it again.
    pub fn start(
        dir: &Path, kept: ProcessRecord, artefact: &Path, env: &[(&str, String)],
    ) -> io::Result<Process> {
        fs::create_dir_all(dir)?;
        let [pid, out, err] = ["pid", "out", "err"].map(|w| Process::file(dir, kept.build, w));
        for old in [&pid, &out] {
            match fs::remove_file(old) {
                Err(err) if err.kind() != io::ErrorKind::NotFound => return Err(err),
                _ => {}
            }
        }
        let text = serde_json::to_vec(&kept).map_err(io::Error::other)?;
        rockpick_control::atomic_file::replace(&Process::file(dir, kept.build, "run"), &text)?;
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
        let ticks = stat(id).map(|s| s.0);
        Ok(Process {
            kept,
            dir: dir.into(),
            child: Some(child),
            pid: Some(id),
            ticks,
            at: None,
            asked: false,
        })
    }

    /// What an earlier agent had started, if it still runs.
    ///
    /// # Errors
    /// Names the record that can't be read: it must not pass for no process, as the build would be started a
    /// second time beside the first.
    pub fn find(dir: &Path, build: u32) -> Result<Option<Process>, String> {
        let [run, named] = ["run", "pid"].map(|what| Process::file(dir, build, what));
        let text = fs::read(&run).map_err(|err| format!("{}: {err}", run.display()))?;
        let kept: ProcessRecord =
            serde_json::from_slice(&text).map_err(|err| format!("{}: {err}", run.display()))?;
        // One that was started this moment may not have written its id yet: it is given a second.
        let read = || match rockpick_control::atomic_file::load(&named) {
            Ok(text) => Ok(text.and_then(|t| std::str::from_utf8(&t).ok()?.trim().parse::<i32>().ok())),
            Err(err) => Err(format!("{}: {err}", named.display())),
        };
        let mut pid = read()?;
        while pid.is_none() && clock() - kept.started < NAMED_WITHIN {
            std::thread::sleep(std::time::Duration::from_millis(5));
            pid = read()?;
        }
        let Some((pid, (ticks, zombie))) = pid.and_then(|pid| Some((pid, stat(pid)?))) else {
            return Ok(None);
        };
        // Another process with this id would have begun long before or after; ours within this long of its record.
        let per_second = rustix::param::clock_ticks_per_second() as i64;
        let began = ticks as i64 * (1_000_000_000 / per_second.max(1));
        if zombie || (began - kept.started).abs() > 5_000_000_000 {
            return Ok(None);
        }
        Ok(Some(Process {
            kept,
            dir: dir.into(),
            child: None,
            pid: Some(pid),
            ticks: Some(ticks),
            at: None,
            asked: false,
        }))
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        if let Some(child) = &mut self.child {
            return match child.try_wait() {
                Ok(Some(status)) => Some(status.to_string()),
                _ => None,
            };
        }
        match self.pid.and_then(stat) {
            Some((ticks, false)) if Some(ticks) == self.ticks => None,
            _ => Some("ended while no agent looked".into()),
        }
    }

    /// Where it listens, once it has said so.
    pub fn listens(&mut self) -> Option<std::net::SocketAddr> {
        if self.at.is_none() {
            let text =
                fs::read_to_string(Process::file(&self.dir, self.kept.build, "out")).unwrap_or_default();
            let line = text.lines().find_map(|l| l.strip_prefix("listening "));
            self.at = line.and_then(|at| at.trim().parse().ok());
        }
        self.at
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid.and_then(Pid::from_raw) {
            let _ = kill_process_group(pid, signal);
        }
    }

    /// Writes down whether it has served: a later agent must not end it before its drain is over.
    pub fn note_served(&mut self) {
        if !self.kept.served {
            self.kept.served = true;
            let at = Process::file(&self.dir, self.kept.build, "run");
            let text = serde_json::to_vec(&self.kept).map_err(io::Error::other);
            if let Err(err) = text.and_then(|text| rockpick_control::atomic_file::replace(&at, &text)) {
                tracing::error!(event = "record not kept", file = %at.display(), why = %err);
            }
        }
    }

    pub fn forget(dir: &Path, build: u32) {
        for what in ["run", "pid", "out"] {
            let _ = fs::remove_file(Process::file(dir, build, what));
        }
    }

    /// Builds that an earlier agent has left records of.
    pub fn recorded(dir: &Path) -> Vec<u32> {
        let names = fs::read_dir(dir).into_iter().flatten().flatten().map(|e| e.file_name());
        let build = |n: std::ffi::OsString| n.to_str()?.strip_suffix(".run")?.parse().ok();
        let mut builds: Vec<u32> = names.filter_map(build).collect();
        builds.sort_unstable();
        builds
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Finding 35: a record that can't be read is no word that nothing runs.
    #[test]
    fn a_record_that_can_not_be_read_is_told_of_and_left() {
        let dir = std::env::temp_dir().join(format!("rockpick-test-record-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("7.run"), b"{\"build\":7,").unwrap();
        let why = Process::find(&dir, 7).err().unwrap();
        assert!(why.contains("7.run") && dir.join("7.run").exists(), "{why}");
        let _ = fs::remove_dir_all(dir);
    }
}
