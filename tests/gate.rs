//! Tests of queues, the release gate, and what backend selection learns from attempts.

mod common;
use common::*;
use sedgestack::*;

/// Sends `count` requests at `now`. Attempts started then, or when others end, have the outcome `end.0` after
/// `end.1`. Returns the number of attempts started at once.
fn send_round(
    limiter: &mut Limiter,
    now: Micros,
    first: RequestId,
    count: u64,
    end: (Outcome, Micros),
) -> usize {
    let events: Vec<Event> = (first..first + count).map(|id| request_event(id, 0, 0)).collect();
    let mut sent = started_attempts(&limiter.handle(now, &events));
    let (at_once, mut now) = (sent.len(), now);
    while !sent.is_empty() {
        now += end.1;
        let ended = |(r, _): &(RequestId, BackendId)| {
            let e = attempt_result(*r, 0, end.0, true);
            Event::AttemptEnded(AttemptResult { latency: end.1, ..e })
        };
        let ends: Vec<Event> = sent.iter().map(ended).collect();
        sent = started_attempts(&limiter.handle(now, &ends));
    }
    at_once
}

#[test]
fn higher_priority_weight_is_sent_first() {
    let mut limiter = new_limiter(settings(), 0);
    limiter.handle(START, &[request_event(1, 0, 0), request_event(2, 1, 0), request_event(3, 2, 0)]);
    let actions =
        limiter.handle(START + MS, &[endpoint_list(2, true, vec![endpoint("b0", BackendState::InService)])]);
    let order: Vec<RequestId> = started_attempts(&actions).into_iter().map(|(r, _)| r).collect();
    assert_eq!(order, vec![3, 2, 1]);
}

#[test]
fn customers_are_served_in_rotation() {
    let mut limiter = new_limiter(settings(), 0);
    let r = new_request(0, 0, 0);
    let mut events: Vec<Event> =
        (1..=3).map(|id| Event::Request(Request { id, customer: 1, ..r.clone() })).collect();
    events.push(Event::Request(Request { id: 4, customer: 2, ..r }));
    limiter.handle(START, &events);
    let actions =
        limiter.handle(START + MS, &[endpoint_list(2, true, vec![endpoint("b0", BackendState::InService)])]);
    let order: Vec<RequestId> = started_attempts(&actions).into_iter().map(|(r, _)| r).collect();
    assert_eq!(order[..2], [1, 4], "the second customer does not wait for all of the first's");
}

#[test]
fn gate_closes_on_high_latency_and_reopens() {
    let mut limiter = new_limiter(settings(), 1);
    let (mut id, mut now) = (0, START);
    let mut sent_at_latency = |limiter: &mut Limiter, latency: Micros| {
        let mut sent = 0;
        for _ in 0..60 {
            id += 4;
            now += 800 * MS;
            sent = send_round(limiter, now, id, 4, (Outcome::Ok, latency));
        }
        sent
    };
    assert_eq!(sent_at_latency(&mut limiter, 20 * MS), 4);
    assert!(sent_at_latency(&mut limiter, 200 * MS) <= 2, "full: latency near the objective");
    assert_eq!(sent_at_latency(&mut limiter, 20 * MS), 4);
}

#[test]
fn uniformly_slow_backends_still_get_requests() {
    // All backends are slow for a reason other than load: each of them must still get requests.
    let mut limiter = new_limiter(settings(), 3);
    let (mut sent, mut id) = (0, 0);
    for step in 0..200 {
        id += 6;
        let n = send_round(&mut limiter, START + step * 800 * MS, id, 6, (Outcome::Ok, 200 * MS));
        sent += if step >= 100 { n } else { 0 };
    }
    assert!(sent >= 250, "{sent} sent in 100 rounds to three backends");
}

#[test]
fn many_limiters_shed_load_when_all_backends_are_slow() {
    // Each limiter gets one answer every ten seconds from each backend, always late; it must send less
    // nevertheless.
    let mut limiter = new_limiter(Settings { limiters: 200, ..settings() }, 60);
    let mut per_second = [0; 40];
    for step in 0..40 * 6u64 {
        let now = START + step * 166 * MS;
        let actions = limiter.handle(now, &[request_event(step, 0, 0)]);
        per_second[(step / 6) as usize] += started_attempts(&actions).len();
        let late = |e: Event| match e {
            Event::AttemptEnded(e) => Event::AttemptEnded(AttemptResult { latency: 160 * MS, ..e }),
            other => other,
        };
        limiter.handle(
            now + 160 * MS,
            &attempts_ended(&actions, Outcome::Ok).into_iter().map(late).collect::<Vec<_>>(),
        );
    }
    let last: usize = per_second[30..].iter().sum();
    assert!((1..=40).contains(&last), "{last} of 60 sent in the last ten seconds");
}

/// Returns how many of six requests per second one of 200 limiters sends in the last of eight seconds.
/// Attempts are answered after 40 ms; those sent from the fourth second on end as `end` says, or never.
fn sent_in_last_second(end: Option<(Outcome, Micros)>) -> usize {
    let mut limiter = new_limiter(Settings { limiters: 200, ..settings() }, 60);
    let mut due: Vec<(Micros, AttemptResult)> = Vec::new();
    let mut last = 0;
    for step in 0..8 * 50u64 {
        let now = START + step * 20 * MS;
        let (ended, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= now);
        due = later;
        let mut events: Vec<Event> = ended.into_iter().map(|(_, e)| Event::AttemptEnded(e)).collect();
        if step % 8 == 0 {
            events.push(request_event(step, 2, 0));
        }
        let sent = started_attempts(&limiter.handle(now, &events));
        last += if step >= 7 * 50 { sent.len() } else { 0 };
        let (outcome, latency) = end.filter(|_| step >= 3 * 50).unwrap_or((Outcome::Ok, 40 * MS));
        for (r, _) in sent.iter().filter(|_| step < 3 * 50 || end.is_some()) {
            due.push((now + latency, AttemptResult { latency, ..attempt_result(*r, 0, outcome, true) }));
        }
    }
    last
}

#[test]
fn sends_fall_while_answers_are_missing() {
    // Report Lb8a23d: the fleet was congested before the first late answer showed it.
    assert!(
        sent_in_last_second(Some((Outcome::Ok, 40 * MS))) >= 5,
        "all are sent while attempts are answered"
    );
    assert!(sent_in_last_second(None) <= 2, "few are sent while nothing is answered");
}

#[test]
fn timed_out_attempts_count_as_in_flight() {
    // An attempt that times out after 160 ms counts as 320 ms: if pacing allows less than one attempt in
    // flight, fewer are sent.
    let timed_out = sent_in_last_second(Some((Outcome::TimedOut, 160 * MS)));
    let answered = sent_in_last_second(Some((Outcome::Ok, 160 * MS)));
    assert!(timed_out < answered, "{timed_out} sent after timeouts, {answered} after answers");
}

#[test]
fn one_unanswered_attempt_does_not_block_a_limiter() {
    // Incident i4fab22: each attempt that ran until its deadline cost a limiter many seconds of pacing.
    let mut limiter = new_limiter(Settings { limiters: 200, ..settings() }, 60);
    let request_with_long_timeout =
        |id| Event::Request(Request { timeout: 8_000 * MS, ..new_request(id, 2, 0) });
    assert_eq!(started_attempts(&limiter.handle(START + MS, &[request_with_long_timeout(0)])).len(), 1);
    let mut sent = 0;
    for id in 1..=24u64 {
        let now = START + id * 160 * MS;
        let actions = limiter.handle(now, &[request_with_long_timeout(id)]);
        sent += if id > 12 { started_attempts(&actions).len() } else { 0 };
        limiter.handle(now + 40 * MS, &attempts_ended(&actions, Outcome::Ok));
    }
    assert!(sent >= 10, "{sent} of 12 sent while one attempt stays in flight");
}

#[test]
fn fast_errors_do_not_attract_requests() {
    let mut limiter = new_limiter(settings(), 0);
    let endpoints = ["good", "bad"].map(|n| endpoint(n, BackendState::InService));
    limiter.handle(START, &[endpoint_list(2, true, endpoints.into())]);
    let (mut failing, mut all) = (0, 0);
    for id in 0..300u64 {
        let now = START + id * 20 * MS;
        for (r, b) in started_attempts(&limiter.handle(now, &[request_event(id, 2, 0)])) {
            all += 1;
            let broken = b.as_ref() == "bad";
            failing += usize::from(broken);
            let e = attempt_result(r, 0, if broken { Outcome::Error } else { Outcome::Ok }, true);
            let latency = if broken { MS } else { 15 * MS };
            limiter.handle(now + latency, &[Event::AttemptEnded(AttemptResult { latency, ..e })]);
        }
    }
    assert!(failing * 10 < all, "{failing} of {all} went to a backend that fails at once");
}

/// The load that other limiters cause is visible only in the reported utilization.
#[test]
fn backend_reporting_high_utilization_gets_less() {
    let mut limiter = new_limiter(settings(), 2);
    let mut idle = 0;
    for id in 0..60u64 {
        let now = START + id * 20 * MS;
        let sent = started_attempts(&limiter.handle(now, &[request_event(id, 0, 0)]));
        let busy = &*sent[0].1 == "b0";
        idle += u32::from(!busy);
        let report = LoadReport { utilization: Some(if busy { 0.9 } else { 0.2 }), ..LoadReport::default() };
        let e = AttemptResult { latency: 10 * MS, report, ..attempt_result(id, 0, Outcome::Ok, true) };
        limiter.handle(now + 10 * MS, &[Event::AttemptEnded(e)]);
    }
    // The busy backend gets some requests: its report becomes outdated, and an answer brings a new one.
    assert!((45..60).contains(&idle), "{idle} of 60 to the idle backend");
}

#[test]
fn silent_backend_is_not_preferred() {
    let mut limiter = new_limiter(settings(), 0);
    let endpoints = ["good", "mute"].map(|n| endpoint(n, BackendState::InService));
    limiter.handle(START, &[endpoint_list(2, true, endpoints.into())]);
    let mut silent = 0;
    for id in 0..300u64 {
        let now = START + id * 20 * MS;
        for (r, b) in started_attempts(&limiter.handle(now, &[request_event(id, 2, 0)])) {
            if b.as_ref() == "mute" {
                silent += 1;
            } else {
                let e = attempt_result(r, 0, Outcome::Ok, true);
                limiter
                    .handle(now + 15 * MS, &[Event::AttemptEnded(AttemptResult { latency: 15 * MS, ..e })]);
            }
        }
    }
    assert!(silent <= 12, "{silent} of 300 sent to the silent backend");
}

#[test]
fn polled_discovery_is_retried_after_failure() {
    let s = Settings { discovery: Discovery::Poll { interval: 10_000 * MS }, ..settings() };
    let mut limiter = Limiter::new(s, 1).unwrap();
    assert!(limiter.handle(START, &[]).contains(&Action::Subscribe));
    limiter.handle(START + MS, &[Event::DiscoveryFailed]);
    assert!(limiter.handle(START + 2_600 * MS, &[Event::Timer]).contains(&Action::Subscribe));
}

#[test]
fn unusual_events_and_invalid_requests_are_handled() {
    let mut limiter = new_limiter(settings(), 1);
    let r = new_request(1, 0, 0);
    for unusual in [
        Event::Abandoned { request: 9 },
        attempt_ended(9, 3, Outcome::Ok, true),
        Event::CounterReplied { name: 5, outcome: Outcome::Ok, total: Some(1.0) },
        Event::StreamStarted { request: 9, attempt: 0, latency: 0 },
        endpoint_list(9, true, vec![]),
        Event::PeerMessage { from: 3, bytes: vec![1] },
    ] {
        assert!(started_attempts(&limiter.handle(START + MS, &[unusual])).is_empty());
    }
    for invalid in [
        Request { class: 99, ..r.clone() },
        Request { plan: 99, id: 2, ..r.clone() },
        Request { units: f64::NAN, id: 3, ..r.clone() },
    ] {
        let id = invalid.id;
        assert!(is_rejected(&limiter.handle(START + 2 * MS, &[Event::Request(invalid)]), id));
    }
    let zero = Request { timeout: 0, spread: 0, units: 0.0, id: 4, ..r };
    assert!(is_rejected(&limiter.handle(START + 3 * MS, &[Event::Request(zero)]), 4));
    assert_eq!(
        Limiter::new(Settings { classes: vec![], ..settings() }, 1).err(),
        Some(SettingsError::NoClasses)
    );
    let mut nan = settings();
    nan.plans[1].rate = f64::NAN;
    assert!(matches!(Limiter::new(nan, 1).err(), Some(SettingsError::InvalidNumber(_))));
}

/// Each of a hundred limiters uses a subset of sixty warm backends, all backends are used about equally, and
/// draining ones are replaced at once.
#[test]
fn many_limiters_spread_over_backend_subsets() {
    let mut users = vec![0u32; 60];
    for limiter in 0..100 {
        let s = Settings { limiter, limiters: 100, ..settings() };
        let mut tested = Limiter::new(s, u64::from(limiter) + 1).expect("valid settings");
        let listed = |state| move |b: usize| endpoint(&format!("b{b}"), state);
        tested
            .handle(START, &[endpoint_list(1, true, (0..60).map(listed(BackendState::InService)).collect())]);
        let used = |from: u64, limiter: &mut Limiter| {
            let mut seen = std::collections::BTreeSet::new();
            for id in from..from + 300 {
                let now = START + id * 150 * MS;
                let actions = limiter.handle(now, &[request_event(id, 0, 0)]);
                seen.extend(started_attempts(&actions).iter().map(|(_, b)| b[1..].parse::<usize>().unwrap()));
                limiter.handle(now + 40 * MS, &attempts_ended(&actions, Outcome::Ok));
            }
            seen
        };
        let before = used(0, &mut tested);
        assert!((10..=20).contains(&before.len()), "{} used", before.len());
        before.iter().for_each(|b| users[*b] += 1);
        let leaves = before.iter().copied().take(8).collect::<Vec<_>>();
        let drained = leaves.iter().copied().map(listed(BackendState::Draining)).collect();
        tested.handle(START + 300 * 150 * MS, &[endpoint_list(2, false, drained)]);
        let after = used(301, &mut tested);
        assert!((10..=20).contains(&after.len()), "{} used after a drain", after.len());
        assert!(leaves.iter().all(|b| !after.contains(b)));
    }
    let (least, most) = (users.iter().min().unwrap(), users.iter().max().unwrap());
    assert!(*least >= 12 && *most <= 52, "limiters of each backend, a third of 100 on average: {users:?}");
}

/// An attempt is given up early only in favor of another backend, so at the last backend it has no timeout.
#[test]
fn attempt_at_last_untried_backend_has_no_timeout() {
    let mut limiter = new_limiter(settings(), 2);
    let mut now = START;
    for id in 0..150 {
        let sent = started_attempts(&limiter.handle(now, &[request_event(id, 0, 0)]));
        assert_eq!(sent.len(), 1);
        now += 5 * MS;
        limiter.handle(
            now,
            &[Event::AttemptEnded(AttemptResult {
                latency: 5 * MS,
                ..attempt_result(id, 0, Outcome::Ok, true)
            })],
        );
    }
    let timeout = |actions: &[Action]| {
        let sent = actions.iter().find_map(|a| match a {
            Action::StartAttempt { timeout, .. } => Some(*timeout),
            _ => None,
        });
        sent.expect("the request is sent")
    };
    let first = timeout(&limiter.handle(now, &[request_event(900, 0, 0)])).expect("another backend is left");
    let second = limiter.handle(now + first, &[attempt_ended(900, 0, Outcome::TimedOut, false)]);
    assert_eq!(timeout(&second), None);
    let served = limiter.handle(now + 2 * first, &[attempt_ended(900, 1, Outcome::Ok, true)]);
    assert!(!is_rejected(&served, 900) && !is_failed(&served, 900));
}
