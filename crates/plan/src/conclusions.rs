//! Summarizes a plan in sentences.

use sedgestack_fleet::Fleet;

use crate::breaks::{Resource, Sweep};
use crate::{BusiestDay, Plan};

/// Below this peak utilization of their cores, the backends are not the reason why an objective is missed.
const IDLE_PEAK_UTILIZATION: f64 = 0.6;

/// Returns the sentences that summarize a plan, beginning with the minimum number of backends.
pub fn conclusions(fleet: &Fleet, plan: &Plan) -> Vec<String> {
    let mut sentences = minimum_backends(fleet, plan);
    sentences.push(busiest_day(&plan.busiest_day));
    sentences.extend(first_break(fleet, &plan.breaks));
    sentences.extend(costliest_loss(fleet, plan));
    sentences.extend(one_more(plan));
    sentences
}

fn objectives(fleet: &Fleet) -> String {
    let shares = fleet.objectives.in_time.iter().zip(&fleet.classes);
    let objectives: Vec<String> = shares
        .filter(|(share, _)| **share > 0.0)
        .map(|(share, class)| {
            format!("{:.1}% of {} within {} ms", 100.0 * share, class.name, class.latency_objective / 1_000)
        })
        .collect();
    objectives.join(" and ")
}

fn minimum_backends(fleet: &Fleet, plan: &Plan) -> Vec<String> {
    let objectives = objectives(fleet);
    if let Some(count) = plan.least.backends {
        return vec![format!("{count} workers keep {objectives}; there are {} today.", plan.backends_today)];
    }
    let (lowest, highest) = fleet.objectives.backends;
    let mut sentences = vec![format!("No count from {lowest} to {highest} keeps {objectives}.")];
    let most =
        plan.least.points.last().filter(|point| point.evaluation.cores_peak.mean < IDLE_PEAK_UTILIZATION);
    if let Some(most) = most {
        sentences.push(format!(
            "The number of workers is not the cause: with {} of them, their cores are {:.0}% busy at the peak.",
            most.backends,
            100.0 * most.evaluation.cores_peak.mean
        ));
    }
    sentences
}

fn busiest_day(busiest_day: &BusiestDay) -> String {
    match busiest_day {
        BusiestDay::Stated { growth, uncertainty, seen_part, least_low, least_high } => {
            let count =
                |count: &Option<u32>| count.map_or("no count in range".to_string(), |n| n.to_string());
            format!(
                "At {growth} times the observed load, {:.0}% of the planned load was observed and the growth block \
                 assumes the rest; within its uncertainty of {:.0}% the least count ranges from {} to {}.",
                100.0 * seen_part,
                100.0 * uncertainty,
                count(least_low),
                count(least_high)
            )
        }
        BusiestDay::Refused { why } => format!("No count for the busiest day is stated: {why}."),
    }
}

fn first_break(fleet: &Fleet, breaks: &Sweep) -> Vec<String> {
    let Some(first) = breaks.first() else {
        let most = breaks.points.last().map_or(1.0, |point| point.multiple);
        return vec![format!("Nothing breaks up to {most:.1} times today's load.")];
    };
    let mut sentences = vec![format!(
        "What breaks first as load grows: {}, at {:.2} times today's load ({:.2} to {:.2} over seeds).",
        first.resource.name(fleet).to_lowercase(),
        first.multiple,
        first.interval.low.max(0.0),
        first.interval.high
    )];
    if let Resource::PlanQuota { .. } = first.resource {
        sentences.push(
            "Customers reach their quotas before the workers reach their capacity: requests beyond quota are \
             refused however many workers there are, so more workers buy nothing there."
                .into(),
        );
    }
    sentences
}

fn costliest_loss(fleet: &Fleet, plan: &Plan) -> Option<String> {
    let costliest = plan.losses.iter().max_by(|a, b| a.cost.mean.total_cmp(&b.cost.mean))?;
    Some(format!(
        "The costliest loss is {}: {:.1}% of the worth asked for while it lasts.",
        costliest.kind.name(fleet),
        100.0 * costliest.cost.mean
    ))
}

fn one_more(plan: &Plan) -> Option<String> {
    let gain = plan.one_more?;
    Some(if gain.low > 0.0 {
        format!("One worker more than the least gains {:.2}% of the worth asked for.", 100.0 * gain.mean)
    } else {
        "One worker more than the least gains no measurable worth in these runs.".into()
    })
}
