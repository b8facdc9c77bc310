//! Tests the framing against the `postgres-protocol` crate, and with truncated and corrupted bytes.
use bytes::BytesMut;
use fallible_iterator::FallibleIterator;
use postgres_protocol::message::backend::Message;
use postgres_protocol::message::frontend;
use rockpick_pg::*;

fn messages(bytes: &[u8]) -> Vec<Message> {
    let mut buf = BytesMut::from(bytes);
    let mut all = Vec::new();
    while let Some(message) = Message::parse(&mut buf).unwrap() {
        all.push(message);
    }
    assert!(buf.is_empty());
    all
}

#[test]
fn the_library_parses_messages_to_clients() {
    let mut out = Vec::new();
    put_startup_response(&mut out);
    let sent = messages(&out);
    assert!(matches!(sent.first(), Some(Message::AuthenticationOk)));
    assert!(matches!(sent.last(), Some(Message::ReadyForQuery(_))));
    let mut out = Vec::new();
    put_empty_query_response(&mut out);
    assert!(matches!(messages(&out)[..], [Message::EmptyQueryResponse, Message::ReadyForQuery(_)]));
    let mut out = Vec::new();
    put_error(&mut out, false, TOO_MANY_CONNECTIONS, "pushed back", Some("41"));
    let [Message::ErrorResponse(error), Message::ReadyForQuery(_)] = &messages(&out)[..] else { panic!() };
    let fields: Vec<(u8, Vec<u8>)> =
        error.fields().map(|f| Ok((f.type_(), f.value_bytes().to_vec()))).collect().unwrap();
    assert!(fields.contains(&(b'C', b"53300".to_vec())) && fields.contains(&(b'D', b"41".to_vec())));
    let mut out = Vec::new();
    put_row(&mut out, "blob", b"\x9f\x03", "SELECT 1");
    let [Message::RowDescription(_), Message::DataRow(row), Message::CommandComplete(_)] =
        &messages(&out)[..]
    else {
        panic!()
    };
    assert_eq!(&row.buffer()[4..], b"\x9f\x03");
}

#[test]
fn the_library_s_messages_are_parsed_when_complete_and_incomplete_at_each_shorter_length() {
    let mut out = BytesMut::new();
    frontend::startup_message([("user", "api"), ("database", "ledger")], &mut out).unwrap();
    let startup = out.len();
    for cut in 0..startup {
        assert_eq!(read_startup(&out[..cut]), Ok(StartupMessage::Incomplete), "{cut}");
    }
    frontend::query("SELECT 1", &mut out).unwrap();
    assert_eq!(read_startup(&out), Ok(StartupMessage::Startup { used: startup }));
    let query = &out[startup..];
    for cut in 0..query.len() {
        assert_eq!(read_frame(&query[..cut], MAX_QUERY_LEN), Ok(Frame::Incomplete), "{cut}");
    }
    let Ok(Frame::Complete { tag: b'Q', body, used }) = read_frame(query, MAX_QUERY_LEN) else { panic!() };
    assert_eq!((read_cstr(body), used), (Some("SELECT 1"), query.len()));
    let mut out = BytesMut::new();
    frontend::ssl_request(&mut out);
    assert_eq!(read_startup(&out), Ok(StartupMessage::EncryptionRequest { used: 8 }));
}

#[test]
fn lengths_up_to_their_bounds_are_accepted_and_beyond_them_refused_by_the_header_alone() {
    let header = |long: u32| [&b"Q"[..], &long.to_be_bytes()].concat();
    assert_eq!(read_frame(&header(104), 100), Ok(Frame::Incomplete));
    for long in [0, 3, 105, 60 << 20, u32::MAX] {
        assert!(read_frame(&header(long), 100).is_err(), "{long}");
    }
    assert!(read_frame(b"\0\0\0\0", 100).is_err());
    assert_eq!(read_startup(&(MAX_STARTUP_LEN as u32).to_be_bytes()), Ok(StartupMessage::Incomplete));
    for long in [0, 7, MAX_STARTUP_LEN as u32 + 1, u32::MAX] {
        assert!(read_startup(&long.to_be_bytes()).is_err(), "{long}");
    }
    assert!(read_startup(b"\0\0\0\x09\0\x03\0\0x").is_err(), "parameters without an end");
    assert!(read_startup(b"GET / HTTP/1.1\r\n").is_err());
}

/// A machine's startup response, answer and ReadyForQuery.
fn server_messages(value: &[u8]) -> (Vec<u8>, Vec<u8>, Vec<u8>) {
    let (mut startup_response, mut row, mut ready) = (Vec::new(), Vec::new(), Vec::new());
    put_startup_response(&mut startup_response);
    put_row(&mut row, "blob", value, "SELECT 1");
    put_ready(&mut ready);
    (startup_response, row, ready)
}

fn reader_after_query() -> ResponseReader {
    let mut reader = ResponseReader::default();
    reader.push(&server_messages(b"").0);
    assert_eq!(reader.next_response(), Ok(Response::Ready));
    reader.query_sent();
    reader
}

#[test]
fn an_answer_cut_at_each_byte_is_the_same_answer() {
    let (_, row, ready) = server_messages(b"value");
    let whole = [&row[..], &ready].concat();
    for cut in 0..whole.len() {
        let mut reader = reader_after_query();
        reader.push(&whole[..cut]);
        let mut responses = vec![reader.next_response()];
        reader.push(&whole[cut..]);
        for _ in 0..3 {
            responses.push(reader.next_response());
        }
        responses.retain(|h| *h != Ok(Response::Incomplete));
        assert_eq!(responses, [Ok(Response::Row(row.clone())), Ok(Response::Ready)], "{cut}");
        assert!(reader.is_reusable());
    }
}

/// A flipped bit makes the answer invalid or incomplete, or leaves its length unchanged: the stream is never out of step.
#[test]
fn a_flipped_bit_never_yields_an_answer_of_another_length() {
    let (_, row, ready) = server_messages(b"value");
    let whole = [&row[..], &ready].concat();
    let mut invalid = 0;
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut corrupted = whole.clone();
            corrupted[at] ^= 1 << bit;
            let mut reader = reader_after_query();
            reader.push(&corrupted);
            match reader.next_response() {
                Ok(Response::Row(taken)) => assert_eq!(taken.len(), row.len(), "byte {at}, bit {bit}"),
                Ok(Response::Incomplete) => {}
                Ok(other) => panic!("{other:?}: byte {at}, bit {bit}"),
                Err(_) => invalid += 1,
            }
        }
    }
    assert!(invalid > 100, "{invalid}");
}

#[test]
fn messages_that_a_machine_may_not_send_make_the_connection_unusable() {
    let (_, row, ready) = server_messages(b"value");
    let mut huge = row.clone();
    let at = huge.iter().position(|b| *b == b'D').unwrap();
    huge[at + 1..at + 5].copy_from_slice(&3_000_000_000u32.to_be_bytes());
    let mut reader = reader_after_query();
    reader.push(&huge[..at + 5]);
    assert!(reader.next_response().is_err(), "3 GB are not waited for");
    // A row of the maximum length is accepted, a longer one is not.
    for (long, taken) in [(MAX_ROW_LEN, true), (MAX_ROW_LEN + 1, false)] {
        let mut reader = reader_after_query();
        reader.push(&server_messages(&vec![7; long]).1);
        assert_eq!(matches!(reader.next_response(), Ok(Response::Row(_))), taken, "{long}");
    }
    // A second copy right after the answer: the answer is valid, and the connection is no longer usable.
    let mut reader = reader_after_query();
    reader.push(&[&row[..], &ready, &row, &ready].concat());
    assert_eq!(reader.next_response(), Ok(Response::Row(row.clone())));
    assert_eq!(reader.next_response(), Ok(Response::Ready));
    assert!(!reader.is_reusable() && reader.next_response().is_err());
    // A NULL value, and more notices than allowed.
    let mut none = Vec::new();
    put_row(&mut none, "blob", b"", "SELECT 1");
    let at = none.iter().position(|b| *b == b'D').unwrap();
    none[at + 7..at + 11].copy_from_slice(&(-1i32).to_be_bytes());
    let mut reader = reader_after_query();
    reader.push(&none);
    assert!(reader.next_response().is_err());
    let mut reader = reader_after_query();
    reader.push(&b"N\0\0\0\x04".repeat(100));
    assert!(reader.next_response().is_err());
}

#[test]
fn an_error_is_reported_by_its_code_and_ready_follows() {
    let mut reader = reader_after_query();
    let mut out = Vec::new();
    put_error(&mut out, false, INTERNAL_ERROR, "broken", None);
    reader.push(&out);
    assert_eq!(reader.next_response(), Ok(Response::Error("XX000".into())));
    assert_eq!(reader.next_response(), Ok(Response::Ready));
    assert!(reader.is_reusable());
}

#[test]
fn the_missing_bytes_complete_the_header_and_then_the_message() {
    let mut message = Vec::new();
    put_query(&mut message, "SELECT 1");
    for len in 0..=message.len() {
        let completed = if len < 5 { 5 } else { message.len() };
        assert_eq!(missing_bytes(&message[..len], 1_000), completed - len, "{len}");
    }
    assert_eq!(missing_bytes(b"Q\0\0\0\0", 1_000), 0, "malformed");
}
