//! Parsing of durations such as `"800ms"`.

/// A duration in microseconds.
pub type Micros = u64;

/// Exclusive upper limit of a duration, in microseconds. Below it, `f64` represents every whole number exactly.
const MAX_MICROS: f64 = 9e15;

/// Parses a number with a unit (`us`, `ms`, `s`, `m` or `h`), such as `"800ms"`, into microseconds. Returns `None` if
/// the text is not a duration.
pub fn parse_duration(text: &str) -> Option<Micros> {
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_start);
    let number = number.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0)?;
    let micros = (number * micros_per(unit)?).round();
    (micros < MAX_MICROS).then_some(micros as Micros)
}

/// Returns the number of microseconds in a unit.
fn micros_per(unit: &str) -> Option<f64> {
    match unit {
        "us" => Some(1.0),
        "ms" => Some(1e3),
        "s" => Some(1e6),
        "m" => Some(60e6),
        "h" => Some(3_600e6),
        _ => None,
    }
}
