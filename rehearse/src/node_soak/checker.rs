//! Judges a soak by what clients, machines and the platform saw; the node's own word is no evidence.
use rockpick::Ns;
use rockpick_net::{MS, SEC};
use std::collections::BTreeMap;

/// What the page grants every time limit, and the time after its own in which an answer earns nothing and is not lost.
const LIMIT_GRANT: Ns = 50 * MS;
const LATE_ANSWER_GRANT: Ns = 500 * MS;
/// An attempt may begin so long after its client has closed.
const GONE_CLIENT_GRANT: Ns = 100 * MS;
/// More time than is left to the client may be told to a machine by this.
const TIME_LEFT_GRANT: Ns = 150 * MS;
/// Requests that SIGKILL finds unanswered are lost if they came later than this after SIGTERM.
const STOP_NOTICE: Ns = 700 * MS;
/// A bad client is owed an error or a close within this.
const BAD_CLIENT_LIMIT: Ns = 3 * SEC;
/// Attempts and share of requests that may pass beyond the cap; a lower cap binds after this.
const CAP_GRANT_ATTEMPTS: f64 = 2.0;
const CAP_GRANT_SHARE: f64 = 0.04;
const LOWER_CAP_BINDS: Ns = 150 * MS;
/// Peers share the cores with the node: what they note may be so late.
const PEER_LATENESS: Ns = 250 * MS;

/// The figures of the rules, as the node's configuration states them.
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
    /// Trying again is harmless.
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

/// A request, as its client has it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    /// Which start of the node it went to.
    pub life: usize,
    /// It may run once at most.
    pub once: bool,
    pub sent: Ns,
    /// From when its time counts: the answers of those before it on its connection are there.
    pub due_from: Ns,
    pub wait: Ns,
    pub answers: Vec<(Ns, Answer)>,
    pub end: Option<ConnectionEnd>,
}

impl Request {
    /// When those behind it on its connection begin to count: at its answer, else at its deadline.
    pub fn answered_by(&self) -> Ns {
        self.answers.first().map_or(self.due_from + self.wait, |(at, _)| *at)
    }
}

/// A request that came to a machine.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub request: u64,
    pub at: Ns,
    pub machine: usize,
    pub may_have_run: bool,
    /// The time that it was told.
    pub time_left: Ns,
}

/// What the list says of a machine from a time on.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub told: Ns,
    pub machine: usize,
    pub build: u32,
    pub serves: bool,
    /// When the machine started, if it came up cold.
    pub started: Option<Ns>,
}

/// What a build on trial may get from a time on.
#[derive(Clone, Copy, Debug)]
pub struct Cap {
    pub told: Ns,
    pub build: u32,
    pub share: f64,
}

/// One process of the node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Life {
    pub began: Ns,
    pub terminated: Option<Ns>,
    pub killed: Option<Ns>,
}

/// A client that stopped in the middle of a request, and what it was owed.
#[derive(Clone, Copy, Debug)]
pub struct Stuck {
    pub life: usize,
    pub since: Ns,
    pub ended: Option<Ns>,
}

#[derive(Debug, Default)]
pub struct Evidence {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub listings: Vec<Listing>,
    pub caps: Vec<Cap>,
    pub lives: Vec<Life>,
    pub stuck: Vec<Stuck>,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: u8,
    pub request: u64,
    pub at: Ns,
    pub what: String,
}

/// All breaches, by time.
pub fn judge(limits: &Limits, evidence: &Evidence) -> Vec<Breach> {
    let mut attempts: BTreeMap<u64, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &evidence.attempts {
        attempts.entry(attempt.request).or_default().push(attempt);
    }
    attempts.values_mut().for_each(|of| of.sort_by_key(|a| a.at));
    let none = Vec::new();
    let mut breaches = Vec::new();
    for request in &evidence.requests {
        let of = attempts.get(&request.id).unwrap_or(&none);
        breaches.extend(unanswered(request, of, &evidence.lives));
        breaches.extend(repeated(request, of));
        breaches.extend(overlong(request, of));
    }
    breaches.extend(evidence.stuck.iter().filter_map(|stuck| kept_waiting(stuck, &evidence.lives)));
    breaches.extend(evidence.attempts.iter().filter_map(|a| drained(a, &evidence.listings, limits)));
    breaches.extend(overloaded(evidence, limits));
    breaches.extend(exposed(evidence, limits));
    breaches.sort_by_key(|b| b.at);
    breaches
}

fn breach(rule: u8, request: u64, at: Ns, what: impl Into<String>) -> Option<Breach> {
    Some(Breach { rule, request, at, what: what.into() })
}

/// Rule 1: one final answer in time, made by a machine for this request, and nothing after.
fn unanswered(request: &Request, attempts: &[&Attempt], lives: &[Life]) -> Option<Breach> {
    let deadline = request.due_from + request.wait;
    if let [_, (at, second), ..] = &request.answers[..] {
        return breach(1, request.id, *at, format!("another answer: {second:?}"));
    }
    if let Some((at, answer)) = request.answers.first() {
        if matches!(answer, Answer::Value(value) if *value != value_of(request.id)) {
            return breach(1, request.id, *at, "a value that no machine made for it");
        }
        let late = *at - deadline - LATE_ANSWER_GRANT - PEER_LATENESS;
        return if late > 0 {
            breach(1, request.id, *at, format!("answered too late, {} ms", late / MS))
        } else {
            None
        };
    }
    let killed_first = lives[request.life].killed.is_some_and(|killed| {
        let notice = lives[request.life].terminated.is_some_and(|at| request.sent > at + STOP_NOTICE);
        killed < deadline + LATE_ANSWER_GRANT && !notice
    });
    match request.end {
        Some(ConnectionEnd::Left(_)) => None,
        Some(ConnectionEnd::Unread(_)) if attempts.is_empty() => None,
        _ if killed_first => None,
        end => breach(1, request.id, deadline, format!("no answer, {} attempts, {end:?}", attempts.len())),
    }
}

/// Rule 2: nothing that may have run goes again where it must not, nor is it rejected as if it had not run.
fn repeated(request: &Request, attempts: &[&Attempt]) -> Option<Breach> {
    let first = attempts.iter().position(|a| a.may_have_run).filter(|_| request.once)?;
    if let Some(again) = attempts.get(first + 1) {
        return breach(2, request.id, again.at, "sent again, though it may have run");
    }
    let (at, _) = request.answers.iter().find(|(_, answer)| *answer == Answer::Rejected)?;
    breach(2, request.id, *at, "rejected, though it may have run")
}

/// Rule 1 and 2: no attempt for a client that has gone, none that is told more time than is left.
fn overlong(request: &Request, attempts: &[&Attempt]) -> Option<Breach> {
    let deadline = request.due_from + request.wait;
    for attempt in attempts {
        if let Some(ConnectionEnd::Left(at)) = request.end {
            if attempt.at > at + GONE_CLIENT_GRANT + LIMIT_GRANT + PEER_LATENESS {
                return breach(1, request.id, attempt.at, "an attempt for a client that has gone");
            }
        }
        if attempt.at + attempt.time_left > deadline + TIME_LEFT_GRANT + PEER_LATENESS {
            let more = (attempt.at + attempt.time_left - deadline) / MS;
            return breach(1, request.id, attempt.at, format!("told {more} ms more than are left"));
        }
    }
    None
}

/// Bad clients get their error or close in time.
fn kept_waiting(stuck: &Stuck, lives: &[Life]) -> Option<Breach> {
    let due = stuck.since + BAD_CLIENT_LIMIT + LIMIT_GRANT + PEER_LATENESS;
    let in_time = stuck.ended.is_some_and(|at| at <= due);
    let killed = lives[stuck.life].killed.is_some_and(|at| at < due);
    if in_time || killed {
        return None;
    }
    breach(1, 0, due, "a client that stopped in the middle of a request has neither an error nor a close")
}

/// What the list told last of a machine by a time.
fn listed(listings: &[Listing], machine: usize, by: Ns) -> Option<&Listing> {
    listings.iter().filter(|l| l.machine == machine && l.told <= by).max_by_key(|l| l.told)
}

/// Rule 3: nothing new to a machine past the grace of its drain.
fn drained(attempt: &Attempt, listings: &[Listing], limits: &Limits) -> Option<Breach> {
    let last = listed(listings, attempt.machine, attempt.at).filter(|l| !l.serves)?;
    let over = attempt.at - last.told - limits.drain_grace - LIMIT_GRANT - PEER_LATENESS;
    if over <= 0 {
        return None;
    }
    breach(
        3,
        attempt.request,
        attempt.at,
        format!("{} ms past the grace of machine {}", over / MS, attempt.machine),
    )
}

/// Attempts at a time or up to `span` before.
fn within(attempts: &[Attempt], at: Ns, span: Ns) -> impl Iterator<Item = &Attempt> {
    attempts.iter().filter(move |a| a.at <= at && a.at > at - span)
}

/// Rule 4: a cold machine gets no more than a multiple of what warm ones were seen to take.
fn overloaded(evidence: &Evidence, limits: &Limits) -> Option<Breach> {
    let machines = evidence.listings.iter().map(|l| l.machine).max()? + 1;
    let busiest =
        evidence.attempts.iter().map(|a| within(&evidence.attempts, a.at, limits.fall_time).count()).max()?;
    let usual = busiest as f64 / machines as f64;
    evidence.attempts.iter().find_map(|attempt| {
        let started = listed(&evidence.listings, attempt.machine, attempt.at)?.started?;
        let age = (attempt.at - started).clamp(0, limits.cold_time);
        if age == limits.cold_time {
            return None;
        }
        let warmth = limits.cold_from + (1.0 - limits.cold_from) * age as f64 / limits.cold_time as f64;
        let allowed = limits.overload_factor * warmth * usual;
        let most = allowed + 3.0 * allowed.sqrt() + 3.0;
        let got = within(&evidence.attempts, attempt.at, limits.fall_time)
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

/// The most that a build may get at a time: a lower cap binds a little later.
fn cap_at(caps: &[Cap], build: u32, at: Ns) -> Option<f64> {
    let told = |by: Ns| caps.iter().filter(|c| c.build == build && c.told <= by).max_by_key(|c| c.told);
    let now = told(at)?.share;
    Some(told(at - LOWER_CAP_BINDS - PEER_LATENESS).map_or(now, |before| before.share.max(now)))
}

/// Rule 5: attempts at a build on trial stay within free and cap, in each life of the node.
fn exposed(evidence: &Evidence, limits: &Limits) -> Option<Breach> {
    let build_of = |a: &Attempt| listed(&evidence.listings, a.machine, a.at).map_or(0, |l| l.build);
    evidence.attempts.iter().find_map(|attempt| {
        let build = build_of(attempt);
        let cap = cap_at(&evidence.caps, build, attempt.at).filter(|cap| *cap < 1.0)?;
        let began = evidence.lives.iter().map(|l| l.began).filter(|began| *began <= attempt.at).max()?;
        let span = limits.window.min(attempt.at - began);
        let got = within(&evidence.attempts, attempt.at, span).filter(|a| build_of(a) == build).count();
        let from = attempt.at - span - PEER_LATENESS;
        let taken = evidence.requests.iter().filter(|r| r.sent > from && r.sent <= attempt.at).count();
        let most = limits.free + CAP_GRANT_ATTEMPTS + (cap + CAP_GRANT_SHARE) * taken as f64;
        if got as f64 <= most {
            return None;
        }
        breach(
            5,
            attempt.request,
            attempt.at,
            format!("{got} at build {build} of {taken} taken, {most:.1} allowed"),
        )
    })
}

/// What machines answer a request with.
pub fn value_of(request: u64) -> Vec<u8> {
    format!("value of {request:016x}").into_bytes()
}
