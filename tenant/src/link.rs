//! The connection to a directory, on the caller's event loop: dialling, TLS, a session, and what the session
//! learns handed to the keeper. Nothing here is waited for.
use crate::books::Books;
use crate::keeper::Keeper;
use crate::source::Source;
use rand::rngs::StdRng;
use rand::SeedableRng;
use rockpick_ldap::{News, Out, Quest, Session};
use rockpick_net::{tls, Event, Id, Net, Ns, SEC};
use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ClientConnection};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// A connection that takes longer is none.
const CONNECT: Ns = 3 * SEC;

/// What was done so far, for the status.
#[derive(Clone, Debug, Default)]
pub struct Tolls {
    pub dialled: u64,
    pub bound: u64,
    pub failed: u64,
    pub why: String,
}

pub struct Link {
    books: Books,
    quest: Quest,
    tls: Option<Arc<ClientConfig>>,
    source: Source,
    chance: StdRng,
    conn: Option<Id>,
    to: usize,
    /// Until TLS and its session are there.
    by: Ns,
    secure: Option<Box<ClientConnection>>,
    session: Option<Session>,
    referred: Option<usize>,
    pub tolls: Tolls,
}

impl Link {
    /// # Errors
    /// Settings that do not hold.
    pub fn new(now: Ns, books: Books, fronts: usize, seed: u64) -> Result<Link, String> {
        let mut chance = StdRng::seed_from_u64(seed);
        let tls = books.tls().map_err(|(field, why)| format!("{field}: {why}"))?;
        let source = Source::new(now, books.servers.len(), fronts, books.binds_a_second, &mut chance);
        Ok(Link {
            quest: books.quest()?,
            books,
            tls,
            source,
            chance,
            conn: None,
            to: 0,
            by: Ns::MAX,
            secure: None,
            session: None,
            referred: None,
            tolls: Tolls::default(),
        })
    }

    /// Is the directory heard, and in step?
    pub fn settled(&self) -> bool {
        self.session.as_ref().is_some_and(Session::settled)
    }

    /// The server in use.
    pub fn server(&self) -> Option<SocketAddr> {
        self.conn.map(|_| self.books.servers[self.to].at)
    }

    /// Leaves politely; the connection closes.
    pub fn leave(&mut self, net: &mut Net, keeper: &Keeper) {
        if let Some(session) = &mut self.session {
            session.leave();
            self.act(net, keeper);
        }
    }

    /// Time has passed; to be called some times a second.
    pub fn tick(&mut self, net: &mut Net, keeper: &Keeper) {
        let now = net.now();
        if let Some(session) = &mut self.session {
            session.tick(now);
            self.act(net, keeper);
        } else if self.conn.is_some() && self.by <= now {
            self.failed(net, "TLS was not there in time");
        }
        if self.source.better(now, &mut self.chance) {
            if let Some(session) = &mut self.session {
                session.leave();
            }
            self.drop(net);
        }
        let Some(server) = self.source.dial(now) else { return };
        let server = self.referred.take().unwrap_or(server);
        self.to = server;
        self.tolls.dialled += 1;
        match net.dial(self.books.servers[server].at, CONNECT) {
            Ok(conn) => {
                self.conn = Some(conn);
                self.by = now + CONNECT + self.quest.within;
            }
            Err(err) => self.failed(net, &err.to_string()),
        }
    }

    /// Takes an event of its stream; false when it is not this link's.
    pub fn event(&mut self, net: &mut Net, keeper: &Keeper, event: &Event) -> bool {
        let ours = |conn: &Id| self.conn == Some(*conn);
        match event {
            Event::StreamOpened { conn } if ours(conn) => self.came(net, keeper),
            Event::StreamData { conn, bytes } if ours(conn) => self.bytes(net, keeper, bytes),
            Event::StreamClosed { conn, .. } if ours(conn) => {
                self.conn = None;
                self.failed(net, "the connection is gone");
            }
            _ => return false,
        }
        true
    }

    fn came(&mut self, net: &mut Net, keeper: &Keeper) {
        if self.books.servers[self.to].ldaps {
            self.hello(net);
        } else {
            self.begin(net.now(), false, keeper);
        }
        self.act(net, keeper);
    }

    fn begin(&mut self, now: Ns, secured: bool, keeper: &Keeper) {
        let cookie = keeper.view().cookie;
        self.session = Some(Session::begin(now, self.quest.clone(), secured, cookie));
    }

    /// Begins TLS.
    fn hello(&mut self, net: &mut Net) {
        let name = ServerName::try_from(self.books.servers[self.to].name.clone());
        let made = match (&self.tls, name) {
            (Some(tls), Ok(name)) => ClientConnection::new(tls.clone(), name).map_err(|err| err.to_string()),
            _ => Err("no TLS is set up".into()),
        };
        match made {
            Ok(secure) => self.secure = Some(Box::new(secure)),
            Err(why) => self.failed(net, &why),
        }
    }

    fn bytes(&mut self, net: &mut Net, keeper: &Keeper, bytes: &[u8]) {
        let now = net.now();
        let Some(secure) = &mut self.secure else {
            if let Some(session) = &mut self.session {
                session.bytes(now, bytes);
            }
            return self.act(net, keeper);
        };
        let mut clear = Vec::new();
        let taken = tls::decrypt(secure, bytes, &mut clear);
        if let Some(session) = self.session.as_mut().filter(|_| !clear.is_empty()) {
            session.bytes(now, &clear);
        }
        if let Err(why) = taken {
            // What is to be said of it still goes out.
            self.flush(net);
            return self.failed(net, &format!("TLS: {why}"));
        }
        if !secure.is_handshaking() {
            match &mut self.session {
                Some(session) => session.secured(now),
                None => self.begin(now, true, keeper),
            }
        }
        self.act(net, keeper);
    }

    /// Does what the session says.
    fn act(&mut self, net: &mut Net, keeper: &Keeper) {
        let now = net.now();
        let Some(session) = &mut self.session else { return self.flush(net) };
        for out in session.out() {
            match out {
                Out::Send(bytes) => match (&mut self.secure, self.conn) {
                    (Some(secure), _) => drop(secure.writer().write_all(&bytes)),
                    (None, Some(conn)) => drop(net.send(conn, &bytes)),
                    _ => {}
                },
                Out::StartTls => self.hello(net),
                Out::News(news) => {
                    match &news {
                        News::Begin => self.tolls.bound += 1,
                        News::End { .. } => {
                            self.source.good(now);
                            self.tolls.why.clear();
                        }
                        _ => {}
                    }
                    if !keeper.tell(now, news) {
                        self.flush(net);
                        return self.failed(net, "more came than could be taken in");
                    }
                }
                Out::Over { why, referral } => {
                    self.flush(net);
                    let known = |url: &String| {
                        self.books.servers.iter().position(|s| url.contains(&s.at.to_string()))
                    };
                    if self.books.follow {
                        self.referred = referral.iter().find_map(known).filter(|to| *to != self.to);
                    }
                    return self.failed(net, &why);
                }
            }
        }
        self.flush(net);
    }

    /// TLS's own bytes go out.
    fn flush(&mut self, net: &mut Net) {
        let (Some(secure), Some(conn)) = (&mut self.secure, self.conn) else { return };
        let out = tls::take_output(secure);
        if !out.is_empty() {
            net.send(conn, &out);
        }
    }

    fn drop(&mut self, net: &mut Net) {
        if let Some(conn) = self.conn.take() {
            net.close(conn);
        }
        (self.secure, self.session, self.by) = (None, None, Ns::MAX);
    }

    fn failed(&mut self, net: &mut Net, why: &str) {
        let at = self.books.servers[self.to].at;
        tracing::warn!(event = "directory lost", server = %at, why);
        self.tolls.failed += 1;
        self.tolls.why = why.chars().take(200).collect();
        self.drop(net);
        self.source.failed(net.now(), &mut self.chance);
    }
}
