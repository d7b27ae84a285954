//! What a replica knows about its peers, from their heartbeats and from the observations of other replicas that these
//! contain.

use crate::message::{PeerObservation, AGE_STEP};
use crate::{Micros, ReplicaId, Slot};

/// Known state of one peer. Times are by the peer's own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct PeerState {
    /// When the peer sent its latest known heartbeat; `None` before the first.
    last_seen: Option<Micros>,
    /// The highest slot in which the peer has accepted a value or that it knows to be decided.
    highest_accepted: Slot,
    /// The latest time at which the peer was idle: it had accepted nothing above the slot that this replica knows to
    /// be decided.
    last_idle: Option<Micros>,
}

/// Known states of all replicas by number. The replica's own entry stays empty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peers {
    states: Vec<PeerState>,
}

impl Peers {
    /// Creates the state for a group of `replicas`, none of which has been seen.
    pub(crate) fn new(replicas: ReplicaId) -> Peers {
        Peers { states: vec![PeerState::default(); usize::from(replicas)] }
    }

    /// Records that a peer had accepted values up to a slot at time `at` of its clock. Reports may arrive in any order.
    pub(crate) fn record(&mut self, peer: ReplicaId, at: Micros, highest_accepted: Slot, decided: Slot) {
        let Some(state) = self.states.get_mut(usize::from(peer)) else { return };
        state.highest_accepted = state.highest_accepted.max(highest_accepted);
        state.last_seen = state.last_seen.max(Some(at));
        if highest_accepted <= decided {
            state.last_idle = state.last_idle.max(Some(at));
        }
    }

    /// Handles the decision of a slot: peers that have accepted nothing above it were idle when they were last seen.
    pub(crate) fn on_decided(&mut self, slot: Slot) {
        for state in self.states.iter_mut().filter(|state| state.highest_accepted <= slot) {
            state.last_idle = state.last_seen;
        }
    }

    /// Returns the highest slot in which any peer has accepted a value.
    pub(crate) fn highest_accepted(&self) -> Slot {
        self.states.iter().map(|state| state.highest_accepted).max().unwrap_or(0)
    }

    /// Returns how many peers have been seen at least once.
    pub(crate) fn seen_count(&self) -> usize {
        self.last_seen_times().count()
    }

    /// Returns the last-seen times of all peers that have been seen.
    pub(crate) fn last_seen_times(&self) -> impl Iterator<Item = Micros> + '_ {
        self.states.iter().filter_map(|state| state.last_seen)
    }

    /// Returns the last-idle times of all peers that have been seen idle.
    pub(crate) fn last_idle_times(&self) -> impl Iterator<Item = Micros> + '_ {
        self.states.iter().filter_map(|state| state.last_idle)
    }

    /// Returns the observation of a replica for a heartbeat that is sent `now`; `own_highest` is the sender's own
    /// highest accepted slot.
    pub(crate) fn observation(&self, replica: ReplicaId, now: Micros, own_highest: Slot) -> PeerObservation {
        let state = &self.states[usize::from(replica)];
        let Some(at) = state.last_seen else { return PeerObservation::UNKNOWN };
        let age_steps = now.saturating_sub(at).div_ceil(AGE_STEP);
        let slots_below = own_highest.checked_sub(state.highest_accepted);
        PeerObservation::new(age_steps, slots_below)
    }
}

#[cfg(test)]
mod tests;
