//! `sedgestack-kit campaign`: generates timelines of faults from seeds and plays them on tiers of real limiters.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};

use clap::Args;
use serde::Serialize;
use serde_json::json;

use sedgestack_fleet::Fleet;
use sedgestack_rehearse::tier::timeline::{draw, PlayResult, PlaySetup, Step};
use sedgestack_rehearse::Failure;

use crate::error::{KitError, SeedError};
use crate::input::{find_daemon, read_fleet};
use crate::output::{progress_bar, set_progress, Format, Verdict};
use crate::timeline::summary;

/// Maximum number of violated invariants that are printed for a seed.
const MAX_VIOLATIONS_SHOWN: usize = 5;

#[derive(Args)]
#[command(after_help = "Examples:
  sedgestack-kit campaign deploy/fleet-sample.hcl
  sedgestack-kit campaign deploy/fleet-sample.hcl --limiters 9 --seeds 50 --jobs 2
  sedgestack-kit campaign deploy/fleet-sample.hcl --first 17 --seeds 1

Each seed generates a timeline of faults, which is played on a tier of real limiters under load. Then all faults are
removed and the record is checked: all limiters have the same history, every answer was given under the version active
at that time, and the outcome of every change was reported. A failing timeline is reduced to the fewest steps that
still fail, which are printed as a timeline for `rehearse --faults`.
Exit status: 0 all timelines passed, 1 one failed, 2 bad input or no daemon.")]
/// Arguments of `sedgestack-kit campaign`.
pub struct Arguments {
    /// The fleet file
    fleet: PathBuf,
    /// Number of limiters in each tier
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(2..=9))]
    limiters: u32,
    /// Number of timelines to play
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// Seed of the first timeline; each further one uses the next seed
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of tiers that run in parallel
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=16))]
    jobs: u64,
    /// Skips the reduction of failing timelines, which plays a timeline again for each of its steps
    #[arg(long)]
    whole: bool,
    /// Path of the daemon; defaults to `sedgestack` in this program's folder, else in target/release
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
}

/// The result of playing the timeline of one seed.
struct SeedResult {
    seed: u64,
    result: Result<PlayResult, Failure>,
}

/// A seed whose timeline violated an invariant, and the shortest timeline that still does.
#[derive(Serialize)]
struct FailedSeed<'a> {
    seed: u64,
    played: &'a PlayResult,
    timeline: String,
}

/// Totals over all played timelines.
#[derive(Default)]
struct Totals {
    answers: usize,
    changes_begun: u32,
    versions_activated: u32,
    harmful_changes: u32,
    harmful_changes_undone: u32,
    largest_mixing_us: u64,
}

impl Totals {
    /// Adds the result of one timeline.
    fn add(&mut self, played: &PlayResult) {
        self.answers += played.found.answers;
        self.changes_begun += played.begun;
        self.versions_activated += played.made;
        self.harmful_changes += u32::from(played.ruin.is_some());
        let undone = played.ruin.as_ref().is_some_and(|cost| cost.undone_after_ms.is_some());
        self.harmful_changes_undone += u32::from(undone);
        self.largest_mixing_us = self.largest_mixing_us.max(played.found.largest_mixing_us);
    }
}

/// A campaign with its inputs loaded.
struct Campaign<'a> {
    arguments: &'a Arguments,
    fleet: Fleet,
    daemon: PathBuf,
}

/// Plays the timelines of all seeds and prints the results.
pub fn run(arguments: &Arguments, format: Format) -> Result<Verdict, KitError> {
    let fleet = read_fleet(&arguments.fleet)?;
    let daemon = find_daemon(arguments.daemon.as_deref())?;
    let campaign = Campaign { arguments, fleet, daemon };
    let results = campaign.play_all();
    let mut totals = Totals::default();
    let mut failed = Vec::new();
    for SeedResult { seed, result } in &results {
        let Ok(played) = result else { continue };
        totals.add(played);
        if !played.holds() {
            failed.push(FailedSeed { seed: *seed, played, timeline: campaign.shortest_timeline(*seed)? });
        }
    }
    match format {
        Format::Json => print_json(arguments, results.len(), &totals, &failed),
        Format::Table => print_text(arguments, &results, &totals, &failed),
    }
    let verdict = Verdict::from_bool(failed.is_empty());
    let errors: Vec<SeedError> = results.into_iter().filter_map(SeedResult::into_error).collect();
    if !errors.is_empty() {
        return Err(KitError::TimelinesNotPlayed(errors));
    }
    Ok(verdict)
}

impl SeedResult {
    fn into_error(self) -> Option<SeedError> {
        let seed = self.seed;
        self.result.err().map(|source| SeedError { seed, source })
    }
}

impl Campaign<'_> {
    /// Plays all seeds, with one thread for each job. The results are sorted by seed.
    fn play_all(&self) -> Vec<SeedResult> {
        let next = AtomicU64::new(0);
        let results: Mutex<Vec<SeedResult>> = Mutex::default();
        let bar = progress_bar();
        let run_job = || loop {
            let index = next.fetch_add(1, Relaxed);
            if index >= self.arguments.seeds {
                return;
            }
            let played = self.play(self.arguments.first + index);
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            results.push(played);
            set_progress(&bar, results.len() as f64 / self.arguments.seeds as f64);
        };
        std::thread::scope(|scope| {
            for _ in 0..self.arguments.jobs {
                scope.spawn(run_job);
            }
        });
        bar.finish_and_clear();
        let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
        results.sort_by_key(|result| result.seed);
        results
    }

    /// Plays the timeline of one seed; prints a summary at once if it fails.
    fn play(&self, seed: u64) -> SeedResult {
        let result = self.play_setup(seed).run(&draw(seed, self.arguments.limiters));
        if let Some(broken) = result.as_ref().ok().filter(|played| !played.holds()) {
            eprintln!("seed {seed}: {}", summary(broken));
            broken.stuck.iter().for_each(|limiter| eprintln!("{limiter}"));
        }
        SeedResult { seed, result }
    }

    /// Returns the timeline of a failed seed, reduced to the fewest steps that still fail unless `--whole` is set.
    fn shortest_timeline(&self, seed: u64) -> Result<String, KitError> {
        let mut steps = draw(seed, self.arguments.limiters);
        if !self.arguments.whole {
            steps = self.play_setup(seed).minimize(steps)?;
        }
        Ok(steps.iter().map(Step::to_string).collect::<Vec<_>>().join("\n"))
    }

    /// Returns the fleet, the tier and the seed with which a timeline of `seed` is played.
    fn play_setup(&self, seed: u64) -> PlaySetup<'_> {
        let limiters = self.arguments.limiters;
        PlaySetup { fleet: &self.fleet, daemon: self.daemon.clone(), limiters, seed }
    }
}

fn print_json(arguments: &Arguments, seeds: usize, totals: &Totals, failed: &[FailedSeed<'_>]) {
    println!(
        "{}",
        json!({"seeds": seeds, "limiters": arguments.limiters, "answers": totals.answers,
               "begun": totals.changes_begun, "made": totals.versions_activated, "ruins": totals.harmful_changes,
               "ruins_ended": totals.harmful_changes_undone, "largest_mixing_us": totals.largest_mixing_us,
               "failed": failed})
    );
}

fn print_text(arguments: &Arguments, results: &[SeedResult], totals: &Totals, failed: &[FailedSeed<'_>]) {
    for FailedSeed { seed, played, timeline } in failed {
        println!("seed {seed}: {}", summary(played));
        played.found.broken.iter().take(MAX_VIOLATIONS_SHOWN).for_each(|broken| println!("  {broken:?}"));
        println!("{timeline}\n");
    }
    let played = results.iter().filter(|result| result.result.is_ok()).count();
    println!(
        "{} timelines with {} limiters: {} passed, {} failed; {} answers, {} changes begun, {} versions activated; \
         {} harmful changes, {} of them undone; largest version mixing {} us",
        results.len(),
        arguments.limiters,
        played - failed.len(),
        failed.len(),
        totals.answers,
        totals.changes_begun,
        totals.versions_activated,
        totals.harmful_changes,
        totals.harmful_changes_undone,
        totals.largest_mixing_us
    );
}
