//! Authentication of datagrams: a magic number and a version, an HMAC tag under the group's key, then the payload. Datagrams
//! from senders without the key are counted and ignored. A replayed datagram has a valid tag, but its incarnations and serials
//! mark its content as outdated.
use hmac::{Hmac, Mac};
use sha2::Sha256;

pub const MAGIC: &[u8; 4] = b"RPpr";
/// The only version so far. Others are ignored and logged.
pub const VERSION: u8 = 1;
const TAG_LEN: usize = 16;
pub const HEADER_LEN: usize = MAGIC.len() + 1 + TAG_LEN;
/// Shortest key: as many bits as the tag.
pub const MIN_KEY_LEN: usize = 16;
const MAX_KEY_LEN: usize = 4_096;

#[derive(Clone)]
pub struct Authenticator(Hmac<Sha256>);

/// Why a datagram is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    TooShort,
    UnknownVersion(u8),
    BadTag,
}

impl Authenticator {
    /// # Errors
    /// The key is too short or too long.
    pub fn new(key: &[u8]) -> Result<Authenticator, String> {
        if !(MIN_KEY_LEN..=MAX_KEY_LEN).contains(&key.len()) {
            return Err(format!("the key must have {MIN_KEY_LEN} to {MAX_KEY_LEN} bytes, not {}", key.len()));
        }
        Hmac::new_from_slice(key).map(Authenticator).map_err(|err| err.to_string())
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG_LEN] {
        let mut mac = self.0.clone();
        mac.update(&[VERSION]);
        mac.update(body);
        let whole = mac.finalize().into_bytes();
        std::array::from_fn(|i| whole[i])
    }

    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        [&MAGIC[..], &[VERSION], &self.tag(body), body].concat()
    }

    /// Whether this is a datagram of this protocol, from any sender.
    pub fn is_peer_datagram(bytes: &[u8]) -> bool {
        bytes.starts_with(MAGIC)
    }

    /// # Errors
    /// Why the datagram is rejected.
    pub fn verify<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], RejectReason> {
        if bytes.len() < HEADER_LEN || !Authenticator::is_peer_datagram(bytes) {
            return Err(RejectReason::TooShort);
        }
        let version = bytes[MAGIC.len()];
        if version != VERSION {
            return Err(RejectReason::UnknownVersion(version));
        }
        let (tag, body) = bytes[MAGIC.len() + 1..].split_at(TAG_LEN);
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
    fn every_bit_of_a_datagram_is_authenticated() {
        let auth = Authenticator::new(b"a key of the group").unwrap();
        let good = auth.seal(b"a message");
        assert_eq!(auth.verify(&good), Ok(&b"a message"[..]));
        for bit in 0..good.len() * 8 {
            let mut bad = good.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            assert!(auth.verify(&bad).is_err(), "bit {bit}");
        }
        for cut in 0..good.len() {
            assert!(auth.verify(&good[..cut]).is_err(), "cut at {cut}");
        }
        assert_eq!(
            Authenticator::new(b"another key, long enough").unwrap().verify(&good),
            Err(RejectReason::BadTag)
        );
        let mut later = good.clone();
        later[4] = 2;
        assert_eq!(auth.verify(&later), Err(RejectReason::UnknownVersion(2)));
        assert!(Authenticator::new(b"short").is_err());
    }
}
