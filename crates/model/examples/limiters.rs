//! One fleet of 60 workers behind 3, 10, 30 and 100 limiters, and what a request and a list change cost the
//! decisions: `cargo run --profile kit -p sedgestack-model --example limiters`.
//!
//! Load and the quota counter stay the same, and every plan's customers come in through half to all of the limiters.

use std::hint::black_box;
use std::time::Instant;

use sedgestack::{
    Action, AttemptResult, BackendState, Class, Endpoint, Event, Idempotency, Limiter, LoadReport, Outcome,
    Plan, Request, Settings,
};
use sedgestack_fleet::Fleet;
use sedgestack_model::{demand, run, Scenario};

/// Figures of a size are means over so many seeds.
const SEEDS: u64 = 3;

fn main() {
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    let sample = Fleet::parse("fleet-sample.hcl", text).expect("the sample has no fault");
    println!("limiters worth_in_time refused_share attempts_per_try wall_us_per_try");
    for limiters in [3u32, 10, 30, 100] {
        let mut fleet = sample.with_backends(60).with_limiters(limiters);
        for plan in &mut fleet.plans {
            plan.spread = (limiters.div_ceil(2).max(2), limiters);
        }
        fleet.load.rate = 440.0;
        fleet.load.length = 25_000_000;
        let (mut share, mut refused, mut attempts, mut micros) = (0.0, 0.0, 0.0, 0.0);
        for seed in 1..=SEEDS {
            let demand = demand::draw(&fleet, seed);
            let begun = Instant::now();
            let outcome = run(&Scenario::new(&fleet, &demand), seed);
            let c = &outcome.counts;
            let tries = (c.first_tries + c.retries) as f64;
            share += outcome.score.overall.share();
            refused += c.rejected as f64 / tries;
            attempts += c.attempts as f64 / tries;
            micros += begun.elapsed().as_secs_f64() * 1e6 / tries;
        }
        let n = SEEDS as f64;
        println!(
            "{limiters:8} {:13.3} {:13.3} {:16.3} {:15.1}",
            share / n,
            refused / n,
            attempts / n,
            micros / n
        );
    }
    println!("\nservers request_us list_change_us (one limiter of 100)");
    for servers in [10, 60, 600] {
        let (request, change) = costs(servers);
        println!("{servers:7} {request:10.2} {change:14.2}");
    }
}

/// Microseconds of a whole request, and of a change of one entry of the list.
fn costs(servers: usize) -> (f64, f64) {
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
    let mut gateway = Limiter::new(settings, 1).expect("sound settings");
    let listed = |n: usize, state| Endpoint {
        backend: format!("s-{n:08x}").into(),
        state,
        zone: "a".into(),
        cell: 0,
        started_at: 0,
        weight: 1.0,
    };
    let all = (0..servers).map(|n| listed(n, BackendState::InService)).collect();
    gateway.handle(1_000_000, &[Event::EndpointsChanged { version: 1, complete: true, endpoints: all }]);
    const TIMES: u64 = 20_000;
    let begun = Instant::now();
    for id in 0..TIMES {
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
        let sent = gateway.handle(now, &[Event::Request(request)]);
        assert!(sent.iter().any(|a| matches!(a, Action::StartAttempt { .. })), "an idle fleet takes it");
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
        black_box(gateway.handle(now + 40_000, &[Event::AttemptEnded(end)]));
    }
    let request = begun.elapsed().as_secs_f64() * 1e6 / TIMES as f64;
    let begun = Instant::now();
    for n in 0..TIMES {
        let state = if n % 2 == 0 { BackendState::Draining } else { BackendState::InService };
        let list = vec![listed(n as usize / 2 % servers, state)].into();
        let now = 3_000_000_000 + n;
        black_box(
            gateway
                .handle(now, &[Event::EndpointsChanged { version: 2 + n, complete: false, endpoints: list }]),
        );
    }
    (request, begun.elapsed().as_secs_f64() * 1e6 / TIMES as f64)
}
