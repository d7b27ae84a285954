//! The work of each class, fitted so that the model answers as the captured fleet did.

use rayon::prelude::*;
use serde::Serialize;

use sedgestack_fleet::{Fleet, GrowthBy, Micros};
use sedgestack_model::{run, ObservedOutcome, Scenario};

use crate::first_tries::FirstTries;
use crate::work_scales::{WorkScales, WINDOW};

/// Rounds in which the scale of the whole capture is fitted.
const WHOLE_ROUNDS: usize = 4;
/// Rounds after these, in which each window is fitted by itself.
const WINDOW_ROUNDS: usize = 4;
/// Part of the difference that a round corrects: latency grows faster than work where backends are full.
const STEP: f64 = 0.7;
/// A window is scaled by itself only with so many answers.
const LEAST_ANSWERS: usize = 25;
/// A window is scaled by itself only where its median differs by more than chance makes it: by this much.
const LEAST_DIFFERENCE: f64 = 0.2;
/// Scales stay between these.
const LEAST_SCALE: f64 = 0.05;
const MOST_SCALE: f64 = 50.0;
/// Seeds whose runs are pooled in a round.
const SEEDS: u64 = 4;

/// One class's fit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassFit {
    /// The class's name.
    pub name: String,
    /// Mean work over that of the fleet file.
    pub scale: f64,
    /// The highest scale of a window.
    pub highest: f64,
    /// The second at which that window begins.
    pub highest_at_s: u64,
    /// Answers by a first attempt that were compared.
    pub answers: usize,
    /// Latency percentiles 50 and 95 as captured, milliseconds.
    pub captured_ms: [f64; 2],
    /// The same in the model.
    pub model_ms: [f64; 2],
    /// Largest difference between the two distributions of latency (Kolmogorov and Smirnov's).
    pub distance: f64,
}

/// A fit of the model to a capture.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The fit of each class.
    pub classes: Vec<ClassFit>,
    /// Part of the answers that would have to come at another time for model and capture to agree.
    pub unexplained: f64,
    #[serde(skip)]
    pub(crate) scales: WorkScales,
}

/// When a first attempt was answered, and its latency in microseconds.
#[derive(Clone, Copy)]
struct Answer {
    at: Micros,
    latency: f64,
}

/// Answers by first attempts, by class.
type Answers = Vec<Vec<Answer>>;

/// Fits the work scales of all classes to a capture: whole first, then by window.
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

/// Corrects the scales of a class by the medians of the whole capture.
fn rescale_whole(scales: &mut [f64], captured: &[Answer], model: &[Answer]) {
    if let Some(ratio) = median_ratio(&mut latencies(captured), &mut latencies(model)) {
        scales.iter_mut().for_each(|scale| *scale = corrected(*scale, ratio));
    }
}

/// Corrects each window's scale by its own medians.
fn rescale_windows(scales: &mut [f64], captured: &[Answer], model: &[Answer]) {
    for (window, scale) in scales.iter_mut().enumerate() {
        let mut captured = latencies_within(captured, window);
        let mut model = latencies_within(model, window);
        if captured.len() < LEAST_ANSWERS || model.len() < LEAST_ANSWERS {
            continue;
        }
        let ratio = median_ratio(&mut captured, &mut model);
        if let Some(ratio) = ratio.filter(|ratio| ratio.ln().abs() > LEAST_DIFFERENCE) {
            *scale = corrected(*scale, ratio);
        }
    }
}

fn median_ratio(captured: &mut [f64], model: &mut [f64]) -> Option<f64> {
    Some(percentile(captured, 0.5)? / percentile(model, 0.5)?)
}

fn corrected(scale: f64, ratio: f64) -> f64 {
    (scale * ratio.powf(STEP)).clamp(LEAST_SCALE, MOST_SCALE)
}

/// How far model and capture agree under the scales that were found.
fn compare(fleet: &Fleet, captured: &Answers, model: &Answers, scales: WorkScales) -> Fit {
    let classes: Vec<ClassFit> = (0..fleet.classes.len())
        .map(|class| {
            let name = &fleet.classes[class].name;
            compare_class(name, &captured[class], &model[class], scales.of_class(class))
        })
        .collect();
    let (mut apart, mut answers) = (0.0, 0.0);
    for class in &classes {
        apart += class.distance * class.answers as f64;
        answers += class.answers as f64;
    }
    Fit { classes, unexplained: if answers > 0.0 { apart / answers } else { 1.0 }, scales }
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

/// Kolmogorov and Smirnov's distance between two samples.
fn distance(a: &mut [f64], b: &mut [f64]) -> f64 {
    if a.is_empty() || b.is_empty() {
        return 1.0;
    }
    a.sort_by(f64::total_cmp);
    b.sort_by(f64::total_cmp);
    let (mut i, mut j, mut most) = (0, 0, 0.0f64);
    while i < a.len() && j < b.len() {
        let value = a[i].min(b[j]);
        while i < a.len() && a[i] <= value {
            i += 1;
        }
        while j < b.len() && b[j] <= value {
            j += 1;
        }
        most = most.max((i as f64 / a.len() as f64 - j as f64 / b.len() as f64).abs());
    }
    most
}

#[cfg(test)]
mod tests;
