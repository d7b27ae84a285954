//! Simulates a fleet of 60 backends with 3, 10, 30 and 100 limiters, and measures the time that the decision module
//! takes for a request and for a change of the endpoint list.
//!
//! Run it with `cargo run --profile kit -p sedgestack-model --example limiters`. The load and the quota counter are the
//! same for all fleet sizes. The requests of each customer are spread over half to all of the limiters.

use std::hint::black_box;
use std::time::Instant;

use sedgestack::{
    Action, AttemptResult, BackendState, Class, Endpoint, Event, Idempotency, Limiter, LoadReport, Outcome,
    Plan, Request, Settings,
};
use sedgestack_fleet::Fleet;
use sedgestack_model::{demand, run, Scenario};

/// Number of seeds over which the figures are averaged.
const SEEDS: u64 = 3;

fn main() {
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    let sample = Fleet::parse("fleet-sample.hcl", text).expect("the sample fleet file is valid");
    println!("limiters worth_in_time refused_share attempts_per_try wall_us_per_try");
    for limiters in [3u32, 10, 30, 100] {
        let mut fleet = sample.with_backends(60).with_limiters(limiters);
        for plan in &mut fleet.plans {
            plan.spread = (limiters.div_ceil(2).max(2), limiters);
        }
        fleet.load.rate = 440.0;
        fleet.load.length = 25_000_000;
        let (mut share, mut rejected, mut attempts, mut micros) = (0.0, 0.0, 0.0, 0.0);
        for seed in 1..=SEEDS {
            let demand = demand::draw(&fleet, seed);
            let started_at = Instant::now();
            let outcome = run(&Scenario::new(&fleet, &demand), seed);
            let c = &outcome.counts;
            let tries = (c.first_tries + c.retries) as f64;
            share += outcome.score.overall.share();
            rejected += c.rejected as f64 / tries;
            attempts += c.attempts as f64 / tries;
            micros += started_at.elapsed().as_secs_f64() * 1e6 / tries;
        }
        let n = SEEDS as f64;
        println!(
            "{limiters:8} {:13.3} {:13.3} {:16.3} {:15.1}",
            share / n,
            rejected / n,
            attempts / n,
            micros / n
        );
    }
    println!("\nservers request_us list_change_us (one limiter of 100)");
    for backends in [10, 60, 600] {
        let (request, change) = measure_decisions(backends);
        println!("{backends:7} {request:10.2} {change:14.2}");
    }
}

/// Measures the microseconds that a limiter takes for a whole request and for a change of one endpoint.
fn measure_decisions(backends: usize) -> (f64, f64) {
    let class = Class {
        name: "read".into(),
        priority_weight: 1.0,
        latency_objective: 800_000,
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
        over_quota_cost: 0.5,
        price: 1.0,
    };
    let settings = Settings {
        limiters: 100,
        tick: 1_000,
        classes: vec![class],
        plans: vec![plan],
        max_attempts: 4,
        max_units: 4.0,
        ..Settings::default()
    };
    let mut limiter = Limiter::new(settings, 1).expect("the settings are valid");
    let endpoint = |n: usize, state| Endpoint {
        backend: format!("s-{n:08x}").into(),
        state,
        zone: "a".into(),
        cell: 0,
        started_at: 0,
        weight: 1.0,
    };
    let all = (0..backends).map(|n| endpoint(n, BackendState::InService)).collect();
    limiter.handle(1_000_000, &[Event::EndpointsChanged { version: 1, complete: true, endpoints: all }]);
    const REPETITIONS: u64 = 20_000;
    let started_at = Instant::now();
    for id in 0..REPETITIONS {
        let now = 2_000_000 + id * 100_000;
        let request = Request {
            id,
            class: 0,
            plan: 0,
            customer: id % 300,
            units: 1.0,
            timeout: 3_000_000,
            spread: 100,
        };
        let sent = limiter.handle(now, &[Event::Request(request)]);
        assert!(
            sent.iter().any(|a| matches!(a, Action::StartAttempt { .. })),
            "an idle fleet admits the request"
        );
        let end = AttemptResult {
            request: id,
            attempt: 0,
            outcome: Outcome::Ok,
            latency: 40_000,
            request_done: true,
            metered_usage: None,
            actual_units: None,
            report: LoadReport::default(),
        };
        black_box(limiter.handle(now + 40_000, &[Event::AttemptEnded(end)]));
    }
    let request = started_at.elapsed().as_secs_f64() * 1e6 / REPETITIONS as f64;
    let started_at = Instant::now();
    for n in 0..REPETITIONS {
        let state = if n % 2 == 0 { BackendState::Draining } else { BackendState::InService };
        let list = vec![endpoint(n as usize / 2 % backends, state)].into();
        let now = 3_000_000_000 + n;
        black_box(
            limiter
                .handle(now, &[Event::EndpointsChanged { version: 2 + n, complete: false, endpoints: list }]),
        );
    }
    (request, started_at.elapsed().as_secs_f64() * 1e6 / REPETITIONS as f64)
}
