//! Fits the work of each class to a capture, so that the latency in the model matches the captured latency.

use rayon::prelude::*;
use serde::Serialize;

use sedgestack_fleet::{Fleet, GrowthBy, Micros};
use sedgestack_model::{run, ObservedOutcome, Scenario};

use crate::first_tries::FirstTries;
use crate::work_scales::{WorkScales, WINDOW};

/// Number of rounds that fit one scale for each class over the whole capture.
const WHOLE_ROUNDS: usize = 4;
/// Number of subsequent rounds that fit a scale for each window.
const WINDOW_ROUNDS: usize = 4;
/// Exponent that damps the correction in a round. Latency grows faster than work where backends are full, so a full
/// correction would overshoot.
const CORRECTION_EXPONENT: f64 = 0.7;
/// Minimum number of answers in a window for a scale of its own.
const MIN_ANSWERS: usize = 25;
/// Minimum difference between the captured and the modelled median of a window, as the logarithm of their ratio, for a
/// correction. Smaller differences can be chance.
const MIN_LOG_RATIO: f64 = 0.2;
/// Lower bound of a scale.
const MIN_SCALE: f64 = 0.05;
/// Upper bound of a scale.
const MAX_SCALE: f64 = 50.0;
/// Number of seeds whose runs a round combines.
const SEEDS: u64 = 4;

/// The fit of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassFit {
    /// The class's name.
    pub name: String,
    /// Mean scale over all windows: the class's work as a multiple of its work in the fleet file.
    pub scale: f64,
    /// The highest scale of any window.
    pub highest: f64,
    /// Start of that window, in seconds from the start of the capture.
    pub highest_at_s: u64,
    /// Number of captured requests served by their first attempt, which the fit compares with the model.
    pub answers: usize,
    /// The 50th and 95th latency percentile in the capture, in milliseconds.
    pub captured_ms: [f64; 2],
    /// The same percentiles in the model.
    pub model_ms: [f64; 2],
    /// Kolmogorov-Smirnov distance between the captured and the modelled latency distribution.
    pub distance: f64,
}

/// A fit of the model to a capture.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The fit of each class.
    pub classes: Vec<ClassFit>,
    /// Mean `distance` of the classes, weighted by their answers: the share of answers whose latency would have to
    /// change for model and capture to agree.
    pub unexplained: f64,
    #[serde(skip)]
    pub(crate) scales: WorkScales,
}

/// A request that its first attempt served: its arrival time and its latency, both in microseconds.
#[derive(Clone, Copy)]
struct Answer {
    at: Micros,
    latency: f64,
}

/// By class: the requests served by their first attempt.
type Answers = Vec<Vec<Answer>>;

/// Fits the work scales of all classes to a capture, first over the whole capture and then window by window.
pub fn fit(fleet: &Fleet, tries: &FirstTries) -> Fit {
    let captured = captured_answers(fleet, tries);
    let mut scales = WorkScales::unscaled(fleet.classes.len(), tries.length);
    for round in 0..WHOLE_ROUNDS + WINDOW_ROUNDS {
        let rescale: fn(&mut [f64], &[Answer], &[Answer]) =
            if round < WHOLE_ROUNDS { rescale_whole } else { rescale_windows };
        let model = model_answers(fleet, tries, &scales);
        for (class, scales) in scales.classes_mut().enumerate() {
            rescale(scales, &captured[class], &model[class]);
        }
    }
    let model = model_answers(fleet, tries, &scales);
    compare(fleet, &captured, &model, scales)
}

fn captured_answers(fleet: &Fleet, tries: &FirstTries) -> Answers {
    let mut answers: Answers = vec![Vec::new(); fleet.classes.len()];
    for first_try in &tries.tries {
        let arrival = &first_try.arrival;
        if let Some(latency) = first_try.served_at_once {
            answers[arrival.class].push(Answer { at: arrival.at, latency: latency as f64 });
        }
    }
    answers
}

fn model_answers(fleet: &Fleet, tries: &FirstTries, scales: &WorkScales) -> Answers {
    let run_seed = |seed: u64| {
        let demand = tries.demand(fleet, scales, 1.0, GrowthBy::Customers, seed);
        let scenario = Scenario { record: true, ..Scenario::new(fleet, &demand) };
        run(&scenario, seed).observed
    };
    let runs: Vec<_> = (1..=SEEDS).into_par_iter().map(run_seed).collect();
    let mut answers: Answers = vec![Vec::new(); fleet.classes.len()];
    for request in runs.iter().flatten() {
        let is_first_attempt = request.attempts == 1 && !request.is_retry;
        if request.outcome == ObservedOutcome::Served && is_first_attempt {
            answers[request.class].push(Answer { at: request.at, latency: request.latency as f64 });
        }
    }
    answers
}

/// Corrects all scales of a class by the ratio of the medians over the whole capture.
fn rescale_whole(scales: &mut [f64], captured: &[Answer], model: &[Answer]) {
    if let Some(ratio) = median_ratio(&mut latencies(captured), &mut latencies(model)) {
        scales.iter_mut().for_each(|scale| *scale = corrected(*scale, ratio));
    }
}

/// Corrects the scale of each window by the ratio of its medians.
fn rescale_windows(scales: &mut [f64], captured: &[Answer], model: &[Answer]) {
    for (window, scale) in scales.iter_mut().enumerate() {
        let mut captured = latencies_within(captured, window);
        let mut model = latencies_within(model, window);
        if captured.len() < MIN_ANSWERS || model.len() < MIN_ANSWERS {
            continue;
        }
        let ratio = median_ratio(&mut captured, &mut model);
        if let Some(ratio) = ratio.filter(|ratio| ratio.ln().abs() > MIN_LOG_RATIO) {
            *scale = corrected(*scale, ratio);
        }
    }
}

fn median_ratio(captured: &mut [f64], model: &mut [f64]) -> Option<f64> {
    Some(percentile(captured, 0.5)? / percentile(model, 0.5)?)
}

fn corrected(scale: f64, ratio: f64) -> f64 {
    (scale * ratio.powf(CORRECTION_EXPONENT)).clamp(MIN_SCALE, MAX_SCALE)
}

/// Measures how closely model and capture agree under the fitted scales.
fn compare(fleet: &Fleet, captured: &Answers, model: &Answers, scales: WorkScales) -> Fit {
    let classes: Vec<ClassFit> = (0..fleet.classes.len())
        .map(|class| {
            let name = &fleet.classes[class].name;
            compare_class(name, &captured[class], &model[class], scales.of_class(class))
        })
        .collect();
    let (mut weighted_distance, mut answers) = (0.0, 0.0);
    for class in &classes {
        weighted_distance += class.distance * class.answers as f64;
        answers += class.answers as f64;
    }
    Fit { classes, unexplained: if answers > 0.0 { weighted_distance / answers } else { 1.0 }, scales }
}

fn compare_class(name: &str, captured: &[Answer], model: &[Answer], scales: &[f64]) -> ClassFit {
    let (mut captured, mut model) = (latencies(captured), latencies(model));
    let distance = distance(&mut captured, &mut model);
    let highest = (0..scales.len()).max_by(|a, b| scales[*a].total_cmp(&scales[*b])).unwrap_or(0);
    ClassFit {
        name: name.to_string(),
        scale: scales.iter().sum::<f64>() / scales.len() as f64,
        highest: scales[highest],
        highest_at_s: highest as u64 * WINDOW / 1_000_000,
        answers: captured.len(),
        captured_ms: percentiles_ms(&mut captured),
        model_ms: percentiles_ms(&mut model),
        distance,
    }
}

fn percentiles_ms(latencies: &mut [f64]) -> [f64; 2] {
    [0.5, 0.95].map(|part| percentile(latencies, part).unwrap_or(0.0) / 1e3)
}

fn percentile(values: &mut [f64], part: f64) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some(values[((values.len() - 1) as f64 * part) as usize])
}

fn latencies(answers: &[Answer]) -> Vec<f64> {
    answers.iter().map(|answer| answer.latency).collect()
}

fn latencies_within(answers: &[Answer], window: usize) -> Vec<f64> {
    let is_within = |answer: &&Answer| (answer.at / WINDOW) as usize == window;
    answers.iter().filter(is_within).map(|answer| answer.latency).collect()
}

/// Returns the Kolmogorov-Smirnov distance between two samples; 1 if either is empty.
fn distance(a: &mut [f64], b: &mut [f64]) -> f64 {
    if a.is_empty() || b.is_empty() {
        return 1.0;
    }
    a.sort_by(f64::total_cmp);
    b.sort_by(f64::total_cmp);
    let (mut i, mut j, mut largest_gap) = (0, 0, 0.0f64);
    while i < a.len() && j < b.len() {
        let value = a[i].min(b[j]);
        while i < a.len() && a[i] <= value {
            i += 1;
        }
        while j < b.len() && b[j] <= value {
            j += 1;
        }
        largest_gap = largest_gap.max((i as f64 / a.len() as f64 - j as f64 / b.len() as f64).abs());
    }
    largest_gap
}

#[cfg(test)]
mod tests;
