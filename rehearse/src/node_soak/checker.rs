//! Checks the rules of a soak test against what clients, machines and the platform recorded. What the node says of itself is
//! not used.
use rockpick::Ns;
use rockpick_net::{MS, SEC};
use std::collections::BTreeMap;

/// The specified tolerance of every time limit, and the time after its deadline in which an answer is useless but not lost.
const TIME_LIMIT_TOLERANCE: Ns = 50 * MS;
const LATE_ANSWER_TOLERANCE: Ns = 500 * MS;
/// An attempt may begin this long after its client has closed.
const CLOSED_CLIENT_TOLERANCE: Ns = 100 * MS;
/// The time left that is sent to a machine may exceed the client's by this.
const TIME_LEFT_TOLERANCE: Ns = 150 * MS;
/// A request that was sent later than this after SIGTERM must be answered even if SIGKILL comes before its deadline.
const STOP_NOTICE: Ns = 700 * MS;
/// A client that stops in the middle of a request must get an error or a close within this.
const STALLED_CLIENT_LIMIT: Ns = 3 * SEC;
/// Attempts and share of requests allowed beyond the cap, and how long after its announcement a lower cap takes effect.
const CAP_TOLERANCE_ATTEMPTS: f64 = 2.0;
const CAP_TOLERANCE_SHARE: f64 = 0.04;
const LOWER_CAP_DELAY: Ns = 150 * MS;
/// Peers share the cores with the node, so that their records may be this late.
const PEER_RECORDING_DELAY: Ns = 250 * MS;

/// The limits that the rules check, as in the node's configuration.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub drain_grace: Ns,
    pub window: Ns,
    pub free: f64,
    pub cold_from: f64,
    pub cold_time: Ns,
    pub overload_factor: f64,
    pub fall_time: Ns,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Value(Vec<u8>),
    /// An error after which a retry is harmless.
    Rejected,
    Failed,
}

/// How a client's connection ended before an answer was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The client closed it.
    Left(Ns),
    /// Closed by the node, which had read the request.
    AfterRead(Ns),
    /// Closed by the node before it read the request.
    Unread(Ns),
    /// Still open when the client gave up.
    Silent(Ns),
}

/// Ids of requests begin with the number of the process that they went to.
const RUN_SHIFT: u32 = 40;

/// The id of the `number`th request to a process of a node.
pub fn request_id(run: usize, number: u64) -> u64 {
    (run as u64) << RUN_SHIFT | number
}

/// A request as its client recorded it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    /// The process of the node that it went to, by number of its start.
    pub run: usize,
    /// It must not run more than once.
    pub at_most_once: bool,
    pub sent: Ns,
    /// When its time begins: the requests before it on its connection have been answered.
    pub due_from: Ns,
    pub timeout: Ns,
    pub answers: Vec<(Ns, Answer)>,
    pub end: Option<ConnectionEnd>,
}

impl Request {
    /// When the time of the next request on its connection begins: at its answer, else at its deadline.
    pub fn answered_by(&self) -> Ns {
        self.answers.first().map_or(self.due_from + self.timeout, |(at, _)| *at)
    }
}

/// A request as a machine received it.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub request: u64,
    pub at: Ns,
    pub machine: usize,
    pub may_have_run: bool,
    /// The time left that was sent with it.
    pub time_left: Ns,
}

impl Attempt {
    /// The process of a node that made it.
    fn run(&self) -> usize {
        (self.request >> RUN_SHIFT) as usize
    }
}

/// What discovery lists for a machine, to one of the nodes, from a time on.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub node: usize,
    pub announced: Ns,
    pub machine: usize,
    pub build: u32,
    pub serves: bool,
    /// When the machine started, if it started cold.
    pub started: Option<Ns>,
}

/// The share of requests that a build on trial may get from a time on.
#[derive(Clone, Copy, Debug)]
pub struct Cap {
    pub announced: Ns,
    pub build: u32,
    pub share: f64,
}

/// A process of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeRun {
    pub node: usize,
    pub began: Ns,
    pub terminated: Option<Ns>,
    pub killed: Option<Ns>,
}

/// A client that stopped in the middle of a request, and when it got an error or a close.
#[derive(Clone, Copy, Debug)]
pub struct StalledClient {
    pub run: usize,
    pub since: Ns,
    pub ended: Option<Ns>,
}

#[derive(Debug, Default)]
pub struct Evidence {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub listings: Vec<Listing>,
    pub caps: Vec<Cap>,
    pub runs: Vec<NodeRun>,
    pub stalled_clients: Vec<StalledClient>,
    /// Rules that a node said it was about to break, by its log.
    pub violations: Vec<String>,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: u8,
    pub request: u64,
    pub at: Ns,
    pub what: String,
}

/// All breaches, sorted by time.
pub fn judge(limits: &Limits, evidence: &Evidence) -> Vec<Breach> {
    let mut attempts: BTreeMap<u64, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &evidence.attempts {
        attempts.entry(attempt.request).or_default().push(attempt);
    }
    attempts.values_mut().for_each(|list| list.sort_by_key(|a| a.at));
    let none = Vec::new();
    let mut breaches = Vec::new();
    for request in &evidence.requests {
        let of_request = attempts.get(&request.id).unwrap_or(&none);
        breaches.extend(check_answer(request, of_request, &evidence.runs));
        breaches.extend(check_single_effect(request, of_request));
        breaches.extend(check_attempts(request, of_request));
    }
    breaches.extend(
        evidence.stalled_clients.iter().filter_map(|client| check_stalled_client(client, &evidence.runs)),
    );
    let timeline = Timeline::new(evidence);
    breaches.extend(timeline.attempts.iter().filter_map(|a| check_drain(a, &timeline, limits)));
    breaches.extend(check_cold_machines(&timeline, limits));
    breaches
        .extend((0..evidence.runs.len()).filter_map(|run| check_exposure(run, evidence, &timeline, limits)));
    breaches.extend(evidence.violations.iter().filter_map(|line| breach(1, 0, 0, line.clone())));
    breaches.sort_by_key(|b| b.at);
    breaches
}

fn breach(rule: u8, request: u64, at: Ns, what: impl Into<String>) -> Option<Breach> {
    Some(Breach { rule, request, at, what: what.into() })
}

/// Rule 1: exactly one answer, in time, with the value that a machine computed for this request.
fn check_answer(request: &Request, attempts: &[&Attempt], runs: &[NodeRun]) -> Option<Breach> {
    let deadline = request.due_from + request.timeout;
    if let [_, (at, second), ..] = &request.answers[..] {
        return breach(1, request.id, *at, format!("second answer: {second:?}"));
    }
    if let Some((at, answer)) = request.answers.first() {
        if matches!(answer, Answer::Value(value) if *value != value_of(request.id)) {
            return breach(1, request.id, *at, "the value of another request");
        }
        let late = *at - deadline - LATE_ANSWER_TOLERANCE - PEER_RECORDING_DELAY;
        return if late > 0 {
            breach(1, request.id, *at, format!("answered {} ms too late", late / MS))
        } else {
            None
        };
    }
    let killed_first = runs[request.run].killed.is_some_and(|killed| {
        let came_after_notice =
            runs[request.run].terminated.is_some_and(|at| request.sent > at + STOP_NOTICE);
        killed < deadline + LATE_ANSWER_TOLERANCE && !came_after_notice
    });
    match request.end {
        Some(ConnectionEnd::Left(_)) => None,
        Some(ConnectionEnd::Unread(_)) if attempts.is_empty() => None,
        _ if killed_first => None,
        end => breach(1, request.id, deadline, format!("no answer, {} attempts, {end:?}", attempts.len())),
    }
}

/// Rule 2: a request that must not run twice is neither sent again nor rejected as harmless to retry once it may have run.
fn check_single_effect(request: &Request, attempts: &[&Attempt]) -> Option<Breach> {
    let first = attempts.iter().position(|a| a.may_have_run).filter(|_| request.at_most_once)?;
    if let Some(again) = attempts.get(first + 1) {
        return breach(2, request.id, again.at, "sent again although it may have run");
    }
    let (at, _) = request.answers.iter().find(|(_, answer)| *answer == Answer::Rejected)?;
    breach(2, request.id, *at, "rejected although it may have run")
}

/// Rules 1 and 2: no attempt for a client that has closed, and none with more time than is left.
fn check_attempts(request: &Request, attempts: &[&Attempt]) -> Option<Breach> {
    let deadline = request.due_from + request.timeout;
    for attempt in attempts {
        if let Some(ConnectionEnd::Left(at)) = request.end {
            if attempt.at > at + CLOSED_CLIENT_TOLERANCE + TIME_LIMIT_TOLERANCE + PEER_RECORDING_DELAY {
                return breach(1, request.id, attempt.at, "an attempt for a client that has closed");
            }
        }
        if attempt.at + attempt.time_left > deadline + TIME_LEFT_TOLERANCE + PEER_RECORDING_DELAY {
            let more = (attempt.at + attempt.time_left - deadline) / MS;
            return breach(1, request.id, attempt.at, format!("sent a time left that is {more} ms too long"));
        }
    }
    None
}

/// Rule 1: a client that stops in the middle of a request gets an error or a close in time.
fn check_stalled_client(client: &StalledClient, runs: &[NodeRun]) -> Option<Breach> {
    let due = client.since + STALLED_CLIENT_LIMIT + TIME_LIMIT_TOLERANCE + PEER_RECORDING_DELAY;
    let in_time = client.ended.is_some_and(|at| at <= due);
    let killed = runs[client.run].killed.is_some_and(|at| at < due);
    if in_time || killed {
        return None;
    }
    breach(1, 0, due, "a client that stopped in the middle of a request got neither an error nor a close")
}

/// Attempts by time, and listings by node and machine.
struct Timeline<'a> {
    attempts: Vec<Attempt>,
    listings: BTreeMap<(usize, usize), Vec<&'a Listing>>,
    runs: &'a [NodeRun],
    machines: usize,
}

impl Timeline<'_> {
    fn new(evidence: &Evidence) -> Timeline<'_> {
        let mut attempts = evidence.attempts.clone();
        attempts.sort_by_key(|attempt| attempt.at);
        let mut listings: BTreeMap<(usize, usize), Vec<&Listing>> = BTreeMap::new();
        for listing in &evidence.listings {
            listings.entry((listing.node, listing.machine)).or_default().push(listing);
        }
        listings.values_mut().for_each(|list| list.sort_by_key(|listing| listing.announced));
        let machines = evidence.listings.iter().map(|l| l.machine + 1).max().unwrap_or(0);
        Timeline { attempts, listings, runs: &evidence.runs, machines }
    }

    /// The latest listing of an attempt's machine that its node was told by then.
    fn listing_of(&self, attempt: &Attempt) -> Option<&Listing> {
        let node = self.runs.get(attempt.run())?.node;
        let listings = self.listings.get(&(node, attempt.machine))?;
        let told = listings.partition_point(|listing| listing.announced <= attempt.at);
        listings[..told].last().copied()
    }

    fn build_of(&self, attempt: &Attempt) -> u32 {
        self.listing_of(attempt).map_or(0, |listing| listing.build)
    }
}

/// Attempts, sorted by time, that came at `at` or less than `span` before it.
fn attempts_before(attempts: &[Attempt], at: Ns, span: Ns) -> &[Attempt] {
    let from = attempts.partition_point(|a| a.at <= at - span);
    let to = attempts.partition_point(|a| a.at <= at);
    &attempts[from..to]
}

/// Rule 3: no attempt at a machine after the grace of its drain.
fn check_drain(attempt: &Attempt, timeline: &Timeline, limits: &Limits) -> Option<Breach> {
    let last = timeline.listing_of(attempt).filter(|l| !l.serves)?;
    let over = attempt.at - last.announced - limits.drain_grace - TIME_LIMIT_TOLERANCE - PEER_RECORDING_DELAY;
    if over <= 0 {
        return None;
    }
    breach(
        3,
        attempt.request,
        attempt.at,
        format!("{} ms after the drain grace of machine {}", over / MS, attempt.machine),
    )
}

/// Rule 4: a cold machine gets at most a multiple of the load that warm machines were seen to take.
fn check_cold_machines(timeline: &Timeline, limits: &Limits) -> Option<Breach> {
    let attempts = &timeline.attempts;
    let busiest = attempts.iter().map(|a| attempts_before(attempts, a.at, limits.fall_time).len()).max()?;
    let average = busiest as f64 / timeline.machines as f64;
    attempts.iter().find_map(|attempt| {
        let started = timeline.listing_of(attempt)?.started?;
        let age = (attempt.at - started).clamp(0, limits.cold_time);
        if age == limits.cold_time {
            return None;
        }
        let warmth = limits.cold_from + (1.0 - limits.cold_from) * age as f64 / limits.cold_time as f64;
        let allowed = limits.overload_factor * warmth * average;
        let most = allowed + 3.0 * allowed.sqrt() + 3.0;
        let got = attempts_before(attempts, attempt.at, limits.fall_time)
            .iter()
            .filter(|a| a.machine == attempt.machine && a.at >= started)
            .count();
        if got as f64 <= most {
            return None;
        }
        breach(
            4,
            attempt.request,
            attempt.at,
            format!("{got} to cold machine {}, {most:.1} allowed", attempt.machine),
        )
    })
}

/// The highest cap that may be in force at a time, as a lower cap takes effect after a delay.
fn cap_at(caps: &[Cap], build: u32, at: Ns) -> Option<f64> {
    let announced =
        |by: Ns| caps.iter().filter(|c| c.build == build && c.announced <= by).max_by_key(|c| c.announced);
    let now = announced(at)?.share;
    Some(announced(at - LOWER_CAP_DELAY - PEER_RECORDING_DELAY).map_or(now, |before| before.share.max(now)))
}

/// Rule 5: attempts at a build on trial stay within the free allowance and the cap, counted anew by each process of a node.
fn check_exposure(run: usize, evidence: &Evidence, timeline: &Timeline, limits: &Limits) -> Option<Breach> {
    let attempts: Vec<Attempt> = timeline.attempts.iter().filter(|a| a.run() == run).copied().collect();
    let mut sent: Vec<Ns> = evidence.requests.iter().filter(|r| r.run == run).map(|r| r.sent).collect();
    sent.sort_unstable();
    let began = evidence.runs[run].began;
    attempts.iter().filter(|attempt| attempt.at >= began).find_map(|attempt| {
        let build = timeline.build_of(attempt);
        let cap = cap_at(&evidence.caps, build, attempt.at).filter(|cap| *cap < 1.0)?;
        let span = limits.window.min(attempt.at - began);
        let at_build = |a: &&Attempt| timeline.build_of(a) == build;
        let got = attempts_before(&attempts, attempt.at, span).iter().filter(at_build).count();
        let from = attempt.at - span - PEER_RECORDING_DELAY;
        let taken = sent.partition_point(|at| *at <= attempt.at) - sent.partition_point(|at| *at <= from);
        let most = limits.free + CAP_TOLERANCE_ATTEMPTS + (cap + CAP_TOLERANCE_SHARE) * taken as f64;
        if got as f64 <= most {
            return None;
        }
        breach(
            5,
            attempt.request,
            attempt.at,
            format!("{got} at build {build} of {taken} requests, {most:.1} allowed"),
        )
    })
}

/// The value with which machines answer a request.
pub fn value_of(request: u64) -> Vec<u8> {
    format!("value of {request:016x}").into_bytes()
}
