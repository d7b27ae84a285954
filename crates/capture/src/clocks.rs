//! Estimates the differences between limiters' clocks from retries.
//!
//! If a request is answered by one limiter and its retry arrives at another, the time between the answer and the retry,
//! taken from the two clocks, is the client's wait plus the difference of the clocks in one direction, and the wait
//! minus that difference in the other. Half the difference between the median waits of both directions is therefore
//! the difference of the clocks. NTP (RFC 5905) uses the same method with network delays instead of client waits.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{Capture, Outcome};

/// Minimum number of retries in each direction between two limiters for a comparison of their clocks.
const MIN_RETRIES: usize = 8;
/// Minimum difference that is corrected. Smaller ones are within the variation of the clients' waits.
const MIN_CORRECTED_MICROS: i64 = 20_000;
/// Maximum wait before a retry. A key that is repeated after a longer wait is not a retry of the same request.
const MAX_RETRY_WAIT_MICROS: i64 = 30_000_000;

/// Estimated offset of a limiter's clock from the clock of the first capture.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockOffset {
    /// Microseconds that the clock is ahead; negative if it is behind.
    pub micros: i64,
    /// Uncertainty of the estimate, in microseconds.
    pub within: u64,
}

impl ClockOffset {
    const NONE: ClockOffset = ClockOffset { micros: 0, within: 0 };

    /// Whether the offset is large enough to be corrected.
    pub(crate) fn is_significant(self) -> bool {
        self.micros.abs() >= MIN_CORRECTED_MICROS
    }

    /// Returns the offset of a clock that is ahead of this one by `difference`.
    fn plus(self, difference: ClockOffset) -> ClockOffset {
        ClockOffset { micros: self.micros + difference.micros, within: self.within + difference.within }
    }
}

/// Client waits before retries, in microseconds, indexed by the capture of the first request and that of the retry.
type RetryWaits = Vec<Vec<Vec<i64>>>;

/// Estimates the offset of each capture's clock from the first one's; `None` if too few retries connect them, directly
/// or through other captures.
pub(crate) fn estimate_offsets(captures: &[Capture]) -> Vec<Option<ClockOffset>> {
    let waits = collect_waits(captures);
    let mut offsets = vec![None; captures.len()];
    if let Some(first) = offsets.first_mut() {
        *first = Some(ClockOffset::NONE);
    }
    while let Some(comparison) = best_comparison(&waits, &offsets) {
        offsets[comparison.to] = Some(comparison.offset);
    }
    offsets
}

/// A request with an idempotency key, in one of the captures.
#[derive(Clone, Copy)]
struct KeyedRequest {
    capture: usize,
    at: i64,
    answered_at: i64,
    was_served: bool,
}

fn requests_by_key(captures: &[Capture]) -> HashMap<u64, Vec<KeyedRequest>> {
    let mut requests: HashMap<u64, Vec<KeyedRequest>> = HashMap::new();
    for (index, capture) in captures.iter().enumerate() {
        for record in capture.records.iter().filter(|record| record.key != 0) {
            let at = record.at as i64;
            let request = KeyedRequest {
                capture: index,
                at,
                answered_at: at + i64::from(record.latency),
                was_served: record.outcome == Outcome::Served,
            };
            requests.entry(record.key).or_default().push(request);
        }
    }
    requests
}

fn collect_waits(captures: &[Capture]) -> RetryWaits {
    let mut waits = vec![vec![Vec::new(); captures.len()]; captures.len()];
    for requests in requests_by_key(captures).values() {
        let [a, b] = requests[..] else { continue };
        if a.capture == b.capture {
            continue;
        }
        // Of the two, the request that was not served came first, whatever the clocks say.
        let (first, retry) = match (a.was_served, b.was_served) {
            (true, false) => (b, a),
            (false, true) => (a, b),
            _ => continue,
        };
        let wait = retry.at - first.answered_at;
        if wait.abs() < MAX_RETRY_WAIT_MICROS {
            waits[first.capture][retry.capture].push(wait);
        }
    }
    waits
}

/// An offset that follows from the comparison of a clock with one whose offset is known.
struct Comparison {
    /// Index of the capture whose clock is compared.
    to: usize,
    offset: ClockOffset,
    /// Number of retries in the direction with fewer of them.
    retries: usize,
}

/// Compares all clocks of unknown offset with those of known offset. Returns the comparison based on the most retries,
/// `None` if there are too few for any.
fn best_comparison(waits: &RetryWaits, offsets: &[Option<ClockOffset>]) -> Option<Comparison> {
    let mut best: Option<Comparison> = None;
    for (from, known) in offsets.iter().enumerate() {
        let Some(known) = known else { continue };
        for to in (0..offsets.len()).filter(|to| offsets[*to].is_none()) {
            let (forward, backward) = (&waits[from][to], &waits[to][from]);
            let Some(difference) = clock_difference(forward, backward) else { continue };
            let retries = forward.len().min(backward.len());
            if best.as_ref().is_none_or(|best| retries > best.retries) {
                best = Some(Comparison { to, offset: known.plus(difference), retries });
            }
        }
    }
    best
}

/// Returns how far a second clock is ahead of a first, given the waits in both directions; `None` if there are too few.
/// The uncertainty is half the mean interquartile range of the waits.
fn clock_difference(forward: &[i64], backward: &[i64]) -> Option<ClockOffset> {
    if forward.len() < MIN_RETRIES || backward.len() < MIN_RETRIES {
        return None;
    }
    let (forward, backward) = (Quartiles::of(forward), Quartiles::of(backward));
    let micros = (forward.median - backward.median) / 2;
    let within = ((forward.range() + backward.range()) / 4).unsigned_abs();
    Some(ClockOffset { micros, within })
}

struct Quartiles {
    lower: i64,
    median: i64,
    upper: i64,
}

impl Quartiles {
    fn of(values: &[i64]) -> Quartiles {
        let mut sorted = values.to_vec();
        sorted.sort_unstable();
        let quarter = |quarters: usize| sorted[(sorted.len() - 1) * quarters / 4];
        Quartiles { lower: quarter(1), median: quarter(2), upper: quarter(3) }
    }

    /// The interquartile range.
    fn range(&self) -> i64 {
        self.upper - self.lower
    }
}
