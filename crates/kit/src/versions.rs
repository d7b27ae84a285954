//! `sedgestack-kit config`: checks, compares and changes versions of the runtime configuration.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use serde_json::json;

use sedgestack_plan::{impact, Interval, PlanImpact};
use sedgestack_report::text::{table, Table};
use sedgestack_runtime_config::{differences, Document};

use crate::error::KitError;
use crate::input::{load_source, read_fleet};
use crate::output::{progress_bar, Format, Verdict};
use crate::tier;

/// Number of simulation runs behind the impact of a change.
const SEEDS: u32 = 6;
/// Minimum number of newly rejected customers, on average over seeds, for which a plan gets a separate line.
const MIN_NEWLY_REJECTED: f64 = 0.5;

#[derive(Subcommand)]
#[command(after_help = "Examples:
  sedgestack-kit config check next.hcl --before current.hcl
  sedgestack-kit config check next.hcl --before current.hcl --fleet fleet.hcl --capture day.sedgecap
  sedgestack-kit config diff current.hcl next.hcl
  sedgestack-kit config status --at 10.0.0.4:9901 10.0.0.5:9901 10.0.0.6:9901
  sedgestack-kit config commit next.hcl --at 10.0.0.4:9901 10.0.0.5:9901 --scope all --except n7
  sedgestack-kit config undo --at 10.0.0.4:9901
  sedgestack-kit config hold --at 10.0.0.4:9901
  sedgestack-kit config pin --off --at 10.0.0.4:9901

Exit status of status: 0 all named limiters are current and have the same version, 1 otherwise. Exit status of commit,
undo, hold and pin: 0 the change was made and is active, 1 it was not.")]
/// Subcommands of `sedgestack-kit config`.
pub enum Command {
    /// Checks a version against the one before it; exit status 1 if the change is not allowed
    Check(Check),
    /// Prints the differences between two versions
    Diff {
        /// The earlier version
        before: PathBuf,
        /// The later version
        next: PathBuf,
    },
    /// Shows the version that each limiter of a running tier serves under, and pending changes
    Status(tier::TierAddresses),
    /// Has a running limiter check a document against its active version
    Stage {
        /// The document
        file: PathBuf,
        #[command(flatten)]
        at: tier::TierAddresses,
    },
    /// Makes a document the next version on all limiters or on none
    Commit(tier::Commit),
    /// Restores the document before the active one, as a new version
    Undo {
        #[command(flatten)]
        at: tier::TierAddresses,
        /// Undoes the active version even if it is pinned
        #[arg(long)]
        force: bool,
    },
    /// Ends the canary analysis of the active version, so that it is not rolled back automatically
    Hold(tier::TierAddresses),
    /// Pins the active version: ends its canary analysis, and allows only forced changes
    Pin {
        #[command(flatten)]
        at: tier::TierAddresses,
        /// Removes the pin, so that changes are allowed again
        #[arg(long)]
        off: bool,
    },
    /// Lists the versions that were decided
    History(tier::TierAddresses),
    /// Starts a tier whose limiters have all lost their votes: a new tier, or one whose stores are lost
    Adopt(tier::TierAddresses),
}

#[derive(Args)]
/// Arguments of `sedgestack-kit config check`.
pub struct Check {
    /// The version to check
    next: PathBuf,
    /// The version that precedes it
    #[arg(long, value_name = "FILE")]
    before: PathBuf,
    /// The fleet file; simulates its load under both versions
    #[arg(long, value_name = "FILE")]
    fleet: Option<PathBuf>,
    /// A capture to take the load from, in place of the fleet file's; may be repeated
    #[arg(long, value_name = "FILE", requires = "fleet")]
    capture: Vec<PathBuf>,
}

fn read(path: &Path) -> Result<Document, KitError> {
    Ok(Document::read(path)?)
}

/// Runs a subcommand.
pub fn run(command: &Command, format: Format) -> Result<Verdict, KitError> {
    match command {
        Command::Check(arguments) => check(arguments, format),
        Command::Diff { before, next } => diff(before, next, format),
        Command::Status(at) => tier::status(at, format),
        Command::Stage { file, at } => tier::stage(file, at, format),
        Command::Commit(arguments) => tier::commit(arguments, format),
        Command::Undo { at, force } => {
            tier::begin(at, if *force { "undo?force=yes" } else { "undo" }, format)
        }
        Command::Hold(at) => tier::begin(at, "hold", format),
        Command::Pin { at, off } => tier::begin(at, if *off { "pin?off=yes" } else { "pin" }, format),
        Command::History(at) => tier::history(at, format),
        Command::Adopt(at) => tier::adopt(at, format),
    }
}

fn diff(before: &Path, next: &Path, format: Format) -> Result<Verdict, KitError> {
    let (before, next) = (read(before)?, read(next)?);
    let changes = differences(&before, &next);
    if format == Format::Json {
        println!(
            "{}",
            json!({"from": before.digest().to_string(), "to": next.digest().to_string(), "changes": changes})
        );
        return Ok(Verdict::Done);
    }
    println!("{} -> {}: {}", before.digest(), next.digest(), next.provenance.reason);
    changes.iter().for_each(|change| println!("  {}", change.words));
    if changes.is_empty() {
        println!("  no differences");
    }
    Ok(Verdict::Done)
}

fn check(arguments: &Check, format: Format) -> Result<Verdict, KitError> {
    let (before, next) = (read(&arguments.before)?, read(&arguments.next)?);
    let errors = next.check(&arguments.next.display().to_string(), &before);
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let fleet = arguments.fleet.as_ref();
    let impact = fleet.map(|path| simulate_impact(path, &arguments.capture, &before, &next)).transpose()?;
    let changes = differences(&before, &next);
    match format {
        Format::Json => println!(
            "{}",
            json!({"digest": next.digest().to_string(), "in_order": errors.is_empty(), "faults": errors,
                   "changes": changes, "impact": impact})
        ),
        Format::Table => {
            errors.iter().for_each(|error| println!("{error}"));
            changes.iter().for_each(|change| println!("  {}", change.words));
            if let Some(plans) = &impact {
                print_impact(plans);
            }
            if errors.is_empty() {
                println!("{}: valid, {}", arguments.next.display(), next.digest());
            }
        }
    }
    Ok(Verdict::from_bool(errors.is_empty()))
}

fn impact_table(plans: &[PlanImpact]) -> Table {
    let percent = |interval: &Interval| format!("{:.1}%", 100.0 * interval.mean);
    let rows = plans.iter().map(|plan| {
        vec![
            plan.plan.clone(),
            plan.customers.to_string(),
            percent(&plan.refused_before),
            percent(&plan.refused_after),
            format!("{:.1}", plan.newly_refused),
            percent(&plan.service_before),
            percent(&plan.service_after),
        ]
    });
    let head = ["plan", "customers", "rejected before", "after", "newly rejected", "service before", "after"];
    table(&head, rows.collect())
}

fn print_impact(plans: &[PlanImpact]) {
    println!("{}", impact_table(plans));
    for plan in plans.iter().filter(|plan| plan.newly_refused >= MIN_NEWLY_REJECTED) {
        println!(
            "  {:.0} of {} customers of {} that are served today would be rejected",
            plan.newly_refused, plan.customers, plan.plan
        );
    }
}

/// Simulates both versions under the same load, and returns the impact on each plan.
fn simulate_impact(
    fleet: &Path,
    captures: &[PathBuf],
    before: &Document,
    next: &Document,
) -> Result<Vec<PlanImpact>, KitError> {
    let fleet = read_fleet(fleet)?.with_runtime_config(before);
    let bar = progress_bar();
    bar.set_message("simulating both versions");
    let source = load_source(&fleet, captures)?;
    let found = impact(&fleet, &fleet.with_runtime_config(next), &source, SEEDS);
    bar.finish_and_clear();
    Ok(found)
}
