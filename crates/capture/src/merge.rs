//! Merges the captures of several limiters into one, in order of time.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::clocks::{estimate_offsets, ClockOffset};
use crate::error::{MergeError, TierDifference};
use crate::{Capture, Header, Micros, Record, Warning};

/// A capture that is part of a merged capture.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Source {
    /// Name of the limiter that wrote the capture.
    pub limiter: String,
    /// Number of the limiter, from 0.
    pub number: u32,
    /// Number of records in the capture.
    pub records: usize,
    /// Number of records that the limiter dropped, which the capture lacks.
    pub dropped: u64,
    /// Estimated offset of the limiter's clock from that of the first source; `None` if there were too few retries for
    /// an estimate. A significant offset has been subtracted from the times of the records.
    pub offset: Option<ClockOffset>,
}

/// Several captures merged into one.
#[derive(Clone, Debug, PartialEq)]
pub struct Merged {
    /// Names of classes, indexed by [`Record::class`].
    pub classes: Vec<String>,
    /// Names of plans, indexed by [`Record::plan`].
    pub plans: Vec<String>,
    /// Total number of limiters of the tier, including those without a capture here.
    pub limiters: u32,
    /// Identifies the hash key that all sources share; see [`crate::KeyedHash::id`].
    pub key_id: u64,
    /// Time at which the limiter of the first source started, by its own clock.
    pub started: Micros,
    /// The captures that were merged, indexed by [`Record::source`].
    pub sources: Vec<Source>,
    /// Records of all sources, in order of arrival; each holds the index of its source.
    pub records: Vec<Record>,
    /// Names of backends of all sources, indexed by [`Record::destination`].
    pub destinations: Vec<String>,
    /// What limits the accuracy of this capture, and of reports that are based on it.
    pub warnings: Vec<Warning>,
}

/// Merges captures of one tier. Differences between the limiters' clocks are estimated from retries that came through
/// two limiters, and corrected. A single capture that is the result of a merge is returned unchanged.
///
/// # Errors
/// Returns the text of a [`MergeError`] if there are no captures, if the captures are of different tiers, if one of
/// several captures is the result of a merge, or if two captures are of the same incarnation of a limiter.
pub fn merge(captures: Vec<Capture>) -> Result<Merged, String> {
    merge_captures(captures).map_err(|e| e.to_string())
}

fn merge_captures(mut captures: Vec<Capture>) -> Result<Merged, MergeError> {
    let Some(first) = captures.first() else { return Err(MergeError::NoCaptures) };
    if captures.len() == 1 && first.is_merged() {
        return Ok(Merged::from_merged_file(captures.remove(0)));
    }
    check_one_tier(&captures)?;
    let offsets = estimate_offsets(&captures);
    let mut merged = Merged::new(&first.header);
    let numbers: BTreeSet<u32> = captures.iter().map(|capture| capture.header.number).collect();
    let missing = Warning::of_missing(merged.limiters, |number| numbers.contains(&number));
    merged.warnings.extend(missing);
    for (capture, offset) in captures.into_iter().zip(offsets) {
        merged.add(capture, offset);
    }
    merged.records.sort_by_key(|record| (record.at, record.source));
    Ok(merged)
}

/// Checks that each capture is of a different incarnation of a limiter, and all are of one tier.
fn check_one_tier(captures: &[Capture]) -> Result<(), MergeError> {
    if let Some(merged) = captures.iter().find(|capture| capture.is_merged()) {
        return Err(MergeError::AlreadyMerged { limiter: merged.header.limiter.clone() });
    }
    let mut numbers = BTreeSet::new();
    for capture in captures {
        let (first, other) = (&captures[0].header, &capture.header);
        if let Some(difference) = tier_difference(first, other) {
            let (first, other) = (first.limiter.clone(), other.limiter.clone());
            return Err(MergeError::DifferentTiers { first, other, difference });
        }
        let is_repeated = !numbers.insert(other.number);
        if is_repeated && !starts_differ(captures, other.number) {
            return Err(MergeError::DuplicateLimiter { number: other.number });
        }
    }
    Ok(())
}

fn tier_difference(first: &Header, other: &Header) -> Option<TierDifference> {
    if other.classes != first.classes || other.plans != first.plans {
        Some(TierDifference::ClassesOrPlans)
    } else if other.key_id != first.key_id {
        Some(TierDifference::HashKeys)
    } else if other.limiters != first.limiters {
        Some(TierDifference::LimiterCounts)
    } else {
        None
    }
}

/// Whether all captures of a limiter are of different incarnations. A limiter that restarts writes a capture for each
/// incarnation.
fn starts_differ(captures: &[Capture], number: u32) -> bool {
    let of_limiter = captures.iter().filter(|capture| capture.header.number == number);
    let starts: Vec<Micros> = of_limiter.map(|capture| capture.header.started).collect();
    let distinct: BTreeSet<&Micros> = starts.iter().collect();
    distinct.len() == starts.len()
}

impl Merged {
    /// Returns an empty merged capture with the tier's properties from a header.
    fn new(first: &Header) -> Merged {
        Merged {
            classes: first.classes.clone(),
            plans: first.plans.clone(),
            limiters: first.limiters,
            key_id: first.key_id,
            started: first.started,
            sources: Vec::new(),
            records: Vec::new(),
            destinations: Vec::new(),
            warnings: Vec::new(),
        }
    }

    /// Converts a merged capture that was read from a file.
    fn from_merged_file(capture: Capture) -> Merged {
        let mut merged = Merged::new(&capture.header);
        merged.sources = capture.header.merged_from;
        merged.records = capture.records;
        merged.destinations = capture.destinations;
        let is_source = |number| merged.sources.iter().any(|source| source.number == number);
        merged.warnings.extend(Warning::of_missing(merged.limiters, is_source));
        merged.warnings.extend(merged.sources.iter().flat_map(Warning::of_source));
        if let Some(damage) = &capture.damage {
            let (limiter, why) = (capture.header.limiter, damage.to_string());
            merged.warnings.push(Warning::Damaged { limiter, why });
        }
        merged
    }

    /// Adds the capture of a limiter, with its times corrected by the clock offset.
    fn add(&mut self, capture: Capture, offset: Option<ClockOffset>) {
        let limiter = capture.header.limiter;
        if let Some(damage) = &capture.damage {
            self.warnings.push(Warning::Damaged { limiter: limiter.clone(), why: damage.to_string() });
        }
        let source = Source {
            limiter,
            number: capture.header.number,
            records: capture.records.len(),
            dropped: capture.dropped,
            offset,
        };
        self.warnings.extend(Warning::of_source(&source));
        let source_index = self.sources.len() as u16;
        self.sources.push(source);
        let destinations = self.add_destinations(capture.destinations);
        let correction = offset.filter(|offset| offset.is_significant()).map_or(0, |offset| -offset.micros);
        self.records.extend(capture.records.into_iter().map(|mut record| {
            record.at = record.at.saturating_add_signed(correction);
            record.destination = record.destination.map(|index| destinations[usize::from(index)]);
            record.source = source_index;
            record
        }));
    }

    /// Adds the destinations that are not yet listed; returns the index of each of `names`.
    fn add_destinations(&mut self, names: Vec<String>) -> Vec<u16> {
        let mut indexes = Vec::with_capacity(names.len());
        for name in names {
            let known = self.destinations.iter().position(|destination| *destination == name);
            indexes.push(known.unwrap_or(self.destinations.len()) as u16);
            if known.is_none() {
                self.destinations.push(name);
            }
        }
        indexes
    }

    /// Returns the header for a file that holds this capture.
    pub fn header(&self) -> Header {
        let names: Vec<&str> = self.sources.iter().map(|source| source.limiter.as_str()).collect();
        Header {
            limiter: names.join("+"),
            number: 0,
            limiters: self.limiters,
            started: self.started,
            key_id: self.key_id,
            classes: self.classes.clone(),
            plans: self.plans.clone(),
            merged_from: self.sources.clone(),
        }
    }
}
