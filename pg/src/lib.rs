//! PostgreSQL's wire protocol, version 3, as far as simple queries go, for both sides of a front node. No I/O;
//! every declared length is judged from its header, before a byte of the body is waited for.
//!
//! ```
//! use rockpick_pg::{frame, put_query, text, Cut};
//! let mut bytes = Vec::new();
//! put_query(&mut bytes, "SELECT 1");
//! let Ok(Cut::Whole { tag: b'Q', body, used }) = frame(&bytes, 1_000) else { panic!() };
//! assert_eq!((text(body), used), (Some("SELECT 1"), bytes.len()));
//! ```
mod answer;

pub use answer::{Answer, Heard, MOST_ANSWER};

/// Longest startup message; servers in use take as much.
pub const MOST_STARTUP: usize = 10_000;
/// Largest value that a client may send, in bytes: what the platform promises.
pub const MOST_VALUE: usize = 64 * 1024;
/// Largest value that is taken from a machine: eight times the promise, as answers of 400 KB were met.
pub const MOST_ROW: usize = 8 * MOST_VALUE;
/// Longest query: the largest value in hex, and room for the statement around it.
pub const MOST_QUERY: usize = 2 * MOST_VALUE + 4_096;

const V3: u32 = 196_608;
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const CANCEL: u32 = 80_877_102;

/// SQLSTATE codes that are used here.
pub const TOO_MANY: &str = "53300";
pub const NOT_NOW: &str = "57P03";
pub const INTERNAL: &str = "XX000";
pub const SYNTAX: &str = "42601";
pub const PROTOCOL: &str = "08P01";

/// Bytes that are no message of this protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct Odd(pub &'static str);

/// What stands at the front of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Cut<'a> {
    /// Not whole yet.
    More,
    Whole {
        tag: u8,
        body: &'a [u8],
        used: usize,
    },
}

fn word(bytes: &[u8]) -> Option<u32> {
    bytes.first_chunk::<4>().map(|b| u32::from_be_bytes(*b))
}

/// Cuts one message off. A body over `most` bytes is refused by its header alone.
///
/// # Errors
/// A length that none can have, or too large a one.
pub fn frame(bytes: &[u8], most: usize) -> Result<Cut<'_>, Odd> {
    let Some((&tag, rest)) = bytes.split_first() else { return Ok(Cut::More) };
    if !tag.is_ascii_alphabetic() {
        return Err(Odd("no message begins so"));
    }
    let Some(long) = word(rest) else { return Ok(Cut::More) };
    let long = long as usize;
    if long < 4 || long - 4 > most {
        return Err(Odd("a message of such a length is not taken"));
    }
    match rest.get(4..long) {
        Some(body) => Ok(Cut::Whole { tag, body, used: 1 + long }),
        None => Ok(Cut::More),
    }
}

/// How a client begins.
#[derive(Debug, PartialEq, Eq)]
pub enum Start {
    More,
    /// Asks for an encryption that is not had: answered by one `N`.
    Encrypt {
        used: usize,
    },
    /// Wants another connection's query ended; owed a close.
    Cancel,
    Begin {
        used: usize,
    },
}

/// Reads a client's first message.
///
/// # Errors
/// What is no startup message of version 3.
pub fn startup(bytes: &[u8]) -> Result<Start, Odd> {
    let Some(long) = word(bytes) else { return Ok(Start::More) };
    let long = long as usize;
    if !(8..=MOST_STARTUP).contains(&long) {
        return Err(Odd("a startup message of such a length is not taken"));
    }
    let Some(code) = word(&bytes[4..]) else { return Ok(Start::More) };
    match code {
        SSL | GSS if long == 8 => Ok(Start::Encrypt { used: 8 }),
        CANCEL => Ok(Start::Cancel),
        V3 => {
            let Some(body) = bytes.get(8..long) else { return Ok(Start::More) };
            // Names and values in pairs, each ended by a zero, and one more zero.
            let whole = body.strip_suffix(b"\0").filter(|b| b.is_empty() || b.ends_with(b"\0"));
            let zeros = whole.map(|b| b.iter().filter(|c| **c == 0).count());
            match zeros {
                Some(zeros) if zeros % 2 == 0 => Ok(Start::Begin { used: long }),
                _ => Err(Odd("startup words that don't come in pairs")),
            }
        }
        _ => Err(Odd("only version 3.0 of the protocol is spoken")),
    }
}

/// A body that is one text ended by a zero.
pub fn text(body: &[u8]) -> Option<&str> {
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
pub fn put_welcome(out: &mut Vec<u8>) {
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

pub fn put_empty(out: &mut Vec<u8>) {
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
