//! Reads what a machine sends on a connection: the startup response, then answers to queries. An answer is returned only
//! once it is complete and well formed; no part of it is passed on before.
use crate::{error_field, read_cstr, read_frame, Frame, ProtocolError, MAX_ROW_LEN};

/// Most bytes of an answer that are buffered: a value, its row description and the command completion.
pub const MAX_RESPONSE_LEN: usize = MAX_ROW_LEN + 4_096;
/// Longest message other than the data row.
const MAX_OTHER_LEN: usize = 2_048;
/// Most notices and parameter messages that are skipped between two answers; more is treated as a violation.
const MAX_ASYNC_MESSAGES: u32 = 64;

#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
enum State {
    /// Awaits the startup response.
    #[default]
    Startup,
    Idle,
    /// A query was sent; row description, data row and command completion must follow in this order.
    QuerySent,
    RowDescribed,
    RowReceived,
    /// The answer is complete; ReadyForQuery is awaited.
    Complete,
    /// The machine is ready; what answers the empty query behind the last one is awaited.
    EmptyQuerySent,
}

/// The next complete thing that a machine has sent.
#[derive(Debug, PartialEq, Eq)]
pub enum Response {
    Incomplete,
    Ready,
    /// A complete answer: the bytes of row description, data row and command completion, unchanged.
    Row(Vec<u8>),
    /// An error's SQLSTATE code. Either ReadyForQuery follows or the machine closes the connection.
    Error(String),
    /// The answer to an empty query.
    Empty,
}

#[derive(Default)]
pub struct ResponseReader {
    buffer: Vec<u8>,
    /// Length of the answer's messages at the start of `buffer` that are already parsed.
    parsed: usize,
    state: State,
    async_messages: u32,
    /// An empty query was sent behind the last one and is not answered yet.
    empty_query_open: bool,
}

impl ResponseReader {
    pub fn query_sent(&mut self) {
        self.state = State::QuerySent;
        self.async_messages = 0;
    }

    /// An empty query was sent behind a query whose answer is complete. Since a machine answers in order, whatever it
    /// sends before [`Response::Empty`] was sent before it came to the empty query.
    pub fn empty_query_sent(&mut self) {
        self.empty_query_open = true;
    }

    /// Whether another query may be sent: the machine is ready, and nothing follows its last answer.
    pub fn is_reusable(&self) -> bool {
        self.state == State::Idle && self.buffer.is_empty()
    }

    /// Whether the machine has been ready for a query since the connection was opened.
    pub fn is_open(&self) -> bool {
        self.state != State::Startup
    }

    pub fn push(&mut self, bytes: &[u8]) {
        // No more than needed: many connections may each hold a large part of an answer.
        self.buffer.reserve_exact(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes that complete the next message, as far as its header tells it; 0 if it is complete or malformed.
    pub fn missing_bytes(&self) -> usize {
        crate::missing_bytes(&self.buffer[self.parsed..], self.max_body())
    }

    /// Number of bytes that are received and not taken yet.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Longest message that may come next.
    fn max_body(&self) -> usize {
        if self.state == State::RowDescribed {
            MAX_ROW_LEN + 6
        } else {
            MAX_OTHER_LEN
        }
    }

    /// Tag and declared length of the next message, for the log.
    pub fn header(&self) -> Option<(u8, u32)> {
        let next = &self.buffer[self.parsed..];
        Some((*next.first()?, crate::read_u32(&next[1..])?))
    }

    /// Takes the next complete response from the buffer.
    ///
    /// # Errors
    /// A message that is not allowed in the current state; the connection can't be used any further.
    pub fn next_response(&mut self) -> Result<Response, ProtocolError> {
        loop {
            // Messages that no query asked for are rejected by `classify`, whatever their length.
            let (tag, used, message) = match read_frame(&self.buffer[self.parsed..], self.max_body())? {
                Frame::Incomplete if self.buffer.len() > MAX_RESPONSE_LEN => {
                    return Err(ProtocolError("too long an answer"))
                }
                Frame::Incomplete => return Ok(Response::Incomplete),
                Frame::Complete { tag, body, used } => (tag, used, classify(self.state, tag, body)?),
            };
            match message {
                Message::Async => {
                    self.async_messages += 1;
                    if self.async_messages > MAX_ASYNC_MESSAGES {
                        return Err(ProtocolError("more notices than an answer has"));
                    }
                    self.buffer.drain(self.parsed..self.parsed + used);
                }
                Message::Part(state) => {
                    self.parsed += used;
                    self.state = state;
                    if tag == b'C' {
                        let rest = self.buffer.split_off(self.parsed);
                        self.parsed = 0;
                        return Ok(Response::Row(std::mem::replace(&mut self.buffer, rest)));
                    }
                }
                Message::Ready => {
                    self.buffer.drain(..used);
                    self.state = if self.empty_query_open { State::EmptyQuerySent } else { State::Idle };
                    self.async_messages = 0;
                    if self.buffer.is_empty() {
                        self.buffer = Vec::new();
                    }
                    return Ok(Response::Ready);
                }
                Message::Empty => {
                    self.buffer.drain(..used);
                    self.empty_query_open = false;
                    self.state = State::Complete;
                    return Ok(Response::Empty);
                }
                Message::Error(code) => {
                    self.buffer.drain(..self.parsed + used);
                    self.parsed = 0;
                    self.state = if self.state == State::Startup { State::Startup } else { State::Complete };
                    return Ok(Response::Error(code));
                }
            }
        }
    }
}

/// What a message means in the current state.
enum Message {
    /// A notice or parameter, which changes nothing.
    Async,
    /// A part of the answer, and the state after it.
    Part(State),
    Ready,
    Empty,
    Error(String),
}

fn classify(state: State, tag: u8, body: &[u8]) -> Result<Message, ProtocolError> {
    Ok(match (state, tag) {
        // Unknown parameters, such as load reports, are skipped.
        (_, b'S' | b'N') => Message::Async,
        (State::Startup, b'R') if body == [0; 4] => Message::Async,
        (State::Startup, b'K') => Message::Async,
        (State::Startup | State::Complete, b'Z') if matches!(body, [b'I']) => Message::Ready,
        (State::EmptyQuerySent, b'I') if body.is_empty() => Message::Empty,
        (State::QuerySent | State::EmptyQuerySent, b'T') if is_row_description(body) => {
            Message::Part(State::RowDescribed)
        }
        (State::RowDescribed, b'D') if is_data_row(body) => Message::Part(State::RowReceived),
        (State::RowReceived, b'C') if read_cstr(body).is_some_and(|t| !t.is_empty()) => {
            Message::Part(State::Complete)
        }
        (
            State::Startup
            | State::QuerySent
            | State::EmptyQuerySent
            | State::RowDescribed
            | State::RowReceived,
            b'E',
        ) => {
            let code = error_field(body, b'C').filter(|c| c.len() == 5 && body.ends_with(b"\0"));
            Message::Error(code.ok_or(ProtocolError("an error without a code"))?.to_string())
        }
        _ => return Err(ProtocolError("not what comes next")),
    })
}

/// A RowDescription of one column: its name, then 18 bytes.
fn is_row_description(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).and_then(|rest| rest.iter().position(|b| *b == 0));
    name.is_some_and(|end| body.len() == 2 + end + 1 + 18)
}

/// A DataRow of one value that is not NULL and has the declared length.
fn is_data_row(body: &[u8]) -> bool {
    let len = body.strip_prefix(&[0, 1]).and_then(|rest| rest.first_chunk::<4>());
    len.is_some_and(|l| i32::from_be_bytes(*l) >= 0 && body.len() == 6 + u32::from_be_bytes(*l) as usize)
}
