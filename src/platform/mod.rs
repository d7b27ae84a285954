//! The platform's format of settings and load reports, which its simulator and its sockets share.
//!
//! This module only translates: JSON into [`Settings`](crate::Settings) and into the resource limits of the
//! program around a limiter.

mod load_report;
mod names;
mod settings;

pub use load_report::LoadReportError;
pub use names::NameIndex;
pub use settings::{Document, ResourceLimits, SettingError};

use crate::interface::Micros;

/// Upper bound of times in microseconds, which prevents overflow of sums; longer times are invalid.
const MAX_MICROS: f64 = 9.0e15;

/// Converts milliseconds to whole microseconds; `None` if the time is negative, not finite or too long.
pub fn micros(ms: f64) -> Option<Micros> {
    let us = (ms * 1000.0).round();
    (0.0..MAX_MICROS).contains(&us).then_some(us as Micros)
}

#[cfg(test)]
mod tests;
