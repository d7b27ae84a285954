//! Extracts the first tries from a capture: the requests that are not client retries.
//!
//! First tries are the demand behind a capture. Client retries follow from requests that went unserved, and the model
//! generates them itself.

use sedgestack_capture::{Merged, Outcome, Record};
use sedgestack_fleet::{Fleet, GrowthBy, Micros};
use sedgestack_model::demand::{sort_arrivals, Arrival, Demand, WorkDistribution};
use sedgestack_model::streams::{stream, Concern};

use crate::growth::{draw_copy_count, jitter_time, scale_demand};
use crate::retries::Retries;
use crate::weights::Weights;
use crate::work_scales::WorkScales;

/// Minimum number of first tries in a capture that a plan can be based on.
const MIN_TRIES: usize = 100;
/// Minimum length of a capture that a plan can be based on.
const MIN_LENGTH: Micros = 5_000_000;
const SECOND: Micros = 1_000_000;
/// Identifies the random stream from which the number and times of copies are drawn.
const COPY_STREAM: u64 = 1;
/// Identifies the random stream from which the work of requests is drawn.
const WORK_STREAM: u64 = 2;

/// The reason why a plan cannot be made from a capture.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CaptureError {
    /// A class or plan of the capture is not in the fleet file.
    #[error("the capture's {what} {name} is not in the fleet file, which has {known}")]
    Unknown {
        /// `class` or `plan`.
        what: &'static str,
        /// The name in the capture.
        name: String,
        /// The names in the fleet file.
        known: String,
    },
    /// The capture is too short or holds too few requests.
    #[error(
        "the capture holds {tries} first tries over {seconds} s; expected at least {MIN_TRIES} over 5 s"
    )]
    TooLittle {
        /// Number of first tries in the capture.
        tries: usize,
        /// Length of the capture, in whole seconds.
        seconds: u64,
    },
    /// The captured tier and the fleet file differ in the number of limiters.
    #[error("the capture is of {captured} limiters, the fleet file has {described}")]
    Limiters {
        /// Number of limiters in the captured tier.
        captured: u32,
        /// Number of limiters in the fleet file.
        described: u32,
    },
}

/// A request that is not a client retry.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstTry {
    /// When the request arrived, and what it asked for.
    pub arrival: Arrival,
    /// Number of first tries that this one represents: above 1 where the capture lacks others.
    pub weight: f64,
    /// Latency at the limiter if the first attempt served the request; else `None`.
    pub served_at_once: Option<Micros>,
}

/// The first tries of a capture, and statistics about it.
#[derive(Clone, Debug)]
pub struct FirstTries {
    /// The first tries, in order of time.
    pub tries: Vec<FirstTry>,
    /// Length of the capture in microseconds, a multiple of one second.
    pub length: Micros,
    /// Number of client retries left out because clients had marked them.
    pub retries_marked: usize,
    /// Number of client retries left out because their idempotency key had occurred before.
    pub retries_by_key: usize,
    /// Number of client retries left out by inference.
    pub retries_inferred: usize,
    /// Mean number of requests in flight at limiters, computed from latencies by Little's law.
    pub open_mean: f64,
    /// Share of first tries that were served.
    pub served_share: f64,
    /// What limits the accuracy of a plan based on this capture, in sentences.
    pub warnings: Vec<String>,
}

impl FirstTries {
    /// Extracts the first tries from a merged capture.
    ///
    /// A record is a client retry if the client marked it or if its idempotency key occurred before. Other retries are
    /// inferred among the requests that follow an unserved request of the same customer, class and units within a
    /// short time. Their expected number and their wait times are estimated from the retries that carry a key.
    ///
    /// # Errors
    /// Returns an error if the capture does not match the fleet, or holds too few requests or seconds.
    pub fn of(fleet: &Fleet, merged: &Merged) -> Result<FirstTries, CaptureError> {
        let arrivals = ArrivalDecoder::new(fleet, merged)?;
        let records = &merged.records;
        let length = whole_seconds(records);
        let retries = Retries::find(records);
        let weights = Weights::new(merged);
        let is_first = |(index, _): &(usize, &Record)| !retries.is_retry(*index);
        let first_records = || records.iter().enumerate().filter(is_first).map(|(_, record)| record);
        let tries: Vec<FirstTry> =
            first_records().map(|record| arrivals.first_try(record, weights.of_record(record))).collect();
        if tries.len() < MIN_TRIES || length < MIN_LENGTH {
            return Err(CaptureError::TooLittle { tries: tries.len(), seconds: length / SECOND });
        }
        let served = first_records().filter(|record| record.outcome == Outcome::Served).count();
        let open = records.iter().fold(0.0, |open, record| open + f64::from(record.latency));
        Ok(FirstTries {
            served_share: served as f64 / tries.len() as f64,
            open_mean: open / length as f64,
            retries_marked: retries.marked,
            retries_by_key: retries.by_key,
            retries_inferred: retries.inferred(),
            warnings: warnings(merged, &tries, &retries),
            tries,
            length,
        })
    }

    /// Returns the demand at `growth` times the captured load, with the work of each request drawn for this seed.
    pub(crate) fn demand(
        &self,
        fleet: &Fleet,
        scales: &WorkScales,
        growth: f64,
        by: GrowthBy,
        seed: u64,
    ) -> Demand {
        let rng = &mut stream(seed, Concern::Resampling, COPY_STREAM);
        let work_rng = &mut stream(seed, Concern::Work, WORK_STREAM);
        let most_units = fleet.rules.max_units;
        let mut arrivals = Vec::with_capacity(self.tries.len());
        for first_try in &self.tries {
            for copy in 0..draw_copy_count(first_try.weight, rng) {
                let mut arrival = first_try.arrival;
                if copy > 0 {
                    arrival.at = jitter_time(arrival.at, self.length, rng);
                }
                let class = &fleet.classes[arrival.class];
                let scale = scales.at(arrival.class, arrival.at);
                let work = WorkDistribution::new(class, scale);
                arrival.work = work.draw_for_units(work_rng, class, most_units, arrival.units, scale);
                arrivals.push(arrival);
            }
        }
        sort_arrivals(&mut arrivals);
        scale_demand(arrivals, self.length, growth, by, seed)
    }
}

/// Converts the records of a capture to arrivals at a fleet.
struct ArrivalDecoder {
    /// By class of the capture: its index in the fleet.
    class_indices: Vec<usize>,
    /// By plan of the capture: its index in the fleet.
    plan_indices: Vec<usize>,
    /// Time of the first record.
    start: Micros,
}

impl ArrivalDecoder {
    fn new(fleet: &Fleet, merged: &Merged) -> Result<ArrivalDecoder, CaptureError> {
        let classes: Vec<String> = fleet.classes.iter().map(|class| class.name.clone()).collect();
        let plans: Vec<String> = fleet.plans.iter().map(|plan| plan.name.clone()).collect();
        let class_indices = indices_of("class", &merged.classes, &classes)?;
        let plan_indices = indices_of("plan", &merged.plans, &plans)?;
        let (captured, described) = (merged.limiters, fleet.limiter_count());
        if captured != described {
            return Err(CaptureError::Limiters { captured, described });
        }
        let start = merged.records.first().map_or(0, |record| record.at);
        Ok(ArrivalDecoder { class_indices, plan_indices, start })
    }

    fn first_try(&self, record: &Record, weight: f64) -> FirstTry {
        let served_at_once = record.outcome == Outcome::Served && record.attempts == 1;
        FirstTry {
            arrival: Arrival {
                at: record.at - self.start,
                class: self.class_indices[usize::from(record.class)],
                plan: self.plan_indices[usize::from(record.plan)],
                customer: record.customer,
                units: f64::from(record.units),
                work: 0.0,
                spread: u32::from(record.spread).max(1),
                first_limiter: u32::from(record.first),
                timeout: Micros::from(record.patience_ms).max(1) * 1_000,
            },
            weight,
            served_at_once: served_at_once.then(|| Micros::from(record.latency)),
        }
    }
}

fn indices_of(what: &'static str, names: &[String], known: &[String]) -> Result<Vec<usize>, CaptureError> {
    let index = |name: &String| {
        known.iter().position(|known| known == name).ok_or_else(|| CaptureError::Unknown {
            what,
            name: name.clone(),
            known: known.join(", "),
        })
    };
    names.iter().map(index).collect()
}

/// Returns the time from the first record to the last, rounded up to the next whole second.
fn whole_seconds(records: &[Record]) -> Micros {
    let start = records.first().map_or(0, |record| record.at);
    let span = records.last().map_or(0, |record| record.at - start);
    span / SECOND * SECOND + SECOND
}

fn warnings(merged: &Merged, tries: &[FirstTry], retries: &Retries) -> Vec<String> {
    let mut warnings: Vec<String> = merged.warnings.iter().map(std::string::ToString::to_string).collect();
    let scaled: f64 = tries.iter().map(|first_try| first_try.weight).sum::<f64>() / tries.len() as f64 - 1.0;
    if scaled > 0.0 {
        warnings.push(format!(
            "{:.1}% of the planned demand is an estimate of what the capture lacks",
            100.0 * scaled / (1.0 + scaled)
        ));
    }
    if retries.undecided > 0 {
        warnings.push(format!(
            "retries are not marked and too few carry an idempotency key: {} unserved requests without a key may \
             have been retried, and their retries count as demand",
            retries.undecided
        ));
    }
    if retries.inferred() + retries.similar_by_chance > 0 {
        warnings.push(format!(
            "retries are not marked: of the requests that resemble an unserved one shortly before, {} were left \
             out as retries and {} kept as similar by chance, estimated from the retries with a key",
            retries.inferred(),
            retries.similar_by_chance
        ));
    }
    warnings
}
