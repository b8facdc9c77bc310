//! The link to a directory against the stand-in one, on loopback: each fault that directories have, TLS with
//! good and bad certificates, and what callers see meanwhile.
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

/// Longest wait for anything: far beyond what any of it takes.
const LONGEST: Ns = 20 * SEC;

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

fn firm(n: usize, name: &str) -> Value {
    json!({ "uuid": id(n), "dn": format!("o={name},dc=x"),
        "attributes": { "objectClass": ["organization"], "o": [name] } })
}

fn user(n: usize, name: &str, firm: &str) -> Value {
    json!({ "uuid": id(n), "dn": format!("uid={name},o={firm},dc=x"),
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

    fn filled(self) -> Directory {
        let base = json!({ "uuid": id(9_999), "dn": "dc=x", "attributes": { "objectClass": ["domain"] } });
        let mut entries = vec![base];
        entries.extend((0..8).map(|n| firm(n, &format!("firm{n}"))));
        entries.push(user(100, "ann", "firm1"));
        self.post("/entries", entries.into());
        self
    }

    fn books(&self) -> DirectorySettings {
        DirectorySettings {
            base: "dc=x".into(),
            answer_within_ms: 300,
            poll_ms: 200,
            ..DirectorySettings::example(self.at)
        }
    }
}

struct Rig {
    net: Net,
    link: Link,
    keeper: DirectoryWorker,
}

impl Rig {
    fn new(books: DirectorySettings) -> Rig {
        assert_eq!(books.check(), []);
        let net = Net::new(1).unwrap();
        let keeper = DirectoryWorker::start(0, books.tenancy.clone(), None, None);
        Rig { net, link: Link::new(0, books, 1, 7).unwrap(), keeper }
    }

    /// Goes on until something is so.
    fn until(&mut self, what: &str, fits: impl Fn(&Rig) -> bool) {
        let by = self.net.clock() + LONGEST;
        let mut events: Vec<Event> = Vec::new();
        while !fits(self) {
            assert!(self.net.clock() < by, "{what}: {:?} {:?}", self.link.stats, self.keeper.status());
            self.net.turn(&mut events, 5 * MS).unwrap();
            for event in events.drain(..) {
                self.link.handle_event(&mut self.net, &self.keeper, &event);
            }
            self.link.tick(&mut self.net, &self.keeper);
            self.keeper.tick(self.net.now());
        }
    }

    fn whose(&self, principal: &str) -> Option<String> {
        let v = self.keeper.version();
        v.tenant_of(&Identity::Principal(principal.into()))
            .and_then(|t| v.tenant(t))
            .map(|t| t.name.to_string())
    }

    fn is(&self, principal: &str, tenant: &str) -> bool {
        self.whose(principal).as_deref() == Some(tenant)
    }
}

#[test]
fn changes_come_by_synchronisation_and_by_polls_and_go_on_after_a_reset() {
    for sync in [true, false] {
        let d = directory(false, false).filled();
        let mut rig = Rig::new(DirectorySettings { sync, page: 3, ..d.books() });
        rig.until("first content", |r| r.is("ann", "firm1"));
        assert_eq!((rig.keeper.version().len(), d.get("/status")["staying"] == 1), (8, sync));
        d.post("/entries", json!([user(101, "bob", "firm2"), firm(1, "renamed")]));
        rig.until("changes", |r| {
            r.is("bob", "firm2") && r.keeper.version().tenant_by_name(r.net.now(), "renamed").is_some()
        });
        assert!(
            rig.keeper.version().tenant_by_name(rig.net.now(), "firm1").is_some(),
            "the former name is good yet"
        );
        // Ann's entry still lies below the former DN: the tenant is no longer there.
        rig.until("moved", |r| r.whose("ann").is_none());
        d.post("/fault", json!({ "reset": true }));
        rig.until("lost", |r| !r.link.is_up_to_date());
        d.post("/remove", json!([id(101)]));
        assert!(rig.is("bob", "firm2"), "the last good copy stays");
        d.post("/fault", json!({}));
        rig.until("gone", |r| r.whose("bob").is_none() && r.link.is_up_to_date());
    }
}

#[test]
fn no_fault_of_a_directory_costs_the_last_good_copy_and_all_are_got_over() {
    let d = directory(false, false).filled();
    let mut rig = Rig::new(d.books());
    rig.until("first content", |r| r.is("ann", "firm1"));
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
        // The connection breaks, and the fault is met from the start.
        let (failed, refreshes) = (rig.link.stats.failed, rig.link.stats.refreshes);
        d.post("/fault", {
            let mut f = fault.clone();
            f["reset"] = true.into();
            f
        });
        rig.until("lost", |r| r.link.stats.failed > failed);
        d.post("/fault", fault.clone());
        let failed = rig.link.stats.failed;
        rig.until(&fault.to_string(), |r| {
            r.link.stats.failed > failed || r.link.stats.refreshes > refreshes && r.link.is_up_to_date()
        });
        assert!(rig.is("ann", "firm1") && rig.keeper.version().len() == 8, "{fault}");
        d.post("/fault", json!({}));
        let name = format!("u{i}");
        d.post("/entries", json!([user(200 + i, &name, "firm3")]));
        rig.until("back", |r| r.is(&name, "firm3") && r.link.is_up_to_date());
    }
}

#[test]
fn results_without_end_are_left_and_an_empty_directory_is_not_believed() {
    let d = directory(false, false).filled();
    let mut rig = Rig::new(d.books());
    rig.until("first content", |r| r.keeper.version().len() == 8);
    d.post("/fault", json!({ "reset": true }));
    rig.until("lost", |r| !r.link.is_up_to_date());
    d.post("/fault", json!({ "empty": true, "forget": true }));
    rig.until("suspected", |r| r.keeper.status().suspicion.is_some());
    assert_eq!(rig.keeper.version().len(), 8);
    rig.keeper.confirm(rig.net.now());
    rig.until("confirmed", |r| r.keeper.version().is_empty());
    d.post("/fault", json!({ "reset": true }));
    let failed = rig.link.stats.failed;
    rig.until("lost", |r| r.link.stats.failed > failed);
    d.post("/fault", json!({ "forget": true }));
    rig.until("back", |r| r.keeper.version().len() == 8);
}

#[test]
fn tls_is_made_with_the_right_certificates_alone() {
    for ldaps in [true, false] {
        let d = directory(ldaps, false).filled();
        let keys = d.get("/authority");
        let text = |name: &str| keys[name].as_str().unwrap().to_string();
        let books = DirectorySettings {
            servers: vec![Server { at: d.at, name: "books.test".into(), ldaps }],
            start_tls: !ldaps,
            authorities: text("authority"),
            ..d.books()
        };
        let external =
            Credentials::External { certificate: text("client_certificate"), key: text("client_key") };
        let simple =
            |password: &str| Credentials::Simple { dn: "cn=front,dc=x".into(), password: password.into() };
        for login in [Credentials::Anonymous, external, simple("geheim")] {
            let mut rig = Rig::new(DirectorySettings { login, ..books.clone() });
            rig.until("content over TLS", |r| r.is("ann", "firm1"));
        }
        let mut rig = Rig::new(DirectorySettings { login: simple("wrong"), ..books.clone() });
        rig.until("refused", |r| r.link.stats.last_error.contains("bind refused: 49"));
        let server = Server { at: d.at, name: "other.test".into(), ldaps };
        let mut rig = Rig::new(DirectorySettings { servers: vec![server], ..books.clone() });
        rig.until("another name", |r| r.link.stats.last_error.contains("certificate"));
        let stranger = directory(ldaps, false).get("/authority")["authority"].as_str().unwrap().to_string();
        let mut rig = Rig::new(DirectorySettings { authorities: stranger, ..books.clone() });
        rig.until("another authority", |r| r.link.stats.last_error.contains("certificate"));
        let old = directory(ldaps, true);
        let authorities = old.get("/authority")["authority"].as_str().unwrap().to_string();
        let servers = vec![Server { at: old.at, name: "books.test".into(), ldaps }];
        let mut rig = Rig::new(DirectorySettings { servers, authorities, ..books });
        rig.until("out of date", |r| r.link.stats.last_error.contains("expired"));
        assert!(rig.keeper.version().is_empty());
    }
}

#[test]
fn the_next_server_is_asked_where_the_first_is_gone() {
    let d = directory(false, false).filled();
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut books = d.books();
    books.servers.insert(0, Server { at: gone, name: String::new(), ldaps: false });
    let mut rig = Rig::new(books);
    rig.until("the second", |r| r.is("ann", "firm1"));
    assert_eq!((rig.link.server(), rig.link.stats.failed), (Some(d.at), 1));
}

/// The whole front: known callers are served from the last good copy, whether the directory is there or not,
/// and after a kill from the snapshot; unknown ones are pushed back untaken.
#[test]
fn a_killed_front_comes_up_with_its_tenants_while_the_directory_is_gone() {
    let d = directory(false, false).filled();
    let dir = tempfile::tempdir().unwrap();
    let controller = start(&["controller"]);
    let mut charter = Settings::example(1, 2);
    let unknown = rockpick_tenant::settings::UnknownCallersSetting::Refused;
    charter.directory = Some(DirectorySettings { unknown, ..d.books() });
    let put = call(controller.at, "PUT", "/settings", &serde_json::to_string(&charter).unwrap()).unwrap();
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
    let answer = |front: SocketAddr, who: &str| -> String {
        use std::io::{Read, Write};
        let mut io = std::net::TcpStream::connect(front).unwrap();
        let head = format!("POST /rpc/lookup HTTP/1.1\r\nHost: x\r\nConnection: close\r\nRockpick-Principal: {who}\r\nContent-Length: 2\r\n\r\n{{}}");
        io.write_all(head.as_bytes()).unwrap();
        let mut text = String::new();
        let _ = io.read_to_string(&mut text);
        header_value(&text, "rockpick-answer")
    };
    let first = front(controller.at, &["--state", &state]);
    wait_until("ann is known", || answer(first.at, "ann") == "ok");
    assert_eq!(answer(first.at, "*)(uid=*"), "pushed-back");
    let file = dir.path().join("f0.tenants.json");
    wait_until("the copy is kept", || file.exists());
    wait_until("the front's own snapshot", || dir.path().join("f0.json").exists());
    d.post("/fault", json!({ "reset": true }));
    wait_until("served without a directory", || answer(first.at, "ann") == "ok");
    drop(first);
    let second = front(controller.at, &["--state", &state]);
    wait_until("known from the copy", || answer(second.at, "ann") == "ok");
    assert_eq!(answer(second.at, "eve"), "pushed-back");
    let status: Value = serde_json::from_slice(&call(second.at, "GET", "/status", "").unwrap().body).unwrap();
    assert_eq!(
        (&status["directory"]["settled"], &status["directory"]["tenants"]),
        (&json!(false), &json!(8))
    );
    assert!(status["directory"]["age_ms"].as_f64().unwrap() > 0.0);
    // A copy that makes no sense costs the tenants until the directory is back, not the front.
    drop(second);
    std::fs::write(&file, b"{ half").unwrap();
    let third = front(controller.at, &["--state", &state]);
    wait_until("up without tenants", || answer(third.at, "ann") == "pushed-back");
    d.post("/fault", json!({}));
    wait_until("known again", || answer(third.at, "ann") == "ok");
}
