//! `rockpick bench agents`: runs many agents on one controller, each agent a process whose build is one small
//! process. Measures the load on the controller, and how long a stage, a rollback and a recovery take.
use crate::api_client::call;
use crate::bench::{cpu, spawn, Proc};
use crate::CliError;
use clap::Args;
use rockpick_control::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct Agents {
    #[arg(long, default_value_t = 300)]
    agents: usize,
    /// Directory for state; it must be empty or absent, and is removed at the end.
    #[arg(long)]
    out: std::path::PathBuf,
}

/// Time limit of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(180);

/// The running processes, which end with this value.
struct Processes {
    controller_at: SocketAddr,
    controller: Option<Proc>,
    agents: Vec<Child>,
    out: std::path::PathBuf,
}

impl Drop for Processes {
    fn drop(&mut self) {
        // SIGTERM, as the agents run with --take-down and then stop their builds too.
        for agent in &self.agents {
            if let Some(pid) = rustix::process::Pid::from_raw(agent.id() as i32) {
                let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
            }
        }
        self.agents.iter_mut().for_each(|a| drop(a.wait()));
        let _ = std::fs::remove_dir_all(&self.out);
    }
}

fn status(at: SocketAddr) -> Value {
    let answer = call(at, "GET", "/status", "");
    answer.ok().and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or(Value::Null)
}

/// Number of machines that are up with a build.
fn machines_up(status: &Value, build: u64) -> usize {
    let machines = status["machines"].as_array().map_or(&[][..], |m| m);
    machines.iter().filter(|m| m["state"] == "up" && m["build"] == build).count()
}

impl Processes {
    fn start_controller(&mut self) -> Result<(), CliError> {
        let mut command = Command::new(std::env::current_exe().map_err(|err| CliError(err.to_string()))?);
        command.args(["controller", "--listen", &self.controller_at.to_string()]);
        command.arg("--state").arg(self.out.join("control")).arg("--repo").arg(self.out.join("repo"));
        let controller = spawn(command)?;
        self.controller_at = controller.1;
        self.controller = Some(controller);
        Ok(())
    }

    /// CPU time of the controller so far, in milliseconds.
    fn cpu_ms(&self) -> f64 {
        self.controller.as_ref().map_or(0.0, |c| cpu(c.0.id()).iter().sum::<f64>() * 10.0)
    }

    /// Waits until a condition holds for the controller's status, then prints the time and the controller's load.
    fn wait_and_print(&self, step: &str, mut condition: impl FnMut(&Value) -> bool) -> Result<(), CliError> {
        let (began, cpu_before, calls_before) =
            (Instant::now(), self.cpu_ms(), status(self.controller_at)["calls"].as_f64().unwrap_or(0.0));
        let mut polls = 0.0;
        loop {
            if condition(&status(self.controller_at)) {
                break;
            }
            polls += 1.0;
            if began.elapsed() > STEP_TIMEOUT {
                return Err(CliError(format!("{step}: not complete after {} s", STEP_TIMEOUT.as_secs())));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        let elapsed = began.elapsed().as_secs_f64();
        // The polls of this function are not counted.
        let calls = status(self.controller_at)["calls"].as_f64().unwrap_or(0.0) - calls_before - polls - 1.0;
        let cpu_ms = self.cpu_ms() - cpu_before;
        println!(
            "{step:<44} {elapsed:>8.1} {:>10.0} {:>10.1} {:>12.0}",
            calls / elapsed.max(0.1),
            cpu_ms / elapsed.max(0.1) / 10.0,
            cpu_ms * 1e3 / calls.max(1.0)
        );
        Ok(())
    }
}

/// Runs `rockpick repo` with these arguments, the last of which are paths.
fn run_repo(program: &Path, out: &Path, args: &[&str], paths: &[&Path]) -> Result<(), CliError> {
    let (dir, keys) = (out.join("repo"), out.join("keys"));
    let mut command = Command::new(program);
    command
        .arg("repo")
        .arg(args[0])
        .arg("--dir")
        .arg(dir)
        .arg("--keys")
        .arg(keys)
        .args(&args[1..])
        .args(paths);
    let status = command.stdout(Stdio::null()).status().map_err(|err| CliError(err.to_string()))?;
    if status.success() {
        Ok(())
    } else {
        Err(CliError(format!("repo {} failed", args[0])))
    }
}

impl Agents {
    pub fn run(self) -> Result<ExitCode, CliError> {
        let io_error = |err: std::io::Error| CliError(err.to_string());
        if !(1..=2_000).contains(&self.agents) {
            return Err(CliError("--agents: must be 1 to 2000".into()));
        }
        std::fs::create_dir_all(&self.out).map_err(io_error)?;
        if std::fs::read_dir(&self.out).map_err(io_error)?.next().is_some() {
            return Err(CliError(format!("--out {}: directory is not empty", self.out.display())));
        }
        let program = std::env::current_exe().map_err(io_error)?;
        run_repo(&program, &self.out, &["init"], &[])?;
        for build in ["1", "2", "3"] {
            // Build 3 sleeps before it listens, so that its rollback comes during the start.
            let sleep = if build == "3" { "sleep 5\n" } else { "" };
            let script = format!(
                "#!/bin/sh\n{sleep}exec \"$FLEET_PROGRAM\" machine --agent --controller \"$ROCKPICK_CONTROLLER\" --name \
                 \"$ROCKPICK_NAME\" --place \"$ROCKPICK_PLACE\" --build {build} --warm\n"
            );
            let file = self.out.join("build.sh");
            std::fs::write(&file, script).map_err(io_error)?;
            run_repo(&program, &self.out, &["add", "--build", build], &[&file])?;
        }
        let mut settings = Settings::example(1, self.agents);
        (settings.rollout.stages, settings.rollout.caps) = (vec![1.0], vec![0.5]);
        let controller_at = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut processes =
            Processes { controller_at, controller: None, agents: Vec::new(), out: self.out.clone() };
        processes.start_controller()?;
        let document = serde_json::to_string(&settings).map_err(|err| CliError(err.to_string()))?;
        call(processes.controller_at, "PUT", "/settings", &document)?;
        println!("{} agents, loopback, one machine for all", self.agents);
        println!("{:<44} {:>8} {:>10} {:>10} {:>12}", "step", "s", "calls/s", "CPU %", "us/call");
        for place in &settings.places {
            let log = std::fs::File::create(self.out.join("agents.log")).map_err(io_error)?;
            let mut command = Command::new(&program);
            command.args([
                "agent",
                "--machine",
                &place.name,
                "--take-down",
                "--controller",
                &processes.controller_at.to_string(),
            ]);
            command.arg("--state").arg(self.out.join("state").join(&place.name));
            command.arg("--root").arg(self.out.join("repo/metadata/1.root.json"));
            command.args(["--seed", &processes.agents.len().to_string()]).env("FLEET_PROGRAM", &program);
            command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).process_group(0);
            processes.agents.push(command.spawn().map_err(io_error)?);
        }
        let count = self.agents;
        processes.wait_and_print("all fetch, verify and start their first build", |s| {
            machines_up(s, 1) == count
        })?;
        let idle_since = Instant::now();
        processes.wait_and_print("idle for 10 s", |_| idle_since.elapsed() > Duration::from_secs(10))?;
        call(processes.controller_at, "POST", "/builds", "{\"build\":2}")?;
        processes
            .wait_and_print("a stage on all places: build 2 up on each", |s| machines_up(s, 2) == count)?;
        call(processes.controller_at, "POST", "/builds/2/back", "")?;
        processes.wait_and_print("rollback: drained, stopped, withdrawn", |s| {
            s["stage"]["phase"] == "withdrawn" && places_with(s, 2) == 0
        })?;
        call(processes.controller_at, "POST", "/builds", "{\"build\":3}")?;
        processes
            .wait_and_print("build 3 starting on half the places", |s| places_with(s, 3) >= count / 2)?;
        call(processes.controller_at, "POST", "/builds/3/back", "")?;
        processes.wait_and_print("rollback during the start", |s| places_with(s, 3) == 0)?;
        processes.controller = None;
        std::thread::sleep(Duration::from_secs(2));
        processes.start_controller()?;
        processes
            .wait_and_print("controller down for 2 s: all known again", |s| machines_up(s, 1) == count)?;
        Ok(ExitCode::SUCCESS)
    }
}

/// Number of places whose agent reports a build in any state.
fn places_with(status: &Value, build: u64) -> usize {
    let agents = status["agents"].as_array().map_or(&[][..], |a| a);
    let reports = |a: &&Value| a["builds"].as_array().is_some_and(|b| b.iter().any(|b| b["build"] == build));
    agents.iter().filter(reports).count()
}
