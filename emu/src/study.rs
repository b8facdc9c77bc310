//! Questions between choices: the same seeds for all, differences by pair, a stop once each is settled, and a
//! file from which a run that was cut off goes on.
//!
//! Looking again and again, at several choices, would find something by chance sooner or later: each look at
//! each choice gets its part of the 5% (Bonferroni), so that all together err in 1 of 20 experiments at most.
use crate::experiment::{interval, play, spread};
use crate::line::Line;
use rockpick_rehearse::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;

/// The chance of an interval that misses, over all looks and choices.
const ALPHA: f64 = 0.05;
/// Pairs before the first look, and between looks.
pub const FIRST_LOOK: usize = 8;
/// The side that all others are set against.
pub const BASE: &str = "as it is";
/// The largest file of lines that is read.
const MOST_BYTES: u64 = 4 << 30;

/// A question, as the first line of its file holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Study {
    /// The format of what follows.
    pub rockpick_study: u32,
    pub plan: Plan,
    /// What differs from the example on all sides.
    pub base: Vec<String>,
    /// What else differs on each other side.
    pub choices: Vec<Vec<String>>,
    pub seeds: usize,
    /// A difference of service smaller than this does not matter.
    pub matters: f64,
}

/// What a comparison came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    pub choice: String,
    pub pairs: usize,
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    /// Why it ended there; open: it has not.
    pub why: Option<String>,
}

impl Study {
    /// Names and changes of all sides.
    pub fn sides(&self) -> Vec<(String, Vec<String>)> {
        let side = |more: &Vec<String>| (more.join(" "), self.base.iter().chain(more).cloned().collect());
        std::iter::once((BASE.into(), self.base.clone())).chain(self.choices.iter().map(side)).collect()
    }

    /// Looks at a choice as often as the lines allow, as if they had come one by one.
    pub fn verdict(&self, choice: &str, lines: &[Line]) -> Verdict {
        let side = |name: &str| -> BTreeMap<u64, f64> {
            lines.iter().filter(|l| l.choice == name).map(|l| (l.seed, l.service)).collect()
        };
        let (base, other) = (side(BASE), side(choice));
        // In the order of seeds, without a gap: a pair must not count because it happened to be ready.
        let seeds = (0..self.seeds as u64).map(|s| self.plan.seed + s);
        let pairs: Vec<f64> = seeds.map_while(|s| Some(other.get(&s)? - base.get(&s)?)).collect();
        let looks = self.seeds.div_ceil(FIRST_LOOK).max(1);
        let alpha = ALPHA / (looks * self.choices.len().max(1)) as f64;
        let mut verdict =
            Verdict { choice: choice.into(), pairs: 0, mean: 0.0, low: 0.0, high: 0.0, why: None };
        let ends = (1..=looks).map(|l| (l * FIRST_LOOK).min(self.seeds));
        for end in ends.take_while(|end| *end <= pairs.len()) {
            let (mean, low, high) = interval(&pairs[..end], alpha, self.plan.seed);
            (verdict.pairs, verdict.mean, verdict.low, verdict.high) = (end, mean, low, high);
            verdict.why = match () {
                () if low > 0.0 || high < 0.0 => Some("settled: the interval leaves 0 out".into()),
                () if low > -self.matters && high < self.matters => {
                    Some("settled: no difference that matters".into())
                }
                () if end == self.seeds => Some("the seeds are spent".into()),
                () => None,
            };
            if verdict.why.is_some() {
                break;
            }
        }
        verdict
    }

    pub fn verdicts(&self, lines: &[Line]) -> Vec<Verdict> {
        self.sides()[1..].iter().map(|(name, _)| self.verdict(name, lines)).collect()
    }

    /// Plays what is missing until each choice is settled or the seeds are spent; `heard` gets new lines in the
    /// order of their seeds.
    ///
    /// # Errors
    /// A side that can't be set up, and what `heard` says.
    pub fn answer(
        &self, threads: usize, mut lines: Vec<Line>, mut heard: impl FnMut(&Line) -> Result<(), String>,
    ) -> Result<(Vec<Verdict>, Vec<Line>), String> {
        let sides = self.sides();
        for end in (1..=self.seeds.div_ceil(FIRST_LOOK)).map(|l| (l * FIRST_LOOK).min(self.seeds)) {
            let verdicts = self.verdicts(&lines);
            let open: Vec<&(String, Vec<String>)> = (sides.iter().enumerate())
                .filter(|(i, _)| match i {
                    0 => verdicts.iter().any(|v| v.why.is_none()),
                    i => verdicts[i - 1].why.is_none(),
                })
                .map(|(_, side)| side)
                .collect();
            let known = |name: &str, seed: u64| lines.iter().any(|l| l.choice == name && l.seed == seed);
            let seeds = (0..end as u64).map(|s| self.plan.seed + s);
            let tasks: Vec<(&str, &[String], u64)> = seeds
                .flat_map(|seed| open.iter().map(move |(name, changes)| (name.as_str(), &changes[..], seed)))
                .filter(|(name, _, seed)| !known(name, *seed))
                .collect();
            let run = |(choice, changes, seed): &(&str, &[String], u64)| {
                play(choice, &self.plan, changes, *seed).map(|(line, _)| line)
            };
            for line in spread(threads, &tasks, run)? {
                heard(&line)?;
                lines.push(line);
            }
        }
        Ok((self.verdicts(&lines), lines))
    }
}

/// A study's file: its question, then a line a day.
pub struct Lines(File);

impl Lines {
    /// Opens a file for a question, or goes on with one that holds the same; a torn last line is cut off.
    ///
    /// # Errors
    /// Names the line that is none, and the difference of another question.
    pub fn open(path: &Path, study: &Study) -> Result<(Lines, Vec<Line>), String> {
        let say = |err: std::io::Error| format!("{}: {err}", path.display());
        let mut file =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path).map_err(say)?;
        let (head, lines, whole) = read(&mut file).map_err(|why| format!("{}: {why}", path.display()))?;
        match &head {
            Some(head) if head != study => {
                let why = "it holds another question; give another file, or the same question as before";
                return Err(format!("{}: {why}", path.display()));
            }
            _ => {}
        }
        file.set_len(whole).map_err(say)?;
        file.seek(SeekFrom::End(0)).map_err(say)?;
        let mut kept = Lines(file);
        if head.is_none() {
            kept.put(study)?;
        }
        Ok((kept, lines))
    }

    /// # Errors
    /// What the file system says.
    pub fn put(&mut self, line: &impl Serialize) -> Result<(), String> {
        let mut text = serde_json::to_string(line).map_err(|err| err.to_string())?;
        text.push('\n');
        self.0.write_all(text.as_bytes()).map_err(|err| format!("the lines can't be written: {err}"))
    }
}

/// Reads a study's file without changing it.
///
/// # Errors
/// Names the line that is none.
pub fn load(path: &Path) -> Result<(Option<Study>, Vec<Line>), String> {
    let say = |why: String| format!("{}: {why}", path.display());
    let mut file = File::open(path).map_err(|err| say(err.to_string()))?;
    read(&mut file).map(|(head, lines, _)| (head, lines)).map_err(say)
}

/// The question, the lines, and how many bytes are whole.
fn read(file: &mut File) -> Result<(Option<Study>, Vec<Line>, u64), String> {
    let mut text = String::new();
    if file.metadata().map_err(|err| err.to_string())?.len() > MOST_BYTES {
        return Err(format!("more than {} GiB", MOST_BYTES >> 30));
    }
    file.read_to_string(&mut text).map_err(|err| err.to_string())?;
    let whole = text.rfind('\n').map_or(0, |end| end + 1);
    let (mut head, mut lines) = (None, Vec::new());
    for (nth, line) in text[..whole].lines().enumerate() {
        let wrong = |err: serde_json::Error| format!("line {}: {err}", nth + 1);
        if nth == 0 && line.contains("\"rockpick_study\"") {
            let study: Study = serde_json::from_str(line).map_err(wrong)?;
            if study.rockpick_study != 1 {
                return Err(format!("line 1: format {} is not known", study.rockpick_study));
            }
            head = Some(study);
        } else {
            lines.push(serde_json::from_str(line).map_err(wrong)?);
        }
    }
    Ok((head, lines, whole as u64))
}
