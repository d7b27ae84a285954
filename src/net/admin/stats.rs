//! Statistics for operators, served at `/admin/stats`. They are written where each event happens and read without a
//! lock.
//!
//! All start at 0 with the process. Each count has one writer: the listener for responses, the upstream connection for
//! the attempts that it wrote, and the control actor for endpoints.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

use axum::http::StatusCode;
use serde_json::{json, Map, Value};

/// Counts the responses of one class by result.
struct ClassStats {
    name: String,
    completed: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

impl ClassStats {
    fn new(name: &str) -> ClassStats {
        ClassStats {
            name: name.to_string(),
            completed: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }
    }

    /// Returns the counter for a response with `status`.
    fn counter(&self, status: StatusCode) -> &AtomicU64 {
        if status.is_success() {
            &self.completed
        } else if status.is_client_error() {
            &self.rejected
        } else {
            &self.failed
        }
    }

    fn json(&self) -> Value {
        json!({
            "completed": self.completed.load(Relaxed),
            "rejected": self.rejected.load(Relaxed),
            "failed": self.failed.load(Relaxed),
        })
    }
}

/// The statistics of the process.
pub struct AdminStats {
    classes: Vec<ClassStats>,
    attempts: AtomicU64,
    pending: AtomicI64,
    backends: AtomicU64,
    unavailable_backends: AtomicU64,
    /// Active version of the runtime configuration, or [`NO_VERSION`] if there are no versions.
    active_version: AtomicU64,
}

/// Value of `active_version` while limiters do not agree on versions.
const NO_VERSION: u64 = u64::MAX;

impl AdminStats {
    /// Creates statistics for the named classes, in the order of the settings.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> AdminStats {
        AdminStats {
            classes: classes.into_iter().map(ClassStats::new).collect(),
            attempts: AtomicU64::new(0),
            pending: AtomicI64::new(0),
            backends: AtomicU64::new(0),
            unavailable_backends: AtomicU64::new(0),
            active_version: AtomicU64::new(NO_VERSION),
        }
    }

    /// Records that a request of a known class was received. It is pending until
    /// [`AdminStats::record_request_ended`].
    pub fn record_request_started(&self) {
        self.pending.fetch_add(1, Relaxed);
    }

    /// Records that a request of class `class`, an index into the settings, has ended with `status`. `None` means
    /// that its client disconnected first, so that there is no response to count.
    pub fn record_request_ended(&self, class: usize, status: Option<StatusCode>) {
        self.pending.fetch_sub(1, Relaxed);
        if let (Some(class), Some(status)) = (self.classes.get(class), status) {
            class.counter(status).fetch_add(1, Relaxed);
        }
    }

    /// Records that an attempt was written completely to a backend.
    pub fn record_attempt_written(&self) {
        self.attempts.fetch_add(1, Relaxed);
    }

    /// Sets the number of backends in the endpoint list, and how many of them currently get no new requests.
    pub fn set_backend_counts(&self, all: usize, unavailable: usize) {
        self.backends.store(all as u64, Relaxed);
        self.unavailable_backends.store(unavailable as u64, Relaxed);
    }

    /// Sets the active version of the runtime configuration.
    pub fn set_active_version(&self, version: u64) {
        self.active_version.store(version, Relaxed);
    }

    /// Returns all statistics as JSON: `downstream_requests.CLASS.completed|rejected|failed`, `upstream_requests`,
    /// `pending`, `members`, `members_unavailable`, and `rules` if limiters agree on versions.
    pub fn json(&self) -> Value {
        let classes: Map<String, Value> =
            self.classes.iter().map(|class| (class.name.clone(), class.json())).collect();
        let mut json = json!({
            "downstream_requests": classes,
            "upstream_requests": self.attempts.load(Relaxed),
            "pending": self.pending.load(Relaxed).max(0),
            "members": self.backends.load(Relaxed),
            "members_unavailable": self.unavailable_backends.load(Relaxed),
        });
        let version = self.active_version.load(Relaxed);
        if version != NO_VERSION {
            json["rules"] = version.into();
        }
        json
    }
}

#[cfg(test)]
mod tests;
