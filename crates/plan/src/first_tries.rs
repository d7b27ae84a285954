//! First tries out of a capture: what clients wanted, without the retries of what they did not get.

use sedgestack_capture::{Merged, Outcome, Record};
use sedgestack_fleet::{Fleet, GrowthBy, Micros};
use sedgestack_model::demand::{sort_arrivals, Arrival, Demand, WorkDistribution};
use sedgestack_model::streams::{stream, Concern};

use crate::growth::{copies, grown, jittered};
use crate::retries::Retries;
use crate::weights::Weights;
use crate::work_scales::WorkScales;

/// A capture with fewer first tries, or shorter, holds too little for a plan to rest on.
const LEAST_TRIES: usize = 100;
const LEAST_LENGTH: Micros = 5_000_000;
const SECOND: Micros = 1_000_000;
/// The parts of the streams that copies and their work are drawn from.
const COPY_STREAM: u64 = 1;
const WORK_STREAM: u64 = 2;

/// Why no plan can be made from a capture.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CaptureError {
    /// A class or plan of the capture is not in the fleet file.
    #[error("the capture's {what} {name} is not in the fleet file, which has {known}")]
    Unknown {
        /// `class` or `plan`.
        what: &'static str,
        /// Its name in the capture.
        name: String,
        /// The names in the fleet file.
        known: String,
    },
    /// The capture is too short or holds too few requests.
    #[error(
        "the capture holds {tries} first tries over {seconds} s; expected at least {LEAST_TRIES} over 5 s"
    )]
    TooLittle {
        /// The first tries in it.
        tries: usize,
        /// Its length in whole seconds.
        seconds: u64,
    },
    /// The capture is of a tier with another number of limiters.
    #[error("the capture is of {captured} limiters, the fleet file has {described}")]
    Limiters {
        /// Limiters of the captured tier.
        captured: u32,
        /// Limiters in the fleet file.
        described: u32,
    },
}

/// One first try.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstTry {
    /// When it came and what it asked for.
    pub arrival: Arrival,
    /// How many tries it stands for: more than one where others were lost to the capture.
    pub weight: f64,
    /// Latency at the limiter where it was served by its first attempt.
    pub served_at_once: Option<Micros>,
}

/// The demand behind a capture.
#[derive(Clone, Debug)]
pub struct FirstTries {
    /// The first tries, in order of time.
    pub tries: Vec<FirstTry>,
    /// The length of the capture, in whole seconds.
    pub length: Micros,
    /// Retries left out that clients had marked.
    pub retries_marked: usize,
    /// Retries left out whose key had come before.
    pub retries_by_key: usize,
    /// Retries left out that were inferred.
    pub retries_inferred: usize,
    /// Requests that were open at limiters, on average: Little's law over latencies.
    pub open_mean: f64,
    /// Share of first tries that were served.
    pub served_share: f64,
    /// What bounds the answer of a plan that rests on this capture.
    pub warnings: Vec<String>,
}

impl FirstTries {
    /// Takes the first tries out of a merged capture.
    ///
    /// Retries are known by the client's mark, by a key that came before, and else by likeness: a request of the same
    /// customer, class and units soon after an unserved one. How many of these are retries, and after what wait
    /// they come, is read off those that bear a key.
    ///
    /// # Errors
    /// Where the capture is not of this fleet, or holds too little.
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
        if tries.len() < LEAST_TRIES || length < LEAST_LENGTH {
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

    /// Demand at `growth` times the capture, with work drawn for this seed.
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
        let most_units = fleet.rules.most_units;
        let mut arrivals = Vec::with_capacity(self.tries.len());
        for first_try in &self.tries {
            for copy in 0..copies(first_try.weight, rng) {
                let mut arrival = first_try.arrival;
                if copy > 0 {
                    arrival.at = jittered(arrival.at, self.length, rng);
                }
                let class = &fleet.classes[arrival.class];
                let scale = scales.at(arrival.class, arrival.at);
                let work = WorkDistribution::new(class, scale);
                arrival.work = work.draw_for_units(work_rng, class, most_units, arrival.units, scale);
                arrivals.push(arrival);
            }
        }
        sort_arrivals(&mut arrivals);
        grown(arrivals, self.length, growth, by, seed)
    }
}

/// Turns the records of a capture into arrivals of a fleet.
struct ArrivalDecoder {
    /// The index in the fleet of each class and plan of the capture.
    class_indices: Vec<usize>,
    plan_indices: Vec<usize>,
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

/// From the first record to the last, rounded up to the next whole second.
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
            "{:.1}% of the demand planned for is an estimate of what the capture lacks",
            100.0 * scaled / (1.0 + scaled)
        ));
    }
    if retries.undecided > 0 {
        warnings.push(format!(
            "retries are not marked and too few bear a key: {} unserved requests without one may have come \
             again, and their retries are planned for as demand",
            retries.undecided
        ));
    }
    if retries.inferred() + retries.alike_by_chance > 0 {
        warnings.push(format!(
            "retries are not marked: {} requests like an unserved one just before were left out as retries, {} \
             kept as alike by chance, by what retries with a key tell",
            retries.inferred(),
            retries.alike_by_chance
        ));
    }
    warnings
}
