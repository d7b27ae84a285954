//! Tests of a single limiter: final answers, retries, drains, slow start, and ceilings.

mod common;
use common::*;
use sedgestack::*;

#[test]
fn queued_request_is_answered_once_in_time() {
    // Without a backend the request is queued, then rejected before the client's timeout.
    let mut limiter = new_limiter(settings(), 0);
    assert!(started_attempts(&limiter.handle(START, &[request_event(1, 0, 0)])).is_empty());
    let mut answers = 0;
    for step in 1..=800 {
        let actions = limiter.handle(START + step * MS, &[Event::Timer]);
        answers += usize::from(is_rejected(&actions, 1)) + usize::from(is_failed(&actions, 1));
    }
    assert_eq!(answers, 1);
}

#[test]
fn request_with_short_timeout_is_rejected_at_once() {
    let mut limiter = new_limiter(settings(), 0);
    let r = new_request(1, 0, 0);
    let actions = limiter.handle(START, &[Event::Request(Request { timeout: 3 * MS, ..r })]);
    assert!(is_rejected(&actions, 1), "no time is left: {actions:?}");
}

#[test]
fn request_in_flight_is_answered_once_at_deadline() {
    for (class, rejectable) in [(0, true), (1, true), (2, false), (3, false)] {
        let mut limiter = new_limiter(settings(), 1);
        assert_eq!(started_attempts(&limiter.handle(START, &[request_event(1, class, 0)])).len(), 1);
        let actions = limiter.handle(START + 797 * MS, &[Event::Timer]);
        assert_eq!(is_rejected(&actions, 1), rejectable, "class {class}");
        assert_eq!(is_failed(&actions, 1), !rejectable, "class {class}");
        let after = limiter.handle(START + 799 * MS, &[attempt_ended(1, 0, Outcome::TimedOut, true)]);
        assert!(started_attempts(&after).is_empty() && !is_rejected(&after, 1) && !is_failed(&after, 1));
    }
}

#[test]
fn non_idempotent_request_is_not_retried_after_possible_run() {
    let mut limiter = new_limiter(settings(), 3);
    limiter.handle(START, &[request_event(1, 2, 0)]);
    let actions = limiter.handle(START + 40 * MS, &[attempt_ended(1, 0, Outcome::Reset, false)]);
    assert!(started_attempts(&actions).is_empty());
    assert!(is_failed(&actions, 1) && !is_rejected(&actions, 1));
}

#[test]
fn non_idempotent_request_is_retried_if_it_did_not_run() {
    let mut limiter = new_limiter(settings(), 3);
    let first = started_attempts(&limiter.handle(START, &[request_event(1, 2, 0)]));
    let second =
        started_attempts(&limiter.handle(START + 40 * MS, &[attempt_ended(1, 0, Outcome::Rejected, false)]));
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].1, second[0].1);
}

#[test]
fn keyed_retry_stays_in_its_cell() {
    let mut limiter = Limiter::new(settings(), 1).unwrap();
    let other_cell = Endpoint { cell: 1, ..endpoint("b1", BackendState::InService) };
    let first = limiter.handle(
        START,
        &[endpoint_list(1, true, vec![endpoint("b0", BackendState::InService)]), request_event(1, 3, 0)],
    );
    assert_eq!(started_attempts(&first)[0].1.as_ref(), "b0");
    limiter.handle(START + MS, &[endpoint_list(2, false, vec![other_cell])]);
    let actions = limiter.handle(START + 40 * MS, &[attempt_ended(1, 0, Outcome::Error, false)]);
    assert!(started_attempts(&actions).is_empty(), "b1 would run the request again");
    let last = limiter.handle(START + 797 * MS, &[Event::Timer]);
    assert!(!is_rejected(&last, 1), "a rejection would let the client repeat the request");
}

#[test]
fn keyed_retry_ends_with_idempotency_window() {
    let mut s = settings();
    s.classes[1].idempotency = Idempotency::IdempotencyKey { scope: KeyScope::All, window: 30 * MS };
    let mut limiter = new_limiter(s, 3);
    limiter.handle(START, &[request_event(1, 1, 0)]);
    let actions = limiter.handle(START + 40 * MS, &[attempt_ended(1, 0, Outcome::Error, false)]);
    assert!(started_attempts(&actions).is_empty());
}

/// An attempt may wait for its connection, so it carries the time until which a repeat is dropped.
#[test]
fn keyed_retry_carries_remaining_window() {
    let mut limiter = new_limiter(settings(), 2);
    let within = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::StartAttempt { write_within: within, .. } => Some(*within),
            _ => None,
        })
    };
    assert_eq!(within(&limiter.handle(START, &[request_event(1, 1, 0)])), Some(None), "nothing has run");
    let broke = limiter.handle(START + 100 * MS, &[attempt_ended(1, 0, Outcome::Reset, false)]);
    let left = within(&broke).expect("the request is retried").expect("the window has an end");
    assert!(left <= 900 * MS && left > 890 * MS, "{left}");
    assert_eq!(
        within(&limiter.handle(START, &[request_event(2, 0, 0)])),
        Some(None),
        "an idempotent request has no window"
    );
}

#[test]
fn draining_backend_gets_no_new_or_queued_requests() {
    for state in [BackendState::Draining, BackendState::Gone] {
        let mut limiter = new_limiter(settings(), 1);
        let actions = limiter.handle(
            START + MS,
            &[endpoint_list(2, false, vec![endpoint("b0", state)]), request_event(1, 0, 0)],
        );
        assert!(started_attempts(&actions).is_empty());
        let later = limiter.handle(START + 100 * MS, &[Event::Timer]);
        assert!(started_attempts(&later).is_empty());
    }
}

#[test]
fn backend_missing_from_complete_list_is_gone() {
    let mut limiter = new_limiter(settings(), 2);
    limiter.handle(START + MS, &[endpoint_list(2, true, vec![endpoint("b1", BackendState::InService)])]);
    for id in 0..20 {
        let sent = started_attempts(&limiter.handle(START + (2 + id) * MS, &[request_event(id, 0, 0)]));
        assert!(sent.iter().all(|(_, b)| b.as_ref() == "b1"));
    }
}

#[test]
fn older_endpoint_list_is_ignored() {
    let mut limiter = new_limiter(settings(), 1);
    limiter.handle(START + MS, &[endpoint_list(5, false, vec![endpoint("b0", BackendState::Draining)])]);
    limiter.handle(START + 2 * MS, &[endpoint_list(4, false, vec![endpoint("b0", BackendState::InService)])]);
    assert!(started_attempts(&limiter.handle(START + 3 * MS, &[request_event(1, 0, 0)])).is_empty());
}

#[test]
fn cold_backend_gets_at_most_its_slow_start_budget() {
    // A new backend beside nine warm ones, under a burst of requests that are answered at once.
    let mut limiter = new_limiter(settings(), 9);
    let mut cold = 0;
    let mut id = 0;
    let started = START + 20_000 * MS;
    for step in 0..21_000u64 {
        let now = START + step * MS;
        let mut events = Vec::new();
        if now == started {
            let fresh = Endpoint { started_at: started, ..endpoint("cold", BackendState::InService) };
            events.push(endpoint_list(2, false, vec![fresh]));
        }
        // One request every 10 ms at first (100 per second over nine backends), then two per millisecond.
        let count = if now >= started { 2 } else { u64::from(step % 10 == 0) };
        for _ in 0..count {
            id += 1;
            events.push(request_event(id, 0, 0));
        }
        let sent = started_attempts(&limiter.handle(now, &events));
        cold += sent.iter().filter(|(_, b)| b.as_ref() == "cold").count();
        let outcome = if now >= started { Outcome::Rejected } else { Outcome::Ok };
        let ends: Vec<Event> = sent.iter().map(|(r, _)| attempt_ended(*r, 0, outcome, true)).collect();
        limiter.handle(now, &ends);
    }
    // A warm backend got about 11 per second. A fifth of that, times the overload multiple, is below 5 per
    // second.
    assert!((1..=5).contains(&cold), "{cold} sent to a cold backend in its first second");
}

#[test]
fn ceiling_is_an_even_share_regardless_of_counter() {
    let mut limiter = new_limiter(settings(), 4);
    let mut sent = 0;
    for id in 0..100 {
        let now = START + 30_000 * MS + id;
        let actions = limiter.handle(now, &[request_event(id, 0, 3)]);
        sent += started_attempts(&actions).len();
        // The counter claims that no usage was reported.
        let answers: Vec<Event> =
            counter_calls(&actions).into_iter().map(|(name, _)| counter_reply(name, 0.0)).collect();
        limiter.handle(now, &answers);
        limiter.handle(now, &attempts_ended(&actions, Outcome::Ok));
    }
    assert_eq!(sent, 10, "half of the bucket of 20, as two limiters share the customer");
}

#[test]
fn restarted_limiter_starts_with_empty_ceiling() {
    let mut limiter = new_limiter(settings(), 4);
    let actions = limiter.handle(START + MS, &[request_event(1, 0, 3)]);
    assert!(started_attempts(&actions).is_empty(), "a restart must not refill the bucket");
    let later = limiter.handle(START + 200 * MS, &[request_event(2, 0, 3)]);
    assert_eq!(started_attempts(&later).len(), 1, "two units have been refilled since");
}

#[test]
fn started_stream_has_no_deadline() {
    let mut limiter = new_limiter(settings(), 1);
    limiter.handle(START, &[request_event(1, 0, 0)]);
    limiter.handle(START + 30 * MS, &[Event::StreamStarted { request: 1, attempt: 0, latency: 30 * MS }]);
    let late = limiter.handle(START + 5_000 * MS, &[Event::Timer]);
    assert!(!is_rejected(&late, 1) && !is_failed(&late, 1));
    let after = limiter.handle(START + 6_000 * MS, &[attempt_ended(1, 0, Outcome::Ok, true)]);
    assert!(started_attempts(&after).is_empty() && !is_rejected(&after, 1) && !is_failed(&after, 1));
}

#[test]
fn keyed_retry_stays_in_its_zone() {
    let mut s = settings();
    s.classes[1].idempotency = Idempotency::IdempotencyKey { scope: KeyScope::Zone, window: 1_000 * MS };
    let mut limiter = new_limiter(s, 1);
    limiter.handle(START, &[request_event(1, 1, 0)]);
    let far = Endpoint { zone: "b".into(), ..endpoint("far", BackendState::InService) };
    limiter.handle(START + MS, &[endpoint_list(2, false, vec![far])]);
    assert!(started_attempts(
        &limiter.handle(START + 40 * MS, &[attempt_ended(1, 0, Outcome::Error, false)])
    )
    .is_empty());
    let near = endpoint("near", BackendState::InService);
    let actions = limiter.handle(START + 60 * MS, &[endpoint_list(3, false, vec![near])]);
    assert_eq!(started_attempts(&actions), vec![(1, "near".into())]);
}

#[test]
fn many_limiters_together_keep_slow_start_budget() {
    // 200 limiters get one request per second each for ten warm backends: 20 per second and backend. Then the
    // warm backends drain, each limiter gets 24 requests within a second, and a new backend can take twice a
    // fifth of 20.
    let mut limiters: Vec<Limiter> = (0..200)
        .map(|i| {
            let s = Settings { limiter: i, limiters: 200, ..settings() };
            let mut limiter = Limiter::new(s, i.into()).unwrap();
            let names = (0..10).map(|i| endpoint(&format!("b{i}"), BackendState::InService)).collect();
            limiter.handle(START, &[endpoint_list(1, true, names)]);
            limiter
        })
        .collect();
    let mut id = 0;
    let mut second = |limiter: &mut Limiter, now: Micros, count: u64| {
        id += count;
        let events: Vec<Event> = (id - count..id).map(|id| request_event(id, 0, 0)).collect();
        let actions = limiter.handle(now, &events);
        limiter.handle(now + 40 * MS, &attempts_ended(&actions, Outcome::Ok));
        started_attempts(&actions).iter().filter(|(_, b)| b.as_ref() == "fresh").count()
    };
    let mut cold = 0;
    for limiter in &mut limiters {
        for s in 0..40 {
            second(limiter, START + s * 1_000 * MS, 1);
        }
        let started = START + 40_000 * MS;
        let fresh = Endpoint { started_at: started, ..endpoint("fresh", BackendState::InService) };
        let drained = (0..10).map(|i| endpoint(&format!("b{i}"), BackendState::Draining));
        limiter.handle(started, &[endpoint_list(2, false, drained.chain([fresh]).collect())]);
        cold += (0..24).map(|step| second(limiter, started + MS + step * 41 * MS, 1)).sum::<usize>();
    }
    assert!((1..=8).contains(&cold), "{cold} sent in a second, 8 overload the backend");
}

/// Six of ten backends are cold beside four warm ones that look idle to any single limiter. The cold ones
/// must get what they can surely serve, otherwise they never warm up by work and the warm ones carry all
/// load.
#[test]
fn many_limiters_send_to_cold_backends() {
    let (mut id, mut cold, mut warm) = (0, 0, 0);
    for i in 0..100 {
        let s = Settings { limiter: i, limiters: 100, ..settings() };
        let mut limiter = Limiter::new(s, i.into()).unwrap();
        let listed = |b: u64, started| Endpoint {
            started_at: started,
            ..endpoint(&format!("b{b}"), BackendState::InService)
        };
        limiter.handle(START, &[endpoint_list(1, true, (0..10).map(|b| listed(b, 0)).collect())]);
        for step in 0..45 {
            let now = START + step * 1_000 * MS;
            if step == 40 {
                limiter.handle(now, &[endpoint_list(2, false, (4..10).map(|b| listed(b, now)).collect())]);
            }
            id += 1;
            let actions = limiter.handle(now, &[request_event(id, 0, 0)]);
            for (_, b) in started_attempts(&actions).iter().filter(|_| step >= 40) {
                let fresh = b.strip_prefix('b').and_then(|b| b.parse().ok()).is_some_and(|b: u64| b >= 4);
                *(if fresh { &mut cold } else { &mut warm }) += 1;
            }
            limiter.handle(now + 40 * MS, &attempts_ended(&actions, Outcome::Ok));
        }
    }
    // The cold backends have a fifth to three fifths of their capacity in these seconds, so they get between
    // a fifth and half of all attempts.
    let share = f64::from(cold) / f64::from(cold + warm);
    assert!((0.15..=0.5).contains(&share), "{cold} of {} sends went to cold backends", cold + warm);
}
