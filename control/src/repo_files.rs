//! Serves the repository's files over HTTP, whole or by byte range (RFC 9110 section 14). Only plain names below
//! `metadata/` and `targets/` are valid, so no path leads out of the repository.
use crate::settings::is_valid_name;
use rockpick_net::http::Request;
use std::fs::File;
use std::io::{ErrorKind, Seek, SeekFrom};
use std::path::Path;

/// Status, headers and body: a text, or a file with its position set and the number of bytes to send.
pub enum FileResponse {
    Text(u16, Vec<(&'static str, String)>, String),
    File(u16, Vec<(&'static str, String)>, File, u64),
}

fn error(status: u16, why: &str) -> FileResponse {
    FileResponse::Text(status, vec![("Content-Type", "text/plain".into())], format!("{why}\n"))
}

/// The first and last byte of a range `bytes=A-B`, `bytes=A-` or `bytes=-N` of a file; `None` if it can't be satisfied.
fn range(text: &str, length: u64) -> Option<(u64, u64)> {
    let (from, to) = text.strip_prefix("bytes=")?.split_once('-')?;
    let number = |s: &str| s.bytes().all(|b| b.is_ascii_digit()).then(|| s.parse::<u64>().ok())?;
    let (from, to) = match (from, to) {
        ("", last) => (length.checked_sub(number(last)?.min(length))?, length.checked_sub(1)?),
        (from, "") => (number(from)?, length.checked_sub(1)?),
        (from, to) => (number(from)?, number(to)?.min(length.checked_sub(1)?)),
    };
    (from <= to).then_some((from, to))
}

pub fn serve(repo: Option<&Path>, request: &Request) -> FileResponse {
    let Some(repo) = repo else { return error(404, "no repository is served here") };
    if request.method != "GET" && request.method != "HEAD" {
        return error(405, "files are got");
    }
    let parts: Vec<&str> = request.path().trim_start_matches("/repo/").split('/').collect();
    let (folder, name) = match parts.as_slice() {
        [folder @ ("metadata" | "targets"), name] => (*folder, *name),
        _ => return error(404, "no such file"),
    };
    // The file name of a target starts with its hash of 64 digits.
    let is_valid =
        |name: &str| is_valid_name(name) || name.len() <= 130 && name.split('.').all(is_valid_name);
    if !is_valid(name) || name.starts_with('.') {
        return error(404, "no such file");
    }
    let mut file = match File::open(repo.join(folder).join(name)) {
        Ok(file) => file,
        Err(err) if err.kind() == ErrorKind::NotFound => return error(404, "no such file"),
        Err(_) => return error(500, "the file can't be read"),
    };
    let length = match file.metadata() {
        Ok(meta) if meta.is_file() => meta.len(),
        _ => return error(404, "no such file"),
    };
    let requested_range = request.headers.get("range");
    let (status, from, to) = match requested_range.map(|r| range(r, length)) {
        None => (200, 0, length),
        Some(Some((from, last))) => (206, from, last + 1),
        Some(None) => {
            let headers = vec![("Content-Range", format!("bytes */{length}"))];
            return FileResponse::Text(416, headers, String::new());
        }
    };
    if file.seek(SeekFrom::Start(from)).is_err() {
        return error(500, "the file can't be read");
    }
    let mut headers =
        vec![("Content-Type", "application/octet-stream".to_string()), ("Accept-Ranges", "bytes".into())];
    if status == 206 {
        headers.push(("Content-Range", format!("bytes {from}-{}/{length}", to - 1)));
    }
    FileResponse::File(status, headers, file, to - from)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_are_parsed_as_in_rfc_9110() {
        for (text, wanted) in [
            ("bytes=0-9", Some((0, 9))),
            ("bytes=5-", Some((5, 99))),
            ("bytes=-10", Some((90, 99))),
            ("bytes=90-500", Some((90, 99))),
            ("bytes=100-", None),
            ("bytes=9-5", None),
            ("bytes=a-b", None),
            ("lines=0-9", None),
            ("bytes=0-1,5-6", None),
        ] {
            assert_eq!(range(text, 100), wanted, "{text}");
        }
        assert_eq!(range("bytes=0-", 0), None);
    }

    #[test]
    fn no_path_leads_out_of_the_repository() {
        let dir = std::env::temp_dir();
        for path in [
            "/repo/metadata/../x",
            "/repo/x",
            "/repo/metadata/a/b",
            "/repo/metadata/.x",
            "/repo/metadata/%2e",
        ] {
            let request = Request { method: "GET".into(), target: path.into(), ..Request::default() };
            assert!(matches!(serve(Some(&dir), &request), FileResponse::Text(404, ..)), "{path}");
        }
    }
}
