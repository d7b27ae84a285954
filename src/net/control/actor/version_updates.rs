//! The control actor's handling of versions of the runtime configuration.

use std::sync::Arc;
use std::time::Duration;

use sedgestack::{Micros, Request, RequestId, VersionIndices};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::ControlActor;
use crate::info;
use crate::net::control::message::{ActiveVersions, ConfigVersion, Reply, VersionedReply};
use crate::net::control::request_table::RequestVersion;
use crate::net::control::versions::{ActiveVersion, ScheduledVersion, Version, VersionUpdate};
use crate::net::runtime::metrics::COUNTERS;

/// Minimum interval between two removals of unused classes and plans of old versions.
const RETIRE_VERSIONS_INTERVAL: Micros = 1_000_000;

/// Time after which a client should retry while the active version is unknown, which is one or two heartbeats.
const UNKNOWN_VERSION_RETRY_AFTER: Micros = 500_000;

impl ControlActor {
    /// Applies a report of the consensus actor. The classes and plans of a scheduled version are adopted before it
    /// becomes active.
    pub(super) fn on_versions_changed(&mut self, versions: ActiveVersions) {
        let current = self.adopt_version(versions.current);
        let scheduled = versions.scheduled.and_then(|next| {
            let version = self.adopt_version(next.version)?;
            Some(ScheduledVersion { activates_at: next.activates_at, version })
        });
        let (Some(current), Some(settings)) = (current, self.version_settings) else { return };
        let update = VersionUpdate { current, scheduled, valid_until: versions.valid_until };
        self.retire_versions(&update);
        match &mut self.active_version {
            Some(active) => active.update(update),
            None => self.active_version = Some(ActiveVersion::new(update, settings.policy, settings.wait)),
        }
    }

    fn adopt_version(&mut self, version: ConfigVersion) -> Option<Version> {
        // Documents are validated before the replicas vote on them. Adopting one fails only if this limiter was started
        // with other classes and plans than the others.
        let adopted = self.limiter.adopt_version(&version.classes, &version.plans);
        let indices =
            adopted.map_err(|e| info!("rules: version {} cannot be adopted: {e}", version.number)).ok()?;
        Some(Version {
            number: version.number,
            latency_objectives: version.classes.iter().map(|class| class.latency_objective).collect(),
            indices: Arc::new(indices),
            deadlines: version.deadlines.into(),
            max_retry_after: version.max_retry_after,
        })
    }

    /// Removes the classes and plans of versions that `update` does not name.
    fn retire_versions(&mut self, update: &VersionUpdate) {
        let now = self.clock.now();
        if now < self.versions_retired_at + RETIRE_VERSIONS_INTERVAL {
            return;
        }
        self.versions_retired_at = now;
        let scheduled = update.scheduled.iter().map(|next| &*next.version.indices);
        let in_use: Vec<&VersionIndices> = scheduled.chain([&*update.current.indices]).collect();
        self.limiter.retire_versions(&in_use);
    }

    pub(super) fn version_number_of(&self, id: RequestId) -> Option<u64> {
        self.requests.get(id)?.version.map(|version| version.number)
    }
}

pub(super) fn request_version_of(
    version: &Version,
    request: &Request,
    arrived_at: Instant,
) -> RequestVersion {
    RequestVersion {
        number: version.number,
        max_retry_after: version.max_retry_after,
        plan: request.plan,
        latency_objective: Duration::from_micros(version.latency_objective(request.class)),
        arrived_at,
    }
}

pub(super) fn reject_without_version(reply: oneshot::Sender<VersionedReply>) {
    COUNTERS.rules_unknown.increment();
    COUNTERS.rejections.increment();
    let _ = reply.send((Reply::Rejected { retry_after: UNKNOWN_VERSION_RETRY_AFTER }, None));
}
