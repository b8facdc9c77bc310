//! A relay between real processes: each is known to the others by a seat of the relay, for datagrams, and by an address
//! of the relay for each ordered pair, for streams. What a [`LinkConditions`] says is done to what passes; the relay's record is
//! kept at this end.
use crate::plan::LinkConditions;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The maximum number of delayed datagrams for one process; further ones are lost, as in a full queue.
const MAX_DELAYED: usize = 4_096;
/// The maximum number of buffered bytes of a stalled stream; beyond it the stream is not read.
const MAX_STALLED: usize = 1 << 20;
/// The maximum number of concurrent streams of one pair.
const MAX_STREAMS: usize = 64;
/// How soon an idle stream notices a change of its link's conditions.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts of the traffic of one ordered pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    pub datagrams: u64,
    pub lost: u64,
    pub bytes: u64,
    pub resets: u64,
}

struct Inner {
    parts: usize,
    ways: Vec<LinkConditions>,
    passed: Vec<LinkCounts>,
    real: Vec<Option<SocketAddr>>,
}

#[derive(Clone)]
pub struct Relay {
    /// For each process, the address to which the others send its datagrams.
    pub addresses: Vec<SocketAddr>,
    inner: Arc<Mutex<Inner>>,
}

impl Relay {
    /// Starts the relay. Its threads run until the program exits.
    ///
    /// # Errors
    /// Sockets cannot be opened.
    pub fn start(parts: usize, seed: u64) -> std::io::Result<Relay> {
        let sockets: Vec<UdpSocket> =
            (0..parts).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<std::io::Result<_>>()?;
        let addresses = sockets.iter().map(UdpSocket::local_addr).collect::<std::io::Result<_>>()?;
        let inner = Inner {
            parts,
            ways: vec![LinkConditions::default(); parts * parts],
            passed: vec![LinkCounts::default(); parts * parts],
            real: vec![None; parts],
        };
        let relay = Relay { addresses, inner: Arc::new(Mutex::new(inner)) };
        let sockets = Arc::new(sockets);
        for to in 0..parts {
            let (relay, sockets) = (relay.clone(), sockets.clone());
            let rng = StdRng::seed_from_u64(seed ^ to as u64);
            std::thread::spawn(move || relay.forward_datagrams(to, &sockets, rng));
        }
        Ok(relay)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the real address of a process, from which its datagrams come.
    pub fn set_address(&self, who: usize, at: SocketAddr) {
        self.inner().real[who] = Some(at);
    }

    pub fn set_link(&self, from: usize, to: usize, way: LinkConditions) {
        let mut inner = self.inner();
        let at = from * inner.parts + to;
        inner.ways[at] = way;
    }

    pub fn way(&self, from: usize, to: usize) -> LinkConditions {
        let inner = self.inner();
        inner.ways[from * inner.parts + to]
    }

    pub fn counts(&self, from: usize, to: usize) -> LinkCounts {
        let inner = self.inner();
        inner.passed[from * inner.parts + to]
    }

    fn note(&self, from: usize, to: usize, note: impl FnOnce(&mut LinkCounts)) {
        let mut inner = self.inner();
        let at = from * inner.parts + to;
        note(&mut inner.passed[at]);
    }

    fn forward_datagrams(&self, to: usize, sockets: &[UdpSocket], mut rng: StdRng) {
        let mut buf = [0; 65_536];
        let mut held: BTreeMap<(Instant, u64), (usize, SocketAddr, Vec<u8>)> = BTreeMap::new();
        let mut serial = 0;
        loop {
            let now = Instant::now();
            while let Some(entry) = held.first_entry().filter(|e| e.key().0 <= now) {
                let (from, at, bytes) = entry.remove();
                let _ = sockets[from].send_to(&bytes, at);
            }
            let next = held.first_key_value().map(|((due, _), _)| *due - now);
            let wait = next.unwrap_or(Duration::from_secs(1)).max(Duration::from_millis(1));
            let _ = sockets[to].set_read_timeout(Some(wait));
            let Ok((n, came)) = sockets[to].recv_from(&mut buf) else { continue };
            let (from, at) = {
                let inner = self.inner();
                (inner.real.iter().position(|r| *r == Some(came)), inner.real[to])
            };
            // Drops datagrams from unknown addresses.
            let Some((from, at)) = from.zip(at) else { continue };
            let way = self.way(from, to);
            if way.cut || way.stalled || rng.random_bool(way.lost.clamp(0.0, 1.0)) {
                self.note(from, to, |p| p.lost += 1);
                continue;
            }
            let mut bytes = buf[..n].to_vec();
            if !bytes.is_empty() && rng.random_bool(way.flipped.clamp(0.0, 1.0)) {
                let bit = rng.random_range(0..n * 8);
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            let copies = 1 + usize::from(rng.random_bool(way.doubled.clamp(0.0, 1.0)));
            for _ in 0..copies {
                let overtaken = rng.random_bool(way.overtaken.clamp(0.0, 1.0));
                let jitter = if way.jitter > 0 { rng.random_range(0..way.jitter) } else { 0 };
                let late = way.delay + jitter + if overtaken { 50 * crate::MS } else { 0 };
                self.note(from, to, |p| p.datagrams += 1);
                if late == 0 {
                    let _ = sockets[from].send_to(&bytes, at);
                } else if held.len() < MAX_DELAYED {
                    serial += 1;
                    let due = Instant::now() + Duration::from_nanos(late as u64);
                    held.insert((due, serial), (from, at, bytes.clone()));
                }
            }
        }
    }

    /// Opens an address at which one process reaches the stream listener of another.
    ///
    /// # Errors
    /// A socket cannot be opened.
    pub fn stream(&self, from: usize, to: usize, real: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let relay = self.clone();
        std::thread::spawn(move || {
            let open = Arc::new(Mutex::new(0usize));
            for io in listener.incoming().flatten() {
                {
                    let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
                    if *open >= MAX_STREAMS {
                        continue;
                    }
                    *open += 1;
                }
                let (relay, open) = (relay.clone(), open.clone());
                std::thread::spawn(move || {
                    let _ = relay.forward_stream(io, from, to, real);
                    *open.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
                });
            }
        });
        Ok(at)
    }

    /// Forwards a connection. One that is opened while the link is cut stays open and silent, like one to a host that has
    /// disappeared.
    fn forward_stream(
        &self, near: TcpStream, from: usize, to: usize, real: SocketAddr,
    ) -> std::io::Result<()> {
        while self.way(from, to).cut || self.way(to, from).cut {
            if is_closed(&near)? {
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let far = TcpStream::connect(real)?;
        let (relay, near_too, far_too) = (self.clone(), near.try_clone()?, far.try_clone()?);
        let back = std::thread::spawn(move || relay.pump(far_too, near_too, to, from));
        let _ = self.pump(near, far, from, to);
        let _ = back.join();
        Ok(())
    }

    fn pump(&self, mut read: TcpStream, mut write: TcpStream, from: usize, to: usize) -> std::io::Result<()> {
        let mut rng = StdRng::seed_from_u64((from * 31 + to) as u64);
        let mut buf = [0; 16_384];
        let mut held: Vec<u8> = Vec::new();
        read.set_read_timeout(Some(POLL_INTERVAL))?;
        let mut ended = false;
        loop {
            let way = self.way(from, to);
            if way.reset && !held.is_empty() {
                // Resets in mid-frame: half of the buffered data is forwarded, then both sides are closed.
                let half = held.len() / 2;
                let _ = write.write_all(&held[..half]);
                self.note(from, to, |p| p.resets += 1);
                let _ = write.shutdown(Shutdown::Both);
                let _ = read.shutdown(Shutdown::Both);
                return Ok(());
            }
            let passes = !way.cut && !way.stalled;
            if passes && !held.is_empty() {
                let limit = if way.narrow > 0 { (way.narrow / 100).max(1) as usize } else { held.len() };
                let now: Vec<u8> = held.drain(..limit.min(held.len())).collect();
                if way.delay > 0 {
                    std::thread::sleep(Duration::from_nanos(way.delay as u64));
                }
                write.write_all(&now)?;
                self.note(from, to, |p| p.bytes += now.len() as u64);
                if way.narrow > 0 {
                    std::thread::sleep(POLL_INTERVAL);
                }
            }
            if ended && held.is_empty() {
                return write.shutdown(Shutdown::Write);
            }
            if ended || held.len() >= MAX_STALLED || way.narrow > 0 && !held.is_empty() {
                std::thread::sleep(if held.is_empty() { POLL_INTERVAL } else { Duration::from_millis(1) });
                continue;
            }
            match read.read(&mut buf) {
                Ok(0) => ended = true,
                Ok(n) => {
                    held.extend_from_slice(&buf[..n]);
                    if rng.random_bool(way.flipped.clamp(0.0, 1.0)) {
                        let bit = rng.random_range(0..n * 8);
                        let at = held.len() - n + bit / 8;
                        held[at] ^= 1 << (bit % 8);
                    }
                }
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => ended = true,
            }
        }
    }
}

/// Whether the peer has closed the connection; reads no data from it.
fn is_closed(io: &TcpStream) -> std::io::Result<bool> {
    io.set_read_timeout(Some(Duration::from_millis(1)))?;
    match io.peek(&mut [0]) {
        Ok(0) => Ok(true),
        Ok(_) => Ok(false),
        Err(err) => Ok(!matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn until(what: &str, mut holds: impl FnMut() -> bool) {
        let began = Instant::now();
        while !holds() {
            assert!(began.elapsed() < Duration::from_secs(10), "{what}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    #[test]
    fn datagrams_are_lost_duplicated_and_delayed_by_ordered_pair() {
        let relay = Relay::start(2, 1).unwrap();
        let sockets = [0, 1].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
        for (who, sock) in sockets.iter().enumerate() {
            relay.set_address(who, sock.local_addr().unwrap());
            sock.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        }
        let heard = |who: usize| {
            let mut buf = [0; 64];
            sockets[who].recv_from(&mut buf).ok().map(|(n, from)| (buf[..n].to_vec(), from))
        };
        sockets[0].send_to(b"a", relay.addresses[1]).unwrap();
        assert_eq!(heard(1), Some((b"a".to_vec(), relay.addresses[0])));
        relay.set_link(0, 1, LinkConditions { cut: true, ..LinkConditions::default() });
        sockets[0].send_to(b"b", relay.addresses[1]).unwrap();
        sockets[1].send_to(b"c", relay.addresses[0]).unwrap();
        assert_eq!((heard(1), heard(0)), (None, Some((b"c".to_vec(), relay.addresses[1]))));
        relay.set_link(
            0,
            1,
            LinkConditions { doubled: 1.0, delay: 20 * crate::MS, ..LinkConditions::default() },
        );
        sockets[0].send_to(b"d", relay.addresses[1]).unwrap();
        assert_eq!([heard(1), heard(1), heard(1)].iter().flatten().count(), 2);
        assert_eq!((relay.counts(0, 1).lost, relay.counts(0, 1).datagrams), (1, 3));
    }

    #[test]
    fn a_stalled_stream_stays_open_and_releases_its_data_and_a_reset_cuts_a_frame() {
        let relay = Relay::start(2, 1).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = relay.stream(0, 1, listener.local_addr().unwrap()).unwrap();
        let mut near = TcpStream::connect(at).unwrap();
        let (mut far, _) = listener.accept().unwrap();
        far.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        let mut buf = [0; 64];
        relay.set_link(0, 1, LinkConditions { stalled: true, ..LinkConditions::default() });
        near.write_all(b"held").unwrap();
        assert!(far.read(&mut buf).is_err());
        // The other direction is not affected.
        far.write_all(b"back").unwrap();
        near.read_exact(&mut buf[..4]).unwrap();
        relay.set_link(0, 1, LinkConditions::default());
        far.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        far.read_exact(&mut buf[..4]).unwrap();
        assert_eq!(&buf[..4], b"held");
        relay.set_link(0, 1, LinkConditions { reset: true, ..LinkConditions::default() });
        near.write_all(b"12345678").unwrap();
        let mut rest = Vec::new();
        let _ = far.read_to_end(&mut rest);
        assert_eq!(rest, b"1234");
        until("the reset is counted", || relay.counts(0, 1).resets == 1);
    }

    #[test]
    fn a_connection_under_a_cut_is_half_open() {
        let relay = Relay::start(2, 1).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let at = relay.stream(0, 1, listener.local_addr().unwrap()).unwrap();
        relay.set_link(1, 0, LinkConditions { cut: true, ..LinkConditions::default() });
        let near = TcpStream::connect(at).unwrap();
        std::thread::sleep(Duration::from_millis(100));
        assert!(listener.accept().is_err() && !is_closed(&near).unwrap());
        relay.set_link(1, 0, LinkConditions::default());
        until("the connection is established", || listener.accept().is_ok());
    }
}
