//! `sedgestack-kit plan`.

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

Without --capture the load is the one that the fleet file describes. Exit status: 0 a count in range keeps the
aims, 1 none does, 2 bad input.")]
pub struct Arguments {
    /// The fleet file
    fleet: PathBuf,
    /// A capture; once for each limiter, or once for a merged one
    #[arg(long, value_name = "FILE")]
    capture: Vec<PathBuf>,
    /// Runs behind every figure; the fleet file's aims.seeds without
    #[arg(long, value_parser = clap::value_parser!(u32).range(2..=1000))]
    seeds: Option<u32>,
    /// Also a page with plots, to this file
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// Makes a capacity plan and prints it.
pub fn run(arguments: &Arguments, format: Format) -> Result<Verdict, KitError> {
    let fleet = read_fleet(&arguments.fleet)?;
    let bar = progress_bar();
    if !arguments.capture.is_empty() {
        bar.set_message("reading and fitting the capture");
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
