//! LDAP messages. Encoding and decoding use `rasn`, and requests are the types of `rasn-ldap`. Responses are
//! separate types, as those of the library accept only the result codes of RFC 4511 (not 4096 of RFC 4533, for
//! example) and only names in UTF-8, while one invalid entry must not end the session.
use rasn::prelude::*;
pub use rasn_ldap::{
    AbandonRequest, AuthenticationChoice, BindRequest, Control, ExtendedRequest, Filter, SaslCredentials,
    SearchRequest, SearchRequestDerefAliases, SearchRequestScope, UnbindRequest,
};

pub const START_TLS: &[u8] = b"1.3.6.1.4.1.1466.20037";
pub const NOTICE_OF_DISCONNECTION: &[u8] = b"1.3.6.1.4.1.1466.20036";
pub const PAGED_RESULTS: &[u8] = b"1.2.840.113556.1.4.319";
pub const SYNC_REQUEST: &[u8] = b"1.3.6.1.4.1.4203.1.9.1.1";
pub const SYNC_STATE: &[u8] = b"1.3.6.1.4.1.4203.1.9.1.2";
pub const SYNC_DONE: &[u8] = b"1.3.6.1.4.1.4203.1.9.1.3";
pub const SYNC_INFO: &[u8] = b"1.3.6.1.4.1.4203.1.9.1.4";

/// Result codes (RFC 4511 §4.1.9; 4096: RFC 4533 §2.4).
pub const SUCCESS: u32 = 0;
pub const PROTOCOL_ERROR: u32 = 2;
pub const TIME_LIMIT_EXCEEDED: u32 = 3;
pub const SIZE_LIMIT_EXCEEDED: u32 = 4;
pub const AUTH_METHOD_NOT_SUPPORTED: u32 = 7;
pub const REFERRAL: u32 = 10;
pub const UNAVAILABLE_CRITICAL_EXTENSION: u32 = 12;
pub const NO_SUCH_OBJECT: u32 = 32;
pub const INVALID_CREDENTIALS: u32 = 49;
pub const UNAVAILABLE: u32 = 52;
pub const UNWILLING_TO_PERFORM: u32 = 53;
pub const REFRESH_REQUIRED: u32 = 4096;

/// An extensible enumerated value, such as a result code.
#[derive(AsnType, Encode, Decode, Debug, Clone, Copy, PartialEq, Eq)]
#[rasn(tag(universal, 10), delegate)]
pub struct Enumerated(pub u32);

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
pub struct Message {
    pub id: u32,
    pub op: Op,
    #[rasn(tag(0))]
    pub controls: Option<SequenceOf<Control>>,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
#[rasn(choice)]
pub enum Op {
    Bind(BindRequest),
    BindResponse(BindResponse),
    Unbind(UnbindRequest),
    Search(SearchRequest),
    Entry(Entry),
    SearchDone(SearchDone),
    SearchReference(SearchReference),
    Abandon(AbandonRequest),
    Extended(ExtendedRequest),
    ExtendedResponse(ExtendedResponse),
    IntermediateResponse(IntermediateResponse),
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
#[rasn(tag(application, 1))]
pub struct BindResponse {
    pub code: Enumerated,
    pub matched_dn: OctetString,
    pub diagnostic_message: OctetString,
    #[rasn(tag(3))]
    pub referral: Option<SequenceOf<OctetString>>,
    #[rasn(tag(7))]
    pub server_sasl_credentials: Option<OctetString>,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
#[rasn(tag(application, 4))]
pub struct Entry {
    pub dn: OctetString,
    pub attributes: SequenceOf<Attribute>,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
pub struct Attribute {
    pub kind: OctetString,
    pub values: SetOf<OctetString>,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
#[rasn(tag(application, 5))]
pub struct SearchDone {
    pub code: Enumerated,
    pub matched_dn: OctetString,
    pub diagnostic_message: OctetString,
    #[rasn(tag(3))]
    pub referral: Option<SequenceOf<OctetString>>,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
#[rasn(tag(application, 19), delegate)]
pub struct SearchReference(pub SequenceOf<OctetString>);

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
#[rasn(tag(application, 24))]
pub struct ExtendedResponse {
    pub code: Enumerated,
    pub matched_dn: OctetString,
    pub diagnostic_message: OctetString,
    #[rasn(tag(3))]
    pub referral: Option<SequenceOf<OctetString>>,
    #[rasn(tag(10))]
    pub name: Option<OctetString>,
    #[rasn(tag(11))]
    pub value: Option<OctetString>,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
#[rasn(tag(application, 25))]
pub struct IntermediateResponse {
    #[rasn(tag(0))]
    pub name: Option<OctetString>,
    #[rasn(tag(1))]
    pub value: Option<OctetString>,
}

/// The value of the paging control (RFC 2696), in requests and responses.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
pub struct PagedResults {
    pub size: u32,
    pub cookie: OctetString,
}

/// The value of the sync request control. Modes: 1 is refreshOnly, 3 refreshAndPersist.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
pub struct SyncRequest {
    pub mode: Enumerated,
    pub cookie: Option<OctetString>,
    #[rasn(default)]
    pub reload: bool,
}

pub const REFRESH_AND_PERSIST: Enumerated = Enumerated(3);

/// The value of an entry's sync state control. States: 0 present, 1 add, 2 modify, 3 delete.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
pub struct SyncState {
    pub state: Enumerated,
    pub uuid: OctetString,
    pub cookie: Option<OctetString>,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
pub struct SyncDone {
    pub cookie: Option<OctetString>,
    #[rasn(default)]
    pub deletes: bool,
}

fn default_true() -> bool {
    true
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
pub struct Refresh {
    pub cookie: Option<OctetString>,
    #[rasn(default = "default_true")]
    pub done: bool,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
pub struct IdSet {
    pub cookie: Option<OctetString>,
    #[rasn(default)]
    pub deletes: bool,
    pub uuids: SetOf<OctetString>,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq)]
#[rasn(choice)]
pub enum SyncInfo {
    #[rasn(tag(0))]
    Cookie(OctetString),
    #[rasn(tag(1))]
    Delete(Refresh),
    #[rasn(tag(2))]
    Present(Refresh),
    #[rasn(tag(3))]
    Ids(IdSet),
}

/// Decodes a message that [`crate::frames`] has split off.
///
/// # Errors
/// The decoder's error.
pub fn decode(bytes: &[u8]) -> Result<Message, String> {
    rasn::ber::decode(bytes).map_err(|err| err.to_string())
}

/// Decodes a control's value.
pub fn decode_value<T: rasn::Decode>(bytes: &[u8]) -> Option<T> {
    crate::frames::validate(bytes).ok()?;
    rasn::ber::decode(bytes).ok()
}

pub fn encode<T: rasn::Encode>(value: &T) -> Vec<u8> {
    // Encoding to memory does not fail.
    rasn::ber::encode(value).unwrap_or_default()
}

impl Message {
    pub fn new(id: u32, op: Op) -> Message {
        Message { id, op, controls: None }
    }

    pub fn with_control<T: rasn::Encode>(mut self, kind: &[u8], critical: bool, value: &T) -> Message {
        let control = Control::new(kind.to_vec().into(), critical, Some(encode(value).into()));
        self.controls.get_or_insert_with(Vec::new).push(control);
        self
    }

    pub fn control(&self, kind: &[u8]) -> Option<&[u8]> {
        let control = self.controls.iter().flatten().find(|c| c.control_type.as_ref() == kind)?;
        control.control_value.as_ref().map(|v| v.as_ref())
    }

    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

impl Entry {
    /// Values of an attribute; attribute types are compared without case, and options are not interpreted.
    pub fn values<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = Vec<u8>> + 'a {
        let fits = move |a: &&Attribute| a.kind.eq_ignore_ascii_case(kind.as_bytes());
        self.attributes.iter().filter(fits).flat_map(|a| a.values.to_vec().into_iter().map(|v| v.to_vec()))
    }

    /// The first value of an attribute in sorted order, if it is UTF-8.
    pub fn text(&self, kind: &str) -> Option<String> {
        let mut texts: Vec<String> = self.values(kind).filter_map(|v| String::from_utf8(v).ok()).collect();
        texts.sort();
        texts.into_iter().next()
    }
}

/// Parses an entryUUID (RFC 4530).
///
/// ```
/// let uuid = rockpick_ldap::message::parse_uuid("597ae2f6-16a6-1027-98f4-d28b5365dc14").unwrap();
/// assert_eq!((uuid[0], uuid[15]), (0x59, 0x14));
/// assert!(rockpick_ldap::message::parse_uuid("597ae2f6").is_none());
/// ```
pub fn parse_uuid(text: &str) -> Option<[u8; 16]> {
    if text.len() > 36 {
        return None;
    }
    hex::decode(text.replace('-', "")).ok()?.try_into().ok()
}

/// Formats an entryUUID.
pub fn format_uuid(uuid: &[u8; 16]) -> String {
    let hex = hex::encode(uuid);
    format!("{}-{}-{}-{}-{}", &hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..])
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unknown_result_codes_and_names_that_are_not_utf8_round_trip() {
        let done = SearchDone {
            code: Enumerated(REFRESH_REQUIRED),
            matched_dn: b"".to_vec().into(),
            diagnostic_message: b"old".to_vec().into(),
            referral: None,
        };
        let attribute = Attribute {
            kind: b"cn".to_vec().into(),
            values: vec![OctetString::from(vec![0xff, 0xfe])].into(),
        };
        let entry = Entry { dn: vec![0xc3, 0x28].into(), attributes: vec![attribute] };
        for op in [Op::SearchDone(done), Op::Entry(entry)] {
            let state = SyncState { state: Enumerated(1), uuid: vec![7; 16].into(), cookie: None };
            let message = Message::new(9, op).with_control(SYNC_STATE, false, &state);
            let decoded = decode(&message.encode()).unwrap();
            assert_eq!(decoded, message);
            assert_eq!(decode_value::<SyncState>(decoded.control(SYNC_STATE).unwrap()), Some(state));
        }
    }

    #[test]
    fn encoding_matches_the_rfc() {
        // A simple bind (RFC 4511 §4.2): version 3, name, [0] password.
        let bind = BindRequest::new(3, "cn=a".into(), AuthenticationChoice::Simple(b"pw".to_vec().into()));
        let bytes = Message::new(1, Op::Bind(bind)).encode();
        let expected: &[u8] = &[
            0x30, 0x12, 0x02, 0x01, 0x01, 0x60, 0x0d, 0x02, 0x01, 0x03, 0x04, 0x04, b'c', b'n', b'=', b'a',
            0x80, 0x02, b'p', b'w',
        ];
        assert_eq!(bytes, expected);
        let sync = SyncRequest { mode: REFRESH_AND_PERSIST, cookie: None, reload: false };
        assert_eq!(encode(&sync), [0x30, 0x03, 0x0a, 0x01, 0x03]);
        assert_eq!(
            encode(&Message::new(2, Op::Unbind(UnbindRequest))),
            [0x30, 0x05, 0x02, 0x01, 0x02, 0x42, 0x00]
        );
        assert_eq!(encode(&SyncInfo::Present(Refresh { cookie: None, done: true })), [0xa2, 0x00]);
    }
}
