//! Answers to clients: they are sent in the order of the commands, and held back as long as there is room.
use super::{Reply, IDLE_TIMEOUT};
use crate::effects::Effects;
use rockpick::Ns;
use rockpick_net::{Id, SEC};
use rockpick_pg as pg;

/// How long RPCs of a client are pushed back after an answer to it was discarded for want of room.
const DISCARD_PENALTY: Ns = SEC;

impl Effects {
    /// Sends an RPC's final answer and the held-back replies behind it, or holds it back for the replies before it.
    /// Returns false if there is no room to hold it back, in which case the client gets an abort instead.
    pub fn send_answer(&mut self, id: Id, rpc: usize, bytes: Vec<u8>) -> bool {
        let now = self.net.now();
        let Some(client) = self.clients.all.get(&id) else { return true };
        let is_reply = |reply: &Reply| matches!(reply, Reply::Open(open, _) if *open == rpc);
        let Some(at) = client.replies.iter().position(is_reply) else { return true };
        let room = self.has_room_for_answer(id, bytes.len(), at == 0);
        let Some(client) = self.clients.all.get_mut(&id) else { return true };
        if !room {
            client.answer_discarded = Some(now);
        }
        let reply = if room { bytes } else { abort_reply() };
        self.clients.held_bytes += reply.len();
        client.replies[at] = Reply::Held(reply);
        client.since = now;
        if !self.send_held_replies(id) {
            self.forget_client(id);
            return room;
        }
        let Some(client) = self.clients.all.get(&id) else { return room };
        let (idle, waiting) = (client.replies.is_empty(), client.reservation.is_waiting());
        let (closing, more) = (client.closing, !client.buffer.is_empty());
        if idle && closing {
            self.close_client(id);
        } else if idle {
            self.clients.evictable.insert((true, now, id));
            if !waiting {
                self.set_deadline(id, now + IDLE_TIMEOUT);
            }
        }
        if more {
            self.read_next_turn(id);
        }
        room
    }

    /// Whether an answer may be stored for a client, if it is not sent at once. `first`: no reply before it is held back.
    fn has_room_for_answer(&mut self, id: Id, bytes: usize, first: bool) -> bool {
        let backlog = self.net.backlog(id).unwrap_or(0);
        let Some(client) = self.clients.all.get(&id) else { return true };
        // The first reply takes along those that it held back.
        let stored = if first && backlog == 0 { 0 } else { backlog + client.held_bytes() };
        let stored_by_all = self.net.unsent_bytes().accepted + self.clients.held_bytes;
        self.clients.budget.outgoing_answers.allow(stored + bytes, stored_by_all + bytes)
    }

    /// Whether an answer to this client was discarded a short time ago, and there is little room still. Its next RPCs would
    /// use the machines for nothing, so they are better pushed back.
    pub fn lacks_room_for_answers(&self, id: Id) -> bool {
        let discarded = self.clients.all.get(&id).and_then(|client| client.answer_discarded);
        let stored_by_all = self.net.unsent_bytes().accepted + self.clients.held_bytes;
        discarded.is_some_and(|at| self.net.now() - at < DISCARD_PENALTY)
            && self.clients.budget.outgoing_answers.are_scarce(stored_by_all)
    }

    /// Sends the replies that wait for none before them. Returns false if the connection is closed.
    fn send_held_replies(&mut self, id: Id) -> bool {
        loop {
            let Some(client) = self.clients.all.get_mut(&id) else { return false };
            let Some(Reply::Held(_)) = client.replies.front() else { return true };
            let Some(Reply::Held(reply)) = client.replies.pop_front() else { return true };
            self.clients.held_bytes -= reply.len();
            if !self.net.send(id, &reply) {
                return false;
            }
        }
    }
}

/// The answer in place of one that there is no room for.
fn abort_reply() -> Vec<u8> {
    let mut out = Vec::new();
    pg::put_error(&mut out, false, pg::INTERNAL_ERROR, "aborted", None);
    out
}
