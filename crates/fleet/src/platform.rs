//! Converts a fleet into the platform's configuration and into the library's settings.

use serde_json::{json, Value};

use sedgestack::platform::{Document, NameIndex};
use sedgestack::Settings;

use crate::{Fleet, Idempotency, KeyScope, Micros};

fn ms(micros: Micros) -> f64 {
    micros as f64 / 1e3
}

/// Returns the settings object in the configuration file of limiter `number`.
pub fn settings_json(fleet: &Fleet, number: u32) -> Value {
    let profiles: Vec<Value> = fleet
        .classes
        .iter()
        .map(|class| {
            let (repeat, key_scope, window) = match class.idempotency {
                Idempotency::Idempotent => ("safe", "all", 0),
                Idempotency::IdempotencyKey { scope: KeyScope::Pod, window } => ("keyed", "cell", window),
                Idempotency::IdempotencyKey { scope: KeyScope::Zone, window } => ("keyed", "zone", window),
                Idempotency::IdempotencyKey { scope: KeyScope::All, window } => ("keyed", "all", window),
                Idempotency::NotIdempotent => ("unsafe", "all", 0),
            };
            json!({"name": class.name, "credit": class.priority_weight, "deadlineMs": ms(class.deadline),
                   "goalTimeMs": ms(class.latency_objective),
                   "repeat": repeat, "keyScope": key_scope, "windowMs": ms(window), "lateValue": 0.0})
        })
        .collect();
    let plans: Vec<Value> = fleet
        .plans
        .iter()
        .map(|plan| {
            json!({"name": plan.name, "rate": plan.rate, "mostAtOnce": plan.burst,
                   "overrunCost": plan.over_quota_cost, "valueFactor": plan.price})
        })
        .collect();
    let slow_start = fleet.backend_kinds.iter().map(|kind| kind.slow_start).max().unwrap_or(0);
    let slow_start_share = fleet.backend_kinds.iter().map(|kind| kind.slow_start_share).fold(1.0, f64::min);
    let rules = &fleet.rules;
    let zone = fleet.limiter_zones()[number as usize];
    json!({
        "caps": {"cancel": true, "connectTimeoutMs": ms(rules.connect_timeout),
                 "keepaliveMs": ms(rules.keepalive), "maxAttempts": rules.max_attempts, "maxOpen": 20_000,
                 "maxRetryAfterMs": ms(rules.max_retry_after), "peerMessages": false, "probes": false,
                 "retryAfter": rules.max_retry_after > 0, "secondCopies": true},
        "discovery": "push",
        "familyInfo": {"costAfter": false, "countWaitMs": ms(fleet.counter.timeout), "hasCounter": true,
                       "meteringMs": 0.0, "mostUnits": rules.max_units},
        "granularityMs": 4.0, "locality": fleet.zones[zone].name, "nInstances": fleet.limiter_count(),
        "selfIndex": number, "plans": plans, "profiles": profiles,
        "report": {"columns": ["util", "latency_ms"]},
        "rules": {"coldFrom": slow_start_share, "coldMs": ms(slow_start), "fallMs": ms(rules.overload_window),
                  "fallMultiple": rules.overload_multiple, "stopSendingWithinMs": ms(rules.drain_grace)}
    })
}

/// Returns the library's settings for limiter `number`, with the index of class and plan names. The settings are
/// decoded in the same way as those of a real limiter.
///
/// # Panics
/// Panics if the platform rejects the settings. A fleet that was decoded from a file always has valid settings.
pub fn settings(fleet: &Fleet, number: u32) -> (Settings, NameIndex) {
    let document: Document =
        serde_json::from_value(settings_json(fleet, number)).expect("all keys are known to the platform");
    let (settings, names, _) = document.decode().expect("a validated fleet has valid settings");
    (settings, names)
}
