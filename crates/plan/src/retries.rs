//! Finds the client retries among the records of a capture: those that clients marked, those that repeat an idempotency
//! key, and those that are inferred.

use std::collections::{HashMap, HashSet};

use sedgestack_capture::{Outcome, Record};
use sedgestack_fleet::Micros;

/// Maximum time between the end of an unserved try and its inferred retry, in microseconds.
const MAX_RETRY_WAIT: Micros = 1_000_000;
/// Width of the histogram bins for the wait before a retry, in microseconds.
const WAIT_BIN: Micros = 20_000;
/// Minimum number of retries with an idempotency key from which to estimate the retry behaviour of clients.
const MIN_KEYED_RETRIES: usize = 20;

/// The client retries among the records of a capture.
pub struct Retries {
    /// Number of retries that clients marked.
    pub marked: usize,
    /// Number of unmarked retries whose idempotency key occurred before.
    pub by_key: usize,
    /// Indices of the records that are marked or repeat a key.
    known: HashSet<usize>,
    /// Indices of the records inferred to be retries.
    inferred: HashSet<usize>,
    /// Number of requests that resemble an unserved one but count as first tries, since about that many do by chance.
    pub similar_by_chance: usize,
    /// Number of unserved requests for which the capture does not show whether they were retried.
    pub undecided: usize,
}

impl Retries {
    /// Finds the retries among records in time order.
    pub fn find(records: &[Record]) -> Retries {
        let mut retries = Retries::marked_or_keyed(records);
        // If clients mark their retries, none remain to be inferred.
        if retries.marked == 0 {
            retries.infer(records);
        }
        retries
    }

    /// Whether the record with this index is a retry.
    pub fn is_retry(&self, record: usize) -> bool {
        self.known.contains(&record) || self.inferred.contains(&record)
    }

    /// Returns the number of records inferred to be retries.
    pub fn inferred(&self) -> usize {
        self.inferred.len()
    }

    /// Finds the retries that clients marked or that repeat a key.
    fn marked_or_keyed(records: &[Record]) -> Retries {
        let mut retries = Retries {
            marked: 0,
            by_key: 0,
            known: HashSet::new(),
            inferred: HashSet::new(),
            similar_by_chance: 0,
            undecided: 0,
        };
        let mut keys = HashSet::new();
        for (index, record) in records.iter().enumerate() {
            let is_key_repeated = record.key != 0 && !keys.insert(record.key);
            if record.retry {
                retries.marked += 1;
            } else if is_key_repeated {
                retries.by_key += 1;
            }
            if record.retry || is_key_repeated {
                retries.known.insert(index);
            }
        }
        retries
    }

    /// Infers the retries that carry no key.
    ///
    /// The retries with a key tell which share of unserved tries is retried, and after which wait. The expected number
    /// of retries is then chosen among the requests that resemble an unserved try, in order of the likelihood of their
    /// wait. Each unserved try gets at most one retry.
    fn infer(&mut self, records: &[Record]) {
        let Some(behaviour) = RetryBehaviour::from_keyed(records) else {
            self.undecided = unserved_without_key(records).count();
            return;
        };
        let candidates = self.candidates(records, &behaviour);
        self.accept(&candidates, behaviour.expected_retries(unserved_without_key(records).count()));
        let similar: HashSet<usize> = candidates.iter().map(|candidate| candidate.retry).collect();
        self.similar_by_chance = similar.len() - self.inferred.len();
    }

    /// Returns the pairs of an unserved try and a similar request soon after it, the likeliest first.
    fn candidates(&self, records: &[Record], behaviour: &RetryBehaviour) -> Vec<Candidate> {
        let ends = unserved_ends(records);
        let mut candidates = Vec::new();
        for (index, record) in records.iter().enumerate() {
            let Some(ends) = ends.get(&RequestKind::of(record)) else { continue };
            if self.known.contains(&index) {
                continue;
            }
            let from = ends.partition_point(|end| end.at + MAX_RETRY_WAIT <= record.at);
            let until = ends.partition_point(|end| end.at < record.at);
            for end in &ends[from..until] {
                let likelihood = behaviour.likelihood(record.at - end.at);
                if likelihood > 0.0 && end.record != index {
                    candidates.push(Candidate { likelihood, retry: index, unserved: end.record });
                }
            }
        }
        candidates.sort_by(|a, b| {
            b.likelihood.total_cmp(&a.likelihood).then((a.retry, a.unserved).cmp(&(b.retry, b.unserved)))
        });
        candidates
    }

    /// Takes up to `expected` candidates as retries, the likeliest first.
    fn accept(&mut self, candidates: &[Candidate], expected: usize) {
        let mut retried = HashSet::new();
        for Candidate { retry, unserved, .. } in candidates {
            if self.inferred.len() >= expected {
                break;
            }
            // A client retries at most once, so an inferred retry is never retried, even if it was not served.
            let is_available = !self.inferred.contains(retry) && !self.inferred.contains(unserved);
            if is_available && retried.insert(*unserved) {
                self.inferred.insert(*retry);
            }
        }
    }
}

/// The properties that a retry shares with its first try.
#[derive(PartialEq, Eq, Hash)]
struct RequestKind {
    customer: u64,
    class: u16,
    unit_bits: u32,
}

impl RequestKind {
    fn of(record: &Record) -> RequestKind {
        RequestKind { customer: record.customer, class: record.class, unit_bits: record.units.to_bits() }
    }
}

/// The end of a try that was not served.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct UnservedEnd {
    at: Micros,
    /// Index of the record.
    record: usize,
}

/// A record that may be the retry of an unserved try.
struct Candidate {
    likelihood: f64,
    /// Index of the possible retry.
    retry: usize,
    /// Index of the unserved try.
    unserved: usize,
}

fn unserved_without_key(records: &[Record]) -> impl Iterator<Item = (usize, &Record)> {
    let is_unserved = |record: &Record| record.key == 0 && record.outcome != Outcome::Served;
    records.iter().enumerate().filter(move |(_, record)| is_unserved(record))
}

/// Returns when the unserved tries without a key ended, in time order for each kind of request.
fn unserved_ends(records: &[Record]) -> HashMap<RequestKind, Vec<UnservedEnd>> {
    let mut ends: HashMap<RequestKind, Vec<UnservedEnd>> = HashMap::new();
    for (index, record) in unserved_without_key(records) {
        let end = UnservedEnd { at: record.at + Micros::from(record.latency), record: index };
        ends.entry(RequestKind::of(record)).or_default().push(end);
    }
    ends.values_mut().for_each(|ends| ends.sort_unstable());
    ends
}

/// How clients retry unserved tries, estimated from records that carry an idempotency key.
struct RetryBehaviour {
    /// Share of unserved first tries that are retried.
    retried_share: f64,
    /// Share of these retries that are unserved too.
    unserved_retry_share: f64,
    /// Histogram of the waits before a retry, in bins of [`WAIT_BIN`].
    waits: Vec<f64>,
}

impl RetryBehaviour {
    /// Estimates the behaviour from the records that carry a key; `None` if there are too few retries among them.
    fn from_keyed(records: &[Record]) -> Option<RetryBehaviour> {
        let mut by_key: HashMap<u64, Vec<&Record>> = HashMap::new();
        for record in records.iter().filter(|record| record.key != 0) {
            by_key.entry(record.key).or_default().push(record);
        }
        let (mut unserved, mut retried, mut unserved_retries) = (0usize, 0usize, 0usize);
        let mut waits = vec![0.0; (MAX_RETRY_WAIT / WAIT_BIN) as usize];
        for tries in by_key.values().filter(|tries| tries[0].outcome != Outcome::Served) {
            unserved += 1;
            let Some(retry) = tries.get(1) else { continue };
            retried += 1;
            unserved_retries += usize::from(retry.outcome != Outcome::Served);
            let wait = retry.at.saturating_sub(tries[0].at + Micros::from(tries[0].latency));
            if let Some(bin) = waits.get_mut((wait / WAIT_BIN) as usize) {
                *bin += 1.0;
            }
        }
        (retried >= MIN_KEYED_RETRIES).then(|| RetryBehaviour {
            retried_share: retried as f64 / unserved as f64,
            unserved_retry_share: unserved_retries as f64 / retried as f64,
            waits,
        })
    }

    /// Returns the relative likelihood of a wait before a retry, which is not normalized.
    fn likelihood(&self, wait: Micros) -> f64 {
        self.waits[(wait / WAIT_BIN) as usize]
    }

    /// Returns the expected number of retries, given the number of unserved records. That number includes the unserved
    /// retries, which are not retried themselves.
    fn expected_retries(&self, unserved: usize) -> usize {
        let unserved_per_try = 1.0 + self.retried_share * self.unserved_retry_share;
        (self.retried_share * unserved as f64 / unserved_per_try).round() as usize
    }
}
