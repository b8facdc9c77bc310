//! Metadata of the TUF specification 1.0 (sections 4.2 to 4.6): canonical JSON, keys, signatures, thresholds, versions,
//! expiry.
use ed25519_dalek::{Signature, VerifyingKey};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

pub const SPEC_VERSION: &str = "1.0.31";
pub const ROLES: [&str; 4] = ["root", "targets", "snapshot", "timestamp"];

/// Why metadata is not trusted: the check that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VerifyError {
    /// Not valid JSON of the expected form.
    Malformed(String),
    /// Fewer valid signatures than the role's threshold.
    Threshold {
        role: String,
        valid: usize,
        wanted: usize,
    },
    /// Not the version expected next.
    Version {
        role: String,
        got: u64,
        wanted: u64,
    },
    /// Older than the version trusted before.
    Rollback(String),
    Expired {
        role: String,
        at: String,
    },
    /// A length or hash that differs from the signed one.
    Mismatch(String),
    /// A required part is missing.
    Missing(String),
}

impl std::fmt::Display for VerifyError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            VerifyError::Malformed(why) => write!(out, "malformed: {why}"),
            VerifyError::Threshold { role, valid, wanted } => {
                write!(out, "{role}: {valid} valid signatures, {wanted} required")
            }
            VerifyError::Version { role, got, wanted } => {
                write!(out, "{role}: version {got}, expected {wanted}")
            }
            VerifyError::Rollback(what) => write!(out, "rolled back: {what}"),
            VerifyError::Expired { role, at } => write!(out, "{role}: expired at {at}"),
            VerifyError::Mismatch(what) => write!(out, "not what was signed for: {what}"),
            VerifyError::Missing(what) => write!(out, "missing: {what}"),
        }
    }
}

pub fn malformed(why: impl std::fmt::Display) -> VerifyError {
    VerifyError::Malformed(why.to_string())
}

/// Encodes a value as OLPC canonical JSON, the form that is signed and hashed.
pub fn canonical(value: &Value) -> Result<Vec<u8>, VerifyError> {
    let mut out = Vec::new();
    let mut ser = serde_json::Serializer::with_formatter(&mut out, olpc_cjson::CanonicalFormatter::new());
    value.serialize(&mut ser).map_err(malformed)?;
    Ok(out)
}

pub fn sha256(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Key {
    pub keytype: String,
    pub scheme: String,
    pub keyval: BTreeMap<String, String>,
}

impl Key {
    pub fn ed25519(public: &[u8; 32]) -> Key {
        let keyval = BTreeMap::from([("public".to_string(), hex::encode(public))]);
        Key { keytype: "ed25519".into(), scheme: "ed25519".into(), keyval }
    }

    /// The key's id (section 4.2): the hash of its canonical form.
    pub fn id(&self) -> Result<String, VerifyError> {
        Ok(sha256(&canonical(&serde_json::to_value(self).map_err(malformed)?)?))
    }

    fn public_key(&self) -> Option<VerifyingKey> {
        if self.keytype != "ed25519" || self.scheme != "ed25519" {
            return None;
        }
        let bytes: [u8; 32] = hex::decode(self.keyval.get("public")?).ok()?.try_into().ok()?;
        VerifyingKey::from_bytes(&bytes).ok()
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Role {
    pub keyids: Vec<String>,
    pub threshold: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Root {
    #[serde(rename = "_type")]
    pub kind: String,
    pub spec_version: String,
    pub consistent_snapshot: bool,
    pub version: u64,
    pub expires: String,
    pub keys: BTreeMap<String, Key>,
    pub roles: BTreeMap<String, Role>,
}

/// Version, length and hashes of a metadata file or a target.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct FileInfo {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub length: Option<u64>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub hashes: BTreeMap<String, String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub custom: Option<Value>,
}

/// A timestamp or snapshot: the metadata files it lists.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct FileIndex {
    #[serde(rename = "_type")]
    pub kind: String,
    pub spec_version: String,
    pub version: u64,
    pub expires: String,
    pub meta: BTreeMap<String, FileInfo>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Targets {
    #[serde(rename = "_type")]
    pub kind: String,
    pub spec_version: String,
    pub version: u64,
    pub expires: String,
    pub targets: BTreeMap<String, FileInfo>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct KeySignature {
    pub keyid: String,
    pub sig: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Signed {
    pub signatures: Vec<KeySignature>,
    pub signed: Value,
}

/// Most signatures accepted: more than any threshold in use.
const MAX_SIGNATURES: usize = 64;

impl Signed {
    pub fn read(bytes: &[u8]) -> Result<Signed, VerifyError> {
        let signed: Signed = serde_json::from_slice(bytes).map_err(malformed)?;
        if signed.signatures.len() > MAX_SIGNATURES {
            return Err(malformed("too many signatures"));
        }
        let spec = signed.signed["spec_version"].as_str().unwrap_or("");
        if !spec.starts_with("1.") {
            return Err(malformed(format!("spec_version '{spec}', expected 1.x")));
        }
        Ok(signed)
    }

    /// Parses the signed part, which must be of this `_type`.
    pub fn parse_signed<T: for<'a> Deserialize<'a>>(&self, kind: &str) -> Result<T, VerifyError> {
        if self.signed["_type"] != kind {
            return Err(malformed(format!("_type {}, expected {kind}", self.signed["_type"])));
        }
        serde_json::from_value(self.signed.clone()).map_err(malformed)
    }

    /// Checks that at least the threshold of distinct keys of the role have signed (section 5.3.4 and others). A key
    /// listed under two ids counts once, and one whose id is not its hash does not count.
    pub fn verify_role(&self, root: &Root, role: &str) -> Result<(), VerifyError> {
        let Some(wanted) = root.roles.get(role) else {
            return Err(VerifyError::Missing(format!("role {role}")));
        };
        if wanted.threshold == 0 {
            return Err(malformed(format!("{role}: a threshold of 0")));
        }
        let bytes = canonical(&self.signed)?;
        let mut valid = BTreeSet::new();
        let mut seen = BTreeSet::new();
        for KeySignature { keyid, sig } in &self.signatures {
            if !wanted.keyids.contains(keyid) || !seen.insert(keyid) {
                continue;
            }
            let Some(key) = root.keys.get(keyid).filter(|k| k.id().as_ref() == Ok(keyid)) else { continue };
            let Some(sig) = hex::decode(sig).ok().and_then(|s| Signature::from_slice(&s).ok()) else {
                continue;
            };
            if key.public_key().is_some_and(|public| public.verify_strict(&bytes, &sig).is_ok()) {
                valid.insert(&key.keyval);
            }
        }
        if valid.len() < wanted.threshold {
            let (valid, wanted) = (valid.len(), wanted.threshold);
            return Err(VerifyError::Threshold { role: role.into(), valid, wanted });
        }
        Ok(())
    }
}

/// Parses `YYYY-MM-DDTHH:MM:SSZ`, the only form that section 4.2 allows, to seconds since 1970.
///
/// ```
/// use rockpick_trust::meta::{format_date, parse_date};
/// assert_eq!(parse_date("2026-12-01T13:00:00Z"), Some(1_796_130_000));
/// assert_eq!(format_date(1_796_130_000), "2026-12-01T13:00:00Z");
/// assert_eq!(parse_date("2026-13-01T13:00:00Z"), None);
/// ```
pub fn parse_date(text: &str) -> Option<i64> {
    let b = text.as_bytes();
    let shape =
        b.len() == 20 && b[4] == b'-' && b[7] == b'-' && b[10] == b'T' && b[13] == b':' && b[16] == b':';
    if !shape || b[19] != b'Z' {
        return None;
    }
    let n = |from: usize, to: usize| -> Option<i64> {
        let part = text.get(from..to)?;
        part.bytes().all(|c| c.is_ascii_digit()).then(|| part.parse().ok())?
    };
    let (y, m, d) = (n(0, 4)?, n(5, 7)?, n(8, 10)?);
    let (h, min, s) = (n(11, 13)?, n(14, 16)?, n(17, 19)?);
    if !(1..=12).contains(&m) || !(1..=31).contains(&d) || h > 23 || min > 59 || s > 59 {
        return None;
    }
    Some(days(y, m, d) * 86_400 + h * 3_600 + min * 60 + s)
}

/// Days since 1970-01-01 in the Gregorian calendar, computed in eras of 400 years that begin in March.
fn days(y: i64, m: i64, d: i64) -> i64 {
    let y = if m <= 2 { y - 1 } else { y };
    let era = y.div_euclid(400);
    let year = y.rem_euclid(400);
    let day = (153 * (m + if m > 2 { -3 } else { 9 }) + 2) / 5 + d - 1;
    era * 146_097 + year * 365 + year / 4 - year / 100 + day - 719_468
}

/// Formats seconds since 1970 as `YYYY-MM-DDTHH:MM:SSZ`.
pub fn format_date(at: i64) -> String {
    let (day, second) = (at.div_euclid(86_400), at.rem_euclid(86_400));
    let z = day + 719_468;
    let (era, day_of_era) = (z.div_euclid(146_097), z.rem_euclid(146_097));
    let year = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let mp = (5 * day_of_year + 2) / 153;
    let (d, m) = (day_of_year - (153 * mp + 2) / 5 + 1, if mp < 10 { mp + 3 } else { mp - 9 });
    let y = year + era * 400 + i64::from(m <= 2);
    let (h, min, s) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{y:04}-{m:02}-{d:02}T{h:02}:{min:02}:{s:02}Z")
}
