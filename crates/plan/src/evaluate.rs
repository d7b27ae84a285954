//! One fleet under one load: runs of all seeds, pooled.

use rayon::prelude::*;
use serde::Serialize;

use sedgestack_fleet::{Fleet, GrowthBy};
use sedgestack_model::gauges;
use sedgestack_model::score::{worst_in_time, Score, ValueServed};
use sedgestack_model::{run, Fault, RunOutcome, Scenario};

use crate::interval::Interval;
use crate::source::Source;

/// The latency percentiles that are stated.
const PERCENTILES: [f64; 3] = [50.0, 95.0, 99.0];

/// The worst of some thirty windows lies so many standard errors below the mean by chance (the normal
/// distribution's quantile of one in a hundred).
const WORST_BY_CHANCE: f64 = 2.33;

/// A class's share of requests answered in time within a window, all seeds pooled.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowShare {
    /// The share answered in time of those let through.
    pub share: f64,
    /// Second of the run at which the window begins.
    pub from_s: u64,
    /// Requests in it that limiters let through.
    pub let_through: u64,
}

impl WindowShare {
    /// Whether it lies below an objective by more than chance makes the worst of many windows.
    fn is_below(&self, objective: f64) -> bool {
        let error = (objective * (1.0 - objective) / self.let_through.max(1) as f64).sqrt();
        self.share < objective - WORST_BY_CHANCE * error
    }
}

/// What a fleet does under a load.
#[derive(Clone, Debug, Serialize)]
pub struct Evaluation {
    /// The fleet's backends.
    #[serde(rename = "workers")]
    pub backends: u32,
    /// Value served in time over value asked for inside quotas, over the whole run.
    pub service: Interval,
    /// The same in the worst 10 s.
    pub worst_window: Interval,
    /// By class, of what limiters let through: share within the latency objective.
    pub in_time: Vec<Interval>,
    /// The worst 10 s of each class, all seeds pooled.
    pub worst_in_time: Vec<WindowShare>,
    /// Latency percentiles by class, milliseconds: 50, 95, 99.
    pub latency_ms: Vec<[Interval; 3]>,
    /// `service` by plan.
    pub plans: Vec<Interval>,
    /// Busy share of the backends' cores, on average.
    pub cores_mean: Interval,
    /// Busy share of the backends' cores at the peak.
    pub cores_peak: Interval,
    /// Part of attempts that backends rejected as full.
    pub turned_away: Interval,
    /// Calls to the counter at the peak, as a share of those it can take.
    pub counter_peak: Interval,
    /// Part of counter calls not answered in time.
    pub counter_unanswered: Interval,
    /// Busy share of the busiest limiter's CPU at the peak.
    pub limiter_cpu_peak: Interval,
    /// Used share of a limiter's sockets at the peak.
    pub limiter_sockets_peak: Interval,
    /// By plan: part of the units asked for that lie beyond quotas.
    pub beyond_quota: Vec<Interval>,
    /// Units sent on beyond quotas as a part of all units sent on.
    pub overspent: Interval,
    /// Backends that failed under load while warming up, all seeds.
    pub fallen: u64,
    /// First tries, all seeds.
    pub first_tries: u64,
    /// `service` by seed.
    #[serde(skip)]
    pub(crate) shares: Vec<f64>,
    /// The figures that a resource breaks by, by seed.
    #[serde(skip)]
    pub(crate) figures: Vec<Figures>,
    /// Value asked for and served in time by seed and second.
    #[serde(skip)]
    pub(crate) by_second: Vec<Vec<ValueServed>>,
}

/// The figures of one seed that a resource breaks by.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    pub cores_peak: f64,
    pub turned_away: f64,
    pub counter_peak: f64,
    pub counter_unanswered: f64,
    pub limiter_cpu_peak: f64,
    pub limiter_sockets_peak: f64,
    pub beyond_quota: Vec<f64>,
}

impl Figures {
    fn of(fleet: &Fleet, outcome: &RunOutcome) -> Figures {
        let seconds = &outcome.seconds;
        let sum = |of: &dyn Fn(&gauges::Second) -> f64| seconds.iter().map(of).sum::<f64>();
        let calls = sum(&|second| second.counter) * fleet.counter.calls_per_second;
        let beyond = |(inside, beyond): &(f64, f64)| ratio(*beyond, inside + beyond);
        Figures {
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
    /// Whether every class keeps its objective, over the whole run and in its worst 10 s.
    pub fn keeps(&self, objectives: &[f64]) -> bool {
        let is_kept = |class: usize, objective: f64| {
            self.in_time[class].mean >= objective && !self.worst_in_time[class].is_below(objective)
        };
        objectives
            .iter()
            .enumerate()
            .all(|(class, objective)| *objective <= 0.0 || is_kept(class, *objective))
    }

    /// Whether every class keeps its objective even at the low end of its interval.
    pub fn surely_keeps(&self, objectives: &[f64]) -> bool {
        let low = |class: usize| self.in_time[class].low;
        let mut classes = objectives.iter().enumerate();
        self.keeps(objectives)
            && classes.all(|(class, objective)| *objective <= 0.0 || low(class) >= *objective)
    }

    /// Value served in time over value asked for by second of the run, all seeds together.
    pub fn seconds(&self) -> Vec<f64> {
        let length = self.by_second.iter().map(Vec::len).max().unwrap_or(0);
        let at = |second: usize| share(self.by_second.iter().filter_map(|seconds| seconds.get(second)));
        (0..length).map(at).collect()
    }

    /// Value served in time over value asked for between two seconds, by seed.
    pub(crate) fn shares_between(&self, from: usize, to: usize) -> Vec<f64> {
        let between = |seconds: &Vec<ValueServed>| {
            share(seconds[from.min(seconds.len())..to.min(seconds.len())].iter())
        };
        self.by_second.iter().map(between).collect()
    }
}

/// Value served in time over value asked for, as sums over seconds.
fn share<'a>(seconds: impl Iterator<Item = &'a ValueServed>) -> f64 {
    let add = |sum: ValueServed, second: &ValueServed| ValueServed {
        asked: sum.asked + second.asked,
        in_time: sum.in_time + second.in_time,
    };
    seconds.fold(ValueServed::default(), add).share()
}

/// Runs all seeds of a fleet under a load, in parallel, and pools them in the order of the seeds.
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
    pool(fleet, &outcomes)
}

fn pool(fleet: &Fleet, outcomes: &[RunOutcome]) -> Evaluation {
    let each = |of: &dyn Fn(&RunOutcome) -> f64| Interval::of(&outcomes.iter().map(of).collect::<Vec<_>>());
    let classes = fleet.classes.len();
    let plans = fleet.plans.len();
    let scores: Vec<&Score> = outcomes.iter().map(|outcome| &outcome.score).collect();
    let worst = |class| {
        let (worst, from_s) = worst_in_time(&scores, class);
        WindowShare { share: worst.share(), from_s, let_through: worst.let_through }
    };
    let latency =
        |class| PERCENTILES.map(|p| each(&|outcome| outcome.score.percentile(class, p) as f64 / 1e3));
    let figures: Vec<Figures> = outcomes.iter().map(|outcome| Figures::of(fleet, outcome)).collect();
    let figure = |of: &dyn Fn(&Figures) -> f64| Interval::of(&figures.iter().map(of).collect::<Vec<_>>());
    let shares: Vec<f64> = outcomes.iter().map(|outcome| outcome.score.overall.share()).collect();
    Evaluation {
        backends: fleet.backend_count(),
        service: Interval::of(&shares),
        worst_window: each(&|outcome| outcome.score.worst_window),
        in_time: (0..classes).map(|class| each(&|outcome| outcome.score.in_time[class].share())).collect(),
        worst_in_time: (0..classes).map(worst).collect(),
        latency_ms: (0..classes).map(latency).collect(),
        plans: (0..plans).map(|plan| each(&|outcome| outcome.score.plans[plan].share())).collect(),
        cores_mean: each(&|outcome| gauges::mean(&outcome.seconds, |second| second.cores)),
        cores_peak: figure(&|figures| figures.cores_peak),
        turned_away: figure(&|figures| figures.turned_away),
        counter_peak: figure(&|figures| figures.counter_peak),
        counter_unanswered: figure(&|figures| figures.counter_unanswered),
        limiter_cpu_peak: figure(&|figures| figures.limiter_cpu_peak),
        limiter_sockets_peak: figure(&|figures| figures.limiter_sockets_peak),
        beyond_quota: (0..plans).map(|plan| figure(&|figures| figures.beyond_quota[plan])).collect(),
        overspent: each(&|outcome| overspent(&outcome.score)),
        fallen: outcomes.iter().map(|outcome| outcome.counts.backend_crashes).sum(),
        first_tries: outcomes.iter().map(|outcome| outcome.counts.first_tries).sum(),
        shares,
        figures,
        by_second: outcomes.iter().map(|outcome| outcome.score.seconds.clone()).collect(),
    }
}

fn overspent(score: &Score) -> f64 {
    ratio(score.units_beyond, score.units_inside + score.units_beyond)
}

/// A part of a whole; 0 of nothing.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}
