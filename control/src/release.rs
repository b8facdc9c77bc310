//! The release state machine: offers, stages, votes, going back. No I/O and no clock: every call is told
//! the time and what runs where.
use crate::settings::Settings;
use rockpick::{Control, Ns, Phase, Verdict};
use std::collections::{BTreeMap, BTreeSet};

const MS: Ns = 1_000_000;
/// A stage's clock starts when all its machines run; this long after its order half of them are enough, as one
/// that can't start must not hold a stage for ever.
const START_WITHIN: Ns = 8_000 * MS;

/// Highest number of a build: notes between fronts carry it in 16 bits.
pub const MAX_BUILD: u32 = 65_535;

/// What runs: place and build.
pub type Running = BTreeSet<(usize, u32)>;

#[derive(Clone, Debug, PartialEq)]
struct Vote {
    stage: u32,
    verdict: Verdict,
    at: Ns,
}

/// The newest build that was offered.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    pub build: u32,
    pub stage: u32,
    pub phase: Phase,
    /// Since when it has been in this stage and phase.
    pub since: Ns,
    /// How long this stage has run, all its machines up and nobody holding.
    pub run_time: Ns,
    clock: bool,
    votes: BTreeMap<String, Vote>,
}

/// What moved, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    pub build: u32,
    pub stage: u32,
    pub phase: Phase,
    pub why: String,
}

/// Why a vote does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteRejection {
    /// Not the present build, or it can't be voted on any more.
    Build,
    /// Not the present stage.
    Stage,
    /// No such verdict under this kind of control.
    Verdict,
}

#[derive(Clone, Debug)]
pub struct Release {
    /// The build to go back to.
    pub earlier: u32,
    pub newest: Option<Trial>,
    /// Places in the order in which stages take them: zone by zone in turn.
    order: Vec<usize>,
    /// Places whose agent can't run the newest build: others take their turn, and they count for no progress.
    pub unfit: BTreeSet<usize>,
    /// Machines that are not warm yet: in place, only so many at once.
    pub cold: Running,
    ticked: Ns,
}

/// Takes places zone by zone in turn, so that every stage meets every zone.
fn order(settings: &Settings) -> Vec<usize> {
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
            order: order(settings),
            unfit: BTreeSet::new(),
            cold: Running::new(),
            ticked: 0,
        }
    }

    /// Goes on under another settings; the trial's stage must exist there.
    pub fn apply_settings(&mut self, settings: &Settings) -> Result<(), &'static str> {
        let stages = settings.rollout.stages.len();
        let on_trial = self.newest.as_ref().filter(|t| t.phase == Phase::OnTrial);
        if on_trial.is_some_and(|t| t.stage as usize >= stages) {
            return Err("the build on trial is past the last of these stages");
        }
        self.order = order(settings);
        Ok(())
    }

    /// Brings back what a snapshot kept.
    pub fn restore(&mut self, now: Ns, earlier: u32, newest: Option<(u32, u32, Phase, Ns, Ns)>) {
        self.earlier = earlier;
        self.ticked = now;
        self.newest = newest.map(|(build, stage, phase, age, run_time)| Trial {
            build,
            stage,
            phase,
            since: now - age,
            run_time,
            clock: run_time > 0,
            votes: BTreeMap::new(),
        });
    }

    /// Offers a build. One still on trial is taken off by it; one released becomes the one to go back to.
    pub fn offer(&mut self, now: Ns, build: u32) -> Result<Option<Transition>, &'static str> {
        let last = self.newest.as_ref().map_or(self.earlier, |t| t.build.max(self.earlier));
        if build <= last {
            return Err("a build's number must be above all before it");
        }
        if build > MAX_BUILD {
            return Err("builds go up to 65535");
        }
        let mut off = None;
        match &self.newest {
            Some(t) if t.phase == Phase::Released => self.earlier = t.build,
            Some(t) if matches!(t.phase, Phase::OnTrial | Phase::GoingBack) => {
                let why = format!("build {build} was offered");
                off = Some(Transition { build: t.build, stage: t.stage, phase: Phase::Withdrawn, why });
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
            clock: false,
            votes: BTreeMap::new(),
        });
        Ok(off)
    }

    /// A front's vote; it replaces the one before.
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
        let known = match verdict {
            Verdict::On => control != Control::Automatic,
            Verdict::Hold => control == Control::Automatic,
            _ => true,
        };
        if !known {
            return Err(VoteRejection::Verdict);
        }
        if matches!(verdict, Verdict::On | Verdict::Hold) && stage != t.stage {
            return Err(VoteRejection::Stage);
        }
        t.votes.insert(front.into(), Vote { stage, verdict, at: now });
        Ok(())
    }

    /// An operator sends the build back.
    pub fn roll_back(&mut self, now: Ns, build: u32, why: &str) -> Result<Transition, VoteRejection> {
        let t = self.newest.as_mut().filter(|t| t.build == build).ok_or(VoteRejection::Build)?;
        if !matches!(t.phase, Phase::OnTrial | Phase::Released) {
            return Err(VoteRejection::Build);
        }
        Ok(t.turn(now, t.stage, Phase::GoingBack, why.into()))
    }

    /// Lets time pass: counts standing votes, runs the stage's clock, moves on or back.
    pub fn tick(&mut self, now: Ns, settings: &Settings, running: &Running) -> Option<Transition> {
        let span = (now - std::mem::replace(&mut self.ticked, now)).max(0);
        let r = &settings.rollout;
        let life = r.vote_life_ms as Ns * MS;
        let wanted = self.chosen(settings);
        let earlier = self.earlier;
        let t = self.newest.as_mut()?;
        t.votes.retain(|_, v| now - v.at < life);
        let count = |t: &Trial, verdict: Verdict, stage: Option<u32>| -> u32 {
            let fits = |v: &&Vote| v.verdict == verdict && stage.is_none_or(|s| s == v.stage);
            t.votes.values().filter(fits).count() as u32
        };
        let backs = count(t, Verdict::Back, None);
        match t.phase {
            Phase::OnTrial | Phase::Released if backs >= r.back_votes.max(1) => {
                let fronts: Vec<&str> = t
                    .votes
                    .iter()
                    .filter(|(_, v)| v.verdict == Verdict::Back)
                    .map(|(f, _)| f.as_str())
                    .collect();
                let why = format!("back votes of {}", fronts.join(", "));
                Some(t.turn(now, t.stage, Phase::GoingBack, why))
            }
            Phase::OnTrial => {
                let up = wanted.iter().filter(|p| running.contains(&(**p, t.build))).count();
                let all_up = up == wanted.len();
                // A few that are slow to start hold nothing up; a stage of which most never came says nothing.
                let late = now - t.since >= START_WITHIN && 2 * up >= wanted.len();
                let held = r.control() == Control::Automatic
                    && count(t, Verdict::Hold, Some(t.stage)) >= r.hold_votes.max(1);
                if t.clock && !held {
                    t.run_time += span;
                }
                t.clock |= all_up || late;
                let (ready, why) = match r.control() {
                    Control::Automatic => {
                        (t.run_time >= r.step_ms as Ns * MS, "its time is over".to_string())
                    }
                    control => {
                        let ons = count(t, Verdict::On, Some(t.stage));
                        let needed = if control == Control::FirstVoice { 1 } else { r.on_votes.max(1) };
                        (t.run_time >= r.dwell_ms as Ns * MS && ons >= needed, format!("on votes: {ons}"))
                    }
                };
                if !ready || !t.clock {
                    return None;
                }
                let last = t.stage as usize + 1 >= r.stages.len();
                let phase = if last { Phase::Released } else { Phase::OnTrial };
                let stage = if last { t.stage } else { t.stage + 1 };
                Some(t.turn(now, stage, phase, why))
            }
            Phase::GoingBack => {
                let gone = !running.iter().any(|(_, b)| *b == t.build);
                let served = running.iter().any(|(_, b)| *b == earlier);
                (gone && served).then(|| t.turn(now, t.stage, Phase::Withdrawn, "none of it runs".into()))
            }
            _ => None,
        }
    }

    /// The places that the present stage gives to the newest build.
    fn chosen(&self, settings: &Settings) -> Vec<usize> {
        let Some(t) = &self.newest else { return Vec::new() };
        let share = settings.rollout.stages.get(t.stage as usize).copied().unwrap_or(1.0);
        let many = (share * self.order.len() as f64 - 1e-9).ceil() as usize;
        let fit = self.order.iter().filter(|p| !self.unfit.contains(p)).copied();
        let chosen: Vec<usize> = fit.take(many.clamp(1, self.order.len())).collect();
        // Where no place is fit, the first ones go on trying.
        if chosen.is_empty() {
            self.order[..1].to_vec()
        } else {
            chosen
        }
    }

    /// In place, every replacement takes a machine's capacity away for as long as the new one is cold: of the
    /// builds that should come, only so many are wanted at a time that the told share goes on serving.
    fn paced(&self, settings: &Settings, running: &Running, build: u32, wanted: Running) -> Running {
        let most =
            ((1.0 - settings.rollout.serving_share) * self.order.len() as f64).floor().max(1.0) as usize;
        let mut busy = self.cold.iter().filter(|(_, b)| *b == build).count();
        let comes = |&(p, b): &(usize, u32)| {
            b != build || running.contains(&(p, b)) || {
                busy += 1;
                busy <= most
            }
        };
        let kept: Running = wanted.iter().copied().filter(comes).collect();
        // What is not replaced yet stays as it is.
        let stay: Vec<(usize, u32)> = (wanted.iter().filter(|w| !kept.contains(w)))
            .flat_map(|(p, _)| running.iter().filter(move |(q, _)| p == q).copied())
            .collect();
        kept.into_iter().chain(stay).collect()
    }

    /// What should run where, given what runs: machines not in it are drained.
    pub fn wanted(&self, settings: &Settings, running: &Running) -> Running {
        let wanted = self.all_wanted(settings, running);
        let Some(t) = self.newest.as_ref().filter(|_| !settings.rollout.parallel) else { return wanted };
        let build = if t.phase == Phase::GoingBack { self.earlier } else { t.build };
        self.paced(settings, running, build, wanted)
    }

    fn all_wanted(&self, settings: &Settings, running: &Running) -> Running {
        let all = || self.order.iter().copied();
        let earlier = all().map(|p| (p, self.earlier));
        let Some(t) = &self.newest else { return earlier.collect() };
        let runs = |p: usize, b: u32| running.contains(&(p, b));
        match t.phase {
            Phase::Withdrawn => earlier.collect(),
            Phase::Released => {
                // In either layout the earlier build leaves a place only once the new one runs there.
                let left = earlier.filter(|(p, _)| !runs(*p, t.build));
                all().map(|p| (p, t.build)).chain(left.collect::<Vec<_>>()).collect()
            }
            Phase::OnTrial => {
                let chosen: BTreeSet<usize> = self.chosen(settings).into_iter().collect();
                let parallel = settings.rollout.parallel;
                let stays = |p: usize| parallel || !chosen.contains(&p) || !runs(p, t.build);
                let old = earlier.filter(|(p, _)| stays(*p)).collect::<Vec<_>>();
                chosen.iter().map(|p| (*p, t.build)).chain(old).collect()
            }
            Phase::GoingBack => {
                // It goes from a place once the earlier one runs there; nothing is sent to it meanwhile.
                let new =
                    all().filter(|p| runs(*p, t.build) && !runs(*p, self.earlier)).map(|p| (p, t.build));
                earlier.clone().chain(new.collect::<Vec<_>>()).collect()
            }
        }
    }

    /// Build, stage, phase, cap and since when: what fronts are told.
    pub fn announcement(&self, settings: &Settings) -> (u32, u32, Phase, f64, Ns) {
        let Some(t) = &self.newest else { return (self.earlier, 0, Phase::Released, 1.0, 0) };
        let cap = match t.phase {
            Phase::OnTrial => settings.rollout.caps.get(t.stage as usize).copied().unwrap_or(0.0),
            Phase::Released => 1.0,
            _ => 0.0,
        };
        (t.build, t.stage, t.phase, cap, t.since)
    }

    /// Standing votes, for whoever asks.
    pub fn votes(&self) -> Vec<(String, Verdict)> {
        let votes = self.newest.iter().flat_map(|t| &t.votes);
        votes.map(|(front, v)| (front.clone(), v.verdict)).collect()
    }
}

impl Trial {
    fn turn(&mut self, now: Ns, stage: u32, phase: Phase, why: String) -> Transition {
        (self.stage, self.phase, self.since, self.run_time, self.clock) = (stage, phase, now, 0, false);
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

    fn reconcile(release: &Release, settings: &Settings, running: &mut Running) {
        *running = release.wanted(settings, running);
        *running = release.wanted(settings, running);
    }

    #[test]
    fn by_count_moves_on_with_enough_votes_after_the_dwell_and_no_sooner() {
        let settings = settings(ControlKind::ByCount, true);
        let (mut release, mut running) = (Release::new(&settings), Running::new());
        reconcile(&release, &settings, &mut running);
        release.offer(0, 2).unwrap();
        assert_eq!(release.wanted(&settings, &running).iter().filter(|(_, b)| *b == 2).count(), 1);
        assert_eq!(release.wanted(&settings, &running).len(), 11, "the earlier machines stay");
        release.tick(SEC, &settings, &running);
        for f in ["f0", "f1", "f2"] {
            release.vote(SEC, Control::ByCount, f, 2, 0, Verdict::On).unwrap();
        }
        assert_eq!(release.tick(2 * SEC, &settings, &running), None, "its machine does not run yet");
        reconcile(&release, &settings, &mut running);
        assert_eq!(release.tick(2 * SEC, &settings, &running), None, "the clock starts here");
        assert_eq!(release.tick(2 * SEC + 999 * MS, &settings, &running), None);
        assert_eq!(release.tick(3 * SEC, &settings, &running).unwrap().stage, 1);
        assert_eq!(
            release.vote(3 * SEC, Control::ByCount, "f0", 2, 0, Verdict::On),
            Err(VoteRejection::Stage)
        );
        for at in [13, 14, 24, 25] {
            reconcile(&release, &settings, &mut running);
            for f in ["f0", "f1", "f2"] {
                let stage = release.newest.as_ref().unwrap().stage;
                release.vote(at * SEC, Control::ByCount, f, 2, stage, Verdict::On).unwrap();
            }
            release.tick(at * SEC, &settings, &running);
        }
        assert_eq!(release.newest.as_ref().unwrap().phase, Phase::Released);
        reconcile(&release, &settings, &mut running);
        assert!(running.iter().all(|(_, b)| *b == 2));
    }

    #[test]
    fn votes_lapse_and_only_enough_standing_ones_send_back_also_after_the_release() {
        let settings = settings(ControlKind::ByCount, true);
        let mut release = Release::new(&settings);
        release.restore(0, 1, Some((2, 2, Phase::Released, SEC, 0)));
        let mut running: Running = (0..10).map(|p| (p, 2)).collect();
        release.vote(0, Control::ByCount, "f0", 2, 0, Verdict::Back).unwrap();
        release.vote(5 * SEC, Control::ByCount, "f1", 2, 0, Verdict::Back).unwrap();
        assert_eq!(release.tick(5 * SEC, &settings, &running), None, "f0's vote has lapsed");
        release.vote(6 * SEC, Control::ByCount, "f0", 2, 0, Verdict::Back).unwrap();
        assert_eq!(release.tick(6 * SEC, &settings, &running).unwrap().phase, Phase::GoingBack);
        assert_eq!(release.announcement(&settings).3, 0.0);
        let wanted = release.wanted(&settings, &running);
        assert_eq!(wanted.len(), 20, "the bad ones stay until the earlier ones run");
        running = wanted;
        running = release.wanted(&settings, &running);
        assert_eq!(release.tick(7 * SEC, &settings, &running).unwrap().phase, Phase::Withdrawn);
        assert_eq!(
            release.vote(8 * SEC, Control::ByCount, "f0", 2, 0, Verdict::Back),
            Err(VoteRejection::Build)
        );
    }

    #[test]
    fn automatic_control_moves_by_time_and_stands_still_on_hold() {
        let settings = settings(ControlKind::Automatic, false);
        let (mut release, mut running) = (Release::new(&settings), Running::new());
        reconcile(&release, &settings, &mut running);
        release.offer(0, 2).unwrap();
        reconcile(&release, &settings, &mut running);
        assert_eq!(running.len(), 10, "in place: the earlier one leaves once its successor runs");
        release.tick(0, &settings, &running);
        assert_eq!(release.vote(0, Control::Automatic, "f0", 2, 0, Verdict::On), Err(VoteRejection::Verdict));
        release.tick(2 * SEC, &settings, &running);
        release.vote(2 * SEC, Control::Automatic, "f0", 2, 0, Verdict::Hold).unwrap();
        assert_eq!(release.tick(5 * SEC, &settings, &running), None, "held");
        assert_eq!(release.tick(8 * SEC, &settings, &running).unwrap().stage, 1, "the hold has lapsed");
    }

    #[test]
    fn in_place_only_so_many_are_cold_or_starting_at_once_and_unfit_places_count_for_nothing() {
        let mut settings = settings(ControlKind::ByCount, false);
        (settings.rollout.stages, settings.rollout.serving_share) = (vec![0.5, 0.8, 1.0], 0.75);
        let mut release = Release::new(&settings);
        let mut running: Running = (0..10).map(|p| (p, 1)).collect();
        release.offer(0, 2).unwrap();
        let coming = |r: &Release, running: &Running| {
            let wanted = r.wanted(&settings, running);
            assert!((0..10).all(|p| wanted.iter().any(|(q, _)| *q == p)), "every place goes on serving");
            wanted.into_iter().filter(|w| w.1 == 2 && !running.contains(w)).collect::<Vec<_>>()
        };
        let first = coming(&release, &running);
        assert_eq!(first.len(), 2, "a quarter of ten places");
        running.extend(&first);
        release.cold.extend(&first);
        assert_eq!(coming(&release, &running), []);
        release.cold.clear();
        assert_eq!(coming(&release, &running).len(), 2);
        // Places whose agents fail are left out, and a stage of which most never came does not move.
        release.unfit = (0..5).collect();
        assert!(coming(&release, &running).iter().all(|(p, _)| *p >= 5));
        for at in [1, 20, 21] {
            for f in ["f0", "f1", "f2"] {
                release.vote(at * SEC, Control::ByCount, f, 2, 0, Verdict::On).unwrap();
            }
            assert_eq!(release.tick(at * SEC, &settings, &(0..10).map(|p| (p, 1)).collect()), None);
        }
    }

    #[test]
    fn a_newer_offer_takes_off_one_on_trial_and_an_older_one_is_refused() {
        let settings = settings(ControlKind::FirstVoice, true);
        let mut release = Release::new(&settings);
        release.offer(0, 2).unwrap();
        assert_eq!(release.offer(SEC, 3).unwrap().unwrap().build, 2);
        assert!(release.offer(SEC, 3).is_err() && release.offer(SEC, 70_000).is_err());
        assert_eq!(release.earlier, 1);
        assert!(!release.wanted(&settings, &Running::new()).iter().any(|(_, b)| *b == 2));
    }

    /// Rule 5 begins here: what fronts are told is the cap of the very stage, and none once it goes back. And a
    /// front's second vote, of a later run too, takes the place of its first.
    #[test]
    fn each_stage_tells_its_own_cap_and_a_front_has_one_vote() {
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
