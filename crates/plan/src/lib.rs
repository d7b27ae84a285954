//! The capacity planner. For a fleet and a load, either captured or described by the fleet file, it finds the minimum
//! number of backends that meets the objectives, what breaks first as the load grows, and what losses cost. Each figure
//! has a confidence interval.
//!
//! The planner does no I/O. It runs seeds in parallel and collects their results in order, so the same input always
//! gives the same plan.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod breaks;
mod conclusions;
mod evaluate;
mod first_tries;
mod fit;
mod growth;
mod impact;
pub mod interval;
mod losses;
mod observed_load;
mod retries;
mod search;
mod source;
mod synth;
mod weights;
mod work_scales;

use serde::Serialize;

use sedgestack_fleet::{Fleet, Growth, GrowthBy};

pub use breaks::{Break, Resource, Sweep, SweepPoint};
pub use evaluate::{evaluate, Evaluation, WindowShare};
pub use first_tries::{CaptureError, FirstTries, FirstTry};
pub use fit::{fit, ClassFit, Fit};
pub use impact::{impact, PlanImpact};
pub use interval::Interval;
pub use losses::{Loss, LossKind};
pub use observed_load::{ClassLoad, ObservedLoad, PlanLoad};
pub use search::{CountPoint, MinimumBackends};
pub use source::Source;
pub use synth::synthesize;

/// Mean utilization of the backends' cores below which the load is considered that of a quiet day.
pub const QUIET_USE: f64 = 0.6;

/// The number of backends needed on the busiest day, if it can be stated.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum BusiestDay {
    /// The planned load is the observed load times a growth factor.
    Stated {
        /// Factor from the observed load to the planned load.
        growth: f64,
        /// Uncertainty of the factor, as a share of the factor.
        uncertainty: f64,
        /// Share of the planned load that was observed; the rest is assumed in the growth block of the fleet file.
        seen_part: f64,
        /// Minimum number of backends at the low end of the uncertainty; `None` if no number in range meets the
        /// objectives.
        least_low: Option<u32>,
        /// Minimum number of backends at the high end of the uncertainty; `None` if no number in range meets the
        /// objectives.
        least_high: Option<u32>,
    },
    /// Neither the load nor the fleet file shows how busy the busiest day is.
    Refused {
        /// What is missing, as a sentence for people.
        why: String,
    },
}

/// The results of the planner.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// The fleet's name.
    pub fleet: String,
    /// The fleet's current number of backends.
    #[serde(rename = "workers_today")]
    pub backends_today: u32,
    /// Number of runs, each with its own seed, from which every figure is estimated.
    pub seeds: u32,
    /// The load on which the plan is based.
    pub load: ObservedLoad,
    /// How well the model reproduces the captured load; `None` without a capture.
    pub fit: Option<Fit>,
    /// Limitations of the results, as sentences for people.
    pub warnings: Vec<String>,
    /// The number of backends needed on the busiest day, if it can be stated.
    pub busiest_day: BusiestDay,
    /// The current fleet under the planned load.
    pub today: Evaluation,
    /// The minimum number of backends that meets the objectives.
    pub least: MinimumBackends,
    /// What breaks as the load grows.
    pub breaks: Sweep,
    /// What losses cost.
    pub losses: Vec<Loss>,
    /// Value served in time that one backend more than the minimum gains, as a share of the requested value; `None` if
    /// no number in range meets the objectives.
    pub one_more: Option<Interval>,
    /// Conclusions from the figures, as sentences for people.
    pub conclusions: Vec<String>,
}

impl Plan {
    /// Whether any number of backends in range meets the objectives.
    pub fn meets_aims(&self) -> bool {
        self.least.backends.is_some()
    }
}

/// Callback for a progress display. Its arguments are the step that begins, and the completed fraction of all work.
pub type Progress<'a> = &'a (dyn Fn(&str, f64) + Sync);

/// Plans the capacity of a fleet under a load. Every figure is estimated from `seeds` runs.
pub fn plan(fleet: &Fleet, source: &Source, seeds: u32, progress: Progress<'_>) -> Plan {
    let growth = fleet.growth.as_ref();
    let factor = growth.map_or(1.0, |growth| growth.load);
    let by = growth.map_or(GrowthBy::Customers, |growth| growth.by);
    progress("the fleet as it is", 0.0);
    let load = observed_load::observed_load(fleet, source);
    let today = evaluate(fleet, source, factor, by, &[], seeds);
    progress("least workers", 0.1);
    let least = search::least(fleet, source, factor, by, seeds);
    let busiest_day = match growth {
        Some(growth) => {
            progress("least workers at the ends of the growth", 0.3);
            stated_busiest_day(fleet, source, growth, seeds)
        }
        None => unstated_busiest_day(&today),
    };
    progress("what breaks first", 0.5);
    let breaks = breaks::sweep(fleet, source, by, seeds);
    progress("losses", 0.8);
    let losses = losses::losses(fleet, source, factor, by, seeds, &today);
    let one_more = search::marginal(fleet, source, factor, by, seeds, &least);
    progress("done", 1.0);
    let mut plan = Plan {
        fleet: fleet.name.clone(),
        backends_today: fleet.backend_count(),
        seeds,
        load,
        fit: source.fit().cloned(),
        warnings: warnings(source, growth, &today),
        busiest_day,
        today,
        least,
        breaks,
        losses,
        one_more,
        conclusions: Vec::new(),
    };
    plan.conclusions = conclusions::conclusions(fleet, &plan);
    plan
}

fn stated_busiest_day(fleet: &Fleet, source: &Source, growth: &Growth, seeds: u32) -> BusiestDay {
    let least_at = |sign: f64| {
        let factor = growth.load * (1.0 + sign * growth.uncertainty);
        search::least(fleet, source, factor, growth.by, seeds).backends
    };
    BusiestDay::Stated {
        growth: growth.load,
        uncertainty: growth.uncertainty,
        seen_part: (1.0 / growth.load).min(1.0),
        least_low: least_at(-1.0),
        least_high: least_at(1.0),
    }
}

fn unstated_busiest_day(today: &Evaluation) -> BusiestDay {
    BusiestDay::Refused {
        why: format!(
            "the load seen uses {:.0}% of the workers' cores on average and {:.0}% at its peak; nothing says \
             how far the busiest day lies above it. Add a growth block to the fleet file, as growth {{ load \
             = 1.8 }}",
            100.0 * today.cores_mean.mean,
            100.0 * today.cores_peak.mean
        ),
    }
}

fn warnings(source: &Source, growth: Option<&Growth>, today: &Evaluation) -> Vec<String> {
    let mut warnings = source.warnings().to_vec();
    if growth.is_none() && today.cores_mean.mean < QUIET_USE {
        warnings.push("the load seen is that of a quiet day: the counts below are for such a day".into());
    }
    warnings
}
