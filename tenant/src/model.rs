//! Tenants and identities out of a directory's entries. Identity is the entryUUID (RFC 4530), never the name:
//! what is renamed stays itself, and its former name stays good for a while. What callers look things up
//! in is a version ([`Tenants`]) that never changes: maps that share their structure, so that a change costs
//! little and an RPC keeps the version that it began with.
//!
//! A directory that comes back empty, or with most tenants missing, is not believed: the version in force
//! stays until the content is back or an operator confirms.
use imbl::{HashMap, OrdMap};
use rockpick_ldap::message::{uuid, uuid_text, Entry};
use rockpick_ldap::News;
use rockpick_net::{Ns, MS, SEC};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Tenants and principals at most; what comes beyond is left out and counted.
pub const MOST_ENTRIES: usize = 1_000_000;
/// Tenants at a time, with those whose former names are still good. Their small numbers are never given anew.
const MOST_TENANTS: usize = 200_000;
/// Identities of a principal, and members of a tenant.
const MOST_IDENTITIES: usize = 64;
const MOST_MEMBERS: usize = 100_000;
/// A value longer than this is none of ours.
const MOST_VALUE: usize = 1_024;
/// Merges that are followed, one into the next.
const MOST_MERGES: usize = 8;
/// Losing tenants is looked at over this span.
const LOSS_OVER: Ns = 60 * SEC;
/// Fewer tenants than this may vanish without suspicion: a small directory changes by its half.
const FEW: usize = 3;

/// How entries are read; part of the settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenancy {
    /// Entries of this object class are tenants; all others are principals.
    pub tenant_class: String,
    pub name: String,
    /// The weight among tenants where there is not enough for all.
    pub share: String,
    /// RPCs a second over all fronts; entries without it have no such limit.
    pub rate: String,
    /// On a tenant: entryUUIDs of those merged into it.
    pub merged: String,
    /// On a tenant: DNs of its principals.
    pub member: String,
    /// On a principal: its tenant's name, DN or entryUUID.
    pub tenant: String,
    /// On a principal: its name, names of its certificates, SHA-256 of its API keys in hex.
    pub principal: String,
    pub certificate: String,
    pub key: String,
    /// A principal below a tenant's entry is that tenant's.
    pub subtree: bool,
    /// How long a former name stays good.
    pub renamed_ms: u64,
    /// More tenants missing than this share: the directory is not believed.
    pub believe_loss: f64,
}

impl Default for Tenancy {
    fn default() -> Tenancy {
        let word = String::from;
        Tenancy {
            tenant_class: word("organization"),
            name: word("o"),
            share: word("rockpickShare"),
            rate: word("rockpickRate"),
            merged: word("rockpickMergedFrom"),
            member: word("member"),
            tenant: word("rockpickTenant"),
            principal: word("uid"),
            certificate: word("rockpickCertificate"),
            key: word("rockpickKeyHash"),
            subtree: true,
            renamed_ms: 600_000,
            believe_loss: 0.5,
        }
    }
}

impl Tenancy {
    /// The attributes that a search must ask for.
    pub fn attributes(&self) -> Vec<String> {
        let all = [
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
        all.into_iter().filter(|a| !a.is_empty()).map(String::from).collect()
    }
}

/// Who calls.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Identity {
    Principal(Box<str>),
    Certificate(Box<str>),
    Key([u8; 32]),
}

impl Identity {
    /// An API key as it came; only its hash is ever kept.
    pub fn of_key(key: &[u8]) -> Identity {
        Identity::Key(Sha256::digest(key).into())
    }
}

/// A tenant's small number, the same for the life of the process.
pub type Id = u32;

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub uuid: [u8; 16],
    pub name: Box<str>,
    pub share: f64,
    pub rate: Option<f64>,
}

/// One version of it all; cheap to clone, and never changed.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    pub version: u64,
    tenants: OrdMap<Id, Arc<Tenant>>,
    /// Never walked: the order of a hash map shows nowhere.
    identities: HashMap<Identity, Id>,
    uuids: OrdMap<[u8; 16], Id>,
    /// Names in lower case, and until when; the present ones have no end.
    names: OrdMap<Box<str>, (Id, Ns)>,
}

impl Tenants {
    /// The tenant of an identity.
    pub fn of(&self, who: &Identity) -> Option<Id> {
        self.identities.get(who).copied()
    }

    /// The tenant of a name, present or former.
    pub fn named(&self, now: Ns, name: &str) -> Option<Id> {
        let (id, until) = self.names.get(name.to_lowercase().as_str())?;
        (*until > now).then_some(*id)
    }

    /// The number of an entryUUID.
    pub fn id(&self, uuid: &[u8; 16]) -> Option<Id> {
        self.uuids.get(uuid).copied()
    }

    pub fn tenant(&self, id: Id) -> Option<&Tenant> {
        self.tenants.get(&id).map(|t| &**t)
    }

    pub fn all(&self) -> impl Iterator<Item = (Id, &Tenant)> {
        self.tenants.iter().map(|(id, t)| (*id, &**t))
    }

    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    pub fn identities(&self) -> usize {
        self.identities.len()
    }
}

/// A distinguished name in a form that can be compared: no case, no space around separators; an escaped
/// separator stays part of its value (RFC 4514 §2.4).
fn plain_dn(dn: &str) -> String {
    parts(dn).join(",")
}

fn parts(dn: &str) -> Vec<String> {
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
    let trim = |p: String| match p.split_once('=') {
        Some((kind, value)) => format!("{}={}", kind.trim(), value.trim()).to_lowercase(),
        None => p.trim().to_lowercase(),
    };
    parts.into_iter().map(trim).collect()
}

#[derive(Clone, Debug, PartialEq)]
enum Kind {
    Tenant { name: Box<str>, share: f64, rate: Option<f64>, members: Vec<String>, merged: Vec<[u8; 16]> },
    Principal { who: Vec<Identity>, tenant: Option<Box<str>> },
}

#[derive(Clone, Debug, PartialEq)]
struct Known {
    dn: String,
    kind: Kind,
}

/// Why the directory is not believed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Suspicion {
    pub missing: usize,
    pub of: usize,
    #[serde(skip)]
    pub since: Ns,
}

/// All that the directory has said, and the version made of it.
pub struct Directory {
    pub tenancy: Tenancy,
    entries: BTreeMap<[u8; 16], Known>,
    /// Of a refresh under way: what was named.
    seen: Option<BTreeSet<[u8; 16]>>,
    ids: BTreeMap<[u8; 16], Id>,
    next: Id,
    version: Arc<Tenants>,
    /// Entries whose identities in the version are of what they were before.
    changed: BTreeMap<[u8; 16], Option<Known>>,
    ties: Ties,
    /// Something changed on which other entries' tenants depend.
    relink: bool,
    /// Tenants that were believed, from when, as the measure of a loss.
    anchor: (Ns, BTreeSet<[u8; 16]>),
    pub suspicion: Option<Suspicion>,
    pub left_out: u64,
    /// When the directory was last in step.
    pub fresh: Option<Ns>,
    pub cookie: Option<Vec<u8>>,
}

/// What ties principals to tenants.
#[derive(Default)]
struct Ties {
    names: BTreeMap<String, [u8; 16]>,
    dns: BTreeMap<String, [u8; 16]>,
    members: BTreeMap<String, [u8; 16]>,
    /// Where a merged tenant has gone.
    merged: BTreeMap<[u8; 16], [u8; 16]>,
}

impl Ties {
    fn of(entries: &BTreeMap<[u8; 16], Known>) -> Ties {
        let (mut names, mut dns, mut members, mut merged) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for (uuid, known) in entries {
            let Kind::Tenant { name, members: m, merged: from, .. } = &known.kind else { continue };
            // Of two with one name the older identity has it, whatever the order of their coming.
            names.entry(name.to_lowercase()).or_insert(*uuid);
            dns.insert(known.dn.clone(), *uuid);
            m.iter().for_each(|dn| {
                members.entry(dn.clone()).or_insert(*uuid);
            });
            from.iter().filter(|f| *f != uuid).for_each(|f| {
                merged.entry(*f).or_insert(*uuid);
            });
        }
        Ties { names, dns, members, merged }
    }

    /// Where a tenant is now: itself, or what it was merged into. A loop of merges leads nowhere, and each
    /// of it stays itself.
    fn now(&self, uuid: [u8; 16], entries: &BTreeMap<[u8; 16], Known>) -> Option<[u8; 16]> {
        let mut at = uuid;
        for _ in 0..MOST_MERGES {
            match self.merged.get(&at) {
                Some(next) if *next != uuid => at = *next,
                Some(_) => return entries.contains_key(&uuid).then_some(uuid),
                None => return entries.contains_key(&at).then_some(at),
            }
        }
        entries.contains_key(&uuid).then_some(uuid)
    }

    fn tenant(&self, known: &Known, tenant: Option<&str>, subtree: bool) -> Option<[u8; 16]> {
        if let Some(text) = tenant {
            // Named explicitly: a name that leads nowhere gives no other tenant its place.
            return (self.names.get(&text.to_lowercase()).copied())
                .or_else(|| self.dns.get(&plain_dn(text)).copied())
                .or_else(|| uuid(text));
        }
        if let Some(uuid) = self.members.get(&known.dn) {
            return Some(*uuid);
        }
        let parts = parts(&known.dn);
        let above = (1..parts.len()).map(|i| parts[i..].join(","));
        above.filter(|_| subtree).find_map(|dn| self.dns.get(&dn).copied())
    }
}

impl Directory {
    pub fn new(tenancy: Tenancy) -> Directory {
        Directory {
            tenancy,
            entries: BTreeMap::new(),
            seen: None,
            ids: BTreeMap::new(),
            next: 0,
            version: Arc::default(),
            changed: BTreeMap::new(),
            ties: Ties::default(),
            relink: false,
            anchor: (0, BTreeSet::new()),
            suspicion: None,
            left_out: 0,
            fresh: None,
            cookie: None,
        }
    }

    /// The version in force.
    pub fn version(&self) -> &Arc<Tenants> {
        &self.version
    }

    fn read(&self, entry: &Entry) -> Option<Known> {
        let t = &self.tenancy;
        let texts = |kind: &str| -> Vec<String> {
            let fits = |v: &Vec<u8>| v.len() <= MOST_VALUE;
            let mut texts: Vec<String> =
                entry.values(kind).filter(fits).filter_map(|v| String::from_utf8(v).ok()).collect();
            texts.sort();
            texts
        };
        let first = |kind: &str| if kind.is_empty() { None } else { texts(kind).into_iter().next() };
        let dn = String::from_utf8(entry.dn.to_vec()).ok().filter(|dn| dn.len() <= MOST_VALUE)?;
        let number = |kind: &str| {
            first(kind).and_then(|v| v.trim().parse::<f64>().ok()).filter(|x| (0.0..=1e9).contains(x))
        };
        let tenant = texts("objectClass").iter().any(|c| c.eq_ignore_ascii_case(&t.tenant_class));
        let kind = if tenant {
            let name: Box<str> = first(&t.name)?.trim().into();
            if name.is_empty() {
                return None;
            }
            let members = texts(&t.member).iter().take(MOST_MEMBERS).map(|dn| plain_dn(dn)).collect();
            let merged = texts(&t.merged).iter().filter_map(|u| uuid(u)).collect();
            let share = number(&t.share).filter(|s| *s > 0.0).unwrap_or(1.0);
            Kind::Tenant { name, share, rate: number(&t.rate), members, merged }
        } else {
            let mut who: Vec<Identity> = Vec::new();
            who.extend(texts(&t.principal).into_iter().map(|p| Identity::Principal(p.into())));
            who.extend(texts(&t.certificate).into_iter().map(|c| Identity::Certificate(c.into())));
            who.extend(texts(&t.key).iter().filter_map(|k| hash(k)).map(Identity::Key));
            who.truncate(MOST_IDENTITIES);
            Kind::Principal { who, tenant: first(&t.tenant).map(Into::into) }
        };
        Some(Known { dn: plain_dn(&dn), kind })
    }

    fn put(&mut self, uuid: [u8; 16], known: Option<Known>) {
        let before = match known.clone() {
            Some(known) => self.entries.insert(uuid, known),
            None => self.entries.remove(&uuid),
        };
        if before == known {
            return;
        }
        let ties = |k: &Option<Known>| matches!(k, Some(Known { kind: Kind::Tenant { .. }, .. }));
        self.relink |= ties(&before) || ties(&known);
        self.changed.entry(uuid).or_insert(before);
    }

    /// Takes what a session has learnt. True when a new version is in force.
    pub fn take(&mut self, now: Ns, news: News) -> bool {
        match news {
            News::Begin => {
                self.seen = Some(BTreeSet::new());
                false
            }
            News::Entry { uuid, entry } => {
                self.seen.iter_mut().for_each(|s| {
                    s.insert(uuid);
                });
                match self.read(&entry) {
                    Some(known) if self.entries.len() < MOST_ENTRIES || self.entries.contains_key(&uuid) => {
                        self.put(uuid, Some(known));
                    }
                    // One that has become unreadable stays what it was: a bad entry harms itself alone.
                    _ => self.left_out += 1,
                }
                self.seen.is_none() && self.publish(now, false)
            }
            News::Keep(uuid) => {
                self.seen.iter_mut().for_each(|s| {
                    s.insert(uuid);
                });
                false
            }
            News::Gone(uuid) => {
                self.put(uuid, None);
                self.seen.is_none() && self.publish(now, false)
            }
            News::End { whole } => {
                if let Some(seen) = self.seen.take().filter(|_| whole) {
                    let gone: Vec<_> = self.entries.keys().filter(|u| !seen.contains(*u)).copied().collect();
                    gone.into_iter().for_each(|uuid| self.put(uuid, None));
                }
                self.fresh = Some(now);
                self.publish(now, false)
            }
            News::Cookie(cookie) => {
                self.cookie = Some(cookie);
                false
            }
        }
    }

    /// The operator says that what is missing is really gone.
    pub fn confirm(&mut self, now: Ns) -> bool {
        self.suspicion.is_some() && self.publish(now, true)
    }

    /// What was believed is measured against; a whole minute without a loss renews the measure.
    fn believable(&mut self, now: Ns, there: &BTreeSet<[u8; 16]>) -> bool {
        let (since, anchor) = &self.anchor;
        let missing = anchor.iter().filter(|u| !there.contains(*u)).count();
        let bound = (anchor.len() as f64 * self.tenancy.believe_loss).max(FEW as f64);
        if missing as f64 > bound || there.is_empty() && !anchor.is_empty() {
            // Merged ones are accounted for; they are counted only where it matters, as it costs a walk.
            let ties = Ties::of(&self.entries);
            let merged =
                anchor.iter().filter(|u| !there.contains(*u) && ties.merged.contains_key(*u)).count();
            if (missing - merged) as f64 > bound || there.is_empty() {
                let since = self.suspicion.as_ref().map_or(now, |s| s.since);
                self.suspicion = Some(Suspicion { missing, of: anchor.len(), since });
                return false;
            }
        }
        if missing == 0 || now - since >= LOSS_OVER {
            self.anchor = (now, there.clone());
        }
        true
    }

    fn publish(&mut self, now: Ns, sure: bool) -> bool {
        if self.changed.is_empty() && self.suspicion.is_none() {
            return false;
        }
        if self.relink || self.suspicion.is_some() || sure {
            let tenant = |(u, k): (&[u8; 16], &Known)| matches!(k.kind, Kind::Tenant { .. }).then_some(*u);
            let there: BTreeSet<[u8; 16]> = self.entries.iter().filter_map(tenant).collect();
            if sure {
                self.anchor = (now, there);
            } else if !self.believable(now, &there) {
                return false;
            }
            self.suspicion = None;
        }
        let mut next = (*self.version).clone();
        next.version += 1;
        if self.relink {
            self.link(now, &mut next);
        } else {
            // Only principals: theirs are the only identities that change.
            let ties = std::mem::take(&mut self.ties);
            for (uuid, before) in std::mem::take(&mut self.changed) {
                if let Some(Known { kind: Kind::Principal { who, .. }, .. }) = &before {
                    who.iter().for_each(|w| {
                        next.identities.remove(w);
                    });
                }
                self.identify(&ties, uuid, &mut next);
            }
            self.ties = ties;
        }
        self.changed.clear();
        self.relink = false;
        self.version = Arc::new(next);
        true
    }

    fn identify(&self, ties: &Ties, uuid: [u8; 16], next: &mut Tenants) {
        let Some(known) = self.entries.get(&uuid) else { return };
        let Kind::Principal { who, tenant } = &known.kind else { return };
        let tenant = ties.tenant(known, tenant.as_deref(), self.tenancy.subtree);
        let id = tenant.and_then(|t| ties.now(t, &self.entries)).and_then(|t| self.ids.get(&t));
        if let Some(id) = id {
            who.iter().for_each(|w| {
                next.identities.insert(w.clone(), *id);
            });
        }
    }

    /// Makes all anew: a tenant has come, gone, moved or changed.
    fn link(&mut self, now: Ns, next: &mut Tenants) {
        let ties = Ties::of(&self.entries);
        let former = std::mem::take(&mut next.names);
        let (mut tenants, mut names, mut pruned) = (OrdMap::new(), OrdMap::new(), false);
        for (uuid, known) in &self.entries {
            let Kind::Tenant { name, share, rate, .. } = &known.kind else { continue };
            if self.ids.len() >= MOST_TENANTS && !pruned && !self.ids.contains_key(uuid) {
                // Tenants come and go for years: those that have gone make room. Once is enough, as it walks all.
                self.ids.retain(|uuid, _| self.entries.contains_key(uuid));
                pruned = true;
            }
            if !self.ids.contains_key(uuid) {
                if self.ids.len() >= MOST_TENANTS || self.next == Id::MAX {
                    self.left_out += 1;
                    continue;
                }
                self.ids.insert(*uuid, self.next);
                self.next += 1;
            }
            let id = self.ids[uuid];
            let tenant = Tenant { uuid: *uuid, name: name.clone(), share: *share, rate: *rate };
            // An unchanged one keeps its place in memory.
            let kept = next.tenants.get(&id).filter(|t| ***t == tenant).cloned();
            tenants.insert(id, kept.unwrap_or_else(|| Arc::new(tenant)));
            let lower: Box<str> = name.to_lowercase().into();
            if ties.names.get(&*lower) == Some(uuid) {
                names.insert(lower, (id, Ns::MAX));
            }
        }
        let grace = self.tenancy.renamed_ms as Ns * MS;
        let by_id: BTreeMap<Id, [u8; 16]> = self.ids.iter().map(|(u, i)| (*i, *u)).collect();
        for (name, (id, until)) in former {
            // A name in use belongs to who has it; a former one to where its tenant has gone.
            let until = if until == Ns::MAX { now + grace } else { until };
            let heir = by_id.get(&id).and_then(|u| ties.now(*u, &self.entries));
            if until > now && !names.contains_key(&name) {
                if let Some(id) = heir.and_then(|u| self.ids.get(&u)) {
                    names.insert(name, (*id, until));
                }
            }
        }
        next.uuids = tenants.iter().map(|(id, t)| (t.uuid, *id)).collect();
        (next.tenants, next.names) = (tenants, names);
        next.identities = HashMap::new();
        let all: Vec<[u8; 16]> = self.entries.keys().copied().collect();
        for uuid in all {
            self.identify(&ties, uuid, next);
        }
        self.ties = ties;
    }

    /// What a snapshot keeps: the entries as they were last heard, and where a session can go on.
    pub fn save(&self, now: Ns) -> Kept {
        let entries = self.entries.iter().map(|(uuid, k)| match &k.kind {
            Kind::Tenant { name, share, rate, members, merged } => KeptEntry {
                uuid: uuid_text(uuid),
                dn: k.dn.clone(),
                tenant: Some((name.to_string(), *share, *rate)),
                members: members.clone(),
                merged: merged.iter().map(uuid_text).collect(),
                ..KeptEntry::default()
            },
            Kind::Principal { who, tenant } => KeptEntry {
                uuid: uuid_text(uuid),
                dn: k.dn.clone(),
                of: tenant.as_ref().map(|t| t.to_string()),
                who: who.iter().map(KeptWho::of).collect(),
                ..KeptEntry::default()
            },
        });
        let age_ms = self.fresh.map(|f| ((now - f) / MS).max(0) as u64);
        Kept { entries: entries.collect(), cookie: self.cookie.clone(), age_ms }
    }

    /// Begins with what a snapshot kept, `older_ms` ago.
    pub fn restore(&mut self, now: Ns, kept: Kept, older_ms: u64) {
        for e in kept.entries.into_iter().take(MOST_ENTRIES) {
            let Some(id) = uuid(&e.uuid) else { continue };
            let kind = match e.tenant {
                Some((name, share, rate)) => Kind::Tenant {
                    name: name.into(),
                    share: Some(share).filter(|s| *s > 0.0 && *s <= 1e9).unwrap_or(1.0),
                    rate: rate.filter(|r| (0.0..=1e9).contains(r)),
                    members: e.members,
                    merged: e.merged.iter().filter_map(|u| uuid(u)).collect(),
                },
                None => Kind::Principal {
                    who: e.who.into_iter().filter_map(KeptWho::identity).collect(),
                    tenant: e.of.map(Into::into),
                },
            };
            self.put(id, Some(Known { dn: e.dn, kind }));
        }
        self.cookie = kept.cookie;
        self.fresh = kept
            .age_ms
            .map(|age| now - (age.saturating_add(older_ms).min(i64::MAX as u64 / 2_000_000) as Ns) * MS);
        self.publish(now, true);
    }
}

/// A directory as a snapshot keeps it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Kept {
    pub entries: Vec<KeptEntry>,
    pub cookie: Option<Vec<u8>>,
    pub age_ms: Option<u64>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeptEntry {
    uuid: String,
    dn: String,
    /// Name, share and rate, of a tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    tenant: Option<(String, f64, Option<f64>)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    members: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    merged: Vec<String>,
    /// Of a principal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    of: Option<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    who: Vec<KeptWho>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum KeptWho {
    Principal(String),
    Certificate(String),
    Key(String),
}

impl KeptWho {
    fn of(who: &Identity) -> KeptWho {
        match who {
            Identity::Principal(p) => KeptWho::Principal(p.to_string()),
            Identity::Certificate(c) => KeptWho::Certificate(c.to_string()),
            Identity::Key(k) => KeptWho::Key(hex::encode(k)),
        }
    }

    fn identity(self) -> Option<Identity> {
        match self {
            KeptWho::Principal(p) => Some(Identity::Principal(p.into())),
            KeptWho::Certificate(c) => Some(Identity::Certificate(c.into())),
            KeptWho::Key(k) => hash(&k).map(Identity::Key),
        }
    }
}

/// 32 bytes from their hex.
fn hash(text: &str) -> Option<[u8; 32]> {
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

    fn tenant(n: u8, name: &str, more: &[(&str, &str)]) -> News {
        let mut attributes = vec![("objectClass", "Organization"), ("o", name)];
        attributes.extend(more);
        News::Entry { uuid: id(n), entry: entry(&format!("o={name},dc=x"), &attributes) }
    }

    fn user(n: u8, dn: &str, uid: &str, more: &[(&str, &str)]) -> News {
        let mut attributes = vec![("objectClass", "person"), ("uid", uid)];
        attributes.extend(more);
        News::Entry { uuid: id(n), entry: entry(dn, &attributes) }
    }

    fn filled(news: Vec<News>) -> Directory {
        let mut d = Directory::new(Tenancy::default());
        d.take(0, News::Begin);
        news.into_iter().for_each(|n| {
            d.take(0, n);
        });
        assert!(d.take(0, News::End { whole: true }));
        d
    }

    fn whose(d: &Directory, uid: &str) -> Option<String> {
        let v = d.version();
        v.of(&Identity::Principal(uid.into())).and_then(|t| v.tenant(t)).map(|t| t.name.to_string())
    }

    #[test]
    fn principals_belong_by_attribute_by_group_and_by_subtree_in_this_order() {
        let d = filled(vec![
            tenant(1, "Acme", &[("rockpickShare", "3"), ("rockpickRate", "50"), ("member", "uid=b, DC=X")]),
            tenant(2, "Bolt", &[]),
            user(10, "uid=a,dc=x", "a", &[("rockpickTenant", "acme")]),
            user(11, "uid=b,dc=x", "b", &[]),
            user(12, "uid=c,ou=staff,o=Bolt,dc=x", "c", &[]),
            user(13, "uid=d,o=Bolt,dc=x", "d", &[("rockpickTenant", "o=Acme, dc=x")]),
            user(14, "uid=e,o=Bolt,dc=x", "e", &[("rockpickTenant", "nobody")]),
            user(15, "uid=f\\,o=Bolt,dc=x", "f", &[]),
        ]);
        let names = ["a", "b", "c", "d", "e", "f"].map(|u| whose(&d, u));
        let wanted = [Some("Acme"), Some("Acme"), Some("Bolt"), Some("Acme"), None, None];
        assert_eq!(names.map(|n| n.unwrap_or_default()), wanted.map(|w| w.unwrap_or_default().to_string()));
        let acme = d.version().named(0, "ACME").unwrap();
        let acme = d.version().tenant(acme).unwrap();
        assert_eq!((acme.share, acme.rate), (3.0, Some(50.0)));
    }

    #[test]
    fn a_renamed_tenant_is_itself_and_its_former_name_is_good_for_a_while() {
        let mut d = filled(vec![tenant(1, "Acme", &[]), tenant(2, "Bolt", &[])]);
        let before = (d.version().clone(), d.version().named(0, "acme").unwrap());
        assert!(d.take(SEC, tenant(1, "Apex", &[])));
        let v = d.version();
        assert_eq!([v.named(SEC, "apex"), v.named(SEC, "acme")], [Some(before.1); 2]);
        assert_eq!((v.named(602 * SEC, "apex"), v.named(602 * SEC, "acme")), (Some(before.1), None));
        // An RPC that began before sees what it began with.
        assert_eq!(&*before.0.tenant(before.1).unwrap().name, "Acme");
        // The name is given to another: it is that one's, grace or not; and back again, in a loop.
        for turn in 0..6 {
            let (a, b) = if turn % 2 == 0 { ("Bolt", "Apex") } else { ("Apex", "Bolt") };
            d.take(2 * SEC, News::Begin);
            d.take(2 * SEC, tenant(1, a, &[]));
            d.take(2 * SEC, tenant(2, b, &[]));
            assert!(d.take(2 * SEC, News::End { whole: true }));
            assert_eq!(d.version().named(3 * SEC, a), Some(before.1), "turn {turn}");
        }
    }

    #[test]
    fn merged_tenants_lead_to_their_heir_and_loops_of_merges_lead_nowhere() {
        let key = "ab".repeat(32);
        let mut d = filled(vec![
            tenant(1, "Acme", &[]),
            tenant(2, "Bolt", &[]),
            user(10, "uid=a,dc=x", "a", &[("rockpickTenant", &uuid_text(&id(1))), ("rockpickKeyHash", &key)]),
        ]);
        let bolt = d.version().named(0, "bolt").unwrap();
        d.take(SEC, News::Begin);
        d.take(SEC, tenant(2, "Bolt", &[("rockpickMergedFrom", &uuid_text(&id(1)))]));
        d.take(SEC, News::Keep(id(10)));
        assert!(d.take(SEC, News::End { whole: true }));
        assert_eq!(
            (whose(&d, "a").as_deref(), d.version().named(2 * SEC, "acme")),
            (Some("Bolt"), Some(bolt))
        );
        assert_eq!(d.version().of(&Identity::Key([0xab; 32])), Some(bolt));
        d.take(SEC, tenant(1, "Acme", &[("rockpickMergedFrom", &uuid_text(&id(2)))]));
        assert_eq!(whose(&d, "a").as_deref(), Some("Acme"));
    }

    #[test]
    fn an_empty_directory_is_not_believed_until_it_is_back_or_confirmed() {
        let all = |d: &mut Directory, now: Ns, many: u8| {
            d.take(now, News::Begin);
            (0..many).for_each(|n| {
                d.take(now, tenant(n, &format!("t{n}"), &[]));
            });
            d.take(now, News::End { whole: true })
        };
        let mut d = Directory::new(Tenancy::default());
        assert!(all(&mut d, 0, 20));
        for (now, many) in [(1, 0), (2, 9)] {
            assert!(!all(&mut d, now * SEC, many));
            assert_eq!((d.version().len(), d.suspicion.as_ref().map(|s| s.since)), (20, Some(SEC)));
        }
        // Most are back: believed again by itself.
        assert!(all(&mut d, 3 * SEC, 15) && d.suspicion.is_none() && d.version().len() == 15);
        // Bit by bit within a minute is no better than at once.
        for n in (5..15).rev() {
            d.take(4 * SEC, News::Gone(id(n)));
        }
        assert!(d.suspicion.is_some() && d.version().len() >= 10, "{}", d.version().len());
        assert!(d.confirm(5 * SEC) && d.version().len() == 5 && d.suspicion.is_none());
        assert!(!d.confirm(6 * SEC));
    }

    #[test]
    fn a_snapshot_brings_back_the_same_and_bad_entries_harm_themselves_alone() {
        let mut d = filled(vec![
            tenant(1, "Acme", &[("rockpickRate", "9")]),
            user(10, "uid=a,o=Acme,dc=x", "a", &[]),
            user(11, "uid=b,o=Acme,dc=x", &"x".repeat(5_000), &[]),
            tenant(3, "", &[]),
        ]);
        let hostile = Entry { dn: vec![0xff, 0xfe].into(), attributes: Vec::new() };
        d.take(0, News::Entry { uuid: id(4), entry: hostile });
        assert_eq!((d.version().len(), d.left_out), (1, 2));
        let text = serde_json::to_string(&d.save(5 * SEC)).unwrap();
        let mut again = Directory::new(Tenancy::default());
        again.restore(100 * SEC, serde_json::from_str(&text).unwrap(), 2_000);
        assert_eq!((whose(&again, "a").as_deref(), again.fresh), (Some("Acme"), Some(93 * SEC)));
        assert_eq!(again.version().tenant(0).unwrap().rate, Some(9.0));
    }

    /// Finding 39: after more tenants than there may be at a time, in years, new ones are still known.
    #[test]
    fn tenants_that_have_gone_make_room_for_new_ones() {
        let mut d = filled(vec![tenant(1, "one", &[])]);
        for i in 0..MOST_TENANTS as u128 {
            d.ids.insert((i << 8 | 0xff).to_be_bytes(), d.next);
            d.next += 1;
        }
        let before = d.version().named(0, "one");
        assert!(d.take(0, tenant(2, "two", &[])));
        assert_eq!((d.version().named(0, "one"), d.version().len(), d.left_out), (before, 2, 0));
        assert!(d.version().named(0, "two") > before, "no number is given anew");
        // An age out of all bounds in a snapshot.
        let kept = Kept { age_ms: Some(u64::MAX), ..d.save(0) };
        Directory::new(Tenancy::default()).restore(0, kept, u64::MAX);
    }
}
