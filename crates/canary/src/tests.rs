use super::*;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Probabilities that an attempt of each group is served in time.
#[derive(Clone, Copy)]
struct InTime {
    touched: f64,
    control: f64,
}

fn in_time(touched: f64, control: f64) -> InTime {
    InTime { touched, control }
}

fn draw_second(rng: &mut Xoshiro256PlusPlus, probability: InTime) -> Second {
    let mut count = |attempts: u32, probability: f64| {
        let in_time = (0..attempts).filter(|_| rng.random::<f64>() < probability).count() as u32;
        OutcomeCount { attempts, in_time }
    };
    Second { touched: count(30, probability.touched), control: count(60, probability.control) }
}

/// Analyses a change, with 20 seconds at the probabilities `before` and 30 seconds at those `after`.
fn analyse(seed: u64, before: InTime, after: InTime) -> Verdict {
    let rng = &mut Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut analysis = CanaryAnalysis::new(Settings::default()).expect("the default settings are valid");
    let mut draw = |count: usize, probability: InTime| -> Vec<Second> {
        (0..count).map(|_| draw_second(rng, probability)).collect()
    };
    let (before, after) = (draw(20, before), draw(30, after));
    (1..=30)
        .map(|n| analysis.evaluate(n, &before, &after[..n as usize]))
        .last()
        .expect("there are 30 evaluations")
}

#[test]
fn change_without_effect_is_rolled_back_no_more_often_than_the_false_alarm_rate() {
    let rolled_back = (0..300)
        .filter(|seed| analyse(*seed, in_time(0.9, 0.9), in_time(0.9, 0.9)) != Verdict::Stands)
        .count();
    assert!(rolled_back <= 3, "{rolled_back} of 300");
}

#[test]
fn drop_of_the_touched_plans_alone_is_rolled_back_soon() {
    for seed in 0..100 {
        let verdict = analyse(seed, in_time(0.95, 0.95), in_time(0.5, 0.95));
        assert!(matches!(verdict, Verdict::Undo { at_s, .. } if at_s <= 12), "{verdict:?}");
    }
}

#[test]
fn drop_of_all_plans_is_rarely_rolled_back() {
    let rolled_back = (0..300)
        .filter(|seed| analyse(*seed, in_time(0.95, 0.95), in_time(0.6, 0.6)) != Verdict::Stands)
        .count();
    assert!(rolled_back <= 3, "{rolled_back} of 300");
}

#[test]
fn improvement_of_the_control_group_is_never_rolled_back() {
    let rolled_back = (0..300)
        .filter(|seed| analyse(*seed, in_time(1.0, 0.75), in_time(1.0, 1.0)) != Verdict::Stands)
        .count();
    assert_eq!(rolled_back, 0);
}

#[test]
fn drop_below_the_minimum_is_rarely_rolled_back() {
    let rolled_back = (0..100)
        .filter(|seed| analyse(*seed, in_time(0.95, 0.95), in_time(0.9, 0.95)) != Verdict::Stands)
        .count();
    assert!(rolled_back <= 10, "{rolled_back} of 100");
}

#[test]
fn invalid_settings_are_named_in_the_error() {
    let with = |change: fn(&mut Settings)| {
        let mut settings = Settings::default();
        change(&mut settings);
        settings.check()
    };
    assert_eq!(with(|s| s.baseline_s = 5), Err(SettingsError::Baseline));
    assert_eq!(with(|s| s.first_evaluation_s = 31), Err(SettingsError::FirstEvaluation));
    assert_eq!(with(|s| s.false_alarm_rate = 0.0), Err(SettingsError::FalseAlarmRate));
    assert_eq!(with(|s| s.min_drop = 1.5), Err(SettingsError::MinDrop));
}
