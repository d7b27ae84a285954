//! The platform's settings and load reports, as its simulator and its sockets both word them.
//!
//! Translates only: JSON into [`Settings`] and the figures that the program round a gateway needs.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;

use crate::interface::*;

/// What is wrong with a setting; the text names its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault(pub String);

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingFault {}

/// Milliseconds of the platform to whole microseconds.
pub fn micros(ms: f64) -> Option<Micros> {
    let us = (ms * 1000.0).round();
    (0.0..9.0e15).contains(&us).then_some(us as Micros)
}

/// Names of classes and plans, to their place in the settings, and the load reports' columns.
#[derive(Clone, Debug)]
pub struct Names {
    classes: BTreeMap<String, usize>,
    plans: BTreeMap<String, usize>,
    columns: Vec<String>,
}

impl Names {
    /// Names in their places.
    pub fn new<'a>(
        classes: impl IntoIterator<Item = &'a str>,
        plans: impl IntoIterator<Item = &'a str>,
        columns: impl IntoIterator<Item = &'a str>,
    ) -> Names {
        let place = |(n, name): (usize, &str)| (name.to_string(), n);
        Names {
            classes: classes.into_iter().enumerate().map(place).collect(),
            plans: plans.into_iter().enumerate().map(place).collect(),
            columns: columns.into_iter().map(String::from).collect(),
        }
    }

    /// Place of a class in [`Settings::classes`].
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// Place of a plan in [`Settings::plans`].
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.get(name).copied()
    }

    /// Reads a load report: pairs set apart by commas, `mark` between name and value. Columns that the
    /// settings do not name are skipped.
    pub fn load_report(&self, text: &str, mark: char) -> Result<LoadReport, String> {
        let mut report = LoadReport::default();
        for pair in text.split(',').map(str::trim).filter(|p| !p.is_empty() && *p != "-") {
            let (name, value) =
                pair.split_once(mark).ok_or_else(|| format!("'{pair}' is not name{mark}value"))?;
            let number = value.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
            let value = number.ok_or_else(|| format!("'{value}' is no figure of a load report"))?;
            if !self.columns.iter().any(|c| c == name) {
                continue;
            }
            match name {
                "queue" => report.queue = Some(value),
                "inflight" => report.in_flight = Some(value),
                "util" => report.utilization = Some(value),
                "latency_ms" => report.latency = micros(value),
                _ => {}
            }
        }
        Ok(report)
    }
}

/// What the settings allow the program round a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A connection that is not up by then has failed.
    pub connect_wait: Micros,
    /// The other side closes a connection that has stood idle for so long.
    pub keepalive: Micros,
    /// Requests that may be open at once.
    pub max_open: usize,
    /// The longest that a client waits.
    pub longest_deadline: Micros,
}

/// The settings as the platform hands them out.
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

fn span(ms: f64, key: &str) -> Result<Micros, SettingFault> {
    micros(ms).ok_or_else(|| SettingFault(format!("settings.{key} is not a time")))
}

impl Document {
    /// Checks the figures and gives a gateway's settings, the names in them and the program's limits.
    pub fn decode(self) -> Result<(Settings, Names, Limits), SettingFault> {
        let mut classes = Vec::new();
        for p in &self.profiles {
            let group = match p.key_scope.as_str() {
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                "all" | "" => Group::All,
                other => return Err(SettingFault(format!("settings.profiles: keyScope {other} is unknown"))),
            };
            let effect = match p.repeat.as_str() {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed { group, window: span(p.window_ms, "profiles: windowMs")? },
                "unsafe" => Effect::Unsafe,
                other => return Err(SettingFault(format!("settings.profiles: repeat {other} is unknown"))),
            };
            classes.push(Class {
                name: p.name.clone(),
                worth: p.credit,
                aim: span(p.goal_time_ms.min(p.deadline_ms), "profiles: goalTimeMs")?,
                late_share: p.late_value,
                effect,
            });
        }
        let plan = |p: &PlanEntry| Plan {
            name: p.name.clone(),
            rate: p.rate,
            burst: p.most_at_once,
            open_limit: p.open,
            ceiling_rate: p.cap_rate,
            ceiling_burst: p.hard_burst,
            overrun_cost: p.overrun_cost,
            price: p.value_factor,
        };
        let names = Names::new(
            classes.iter().map(|c| c.name.as_str()),
            self.plans.iter().map(|p| p.name.as_str()),
            self.report.columns.iter().map(String::as_str),
        );
        let discovery = match self.discovery.as_str() {
            "ask" => Discovery::Ask { ask_every: span(self.rules.ask_every_ms, "rules.askEveryMs")? },
            _ => Discovery::Push,
        };
        let info = &self.family_info;
        let longest = self.profiles.iter().map(|p| p.deadline_ms).fold(0.0, f64::max);
        let limits = Limits {
            connect_wait: span(self.caps.connect_timeout_ms, "caps.connectTimeoutMs")?,
            keepalive: span(self.caps.keepalive_ms, "caps.keepaliveMs")?,
            max_open: self.caps.max_open,
            longest_deadline: span(longest, "profiles: deadlineMs")?,
        };
        let settings = Settings {
            gateway: self.self_index,
            gateways: self.n_instances,
            zone: self.locality,
            tick: span(self.granularity_ms, "granularityMs")?,
            classes,
            plans: self.plans.iter().map(plan).collect(),
            discovery,
            cold: ColdStart {
                share: self.rules.cold_from,
                warm_after: span(self.rules.cold_ms, "rules.coldMs")?,
                multiple: self.rules.fall_multiple,
                window: span(self.rules.fall_ms, "rules.fallMs")?,
            },
            drain_grace: span(self.rules.stop_sending_within_ms, "rules.stopSendingWithinMs")?,
            max_attempts: self.caps.max_attempts,
            second_copies: self.caps.second_copies,
            cancel: self.caps.cancel,
            probes: self.caps.probes,
            peer_messages: self.caps.peer_messages,
            max_retry_after: if self.caps.retry_after {
                span(self.caps.max_retry_after_ms, "caps.maxRetryAfterMs")?
            } else {
                0
            },
            counter_timeout: if info.has_counter {
                Some(span(info.count_wait_ms, "familyInfo.countWaitMs")?)
            } else {
                None
            },
            meter_period: span(info.metering_ms, "familyInfo.meteringMs")?,
            settles: info.cost_after,
            max_units: info.most_units,
        };
        Ok((settings, names, limits))
    }
}
