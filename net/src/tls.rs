//! TLS on top of a [`crate::Net`] stream, for clients and servers; works on buffers and does no I/O.
use rustls::{ConnectionCommon, SideData};
use std::io::Read;

/// Processes received bytes and appends the decrypted data to `plaintext`, up to the first error.
///
/// # Errors
/// The reason why TLS failed; the output of [`take_output`] should still be sent, as it may hold an alert.
pub fn decrypt<D: SideData>(
    tls: &mut ConnectionCommon<D>, mut bytes: &[u8], plaintext: &mut Vec<u8>,
) -> Result<(), String> {
    while !bytes.is_empty() {
        let read = tls.read_tls(&mut bytes);
        tls.process_new_packets().map_err(|err| err.to_string())?;
        read.map_err(|_| "reading TLS data failed".to_string())?;
        let _ = tls.reader().read_to_end(plaintext);
    }
    Ok(())
}

/// Returns the encrypted bytes to send.
pub fn take_output<D: SideData>(tls: &mut ConnectionCommon<D>) -> Vec<u8> {
    let mut out = Vec::new();
    while tls.wants_write() && tls.write_tls(&mut out).is_ok_and(|n| n > 0) {}
    out
}
