//! The backend by itself, stepped in virtual time.

use super::*;

fn kind() -> BackendKind {
    let fleet = crate::tests_support::sample();
    BackendKind { slots: 3, queue_capacity: 1, thrash: 0.0, speed_cv: 0.0, ..fleet.backend_kinds[0].clone() }
}

fn rules() -> PlatformRules {
    crate::tests_support::sample().rules
}

fn job(id: u64, work: f64) -> Job {
    Job { id, work, expires: Micros::MAX }
}

#[test]
fn requests_share_the_cores_and_none_takes_more_than_one() {
    let mut backend = SimulatedBackend::new(&kind(), &rules(), 1.0, None, 0);
    let mut left = Vec::new();
    assert_eq!(backend.offer(job(1, 100_000.0)), Admission::Started);
    backend.advance(50_000, &mut left);
    for id in 2..=3 {
        assert_eq!(backend.offer(job(id, 100_000.0)), Admission::Started);
    }
    backend.advance(1_000_000, &mut left);
    let at: Vec<Micros> = left.iter().map(|l| l.at).collect();
    // 50 ms alone, then two thirds of a core each: 75 ms for the rest; then a core each for two thirds.
    assert_eq!(at, [125_000, 175_000, 175_000]);
    assert_eq!(backend.busy(), 50_000.0 + 2.0 * 125_000.0);
}

#[test]
fn requests_beyond_the_slots_are_queued_and_beyond_the_queue_rejected() {
    let mut backend = SimulatedBackend::new(&kind(), &rules(), 1.0, None, 0);
    let offers: Vec<Admission> = (1..=5).map(|id| backend.offer(job(id, 1_000.0))).collect();
    assert_eq!(
        offers,
        [Admission::Started, Admission::Started, Admission::Started, Admission::Queued, Admission::QueueFull]
    );
    assert!(backend.cancel(4));
    assert!(!backend.cancel(1), "begun work goes on");
}

#[test]
fn queued_work_past_its_deadline_is_not_begun() {
    let mut backend = SimulatedBackend::new(&kind(), &rules(), 1.0, None, 0);
    for id in 1..=3 {
        backend.offer(job(id, 100_000.0));
    }
    backend.offer(Job { id: 4, work: 1_000.0, expires: 10 });
    let mut left = Vec::new();
    backend.advance(1_000_000, &mut left);
    assert!(left.contains(&FinishedJob { id: 4, at: 150_000, is_completed: false }), "{left:?}");
}

#[test]
fn a_backend_that_warms_up_is_slow_and_fails_when_overloaded() {
    let kind = kind();
    let mut backend = SimulatedBackend::new(&kind, &rules(), 1.0, Some(0), 0);
    assert!((backend.capacity_share(0) - 0.3).abs() < 1e-9);
    assert!((backend.capacity_share(kind.slow_start) - 1.0).abs() < 1e-9);
    let mut left = Vec::new();
    backend.offer(job(1, 100_000.0));
    backend.advance(1_000_000, &mut left);
    assert!((left[0].at as f64 - 330_000.0).abs() < 10_000.0, "{left:?}");
    // Its present capacity is about 2 x 0.37 cores; four times that over 2 s is about 5.9 s of work.
    let offers: Vec<Admission> = (2..9).map(|id| backend.offer(job(id, 1_000_000.0))).collect();
    assert_eq!(offers.iter().position(|o| *o == Admission::Crashed), Some(5), "{offers:?}");
}

#[test]
fn a_load_report_covers_the_time_since_the_one_before() {
    let mut backend = SimulatedBackend::new(&kind(), &rules(), 1.0, None, 0);
    let mut left = Vec::new();
    backend.offer(job(1, 100_000.0));
    backend.advance(200_000, &mut left);
    let report = backend.report();
    assert_eq!((report.utilization, report.latency), (0.25, 100_000.0));
    backend.advance(300_000, &mut left);
    assert_eq!(backend.report().utilization, 0.0);
}
