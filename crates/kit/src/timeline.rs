//! `sedgestack-kit rehearse --faults`: plays one timeline of faults on a tier of real limiters. Also summarizes played
//! timelines for other commands.

use std::path::{Path, PathBuf};

use serde_json::json;

use sedgestack_rehearse::tier::timeline::{read, PlayResult, PlaySetup};

use crate::error::KitError;
use crate::input::read_fleet;
use crate::output::{Format, Verdict};

/// Maximum number of violated invariants that are printed.
const MAX_VIOLATIONS_SHOWN: usize = 10;

/// A timeline to play, and the tier to play it on.
pub struct TimelineRun<'a> {
    /// Path of the fleet file.
    pub fleet: &'a Path,
    /// Path of the file that holds the timeline.
    pub faults: &'a Path,
    /// Number of limiters in the tier.
    pub limiters: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// Path of the daemon.
    pub daemon: PathBuf,
}

/// Reads a timeline from its file, plays it and prints the result.
pub fn run(timeline: TimelineRun<'_>, format: Format) -> Result<Verdict, KitError> {
    let TimelineRun { limiters, seed, daemon, .. } = timeline;
    let fleet = read_fleet(timeline.fleet)?;
    let steps = read(timeline.faults, limiters)?;
    let play = PlaySetup { fleet: &fleet, daemon, limiters, seed };
    let played = play.run(&steps)?;
    match format {
        Format::Json => println!(
            "{}",
            json!({"seed": seed, "limiters": limiters, "holds": played.holds(), "played": played})
        ),
        Format::Table => {
            println!("{}: {}", timeline.faults.display(), summary(&played));
            played.found.broken.iter().take(MAX_VIOLATIONS_SHOWN).for_each(|broken| println!("  {broken:?}"));
            played.stuck.iter().for_each(|limiter| println!("{limiter}"));
        }
    }
    Ok(Verdict::from_bool(played.holds()))
}

/// Summarizes a played timeline in one line.
pub fn summary(played: &PlayResult) -> String {
    let found = &played.found;
    let holds = if played.holds() { "held" } else { "BROKEN" };
    let harmful_change = harmful_change_summary(played);
    format!(
        "{holds}: {} answers, {} versions; {} changes begun, {} rejected at once, {} activated; \
         largest version mixing {} us; {} invariants violated, {} changes with unreported outcome{}{harmful_change}",
        found.answers,
        found.versions,
        played.begun,
        played.refused,
        played.made,
        found.largest_mixing_us,
        found.broken.len(),
        played.untold.len(),
        if played.stuck.is_empty() { "" } else { ", limiters did not converge on one version" }
    )
}

/// Describes what a harmful change cost, if the timeline made one.
fn harmful_change_summary(played: &PlayResult) -> String {
    let Some(cost) = &played.ruin else { return String::new() };
    let undone = match cost.undone_after_ms {
        Some(ms) => format!("undone after {:.1} s", ms as f64 / 1e3),
        None => "not undone".into(),
    };
    format!(
        "; harmful change {undone}: {} of {} requests lost, value {:.0}",
        cost.lost, cost.tries, cost.worth_lost
    )
}
