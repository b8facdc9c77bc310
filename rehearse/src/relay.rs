//! A relay for notes between fronts: each front is known to the others by a socket of the relay, so that
//! notes can be lost without the fronts' knowing why.
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone)]
pub struct Relay {
    /// By front: the relay's socket that stands for it.
    pub seats: Vec<SocketAddr>,
    /// Where each front's own socket was last seen.
    real: Arc<Mutex<HashMap<usize, SocketAddr>>>,
    pub lose: Arc<AtomicBool>,
}

impl Relay {
    /// Begins; its threads end with the process.
    ///
    /// # Errors
    /// Sockets that can't be had.
    pub fn begin(fronts: usize) -> std::io::Result<Relay> {
        let socks: Vec<UdpSocket> =
            (0..fronts).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<std::io::Result<_>>()?;
        let seats = socks.iter().map(UdpSocket::local_addr).collect::<std::io::Result<_>>()?;
        let relay = Relay { seats, real: Arc::default(), lose: Arc::default() };
        let socks = Arc::new(socks);
        for to in 0..fronts {
            let (relay, socks) = (relay.clone(), socks.clone());
            std::thread::spawn(move || relay.carry(to, &socks));
        }
        Ok(relay)
    }

    fn carry(&self, to: usize, socks: &[UdpSocket]) {
        let mut buf = [0; 2048];
        let _ = socks[to].set_read_timeout(Some(Duration::from_secs(1)));
        loop {
            let Ok((n, from)) = socks[to].recv_from(&mut buf) else { continue };
            // A note names its sender's rank after four letters; that is where the sender is.
            let rank = buf.get(4..8).and_then(|b| <[u8; 4]>::try_from(b).ok()).map(u32::from_be_bytes);
            let Some(sender) = rank.map(|r| r as usize).filter(|r| *r < socks.len() && n >= 8) else {
                continue;
            };
            let Ok(mut real) = self.real.lock() else { return };
            real.insert(sender, from);
            let at = real.get(&to).copied();
            drop(real);
            if let Some(at) = at.filter(|_| !self.lose.load(Ordering::Relaxed)) {
                let _ = socks[sender].send_to(&buf[..n], at);
            }
        }
    }
}
