//! A relay for notes between fronts: each front is known to the others by a socket of the relay, so that
//! notes can be lost, late, doubled or cut off without the fronts' knowing why.
use crate::day::Carried;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Notes held back for each front at most; one more is lost, as on a full line.
const MOST_HELD: usize = 4_096;

/// How notes go at present.
#[derive(Default)]
pub struct Way {
    pub carried: Carried,
    /// The fronts' zones while they are parted.
    pub zones: Vec<u32>,
    /// Where each front's own socket was last seen.
    real: HashMap<usize, SocketAddr>,
}

#[derive(Clone)]
pub struct Relay {
    /// By front: the relay's socket that stands for it.
    pub seats: Vec<SocketAddr>,
    way: Arc<Mutex<Way>>,
}

impl Relay {
    /// Begins; its threads end with the process.
    ///
    /// # Errors
    /// Sockets that can't be had.
    pub fn begin(fronts: usize, seed: u64) -> std::io::Result<Relay> {
        let socks: Vec<UdpSocket> =
            (0..fronts).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<std::io::Result<_>>()?;
        let seats = socks.iter().map(UdpSocket::local_addr).collect::<std::io::Result<_>>()?;
        let relay = Relay { seats, way: Arc::default() };
        let socks = Arc::new(socks);
        for to in 0..fronts {
            let (relay, socks) = (relay.clone(), socks.clone());
            let chance = StdRng::seed_from_u64(seed ^ to as u64);
            std::thread::spawn(move || relay.carry(to, &socks, chance));
        }
        Ok(relay)
    }

    pub fn change(&self, change: impl FnOnce(&mut Way)) {
        change(&mut self.way.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn carry(&self, to: usize, socks: &[UdpSocket], mut chance: StdRng) {
        let mut buf = [0; 2048];
        let mut held: BTreeMap<(Instant, u64), (usize, SocketAddr, Vec<u8>)> = BTreeMap::new();
        let mut serial = 0;
        loop {
            let now = Instant::now();
            while let Some(entry) = held.first_entry().filter(|e| e.key().0 <= now) {
                let (sender, at, note) = entry.remove();
                let _ = socks[sender].send_to(&note, at);
            }
            let next = held.first_key_value().map(|((due, _), _)| *due - now);
            let wait = next.unwrap_or(Duration::from_secs(1)).max(Duration::from_millis(1));
            let _ = socks[to].set_read_timeout(Some(wait));
            let Ok((n, from)) = socks[to].recv_from(&mut buf) else { continue };
            // A note names its sender's rank after four letters; that is where the sender is.
            let rank = buf.get(4..8).and_then(|b| <[u8; 4]>::try_from(b).ok()).map(u32::from_be_bytes);
            let Some(sender) = rank.map(|r| r as usize).filter(|r| *r < socks.len() && n >= 8) else {
                continue;
            };
            let (carried, at) = {
                let mut way = self.way.lock().unwrap_or_else(PoisonError::into_inner);
                way.real.insert(sender, from);
                let parted = way.zones.get(sender) != way.zones.get(to);
                (way.carried, way.real.get(&to).copied().filter(|_| !parted))
            };
            let Some(at) = at else { continue };
            for late in carried.copies(&mut chance).into_iter().flatten() {
                if late == 0 {
                    let _ = socks[sender].send_to(&buf[..n], at);
                } else if held.len() < MOST_HELD {
                    serial += 1;
                    let due = now + Duration::from_nanos(late as u64);
                    held.insert((due, serial), (sender, at, buf[..n].to_vec()));
                }
            }
        }
    }
}
