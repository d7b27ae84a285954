//! The replica as a learner: the latest version that it knows to be decided, and the version that is active on it.

use crate::event::ReplicaEvent;
use crate::paxos::Value;
use crate::replica::Replica;
use crate::{Digest, Micros, Slot};

/// The latest decided version and the active version, which is the decided one or an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Learner {
    decided: Slot,
    value: Value,
    /// When this replica learned that the version is decided.
    learned_at: Micros,
    /// Whether a peer has activated the decided version.
    is_active_at_peer: bool,
    active: Slot,
    /// Document of the active version; `None` before the first change.
    active_document: Option<Digest>,
}

impl Learner {
    /// Returns a learner that knows only version 0.
    pub(crate) fn new() -> Learner {
        Learner::restore(0, Value::Void { keeps: None }, 0, None)
    }

    /// Restores the learner from before a restart.
    pub(crate) fn restore(
        decided: Slot,
        value: Value,
        active: Slot,
        active_document: Option<Digest>,
    ) -> Learner {
        Learner { decided, value, learned_at: 0, is_active_at_peer: false, active, active_document }
    }

    /// Returns the latest version that is known to be decided.
    pub(crate) fn decided(&self) -> Slot {
        self.decided
    }

    /// Returns the value of the latest decided version.
    pub(crate) fn value(&self) -> Value {
        self.value
    }

    /// Returns the first slot that is not known to be decided, which is the only one that is voted on.
    pub(crate) fn open_slot(&self) -> Slot {
        self.decided + 1
    }

    /// Returns the active version.
    pub(crate) fn active(&self) -> Slot {
        self.active
    }

    /// Returns the document of the active version; `None` before the first change.
    pub(crate) fn active_document(&self) -> Option<Digest> {
        self.active_document
    }

    /// Whether the latest decided version is active.
    pub(crate) fn is_active(&self) -> bool {
        self.active == self.decided
    }

    /// Whether the decided version is not due for activation yet and the version before it is active.
    pub(crate) fn is_before_activation(&self, now: Micros) -> bool {
        self.active + 1 == self.decided && self.value.activates_at().is_some_and(|at| now < at)
    }

    /// Returns the value that keeps the document of the decided version.
    pub(crate) fn void_value(&self) -> Value {
        Value::Void { keeps: self.value.active_document() }
    }

    /// Records a decided version; returns whether it is newer than the known one.
    fn record(&mut self, slot: Slot, value: Value, is_active_at_peer: bool, now: Micros) -> bool {
        if slot == self.decided {
            self.is_active_at_peer |= is_active_at_peer;
        }
        if slot <= self.decided {
            return false;
        }
        self.decided = slot;
        self.value = value;
        self.learned_at = now;
        self.is_active_at_peer = is_active_at_peer;
        true
    }

    /// Returns when this replica activates the decided version. A version that it learned of late is delayed until all
    /// leases granted without knowledge of that version have ended, unless a peer has already activated it.
    fn activation_time(&self, margin: Micros) -> Micros {
        let Some(at) = self.value.activates_at() else { return 0 };
        let earliest_safe = self.learned_at + margin;
        if self.is_active_at_peer {
            at
        } else {
            at.max(earliest_safe)
        }
    }

    /// Activates the decided version.
    fn activate(&mut self) {
        self.active = self.decided;
        self.active_document = self.value.active_document();
    }
}

impl Replica {
    /// Handles the news that a version was decided.
    pub(crate) fn learn(&mut self, slot: Slot, value: Value, is_active_at_peer: bool) {
        if !self.learner.record(slot, value, is_active_at_peer, self.now) {
            return;
        }
        if let Some(lost) = self.proposals.on_decided(slot, value) {
            self.events.push(ReplicaEvent::ProposalLost { slot: lost });
        }
        self.peers.on_decided(slot);
        self.votes.on_decided(slot);
        self.events.push(ReplicaEvent::Decided { slot, value });
    }

    /// Returns when this replica activates the decided version; `None` while its document is missing.
    pub(crate) fn activation_time(&self) -> Option<Micros> {
        let has_document =
            self.learner.value().active_document().is_none_or(|digest| self.documents.has(&digest));
        has_document.then(|| self.learner.activation_time(self.settings.lease_margin()))
    }

    /// Activates the decided version when it is due.
    pub(crate) fn activate_if_due(&mut self) {
        let is_due = self.activation_time().is_some_and(|from| self.now >= from);
        if self.learner.is_active() || !is_due {
            return;
        }
        self.learner.activate();
        self.events.push(ReplicaEvent::Activated {
            slot: self.learner.active(),
            digest: self.learner.active_document(),
        });
        self.drop_unused_documents();
    }
}
