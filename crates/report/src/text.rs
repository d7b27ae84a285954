//! Renders a plan as text for a terminal.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{Cell, CellAlignment, ContentArrangement};

use sedgestack_fleet::Fleet;
use sedgestack_plan::{CountPoint, Plan, SweepPoint};

use crate::figures::{fit_row, interval, percent, range, whole_number};

pub use comfy_table::Table;

/// Creates a table whose first column is left-aligned and whose other columns are right-aligned.
pub fn table(head: &[&str], rows: Vec<Vec<String>>) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(head.iter().map(Cell::new));
    for row in rows {
        table.add_row(row);
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Returns the text of a plan: the conclusions and warnings first, then the tables behind them.
pub fn plan(fleet: &Fleet, plan: &Plan) -> String {
    let mut out = format!("Capacity plan for {}, {} seeds\n\n", plan.fleet, plan.seeds);
    plan.conclusions.iter().for_each(|conclusion| out.push_str(&format!("  * {conclusion}\n")));
    plan.warnings.iter().for_each(|warning| out.push_str(&format!("  ! {warning}\n")));
    let mut section = |title: &str, table: Table| out.push_str(&format!("\n{title}\n{table}\n"));
    section("The load", load(plan));
    if let Some(fit) = &plan.fit {
        let head = ["class", "work x file's", "highest", "p50 ms seen/model", "p95 ms", "unexplained"];
        let rows = fit.classes.iter().map(fit_row).collect();
        section("How the model explains the capture", table(&head, rows));
    }
    section("Workers", backends(fleet, plan));
    section("As load grows, with the workers of today", sweep(fleet, plan));
    section("What breaks, in order", breaks(plan));
    section("What losses cost", losses(plan));
    out
}

fn breaks(plan: &Plan) -> Table {
    let rows = plan
        .breaks
        .breaks
        .iter()
        .map(|found| vec![found.name.clone(), format!("{:.2}", found.multiple), range(&found.interval)]);
    table(&["resource", "at x today's load", "over seeds"], rows.collect())
}

fn losses(plan: &Plan) -> Table {
    let rows = plan.losses.iter().map(|loss| {
        vec![
            loss.name.clone(),
            interval(&loss.cost),
            interval(&loss.cost_whole),
            interval(&loss.evaluation.service),
            loss.evaluation.fallen.to_string(),
        ]
    });
    let head = ["loss", "worth lost while it lasts", "over the run", "service", "fallen workers"];
    table(&head, rows.collect())
}

fn load(plan: &Plan) -> Table {
    let load = &plan.load;
    let mut rows = vec![vec![
        "first tries".into(),
        format!("{:.1}/s over {:.0} s", load.first_tries_per_s, load.length_s),
        format!("busiest 10 s: x {:.2}", load.peak),
        format!("{} of the fleet's cores if all were let through", percent(load.work_share)),
    ]];
    for class in &load.classes {
        let peak = format!("busiest 10 s: x {:.2}", class.peak);
        rows.push(vec![class.name.clone(), percent(class.share), peak, String::new()]);
    }
    for plan in &load.plans {
        rows.push(vec![
            plan.name.clone(),
            format!("{:.1} units/s", plan.units_per_s),
            format!("{} customers, {} of their quotas", plan.customers, percent(plan.quota_use)),
            format!("{} near or over quota", percent(plan.near_quota)),
        ]);
    }
    table(&["", "rate or share", "", ""], rows)
}

fn backends(fleet: &Fleet, plan: &Plan) -> Table {
    let in_time = fleet.classes.iter().map(|class| format!("{} in time", class.name));
    let worst = fleet.classes.iter().map(|class| format!("{} worst 10 s", class.name));
    let class_heads: Vec<String> = in_time.chain(worst).collect();
    let mut head = vec!["workers", "by room", "aims"];
    head.extend(class_heads.iter().map(String::as_str));
    head.extend(["service", "cores busy"]);
    table(&head, plan.least.points.iter().map(|point| backends_row(plan, point)).collect())
}

fn backends_row(plan: &Plan, point: &CountPoint) -> Vec<String> {
    let evaluation = &point.evaluation;
    let zones: Vec<String> = point.by_zone.iter().map(u32::to_string).collect();
    let verdict = match (point.keeps, plan.least.backends == Some(point.backends)) {
        (true, true) => "kept, least",
        (true, false) => "kept",
        (false, _) => "missed",
    };
    let mut row = vec![point.backends.to_string(), zones.join("+"), verdict.into()];
    row.extend(evaluation.in_time.iter().map(interval));
    let worst = evaluation.worst_in_time.iter();
    row.extend(worst.map(|window| format!("{} at {} s", percent(window.share), window.from_s)));
    row.extend([interval(&evaluation.service), interval(&evaluation.cores_mean)]);
    row
}

fn sweep(fleet: &Fleet, plan: &Plan) -> Table {
    let first = &fleet.classes[0].name;
    let latency = format!("{first} p50 / p99 ms");
    let head =
        ["x load", "service", latency.as_str(), "cores peak", "turned away", "counter peak", "limiter CPU"];
    let row = |point: &SweepPoint| {
        let evaluation = &point.evaluation;
        let [p50, _, p99] = &evaluation.latency_ms[0];
        vec![
            format!("{:.2}", point.multiple),
            interval(&evaluation.service),
            format!("{} / {}", whole_number(p50), whole_number(p99)),
            interval(&evaluation.cores_peak),
            interval(&evaluation.turned_away),
            interval(&evaluation.counter_peak),
            interval(&evaluation.limiter_cpu_peak),
        ]
    };
    table(&head, plan.breaks.points.iter().map(row).collect())
}
