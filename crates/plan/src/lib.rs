//! The capacity planner.
//!
//! From a fleet and its load, which is either captured or described in the fleet file, the planner estimates the
//! minimum number of backends that meets the objectives, the resources that break first as load grows, and the cost of
//! losing parts of the fleet. The metrics behind these results have confidence intervals over seeds.
//!
//! The planner does no I/O. Seeds run in parallel and their results are combined in seed order, so the same input gives
//! the same plan.
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

/// Mean utilization of the backends' cores below which a load counts as that of a quiet day.
pub const QUIET_DAY_UTILIZATION: f64 = 0.6;

/// The number of backends for the busiest day, if it can be stated.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum BusiestDay {
    /// The fleet file states by how much the busiest day exceeds the observed load.
    Stated {
        /// The planned load, as a multiple of the observed load.
        growth: f64,
        /// Uncertainty of that multiple, as a share of it.
        uncertainty: f64,
        /// Share of the planned load that was observed; the rest is assumed by the growth block.
        seen_part: f64,
        /// Minimum number of backends at the low end of the uncertainty; `None` if no count in range meets the
        /// objectives.
        least_low: Option<u32>,
        /// Minimum number of backends at the high end of the uncertainty; `None` if no count in range meets the
        /// objectives.
        least_high: Option<u32>,
    },
    /// The load of the busiest day is unknown, since the fleet file has no growth block.
    Refused {
        /// What is missing, for display.
        why: String,
    },
}

/// The result of the planner.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// The fleet's name.
    pub fleet: String,
    /// Number of backends in the fleet.
    #[serde(rename = "workers_today")]
    pub backends_today: u32,
    /// Number of seeds, each a simulated run, behind every metric.
    pub seeds: u32,
    /// The load that the plan is based on.
    pub load: ObservedLoad,
    /// The fit of the model to the captured load; `None` for a described load.
    pub fit: Option<Fit>,
    /// What limits the accuracy of the plan, in sentences.
    pub warnings: Vec<String>,
    /// The number of backends for the busiest day.
    pub busiest_day: BusiestDay,
    /// The fleet at its present size, under the planned load.
    pub today: Evaluation,
    /// The minimum number of backends that meets the objectives.
    pub least: MinimumBackends,
    /// The resources that break as load grows.
    pub breaks: Sweep,
    /// The cost of losing parts of the fleet.
    pub losses: Vec<Loss>,
    /// Gain from one backend more than the minimum: additional value served in time, as a share of the value requested.
    pub one_more: Option<Interval>,
    /// The summary of the plan, in sentences.
    pub conclusions: Vec<String>,
}

impl Plan {
    /// Whether a count in range meets the objectives.
    pub fn meets_objectives(&self) -> bool {
        self.least.backends.is_some()
    }
}

/// Reports progress: the current step, and the fraction of the work completed so far.
pub type Progress<'a> = &'a (dyn Fn(&str, f64) + Sync);

/// Makes a capacity plan for a fleet under the load of `source`, with `seeds` simulated runs behind every metric.
pub fn plan(fleet: &Fleet, source: &Source, seeds: u32, progress: Progress<'_>) -> Plan {
    let growth = fleet.growth.as_ref();
    let factor = growth.map_or(1.0, |growth| growth.factor);
    let by = growth.map_or(GrowthBy::Customers, |growth| growth.by);
    progress("the fleet as it is", 0.0);
    let load = observed_load::observed_load(fleet, source);
    let today = evaluate(fleet, source, factor, by, &[], seeds);
    progress("least workers", 0.1);
    let least = search::least(fleet, source, factor, by, seeds);
    let busiest_day = match growth {
        Some(growth) => {
            progress("least workers at both ends of the growth's uncertainty", 0.3);
            stated_busiest_day(fleet, source, growth, seeds)
        }
        None => unstated_busiest_day(&today),
    };
    progress("what breaks first", 0.5);
    let breaks = breaks::sweep(fleet, source, by, seeds);
    progress("losses", 0.8);
    let losses = losses::losses(fleet, source, factor, by, seeds, &today);
    let one_more = search::marginal_gain(fleet, source, factor, by, seeds, &least);
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
        let factor = growth.factor * (1.0 + sign * growth.uncertainty);
        search::least(fleet, source, factor, growth.by, seeds).backends
    };
    BusiestDay::Stated {
        growth: growth.factor,
        uncertainty: growth.uncertainty,
        seen_part: (1.0 / growth.factor).min(1.0),
        least_low: least_at(-1.0),
        least_high: least_at(1.0),
    }
}

fn unstated_busiest_day(today: &Evaluation) -> BusiestDay {
    BusiestDay::Refused {
        why: format!(
            "the observed load uses {:.0}% of the workers' cores on average and {:.0}% at its peak, and nothing \
             states how far the busiest day exceeds it. Add a growth block to the fleet file, such as growth \
             {{ load = 1.8 }}",
            100.0 * today.cores_mean.mean,
            100.0 * today.cores_peak.mean
        ),
    }
}

fn warnings(source: &Source, growth: Option<&Growth>, today: &Evaluation) -> Vec<String> {
    let mut warnings = source.warnings().to_vec();
    if growth.is_none() && today.cores_mean.mean < QUIET_DAY_UTILIZATION {
        warnings
            .push("the observed load is that of a quiet day, so the counts below apply to such a day".into());
    }
    warnings
}
