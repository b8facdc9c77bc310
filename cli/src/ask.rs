//! Calls to the controller from the command line.
use crate::Bad2;
use rockpick_control::Settings;
use rockpick_net::http::Response;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;

/// One call, waited for; five seconds at most.
pub fn call(to: SocketAddr, method: &str, target: &str, body: &str) -> Result<Response, Bad2> {
    rockpick_rehearse::call(to, method, target, body).map_err(Bad2)
}

/// A call whose answer is printed.
pub fn say(to: SocketAddr, method: &str, target: &str, body: &str) -> Result<ExitCode, Bad2> {
    let answer = call(to, method, target, body)?;
    let text = String::from_utf8_lossy(&answer.body);
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    if answer.status >= 400 {
        match value["errors"].as_array() {
            Some(errors) => errors.iter().for_each(|e| {
                eprintln!("{}: {}", e["field"].as_str().unwrap_or(""), e["why"].as_str().unwrap_or(""));
            }),
            None => eprintln!("{text}"),
        }
        return Ok(ExitCode::from(1));
    }
    println!("{}", serde_json::to_string_pretty(&value).unwrap_or_default());
    Ok(ExitCode::SUCCESS)
}

fn json(to: SocketAddr, target: &str) -> Result<Value, Bad2> {
    let answer = call(to, "GET", target, "")?;
    let value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    if answer.status == 200 {
        Ok(value)
    } else {
        Err(Bad2(format!("GET {target}: {value}")))
    }
}

pub fn settings(to: SocketAddr) -> Result<Settings, Bad2> {
    let text = json(to, "/settings")?["settings"].to_string();
    Settings::parse(text.as_bytes()).map_err(|wrong| Bad2(format!("{}: {}", wrong[0].field, wrong[0].why)))
}

/// Names and addresses of the fronts that have watched.
pub fn fronts(to: SocketAddr) -> Result<(Vec<String>, Vec<SocketAddr>), Bad2> {
    let status = json(to, "/status")?;
    let fronts = status["fronts"].as_object().cloned().unwrap_or_default();
    let addr = |at: &Value| -> Option<SocketAddr> { at["http"].as_str()?.parse().ok() };
    Ok(fronts.iter().filter_map(|(name, at)| Some((name.clone(), addr(at)?))).unzip())
}

/// Who is there, as a front holds it.
pub fn peers(front: SocketAddr, raw: bool) -> Result<ExitCode, Bad2> {
    let shown = json(front, "/peers")?;
    if raw {
        println!("{}", serde_json::to_string_pretty(&shown).unwrap_or_default());
        return Ok(ExitCode::SUCCESS);
    }
    let word = |row: &Value, field: &str| row[field].as_str().unwrap_or("").to_string();
    println!("{:<20} {:<22} {:<8} {:>5}  life", "name", "at", "status", "turn");
    let members = shown["members"].as_array().cloned().unwrap_or_default();
    for row in std::iter::once(&shown["self"]).chain(&members) {
        let [name, at, status, life] = ["name", "at", "status", "life"].map(|field| word(row, field));
        println!("{name:<20} {at:<22} {status:<8} {:>5}  {life}", row["turn"]);
    }
    println!(
        "{} there; shares are counted over {}; own troubles {}",
        shown["there"], shown["counted"], shown["troubles"]
    );
    Ok(ExitCode::SUCCESS)
}

/// Rows of a table, page by page, as many as a table can have.
fn table(front: SocketAddr, table: &str, mut each: impl FnMut(&Value)) -> Result<(), Bad2> {
    let mut from = String::new();
    loop {
        let page = json(front, &format!("/peers/rows?table={table}{from}"))?;
        page["rows"].as_array().into_iter().flatten().for_each(&mut each);
        match page["next"].as_str() {
            Some(next) => from = format!("&from={next}"),
            None => return Ok(()),
        }
    }
}

pub fn rows(front: SocketAddr, name: &str, raw: bool) -> Result<ExitCode, Bad2> {
    table(front, name, |row| {
        let word = |field: &str| row[field].as_str().unwrap_or("");
        if raw {
            println!("{row}");
        } else {
            println!("{}  {}  by {} {}", word("key"), word("row"), word("life"), row["serial"]);
        }
    })?;
    Ok(ExitCode::SUCCESS)
}

/// Tables whose digests differ are had whole, and their rows compared.
pub fn differ(fronts: &[SocketAddr]) -> Result<ExitCode, Bad2> {
    let shown: Vec<Value> = fronts.iter().map(|f| json(*f, "/peers")).collect::<Result<_, _>>()?;
    let digests = |v: &Value| v["copies"]["digests"].as_object().cloned().unwrap_or_default();
    let mut many = 0;
    for (name, digest) in digests(&shown[0]) {
        if shown.iter().all(|v| digests(v).get(&name) == Some(&digest)) {
            continue;
        }
        let mut held: BTreeMap<String, Vec<Option<String>>> = BTreeMap::new();
        for (at, front) in fronts.iter().enumerate() {
            table(*front, &name, |row| {
                let word = |field: &str| row[field].as_str().unwrap_or("").to_string();
                held.entry(word("key")).or_insert_with(|| vec![None; fronts.len()])[at] = Some(word("row"));
            })?;
        }
        for (key, rows) in held.iter().filter(|(_, rows)| rows.iter().any(|row| *row != rows[0])) {
            many += 1;
            println!("{name} {key}");
            for (front, row) in fronts.iter().zip(rows) {
                println!("  {front}: {}", row.as_deref().unwrap_or("not held"));
            }
        }
    }
    println!("{many} rows differ");
    Ok(ExitCode::from(u8::from(many > 0)))
}

pub fn status(to: SocketAddr, raw: bool) -> Result<ExitCode, Bad2> {
    let status = json(to, "/status")?;
    if raw {
        println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
        return Ok(ExitCode::SUCCESS);
    }
    let stage = &status["stage"];
    if stage.is_null() {
        println!("no settings were given yet");
        return Ok(ExitCode::SUCCESS);
    }
    let seconds = |ms: &Value| ms.as_f64().unwrap_or(0.0) / 1e3;
    println!(
        "build {} stage {} {}, cap {}, for {:.1} s; earlier build {}; settings {}",
        stage["build"],
        stage["stage"],
        stage["phase"].as_str().unwrap_or(""),
        stage["cap"],
        seconds(&stage["age_ms"]),
        stage["earlier"],
        status["settings_version"]
    );
    for vote in status["votes"].as_array().into_iter().flatten() {
        println!("vote {} {}", vote["front"].as_str().unwrap_or(""), vote["verdict"].as_str().unwrap_or(""));
    }
    println!("{:<16} {:<22} {:>6} {:<9} {:>9}", "machine", "address", "build", "state", "age s");
    for m in status["machines"].as_array().into_iter().flatten() {
        println!(
            "{:<16} {:<22} {:>6} {:<9} {:>9.1}",
            m["name"].as_str().unwrap_or(""),
            m["addr"].as_str().unwrap_or(""),
            m["build"],
            m["state"].as_str().unwrap_or(""),
            seconds(&m["age_ms"])
        );
    }
    let watching: Vec<&str> =
        status["watching"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    for (name, at) in status["fronts"].as_object().into_iter().flatten() {
        let word = if watching.contains(&name.as_str()) { "watching" } else { "away" };
        println!("front {name} {} {word}", at["http"].as_str().unwrap_or(""));
    }
    Ok(ExitCode::SUCCESS)
}
