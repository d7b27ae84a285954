//! The settings under which the driver runs limiters.

use sedgestack::{Class, Discovery, Idempotency, KeyScope, Micros, Plan, Settings, SlowStart};

use crate::backends::MILLISECOND;
use crate::counter::CounterBehavior;

const SECOND: Micros = 1_000 * MILLISECOND;
/// Maximum number of limiters that are simulated: of hundreds, a few are representative.
const MAX_SIMULATED: u32 = 5;
/// Factor on all durations of a run with scaled time.
const TIME_SCALE: u64 = 1_000_000_007;
/// Factors on the rates and bursts of a run with starved quotas.
const STARVED_RATE_FACTOR: f64 = 1e-9;
const STARVED_BURST_FACTOR: f64 = 3.0;
const POLL_INTERVAL: Micros = 2 * SECOND;

/// A run of the driver.
pub struct Run {
    pub name: &'static str,
    pub seed: u64,
    pub steps: u64,
    /// Microseconds of the limiters' clock per microsecond of the driver's clock; the settings use the
    /// limiters' clock.
    pub scale: u64,
    pub settings: Settings,
    /// Number of limiters that are simulated, the first of all limiters in the settings.
    pub simulated: u32,
    pub backends: usize,
    /// Number of attempts that a backend serves at once without a queue.
    pub slots: usize,
    /// Mean time between requests, over all simulated limiters.
    pub arrival_interval: Micros,
    /// Mean time that an idle backend takes for one unit.
    pub service_time: Micros,
    /// Share of attempts that fail in some way.
    pub failure_share: f64,
    pub counter: CounterBehavior,
    /// Mean times between changes; `None` for no changes.
    pub list_change_interval: Option<Micros>,
    pub cordon_interval: Option<Micros>,
    pub version_change_interval: Option<Micros>,
}

fn class(name: &str, priority_weight: f64, latency_objective: Micros, idempotency: Idempotency) -> Class {
    Class { name: name.into(), priority_weight, latency_objective, late_weight_share: 0.0, idempotency }
}

fn keyed(scope: KeyScope, window: Micros) -> Idempotency {
    Idempotency::IdempotencyKey { scope, window }
}

fn settings(limiters: u32, counter: bool) -> Settings {
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
    let rate = Plan { name: "rate".into(), rate: 10.0, burst: 20.0, ..plan.clone() };
    let open = Plan { name: "open".into(), concurrency_limit: 3, ..plan.clone() };
    let ceiling = Plan { name: "ceiling".into(), ceiling_rate: 12.0, ceiling_burst: 8.0, ..plan.clone() };
    let both = Plan {
        name: "both".into(),
        concurrency_limit: 5,
        ceiling_rate: 14.0,
        ceiling_burst: 20.0,
        ..rate.clone()
    };
    let large = Plan { name: "large".into(), rate: 60.0, burst: 90.0, concurrency_limit: 20, ..plan.clone() };
    Settings {
        limiter: 0,
        limiters,
        zone: "z0".into(),
        tick: 2 * MILLISECOND,
        classes: vec![
            class("safe", 1.0, 250 * MILLISECOND, Idempotency::Idempotent),
            class("all", 2.0, 300 * MILLISECOND, keyed(KeyScope::All, SECOND)),
            class("zone", 2.0, 250 * MILLISECOND, keyed(KeyScope::Zone, 500 * MILLISECOND)),
            class("cell", 1.0, 300 * MILLISECOND, keyed(KeyScope::Cell, 100 * MILLISECOND)),
            class("unsafe", 3.0, 400 * MILLISECOND, Idempotency::NotIdempotent),
        ],
        plans: vec![plan, rate, open, ceiling, both, large],
        discovery: Discovery::Push,
        slow_start: SlowStart {
            initial_share: 0.2,
            duration: 10 * SECOND,
            overload_multiple: 2.0,
            overload_window: SECOND,
        },
        drain_grace: 250 * MILLISECOND,
        max_attempts: 4,
        hedged_requests: false,
        cancel: true,
        health_checks: false,
        peer_messages: false,
        max_retry_after: 2 * SECOND,
        counter_timeout: counter.then_some(50 * MILLISECOND),
        meter_period: 0,
        actual_cost_reported: false,
        max_units: 4.0,
    }
}

fn polled(settings: Settings) -> Settings {
    Settings { discovery: Discovery::Poll { interval: POLL_INTERVAL }, ..settings }
}

fn run(name: &'static str, seed: u64, limiters: u32, counter: bool) -> Run {
    Run {
        name,
        seed,
        steps: 19_200,
        scale: 1,
        settings: settings(limiters, counter),
        simulated: limiters.min(MAX_SIMULATED),
        backends: 9,
        slots: 6,
        arrival_interval: 6 * MILLISECOND,
        service_time: 14 * MILLISECOND,
        failure_share: 0.04,
        counter: CounterBehavior { loss_share: 0.01, has_outages: false, others_per_unit: 0.3 },
        list_change_interval: Some(SECOND),
        cordon_interval: Some(3 * SECOND),
        version_change_interval: None,
    }
}

/// Sends far more requests than the backends can serve.
fn overloaded(run: Run) -> Run {
    Run { backends: 4, slots: 3, arrival_interval: 2 * MILLISECOND, service_time: 25 * MILLISECOND, ..run }
}

/// Uses many backends, which are slow for the limiters that use them.
fn with_slow_backends(run: Run) -> Run {
    Run {
        slots: 1,
        arrival_interval: 2 * MILLISECOND,
        service_time: 30 * MILLISECOND,
        ..with_many_backends(run)
    }
}

fn with_actual_costs(run: Run) -> Run {
    Run { settings: Settings { actual_cost_reported: true, ..run.settings }, ..run }
}

fn with_polled_discovery(run: Run) -> Run {
    Run { settings: polled(run.settings), ..run }
}

fn with_version_changes(run: Run) -> Run {
    Run { version_change_interval: Some(1_500 * MILLISECOND), ..run }
}

fn with_many_cordons(run: Run) -> Run {
    Run { cordon_interval: Some(60 * MILLISECOND), ..run }
}

fn with_outages(run: Run) -> Run {
    Run { counter: CounterBehavior { loss_share: 0.05, has_outages: true, others_per_unit: 1.0 }, ..run }
}

fn with_failures(run: Run) -> Run {
    Run { failure_share: 0.3, list_change_interval: Some(200 * MILLISECOND), ..run }
}

/// Sends only a few requests per second, so that long time constants take effect.
fn with_low_load(run: Run) -> Run {
    Run { arrival_interval: 40 * MILLISECOND, ..run }
}

/// Uses so many backends that a limiter uses only a subset of them.
fn with_many_backends(run: Run) -> Run {
    Run { backends: 48, slots: 4, arrival_interval: 3 * MILLISECOND, ..run }
}

/// Lengthens all durations so that all bits of the underlying numbers show when they are rounded to
/// microseconds.
fn with_scaled_time(run: Run) -> Run {
    let mut settings = run.settings;
    for class in &mut settings.classes {
        class.latency_objective *= TIME_SCALE;
        if let Idempotency::IdempotencyKey { window, .. } = &mut class.idempotency {
            *window *= TIME_SCALE;
        }
    }
    for plan in &mut settings.plans {
        plan.rate /= TIME_SCALE as f64;
        plan.ceiling_rate /= TIME_SCALE as f64;
    }
    settings.tick *= TIME_SCALE;
    settings.slow_start.duration *= TIME_SCALE;
    settings.slow_start.overload_window *= TIME_SCALE;
    settings.max_retry_after *= TIME_SCALE;
    Run { scale: TIME_SCALE, settings, ..run }
}

/// Makes quotas refill hardly at all and removes the maximum retry-after, which then shows all bits of what a
/// customer lacks.
fn with_starved_quotas(run: Run) -> Run {
    let mut settings = run.settings;
    for plan in &mut settings.plans {
        plan.rate *= STARVED_RATE_FACTOR;
        plan.ceiling_rate *= STARVED_RATE_FACTOR;
        plan.burst *= STARVED_BURST_FACTOR;
        plan.ceiling_burst *= STARVED_BURST_FACTOR;
    }
    settings.max_retry_after = Micros::MAX;
    Run { settings, ..run }
}

pub fn all() -> Vec<Run> {
    vec![
        run("one-alone", 101, 1, false),
        with_polled_discovery(run("one-asked-counter", 102, 1, true)),
        run("three-counter", 103, 3, true),
        with_polled_discovery(run("three-asked", 104, 3, false)),
        with_version_changes(run("three-rules", 105, 3, true)),
        overloaded(run("three-overload", 106, 3, true)),
        with_low_load(run("four-slow", 107, 4, true)),
        with_outages(run("four-outages", 108, 4, true)),
        with_actual_costs(with_many_cordons(run("four-settles-cordons", 109, 4, true))),
        with_failures(run("four-trouble", 110, 4, false)),
        run("five-counter", 111, 5, true),
        with_polled_discovery(with_failures(run("five-asked-trouble", 112, 5, true))),
        with_version_changes(with_actual_costs(run("five-settles-rules", 113, 5, true))),
        with_slow_backends(run("thirty-overload", 114, 30, true)),
        with_outages(with_many_backends(run("thirty-outages", 115, 30, true))),
        with_low_load(with_many_backends(run("thirty-slow", 116, 30, true))),
        with_many_cordons(with_many_backends(run("thirty-cordons", 117, 30, false))),
        with_many_backends(run("three-hundred", 118, 300, true)),
        with_version_changes(with_slow_backends(run("three-hundred-overload-rules", 119, 300, true))),
        with_polled_discovery(with_actual_costs(with_failures(with_many_backends(run(
            "three-hundred-asked-trouble",
            120,
            300,
            true,
        ))))),
        with_scaled_time(run("three-stretched", 121, 3, true)),
        with_scaled_time(with_many_backends(run("thirty-stretched", 122, 30, true))),
        with_starved_quotas(run("three-starved", 123, 3, true)),
        with_starved_quotas(with_actual_costs(run("four-starved-alone", 124, 4, false))),
        with_starved_quotas(with_many_backends(run("thirty-starved", 125, 30, true))),
    ]
}
