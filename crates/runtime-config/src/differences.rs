//! Differences between two versions. Their descriptions are meant for people who don't edit the file themselves.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Serialize;

use crate::{Class, Document, Micros, Plan};

const MICROS_PER_SECOND: Micros = 1_000_000;
const MICROS_PER_MILLISECOND: f64 = 1e3;
// Largest distances from 0.5, 0.1 and 2 at which a factor is described as a half, a tenth or twice as much.
const HALF_TOLERANCE: f64 = 0.005;
const TENTH_TOLERANCE: f64 = 0.0005;
const DOUBLE_TOLERANCE: f64 = 0.01;

/// A value that differs between two versions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Key of the value, such as `plan.faculdade.rate`.
    pub key: String,
    /// Old value with its unit, in a form for people.
    pub from: String,
    /// New value with its unit, in a form for people.
    pub to: String,
    /// New value divided by the old one, if both are numbers above 0.
    pub factor: Option<f64>,
    /// Description of the change.
    pub words: String,
}

/// Returns all differences: plans first, then classes, limits and addresses. Plans and classes that are only in
/// `before` are left out.
pub fn differences(before: &Document, after: &Document) -> Vec<Difference> {
    let mut found = Vec::new();
    for (name, new) in &after.plans {
        match before.plans.get(name) {
            Some(old) => found.extend(plan_differences(name, old, new)),
            None => found.extend(added_block("plan", name)),
        }
    }
    for (name, new) in &after.classes {
        match before.classes.get(name) {
            Some(old) => found.extend(class_differences(name, old, new)),
            None => found.extend(added_block("class", name)),
        }
    }
    found.extend(retry_after_difference(before.max_retry_after, after.max_retry_after));
    found.extend(address_difference("addresses.counter", "quota counter", before.counter, after.counter));
    found.extend(address_difference("addresses.discovery", "discovery", before.discovery, after.discovery));
    found
}

/// Returns the plans that a change affects: those whose values differ, or all plans if a class, a limit or an address
/// differs.
pub fn changed_plans(before: &Document, after: &Document) -> BTreeSet<String> {
    let changes = differences(before, after);
    let plans: Option<BTreeSet<String>> = changes.iter().map(plan_of).collect();
    plans.unwrap_or_else(|| after.plans.keys().cloned().collect())
}

/// Returns the plan that a difference belongs to, or `None` if it does not belong to a plan.
fn plan_of(change: &Difference) -> Option<String> {
    let key = change.key.strip_prefix("plan.")?;
    let name = key.rsplit_once('.').map_or(key, |(name, _)| name);
    Some(name.to_string())
}

/// Returns a description of a change by `factor`.
pub fn factor_in_words(factor: f64) -> String {
    if (factor - 0.5).abs() < HALF_TOLERANCE {
        "to a half".into()
    } else if (factor - 0.1).abs() < TENTH_TOLERANCE {
        "to a tenth".into()
    } else if factor < 1.0 {
        format!("to {:.0}%", 100.0 * factor)
    } else if (factor - 2.0).abs() < DOUBLE_TOLERANCE {
        "to twice as much".into()
    } else if factor < 2.0 {
        format!("by {:.0}% more", 100.0 * (factor - 1.0))
    } else {
        format!("to {factor:.1} times as much")
    }
}

fn added_block(kind: &str, name: &str) -> Option<Difference> {
    text_difference(&format!("{kind}.{name}"), name, format!("no such {kind}"), format!("a new {kind}"))
}

fn plan_differences(name: &str, old: &Plan, new: &Plan) -> Vec<Difference> {
    let key = |key: &str| format!("plan.{name}.{key}");
    let rate =
        NumberChange { key: key("rate"), description: format!("{name}, rate"), from: old.rate, to: new.rate };
    let burst = NumberChange {
        key: key("burst"),
        description: format!("{name}, at once"),
        from: old.burst,
        to: new.burst,
    };
    let price = NumberChange {
        key: key("price"),
        description: format!("{name}, worth"),
        from: old.price,
        to: new.price,
    };
    let differences = [
        rate.difference(|rate| format!("{rate} units/s")),
        burst.difference(|burst| format!("{burst} units")),
        price.difference(|price| price.to_string()),
    ];
    differences.into_iter().flatten().collect()
}

fn class_differences(name: &str, old: &Class, new: &Class) -> Vec<Difference> {
    let latency_objective = NumberChange {
        key: format!("class.{name}.aim"),
        description: format!("{name}, wanted within"),
        from: old.latency_objective as f64,
        to: new.latency_objective as f64,
    };
    let deadline = NumberChange {
        key: format!("class.{name}.deadline"),
        description: format!("{name}, given up after"),
        from: old.deadline as f64,
        to: new.deadline as f64,
    };
    let differences = [latency_objective.difference(format_micros), deadline.difference(format_micros)];
    differences.into_iter().flatten().collect()
}

fn retry_after_difference(from: Micros, to: Micros) -> Option<Difference> {
    let change = NumberChange {
        key: "limits.max_retry_after".to_string(),
        description: "longest advice to come back".to_string(),
        from: from as f64,
        to: to as f64,
    };
    change.difference(format_micros)
}

fn address_difference(
    key: &str,
    description: &str,
    from: Option<SocketAddr>,
    to: Option<SocketAddr>,
) -> Option<Difference> {
    let format_value = |address: Option<SocketAddr>| {
        address.map_or("as configured".to_string(), |address| address.to_string())
    };
    text_difference(key, description, format_value(from), format_value(to))
}

fn text_difference(key: &str, description: &str, from: String, to: String) -> Option<Difference> {
    let words = format!("{description}: {from} to {to}");
    (from != to).then(|| Difference { key: key.into(), from, to, factor: None, words })
}

/// A number in the old and in the new version.
struct NumberChange {
    key: String,
    /// Description of the number.
    description: String,
    from: f64,
    to: f64,
}

impl NumberChange {
    /// Returns the difference, if there is one, with its numbers formatted by `format_value`.
    fn difference(self, format_value: impl Fn(f64) -> String) -> Option<Difference> {
        let NumberChange { key, description, from, to } = self;
        if from == to {
            return None;
        }
        let factor = (from > 0.0 && to > 0.0).then(|| to / from);
        let by = factor.map(|factor| format!(", {}", factor_in_words(factor))).unwrap_or_default();
        let (from, to) = (format_value(from), format_value(to));
        let words = format!("{description}: {from} to {to}{by}");
        Some(Difference { key, from, to, factor, words })
    }
}

fn format_micros(micros: f64) -> String {
    let micros = micros as Micros;
    if micros.is_multiple_of(MICROS_PER_SECOND) {
        format!("{} s", micros / MICROS_PER_SECOND)
    } else {
        format!("{} ms", micros as f64 / MICROS_PER_MILLISECOND)
    }
}
