//! Estimates the effect of a runtime configuration change by running both versions on the same demand and seeds.

use std::collections::BTreeMap;

use rayon::prelude::*;
use serde::Serialize;

use sedgestack_fleet::{Fleet, GrowthBy};
use sedgestack_model::{run, ObservedOutcome, RunOutcome, Scenario};

use crate::interval::Interval;
use crate::source::Source;

/// Minimum share of a customer's tries that must be rejected for the customer to count as rejected.
const MIN_REJECTED_SHARE: f64 = 0.2;
/// Minimum number of a customer's tries that must be rejected for the customer to count as rejected.
const MIN_REJECTED: u64 = 3;

/// The effect of a change on one plan's customers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlanImpact {
    /// The plan's name.
    pub plan: String,
    /// Number of the plan's customers that sent requests, in the first seed.
    pub customers: usize,
    /// Share of tries rejected before the change.
    pub refused_before: Interval,
    /// Share of tries rejected after the change.
    pub refused_after: Interval,
    /// Number of customers that count as rejected only after the change, averaged over seeds.
    pub newly_refused: f64,
    /// Value served in time as a share of the value requested within quotas, before the change and by the old quotas.
    pub service_before: Interval,
    /// Value served in time as a share of the value requested within quotas, after the change and by the new quotas.
    pub service_after: Interval,
}

/// A customer of a plan.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Customer {
    plan: usize,
    id: u64,
}

/// The number of a customer's tries, and how many of them were rejected.
#[derive(Clone, Copy, Default)]
struct TryCount {
    tries: u64,
    rejected: u64,
}

impl TryCount {
    fn is_rejected(&self) -> bool {
        self.rejected >= MIN_REJECTED && self.rejected as f64 >= MIN_REJECTED_SHARE * self.tries as f64
    }
}

/// The try counts of all customers in one run.
type Counts = BTreeMap<Customer, TryCount>;

/// The runs of one seed under both versions.
struct RunPair {
    before: RunOutcome,
    after: RunOutcome,
    counts_before: Counts,
    counts_after: Counts,
}

impl RunPair {
    fn run(before: &Fleet, after: &Fleet, source: &Source, seed: u64) -> RunPair {
        // Customers ask for the same under both versions, so demand is drawn once, by the quotas before the change.
        let demand = source.demand(before, 1.0, GrowthBy::Customers, seed);
        let [before, after] = [before, after]
            .map(|fleet| run(&Scenario { record: true, ..Scenario::new(fleet, &demand) }, seed));
        let (counts_before, counts_after) = (counts(&before), counts(&after));
        RunPair { before, after, counts_before, counts_after }
    }

    /// Returns how many customers of a plan count as rejected only after the change.
    fn newly_rejected(&self, plan: usize) -> f64 {
        let was_rejected =
            |customer: &Customer| self.counts_before.get(customer).is_some_and(TryCount::is_rejected);
        let is_new =
            |(customer, count): &(&Customer, &TryCount)| count.is_rejected() && !was_rejected(customer);
        of_plan(&self.counts_after, plan).filter(is_new).count() as f64
    }
}

fn counts(outcome: &RunOutcome) -> Counts {
    let mut counts = Counts::new();
    for request in &outcome.observed {
        let count = counts.entry(Customer { plan: request.plan, id: request.customer }).or_default();
        count.tries += 1;
        count.rejected += u64::from(request.outcome == ObservedOutcome::Rejected);
    }
    counts
}

fn of_plan(counts: &Counts, plan: usize) -> impl Iterator<Item = (&Customer, &TryCount)> {
    counts.iter().filter(move |(customer, _)| customer.plan == plan)
}

/// Returns the share of the tries of a plan's customers that were rejected.
fn rejected_share(counts: &Counts, plan: usize) -> f64 {
    let add = |sum: TryCount, (_, count): (&Customer, &TryCount)| TryCount {
        tries: sum.tries + count.tries,
        rejected: sum.rejected + count.rejected,
    };
    let sum = of_plan(counts, plan).fold(TryCount::default(), add);
    sum.rejected as f64 / sum.tries.max(1) as f64
}

/// Runs both versions of a fleet on the same demand for each seed, and returns the effect of the change by plan.
pub fn impact(before: &Fleet, after: &Fleet, source: &Source, seeds: u32) -> Vec<PlanImpact> {
    let run_pair = |seed: u64| RunPair::run(before, after, source, seed);
    let pairs: Vec<RunPair> = (1..=u64::from(seeds)).into_par_iter().map(run_pair).collect();
    (0..before.plans.len()).map(|plan| plan_impact(&before.plans[plan].name, plan, &pairs)).collect()
}

fn plan_impact(name: &str, plan: usize, pairs: &[RunPair]) -> PlanImpact {
    let interval_of = |of: &dyn Fn(&RunPair) -> f64| Interval::of(&pairs.iter().map(of).collect::<Vec<_>>());
    let newly_rejected: f64 = pairs.iter().map(|pair| pair.newly_rejected(plan)).sum();
    PlanImpact {
        plan: name.to_string(),
        customers: of_plan(&pairs[0].counts_before, plan).count(),
        refused_before: interval_of(&|pair| rejected_share(&pair.counts_before, plan)),
        refused_after: interval_of(&|pair| rejected_share(&pair.counts_after, plan)),
        newly_refused: newly_rejected / pairs.len().max(1) as f64,
        service_before: interval_of(&|pair| pair.before.score.plans[plan].share()),
        service_after: interval_of(&|pair| pair.after.score.plans[plan].share()),
    }
}
