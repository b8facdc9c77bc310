//! Experiments that compare choices of settings. All choices run the same seeds and are compared in pairs; a
//! choice stops once its comparison is settled. Results are stored in a file, from which an interrupted run resumes.
//!
//! Repeated interim analyses of several choices would find a difference by chance sooner or later. So each
//! analysis of each choice gets an equal part of the 5% (Bonferroni), and at most 1 of 20 experiments errs.
use crate::experiment::{interval, run_parallel, run_plan};
use crate::summary::DaySummary;
use rockpick_rehearse::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;

/// The family-wise error rate, over all interim analyses and choices.
const ALPHA: f64 = 0.05;
/// Pairs before the first interim analysis, and between analyses.
pub const PAIRS_PER_ANALYSIS: usize = 8;
/// The name of the baseline that all choices are compared with.
pub const BASELINE: &str = "as it is";
/// The largest results file that is read.
const MAX_FILE_BYTES: u64 = 4 << 30;

/// An experiment's definition, stored as the first line of its results file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Study {
    /// The version of the file's format.
    pub rockpick_study: u32,
    pub plan: Plan,
    /// Changes to the example settings that the baseline and all choices share.
    pub base: Vec<String>,
    /// The further changes of each choice.
    pub choices: Vec<Vec<String>>,
    pub seeds: usize,
    /// Differences of service smaller than this count as none.
    pub matters: f64,
}

/// The result of a comparison with the baseline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    pub choice: String,
    pub pairs: usize,
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    /// Why the comparison ended; none: it has not.
    pub why: Option<String>,
}

impl Study {
    /// Names and changes of the baseline and all choices.
    pub fn variants(&self) -> Vec<(String, Vec<String>)> {
        let variant = |more: &Vec<String>| (more.join(" "), self.base.iter().chain(more).cloned().collect());
        std::iter::once((BASELINE.into(), self.base.clone()))
            .chain(self.choices.iter().map(variant))
            .collect()
    }

    /// Analyses a choice in all steps that the results allow, as if they had arrived one by one.
    pub fn verdict(&self, choice: &str, results: &[DaySummary]) -> Verdict {
        let by_seed = |name: &str| -> BTreeMap<u64, f64> {
            results.iter().filter(|l| l.choice == name).map(|l| (l.seed, l.service)).collect()
        };
        let (base, other) = (by_seed(BASELINE), by_seed(choice));
        // In the order of seeds and without a gap: counting pairs by which run finished first would bias the sample.
        let seeds = (0..self.seeds as u64).map(|s| self.plan.seed + s);
        let pairs: Vec<f64> = seeds.map_while(|s| Some(other.get(&s)? - base.get(&s)?)).collect();
        let analyses = self.seeds.div_ceil(PAIRS_PER_ANALYSIS).max(1);
        let alpha = ALPHA / (analyses * self.choices.len().max(1)) as f64;
        let mut verdict =
            Verdict { choice: choice.into(), pairs: 0, mean: 0.0, low: 0.0, high: 0.0, why: None };
        let ends = (1..=analyses).map(|l| (l * PAIRS_PER_ANALYSIS).min(self.seeds));
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

    pub fn verdicts(&self, results: &[DaySummary]) -> Vec<Verdict> {
        self.variants()[1..].iter().map(|(name, _)| self.verdict(name, results)).collect()
    }

    /// Runs the missing days until each choice is settled or the seeds are used up; `on_result` gets new results in
    /// the order of their seeds.
    ///
    /// # Errors
    /// A choice that can't be set up, and errors of `on_result`.
    pub fn run(
        &self, threads: usize, mut results: Vec<DaySummary>,
        mut on_result: impl FnMut(&DaySummary) -> Result<(), String>,
    ) -> Result<(Vec<Verdict>, Vec<DaySummary>), String> {
        let variants = self.variants();
        for end in
            (1..=self.seeds.div_ceil(PAIRS_PER_ANALYSIS)).map(|l| (l * PAIRS_PER_ANALYSIS).min(self.seeds))
        {
            let verdicts = self.verdicts(&results);
            let open: Vec<&(String, Vec<String>)> = (variants.iter().enumerate())
                .filter(|(i, _)| match i {
                    0 => verdicts.iter().any(|v| v.why.is_none()),
                    i => verdicts[i - 1].why.is_none(),
                })
                .map(|(_, variant)| variant)
                .collect();
            let known = |name: &str, seed: u64| results.iter().any(|l| l.choice == name && l.seed == seed);
            let seeds = (0..end as u64).map(|s| self.plan.seed + s);
            let tasks: Vec<(&str, &[String], u64)> = seeds
                .flat_map(|seed| open.iter().map(move |(name, changes)| (name.as_str(), &changes[..], seed)))
                .filter(|(name, _, seed)| !known(name, *seed))
                .collect();
            let run = |(choice, changes, seed): &(&str, &[String], u64)| {
                run_plan(choice, &self.plan, changes, *seed).map(|(summary, _)| summary)
            };
            for result in run_parallel(threads, &tasks, run)? {
                on_result(&result)?;
                results.push(result);
            }
        }
        Ok((self.verdicts(&results), results))
    }
}

/// A results file: the experiment's definition, then a line of JSON for each day.
pub struct ResultsFile(File);

impl ResultsFile {
    /// Creates the file, or resumes one that has the same definition; an incomplete last line is truncated.
    ///
    /// # Errors
    /// A malformed line, which is named, or a file with another definition.
    pub fn open(path: &Path, study: &Study) -> Result<(ResultsFile, Vec<DaySummary>), String> {
        let with_path = |err: std::io::Error| format!("{}: {err}", path.display());
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(with_path)?;
        let (head, results, complete) =
            read(&mut file).map_err(|why| format!("{}: {why}", path.display()))?;
        match &head {
            Some(head) if head != study => {
                let why =
                    "the file belongs to another question; use another file, or the same question as before";
                return Err(format!("{}: {why}", path.display()));
            }
            _ => {}
        }
        file.set_len(complete).map_err(with_path)?;
        file.seek(SeekFrom::End(0)).map_err(with_path)?;
        let mut results_file = ResultsFile(file);
        if head.is_none() {
            results_file.put(study)?;
        }
        Ok((results_file, results))
    }

    /// # Errors
    /// Errors of the file system.
    pub fn put(&mut self, line: &impl Serialize) -> Result<(), String> {
        let mut text = serde_json::to_string(line).map_err(|err| err.to_string())?;
        text.push('\n');
        self.0.write_all(text.as_bytes()).map_err(|err| format!("writing the results failed: {err}"))
    }
}

/// Reads a results file without changing it.
///
/// # Errors
/// A malformed line, which is named.
pub fn load(path: &Path) -> Result<(Option<Study>, Vec<DaySummary>), String> {
    let with_path = |why: String| format!("{}: {why}", path.display());
    let mut file = File::open(path).map_err(|err| with_path(err.to_string()))?;
    read(&mut file).map(|(head, results, _)| (head, results)).map_err(with_path)
}

/// The definition, the results, and the length of the complete lines in bytes.
fn read(file: &mut File) -> Result<(Option<Study>, Vec<DaySummary>, u64), String> {
    let mut text = String::new();
    if file.metadata().map_err(|err| err.to_string())?.len() > MAX_FILE_BYTES {
        return Err(format!("more than {} GiB", MAX_FILE_BYTES >> 30));
    }
    file.read_to_string(&mut text).map_err(|err| err.to_string())?;
    let complete = text.rfind('\n').map_or(0, |end| end + 1);
    let (mut head, mut results) = (None, Vec::new());
    for (index, line) in text[..complete].lines().enumerate() {
        let at_line = |err: serde_json::Error| format!("line {}: {err}", index + 1);
        if index == 0 && line.contains("\"rockpick_study\"") {
            let study: Study = serde_json::from_str(line).map_err(at_line)?;
            if study.rockpick_study != 1 {
                return Err(format!("line 1: format {} is not known", study.rockpick_study));
            }
            head = Some(study);
        } else {
            results.push(serde_json::from_str(line).map_err(at_line)?);
        }
    }
    Ok((head, results, complete as u64))
}
