//! PostgreSQL's wire protocol, version 3, as far as simple queries go, for both sides of a front node. No I/O;
//! every declared length is judged from its header, before a byte of the body is waited for.
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

/// Longest startup message; servers in use take as much.
pub const MAX_STARTUP_LEN: usize = 10_000;
/// Largest value that a client may send, in bytes: what the platform promises.
pub const MAX_VALUE_LEN: usize = 64 * 1024;
/// Largest value that is taken from a machine: eight times the promise, as answers of 400 KB were met.
pub const MAX_ROW_LEN: usize = 8 * MAX_VALUE_LEN;
/// Longest query: the largest value in hex, and room for the statement around it.
pub const MAX_QUERY_LEN: usize = 2 * MAX_VALUE_LEN + 4_096;

const V3: u32 = 196_608;
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const CANCEL: u32 = 80_877_102;

/// SQLSTATE codes that are used here.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
pub const CANNOT_CONNECT_NOW: &str = "57P03";
pub const INTERNAL_ERROR: &str = "XX000";
pub const SYNTAX_ERROR: &str = "42601";
pub const PROTOCOL_VIOLATION: &str = "08P01";

/// Bytes that are no message of this protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// What stands at the front of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Frame<'a> {
    /// Not whole yet.
    Incomplete,
    Complete {
        tag: u8,
        body: &'a [u8],
        used: usize,
    },
}

fn read_u32(bytes: &[u8]) -> Option<u32> {
    bytes.first_chunk::<4>().map(|b| u32::from_be_bytes(*b))
}

/// Cuts one message off. A body over `most` bytes is refused by its header alone.
///
/// # Errors
/// A length that none can have, or too large a one.
pub fn read_frame(bytes: &[u8], most: usize) -> Result<Frame<'_>, ProtocolError> {
    let Some((&tag, rest)) = bytes.split_first() else { return Ok(Frame::Incomplete) };
    if !tag.is_ascii_alphabetic() {
        return Err(ProtocolError("no message begins so"));
    }
    let Some(long) = read_u32(rest) else { return Ok(Frame::Incomplete) };
    let long = long as usize;
    if long < 4 || long - 4 > most {
        return Err(ProtocolError("a message of such a length is not taken"));
    }
    match rest.get(4..long) {
        Some(body) => Ok(Frame::Complete { tag, body, used: 1 + long }),
        None => Ok(Frame::Incomplete),
    }
}

/// How a client begins.
#[derive(Debug, PartialEq, Eq)]
pub enum StartupMessage {
    Incomplete,
    /// Asks for an encryption that is not had: answered by one `N`.
    EncryptionRequest {
        used: usize,
    },
    /// Wants another connection's query ended; owed a close.
    CancelRequest,
    Startup {
        used: usize,
    },
}

/// Reads a client's first message.
///
/// # Errors
/// What is no startup message of version 3.
pub fn read_startup(bytes: &[u8]) -> Result<StartupMessage, ProtocolError> {
    let Some(long) = read_u32(bytes) else { return Ok(StartupMessage::Incomplete) };
    let long = long as usize;
    if !(8..=MAX_STARTUP_LEN).contains(&long) {
        return Err(ProtocolError("a startup message of such a length is not taken"));
    }
    let Some(code) = read_u32(&bytes[4..]) else { return Ok(StartupMessage::Incomplete) };
    match code {
        SSL | GSS if long == 8 => Ok(StartupMessage::EncryptionRequest { used: 8 }),
        CANCEL => Ok(StartupMessage::CancelRequest),
        V3 => {
            let Some(body) = bytes.get(8..long) else { return Ok(StartupMessage::Incomplete) };
            // Names and values in pairs, each ended by a zero, and one more zero.
            let whole = body.strip_suffix(b"\0").filter(|b| b.is_empty() || b.ends_with(b"\0"));
            let zeros = whole.map(|b| b.iter().filter(|c| **c == 0).count());
            match zeros {
                Some(zeros) if zeros % 2 == 0 => Ok(StartupMessage::Startup { used: long }),
                _ => Err(ProtocolError("startup words that don't come in pairs")),
            }
        }
        _ => Err(ProtocolError("only version 3.0 of the protocol is spoken")),
    }
}

/// A body that is one text ended by a zero.
pub fn read_cstr(body: &[u8]) -> Option<&str> {
    let text = body.strip_suffix(b"\0")?;
    std::str::from_utf8(text).ok().filter(|t| !t.contains('\0'))
}

fn put(out: &mut Vec<u8>, tag: u8, fill: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let at = out.len();
    out.extend([0; 4]);
    fill(out);
    let long = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&long.to_be_bytes());
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    // A zero inside would end the field early.
    out.extend(text.bytes().filter(|b| *b != 0));
    out.push(0);
}

pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let at = out.len();
    out.extend([0; 4]);
    out.extend(V3.to_be_bytes());
    for word in ["user", user, "database", database] {
        put_text(out, word);
    }
    out.push(0);
    let long = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&long.to_be_bytes());
}

pub fn put_query(out: &mut Vec<u8>, statement: &str) {
    put(out, b'Q', |out| put_text(out, statement));
}

/// What a server says to a startup message: welcome without a password, a few parameters, ready.
pub fn put_startup_response(out: &mut Vec<u8>) {
    put(out, b'R', |out| out.extend(0u32.to_be_bytes()));
    for (name, value) in [
        ("server_version", "14.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
    ] {
        put(out, b'S', |out| {
            put_text(out, name);
            put_text(out, value);
        });
    }
    put(out, b'K', |out| out.extend([0; 8]));
    put_ready(out);
}

pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', |out| out.push(b'I'));
}

pub fn put_empty_query_response(out: &mut Vec<u8>) {
    put(out, b'I', |_| {});
    put_ready(out);
}

/// An error; one that is `fatal` ends the connection, any other is followed by ready.
pub fn put_error(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    put(out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)] {
            out.push(field);
            put_text(out, value);
        }
        if let Some(detail) = detail {
            out.push(b'D');
            put_text(out, detail);
        }
        out.push(0);
    });
    if !fatal {
        put_ready(out);
    }
}

/// One field of an error's body.
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

/// One row of one column, as a server answers a query (for peers in tests).
pub fn put_row(out: &mut Vec<u8>, column: &str, value: &[u8], done: &str) {
    put(out, b'T', |out| {
        out.extend(1u16.to_be_bytes());
        put_text(out, column);
        out.extend([0; 6]); // of no table
        out.extend(17u32.to_be_bytes()); // bytea
        out.extend((-1i16).to_be_bytes());
        out.extend((-1i32).to_be_bytes());
        out.extend(1u16.to_be_bytes()); // binary
    });
    put(out, b'D', |out| {
        out.extend(1u16.to_be_bytes());
        out.extend((value.len() as u32).to_be_bytes());
        out.extend(value);
    });
    put(out, b'C', |out| put_text(out, done));
}
