//! The checker of a soak catches a planted fault of each rule, and keeps silent on what the page allows.
use super::checker::*;
use super::LIMITS;
use rockpick_net::{MS, SEC};

const NONE: [u8; 0] = [];
const ID: u64 = 7;
/// The second machine runs a build on trial; the others run the build of the start.
const TRIAL: usize = 1;

fn request(id: u64, sent_ms: i64) -> Request {
    let (sent, wait) = (sent_ms * MS, 400 * MS);
    let answers = vec![(sent + 30 * MS, Answer::Value(value_of(id)))];
    Request { id, life: 0, once: true, sent, due_from: sent, wait, answers, end: None }
}

fn attempt(request: u64, at_ms: i64, machine: usize) -> Attempt {
    Attempt { request, at: at_ms * MS, machine, may_have_run: true, time_left: 300 * MS }
}

fn listing(told_ms: i64, machine: usize, serves: bool) -> Listing {
    let build = if machine == TRIAL { 2 } else { 1 };
    Listing { told: told_ms * MS, machine, build, serves, started: None }
}

/// One request at 10 s, served by machine 0 of three.
fn served() -> Evidence {
    Evidence {
        requests: vec![request(ID, 10_000)],
        attempts: vec![attempt(ID, 10_010, 0)],
        listings: (0..3).map(|machine| listing(0, machine, true)).collect(),
        caps: vec![Cap { told: 0, build: 2, share: 0.2 }],
        lives: vec![Life::default()],
        stuck: Vec::new(),
    }
}

/// The rules that are broken once `plant` has changed what was served.
fn broken(plant: impl FnOnce(&mut Evidence)) -> Vec<u8> {
    let mut evidence = served();
    plant(&mut evidence);
    judge(&LIMITS, &evidence).iter().map(|breach| breach.rule).collect()
}

#[test]
fn what_the_page_allows_is_no_breach() {
    assert_eq!(broken(|_| ()), NONE);
    let ends = [ConnectionEnd::Left(10_005 * MS), ConnectionEnd::Unread(10_001 * MS)];
    for end in ends {
        let allowed = |day: &mut Evidence| {
            (day.requests[0].answers, day.requests[0].end) = (Vec::new(), Some(end));
            day.attempts.clear();
        };
        assert_eq!(broken(allowed), NONE, "{end:?}");
    }
    let killed = |day: &mut Evidence| {
        day.requests[0].answers.clear();
        day.requests[0].end = Some(ConnectionEnd::AfterRead(10_100 * MS));
        day.lives[0].killed = Some(10_100 * MS);
    };
    assert_eq!(broken(killed), NONE, "killed before its time");
    let refused = |day: &mut Evidence| {
        day.attempts[0].may_have_run = false;
        day.attempts.push(attempt(ID, 10_020, 2));
    };
    assert_eq!(broken(refused), NONE, "sent again after a refusal");
}

#[test]
fn a_request_without_its_one_answer_in_time_is_caught() {
    let silent = |day: &mut Evidence| {
        day.requests[0].answers.clear();
        day.requests[0].end = Some(ConnectionEnd::Silent(11_300 * MS));
    };
    assert_eq!(broken(silent), [1]);
    let closed = |day: &mut Evidence| {
        day.requests[0].answers.clear();
        day.requests[0].end = Some(ConnectionEnd::AfterRead(10_050 * MS));
        day.attempts.clear();
    };
    assert_eq!(broken(closed), [1]);
    let killed_late = |day: &mut Evidence| {
        day.requests[0].answers.clear();
        day.lives[0] = Life { terminated: Some(9 * SEC), killed: Some(10_100 * MS), ..Life::default() };
    };
    assert_eq!(broken(killed_late), [1], "sent a second after SIGTERM");
    assert_eq!(broken(|day| day.requests[0].answers[0].0 = 11_300 * MS), [1]);
    assert_eq!(broken(|day| day.requests[0].answers.push((10_040 * MS, Answer::Failed))), [1]);
    assert_eq!(broken(|day| day.requests[0].answers[0].1 = Answer::Value(value_of(8))), [1]);
}

#[test]
fn an_attempt_for_nobody_or_with_too_much_time_is_caught() {
    let gone = |day: &mut Evidence| {
        day.requests[0].answers.clear();
        day.requests[0].end = Some(ConnectionEnd::Left(9_500 * MS));
    };
    assert_eq!(broken(gone), [1]);
    assert_eq!(broken(|day| day.attempts[0].time_left = 2 * SEC), [1]);
}

#[test]
fn a_bad_client_kept_waiting_is_caught() {
    let stuck = Stuck { life: 0, since: 5 * SEC, ended: Some(7 * SEC) };
    assert_eq!(broken(|day| day.stuck.push(stuck)), NONE);
    assert_eq!(broken(|day| day.stuck.push(Stuck { ended: None, ..stuck })), [1]);
}

#[test]
fn an_effect_that_may_happen_twice_is_caught() {
    assert_eq!(broken(|day| day.attempts.push(attempt(ID, 10_020, 2))), [2]);
    assert_eq!(broken(|day| day.requests[0].answers[0].1 = Answer::Rejected), [2]);
}

#[test]
fn an_attempt_past_the_grace_of_a_drain_is_caught() {
    assert_eq!(broken(|day| day.listings.push(listing(9_500, 0, false))), NONE);
    assert_eq!(broken(|day| day.listings.push(listing(8_500, 0, false))), [3]);
}

#[test]
fn a_cold_machine_that_gets_too_much_is_caught() {
    let many = |started_ms: i64| {
        move |day: &mut Evidence| {
            day.listings[2].started = Some(started_ms * MS);
            for i in 0..40 {
                let (id, at) = (100 + i as u64, 10_000 + i);
                day.requests.push(request(id, at - 5));
                day.attempts.push(attempt(id, at, 2));
            }
        }
    };
    assert_eq!(broken(many(2_000)), NONE);
    // Forty of a fleet's forty in a second; warm ones would have a third of them each.
    assert_eq!(broken(many(9_990)), [4]);
}

#[test]
fn a_build_on_trial_that_gets_more_than_its_cap_is_caught() {
    let at_trial = |many: u64| {
        move |day: &mut Evidence| {
            for i in 0..50 {
                let (id, at) = (100 + i, 10_000 + i as i64);
                day.requests.push(request(id, at));
                day.attempts.push(attempt(id, at + 5, if i < many { TRIAL } else { 0 }));
            }
        }
    };
    assert_eq!(broken(at_trial(7)), NONE);
    assert_eq!(broken(at_trial(20)), [5]);
}
