//! Draws the plots of a plan.

mod bars;
mod lines;
mod svg;

use sedgestack_fleet::Fleet;
use sedgestack_plan::{Evaluation, Interval, Loss, Plan};

use lines::{line_plot, Axes, ErrorBar, Line, Mark};

pub use bars::losses;

/// Number of losses in the timeline, the costliest first.
const SHOWN_LOSSES: usize = 2;

/// Plots the value served in time and the share of each class answered in time, by number of backends.
pub fn backends(fleet: &Fleet, plan: &Plan) -> String {
    let line = |name: String, of: &dyn Fn(&Evaluation) -> Interval| {
        let points = plan.least.points.iter();
        let bars = points.map(|point| ErrorBar::percent(f64::from(point.backends), of(&point.evaluation)));
        Line::with_bars(name, bars.collect())
    };
    let mut all = vec![line("worth in time, inside quotas".into(), &|evaluation| evaluation.service)];
    for (index, class) in fleet.classes.iter().enumerate() {
        let name = format!("{} let through, in time", class.name);
        all.push(line(name, &|evaluation| evaluation.in_time[index]));
    }
    let objective = fleet.objectives.in_time.iter().copied().fold(0.0, f64::max);
    let axes = Axes {
        threshold: (objective > 0.0)
            .then(|| Mark { at: 100.0 * objective, name: format!("aim {:.0}%", 100.0 * objective) }),
        max_y: Some(101.0),
        mark_x: plan.least.backends.map(|n| Mark { at: f64::from(n), name: format!("least: {n}") }),
        ..Axes::new("workers", "% (bars: 95% intervals)")
    };
    line_plot(&axes, &all)
}

/// Plots the latency percentiles of the first class, by load.
pub fn latency(fleet: &Fleet, plan: &Plan) -> String {
    let line = |percentile: usize, name: &str| {
        let points = plan.breaks.points.iter();
        let bars =
            points.map(|point| ErrorBar::plain(point.multiple, point.evaluation.latency_ms[0][percentile]));
        Line::with_bars(name.into(), bars.collect())
    };
    let objective = fleet.classes[0].latency_objective as f64 / 1e3;
    let axes = Axes {
        threshold: Some(Mark { at: objective, name: format!("aim {objective:.0} ms") }),
        min_y: Some(0.0),
        ..Axes::new("times today's load", "ms")
    };
    line_plot(&axes, &[line(0, "p50"), line(1, "p95"), line(2, "p99")])
}

/// Plots the peak utilization of each resource, by load. Of the plans it shows the one with the largest share of units
/// beyond quota under the highest load.
pub fn utilization(fleet: &Fleet, plan: &Plan) -> String {
    let line = |name: &str, of: &dyn Fn(&Evaluation) -> f64| {
        let points = plan.breaks.points.iter();
        Line::new(name.into(), points.map(|p| (p.multiple, 100.0 * of(&p.evaluation))).collect())
    };
    let beyond_quota =
        |index: usize| plan.breaks.points.last().map_or(0.0, |p| p.evaluation.beyond_quota[index].mean);
    let busiest =
        (0..fleet.plans.len()).max_by(|a, b| beyond_quota(*a).total_cmp(&beyond_quota(*b))).unwrap_or(0);
    let quota = format!("asked beyond quota, {}", fleet.plans[busiest].name);
    let first = plan.breaks.first();
    let axes = Axes {
        min_y: Some(0.0),
        mark_x: first.map(|b| Mark { at: b.multiple, name: format!("first: {}", b.name.to_lowercase()) }),
        ..Axes::new("times today's load", "% of capacity at the peak")
    };
    let all = [
        line("worker cores", &|evaluation| evaluation.cores_peak.mean),
        line("counter calls", &|evaluation| evaluation.counter_peak.mean),
        line("a limiter's CPU", &|evaluation| evaluation.limiter_cpu_peak.mean),
        line("a limiter's sockets", &|evaluation| evaluation.limiter_sockets_peak.mean),
        line(&quota, &|evaluation| evaluation.beyond_quota[busiest].mean),
    ];
    line_plot(&axes, &all)
}

/// Plots the value served in time by second of the run, without a loss and with each of the costliest losses.
pub fn timeline(plan: &Plan) -> String {
    let line = |name: String, evaluation: &Evaluation| {
        let seconds = evaluation.seconds();
        let points = seconds.iter().enumerate().map(|(second, share)| (second as f64, 100.0 * share));
        Line::new(name, points.collect())
    };
    let mut costliest: Vec<&Loss> = plan.losses.iter().collect();
    costliest.sort_by(|a, b| b.cost.mean.total_cmp(&a.cost.mean));
    let mut all = vec![line("as it is".into(), &plan.today)];
    all.extend(costliest.iter().take(SHOWN_LOSSES).map(|loss| line(loss.name.clone(), &loss.evaluation)));
    let axes =
        Axes { min_y: Some(0.0), max_y: Some(110.0), ..Axes::new("second of the run", "% of worth in time") };
    line_plot(&axes, &all)
}
