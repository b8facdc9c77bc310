//! Reads the fields of one line of input in order, and base64.
use rockpick_front_settings::{nanos, FieldError};
use std::fmt;
use std::str::FromStr;

/// A field that is missing or malformed.
#[derive(Debug)]
pub struct LineError {
    message: String,
    field: String,
    why: String,
}

impl fmt::Display for LineError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}: field {}: {}", self.message, self.field, self.why)
    }
}

impl From<FieldError> for LineError {
    fn from(error: FieldError) -> LineError {
        LineError { message: "POWER_ON".into(), field: error.field, why: error.why }
    }
}

/// A line of input: the name of a message, then its fields, separated by single spaces.
pub struct Line<'a> {
    name: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        match text.split_once(' ') {
            Some((name, rest)) => Line { name, rest: Some(rest) },
            None => Line { name: text, rest: None },
        }
    }

    pub fn name(&self) -> &'a str {
        self.name
    }

    pub fn error(&self, field: &str, why: impl fmt::Display) -> LineError {
        LineError { message: self.name.into(), field: field.into(), why: why.to_string() }
    }

    /// The unread remainder of the line.
    pub fn rest(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }

    pub fn field(&mut self, name: &str) -> Result<&'a str, LineError> {
        let rest = self.rest.take().ok_or_else(|| self.error(name, "missing"))?;
        let (text, rest) = match rest.split_once(' ') {
            Some((text, rest)) => (text, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if text.is_empty() {
            return Err(self.error(name, "empty"));
        }
        Ok(text)
    }

    /// A field that may be absent, written as `-`.
    pub fn optional<T>(
        &mut self, field: &str, parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, LineError> {
        match self.field(field)? {
            "-" => Ok(None),
            text => parse(text).map(Some).ok_or_else(|| self.error(field, format!("cannot parse '{text}'"))),
        }
    }

    pub fn required<T>(&mut self, field: &str, parse: impl Fn(&str) -> Option<T>) -> Result<T, LineError> {
        self.optional(field, parse)?.ok_or_else(|| self.error(field, "required, but absent"))
    }

    pub fn int<T: FromStr>(&mut self, field: &str) -> Result<T, LineError> {
        self.required(field, |text| text.parse().ok())
    }

    pub fn time(&mut self, field: &str) -> Result<i64, LineError> {
        self.required(field, nanos)
    }

    pub fn hex(&mut self, field: &str) -> Result<u64, LineError> {
        self.required(field, |text| u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16))
    }

    pub fn flag(&mut self, field: &str) -> Result<bool, LineError> {
        self.required(field, |text| match text {
            "1" => Some(true),
            "0" => Some(false),
            _ => None,
        })
    }
}

const BASE64_ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Appends base64 with padding, or `-` for no bytes.
pub fn encode_base64(bytes: &[u8], out: &mut String) {
    if bytes.is_empty() {
        out.push('-');
    }
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |sum, b| sum << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for position in 0..4 {
            let digit = BASE64_ALPHABET[(group >> (18 - 6 * position)) as usize & 63] as char;
            out.push(if position <= chunk.len() { digit } else { '=' });
        }
    }
}

pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(4) {
        return None;
    }
    let body = text.trim_end_matches('=');
    let (mut out, mut buffer, mut bits) = (Vec::new(), 0u32, 0);
    for digit in body.bytes() {
        buffer = buffer << 6 | BASE64_ALPHABET.iter().position(|d| *d == digit)? as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((buffer >> bits) as u8);
        }
    }
    Some(out)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn base64_decodes_to_the_encoded_bytes() {
        for length in 1..9u8 {
            let raw: Vec<u8> = (0..length).map(|i| i.wrapping_mul(77)).collect();
            let mut text = String::new();
            encode_base64(&raw, &mut text);
            assert_eq!(decode_base64(&text), Some(raw));
        }
        assert_eq!(decode_base64("aGkgNw=="), Some(b"hi 7".to_vec()));
        assert_eq!(decode_base64("a*gk"), None);
    }
}
