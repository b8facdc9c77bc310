//! The simple-query part of PostgreSQL's wire protocol, version 3.0, for both the client and the server side of a front
//! node. It does no I/O. Every declared length is checked as soon as the header is there, before the body is awaited.
//!
//! ```
//! use rockpick_pg::{read_frame, put_query, read_cstr, Frame};
//! let mut bytes = Vec::new();
//! put_query(&mut bytes, "SELECT 1");
//! let Ok(Frame::Complete { tag: b'Q', body, used }) = read_frame(&bytes, 1_000) else { panic!() };
//! assert_eq!((read_cstr(body), used), (Some("SELECT 1"), bytes.len()));
//! ```
mod response;

pub use response::{Response, ResponseReader, MAX_RESPONSE_LEN};

/// Longest startup message; PostgreSQL servers accept the same length.
pub const MAX_STARTUP_LEN: usize = 10_000;
/// Largest value that a client may send, in bytes, as the platform specifies.
pub const MAX_VALUE_LEN: usize = 64 * 1024;
/// Largest value that is accepted from a machine: eight times the specified maximum, as answers of 400 KB occurred.
pub const MAX_ROW_LEN: usize = 8 * MAX_VALUE_LEN;
/// Longest query: the largest value in hex, plus the statement around it.
pub const MAX_QUERY_LEN: usize = 2 * MAX_VALUE_LEN + 4_096;

const VERSION_3_0: u32 = 196_608;
const SSL_REQUEST: u32 = 80_877_103;
const GSSENC_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// SQLSTATE codes.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
pub const CANNOT_CONNECT_NOW: &str = "57P03";
pub const INTERNAL_ERROR: &str = "XX000";
pub const SYNTAX_ERROR: &str = "42601";
pub const PROTOCOL_VIOLATION: &str = "08P01";

/// Bytes that violate the protocol, with a description of the violation.
#[derive(Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// The first message of a byte stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Frame<'a> {
    Incomplete,
    Complete { tag: u8, body: &'a [u8], used: usize },
}

fn read_u32(bytes: &[u8]) -> Option<u32> {
    bytes.first_chunk::<4>().map(|b| u32::from_be_bytes(*b))
}

/// Reads one message. A body over `max_body` bytes is refused as soon as its header is there.
///
/// # Errors
/// An invalid tag, or a length that is invalid or too large.
pub fn read_frame(bytes: &[u8], max_body: usize) -> Result<Frame<'_>, ProtocolError> {
    let Some((&tag, rest)) = bytes.split_first() else { return Ok(Frame::Incomplete) };
    if !tag.is_ascii_alphabetic() {
        return Err(ProtocolError("no message begins so"));
    }
    let Some(len) = read_u32(rest) else { return Ok(Frame::Incomplete) };
    let len = len as usize;
    if len < 4 || len - 4 > max_body {
        return Err(ProtocolError("a message of such a length is not taken"));
    }
    match rest.get(4..len) {
        Some(body) => Ok(Frame::Complete { tag, body, used: 1 + len }),
        None => Ok(Frame::Incomplete),
    }
}

/// Bytes before the body of a message: its tag and its length.
const HEADER_LEN: usize = 5;

/// Number of bytes that complete the first message of a byte stream, or its header, if the header is incomplete. 0 if the
/// message is complete, or malformed.
pub fn missing_bytes(bytes: &[u8], max_body: usize) -> usize {
    match read_frame(bytes, max_body) {
        Ok(Frame::Incomplete) => {}
        Ok(Frame::Complete { .. }) | Err(_) => return 0,
    }
    match bytes.get(1..).and_then(read_u32) {
        Some(len) => (1 + len as usize).saturating_sub(bytes.len()),
        None => HEADER_LEN.saturating_sub(bytes.len()),
    }
}

/// A client's first message.
#[derive(Debug, PartialEq, Eq)]
pub enum StartupMessage {
    Incomplete,
    /// SSLRequest or GSSENCRequest; encryption is not supported, so the answer is a single `N`.
    EncryptionRequest {
        used: usize,
    },
    /// Asks to cancel a query of another connection; the protocol's only answer is to close the connection.
    CancelRequest,
    Startup {
        used: usize,
    },
}

/// Reads a client's first message.
///
/// # Errors
/// Bytes that are not a startup message of version 3.0.
pub fn read_startup(bytes: &[u8]) -> Result<StartupMessage, ProtocolError> {
    let Some(len) = read_u32(bytes) else { return Ok(StartupMessage::Incomplete) };
    let len = len as usize;
    if !(8..=MAX_STARTUP_LEN).contains(&len) {
        return Err(ProtocolError("a startup message of such a length is not taken"));
    }
    let Some(code) = read_u32(&bytes[4..]) else { return Ok(StartupMessage::Incomplete) };
    match code {
        SSL_REQUEST | GSSENC_REQUEST if len == 8 => Ok(StartupMessage::EncryptionRequest { used: 8 }),
        CANCEL_REQUEST => Ok(StartupMessage::CancelRequest),
        VERSION_3_0 => {
            let Some(body) = bytes.get(8..len) else { return Ok(StartupMessage::Incomplete) };
            // Pairs of name and value, each zero-terminated, followed by a final zero.
            let pairs = body.strip_suffix(b"\0").filter(|b| b.is_empty() || b.ends_with(b"\0"));
            let zeros = pairs.map(|b| b.iter().filter(|c| **c == 0).count());
            match zeros {
                Some(zeros) if zeros % 2 == 0 => Ok(StartupMessage::Startup { used: len }),
                _ => Err(ProtocolError("startup words that don't come in pairs")),
            }
        }
        _ => Err(ProtocolError("only version 3.0 of the protocol is spoken")),
    }
}

/// Reads a body that is a single zero-terminated UTF-8 string.
pub fn read_cstr(body: &[u8]) -> Option<&str> {
    let text = body.strip_suffix(b"\0")?;
    std::str::from_utf8(text).ok().filter(|t| !t.contains('\0'))
}

fn put_message(out: &mut Vec<u8>, tag: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let start = out.len();
    out.extend([0; 4]);
    write_body(out);
    put_len(out, start);
}

/// Fills in the length field at `start`, which counts itself and all bytes after it.
fn put_len(out: &mut [u8], start: usize) {
    let len = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&len.to_be_bytes());
}

fn put_cstr(out: &mut Vec<u8>, text: &str) {
    // An embedded zero would terminate the field early.
    out.extend(text.bytes().filter(|b| *b != 0));
    out.push(0);
}

pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let start = out.len();
    out.extend([0; 4]);
    out.extend(VERSION_3_0.to_be_bytes());
    for parameter in ["user", user, "database", database] {
        put_cstr(out, parameter);
    }
    out.push(0);
    put_len(out, start);
}

pub fn put_query(out: &mut Vec<u8>, statement: &str) {
    put_message(out, b'Q', |out| put_cstr(out, statement));
}

/// A server's response to a startup message: authentication ok without a password, parameters, ready for query.
pub fn put_startup_response(out: &mut Vec<u8>) {
    put_message(out, b'R', |out| out.extend(0u32.to_be_bytes()));
    for (name, value) in [
        ("server_version", "14.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
    ] {
        put_message(out, b'S', |out| {
            put_cstr(out, name);
            put_cstr(out, value);
        });
    }
    put_message(out, b'K', |out| out.extend([0; 8]));
    put_ready(out);
}

pub fn put_ready(out: &mut Vec<u8>) {
    put_message(out, b'Z', |out| out.push(b'I'));
}

pub fn put_empty_query_response(out: &mut Vec<u8>) {
    put_message(out, b'I', |_| {});
    put_ready(out);
}

/// An ErrorResponse. ReadyForQuery follows unless it is `fatal`, which ends the connection.
pub fn put_error(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    put_message(out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)] {
            out.push(field);
            put_cstr(out, value);
        }
        if let Some(detail) = detail {
            out.push(b'D');
            put_cstr(out, detail);
        }
        out.push(0);
    });
    if !fatal {
        put_ready(out);
    }
}

/// The value of a field of an ErrorResponse body.
pub fn error_field(body: &[u8], field: u8) -> Option<&str> {
    let mut rest = body;
    while let Some((&tag, after)) = rest.split_first().filter(|(tag, _)| **tag != 0) {
        let end = after.iter().position(|b| *b == 0)?;
        if tag == field {
            return std::str::from_utf8(&after[..end]).ok();
        }
        rest = &after[end + 1..];
    }
    None
}

/// A query result of one row and one column, as test servers send it.
pub fn put_row(out: &mut Vec<u8>, column: &str, value: &[u8], command_tag: &str) {
    put_message(out, b'T', |out| {
        out.extend(1u16.to_be_bytes());
        put_cstr(out, column);
        out.extend([0; 6]); // no table, no column number
        out.extend(17u32.to_be_bytes()); // bytea
        out.extend((-1i16).to_be_bytes());
        out.extend((-1i32).to_be_bytes());
        out.extend(1u16.to_be_bytes()); // binary
    });
    put_message(out, b'D', |out| {
        out.extend(1u16.to_be_bytes());
        out.extend((value.len() as u32).to_be_bytes());
        out.extend(value);
    });
    put_message(out, b'C', |out| put_cstr(out, command_tag));
}
