//! The connection to a directory, on the caller's event loop: connects, runs TLS and an LDAP session, and passes
//! the session's updates to the worker. Never blocks.
use crate::server_selector::ServerSelector;
use crate::settings::DirectorySettings;
use crate::worker::DirectoryWorker;
use rand::rngs::StdRng;
use rand::SeedableRng;
use rockpick_ldap::{Action, ContentUpdate, Session, SessionConfig};
use rockpick_net::{tls, Event, Id, Net, Ns, SEC};
use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ClientConnection};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum time for establishing a connection.
const CONNECT_TIMEOUT: Ns = 3 * SEC;

/// Statistics for the status.
#[derive(Clone, Debug, Default)]
pub struct LinkStats {
    pub dialled: u64,
    pub refreshes: u64,
    pub failed: u64,
    /// Reason of the last failure; empty after a completed refresh.
    pub last_error: String,
}

pub struct Link {
    settings: DirectorySettings,
    config: SessionConfig,
    tls: Option<Arc<ClientConfig>>,
    selector: ServerSelector,
    rng: StdRng,
    conn: Option<Id>,
    /// Index of the server in use.
    server_index: usize,
    /// When the TLS handshake must be complete and the session started.
    handshake_deadline: Ns,
    tls_conn: Option<Box<ClientConnection>>,
    session: Option<Session>,
    /// The server that a referral points to.
    referral: Option<usize>,
    pub stats: LinkStats,
}

impl Link {
    /// # Errors
    /// Invalid settings.
    pub fn new(now: Ns, settings: DirectorySettings, fronts: usize, seed: u64) -> Result<Link, String> {
        let mut rng = StdRng::seed_from_u64(seed);
        let tls = settings.tls().map_err(|(field, why)| format!("{field}: {why}"))?;
        let selector =
            ServerSelector::new(now, settings.servers.len(), fronts, settings.binds_a_second, &mut rng);
        Ok(Link {
            config: settings.session_config()?,
            settings,
            tls,
            selector,
            rng,
            conn: None,
            server_index: 0,
            handshake_deadline: Ns::MAX,
            tls_conn: None,
            session: None,
            referral: None,
            stats: LinkStats::default(),
        })
    }

    /// Whether the session has completed a refresh and receives changes.
    pub fn is_up_to_date(&self) -> bool {
        self.session.as_ref().is_some_and(Session::is_up_to_date)
    }

    /// The server in use.
    pub fn server(&self) -> Option<SocketAddr> {
        self.conn.map(|_| self.settings.servers[self.server_index].at)
    }

    /// Unbinds and closes the connection.
    pub fn close(&mut self, net: &mut Net, worker: &DirectoryWorker) {
        if let Some(session) = &mut self.session {
            session.close();
            self.process_session_output(net, worker);
        }
    }

    /// Handles timeouts and connection attempts; to be called several times a second.
    pub fn tick(&mut self, net: &mut Net, worker: &DirectoryWorker) {
        let now = net.now();
        if let Some(session) = &mut self.session {
            session.tick(now);
            self.process_session_output(net, worker);
        } else if self.conn.is_some() && self.handshake_deadline <= now {
            self.failed(net, "TLS handshake timed out");
        }
        if self.selector.fail_back(now, &mut self.rng) {
            if let Some(session) = &mut self.session {
                session.close();
            }
            self.disconnect(net);
        }
        let Some(server) = self.selector.next_dial(now) else { return };
        let server = self.referral.take().unwrap_or(server);
        self.server_index = server;
        self.stats.dialled += 1;
        match net.dial(self.settings.servers[server].at, CONNECT_TIMEOUT) {
            Ok(conn) => {
                self.conn = Some(conn);
                self.handshake_deadline = now + CONNECT_TIMEOUT + self.config.response_timeout;
            }
            Err(err) => self.failed(net, &err.to_string()),
        }
    }

    /// Handles a stream event. Returns false if it belongs to another connection.
    pub fn handle_event(&mut self, net: &mut Net, worker: &DirectoryWorker, event: &Event) -> bool {
        let is_own = |conn: &Id| self.conn == Some(*conn);
        match event {
            Event::StreamOpened { conn } if is_own(conn) => self.opened(net, worker),
            Event::StreamData { conn, bytes } if is_own(conn) => self.receive(net, worker, bytes),
            Event::StreamClosed { conn, .. } if is_own(conn) => {
                self.conn = None;
                self.failed(net, "connection closed");
            }
            _ => return false,
        }
        true
    }

    fn opened(&mut self, net: &mut Net, worker: &DirectoryWorker) {
        if self.settings.servers[self.server_index].ldaps {
            self.start_tls(net);
        } else {
            self.start_session(net.now(), false, worker);
        }
        self.process_session_output(net, worker);
    }

    fn start_session(&mut self, now: Ns, secured: bool, worker: &DirectoryWorker) {
        let cookie = worker.status().cookie;
        self.session = Some(Session::start(now, self.config.clone(), secured, cookie));
    }

    /// Starts the TLS handshake.
    fn start_tls(&mut self, net: &mut Net) {
        let name = ServerName::try_from(self.settings.servers[self.server_index].name.clone());
        let connection = match (&self.tls, name) {
            (Some(tls), Ok(name)) => ClientConnection::new(tls.clone(), name).map_err(|err| err.to_string()),
            _ => Err("TLS is not configured".into()),
        };
        match connection {
            Ok(tls_conn) => self.tls_conn = Some(Box::new(tls_conn)),
            Err(why) => self.failed(net, &why),
        }
    }

    fn receive(&mut self, net: &mut Net, worker: &DirectoryWorker, bytes: &[u8]) {
        let now = net.now();
        let Some(tls_conn) = &mut self.tls_conn else {
            if let Some(session) = &mut self.session {
                session.receive(now, bytes);
            }
            return self.process_session_output(net, worker);
        };
        let mut plaintext = Vec::new();
        let decrypted = tls::decrypt(tls_conn, bytes, &mut plaintext);
        if let Some(session) = self.session.as_mut().filter(|_| !plaintext.is_empty()) {
            session.receive(now, &plaintext);
        }
        if let Err(why) = decrypted {
            // Sends the TLS alert.
            self.flush(net);
            return self.failed(net, &format!("TLS: {why}"));
        }
        if !tls_conn.is_handshaking() {
            match &mut self.session {
                Some(session) => session.tls_established(now),
                None => self.start_session(now, true, worker),
            }
        }
        self.process_session_output(net, worker);
    }

    /// Executes the session's output.
    fn process_session_output(&mut self, net: &mut Net, worker: &DirectoryWorker) {
        let now = net.now();
        let Some(session) = &mut self.session else { return self.flush(net) };
        for out in session.take_actions() {
            match out {
                Action::Send(bytes) => match (&mut self.tls_conn, self.conn) {
                    (Some(tls_conn), _) => drop(tls_conn.writer().write_all(&bytes)),
                    (None, Some(conn)) => drop(net.send(conn, &bytes)),
                    _ => {}
                },
                Action::StartTls => self.start_tls(net),
                Action::Update(update) => {
                    match &update {
                        ContentUpdate::RefreshStarted => self.stats.refreshes += 1,
                        ContentUpdate::RefreshCompleted { .. } => {
                            self.selector.succeeded(now);
                            self.stats.last_error.clear();
                        }
                        _ => {}
                    }
                    if !worker.submit(now, update) {
                        self.flush(net);
                        return self.failed(net, "update queue is full");
                    }
                }
                Action::Closed { why, referral } => {
                    self.flush(net);
                    let configured = |url: &String| {
                        self.settings.servers.iter().position(|s| url.contains(&s.at.to_string()))
                    };
                    if self.settings.follow {
                        self.referral =
                            referral.iter().find_map(configured).filter(|to| *to != self.server_index);
                    }
                    return self.failed(net, &why);
                }
            }
        }
        self.flush(net);
    }

    /// Sends pending TLS output.
    fn flush(&mut self, net: &mut Net) {
        let (Some(tls_conn), Some(conn)) = (&mut self.tls_conn, self.conn) else { return };
        let out = tls::take_output(tls_conn);
        if !out.is_empty() {
            net.send(conn, &out);
        }
    }

    fn disconnect(&mut self, net: &mut Net) {
        if let Some(conn) = self.conn.take() {
            net.close(conn);
        }
        (self.tls_conn, self.session, self.handshake_deadline) = (None, None, Ns::MAX);
    }

    fn failed(&mut self, net: &mut Net, why: &str) {
        let at = self.settings.servers[self.server_index].at;
        tracing::warn!(event = "directory lost", server = %at, why);
        self.stats.failed += 1;
        self.stats.last_error = why.chars().take(200).collect();
        self.disconnect(net);
        self.selector.failed(net.now(), &mut self.rng);
    }
}
