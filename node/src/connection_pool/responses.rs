//! What machines send on their connections, and what it means for picks.
//!
//! A machine may send a second copy of an answer some milliseconds late, when the connection may have another query open.
//! An answer that equals a recent one of its connection is therefore not served at once: an empty query follows it, which
//! machines answer in order. If another answer comes first, that is the one to the open query.
use super::{ConnState, PickEvent, READY_TIMEOUT};
use crate::effects::Effects;
use rockpick::Outcome;
use rockpick_net::Id;
use rockpick_pg::{self as pg, ProtocolError, Response};

/// A pick (its RPC and number), and what has happened to it.
type PickEvents = Vec<(usize, usize, PickEvent)>;

/// Whether more responses of a connection can be handled.
#[derive(PartialEq, Eq)]
enum Next {
    Continue,
    Stop,
}

impl Effects {
    /// Processes data of a machine, and returns what it means for picks.
    pub fn machine_bytes(&mut self, id: Id, bytes: &[u8]) -> PickEvents {
        let mut events = Vec::new();
        self.receive_from_machine(id, bytes);
        while let Some(conn) = self.pool.conns.get_mut(&id) {
            let response = conn.reader.next_response();
            let next = match response {
                Ok(Response::Incomplete) => self.await_more(id),
                Ok(Response::Row(row)) => self.answer_received(id, row, &mut events),
                Ok(Response::Empty) => self.empty_query_answered(id, &mut events),
                Ok(Response::Error(code)) => self.error_received(id, &code, &mut events),
                Ok(Response::Ready) => self.machine_ready(id, &mut events),
                Err(error) => self.malformed_response(id, &error, &mut events),
            };
            if next == Next::Stop {
                break;
            }
        }
        events
    }

    fn receive_from_machine(&mut self, id: Id, bytes: &[u8]) {
        let now = self.net.now();
        let Some(conn) = self.pool.conns.get_mut(&id) else { return };
        conn.reader.push(bytes);
        let ConnState::Idle(since) = conn.state else { return };
        let late_us = (now - since) / 1_000;
        if let Some(left_out) = self.log_limit.allow(now) {
            tracing::warn!(
                event = "unexpected data on an idle machine connection",
                late_us,
                bytes = bytes.len(),
                left_out
            );
        }
    }

    fn await_more(&mut self, id: Id) -> Next {
        let Some(conn) = self.pool.conns.get(&id) else { return Next::Stop };
        // There are bytes behind an answer: the connection can't be used any further, and the answer is valid.
        if matches!(conn.state, ConnState::Idle(_)) && !conn.reader.is_reusable() {
            self.drop_machine_conn(id);
        } else {
            self.reserve_large_answer(id);
        }
        Next::Stop
    }

    fn answer_received(&mut self, id: Id, row: Vec<u8>, events: &mut PickEvents) -> Next {
        let now = self.net.now();
        let Some(conn) = self.pool.conns.get_mut(&id) else { return Next::Stop };
        let may_be_copy = conn.recent_answers.record(&row, now);
        let had_doubt = conn.doubtful_answer.is_some();
        match (may_be_copy, had_doubt) {
            (false, false) => {
                self.end_answered_pick(id, Outcome::Ok, Some(row), events);
                Next::Continue
            }
            (true, false) => self.doubt_answer(id, row, events),
            // The first one was a copy, and the answer to the empty query is still to come.
            (false, true) => {
                self.pool.late_copies += 1;
                self.end_answered_pick(id, Outcome::Ok, Some(row), events);
                self.drop_machine_conn(id);
                Next::Stop
            }
            (true, true) => {
                self.end_answered_pick(id, Outcome::Broken, None, events);
                self.drop_machine_conn(id);
                Next::Stop
            }
        }
    }

    /// Holds an answer back that may be a copy, along with its room in memory, and sends an empty query behind it.
    fn doubt_answer(&mut self, id: Id, row: Vec<u8>, events: &mut PickEvents) -> Next {
        self.pool.doubtful_answers += 1;
        let mut query = Vec::new();
        pg::put_query(&mut query, "");
        if !self.net.send(id, &query) {
            self.end_answered_pick(id, Outcome::Broken, None, events);
            self.drop_machine_conn(id);
            return Next::Stop;
        }
        if let Some(conn) = self.pool.conns.get_mut(&id) {
            conn.doubtful_answer = Some(row);
            conn.reader.empty_query_sent();
        }
        Next::Continue
    }

    /// No other answer came before that of the empty query, so the one that was held back is no copy.
    fn empty_query_answered(&mut self, id: Id, events: &mut PickEvents) -> Next {
        let row = self.pool.conns.get_mut(&id).and_then(|conn| conn.doubtful_answer.take());
        self.end_answered_pick(id, Outcome::Ok, row, events);
        Next::Continue
    }

    /// Ends the pick whose query a machine has answered; the connection waits until the machine is ready.
    fn end_answered_pick(&mut self, id: Id, how: Outcome, row: Option<Vec<u8>>, events: &mut PickEvents) {
        let now = self.net.now();
        let Some(conn) = self.pool.conns.get_mut(&id) else { return };
        conn.state = ConnState::AwaitingReady;
        events.extend(conn.pick.take().map(|(rpc, n)| (rpc, n, PickEvent::Ended(how, row))));
        let reservation = std::mem::take(&mut conn.reservation);
        self.end_answer_reservation(id, reservation);
        self.net.limit_read(id, self.pool.allowance);
        self.set_deadline(id, now + READY_TIMEOUT);
    }

    fn error_received(&mut self, id: Id, code: &str, events: &mut PickEvents) -> Next {
        let Some(conn) = self.pool.conns.get(&id) else { return Next::Stop };
        let (opening, had_doubt) = (conn.state == ConnState::Opening, conn.doubtful_answer.is_some());
        let how = match code {
            pg::TOO_MANY_CONNECTIONS => Outcome::Full,
            _ if opening => Outcome::Unreachable,
            _ => Outcome::Error,
        };
        self.end_answered_pick(id, how, None, events);
        if opening || had_doubt {
            self.drop_machine_conn(id);
            return Next::Stop;
        }
        Next::Continue
    }

    fn machine_ready(&mut self, id: Id, events: &mut PickEvents) -> Next {
        let now = self.net.now();
        let Some(conn) = self.pool.conns.get(&id) else { return Next::Stop };
        if conn.doubtful_answer.is_some() {
            return Next::Continue;
        }
        if conn.state == ConnState::Opening {
            let entry = &self.pool.machines[conn.machine];
            let same_process = conn.incarnation == entry.incarnation && entry.gone.is_none();
            if let Some((rpc, n)) = conn.pick {
                let in_time = self.open[rpc].as_ref().is_some_and(|o| o.picks[n].deadline > now);
                if in_time && same_process && !self.ids.finished(rpc) {
                    events.push((rpc, n, PickEvent::ConnectionReady));
                    return Next::Stop;
                }
                // The RPC is finished, or another process has taken the machine's name: the pick is void.
                events.push((rpc, n, PickEvent::Ended(Outcome::Void, None)));
            }
        }
        if self.park_connection(id) {
            Next::Continue
        } else {
            Next::Stop
        }
    }

    fn malformed_response(&mut self, id: Id, error: &ProtocolError, events: &mut PickEvents) -> Next {
        let Some(conn) = self.pool.conns.get_mut(&id) else { return Next::Stop };
        let state = conn.state;
        // A statement that was sent may have run; one that was not can't have.
        let how = if state == ConnState::Opening { Outcome::Unreachable } else { Outcome::Broken };
        let pick = conn.pick.take();
        let (tag, len) = conn.reader.header().unwrap_or_default();
        self.pool.malformed += 1;
        if let Some(left_out) = self.log_limit.allow(self.net.now()) {
            tracing::warn!(event = "malformed answer from a machine", why = error.0, tag = %char::from(tag), long = len, step = ?state, asked = pick.is_some(), left_out);
        }
        events.extend(pick.map(|(rpc, n)| (rpc, n, PickEvent::Ended(how, None))));
        self.drop_machine_conn(id);
        Next::Stop
    }
}
