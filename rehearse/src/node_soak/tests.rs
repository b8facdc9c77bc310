//! Tests that the checker of the soak test reports a breach of each rule, and nothing that the specification allows.
use super::checker::*;
use super::LIMITS;
use rockpick_net::{MS, SEC};

const NO_RULES: [u8; 0] = [];
const ID: u64 = 7;
/// The second machine runs a build on trial; the others run the first build.
const TRIAL: usize = 1;

fn request(id: u64, sent_ms: i64) -> Request {
    let (sent, timeout) = (sent_ms * MS, 400 * MS);
    let answers = vec![(sent + 30 * MS, Answer::Value(value_of(id)))];
    Request { id, run: 0, at_most_once: true, sent, due_from: sent, timeout, answers, end: None }
}

fn attempt(request: u64, at_ms: i64, machine: usize) -> Attempt {
    Attempt { request, at: at_ms * MS, machine, may_have_run: true, time_left: 300 * MS }
}

fn listing(announced_ms: i64, machine: usize, serves: bool) -> Listing {
    let build = if machine == TRIAL { 2 } else { 1 };
    Listing { node: 0, announced: announced_ms * MS, machine, build, serves, started: None }
}

/// One request at 10 s, served by machine 0 of three.
fn served() -> Evidence {
    Evidence {
        requests: vec![request(ID, 10_000)],
        attempts: vec![attempt(ID, 10_010, 0)],
        listings: (0..3).map(|machine| listing(0, machine, true)).collect(),
        caps: vec![Cap { announced: 0, build: 2, share: 0.2 }],
        runs: vec![NodeRun::default()],
        stalled_clients: Vec::new(),
        violations: Vec::new(),
    }
}

/// The rules that are broken once `change` has altered the evidence of [`served`].
fn broken(change: impl FnOnce(&mut Evidence)) -> Vec<u8> {
    let mut evidence = served();
    change(&mut evidence);
    judge(&LIMITS, &evidence).iter().map(|breach| breach.rule).collect()
}

#[test]
fn allowed_outcomes_are_no_breach() {
    assert_eq!(broken(|_| ()), NO_RULES);
    let ends = [ConnectionEnd::Left(10_005 * MS), ConnectionEnd::Unread(10_001 * MS)];
    for end in ends {
        let allowed = |evidence: &mut Evidence| {
            (evidence.requests[0].answers, evidence.requests[0].end) = (Vec::new(), Some(end));
            evidence.attempts.clear();
        };
        assert_eq!(broken(allowed), NO_RULES, "{end:?}");
    }
    let killed = |evidence: &mut Evidence| {
        evidence.requests[0].answers.clear();
        evidence.requests[0].end = Some(ConnectionEnd::AfterRead(10_100 * MS));
        evidence.runs[0].killed = Some(10_100 * MS);
    };
    assert_eq!(broken(killed), NO_RULES, "killed before the deadline");
    let refused = |evidence: &mut Evidence| {
        evidence.attempts[0].may_have_run = false;
        evidence.attempts.push(attempt(ID, 10_020, 2));
    };
    assert_eq!(broken(refused), NO_RULES, "sent again after a refusal");
}

#[test]
fn a_request_without_its_one_answer_in_time_is_caught() {
    let silent = |evidence: &mut Evidence| {
        evidence.requests[0].answers.clear();
        evidence.requests[0].end = Some(ConnectionEnd::Silent(11_300 * MS));
    };
    assert_eq!(broken(silent), [1]);
    let closed = |evidence: &mut Evidence| {
        evidence.requests[0].answers.clear();
        evidence.requests[0].end = Some(ConnectionEnd::AfterRead(10_050 * MS));
        evidence.attempts.clear();
    };
    assert_eq!(broken(closed), [1]);
    let killed_late = |evidence: &mut Evidence| {
        evidence.requests[0].answers.clear();
        evidence.runs[0] =
            NodeRun { terminated: Some(9 * SEC), killed: Some(10_100 * MS), ..NodeRun::default() };
    };
    assert_eq!(broken(killed_late), [1], "sent a second after SIGTERM");
    assert_eq!(broken(|evidence| evidence.requests[0].answers[0].0 = 11_300 * MS), [1]);
    assert_eq!(broken(|evidence| evidence.requests[0].answers.push((10_040 * MS, Answer::Failed))), [1]);
    assert_eq!(broken(|evidence| evidence.requests[0].answers[0].1 = Answer::Value(value_of(8))), [1]);
}

#[test]
fn an_attempt_for_a_closed_client_or_with_too_much_time_is_caught() {
    let gone = |evidence: &mut Evidence| {
        evidence.requests[0].answers.clear();
        evidence.requests[0].end = Some(ConnectionEnd::Left(9_500 * MS));
    };
    assert_eq!(broken(gone), [1]);
    assert_eq!(broken(|evidence| evidence.attempts[0].time_left = 2 * SEC), [1]);
}

#[test]
fn a_stalled_client_without_an_error_or_close_is_caught() {
    let stalled = StalledClient { run: 0, since: 5 * SEC, ended: Some(7 * SEC) };
    assert_eq!(broken(|evidence| evidence.stalled_clients.push(stalled)), NO_RULES);
    assert_eq!(
        broken(|evidence| evidence.stalled_clients.push(StalledClient { ended: None, ..stalled })),
        [1]
    );
}

#[test]
fn a_rule_that_a_node_was_about_to_break_is_caught() {
    assert_eq!(broken(|evidence| evidence.violations.push("process 3: rule violated".into())), [1]);
}

#[test]
fn an_effect_that_may_happen_twice_is_caught() {
    assert_eq!(broken(|evidence| evidence.attempts.push(attempt(ID, 10_020, 2))), [2]);
    assert_eq!(broken(|evidence| evidence.requests[0].answers[0].1 = Answer::Rejected), [2]);
}

#[test]
fn an_attempt_past_the_grace_of_a_drain_is_caught() {
    assert_eq!(broken(|evidence| evidence.listings.push(listing(9_500, 0, false))), NO_RULES);
    assert_eq!(broken(|evidence| evidence.listings.push(listing(8_500, 0, false))), [3]);
}

#[test]
fn a_cold_machine_that_gets_too_much_is_caught() {
    let many = |started_ms: i64| {
        move |evidence: &mut Evidence| {
            evidence.listings[2].started = Some(started_ms * MS);
            for i in 0..40 {
                let (id, at) = (100 + i as u64, 10_000 + i);
                evidence.requests.push(request(id, at - 5));
                evidence.attempts.push(attempt(id, at, 2));
            }
        }
    };
    assert_eq!(broken(many(2_000)), NO_RULES);
    // All 40 attempts of a second go to this machine; evenly spread, each of the three would get a third.
    assert_eq!(broken(many(9_990)), [4]);
}

#[test]
fn a_build_on_trial_that_gets_more_than_its_cap_is_caught() {
    let at_trial = |many: u64| {
        move |evidence: &mut Evidence| {
            for i in 0..50 {
                let (id, at) = (100 + i, 10_000 + i as i64);
                evidence.requests.push(request(id, at));
                evidence.attempts.push(attempt(id, at + 5, if i < many { TRIAL } else { 0 }));
            }
        }
    };
    assert_eq!(broken(at_trial(7)), NO_RULES);
    assert_eq!(broken(at_trial(20)), [5]);
}
