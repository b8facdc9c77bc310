//! A datagram's seal: four letters and a version, a tag by the group's key, then the letter. A stranger without the key
//! can send what it likes: it is counted and passed over. What was recorded and is sent again has a good seal; turns
//! and serials make it old news.
use hmac::{Hmac, Mac};
use sha2::Sha256;

pub const MARK: &[u8; 4] = b"RPpr";
/// The only version so far; another is passed over, and named in the log.
pub const VERSION: u8 = 1;
const TAG: usize = 16;
pub const HEAD: usize = MARK.len() + 1 + TAG;
/// Shortest key: as many bits as the tag.
pub const MIN_KEY_LEN: usize = 16;
const MOST_KEY: usize = 4_096;

#[derive(Clone)]
pub struct Authenticator(Hmac<Sha256>);

/// Why a datagram is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    TooShort,
    UnknownVersion(u8),
    BadTag,
}

impl Authenticator {
    /// # Errors
    /// A key that is too short or too long.
    pub fn new(key: &[u8]) -> Result<Authenticator, String> {
        if !(MIN_KEY_LEN..=MOST_KEY).contains(&key.len()) {
            return Err(format!(
                "a key of {MIN_KEY_LEN} to {MOST_KEY} bytes is wanted, this has {}",
                key.len()
            ));
        }
        Hmac::new_from_slice(key).map(Authenticator).map_err(|err| err.to_string())
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG] {
        let mut mac = self.0.clone();
        mac.update(&[VERSION]);
        mac.update(body);
        let whole = mac.finalize().into_bytes();
        std::array::from_fn(|i| whole[i])
    }

    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        [&MARK[..], &[VERSION], &self.tag(body), body].concat()
    }

    /// Is this a datagram of this kind, whoever sent it?
    pub fn is_peer_datagram(bytes: &[u8]) -> bool {
        bytes.starts_with(MARK)
    }

    /// # Errors
    /// What is wrong with it.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], RejectReason> {
        if bytes.len() < HEAD || !Authenticator::is_peer_datagram(bytes) {
            return Err(RejectReason::TooShort);
        }
        let version = bytes[MARK.len()];
        if version != VERSION {
            return Err(RejectReason::UnknownVersion(version));
        }
        let (tag, body) = bytes[MARK.len() + 1..].split_at(TAG);
        let mut mac = self.0.clone();
        mac.update(&[VERSION]);
        mac.update(body);
        mac.verify_truncated_left(tag).map(|()| body).map_err(|_| RejectReason::BadTag)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_bit_and_each_byte_of_a_datagram_is_under_the_seal() {
        let seal = Authenticator::new(b"a key of the group").unwrap();
        let good = seal.seal(b"a letter");
        assert_eq!(seal.open(&good), Ok(&b"a letter"[..]));
        for bit in 0..good.len() * 8 {
            let mut bad = good.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            assert!(seal.open(&bad).is_err(), "bit {bit}");
        }
        for cut in 0..good.len() {
            assert!(seal.open(&good[..cut]).is_err(), "cut at {cut}");
        }
        assert_eq!(
            Authenticator::new(b"another key, long enough").unwrap().open(&good),
            Err(RejectReason::BadTag)
        );
        let mut later = good.clone();
        later[4] = 2;
        assert_eq!(seal.open(&later), Err(RejectReason::UnknownVersion(2)));
        assert!(Authenticator::new(b"short").is_err());
    }
}
