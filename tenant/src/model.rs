//! Builds tenants and identities from a directory's entries. A tenant is identified by its entryUUID (RFC 4530),
//! not by its name: it survives a rename, and its former name stays valid for a grace period. Lookups use an
//! immutable version ([`Tenants`]) made of persistent maps, so that an update is cheap and an RPC keeps the
//! version that it started with.
//!
//! If a refresh is empty or misses most tenants, it is treated as suspicious: the current version stays in use
//! until the content is back or an operator confirms the loss.
use imbl::{HashMap, OrdMap};
use rockpick_ldap::message::{format_uuid, parse_uuid, Entry};
use rockpick_ldap::ContentUpdate;
use rockpick_net::{Ns, MS, SEC};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of tenants and principals; further entries are ignored and counted.
pub const MAX_ENTRIES: usize = 1_000_000;
/// Maximum number of tenants at a time, including those whose former names are still valid. Their [`Id`]s are
/// never reused.
const MAX_TENANTS: usize = 200_000;
/// Maximum number of identities of a principal, and of members of a tenant.
const MAX_IDENTITIES: usize = 64;
const MAX_MEMBERS: usize = 100_000;
/// Maximum length of an attribute value in bytes; longer values are ignored.
const MAX_VALUE_LENGTH: usize = 1_024;
/// Maximum length of a chain of merges that is followed.
const MAX_MERGES: usize = 8;
/// Lost tenants are counted over this time, so that gradual losses are detected too.
const LOSS_WINDOW: Ns = 60 * SEC;
/// Up to this many tenants may disappear without suspicion: a small directory may change by half.
const ALWAYS_PLAUSIBLE_LOSS: usize = 3;

/// How entries are mapped to tenants and principals; part of the settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryMapping {
    /// Entries of this object class are tenants; all others are principals.
    pub tenant_class: String,
    pub name: String,
    /// The tenant's weight under overload.
    pub share: String,
    /// RPCs per second over all fronts; entries without this attribute have no rate limit.
    pub rate: String,
    /// On a tenant: entryUUIDs of the tenants merged into it.
    pub merged: String,
    /// On a tenant: DNs of its principals.
    pub member: String,
    /// On a principal: its tenant's name, DN or entryUUID.
    pub tenant: String,
    /// On a principal: its name, names of its certificates, SHA-256 of its API keys in hex.
    pub principal: String,
    pub certificate: String,
    pub key: String,
    /// Whether a principal below a tenant's entry belongs to that tenant.
    pub subtree: bool,
    /// How long a former name stays valid.
    pub renamed_ms: u64,
    /// If more than this fraction of the tenants is missing, the change is suspicious.
    pub believe_loss: f64,
}

impl Default for EntryMapping {
    fn default() -> EntryMapping {
        EntryMapping {
            tenant_class: String::from("organization"),
            name: String::from("o"),
            share: String::from("rockpickShare"),
            rate: String::from("rockpickRate"),
            merged: String::from("rockpickMergedFrom"),
            member: String::from("member"),
            tenant: String::from("rockpickTenant"),
            principal: String::from("uid"),
            certificate: String::from("rockpickCertificate"),
            key: String::from("rockpickKeyHash"),
            subtree: true,
            renamed_ms: 600_000,
            believe_loss: 0.5,
        }
    }
}

impl EntryMapping {
    /// The attributes that a search must request.
    pub fn attributes(&self) -> Vec<String> {
        let attributes = [
            "objectClass",
            &self.name,
            &self.share,
            &self.rate,
            &self.merged,
            &self.member,
            &self.tenant,
            &self.principal,
            &self.certificate,
            &self.key,
        ];
        attributes.into_iter().filter(|a| !a.is_empty()).map(String::from).collect()
    }
}

/// A caller's identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Identity {
    Principal(Box<str>),
    Certificate(Box<str>),
    Key([u8; 32]),
}

impl Identity {
    /// The identity of an API key; only the key's hash is stored.
    pub fn from_key(key: &[u8]) -> Identity {
        Identity::Key(Sha256::digest(key).into())
    }
}

/// A tenant's number, constant for the lifetime of the process.
pub type Id = u32;

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub uuid: [u8; 16],
    pub name: Box<str>,
    pub share: f64,
    pub rate: Option<f64>,
}

/// An immutable version of all tenants and identities; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    pub version: u64,
    tenants: OrdMap<Id, Arc<Tenant>>,
    /// Never iterated, so that the order of a hash map has no effect.
    identities: HashMap<Identity, Id>,
    uuids: OrdMap<[u8; 16], Id>,
    /// Names in lower case, and until when they are valid; `Ns::MAX` for current names.
    names: OrdMap<Box<str>, (Id, Ns)>,
}

impl Tenants {
    /// The tenant of an identity.
    pub fn tenant_of(&self, identity: &Identity) -> Option<Id> {
        self.identities.get(identity).copied()
    }

    /// The tenant with a current or former name.
    pub fn tenant_by_name(&self, now: Ns, name: &str) -> Option<Id> {
        let (id, until) = self.names.get(name.to_lowercase().as_str())?;
        (*until > now).then_some(*id)
    }

    /// The tenant with an entryUUID.
    pub fn id_by_uuid(&self, uuid: &[u8; 16]) -> Option<Id> {
        self.uuids.get(uuid).copied()
    }

    pub fn tenant(&self, id: Id) -> Option<&Tenant> {
        self.tenants.get(&id).map(|t| &**t)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Id, &Tenant)> {
        self.tenants.iter().map(|(id, t)| (*id, &**t))
    }

    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    pub fn identity_count(&self) -> usize {
        self.identities.len()
    }
}

/// Normalizes a distinguished name for comparison: lower case, without spaces around separators. An escaped
/// separator stays part of its value (RFC 4514 §2.4).
fn normalize_dn(dn: &str) -> String {
    split_dn(dn).join(",")
}

fn split_dn(dn: &str) -> Vec<String> {
    let (mut parts, mut part, mut escaped) = (Vec::new(), String::new(), false);
    for c in dn.chars() {
        if c == ',' && !escaped {
            parts.push(std::mem::take(&mut part));
        } else {
            part.push(c);
        }
        escaped = c == '\\' && !escaped;
    }
    parts.push(part);
    let normalize = |p: String| match p.split_once('=') {
        Some((kind, value)) => format!("{}={}", kind.trim(), value.trim()).to_lowercase(),
        None => p.trim().to_lowercase(),
    };
    parts.into_iter().map(normalize).collect()
}

#[derive(Clone, Debug, PartialEq)]
enum EntryKind {
    Tenant { name: Box<str>, share: f64, rate: Option<f64>, members: Vec<String>, merged: Vec<[u8; 16]> },
    Principal { identities: Vec<Identity>, tenant: Option<Box<str>> },
}

#[derive(Clone, Debug, PartialEq)]
struct ParsedEntry {
    dn: String,
    kind: EntryKind,
}

/// A loss of tenants that is not applied until it is confirmed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Suspicion {
    pub missing: usize,
    /// Number of tenants before the loss.
    pub of: usize,
    #[serde(skip)]
    pub since: Ns,
}

/// The entries received from the directory, and the current version built from them.
pub struct Directory {
    pub tenancy: EntryMapping,
    entries: BTreeMap<[u8; 16], ParsedEntry>,
    /// During a refresh: the entries that it has contained so far.
    seen: Option<BTreeSet<[u8; 16]>>,
    ids: BTreeMap<[u8; 16], Id>,
    next: Id,
    version: Arc<Tenants>,
    /// Former content of the entries that changed since the current version was built.
    changed: BTreeMap<[u8; 16], Option<ParsedEntry>>,
    index: TenantIndex,
    /// Whether a tenant changed, which can affect the tenants of other entries.
    needs_rebuild: bool,
    /// The accepted tenants that a loss is measured against, and since when.
    baseline: (Ns, BTreeSet<[u8; 16]>),
    pub suspicion: Option<Suspicion>,
    /// Number of entries that were ignored.
    pub ignored_entries: u64,
    /// When the last refresh was completed.
    pub refreshed_at: Option<Ns>,
    pub cookie: Option<Vec<u8>>,
}

/// Indexes by which principals are assigned to tenants.
#[derive(Default)]
struct TenantIndex {
    names: BTreeMap<String, [u8; 16]>,
    dns: BTreeMap<String, [u8; 16]>,
    members: BTreeMap<String, [u8; 16]>,
    /// The tenant that a merged tenant became part of.
    merged: BTreeMap<[u8; 16], [u8; 16]>,
}

impl TenantIndex {
    fn build(entries: &BTreeMap<[u8; 16], ParsedEntry>) -> TenantIndex {
        let (mut names, mut dns, mut members, mut merged) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for (uuid, parsed) in entries {
            let EntryKind::Tenant { name, members: m, merged: from, .. } = &parsed.kind else { continue };
            // Of two tenants with the same name the one with the lower entryUUID gets it, in whichever order they
            // arrive.
            names.entry(name.to_lowercase()).or_insert(*uuid);
            dns.insert(parsed.dn.clone(), *uuid);
            m.iter().for_each(|dn| {
                members.entry(dn.clone()).or_insert(*uuid);
            });
            from.iter().filter(|f| *f != uuid).for_each(|f| {
                merged.entry(*f).or_insert(*uuid);
            });
        }
        TenantIndex { names, dns, members, merged }
    }

    /// The tenant itself, or the one that it was merged into. In a cycle of merges each tenant stays itself.
    fn resolve_merges(&self, uuid: [u8; 16], entries: &BTreeMap<[u8; 16], ParsedEntry>) -> Option<[u8; 16]> {
        let mut at = uuid;
        for _ in 0..MAX_MERGES {
            match self.merged.get(&at) {
                Some(next) if *next != uuid => at = *next,
                Some(_) => return entries.contains_key(&uuid).then_some(uuid),
                None => return entries.contains_key(&at).then_some(at),
            }
        }
        entries.contains_key(&uuid).then_some(uuid)
    }

    fn tenant(&self, parsed: &ParsedEntry, tenant: Option<&str>, subtree: bool) -> Option<[u8; 16]> {
        if let Some(text) = tenant {
            // An explicit tenant that does not exist must not fall back to another tenant.
            return (self.names.get(&text.to_lowercase()).copied())
                .or_else(|| self.dns.get(&normalize_dn(text)).copied())
                .or_else(|| parse_uuid(text));
        }
        if let Some(uuid) = self.members.get(&parsed.dn) {
            return Some(*uuid);
        }
        let parts = split_dn(&parsed.dn);
        let ancestors = (1..parts.len()).map(|i| parts[i..].join(","));
        ancestors.filter(|_| subtree).find_map(|dn| self.dns.get(&dn).copied())
    }
}

impl Directory {
    pub fn new(tenancy: EntryMapping) -> Directory {
        Directory {
            tenancy,
            entries: BTreeMap::new(),
            seen: None,
            ids: BTreeMap::new(),
            next: 0,
            version: Arc::default(),
            changed: BTreeMap::new(),
            index: TenantIndex::default(),
            needs_rebuild: false,
            baseline: (0, BTreeSet::new()),
            suspicion: None,
            ignored_entries: 0,
            refreshed_at: None,
            cookie: None,
        }
    }

    /// The current version.
    pub fn version(&self) -> &Arc<Tenants> {
        &self.version
    }

    fn parse_entry(&self, entry: &Entry) -> Option<ParsedEntry> {
        let t = &self.tenancy;
        let texts = |kind: &str| -> Vec<String> {
            let fits = |v: &Vec<u8>| v.len() <= MAX_VALUE_LENGTH;
            let mut texts: Vec<String> =
                entry.values(kind).filter(fits).filter_map(|v| String::from_utf8(v).ok()).collect();
            texts.sort();
            texts
        };
        let first = |kind: &str| if kind.is_empty() { None } else { texts(kind).into_iter().next() };
        let dn = String::from_utf8(entry.dn.to_vec()).ok().filter(|dn| dn.len() <= MAX_VALUE_LENGTH)?;
        let number = |kind: &str| {
            first(kind).and_then(|v| v.trim().parse::<f64>().ok()).filter(|x| (0.0..=1e9).contains(x))
        };
        let tenant = texts("objectClass").iter().any(|c| c.eq_ignore_ascii_case(&t.tenant_class));
        let kind = if tenant {
            let name: Box<str> = first(&t.name)?.trim().into();
            if name.is_empty() {
                return None;
            }
            let members = texts(&t.member).iter().take(MAX_MEMBERS).map(|dn| normalize_dn(dn)).collect();
            let merged = texts(&t.merged).iter().filter_map(|u| parse_uuid(u)).collect();
            let share = number(&t.share).filter(|s| *s > 0.0).unwrap_or(1.0);
            EntryKind::Tenant { name, share, rate: number(&t.rate), members, merged }
        } else {
            let mut identities: Vec<Identity> = Vec::new();
            identities.extend(texts(&t.principal).into_iter().map(|p| Identity::Principal(p.into())));
            identities.extend(texts(&t.certificate).into_iter().map(|c| Identity::Certificate(c.into())));
            identities.extend(texts(&t.key).iter().filter_map(|k| parse_digest(k)).map(Identity::Key));
            identities.truncate(MAX_IDENTITIES);
            EntryKind::Principal { identities, tenant: first(&t.tenant).map(Into::into) }
        };
        Some(ParsedEntry { dn: normalize_dn(&dn), kind })
    }

    fn set_entry(&mut self, uuid: [u8; 16], parsed: Option<ParsedEntry>) {
        let before = match parsed.clone() {
            Some(parsed) => self.entries.insert(uuid, parsed),
            None => self.entries.remove(&uuid),
        };
        if before == parsed {
            return;
        }
        let is_tenant =
            |k: &Option<ParsedEntry>| matches!(k, Some(ParsedEntry { kind: EntryKind::Tenant { .. }, .. }));
        self.needs_rebuild |= is_tenant(&before) || is_tenant(&parsed);
        self.changed.entry(uuid).or_insert(before);
    }

    /// Applies an update from a session. Returns whether there is a new version.
    pub fn apply(&mut self, now: Ns, update: ContentUpdate) -> bool {
        match update {
            ContentUpdate::RefreshStarted => {
                self.seen = Some(BTreeSet::new());
                false
            }
            ContentUpdate::Entry { uuid, entry } => {
                self.seen.iter_mut().for_each(|s| {
                    s.insert(uuid);
                });
                match self.parse_entry(&entry) {
                    Some(parsed) if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(&uuid) => {
                        self.set_entry(uuid, Some(parsed));
                    }
                    // An entry that has become invalid keeps its former content: it must not affect others.
                    _ => self.ignored_entries += 1,
                }
                self.seen.is_none() && self.publish(now, false)
            }
            ContentUpdate::Unchanged(uuid) => {
                self.seen.iter_mut().for_each(|s| {
                    s.insert(uuid);
                });
                false
            }
            ContentUpdate::Deleted(uuid) => {
                self.set_entry(uuid, None);
                self.seen.is_none() && self.publish(now, false)
            }
            ContentUpdate::RefreshCompleted { complete } => {
                if let Some(seen) = self.seen.take().filter(|_| complete) {
                    let gone: Vec<_> = self.entries.keys().filter(|u| !seen.contains(*u)).copied().collect();
                    gone.into_iter().for_each(|uuid| self.set_entry(uuid, None));
                }
                self.refreshed_at = Some(now);
                self.publish(now, false)
            }
            ContentUpdate::Cookie(cookie) => {
                self.cookie = Some(cookie);
                false
            }
        }
    }

    /// An operator confirms that the missing tenants are deleted. Returns whether there is a new version.
    pub fn confirm(&mut self, now: Ns) -> bool {
        self.suspicion.is_some() && self.publish(now, true)
    }

    /// Whether the present tenants can be accepted, compared with the baseline. The baseline is renewed when no
    /// tenant is missing or [`LOSS_WINDOW`] has passed.
    fn is_plausible(&mut self, now: Ns, present: &BTreeSet<[u8; 16]>) -> bool {
        let (since, baseline) = &self.baseline;
        let missing = baseline.iter().filter(|u| !present.contains(*u)).count();
        let max_loss = (baseline.len() as f64 * self.tenancy.believe_loss).max(ALWAYS_PLAUSIBLE_LOSS as f64);
        if missing as f64 > max_loss || present.is_empty() && !baseline.is_empty() {
            // Merged tenants are not lost. They are only counted here, as this iterates over all entries.
            let index = TenantIndex::build(&self.entries);
            let merged =
                baseline.iter().filter(|u| !present.contains(*u) && index.merged.contains_key(*u)).count();
            if (missing - merged) as f64 > max_loss || present.is_empty() {
                let since = self.suspicion.as_ref().map_or(now, |s| s.since);
                self.suspicion = Some(Suspicion { missing, of: baseline.len(), since });
                return false;
            }
        }
        if missing == 0 || now - since >= LOSS_WINDOW {
            self.baseline = (now, present.clone());
        }
        true
    }

    /// Builds a new version if something changed. `confirmed` skips the check for lost tenants.
    fn publish(&mut self, now: Ns, confirmed: bool) -> bool {
        if self.changed.is_empty() && self.suspicion.is_none() {
            return false;
        }
        if self.needs_rebuild || self.suspicion.is_some() || confirmed {
            let tenant =
                |(u, k): (&[u8; 16], &ParsedEntry)| matches!(k.kind, EntryKind::Tenant { .. }).then_some(*u);
            let present: BTreeSet<[u8; 16]> = self.entries.iter().filter_map(tenant).collect();
            if confirmed {
                self.baseline = (now, present);
            } else if !self.is_plausible(now, &present) {
                return false;
            }
            self.suspicion = None;
        }
        let mut next = (*self.version).clone();
        next.version += 1;
        if self.needs_rebuild {
            self.rebuild(now, &mut next);
        } else {
            // Only principals changed: only their identities need an update.
            let index = std::mem::take(&mut self.index);
            for (uuid, before) in std::mem::take(&mut self.changed) {
                if let Some(ParsedEntry { kind: EntryKind::Principal { identities, .. }, .. }) = &before {
                    identities.iter().for_each(|w| {
                        next.identities.remove(w);
                    });
                }
                self.identify(&index, uuid, &mut next);
            }
            self.index = index;
        }
        self.changed.clear();
        self.needs_rebuild = false;
        self.version = Arc::new(next);
        true
    }

    fn identify(&self, index: &TenantIndex, uuid: [u8; 16], next: &mut Tenants) {
        let Some(parsed) = self.entries.get(&uuid) else { return };
        let EntryKind::Principal { identities, tenant } = &parsed.kind else { return };
        let tenant = index.tenant(parsed, tenant.as_deref(), self.tenancy.subtree);
        let id = tenant.and_then(|t| index.resolve_merges(t, &self.entries)).and_then(|t| self.ids.get(&t));
        if let Some(id) = id {
            identities.iter().for_each(|w| {
                next.identities.insert(w.clone(), *id);
            });
        }
    }

    /// Rebuilds everything, after a tenant was added, deleted, moved or modified.
    fn rebuild(&mut self, now: Ns, next: &mut Tenants) {
        let index = TenantIndex::build(&self.entries);
        let former = std::mem::take(&mut next.names);
        let (mut tenants, mut names, mut pruned) = (OrdMap::new(), OrdMap::new(), false);
        for (uuid, parsed) in &self.entries {
            let EntryKind::Tenant { name, share, rate, .. } = &parsed.kind else { continue };
            if self.ids.len() >= MAX_TENANTS && !pruned && !self.ids.contains_key(uuid) {
                // Forgets deleted tenants, which accumulate over years. Done once, as it iterates over all of them.
                self.ids.retain(|uuid, _| self.entries.contains_key(uuid));
                pruned = true;
            }
            if !self.ids.contains_key(uuid) {
                if self.ids.len() >= MAX_TENANTS || self.next == Id::MAX {
                    self.ignored_entries += 1;
                    continue;
                }
                self.ids.insert(*uuid, self.next);
                self.next += 1;
            }
            let id = self.ids[uuid];
            let tenant = Tenant { uuid: *uuid, name: name.clone(), share: *share, rate: *rate };
            // Shares an unchanged tenant with the former version.
            let unchanged = next.tenants.get(&id).filter(|t| ***t == tenant).cloned();
            tenants.insert(id, unchanged.unwrap_or_else(|| Arc::new(tenant)));
            let lowercase: Box<str> = name.to_lowercase().into();
            if index.names.get(&*lowercase) == Some(uuid) {
                names.insert(lowercase, (id, Ns::MAX));
            }
        }
        let grace = self.tenancy.renamed_ms as Ns * MS;
        let by_id: BTreeMap<Id, [u8; 16]> = self.ids.iter().map(|(u, i)| (*i, *u)).collect();
        for (name, (id, until)) in former {
            // A name in use belongs to its current tenant; a former one to what its tenant was merged into.
            let until = if until == Ns::MAX { now + grace } else { until };
            let successor = by_id.get(&id).and_then(|u| index.resolve_merges(*u, &self.entries));
            if until > now && !names.contains_key(&name) {
                if let Some(id) = successor.and_then(|u| self.ids.get(&u)) {
                    names.insert(name, (*id, until));
                }
            }
        }
        next.uuids = tenants.iter().map(|(id, t)| (t.uuid, *id)).collect();
        (next.tenants, next.names) = (tenants, names);
        next.identities = HashMap::new();
        let all: Vec<[u8; 16]> = self.entries.keys().copied().collect();
        for uuid in all {
            self.identify(&index, uuid, next);
        }
        self.index = index;
    }

    /// The state for a snapshot: the entries as last received, and the cookie for resuming synchronization.
    pub fn save(&self, now: Ns) -> DirectorySnapshot {
        let entries = self.entries.iter().map(|(uuid, k)| match &k.kind {
            EntryKind::Tenant { name, share, rate, members, merged } => SnapshotEntry {
                uuid: format_uuid(uuid),
                dn: k.dn.clone(),
                tenant: Some((name.to_string(), *share, *rate)),
                members: members.clone(),
                merged: merged.iter().map(format_uuid).collect(),
                ..SnapshotEntry::default()
            },
            EntryKind::Principal { identities, tenant } => SnapshotEntry {
                uuid: format_uuid(uuid),
                dn: k.dn.clone(),
                of: tenant.as_ref().map(|t| t.to_string()),
                who: identities.iter().map(SnapshotIdentity::of).collect(),
                ..SnapshotEntry::default()
            },
        });
        let age_ms = self.refreshed_at.map(|f| ((now - f) / MS).max(0) as u64);
        DirectorySnapshot { entries: entries.collect(), cookie: self.cookie.clone(), age_ms }
    }

    /// Restores a snapshot that was saved `older_ms` ago.
    pub fn restore(&mut self, now: Ns, snapshot: DirectorySnapshot, older_ms: u64) {
        for e in snapshot.entries.into_iter().take(MAX_ENTRIES) {
            let Some(id) = parse_uuid(&e.uuid) else { continue };
            let kind = match e.tenant {
                Some((name, share, rate)) => EntryKind::Tenant {
                    name: name.into(),
                    share: Some(share).filter(|s| *s > 0.0 && *s <= 1e9).unwrap_or(1.0),
                    rate: rate.filter(|r| (0.0..=1e9).contains(r)),
                    members: e.members,
                    merged: e.merged.iter().filter_map(|u| parse_uuid(u)).collect(),
                },
                None => EntryKind::Principal {
                    identities: e.who.into_iter().filter_map(SnapshotIdentity::identity).collect(),
                    tenant: e.of.map(Into::into),
                },
            };
            self.set_entry(id, Some(ParsedEntry { dn: e.dn, kind }));
        }
        self.cookie = snapshot.cookie;
        self.refreshed_at = snapshot
            .age_ms
            .map(|age| now - (age.saturating_add(older_ms).min(i64::MAX as u64 / 2_000_000) as Ns) * MS);
        self.publish(now, true);
    }
}

/// A directory in a snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DirectorySnapshot {
    pub entries: Vec<SnapshotEntry>,
    pub cookie: Option<Vec<u8>>,
    pub age_ms: Option<u64>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SnapshotEntry {
    uuid: String,
    dn: String,
    /// Name, share and rate of a tenant; `None` for a principal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    tenant: Option<(String, f64, Option<f64>)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    members: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    merged: Vec<String>,
    /// Explicit tenant of a principal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    of: Option<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    who: Vec<SnapshotIdentity>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum SnapshotIdentity {
    Principal(String),
    Certificate(String),
    Key(String),
}

impl SnapshotIdentity {
    fn of(identity: &Identity) -> SnapshotIdentity {
        match identity {
            Identity::Principal(p) => SnapshotIdentity::Principal(p.to_string()),
            Identity::Certificate(c) => SnapshotIdentity::Certificate(c.to_string()),
            Identity::Key(k) => SnapshotIdentity::Key(hex::encode(k)),
        }
    }

    fn identity(self) -> Option<Identity> {
        match self {
            SnapshotIdentity::Principal(p) => Some(Identity::Principal(p.into())),
            SnapshotIdentity::Certificate(c) => Some(Identity::Certificate(c.into())),
            SnapshotIdentity::Key(k) => parse_digest(&k).map(Identity::Key),
        }
    }
}

/// Decodes a SHA-256 digest in hex.
fn parse_digest(text: &str) -> Option<[u8; 32]> {
    hex::decode(text.trim()).ok()?.try_into().ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use rockpick_ldap::message::Attribute;

    fn entry(dn: &str, attributes: &[(&str, &str)]) -> Entry {
        let attribute = |(k, v): &(&str, &str)| Attribute {
            kind: k.as_bytes().to_vec().into(),
            values: vec![v.as_bytes().to_vec().into()].into(),
        };
        Entry { dn: dn.as_bytes().to_vec().into(), attributes: attributes.iter().map(attribute).collect() }
    }

    fn id(n: u8) -> [u8; 16] {
        [n; 16]
    }

    fn tenant(n: u8, name: &str, more: &[(&str, &str)]) -> ContentUpdate {
        let mut attributes = vec![("objectClass", "Organization"), ("o", name)];
        attributes.extend(more);
        ContentUpdate::Entry { uuid: id(n), entry: entry(&format!("o={name},dc=x"), &attributes) }
    }

    fn user(n: u8, dn: &str, uid: &str, more: &[(&str, &str)]) -> ContentUpdate {
        let mut attributes = vec![("objectClass", "person"), ("uid", uid)];
        attributes.extend(more);
        ContentUpdate::Entry { uuid: id(n), entry: entry(dn, &attributes) }
    }

    fn directory(updates: Vec<ContentUpdate>) -> Directory {
        let mut d = Directory::new(EntryMapping::default());
        d.apply(0, ContentUpdate::RefreshStarted);
        updates.into_iter().for_each(|n| {
            d.apply(0, n);
        });
        assert!(d.apply(0, ContentUpdate::RefreshCompleted { complete: true }));
        d
    }

    fn tenant_name(d: &Directory, uid: &str) -> Option<String> {
        let v = d.version();
        v.tenant_of(&Identity::Principal(uid.into())).and_then(|t| v.tenant(t)).map(|t| t.name.to_string())
    }

    #[test]
    fn principals_are_assigned_by_attribute_then_group_then_subtree() {
        let d = directory(vec![
            tenant(1, "Acme", &[("rockpickShare", "3"), ("rockpickRate", "50"), ("member", "uid=b, DC=X")]),
            tenant(2, "Bolt", &[]),
            user(10, "uid=a,dc=x", "a", &[("rockpickTenant", "acme")]),
            user(11, "uid=b,dc=x", "b", &[]),
            user(12, "uid=c,ou=staff,o=Bolt,dc=x", "c", &[]),
            user(13, "uid=d,o=Bolt,dc=x", "d", &[("rockpickTenant", "o=Acme, dc=x")]),
            user(14, "uid=e,o=Bolt,dc=x", "e", &[("rockpickTenant", "nobody")]),
            user(15, "uid=f\\,o=Bolt,dc=x", "f", &[]),
        ]);
        let names = ["a", "b", "c", "d", "e", "f"].map(|u| tenant_name(&d, u));
        let expected = [Some("Acme"), Some("Acme"), Some("Bolt"), Some("Acme"), None, None];
        assert_eq!(names.map(|n| n.unwrap_or_default()), expected.map(|w| w.unwrap_or_default().to_string()));
        let acme = d.version().tenant_by_name(0, "ACME").unwrap();
        let acme = d.version().tenant(acme).unwrap();
        assert_eq!((acme.share, acme.rate), (3.0, Some(50.0)));
    }

    #[test]
    fn renamed_tenant_keeps_its_id_and_former_name_during_grace() {
        let mut d = directory(vec![tenant(1, "Acme", &[]), tenant(2, "Bolt", &[])]);
        let before = (d.version().clone(), d.version().tenant_by_name(0, "acme").unwrap());
        assert!(d.apply(SEC, tenant(1, "Apex", &[])));
        let v = d.version();
        assert_eq!([v.tenant_by_name(SEC, "apex"), v.tenant_by_name(SEC, "acme")], [Some(before.1); 2]);
        assert_eq!(
            (v.tenant_by_name(602 * SEC, "apex"), v.tenant_by_name(602 * SEC, "acme")),
            (Some(before.1), None)
        );
        // An RPC keeps the version that it started with.
        assert_eq!(&*before.0.tenant(before.1).unwrap().name, "Acme");
        // A former name that another tenant takes belongs to that tenant at once, also in repeated swaps.
        for turn in 0..6 {
            let (a, b) = if turn % 2 == 0 { ("Bolt", "Apex") } else { ("Apex", "Bolt") };
            d.apply(2 * SEC, ContentUpdate::RefreshStarted);
            d.apply(2 * SEC, tenant(1, a, &[]));
            d.apply(2 * SEC, tenant(2, b, &[]));
            assert!(d.apply(2 * SEC, ContentUpdate::RefreshCompleted { complete: true }));
            assert_eq!(d.version().tenant_by_name(3 * SEC, a), Some(before.1), "turn {turn}");
        }
    }

    #[test]
    fn merged_tenants_resolve_to_their_successor_and_merge_cycles_are_ignored() {
        let key = "ab".repeat(32);
        let mut d = directory(vec![
            tenant(1, "Acme", &[]),
            tenant(2, "Bolt", &[]),
            user(
                10,
                "uid=a,dc=x",
                "a",
                &[("rockpickTenant", &format_uuid(&id(1))), ("rockpickKeyHash", &key)],
            ),
        ]);
        let bolt = d.version().tenant_by_name(0, "bolt").unwrap();
        d.apply(SEC, ContentUpdate::RefreshStarted);
        d.apply(SEC, tenant(2, "Bolt", &[("rockpickMergedFrom", &format_uuid(&id(1)))]));
        d.apply(SEC, ContentUpdate::Unchanged(id(10)));
        assert!(d.apply(SEC, ContentUpdate::RefreshCompleted { complete: true }));
        assert_eq!(
            (tenant_name(&d, "a").as_deref(), d.version().tenant_by_name(2 * SEC, "acme")),
            (Some("Bolt"), Some(bolt))
        );
        assert_eq!(d.version().tenant_of(&Identity::Key([0xab; 32])), Some(bolt));
        d.apply(SEC, tenant(1, "Acme", &[("rockpickMergedFrom", &format_uuid(&id(2)))]));
        assert_eq!(tenant_name(&d, "a").as_deref(), Some("Acme"));
    }

    #[test]
    fn suspicious_loss_is_held_back_until_restored_or_confirmed() {
        let refresh = |d: &mut Directory, now: Ns, many: u8| {
            d.apply(now, ContentUpdate::RefreshStarted);
            (0..many).for_each(|n| {
                d.apply(now, tenant(n, &format!("t{n}"), &[]));
            });
            d.apply(now, ContentUpdate::RefreshCompleted { complete: true })
        };
        let mut d = Directory::new(EntryMapping::default());
        assert!(refresh(&mut d, 0, 20));
        for (now, many) in [(1, 0), (2, 9)] {
            assert!(!refresh(&mut d, now * SEC, many));
            assert_eq!((d.version().len(), d.suspicion.as_ref().map(|s| s.since)), (20, Some(SEC)));
        }
        // With most tenants back the refresh is accepted again.
        assert!(refresh(&mut d, 3 * SEC, 15) && d.suspicion.is_none() && d.version().len() == 15);
        // A gradual loss within a minute is as suspicious as a sudden one.
        for n in (5..15).rev() {
            d.apply(4 * SEC, ContentUpdate::Deleted(id(n)));
        }
        assert!(d.suspicion.is_some() && d.version().len() >= 10, "{}", d.version().len());
        assert!(d.confirm(5 * SEC) && d.version().len() == 5 && d.suspicion.is_none());
        assert!(!d.confirm(6 * SEC));
    }

    #[test]
    fn snapshot_restores_the_tenants_and_invalid_entries_are_ignored() {
        let mut d = directory(vec![
            tenant(1, "Acme", &[("rockpickRate", "9")]),
            user(10, "uid=a,o=Acme,dc=x", "a", &[]),
            user(11, "uid=b,o=Acme,dc=x", &"x".repeat(5_000), &[]),
            tenant(3, "", &[]),
        ]);
        let invalid = Entry { dn: vec![0xff, 0xfe].into(), attributes: Vec::new() };
        d.apply(0, ContentUpdate::Entry { uuid: id(4), entry: invalid });
        assert_eq!((d.version().len(), d.ignored_entries), (1, 2));
        let text = serde_json::to_string(&d.save(5 * SEC)).unwrap();
        let mut restored = Directory::new(EntryMapping::default());
        restored.restore(100 * SEC, serde_json::from_str(&text).unwrap(), 2_000);
        assert_eq!(
            (tenant_name(&restored, "a").as_deref(), restored.refreshed_at),
            (Some("Acme"), Some(93 * SEC))
        );
        assert_eq!(restored.version().tenant(0).unwrap().rate, Some(9.0));
    }

    /// Finding 39: deleted tenants used up the maximum number of tenants over the years, so that new ones were
    /// ignored.
    #[test]
    fn deleted_tenants_free_capacity_for_new_ones() {
        let mut d = directory(vec![tenant(1, "one", &[])]);
        for i in 0..MAX_TENANTS as u128 {
            d.ids.insert((i << 8 | 0xff).to_be_bytes(), d.next);
            d.next += 1;
        }
        let before = d.version().tenant_by_name(0, "one");
        assert!(d.apply(0, tenant(2, "two", &[])));
        assert_eq!(
            (d.version().tenant_by_name(0, "one"), d.version().len(), d.ignored_entries),
            (before, 2, 0)
        );
        assert!(d.version().tenant_by_name(0, "two") > before, "an id was reused");
        // An age in the snapshot that is out of range must not overflow.
        let snapshot = DirectorySnapshot { age_ms: Some(u64::MAX), ..d.save(0) };
        Directory::new(EntryMapping::default()).restore(0, snapshot, u64::MAX);
    }
}
