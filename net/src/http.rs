//! HTTP/1.1 heads and bodies without I/O (RFC 9112). Heads are parsed by `httparse`; what it accepts and a
//! proxy must not (bare line feeds, folded lines, two lengths) is rejected here.
use std::ops::Range;

/// Maximum size of a head, request line and headers together: twice the limit of common servers.
pub const MAX_HEAD: usize = 16 * 1024;
/// Maximum number of headers; browsers send about twenty.
pub const MAX_HEADERS: usize = 64;
/// Maximum size of a body that is accepted or forwarded: RPCs are small, and settings of 5,000 places fit.
pub const MAX_BODY: usize = 1024 * 1024;
/// Maximum length of a chunk's size line, extensions included.
const MAX_CHUNK_LINE: usize = 256;

/// Why a head or body is rejected: the status to answer with (0 for responses, which are not answered) and
/// the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub status: u16,
    pub why: &'static str,
}

fn reject<T>(status: u16, why: &'static str) -> Result<T, Refusal> {
    Err(Refusal { status, why })
}

/// The headers of a message, stored as ranges of one buffer.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    text: String,
    ranges: Vec<(Range<u32>, Range<u32>)>,
}

impl Headers {
    /// The first value of a header; names are case-insensitive.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        let part = |r: &Range<u32>| &self.text[r.start as usize..r.end as usize];
        self.ranges.iter().map(move |(n, v)| (part(n), part(v)))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// Path and query as received.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    pub head_only: bool,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A value of the query string. It is not decoded, as all names and values used here are plain.
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
    pub keep_alive: bool,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// Until the connection closes; responses only.
    UntilClose,
}

/// A parsed head and its length, at which the body begins.
#[derive(Debug)]
pub struct Head<T> {
    pub message: T,
    pub framing: Framing,
    pub len: usize,
    /// The client waits for `100 Continue`.
    pub expects_continue: bool,
}

/// Finds the end of a head in `buf`, empty line included. Line feeds without a carriage return and folded
/// lines are rejected, as peers disagree on them (RFC 9112 sections 2.2 and 5.2).
fn head_end(buf: &[u8]) -> Result<Option<usize>, Refusal> {
    let mut from = 0;
    while let Some(at) = buf[from..].iter().position(|b| *b == b'\n') {
        let at = from + at;
        if at == 0 || buf[at - 1] != b'\r' {
            return reject(400, "a line feed without a carriage return");
        }
        if at + 1 > MAX_HEAD {
            return reject(431, "the head is too long");
        }
        if at - 1 == from && from > 0 {
            return Ok(Some(at + 1));
        }
        if from > 0 && matches!(buf[from], b' ' | b'\t') {
            return reject(400, "a folded header line");
        }
        from = at + 1;
    }
    if buf.len() > MAX_HEAD {
        return reject(431, "the head is too long");
    }
    Ok(None)
}

/// Collects the headers of a head. Text that is not UTF-8 is rejected, as it could not be forwarded
/// unchanged.
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
            ranges: parsed.iter().map(|h| (span(h.name.as_bytes()), span(h.value))).collect(),
        }),
        Err(_) => reject(400, "a head that is no UTF-8"),
    }
}

fn framing(headers: &Headers, http10: bool) -> Result<Option<Framing>, Refusal> {
    let mut lengths = headers.all("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return reject(400, "two lengths");
    }
    let mut codings = headers.all("transfer-encoding");
    let coding = codings.next();
    if codings.next().is_some() {
        return reject(400, "two transfer codings");
    }
    match (length, coding) {
        (Some(_), Some(_)) => reject(400, "a length and a transfer coding"),
        (None, Some(_)) if http10 => reject(400, "a transfer coding before HTTP/1.1"),
        (None, Some(c)) if c.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
        (None, Some(_)) => reject(501, "a transfer coding other than chunked"),
        (Some(l), None) => {
            if l.is_empty() || l.len() > 12 || !l.bytes().all(|b| b.is_ascii_digit()) {
                return reject(400, "the length is not a number");
            }
            match l.parse::<usize>() {
                Ok(n) if n <= MAX_BODY => Ok(Some(Framing::Length(n))),
                _ => reject(413, "the body is too long"),
            }
        }
        (None, None) => Ok(None),
    }
}

fn keeps_alive(headers: &Headers, http10: bool) -> bool {
    let has_option = |option: &str| {
        headers.all("connection").any(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(option)))
    };
    if http10 {
        has_option("keep-alive")
    } else {
        !has_option("close")
    }
}

fn parse_error(err: httparse::Error) -> Refusal {
    match err {
        httparse::Error::TooManyHeaders => Refusal { status: 431, why: "too many header lines" },
        httparse::Error::Version => Refusal { status: 505, why: "not HTTP/1.0 or 1.1" },
        httparse::Error::Token => Refusal { status: 400, why: "a malformed request line" },
        httparse::Error::HeaderName => Refusal { status: 400, why: "a malformed header name" },
        httparse::Error::HeaderValue => Refusal { status: 400, why: "a malformed header value" },
        _ => Refusal { status: 400, why: "a malformed head" },
    }
}

/// Parses the head of a request at the front of `buf`; returns `None` until it is complete.
///
/// ```
/// use rockpick_net::http::{request_head, Framing};
/// let head = request_head(b"POST /rpc/save HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi").unwrap().unwrap();
/// assert_eq!((head.message.path(), head.framing), ("/rpc/save", Framing::Length(2)));
/// assert!(request_head(b"GET / HTTP/1.1\nHost: a\n\n").is_err());
/// ```
pub fn request_head(buf: &[u8]) -> Result<Option<Head<Request>>, Refusal> {
    let Some(len) = head_end(buf)? else { return Ok(None) };
    let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut space);
    match parsed.parse(&buf[..len]).map_err(parse_error)? {
        httparse::Status::Complete(n) if n == len => {}
        _ => return reject(400, "a malformed head"),
    }
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let http10 = parsed.version == Some(0);
    let headers = headers_of(&buf[..len], parsed.headers)?;
    let hosts = headers.all("host").count();
    if hosts > 1 || hosts == 0 && !http10 {
        return reject(400, "one Host line is wanted");
    }
    if !target.starts_with('/') {
        return reject(400, "the target is not a path");
    }
    let expects_continue = match headers.get("expect") {
        None => false,
        Some(v) if v.eq_ignore_ascii_case("100-continue") => !http10,
        Some(_) => return reject(417, "an expectation other than 100-continue"),
    };
    let framing = framing(&headers, http10)?.unwrap_or(Framing::Length(0));
    let keep_alive = keeps_alive(&headers, http10);
    let head_only = method == "HEAD";
    let message = Request {
        method: method.into(),
        target: target.into(),
        headers,
        body: Vec::new(),
        keep_alive,
        head_only,
    };
    Ok(Some(Head { message, framing, len, expects_continue }))
}

/// Parses the head of a response; the caller skips informational ones (1xx).
pub fn response_head(buf: &[u8]) -> Result<Option<Head<Response>>, Refusal> {
    let Some(len) = head_end(buf)? else { return Ok(None) };
    let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut space);
    match parsed.parse(&buf[..len]).map_err(parse_error)? {
        httparse::Status::Complete(n) if n == len => {}
        _ => return reject(0, "a malformed head"),
    }
    let (status, http10) = (parsed.code.unwrap_or(0), parsed.version == Some(0));
    let headers = headers_of(&buf[..len], parsed.headers)?;
    let empty = status < 200 || status == 204 || status == 304;
    let declared = framing(&headers, http10)?;
    let framing = if empty { Framing::Length(0) } else { declared.unwrap_or(Framing::UntilClose) };
    let keep_alive = keeps_alive(&headers, http10) && framing != Framing::UntilClose;
    Ok(Some(Head {
        message: Response { status, headers, body: Vec::new(), keep_alive },
        framing,
        len,
        expects_continue: false,
    }))
}

/// Decodes a body as it arrives.
#[derive(Debug)]
pub struct Body {
    framing: Framing,
    /// Number of bytes still expected of the body or of the current chunk.
    remaining: usize,
    state: BodyState,
    length: usize,
    /// Maximum size of the body; unlimited for streams.
    max: usize,
}

#[derive(Debug, PartialEq, Eq)]
enum BodyState {
    Size,
    Data,
    DataEnd,
    Trailers(usize),
    Done,
}

impl Body {
    pub fn new(framing: Framing, max: usize) -> Self {
        let (remaining, state) = match framing {
            Framing::Length(0) => (0, BodyState::Done),
            Framing::Length(n) => (n, BodyState::Data),
            Framing::Chunked => (0, BodyState::Size),
            Framing::UntilClose => (usize::MAX, BodyState::Data),
        };
        Body { framing, remaining, state, length: 0, max }
    }

    pub fn done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// Whether the body is complete now that the connection has closed.
    pub fn ends_at_close(&self) -> bool {
        self.done() || self.framing == Framing::UntilClose
    }

    /// Moves the part of `buf` that belongs to the body to `out`; returns the number of bytes consumed.
    pub fn decode(&mut self, buf: &[u8], out: &mut Vec<u8>) -> Result<usize, Refusal> {
        let mut at = 0;
        loop {
            match self.state {
                BodyState::Done => return Ok(at),
                BodyState::Data => {
                    let n = self.remaining.min(buf.len() - at);
                    self.length += n;
                    if self.length > self.max {
                        return reject(413, "the body is too long");
                    }
                    out.extend_from_slice(&buf[at..at + n]);
                    at += n;
                    if self.framing != Framing::UntilClose {
                        self.remaining -= n;
                    }
                    if self.remaining > 0 {
                        return Ok(at);
                    }
                    self.state =
                        if self.framing == Framing::Chunked { BodyState::DataEnd } else { BodyState::Done };
                }
                BodyState::DataEnd => {
                    if buf.len() - at < 2 {
                        return Ok(at);
                    }
                    if &buf[at..at + 2] != b"\r\n" {
                        return reject(400, "a chunk longer than told");
                    }
                    at += 2;
                    self.state = BodyState::Size;
                }
                BodyState::Size => {
                    let Some(line) = crlf_line(&buf[at..], MAX_CHUNK_LINE)? else { return Ok(at) };
                    at += line.len() + 2;
                    let size = line.split(|b| *b == b';').next().unwrap_or(b"");
                    let size = std::str::from_utf8(size).unwrap_or("").trim_end();
                    if size.is_empty() || size.len() > 8 || !size.bytes().all(|b| b.is_ascii_hexdigit()) {
                        return reject(400, "a chunk without a size");
                    }
                    self.remaining = usize::from_str_radix(size, 16).unwrap_or(usize::MAX);
                    self.state = if self.remaining == 0 { BodyState::Trailers(0) } else { BodyState::Data };
                }
                BodyState::Trailers(seen) => {
                    let Some(line) = crlf_line(&buf[at..], MAX_HEAD)? else { return Ok(at) };
                    at += line.len() + 2;
                    let seen = seen + line.len();
                    if seen > MAX_HEAD {
                        return reject(431, "trailers too long");
                    }
                    self.state = if line.is_empty() { BodyState::Done } else { BodyState::Trailers(seen) };
                }
            }
        }
    }
}

fn crlf_line(buf: &[u8], max: usize) -> Result<Option<&[u8]>, Refusal> {
    match buf.iter().position(|b| *b == b'\n') {
        Some(0) => reject(400, "a line feed without a carriage return"),
        Some(at) if buf[at - 1] != b'\r' => reject(400, "a line feed without a carriage return"),
        Some(at) if at > max => reject(400, "a line too long"),
        Some(at) => Ok(Some(&buf[..at - 1])),
        None if buf.len() > max => reject(400, "a line too long"),
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

/// Writes the head of a response; the caller's headers include the framing of the body.
pub fn write_head(out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], keep_alive: bool) {
    write_status_and_headers(out, status, headers, keep_alive);
    out.extend_from_slice(b"\r\n");
}

fn write_status_and_headers(out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], keep_alive: bool) {
    use std::io::Write;
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    for (name, value) in headers {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
}

/// Writes a response. Without a body, the head starts a chunked response; with `head_only`, the body is left
/// out as for a HEAD request.
pub fn write_response(
    out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], body: Option<&[u8]>, keep_alive: bool,
    head_only: bool,
) {
    use std::io::Write;
    write_status_and_headers(out, status, headers, keep_alive);
    match body {
        Some(body) => {
            let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
            if !head_only {
                out.extend_from_slice(body);
            }
        }
        None => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n"),
    }
}

/// Encodes a request.
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
    fn heads_that_peers_read_differently_are_rejected() {
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
    fn chunks_are_decoded_in_any_pieces_and_bad_ones_rejected() {
        let sent = b"4;x=y\r\nWiki\r\n5\r\npedia\r\n0\r\nT: 1\r\n\r\nNEXT";
        for cut in 1..sent.len() {
            let (mut body, mut out, mut buf) = (Body::new(Framing::Chunked, 100), Vec::new(), Vec::new());
            for piece in sent.chunks(cut) {
                buf.extend_from_slice(piece);
                let used = body.decode(&buf, &mut out).unwrap();
                buf.drain(..used);
            }
            assert!(body.done());
            assert_eq!((out.as_slice(), buf.as_slice()), (&b"Wikipedia"[..], &b"NEXT"[..]));
        }
        for bad in ["x\r\n", "4\nWiki", "4\r\nWikix\r\n", "-1\r\n", "fffffffff\r\n", "\r\n"] {
            let mut body = Body::new(Framing::Chunked, 100);
            assert!(body.decode(bad.as_bytes(), &mut Vec::new()).is_err(), "{bad:?}");
        }
        assert_eq!(
            Body::new(Framing::Chunked, 3).decode(b"4\r\nWiki", &mut Vec::new()).unwrap_err().status,
            413
        );
    }
}
