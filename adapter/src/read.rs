//! Reading one line: fields in order, plain words for what is malformed.
use rockpick_front_settings::{nanos, Wrong};
use std::fmt;
use std::str::FromStr;

/// A field that could not be read.
#[derive(Debug)]
pub struct Bad {
    message: String,
    field: String,
    why: String,
}

impl fmt::Display for Bad {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}: field {}: {}", self.message, self.field, self.why)
    }
}

impl From<Wrong> for Bad {
    fn from(wrong: Wrong) -> Bad {
        Bad { message: "POWER_ON".into(), field: wrong.field, why: wrong.why }
    }
}

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

    pub fn bad(&self, field: &str, why: impl fmt::Display) -> Bad {
        Bad { message: self.name.into(), field: field.into(), why: why.to_string() }
    }

    pub fn rest(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }

    pub fn word(&mut self, field: &str) -> Result<&'a str, Bad> {
        let rest = self.rest.take().ok_or_else(|| self.bad(field, "missing"))?;
        let (word, rest) = match rest.split_once(' ') {
            Some((word, rest)) => (word, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if word.is_empty() {
            return Err(self.bad(field, "empty"));
        }
        Ok(word)
    }

    /// A field that may be absent, as `-`.
    pub fn may<T>(&mut self, field: &str, read: impl Fn(&str) -> Option<T>) -> Result<Option<T>, Bad> {
        match self.word(field)? {
            "-" => Ok(None),
            word => read(word).map(Some).ok_or_else(|| self.bad(field, format!("cannot read '{word}'"))),
        }
    }

    pub fn must<T>(&mut self, field: &str, read: impl Fn(&str) -> Option<T>) -> Result<T, Bad> {
        self.may(field, read)?.ok_or_else(|| self.bad(field, "absent"))
    }

    pub fn int<T: FromStr>(&mut self, field: &str) -> Result<T, Bad> {
        self.must(field, |word| word.parse().ok())
    }

    pub fn time(&mut self, field: &str) -> Result<i64, Bad> {
        self.must(field, nanos)
    }

    pub fn hex(&mut self, field: &str) -> Result<u64, Bad> {
        self.must(field, |word| u64::from_str_radix(word, 16).ok().filter(|_| word.len() == 16))
    }

    pub fn flag(&mut self, field: &str) -> Result<bool, Bad> {
        self.must(field, |word| match word {
            "1" => Some(true),
            "0" => Some(false),
            _ => None,
        })
    }
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Base64 with padding; `-` for no bytes.
pub fn armour(bytes: &[u8], out: &mut String) {
    if bytes.is_empty() {
        out.push('-');
    }
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |sum, b| sum << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let letter = LETTERS[(group >> (18 - 6 * place)) as usize & 63] as char;
            out.push(if place <= chunk.len() { letter } else { '=' });
        }
    }
}

pub fn bytes(word: &str) -> Option<Vec<u8>> {
    if !word.len().is_multiple_of(4) {
        return None;
    }
    let body = word.trim_end_matches('=');
    let (mut out, mut held, mut bits) = (Vec::new(), 0u32, 0);
    for letter in body.bytes() {
        held = held << 6 | LETTERS.iter().position(|l| *l == letter)? as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((held >> bits) as u8);
        }
    }
    Some(out)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_come_back_from_their_letters() {
        for long in 1..9u8 {
            let raw: Vec<u8> = (0..long).map(|i| i.wrapping_mul(77)).collect();
            let mut text = String::new();
            armour(&raw, &mut text);
            assert_eq!(bytes(&text), Some(raw));
        }
        assert_eq!(bytes("aGkgNw=="), Some(b"hi 7".to_vec()));
        assert_eq!(bytes("a*gk"), None);
    }
}
