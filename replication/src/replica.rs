//! The state machine: periodic exchange with other replicas, and the initial transfer.
use crate::message::{encoded_len, Message, Rows, MAX_ROWS_LEN, MAX_VERSIONS};
use crate::store::{range_of, Dot, MergeOutcome, Store, RANGES};
use crate::tables::{Key, Phase, Row, Table, TABLES};
use crate::{Ns, MS, SEC};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between rounds with a random peer.
const ROUND_INTERVAL: Ns = SEC / 2;
/// Most messages of rows sent in response to one message.
const MAX_REPLY_MESSAGES: usize = 32;
/// Rounds with one peer that brought nothing though the tables differ, after which digests of ranges are compared.
const MAX_FRUITLESS_ROUNDS: u32 = 2;
/// A request is repeated after four times the recent response time, within these limits and doubled with each attempt; after
/// so many attempts another peer is asked. With a fixed 200 ms, 10,000 bindings took 23 s at 10% loss.
const RESPONSE_TIMEOUT: (Ns, Ns) = (10 * MS, 200 * MS);
const MAX_ATTEMPTS: u32 = 3;
/// Pause between a chunk and the next request, as RPCs have priority.
const CHUNK_PAUSE: Ns = 2 * MS;
/// Chunks served per second to all peers together: at 1,200 bytes 2.4 MB, a small part of a core.
const CHUNKS_PER_SECOND: f64 = 2_000.0;
/// Waits after all peers were busy, doubled from the first to the last; each is randomised between half and all of it.
const BUSY_BACKOFF: (Ns, Ns) = (50 * MS, 2 * SEC);
/// Most retired origins to remember; their rows are not accepted again.
const MAX_RETIRED: usize = 20_000;
/// Obsolete rows are removed every so many rounds, if the floor or the retired origins have changed.
const SWEEP_ROUNDS: u32 = 20;
/// Most rows examined for one message of digests: about a millisecond.
const MAX_ROWS_SCANNED: usize = 10_000;

/// A peer as the host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    pub id: u64,
    /// In this front's own zone.
    pub same_zone: bool,
}

pub enum Event<'a> {
    Start,
    Message {
        from: u64,
        bytes: &'a [u8],
    },
    Timer,
    /// The peers that are present now.
    Peers(&'a [Peer]),
}

/// What a replica reports to its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Another front's row changed the local one.
    Updated(Key, Row),
    /// All that any front knew of this table has been copied.
    Complete(Table),
    /// The same version with different content: a disk, a replica or a program is faulty.
    Conflict(Key),
}

pub trait Actions {
    fn send(&mut self, to: u64, bytes: &[u8]);
    fn wake_at(&mut self, at: Ns);
    fn notify(&mut self, notice: Notice);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub updated: u64,
    pub rejected: u64,
    pub conflicts: u64,
    pub chunks_served: u64,
    pub busy_replies: u64,
    pub invalid_messages: u64,
}

#[derive(Default)]
struct PeerState {
    same_zone: bool,
    fruitless_rounds: u32,
    /// Where the scan for the next message of digests continues.
    scan_from: Option<Key>,
}

enum Step {
    Versions(u64),
    Rows(Key),
}

/// The initial transfer: from whom, and how far it has come.
struct Transfer {
    source: u64,
    step: Step,
    request_id: u32,
    requested_at: Ns,
    attempts: u32,
    /// When the next chunk is requested.
    paused_until: Option<Ns>,
    /// Smoothed response time.
    response_time: Ns,
    /// No peer is complete: the tables of all of them are copied, one after another.
    any: bool,
    /// The versions of the sources when each began.
    versions: Option<BTreeMap<u64, u64>>,
    incoming_versions: BTreeMap<u64, u64>,
}

impl Transfer {
    fn next_attempt_at(&self) -> Ns {
        if let Some(at) = self.paused_until {
            return at;
        }
        self.requested_at
            + ((4 * self.response_time).clamp(RESPONSE_TIMEOUT.0, RESPONSE_TIMEOUT.1) << self.attempts)
    }
}

pub struct Replica {
    store: Store,
    rng: StdRng,
    /// Number of fronts in the settings.
    expected_fronts: u32,
    peers: BTreeMap<u64, PeerState>,
    complete: BTreeSet<Table>,
    transfer: Option<Transfer>,
    /// Incomplete peers whose tables have been copied.
    copied_from: BTreeSet<u64>,
    /// Peers that were busy or did not respond since the last wait.
    skipped: BTreeSet<u64>,
    incomplete: BTreeSet<u64>,
    backoff: Ns,
    next_transfer: Ns,
    next_round: Ns,
    rounds: u32,
    request_id: u32,
    budget: (f64, Ns),
    /// The pending timer.
    timer_at: Ns,
    retired: BTreeSet<u64>,
    /// The current floor, and the floor and number of retired origins at the last sweep.
    floor: u32,
    last_sweep: (u32, usize),
    pub counters: Counters,
}

impl Replica {
    /// `origin` is drawn at each start, so that counts of an earlier instance belong to another origin.
    pub fn new(origin: u64, seed: u64, expected_fronts: u32) -> Replica {
        Replica {
            store: Store::new(origin),
            rng: StdRng::seed_from_u64(seed),
            expected_fronts,
            peers: BTreeMap::new(),
            complete: BTreeSet::new(),
            transfer: None,
            copied_from: BTreeSet::new(),
            skipped: BTreeSet::new(),
            incomplete: BTreeSet::new(),
            backoff: BUSY_BACKOFF.0,
            next_transfer: 0,
            next_round: 0,
            rounds: 0,
            request_id: 0,
            budget: (CHUNKS_PER_SECOND / 10.0, 0),
            timer_at: Ns::MAX,
            retired: BTreeSet::new(),
            floor: 0,
            last_sweep: (0, 0),
            counters: Counters::default(),
        }
    }

    /// Sets the number of fronts in the settings; until then there may be others.
    pub fn set_expected_fronts(&mut self, fronts: u32) {
        self.expected_fronts = fronts;
    }

    pub fn store(&self) -> &Store {
        &self.store
    }

    #[doc(hidden)]
    pub fn store_mut(&mut self) -> &mut Store {
        &mut self.store
    }

    /// Adds a row from this front's own disk, of an earlier instance. It is merged like any row and completes no table.
    pub fn restore(&mut self, key: Key, row: Row, dot: Dot) {
        if !self.is_obsolete(&key, &row) {
            self.store.merge(key, row, dot);
            self.update_floor(&key);
        }
    }

    pub fn is_complete(&self, table: Table) -> bool {
        self.complete.contains(&table)
    }

    /// Applies a local change; returns whether it changed anything.
    pub fn update(&mut self, key: Key, row: Row) -> bool {
        let changed = !self.is_obsolete(&key, &row) && self.store.update(key, row);
        if changed {
            self.update_floor(&key);
        }
        changed
    }

    /// The build that a key is bound to: the newest one that has answered it and is not withdrawn. `None` is conclusive only
    /// once the table is complete.
    pub fn bound_build(&self, key: u64) -> Option<u32> {
        let Some(Row::Bound(builds)) = self.store.get(&Key::Bound(key)) else { return None };
        builds.iter().copied().find(|b| *b > 0 && !self.is_withdrawn(*b))
    }

    pub fn is_withdrawn(&self, build: u32) -> bool {
        matches!(self.store.get(&Key::Build(build)), Some(Row::Build(b)) if b.withdrawn)
    }

    /// The second newest build that is released and not withdrawn. Older builds serve nothing any more, even if the newest is
    /// sent back.
    fn compute_floor(&self) -> u32 {
        let released = self.store.table(Table::Builds).filter_map(|(key, row)| match (key, row) {
            (Key::Build(build), Row::Build(b)) if !b.withdrawn && b.phase == Phase::Released => Some(*build),
            _ => None,
        });
        let mut newest: Vec<u32> = released.collect();
        newest.sort_unstable();
        newest.len().checked_sub(2).map_or(0, |at| newest[at])
    }

    /// Updates the floor after a row has changed.
    fn update_floor(&mut self, key: &Key) {
        if key.table() == Table::Builds {
            self.floor = self.compute_floor();
        }
    }

    /// Rows that need not be kept, and are not accepted from peers that still have them. All fronts come to the same result, as
    /// the table of builds converges.
    fn is_obsolete(&self, key: &Key, row: &Row) -> bool {
        match (key, row) {
            (Key::Bound(_), Row::Bound([newest, _])) => *newest < self.floor,
            (Key::Seen { build, origin, .. }, _) => *build < self.floor || self.retired.contains(origin),
            (Key::Spent { origin, .. }, _) => self.retired.contains(origin),
            _ => false,
        }
    }

    /// Drops the counts of an origin that has ended for good and accepts none of them again. The host must make sure that no
    /// member in a partition still holds them.
    pub fn retire_origin(&mut self, origin: u64) {
        while self.retired.len() >= MAX_RETIRED {
            self.retired.pop_first();
        }
        self.retired.insert(origin);
        self.sweep();
    }

    fn sweep(&mut self) {
        let against = (self.floor, self.retired.len());
        if std::mem::replace(&mut self.last_sweep, against) == against {
            return;
        }
        let old: Vec<Key> = [Table::Bindings, Table::Evidence, Table::Spent]
            .into_iter()
            .flat_map(|table| self.store.table(table))
            .filter(|(key, row)| self.is_obsolete(key, row))
            .map(|(key, _)| *key)
            .collect();
        old.iter().for_each(|key| self.store.remove(key));
    }

    /// Sums over all origins.
    pub fn evidence(&self, build: u32, method: u16) -> (u64, u64) {
        let rows = self.store.table(Table::Evidence).filter_map(|(key, row)| match (key, row) {
            (Key::Seen { build: b, method: m, .. }, Row::Count(c)) if (*b, *m) == (build, method) => Some(*c),
            _ => None,
        });
        rows.fold((0, 0), |sum, c| (sum.0.saturating_add(c.all), sum.1.saturating_add(c.bad)))
    }

    pub fn handle(&mut self, now: Ns, event: Event, actions: &mut impl Actions) {
        match event {
            Event::Start => {
                self.next_round = now + self.jittered(ROUND_INTERVAL);
            }
            Event::Peers(present) => self.set_peers(present),
            Event::Message { from, bytes } => match Message::decode(bytes) {
                Some(message) => self.handle_message(now, from, message, actions),
                None => self.counters.invalid_messages += 1,
            },
            Event::Timer => {}
        }
        self.run_timers(now, actions);
    }

    fn jittered(&mut self, most: Ns) -> Ns {
        most / 2 + self.rng.random_range(0..=most / 2)
    }

    fn set_peers(&mut self, present: &[Peer]) {
        let ids: BTreeSet<u64> = present.iter().map(|n| n.id).collect();
        self.peers.retain(|id, _| ids.contains(id));
        for peer in present {
            self.peers.entry(peer.id).or_default().same_zone = peer.same_zone;
        }
        self.skipped.retain(|id| ids.contains(id));
        self.incomplete.retain(|id| ids.contains(id));
        if self.transfer.as_ref().is_some_and(|p| !ids.contains(&p.source)) {
            self.drop_source();
        }
    }

    fn mark_all_complete(&mut self, actions: &mut impl Actions) {
        for table in TABLES {
            if self.complete.insert(table) {
                actions.notify(Notice::Complete(table));
            }
        }
    }

    // Rows from peers.

    fn merge_rows(&mut self, rows: Rows, from: u64, actions: &mut impl Actions) {
        for (key, row, dot) in rows {
            if self.is_obsolete(&key, &row) {
                self.counters.rejected += 1;
                continue;
            }
            let outcome = self.store.merge(key, row, dot);
            self.update_floor(&key);
            match outcome {
                MergeOutcome::Changed => {
                    self.counters.updated += 1;
                    if let Some(peer) = self.peers.get_mut(&from) {
                        peer.fruitless_rounds = 0;
                    }
                    let row = self.store.get(&key).copied().unwrap_or(row);
                    actions.notify(Notice::Updated(key, row));
                }
                MergeOutcome::Conflict => {
                    self.counters.conflicts += 1;
                    actions.notify(Notice::Conflict(key));
                    let row = self.store.get(&key).copied().unwrap_or(row);
                    actions.notify(Notice::Updated(key, row));
                }
                MergeOutcome::Rejected => self.counters.rejected += 1,
                MergeOutcome::Same | MergeOutcome::Stale => {}
            }
        }
    }

    /// Sends messages full of rows; returns the first key that no longer fitted, if any.
    fn send_rows(
        to: u64, rows: impl Iterator<Item = (Key, Row, Dot)>, wrap: impl Fn(Rows) -> Message,
        actions: &mut impl Actions,
    ) -> Option<Key> {
        let (mut messages, mut part, mut space) = (0, Rows::new(), MAX_ROWS_LEN);
        for row in rows {
            let len = encoded_len(&row);
            if len > space {
                if messages + 1 >= MAX_REPLY_MESSAGES {
                    actions.send(to, &wrap(part).encode());
                    return Some(row.0);
                }
                messages += 1;
                actions.send(to, &wrap(std::mem::take(&mut part)).encode());
                space = MAX_ROWS_LEN;
            }
            space -= len;
            part.push(row);
        }
        if !part.is_empty() {
            actions.send(to, &wrap(part).encode());
        }
        None
    }

    fn table_digests(&self) -> [u64; 5] {
        TABLES.map(|table| self.store.table_digest(table))
    }

    /// Sends the local versions, in parts.
    fn send_versions(&mut self, to: u64, wants_reply: bool, actions: &mut impl Actions) {
        let all: Vec<(u64, u64)> = self.store.versions.iter().map(|(o, s)| (*o, *s)).collect();
        let mut from = 0;
        let parts: Vec<&[(u64, u64)]> =
            if all.is_empty() { vec![&[][..]] } else { all.chunks(MAX_VERSIONS).collect() };
        for (i, part) in parts.iter().enumerate() {
            let until = parts.get(i + 1).and_then(|next| next.first()).map_or(u64::MAX, |next| next.0);
            actions.send(
                to,
                &Message::VersionVector { part: (from, until), versions: part.to_vec(), wants_reply }
                    .encode(),
            );
            from = until;
        }
    }

    fn handle_message(&mut self, now: Ns, from: u64, message: Message, actions: &mut impl Actions) {
        match message {
            Message::Hello { digests } => {
                let ours = self.table_digests();
                // Rows that are about to arrive in chunks need not be sent as deltas too.
                if digests == ours || !self.peers.contains_key(&from) || self.is_transferring() {
                    return;
                }
                let fruitless_rounds = match self.peers.get_mut(&from) {
                    Some(peer) => {
                        peer.fruitless_rounds += 1;
                        peer.fruitless_rounds
                    }
                    None => 0,
                };
                self.send_versions(from, true, actions);
                if fruitless_rounds > MAX_FRUITLESS_ROUNDS {
                    let differ = TABLES.iter().zip(digests.iter().zip(&ours)).filter(|(_, (a, b))| a != b);
                    for (table, _) in differ {
                        self.send_range_digests(from, *table, true, actions);
                    }
                }
            }
            Message::VersionVector { part, versions, wants_reply } => {
                let theirs: BTreeMap<u64, u64> = versions.into_iter().collect();
                let ours: Vec<(u64, u64)> =
                    self.store.versions.range(part.0..).map(|(o, s)| (*o, *s)).collect();
                let ours: Vec<(u64, u64)> =
                    ours.into_iter().filter(|(o, _)| *o < part.1 || part.1 == u64::MAX).collect();
                let lacks = theirs.iter().any(|(o, s)| self.store.versions.get(o).copied().unwrap_or(0) < *s);
                let newer: Vec<(u64, u64)> =
                    ours.into_iter().filter(|(o, s)| theirs.get(o).copied().unwrap_or(0) < *s).collect();
                if !newer.is_empty() {
                    self.send_delta(from, &newer, &theirs, actions);
                }
                if wants_reply && lacks {
                    self.send_versions(from, false, actions);
                }
            }
            Message::Delta { rows, up_to } => {
                self.merge_rows(rows, from, actions);
                if let Some(versions) = up_to {
                    self.store.advance_versions(&versions.into_iter().collect());
                }
            }
            Message::RangeDigests { table, digests, wants_reply } => {
                if digests.len() != RANGES {
                    self.counters.invalid_messages += 1;
                    return;
                }
                let differ: Vec<bool> =
                    (0..RANGES).map(|r| self.store.digest(table, r) != digests[r]).collect();
                if wants_reply && differ.contains(&true) {
                    self.send_range_digests(from, table, false, actions);
                }
                // Scans a part of the table, from where the last message stopped: scanning a million rows at once would delay
                // RPCs.
                let Some(peer) = self.peers.get(&from) else { return };
                let first = peer.scan_from.filter(|key| key.table() == table).unwrap_or(Key::first_of(table));
                let mut scan = self.store.rows_from(first);
                let some = scan.by_ref().take(MAX_ROWS_SCANNED).filter(|(key, ..)| differ[range_of(key)]);
                let some = some.map(|(key, row, dot)| (*key, *row, *dot));
                let stopped = Replica::send_rows(from, some, |rows| Message::RangeRows { rows }, actions);
                let next = stopped.or_else(|| scan.next().map(|(key, ..)| *key));
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.scan_from = next;
                }
            }
            Message::RangeRows { rows } => self.merge_rows(rows, from, actions),
            Message::VersionsRequest { request_id, from: first, any } => {
                if !self.admit_request(
                    now,
                    from,
                    request_id,
                    any,
                    TABLES.iter().all(|t| self.complete.contains(t)),
                    actions,
                ) {
                    return;
                }
                let mut rest = self.store.versions.range(first..);
                let versions: Vec<(u64, u64)> =
                    rest.by_ref().take(MAX_VERSIONS).map(|(o, s)| (*o, *s)).collect();
                let next = rest.next().map(|(origin, _)| *origin);
                actions.send(from, &Message::Versions { request_id, versions, next }.encode());
            }
            Message::ChunkRequest { request_id, from: first, any } => {
                if !self.admit_request(
                    now,
                    from,
                    request_id,
                    any,
                    self.complete.contains(&first.table()),
                    actions,
                ) {
                    return;
                }
                let (mut rows, mut space, mut next) = (Rows::new(), MAX_ROWS_LEN, None);
                for row in self.store.rows_from(first).map(|(k, r, d)| (*k, *r, *d)) {
                    let len = encoded_len(&row);
                    if len > space {
                        next = Some(row.0);
                        break;
                    }
                    space -= len;
                    rows.push(row);
                }
                actions.send(from, &Message::Chunk { request_id, rows, next }.encode());
            }
            Message::Versions { request_id, versions, next } => {
                self.handle_versions(now, from, request_id, versions, next, actions)
            }
            Message::Chunk { request_id, rows, next } => {
                self.handle_chunk(now, from, request_id, rows, next, actions)
            }
            Message::Busy { request_id, complete } => {
                if self.transfer.as_ref().is_some_and(|p| p.source == from && p.request_id == request_id) {
                    if !complete {
                        self.incomplete.insert(from);
                    }
                    self.drop_source();
                }
            }
        }
    }

    fn send_delta(
        &mut self, to: u64, newer: &[(u64, u64)], theirs: &BTreeMap<u64, u64>, actions: &mut impl Actions,
    ) {
        for part in newer.chunks(MAX_VERSIONS) {
            // Only changes of these origins are sent; all others count as known.
            let mut seen = self.store.versions.clone();
            for (origin, _) in part {
                seen.insert(*origin, theirs.get(origin).copied().unwrap_or(0));
            }
            let rows = self.store.changes_after(&seen).map(|(k, r, d)| (*k, *r, *d));
            if Replica::send_rows(to, rows, |rows| Message::Delta { rows, up_to: None }, actions).is_none() {
                // The versions come last. If an earlier message of the delta is lost, digests find the missing rows.
                actions.send(to, &Message::Delta { rows: Vec::new(), up_to: Some(part.to_vec()) }.encode());
            }
        }
    }

    fn send_range_digests(&mut self, to: u64, table: Table, wants_reply: bool, actions: &mut impl Actions) {
        let digests = (0..RANGES).map(|r| self.store.digest(table, r)).collect();
        actions.send(to, &Message::RangeDigests { table, digests, wants_reply }.encode());
    }

    // Serving transfers.

    fn admit_request(
        &mut self, now: Ns, to: u64, request_id: u32, any: bool, complete: bool, actions: &mut impl Actions,
    ) -> bool {
        let (left, at) = self.budget;
        let left = (left + (now - at) as f64 / SEC as f64 * CHUNKS_PER_SECOND).min(CHUNKS_PER_SECOND / 10.0);
        let able = (complete || any) && left >= 1.0;
        self.budget = (if able { left - 1.0 } else { left }, now);
        if able {
            self.counters.chunks_served += 1;
        } else {
            self.counters.busy_replies += 1;
            actions.send(to, &Message::Busy { request_id, complete }.encode());
        }
        able
    }

    // Initial transfer.

    /// Whether a transfer from a source is running.
    fn is_transferring(&self) -> bool {
        self.transfer.as_ref().is_some_and(|p| p.source != 0)
    }

    fn is_caught_up(&self) -> bool {
        self.complete.len() == TABLES.len()
    }

    fn send_request(&mut self, now: Ns, actions: &mut impl Actions) {
        self.request_id = self.request_id.wrapping_add(1);
        let request_id = self.request_id;
        let Some(transfer) = self.transfer.as_mut() else { return };
        (transfer.request_id, transfer.requested_at, transfer.paused_until) = (request_id, now, None);
        let any = transfer.any;
        let message = match transfer.step {
            Step::Versions(from) => Message::VersionsRequest { request_id, from, any },
            Step::Rows(from) => Message::ChunkRequest { request_id, from, any },
        };
        let source = transfer.source;
        actions.send(source, &message.encode());
    }

    /// Chooses a random source, of the same zone if possible, that has not failed since the last wait.
    fn choose_source(&mut self) -> Option<u64> {
        let fit = |id: &u64| !self.skipped.contains(id) && !self.copied_from.contains(id);
        let near: Vec<u64> =
            self.peers.iter().filter(|(id, p)| p.same_zone && fit(id)).map(|(id, _)| *id).collect();
        let all: Vec<u64> = self.peers.keys().copied().filter(fit).collect();
        let from = if near.is_empty() { all } else { near };
        (!from.is_empty()).then(|| from[self.rng.random_range(0..from.len())])
    }

    /// Gives up the source; another one continues from the same position.
    fn drop_source(&mut self) {
        if let Some(transfer) = self.transfer.as_mut() {
            self.skipped.insert(transfer.source);
            (transfer.source, transfer.attempts, transfer.response_time) = (0, 0, RESPONSE_TIMEOUT.1);
        }
        // Of an incomplete source everything is needed, from its first row on.
        self.transfer.take_if(|transfer| transfer.any);
        self.next_transfer = 0;
    }

    fn catch_up(&mut self, now: Ns, actions: &mut impl Actions) {
        if self.expected_fronts == 1 && !self.is_caught_up() {
            return self.mark_all_complete(actions);
        }
        if self.is_caught_up() || self.peers.is_empty() || now < self.next_transfer {
            return;
        }
        if self.is_transferring() {
            return;
        }
        // None of the fronts is complete; together they have everything that is left.
        let others = self.expected_fronts > 0 && self.peers.len() as u32 + 1 >= self.expected_fronts;
        let none = others
            && self.peers.keys().all(|id| self.incomplete.contains(id) || self.copied_from.contains(id));
        if none && self.transfer.as_ref().is_none_or(|p| !p.any) {
            self.skipped.clear();
            self.transfer = None;
        }
        let Some(source) = self.choose_source() else {
            if none && self.peers.keys().all(|id| self.copied_from.contains(id)) {
                self.transfer = None;
                return self.mark_all_complete(actions);
            }
            self.skipped.clear();
            self.incomplete.clear();
            self.next_transfer = now + self.jittered(self.backoff);
            self.backoff = (self.backoff * 2).min(BUSY_BACKOFF.1);
            return;
        };
        match self.transfer.as_mut() {
            // The new source's versions also limit which versions may be claimed.
            Some(transfer) => {
                (transfer.source, transfer.attempts, transfer.paused_until) = (source, 0, None);
                transfer.incoming_versions.clear();
            }
            None => {
                self.transfer = Some(Transfer {
                    source,
                    step: Step::Versions(0),
                    request_id: 0,
                    requested_at: now,
                    attempts: 0,
                    paused_until: None,
                    response_time: RESPONSE_TIMEOUT.1,
                    any: none,
                    versions: None,
                    incoming_versions: BTreeMap::new(),
                });
            }
        }
        self.send_request(now, actions);
    }

    fn accept_response(&mut self, now: Ns, from: u64, request_id: u32) -> bool {
        // A duplicate belongs to a request that has its response, even while the next request is pending.
        match self
            .transfer
            .as_mut()
            .filter(|p| p.source == from && p.request_id == request_id && p.paused_until.is_none())
        {
            Some(transfer) => {
                transfer.response_time = (7 * transfer.response_time + (now - transfer.requested_at)) / 8;
                transfer.attempts = 0;
                self.backoff = BUSY_BACKOFF.0;
                true
            }
            None => false,
        }
    }

    fn handle_versions(
        &mut self, now: Ns, from: u64, request_id: u32, versions: Vec<(u64, u64)>, next: Option<u64>,
        actions: &mut impl Actions,
    ) {
        if !self.accept_response(now, from, request_id) {
            return;
        }
        let Some(transfer) = self.transfer.as_mut() else { return };
        if !matches!(transfer.step, Step::Versions(_)) {
            return;
        }
        transfer.incoming_versions.extend(versions);
        match next {
            Some(origin) => transfer.step = Step::Versions(origin),
            None => {
                transfer.versions = Some(std::mem::take(&mut transfer.incoming_versions));
                transfer.step = Step::Rows(Key::first_of(TABLES[0]));
            }
        }
        self.send_request(now, actions);
    }

    fn handle_chunk(
        &mut self, now: Ns, from: u64, request_id: u32, rows: Rows, next: Option<Key>,
        actions: &mut impl Actions,
    ) {
        if !self.accept_response(now, from, request_id) {
            return;
        }
        let Some(Transfer { step: Step::Rows(first), any, .. }) = self.transfer.as_ref() else { return };
        let (table, any) = (first.table(), *any);
        self.merge_rows(rows, from, actions);
        let at = TABLES.iter().position(|t| *t == table).unwrap_or(0);
        let step = match next {
            Some(key) if key.table() == table => Some(key),
            _ => {
                if !any && self.complete.insert(table) {
                    actions.notify(Notice::Complete(table));
                }
                TABLES.get(at + 1).map(|t| Key::first_of(*t))
            }
        };
        match step {
            Some(key) => {
                if let Some(transfer) = self.transfer.as_mut() {
                    (transfer.step, transfer.paused_until) = (Step::Rows(key), Some(now + CHUNK_PAUSE));
                }
            }
            None => {
                let transfer = self.transfer.take();
                // The versions of a single source from when it began are now present; of several, none is known to have sent all.
                if let Some(versions) =
                    transfer.and_then(|p| p.versions).filter(|_| !any && self.skipped.is_empty())
                {
                    self.store.advance_versions(&versions);
                }
                if any {
                    self.copied_from.insert(from);
                }
            }
        }
    }

    // Timers.

    fn run_timers(&mut self, now: Ns, actions: &mut impl Actions) {
        let late = self.transfer.as_ref().filter(|p| p.source != 0 && now >= p.next_attempt_at());
        let late = late.map(|p| (p.attempts, p.paused_until.is_some()));
        match late {
            Some((_, true)) => self.send_request(now, actions),
            Some((attempts, _)) if attempts + 1 >= MAX_ATTEMPTS => self.drop_source(),
            Some(_) => {
                if let Some(transfer) = self.transfer.as_mut() {
                    transfer.attempts += 1;
                }
                self.send_request(now, actions);
            }
            None => {}
        }
        self.catch_up(now, actions);
        if now >= self.next_round {
            self.next_round = now + self.jittered(ROUND_INTERVAL);
            self.rounds = self.rounds.wrapping_add(1);
            if self.rounds.is_multiple_of(SWEEP_ROUNDS) {
                self.sweep();
            }
            let all: Vec<u64> = self.peers.keys().copied().collect();
            if !all.is_empty() && !self.is_transferring() {
                let to = all[self.rng.random_range(0..all.len())];
                actions.send(to, &Message::Hello { digests: self.table_digests() }.encode());
            }
        }
        let transfer = match &self.transfer {
            Some(p) if p.source != 0 => p.next_attempt_at(),
            _ if self.is_caught_up() || self.peers.is_empty() => Ns::MAX,
            _ => self.next_transfer.max(now + MS),
        };
        let at = self.next_round.min(transfer).max(now + MS);
        // Only one timer is pending at a time, as one for each message would accumulate.
        if self.timer_at <= now || at < self.timer_at {
            self.timer_at = at;
            actions.wake_at(at);
        }
    }
}
