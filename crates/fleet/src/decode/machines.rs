//! Decodes the blocks on backends, limiters, the quota counter, the network and the platform's limits.

use sedgestack_hcl::{ConfigError, Section};

use super::{DEFAULT_MAX_UNITS, MAX_BACKENDS, MAX_LIMITERS, MILLIS, SECONDS};
use crate::*;

pub(super) fn decode_backend_kind(section: &Section<'_>) -> Result<BackendKind, ConfigError> {
    let cores = section.integer("cores", 1..=256)? as u32;
    let kind = BackendKind {
        name: section.label()?.to_string(),
        cores,
        speed: section.number_or("speed", 0.01..=100.0, 1.0)?,
        speed_cv: section.number_or("speed_cv", 0.0..=1.0, 0.0)?,
        slots: section.integer("slots", 1..=100_000)? as u32,
        queue_capacity: section.integer("waiting_room", 0..=1_000_000)? as u32,
        thrash: section.number_or("thrash", 0.0..=0.95, 0.0)?,
        thrash_at: section.number_or("thrash_at", 0.0..=1e6, 4.0)?,
        slow_start_share: section.number_or("cold_share", 0.01..=1.0, 1.0)?,
        slow_start: section.duration_or("cold", 0)?,
        connections: section.integer_or("connections", 1..=1_000_000, 1_000)? as u32,
        handshake: section.duration_or("handshake", MILLIS)?,
        cancel: [CancelPolicy::Queued, CancelPolicy::Ignored]
            [section.keyword_or_first("cancel", &["queued", "none"])?],
        drops_expired: section.bool_or("drops_expired", true)?,
        report_interval: section.duration_or("report_every", 500 * MILLIS)?.max(MILLIS),
        report_delay: section.duration_or("report_delay", 0)?,
        report_noise: section.number_or("report_noise", 0.0..=1.0, 0.0)?,
        error_share: section.number_or("error_share", 0.0..=1.0, 0.0)?,
    };
    section.reject_unknown_keys()?;
    Ok(kind)
}

pub(super) fn decode_zone(section: &Section<'_>, kinds: &[BackendKind]) -> Result<Zone, ConfigError> {
    let mut backends = vec![0; kinds.len()];
    let blocks = section.blocks("workers");
    for block in &blocks {
        let name = block.label()?;
        let index = kinds.iter().position(|kind| kind.name == name);
        let index = index.ok_or_else(|| {
            let known: Vec<&str> = kinds.iter().map(|kind| kind.name.as_str()).collect();
            block.error(format!("expected the name of a worker block: {}", known.join(", ")))
        })?;
        backends[index] += block.integer("count", 0..=MAX_BACKENDS)? as u32;
        block.reject_unknown_keys()?;
    }
    let zone = Zone {
        name: section.label()?.to_string(),
        backends,
        limiters: section.integer_or("limiters", 0..=MAX_LIMITERS, 0)? as u32,
    };
    section.reject_unknown_keys()?;
    Ok(zone)
}

pub(super) fn decode_delays(section: &Section<'_>) -> Result<Delays, ConfigError> {
    let delays = Delays {
        same_zone: section.duration("same_room")?,
        cross_zone: section.duration("cross_room")?,
        client: section.duration("client")?,
        jitter: section.number_or("jitter", 0.0..=1.0, 0.0)?,
    };
    section.reject_unknown_keys()?;
    Ok(delays)
}

pub(super) fn decode_counter(section: &Section<'_>, zones: &[Zone]) -> Result<Counter, ConfigError> {
    let names: Vec<&str> = zones.iter().map(|zone| zone.name.as_str()).collect();
    let counter = Counter {
        zone: section.keyword("room", &names)?,
        calls_per_second: section.number("calls_per_second", 1.0..=1e9)?,
        delay: section.duration_or("delay", MILLIS)?,
        timeout: section.duration("timeout")?,
        queue_capacity: section.integer_or("line", 1..=1_000_000, 64)? as u32,
        recovery_time: section.duration_or("back_after", 5 * SECONDS)?,
    };
    section.reject_unknown_keys()?;
    Ok(counter)
}

pub(super) fn decode_limiter(section: &Section<'_>) -> Result<Limiter, ConfigError> {
    let limiter = Limiter {
        cores: section.number_or("cores", 0.01..=64.0, 1.0)?,
        cpu_per_request: section.duration("cpu_per_request")? as f64,
        sockets: section.integer_or("sockets", 96..=1_000_000, 1_024)? as u32,
        memory_mb: section.integer_or("memory_mb", 16..=1_000_000, 192)? as u32,
    };
    section.reject_unknown_keys()?;
    Ok(limiter)
}

pub(super) fn decode_discovery(section: Option<Section<'_>>) -> Result<Discovery, ConfigError> {
    let range_ms = |low, high| (low * MILLIS, high * MILLIS);
    let mut discovery = Discovery {
        removal_delay: range_ms(800, 3_200),
        silent_removal_delay: range_ms(8_000, 13_000),
        addition_delay: range_ms(300, 2_400),
        limiter_removal_delay: range_ms(900, 3_900),
    };
    if let Some(section) = section {
        for (key, range) in [
            ("notice_s", &mut discovery.removal_delay),
            ("silent_notice_s", &mut discovery.silent_removal_delay),
            ("add_s", &mut discovery.addition_delay),
            ("front_notice_s", &mut discovery.limiter_removal_delay),
        ] {
            if section.contains(key) {
                let (low, high) = section.range(key, 0.0..=3_600.0)?;
                *range = ((low * 1e6) as Micros, (high * 1e6) as Micros);
            }
        }
        section.reject_unknown_keys()?;
    }
    Ok(discovery)
}

pub(super) fn decode_rules(section: Option<Section<'_>>) -> Result<PlatformRules, ConfigError> {
    let mut rules = PlatformRules {
        drain_grace: 250 * MILLIS,
        overload_multiple: 4.0,
        overload_window: 2 * SECONDS,
        max_attempts: 4,
        max_retry_after: 500 * MILLIS,
        connect_timeout: 250 * MILLIS,
        keepalive: 30 * SECONDS,
        max_units: DEFAULT_MAX_UNITS,
    };
    if let Some(section) = section {
        rules.drain_grace = section.duration_or("drain_grace", rules.drain_grace)?;
        rules.overload_multiple = section.number_or("fall_multiple", 1.0..=1e6, rules.overload_multiple)?;
        rules.overload_window = section.duration_or("fall_window", rules.overload_window)?.max(MILLIS);
        rules.max_attempts = section.integer_or("max_attempts", 1..=16, 4)? as u32;
        rules.max_retry_after = section.duration_or("max_retry_after", rules.max_retry_after)?;
        rules.connect_timeout = section.duration_or("connect_timeout", rules.connect_timeout)?;
        rules.keepalive = section.duration_or("keepalive", rules.keepalive)?;
        rules.max_units = decode_max_units(&section)?;
        section.reject_unknown_keys()?;
    }
    Ok(rules)
}

pub(super) fn decode_max_units(rules: &Section<'_>) -> Result<u32, ConfigError> {
    Ok(rules.integer_or("most_units", 1..=1_000, u64::from(DEFAULT_MAX_UNITS))? as u32)
}
