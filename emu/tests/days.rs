//! End-to-end tests of emulated days and experiments.
use rockpick_emu::experiment::{day_of_plan, run_plan};
use rockpick_emu::study::{load, ResultsFile, BASELINE};
use rockpick_emu::{Study, World};
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
        alone: false,
        faulty: None,
        quiet: true,
    }
}

#[test]
fn no_trouble_breaks_a_rule_alone_or_in_pairs() {
    let names: Vec<&str> = TROUBLES.iter().map(|(name, _)| *name).collect();
    for (i, name) in names.iter().enumerate() {
        let other = names[(7 * i + 3) % names.len()];
        for trouble in [vec![name.to_string()], vec![name.to_string(), other.to_string()]] {
            let plan = Plan { trouble, seed: i as u64, ..plan("quiet") };
            let (line, judgement) = run_plan("a", &plan, &[], plan.seed).unwrap();
            assert_eq!(judgement.breaches, [], "{:?}", plan.trouble);
            assert!(line.service > 0.5, "{:?}: {}", plan.trouble, line.service);
        }
    }
}

#[test]
fn the_record_depends_on_the_seed_alone() {
    let lines = |seed| {
        let outcome = World::new(day_of_plan(&plan("morning"), &[], seed, true).unwrap()).unwrap().run();
        format!("{:?} {:?}", outcome.evidence.clients, outcome.evidence.machines)
    };
    let first = lines(5);
    assert!(first == lines(5) && first != lines(6));
}

#[test]
fn bad_builds_of_each_kind_are_sent_back_and_a_good_one_is_released() {
    for bad in ["errors:0.3", "method:0.6", "late:0.5", "wrong:0.5"] {
        let plan = Plan { bad: bad.into(), trouble: vec!["bad_build".into()], rate: 120.0, ..plan("quiet") };
        let (line, _) = run_plan("a", &plan, &[], 3).unwrap();
        assert!(line.back_after.is_some_and(|s| s < 20.0), "{bad}: {:?}", line.stages);
    }
    let (line, _) = run_plan("a", &plan("quiet"), &[], 3).unwrap();
    assert!(line.stages.iter().any(|s| s.1 == 2 && s.3 == "released"), "{:?}", line.stages);
}

/// Changed settings take effect: fronts run with a high cap, and the checker, given a low one, reports a breach.
#[test]
fn the_checker_reports_fronts_that_exceed_the_cap() {
    let plan = plan("quiet");
    let altered =
        day_of_plan(&plan, &["rollout.caps.0=0.9".into(), "rollout.free=30".into()], 2, true).unwrap();
    let outcome = World::new(altered).unwrap().run();
    let mut strict = rockpick_rehearse::day::settings(&plan).unwrap();
    (strict.rollout.caps[0], strict.rollout.free) = (0.0, 0.0);
    let mut evidence = outcome.evidence;
    evidence.stages.iter_mut().filter(|t| t.phase == 0).for_each(|t| t.cap = 0.05);
    let breaches = rockpick_rehearse::judge::judge(&strict, &evidence).breaches;
    assert!(breaches.iter().any(|b| b.rule == 5), "{breaches:?}");
}

/// Guards against the collapse of service of a large tier under overload.
#[test]
fn two_hundred_fronts_keep_serving_at_twice_the_capacity() {
    let plan = Plan { fronts: 200, machines: 20, rate: 660.0, seconds: Some(12.0), ..plan("calm") };
    let (line, judgement) = run_plan("a", &plan, &[], 1).unwrap();
    assert_eq!(judgement.breaches, []);
    assert!(line.service > 0.2, "{}", line.service);
}

fn study(choices: &[&str]) -> Study {
    let plan = Plan { trouble: vec!["bad_build".into()], ..plan("quiet") };
    let choices = choices.iter().map(|c| vec![c.to_string()]).collect();
    Study { rockpick_study: 1, plan, base: Vec::new(), choices, seeds: 24, matters: 0.01 }
}

#[test]
fn a_comparison_stops_when_it_is_settled() {
    let free = rockpick_control::Settings::example(2, 2).rollout.free;
    let study = study(&[&format!("rollout.free={free}"), "plan.rate=20"]);
    let mut results = 0;
    let (verdicts, lines) = study
        .run(2, Vec::new(), |_| {
            results += 1;
            Ok(())
        })
        .unwrap();
    assert_eq!((verdicts[0].pairs, results), (8, lines.len()), "{verdicts:?}");
    assert_eq!(
        (verdicts[0].mean, verdicts[0].low, verdicts[0].high),
        (0.0, 0.0, 0.0),
        "the same choice twice"
    );
    assert!(lines.iter().filter(|l| l.choice == study.variants()[1].0).count() == 8);
}

#[test]
fn an_interrupted_run_resumes_to_the_same_results_after_a_cut_anywhere_in_the_file() {
    let dir = tempfile::tempdir().unwrap();
    let at = dir.path().join("a.jsonl");
    let study = study(&["rollout.dwell_ms=3000"]);
    let (mut file, known) = ResultsFile::open(&at, &study).unwrap();
    assert!(known.is_empty());
    let (complete, _) = study.run(2, known, |line| file.put(line)).unwrap();
    let text = std::fs::read(&at).unwrap();
    let ends: Vec<usize> = (0..text.len()).filter(|i| text[*i] == b'\n').collect();
    // Within the definition, after it, within a line, between lines, within the last line.
    for cut in [10, ends[0] + 1, ends[3] + 40, ends[6] + 1, text.len() - 3] {
        std::fs::write(&at, &text[..cut]).unwrap();
        let (mut file, known) = ResultsFile::open(&at, &study).unwrap();
        let (resumed, _) = study.run(3, known, |line| file.put(line)).unwrap();
        assert_eq!(resumed, complete);
        assert!(std::fs::read(&at).unwrap() == text, "cut at {cut}");
    }
    let other = Study { seeds: 32, ..study };
    assert!(ResultsFile::open(&at, &other).err().unwrap().contains("another question"));
    std::fs::write(&at, [&text[..ends[1] + 1], b"{}\n".as_slice()].concat()).unwrap();
    assert!(load(&at).unwrap_err().contains("line 3"));
}

/// Repeated interim analyses must not raise the rate of false positives above the level.
#[test]
fn equal_choices_are_found_to_differ_in_one_of_twenty_experiments_at_most() {
    use rand::{rngs::StdRng, Rng, SeedableRng};
    let study = Study { matters: 0.0, ..study(&["a"]) };
    let mut rng = StdRng::seed_from_u64(11);
    let mut differing = 0;
    for _ in 0..100 {
        let mut lines = Vec::new();
        for seed in 1..=24 {
            for choice in [BASELINE, "a"] {
                // Skewed as service is: mostly near 1, with occasional congestion.
                let service = 1.0 - 0.05 * -(1.0 - rng.random::<f64>()).ln();
                lines.push(rockpick_emu::DaySummary {
                    choice: choice.into(),
                    seed,
                    service,
                    ..Default::default()
                });
            }
        }
        differing += usize::from(study.verdict("a", &lines).why.unwrap().contains("leaves 0 out"));
    }
    // One in twenty, plus three standard deviations for 100 draws.
    assert!(differing <= 11, "{differing} of 100");
}

#[test]
fn a_difference_of_a_few_per_cent_is_found_and_lies_in_its_interval() {
    use rand::{rngs::StdRng, Rng, SeedableRng};
    let study = study(&["a"]);
    let mut rng = StdRng::seed_from_u64(12);
    let mut lines = Vec::new();
    for seed in 1..=24 {
        let day_mean: f64 = 0.7 + 0.2 * rng.random::<f64>();
        for (choice, difference) in [(BASELINE, 0.0), ("a", 0.03)] {
            let service = day_mean + difference + 0.02 * (rng.random::<f64>() - 0.5);
            lines.push(rockpick_emu::DaySummary {
                choice: choice.into(),
                seed,
                service,
                ..Default::default()
            });
        }
    }
    let verdict = study.verdict("a", &lines);
    assert!(verdict.low > 0.0 && verdict.low < 0.03 && verdict.high > 0.03, "{verdict:?}");
}

/// One tenant sends ten times its share of the load. Limits must protect the service of the others and break no rule.
#[test]
fn a_greedy_tenant_does_not_reduce_the_service_of_others() {
    use rockpick_rehearse::judge::judge;
    let plan = Plan { fronts: 2, rate: 747.0, seconds: Some(12.0), ..plan("calm") };
    let service = |limits: Option<rockpick_emu::TenantLimits>| {
        let mut day = day_of_plan(&plan, &[], 3, true).unwrap();
        (day.load.greedy, day.limits) = (0.839, limits);
        let settings = day.settings.clone();
        let outcome = World::new(day).unwrap().run();
        assert_eq!(judge(&settings, &outcome.evidence).breaches, []);
        outcome.tenant_utility.map(|[asked, served]| served / asked)
    };
    let (unlimited, limited) =
        (service(None), service(Some(rockpick_emu::TenantLimits { share_sums: true, ..Default::default() })));
    assert!(unlimited[1] < 0.65 && limited[1] > 0.85 && limited[2] > 0.85, "{unlimited:?} {limited:?}");
    // A rate limit over both fronts: 20 RPCs a second of some 630.
    let rated =
        service(Some(rockpick_emu::TenantLimits { rates: [Some(20.0), None, None], share_sums: true }));
    assert!(rated[0] < 0.05 && rated[1] > 0.95, "{rated:?}");
}

/// Guards against fronts with little traffic that vote on picks they have not seen. A build that fails only after
/// some time, or only under load, passed all stages although the platform's pick counts showed the failures.
#[test]
fn many_quiet_fronts_do_not_release_a_build_that_fails_late_or_when_full() {
    for (bad, seed) in [("late:0.3", 1), ("late:0.3", 2), ("load:0.3", 3), ("load:0.3", 4)] {
        let (trouble, bad) = (vec!["bad_build".into()], bad.to_string());
        let plan = Plan { fronts: 60, machines: 30, rate: 300.0, trouble, bad, seed, ..plan("quiet") };
        let (line, judgement) = run_plan("a", &plan, &[], seed).unwrap();
        assert_eq!(judgement.breaches, []);
        assert!(line.stages.iter().all(|s| s.1 != 2 || s.3 != "released"), "{}: {:?}", plan.bad, line.stages);
    }
}
