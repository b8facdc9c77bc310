//! A client's session on one connection: StartTLS, bind, root DSE, then content synchronisation where the
//! server has it, else paged polling. It says what to send and what has come, and holds no socket and no
//! clock; every wait has an end.
use crate::frames::Frames;
use crate::message::*;
use rockpick_net::{Ns, SEC};
use std::collections::BTreeSet;

/// Answers to nothing that was asked are passed over, as RFC 4511 §4.1.1.1 wants; this many in one session
/// and the server is not to be spoken with.
const MOST_STRAY: u32 = 64;

/// How the client says who it is.
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

/// What is asked, and how long for.
#[derive(Clone, Debug)]
pub struct Quest {
    pub login: Login,
    pub start_tls: bool,
    /// A password may go over a connection that is not secured.
    pub plain: bool,
    pub base: String,
    pub filter: Filter,
    pub attributes: Vec<String>,
    /// Entries a page, and seconds that the server may take for one.
    pub page: u32,
    pub time_limit: u32,
    /// Ask for content synchronisation where the root DSE names it.
    pub sync: bool,
    /// Between polls, and between probes of a connection that waits for changes.
    pub poll: Ns,
    /// Each so-manieth poll is of everything: what was deleted is seen by that alone.
    pub whole_every: u32,
    /// An answer must come within this, or the next part of one.
    pub within: Ns,
    pub most_entries: usize,
}

/// What has come of the directory's content.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A refresh begins.
    Begin,
    Entry {
        uuid: [u8; 16],
        entry: Entry,
    },
    /// Still there, unchanged.
    Keep([u8; 16]),
    Gone([u8; 16]),
    /// The refresh is complete; of a whole one, what was not named is gone.
    End {
        whole: bool,
    },
    /// From here a later session can go on.
    Cookie(Vec<u8>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send(Vec<u8>),
    /// The server is ready for TLS; [`Session::secured`] once it is there.
    StartTls,
    News(News),
    /// The session is over; the connection is to be closed. With a referral, where the server points.
    Over {
        why: String,
        referral: Vec<String>,
    },
}

enum Step {
    StartTls(u32),
    Handshake,
    Bind(u32),
    Root(u32),
    Sync { id: u32, persists: bool },
    Page { id: u32, whole: bool },
    Rest { until: Ns },
    Over,
}

pub struct Session {
    quest: Quest,
    step: Step,
    frames: Frames,
    next: u32,
    /// When what is awaited must have come.
    by: Ns,
    secured: bool,
    cookie: Option<Vec<u8>>,
    syncs: bool,
    /// Entries of this refresh.
    entries: usize,
    polls: u32,
    /// The latest modifyTimestamp seen.
    stamp: String,
    probe: Option<(u32, Ns)>,
    stray: u32,
    pub references: u64,
    out: Vec<Out>,
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).chars().filter(|c| !c.is_control()).take(200).collect()
}

impl Session {
    /// `secured`: the connection is TLS already; `cookie`: where a former session left off.
    pub fn begin(now: Ns, quest: Quest, secured: bool, cookie: Option<Vec<u8>>) -> Session {
        let mut session = Session {
            by: now + quest.within,
            quest,
            step: Step::Over,
            frames: Frames::default(),
            next: 0,
            secured,
            cookie,
            syncs: false,
            entries: 0,
            polls: 0,
            stamp: String::new(),
            probe: None,
            stray: 0,
            references: 0,
            out: Vec::new(),
        };
        if session.quest.start_tls && !secured {
            let request = ExtendedRequest { request_name: START_TLS.to_vec().into(), request_value: None };
            let id = session.ask(now, Op::Extended(request));
            session.step = Step::StartTls(id);
        } else {
            session.bind(now);
        }
        session
    }

    /// What is to be done, in this order.
    pub fn out(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    pub fn over(&self) -> bool {
        matches!(self.step, Step::Over)
    }

    /// In step with the directory: changes come by themselves, or by the next poll.
    pub fn settled(&self) -> bool {
        matches!(self.step, Step::Sync { persists: true, .. } | Step::Rest { .. })
    }

    /// When [`Session::tick`] is to be called at the latest.
    pub fn wake(&self) -> Ns {
        match &self.step {
            Step::Rest { until } => *until,
            Step::Sync { persists: true, .. } => self.probe.map_or(self.by, |(_, by)| by),
            Step::Over => Ns::MAX,
            _ => self.by,
        }
    }

    fn id(&mut self) -> u32 {
        // 1 to 2^31 - 1 (RFC 4511 §4.1.1); 0 is the server's own.
        self.next = self.next % 0x7fff_ffff + 1;
        self.next
    }

    fn send(&mut self, message: Message) {
        self.out.push(Out::Send(message.bytes()));
    }

    fn ask(&mut self, now: Ns, op: Op) -> u32 {
        let id = self.id();
        self.send(Message::new(id, op));
        self.by = now + self.quest.within;
        id
    }

    /// Takes leave politely, as far as the connection still carries it.
    fn end(&mut self, why: impl Into<String>, referral: Vec<String>) {
        if self.over() {
            return;
        }
        if !matches!(self.step, Step::Handshake) {
            let id = self.id();
            self.send(Message::new(id, Op::Unbind(UnbindRequest)));
        }
        self.step = Step::Over;
        self.out.push(Out::Over { why: why.into(), referral });
    }

    /// The caller ends it.
    pub fn leave(&mut self) {
        self.end("left", Vec::new());
    }

    /// TLS is there; all that came before it is forgotten.
    pub fn secured(&mut self, now: Ns) {
        if matches!(self.step, Step::Handshake) {
            self.secured = true;
            self.frames = Frames::default();
            self.bind(now);
        }
    }

    fn bind(&mut self, now: Ns) {
        let (dn, choice) = match &self.quest.login {
            Login::Anonymous => (String::new(), AuthenticationChoice::Simple(Vec::new().into())),
            Login::Simple { password, .. } if !self.secured && !self.quest.plain => {
                let _ = password;
                return self.end("a password would go over a connection that is not secured", Vec::new());
            }
            Login::Simple { dn, password } => {
                (dn.clone(), AuthenticationChoice::Simple(password.as_bytes().to_vec().into()))
            }
            Login::External => {
                (String::new(), AuthenticationChoice::Sasl(SaslCredentials::new("EXTERNAL".into(), None)))
            }
        };
        let id = self.ask(now, Op::Bind(BindRequest::new(3, dn.into(), choice)));
        self.step = Step::Bind(id);
    }

    fn search(&self, base: &str, whole_tree: bool, filter: Filter, attributes: &[&str]) -> SearchRequest {
        let scope =
            if whole_tree { SearchRequestScope::WholeSubtree } else { SearchRequestScope::BaseObject };
        let attributes = attributes.iter().map(|a| (*a).into()).collect();
        let deref = SearchRequestDerefAliases::NeverDerefAliases;
        SearchRequest::new(base.into(), scope, deref, 0, self.quest.time_limit, false, filter, attributes)
    }

    fn root(&mut self, now: Ns) -> u32 {
        let request = self.search("", false, Filter::Present("objectClass".into()), &["supportedControl"]);
        self.ask(now, Op::Search(request))
    }

    fn wanted(&self) -> Vec<&str> {
        let named = self.quest.attributes.iter().map(String::as_str);
        named.chain(["entryUUID", "modifyTimestamp"]).collect()
    }

    /// Asks for the content, by the best way that the server has.
    fn content(&mut self, now: Ns) {
        self.entries = 0;
        self.out.push(Out::News(News::Begin));
        if self.syncs {
            let request = self.search(&self.quest.base, true, self.quest.filter.clone(), &self.wanted());
            let cookie = self.cookie.clone().map(Into::into);
            let control = SyncRequest { mode: REFRESH_AND_PERSIST, cookie, reload: false };
            let id = self.id();
            self.send(Message::new(id, Op::Search(request)).with(SYNC_REQUEST, true, &control));
            self.step = Step::Sync { id, persists: false };
            self.by = now + self.quest.within;
        } else {
            let whole = self.polls.is_multiple_of(self.quest.whole_every.max(1)) || self.stamp.is_empty();
            self.polls += 1;
            self.page(now, whole, Vec::new());
        }
    }

    fn page(&mut self, now: Ns, whole: bool, cookie: Vec<u8>) {
        let mut filter = self.quest.filter.clone();
        if !whole {
            let stamp = rasn_ldap::AttributeValueAssertion::new(
                "modifyTimestamp".into(),
                self.stamp.as_bytes().to_vec().into(),
            );
            filter = Filter::And(vec![filter, Filter::GreaterOrEqual(stamp)].into());
        }
        let request = self.search(&self.quest.base, true, filter, &self.wanted());
        let control = Paged { size: self.quest.page, cookie: cookie.into() };
        let id = self.id();
        self.send(Message::new(id, Op::Search(request)).with(PAGED, true, &control));
        self.step = Step::Page { id, whole };
        self.by = now + self.quest.within;
    }

    /// Bytes have come.
    pub fn bytes(&mut self, now: Ns, bytes: &[u8]) {
        if self.over() {
            return;
        }
        self.frames.push(bytes);
        loop {
            let message = match self.frames.next() {
                Ok(None) => return,
                Ok(Some(bytes)) => read(bytes),
                Err(why) => return self.end(format!("nonsense on the wire: {}", why.0), Vec::new()),
            };
            match message {
                Ok(message) => self.message(now, message),
                Err(why) => {
                    return self.end(format!("a message that is none: {}", text(why.as_bytes())), Vec::new())
                }
            }
            if self.over() || matches!(self.step, Step::Handshake) {
                return;
            }
        }
    }

    fn message(&mut self, now: Ns, message: Message) {
        if message.id == 0 {
            if let Op::Extends(e) = &message.op {
                let why = format!("the server disconnects: {} {}", e.code.0, text(&e.why));
                return self.end(why, Vec::new());
            }
        }
        if self.probe.is_some_and(|(id, _)| id == message.id) {
            if matches!(message.op, Op::Done(_)) {
                self.probe = None;
                self.by = now + self.quest.poll;
            }
            return;
        }
        match (&self.step, message.op) {
            (Step::StartTls(id), Op::Extends(e)) if *id == message.id => match e.code.0 {
                // What came in the clear behind it could have been put there by anyone (RFC 4511 §4.14.1).
                SUCCESS if self.frames.waiting() > 0 => {
                    self.end("more came in the clear than the answer to StartTLS", Vec::new())
                }
                SUCCESS => {
                    self.step = Step::Handshake;
                    self.out.push(Out::StartTls);
                    self.by = now + self.quest.within;
                }
                code => self.end(format!("StartTLS refused: {code} {}", text(&e.why)), Vec::new()),
            },
            (Step::Bind(id), Op::Bound(b)) if *id == message.id => match b.code.0 {
                SUCCESS => {
                    let id = self.root(now);
                    self.step = Step::Root(id);
                }
                code => self.refused("bind", code, &b.why, b.referral),
            },
            (Step::Root(id), Op::Entry(entry)) if *id == message.id => {
                let has = entry.values("supportedControl").any(|c| c == SYNC_REQUEST);
                self.syncs = has && self.quest.sync;
                self.by = now + self.quest.within;
            }
            (Step::Root(id), Op::Done(done)) if *id == message.id => match done.code.0 {
                SUCCESS => self.content(now),
                code => self.refused("root DSE", code, &done.why, done.referral),
            },
            (Step::Sync { id, .. }, op) if *id == message.id => {
                let state = message.controls.iter().flatten().find(|c| c.control_type.as_ref() == SYNC_STATE);
                let state = state.and_then(|c| c.control_value.as_ref().map(|v| v.to_vec()));
                self.synced(now, op, state);
            }
            (Step::Page { id, .. }, op) if *id == message.id => {
                let paged = message.controls.iter().flatten().find(|c| c.control_type.as_ref() == PAGED);
                let paged = paged.and_then(|c| value::<Paged>(c.control_value.as_ref()?));
                self.paged(now, op, paged);
            }
            _ => {
                self.stray += 1;
                if self.stray > MOST_STRAY {
                    self.end("too many answers to nothing that was asked", Vec::new());
                }
            }
        }
    }

    fn refused(
        &mut self, what: &str, code: u32, why: &[u8], referral: Option<Vec<rasn::types::OctetString>>,
    ) {
        let referral = referral.unwrap_or_default().iter().map(|u| text(u)).collect();
        self.end(format!("{what} refused: {code} {}", text(why)), referral);
    }

    /// One more entry; false when there are more than may be.
    fn counted(&mut self, now: Ns) -> bool {
        self.by = now + self.quest.within;
        self.entries += 1;
        if self.entries <= self.quest.most_entries {
            return true;
        }
        let (Step::Sync { id, .. } | Step::Page { id, .. }) = self.step else { return false };
        let abandon = self.id();
        self.send(Message::new(abandon, Op::Abandon(AbandonRequest(id))));
        self.end(format!("more than {} entries", self.quest.most_entries), Vec::new());
        false
    }

    fn tell(&mut self, news: News) {
        self.out.push(Out::News(news));
    }

    fn cookie(&mut self, cookie: Option<Vec<u8>>) {
        if let Some(cookie) = cookie {
            self.cookie = Some(cookie.clone());
            self.tell(News::Cookie(cookie));
        }
    }

    fn synced(&mut self, now: Ns, op: Op, state: Option<Vec<u8>>) {
        let Step::Sync { persists, .. } = self.step else { return };
        match op {
            Op::Entry(entry) => {
                // Changes that come later are no part of the refresh that was counted.
                if persists {
                    self.entries = 0;
                }
                if !self.counted(now) {
                    return;
                }
                let Some(state) = state.and_then(|s| value::<SyncState>(&s)) else {
                    return self.end("an entry of a synchronisation without its state", Vec::new());
                };
                let Ok(uuid) = <[u8; 16]>::try_from(state.uuid.to_vec()) else {
                    return self.end("an entry whose entryUUID is none", Vec::new());
                };
                match state.state.0 {
                    0 => self.tell(News::Keep(uuid)),
                    1 | 2 => self.tell(News::Entry { uuid, entry }),
                    3 => self.tell(News::Gone(uuid)),
                    _ => return self.end("a state of an entry that is not known", Vec::new()),
                }
                self.cookie(state.cookie.map(|c| c.to_vec()));
            }
            Op::Between(between) if between.name.as_ref().is_some_and(|n| n.as_ref() == SYNC_INFO) => {
                self.by = now + self.quest.within;
                let Some(info) = between.value.and_then(|v| value::<SyncInfo>(&v)) else {
                    return self.end("a note of a synchronisation that is none", Vec::new());
                };
                match info {
                    SyncInfo::Cookie(cookie) => self.cookie(Some(cookie.to_vec())),
                    SyncInfo::Ids(ids) => {
                        let uuids: BTreeSet<Vec<u8>> =
                            ids.uuids.to_vec().into_iter().map(|u| u.to_vec()).collect();
                        for uuid in uuids {
                            let Ok(uuid) = <[u8; 16]>::try_from(uuid) else { continue };
                            if !self.counted(now) {
                                return;
                            }
                            self.tell(if ids.deletes { News::Gone(uuid) } else { News::Keep(uuid) });
                        }
                        self.cookie(ids.cookie.map(|c| c.to_vec()));
                    }
                    SyncInfo::Present(r) => self.refreshed(now, r, true),
                    SyncInfo::Delete(r) => self.refreshed(now, r, false),
                }
            }
            Op::Reference(_) => self.references += 1,
            Op::Done(done) => match done.code.0 {
                // The server no longer knows the cookie: from the start (RFC 4533 §3.4.2).
                REFRESH_REQUIRED if self.cookie.is_some() => {
                    self.cookie = None;
                    self.content(now);
                }
                SUCCESS => self.end("the server has ended the synchronisation", Vec::new()),
                UNAVAILABLE_CRITICAL => {
                    self.syncs = false;
                    self.content(now);
                }
                code => self.refused("synchronisation", code, &done.why, done.referral),
            },
            _ => self.stray += 1,
        }
    }

    /// A phase of the refresh is over; with `done`, all of it.
    fn refreshed(&mut self, now: Ns, refresh: Refresh, whole: bool) {
        self.cookie(refresh.cookie.map(|c| c.to_vec()));
        let Step::Sync { id, persists: false } = self.step else { return };
        if refresh.done {
            self.step = Step::Sync { id, persists: true };
            self.by = now + self.quest.poll;
            self.tell(News::End { whole });
        }
    }

    fn paged(&mut self, now: Ns, op: Op, paged: Option<Paged>) {
        let Step::Page { whole, .. } = self.step else { return };
        match op {
            Op::Entry(entry) => {
                if !self.counted(now) {
                    return;
                }
                if let Some(stamp) = entry.text("modifyTimestamp").filter(|s| *s > self.stamp && s.len() < 64)
                {
                    self.stamp = stamp;
                }
                // An entry without an identity can't be followed through a rename.
                match entry.text("entryUUID").and_then(|t| uuid(&t)) {
                    Some(uuid) => self.tell(News::Entry { uuid, entry }),
                    None => self.stray += 1,
                }
            }
            Op::Reference(_) => self.references += 1,
            Op::Done(done) => match (done.code.0, paged.filter(|p| !p.cookie.is_empty())) {
                (SUCCESS, Some(p)) => self.page(now, whole, p.cookie.to_vec()),
                (SUCCESS, None) => {
                    self.tell(News::End { whole });
                    self.step = Step::Rest { until: now + self.quest.poll };
                }
                (code, _) => self.refused("search", code, &done.why, done.referral),
            },
            _ => self.stray += 1,
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Ns) {
        match &self.step {
            Step::Over => {}
            Step::Rest { until } if *until <= now => self.content(now),
            Step::Rest { .. } => {}
            Step::Sync { persists: true, .. } => match self.probe {
                Some((_, by)) if by <= now => self.end("silent", Vec::new()),
                Some(_) => {}
                // A connection that is half dead looks like a directory without changes.
                None if self.by <= now => {
                    let id = self.root(now);
                    self.probe = Some((id, now + self.quest.within));
                }
                None => {}
            },
            _ if self.by <= now => self.end("no answer in time", Vec::new()),
            _ => {}
        }
    }
}

impl Default for Quest {
    /// Settings of a small directory; the base and the filter are the caller's.
    fn default() -> Quest {
        Quest {
            login: Login::Anonymous,
            start_tls: false,
            plain: false,
            base: String::new(),
            filter: Filter::Present("objectClass".into()),
            attributes: Vec::new(),
            page: 500,
            time_limit: 30,
            sync: true,
            poll: 5 * SEC,
            whole_every: 6,
            within: 5 * SEC,
            most_entries: 1_000_000,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rasn::types::OctetString;

    fn sent(session: &mut Session) -> Vec<Message> {
        let out = session.out();
        out.iter()
            .filter_map(|o| match o {
                Out::Send(b) => read(b).ok(),
                _ => None,
            })
            .collect()
    }

    fn result(code: u32) -> Done {
        Done {
            code: Code(code),
            matched: OctetString::from_static(b""),
            why: OctetString::from_static(b""),
            referral: None,
        }
    }

    fn bound(code: u32) -> Op {
        let empty = OctetString::from_static(b"");
        Op::Bound(Bound { code: Code(code), matched: empty.clone(), why: empty, referral: None, sasl: None })
    }

    fn entry(attributes: &[(&str, &str)]) -> Entry {
        let attribute = |(k, v): &(&str, &str)| Attribute {
            kind: k.as_bytes().to_vec().into(),
            values: vec![OctetString::from(v.as_bytes().to_vec())].into(),
        };
        Entry { dn: b"cn=x".to_vec().into(), attributes: attributes.iter().map(attribute).collect() }
    }

    /// Bound, with a root DSE that names or does not name synchronisation; returns the content's request.
    fn asked(quest: Quest, syncs: bool, cookie: Option<Vec<u8>>) -> (Session, Message) {
        let mut s = Session::begin(0, quest, false, cookie);
        let bind = sent(&mut s).remove(0);
        s.bytes(0, &Message::new(bind.id, bound(0)).bytes());
        let root = sent(&mut s).remove(0);
        let control = if syncs { std::str::from_utf8(SYNC_REQUEST).unwrap() } else { "1.2.3" };
        s.bytes(0, &Message::new(root.id, Op::Entry(entry(&[("supportedControl", control)]))).bytes());
        s.bytes(0, &Message::new(root.id, Op::Done(result(0))).bytes());
        let request = sent(&mut s).remove(0);
        (s, request)
    }

    fn news(s: &mut Session) -> Vec<News> {
        s.out()
            .into_iter()
            .filter_map(|o| match o {
                Out::News(n) => Some(n),
                _ => None,
            })
            .collect()
    }

    const UUID: &str = "597ae2f6-16a6-1027-98f4-d28b5365dc14";

    #[test]
    fn pages_are_followed_and_polls_go_by_the_latest_stamp() {
        let (mut s, request) = asked(Quest::default(), false, None);
        assert!(request.control(PAGED).is_some());
        let found = entry(&[("entryUUID", UUID), ("modifyTimestamp", "20261201120000Z")]);
        s.bytes(0, &Message::new(request.id, Op::Entry(found)).bytes());
        let more = Paged { size: 0, cookie: b"next".to_vec().into() };
        s.bytes(0, &Message::new(request.id, Op::Done(result(0))).with(PAGED, false, &more).bytes());
        let out = s.out();
        assert!(matches!(&out[0], Out::News(News::Entry { .. })));
        let Out::Send(bytes) = &out[1] else { panic!("{out:?}") };
        let second = read(bytes).unwrap();
        assert_eq!(value::<Paged>(second.control(PAGED).unwrap()).unwrap().cookie.as_ref(), b"next");
        let none = Paged { size: 0, cookie: OctetString::from_static(b"") };
        s.bytes(0, &Message::new(second.id, Op::Done(result(0))).with(PAGED, false, &none).bytes());
        assert_eq!(news(&mut s), [News::End { whole: true }]);
        assert!(s.settled() && s.wake() == 5 * SEC);
        s.tick(5 * SEC);
        let Op::Search(poll) = sent(&mut s).remove(0).op else { panic!() };
        assert!(format!("{:?}", poll.filter).contains("GreaterOrEqual"));
    }

    #[test]
    fn a_cookie_that_the_server_no_longer_knows_begins_from_the_start() {
        let (mut s, request) = asked(Quest::default(), true, Some(b"old".to_vec()));
        let asked = value::<SyncRequest>(request.control(SYNC_REQUEST).unwrap()).unwrap();
        assert_eq!(asked.cookie.unwrap().as_ref(), b"old");
        s.bytes(0, &Message::new(request.id, Op::Done(result(REFRESH_REQUIRED))).bytes());
        let again = sent(&mut s).remove(0);
        assert_eq!(value::<SyncRequest>(again.control(SYNC_REQUEST).unwrap()).unwrap().cookie, None);
        let state = SyncState { state: Code(1), uuid: vec![7; 16].into(), cookie: None };
        s.bytes(0, &Message::new(again.id, Op::Entry(entry(&[]))).with(SYNC_STATE, false, &state).bytes());
        let done = SyncInfo::Present(Refresh { cookie: Some(b"new".to_vec().into()), done: true });
        let info = Between { name: Some(SYNC_INFO.to_vec().into()), value: Some(write(&done).into()) };
        s.bytes(0, &Message::new(again.id, Op::Between(info)).bytes());
        let got = news(&mut s);
        assert!(matches!(got[0], News::Entry { uuid: [7, ..], .. }));
        assert_eq!(got[1..], [News::Cookie(b"new".to_vec()), News::End { whole: true }]);
        // A silent connection is probed, and given up when the probe is not answered.
        let at = s.wake();
        s.tick(at);
        assert_eq!(sent(&mut s).len(), 1);
        let at = s.wake();
        s.tick(at);
        assert!(matches!(s.out().last(), Some(Out::Over { why, .. }) if why == "silent"));
    }

    #[test]
    fn endless_results_wrong_ids_and_silence_come_to_an_end() {
        let (mut s, request) = asked(Quest { most_entries: 3, ..Quest::default() }, false, None);
        for _ in 0..10 {
            s.bytes(0, &Message::new(request.id, Op::Entry(entry(&[("entryUUID", UUID)]))).bytes());
        }
        let out = s.out();
        let sends: Vec<Message> = out
            .iter()
            .filter_map(|o| match o {
                Out::Send(b) => read(b).ok(),
                _ => None,
            })
            .collect();
        assert!(matches!(sends[0].op, Op::Abandon(AbandonRequest(id)) if id == request.id));
        assert!(matches!(out.last(), Some(Out::Over { why, .. }) if why.contains("3 entries")));
        let (mut s, _) = asked(Quest::default(), false, None);
        for _ in 0..=MOST_STRAY {
            s.bytes(0, &Message::new(77, Op::Done(result(0))).bytes());
        }
        assert!(s.over());
        let (mut s, _) = asked(Quest::default(), false, None);
        s.tick(5 * SEC);
        assert!(matches!(s.out().last(), Some(Out::Over { why, .. }) if why == "no answer in time"));
        // A limit of the server's is no end of a refresh: nothing may be taken for gone.
        let (mut s, request) = asked(Quest::default(), false, None);
        s.bytes(0, &Message::new(request.id, Op::Done(result(SIZE_LIMIT))).bytes());
        let out = s.out();
        assert!(!out.contains(&Out::News(News::End { whole: true })) && s.over());
    }

    #[test]
    fn no_password_goes_in_the_clear_and_nothing_counts_that_came_before_tls() {
        let login = Login::Simple { dn: "cn=a".into(), password: "geheim".into() };
        let quest = Quest { login, ..Quest::default() };
        let mut s = Session::begin(0, quest.clone(), false, None);
        assert!(
            s.over()
                && !format!("{:?}", s.out()).contains("geheim")
                && !format!("{quest:?}").contains("geheim")
        );
        let mut s = Session::begin(0, Quest { start_tls: true, ..quest }, false, None);
        let id = sent(&mut s).remove(0).id;
        let empty = OctetString::from_static(b"");
        let yes = Extends {
            code: Code(0),
            matched: empty.clone(),
            why: empty,
            referral: None,
            name: None,
            value: None,
        };
        let yes = Message::new(id, Op::Extends(yes)).bytes();
        // The answer with a forged bind response behind it, in the clear.
        let forged = [yes.clone(), Message::new(id + 1, bound(0)).bytes()].concat();
        s.bytes(0, &forged);
        assert!(s.over());
    }

    #[test]
    fn bytes_at_random_never_panic_and_cost_little() {
        let mut x: u64 = 9;
        let mut draw = |n: u64| {
            x ^= x << 13;
            x ^= x >> 7;
            x ^= x << 17;
            x % n
        };
        let good = Message::new(3, Op::Entry(entry(&[("entryUUID", UUID), ("cn", "abc")]))).bytes();
        for _ in 0..20_000 {
            let (mut s, request) = (Session::begin(0, Quest::default(), false, None), 1);
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
            s.bytes(0, &Message::new(request, bound(0)).bytes());
            s.bytes(0, &bytes);
        }
    }
}
