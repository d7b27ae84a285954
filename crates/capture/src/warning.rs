//! Warnings about a merged capture.

use std::fmt;

use crate::clocks::ClockOffset;
use crate::merge::Source;

const MICROS_PER_MILLISECOND: u64 = 1_000;

/// A condition that limits the accuracy of a merged capture.
#[derive(Clone, Debug, PartialEq)]
pub enum Warning {
    /// Captures of some limiters of the tier are missing; holds the numbers of these limiters.
    Missing(Vec<u32>),
    /// A limiter dropped records; its rates are scaled up to compensate.
    Dropped {
        /// Name of the limiter.
        limiter: String,
        /// Number of records that were dropped.
        records: u64,
    },
    /// The capture of a limiter is damaged; the records before the damage are used.
    Damaged {
        /// Name of the limiter.
        limiter: String,
        /// The text of the [`crate::Damage`].
        why: String,
    },
    /// The clock of a limiter differed from that of the first source, and its times were corrected.
    ClockOff {
        /// Name of the limiter.
        limiter: String,
        /// Microseconds that the clock was ahead; negative if it was behind.
        offset: i64,
        /// Uncertainty of the offset, in microseconds.
        within: u64,
    },
    /// Too few retries came through two limiters to compare the clock of a limiter; it is assumed to be right.
    ClockUnknown {
        /// Name of the limiter.
        limiter: String,
    },
}

impl Warning {
    /// Returns a warning about the limiters, of `limiters` in total, for which `present` returns false; `None` if there
    /// are none.
    pub(crate) fn of_missing(limiters: u32, present: impl Fn(u32) -> bool) -> Option<Warning> {
        let missing: Vec<u32> = (0..limiters).filter(|number| !present(*number)).collect();
        (!missing.is_empty()).then_some(Warning::Missing(missing))
    }

    /// Returns the warnings about the dropped records and the clock of a source.
    pub(crate) fn of_source(source: &Source) -> Vec<Warning> {
        let limiter = || source.limiter.clone();
        let mut warnings = Vec::new();
        if source.dropped > 0 {
            warnings.push(Warning::Dropped { limiter: limiter(), records: source.dropped });
        }
        match source.offset {
            Some(offset) if offset.is_significant() => {
                let ClockOffset { micros, within } = offset;
                warnings.push(Warning::ClockOff { limiter: limiter(), offset: micros, within });
            }
            Some(_) => {}
            None => warnings.push(Warning::ClockUnknown { limiter: limiter() }),
        }
        warnings
    }
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Warning::Missing(numbers) => {
                let numbers: Vec<String> = numbers.iter().map(u32::to_string).collect();
                write!(
                    f,
                    "no capture of limiter {}: its requests are estimated from the others'",
                    numbers.join(", ")
                )
            }
            Warning::Dropped { limiter, records } => {
                write!(f, "{limiter}: {records} records were dropped; its rates are scaled up for them")
            }
            Warning::Damaged { limiter, why } => write!(f, "{limiter}: {why}; records before it are used"),
            Warning::ClockOff { limiter, offset, within } => write!(
                f,
                "{limiter}: its clock is {} ms {} the first one's, within {} ms; corrected",
                offset.unsigned_abs() / MICROS_PER_MILLISECOND,
                if *offset > 0 { "ahead of" } else { "behind" },
                within / MICROS_PER_MILLISECOND
            ),
            Warning::ClockUnknown { limiter } => {
                write!(
                    f,
                    "{limiter}: too few retries came through two limiters to compare its clock; assumed to be right"
                )
            }
        }
    }
}
