//! `sedgestack-kit bound`: computes how far all limiters together can exceed a quota under leases.

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;

use sedgestack_fleet::{Fleet, Plan};
use sedgestack_quota_lease::{Bound, LeaseTerms, Micros, TargetError};
use sedgestack_report::text::{table, Table};

use crate::error::KitError;
use crate::input::read_fleet;
use crate::output::{Format, Verdict};

const SECOND: Micros = 1_000_000;
/// The shorter of the two spans for which bounds are computed.
const SHORT_SPAN: Micros = 10 * SECOND;
/// The longer span, to which the target of `--at-most` applies.
const LONG_SPAN: Micros = 60 * SECOND;

#[derive(Args)]
#[command(after_help = "Examples:
  sedgestack-kit bound deploy/fleet-sample.hcl
  sedgestack-kit bound deploy/fleet-sample.hcl --share 25 --counters 2
  sedgestack-kit bound deploy/fleet-sample.hcl --at-most 110 --format json

The bound holds for quota leases (docs/design/0005-leases-of-quota.md), which limiters do not use yet. Exit status:
0 the bound was computed and any target is kept, 1 no share keeps the target, 2 bad input.")]
/// Arguments of `sedgestack-kit bound`.
pub struct Arguments {
    /// The fleet file
    fleet: PathBuf,
    /// Percentage of a window's allowance that all limiters together may send without asking the counter
    #[arg(long, value_name = "PERCENT", default_value_t = 10.0)]
    share: f64,
    /// Percentage of a window's allowance that the counter grants
    #[arg(long, value_name = "PERCENT", default_value_t = 100.0)]
    counter: f64,
    /// Percentage of a window's allowance that the limiters responsible for a customer grant
    #[arg(long, value_name = "PERCENT", default_value_t = 0.0)]
    lent: f64,
    /// Number of counters that may grant the same window's allowance: 2 if one may lose its totals within a window
    #[arg(long, default_value_t = 1)]
    counters: u32,
    /// Maximum difference between a limiter's clock and true time
    #[arg(long, value_name = "MS", default_value_t = 100)]
    skew_ms: u64,
    /// Maximum time from the check of a request's lease to its last byte at a worker
    #[arg(long, value_name = "MS", default_value_t = 50)]
    under_way_ms: u64,
    /// Finds the largest shares that keep every minute within this percentage of the quota, in place of --share
    #[arg(long, value_name = "PERCENT", conflicts_with = "share")]
    at_most: Option<f64>,
}

/// The bound for each customer of one plan.
#[derive(Serialize)]
struct Row {
    plan: String,
    window_ms: u64,
    share_percent: f64,
    /// Maximum age of the usage that a limiter acts on.
    staleness_ms: u64,
    ten_seconds: Bound,
    minute: Bound,
}

/// Computes and prints the bound of each plan.
pub fn run(arguments: &Arguments, format: Format) -> Result<Verdict, KitError> {
    let fleet = read_fleet(&arguments.fleet)?;
    let (mut rows, mut unreachable) = (Vec::new(), Vec::new());
    for plan in &fleet.plans {
        match row(arguments, &fleet, plan)? {
            Ok(row) => rows.push(row),
            Err(reason) => unreachable.push(format!("plan {}: {reason}", plan.name)),
        }
    }
    match format {
        Format::Table if rows.is_empty() => {}
        Format::Table => print!("{}", text(&rows)),
        Format::Json => println!("{}", serde_json::to_string(&rows).map_err(KitError::Json)?),
    }
    for reason in &unreachable {
        eprintln!("sedgestack-kit: no share keeps the target: {reason}");
    }
    Ok(Verdict::from_bool(unreachable.is_empty()))
}

/// Computes the bound of one plan. The inner error says why no share keeps the target.
fn row(arguments: &Arguments, fleet: &Fleet, plan: &Plan) -> Result<Result<Row, TargetError>, KitError> {
    let terms = terms(arguments, plan);
    let checked = terms.check(fleet.counter.timeout);
    checked.map_err(|source| KitError::Terms { plan: plan.name.clone(), source })?;
    let within_target = match arguments.at_most {
        Some(target) => terms.with_largest_local_shares(LONG_SPAN, target / 100.0),
        None => Ok(terms),
    };
    Ok(within_target.map(|terms| Row {
        plan: plan.name.clone(),
        window_ms: terms.window_length() / 1_000,
        share_percent: terms.local_share_fraction * 100.0,
        staleness_ms: terms.staleness() / 1_000,
        ten_seconds: terms.bound(SHORT_SPAN),
        minute: terms.bound(LONG_SPAN),
    }))
}

/// Returns the terms of a plan's leases.
fn terms(arguments: &Arguments, plan: &Plan) -> LeaseTerms {
    LeaseTerms {
        rate: plan.rate,
        burst: plan.burst,
        // Every value of the range gives the same bound, as `local_share_fraction` is the sum over all limiters.
        limiters: plan.spread.1,
        counter_fraction: arguments.counter / 100.0,
        lent_fraction: arguments.lent / 100.0,
        lenders: 1,
        local_share_fraction: arguments.share / 100.0,
        max_clock_skew: arguments.skew_ms * 1_000,
        max_send_delay: arguments.under_way_ms * 1_000,
        counters: arguments.counters,
    }
}

/// Formats the bounds, and the terms that each consists of, as two tables.
fn text(rows: &[Row]) -> String {
    let mut out = format!(
        "Maximum units that all limiters together send for a customer, whatever fails\n{}\n",
        bounds_table(rows)
    );
    if let Some(first) = rows.first() {
        out += &format!("\n{}\n", terms_table(rows, first));
    }
    out
}

fn bounds_table(rows: &[Row]) -> Table {
    let head = [
        "plan",
        "window s",
        "shares",
        "maximum staleness (s)",
        "in 10 s",
        "of quota",
        "in a minute",
        "of quota",
    ];
    let bound = |bound: &Bound| {
        [format!("{:.0} of {:.0}", bound.most, bound.quota), format!("{:.0}%", bound.ratio() * 100.0)]
    };
    let cells = |row: &Row| {
        let first = [
            row.plan.clone(),
            format!("{:.1}", row.window_ms as f64 / 1e3),
            format!("{:.1}%", row.share_percent),
            format!("{:.1}", row.staleness_ms as f64 / 1e3),
        ];
        first.into_iter().chain(bound(&row.ten_seconds)).chain(bound(&row.minute)).collect()
    };
    table(&head, rows.iter().map(cells).collect())
}

/// Tabulates how much each term adds to the quota in a minute. All rows have the same terms as `first`.
fn terms_table(rows: &[Row], first: &Row) -> Table {
    let names = first.minute.terms.iter().map(|term| term.name);
    let head: Vec<&str> = std::iter::once("over the quota in a minute, units").chain(names).collect();
    let cells = |row: &Row| {
        let units = row.minute.terms.iter().map(|term| format!("{:+.1}", term.units));
        std::iter::once(row.plan.clone()).chain(units).collect()
    };
    table(&head, rows.iter().map(cells).collect())
}

#[cfg(test)]
mod tests;
