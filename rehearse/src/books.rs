//! The rehearsal's directory: what it holds in the morning, and what has changed when it returns: a tenant
//! renamed, one merged into another, one gone, one new. Clients go on naming the former ones.
use rockpick_tenant::DirectorySettings;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};

/// Tenants in the morning; clients are of the first three.
const FIRMS: usize = 12;
/// Those after the return: one merged, one gone, one new.
pub const AFTER: u64 = FIRMS as u64 - 1;

fn id(n: usize) -> String {
    format!("{n:08x}-0000-0000-0000-000000000000")
}

fn firm(n: usize, name: &str, merged: Option<usize>) -> Value {
    let mut entry = json!({ "uuid": id(n), "dn": format!("o={name},dc=x"),
        "attributes": { "objectClass": ["organization"], "o": [name] } });
    if let Some(from) = merged {
        entry["attributes"]["rockpickMergedFrom"] = json!([id(from)]);
    }
    entry
}

/// The directory's entries before it is lost, and once it is back.
pub fn entries(back: bool) -> Value {
    let mut list =
        vec![json!({ "uuid": id(9_999), "dn": "dc=x", "attributes": { "objectClass": ["domain"] } })];
    list.extend((0..FIRMS).filter_map(|n| match (n, back) {
        (0, true) => Some(firm(n, "renamed", None)),
        (1 | 9, true) => None,
        (2, true) => Some(firm(n, "firm-2", Some(1))),
        _ => Some(firm(n, &format!("firm-{n}"), None)),
    }));
    if back {
        list.push(firm(FIRMS, "new", None));
    }
    list.into()
}

/// Where it listens, and where it is controlled: ports that the system had to give, kept over its absence.
pub fn addresses() -> std::io::Result<[SocketAddr; 2]> {
    let held = [TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?];
    Ok([held[0].local_addr()?, held[1].local_addr()?])
}

/// The settings' part: nobody who is unknown is served, so that what gets lost is seen.
pub fn books(at: SocketAddr) -> DirectorySettings {
    let unknown = rockpick_tenant::settings::UnknownCallersSetting::Refused;
    DirectorySettings {
        base: "dc=x".into(),
        unknown,
        answer_within_ms: 2_000,
        ..DirectorySettings::example(at)
    }
}
