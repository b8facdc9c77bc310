//! A machine's side of a connection, read message by message: its welcome, then answers to queries. An answer
//! is believed only if it is whole and well formed; nothing of it is handed on before that.
use crate::{error_field, read_cstr, read_frame, Frame, ProtocolError, MAX_ROW_LEN};

/// Most bytes of an answer that are gathered: a value, its row's description and its end.
pub const MAX_RESPONSE_LEN: usize = MAX_ROW_LEN + 4_096;
/// Longest message besides the row.
const MOST_OTHER: usize = 2_048;
/// Notices and parameters let pass between two answers; more is noise.
const MOST_ASIDES: u32 = 64;

#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
enum Step {
    /// Its welcome is awaited.
    #[default]
    Opening,
    Idle,
    /// A query is out: description, row and end are awaited, in this order.
    Asked,
    Described,
    Row,
    /// The answer stands; the connection is not ready yet.
    Done,
}

/// What has come.
#[derive(Debug, PartialEq, Eq)]
pub enum Response {
    /// Nothing whole yet.
    Incomplete,
    /// Ready for a query.
    Ready,
    /// A whole answer: description, row and end as they came.
    Row(Vec<u8>),
    /// An error with its code; it ends the connection, or readiness follows.
    Error(String),
}

/// Reads what a machine sends.
#[derive(Default)]
pub struct ResponseReader {
    came: Vec<u8>,
    /// Of `came`: messages of the answer that are read already.
    kept: usize,
    step: Step,
    asides: u32,
}

impl ResponseReader {
    /// A query has been written.
    pub fn query_sent(&mut self) {
        self.step = Step::Asked;
        self.asides = 0;
    }

    /// Is the connection fit for another query: ready, and nothing behind the last answer?
    pub fn is_reusable(&self) -> bool {
        self.step == Step::Idle && self.came.is_empty()
    }

    /// Has the machine been heard to be ready since it was dialled?
    pub fn is_open(&self) -> bool {
        self.step != Step::Opening
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.came.extend_from_slice(bytes);
    }

    /// Bytes held.
    pub fn buffered_len(&self) -> usize {
        self.came.len()
    }

    /// The header of the message that is read next, for the log: its tag and declared length.
    pub fn header(&self) -> Option<(u8, u32)> {
        let next = &self.came[self.kept..];
        Some((*next.first()?, crate::read_u32(&next[1..])?))
    }

    /// The next thing that has come whole.
    ///
    /// # Errors
    /// What no machine may say here: the connection is of no further use.
    pub fn next_response(&mut self) -> Result<Response, ProtocolError> {
        loop {
            // While nothing is owed, whatever comes is noise: the step decides below.
            let most = if self.step == Step::Described { MAX_ROW_LEN + 6 } else { MOST_OTHER };
            let (tag, used, said) = match read_frame(&self.came[self.kept..], most)? {
                Frame::Incomplete if self.came.len() > MAX_RESPONSE_LEN => {
                    return Err(ProtocolError("too long an answer"))
                }
                Frame::Incomplete => return Ok(Response::Incomplete),
                Frame::Complete { tag, body, used } => (tag, used, read(self.step, tag, body)?),
            };
            match said {
                Said::Aside => {
                    self.asides += 1;
                    if self.asides > MOST_ASIDES {
                        return Err(ProtocolError("more notices than an answer has"));
                    }
                    self.came.drain(self.kept..self.kept + used);
                }
                Said::Part(step) => {
                    self.kept += used;
                    self.step = step;
                    if tag == b'C' {
                        let rest = self.came.split_off(self.kept);
                        self.kept = 0;
                        return Ok(Response::Row(std::mem::replace(&mut self.came, rest)));
                    }
                }
                Said::Ready => {
                    self.came.drain(..used);
                    self.step = Step::Idle;
                    self.asides = 0;
                    if self.came.is_empty() {
                        self.came = Vec::new();
                    }
                    return Ok(Response::Ready);
                }
                Said::Error(code) => {
                    self.came.drain(..self.kept + used);
                    self.kept = 0;
                    self.step = if self.step == Step::Opening { Step::Opening } else { Step::Done };
                    return Ok(Response::Error(code));
                }
            }
        }
    }
}

enum Said {
    Aside,
    Part(Step),
    Ready,
    Error(String),
}

fn read(step: Step, tag: u8, body: &[u8]) -> Result<Said, ProtocolError> {
    Ok(match (step, tag) {
        // A parameter that can't be read, a load report among them, harms nobody.
        (_, b'S' | b'N') => Said::Aside,
        (Step::Opening, b'R') if body == [0; 4] => Said::Aside,
        (Step::Opening, b'K') => Said::Aside,
        (Step::Opening | Step::Done, b'Z') if matches!(body, [b'I']) => Said::Ready,
        (Step::Asked, b'T') if described(body) => Said::Part(Step::Described),
        (Step::Described, b'D') if row(body) => Said::Part(Step::Row),
        (Step::Row, b'C') if read_cstr(body).is_some_and(|t| !t.is_empty()) => Said::Part(Step::Done),
        (Step::Opening | Step::Asked | Step::Described | Step::Row, b'E') => {
            let code = error_field(body, b'C').filter(|c| c.len() == 5 && body.ends_with(b"\0"));
            Said::Error(code.ok_or(ProtocolError("an error without a code"))?.to_string())
        }
        _ => return Err(ProtocolError("not what comes next")),
    })
}

/// One column: its name, then 18 bytes.
fn described(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).and_then(|rest| rest.iter().position(|b| *b == 0));
    name.is_some_and(|end| body.len() == 2 + end + 1 + 18)
}

/// One value, as long as it says, and not absent.
fn row(body: &[u8]) -> bool {
    let long = body.strip_prefix(&[0, 1]).and_then(|rest| rest.first_chunk::<4>());
    long.is_some_and(|l| i32::from_be_bytes(*l) >= 0 && body.len() == 6 + u32::from_be_bytes(*l) as usize)
}
