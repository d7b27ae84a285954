//! The versions of the runtime configuration as the control actor applies them: which version is active now, and
//! whether that is known.
//!
//! The consensus actor reports what the replicas agreed on. The active version at any time follows from the latest
//! report and the clock alone, so a process that was suspended uses the time at which it resumes.

use std::sync::Arc;

use sedgestack::{Micros, Request, VersionIndices};
use sedgestack_consensus::Slot;

#[cfg(test)]
mod tests;

/// What a limiter does once it has not known the active version for the configured time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnknownVersionPolicy {
    /// Rejects all requests until the active version is known.
    Reject,
    /// Serves requests under the last known version.
    #[default]
    Serve,
}

/// A version of the runtime configuration under which requests are accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    pub number: Slot,
    /// The decision logic's indices of this version's classes and plans, by their index in the configuration.
    pub indices: Arc<VersionIndices>,
    /// By class: the maximum time that a request may wait.
    pub deadlines: Arc<[Micros]>,
    /// By class: the latency objective, within which a response counts in full.
    pub latency_objectives: Arc<[Micros]>,
    pub max_retry_after: Micros,
}

impl Version {
    /// Returns the latency objective of a class, given its index in the configuration.
    pub fn latency_objective(&self, class: usize) -> Micros {
        self.latency_objectives.get(class).copied().unwrap_or(Micros::MAX)
    }

    /// Returns the maximum time that a request of a class may wait, given the class's index in the configuration.
    pub fn max_wait(&self, class: usize) -> Micros {
        self.deadlines.get(class).copied().unwrap_or(Micros::MAX)
    }

    /// Replaces the configuration indices of a request's class and plan with the decision logic's indices for this
    /// version.
    pub fn apply_to(&self, request: &mut Request) {
        let index_of = |indices: &[usize], index: usize| indices.get(index).copied().unwrap_or(index);
        request.class = index_of(&self.indices.classes, request.class);
        request.plan = index_of(&self.indices.plans, request.plan);
    }
}

/// A version that has been decided and will become active at `activates_at`.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledVersion {
    pub activates_at: Micros,
    pub version: Version,
}

/// A report of the consensus actor. Each report is complete, so only the latest one matters.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionUpdate {
    pub current: Version,
    /// The next version, if it has been decided.
    pub scheduled: Option<ScheduledVersion>,
    /// Time until which `current`, or `scheduled` from its activation on, is known to be active; 0 if that is unknown.
    pub valid_until: Micros,
}

/// Tracks the active version of one limiter.
#[derive(Debug)]
pub struct ActiveVersion {
    latest: VersionUpdate,
    policy: UnknownVersionPolicy,
    /// Time for which the active version must be unknown before `policy` applies.
    wait: Micros,
    unknown_since: Option<Micros>,
}

impl ActiveVersion {
    /// Creates a tracker from the first report.
    pub fn new(first: VersionUpdate, policy: UnknownVersionPolicy, wait: Micros) -> ActiveVersion {
        ActiveVersion { latest: first, policy, wait, unknown_since: None }
    }

    /// Replaces the latest report.
    pub fn update(&mut self, update: VersionUpdate) {
        self.latest = update;
    }

    /// Returns the version under which requests are accepted at `now`, or `None` if none may be accepted.
    pub fn active_at(&mut self, now: Micros) -> Option<&Version> {
        if let Some(due) = self.latest.scheduled.take_if(|next| now >= next.activates_at) {
            self.latest.current = due.version;
        }
        if now <= self.latest.valid_until {
            self.unknown_since = None;
        } else {
            let since = *self.unknown_since.get_or_insert(now);
            if now < since + self.wait || self.policy == UnknownVersionPolicy::Reject {
                return None;
            }
        }
        Some(&self.latest.current)
    }
}
