//! `sedgestack-kit rehearse`: plays a load through real daemons.

use std::path::{Path, PathBuf};

use clap::Args;
use serde_json::{json, Value};

use sedgestack_fleet::Fleet;
use sedgestack_model::demand::{self, Demand};
use sedgestack_model::score::worst_in_time;
use sedgestack_rehearse::scenarios::{self, Scenario};
use sedgestack_rehearse::{rehearse, Captures, Rehearsal, RehearsalReport};
use sedgestack_report::text::{table, Table};

use crate::error::KitError;
use crate::input::{find_daemon, read_fleet, scenario};
use crate::output::{progress_bar, set_progress, Format, Verdict};
use crate::timeline::{self, TimelineRun};

const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(Args)]
#[command(after_help = "Examples:
  sedgestack-kit rehearse deploy/fleet-sample.hcl
  sedgestack-kit rehearse deploy/fleet-sample.hcl --scenario room-lost --seed 7 --workers 12
  sedgestack-kit rehearse deploy/fleet-sample.hcl --captures captures --format json
  sedgestack-kit rehearse --list deploy/fleet-sample.hcl
  sedgestack-kit rehearse deploy/fleet-sample.hcl --faults deploy/rehearsals/one-down.hcl --limiters 5 --seed 3

Needs the daemon, built by `cargo build --release`: in the folder of this program, or given by --daemon. All sockets
are on loopback. Exit status: 0 the rehearsal is valid and any timeline of faults passed, 1 the timeline failed, 2 bad
input or no daemon, 3 void: the machine was too busy to play the load.")]
/// Arguments of `sedgestack-kit rehearse`.
pub struct Arguments {
    /// The fleet file
    fleet: PathBuf,
    /// The scenario to rehearse; see --list
    #[arg(long, default_value = "described")]
    scenario: String,
    /// Lists the scenarios and exits
    #[arg(long)]
    list: bool,
    #[command(flatten)]
    options: Options,
    /// Folder that daemons write captures to
    #[arg(long, value_name = "FOLDER")]
    captures: Option<PathBuf>,
    /// Plays a timeline of faults on a tier that agrees on runtime configurations, in place of a scenario
    #[arg(long, value_name = "FILE", conflicts_with_all = ["scenario", "captures", "list"])]
    faults: Option<PathBuf>,
    /// Number of limiters that --faults starts
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(2..=9))]
    limiters: u32,
}

/// Options that `rehearse` and `prove` share.
#[derive(Args)]
pub struct Options {
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of workers, spread evenly over the rooms, in place of the fleet file's
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..))]
    workers: Option<u32>,
    /// Length in seconds, in place of the fleet file's
    #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u64).range(5..=3600))]
    seconds: Option<u64>,
    /// Path of the daemon; defaults to `sedgestack` in this program's folder, else in target/release
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
}

impl Options {
    /// Reads a fleet file and applies the number of workers and the length given on the command line.
    pub fn fleet(&self, path: &Path) -> Result<Fleet, KitError> {
        let mut fleet = read_fleet(path)?;
        if let Some(workers) = self.workers {
            fleet = fleet.with_backends(workers);
        }
        if let Some(seconds) = self.seconds {
            fleet.load.length = seconds * MICROS_PER_SECOND;
        }
        Ok(fleet)
    }
}

/// Rehearses a scenario or a timeline of faults, or lists the scenarios.
pub fn run(arguments: &Arguments, format: Format) -> Result<Verdict, KitError> {
    if arguments.list {
        return Ok(list_scenarios());
    }
    match &arguments.faults {
        Some(faults) => rehearse_timeline(arguments, faults, format),
        None => rehearse_scenario(arguments, format),
    }
}

fn list_scenarios() -> Verdict {
    let rows = scenarios::ALL.iter().map(|(name, about)| vec![name.to_string(), about.to_string()]);
    println!("{}", table(&["scenario", "what happens"], rows.collect()));
    Verdict::Done
}

fn rehearse_timeline(arguments: &Arguments, faults: &Path, format: Format) -> Result<Verdict, KitError> {
    let options = &arguments.options;
    let timeline = TimelineRun {
        daemon: find_daemon(options.daemon.as_deref())?,
        fleet: &arguments.fleet,
        faults,
        limiters: arguments.limiters,
        seed: options.seed,
    };
    timeline::run(timeline, format)
}

fn rehearse_scenario(arguments: &Arguments, format: Format) -> Result<Verdict, KitError> {
    let options = &arguments.options;
    let fleet = options.fleet(&arguments.fleet)?;
    let scenario = scenario(&fleet, &arguments.scenario)?;
    let demand = demand::draw(&scenario.fleet, options.seed);
    // Daemons run in a different working folder, so they need an absolute path.
    let captures = arguments.captures.as_ref().map(std::path::absolute).transpose();
    let captures = captures.map_err(KitError::CurrentFolder)?;
    let rehearsed = hold_rehearsal(&scenario, &demand, options, captures)?;
    match format {
        Format::Json => println!("{}", as_json(&scenario, &rehearsed)),
        Format::Table => print_text(&scenario, &rehearsed),
    }
    Ok(if rehearsed.is_void() { Verdict::Void } else { Verdict::Done })
}

/// Rehearses a scenario. Daemons write their captures to the folder `captures`, if it is given.
pub fn hold_rehearsal(
    scenario: &Scenario,
    demand: &Demand,
    options: &Options,
    captures: Option<PathBuf>,
) -> Result<RehearsalReport, KitError> {
    let bar = progress_bar();
    bar.set_message(format!("rehearsing {}", scenario.name));
    let rehearsed = rehearse(&Rehearsal {
        fleet: &scenario.fleet,
        demand,
        faults: &scenario.faults,
        seed: options.seed,
        daemon: find_daemon(options.daemon.as_deref())?,
        captures: captures.map(|folder| Captures { folder, only: Vec::new() }),
        progress: &|part| set_progress(&bar, part),
    });
    bar.finish_and_clear();
    Ok(rehearsed?)
}

fn as_json(scenario: &Scenario, rehearsed: &RehearsalReport) -> Value {
    let fleet = &scenario.fleet;
    let score = &rehearsed.score;
    let class = |(index, class): (usize, &sedgestack_fleet::Class)| {
        let ms = |percent| score.percentile(index, percent) as f64 / 1e3;
        json!({"class": class.name, "in_time": score.in_time[index].share(),
               "worst_in_time": worst_in_time(&[score], index).0.share(), "worth": score.classes[index].share(),
               "p50_ms": ms(50.0), "p95_ms": ms(95.0), "p99_ms": ms(99.0)})
    };
    let classes: Vec<Value> = fleet.classes.iter().enumerate().map(class).collect();
    json!({
        "scenario": scenario.name, "workers": fleet.backend_count(), "void": rehearsed.is_void(),
        "service": score.overall.share(), "worst_window": score.worst_window, "worth_asked": score.overall.asked,
        "worth_in_time": score.overall.in_time, "classes": classes, "units_beyond": score.units_beyond,
        "units_inside": score.units_inside, "first_tries": rehearsed.first_tries, "retries": rehearsed.retries,
        "served": rehearsed.served, "refused": rehearsed.rejected, "failed": rehearsed.failed,
        "gave_up": rehearsed.timed_out, "fallen": rehearsed.warmup_crashes, "lateness_ms": rehearsed.lateness_ms,
        "daemons": rehearsed.daemons
    })
}

fn print_text(scenario: &Scenario, rehearsed: &RehearsalReport) {
    let workers = scenario.fleet.backend_count();
    println!("Rehearsal of {}: {}, {workers} workers", scenario.name, scenario.about);
    print_totals(rehearsed);
    println!("{}", class_table(&scenario.fleet, rehearsed));
    println!("{}", daemon_table(rehearsed));
}

fn print_totals(rehearsed: &RehearsalReport) {
    let score = &rehearsed.score;
    println!(
        "  service {:.1}% (worst 10 s {:.1}%), {} first tries, {} retries; served {}, rejected {}, failed {}, \
         abandoned {}",
        100.0 * score.overall.share(),
        100.0 * score.worst_window,
        rehearsed.first_tries,
        rehearsed.retries,
        rehearsed.served,
        rehearsed.rejected,
        rehearsed.failed,
        rehearsed.timed_out
    );
    println!(
        "  units forwarded beyond quotas {:.1}%, workers crashed while warming up {}, load player late by {:.1} ms \
         at p99{}",
        100.0 * score.units_beyond / (score.units_beyond + score.units_inside).max(1.0),
        rehearsed.warmup_crashes,
        rehearsed.lateness_ms,
        if rehearsed.is_void() { ": VOID, the machine was too busy" } else { "" }
    );
}

fn class_table(fleet: &Fleet, rehearsed: &RehearsalReport) -> Table {
    let score = &rehearsed.score;
    let percent = |share: f64| format!("{:.1}%", 100.0 * share);
    let row = |(index, class): (usize, &sedgestack_fleet::Class)| {
        let ms = |percent| format!("{:.0}", score.percentile(index, percent) as f64 / 1e3);
        vec![
            class.name.clone(),
            percent(score.classes[index].share()),
            percent(score.in_time[index].share()),
            percent(worst_in_time(&[score], index).0.share()),
            ms(50.0),
            ms(95.0),
            ms(99.0),
        ]
    };
    let head = ["class", "value in time", "admitted, in time", "worst 10 s", "p50 ms", "p95", "p99"];
    table(&head, fleet.classes.iter().enumerate().map(row).collect())
}

fn daemon_table(rehearsed: &RehearsalReport) -> Table {
    let rows = rehearsed.daemons.iter().map(|daemon| {
        vec![
            daemon.name.clone(),
            daemon.taken.to_string(),
            format!("{:.2}", daemon.cpu_s),
            format!("{:.0}", daemon.cpu_us_per_request),
            format!("{:.1}", daemon.peak_mb),
        ]
    });
    table(&["limiter", "accepted", "CPU s", "CPU us per request", "peak MB"], rows.collect())
}
