//! The response to `GET /admin/rules`.

use sedgestack_consensus::ReplicaStatus;
use serde_json::{json, Value};

use super::actor::ConsensusActor;
use super::operator_calls::Proposal;
use crate::net::canary::CanaryMonitor;

impl ConsensusActor {
    /// Returns this limiter's view of the versions as JSON.
    pub(super) fn status(&self) -> Value {
        let (version, _) = self.replica.active_version();
        let (decided, value) = self.replica.decided();
        let lease = self.replica.version_lease();
        let next = lease.scheduled.map(
            |(from, slot, digest)| json!({"version": slot, "digest": digest.to_string(), "at_us": from}),
        );
        let known_for = lease.valid_until.saturating_sub(self.now());
        json!({
            "member": self.own, "members": self.replicas, "standing": status_name(self.replica.status()),
            "version": version, "digest": self.served_document.digest().to_string(), "decided": decided,
            "decided_void": value.activates_at().is_none() && decided > 0,
            "known_for_ms": known_for / 1_000,
            "next": next, "begun_here": self.proposal.as_ref().map(proposal_json),
            "waits_for_adopt": self.replica.awaits_adoption(),
            "staged": self.staged.keys().map(ToString::to_string).collect::<Vec<_>>(),
            "history": self.history, "stored": self.store.is_persistent(),
            "busiest_second": self.intake.busiest_second(),
            "text": self.served_document.text, "pinned": self.served_document.provenance.pinned,
            "watch": self.canary.as_ref().map_or(Value::Null, CanaryMonitor::status),
        })
    }
}

fn status_name(status: ReplicaStatus) -> &'static str {
    match status {
        ReplicaStatus::Current => "current",
        ReplicaStatus::Behind => "behind",
        ReplicaStatus::Detached => "detached",
    }
}

fn proposal_json(proposal: &Proposal) -> Value {
    json!({
        "version": proposal.version, "digest": proposal.digest.to_string(), "outcome": proposal.outcome,
        "unanswered": proposal.unanswered,
    })
}
