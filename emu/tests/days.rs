//! Whole days on the emulator.
use rockpick_emu::experiment::{day, play, Question};
use rockpick_emu::World;
use rockpick_rehearse::day::TROUBLES;
use rockpick_rehearse::Plan;

fn plan(day: &str) -> Plan {
    Plan {
        day: day.into(),
        trouble: Vec::new(),
        seed: 1,
        fronts: 3,
        machines: 12,
        rate: 60.0,
        work_ms: 60.0,
        seconds: None,
        out: None,
        control: "by-count".into(),
        in_place: false,
        one_way: false,
        bad: "errors:0.3".into(),
        agents: false,
        faulty: None,
        quiet: true,
    }
}

#[test]
fn every_trouble_keeps_the_rules_singly_and_two_at_a_time() {
    let names: Vec<&str> = TROUBLES.iter().map(|(name, _)| *name).collect();
    for (i, name) in names.iter().enumerate() {
        let other = names[(7 * i + 3) % names.len()];
        for trouble in [vec![name.to_string()], vec![name.to_string(), other.to_string()]] {
            let plan = Plan { trouble, seed: i as u64, ..plan("quiet") };
            let (line, judgement) = play("a", &plan, &[], plan.seed).unwrap();
            assert_eq!(judgement.breaches, [], "{:?}", plan.trouble);
            assert!(line.service > 0.5, "{:?}: {}", plan.trouble, line.service);
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_record_and_another_one_another() {
    let lines = |seed| {
        let outcome = World::new(day(&plan("morning"), &[], seed, true).unwrap()).unwrap().run();
        format!("{:?} {:?}", outcome.evidence.clients, outcome.evidence.machines)
    };
    let first = lines(5);
    assert!(first == lines(5) && first != lines(6));
}

#[test]
fn bad_builds_of_every_kind_go_back_and_a_good_one_is_released() {
    for bad in ["errors:0.3", "method:0.6", "late:0.5", "wrong:0.5"] {
        let plan = Plan { bad: bad.into(), trouble: vec!["bad_build".into()], rate: 120.0, ..plan("quiet") };
        let (line, _) = play("a", &plan, &[], 3).unwrap();
        assert!(line.back_after.is_some_and(|s| s < 20.0), "{bad}: {:?}", line.stages);
    }
    let (line, _) = play("a", &plan("quiet"), &[], 3).unwrap();
    assert!(line.stages.iter().any(|s| s.1 == 2 && s.3 == "released"), "{:?}", line.stages);
}

/// The settings that differ are in force: a cap broken on purpose is found by the checker.
#[test]
fn the_checker_sees_what_the_fronts_do_against_other_settings() {
    let plan = plan("quiet");
    let played = day(&plan, &["rollout.caps.0=0.9".into(), "rollout.free=30".into()], 2, true).unwrap();
    let outcome = World::new(played).unwrap().run();
    let mut told = rockpick_rehearse::day::charter(&plan).unwrap();
    (told.rollout.caps[0], told.rollout.free) = (0.0, 0.0);
    let mut evidence = outcome.evidence;
    evidence.told.iter_mut().filter(|t| t.phase == 0).for_each(|t| t.cap = 0.05);
    let breaches = rockpick_rehearse::judge::judge(&told, &evidence).breaches;
    assert!(breaches.iter().any(|b| b.rule == 5), "{breaches:?}");
}

/// Guards against the collapse of large tiers under overload.
#[test]
fn two_hundred_fronts_at_twice_the_capacity_go_on_serving() {
    let plan = Plan { fronts: 200, machines: 20, rate: 660.0, seconds: Some(12.0), ..plan("calm") };
    let (line, judgement) = play("a", &plan, &[], 1).unwrap();
    assert_eq!(judgement.breaches, []);
    assert!(line.service > 0.2, "{}", line.service);
}

#[test]
fn a_comparison_stops_when_it_is_settled() {
    let plan = Plan { trouble: vec!["bad_build".into()], ..plan("quiet") };
    let sides = [("a".to_string(), Vec::new()), ("b".to_string(), vec!["rollout.free=2.0".to_string()])];
    let question = Question { plan, sides, seeds: 24, matters: 0.01, threads: 2 };
    let mut heard = 0;
    let (verdict, lines) = question.answer(|_| heard += 1).unwrap();
    assert_eq!((verdict.pairs, lines.len(), heard), (8, 16, 16), "{verdict:?}");
    assert_eq!((verdict.mean, verdict.low, verdict.high), (0.0, 0.0, 0.0), "the same choice twice");
}
