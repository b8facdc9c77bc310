//! TLS over a [`crate::Net`] stream: bytes in, bytes out, on either side.
use rustls::{ConnectionCommon, SideData};
use std::io::Read;

/// Takes what has come; what was secured in it goes to `clear`, up to where it stops making sense.
///
/// # Errors
/// Why TLS broke off; what [`take_output`] still has is worth sending.
pub fn decrypt<D: SideData>(
    secure: &mut ConnectionCommon<D>, mut bytes: &[u8], clear: &mut Vec<u8>,
) -> Result<(), String> {
    while !bytes.is_empty() {
        let read = secure.read_tls(&mut bytes);
        secure.process_new_packets().map_err(|err| err.to_string())?;
        read.map_err(|_| "TLS broke off".to_string())?;
        let _ = secure.reader().read_to_end(clear);
    }
    Ok(())
}

/// What is to be sent.
pub fn take_output<D: SideData>(secure: &mut ConnectionCommon<D>) -> Vec<u8> {
    let mut out = Vec::new();
    while secure.wants_write() && secure.write_tls(&mut out).is_ok_and(|n| n > 0) {}
    out
}
