//! The score of a run. Its main metric is the value served: the value of requests answered in time, divided by the
//! value of all requests within quotas.
//!
//! Both the model and rehearsals use [`Scorer`], so their scores are comparable.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use sedgestack_fleet::{Class, Fleet, Micros, Plan};

/// Length of the windows among which the worst one is found.
pub const WINDOW: Micros = 10_000_000;
/// Interval of the counts over time.
pub const SECOND: Micros = 1_000_000;
/// Highest latency in the histograms, in microseconds. Higher ones are recorded as this.
const MAX_LATENCY: u64 = 600_000_000;

/// The exact token bucket of a customer, filled at the plan's rate up to its burst. Limiters only approximate it.
#[derive(Clone, Copy)]
struct TokenBucket {
    level: f64,
    at: Micros,
}

impl TokenBucket {
    /// Takes units if the bucket holds enough of them. Returns whether it did.
    fn take(&mut self, now: Micros, rate: f64, burst: f64, units: f64) -> bool {
        let gained = rate * now.saturating_sub(self.at) as f64 / 1e6;
        self.level = (self.level + gained).min(burst);
        self.at = self.at.max(now);
        let is_enough = self.level + 1e-9 >= units;
        if is_enough {
            self.level -= units;
        }
        is_enough
    }
}

/// A first try as a client sent it.
#[derive(Clone, Copy, Debug)]
pub struct FirstTry {
    /// When the client sent the request.
    pub at: Micros,
    /// The class's index in the fleet.
    pub class: usize,
    /// The plan's index in the fleet.
    pub plan: usize,
    /// The customer that the client belongs to.
    pub customer: u64,
    /// The units that the request declares.
    pub units: f64,
}

/// A first try that is not closed yet.
struct OpenFirstTry {
    first_try: FirstTry,
    /// When the client sent the latest try.
    latest_try_at: Micros,
    /// Whether the first try was within the quota when it was sent.
    is_within_quota: bool,
    /// Whether the latest forwarded try was within the quota.
    is_forwarded_within_quota: bool,
    /// Whether the first try is counted in [`InTimeCounts::let_through`].
    is_counted: bool,
    /// Whether a try was served.
    is_served: bool,
}

/// Sums of the value asked for within quotas and of the value answered in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ValueServed {
    /// The value asked for within quotas.
    pub asked: f64,
    /// The value answered in time.
    pub in_time: f64,
}

impl ValueServed {
    /// Returns the share answered in time, or 1 if nothing was asked for.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 {
            self.in_time / self.asked
        } else {
            1.0
        }
    }

    fn add(&mut self, asked: f64, in_time: f64) {
        self.asked += asked;
        self.in_time += in_time;
    }
}

/// Counts of a class's first tries that were within quotas and that limiters let through. These are what the fleet has
/// to answer, regardless of how many requests the limiters reject by their quota slices.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InTimeCounts {
    /// Number of first tries let through.
    pub let_through: u64,
    /// How many of them were answered in time.
    pub in_time: u64,
}

impl InTimeCounts {
    /// Returns the share answered in time, or 1 if nothing was let through.
    pub fn share(&self) -> f64 {
        if self.let_through > 0 {
            self.in_time as f64 / self.let_through as f64
        } else {
            1.0
        }
    }
}

/// The score of a run.
#[derive(Clone, Debug)]
pub struct Score {
    /// The value served in total.
    pub overall: ValueServed,
    /// The share of the value served in the worst window of 10 s.
    pub worst_window: f64,
    /// The value served by class.
    pub classes: Vec<ValueServed>,
    /// The value served by plan.
    pub plans: Vec<ValueServed>,
    /// First tries let through and answered in time, by class. In time means within the latency objective of the class,
    /// from the send of the try that was answered.
    pub in_time: Vec<InTimeCounts>,
    /// Latency of served tries, by class. A retry is measured from its own send.
    pub latency: Vec<Histogram<u64>>,
    /// The value served, by second in which the first try was sent.
    pub seconds: Vec<ValueServed>,
    /// The counts of `in_time`, by second in which the first try was sent and by class.
    pub in_time_seconds: Vec<Vec<InTimeCounts>>,
    /// Units forwarded within quotas.
    pub units_inside: f64,
    /// Units forwarded beyond quotas.
    pub units_beyond: f64,
    /// Cost of units forwarded beyond quotas.
    pub overrun_cost: f64,
    /// Units of first tries within and beyond quotas, by plan.
    pub asked_units: Vec<(f64, f64)>,
}

impl Score {
    /// Returns a latency percentile of a class in microseconds, or 0 if none of its requests was served.
    pub fn percentile(&self, class: usize, percent: f64) -> u64 {
        self.latency[class].value_at_percentile(percent)
    }
}

/// Minimum number of requests of a class let through in a window for the window to be considered.
const MIN_REQUESTS_IN_WINDOW: u64 = 50;

/// Finds the window with the lowest share of a class's requests answered in time, in the sum of several runs by second.
///
/// Returns the counts of that window and the second at which it begins. Runs shorter than a window are taken as one
/// window. Without a window that has enough requests, or if all were answered in time, the counts are zero.
pub fn worst_in_time(scores: &[&Score], class: usize) -> (InTimeCounts, u64) {
    let length = scores.iter().map(|s| s.in_time_seconds.len()).max().unwrap_or(0);
    let mut seconds = vec![InTimeCounts::default(); length];
    for score in scores {
        for (sum, second) in seconds.iter_mut().zip(&score.in_time_seconds) {
            sum.let_through += second[class].let_through;
            sum.in_time += second[class].in_time;
        }
    }
    let window = ((WINDOW / SECOND) as usize).min(length).max(1);
    let mut worst = (InTimeCounts::default(), 0);
    for (from, part) in seconds.windows(window).enumerate() {
        let add = |sum: InTimeCounts, s: &InTimeCounts| InTimeCounts {
            let_through: sum.let_through + s.let_through,
            in_time: sum.in_time + s.in_time,
        };
        let sum = part.iter().fold(InTimeCounts::default(), add);
        if sum.let_through >= MIN_REQUESTS_IN_WINDOW && sum.share() < worst.0.share() {
            worst = (sum, from as u64);
        }
    }
    worst
}

/// The quota of a plan and the value of its requests.
struct PlanTerms {
    rate: f64,
    burst: f64,
    price: f64,
    over_quota_cost: f64,
}

/// The value of a class's requests, and the latency up to which it counts.
struct ClassTerms {
    priority_weight: f64,
    latency_objective: Micros,
}

fn plan_terms(fleet: &Fleet) -> Vec<PlanTerms> {
    let terms = |plan: &Plan| PlanTerms {
        rate: plan.rate,
        burst: plan.burst,
        price: plan.price,
        over_quota_cost: plan.over_quota_cost,
    };
    fleet.plans.iter().map(terms).collect()
}

fn class_terms(fleet: &Fleet) -> Vec<ClassTerms> {
    let terms = |class: &Class| ClassTerms {
        priority_weight: class.priority_weight,
        latency_objective: class.latency_objective,
    };
    fleet.classes.iter().map(terms).collect()
}

/// Computes the score from the events of first tries. The events of one customer must be recorded in order of time.
pub struct Scorer {
    plans: Vec<PlanTerms>,
    classes: Vec<ClassTerms>,
    /// Token buckets by customer from which every first try takes its units, served or not.
    first_try_buckets: HashMap<u64, TokenBucket>,
    /// Token buckets by customer from which only forwarded tries take their units.
    forwarded_buckets: HashMap<u64, TokenBucket>,
    open: HashMap<u64, OpenFirstTry>,
    start: Micros,
    score: Score,
}

impl Scorer {
    /// Creates a scorer for a run that begins at `start`.
    pub fn new(fleet: &Fleet, start: Micros) -> Scorer {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY, 2).expect("the bounds are in order");
        let (classes, plans) = (fleet.classes.len(), fleet.plans.len());
        Scorer {
            plans: plan_terms(fleet),
            classes: class_terms(fleet),
            first_try_buckets: HashMap::new(),
            forwarded_buckets: HashMap::new(),
            open: HashMap::new(),
            start,
            score: Score {
                overall: ValueServed::default(),
                worst_window: 1.0,
                classes: vec![ValueServed::default(); classes],
                plans: vec![ValueServed::default(); plans],
                in_time: vec![InTimeCounts::default(); classes],
                latency: (0..classes).map(|_| histogram()).collect(),
                seconds: Vec::new(),
                in_time_seconds: Vec::new(),
                units_inside: 0.0,
                units_beyond: 0.0,
                overrun_cost: 0.0,
                asked_units: vec![(0.0, 0.0); plans],
            },
        }
    }

    /// Returns the value of a first try that is answered in time.
    fn value(&self, first_try: &FirstTry) -> f64 {
        self.classes[first_try.class].priority_weight * self.plans[first_try.plan].price * first_try.units
    }

    /// Returns the index of the second that contains `at`, and extends the counts up to it.
    fn second_index(&mut self, at: Micros) -> usize {
        let second = (at.saturating_sub(self.start) / SECOND) as usize;
        if self.score.seconds.len() <= second {
            self.score.seconds.resize(second + 1, ValueServed::default());
            let none = vec![InTimeCounts::default(); self.classes.len()];
            self.score.in_time_seconds.resize(second + 1, none);
        }
        second
    }

    /// Counts a first try as let through.
    fn count_let_through(&mut self, first_try: &FirstTry) {
        let second = self.second_index(first_try.at);
        self.score.in_time[first_try.class].let_through += 1;
        self.score.in_time_seconds[second][first_try.class].let_through += 1;
    }

    /// Records that a client sent a first try.
    pub fn record_first_try(&mut self, id: u64, first_try: FirstTry) {
        let &PlanTerms { rate, burst, .. } = &self.plans[first_try.plan];
        let full_bucket = TokenBucket { level: burst, at: first_try.at };
        let bucket = self.first_try_buckets.entry(first_try.customer).or_insert(full_bucket);
        let is_within_quota = bucket.take(first_try.at, rate, burst, first_try.units);
        let units = &mut self.score.asked_units[first_try.plan];
        *(if is_within_quota { &mut units.0 } else { &mut units.1 }) += first_try.units;
        if is_within_quota {
            let value = self.value(&first_try);
            self.score.overall.add(value, 0.0);
            self.score.classes[first_try.class].add(value, 0.0);
            self.score.plans[first_try.plan].add(value, 0.0);
            let second = self.second_index(first_try.at);
            self.score.seconds[second].add(value, 0.0);
        }
        self.open.insert(
            id,
            OpenFirstTry {
                first_try,
                latest_try_at: first_try.at,
                is_within_quota,
                is_forwarded_within_quota: false,
                is_counted: false,
                is_served: false,
            },
        );
    }

    /// Applies the quotas of `fleet` from now on. Token buckets keep their levels, limited by the new capacity.
    pub fn on_configuration_change(&mut self, fleet: &Fleet) {
        self.plans = plan_terms(fleet);
    }

    /// Records that a client sent a retry of first try `id`.
    pub fn record_retry(&mut self, id: u64, now: Micros) {
        self.open.entry(id).and_modify(|o| o.latest_try_at = now);
    }

    /// Records that a backend received a try of `id` completely. Only the first attempt of a try that gets this far is
    /// to be recorded.
    pub fn record_forwarded(&mut self, id: u64, now: Micros) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let first_try = open.first_try;
        let &PlanTerms { rate, burst, over_quota_cost, .. } = &self.plans[first_try.plan];
        let full_bucket = TokenBucket { level: burst, at: now };
        let bucket = self.forwarded_buckets.entry(first_try.customer).or_insert(full_bucket);
        open.is_forwarded_within_quota = bucket.take(now, rate, burst, first_try.units);
        let is_within_quota = open.is_forwarded_within_quota;
        if is_within_quota && !std::mem::replace(&mut open.is_counted, true) {
            self.count_let_through(&first_try);
        }
        if is_within_quota {
            self.score.units_inside += first_try.units;
        } else {
            self.score.units_beyond += first_try.units;
            self.score.overrun_cost += over_quota_cost * self.value(&first_try);
        }
    }

    /// Records that a try of `id` was admitted by the quota but not forwarded for lack of capacity.
    pub fn record_capacity_shortage(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id).filter(|o| o.is_within_quota) else { return };
        let first_try = open.first_try;
        if !std::mem::replace(&mut open.is_counted, true) {
            self.count_let_through(&first_try);
        }
    }

    /// Records that a try of `id` was served. `now` is when the client received the whole answer.
    pub fn record_served(&mut self, id: u64, now: Micros) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if std::mem::replace(&mut open.is_served, true) {
            return;
        }
        let (first_try, is_within_quota) = (open.first_try, open.is_forwarded_within_quota);
        // The latency of the fleet is measured from the try that was served, the value from the first try.
        let (latency, total_latency) =
            (now.saturating_sub(open.latest_try_at), now.saturating_sub(first_try.at));
        let (class, objective) = (first_try.class, self.classes[first_try.class].latency_objective);
        self.score.latency[class].saturating_record(latency.max(1));
        if latency <= objective && is_within_quota {
            let second = self.second_index(first_try.at);
            self.score.in_time[class].in_time += 1;
            self.score.in_time_seconds[second][class].in_time += 1;
        }
        if total_latency <= objective && is_within_quota {
            let second = self.second_index(first_try.at);
            let value = self.value(&first_try);
            self.score.overall.add(0.0, value);
            self.score.classes[class].add(0.0, value);
            self.score.plans[first_try.plan].add(0.0, value);
            self.score.seconds[second].add(0.0, value);
        }
    }

    /// Records that no more events of first try `id` follow, and frees its state.
    pub fn record_closed(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// Returns the score at the end of a run.
    pub fn finish(mut self) -> Score {
        let seconds = &self.score.seconds;
        let window = (WINDOW / SECOND) as usize;
        let sum = |w: &[ValueServed]| {
            w.iter().fold(ValueServed::default(), |s, w| ValueServed {
                asked: s.asked + w.asked,
                in_time: s.in_time + w.in_time,
            })
        };
        let worst = seconds.windows(window.min(seconds.len()).max(1)).map(|w| sum(w).share().min(1.0));
        self.score.worst_window = worst.fold(1.0, f64::min);
        self.score
    }
}

#[cfg(test)]
mod tests;
