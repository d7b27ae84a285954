use std::sync::Arc;

use crate::interface::{BackendState, Class, Endpoint, Event, Idempotency, Plan, Settings, SlowStart};
use crate::Limiter;

/// Time from which on the backends of the tests have warmed up.
const WARM_AT: u64 = 20_000_000;

fn endpoint(n: usize, state: BackendState, started_at: u64) -> Endpoint {
    Endpoint {
        backend: format!("s-{n}").into(),
        state,
        zone: String::new(),
        cell: 0,
        started_at,
        weight: 1.0,
    }
}

fn limiter() -> Limiter {
    let slow_start = SlowStart {
        duration: 5_000_000,
        initial_share: 0.2,
        overload_window: 2_000_000,
        overload_multiple: 4.0,
    };
    let class = Class {
        name: "read".into(),
        priority_weight: 1.0,
        latency_objective: 1_000_000,
        late_weight_share: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let plan = Plan {
        name: "free".into(),
        rate: 0.0,
        burst: 0.0,
        concurrency_limit: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        over_quota_cost: 0.0,
        price: 1.0,
    };
    let settings = Settings {
        limiters: 900,
        classes: vec![class],
        plans: vec![plan],
        slow_start,
        max_units: 1.0,
        ..Settings::default()
    };
    Limiter::new(settings, 7).expect("valid settings")
}

fn change(version: u64, complete: bool, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { version, complete, endpoints: Arc::from(endpoints) }
}

/// Checks that the indexes agree with the backends themselves.
fn check_indexes(limiter: &Limiter, random_rank: u64) {
    let backends = &limiter.backends.entries;
    let in_service: Vec<_> = backends.iter().filter(|b| b.state == BackendState::InService).collect();
    assert_eq!(backends.in_service().len(), in_service.len());
    let warm = in_service.iter().filter(|b| limiter.capacity_share(b) == 1.0).count();
    assert_eq!(backends.in_service().warm_count(), warm);
    assert_eq!(backends.in_service().warm_from(random_rank, u64::MAX).count(), warm);
    assert_eq!(backends.in_service().warming_from(0).count(), in_service.len() - warm);
    let mut ranks: Vec<u64> =
        in_service.iter().filter(|b| limiter.capacity_share(b) == 1.0).map(|b| b.rank).collect();
    ranks.sort_unstable();
    for count in 1..=ranks.len() {
        assert_eq!(backends.in_service().rank_of_subset(count), Some(ranks[count - 1]));
    }
    assert_eq!(backends.in_service().rank_of_subset(ranks.len() + 1), None);
}

/// Backends start, restart, drain, return, leave and come back in a random order.
#[test]
fn indexes_follow_each_change_of_the_backends() {
    let mut limiter = limiter();
    let states = [BackendState::InService, BackendState::Draining, BackendState::Gone];
    let mut random = 1_u64;
    for version in 1..400 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let draw = (random >> 33) as usize;
        let now = WARM_AT + version * 100_000;
        let started_at = if draw.is_multiple_of(4) { now } else { 0 };
        let changed = endpoint(draw % 50, states[draw / 64 % 3], started_at);
        let complete = version % 60 == 0;
        limiter.handle(now, &[change(version, complete, vec![changed])]);
        limiter.choose_subset();
        check_indexes(&limiter, random);
    }
}
