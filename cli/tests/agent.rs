//! The agent with a real controller, repository and processes: what must never start, and what must end.
mod peers;

use peers::*;
use rockpick_control::Charter;
use serde_json::Value;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Yard {
    dir: tempfile::TempDir,
    controller: Option<Proc>,
    at: std::net::SocketAddr,
    agents: Vec<Child>,
}

impl Drop for Yard {
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

impl Yard {
    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn text(&self, name: &str) -> String {
        self.path(name).to_string_lossy().into_owned()
    }

    /// A repository with some builds, and a controller that serves it.
    fn begin(places: usize, builds: &[(u32, &str)]) -> Yard {
        let at = "127.0.0.1:0".parse().unwrap();
        let mut yard = Yard { dir: tempfile::tempdir().unwrap(), controller: None, at, agents: Vec::new() };
        let (repo, keys) = (yard.text("repo"), yard.text("keys"));
        assert!(rockpick(&["repo", "init", "--dir", &repo, "--keys", &keys]).status.success());
        builds.iter().for_each(|(build, more)| yard.add(*build, more));
        yard.control();
        let mut charter = Charter::example(1, places);
        charter.guard.drain_grace_ms = 300;
        charter.methods.iter_mut().for_each(|m| (m.soft_deadline_ms, m.deadline_ms) = (200, 400));
        let settings = serde_json::to_string(&charter).unwrap();
        assert_eq!(rockpick_rehearse::call(yard.at, "PUT", "/settings", &settings).unwrap().status, 200);
        yard
    }

    fn control(&mut self) {
        let (state, repo, at) = (self.text("control"), self.text("repo"), self.at.to_string());
        self.controller = Some(start(&["controller", "--state", &state, "--repo", &repo, "--listen", &at]));
        self.at = self.controller.as_ref().unwrap().at;
    }

    /// Each build writes a line to `ran` when it starts; `more` runs before it serves.
    fn add(&self, build: u32, more: &str) {
        let artefact = self.path("artefact");
        let script = format!(
            "#!/bin/sh\necho $ROCKPICK_NAME >> \"$YARD/ran\"\n{more}\nexec \"$ROCKPICK_PROGRAM\" machine --agent \
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

    fn agent(&mut self, place: &str) {
        let (root, state) = (self.text("repo/metadata/1.root.json"), self.text(&format!("agent-{place}")));
        let at = self.at.to_string();
        let args = ["agent", "--machine", place, "--controller", &at, "--state", &state, "--root", &root];
        let child = Command::new(env!("CARGO_BIN_EXE_rockpick"))
            .args(args)
            .args(["--take-down", "--rate", "1e8"])
            .env("ROCKPICK_PROGRAM", env!("CARGO_BIN_EXE_rockpick"))
            .env("YARD", self.dir.path())
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

    /// The state of a build as the place's agent tells it.
    fn state(&self, place: &str, build: u32) -> String {
        let status = self.status();
        let agents = status["agents"].as_array().unwrap();
        let builds = agents.iter().find(|a| a["place"] == place).and_then(|a| a["builds"].as_array());
        let found = builds.and_then(|b| b.iter().find(|b| b["build"] == build).cloned());
        found.map_or("none".into(), |b| b["state"].as_str().unwrap().to_string())
    }

    fn ran(&self) -> Vec<String> {
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
fn a_corrupt_or_unsigned_build_never_starts_and_the_place_is_told_of_as_unfit() {
    let mut yard = Yard::begin(2, &[(1, ""), (2, "")]);
    let target = targets(&yard.path("repo"), "build-2");
    let mut bytes = fs::read(&target).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&target, &bytes).unwrap();
    yard.agent("p0");
    yard.agent("p1");
    wait_until("build 1 serves", || ["p0", "p1"].iter().all(|p| yard.state(p, 1) == "serving"));
    assert_eq!(yard.post("/builds", "{\"build\":2}"), 201);
    wait_until("the first place is unfit", || {
        yard.state("p0", 2) == "failed" && yard.log("p0").contains("its hash")
    });
    // The other place takes its turn, and fails likewise; the stage does not move.
    wait_until("the second place tries", || yard.state("p1", 2) == "failed");
    assert_eq!(yard.status()["stage"]["stage"], 0);
    assert_eq!(yard.post("/builds", "{\"build\":3}"), 201);
    wait_until("a build that nobody signed is refused", || {
        yard.log("p0").contains("build-3: not signed for")
            || yard.log("p1").contains("build-3: not signed for")
    });
    let ran = yard.ran();
    assert!(ran.iter().all(|name| name.ends_with("..1")), "{ran:?}");
    assert!(["p0", "p1"].iter().all(|p| yard.state(p, 1) == "serving"), "the earlier build serves on");
}

#[test]
fn an_artefact_changed_on_disk_is_not_started_again() {
    let mut yard = Yard::begin(1, &[(1, "")]);
    yard.agent("p0");
    wait_until("build 1 serves", || yard.state("p0", 1) == "serving");
    let artefact = yard.path("agent-p0/artefacts/build-1");
    fs::set_permissions(&artefact, fs::Permissions::from_mode(0o700)).unwrap();
    let text = fs::read_to_string(&artefact).unwrap();
    fs::write(&artefact, text.replace("echo $ROCKPICK_NAME", "echo intruder")).unwrap();
    let pid: i32 = fs::read_to_string(yard.path("agent-p0/runs/1.pid")).unwrap().trim().parse().unwrap();
    rustix::process::kill_process(
        rustix::process::Pid::from_raw(pid).unwrap(),
        rustix::process::Signal::KILL,
    )
    .unwrap();
    wait_until("it has been fetched anew and serves", || {
        yard.ran().len() == 2 && yard.state("p0", 1) == "serving"
    });
    assert_eq!(yard.ran(), ["p0..1", "p0..1"]);
    assert!(yard.log("p0").contains("changed on disk"));
}

#[test]
fn a_rollback_in_mid_start_reaches_an_agent_that_was_away_and_ends_within_thirty_seconds() {
    // Build 2 takes its time before it listens.
    let mut yard = Yard::begin(2, &[(1, ""), (2, "sleep 8")]);
    yard.agent("p0");
    yard.agent("p1");
    wait_until("build 1 serves", || ["p0", "p1"].iter().all(|p| yard.state(p, 1) == "serving"));
    yard.post("/builds", "{\"build\":2}");
    wait_until("build 2 is starting", || yard.ran().iter().any(|r| r.ends_with("..2")));
    let away = if yard.ran().contains(&"p0..2".to_string()) { 0 } else { 1 };
    let place = ["p0", "p1"][away];
    yard.agents[away].kill().unwrap();
    yard.agents[away].wait().unwrap();
    let pid: i32 =
        fs::read_to_string(yard.path(&format!("agent-{place}/runs/2.pid"))).unwrap().trim().parse().unwrap();
    let began = Instant::now();
    assert_eq!(yard.post("/builds/2/back", ""), 200);
    yard.agent(place);
    wait_until("its process has ended", || !Path::new(&format!("/proc/{pid}/stat")).exists());
    wait_until("nothing is left of it", || yard.state(place, 2) == "none");
    assert!(began.elapsed() < Duration::from_secs(30));
    wait_until("withdrawn", || yard.status()["stage"]["phase"] == "withdrawn");
    assert_eq!(yard.state(place, 1), "serving", "found again, and left alone");
    assert_eq!(yard.ran().iter().filter(|r| r.ends_with("..1")).count(), 2, "it was not started twice");
}

#[test]
fn expired_and_rolled_back_manifests_in_mid_stage_stop_the_new_build_alone() {
    let mut yard = Yard::begin(1, &[(1, "")]);
    let metadata = yard.path("repo/metadata");
    let old = fs::read(metadata.join("timestamp.json")).unwrap();
    yard.agent("p0");
    wait_until("build 1 serves", || yard.state("p0", 1) == "serving");
    yard.add(2, "");
    let new = fs::read(metadata.join("timestamp.json")).unwrap();
    yard.post("/builds", "{\"build\":2}");
    wait_until("build 2 serves", || yard.state("p0", 2) == "serving");
    // The repository goes back to what it was before build 2; build 3 is offered.
    fs::write(metadata.join("timestamp.json"), &old).unwrap();
    yard.post("/builds", "{\"build\":3}");
    wait_until("the rollback is refused", || yard.log("p0").contains("rolled back"));
    fs::write(metadata.join("timestamp.json"), &new).unwrap();
    yard.add(3, "");
    wait_until("build 3 serves", || yard.state("p0", 3) == "serving");
    assert_eq!(yard.state("p0", 1), "serving");
    let ran = yard.ran();
    assert_eq!(ran.iter().filter(|r| r.ends_with("..1")).count(), 1, "{ran:?}");
}

#[test]
fn drains_run_in_order_and_a_restarted_controller_orders_nothing_it_does_not_know() {
    let mut yard = Yard::begin(1, &[(1, ""), (2, "")]);
    yard.agent("p0");
    wait_until("build 1 serves", || yard.state("p0", 1) == "serving");
    yard.post("/builds", "{\"build\":2}");
    wait_until("build 2 serves", || yard.state("p0", 2) == "serving");
    let generation = yard.status()["generation"].as_u64().unwrap();
    yard.controller = None;
    yard.control();
    wait_until("both are known again", || {
        let up = yard.status()["machines"].as_array().unwrap().iter().filter(|m| m["state"] == "up").count();
        up == 2
    });
    assert!(yard.status()["generation"].as_u64().unwrap() >= generation);
    assert_eq!(yard.ran().len(), 2, "nothing was ended or started anew");
    let began = Instant::now();
    assert_eq!(yard.post("/builds/2/back", ""), 200);
    wait_until("told as draining before it ends", || {
        let status = yard.status();
        let m = status["machines"].as_array().unwrap().iter().find(|m| m["name"] == "p0..2").cloned();
        m.is_some_and(|m| m["state"] == "draining")
    });
    wait_until("ended", || yard.state("p0", 2) == "none");
    assert!(began.elapsed() > Duration::from_millis(600), "not before the grace was over");
}
