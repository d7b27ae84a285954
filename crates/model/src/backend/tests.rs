//! Tests of the backend alone, advanced in virtual time.

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
fn running_requests_share_cores_with_at_most_one_each() {
    let mut backend = SimulatedBackend::new(&kind(), &rules(), 1.0, None, 0);
    let mut finished = Vec::new();
    assert_eq!(backend.offer(job(1, 100_000.0)), Admission::Started);
    backend.advance(50_000, &mut finished);
    for id in 2..=3 {
        assert_eq!(backend.offer(job(id, 100_000.0)), Admission::Started);
    }
    backend.advance(1_000_000, &mut finished);
    let at: Vec<Micros> = finished.iter().map(|job| job.at).collect();
    // The first request runs alone for 50 ms, then three share two cores: it needs 75 ms for its second half. The two
    // others have then had 50 ms of service and a core each for the rest.
    assert_eq!(at, [125_000, 175_000, 175_000]);
    assert_eq!(backend.busy(), 50_000.0 + 2.0 * 125_000.0);
}

#[test]
fn requests_are_queued_when_slots_are_full_and_rejected_when_queue_is_full() {
    let mut backend = SimulatedBackend::new(&kind(), &rules(), 1.0, None, 0);
    let admissions: Vec<Admission> = (1..=5).map(|id| backend.offer(job(id, 1_000.0))).collect();
    assert_eq!(
        admissions,
        [Admission::Started, Admission::Started, Admission::Started, Admission::Queued, Admission::QueueFull]
    );
    assert!(backend.cancel(4));
    assert!(!backend.cancel(1), "a running request is not cancelled");
}

#[test]
fn queued_request_past_its_deadline_is_dropped() {
    let mut backend = SimulatedBackend::new(&kind(), &rules(), 1.0, None, 0);
    for id in 1..=3 {
        backend.offer(job(id, 100_000.0));
    }
    backend.offer(Job { id: 4, work: 1_000.0, expires: 10 });
    let mut finished = Vec::new();
    backend.advance(1_000_000, &mut finished);
    assert!(finished.contains(&FinishedJob { id: 4, at: 150_000, is_completed: false }), "{finished:?}");
}

#[test]
fn warming_up_backend_is_slow_and_crashes_under_overload() {
    let kind = kind();
    let mut backend = SimulatedBackend::new(&kind, &rules(), 1.0, Some(0), 0);
    assert!((backend.capacity_share(0) - 0.3).abs() < 1e-9);
    assert!((backend.capacity_share(kind.slow_start) - 1.0).abs() < 1e-9);
    let mut finished = Vec::new();
    backend.offer(job(1, 100_000.0));
    backend.advance(1_000_000, &mut finished);
    assert!((finished[0].at as f64 - 330_000.0).abs() < 10_000.0, "{finished:?}");
    // The capacity is now about 2 x 0.37 cores. Four times that over 2 s is about 5.9 s of work.
    let admissions: Vec<Admission> = (2..9).map(|id| backend.offer(job(id, 1_000_000.0))).collect();
    assert_eq!(
        admissions.iter().position(|admission| *admission == Admission::Crashed),
        Some(5),
        "{admissions:?}"
    );
}

#[test]
fn load_report_covers_time_since_previous_report() {
    let mut backend = SimulatedBackend::new(&kind(), &rules(), 1.0, None, 0);
    let mut finished = Vec::new();
    backend.offer(job(1, 100_000.0));
    backend.advance(200_000, &mut finished);
    let report = backend.report();
    assert_eq!((report.utilization, report.latency), (0.25, 100_000.0));
    backend.advance(300_000, &mut finished);
    assert_eq!(backend.report().utilization, 0.0);
}
