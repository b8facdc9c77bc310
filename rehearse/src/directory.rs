//! The rehearsal's directory: its first entries, and the changed ones with which it comes back: a tenant is renamed, one is
//! merged into another, one is removed and one is added. Clients keep using the former names.
use rockpick_tenant::DirectorySettings;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};

/// Tenants at the start; clients belong to the first three.
const TENANTS: usize = 12;
/// Tenants after the directory comes back: one merged, one removed, one added.
pub const TENANTS_AFTER: u64 = TENANTS as u64 - 1;

fn id(n: usize) -> String {
    format!("{n:08x}-0000-0000-0000-000000000000")
}

fn tenant(n: usize, name: &str, merged: Option<usize>) -> Value {
    let mut entry = json!({ "uuid": id(n), "dn": format!("o={name},dc=x"),
        "attributes": { "objectClass": ["organization"], "o": [name] } });
    if let Some(from) = merged {
        entry["attributes"]["rockpickMergedFrom"] = json!([id(from)]);
    }
    entry
}

/// The directory's entries before it is killed, or once it is back.
pub fn entries(back: bool) -> Value {
    let mut list =
        vec![json!({ "uuid": id(9_999), "dn": "dc=x", "attributes": { "objectClass": ["domain"] } })];
    list.extend((0..TENANTS).filter_map(|n| match (n, back) {
        (0, true) => Some(tenant(n, "renamed", None)),
        (1 | 9, true) => None,
        (2, true) => Some(tenant(n, "firm-2", Some(1))),
        _ => Some(tenant(n, &format!("firm-{n}"), None)),
    }));
    if back {
        list.push(tenant(TENANTS, "new", None));
    }
    list.into()
}

/// Reserves the directory's addresses for LDAP and for control: free ports that are used again after its restart.
pub fn reserve_addresses() -> std::io::Result<[SocketAddr; 2]> {
    let held = [TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?];
    Ok([held[0].local_addr()?, held[1].local_addr()?])
}

/// The settings for the directory. Unknown tenants are refused, so that a lost tenant shows in the outcomes.
pub fn settings(at: SocketAddr) -> DirectorySettings {
    let unknown = rockpick_tenant::settings::UnknownCallersSetting::Refused;
    DirectorySettings {
        base: "dc=x".into(),
        unknown,
        answer_within_ms: 2_000,
        ..DirectorySettings::example(at)
    }
}
