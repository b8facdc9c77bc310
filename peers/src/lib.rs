//! Connects the state machines for membership and replication to the network; it makes no decisions itself. A host runs one
//! [`Peers`] in its event loop through [`PeerService`]. Optional: without it, a front behaves as if it had no peers.
mod auth;
mod row_log;

pub use auth::{Authenticator, RejectReason, MIN_KEY_LEN};

use rand::Rng;
use rockpick::{Front, RolloutStatus};
use rockpick_membership::{self as membership, Change, Membership, Ns, Record, Status, MS, SEC};
use rockpick_net::{Id, LogLimiter, Net};
use rockpick_replication::{self as replication, Build, Key, Notice, Peer, Phase, Replica, Row, Table};
use row_log::RowLog;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;

/// Most membership changes kept for display.
const MAX_CHANGES: usize = 200;
/// Log lines of one kind per second.
const LOG_LINES_PER_SECOND: u32 = 10;
/// Shortest and longest probe period that is accepted.
const PROBE_PERIODS: (Ns, Ns) = (20 * MS, 60 * SEC);

/// A front's configuration for its peers.
#[derive(Clone)]
pub struct Config {
    /// Seed addresses; these need not be reachable yet.
    pub join: Vec<SocketAddr>,
    pub listen: SocketAddr,
    /// The address that peers use, if it differs from the socket's (a relay, address translation).
    pub advertised: Option<SocketAddr>,
    pub key: Vec<u8>,
    pub probe_period: Ns,
    /// The file for builds and bindings, in case all fronts restart at once.
    pub row_log: Option<PathBuf>,
}

impl Config {
    /// # Errors
    /// The option with an invalid value.
    pub fn check(&self) -> Result<(), String> {
        Authenticator::new(&self.key).map_err(|why| format!("--peers-key: {why}"))?;
        if !(PROBE_PERIODS.0..=PROBE_PERIODS.1).contains(&self.probe_period) {
            return Err("--peers-period-ms: must be between 20 and 60000".into());
        }
        let advertised = self.advertised.unwrap_or(self.listen);
        if advertised.ip().is_unspecified() {
            return Err("--peers-listen: peers cannot reach an unspecified address; give a specific one, or --peers-at".into());
        }
        Ok(())
    }
}

/// Kind of a message; other kinds belong to later versions and are ignored.
const KIND_MEMBERSHIP: u8 = 0;
const KIND_REPLICATION: u8 = 1;

/// A member's id for replication, derived from its name so that it stays the same after a restart.
fn peer_id(name: &str) -> u64 {
    use std::hash::Hasher;
    let mut hash = replication::tables::Fnv::default();
    hash.write(name.as_bytes());
    hash.finish() | 1
}

/// Interface of a host's event loop to its peers.
pub trait PeerService {
    fn handle_datagram(&mut self, net: &mut Net, from: SocketAddr, bytes: &[u8]);
    fn handle_timer(&mut self, net: &mut Net);
    /// Sets the number of fronts in the settings and those in this front's own zone, which are asked for chunks first.
    fn set_fronts(&mut self, net: &mut Net, fronts: u32, same_zone: BTreeSet<String>);
    /// Announces that this process leaves.
    fn leave(&mut self, net: &mut Net);
    fn status(&self, now: Ns) -> Value;
    /// The counters alone, for the log.
    fn counts(&self) -> Value;
    /// Records a key that this front has bound.
    fn record_binding(&mut self, key: u64, build: u32);
    /// Merges the controller's statement on the newest build with what peers know, and returns the result for this front. Once
    /// any front has heard that a build is sent back, it stays so, whatever a delayed message or an outdated controller says,
    /// as build numbers only increase.
    fn merge_status(&mut self, status: RolloutStatus) -> RolloutStatus;
    /// Returns what peers have reported since the last call, if anything.
    fn take_updates(&mut self) -> Option<PeerUpdates>;
    /// Passes everything known to a new instance of the module.
    fn replay_to(&self, front: &mut Front);
    /// Returns a page of a table's rows, or `None` if the table's name or the start position is invalid.
    fn rows(&self, table: &str, from: Option<&str>) -> Option<Value>;
}

/// What peers have reported.
pub struct PeerUpdates {
    /// Keys, and the builds that have answered them.
    bound: Vec<(u64, u32)>,
    /// Whether all keys that any front knew are known here.
    keys_known: bool,
    /// Set if this front's newest build is sent back, to be passed to the module again.
    pub withdrawn: Option<RolloutStatus>,
}

impl PeerUpdates {
    pub fn apply_to(&self, front: &mut Front) {
        self.bound.iter().for_each(|(key, build)| front.key_bound_by_peer(*key, *build));
        front.set_keys_known(self.keys_known);
    }
}

/// Whether a build in this phase receives picks.
fn receives_picks(phase: rockpick::Phase) -> bool {
    matches!(phase, rockpick::Phase::OnTrial | rockpick::Phase::Released)
}

/// Most rows in one reply about a table.
const MAX_ROWS_PER_REPLY: usize = 1_000;

pub struct Peers {
    membership: Membership,
    replica: Replica,
    /// Addresses of the present members, by id.
    addresses: BTreeMap<u64, SocketAddr>,
    /// Ids of the members in this front's own zone.
    same_zone: BTreeSet<u64>,
    /// Keys bound by other fronts that have not been passed on yet.
    bound: Vec<(u64, u32)>,
    /// Builds withdrawn by other fronts that have not been passed on yet.
    withdrawn: Vec<u32>,
    /// The newest build's state as last passed to the module, and whether the module knows that all keys are known.
    status: Option<RolloutStatus>,
    keys_known: bool,
    row_log: Option<RowLog>,
    /// Keys whose rows are to be written to disk.
    unsaved: BTreeSet<Key>,
    conflicts: u64,
    auth: Authenticator,
    sock: Id,
    tag: u64,
    listen: SocketAddr,
    changes: Vec<(Ns, Change)>,
    log_limit: LogLimiter,
    /// Datagrams received and sent with their bytes, and those rejected.
    received: (u64, u64),
    sent: (u64, u64),
    rejected: u64,
}

impl Peers {
    /// Starts; timers of the event loop carry `tag`.
    ///
    /// # Errors
    /// The address cannot be bound, or the key is invalid.
    pub fn start(net: &mut Net, name: &str, fronts: u32, config: &Config, tag: u64) -> Result<Peers, String> {
        config.check()?;
        let named = |err: std::io::Error| format!("--peers-listen {}: {err}", config.listen);
        let (sock, listen) = net.datagrams(config.listen).map_err(named)?;
        let mut rng = rand::rng();
        let member = membership::Config {
            name: name.to_string(),
            address: config.advertised.unwrap_or(listen),
            instance: rng.random(),
            seed: rng.random(),
            join: config.join.clone(),
            expected_fronts: fronts,
        };
        let timing = membership::Timing {
            probe_period: config.probe_period,
            ack_timeout: config.probe_period / 2,
            sync_interval: 30 * config.probe_period,
            ..membership::Timing::default()
        };
        let mut peers = Peers {
            replica: Replica::new(member.instance, rng.random(), fronts),
            addresses: BTreeMap::new(),
            same_zone: BTreeSet::new(),
            bound: Vec::new(),
            withdrawn: Vec::new(),
            status: None,
            keys_known: false,
            row_log: None,
            unsaved: BTreeSet::new(),
            conflicts: 0,
            membership: Membership::new(member, timing),
            auth: Authenticator::new(&config.key)?,
            sock,
            tag,
            listen,
            changes: Vec::new(),
            log_limit: LogLimiter::new(LOG_LINES_PER_SECOND),
            received: (0, 0),
            sent: (0, 0),
            rejected: 0,
        };
        if let Some(file) = &config.row_log {
            let (rows, row_log) = RowLog::start(file.clone());
            tracing::info!(event = "row log loaded", rows = rows.len());
            rows.into_iter().for_each(|(key, row, dot)| peers.replica.restore(key, row, dot));
            peers.row_log = Some(row_log);
        }
        peers.handle_replication(net, replication::Event::Start);
        peers.handle_membership(net, membership::Event::Start);
        tracing::info!(event = "peers started", at = %listen, join = config.join.len());
        Ok(peers)
    }

    /// Marks keys as answered by a build, for measurements.
    #[doc(hidden)]
    pub fn preload_bindings(&mut self, keys: u64, build: u32) {
        for key in 0..keys {
            self.replica.update(Key::Bound(key), Row::Bound([build, 0]));
        }
        self.replica.set_expected_fronts(1);
    }

    fn handle_membership(&mut self, net: &mut Net, event: membership::Event) {
        let now = net.now();
        let mut notices = Vec::new();
        let (auth, sock, tag, sent) = (&self.auth, self.sock, self.tag, &mut self.sent);
        self.membership.handle(
            now,
            event,
            &mut NetActions { net, auth, sock, tag, sent, addresses: &self.addresses, notices: &mut notices },
        );
        if notices.is_empty() {
            return;
        }
        for change in notices {
            self.record_change(now, change);
        }
        let present = self.membership.others().filter(|r| r.is_present());
        self.addresses = present.map(|r| (peer_id(&r.name), r.address)).collect();
        self.update_peers(net);
    }

    fn update_peers(&mut self, net: &mut Net) {
        let peer = |id: &u64| Peer { id: *id, same_zone: self.same_zone.contains(id) };
        let peers: Vec<Peer> = self.addresses.keys().map(peer).collect();
        self.handle_replication(net, replication::Event::Peers(&peers));
    }

    fn handle_replication(&mut self, net: &mut Net, event: replication::Event) {
        let now = net.now();
        let mut notices = Vec::new();
        let (auth, sock, tag, sent) = (&self.auth, self.sock, self.tag, &mut self.sent);
        self.replica.handle(
            now,
            event,
            &mut NetActions { net, auth, sock, tag, sent, addresses: &self.addresses, notices: &mut notices },
        );
        for notice in notices {
            if let Notice::Updated(key, _) = notice {
                self.mark_unsaved(key);
            }
            match notice {
                Notice::Updated(Key::Bound(key), Row::Bound(builds)) => {
                    self.bound.extend(builds.iter().filter(|b| **b > 0).map(|build| (key, *build)));
                }
                Notice::Updated(Key::Build(build), Row::Build(row)) if row.withdrawn => {
                    self.withdrawn.push(build);
                }
                Notice::Updated(..) => {}
                Notice::Complete(table) => tracing::info!(event = "table complete", table = ?table),
                Notice::Conflict(key) => {
                    self.conflicts += 1;
                    if let Some(left_out) = self.log_limit.allow(now) {
                        tracing::warn!(event = "replicas conflict", key = ?key, left_out);
                    }
                }
            }
        }
    }

    fn replica_status(&self) -> Value {
        json!({
                "whole": replication::TABLES.iter().filter(|t| self.replica.is_complete(**t)).map(|t| format!("{t:?}")).collect::<Vec<_>>(),
                "rows": replication::TABLES.iter().map(|t| (format!("{t:?}"), json!(self.replica.store().len(*t)))).collect::<serde_json::Map<_, _>>(),
                "digests": replication::TABLES.iter().map(|t| (format!("{t:?}"), json!(format!("{:016x}", self.replica.store().table_digest(*t))))).collect::<serde_json::Map<_, _>>(),
                "learnt": self.replica.counters.updated, "differs": self.conflicts, "gave": self.replica.counters.chunks_served,
                "kept": self.row_log.as_ref().filter(|k| k.is_healthy()).map(|k| k.rows_on_disk.load(Ordering::Relaxed)),
                "busy": self.replica.counters.busy_replies, "refused": self.replica.counters.rejected })
    }

    fn mark_unsaved(&mut self, key: Key) {
        if self.row_log.is_some() && matches!(key.table(), Table::Builds | Table::Bindings) {
            self.unsaved.insert(key);
        }
    }

    /// Passes changed rows to the disk's thread.
    fn save_rows(&mut self) {
        let Some(row_log) = self.row_log.as_mut().filter(|_| !self.unsaved.is_empty()) else { return };
        let store = self.replica.store();
        let row = |key: &Key| store.row(key).map(|(row, dot)| (*key, row, dot));
        row_log.append(std::mem::take(&mut self.unsaved).iter().filter_map(row).collect());
    }

    fn record_change(&mut self, now: Ns, change: Change) {
        let (what, record) = change_name(&change);
        if let Some(left_out) = self.log_limit.allow(now) {
            tracing::info!(event = "peer", what, name = record.name, at = %record.address, turn = record.incarnation, left_out);
        }
        if self.changes.len() >= MAX_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push((now, change));
    }
}

/// Implements the actions of both state machines; `notices` collects what they report.
struct NetActions<'a, T> {
    net: &'a mut Net,
    auth: &'a Authenticator,
    sock: Id,
    tag: u64,
    sent: &'a mut (u64, u64),
    addresses: &'a BTreeMap<u64, SocketAddr>,
    notices: &'a mut Vec<T>,
}

impl<T> NetActions<'_, T> {
    fn send_datagram(&mut self, to: SocketAddr, kind: u8, bytes: &[u8]) {
        let sealed = self.auth.seal(&[&[kind], bytes].concat());
        self.sent.0 += 1;
        self.sent.1 += sealed.len() as u64;
        self.net.send_datagram(self.sock, to, &sealed);
    }
}

impl replication::Actions for NetActions<'_, Notice> {
    fn send(&mut self, to: u64, bytes: &[u8]) {
        if let Some(at) = self.addresses.get(&to).copied() {
            self.send_datagram(at, KIND_REPLICATION, bytes);
        }
    }

    fn wake_at(&mut self, at: Ns) {
        self.net.wake_at(at, self.tag);
    }

    fn notify(&mut self, notice: Notice) {
        self.notices.push(notice);
    }
}

impl membership::Actions for NetActions<'_, Change> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.send_datagram(to, KIND_MEMBERSHIP, bytes);
    }

    fn wake_at(&mut self, at: Ns) {
        self.net.wake_at(at, self.tag);
    }

    fn notify(&mut self, change: Change) {
        self.notices.push(change);
    }
}

impl PeerService for Peers {
    fn handle_datagram(&mut self, net: &mut Net, from: SocketAddr, bytes: &[u8]) {
        self.received.0 += 1;
        self.received.1 += bytes.len() as u64;
        match self.auth.verify(bytes) {
            Ok([KIND_MEMBERSHIP, message @ ..]) => {
                self.handle_membership(net, membership::Event::Datagram { from, bytes: message })
            }
            Ok([KIND_REPLICATION, message @ ..]) => {
                // Only from the address of a present member.
                let sender = self.addresses.iter().find(|(_, at)| **at == from).map(|(id, _)| *id);
                if let Some(from) = sender {
                    self.handle_replication(net, replication::Event::Message { from, bytes: message });
                }
            }
            Ok(_) => self.rejected += 1,
            Err(reason) => {
                self.rejected += 1;
                if let Some(left_out) = self.log_limit.allow(net.now()) {
                    tracing::warn!(event = "datagram rejected", from = %from, why = ?reason, left_out);
                }
            }
        }
    }

    fn handle_timer(&mut self, net: &mut Net) {
        self.handle_membership(net, membership::Event::Timer);
        self.handle_replication(net, replication::Event::Timer);
        self.save_rows();
    }

    fn set_fronts(&mut self, net: &mut Net, fronts: u32, same_zone: BTreeSet<String>) {
        self.membership.set_expected_fronts(fronts);
        self.replica.set_expected_fronts(fronts);
        self.same_zone = same_zone.iter().map(|name| peer_id(name)).collect();
        self.update_peers(net);
    }

    fn leave(&mut self, net: &mut Net) {
        self.handle_membership(net, membership::Event::Leave);
        self.save_rows();
    }

    fn record_binding(&mut self, key: u64, build: u32) {
        if self.replica.update(Key::Bound(key), Row::Bound([build, 0])) {
            self.mark_unsaved(Key::Bound(key));
        }
    }

    fn merge_status(&mut self, mut status: RolloutStatus) -> RolloutStatus {
        // The controller's statements carry no term yet: within a build stages only increase, and a release comes last.
        let row = Build {
            withdrawn: !receives_picks(status.phase),
            term: 0,
            serial: 0,
            phase: if status.phase == rockpick::Phase::Released { Phase::Released } else { Phase::OnTrial },
            stage: status.stage,
        };
        if self.replica.update(Key::Build(status.build), Row::Build(row)) {
            self.mark_unsaved(Key::Build(status.build));
        }
        if receives_picks(status.phase) && self.replica.is_withdrawn(status.build) {
            (status.phase, status.cap) = (rockpick::Phase::GoingBack, 0.0);
        }
        self.status = Some(status);
        status
    }

    fn take_updates(&mut self) -> Option<PeerUpdates> {
        let bound = std::mem::take(&mut self.bound);
        let keys_known = self.replica.is_complete(Table::Bindings);
        let known = std::mem::replace(&mut self.keys_known, keys_known);
        let gone = std::mem::take(&mut self.withdrawn);
        let withdrawn = self.status.filter(|s| receives_picks(s.phase) && gone.contains(&s.build));
        (!bound.is_empty() || keys_known != known || withdrawn.is_some()).then_some(PeerUpdates {
            bound,
            keys_known,
            withdrawn,
        })
    }

    fn replay_to(&self, front: &mut Front) {
        for (key, row) in self.replica.store().table(Table::Bindings) {
            if let (Key::Bound(key), Row::Bound(builds)) = (key, row) {
                builds.iter().filter(|b| **b > 0).for_each(|build| front.key_bound_by_peer(*key, *build));
            }
        }
        front.set_keys_known(self.keys_known);
    }

    fn rows(&self, table: &str, from: Option<&str>) -> Option<Value> {
        let table = replication::TABLES.into_iter().find(|t| format!("{t:?}").eq_ignore_ascii_case(table))?;
        let first = match from {
            Some(word) => Key::from_hex(word).filter(|key| key.table() == table)?,
            None => Key::first_of(table),
        };
        let mut rest = self.replica.store().rows_from(first);
        let row = |(key, row, dot): (&Key, &Row, &replication::Dot)| {
            json!({ "key": format!("{key:?}"), "row": format!("{row:?}"), "life": format!("{:016x}", dot.origin),
                "serial": dot.serial })
        };
        let rows: Vec<Value> = rest.by_ref().take(MAX_ROWS_PER_REPLY).map(row).collect();
        Some(
            json!({ "table": format!("{table:?}"), "rows": rows, "next": rest.next().map(|(key, ..)| key.to_hex()) }),
        )
    }

    fn counts(&self) -> Value {
        json!({ "there": self.membership.present_count(), "copies": self.replica_status(), "strange": self.rejected })
    }

    fn status(&self, now: Ns) -> Value {
        let row = |r: &Record| {
            json!({ "name": r.name, "at": r.address.to_string(), "life": format!("{:016x}", r.instance), "turn": r.incarnation,
                "status": status_name(r.status) })
        };
        let changes: Vec<Value> = self
            .changes
            .iter()
            .map(|(at, change)| {
                let (what, r) = change_name(change);
                json!({ "ago_ms": (now - at) / MS, "what": what, "name": r.name, "turn": r.incarnation })
            })
            .collect();
        json!({ "listen": self.listen.to_string(), "self": row(&self.membership.own_record()),
            "members": self.membership.others().map(row).collect::<Vec<_>>(),
            "there": self.membership.present_count(), "counted": self.membership.minimum_count(), "troubles": self.membership.health_penalty(),
            "refuted": self.membership.refutations, "odd": self.membership.invalid_messages, "strange": self.rejected,
            "heard": { "datagrams": self.received.0, "bytes": self.received.1 },
            "copies": self.replica_status(),
            "sent": { "datagrams": self.sent.0, "bytes": self.sent.1 }, "changes": changes })
    }
}

fn status_name(status: Status) -> &'static str {
    match status {
        Status::Alive => "alive",
        Status::Suspect => "suspect",
        Status::Gone => "gone",
        Status::Left => "left",
    }
}

fn change_name(change: &Change) -> (&'static str, &Record) {
    match change {
        Change::Present(r) => ("there", r),
        Change::Suspected(r) => ("suspected", r),
        Change::Gone(r) => ("gone", r),
        Change::Left(r) => ("left", r),
        Change::NameTaken(r) => ("name taken", r),
    }
}
