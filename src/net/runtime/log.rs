//! The log: lines written to standard error with `tracing`, as text or JSON, limited in number per second.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::net::runtime::metrics::COUNTERS;

/// Maximum number of log lines per second. Further ones are left out to protect standard error and its reader.
const MAX_LINES_PER_SECOND: u64 = 20;

/// Of them, maximum number of lines about single requests and connections, so that these do not keep out others.
const MAX_EXCHANGE_LINES_PER_SECOND: u64 = 10;

static LINE_RATE: LineRate = LineRate::new(MAX_LINES_PER_SECOND);
static EXCHANGE_LINE_RATE: LineRate = LineRate::new(MAX_EXCHANGE_LINES_PER_SECOND);
/// Whether lines are JSON.
static IS_JSON: AtomicBool = AtomicBool::new(false);

/// The version of the runtime configuration that JSON lines name.
static ACTIVE_VERSION: AtomicU64 = AtomicU64::new(NO_VERSION);
/// Value of `ACTIVE_VERSION` while limiters do not agree on versions.
const NO_VERSION: u64 = u64::MAX;

/// Sets the version of the runtime configuration that JSON lines name.
pub fn set_active_version(version: u64) {
    ACTIVE_VERSION.store(version, Relaxed);
}

/// Returns the version of the runtime configuration that a line must name, if any.
pub fn active_version() -> Option<u64> {
    Some(ACTIVE_VERSION.load(Relaxed)).filter(|v| *v != NO_VERSION && IS_JSON.load(Relaxed))
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    #[default]
    Text,
    Json,
}

/// Starts the log. Lines written before are lost. A second call has no effect.
pub fn start(format: Format) {
    let lines = tracing_subscriber::fmt().with_writer(io::stderr).with_ansi(false).with_target(false);
    IS_JSON.store(format == Format::Json, Relaxed);
    let _ = match format {
        Format::Text => lines.try_init(),
        Format::Json => lines.json().flatten_event(true).try_init(),
    };
}

/// Prints the counters as one line in the format of the log.
pub fn print_counters() {
    if IS_JSON.load(Relaxed) {
        eprintln!("{}", COUNTERS.json());
    } else {
        eprintln!("{COUNTERS}");
    }
}

/// Counts the lines of the current second.
struct LineRate {
    max_per_second: u64,
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineRate {
    const fn new(max_per_second: u64) -> LineRate {
        LineRate { max_per_second, second: AtomicU64::new(0), lines: AtomicU64::new(0) }
    }

    /// Returns `Some` if a line may be written in `second`. The value is the number of lines left out in the latest
    /// earlier second that had lines; it is 0 unless this is the first line of its second.
    fn admit(&self, second: u64) -> Option<u64> {
        let is_same_second = self.second.swap(second, Relaxed) == second;
        let before = if is_same_second { 0 } else { self.lines.swap(0, Relaxed) };
        let written = self.lines.fetch_add(1, Relaxed);
        (written < self.max_per_second).then(|| before.saturating_sub(self.max_per_second))
    }
}

fn current_second() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Returns `Some` if a line may be written now, with the number of lines left out before it.
pub fn acquire_line() -> Option<u64> {
    LINE_RATE.admit(current_second())
}

/// Whether a line about a single request or connection may be written now, as far as such lines are limited.
pub fn acquire_exchange_line() -> bool {
    EXCHANGE_LINE_RATE.admit(current_second()).is_some()
}

/// Writes a line of level info to the log, unless the limit for the current second is reached. Use this macro instead
/// of `tracing::info!`, which has no limit.
#[macro_export]
macro_rules! info {
    ($($words:tt)*) => {
        if let Some(left_out) = $crate::net::runtime::log::acquire_line() {
            if left_out > 0 {
                tracing::warn!(left_out, "lines left out");
            }
            match $crate::net::runtime::log::active_version() {
                Some(rules) => tracing::info!(rules, $($words)*),
                None => tracing::info!($($words)*),
            }
        }
    };
}

/// Like [`info!`](crate::info), for a line about a single request or connection. Their number is limited on its own.
#[macro_export]
macro_rules! exchange_info {
    ($($words:tt)*) => {
        if $crate::net::runtime::log::acquire_exchange_line() {
            $crate::info!($($words)*);
        }
    };
}

#[cfg(test)]
mod tests;
