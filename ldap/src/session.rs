//! A client session on one connection: StartTLS, bind, root DSE, then content synchronization if the server supports
//! it, otherwise paged polling. The session consumes bytes and returns actions; it has no socket and no clock.
//! Every wait has a timeout.
use crate::frames::FrameReader;
use crate::message::*;
use rockpick_net::{Ns, SEC};
use std::collections::BTreeSet;

/// Maximum number of responses without a matching request in a session. They are ignored (RFC 4511 §4.1.1.1); with
/// more of them the server counts as faulty and the session ends.
const MAX_STRAY: u32 = 64;

/// Credentials of the client.
#[derive(Clone, PartialEq)]
pub enum Login {
    Anonymous,
    Simple {
        dn: String,
        password: String,
    },
    /// The client certificate of the connection (RFC 4422 appendix A).
    External,
}

impl std::fmt::Debug for Login {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Login::Anonymous => f.write_str("Anonymous"),
            Login::Simple { dn, .. } => write!(f, "Simple({dn})"),
            Login::External => f.write_str("External"),
        }
    }
}

/// Parameters of a session.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    pub login: Login,
    pub start_tls: bool,
    /// Allow a password over an unencrypted connection.
    pub allow_plaintext: bool,
    pub base: String,
    pub filter: Filter,
    pub attributes: Vec<String>,
    /// Entries per page.
    pub page_size: u32,
    /// Time limit of a search at the server, in seconds.
    pub time_limit: u32,
    /// Use content synchronization if the root DSE lists it.
    pub sync: bool,
    /// Interval response polls, and response probes of an idle connection under content synchronization.
    pub poll_interval: Ns,
    /// Every this many polls all entries are requested, as only that reveals deletions.
    pub full_poll_every: u32,
    /// Timeout for a response or the next part of one.
    pub response_timeout: Ns,
    pub max_entries: usize,
}

/// An update of the directory's content.
#[derive(Clone, Debug, PartialEq)]
pub enum ContentUpdate {
    /// A refresh starts.
    RefreshStarted,
    Entry {
        uuid: [u8; 16],
        entry: Entry,
    },
    /// The entry is unchanged.
    Unchanged([u8; 16]),
    Deleted([u8; 16]),
    /// The refresh is complete. If it covered the whole content, entries that it did not contain are deleted.
    RefreshCompleted {
        complete: bool,
    },
    /// A later session can continue from this point.
    Cookie(Vec<u8>),
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send(Vec<u8>),
    /// Start the TLS handshake; call [`Session::tls_established`] when it is complete.
    StartTls,
    Update(ContentUpdate),
    /// The session has ended and the connection is to be closed. `referral` lists URLs that the server refers to.
    Closed {
        why: String,
        referral: Vec<String>,
    },
}

enum State {
    StartTls(u32),
    Handshake,
    Bind(u32),
    RootDse(u32),
    /// Content synchronization; `persisting`: the refresh is complete and changes follow.
    Sync {
        id: u32,
        persisting: bool,
    },
    /// A paged search; `complete`: for all entries rather than the latest changes.
    Page {
        id: u32,
        complete: bool,
    },
    Idle {
        until: Ns,
    },
    Closed,
}

pub struct Session {
    config: SessionConfig,
    state: State,
    frames: FrameReader,
    last_id: u32,
    /// When the awaited response must have arrived.
    deadline: Ns,
    secured: bool,
    cookie: Option<Vec<u8>>,
    /// Whether content synchronization is used.
    uses_sync: bool,
    /// Number of entries in this refresh.
    entries: usize,
    polls: u32,
    /// The latest modifyTimestamp seen.
    latest_timestamp: String,
    /// Id and deadline of the probe that is under way.
    probe: Option<(u32, Ns)>,
    stray_responses: u32,
    /// Number of search result references.
    pub references: u64,
    actions: Vec<Action>,
}

fn printable(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).chars().filter(|c| !c.is_control()).take(200).collect()
}

impl Session {
    /// Starts a session. `secured`: the connection uses TLS already; `cookie`: where a former session ended.
    pub fn start(now: Ns, config: SessionConfig, secured: bool, cookie: Option<Vec<u8>>) -> Session {
        let mut session = Session {
            deadline: now + config.response_timeout,
            config,
            state: State::Closed,
            frames: FrameReader::default(),
            last_id: 0,
            secured,
            cookie,
            uses_sync: false,
            entries: 0,
            polls: 0,
            latest_timestamp: String::new(),
            probe: None,
            stray_responses: 0,
            references: 0,
            actions: Vec::new(),
        };
        if session.config.start_tls && !secured {
            let request = ExtendedRequest { request_name: START_TLS.to_vec().into(), request_value: None };
            let id = session.send_request(now, Op::Extended(request));
            session.state = State::StartTls(id);
        } else {
            session.bind(now);
        }
        session
    }

    /// Returns the pending actions, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed)
    }

    /// Whether a refresh is complete, so that changes arrive by synchronization or with the next poll.
    pub fn is_up_to_date(&self) -> bool {
        matches!(self.state, State::Sync { persisting: true, .. } | State::Idle { .. })
    }

    /// When [`Session::tick`] must be called at the latest.
    pub fn next_deadline(&self) -> Ns {
        match &self.state {
            State::Idle { until } => *until,
            State::Sync { persisting: true, .. } => self.probe.map_or(self.deadline, |(_, by)| by),
            State::Closed => Ns::MAX,
            _ => self.deadline,
        }
    }

    fn next_id(&mut self) -> u32 {
        // 1 to 2^31 - 1 (RFC 4511 §4.1.1); 0 is reserved for the server.
        self.last_id = self.last_id % 0x7fff_ffff + 1;
        self.last_id
    }

    fn send(&mut self, message: Message) {
        self.actions.push(Action::Send(message.encode()));
    }

    fn send_request(&mut self, now: Ns, op: Op) -> u32 {
        let id = self.next_id();
        self.send(Message::new(id, op));
        self.deadline = now + self.config.response_timeout;
        id
    }

    /// Ends the session, with an unbind request unless a TLS handshake is under way.
    fn end(&mut self, why: impl Into<String>, referral: Vec<String>) {
        if self.is_closed() {
            return;
        }
        if !matches!(self.state, State::Handshake) {
            let id = self.next_id();
            self.send(Message::new(id, Op::Unbind(UnbindRequest)));
        }
        self.state = State::Closed;
        self.actions.push(Action::Closed { why: why.into(), referral });
    }

    /// Ends the session at the caller's request.
    pub fn close(&mut self) {
        self.end("closed by the client", Vec::new());
    }

    /// The TLS handshake is complete. Bytes received before it are discarded.
    pub fn tls_established(&mut self, now: Ns) {
        if matches!(self.state, State::Handshake) {
            self.secured = true;
            self.frames = FrameReader::default();
            self.bind(now);
        }
    }

    fn bind(&mut self, now: Ns) {
        let (dn, choice) = match &self.config.login {
            Login::Anonymous => (String::new(), AuthenticationChoice::Simple(Vec::new().into())),
            Login::Simple { .. } if !self.secured && !self.config.allow_plaintext => {
                return self.end("refusing to send a password over an unencrypted connection", Vec::new());
            }
            Login::Simple { dn, password } => {
                (dn.clone(), AuthenticationChoice::Simple(password.as_bytes().to_vec().into()))
            }
            Login::External => {
                (String::new(), AuthenticationChoice::Sasl(SaslCredentials::new("EXTERNAL".into(), None)))
            }
        };
        let id = self.send_request(now, Op::Bind(BindRequest::new(3, dn.into(), choice)));
        self.state = State::Bind(id);
    }

    fn search(&self, base: &str, subtree: bool, filter: Filter, attributes: &[&str]) -> SearchRequest {
        let scope = if subtree { SearchRequestScope::WholeSubtree } else { SearchRequestScope::BaseObject };
        let attributes = attributes.iter().map(|a| (*a).into()).collect();
        let deref = SearchRequestDerefAliases::NeverDerefAliases;
        SearchRequest::new(base.into(), scope, deref, 0, self.config.time_limit, false, filter, attributes)
    }

    fn request_root_dse(&mut self, now: Ns) -> u32 {
        let request = self.search("", false, Filter::Present("objectClass".into()), &["supportedControl"]);
        self.send_request(now, Op::Search(request))
    }

    fn requested_attributes(&self) -> Vec<&str> {
        let configured = self.config.attributes.iter().map(String::as_str);
        configured.chain(["entryUUID", "modifyTimestamp"]).collect()
    }

    /// Requests the content, by synchronization or else by polling.
    fn request_content(&mut self, now: Ns) {
        self.entries = 0;
        self.actions.push(Action::Update(ContentUpdate::RefreshStarted));
        if self.uses_sync {
            let request = self.search(
                &self.config.base,
                true,
                self.config.filter.clone(),
                &self.requested_attributes(),
            );
            let cookie = self.cookie.clone().map(Into::into);
            let control = SyncRequest { mode: REFRESH_AND_PERSIST, cookie, reload: false };
            let id = self.next_id();
            self.send(Message::new(id, Op::Search(request)).with_control(SYNC_REQUEST, true, &control));
            self.state = State::Sync { id, persisting: false };
            self.deadline = now + self.config.response_timeout;
        } else {
            let complete = self.polls.is_multiple_of(self.config.full_poll_every.max(1))
                || self.latest_timestamp.is_empty();
            self.polls += 1;
            self.request_page(now, complete, Vec::new());
        }
    }

    fn request_page(&mut self, now: Ns, complete: bool, cookie: Vec<u8>) {
        let mut filter = self.config.filter.clone();
        if !complete {
            let newer = rasn_ldap::AttributeValueAssertion::new(
                "modifyTimestamp".into(),
                self.latest_timestamp.as_bytes().to_vec().into(),
            );
            filter = Filter::And(vec![filter, Filter::GreaterOrEqual(newer)].into());
        }
        let request = self.search(&self.config.base, true, filter, &self.requested_attributes());
        let control = PagedResults { size: self.config.page_size, cookie: cookie.into() };
        let id = self.next_id();
        self.send(Message::new(id, Op::Search(request)).with_control(PAGED_RESULTS, true, &control));
        self.state = State::Page { id, complete };
        self.deadline = now + self.config.response_timeout;
    }

    /// Handles received bytes.
    pub fn receive(&mut self, now: Ns, bytes: &[u8]) {
        if self.is_closed() {
            return;
        }
        self.frames.push(bytes);
        loop {
            let message = match self.frames.next() {
                Ok(None) => return,
                Ok(Some(bytes)) => decode(bytes),
                Err(why) => return self.end(format!("malformed stream: {}", why.0), Vec::new()),
            };
            match message {
                Ok(message) => self.handle_message(now, message),
                Err(why) => {
                    return self.end(format!("malformed message: {}", printable(why.as_bytes())), Vec::new())
                }
            }
            if self.is_closed() || matches!(self.state, State::Handshake) {
                return;
            }
        }
    }

    fn handle_message(&mut self, now: Ns, message: Message) {
        if message.id == 0 {
            if let Op::ExtendedResponse(e) = &message.op {
                let why =
                    format!("disconnected by the server: {} {}", e.code.0, printable(&e.diagnostic_message));
                return self.end(why, Vec::new());
            }
        }
        if self.probe.is_some_and(|(id, _)| id == message.id) {
            if matches!(message.op, Op::SearchDone(_)) {
                self.probe = None;
                self.deadline = now + self.config.poll_interval;
            }
            return;
        }
        match (&self.state, message.op) {
            (State::StartTls(id), Op::ExtendedResponse(e)) if *id == message.id => match e.code.0 {
                // Unencrypted bytes after the response could have been injected by anyone (RFC 4511 §4.14.1).
                SUCCESS if self.frames.buffered() > 0 => {
                    self.end("unencrypted data after the StartTLS response", Vec::new())
                }
                SUCCESS => {
                    self.state = State::Handshake;
                    self.actions.push(Action::StartTls);
                    self.deadline = now + self.config.response_timeout;
                }
                code => self.end(
                    format!("StartTLS refused: {code} {}", printable(&e.diagnostic_message)),
                    Vec::new(),
                ),
            },
            (State::Bind(id), Op::BindResponse(b)) if *id == message.id => match b.code.0 {
                SUCCESS => {
                    let id = self.request_root_dse(now);
                    self.state = State::RootDse(id);
                }
                code => self.fail("bind", code, &b.diagnostic_message, b.referral),
            },
            (State::RootDse(id), Op::Entry(entry)) if *id == message.id => {
                let supports_sync = entry.values("supportedControl").any(|c| c == SYNC_REQUEST);
                self.uses_sync = supports_sync && self.config.sync;
                self.deadline = now + self.config.response_timeout;
            }
            (State::RootDse(id), Op::SearchDone(done)) if *id == message.id => match done.code.0 {
                SUCCESS => self.request_content(now),
                code => self.fail("root DSE", code, &done.diagnostic_message, done.referral),
            },
            (State::Sync { id, .. }, op) if *id == message.id => {
                let state = message.controls.iter().flatten().find(|c| c.control_type.as_ref() == SYNC_STATE);
                let state = state.and_then(|c| c.control_value.as_ref().map(|v| v.to_vec()));
                self.handle_sync_response(now, op, state);
            }
            (State::Page { id, .. }, op) if *id == message.id => {
                let paged =
                    message.controls.iter().flatten().find(|c| c.control_type.as_ref() == PAGED_RESULTS);
                let paged = paged.and_then(|c| decode_value::<PagedResults>(c.control_value.as_ref()?));
                self.handle_page_response(now, op, paged);
            }
            _ => {
                self.stray_responses += 1;
                if self.stray_responses > MAX_STRAY {
                    self.end("too many responses without a request", Vec::new());
                }
            }
        }
    }

    fn fail(
        &mut self, operation: &str, code: u32, why: &[u8], referral: Option<Vec<rasn::types::OctetString>>,
    ) {
        let referral = referral.unwrap_or_default().iter().map(|u| printable(u)).collect();
        self.end(format!("{operation} refused: {code} {}", printable(why)), referral);
    }

    /// Counts an entry. Ends the session and returns false if there are too many.
    fn count_entry(&mut self, now: Ns) -> bool {
        self.deadline = now + self.config.response_timeout;
        self.entries += 1;
        if self.entries <= self.config.max_entries {
            return true;
        }
        let (State::Sync { id, .. } | State::Page { id, .. }) = self.state else { return false };
        let abandon = self.next_id();
        self.send(Message::new(abandon, Op::Abandon(AbandonRequest(id))));
        self.end(format!("more than {} entries", self.config.max_entries), Vec::new());
        false
    }

    fn emit(&mut self, update: ContentUpdate) {
        self.actions.push(Action::Update(update));
    }

    fn update_cookie(&mut self, cookie: Option<Vec<u8>>) {
        if let Some(cookie) = cookie {
            self.cookie = Some(cookie.clone());
            self.emit(ContentUpdate::Cookie(cookie));
        }
    }

    fn handle_sync_response(&mut self, now: Ns, op: Op, state: Option<Vec<u8>>) {
        let State::Sync { persisting, .. } = self.state else { return };
        match op {
            Op::Entry(entry) => {
                // Changes after the refresh do not count towards its number of entries.
                if persisting {
                    self.entries = 0;
                }
                if !self.count_entry(now) {
                    return;
                }
                let Some(state) = state.and_then(|s| decode_value::<SyncState>(&s)) else {
                    return self.end("sync entry without a state control", Vec::new());
                };
                let Ok(uuid) = <[u8; 16]>::try_from(state.uuid.to_vec()) else {
                    return self.end("sync entry with an invalid entryUUID", Vec::new());
                };
                match state.state.0 {
                    0 => self.emit(ContentUpdate::Unchanged(uuid)),
                    1 | 2 => self.emit(ContentUpdate::Entry { uuid, entry }),
                    3 => self.emit(ContentUpdate::Deleted(uuid)),
                    _ => return self.end("sync entry with an unknown state", Vec::new()),
                }
                self.update_cookie(state.cookie.map(|c| c.to_vec()));
            }
            Op::IntermediateResponse(response)
                if response.name.as_ref().is_some_and(|n| n.as_ref() == SYNC_INFO) =>
            {
                self.deadline = now + self.config.response_timeout;
                let Some(info) = response.value.and_then(|v| decode_value::<SyncInfo>(&v)) else {
                    return self.end("invalid sync info message", Vec::new());
                };
                match info {
                    SyncInfo::Cookie(cookie) => self.update_cookie(Some(cookie.to_vec())),
                    SyncInfo::Ids(ids) => {
                        let uuids: BTreeSet<Vec<u8>> =
                            ids.uuids.to_vec().into_iter().map(|u| u.to_vec()).collect();
                        for uuid in uuids {
                            let Ok(uuid) = <[u8; 16]>::try_from(uuid) else { continue };
                            if !self.count_entry(now) {
                                return;
                            }
                            self.emit(if ids.deletes {
                                ContentUpdate::Deleted(uuid)
                            } else {
                                ContentUpdate::Unchanged(uuid)
                            });
                        }
                        self.update_cookie(ids.cookie.map(|c| c.to_vec()));
                    }
                    SyncInfo::Present(r) => self.finish_refresh_phase(now, r, true),
                    SyncInfo::Delete(r) => self.finish_refresh_phase(now, r, false),
                }
            }
            Op::SearchReference(_) => self.references += 1,
            Op::SearchDone(done) => match done.code.0 {
                // The server no longer knows the cookie: restart without it (RFC 4533 §3.4.2).
                REFRESH_REQUIRED if self.cookie.is_some() => {
                    self.cookie = None;
                    self.request_content(now);
                }
                SUCCESS => self.end("the server ended the synchronization", Vec::new()),
                UNAVAILABLE_CRITICAL_EXTENSION => {
                    self.uses_sync = false;
                    self.request_content(now);
                }
                code => self.fail("synchronization", code, &done.diagnostic_message, done.referral),
            },
            _ => self.stray_responses += 1,
        }
    }

    /// Handles the end of a refresh phase; the refresh is complete if `done` is set.
    fn finish_refresh_phase(&mut self, now: Ns, refresh: Refresh, complete: bool) {
        self.update_cookie(refresh.cookie.map(|c| c.to_vec()));
        let State::Sync { id, persisting: false } = self.state else { return };
        if refresh.done {
            self.state = State::Sync { id, persisting: true };
            self.deadline = now + self.config.poll_interval;
            self.emit(ContentUpdate::RefreshCompleted { complete });
        }
    }

    fn handle_page_response(&mut self, now: Ns, op: Op, paged: Option<PagedResults>) {
        let State::Page { complete, .. } = self.state else { return };
        match op {
            Op::Entry(entry) => {
                if !self.count_entry(now) {
                    return;
                }
                if let Some(timestamp) =
                    entry.text("modifyTimestamp").filter(|t| *t > self.latest_timestamp && t.len() < 64)
                {
                    self.latest_timestamp = timestamp;
                }
                // An entry without an entryUUID can't be tracked across a rename.
                match entry.text("entryUUID").and_then(|t| parse_uuid(&t)) {
                    Some(uuid) => self.emit(ContentUpdate::Entry { uuid, entry }),
                    None => self.stray_responses += 1,
                }
            }
            Op::SearchReference(_) => self.references += 1,
            Op::SearchDone(done) => match (done.code.0, paged.filter(|p| !p.cookie.is_empty())) {
                (SUCCESS, Some(p)) => self.request_page(now, complete, p.cookie.to_vec()),
                (SUCCESS, None) => {
                    self.emit(ContentUpdate::RefreshCompleted { complete });
                    self.state = State::Idle { until: now + self.config.poll_interval };
                }
                (code, _) => self.fail("search", code, &done.diagnostic_message, done.referral),
            },
            _ => self.stray_responses += 1,
        }
    }

    /// Handles timeouts, polls and probes.
    pub fn tick(&mut self, now: Ns) {
        match &self.state {
            State::Closed => {}
            State::Idle { until } if *until <= now => self.request_content(now),
            State::Idle { .. } => {}
            State::Sync { persisting: true, .. } => match self.probe {
                Some((_, by)) if by <= now => self.end("no response to a probe", Vec::new()),
                Some(_) => {}
                // A half-open connection is indistinguishable from a directory without changes.
                None if self.deadline <= now => {
                    let id = self.request_root_dse(now);
                    self.probe = Some((id, now + self.config.response_timeout));
                }
                None => {}
            },
            _ if self.deadline <= now => self.end("response timed out", Vec::new()),
            _ => {}
        }
    }
}

impl Default for SessionConfig {
    /// Suits a small directory; the caller sets the base and the filter.
    fn default() -> SessionConfig {
        SessionConfig {
            login: Login::Anonymous,
            start_tls: false,
            allow_plaintext: false,
            base: String::new(),
            filter: Filter::Present("objectClass".into()),
            attributes: Vec::new(),
            page_size: 500,
            time_limit: 30,
            sync: true,
            poll_interval: 5 * SEC,
            full_poll_every: 6,
            response_timeout: 5 * SEC,
            max_entries: 1_000_000,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rasn::types::OctetString;

    fn sent_messages(session: &mut Session) -> Vec<Message> {
        let out = session.take_actions();
        out.iter()
            .filter_map(|o| match o {
                Action::Send(b) => decode(b).ok(),
                _ => None,
            })
            .collect()
    }

    fn result(code: u32) -> SearchDone {
        SearchDone {
            code: Enumerated(code),
            matched_dn: OctetString::from_static(b""),
            diagnostic_message: OctetString::from_static(b""),
            referral: None,
        }
    }

    fn bound(code: u32) -> Op {
        let empty = OctetString::from_static(b"");
        Op::BindResponse(BindResponse {
            code: Enumerated(code),
            matched_dn: empty.clone(),
            diagnostic_message: empty,
            referral: None,
            server_sasl_credentials: None,
        })
    }

    fn entry(attributes: &[(&str, &str)]) -> Entry {
        let attribute = |(k, v): &(&str, &str)| Attribute {
            kind: k.as_bytes().to_vec().into(),
            values: vec![OctetString::from(v.as_bytes().to_vec())].into(),
        };
        Entry { dn: b"cn=x".to_vec().into(), attributes: attributes.iter().map(attribute).collect() }
    }

    /// A session after the bind and the root DSE, which lists content synchronization if `syncs`, and the request for
    /// the content.
    fn start_search(config: SessionConfig, syncs: bool, cookie: Option<Vec<u8>>) -> (Session, Message) {
        let mut s = Session::start(0, config, false, cookie);
        let bind = sent_messages(&mut s).remove(0);
        s.receive(0, &Message::new(bind.id, bound(0)).encode());
        let root = sent_messages(&mut s).remove(0);
        let control = if syncs { std::str::from_utf8(SYNC_REQUEST).unwrap() } else { "1.2.3" };
        s.receive(0, &Message::new(root.id, Op::Entry(entry(&[("supportedControl", control)]))).encode());
        s.receive(0, &Message::new(root.id, Op::SearchDone(result(0))).encode());
        let request = sent_messages(&mut s).remove(0);
        (s, request)
    }

    fn updates(s: &mut Session) -> Vec<ContentUpdate> {
        s.take_actions()
            .into_iter()
            .filter_map(|o| match o {
                Action::Update(n) => Some(n),
                _ => None,
            })
            .collect()
    }

    const UUID: &str = "597ae2f6-16a6-1027-98f4-d28b5365dc14";

    #[test]
    fn pages_are_followed_and_polls_filter_by_latest_timestamp() {
        let (mut s, request) = start_search(SessionConfig::default(), false, None);
        assert!(request.control(PAGED_RESULTS).is_some());
        let found = entry(&[("entryUUID", UUID), ("modifyTimestamp", "20261201120000Z")]);
        s.receive(0, &Message::new(request.id, Op::Entry(found)).encode());
        let more = PagedResults { size: 0, cookie: b"next".to_vec().into() };
        s.receive(
            0,
            &Message::new(request.id, Op::SearchDone(result(0)))
                .with_control(PAGED_RESULTS, false, &more)
                .encode(),
        );
        let out = s.take_actions();
        assert!(matches!(&out[0], Action::Update(ContentUpdate::Entry { .. })));
        let Action::Send(bytes) = &out[1] else { panic!("{out:?}") };
        let second = decode(bytes).unwrap();
        assert_eq!(
            decode_value::<PagedResults>(second.control(PAGED_RESULTS).unwrap()).unwrap().cookie.as_ref(),
            b"next"
        );
        let none = PagedResults { size: 0, cookie: OctetString::from_static(b"") };
        s.receive(
            0,
            &Message::new(second.id, Op::SearchDone(result(0)))
                .with_control(PAGED_RESULTS, false, &none)
                .encode(),
        );
        assert_eq!(updates(&mut s), [ContentUpdate::RefreshCompleted { complete: true }]);
        assert!(s.is_up_to_date() && s.next_deadline() == 5 * SEC);
        s.tick(5 * SEC);
        let Op::Search(poll) = sent_messages(&mut s).remove(0).op else { panic!() };
        assert!(format!("{:?}", poll.filter).contains("GreaterOrEqual"));
    }

    #[test]
    fn unknown_cookie_restarts_the_synchronization() {
        let (mut s, request) = start_search(SessionConfig::default(), true, Some(b"old".to_vec()));
        let asked = decode_value::<SyncRequest>(request.control(SYNC_REQUEST).unwrap()).unwrap();
        assert_eq!(asked.cookie.unwrap().as_ref(), b"old");
        s.receive(0, &Message::new(request.id, Op::SearchDone(result(REFRESH_REQUIRED))).encode());
        let again = sent_messages(&mut s).remove(0);
        assert_eq!(decode_value::<SyncRequest>(again.control(SYNC_REQUEST).unwrap()).unwrap().cookie, None);
        let state = SyncState { state: Enumerated(1), uuid: vec![7; 16].into(), cookie: None };
        s.receive(
            0,
            &Message::new(again.id, Op::Entry(entry(&[]))).with_control(SYNC_STATE, false, &state).encode(),
        );
        let done = SyncInfo::Present(Refresh { cookie: Some(b"new".to_vec().into()), done: true });
        let info =
            IntermediateResponse { name: Some(SYNC_INFO.to_vec().into()), value: Some(encode(&done).into()) };
        s.receive(0, &Message::new(again.id, Op::IntermediateResponse(info)).encode());
        let got = updates(&mut s);
        assert!(matches!(got[0], ContentUpdate::Entry { uuid: [7, ..], .. }));
        assert_eq!(
            got[1..],
            [ContentUpdate::Cookie(b"new".to_vec()), ContentUpdate::RefreshCompleted { complete: true }]
        );
        // An idle connection is probed, and closed when the probe gets no response.
        let at = s.next_deadline();
        s.tick(at);
        assert_eq!(sent_messages(&mut s).len(), 1);
        let at = s.next_deadline();
        s.tick(at);
        assert!(
            matches!(s.take_actions().last(), Some(Action::Closed { why, .. }) if why == "no response to a probe")
        );
    }

    #[test]
    fn too_many_entries_stray_responses_and_timeouts_end_the_session() {
        let (mut s, request) =
            start_search(SessionConfig { max_entries: 3, ..SessionConfig::default() }, false, None);
        for _ in 0..10 {
            s.receive(0, &Message::new(request.id, Op::Entry(entry(&[("entryUUID", UUID)]))).encode());
        }
        let out = s.take_actions();
        let sends: Vec<Message> = out
            .iter()
            .filter_map(|o| match o {
                Action::Send(b) => decode(b).ok(),
                _ => None,
            })
            .collect();
        assert!(matches!(sends[0].op, Op::Abandon(AbandonRequest(id)) if id == request.id));
        assert!(matches!(out.last(), Some(Action::Closed { why, .. }) if why.contains("3 entries")));
        let (mut s, _) = start_search(SessionConfig::default(), false, None);
        for _ in 0..=MAX_STRAY {
            s.receive(0, &Message::new(77, Op::SearchDone(result(0))).encode());
        }
        assert!(s.is_closed());
        let (mut s, _) = start_search(SessionConfig::default(), false, None);
        s.tick(5 * SEC);
        assert!(
            matches!(s.take_actions().last(), Some(Action::Closed { why, .. }) if why == "response timed out")
        );
        // A size limit of the server does not complete a refresh: no entry may count as deleted.
        let (mut s, request) = start_search(SessionConfig::default(), false, None);
        s.receive(0, &Message::new(request.id, Op::SearchDone(result(SIZE_LIMIT_EXCEEDED))).encode());
        let out = s.take_actions();
        assert!(
            !out.contains(&Action::Update(ContentUpdate::RefreshCompleted { complete: true }))
                && s.is_closed()
        );
    }

    #[test]
    fn passwords_are_not_sent_unencrypted_and_data_before_tls_is_rejected() {
        let login = Login::Simple { dn: "cn=a".into(), password: "geheim".into() };
        let config = SessionConfig { login, ..SessionConfig::default() };
        let mut s = Session::start(0, config.clone(), false, None);
        assert!(
            s.is_closed()
                && !format!("{:?}", s.take_actions()).contains("geheim")
                && !format!("{config:?}").contains("geheim")
        );
        let mut s = Session::start(0, SessionConfig { start_tls: true, ..config }, false, None);
        let id = sent_messages(&mut s).remove(0).id;
        let empty = OctetString::from_static(b"");
        let yes = ExtendedResponse {
            code: Enumerated(0),
            matched_dn: empty.clone(),
            diagnostic_message: empty,
            referral: None,
            name: None,
            value: None,
        };
        let yes = Message::new(id, Op::ExtendedResponse(yes)).encode();
        // The StartTLS response followed by a forged bind response without encryption.
        let forged = [yes.clone(), Message::new(id + 1, bound(0)).encode()].concat();
        s.receive(0, &forged);
        assert!(s.is_closed());
    }

    #[test]
    fn corrupted_messages_do_not_panic() {
        let mut x: u64 = 9;
        let mut draw = |n: u64| {
            x ^= x << 13;
            x ^= x >> 7;
            x ^= x << 17;
            x % n
        };
        let good = Message::new(3, Op::Entry(entry(&[("entryUUID", UUID), ("cn", "abc")]))).encode();
        for _ in 0..20_000 {
            let (mut s, request) = (Session::start(0, SessionConfig::default(), false, None), 1);
            let mut bytes = good.clone();
            for _ in 0..=draw(4) {
                let at = draw(bytes.len() as u64) as usize;
                match draw(3) {
                    0 => bytes[at] = draw(256) as u8,
                    1 => drop(bytes.remove(at)),
                    _ => bytes.insert(at, draw(256) as u8),
                }
                if bytes.is_empty() {
                    break;
                }
            }
            s.receive(0, &Message::new(request, bound(0)).encode());
            s.receive(0, &bytes);
        }
    }
}
