//! Evaluates one fleet under one load, over several seeds.

use rayon::prelude::*;
use serde::Serialize;

use sedgestack_fleet::{Fleet, GrowthBy};
use sedgestack_model::gauges;
use sedgestack_model::score::{worst_in_time, Score, ValueServed};
use sedgestack_model::{run, Fault, RunOutcome, Scenario};

use crate::interval::Interval;
use crate::source::Source;

/// Latency percentiles that an evaluation reports.
const PERCENTILES: [f64; 3] = [50.0, 95.0, 99.0];

/// Number of standard errors by which the worst of about thirty windows may lie below an objective by chance: the 1%
/// quantile of the normal distribution.
const WORST_WINDOW_STANDARD_ERRORS: f64 = 2.33;

/// A class's share of requests answered within the latency objective in one window, over all seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowShare {
    /// Share of the admitted requests that were answered in time.
    pub share: f64,
    /// Start of the window, in seconds from the start of the run.
    pub from_s: u64,
    /// Number of requests that limiters admitted in the window.
    pub let_through: u64,
}

impl WindowShare {
    /// Whether the share lies below an objective by more than chance explains for the worst of many windows.
    fn is_significantly_below(&self, objective: f64) -> bool {
        let error = (objective * (1.0 - objective) / self.let_through.max(1) as f64).sqrt();
        self.share < objective - WORST_WINDOW_STANDARD_ERRORS * error
    }
}

/// The results of a fleet under a load.
#[derive(Clone, Debug, Serialize)]
pub struct Evaluation {
    /// Number of backends in the fleet.
    #[serde(rename = "workers")]
    pub backends: u32,
    /// Value served in time as a share of the value requested within quotas, over the whole run.
    pub service: Interval,
    /// `service` in the worst 10 s of the run.
    pub worst_window: Interval,
    /// By class: share of the admitted requests that were answered within the latency objective.
    pub in_time: Vec<Interval>,
    /// By class: the worst 10 s over all seeds.
    pub worst_in_time: Vec<WindowShare>,
    /// By class: the 50th, 95th and 99th latency percentile, in milliseconds.
    pub latency_ms: Vec<[Interval; 3]>,
    /// By plan: `service`.
    pub plans: Vec<Interval>,
    /// Mean utilization of the backends' cores.
    pub cores_mean: Interval,
    /// Peak utilization of the backends' cores.
    pub cores_peak: Interval,
    /// Share of attempts that full backends rejected.
    pub turned_away: Interval,
    /// Peak utilization of the quota counter's call capacity.
    pub counter_peak: Interval,
    /// Share of counter calls that were not answered in time.
    pub counter_unanswered: Interval,
    /// Peak CPU utilization of the busiest limiter.
    pub limiter_cpu_peak: Interval,
    /// Peak share of a limiter's sockets in use, for the limiter with the most.
    pub limiter_sockets_peak: Interval,
    /// By plan: share of the requested units that exceed the customers' quotas.
    pub beyond_quota: Vec<Interval>,
    /// Share of the admitted units that exceed the customers' quotas.
    pub overspent: Interval,
    /// Number of backends that failed under load while warming up, over all seeds.
    pub fallen: u64,
    /// Number of first tries (requests that are not client retries), over all seeds.
    pub first_tries: u64,
    /// By seed: `service`.
    #[serde(skip)]
    pub(crate) shares: Vec<f64>,
    /// By seed: the metrics that tell whether a resource breaks.
    #[serde(skip)]
    pub(crate) metrics: Vec<RunMetrics>,
    /// By seed and second: value requested, and value served in time.
    #[serde(skip)]
    pub(crate) by_second: Vec<Vec<ValueServed>>,
}

/// The metrics of one seed that tell whether a resource breaks.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunMetrics {
    pub cores_peak: f64,
    pub turned_away: f64,
    pub counter_peak: f64,
    pub counter_unanswered: f64,
    pub limiter_cpu_peak: f64,
    pub limiter_sockets_peak: f64,
    pub beyond_quota: Vec<f64>,
}

impl RunMetrics {
    fn of(fleet: &Fleet, outcome: &RunOutcome) -> RunMetrics {
        let seconds = &outcome.seconds;
        let sum = |of: &dyn Fn(&gauges::Second) -> f64| seconds.iter().map(of).sum::<f64>();
        let calls = sum(&|second| second.counter) * fleet.counter.calls_per_second;
        let beyond = |(inside, beyond): &(f64, f64)| ratio(*beyond, inside + beyond);
        RunMetrics {
            cores_peak: gauges::peak(seconds, |second| second.cores),
            turned_away: ratio(
                sum(&|second| second.backend_rejections as f64),
                outcome.counts.attempts as f64,
            ),
            counter_peak: gauges::peak(seconds, |second| second.counter),
            counter_unanswered: ratio(sum(&|second| second.counter_unanswered as f64), calls),
            limiter_cpu_peak: gauges::peak(seconds, |second| second.limiter_cpu),
            limiter_sockets_peak: gauges::peak(seconds, |second| second.limiter_sockets),
            beyond_quota: outcome.score.asked_units.iter().map(beyond).collect(),
        }
    }
}

impl Evaluation {
    /// Whether every class meets its objective, both over the whole run and in its worst 10 s.
    pub fn meets_objectives(&self, objectives: &[f64]) -> bool {
        let is_met = |class: usize, objective: f64| {
            self.in_time[class].mean >= objective
                && !self.worst_in_time[class].is_significantly_below(objective)
        };
        objectives.iter().enumerate().all(|(class, objective)| *objective <= 0.0 || is_met(class, *objective))
    }

    /// Whether every class meets its objective even at the low end of its interval.
    pub fn surely_meets_objectives(&self, objectives: &[f64]) -> bool {
        let low = |class: usize| self.in_time[class].low;
        let mut classes = objectives.iter().enumerate();
        self.meets_objectives(objectives)
            && classes.all(|(class, objective)| *objective <= 0.0 || low(class) >= *objective)
    }

    /// Returns, by second of the run, the value served in time as a share of the value requested, over all seeds.
    pub fn seconds(&self) -> Vec<f64> {
        let length = self.by_second.iter().map(Vec::len).max().unwrap_or(0);
        let at = |second: usize| share(self.by_second.iter().filter_map(|seconds| seconds.get(second)));
        (0..length).map(at).collect()
    }

    /// Returns, by seed, the value served in time as a share of the value requested between two seconds.
    pub(crate) fn shares_between(&self, from: usize, to: usize) -> Vec<f64> {
        let between = |seconds: &Vec<ValueServed>| {
            share(seconds[from.min(seconds.len())..to.min(seconds.len())].iter())
        };
        self.by_second.iter().map(between).collect()
    }
}

/// Returns the value served in time as a share of the value requested, both summed over seconds.
fn share<'a>(seconds: impl Iterator<Item = &'a ValueServed>) -> f64 {
    let add = |sum: ValueServed, second: &ValueServed| ValueServed {
        asked: sum.asked + second.asked,
        in_time: sum.in_time + second.in_time,
    };
    seconds.fold(ValueServed::default(), add).share()
}

/// Runs a fleet under a load for all seeds in parallel and combines the results in seed order.
///
/// `growth` multiplies the load of `source`; `by` tells whether it adds customers or requests of each customer.
pub fn evaluate(
    fleet: &Fleet,
    source: &Source,
    growth: f64,
    by: GrowthBy,
    faults: &[Fault],
    seeds: u32,
) -> Evaluation {
    let run_seed = |seed: u64| {
        let demand = source.demand(fleet, growth, by, seed);
        let faults = faults.to_vec();
        run(&Scenario { faults, ..Scenario::new(fleet, &demand) }, seed)
    };
    let outcomes: Vec<RunOutcome> = (1..=u64::from(seeds)).into_par_iter().map(run_seed).collect();
    combine_seeds(fleet, &outcomes)
}

fn combine_seeds(fleet: &Fleet, outcomes: &[RunOutcome]) -> Evaluation {
    let interval_of =
        |of: &dyn Fn(&RunOutcome) -> f64| Interval::of(&outcomes.iter().map(of).collect::<Vec<_>>());
    let classes = fleet.classes.len();
    let plans = fleet.plans.len();
    let scores: Vec<&Score> = outcomes.iter().map(|outcome| &outcome.score).collect();
    let worst = |class| {
        let (worst, from_s) = worst_in_time(&scores, class);
        WindowShare { share: worst.share(), from_s, let_through: worst.let_through }
    };
    let latency =
        |class| PERCENTILES.map(|p| interval_of(&|outcome| outcome.score.percentile(class, p) as f64 / 1e3));
    let metrics: Vec<RunMetrics> = outcomes.iter().map(|outcome| RunMetrics::of(fleet, outcome)).collect();
    let metric_interval =
        |of: &dyn Fn(&RunMetrics) -> f64| Interval::of(&metrics.iter().map(of).collect::<Vec<_>>());
    let shares: Vec<f64> = outcomes.iter().map(|outcome| outcome.score.overall.share()).collect();
    Evaluation {
        backends: fleet.backend_count(),
        service: Interval::of(&shares),
        worst_window: interval_of(&|outcome| outcome.score.worst_window),
        in_time: (0..classes)
            .map(|class| interval_of(&|outcome| outcome.score.in_time[class].share()))
            .collect(),
        worst_in_time: (0..classes).map(worst).collect(),
        latency_ms: (0..classes).map(latency).collect(),
        plans: (0..plans).map(|plan| interval_of(&|outcome| outcome.score.plans[plan].share())).collect(),
        cores_mean: interval_of(&|outcome| gauges::mean(&outcome.seconds, |second| second.cores)),
        cores_peak: metric_interval(&|metrics| metrics.cores_peak),
        turned_away: metric_interval(&|metrics| metrics.turned_away),
        counter_peak: metric_interval(&|metrics| metrics.counter_peak),
        counter_unanswered: metric_interval(&|metrics| metrics.counter_unanswered),
        limiter_cpu_peak: metric_interval(&|metrics| metrics.limiter_cpu_peak),
        limiter_sockets_peak: metric_interval(&|metrics| metrics.limiter_sockets_peak),
        beyond_quota: (0..plans).map(|plan| metric_interval(&|metrics| metrics.beyond_quota[plan])).collect(),
        overspent: interval_of(&|outcome| overspent(&outcome.score)),
        fallen: outcomes.iter().map(|outcome| outcome.counts.backend_crashes).sum(),
        first_tries: outcomes.iter().map(|outcome| outcome.counts.first_tries).sum(),
        shares,
        metrics,
        by_second: outcomes.iter().map(|outcome| outcome.score.seconds.clone()).collect(),
    }
}

fn overspent(score: &Score) -> f64 {
    ratio(score.units_beyond, score.units_inside + score.units_beyond)
}

/// Returns `part / whole`, or 0 if `whole` is not positive.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}
