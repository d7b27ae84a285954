//! Tests of versions of the classes and plans: requests keep the version under which they arrived, and no
//! customer gains units by a change.

mod common;

use common::*;
use sedgestack::*;

#[test]
fn unchanged_entries_keep_their_indices() {
    let settings = settings();
    let mut limiter = Limiter::new(settings.clone(), 1).expect("valid settings");
    let first = limiter.adopt_version(&settings.classes, &settings.plans).expect("the same version again");
    // The two classes with idempotency keys differ only in their scope, and each gets its own index.
    assert_eq!((&first.classes[..], &first.plans[..]), (&[0, 1, 2, 3][..], &[0, 1, 2, 3][..]));
    let (mut classes, mut plans) = (settings.classes.clone(), settings.plans.clone());
    plans[1].rate = 12.0;
    classes[0].latency_objective *= 2;
    let second = limiter.adopt_version(&classes, &plans).expect("a new rate and latency objective");
    assert_eq!((&second.classes[..], &second.plans[..]), (&[4, 1, 2, 3][..], &[0, 4, 2, 3][..]));
    assert_eq!(limiter.adopt_version(&settings.classes, &settings.plans), Ok(first));
}

#[test]
fn invalid_version_changes_nothing() {
    let settings = settings();
    let mut limiter = Limiter::new(settings.clone(), 1).expect("valid settings");
    let mut plans = settings.plans.clone();
    (plans[0].rate, plans[1].name) = (3.0, "gold".into());
    let error = limiter.adopt_version(&settings.classes, &plans).expect_err("the plan is unknown");
    assert_eq!(error.to_string(), "a version cannot add plan gold or change its priority weight");
    let mut changed_classes = settings.classes.clone();
    changed_classes[0].priority_weight += 1.0;
    assert!(matches!(
        limiter.adopt_version(&changed_classes, &settings.plans),
        Err(SettingsError::Incompatible(_))
    ));
    plans[1] = Plan { rate: f64::NAN, ..settings.plans[1].clone() };
    assert!(limiter.adopt_version(&settings.classes, &plans).is_err());
    let indices = limiter.adopt_version(&settings.classes, &settings.plans).expect("the same version again");
    assert_eq!(indices.plans, [0, 1, 2, 3]);
}

/// Returns how many of `count` requests of customer 7 on a plan are sent at once.
fn sent(limiter: &mut Limiter, at: Micros, first: RequestId, count: u64, plan: usize) -> usize {
    let events: Vec<Event> = (first..first + count).map(|id| request_event(id, 0, plan)).collect();
    let actions = limiter.handle(at, &events);
    actions.iter().filter(|a| matches!(a, Action::StartAttempt { .. })).count()
}

#[test]
fn quota_change_grants_no_units() {
    let settings = Settings { counter_timeout: None, ..settings() };
    let mut limiter = Limiter::new(settings.clone(), 1).expect("valid settings");
    let backends = (0..20).map(|n| endpoint(&format!("b{n}"), BackendState::InService)).collect();
    limiter.handle(START, &[endpoint_list(1, true, backends)]);
    // Half of the burst of 20 belongs to this limiter.
    assert_eq!(sent(&mut limiter, START, 1, 15, 1), 10);
    let mut plans = settings.plans.clone();
    (plans[1].rate, plans[1].burst) = (40.0, 80.0);
    let indices = limiter.adopt_version(&settings.classes, &plans).expect("a larger quota");
    assert_ne!(indices.plans[1], 1);
    assert_eq!(sent(&mut limiter, START, 100, 5, indices.plans[1]), 0, "the change grants no burst");
    // The bucket now refills at the new rate: 20 units per second here, so 5 in a quarter of a second.
    assert_eq!(sent(&mut limiter, START + 250 * MS, 200, 15, indices.plans[1]), 5);
    // A smaller quota applies at once, and units above its capacity are lost.
    (plans[1].rate, plans[1].burst) = (2.0, 4.0);
    let indices = limiter.adopt_version(&settings.classes, &plans).expect("a smaller quota");
    assert_eq!(sent(&mut limiter, START + 5_000 * MS, 300, 15, indices.plans[1]), 2);
}

/// A request that waits for a retry gets it even if its plan has changed in the meantime.
#[test]
fn retry_belongs_to_version_of_first_attempt() {
    let settings = Settings { counter_timeout: None, ..settings() };
    let mut limiter = Limiter::new(settings.clone(), 1).expect("valid settings");
    let backends = (0..4).map(|n| endpoint(&format!("b{n}"), BackendState::InService)).collect();
    limiter.handle(START, &[endpoint_list(1, true, backends), request_event(1, 0, 1)]);
    let mut plans = settings.plans.clone();
    (plans[1].rate, plans[1].burst) = (0.001, 4.0);
    let indices = limiter.adopt_version(&settings.classes, &plans).expect("a smaller quota");
    // The first requests under the new version use up the capacity: two units here.
    assert_eq!(sent(&mut limiter, START, 10, 5, indices.plans[1]), 2);
    let end = Event::AttemptEnded(attempt_result(1, 0, Outcome::Rejected, false));
    let actions = limiter.handle(START + 40 * MS, &[end]);
    assert!(actions.iter().any(|a| matches!(a, Action::StartAttempt { request: 1, .. })), "{actions:?}");
}

/// Adopts fifty versions, each with another rate and latency objective. Their entries are freed once nothing
/// refers to them, and a request in flight keeps its own.
#[test]
fn old_versions_are_freed_after_their_last_request() {
    let settings = Settings { counter_timeout: None, ..settings() };
    let mut limiter = Limiter::new(settings.clone(), 1).expect("valid settings");
    let backends = (0..4).map(|n| endpoint(&format!("b{n}"), BackendState::InService)).collect();
    limiter.handle(START, &[endpoint_list(1, true, backends)]);
    let (mut classes, mut plans) = (settings.classes.clone(), settings.plans.clone());
    (classes[0].latency_objective, plans[1].rate) = (classes[0].latency_objective + 1, 30.0);
    let first = limiter.adopt_version(&classes, &plans).expect("a version");
    limiter.handle(START, &[request_event(1, first.classes[0], first.plans[1])]);
    let (mut held, mut most) = (first.clone(), 0);
    for n in 0..50 {
        (classes[0].latency_objective, plans[1].rate) =
            (classes[0].latency_objective + 1, 31.0 + f64::from(n));
        let next = limiter.adopt_version(&classes, &plans).expect("a version");
        assert!(!held.classes[..1].contains(&next.classes[0]), "held entries keep their indices");
        assert!(next.classes[0] != first.classes[0] && next.plans[1] != first.plans[1]);
        limiter.retire_versions(&[&next]);
        most = most.max(limiter.class_and_plan_counts().0);
        held = next;
    }
    let configured = (settings.classes.len(), settings.plans.len());
    assert!(most <= configured.0 + 3, "{most}");
    // The request of the first version ends and its customer changes plans: only the active version is left.
    limiter.handle(START + 10 * MS, &[Event::AttemptEnded(attempt_result(1, 0, Outcome::Ok, true))]);
    limiter.handle(START + 20 * MS, &[request_event(2, held.classes[0], held.plans[1])]);
    limiter.handle(START + 30 * MS, &[Event::AttemptEnded(attempt_result(2, 0, Outcome::Ok, true))]);
    assert!(limiter.retire_versions(&[&held]));
    let back = limiter.adopt_version(&settings.classes, &settings.plans).expect("the initial settings");
    limiter.handle(START + 40 * MS, &[request_event(3, back.classes[0], back.plans[1])]);
    limiter.handle(START + 50 * MS, &[Event::AttemptEnded(attempt_result(3, 0, Outcome::Ok, true))]);
    assert!(limiter.retire_versions(&[&back]));
    assert_eq!(limiter.class_and_plan_counts(), configured);
}
