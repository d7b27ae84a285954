//! Weights of captured records, which compensate for requests that the capture lacks.

use std::collections::HashSet;

use sedgestack_capture::{Merged, Record, Source};

/// The weights of the records of a merged capture: the number of requests that each record represents.
pub struct Weights {
    /// By source: the weight that compensates for dropped records.
    by_source: Vec<f64>,
    missing_limiters: HashSet<u32>,
    limiters: u32,
}

impl Weights {
    /// Computes the weights for a merged capture.
    pub fn new(merged: &Merged) -> Weights {
        let dropped = |source: &Source| 1.0 + source.dropped as f64 / source.records.max(1) as f64;
        let present: HashSet<u32> = merged.sources.iter().map(|source| source.number).collect();
        Weights {
            by_source: merged.sources.iter().map(dropped).collect(),
            missing_limiters: (0..merged.limiters).filter(|number| !present.contains(number)).collect(),
            limiters: merged.limiters.max(1),
        }
    }

    /// Returns the weight of a record. Each customer is assumed to use all its limiters equally often, including those
    /// whose capture is missing.
    pub fn of_record(&self, record: &Record) -> f64 {
        let first = u32::from(record.first);
        let limiters = (0..u32::from(record.spread)).map(|n| (first + n) % self.limiters);
        let missing = limiters.filter(|number| self.missing_limiters.contains(number)).count() as f64;
        let spread = f64::from(record.spread.max(1));
        self.by_source[usize::from(record.source)] * spread / (spread - missing).max(1.0)
    }
}
