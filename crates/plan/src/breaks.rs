//! Finds the resources that reach their limits as load grows, and in which order.

use serde::Serialize;

use sedgestack_fleet::{Fleet, GrowthBy};

use crate::evaluate::{evaluate, Evaluation, RunMetrics};
use crate::interval::Interval;
use crate::source::Source;

/// The multiples of today's load at which the fleet is evaluated.
const MULTIPLES: [f64; 13] = [0.5, 0.75, 1.0, 1.15, 1.3, 1.5, 1.75, 2.0, 2.3, 2.6, 3.0, 3.5, 4.0];
/// Utilization of the backends' cores at which they count as broken. A peak utilization, here and below, is the mean
/// over the busiest 5% of seconds.
const CORES_LIMIT: f64 = 0.95;
/// Share of attempts rejected by full backends at which the backend queues count as broken.
const TURNED_AWAY_LIMIT: f64 = 0.01;
/// Utilization of the quota counter's call capacity at which the counter counts as broken.
const COUNTER_CALLS_LIMIT: f64 = 0.95;
/// Share of counter calls not answered in time at which the counter counts as broken.
const UNANSWERED_LIMIT: f64 = 0.05;
/// Utilization of a limiter's CPU or sockets at which they count as broken.
const LIMITER_PEAK_LIMIT: f64 = 0.9;
/// A plan's quota counts as broken when the share of requested units beyond quota is this much higher than at today's
/// load.
const BEYOND_QUOTA_INCREASE: f64 = 0.1;

/// A resource that can break under load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Resource {
    /// The cores of the backends.
    #[serde(rename = "worker_cores")]
    BackendCores,
    /// The queues of the backends. Backends reject requests once their queue is full.
    #[serde(rename = "waiting_room")]
    BackendQueue,
    /// The quota counter's capacity for calls.
    CounterCalls,
    /// The CPU of the busiest limiter.
    LimiterCpu,
    /// The sockets of the limiter that has the most open.
    LimiterSockets,
    /// The quota of the customers of a plan.
    PlanQuota {
        /// The plan's index in the fleet.
        plan: usize,
    },
}

impl Resource {
    /// Returns the display name of the resource.
    pub fn name(&self, fleet: &Fleet) -> String {
        match self {
            Resource::BackendCores => "Worker cores".into(),
            Resource::BackendQueue => "Workers' waiting room".into(),
            Resource::CounterCalls => "Counter calls".into(),
            Resource::LimiterCpu => "A limiter's CPU".into(),
            Resource::LimiterSockets => "A limiter's sockets".into(),
            Resource::PlanQuota { plan } => format!("The quota of plan {}", fleet.plans[*plan].name),
        }
    }
}

/// A resource and the multiple of today's load at which it breaks, interpolated linearly between two evaluated
/// multiples.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Break {
    /// The resource that breaks.
    pub resource: Resource,
    /// The display name of the resource.
    pub name: String,
    /// The multiple of today's load at which the mean over seeds reaches the limit.
    pub multiple: f64,
    /// The interval of that multiple, over the seeds in which the resource breaks.
    pub interval: Interval,
    /// The limit that the resource's metric reached.
    pub limit: f64,
}

/// The fleet's evaluation at one multiple of today's load.
#[derive(Clone, Debug, Serialize)]
pub struct SweepPoint {
    /// The multiple of today's load.
    pub multiple: f64,
    /// The fleet's results at that load.
    pub evaluation: Evaluation,
}

/// The fleet at its present size, evaluated under a range of loads.
#[derive(Clone, Debug, Serialize)]
pub struct Sweep {
    /// The way in which load grows: `customers` (more customers) or `use` (more requests of each customer).
    pub by: String,
    /// The evaluations, by increasing load.
    pub points: Vec<SweepPoint>,
    /// The resources that break, by increasing load.
    pub breaks: Vec<Break>,
    /// The highest multiple up to which every objective is met; `None` if even the lowest load misses one.
    pub aims_hold_to: Option<f64>,
}

impl Sweep {
    /// Returns the resource that breaks first.
    pub fn first(&self) -> Option<&Break> {
        self.breaks.first()
    }
}

/// A metric of a run, the resource that it measures, and the limit at which the resource counts as broken.
struct Criterion {
    resource: Resource,
    limit: f64,
    metric: Box<dyn Fn(&RunMetrics) -> f64>,
}

impl Criterion {
    fn new(resource: Resource, limit: f64, metric: impl Fn(&RunMetrics) -> f64 + 'static) -> Criterion {
        Criterion { resource, limit, metric: Box::new(metric) }
    }

    /// Returns where the mean over seeds reaches the limit; `None` if it never does.
    fn find_break(&self, fleet: &Fleet, points: &[SweepPoint], seeds: u32) -> Option<Break> {
        let mean = |point: &SweepPoint| {
            let metrics = &point.evaluation.metrics;
            metrics.iter().map(&self.metric).sum::<f64>() / metrics.len().max(1) as f64
        };
        let multiple = self.crossing(points, mean)?;
        let of_seed =
            |seed: usize| self.crossing(points, |point| (self.metric)(&point.evaluation.metrics[seed]));
        let by_seed: Vec<f64> = (0..seeds as usize).filter_map(of_seed).collect();
        Some(Break {
            resource: self.resource,
            name: self.resource.name(fleet),
            multiple,
            interval: Interval::of(&by_seed),
            limit: self.limit,
        })
    }

    fn crossing(&self, points: &[SweepPoint], metric: impl Fn(&SweepPoint) -> f64) -> Option<f64> {
        let metric_point =
            |point: &SweepPoint| MetricPoint { multiple: point.multiple, metric: metric(point) };
        crossing(&points.iter().map(metric_point).collect::<Vec<_>>(), self.limit)
    }
}

/// The value of a metric at a multiple of today's load.
#[derive(Clone, Copy)]
struct MetricPoint {
    multiple: f64,
    metric: f64,
}

/// Evaluates the fleet at every multiple of today's load and finds where each resource breaks.
pub fn sweep(fleet: &Fleet, source: &Source, by: GrowthBy, seeds: u32) -> Sweep {
    let point = |multiple: f64| SweepPoint {
        multiple,
        evaluation: evaluate(fleet, source, multiple, by, &[], seeds),
    };
    let points: Vec<SweepPoint> = MULTIPLES.iter().map(|multiple| point(*multiple)).collect();
    let objectives = &fleet.objectives.in_time;
    let met = points.iter().take_while(|point| point.evaluation.meets_objectives(objectives));
    let aims_hold_to = met.last().map(|point| point.multiple);
    let by = match by {
        GrowthBy::Customers => "customers",
        GrowthBy::Use => "use",
    };
    Sweep { by: by.into(), breaks: find_breaks(fleet, &points, seeds), points, aims_hold_to }
}

fn find_breaks(fleet: &Fleet, points: &[SweepPoint], seeds: u32) -> Vec<Break> {
    let mut breaks: Vec<Break> = Vec::new();
    for criterion in criteria(points) {
        let Some(found) = criterion.find_break(fleet, points, seeds) else { continue };
        match breaks.iter_mut().find(|known| known.resource == found.resource) {
            Some(known) if known.multiple <= found.multiple => {}
            Some(known) => *known = found,
            None => breaks.push(found),
        }
    }
    breaks.sort_by(|a, b| a.multiple.total_cmp(&b.multiple));
    breaks
}

fn criteria(points: &[SweepPoint]) -> Vec<Criterion> {
    let today = points.iter().find(|point| point.multiple == 1.0).expect("1 is among the multiples");
    let mut criteria = vec![
        Criterion::new(Resource::BackendCores, CORES_LIMIT, |metrics| metrics.cores_peak),
        Criterion::new(Resource::BackendQueue, TURNED_AWAY_LIMIT, |metrics| metrics.turned_away),
        Criterion::new(Resource::CounterCalls, COUNTER_CALLS_LIMIT, |metrics| metrics.counter_peak),
        Criterion::new(Resource::CounterCalls, UNANSWERED_LIMIT, |metrics| metrics.counter_unanswered),
        Criterion::new(Resource::LimiterCpu, LIMITER_PEAK_LIMIT, |metrics| metrics.limiter_cpu_peak),
        Criterion::new(Resource::LimiterSockets, LIMITER_PEAK_LIMIT, |metrics| metrics.limiter_sockets_peak),
    ];
    for (plan, today) in today.evaluation.beyond_quota.iter().enumerate() {
        let limit = today.mean + BEYOND_QUOTA_INCREASE;
        criteria.push(Criterion::new(Resource::PlanQuota { plan }, limit, move |f| f.beyond_quota[plan]));
    }
    criteria
}

/// Returns the multiple at which a metric first reaches its limit, interpolated linearly between the points.
fn crossing(points: &[MetricPoint], limit: f64) -> Option<f64> {
    let first = points.iter().position(|point| point.metric >= limit)?;
    let after = points[first];
    let Some(before) = first.checked_sub(1).map(|index| points[index]) else { return Some(after.multiple) };
    let span = after.multiple - before.multiple;
    Some(before.multiple + span * (limit - before.metric) / (after.metric - before.metric))
}

#[cfg(test)]
mod tests;
