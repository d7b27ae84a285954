//! Renders a plan as one self-contained HTML page.

use sedgestack_fleet::Fleet;
use sedgestack_plan::{BusiestDay, CountPoint, Fit, ObservedLoad, Plan};

use crate::figures::{fit_row, interval, percent, range};
use crate::markup::{escape, figure, small_print, table, to_strings, Row};
use crate::plots;

const STYLE: &str = include_str!("html/style.css");

/// Returns the HTML page of a plan.
pub fn page(fleet: &Fleet, plan: &Plan) -> String {
    let name = escape(&plan.fleet);
    let body = [
        summary(&name, plan),
        backends(fleet, plan),
        breaks(fleet, plan),
        losses(plan),
        load(&plan.load),
        plan.fit.as_ref().map(fit).unwrap_or_default(),
        small_print(&format!(
            "Every figure is based on {} seeds; ± is half the width of a 95% interval by Student's t. Service is \
             the worth answered in time as a share of the worth asked for within quotas.",
            plan.seeds
        )),
    ]
    .concat();
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\
         <title>Capacity plan: {name}</title><style>{STYLE}</style></head>\n<body>\n{body}</body></html>\n"
    )
}

fn summary(name: &str, plan: &Plan) -> String {
    let mut body = format!("<h1>Capacity plan: {name}</h1>\n<ul class=\"answer\">\n");
    for conclusion in &plan.conclusions {
        body.push_str(&format!("<li>{}</li>\n", escape(conclusion)));
    }
    body.push_str("</ul>\n");
    for warning in &plan.warnings {
        body.push_str(&format!("<p class=\"warning\">{}</p>\n", escape(warning)));
    }
    body
}

fn backends(fleet: &Fleet, plan: &Plan) -> String {
    let plot = figure(
        &plots::backends(fleet, plan),
        "Every count is run on the same seeds. An aim is kept if the share in time reaches it over the whole run and \
         falls below it in the class's worst 10 s by no more than chance explains.",
    );
    let growth = match &plan.busiest_day {
        BusiestDay::Stated { growth, uncertainty, seen_part, .. } => small_print(&format!(
            "Planned for {growth} times the observed load, ± {}. {} of the planned load was observed.",
            percent(*uncertainty),
            percent(*seen_part)
        )),
        BusiestDay::Refused { .. } => String::new(),
    };
    format!("<h2>How many workers</h2>\n{plot}{}{growth}", counts(fleet, plan))
}

fn counts(fleet: &Fleet, plan: &Plan) -> String {
    let mut head = to_strings(&["Workers", "By room", "Aims"]);
    head.extend(fleet.classes.iter().map(|class| format!("{} in time", class.name)));
    head.extend(fleet.classes.iter().map(|class| format!("{} worst 10 s", class.name)));
    head.extend(to_strings(&["Service", "Worst 10 s", "Cores busy"]));
    let row = |point: &CountPoint| Row {
        is_highlighted: plan.least.backends == Some(point.backends),
        cells: count_cells(point),
    };
    table(&head, plan.least.points.iter().map(row))
}

fn count_cells(point: &CountPoint) -> Vec<String> {
    let evaluation = &point.evaluation;
    let zones: Vec<String> = point.by_zone.iter().map(u32::to_string).collect();
    let verdict = if point.keeps { "kept" } else { "missed" };
    let mut cells = vec![point.backends.to_string(), zones.join(" + "), verdict.into()];
    cells.extend(evaluation.in_time.iter().map(interval));
    cells.extend(evaluation.worst_in_time.iter().map(|window| percent(window.share)));
    let totals = [&evaluation.service, &evaluation.worst_window, &evaluation.cores_mean];
    cells.extend(totals.map(interval));
    cells
}

fn breaks(fleet: &Fleet, plan: &Plan) -> String {
    let utilization =
        figure(&plots::utilization(fleet, plan), "Each peak is the mean over the busiest 5% of seconds.");
    let latency = figure(
        &plots::latency(fleet, plan),
        &format!("Latency of {} as clients see it, for the try that was served.", fleet.classes[0].name),
    );
    let rows = plan.breaks.breaks.iter().map(|found| {
        Row::plain(vec![found.name.clone(), format!("{:.2}", found.multiple), range(&found.interval)])
    });
    let head = to_strings(&["Resource", "Breaks at times today's load", "Over seeds"]);
    format!("<h2>What breaks first</h2>\n{utilization}{latency}{}", table(&head, rows))
}

fn losses(plan: &Plan) -> String {
    let costs = figure(&plots::losses(plan), "Differences from the same seeds without the loss.");
    let timeline = figure(&plots::timeline(plan), "Worth in time by the second in which it was asked for.");
    let rows = plan.losses.iter().map(|loss| {
        let figures = [&loss.cost, &loss.cost_whole, &loss.evaluation.service];
        Row::plain(std::iter::once(loss.name.clone()).chain(figures.map(interval)).collect())
    });
    let head = to_strings(&["Loss", "Worth lost while it lasts", "Over the run", "Service"]);
    format!("<h2>What losses cost</h2>\n{costs}{timeline}{}", table(&head, rows))
}

fn load(load: &ObservedLoad) -> String {
    let from = if load.from_capture { "Captured" } else { "Described in the fleet file" };
    let rows = load.plans.iter().map(|plan| {
        Row::plain(vec![
            plan.name.clone(),
            plan.customers.to_string(),
            format!("{:.1}", plan.units_per_s),
            percent(plan.quota_use),
            percent(plan.near_quota),
        ])
    });
    let head = to_strings(&["Plan", "Customers", "Units a second", "Of their quotas", "Near or over quota"]);
    format!(
        "<h2>The load</h2>\n<p>{from}: {:.1} first tries a second over {:.0} s, {:.2} times that in the busiest 10 s; \
         their work is {} of the capacity of the warm fleet.</p>\n{}",
        load.first_tries_per_s,
        load.length_s,
        load.peak,
        percent(load.work_share),
        table(&head, rows)
    )
}

fn fit(fit: &Fit) -> String {
    let head = ["Class", "Work × file's", "Highest", "p50 ms, seen / model", "p95 ms", "Unexplained"];
    let rows = fit.classes.iter().map(|class| Row::plain(fit_row(class)));
    format!(
        "<h2>How far the model explains the capture</h2>\n{}{}",
        table(&to_strings(&head), rows),
        small_print(&format!(
            "{} of the answers would need a different latency for model and capture to agree.",
            percent(fit.unexplained)
        ))
    )
}
