//! The version lease, which states how long a replica may rely on the version that it knows, and the replica's status.
//!
//! A heartbeat reports the highest slot that its sender has accepted. Deciding a version takes a majority, and every
//! two majorities share a replica: a replica that has heard from a majority within the lease therefore knows of every
//! version that may be active.

use crate::event::ReplicaEvent;
use crate::replica::Replica;
use crate::{Digest, Micros, ReplicaId, Slot};

/// Whether a replica may rely on the version that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReplicaStatus {
    /// The replica knows the active version.
    Current,
    /// A newer version may be active that the replica does not know or has not activated.
    Behind,
    /// The replica has not seen a majority within the lease, or its clock differs too much from theirs.
    Detached,
}

/// How long a replica knows the active version if it receives no further datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionLease {
    /// End of the lease by the replica's own clock; 0 if the active version is not known now.
    pub valid_until: Micros,
    /// The decided version that the replica will activate: the time of its activation, the version and its document.
    pub scheduled: Option<(Micros, Slot, Digest)>,
}

impl Replica {
    /// Returns how long this replica knows the active version if it receives no further datagrams.
    pub fn version_lease(&self) -> VersionLease {
        let scheduled = self.scheduled_activation();
        let valid_until = match self.status {
            ReplicaStatus::Current => {
                let until = self.lease_end_by_last_seen().min(self.lease_end_by_open_vote());
                until.min(self.lease_end_by_activation(scheduled.map(|(from, ..)| from)))
            }
            ReplicaStatus::Behind | ReplicaStatus::Detached => 0,
        };
        VersionLease { valid_until, scheduled }
    }

    /// Returns the activation of the decided version, if it is still to come and the document is available.
    fn scheduled_activation(&self) -> Option<(Micros, Slot, Digest)> {
        if self.learner.is_active() {
            return None;
        }
        let from = self.activation_time()?;
        Some((from, self.learner.decided(), self.learner.value().active_document()?))
    }

    /// Returns the end of the lease granted by the latest heartbeats of a majority. The replica counts itself as seen
    /// at any time, as it always knows what it has accepted.
    fn lease_end_by_last_seen(&self) -> Micros {
        let last_seen = self.quorum_time(self.peers.last_seen_times(), Some(Micros::MAX)).unwrap_or(0);
        last_seen.saturating_add(self.settings.lease)
    }

    /// Returns the end of the lease in view of an open vote: the earliest time at which the version that is voted on
    /// can be activated, a lease margin after a majority was last idle.
    fn lease_end_by_open_vote(&self) -> Micros {
        if !self.has_open_vote() {
            return Micros::MAX;
        }
        self.last_idle_quorum(Micros::MAX).unwrap_or(0).saturating_add(self.settings.lease_margin())
    }

    /// Returns the end of the lease in view of a decided version that is not active yet: its activation, unless this
    /// replica will activate it in time.
    fn lease_end_by_activation(&self, scheduled_at: Option<Micros>) -> Micros {
        if self.learner.is_active() {
            return Micros::MAX;
        }
        let activation = self.learner.value().activates_at().unwrap_or(0);
        if scheduled_at.is_some_and(|from| from <= activation) {
            Micros::MAX
        } else {
            activation
        }
    }

    /// Whether any replica is known to have accepted a value above the decided version.
    fn has_open_vote(&self) -> bool {
        self.highest_accepted_anywhere() > self.learner.decided()
    }

    /// Returns the latest time at which a majority was idle. For this replica `now` counts while it is idle, and
    /// otherwise the time at which it accepted a value in the open slot.
    fn last_idle_quorum(&self, now: Micros) -> Option<Micros> {
        let is_idle = self.highest_accepted() <= self.learner.decided();
        let own = if is_idle { Some(now) } else { self.votes.accepted_at() };
        self.quorum_time(self.peers.last_idle_times(), own)
    }

    /// Returns the latest time that is reached or exceeded by the times of a majority, among those of the peers and of
    /// this replica. Its own time counts only if it may vote.
    fn quorum_time(&self, peers: impl Iterator<Item = Micros>, own: Option<Micros>) -> Option<Micros> {
        let own = own.filter(|_| self.votes.may_vote(self.learner.open_slot()));
        let mut times: Vec<Micros> = peers.chain(own).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.settings.quorum() - 1).copied()
    }

    /// Records whether a sender's clock is ahead of this replica's by more than the maximum skew. A clock that is
    /// behind cannot be detected, as its datagrams look like delayed ones.
    pub(crate) fn check_clock(&mut self, from: ReplicaId, sent: Micros) {
        if sent > self.now + self.settings.max_clock_skew {
            self.peers_ahead.insert(from);
        } else {
            self.peers_ahead.remove(&from);
        }
    }

    /// Evaluates the status and reports a change of it.
    pub(crate) fn update_status(&mut self) {
        let status = self.evaluate_status();
        if status != self.status {
            self.status = status;
            self.events.push(ReplicaEvent::StatusChanged(status));
        }
    }

    fn evaluate_status(&self) -> ReplicaStatus {
        if self.is_detached() {
            return ReplicaStatus::Detached;
        }
        if !self.learner.is_active() && !self.learner.is_before_activation(self.now) {
            return ReplicaStatus::Behind;
        }
        if !self.has_open_vote() {
            return ReplicaStatus::Current;
        }
        // The version that is voted on was not decided while a majority was idle, so it is activated no earlier than
        // a lease margin after that.
        let last_idle = self.last_idle_quorum(self.now);
        if last_idle.is_some_and(|at| self.now < at + self.settings.lease_margin()) {
            ReplicaStatus::Current
        } else {
            ReplicaStatus::Behind
        }
    }

    fn is_detached(&self) -> bool {
        let peers = usize::from(self.settings.replicas - 1);
        let last_seen = self.quorum_time(self.peers.last_seen_times(), Some(self.now));
        let has_lease = last_seen.is_some_and(|at| at + self.settings.lease >= self.now);
        !has_lease || self.peers_ahead.len() * 2 > peers
    }
}
