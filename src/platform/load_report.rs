//! Parses load reports, in which a backend describes its load as text.

use super::{micros, NameIndex};
use crate::interface::LoadReport;

/// Reason why a load report is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadReportError {
    /// A pair has no separator between name and value.
    #[error("'{pair}' is not name{separator}value")]
    MissingSeparator {
        /// The text between two commas, without surrounding spaces.
        pair: String,
        /// The expected separator.
        separator: char,
    },
    /// A value is not a finite number of 0 or more.
    #[error("'{value}' is not a finite number of 0 or more")]
    InvalidValue {
        /// The text found in place of the value.
        value: String,
    },
}

impl NameIndex {
    /// Parses a load report: pairs separated by commas, with `separator` between name and value. Columns that
    /// the settings do not name are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if a pair has no separator or a value is not a finite number of 0 or more.
    pub fn load_report(&self, text: &str, separator: char) -> Result<LoadReport, LoadReportError> {
        let mut report = LoadReport::default();
        for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty() && *pair != "-") {
            let (name, value) = split_pair(pair, separator)?;
            let value = parse_value(value)?;
            if !self.columns.iter().any(|column| column == name) {
                continue;
            }
            match name {
                "queue" => report.queue = Some(value),
                "inflight" => report.in_flight = Some(value),
                "util" => report.utilization = Some(value),
                "latency_ms" => report.latency = micros(value),
                _ => {}
            }
        }
        Ok(report)
    }
}

fn split_pair(pair: &str, separator: char) -> Result<(&str, &str), LoadReportError> {
    pair.split_once(separator)
        .ok_or_else(|| LoadReportError::MissingSeparator { pair: pair.to_string(), separator })
}

fn parse_value(value: &str) -> Result<f64, LoadReportError> {
    let number = value.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0);
    number.ok_or_else(|| LoadReportError::InvalidValue { value: value.to_string() })
}
