//! HTTP calls to the controller and to fronts, and the commands that print their replies.
use crate::CliError;
use rockpick_control::Settings;
use rockpick_net::http::Response;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Makes one call and waits for the reply, five seconds at most.
pub fn call(to: SocketAddr, method: &str, target: &str, body: &str) -> Result<Response, CliError> {
    rockpick_rehearse::call(to, method, target, body).map_err(CliError)
}

/// Makes a call and prints the reply; errors go to standard error.
pub fn call_and_print(to: SocketAddr, method: &str, target: &str, body: &str) -> Result<ExitCode, CliError> {
    let answer = call(to, method, target, body)?;
    let text = String::from_utf8_lossy(&answer.body);
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    if answer.status >= 400 {
        match value["errors"].as_array() {
            Some(errors) => errors.iter().for_each(|error| {
                eprintln!(
                    "{}: {}",
                    error["field"].as_str().unwrap_or(""),
                    error["why"].as_str().unwrap_or("")
                );
            }),
            None => eprintln!("{text}"),
        }
        return Ok(ExitCode::from(1));
    }
    println!("{}", serde_json::to_string_pretty(&value).unwrap_or_default());
    Ok(ExitCode::SUCCESS)
}

/// The JSON reply to a GET; a status other than 200 is an error.
fn get_json(to: SocketAddr, target: &str) -> Result<Value, CliError> {
    let answer = call(to, "GET", target, "")?;
    let value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    if answer.status == 200 {
        Ok(value)
    } else {
        Err(CliError(format!("GET {target}: {value}")))
    }
}

pub fn settings(to: SocketAddr) -> Result<Settings, CliError> {
    let text = get_json(to, "/settings")?["settings"].to_string();
    Settings::parse(text.as_bytes())
        .map_err(|errors| CliError(format!("{}: {}", errors[0].field, errors[0].why)))
}

/// Names and HTTP addresses of the fronts known to the controller.
pub fn fronts(to: SocketAddr) -> Result<(Vec<String>, Vec<SocketAddr>), CliError> {
    let status = get_json(to, "/status")?;
    let fronts = status["fronts"].as_object().cloned().unwrap_or_default();
    let addr = |at: &Value| -> Option<SocketAddr> { at["http"].as_str()?.parse().ok() };
    Ok(fronts.iter().filter_map(|(name, at)| Some((name.clone(), addr(at)?))).unzip())
}

/// Prints the peers that a front knows.
pub fn print_peers(front: SocketAddr, raw: bool) -> Result<ExitCode, CliError> {
    let status = get_json(front, "/peers")?;
    if raw {
        println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
        return Ok(ExitCode::SUCCESS);
    }
    let text = |row: &Value, field: &str| row[field].as_str().unwrap_or("").to_string();
    println!("{:<20} {:<22} {:<8} {:>5}  life", "name", "at", "status", "turn");
    let members = status["members"].as_array().cloned().unwrap_or_default();
    for row in std::iter::once(&status["self"]).chain(&members) {
        let [name, at, status, life] = ["name", "at", "status", "life"].map(|field| text(row, field));
        println!("{name:<20} {at:<22} {status:<8} {:>5}  {life}", row["turn"]);
    }
    println!(
        "{} present; shares are divided over {}; health penalty {}",
        status["there"], status["counted"], status["troubles"]
    );
    Ok(ExitCode::SUCCESS)
}

/// Calls a function with each row of a table, which is fetched page by page.
fn for_each_row(front: SocketAddr, table: &str, mut each: impl FnMut(&Value)) -> Result<(), CliError> {
    let mut from = String::new();
    loop {
        let page = get_json(front, &format!("/peers/rows?table={table}{from}"))?;
        page["rows"].as_array().into_iter().flatten().for_each(&mut each);
        match page["next"].as_str() {
            Some(next) => from = format!("&from={next}"),
            None => return Ok(()),
        }
    }
}

/// Prints the rows of a table.
pub fn print_rows(front: SocketAddr, table: &str, raw: bool) -> Result<ExitCode, CliError> {
    for_each_row(front, table, |row| {
        let text = |field: &str| row[field].as_str().unwrap_or("");
        if raw {
            println!("{row}");
        } else {
            println!("{}  {}  by {} {}", text("key"), text("row"), text("life"), row["serial"]);
        }
    })?;
    Ok(ExitCode::SUCCESS)
}

/// Prints the rows in which fronts differ. Only tables whose digests differ are fetched.
pub fn print_differences(fronts: &[SocketAddr]) -> Result<ExitCode, CliError> {
    let statuses: Vec<Value> = fronts.iter().map(|f| get_json(*f, "/peers")).collect::<Result<_, _>>()?;
    let digests = |v: &Value| v["copies"]["digests"].as_object().cloned().unwrap_or_default();
    let mut count = 0;
    for (name, digest) in digests(&statuses[0]) {
        if statuses.iter().all(|v| digests(v).get(&name) == Some(&digest)) {
            continue;
        }
        let mut rows_by_key: BTreeMap<String, Vec<Option<String>>> = BTreeMap::new();
        for (index, front) in fronts.iter().enumerate() {
            for_each_row(*front, &name, |row| {
                let text = |field: &str| row[field].as_str().unwrap_or("").to_string();
                let rows = rows_by_key.entry(text("key")).or_insert_with(|| vec![None; fronts.len()]);
                rows[index] = Some(text("row"));
            })?;
        }
        for (key, rows) in rows_by_key.iter().filter(|(_, rows)| rows.iter().any(|row| *row != rows[0])) {
            count += 1;
            println!("{name} {key}");
            for (front, row) in fronts.iter().zip(rows) {
                println!("  {front}: {}", row.as_deref().unwrap_or("absent"));
            }
        }
    }
    println!("{count} rows differ");
    Ok(ExitCode::from(u8::from(count > 0)))
}

/// Prints the controller's status.
pub fn print_status(to: SocketAddr, raw: bool) -> Result<ExitCode, CliError> {
    let status = get_json(to, "/status")?;
    if raw {
        println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
        return Ok(ExitCode::SUCCESS);
    }
    let stage = &status["stage"];
    if stage.is_null() {
        println!("no settings have been set");
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
        let state = if watching.contains(&name.as_str()) { "watching" } else { "away" };
        println!("front {name} {} {state}", at["http"].as_str().unwrap_or(""));
    }
    Ok(ExitCode::SUCCESS)
}
