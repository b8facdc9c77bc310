//! Room for commands that are longer than a client's allowance, from their header to the answer.
use super::Client;
use crate::effects::Effects;
use crate::memory::Reservation;
use rockpick::Ns;
use rockpick_net::{Id, SEC};
use rockpick_pg as pg;

/// A command that waits longer for room is refused. An answer may be late by as much as this.
const MAX_WAIT: Ns = SEC / 2;

/// Memory that clients' connections take beyond their allowances.
pub struct ClientsMemory {
    /// Bytes of large commands.
    pub large_commands: usize,
    /// Number of connections that wait for room.
    pub waiting: usize,
    /// Number of commands that were refused for want of room.
    pub refused: u64,
    /// Bytes of answers that are not sent yet.
    pub outgoing_answers: usize,
}

impl Client {
    /// Length of the next command, as far as its header tells it.
    fn next_command_len(&self) -> usize {
        match self.started {
            true => self.buffer.len() + pg::missing_bytes(&self.buffer, pg::MAX_QUERY_LEN),
            false => self.buffer.len(),
        }
    }

    fn set_reservation(&mut self, reservation: Reservation) {
        self.reservation = reservation;
        self.buffer.reserve_exact(reservation.held_bytes().saturating_sub(self.buffer.len()));
    }
}

impl Effects {
    pub fn clients_memory(&self) -> ClientsMemory {
        ClientsMemory {
            large_commands: self.clients.large_commands.used(),
            waiting: self.clients.large_commands.waiting(),
            refused: self.clients.refused_for_memory,
            outgoing_answers: self.clients.held_bytes + self.net.unsent_bytes().accepted,
        }
    }

    /// Reserves room for a client's incomplete command if that is longer than the allowance, or lets it wait.
    pub(super) fn reserve_large_command(&mut self, id: Id) {
        let now = self.net.now();
        let allowance = self.clients.budget.client_allowance;
        let Some(client) = self.clients.all.get_mut(&id) else { return };
        let bytes = client.next_command_len();
        if client.reservation != Reservation::None || bytes <= allowance {
            return;
        }
        let reservation = self.clients.large_commands.reserve(id, bytes, now);
        client.set_reservation(reservation);
        if reservation.is_waiting() {
            self.set_deadline(id, now + MAX_WAIT);
        }
    }

    /// Gives up the room that a client's connection holds, or waits for.
    pub(super) fn release_reservation(&mut self, id: Id) {
        let Some(client) = self.clients.all.get_mut(&id) else { return };
        let reservation = std::mem::take(&mut client.reservation);
        self.end_reservation(id, reservation);
    }

    /// The same for a connection that is removed already.
    pub(super) fn end_reservation(&mut self, id: Id, reservation: Reservation) {
        if reservation != Reservation::None {
            self.clients.large_commands.end(id, reservation);
            self.admit_waiting_clients();
        }
    }

    /// Returns the memory of a command that was answered.
    pub fn release_large_command(&mut self, bytes: usize) {
        if bytes > 0 {
            self.clients.large_commands.release(bytes);
            self.admit_waiting_clients();
        }
    }

    fn admit_waiting_clients(&mut self) {
        let all = &self.clients.all;
        let reservation_of = |id| all.get(&id).map(|client| client.reservation);
        let Some((id, reservation)) = self.clients.large_commands.admit_next(reservation_of) else { return };
        if let Some(client) = self.clients.all.get_mut(&id) {
            client.set_reservation(reservation);
        }
        self.set_reading(id, true);
        self.set_idle_deadline(id);
        self.admit_waiting_clients();
    }
}
