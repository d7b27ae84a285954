//! What limits the accuracy of a merged capture.

use std::fmt;

use crate::clocks::ClockOffset;
use crate::merge::Source;

const MICROS_PER_MILLISECOND: u64 = 1_000;

/// What limits the accuracy of a merged capture.
#[derive(Clone, Debug, PartialEq)]
pub enum Warning {
    /// Numbers of the limiters of the tier that have no capture here.
    Missing(Vec<u32>),
    /// A limiter lost records, so that its rates are scaled up.
    Dropped {
        /// Name of the limiter.
        limiter: String,
        /// Number of records that were lost.
        records: u64,
    },
    /// A limiter's file can't be read to its end; records before it are used.
    Damaged {
        /// Name of the limiter.
        limiter: String,
        /// Where the damage begins and what it is, as the text of a [`crate::Damage`].
        why: String,
    },
    /// A clock was so many microseconds ahead of the first source's (behind where negative), and was corrected.
    ClockOff {
        /// Name of the limiter whose clock it is.
        limiter: String,
        /// Microseconds ahead; negative where the clock is behind.
        offset: i64,
        /// How far the estimate may be off, in microseconds.
        within: u64,
    },
    /// Too few retries came through two limiters to compare the clock.
    ClockUnknown {
        /// Name of the limiter, whose clock is taken as right.
        limiter: String,
    },
}

impl Warning {
    /// The warning of missing limiters, if any of a tier of `limiters` is not among `present`.
    pub(crate) fn of_missing(limiters: u32, present: impl Fn(u32) -> bool) -> Option<Warning> {
        let missing: Vec<u32> = (0..limiters).filter(|number| !present(*number)).collect();
        (!missing.is_empty()).then_some(Warning::Missing(missing))
    }

    /// The warnings of a source's lost records and its clock.
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
                write!(f, "{limiter}: too few retries came through two limiters to compare its clock; assumed to be right")
            }
        }
    }
}
