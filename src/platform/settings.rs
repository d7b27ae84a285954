//! The platform's settings document: its sections, validation and translation.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;

use super::{micros, NameIndex};
use crate::interface::*;

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings.{key}: {value}, expected {expected}")]
pub struct SettingError {
    /// Path of the setting within the document.
    pub key: String,
    /// The invalid value, as text.
    pub value: String,
    /// Description of a valid value, which follows "expected" in the message.
    pub expected: &'static str,
}

impl SettingError {
    fn new(key: impl Into<String>, value: impl fmt::Display, expected: &'static str) -> SettingError {
        SettingError { key: key.into(), value: value.to_string(), expected }
    }
}

/// Limits that the settings set for the program around a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Timeout for establishing a connection.
    pub connect_timeout: Micros,
    /// Time after which the other side closes an idle connection.
    pub keepalive: Micros,
    /// Maximum number of requests open at once.
    pub max_open: usize,
    /// The longest deadline of all classes.
    pub longest_deadline: Micros,
}

/// The settings document that the platform provides.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Document {
    caps: Caps,
    #[serde(default)]
    discovery: String,
    family_info: FamilyInfo,
    granularity_ms: f64,
    #[serde(default)]
    locality: String,
    n_instances: u32,
    plans: Vec<PlanEntry>,
    profiles: Vec<Profile>,
    #[serde(default)]
    report: Report,
    rules: Rules,
    #[serde(default)]
    self_index: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Caps {
    cancel: bool,
    connect_timeout_ms: f64,
    keepalive_ms: f64,
    max_attempts: u32,
    max_open: usize,
    max_retry_after_ms: f64,
    peer_messages: bool,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
}

impl Default for Caps {
    fn default() -> Self {
        Caps {
            cancel: false,
            connect_timeout_ms: 250.0,
            keepalive_ms: 30_000.0,
            max_attempts: 1,
            max_open: 20_000,
            max_retry_after_ms: 0.0,
            peer_messages: false,
            probes: false,
            retry_after: false,
            second_copies: false,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    cost_after: bool,
    count_wait_ms: f64,
    has_counter: bool,
    metering_ms: f64,
    most_units: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PlanEntry {
    name: String,
    #[serde(default)]
    cap_rate: f64,
    #[serde(default)]
    hard_burst: f64,
    #[serde(default)]
    most_at_once: f64,
    #[serde(default)]
    open: u32,
    #[serde(default)]
    overrun_cost: f64,
    #[serde(default)]
    rate: f64,
    #[serde(default)]
    value_factor: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Profile {
    name: String,
    goal_time_ms: f64,
    deadline_ms: f64,
    repeat: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    window_ms: f64,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    credit: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Report {
    columns: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    #[serde(default)]
    ask_every_ms: f64,
    cold_from: f64,
    cold_ms: f64,
    fall_ms: f64,
    fall_multiple: f64,
    stop_sending_within_ms: f64,
}

/// Converts a time in milliseconds, or returns an error that names `key`.
fn parse_millis(ms: f64, key: &str) -> Result<Micros, SettingError> {
    micros(ms).ok_or_else(|| SettingError::new(key, ms, "a time in milliseconds of 0 or more"))
}

/// Returns an error unless all numbers, given with their keys, are finite and not negative.
fn check_not_negative<'a>(numbers: impl IntoIterator<Item = (String, &'a f64)>) -> Result<(), SettingError> {
    match numbers.into_iter().find(|(_, value)| !value.is_finite() || **value < 0.0) {
        Some((key, value)) => Err(SettingError::new(key, value, "a number of 0 or more")),
        None => Ok(()),
    }
}

/// Checks the names that requests refer to: there must be at least one, none may be empty, and each must be
/// unique.
fn check_names<'a>(key: &str, names: impl IntoIterator<Item = &'a String>) -> Result<(), SettingError> {
    let mut seen = BTreeSet::new();
    for (n, name) in names.into_iter().enumerate() {
        let key = format!("{key}[{n}].name");
        if name.is_empty() {
            return Err(SettingError::new(key, "''", "a name"));
        }
        if !seen.insert(name) {
            return Err(SettingError::new(key, format!("'{name}'"), "a unique name"));
        }
    }
    if seen.is_empty() {
        return Err(SettingError::new(key, "[]", "at least one entry"));
    }
    Ok(())
}

impl PlanEntry {
    /// Returns the numbers of the plan with their keys.
    fn numbers(&self) -> [(&'static str, &f64); 6] {
        [
            ("rate", &self.rate),
            ("mostAtOnce", &self.most_at_once),
            ("capRate", &self.cap_rate),
            ("hardBurst", &self.hard_burst),
            ("overrunCost", &self.overrun_cost),
            ("valueFactor", &self.value_factor),
        ]
    }

    fn decode(&self) -> Plan {
        Plan {
            name: self.name.clone(),
            rate: self.rate,
            burst: self.most_at_once,
            concurrency_limit: self.open,
            ceiling_rate: self.cap_rate,
            ceiling_burst: self.hard_burst,
            over_quota_cost: self.overrun_cost,
            price: self.value_factor,
        }
    }
}

impl Profile {
    /// Returns the numbers of the profile with their keys.
    fn numbers(&self) -> [(&'static str, &f64); 2] {
        [("credit", &self.credit), ("lateValue", &self.late_value)]
    }

    /// Returns the class that the profile describes; `n` is its position in the document.
    fn decode(&self, n: usize) -> Result<Class, SettingError> {
        let key = |key: &str| format!("profiles[{n}].{key}");
        let scope = self.decode_key_scope(&key("keyScope"))?;
        let idempotency = match self.repeat.as_str() {
            "safe" => Idempotency::Idempotent,
            "keyed" => {
                let window = parse_millis(self.window_ms, &key("windowMs"))?;
                Idempotency::IdempotencyKey { scope, window }
            }
            "unsafe" => Idempotency::NotIdempotent,
            other => return Err(SettingError::new(key("repeat"), other, "safe, keyed or unsafe")),
        };
        let objective = parse_millis(self.goal_time_ms, &key("goalTimeMs"))?;
        let deadline = parse_millis(self.deadline_ms, &key("deadlineMs"))?;
        Ok(Class {
            name: self.name.clone(),
            priority_weight: self.credit,
            latency_objective: objective.min(deadline),
            late_weight_share: self.late_value,
            idempotency,
        })
    }

    fn decode_key_scope(&self, key: &str) -> Result<KeyScope, SettingError> {
        match self.key_scope.as_str() {
            "zone" => Ok(KeyScope::Zone),
            "cell" => Ok(KeyScope::Cell),
            "all" | "" => Ok(KeyScope::All),
            other => Err(SettingError::new(key, other, "all, zone or cell")),
        }
    }
}

impl Rules {
    fn decode_slow_start(&self) -> Result<SlowStart, SettingError> {
        Ok(SlowStart {
            initial_share: self.cold_from,
            duration: parse_millis(self.cold_ms, "rules.coldMs")?,
            overload_multiple: self.fall_multiple,
            overload_window: parse_millis(self.fall_ms, "rules.fallMs")?,
        })
    }
}

impl Caps {
    fn decode_max_retry_after(&self) -> Result<Micros, SettingError> {
        if self.retry_after {
            parse_millis(self.max_retry_after_ms, "caps.maxRetryAfterMs")
        } else {
            Ok(0)
        }
    }
}

impl FamilyInfo {
    fn decode_counter_timeout(&self) -> Result<Option<Micros>, SettingError> {
        if self.has_counter {
            parse_millis(self.count_wait_ms, "familyInfo.countWaitMs").map(Some)
        } else {
            Ok(None)
        }
    }
}

impl Document {
    /// Rejects values that are unusable both at startup and on a reload.
    fn check(&self) -> Result<(), SettingError> {
        check_names("profiles", self.profiles.iter().map(|profile| &profile.name))?;
        check_names("plans", self.plans.iter().map(|plan| &plan.name))?;
        if self.self_index >= self.n_instances.max(1) {
            return Err(SettingError::new("selfIndex", self.self_index, "a number below nInstances"));
        }
        if self.caps.max_attempts == 0 {
            return Err(SettingError::new("caps.maxAttempts", 0, "1 or more"));
        }
        if self.rules.cold_from > 1.0 {
            return Err(SettingError::new("rules.coldFrom", self.rules.cold_from, "a share from 0 to 1"));
        }
        self.check_numbers()
    }

    fn check_numbers(&self) -> Result<(), SettingError> {
        let profiles = self.profiles.iter().enumerate().flat_map(|(n, profile)| {
            profile.numbers().map(|(key, value)| (format!("profiles[{n}].{key}"), value))
        });
        let plans =
            self.plans.iter().enumerate().flat_map(|(n, plan)| {
                plan.numbers().map(|(key, value)| (format!("plans[{n}].{key}"), value))
            });
        let others = [
            ("rules.coldFrom", &self.rules.cold_from),
            ("rules.fallMultiple", &self.rules.fall_multiple),
            ("familyInfo.mostUnits", &self.family_info.most_units),
        ]
        .map(|(key, value)| (key.to_string(), value));
        check_not_negative(profiles.chain(plans).chain(others))
    }

    /// Validates the document and returns the limiter's settings, the index of their names, and the resource
    /// limits of the program.
    ///
    /// # Errors
    ///
    /// Returns the first setting with an invalid value.
    pub fn decode(self) -> Result<(Settings, NameIndex, ResourceLimits), SettingError> {
        self.check()?;
        let classes = self.decode_classes()?;
        let names = self.decode_names();
        let discovery = self.decode_discovery()?;
        let limits = self.decode_limits()?;
        let settings = Settings {
            limiter: self.self_index,
            limiters: self.n_instances,
            zone: self.locality,
            tick: parse_millis(self.granularity_ms, "granularityMs")?,
            classes,
            plans: self.plans.iter().map(PlanEntry::decode).collect(),
            discovery,
            slow_start: self.rules.decode_slow_start()?,
            drain_grace: parse_millis(self.rules.stop_sending_within_ms, "rules.stopSendingWithinMs")?,
            max_attempts: self.caps.max_attempts,
            hedged_requests: self.caps.second_copies,
            cancel: self.caps.cancel,
            health_checks: self.caps.probes,
            peer_messages: self.caps.peer_messages,
            max_retry_after: self.caps.decode_max_retry_after()?,
            counter_timeout: self.family_info.decode_counter_timeout()?,
            meter_period: parse_millis(self.family_info.metering_ms, "familyInfo.meteringMs")?,
            actual_cost_reported: self.family_info.cost_after,
            max_units: self.family_info.most_units,
        };
        Ok((settings, names, limits))
    }

    fn decode_classes(&self) -> Result<Vec<Class>, SettingError> {
        self.profiles.iter().enumerate().map(|(n, profile)| profile.decode(n)).collect()
    }

    fn decode_names(&self) -> NameIndex {
        NameIndex::new(
            self.profiles.iter().map(|profile| profile.name.as_str()),
            self.plans.iter().map(|plan| plan.name.as_str()),
            self.report.columns.iter().map(String::as_str),
        )
    }

    fn decode_discovery(&self) -> Result<Discovery, SettingError> {
        match self.discovery.as_str() {
            "ask" => {
                Ok(Discovery::Poll { interval: parse_millis(self.rules.ask_every_ms, "rules.askEveryMs")? })
            }
            _ => Ok(Discovery::Push),
        }
    }

    fn decode_limits(&self) -> Result<ResourceLimits, SettingError> {
        let longest_ms = self.profiles.iter().map(|profile| profile.deadline_ms).fold(0.0, f64::max);
        Ok(ResourceLimits {
            connect_timeout: parse_millis(self.caps.connect_timeout_ms, "caps.connectTimeoutMs")?,
            keepalive: parse_millis(self.caps.keepalive_ms, "caps.keepaliveMs")?,
            max_open: self.caps.max_open,
            longest_deadline: parse_millis(longest_ms, "profiles: deadlineMs")?,
        })
    }
}
