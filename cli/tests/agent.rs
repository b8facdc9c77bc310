//! The agent with a real controller, repository and processes: which builds must never start, and which must end.
mod peers;

use peers::*;
use rockpick_control::Settings;
use serde_json::Value;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Deployment {
    dir: tempfile::TempDir,
    controller: Option<Proc>,
    at: std::net::SocketAddr,
    agents: Vec<Child>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for agent in &mut self.agents {
            let pid = rustix::process::Pid::from_raw(agent.id() as i32).unwrap();
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
            let _ = agent.wait();
        }
    }
}

fn rockpick(args: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_rockpick")).args(args).output().unwrap()
}

impl Deployment {
    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn text(&self, name: &str) -> String {
        self.path(name).to_string_lossy().into_owned()
    }

    /// Makes a repository with these builds and starts a controller that serves it.
    fn new(places: usize, builds: &[(u32, &str)]) -> Deployment {
        let at = "127.0.0.1:0".parse().unwrap();
        let mut deployment =
            Deployment { dir: tempfile::tempdir().unwrap(), controller: None, at, agents: Vec::new() };
        let (repo, keys) = (deployment.text("repo"), deployment.text("keys"));
        assert!(rockpick(&["repo", "init", "--dir", &repo, "--keys", &keys]).status.success());
        builds.iter().for_each(|(build, more)| deployment.add_build(*build, more));
        deployment.start_controller();
        let mut settings = Settings::example(1, places);
        settings.guard.drain_grace_ms = 300;
        settings.methods.iter_mut().for_each(|m| (m.soft_deadline_ms, m.deadline_ms) = (200, 400));
        let text = serde_json::to_string(&settings).unwrap();
        assert_eq!(rockpick_rehearse::call(deployment.at, "PUT", "/settings", &text).unwrap().status, 200);
        deployment
    }

    fn start_controller(&mut self) {
        let (state, repo, at) = (self.text("control"), self.text("repo"), self.at.to_string());
        self.controller = Some(start(&["controller", "--state", &state, "--repo", &repo, "--listen", &at]));
        self.at = self.controller.as_ref().unwrap().at;
    }

    /// Adds a build that appends a line to the file `ran` when it starts; the shell commands `more` run before it serves.
    fn add_build(&self, build: u32, more: &str) {
        let artefact = self.path("artefact");
        let script = format!(
            "#!/bin/sh\necho $ROCKPICK_NAME >> \"$TEST_DIR/ran\"\n{more}\nexec \"$ROCKPICK_PROGRAM\" machine --agent \
             --controller \"$ROCKPICK_CONTROLLER\" --name \"$ROCKPICK_NAME\" --place \"$ROCKPICK_PLACE\" \
             --build \"$ROCKPICK_BUILD\"\n"
        );
        fs::write(&artefact, script).unwrap();
        let (repo, keys, build) = (self.text("repo"), self.text("keys"), build.to_string());
        let artefact = artefact.to_string_lossy().into_owned();
        let out = rockpick(&[
            "repo", "add", "--dir", &repo, "--keys", &keys, "--build", &build, "--pack", &artefact,
        ]);
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    }

    fn start_agent(&mut self, place: &str) {
        let (root, state) = (self.text("repo/metadata/1.root.json"), self.text(&format!("agent-{place}")));
        let at = self.at.to_string();
        let args = ["agent", "--machine", place, "--controller", &at, "--state", &state, "--root", &root];
        let child = Command::new(env!("CARGO_BIN_EXE_rockpick"))
            .args(args)
            .args(["--take-down", "--rate", "1e8"])
            .env("ROCKPICK_PROGRAM", env!("CARGO_BIN_EXE_rockpick"))
            .env("TEST_DIR", self.dir.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(self.path(&format!("agent-{place}.log"))).unwrap())
            .spawn()
            .unwrap();
        self.agents.push(child);
    }

    fn status(&self) -> Value {
        get(self.at, "/status")
    }

    /// The state of a build as reported by the place's agent.
    fn state(&self, place: &str, build: u32) -> String {
        let status = self.status();
        let agents = status["agents"].as_array().unwrap();
        let builds = agents.iter().find(|a| a["place"] == place).and_then(|a| a["builds"].as_array());
        let found = builds.and_then(|b| b.iter().find(|b| b["build"] == build).cloned());
        found.map_or("none".into(), |b| b["state"].as_str().unwrap().to_string())
    }

    fn started_builds(&self) -> Vec<String> {
        let text = fs::read_to_string(self.path("ran")).unwrap_or_default();
        text.lines().map(String::from).collect()
    }

    fn post(&self, target: &str, body: &str) -> u16 {
        rockpick_rehearse::call(self.at, "POST", target, body).unwrap().status
    }

    fn log(&self, place: &str) -> String {
        fs::read_to_string(self.path(&format!("agent-{place}.log"))).unwrap()
    }
}

fn targets(repo: &Path, ends: &str) -> PathBuf {
    let mut all = fs::read_dir(repo.join("targets")).unwrap().map(|e| e.unwrap().path());
    all.find(|p| p.to_string_lossy().ends_with(ends)).unwrap()
}

#[test]
fn a_corrupt_or_unsigned_build_never_starts_and_the_place_is_reported_as_unfit() {
    let mut deployment = Deployment::new(2, &[(1, ""), (2, "")]);
    let target = targets(&deployment.path("repo"), "build-2");
    let mut bytes = fs::read(&target).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&target, &bytes).unwrap();
    deployment.start_agent("p0");
    deployment.start_agent("p1");
    wait_until("build 1 serves", || ["p0", "p1"].iter().all(|p| deployment.state(p, 1) == "serving"));
    assert_eq!(deployment.post("/builds", "{\"build\":2}"), 201);
    wait_until("the first place is unfit", || {
        deployment.state("p0", 2) == "failed" && deployment.log("p0").contains("its hash")
    });
    // The stage takes the other place, which fails too, so the stage does not advance.
    wait_until("the second place tries", || deployment.state("p1", 2) == "failed");
    assert_eq!(deployment.status()["stage"]["stage"], 0);
    assert_eq!(deployment.post("/builds", "{\"build\":3}"), 201);
    wait_until("an unsigned build is refused", || {
        deployment.log("p0").contains("build-3: not signed for")
            || deployment.log("p1").contains("build-3: not signed for")
    });
    let ran = deployment.started_builds();
    assert!(ran.iter().all(|name| name.ends_with("..1")), "{ran:?}");
    assert!(
        ["p0", "p1"].iter().all(|p| deployment.state(p, 1) == "serving"),
        "the earlier build keeps serving"
    );
}

#[test]
fn an_artefact_changed_on_disk_is_not_started_again() {
    let mut deployment = Deployment::new(1, &[(1, "")]);
    deployment.start_agent("p0");
    wait_until("build 1 serves", || deployment.state("p0", 1) == "serving");
    let artefact = deployment.path("agent-p0/artefacts/build-1");
    fs::set_permissions(&artefact, fs::Permissions::from_mode(0o700)).unwrap();
    let text = fs::read_to_string(&artefact).unwrap();
    fs::write(&artefact, text.replace("echo $ROCKPICK_NAME", "echo intruder")).unwrap();
    let pid: i32 =
        fs::read_to_string(deployment.path("agent-p0/runs/1.pid")).unwrap().trim().parse().unwrap();
    rustix::process::kill_process(
        rustix::process::Pid::from_raw(pid).unwrap(),
        rustix::process::Signal::KILL,
    )
    .unwrap();
    wait_until("it has been fetched again and serves", || {
        deployment.started_builds().len() == 2 && deployment.state("p0", 1) == "serving"
    });
    assert_eq!(deployment.started_builds(), ["p0..1", "p0..1"]);
    assert!(deployment.log("p0").contains("changed on disk"));
}

#[test]
fn a_rollback_in_mid_start_reaches_an_agent_that_was_down_and_ends_within_thirty_seconds() {
    // Build 2 sleeps before it listens.
    let mut deployment = Deployment::new(2, &[(1, ""), (2, "sleep 8")]);
    deployment.start_agent("p0");
    deployment.start_agent("p1");
    wait_until("build 1 serves", || ["p0", "p1"].iter().all(|p| deployment.state(p, 1) == "serving"));
    deployment.post("/builds", "{\"build\":2}");
    wait_until("build 2 is starting", || deployment.started_builds().iter().any(|r| r.ends_with("..2")));
    let down = if deployment.started_builds().contains(&"p0..2".to_string()) { 0 } else { 1 };
    let place = ["p0", "p1"][down];
    deployment.agents[down].kill().unwrap();
    deployment.agents[down].wait().unwrap();
    let pid: i32 = fs::read_to_string(deployment.path(&format!("agent-{place}/runs/2.pid")))
        .unwrap()
        .trim()
        .parse()
        .unwrap();
    let started = Instant::now();
    assert_eq!(deployment.post("/builds/2/back", ""), 200);
    deployment.start_agent(place);
    wait_until("its process has ended", || !Path::new(&format!("/proc/{pid}/stat")).exists());
    wait_until("the agent has removed the build", || deployment.state(place, 2) == "none");
    assert!(started.elapsed() < Duration::from_secs(30));
    wait_until("withdrawn", || deployment.status()["stage"]["phase"] == "withdrawn");
    assert_eq!(deployment.state(place, 1), "serving", "adopted as it was");
    assert_eq!(
        deployment.started_builds().iter().filter(|r| r.ends_with("..1")).count(),
        2,
        "build 1 was not started twice"
    );
}

#[test]
fn expired_and_rolled_back_manifests_in_mid_stage_stop_the_new_build_alone() {
    let mut deployment = Deployment::new(1, &[(1, "")]);
    let metadata = deployment.path("repo/metadata");
    let old = fs::read(metadata.join("timestamp.json")).unwrap();
    deployment.start_agent("p0");
    wait_until("build 1 serves", || deployment.state("p0", 1) == "serving");
    deployment.add_build(2, "");
    let new = fs::read(metadata.join("timestamp.json")).unwrap();
    deployment.post("/builds", "{\"build\":2}");
    wait_until("build 2 serves", || deployment.state("p0", 2) == "serving");
    // The repository is rolled back to its state before build 2, and build 3 is offered.
    fs::write(metadata.join("timestamp.json"), &old).unwrap();
    deployment.post("/builds", "{\"build\":3}");
    wait_until("the rollback is refused", || deployment.log("p0").contains("rolled back"));
    fs::write(metadata.join("timestamp.json"), &new).unwrap();
    deployment.add_build(3, "");
    wait_until("build 3 serves", || deployment.state("p0", 3) == "serving");
    assert_eq!(deployment.state("p0", 1), "serving");
    let ran = deployment.started_builds();
    assert_eq!(ran.iter().filter(|r| r.ends_with("..1")).count(), 1, "{ran:?}");
}

#[test]
fn drains_run_in_order_and_a_restarted_controller_orders_nothing_it_does_not_know() {
    let mut deployment = Deployment::new(1, &[(1, ""), (2, "")]);
    deployment.start_agent("p0");
    wait_until("build 1 serves", || deployment.state("p0", 1) == "serving");
    deployment.post("/builds", "{\"build\":2}");
    wait_until("build 2 serves", || deployment.state("p0", 2) == "serving");
    let generation = deployment.status()["generation"].as_u64().unwrap();
    deployment.controller = None;
    deployment.start_controller();
    wait_until("both are known again", || {
        let up =
            deployment.status()["machines"].as_array().unwrap().iter().filter(|m| m["state"] == "up").count();
        up == 2
    });
    assert!(deployment.status()["generation"].as_u64().unwrap() >= generation);
    assert_eq!(deployment.started_builds().len(), 2, "nothing was ended or started again");
    let started = Instant::now();
    assert_eq!(deployment.post("/builds/2/back", ""), 200);
    wait_until("reported as draining before it ends", || {
        let status = deployment.status();
        let m = status["machines"].as_array().unwrap().iter().find(|m| m["name"] == "p0..2").cloned();
        m.is_some_and(|m| m["state"] == "draining")
    });
    wait_until("ended", || deployment.state("p0", 2) == "none");
    assert!(started.elapsed() > Duration::from_millis(600), "not before the grace was over");
}
