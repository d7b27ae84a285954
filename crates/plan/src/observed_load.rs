//! Statistics of the load that a plan is based on.

use std::collections::BTreeMap;

use serde::Serialize;

use sedgestack_fleet::{Fleet, GrowthBy, Micros};
use sedgestack_model::demand::{Arrival, Demand};

use crate::source::Source;

const SECOND: Micros = 1_000_000;
/// Length of the window over which the peak of a load is measured, in seconds.
const PEAK_SECONDS: usize = 10;
/// Share of its quota above which a customer counts as near its quota.
const NEAR_QUOTA: f64 = 0.9;
/// Seed of the demand from which the statistics are computed.
const STATISTICS_SEED: u64 = 1;

/// The share of one class in a load. It is serialized as an array of its three fields.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, f64, f64)")]
pub struct ClassLoad {
    /// The class's name.
    pub name: String,
    /// The class's share of first tries.
    pub share: f64,
    /// The class's rate of first tries in its busiest 10 s, as a multiple of its mean rate.
    pub peak: f64,
}

impl From<ClassLoad> for (String, f64, f64) {
    fn from(class: ClassLoad) -> (String, f64, f64) {
        (class.name, class.share, class.peak)
    }
}

/// The share of one plan in a load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlanLoad {
    /// The plan's name.
    pub name: String,
    /// Number of the plan's customers that sent requests.
    pub customers: usize,
    /// Units per second that these customers requested.
    pub units_per_s: f64,
    /// Units requested, as a share of what the customers' quotas allow.
    pub quota_use: f64,
    /// Share of these customers that request over 90% of their quota.
    pub near_quota: f64,
}

/// Statistics of a load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ObservedLoad {
    /// Whether the load was captured; otherwise the fleet file describes it.
    pub from_capture: bool,
    /// Length of the load, in seconds.
    pub length_s: f64,
    /// Mean rate of first tries, per second.
    pub first_tries_per_s: f64,
    /// Rate of first tries in the busiest 10 s, as a multiple of the mean rate.
    pub peak: f64,
    /// The share of each class.
    pub classes: Vec<ClassLoad>,
    /// The share of each plan.
    pub plans: Vec<PlanLoad>,
    /// Work of the load, as a share of the capacity of the fleet's cores once all backends are warm.
    pub work_share: f64,
    /// Mean number of requests in flight at limiters, if the load was captured.
    pub open_mean: Option<f64>,
    /// Number of client retries left out of the captured load.
    pub retries: usize,
}

/// Computes the statistics of the load of a source.
pub fn observed_load(fleet: &Fleet, source: &Source) -> ObservedLoad {
    let demand = source.demand(fleet, 1.0, GrowthBy::Customers, STATISTICS_SEED);
    let seconds = demand.length as f64 / 1e6;
    let first_tries_per_s = first_try_count(&demand) / seconds;
    let work: f64 = demand.arrivals.iter().map(|arrival| arrival.work).sum();
    let (open_mean, retries) = match source {
        Source::Described => (None, 0),
        Source::Captured { tries, .. } => {
            (Some(tries.open_mean), tries.retries_marked + tries.retries_by_key + tries.retries_inferred)
        }
    };
    ObservedLoad {
        from_capture: matches!(source, Source::Captured { .. }),
        length_s: seconds,
        first_tries_per_s,
        peak: peak_per_s(&demand, |_| true) / first_tries_per_s,
        classes: (0..fleet.classes.len()).map(|class| class_load(fleet, &demand, class)).collect(),
        plans: (0..fleet.plans.len()).map(|plan| plan_load(fleet, &demand, plan)).collect(),
        work_share: work / (demand.length as f64 * fleet.capacity()),
        open_mean,
        retries,
    }
}

fn first_try_count(demand: &Demand) -> f64 {
    demand.arrivals.len().max(1) as f64
}

/// Returns the highest rate of matching first tries over 10 s, per second.
fn peak_per_s(demand: &Demand, is_included: impl Fn(&Arrival) -> bool) -> f64 {
    let mut by_second = vec![0u32; demand.length.div_ceil(SECOND) as usize + 1];
    for arrival in demand.arrivals.iter().filter(|arrival| is_included(arrival)) {
        by_second[(arrival.at / SECOND) as usize] += 1;
    }
    let window = PEAK_SECONDS.min(by_second.len());
    let most = by_second.windows(window).map(|seconds| seconds.iter().sum::<u32>()).max().unwrap_or(0);
    f64::from(most) / window as f64
}

fn class_load(fleet: &Fleet, demand: &Demand, class: usize) -> ClassLoad {
    let seconds = demand.length as f64 / 1e6;
    let count = demand.arrivals.iter().filter(|arrival| arrival.class == class).count() as f64;
    ClassLoad {
        name: fleet.classes[class].name.clone(),
        share: count / first_try_count(demand),
        peak: peak_per_s(demand, |arrival| arrival.class == class) * seconds / count.max(1.0),
    }
}

fn plan_load(fleet: &Fleet, demand: &Demand, index: usize) -> PlanLoad {
    let plan = &fleet.plans[index];
    let seconds = demand.length as f64 / 1e6;
    let mut by_customer: BTreeMap<u64, f64> = BTreeMap::new();
    for arrival in demand.arrivals.iter().filter(|arrival| arrival.plan == index) {
        *by_customer.entry(arrival.customer).or_default() += arrival.units;
    }
    let units: f64 = by_customer.values().sum();
    let allowed = plan.rate * seconds;
    let near = by_customer.values().filter(|units| **units > NEAR_QUOTA * allowed).count() as f64;
    PlanLoad {
        name: plan.name.clone(),
        customers: by_customer.len(),
        units_per_s: units / seconds,
        quota_use: units / (allowed * by_customer.len().max(1) as f64),
        near_quota: near / by_customer.len().max(1) as f64,
    }
}
