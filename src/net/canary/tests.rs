//! Tests of canary analysis in one limiter: its decisions on outcomes, and its status for operators.

use super::*;

/// Builds counts from pairs of ended and served requests.
fn counts(pairs: &[(u32, u32)]) -> Vec<OutcomeCounts> {
    pairs.iter().map(|(ended, served)| OutcomeCounts { ended: *ended, served: *served }).collect()
}

fn outcomes_of(second: u64, version: Slot, plans: &[(u32, u32)]) -> SecondOutcomes {
    SecondOutcomes { second, versions: [(version, counts(plans))].into() }
}

/// Returns the analysis of a tier of one limiter, which evaluates itself.
fn single_limiter_monitor() -> CanaryMonitor {
    CanaryMonitor::new(Settings::default(), 0, 1)
}

fn run(canary: &mut CanaryMonitor, seconds: std::ops::Range<u64>, version: Slot, share: (u32, u32)) -> u32 {
    let mut rollbacks = 0;
    for second in seconds {
        canary.record_second(outcomes_of(second, version, &[(20, share.0), (40, share.1)]));
        rollbacks += u32::from(canary.step((second + 1) * 1_000_000).rollback.is_some());
    }
    rollbacks
}

#[test]
fn bad_change_is_rolled_back_and_replacement_is_not_analyzed() {
    let (mut canary, bad) = (single_limiter_monitor(), Digest([1; 16]));
    assert_eq!(run(&mut canary, 80..100, 0, (20, 40)), 0);
    canary.begin(1, bad, 100_000_000, vec![true, false]);
    assert!(run(&mut canary, 100..112, 1, (4, 40)) > 0, "{}", canary.status());
    assert_eq!(canary.status()["state"], "undo");
    canary.on_version_active(Digest([2; 16]), false);
    assert_eq!(canary.status()["state"], "undone");
    assert_eq!(run(&mut canary, 112..140, 2, (4, 40)), 0);
}

#[test]
fn good_change_stands() {
    let mut canary = single_limiter_monitor();
    run(&mut canary, 80..100, 0, (19, 38));
    canary.begin(1, Digest([1; 16]), 100_000_000, vec![true, false]);
    assert_eq!(run(&mut canary, 100..140, 1, (19, 38)), 0);
    assert_eq!((canary.status()["state"].as_str(), &canary.status()["drop"]), (Some("stands"), &Value::Null));
}

#[test]
fn held_change_is_shown_as_held_whatever_its_outcomes() {
    for seconds in [103, 112] {
        let mut canary = single_limiter_monitor();
        run(&mut canary, 80..100, 0, (20, 40));
        canary.begin(1, Digest([1; 16]), 100_000_000, vec![true, false]);
        run(&mut canary, 100..seconds, 1, (4, 40));
        canary.on_version_active(Digest([2; 16]), true);
        canary.on_version_active(Digest([3; 16]), false);
        assert_eq!(canary.status()["state"], "held", "after {seconds}");
    }
}

#[test]
fn void_version_does_not_end_watch() {
    let mut canary = single_limiter_monitor();
    run(&mut canary, 80..100, 0, (20, 40));
    canary.begin(1, Digest([1; 16]), 100_000_000, vec![true, false]);
    run(&mut canary, 100..103, 1, (4, 40));
    canary.on_version_active(Digest([1; 16]), false);
    assert!(run(&mut canary, 103..115, 2, (4, 40)) > 0, "{}", canary.status());
}

#[test]
fn second_is_reported_once_it_has_passed() {
    let (sender, mut reported) = mpsc::channel(4);
    let mut recorder = OutcomeRecorder::new(2, sender);
    recorder.flush_finished_seconds(5_000_000);
    recorder.record(1, 0, true);
    recorder.record(1, 1, false);
    recorder.record(2, 1, true);
    recorder.flush_finished_seconds(5_900_000);
    assert!(reported.try_recv().is_err());
    recorder.flush_finished_seconds(6_000_000);
    let versions = [(1, counts(&[(1, 1), (1, 0)])), (2, counts(&[(0, 0), (1, 1)]))].into();
    assert_eq!(reported.try_recv().ok(), Some(SecondOutcomes { second: 5, versions }));
}
