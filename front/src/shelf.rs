//! Tenants at a front: the link to the directory, the keeper of versions, and the limits. RPCs read the
//! version in force and wait for nothing; what a tenant may take is decided in `rockpick_tenant::limit`.
use rockpick_control::{keep, Charter};
use rockpick_ldap::message::{uuid, uuid_text};
use rockpick_net::http::Request;
use rockpick_net::{Event, Net, Ns, MS};
use rockpick_tenant::limit::{Sums, UNKNOWN};
use rockpick_tenant::model::{Id, Kept};
use rockpick_tenant::{Books, Identity, Keeper, Limits, Link, Tenants};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Rows of sums told to the controller at once; those that asked most.
const MOST_ROWS: usize = 4_096;
/// Tenants that a status lists.
const MOST_SHOWN: usize = 100;

pub struct Shelf {
    books: Books,
    fronts: usize,
    utilities: Vec<f64>,
    pub link: Link,
    keeper: Keeper,
    limits: Limits,
}

/// The directory's part of the snapshot, a file of its own beside the front's.
#[derive(Serialize, Deserialize)]
struct File {
    directory: Kept,
    /// By the wall clock, in ms; only to tell how old it is.
    saved_ms: u64,
}

fn file_of(state: &Option<PathBuf>, name: &str) -> Option<PathBuf> {
    state.as_ref().map(|dir| dir.join(format!("{name}.tenants.json")))
}

fn load(file: &Path) -> Option<(Kept, u64)> {
    let text = match keep::load_sealed(file) {
        Ok(text) => text?,
        Err(err) => {
            tracing::error!(event = "tenants' snapshot not read", file = %file.display(), why = %err);
            return None;
        }
    };
    match serde_json::from_slice::<File>(&text) {
        Ok(file) => Some((file.directory, crate::saved::wall_ms().saturating_sub(file.saved_ms))),
        // It can be had anew, from the directory; a front must come up without it.
        Err(err) => {
            tracing::error!(event = "tenants' snapshot not read", file = %file.display(), why = %err);
            None
        }
    }
}

fn utilities(charter: &Charter) -> Vec<f64> {
    charter.methods.iter().map(|m| m.utility).collect()
}

impl Shelf {
    /// What the settings ask for, if they do.
    pub fn new(now: Ns, charter: &Charter, name: &str, state: &Option<PathBuf>, seed: u64) -> Option<Shelf> {
        let books = charter.directory.clone()?;
        let fronts = charter.fronts.len();
        let link = Link::new(now, books.clone(), fronts, seed)
            .map_err(|why| tracing::error!(event = "no directory", why))
            .ok()?;
        let file = file_of(state, name);
        let kept = file.as_ref().and_then(|f| load(f));
        let save = file.map(|file| -> rockpick_tenant::keeper::Save {
            Box::new(move |kept| {
                let file_now = File { directory: kept.clone(), saved_ms: crate::saved::wall_ms() };
                let text = serde_json::to_vec(&file_now).map_err(std::io::Error::other);
                let done = text.and_then(|text| keep::replace(&file, &keep::seal(text)));
                if let Err(err) = &done {
                    tracing::error!(event = "tenants not kept", file = %file.display(), why = %err);
                }
                done.is_ok()
            })
        });
        let keeper = Keeper::begin(now, books.tenancy.clone(), kept, save);
        let limits = Limits::new(now, fronts, books.callers(), utilities(charter));
        Some(Shelf { utilities: utilities(charter), books, fronts, link, keeper, limits })
    }

    /// Do other settings mean the same here?
    pub fn same(&self, charter: &Charter) -> bool {
        charter.directory.as_ref() == Some(&self.books)
            && charter.fronts.len() == self.fronts
            && utilities(charter) == self.utilities
    }

    /// Ends politely, with a last snapshot.
    pub fn end(mut self, net: &mut Net) {
        self.link.leave(net, &self.keeper);
        if !self.keeper.end(net.now()) {
            tracing::error!(event = "tenants not kept", why = "the disk does not answer");
        }
    }

    /// True when the event was the directory's.
    pub fn event(&mut self, net: &mut Net, event: &Event) -> bool {
        self.link.event(net, &self.keeper, event)
    }

    pub fn tick(&mut self, net: &mut Net) {
        self.link.tick(net, &self.keeper);
        self.keeper.tick(net.now());
    }

    /// Whose an RPC is: by its API key, its principal, or the tenant that it names.
    fn whose(&self, now: Ns, tenants: &Tenants, request: &Request) -> Option<Id> {
        let line = |name: &str| request.headers.get(name);
        // One who shows a key is who the key says, or nobody.
        if let Some(key) = line("authorization").and_then(|a| a.strip_prefix("Bearer ")) {
            return tenants.of(&Identity::of_key(key.trim().as_bytes()));
        }
        match line("rockpick-principal") {
            Some(principal) => tenants.of(&Identity::Principal(principal.into())),
            None => line("rockpick-tenant").and_then(|name| tenants.named(now, name)),
        }
    }

    /// May an RPC be taken? For whom, or when it should return.
    ///
    /// # Errors
    /// The time after which to return.
    pub fn take(&mut self, now: Ns, request: &Request, method: usize) -> Result<Id, Ns> {
        let tenants: Arc<Tenants> = self.keeper.version();
        let whose = self.whose(now, &tenants, request);
        self.limits.take(now, &tenants, whose, method)
    }

    pub fn over(&mut self, now: Ns, id: Id, served: bool) {
        self.limits.over(now, id, served);
    }

    /// Sums for the controller, by entryUUID.
    pub fn sums(&mut self) -> Vec<Value> {
        let tenants = self.keeper.version();
        let mut rows = self.limits.tell();
        rows.sort_by_key(|(id, s)| (std::cmp::Reverse(s[0]), *id));
        rows.truncate(MOST_ROWS);
        let name = |id: Id| match tenants.tenant(id) {
            Some(t) => Some(uuid_text(&t.uuid)),
            None => (id == UNKNOWN).then(|| "unknown".to_string()),
        };
        rows.into_iter().filter_map(|(id, [a, s, r])| Some(json!([name(id)?, a, s, r]))).collect()
    }

    /// Sums over all fronts, as the controller tells them.
    pub fn told(&mut self, now: Ns, line: &Value) {
        let tenants = self.keeper.version();
        let span = line["span_ms"].as_f64().unwrap_or(0.0).clamp(1.0, 1e9) * MS as f64;
        let empty = Vec::new();
        let rows = line["rows"].as_array().unwrap_or(&empty).iter().filter_map(|row| {
            let name = row.get(0)?.as_str()?;
            let id = if name == "unknown" { UNKNOWN } else { tenants.id(&uuid(name)?)? };
            let n =
                |i: usize| row.get(i).and_then(Value::as_u64).map_or(0, |n| n.min(u32::MAX.into()) as u32);
            Some((id, [n(1), n(2), n(3)]))
        });
        let sums: Vec<(Id, Sums)> = rows.collect();
        self.limits.told(now, span as Ns, &sums);
    }

    /// Was something suspected? None: the word could not be taken, and must be said again.
    pub fn confirm(&self, now: Ns) -> Option<bool> {
        let suspected = self.keeper.view().suspicion.is_some();
        self.keeper.confirm(now).then_some(suspected)
    }

    pub fn status(&self, now: Ns) -> Value {
        let (view, tenants) = (self.keeper.view(), self.keeper.version());
        let (whole, rows) = self.limits.view();
        let t = &self.link.tolls;
        let name = |id: &Id| tenants.tenant(*id).map_or("unknown".to_string(), |t| t.name.to_string());
        let rows: Vec<Value> =
            rows.iter().take(MOST_SHOWN).map(|(id, part, keep)| json!([name(id), part, keep])).collect();
        json!({ "server": self.link.server().map(|s| s.to_string()), "settled": self.link.settled(),
            "age_ms": view.fresh.map(|f| (now - f) / MS), "version": tenants.version, "tenants": tenants.len(),
            "identities": tenants.identities(), "left_out": view.left_out,
            "suspicion": view.suspicion.map(|s| json!({ "missing": s.missing, "of": s.of, "for_ms": (now - s.since) / MS })),
            "dialled": t.dialled, "refreshes": t.bound, "failed": t.failed, "why": t.why, "divided_a_second": whole,
            "thinned": self.limits.thinned, "over_rate": self.limits.over_rate, "limits": rows })
    }
}
