//! The settings in addition to the platform's configuration: the HCL file that `--settings` names.
//!
//! Without the file, everything here is off or at its default.

use std::path::{Path, PathBuf};

use sedgestack_capture::KeyedHash;
use sedgestack_hcl::{ConfigError, Document, Micros, Section};

use crate::net::control::versions::UnknownVersionPolicy;
use crate::net::runtime::log::Format;

#[cfg(test)]
mod tests;

/// Default maximum number of records that wait for the capture writer: 0.2 MB at 100 bytes each.
const DEFAULT_QUEUE_CAPACITY: u64 = 2_048;
/// Default maximum size of a capture, in MB.
const DEFAULT_MAX_MB: u64 = 64;
/// Length in bytes of the key for the hashes in a capture.
const HASH_KEY_BYTES: usize = 16;

const SECOND: Micros = 1_000_000;
const DEFAULT_LEASE: Micros = 3 * SECOND;
const DEFAULT_HEARTBEAT_INTERVAL: Micros = SECOND / 4;
const DEFAULT_MAX_CLOCK_SKEW: Micros = 400_000;
const DEFAULT_ACTIVATION_DELAY: Micros = 6 * SECOND;
const DEFAULT_MAX_DATAGRAMS_PER_SECOND: u64 = 40;
/// Maximum length of each time span of a canary analysis, in seconds.
const MAX_CANARY_SPAN_S: u64 = 600;

/// The contents of the settings file.
#[derive(Clone, Default)]
pub struct Settings {
    pub log: Format,
    pub capture: Option<CaptureSettings>,
    pub tier: Option<TierSettings>,
}

/// Settings for the agreement of limiters on versions of the runtime configuration.
#[derive(Clone)]
pub struct TierSettings {
    /// The file that stores the replica's state; `{name}` stands for the limiter's name.
    pub store: Option<String>,
    pub heartbeat_interval: Micros,
    pub fanout: u16,
    pub lease: Micros,
    pub max_clock_skew: Micros,
    pub activation_delay: Micros,
    pub max_datagrams_per_second: u32,
    /// What to do with requests once the active version has been unknown for longer than `unknown_version_wait`.
    pub unknown_version_policy: UnknownVersionPolicy,
    pub unknown_version_wait: Micros,
    /// How long a process waits for the one that it replaces to end.
    pub handover_wait: Micros,
    /// Settings of the canary analysis, which rolls changes back automatically; `None` turns it off.
    pub canary: Option<sedgestack_canary::Settings>,
    /// For rehearsals only: how many microseconds this limiter's time of day is ahead of the machine's.
    pub clock_offset: i64,
}

impl TierSettings {
    /// Describes, for `check`, the longest time that two versions may be active at once: the clock skew, and without
    /// a bound if a limiter that is cut off serves under the last version that it knew.
    pub fn describe_version_overlap(&self) -> String {
        let skew = self.max_clock_skew / 1_000;
        match self.unknown_version_policy {
            UnknownVersionPolicy::Reject => format!("two versions active at once: {skew} ms at most (clock skew)"),
            UnknownVersionPolicy::Serve => format!(
                "two versions active at once: {skew} ms at most (clock skew) among connected limiters; one that is cut \
                 off rejects requests from {} ms on for {} ms, and then serves under the last version it knew",
                self.lease / 1_000,
                self.unknown_version_wait / 1_000
            ),
        }
    }
}

/// Settings of the capture.
#[derive(Clone)]
pub struct CaptureSettings {
    /// Path of the file; `{name}` and `{started}` stand for the limiter's name and the Unix second of its start.
    pub file: String,
    pub hash: KeyedHash,
    /// Maximum number of records that wait for the writer; further ones are dropped and counted.
    pub queue_capacity: usize,
    /// Maximum size of the file, in bytes.
    pub max_bytes: u64,
}

impl CaptureSettings {
    /// Returns the path of the file for a limiter that started at Unix second `started`.
    pub fn path(&self, name: &str, started: u64) -> PathBuf {
        self.file.replace("{name}", name).replace("{started}", &started.to_string()).into()
    }
}

/// Reads and checks the settings file.
///
/// # Errors
/// Returns an error that names the file, line, column and key at fault, and what was expected there.
pub fn read(path: &Path) -> Result<Settings, ConfigError> {
    decode(&Document::read(path)?)
}

fn decode(document: &Document) -> Result<Settings, ConfigError> {
    let root = document.root();
    let mut settings = Settings::default();
    if let Some(log) = root.optional_block("log")? {
        settings.log = decode_log(&log)?;
    }
    settings.capture = root.optional_block("capture")?.map(|s| decode_capture(&s)).transpose()?;
    settings.tier = root.optional_block("tier")?.map(|s| decode_tier(&s)).transpose()?;
    root.reject_unknown_keys()?;
    Ok(settings)
}

fn decode_log(s: &Section<'_>) -> Result<Format, ConfigError> {
    let format = [Format::Text, Format::Json][s.keyword_or_first("format", &["text", "json"])?];
    s.reject_unknown_keys()?;
    Ok(format)
}

fn decode_tier(s: &Section<'_>) -> Result<TierSettings, ConfigError> {
    let store = decode_store(s)?;
    let lease = s.duration_or("lease", DEFAULT_LEASE)?;
    let clock_offset = decode_clock_offset(s)?;
    let tier = TierSettings {
        store,
        heartbeat_interval: s.duration_or("round", DEFAULT_HEARTBEAT_INTERVAL)?,
        fanout: s.integer_or("fanout", 1..=8, 2)? as u16,
        lease,
        max_clock_skew: s.duration_or("skew", DEFAULT_MAX_CLOCK_SKEW)?,
        activation_delay: s.duration_or("lead", DEFAULT_ACTIVATION_DELAY)?,
        max_datagrams_per_second: s.integer_or("intake", 8..=1_000, DEFAULT_MAX_DATAGRAMS_PER_SECOND)? as u32,
        unknown_version_policy: [UnknownVersionPolicy::Serve, UnknownVersionPolicy::Reject]
            [s.keyword_or_first("unknown", &["serve", "refuse"])?],
        unknown_version_wait: s.duration_or("wait", lease)?,
        handover_wait: s.duration_or("hand_over", 0)?,
        canary: s.optional_block("watch")?.map(|s| decode_canary(&s)).transpose()?,
        clock_offset,
    };
    s.reject_unknown_keys()?;
    Ok(tier)
}

fn decode_store(s: &Section<'_>) -> Result<Option<String>, ConfigError> {
    if !s.contains("store") {
        return Ok(None);
    }
    let store = s.string("store")?.to_string();
    if store.is_empty() {
        return Err(s.error_at("store", "expected a path such as \"/var/lib/sedgestack/{name}.redb\""));
    }
    Ok(Some(store))
}

/// Decodes the clock offset, in microseconds. It is accepted only in rehearsals, because a wrong clock would harm a
/// limiter in service.
fn decode_clock_offset(s: &Section<'_>) -> Result<i64, ConfigError> {
    let is_rehearsal = s.bool_or("rehearsal", false)?;
    let offset_ms = s.number_or("clock_offset_ms", -60_000.0..=60_000.0, 0.0)?;
    if offset_ms != 0.0 && !is_rehearsal {
        return Err(s.error_at("clock_offset_ms", "expected only where rehearsal = true"));
    }
    Ok((offset_ms * 1e3) as i64)
}

fn decode_canary(s: &Section<'_>) -> Result<sedgestack_canary::Settings, ConfigError> {
    let defaults = sedgestack_canary::Settings::default();
    let seconds = |key, min: u64, default: u32| -> Result<u32, ConfigError> {
        let span = s.duration_or(key, u64::from(default) * SECOND)?;
        let is_whole = span % SECOND == 0 && (min..=MAX_CANARY_SPAN_S).contains(&(span / SECOND));
        let expected = format!("expected whole seconds, from \"{min}s\" to \"{MAX_CANARY_SPAN_S}s\"");
        is_whole.then_some((span / SECOND) as u32).ok_or_else(|| s.error_at(key, expected))
    };
    let settings = sedgestack_canary::Settings {
        baseline_s: seconds("before", 10, defaults.baseline_s)?,
        analysis_s: seconds("span", 3, defaults.analysis_s)?,
        first_evaluation_s: seconds("first_look", 3, defaults.first_evaluation_s)?,
        false_alarm_rate: s.number_or("false_alarms", 1e-6..=0.5, defaults.false_alarm_rate)?,
        min_drop: s.number_or("least_drop", 0.0..=1.0, defaults.min_drop)?,
    };
    settings.check().map_err(|e| s.error(e.to_string()))?;
    s.reject_unknown_keys()?;
    Ok(settings)
}

fn decode_capture(s: &Section<'_>) -> Result<CaptureSettings, ConfigError> {
    let file = s.string("file")?.to_string();
    if file.is_empty() {
        return Err(s.error_at("file", "expected a path such as \"captures/{name}-{started}.sedgecap\""));
    }
    let key = hash_key(s.string("key")?);
    let key = key.ok_or_else(|| s.error_at("key", "expected 32 hex digits, the same at every limiter"))?;
    let capture = CaptureSettings {
        file,
        hash: KeyedHash::new(key),
        queue_capacity: s.integer_or("queue", 1..=1_000_000, DEFAULT_QUEUE_CAPACITY)? as usize,
        max_bytes: s.integer_or("most_mb", 1..=1_000_000, DEFAULT_MAX_MB)? << 20,
    };
    s.reject_unknown_keys()?;
    Ok(capture)
}

/// Parses the key of a capture's hashes. Returns `None` unless there are exactly as many hex digits as the key needs.
fn hash_key(digits: &str) -> Option<[u8; HASH_KEY_BYTES]> {
    if digits.len() != 2 * HASH_KEY_BYTES {
        return None;
    }
    let byte = |n: usize| u8::from_str_radix(digits.get(2 * n..2 * n + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..HASH_KEY_BYTES).map(byte).collect();
    bytes?.try_into().ok()
}
