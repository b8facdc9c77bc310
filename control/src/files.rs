//! Files of the repository by HTTP, whole or by a range of bytes (RFC 9110 section 14). Only plain names below
//! `metadata/` and `targets/` are known, so no path leads out of the folder.
use crate::charter::plain;
use rockpick_net::http::Request;
use std::fs::File;
use std::io::{ErrorKind, Seek, SeekFrom};
use std::path::Path;

/// Status, lines, and the body: words, or a file from where it stands and how much of it.
pub enum Said {
    Words(u16, Vec<(&'static str, String)>, String),
    Bytes(u16, Vec<(&'static str, String)>, File, u64),
}

fn no(status: u16, why: &str) -> Said {
    Said::Words(status, vec![("Content-Type", "text/plain".into())], format!("{why}\n"))
}

/// The first and last byte of `bytes=A-B`, `bytes=A-` or `bytes=-N` in a file of a length; none: no such range.
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

pub fn serve(repo: Option<&Path>, request: &Request) -> Said {
    let Some(repo) = repo else { return no(404, "no repository is served here") };
    if request.method != "GET" && request.method != "HEAD" {
        return no(405, "files are got");
    }
    let parts: Vec<&str> = request.path().trim_start_matches("/repo/").split('/').collect();
    let (folder, name) = match parts.as_slice() {
        [folder @ ("metadata" | "targets"), name] => (*folder, *name),
        _ => return no(404, "no such file"),
    };
    // Targets carry a hash of 64 digits before their name.
    let known = |name: &str| plain(name) || name.len() <= 130 && name.split('.').all(plain);
    if !known(name) || name.starts_with('.') {
        return no(404, "no such file");
    }
    let mut file = match File::open(repo.join(folder).join(name)) {
        Ok(file) => file,
        Err(err) if err.kind() == ErrorKind::NotFound => return no(404, "no such file"),
        Err(_) => return no(500, "the file can't be read"),
    };
    let length = match file.metadata() {
        Ok(meta) if meta.is_file() => meta.len(),
        _ => return no(404, "no such file"),
    };
    let asked = request.headers.get("range");
    let (status, from, to) = match asked.map(|r| range(r, length)) {
        None => (200, 0, length),
        Some(Some((from, last))) => (206, from, last + 1),
        Some(None) => {
            let lines = vec![("Content-Range", format!("bytes */{length}"))];
            return Said::Words(416, lines, String::new());
        }
    };
    if file.seek(SeekFrom::Start(from)).is_err() {
        return no(500, "the file can't be read");
    }
    let mut lines =
        vec![("Content-Type", "application/octet-stream".to_string()), ("Accept-Ranges", "bytes".into())];
    if status == 206 {
        lines.push(("Content-Range", format!("bytes {from}-{}/{length}", to - 1)));
    }
    Said::Bytes(status, lines, file, to - from)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_are_read_as_the_standard_has_them() {
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
    fn no_path_leads_out() {
        let dir = std::env::temp_dir();
        for path in [
            "/repo/metadata/../x",
            "/repo/x",
            "/repo/metadata/a/b",
            "/repo/metadata/.x",
            "/repo/metadata/%2e",
        ] {
            let request = Request { method: "GET".into(), target: path.into(), ..Request::default() };
            assert!(matches!(serve(Some(&dir), &request), Said::Words(404, ..)), "{path}");
        }
    }
}
