//! HTTP/1.1 heads and bodies without I/O (RFC 9112). Parsing of heads is `httparse`'s; what it lets pass
//! and a router must not (bare line feeds, folded lines, two lengths) is refused here.
use std::ops::Range;

/// Longest head, request line and header lines together: double what common servers take.
pub const MAX_HEAD: usize = 16 * 1024;
/// Most header lines in a head; browsers send about twenty.
pub const MAX_HEADERS: usize = 64;
/// Longest body taken or passed on: RPCs are small, and settings of 5,000 places fit.
pub const MAX_BODY: usize = 1024 * 1024;
/// Longest line that opens a chunk, extensions included.
const MAX_CHUNK_LINE: usize = 256;

/// Why a head or body is not taken: the status to answer with (0: the peer is a server, so none) and words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub status: u16,
    pub why: &'static str,
}

fn refuse<T>(status: u16, why: &'static str) -> Result<T, Refusal> {
    Err(Refusal { status, why })
}

/// Names and values of a head's lines, kept as ranges of one buffer.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    text: String,
    spans: Vec<(Range<u32>, Range<u32>)>,
}

impl Headers {
    /// The first value under a name, whatever the case of its letters.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        let part = |r: &Range<u32>| &self.text[r.start as usize..r.end as usize];
        self.spans.iter().map(move |(n, v)| (part(n), part(v)))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// The connection stays open after the answer.
    pub keep: bool,
    pub head_only: bool,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A value of the query; no decoding, as every name and value used here is plain.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub keep: bool,
}

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// Until the connection closes: answers only.
    Close,
}

/// A head that has been read, and where its body begins.
#[derive(Debug)]
pub struct Head<T> {
    pub message: T,
    pub framing: Framing,
    pub long: usize,
    /// The client waits for `100 Continue`.
    pub expects: bool,
}

/// The end of a head in `buf`, blank line included; line feeds without a carriage return and folded lines
/// are refused, as peers disagree on them (RFC 9112 sections 2.2 and 5.2).
fn head_end(buf: &[u8]) -> Result<Option<usize>, Refusal> {
    let mut from = 0;
    while let Some(at) = buf[from..].iter().position(|b| *b == b'\n') {
        let at = from + at;
        if at == 0 || buf[at - 1] != b'\r' {
            return refuse(400, "a line feed without a carriage return");
        }
        if at + 1 > MAX_HEAD {
            return refuse(431, "the head is too long");
        }
        if at - 1 == from && from > 0 {
            return Ok(Some(at + 1));
        }
        if from > 0 && matches!(buf[from], b' ' | b'\t') {
            return refuse(400, "a folded header line");
        }
        from = at + 1;
    }
    if buf.len() > MAX_HEAD {
        return refuse(431, "the head is too long");
    }
    Ok(None)
}

/// Keeps a head's lines; text that is no UTF-8 is refused, as nothing here could pass it on unharmed.
fn headers_of(head: &[u8], parsed: &[httparse::Header]) -> Result<Headers, Refusal> {
    let base = head.as_ptr() as usize;
    let span = |part: &[u8]| {
        let part = part.trim_ascii();
        let start = (part.as_ptr() as usize).wrapping_sub(base);
        if part.is_empty() || start > head.len() {
            return 0..0;
        }
        start as u32..(start + part.len()) as u32
    };
    match std::str::from_utf8(head) {
        Ok(text) => Ok(Headers {
            text: text.into(),
            spans: parsed.iter().map(|h| (span(h.name.as_bytes()), span(h.value))).collect(),
        }),
        Err(_) => refuse(400, "a head that is no UTF-8"),
    }
}

fn framing(headers: &Headers, old: bool) -> Result<Option<Framing>, Refusal> {
    let mut lengths = headers.all("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return refuse(400, "two lengths");
    }
    let mut codings = headers.all("transfer-encoding");
    let coding = codings.next();
    if codings.next().is_some() {
        return refuse(400, "two transfer codings");
    }
    match (length, coding) {
        (Some(_), Some(_)) => refuse(400, "a length and a transfer coding"),
        (None, Some(_)) if old => refuse(400, "a transfer coding before HTTP/1.1"),
        (None, Some(c)) if c.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
        (None, Some(_)) => refuse(501, "a transfer coding other than chunked"),
        (Some(l), None) => {
            if l.is_empty() || l.len() > 12 || !l.bytes().all(|b| b.is_ascii_digit()) {
                return refuse(400, "the length is not a number");
            }
            match l.parse::<usize>() {
                Ok(n) if n <= MAX_BODY => Ok(Some(Framing::Length(n))),
                _ => refuse(413, "the body is too long"),
            }
        }
        (None, None) => Ok(None),
    }
}

fn keeps(headers: &Headers, old: bool) -> bool {
    let said = |word: &str| {
        headers.all("connection").any(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(word)))
    };
    if old {
        said("keep-alive")
    } else {
        !said("close")
    }
}

fn explain(err: httparse::Error) -> Refusal {
    match err {
        httparse::Error::TooManyHeaders => Refusal { status: 431, why: "too many header lines" },
        httparse::Error::Version => Refusal { status: 505, why: "not HTTP/1.0 or 1.1" },
        httparse::Error::Token => Refusal { status: 400, why: "a malformed request line" },
        httparse::Error::HeaderName => Refusal { status: 400, why: "a malformed header name" },
        httparse::Error::HeaderValue => Refusal { status: 400, why: "a malformed header value" },
        _ => Refusal { status: 400, why: "a malformed head" },
    }
}

/// Reads a request's head from the front of `buf`; none until it is whole.
///
/// ```
/// use rockpick_net::http::{request_head, Framing};
/// let head = request_head(b"POST /rpc/save HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi").unwrap().unwrap();
/// assert_eq!((head.message.path(), head.framing), ("/rpc/save", Framing::Length(2)));
/// assert!(request_head(b"GET / HTTP/1.1\nHost: a\n\n").is_err());
/// ```
pub fn request_head(buf: &[u8]) -> Result<Option<Head<Request>>, Refusal> {
    let Some(long) = head_end(buf)? else { return Ok(None) };
    let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut space);
    match parsed.parse(&buf[..long]).map_err(explain)? {
        httparse::Status::Complete(n) if n == long => {}
        _ => return refuse(400, "a malformed head"),
    }
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let old = parsed.version == Some(0);
    let headers = headers_of(&buf[..long], parsed.headers)?;
    let hosts = headers.all("host").count();
    if hosts > 1 || hosts == 0 && !old {
        return refuse(400, "one Host line is wanted");
    }
    if !target.starts_with('/') {
        return refuse(400, "the target is not a path");
    }
    let expects = match headers.get("expect") {
        None => false,
        Some(v) if v.eq_ignore_ascii_case("100-continue") => !old,
        Some(_) => return refuse(417, "an expectation other than 100-continue"),
    };
    let framing = framing(&headers, old)?.unwrap_or(Framing::Length(0));
    let keep = keeps(&headers, old);
    let head_only = method == "HEAD";
    let message =
        Request { method: method.into(), target: target.into(), headers, body: Vec::new(), keep, head_only };
    Ok(Some(Head { message, framing, long, expects }))
}

/// Reads an answer's head; informational ones (1xx) are passed over by the caller.
pub fn response_head(buf: &[u8]) -> Result<Option<Head<Response>>, Refusal> {
    let Some(long) = head_end(buf)? else { return Ok(None) };
    let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut space);
    match parsed.parse(&buf[..long]).map_err(explain)? {
        httparse::Status::Complete(n) if n == long => {}
        _ => return refuse(0, "a malformed head"),
    }
    let (status, old) = (parsed.code.unwrap_or(0), parsed.version == Some(0));
    let headers = headers_of(&buf[..long], parsed.headers)?;
    let empty = status < 200 || status == 204 || status == 304;
    let told = framing(&headers, old)?;
    let framing = if empty { Framing::Length(0) } else { told.unwrap_or(Framing::Close) };
    let keep = keeps(&headers, old) && framing != Framing::Close;
    Ok(Some(Head {
        message: Response { status, headers, body: Vec::new(), keep },
        framing,
        long,
        expects: false,
    }))
}

/// Takes a body apart as it arrives.
#[derive(Debug)]
pub struct Body {
    framing: Framing,
    /// Bytes still to come of the body or of the present chunk.
    left: usize,
    part: Part,
    taken: usize,
    /// Whole bodies are bounded; streams go on.
    most: usize,
}

#[derive(Debug, PartialEq, Eq)]
enum Part {
    Size,
    Data,
    DataEnd,
    Trailers(usize),
    Done,
}

impl Body {
    pub fn new(framing: Framing, most: usize) -> Self {
        let (left, part) = match framing {
            Framing::Length(0) => (0, Part::Done),
            Framing::Length(n) => (n, Part::Data),
            Framing::Chunked => (0, Part::Size),
            Framing::Close => (usize::MAX, Part::Data),
        };
        Body { framing, left, part, taken: 0, most }
    }

    pub fn done(&self) -> bool {
        self.part == Part::Done
    }

    /// The connection has closed: is the body whole by that?
    pub fn closes(&self) -> bool {
        self.done() || self.framing == Framing::Close
    }

    /// Moves what belongs to the body from `buf` to `out`; returns how many bytes of `buf` were used.
    pub fn take(&mut self, buf: &[u8], out: &mut Vec<u8>) -> Result<usize, Refusal> {
        let mut at = 0;
        loop {
            match self.part {
                Part::Done => return Ok(at),
                Part::Data => {
                    let n = self.left.min(buf.len() - at);
                    self.taken += n;
                    if self.taken > self.most {
                        return refuse(413, "the body is too long");
                    }
                    out.extend_from_slice(&buf[at..at + n]);
                    at += n;
                    if self.framing != Framing::Close {
                        self.left -= n;
                    }
                    if self.left > 0 {
                        return Ok(at);
                    }
                    self.part = if self.framing == Framing::Chunked { Part::DataEnd } else { Part::Done };
                }
                Part::DataEnd => {
                    if buf.len() - at < 2 {
                        return Ok(at);
                    }
                    if &buf[at..at + 2] != b"\r\n" {
                        return refuse(400, "a chunk longer than told");
                    }
                    at += 2;
                    self.part = Part::Size;
                }
                Part::Size => {
                    let Some(line) = line_of(&buf[at..], MAX_CHUNK_LINE)? else { return Ok(at) };
                    at += line.len() + 2;
                    let size = line.split(|b| *b == b';').next().unwrap_or(b"");
                    let size = std::str::from_utf8(size).unwrap_or("").trim_end();
                    if size.is_empty() || size.len() > 8 || !size.bytes().all(|b| b.is_ascii_hexdigit()) {
                        return refuse(400, "a chunk without a size");
                    }
                    self.left = usize::from_str_radix(size, 16).unwrap_or(usize::MAX);
                    self.part = if self.left == 0 { Part::Trailers(0) } else { Part::Data };
                }
                Part::Trailers(seen) => {
                    let Some(line) = line_of(&buf[at..], MAX_HEAD)? else { return Ok(at) };
                    at += line.len() + 2;
                    let seen = seen + line.len();
                    if seen > MAX_HEAD {
                        return refuse(431, "trailers too long");
                    }
                    self.part = if line.is_empty() { Part::Done } else { Part::Trailers(seen) };
                }
            }
        }
    }
}

fn line_of(buf: &[u8], most: usize) -> Result<Option<&[u8]>, Refusal> {
    match buf.iter().position(|b| *b == b'\n') {
        Some(0) => refuse(400, "a line feed without a carriage return"),
        Some(at) if buf[at - 1] != b'\r' => refuse(400, "a line feed without a carriage return"),
        Some(at) if at > most => refuse(400, "a line too long"),
        Some(at) => Ok(Some(&buf[..at - 1])),
        None if buf.len() > most => refuse(400, "a line too long"),
        None => Ok(None),
    }
}

pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        206 => "Partial Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        416 => "Range Not Satisfiable",
        417 => "Expectation Failed",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    }
}

/// Writes an answer's head, to which the body's framing belongs already.
pub fn write_head(out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], keep: bool) {
    write_status_and_headers(out, status, headers, keep);
    out.extend_from_slice(b"\r\n");
}

fn write_status_and_headers(out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], keep: bool) {
    use std::io::Write;
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    for (name, value) in headers {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    if !keep {
        out.extend_from_slice(b"Connection: close\r\n");
    }
}

/// Writes an answer; `body` none: a head that opens a chunked stream; `bare`: the answer to a HEAD.
pub fn write_response(
    out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], body: Option<&[u8]>, keep: bool, bare: bool,
) {
    use std::io::Write;
    write_status_and_headers(out, status, headers, keep);
    match body {
        Some(body) => {
            let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
            if !bare {
                out.extend_from_slice(body);
            }
        }
        None => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n"),
    }
}

/// Writes a whole request.
pub fn encode_request(
    method: &str, target: &str, host: &str, headers: &[(&str, &str)], body: &[u8],
) -> Vec<u8> {
    use std::io::Write;
    let mut out = Vec::with_capacity(256 + body.len());
    let _ = write!(out, "{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn status(head: &str) -> u16 {
        request_head(head.as_bytes()).err().map_or(0, |r| r.status)
    }

    #[test]
    fn heads_that_peers_read_differently_are_refused() {
        for (head, wanted) in [
            ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", 400),
            ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
            ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n", 400),
            ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501),
            ("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
            ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", 413),
            ("GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", 400),
            ("GET / HTTP/1.1\nHost: a\r\n\r\n", 400),
            ("GET / HTTP/1.1\r\nHost: a\r\nX: b\n\r\n", 400),
            ("GET / HTTP/1.1\r\n\r\n", 400),
            ("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
            ("GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400),
            ("GET http://x/ HTTP/1.1\r\nHost: a\r\n\r\n", 400),
            ("GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505),
            ("GET / HTTP/1.1\r\nHost: a\r\nExpect: wonders\r\n\r\n", 417),
        ] {
            assert_eq!(status(head), wanted, "{head:?}");
        }
        let many: String = (0..65).map(|i| format!("X{i}: y\r\n")).collect();
        assert_eq!(status(&format!("GET / HTTP/1.1\r\nHost: a\r\n{many}\r\n")), 431);
        assert_eq!(status(&format!("GET /{} HTTP/1.1\r\n", "a".repeat(MAX_HEAD))), 431);
    }

    #[test]
    fn chunks_arrive_in_any_pieces_and_bad_ones_are_refused() {
        let sent = b"4;x=y\r\nWiki\r\n5\r\npedia\r\n0\r\nT: 1\r\n\r\nNEXT";
        for cut in 1..sent.len() {
            let (mut body, mut out, mut buf) = (Body::new(Framing::Chunked, 100), Vec::new(), Vec::new());
            for piece in sent.chunks(cut) {
                buf.extend_from_slice(piece);
                let used = body.take(&buf, &mut out).unwrap();
                buf.drain(..used);
            }
            assert!(body.done());
            assert_eq!((out.as_slice(), buf.as_slice()), (&b"Wikipedia"[..], &b"NEXT"[..]));
        }
        for bad in ["x\r\n", "4\nWiki", "4\r\nWikix\r\n", "-1\r\n", "fffffffff\r\n", "\r\n"] {
            let mut body = Body::new(Framing::Chunked, 100);
            assert!(body.take(bad.as_bytes(), &mut Vec::new()).is_err(), "{bad:?}");
        }
        assert_eq!(
            Body::new(Framing::Chunked, 3).take(b"4\r\nWiki", &mut Vec::new()).unwrap_err().status,
            413
        );
    }
}
