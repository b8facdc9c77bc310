//! Division of the memory limit of the process among all that clients, machines and discovery can make a node hold.
//!
//! Each part has a fixed share of the limit, so that a flood of one kind leaves the others their room. Buffers count by
//! their capacity. What is not divided is left for the program itself and for the allocator's overhead.
use rockpick::{Ns, MAX_BOUND_KEYS};
use rockpick_net::Id;
use rockpick_pg::{MAX_QUERY_LEN, MAX_RESPONSE_LEN};
use rockpick_platform::roster::MAX_RECORDS;
use std::collections::VecDeque;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Memory limit of a node whose configuration names none.
pub const DEFAULT_LIMIT: usize = 192 * MIB;
/// A smaller limit is treated as this one: shares of less hold too few commands.
const MIN_LIMIT: usize = 16 * MIB;

/// Shares of the limit, in parts of [`PARTS`].
const PARTS: usize = 32;
const CLIENTS_SHARE: usize = 8;
const LARGE_COMMANDS_SHARE: usize = 4;
const INCOMING_ANSWERS_SHARE: usize = 4;
const OUTGOING_ANSWERS_SHARE: usize = 3;
const UNSENT_QUERIES_SHARE: usize = 1;
const MACHINES_SHARE: usize = 3;
const UPDATE_SHARE: usize = 2;
const BOUND_KEYS_SHARE: usize = 2;
const TURN_SHARE: usize = 1;

/// A client's allowance covers this many times its amount: its unread bytes, the statements of its open RPCs (and of the
/// last one, which may exceed the limit), the records of these RPCs, and their answers.
const ALLOWANCE_USES: usize = 5;
const MAX_CLIENT_ALLOWANCE: usize = 16 * KIB;
/// A machine's connection may hold an incomplete message of the allowance, and as much that was just read. There are as many
/// connections to machines as to clients.
const MACHINE_ALLOWANCE_USES: usize = 2;
const MIN_CLIENT_ALLOWANCE: usize = 2 * KIB;
/// Memory of an open RPC beside its statement: its records here and in the decision module, and those of its picks.
const RPC_RECORD_BYTES: usize = 512;
const MAX_OPEN_RPCS: usize = 32;
/// Slow readers may fill this part of the memory for outgoing answers; the rest is for clients that take little of it.
const SLOW_READERS_PART: usize = 2;
/// A client takes little of that memory up to this part of it.
const FAIR_PART: usize = 16;
/// A stream that leaves 4 MiB unsent is closed.
const MAX_OUTGOING_PER_CLIENT: usize = 3 * MIB;
/// Memory of a machine: its records here and in the decision module, its name, and its part of a parsed list.
const MACHINE_BYTES: usize = 960;
/// Memory of a key's entry in an ordered map.
const BOUND_KEY_BYTES: usize = 28;
/// Longest line of a watch: an update with ten thousand machines.
const MAX_UPDATE_LEN: usize = 2 * MIB;
/// How many times an update is held while it is read: as received, and as lines of an incomplete one.
const UPDATE_COPIES: usize = 2;

/// The most that a node holds of each kind, in bytes where nothing else is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Number of client connections.
    pub clients: usize,
    /// Unread bytes of one client, unless its next command is a large one; also the statements of its open RPCs, except
    /// for the last, and its answers that are not sent yet.
    pub client_allowance: usize,
    /// Number of open RPCs of one client.
    pub open_rpcs_per_client: usize,
    /// Commands of all clients that are longer than the allowance, from their header to the answer.
    pub large_commands: usize,
    /// Unread bytes of one machine's connection, unless its next message is a large one.
    pub machine_allowance: usize,
    /// Incomplete answers of all machines that are longer than the allowance.
    pub large_answers: usize,
    /// Answers to all clients that wait for an earlier one or for a slow reader.
    pub outgoing_answers: OutgoingAnswers,
    /// Queries that machines have not read yet.
    pub unsent_queries: usize,
    /// What all sockets hand over in one turn of the event loop.
    pub read_per_turn: usize,
    /// Number of machines on the roster.
    pub machines: usize,
    /// Length of one update of the roster.
    pub update_len: usize,
    /// Number of one-way keys that the decision module remembers.
    pub bound_keys: usize,
}

impl MemoryBudget {
    /// Divides a limit in bytes for a node that has descriptors for `max_clients` connections of clients.
    pub fn new(limit: usize, max_clients: usize) -> MemoryBudget {
        let limit = limit.max(MIN_LIMIT);
        let share = |parts: usize| limit / PARTS * parts;
        let allowances = share(CLIENTS_SHARE) / ALLOWANCE_USES;
        let clients = max_clients.clamp(1, allowances / MIN_CLIENT_ALLOWANCE);
        let client_allowance = (allowances / clients).min(MAX_CLIENT_ALLOWANCE);
        let machine_allowances =
            (clients * MACHINE_ALLOWANCE_USES * MAX_CLIENT_ALLOWANCE).min(share(INCOMING_ANSWERS_SHARE) / 2);
        let machines = (share(MACHINES_SHARE) / MACHINE_BYTES).min(MAX_RECORDS);
        MemoryBudget {
            clients,
            client_allowance,
            open_rpcs_per_client: (client_allowance / RPC_RECORD_BYTES).min(MAX_OPEN_RPCS),
            large_commands: share(LARGE_COMMANDS_SHARE),
            machine_allowance: machine_allowances / clients / MACHINE_ALLOWANCE_USES,
            large_answers: share(INCOMING_ANSWERS_SHARE) - machine_allowances,
            outgoing_answers: OutgoingAnswers::new(share(OUTGOING_ANSWERS_SHARE), client_allowance),
            unsent_queries: share(UNSENT_QUERIES_SHARE),
            read_per_turn: share(TURN_SHARE),
            machines,
            update_len: (share(UPDATE_SHARE) / UPDATE_COPIES).min(MAX_UPDATE_LEN),
            bound_keys: (share(BOUND_KEYS_SHARE) / BOUND_KEY_BYTES).min(MAX_BOUND_KEYS),
        }
    }
}

/// The most that answers take which wait to be sent, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingAnswers {
    /// Of a client, whatever others take.
    allowance: usize,
    /// Of a client while there is room for all.
    fair: usize,
    /// Of a client while slow readers have not filled their part.
    per_client: usize,
    slow_readers: usize,
    all: usize,
}

impl OutgoingAnswers {
    fn new(all: usize, allowance: usize) -> OutgoingAnswers {
        let slow_readers = all / SLOW_READERS_PART;
        let largest_answer = MAX_RESPONSE_LEN + KIB;
        OutgoingAnswers {
            allowance,
            fair: (all / FAIR_PART).max(largest_answer),
            per_client: slow_readers.clamp(largest_answer, MAX_OUTGOING_PER_CLIENT),
            slow_readers,
            all,
        }
    }

    /// Whether answers of this size in all have filled the part of slow readers.
    pub fn are_scarce(&self, of_all: usize) -> bool {
        of_all > self.slow_readers
    }

    /// Whether a client's answers may take this much, if those of all clients take `of_all`.
    pub fn allow(&self, of_client: usize, of_all: usize) -> bool {
        of_client <= self.allowance
            || of_client <= self.fair && of_all <= self.all
            || of_client <= self.per_client && of_all <= self.slow_readers
    }
}

/// Memory that connections share for data which exceeds their own allowance. Room for a message is reserved as a whole
/// before more than its beginning is read: what was let in can always be completed. Without room the message stays unread
/// in the kernel, and its connection waits in turn.
pub struct SharedMemory {
    max: usize,
    used: usize,
    /// Connections that wait for room, in order.
    waiting: VecDeque<Id>,
}

impl SharedMemory {
    pub fn new(max: usize) -> SharedMemory {
        SharedMemory { max, used: 0, waiting: VecDeque::new() }
    }

    pub fn used(&self) -> usize {
        self.used
    }

    /// Number of connections that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn take(&mut self, bytes: usize) -> bool {
        let room = bytes <= self.max - self.used;
        if room {
            self.used += bytes;
        }
        room
    }

    /// Reserves room for a connection, or lets it wait.
    pub fn reserve(&mut self, id: Id, bytes: usize, now: Ns) -> Reservation {
        if self.waiting.is_empty() && self.take(bytes) {
            return Reservation::Held { bytes, since: None };
        }
        self.waiting.push_back(id);
        Reservation::Waiting { bytes, since: now }
    }

    pub fn release(&mut self, bytes: usize) {
        self.used -= bytes;
    }

    /// Gives up what a connection holds, or waits for.
    pub fn end(&mut self, id: Id, reservation: Reservation) {
        match reservation {
            Reservation::None => {}
            Reservation::Waiting { .. } => self.waiting.retain(|waiting| *waiting != id),
            Reservation::Held { bytes, .. } => self.release(bytes),
        }
    }

    /// Admits the connection that has waited longest, if there is room for it. `reservation_of` tells what it waits for.
    pub fn admit_next(
        &mut self, reservation_of: impl FnOnce(Id) -> Option<Reservation>,
    ) -> Option<(Id, Reservation)> {
        let id = *self.waiting.front()?;
        let Some(Reservation::Waiting { bytes, since }) = reservation_of(id) else {
            self.waiting.pop_front();
            return None;
        };
        if !self.take(bytes) {
            return None;
        }
        self.waiting.pop_front();
        Some((id, Reservation::Held { bytes, since: Some(since) }))
    }
}

/// A connection's part of [`SharedMemory`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reservation {
    /// Its next message needs none.
    #[default]
    None,
    /// Waits for `bytes` since a point in time.
    Waiting { bytes: usize, since: Ns },
    /// Holds `bytes`. `since` is when it began to wait for them, if it had to.
    Held { bytes: usize, since: Option<Ns> },
}

impl Reservation {
    pub fn is_waiting(self) -> bool {
        matches!(self, Reservation::Waiting { .. })
    }

    pub fn held_bytes(self) -> usize {
        match self {
            Reservation::Held { bytes, .. } => bytes,
            Reservation::None | Reservation::Waiting { .. } => 0,
        }
    }
}

const _: () = assert!(MIN_LIMIT / PARTS * LARGE_COMMANDS_SHARE > MAX_QUERY_LEN);
const _: () = assert!(MIN_LIMIT / PARTS * INCOMING_ANSWERS_SHARE / 2 > MAX_RESPONSE_LEN);

#[cfg(test)]
mod tests {
    use super::*;

    /// The most that a node holds at its limits, in bytes.
    fn total(budget: &MemoryBudget) -> usize {
        budget.clients * budget.client_allowance * ALLOWANCE_USES
            + budget.large_commands
            + budget.clients * budget.machine_allowance * MACHINE_ALLOWANCE_USES
            + budget.large_answers
            + budget.outgoing_answers.all
            + budget.unsent_queries
            + budget.read_per_turn
            + budget.machines * MACHINE_BYTES
            + budget.update_len * UPDATE_COPIES
            + budget.bound_keys * BOUND_KEY_BYTES
    }

    /// Guards against bounds that together exceed the limit: an eighth of it is left for the program itself.
    #[test]
    fn all_bounds_together_leave_an_eighth_of_the_memory_limit() {
        for megabytes in [16, 32, 48, 64, 192, 2_048] {
            for max_clients in [10, 106, 170, 490, 2_026] {
                let limit = megabytes * MIB;
                let budget = MemoryBudget::new(limit, max_clients);
                assert!(total(&budget) <= limit / 8 * 7, "{megabytes} MB, {max_clients}: {budget:?}");
            }
        }
    }

    #[test]
    fn usual_limits_restrict_neither_connections_nor_small_commands() {
        for (megabytes, max_clients) in [(32, 106), (48, 170), (64, 170), (192, 490)] {
            let budget = MemoryBudget::new(megabytes * MIB, max_clients);
            assert_eq!(budget.clients, max_clients);
            assert!(budget.client_allowance > 14 * KIB && budget.open_rpcs_per_client >= 28, "{budget:?}");
        }
    }

    /// Fleets have up to 3,200 machines, and an indented list takes some 250 bytes for each.
    #[test]
    fn the_largest_fleet_fits_at_the_smallest_usual_limit() {
        let budget = MemoryBudget::new(32 * MIB, 106);
        assert!(budget.machines >= 3_200 && budget.update_len >= 3_200 * 300, "{budget:?}");
    }

    #[test]
    fn slow_readers_leave_room_for_clients_that_read() {
        let answers = OutgoingAnswers::new(8 * MIB, MAX_CLIENT_ALLOWANCE);
        assert!(answers.allow(3 * MIB, 4 * MIB) && !answers.allow(3 * MIB, 5 * MIB));
        assert!(answers.allow(64 * KIB, 8 * MIB) && !answers.allow(64 * KIB, 9 * MIB));
        assert!(answers.allow(KIB, 9 * MIB));
    }
}
