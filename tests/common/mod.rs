//! Fixtures for tests of a single limiter: settings, events, and queries on actions.
#![allow(dead_code)]

use sedgestack::*;

pub const MS: Micros = 1_000;
pub const START: Micros = 1_000_000_000;

pub fn class(name: &str, weight: f64, repeat_safety: Idempotency) -> Class {
    Class {
        name: name.into(),
        priority_weight: weight,
        latency_objective: 250 * MS,
        late_weight_share: 0.0,
        idempotency: repeat_safety,
    }
}

/// Settings with the classes 0 `safe`, 1 `keyed` (idempotency key valid at all backends for 1 s), 2 `unsafe`,
/// and 3 `cell` (idempotency key valid within a cell). Plan 0 has no limits, plan 1 a rate of 10 with a burst
/// of 20, plan 2 a concurrency limit of 2, and plan 3 a ceiling of 20.
pub fn settings() -> Settings {
    let plan = |name: &str| Plan {
        name: name.into(),
        rate: 0.0,
        burst: 0.0,
        concurrency_limit: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        over_quota_cost: 0.5,
        price: 1.0,
    };
    Settings {
        limiter: 0,
        limiters: 2,
        zone: "a".into(),
        tick: 2 * MS,
        classes: vec![
            class("safe", 1.0, Idempotency::Idempotent),
            class("keyed", 2.0, Idempotency::IdempotencyKey { scope: KeyScope::All, window: 1_000 * MS }),
            class("unsafe", 3.0, Idempotency::NotIdempotent),
            class("cell", 2.0, Idempotency::IdempotencyKey { scope: KeyScope::Cell, window: 1_000 * MS }),
        ],
        plans: vec![
            plan("free"),
            Plan { rate: 10.0, burst: 20.0, ..plan("rate") },
            Plan { concurrency_limit: 2, ..plan("open") },
            Plan { ceiling_rate: 20.0, ceiling_burst: 20.0, ..plan("ceiling") },
        ],
        discovery: Discovery::Push,
        slow_start: SlowStart {
            initial_share: 0.2,
            duration: 10_000 * MS,
            overload_multiple: 2.0,
            overload_window: 1_000 * MS,
        },
        drain_grace: 250 * MS,
        max_attempts: 4,
        hedged_requests: false,
        cancel: true,
        health_checks: false,
        peer_messages: false,
        max_retry_after: 2_000 * MS,
        counter_timeout: Some(50 * MS),
        meter_period: 0,
        actual_cost_reported: false,
        max_units: 4.0,
    }
}

pub fn endpoint(backend: &str, state: BackendState) -> Endpoint {
    Endpoint { backend: backend.into(), state, zone: "a".into(), cell: 0, started_at: 0, weight: 1.0 }
}

pub fn endpoint_list(version: u64, is_complete: bool, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { version, complete: is_complete, endpoints: endpoints.into() }
}

/// Returns a request of customer 7, whose requests are received by two limiters.
pub fn new_request(id: RequestId, class: usize, plan: usize) -> Request {
    Request { id, class, plan, customer: 7, units: 1.0, timeout: 800 * MS, spread: 2 }
}

pub fn request_event(id: RequestId, class: usize, plan: usize) -> Event {
    Event::Request(new_request(id, class, plan))
}

/// Returns the result of an attempt that ended after 40 ms.
pub fn attempt_result(request: RequestId, attempt: u32, outcome: Outcome, finished: bool) -> AttemptResult {
    AttemptResult {
        request,
        attempt,
        outcome,
        latency: 40 * MS,
        request_done: finished,
        metered_usage: None,
        actual_units: None,
        report: LoadReport::default(),
    }
}

pub fn attempt_ended(request: RequestId, attempt: u32, outcome: Outcome, finished: bool) -> Event {
    Event::AttemptEnded(attempt_result(request, attempt, outcome, finished))
}

/// Returns the ends of all first attempts among `actions`.
pub fn attempts_ended(actions: &[Action], outcome: Outcome) -> Vec<Event> {
    started_attempts(actions).iter().map(|(r, _)| attempt_ended(*r, 0, outcome, true)).collect()
}

pub fn counter_reply(name: CounterName, total: f64) -> Event {
    Event::CounterReplied { name, outcome: Outcome::Ok, total: Some(total) }
}

/// Returns a limiter that knows `backends` warm backends, named `b0` and up.
pub fn new_limiter(settings: Settings, backends: usize) -> Limiter {
    let mut limiter = Limiter::new(settings, 1).expect("valid settings");
    let endpoints: Vec<Endpoint> =
        (0..backends).map(|i| endpoint(&format!("b{i}"), BackendState::InService)).collect();
    limiter.handle(START, &[endpoint_list(1, true, endpoints)]);
    limiter
}

pub fn started_attempts(actions: &[Action]) -> Vec<(RequestId, BackendId)> {
    let sent = |a: &Action| match a {
        Action::StartAttempt { request, backend, .. } => Some((*request, backend.clone())),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}

/// Returns name and amount of each counter call among `actions`.
pub fn counter_calls(actions: &[Action]) -> Vec<(CounterName, f64)> {
    let call = |a: &Action| match a {
        Action::CallCounter { name, amount, .. } => Some((*name, *amount)),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}
