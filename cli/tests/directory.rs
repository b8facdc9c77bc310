//! The connection to a directory, tested against the stand-in server on loopback: the server's faults, TLS with valid
//! and invalid certificates, and the effect on callers.
mod peers;

use peers::*;
use rockpick_control::Settings;
use rockpick_fakes::DirectoryServer;
use rockpick_net::{Event, Net, Ns, MS, SEC};
use rockpick_rehearse::call;
use rockpick_tenant::settings::{Credentials, Server};
use rockpick_tenant::{DirectorySettings, DirectoryWorker, Identity, Link};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::mpsc;

/// Timeout of every wait, far longer than any of them takes.
const TIMEOUT: Ns = 20 * SEC;

struct Directory {
    at: SocketAddr,
    control: SocketAddr,
}

fn directory(ldaps: bool, expired: bool) -> Directory {
    let (to, from) = mpsc::channel();
    std::thread::spawn(move || {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let accounts = vec![("cn=front,dc=x".to_string(), "geheim".to_string())];
        let server = DirectoryServer {
            listen: any,
            control: any,
            ldaps,
            name: "books.test".into(),
            expired,
            accounts,
        };
        server.run(|at, control| to.send((at, control)).unwrap()).unwrap();
    });
    let (at, control) = from.recv().unwrap();
    Directory { at, control }
}

fn id(n: usize) -> String {
    format!("{n:08x}-0000-0000-0000-000000000000")
}

fn tenant(n: usize, name: &str) -> Value {
    json!({ "uuid": id(n), "dn": format!("o={name},dc=x"),
        "attributes": { "objectClass": ["organization"], "o": [name] } })
}

fn user(n: usize, name: &str, tenant: &str) -> Value {
    json!({ "uuid": id(n), "dn": format!("uid={name},o={tenant},dc=x"),
        "attributes": { "objectClass": ["person"], "uid": [name] } })
}

impl Directory {
    fn post(&self, path: &str, body: Value) {
        let answer = call(self.control, "POST", path, &body.to_string()).unwrap();
        assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    }

    fn get(&self, path: &str) -> Value {
        serde_json::from_slice(&call(self.control, "GET", path, "").unwrap().body).unwrap()
    }

    fn with_entries(self) -> Directory {
        let base = json!({ "uuid": id(9_999), "dn": "dc=x", "attributes": { "objectClass": ["domain"] } });
        let mut entries = vec![base];
        entries.extend((0..8).map(|n| tenant(n, &format!("firm{n}"))));
        entries.push(user(100, "ann", "firm1"));
        self.post("/entries", entries.into());
        self
    }

    fn settings(&self) -> DirectorySettings {
        DirectorySettings {
            base: "dc=x".into(),
            answer_within_ms: 300,
            poll_ms: 200,
            ..DirectorySettings::example(self.at)
        }
    }
}

struct LinkHarness {
    net: Net,
    link: Link,
    worker: DirectoryWorker,
}

impl LinkHarness {
    fn new(settings: DirectorySettings) -> LinkHarness {
        assert_eq!(settings.check(), []);
        let net = Net::new(1).unwrap();
        let worker = DirectoryWorker::start(0, settings.tenancy.clone(), None, None);
        LinkHarness { net, link: Link::new(0, settings, 1, 7).unwrap(), worker }
    }

    /// Runs the event loop until `condition` holds.
    fn until(&mut self, what: &str, condition: impl Fn(&LinkHarness) -> bool) {
        let deadline = self.net.clock() + TIMEOUT;
        let mut events: Vec<Event> = Vec::new();
        while !condition(self) {
            assert!(self.net.clock() < deadline, "{what}: {:?} {:?}", self.link.stats, self.worker.status());
            self.net.turn(&mut events, 5 * MS).unwrap();
            for event in events.drain(..) {
                self.link.handle_event(&mut self.net, &self.worker, &event);
            }
            self.link.tick(&mut self.net, &self.worker);
            self.worker.tick(self.net.now());
        }
    }

    fn tenant_name(&self, principal: &str) -> Option<String> {
        let v = self.worker.version();
        v.tenant_of(&Identity::Principal(principal.into()))
            .and_then(|t| v.tenant(t))
            .map(|t| t.name.to_string())
    }

    fn has_tenant(&self, principal: &str, tenant: &str) -> bool {
        self.tenant_name(principal).as_deref() == Some(tenant)
    }
}

#[test]
fn changes_arrive_by_synchronization_and_by_polling_also_after_a_reset() {
    for sync in [true, false] {
        let d = directory(false, false).with_entries();
        let mut harness = LinkHarness::new(DirectorySettings { sync, page: 3, ..d.settings() });
        harness.until("first content", |r| r.has_tenant("ann", "firm1"));
        assert_eq!((harness.worker.version().len(), d.get("/status")["staying"] == 1), (8, sync));
        d.post("/entries", json!([user(101, "bob", "firm2"), tenant(1, "renamed")]));
        harness.until("changes", |r| {
            r.has_tenant("bob", "firm2")
                && r.worker.version().tenant_by_name(r.net.now(), "renamed").is_some()
        });
        assert!(
            harness.worker.version().tenant_by_name(harness.net.now(), "firm1").is_some(),
            "the former name is no longer valid"
        );
        // Ann's entry is still below the tenant's former DN, where there is no tenant now.
        harness.until("moved", |r| r.tenant_name("ann").is_none());
        d.post("/fault", json!({ "reset": true }));
        harness.until("lost", |r| !r.link.is_up_to_date());
        d.post("/remove", json!([id(101)]));
        assert!(harness.has_tenant("bob", "firm2"), "the last good version was dropped");
        d.post("/fault", json!({}));
        harness.until("gone", |r| r.tenant_name("bob").is_none() && r.link.is_up_to_date());
    }
}

#[test]
fn directory_faults_keep_the_last_good_version_and_are_recovered_from() {
    let d = directory(false, false).with_entries();
    let mut harness = LinkHarness::new(d.settings());
    harness.until("first content", |r| r.has_tenant("ann", "firm1"));
    let faults = [
        json!({ "silent": true }),
        json!({ "half": true }),
        json!({ "wrong_ids": true }),
        json!({ "refuse": true }),
        json!({ "forget": true }),
        json!({ "size_limit": 2, "no_sync": true }),
        json!({ "slow_ms": 600 }),
    ];
    for (i, fault) in faults.into_iter().enumerate() {
        d.post("/fault", fault.clone());
        // Resets the connection, so that the next one meets the fault from its start.
        let (failed, refreshes) = (harness.link.stats.failed, harness.link.stats.refreshes);
        d.post("/fault", {
            let mut f = fault.clone();
            f["reset"] = true.into();
            f
        });
        harness.until("lost", |r| r.link.stats.failed > failed);
        d.post("/fault", fault.clone());
        let failed = harness.link.stats.failed;
        harness.until(&fault.to_string(), |r| {
            r.link.stats.failed > failed || r.link.stats.refreshes > refreshes && r.link.is_up_to_date()
        });
        assert!(harness.has_tenant("ann", "firm1") && harness.worker.version().len() == 8, "{fault}");
        d.post("/fault", json!({}));
        let name = format!("u{i}");
        d.post("/entries", json!([user(200 + i, &name, "firm3")]));
        harness.until("back", |r| r.has_tenant(&name, "firm3") && r.link.is_up_to_date());
    }
}

#[test]
fn empty_directory_is_held_back_until_confirmed() {
    let d = directory(false, false).with_entries();
    let mut harness = LinkHarness::new(d.settings());
    harness.until("first content", |r| r.worker.version().len() == 8);
    d.post("/fault", json!({ "reset": true }));
    harness.until("lost", |r| !r.link.is_up_to_date());
    d.post("/fault", json!({ "empty": true, "forget": true }));
    harness.until("suspected", |r| r.worker.status().suspicion.is_some());
    assert_eq!(harness.worker.version().len(), 8);
    harness.worker.confirm(harness.net.now());
    harness.until("confirmed", |r| r.worker.version().is_empty());
    d.post("/fault", json!({ "reset": true }));
    let failed = harness.link.stats.failed;
    harness.until("lost", |r| r.link.stats.failed > failed);
    d.post("/fault", json!({ "forget": true }));
    harness.until("back", |r| r.worker.version().len() == 8);
}

#[test]
fn tls_accepts_only_valid_certificates() {
    for ldaps in [true, false] {
        let d = directory(ldaps, false).with_entries();
        let pem = d.get("/authority");
        let text = |name: &str| pem[name].as_str().unwrap().to_string();
        let settings = DirectorySettings {
            servers: vec![Server { at: d.at, name: "books.test".into(), ldaps }],
            start_tls: !ldaps,
            authorities: text("authority"),
            ..d.settings()
        };
        let external =
            Credentials::External { certificate: text("client_certificate"), key: text("client_key") };
        let simple =
            |password: &str| Credentials::Simple { dn: "cn=front,dc=x".into(), password: password.into() };
        for login in [Credentials::Anonymous, external, simple("geheim")] {
            let mut harness = LinkHarness::new(DirectorySettings { login, ..settings.clone() });
            harness.until("content over TLS", |r| r.has_tenant("ann", "firm1"));
        }
        let mut harness = LinkHarness::new(DirectorySettings { login: simple("wrong"), ..settings.clone() });
        harness.until("refused", |r| r.link.stats.last_error.contains("bind refused: 49"));
        let server = Server { at: d.at, name: "other.test".into(), ldaps };
        let mut harness = LinkHarness::new(DirectorySettings { servers: vec![server], ..settings.clone() });
        harness.until("another name", |r| r.link.stats.last_error.contains("certificate"));
        let other_authority =
            directory(ldaps, false).get("/authority")["authority"].as_str().unwrap().to_string();
        let mut harness =
            LinkHarness::new(DirectorySettings { authorities: other_authority, ..settings.clone() });
        harness.until("another authority", |r| r.link.stats.last_error.contains("certificate"));
        let expired = directory(ldaps, true);
        let authorities = expired.get("/authority")["authority"].as_str().unwrap().to_string();
        let servers = vec![Server { at: expired.at, name: "books.test".into(), ldaps }];
        let mut harness = LinkHarness::new(DirectorySettings { servers, authorities, ..settings });
        harness.until("out of date", |r| r.link.stats.last_error.contains("expired"));
        assert!(harness.worker.version().is_empty());
    }
}

#[test]
fn next_server_is_used_if_the_first_is_unreachable() {
    let d = directory(false, false).with_entries();
    let unreachable = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut settings = d.settings();
    settings.servers.insert(0, Server { at: unreachable, name: String::new(), ldaps: false });
    let mut harness = LinkHarness::new(settings);
    harness.until("the second", |r| r.has_tenant("ann", "firm1"));
    assert_eq!((harness.link.server(), harness.link.stats.failed), (Some(d.at), 1));
}

/// A front serves known callers from the last good version while the directory is unreachable, and from its snapshot
/// after a kill; it pushes back unknown callers.
#[test]
fn killed_front_restores_its_tenants_without_the_directory() {
    let d = directory(false, false).with_entries();
    let dir = tempfile::tempdir().unwrap();
    let controller = start(&["controller"]);
    let mut settings = Settings::example(1, 2);
    let unknown = rockpick_tenant::settings::UnknownCallersSetting::Refused;
    settings.directory = Some(DirectorySettings { unknown, ..d.settings() });
    let put = call(controller.at, "PUT", "/settings", &serde_json::to_string(&settings).unwrap()).unwrap();
    assert_eq!(put.status, 200, "{}", String::from_utf8_lossy(&put.body));
    let at = controller.at.to_string();
    let _machine = start(&[
        "machine",
        "--controller",
        &at,
        "--name",
        "p0..1",
        "--place",
        "p0",
        "--build",
        "1",
        "--warm",
    ]);
    let state = dir.path().to_string_lossy().into_owned();
    let outcome = |front: SocketAddr, principal: &str| -> String {
        use std::io::{Read, Write};
        let mut io = std::net::TcpStream::connect(front).unwrap();
        let head = format!("POST /rpc/lookup HTTP/1.1\r\nHost: x\r\nConnection: close\r\nRockpick-Principal: {principal}\r\nContent-Length: 2\r\n\r\n{{}}");
        io.write_all(head.as_bytes()).unwrap();
        let mut text = String::new();
        let _ = io.read_to_string(&mut text);
        header_value(&text, "rockpick-answer")
    };
    let first = front(controller.at, &["--state", &state]);
    wait_until("ann is known", || outcome(first.at, "ann") == "ok");
    assert_eq!(outcome(first.at, "*)(uid=*"), "pushed-back");
    let file = dir.path().join("f0.tenants.json");
    wait_until("the tenants are saved", || file.exists());
    wait_until("the front's own snapshot", || dir.path().join("f0.json").exists());
    d.post("/fault", json!({ "reset": true }));
    wait_until("served without a directory", || outcome(first.at, "ann") == "ok");
    drop(first);
    let second = front(controller.at, &["--state", &state]);
    wait_until("known from the snapshot", || outcome(second.at, "ann") == "ok");
    assert_eq!(outcome(second.at, "eve"), "pushed-back");
    let status: Value = serde_json::from_slice(&call(second.at, "GET", "/status", "").unwrap().body).unwrap();
    assert_eq!(
        (&status["directory"]["settled"], &status["directory"]["tenants"]),
        (&json!(false), &json!(8))
    );
    assert!(status["directory"]["age_ms"].as_f64().unwrap() > 0.0);
    // With a corrupt snapshot the front starts without tenants until the directory is back.
    drop(second);
    std::fs::write(&file, b"{ half").unwrap();
    let third = front(controller.at, &["--state", &state]);
    wait_until("up without tenants", || outcome(third.at, "ann") == "pushed-back");
    d.post("/fault", json!({}));
    wait_until("known again", || outcome(third.at, "ann") == "ok");
}
