//! What the control actor publishes about itself: whether it is ready, and the numbers of backends.

use std::sync::atomic::Ordering::Relaxed;

use sedgestack::Micros;

use super::ControlActor;
use crate::net::runtime::log;

/// Interval at which the backend counts are published without a change of the endpoints or cordons: backends also
/// become outliers, or recover, in between.
const BACKEND_COUNTS_INTERVAL: Micros = 250_000;

/// Minimum interval between two publications of the backend counts, which are taken over all backends.
const MIN_BACKEND_COUNTS_INTERVAL: Micros = 20_000;

impl ControlActor {
    /// Updates the readiness flag. Without versions, the limiter becomes ready once a backend is in service and then
    /// stays ready. With versions, it is ready while a backend is in service and the active version is known.
    ///
    /// A new process first waits for discovery, because the endpoints in its configuration may be draining or gone by
    /// now.
    pub(super) fn update_readiness(&mut self, now: Micros) {
        let has_versions = self.version_settings.is_some();
        if !has_versions && self.ready.load(Relaxed) {
            return;
        }
        let version = self.active_version.as_mut().and_then(|active| active.active_at(now));
        let version = version.map(|version| version.number);
        if let Some(version) = version {
            self.stats.set_active_version(version);
            log::set_active_version(version);
        }
        let is_version_known = !has_versions || version.is_some();
        let has_waited = self.has_heard_from_discovery || now >= self.discovery_wait_end;
        self.ready.store(has_waited && is_version_known && self.endpoints.has_backend_in_service(), Relaxed);
    }

    pub(super) fn publish_backend_counts(&mut self, now: Micros) {
        let interval =
            if self.backend_counts_changed { MIN_BACKEND_COUNTS_INTERVAL } else { BACKEND_COUNTS_INTERVAL };
        let due = self.backend_counts_published_at + interval;
        if now < due {
            if self.backend_counts_changed && self.backend_counts_scheduled_for != due {
                self.backend_counts_scheduled_for = due;
                self.timers.schedule(due);
            }
            return;
        }
        self.backend_counts_changed = false;
        self.backend_counts_published_at = now;
        let counts = self.limiter.backend_counts();
        self.stats.set_backend_counts(counts.listed, counts.avoided);
    }
}
