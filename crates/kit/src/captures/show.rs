//! `sedgestack-kit capture show`: summarizes a capture.

use std::path::Path;

use serde_json::{json, Map, Value};

use sedgestack_capture::{read_file, Capture, Outcome, Record};
use sedgestack_report::text::{table, Table};

use crate::error::KitError;
use crate::output::{Format, Verdict};

/// The outcomes in the order of the table's columns, with the column names.
const OUTCOMES: [(Outcome, &str); 5] = [
    (Outcome::Served, "served"),
    (Outcome::Rejected, "refused"),
    (Outcome::RejectedAtCapacity, "turned away"),
    (Outcome::Failed, "failed"),
    (Outcome::Abandoned, "abandoned"),
];

/// The number of a class's records with one outcome.
struct OutcomeCount {
    name: &'static str,
    count: usize,
}

/// Statistics of a class's records.
struct ClassSummary {
    class: String,
    records: usize,
    /// Median latency of served requests.
    p50_ms: f64,
    /// 95th percentile of the latency of served requests.
    p95_ms: f64,
    outcomes: Vec<OutcomeCount>,
}

impl ClassSummary {
    fn new(class: &str, index: usize, records: &[Record]) -> ClassSummary {
        let records: Vec<&Record> = records.iter().filter(|r| usize::from(r.class) == index).collect();
        let served = records.iter().filter(|record| record.outcome == Outcome::Served);
        let mut latencies: Vec<u32> = served.map(|record| record.latency).collect();
        latencies.sort_unstable();
        let outcomes = OUTCOMES.map(|(outcome, name)| {
            let count = records.iter().filter(|record| record.outcome == outcome).count();
            OutcomeCount { name, count }
        });
        ClassSummary {
            class: class.to_string(),
            records: records.len(),
            p50_ms: percentile_ms(&latencies, 0.5),
            p95_ms: percentile_ms(&latencies, 0.95),
            outcomes: outcomes.into(),
        }
    }

    fn as_json(&self) -> Value {
        let outcomes: Map<String, Value> =
            self.outcomes.iter().map(|outcome| (outcome.name.to_string(), outcome.count.into())).collect();
        json!({"class": self.class, "records": self.records, "p50_ms": self.p50_ms, "p95_ms": self.p95_ms,
               "outcomes": outcomes})
    }

    fn row(&self) -> Vec<String> {
        let mut row = vec![
            self.class.clone(),
            self.records.to_string(),
            format!("{:.1}", self.p50_ms),
            format!("{:.1}", self.p95_ms),
        ];
        row.extend(self.outcomes.iter().map(|outcome| outcome.count.to_string()));
        row
    }
}

/// Prints a summary of a capture and its first `shown_records` records.
pub fn run(file: &Path, shown_records: usize, format: Format) -> Result<Verdict, KitError> {
    let capture = read_file(file)?;
    let names = capture.header.classes.iter().enumerate();
    let classes: Vec<ClassSummary> =
        names.map(|(index, name)| ClassSummary::new(name, index, &capture.records)).collect();
    match format {
        Format::Json => println!("{}", as_json(file, &capture, &classes)),
        Format::Table => print_text(file, &capture, &classes, shown_records),
    }
    Ok(Verdict::from_bool(capture.damage.is_none()))
}

fn as_json(file: &Path, capture: &Capture, classes: &[ClassSummary]) -> Value {
    let Capture { header, records, dropped, .. } = capture;
    let classes: Vec<Value> = classes.iter().map(ClassSummary::as_json).collect();
    let damage = capture.damage.as_ref().map(std::string::ToString::to_string);
    json!({
        "file": file.display().to_string(), "limiter": header.limiter, "number": header.number,
        "limiters": header.limiters, "started_us": header.started, "records": records.len(),
        "dropped": dropped, "seconds": span_seconds(records), "destinations": capture.destinations.len(),
        "classes": classes, "plans": header.plans, "damage": damage
    })
}

fn print_text(file: &Path, capture: &Capture, classes: &[ClassSummary], shown_records: usize) {
    let Capture { header, records, dropped, .. } = capture;
    println!(
        "{}: limiter {} (number {} of {}), {} records over {:.1} s, {dropped} dropped, {} destinations",
        file.display(),
        header.limiter,
        header.number,
        header.limiters,
        records.len(),
        span_seconds(records),
        capture.destinations.len()
    );
    println!("{}", class_table(classes));
    if shown_records > 0 {
        println!("{}", record_table(capture, shown_records));
    }
    if let Some(damage) = &capture.damage {
        println!("damaged {damage}; the records before it are shown");
    }
}

fn class_table(classes: &[ClassSummary]) -> Table {
    let mut head = vec!["class", "records", "p50 ms", "p95 ms"];
    head.extend(OUTCOMES.map(|(_, name)| name));
    table(&head, classes.iter().map(ClassSummary::row).collect())
}

fn record_table(capture: &Capture, count: usize) -> Table {
    let start = capture.records.first().map_or(0, |record| record.at);
    let rows = capture.records.iter().take(count).map(|record| record_row(capture, record, start));
    let head =
        ["s", "class", "plan", "customer", "units", "outcome", "ms", "attempts", "destination", "counter"];
    table(&head, rows.collect())
}

fn record_row(capture: &Capture, record: &Record, start: u64) -> Vec<String> {
    let header = &capture.header;
    let destination = record.destination.map(|index| capture.destinations[usize::from(index)].clone());
    vec![
        format!("{:.3}", (record.at as f64 - start as f64) / 1e6),
        header.classes[usize::from(record.class)].clone(),
        header.plans[usize::from(record.plan)].clone(),
        format!("{:08x}", record.customer >> 32),
        record.units.to_string(),
        outcome_name(record.outcome).into(),
        format!("{:.1}", f64::from(record.latency) / 1e3),
        record.attempts.to_string(),
        destination.unwrap_or_default(),
        format!("{:?}", record.counter).to_lowercase(),
    ]
}

/// Returns the name of an outcome in the table of records, as a single word.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Rejected => "refused",
        Outcome::RejectedAtCapacity => "turnedaway",
        Outcome::Failed => "failed",
        Outcome::Abandoned => "abandoned",
    }
}

/// Returns a percentile of sorted latencies, with `part` from 0 to 1; 0 if there are no latencies.
fn percentile_ms(sorted_us: &[u32], part: f64) -> f64 {
    let index = (sorted_us.len().saturating_sub(1) as f64 * part) as usize;
    sorted_us.get(index).map_or(0.0, |latency| f64::from(*latency) / 1e3)
}

/// Returns the time from the earliest record to the latest.
fn span_seconds(records: &[Record]) -> f64 {
    let times = records.iter().map(|record| record.at);
    let (first, last) = times.fold((u64::MAX, 0), |(first, last), at| (first.min(at), last.max(at)));
    last.saturating_sub(first) as f64 / 1e6
}
