//! `sedgestack-kit plan`: computes a capacity plan.

use std::path::PathBuf;

use clap::Args;

use sedgestack_plan::plan;

use crate::error::KitError;
use crate::input::{load_source, read_fleet};
use crate::output::{progress_bar, set_progress, Format, Verdict};

#[derive(Args)]
#[command(after_help = "Examples:
  sedgestack-kit plan deploy/fleet-sample.hcl
  sedgestack-kit plan deploy/fleet-sample.hcl --seeds 16 --html plan.html
  sedgestack-kit plan fleet.hcl --capture n0.sedgecap --capture n1.sedgecap --capture n2.sedgecap
  sedgestack-kit plan fleet.hcl --capture day.sedgecap --format json

Without --capture, the load is the one that the fleet file describes. Exit status: 0 a number of workers within the
fleet file's range meets the aims, 1 none does, 2 bad input.")]
/// Arguments of `sedgestack-kit plan`.
pub struct Arguments {
    /// The fleet file
    fleet: PathBuf,
    /// A capture to take the load from; repeat it for each limiter, or give one merged capture
    #[arg(long, value_name = "FILE")]
    capture: Vec<PathBuf>,
    /// Number of simulation runs behind each figure; defaults to aims.seeds of the fleet file
    #[arg(long, value_parser = clap::value_parser!(u32).range(2..=1000))]
    seeds: Option<u32>,
    /// Also writes an HTML page with plots to this file
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// Computes a capacity plan and prints it.
pub fn run(arguments: &Arguments, format: Format) -> Result<Verdict, KitError> {
    let fleet = read_fleet(&arguments.fleet)?;
    let bar = progress_bar();
    if !arguments.capture.is_empty() {
        bar.set_message("reading and fitting captures");
    }
    let source = load_source(&fleet, &arguments.capture)?;
    let seeds = arguments.seeds.unwrap_or(fleet.objectives.seeds);
    let show_progress = |step: &str, part: f64| {
        bar.set_message(step.to_string());
        set_progress(&bar, part);
    };
    let answer = plan(&fleet, &source, seeds, &show_progress);
    bar.finish_and_clear();
    if let Some(path) = &arguments.html {
        let page = sedgestack_report::html::page(&fleet, &answer);
        std::fs::write(path, page).map_err(KitError::file(path))?;
    }
    match format {
        Format::Table => print!("{}", sedgestack_report::text::plan(&fleet, &answer)),
        Format::Json => println!("{}", serde_json::to_string(&answer).map_err(KitError::Json)?),
    }
    Ok(Verdict::from_bool(answer.meets_objectives()))
}
