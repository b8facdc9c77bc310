//! Splits a stream into messages. Before a message is decoded, its BER structure is validated in one pass without
//! recursion: lengths must be definite and lie within their parents, and nesting and the number of elements are
//! limited. This bounds the cost of decoding regardless of the decoder.

/// Maximum length of a message in bytes: an entry with several thousand values. Common for servers too.
pub const MAX_MESSAGE: usize = 4 * 1024 * 1024;
/// Maximum nesting: a message with a filter of twenty levels, each of which nests twice.
pub const MAX_DEPTH: usize = 48;
/// Maximum number of elements in a message.
pub const MAX_ELEMENTS: usize = 100_000;

/// Why a stream is malformed; the rest of it cannot be interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameError(pub &'static str);

/// Parses the header at the start of `bytes`: its length, the content's length, and whether the encoding is
/// constructed.
fn parse_header(bytes: &[u8]) -> Result<Option<(usize, usize, bool)>, FrameError> {
    let Some(&tag) = bytes.first() else { return Ok(None) };
    if tag & 0x1f == 0x1f {
        return Err(FrameError("multi-byte tag"));
    }
    let Some(&first) = bytes.get(1) else { return Ok(None) };
    let constructed = tag & 0x20 != 0;
    if first < 0x80 {
        return Ok(Some((2, usize::from(first), constructed)));
    }
    let length_bytes = usize::from(first & 0x7f);
    match length_bytes {
        0 => return Err(FrameError("indefinite length")),
        1..=4 => {}
        _ => return Err(FrameError("length field too long")),
    }
    let Some(digits) = bytes.get(2..2 + length_bytes) else { return Ok(None) };
    let length = digits.iter().fold(0usize, |n, b| n << 8 | usize::from(*b));
    Ok(Some((2 + length_bytes, length, constructed)))
}

/// Validates the structure of a complete message.
///
/// # Errors
/// The first violation.
pub fn validate(message: &[u8]) -> Result<(), FrameError> {
    // Ends of the enclosing elements, innermost last.
    let mut ends: Vec<usize> = vec![message.len()];
    let (mut at, mut elements) = (0, 0);
    loop {
        while ends.last() == Some(&at) {
            ends.pop();
        }
        let Some(&end) = ends.last() else { return Ok(()) };
        let (head, length, constructed) =
            parse_header(&message[at..end])?.ok_or(FrameError("element truncated by its parent"))?;
        elements += 1;
        if elements > MAX_ELEMENTS {
            return Err(FrameError("too many elements"));
        }
        if length > end - at - head {
            return Err(FrameError("element longer than its parent"));
        }
        if constructed {
            if ends.len() >= MAX_DEPTH {
                return Err(FrameError("nested too deeply"));
            }
            ends.push(at + head + length);
            at += head;
        } else {
            at += head + length;
        }
    }
}

/// Received bytes that are not split into messages yet.
#[derive(Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that were returned as messages.
    consumed: usize,
}

impl FrameReader {
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > 0 && self.consumed >= self.buffer.len() / 2 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes that are not returned as messages yet.
    pub fn buffered(&self) -> usize {
        self.buffer.len() - self.consumed
    }

    /// The next complete message, with its structure validated.
    ///
    /// # Errors
    /// The stream is malformed and cannot be continued.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        match rest.first() {
            None => return Ok(None),
            Some(0x30) => {}
            Some(_) => return Err(FrameError("message is not a sequence")),
        }
        let Some((head, length, _)) = parse_header(rest)? else { return Ok(None) };
        if length > MAX_MESSAGE {
            return Err(FrameError("message too long"));
        }
        if rest.len() < head + length {
            return Ok(None);
        }
        let from = self.consumed;
        self.consumed += head + length;
        let message = &self.buffer[from..self.consumed];
        validate(message)?;
        Ok(Some(message))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_split_regardless_of_chunks() {
        let two = [0x30, 0x03, 0x02, 0x01, 0x05, 0x30, 0x03, 0x02, 0x01, 0x06];
        for cut in 0..=two.len() {
            let mut reader = FrameReader::default();
            let mut got = Vec::new();
            for part in [&two[..cut], &two[cut..]] {
                reader.push(part);
                while let Some(m) = reader.next().unwrap() {
                    got.push(m.to_vec());
                }
            }
            assert_eq!(got, [two[..5].to_vec(), two[5..].to_vec()], "cut at {cut}");
        }
    }

    #[test]
    fn malformed_messages_are_rejected() {
        let next = |bytes: &[u8]| {
            let mut reader = FrameReader::default();
            reader.push(bytes);
            reader.next().map(|m| m.map(<[u8]>::to_vec))
        };
        assert_eq!(next(&[0x30, 0x80]), Err(FrameError("indefinite length")));
        assert_eq!(next(&[0x30, 0x84, 0x7f, 0xff, 0xff, 0xff]), Err(FrameError("message too long")));
        assert_eq!(next(&[0x30, 0x85, 0, 0, 0, 0, 1]), Err(FrameError("length field too long")));
        assert_eq!(next(&[0x04, 0x00]), Err(FrameError("message is not a sequence")));
        assert_eq!(next(&[0x30, 0x03, 0x04, 0x05, 0x00]), Err(FrameError("element longer than its parent")));
        assert_eq!(next(&[0x30, 0x01, 0x04]), Err(FrameError("element truncated by its parent")));
        assert_eq!(next(&[0x30, 0x03, 0x02, 0x01]), Ok(None));
        // A megabyte of nested elements is rejected without deep recursion.
        let mut deep = vec![0x30, 0x83, 0x0f, 0xff, 0xfb];
        let mut left = 0x0f_fffb_usize;
        while left > 5 {
            left -= 5;
            deep.extend([0x30, 0x83, (left >> 16) as u8, (left >> 8) as u8, left as u8]);
        }
        deep.resize(0x0f_fffb + 5, 0);
        assert_eq!(next(&deep), Err(FrameError("nested too deeply")));
        let many = vec![[0x05, 0x00]; MAX_ELEMENTS].concat();
        let len = many.len();
        let mut wide = vec![0x30, 0x83, (len >> 16) as u8, (len >> 8) as u8, len as u8];
        wide.extend(many);
        assert_eq!(next(&wide), Err(FrameError("too many elements")));
    }
}
