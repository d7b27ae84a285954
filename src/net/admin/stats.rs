//! The statistics that operators read at `/admin/stats`: written where each event happens, read without a lock.
//!
//! All start at 0 with the process. Each count has one writer: answers the listener, attempts the upstream connection
//! that wrote them, endpoints the control actor.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

use axum::http::StatusCode;
use serde_json::{json, Map, Value};

/// Counts of the answers of one class.
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

    /// The count under which an answer falls.
    fn count(&self, status: StatusCode) -> &AtomicU64 {
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

/// The statistics of one process.
pub struct AdminStats {
    classes: Vec<ClassStats>,
    attempts: AtomicU64,
    pending: AtomicI64,
    backends: AtomicU64,
    unavailable_backends: AtomicU64,
    /// The active version of the runtime configuration; [`NO_VERSION`] where there are no versions.
    active_version: AtomicU64,
}

const NO_VERSION: u64 = u64::MAX;

impl AdminStats {
    /// Statistics of the classes named, in the order of their places in the settings.
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

    /// A request whose class is known was accepted: it is pending until [`AdminStats::record_request_ended`].
    pub fn record_request_started(&self) {
        self.pending.fetch_add(1, Relaxed);
    }

    /// A request of the class at place `class` ended; `status` is its answer's, `None` where its client went away
    /// first and there is no answer to count.
    pub fn record_request_ended(&self, class: usize, status: Option<StatusCode>) {
        self.pending.fetch_sub(1, Relaxed);
        if let (Some(class), Some(status)) = (self.classes.get(class), status) {
            class.count(status).fetch_add(1, Relaxed);
        }
    }

    /// An attempt was written whole to a backend.
    pub fn record_attempt_written(&self) {
        self.attempts.fetch_add(1, Relaxed);
    }

    /// How many backends the endpoint list names, and how many of them get no new requests now.
    pub fn set_backend_counts(&self, all: usize, unavailable: usize) {
        self.backends.store(all as u64, Relaxed);
        self.unavailable_backends.store(unavailable as u64, Relaxed);
    }

    /// Sets the active version of the runtime configuration.
    pub fn set_active_version(&self, version: u64) {
        self.active_version.store(version, Relaxed);
    }

    /// All statistics as JSON: `downstream_requests.CLASS.completed|rejected|failed`, `upstream_requests`,
    /// `pending`, `members`, `members_unavailable`, and where limiters agree on versions, `rules`.
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
