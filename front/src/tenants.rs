//! Tenants at a front: the connection to the directory, the worker that builds directory versions, and the limits.
//! RPCs read the current version without waiting; admission is decided in `rockpick_tenant::limit`.
use rockpick_control::{atomic_file, Settings};
use rockpick_ldap::message::{format_uuid, parse_uuid};
use rockpick_net::http::Request;
use rockpick_net::{Event, Net, Ns, MS};
use rockpick_tenant::limit::{UsageCounts, UNKNOWN};
use rockpick_tenant::model::{DirectorySnapshot, Id};
use rockpick_tenant::{DirectorySettings, DirectoryWorker, Identity, Limits, Link, Tenants};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Maximum number of rows sent to the controller at once; the tenants with the most requests come first.
const MAX_SUM_ROWS: usize = 4_096;
/// Maximum number of tenants in a status.
const MAX_STATUS_ROWS: usize = 100;

pub struct TenantService {
    directory: DirectorySettings,
    fronts: usize,
    utilities: Vec<f64>,
    pub link: Link,
    worker: DirectoryWorker,
    limits: Limits,
}

/// The directory data, stored in a file beside the front's snapshot.
#[derive(Serialize, Deserialize)]
struct StoredTenants {
    directory: DirectorySnapshot,
    /// Wall clock time in milliseconds, used only to tell the age of the file.
    saved_ms: u64,
}

fn snapshot_path(state: &Option<PathBuf>, name: &str) -> Option<PathBuf> {
    state.as_ref().map(|dir| dir.join(format!("{name}.tenants.json")))
}

fn load(file: &Path) -> Option<(DirectorySnapshot, u64)> {
    let text = match atomic_file::load_checked(file) {
        Ok(text) => text?,
        Err(err) => {
            tracing::error!(event = "tenants' snapshot not read", file = %file.display(), why = %err);
            return None;
        }
    };
    match serde_json::from_slice::<StoredTenants>(&text) {
        Ok(file) => Some((file.directory, crate::snapshot::wall_ms().saturating_sub(file.saved_ms))),
        // The directory has the data, and a front must start without the file.
        Err(err) => {
            tracing::error!(event = "tenants' snapshot not read", file = %file.display(), why = %err);
            None
        }
    }
}

fn utilities(settings: &Settings) -> Vec<f64> {
    settings.methods.iter().map(|m| m.utility).collect()
}

impl TenantService {
    /// Starts the tenant service if the settings name a directory.
    pub fn new(
        now: Ns, settings: &Settings, name: &str, state: &Option<PathBuf>, seed: u64,
    ) -> Option<TenantService> {
        let directory = settings.directory.clone()?;
        let fronts = settings.fronts.len();
        let link = Link::new(now, directory.clone(), fronts, seed)
            .map_err(|why| tracing::error!(event = "no directory", why))
            .ok()?;
        let file = snapshot_path(state, name);
        let kept = file.as_ref().and_then(|f| load(f));
        let save = file.map(|file| -> rockpick_tenant::worker::SaveSnapshot {
            Box::new(move |kept| {
                let stored = StoredTenants { directory: kept.clone(), saved_ms: crate::snapshot::wall_ms() };
                let text = serde_json::to_vec(&stored).map_err(std::io::Error::other);
                let done =
                    text.and_then(|text| atomic_file::replace(&file, &atomic_file::add_checksum(text)));
                if let Err(err) = &done {
                    tracing::error!(event = "tenants not kept", file = %file.display(), why = %err);
                }
                done.is_ok()
            })
        });
        let worker = DirectoryWorker::start(now, directory.tenancy.clone(), kept, save);
        let limits = Limits::new(now, fronts, directory.unknown_callers(), utilities(settings));
        Some(TenantService { utilities: utilities(settings), directory, fronts, link, worker, limits })
    }

    /// Whether other settings leave the tenant service as it is.
    pub fn matches_settings(&self, settings: &Settings) -> bool {
        settings.directory.as_ref() == Some(&self.directory)
            && settings.fronts.len() == self.fronts
            && utilities(settings) == self.utilities
    }

    /// Closes the directory session and saves a last snapshot.
    pub fn shut_down(mut self, net: &mut Net) {
        self.link.close(net, &self.worker);
        if !self.worker.stop(net.now()) {
            tracing::error!(event = "tenants not kept", why = "the disk does not answer");
        }
    }

    /// Returns true if the event belongs to the directory connection.
    pub fn handle_event(&mut self, net: &mut Net, event: &Event) -> bool {
        self.link.handle_event(net, &self.worker, event)
    }

    pub fn tick(&mut self, net: &mut Net) {
        self.link.tick(net, &self.worker);
        self.worker.tick(net.now());
    }

    /// Finds the tenant of an RPC by its API key, its principal, or the tenant that it names.
    fn identify_tenant(&self, now: Ns, tenants: &Tenants, request: &Request) -> Option<Id> {
        let header = |name: &str| request.headers.get(name);
        // A presented API key decides alone: an unknown key never falls back to the other headers.
        if let Some(key) = header("authorization").and_then(|a| a.strip_prefix("Bearer ")) {
            return tenants.tenant_of(&Identity::from_key(key.trim().as_bytes()));
        }
        match header("rockpick-principal") {
            Some(principal) => tenants.tenant_of(&Identity::Principal(principal.into())),
            None => header("rockpick-tenant").and_then(|name| tenants.tenant_by_name(now, name)),
        }
    }

    /// Admits an RPC and returns the tenant that it counts for.
    ///
    /// # Errors
    /// The time to wait before a retry.
    pub fn admit(&mut self, now: Ns, request: &Request, method: usize) -> Result<Id, Ns> {
        let tenants: Arc<Tenants> = self.worker.version();
        let tenant = self.identify_tenant(now, &tenants, request);
        self.limits.admit(now, &tenants, tenant, method)
    }

    pub fn finished(&mut self, now: Ns, id: Id, served: bool) {
        self.limits.finish(now, id, served);
    }

    /// Usage sums for the controller, by entryUUID.
    pub fn usage_sums(&mut self) -> Vec<Value> {
        let tenants = self.worker.version();
        let mut rows = self.limits.take_counts();
        rows.sort_by_key(|(id, s)| (std::cmp::Reverse(s[0]), *id));
        rows.truncate(MAX_SUM_ROWS);
        let name = |id: Id| match tenants.tenant(id) {
            Some(t) => Some(format_uuid(&t.uuid)),
            None => (id == UNKNOWN).then(|| "unknown".to_string()),
        };
        rows.into_iter().filter_map(|(id, [a, s, r])| Some(json!([name(id)?, a, s, r]))).collect()
    }

    /// Applies the sums over all fronts that the controller sends.
    pub fn apply_sums(&mut self, now: Ns, message: &Value) {
        let tenants = self.worker.version();
        let span = message["span_ms"].as_f64().unwrap_or(0.0).clamp(1.0, 1e9) * MS as f64;
        let empty = Vec::new();
        let rows = message["rows"].as_array().unwrap_or(&empty).iter().filter_map(|row| {
            let name = row.get(0)?.as_str()?;
            let id = if name == "unknown" { UNKNOWN } else { tenants.id_by_uuid(&parse_uuid(name)?)? };
            let n =
                |i: usize| row.get(i).and_then(Value::as_u64).map_or(0, |n| n.min(u32::MAX.into()) as u32);
            Some((id, [n(1), n(2), n(3)]))
        });
        let sums: Vec<(Id, UsageCounts)> = rows.collect();
        self.limits.apply_global_counts(now, span as Ns, &sums);
    }

    /// Confirms a suspicious change of the directory, and returns whether there was one. `None`: the worker
    /// could not accept the confirmation, so it must be repeated.
    pub fn confirm(&self, now: Ns) -> Option<bool> {
        let suspected = self.worker.status().suspicion.is_some();
        self.worker.confirm(now).then_some(suspected)
    }

    pub fn status(&self, now: Ns) -> Value {
        let (view, tenants) = (self.worker.status(), self.worker.version());
        let (whole, rows) = self.limits.status();
        let t = &self.link.stats;
        let name = |id: &Id| tenants.tenant(*id).map_or("unknown".to_string(), |t| t.name.to_string());
        let rows: Vec<Value> =
            rows.iter().take(MAX_STATUS_ROWS).map(|(id, part, keep)| json!([name(id), part, keep])).collect();
        json!({ "server": self.link.server().map(|s| s.to_string()), "settled": self.link.is_up_to_date(),
            "age_ms": view.refreshed_at.map(|f| (now - f) / MS), "version": tenants.version, "tenants": tenants.len(),
            "identities": tenants.identity_count(), "left_out": view.ignored_entries,
            "suspicion": view.suspicion.map(|s| json!({ "missing": s.missing, "of": s.of, "for_ms": (now - s.since) / MS })),
            "dialled": t.dialled, "refreshes": t.refreshes, "failed": t.failed, "why": t.last_error, "divided_a_second": whole,
            "thinned": self.limits.thinned, "over_rate": self.limits.over_rate, "limits": rows })
    }
}
