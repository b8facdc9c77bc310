//! Client connections in a shutdown: idle ones are closed, and from some time on busy ones are read no further.
use super::Client;
use crate::effects::Effects;
use rockpick_net::Id;
use rockpick_pg as pg;

impl Effects {
    /// In a shutdown, reads no further commands. Those that were read, in whole or in part, are still answered; for what is left
    /// unread, the close of the connection tells the client that it was not taken.
    pub fn stop_reading_clients(&mut self) {
        if std::mem::replace(&mut self.clients.reading_stopped, true) {
            return;
        }
        let ids: Vec<Id> = self.clients.all.iter().filter(|(_, c)| !c.closing).map(|(id, _)| *id).collect();
        tracing::info!(event = "reading stopped", clients = ids.len());
        ids.into_iter().for_each(|id| self.set_reading(id, true));
    }

    /// In a shutdown, rejects the commands that are still incomplete as the last answers are due.
    pub fn reject_incomplete_commands(&mut self) {
        let incomplete = |c: &Client| {
            !c.closing && c.replies.is_empty() && !c.buffer.is_empty() && !c.has_complete_command()
        };
        let ids: Vec<Id> =
            self.clients.all.iter().filter(|(_, c)| incomplete(c)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.close_with_error(id, pg::CANNOT_CONNECT_NOW, "shutting down"));
    }

    /// In a shutdown, closes each idle connection, unless it has unread bytes. Those that have sent no command are closed
    /// as well if `unused` is set; otherwise their first RPC may be on its way.
    pub fn close_idle_clients(&mut self, unused: bool) {
        let net = &mut self.net;
        let idle_id = |(id, c): (&Id, &Client)| {
            let idle = c.replies.is_empty() && c.buffer.is_empty();
            (idle && (c.sent_command || unused) && !net.has_unread(*id)).then_some(*id)
        };
        let idle: Vec<Id> = self.clients.all.iter().filter_map(idle_id).collect();
        self.clients.closed.in_stop += idle.len() as u64;
        idle.into_iter().for_each(|id| self.close_idle(id));
    }
}
