//! Formats numbers as text, for the terminal and the HTML page alike.

use sedgestack_plan::{ClassFit, Interval};

/// Formats a share as a percentage with one decimal; a dash if it is not finite.
pub fn percent(share: f64) -> String {
    if share.is_finite() {
        format!("{:.1}%", 100.0 * share)
    } else {
        "-".into()
    }
}

/// Formats a mean share as a percentage, with half the width of its interval if that is bounded.
pub fn interval(interval: &Interval) -> String {
    if interval.low.is_finite() && interval.high.is_finite() {
        format!("{:.1}% ± {:.1}", 100.0 * interval.mean, 50.0 * (interval.high - interval.low))
    } else {
        percent(interval.mean)
    }
}

/// Formats a mean without decimals, with half the width of its interval if that is bounded.
pub fn whole_number(interval: &Interval) -> String {
    if interval.low.is_finite() && interval.high.is_finite() {
        format!("{:.0} ± {:.0}", interval.mean, (interval.high - interval.low) / 2.0)
    } else {
        format!("{:.0}", interval.mean)
    }
}

/// Formats the ends of an interval of load multiples; a dash if it is unbounded.
pub fn range(interval: &Interval) -> String {
    if interval.low.is_finite() && interval.high.is_finite() {
        format!("{:.2} to {:.2}", interval.low.max(0.0), interval.high)
    } else {
        "-".into()
    }
}

/// Returns the cells of the table row that shows the fit of a class.
pub fn fit_row(class: &ClassFit) -> Vec<String> {
    vec![
        class.name.clone(),
        format!("{:.2}", class.scale),
        format!("{:.2} at {} s", class.highest, class.highest_at_s),
        format!("{:.0} / {:.0}", class.captured_ms[0], class.model_ms[0]),
        format!("{:.0} / {:.0}", class.captured_ms[1], class.model_ms[1]),
        percent(class.distance),
    ]
}
