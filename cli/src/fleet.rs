//! `rockpick bench agents`: many agents on one controller, each a process, with a build of one small process
//! each; what it costs the controller, and how long a stage, a rollback and a return take.
use crate::ask::call;
use crate::bench::{cpu, spawn, Proc};
use crate::Bad2;
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
    /// Folder for state; it must be empty or not there, and is removed at the end.
    #[arg(long)]
    out: std::path::PathBuf,
}

/// Longest wait for any one step.
const WITHIN: Duration = Duration::from_secs(180);

struct Fleet {
    at: SocketAddr,
    controller: Option<Proc>,
    agents: Vec<Child>,
    out: std::path::PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Agents take their builds down with them when asked.
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

/// Machines that are up with a build.
fn up(status: &Value, build: u64) -> usize {
    let machines = status["machines"].as_array().map_or(&[][..], |m| m);
    machines.iter().filter(|m| m["state"] == "up" && m["build"] == build).count()
}

impl Fleet {
    fn control(&mut self) -> Result<(), Bad2> {
        let mut command = Command::new(std::env::current_exe().map_err(|err| Bad2(err.to_string()))?);
        command.args(["controller", "--listen", &self.at.to_string()]);
        command.arg("--state").arg(self.out.join("control")).arg("--repo").arg(self.out.join("repo"));
        let controller = spawn(command)?;
        self.at = controller.1;
        self.controller = Some(controller);
        Ok(())
    }

    fn cpu(&self) -> f64 {
        self.controller.as_ref().map_or(0.0, |c| cpu(c.0.id()).iter().sum::<f64>() * 10.0)
    }

    /// Does something, waits until it is true of the status, and prints what it took.
    fn step(&self, what: &str, mut holds: impl FnMut(&Value) -> bool) -> Result<(), Bad2> {
        let (began, cpu, calls) =
            (Instant::now(), self.cpu(), status(self.at)["calls"].as_f64().unwrap_or(0.0));
        let mut seen = 0.0;
        loop {
            if holds(&status(self.at)) {
                break;
            }
            seen += 1.0;
            if began.elapsed() > WITHIN {
                return Err(Bad2(format!("{what}: not within {} s", WITHIN.as_secs())));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        let took = began.elapsed().as_secs_f64();
        let calls = status(self.at)["calls"].as_f64().unwrap_or(0.0) - calls - seen - 1.0;
        let busy = self.cpu() - cpu;
        println!(
            "{what:<44} {took:>8.1} {:>10.0} {:>10.1} {:>12.0}",
            calls / took.max(0.1),
            busy / took.max(0.1) / 10.0,
            busy * 1e3 / calls.max(1.0)
        );
        Ok(())
    }
}

fn repo(program: &Path, out: &Path, args: &[&str], more: &[&Path]) -> Result<(), Bad2> {
    let (dir, keys) = (out.join("repo"), out.join("keys"));
    let mut run = Command::new(program);
    run.arg("repo").arg(args[0]).arg("--dir").arg(dir).arg("--keys").arg(keys).args(&args[1..]).args(more);
    let done = run.stdout(Stdio::null()).status().map_err(|err| Bad2(err.to_string()))?;
    if done.success() {
        Ok(())
    } else {
        Err(Bad2(format!("repo {} failed", args[0])))
    }
}

impl Agents {
    pub fn run(self) -> Result<ExitCode, Bad2> {
        let say = |err: std::io::Error| Bad2(err.to_string());
        if !(1..=2_000).contains(&self.agents) {
            return Err(Bad2("--agents: 1 to 2000".into()));
        }
        std::fs::create_dir_all(&self.out).map_err(say)?;
        if std::fs::read_dir(&self.out).map_err(say)?.next().is_some() {
            return Err(Bad2(format!("--out {}: not empty", self.out.display())));
        }
        let program = std::env::current_exe().map_err(say)?;
        repo(&program, &self.out, &["init"], &[])?;
        for build in ["1", "2", "3"] {
            // The third takes its time before it listens: the rollback comes in the middle of that.
            let sleep = if build == "3" { "sleep 5\n" } else { "" };
            let script = format!(
                "#!/bin/sh\n{sleep}exec \"$FLEET_PROGRAM\" machine --agent --controller \"$ROCKPICK_CONTROLLER\" --name \
                 \"$ROCKPICK_NAME\" --place \"$ROCKPICK_PLACE\" --build {build} --warm\n"
            );
            let at = self.out.join("build.sh");
            std::fs::write(&at, script).map_err(say)?;
            repo(&program, &self.out, &["add", "--build", build], &[&at])?;
        }
        let mut charter = Settings::example(1, self.agents);
        (charter.rollout.stages, charter.rollout.caps) = (vec![1.0], vec![0.5]);
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut fleet = Fleet { at, controller: None, agents: Vec::new(), out: self.out.clone() };
        fleet.control()?;
        let settings = serde_json::to_string(&charter).map_err(|err| Bad2(err.to_string()))?;
        call(fleet.at, "PUT", "/settings", &settings)?;
        println!("{} agents, loopback, one machine for all", self.agents);
        println!("{:<44} {:>8} {:>10} {:>10} {:>12}", "step", "s", "calls/s", "CPU %", "us a call");
        for place in &charter.places {
            let log = std::fs::File::create(self.out.join("agents.log")).map_err(say)?;
            let mut command = Command::new(&program);
            command.args([
                "agent",
                "--machine",
                &place.name,
                "--take-down",
                "--controller",
                &fleet.at.to_string(),
            ]);
            command.arg("--state").arg(self.out.join("state").join(&place.name));
            command.arg("--root").arg(self.out.join("repo/metadata/1.root.json"));
            command.args(["--seed", &fleet.agents.len().to_string()]).env("FLEET_PROGRAM", &program);
            command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).process_group(0);
            fleet.agents.push(command.spawn().map_err(say)?);
        }
        let many = self.agents;
        fleet.step("all fetch, check and start their first build", |s| up(s, 1) == many)?;
        let rest = Instant::now();
        fleet.step("at rest for 10 s", |_| rest.elapsed() > Duration::from_secs(10))?;
        call(fleet.at, "POST", "/builds", "{\"build\":2}")?;
        fleet.step("a stage on all places: build 2 up beside it", |s| up(s, 2) == many)?;
        call(fleet.at, "POST", "/builds/2/back", "")?;
        fleet.step("rollback: drained, ended, withdrawn", |s| {
            s["stage"]["phase"] == "withdrawn" && of(s, 2) == 0
        })?;
        call(fleet.at, "POST", "/builds", "{\"build\":3}")?;
        fleet.step("build 3 starting on half the places", |s| of(s, 3) >= many / 2)?;
        call(fleet.at, "POST", "/builds/3/back", "")?;
        fleet.step("rollback in mid-start", |s| of(s, 3) == 0)?;
        fleet.controller = None;
        std::thread::sleep(Duration::from_secs(2));
        fleet.control()?;
        fleet.step("controller killed for 2 s: all known again", |s| up(s, 1) == many)?;
        Ok(ExitCode::SUCCESS)
    }
}

/// Places whose agent tells of a build in any state.
fn of(status: &Value, build: u64) -> usize {
    let agents = status["agents"].as_array().map_or(&[][..], |a| a);
    let tells = |a: &&Value| a["builds"].as_array().is_some_and(|b| b.iter().any(|b| b["build"] == build));
    agents.iter().filter(tells).count()
}
