//! Searches for the minimum number of backends that meets the objectives.

use std::collections::BTreeMap;

use serde::Serialize;

use sedgestack_fleet::{Fleet, GrowthBy};

use crate::evaluate::{evaluate, Evaluation};
use crate::interval::Interval;
use crate::source::Source;

/// Number of counts to evaluate on either side of the minimum.
const SHOWN_NEIGHBOURS: u32 = 3;
/// Number of equal steps over the range at whose ends counts are evaluated if no count meets the objectives.
const RANGE_STEPS: u32 = 6;

/// The evaluation of one number of backends.
#[derive(Clone, Debug, Serialize)]
pub struct CountPoint {
    /// The number of backends.
    #[serde(rename = "workers")]
    pub backends: u32,
    /// Number of backends in each zone.
    #[serde(rename = "by_room")]
    pub by_zone: Vec<u32>,
    /// Whether this number of backends meets every objective.
    pub keeps: bool,
    /// The fleet's results with this number of backends.
    pub evaluation: Evaluation,
}

/// The minimum number of backends that meets the objectives, and the evaluations around it.
#[derive(Clone, Debug, Serialize)]
pub struct MinimumBackends {
    /// The minimum; `None` if no count in range meets the objectives.
    #[serde(rename = "workers")]
    pub backends: Option<u32>,
    /// Number of these backends in each zone; empty if there is no minimum.
    #[serde(rename = "by_room")]
    pub by_zone: Vec<u32>,
    /// The lowest evaluated count, from the minimum upwards, that meets the objectives even at the low end of every
    /// interval.
    pub surely: Option<u32>,
    /// The evaluated counts, in ascending order.
    pub points: Vec<CountPoint>,
}

/// A search over the counts in range, with the evaluations so far.
struct Search<'a> {
    fleet: &'a Fleet,
    source: &'a Source,
    growth: f64,
    by: GrowthBy,
    seeds: u32,
    points: BTreeMap<u32, CountPoint>,
}

impl Search<'_> {
    /// Returns the evaluation of a count, and runs it if it has not run yet.
    fn at(&mut self, backends: u32) -> &CountPoint {
        let (fleet, source, seeds) = (self.fleet, self.source, self.seeds);
        let (growth, by) = (self.growth, self.by);
        self.points.entry(backends).or_insert_with(|| {
            let sized = fleet.with_backends(backends);
            let evaluation = evaluate(&sized, source, growth, by, &[], seeds);
            CountPoint {
                backends,
                by_zone: sized.zones.iter().map(|zone| zone.backends.iter().sum()).collect(),
                keeps: evaluation.meets_objectives(&fleet.objectives.in_time),
                evaluation,
            }
        })
    }

    /// Returns the minimum count in range that meets the objectives: by binary search, and then upwards while the count
    /// above the result fails.
    fn find(&mut self) -> Option<u32> {
        let (mut low, highest) = self.fleet.objectives.backends;
        let mut high = highest;
        if !self.at(highest).keeps {
            return None;
        }
        while low < high {
            let middle = (low + high) / 2;
            if self.at(middle).keeps {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        while low < highest && !self.at(low + 1).keeps {
            low += 2;
        }
        let found = low.min(highest);
        self.at(found).keeps.then_some(found)
    }

    /// Evaluates the counts around the minimum, or counts spread over the whole range if there is none.
    fn run_shown_counts(&mut self, found: Option<u32>) {
        let (lowest, highest) = self.fleet.objectives.backends;
        match found {
            Some(count) => {
                for backends in count.saturating_sub(SHOWN_NEIGHBOURS).max(lowest)
                    ..=(count + SHOWN_NEIGHBOURS).min(highest)
                {
                    self.at(backends);
                }
            }
            None => {
                for step in 0..=RANGE_STEPS {
                    self.at(lowest + (highest - lowest) * step / RANGE_STEPS);
                }
            }
        }
    }
}

/// Searches the counts in range for the minimum that meets the objectives.
///
/// The search assumes that additional backends never break an objective, and checks this at the count above the
/// result: if that count fails, the search continues above it.
pub fn least(fleet: &Fleet, source: &Source, growth: f64, by: GrowthBy, seeds: u32) -> MinimumBackends {
    let mut search = Search { fleet, source, growth, by, seeds, points: BTreeMap::new() };
    let found = search.find();
    search.run_shown_counts(found);
    let is_sure = |point: &&CountPoint| {
        found.is_some_and(|count| point.backends >= count)
            && point.evaluation.surely_meets_objectives(&fleet.objectives.in_time)
    };
    MinimumBackends {
        backends: found,
        by_zone: found.map(|count| search.at(count).by_zone.clone()).unwrap_or_default(),
        surely: search.points.values().find(is_sure).map(|point| point.backends),
        points: search.points.into_values().collect(),
    }
}

/// Returns the gain from one backend more than the minimum: the additional value served in time, as a share of the
/// value requested. The search has evaluated both counts, except that the higher one runs here if the minimum is the
/// highest count in range.
pub fn marginal_gain(
    fleet: &Fleet,
    source: &Source,
    growth: f64,
    by: GrowthBy,
    seeds: u32,
    least: &MinimumBackends,
) -> Option<Interval> {
    let backends = least.backends?;
    let shares = |count| match least.points.iter().find(|point| point.backends == count) {
        Some(point) => point.evaluation.shares.clone(),
        None => evaluate(&fleet.with_backends(count), source, growth, by, &[], seeds).shares,
    };
    Some(Interval::of_differences(&shares(backends + 1), &shares(backends)))
}
