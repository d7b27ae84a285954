//! Decodes the blocks on classes, plans, clients, the described load, surges and growth.

use sedgestack_hcl::{ConfigError, Section};

use super::{MILLIS, SECONDS};
use crate::*;

pub(super) fn decode_class(section: &Section<'_>) -> Result<Class, ConfigError> {
    let window = section.duration_or("window", 0)?;
    let scope = [KeyScope::Pod, KeyScope::Zone, KeyScope::All]
        [section.keyword_or_first("scope", &["pod", "room", "all"])?];
    let repeats = match section.keyword("repeats", &["safe", "keyed", "never"])? {
        0 => Idempotency::Idempotent,
        1 if window == 0 => {
            return Err(section.error_at("window", "expected a positive duration, because repeats is keyed"))
        }
        1 => Idempotency::IdempotencyKey { scope, window },
        _ => Idempotency::NotIdempotent,
    };
    let class = Class {
        name: section.label()?.to_string(),
        share: section.number("share", 0.0..=1.0)?,
        work: section.duration("work")?,
        work_cv: section.number_or("work_cv", 0.01..=10.0, 1.0)?,
        attempt_cv: section.number_or("attempt_cv", 0.0..=5.0, 0.0)?,
        latency_objective: section.duration("aim")?,
        deadline: section.duration("deadline")?,
        priority_weight: section.number("worth", 0.0..=1e6)?,
        idempotency: repeats,
    };
    if class.work == 0 {
        return Err(section.error_at("work", "expected a positive duration"));
    }
    if class.latency_objective == 0 || class.latency_objective > class.deadline {
        return Err(section.error_at("aim", "expected a positive duration no longer than deadline"));
    }
    section.reject_unknown_keys()?;
    Ok(class)
}

pub(super) fn decode_plan(section: &Section<'_>, limiters: u32, max_units: u32) -> Result<Plan, ConfigError> {
    let rate = section.number("rate", 0.001..=1e9)?;
    let burst = section.number("burst", 1.0..=1e9)?;
    if burst < f64::from(max_units) {
        let expected = format!("expected at least {max_units}, the units of the largest request");
        return Err(section.error_at("burst", expected));
    }
    let (low, high) = section.range("spread", 1.0..=f64::from(limiters.max(1)))?;
    let plan = Plan {
        name: section.label()?.to_string(),
        share: section.number("share", 0.0..=1.0)?,
        rate,
        burst,
        price: section.number_or("price", 0.0..=1e6, 1.0)?,
        over_quota_cost: section.number_or("overrun_cost", 0.0..=10.0, 0.0)?,
        spread: (low as u32, high as u32),
    };
    section.reject_unknown_keys()?;
    Ok(plan)
}

/// Decodes the range of a key, with bounds from 0 to `max`; returns the default if the key is missing.
pub(super) fn range_or(
    section: &Section<'_>,
    key: &str,
    max: f64,
    default: (f64, f64),
) -> Result<(f64, f64), ConfigError> {
    if section.contains(key) {
        section.range(key, 0.0..=max)
    } else {
        Ok(default)
    }
}

pub(super) fn decode_load(section: &Section<'_>) -> Result<Load, ConfigError> {
    let length = section.duration("length")?;
    if length < SECONDS {
        return Err(section.error_at("length", "expected at least 1s"));
    }
    let load = Load {
        rate: section.number("requests_per_second", 0.01..=1e7)?,
        length,
        wave: section.number_or("wave", 0.0..=1.0, 0.0)?,
        wave_period: section.duration_or("wave_period", 30 * SECONDS)?.max(SECONDS),
        usual_use: range_or(section, "usual_use", 1.0, (0.2, 0.45))?,
        full_share: section.number_or("full", 0.0..=1.0, 0.15)?,
        heavy_share: section.number_or("heavy", 0.0..=1.0, 0.1)?,
        heavy_multiple: range_or(section, "heavy_times", 1e3, (2.0, 4.0))?,
        spiky_share: section.number_or("spiky", 0.0..=1.0, 0.15)?,
        spike_multiple: range_or(section, "spike_times", 1e3, (4.5, 7.9))?,
        spike_duration: range_or(section, "spike_for_s", 1e6, (0.6, 3.7))?,
        spike_interval: range_or(section, "spike_every_s", 1e6, (11.0, 25.0))?,
        skew: section.number_or("skew", 0.0..=10.0, 1.2)?,
        skew_interval: section.duration_or("shift_every", 6 * SECONDS)?.max(SECONDS),
    };
    if load.full_share + load.heavy_share + load.spiky_share > 1.0 {
        return Err(section.error_at("spiky", "expected full, heavy and spiky to add up to 1 at most"));
    }
    if load.usual_use.0 <= 0.0 {
        return Err(section.error_at("usual_use", "expected a lowest share above 0"));
    }
    section.reject_unknown_keys()?;
    Ok(load)
}

pub(super) fn decode_clients(section: Option<Section<'_>>) -> Result<Clients, ConfigError> {
    let mut clients =
        Clients { retries: 0.7, backoff: 150 * MILLIS, honour_share: 0.6, abandon_after: (0.5, 1.0) };
    if let Some(section) = section {
        clients.retries = section.number_or("retries", 0.0..=1.0, clients.retries)?;
        clients.backoff = section.duration_or("backoff", clients.backoff)?;
        clients.honour_share = section.number_or("honour", 0.0..=1.0, clients.honour_share)?;
        clients.abandon_after = range_or(&section, "gives_up", 1.0, clients.abandon_after)?;
        section.reject_unknown_keys()?;
    }
    Ok(clients)
}

pub(super) fn decode_surge(
    section: &Section<'_>,
    classes: &[Class],
    load: &Load,
) -> Result<Surge, ConfigError> {
    let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
    let surge = Surge {
        class: section.keyword("class", &names)?,
        from: section.duration("from")?,
        duration: section.duration("for")?,
        arrivals: section.number_or("arrivals", 0.0..=100.0, 1.0)?,
        work: section.number_or("work", 0.01..=100.0, 1.0)?,
    };
    if surge.from >= load.length {
        return Err(section.error_at("from", "expected a time within the load's length"));
    }
    section.reject_unknown_keys()?;
    Ok(surge)
}

pub(super) fn decode_growth(section: &Section<'_>) -> Result<Growth, ConfigError> {
    let by = [GrowthBy::Customers, GrowthBy::Use][section.keyword_or_first("by", &["customers", "use"])?];
    let growth = Growth {
        factor: section.number("load", 0.01..=100.0)?,
        by,
        uncertainty: section.number_or("uncertainty", 0.0..=1.0, 0.1)?,
    };
    section.reject_unknown_keys()?;
    Ok(growth)
}
