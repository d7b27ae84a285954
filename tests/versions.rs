//! Versions of the rules in service: requests keep the one they were taken with, and nobody gains by a change.

mod common;

use common::*;
use sedgestack::*;

#[test]
fn what_does_not_change_keeps_its_place_and_an_undo_finds_the_old_one() {
    let settings = settings();
    let mut limiter = Limiter::new(settings.clone(), 1).expect("usable settings");
    let first = limiter.adopt_version(&settings.classes, &settings.plans).expect("the same again");
    // The two keyed classes differ in their group alone, and each finds its own place.
    assert_eq!((&first.classes[..], &first.plans[..]), (&[0, 1, 2, 3][..], &[0, 1, 2, 3][..]));
    let (mut classes, mut plans) = (settings.classes.clone(), settings.plans.clone());
    plans[1].rate = 12.0;
    classes[0].latency_objective *= 2;
    let second = limiter.adopt_version(&classes, &plans).expect("a new rate and a new aim");
    assert_eq!((&second.classes[..], &second.plans[..]), (&[4, 1, 2, 3][..], &[0, 4, 2, 3][..]));
    assert_eq!(limiter.adopt_version(&settings.classes, &settings.plans), Ok(first));
}

#[test]
fn a_version_that_cannot_be_meant_changes_nothing() {
    let settings = settings();
    let mut limiter = Limiter::new(settings.clone(), 1).expect("usable settings");
    let mut plans = settings.plans.clone();
    (plans[0].rate, plans[1].name) = (3.0, "gold".into());
    let told = limiter.adopt_version(&settings.classes, &plans).expect_err("no such plan");
    assert_eq!(told.to_string(), "a version cannot add plan gold or change its priority weight");
    let mut dearer = settings.classes.clone();
    dearer[0].priority_weight += 1.0;
    assert!(matches!(limiter.adopt_version(&dearer, &settings.plans), Err(SettingsError::Incompatible(_))));
    plans[1] = Plan { rate: f64::NAN, ..settings.plans[1].clone() };
    assert!(limiter.adopt_version(&settings.classes, &plans).is_err());
    let places = limiter.adopt_version(&settings.classes, &settings.plans).expect("the same again");
    assert_eq!(places.plans, [0, 1, 2, 3]);
}

/// How many of `count` requests of customer 7 on a plan are sent at once.
fn sent(limiter: &mut Limiter, at: Micros, first: RequestId, count: u64, plan: usize) -> usize {
    let events: Vec<Event> = (first..first + count).map(|id| request(id, 0, plan)).collect();
    let actions = limiter.handle(at, &events);
    actions.iter().filter(|a| matches!(a, Action::StartAttempt { .. })).count()
}

#[test]
fn a_larger_quota_gives_no_units_that_were_not_there() {
    let settings = Settings { counter_timeout: None, ..settings() };
    let mut limiter = Limiter::new(settings.clone(), 1).expect("usable settings");
    let backends = (0..20).map(|n| entry(&format!("b{n}"), BackendState::InService)).collect();
    limiter.handle(START, &[list(1, true, backends)]);
    // Half of the burst of 20 is this limiter's.
    assert_eq!(sent(&mut limiter, START, 1, 15, 1), 10);
    let mut plans = settings.plans.clone();
    (plans[1].rate, plans[1].burst) = (40.0, 80.0);
    let places = limiter.adopt_version(&settings.classes, &plans).expect("a larger quota");
    assert_ne!(places.plans[1], 1);
    assert_eq!(sent(&mut limiter, START, 100, 5, places.plans[1]), 0, "no gift of burst");
    // From now on it fills at the new rate: 20 units a second here, of which a quarter of a second gives 5.
    assert_eq!(sent(&mut limiter, START + 250 * MS, 200, 15, places.plans[1]), 5);
    // A smaller one takes effect at once, and what is held above its room is gone.
    (plans[1].rate, plans[1].burst) = (2.0, 4.0);
    let places = limiter.adopt_version(&settings.classes, &plans).expect("a smaller quota");
    assert_eq!(sent(&mut limiter, START + 5_000 * MS, 300, 15, places.plans[1]), 2);
}

/// A request that waits for a second attempt is given it, whatever its plan has become meanwhile.
#[test]
fn a_retry_belongs_to_the_version_of_its_first_try() {
    let settings = Settings { counter_timeout: None, ..settings() };
    let mut limiter = Limiter::new(settings.clone(), 1).expect("usable settings");
    let backends = (0..4).map(|n| entry(&format!("b{n}"), BackendState::InService)).collect();
    limiter.handle(START, &[list(1, true, backends), request(1, 0, 1)]);
    let mut plans = settings.plans.clone();
    (plans[1].rate, plans[1].burst) = (0.001, 4.0);
    let places = limiter.adopt_version(&settings.classes, &plans).expect("a smaller quota");
    // The new version's first requests take what its room holds: two units here.
    assert_eq!(sent(&mut limiter, START, 10, 5, places.plans[1]), 2);
    let end = Event::AttemptEnded(over(1, 0, Outcome::Rejected, false));
    let actions = limiter.handle(START + 40 * MS, &[end]);
    assert!(actions.iter().any(|a| matches!(a, Action::StartAttempt { request: 1, .. })), "{actions:?}");
}

/// Fifty versions, each with another rate and another aim: what they brought goes once nothing goes by it, and a
/// request that is out keeps its own.
#[test]
fn old_versions_are_forgotten_once_their_last_request_has_ended() {
    let settings = Settings { counter_timeout: None, ..settings() };
    let mut limiter = Limiter::new(settings.clone(), 1).expect("usable settings");
    let backends = (0..4).map(|n| entry(&format!("b{n}"), BackendState::InService)).collect();
    limiter.handle(START, &[list(1, true, backends)]);
    let (mut classes, mut plans) = (settings.classes.clone(), settings.plans.clone());
    (classes[0].latency_objective, plans[1].rate) = (classes[0].latency_objective + 1, 30.0);
    let first = limiter.adopt_version(&classes, &plans).expect("a version");
    limiter.handle(START, &[request(1, first.classes[0], first.plans[1])]);
    let (mut held, mut most) = (first.clone(), 0);
    for n in 0..50 {
        (classes[0].latency_objective, plans[1].rate) =
            (classes[0].latency_objective + 1, 31.0 + f64::from(n));
        let next = limiter.adopt_version(&classes, &plans).expect("a version");
        assert!(!held.classes[..1].contains(&next.classes[0]), "what is held keeps its place");
        assert!(next.classes[0] != first.classes[0] && next.plans[1] != first.plans[1]);
        limiter.retire_versions(&[&next]);
        most = most.max(limiter.class_and_plan_counts().0);
        held = next;
    }
    let configured = (settings.classes.len(), settings.plans.len());
    assert!(most <= configured.0 + 3, "{most}");
    // The first version's request ends and its customer moves on: all that is left is the version in force.
    limiter.handle(START + 10 * MS, &[Event::AttemptEnded(over(1, 0, Outcome::Ok, true))]);
    limiter.handle(START + 20 * MS, &[request(2, held.classes[0], held.plans[1])]);
    limiter.handle(START + 30 * MS, &[Event::AttemptEnded(over(2, 0, Outcome::Ok, true))]);
    assert!(limiter.retire_versions(&[&held]));
    let back = limiter.adopt_version(&settings.classes, &settings.plans).expect("the configuration");
    limiter.handle(START + 40 * MS, &[request(3, back.classes[0], back.plans[1])]);
    limiter.handle(START + 50 * MS, &[Event::AttemptEnded(over(3, 0, Outcome::Ok, true))]);
    assert!(limiter.retire_versions(&[&back]));
    assert_eq!(limiter.class_and_plan_counts(), configured);
}
