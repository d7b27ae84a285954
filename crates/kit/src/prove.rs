//! `sedgestack-kit prove`: compares the model's predictions with rehearsals.

use std::path::PathBuf;

use clap::Args;
use serde_json::json;

use sedgestack_model::demand::{self, Demand};
use sedgestack_model::run as simulate;
use sedgestack_plan::Interval;
use sedgestack_rehearse::scenarios::{self, Scenario};
use sedgestack_rehearse::RehearsalReport;
use sedgestack_report::text::table;

use crate::error::KitError;
use crate::input::scenario;
use crate::output::{Format, Verdict};
use crate::rehearse::{hold_rehearsal, Options};

/// Maximum relative error of a prediction; a larger one counts as missed.
const MAX_RELATIVE_ERROR: f64 = 0.1;
/// Number of model runs behind a prediction, with the same demand and different seeds.
const MODEL_RUNS: u64 = 8;

#[derive(Args)]
#[command(after_help = "Examples:
  sedgestack-kit prove deploy/fleet-sample.hcl
  sedgestack-kit prove deploy/fleet-sample.hcl --only calm --only room-lost --seconds 30

Each scenario is predicted by the model and rehearsed with the same demand, one scenario after another. Exit status:
0 all predictions of the value served in time lie within 10% of the rehearsal, 1 one does not, 2 bad input, 3 a
rehearsal was void.")]
/// Arguments of `sedgestack-kit prove`.
pub struct Arguments {
    /// The fleet file
    fleet: PathBuf,
    /// Runs only this scenario; may be repeated
    #[arg(long, value_name = "SCENARIO")]
    only: Vec<String>,
    #[command(flatten)]
    options: Options,
}

/// How a prediction compares with its rehearsal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Comparison {
    /// The machine was too busy for the rehearsal to be meaningful.
    Void,
    /// The prediction's error is within the maximum.
    Within,
    /// The prediction's error exceeds the maximum.
    Missed,
}

impl Comparison {
    fn name(self) -> &'static str {
        match self {
            Comparison::Void => "void",
            Comparison::Within => "within",
            Comparison::Missed => "MISSED",
        }
    }
}

/// A scenario with its prediction and its rehearsal.
struct Proof<'a> {
    scenario: &'a Scenario,
    predicted: Interval,
    rehearsed: RehearsalReport,
}

impl Proof<'_> {
    /// Returns the share of the value that was served in time in the rehearsal.
    fn rehearsed_share(&self) -> f64 {
        self.rehearsed.score.overall.share()
    }

    /// Returns the prediction's relative error; positive if the prediction is too high.
    fn relative_error(&self) -> f64 {
        self.predicted.mean / self.rehearsed_share() - 1.0
    }

    fn comparison(&self) -> Comparison {
        match (self.rehearsed.is_void(), self.relative_error().abs() <= MAX_RELATIVE_ERROR) {
            (true, _) => Comparison::Void,
            (false, true) => Comparison::Within,
            (false, false) => Comparison::Missed,
        }
    }

    fn print_json(&self) {
        println!(
            "{}",
            json!({"scenario": self.scenario.name, "predicted": self.predicted, "rehearsed": self.rehearsed_share(),
                   "off": self.relative_error(), "verdict": self.comparison().name(),
                   "workers": self.scenario.fleet.backend_count()})
        );
    }

    fn row(&self) -> Vec<String> {
        let Proof { predicted, rehearsed, .. } = self;
        vec![
            self.scenario.name.to_string(),
            format!("{:.1}% ± {:.1}", 100.0 * predicted.mean, 50.0 * (predicted.high - predicted.low)),
            format!("{:.1}%", 100.0 * self.rehearsed_share()),
            format!("{:+.1}%", 100.0 * self.relative_error()),
            format!("{:.1}%", 100.0 * rehearsed.score.in_time[0].share()),
            rehearsed.warmup_crashes.to_string(),
            format!("{:.1}", rehearsed.lateness_ms),
            self.comparison().name().to_string(),
        ]
    }
}

/// Predicts and rehearses one scenario after another.
pub fn run(arguments: &Arguments, format: Format) -> Result<Verdict, KitError> {
    let fleet = arguments.options.fleet(&arguments.fleet)?;
    let scenarios: Vec<Scenario> =
        scenario_names(arguments).iter().map(|name| scenario(&fleet, name)).collect::<Result<_, _>>()?;
    let mut proofs = Vec::new();
    for scenario in &scenarios {
        let proof = prove(scenario, &arguments.options)?;
        if format == Format::Json {
            proof.print_json();
        }
        proofs.push(proof);
    }
    if format == Format::Table {
        print_table(&fleet.classes[0].name, &proofs);
    }
    Ok(verdict(&proofs))
}

/// Returns the names of the scenarios given by `--only`, or of all scenarios without it.
fn scenario_names(arguments: &Arguments) -> Vec<String> {
    if arguments.only.is_empty() {
        scenarios::ALL.iter().map(|(name, _)| name.to_string()).collect()
    } else {
        arguments.only.clone()
    }
}

fn prove<'a>(scenario: &'a Scenario, options: &Options) -> Result<Proof<'a>, KitError> {
    let demand = demand::draw(&scenario.fleet, options.seed);
    let predicted = predict(scenario, &demand, options.seed);
    let rehearsed = hold_rehearsal(scenario, &demand, options, None)?;
    Ok(Proof { scenario, predicted, rehearsed })
}

/// Predicts the share of a scenario's value that is served in time.
fn predict(scenario: &Scenario, demand: &Demand, seed: u64) -> Interval {
    let share = |run: u64| {
        let model_scenario = sedgestack_model::Scenario {
            fleet: &scenario.fleet,
            demand,
            faults: scenario.faults.clone(),
            changes: Vec::new(),
            record: false,
        };
        simulate(&model_scenario, seed + run).score.overall.share()
    };
    Interval::of(&(0..MODEL_RUNS).map(share).collect::<Vec<_>>())
}

fn print_table(first_class: &str, proofs: &[Proof<'_>]) {
    let first = format!("{first_class} in time");
    let head =
        ["scenario", "predicted", "rehearsed", "error", first.as_str(), "crashed", "lateness ms", "verdict"];
    println!("{}", table(&head, proofs.iter().map(Proof::row).collect()));
}

fn verdict(proofs: &[Proof<'_>]) -> Verdict {
    let any = |comparison| proofs.iter().any(|proof| proof.comparison() == comparison);
    if any(Comparison::Missed) {
        Verdict::No
    } else if any(Comparison::Void) {
        Verdict::Void
    } else {
        Verdict::Done
    }
}
