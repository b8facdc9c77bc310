//! A stream cut into messages. Before a message is decoded its BER is walked once, without recursion: lengths
//! must be definite and lie within their parents, nesting and elements are bounded. What decoding may cost
//! is so bounded before it begins, whatever the decoder does.

/// Bytes of a message at most: an entry of some thousand values. Servers commonly take as much.
pub const MAX_MESSAGE: usize = 4 * 1024 * 1024;
/// Nesting at most: a filter of twenty levels, each two deep, in its message.
pub const MAX_DEPTH: usize = 48;
/// Elements of a message at most.
pub const MAX_ELEMENTS: usize = 100_000;

/// Why a stream makes no sense; nothing that follows on it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal(pub &'static str);

/// A header at the start of `bytes`: its own length, its content's, and whether that is made of elements.
fn header(bytes: &[u8]) -> Result<Option<(usize, usize, bool)>, Refusal> {
    let Some(&tag) = bytes.first() else { return Ok(None) };
    if tag & 0x1f == 0x1f {
        return Err(Refusal("a tag of more than one byte"));
    }
    let Some(&first) = bytes.get(1) else { return Ok(None) };
    let made = tag & 0x20 != 0;
    if first < 0x80 {
        return Ok(Some((2, usize::from(first), made)));
    }
    let many = usize::from(first & 0x7f);
    match many {
        0 => return Err(Refusal("an indefinite length")),
        1..=4 => {}
        _ => return Err(Refusal("a length too long")),
    }
    let Some(digits) = bytes.get(2..2 + many) else { return Ok(None) };
    let length = digits.iter().fold(0usize, |n, b| n << 8 | usize::from(*b));
    Ok(Some((2 + many, length, made)))
}

/// Walks a whole message.
///
/// # Errors
/// Says what does not fit.
pub fn check(message: &[u8]) -> Result<(), Refusal> {
    // Ends of the elements that the walk is in, innermost last.
    let mut ends: Vec<usize> = vec![message.len()];
    let (mut at, mut elements) = (0, 0);
    loop {
        while ends.last() == Some(&at) {
            ends.pop();
        }
        let Some(&end) = ends.last() else { return Ok(()) };
        let (head, length, made) =
            header(&message[at..end])?.ok_or(Refusal("an element cut off by its parent"))?;
        elements += 1;
        if elements > MAX_ELEMENTS {
            return Err(Refusal("too many elements"));
        }
        let over = length > end - at - head;
        if over {
            return Err(Refusal("an element longer than its parent"));
        }
        if made {
            if ends.len() >= MAX_DEPTH {
                return Err(Refusal("nested too deep"));
            }
            ends.push(at + head + length);
            at += head;
        } else {
            at += head + length;
        }
    }
}

/// What has come and is not cut yet.
#[derive(Default)]
pub struct Frames {
    came: Vec<u8>,
    taken: usize,
}

impl Frames {
    pub fn push(&mut self, bytes: &[u8]) {
        if self.taken > 0 && self.taken >= self.came.len() / 2 {
            self.came.drain(..self.taken);
            self.taken = 0;
        }
        self.came.extend_from_slice(bytes);
    }

    /// Bytes that wait for the rest of their message.
    pub fn waiting(&self) -> usize {
        self.came.len() - self.taken
    }

    /// The next whole message, walked.
    ///
    /// # Errors
    /// The stream makes no sense from here on.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<&[u8]>, Refusal> {
        let rest = &self.came[self.taken..];
        match rest.first() {
            None => return Ok(None),
            Some(0x30) => {}
            Some(_) => return Err(Refusal("a message that is no sequence")),
        }
        let Some((head, length, _)) = header(rest)? else { return Ok(None) };
        if length > MAX_MESSAGE {
            return Err(Refusal("a message too long"));
        }
        if rest.len() < head + length {
            return Ok(None);
        }
        let from = self.taken;
        self.taken += head + length;
        let message = &self.came[from..self.taken];
        check(message)?;
        Ok(Some(message))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_cut_however_they_come() {
        let two = [0x30, 0x03, 0x02, 0x01, 0x05, 0x30, 0x03, 0x02, 0x01, 0x06];
        for cut in 0..=two.len() {
            let mut frames = Frames::default();
            let mut got = Vec::new();
            for part in [&two[..cut], &two[cut..]] {
                frames.push(part);
                while let Some(m) = frames.next().unwrap() {
                    got.push(m.to_vec());
                }
            }
            assert_eq!(got, [two[..5].to_vec(), two[5..].to_vec()], "cut at {cut}");
        }
    }

    #[test]
    fn what_lies_about_itself_is_refused() {
        let next = |bytes: &[u8]| {
            let mut frames = Frames::default();
            frames.push(bytes);
            frames.next().map(|m| m.map(<[u8]>::to_vec))
        };
        assert_eq!(next(&[0x30, 0x80]), Err(Refusal("an indefinite length")));
        assert_eq!(next(&[0x30, 0x84, 0x7f, 0xff, 0xff, 0xff]), Err(Refusal("a message too long")));
        assert_eq!(next(&[0x30, 0x85, 0, 0, 0, 0, 1]), Err(Refusal("a length too long")));
        assert_eq!(next(&[0x04, 0x00]), Err(Refusal("a message that is no sequence")));
        assert_eq!(next(&[0x30, 0x03, 0x04, 0x05, 0x00]), Err(Refusal("an element longer than its parent")));
        assert_eq!(next(&[0x30, 0x01, 0x04]), Err(Refusal("an element cut off by its parent")));
        assert_eq!(next(&[0x30, 0x03, 0x02, 0x01]), Ok(None));
        // A megabyte of nesting: refused at once, without a stack of that depth.
        let mut deep = vec![0x30, 0x83, 0x0f, 0xff, 0xfb];
        let mut left = 0x0f_fffb_usize;
        while left > 5 {
            left -= 5;
            deep.extend([0x30, 0x83, (left >> 16) as u8, (left >> 8) as u8, left as u8]);
        }
        deep.resize(0x0f_fffb + 5, 0);
        assert_eq!(next(&deep), Err(Refusal("nested too deep")));
        let many = vec![[0x05, 0x00]; MAX_ELEMENTS].concat();
        let len = many.len();
        let mut wide = vec![0x30, 0x83, (len >> 16) as u8, (len >> 8) as u8, len as u8];
        wide.extend(many);
        assert_eq!(next(&wide), Err(Refusal("too many elements")));
    }
}
