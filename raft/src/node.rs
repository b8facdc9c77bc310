//! One node.
//!
//! **Recovery at the start.** A node that starts cannot rely on its disk, which may be older than what it acknowledged. Of n
//! voters, any majority that it was part of includes one among any n - majority + 1 of the others. So it asks all of them what
//! they hold and waits for that many replies. The most advanced position that any of them holds, or has its acknowledgement for,
//! is its *floor*: it votes for no candidate below it, does not become a candidate below it, and does not vote in the terms that
//! they know. The floor is lifted by a leader that knows this instance and has replicated all committed entries to it.
//! Acknowledgements of an earlier instance count for nothing. With three voters, one that is lost for good must therefore be
//! replaced before another one restarts; with five, one may be missing.
use crate::log::{Log, PersistentState, Snapshot, Write};
use crate::message::{Command, Entry, Message, Payload, Position, MAX_BATCH_LEN, MAX_BODY_LEN};
use crate::{CallError, Ns, MAX_VOTERS, MS, SEC};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most uncommitted entries that a leader accepts; further calls are rejected as busy.
const MAX_UNCOMMITTED: u64 = 1024;
/// Most sessions. At the limit the least recently used one is dropped, the same on all nodes.
const MAX_SESSIONS: usize = 4096;
/// Most messages waiting for the disk. At the limit the oldest is dropped, as on a network.
const MAX_DEFERRED_MESSAGES: usize = 256;

/// Timing of the protocol, and when snapshots are taken.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval of the leader's heartbeats; without one, an election starts after one to two election timeouts.
    pub heartbeat: Ns,
    pub election_timeout: Ns,
    /// Entries and bytes after a snapshot at which the next one is taken.
    pub snapshot_entries: usize,
    pub snapshot_bytes: usize,
}

impl Default for Timing {
    /// Raft's paper assumes election timeouts of at least ten heartbeats.
    fn default() -> Timing {
        Timing {
            heartbeat: 100 * MS,
            election_timeout: SEC,
            snapshot_entries: 8192,
            snapshot_bytes: 4 * 1024 * 1024,
        }
    }
}

pub enum Event<'a> {
    Start,
    Message {
        from: u32,
        bytes: &'a [u8],
    },
    Timer,
    /// The write with this number and all before it are on disk and synced.
    Persisted(u64),
    /// A write failed: this node stays stopped until the state is loaded again into a new `Node`.
    PersistFailed,
    /// Answered under this request number, possibly much later.
    OpenSession {
        request: u64,
    },
    Call {
        request: u64,
        session: u64,
        serial: u64,
        body: &'a [u8],
    },
    ChangeVoters {
        request: u64,
        voters: &'a [u32],
    },
}

pub trait Actions {
    fn send(&mut self, to: u32, bytes: &[u8]);
    /// Requests an [`Event::Timer`] at this time, in addition to any requested earlier.
    fn wake_at(&mut self, at: Ns);
    /// Writes to disk atomically and in order and syncs; reported by [`Event::Persisted`].
    fn persist(&mut self, number: u64, write: Write);
    /// Applies a committed call, once and in log order; returns the response.
    fn apply(&mut self, index: u64, body: &[u8]) -> Vec<u8>;
    /// Encodes the state machine's state, and restores it.
    fn snapshot(&mut self) -> Vec<u8>;
    fn restore(&mut self, bytes: &[u8]);
    fn respond(&mut self, request: u64, response: Result<Vec<u8>, CallError>);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Started, and does not know yet what it had acknowledged.
    Recovering,
    Follower,
    /// Requests pre-votes, and as a candidate votes.
    PreCandidate,
    Candidate,
    Leader,
    /// The disk failed.
    Failed,
}

/// Shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub role: Role,
    pub term: u64,
    pub leader: Option<u32>,
    pub voters: Vec<u32>,
    pub last: Position,
    pub committed: u64,
    pub applied: u64,
    /// It votes for no candidate below this position.
    pub floor: Position,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Session {
    serial: u64,
    response: Vec<u8>,
    /// The index of its last call.
    used: u64,
}

/// What a leader knows of another node.
#[derive(Clone, Debug, Default)]
struct Progress {
    instance: u64,
    next: u64,
    matched: u64,
    heard: Ns,
    /// A snapshot being sent, and the offset that was acknowledged.
    snapshot_sent: Option<(Position, u64)>,
}

pub struct Node {
    id: u32,
    instance: u64,
    timing: Timing,
    rng: StdRng,
    role: Role,
    term: u64,
    vote: Option<u32>,
    log: Log,
    committed: u64,
    applied: u64,
    leader: Option<u32>,
    /// When the leader was last heard, and when the next election or heartbeat is due.
    leader_heard: Ns,
    timer_due: Ns,
    /// The one pending timer, as one for each message would accumulate.
    timer_requested: Ns,
    votes: BTreeSet<u32>,
    progress: BTreeMap<u32, Progress>,
    floor: Position,
    /// Replies to the recovery request.
    recovery_replies: BTreeMap<u32, Position>,
    /// The voters by the newest entry that this node or the replies know, and the index of that entry.
    configuration: (Vec<u32>, u64),
    sessions: BTreeMap<u64, Session>,
    requests: BTreeMap<u64, u64>,
    /// A snapshot being received.
    incoming_snapshot: Option<(Position, Vec<u8>)>,
    /// Writes to disk: numbers requested and persisted, the log position of each pending one, and the messages that wait for them.
    write_number: u64,
    persisted: u64,
    pending_writes: VecDeque<(u64, u64, Ns)>,
    synced: u64,
    deferred: VecDeque<(u64, u32, Message)>,
    unsaved: Option<Write>,
}

impl Node {
    /// Starts from the state on disk; `first` are the initial voters of a new log.
    pub fn new(
        id: u32, instance: u64, seed: u64, first: &[u32], timing: Timing, state: PersistentState,
    ) -> Node {
        let PersistentState { term, vote, mut snapshot, entries } = state;
        if snapshot.at == Position::default() {
            snapshot.voters = first.to_vec();
        }
        let log = Log::new(snapshot, entries);
        let synced = log.last().index;
        let configuration = (log.voters().0.to_vec(), log.voters().1);
        Node {
            id,
            instance,
            timing,
            rng: StdRng::seed_from_u64(seed),
            role: Role::Recovering,
            term,
            vote,
            committed: 0,
            applied: 0,
            log,
            leader: None,
            leader_heard: Ns::MIN / 2,
            timer_due: 0,
            timer_requested: Ns::MIN,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            floor: Position::default(),
            recovery_replies: BTreeMap::new(),
            configuration,
            sessions: BTreeMap::new(),
            requests: BTreeMap::new(),
            incoming_snapshot: None,
            write_number: 0,
            persisted: 0,
            pending_writes: VecDeque::new(),
            synced,
            deferred: VecDeque::new(),
            unsaved: None,
        }
    }

    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            term: self.term,
            leader: self.leader,
            voters: self.log.voters().0.to_vec(),
            last: self.log.last(),
            committed: self.committed,
            applied: self.applied,
            floor: self.floor,
        }
    }

    pub fn handle(&mut self, now: Ns, event: Event, actions: &mut impl Actions) {
        if self.role == Role::Failed {
            return self.reject(event, actions);
        }
        match event {
            Event::Start => self.start(now, actions),
            Event::Message { from, bytes } => {
                if let Some(message) = Message::decode(bytes) {
                    self.handle_message(now, from, message, actions);
                }
            }
            Event::Timer => self.on_timer(now, actions),
            Event::Persisted(number) => self.record_persisted(number),
            Event::PersistFailed => {
                self.become_follower(now, self.term, None, actions);
                self.role = Role::Failed;
                self.deferred.clear();
                return;
            }
            Event::OpenSession { request } => self.propose(request, Command::OpenSession, actions),
            Event::Call { request, body, .. } if body.len() > MAX_BODY_LEN => {
                actions.respond(request, Err(CallError::TooLong(body.len())));
            }
            Event::Call { request, session, serial, body } => {
                self.propose(request, Command::Call { session, serial, body: body.to_vec() }, actions);
            }
            Event::ChangeVoters { request, voters } => self.change_voters(request, voters, actions),
        }
        self.advance_commit();
        self.apply_committed(now, actions);
        self.flush(now, actions);
    }

    fn reject(&self, event: Event, actions: &mut impl Actions) {
        if let Event::OpenSession { request }
        | Event::Call { request, .. }
        | Event::ChangeVoters { request, .. } = event
        {
            actions.respond(request, Err(CallError::NotLeader(None)));
        }
    }

    fn majority(&self) -> usize {
        self.log.voters().0.len() / 2 + 1
    }

    fn other_voters(&self) -> Vec<u32> {
        self.log.voters().0.iter().copied().filter(|k| *k != self.id).collect()
    }

    fn start(&mut self, now: Ns, actions: &mut impl Actions) {
        let snapshot = self.log.snapshot.clone();
        if snapshot.at.index > 0 {
            self.restore(&snapshot, actions);
        }
        self.request_recovery(now, actions);
    }

    /// Asks the other voters what this node acknowledged; repeated with each heartbeat interval.
    fn request_recovery(&mut self, now: Ns, actions: &mut impl Actions) {
        for to in self.configuration.0.iter().filter(|k| **k != self.id) {
            self.send(*to, Payload::RecoveryRequest { instance: self.instance }, actions);
        }
        self.timer_due = now + self.timing.heartbeat;
        self.request_timer(now, actions);
        self.finish_recovery(now, actions);
    }

    /// Ends the recovery once any majority that includes this node also includes one of those that replied.
    fn finish_recovery(&mut self, now: Ns, actions: &mut impl Actions) {
        let peers: Vec<u32> = self.configuration.0.iter().copied().filter(|k| *k != self.id).collect();
        let enough = (self.configuration.0.len() - self.configuration.0.len() / 2).min(peers.len());
        if self.role != Role::Recovering
            || self.recovery_replies.keys().filter(|k| peers.contains(k)).count() < enough
        {
            return;
        }
        self.floor = self.recovery_replies.values().copied().max().unwrap_or_default();
        if !peers.is_empty() {
            // A vote in this term may have been given and forgotten.
            self.vote = self.vote.or(Some(self.id));
            self.mark_unsaved();
        }
        self.role = Role::Follower;
        self.reset_election_timer(now, actions);
    }

    /// Waits for a leader for one to two election timeouts.
    fn reset_election_timer(&mut self, now: Ns, actions: &mut impl Actions) {
        self.timer_due = now
            + self.timing.election_timeout
            + self.rng.random_range(0..self.timing.election_timeout.max(1));
        self.request_timer(now, actions);
    }

    fn request_timer(&mut self, now: Ns, actions: &mut impl Actions) {
        if self.timer_requested <= now || self.timer_due < self.timer_requested {
            self.timer_requested = self.timer_due;
            actions.wake_at(self.timer_due);
        }
    }

    fn on_timer(&mut self, now: Ns, actions: &mut impl Actions) {
        if now < self.timer_due {
            return self.request_timer(now, actions);
        }
        match self.role {
            Role::Recovering => self.request_recovery(now, actions),
            Role::Leader => self.send_heartbeats(now, actions),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                self.reset_election_timer(now, actions);
                let eligible = self.log.voters().0.contains(&self.id) && self.log.last() >= self.floor;
                if eligible {
                    self.leader = None;
                    self.start_election(now, true, actions);
                }
            }
            Role::Failed => {}
        }
    }

    /// Requests votes, or first pre-votes, so that a node returning from a partition does not disrupt the leader.
    fn start_election(&mut self, now: Ns, pre: bool, actions: &mut impl Actions) {
        self.votes = BTreeSet::from([self.id]);
        self.role = if pre { Role::PreCandidate } else { Role::Candidate };
        if !pre {
            (self.term, self.vote) = (self.term + 1, Some(self.id));
            self.mark_unsaved();
        }
        let term = self.term + u64::from(pre);
        let payload = Payload::RequestVote { pre, last: self.log.last() };
        for to in self.other_voters() {
            self.send_after_sync(to, Message { term, payload: payload.clone() });
        }
        self.check_election(now, actions);
    }

    fn check_election(&mut self, now: Ns, actions: &mut impl Actions) {
        let voters = self.log.voters().0;
        if self.votes.iter().filter(|v| voters.contains(v)).count() < self.majority() {
            return;
        }
        if self.role == Role::PreCandidate {
            return self.start_election(now, false, actions);
        }
        // The node's own vote counts once it is on disk.
        if self.role == Role::Candidate && (self.persisted == self.write_number && self.unsaved.is_none()) {
            self.become_leader(now, actions);
        }
    }

    fn become_leader(&mut self, now: Ns, actions: &mut impl Actions) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.floor = Position::default();
        self.synced = self.log.last().index;
        let next = self.log.last().index + 1;
        for progress in self.progress.values_mut() {
            *progress = Progress { instance: progress.instance, next, heard: now, ..Progress::default() };
        }
        self.push(Command::Noop);
        self.send_heartbeats(now, actions);
    }

    fn send_heartbeats(&mut self, now: Ns, actions: &mut impl Actions) {
        let peers = self.other_voters();
        self.progress.retain(|k, _| peers.contains(k));
        let next = self.log.last().index + 1;
        for k in &peers {
            self.progress.entry(*k).or_insert(Progress { next, heard: now, ..Progress::default() });
        }
        // A leader that no majority responds to, or whose disk stalls, steps down.
        let fresh = |at: Ns| now - at < self.timing.election_timeout;
        let heard = 1 + peers.iter().filter(|k| fresh(self.progress[k].heard)).count();
        let disk_stalled = self.pending_writes.front().is_some_and(|(.., at)| !fresh(*at));
        if heard < self.majority() || disk_stalled {
            return self.become_follower(now, self.term, None, actions);
        }
        for to in peers {
            self.replicate(to, actions);
        }
        self.timer_due = now + self.timing.heartbeat;
        self.request_timer(now, actions);
    }

    /// Sends the entries that a node lacks, or the snapshot if these were compacted.
    fn replicate(&mut self, to: u32, actions: &mut impl Actions) {
        let Some(progress) = self.progress.get(&to) else { return };
        let Some(before) = self.log.position(progress.next.max(1) - 1) else {
            let at = self.log.snapshot.at;
            let offset = progress.snapshot_sent.filter(|(of, _)| *of == at).map_or(0, |(_, offset)| offset);
            let encoded = self.encoded_snapshot();
            let part = &encoded[(offset as usize).min(encoded.len())..];
            let part = part[..part.len().min(MAX_BATCH_LEN)].to_vec();
            let payload = Payload::SnapshotChunk { at, total_len: encoded.len() as u64, offset, bytes: part };
            return self.send(to, payload, actions);
        };
        let (entries, instance) = (self.log.batch(progress.next), progress.instance);
        self.send(to, Payload::Append { before, entries, commit: self.committed, instance }, actions);
    }

    /// The snapshot as it is sent: its voters, then its bytes.
    fn encoded_snapshot(&self) -> Vec<u8> {
        let Snapshot { voters, bytes, .. } = &self.log.snapshot;
        postcard::to_stdvec(&(voters, bytes)).unwrap_or_default()
    }

    /// Becomes a follower, in this term or a newer one.
    fn become_follower(&mut self, now: Ns, term: u64, leader: Option<u32>, actions: &mut impl Actions) {
        if term > self.term {
            (self.term, self.vote) = (term, None);
            self.mark_unsaved();
        }
        if self.role == Role::Leader {
            for request in std::mem::take(&mut self.requests).into_values() {
                actions.respond(request, Err(CallError::LeadershipLost));
            }
        }
        self.leader = leader;
        if self.role != Role::Recovering {
            self.role = Role::Follower;
            self.reset_election_timer(now, actions);
        }
    }

    fn handle_message(&mut self, now: Ns, from: u32, message: Message, actions: &mut impl Actions) {
        let Message { term, payload } = message;
        // Pre-votes and their replies advance no term.
        let pre = matches!(
            payload,
            Payload::RequestVote { pre: true, .. } | Payload::VoteReply { pre: true, granted: true }
        );
        // Nor does a candidate while a leader is heard: it was partitioned, and may no longer be a voter.
        let is_candidate = matches!(payload, Payload::RequestVote { .. });
        let has_leader = self.role == Role::Leader || now - self.leader_heard < self.timing.election_timeout;
        if is_candidate && has_leader && !(self.role != Role::Leader && self.leader == Some(from)) {
            return;
        }
        if term > self.term && !pre {
            self.become_follower(now, term, None, actions);
        }
        match payload {
            Payload::RecoveryRequest { instance } => self.handle_recovery_request(from, instance),
            Payload::RecoveryReply { instance, last, voters, since }
                if instance == self.instance && self.role == Role::Recovering =>
            {
                if self.configuration.0.contains(&from) {
                    self.recovery_replies.insert(from, last);
                }
                if since > self.configuration.1 && !voters.is_empty() {
                    self.configuration = (voters, since);
                }
                self.finish_recovery(now, actions);
            }
            Payload::RecoveryReply { .. } => {}
            Payload::RequestVote { pre, last } => {
                self.handle_vote_request(now, from, term, pre, last, actions)
            }
            Payload::VoteReply { pre, granted } => {
                let asked = match self.role {
                    Role::PreCandidate => pre && term == self.term + 1,
                    Role::Candidate => !pre && term == self.term,
                    _ => false,
                };
                if asked && granted {
                    self.votes.insert(from);
                    self.check_election(now, actions);
                }
            }
            // A former leader learns of the term from any reply.
            Payload::Append { instance, .. } if term < self.term => {
                self.send(from, Payload::AppendReply { success: false, up_to: 0, instance }, actions);
            }
            Payload::SnapshotChunk { .. } if term < self.term => {}
            Payload::Append { before, entries, commit, instance } => {
                self.record_leader(now, from, actions);
                self.handle_append(from, before, entries, commit, instance, actions);
            }
            Payload::SnapshotChunk { at, total_len, offset, bytes } => {
                self.record_leader(now, from, actions);
                self.handle_snapshot_chunk(from, at, total_len, offset, &bytes, actions);
            }
            Payload::AppendReply { success, up_to, instance } => {
                self.handle_append_reply(now, term, from, success, up_to, instance, actions)
            }
            Payload::SnapshotAck { at, offset } => {
                if let Some(progress) = self.progress.get_mut(&from).filter(|_| self.role == Role::Leader) {
                    (progress.heard, progress.snapshot_sent) = (now, Some((at, offset)));
                    self.replicate(from, actions);
                }
            }
        }
    }

    fn handle_recovery_request(&mut self, from: u32, instance: u64) {
        // Limits the number of unknown ids, as there are few voters.
        if self.progress.len() >= 4 * MAX_VOTERS && !self.progress.contains_key(&from) {
            return;
        }
        let last = self.log.last();
        let progress = self.progress.entry(from).or_default();
        // Acknowledgements of its earlier instance are part of its floor and count for nothing else here.
        if progress.instance != instance {
            *progress =
                Progress { instance, next: last.index + 1, heard: progress.heard, ..Progress::default() };
        }
        let (voters, since) = self.log.voters();
        let payload = Payload::RecoveryReply { instance, last, voters: voters.to_vec(), since };
        // The node relies on this reply, so it is sent only after everything in it is on disk.
        self.send_after_sync(from, Message { term: self.term, payload });
    }

    fn handle_vote_request(
        &mut self, now: Ns, from: u32, term: u64, pre: bool, last: Position, actions: &mut impl Actions,
    ) {
        let newer = last >= self.log.last() && last >= self.floor;
        let free = if pre { term > self.term } else { self.vote.is_none_or(|v| v == from) };
        let granted = newer && free && term >= self.term && self.role != Role::Recovering;
        if granted && !pre {
            self.vote = Some(from);
            self.mark_unsaved();
            self.reset_election_timer(now, actions);
        }
        let term = if granted { term } else { self.term };
        self.send_after_sync(from, Message { term, payload: Payload::VoteReply { pre, granted } });
    }

    /// Records contact from the leader of this term.
    fn record_leader(&mut self, now: Ns, from: u32, actions: &mut impl Actions) {
        self.become_follower(now, self.term, Some(from), actions);
        self.leader_heard = now;
    }

    fn handle_append(
        &mut self, from: u32, before: Position, entries: Vec<Entry>, commit: u64, instance: u64,
        actions: &mut impl Actions,
    ) {
        if instance != self.instance {
            self.send(from, Payload::RecoveryRequest { instance: self.instance }, actions);
        }
        // It may have acknowledged more to a later leader and lost that.
        if self.role == Role::Recovering {
            return;
        }
        let response = |success, up_to, instance| Payload::AppendReply { success, up_to, instance };
        // Committed entries are the same everywhere, and `before` may precede the snapshot.
        let known = before.index <= self.committed || self.log.position(before.index) == Some(before);
        let payload = if known {
            let up_to = before.index + entries.len() as u64;
            for (index, entry) in (before.index + 1..).zip(entries) {
                if index <= self.committed || self.log.get(index).is_some_and(|own| own.term == entry.term) {
                    continue;
                }
                if index <= self.log.last().index {
                    self.truncate_log(index);
                }
                self.push_entry(entry);
            }
            self.committed = self.committed.max(commit.min(up_to));
            // A leader that counts nothing of an earlier instance has replicated all committed entries to this one.
            if instance == self.instance && commit <= up_to {
                self.floor = Position::default();
            }
            response(true, up_to, self.instance)
        } else {
            response(false, self.log.last().index.min(before.index - 1), self.instance)
        };
        self.send_after_sync(from, Message { term: self.term, payload });
    }

    #[allow(clippy::too_many_arguments)]
    fn handle_append_reply(
        &mut self, now: Ns, term: u64, from: u32, success: bool, up_to: u64, instance: u64,
        actions: &mut impl Actions,
    ) {
        if self.role != Role::Leader || term != self.term {
            return;
        }
        let last = self.log.last().index;
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.heard = now;
        // Replies of an earlier instance count for nothing; an unknown instance is adopted.
        if progress.instance != instance && progress.instance != 0 {
            return;
        }
        progress.instance = instance;
        if success {
            progress.matched = progress.matched.max(up_to.min(last));
            progress.next = progress.next.max(progress.matched + 1);
            progress.snapshot_sent = None;
        } else {
            progress.next = (up_to + 1).clamp(progress.matched + 1, last + 1);
        }
        if progress.next <= last {
            self.replicate(from, actions);
        }
    }

    fn handle_snapshot_chunk(
        &mut self, from: u32, at: Position, total_len: u64, offset: u64, bytes: &[u8],
        actions: &mut impl Actions,
    ) {
        if self.role == Role::Recovering {
            return;
        }
        if at.index <= self.committed {
            let payload = Payload::AppendReply { success: true, up_to: at.index, instance: self.instance };
            return self.send_after_sync(from, Message { term: self.term, payload });
        }
        if self.incoming_snapshot.as_ref().is_none_or(|(of, _)| *of != at) {
            self.incoming_snapshot = Some((at, Vec::new()));
        }
        let Some((_, received)) = &mut self.incoming_snapshot else { return };
        if received.len() as u64 == offset && (received.len() + bytes.len()) as u64 <= total_len {
            received.extend_from_slice(bytes);
        }
        if (received.len() as u64) < total_len {
            let offset = received.len() as u64;
            return self.send(from, Payload::SnapshotAck { at, offset }, actions);
        }
        let decoded = postcard::from_bytes::<(Vec<u32>, Vec<u8>)>(received);
        self.incoming_snapshot = None;
        let Ok((voters, bytes)) = decoded else { return };
        let snapshot = Snapshot { at, voters, bytes };
        self.restore(&snapshot, actions);
        self.log.install_snapshot(snapshot.clone());
        let from_index = self.log.last().index + 1;
        let write = self.pending_write();
        write.snapshot = Some(snapshot);
        if write.from == 0 || write.from > from_index {
            (write.from, write.entries) = (from_index, Vec::new());
        }
        let payload = Payload::AppendReply { success: true, up_to: at.index, instance: self.instance };
        self.send_after_sync(from, Message { term: self.term, payload });
    }

    fn restore(&mut self, snapshot: &Snapshot, actions: &mut impl Actions) {
        let (sessions, state) =
            postcard::from_bytes::<(BTreeMap<u64, Session>, Vec<u8>)>(&snapshot.bytes).unwrap_or_default();
        self.sessions = sessions;
        actions.restore(&state);
        self.applied = snapshot.at.index;
        self.committed = self.committed.max(snapshot.at.index);
    }

    /// Advances the commit index by what a majority has persisted; the leader counts itself once its own disk has it. Only an
    /// entry of the leader's own term commits those before it.
    fn advance_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let voters = self.log.voters().0;
        let mut held: Vec<u64> = voters
            .iter()
            .map(|k| if *k == self.id { self.synced } else { self.progress.get(k).map_or(0, |o| o.matched) })
            .collect();
        held.sort_unstable();
        let up_to = held[held.len() - self.majority()];
        if up_to > self.committed && self.log.position(up_to).is_some_and(|m| m.term == self.term) {
            self.committed = up_to;
        }
    }

    fn apply_committed(&mut self, now: Ns, actions: &mut impl Actions) {
        while self.applied < self.committed {
            let index = self.applied + 1;
            let Some(entry) = self.log.get(index).cloned() else { break };
            let response = match entry.command {
                Command::Noop | Command::Voters(_) => Ok(Vec::new()),
                Command::OpenSession => {
                    self.sessions.insert(index, Session { used: index, ..Session::default() });
                    if self.sessions.len() > MAX_SESSIONS {
                        let oldest = self.sessions.iter().min_by_key(|(_, s)| s.used).map(|(id, _)| *id);
                        oldest.and_then(|id| self.sessions.remove(&id));
                    }
                    Ok(index.to_be_bytes().to_vec())
                }
                Command::Call { session, serial, body } => match self.sessions.get_mut(&session) {
                    None => Err(CallError::NoSession),
                    Some(known) if serial < known.serial => Err(CallError::StaleSerial),
                    Some(known) => {
                        if serial > known.serial {
                            *known = Session { serial, response: actions.apply(index, &body), used: index };
                        }
                        Ok(known.response.clone())
                    }
                },
            };
            self.applied = index;
            if let Some(request) = self.requests.remove(&index) {
                actions.respond(request, response);
            }
        }
        // A leader that is no longer a committed voter steps down.
        let (voters, since) = self.log.voters();
        if self.role == Role::Leader && since <= self.committed && !voters.contains(&self.id) {
            self.become_follower(now, self.term, None, actions);
        }
        if self.log.len() > self.timing.snapshot_entries || self.log.bytes > self.timing.snapshot_bytes {
            self.take_snapshot(actions);
        }
    }

    /// Takes a snapshot of everything applied.
    fn take_snapshot(&mut self, actions: &mut impl Actions) {
        let Some(at) = self.log.position(self.applied).filter(|at| at.index > self.log.snapshot.at.index)
        else {
            return;
        };
        let bytes = postcard::to_stdvec(&(&self.sessions, actions.snapshot())).unwrap_or_default();
        let snapshot = Snapshot { at, voters: self.log.voters_at(at.index), bytes };
        self.log.install_snapshot(snapshot.clone());
        self.pending_write().snapshot = Some(snapshot);
    }

    fn propose(&mut self, request: u64, command: Command, actions: &mut impl Actions) {
        if self.role != Role::Leader {
            return actions.respond(request, Err(CallError::NotLeader(self.leader)));
        }
        if self.log.last().index - self.committed >= MAX_UNCOMMITTED {
            return actions.respond(request, Err(CallError::Busy));
        }
        self.push(command);
        self.requests.insert(self.log.last().index, request);
        for to in self.other_voters() {
            let up_to_date = self.progress.get(&to).is_some_and(|o| o.next == self.log.last().index);
            if up_to_date {
                self.replicate(to, actions);
                if let Some(progress) = self.progress.get_mut(&to) {
                    progress.next += 1;
                }
            }
        }
    }

    fn change_voters(&mut self, request: u64, voters: &[u32], actions: &mut impl Actions) {
        if self.role != Role::Leader {
            return actions.respond(request, Err(CallError::NotLeader(self.leader)));
        }
        let (now, since) = self.log.voters();
        let (now, new): (BTreeSet<u32>, BTreeSet<u32>) =
            (now.iter().copied().collect(), voters.iter().copied().collect());
        let one = now.symmetric_difference(&new).count() == 1;
        // The last change must be committed, and an entry of this term too, or two changes could be in progress.
        let settled =
            since <= self.committed && self.log.position(self.committed).is_some_and(|m| m.term == self.term);
        if !one || !settled || new.is_empty() || new.len() > MAX_VOTERS {
            return actions.respond(request, Err(CallError::VoterChange));
        }
        self.push(Command::Voters(new.into_iter().collect()));
        self.requests.insert(self.log.last().index, request);
    }

    fn push(&mut self, command: Command) {
        let entry = Entry { term: self.term, command };
        self.push_entry(entry);
    }

    fn push_entry(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        let index = self.log.last().index;
        let write = self.pending_write();
        if write.from == 0 {
            write.from = index;
        }
        write.entries.push(entry);
    }

    fn truncate_log(&mut self, from: u64) {
        self.log.truncate(from);
        self.synced = self.synced.min(from - 1);
        let write = self.pending_write();
        if write.from == 0 || write.from > from {
            (write.from, write.entries) = (from, Vec::new());
        } else {
            write.entries.truncate((from - write.from) as usize);
        }
    }

    fn pending_write(&mut self) -> &mut Write {
        self.unsaved.get_or_insert_with(Write::default)
    }

    fn mark_unsaved(&mut self) {
        self.pending_write();
    }

    /// Writes the changes of this event to disk as one; messages that rely on them wait.
    fn flush(&mut self, now: Ns, actions: &mut impl Actions) {
        if let Some(mut write) = self.unsaved.take() {
            (write.term, write.vote) = (self.term, self.vote);
            self.write_number += 1;
            self.pending_writes.push_back((self.write_number, self.log.last().index, now));
            actions.persist(self.write_number, write);
        }
        for (number, ..) in self.deferred.iter_mut().filter(|(number, ..)| *number == u64::MAX) {
            *number = self.write_number;
        }
        while self.deferred.front().is_some_and(|(number, ..)| *number <= self.persisted) {
            if let Some((_, to, message)) = self.deferred.pop_front() {
                actions.send(to, &message.encode());
            }
        }
        if self.role == Role::Candidate {
            self.check_election(now, actions);
            if self.unsaved.is_some() {
                self.flush(now, actions);
            }
        }
    }

    fn record_persisted(&mut self, number: u64) {
        self.persisted = self.persisted.max(number);
        while let Some((_, last, _)) =
            self.pending_writes.front().copied().filter(|(n, ..)| *n <= self.persisted)
        {
            self.pending_writes.pop_front();
            self.synced = last.min(self.log.last().index);
        }
    }

    /// Defers a message that others rely on until all earlier changes are on disk.
    fn send_after_sync(&mut self, to: u32, message: Message) {
        if self.deferred.len() >= MAX_DEFERRED_MESSAGES {
            self.deferred.pop_front();
        }
        self.deferred.push_back((u64::MAX, to, message));
    }

    fn send(&self, to: u32, payload: Payload, actions: &mut impl Actions) {
        actions.send(to, &Message { term: self.term, payload }.encode());
    }
}
