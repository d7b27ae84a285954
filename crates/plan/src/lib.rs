//! The capacity planner: load (captured, or as a fleet file describes it) and a fleet in; the least backends that
//! keep the objectives, what breaks first as load grows, and what losses cost out, each with an interval.
//!
//! It does no I/O. Seeds run in parallel and are gathered in their order, so the same input gives the same plan.
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

/// Beneath this mean use of the backends' cores a load is that of a quiet day.
pub const QUIET_USE: f64 = 0.6;

/// Whether a busiest-day count can be stated.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum BusiestDay {
    /// The load planned for is the observed one, grown.
    Stated {
        /// How many times the observed load is planned for.
        growth: f64,
        /// How uncertain that factor is, as a share of it.
        uncertainty: f64,
        /// Part of the planned load that was observed; the rest rests on the growth block.
        seen_part: f64,
        /// Least backends at the low end of the uncertainty; `None` where no count in range does.
        least_low: Option<u32>,
        /// The same at the high end.
        least_high: Option<u32>,
    },
    /// Nothing says how busy the busiest day is.
    Refused {
        /// What is missing, in a sentence.
        why: String,
    },
}

/// The planner's whole answer.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// The fleet's name.
    pub fleet: String,
    /// The fleet's backends.
    #[serde(rename = "workers_today")]
    pub backends_today: u32,
    /// Runs behind every figure.
    pub seeds: u32,
    /// The load that the plan rests on.
    pub load: ObservedLoad,
    /// How far the model explains the captured load.
    pub fit: Option<Fit>,
    /// What bounds the answer, in sentences.
    pub warnings: Vec<String>,
    /// Whether a count for the busiest day can be stated.
    pub busiest_day: BusiestDay,
    /// The fleet as it is, under the load planned for.
    pub today: Evaluation,
    /// The least backends that keep the objectives.
    pub least: MinimumBackends,
    /// What breaks as load grows.
    pub breaks: Sweep,
    /// What losses cost.
    pub losses: Vec<Loss>,
    /// Value served in time, as a share of the value asked for, gained by one backend more than the least.
    pub one_more: Option<Interval>,
    /// What follows, in sentences.
    pub conclusions: Vec<String>,
}

impl Plan {
    /// Whether a count in range meets the objectives.
    pub fn meets_objectives(&self) -> bool {
        self.least.backends.is_some()
    }
}

/// A step of the work, for a progress display: what is done, and the part of the whole that is behind.
pub type Progress<'a> = &'a (dyn Fn(&str, f64) + Sync);

/// Plans for a fleet under a load. `seeds` runs back every figure.
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
