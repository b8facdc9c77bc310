//! A fake directory: a small LDAPv3 server (RFC 4511) with simple and EXTERNAL binds, StartTLS and LDAPS, searches with
//! paging (RFC 2696) and content synchronization (RFC 4533), and faults that real directories show. Its entries and
//! faults are set over HTTP on another port.
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair};
use rockpick_ldap::filter;
use rockpick_ldap::frames::FrameReader;
use rockpick_ldap::message::*;
use rockpick_net::http::Request;
use rockpick_net::{tls, Event, Id, Net, Ns, MS, SEC};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig, ServerConnection};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// The maximum number of entries.
const MAX_ENTRIES: usize = 1_000_000;
/// The number of deletions remembered for clients that resume with a cookie; an older cookie is rejected.
const MAX_DELETIONS: usize = 10_000;
/// A connection with more unsent bytes than this gets no further entries until some have been sent.
const MAX_BACKLOG: usize = 256 * 1024;
/// The interval at which connections with pending work are served.
const PUMP_INTERVAL: Ns = MS;
/// The maximum number of pending operations, and of delayed answers, of a connection.
const MAX_PENDING: usize = 256;

pub struct DirectoryServer {
    pub listen: SocketAddr,
    /// The address at which entries and faults are set.
    pub control: SocketAddr,
    /// Connections begin with TLS.
    pub ldaps: bool,
    /// The name in its certificate.
    pub name: String,
    /// Whether the certificate has expired.
    pub expired: bool,
    /// The names and passwords that may bind; if empty, any may.
    pub accounts: Vec<(String, String)>,
}

#[derive(Clone, Debug, Default)]
struct Fault {
    /// The delay of each answer.
    slow: Ns,
    silent: bool,
    half: bool,
    wrong_ids: bool,
    endless: bool,
    reset: bool,
    /// The maximum number of entries that a search returns.
    size_limit: Option<usize>,
    /// Rejects every cookie.
    forget: bool,
    no_sync: bool,
    refuse: bool,
    /// Searches find no entries.
    empty: bool,
}

impl Fault {
    fn parse(json: &Value) -> Result<Fault, String> {
        let mut fault = Fault::default();
        for (name, value) in json.as_object().ok_or("an object is wanted")? {
            let on = value.as_bool().ok_or(format!("{name}: true or false is wanted"));
            let number = value
                .as_f64()
                .filter(|x| (0.0..=1e9).contains(x))
                .ok_or(format!("{name}: a number is wanted"));
            match name.as_str() {
                "slow_ms" => fault.slow = (number? * MS as f64) as Ns,
                "size_limit" => fault.size_limit = Some(number? as usize),
                "silent" => fault.silent = on?,
                "half" => fault.half = on?,
                "wrong_ids" => fault.wrong_ids = on?,
                "endless" => fault.endless = on?,
                "reset" => fault.reset = on?,
                "forget" => fault.forget = on?,
                "no_sync" => fault.no_sync = on?,
                "refuse" => fault.refuse = on?,
                "empty" => fault.empty = on?,
                _ => return Err(format!("{name}: not known")),
            }
        }
        Ok(fault)
    }
}

struct Item {
    dn: String,
    attributes: Vec<(String, Vec<Vec<u8>>)>,
    serial: u64,
    stamp: String,
}

/// The progress of a search.
struct Running {
    id: u32,
    request: SearchRequest,
    /// The next entry to consider.
    next: Option<[u8; 16]>,
    found: usize,
    page: Option<usize>,
    /// For a synchronization: the serial after which changes are sent.
    sync: Option<u64>,
}

#[derive(Default)]
struct Peer {
    frames: FrameReader,
    secure: Option<Box<ServerConnection>>,
    running: VecDeque<Running>,
    /// Persistent searches: their ids and requests.
    persistent: Vec<(u32, SearchRequest)>,
    /// Answers held back by [`Fault::slow`].
    delayed: VecDeque<(Ns, Vec<u8>)>,
}

struct Process {
    net: Net,
    server: DirectoryServer,
    tls: Arc<ServerConfig>,
    authority: String,
    client: (String, String),
    fault: Fault,
    items: BTreeMap<[u8; 16], Item>,
    dns: BTreeMap<String, [u8; 16]>,
    /// The latest deletions: the serial of each, and the entry's UUID.
    deletions: VecDeque<(u64, [u8; 16])>,
    /// The serial of the latest deletion that is no longer remembered.
    forgotten: u64,
    /// The number of changes so far; cookies contain it.
    serial: u64,
    peers: BTreeMap<Id, Peer>,
    binds: VecDeque<Ns>,
    bind_count: u64,
    max_binds_per_second: usize,
    search_count: u64,
}

fn normalize(dn: &str) -> String {
    dn.split(',').map(|p| p.trim().to_lowercase()).collect::<Vec<_>>().join(",")
}

/// The current time as GeneralizedTime, YYYYMMDDHHMMSSZ (RFC 4517 §3.3.13).
fn timestamp() -> String {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_secs());
    let (days, rest) = (wall as i64 / 86_400, wall % 86_400);
    // Converts days to a date (Howard Hinnant, "chrono-Compatible Low-Level Date Algorithms").
    let z = days + 719_468;
    let (era, doe) = (z.div_euclid(146_097), z.rem_euclid(146_097));
    let yoe = (doe - doe / 1_460 + doe / 36_524 - doe / 146_096) / 365;
    let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    let mp = (5 * doy + 2) / 153;
    let (day, month) = (doy - (153 * mp + 2) / 5 + 1, if mp < 10 { mp + 3 } else { mp - 9 });
    let year = yoe + era * 400 + i64::from(month <= 2);
    format!("{year:04}{month:02}{day:02}{:02}{:02}{:02}Z", rest / 3_600, rest / 60 % 60, rest % 60)
}

/// A certificate authority, the server's TLS configuration, and a client's certificate and key; all text is PEM.
struct Certificates {
    authority: String,
    tls: Arc<ServerConfig>,
    client: (String, String),
}

fn certificates(name: &str, expired: bool) -> Result<Certificates, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![name.to_string()])?;
    params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth];
    if expired {
        (params.not_before, params.not_after) =
            (rcgen::date_time_ymd(2020, 1, 1), rcgen::date_time_ymd(2021, 1, 1));
    }
    let certificate = params.signed_by(&key, &issuer)?;
    let client_key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec!["front".to_string()])?;
    params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ClientAuth];
    let client = params.signed_by(&client_key, &issuer)?;
    let mut roots = RootCertStore::empty();
    let _ = roots.add(issuer.der().clone());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let parse_error = |_| rcgen::Error::CouldNotParseCertificate;
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone())
        .allow_unauthenticated()
        .build()
        .map_err(|_| rcgen::Error::CouldNotParseCertificate)?;
    let chain: Vec<CertificateDer> = vec![certificate.der().clone()];
    let private = PrivateKeyDer::from(PrivatePkcs8KeyDer::from(key.serialize_der()));
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(parse_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, private)
        .map_err(parse_error)?;
    let client = (client.pem(), client_key.serialize_pem());
    Ok(Certificates { authority: issuer.pem(), tls: Arc::new(config), client })
}

impl DirectoryServer {
    /// Runs until a signal; `ready` is called with the addresses of LDAP and of the control interface.
    ///
    /// # Errors
    /// An address cannot be listened on, or a certificate cannot be generated.
    pub fn run(self, ready: impl FnOnce(SocketAddr, SocketAddr)) -> Result<(), String> {
        let say = |err: std::io::Error| err.to_string();
        let mut net = Net::new(256).map_err(say)?;
        for signal in [15, 2] {
            net.on_signal(signal).map_err(say)?;
        }
        let (_, at) = net.listen_streams(self.listen).map_err(say)?;
        let (_, control) = net.listen(self.control).map_err(say)?;
        let made = certificates(&self.name, self.expired).map_err(|err| err.to_string())?;
        let Certificates { authority, tls, client } = made;
        ready(at, control);
        let process = Process {
            net,
            server: self,
            tls,
            authority,
            client,
            fault: Fault::default(),
            items: BTreeMap::new(),
            dns: BTreeMap::new(),
            deletions: VecDeque::new(),
            forgotten: 0,
            serial: 1,
            peers: BTreeMap::new(),
            binds: VecDeque::new(),
            bind_count: 0,
            max_binds_per_second: 0,
            search_count: 0,
        };
        process.run()
    }
}

fn search_done(id: u32, code: u32, why: &str) -> Message {
    let empty = Vec::new();
    let result = SearchDone {
        code: Enumerated(code),
        matched_dn: empty.into(),
        diagnostic_message: why.as_bytes().to_vec().into(),
        referral: None,
    };
    Message::new(id, Op::SearchDone(result))
}

impl Process {
    fn run(mut self) -> Result<(), String> {
        let mut events = Vec::new();
        loop {
            let busy = self.peers.values().any(|p| !p.running.is_empty() || !p.delayed.is_empty());
            self.net
                .turn(&mut events, if busy { PUMP_INTERVAL } else { SEC })
                .map_err(|err| err.to_string())?;
            for event in std::mem::take(&mut events) {
                match event {
                    Event::StreamOpened { conn } => self.connection_opened(conn),
                    Event::StreamData { conn, bytes } => self.receive(conn, &bytes),
                    Event::StreamClosed { conn, .. } => drop(self.peers.remove(&conn)),
                    Event::Request { conn, request } => self.control(conn, &request),
                    Event::Signal { .. } => return Ok(()),
                    _ => {}
                }
            }
            let conns: Vec<Id> = self.peers.keys().copied().collect();
            for conn in conns {
                self.pump(conn);
            }
        }
    }

    fn connection_opened(&mut self, conn: Id) {
        if self.fault.reset {
            return self.net.close(conn);
        }
        let mut peer = Peer::default();
        if self.server.ldaps {
            peer.secure = ServerConnection::new(self.tls.clone()).ok().map(Box::new);
        }
        self.peers.insert(conn, peer);
    }

    fn drop(&mut self, conn: Id) {
        self.peers.remove(&conn);
        self.net.close(conn);
    }

    fn receive(&mut self, conn: Id, bytes: &[u8]) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let mut clear = Vec::new();
        match &mut peer.secure {
            None => clear.extend_from_slice(bytes),
            Some(secure) => {
                if tls::decrypt(secure, bytes, &mut clear).is_err() {
                    self.flush(conn);
                    return self.drop(conn);
                }
            }
        }
        peer.frames.push(&clear);
        loop {
            let Some(peer) = self.peers.get_mut(&conn) else { return };
            let message = match peer.frames.next() {
                Ok(None) => break,
                Ok(Some(bytes)) => decode(bytes).map_err(|_| ()),
                Err(_) => Err(()),
            };
            match message {
                Ok(message) => self.message(conn, message),
                Err(()) => {
                    // Notice of disconnection (RFC 4511 §4.4.1).
                    let (empty, why) = (Vec::new(), b"no message".to_vec());
                    let name = Some(NOTICE_OF_DISCONNECTION.to_vec().into());
                    let notice = ExtendedResponse {
                        code: Enumerated(PROTOCOL_ERROR),
                        matched_dn: empty.into(),
                        diagnostic_message: why.into(),
                        referral: None,
                        name,
                        value: None,
                    };
                    self.send(conn, &Message::new(0, Op::ExtendedResponse(notice)));
                    self.flush(conn);
                    return self.drop(conn);
                }
            }
        }
        self.flush(conn);
    }

    fn send(&mut self, conn: Id, message: &Message) {
        let now = self.net.now();
        let Fault { slow, silent, half, wrong_ids, .. } = self.fault;
        if silent {
            return;
        }
        let mut message = message.clone();
        if wrong_ids && message.id != 0 {
            message.id += 1_000;
        }
        let bytes = message.encode();
        if half {
            self.write_bytes(conn, &bytes[..bytes.len() / 2]);
            self.flush(conn);
            return self.drop(conn);
        }
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        if slow > 0 || !peer.delayed.is_empty() {
            if peer.delayed.len() < MAX_PENDING {
                peer.delayed.push_back((now + slow, bytes));
            }
        } else {
            self.write_bytes(conn, &bytes);
        }
    }

    fn write_bytes(&mut self, conn: Id, bytes: &[u8]) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        match &mut peer.secure {
            Some(secure) => drop(secure.writer().write_all(bytes)),
            None => drop(self.net.send(conn, bytes)),
        }
        self.flush(conn);
    }

    fn flush(&mut self, conn: Id) {
        let Some(secure) = self.peers.get_mut(&conn).and_then(|p| p.secure.as_mut()) else { return };
        let out = tls::take_output(secure);
        if !out.is_empty() {
            self.net.send(conn, &out);
        }
    }

    fn message(&mut self, conn: Id, message: Message) {
        let id = message.id;
        match &message.op {
            Op::Bind(bind) => self.bind(conn, id, bind),
            Op::Unbind(_) => self.drop(conn),
            Op::Abandon(AbandonRequest(which)) => {
                if let Some(peer) = self.peers.get_mut(&conn) {
                    peer.running.retain(|r| r.id != *which);
                    peer.persistent.retain(|(id, _)| id != which);
                }
            }
            Op::Extended(request) => {
                let tls = request.request_name.as_ref() == START_TLS;
                let secured = self.peers.get(&conn).is_some_and(|p| p.secure.is_some());
                let code = if tls && !secured { SUCCESS } else { PROTOCOL_ERROR };
                let (name, empty) = (Some(request.request_name.to_vec().into()), Vec::new());
                let answer = ExtendedResponse {
                    code: Enumerated(code),
                    matched_dn: empty.clone().into(),
                    diagnostic_message: empty.into(),
                    referral: None,
                    name,
                    value: None,
                };
                self.send(conn, &Message::new(id, Op::ExtendedResponse(answer)));
                if let Some(peer) = self.peers.get_mut(&conn).filter(|_| code == SUCCESS) {
                    peer.secure = ServerConnection::new(self.tls.clone()).ok().map(Box::new);
                }
            }
            Op::Search(request) => self.search(conn, &message, request.clone()),
            _ => self.send(conn, &search_done(id, UNWILLING_TO_PERFORM, "not a request that is known here")),
        }
    }

    fn bind(&mut self, conn: Id, id: u32, bind: &BindRequest) {
        let now = self.net.now();
        self.bind_count += 1;
        self.binds.push_back(now);
        while self.binds.front().is_some_and(|t| *t <= now - SEC) {
            self.binds.pop_front();
        }
        self.max_binds_per_second = self.max_binds_per_second.max(self.binds.len());
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let code = match &bind.authentication {
            _ if self.fault.refuse => UNAVAILABLE,
            _ if bind.version != 3 => PROTOCOL_ERROR,
            AuthenticationChoice::Simple(password) => {
                let anyone = self.server.accounts.is_empty() || bind.name.is_empty() && password.is_empty();
                let fits = |(dn, p): &(String, String)| {
                    normalize(dn) == normalize(&bind.name.0) && p.as_bytes() == password.as_ref()
                };
                if anyone || self.server.accounts.iter().any(fits) {
                    SUCCESS
                } else {
                    INVALID_CREDENTIALS
                }
            }
            AuthenticationChoice::Sasl(sasl) if sasl.mechanism.0 == "EXTERNAL" => {
                let shown =
                    peer.secure.as_ref().and_then(|s| s.peer_certificates()).is_some_and(|c| !c.is_empty());
                if shown {
                    SUCCESS
                } else {
                    INVALID_CREDENTIALS
                }
            }
            _ => AUTH_METHOD_NOT_SUPPORTED,
        };
        let (empty, why) = (Vec::new(), Vec::new());
        let answer = BindResponse {
            code: Enumerated(code),
            matched_dn: empty.into(),
            diagnostic_message: why.into(),
            referral: None,
            server_sasl_credentials: None,
        };
        self.send(conn, &Message::new(id, Op::BindResponse(answer)));
    }

    fn search(&mut self, conn: Id, message: &Message, request: SearchRequest) {
        self.search_count += 1;
        let id = message.id;
        let base = normalize(&request.base_object.0);
        if base.is_empty() && request.scope == SearchRequestScope::BaseObject {
            let text = |list: &[&[u8]]| {
                list.iter().map(|v| v.to_vec().into()).collect::<Vec<rasn::types::OctetString>>()
            };
            let sync = [PAGED_RESULTS, SYNC_REQUEST];
            let controls = if self.fault.no_sync { &sync[..1] } else { &sync[..] };
            let rows = [
                ("supportedLDAPVersion", text(&[b"3"])),
                ("supportedControl", text(controls)),
                ("supportedExtension", text(&[START_TLS])),
                ("supportedSASLMechanisms", text(&[b"EXTERNAL"])),
                ("objectClass", text(&[b"top"])),
            ];
            let attributes = rows
                .into_iter()
                .map(|(k, v)| Attribute { kind: k.as_bytes().to_vec().into(), values: v.into() });
            let entry = Entry { dn: Vec::new().into(), attributes: attributes.collect() };
            self.send(conn, &Message::new(id, Op::Entry(entry)));
            return self.send(conn, &search_done(id, SUCCESS, ""));
        }
        let below = |dn: &String| base.is_empty() || dn == &base || dn.ends_with(&format!(",{base}"));
        if !self.dns.keys().any(below) && !self.items.is_empty() {
            return self.send(conn, &search_done(id, NO_SUCH_OBJECT, "no such base"));
        }
        let paged = message.control(PAGED_RESULTS).and_then(decode_value::<PagedResults>);
        let sync = message
            .control(SYNC_REQUEST)
            .filter(|_| !self.fault.no_sync)
            .and_then(decode_value::<SyncRequest>);
        let mut running = Running { id, request, next: Some([0; 16]), found: 0, page: None, sync: None };
        if let Some(paged) = paged {
            running.page = Some(paged.size.max(1) as usize);
            if !paged.cookie.is_empty() {
                let Ok(from) = <[u8; 16]>::try_from(paged.cookie.to_vec()) else {
                    return self
                        .send(conn, &search_done(id, UNWILLING_TO_PERFORM, "the cookie is not known"));
                };
                running.next = Some(from);
            }
        }
        if let Some(sync) = sync {
            let since = sync.cookie.map(|c| String::from_utf8_lossy(c.as_ref()).parse::<u64>().ok());
            match since {
                None => running.sync = Some(0),
                Some(Some(serial))
                    if serial >= self.forgotten && serial <= self.serial && !self.fault.forget =>
                {
                    running.sync = Some(serial);
                }
                Some(_) => {
                    return self
                        .send(conn, &search_done(id, REFRESH_REQUIRED, "the cookie is not known any more"))
                }
            }
        }
        if let Some(peer) = self.peers.get_mut(&conn) {
            if peer.running.len() < MAX_PENDING {
                peer.running.push_back(running);
            }
        }
        self.pump(conn);
    }

    /// The entry as the search returns it, if it matches.
    fn matching_entry(&self, uuid: &[u8; 16], request: &SearchRequest) -> Option<Entry> {
        let item = self.items.get(uuid).filter(|_| !self.fault.empty)?;
        let (dn, base) = (normalize(&item.dn), normalize(&request.base_object.0));
        let within = match request.scope {
            SearchRequestScope::BaseObject => dn == base,
            SearchRequestScope::SingleLevel => dn.split_once(',').is_some_and(|(_, above)| above == base),
            _ => base.is_empty() || dn == base || dn.ends_with(&format!(",{base}")),
        };
        let own = [("entryUUID", format_uuid(uuid)), ("modifyTimestamp", item.stamp.clone())];
        let values = |name: &str| -> Vec<Vec<u8>> {
            let fits = |k: &str| k.eq_ignore_ascii_case(name);
            let of_own = own.iter().filter(|(k, _)| fits(k)).map(|(_, v)| v.clone().into_bytes());
            item.attributes
                .iter()
                .filter(|(k, _)| fits(k))
                .flat_map(|(_, v)| v.clone())
                .chain(of_own)
                .collect()
        };
        if !within || !filter::matches(&request.filter, &values) {
            return None;
        }
        let wanted: Vec<String> = request.attributes.iter().map(|a| a.0.to_lowercase()).collect();
        let all = wanted.is_empty() || wanted.iter().any(|a| a == "*");
        let asks = |name: &str| wanted.iter().any(|a| a == &name.to_lowercase());
        let user =
            item.attributes.iter().filter(|(k, _)| all || asks(k)).map(|(k, v)| (k.clone(), v.clone()));
        let operational = own.iter().filter(|(k, _)| asks(k) || wanted.iter().any(|a| a == "+"));
        let operational = operational.map(|(k, v)| (k.to_string(), vec![v.clone().into_bytes()]));
        let attributes = user.chain(operational).map(|(k, v)| Attribute {
            kind: k.into_bytes().into(),
            values: if request.types_only {
                Vec::new().into()
            } else {
                v.into_iter().map(Into::into).collect::<Vec<_>>().into()
            },
        });
        Some(Entry { dn: item.dn.clone().into_bytes().into(), attributes: attributes.collect() })
    }

    fn cookie(&self) -> rasn::types::OctetString {
        self.serial.to_string().into_bytes().into()
    }

    /// Sends delayed answers that are due, and continues the connection's searches as far as its send buffer permits.
    fn pump(&mut self, conn: Id) {
        let now = self.net.now();
        loop {
            let Some(peer) = self.peers.get_mut(&conn) else { return };
            match peer.delayed.front() {
                Some((at, _)) if *at <= now => {}
                _ => break,
            }
            if let Some((_, bytes)) = peer.delayed.pop_front() {
                self.write_bytes(conn, &bytes);
            }
        }
        while let Some(mut running) = self.peers.get_mut(&conn).and_then(|p| p.running.pop_front()) {
            let complete = self.continue_search(conn, &mut running);
            let Some(peer) = self.peers.get_mut(&conn) else { return };
            if !complete {
                peer.running.push_front(running);
                return;
            }
            if running.sync.is_some() {
                peer.persistent.push((running.id, running.request));
            }
        }
    }

    /// Continues a search; returns whether it is complete.
    fn continue_search(&mut self, conn: Id, running: &mut Running) -> bool {
        let id = running.id;
        let limit = self.fault.size_limit.unwrap_or(usize::MAX);
        let limit = if running.request.size_limit > 0 {
            limit.min(running.request.size_limit as usize)
        } else {
            limit
        };
        loop {
            if self.net.backlog(conn).is_none_or(|b| b > MAX_BACKLOG) || self.fault.silent {
                return !self.peers.contains_key(&conn);
            }
            if self.peers.get(&conn).is_some_and(|p| p.delayed.len() >= MAX_PENDING / 2) {
                return false;
            }
            let Some(from) = running.next else { break };
            let Some((uuid, serial)) = self.items.range(from..).next().map(|(u, i)| (*u, i.serial)) else {
                running.next = None;
                continue;
            };
            if running.page.is_some_and(|p| running.found >= p) {
                let more = PagedResults { size: 0, cookie: uuid.to_vec().into() };
                self.send(conn, &search_done(id, SUCCESS, "").with_control(PAGED_RESULTS, false, &more));
                return true;
            }
            let next = u128::from_be_bytes(uuid).checked_add(1).map(u128::to_be_bytes);
            running.next = if self.fault.endless { Some(from) } else { next };
            if running.sync.is_some_and(|since| serial <= since) {
                continue;
            }
            let Some(entry) = self.matching_entry(&uuid, &running.request) else { continue };
            if running.found >= limit {
                self.send(conn, &search_done(id, SIZE_LIMIT_EXCEEDED, "more than may be"));
                running.sync = None;
                return true;
            }
            running.found += 1;
            let mut message = Message::new(id, Op::Entry(entry));
            if running.sync.is_some() {
                let state = SyncState { state: Enumerated(1), uuid: uuid.to_vec().into(), cookie: None };
                message = message.with_control(SYNC_STATE, false, &state);
            }
            self.send(conn, &message);
        }
        match running.sync {
            None => {
                let mut message = search_done(id, SUCCESS, "");
                if running.page.is_some() {
                    message = message.with_control(
                        PAGED_RESULTS,
                        false,
                        &PagedResults { size: 0, cookie: Vec::new().into() },
                    );
                }
                self.send(conn, &message);
            }
            Some(since) => {
                let deleted: BTreeSet<[u8; 16]> = self
                    .deletions
                    .iter()
                    .filter(|(s, u)| since > 0 && *s > since && !self.items.contains_key(u))
                    .map(|(_, u)| *u)
                    .collect();
                if !deleted.is_empty() {
                    let uuids: Vec<rasn::types::OctetString> =
                        deleted.iter().map(|u| u.to_vec().into()).collect();
                    let ids = SyncInfo::Ids(IdSet { cookie: None, deletes: true, uuids: uuids.into() });
                    self.send_sync_info(conn, id, &ids);
                }
                let refresh = Refresh { cookie: Some(self.cookie()), done: true };
                let info = if since == 0 { SyncInfo::Present(refresh) } else { SyncInfo::Delete(refresh) };
                self.send_sync_info(conn, id, &info);
            }
        }
        true
    }

    fn send_sync_info(&mut self, conn: Id, id: u32, info: &SyncInfo) {
        let between =
            IntermediateResponse { name: Some(SYNC_INFO.to_vec().into()), value: Some(encode(info).into()) };
        self.send(conn, &Message::new(id, Op::IntermediateResponse(between)));
    }

    /// Notifies the persistent searches of a changed entry.
    fn notify_change(&mut self, uuid: [u8; 16], fresh: bool) {
        let stays: Vec<(Id, u32, SearchRequest)> = (self.peers.iter())
            .flat_map(|(conn, p)| p.persistent.iter().map(|(id, r)| (*conn, *id, r.clone())))
            .collect();
        for (conn, id, request) in stays {
            let shown = self.matching_entry(&uuid, &request);
            let state = match (&shown, fresh) {
                (Some(_), true) => 1,
                (Some(_), false) => 2,
                (None, _) => 3,
            };
            let entry = shown.unwrap_or(Entry { dn: Vec::new().into(), attributes: Vec::new() });
            let state = SyncState {
                state: Enumerated(state),
                uuid: uuid.to_vec().into(),
                cookie: Some(self.cookie()),
            };
            self.send(conn, &Message::new(id, Op::Entry(entry)).with_control(SYNC_STATE, false, &state));
        }
    }

    // HTTP control interface.

    fn control(&mut self, conn: Id, request: &Request) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let answer = match (request.method.as_str(), request.path()) {
            ("POST", "/fault") => Fault::parse(&body).map(|fault| {
                self.fault = fault;
                if self.fault.reset {
                    let conns: Vec<Id> = self.peers.keys().copied().collect();
                    conns.into_iter().for_each(|c| self.drop(c));
                }
                json!({})
            }),
            ("POST", "/entries") => self.put_entries(&body),
            ("POST", "/remove") => self.remove(&body),
            ("GET", "/authority") => {
                let (certificate, key) = &self.client;
                Ok(
                    json!({ "authority": self.authority, "client_certificate": certificate, "client_key": key }),
                )
            }
            ("GET", "/status") => Ok(json!({ "entries": self.items.len(), "connections": self.peers.len(),
                "staying": self.peers.values().map(|p| p.persistent.len()).sum::<usize>(), "binds": self.bind_count,
                "most_binds_a_second": self.max_binds_per_second, "searches": self.search_count, "serial": self.serial })),
            _ => Err("POST /entries, /remove, /fault, GET /authority, /status are known".into()),
        };
        let (status, value) = match answer {
            Ok(value) => (200, value),
            Err(why) => (400, json!({ "error": why })),
        };
        self.net.answer(
            conn,
            status,
            &[("Content-Type", "application/json")],
            format!("{value}\n").as_bytes(),
        );
    }

    /// Adds or replaces entries: a list of objects with `uuid`, `dn`, and a list of texts for each attribute.
    fn put_entries(&mut self, body: &Value) -> Result<Value, String> {
        let list = body.as_array().ok_or("a list is wanted")?;
        let mut read = Vec::new();
        for (i, v) in list.iter().enumerate() {
            let wrong = |what: &str| format!("[{i}].{what}: wanted");
            let id = v["uuid"].as_str().and_then(parse_uuid).ok_or_else(|| wrong("uuid"))?;
            let dn = v["dn"].as_str().ok_or_else(|| wrong("dn"))?;
            let mut attributes = Vec::new();
            for (name, values) in v["attributes"].as_object().ok_or_else(|| wrong("attributes"))? {
                let values = values.as_array().ok_or_else(|| wrong(name))?;
                let texts = values.iter().filter_map(Value::as_str).map(|t| t.as_bytes().to_vec());
                attributes.push((name.clone(), texts.collect()));
            }
            read.push((id, dn.to_string(), attributes));
        }
        if self.items.len() + read.len() > MAX_ENTRIES {
            return Err(format!("more than {MAX_ENTRIES} entries"));
        }
        let stamp = timestamp();
        for (id, dn, attributes) in read {
            self.serial += 1;
            let item = Item { dn: dn.clone(), attributes, serial: self.serial, stamp: stamp.clone() };
            let before = self.items.insert(id, item);
            if let Some(before) = &before {
                self.dns.remove(&normalize(&before.dn));
            }
            self.dns.insert(normalize(&dn), id);
            self.notify_change(id, before.is_none());
        }
        Ok(json!({ "entries": self.items.len() }))
    }

    fn remove(&mut self, body: &Value) -> Result<Value, String> {
        let ids = body.as_array().ok_or("a list of uuids is wanted")?;
        for id in ids.iter().filter_map(|v| parse_uuid(v.as_str()?)) {
            if let Some(item) = self.items.remove(&id) {
                self.serial += 1;
                self.dns.remove(&normalize(&item.dn));
                self.deletions.push_back((self.serial, id));
                if self.deletions.len() > MAX_DELETIONS {
                    self.forgotten = self.deletions.pop_front().map_or(self.forgotten, |(s, _)| s);
                }
                self.notify_change(id, false);
            }
        }
        Ok(json!({ "entries": self.items.len() }))
    }
}
