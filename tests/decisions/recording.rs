//! Recordings: a line for each checkpoint of a run and one for the whole run, and the comparison of two
//! recordings.

use std::collections::BTreeMap;
use std::fmt::Write;

use sedgestack::{Action, Micros, SettingsError, VersionIndices};

use crate::digest::{action_kind, Digest, KIND_NAMES};

/// Records the steps of a run.
pub struct Recorder {
    run: &'static str,
    checkpoint_every: u64,
    digest: Digest,
    steps: u64,
    actions: u64,
    counts: [u64; KIND_NAMES.len()],
    lines: Vec<String>,
}

impl Recorder {
    pub fn new(run: &'static str, checkpoint_every: u64) -> Recorder {
        Recorder {
            run,
            checkpoint_every,
            digest: Digest::new(),
            steps: 0,
            actions: 0,
            counts: [0; KIND_NAMES.len()],
            lines: Vec::new(),
        }
    }

    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Records a call of a limiter and its backend counts afterwards, if available.
    pub fn step(
        &mut self,
        limiter: u32,
        now: Micros,
        actions: &[Action],
        backend_counts: Option<(usize, usize)>,
    ) {
        self.digest.number(u64::from(limiter));
        self.digest.number(now);
        self.digest.size(actions.len());
        for action in actions {
            self.digest.action(action);
            self.counts[action_kind(action) as usize] += 1;
        }
        if let Some((listed, avoided)) = backend_counts {
            self.digest.size(listed);
            self.digest.size(avoided);
        }
        self.actions += actions.len() as u64;
        self.steps += 1;
        if self.steps.is_multiple_of(self.checkpoint_every) {
            let line = format!("{} step {} {:016x}", self.run, self.steps, self.digest.value());
            self.lines.push(line);
        }
    }

    /// Records the result of adopting a version.
    pub fn adopted(&mut self, adoption: &Result<VersionIndices, SettingsError>) {
        self.digest.adoption(adoption);
    }

    /// Records the retirement of old versions: whether all of them were freed, and how many classes and plans
    /// are left.
    pub fn retired(&mut self, all_retired: bool, (classes, plans): (usize, usize)) {
        self.digest.tag(u8::from(all_retired));
        self.digest.size(classes);
        self.digest.size(plans);
    }

    pub fn finish(mut self) -> Recording {
        let mut line = format!("{} whole {:016x}", self.run, self.digest.value());
        write!(line, " steps={} actions={}", self.steps, self.actions)
            .expect("writing to a String cannot fail");
        for (name, count) in KIND_NAMES.iter().zip(self.counts) {
            write!(line, " {name}={count}").expect("writing to a String cannot fail");
        }
        self.lines.push(line);
        Recording { lines: self.lines, counts: self.counts }
    }
}

/// The result of a run: its checkpoints, and the number of actions of each kind.
pub struct Recording {
    pub lines: Vec<String>,
    pub counts: [u64; KIND_NAMES.len()],
}

/// Groups lines by the run that they belong to.
fn by_run<'a>(lines: impl Iterator<Item = &'a str>) -> BTreeMap<&'a str, Vec<&'a str>> {
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for line in lines {
        let run = line.split(' ').next().unwrap_or(line);
        runs.entry(run).or_default().push(line);
    }
    runs
}

/// Returns the first differing checkpoint of each run that differs from the recording.
pub fn differences(recorded: &str, found: &str) -> Vec<String> {
    let (recorded, found) = (by_run(recorded.lines()), by_run(found.lines()));
    let runs: std::collections::BTreeSet<&str> = recorded.keys().chain(found.keys()).copied().collect();
    let mut reports = Vec::new();
    for run in runs {
        let lines = |of: &BTreeMap<&str, Vec<&str>>| -> Vec<String> {
            of.get(run).into_iter().flatten().map(std::string::ToString::to_string).collect()
        };
        let (recorded, found) = (lines(&recorded), lines(&found));
        let max_lines = recorded.len().max(found.len());
        if let Some(first) = (0..max_lines).find(|n| recorded.get(*n) != found.get(*n)) {
            let or_none = |line: Option<&String>| line.map_or("nothing".into(), String::clone);
            let (recorded_line, found_line) = (or_none(recorded.get(first)), or_none(found.get(first)));
            reports.push(format!(
                "{run}: checkpoint {} of {max_lines}\n  recorded {recorded_line}\n  found    {found_line}",
                first + 1
            ));
        }
    }
    reports
}
