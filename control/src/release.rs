//! The release state machine: offers, stages, votes, rollbacks. It does no I/O and reads no clock: every call is
//! passed the time and the set of running machines.
use crate::settings::Settings;
use rockpick::{Control, Ns, Phase, Verdict};
use std::collections::{BTreeMap, BTreeSet};

const MS: Ns = 1_000_000;
/// A stage's clock starts when all its machines run. After this time half of them are enough, so that one machine
/// that can't start doesn't block the stage for ever.
const FULL_START_TIMEOUT: Ns = 8_000 * MS;

/// Highest build number: notes between fronts carry it in 16 bits.
pub const MAX_BUILD: u32 = 65_535;

/// Running machines, each as the index of its place and its build.
pub type Running = BTreeSet<(usize, u32)>;

#[derive(Clone, Debug, PartialEq)]
struct Vote {
    stage: u32,
    verdict: Verdict,
    at: Ns,
}

/// The build offered last.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    pub build: u32,
    pub stage: u32,
    pub phase: Phase,
    /// When it entered this stage and phase.
    pub since: Ns,
    /// How long this stage has run, without the time before its machines were up and the time on hold.
    pub run_time: Ns,
    clock_started: bool,
    votes: BTreeMap<String, Vote>,
}

/// A change of stage or phase, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    pub build: u32,
    pub stage: u32,
    pub phase: Phase,
    pub why: String,
}

/// Why a vote is not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteRejection {
    /// Not the newest build, or one that is no longer open to this vote.
    Build,
    /// Not the current stage.
    Stage,
    /// The kind of control in force has no such verdict.
    Verdict,
}

#[derive(Clone, Debug)]
pub struct Release {
    /// The build that a rollback returns to.
    pub earlier: u32,
    pub newest: Option<Trial>,
    /// Places in the order in which stages add them, interleaved by zone.
    place_order: Vec<usize>,
    /// Places whose agent can't run the newest build; a stage skips them and takes the next ones in order.
    pub unfit: BTreeSet<usize>,
    /// Machines that are not warm yet; an in-place rollout limits how many there are at a time.
    pub cold: Running,
    last_tick: Ns,
}

/// Orders places by taking one of each zone in turn, so that every stage covers every zone.
fn interleave_zones(settings: &Settings) -> Vec<usize> {
    let mut zones: Vec<Vec<usize>> = vec![Vec::new(); settings.zones.len()];
    for (i, place) in settings.places.iter().enumerate() {
        zones[settings.zone_index(&place.zone) as usize].push(i);
    }
    let rounds = zones.iter().map(Vec::len).max().unwrap_or(0);
    (0..rounds).flat_map(|r| zones.iter().filter_map(move |z| z.get(r).copied())).collect()
}

impl Release {
    pub fn new(settings: &Settings) -> Release {
        Release {
            earlier: settings.first_build,
            newest: None,
            place_order: interleave_zones(settings),
            unfit: BTreeSet::new(),
            cold: Running::new(),
            last_tick: 0,
        }
    }

    /// Takes over changed settings.
    ///
    /// # Errors
    /// The build on trial is in a stage that the new settings don't have.
    pub fn apply_settings(&mut self, settings: &Settings) -> Result<(), &'static str> {
        let stages = settings.rollout.stages.len();
        let on_trial = self.newest.as_ref().filter(|t| t.phase == Phase::OnTrial);
        if on_trial.is_some_and(|t| t.stage as usize >= stages) {
            return Err("the build on trial is past the last of these stages");
        }
        self.place_order = interleave_zones(settings);
        Ok(())
    }

    /// Restores the state from a snapshot.
    pub fn restore(&mut self, now: Ns, earlier: u32, newest: Option<(u32, u32, Phase, Ns, Ns)>) {
        self.earlier = earlier;
        self.last_tick = now;
        self.newest = newest.map(|(build, stage, phase, age, run_time)| Trial {
            build,
            stage,
            phase,
            since: now - age,
            run_time,
            clock_started: run_time > 0,
            votes: BTreeMap::new(),
        });
    }

    /// Offers a build. A previous build still on trial is withdrawn; a released one becomes the build that a rollback
    /// returns to.
    pub fn offer(&mut self, now: Ns, build: u32) -> Result<Option<Transition>, &'static str> {
        let last = self.newest.as_ref().map_or(self.earlier, |t| t.build.max(self.earlier));
        if build <= last {
            return Err("a build's number must be above all before it");
        }
        if build > MAX_BUILD {
            return Err("builds go up to 65535");
        }
        let mut withdrawn = None;
        match &self.newest {
            Some(t) if t.phase == Phase::Released => self.earlier = t.build,
            Some(t) if matches!(t.phase, Phase::OnTrial | Phase::GoingBack) => {
                let why = format!("build {build} was offered");
                withdrawn = Some(Transition { build: t.build, stage: t.stage, phase: Phase::Withdrawn, why });
            }
            _ => {}
        }
        self.unfit.clear();
        self.newest = Some(Trial {
            build,
            stage: 0,
            phase: Phase::OnTrial,
            since: now,
            run_time: 0,
            clock_started: false,
            votes: BTreeMap::new(),
        });
        Ok(withdrawn)
    }

    /// Records a front's vote, which replaces its previous one.
    pub fn vote(
        &mut self, now: Ns, control: Control, front: &str, build: u32, stage: u32, verdict: Verdict,
    ) -> Result<(), VoteRejection> {
        let Some(t) = self.newest.as_mut().filter(|t| t.build == build) else {
            return Err(VoteRejection::Build);
        };
        let open = t.phase == Phase::OnTrial || t.phase == Phase::Released && verdict == Verdict::Back;
        if !open && verdict != Verdict::NoVote {
            return Err(VoteRejection::Build);
        }
        let applies = match verdict {
            Verdict::On => control != Control::Automatic,
            Verdict::Hold => control == Control::Automatic,
            _ => true,
        };
        if !applies {
            return Err(VoteRejection::Verdict);
        }
        if matches!(verdict, Verdict::On | Verdict::Hold) && stage != t.stage {
            return Err(VoteRejection::Stage);
        }
        t.votes.insert(front.into(), Vote { stage, verdict, at: now });
        Ok(())
    }

    /// Starts a rollback on an operator's request.
    pub fn roll_back(&mut self, now: Ns, build: u32, why: &str) -> Result<Transition, VoteRejection> {
        let t = self.newest.as_mut().filter(|t| t.build == build).ok_or(VoteRejection::Build)?;
        if !matches!(t.phase, Phase::OnTrial | Phase::Released) {
            return Err(VoteRejection::Build);
        }
        Ok(t.enter(now, t.stage, Phase::GoingBack, why.into()))
    }

    /// Advances to `now`: drops expired votes, runs the stage's clock, and moves to the next stage or starts a rollback
    /// if the votes say so.
    pub fn tick(&mut self, now: Ns, settings: &Settings, running: &Running) -> Option<Transition> {
        let span = (now - std::mem::replace(&mut self.last_tick, now)).max(0);
        let r = &settings.rollout;
        let vote_life = r.vote_life_ms as Ns * MS;
        let wanted = self.trial_places(settings);
        let earlier = self.earlier;
        let t = self.newest.as_mut()?;
        t.votes.retain(|_, v| now - v.at < vote_life);
        let count = |t: &Trial, verdict: Verdict, stage: Option<u32>| -> u32 {
            let fits = |v: &&Vote| v.verdict == verdict && stage.is_none_or(|s| s == v.stage);
            t.votes.values().filter(fits).count() as u32
        };
        let back_votes = count(t, Verdict::Back, None);
        match t.phase {
            Phase::OnTrial | Phase::Released if back_votes >= r.back_votes.max(1) => {
                let fronts: Vec<&str> = t
                    .votes
                    .iter()
                    .filter(|(_, v)| v.verdict == Verdict::Back)
                    .map(|(f, _)| f.as_str())
                    .collect();
                let why = format!("back votes of {}", fronts.join(", "));
                Some(t.enter(now, t.stage, Phase::GoingBack, why))
            }
            Phase::OnTrial => {
                let up = wanted.iter().filter(|p| running.contains(&(**p, t.build))).count();
                let all_up = up == wanted.len();
                // A few slow machines must not delay the stage, but one of which fewer than half run has shown nothing.
                let late = now - t.since >= FULL_START_TIMEOUT && 2 * up >= wanted.len();
                let on_hold = r.control() == Control::Automatic
                    && count(t, Verdict::Hold, Some(t.stage)) >= r.hold_votes.max(1);
                if t.clock_started && !on_hold {
                    t.run_time += span;
                }
                t.clock_started |= all_up || late;
                let (ready, why) = match r.control() {
                    Control::Automatic => {
                        (t.run_time >= r.step_ms as Ns * MS, "its time is over".to_string())
                    }
                    control => {
                        let on_votes = count(t, Verdict::On, Some(t.stage));
                        let needed = if control == Control::FirstVoice { 1 } else { r.on_votes.max(1) };
                        (
                            t.run_time >= r.dwell_ms as Ns * MS && on_votes >= needed,
                            format!("on votes: {on_votes}"),
                        )
                    }
                };
                if !ready || !t.clock_started {
                    return None;
                }
                let last = t.stage as usize + 1 >= r.stages.len();
                let phase = if last { Phase::Released } else { Phase::OnTrial };
                let stage = if last { t.stage } else { t.stage + 1 };
                Some(t.enter(now, stage, phase, why))
            }
            Phase::GoingBack => {
                let gone = !running.iter().any(|(_, b)| *b == t.build);
                let served = running.iter().any(|(_, b)| *b == earlier);
                (gone && served).then(|| t.enter(now, t.stage, Phase::Withdrawn, "none of it runs".into()))
            }
            _ => None,
        }
    }

    /// The places that run the newest build in the current stage.
    fn trial_places(&self, settings: &Settings) -> Vec<usize> {
        let Some(t) = &self.newest else { return Vec::new() };
        let share = settings.rollout.stages.get(t.stage as usize).copied().unwrap_or(1.0);
        let count = (share * self.place_order.len() as f64 - 1e-9).ceil() as usize;
        let fit = self.place_order.iter().filter(|p| !self.unfit.contains(p)).copied();
        let chosen: Vec<usize> = fit.take(count.clamp(1, self.place_order.len())).collect();
        // If no place is fit, the first one keeps trying.
        if chosen.is_empty() {
            self.place_order[..1].to_vec()
        } else {
            chosen
        }
    }

    /// Limits how many machines of `build` may be starting or cold at a time. In an in-place rollout a replaced
    /// machine's capacity is missing until the new one is warm, and `serving_share` of the places must keep serving.
    fn limit_cold(&self, settings: &Settings, running: &Running, build: u32, wanted: Running) -> Running {
        let max_cold = ((1.0 - settings.rollout.serving_share) * self.place_order.len() as f64)
            .floor()
            .max(1.0) as usize;
        let mut starting_or_cold = self.cold.iter().filter(|(_, b)| *b == build).count();
        let may_run = |&(p, b): &(usize, u32)| {
            b != build || running.contains(&(p, b)) || {
                starting_or_cold += 1;
                starting_or_cold <= max_cold
            }
        };
        let kept: Running = wanted.iter().copied().filter(may_run).collect();
        // Places whose replacement is postponed keep what they run.
        let unchanged: Vec<(usize, u32)> = (wanted.iter().filter(|w| !kept.contains(w)))
            .flat_map(|(p, _)| running.iter().filter(move |(q, _)| p == q).copied())
            .collect();
        kept.into_iter().chain(unchanged).collect()
    }

    /// The machines that should run, given those that do; running machines that are not in the result are drained.
    pub fn wanted(&self, settings: &Settings, running: &Running) -> Running {
        let wanted = self.unpaced_wanted(settings, running);
        let Some(t) = self.newest.as_ref().filter(|_| !settings.rollout.parallel) else { return wanted };
        let build = if t.phase == Phase::GoingBack { self.earlier } else { t.build };
        self.limit_cold(settings, running, build, wanted)
    }

    fn unpaced_wanted(&self, settings: &Settings, running: &Running) -> Running {
        let all = || self.place_order.iter().copied();
        let earlier = all().map(|p| (p, self.earlier));
        let Some(t) = &self.newest else { return earlier.collect() };
        let runs = |p: usize, b: u32| running.contains(&(p, b));
        match t.phase {
            Phase::Withdrawn => earlier.collect(),
            Phase::Released => {
                // In both layouts the earlier build leaves a place only when the new one runs there.
                let left = earlier.filter(|(p, _)| !runs(*p, t.build));
                all().map(|p| (p, t.build)).chain(left.collect::<Vec<_>>()).collect()
            }
            Phase::OnTrial => {
                let chosen: BTreeSet<usize> = self.trial_places(settings).into_iter().collect();
                let parallel = settings.rollout.parallel;
                let earlier_stays = |p: usize| parallel || !chosen.contains(&p) || !runs(p, t.build);
                let old = earlier.filter(|(p, _)| earlier_stays(*p)).collect::<Vec<_>>();
                chosen.iter().map(|p| (*p, t.build)).chain(old).collect()
            }
            Phase::GoingBack => {
                // The new build leaves a place when the earlier one runs there; its cap is 0 in the meantime, so that
                // fronts send it nothing.
                let new =
                    all().filter(|p| runs(*p, t.build) && !runs(*p, self.earlier)).map(|p| (p, t.build));
                earlier.clone().chain(new.collect::<Vec<_>>()).collect()
            }
        }
    }

    /// What fronts are told: build, stage, phase, cap, and the time of the last transition.
    pub fn announcement(&self, settings: &Settings) -> (u32, u32, Phase, f64, Ns) {
        let Some(t) = &self.newest else { return (self.earlier, 0, Phase::Released, 1.0, 0) };
        let cap = match t.phase {
            Phase::OnTrial => settings.rollout.caps.get(t.stage as usize).copied().unwrap_or(0.0),
            Phase::Released => 1.0,
            _ => 0.0,
        };
        (t.build, t.stage, t.phase, cap, t.since)
    }

    /// The votes in force, by front.
    pub fn votes(&self) -> Vec<(String, Verdict)> {
        let votes = self.newest.iter().flat_map(|t| &t.votes);
        votes.map(|(front, v)| (front.clone(), v.verdict)).collect()
    }
}

impl Trial {
    fn enter(&mut self, now: Ns, stage: u32, phase: Phase, why: String) -> Transition {
        (self.stage, self.phase, self.since, self.run_time, self.clock_started) =
            (stage, phase, now, 0, false);
        self.votes.retain(|_, v| v.verdict == Verdict::Back && phase == Phase::OnTrial);
        Transition { build: self.build, stage, phase, why }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::ControlKind;

    const SEC: Ns = 1_000 * MS;

    fn settings(control: ControlKind, parallel: bool) -> Settings {
        let mut settings = Settings::example(5, 10);
        (settings.rollout.control, settings.rollout.parallel) = (control, parallel);
        (settings.rollout.on_votes, settings.rollout.back_votes) = (3, 2);
        settings.rollout.step_ms = 3_000;
        settings
    }

    fn run_wanted(release: &Release, settings: &Settings, running: &mut Running) {
        *running = release.wanted(settings, running);
        *running = release.wanted(settings, running);
    }

    #[test]
    fn by_count_advances_with_enough_votes_after_the_dwell_and_not_before() {
        let settings = settings(ControlKind::ByCount, true);
        let (mut release, mut running) = (Release::new(&settings), Running::new());
        run_wanted(&release, &settings, &mut running);
        release.offer(0, 2).unwrap();
        assert_eq!(release.wanted(&settings, &running).iter().filter(|(_, b)| *b == 2).count(), 1);
        assert_eq!(release.wanted(&settings, &running).len(), 11, "machines of the earlier build stay");
        release.tick(SEC, &settings, &running);
        for f in ["f0", "f1", "f2"] {
            release.vote(SEC, Control::ByCount, f, 2, 0, Verdict::On).unwrap();
        }
        assert_eq!(release.tick(2 * SEC, &settings, &running), None, "its machine does not run yet");
        run_wanted(&release, &settings, &mut running);
        assert_eq!(release.tick(2 * SEC, &settings, &running), None, "the clock starts here");
        assert_eq!(release.tick(2 * SEC + 999 * MS, &settings, &running), None);
        assert_eq!(release.tick(3 * SEC, &settings, &running).unwrap().stage, 1);
        assert_eq!(
            release.vote(3 * SEC, Control::ByCount, "f0", 2, 0, Verdict::On),
            Err(VoteRejection::Stage)
        );
        for at in [13, 14, 24, 25] {
            run_wanted(&release, &settings, &mut running);
            for f in ["f0", "f1", "f2"] {
                let stage = release.newest.as_ref().unwrap().stage;
                release.vote(at * SEC, Control::ByCount, f, 2, stage, Verdict::On).unwrap();
            }
            release.tick(at * SEC, &settings, &running);
        }
        assert_eq!(release.newest.as_ref().unwrap().phase, Phase::Released);
        run_wanted(&release, &settings, &mut running);
        assert!(running.iter().all(|(_, b)| *b == 2));
    }

    #[test]
    fn votes_expire_and_enough_current_ones_roll_back_also_after_the_release() {
        let settings = settings(ControlKind::ByCount, true);
        let mut release = Release::new(&settings);
        release.restore(0, 1, Some((2, 2, Phase::Released, SEC, 0)));
        let mut running: Running = (0..10).map(|p| (p, 2)).collect();
        release.vote(0, Control::ByCount, "f0", 2, 0, Verdict::Back).unwrap();
        release.vote(5 * SEC, Control::ByCount, "f1", 2, 0, Verdict::Back).unwrap();
        assert_eq!(release.tick(5 * SEC, &settings, &running), None, "f0's vote has expired");
        release.vote(6 * SEC, Control::ByCount, "f0", 2, 0, Verdict::Back).unwrap();
        assert_eq!(release.tick(6 * SEC, &settings, &running).unwrap().phase, Phase::GoingBack);
        assert_eq!(release.announcement(&settings).3, 0.0);
        let wanted = release.wanted(&settings, &running);
        assert_eq!(wanted.len(), 20, "machines of the bad build stay until those of the earlier one run");
        running = wanted;
        running = release.wanted(&settings, &running);
        assert_eq!(release.tick(7 * SEC, &settings, &running).unwrap().phase, Phase::Withdrawn);
        assert_eq!(
            release.vote(8 * SEC, Control::ByCount, "f0", 2, 0, Verdict::Back),
            Err(VoteRejection::Build)
        );
    }

    #[test]
    fn automatic_control_advances_by_time_and_pauses_on_hold() {
        let settings = settings(ControlKind::Automatic, false);
        let (mut release, mut running) = (Release::new(&settings), Running::new());
        run_wanted(&release, &settings, &mut running);
        release.offer(0, 2).unwrap();
        run_wanted(&release, &settings, &mut running);
        assert_eq!(running.len(), 10, "in place: the earlier build leaves when its successor runs");
        release.tick(0, &settings, &running);
        assert_eq!(release.vote(0, Control::Automatic, "f0", 2, 0, Verdict::On), Err(VoteRejection::Verdict));
        release.tick(2 * SEC, &settings, &running);
        release.vote(2 * SEC, Control::Automatic, "f0", 2, 0, Verdict::Hold).unwrap();
        assert_eq!(release.tick(5 * SEC, &settings, &running), None, "on hold");
        assert_eq!(release.tick(8 * SEC, &settings, &running).unwrap().stage, 1, "the hold has expired");
    }

    #[test]
    fn in_place_cold_and_starting_machines_are_limited_and_unfit_places_are_skipped() {
        let mut settings = settings(ControlKind::ByCount, false);
        (settings.rollout.stages, settings.rollout.serving_share) = (vec![0.5, 0.8, 1.0], 0.75);
        let mut release = Release::new(&settings);
        let mut running: Running = (0..10).map(|p| (p, 1)).collect();
        release.offer(0, 2).unwrap();
        let new_machines = |r: &Release, running: &Running| {
            let wanted = r.wanted(&settings, running);
            assert!((0..10).all(|p| wanted.iter().any(|(q, _)| *q == p)), "every place keeps serving");
            wanted.into_iter().filter(|w| w.1 == 2 && !running.contains(w)).collect::<Vec<_>>()
        };
        let first = new_machines(&release, &running);
        assert_eq!(first.len(), 2, "a quarter of ten places");
        running.extend(&first);
        release.cold.extend(&first);
        assert_eq!(new_machines(&release, &running), []);
        release.cold.clear();
        assert_eq!(new_machines(&release, &running).len(), 2);
        // Places whose agents fail are skipped, and a stage of which fewer than half run does not advance.
        release.unfit = (0..5).collect();
        assert!(new_machines(&release, &running).iter().all(|(p, _)| *p >= 5));
        for at in [1, 20, 21] {
            for f in ["f0", "f1", "f2"] {
                release.vote(at * SEC, Control::ByCount, f, 2, 0, Verdict::On).unwrap();
            }
            assert_eq!(release.tick(at * SEC, &settings, &(0..10).map(|p| (p, 1)).collect()), None);
        }
    }

    #[test]
    fn a_newer_offer_withdraws_the_build_on_trial_and_an_older_one_is_refused() {
        let settings = settings(ControlKind::FirstVoice, true);
        let mut release = Release::new(&settings);
        release.offer(0, 2).unwrap();
        assert_eq!(release.offer(SEC, 3).unwrap().unwrap().build, 2);
        assert!(release.offer(SEC, 3).is_err() && release.offer(SEC, 70_000).is_err());
        assert_eq!(release.earlier, 1);
        assert!(!release.wanted(&settings, &Running::new()).iter().any(|(_, b)| *b == 2));
    }

    /// Rule 5 depends on this: fronts are told the cap of the current stage, and 0 during a rollback. A front's second
    /// vote replaces its first, also after a restart of the front.
    #[test]
    fn each_stage_announces_its_own_cap_and_a_front_has_one_vote() {
        let settings = Settings::example(4, 4);
        let mut release = Release::new(&settings);
        assert_eq!(release.announcement(&settings).3, 1.0);
        release.offer(0, 2).unwrap();
        for stage in 0..3 {
            release.newest.as_mut().unwrap().stage = stage;
            assert_eq!(release.announcement(&settings).3, settings.rollout.caps[stage as usize]);
        }
        release.newest.as_mut().unwrap().stage = 0;
        for verdict in [Verdict::On, Verdict::On, Verdict::Back] {
            release.vote(0, Control::ByCount, "f0", 2, 0, verdict).unwrap();
        }
        assert_eq!(release.votes(), [("f0".to_string(), Verdict::Back)]);
        release.roll_back(0, 2, "a test").unwrap();
        assert_eq!(release.announcement(&settings).3, 0.0);
    }
}
